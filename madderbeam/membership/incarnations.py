"""Durable record of the highest incarnation seen of each member, to detect restored older state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import Incarnation, MemberId, Persist

KIND = "life"
OWN = "own"  # key of the local start count; other keys are "site/name"


def next_life(records: Mapping[tuple[str, str], Any], nonce: int) -> Incarnation:
    """The incarnation of a process that starts from these records; `nonce`: 64 random bits."""
    start = records.get((KIND, OWN))
    return Incarnation(start + 1 if isinstance(start, int) else 1, nonce)


class Incarnations:
    """Bounded: the member whose incarnation changed longest ago is removed first, with its record."""

    def __init__(self, max_members: int, records: Mapping[tuple[str, str], Any]) -> None:
        self.most = max_members
        self.highest: dict[MemberId, Incarnation] = {}
        self.due: dict[MemberId, None] = {}  # members whose record must be written
        self.late: dict[MemberId, None] = {}  # members whose write failed: retried later, not at once
        for (kind, key), value in records.items():
            site, slash, name = key.partition("/")
            if kind == KIND and slash and isinstance(value, (list, tuple)) and len(value) == 2:
                self.highest[MemberId(site, name)] = Incarnation(*value)

    def see(self, member: MemberId, incarnation: Incarnation) -> bool:
        """Record an incarnation; False if a higher one of this member is known."""
        known = self.highest.get(member)
        if known is not None and incarnation <= known:
            return incarnation == known
        self.highest.pop(member, None)
        self.highest[member] = incarnation
        self.due[member] = None
        if len(self.highest) > self.most:
            oldest = next(iter(self.highest))
            del self.highest[oldest]
            self.due[oldest] = None
        return True

    def unwritten(self, key: str) -> None:
        """Note that this record could not be written; it is retried at the next `again`."""
        site, _, name = key.partition("/")
        self.late[MemberId(site, name)] = None

    def again(self) -> None:
        """Queue the records whose write failed for another attempt."""
        self.due.update(self.late)
        self.late.clear()

    def records(self) -> list[Persist]:
        """The records to write now; no other action waits for them."""
        members, self.due = self.due, {}
        rows = {member: self.highest.get(member) for member in members}
        return [Persist(KIND, str(m), [life.start, life.nonce] if life else None) for m, life in rows.items()]
