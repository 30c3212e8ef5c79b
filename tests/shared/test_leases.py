"""Leases on limits in the hard cases: the sum stays under the limit, and little of it stays unused."""

import random

import pytest
from lease_net import LEASE, SETTINGS, Net, S, ids

from madderbeam.membership.values import LogLine, MessageReceived, State
from madderbeam.shared.lease_messages import Grant
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.values import Limit


def settled(seed=1, count=5, **more):
    """All started at once, a granter is there, and all know of each other that nobody uses fixed parts."""
    net = Net(seed, ids(count), **more)
    net.boot()
    net.run(4 * LEASE)
    assert len(net.granters()) == 1
    return net


def other(net):
    """A member that does not grant."""
    return next(m for m in net.site if m not in net.granters())


def test_a_member_that_was_paused_uses_its_ended_lease_for_not_one_call():
    for told in (True, False):
        net = settled()
        m = other(net)
        assert net.amounts("rate/1")[m] > 0.15 * net.total
        net.pause(m, 10 * S, told)
        net.run(10 * S - 1)
        assert net.used() > 0.9 * net.total  # the others have its part
        assert net.amounts("rate/1")[m] == pytest.approx(net.total / 5 / 10)  # before it hears a word
        net.run(2 * LEASE)
        assert net.amounts("rate/1")[m] > 0.15 * net.total


def test_a_granter_that_was_paused_grants_nothing_by_a_regime_that_ended():
    net = settled()
    granter = net.granters()[0]
    net.pause(granter, 10 * S, told=False)
    net.run(10 * S + 100)
    assert net.granters() and granter not in net.granters()


def test_the_granter_dies_and_another_grants():
    net = settled()
    granter = net.granters()[0]
    net.kill(granter)
    net.run(2 * LEASE)
    assert len(net.granters()) == 1
    assert net.used() >= 0.9 * net.total
    net.boot(granter)
    net.run(2 * LEASE)
    assert net.used() >= 0.98 * net.total


def test_a_granter_that_hears_no_answer_gives_way():
    net = settled()
    granter = net.granters()[0]
    net.cuts = {(m, granter) for m in net.site if m != granter}
    net.run(3 * LEASE)
    assert net.granters() and net.granters() != [granter]
    assert net.used() > 0.75 * net.total  # it can take no lease


def test_a_granter_that_nobody_hears_gives_way():
    net = settled()
    granter = net.granters()[0]
    net.cuts = {(granter, m) for m in net.site if m != granter}
    net.run(3 * LEASE)
    assert net.granters() and net.granters() != [granter]
    assert net.used() > 0.75 * net.total


def test_each_half_of_an_even_cut_has_its_floors_and_one_of_them_the_rest():
    net = settled(count=6)
    half = net.site[:3]
    net.cuts = {(a, b) for a in net.site for b in net.site if (a in half) != (b in half)}
    net.run(4 * LEASE)
    one = sum(net.amounts("rate/1")[m] for m in half)
    assert sorted((round(one), round(net.used() - one))) == [5, 95]  # three floors of a sixtieth
    net.cuts = set()
    net.run(4 * LEASE)
    assert len(net.granters()) == 1 and net.used() > 0.95 * net.total


def test_less_than_half_of_50_killed_in_a_flood_leave_under_a_tenth_unused():
    for seed in range(3):
        net = settled(seed, 50)
        net.kill(*random.Random(seed).sample(net.site, 24))
        net.run(2 * LEASE)
        assert net.used() >= 0.9 * net.total, seed


def test_half_of_50_killed_leave_the_rest_or_floors():
    """Nobody can tell this from an even cut. One of the halves, and never both, goes on."""
    used = []
    for dead in (ids(50)[:25], ids(50)[25:]):
        net = settled(1, 50)
        net.kill(*dead)
        net.run(2 * LEASE)
        used.append(net.used() / net.total)
    assert min(used) == pytest.approx(0.05) and max(used) > 0.9


def test_a_rolling_restart_of_a_tenth_at_a_time():
    net = settled(1, 50)
    unused = []
    for n in range(10):
        part = net.site[n * 5 : n * 5 + 5]
        net.kill(*part)
        net.run(S)
        net.boot(*part)
        net.run(2 * LEASE - S)
        unused.append(1 - net.used() / net.total)
    assert max(unused) < 0.1


def test_all_start_at_once_and_use_their_fixed_parts_until_then():
    net = Net(3, ids(50))
    net.boot()
    assert net.used() == pytest.approx(net.total)
    net.run(2 * LEASE)
    assert len(net.granters()) == 1 and net.used() >= 0.9 * net.total
    net.run(2 * LEASE)
    net.kill(*net.site)
    net.boot()
    assert net.used() == pytest.approx(0.1 * net.total)  # what was confirmed before may run still
    net.run(2 * LEASE)
    assert net.used() >= 0.9 * net.total


