"""Retries: what becomes of a message after an attempt.

A failed attempt is retried after a full-jitter backoff, a few times at most; overload ends the message.
"""

from __future__ import annotations

from madderbeam.policy.backoff import backoff_us
from madderbeam.policy.completion import MessageCompleter
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import AttemptEnded, AttemptResult
from madderbeam.policy.settings import Idempotency
from madderbeam.policy.state import Call, Message

QUICK_FAILURE_US = 200_000  # a failure that came this soon may be retried at once, outage or not
NEVER_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class RetryPolicy:
    """Decides whether and when a message is retried."""

    def __init__(self, state: EngineState, completer: MessageCompleter) -> None:
        self.state = state
        self.completer = completer

    def attempt_ended(self, message: Message, call: Call, event: AttemptEnded) -> None:
        """Retry the message, or complete it."""
        state = self.state
        if message.is_completed or event.message_completed or message.is_streaming:
            self.completer.remove(message)
            return
        may_have_run = event.may_have_run or event.result not in NEVER_EXECUTED
        if may_have_run and message.possibly_executed_at_us < 0:
            message.possibly_executed_at_us = call.sent_at_us
            message.possibly_executed_zone = call.zone
        if event.may_be_completed:
            self.completer.complete_in_doubt(message)
            return
        if message.in_flight:
            return
        pause_us = self._pause_us(message, event)
        if self._is_ended_by_overload(message, call, event):
            self.completer.complete(message, event.retry_after_us)
        elif not self._may_retry(message, pause_us):
            self.completer.complete(message, 0)
        else:
            message.retry_at_us = state.now_us + pause_us
            message.failed_quickly = message.attempts_used == 1 and event.latency_us < QUICK_FAILURE_US
            message.destination.queue.append(message)

    def _pause_us(self, message: Message, event: AttemptEnded) -> int:
        # An attempt that was never written does not count, and goes again at once, then with growing pauses;
        # one that was rejected for want of a slot has loaded its destination all the same.
        was_not_sent = event.result is AttemptResult.NOT_SENT and event.on_new_connection is None
        message.attempts_not_sent += was_not_sent
        if was_not_sent and message.attempts_not_sent == 1:
            return 0
        return backoff_us(self.state, message.attempts - 1)

    def _is_ended_by_overload(self, message: Message, call: Call, event: AttemptEnded) -> bool:
        """Whether overload ends the message, with the Retry-After passed on.

        Where clients mark their retries, and many were rejected with none resubmitted, a rejection is a loss:
        the message waits here instead.
        """
        has_attempts = message.attempts_used < self.state.attempts_per_message
        is_kept = self.completer.clients_do_not_retry and has_attempts
        is_overload = event.result is AttemptResult.OVERLOADED and not call.rejected_by_full_table
        return is_overload and not is_kept

    def _may_retry(self, message: Message, pause_us: int) -> bool:
        state = self.state
        if message.attempts_used >= state.attempts_per_message:
            return False
        is_non_idempotent = message.message_class.idempotency is Idempotency.NON_IDEMPOTENT
        if is_non_idempotent and message.possibly_executed_at_us >= 0:
            return False
        return state.now_us + pause_us < message.deadline_us - state.deadline_margin_us
