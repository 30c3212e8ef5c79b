"""Leases on limits under faults: the sum stays under the limit, and little of the limit stays unused."""

import random

import pytest
from lease_net import LEASE, SETTINGS, Net, S, ids

from madderbeam.membership.values import LogLine, MessageReceived, State
from madderbeam.shared.lease_messages import Grant
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.values import Limit


def settled(seed=1, count=5, **more):
    """All members started at once; there is a grantor, and all know that no member uses its fixed share."""
    net = Net(seed, ids(count), **more)
    net.boot()
    net.run(4 * LEASE)
    assert len(net.grantors()) == 1
    return net


def other(net):
    """A member that does not grant."""
    return next(m for m in net.site if m not in net.grantors())


def test_a_paused_member_does_not_use_its_expired_lease():
    for detected in (True, False):
        net = settled()
        m = other(net)
        assert net.amounts("rate/1")[m] > 0.15 * net.total
        net.pause(m, 10 * S, detected)
        net.run(10 * S - 1)
        assert net.used() > 0.9 * net.total  # the others have its amount
        assert net.amounts("rate/1")[m] == pytest.approx(net.total / 5 / 10)  # before it receives any message
        net.run(2 * LEASE)
        assert net.amounts("rate/1")[m] > 0.15 * net.total


def test_a_paused_grantor_grants_nothing_under_an_expired_term():
    net = settled()
    grantor = net.grantors()[0]
    net.pause(grantor, 10 * S, detected=False)
    net.run(10 * S + 100)
    assert net.grantors() and grantor not in net.grantors()


def test_another_member_grants_after_the_grantor_died():
    net = settled()
    grantor = net.grantors()[0]
    net.kill(grantor)
    net.run(2 * LEASE)
    assert len(net.grantors()) == 1
    assert net.used() >= 0.9 * net.total
    net.boot(grantor)
    net.run(2 * LEASE)
    assert net.used() >= 0.98 * net.total


def test_a_grantor_that_receives_no_replies_is_replaced():
    net = settled()
    grantor = net.grantors()[0]
    net.cuts = {(m, grantor) for m in net.site if m != grantor}
    net.run(3 * LEASE)
    assert net.grantors() and net.grantors() != [grantor]
    assert net.used() > 0.75 * net.total  # it can accept no lease


def test_a_grantor_whose_messages_are_lost_is_replaced():
    net = settled()
    grantor = net.grantors()[0]
    net.cuts = {(grantor, m) for m in net.site if m != grantor}
    net.run(3 * LEASE)
    assert net.grantors() and net.grantors() != [grantor]
    assert net.used() > 0.75 * net.total


def just_granted(seed):
    """Five members started at once; all have their first lease, of one grantor. Returns it as well."""
    net = Net(seed, ids(5))
    net.boot()
    while not all(net.status(m)[0]["granter"] for m in net.site):
        net.run(100_000)
    (grantor,) = net.grantors()
    return net, grantor


def test_a_grantor_cut_off_right_after_its_first_grants_keeps_no_more_than_its_floor():
    """It alone knows yet that it uses no fixed share; its requests, which are rejected, tell the others."""
    for seed in range(5):
        net, grantor = just_granted(seed)
        net.cuts = {(m, grantor) for m in net.site if m != grantor}
        net.tell(grantor, State.DEAD, net.detect_us)
        net.run(15 * LEASE)
        assert net.used() >= 0.98 * net.total, seed


def test_fixed_shares_are_reserved_for_members_killed_right_after_the_first_grants():
    """Nobody else knew that they had confirmed a term; once they are back, nothing is left unused."""
    for seed in range(5):
        net, grantor = just_granted(seed)
        dead = (grantor, other(net))
        net.kill(*dead)
        net.run(4 * LEASE)
        assert net.used() == pytest.approx(0.6 * net.total), seed
        net.boot(*dead)
        net.run(4 * LEASE)
        assert net.used() >= 0.98 * net.total, seed


