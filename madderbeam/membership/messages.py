"""What members say to each other, and its form as rows: lists, strings, bytes and numbers, all bounded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from madderbeam.membership.values import (
    NAME_MOST,
    RUMOUR_MOST,
    Address,
    GossipEntry,
    Incarnation,
    MemberId,
    Row,
    State,
)

KEY_MOST = 128  # characters of a rumour's key
HOST_MOST = 255
ITEMS_MOST = 64  # of a kind in a datagram
STATE_MOST = 8_192  # of a kind in a full state
NUMBER_MOST = (1 << 63) - 1
BITS = (1 << 64) - 1
WORD_MOST = (1 << 31) - 1


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A word on a member. `by`: who accuses it (SUSPECT, DEAD); `ago_ms`: how long it is dead or gone."""

    id: MemberId
    life: Incarnation
    word: int
    state: State
    address: Address
    draining: bool = False
    by: MemberId | None = None
    ago_ms: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there? `silent`: the sender has heard nobody for a while."""

    seq: int
    sender: MemberReport
    target: MemberId
    silent: bool = False
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """I am."""

    seq: int
    sender: MemberReport
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ping this member for me."""

    seq: int
    sender: MemberReport
    target: MemberId
    address: Address
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectAck:
    """The member that you asked me to ping has answered."""

    seq: int
    sender: MemberReport
    target: MemberId
    reports: tuple[MemberReport, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """It has not answered yet, but I hear you (Lifeguard)."""

    seq: int
    sender: MemberReport


@dataclass(frozen=True, slots=True)
class ReachableVia:
    """I heard lately from the member that you accuse: ask me next time."""

    sender: MemberReport
    target: MemberId


@dataclass(frozen=True, slots=True)
class FullState:
    """A state, on a stream connection: the question with its digest alone, the answer or what is handed over
    with all that the sender knows (nothing where the digests are one)."""

    sender: MemberReport
    digest: int  # of what the sender knows, 64 bits
    ask: bool = False
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


Message = Ping | Ack | PingRequest | IndirectAck | Nack | ReachableVia | FullState
T = TypeVar("T")


def report_row(r: MemberReport) -> Row:
    row: Row = [r.id.site, r.id.name, r.life.start, r.life.nonce, r.word, int(r.state), *r.address]
    if r.by is not None or r.ago_ms:
        return [*row, r.draining, *((r.by.site, r.by.name) if r.by else ("", "")), r.ago_ms]
    return [*row, True] if r.draining else row


def rumour_row(r: GossipEntry) -> Row:
    return [r.owner.site, r.owner.name, r.key, r.version, r.body, r.keep_us]


def to_row(m: Message) -> Row:
    """The message as msgpack takes it; read back by `from_row`."""
    sender = report_row(m.sender)
    if isinstance(m, Nack):
        return ["n", m.seq, sender]
    if isinstance(m, ReachableVia):
        return ["w", sender, m.target.site, m.target.name]
    reports = [report_row(r) for r in m.reports]
    if isinstance(m, IndirectAck):
        return ["i", m.seq, sender, m.target.site, m.target.name, reports]
    rumours = [rumour_row(r) for r in m.rumours]
    if isinstance(m, Ping):
        return ["p", m.seq, sender, m.target.site, m.target.name, m.silent, reports, rumours]
    if isinstance(m, Ack):
        return ["a", m.seq, sender, reports, rumours]
    if isinstance(m, PingRequest):
        return ["q", m.seq, sender, m.target.site, m.target.name, *m.address, reports, rumours]
    return ["f", sender, m.digest, m.ask, reports, rumours]


def from_row(row: Any) -> Message:
    """Raises ValueError, naming the field, for all that `to_row` does not write."""
    fields = _Fields(row, "message")
    kind = fields.text("kind", 1)
    if kind not in _READ:
        raise ValueError(f"message: kind is {kind!r}: allowed are {', '.join(sorted(_READ))}")
    message = _READ[kind](fields)
    fields.end()
    return message


class _Fields:
    """Takes a row's fields one by one; each has a name, a type and bounds."""

    def __init__(self, row: Any, what: str) -> None:
        if not isinstance(row, (list, tuple)):
            raise ValueError(f"{what}: not a list")
        self.row, self.at, self.what = row, 0, what

    def _next(self, name: str) -> Any:
        if self.at >= len(self.row):
            raise ValueError(f"{self.what}: {name} is missing")
        self.at += 1
        return self.row[self.at - 1]

    def more(self) -> bool:
        return self.at < len(self.row)

    def end(self) -> None:
        if self.more():
            raise ValueError(f"{self.what}: {len(self.row) - self.at} fields too many")

    def text(self, name: str, most: int, least: int = 1) -> str:
        value = self._next(name)
        if not isinstance(value, str) or not least <= len(value) <= most:
            raise ValueError(f"{self.what}: {name} is not a text of {least} to {most} characters")
        return value

    def number(self, name: str, most: int = NUMBER_MOST, least: int = 0) -> int:
        value = self._next(name)
        if type(value) is not int or not least <= value <= most:
            raise ValueError(f"{self.what}: {name} is not a number from {least} to {most}")
        return value

    def flag(self, name: str) -> bool:
        value = self._next(name)
        if not isinstance(value, bool):
            raise ValueError(f"{self.what}: {name} is not true or false")
        return value

    def data(self, name: str, most: int) -> bytes:
        value = self._next(name)
        if not isinstance(value, bytes) or len(value) > most:
            raise ValueError(f"{self.what}: {name} is not at most {most} bytes")
        return value

    def member(self, name: str) -> MemberId:
        return MemberId(self.text(f"{name}'s site", NAME_MOST), self.text(f"{name}'s name", NAME_MOST))

    def address(self) -> Address:
        return self.text("host", HOST_MOST), self.number("port", 65_535, 1)

    def report(self) -> MemberReport:
        return _report(self._next("sender"))

    def many(self, name: str, most: int, read: Callable[[Any], T]) -> tuple[T, ...]:
        value = self._next(name)
        if not isinstance(value, (list, tuple)) or len(value) > most:
            raise ValueError(f"{self.what}: {name} is not a list of at most {most}")
        return tuple(read(one) for one in value)

    def items(self, most: int = ITEMS_MOST) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        return self.many("reports", most, _report), self.many("rumours", most, _rumour)


def _report(row: Any) -> MemberReport:
    f = _Fields(row, "report")
    member, life = f.member("member"), Incarnation(f.number("start"), f.number("nonce", BITS))
    word, state, address = f.number("word", WORD_MOST), State(f.number("state", 3)), f.address()
    draining = f.flag("draining") if f.more() else False
    by, ago = None, 0
    if f.more():
        site, name = f.text("by's site", NAME_MOST, 0), f.text("by's name", NAME_MOST, 0)
        by, ago = (MemberId(site, name) if site and name else None), f.number("ago_ms")
    f.end()
    if by is None and state in (State.SUSPECT, State.DEAD):
        raise ValueError("report: by is missing, and nobody is accused by nobody")
    return MemberReport(member, life, word, state, address, draining, by, ago)


def _rumour(row: Any) -> GossipEntry:
    f = _Fields(row, "rumour")
    rumour = GossipEntry(
        f.member("owner"),
        f.text("key", KEY_MOST),
        f.number("version"),
        f.data("body", RUMOUR_MOST),
        f.number("keep_us"),
    )
    f.end()
    return rumour


_READ: dict[str, Callable[[_Fields], Message]] = {
    "p": lambda f: Ping(f.number("seq"), f.report(), f.member("target"), f.flag("silent"), *f.items()),
    "a": lambda f: Ack(f.number("seq"), f.report(), *f.items()),
    "q": lambda f: PingRequest(f.number("seq"), f.report(), f.member("target"), f.address(), *f.items()),
    "i": lambda f: IndirectAck(
        f.number("seq"), f.report(), f.member("target"), f.many("reports", ITEMS_MOST, _report)
    ),
    "n": lambda f: Nack(f.number("seq"), f.report()),
    "w": lambda f: ReachableVia(f.report(), f.member("target")),
    "f": lambda f: FullState(f.report(), f.number("digest", BITS), f.flag("ask"), *f.items(STATE_MOST)),
}
