"""What members say to each other over a relay's link, and its form as rows with a bound on every field."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.membership.values import MAX_NAME_CHARS, MemberId, Row
from madderbeam.relay.values import DeliveryEnd, Effect, Publication, Result

BODY_MOST = 65_536  # bytes, as the protocol's bodies
TEXT_MOST = 256  # characters of an id, key, order, class or tenant
NUMBER_MOST = 2**63 - 1
DESTS_MOST = 20_000  # destinations of one entry
ROWS_MOST = 256  # publications in a batch of ends
ENDS_MOST = 256  # destinations that were not reached, told by name, in one row; the rest is a count
TOLD_MOST = 2_048  # of those in a batch


@dataclass(frozen=True)
class Entry:
    """One publication for a site. `stream`: a number of the origin's that grows with each link and resend;
    `seq` counts from 1 in it. `left_us`: time left when it was said. The publication's own
    `until_us` is 0."""

    stream: int
    seq: int
    publication: Publication
    left_us: int


@dataclass(frozen=True)
class Ack:
    """All entries up to `seq` that were not turned away are in the relay's journal and custody; so many more
    entries and bytes may be out beyond it."""

    stream: int
    seq: int
    entries: int
    bytes: int


@dataclass(frozen=True)
class Nak:
    """This entry was not taken and will not run here; come again after so long, or (`keep_out`) go to another
    relay of the site."""

    stream: int
    seq: int
    after_us: int
    why: str
    keep_out: bool = False


@dataclass(frozen=True)
class EndRow:
    """All that is known of a publication's deliveries at a relay: a later row replaces an earlier
    one. `left`: not ended yet; `ends`: of those that were not delivered, the first ENDS_MOST."""

    name: str
    total: int
    delivered: int
    left: int
    ends: tuple[DeliveryEnd, ...] = ()
    why: str = ""


@dataclass(frozen=True)
class Ends:
    """A batch of them, with a number of the relay's own."""

    number: int
    rows: tuple[EndRow, ...]


@dataclass(frozen=True)
class EndsAck:
    """The origin knows them: they need not be told again."""

    number: int


Message = Entry | Ack | Nak | Ends | EndsAck


def to_row(message: Message) -> Row:
    """As lists, numbers and strings."""
    if isinstance(message, Entry):
        p = message.publication
        return [
            "e",
            message.stream,
            message.seq,
            p.id,
            p.origin.site,
            p.origin.name,
            p.topic,
            p.dest,
            p.cls,
            p.effect.value,
            p.tenant,
            p.key,
            p.order,
            p.body,
            message.left_us,
            p.table,
        ]
    if isinstance(message, Ack):
        return ["a", message.stream, message.seq, message.entries, message.bytes]
    if isinstance(message, Nak):
        return ["n", message.stream, message.seq, message.after_us, message.why, int(message.keep_out)]
    if isinstance(message, Ends):
        return ["d", message.number, [_end_row(row) for row in message.rows]]
    return ["k", message.number]


def _end_row(row: EndRow) -> Row:
    ends = [[e.dest, int(e.result)] for e in row.ends]
    return [row.name, row.total, row.delivered, row.left, ends, row.why]


def from_row(row: Row) -> Message:
    """Raises ValueError with the field that is out of bounds."""
    kind = row[0] if isinstance(row, list) and row else None
    if not isinstance(kind, str) or kind not in _READERS:
        raise ValueError(f"kind: one of {', '.join(_READERS)}, not {kind!r:.40}")
    return _READERS[kind](_Fields(row[1:]))


