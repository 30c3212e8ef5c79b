"""The types that pass between a courier and its host: settings, events, actions.

Times ending in ``_us`` are microseconds; an event's times are on the clock given to ``Courier.handle``.
An endpoint is an opaque integer; equal integers are the same endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, fields
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """What a repeat of a message does: nothing (safe), nothing within a key's window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(Enum):
    """How an attempt or a probe ended. Only FULL, CONNECT_FAILED and MOOT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class EndpointState(Enum):
    """What the endpoint list says of an endpoint; it says nothing of health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    """DELTA changes the list held; FULL and CACHED replace it; FAILED: a request for it failed."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


def _need(ok: bool, field: str, allowed: str) -> None:
    if not ok:
        raise ValueError(f"{field}: must be {allowed}")


def _check_times(owner: object, prefix: str) -> None:
    for f in fields(owner):  # type: ignore[arg-type]
        if f.name.endswith("_us"):
            _need(getattr(owner, f.name) >= 0, f"{prefix}{f.name}", "0 or more microseconds")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What the messages of one class are worth, and what may be done with them."""

    name: str
    aim_us: int  # delivered within this it earns its full worth
    deadline_us: int  # and within this, a part
    effect: Effect = Effect.SAFE
    worth: float = 1.0
    late_share: float = 0.0  # share of the worth left at the deadline
    key_scope: str = "all"  # keyed: the endpoints that drop repeats: "all", or one "zone" or "cell" only
    key_window_us: int = 0  # keyed: for how long they drop them
    ordered: bool = False  # messages with the same key go one at a time

    def __post_init__(self) -> None:
        p = f"classes.{self.name}."
        _check_times(self, p)
        _need(self.aim_us > 0, p + "aim_us", "above 0")
        _need(self.deadline_us >= self.aim_us, p + "deadline_us", "at least aim_us")
        _need(isinstance(self.effect, Effect), p + "effect", "an Effect")
        _need(self.worth >= 0, p + "worth", "0 or more")
        _need(0 <= self.late_share <= 1, p + "late_share", "from 0 to 1")
        _need(self.key_scope in ("all", "zone", "cell"), p + "key_scope", "all, zone or cell")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose traffic within its share counts in full."""

    name: str
    share: float
    quota_per_s: float  # from all couriers together

    def __post_init__(self) -> None:
        _need(0 <= self.share <= 1, f"tenants.{self.name}.share", "from 0 to 1")
        _need(self.quota_per_s >= 0, f"tenants.{self.name}.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    name: str
    routes_apart: bool = False  # each endpoint has its own limit, waits and outages
    batch: int = 1  # messages of one turn to one endpoint that travel as one call, at most

    def __post_init__(self) -> None:
        _need(self.batch >= 1, f"kinds.{self.name}.batch", "1 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a courier is told at its start. Invalid values raise ValueError naming the field."""

    classes: tuple[MessageClass, ...]
    slots: int  # calls that may be out at once
    max_held: int  # messages that may be held, sent or not
    kinds: tuple[Kind, ...] = (Kind("any"),)
    tenants: tuple[Tenant, ...] = ()
    couriers: int = 1  # how many share the traffic
    me: int = 0
    max_attempts: int = 3
    # The design's own figures, where an installation sets them.
    tries: int = 3  # attempts of one message, first included (the note's default)
    backoff_base_us: int = 100_000  # first ceiling of the jittered wait (the note's default)
    backoff_cap_us: int = 3_000_000  # highest ceiling (the note's default)
    window: int = 0  # calls out at once to one destination; 0: three quarters of the slots, which is the most
    second_copies: bool = False  # two attempts of one message may be out at once
    may_probe: bool = False
    may_cancel: bool = False
    peer_notes: bool = False
    tick_us: int = 1000  # least time between two turns
    max_retry_after_us: int = 0  # the longest wait that clients heed; 0: they are told none
    clients_mark_retries: bool = False  # MessageArrived.resubmitted is told
    connection_idle_us: int = 10_000_000
    connect_timeout_us: int = 1_000_000
    drain_grace_us: int = 0
    cold_share: float = 0.1  # share of its capacity that a returning destination has at least
    cold_us: int = 10_000_000  # after this it has all of it
    fall_multiple: float = 2.0  # more than this multiple of its present capacity,
    fall_us: int = 1_000_000  # for this long, pushes it over
    key_rest_us: int = 0
    answer_slack_us: int = 0
    list_on_request: bool = False  # the endpoint list comes only after Subscribe or FetchList
    rates_listed: bool = False  # the list gives each destination's rate (else its figure means nothing)
    report: tuple[str, ...] = ()  # values of load reports, where the host makes the list's rates from them
    over_share_worth: float = 1.0
    late_halves: bool = False  # worth halves with each further aim, in place of falling evenly
    zone_fees: tuple[float, ...] = ()
    refused_price: float = 0.0  # what each call refused above a limit costs, as a share of a message

    def __post_init__(self) -> None:
        _check_times(self, "")
        _need(len(self.classes) > 0, "classes", "at least one class")
        _need(len(self.kinds) > 0, "kinds", "at least one kind")
        for name in ("slots", "max_held", "couriers", "max_attempts", "tick_us"):
            _need(getattr(self, name) >= 1, name, "1 or more")
        _need(0 <= self.me < self.couriers, "me", "from 0 to under couriers")
        _need(0 < self.cold_share <= 1, "cold_share", "above 0 and at most 1")
        _need(self.fall_multiple > 0, "fall_multiple", "above 0")
        _need(0 <= self.over_share_worth <= 1, "over_share_worth", "from 0 to 1")


