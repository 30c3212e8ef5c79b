"""Derived ids and keys, relay selection, grouping by table, wire rows and their bounds."""

import ast
import pathlib
from dataclasses import replace

import msgpack
import pytest

from madderbeam import relay
from madderbeam.federation.errors import NoOwner
from madderbeam.membership.values import Incarnation, MemberId, MemberView, State
from madderbeam.relay.delivery_ids import delivery_id, delivery_key, recorded_delivery_id
from madderbeam.relay.grouping import Group, Tables, expand, forwarded_entry, group
from madderbeam.relay.messages import (
    Ack,
    DeliveryReport,
    Entry,
    Nak,
    ReportBatch,
    ReportBatchAck,
    from_row,
    to_row,
)
from madderbeam.relay.selection import choose_relay
from madderbeam.relay.timer_queue import TimerQueue
from madderbeam.relay.values import DeliveryIdempotency, DeliveryOutcome, Publication, Result

A = MemberId("macon", "a")
PUB = Publication(
    "9b1f03aa5c7e2d41", A, "season", -1, "notice", DeliveryIdempotency.WITH_KEY, "acme", "k1", "", b"x", 0, 3
)


def view(name, state=State.ALIVE, draining=False):
    return MemberView(MemberId("savannah", name), Incarnation(1, 1), 0, state, ("", 1), 0, draining)


def test_ids_and_keys_are_derived_from_publication_and_subscriber():
    again = replace(PUB, id="other")
    assert (
        delivery_id(PUB, 7)
        == delivery_id(replace(PUB, body=b"y"), 7)
        == recorded_delivery_id(PUB.name, 7, False)
    )
    assert len({delivery_id(PUB, 7), delivery_id(PUB, 8), delivery_id(again, 7)}) == 3
    assert len(bytes.fromhex(delivery_id(PUB, 7))) == 8
    assert delivery_key(PUB, 7) == delivery_key(again, 7) != delivery_key(PUB, 8)
    assert delivery_key(replace(PUB, tenant="b"), 7) != delivery_key(PUB, 7)
    assert delivery_key(replace(PUB, idempotency_key=""), 7) != delivery_key(
        replace(again, idempotency_key=""), 7
    )
    assert delivery_key(replace(PUB, idempotency=DeliveryIdempotency.IDEMPOTENT), 7) == ""
    one = replace(PUB, topic="", dest=7)
    assert (delivery_id(one, 7), delivery_key(one, 7)) == (PUB.id, "k1")
    assert recorded_delivery_id(one.name, 7, True) == PUB.id


def test_a_relay_stays_while_it_is_alive_and_origins_are_spread():
    views = [view(n) for n in "stuv"]
    first = choose_relay(A, views, None)
    others = [v for v in views if v.id != first]
    assert choose_relay(A, [*others, view(first.name, State.SUSPECT)], first) == first
    assert choose_relay(A, [*others, view(first.name, State.SUSPECT)], None) != first
    for gone in (view(first.name, State.DEAD), view(first.name, State.LEFT), view(first.name, draining=True)):
        assert choose_relay(A, [*others, gone], first) == choose_relay(A, others, None)
    assert choose_relay(A, views, first, frozenset({first})) == choose_relay(A, others, None)
    # a new member takes over only the origins for which it scores highest
    origins = [MemberId("macon", str(n)) for n in range(400)]
    before = {o: choose_relay(o, others, None) for o in origins}
    after = {o: choose_relay(o, views, None) for o in origins}
    assert {after[o] for o in origins if after[o] != before[o]} == {first}
    assert min(sum(1 for o in origins if after[o] == v.id) for v in views) > 60
    assert choose_relay(A, [], None) is None


