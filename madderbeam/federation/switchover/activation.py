"""Brings agreed tables in force one after the other, each written to disk first."""

from __future__ import annotations

from dataclasses import replace

from madderbeam.federation.errors import FederationError, TableRefused, TablesDiffer
from madderbeam.federation.switchover.ledger import (
    MAX_OUTSTANDING_RELEASES,
    MAX_VOTER_SETS,
    Ledger,
    count_outstanding_after,
)
from madderbeam.federation.switchover.messages import InForceReply
from madderbeam.federation.switchover.moves import gossip_version
from madderbeam.federation.switchover.ownership_registry import MemberStanding, OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_learning import standing_body
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import Table
from madderbeam.membership.values import Disseminate, Incarnation, LogLine

MAX_AGREED_TABLES = 64  # agreed tables that wait until those before them are in force


class TableActivation:
    """Decides which table comes in force next, and announces it.

    `has_no_record`: no table is on disk here, and the one of the configuration file may be out of date.
    `agreed`: later tables by number. `candidate`: the ledger that is being written, and whether it skips
    tables.
    """

    def __init__(
        self,
        settings: SwitchoverSettings,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        incarnation: Incarnation,
        has_no_record: bool,
    ) -> None:
        self.settings, self.registry, self.actions, self.incarnation, self.has_no_record = (
            settings,
            registry,
            actions,
            incarnation,
            has_no_record,
        )
        self.agreed: dict[int, Table] = {}
        self.candidate: tuple[Ledger, bool] | None = None
        self._announced: MemberStanding | None = None

    def add(self, table: Table) -> None:
        """Add an agreed table; one that is known or older changes nothing. Logs an error if the table in
        force here has the same number and another content.
        """
        current = self.registry.table
        if table.number == current.number and table.digest != current.digest:
            text = f"table {current.number} has digest {current.digest} here, but {table.digest} was agreed"
            self.actions.add(LogLine(text, TablesDiffer(text)))
        if table.number > current.number and len(self.agreed) < MAX_AGREED_TABLES:
            self.agreed.setdefault(table.number, table)

    def on_reply(self, reply: InForceReply) -> None:
        """Take the tables of a member that is ahead: the consecutive ones if possible, else its ledger."""
        ledger = reply.ledger
        if ledger is not None and self.candidate is None:
            distance = ledger.number - self.registry.ledger.number
            if distance > 1 or (distance >= 0 and self.has_no_record):
                self.write(ledger, True)
        for table in reply.tables:
            self.add(table)

    def advance(self) -> bool:
        """Write the next table. Returns False if a later table is known but not the next one.

        A member without records first learns the outstanding releases from replies.
        """
        if not self.agreed or self.candidate is not None or self.has_no_record:
            return True
        table = self.agreed.get(self.registry.ledger.number + 1)
        if table is not None:
            self.write(self.registry.next_ledger(table), False)
        return table is not None

    def write(self, ledger: Ledger, skipped_tables: bool) -> None:
        """Write the ledger of the table that comes in force next."""
        self.candidate = (ledger, skipped_tables)
        self.actions.write("force", "", ledger.row())

    def write_without_outstanding(self) -> None:
        """Write the ledger again without its outstanding releases, once all have been made."""
        if self.registry.ledger.outstanding and self.candidate is None and not self.has_no_record:
            self.write(replace(self.registry.ledger, outstanding={}), False)

    def on_written(self) -> tuple[Table, bool]:
        """The candidate is on disk and comes in force. Returns the previous table, and whether tables were
        skipped.
        """
        assert self.candidate is not None
        previous, (ledger, skipped_tables) = self.registry.table, self.candidate
        self.registry.ledger, self.candidate, self.has_no_record = ledger, None, False
        self.agreed = {number: table for number, table in self.agreed.items() if number > ledger.number}
        if ledger.table.proposal_id != previous.proposal_id:
            self.registry.in_force_since_us = self.actions.now_us
        return previous, skipped_tables

    def announce(self, again: bool = False) -> None:
        """Disseminate the table in force and whether a release is missing; `again`: even if nothing has
        changed.
        """
        if self.has_no_record:
            return
        is_settled = next(self.registry.all_missing_releases(), None) is None
        standing = MemberStanding(self.registry.ledger.number, is_settled, self.settings.lease_us)
        if standing != self._announced or again:
            self._announced = standing
            version = gossip_version(standing.number, self.incarnation, revision=int(is_settled))
            self.actions.add(
                Disseminate("force", version, standing_body(standing), self.settings.gossip_retention_us)
            )

    def objection(self, table: Table) -> FederationError | None:
        """Why this table must not be staged here, or None."""
        ledger, max_outstanding = self.registry.ledger, MAX_OUTSTANDING_RELEASES // 2
        if len(ledger.voter_sets) >= MAX_VOTER_SETS and table.voters != ledger.table.voters:
            return TableRefused(f"members may lease by {MAX_VOTER_SETS} sets of voters still", "sites")
        if table.number == ledger.number + 1 and count_outstanding_after(ledger, table) > max_outstanding:
            return TableRefused(f"more than {max_outstanding} releases would be due at once", "owners")
        return None
