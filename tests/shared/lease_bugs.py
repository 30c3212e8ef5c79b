"""Seeded faults: each removes one of the rules that keep the sum of all leases under the limit."""

import contextlib
from unittest import mock

from madderbeam.shared import grantor, lease_pool, lease_term, site_membership
from madderbeam.shared.lease_holder import LeaseHolder
from madderbeam.shared.lease_pool import LeasePool
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.lease_term import LeaseTerm, TermVoter
from madderbeam.shared.site_membership import SiteMembership

_accept_grant, _record_vote, _voter_start, _expire = (
    LeaseHolder.accept_grant,
    LeaseTerm.record_vote,
    TermVoter.start,
    LeasePool.expire,
)


def _lease_counted_from_grant(self, now_us, grantor, grant):
    key = grant.slot, grant.ask
    if key in self._replied_at_us:
        self._replied_at_us[key] = now_us
    return _accept_grant(self, now_us, grantor, grant)


def _votes_at_once(self, now_us):
    _voter_start(self, now_us)
    self.votes_from_us = self.replies_from_us = now_us


def _earlier_grants_ignored(self, now_us, member, request, earlier_us, sets):
    return _record_vote(self, now_us, member, request, 0, sets)


def _no_floor_reserved(self, now_us, limit, member):
    return 0.0


def _only_last_grant_charged(self, now_us, member):
    base = self.membership.reserved_amount(now_us, self.limit, member)
    return max([base, *(grant.amount for grant in self.outstanding.get(member, ())[-1:])])


def _dead_members_not_charged(self, now_us):
    _expire(self, now_us)
    for member, share in self.shares.items():
        if share.reported_us < now_us - self.settings.renewal_interval_us * 3 // 2:
            self.outstanding.pop(member, None)


def _used_after_expiry(self, resource, now_us):
    lease = self.leases.get(resource)
    return max(lease.amount, lease.fallback) if lease else 0.0


def _only_current_table(self, now_us, event):
    self._in_use = (tuple(sorted(event.members)),)
    self.is_first_table, self.current = event.is_first_table, self._in_use[0]
    self.floor_reserved_from_us = now_us
    self.expire(now_us)


def _drift_ignored(patches):
    for module in (lease_term, lease_pool, grantor, site_membership):
        for name in ("longest_us", "shortest_us"):
            if hasattr(module, name):
                patches.enter_context(mock.patch.object(module, name, lambda span_us, drift_ppm: span_us))
    patches.enter_context(mock.patch.object(LeaseSettings, "expiry_bound_us", property(lambda s: s.lease_us)))


BUGS = {
    "a lease is counted from its grant": (LeaseHolder, "accept_grant", _lease_counted_from_grant),
    "a restarted member confirms at once": (TermVoter, "start", _votes_at_once),
    "earlier grants of unreachable members are ignored": (LeaseTerm, "record_vote", _earlier_grants_ignored),
    "no floor is reserved": (SiteMembership, "reserved_amount", _no_floor_reserved),
    "clock drift is ignored": _drift_ignored,
    "a term of a minority": (lease_term, "has_all_majorities", lambda slot, sets, of: len(of) >= 1),
    "one member confirms two terms": (TermVoter, "may_confirm", lambda self, now_us, member, term: True),
    "a lower grant counts before it is acknowledged": (LeasePool, "charge", _only_last_grant_charged),
    "dead members are not charged": (LeasePool, "expire", _dead_members_not_charged),
    "a lease is used after it expired": (LeaseHolder, "amount", _used_after_expiry),
    "earlier tables are ignored": (SiteMembership, "update", _only_current_table),
}


@contextlib.contextmanager
def planted(name):
    with contextlib.ExitStack() as patches:
        bug = BUGS[name]
        if callable(bug):
            bug(patches)
        else:
            patches.enter_context(mock.patch.object(*bug))
        yield
