"""Reports delivery outcomes to the origins.

Outcomes are written to disk in batches, then reported as the whole state of each publication, and sent again
until they are acknowledged.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.membership.values import Incarnation, MemberId, SendMessage
from madderbeam.relay.action_queue import ActionQueue
from madderbeam.relay.custody_record import CustodyRecord
from madderbeam.relay.custody_store import CustodyStore
from madderbeam.relay.messages import (
    MAX_FAILURES_PER_BATCH,
    MAX_REPORTS_PER_BATCH,
    DeliveryReport,
    ReportBatch,
)
from madderbeam.relay.values import OutcomesPersisted


@dataclass(frozen=True)
class CustodySettings:
    """Limits and times of the relay's end; times are in microseconds."""

    batch_us: int = 20_000  # an outcome waits for others up to this time
    max_batch_us: int = (
        250_000  # upper bound of that wait, which grows with the number of subscribers as the record does
    )
    interim_us: int = 500_000  # interval of reports on a publication that is not completed
    resend_us: int = 1_000_000  # a batch that is not acknowledged is sent again after this time
    retry_us: int = 500_000  # entries are rejected for this time after a failed write
    retry_after_us: int = 200_000  # Retry-After of a rejected entry
    grace_us: int = 5_000_000  # a record is kept for this time after the publication's deadline
    max_records: int = 20_000  # in custody, or completed and kept to recognise repeated entries


class DeliveryReporter:
    """Writes and reports changed records. A batch that is lost is replaced by one with the state known by
    then."""

    def __init__(
        self, settings: CustodySettings, life: Incarnation, out: ActionQueue, kept: CustodyStore
    ) -> None:
        self.settings, self.actions, self.store = settings, out, kept
        self.links: set[MemberId] = set()
        self.changed: dict[str, None] = {}  # names of records to write or report, in order
        self.batches: dict[int, tuple[MemberId, int, tuple[tuple[str, int], ...]]] = {}  # not acknowledged
        self.number = life.start << 32
        self.retry_at_us = 0  # nothing is written until then, after a failed write

    def link_up(self, member: MemberId) -> None:
        """The link to an origin is up: reports to it all that it has not acknowledged."""
        self.link_down(member)
        self.links.add(member)
        self.report_again(
            [r.name for r in self.store.records.values() if r.origin == member and r.is_accepted]
        )

    def link_down(self, member: MemberId) -> None:
        """The link to an origin is lost, and the batches sent on it are too."""
        self.links.discard(member)
        for number in [n for n, batch in self.batches.items() if batch[0] == member]:
            del self.batches[number]

    def schedule(self, record: CustodyRecord) -> None:
        """Schedules a record to be written and reported, together with others."""
        self.changed[record.name] = None
        wait_us = self.settings.batch_us
        if not record.is_completed:
            wait_us = min(wait_us * (1 + record.total // 100), self.settings.max_batch_us)
        self.actions.timers.set_earlier("ends", max(self.retry_at_us, self.actions.now + wait_us))

    def flush(self) -> None:
        """Writes the changed records, then reports them."""
        due_by_origin: dict[MemberId, list[CustodyRecord]] = {}
        for name in list(self.changed)[:MAX_REPORTS_PER_BATCH]:
            del self.changed[name]
            record = self.store.get(name)
            if record is None:
                continue
            if not record.is_written:
                self.store.write(record)
            if record.unpersisted:
                self.actions.ordered.append(OutcomesPersisted(name, tuple(record.unpersisted)))
                record.persisted, record.unpersisted = record.unpersisted, []
            if (
                record.acknowledged_count >= record.completed_count and not record.is_completed
            ) or record.is_acknowledged:
                continue
            if record.is_completed or self.actions.now >= record.reported_at_us + self.settings.interim_us:
                due_by_origin.setdefault(record.origin, []).append(record)
            else:
                self.actions.timers.set_earlier(
                    f"tell:{name}", record.reported_at_us + self.settings.interim_us
                )
        for origin, records in due_by_origin.items():
            self._report(origin, records)
        if self.changed:
            self.actions.timers.set_earlier("ends", self.actions.now)

    def _report(self, origin: MemberId, records: list[CustodyRecord]) -> None:
        if origin not in self.links:
            return  # `link_up` reports all that it has not acknowledged
        batch: list[DeliveryReport] = []
        for record in records:
            report = record.report()
            if (
                sum(len(earlier.failures) for earlier in batch) + len(report.failures)
                > MAX_FAILURES_PER_BATCH
            ):
                self._send(origin, batch)
                batch = []
            batch.append(report)
            record.reported_at_us = self.actions.now
        self._send(origin, batch)

    def _send(self, origin: MemberId, batch: list[DeliveryReport]) -> None:
        self.number += 1
        completed_counts = tuple((row.name, row.total - row.pending) for row in batch)
        self.batches[self.number] = (origin, self.actions.now, completed_counts)
        self.actions.ordered.append(SendMessage(origin, ReportBatch(self.number, tuple(batch))))
        self.actions.timers.set_earlier("resend", self.actions.now + self.settings.resend_us)

    def acknowledged(self, member: MemberId, number: int) -> None:
        """The origin has acknowledged this batch."""
        if number not in self.batches or self.batches[number][0] != member:
            return
        for name, completed in self.batches.pop(number)[2]:
            record = self.store.get(name)
            if record is not None:
                self.store.acknowledged(record, completed)

    def resend(self) -> None:
        """Replaces batches that were not acknowledged in time by reports of the present state."""
        for number, (_, sent_us, completed_counts) in list(self.batches.items()):
            if self.actions.now < sent_us + self.settings.resend_us:
                self.actions.timers.set_earlier("resend", sent_us + self.settings.resend_us)
                return
            del self.batches[number]
            self.report_again(name for name, _ in completed_counts)

    def report_again(self, names: Iterable[str]) -> None:
        """Schedules these to be reported again."""
        for name in names:
            record = self.store.get(name)
            if record is not None and not record.is_acknowledged:
                self.changed[name] = None
                self.actions.timers.set_earlier("ends", max(self.actions.now, self.retry_at_us))
