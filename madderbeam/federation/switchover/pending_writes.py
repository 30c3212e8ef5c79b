"""The actions of one event, and the records whose write is not confirmed yet.

The host performs actions in order, so a record is on disk once the timer set behind it fires. An action that
depends on the record is taken when `on_timer` returns it. Until then any WriteFailed, of whatever kind,
causes the record to be written again, because the host drops all actions behind a failed write, and the
failed record may be another part's.
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import Persist, SetTimer, TimerDue

TOKEN_PREFIX = "switch/"  # of the tokens of all timers of the switchover


class PendingWrites:
    """Records whose write is not confirmed, at most one for each kind and key: a later one replaces the
    earlier.
    """

    def __init__(self, retry_us: int) -> None:
        self.retry_us = retry_us
        self.records: dict[int, Persist] = {}
        self.latest_ids: dict[tuple[str, str], int] = {}
        self._last_id = 0

    def is_pending(self, kind: str, key: str) -> bool:
        """Whether a record of this kind and key is being written."""
        return (kind, key) in self.latest_ids

    def pending_value(self, kind: str, key: str) -> Any:
        """The value that is being written, or None."""
        record = self.records.get(self.latest_ids.get((kind, key), 0))
        return None if record is None else record.value

    def write(self, now_us: int, kind: str, key: str, value: Any) -> list[Any]:
        """The actions that write the record."""
        self._last_id += 1
        self.records.pop(self.latest_ids.get((kind, key), 0), None)
        self.records[self._last_id] = Persist(kind, key, value)
        self.latest_ids[kind, key] = self._last_id
        return self._issue(now_us, self._last_id)

    def on_timer(self, now_us: int, event: TimerDue) -> tuple[Persist | None, list[Any]]:
        """The record that the timer confirms, if it does, and the actions that follow."""
        action, _, write_id = event.token.removeprefix(TOKEN_PREFIX).partition("/")
        if not write_id.isdigit() or int(write_id) not in self.records:
            return None, []
        if action == "again":
            return None, self._issue(now_us, int(write_id))
        record = self.records.pop(int(write_id))
        del self.latest_ids[record.kind, record.key]
        return record, []

    def schedule_rewrites(self, now_us: int) -> list[Any]:
        """The actions that write all unconfirmed records again later: which of them the failed write
        dropped is unknown.
        """
        return [
            SetTimer(now_us + self.retry_us, f"{TOKEN_PREFIX}again/{write_id}") for write_id in self.records
        ]

    def _issue(self, now_us: int, write_id: int) -> list[Any]:
        return [self.records[write_id], SetTimer(now_us, f"{TOKEN_PREFIX}written/{write_id}")]


class ActionBuffer:
    """Collects the actions of one event.

    Records come after all other actions, so a failed write drops only further records and their timers.
    Removals come last.
    """

    def __init__(self, retry_us: int) -> None:
        self.now_us = 0
        self.writes = PendingWrites(retry_us)
        self._actions: list[Any] = []
        self._records: list[Any] = []
        self._removals: list[Any] = []

    def take(self) -> list[Any]:
        """Return the collected actions in order and clear the buffer."""
        actions = self._actions + self._records + self._removals
        self._actions, self._records, self._removals = [], [], []
        return actions

    def add(self, action: Any) -> None:
        """Append an action that does not write a record."""
        self._actions.append(action)

    def set_timer(self, at_us: int, name: str) -> None:
        """Set a timer of the switchover."""
        self._actions.append(SetTimer(at_us, TOKEN_PREFIX + name))

    def write(self, kind: str, key: str, value: Any) -> None:
        """Write a record; `on_timer` returns it once it is on disk."""
        self._records += self.writes.write(self.now_us, kind, key, value)

    def remove_record(self, kind: str, key: str) -> None:
        """Remove a record. Nothing depends on it: if the removal is lost, the next start repeats it."""
        self._removals.append(Persist(kind, key, None))

    def on_timer(self, event: TimerDue) -> Persist | None:
        """The record that the timer confirms, or None."""
        record, actions = self.writes.on_timer(self.now_us, event)
        self._records += actions
        return record

    def schedule_rewrites(self) -> None:
        """Write all unconfirmed records again after a pause."""
        self._actions += self.writes.schedule_rewrites(self.now_us)
