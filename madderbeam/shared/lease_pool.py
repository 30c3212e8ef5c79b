"""What a lease grantor gives out of one resource: only what is certainly free, even of unreachable members.

Each member is charged the greatest of its base amount and of all grants that it may still use, so the sum of
the charges bounds the total use. A grant is dropped once the member has acknowledged a later one or returned
it, or else once it has expired by the slowest clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from madderbeam.membership.values import MemberId
from madderbeam.shared.division import ROUNDING_ERROR, Claim, damped, divide, rounded
from madderbeam.shared.lease_messages import Holding
from madderbeam.shared.lease_settings import LeaseSettings, longest_us, shortest_us
from madderbeam.shared.site_membership import SiteMembership
from madderbeam.shared.values import Limit

REGRANT_FRACTION = 0.05  # fraction of a share: a greater difference is granted between two renewals


@dataclass(frozen=True)
class OutstandingGrant:
    """A grant that a member may still use, until `until_us` by the grantor's clock."""

    request: int
    seq: int
    amount: float
    until_us: int


@dataclass
class MemberShare:
    """A member that has replied in this term.

    `reported_amount`: what it first reported to have, certain until `certain_until_us`; `target`: what it
    should have.
    """

    reported_amount: float
    certain_until_us: int
    target: float
    need: float = 0.0
    weight: float = 1.0
    reported_us: int = 0
    used: float = 0.0  # reported as in use; ends by `used_until_us` unless reported again
    used_until_us: int = 0


