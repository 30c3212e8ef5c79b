"""When each drain was heard, and until when it holds: for its time, whatever becomes of the change that
brought it."""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.changes.values import DRAINING, READY, Snapshot

LEFT_MOST = 4096  # ids that have left, the newest


class Drains:
    """Ids that drain, by when that was heard first (the machine's microseconds)."""

    def __init__(self, hold_us: int) -> None:
        self.hold_us = hold_us
        self.heard: dict[str, int] = {}
        self.left: dict[str, None] = {}  # ids that were taken away: they come back as returning ones

    def changed(
        self, now_us: int, before: Snapshot, after: Snapshot, uids: Iterable[str]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """A snapshot comes into force that differs in these: which are back and held back until their drain
        is over, and which come in cold. The clock of a drain that was heard before goes on."""
        held, cold = set(), set()
        for uid in uids:
            old, new = before.get(("endpoint", uid)), after.get(("endpoint", uid))
            if new is None:
                if old is not None:
                    self.left.pop(uid, None)
                    self.left[uid] = None
                if not self.holds(uid, now_us):
                    self.heard.pop(uid, None)
                continue
            if new.state == DRAINING:
                self.heard.setdefault(uid, now_us)
            elif self.holds(uid, now_us):
                held.add(uid)
            elif uid in self.heard or uid in self.left or (old is not None and old.state == DRAINING):
                cold.add(uid)
                self.over(uid)
        while len(self.left) > LEFT_MOST:
            del self.left[next(iter(self.left))]
        return frozenset(held), frozenset(cold)

    def holds(self, uid: str, now_us: int) -> bool:
        """Nothing new goes there, also if the list has it in service."""
        return uid in self.heard and now_us < self.heard[uid] + self.hold_us

    def due(self, now_us: int, snapshot: Snapshot) -> tuple[list[str], list[str]]:
        """Those whose time is over: ids in service, which come in cold now, and ids that have gone."""
        back, gone = [], []
        for uid in [u for u, at in self.heard.items() if now_us >= at + self.hold_us]:
            row = snapshot.get(("endpoint", uid))
            if row is None:
                del self.heard[uid]
                gone.append(uid)
            elif row.state == READY:
                self.over(uid)
                back.append(uid)
        return back, gone

    def over(self, uid: str) -> None:
        self.heard.pop(uid, None)
        self.left.pop(uid, None)

    def next_us(self, now_us: int) -> int | None:
        """When the next drain's time is over."""
        return min(
            (at + self.hold_us for at in self.heard.values() if at + self.hold_us > now_us), default=None
        )
