"""One lease group: this member votes on its terms, follows their grantor, and may become grantor itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from madderbeam.membership.values import MemberId, MemberView
from madderbeam.shared.candidacy import Candidacy
from madderbeam.shared.grantor import Grantor
from madderbeam.shared.lease_holder import LeaseHolder
from madderbeam.shared.lease_messages import (
    Grant,
    GrantAck,
    LeaseReturn,
    TermEnd,
    TermRejected,
    TermReply,
    TermRequest,
)
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.lease_term import TermVoter
from madderbeam.shared.outgoing import OutgoingActions
from madderbeam.shared.site_membership import SiteMembership

REPORTED_SPAN_MAX_US = 2 * 3_600 * 1_000_000


class LeaseGroup:
    """A group of resources that are granted together by one grantor at a time.

    `join` makes it durable that this member confirms lease terms, before its first reply to one, and returns
    whether it is.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        number: int,
        membership: SiteMembership,
        holder: LeaseHolder,
        out: OutgoingActions,
        views: Mapping[MemberId, MemberView],
        first_number: int,
        rng: Random,
        join: Callable[[], bool],
    ) -> None:
        self.settings, self.number, self.membership, self.holder = settings, number, membership, holder
        self.out, self.views, self.join = out, views, join
        self.resources: list[str] = []  # assigned to this group by hash
        self.voter = TermVoter(settings)
        self.grantor = Grantor(settings, membership, out, number, first_number)
        self.candidacy = Candidacy(settings, membership, number, rng)
        self.current_grantor: MemberId | None = None  # as far as this member knows
        self.granted_since_us = 0  # since when this grantor has granted to this member

    # This member's own term

    def tick(self, may_grant: bool) -> None:
        """Runs several times per renewal interval. `may_grant`: this member is not draining."""
        self._report_changed_needs()
        now_us, grantor = self.out.now_us, self.grantor
        term = grantor.term
        if not term.is_active:
            if self.candidacy.should_request(now_us, self.voter, self.views, may_grant):
                self.out.count("asked for")
                grantor.begin()
        elif (
            term.running_since_us is None
            and now_us >= term.requested_since_us + self.settings.renewal_interval_us
        ):
            grantor.end()
            self.candidacy.failed(now_us)
        elif term.running_since_us is not None and not grantor.is_running():
            self.out.count("lapsed")
            grantor.end()
            self.candidacy.failed(now_us)
        elif not may_grant and self.can_others_grant():
            grantor.end()
        elif (
            term.running_since_us is None
            or now_us >= grantor.requested_us + self.settings.renewal_interval_us
        ):
            grantor.divide_all()
            grantor.request()
        else:
            grantor.refresh()

    def _report_changed_needs(self) -> None:
        """Reports at once a need that differs much from what the grantor knows."""
        followed = self.holder.followed.get(self.number)
        changed = self.holder.changed_needs(self.out.now_us, self.resources) if followed is not None else ()
        if followed is not None and changed:
            self.out.send(followed.grantor, GrantAck(self.number, followed.term, followed.seq, changed))

    def can_others_grant(self) -> bool:
        """Whether another member could grant."""
        return any(
            m != self.out.own_id and self.candidacy.is_eligible(m, self.views)
            for m in self.membership.current
        )

    def abandon_term(self) -> None:
        """End this member's term after a pause, since others may have granted meanwhile."""
        if self.grantor.term.is_active:
            self.grantor.end()
            self.candidacy.failed(self.out.now_us)

    # Messages

    def handle(self, member: MemberId, message: Any) -> None:
        """Handle a lease message of this group."""
        if isinstance(message, TermRequest):
            self._handle_request(member, message)
        elif isinstance(message, TermReply):
            was_running = self.grantor.is_running()
            self.grantor.handle_reply(member, message)
            if self.grantor.is_running() and not was_running:
                self.out.count("began")
                self.candidacy.succeeded()
        elif isinstance(message, TermRejected):
            self._handle_rejection(message)
        elif isinstance(message, Grant):
            self._handle_grant(member, message)
        elif isinstance(message, GrantAck):
            self.grantor.handle_ack(member, message)
        elif isinstance(message, LeaseReturn):
            self.grantor.handle_return(member, message)
        elif isinstance(message, TermEnd):
            self._handle_term_end(member, message)

    def _handle_request(self, member: MemberId, message: TermRequest) -> None:
        now_us, voter = self.out.now_us, self.voter
        if member not in self.membership.members or not voter.may_reply(now_us):
            return
        self.membership.merge_joined(now_us, message.joined)
        if not voter.may_confirm(now_us, member, message.regime) or message.lease_us > self.settings.lease_us:
            left_us = min(voter.remaining_us(now_us), REPORTED_SPAN_MAX_US)
            self.out.send(member, TermRejected(self.number, message.regime, message.ask, left_us))
            return
        if not self.join():
            return
        self.candidacy.grantor_seen(member)
        votes = voter.confirm(now_us, member, message.regime)
        followed = self.holder.record_reply(now_us, self.number, member, message.regime, message.ask)
        earlier_us = min(max(0, voter.earlier_grants_until_us - now_us), REPORTED_SPAN_MAX_US)
        holdings = self.holder.holdings(now_us, self.resources)
        reply = TermReply(
            self.number,
            message.regime,
            message.ask,
            votes,
            earlier_us,
            followed.seq,
            self.membership.joined_bitmap(now_us),
            holdings,
        )
        self.out.send(member, reply)

    def _handle_rejection(self, message: TermRejected) -> None:
        term = self.grantor.term
        if term.is_active and message.regime == term.number and term.running_since_us is None:
            self.candidacy.not_before_us = max(
                self.candidacy.not_before_us,
                self.out.now_us + min(message.left_us, self.settings.expiry_bound_us),
            )

    def _handle_grant(self, member: MemberId, message: Grant) -> None:
        if self.out.own_id not in self.membership.current:
            return  # its leases expire by themselves
        now_us = self.out.now_us
        amounts_before = {resource: self.holder.amount(resource, now_us) for resource, _ in message.parts}
        allots = self.holder.accept_grant(now_us, member, message)
        for allot in allots:
            self.out.add(allot)
        if any(allot.amount < amounts_before[allot.resource] for allot in allots):
            holdings = self.holder.lingering(now_us, self.resources)
            self.out.send(member, GrantAck(self.number, message.regime, message.seq, holdings))
        if allots and self.current_grantor != member:
            self.current_grantor, self.granted_since_us = member, self.out.now_us

    def _handle_term_end(self, member: MemberId, message: TermEnd) -> None:
        if self.voter.confirmed is not None and self.voter.confirmed[0] == member:
            self.voter.term_ended(member, message.regime)
            if self.voter.confirmed is None:
                self.candidacy.term_ended(self.out.now_us, member)

    def return_leases(self) -> None:
        """Use no more than the floors, and return the leases to the grantor."""
        allots, request = self.holder.return_leases(self.out.now_us, self.number, self.resources)
        for allot in allots:
            self.out.add(allot)
        followed = self.holder.followed.get(self.number)
        if followed is not None:
            self.out.send(followed.grantor, LeaseReturn(self.number, followed.term, request))

    def status(self) -> dict[str, Any]:
        """For GET /federation."""
        now_us, term = self.out.now_us, self.grantor.term
        granted = {
            resource: {str(member): amount for member, amount in pool.granted_amounts(now_us).items()}
            for resource, pool in self.grantor.pools.items()
        }
        is_running = self.grantor.is_running()
        return {
            "slot": self.number,
            "granter": None if self.current_grantor is None else str(self.current_grantor),
            "since_ms": None if self.current_grantor is None else (now_us - self.granted_since_us) // 1000,
            "grants": is_running,
            "regime": term.number if is_running else None,
            "regime_ms": (now_us - (term.running_since_us or now_us)) // 1000 if is_running else None,
            "given": granted if is_running else {},
            "reserved": self.grantor.reserved_amounts() if is_running else {},
            "earlier_grants_ms": max(0, term.earlier_grants_until_us - now_us) // 1000 if is_running else 0,
            "bound_ms": self.voter.remaining_us(now_us) // 1000,
            "backoff_ms": max(0, self.candidacy.not_before_us - now_us) // 1000,
        }
