"""Which agreed table comes in force here next: one after the other, each on disk first."""

from __future__ import annotations

from dataclasses import replace

from madderbeam.federation.errors import FederationError, TableRefused, TablesDiffer
from madderbeam.federation.switchover.ledger import COUNCILS_MOST, DEBTS_MOST, Ledger, debts_after
from madderbeam.federation.switchover.messages import InForceReply
from madderbeam.federation.switchover.moves import version
from madderbeam.federation.switchover.ownership_registry import MemberStanding, OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_learning import standing_body
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import Table
from madderbeam.membership.values import Disseminate, Incarnation, LogLine

AGREED_MOST = 64  # tables that are agreed and wait for those between


class TableActivation:
    """`fresh`: nothing is on disk, and what the file says may be old. `candidate`: the ledger that is being
    written, and whether tables between were skipped."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        book: OwnershipRegistry,
        out: ActionBuffer,
        life: Incarnation,
        fresh: bool,
    ) -> None:
        self.settings, self.book, self.out, self.life, self.fresh = settings, book, out, life, fresh
        self.agreed: dict[int, Table] = {}
        self.candidate: tuple[Ledger, bool] | None = None
        self._told: MemberStanding | None = None

    def add(self, table: Table) -> None:
        """It is agreed; known before or older ones change nothing."""
        mine = self.book.table
        if table.number == mine.number and table.digest != mine.digest:
            what = f"table {mine.number} is {mine.digest} here, and {table.digest} was agreed"
            self.out.do(LogLine(what, TablesDiffer(what)))
        if table.number > mine.number and len(self.agreed) < AGREED_MOST:
            self.agreed.setdefault(table.number, table)

    def told(self, message: InForceReply) -> None:
        """Take what a member with newer tables told: those that come next, else its ledger."""
        whole = message.whole
        if whole is not None and self.candidate is None:
            above = whole.number - self.book.ledger.number
            if above > 1 or (above >= 0 and self.fresh):
                self.put(whole, True)
        for table in message.tables:
            self.add(table)

    def advance(self) -> bool:
        """Write the next table; False if tables are known and the next one is not. Who has nothing on disk
        learns first what is owed."""
        if not self.agreed or self.candidate is not None or self.fresh:
            return True
        table = self.agreed.get(self.book.ledger.number + 1)
        if table is not None:
            self.put(self.book.next(table), False)
        return table is not None

    def put(self, ledger: Ledger, skipped: bool) -> None:
        self.candidate = (ledger, skipped)
        self.out.write("force", "", ledger.row())

    def tidy(self) -> None:
        """All debts are paid: the table without them is what is to be kept."""
        if self.book.ledger.debts and self.candidate is None and not self.fresh:
            self.put(replace(self.book.ledger, debts={}), False)

    def written(self) -> tuple[Table, bool]:
        """The candidate is in force. Returns the table before, and whether some were skipped."""
        assert self.candidate is not None
        before, (ledger, skipped) = self.book.table, self.candidate
        self.book.ledger, self.candidate, self.fresh = ledger, None, False
        self.agreed = {n: t for n, t in self.agreed.items() if n > ledger.number}
        if ledger.table.proposal_id != before.proposal_id:
            self.book.since_us = self.out.now_us
        return before, skipped

    def announce(self, again: bool = False) -> None:
        """To all, once it is on disk: what is in force here, and whether a release is missed."""
        if self.fresh:
            return
        settled = next(self.book.all_missing(), None) is None
        standing = MemberStanding(self.book.ledger.number, settled, self.settings.lease_us)
        if standing != self._told or again:
            self._told = standing
            at = version(standing.number, self.life, int(settled))
            self.out.do(Disseminate("force", at, standing_body(standing), self.settings.keep_us))

    def objection(self, table: Table) -> FederationError | None:
        """What stands against staging this table here."""
        ledger, most = self.book.ledger, DEBTS_MOST // 2
        if len(ledger.councils) >= COUNCILS_MOST and table.voters != ledger.table.voters:
            return TableRefused(f"members may lease by {COUNCILS_MOST} sets of voters still", "sites")
        if table.number == ledger.number + 1 and debts_after(ledger, table) > most:
            return TableRefused(f"more than {most} releases would be due at once", "owners")
        return None
