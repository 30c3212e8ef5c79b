"""The state of one publication in a relay's custody, in memory and as a durable record."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.membership.values import MemberId
from madderbeam.relay.messages import ENDS_MOST, EndRow
from madderbeam.relay.values import DeliveryEnd, Effect, Result

CUSTODY = "custody"  # the records' kind


@dataclass
class Record:
    """State of a publication in custody. `deadline_ms` is wall clock time. Only the first
    MAX_FAILURES_PER_REPORT failures are stored, the others are only counted."""

    name: str
    origin: MemberId
    single: bool  # the entry had one destination
    effect: Effect
    until_ms: int
    total: int
    pending: set[int]
    delivered: int = 0
    fails: dict[int, Result] = field(default_factory=dict)
    why: str = ""
    taken: bool = False  # the journal has its deliveries
    kept: bool = False  # the present state was written, and no failure was reported
    copy: tuple[MemberId, int, int] | None = None  # the entry to acknowledge: member, stream, seq
    heard: int = -1  # how many outcomes the origin has acknowledged
    told_us: int = 0  # time of the last report
    settled: list[int] = field(default_factory=list)  # completed destinations in the last write
    unsettled: list[int] = field(default_factory=list)  # completed destinations since

    @property
    def ended(self) -> int:
        """How many deliveries are completed."""
        return self.total - len(self.pending)

    @property
    def over(self) -> bool:
        """Whether all deliveries are completed."""
        return self.taken and not self.pending

    @property
    def finished(self) -> bool:
        """Whether the origin has acknowledged everything; it is kept to recognise a repeated entry."""
        return self.over and self.heard >= self.total

    def end(self, dest: int, result: Result) -> bool:
        """Records the outcome of one delivery. False if it was completed before or is not of this
        publication."""
        if dest not in self.pending:
            return False
        self.pending.discard(dest)
        if result is Result.DELIVERED:
            self.delivered += 1
        elif len(self.fails) < ENDS_MOST:
            self.fails[dest] = result
        self.unsettled.append(dest)
        self.kept = False
        return True

    def lose(self, dests: Iterable[int], why: str) -> None:
        """Completes these deliveries as UNKNOWN."""
        for dest in sorted(dests):
            self.end(dest, Result.UNKNOWN)
            self.why = why

    def row(self) -> EndRow:
        """The report to the origin."""
        ends = tuple(DeliveryEnd(dest, result) for dest, result in self.fails.items())
        return EndRow(self.name, self.total, self.delivered, len(self.pending), ends, self.why)

    def value(self) -> dict[str, Any]:
        """The whole state, as it is stored."""
        return {
            "origin": [self.origin.site, self.origin.name],
            "single": int(self.single),
            "effect": self.effect.value,
            "until": self.until_ms,
            "total": self.total,
            "pending": sorted(self.pending),
            "delivered": self.delivered,
            "ends": [[dest, int(result)] for dest, result in self.fails.items()],
            "why": self.why,
        }


def read(name: str, value: Any) -> Record:
    """The record with this stored value; it counts as in custody, whether or not its entry was expanded."""
    return Record(
        name,
        MemberId(*value["origin"]),
        bool(value["single"]),
        Effect(value["effect"]),
        value["until"],
        value["total"],
        set(value["pending"]),
        value["delivered"],
        {dest: Result(result) for dest, result in value["ends"]},
        value["why"],
        taken=True,
        kept=True,
    )
