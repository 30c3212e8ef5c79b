"""Endpoints that hold few connections: a full table is a failed connect, and no word on the limit."""

from test_fleet import entry, fleet
from test_messages import Host, S, of

from madderbeam.policy.interface import (
    AttemptEnded, CloseIdle, EndpointsListed, EndpointState, Kind, ListEntry, ListForm, Refuse, Result, Send)

SET_UP, AT_ONCE = 200_000, 55_000  # latency of calls that had to set up a connection; of one turned away


def end(h, message, result, latency, fresh=True, told=0, after=1000):
    ended = AttemptEnded(message, h.tries[message], h.courier.calls[message, h.tries[message]][0].endpoint.id,
                         result, latency, result is Result.OK, told, fresh)
    return h.do(ended, after=after)


def served(h, times=1, dest=1):
    for _ in range(times):
        [send] = of(Send, h.arrive(dest=dest, after=10_000))
        end(h, send.message, Result.OK, SET_UP)


def test_a_full_table_neither_ends_the_message_nor_paces_its_destination():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert not of(Refuse, end(h, 2, Result.FULL, AT_ONCE))
    lane = h.courier.endpoints[100].lane
    assert lane.rate == 0 and lane.refused == 0 and not lane.circuit.open
    assert [a.message for a in of(Send, h.idle(0.5))] == [2]


def test_a_refusal_that_comes_after_the_set_up_is_overload_as_ever():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert of(Refuse, end(h, 2, Result.FULL, SET_UP))


def test_a_told_wait_is_overload_however_quick():
    h = fleet(rate=100.0)
    served(h)
    h.arrive()
    assert of(Refuse, end(h, 2, Result.FULL, AT_ONCE, told=S))


def test_no_further_connection_is_tried_until_a_jittered_wait_is_over():
    waits = []
    for seed in range(20):
        h = fleet(rate=100.0)
        h.courier.random.seed(seed)
        served(h)
        h.arrive()
        end(h, 2, Result.FULL, AT_ONCE)
        start = h.now
        acts = h.arrive()
        while not of(Send, acts):
            acts = h.do(after=5_000)
        waits.append(h.now - start)
    assert max(waits) > 50_000 and len(set(waits)) > 5


def test_what_waits_uses_the_connection_that_came_free_and_then_it_goes():
    h = fleet(rate=100.0, window=1)
    h.arrive()
    assert not of(Send, h.arrive())
    acts = end(h, 1, Result.OK, SET_UP)
    assert [a.message for a in of(Send, acts)] == [2] and not of(CloseIdle, acts)
    assert of(CloseIdle, end(h, 2, Result.OK, 60_000, fresh=False))


def test_connections_are_kept_where_tables_have_room_and_not_where_one_was_full():
    h = fleet(kinds=(Kind("roomy"), Kind("tight")))
    h.do(EndpointsListed(ListForm.DELTA, (
        entry(100), ListEntry(200, 2, EndpointState.READY, 0.0, 1))))
    served(h, 10)
    h.arrive(after=10_000)
    assert not of(CloseIdle, end(h, h.next, Result.OK, SET_UP))
    served(h, 9, dest=2)
    h.arrive(dest=2, after=10_000)
    end(h, h.next, Result.FULL, AT_ONCE)
    h.idle(1)
    assert of(CloseIdle, end(h, h.next, Result.OK, SET_UP))  # its second try; the count has begun anew
    h.arrive(after=10_000)
    assert not of(CloseIdle, end(h, h.next, Result.OK, 60_000, fresh=False))


def test_a_small_fleet_tells_full_tables_by_their_quickness_too():
    h = Host(endpoints=1)
    served(h, 1)
    h.idle(3)
    h.arrive()
    assert not of(Refuse, end(h, 2, Result.FULL, AT_ONCE))
