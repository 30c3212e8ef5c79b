"""Reports delivery outcomes to the origins.

Outcomes are written to disk in batches, then reported as the whole state of each publication, and sent again
until they are acknowledged.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.membership.values import Incarnation, MemberId, SendMessage
from madderbeam.relay.kept import Kept
from madderbeam.relay.messages import ROWS_MOST, TOLD_MOST, EndRow, Ends
from madderbeam.relay.outlet import Outlet
from madderbeam.relay.records import Record
from madderbeam.relay.values import Settled


@dataclass(frozen=True)
class CustodySettings:
    """Limits and times of the relay's end; times are in microseconds."""

    batch_us: int = 20_000  # an outcome waits for others up to this time
    batch_most_us: int = (
        250_000  # upper bound of that wait, which grows with the number of subscribers as the record does
    )
    interim_us: int = 500_000  # interval of reports on a publication that is not completed
    resend_us: int = 1_000_000  # a batch that is not acknowledged is sent again after this time
    retry_us: int = 500_000  # entries are rejected for this time after a failed write
    again_us: int = 200_000  # Retry-After of a rejected entry
    grace_us: int = 5_000_000  # a record is kept for this time after the publication's deadline
    records_most: int = 20_000  # in custody, or completed and kept to recognise repeated entries


class Telling:
    """Writes and reports changed records. A batch that is lost is replaced by one with the state known by
    then."""

    def __init__(self, settings: CustodySettings, life: Incarnation, out: Outlet, kept: Kept) -> None:
        self.settings, self.out, self.kept = settings, out, kept
        self.links: set[MemberId] = set()
        self.changed: dict[str, None] = {}  # names of records to write or report, in order
        self.batches: dict[int, tuple[MemberId, int, tuple[tuple[str, int], ...]]] = {}  # not acknowledged
        self.number = life.start << 32
        self.from_us = 0  # nothing is written until then, after a failed write

    def up(self, member: MemberId) -> None:
        """The link to an origin is up: reports to it all that it has not acknowledged."""
        self.down(member)
        self.links.add(member)
        self.again([r.name for r in self.kept.all.values() if r.origin == member and r.taken])

    def down(self, member: MemberId) -> None:
        """The link to an origin is lost, and the batches sent on it are too."""
        self.links.discard(member)
        for number in [n for n, batch in self.batches.items() if batch[0] == member]:
            del self.batches[number]

    def change(self, record: Record) -> None:
        """Schedules a record to be written and reported, together with others."""
        self.changed[record.name] = None
        wait_us = self.settings.batch_us
        if not record.over:
            wait_us = min(wait_us * (1 + record.total // 100), self.settings.batch_most_us)
        self.out.alarms.sooner("ends", max(self.from_us, self.out.now + wait_us))

    def flush(self) -> None:
        """Writes the changed records, then reports them."""
        due_by_origin: dict[MemberId, list[Record]] = {}
        for name in list(self.changed)[:ROWS_MOST]:
            del self.changed[name]
            record = self.kept.get(name)
            if record is None:
                continue
            if not record.kept:
                self.kept.write(record)
            if record.unsettled:
                self.out.bound.append(Settled(name, tuple(record.unsettled)))
                record.settled, record.unsettled = record.unsettled, []
            if (record.heard >= record.ended and not record.over) or record.finished:
                continue
            if record.over or self.out.now >= record.told_us + self.settings.interim_us:
                due_by_origin.setdefault(record.origin, []).append(record)
            else:
                self.out.alarms.sooner(f"tell:{name}", record.told_us + self.settings.interim_us)
        for origin, records in due_by_origin.items():
            self._tell(origin, records)
        if self.changed:
            self.out.alarms.sooner("ends", self.out.now)

    def _tell(self, origin: MemberId, records: list[Record]) -> None:
        if origin not in self.links:
            return  # `up` reports all that it has not acknowledged
        batch: list[EndRow] = []
        for record in records:
            report = record.row()
            if sum(len(earlier.ends) for earlier in batch) + len(report.ends) > TOLD_MOST:
                self._send(origin, batch)
                batch = []
            batch.append(report)
            record.told_us = self.out.now
        self._send(origin, batch)

    def _send(self, origin: MemberId, batch: list[EndRow]) -> None:
        self.number += 1
        completed_counts = tuple((row.name, row.total - row.left) for row in batch)
        self.batches[self.number] = (origin, self.out.now, completed_counts)
        self.out.bound.append(SendMessage(origin, Ends(self.number, tuple(batch))))
        self.out.alarms.sooner("resend", self.out.now + self.settings.resend_us)

    def heard(self, member: MemberId, number: int) -> None:
        """The origin has acknowledged this batch."""
        if number not in self.batches or self.batches[number][0] != member:
            return
        for name, completed in self.batches.pop(number)[2]:
            record = self.kept.get(name)
            if record is not None:
                self.kept.heard(record, completed)

    def resend(self) -> None:
        """Replaces batches that were not acknowledged in time by reports of the present state."""
        for number, (_, sent_us, completed_counts) in list(self.batches.items()):
            if self.out.now < sent_us + self.settings.resend_us:
                self.out.alarms.sooner("resend", sent_us + self.settings.resend_us)
                return
            del self.batches[number]
            self.again(name for name, _ in completed_counts)

    def again(self, names: Iterable[str]) -> None:
        """Schedules these to be reported again."""
        for name in names:
            record = self.kept.get(name)
            if record is not None and not record.finished:
                self.changed[name] = None
                self.out.alarms.sooner("ends", max(self.out.now, self.from_us))
