"""Outlier detection: judges the outcomes of calls; tells outages from overload, losses and stale lists."""

from __future__ import annotations

from madderbeam.policy.circuit_breaker import (
    CLOSED_BY_SERVER,
    FAILURE_MEMORY,
    OPEN_FAILURE_RATE,
    SHARED_OPEN_FAILURE_RATE,
    CircuitBreakers,
)
from madderbeam.policy.connection_reuse import RECENT_SUCCESS_US, ConnectionReuse
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import AttemptResult
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Call, Endpoint, RateLimitScope
from madderbeam.policy.timeouts import TimeoutEstimator

INDETERMINATE_FADE = 0.6  # the indeterminate rate fades by itself in this part of the contract's warm-up time
LONG_RETRY_AFTER_US = 2_500_000  # a Retry-After over this is a closed destination, not the end of a rate span
# One over this may be: with no success for more than a short fault it counts as an outage.
OUTAGE_RETRY_AFTER_US = 1_000_000
SIBLING_SUCCESS_US = 3_000_000  # a scope that answered this lately is not down for one failed connect
OUTAGE_FAILURES = 2  # that many with no success between them, over more than a short fault, are an outage
SHORT_FAULT_US = 1_000_000  # a fault no longer than this, with responses before and after, was no outage
LOSS_WEIGHT = 4.0  # at a loss rate of 1/LOSS_WEIGHT, time-outs are no evidence


