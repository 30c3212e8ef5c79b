"""Two programs' producers are given one producer id by their couriers, and the partner drops an order."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))
from review.standins_2 import kafka, kit, sidecar  # noqa: E402

WINDOW_S = 15  # a repeat is dropped for so long
ORDER = kit.message_class(
    "room-order", "idempotency_key", 4, 16, keyTtlUs=WINDOW_S * 1_000_000, lateShare=0.5
)
PRODUCERS = 12  # of each program
LATER_S = 0 if kit.TROUBLE else 1.0  # the second program starts so long behind the first


class KeyedPartner(kit.HttpServer):
    """A partner that drops repeats of a key for WINDOW_S, as the site's file has it for room orders."""

    def __init__(self, record: kit.Record) -> None:
        self.record = record
        self.known: dict[str, float] = {}  # keys, with the time of the first call
        self.effects: set[bytes] = set()  # bodies
        self.lock = threading.Lock()
        super().__init__()

    def handle(self, conn, method, path, headers, body) -> None:
        """Run one call, unless its key is known."""
        key, now = headers.get("idempotency-key", ""), time.monotonic()
        with self.lock:
            is_repeat = key in self.known and now - self.known[key] < WINDOW_S
            if not is_repeat:
                self.known[key] = now
                self.effects.add(body)
        text = "is dropped as a repeat" if is_repeat else "has run"
        self.record(f"partner: call {headers['x-request-id']} key {key} {body.decode()} {text}")
        time.sleep(0.15)
        kit.reply(conn, 200)


def case(record: kit.Record, folder: pathlib.Path, started: list) -> bool:
    """Play it; return whether the rule held."""
    partner = KeyedPartner(record)
    made = kit.settings([ORDER], ["atlanta-civic-chorus"], groupSize=2)
    ports = []
    for name in ("orders-1", "orders-2"):
        courier = kit.Courier(record, folder, name)
        started.append(courier)
        ports.append(kit.free_port())
        address = f"127.0.0.1:{ports[-1]}"
        front = {"listen": address, "advertised": "", "users": {}, "partitions": 1, "finals": "finals"}
        listed = [kit.target(1, 1, partner.port)]
        path = sidecar.write(folder, name, courier.port, courier.state, made, listed, kafka=front)
        courier.start(f"run --config {path}")
    producers: list[list[kafka.Producer]] = [[], []]
    start = threading.Barrier(2)

    def program(n: int) -> None:
        start.wait()
        time.sleep(n * LATER_S)
        for _ in range(PRODUCERS):
            producers[n].append(kafka.Producer(record, ports[n], "room-order.1"))

    programs = [threading.Thread(target=program, args=(n,)) for n in range(2)]
    for thread in programs:
        thread.start()
    for thread in programs:
        thread.join()
    if any(len(each) < PRODUCERS for each in producers):
        raise kit.CouldNotRunError("a producer was given no id")
    ids = [[producer.producer_id for producer in each] for each in producers]
    record(f"producer ids that both couriers gave: {sorted(set(ids[0]) & set(ids[1]))}")
    acknowledged = []
    for n in range(2):
        for m, producer in enumerate(producers[n]):
            batch = producer.batch((f"order {m} of program {n + 1}".encode(), {}))
            while (code := producer.told(batch, producer.send(batch))) == kafka.NOT_ENOUGH_REPLICAS:
                time.sleep(max(0.1, producer.throttle_ms / 1e3))
            if code != kafka.NONE:
                raise kit.CouldNotRunError(f"a batch was turned down: {code}")
            acknowledged.append(batch.records[0][0])
    time.sleep(ORDER["deadlineUs"] / 1e6 + 0.5)  # the time of each order is up, and 300 ms for its notice
    feeds = [folder / f"orders-{n}-finals.jsonl" for n in (1, 2)]
    finals = [line for feed in feeds if feed.exists() for line in feed.read_text().splitlines()]
    record(f"finals: {finals}")
    missing = [body.decode() for body in acknowledged if body not in partner.effects]
    record(f"acknowledged {len(acknowledged)}; without an effect: {missing}")
    return len(missing) <= len(finals)  # a final tells of an order that was not delivered


sys.exit(kit.play(HERE, case))
