"""When this member requests the lease term of a group: the first live member by hash does, or the next.

Which member requests it affects only how fast a grantor is found; the votes ensure that there is one at a
time.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from madderbeam.membership.values import MemberId, MemberView
from madderbeam.relay.selection import is_running
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.lease_term import TermVoter
from madderbeam.shared.majority import by_rendezvous_score
from madderbeam.shared.site_membership import SiteMembership

BACKOFF_DOUBLINGS_MAX = 5  # doublings of the backoff between two attempts
TICKS_PER_RENEWAL = 4  # per renewal interval


class Candidacy:
    """Decides when to request a term. `free_since_us`: since when no confirmed term is valid here."""

    def __init__(self, settings: LeaseSettings, membership: SiteMembership, group: int, rng: Random) -> None:
        self.settings, self.membership, self.group, self.rng = settings, membership, group, rng
        self.free_since_us: int | None = None
        self.not_before_us = 0
        self.failures = 0
        # grantor whose term expired, passed over in favour of the next member
        self.skipped: MemberId | None = None

    def failed(self, now_us: int, left_us: int = 0) -> None:
        """Back off at random, so that other members get a chance and candidates do not stay in step."""
        interval_us = self.settings.renewal_interval_us
        self.failures = min(self.failures + 1, BACKOFF_DOUBLINGS_MAX)
        wait_us = interval_us // 2 + self.rng.randrange(interval_us << (self.failures - 1))
        self.not_before_us = now_us + max(left_us, wait_us)

    def succeeded(self) -> None:
        """This member's term has begun: reset the backoff."""
        self.failures, self.not_before_us = 0, 0

    def grantor_seen(self, grantor: MemberId) -> None:
        """The grantor requests again, so it is no longer passed over."""
        if self.skipped == grantor:
            self.skipped = None

    def term_ended(self, now_us: int, grantor: MemberId) -> None:
        """The grantor has ended its term: another member may request one at once."""
        self.free_since_us = now_us
        self.skipped = grantor

    def should_request(
        self, now_us: int, voter: TermVoter, views: Mapping[MemberId, MemberView], may_grant: bool
    ) -> bool:
        """Whether to request a term now. `may_grant`: this member is not draining."""
        if not voter.may_vote(now_us) or not voter.is_free(now_us):
            self.free_since_us = None
            return False
        if self.free_since_us is None:
            self.free_since_us = max(voter.confirmed_until_us, voter.votes_from_us or 0)
            if voter.confirmed is not None:
                self.skipped = voter.confirmed[0]
        if now_us < self.not_before_us or not self._may(may_grant, views):
            return False
        step_us = self.settings.renewal_interval_us // TICKS_PER_RENEWAL
        return now_us >= self.free_since_us + self._rank(views) * step_us

    def _may(self, may_grant: bool, views: Mapping[MemberId, MemberView]) -> bool:
        is_named = self.membership.own_id in self.membership.current
        return is_named and (
            may_grant or not any(self.is_eligible(m, views) for m in self.membership.current)
        )

    def is_eligible(self, member: MemberId, views: Mapping[MemberId, MemberView]) -> bool:
        """Whether the member is live, not draining and not passed over."""
        view = views.get(member)
        return view is not None and is_running(view) and not view.draining and member != self.skipped

    def _rank(self, views: Mapping[MemberId, MemberView]) -> int:
        """How many eligible members come before this one in the group's order."""
        order = by_rendezvous_score(self.group, self.membership.current)
        preceding_members = order[: order.index(self.membership.own_id)]
        return sum(self.is_eligible(member, views) for member in preceding_members)
