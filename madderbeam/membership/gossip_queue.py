"""Queue of updates to piggyback on datagrams, and the choice of those for the next one (SWIM, section 4.1).

The least often sent go first, of those the most urgent, of those the newest. No update is sent more than a
bounded number of times, and one that is replaced by a newer update is not sent any more.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from madderbeam.membership.messages import MemberReport, entry_row, report_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.values import GossipEntry, MemberId, State

MIN_ITEM_BYTES = 40  # with less space left the search for further items ends


def sends_per_item(factor: int, members: int) -> int:
    """lambda * log(n): how often an item is sent among this many members."""
    return factor * max(1, math.ceil(math.log10(members + 1)))


@dataclass(slots=True)
class QueuedItem:
    """A report or gossip entry that waits to be sent."""

    item: MemberReport | GossipEntry
    size_bytes: int
    rank: tuple[int, int, int]  # times sent, urgency, negated sequence number


class GossipQueue:
    """Bounded by the stored state: one report per member and accuser, one item per gossip entry."""

    def __init__(self) -> None:
        self.reports: dict[MemberId, dict[MemberId | None, QueuedItem]] = {}
        self.entries: dict[tuple[MemberId, str], QueuedItem] = {}
        self.sequence = 0

    def add_report(self, report: MemberReport) -> None:
        """Queue a report; it replaces older ones except other accusers of the same suspicion."""
        if report.state is State.SUSPECT:
            accusers = self.reports.setdefault(report.id, {})
            accusers.pop(None, None)
        else:
            accusers = self.reports[report.id] = {}
        accuser = report.accuser if report.state is State.SUSPECT else None
        urgency = 1 if report.state is State.ALIVE else 0
        accusers[accuser] = self._queued(report, packed_size(report_row(report)), urgency)

    def add_entry(self, entry: GossipEntry) -> None:
        """Queue a gossip entry; it replaces the older version."""
        self.entries[entry.owner, entry.key] = self._queued(entry, packed_size(entry_row(entry)), 2)

    def _queued(self, item: MemberReport | GossipEntry, size: int, urgency: int) -> QueuedItem:
        self.sequence += 1
        return QueuedItem(item, size, (0, urgency, -self.sequence))

    def drop_reports(self, member: MemberId) -> None:
        """Remove all reports on this member."""
        self.reports.pop(member, None)

    def drop_entry(self, entry: GossipEntry) -> None:
        """Remove this gossip entry."""
        self.entries.pop((entry.owner, entry.key), None)

    def keep_local_only(self, local_id: MemberId) -> None:
        """Keep only the reports on and entries of the local member."""
        self.reports = {member: accusers for member, accusers in self.reports.items() if member == local_id}
        self.entries = {key: queued for key, queued in self.entries.items() if key[0] == local_id}

    def _items(self) -> Iterator[QueuedItem]:
        for accusers in self.reports.values():
            yield from accusers.values()
        yield from self.entries.values()

    @property
    def has_items(self) -> bool:
        """Whether anything waits to be sent."""
        return bool(self.reports or self.entries)

    def next_batch(self, space_bytes: int, max_sends: int) -> list[MemberReport | GossipEntry]:
        """Return the items for the next datagram, which has `space_bytes` bytes left, and count them as sent.

        An item that was returned `max_sends` times is removed. The first item is returned even if it is
        larger than the space; later ones that do not fit wait for another datagram.
        """
        batch: list[MemberReport | GossipEntry] = []
        for queued in sorted(self._items(), key=lambda item: item.rank):
            if queued.size_bytes > space_bytes and batch:
                continue
            space_bytes -= queued.size_bytes
            batch.append(queued.item)
            times_sent, urgency, negated_sequence = queued.rank
            queued.rank = (times_sent + 1, urgency, negated_sequence)
            if times_sent + 1 >= max_sends:
                self._remove(queued.item)
            if space_bytes < MIN_ITEM_BYTES:
                break
        return batch

    def _remove(self, item: MemberReport | GossipEntry) -> None:
        if isinstance(item, GossipEntry):
            self.drop_entry(item)
            return
        accusers = self.reports[item.id]
        del accusers[item.accuser if item.state is State.SUSPECT else None]
        if not accusers:
            del self.reports[item.id]
