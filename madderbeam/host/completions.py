"""Completion of messages: each outcome is recorded, then notified once, also if the disk refuses writes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from madderbeam.host.attempt_log import log_completion
from madderbeam.host.components import CompletionListener
from madderbeam.host.metrics import ABORTED, DECLINED, Metrics
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.actions import Fail, Reject
from madderbeam.policy.events import Event, MessageWithdrawn
from madderbeam.transport.discovery import Notices
from madderbeam.transport.local import Feed

RECORD_RETRY_S = 0.05  # interval at which an outcome that the disk refuses is recorded again
OVERDUE_S = 0.1  # after its deadline a message without an outcome is completed here, as a last resort
log = logging.getLogger(__name__)


class Completions:
    """Completes messages with notices and ensures that each message gets an outcome in time.

    `on_completed` is called with the number of each message that is completed, before its notice is sent;
    `post_event` takes events for the engine.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        journal: Journal,
        notices: Notices | Feed,
        post_event: Callable[[Event], None],
        on_completed: Callable[[int], None],
        metrics: Metrics,
    ) -> None:
        self.loop, self.journal, self.notices, self.post_event, self.on_completed = (
            loop,
            journal,
            notices,
            post_event,
            on_completed,
        )
        self.metrics = metrics
        self.deadline_timers: dict[int, asyncio.TimerHandle] = {}
        self.closed = False
        self.unrecorded: dict[int, PendingMessage] = {}  # completed, with the outcome not recorded yet
        self.listeners: list[CompletionListener] = []  # for messages that no client submitted here

    # Deadline timers

    def start_deadline_timer(self, m: PendingMessage) -> None:
        """Complete the message as undeliverable if it has no outcome shortly after its deadline."""
        delay = max(0.0, m.deadline_s + OVERDUE_S - self.journal.wall())
        self.deadline_timers[m.number] = self.loop.call_later(delay, self._overdue, m.number)

    def close(self) -> None:
        """Stop all timers and records, because another process has taken over the messages."""
        self.closed = True
        for timer in self.deadline_timers.values():
            timer.cancel()

    def cancel_deadline_timer(self, number: int) -> None:
        """Cancel the deadline timer of a message."""
        if timer := self.deadline_timers.pop(number, None):
            timer.cancel()

    def _overdue(self, number: int) -> None:
        message = self.journal.pending.get(number)
        if message and not message.status:
            log.error("message %s has no outcome, completing it as undeliverable", message.id)
            self.post_event(MessageWithdrawn(number))
            self.complete(message, "undeliverable", 0)

    # Completion with a notice

    def complete_by_decision(self, action: Reject | Fail) -> None:
        """Complete a message that the engine rejects or fails."""
        message = self.journal.pending.get(action.message)
        if message is None or message.status:
            return
        if isinstance(action, Reject):
            self.complete(message, "deferred", -(-action.retry_after_us // 1000))
        else:
            self.complete(message, "undeliverable", 0)

    def complete(self, m: PendingMessage, status: str, retry_after_ms: int) -> None:
        """Complete a message with a notice of this status; `retry_after_ms` is its Retry-After."""
        self.metrics.count_completion(DECLINED if status == "deferred" else ABORTED, m.class_index)
        log_completion(m.id, status, retry_after_ms)
        self.cancel_deadline_timer(m.number)
        self.on_completed(m.number)
        self.journal.set_outcome(m, status, retry_after_ms)
        self._record_outcome(m, status, retry_after_ms)

    def _record_outcome(self, message: PendingMessage, status: str, retry_after_ms: int) -> None:
        """Record the outcome, then send its notice.

        Without the record a restart would send a rejected message again, besides the one that its client
        resubmits. While the disk refuses the record it is retried until the message's deadline; after that a
        restart does not send the message either, and the notice is sent without a record.
        """
        if self.closed:
            return
        self.journal.record_outcome(
            message.number,
            status,
            retry_after_ms,
            lambda: self._outcome_recorded(message),
            lambda error: self._outcome_not_recorded(message, status, retry_after_ms, error),
        )

    def _outcome_not_recorded(
        self, message: PendingMessage, status: str, retry_after_ms: int, error: OSError
    ) -> None:
        log.error("journal write failed; outcome not recorded: %s", error)
        if self.journal.wall() < message.deadline_s:
            self.unrecorded[message.number] = message
            self.loop.call_later(RECORD_RETRY_S, self._record_outcome, message, status, retry_after_ms)
        else:  # no record holds the outcome until the notice is accepted: the next message of an order waits
            self.unrecorded[message.number] = message
            message.status, message.retry_after_ms = "undeliverable", 0
            self.notify(message)

    def unrecorded_outcomes(self) -> list[tuple[int, str, int]]:
        """Return number, status and Retry-After (ms) of completed messages whose outcome no record holds."""
        return [(m.number, m.status, m.retry_after_ms) for m in self.unrecorded.values()]

    def notices_accepted(self, numbers: list[int]) -> None:
        """The notices of these messages were accepted: an outcome without a record needs none any more."""
        for number in numbers:
            self.unrecorded.pop(number, None)

    def _outcome_recorded(self, m: PendingMessage) -> None:
        self.unrecorded.pop(m.number, None)
        self.notify(m)

    def notify(self, m: PendingMessage) -> None:
        """Report the recorded outcome: to a completion listener, else by a notice."""
        if not any(handles(m, m.status) for handles in self.listeners):
            self.notices.add(m.number, m.id, m.status, m.retry_after_ms)

    def outcomes_stored(self, numbers: list[int]) -> None:
        """Remove messages whose outcomes the completion listeners have stored."""
        self.notices_accepted(numbers)
        self.journal.complete_all(numbers)

    def is_blocked_by_order(self, m: PendingMessage) -> bool:
        """Whether the message must wait until the outcome of an earlier message of its order is recorded."""
        return bool(m.order_key) and any(x.order_key == m.order_key for x in self.unrecorded.values())

    # Completion without a notice

    def complete_without_notice(self, m: PendingMessage, delivered: bool = False) -> None:
        """Complete a message that was delivered or withdrawn; its client gets no notice."""
        self.cancel_deadline_timer(m.number)
        if not any(handles(m, "" if delivered else "undeliverable") for handles in self.listeners):
            self.journal.complete(m.number)
