"""Who owes a release of which destination, by the table in force and those before it.

A member owes a release of a destination from the first table on that takes it from it, whether it gives the
destination to another site or leaves the member out. A later debt of the same member takes the place of an
earlier one, since a release under a later table covers both. So a chain of any length is a few numbers, not a
row of tables.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.errors import TableUnfit
from madderbeam.federation.switchover.release_records import (
    DEST_MOST,
    NUMBER_MOST,
    listed,
    member_of,
    number,
    text,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.table import read_table as table_of
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId, Row

HISTORY_MOST = 8  # tables kept, the one in force included
DEBTS_MOST = 100_000  # (destination, member) pairs: no further table is staged beyond
COUNCILS_MOST = 64  # different sets of voters kept, likewise

Outstanding = Mapping[int, Mapping[MemberId, int]]


@dataclass(frozen=True)
class Ledger:
    """What is kept of the tables. `debts`: by destination and member, the table that took it from it.
    `councils`: the voters, each with the first table that had them (leases are renewed by them)."""

    table: Table
    history: tuple[Table, ...]
    debts: Outstanding
    councils: tuple[tuple[int, tuple[MemberId, ...]], ...]

    @property
    def number(self) -> int:
        return self.table.number

    def entitled(self, me: MemberId, dest: int) -> bool:
        """The table in force gives the destination to this member."""
        return self.table.owners.get(dest) == me.site and named(self.table, me)

    def row(self) -> Row:
        """As it is kept on disk and told to a member that starts from nothing."""
        debts = [[d, m.site, m.name, n] for d, owed in self.debts.items() for m, n in owed.items()]
        councils = [[first, [[m.site, m.name] for m in voters]] for first, voters in self.councils]
        return [[t.document() for t in self.history], debts, councils]


def named(table: Table, member: MemberId) -> bool:
    """The member has a part in the table."""
    return member in table.members(member.site) and member not in table.decommissioned


def everyone(table: Table) -> tuple[MemberId, ...]:
    return tuple(
        m for site in sorted(table.sites) for m in table.members(site) if m not in table.decommissioned
    )


def first(table: Table) -> Ledger:
    """Of a federation that begins with this table."""
    return Ledger(table, (table,), {}, ((table.number, table.voters),))


def after(
    ledger: Ledger,
    table: Table,
    paid: Callable[[int, MemberId, int], bool],
    oldest: int,
) -> Ledger:
    """Once `table` is in force. `paid(dest, member, number)`: this debt is known to be settled; no member
    has a table below `oldest` in force."""
    before = ledger.table
    debts = {d: {m: n for m, n in owed.items() if not paid(d, m, n)} for d, owed in ledger.debts.items()}
    for dest, site in before.owners.items():
        stays = table.owners.get(dest) == site
        for member in before.members(site):
            if member not in before.decommissioned and not (stays and named(table, member)):
                debts.setdefault(dest, {})[member] = table.number
    if table.decommissioned:
        debts = {
            d: {m: n for m, n in owed.items() if m not in table.decommissioned} for d, owed in debts.items()
        }
    councils = ledger.councils
    if table.voters != before.voters:
        councils = (*councils, (table.number, table.voters))
    while len(councils) > 1 and councils[1][0] <= oldest:
        councils = councils[1:]
    history = (*ledger.history, table)[-HISTORY_MOST:]
    return Ledger(table, history, {d: owed for d, owed in debts.items() if owed}, councils)


def debts_after(ledger: Ledger, table: Table) -> int:
    """How many debts there can be once `table` is in force."""
    return sum(map(len, after(ledger, table, lambda d, m, n: False, 0).debts.values()))


def read(row: Any) -> Ledger:
    """Of its row. Raises ValueError that names the field."""
    if not isinstance(row, (list, tuple)) or len(row) != 3:
        raise ValueError("ledger: allowed: a list of three")
    tables, owed, councils = row
    history = tables_of(tables)
    if not history:
        raise ValueError("ledger.tables: allowed: at least one")
    return Ledger(history[-1], history, debts_of(owed), _councils(councils))


def tables_of(rows: Any) -> tuple[Table, ...]:
    """Each a document, every number one above that before it. Raises ValueError that names the field."""
    tables = []
    for document in listed(rows, "tables", HISTORY_MOST):
        try:
            tables.append(table_of(document))
        except TableUnfit as error:
            raise ValueError(f"tables: {error.what}") from None
    if any(b.number != a.number + 1 for a, b in itertools.pairwise(tables)):
        raise ValueError("tables: allowed: numbers one after the other")
    return tuple(tables)


def debts_of(rows: Any) -> dict[int, dict[MemberId, int]]:
    """Raises ValueError that names the field."""
    debts: dict[int, dict[MemberId, int]] = {}
    for row in listed(rows, "debts", DEBTS_MOST):
        if not isinstance(row, (list, tuple)) or len(row) != 4:
            raise ValueError("debts: allowed: lists of four")
        dest, site, name, table = row
        member = MemberId(text(site, "debts.site"), text(name, "debts.name"))
        owed = debts.setdefault(number(dest, "debts.dest", DEST_MOST), {})
        owed[member] = number(table, "debts.table", NUMBER_MOST)
    return debts


def _councils(rows: Any) -> tuple[tuple[int, tuple[MemberId, ...]], ...]:
    found = []
    for row in listed(rows, "councils", COUNCILS_MOST):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError("councils: allowed: lists of two")
        start, voters = row
        members = tuple(member_of(m, "councils") for m in listed(voters, "councils.voters", MAX_MEMBERS))
        found.append((number(start, "councils.first", NUMBER_MOST), members))
    return tuple(found)
