"""The tables that operators proposed at this member and that have no outcome yet, stored on disk."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.consensus.messages import read_slot, to_plain
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Slot, Vote, error_of
from madderbeam.federation.errors import FederationError, Superseded, TableRefused, WordUnwritten
from madderbeam.federation.table import check_successor, read_table
from madderbeam.federation.values import ProposalOutcome, Table

MAX_PROPOSALS = 4
REWRITE_DELAY_US = 1_000_000


@dataclass(frozen=True)
class PendingProposal:
    """A proposal. `claimed_slot`: the slot for which this member asked the voters to accept it, if it did."""

    table: Table
    claimed_slot: Slot | None = None


class Proposals:
    """Only the newest proposal is pursued; earlier ones that were claimed wait for their outcome."""

    def __init__(self, outbox: Outbox, records: Mapping[tuple[str, str], Any]) -> None:
        self.outbox = outbox
        self.pending: dict[str, PendingProposal] = {}  # by digest
        self._first_claimed: str | None = None  # the proposal that the last write claimed for the first time
        self._completed: dict[str, ProposalOutcome] = {}  # reported once their records are removed
        self._newly_completed: list[str] = []
        rows = [value for (kind, _), value in records.items() if kind == "offer"]
        for row in sorted(rows, key=lambda r: int(r["count"])):
            table = read_table(row["document"])
            self.pending[table.digest] = PendingProposal(
                table, read_slot(row["claimed"]) if row["claimed"] else None
            )
        self._write_count = max((int(row["count"]) for row in rows), default=0)

    @property
    def newest(self) -> Table | None:
        """The table of the newest pending proposal."""
        return next(reversed(self.pending.values())).table if self.pending else None

    def table(self, digest: str) -> Table | None:
        """The pending proposal's table of this digest."""
        return self.pending[digest].table if digest in self.pending else None

    def add(self, table: Table, base: Table) -> bool:
        """Whether to pursue the proposal now; if not, it is pending already or its outcome is reported."""
        if table.digest == base.digest:
            self.outbox.add(ProposalOutcome(table.proposal_id, True, None))
            return False
        refused = check_successor(table, base)
        is_full = len(self.pending) + len(self._completed) >= MAX_PROPOSALS
        if refused is None and is_full and table.digest not in self.pending:
            refused = TableRefused(f"{MAX_PROPOSALS} tables are pending here", "offer")
        if refused is not None:
            self.outbox.add(ProposalOutcome(table.proposal_id, False, refused))
            return False
        if self.newest is not None and self.newest.digest == table.digest:
            return False
        if table.digest in self._completed:  # proposed again: the new record replaces the one to be removed
            self.outbox.add(self._completed.pop(table.digest))
        previous = self.pending.pop(table.digest, PendingProposal(table))
        for digest, proposal in list(self.pending.items()):
            if proposal.claimed_slot is None:
                description = f"table {proposal.table.proposal_id} was replaced by {table.proposal_id}"
                self._complete(digest, Superseded(description))
        self.pending[table.digest] = previous
        self._persist(table.digest)
        return True

    def claim(self, digest: str, slot: Slot) -> None:
        """Record the claim before the voters are asked, so that a restart knows that it may be agreed."""
        previous = self.pending[digest]
        self._first_claimed = None if previous.claimed_slot is not None else digest
        self.pending[digest] = PendingProposal(previous.table, slot)
        self._persist(digest)

    def on_write_failed(self, digest: str) -> bool:
        """Whether a pending proposal's record was lost. It fails if no voter was asked to accept it yet."""
        proposal = self.pending.get(digest)
        if proposal is None:
            self.outbox.timer(REWRITE_DELAY_US, "sweep")
            return False
        if proposal.claimed_slot is None or self._first_claimed == digest:
            description = (
                f"the disk of {self.outbox.local_member} did not take table {proposal.table.proposal_id}"
            )
            self._complete(digest, WordUnwritten(description))
        return True

    def remove_completed(self, again: bool = False) -> None:
        """Remove the records of proposals that this event completed; `again`: of all completed ones."""
        for digest in list(self._completed) if again else self._newly_completed:
            self.outbox.persist("offer", digest, None)
            self.outbox.timer(0, f"ended/{digest}")
        self._newly_completed.clear()

    def rearm(self) -> None:
        """A failed write may have dropped a removal: repeat it later."""
        if self._completed:
            self.outbox.timer(REWRITE_DELAY_US, "sweep")

    def on_record_removed(self, token: str) -> None:
        """The record is removed: report the outcome, which a restart can no longer change."""
        outcome = self._completed.pop(token.removeprefix("ended/"), None)
        if outcome is not None:
            self.outbox.add(outcome)

    def on_slot_aborted(self, slot: Slot, digest: str, votes: tuple[Vote, ...]) -> None:
        """The slot's claim was this digest and is rejected. Other proposals claimed for it may try again."""
        if digest in self.pending:
            self._complete(digest, error_of(votes))
        for other, proposal in self.pending.items():
            if proposal.claimed_slot == slot:
                self.pending[other] = PendingProposal(proposal.table)

    def on_slot_opened(self, slot: Slot) -> None:
        """Proposals claimed for an earlier slot were rejected or lost to another; it is unknown which."""
        for digest, proposal in list(self.pending.items()):
            if (
                proposal.claimed_slot is not None
                and proposal.claimed_slot.number == slot.number
                and proposal.claimed_slot < slot
            ):
                description = (
                    f"table {proposal.table.proposal_id} was turned down, or gave way to another offer"
                )
                self._complete(digest, Superseded(description))

    def abandon_unclaimed(self, digest: str, error: FederationError) -> None:
        """Give up a proposal, if it was never claimed."""
        if digest in self.pending and self.pending[digest].claimed_slot is None:
            self._complete(digest, error)

    def on_agreed(self, table: Table, agreed_table: Callable[[int], Table | None]) -> None:
        """Complete the proposals up to the agreed table. `agreed_table`: that of a number, if stored."""
        for digest, proposal in list(self.pending.items()):
            number, proposal_id = proposal.table.number, proposal.table.proposal_id
            agreed = agreed_table(number)
            if number > table.number:
                continue
            if agreed is None:
                self._complete(
                    digest, Superseded(f"table {table.proposal_id} is agreed; {proposal_id} was missed here")
                )
            elif agreed.digest == digest:
                self._complete(digest, None)
            else:
                self._complete(
                    digest, Superseded(f"table {agreed.proposal_id} came before table {proposal_id}")
                )

    def _complete(self, digest: str, error: FederationError | None) -> None:
        proposal = self.pending.pop(digest)
        self._newly_completed.append(digest)
        self._completed[digest] = ProposalOutcome(proposal.table.proposal_id, error is None, error)

    def _persist(self, digest: str) -> None:
        proposal, self._write_count = self.pending[digest], self._write_count + 1
        row = {
            "count": self._write_count,
            "document": proposal.table.document(),
            "claimed": to_plain(proposal.claimed_slot),
        }
        self.outbox.persist("offer", digest, row)
