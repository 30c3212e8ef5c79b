"""A queue of operations that wait for the standby's acknowledgement."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from madderbeam.replication.values import AwaitAck, WaitKind


@dataclass(frozen=True, slots=True)
class PendingWait:
    """`position`: what the standby must acknowledge; `due_us`: when the decision is made without it."""

    token: int
    kind: WaitKind
    position: int
    due_us: int


class WaitQueue:
    """Waiting operations in the order of their positions.

    Bounded by the primary's pending messages: each waits at most once per accept, attempt and outcome.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[int, PendingWait] = OrderedDict()

    def add(self, wait: AwaitAck, position: int, due_us: int) -> None:
        """Append an operation; `position` must not be less than that of its predecessor."""
        self.entries[wait.token] = PendingWait(wait.token, wait.kind, position, due_us)

    def pop_acknowledged(self, position: int) -> list[PendingWait]:
        """Remove and return the operations whose records the standby has acknowledged, up to `position`."""
        removed = []
        while self.entries:
            oldest = next(iter(self.entries.values()))
            if oldest.position > position:
                break
            removed.append(oldest)
            del self.entries[oldest.token]
        return removed

    def pop_due(self, now_us: int) -> list[PendingWait]:
        """Remove and return the operations that are due."""
        removed = [entry for entry in self.entries.values() if entry.due_us <= now_us]
        for entry in removed:
            del self.entries[entry.token]
        return removed

    def next_due_us(self) -> int | None:
        """When the next operation is due, None if none waits."""
        return min((entry.due_us for entry in self.entries.values()), default=None)

    def pop_all(self) -> list[PendingWait]:
        """Remove and return all operations."""
        removed = list(self.entries.values())
        self.entries.clear()
        return removed
