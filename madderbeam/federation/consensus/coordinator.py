"""Brings one slot to its decision with one ballot: the claim, then the votes of the sites.

Source: Gray and Lamport, "Consensus on Transaction Commit" (2006), section 4, with one Paxos instance for
each site. Unlike there, the coordinator relays the sites' votes to the acceptors: this takes one message more
than direct sending, but any member of a site can then vote for it, and one promise covers all instances. One
further instance, the claim, decides which of several proposed tables the slot is for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from madderbeam.federation.consensus.messages import (
    MAX_REASON_CHARACTERS,
    Accept,
    Accepted,
    Document,
    DocumentRequest,
    Prepare,
    Promise,
    VoteReply,
    VoteRequest,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import AgreementSettings, Ballot, Claim, Slot, Vote
from madderbeam.federation.errors import NotAllStaged, Superseded, TableUnfit
from madderbeam.federation.table import all_members, participants, read_table, voting_sites
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId


@dataclass(frozen=True)
class Aborted:
    """The decision that the claim is rejected, with the decided votes that reject it."""

    votes: tuple[Vote, ...]


@dataclass(frozen=True)
class Committed:
    """The decision that the table is agreed: the votes of all sites are decided, and all are staged."""

    table: Table


class Coordinator:
    """One ballot of one slot. `decision` is set once there is one; `is_idle`: there was nothing to finish."""

    def __init__(
        self,
        outbox: Outbox,
        base: Table,
        slot: Slot,
        ballot: Ballot,
        proposal: Table | None,
        document: Callable[[str], Table | None],
        on_claim: Callable[[str, Slot], None],
        claim_known_since_us: Callable[[Slot, str], int],
        settings: AgreementSettings,
    ) -> None:
        """`base`: the latest agreed table, whose voters decide; `document`: the table of a digest, if it is
        here; `on_claim`: called before the own proposal is claimed; `claim_known_since_us`: when this member
        first learned of a claim.
        """
        self.outbox, self.base, self.slot, self.ballot, self.proposal = outbox, base, slot, ballot, proposal
        self._document, self._on_claim, self._claim_known_since_us, self.settings = (
            document,
            on_claim,
            claim_known_since_us,
            settings,
        )
        self.pending_since_us = self._claimed_us = self._requested_us = outbox.now_us
        self.claim: Claim | None = None
        self.table: Table | None = None  # of the claim
        self.votes: list[Vote] = []
        self.decided_count = -1  # votes that a majority has accepted; -1: not even the claim
        self.decision: Aborted | Committed | None = None
        self.is_idle = False
        self._sent_count = 0
        self._is_document_sent = False
        self._promises: dict[MemberId, Promise] = {}
        self._accepted_counts: dict[MemberId, int] = {}
        self.member_votes: dict[MemberId, Vote] = {}

    # Messages and timers

    def begin(self) -> None:
        """Start the ballot."""
        self._send_prepare()

    def on_promise(self, member: MemberId, message: Promise) -> None:
        """A voter's promise; a majority of promises settles the claim."""
        if message.ballot != self.ballot or self.claim is not None or self.is_idle:
            return
        if member in self.base.voters:
            self._promises[member] = message
        if len(self._promises) >= self._quorum:
            self._choose_claim()

    def on_accepted(self, member: MemberId, message: Accepted) -> None:
        """A voter has accepted the claim and some of the votes; a majority of them decides."""
        if message.ballot != self.ballot or self.claim is None or member not in self.base.voters:
            return
        self._accepted_counts[member] = max(message.accepted_count, self._accepted_counts.get(member, -1))
        counts = sorted(self._accepted_counts.values(), reverse=True)
        if len(counts) < self._quorum or counts[self._quorum - 1] <= self.decided_count:
            return
        is_first, self.decided_count = self.decided_count < 0, counts[self._quorum - 1]
        if self._check_decided():
            return
        if is_first:
            self._request_votes()
        self._forward_votes()

    def on_vote(self, member: MemberId, message: VoteReply) -> None:
        """A member's vote for its site."""
        if self.claim is None or message.digest != self.claim.digest or message.vote.site != member.site:
            return
        if member in all_members(self.base, self.table or self.base):
            self.member_votes[member] = message.vote
            self._collect_votes()

    def on_document(self, message: Document) -> None:
        """A document arrived; it is used if it is that of the claim."""
        if self.claim is None or self.table is not None or self.decision is not None:
            return
        try:
            table = read_table(message.document)
        except TableUnfit:
            return
        if table.digest == self.claim.digest:
            self._set_table(table)

    def tick(self, describe_silent: Callable[[tuple[MemberId, ...]], str]) -> None:
        """Send again what was not answered, and reject for sites that take too long.

        `describe_silent`: the text about members that do not reply.
        """
        if self.claim is None:
            self._send_prepare()
            return
        if self.table is None:
            self._set_table(self._document(self.claim.digest))
        if self.decision is not None:
            return
        if self.outbox.now_us - self.pending_since_us >= self.settings.vote_timeout_us:
            self._reject_missing(
                NotAllStaged.code, lambda site: self._not_staged_reason(site, describe_silent)
            )
        elif (
            self.table is None
            and self.outbox.now_us - self._claimed_us >= 2 * self.settings.failover_timeout_us
        ):
            reason = f"no member that can be reached has the document of table {self.slot.number}"
            self._reject_missing(NotAllStaged.code, lambda site: reason)
        self._collect_votes()
        if self.decided_count >= 0 and len(self.votes) < len(self.claim.sites):
            self._request_votes()
        if self.decided_count < len(self.votes):
            self._send_accept()
        if self.table is None:
            for member in all_members(self.base):
                self.outbox.send(member, DocumentRequest(self.slot, self.claim.digest))

    # State

    @property
    def missing_sites(self) -> tuple[str, ...]:
        """Sites of the claim that have no vote yet."""
        voted = {vote.site for vote in self.votes}
        return tuple(s for s in self.claim.sites if s not in voted) if self.claim else ()

    def participants(self, site: str) -> tuple[MemberId, ...]:
        """The members that may vote for a site."""
        return participants(self.table or self.base, self.base, site)

    @property
    def _quorum(self) -> int:
        return len(self.base.voters) // 2 + 1

    @property
    def is_current(self) -> bool:
        """Whether a majority has accepted all that it was sent."""
        return self.decided_count >= self._sent_count

    @property
    def silent_voters(self) -> tuple[MemberId, ...]:
        """Voters that have not replied in the current phase."""
        replied = self._promises if self.claim is None else self._accepted_counts
        return tuple(v for v in self.base.voters if v not in replied)

    # Steps

    def _set_table(self, table: Table | None) -> None:
        self.table = table
        if table is not None and not self._check_decided() and self.decided_count >= 0:
            self._request_votes()

    def _send_prepare(self) -> None:
        for voter in self.base.voters:
            if voter not in self._promises:
                self.outbox.send(voter, Prepare(self.slot, self.base.digest, self.ballot))

    def _choose_claim(self) -> None:
        """A majority has promised: adopt the claim that may be decided, else claim it for the own table."""
        claim: Claim | None = None
        highest: Ballot | None = None
        for promise in self._promises.values():
            if promise.claim_ballot is not None and (highest is None or promise.claim_ballot > highest):
                claim, highest = promise.claim, promise.claim_ballot
        if claim is None and self.proposal is None:
            self.is_idle = True
            return
        if claim is None:
            assert self.proposal is not None
            claim = Claim(self.proposal.digest, voting_sites(self.proposal, self.base))
        if self.proposal is not None and self.proposal.digest == claim.digest:
            self.table = self.proposal
            self._on_claim(claim.digest, self.slot)
        else:
            self.table = self._document(claim.digest)
        self.claim, self._claimed_us = claim, self.outbox.now_us
        self.pending_since_us = self._claim_known_since_us(self.slot, claim.digest)
        self._adopt_accepted_votes(claim)
        if self.proposal is not None and self.proposal.digest != claim.digest:
            self._reject_missing(
                Superseded.code, lambda _: f"an operator offered table {self.proposal_name} after it"
            )
        self._send_accept()

    def _adopt_accepted_votes(self, claim: Claim) -> None:
        """For each instance, adopt the vote with the highest ballot among those the majority has accepted."""
        adopted: dict[str, tuple[Ballot, Vote]] = {}
        for promise in self._promises.values():
            if promise.claim is None or promise.claim.digest != claim.digest:
                continue
            for ballot, vote in promise.accepted_votes:
                if vote.site not in adopted or ballot > adopted[vote.site][0]:
                    adopted[vote.site] = (ballot, vote)
        self.votes = [adopted[site][1] for site in claim.sites if site in adopted]

    @property
    def proposal_name(self) -> str:
        """The identity of the own proposal; empty without one."""
        return str(self.proposal.proposal_id) if self.proposal is not None else ""

    def _send_accept(self) -> None:
        assert self.claim is not None
        self._sent_count = len(self.votes)
        message = Accept(self.slot, self.base.digest, self.ballot, self.claim, tuple(self.votes))
        for voter in self.base.voters:
            if self._accepted_counts.get(voter, -1) < self._sent_count:
                self.outbox.send(voter, message)

    def _forward_votes(self) -> None:
        """Send new votes to the voters once they may be the last, so that usually all go in one message. The
        others are sent at the next tick.
        """
        is_last = not self.missing_sites or any(not vote.is_staged for vote in self.votes)
        if is_last and len(self.votes) > self._sent_count:
            self._send_accept()

    def _request_votes(self) -> None:
        assert self.claim is not None
        if not self.missing_sites:
            return
        off = self.table.decommissioned if self.table is not None else frozenset()
        is_repeat = self.outbox.now_us - self._requested_us >= self.settings.failover_timeout_us // 3
        if is_repeat:  # also to members that have voted: it keeps them from taking the slot over
            self._requested_us = self.outbox.now_us
        document = None
        if self.table is not None and not self._is_document_sent:
            self._is_document_sent, document = True, self.table.document()
        request = VoteRequest(self.slot, self.base.digest, self.claim.digest, document)
        for member in all_members(self.base, self.table or self.base):
            if member not in off and (is_repeat or member not in self.member_votes):
                self.outbox.send(member, request)

    def _collect_votes(self) -> None:
        """Derive the sites' votes from those of their members: rejected as soon as one member rejects; staged
        once all members have staged, or after a timeout if at least one has.
        """
        if self.claim is None or self.table is None or self.decided_count < 0 or self.decision is not None:
            return
        waits_for_all = self.outbox.now_us - self._claimed_us < self.settings.silent_member_timeout_us
        for site in self.missing_sites:
            members = self.participants(site)
            received = [self.member_votes[member] for member in members if member in self.member_votes]
            rejections = [vote for vote in received if not vote.is_staged]
            if rejections:
                self.votes.append(rejections[0])
            elif received and (len(received) == len(members) or not waits_for_all):
                self.votes.append(received[0])
        if self.decided_count >= self._sent_count:
            self._forward_votes()

    def _reject_missing(self, code: str, reason: Callable[[str], str]) -> None:
        """Reject in place of the sites that have no vote yet."""
        self.votes += [Vote(site, code, reason(site)[:MAX_REASON_CHARACTERS]) for site in self.missing_sites]

    def _check_decided(self) -> bool:
        """Set the decision if there is one; returns whether there is."""
        if self.claim is None or self.decision is not None:
            return self.decision is not None
        if any(not vote.is_staged for vote in self.votes[: max(self.decided_count, 0)]):
            self.decision = Aborted(tuple(vote for vote in self.votes if not vote.is_staged))
        elif self.decided_count >= len(self.claim.sites) and self.table is not None:
            self.decision = Committed(self.table)
        return self.decision is not None

    def _not_staged_reason(self, site: str, describe_silent: Callable[[tuple[MemberId, ...]], str]) -> str:
        after_s = (self.outbox.now_us - self.pending_since_us) // 1_000_000
        silent = tuple(m for m in self.participants(site) if m not in self.member_votes)
        return f"{site} has not staged table {self.slot.number} for {after_s} s: {describe_silent(silent)}"