# Events: what the host tells the courier, in the order in which it came.


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One line of the endpoint list."""

    endpoint: int
    destination: int
    state: EndpointState
    rate_per_s: float = 0.0  # calls a second taken from all couriers together, where rates are listed
    kind: int = 0
    zone: int = 0
    closed_until_us: int = 0  # a told wait that began before this process
    cold: bool = False  # it comes back from a restart that the list does not tell of
    # What other couriers of the site have learnt there. 0: nothing.
    part: float = 1.0  # with `cold`: one of so many was answered; this courier's part of what it may get
    full_until_us: int = 0  # no new connection before, its table was full
    paced_per_s: float = 0.0  # refused as full at such a pace
    lent: bool = False  # the rate is this courier's by a lease: it goes no further than its part
    trial_gap_us: int = 0  # longest ceiling of the gap between trials, where it tries for all


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """News of the endpoint list. Deliver the cached list with the first turn."""

    form: ListForm
    entries: tuple[ListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """The courier has taken a message and owes it one final answer before valid_until_us."""

    message: int
    message_class: int
    destination: int
    valid_until_us: int
    tenant: int = 0
    order_key: int = 0
    resubmitted: bool = False
    # Of a message restored after a restart, or whose key is known from an earlier one:
    restored: bool = False  # taken on before this process: what was not tried yet is to be tried
    tries: int = 0  # attempts so far
    ran_at_us: int = -1  # when the first attempt that may have run was sent
    weight: float = 1.0  # of its worth, against the others held
    affinity: str = ""  # what messages share that a hashing pool sends to one endpoint


@dataclass(frozen=True, slots=True)
class AttemptAnswering:
    """A streamed answer has begun; the attempt belongs to the client from now on."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of one Send; each has exactly one. closed: the message is over."""

    message: int
    attempt: int
    endpoint: int
    result: Result
    latency_us: int
    closed: bool = False
    retry_after_us: int = 0  # with FULL: the told wait, 0 if none was told
    fresh: bool | None = None  # it went out on a new connection; None: the host can't tell
    spoilt: bool = False  # with ERROR: an answer came that can't be read


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of one Probe."""

    endpoint: int
    result: Result
    latency_us: int


@dataclass(frozen=True, slots=True)
class MessageGone:
    """Nobody wants the message any more; its attempts are still reported."""

    message: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the courier has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Closing:
    """A planned restart: no attempt may last past then. What is still held is restored afterwards."""

    until_us: int


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A note from another courier."""

    peer: int
    data: bytes


Event = (
    EndpointsListed
    | MessageArrived
    | AttemptAnswering
    | AttemptEnded
    | ProbeEnded
    | MessageGone
    | TimerDue
    | Closing
    | PeerNote
)


class Preference(Protocol):
    """Which endpoints a message may go to, best first. The courier takes the first that its own gate lets
    through, so that health, pace, waits and drains stay its own matter."""

    def knows(self, destination: int) -> bool:
        """Whether it has anything to say there; else the courier chooses among all."""

    def tiers(
        self, destination: int, message: int, affinity: str, tried: Iterable[int], now_us: int
    ) -> Iterable[tuple[bool, Iterable[int]]]:
        """Tiers of endpoints; the next one opens only where none of this can be used. True: the first that
        can be used is waited for."""

    def begun(self, destination: int, message: int, endpoint: int, now_us: int) -> bool:
        """A call goes there; whether it is the first since the endpoint was out for its failures."""

    def ended(self, destination: int, endpoint: int, result: Result, spoilt: bool, now_us: int) -> None:
        """A call there has ended."""

    def reopens_us(self, destination: int, now_us: int) -> int:
        """When an endpoint may be used again, where all are out for their failures; else 0."""


# Actions: what the host must carry out, in order. Refuse and Fail are final answers.


@dataclass(frozen=True, slots=True)
class Send:
    """Start the message's next attempt (numbered from 0) and report TIMEOUT after timeout_us.

    timeout_us goes by the connection that is expected to be used; a host that knows better may take
    fresh_timeout_us, if above 0, for one that has to open a connection.
    """

    message: int
    endpoint: int
    timeout_us: int
    fresh_timeout_us: int = 0
    fresh: bool = False  # kept connections are not to be used


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the message; tell the client that it may come again, after retry_after_us if above 0."""

    message: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End the message with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome still comes."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerDue with this token in the first turn after delay_us."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint; report ProbeEnded."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendNote:
    """Send a note to a peer, or to all (peer None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for list changes from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole list once."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | SendNote | Log | Subscribe | FetchList
