"""Endpoints that hold few connections: a full table is a failed connect, and no word on the limit."""

from dataclasses import replace

from test_fleet import entry, fleet
from test_messages import CLASSES, Host, S, of

from madderbeam.policy.actions import CloseIdleConnections, Reject, Send
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from madderbeam.policy.settings import DestinationKind

SET_UP, AT_ONCE = 200_000, 55_000  # latency of calls that had to set up a connection; of one turned away


def end(h, message, result, latency, fresh=True, told=0, after=1000):
    ended = AttemptEnded(
        message,
        h.tries[message],
        h.courier.state.calls[message, h.tries[message]][0].endpoint.id,
        result,
        latency,
        result is AttemptResult.OK,
        told,
        fresh,
    )
    return h.do(ended, after=after)


def served(h, times=1, dest=1):
    for _ in range(times):
        [send] = of(Send, h.arrive(dest=dest, after=10_000))
        end(h, send.message, AttemptResult.OK, SET_UP)


def test_a_full_table_neither_ends_the_message_nor_paces_its_destination():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert not of(Reject, end(h, 2, AttemptResult.OVERLOADED, AT_ONCE))
    lane = h.courier.state.endpoints[100].scope
    assert lane.pace_per_s == 0 and lane.overload_share == 0 and not lane.shared_circuit.is_open
    assert [a.message for a in of(Send, h.idle(0.5))] == [2]


def test_a_refusal_that_comes_after_the_set_up_is_overload_as_ever():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert of(Reject, end(h, 2, AttemptResult.OVERLOADED, SET_UP))


def test_a_told_wait_is_overload_however_quick():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert of(Reject, end(h, 2, AttemptResult.OVERLOADED, AT_ONCE, told=S))


def test_no_further_connection_is_tried_until_a_jittered_wait_is_over():
    waits = []
    for seed in range(20):
        h = fleet(rate=100.0)
        h.courier.state.random.seed(seed)
        served(h)
        h.arrive()
        end(h, 2, AttemptResult.OVERLOADED, AT_ONCE)
        start = h.now
        acts = h.arrive()
        while not of(Send, acts):
            acts = h.do(after=5_000)
        waits.append(h.now - start)
    assert max(waits) > 50_000 and len(set(waits)) > 5


def test_what_waits_uses_the_connection_that_came_free_and_then_it_goes():
    h = fleet(rate=100.0, destination_window=1)
    h.arrive()
    assert not of(Send, h.arrive())
    acts = end(h, 1, AttemptResult.OK, SET_UP)
    assert [a.message for a in of(Send, acts)] == [2] and not of(CloseIdleConnections, acts)
    assert of(CloseIdleConnections, end(h, 2, AttemptResult.OK, 60_000, fresh=False))


def test_what_waits_does_not_follow_one_that_a_full_table_turned_away():
    # Its connection was taken for one that came free: each that waited went to the full table in turn.
    waits = []
    for seed in range(20):
        h = fleet(rate=100.0, destination_window=1)
        h.courier.state.random.seed(seed)
        served(h)
        h.arrive()
        assert not of(Send, h.arrive())
        acts = end(h, 2, AttemptResult.OVERLOADED, AT_ONCE)
        start = h.now
        assert of(CloseIdleConnections, acts)
        while not of(Send, acts):
            acts = h.do(after=5_000)
        waits.append(h.now - start)
    assert min(waits) > 0 and max(waits) > 50_000 and len(set(waits)) > 5


def test_one_place_in_a_table_does_not_make_all_wait_shortly_again():
    # Each success in a crowded table began the doubling anew, so that two in three calls met a full one.
    h = fleet(rate=100.0, destination_window=1)
    served(h)
    ep = h.courier.state.endpoints[100]
    ep.connection_rejections = 4
    h.arrive()
    h.arrive()
    end(h, 2, AttemptResult.OK, SET_UP)
    assert ep.connection_rejections == 3
    end(h, 3, AttemptResult.OK, 60_000, fresh=False)  # on the same connection: it says nothing of the table
    assert ep.connection_rejections == 3
    h.arrive()
    end(h, 4, AttemptResult.OVERLOADED, AT_ONCE)
    assert ep.connection_rejections == 4


def test_connections_are_kept_where_tables_have_room_and_not_where_one_was_full():
    h = fleet(kinds=(DestinationKind("roomy"), DestinationKind("tight")))
    h.do(
        EndpointListUpdate(
            ListUpdateKind.DELTA, (entry(100), EndpointEntry(200, 2, EndpointState.READY, 0.0, 1))
        )
    )
    served(h, 10)
    h.arrive(after=10_000)
    assert not of(CloseIdleConnections, end(h, h.next, AttemptResult.OK, SET_UP))
    served(h, 9, dest=2)
    h.arrive(dest=2, after=10_000)
    end(h, h.next, AttemptResult.OVERLOADED, AT_ONCE)
    h.idle(1)
    assert of(
        CloseIdleConnections, end(h, h.next, AttemptResult.OK, SET_UP)
    )  # its second try; the count has begun anew
    h.arrive(after=10_000)
    assert not of(CloseIdleConnections, end(h, h.next, AttemptResult.OK, 60_000, fresh=False))


