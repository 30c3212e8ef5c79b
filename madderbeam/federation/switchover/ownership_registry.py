"""What this member knows of ownership: the ledger, releases, decommissioned members, tables in force
elsewhere.

Each fact stays true once it is true, so facts may arrive in any order, repeatedly and from any member.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from madderbeam.federation.switchover.ledger import Ledger, active_members, is_active_member, next_ledger
from madderbeam.federation.switchover.release_records import ReleaseRecord, merged
from madderbeam.federation.values import Release, Table
from madderbeam.membership.values import MemberId

MAX_RELEASE_RECORDS = 100_000
MAX_STANDINGS = 2_048


@dataclass(frozen=True)
class MemberStanding:
    """What a member announced of itself: the number of its table in force, which is on its disk.

    `is_settled`: it misses no release of that table or an earlier one. `lease_us`: the span of the leases by
    which it serves (0: it serves without leases).
    """

    number: int
    is_settled: bool
    lease_us: int


class OwnershipRegistry:
    """The registry of one member.

    `release_records`: releases of other members by destination and member, all on disk here; `own_releases`:
    this member's, on disk as well; `decommissioned_up_to`: the table number up to which an operator declared
    a member decommissioned.
    """

    def __init__(self, local_member: MemberId, ledger: Ledger) -> None:
        self.local_member, self.ledger = local_member, ledger
        self.release_records: dict[int, dict[MemberId, ReleaseRecord]] = {}
        self.record_count = 0  # in release_records
        self.in_force_since_us = 0  # when the table came in force, or this process started
        self.own_releases: dict[int, ReleaseRecord] = {}
        self.decommissioned_up_to: dict[MemberId, int] = {}
        self.standings: dict[MemberId, MemberStanding] = {}

    @property
    def table(self) -> Table:
        """The table in force."""
        return self.ledger.table

    @property
    def is_left_out(self) -> bool:
        """Whether this member has no part in the table in force, or an operator declared it
        decommissioned.
        """
        return (
            not is_active_member(self.table, self.local_member)
            or self.decommissioned_up_to.get(self.local_member, 0) >= self.table.number
        )

    def is_released(self, dest: int, member: MemberId, number: int) -> bool:
        """Whether the member is known to have no call in flight at the destination by tables before this
        number.
        """
        record = (
            self.own_releases.get(dest)
            if member == self.local_member
            else self.release_records.get(dest, {}).get(member)
        )
        has_released = record is not None and record.release.table_number >= number
        return has_released or self.decommissioned_up_to.get(member, 0) >= number

    def missing_releases(self, dest: int) -> dict[MemberId, int]:
        """Members of other sites that have yet to release the destination, each with the table that
        requires it.
        """
        outstanding = self.ledger.outstanding.get(dest, {})
        return {
            member: number
            for member, number in outstanding.items()
            if member.site != self.local_member.site and not self.is_released(dest, member, number)
        }

    def all_missing_releases(self) -> Iterator[tuple[int, MemberId, int]]:
        """Every outstanding release, of any site, that is not known to have been made."""
        for dest, outstanding in self.ledger.outstanding.items():
            for member, number in outstanding.items():
                if not self.is_released(dest, member, number):
                    yield dest, member, number

    def missing_for_own_destinations(self) -> Iterator[tuple[int, MemberId, int]]:
        """The missing releases that keep this member from serving a destination that the table gives to
        it.
        """
        for dest in self.ledger.outstanding:
            if self.ledger.gives_to(self.local_member, dest):
                for member, number in self.missing_releases(dest).items():
                    yield dest, member, number

    def table_owed_by(self, dest: int) -> int:
        """The number of the table by which this member has yet to release the destination; 0: none.

        An operator's declaration does not count: a member that runs can release the destination itself.
        """
        number = self.ledger.outstanding.get(dest, {}).get(self.local_member, 0)
        own = self.own_releases.get(dest)
        return number if own is None or own.release.table_number < number else 0

    def needs(self, release: Release) -> bool:
        """Whether a release is new and is needed, now or by a table that is not in force here yet."""
        dest, member, number = release.dest, release.member, release.table_number
        known = self.release_records.get(dest, {}).get(member)
        if member == self.local_member or (known is not None and known.release.table_number >= number):
            return False
        if number > self.ledger.number:
            return self.record_count < MAX_RELEASE_RECORDS
        required_number = self.ledger.outstanding.get(dest, {}).get(member)
        return required_number is not None and number >= required_number

    def add_record(self, record: ReleaseRecord) -> None:
        """Add a release that is on disk here."""
        records = self.release_records.setdefault(record.release.dest, {})
        self.record_count += record.release.member not in records
        records[record.release.member] = record

    def remove_record(self, dest: int, member: MemberId) -> None:
        """Remove the release of a destination by a member."""
        records = self.release_records[dest]
        del records[member]
        self.record_count -= 1
        if not records:
            del self.release_records[dest]

    def merged_with_known(self, release: Release, now_us: int) -> Release:
        """The release, merged with the remaining spans of an earlier one of the same member."""
        known = self.release_records.get(release.dest, {}).get(release.member)
        return release if known is None else merged(release, [known.remaining(now_us)])

    def inherited_releases(self, dest: int, now_us: int) -> tuple[Release, ...]:
        """The releases that a new owner of the destination must observe, with the spans that remain now."""
        outstanding = self.ledger.outstanding.get(dest, {})
        releases = []
        for member, record in sorted(self.release_records.get(dest, {}).items()):
            if member in outstanding or record.has_spans_left(now_us):
                releases.append(record.remaining(now_us))
        own = self.own_releases.get(dest)
        if own is not None and own.has_spans_left(now_us):
            releases.append(own.remaining(now_us))
        return tuple(releases)

    def release_of_unserved(self, dest: int, number: int, now_us: int) -> Release:
        """This member's release of a destination that it never began to serve; it passes on what it
        inherited.
        """
        return merged(Release(dest, self.local_member, number), self.inherited_releases(dest, now_us))

    def next_ledger(self, table: Table) -> Ledger:
        """The ledger once `table` is in force."""
        return next_ledger(self.ledger, table, self.is_released, self.oldest_number_in_force())

    def oldest_number_in_force(self) -> int:
        """The lowest number in force at any member that may serve, as far as is known (0: unknown)."""
        members = set(active_members(self.table)) | {
            member for outstanding in self.ledger.outstanding.values() for member in outstanding
        }
        members -= {self.local_member}
        numbers = [self.standings[member].number if member in self.standings else 0 for member in members]
        return min([*numbers, self.ledger.number])

    def ledger_of_missing(self) -> Ledger:
        """The ledger with only the missing releases as outstanding, for a member that has no records."""
        outstanding: dict[int, dict[MemberId, int]] = {}
        for dest, member, number in self.all_missing_releases():
            outstanding.setdefault(dest, {})[member] = number
        return replace(self.ledger, outstanding=outstanding)

    def set_standing(self, member: MemberId, standing: MemberStanding) -> None:
        """Store a member's latest announcement; ignored for new members once MAX_STANDINGS are stored."""
        if member in self.standings or len(self.standings) < MAX_STANDINGS:
            self.standings[member] = standing

    def non_voters_ahead(self) -> list[MemberId]:
        """Members that do not vote and have a newer table in force."""
        others = set(active_members(self.table)) - set(self.table.voters)
        numbers = [
            (member, self.standings[member].number) for member in sorted(others) if member in self.standings
        ]
        return [member for member, number in numbers if number > self.ledger.number]

    def expired_records(self, now_us: int) -> list[tuple[int, MemberId]]:
        """Destination and member of each release record that is no longer needed."""
        return [
            (dest, member)
            for dest, records in self.release_records.items()
            if dest not in self.ledger.outstanding
            for member, record in records.items()
            if record.release.table_number <= self.ledger.number and not record.has_spans_left(now_us)
        ]

    def settled_number(self) -> int:
        """The highest number up to which no other member of the table misses a release."""
        number = self.ledger.number
        others = [
            member
            for member in active_members(self.table)
            if member != self.local_member and self.decommissioned_up_to.get(member, 0) < number
        ]
        standings = [self.standings.get(member) for member in others]
        return min(
            (
                standing.number if standing is not None and standing.is_settled else 0
                for standing in standings
            ),
            default=number,
        )

    def releases_known_to_all(self, now_us: int) -> list[int]:
        """Destinations whose own release every member of the table knows and that have no remaining spans."""
        settled_number = self.settled_number()
        return [
            dest
            for dest, own in self.own_releases.items()
            if own.release.table_number <= settled_number
            and self.local_member not in self.ledger.outstanding.get(dest, {})
            and not own.has_spans_left(now_us)
        ]