class LeasePool:
    """One resource under one lease term.

    A grant of a lingering resource stays charged for as long as what was begun under it may be in use, or
    until the member has reported its use.
    """

    def __init__(self, settings: LeaseSettings, membership: SiteMembership, limit: Limit) -> None:
        self.settings, self.membership, self.limit = settings, membership, limit
        self.shares: dict[MemberId, MemberShare] = {}
        self.outstanding: dict[MemberId, list[OutstandingGrant]] = {}

    def record_reply(self, now_us: int, requested_us: int, member: MemberId, holding: Holding) -> None:
        """Record a member's reply to the request sent at `requested_us`.

        Its first reply tells what it holds.
        """
        share = self.shares.get(member)
        if share is None:
            drift = self.settings.drift_ppm
            certain_until_us = requested_us + shortest_us(holding.left_us, drift)
            share = MemberShare(holding.held, certain_until_us if holding.left_us else 2**63, holding.held)
            self.shares[member] = share
            if holding.left_us:
                expires_us = now_us + longest_us(holding.left_us, drift) + self.lingers_us
                self.outstanding[member] = [OutstandingGrant(-1, 0, holding.held, expires_us)]
        self.record_need(now_us, member, holding)
        self.record_use(now_us, member, holding)

    def record_need(self, now_us: int, member: MemberId, holding: Holding) -> None:
        """Record how much the member could use now, and its weight."""
        if (share := self.shares.get(member)) is not None:
            decay = self.settings.decay if self.limit.in_whole_units else 0.0  # rates are averaged already
            share.need = max(min(holding.need, self.limit.total), share.need * decay)
            share.weight, share.reported_us = holding.worth, now_us

    @property
    def lingers_us(self) -> int:
        """How long use may outlast a grant, by the slowest clock."""
        return longest_us(self.limit.lingers_us, self.settings.drift_ppm)

    def record_use(self, now_us: int, member: MemberId, holding: Holding) -> None:
        """Record the member's current use, charged until it reports another or it must have ended."""
        if (share := self.shares.get(member)) is not None and self.limit.lingers_us:
            share.used, share.used_until_us = holding.used, now_us + self.lingers_us

    def begin_term(self, now_us: int) -> None:
        """The term starts to run.

        Only amounts held at this instant count: a lease that has expired since it was reported may have been
        granted to another member by the grantor before.
        """
        for share in self.shares.values():
            if now_us >= share.certain_until_us:
                share.reported_amount = 0.0

    def acknowledge(self, member: MemberId, seq: int) -> None:
        """The member acknowledged the grant `seq`: earlier grants of the resource are no longer in use."""
        if any(grant.seq == seq for grant in self.outstanding.get(member, ())):
            self._keep(member, lambda grant: grant.seq >= seq)

    def record_return(self, now_us: int, member: MemberId, request: int) -> None:
        """The member has returned what was granted for this or an earlier request.

        Amounts still in use stay charged as before.
        """
        if not self.limit.lingers_us:
            self._keep(member, lambda grant: grant.request > request)
        if share := self.shares.get(member):
            share.need = share.weight = 0.0
            share.target = self.membership.reserved_amount(now_us, self.limit, member)

    def expire(self, now_us: int) -> None:
        """Drop expired grants, and members that no table names."""
        for member in list(self.outstanding):
            self._keep(member, lambda grant: grant.until_us > now_us)
        named = self.membership.members
        self.shares = {m: share for m, share in self.shares.items() if m in named or m in self.outstanding}

    def _keep(self, member: MemberId, is_in_use: Callable[[OutstandingGrant], bool]) -> None:
        """Keep those grants of the member for which the predicate holds."""
        kept_grants = [grant for grant in self.outstanding.get(member, ()) if is_in_use(grant)]
        if kept_grants:
            self.outstanding[member] = kept_grants
        else:
            self.outstanding.pop(member, None)

    # Charges

    def charge(self, now_us: int, member: MemberId) -> float:
        """The most that the member may be using."""
        base = (
            self.membership.reserved_amount(now_us, self.limit, member)
            if member in self.membership.members
            else 0.0
        )
        if (share := self.shares.get(member)) is not None and now_us < share.used_until_us:
            base = max(base, share.used)
        return max(
            [base, *(grant.amount for grant in self.outstanding.get(member, ()) if grant.until_us > now_us)]
        )

    def budget(self, now_us: int, wait_until_us: int) -> tuple[float, set[MemberId]]:
        """The total to be charged, and the members that it is charged to.

        Until `wait_until_us`, members that have not replied (perhaps by a table unknown here) may hold
        everything that the others did not report as held.
        """
        if now_us < wait_until_us:
            return sum(share.reported_amount for share in self.shares.values()), set(self.shares)
        return self.limit.total, {*self.membership.members, *self.outstanding}

    def free(self, now_us: int, wait_until_us: int) -> float:
        """The amount that is charged to no member. Negative if members use different tables."""
        total, members = self.budget(now_us, wait_until_us)
        return total - sum(self.charge(now_us, m) for m in members)

    # Grants

    def divide(self, now_us: int, wait_until_us: int, is_fresh: bool) -> None:
        """Decide how much each member should have.

        Members without a reply within a lease get no share. While the term is fresh, a fixed share is left
        for each member that has not replied yet.
        """
        total, members = self.budget(now_us, wait_until_us)
        replied_since_us = now_us - self.settings.lease_us
        replied = {
            member_id: record
            for member_id, record in self.shares.items()
            if record.reported_us >= replied_since_us and member_id in members
        }
        spare = total - sum(
            self.charge(now_us, member_id) for member_id in members if member_id not in replied
        )
        bases = {
            member_id: self.membership.reserved_amount(now_us, self.limit, member_id) for member_id in replied
        }
        claims = {
            member_id: Claim(bases[member_id], record.need, record.weight)
            for member_id, record in replied.items()
        }
        for member in members - replied.keys() if is_fresh else ():
            claims[member] = Claim(0.0, self.limit.fixed - self.charge(now_us, member))
        parts = divide(spare, claims)
        if self.limit.in_whole_units:
            parts = rounded(parts)
        # members use different tables: the remainder applies at once
        is_overcommitted = self.free(now_us, wait_until_us) < 0
        for member, share in replied.items():
            part = parts[member]
            if not self.limit.in_whole_units:
                part = damped(share.target, part, self.settings.part_most, self.settings.small)
            share.target = min(part, parts[member]) if is_overcommitted else max(bases[member], part)

    def grant(
        self, now_us: int, wait_until_us: int, member: MemberId, request: int, seq: int, until_us: int
    ) -> float:
        """Record and return the amount that the member is granted until `until_us` by this clock.

        That is its share as far as it is free. Where charges exceed the total because members use different
        tables, it is not granted more than it has.
        """
        current = max(
            [0.0, *(grant.amount for grant in self.outstanding.get(member, ()) if grant.until_us > now_us)]
        )
        available = self.charge(now_us, member) + self.free(now_us, wait_until_us)
        amount = min(self.shares[member].target, max(current, available))
        if self.limit.in_whole_units:
            amount = float(math.floor(amount + ROUNDING_ERROR))
        self.outstanding.setdefault(member, []).append(
            OutstandingGrant(request, seq, amount, until_us + self.lingers_us)
        )
        return amount

    def needs_grant(self, now_us: int, wait_until_us: int, member: MemberId) -> bool:
        """Whether the member has more than its share, or less while more is free for it now."""
        share = self.shares.get(member)
        if share is None:
            return False
        current = max([0.0, *(grant.amount for grant in self.outstanding.get(member, ())[-1:])])
        if (
            current - share.target >= (1 if self.limit.in_whole_units else REGRANT_FRACTION * current)
            and current
        ):
            return True
        increase = min(share.target, self.charge(now_us, member) + self.free(now_us, wait_until_us)) - current
        return increase >= 1 if self.limit.in_whole_units else increase > REGRANT_FRACTION * share.target

    def granted_amounts(self, now_us: int) -> dict[MemberId, float]:
        """The amount that each member may still use of what it was granted."""
        return {
            member: max(grant.amount for grant in grants)
            for member, grants in self.outstanding.items()
            if grants[-1].until_us > now_us
        }
