"""The values that membership, relay and federation share: members, rumours, and the actions of all three.

Each machine is `handle(now_us, event) -> list of actions`. Times are the monotonic clock's microseconds; only
spans travel between processes. Actions are carried out in their order, and what stands behind a `Persist` in
one list only once that record is on disk: a word that was not written is not given. If the disk does not take
it, the rest of the list is dropped and the machine is told `Unwritten`; it gives its word again with the same
`Persist` before it. So a record always tells the whole state of its subject.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

Address = tuple[str, int]
Row = list[Any]  # a message or record as lists, strings, bytes, numbers, None: what msgpack takes

NAME_MOST = 64  # characters of the name of a site, member, topic or federation
RUMOUR_MOST = 512  # bytes of a rumour's body


@dataclass(frozen=True, order=True)
class MemberId:
    """One courier of the federation, whatever process it is now."""

    site: str
    name: str

    def __str__(self) -> str:
        return f"{self.site}/{self.name}"


@dataclass(frozen=True, order=True)
class Incarnation:
    """One run of a member's process. `start` is durable and grows by one with each start; `nonce` is drawn at
    the start: two lives with one start and two nonces come from a folder that was copied."""

    start: int
    nonce: int


class State(IntEnum):
    """What is thought of a member; of two words on one incarnation the greater counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class MemberView:
    """What a member thinks of another. `word`: the SWIM incarnation within its life; `since_us`: when the
    state was entered, by the viewer's clock."""

    id: MemberId
    life: Incarnation
    word: int
    state: State
    address: Address
    since_us: int
    draining: bool = False  # it works, and wants nothing new: no relay is chosen there


@dataclass(frozen=True)
class GossipEntry:
    """News that reaches all: the highest version of a key counts. `owner` alone makes versions of it, and
    the rumour is let go of `keep_us` after its owner is dead or left (0: at once)."""

    owner: MemberId
    key: str
    version: int
    body: bytes
    keep_us: int = 0


# Actions that all machines have


@dataclass(frozen=True)
class Persist:
    """Keep this; what follows in the list waits for it. A value of None forgets the key."""

    kind: str  # member, table, vote, custody, ...: one machine's own
    key: str
    value: Any


@dataclass(frozen=True)
class SetTimer:
    """Hand in a `Due` with this token, not before `at_us`. A later one with the same token replaces it."""

    at_us: int
    token: str


@dataclass(frozen=True)
class LogLine:
    """A line for the log; `error` has one of federation/errors.py where there is something to be done."""

    text: str
    error: Exception | None = None


# Events that all machines have


@dataclass(frozen=True)
class TimerDue:
    """A timer's time has come, perhaps long ago."""

    token: str


@dataclass(frozen=True)
class WriteFailed:
    """The disk did not take this record, and nothing that stood behind it was carried out."""

    kind: str
    key: str


# Links between members (relay and federation speak over them; membership's full state as well)


@dataclass(frozen=True)
class LinkUp:
    """Messages can go to this member; none sent before arrives any more. `rtt_us`: as measured."""

    member: MemberId
    rtt_us: int = 0


@dataclass(frozen=True)
class LinkDown:
    """The link broke: what was sent last may or may not have arrived."""

    member: MemberId


@dataclass(frozen=True)
class MessageReceived:
    """A message of the machine's own (its messages.py) came from this member, in the order in which it was
    sent, whole and within bounds. `said_us`: the earliest moment at which it can have been said, by the clock
    of whoever is told; None: as it is told."""

    member: MemberId
    message: Any
    said_us: int | None = None


@dataclass(frozen=True)
class SendMessage:
    """Send this to a member by the link that is up; lost where none is: a timer sends it again."""

    member: MemberId
    message: Any


# Membership's own


@dataclass(frozen=True)
class DatagramReceived:
    """A message of membership's (messages.py) has come, whole and within bounds."""

    message: Any
    source: Address


@dataclass(frozen=True)
class Disseminate:
    """News of this member's, for all. `at_once`: the members of its site are told without waiting for the
    probes, as far as the settings let; whom that does not reach hears of it with them."""

    key: str
    version: int
    body: bytes
    keep_us: int = 0
    at_once: bool = False


@dataclass(frozen=True)
class SetDraining:
    """This member wants nothing new (or again does)."""

    on: bool


@dataclass(frozen=True)
class Leave:
    """This member goes on purpose: it says so before it ends."""


@dataclass(frozen=True)
class SendDatagram:
    """One datagram; it may be lost."""

    to: Address
    message: Any


@dataclass(frozen=True)
class StartStateExchange:
    """Hand one's whole state over on a stream connection, and take the other's."""

    to: Address
    message: Any


@dataclass(frozen=True)
class MemberChanged:
    """Another member is thought of differently; relay and federation are told of it."""

    view: MemberView


@dataclass(frozen=True)
class GossipReceived:
    """A rumour that is new here; relay and federation are told of it."""

    rumour: GossipEntry


@dataclass(frozen=True)
class PauseDetected:
    """This process was paused for so long: what it knew may be over. Federation asks before it serves."""

    paused_us: int


# Membership's full state, on a stream connection


@dataclass(frozen=True)
class StateReceived:
    """Another's state (messages.Full) came whole and within bounds. `reply` names the connection where the
    other opened it (answered by `StateReply` at once); 0: this is the answer to our `Exchange`."""

    message: Any
    reply: int = 0


@dataclass(frozen=True)
class StateReply:
    """Hand one's whole state back on the connection that asked, then close it."""

    reply: int
    message: Any


@dataclass(frozen=True)
class ExchangeFailed:
    """No connection, or no whole answer in time (the transport's bound)."""

    to: Address


@dataclass(frozen=True)
class RollbackDetected:
    """Action: this member's durable folder is older than one that it ran with before, or another process
    has a copy of it. Federation is told: no votes until an operator says `Trusted`."""

    seen: Incarnation
    mine: Incarnation = Incarnation(0, 0)


@dataclass(frozen=True)
class IncarnationRaised:
    """Action: this member goes on in a life above all that were seen of it; what it says from now on bears
    this one, or others take it for what is over. Behind the record of it, at each start as well."""

    life: Incarnation


@dataclass(frozen=True)
class SiteView:
    """A site as a group. `live`: members neither dead nor left, by name; `none_since_us`: since when there
    is none, by the viewer's clock (None: there is one)."""

    site: str
    live: tuple[MemberId, ...]
    none_since_us: int | None