class _Fields:
    """Takes a row's fields one after the other, each within its bounds."""

    def __init__(self, row: Row) -> None:
        self.row, self.at = row, 0

    def _next(self, name: str) -> Any:
        if self.at >= len(self.row):
            raise ValueError(f"{name}: missing")
        self.at += 1
        return self.row[self.at - 1]

    def number(self, name: str, most: int = NUMBER_MOST, least: int = 0) -> int:
        value = self._next(name)
        if type(value) is not int or not least <= value <= most:
            raise ValueError(f"{name}: a number from {least} to {most}, not {value!r:.40}")
        return value

    def text(self, name: str, most: int = TEXT_MOST, least: int = 0) -> str:
        value = self._next(name)
        if not isinstance(value, str) or not least <= len(value) <= most:
            raise ValueError(f"{name}: {least} to {most} characters, not {value!r:.40}")
        return value

    def data(self, name: str, most: int) -> bytes:
        value = self._next(name)
        if not isinstance(value, bytes) or len(value) > most:
            raise ValueError(f"{name}: at most {most} bytes, not {value!r:.40}")
        return value

    def rows(self, name: str, most: int) -> list[_Fields]:
        value = self._next(name)
        if not isinstance(value, list) or len(value) > most or not all(isinstance(v, list) for v in value):
            raise ValueError(f"{name}: at most {most} rows, not {value!r:.40}")
        return [_Fields(v) for v in value]

    def done(self) -> None:
        if self.at != len(self.row):
            raise ValueError(f"row: {self.at} fields, not {len(self.row)}")


def _entry(f: _Fields) -> Entry:
    stream, seq = f.number("stream", least=1), f.number("seq", least=1)
    ident = f.text("id", least=1)
    origin = MemberId(f.text("origin.site", MAX_NAME_CHARS, 1), f.text("origin.name", MAX_NAME_CHARS, 1))
    topic, dest, cls = f.text("topic", MAX_NAME_CHARS), f.number("dest", least=-1), f.text("class")
    effect, tenant, key, order = f.text("effect"), f.text("tenant"), f.text("key"), f.text("order")
    body, left = f.data("body", BODY_MOST), f.number("left_us")
    table = f.number("table")
    f.done()
    if effect not in {e.value for e in Effect}:
        raise ValueError(f"effect: safe, keyed or unsafe, not {effect!r:.40}")
    if (dest < 0) != bool(topic):
        raise ValueError(f"topic: stands where dest is -1, and there alone, not {topic!r} with dest {dest}")
    publication = Publication(
        ident, origin, topic, dest, cls, Effect(effect), tenant, key, order, body, 0, table
    )
    return Entry(stream, seq, publication, left)


def _ack(f: _Fields) -> Ack:
    found = Ack(f.number("stream", least=1), f.number("seq"), f.number("entries"), f.number("bytes"))
    f.done()
    return found


def _nak(f: _Fields) -> Nak:
    found = Nak(
        f.number("stream", least=1),
        f.number("seq", least=1),
        f.number("after_us"),
        f.text("why"),
        bool(f.number("keep_out", 1)),
    )
    f.done()
    return found


def _ends(f: _Fields) -> Ends:
    found = Ends(f.number("number"), tuple(_read_end_row(row) for row in f.rows("rows", ROWS_MOST)))
    f.done()
    if sum(len(row.ends) for row in found.rows) > TOLD_MOST:
        raise ValueError(f"ends: at most {TOLD_MOST} in a batch")
    return found


def _read_end_row(f: _Fields) -> EndRow:
    name = f.text("name", 2 * MAX_NAME_CHARS + TEXT_MOST + 2, 1)
    total = f.number("total", DESTS_MOST)
    delivered = f.number("delivered", total)
    left = f.number("left", total - delivered)
    ends = tuple(_end(row) for row in f.rows("ends", ENDS_MOST))
    why = f.text("why")
    f.done()
    if len(ends) > total - delivered - left:
        raise ValueError(f"ends: at most {total - delivered - left} of {total}, not {len(ends)}")
    return EndRow(name, total, delivered, left, ends, why)


def _end(f: _Fields) -> DeliveryEnd:
    found = DeliveryEnd(f.number("dest"), Result(f.number("result", max(Result))))
    f.done()
    return found


def _ends_ack(f: _Fields) -> EndsAck:
    found = EndsAck(f.number("number"))
    f.done()
    return found


_READERS: dict[str, Callable[[_Fields], Message]] = {
    "e": _entry,
    "a": _ack,
    "n": _nak,
    "d": _ends,
    "k": _ends_ack,
}
