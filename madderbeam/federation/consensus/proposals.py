"""The tables that operators offered at this member and that have no outcome yet, kept on disk."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.consensus.messages import slot_of, to_plain
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Slot, Vote, error_of
from madderbeam.federation.errors import FederationError, Superseded, TableRefused, WordUnwritten
from madderbeam.federation.table import check, read
from madderbeam.federation.values import ProposalOutcome, Table

OFFERS_MOST = 4
REWRITE_US = 1_000_000


@dataclass(frozen=True)
class PendingProposal:
    """An offer; `claimed`: the slot for which this member asked the voters to take it, if it did."""

    table: Table
    claimed: Slot | None = None


class Proposals:
    """Only the newest is pushed; earlier ones that were claimed wait for what becomes of them."""

    def __init__(self, out: Outbox, records: Mapping[tuple[str, str], Any]) -> None:
        self.out = out
        self.pending: dict[str, PendingProposal] = {}
        self._claiming: str | None = None  # claimed for the first time by the last write
        self._ended: dict[str, ProposalOutcome] = {}  # told once their records are gone from the disk
        self._fresh: list[str] = []
        rows = [value for (kind, _), value in records.items() if kind == "offer"]
        for row in sorted(rows, key=lambda r: int(r["count"])):
            table = read(row["document"])
            self.pending[table.digest] = PendingProposal(
                table, slot_of(row["claimed"]) if row["claimed"] else None
            )
        self._count = max((int(row["count"]) for row in rows), default=0)

    @property
    def newest(self) -> Table | None:
        return next(reversed(self.pending.values())).table if self.pending else None

    def table(self, digest: str) -> Table | None:
        """An offer's table."""
        return self.pending[digest].table if digest in self.pending else None

    def add(self, table: Table, base: Table) -> bool:
        """Whether it is to be pushed now; else it is pending already, or has had its outcome."""
        if table.digest == base.digest:
            self.out.give(ProposalOutcome(table.proposal, True, None))
            return False
        refused = check(table, base)
        full = len(self.pending) + len(self._ended) >= OFFERS_MOST
        if refused is None and full and table.digest not in self.pending:
            refused = TableRefused(f"{OFFERS_MOST} tables are pending here", "offer")
        if refused is not None:
            self.out.give(ProposalOutcome(table.proposal, False, refused))
            return False
        if self.newest is not None and self.newest.digest == table.digest:
            return False
        if table.digest in self._ended:  # offered anew: its record is written over
            self.out.give(self._ended.pop(table.digest))
        former = self.pending.pop(table.digest, PendingProposal(table))
        for digest, offer in list(self.pending.items()):
            if offer.claimed is None:
                what = f"table {offer.table.proposal} was replaced by {table.proposal}"
                self._end(digest, Superseded(what))
        self.pending[table.digest] = former
        self._keep(table.digest)
        return True

    def claim(self, digest: str, slot: Slot) -> None:
        """Written down before the voters are asked: after a restart it is known what was risked."""
        former = self.pending[digest]
        self._claiming = None if former.claimed is not None else digest
        self.pending[digest] = PendingProposal(former.table, slot)
        self._keep(digest)

    def on_unwritten(self, digest: str) -> bool:
        """Whether a pending offer's record was lost. If no voter was asked to take it yet, it is over."""
        offer = self.pending.get(digest)
        if offer is None:
            self.out.timer(REWRITE_US, "sweep")
            return False
        if offer.claimed is None or self._claiming == digest:
            what = f"the disk of {self.out.me} did not take table {offer.table.proposal}"
            self._end(digest, WordUnwritten(what))
        return True

    def sweep(self, again: bool = False) -> None:
        """Forget the records of what is over, at the end of a turn. `again`: those of earlier turns too."""
        for digest in list(self._ended) if again else self._fresh:
            self.out.persist("offer", digest, None)
            self.out.timer(0, f"ended/{digest}")
        self._fresh.clear()

    def rearm(self) -> None:
        if self._ended:
            self.out.timer(REWRITE_US, "sweep")

    def on_forgotten(self, token: str) -> None:
        """Its record is gone: now its outcome is told, and does not change by a restart."""
        outcome = self._ended.pop(token.removeprefix("ended/"), None)
        if outcome is not None:
            self.out.give(outcome)

    def over(self, slot: Slot, digest: str, words: tuple[Vote, ...]) -> None:
        """The slot was for this digest, and was turned down. What else was claimed for it may try again."""
        if digest in self.pending:
            self._end(digest, error_of(words))
        for other, offer in self.pending.items():
            if offer.claimed == slot:
                self.pending[other] = PendingProposal(offer.table)

    def opened(self, slot: Slot) -> None:
        """What was claimed for an earlier slot was turned down or lost to another: it is not known which."""
        for digest, offer in list(self.pending.items()):
            if offer.claimed is not None and offer.claimed.number == slot.number and offer.claimed < slot:
                what = f"table {offer.table.proposal} was turned down, or gave way to another offer"
                self._end(digest, Superseded(what))

    def unclaimed(self, digest: str, error: FederationError) -> None:
        """It was never claimed and is given up."""
        if digest in self.pending and self.pending[digest].claimed is None:
            self._end(digest, error)

    def agreed(self, table: Table, known: Callable[[int], Table | None]) -> None:
        """`known`: the agreed table of a number, where it is still known."""
        for digest, offer in list(self.pending.items()):
            number, own = offer.table.number, offer.table.proposal
            first = known(number)
            if number > table.number:
                continue
            if first is None:
                self._end(digest, Superseded(f"table {table.proposal} is agreed; {own} was missed here"))
            elif first.digest == digest:
                self._end(digest, None)
            else:
                self._end(digest, Superseded(f"table {first.proposal} came before table {own}"))

    def _end(self, digest: str, error: FederationError | None) -> None:
        offer = self.pending.pop(digest)
        self._fresh.append(digest)
        self._ended[digest] = ProposalOutcome(offer.table.proposal, error is None, error)

    def _keep(self, digest: str) -> None:
        offer, self._count = self.pending[digest], self._count + 1
        row = {
            "count": self._count,
            "document": offer.table.document(),
            "claimed": to_plain(offer.claimed),
        }
        self.out.persist("offer", digest, row)
