"""The relay's end: accepts custody of entries once, acknowledges them, reports the outcomes to the origin.

An entry is acknowledged once the journal has its deliveries. The custody record of a non-idempotent entry is
written before the entry is expanded, all others before they are acknowledged. So after a restart a record
means "possibly executed": deliveries pending in the journal continue, recorded outcomes stand, all others
are UNKNOWN.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from madderbeam.membership.values import (
    Incarnation,
    LinkDown,
    LinkUp,
    LogLine,
    MemberId,
    MessageReceived,
    SendMessage,
    SetDraining,
    TimerDue,
    WriteFailed,
)
from madderbeam.relay.action_queue import Action, ActionQueue
from madderbeam.relay.custody_record import CUSTODY, CustodyRecord
from madderbeam.relay.custody_store import CustodyStore
from madderbeam.relay.delivery_reporter import CustodySettings, DeliveryReporter
from madderbeam.relay.messages import MAX_DESTINATIONS, Entry, ReportBatchAck
from madderbeam.relay.receive_stream import ReceiveStream, credit_share
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    CustodyRejected,
    DeliveryCompleted,
    DeliveryIdempotency,
    Expand,
    OutcomesPersisted,
    Publication,
    RestoredDeliveries,
    Result,
)

TIMER = "custody"


class Custodian:
    """State machine of the relay's end of all streams.

    `expand` returns an entry's destinations by the table that it names (grouping.Tables.expand), `wall_ms`
    the wall clock time in ms of a monotonic time in us. `records` are the records found on disk at the
    start.
    """

    def __init__(
        self,
        settings: CustodySettings,
        own: MemberId,
        life: Incarnation,
        expand: Callable[[Publication], tuple[int, ...] | None],
        wall_ms: Callable[[int], int],
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings, self.local_member, self.expand, self.wall_ms = settings, own, expand, wall_ms
        self.actions = ActionQueue(TIMER)
        self.store = CustodyStore(self.actions, wall_ms, settings.grace_us, records)
        self.reporter = DeliveryReporter(settings, life, self.actions, self.store)
        self.inbound: dict[MemberId, ReceiveStream] = {}
        self.credit = Credit(0, 0)
        self.draining = False
        self.rejecting_until_us = 0  # entries are rejected until then, after a failed write
        self.is_started = False

    @property
    def open_records(self) -> tuple[tuple[str, tuple[int, ...], bool], ...]:
        """Name, pending destinations and whether it is for a single destination, of each record with pending
        deliveries. After a start the host sends `RestoredDeliveries` for each; `recorded_delivery_id` of
        delivery_ids.py gives the ids."""
        records = (r for r in self.store.records.values() if r.pending)
        return tuple((r.name, tuple(sorted(r.pending)), r.single) for r in records)

    @property
    def metrics(self) -> dict[str, int]:
        """Counts for the operator, by metric name."""
        return {
            "custody": sum(1 for r in self.store.records.values() if not r.is_completed),
            "records": len(self.store.records),
            "streams": sum(1 for i in self.inbound.values() if i.number),
            "batches": len(self.reporter.batches),
        }

    def handle(self, now_us: int, event: Any) -> list[Action]:
        """Applies one event and returns the actions to perform, in order."""
        self.actions.begin(now_us)
        if not self.is_started:
            self._begin()
        if isinstance(event, MessageReceived):
            if isinstance(event.message, Entry):
                self._entry(event.member, event.message, event.earliest_sent_us)
            elif isinstance(event.message, ReportBatchAck):
                self.reporter.acknowledged(event.member, event.message.number)
        elif isinstance(event, CustodyAccepted):
            self._on_custody_accepted(event)
        elif isinstance(event, CustodyRejected):
            self._on_custody_rejected(event)
        elif isinstance(event, DeliveryCompleted):
            self._on_delivery_completed(event)
        elif isinstance(event, RestoredDeliveries):
            self._on_restored_deliveries(event)
        elif isinstance(event, Credit):
            self._on_credit(event)
        elif isinstance(event, SetDraining):
            self.draining = event.draining
        elif isinstance(event, LinkUp):
            self._up(event.member)
        elif isinstance(event, LinkDown):
            self._down(event.member)
        elif isinstance(event, TimerDue) and event.token == TIMER:
            self._on_timer()
        elif isinstance(event, WriteFailed) and event.kind == CUSTODY:
            self._on_write_failed(event.key)
        return self.actions.take()

    def _begin(self) -> None:
        self.is_started = True
        for record in self.store.records.values():
            self.store.schedule_expiry(record)

    # Entries

    def _entry(self, member: MemberId, entry: Entry, said_us: int | None) -> None:
        stream = self.inbound.setdefault(member, ReceiveStream(member))
        if not stream.accept(entry):
            return
        until_us = (self.actions.now if said_us is None else said_us) + entry.remaining_us
        publication = replace(entry.publication, deadline_us=until_us)
        record = self.store.get(publication.name)
        if record is not None:
            record.unacknowledged_entry = (member, entry.stream, entry.seq)
            if record.is_accepted:
                self.store.unacknowledge(record)
                self._acknowledge(record)
                self.reporter.schedule(record)
            return
        dests, reason, try_another = self._check_entry(member, publication)
        if dests is None:
            self.actions.independent.append(
                stream.nak(entry.seq, self.settings.retry_after_us, reason, try_another)
            )
            if stream.settle(entry.stream, entry.seq):
                self.actions.independent.append(self._ack(stream))
            return
        self._begin_custody(publication, dests, (member, entry.stream, entry.seq))

    def _check_entry(
        self, member: MemberId, publication: Publication
    ) -> tuple[tuple[int, ...] | None, str, bool]:
        """Destinations, or why not, and whether another relay should be asked."""
        if self.draining:
            return None, f"{self.local_member} is draining", True
        if self.actions.now < self.rejecting_until_us:
            return None, f"{self.local_member} could not write", True
        if publication.origin != member:
            return None, f"the entry of {publication.origin} came from {member}", False
        if publication.deadline_us <= self.actions.now:
            return None, "its time is up", False
        if not self.store.make_room(self.settings.max_records):
            return None, f"{self.local_member} has {len(self.store.records)} publications in custody", True
        dests = self.expand(publication)
        if dests is None:
            return None, f"table {publication.table_number} is not kept at {self.local_member}", False
        if len(dests) > MAX_DESTINATIONS:
            return (
                None,
                f"{len(dests)} subscribers at {self.local_member.site}, at most {MAX_DESTINATIONS}",
                False,
            )
        return dests, "", False

    def _begin_custody(
        self, publication: Publication, dests: tuple[int, ...], copy: tuple[MemberId, int, int]
    ) -> None:
        single = publication.dest >= 0
        until_ms = self.wall_ms(publication.deadline_us)
        wanted = (publication.dest,) if single else dests
        record = CustodyRecord(
            publication.name,
            publication.origin,
            single,
            publication.idempotency,
            until_ms,
            len(wanted),
            set(wanted),
            unacknowledged_entry=copy,
            reported_at_us=self.actions.now,
        )
        self.store.add(record)
        if not dests:
            for dest in wanted:  # another site owns it by the table that the entry names
                record.complete(dest, Result.REFUSED)
            self._accept_custody(record)
            return
        if publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT:
            self.store.write(record)
        self.actions.ordered.append(Expand(publication, dests))

    def _on_custody_accepted(self, event: CustodyAccepted) -> None:
        record = self.store.get(event.name)
        if record is None or record.is_accepted:
            return
        record.complete_unknown(record.pending - set(event.dests), "not in the relay's journal any more")
        self._accept_custody(record)

    def _accept_custody(self, record: CustodyRecord) -> None:
        record.is_accepted = True
        if not record.is_written:
            self.store.write(record)
        self._acknowledge(record)
        if record.completed_count or record.is_completed:
            self.reporter.schedule(record)

    def _on_custody_rejected(self, event: CustodyRejected) -> None:
        record = self.store.get(event.name)
        if record is None or record.is_accepted:
            return
        self.store.remove(record.name, record.effect is DeliveryIdempotency.NON_IDEMPOTENT)
        self._reject(record, event.retry_after_us, event.reason)

    def _reject(
        self, record: CustodyRecord, retry_after_us: int, reason: str, try_another_relay: bool = False
    ) -> None:
        member, number, seq = record.unacknowledged_entry or (record.origin, 0, 0)
        stream = self.inbound.get(member)
        if stream is None or stream.number != number:
            return
        self.actions.ordered.append(stream.nak(seq, retry_after_us, reason, try_another_relay))
        if stream.settle(number, seq):
            self.actions.ordered.append(self._ack(stream))

    def _acknowledge(self, record: CustodyRecord) -> None:
        """The record is on disk, or an earlier action of the same list writes it."""
        if not record.is_written:
            self.store.write(record)
        member, number, seq = record.unacknowledged_entry or (record.origin, 0, 0)
        record.unacknowledged_entry = None
        stream = self.inbound.get(member)
        if stream is not None and stream.settle(number, seq):
            self.actions.ordered.append(self._ack(stream))

    # Credit

    def _ack(self, stream: ReceiveStream) -> SendMessage:
        return stream.ack(*self._share())

    def _share(self) -> tuple[int, int]:
        streams = sum(1 for i in self.inbound.values() if i.number)
        return credit_share(self.credit.entries, self.credit.bytes, streams)

    def _on_credit(self, event: Credit) -> None:
        self.credit = event
        share_now = self._share()
        for stream in self.inbound.values():
            advertised = stream.advertised
            if not stream.number or stream.is_broken:  # `acked` may count entries that no ack covered
                continue
            if (
                share_now[0] > 2 * advertised[0]
                or share_now[1] > 2 * advertised[1]
                or share_now[0] < advertised[0] // 2
            ):
                self.actions.independent.append(self._ack(stream))

    # Outcomes

    def _on_delivery_completed(self, event: DeliveryCompleted) -> None:
        record = self.store.get(event.name)
        if record is None or event.dest not in record.pending:
            self.actions.independent.append(OutcomesPersisted(event.name, (event.dest,)))
            return
        record.complete(event.dest, event.result)
        if record.is_accepted:
            self.reporter.schedule(record)

    def _on_restored_deliveries(self, event: RestoredDeliveries) -> None:
        record = self.store.get(event.name)
        if record is not None and record.pending - set(event.dests):
            record.complete_unknown(
                record.pending - set(event.dests), f"lost with a process of {self.local_member}"
            )
            self.reporter.schedule(record)

    # Links, timers, failed writes

    def _up(self, member: MemberId) -> None:
        self.inbound[member] = ReceiveStream(member)
        self.reporter.link_up(member)

    def _down(self, member: MemberId) -> None:
        self.inbound.pop(member, None)
        self.reporter.link_down(member)

    def _on_timer(self) -> None:
        expired_count = 0
        for token in self.actions.due():
            kind, _, name = token.partition(":")
            record = self.store.get(name)
            if kind == "ends":
                self.reporter.flush()
            elif kind == "resend":
                self.reporter.resend()
            elif kind == "tell":
                self.reporter.report_again([name])
            elif kind == "end":
                expired_count += record is not None and not record.is_acknowledged
                self.store.remove(name)
        if expired_count:
            text = f"outcomes of {expired_count} publications were unknown, or not acknowledged in time"
            self.actions.independent.append(LogLine(text))

    def _on_write_failed(self, name: str) -> None:
        """The actions after the failed write are lost too: recent records are written and
        reported again, and no stream is acknowledged further."""
        self.rejecting_until_us = self.reporter.retry_at_us = self.actions.now + self.settings.retry_us
        for stream in self.inbound.values():
            stream.is_broken = True
        unwritten_record = self.store.get(name)
        if unwritten_record is not None and not unwritten_record.is_accepted:
            self.store.remove(name, written=False)
            self._reject(
                unwritten_record,
                self.settings.retry_us,
                f"{self.local_member} could not write",
                try_another_relay=True,
            )
        for record in self.store.unwritten(self.rejecting_until_us):
            self.reporter.schedule(record)