def test_a_publication_is_grouped_and_expanded_by_one_table():
    owners = {1: "macon", 2: "macon", 3: "savannah"}
    known = {"season": [1, 2, 3, 9]}.get
    assert group(PUB, "macon", owners, known, ["savannah", "macon", "athens"]) == Group(
        (1, 2), ("athens", "savannah")
    )
    one = replace(PUB, topic="", dest=3)
    assert group(one, "macon", owners, known, []) == Group((), ("savannah",))
    assert group(one, "savannah", owners, known, []) == Group((3,), ())
    assert expand(one, "macon", owners, known) == ()
    with pytest.raises(NoOwner, match="destination 9 has no owner in table 3"):
        group(replace(one, dest=9), "macon", owners, known, [])


def test_a_relay_stores_eight_tables_and_forwards_moved_destinations():
    tables = Tables("savannah", {"season": [3, 4]}.get)
    tables.put(3, {3: "savannah", 4: "savannah"})
    tables.put(4, {3: "savannah", 4: "macon"})
    assert tables.expand(PUB) == (3, 4)
    assert tables.expand(replace(PUB, table_number=4)) == (3,)
    assert tables.moved((3, 4), 4) == {4: "macon"}
    sent = forwarded_entry(PUB, 4, MemberId("savannah", "s"), 4)
    assert (sent.id, sent.idempotency_key, sent.dest, sent.topic) == (
        delivery_id(PUB, 4),
        delivery_key(PUB, 4),
        4,
        "",
    )
    assert delivery_id(sent, 4) == delivery_id(PUB, 4) and delivery_key(sent, 4) == delivery_key(PUB, 4)
    for number in range(5, 12):
        tables.put(number, {})
    assert tables.expand(PUB) is None and tables.expand(replace(PUB, table_number=12)) is None
    assert len(tables.owners_by_table) == 8


MESSAGES = [
    Entry(1, 2, PUB, 5_000),
    Entry(1, 2, replace(PUB, topic="", dest=7), 0),
    Ack(1, 0, 3, 4),
    Nak(1, 2, 300, "full", True),
    ReportBatchAck(4),
    ReportBatch(
        1,
        (
            DeliveryReport("macon/a:x", 9, 3, 4, (DeliveryOutcome(7, Result.UNKNOWN),), "w"),
            DeliveryReport("n", 0, 0, 0),
        ),
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_rows_are_decoded_as_encoded_and_each_field_has_bounds(message):
    row = msgpack.unpackb(msgpack.packb(to_row(message)))
    assert from_row(row) == message
    for at in range(len(row)):
        for strange in (None, -2, 2**64, "x" * 70_000, b"x" * 70_000, 1.5, [[]] * 3_000, {}):
            with pytest.raises(ValueError, match="^[a-z_.]+: "):
                from_row([*row[:at], strange, *row[at + 1 :]])
    for cut in range(len(row)):
        with pytest.raises(ValueError, match="^[a-z_.]+: "):
            from_row(row[:cut])
    with pytest.raises(ValueError, match="^[a-z_.]+: "):
        from_row([*row, 1])


def test_timers_fire_once_in_order_and_stale_ones_are_removed():
    alarms = TimerQueue()
    for n in range(10_000):
        alarms.set("one", n + 5)
        alarms.set(f"x{n}", 9)
        alarms.cancel(f"x{n}")
    assert len(alarms.heap) < 200
    alarms.set("two", 7)
    alarms.set_earlier("two", 9)
    assert alarms.next() == 7
    assert alarms.pop_due(10_004) == ["two", "one"] and alarms.pop_due(10**9) == [] and alarms.next() is None


def test_decisions_do_no_io():
    """The package imports only value types and those parts of the standard library without clock, sockets
    and files."""
    allowed = {
        "madderbeam.membership.values",
        "madderbeam.federation.errors",
        "__future__",
        "typing",
        "enum",
        "collections",
        "collections.abc",
        "dataclasses",
        "functools",
        "hashlib",
        "heapq",
        "bisect",
    }
    paths = list(pathlib.Path(relay.__file__).parent.glob("*.py"))
    assert len(paths) > 10
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [node.module] if isinstance(node, ast.ImportFrom) else []
            assert {n for n in names if not n.startswith("madderbeam.relay")} <= allowed, path