def test_a_cut_during_a_flood_that_heals_in_the_middle():
    net = settled(count=5)
    for m in net.site:
        net.need(m, "rate/1", 200.0)
    part = net.site[:2]
    net.cuts = {(a, b) for a in net.site for b in net.site if (a in part) != (b in part)}
    net.run(LEASE + LEASE // 3)
    net.cuts = set()
    net.run(2 * LEASE)
    assert net.used() >= 0.95 * net.total
    assert max(net.amounts("rate/1").values()) < 0.3 * net.total


def test_need_and_worth_decide_and_what_was_needed_comes_back():
    net = settled()
    m = other(net)
    for o in net.site:
        net.need(o, "rate/1", 60.0 if o == m else 10.0)
    net.run(2 * LEASE)
    most = net.amounts("rate/1")[m]
    assert most > 0.35 * net.total
    net.need(m, "rate/1", 0.0)
    net.run(3 * LEASE)
    assert net.amounts("rate/1")[m] < 0.15 * net.total
    assert net.used() > 0.95 * net.total


def test_one_that_leaves_hands_its_part_back_at_once():
    net = settled()
    m = other(net)
    net.leave(m)
    assert net.amounts("rate/1")[m] == pytest.approx(2.0)
    net.run(LEASE // 2)
    assert net.used() > 0.95 * net.total


def test_a_granter_that_drains_hands_over_with_no_gap():
    net = settled()
    granter = net.granters()[0]
    net.drain(granter)
    least = net.total
    for _ in range(20):
        net.run(LEASE // 20)
        least = min(least, sum(a for m, a in net.amounts("rate/1").items() if m != granter))
    assert len(net.granters()) == 1 and net.granters() != [granter]
    assert least >= 0.75 * net.total
    net.run(LEASE)  # what the old one gave is over for certain: the rest is dealt out as well
    assert net.used() > 0.95 * net.total


def test_no_grant_of_a_regime_that_is_not_followed_is_taken():
    net = settled()
    m, granter = other(net), net.granters()[0]
    before = net.amounts("rate/1")[m]
    net.hand(m, MessageReceived(granter, Grant(0, 1, 2**40, 2**40, LEASE, (("rate/1", 90.0),))))
    third = next(o for o in net.site if o not in (m, granter))
    net.hand(m, MessageReceived(third, Grant(0, 2**24 + 1, 2**24 + 1, 2**40, LEASE, (("rate/1", 90.0),))))
    assert net.amounts("rate/1")[m] == before


def test_a_member_alone_has_all_of_it():
    net = Net(1, ids(1))
    net.boot()
    net.kill(*net.site)
    net.boot()
    net.run(2 * LEASE)
    assert net.used() == pytest.approx(net.total)


def test_the_table_gains_members_while_some_have_the_old_one():
    net = settled(count=2)
    net.table(ids(6), told=ids(2)[:1])
    net.boot(*ids(6)[2:])
    net.run(LEASE)
    net.hand_table(ids(2)[1])
    net.run(LEASE)
    net.table_known()
    net.run(3 * LEASE)
    assert len(net.granters()) == 1 and net.used() > 0.95 * net.total
    assert min(net.amounts("rate/1").values()) > 0.1 * net.total


def test_an_outage_of_grants_is_told_and_a_limit_that_is_none():
    settings = LeaseSettings(lease_us=LEASE, slots=1)
    net = Net(1, ids(3), settings=settings)
    net.boot(net.site[0])
    machine = net.members[net.site[0]].machine
    for total, fixed in ((0.0, 0.0), (float("nan"), 1.0), (float("inf"), 1.0), (1.0, 2.0), (-1.0, 0.0)):
        actions = machine.handle(net.members[net.site[0]].now(), Limit("rate/1", total, fixed))
        assert [a.error.code for a in actions if isinstance(a, LogLine)] == ["limit-unfit"]
    assert net.used() == pytest.approx(net.total / 3)
    notes = []
    machine.out.note = lambda text, error=None: notes.append(error.code)
    net.run(25 * S)
    assert notes == ["limits-unshared"]


def test_settings_that_are_none():
    for name, value in (("lease_us", 5), ("slots", 0), ("floor", 2.0), ("renewals", 1)):
        with pytest.raises(ValueError, match=f"{name} is .*allowed"):
            LeaseSettings(**{name: value})
    assert SETTINGS.over_us == LEASE + 800


def test_views_that_are_wrong_change_who_asks_only():
    net = settled()
    for m in net.site:
        for o in net.site:
            net.view(m, o, State.DEAD)
    net.run(2 * LEASE)
    assert len(net.granters()) == 1 and net.used() > 0.95 * net.total


def test_a_need_that_moves_is_followed_within_one_renewal():
    for seed in range(5):
        net = settled(seed=seed)
        first, second = [m for m in net.site if m not in net.granters()][:2]
        for m in net.site:
            net.need(m, "rate/1", 5.0)
        net.need(first, "rate/1", 80.0)
        net.run(3 * LEASE)
        assert net.amounts("rate/1")[first] > 75.0
        net.need(first, "rate/1", 5.0)
        net.need(second, "rate/1", 80.0)
        net.run(SETTINGS.turn_us)
        assert net.amounts("rate/1")[second] > 55.0, net.amounts("rate/1")
