"""Values shared by membership, relay and federation: members, gossip entries, events and actions.

Each state machine is `handle(now_us, event) -> list of actions`. Times are microseconds of the monotonic
clock; only durations travel between processes. Actions are performed in order. What follows a `Persist` in
one list is performed only once that record is on disk, so a promise that was not written is never sent. If
the write fails, the rest of the list is dropped and the machine receives `WriteFailed`; it repeats the
promise later with the same `Persist` before it. Therefore a record always holds the whole state of its
subject.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

Address = tuple[str, int]
Row = list[Any]  # a message or record as lists, strings, bytes, numbers and None, as msgpack encodes it

MAX_NAME_CHARS = 64  # of a site, member, topic or federation
MAX_ENTRY_BODY_BYTES = 512  # of a gossip entry's body


@dataclass(frozen=True, order=True)
class MemberId:
    """One courier of the federation, across restarts of its process."""

    site: str
    name: str

    def __str__(self) -> str:
        return f"{self.site}/{self.name}"


@dataclass(frozen=True, order=True)
class Incarnation:
    """One run of a member's process.

    `start` is durable and grows by one with each start; `nonce` is drawn at random at the start. Two
    incarnations with the same start and different nonces come from a state directory that was copied.
    """

    start: int
    nonce: int


class State(IntEnum):
    """The state of a member.

    Of two reports on the same incarnation and refutation number the one with the greater state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class MemberView:
    """What one member knows about another.

    `refutation`: the refutation number (SWIM's incarnation number) within the process's incarnation.
    `since_us`: when the state was entered, by the viewer's clock.
    """

    id: MemberId
    incarnation: Incarnation
    refutation: int
    state: State
    address: Address
    since_us: int
    draining: bool = False  # it runs but wants no new work: no relay is chosen there


@dataclass(frozen=True)
class GossipEntry:
    """A versioned key and value that is disseminated to all members; the highest version of a key wins.

    Only `owner` creates versions of it. The entry is removed `keep_us` after its owner is dead or has left
    (0: at once).
    """

    owner: MemberId
    key: str
    version: int
    body: bytes
    keep_us: int = 0


# Actions common to all machines


@dataclass(frozen=True)
class Persist:
    """Store this record durably; the actions that follow in the list wait for it.

    A value of None deletes the key.
    """

    kind: str  # the machine's own record type: member, table, vote, custody, ...
    key: str
    value: Any


@dataclass(frozen=True)
class SetTimer:
    """Deliver a `TimerDue` with this token, not before `at_us`.

    A later timer with the same token replaces it.
    """

    at_us: int
    token: str


@dataclass(frozen=True)
class LogLine:
    """A line for the log; `error` holds an error of federation/errors.py if an operator should act on it."""

    text: str
    error: Exception | None = None


# Events common to all machines


@dataclass(frozen=True)
class TimerDue:
    """A timer has expired, possibly long ago."""

    token: str


@dataclass(frozen=True)
class WriteFailed:
    """This record could not be written, and none of the actions behind it was performed."""

    kind: str
    key: str


# Links between members, used by relay and federation


@dataclass(frozen=True)
class LinkUp:
    """Messages can be sent to this member; none sent before arrives any more.

    `rtt_us`: the measured round trip.
    """

    member: MemberId
    rtt_us: int = 0


@dataclass(frozen=True)
class LinkDown:
    """The link broke: the last messages sent on it may or may not have arrived."""

    member: MemberId


@dataclass(frozen=True)
class MessageReceived:
    """A message of the machine's own protocol arrived from this member, complete, valid and in order.

    `earliest_sent_us`: the earliest time, by the receiver's clock, at which it can have been sent; None: the
    time of this event.
    """

    member: MemberId
    message: Any
    earliest_sent_us: int | None = None


@dataclass(frozen=True)
class SendMessage:
    """Send this to a member over the link; lost if no link is up, so the sender retries by a timer."""

    member: MemberId
    message: Any


# Events and actions of membership


@dataclass(frozen=True)
class DatagramReceived:
    """A message of the membership protocol (messages.py) arrived, complete and within bounds."""

    message: Any
    source: Address


@dataclass(frozen=True)
class Disseminate:
    """Disseminate a gossip entry of this member.

    `at_once`: the members of its site get it directly without waiting for the probes, within the rate limit
    of the settings; all others get it along with the probes.
    """

    key: str
    version: int
    body: bytes
    keep_us: int = 0
    at_once: bool = False


@dataclass(frozen=True)
class SetDraining:
    """This member wants no new work, or accepts it again."""

    draining: bool


@dataclass(frozen=True)
class Leave:
    """This member leaves on purpose and announces it before its process ends."""


@dataclass(frozen=True)
class SendDatagram:
    """Send one datagram; it may be lost."""

    address: Address
    message: Any


@dataclass(frozen=True)
class StartStateExchange:
    """Send the whole state over a stream connection and receive the other member's."""

    address: Address
    message: Any


@dataclass(frozen=True)
class MemberChanged:
    """The state of another member has changed here; relay and federation are notified."""

    view: MemberView


@dataclass(frozen=True)
class GossipReceived:
    """A gossip entry that is new here; relay and federation are notified."""

    entry: GossipEntry


@dataclass(frozen=True)
class PauseDetected:
    """This process was paused so long that its state may be outdated; federation asks before it serves."""

    paused_us: int


# Full state exchange of membership over a stream connection


@dataclass(frozen=True)
class StateReceived:
    """Another member's state (messages.FullState) arrived, complete and within bounds.

    `reply` identifies the connection if the other member opened it (answered by `StateReply` at once); 0:
    this is the reply to our `StartStateExchange`.
    """

    message: Any
    reply_id: int = 0


@dataclass(frozen=True)
class StateReply:
    """Send the whole state back on the connection that asked for it, then close the connection."""

    reply_id: int
    message: Any


@dataclass(frozen=True)
class ExchangeFailed:
    """The connection failed, or no complete reply came within the transport's time limit."""

    address: Address


@dataclass(frozen=True)
class RollbackDetected:
    """Action: this member's state was restored from an older copy, or another process runs on a copy of it.

    Federation is notified: this member does not vote until an operator says `Trusted`.
    """

    seen: Incarnation
    current: Incarnation = Incarnation(0, 0)


@dataclass(frozen=True)
class IncarnationRaised:
    """Action: this member continues in an incarnation above all that were seen of it.

    All it sends from now on carries this incarnation, since others ignore older ones. It follows the
    incarnation's record, at each start as well.
    """

    incarnation: Incarnation


@dataclass(frozen=True)
class SiteView:
    """The members of one site.

    `live`: members neither dead nor left, by name. `empty_since_us`: since when there is none, by the
    viewer's clock (None: there is one).
    """

    site: str
    live: tuple[MemberId, ...]
    empty_since_us: int | None
