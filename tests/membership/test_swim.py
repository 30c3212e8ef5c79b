"""Views converge under faults: members find each other, deaths are detected, live members stay alive."""

import itertools

from swimnet import Link, Net, S

from madderbeam.membership.messages import Ping
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import (
    Leave,
    MemberChanged,
    MemberId,
    PauseDetected,
    SetDraining,
    StartStateExchange,
    State,
    StateReceived,
)  # fmt: skip


def words(net, node, since, *states):
    """The states that this node's view of other members entered since then."""
    changes = [a.view for at, a in node.log if at >= since and isinstance(a, MemberChanged)]
    return [view for view in changes if view.state in states]


def test_members_join_through_one_seed_and_detect_a_death():
    net = Net(1)
    nodes = net.grow(10)
    assert net.agree()
    net.kill(nodes[3])
    assert net.until(net.now + 30 * S, net.agree)
    assert len(net.thought(nodes[3].id, State.DEAD)) == 9
    assert {dead for _, _, dead in net.deaths()} == {nodes[3].id}


def test_a_member_joins_a_seed_that_starts_later():
    net = Net(2)
    first = net.add(MemberId("a", "1"), seeds=[("b-2", 7000)])
    net.until(60 * S)
    net.add(MemberId("b", "2"))
    assert net.until(net.now + 40 * S, net.agree) and first.machine.alive()


