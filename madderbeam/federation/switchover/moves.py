"""Which destinations this member serves now, which it is letting go of, and what it may begin at.

`served` holds those that the host was told to begin at, `leaving` those that it was told to relinquish and
has not released yet. Both are of this process: at a start nothing is served, and nothing is out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_records import ReleaseRecord, body
from madderbeam.federation.values import BeginServing, Release, Relinquish
from madderbeam.membership.values import Disseminate, Incarnation


class DestinationMoves:
    """`settle` brings destinations to where the book says they are; it may be called at any time."""

    def __init__(
        self,
        book: OwnershipRegistry,
        out: ActionBuffer,
        life: Incarnation,
        wall_ms: Callable[[int], int],
        keep_us: int,
    ) -> None:
        self.book, self.out, self.life, self.wall_ms, self.keep_us = book, out, life, wall_ms, keep_us
        self.served: set[int] = set()
        self.leaving: dict[int, int] = {}  # the table by which it is let go of

    def settle(self, dests: Iterable[int]) -> None:
        for dest in sorted(set(dests)):
            self._settle(dest)

    def let_go(self, dests: Iterable[int]) -> None:
        """Whatever the table says: tables that were not seen may have moved them."""
        for dest in sorted(dests):
            self._relinquish(dest)

    def released(self, release: Release) -> None:
        """Nothing is out there any more, says the host: it is written down before it is told."""
        dest = release.dest
        if dest not in self.leaving or self.out.writes.busy("release", str(dest)):
            return
        number = max(self.leaving[dest], self.book.owes(dest))
        self._write(replace(release, member=self.book.me, table_number=number))

    def written(self, handed: ReleaseRecord) -> None:
        """A release of one's own is on disk."""
        dest = handed.release.dest
        self.leaving.pop(dest, None)
        self.book.own[dest] = handed
        self.tell(dest)
        self._settle(dest)

    def tell(self, dest: int) -> None:
        """To all, with what is left of it now."""
        release = self.book.own[dest].left(self.out.now_us)
        self.out.do(
            Disseminate(
                f"release/{dest}", version(release.table_number, self.life, 0), body(release), self.keep_us
            )
        )

    def forget(self, dest: int) -> None:
        """Everyone knows the release."""
        number = self.book.own.pop(dest).release.table_number
        self.out.do(Disseminate(f"release/{dest}", version(number, self.life, 1), b""))
        self.out.forget("release", str(dest))

    def _settle(self, dest: int) -> None:
        book = self.book
        owed, entitled = book.owes(dest), book.ledger.entitled(book.me, dest)
        if dest in self.served:
            if owed or not entitled:
                self._relinquish(dest)
        elif dest in self.leaving:
            self.leaving[dest] = max(self.leaving[dest], owed)
        elif owed:
            if not self.out.writes.busy("release", str(dest)):
                self._write(book.unbegun(dest, owed, self.out.now_us))
        elif entitled and not book.missing(dest):
            self.served.add(dest)
            self.out.do(BeginServing(dest, book.passed_on(dest, self.out.now_us)))

    def _relinquish(self, dest: int) -> None:
        self.served.discard(dest)
        self.leaving[dest] = self.book.owes(dest) or self.book.ledger.number
        self.out.do(Relinquish(dest, self.leaving[dest]))

    def _write(self, release: Release) -> None:
        now_us = self.out.now_us
        self.out.write(
            "release", str(release.dest), ReleaseRecord(release, now_us, self.wall_ms(now_us)).row()
        )


def version(number: int, life: Incarnation, last: int) -> int:
    """Of a rumour: by the table, then the start of its owner, then whether it is its end."""
    return number << 25 | (life.start & 0xFFFFFF) << 1 | last
