"""Lease terms: one member at a time grants, confirmed by a majority (leases: Gray and Cheriton, 1989).

The grantor counts a term from before it sent the request. A member that confirmed a term confirms no other
grantor's until that term has expired by the slowest clock. After a start, since nobody knows what was
confirmed before, it confirms nothing for that long. A grantor that ends its term early announces that; then
only its outstanding grants have to be waited out.
"""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.membership.values import MemberId
from madderbeam.shared.lease_settings import LeaseSettings, longest_us
from madderbeam.shared.majority import Members, has_all_majorities

REQUESTS_MAX = 8  # newest requests of a term that are remembered; what refers to an older one is ignored


class TermVoter:
    """Which lease terms this member has confirmed in a group."""

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.votes_from_us: int | None = None  # None until it is started
        self.replies_from_us = 0
        self.confirmed: tuple[MemberId, int] | None = None
        self.confirmed_until_us = 0  # end of the term that it is bound to
        self.earlier_grants_until_us = 0  # until then, grants of grantors confirmed earlier may be valid

    def start(self, now_us: int) -> None:
        """Begin the waiting periods after a start.

        It may have confirmed a term just before, so it has no vote until it is ready. A grantor to which it
        reported its holdings just before may be about to begin its term; until that has begun or failed it
        does not reply at all.
        """
        if self.votes_from_us is None:
            self.votes_from_us = now_us + self.settings.expiry_bound_us
            self.replies_from_us = now_us + longest_us(
                self.settings.renewal_interval_us, self.settings.drift_ppm
            )

    def may_vote(self, now_us: int) -> bool:
        """Whether replies count as votes."""
        return self.votes_from_us is not None and now_us >= self.votes_from_us

    def may_reply(self, now_us: int) -> bool:
        """Whether term requests are replied to."""
        return self.votes_from_us is not None and now_us >= self.replies_from_us

    def is_free(self, now_us: int) -> bool:
        """Whether it has confirmed nothing that may still run."""
        return self.confirmed is None or now_us >= self.confirmed_until_us

    def remaining_us(self, now_us: int) -> int:
        """How long the confirmed term may still run."""
        return 0 if self.is_free(now_us) else self.confirmed_until_us - now_us

    def may_confirm(self, now_us: int, member: MemberId, term: int) -> bool:
        """Whether it may confirm this term. A later term of the same grantor ends that one's earlier ones."""
        if self.is_free(now_us) or self.confirmed is None:
            return True
        return self.confirmed[0] == member and term >= self.confirmed[1]

    def confirm(self, now_us: int, member: MemberId, term: int) -> bool:
        """Confirm no other grantor's term for a lease from now on.

        Returns whether the reply counts as a vote.
        """
        if self.confirmed != (member, term):
            self.earlier_grants_until_us = max(self.earlier_grants_until_us, self.confirmed_until_us)
        self.confirmed, self.confirmed_until_us = (member, term), now_us + self.settings.expiry_bound_us
        return self.may_vote(now_us)

    def term_ended(self, member: MemberId, term: int) -> None:
        """Handle the grantor's announcement that it grants nothing more under this term."""
        if self.confirmed is not None and self.confirmed[0] == member and self.confirmed[1] <= term:
            self.earlier_grants_until_us = max(self.earlier_grants_until_us, self.confirmed_until_us)
            self.confirmed, self.confirmed_until_us = None, 0


class LeaseTerm:
    """This member's own term in a group, requested or running until `until_us`."""

    def __init__(self, settings: LeaseSettings, group: int, first_number: int) -> None:
        """`first_number`: higher than any term or request number of an earlier incarnation."""
        self.settings, self.group = settings, group
        self.number = first_number  # the term's number
        self.last_request = first_number
        self.is_active = False  # requested or running
        self.requested_since_us = 0  # when it was first requested
        self.running_since_us: int | None = None  # since when it has been running
        self.until_us = 0
        self.earlier_grants_until_us = 0  # until then, earlier grantors' grants may be valid
        self._requests: dict[int, tuple[int, set[MemberId]]] = {}

    def is_running(self, now_us: int) -> bool:
        """Whether the term is confirmed and has not expired."""
        return self.is_active and now_us < self.until_us

    def begin(self, now_us: int) -> None:
        """Take a new term number; the term is requested from now on."""
        self.number += 1
        self.is_active, self.requested_since_us, self.running_since_us = True, now_us, None
        self.until_us = self.earlier_grants_until_us = 0
        self._requests.clear()

    def end(self) -> None:
        """End the term: nothing more is granted under it."""
        self.is_active, self.running_since_us, self.until_us = False, None, 0
        self._requests.clear()

    def new_request(self, now_us: int) -> int:
        """Return the number of a new request; its lease counts from `now_us`, however late replies are."""
        self.last_request += 1
        self._requests[self.last_request] = (now_us, set())
        while len(self._requests) > REQUESTS_MAX:
            del self._requests[next(iter(self._requests))]  # the oldest: a dict keeps the order of insertion
        return self.last_request

    def requested_at_us(self, request: int) -> int | None:
        """When this request was sent; None if it is no longer remembered, so that its replies are ignored."""
        return self._requests[request][0] if request in self._requests else None

    def record_vote(
        self, now_us: int, member: MemberId, request: int, earlier_us: int, sets: Iterable[Members]
    ) -> None:
        """Count a member's vote, and begin or extend the term once the majorities have confirmed.

        What a vote tells of earlier grants counts until the term begins: each earlier term had majorities,
        too, and one of the voters that let this one begin belonged to them. Later votes may tell of terms
        that never ran.

        A term begins only soon after its first request, while the holdings that members reported are still
        accurate.
        """
        if not self.is_active or request not in self._requests:
            return
        requested_us, voters = self._requests[request]
        voters.add(member)
        if earlier_us and self.running_since_us is None:
            self.earlier_grants_until_us = max(
                self.earlier_grants_until_us, now_us + longest_us(earlier_us, self.settings.drift_ppm)
            )
        is_too_late = (
            self.running_since_us is None
            and now_us >= self.requested_since_us + self.settings.renewal_interval_us
        )
        if is_too_late or not has_all_majorities(self.group, sets, voters):
            return
        self.until_us = max(self.until_us, requested_us + self.settings.lease_us)
        if self.running_since_us is None and self.is_running(now_us):
            self.running_since_us = now_us
