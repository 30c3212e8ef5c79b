"""Serving leases (Gray and Cheriton, 1989): a member serves while voters renew its lease.

The member counts a lease from before it sends the request; a voter counts it from after its reply, and for
longer by the drift between two clocks. Voters also confirm to other members that a lease has ended. A voter
writes a confirmation to disk before it sends it, so it also holds after the voter's restart. A restarted
voter does not know what it renewed before, so it confirms nothing until a whole lease has passed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.federation.switchover.ledger import is_active_member
from madderbeam.federation.switchover.messages import LeaseEndRequest, LeaseReply, LeaseRequest
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.membership.values import MemberId

MAX_OPEN_REQUESTS = 4  # the latest requests, whose replies still count
RENEWALS = 4  # in the span of a lease


def is_majority(voters: tuple[MemberId, ...], members: Iterable[MemberId]) -> bool:
    """Whether more than half of the voters are among the members (never without voters)."""
    return sum(v in voters for v in set(members)) > len(voters) // 2


class LeaseHolder:
    """The lease of this member: it is valid until `valid_until_us`."""

    def __init__(self, settings: SwitchoverSettings) -> None:
        self.settings = settings
        self.valid_until_us = 0
        self._open_requests: dict[int, tuple[int, set[MemberId]]] = {}

    def is_valid(self, now_us: int) -> bool:
        """Whether the lease is valid at this time; always without leases."""
        return not self.settings.lease_us or now_us < self.valid_until_us

    def on_request_sent(self, now_us: int, request_id: int) -> None:
        """A request is sent: the lease counts from now, whenever the replies arrive."""
        self._open_requests[request_id] = (now_us, set())
        while len(self._open_requests) > MAX_OPEN_REQUESTS:
            del self._open_requests[next(iter(self._open_requests))]

    def on_reply(self, member: MemberId, message: LeaseReply, voters: tuple[MemberId, ...]) -> None:
        """A voter's reply; a majority of grants for one request extends the lease."""
        if not message.granted or message.request_id not in self._open_requests:
            return
        requested_us, granted_by = self._open_requests[message.request_id]
        granted_by.add(member)
        if is_majority(voters, granted_by):
            self.valid_until_us = max(self.valid_until_us, requested_us + self.settings.lease_us)

    def invalidate(self) -> None:
        """The lease is void: this process was paused, or the voters have changed."""
        self.valid_until_us = 0
        self._open_requests.clear()


class LeaseGrantor:
    """What this member granted and confirmed as a voter.

    `min_renewal_table`: the table number below which a member's lease is not renewed, because its end was
    confirmed. `lease_spans_us`: the span of the leases by which a member serves. Both are on disk.
    """

    def __init__(self, settings: SwitchoverSettings, records: Mapping[tuple[str, str], Any]) -> None:
        self.settings = settings
        self.min_renewal_table: dict[MemberId, int] = {}
        self.lease_spans_us: dict[MemberId, int] = {}
        for (kind, _), value in records.items():
            if kind == "vouch":
                site, name, number = value
                self.min_renewal_table[MemberId(site, name)] = number
            elif kind == "leased":
                site, name, lease_us = value
                self.lease_spans_us[MemberId(site, name)] = lease_us
        self.last_renewed_us: dict[MemberId, int] = {}  # the time of the last renewal
        self.confirms_from_us = 0

    def start(self, now_us: int, previous_span_us: int) -> None:
        """`previous_span_us`: the longest span of a lease by the earlier settings; it may still be valid."""
        self.confirms_from_us = now_us + max(self.settings.lease_expiry_us, previous_span_us)

    def renew(
        self,
        now_us: int,
        member: MemberId,
        message: LeaseRequest,
        registry: OwnershipRegistry,
        may_vote: bool,
    ) -> LeaseReply:
        """Renew a member's lease, or reject the request with a reason."""
        reason = ""
        if not may_vote:
            reason = "this member takes no part in votes"
        elif message.lease_us > self.settings.lease_us:
            reason = f"lease_us is {message.lease_us}; allowed: at most {self.settings.lease_us}"
        elif (
            not is_active_member(registry.table, member)
            or registry.decommissioned_up_to.get(member, 0) >= registry.table.number
        ):
            reason = f"table {registry.table.number} does not name it"
        elif message.number < self.min_renewal_table.get(member, 0):
            reason = (
                f"it was vouched for that its lease by a table below {self.min_renewal_table[member]} is over"
            )
        else:
            self.last_renewed_us[member] = now_us
        return LeaseReply(message.request_id, not reason, registry.table.number, reason)

    def can_confirm_end(self, now_us: int, member: MemberId, may_vote: bool) -> bool:
        """Whether the end of a member's lease can be confirmed.

        That is so if the member serves by leases and no renewal by this voter can still be valid.
        """
        serves_by_leases = 0 < self.lease_spans_us.get(member, 0) <= self.settings.lease_us
        last_us = self.last_renewed_us.get(member)
        has_expired = last_us is None or now_us >= last_us + self.settings.lease_expiry_us
        return may_vote and serves_by_leases and has_expired and now_us >= self.confirms_from_us

    def bar_renewal(self, member: MemberId, number: int) -> bool:
        """Renew no lease of the member by a table below `number` any more; False if the limit is reached."""
        if member not in self.min_renewal_table and len(self.min_renewal_table) >= MAX_MEMBERS:
            return False
        self.min_renewal_table[member] = max(number, self.min_renewal_table.get(member, 0))
        return True

    def forget(self, now_us: int, registry: OwnershipRegistry) -> list[tuple[str, MemberId]]:
        """Remove what is no longer needed; returns kind and member of the records to remove.

        A confirmation binds until the member has that table in force, even if no table lists it for a while;
        a renewal counts until its lease has expired.
        """
        owing = {member for outstanding in registry.ledger.outstanding.values() for member in outstanding}
        standings = registry.standings
        removed = [
            ("vouch", member)
            for member, number in self.min_renewal_table.items()
            if member in standings and standings[member].number >= number
        ]
        removed += [
            ("leased", member)
            for member in self.lease_spans_us
            if not is_active_member(registry.table, member) and member not in owing
        ]
        for kind, member in removed:
            del (self.min_renewal_table if kind == "vouch" else self.lease_spans_us)[member]
        expired_us = now_us - self.settings.lease_expiry_us
        self.last_renewed_us = {
            member: renewed_us
            for member, renewed_us in self.last_renewed_us.items()
            if renewed_us > expired_us or is_active_member(registry.table, member)
        }
        return removed


