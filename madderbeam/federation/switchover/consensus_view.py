"""What the switchover reads from the agreement part."""

from __future__ import annotations

from collections.abc import Sequence

from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.values import ProposalId, Table


class AgreementView:
    """inquiry.ConsensusView, backed by the agreement part of the same member."""

    def __init__(self, agreement: Agreement) -> None:
        self.agreement = agreement

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        """The proposal of which this voter has accepted something, unless its outcome is known."""
        acceptor, slot = self.agreement.acceptor, self.agreement.slot
        if acceptor.slot != slot or acceptor.claim is None:
            return ()
        digest = acceptor.claim.digest
        return ((ProposalId(slot.number, digest), self.agreement.document(digest)),)

    def may_vote(self) -> bool:
        """Whether this member's replies count; a non-voter's do unless its state is known to be an older
        copy.
        """
        agreement = self.agreement
        if agreement.local_member in agreement.base.voters:
            return agreement.may_vote
        return agreement.rollback_detector.distrusted is None

    def known_since(self, number: int) -> Sequence[Table]:
        """The agreed tables above the number, as far as they are still stored."""
        return self.agreement.known_since(number)
