"""Leases on connection places: whole units, a floor of one, and calls that outlast the lease they were begun
under are counted until they end."""

from unittest import mock

import pytest
from lease_net import LEASE, S, ids
from place_net import LINGERS, PLACES, PlaceDraw, Places

from madderbeam.shared import granter
from madderbeam.shared.division import rounded
from madderbeam.shared.granter import Pot
from madderbeam.shared.granting import Granting
from madderbeam.shared.site import Seating


def settled(count=5, each=4, seed=1):
    net = Places(seed, ids(count), count * each)
    net.boot()
    net.run(5 * LEASE)
    assert len(net.granters()) == 1
    return net


def other(net):
    return next(m for m in net.site if m not in net.granters())


def test_whole_parts_have_the_same_sum():
    assert rounded({"a": 1.5, "b": 1.25, "c": 0.25}) == {"a": 2.0, "b": 1.0, "c": 0.0}
    parts = rounded(dict.fromkeys(range(7), 100 / 7))
    assert sum(parts.values()) == 100 and all(p == int(p) for p in parts.values())


def test_one_that_needs_many_gets_what_others_leave_and_the_others_have_one_each():
    net = settled()
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    amounts = net.amounts(PLACES)
    assert amounts[m] == 16.0 and all(a == 1.0 for o, a in amounts.items() if o != m)
    assert net.count(m, 1) > 8


def test_a_member_whose_part_falls_keeps_its_calls_and_the_other_gets_the_places_as_they_end():
    net = settled()
    first, second = [m for m in net.site if m not in net.granters()][:2]
    net.need(first, PLACES, 20.0)
    net.run(4 * LEASE)
    net.open[first, 1] = [net.now + LEASE // 2 + n * LEASE // 40 for n in range(16)]  # out for a while
    net.need(first, PLACES, 0.0)
    net.need(second, PLACES, 20.0)
    net.run(LEASE // 2 - 1)
    assert net.count(first, 1) == 16 and net.count(second, 1) <= 1  # none was broken off
    net.run(3 * LEASE)
    assert net.amounts(PLACES)[second] == 16.0 and net.count(second, 1) > 8


def test_a_member_that_was_paused_opens_none_by_a_lease_that_ended():
    net = settled()
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    net.pause(m, 10 * S, told=False)
    for o in net.site:
        if o != m:
            net.need(o, PLACES, 20.0)
    net.run(10 * S - 1)
    assert net.amounts(PLACES)[m] == 1.0
    opened = net.opened
    net.members[m].demand[PLACES] = 20.0
    net.run(1_000)
    assert net.opened - opened <= 1


def test_two_that_believe_they_grant_hold_the_sum():
    net = settled()
    granter_ = net.granters()[0]
    for m in net.site:
        net.need(m, PLACES, 20.0)
    net.cuts = {(granter_, m) for m in net.site if m != granter_}
    net.run(4 * LEASE)
    assert net.granters() and granter_ not in net.granters()
    net.cuts = set()
    net.run(4 * LEASE)
    assert net.most <= net.total


def cut_off_with_calls_out(seed):
    """The granter dies, and one is cut off that goes on opening calls until its lease ends."""
    net = settled(seed=seed)
    m = other(net)
    net.need(m, PLACES, 20.0)
    net.run(4 * LEASE)
    net.spans = (LINGERS * 9 // 10,)
    net.kill(*net.granters())
    net.cuts = {(a, b) for a in net.site for b in net.site if (a == m) != (b == m)}
    for o in net.site:
        net.need(o, PLACES, 20.0)
    net.run(3 * LEASE)
    assert net.granters()
    return net


def test_a_new_granter_gives_nothing_that_one_which_is_silent_may_have_in_use():
    for seed in range(10):
        cut_off_with_calls_out(seed)


def test_a_granter_that_begins_and_waits_for_no_call_is_found():
    wait = mock.patch.object(Granting, "_wait_us", lambda self, pot: self.regime.wait_us)
    with wait, pytest.raises(AssertionError, match="open at "):
        for seed in range(30):
            cut_off_with_calls_out(seed)


@pytest.mark.parametrize("block", range(2))
def test_no_more_are_open_than_there_are_after_every_step(block):
    assert sum(PlaceDraw(seed).play().net.opened for seed in range(block * 20, block * 20 + 20)) > 2_000


def _used_before_alone(self, now_us, member, holding):
    """What is in use is not charged."""


BUGS = {
    "a call outlasts its lease uncounted": (granter.Pot, "lingers_us", property(lambda self: 0)),
    "what is in use is not charged": (Pot, "uses", _used_before_alone),
    "a floor of two": (Seating, "_floor", lambda self, limit, part: 2.0),
}


@pytest.mark.parametrize("name", BUGS)
def test_a_planted_bug_is_found(name):
    with mock.patch.object(*BUGS[name]), pytest.raises(AssertionError, match="open at "):
        for seed in range(300):
            PlaceDraw(seed).play()
