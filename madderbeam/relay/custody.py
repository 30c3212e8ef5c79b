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
from madderbeam.relay.inbound import Inbound, share
from madderbeam.relay.kept import Kept
from madderbeam.relay.messages import DESTS_MOST, EndsAck, Entry
from madderbeam.relay.outlet import Action, Outlet
from madderbeam.relay.records import CUSTODY, Record
from madderbeam.relay.telling import CustodySettings, Telling
from madderbeam.relay.values import (
    Credit,
    Effect,
    Ended,
    Expand,
    NotTaken,
    Publication,
    Resting,
    Result,
    Settled,
    Taken,
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
        self.settings, self.own, self.expand, self.wall_ms = settings, own, expand, wall_ms
        self.out = Outlet(TIMER)
        self.kept = Kept(self.out, wall_ms, settings.grace_us, records)
        self.telling = Telling(settings, life, self.out, self.kept)
        self.inbound: dict[MemberId, Inbound] = {}
        self.credit = Credit(0, 0)
        self.draining = False
        self.sick_us = 0  # entries are rejected until then, after a failed write
        self.begun = False

    @property
    def open_records(self) -> tuple[tuple[str, tuple[int, ...], bool], ...]:
        """Name, pending destinations and whether it is for a single destination, of each record with pending
        deliveries. After a start the host sends `RestoredDeliveries` for each; `recorded_delivery_id` of
        delivery_ids.py gives the ids."""
        records = (r for r in self.kept.all.values() if r.pending)
        return tuple((r.name, tuple(sorted(r.pending)), r.single) for r in records)

    @property
    def figures(self) -> dict[str, int]:
        """Counts for the operator, by metric name."""
        return {
            "custody": sum(1 for r in self.kept.all.values() if not r.over),
            "records": len(self.kept.all),
            "streams": sum(1 for i in self.inbound.values() if i.number),
            "batches": len(self.telling.batches),
        }

    def handle(self, now_us: int, event: Any) -> list[Action]:
        """Applies one event and returns the actions to perform, in order."""
        self.out.begin(now_us)
        if not self.begun:
            self._begin()
        if isinstance(event, MessageReceived):
            if isinstance(event.message, Entry):
                self._entry(event.member, event.message, event.earliest_sent_us)
            elif isinstance(event.message, EndsAck):
                self.telling.heard(event.member, event.message.number)
        elif isinstance(event, Taken):
            self._taken(event)
        elif isinstance(event, NotTaken):
            self._not_taken(event)
        elif isinstance(event, Ended):
            self._ended(event)
        elif isinstance(event, Resting):
            self._resting(event)
        elif isinstance(event, Credit):
            self._credit(event)
        elif isinstance(event, SetDraining):
            self.draining = event.draining
        elif isinstance(event, LinkUp):
            self._up(event.member)
        elif isinstance(event, LinkDown):
            self._down(event.member)
        elif isinstance(event, TimerDue) and event.token == TIMER:
            self._due()
        elif isinstance(event, WriteFailed) and event.kind == CUSTODY:
            self._unwritten(event.key)
        return self.out.take()

    def _begin(self) -> None:
        self.begun = True
        for record in self.kept.all.values():
            self.kept.until(record)

    # Entries

    def _entry(self, member: MemberId, entry: Entry, said_us: int | None) -> None:
        stream = self.inbound.setdefault(member, Inbound(member))
        if not stream.accept(entry):
            return
        until_us = (self.out.now if said_us is None else said_us) + entry.left_us
        publication = replace(entry.publication, until_us=until_us)
        record = self.kept.get(publication.name)
        if record is not None:
            record.copy = (member, entry.stream, entry.seq)
            if record.taken:
                self.kept.unheard(record)
                self._acknowledge(record)
                self.telling.change(record)
            return
        dests, reason, try_another = self._whether(member, publication)
        if dests is None:
            self.out.free.append(stream.nak(entry.seq, self.settings.again_us, reason, try_another))
            if stream.settle(entry.stream, entry.seq):
                self.out.free.append(self._ack(stream))
            return
        self._begin_custody(publication, dests, (member, entry.stream, entry.seq))

    def _whether(
        self, member: MemberId, publication: Publication
    ) -> tuple[tuple[int, ...] | None, str, bool]:
        """Destinations, or why not, and whether another relay should be asked."""
        if self.draining:
            return None, f"{self.own} is draining", True
        if self.out.now < self.sick_us:
            return None, f"{self.own} could not write", True
        if publication.origin != member:
            return None, f"the entry of {publication.origin} came from {member}", False
        if publication.until_us <= self.out.now:
            return None, "its time is up", False
        if not self.kept.room(self.settings.records_most):
            return None, f"{self.own} has {len(self.kept.all)} publications in custody", True
        dests = self.expand(publication)
        if dests is None:
            return None, f"table {publication.table} is not kept at {self.own}", False
        if len(dests) > DESTS_MOST:
            return None, f"{len(dests)} subscribers at {self.own.site}, at most {DESTS_MOST}", False
        return dests, "", False

    def _begin_custody(
        self, publication: Publication, dests: tuple[int, ...], copy: tuple[MemberId, int, int]
    ) -> None:
        single = publication.dest >= 0
        until_ms = self.wall_ms(publication.until_us)
        wanted = (publication.dest,) if single else dests
        record = Record(
            publication.name,
            publication.origin,
            single,
            publication.effect,
            until_ms,
            len(wanted),
            set(wanted),
            copy=copy,
            told_us=self.out.now,
        )
        self.kept.add(record)
        if not dests:
            for dest in wanted:  # another site owns it by the table that the entry names
                record.end(dest, Result.REFUSED)
            self._take(record)
            return
        if publication.effect is Effect.UNSAFE:
            self.kept.write(record)
        self.out.bound.append(Expand(publication, dests))

    def _taken(self, event: Taken) -> None:
        record = self.kept.get(event.name)
        if record is None or record.taken:
            return
        record.lose(record.pending - set(event.dests), "not in the relay's journal any more")
        self._take(record)

    def _take(self, record: Record) -> None:
        record.taken = True
        if not record.kept:
            self.kept.write(record)
        self._acknowledge(record)
        if record.ended or record.over:
            self.telling.change(record)

    def _not_taken(self, event: NotTaken) -> None:
        record = self.kept.get(event.name)
        if record is None or record.taken:
            return
        self.kept.forget(record.name, record.effect is Effect.UNSAFE)
        self._turn_away(record, event.after_us, event.why)

    def _turn_away(self, record: Record, after_us: int, why: str, keep_out: bool = False) -> None:
        member, number, seq = record.copy or (record.origin, 0, 0)
        stream = self.inbound.get(member)
        if stream is None or stream.number != number:
            return
        self.out.bound.append(stream.nak(seq, after_us, why, keep_out))
        if stream.settle(number, seq):
            self.out.bound.append(self._ack(stream))

    def _acknowledge(self, record: Record) -> None:
        """The record is on disk, or an earlier action of the same list writes it."""
        if not record.kept:
            self.kept.write(record)
        member, number, seq = record.copy or (record.origin, 0, 0)
        record.copy = None
        stream = self.inbound.get(member)
        if stream is not None and stream.settle(number, seq):
            self.out.bound.append(self._ack(stream))

    # Credit

    def _ack(self, stream: Inbound) -> SendMessage:
        return stream.ack(*self._share())

    def _share(self) -> tuple[int, int]:
        streams = sum(1 for i in self.inbound.values() if i.number)
        return share(self.credit.entries, self.credit.bytes, streams)

    def _credit(self, event: Credit) -> None:
        self.credit = event
        share_now = self._share()
        for stream in self.inbound.values():
            advertised = stream.told
            if not stream.number or stream.broken:  # `acked` may count entries that no ack covered
                continue
            if (
                share_now[0] > 2 * advertised[0]
                or share_now[1] > 2 * advertised[1]
                or share_now[0] < advertised[0] // 2
            ):
                self.out.free.append(self._ack(stream))

    # Outcomes

    def _ended(self, event: Ended) -> None:
        record = self.kept.get(event.name)
        if record is None or event.dest not in record.pending:
            self.out.free.append(Settled(event.name, (event.dest,)))
            return
        record.end(event.dest, event.result)
        if record.taken:
            self.telling.change(record)

    def _resting(self, event: Resting) -> None:
        record = self.kept.get(event.name)
        if record is not None and record.pending - set(event.dests):
            record.lose(record.pending - set(event.dests), f"lost with a process of {self.own}")
            self.telling.change(record)

    # Links, timers, failed writes

    def _up(self, member: MemberId) -> None:
        self.inbound[member] = Inbound(member)
        self.telling.up(member)

    def _down(self, member: MemberId) -> None:
        self.inbound.pop(member, None)
        self.telling.down(member)

    def _due(self) -> None:
        expired_count = 0
        for token in self.out.due():
            kind, _, name = token.partition(":")
            record = self.kept.get(name)
            if kind == "ends":
                self.telling.flush()
            elif kind == "resend":
                self.telling.resend()
            elif kind == "tell":
                self.telling.again([name])
            elif kind == "end":
                expired_count += record is not None and not record.finished
                self.kept.forget(name)
        if expired_count:
            text = f"outcomes of {expired_count} publications were unknown, or not acknowledged in time"
            self.out.free.append(LogLine(text))

    def _unwritten(self, name: str) -> None:
        """The actions after the failed write are lost too: recent records are written and
        reported again, and no stream is acknowledged further."""
        self.sick_us = self.telling.from_us = self.out.now + self.settings.retry_us
        for stream in self.inbound.values():
            stream.broken = True
        unwritten_record = self.kept.get(name)
        if unwritten_record is not None and not unwritten_record.taken:
            self.kept.forget(name, written=False)
            self._turn_away(
                unwritten_record, self.settings.retry_us, f"{self.own} could not write", keep_out=True
            )
        for record in self.kept.unwritten(self.sick_us):
            self.telling.change(record)
