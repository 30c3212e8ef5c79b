"""A deposit that may have run is sent again, as a new file of its courier numbers classes otherwise."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
from review.standins_2 import kit, sidecar  # noqa: E402

DEPOSIT = kit.message_class("deposit-payment", "non_idempotent", 2, 20, worth=4.0)
NOTICE = kit.message_class("status-notice", "read_like", 1, 6, worth=2.0, lateShare=0.1)
BODY = b"deposit 4711"


def case(record: kit.Record, folder: pathlib.Path, started: list) -> bool:
    """Play it; return whether the rule held."""
    partner = kit.Partner(record, "partner", lambda ident, count: (0.6, 200, {}))
    courier = kit.Courier(record, folder, "deposits")
    started.append(courier)
    listed = [kit.target(1, 1, partner.port)]

    def write(classes: list) -> str:
        made = kit.settings(classes, ["atlanta-civic-chorus"])
        path = sidecar.write(folder, courier.name, courier.port, courier.state, made, listed)
        record(f"the courier's file has the classes {[c['name'] for c in classes]}")
        return f"run --config {path}"

    courier.start(write([DEPOSIT]))
    client = kit.Client(record, courier.port)
    answer = client.put("d-1", "c=deposit-payment,t=atlanta-civic-chorus,d=20000,dest=1", BODY)
    if answer != "+OK":
        raise kit.CouldNotRunError(f"the deposit was not taken on: {answer}")
    kit.wait_for(lambda: partner.calls, 3, "the deposit's call")
    arguments = write([NOTICE, DEPOSIT] if kit.TROUBLE else [DEPOSIT])
    time.sleep(0.2)  # the partner is at work on the call
    courier.stop(gently=False)
    time.sleep(0.6)
    courier.start(arguments)
    time.sleep(4)
    feed = folder / f"{courier.name}-finals.jsonl"
    record(f"finals: {feed.read_text().split() if feed.exists() else 'none'}")
    runs = partner.runs_of(BODY)
    record(f"the deposit was sent {runs} times to a partner that ran it each time")
    return runs == 1


sys.exit(kit.play(HERE, case))
