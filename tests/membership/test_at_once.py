"""Gossip entries that are sent directly to the own site, without waiting for probes, within a rate limit."""

from swimnet import Net, S

from madderbeam.membership.messages import Ack, Ping
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import Disseminate, GossipReceived

PERIOD = 3_600 * S  # longer than a test runs


def reached(nodes, key):
    return {
        n.id for n in nodes if any(isinstance(a, GossipReceived) and a.entry.key == key for _, a in n.log)
    }


def quiet(members, sites=2):
    net = Net(1, MembershipSettings())
    nodes = net.grow(members, sites, settle_s=40)
    net.until(net.now + S // 2 - 1)
    return net, nodes


def test_direct_entries_reach_the_own_site_in_one_hop_without_replies():
    net, nodes = quiet(40)
    me, site = nodes[0], {n.id for n in nodes[2::2]}
    net.sent = []
    net.give(me, Disseminate("urgent", 1, b"x", at_once=True))
    told = [m for n, m in net.sent if n == me.id]
    assert len(told) == 19 and all(isinstance(m, Ack) and m.entries for m in told)
    net.until(net.now + 10_000)
    assert reached(nodes, "urgent") >= site
    assert not any(isinstance(m, (Ack, Ping)) and m.seq == 0 for n, m in net.sent if n != me.id)
    net.until(net.now + 20 * S)
    assert len(reached(nodes, "urgent")) == 39  # the other sites by the probes


def test_direct_sends_are_rate_limited_and_the_rest_is_piggybacked_on_probes():
    net, nodes = quiet(6, sites=1)
    net.sent = []
    for n in range(3 * net.settings.direct_sends_per_period):
        net.give(nodes[0], Disseminate(f"k{n}", 1, b"x", at_once=True))
    told = [m for n, m in net.sent if n == nodes[0].id]
    assert len(told) == 5 * net.settings.direct_sends_per_period
    net.until(net.now + 30 * S)
    assert all(len(reached(nodes, f"k{n}")) == 5 for n in range(3 * net.settings.direct_sends_per_period))
