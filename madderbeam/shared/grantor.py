"""A lease grantor's side of one lease group: its term, the replies to it, and the grants that follow."""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import MemberId
from madderbeam.shared.lease_messages import Grant, GrantAck, LeaseReturn, TermEnd, TermReply, TermRequest
from madderbeam.shared.lease_pool import LeasePool
from madderbeam.shared.lease_settings import LeaseSettings, shortest_us
from madderbeam.shared.lease_term import LeaseTerm
from madderbeam.shared.outgoing import OutgoingActions
from madderbeam.shared.site_membership import SiteMembership
from madderbeam.shared.values import Limit


class Grantor:
    """Sends grants while its lease term runs."""

    def __init__(
        self,
        settings: LeaseSettings,
        membership: SiteMembership,
        out: OutgoingActions,
        group: int,
        first_number: int,
    ) -> None:
        self.settings, self.membership, self.out, self.group = settings, membership, out, group
        self.term = LeaseTerm(settings, group, first_number)
        self.pools: dict[str, LeasePool] = {}
        self.limits: dict[str, Limit] = {}
        self.seq = first_number  # number of the last grant
        self.requested_us = 0
        self._replied: dict[MemberId, int] = {}  # the last request that each member replied to
        self._changed: set[str] = set()  # resources whose reported need changed since the last division
        self._returned: dict[MemberId, int] = {}  # by member, the last request for which it accepts no grant

    def is_running(self) -> bool:
        """Whether this member's lease term is confirmed and has not expired."""
        return self.term.is_running(self.out.now_us)

    def limit(self, limit: Limit) -> None:
        """Add or change a limit."""
        self.limits[limit.resource] = limit
        if limit.resource in self.pools:
            self.pools[limit.resource].limit = limit

    def begin(self) -> None:
        """Start a new lease term and request its confirmation."""
        self.term.begin(self.out.now_us)
        self._clear()
        self.request()

    def end(self) -> None:
        """Stop granting under the current term, and notify all members."""
        if self.term.is_active:
            self.term.end()
            self._clear()
            self._send_to_all(TermEnd(self.group, self.term.number))

    def _clear(self) -> None:
        self.pools.clear()
        self._replied.clear()
        self._returned.clear()
        self._changed.clear()

    def request(self) -> None:
        """Request confirmation or renewal of the term from all members."""
        self.requested_us = self.out.now_us
        request = self.term.new_request(self.out.now_us)
        joined = self.membership.joined_bitmap(self.out.now_us)
        self._send_to_all(TermRequest(self.group, self.term.number, request, self.settings.lease_us, joined))

    def _send_to_all(self, message: Any) -> None:
        for member in self.membership.members:
            self.out.send(member, message)

    def divide_all(self) -> None:
        """Drop what has expired and divide each resource anew."""
        members = self.membership.members
        self._replied = {m: request for m, request in self._replied.items() if m in members}
        now_us, since_us = self.out.now_us, self.term.running_since_us
        for pool in self.pools.values():
            pool.expire(now_us)
            if since_us is not None and self.is_running():
                pool.divide(
                    now_us, self._wait_until_us(pool), now_us < since_us + self.settings.renewal_interval_us
                )

    def handle_reply(self, member: MemberId, message: TermReply) -> None:
        """Handle a reply to a term request."""
        now_us, term = self.out.now_us, self.term
        requested_us = term.requested_at_us(message.ask)
        if not term.is_active or message.regime != term.number or requested_us is None:
            return
        if term.running_since_us is not None and not self.is_running():
            self.end()  # another member may have granted since
            return
        self.membership.merge_joined(now_us, message.joined)
        self.membership.record_joined(now_us, member)
        was_running = self.is_running()
        for holding in message.holdings:
            pool = self._pool(holding.resource)
            if pool is not None:
                pool.record_reply(now_us, requested_us, member, holding)
                pool.acknowledge(member, message.seq)
        self._replied[member] = max(message.ask, self._replied.get(member, 0))
        if message.votes:
            term.record_vote(now_us, member, message.ask, message.earlier_us, self.membership.member_sets)
        if was_running:
            self.grant(member)
        elif self.is_running():
            self._start_granting()

    def _pool(self, resource: str) -> LeasePool | None:
        if resource not in self.pools and resource in self.limits:
            self.pools[resource] = LeasePool(self.settings, self.membership, self.limits[resource])
        return self.pools.get(resource)

    def _start_granting(self) -> None:
        for pool in self.pools.values():
            pool.begin_term(self.out.now_us)
        self.divide_all()
        for member in self._replied:
            self.grant(member)

    def grant(self, member: MemberId) -> None:
        """Grant the member its shares in reply to its last message, until the term's end at most."""
        now_us, until_us, request = self.out.now_us, self.term.until_us, self._replied[member]
        if now_us >= until_us or request <= self._returned.get(member, 0):
            return
        self.seq += 1
        amounts = [
            (resource, pool.grant(now_us, self._wait_until_us(pool), member, request, self.seq, until_us))
            for resource, pool in self.pools.items()
            if member in pool.shares
        ]
        span_us = shortest_us(until_us - now_us, self.settings.drift_ppm)
        if amounts:
            self.out.count("granted")
            grant = Grant(self.group, self.term.number, request, self.seq, span_us, tuple(amounts))
            self.out.send(member, grant)

    def _wait_until_us(self, pool: LeasePool) -> int:
        """Until when earlier grantors' grants of this resource may still be in use.

        A lingering resource may be in use even though no earlier term was running when this one began.
        """
        if not pool.limit.lingers_us:
            return self.term.earlier_grants_until_us
        return max(self.term.earlier_grants_until_us, self.term.running_since_us or 0) + pool.lingers_us

    def handle_ack(self, member: MemberId, message: GrantAck) -> None:
        """Handle an acknowledgement of a lowered grant, whose difference is then free, or a changed need.

        Both take effect with the next `refresh`.
        """
        if not self.is_running() or message.regime != self.term.number:
            return
        holdings = {holding.resource: holding for holding in message.holdings}
        for resource, pool in self.pools.items():
            if not pool.limit.lingers_us:
                pool.acknowledge(member, message.seq)
            elif resource in holdings:
                pool.record_use(self.out.now_us, member, holdings[resource])
                pool.acknowledge(member, message.seq)
            if resource in holdings:
                pool.record_need(self.out.now_us, member, holdings[resource])
                self._changed.add(resource)

    def refresh(self) -> None:
        """Between two renewals, grant amounts that have changed.

        Divides by the needs reported since, and sends grants to members whose share differs from what they
        have, as far as it is free.
        """
        if self.is_running():
            now_us = self.out.now_us
            for resource in self._changed & self.pools.keys():
                self.pools[resource].divide(now_us, self._wait_until_us(self.pools[resource]), False)
            self._changed.clear()
            for member in list(self._replied):
                if any(
                    pool.needs_grant(now_us, self._wait_until_us(pool), member)
                    for pool in self.pools.values()
                ):
                    self.grant(member)

    def handle_return(self, member: MemberId, message: LeaseReturn) -> None:
        """Handle a member's return of what it was granted."""
        if self.term.is_active and message.regime == self.term.number:
            self._returned[member] = max(message.ask, self._returned.get(member, 0))
            for pool in self.pools.values():
                pool.record_return(self.out.now_us, member, message.ask)

    def reserved_amounts(self) -> dict[str, dict[str, float]]:
        """By resource, what is reserved for each member whatever it was granted."""
        now_us, membership = self.out.now_us, self.membership
        return {
            resource: {
                str(member): membership.reserved_amount(now_us, pool.limit, member)
                for member in membership.members
            }
            for resource, pool in self.pools.items()
        }
