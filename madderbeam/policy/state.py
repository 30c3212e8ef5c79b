"""What the delivery engine keeps: messages, calls, endpoints, rate-limit scopes, destinations. No decisions.

Times are microseconds on the engine's clock, -1 or 0 where there was none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from madderbeam.policy.events import UNKNOWN_ZONE, EndpointState, MessageArrived
from madderbeam.policy.settings import MessageClass

INITIAL_SLOT_TIME_US = 1e5


@dataclass(slots=True, eq=False)
class Message:
    """A pending message."""

    id: int
    message_class: MessageClass
    destination: Destination
    sequence: int  # order of arrival
    order_key: int  # 0: in no order
    deadline_us: int
    accepted_at_us: int
    retry_at_us: int  # no attempt before
    attempts: int
    possibly_executed_at_us: int  # when the first attempt that may have run was sent
    affinity: str
    restored: bool  # accepted by the process before this one
    possibly_executed_zone: int = UNKNOWN_ZONE
    priority_weight: float = 1.0
    in_flight: int = 0  # attempts
    attempts_not_sent: int = 0  # attempts that were stopped before they were written
    last_endpoint: Endpoint | None = None
    attempted_endpoints: tuple[int, ...] = ()  # where an endpoint preference wants to know
    is_completed: bool = False
    is_streaming: bool = False
    failed_quickly: bool = False  # and may be retried at once, outage or not

    @classmethod
    def from_arrival(
        cls,
        event: MessageArrived,
        message_class: MessageClass,
        destination: Destination,
        sequence: int,
        now_us: int,
    ) -> Message:
        """Return the message that an event describes."""
        return cls(
            id=event.message,
            message_class=message_class,
            destination=destination,
            sequence=sequence,
            order_key=event.order_key if message_class.ordered else 0,
            deadline_us=event.deadline_us,
            accepted_at_us=event.deadline_us - message_class.deadline_us,
            retry_at_us=now_us,
            attempts=event.attempts,
            possibly_executed_at_us=event.possibly_executed_at_us,
            possibly_executed_zone=event.possibly_executed_zone,
            affinity=event.affinity,
            restored=event.restored,
        )

    @property
    def attempts_used(self) -> int:
        """The attempts that count; one that was never written has used no capacity."""
        return self.attempts - self.attempts_not_sent


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Whether calls may go, and how many, to an endpoint; in a large fleet to a rate-limit scope.

    Outages mostly take all endpoints of a scope, and a courier of a large fleet makes so few calls that one
    endpoint's own would never gather the evidence.
    """

    failure_rate: float = 0.0
    is_open: bool = False  # half-open probes only
    half_open_call: Call | None = None
    next_probe_at_us: int = 0
    probe_interval_us: int = 0
    closed_by_server_at_us: int = 0  # when a long Retry-After opened it, 0 if something else did
    slow_start_since_us: int = -1  # -1 when warm
    interrupted_slow_start_since_us: int = -1  # the same, from before the circuit opened
    base_rate_per_s: float = 0.0  # this courier's part of the warm rate
    tokens: float = 1.0
    tokens_updated_at_us: int = 0
    slow_start_ceiling: float = 1.0  # multiple of the base rate at which a slow start ends


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint and the evidence of its calls."""

    id: int
    scope: RateLimitScope
    zone: int
    circuit: CircuitBreaker
    state: EndpointState = EndpointState.READY
    calls: dict[Call, None] = field(default_factory=dict)  # in flight, oldest first
    idle_since_us: list[int] = field(default_factory=list)  # when each idle connection came free
    failure_rate: float = 0.0
    indeterminate_rate: float = 0.0  # share of calls that failed and may have run, as of:
    indeterminate_updated_at_us: int = 0
    last_success_at_us: int = 0
    connection_limit: float = math.inf  # connections that its table accepted
    connection_limit_at_us: int = 0
    connection_rejections: int = 0  # in a row
    next_connect_at_us: int = 0
    fastest_new_connection_us: float = math.inf  # good response on a new connection


@dataclass(slots=True, eq=False)
class RateLimitScope:
    """The unit that shares one rate limit, one Retry-After and one outage.

    A destination is one scope; where limits apply per endpoint, each endpoint is one.
    """

    destination: Destination
    shared_circuit: CircuitBreaker | None  # of all its endpoints, in a large fleet
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    listed_rate_per_s: float = 0.0  # this courier's part of the listed limit, 0 if there is none
    rate_is_leased: bool = False
    pace_per_s: float = 0.0  # calls a second it is paced to, 0: unpaced
    overload_pace_per_s: float = 0.0  # the pace at which it was last overloaded
    tokens: float = 1.0
    tokens_updated_at_us: int = 0
    retry_after_until_us: int = 0
    pace_cut_at_us: int = 0
    overload_share: float = 0.0  # share of calls that were rejected as overload
    window: float = 1.0
    in_flight: int = 0
    overloads_in_a_row: int = 0
    mean_latency_us: float = 0.0
    latency_deviation_us: float = 0.0
    mean_slot_time_us: float = INITIAL_SLOT_TIME_US  # of all calls, failed ones included
    success_rate_per_s: float = 0.0
    success_rate_updated_at_us: int = 0
    failing_since_us: int = -1  # when the first call that failed since the last success was sent
    failures_in_a_row: int = 0  # since then
    recovered_at_us: int = -1  # when it last came back from an outage
    max_probe_interval_us: int = 0  # 0: the usual one


@dataclass(slots=True, eq=False)
class Destination:
    """A destination with its queue."""

    number: int
    kind: int = 0
    scopes: list[RateLimitScope] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    in_flight: int = 0  # calls
    arrivals: int = 0
    has_restored_messages: bool = False  # the process before may have known of an outage


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight; a batched one carries several messages."""

    endpoint: Endpoint
    sent_at_us: int
    was_only_call: bool  # no other call to the endpoint was in flight when it was sent
    zone: int  # of the endpoint when it was sent
    messages_in_flight: int = 0
    outcome_recorded: bool = False
    connection_idle_us: int = -1  # how long its connection had been idle, -1 for a new one
    requires_new_connection: bool = False
    rejected_by_full_table: bool = False  # the endpoint's connection table was full
    opened_connection: bool = False  # as the host reported
    rejected_before_setup: bool = False  # by a full table, before its connection was up
