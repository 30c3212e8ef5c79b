"""What agreement tells the switch part when it asks what may be in force."""

from __future__ import annotations

from collections.abc import Sequence

from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.values import ProposalId, Table


class AgreementView:
    """inquiry.Council by the agreement of the same member."""

    def __init__(self, agreement: Agreement) -> None:
        self.agreement = agreement

    def pending(self) -> Sequence[tuple[ProposalId, Table | None]]:
        """The proposal for which this voter has accepted something, unless it is known to be over."""
        acceptor, slot = self.agreement.acceptor, self.agreement.slot
        if acceptor.slot != slot or acceptor.claim is None:
            return ()
        digest = acceptor.claim.digest
        return ((ProposalId(slot.number, digest), self.agreement.document(digest)),)

    def may_vote(self) -> bool:
        """One that does not vote may tell what it knows, unless its folder is known to be older."""
        agreement = self.agreement
        if agreement.local_member in agreement.base.voters:
            return agreement.may_vote
        return agreement.rollback_detector.distrusted is None

    def known_since(self, number: int) -> Sequence[Table]:
        return self.agreement.known_since(number)
