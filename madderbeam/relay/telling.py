"""Ends on their way to the origins: written together, told as whole states, again until they are acked."""

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
    """Times in microseconds."""

    batch_us: int = 20_000  # ends wait for others so long
    batch_most_us: int = 250_000  # the same with ten thousand subscribers, whose record is larger
    interim_us: int = 500_000  # ends of a publication that is not over yet are told so often
    resend_us: int = 1_000_000  # a batch that is not acked goes again
    retry_us: int = 500_000  # nothing is taken on for so long after the disk did not take a record
    again_us: int = 200_000  # what is turned away may come again after this
    grace_us: int = 5_000_000  # a record is kept so long after the publication's time
    records_most: int = 20_000  # publications in custody, or over and kept against a second copy


class Telling:
    """Batches have numbers of the relay's own. A batch that is lost goes again as what is known by then."""

    def __init__(self, settings: CustodySettings, life: Incarnation, out: Outlet, kept: Kept) -> None:
        self.settings, self.out, self.kept = settings, out, kept
        self.links: set[MemberId] = set()
        self.changed: dict[str, None] = {}  # records with something to write or to tell, in their order
        self.batches: dict[int, tuple[MemberId, int, tuple[tuple[str, int], ...]]] = {}  # sent, not acked
        self.number = life.start << 32
        self.from_us = 0  # nothing is written until then

    def up(self, member: MemberId) -> None:
        """All that this origin has not heard goes to it."""
        self.down(member)
        self.links.add(member)
        self.again([r.name for r in self.kept.all.values() if r.origin == member and r.taken])

    def down(self, member: MemberId) -> None:
        self.links.discard(member)
        for number in [n for n, batch in self.batches.items() if batch[0] == member]:
            del self.batches[number]

    def change(self, record: Record) -> None:
        """Something of it is to be written, or told; together with others."""
        self.changed[record.name] = None
        wait = self.settings.batch_us
        if not record.over:
            wait = min(wait * (1 + record.total // 100), self.settings.batch_most_us)
        self.out.alarms.sooner("ends", max(self.from_us, self.out.now + wait))

    def flush(self) -> None:
        """Writes what has changed, then tells it."""
        rows: dict[MemberId, list[Record]] = {}
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
                rows.setdefault(record.origin, []).append(record)
            else:
                self.out.alarms.sooner(f"tell:{name}", record.told_us + self.settings.interim_us)
        for origin, records in rows.items():
            self._tell(origin, records)
        if self.changed:
            self.out.alarms.sooner("ends", self.out.now)

    def _tell(self, origin: MemberId, records: list[Record]) -> None:
        if origin not in self.links:
            return  # all that it has not heard goes out when its link is up
        batch: list[EndRow] = []
        for record in records:
            row = record.row()
            if sum(len(r.ends) for r in batch) + len(row.ends) > TOLD_MOST:
                self._send(origin, batch)
                batch = []
            batch.append(row)
            record.told_us = self.out.now
        self._send(origin, batch)

    def _send(self, origin: MemberId, batch: list[EndRow]) -> None:
        self.number += 1
        told = tuple((row.name, row.total - row.left) for row in batch)
        self.batches[self.number] = (origin, self.out.now, told)
        self.out.bound.append(SendMessage(origin, Ends(self.number, tuple(batch))))
        self.out.alarms.sooner("resend", self.out.now + self.settings.resend_us)

    def heard(self, member: MemberId, number: int) -> None:
        """The origin has this batch."""
        if number not in self.batches or self.batches[number][0] != member:
            return
        for name, ended in self.batches.pop(number)[2]:
            record = self.kept.get(name)
            if record is not None:
                self.kept.heard(record, ended)

    def resend(self) -> None:
        """Batches that were not acked for too long go again, as what is known now."""
        for number, (_, sent_us, told) in list(self.batches.items()):
            if self.out.now < sent_us + self.settings.resend_us:
                self.out.alarms.sooner("resend", sent_us + self.settings.resend_us)
                return
            del self.batches[number]
            self.again(name for name, _ in told)

    def again(self, names: Iterable[str]) -> None:
        """These are to be told once more."""
        for name in names:
            record = self.kept.get(name)
            if record is not None and not record.finished:
                self.changed[name] = None
                self.out.alarms.sooner("ends", max(self.out.now, self.from_us))
