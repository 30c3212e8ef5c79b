"""Eligibility: whether an endpoint may get a call now, and whether a message may go to it."""

from __future__ import annotations

import math

from madderbeam.policy.connection_reuse import ConnectionReuse
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import UNKNOWN_ZONE, EndpointState
from madderbeam.policy.outlier_detection import OutlierDetector
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.settings import Idempotency
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Endpoint, Message
from madderbeam.policy.timeouts import TimeoutEstimator

MAX_INDETERMINATE_RATE = 0.15  # over this, non-idempotent messages wait
INDETERMINATE_RECHECK_US = 250_000
PATIENT_LATENCIES = 4  # but only while they have more time left than this many mean latencies


class Eligibility:
    """Checks drains, Retry-After, windows, pace and circuits; attempts, idempotency, order and deadlines."""

    def __init__(
        self,
        state: EngineState,
        pacer: RatePacer,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        timeouts: TimeoutEstimator,
        connections: ConnectionReuse,
    ) -> None:
        self.state = state
        self.pacer = pacer
        self.slow_start = slow_start
        self.outliers = outliers
        self.timeouts = timeouts
        self.connections = connections

    def endpoint_may_be_called(self, endpoint: Endpoint, has_quick_retry: bool = False) -> bool:
        """Whether the endpoint may get a call now; if only time has to pass, the engine is woken then.

        `has_quick_retry`: a message waits that failed quickly, and may go through a shared open circuit.
        """
        state = self.state
        scope = endpoint.scope
        if not self._has_capacity(endpoint):
            return False
        if state.now_us < scope.retry_after_until_us:
            state.wake_at(scope.retry_after_until_us)
            return False
        if state.now_us < endpoint.next_connect_at_us and not self.connections.has_idle_connection(endpoint):
            state.wake_at(endpoint.next_connect_at_us)
            return False
        if endpoint.circuit.is_open:
            if not self._may_probe(endpoint, has_quick_retry):
                return False
        elif endpoint.circuit.slow_start_since_us >= 0 and not self.slow_start.has_token(endpoint):
            return False
        if self.pacer.available_tokens(scope) < 1.0:
            state.wake_at(self.pacer.next_token_at_us(scope))
            return False
        return True

    def _has_capacity(self, endpoint: Endpoint) -> bool:
        state = self.state
        scope = endpoint.scope
        is_busy = (
            state.calls_in_flight >= state.settings.max_in_flight
            or scope.destination.in_flight >= state.destination_window
            or scope.in_flight >= int(scope.window)
        )
        if is_busy or endpoint.state is not EndpointState.READY:
            return False
        return len(endpoint.calls) < endpoint.connection_limit

    def _may_probe(self, endpoint: Endpoint, has_quick_retry: bool) -> bool:
        """Whether a half-open probe is due at an endpoint whose circuit is open."""
        circuit = endpoint.circuit
        if circuit.half_open_call is not None:
            return False
        if endpoint.scope.shared_circuit:
            if endpoint.scope.rate_is_leased:
                return self.slow_start.has_token(endpoint) or has_quick_retry
            return circuit.tokens >= 1.0 or has_quick_retry
        if self.state.now_us < circuit.next_probe_at_us:
            self.state.wake_at(circuit.next_probe_at_us)
            return False
        return True

    def message_may_go(self, message: Message, endpoint: Endpoint) -> bool:
        """Whether an attempt of the message may go to the endpoint now, whose own checks are passed."""
        state = self.state
        remaining_us = (
            min(message.deadline_us, state.attempts_until_us) - state.now_us - state.deadline_margin_us
        )
        if not self._is_attemptable(message, endpoint, remaining_us):
            return False
        if state.now_us < message.retry_at_us:
            state.wake_at(message.retry_at_us)
            return False
        if message.possibly_executed_at_us >= 0 and not self._may_repeat(message, endpoint):
            return False
        if message.order_key and not self._is_next_in_order(message):
            return False
        if message.message_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return self._is_safe_enough(endpoint, remaining_us)
        return True

    def _is_attemptable(self, message: Message, endpoint: Endpoint, remaining_us: float) -> bool:
        """Whether the message has attempts and time left, and none in flight."""
        state = self.state
        if state.attempts_until_us < math.inf and self._may_be_cut_off(endpoint, remaining_us):
            return False
        if message.is_completed or message.in_flight or remaining_us <= 0:
            return False
        has_attempts = message.attempts_used < state.attempts_per_message
        return has_attempts and not self._waits_for_probe(message, endpoint)

    def _may_be_cut_off(self, endpoint: Endpoint, remaining_us: float) -> bool:
        """Whether a call might last past the shutdown."""
        return remaining_us < self.timeouts.call_timeout_us(endpoint.scope)

    @staticmethod
    def _waits_for_probe(message: Message, endpoint: Endpoint) -> bool:
        """Whether the scope's circuit is open, and no probe of it is due."""
        circuit = endpoint.scope.shared_circuit
        if circuit is None or not circuit.is_open:
            return False
        return circuit.tokens < 1.0 and not message.failed_quickly

    def _may_repeat(self, message: Message, endpoint: Endpoint) -> bool:
        """Whether a message that may have run already may run once more."""
        message_class = message.message_class
        if message_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if message_class.idempotency is Idempotency.WITH_KEY:
            window_end_us = message.possibly_executed_at_us + message_class.key_window_us
            if self.state.now_us >= window_end_us - self.state.deadline_margin_us:
                return False
            return message_class.key_scope != "zone" or self._remembers_key(message, endpoint)
        return True

    @staticmethod
    def _remembers_key(message: Message, endpoint: Endpoint) -> bool:
        """Whether the endpoint is in the zone in which the message may have run."""
        zone = message.possibly_executed_zone
        return zone != UNKNOWN_ZONE and endpoint.zone == zone

    def _is_next_in_order(self, message: Message) -> bool:
        """Whether no earlier message of its order key is pending, and the key does not cool down."""
        state = self.state
        is_first_attempt = message.attempts == 0
        cooldown_until_us = state.order_cooldowns.get(message.order_key, 0) if is_first_attempt else 0
        if state.order_queues[message.order_key][0] is message and state.now_us >= cooldown_until_us:
            return True
        if cooldown_until_us > state.now_us:
            state.wake_at(cooldown_until_us)
        return False

    def _is_safe_enough(self, endpoint: Endpoint, remaining_us: float) -> bool:
        """Whether a non-idempotent message may go: lost to an error, it is lost for good."""
        is_indeterminate = self.outliers.indeterminate_rate(endpoint) > MAX_INDETERMINATE_RATE
        if is_indeterminate and remaining_us > PATIENT_LATENCIES * endpoint.scope.mean_latency_us:
            self.state.wake_at(self.state.now_us + INDETERMINATE_RECHECK_US)
            return False
        return True