class LeaseEndTracker:
    """The voters' confirmations that the leases of members have ended whose release this member waits for."""

    def __init__(self, settings: SwitchoverSettings) -> None:
        self.settings = settings
        self.confirmations: dict[MemberId, dict[MemberId, int]] = {}
        self.off_since_us: dict[MemberId, int] = {}  # when a voter was found to be declared gone

    def requests(self, registry: OwnershipRegistry) -> dict[MemberId, LeaseEndRequest]:
        """The request to send to each voter."""
        outstanding: dict[MemberId, int] = {}
        for _, member, number in registry.missing_for_own_destinations():
            outstanding[member] = max(number, outstanding.get(member, 0))
        members_by_voter: dict[MemberId, list[tuple[MemberId, int]]] = {}
        for member, number in sorted(outstanding.items())[:MAX_MEMBERS]:
            for voter in {voter for voters in self._voter_sets(member, registry) for voter in voters}:
                if self.confirmations.get(member, {}).get(voter, 0) < number:
                    members_by_voter.setdefault(voter, []).append((member, number))
        return {voter: LeaseEndRequest(tuple(members)) for voter, members in sorted(members_by_voter.items())}

    def on_confirmed(
        self, voter: MemberId, member: MemberId, number: int, registry: OwnershipRegistry
    ) -> None:
        """A voter confirms that the member's lease by a table below `number` has ended."""
        if any(member in outstanding for outstanding in registry.ledger.outstanding.values()):
            confirmations = self.confirmations.setdefault(member, {})
            confirmations[voter] = max(number, confirmations.get(voter, 0))

    def has_ended(self, now_us: int, member: MemberId, number: int, registry: OwnershipRegistry) -> bool:
        """Whether the member can hold no lease by a table below `number`, whichever table it has in force."""
        confirmations = self.confirmations.get(member, {})
        confirmed_by = {v for v, n in confirmations.items() if n >= number}
        confirmed_by |= {
            v for v, off_us in self.off_since_us.items() if now_us >= off_us + self.settings.lease_expiry_us
        }
        return all(is_majority(voters, confirmed_by) for voters in self._voter_sets(member, registry))

    def on_member_off(self, now_us: int, member: MemberId) -> None:
        """A member that an operator declared gone for good renews nothing any more."""
        self.off_since_us.setdefault(member, now_us)

    def forget(self, registry: OwnershipRegistry) -> None:
        """Remove what is stored about members that owe no release and about former voters."""
        owing = {member for outstanding in registry.ledger.outstanding.values() for member in outstanding}
        self.confirmations = {
            m: confirmations for m, confirmations in self.confirmations.items() if m in owing
        }
        all_voters = {v for _, voters in registry.ledger.voter_sets for v in voters}
        self.off_since_us = {m: off_us for m, off_us in self.off_since_us.items() if m in all_voters}

    def _voter_sets(self, member: MemberId, registry: OwnershipRegistry) -> list[tuple[MemberId, ...]]:
        """The voters of each table that the member may have in force."""
        standing = registry.standings.get(member)
        lowest = standing.number if standing is not None else 0
        voter_sets = registry.ledger.voter_sets
        first_numbers = [first for first, _ in voter_sets[1:]]
        return [v for (_, v), end in zip(voter_sets, [*first_numbers, 2**62], strict=True) if end > lowest]
