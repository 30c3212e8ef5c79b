"""The delivery engine: takes the events of a dispatch cycle and returns its actions."""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.policy.actions import Action, CloseIdleConnections, Subscribe
from madderbeam.policy.admission import Admission
from madderbeam.policy.circuit_breaker import CircuitBreakers
from madderbeam.policy.completion import MessageCompleter
from madderbeam.policy.connection_reuse import ConnectionReuse
from madderbeam.policy.dispatch import Dispatcher
from madderbeam.policy.eligibility import Eligibility
from madderbeam.policy.endpoint_list import EndpointList
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    Event,
    MessageArrived,
    MessageWithdrawn,
    ResponseStarted,
    ShutdownStarted,
)
from madderbeam.policy.outlier_detection import SHORT_FAULT_US, OutlierDetector
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.retries import RetryPolicy
from madderbeam.policy.selection import Selector
from madderbeam.policy.settings import Settings
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Call, Endpoint, Message
from madderbeam.policy.timeouts import TimeoutEstimator

# A Retry-After comes in whole milliseconds, rounded down: one more keeps a call from falling just inside it.
RETRY_AFTER_ROUNDING_US = 1_000
SCOPE_SLOT_TIME_MEMORY = 8  # calls that the moving averages of slot times look back
SLOT_TIME_MEMORY = 32
RESPONSES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.OVERLOADED)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
DID_NOT_TAKE_A_SLOT = (AttemptResult.OVERLOADED, AttemptResult.NOT_SENT)


