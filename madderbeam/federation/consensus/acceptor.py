"""A voter's part of Paxos Commit: what it has promised and accepted for the slot that is open.

Source: Gray and Lamport, "Consensus on Transaction Commit" (2006), section 4, with one promise for all
instances of a slot. It is pure state: who asks has the state written down before the reply is given.
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
    ballot_of,
    claim_of,
    slot_of,
    to_plain,
    voted_of,
)
from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.membership.values import Incarnation


class Acceptor:
    """`slot` only grows; a vote for an earlier one is never given again, whatever became of it."""

    def __init__(self, life: Incarnation, record: Mapping[str, Any] | None) -> None:
        """`record`: what `record()` gave last. Raises ValueError where it is not whole."""
        self.life = life
        self.slot = Slot(0)
        self.promised: Ballot | None = None
        self.claim: Claim | None = None
        self.claimed: Ballot | None = None
        self.words: dict[str, tuple[Ballot, Vote]] = {}
        self.votes = 0  # written down since the folder is there
        if record is not None:
            self._restore(record)

    def record(self) -> dict[str, Any]:
        """The whole state, as it is written down."""
        return {
            "slot": to_plain(self.slot),
            "promised": to_plain(self.promised),
            "claim": to_plain(self.claim),
            "claimed": to_plain(self.claimed),
            "words": to_plain(tuple(self.words.values())),
            "votes": self.votes,
        }

    def _restore(self, record: Mapping[str, Any]) -> None:
        self.slot = slot_of(record["slot"])
        self.promised = ballot_of(record["promised"]) if record["promised"] else None
        self.claim = claim_of(record["claim"]) if record["claim"] else None
        self.claimed = ballot_of(record["claimed"]) if record["claimed"] else None
        self.words = {word.site: (ballot, word) for ballot, word in voted_of(record["words"])}
        self.votes = int(record["votes"])

    @property
    def mark(self) -> Mark:
        return Mark(self.life, self.votes)

    def prepare(self, asked: Prepare) -> Promise | BallotRejected | None:
        """The reply to give once the state is written; None for a slot that is over."""
        if not self._open(asked.slot):
            return None
        if self.promised is not None and asked.ballot < self.promised:
            return BallotRejected(asked.slot, asked.ballot, self.promised)
        self.promised = asked.ballot
        self.votes += 1
        return Promise(
            asked.slot, asked.ballot, self.claim, self.claimed, tuple(self.words.values()), self.mark
        )

    def accept(self, asked: Accept) -> Accepted | BallotRejected | None:
        """The reply to give once the state is written; None for a slot that is over."""
        if not self._open(asked.slot):
            return None
        if self.promised is not None and asked.ballot < self.promised:
            return BallotRejected(asked.slot, asked.ballot, self.promised)
        self.promised = asked.ballot
        if self.claim is None or self.claim.digest != asked.claim.digest:
            self.words = {}  # of a claim that no majority took, nor will
        self.claim, self.claimed = asked.claim, asked.ballot
        for word in asked.words:
            self.words[word.site] = (asked.ballot, word)
        self.votes += 1
        step = sum(ballot == asked.ballot for ballot, _ in self.words.values())
        return Accepted(asked.slot, asked.ballot, step, self.mark)

    def _open(self, slot: Slot) -> bool:
        if slot > self.slot:
            self.slot = slot
            self.promised = self.claim = self.claimed = None
            self.words = {}
        return slot == self.slot
