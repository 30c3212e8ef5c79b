"""Durable record of the highest incarnation seen of each member, to detect restored older state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import Incarnation, MemberId, Persist

RECORD_KIND = "life"
OWN_KEY = "own"  # key of the local start count; other keys are "site/name"


def next_incarnation(records: Mapping[tuple[str, str], Any], nonce: int) -> Incarnation:
    """The incarnation of a process that starts from these records; `nonce`: 64 random bits."""
    start = records.get((RECORD_KIND, OWN_KEY))
    return Incarnation(start + 1 if isinstance(start, int) else 1, nonce)


class Incarnations:
    """Bounded: the member whose incarnation changed longest ago is removed first, with its record."""

    def __init__(self, max_members: int, records: Mapping[tuple[str, str], Any]) -> None:
        self.max_members = max_members
        self.highest: dict[MemberId, Incarnation] = {}
        self.to_write: dict[MemberId, None] = {}  # members whose record must be written
        self.failed_writes: dict[
            MemberId, None
        ] = {}  # members whose write failed: retried later, not at once
        for (kind, key), value in records.items():
            site, slash, name = key.partition("/")
            if kind == RECORD_KIND and slash and isinstance(value, (list, tuple)) and len(value) == 2:
                self.highest[MemberId(site, name)] = Incarnation(*value)

    def record(self, member: MemberId, incarnation: Incarnation) -> bool:
        """Record an incarnation; False if a higher one of this member is known."""
        known = self.highest.get(member)
        if known is not None and incarnation <= known:
            return incarnation == known
        self.highest.pop(member, None)
        self.highest[member] = incarnation
        self.to_write[member] = None
        if len(self.highest) > self.max_members:
            oldest = next(iter(self.highest))
            del self.highest[oldest]
            self.to_write[oldest] = None
        return True

    def write_failed(self, key: str) -> None:
        """Note that this record could not be written; it is retried at the next `retry_failed_writes`."""
        site, _, name = key.partition("/")
        self.failed_writes[MemberId(site, name)] = None

    def retry_failed_writes(self) -> None:
        """Queue the records whose write failed for another attempt."""
        self.to_write.update(self.failed_writes)
        self.failed_writes.clear()

    def take_records(self) -> list[Persist]:
        """The records to write now; no other action waits for them."""
        members, self.to_write = self.to_write, {}
        rows = {member: self.highest.get(member) for member in members}
        return [
            Persist(
                RECORD_KIND, str(member_id), [incarnation.start, incarnation.nonce] if incarnation else None
            )
            for member_id, incarnation in rows.items()
        ]
