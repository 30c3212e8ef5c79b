"""The inquiry: which table is in force, asked after a start, a pause, or on signs of a newer table.

Once a majority of the voters of its table has replied, a member knows every table that was agreed before it
asked, or a proposal that may have been agreed: any two majorities share a voter, and a voter reports what it
has accepted. If a newer table comes in force, its voters are queried as well.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from madderbeam.federation.leases.lease import is_majority
from madderbeam.federation.switchover.ledger import is_active_member
from madderbeam.federation.switchover.messages import (
    MAX_PENDING_PROPOSALS,
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
    """What the switchover reads from the agreement part; all of it is on disk."""

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        """Proposals of which this voter has accepted something and whose outcome it does not know."""
        ...

    def may_vote(self) -> bool:
        """Whether this member's replies count as a voter's: its state was not restored from an older copy."""
        ...

    def known_since(self, number: int) -> Sequence[Table]:
        """The agreed tables above the number, as far as they are still stored."""
        ...


class NoConsensus:
    """A view without agreement: nothing is ever pending."""

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        """No proposals."""
        return ()

    def may_vote(self) -> bool:
        """Always true."""
        return True

    def known_since(self, number: int) -> Sequence[Table]:
        """No tables."""
        return ()


def pending_proposals(consensus: ConsensusView, table: Table) -> tuple[PendingProposal, ...]:
    """What each pending proposal would change, compared with the table in force."""
    proposals = []
    for proposal, proposed in list(consensus.pending())[:MAX_PENDING_PROPOSALS]:
        if proposal.number <= table.number:
            continue
        if proposed is None:
            proposals.append(PendingProposal(proposal, None))
            continue
        moved_destinations = frozenset(
            dest for dest, site in table.owners.items() if proposed.owners.get(dest) != site
        )
        members = [member for site in table.sites for member in table.members(site)]
        proposals.append(
            PendingProposal(
                proposal,
                moved_destinations,
                frozenset(member for member in members if not is_active_member(proposed, member)),
            )
        )
    return tuple(proposals)


class InForceInquiry:
    """The state of the inquiry, with one request at a time.

    `is_active`: the inquiry runs. `suspends_all`: serving is suspended until it has ended;
    `suspended_destinations`: only these are, because a pending proposal would move them. `newest_number`: of
    the newest table that any voter knows to be agreed.
    """

    def __init__(
        self, settings: SwitchoverSettings, local_member: MemberId, incarnation: Incarnation
    ) -> None:
        self.settings, self.local_member = settings, local_member
        self.is_active = False
        self.suspends_all = False
        self.suspended_destinations: frozenset[int] = frozenset()
        self.since_us = 0
        self.replies: dict[MemberId, InForceReply] = {}
        self.newest_number = 0  # of the agreed tables that replies have named
        self.last_heard_us: dict[MemberId, int] = {}
        self.request_id = incarnation.start << 24
        self.next_query_us = 0
        self._retry_us = settings.query_retry_us

    def begin(self, now_us: int, suspend_all: bool) -> None:
        """Start the inquiry, or start it over: earlier replies no longer count."""
        if not self.is_active:
            self.since_us = now_us
        self.is_active = True
        self.suspends_all = self.suspends_all or suspend_all
        self.restart(now_us)

    def restart(self, now_us: int) -> None:
        """Use a new request number and query all voters at once; replies to earlier requests no longer
        count.
        """
        self.request_id += 1
        self.replies = {}
        self.next_query_us, self._retry_us = now_us, self.settings.query_retry_us

    def on_heard(self, member: MemberId, now_us: int, table: Table) -> None:
        """A message of any kind arrived from the member."""
        if member in table.voters:
            self.last_heard_us[member] = now_us
            self.last_heard_us = (
                self.last_heard_us if len(self.last_heard_us) <= MAX_MEMBERS else {member: now_us}
            )

    def query(self, number: int, has_no_record: bool) -> InForceQuery:
        """The query to send to the voters."""
        return InForceQuery(self.request_id, number, has_no_record)

    def on_sent(self, now_us: int) -> None:
        """Queries were sent: set the time of the next ones, with exponential backoff."""
        self.next_query_us = now_us + self._retry_us
        self._retry_us = min(2 * self._retry_us, self.settings.max_query_retry_us)

    def silent_voters(self, table: Table) -> list[MemberId]:
        """The voters of the table that have not replied."""
        return [voter for voter in table.voters if voter not in self.replies]

    def on_reply(self, member: MemberId, reply: InForceReply, table: Table) -> None:
        """Record a reply. A voter that knows a newer table is asked again until that table is in force
        here.
        """
        if self.is_active and reply.request_id == self.request_id and member in table.voters:
            self.newest_number = max(self.newest_number, reply.number)
            if reply.number <= table.number:
                self.replies[member] = reply

    def has_majority(self, table: Table) -> bool:
        """Whether a majority of the voters has replied without knowing a newer table (a voter outside it
        may know one).
        """
        return is_majority(table.voters, self.replies)

    def members_with_other_table(self, registry: OwnershipRegistry) -> list[MemberId]:
        """Members that have another table under the number that is in force here."""
        in_force = (registry.table.number, registry.table.digest)
        return [
            member
            for member, reply in self.replies.items()
            if reply.number == in_force[0] and reply.digest != in_force[1]
        ]

    def proposals(self) -> list[PendingProposal]:
        """The pending proposals that any of the replies names, each once."""
        found: dict[ProposalId, PendingProposal] = {}
        for reply in self.replies.values():
            for pending in reply.pending:
                if pending.proposal not in found or found[pending.proposal].moved_destinations is None:
                    found[pending.proposal] = pending
        return [found[proposal] for proposal in sorted(found)]

    def destinations_at_risk(self, proposals: list[PendingProposal], table: Table) -> frozenset[int]:
        """The destinations of this site that another could serve once one of these proposals is agreed."""
        own = frozenset(dest for dest, site in table.owners.items() if site == self.local_member.site)
        at_risk: frozenset[int] = frozenset()
        for proposal in proposals:
            at_risk |= (
                own
                if proposal.moved_destinations is None or self.local_member in proposal.removed_members
                else own & proposal.moved_destinations
            )
        return at_risk

    def finish(self) -> None:
        """End the inquiry and lift its suspension."""
        self.is_active = self.suspends_all = False
        self.suspended_destinations = frozenset()

    def silent_since(self, table: Table) -> list[tuple[MemberId, int]]:
        """The voters that have not replied, each with the time of its last message (0: none in this
        process).
        """
        return [(voter, self.last_heard_us.get(voter, 0)) for voter in self.silent_voters(table)]
