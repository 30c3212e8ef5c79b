"""Large fleets: what hundreds of small couriers do alike must sum to what a destination bears."""

import pytest
from test_messages import CLASSES, Host, S, of

from madderbeam.policy.actions import CloseIdleConnections, Fail, Reject, Send
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    MessageArrived,
)
from madderbeam.policy.rate_pacing import MIN_PACE_PER_S
from madderbeam.policy.settings import DestinationKind, Settings


def fleet(**changes):
    return Host(**{"courier_count": 100, "max_in_flight": 4, **changes})


def entry(endpoint, dest=1, state=EndpointState.READY, rate=0.0):
    return EndpointEntry(endpoint, dest, state, rate)


def test_a_large_fleet_keeps_no_idle_connections_and_a_small_one_does():
    for h, closes in ((fleet(), 1), (Host(), 0)):
        h.arrive()
        assert len(of(CloseIdleConnections, h.end(1, AttemptResult.OK))) == closes


def test_idle_connections_that_die_unseen_are_closed_before_use_after_two_lost_calls():
    h = Host()

    def call(idle, result):
        h.courier.state.endpoints[100].idle_since_us = [h.now - idle]
        c = h.courier.state.endpoints[100].circuit
        (
            c.is_open,
            c.slow_start_since_us,
            c.half_open_call,
            c.failure_rate,
            h.courier.state.endpoints[100].indeterminate_rate,
        ) = False, -1, None, 0.0, 0.0
        h.courier.connections.reset_rate = 0.0  # or an unsafe message would not be risked on it
        acts = h.arrive(cls=2)  # unsafe: tried once
        h.end(h.next, result)
        h.idle(1)
        return len(of(CloseIdleConnections, acts))

    assert not call(6 * S, AttemptResult.OK)
    assert (
        not call(4 * S, AttemptResult.RESET) and h.courier.connections.trusted_idle_us == 10 * S
    )  # one lost call may be chance
    assert not call(4 * S, AttemptResult.RESET) and h.courier.connections.trusted_idle_us < 4 * S
    trusted = h.courier.connections.trusted_idle_us
    assert call(4 * S, AttemptResult.OK) == 1
    assert not call(trusted // 2, AttemptResult.OK) and h.courier.connections.trusted_idle_us > trusted


def test_a_part_of_a_listed_rate_paces_a_large_fleet_only_after_a_refusal():
    h = fleet(rate=10.0)  # a part of 0.1 a second
    for _ in range(5):
        assert of(Send, h.arrive(after=100_000))
        h.end(h.next, AttemptResult.OK)
    h.arrive()
    h.end(h.next, AttemptResult.OVERLOADED)
    assert (
        0.05 < h.courier.state.endpoints[100].scope.pace_per_s < 0.07
    )  # at the whole part chance met many refusals
    sends = 0
    for _ in range(40):
        sends += len(of(Send, h.arrive(life=30 * S, after=250_000)))
        for key in list(h.courier.state.calls):
            h.end(key[0], AttemptResult.OK, after=0)
    assert sends <= 0.1 * 10 * 2 + 1


@pytest.mark.parametrize("couriers, slots", [(2, 12), (6, 4)])
def test_where_no_rate_is_listed_refusals_leave_a_courier_its_part_of_its_own_traffic(couriers, slots):
    # Paced by what got through, or refusing a share by chance at the door, it tried so seldom that it learnt
    # late that there was room again.
    h = Host(max_in_flight=slots, courier_count=couriers)
    sends = 0
    for n in range(60):  # one a second; all are refused as full for 20 s, then none is
        for acts in (h.arrive(life=3 * S, after=S), h.idle(0.5)):
            for a in of(Send, acts):
                sends += 1
                h.end(a.message, AttemptResult.OVERLOADED if n < 20 else AttemptResult.OK, after=0)
        if n == 19:
            lane, own = (
                h.courier.state.endpoints[100].scope,
                h.courier.pacer.traffic_per_s(h.courier.state.endpoints[100].scope),
            )
            assert (
                0.15 * own <= lane.pace_per_s <= max(MIN_PACE_PER_S, 0.2 * own)
            )  # a multiple of the limit, perhaps
            sends = 0
    assert sends >= 30  # of 40


@pytest.mark.parametrize("routes", [1, 2])
def test_where_no_rate_is_listed_the_traffic_counts_by_route_and_from_the_first_second_on(routes):
    # Taken over 12 s from the start on, and whole for each route, a courier refused most of a calm day's
    # start and then called each route with what was meant for all.
    h = fleet(courier_count=6, kinds=(DestinationKind("k", limits_per_endpoint=True),))
    h.do(EndpointListUpdate(ListUpdateKind.SNAPSHOT, tuple(entry(100 + n) for n in range(routes))))
    for n in range(40):  # ten a second; each route refuses one call
        for a in of(Send, h.arrive(after=100_000)):
            lane = h.courier.state.endpoints[a.endpoint].scope
            h.end(
                a.message,
                AttemptResult.OK if n < 20 or lane.pace_per_s else AttemptResult.OVERLOADED,
                after=0,
            )
    lanes = h.courier.state.destinations[1].scopes
    assert len(lanes) == routes
    assert 10 * 0.5 < sum(lane.pace_per_s for lane in lanes) < 10 * 1.5


def test_where_no_rate_is_listed_most_refusals_do_not_go_on_where_little_is_taken():
    # Each answer gave a tenth of all traffic back: where a fifth is taken every second call was refused.
    h = fleet(courier_count=6)
    taken, sends, fulls = 0.0, 0, 0
    for n in range(1200):  # ten a second; it takes two a second
        taken = min(1.0, taken + 0.2)
        for a in of(Send, h.arrive(life=3 * S, after=100_000)):
            late = n >= 600
            sends += late
            fulls += late and taken < 1
            h.end(a.message, AttemptResult.OK if taken >= 1 else AttemptResult.OVERLOADED, after=0)
            taken -= taken >= 1
    assert sends - fulls > 0.6 * 120 and fulls < 0.45 * sends


@pytest.mark.parametrize(
    "how", [AttemptResult.CONNECT_FAILED, AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT]
)
@pytest.mark.parametrize(("every", "least"), [(1, 0.0), (4, 0.3)])
def test_what_a_hundred_couriers_send_into_an_outage_sums_to_the_fall_budget(how, every, least):
    # Where a fourth comes of what it takes, a courier that seldom asks found out late that it was back.
    rate, cold, multiple, couriers = 40.0, 0.15, 2.5, 100
    given = dict(
        classes=CLASSES,
        max_in_flight=4,
        max_pending=100,
        max_attempts=12,
        rates_listed=True,
        courier_count=couriers,
        cold_capacity_share=cold,
        warm_up_us=12 * S,
        overload_multiple=multiple,
        tick_us=5000,
    )
    all_ = [DeliveryEngine(Settings(courier_index=k, **given), k) for k in range(couriers)]
    told = EndpointListUpdate(ListUpdateKind.CACHED, (entry(100, rate=rate),))
    calls, sent, now, ident = [], [], 1000 * S, 0
    for c in all_:
        c.handle(now, [told])
    seconds = 40 * every
    for step in range(100 * seconds):  # 40 messages a second or a part, to couriers by a fixed shuffle
        now += 10_000
        inbox = {}
        if step % 2 == 0 and step % 5:
            ident += 1
            if ident % every == 0:
                inbox[ident // every * 37 % couriers] = [MessageArrived(ident, 0, 1, now + 10 * S)]
        for k, event in [x for x in calls if x[0][0] <= now]:
            inbox.setdefault(k[1], []).append(event)
        calls = [x for x in calls if x[0][0] > now]
        for k in range(couriers) if step % 20 == 0 else sorted(inbox):
            for a in all_[k].handle(now, inbox.get(k, [])):
                if isinstance(a, Send):
                    sent.append((now, all_[k].state.endpoints[100].circuit.failure_rate > 0))
                    tries = all_[k].state.messages[a.message].attempts - 1
                    calls.append(((now + 50_000, k), ended(a.message, tries, how)))
    informed = sum(1 for at, seen in sent if seen and at > 1000 * S + 20 * S) / (seconds - 20)
    assert least * multiple * cold * rate < informed <= multiple * cold * rate


def ended(message, attempt, how):
    return AttemptEnded(message, attempt, 100, how, 50_000, False, 0)


def test_a_single_quick_failure_is_tried_again_and_forgiven():
    h = fleet(rate=10.0)
    h.arrive()
    acts = h.end(1, AttemptResult.CONNECT_FAILED, latency=20_000)
    assert h.courier.state.endpoints[100].circuit.is_open  # others wait for their share
    assert not [a for a in of(Send, acts + h.arrive() + h.arrive()) if a.message > 1]
    assert of(Send, acts + h.idle(0.5))
    h.end(1, AttemptResult.OK)
    c = h.courier.state.endpoints[100].circuit
    assert not c.is_open and c.slow_start_since_us < 0


def test_a_real_outage_ends_in_a_slow_start_for_all_endpoints_of_the_lane():
    h = fleet(endpoints=2)
    h.arrive()
    for _ in range(3):
        h.end(1, AttemptResult.CONNECT_FAILED, latency=20_000, endpoint=100)
        h.idle(1)
    one, other = (h.courier.state.endpoints[100 + k] for k in (0, 1))
    assert one.circuit is other.circuit and one.circuit.is_open
    for _ in range(20):
        sends = of(Send, h.arrive(after=100_000))
        if sends:
            h.end(sends[0].message, AttemptResult.OK)
            break
    assert not one.circuit.is_open and one.circuit.slow_start_since_us >= 0


def test_credit_is_not_saved_up_while_told_to_wait():
    starts = 0
    for seed in range(40):
        h = fleet(rate=10.0)
        h.courier.state.random.seed(seed)
        h.arrive()
        h.end(1, AttemptResult.OVERLOADED, told=8 * S)  # so long a wait is a shut destination's
        acts = []
        for _ in range(8):
            acts += h.arrive(after=S * 95 // 100)
        assert not of(Send, acts)
        starts += len(of(Send, h.idle(2)))  # all couriers' waits end together
    assert not starts


def test_couriers_spread_over_routes_in_step_with_their_rates():
    chosen = {}
    for seed in range(200):
        c = DeliveryEngine(
            Settings(
                classes=CLASSES,
                max_in_flight=4,
                max_pending=50,
                courier_count=100,
                rates_listed=True,
                kinds=(DestinationKind("k", limits_per_endpoint=True),),
                zone_costs=(0.1,),
            ),
            seed,
        )
        acts = c.handle(
            S,
            [
                EndpointListUpdate(ListUpdateKind.CACHED, (entry(100, rate=9.0), entry(101, rate=3.0))),
                MessageArrived(1, 0, 1, 9 * S),
            ],
        )
        e = of(Send, acts)[0].endpoint
        chosen[e] = chosen.get(e, 0) + 1
    assert 130 < chosen[100] < 170


def test_where_calls_are_refused_a_share_of_new_messages_is_refused_unsent():
    h = fleet()  # no rate is listed
    for _ in range(6):
        for a in of(Send, h.arrive(after=3 * S)):
            h.end(a.message, AttemptResult.OVERLOADED)
    unsent = 0
    for _ in range(30):
        acts = h.arrive(after=S)
        unsent += len(of(Reject, acts))
        for a in of(Send, acts):
            h.end(a.message, AttemptResult.OVERLOADED)
    assert 15 < unsent < 30
    for _ in range(60):
        for a in of(Send, h.arrive(after=S) + h.idle(0.2)):
            h.end(a.message, AttemptResult.OK)
    assert not sum(len(of(Reject, h.arrive(after=S))) for _ in range(10))


def test_what_cannot_be_reached_in_time_is_handed_back_at_once():
    h = fleet(rate=5.0)  # a part of 0.05 a second: the next call in up to 20 s
    h.arrive()
    h.end(h.next, AttemptResult.OVERLOADED)
    refused = sum(len(of(Reject, h.arrive(life=4 * S, after=50_000))) for _ in range(5))
    assert refused >= 4


def paced():
    """A courier whose pace is one call a second, with no call due now."""
    h = fleet(rate=100.0)
    h.arrive()
    h.end(1, AttemptResult.OVERLOADED)
    lane = h.courier.state.endpoints[100].scope
    lane.pace_per_s, lane.tokens, lane.tokens_updated_at_us = 1.0, 0.0, h.now
    return h


def weighed(h, weight):
    """One of a life of 10 s arrives: itself and who was handed back for it."""
    h.next += 1
    acts = h.do(MessageArrived(h.next, 0, 1, h.now + 10 * S, weight=weight), after=100)
    return h.next, [a.message for a in of(Reject, acts)]


def test_what_was_taken_on_is_not_handed_back_for_a_little_more_worth():
    h = paced()
    for _ in range(5):  # the fifth is reached after half its life
        assert not weighed(h, 1.0)[1]
    for weight in (1.0, 1.2, 1.29):
        new, back = weighed(h, weight)
        assert back == [new]
    assert not weighed(h, 1.31)[1]


def test_what_was_taken_on_goes_back_at_once_and_only_where_all_its_time_is_too_short():
    h = paced()
    old = [weighed(h, 1.0)[0] for _ in range(5)]
    lane = h.courier.state.endpoints[100].scope
    for rate, lost in ((0.75, []), (0.55, []), (0.45, old[4:])):  # the fifth after 6.7 s, 9.1 s, 11.1 s
        lane.pace_per_s = rate
        new, back = weighed(h, 1.0)
        assert sorted(back) == [*lost, new]


def test_one_that_was_called_and_waits_again_was_taken_on():
    h = paced()
    lane = h.courier.state.endpoints[100].scope
    h.arrive()
    lane.tokens, lane.retry_after_until_us = 1.0, 0
    h.idle(0.01, step=0.01)
    h.end(h.next, AttemptResult.CONNECT_FAILED)
    lane.tokens, lane.tokens_updated_at_us = 0.0, h.now
    tried = h.next
    assert h.courier.state.messages[tried].attempts == 1
    h.courier.state.messages[tried].retry_at_us = h.now + 500  # as the last one comes
    for _ in range(4):
        assert not weighed(h, 1.0)[1]
    new, back = weighed(h, 1.2)
    assert back == [new] and tried in h.courier.state.messages


def test_room_is_made_by_handing_back_what_waits_longest_for_one_destination():
    h = Host(max_pending=10)
    h.do(
        EndpointListUpdate(
            ListUpdateKind.DELTA, (entry(100, state=EndpointState.DRAINING), entry(200, dest=2))
        )
    )
    acts = []
    for _ in range(12):
        acts += h.arrive()
    assert len(h.courier.state.messages) <= 8 and of(Reject, acts)
    assert of(Send, h.arrive(dest=2))


@pytest.mark.parametrize("apart", [False, True])
def test_replaced_endpoints_leave_nothing_behind(apart):
    h = fleet(kinds=(DestinationKind("k", limits_per_endpoint=apart),))
    for n in range(3000):
        h.do(
            EndpointListUpdate(
                ListUpdateKind.DELTA, (entry(101 + n), entry(100 + n, state=EndpointState.GONE))
            )
        )
    c = h.courier
    assert len(c.state.endpoints) == 1 and len(c.state.destinations[1].scopes) <= 2
    assert sum(len(x.endpoints) for x in c.state.destinations[1].scopes) == 1
    assert of(Send, h.arrive())[0].endpoint == 3100


def test_an_endpoint_that_comes_back_or_moves_starts_anew():
    h = Host()
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (entry(100, state=EndpointState.GONE),)))
    assert not of(Send, h.arrive())
    assert of(Send, h.do(EndpointListUpdate(ListUpdateKind.DELTA, (entry(100),)), after=S))
    h.end(h.next, AttemptResult.OK)
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (entry(100, dest=2),)))
    assert not of(Send, h.arrive(dest=1)) and of(Send, h.arrive(dest=2))


def test_a_message_for_a_destination_without_endpoints_is_refused_in_time():
    h = Host()
    h.arrive(dest=9, life=2 * S)
    assert of(Reject, h.idle(2.1)) and not of(Fail, h.idle(0.1)) and not h.courier.state.messages


@pytest.mark.parametrize(
    "field, change",
    [("courier_count", {"courier_count": 0}), ("courier_index", {"courier_count": 2, "courier_index": 2})],
)
def test_impossible_fleets_are_named(field, change):
    with pytest.raises(ValueError, match=field):
        Settings(**{"classes": CLASSES, "max_in_flight": 2, "max_pending": 4, **change})
