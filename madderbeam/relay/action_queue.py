"""Collects the actions after one event in an order that is safe when a record can't be written."""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import SetTimer
from madderbeam.relay.timer_queue import TimerQueue

Action = Any


class ActionQueue:
    """Actions of a state machine. `independent` ones need no record; `ordered` ones are records and the
    actions that may only follow them. The timer comes before both, so that a failed write, which drops
    all later actions, doesn't drop it."""

    def __init__(self, token: str) -> None:
        self.token, self.now = token, 0
        self.timers = TimerQueue()
        self.independent: list[Action] = []
        self.ordered: list[Action] = []
        self.timer: int | None = None

    def begin(self, now_us: int) -> None:
        """Starts collecting the actions of one event."""
        self.now, self.independent, self.ordered = now_us, [], []

    def due(self) -> list[str]:
        """The timer has fired: the tokens that are due."""
        self.timer = None
        return self.timers.pop_due(self.now)

    def take(self) -> list[Action]:
        """All actions to perform, in order."""
        next_us = self.timers.next()
        timers: list[Action] = (
            [SetTimer(next_us, self.token)] if next_us is not None and next_us != self.timer else []
        )
        self.timer = next_us
        return timers + self.independent + self.ordered
