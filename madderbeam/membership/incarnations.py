"""The highest life of each member that was ever seen, kept on disk: so an older folder is found out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import Incarnation, MemberId, Persist

KIND = "life"
OWN = "own"  # the own start count; other keys are "site/name"


def next_life(records: Mapping[tuple[str, str], Any], nonce: int) -> Incarnation:
    """The life that a process begins which found these records; `nonce`: 64 random bits."""
    start = records.get((KIND, OWN))
    return Incarnation(start + 1 if isinstance(start, int) else 1, nonce)


class Incarnations:
    """Bounded: the one that has been longest unchanged goes first, and its record with it."""

    def __init__(self, most: int, records: Mapping[tuple[str, str], Any]) -> None:
        self.most = most
        self.highest: dict[MemberId, Incarnation] = {}
        self.due: dict[MemberId, None] = {}  # to be written
        self.late: dict[MemberId, None] = {}  # that the disk did not take: not at once again
        for (kind, key), value in records.items():
            site, slash, name = key.partition("/")
            if kind == KIND and slash and isinstance(value, (list, tuple)) and len(value) == 2:
                self.highest[MemberId(site, name)] = Incarnation(*value)

    def see(self, member: MemberId, life: Incarnation) -> bool:
        """False if a higher life of this member is known."""
        known = self.highest.get(member)
        if known is not None and life <= known:
            return life == known
        self.highest.pop(member, None)
        self.highest[member] = life
        self.due[member] = None
        if len(self.highest) > self.most:
            oldest = next(iter(self.highest))
            del self.highest[oldest]
            self.due[oldest] = None
        return True

    def unwritten(self, key: str) -> None:
        site, _, name = key.partition("/")
        self.late[MemberId(site, name)] = None

    def again(self) -> None:
        """The time has come to write what the disk did not take."""
        self.due.update(self.late)
        self.late.clear()

    def records(self) -> list[Persist]:
        """What is to be written now; nothing waits for it."""
        due, self.due = self.due, {}
        rows = {member: self.highest.get(member) for member in due}
        return [Persist(KIND, str(m), [life.start, life.nonce] if life else None) for m, life in rows.items()]