class OutlierDetector:
    """Feeds each outcome to the estimators, and ejects endpoints whose calls fail."""

    def __init__(
        self,
        state: EngineState,
        pacer: RatePacer,
        slow_start: SlowStart,
        breakers: CircuitBreakers,
        timeouts: TimeoutEstimator,
        connections: ConnectionReuse,
    ) -> None:
        self.state = state
        self.pacer = pacer
        self.slow_start = slow_start
        self.breakers = breakers
        self.timeouts = timeouts
        self.connections = connections

    def indeterminate_rate(self, endpoint: Endpoint) -> float:
        """Return the share of calls that failed and may have run, faded by time."""
        elapsed_us = self.state.now_us - endpoint.indeterminate_updated_at_us
        fade_us = max(1.0, INDETERMINATE_FADE * self.state.settings.warm_up_us)
        return endpoint.indeterminate_rate * max(0.0, 1 - elapsed_us / fade_us)

    def record_outcome(
        self, endpoint: Endpoint, result: AttemptResult, call: Call, latency_us: int, retry_after_us: int
    ) -> None:
        """Judge the outcome of a call."""
        self.connections.record_outcome(endpoint, result, call, latency_us)
        if result is AttemptResult.OK:
            latency_us = self.timeouts.latency_without_setup_us(endpoint.scope, call, latency_us)
            self.record_success(endpoint, call, latency_us)
            return
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        call.rejected_by_full_table = self.connections.is_rejected_by_full_table(
            endpoint, result, call, latency_us, retry_after_us
        )
        if call.rejected_by_full_table:
            self.connections.record_full_table(endpoint)
        elif self._is_failure(endpoint, result, call, retry_after_us):
            self._record_failure(endpoint, result, call)

    def _is_failure(self, endpoint: Endpoint, result: AttemptResult, call: Call, retry_after_us: int) -> bool:
        """Whether the outcome is evidence against the endpoint; what else it shows is recorded."""
        scope = endpoint.scope
        since_success_us = self.state.now_us - endpoint.last_success_at_us
        if result is AttemptResult.RESET:
            # Else that connection had died while it was idle; the endpoint answers on others.
            return not (call.connection_idle_us >= 0 and since_success_us < SHORT_FAULT_US)
        if result is AttemptResult.OVERLOADED:
            return self._is_overload_a_failure(endpoint, call, retry_after_us)
        if result is AttemptResult.TIMEOUT:
            if endpoint.last_success_at_us > call.sent_at_us:
                # Calls sent with it or later were answered: a lost call, not an outage. A short series of
                # losses must not put whole scopes into recovery.
                scope.window = max(1.0, scope.window - 1)
                self.timeouts.record_loss()
                return False
            scope.window = max(1.0, scope.window / 2)
        elif result is AttemptResult.CONNECT_FAILED:
            endpoint.idle_since_us.clear()
            if since_success_us < RECENT_SUCCESS_US and endpoint.calls:  # a full table, not a dead endpoint
                return False
            if scope.shared_circuit and self._siblings_answer(endpoint):  # a stale list, not an outage
                self.connections.back_off_connecting(endpoint, SIBLING_SUCCESS_US // 2)
                return False
        return True

    def _is_overload_a_failure(self, endpoint: Endpoint, call: Call, retry_after_us: int) -> bool:
        self.pacer.record_overload(endpoint.scope, retry_after_us)
        if retry_after_us > OUTAGE_RETRY_AFTER_US:
            self._record_outage_evidence(endpoint.scope, call, OUTAGE_FAILURES)
        if retry_after_us > LONG_RETRY_AFTER_US:
            endpoint.failure_rate = 1.0
            endpoint.circuit.failure_rate = 1.0
            self.breakers.open(endpoint, CLOSED_BY_SERVER)
            return False
        return self.state.now_us - endpoint.last_success_at_us >= RECENT_SUCCESS_US

    def _siblings_answer(self, endpoint: Endpoint) -> bool:
        """Whether another endpoint of the scope responded after this one did, and since the fault began."""
        scope = endpoint.scope
        siblings = [other for other in scope.endpoints.values() if other is not endpoint]
        newest_us = max((other.last_success_at_us for other in siblings), default=0)
        recent_us = self.state.now_us - SIBLING_SUCCESS_US
        return newest_us > max(endpoint.last_success_at_us, recent_us, scope.failing_since_us)

    def _record_failure(self, endpoint: Endpoint, result: AttemptResult, call: Call) -> None:
        """Raise the failure rates; open the circuit where they are too high."""
        circuit = endpoint.circuit
        now_us = self.state.now_us
        if result in (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET):
            rate = self.indeterminate_rate(endpoint)
            endpoint.indeterminate_rate = rate + FAILURE_MEMORY * (1 - rate)
            endpoint.indeterminate_updated_at_us = now_us
        if result is not AttemptResult.OVERLOADED:
            self._record_outage_evidence(endpoint.scope, call, 1)
        # Where many calls are lost anyway, one without a response says little of its endpoint.
        is_timeout = result is AttemptResult.TIMEOUT
        lost_share = min(1.0, LOSS_WEIGHT * self.timeouts.loss_rate) if is_timeout else 0.0
        endpoint.failure_rate += FAILURE_MEMORY * (1 - endpoint.failure_rate) * (1 - lost_share)
        circuit.failure_rate += FAILURE_MEMORY * (1 - circuit.failure_rate) * (1 - lost_share)
        if circuit.slow_start_since_us >= 0 and circuit.failure_rate >= OPEN_FAILURE_RATE / 2:
            circuit.slow_start_since_us = now_us
        if not self._must_eject(endpoint, result, call):
            return
        if result is not AttemptResult.ERROR or endpoint.scope.shared_circuit:
            self.breakers.open(endpoint, result.value)
        else:
            self.breakers.start_degraded(endpoint)

    def _must_eject(self, endpoint: Endpoint, result: AttemptResult, call: Call) -> bool:
        circuit = endpoint.circuit
        if circuit.failure_rate >= OPEN_FAILURE_RATE:
            return True
        if circuit.is_open and call is circuit.half_open_call:
            return True
        if not endpoint.scope.shared_circuit:
            return False
        # Where two calls of each courier are too much, one failure is enough, or two lost calls.
        if result is AttemptResult.TIMEOUT:
            return circuit.failure_rate >= SHARED_OPEN_FAILURE_RATE
        return result is not AttemptResult.OVERLOADED

    def record_success(self, endpoint: Endpoint, call: Call, latency_us: int) -> None:
        """Lower the failure rates, end an outage, grow window and pace, close the circuit."""
        state = self.state
        scope = endpoint.scope
        circuit = endpoint.circuit
        was_short_fault = state.now_us - endpoint.last_success_at_us < SHORT_FAULT_US
        self.connections.record_success(endpoint, call)
        endpoint.last_success_at_us = state.now_us
        endpoint.failure_rate *= 1 - FAILURE_MEMORY
        circuit.failure_rate *= 1 - FAILURE_MEMORY
        endpoint.indeterminate_rate = self.indeterminate_rate(endpoint) * (1 - FAILURE_MEMORY)
        endpoint.indeterminate_updated_at_us = state.now_us
        if latency_us:
            self.timeouts.record_response(scope, latency_us)
        is_first_success = not scope.success_rate_updated_at_us
        self.pacer.record_success_rate(scope)
        if 0 <= scope.failing_since_us <= call.sent_at_us:
            if self._was_outage(scope, is_first_success):
                self._record_recovery(scope)
            scope.failing_since_us = -1
            scope.failures_in_a_row = 0
        scope.window = min(state.destination_window, scope.window + 1)
        self.pacer.record_success(scope)
        self.breakers.record_success(endpoint, call, was_short_fault)

    def _record_outage_evidence(self, scope: RateLimitScope, call: Call, weight: int) -> None:
        """Count a call that failed in a way that an outage would show."""
        # A Retry-After counts from its own call on: no response to an older call is the outage's end.
        if scope.failing_since_us < 0 or weight >= OUTAGE_FAILURES:
            scope.failing_since_us = call.sent_at_us
        scope.failures_in_a_row += weight

    def _was_outage(self, scope: RateLimitScope, is_first_success: bool) -> bool:
        state = self.state
        # A fault found at this courier's start, or at its first call there, may be older than its evidence.
        longest_short_us = max(state.now_us - SHORT_FAULT_US, state.started_at_us + SHORT_FAULT_US)
        was_long = is_first_success or scope.failing_since_us < longest_short_us
        # A process before this one may have seen the rest of it, where the first call fails as well.
        failures = scope.failures_in_a_row + (is_first_success and scope.destination.has_restored_messages)
        return was_long and failures >= OUTAGE_FAILURES and not scope.shared_circuit

    def _record_recovery(self, scope: RateLimitScope) -> None:
        """Start the endpoints of a scope slowly after an outage.

        An outage usually affects all endpoints. Those that got no call meanwhile are cold too, and slow
        starts that ran during the outage, from before it or after a late error, start again.
        """
        state = self.state
        scope.recovered_at_us = state.now_us
        state.log(f"destination {scope.destination.number} recovered: slow start")
        for endpoint in scope.endpoints.values():
            circuit = endpoint.circuit
            if not circuit.is_open and circuit.slow_start_since_us < max(0, state.now_us - SHORT_FAULT_US):
                self.slow_start.start(endpoint, state.now_us)
                circuit.tokens = 0.0  # each endpoint's first call adds up