def test_a_small_fleet_tells_full_tables_by_their_quickness_too():
    h = Host(endpoints=1)
    served(h, 1)
    h.idle(3)
    h.arrive()
    assert not of(Reject, end(h, 2, AttemptResult.OVERLOADED, AT_ONCE))


def test_a_full_table_takes_no_pace():
    h = fleet(rate=100.0)  # a part of one call a second
    served(h)
    lane = h.courier.state.endpoints[100].scope
    h.arrive()
    end(h, 2, AttemptResult.OVERLOADED, SET_UP)  # paced from here on
    h.idle(3)
    assert lane.pace_per_s
    send, before = of(Send, h.arrive(after=1000))[0], lane.tokens
    end(h, send.message, AttemptResult.OVERLOADED, AT_ONCE)
    assert lane.tokens >= before + 1


def test_a_deposit_is_not_handed_back_for_the_room_orders_ahead_of_it():
    order, deposit = 1, 2
    classes = tuple(replace(c, priority_weight=w) for c, w in zip(CLASSES, (2.0, 1.0, 4.0), strict=True))
    h = fleet(rate=20.0, classes=classes)  # a part of 0.2 a second
    h.arrive(life=60 * S)
    end(h, 1, AttemptResult.OVERLOADED, SET_UP)
    acts = []
    for _ in range(8):
        acts += h.arrive(cls=order, life=30 * S)
    first = h.next + 1
    acts += h.arrive(cls=deposit, life=30 * S)
    refused = [a.message for a in of(Reject, acts)]
    assert refused and first not in refused
    assert all(a.retry_after_us > 0 for a in of(Reject, acts))
    assert len({a.retry_after_us for a in of(Reject, acts)}) > 1  # not all at once


def test_an_endpoint_that_is_gone_does_not_shut_its_siblings_out():
    h = fleet(endpoints=2, rate=100.0)
    lane = h.courier.state.endpoints[100].scope
    for _ in range(2):
        [send] = of(Send, h.arrive(after=1000))
        end(h, send.message, AttemptResult.OK, SET_UP)
    dead = min(lane.endpoints.values(), key=lambda ep: ep.last_success_at_us)
    live = max(lane.endpoints.values(), key=lambda ep: ep.last_success_at_us)
    if dead.last_success_at_us == live.last_success_at_us:
        dead.last_success_at_us -= 1
    h.do(after=100_000)
    sends = []
    while not sends or sends[-1].endpoint != dead.id:  # chance chooses
        sends += of(Send, h.arrive(after=10_000))
        if sends[-1].endpoint == live.id:
            end(h, sends[-1].message, AttemptResult.OK, SET_UP)
    acts = end(h, sends[-1].message, AttemptResult.CONNECT_FAILED, 100)
    assert not lane.shared_circuit.is_open
    for _ in range(5):
        [send] = of(Send, acts + h.arrive(after=50_000))[:1]
        assert send.endpoint == live.id
        acts = end(h, send.message, AttemptResult.OK, SET_UP)


def test_an_outage_of_all_endpoints_still_trips_at_the_second_failure():
    h = fleet(endpoints=2, rate=100.0)
    served(h)
    lane = h.courier.state.endpoints[100].scope
    for _ in range(4):
        for a in of(Send, h.arrive(after=10_000)):
            end(h, a.message, AttemptResult.CONNECT_FAILED, 100)
    assert lane.shared_circuit.is_open


def met(answers):
    """Where calls went of which so many were answered and two failed, and the circuit at the next answer."""
    h = fleet(endpoints=2, rate=100.0)
    acts, went = [], []
    for _ in range(1000):
        if not (sends := of(Send, acts)):
            acts = h.arrive(after=10_000)
            continue
        result = AttemptResult.CONNECT_FAILED if answers <= len(went) < answers + 2 else AttemptResult.OK
        went.append(sends[0].endpoint)
        acts = end(h, sends[0].message, result, SET_UP)
        if len(went) == answers + 3:
            return went, h.courier.state.endpoints[100].circuit
    raise AssertionError("no call")


def test_a_trial_that_fails_at_a_sibling_is_no_old_list_while_none_has_answered_since_the_trouble_began():
    # The one that failed first was the last to answer: the sibling is out as well, the return a slow start.
    seen = 0
    for answers in range(2, 60):
        (*_, last, first, second, _), circuit = met(answers)
        if last == first != second:
            seen += 1
            assert not circuit.is_open and circuit.slow_start_since_us >= 0
    assert seen > 3
