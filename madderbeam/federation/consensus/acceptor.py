"""The acceptor of Paxos Commit: what a voter has promised and accepted in the current slot.

Source: Gray and Lamport, "Consensus on Transaction Commit" (2006), section 4, with one promise for all
instances of a slot. The class is pure state: the caller writes the state to disk before it sends the reply.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.messages import (
    Accept,
    Accepted,
    BallotRejected,
    Prepare,
    Promise,
    read_accepted_votes,
    read_ballot,
    read_claim,
    read_slot,
    to_plain,
)
from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.membership.values import Incarnation


class Acceptor:
    """The acceptor's state. `slot` only grows: no earlier slot gets a promise or an acceptance again."""

    def __init__(self, incarnation: Incarnation, record: Mapping[str, Any] | None) -> None:
        """`record`: the latest result of `record()`. Raises ValueError if it is malformed."""
        self.incarnation = incarnation
        self.slot = Slot(0)
        self.promised: Ballot | None = None
        self.claim: Claim | None = None
        self.claim_ballot: Ballot | None = None
        self.accepted_votes: dict[str, tuple[Ballot, Vote]] = {}  # by site
        self.votes_recorded = 0  # since the state directory was created
        if record is not None:
            self._restore(record)

    def record(self) -> dict[str, Any]:
        """The whole state, as it is written to disk."""
        return {
            "slot": to_plain(self.slot),
            "promised": to_plain(self.promised),
            "claim": to_plain(self.claim),
            "claimed": to_plain(self.claim_ballot),
            "words": to_plain(tuple(self.accepted_votes.values())),
            "votes": self.votes_recorded,
        }

    def _restore(self, record: Mapping[str, Any]) -> None:
        self.slot = read_slot(record["slot"])
        self.promised = read_ballot(record["promised"]) if record["promised"] else None
        self.claim = read_claim(record["claim"]) if record["claim"] else None
        self.claim_ballot = read_ballot(record["claimed"]) if record["claimed"] else None
        self.accepted_votes = {
            vote.site: (ballot, vote) for ballot, vote in read_accepted_votes(record["words"])
        }
        self.votes_recorded = int(record["votes"])

    @property
    def mark(self) -> Mark:
        """How recent this voter's state is."""
        return Mark(self.incarnation, self.votes_recorded)

    def prepare(self, request: Prepare) -> Promise | BallotRejected | None:
        """The reply to send once the state is on disk; None if the slot is closed."""
        if not self._enter_slot(request.slot):
            return None
        if self.promised is not None and request.ballot < self.promised:
            return BallotRejected(request.slot, request.ballot, self.promised)
        self.promised = request.ballot
        self.votes_recorded += 1
        return Promise(
            request.slot,
            request.ballot,
            self.claim,
            self.claim_ballot,
            tuple(self.accepted_votes.values()),
            self.mark,
        )

    def accept(self, request: Accept) -> Accepted | BallotRejected | None:
        """The reply to send once the state is on disk; None if the slot is closed."""
        if not self._enter_slot(request.slot):
            return None
        if self.promised is not None and request.ballot < self.promised:
            return BallotRejected(request.slot, request.ballot, self.promised)
        self.promised = request.ballot
        if self.claim is None or self.claim.digest != request.claim.digest:
            self.accepted_votes = {}  # the replaced claim has no majority and cannot get one
        self.claim, self.claim_ballot = request.claim, request.ballot
        for vote in request.votes:
            self.accepted_votes[vote.site] = (request.ballot, vote)
        self.votes_recorded += 1
        accepted_count = sum(ballot == request.ballot for ballot, _ in self.accepted_votes.values())
        return Accepted(request.slot, request.ballot, accepted_count, self.mark)

    def _enter_slot(self, slot: Slot) -> bool:
        """Start afresh if the slot is a later one; returns whether it is the current one then."""
        if slot > self.slot:
            self.slot = slot
            self.promised = self.claim = self.claim_ballot = None
            self.accepted_votes = {}
        return slot == self.slot
