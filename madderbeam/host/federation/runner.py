"""Runs one state machine: passes it events and performs its actions in order, records first."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.membership.values import LogLine, Persist, SetTimer, TimerDue, WriteFailed

log = logging.getLogger(__name__)


class Machine(Protocol):
    """A state machine without input or output of its own."""

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Return the actions that follow from the event, in the order to perform them."""
        ...


class Runner:
    """Queues events for a state machine and performs the actions that it returns.

    `perform` handles every action that is not a record, a timer or a log line. Actions that follow a record
    are performed only after the record is written. If the write fails, the remaining actions are dropped and
    the machine gets a `WriteFailed` event for each record.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        machine: Machine,
        store: DurableMap,
        perform: Callable[[Any], None],
        name: str = "federation",
    ) -> None:
        """`clock` returns monotonic time in microseconds; `name` is the prefix of log lines."""
        self.loop, self.clock, self.machine, self.store, self.perform = loop, clock, machine, store, perform
        self.name = name
        self.events: deque[Any] = deque()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.is_running = self.closed = False
        self.unwritten_records = 0  # records whose write failed
        # when the event arrived whose actions are being performed
        self.now_us = clock()

    def post_event(self, event: Any) -> None:
        """Handle the event now, or after the queued ones if called while actions are performed."""
        self.events.append(event)
        if not self.is_running:
            self.run([])

    def run(self, actions: Iterable[Any]) -> None:
        """Perform the actions, then handle the queued events."""
        if self.closed:
            return
        self.is_running = True
        try:
            self._perform(actions)
            while self.events and not self.closed:
                event = self.events.popleft()
                try:
                    self.now_us = self.clock()
                    actions = self.machine.handle(self.now_us, event)
                except Exception:  # a failure on one event must not end the process
                    log.exception("%s failed to handle %s", type(self.machine).__name__, type(event).__name__)
                    continue
                self._perform(actions)
        finally:
            self.is_running = False

    def _perform(self, actions: Iterable[Any]) -> None:
        rows: list[Persist] = []
        for action in actions:
            if isinstance(action, Persist):
                rows.append(action)
                continue
            if rows and not self._write_records(rows):
                return
            rows = []
            try:
                self._perform_one(action)
            except Exception:
                log.exception("action %s failed", type(action).__name__)
        if rows:
            self._write_records(rows)

    def _write_records(self, rows: list[Persist]) -> bool:
        try:
            self.store.write((row.kind, row.key, row.value) for row in rows)
        except OSError as error:
            log.error("%s: writing %d records failed: %s", self.name, len(rows), error)
            self.unwritten_records += len(rows)
            self.events.extendleft(WriteFailed(row.kind, row.key) for row in reversed(rows))
            return False
        return True

    def _perform_one(self, action: Any) -> None:
        if isinstance(action, SetTimer):
            if timer := self.timers.pop(action.token, None):
                timer.cancel()
            delay = max(0, action.at_us - self.clock()) / 1e6 + 5e-5
            self.timers[action.token] = self.loop.call_later(delay, self._timer_due, action.token)
        elif isinstance(action, LogLine):
            write_log_line(action, self.name)
        else:
            self.perform(action)

    def _timer_due(self, token: str) -> None:
        self.timers.pop(token, None)
        self.post_event(TimerDue(token))

    def close(self) -> None:
        """Cancel all timers; later events are ignored."""
        self.closed = True
        for timer in self.timers.values():
            timer.cancel()


def write_log_line(action: LogLine, name: str = "federation") -> None:
    """Write a log line: at level error if it carries an error with advice to the operator, else info."""
    line = getattr(action.error, "line", None)
    if line is not None:
        log.error("%s: %s: %s", name, action.text, line()) if action.text else log.error("%s", line())
    else:
        log.info("%s: %s", name, action.text)
