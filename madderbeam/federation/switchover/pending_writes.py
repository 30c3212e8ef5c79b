"""The actions of one turn, and records on their way to the disk: written until a timer behind them has come.

A word that depends on a record is given once `due` returns the record. Until then every `Unwritten`, of
whatever kind (another part's record may have stood before it in the list), has it written again.
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import Persist, SetTimer, TimerDue

PREFIX = "switch/"  # of all tokens of this part's timers


class PendingWrites:
    """One record of a kind and key at a time: a later one takes the place of the one before it."""

    def __init__(self, retry_us: int) -> None:
        self.retry_us = retry_us
        self.open: dict[int, Persist] = {}
        self.latest: dict[tuple[str, str], int] = {}
        self._count = 0

    def busy(self, kind: str, key: str) -> bool:
        return (kind, key) in self.latest

    def value(self, kind: str, key: str) -> Any:
        """Of the record that is on its way; None if there is none."""
        record = self.open.get(self.latest.get((kind, key), 0))
        return None if record is None else record.value

    def put(self, now_us: int, kind: str, key: str, value: Any) -> list[Any]:
        """The actions that write it."""
        self._count += 1
        self.open.pop(self.latest.get((kind, key), 0), None)
        self.open[self._count] = Persist(kind, key, value)
        self.latest[kind, key] = self._count
        return self._issue(now_us, self._count)

    def due(self, now_us: int, event: TimerDue) -> tuple[Persist | None, list[Any]]:
        """The record that is now on disk, if it is one's own timer that came; what is to be done else."""
        what, _, count = event.token.removeprefix(PREFIX).partition("/")
        if not count.isdigit() or int(count) not in self.open:
            return None, []
        if what == "again":
            return None, self._issue(now_us, int(count))
        record = self.open.pop(int(count))
        del self.latest[record.kind, record.key]
        return record, []

    def again(self, now_us: int) -> list[Any]:
        """Something was not written: what was lost with it is not known, so all is written again, later."""
        return [SetTimer(now_us + self.retry_us, f"{PREFIX}again/{c}") for c in self.open]

    def _issue(self, now_us: int, count: int) -> list[Any]:
        return [self.open[count], SetTimer(now_us, f"{PREFIX}written/{count}")]


class ActionBuffer:
    """What a turn gives: all else stands before the records, so that a record that fails takes nothing along
    but records and their own timers."""

    def __init__(self, retry_us: int) -> None:
        self.now_us = 0
        self.writes = PendingWrites(retry_us)
        self._first: list[Any] = []
        self._then: list[Any] = []
        self._last: list[Any] = []

    def taken(self) -> list[Any]:
        """The actions of this turn, in their order."""
        actions = self._first + self._then + self._last
        self._first, self._then, self._last = [], [], []
        return actions

    def do(self, action: Any) -> None:
        self._first.append(action)

    def timer(self, at_us: int, what: str) -> None:
        self._first.append(SetTimer(at_us, PREFIX + what))

    def write(self, kind: str, key: str, value: Any) -> None:
        self._then += self.writes.put(self.now_us, kind, key, value)

    def forget(self, kind: str, key: str) -> None:
        """No word hangs on it: if it is lost, the next start forgets it."""
        self._last.append(Persist(kind, key, None))

    def due(self, event: TimerDue) -> Persist | None:
        record, actions = self.writes.due(self.now_us, event)
        self._then += actions
        return record

    def again(self) -> None:
        self._first += self.writes.again(self.now_us)
