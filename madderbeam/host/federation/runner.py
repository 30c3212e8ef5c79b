"""Runs one pure machine: events in, its actions out in their order, each word behind its record."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from madderbeam.host.federation.kept import Kept
from madderbeam.membership.values import LogLine, Persist, SetTimer, TimerDue, WriteFailed

log = logging.getLogger(__name__)


class Machine(Protocol):
    """A decision module of the federation."""

    def handle(self, now_us: int, event: Any) -> list[Any]: ...


class Runner:
    """`act` carries out what is not a record, a timer or a line for the log.

    What stands behind a record is carried out once the disk has it. If the disk does not take it the rest of
    the list is dropped, and the machine is told which records are not written.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        machine: Machine,
        kept: Kept,
        act: Callable[[Any], None],
        name: str = "federation",
    ) -> None:
        """`clock`: the monotonic one, in microseconds. `name`: whose machine it is, for the log."""
        self.loop, self.clock, self.machine, self.kept, self.act = loop, clock, machine, kept, act
        self.name = name
        self.events: deque[Any] = deque()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.busy = self.closed = False
        self.unwritten = 0  # records that the disk did not take
        self.now_us = clock()  # when the event came whose actions are carried out

    def tell(self, event: Any) -> None:
        """Hand an event in; from within an action it comes next, behind those that wait."""
        self.events.append(event)
        if not self.busy:
            self.run([])

    def run(self, actions: Iterable[Any]) -> None:
        """Carry out actions, then take the events that wait."""
        if self.closed:
            return
        self.busy = True
        try:
            self._carry_out(actions)
            while self.events and not self.closed:
                event = self.events.popleft()
                try:
                    self.now_us = self.clock()
                    actions = self.machine.handle(self.now_us, event)
                except Exception:  # one event must not end the process
                    log.exception("%s failed on %s", type(self.machine).__name__, type(event).__name__)
                    continue
                self._carry_out(actions)
        finally:
            self.busy = False

    def _carry_out(self, actions: Iterable[Any]) -> None:
        rows: list[Persist] = []
        for action in actions:
            if isinstance(action, Persist):
                rows.append(action)
                continue
            if rows and not self._written(rows):
                return
            rows = []
            try:
                self._one(action)
            except Exception:
                log.exception("%s failed", type(action).__name__)
        if rows:
            self._written(rows)

    def _written(self, rows: list[Persist]) -> bool:
        try:
            self.kept.write((r.kind, r.key, r.value) for r in rows)
        except OSError as error:
            log.error("%s: %d records are not kept: %s", self.name, len(rows), error)
            self.unwritten += len(rows)
            self.events.extendleft(WriteFailed(r.kind, r.key) for r in reversed(rows))
            return False
        return True

    def _one(self, action: Any) -> None:
        if isinstance(action, SetTimer):
            if timer := self.timers.pop(action.token, None):
                timer.cancel()
            delay = max(0, action.at_us - self.clock()) / 1e6 + 5e-5
            self.timers[action.token] = self.loop.call_later(delay, self._due, action.token)
        elif isinstance(action, LogLine):
            note(action, self.name)
        else:
            self.act(action)

    def _due(self, token: str) -> None:
        self.timers.pop(token, None)
        self.tell(TimerDue(token))

    def close(self) -> None:
        self.closed = True
        for timer in self.timers.values():
            timer.cancel()


def note(action: LogLine, name: str = "federation") -> None:
    """A line for the log; what an operator can do something about is an error."""
    line = getattr(action.error, "line", None)
    if line is not None:
        log.error("%s: %s: %s", name, action.text, line()) if action.text else log.error("%s", line())
    else:
        log.info("%s: %s", name, action.text)