def test_a_member_that_asked_in_vain_for_a_term_of_its_own_does_not_lower_what_others_have():
    """Its word on earlier terms, of which none ran, comes late: the grantor's majority has told of all."""
    for seed in range(5):
        net = settled(seed)
        net.cuts = {(m, n) for m in net.site for n in net.site if m != n}
        net.run(3 * LEASE)  # all have their floors as the next term begins
        net.cuts = set()
        net.run(6 * LEASE)
        cut_off = other(net)
        net.cuts = {(m, n) for m in net.site for n in net.site if m != n and cut_off in (m, n)}
        net.run(4 * LEASE)  # it asks for terms, and confirms these itself
        net.cuts = set()
        for _ in range(8 * LEASE // (S // 4)):
            net.run(S // 4)
            assert net.used() >= 0.75 * net.total, seed
        assert net.used() >= 0.98 * net.total, seed


def test_each_half_of_an_even_partition_has_its_floors_and_one_of_them_the_rest():
    net = settled(count=6)
    half = net.site[:3]
    net.cuts = {(a, b) for a in net.site for b in net.site if (a in half) != (b in half)}
    net.run(4 * LEASE)
    one = sum(net.amounts("rate/1")[m] for m in half)
    assert sorted((round(one), round(net.used() - one))) == [5, 95]  # three floors of a sixtieth
    net.cuts = set()
    net.run(4 * LEASE)
    assert len(net.grantors()) == 1 and net.used() > 0.95 * net.total


def test_less_than_half_of_50_killed_in_a_flood_leave_under_a_tenth_unused():
    for seed in range(3):
        net = settled(seed, 50)
        net.kill(*random.Random(seed).sample(net.site, 24))
        net.run(2 * LEASE)
        assert net.used() >= 0.9 * net.total, seed


def test_half_of_50_killed_leave_the_rest_or_only_floors():
    """The survivors cannot tell this from an even partition. Exactly one of the two halves can go on."""
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


def test_members_that_start_at_once_use_their_fixed_shares_first():
    net = Net(3, ids(50))
    net.boot()
    assert net.used() == pytest.approx(net.total)
    net.run(2 * LEASE)
    assert len(net.grantors()) == 1 and net.used() >= 0.9 * net.total
    net.run(2 * LEASE)
    net.kill(*net.site)
    net.boot()
    # a term confirmed before the restart may still be valid
    assert net.used() == pytest.approx(0.1 * net.total)
    net.run(2 * LEASE)
    assert net.used() >= 0.9 * net.total


def test_a_partition_under_load_that_heals_midway():
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


def test_leases_follow_needs_and_are_redistributed():
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


def test_a_leaving_member_returns_its_lease_at_once():
    net = settled()
    m = other(net)
    net.leave(m)
    assert net.amounts("rate/1")[m] == pytest.approx(2.0)
    net.run(LEASE // 2)
    assert net.used() > 0.95 * net.total


def test_a_draining_grantor_is_replaced_without_a_gap():
    net = settled()
    grantor = net.grantors()[0]
    net.drain(grantor)
    least = net.total
    for _ in range(20):
        net.run(LEASE // 20)
        least = min(least, sum(a for m, a in net.amounts("rate/1").items() if m != grantor))
    assert len(net.grantors()) == 1 and net.grantors() != [grantor]
    assert least >= 0.75 * net.total
    net.run(LEASE)  # the old grants have certainly expired: the rest is granted as well
    assert net.used() > 0.95 * net.total


def test_grants_of_other_terms_are_rejected():
    net = settled()
    m, grantor = other(net), net.grantors()[0]
    before = net.amounts("rate/1")[m]
    net.hand(m, MessageReceived(grantor, Grant(0, 1, 2**40, 2**40, LEASE, (("rate/1", 90.0),))))
    third = next(o for o in net.site if o not in (m, grantor))
    net.hand(m, MessageReceived(third, Grant(0, 2**24 + 1, 2**24 + 1, 2**40, LEASE, (("rate/1", 90.0),))))
    assert net.amounts("rate/1")[m] == before


def test_a_single_member_has_the_whole_limit():
    net = Net(1, ids(1))
    net.boot()
    net.kill(*net.site)
    net.boot()
    net.run(2 * LEASE)
    assert net.used() == pytest.approx(net.total)


def test_the_table_gains_members_while_some_use_the_old_one():
    net = settled(count=2)
    net.table(ids(6), in_force_at=ids(2)[:1])
    net.boot(*ids(6)[2:])
    net.run(LEASE)
    net.hand_table(ids(2)[1])
    net.run(LEASE)
    net.table_known()
    net.run(3 * LEASE)
    assert len(net.grantors()) == 1 and net.used() > 0.95 * net.total
    assert min(net.amounts("rate/1").values()) > 0.1 * net.total


def test_missing_grants_and_invalid_limits_are_logged():
    settings = LeaseSettings(lease_us=LEASE, slots=1)
    net = Net(1, ids(3), settings=settings)
    net.boot(net.site[0])
    machine = net.members[net.site[0]].machine
    for total, fixed in ((0.0, 0.0), (float("nan"), 1.0), (float("inf"), 1.0), (1.0, 2.0), (-1.0, 0.0)):
        actions = machine.handle(net.members[net.site[0]].now(), Limit("rate/1", total, fixed))
        assert [a.error.code for a in actions if isinstance(a, LogLine)] == ["limit-unfit"]
    assert net.used() == pytest.approx(net.total / 3)
    notes = []
    machine.out.log = lambda text, error=None: notes.append(error.code)
    net.run(25 * S)
    assert notes == ["limits-unshared"]


def test_invalid_settings_are_rejected():
    for name, value in (("lease_us", 5), ("slots", 0), ("floor", 2.0), ("renewals", 1)):
        with pytest.raises(ValueError, match=f"{name} is .*allowed"):
            LeaseSettings(**{name: value})
    assert SETTINGS.expiry_bound_us == LEASE + 800


def test_wrong_membership_views_do_no_harm():
    net = settled()
    for m in net.site:
        for o in net.site:
            net.view(m, o, State.DEAD)
    net.run(2 * LEASE)
    assert len(net.grantors()) == 1 and net.used() > 0.95 * net.total


def test_a_moved_need_is_followed_within_one_renewal():
    for seed in range(5):
        net = settled(seed=seed)
        first, second = [m for m in net.site if m not in net.grantors()][:2]
        for m in net.site:
            net.need(m, "rate/1", 5.0)
        net.need(first, "rate/1", 80.0)
        net.run(3 * LEASE)
        assert net.amounts("rate/1")[first] > 75.0
        net.need(first, "rate/1", 5.0)
        net.need(second, "rate/1", 80.0)
        net.run(SETTINGS.renewal_interval_us)
        assert net.amounts("rate/1")[second] > 55.0, net.amounts("rate/1")
