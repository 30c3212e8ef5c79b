"""What this member knows: the ledger, who has paid which debt, who was called off, who has what in force.

All of it are facts that never become untrue, so they may come in any order, twice and from anyone.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from madderbeam.federation.switchover.ledger import Ledger, after, everyone, named
from madderbeam.federation.switchover.release_records import ReleaseRecord, merged
from madderbeam.federation.values import Release, Table
from madderbeam.membership.values import MemberId

FACTS_MOST = 100_000
STANDINGS_MOST = 2_048


@dataclass(frozen=True)
class MemberStanding:
    """What a member said of itself: it has this table in force, on disk. `settled`: it misses no release of
    that table or one before. `lease_us`: it serves by leases of this span (0: without)."""

    number: int
    settled: bool
    lease_us: int


class OwnershipRegistry:
    """`facts`: by destination and member, on disk here; `own`: this member's releases, likewise; `words`:
    the table up to which a member was called off."""

    def __init__(self, me: MemberId, ledger: Ledger) -> None:
        self.me, self.ledger = me, ledger
        self.facts: dict[int, dict[MemberId, ReleaseRecord]] = {}
        self.count = 0  # of facts
        self.since_us = 0  # when the table came in force, in this process
        self.own: dict[int, ReleaseRecord] = {}
        self.words: dict[MemberId, int] = {}
        self.standings: dict[MemberId, MemberStanding] = {}

    @property
    def table(self) -> Table:
        return self.ledger.table

    @property
    def left_out(self) -> bool:
        """The table names this member not at all or as off, or a person called it off."""
        return not named(self.table, self.me) or self.words.get(self.me, 0) >= self.table.number

    def paid(self, dest: int, member: MemberId, number: int) -> bool:
        """The member is known to have nothing out at the destination by tables before this number."""
        fact = self.own.get(dest) if member == self.me else self.facts.get(dest, {}).get(member)
        released = fact is not None and fact.release.table_number >= number
        return released or self.words.get(member, 0) >= number

    def missing(self, dest: int) -> dict[MemberId, int]:
        """Who of other sites has yet to release it."""
        owed = self.ledger.debts.get(dest, {})
        return {m: n for m, n in owed.items() if m.site != self.me.site and not self.paid(dest, m, n)}

    def all_missing(self) -> Iterator[tuple[int, MemberId, int]]:
        """Every debt, of any site, that is not known to be paid."""
        for dest, owed in self.ledger.debts.items():
            for member, number in owed.items():
                if not self.paid(dest, member, number):
                    yield dest, member, number

    def gains_missing(self) -> Iterator[tuple[int, MemberId, int]]:
        """Those that keep this member from a destination that is its own by the table."""
        for dest in self.ledger.debts:
            if self.ledger.entitled(self.me, dest):
                for member, number in self.missing(dest).items():
                    yield dest, member, number

    def owes(self, dest: int) -> int:
        """The table by which this member has yet to release it; 0: none. An operator's word does not count:
        whoever is here to ask lets go itself."""
        number = self.ledger.debts.get(dest, {}).get(self.me, 0)
        own = self.own.get(dest)
        return number if own is None or own.release.table_number < number else 0

    def wants(self, release: Release) -> bool:
        """A release that is news and is needed, or will be by a table that is not in force here yet."""
        dest, member, number = release.dest, release.member, release.table_number
        known = self.facts.get(dest, {}).get(member)
        if member == self.me or (known is not None and known.release.table_number >= number):
            return False
        if number > self.ledger.number:
            return self.count < FACTS_MOST
        owed = self.ledger.debts.get(dest, {}).get(member)
        return owed is not None and number >= owed

    def learn(self, fact: ReleaseRecord) -> None:
        """It is on disk here."""
        facts = self.facts.setdefault(fact.release.dest, {})
        self.count += fact.release.member not in facts
        facts[fact.release.member] = fact

    def forget(self, dest: int, member: MemberId) -> None:
        facts = self.facts[dest]
        del facts[member]
        self.count -= 1
        if not facts:
            del self.facts[dest]

    def joined(self, release: Release, now_us: int) -> Release:
        """With what is left of what is known of that member already."""
        known = self.facts.get(release.dest, {}).get(release.member)
        return release if known is None else merged(release, [known.left(now_us)])

    def passed_on(self, dest: int, now_us: int) -> tuple[Release, ...]:
        """What a new owner must heed, as it is left now."""
        owed = self.ledger.debts.get(dest, {})
        found = []
        for member, fact in sorted(self.facts.get(dest, {}).items()):
            if member in owed or fact.binds(now_us):
                found.append(fact.left(now_us))
        own = self.own.get(dest)
        if own is not None and own.binds(now_us):
            found.append(own.left(now_us))
        return tuple(found)

    def unbegun(self, dest: int, number: int, now_us: int) -> Release:
        """This member's release of what it never began: it hands on what was handed to it."""
        return merged(Release(dest, self.me, number), self.passed_on(dest, now_us))

    def next(self, table: Table) -> Ledger:
        return after(self.ledger, table, self.paid, self.oldest())

    def oldest(self) -> int:
        """No member that may serve has a table below this one in force."""
        members = set(everyone(self.table)) | {m for owed in self.ledger.debts.values() for m in owed}
        members -= {self.me}
        numbers = [self.standings[m].number if m in self.standings else 0 for m in members]
        return min([*numbers, self.ledger.number])

    def open(self) -> Ledger:
        """The ledger with the debts alone that are not known to be paid: for a member that knows nothing."""
        debts: dict[int, dict[MemberId, int]] = {}
        for dest, member, number in self.all_missing():
            debts.setdefault(dest, {})[member] = number
        return replace(self.ledger, debts=debts)

    def stand(self, member: MemberId, standing: MemberStanding) -> None:
        if member in self.standings or len(self.standings) < STANDINGS_MOST:
            self.standings[member] = standing

    def ahead(self) -> list[MemberId]:
        """Members that do not vote and have a newer table in force."""
        others = set(everyone(self.table)) - set(self.table.voters)
        known = [(m, self.standings[m].number) for m in sorted(others) if m in self.standings]
        return [m for m, number in known if number > self.ledger.number]

    def over(self, now_us: int) -> list[tuple[int, MemberId]]:
        """Facts that are of no use any more."""
        return [
            (dest, member)
            for dest, facts in self.facts.items()
            if dest not in self.ledger.debts
            for member, fact in facts.items()
            if fact.release.table_number <= self.ledger.number and not fact.binds(now_us)
        ]

    def settled(self) -> int:
        """Every other member of the table misses nothing of tables up to this number."""
        number = self.ledger.number
        others = [m for m in everyone(self.table) if m != self.me and self.words.get(m, 0) < number]
        known = [self.standings.get(m) for m in others]
        return min((s.number if s is not None and s.settled else 0 for s in known), default=number)

    def released_for_good(self, now_us: int) -> list[int]:
        """Own releases that every member of the table knows, and that pass nothing on any more."""
        low = self.settled()
        return [
            dest
            for dest, own in self.own.items()
            if own.release.table_number <= low
            and self.me not in self.ledger.debts.get(dest, {})
            and not own.binds(now_us)
        ]
