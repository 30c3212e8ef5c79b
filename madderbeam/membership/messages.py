"""The messages of membership and their encoding as rows: lists, strings, bytes and numbers, all bounded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from madderbeam.membership.values import (
    MAX_ENTRY_BODY_BYTES,
    MAX_NAME_CHARS,
    Address,
    GossipEntry,
    Incarnation,
    MemberId,
    Row,
    State,
)

MAX_KEY_CHARS = 128  # of a gossip entry's key
MAX_HOST_CHARS = 255
MAX_DATAGRAM_ITEMS = 64  # per list in a datagram
MAX_STATE_ITEMS = 8_192  # per list in a full state
MAX_NUMBER = (1 << 63) - 1
MAX_UINT64 = (1 << 64) - 1
MAX_REFUTATION = (1 << 31) - 1


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A report on a member.

    `accuser`: the accuser (SUSPECT, DEAD); `gone_for_ms`: how long ago it died or left.
    """

    id: MemberId
    incarnation: Incarnation
    refutation: int
    state: State
    address: Address
    draining: bool = False
    accuser: MemberId | None = None
    dead_for_ms: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member. `hears_nobody`: the sender has received nothing for a while."""

    seq: int
    sender: MemberReport
    target: MemberId
    hears_nobody: bool = False
    reports: tuple[MemberReport, ...] = ()
    entries: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a ping."""

    seq: int
    sender: MemberReport
    reports: tuple[MemberReport, ...] = ()
    entries: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to probe the target on the sender's behalf."""

    seq: int
    sender: MemberReport
    target: MemberId
    address: Address
    reports: tuple[MemberReport, ...] = ()
    entries: tuple[GossipEntry, ...] = ()


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
    is_request: bool = False
    reports: tuple[MemberReport, ...] = ()
    entries: tuple[GossipEntry, ...] = ()


Message = Ping | Ack | PingRequest | IndirectAck | Nack | ReachableVia | FullState
T = TypeVar("T")


def report_row(report: MemberReport) -> Row:
    """Encode a report; trailing default fields are omitted."""
    row: Row = [
        report.id.site,
        report.id.name,
        report.incarnation.start,
        report.incarnation.nonce,
        report.refutation,
        int(report.state),
        *report.address,
    ]
    if report.accuser is not None or report.dead_for_ms:
        return [
            *row,
            report.draining,
            *((report.accuser.site, report.accuser.name) if report.accuser else ("", "")),
            report.dead_for_ms,
        ]
    return [*row, True] if report.draining else row


