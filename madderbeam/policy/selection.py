"""Selection: which message of a destination goes next, and to which endpoint."""

from __future__ import annotations

import functools
import itertools
from typing import NamedTuple

from madderbeam.policy.completion import MessageCompleter
from madderbeam.policy.connection_reuse import ConnectionReuse
from madderbeam.policy.delivery_value import delivery_value
from madderbeam.policy.eligibility import Eligibility
from madderbeam.policy.endpoint_preference import EndpointPreference
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import EndpointState
from madderbeam.policy.state import Destination, Endpoint, Message

QUEUE_MULTIPLE = (
    2.0  # what is put off for want of capacity waits this many times the queue: new ones come first
)
FAILURE_STEPS = 4  # endpoints are compared by their failure rate in so many steps
SHARE_OFFSET = 1.05  # keeps the chance of a scope that is all overload above 0


class Candidate(NamedTuple):
    """A message that may be sent; the one with the least urgency key goes first."""

    loss_by_waiting: float  # value lost for each microsecond of slot time, negative
    sequence: int
    message: Message
    endpoint: Endpoint

    @property
    def urgency(self) -> tuple[float, int]:
        """Sorts the most urgent first, the earlier of equals."""
        return (self.loss_by_waiting, self.sequence)


class Selector:
    """Chooses among the eligible messages and endpoints of a destination."""

    def __init__(
        self,
        state: EngineState,
        eligibility: Eligibility,
        connections: ConnectionReuse,
        completer: MessageCompleter,
    ) -> None:
        self.state = state
        self.eligibility = eligibility
        self.connections = connections
        self.completer = completer

    def next_candidate(self, destination: Destination) -> Candidate | None:
        """Return the message that loses most by waiting, with its endpoint."""
        now_us = self.state.now_us
        has_quick_retry = any(
            message.failed_quickly and message.retry_at_us <= now_us for message in destination.queue
        )
        preference = self._preference(destination)
        endpoints = self._callable_endpoints(destination, preference, has_quick_retry)
        if not endpoints:
            return None
        soon_us, late_us = self._delivery_times(destination)
        slot_time_us = max(scope.mean_slot_time_us for scope in destination.scopes)
        halves = self.state.settings.late_value_halves
        best: Candidate | None = None
        for message in destination.queue:
            loss = (
                delivery_value(message, late_us, halves) - delivery_value(message, soon_us, halves)
            ) / slot_time_us
            if best is not None and (loss, message.sequence) >= best.urgency:
                continue
            if preference is not None:
                endpoint = self._preferred_endpoint(message, preference, has_quick_retry)
            else:
                endpoint = self._best_endpoint(message, endpoints)
            if endpoint is not None:
                best = Candidate(loss, message.sequence, message, endpoint)
        return best

    def _callable_endpoints(
        self, destination: Destination, preference: EndpointPreference | None, has_quick_retry: bool
    ) -> list[Endpoint]:
        """Return the endpoints that may be called.

        With a preference one endpoint is enough, since the preference decides which one is used.
        """
        found = (
            endpoint
            for scope in destination.scopes
            for endpoint in scope.endpoints.values()
            if self.eligibility.endpoint_may_be_called(endpoint, has_quick_retry)
        )
        return list(itertools.islice(found, 1 if preference else None))

    def _preference(self, destination: Destination) -> EndpointPreference | None:
        preference = self.state.endpoint_preference
        return preference if preference is not None and preference.covers(destination.number) else None

    def _delivery_times(self, destination: Destination) -> tuple[float, float]:
        """Return when a message is delivered that is sent now, and one that is put off."""
        state = self.state
        rate = sum(scope.pace_per_s or scope.success_rate_per_s or 1.0 for scope in destination.scopes)
        soon_us = state.now_us + max(scope.mean_latency_us for scope in destination.scopes)
        # Where slots are short, what waits for them waits for all queued calls, and a call that holds its
        # slot long costs others theirs: hung and slow scopes get what is left (they had taken all slots).
        queued = max(0, len(state.messages) - state.calls_in_flight)
        queue_us = state.mean_slot_time_us * queued / state.settings.max_in_flight
        late_us = soon_us + max(len(destination.queue) / rate * 1e6, QUEUE_MULTIPLE * queue_us)
        return soon_us, late_us

    def _best_endpoint(self, message: Message, endpoints: list[Endpoint]) -> Endpoint | None:
        fitting = [endpoint for endpoint in endpoints if self.eligibility.message_may_go(message, endpoint)]
        return min(fitting, key=functools.partial(self._rank, message)) if fitting else None

    def _rank(self, message: Message, endpoint: Endpoint) -> tuple[bool, bool, int, bool, float, int, int]:
        """Sort healthy ones first, then not the last one, one with an idle connection, the cheap one."""
        costs = self.state.settings.zone_costs
        cost = costs[endpoint.zone] if 0 <= endpoint.zone < len(costs) else 0.0
        has_idle_connection = self.connections.has_idle_connection(endpoint)
        if self.state.is_large_fleet:
            # Couriers that rank alike pile onto one endpoint or route: by chance, as the rates are.
            scope = endpoint.scope
            weight = (scope.listed_rate_per_s or 1.0) * (SHARE_OFFSET - scope.overload_share)
            cost = self.state.random.expovariate(weight)
        return (
            endpoint.circuit.is_open,
            endpoint is message.last_endpoint,
            int(endpoint.failure_rate * FAILURE_STEPS),
            not has_idle_connection,
            cost,
            len(endpoint.calls),
            endpoint.id,
        )

    def _preferred_endpoint(
        self, message: Message, preference: EndpointPreference, has_quick_retry: bool
    ) -> Endpoint | None:
        """Return the first endpoint of its pool that is eligible.

        A lower tier (backups) opens only where nothing ahead can be used at all, not where it is busy or
        paced.
        """
        state = self.state
        tiers = preference.tiers(
            message.destination.number,
            message.id,
            message.affinity,
            message.attempted_endpoints,
            state.now_us,
        )
        for waits_for_first, tier in tiers:
            is_usable = False
            for number in tier:
                endpoint = self._reachable_endpoint(number)
                if endpoint is None:
                    continue
                if self.eligibility.endpoint_may_be_called(
                    endpoint, has_quick_retry
                ) and self.eligibility.message_may_go(message, endpoint):
                    return endpoint
                is_usable = is_usable or not endpoint.circuit.is_open
                if waits_for_first and is_usable:
                    return None
            if is_usable:
                return None
        return None

    def _reachable_endpoint(self, number: int) -> Endpoint | None:
        """Return the endpoint, if it is ready and under no Retry-After."""
        endpoint = self.state.endpoints.get(number)
        if endpoint is None or endpoint.state is not EndpointState.READY:
            return None
        is_waiting = self.state.now_us < endpoint.scope.retry_after_until_us
        return None if is_waiting else endpoint

    def reject_unservable(self, preference: EndpointPreference) -> None:
        """Reject at once what expires before any endpoint of its pool may be used."""
        state = self.state
        for destination in state.destinations.values():
            if not destination.queue:
                continue
            if recovers_at_us := preference.recovers_at_us(destination.number, state.now_us):
                last_deadline_us = recovers_at_us + state.deadline_margin_us
                expiring = [
                    message for message in destination.queue if message.deadline_us <= last_deadline_us
                ]
                for message in expiring:
                    self.completer.complete(message, recovers_at_us - state.now_us)
                state.wake_at(recovers_at_us)
