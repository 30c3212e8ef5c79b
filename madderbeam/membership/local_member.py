"""The local member: its incarnation, refutation number and state, and its refutation of false suspicions."""

from __future__ import annotations

from enum import Enum

from madderbeam.membership.messages import MAX_REFUTATION, MemberReport
from madderbeam.membership.values import Address, Incarnation, MemberId, State


class ReportOutcome(Enum):
    """How a report on the local member was handled."""

    IGNORED = 0
    REFUTED = 1  # the refutation number was raised: announce it
    ROLLBACK = 2  # another incarnation of this id, not below this one: restored state, or a second process


class LocalMember:
    """State that this member reports about itself; only it raises its refutation number."""

    def __init__(self, local_id: MemberId, incarnation: Incarnation, address: Address) -> None:
        self.id, self.incarnation, self.address = local_id, incarnation, address
        self.refutation = 0
        self.state = State.ALIVE
        self.draining = False

    def report(self) -> MemberReport:
        """The current report on the local member."""
        return MemberReport(
            self.id, self.incarnation, self.refutation, self.state, self.address, self.draining
        )

    def check_report(self, report: MemberReport) -> ReportOutcome:
        """Check a report on the local member, and refute it if it is a suspicion or a death."""
        if report.incarnation.nonce != self.incarnation.nonce:
            return (
                ReportOutcome.ROLLBACK
                if report.incarnation.start >= self.incarnation.start
                else ReportOutcome.IGNORED
            )
        if (
            report.incarnation != self.incarnation
            or self.state is State.LEFT
            or report.refutation < self.refutation
        ):
            return ReportOutcome.IGNORED
        if report.state is State.ALIVE and report.refutation == self.refutation:
            return ReportOutcome.IGNORED
        self.raise_refutation(report.refutation)
        return ReportOutcome.REFUTED

    def raise_refutation(self, seen: int) -> None:
        """Set the refutation number to one above this one."""
        self.refutation = min(MAX_REFUTATION, seen + 1)

    def raise_incarnation(self, seen: Incarnation) -> None:
        """Continue in an incarnation above this one, with refutation number 0."""
        self.incarnation, self.refutation = Incarnation(seen.start + 1, self.incarnation.nonce), 0
