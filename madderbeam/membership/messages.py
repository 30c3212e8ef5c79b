"""The messages of membership and their encoding as rows: lists, strings, bytes and numbers, all bounded."""

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

KEY_MOST = 128  # of a gossip entry's key
HOST_MOST = 255
ITEMS_MOST = 64  # per list in a datagram
STATE_MOST = 8_192  # per list in a full state
NUMBER_MOST = (1 << 63) - 1
BITS = (1 << 64) - 1
WORD_MOST = (1 << 31) - 1


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A report on a member.

    `by`: the accuser (SUSPECT, DEAD); `ago_ms`: how long ago it died or left.
    """

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
    """Probe of a member. `hears_nobody`: the sender has received nothing for a while."""

    seq: int
    sender: MemberReport
    target: MemberId
    silent: bool = False
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a ping."""

    seq: int
    sender: MemberReport
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to probe the target on the sender's behalf."""

    seq: int
    sender: MemberReport
    target: MemberId
    address: Address
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectAck:
    """Reply to a ping request: the target has acknowledged."""

    seq: int
    sender: MemberReport
    target: MemberId
    reports: tuple[MemberReport, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """Reply to a ping request: no ack from the target yet, but the sender is reachable (Lifeguard)."""

    seq: int
    sender: MemberReport


@dataclass(frozen=True, slots=True)
class ReachableVia:
    """The sender recently received from the target that the receiver accuses, and can probe it on request."""

    sender: MemberReport
    target: MemberId


@dataclass(frozen=True, slots=True)
class FullState:
    """A state on a stream connection.

    A request holds the digest only; a reply, or the follow-up to one, holds all that the sender knows
    (nothing if the digests are equal).
    """

    sender: MemberReport
    digest: int  # of the sender's state, 64 bits
    ask: bool = False
    reports: tuple[MemberReport, ...] = ()
    rumours: tuple[GossipEntry, ...] = ()


Message = Ping | Ack | PingRequest | IndirectAck | Nack | ReachableVia | FullState
T = TypeVar("T")


def report_row(report: MemberReport) -> Row:
    """Encode a report; trailing default fields are omitted."""
    row: Row = [
        report.id.site,
        report.id.name,
        report.life.start,
        report.life.nonce,
        report.word,
        int(report.state),
        *report.address,
    ]
    if report.by is not None or report.ago_ms:
        return [
            *row,
            report.draining,
            *((report.by.site, report.by.name) if report.by else ("", "")),
            report.ago_ms,
        ]
    return [*row, True] if report.draining else row


def rumour_row(entry: GossipEntry) -> Row:
    """Encode a gossip entry."""
    return [entry.owner.site, entry.owner.name, entry.key, entry.version, entry.body, entry.keep_us]


def to_row(message: Message) -> Row:
    """Encode the message for msgpack; decoded by `from_row`."""
    sender = report_row(message.sender)
    if isinstance(message, Nack):
        return ["n", message.seq, sender]
    if isinstance(message, ReachableVia):
        return ["w", sender, message.target.site, message.target.name]
    reports = [report_row(item) for item in message.reports]
    if isinstance(message, IndirectAck):
        return ["i", message.seq, sender, message.target.site, message.target.name, reports]
    entries = [rumour_row(item) for item in message.rumours]
    if isinstance(message, Ping):
        return [
            "p",
            message.seq,
            sender,
            message.target.site,
            message.target.name,
            message.silent,
            reports,
            entries,
        ]
    if isinstance(message, Ack):
        return ["a", message.seq, sender, reports, entries]
    if isinstance(message, PingRequest):
        return [
            "q",
            message.seq,
            sender,
            message.target.site,
            message.target.name,
            *message.address,
            reports,
            entries,
        ]
    return ["f", sender, message.digest, message.ask, reports, entries]


def from_row(row: Any) -> Message:
    """Decode a message. Raises ValueError, naming the field, for anything that `to_row` does not write."""
    fields = _Fields(row, "message")
    kind = fields.text("kind", 1)
    if kind not in _READ:
        raise ValueError(f"message: kind is {kind!r}: allowed are {', '.join(sorted(_READ))}")
    message = _READ[kind](fields)
    fields.end()
    return message


class _Fields:
    """Reads a row field by field; each has a name, a type and bounds."""

    def __init__(self, row: Any, subject: str) -> None:
        if not isinstance(row, (list, tuple)):
            raise ValueError(f"{subject}: not a list")
        self.row, self.at, self.what = row, 0, subject

    def _next(self, name: str) -> Any:
        if self.at >= len(self.row):
            raise ValueError(f"{self.what}: {name} is missing")
        self.at += 1
        return self.row[self.at - 1]

    def more(self) -> bool:
        """Whether fields are left."""
        return self.at < len(self.row)

    def end(self) -> None:
        """ValueError if fields are left."""
        if self.more():
            raise ValueError(f"{self.what}: {len(self.row) - self.at} fields too many")

    def text(self, name: str, max_chars: int, min_chars: int = 1) -> str:
        """The next field as a string of this length."""
        value = self._next(name)
        if not isinstance(value, str) or not min_chars <= len(value) <= max_chars:
            raise ValueError(f"{self.what}: {name} is not a string of {min_chars} to {max_chars} characters")
        return value

    def number(self, name: str, maximum: int = NUMBER_MOST, minimum: int = 0) -> int:
        """The next field as an integer in this range."""
        value = self._next(name)
        if type(value) is not int or not minimum <= value <= maximum:
            raise ValueError(f"{self.what}: {name} is not a number from {minimum} to {maximum}")
        return value

    def flag(self, name: str) -> bool:
        """The next field as a boolean."""
        value = self._next(name)
        if not isinstance(value, bool):
            raise ValueError(f"{self.what}: {name} is not true or false")
        return value

    def data(self, name: str, max_bytes: int) -> bytes:
        """The next field as bytes of this length at most."""
        value = self._next(name)
        if not isinstance(value, bytes) or len(value) > max_bytes:
            raise ValueError(f"{self.what}: {name} is not at most {max_bytes} bytes")
        return value

    def member(self, name: str) -> MemberId:
        """The next two fields as a member id."""
        return MemberId(self.text(f"{name}'s site", NAME_MOST), self.text(f"{name}'s name", NAME_MOST))

    def address(self) -> Address:
        """The next two fields as host and port."""
        return self.text("host", HOST_MOST), self.number("port", 65_535, 1)

    def report(self) -> MemberReport:
        """The next field as the sender's report."""
        return _report(self._next("sender"))

    def many(self, name: str, max_items: int, read_item: Callable[[Any], T]) -> tuple[T, ...]:
        """The next field as a list, each item decoded by `read_item`."""
        value = self._next(name)
        if not isinstance(value, (list, tuple)) or len(value) > max_items:
            raise ValueError(f"{self.what}: {name} is not a list of at most {max_items} items")
        return tuple(read_item(item) for item in value)

    def items(self, max_items: int = ITEMS_MOST) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        """The next two fields as reports and gossip entries."""
        return self.many("reports", max_items, _report), self.many("rumours", max_items, _rumour)


def _report(row: Any) -> MemberReport:
    fields = _Fields(row, "report")
    member, incarnation = (
        fields.member("member"),
        Incarnation(fields.number("start"), fields.number("nonce", BITS)),
    )
    refutation, state, address = (
        fields.number("word", WORD_MOST),
        State(fields.number("state", 3)),
        fields.address(),
    )
    draining = fields.flag("draining") if fields.more() else False
    accuser, gone_for_ms = None, 0
    if fields.more():
        site, name = fields.text("by's site", NAME_MOST, 0), fields.text("by's name", NAME_MOST, 0)
        accuser, gone_for_ms = (MemberId(site, name) if site and name else None), fields.number("ago_ms")
    fields.end()
    if accuser is None and state in (State.SUSPECT, State.DEAD):
        raise ValueError("report: by is missing: a suspicion or death names its accuser")
    return MemberReport(member, incarnation, refutation, state, address, draining, accuser, gone_for_ms)


def _rumour(row: Any) -> GossipEntry:
    fields = _Fields(row, "rumour")
    entry = GossipEntry(
        fields.member("owner"),
        fields.text("key", KEY_MOST),
        fields.number("version"),
        fields.data("body", RUMOUR_MOST),
        fields.number("keep_us"),
    )
    fields.end()
    return entry


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
