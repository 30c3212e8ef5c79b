"""Dispatch: sends what is eligible, the most urgent first, while calls may be in flight."""

from __future__ import annotations

from madderbeam.policy.actions import CloseIdleConnections, Send
from madderbeam.policy.connection_reuse import ConnectionReuse
from madderbeam.policy.eligibility import Eligibility
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.selection import Candidate, Selector
from madderbeam.policy.settings import Idempotency
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Call, Destination, Endpoint, Message
from madderbeam.policy.timeouts import TimeoutEstimator

# Share of calls on reused connections that are reset, over which non-idempotent messages get a new one.
MAX_RESET_RATE = 0.08
PROBE_TIMEOUT_SHARE = 0.6  # a half-open probe gets this share of the time-out


class Dispatcher:
    """Starts attempts."""

    def __init__(
        self,
        state: EngineState,
        selector: Selector,
        eligibility: Eligibility,
        slow_start: SlowStart,
        timeouts: TimeoutEstimator,
        connections: ConnectionReuse,
    ) -> None:
        self.state = state
        self.selector = selector
        self.eligibility = eligibility
        self.slow_start = slow_start
        self.timeouts = timeouts
        self.connections = connections

    def dispatch(self) -> None:
        """Send all that may go now."""
        state = self.state
        if state.endpoint_preference is not None:
            self.selector.reject_unservable(state.endpoint_preference)
        candidates: dict[int, Candidate] = {}
        for destination in state.destinations.values():
            self._add_candidate(candidates, destination)
        while candidates and state.calls_in_flight < state.settings.max_in_flight:
            number = min(candidates, key=lambda number: candidates[number].urgency)
            candidate = candidates.pop(number)
            self._send(candidate.message, candidate.endpoint)
            destination = state.destinations[number]
            if state.settings.kinds[destination.kind].max_batch == 1:
                self._add_candidate(candidates, destination)

    def _add_candidate(self, candidates: dict[int, Candidate], destination: Destination) -> None:
        if destination.queue and (candidate := self.selector.next_candidate(destination)):
            candidates[destination.number] = candidate

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        """Start a call with the message, and with others of its destination where calls are batched."""
        state = self.state
        scope = endpoint.scope
        call = Call(endpoint, state.now_us, was_only_call=not endpoint.calls, zone=endpoint.zone)
        state.calls_in_flight += 1
        scope.in_flight += 1
        scope.destination.in_flight += 1
        endpoint.calls[call] = None
        self._assign_connection(call, message)
        preference = state.endpoint_preference
        if preference is not None and preference.attempt_started(
            scope.destination.number, message.id, endpoint.id, state.now_us
        ):
            self.slow_start.start(endpoint, state.now_us)  # it was ejected: a recovering server is cold
        self._consume_tokens(endpoint, call)
        self._start_attempt(message, call)
        for _ in range(state.settings.kinds[scope.destination.kind].max_batch - 1):
            waiting = scope.destination.queue
            eligible = [other for other in waiting if self.eligibility.message_may_go(other, endpoint)]
            if not eligible or endpoint.circuit.is_open:
                break
            self._start_attempt(min(eligible, key=lambda other: other.sequence), call)

    def _assign_connection(self, call: Call, message: Message) -> None:
        """Take the newest idle connection, if it may be used; close those that are too old."""
        state = self.state
        endpoint = call.endpoint
        is_non_idempotent = message.message_class.idempotency is Idempotency.NON_IDEMPOTENT
        call.requires_new_connection = is_non_idempotent and self.connections.reset_rate > MAX_RESET_RATE
        oldest_us = self.connections.oldest_usable_us(endpoint)
        if endpoint.idle_since_us and not call.requires_new_connection:
            newest_us = endpoint.idle_since_us[-1]
            if newest_us > oldest_us:
                call.connection_idle_us = state.now_us - newest_us
            elif newest_us > state.now_us - state.settings.connection_idle_us:
                state.actions.append(CloseIdleConnections(endpoint.id))
        endpoint.idle_since_us = [since_us for since_us in endpoint.idle_since_us if since_us > oldest_us]
        if not call.requires_new_connection:
            endpoint.idle_since_us = endpoint.idle_since_us[:-1]

    @staticmethod
    def _consume_tokens(endpoint: Endpoint, call: Call) -> None:
        scope = endpoint.scope
        circuit = endpoint.circuit
        if scope.pace_per_s:
            scope.tokens -= 1.0
        if circuit.is_open:
            circuit.half_open_call = call
        if circuit.slow_start_since_us >= 0 or (circuit.is_open and scope.shared_circuit):
            circuit.tokens -= 1.0

    def _start_attempt(self, message: Message, call: Call) -> None:
        state = self.state
        endpoint = call.endpoint
        timeout_us, new_connection_timeout_us = self._attempt_timeouts_us(message, endpoint)
        message.destination.queue.remove(message)
        state.calls[(message.id, message.attempts)] = (call, message)
        call.messages_in_flight += 1
        message.attempts += 1
        message.in_flight += 1
        message.last_endpoint = endpoint
        if state.endpoint_preference is not None:
            message.attempted_endpoints = (*message.attempted_endpoints, endpoint.id)
        is_new = call.connection_idle_us < 0
        expected_us = new_connection_timeout_us if is_new else timeout_us
        state.actions.append(
            Send(
                message.id, endpoint.id, expected_us, new_connection_timeout_us, call.requires_new_connection
            )
        )

    def _attempt_timeouts_us(self, message: Message, endpoint: Endpoint) -> tuple[int, int]:
        """Return the timeouts of an attempt on a reused connection and on a new one."""
        state = self.state
        scope = endpoint.scope
        remaining_us = int(min(message.deadline_us, state.attempts_until_us))
        remaining_us -= state.now_us + state.deadline_margin_us
        if scope.mean_latency_us:
            estimate_us = self.timeouts.call_timeout_us(scope)
            # The first call on a new connection waits for it to be set up. With no time for that, each one
            # timed out, was closed, and the next opened one more.
            setup_us = self.timeouts.connection_setup_us()
        else:
            objective_us = message.message_class.latency_objective_us
            estimate_us = max(state.settings.connect_timeout_us, objective_us)
            setup_us = 0
        kept_us = self._timeout_us(message, endpoint, estimate_us, remaining_us)
        new_us = self._timeout_us(message, endpoint, estimate_us + setup_us, remaining_us)
        return max(1, kept_us), max(1, new_us)

    @staticmethod
    def _timeout_us(message: Message, endpoint: Endpoint, estimate_us: int, remaining_us: int) -> int:
        message_class = message.message_class
        if message_class.idempotency is Idempotency.NON_IDEMPOTENT:
            # One long attempt, but a lost call must not occupy its slot until the deadline.
            return min(remaining_us, max(estimate_us, message_class.latency_objective_us))
        leaves_time_for_retry = estimate_us + endpoint.scope.mean_latency_us * 2 < remaining_us
        timeout_us = estimate_us if leaves_time_for_retry else remaining_us
        if endpoint.circuit.is_open:  # a probe of an endpoint that may hang: occupy the slot briefly
            return min(timeout_us, int(PROBE_TIMEOUT_SHARE * estimate_us))
        return timeout_us