def entry_row(entry: GossipEntry) -> Row:
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
    entries = [entry_row(item) for item in message.entries]
    if isinstance(message, Ping):
        return [
            "p",
            message.seq,
            sender,
            message.target.site,
            message.target.name,
            message.hears_nobody,
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
    return ["f", sender, message.digest, message.is_request, reports, entries]


def from_row(row: Any) -> Message:
    """Decode a message. Raises ValueError, naming the field, for anything that `to_row` does not write."""
    fields = _Fields(row, "message")
    kind = fields.text("kind", 1)
    if kind not in _READERS:
        raise ValueError(f"message: kind is {kind!r}: allowed are {', '.join(sorted(_READERS))}")
    message = _READERS[kind](fields)
    fields.check_end()
    return message


class _Fields:
    """Reads a row field by field; each has a name, a type and bounds."""

    def __init__(self, row: Any, subject: str) -> None:
        if not isinstance(row, (list, tuple)):
            raise ValueError(f"{subject}: not a list")
        self.row, self.position, self.subject = row, 0, subject

    def _next(self, name: str) -> Any:
        if self.position >= len(self.row):
            raise ValueError(f"{self.subject}: {name} is missing")
        self.position += 1
        return self.row[self.position - 1]

    def has_more(self) -> bool:
        """Whether fields are left."""
        return self.position < len(self.row)

    def check_end(self) -> None:
        """ValueError if fields are left."""
        if self.has_more():
            raise ValueError(f"{self.subject}: {len(self.row) - self.position} fields too many")

    def text(self, name: str, max_chars: int, min_chars: int = 1) -> str:
        """The next field as a string of this length."""
        value = self._next(name)
        if not isinstance(value, str) or not min_chars <= len(value) <= max_chars:
            raise ValueError(
                f"{self.subject}: {name} is not a string of {min_chars} to {max_chars} characters"
            )
        return value

    def number(self, name: str, maximum: int = MAX_NUMBER, minimum: int = 0) -> int:
        """The next field as an integer in this range."""
        value = self._next(name)
        if type(value) is not int or not minimum <= value <= maximum:
            raise ValueError(f"{self.subject}: {name} is not a number from {minimum} to {maximum}")
        return value

    def flag(self, name: str) -> bool:
        """The next field as a boolean."""
        value = self._next(name)
        if not isinstance(value, bool):
            raise ValueError(f"{self.subject}: {name} is not true or false")
        return value

    def data(self, name: str, max_bytes: int) -> bytes:
        """The next field as bytes of this length at most."""
        value = self._next(name)
        if not isinstance(value, bytes) or len(value) > max_bytes:
            raise ValueError(f"{self.subject}: {name} is not at most {max_bytes} bytes")
        return value

    def member(self, name: str) -> MemberId:
        """The next two fields as a member id."""
        return MemberId(
            self.text(f"{name}'s site", MAX_NAME_CHARS), self.text(f"{name}'s name", MAX_NAME_CHARS)
        )

    def address(self) -> Address:
        """The next two fields as host and port."""
        return self.text("host", MAX_HOST_CHARS), self.number("port", 65_535, 1)

    def report(self) -> MemberReport:
        """The next field as the sender's report."""
        return _read_report(self._next("sender"))

    def items(self, name: str, max_items: int, read_item: Callable[[Any], T]) -> tuple[T, ...]:
        """The next field as a list, each item decoded by `read_item`."""
        value = self._next(name)
        if not isinstance(value, (list, tuple)) or len(value) > max_items:
            raise ValueError(f"{self.subject}: {name} is not a list of at most {max_items} items")
        return tuple(read_item(item) for item in value)

    def reports_and_entries(
        self, max_items: int = MAX_DATAGRAM_ITEMS
    ) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        """The next two fields as reports and gossip entries."""
        return self.items("reports", max_items, _read_report), self.items("rumours", max_items, _read_entry)


def _read_report(row: Any) -> MemberReport:
    fields = _Fields(row, "report")
    member, incarnation = (
        fields.member("member"),
        Incarnation(fields.number("start"), fields.number("nonce", MAX_UINT64)),
    )
    refutation, state, address = (
        fields.number("word", MAX_REFUTATION),
        State(fields.number("state", 3)),
        fields.address(),
    )
    draining = fields.flag("draining") if fields.has_more() else False
    accuser, gone_for_ms = None, 0
    if fields.has_more():
        site, name = fields.text("by's site", MAX_NAME_CHARS, 0), fields.text("by's name", MAX_NAME_CHARS, 0)
        accuser, gone_for_ms = (MemberId(site, name) if site and name else None), fields.number("ago_ms")
    fields.check_end()
    if accuser is None and state in (State.SUSPECT, State.DEAD):
        raise ValueError("report: by is missing: a suspicion or death names its accuser")
    return MemberReport(member, incarnation, refutation, state, address, draining, accuser, gone_for_ms)


def _read_entry(row: Any) -> GossipEntry:
    fields = _Fields(row, "rumour")
    entry = GossipEntry(
        fields.member("owner"),
        fields.text("key", MAX_KEY_CHARS),
        fields.number("version"),
        fields.data("body", MAX_ENTRY_BODY_BYTES),
        fields.number("keep_us"),
    )
    fields.check_end()
    return entry


_READERS: dict[str, Callable[[_Fields], Message]] = {
    "p": lambda f: Ping(
        f.number("seq"), f.report(), f.member("target"), f.flag("silent"), *f.reports_and_entries()
    ),
    "a": lambda f: Ack(f.number("seq"), f.report(), *f.reports_and_entries()),
    "q": lambda f: PingRequest(
        f.number("seq"), f.report(), f.member("target"), f.address(), *f.reports_and_entries()
    ),
    "i": lambda f: IndirectAck(
        f.number("seq"), f.report(), f.member("target"), f.items("reports", MAX_DATAGRAM_ITEMS, _read_report)
    ),
    "n": lambda f: Nack(f.number("seq"), f.report()),
    "w": lambda f: ReachableVia(f.report(), f.member("target")),
    "f": lambda f: FullState(
        f.report(), f.number("digest", MAX_UINT64), f.flag("ask"), *f.reports_and_entries(MAX_STATE_ITEMS)
    ),
}
