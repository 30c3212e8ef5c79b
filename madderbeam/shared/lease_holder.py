"""What this member may use of each resource: its lease while valid by its own clock, else its floor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from madderbeam.membership.values import MemberId
from madderbeam.shared.lease_messages import Grant, Holding
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.lease_term import REQUESTS_MAX
from madderbeam.shared.values import Limit, SetAllowance


@dataclass(slots=True)
class LeasedAmount:
    """`amount` until `until_us`, then `fallback`."""

    amount: float
    until_us: int
    fallback: float


@dataclass
class FollowedTerm:
    """The lease term of the request that this member last replied to in a group; only its grants count."""

    grantor: MemberId
    term: int
    seq: int = 0  # of the last grant that was accepted
    rejected_request: int = 0  # grants for this request or an earlier one are rejected


class LeaseHolder:
    """The leases of this member."""

    def __init__(self, settings: LeaseSettings, usage_of: Callable[[str], float]) -> None:
        self.settings, self.usage_of = settings, usage_of
        self.wants_nothing = False  # reports no need, since the member is draining
        self.leases: dict[str, LeasedAmount] = {}
        self.limits: dict[str, Limit] = {}
        self.needs: dict[str, tuple[float, float]] = {}
        self.reported_needs: dict[str, float] = {}  # the needs that were last reported to a grantor
        self.followed: dict[int, FollowedTerm] = {}  # by lease group
        self._replied_at_us: dict[tuple[int, int], int] = {}  # (group, request): when first replied to

    def amount(self, resource: str, now_us: int) -> float:
        """How much may be used of the resource at `now_us`; 0 if it is unknown."""
        lease = self.leases.get(resource)
        if lease is None:
            return 0.0
        return lease.amount if now_us < lease.until_us else lease.fallback

    # Limits and needs

    def limit(self, limit: Limit, fallback: float) -> None:
        """Set a limit; `fallback` is what is used without a lease.

        A valid lease continues, within the limit.
        """
        self.limits[limit.resource] = limit
        lease = self.leases.setdefault(limit.resource, LeasedAmount(0.0, 0, 0.0))
        lease.amount, lease.fallback = min(lease.amount, limit.total), min(fallback, limit.total)

    # Replies and grants

    def record_reply(
        self, now_us: int, group: int, grantor: MemberId, term: int, request: int
    ) -> FollowedTerm:
        """Record that this member replies to a term request at `now_us`, and return the followed term.

        The duration of a grant counts from the first reply to its request: a repeated reply keeps that time.
        """
        followed = self.followed.get(group)
        if followed is None or (followed.grantor, followed.term) != (grantor, term):
            followed = self.followed[group] = FollowedTerm(grantor, term)
            self._replied_at_us = {
                key: sent_us for key, sent_us in self._replied_at_us.items() if key[0] != group
            }
        self._replied_at_us.setdefault((group, request), now_us)
        group_keys = [key for key in self._replied_at_us if key[0] == group]
        for key in group_keys[:-REQUESTS_MAX]:  # the oldest: a dict keeps the order of insertion
            del self._replied_at_us[key]
        return followed

    def holdings(self, now_us: int, resources: list[str]) -> tuple[Holding, ...]:
        """The needs and held amounts of these resources, as they are reported to a grantor."""
        return tuple(self._holding(now_us, resource) for resource in resources)

    def _holding(self, now_us: int, resource: str) -> Holding:
        lease = self.leases[resource]
        need, worth = (0.0, 0.0) if self.wants_nothing else self.needs.get(resource, (0.0, 1.0))
        self.reported_needs[resource] = need
        used = self.usage_of(resource) if self.limits[resource].lingers_us else 0.0
        if now_us < lease.until_us:
            return Holding(resource, need, worth, lease.amount, lease.until_us - now_us, used)
        return Holding(resource, need, worth, lease.fallback, 0, used)

    def changed_needs(self, now_us: int, resources: list[str]) -> tuple[Holding, ...]:
        """Reports of those resources whose need changed so much that it is reported at once."""
        changed_resources = []
        for resource in resources:
            need, reported = self.needs.get(resource, (0.0, 1.0))[0], self.reported_needs.get(resource, 0.0)
            if (
                abs(need - reported) > self.settings.told_change * max(need, reported)
                and not self.wants_nothing
            ):
                changed_resources.append(resource)
        return self.holdings(now_us, changed_resources)

    def lingering(self, now_us: int, resources: list[str]) -> tuple[Holding, ...]:
        """Reports of those resources whose use may outlast a lowered lease."""
        return self.holdings(now_us, [resource for resource in resources if self.limits[resource].lingers_us])

    def accept_grant(self, now_us: int, grantor: MemberId, grant: Grant) -> list[SetAllowance]:
        """What may be used from now on; empty if the grant is not to be accepted or has expired already."""
        followed, sent_us = self.followed.get(grant.slot), self._replied_at_us.get((grant.slot, grant.ask))
        if followed is None or (followed.grantor, followed.term) != (grantor, grant.regime):
            return []
        if sent_us is None or grant.ask <= followed.rejected_request or grant.seq <= followed.seq:
            return []
        until_us = sent_us + min(grant.span_us, self.settings.lease_us)
        if now_us >= until_us:
            return []
        followed.seq = grant.seq
        return [
            allot for resource, amount in grant.parts if (allot := self.set_lease(resource, amount, until_us))
        ]

    def set_lease(self, resource: str, amount: float, until_us: int) -> SetAllowance | None:
        """Use this amount, at least the floor, until `until_us`, and the floor afterwards."""
        lease, limit = self.leases.get(resource), self.limits.get(resource)
        if lease is None or limit is None:
            return None
        lease.amount, lease.until_us = min(max(amount, lease.fallback), limit.total), until_us
        return SetAllowance(resource, lease.amount, until_us, lease.fallback)

    def return_leases(self, now_us: int, group: int, resources: list[str]) -> tuple[list[SetAllowance], int]:
        """Use no more than the floors from now on.

        Also returns the last request for which no grant is accepted.
        """
        followed = self.followed.get(group)
        if followed is not None:
            followed.rejected_request = max(
                [
                    followed.rejected_request,
                    *(
                        sent_request
                        for other_group, sent_request in self._replied_at_us
                        if other_group == group
                    ),
                ]
            )
        allots = [self.set_lease(resource, self.leases[resource].fallback, now_us) for resource in resources]
        return [allot for allot in allots if allot], followed.rejected_request if followed else 0
