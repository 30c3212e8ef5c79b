"""A deposit runs twice, since its batch comes again when its producer was told, and its id is forgotten."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
from review.standins_2 import kafka, kit, sidecar  # noqa: E402

DEPOSIT = kit.message_class("deposit-payment", "non_idempotent", 2, 20, worth=4.0)
NOTICE = kit.message_class("status-notice", "read_like", 1, 6, worth=2.0, lateShare=0.1)
USUAL, FLOODING = "atlanta-civic-chorus", "savannah-brass"
PER_HOUR = 120  # of the flooding ensemble: a fourth of it at once, then one each 30 s
FLOOD = 40 if kit.TROUBLE else 0


def usual_traffic(client: kit.Client) -> None:
    """Hand in two notices a second, as any day has them."""
    for n in range(200):
        client.put(f"u-{n}", f"c=status-notice,t={USUAL},d=6000,dest=1", b"notice u%d" % n)
        time.sleep(0.5)


def case(record: kit.Record, folder: pathlib.Path, started: list) -> bool:
    """Play it; return whether the rule held."""
    partner = kit.Partner(record, "partner", lambda ident, count: (0.15, 200, {}))
    courier = kit.Courier(record, folder, "deposits")
    started.append(courier)
    made = kit.settings([DEPOSIT, NOTICE], [USUAL, FLOODING])
    port = kit.free_port()
    front = {
        "listen": f"127.0.0.1:{port}",
        "advertised": "",
        "users": {},
        "partitions": 1,
        "finals": "finals",
    }
    nodes = [
        {"name": "federation", "limit": {"messages_per_h": 60000}},
        {
            "name": "brass",
            "parent": "federation",
            "tenants": [FLOODING],
            "limit": {"messages_per_h": PER_HOUR},
        },
    ]
    quota = {"form": 1, "couriers": 1, "nodes": nodes}
    listed = [kit.target(1, 1, partner.port)]
    path = sidecar.write(
        folder, courier.name, courier.port, courier.state, made, listed, kafka=front, quota=quota
    )
    courier.start(f"run --config {path}")
    client = kit.Client(record, courier.port)
    for n in range(FLOOD):
        client.put(f"n-{n}", f"c=status-notice,t={FLOODING},d=6000,dest=1", b"notice %d" % n)
        time.sleep(0.1)
    threading.Thread(target=usual_traffic, args=(kit.Client(record, courier.port),), daemon=True).start()
    producer = kafka.Producer(record, port, "deposit-payment.1")
    batch = producer.batch((b"deposit 0", {"tenant": USUAL}), (b"deposit 1", {"tenant": FLOODING}))
    for attempt in range(4):  # handed in again up to 3 times
        code = producer.told(batch, producer.send(batch))
        if code in (kafka.NONE, kafka.DUPLICATE):
            break
        if code != kafka.NOT_ENOUGH_REPLICAS:
            raise kit.CouldNotRunError(f"the batch was turned down: {code}")
        record(f"producer: told to come again after {producer.throttle_ms} ms")
        if attempt == 3 or producer.throttle_ms > 60000:
            raise kit.CouldNotRunError("the batch was not taken")
        time.sleep(max(0.1, producer.throttle_ms / 1e3))
    time.sleep(3)
    runs = [partner.runs_of(b"deposit %d" % n) for n in range(2)]
    record(f"the deposits ran {runs} times")
    return max(runs) <= 1


sys.exit(kit.play(HERE, case))
