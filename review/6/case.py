"""A refused batch of a Kafka producer is told to be a duplicate as it comes again, and never runs."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
from review.standins_2 import kafka, kit, sidecar  # noqa: E402

DEPOSIT = kit.message_class("deposit-payment", "non_idempotent", 2, 20, worth=4.0)
NOTICE = kit.message_class("status-notice", "read_like", 1, 6, worth=2.0, lateShare=0.1)
HELD = 16  # the least that a courier holds by the site file
FLOOD = 40 if kit.TROUBLE else 0
BACKOFF_S = 0.1  # retry.backoff.ms of Kafka's clients


def case(record: kit.Record, folder: pathlib.Path, started: list) -> bool:
    """Play it; return whether the rule held."""
    partner = kit.Partner(record, "partner", lambda ident, count: (0.3, 200, {}))
    courier = kit.Courier(record, folder, "deposits")
    started.append(courier)
    made = kit.settings([DEPOSIT, NOTICE], ["atlanta-civic-chorus"], HELD)
    port = kit.free_port()
    front = {
        "listen": f"127.0.0.1:{port}",
        "advertised": "",
        "users": {},
        "partitions": 1,
        "finals": "finals",
    }
    listed = [kit.target(1, 1, partner.port)]
    path = sidecar.write(folder, courier.name, courier.port, courier.state, made, listed, kafka=front)
    courier.start(f"run --config {path}")
    client = kit.Client(record, courier.port)
    producer = kafka.Producer(record, port, "deposit-payment.1")
    for n in range(FLOOD):  # clients of the other front hand in more than the courier holds
        client.put(f"n-{n}", "c=status-notice,t=atlanta-civic-chorus,d=6000,dest=1", b"notice %d" % n)
    first = producer.batch(*[(b"deposit %d" % n, {"id": f"d-{n}"}) for n in range(5)])
    second = producer.batch(*[(b"deposit %d" % n, {"id": f"d-{n}"}) for n in range(5, 7)])
    waiting = [(first, producer.send(first)), (second, producer.send(second))]  # both are in flight
    acknowledged: list[kafka.Batch] = []
    until = time.monotonic() + 30
    while waiting and time.monotonic() < until:
        codes = [(batch, producer.told(batch, number)) for batch, number in waiting]
        # KIP-98: what is a duplicate has been taken before; the producer counts it as acknowledged.
        acknowledged += [batch for batch, code in codes if code in (kafka.NONE, kafka.DUPLICATE)]
        again = [batch for batch, code in codes if code in (kafka.NOT_ENOUGH_REPLICAS, kafka.OUT_OF_ORDER)]
        if len(again) + len(acknowledged) < 2:
            raise kit.CouldNotRunError(f"a batch was turned down: {codes}")
        time.sleep(BACKOFF_S)
        waiting = [(batch, producer.send(batch)) for batch in again]
    time.sleep(DEPOSIT["deadlineUs"] / 1e6 + 0.5)  # the time of each deposit is up, and 300 ms for its notice
    feed = folder / f"{courier.name}-finals.jsonl"
    finals = feed.read_text() if feed.exists() else ""
    lost = []
    for batch in acknowledged:
        for body, headers in batch.records:
            runs, ended = partner.runs_of(body), f'"{headers["id"]}"' in finals
            record(f"{body.decode()}: acknowledged, ran {runs} times, {'a' if ended else 'no'} final")
            if not runs and not ended:
                lost.append(body.decode())
    record(f"lost: {lost}")
    return not lost


sys.exit(kit.play(HERE, case))
