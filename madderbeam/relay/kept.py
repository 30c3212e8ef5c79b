"""The custody records of a relay: written, removed when they expire, and rewritten after a failed write."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.membership.values import Persist
from madderbeam.relay.outlet import Outlet
from madderbeam.relay.records import CUSTODY, Record, read
from madderbeam.relay.values import Effect, Settled

RECENT = 512  # records that are written again when a write fails


class Kept:
    """Records by publication. Each is kept for `grace_us` after its publication's deadline, so that a
    repeated entry is recognised."""

    def __init__(
        self,
        out: Outlet,
        wall_ms: Callable[[int], int],
        grace_us: int,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.out, self.wall_ms, self.grace_us = out, wall_ms, grace_us
        self.all = {key: read(key, value) for (kind, key), value in records.items() if kind == CUSTODY}
        self.finished: dict[str, None] = {}  # those that may be removed when the store is full
        self.recent: deque[str] = deque(maxlen=RECENT)
        self.forgotten: deque[str] = deque(maxlen=RECENT)

    def get(self, name: str) -> Record | None:
        """The record of a publication, or None."""
        return self.all.get(name)

    def until(self, record: Record) -> None:
        """Schedules the expiry of a record."""
        remaining_ms = record.until_ms - self.wall_ms(self.out.now)
        self.out.alarms.set(f"end:{record.name}", self.out.now + remaining_ms * 1000 + self.grace_us)

    def add(self, record: Record) -> None:
        """Adds a record in memory; `write` persists it."""
        self.all[record.name] = record
        self.until(record)

    def write(self, record: Record) -> None:
        """Persists the present state of a record."""
        record.kept = True
        self.recent.append(record.name)
        self.out.bound.append(Persist(CUSTODY, record.name, record.value()))

    def forget(self, name: str, written: bool = True) -> None:
        """Removes a record, on disk too if it may have been written."""
        record = self.all.pop(name, None)
        if record is not None and record.unsettled:  # no report needs these deliveries any more
            self.out.free.append(Settled(name, tuple(record.unsettled)))
        self.finished.pop(name, None)
        self.out.alarms.drop(f"end:{name}")
        self.out.alarms.drop(f"tell:{name}")
        if written:
            self.forgotten.append(name)
            self.out.bound.append(Persist(CUSTODY, name, None))

    def room(self, max_records: int) -> bool:
        """Whether another record fits. At the limit, removes the oldest one that is fully acknowledged and
        whose publication may safely be delivered twice."""
        name = next(iter(self.finished), None)
        if len(self.all) >= max_records and name is not None:
            self.forget(name)
        return len(self.all) < max_records

    def heard(self, record: Record, completed: int) -> None:
        """The origin has acknowledged this many outcomes."""
        record.heard = max(record.heard, completed)
        if record.finished and record.effect is not Effect.UNSAFE:
            self.finished[record.name] = None

    def unheard(self, record: Record) -> None:
        """Everything is to be reported again, as the origin sent the entry again."""
        record.heard = -1
        self.finished.pop(record.name, None)

    def unwritten(self, retry_at_us: int) -> list[Record]:
        """Marks the records whose last write may be lost as not written, and returns them; retries removals
        at `retry_at_us`."""
        affected = []
        for name in dict.fromkeys(self.recent):
            record = self.all.get(name)
            if record is not None and record.taken:
                record.kept = False
                self.unheard(record)
                record.unsettled = record.settled + record.unsettled
                record.settled = []
                affected.append(record)
        for name in self.forgotten:
            if name not in self.all:
                self.out.alarms.set(f"end:{name}", retry_at_us)
        return affected
