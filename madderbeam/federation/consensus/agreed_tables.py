"""The agreed tables that this member knows: the last eight, each written down before it counts as known."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.table import read
from madderbeam.federation.values import Table, TableAgreed
from madderbeam.membership.values import Disseminate

KEPT = 8
REWRITE_US = 1_000_000


class AgreedTables:
    """`latest` is decided, if perhaps not on disk here yet; `written` says what is."""

    def __init__(self, out: Outbox, records: Mapping[tuple[str, str], Any], first: Table) -> None:
        self.out = out
        self.tables: dict[int, Table] = {first.number: first}
        for (kind, _), document in records.items():
            if kind == "agreed":
                table = read(document)
                self.tables[table.number] = table
        self.latest = self.tables[max(self.tables)]
        self.written = self.latest.number
        self._unwritten: set[int] = set()

    def since(self, number: int) -> list[Table]:
        """The agreed tables above `number` that are still kept and on disk, in their order."""
        return [self.tables[n] for n in sorted(self.tables) if n > number and n not in self._unwritten]

    def get(self, number: int) -> Table | None:
        return self.tables.get(number)

    def add(self, table: Table) -> None:
        """The word of it waits until it is on disk: see on_written."""
        self.tables[table.number] = self.latest = table
        for number in sorted(self.tables)[:-KEPT]:
            del self.tables[number]
            self._unwritten.discard(number)
            self.out.persist("agreed", str(number), None)
        self._unwritten.add(table.number)
        self._write(table)

    def tell(self, table: Table) -> None:
        """For the switch part, and for all; at a start whether it was told before or not."""
        self.out.give(TableAgreed(table))
        self._spread(table)

    def on_written(self, token: str) -> Table | None:
        """The table that is now known for good, if it is news."""
        number = int(token.removeprefix("known/"))
        self._unwritten.discard(number)
        table = self.tables.get(number)
        if table is None or number <= self.written:
            return None
        self.written = number
        return table

    def rearm(self) -> None:
        """Something was lost: perhaps the record, perhaps the news."""
        if self._unwritten:
            self.out.timer(REWRITE_US, "rewrite")
        self._spread(self.tables[self.written])

    def rewrite(self) -> None:
        for number in sorted(self._unwritten):
            self._write(self.tables[number])

    def _write(self, table: Table) -> None:
        self.out.persist("agreed", str(table.number), table.document())
        self.out.timer(0, f"known/{table.number}")

    def _spread(self, table: Table) -> None:
        body = f"{table.number}:{table.digest}".encode()
        self.out.give(Disseminate("table", table.number, body))
