"""The relay: takes entries into custody once, acks what the journal has, and tells their ends to the origin.

An unsafe entry's record is written before it is expanded, all others' before they are acked. So after a start
a record says "it may have run": what the journal still holds goes on, what has a kept end has it, the rest is
UNKNOWN.
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
    """`expand` gives an entry's destinations by the table that it names (grouping.Tables.expand); `wall_ms`
    the wall time of a monotonic one. `handle(now_us, event)` gives what is to be done, in order."""

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
        self.sick_us = 0  # nothing is taken on until then
        self.begun = False

    @property
    def open_records(self) -> tuple[tuple[str, tuple[int, ...], bool], ...]:
        """Name, pending destinations, entry of one: `Resting` is told of each after a start (derive.held_id
        gives the ids)."""
        records = (r for r in self.kept.all.values() if r.pending)
        return tuple((r.name, tuple(sorted(r.pending)), r.single) for r in records)

    @property
    def figures(self) -> dict[str, int]:
        """For the operator."""
        return {
            "custody": sum(1 for r in self.kept.all.values() if not r.over),
            "records": len(self.kept.all),
            "streams": sum(1 for i in self.inbound.values() if i.number),
            "batches": len(self.telling.batches),
        }

    def handle(self, now_us: int, event: Any) -> list[Action]:
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
        dests, why, out = self._whether(member, publication)
        if dests is None:
            self.out.free.append(stream.nak(entry.seq, self.settings.again_us, why, out))
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
            for dest in wanted:  # the table that it names gives it to another site
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
        """The record is on disk, or is written by this list before this."""
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
        now = self._share()
        for stream in self.inbound.values():
            told = stream.told
            if not stream.number or stream.broken:  # `acked` may count what was never told
                continue
            if now[0] > 2 * told[0] or now[1] > 2 * told[1] or now[0] < told[0] // 2:
                self.out.free.append(self._ack(stream))

    # Ends

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

    # Links, time, disk

    def _up(self, member: MemberId) -> None:
        self.inbound[member] = Inbound(member)
        self.telling.up(member)

    def _down(self, member: MemberId) -> None:
        self.inbound.pop(member, None)
        self.telling.down(member)

    def _due(self) -> None:
        gone = 0
        for token in self.out.due():
            what, _, name = token.partition(":")
            record = self.kept.get(name)
            if what == "ends":
                self.telling.flush()
            elif what == "resend":
                self.telling.resend()
            elif what == "tell":
                self.telling.again([name])
            elif what == "end":
                gone += record is not None and not record.finished
                self.kept.forget(name)
        if gone:
            text = f"ends of {gone} publications were not heard by their origins, or not known, in their time"
            self.out.free.append(LogLine(text))

    def _unwritten(self, name: str) -> None:
        """What stood behind it is lost as well: the last writes are told anew, and no stream is acked on."""
        self.sick_us = self.telling.from_us = self.out.now + self.settings.retry_us
        for stream in self.inbound.values():
            stream.broken = True
        lost = self.kept.get(name)
        if lost is not None and not lost.taken:
            self.kept.forget(name, written=False)
            self._turn_away(lost, self.settings.retry_us, f"{self.own} could not write", keep_out=True)
        for record in self.kept.unwritten(self.sick_us):
            self.telling.change(record)
