"""Completion: the one place that ends a message, and the end of those whose deadline has passed."""

from __future__ import annotations

import heapq

from madderbeam.policy.actions import Fail, Reject
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.settings import Idempotency
from madderbeam.policy.state import Message

MIN_REJECTIONS = 20  # so many with no client retrying: clients are taken not to retry


class MessageCompleter:
    """Ends messages with an outcome, and removes them."""

    def __init__(self, state: EngineState) -> None:
        self.state = state
        self.rejections_in_a_row = 0  # since a client last retried

    @property
    def clients_do_not_retry(self) -> bool:
        """Whether clients mark their retries, and many rejections were followed by none."""
        return self.state.settings.clients_mark_retries and self.rejections_in_a_row >= MIN_REJECTIONS

    def complete_in_doubt(self, message: Message) -> None:
        """Complete a message that may be completed already, as an endpoint says without proof.

        Another attempt could follow its end, and silence could lose it; a notice does no harm in either case.
        That its client does not retry shows nothing.
        """
        rejections_in_a_row = self.rejections_in_a_row
        self.complete(message, 0)
        self.rejections_in_a_row = rejections_in_a_row

    def complete(self, message: Message, retry_after_us: int) -> None:
        """Reject the message if its attempts prove that a new one is harmless, else fail it."""
        state = self.state
        message_class = message.message_class
        longest_us = state.settings.max_retry_after_us
        remaining_us = message.deadline_us - state.now_us
        if self._is_retry_harmless(message):
            if remaining_us > max(longest_us, message_class.latency_objective_us):
                self.rejections_in_a_row += 1
            # Without a Retry-After: half the longest one that clients heed, if that leaves them time.
            if not retry_after_us and remaining_us > longest_us:
                retry_after_us = longest_us // 2
            state.actions.append(Reject(message.id, min(retry_after_us, longest_us)))
        else:
            state.actions.append(Fail(message.id))
        self.remove(message)

    @staticmethod
    def _is_retry_harmless(message: Message) -> bool:
        message_class = message.message_class
        if message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if message.possibly_executed_at_us < 0 and not message.in_flight:
            return True
        return message_class.idempotency is Idempotency.WITH_KEY and message_class.key_scope == "all"

    def remove(self, message: Message) -> None:
        """Forget the message once none of its attempts is in flight; it is attempted no more."""
        message.is_completed = True
        if message in message.destination.queue:
            message.destination.queue.remove(message)
        if message.in_flight:
            return
        state = self.state
        state.messages.pop(message.id, None)
        order_queue = state.order_queues.get(message.order_key, []) if message.order_key else []
        if message in order_queue:
            order_queue.remove(message)
            if not order_queue:
                del state.order_queues[message.order_key]

    def schedule_expiry(self, message: Message) -> None:
        """Have the message completed shortly before its deadline."""
        entry = (message.deadline_us - self.state.deadline_margin_us, message.id)
        heapq.heappush(self.state.expiries, entry)

    def complete_expired(self) -> None:
        """Complete the messages whose deadline has come."""
        state = self.state
        while state.expiries and state.expiries[0][0] <= state.now_us:
            message = state.messages.get(heapq.heappop(state.expiries)[1])
            if message is None or message.is_completed or message.is_streaming:
                continue
            if message.in_flight and state.now_us < message.deadline_us:
                # Its attempt's time-out is due in a moment, and completes it.
                heapq.heappush(state.expiries, (message.deadline_us, message.id))
            else:
                self.complete(message, 0)
