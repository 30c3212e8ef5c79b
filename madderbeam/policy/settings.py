"""The settings of a delivery engine: message classes, tenants, kinds of destinations, limits.

Names that end in ``_us`` are microseconds. Invalid values raise ValueError, which names the field.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a message does."""

    IDEMPOTENT = "safe"  # nothing
    WITH_KEY = "keyed"  # nothing while the endpoint still knows the message's idempotency key
    NON_IDEMPOTENT = "unsafe"  # harm


def _require(condition: bool, field: str, allowed: str) -> None:
    if not condition:
        raise ValueError(f"{field}: must be {allowed}")


def _require_valid_times(owner: object, prefix: str) -> None:
    for field in fields(owner):  # type: ignore[arg-type]
        if field.name.endswith("_us"):
            _require(getattr(owner, field.name) >= 0, f"{prefix}{field.name}", "0 or more microseconds")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """The priority of the messages of one class, and what may be done with them."""

    name: str
    latency_objective_us: int  # delivered within this, a message counts in full
    deadline_us: int  # and within this, in part
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    priority_weight: float = 1.0
    late_value_share: float = 0.0  # share of the weight that is left at the deadline
    key_scope: str = "all"  # with key: the endpoints that drop repeats: "all", or one "zone" or "cell" only
    key_window_us: int = 0  # with key: for how long they drop them
    ordered: bool = False  # messages with the same order key go one at a time

    def __post_init__(self) -> None:
        """Validate all fields."""
        prefix = f"classes.{self.name}."
        _require_valid_times(self, prefix)
        _require(self.latency_objective_us > 0, prefix + "latency_objective_us", "above 0")
        _require(
            self.deadline_us >= self.latency_objective_us,
            prefix + "deadline_us",
            "at least latency_objective_us",
        )
        _require(isinstance(self.idempotency, Idempotency), prefix + "idempotency", "an Idempotency")
        _require(self.priority_weight >= 0, prefix + "priority_weight", "0 or more")
        _require(0 <= self.late_value_share <= 1, prefix + "late_value_share", "from 0 to 1")
        _require(self.key_scope in ("all", "zone", "cell"), prefix + "key_scope", "all, zone or cell")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose traffic within its quota counts in full."""

    name: str
    quota_share: float
    quota_per_s: float  # over all couriers together

    def __post_init__(self) -> None:
        """Validate all fields."""
        _require(0 <= self.quota_share <= 1, f"tenants.{self.name}.quota_share", "from 0 to 1")
        _require(self.quota_per_s >= 0, f"tenants.{self.name}.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination."""

    name: str
    limits_per_endpoint: bool = False  # each endpoint has its own rate limit, Retry-After and outages
    max_batch: int = 1  # messages of one dispatch cycle that may travel to one endpoint in one call

    def __post_init__(self) -> None:
        """Validate all fields."""
        _require(self.max_batch >= 1, f"kinds.{self.name}.max_batch", "1 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one delivery engine."""

    classes: tuple[MessageClass, ...]
    max_in_flight: int  # calls at once
    max_pending: int  # messages at once, in flight or queued
    kinds: tuple[DestinationKind, ...] = (DestinationKind("any"),)
    tenants: tuple[Tenant, ...] = ()
    courier_count: int = 1  # couriers that share the traffic
    courier_index: int = 0
    max_attempts: int = 3  # the platform's limit
    # Parameters of the retry design, where an installation sets them.
    attempts_per_message: int = 3  # the first one included
    backoff_base_us: int = 100_000  # first ceiling of the jittered backoff
    backoff_cap_us: int = 3_000_000  # highest ceiling
    destination_window: int = 0  # calls at once to one destination; 0: three quarters of max_in_flight
    allows_hedging: bool = False  # two attempts of one message may be in flight
    allows_health_checks: bool = False
    allows_cancel: bool = False
    allows_peer_messages: bool = False
    tick_us: int = 1000  # least time between two dispatch cycles
    max_retry_after_us: int = 0  # the longest Retry-After that clients heed; 0: they get none
    clients_mark_retries: bool = False  # MessageArrived.resubmitted is meaningful
    connection_idle_us: int = 10_000_000
    connect_timeout_us: int = 1_000_000
    drain_grace_us: int = 0
    cold_capacity_share: float = 0.1  # capacity of a recovering destination at first
    warm_up_us: int = 10_000_000  # after this it has all of its capacity
    overload_multiple: float = 2.0  # more than this multiple of its present capacity,
    overload_window_us: int = 1_000_000  # for this long, brings it down again
    order_key_cooldown_us: int = 0  # pause of an order key behind a call that may still run
    response_slack_us: int = 0
    list_on_request: bool = False  # the endpoint list comes only after Subscribe or FetchEndpointList
    rates_listed: bool = False  # the endpoint list gives each destination's rate limit
    load_report_fields: tuple[str, ...] = ()  # where rate limits come with responses instead
    over_quota_weight: float = 1.0  # what traffic over its tenant's quota counts for
    late_value_halves: bool = False  # the value halves with each further objective instead of falling evenly
    zone_costs: tuple[float, ...] = ()
    overload_penalty: float = 0.0  # cost of a call over a rate limit, as a share of a message

    def __post_init__(self) -> None:
        """Validate all fields."""
        _require_valid_times(self, "")
        _require(len(self.classes) > 0, "classes", "at least one class")
        _require(len(self.kinds) > 0, "kinds", "at least one kind")
        for name in ("max_in_flight", "max_pending", "courier_count", "max_attempts", "tick_us"):
            _require(getattr(self, name) >= 1, name, "1 or more")
        _require(
            0 <= self.courier_index < self.courier_count, "courier_index", "from 0 to under courier_count"
        )
        _require(0 < self.cold_capacity_share <= 1, "cold_capacity_share", "above 0 and at most 1")
        _require(self.overload_multiple > 0, "overload_multiple", "above 0")
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "from 0 to 1")
