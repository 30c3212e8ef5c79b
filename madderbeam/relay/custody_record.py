"""The state of one publication in a relay's custody, in memory and as a durable record."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.membership.values import MemberId
from madderbeam.relay.messages import MAX_FAILURES_PER_REPORT, DeliveryReport
from madderbeam.relay.values import DeliveryIdempotency, DeliveryOutcome, Result

CUSTODY = "custody"  # the records' kind


@dataclass
class CustodyRecord:
    """State of a publication in custody. `deadline_ms` is wall clock time. Only the first
    MAX_FAILURES_PER_REPORT failures are stored, the others are only counted."""

    name: str
    origin: MemberId
    single: bool  # the entry had one destination
    effect: DeliveryIdempotency
    deadline_ms: int
    total: int
    pending: set[int]
    delivered: int = 0
    failures: dict[int, Result] = field(default_factory=dict)
    why: str = ""
    is_accepted: bool = False  # the journal has its deliveries
    is_written: bool = False  # the present state was written, and no failure was reported
    unacknowledged_entry: tuple[MemberId, int, int] | None = (
        None  # the entry to acknowledge: member, stream, seq
    )
    acknowledged_count: int = -1  # how many outcomes the origin has acknowledged
    reported_at_us: int = 0  # time of the last report
    persisted: list[int] = field(default_factory=list)  # completed destinations in the last write
    unpersisted: list[int] = field(default_factory=list)  # completed destinations since

    @property
    def completed_count(self) -> int:
        """How many deliveries are completed."""
        return self.total - len(self.pending)

    @property
    def is_completed(self) -> bool:
        """Whether all deliveries are completed."""
        return self.is_accepted and not self.pending

    @property
    def is_acknowledged(self) -> bool:
        """Whether the origin has acknowledged everything; it is kept to recognise a repeated entry."""
        return self.is_completed and self.acknowledged_count >= self.total

    def complete(self, dest: int, result: Result) -> bool:
        """Records the outcome of one delivery. False if it was completed before or is not of this
        publication."""
        if dest not in self.pending:
            return False
        self.pending.discard(dest)
        if result is Result.DELIVERED:
            self.delivered += 1
        elif len(self.failures) < MAX_FAILURES_PER_REPORT:
            self.failures[dest] = result
        self.unpersisted.append(dest)
        self.is_written = False
        return True

    def complete_unknown(self, dests: Iterable[int], reason: str) -> None:
        """Completes these deliveries as UNKNOWN."""
        for dest in sorted(dests):
            self.complete(dest, Result.UNKNOWN)
            self.why = reason

    def report(self) -> DeliveryReport:
        """The report to the origin."""
        failures = tuple(DeliveryOutcome(dest, result) for dest, result in self.failures.items())
        return DeliveryReport(self.name, self.total, self.delivered, len(self.pending), failures, self.why)

    def value(self) -> dict[str, Any]:
        """The whole state, as it is stored."""
        return {
            "origin": [self.origin.site, self.origin.name],
            "single": int(self.single),
            "effect": self.effect.value,
            "until": self.deadline_ms,
            "total": self.total,
            "pending": sorted(self.pending),
            "delivered": self.delivered,
            "ends": [[dest, int(result)] for dest, result in self.failures.items()],
            "why": self.why,
        }


def parse_record(name: str, value: Any) -> CustodyRecord:
    """The record with this stored value; it counts as in custody, whether or not its entry was expanded."""
    return CustodyRecord(
        name,
        MemberId(*value["origin"]),
        bool(value["single"]),
        DeliveryIdempotency(value["effect"]),
        value["until"],
        value["total"],
        set(value["pending"]),
        value["delivered"],
        {dest: Result(result) for dest, result in value["ends"]},
        value["why"],
        is_accepted=True,
        is_written=True,
    )
