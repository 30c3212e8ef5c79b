"""Tracks when each drain began and when it expires. A drain lasts its full time even if the change that
started it is rolled back."""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.changes.values import DRAINING, READY, Snapshot

MAX_REMOVED_IDS = 4096  # the newest are kept


class Drains:
    """Endpoint ids that drain, by the time the drain began in microseconds of the state machine's clock."""

    def __init__(self, hold_us: int) -> None:
        self.hold_us = hold_us
        self.began_at_us: dict[str, int] = {}
        self.removed: dict[str, None] = {}  # ids that recover with slow start if they return

    def snapshot_changed(
        self, now_us: int, before: Snapshot, after: Snapshot, uids: Iterable[str]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Track a new active snapshot that differs in these ids. Returns the ids in service again that still
        drain until their drain expires, and those that recover with slow start. A drain that began before
        keeps its start time."""
        still_draining, slow_starting = set(), set()
        for uid in uids:
            old, new = before.get(("endpoint", uid)), after.get(("endpoint", uid))
            if new is None:
                if old is not None:
                    self.removed.pop(uid, None)
                    self.removed[uid] = None
                if not self.is_draining(uid, now_us):
                    self.began_at_us.pop(uid, None)
                continue
            if new.state == DRAINING:
                self.began_at_us.setdefault(uid, now_us)
            elif self.is_draining(uid, now_us):
                still_draining.add(uid)
            elif (
                uid in self.began_at_us or uid in self.removed or (old is not None and old.state == DRAINING)
            ):
                slow_starting.add(uid)
                self.forget(uid)
        while len(self.removed) > MAX_REMOVED_IDS:
            del self.removed[next(iter(self.removed))]
        return frozenset(still_draining), frozenset(slow_starting)

    def is_draining(self, uid: str, now_us: int) -> bool:
        """Whether an endpoint still drains, which it does also if the snapshot has it in service."""
        return uid in self.began_at_us and now_us < self.began_at_us[uid] + self.hold_us

    def expired(self, now_us: int, snapshot: Snapshot) -> tuple[list[str], list[str]]:
        """Forget expired drains. Returns the ids in service, which now recover, and the removed ids."""
        returned, removed = [], []
        for expired_uid in [
            uid for uid, began_at_us in self.began_at_us.items() if now_us >= began_at_us + self.hold_us
        ]:
            row = snapshot.get(("endpoint", expired_uid))
            if row is None:
                del self.began_at_us[expired_uid]
                removed.append(expired_uid)
            elif row.state == READY:
                self.forget(expired_uid)
                returned.append(expired_uid)
        return returned, removed

    def forget(self, uid: str) -> None:
        """Forget the drain and the removal of an endpoint."""
        self.began_at_us.pop(uid, None)
        self.removed.pop(uid, None)

    def next_expiry_us(self, now_us: int) -> int | None:
        """Return when the next drain expires, None if none runs."""
        return min(
            (
                began_at_us + self.hold_us
                for began_at_us in self.began_at_us.values()
                if began_at_us + self.hold_us > now_us
            ),
            default=None,
        )
