"""How a member that missed an agreed table gets it, and how differing first tables are detected."""

from __future__ import annotations

from random import Random

from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.messages import AgreedTable, CatchUpRequest, Decided, read_digest
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.errors import TablesDiffer, TableUnfit
from madderbeam.federation.table import MAX_TABLE_NUMBER, all_members, read_table
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId

MAX_MEMBERS_REPORTED = 64  # members whose differing table is logged


class CatchUp:
    """Requests missing tables. `wanted_number`: the highest number that is known to be agreed."""

    def __init__(self, outbox: Outbox, rng: Random, agreed_tables: AgreedTables, retry_us: int) -> None:
        self.outbox, self.rng, self.agreed_tables, self.retry_us = outbox, rng, agreed_tables, retry_us
        self.wanted_number = 0
        self._is_waiting = False
        self._reported: set[MemberId] = set()

    def latest_decided(self) -> Decided:
        """The notification of the latest agreed table that is on disk here."""
        table = self.agreed_tables.tables[self.agreed_tables.written_number]
        return Decided(table.number, table.digest, ())

    def request(self, member: MemberId, number: int) -> None:
        """Request the tables up to `number` from a member that knows them, later from others if need be."""
        self.wanted_number = max(self.wanted_number, number)
        self.outbox.send(member, CatchUpRequest(self.agreed_tables.latest.number))
        if not self._is_waiting:
            self._is_waiting = True
            self.outbox.timer(self.retry_us, "want")

    def on_retry_due(self) -> None:
        """Request what is still missing from a random other member."""
        self._is_waiting = False
        if self.wanted_number <= self.agreed_tables.latest.number:
            return
        others = [m for m in all_members(self.agreed_tables.latest) if m != self.outbox.local_member]
        if others:
            self.request(self.rng.choice(others), self.wanted_number)

    def rearm(self) -> None:
        """A failed write may have dropped the timer: set it again."""
        if self._is_waiting:
            self.outbox.timer(self.retry_us, "want")

    def on_catch_up_request(self, member: MemberId, message: CatchUpRequest) -> None:
        """Send the agreed tables above the requested number."""
        after = message.number
        for table in self.agreed_tables.since(message.number):
            self.outbox.send(member, AgreedTable(after, table.document()))
            after = table.number

    def on_decided(self, member: MemberId, message: Decided, staged: Table | None) -> Table | None:
        """The table to adopt, if its document is here; else it is requested."""
        latest = self.agreed_tables.latest
        if message.number > latest.number:
            if staged is not None and message.number == latest.number + 1:
                return staged
            self.request(member, message.number)
            return None
        own_table = self.agreed_tables.get(message.number)
        if own_table is not None and own_table.digest != message.digest:
            self.report_difference(member, message.number, message.digest)
        elif message.number < self.agreed_tables.written_number:
            self.outbox.send(member, self.latest_decided())
        return None

    def on_agreed_table(self, message: AgreedTable) -> Table | None:
        """The table to adopt, if it is newer and no available table before it is skipped."""
        if message.after > self.agreed_tables.latest.number:
            return None
        try:
            table = read_table(message.document)
        except TableUnfit as error:
            self.outbox.log("received an agreed table that is malformed", error)
            return None
        return table if table.number > self.agreed_tables.latest.number else None

    def on_gossip(self, owner: MemberId, body: bytes) -> None:
        """A gossip entry with number and digest of the owner's latest agreed table; ignored if malformed."""
        number_text, _, digest = body.decode("ascii", "replace").partition(":")
        try:
            read_digest(digest)
            number = int(number_text)
        except ValueError:
            return
        own_table = self.agreed_tables.get(number)
        if self.agreed_tables.latest.number < number <= MAX_TABLE_NUMBER:
            self.request(owner, number)
        elif own_table is not None and own_table.digest != digest:
            self.report_difference(owner, number, digest)

    def report_difference(self, member: MemberId, number: int, digest: str) -> None:
        """Log, once for each member, that it has another table with the same number."""
        own_table = self.agreed_tables.get(number)
        if member in self._reported or len(self._reported) >= MAX_MEMBERS_REPORTED:
            return
        self._reported.add(member)
        own_proposal = own_table.proposal_id if own_table is not None else "another"
        description = f"{member} has table {number}-{digest}, {self.outbox.local_member} has {own_proposal}"
        self.outbox.log(f"no table can be agreed with {member}", TablesDiffer(description))
