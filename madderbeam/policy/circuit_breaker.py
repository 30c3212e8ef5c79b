"""Circuit breaking: an ejected endpoint gets half-open probes only, until one of them is answered."""

from __future__ import annotations

import math

from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Call, Endpoint, RateLimitScope

MIN_PROBE_INTERVAL_US = 400_000  # first and longest ceiling of the interval between half-open probes
MAX_PROBE_INTERVAL_US = 2_500_000
MIN_JITTER = 0.5
OPEN_FAILURE_RATE = 0.5  # the circuit opens: three failures in a row from none
CLOSED_FAILURE_RATE = OPEN_FAILURE_RATE * 0.8  # highest after it has closed
# The failure rate after two failures in a row, at which a circuit that many couriers share opens.
SHARED_OPEN_FAILURE_RATE = 0.4
FAILURE_MEMORY = 0.25  # weight of the newest outcome in the failure rate
CLOSED_BY_SERVER = "shut"
RATE_MARGIN = 2.0  # standard deviations that chance may add to the calls of a fleet


class CircuitBreakers:
    """Opens and closes the circuits of endpoints."""

    def __init__(self, state: EngineState, slow_start: SlowStart) -> None:
        self.state = state
        self.slow_start = slow_start

    def needs_shared_circuit(self, rate_per_s: float) -> bool:
        """Whether two calls of each courier, if over four, overload a scope of that rate as it recovers."""
        state = self.state
        settings = self.state.settings
        cold_rate_per_s = settings.overload_multiple * settings.cold_capacity_share * rate_per_s
        calls = cold_rate_per_s * settings.rates_listed * settings.overload_window_us / 1e6
        bearable = max(8.0, calls + RATE_MARGIN * math.sqrt(calls) + 2)
        return state.is_large_fleet or 2 * settings.courier_count > bearable

    def open(self, endpoint: Endpoint, cause: str) -> None:
        """Allow only half-open probes, at growing jittered intervals."""
        state = self.state
        scope = endpoint.scope
        circuit = endpoint.circuit
        if not circuit.is_open:
            circuit.closed_by_server_at_us = state.now_us if cause == CLOSED_BY_SERVER else 0
            # A short fault amid a slow start does not end it.
            circuit.interrupted_slow_start_since_us = circuit.slow_start_since_us
            self.slow_start.set_base_rate(endpoint)
            if scope.shared_circuit and circuit.slow_start_since_us < 0:
                circuit.tokens = state.random.random()  # chance sets which courier may probe first
                circuit.tokens_updated_at_us = state.now_us
            state.log(f"endpoint {endpoint.id} ejected ({cause}): half-open probes only")
        circuit.is_open = True
        circuit.slow_start_since_us = -1
        spacing_us = self.slow_start.probe_spacing_us(endpoint)
        longest_us = scope.max_probe_interval_us or max(MAX_PROBE_INTERVAL_US, 2 * spacing_us)
        doubled_us = max(MIN_PROBE_INTERVAL_US, spacing_us // 2, 2 * circuit.probe_interval_us)
        circuit.probe_interval_us = min(longest_us, doubled_us)
        jitter = state.random.uniform(MIN_JITTER * state.probe_share, 1)
        circuit.next_probe_at_us = state.now_us + int(jitter * circuit.probe_interval_us)

    def start_degraded(self, endpoint: Endpoint) -> None:
        """Continue at a cold start's pace with an endpoint that responds, but with errors.

        Some calls still get through, and it can take that pace when the errors stop. Probes alone would lose
        the deliveries that half-failing endpoints still make.
        """
        circuit = endpoint.circuit
        if circuit.slow_start_since_us < 0:
            self.state.log(f"endpoint {endpoint.id} responds with errors: pace of a cold start")
        self.slow_start.set_base_rate(endpoint)
        circuit.tokens = min(circuit.tokens, self.state.probe_share)
        circuit.is_open = False
        circuit.probe_interval_us = 0
        circuit.slow_start_since_us = self.state.now_us

    def record_success(self, endpoint: Endpoint, call: Call, was_short_fault: bool) -> None:
        """Close an open circuit, or end a slow start that is over."""
        circuit = endpoint.circuit
        scope = endpoint.scope
        sent_while_open = call.sent_at_us >= circuit.closed_by_server_at_us
        if circuit.is_open and (sent_while_open or scope.shared_circuit):
            self._close(endpoint, was_short_fault)
        elif self._is_slow_start_over(circuit.slow_start_since_us, scope):
            circuit.slow_start_since_us = -1

    def _close(self, endpoint: Endpoint, was_short_fault: bool) -> None:
        state = self.state
        scope = endpoint.scope
        circuit = endpoint.circuit
        circuit.is_open = False
        if was_short_fault and not scope.shared_circuit:
            circuit.slow_start_since_us = circuit.interrupted_slow_start_since_us
            circuit.tokens_updated_at_us = state.now_us
            state.log(f"endpoint {endpoint.id} recovered from a short fault")
        elif not scope.shared_circuit or circuit.failure_rate >= SHARED_OPEN_FAILURE_RATE * (
            1 - FAILURE_MEMORY
        ):
            # For a shared circuit with a lower rate the single failure was no outage.
            self.slow_start.start(endpoint, state.now_us)
            if circuit.closed_by_server_at_us:
                circuit.slow_start_since_us = state.now_us
            else:  # spread probes are half of the slow start, a Retry-After is not
                spacing_us = self.slow_start.probe_spacing_us(endpoint)
                circuit.slow_start_since_us = max(0, state.now_us - spacing_us // 2)
            state.log(f"endpoint {endpoint.id} recovered: slow start")
        circuit.probe_interval_us = 0
        circuit.failure_rate = min(circuit.failure_rate, CLOSED_FAILURE_RATE)

    def _is_slow_start_over(self, since_us: int, scope: RateLimitScope) -> bool:
        if 0 <= since_us <= self.state.now_us - self.state.settings.warm_up_us:
            return True
        shared = scope.shared_circuit
        if not shared:
            return False
        return self.slow_start.capacity_multiple(shared) >= 1 and not scope.destination.queue