class DeliveryEngine:
    """Decides for one courier: `handle` takes the events of a cycle and returns its actions, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        state = EngineState(settings, seed)
        self.state = state
        self.pacer = RatePacer(state)
        self.timeouts = TimeoutEstimator(state)
        self.connections = ConnectionReuse(state)
        self.slow_start = SlowStart(state, self.pacer)
        self.breakers = CircuitBreakers(state, self.slow_start)
        self.outliers = OutlierDetector(
            state, self.pacer, self.slow_start, self.breakers, self.timeouts, self.connections
        )
        self.completer = MessageCompleter(state)
        self.retries = RetryPolicy(state, self.completer)
        self.admission = Admission(state, self.pacer, self.slow_start, self.completer)
        self.endpoint_list = EndpointList(state, self.pacer, self.slow_start, self.breakers)
        self.eligibility = Eligibility(
            state, self.pacer, self.slow_start, self.outliers, self.timeouts, self.connections
        )
        self.selector = Selector(state, self.eligibility, self.connections, self.completer)
        self.dispatcher = Dispatcher(
            state, self.selector, self.eligibility, self.slow_start, self.timeouts, self.connections
        )
        self.released: dict[int, Endpoint] = {}  # a connection there came free in this cycle

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Run one dispatch cycle."""
        state = self.state
        state.now_us = now_us
        state.actions = []
        if state.started_at_us < 0:
            state.started_at_us = now_us
            if state.settings.list_on_request:
                state.actions.append(Subscribe())
        for event in events:
            self._apply(event)
        state.forget_due_timers()
        self._forget_order_cooldowns()
        self.completer.complete_expired()
        self.dispatcher.dispatch()
        self._close_unused_connections()
        self.admission.evict_for_capacity()
        if state.expiries:
            state.wake_at(state.expiries[0][0])
        return state.actions

    def change_settings(self, settings: Settings) -> None:
        """Apply other settings; everything learnt so far is kept."""
        self.state.change_settings(settings)
        self.admission.change_quotas()
        self.connections.add_kinds(len(settings.kinds))

    def ejected_endpoints(self) -> list[int]:
        """Return the endpoints that get nothing but probes now."""
        return [endpoint.id for endpoint in self.state.endpoints.values() if endpoint.circuit.is_open]

    def _apply(self, event: Event) -> None:
        if isinstance(event, MessageArrived):
            self.admission.admit(event)
        elif isinstance(event, AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, EndpointListUpdate):
            self.endpoint_list.apply(event)
        elif isinstance(event, MessageWithdrawn):
            if message := self.state.messages.get(event.message):
                self.completer.remove(message)
        elif isinstance(event, ShutdownStarted):
            self.state.attempts_until_us = event.attempts_until_us
        elif isinstance(event, ResponseStarted) and (message := self.state.messages.get(event.message)):
            message.is_streaming = True

    def _attempt_ended(self, event: AttemptEnded) -> None:
        found = self.state.calls.pop((event.message, event.attempt), None)
        if found is None:
            return
        call, message = found
        endpoint = call.endpoint
        self._report_to_preference(call, event)
        call.messages_in_flight -= 1
        self._record_connection(call, event)
        if call.messages_in_flight == 0:
            self._release_call(call, event.result)
        message.in_flight -= 1
        if event.retry_after_us:
            # Honoured for each message: those of one batched call may have got different ones.
            until_us = self.state.now_us + event.retry_after_us + RETRY_AFTER_ROUNDING_US
            endpoint.scope.retry_after_until_us = max(endpoint.scope.retry_after_until_us, until_us)
        if not call.outcome_recorded:
            call.outcome_recorded = True
            self._record_outcome(call, event)
        if call.messages_in_flight == 0 and endpoint.circuit.half_open_call is call:
            endpoint.circuit.half_open_call = None
        self.endpoint_list.forget_if_gone(endpoint)
        self._start_order_cooldown(message, event)
        self.retries.attempt_ended(message, call, event)

    def _report_to_preference(self, call: Call, event: AttemptEnded) -> None:
        preference = self.state.endpoint_preference
        if preference is not None and not call.outcome_recorded:
            destination = call.endpoint.scope.destination.number
            preference.attempt_ended(
                destination, event.endpoint, event.result, event.malformed, self.state.now_us
            )

    @staticmethod
    def _record_connection(call: Call, event: AttemptEnded) -> None:
        """Correct what was assumed of the call's connection."""
        call.opened_connection = event.on_new_connection is True
        was_assumed_new = call.connection_idle_us < 0
        if event.on_new_connection is None or event.on_new_connection == was_assumed_new:
            return
        if event.on_new_connection:  # contrary to the assumption there was no idle connection
            call.connection_idle_us = -1
            call.endpoint.idle_since_us.clear()
        else:
            call.connection_idle_us = 0

    def _release_call(self, call: Call, result: AttemptResult) -> None:
        endpoint = call.endpoint
        self.state.calls_in_flight -= 1
        endpoint.scope.in_flight -= 1
        endpoint.scope.destination.in_flight -= 1
        endpoint.calls.pop(call, None)
        if result in RESPONSES:
            endpoint.idle_since_us.append(self.state.now_us)
            self.released[endpoint.id] = endpoint

    def _record_outcome(self, call: Call, event: AttemptEnded) -> None:
        """Let the outcome of a call be judged, once for all of its messages."""
        state = self.state
        endpoint = call.endpoint
        scope = endpoint.scope
        circuit = endpoint.circuit
        if event.result not in DID_NOT_TAKE_A_SLOT:
            scope.mean_slot_time_us += (event.latency_us - scope.mean_slot_time_us) / SCOPE_SLOT_TIME_MEMORY
            state.mean_slot_time_us += (event.latency_us - state.mean_slot_time_us) / SLOT_TIME_MEMORY
        # A malformed response alone is no fault of the endpoint.
        if not event.malformed or state.now_us - endpoint.last_success_at_us > SHORT_FAULT_US:
            self.outliers.record_outcome(endpoint, event.result, call, event.latency_us, event.retry_after_us)
        is_rejected = call.rejected_by_full_table and state.is_large_fleet
        if is_rejected and endpoint.id in self.released:
            del self.released[endpoint.id]
            # If it counted as free, waiting messages would be sent to the full table again at once.
            endpoint.idle_since_us.clear()
            state.actions.append(CloseIdleConnections(endpoint.id))
        if call.rejected_before_setup:  # it got nowhere near the rate limit
            scope.tokens += 1.0
            circuit.tokens = min(1.0, circuit.tokens + 1.0)

    def _start_order_cooldown(self, message: Message, event: AttemptEnded) -> None:
        """Have the next message of an order wait behind a call that may still run."""
        state = self.state
        may_still_run = event.malformed or event.may_have_run or event.result in MAY_STILL_RUN
        if may_still_run and message.order_key and state.settings.order_key_cooldown_us:
            # Behind all others: they end in the order of the dict.
            state.order_cooldowns.pop(message.order_key, None)
            until_us = state.now_us + state.settings.order_key_cooldown_us
            state.order_cooldowns[message.order_key] = until_us

    def _forget_order_cooldowns(self) -> None:
        cooldowns = self.state.order_cooldowns
        while cooldowns:
            oldest = next(iter(cooldowns))
            if cooldowns[oldest] > self.state.now_us:
                return
            del cooldowns[oldest]

    def _close_unused_connections(self) -> None:
        """Close connections that became idle and were not reused, where none are to stay idle."""
        for endpoint in self.released.values():
            if endpoint.idle_since_us and not self.connections.max_idle_us(endpoint.scope):
                endpoint.idle_since_us.clear()
                self.state.actions.append(CloseIdleConnections(endpoint.id))
        self.released.clear()
