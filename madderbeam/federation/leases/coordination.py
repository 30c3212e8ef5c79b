"""Connects the roles of leases (holder, grantor, waiting for an end) with messages, records and timers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from madderbeam.federation.leases.lease import RENEWALS, LeaseEnds, LeaseGrantor, LeaseHolder
from madderbeam.federation.switchover.inquiry import ConsensusView
from madderbeam.federation.switchover.messages import (
    LeaseEndConfirmation,
    LeaseEndRequest,
    LeaseReply,
    LeaseRequest,
)
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.table import MEMBERS_MOST
from madderbeam.federation.values import Release
from madderbeam.membership.values import Incarnation, MemberId, SendMessage


class LeaseCoordination:
    """Requests, renews and confirms leases; does nothing of it if leases are off."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        incarnation: Incarnation,
        holder: LeaseHolder,
        consensus: ConsensusView,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings, self.registry, self.actions, self.holder, self.consensus = (
            settings,
            registry,
            actions,
            holder,
            consensus,
        )
        self.voter, self.ends = LeaseGrantor(settings, records), LeaseEnds(settings)
        self.ask = incarnation.start << 24
        self.pending_requesters: dict[MemberId, set[MemberId]] = {}  # of a confirmation being written

    def start(self, records: Mapping[tuple[str, str], Any]) -> None:
        """The start of the process; `records` are those on disk."""
        previous_span_us = records.get(("lease", ""), 0)
        self.voter.start(self.actions.now_us, previous_span_us)
        if previous_span_us != self.settings.lease_over_us:
            self.actions.timer(self.voter.ready_us, "ready")
            if previous_span_us < self.settings.lease_over_us:
                self.ready()
        for member in (*self.registry.table.off, *self.registry.words):
            self.called_off(member)

    def ready(self) -> None:
        """Leases by the earlier settings have ended: record the current span."""
        self.actions.write("lease", "", self.settings.lease_over_us)

    def again(self) -> None:
        """A failed write may have dropped the timer: set it again."""
        if self.settings.lease_us:
            self.actions.timer(self.actions.now_us + self.settings.lease_us // RENEWALS, "lease")

    # The lease of this member

    def renew(self) -> None:
        """Request a renewal of this member's lease from all voters."""
        if not self.settings.lease_us:
            return
        now_us = self.actions.now_us
        self.ask += 1
        self.holder.asked(now_us, self.ask)
        message = LeaseRequest(self.ask, self.registry.ledger.number, self.settings.lease_us)
        for voter in self.registry.table.voters:
            if voter == self.registry.me:
                reply = self.voter.renew(now_us, voter, message, self.registry, self.consensus.may_vote())
                self.renewed(voter, reply)
            else:
                self.actions.do(SendMessage(voter, message))
        self.actions.timer(now_us + self.settings.lease_us // RENEWALS, "lease")

    def renewed(self, member: MemberId, message: LeaseReply) -> None:
        """A voter's reply to a request for renewal."""
        previous_until_us = self.holder.until_us
        self.holder.answered(member, message, self.registry.table.voters)
        if self.holder.until_us > previous_until_us:
            self.actions.timer(self.holder.until_us, "until")

    # This member as a voter

    def serves_by(self, member: MemberId, lease_us: int) -> None:
        """A member reports the span of its serving leases; 0: it has none, so no end can be confirmed."""
        has_room = member in self.voter.lease_spans_us or len(self.voter.lease_spans_us) < MEMBERS_MOST
        if self.settings.lease_us and has_room and self.voter.lease_spans_us.get(member) != lease_us:
            self.voter.lease_spans_us[member] = lease_us
            self.actions.write("leased", str(member), [member.site, member.name, lease_us])

    def asked(self, member: MemberId, message: LeaseRequest) -> None:
        """A member requests a renewal from this voter."""
        reply = self.voter.renew(
            self.actions.now_us, member, message, self.registry, self.consensus.may_vote()
        )
        self.actions.do(SendMessage(member, reply))
        if reply.granted:
            self.serves_by(member, message.lease_us)

    def vouch(self, requester: MemberId, message: LeaseEndRequest) -> None:
        """Confirm the ends of leases to a member. Confirmations are written before they are sent."""
        confirmed = []
        for member, number in message.members:
            is_known = number <= self.registry.ledger.number
            if not is_known or not self.voter.vouches(self.actions.now_us, member, self.consensus.may_vote()):
                continue
            is_on_disk = not self.actions.writes.busy("vouch", str(member))
            if is_on_disk and self.voter.refused.get(member, 0) >= number:
                confirmed.append((member, number))
            elif self.voter.refuse(member, number):
                if len(self.pending_requesters.setdefault(member, set())) < MEMBERS_MOST:
                    self.pending_requesters[member].add(requester)
                row = [member.site, member.name, self.voter.refused[member]]
                if self.actions.writes.value("vouch", str(member)) != row:
                    self.actions.write("vouch", str(member), row)
        if confirmed:
            self._send_confirmation(requester, tuple(confirmed))

    def written(self, row: Any) -> None:
        """A confirmation is on disk: send it to the members that wait for it."""
        site, name, number = row
        member = MemberId(site, name)
        for requester in sorted(self.pending_requesters.pop(member, ())):
            self._send_confirmation(requester, ((member, number),))

    def _send_confirmation(self, requester: MemberId, members: tuple[tuple[MemberId, int], ...]) -> None:
        if requester == self.registry.me:
            self.vouched(requester, LeaseEndConfirmation(members))
        else:
            self.actions.do(SendMessage(requester, LeaseEndConfirmation(members)))

    # Waiting for the ends of other members' leases

    def ask_for_ends(self) -> None:
        """Request the confirmations that are missing from the voters."""
        if not self.settings.lease_us:
            return
        for voter, message in self.ends.requests(self.registry).items():
            if voter == self.registry.me:
                self.vouch(voter, message)
            else:
                self.actions.do(SendMessage(voter, message))

    def vouched(self, voter: MemberId, message: LeaseEndConfirmation) -> None:
        """A voter confirms the ends of leases."""
        for member, number in message.members:
            self.ends.on_confirmed(voter, member, number, self.registry)

    def ended(self) -> Iterator[Release]:
        """Stand-ins for the releases of members whose leases have ended, since they can serve no longer."""
        if not self.settings.lease_us:
            return
        for dest, member, number in list(self.registry.gains_missing()):
            if self.ends.has_ended(self.actions.now_us, member, number, self.registry):
                yield Release(dest, member, number)

    def called_off(self, member: MemberId) -> None:
        """An operator declared a member gone for good."""
        self.ends.on_member_off(self.actions.now_us, member)

    def forget(self) -> None:
        """Remove what is stored about members that are no longer concerned."""
        for kind, member in self.voter.forget(self.actions.now_us, self.registry):
            self.actions.forget(kind, str(member))
        self.pending_requesters = {
            m: requesters for m, requesters in self.pending_requesters.items() if m in self.voter.refused
        }
        self.ends.forget(self.registry)