def test_a_paused_member_fetches_state_before_probing_and_accuses_no_live_member():
    for seed in range(5):
        net = Net(seed)
        nodes = net.grow(10)
        paused, dead = nodes[2], nodes[7]
        net.pause(paused, 10 * S)
        net.until(net.now + S // 2)
        net.kill(dead)
        net.until(net.now + 9 * S)
        others = [n for n in net.up() if n is not paused]
        assert all(n.machine.alive() >= {o.id for o in others if o is not n} for n in others)
        back, net.sent = paused.paused_until, []
        asked = []
        handle = paused.machine.handle

        def watched(now, event, paused=paused, asked=asked, handle=handle):
            actions = handle(now, event)
            asked += [event] if isinstance(event, StateReceived) else []
            asked += [a for a in actions if isinstance(a, (StartStateExchange, PauseDetected))]
            pings = [a.message for a in actions if isinstance(getattr(a, "message", None), Ping)]
            probe = paused.machine.failure_detector.probe
            asked += [p for p in pings if probe and p.seq == probe.seq]
            return actions

        paused.machine.handle = watched
        net.until(back + 3 * S)
        # one of the queried members may be dead
        kinds = [kind for kind, _ in itertools.groupby(type(a) for a in asked)]
        assert kinds[:3] == [PauseDetected, StartStateExchange, StateReceived] and Ping in kinds[3:]
        assert 9 * S < asked[0].paused_us <= 10 * S
        told = [r for who, m in net.sent if who == paused.id for r in getattr(m, "reports", ())]
        assert not [r for r in told if r.accuser == paused.id and r.id != dead.id]
        net.until(back + 30 * S)
        assert {v.id for v in words(net, paused, back, State.SUSPECT, State.DEAD)} <= {dead.id}
        assert {d for _, _, d in net.deaths()} <= {paused.id, dead.id} and net.agree()


def test_a_one_way_cut_between_two_members_causes_no_death():
    for count in (3, 12):
        net = Net(count)
        a, b, *_ = net.grow(count)
        net.cut.add((a.id, b.id))
        net.until(net.now + 180 * S)
        assert net.deaths() == [] and net.agree()


def test_a_cut_between_two_members_is_bridged_by_indirect_probes():
    net = Net(4)
    a, b, *_ = net.grow(12)
    net.part([a], [b])
    net.until(net.now + 120 * S)
    assert net.deaths() == [] and not [w for n in net.up() for w in words(net, n, 20 * S, State.SUSPECT)]


def test_a_member_that_receives_from_only_one_causes_no_other_deaths():
    net = Net(5)
    a, b, *rest = net.grow(12)
    net.cut |= {(n.id, a.id) for n in rest}
    net.until(net.now + 180 * S)
    assert net.most_dead < 11 and {dead for _, who, dead in net.deaths() if who != a.id} <= {a.id}
    net.cut.clear()
    assert net.until(net.now + 60 * S, net.agree)


def test_a_member_that_receives_nothing_removes_nobody_from_other_tables():
    net = Net(6)
    deaf, *rest = net.grow(10)
    net.cut |= {(n.id, deaf.id) for n in rest}
    net.until(net.now + 120 * S)
    assert {dead for _, who, dead in net.deaths() if who != deaf.id} == {deaf.id}
    assert len(net.thought(deaf.id, State.DEAD)) == 9  # it acknowledges no probe
    accused = [v.id for n in rest for v in words(net, n, 20 * S, State.SUSPECT) if v.id != deaf.id]
    assert accused == []
    assert not deaf.machine.alive()  # its own view shows that it is isolated
    net.cut.clear()
    begin = net.now
    assert net.until(net.now + 60 * S, net.agree)
    assert {dead for at, _, dead in net.deaths(begin)} <= {deaf.id}


def test_both_sides_of_a_healed_partition_rejoin():
    for seed, spare in ((1, 60), (2, 600)):
        net = Net(seed)
        nodes = net.grow(12)
        net.part(nodes[:5], nodes[5:])
        net.until(net.now + spare * S)
        assert all(n.machine.alive() == {o.id for o in side} - {n.id}
                   for side in (nodes[:5], nodes[5:]) for n in side)  # fmt: skip
        net.cut.clear()
        assert net.until(net.now + 40 * S, net.agree)
        net.until(net.now + 60 * S)
        assert net.agree()


def test_a_departure_is_no_death_and_the_member_may_return():
    net = Net(8)
    nodes = net.grow(10)
    gone = nodes[4]
    net.give(gone, Leave())
    net.kill(gone)
    net.until(net.now + 12 * S)
    assert len(net.thought(gone.id, State.LEFT)) == 9 and net.agree()
    assert net.deaths() == [] and not words(net, nodes[0], 20 * S, State.SUSPECT)
    net.start(gone, seeds=[nodes[9].address])
    assert net.until(net.now + 15 * S, net.agree)


def test_draining_is_disseminated_and_can_be_revoked():
    net = Net(9)
    nodes = net.grow(6)
    for on in (True, False):
        net.give(nodes[1], SetDraining(on))
        net.until(net.now + 12 * S)
        assert all(n.machine.view(nodes[1].id).draining is on for n in nodes if n is not nodes[1])


def test_a_site_without_live_members_shows_since_when():
    net = Net(10)
    nodes = net.grow(9)
    seen = nodes[0].machine.sites()
    assert [len(view.live) for view in seen.values()] == [3, 3, 3]
    for node in nodes[1::3]:
        net.kill(node)
    begin = net.now
    assert net.until(begin + 40 * S, net.agree)
    site = nodes[0].machine.sites()["s1"]
    assert site.live == () and begin < site.empty_since_us <= net.now
    assert nodes[0].machine.sites()["s0"].empty_since_us is None


def test_a_configured_address_takes_precedence_over_the_gossiped_one():
    net = Net(11)
    one, two = MemberId("a", "1"), MemberId("b", "2")
    b = net.add(two)
    a = net.add(one, seeds=[("link", 1)], via={two: ("link", 1)})
    net.at[("link", 1)] = b
    del net.at[b.address]
    net.until(60 * S)
    assert net.agree() and net.deaths() == [] and a.machine.view(two).address == b.address


def test_local_health_keeps_a_slow_member_from_accusing_others():
    false = {}
    for most in (0, 8):
        net = Net(12, MembershipSettings(max_health_score=most))
        slow, *rest = net.grow(10)
        for node in rest:
            net.links[node.id, slow.id] = Link(delay_us=(1_500_000, 4_000_000))
        net.until(net.now + 200 * S)
        false[most] = len(words(net, slow, 20 * S, State.SUSPECT))
    assert false[0] > 40 and false[8] < false[0] / 4
