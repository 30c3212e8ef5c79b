"""News on its way: what is still to be passed on, and what goes into the next datagram (SWIM, section 4.1).

Least sent goes first, of those the most urgent, of those the newest. Nothing is sent more than a bounded
number of times; what is replaced by newer news is not sent any more.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from madderbeam.membership.messages import MemberReport, report_row, rumour_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.values import GossipEntry, MemberId, State

SMALLEST = 40  # bytes; with less room left nothing more is looked for


def times(factor: int, members: int) -> int:
    """lambda * log(n): how often an item is sent among so many members."""
    return factor * max(1, math.ceil(math.log10(members + 1)))


@dataclass(slots=True)
class QueuedItem:
    item: MemberReport | GossipEntry
    size: int
    rank: tuple[int, int, int]  # times sent, urgency, minus the number


class GossipQueue:
    """Bounded by what is kept: an entry a member and accuser, one a rumour."""

    def __init__(self) -> None:
        self.reports: dict[MemberId, dict[MemberId | None, QueuedItem]] = {}
        self.rumours: dict[tuple[MemberId, str], QueuedItem] = {}
        self.number = 0

    def report(self, report: MemberReport) -> None:
        """News of a member replaces what was said of it before, but for other accusers of one suspicion."""
        if report.state is State.SUSPECT:
            accusers = self.reports.setdefault(report.id, {})
            accusers.pop(None, None)
        else:
            accusers = self.reports[report.id] = {}
        by = report.by if report.state is State.SUSPECT else None
        urgency = 1 if report.state is State.ALIVE else 0
        accusers[by] = self._entry(report, packed_size(report_row(report)), urgency)

    def rumour(self, rumour: GossipEntry) -> None:
        self.rumours[rumour.owner, rumour.key] = self._entry(rumour, packed_size(rumour_row(rumour)), 2)

    def _entry(self, item: MemberReport | GossipEntry, size: int, urgency: int) -> QueuedItem:
        self.number += 1
        return QueuedItem(item, size, (0, urgency, -self.number))

    def drop(self, member: MemberId) -> None:
        """Nothing of this member's state any more."""
        self.reports.pop(member, None)

    def drop_rumour(self, rumour: GossipEntry) -> None:
        self.rumours.pop((rumour.owner, rumour.key), None)

    def forget_old(self, me: MemberId) -> None:
        """Keep only what this member says of itself."""
        self.reports = {m: e for m, e in self.reports.items() if m == me}
        self.rumours = {k: e for k, e in self.rumours.items() if k[0] == me}

    def _entries(self) -> Iterator[QueuedItem]:
        for accusers in self.reports.values():
            yield from accusers.values()
        yield from self.rumours.values()

    @property
    def pending(self) -> bool:
        return bool(self.reports or self.rumours)

    def take(self, room: int, most: int) -> list[MemberReport | GossipEntry]:
        """Items for one datagram with this many bytes left; each is let go after `most` times. One that is
        larger than that goes alone."""
        taken: list[MemberReport | GossipEntry] = []
        for entry in sorted(self._entries(), key=lambda e: e.rank):
            if entry.size > room and taken:
                continue
            room -= entry.size
            taken.append(entry.item)
            sent, urgency, number = entry.rank
            entry.rank = (sent + 1, urgency, number)
            if sent + 1 >= most:
                self._over(entry.item)
            if room < SMALLEST:
                break
        return taken

    def _over(self, item: MemberReport | GossipEntry) -> None:
        if isinstance(item, GossipEntry):
            self.drop_rumour(item)
            return
        accusers = self.reports[item.id]
        del accusers[item.by if item.state is State.SUSPECT else None]
        if not accusers:
            del self.reports[item.id]
