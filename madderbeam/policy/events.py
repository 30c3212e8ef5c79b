"""Events: what the host reports to the delivery engine, in the order in which it happened.

Times are on the clock that is given to ``DeliveryEngine.handle``. An endpoint is an opaque integer: equal
integers are the same endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

UNKNOWN_ZONE = -1


class AttemptResult(Enum):
    """How an attempt or a health check ended.

    OVERLOADED, CONNECT_FAILED and NOT_SENT prove that it never ran.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class EndpointState(Enum):
    """What the endpoint list says of an endpoint; it says nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdateKind(Enum):
    """How an update relates to the known endpoint list."""

    DELTA = "delta"  # changes it
    SNAPSHOT = "full"  # replaces it
    CACHED = "cached"  # replaces it, from the configuration
    FAILED = "failed"  # the request for it failed


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    endpoint: int
    destination: int
    state: EndpointState
    rate_per_s: float = 0.0  # rate limit over all couriers together, where rates are listed
    kind: int = 0
    zone: int = 0
    retry_after_until_us: int = 0  # a Retry-After that began before this process
    recovering: bool = False  # recovers from a restart that the list does not show
    # What other couriers of the site have learnt about it. 0: nothing.
    slow_start_share: float = 1.0  # with `recovering`: this courier's part of the first calls
    connect_not_before_us: int = 0  # its connection table was full
    paced_per_s: float = 0.0  # it was overloaded at such a rate
    rate_is_leased: bool = False  # `rate_per_s` is leased: this courier's own, and not to be exceeded
    max_probe_interval_us: int = 0  # ceiling of the interval between health checks made for all couriers


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list. The cached list belongs into the first cycle."""

    kind: ListUpdateKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message came in; the engine owes it one final outcome before its deadline."""

    message: int
    message_class: int
    destination: int
    deadline_us: int
    tenant: int = 0
    order_key: int = 0
    resubmitted: bool = False
    # Of a message restored after a restart, or whose key is known from an earlier one:
    restored: bool = False  # accepted before this process: if it was never attempted, it is to be
    attempts: int = 0  # so far
    possibly_executed_at_us: int = -1  # when the first attempt that may have run was sent
    possibly_executed_zone: int = UNKNOWN_ZONE  # and to which zone
    weight: float = 1.0  # factor of its priority weight, by quotas
    affinity: str = ""  # what messages share that a hashing pool sends to one endpoint


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun; the attempt belongs to the client from now on."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of one Send; each has exactly one."""

    message: int
    attempt: int
    endpoint: int
    result: AttemptResult
    latency_us: int
    message_completed: bool = False  # the message is completed
    retry_after_us: int = 0  # with OVERLOADED: the Retry-After, 0 if there was none
    on_new_connection: bool | None = None  # None: the host can't tell
    malformed: bool = False  # with ERROR: a response came that can't be parsed
    may_have_run: bool = False  # whatever the result says: it rests on a response that may be another's
    may_be_completed: bool = False  # a response says that the message is completed, and proves nothing


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The outcome of one HealthCheck."""

    endpoint: int
    result: AttemptResult
    latency_us: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The message was withdrawn; the outcomes of its attempts are still reported."""

    message: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the engine has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A graceful shutdown: no attempt may last past then. What is pending is restored afterwards."""

    attempts_until_us: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another courier."""

    peer: int
    data: bytes


Event = (
    EndpointListUpdate
    | MessageArrived
    | ResponseStarted
    | AttemptEnded
    | HealthCheckEnded
    | MessageWithdrawn
    | TimerDue
    | ShutdownStarted
    | PeerMessageReceived
)
