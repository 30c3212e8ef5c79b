"""Leases on connection places: whole units, a floor of one, and calls that outlast their lease.

A call that outlasts the lease under which it began is counted until it ends.
"""

from unittest import mock

import pytest
from lease_net import LEASE, S, ids
from place_net import LINGERS, PLACES, PlaceDraw, Places

from madderbeam.shared import lease_pool
from madderbeam.shared.division import rounded
from madderbeam.shared.grantor import Grantor
from madderbeam.shared.lease_pool import LeasePool
from madderbeam.shared.site_membership import SiteMembership


def settled(count=5, each=4, seed=1):
    net = Places(seed, ids(count), count * each)
    net.boot()
    net.run(5 * LEASE)
    assert len(net.grantors()) == 1
    return net


def other(net):
    return next(m for m in net.site if m not in net.grantors())


def test_rounded_shares_have_the_same_sum():
    assert rounded({"a": 1.5, "b": 1.25, "c": 0.25}) == {"a": 2.0, "b": 1.0, "c": 0.0}
    parts = rounded(dict.fromkeys(range(7), 100 / 7))
    assert sum(parts.values()) == 100 and all(p == int(p) for p in parts.values())


def test_the_largest_need_gets_what_the_others_leave_beyond_one_each():
    net = settled()
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    amounts = net.amounts(PLACES)
    assert amounts[m] == 16.0 and all(a == 1.0 for o, a in amounts.items() if o != m)
    assert net.count(m, 1) > 8


def test_a_lowered_lease_keeps_its_calls_and_places_move_as_calls_end():
    net = settled()
    first, second = [m for m in net.site if m not in net.grantors()][:2]
    net.need(first, PLACES, 20.0)
    net.run(4 * LEASE)
    net.open[first, 1] = [net.now + LEASE // 2 + n * LEASE // 40 for n in range(16)]  # busy for a while
    net.need(first, PLACES, 0.0)
    net.need(second, PLACES, 20.0)
    net.run(LEASE // 2 - 1)
    assert net.count(first, 1) == 16 and net.count(second, 1) <= 1  # no call was aborted
    net.run(3 * LEASE)
    assert net.amounts(PLACES)[second] == 16.0 and net.count(second, 1) > 8


def test_a_paused_member_opens_no_connection_under_an_expired_lease():
    net = settled()
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    net.pause(m, 10 * S, detected=False)
    for o in net.site:
        if o != m:
            net.need(o, PLACES, 20.0)
    net.run(10 * S - 1)
    assert net.amounts(PLACES)[m] == 1.0
    opened = net.opened
    net.members[m].demand[PLACES] = 20.0
    net.run(1_000)
    assert net.opened - opened <= 1


def test_two_members_that_believe_they_grant_keep_the_sum():
    net = settled()
    grantor = net.grantors()[0]
    for m in net.site:
        net.need(m, PLACES, 20.0)
    net.cuts = {(grantor, m) for m in net.site if m != grantor}
    net.run(4 * LEASE)
    assert net.grantors() and grantor not in net.grantors()
    net.cuts = set()
    net.run(4 * LEASE)
    assert net.most <= net.total


def cut_off_with_open_calls(seed):
    """The grantor dies, and a member is cut off that keeps opening calls until its lease expires."""
    net = settled(seed=seed)
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    net.spans = (LINGERS * 9 // 10,)
    net.kill(*net.grantors())
    net.cuts = {(a, b) for a in net.site for b in net.site if (a == m) != (b == m)}
    for o in net.site:
        net.need(o, PLACES, 20.0)
    net.run(3 * LEASE)
    assert net.grantors()
    return net


def test_a_new_grantor_grants_nothing_that_an_unreachable_member_may_use():
    for seed in range(10):
        cut_off_with_open_calls(seed)


def test_a_new_grantor_that_does_not_wait_for_calls_is_found():
    wait = mock.patch.object(Grantor, "_wait_until_us", lambda self, pool: self.term.earlier_grants_until_us)
    with wait, pytest.raises(AssertionError, match="open at "):
        for seed in range(30):
            cut_off_with_open_calls(seed)


@pytest.mark.parametrize("block", range(2))
def test_open_connections_stay_under_the_limit_after_every_step(block):
    assert sum(PlaceDraw(seed).play().net.opened for seed in range(block * 20, block * 20 + 20)) > 2_000


def _use_not_charged(self, now_us, member, holding):
    """Does not charge what is in use."""


BUGS = {
    "a call that outlasts its lease is not counted": (
        lease_pool.LeasePool,
        "lingers_us",
        property(lambda self: 0),
    ),
    "use is not charged": (LeasePool, "record_use", _use_not_charged),
    "a floor of two": (SiteMembership, "_floor", lambda self, limit, part: 2.0),
}


@pytest.mark.parametrize("name", BUGS)
def test_a_seeded_fault_is_found(name):
    with mock.patch.object(*BUGS[name]), pytest.raises(AssertionError, match="open at "):
        for seed in range(300):
            PlaceDraw(seed).play()
