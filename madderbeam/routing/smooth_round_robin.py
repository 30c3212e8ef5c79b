"""Smooth weighted round robin over a changing set of servers, at a cost independent of their number.

The algorithm is the one that nginx announced with version 1.3.1 ("smooth weighted round-robin balancing"): at
each choice the current weight ("level") of every server rises by its weight; the server with the highest
level is chosen, the first in the configuration among equals, and its level falls by the sum of all weights.
The levels of servers of equal weight rise alike, so these share an offset and a sorted list: a choice touches
as many lists as there are distinct weights.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from sortedcontainers import SortedList


class SmoothRoundRobin:
    """A rotation of integer members, the lowest first among equals. Levels are integers."""

    def __init__(self) -> None:
        self.weights: dict[int, int] = {}
        self.levels: dict[int, int] = {}  # less the offset of the weight
        self.offsets: dict[int, int] = {}  # by weight
        self.members_by_weight: dict[int, SortedList] = {}  # by weight: (-level, member)
        self.total = 0

    def __len__(self) -> int:
        return len(self.weights)

    def __contains__(self, member: int) -> bool:
        return member in self.weights

    def add(self, member: int, weight: int, level: int = 0) -> None:
        """Add a member at this level; its weight must be 1 or more."""
        self.weights[member] = weight
        self.levels[member] = level - self.offsets.setdefault(weight, 0)
        self.members_by_weight.setdefault(weight, SortedList()).add((-self.levels[member], member))
        self.total += weight

    def remove(self, member: int) -> int:
        """Remove a member; return the level that it had."""
        weight, level = self.weights.pop(member), self.levels.pop(member)
        members = self.members_by_weight[weight]
        members.remove((-level, member))
        level += self.offsets[weight]
        if not members:  # offsets of unused weights would grow without bound
            del self.members_by_weight[weight], self.offsets[weight]
        self.total -= weight
        return level

    def level(self, member: int) -> int:
        """Return the current level of a member."""
        return self.levels[member] + self.offsets[self.weights[member]]

    def order(self) -> Iterator[int]:
        """Return the members, highest level first, computed lazily."""
        entries = [self._entries(weight) for weight in self.members_by_weight]
        return (member for _, member in heapq.merge(*entries))

    def _entries(self, weight: int) -> Iterator[tuple[int, int]]:
        offset = self.offsets[weight] + weight
        return (
            (negative_level - offset, member) for negative_level, member in self.members_by_weight[weight]
        )

    def choose(self, member: int, passed_over: Iterable[int] = ()) -> None:
        """Choose a member.

        Those passed over were unusable: their levels don't rise and their weights don't count.
        """
        total = self.total
        for weight in self.members_by_weight:
            self.offsets[weight] += weight
        for other in passed_over:
            if other in self.weights and other != member:
                total -= self.weights[other]
                self._shift(other, -self.weights[other])
        self._shift(member, -total)

    def _shift(self, member: int, by: int) -> None:
        members, level = self.members_by_weight[self.weights[member]], self.levels[member]
        members.remove((-level, member))
        self.levels[member] = level + by
        members.add((-level - by, member))
