"""The agreed tables that this member knows: the latest eight, each written to disk before it is announced."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.table import read_table
from madderbeam.federation.values import Table, TableAgreed
from madderbeam.membership.values import Disseminate

MAX_TABLES_KEPT = 8
REWRITE_DELAY_US = 1_000_000


class AgreedTables:
    """`latest` is agreed but may not be on disk here yet; `written_number` is the highest that is."""

    def __init__(self, outbox: Outbox, records: Mapping[tuple[str, str], Any], first_table: Table) -> None:
        self.outbox = outbox
        self.tables: dict[int, Table] = {first_table.number: first_table}
        for (kind, _), document in records.items():
            if kind == "agreed":
                table = read_table(document)
                self.tables[table.number] = table
        self.latest = self.tables[max(self.tables)]
        self.written_number = self.latest.number
        self._unwritten: set[int] = set()

    def since(self, number: int) -> list[Table]:
        """The stored tables above `number` that are on disk, in ascending order."""
        return [self.tables[n] for n in sorted(self.tables) if n > number and n not in self._unwritten]

    def get(self, number: int) -> Table | None:
        """The agreed table of a number, if it is still stored."""
        return self.tables.get(number)

    def add(self, table: Table) -> None:
        """Store an agreed table. It is announced once it is on disk: see on_written."""
        self.tables[table.number] = self.latest = table
        for number in sorted(self.tables)[:-MAX_TABLES_KEPT]:
            del self.tables[number]
            self._unwritten.discard(number)
            self.outbox.persist("agreed", str(number), None)
        self._unwritten.add(table.number)
        self._persist(table)

    def announce(self, table: Table) -> None:
        """Pass the table to the switchover part and disseminate it; a restart announces it again."""
        self.outbox.add(TableAgreed(table))
        self._disseminate(table)

    def on_written(self, token: str) -> Table | None:
        """The table that is now on disk, if it is newer than those written before."""
        number = int(token.removeprefix("known/"))
        self._unwritten.discard(number)
        table = self.tables.get(number)
        if table is None or number <= self.written_number:
            return None
        self.written_number = number
        return table

    def rearm(self) -> None:
        """A write failed and later actions were dropped: perhaps the record, perhaps the dissemination."""
        if self._unwritten:
            self.outbox.timer(REWRITE_DELAY_US, "rewrite")
        self._disseminate(self.tables[self.written_number])

    def rewrite(self) -> None:
        """Write the tables again that are not on disk yet."""
        for number in sorted(self._unwritten):
            self._persist(self.tables[number])

    def _persist(self, table: Table) -> None:
        self.outbox.persist("agreed", str(table.number), table.document())
        self.outbox.timer(0, f"known/{table.number}")

    def _disseminate(self, table: Table) -> None:
        body = f"{table.number}:{table.digest}".encode()
        self.outbox.add(Disseminate("table", table.number, body))
