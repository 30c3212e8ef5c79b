"""Ends of messages: each is recorded, then told, once; also on a disk that takes nothing for a while."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from madderbeam.host.components import CompletionListener
from madderbeam.host.metrics import ABORTED, DECLINED, Metrics
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.actions import Fail, Reject
from madderbeam.policy.events import Event, MessageWithdrawn
from madderbeam.transport.discovery import Notices
from madderbeam.transport.local import Feed

SETTLE_S = 0.05  # an end that the disk does not take is recorded again after this
OVERDUE_S = 0.1  # a message this long past its time with no end is ended here: the last line of defence
log = logging.getLogger(__name__)


class Completions:
    """Ends messages by notices, and sees to it that each has an end in time.

    `ended` is called with the number of each message that ends, before its notice is sent; `tell` takes
    events for the decision module.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        journal: Journal,
        notices: Notices | Feed,
        tell: Callable[[Event], None],
        ended: Callable[[int], None],
        figures: Metrics,
    ) -> None:
        self.loop, self.journal, self.notices, self.tell, self.ended = loop, journal, notices, tell, ended
        self.figures = figures
        self.guards: dict[int, asyncio.TimerHandle] = {}
        self.closed = False
        self.unsettled: dict[int, PendingMessage] = {}  # ended, and not recorded yet
        self.tellers: list[CompletionListener] = []  # of ends that no client waits for

    # Guards

    def guard(self, m: PendingMessage) -> None:
        """End the message by itself if nothing else has once its time is up."""
        delay = max(0.0, m.until + OVERDUE_S - self.journal.wall())
        self.guards[m.number] = self.loop.call_later(delay, self._overdue, m.number)

    def close(self) -> None:
        """Another process has charge of all messages."""
        self.closed = True
        for guard in self.guards.values():
            guard.cancel()

    def unguard(self, number: int) -> None:
        if guard := self.guards.pop(number, None):
            guard.cancel()

    def _overdue(self, number: int) -> None:
        m = self.journal.held.get(number)
        if m and not m.status:
            log.error("message %s was overdue", m.id)
            self.tell(MessageWithdrawn(number))
            self.end(m, "undeliverable", 0)

    # Ends by a notice

    def final(self, a: Reject | Fail) -> None:
        """The decision module has given the message up."""
        m = self.journal.held.get(a.message)
        if m is None or m.status:
            return
        if isinstance(a, Reject):
            self.end(m, "deferred", -(-a.retry_after_us // 1000))
        else:
            self.end(m, "undeliverable", 0)

    def end(self, m: PendingMessage, status: str, again_ms: int) -> None:
        """Owe the notice, then send it."""
        self.figures.ended(DECLINED if status == "deferred" else ABORTED, m.cls)
        self.unguard(m.number)
        self.ended(m.number)
        self.journal.end(m, status, again_ms)
        self._settle(m, status, again_ms)

    def _settle(self, m: PendingMessage, status: str, again_ms: int) -> None:
        """Record the end before its notice: after a restart a message that was handed back would go out again
        beside the one that its client brings. While the disk takes nothing it is tried again until the
        message's time is up; from then on a restart sends nothing either, and no promise is made."""
        if self.closed:
            return
        self.journal.final(
            m.number,
            status,
            again_ms,
            lambda: self._notify(m),
            lambda error: self._unsettled(m, status, again_ms, error),
        )

    def _unsettled(self, m: PendingMessage, status: str, again_ms: int, error: OSError) -> None:
        log.error("journal: %s", error)
        if self.journal.wall() < m.until:
            self.unsettled[m.number] = m
            self.loop.call_later(SETTLE_S, self._settle, m, status, again_ms)
        else:  # until its notice is accepted nothing tells of its end: one behind it in an order waits
            self.unsettled[m.number] = m
            m.status, m.again_ms = "undeliverable", 0
            self.notify(m)

    def accepted(self, numbers: list[int]) -> None:
        """Notices were accepted."""
        for number in numbers:
            self.unsettled.pop(number, None)

    def _notify(self, m: PendingMessage) -> None:
        self.unsettled.pop(m.number, None)
        self.notify(m)

    def notify(self, m: PendingMessage) -> None:
        """Tell the end that is owed."""
        if not any(told(m, m.status) for told in self.tellers):
            self.notices.add(m.number, m.id, m.status, m.again_ms)

    def over(self, numbers: list[int]) -> None:
        """Their tellers have kept their ends: nothing more is owed."""
        self.accepted(numbers)
        self.journal.told(numbers)

    def blocked(self, m: PendingMessage) -> bool:
        """A later message of an order waits until the end of the one before is recorded."""
        return bool(m.order) and any(x.order == m.order for x in self.unsettled.values())

    # Ends by delivery

    def done(self, m: PendingMessage, delivered: bool = False) -> None:
        """Delivered or withdrawn: nothing more is owed."""
        self.unguard(m.number)
        if not any(told(m, "" if delivered else "undeliverable") for told in self.tellers):
            self.journal.done(m.number)
