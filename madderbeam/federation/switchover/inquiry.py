"""The question what is in force, after a start, a pause, or where a newer table is heard of.

A member whose question a majority of the voters of its table has answered knows every table that was agreed
before it asked, or a proposal that may have been: two majorities share a voter, and a voter tells what it has
accepted. A newer table's voters are asked in their turn.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from madderbeam.federation.leases.lease import is_majority
from madderbeam.federation.switchover.ledger import named
from madderbeam.federation.switchover.messages import (
    PENDING_MOST,
    InForceQuery,
    InForceReply,
    PendingProposal,
)
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.values import ProposalId, Table
from madderbeam.membership.values import Incarnation, MemberId


class ConsensusView(Protocol):
    """What the agreement part tells the switch part when it is asked, from what is on disk."""

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        """Proposals of which this voter has accepted something, and that are not known to be over."""
        ...

    def may_vote(self) -> bool:
        """This member's word counts as a voter's (its folder is not older than what it has said)."""
        ...

    def known_since(self, number: int) -> Sequence[Table]:
        """Agreed tables above the number, as far as they are kept."""
        ...


class NoConsensus:
    """No agreement: nothing is ever pending."""

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        return ()

    def may_vote(self) -> bool:
        return True

    def known_since(self, number: int) -> Sequence[Table]:
        return ()


def pending_of(council: ConsensusView, table: Table) -> tuple[PendingProposal, ...]:
    """What each proposal would change against the table in force."""
    found = []
    for proposal, other in list(council.pending())[:PENDING_MOST]:
        if proposal.number <= table.number:
            continue
        if other is None:
            found.append(PendingProposal(proposal, None))
            continue
        moves = frozenset(d for d, site in table.owners.items() if other.owners.get(d) != site)
        members = [m for site in table.sites for m in table.members(site)]
        found.append(PendingProposal(proposal, moves, frozenset(m for m in members if not named(other, m))))
    return tuple(found)


class InForceInquiry:
    """`holding`: all that another site could serve is held until the answer; `held`: only these are, because
    a proposal that is pending would move them."""

    def __init__(self, settings: SwitchoverSettings, me: MemberId, life: Incarnation) -> None:
        self.settings, self.me = settings, me
        self.asking = False
        self.holding = False
        self.held: frozenset[int] = frozenset()
        self.since_us = 0
        self.answers: dict[MemberId, InForceReply] = {}
        self.newest = 0  # table that any of them knows to be agreed
        self.heard_us: dict[MemberId, int] = {}
        self.ask = life.start << 24
        self.next_us = 0
        self._wait_us = settings.ask_us

    def begin(self, now_us: int, hold: bool) -> None:
        """Ask anew: what was answered before does not count."""
        if not self.asking:
            self.since_us = now_us
        self.asking = True
        self.holding = self.holding or hold
        self.round(now_us)

    def round(self, now_us: int) -> None:
        """A new question, at once."""
        self.ask += 1
        self.answers = {}
        self.next_us, self._wait_us = now_us, self.settings.ask_us

    def heard(self, member: MemberId, now_us: int, table: Table) -> None:
        if member in table.voters:
            self.heard_us[member] = now_us
            self.heard_us = self.heard_us if len(self.heard_us) <= MAX_MEMBERS else {member: now_us}

    def question(self, number: int, fresh: bool) -> InForceQuery:
        return InForceQuery(self.ask, number, fresh)

    def sent(self, now_us: int) -> None:
        self.next_us = now_us + self._wait_us
        self._wait_us = min(2 * self._wait_us, self.settings.ask_most_us)

    def unanswered(self, table: Table) -> list[MemberId]:
        return [v for v in table.voters if v not in self.answers]

    def answered(self, member: MemberId, message: InForceReply, table: Table) -> None:
        """One that knows of a newer table is asked again until that is in force here."""
        if self.asking and message.ask == self.ask and member in table.voters:
            self.newest = max(self.newest, message.number)
            if message.number <= table.number:
                self.answers[member] = message

    def told(self, table: Table) -> bool:
        """A majority has answered, each with no newer table (one of the others may know of one)."""
        return is_majority(table.voters, self.answers)

    def differing(self, book: OwnershipRegistry) -> list[MemberId]:
        """Who has another table under the number in force here."""
        here = (book.table.number, book.table.digest)
        return [m for m, a in self.answers.items() if a.number == here[0] and a.digest != here[1]]

    def pending(self) -> list[PendingProposal]:
        """Told by any of the voters that have answered, once each."""
        found: dict[ProposalId, PendingProposal] = {}
        for answer in self.answers.values():
            for p in answer.pending:
                if p.proposal not in found or found[p.proposal].moves is None:
                    found[p.proposal] = p
        return [found[proposal] for proposal in sorted(found)]

    def would_lose(self, pending: list[PendingProposal], table: Table) -> frozenset[int]:
        """What this member serves and another could, once one of these is agreed."""
        mine = frozenset(d for d, site in table.owners.items() if site == self.me.site)
        lost: frozenset[int] = frozenset()
        for p in pending:
            lost |= mine if p.moves is None or self.me in p.off else mine & p.moves
        return lost

    def done(self) -> None:
        self.asking = self.holding = False
        self.held = frozenset()

    def silent(self, table: Table) -> list[tuple[MemberId, int]]:
        """Voters that have not answered, with when they were last heard (0: never in this process)."""
        return [(v, self.heard_us.get(v, 0)) for v in self.unanswered(table)]
