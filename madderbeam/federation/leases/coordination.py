"""Connects the roles of leases (holder, grantor, waiting for an end) with messages, records and timers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from madderbeam.federation.leases.lease import RENEWALS, LeaseEndTracker, LeaseGrantor, LeaseHolder
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
from madderbeam.federation.table import MAX_MEMBERS
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
        self.grantor, self.end_tracker = LeaseGrantor(settings, records), LeaseEndTracker(settings)
        self.request_id = incarnation.start << 24
        self.pending_requesters: dict[MemberId, set[MemberId]] = {}  # of a confirmation being written

    def start(self, records: Mapping[tuple[str, str], Any]) -> None:
        """The start of the process; `records` are those on disk."""
        previous_span_us = records.get(("lease", ""), 0)
        self.grantor.start(self.actions.now_us, previous_span_us)
        if previous_span_us != self.settings.lease_expiry_us:
            self.actions.set_timer(self.grantor.confirms_from_us, "ready")
            if previous_span_us < self.settings.lease_expiry_us:
                self.record_span()
        for member in (*self.registry.table.decommissioned, *self.registry.decommissioned_up_to):
            self.on_member_decommissioned(member)

    def record_span(self) -> None:
        """Leases by the earlier settings have ended: record the current span."""
        self.actions.write("lease", "", self.settings.lease_expiry_us)

    def rearm(self) -> None:
        """A failed write may have dropped the timer: set it again."""
        if self.settings.lease_us:
            self.actions.set_timer(self.actions.now_us + self.settings.lease_us // RENEWALS, "lease")

    # The lease of this member

    def renew(self) -> None:
        """Request a renewal of this member's lease from all voters."""
        if not self.settings.lease_us:
            return
        now_us = self.actions.now_us
        self.request_id += 1
        self.holder.on_request_sent(now_us, self.request_id)
        message = LeaseRequest(self.request_id, self.registry.ledger.number, self.settings.lease_us)
        for voter in self.registry.table.voters:
            if voter == self.registry.local_member:
                reply = self.grantor.renew(now_us, voter, message, self.registry, self.consensus.may_vote())
                self.on_renewal_reply(voter, reply)
            else:
                self.actions.add(SendMessage(voter, message))
        self.actions.set_timer(now_us + self.settings.lease_us // RENEWALS, "lease")

    def on_renewal_reply(self, member: MemberId, message: LeaseReply) -> None:
        """A voter's reply to a request for renewal."""
        previous_until_us = self.holder.valid_until_us
        self.holder.on_reply(member, message, self.registry.table.voters)
        if self.holder.valid_until_us > previous_until_us:
            self.actions.set_timer(self.holder.valid_until_us, "until")

    # This member as a voter

    def on_serving_span(self, member: MemberId, lease_us: int) -> None:
        """A member reports the span of its serving leases; 0: it has none, so no end can be confirmed."""
        has_room = member in self.grantor.lease_spans_us or len(self.grantor.lease_spans_us) < MAX_MEMBERS
        if self.settings.lease_us and has_room and self.grantor.lease_spans_us.get(member) != lease_us:
            self.grantor.lease_spans_us[member] = lease_us
            self.actions.write("leased", str(member), [member.site, member.name, lease_us])

    def on_renewal_request(self, member: MemberId, message: LeaseRequest) -> None:
        """A member requests a renewal from this voter."""
        reply = self.grantor.renew(
            self.actions.now_us, member, message, self.registry, self.consensus.may_vote()
        )
        self.actions.add(SendMessage(member, reply))
        if reply.granted:
            self.on_serving_span(member, message.lease_us)

    def on_end_request(self, requester: MemberId, message: LeaseEndRequest) -> None:
        """Confirm the ends of leases to a member. Confirmations are written before they are sent."""
        confirmed = []
        for member, number in message.members:
            is_known = number <= self.registry.ledger.number
            if not is_known or not self.grantor.can_confirm_end(
                self.actions.now_us, member, self.consensus.may_vote()
            ):
                continue
            is_on_disk = not self.actions.writes.is_pending("vouch", str(member))
            if is_on_disk and self.grantor.min_renewal_table.get(member, 0) >= number:
                confirmed.append((member, number))
            elif self.grantor.bar_renewal(member, number):
                if len(self.pending_requesters.setdefault(member, set())) < MAX_MEMBERS:
                    self.pending_requesters[member].add(requester)
                row = [member.site, member.name, self.grantor.min_renewal_table[member]]
                if self.actions.writes.pending_value("vouch", str(member)) != row:
                    self.actions.write("vouch", str(member), row)
        if confirmed:
            self._send_confirmation(requester, tuple(confirmed))

    def on_confirmation_written(self, row: Any) -> None:
        """A confirmation is on disk: send it to the members that wait for it."""
        site, name, number = row
        member = MemberId(site, name)
        for requester in sorted(self.pending_requesters.pop(member, ())):
            self._send_confirmation(requester, ((member, number),))

    def _send_confirmation(self, requester: MemberId, members: tuple[tuple[MemberId, int], ...]) -> None:
        if requester == self.registry.local_member:
            self.on_ends_confirmed(requester, LeaseEndConfirmation(members))
        else:
            self.actions.add(SendMessage(requester, LeaseEndConfirmation(members)))

    # Waiting for the ends of other members' leases

    def request_ends(self) -> None:
        """Request the confirmations that are missing from the voters."""
        if not self.settings.lease_us:
            return
        for voter, message in self.end_tracker.requests(self.registry).items():
            if voter == self.registry.local_member:
                self.on_end_request(voter, message)
            else:
                self.actions.add(SendMessage(voter, message))

    def on_ends_confirmed(self, voter: MemberId, message: LeaseEndConfirmation) -> None:
        """A voter confirms the ends of leases."""
        for member, number in message.members:
            self.end_tracker.on_confirmed(voter, member, number, self.registry)

    def stand_in_releases(self) -> Iterator[Release]:
        """Stand-ins for the releases of members whose leases have ended, since they can serve no longer."""
        if not self.settings.lease_us:
            return
        for dest, member, number in list(self.registry.missing_for_own_destinations()):
            if self.end_tracker.has_ended(self.actions.now_us, member, number, self.registry):
                yield Release(dest, member, number)

    def on_member_decommissioned(self, member: MemberId) -> None:
        """An operator declared a member gone for good."""
        self.end_tracker.on_member_off(self.actions.now_us, member)

    def forget(self) -> None:
        """Remove what is stored about members that are no longer concerned."""
        for kind, member in self.grantor.forget(self.actions.now_us, self.registry):
            self.actions.remove_record(kind, str(member))
        self.pending_requesters = {
            m: requesters
            for m, requesters in self.pending_requesters.items()
            if m in self.grantor.min_renewal_table
        }
        self.end_tracker.forget(self.registry)
