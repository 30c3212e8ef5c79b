"""The outstanding releases by the table in force and its predecessors.

A release of a destination by a member is outstanding from the first table that takes the destination from the
member, either by giving it to another site or by omitting the member. A later table that requires the same
release replaces the earlier entry, since a release under a later table covers both. So a chain of tables of
any length takes one number for each destination and member instead of the tables themselves.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.errors import TableUnfit
from madderbeam.federation.switchover.release_records import (
    MAX_DESTINATION_NUMBER,
    MAX_TABLE_NUMBER,
    read_list,
    read_member,
    read_number,
    read_text,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.table import read_table as table_of
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId, Row

MAX_HISTORY_TABLES = 8  # stored tables, including the one in force
MAX_OUTSTANDING_RELEASES = 100_000  # pairs of destination and member; staging stops at half of it
MAX_VOTER_SETS = 64  # at this number no table with other voters is staged

Outstanding = Mapping[int, Mapping[MemberId, int]]


@dataclass(frozen=True)
class Ledger:
    """The record of the tables in force.

    `history`: the last tables, including `table`, which is in force. `outstanding`: by destination and
    member, the number of the table that requires the release. `voter_sets`: the sets of voters, each with the
    number of the first table that had it; leases are renewed by them.
    """

    table: Table
    history: tuple[Table, ...]
    outstanding: Outstanding
    voter_sets: tuple[tuple[int, tuple[MemberId, ...]], ...]

    @property
    def number(self) -> int:
        """The number of the table in force."""
        return self.table.number

    def gives_to(self, member: MemberId, dest: int) -> bool:
        """Whether the table in force gives the destination to this member."""
        return self.table.owners.get(dest) == member.site and is_active_member(self.table, member)

    def row(self) -> Row:
        """The ledger as it is stored and sent to a member that has no records."""
        outstanding = [
            [dest, member.site, member.name, number]
            for dest, numbers in self.outstanding.items()
            for member, number in numbers.items()
        ]
        voter_sets = [
            [first_number, [[member.site, member.name] for member in voters]]
            for first_number, voters in self.voter_sets
        ]
        return [[table.document() for table in self.history], outstanding, voter_sets]


def is_active_member(table: Table, member: MemberId) -> bool:
    """Whether the table lists the member and does not mark it decommissioned."""
    return member in table.members(member.site) and member not in table.decommissioned


def active_members(table: Table) -> tuple[MemberId, ...]:
    """All members of the table that are not decommissioned, by site."""
    return tuple(
        member
        for site in sorted(table.sites)
        for member in table.members(site)
        if member not in table.decommissioned
    )


def initial_ledger(table: Table) -> Ledger:
    """The ledger of a federation that begins with this table."""
    return Ledger(table, (table,), {}, ((table.number, table.voters),))


def next_ledger(
    ledger: Ledger,
    table: Table,
    is_released: Callable[[int, MemberId, int], bool],
    oldest_number: int,
) -> Ledger:
    """The ledger once `table` is in force.

    `is_released(dest, member, number)`: whether this release is known to have been made. No member has a
    table below `oldest_number` in force.
    """
    previous = ledger.table
    outstanding = {
        owed_dest: {
            owing: number for owing, number in numbers.items() if not is_released(owed_dest, owing, number)
        }
        for owed_dest, numbers in ledger.outstanding.items()
    }
    for dest, site in previous.owners.items():
        stays_at_site = table.owners.get(dest) == site
        for member in previous.members(site):
            if member not in previous.decommissioned and not (
                stays_at_site and is_active_member(table, member)
            ):
                outstanding.setdefault(dest, {})[member] = table.number
    if table.decommissioned:
        outstanding = {
            owed_dest: {
                owing: number for owing, number in numbers.items() if owing not in table.decommissioned
            }
            for owed_dest, numbers in outstanding.items()
        }
    voter_sets = ledger.voter_sets
    if table.voters != previous.voters:
        voter_sets = (*voter_sets, (table.number, table.voters))
    while len(voter_sets) > 1 and voter_sets[1][0] <= oldest_number:
        voter_sets = voter_sets[1:]
    history = (*ledger.history, table)[-MAX_HISTORY_TABLES:]
    return Ledger(
        table,
        history,
        {owed_dest: numbers for owed_dest, numbers in outstanding.items() if numbers},
        voter_sets,
    )


def count_outstanding_after(ledger: Ledger, table: Table) -> int:
    """The largest possible number of outstanding releases once `table` is in force."""
    return sum(
        map(len, next_ledger(ledger, table, lambda dest, member, number: False, 0).outstanding.values())
    )


def read_ledger(row: Any) -> Ledger:
    """The ledger of a row. Raises ValueError with the name of the field."""
    if not isinstance(row, (list, tuple)) or len(row) != 3:
        raise ValueError("ledger: allowed: a list of three")
    tables, outstanding, voter_sets = row
    history = read_tables(tables)
    if not history:
        raise ValueError("ledger.tables: allowed: at least one")
    return Ledger(history[-1], history, read_outstanding(outstanding), _read_voter_sets(voter_sets))


def read_tables(rows: Any) -> tuple[Table, ...]:
    """The tables of a list of documents with consecutive numbers. Raises ValueError with the name of the
    field.
    """
    tables = []
    for document in read_list(rows, "tables", MAX_HISTORY_TABLES):
        try:
            tables.append(table_of(document))
        except TableUnfit as error:
            raise ValueError(f"tables: {error.what}") from None
    if any(following.number != previous.number + 1 for previous, following in itertools.pairwise(tables)):
        raise ValueError("tables: allowed: numbers one after the other")
    return tuple(tables)


def read_outstanding(rows: Any) -> dict[int, dict[MemberId, int]]:
    """Outstanding releases by destination and member. Raises ValueError with the name of the field."""
    outstanding: dict[int, dict[MemberId, int]] = {}
    for row in read_list(rows, "debts", MAX_OUTSTANDING_RELEASES):
        if not isinstance(row, (list, tuple)) or len(row) != 4:
            raise ValueError("debts: allowed: lists of four")
        dest, site, name, number = row
        member = MemberId(read_text(site, "debts.site"), read_text(name, "debts.name"))
        numbers = outstanding.setdefault(read_number(dest, "debts.dest", MAX_DESTINATION_NUMBER), {})
        numbers[member] = read_number(number, "debts.table", MAX_TABLE_NUMBER)
    return outstanding


def _read_voter_sets(rows: Any) -> tuple[tuple[int, tuple[MemberId, ...]], ...]:
    voter_sets = []
    for row in read_list(rows, "councils", MAX_VOTER_SETS):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError("councils: allowed: lists of two")
        first_number, voters = row
        members = tuple(
            read_member(member, "councils") for member in read_list(voters, "councils.voters", MAX_MEMBERS)
        )
        voter_sets.append((read_number(first_number, "councils.first", MAX_TABLE_NUMBER), members))
    return tuple(voter_sets)
