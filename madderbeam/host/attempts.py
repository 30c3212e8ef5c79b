"""Attempts, from the engine's Send to AttemptEnded: numbering, bundling, and the check before the write."""

from __future__ import annotations

import logging
import math
import sys
from collections.abc import Callable

from madderbeam.host.attempt_log import log_attempt_end
from madderbeam.host.completions import Completions
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.metrics import SUCCEEDED, Metrics
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID
from madderbeam.policy.actions import Send
from madderbeam.policy.events import AttemptEnded, AttemptResult, Event, HealthCheckEnded, MessageWithdrawn
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.transport.calls import Calls, Item
from madderbeam.transport.response_outcomes import Outcome

NEVER_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
log = logging.getLogger(__name__)


class Attempts:
    """Sends the engine's attempts and reports to the engine how each ended."""

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        registry: EndpointRegistry,
        completions: Completions,
        post_event: Callable[[Event], None],
        after_attempt: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """`after_attempt` is called after each attempt that has ended; it may have been the last open one."""
        self.settings, self.journal, self.registry, self.completions = (
            settings,
            journal,
            registry,
            completions,
        )
        self.metrics = metrics
        self.post_event, self.after_attempt = post_event, after_attempt
        self.calls: Calls  # set by the caller, since Calls in turn needs callbacks of this object
        self.next_numbers: dict[
            int, int
        ] = {}  # next attempt number by message, in step with the engine's count

    def forget(self, number: int) -> None:
        """Drop the attempt count of a message that is completed."""
        self.next_numbers.pop(number, None)

    def newest_attempt(self, number: int) -> int:
        """Return the number of the message's newest attempt, -1 if there was none in this process."""
        return self.next_numbers.get(number, 0) - 1

    def send_bundles(self, bundles: dict[int, list[Item]]) -> None:
        """Send the bundles of one dispatch cycle, by endpoint: one call for up to a full bundle."""
        for endpoint, items in bundles.items():
            max_items = self.registry.max_batch(endpoint)
            for start in range(0, len(items), max_items):
                self._call(endpoint, items[start : start + max_items])

    def send(self, action: Send, bundles: dict[int, list[Item]]) -> None:
        """Send an attempt at once, or add it to `bundles` if the endpoint takes several messages a call."""
        message = self.journal.pending.get(action.message)
        attempt = self.next_numbers.get(action.message, message.attempts if message else 0)
        if message is not None and not message.status:  # a completed message gets no further attempt numbers
            self.next_numbers[action.message] = attempt + 1
        if message is None or message.status or self.completions.is_blocked_by_order(message):
            self.post_event(
                AttemptEnded(
                    action.message, attempt, action.endpoint, AttemptResult.NOT_SENT, 0, message is None
                )
            )
            return
        item = Item(
            message.number,
            attempt,
            message.id,
            message.key,
            message.body,
            action.timeout_us,
            action.new_connection_timeout_us,
            action.requires_new_connection,
            is_repeatable=self._is_repeatable(message),
        )
        if self.registry.max_batch(action.endpoint) > 1:
            bundles.setdefault(action.endpoint, []).append(item)
        else:
            self._call(action.endpoint, [item])

    def _is_repeatable(self, message: PendingMessage) -> bool:
        """Whether the message may be sent again or handed back, whatever became of an attempt."""
        message_class = self.settings.classes[message.class_index]
        if self.completions.listeners:  # other members rely on its outcome as soon as it is there
            return False
        if message.order_key or message_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return message_class.idempotency is Idempotency.IDEMPOTENT or message_class.key_scope == "all"

    def _call(self, endpoint: int, items: list[Item]) -> None:
        wall, pending = self.journal.wall, self.journal.pending

        def time_left_us(item: Item) -> int:
            until = pending[item.number].deadline_s
            return wall.monotonic_us_at(until) - wall.monotonic_us() - 2 * self.settings.tick_us

        # No call outlasts an ordered message: else its attempt would still be in flight when the next one is
        # sent.
        max_timeout_us = min(
            (time_left_us(item) for item in items if pending[item.number].order_key), default=sys.maxsize
        )
        longest_us = max(item.timeout_us for item in items)
        longest_fresh_us = max(item.fresh_timeout_us for item in items)
        # An endpoint may apply the deadline of the first message to the whole bundle: once it has passed, the
        # response counts for none of the others. So the message with the most time goes first, and the call
        # does not outlast it.
        items.sort(key=lambda item: pending[item.number].deadline_s, reverse=True)
        for item in items:
            left_us = time_left_us(item)
            item.timeout_us = max(1, min(max_timeout_us, max(item.timeout_us, min(longest_us, left_us))))
            item.fresh_timeout_us = max(
                1, min(max_timeout_us, max(item.fresh_timeout_us, min(longest_fresh_us, left_us)))
            )
        try:
            self.calls.send(endpoint, items)
        except Exception:  # end the attempts, so that their slots and messages are released
            log.exception("sending a call failed")
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = AttemptResult.RESET if item.begun else AttemptResult.NOT_SENT
                    self.attempt_ended(item, endpoint, Outcome(result), 0)

    # Callbacks of the calls

    def record_start(self, endpoint: int, items: list[Item], decide: Callable[[bool], None]) -> None:
        """Record that these attempts are about to be written to the endpoint, then call `decide`.

        It is called with False if they can't be.

        Within a dispatch cycle `decide` is called at the cycle's end.
        """
        # A message may have been completed while its call waited for a connection: it must not be sent after
        # its notice. Nor may one of an order whose earlier message's outcome the disk has not recorded
        # meanwhile.
        messages = [self.journal.pending.get(item.number) for item in items]
        if any(
            message is None
            or message.status
            or self._key_window_left_s(message, message.possibly_executed_at) <= 0
            or self.completions.is_blocked_by_order(message)
            for message in messages
        ):
            decide(False)
            return

        def recorded() -> None:
            decide(True)
            for item in items:  # not written after all; a newer attempt's record must not be withdrawn
                if not item.begun and self.newest_attempt(item.number) == item.attempt:
                    self.journal.attempt_not_executed(item.number)

        def failed(error: OSError) -> None:
            log.error("journal write failed; attempt not sent: %s", error)
            decide(False)

        zone = UNKNOWN_ZONE_ID
        if any(self._needs_zone(self.journal.pending[item.number]) for item in items):
            zone = self.registry.zone_id(endpoint)
        self.journal.attempt([item.number for item in items], self.journal.wall(), recorded, failed, zone)

    def _needs_zone(self, message: PendingMessage) -> bool:
        """Whether the message may be repeated only in the zone in which it may have run."""
        message_class = self.settings.classes[message.class_index]
        return message_class.idempotency is Idempotency.WITH_KEY and message_class.key_scope == "zone"

    def _key_window_left_s(self, m: PendingMessage, executed_at_s: float) -> float:
        """Return the seconds left of the message's idempotency key window; infinity if it has none.

        The window starts at `executed_at_s`, the time of the attempt that was possibly executed.
        """
        cls = self.settings.classes[m.class_index]
        if cls.idempotency is not Idempotency.WITH_KEY or not executed_at_s:
            return math.inf
        return executed_at_s + (cls.key_window_us - self.settings.tick_us) / 1e6 - self.journal.wall()

    def write_window_s(self, items: list[Item]) -> float:
        """Return the seconds left in which the last byte of a recorded attempt may be written.

        An attempt that reaches the endpoint after the key window has a second effect, however early its write
        began. Zero for a message that has been completed meanwhile.
        """
        messages = [self.journal.pending.get(item.number) for item in items]
        return min(
            (
                self._key_window_left_s(m, m.prior_execution_at) if m and not m.status else 0.0
                for m in messages
            ),
            default=math.inf,
        )

    def attempt_ended(self, item: Item, endpoint: int, outcome: Outcome, latency: int) -> None:
        """Complete the message of an attempt or report its result to the engine; latency in microseconds."""
        message = self.journal.pending.get(item.number)
        is_completed = outcome.over or message is None
        log_attempt_end(item, endpoint, outcome, latency, is_completed)
        if outcome.over and message:
            self._complete(message, outcome)
        elif message and item.begun and outcome.result in NEVER_EXECUTED and not outcome.may_have_run:
            self.journal.attempt_not_executed(message.number)
        if is_completed:
            self.forget(item.number)
        self.post_event(
            AttemptEnded(
                item.number,
                item.attempt,
                endpoint,
                outcome.result,
                max(1, latency),
                is_completed,
                outcome.wait_us,
                item.fresh if item.begun else None,
                outcome.spoilt,
                outcome.may_have_run,
                outcome.may_be_over,
            )
        )
        self.after_attempt()

    def _complete(self, m: PendingMessage, outcome: Outcome) -> None:
        if outcome.result is AttemptResult.OK and not m.status:
            self.metrics.count_completion(SUCCEEDED, m.class_index)
        self.completions.complete_without_notice(m, outcome.result is AttemptResult.OK)

    def late_outcome(self, item: Item, outcome: Outcome) -> None:
        """Process an outcome that came after the attempt's timeout, in the response to its bundle.

        It counts if the message is not completed yet.
        """
        message = self.journal.pending.get(item.number)
        if message and not message.status:
            self._complete(message, outcome)
            self.forget(message.number)
            self.post_event(MessageWithdrawn(message.number))

    def probe_ended(self, endpoint: int, result: AttemptResult, latency: int) -> None:
        """Report the result of a health check to the engine; latency in microseconds."""
        self.post_event(HealthCheckEnded(endpoint, result, latency))
