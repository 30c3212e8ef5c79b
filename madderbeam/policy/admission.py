"""Admission: the weight of a new message, and which messages are shed for lack of pace or capacity."""

from __future__ import annotations

from dataclasses import dataclass

from madderbeam.policy.completion import MessageCompleter
from madderbeam.policy.delivery_value import delivery_value
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import UNKNOWN_ZONE, MessageArrived
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.settings import Idempotency
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import Destination, Message

MAX_WAIT_SHARE = 0.5  # a new message that would wait for its pace over this part of its time is rejected
ACCEPTED_WEIGHT = 1.3  # an accepted message counts for this much more: rejected unattempted it costs 0.3
FREE_PLACES = 2  # reserved for new messages
SHORTFALL_FACTOR = 3.0  # where less comes than is taken, probes go at this multiple of the cold share at most
FULL_SHARE = 0.8  # of all places, under which the engine counts as having capacity again


@dataclass(slots=True, eq=False)
class QuotaBucket:
    """A tenant's quota as a token bucket."""

    rate_per_s: float
    tokens: float = 1.0
    updated_at_us: int = 0


class Admission:
    """Takes new messages into the queues, and sheds load."""

    def __init__(
        self, state: EngineState, pacer: RatePacer, slow_start: SlowStart, completer: MessageCompleter
    ) -> None:
        self.state = state
        self.pacer = pacer
        self.slow_start = slow_start
        self.completer = completer
        self.is_full = False
        couriers = state.settings.courier_count
        self.quotas = [QuotaBucket(tenant.quota_per_s / couriers) for tenant in state.settings.tenants]

    def change_quotas(self) -> None:
        """Apply the quotas of changed settings; tenants keep their tokens."""
        settings = self.state.settings
        old = self.quotas
        self.quotas = [
            QuotaBucket(tenant.quota_per_s / settings.courier_count) for tenant in settings.tenants
        ]
        for number, quota in enumerate(self.quotas):
            quota.tokens = old[number].tokens if number < len(old) else 1.0
            quota.updated_at_us = old[number].updated_at_us if number < len(old) else self.state.now_us

    def retry_after_us(self) -> int:
        """Return a jittered Retry-After, for a message that there is no capacity for."""
        return int(self.state.settings.max_retry_after_us * self.state.random.uniform(0.5, 1))

    def admit(self, event: MessageArrived) -> None:
        """Queue a message, unless its attempts are used up or it is shed."""
        state = self.state
        if event.message in state.messages:
            return
        state.arrivals += 1
        if event.resubmitted:
            self.completer.rejections_in_a_row = 0
        destination = state.destination(event.destination)
        message_class = state.settings.classes[event.message_class]
        message = Message.from_arrival(event, message_class, destination, state.arrivals, state.now_us)
        destination.arrivals += 1
        self._grant_probes(destination)
        quota_factor = 1.0 if message.restored else self._quota_factor(event.tenant)
        message.priority_weight = message_class.priority_weight * event.weight * quota_factor
        state.messages[message.id] = message
        destination.has_restored_messages = destination.has_restored_messages or message.restored
        self._report_capacity()
        destination.queue.append(message)
        if message.order_key:
            state.order_queues.setdefault(message.order_key, []).append(message)
        self.completer.schedule_expiry(message)
        if self._has_no_attempt_left(message):
            self.completer.complete(message, self.retry_after_us())
        elif state.is_large_fleet:
            self._shed_load(destination)

    def _grant_probes(self, destination: Destination) -> None:
        """Let a share of what arrives probe a failing destination.

        Summed over a fleet the probes follow the total traffic, whichever courier it arrives at, or what the
        destination takes where less arrives: couriers with few messages would detect the recovery late.
        Probes are not saved up, because all clients with a Retry-After resubmit at the same moment. Where the
        rate is leased, probes also come by time while a message waits: it may be the courier's last.
        """
        for scope in destination.scopes:
            circuit = scope.shared_circuit
            is_probed = circuit is not None and circuit.is_open
            if circuit is None or not is_probed or self.state.now_us < scope.retry_after_until_us:
                continue  # a slow start goes by time
            if scope.rate_is_leased and not destination.queue:
                circuit.tokens_updated_at_us = self.state.now_us
            shortfall = scope.listed_rate_per_s / self.pacer.traffic_per_s(scope)
            factor = max(1.0, min(SHORTFALL_FACTOR, shortfall))
            grant = factor * self.slow_start.capacity_multiple(circuit) / len(destination.scopes)
            circuit.tokens = min(1.0, circuit.tokens + grant)

    def _quota_factor(self, tenant: int) -> float:
        """Return the weight of a message: traffic over its tenant's quota has a low one."""
        if tenant >= len(self.quotas):
            return 1.0
        quota = self.quotas[tenant]
        now_us = self.state.now_us
        refill = quota.rate_per_s * (now_us - quota.updated_at_us) / 1e6
        quota.tokens = min(max(1.0, quota.rate_per_s), quota.tokens + refill)
        quota.updated_at_us = now_us
        if quota.tokens < 1.0:
            return self.state.settings.over_quota_weight
        quota.tokens -= 1.0
        return 1.0

    def _report_capacity(self) -> None:
        """Log when the limit of pending messages is reached, and when there is capacity again."""
        state = self.state
        settings = self.state.settings
        is_full = len(state.messages) >= settings.max_pending - 1
        if is_full == self.is_full:
            return
        if is_full or len(state.messages) < settings.max_pending * FULL_SHARE:
            self.is_full = is_full
            capacity = "at the limit" if is_full else "below the limit"
            state.log(f"pending messages {capacity}; {state.calls_in_flight}/{settings.max_in_flight} slots")

    def _has_no_attempt_left(self, message: Message) -> bool:
        """Whether a message that is not new may not be attempted any more: its outcome is due at once."""
        state = self.state
        message_class = message.message_class
        if message.attempts_used >= state.attempts_per_message:
            return True
        if message.possibly_executed_at_us < 0 or message_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        has_key = message_class.idempotency is Idempotency.WITH_KEY
        needs_zone = has_key and message_class.key_scope == "zone"
        if needs_zone and message.possibly_executed_zone == UNKNOWN_ZONE:
            return True
        window_us = message_class.key_window_us if has_key else 0
        return state.now_us >= message.possibly_executed_at_us + window_us - state.deadline_margin_us

    def _shed_load(self, destination: Destination) -> None:
        """Reject what would wait for its pace over a part of its time; the highest weights stay.

        What was accepted counts for more, and is rejected where all its time is too short, unless it was
        restored: what a restart found unattempted is attempted.
        """
        paces = [scope.pace_per_s for scope in destination.scopes]
        pace_per_s = sum(paces)
        if not pace_per_s or not all(paces):
            return
        ahead = 1 - sum(self.pacer.available_tokens(scope) for scope in destination.scopes)
        new = {message for message in destination.queue if self._is_new(message)}

        def rank(message: Message) -> tuple[float, int]:
            return -message.priority_weight * (1 if message in new else ACCEPTED_WEIGHT), message.sequence

        for message in sorted(destination.queue, key=rank):
            is_late = self._is_late(message, message in new, ahead / pace_per_s * 1e6)
            if is_late and (message.attempts_used or not message.restored):
                self.completer.complete(message, self.retry_after_us())
            else:
                ahead += 1

    def _is_late(self, message: Message, is_new: bool, wait_us: float) -> bool:
        share = MAX_WAIT_SHARE if is_new else 1
        return wait_us > share * (message.deadline_us - self.state.now_us)

    def _is_new(self, message: Message) -> bool:
        is_of_this_cycle = message.retry_at_us == self.state.now_us
        return is_of_this_cycle and not message.attempts_used and not message.restored

    def evict_for_capacity(self) -> None:
        """Reject what waits for a failing destination before it keeps out what could be sent at once."""
        state = self.state
        while len(state.messages) > max(1, state.settings.max_pending - FREE_PLACES):
            evictable = (
                [message for message in destination.queue if message.attempts_used or not message.restored]
                for destination in state.destinations.values()
            )
            longest_queue = max(evictable, key=len)
            if len(longest_queue) < 2:
                return
            self.completer.complete(min(longest_queue, key=self._eviction_rank), 0)

    def _eviction_rank(self, message: Message) -> tuple[bool, float, int]:
        """Sort those that surely have not run first, then the least valuable, then the newest."""
        value = delivery_value(message, self.state.now_us, self.state.settings.late_value_halves)
        return (message.possibly_executed_at_us >= 0, value, -message.sequence)
