"""The custody records of a relay: written, removed when they expire, and rewritten after a failed write."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.membership.values import Persist
from madderbeam.relay.action_queue import ActionQueue
from madderbeam.relay.custody_record import CUSTODY, CustodyRecord, parse_record
from madderbeam.relay.values import DeliveryIdempotency, OutcomesPersisted

RECENT = 512  # records that are written again when a write fails


class CustodyStore:
    """Records by publication. Each is kept for `grace_us` after its publication's deadline, so that a
    repeated entry is recognised."""

    def __init__(
        self,
        out: ActionQueue,
        wall_ms: Callable[[int], int],
        grace_us: int,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.actions, self.wall_ms, self.grace_us = out, wall_ms, grace_us
        self.records = {
            key: parse_record(key, value) for (kind, key), value in records.items() if kind == CUSTODY
        }
        self.finished: dict[str, None] = {}  # those that may be removed when the store is full
        self.recent: deque[str] = deque(maxlen=RECENT)
        self.forgotten: deque[str] = deque(maxlen=RECENT)

    def get(self, name: str) -> CustodyRecord | None:
        """The record of a publication, or None."""
        return self.records.get(name)

    def schedule_expiry(self, record: CustodyRecord) -> None:
        """Schedules the expiry of a record."""
        remaining_ms = record.deadline_ms - self.wall_ms(self.actions.now)
        self.actions.timers.set(f"end:{record.name}", self.actions.now + remaining_ms * 1000 + self.grace_us)

    def add(self, record: CustodyRecord) -> None:
        """Adds a record in memory; `write` persists it."""
        self.records[record.name] = record
        self.schedule_expiry(record)

    def write(self, record: CustodyRecord) -> None:
        """Persists the present state of a record."""
        record.is_written = True
        self.recent.append(record.name)
        self.actions.ordered.append(Persist(CUSTODY, record.name, record.value()))

    def remove(self, name: str, written: bool = True) -> None:
        """Removes a record, on disk too if it may have been written."""
        record = self.records.pop(name, None)
        if record is not None and record.unpersisted:  # no report needs these deliveries any more
            self.actions.independent.append(OutcomesPersisted(name, tuple(record.unpersisted)))
        self.finished.pop(name, None)
        self.actions.timers.cancel(f"end:{name}")
        self.actions.timers.cancel(f"tell:{name}")
        if written:
            self.forgotten.append(name)
            self.actions.ordered.append(Persist(CUSTODY, name, None))

    def make_room(self, max_records: int) -> bool:
        """Whether another record fits. At the limit, removes the oldest one that is fully acknowledged and
        whose publication may safely be delivered twice."""
        name = next(iter(self.finished), None)
        if len(self.records) >= max_records and name is not None:
            self.remove(name)
        return len(self.records) < max_records

    def acknowledged(self, record: CustodyRecord, completed: int) -> None:
        """The origin has acknowledged this many outcomes."""
        record.acknowledged_count = max(record.acknowledged_count, completed)
        if record.is_acknowledged and record.effect is not DeliveryIdempotency.NON_IDEMPOTENT:
            self.finished[record.name] = None

    def unacknowledge(self, record: CustodyRecord) -> None:
        """Everything is to be reported again, as the origin sent the entry again."""
        record.acknowledged_count = -1
        self.finished.pop(record.name, None)

    def unwritten(self, retry_at_us: int) -> list[CustodyRecord]:
        """Marks the records whose last write may be lost as not written, and returns them; retries removals
        at `retry_at_us`."""
        affected = []
        for name in dict.fromkeys(self.recent):
            record = self.records.get(name)
            if record is not None and record.is_accepted:
                record.is_written = False
                self.unacknowledge(record)
                record.unpersisted = record.persisted + record.unpersisted
                record.persisted = []
                affected.append(record)
        for name in self.forgotten:
            if name not in self.records:
                self.actions.timers.set(f"end:{name}", retry_at_us)
        return affected
