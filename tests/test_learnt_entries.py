"""What other couriers of a site have learnt, as it stands in entries: it only holds back or shares out."""

from dataclasses import replace

import pytest
from test_messages import Host, S, of

from madderbeam.policy.actions import Send
from madderbeam.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)

ENTRY = EndpointEntry(100, 1, EndpointState.READY)


def told(h, **learnt):
    return h.do(EndpointListUpdate(ListUpdateKind.DELTA, (replace(ENTRY, **learnt),)))


def calls(h, acts, result):
    """When the calls of these actions began, each ended like this, and those that then followed."""
    times, sends = [], of(Send, acts)
    while sends:
        a, times = sends.pop(0), [*times, h.now]
        sends += of(Send, h.end(a.message, result, after=1000))
    return times


def out(h):
    """Its endpoint is in trouble; a message waits."""
    while not h.courier.state.endpoints[100].circuit.is_open:
        calls(h, h.arrive(after=S), AttemptResult.RESET)
    return h


def first_calls(h, seconds):
    """When calls begin, each of them answered."""
    begin, times = h.now, []
    while h.now < begin + seconds * S:
        times += [(at - begin) / S for at in calls(h, h.arrive(after=20_000), AttemptResult.OK)]
    return times


@pytest.mark.parametrize("members", [2, 10, 50])
def test_members_together_begin_a_cold_endpoint_as_one_would(members):
    one, together = out(Host()), []
    told(one, recovering=True)
    alone = [t for t in first_calls(one, 0.5) if t < 0.2]
    for n in range(members):
        h = out(Host())
        h.courier.state.random.seed(n)
        h.courier.state.endpoints[100].scope.success_rate_per_s = 20 / members  # of what was answered before
        h.courier.state.destinations[1].arrivals = 0
        told(h, recovering=True, slow_start_share=1 / members)
        assert not h.courier.state.endpoints[100].circuit.is_open  # another was answered: no trial
        together += [t for t in first_calls(h, 0.5) if t < 0.2]
    assert len(together) <= max(2, len(alone))


def test_a_full_table_elsewhere_keeps_from_new_connections_alone():
    h = Host()
    told(h, connect_not_before_us=h.now + 2 * S)
    assert not of(Send, h.arrive())
    assert of(Send, h.idle(2.1))
    h.end(1, AttemptResult.OK)
    told(h, connect_not_before_us=h.now + 2 * S)
    assert of(Send, h.arrive())  # on the one that is kept


def test_a_pace_learnt_elsewhere_keeps_from_growing_and_loosens_nothing():
    h = Host()
    first_calls(h, 2.0)
    lane = h.courier.state.endpoints[100].scope
    seen = lane.success_rate_per_s
    told(h, paced_per_s=0.0)
    assert lane.pace_per_s == 0
    told(h, paced_per_s=1.0)
    assert lane.pace_per_s == seen > 1  # not less than goes through now: that is others' pace
    told(h, paced_per_s=1e9)
    assert lane.pace_per_s == seen


def test_the_one_that_tries_for_all_tries_steadily():
    def gaps(**learnt):
        h, times = out(Host()), []
        told(h, **learnt)
        h.arrive(life=100 * S)
        while len(times) < 8:
            times += calls(h, h.arrive(life=100 * S, after=20_000), AttemptResult.RESET)
        return [b - a for a, b in zip(times, times[1:], strict=False)]

    assert max(gaps()[3:]) > 1.2 * S
    steady = gaps(max_probe_interval_us=S)
    assert max(steady) <= 1.1 * S and len(set(steady[3:])) > 2  # with jitter


def lent_lane(couriers, rate, lent):
    """Its lane, after answers to more than its part of the rate."""
    h = Host(rates_listed=True, courier_count=couriers)
    told(h, rate_per_s=rate, rate_is_leased=lent)
    return len(first_calls(h, 5.0)), h.courier.state.endpoints[100].scope


def test_a_lent_rate_is_not_outgrown_where_a_listed_one_is():
    count, lane = lent_lane(4, 40.0, lent=False)
    assert lane.pace_per_s > 2 * lane.listed_rate_per_s == 20.0 and count > 100  # the others may leave theirs
    count, lane = lent_lane(4, 40.0, lent=True)
    assert lane.pace_per_s == lane.listed_rate_per_s == 10.0 and count <= 5 * 10.0 + 10
    count, lane = lent_lane(400, 4000.0, lent=True)  # also in a large fleet, which is not paced else
    assert lane.pace_per_s == lane.listed_rate_per_s == 10.0 and count <= 5 * 10.0 + 10


def test_a_lent_rate_returns_at_what_is_lent_and_not_at_what_is_asked_for():
    h = out(Host(rates_listed=True, courier_count=4))
    told(h, rate_per_s=40.0, rate_is_leased=True)
    h.courier.state.destinations[1].arrivals = 10_000
    told(h, rate_per_s=40.0, rate_is_leased=True, recovering=True, slow_start_share=0.25)
    assert h.courier.state.endpoints[100].circuit.base_rate_per_s == 10.0


def in_trouble_of_fifty(rate, seed):
    """One of fifty, lent its part of this rate; its circuit is open, and nothing waits."""
    h = Host(rates_listed=True, courier_count=50)
    h.courier.state.random.seed(seed)
    told(h, rate_per_s=rate, rate_is_leased=True)
    out(h)
    calls(h, h.idle(12.0), AttemptResult.RESET)
    h.courier.state.endpoints[100].circuit.tokens = 0.0
    return h


def until_called(h):
    """How long a message waits for its first call, in seconds, of the ten that it has."""
    begin, acts = h.now, h.arrive(life=10 * S)
    while not of(Send, acts) and h.now < begin + 10 * S:
        acts = h.idle(0.05)
    return (h.now - begin) / S


@pytest.mark.parametrize("seed", range(5))
def test_a_message_that_alone_waits_at_one_of_fifty_is_tried_in_its_time(seed):
    h = in_trouble_of_fifty(60.0, seed)
    assert 2 < until_called(h) <= 6  # by its part of what a cold endpoint bears, nothing saved up


@pytest.mark.parametrize("seed", range(5))
def test_probes_go_on_at_the_rate_that_is_lent_now(seed):
    """It had its floor as its circuit opened, and ten times that now."""
    h = in_trouble_of_fifty(6.0, seed)
    told(h, rate_per_s=60.0, rate_is_leased=True)
    assert until_called(h) <= 6
