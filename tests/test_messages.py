"""The module's decisions, one small test each; no bench needed."""

import pytest

from madderbeam.policy.actions import Fail, Reject, Send
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
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings

S = 1_000_000
CLASSES = (
    MessageClass("safe", latency_objective_us=S, deadline_us=10 * S),
    MessageClass(
        "keyed",
        latency_objective_us=S,
        deadline_us=10 * S,
        idempotency=Idempotency.WITH_KEY,
        key_window_us=5 * S,
    ),
    MessageClass(
        "unsafe", latency_objective_us=S, deadline_us=10 * S, idempotency=Idempotency.NON_IDEMPOTENT
    ),
)


class Host:
    """Feeds a courier and keeps what it did."""

    def __init__(self, endpoints=1, rate=0.0, **changes):
        given = {
            "classes": CLASSES,
            "max_in_flight": 8,
            "max_pending": 100,
            "max_attempts": 12,
            "kinds": (DestinationKind("k"),),
            "rates_listed": rate > 0,
            "max_retry_after_us": 2 * S,
            "tick_us": 5000,
        }
        given.update(changes)
        self.courier = DeliveryEngine(Settings(**given), 7)
        self.now, self.next, self.tries = 1000 * S, 0, {}
        self.do(
            EndpointListUpdate(
                ListUpdateKind.CACHED,
                tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(endpoints)),
            )
        )

    def do(self, *events, after=0):
        self.now += after
        acts = self.courier.handle(self.now, list(events))
        for a in acts:
            if isinstance(a, Send):
                self.tries[a.message] = self.tries.get(a.message, -1) + 1
        return acts

    def arrive(self, cls=0, dest=1, life=None, after=0):
        self.next += 1
        until = self.now + after + (life or CLASSES[cls].deadline_us)
        return self.do(MessageArrived(self.next, cls, dest, until), after=after)

    def end(self, message, result, latency=100_000, after=100_000, endpoint=100, told=0):
        return self.do(
            AttemptEnded(
                message, self.tries[message], endpoint, result, latency, result is AttemptResult.OK, told
            ),
            after=after,
        )

    def idle(self, seconds, step=0.05):
        acts = []
        for _ in range(round(seconds / step)):
            acts += self.do(after=int(step * S))
        return acts


def of(kind, acts):
    return [a for a in acts if isinstance(a, kind)]


def test_first_message_goes_at_once():
    assert [a.endpoint for a in of(Send, Host().arrive())] == [100]


def test_window_is_one_wide_at_start_and_grows_by_success():
    h = Host()
    assert len(of(Send, h.arrive())) == 1
    assert not of(Send, h.arrive()) and not of(Send, h.arrive())
    assert len(of(Send, h.end(1, AttemptResult.OK))) == 2


def test_overload_ends_the_message_and_passes_the_wait_on():
    h = Host()
    h.arrive(cls=2)
    acts = h.end(1, AttemptResult.OVERLOADED, told=S)
    assert of(Reject, acts) == [Reject(1, S)]


def test_told_wait_is_kept_for_every_message():
    h = Host()
    h.arrive()
    h.end(1, AttemptResult.OVERLOADED, told=S)
    sent = of(Send, h.arrive() + h.idle(0.95))
    assert not sent
    assert of(Send, h.idle(0.2))


def test_failed_call_is_tried_again_three_times_at_most():
    h = Host(endpoints=1)
    sends = of(Send, h.arrive())
    for _ in range(2):
        acts = h.end(1, AttemptResult.ERROR) + h.idle(0.5)
        sends += of(Send, acts)
        assert not of(Reject, acts)
    assert len(sends) == 3
    assert of(Reject, h.end(1, AttemptResult.ERROR))


def test_unsafe_is_not_repeated_after_it_may_have_run():
    h = Host()
    h.arrive(cls=2)
    acts = h.end(1, AttemptResult.ERROR) + h.idle(3)
    assert of(Fail, acts) == [Fail(1)] and not of(Send, acts) and not of(Reject, acts)


def test_unsafe_is_repeated_after_a_failed_connection():
    h = Host()
    h.arrive(cls=2)
    assert of(Send, h.end(1, AttemptResult.CONNECT_FAILED) + h.idle(1))


def test_nothing_to_a_draining_endpoint():
    h = Host(endpoints=2)
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    assert [a.endpoint for a in of(Send, h.arrive())] == [101]


def test_every_message_is_answered_before_its_time_is_up():
    h = Host(endpoints=0)
    h.arrive(cls=2, life=S)
    acts = h.idle(0.98, step=0.005)
    assert not of(Reject, acts)
    assert of(Reject, h.idle(0.02, step=0.005)) == [Reject(1, 0)]


def warm(h, n=12):
    for _ in range(n):
        h.arrive(after=300_000)
        h.end(h.next, AttemptResult.OK)


def test_unsafe_call_to_a_hung_endpoint_does_not_hold_its_slot_to_the_deadline():
    h = Host()
    warm(h)
    (send,) = of(Send, h.arrive(cls=2))
    assert send.timeout_us < CLASSES[2].deadline_us / 2


def test_a_call_lost_while_others_are_answered_does_not_open_the_circuit():
    h = Host()
    warm(h)
    for _ in range(5):
        h.arrive()
        lost = h.next
        h.arrive()
        h.end(h.next, AttemptResult.OK)
        h.end(lost, AttemptResult.TIMEOUT)
    h.idle(1)
    (ep,) = h.courier.state.endpoints.values()
    assert not ep.circuit.is_open and ep.circuit.slow_start_since_us < 0


def serve(h, seconds, result, per_s=10):
    """Messages come and each attempt ends with the result a turn later; returns the sends."""
    sends, pending = 0, []
    for k in range(round(seconds * 20)):
        acts = []
        for a in pending:
            acts += h.end(a.message, result, latency=50_000, after=0)
        acts += h.arrive(life=S, after=50_000) if k * per_s % 20 < per_s else h.do(after=50_000)
        pending = of(Send, acts)
        sends += len(pending)
    for a in pending:
        h.end(a.message, result, latency=50_000, after=0)
    return sends


@pytest.mark.parametrize(
    "how",
    [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.OVERLOADED],
)
def test_recovery_is_slow_at_first_and_full_after_the_cold_time(how):
    h = Host(rate=8.0, cold_capacity_share=0.1, warm_up_us=10 * S, overload_multiple=2.5)
    serve(h, 5, AttemptResult.OK)
    down = serve(h, 6, how)
    assert h.courier.state.endpoints[100].circuit.is_open and down < 20
    first, _, last = (
        serve(h, 4, AttemptResult.OK),
        serve(h, 8, AttemptResult.OK),
        serve(h, 4, AttemptResult.OK),
    )
    # the budget of the contract: the multiple of the present share, which grows from 0.1 to 0.46 in that time
    assert 0 < first <= 2.5 * (0.1 + 0.46) / 2 * 8 * 4 + 1
    assert last > 1.3 * first


def test_when_slots_are_short_a_lane_that_holds_them_long_gets_what_is_left():
    h = Host(max_in_flight=2)
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (EndpointEntry(200, 2, EndpointState.READY),)))
    warm(h)
    for _ in range(6):  # destination 2 takes ten times as long
        h.arrive(dest=2, after=300_000)
        h.end(h.next, AttemptResult.OK, latency=1_000_000, after=1_000_000, endpoint=200)
    h.arrive()
    first = h.next
    h.arrive(dest=2)
    held = h.next
    for dest in (2, 1, 2, 1):
        h.arrive(dest=dest)
    h.idle(0.9, step=0.3)
    acts = h.end(first, AttemptResult.OK, after=0)
    assert held and [a.endpoint for a in of(Send, acts)] == [100]


def test_each_wait_told_to_a_batched_call_is_kept():
    h = Host(kinds=(DestinationKind("k", max_batch=3),))
    warm(h)
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    h.arrive()
    h.arrive()
    acts = h.do(
        EndpointListUpdate(ListUpdateKind.DELTA, (EndpointEntry(100, 1, EndpointState.READY),)), after=S
    )
    first, second = of(Send, acts)
    h.end(first.message, AttemptResult.OVERLOADED, told=0, after=0)
    h.end(second.message, AttemptResult.OVERLOADED, told=2 * S, after=0)
    assert not of(Send, h.arrive() + h.idle(1.95))
    assert of(Send, h.idle(0.2))


def test_a_destination_that_fails_half_its_calls_still_gets_a_cold_pace():
    h = Host(rate=8.0, cold_capacity_share=0.2, overload_multiple=2.5)
    serve(h, 5, AttemptResult.OK)
    sent = serve(h, 10, AttemptResult.ERROR)
    # more than trials with growing gaps would send, and inside the contract's budget for a cold destination
    assert 2 * 10 < sent <= 2.5 * 0.2 * 8 * 10 + 6
    assert not h.courier.state.endpoints[100].circuit.is_open


def test_time_outs_are_short_where_many_calls_are_lost():
    h = Host(max_in_flight=40)
    warm(h, 40)
    calm = h.courier.timeouts.loss_rate
    for _ in range(10):
        sends = of(Send, h.arrive(after=300_000) + h.arrive())
        for a in sends[1:]:
            h.end(a.message, AttemptResult.OK)
        h.end(sends[0].message, AttemptResult.TIMEOUT)
    lane = h.courier.state.endpoints[100].scope
    lane.mean_latency_us, lane.latency_deviation_us = 100_000.0, 75_000.0
    lossy = h.courier.timeouts.call_timeout_us(lane)
    assert h.courier.timeouts.loss_rate > 10 * calm
    h.courier.timeouts.loss_rate = calm
    assert lossy < 0.7 * h.courier.timeouts.call_timeout_us(lane)


def test_no_time_out_is_shorter_than_the_turns_that_would_see_the_answer():
    h = Host(max_in_flight=40)
    warm(h)
    lane = h.courier.state.endpoints[100].scope
    lane.mean_latency_us, lane.latency_deviation_us = (
        300.0,
        50.0,
    )  # a partner beside the courier answers sooner than the next turn comes
    assert h.courier.timeouts.call_timeout_us(lane) >= 3 * h.courier.state.settings.tick_us
    lane.mean_latency_us, lane.latency_deviation_us = 50_000.0, 5_000.0
    assert 50_000 < h.courier.timeouts.call_timeout_us(lane) < 200_000


def test_pace_grows_slowly_near_the_rate_that_was_refused_last():
    def growth(refused):
        h = Host(rate=4.0, courier_count=2)
        serve(h, 3, AttemptResult.OK)
        if refused:
            for a in of(Send, h.arrive() + h.idle(1)):
                h.end(a.message, AttemptResult.OVERLOADED)
        lane = h.courier.state.endpoints[100].scope
        lane.overload_pace_per_s = lane.pace_per_s = 2.0
        serve(h, 3, AttemptResult.OK)
        return lane.pace_per_s - 2.0

    assert 0 < growth(True) < 0.7 * growth(False)


def test_a_full_message_waits_here_where_no_client_comes_again():
    h = Host(clients_mark_retries=True, classes=CLASSES)
    h.courier.completer.rejections_in_a_row = 20
    h.arrive()
    acts = h.end(1, AttemptResult.OVERLOADED, told=S)
    assert not of(Reject, acts) and not of(Send, acts + h.idle(0.95)) and of(Send, h.idle(4))
    until = h.now + 10 * S
    h.do(MessageArrived(99, 0, 1, until, resubmitted=True))
    assert of(Reject, h.end(1, AttemptResult.OVERLOADED))


def test_a_bucket_is_smaller_where_refused_calls_are_priced():
    def at_once(price):
        h = Host(rate=10.0, max_in_flight=40, overload_penalty=price)
        h.courier.state.endpoints[100].scope.window = 20.0
        h.idle(2)
        return sum(len(of(Send, h.arrive())) for _ in range(12))

    assert 1 < at_once(0.1) < at_once(0.0) < 12


def test_an_unsafe_message_waits_while_calls_there_fail_in_ways_that_may_have_run():
    h = Host(warm_up_us=10 * S)
    warm(h)
    h.arrive()
    h.end(h.next, AttemptResult.ERROR, after=50_000)
    h.end(h.next, AttemptResult.ERROR, after=500_000) if of(Send, h.idle(0.3)) else None
    h.courier.state.messages.clear()
    h.courier.state.destinations[1].queue.clear()
    early = of(Send, h.arrive(cls=2) + h.idle(1))
    late = of(Send, h.idle(6))
    assert not [a for a in early if a.message == h.next] and [a for a in late if a.message == h.next]


def held_back(h):
    """An attempt that the host never wrote."""
    return h.do(AttemptEnded(h.next, h.tries[h.next], 100, AttemptResult.NOT_SENT, 1000), after=5000)


def test_attempts_that_were_never_written_cost_no_try():
    # No free descriptor, or a told wait between choice and write: within 15 ms a message had lost its three
    # tries and was handed back with no call.
    for result in (AttemptResult.OK, AttemptResult.ERROR):
        h = Host()
        h.arrive()
        for _ in range(8):
            acts = held_back(h)
            while not of(Send, acts):
                assert not of(Reject, acts) and not of(Fail, acts)
                acts = h.do(after=5000)
        h.end(1, result)  # the first that was written
        assert (1 in h.courier.state.messages) is (result is AttemptResult.ERROR)  # it has two tries more


def test_what_is_held_back_again_and_again_goes_with_growing_pauses():
    h = Host()
    acts, sends = h.arrive(), 0
    while h.now < 1006 * S:
        for _ in of(Send, acts):
            sends += 1
            acts = held_back(h)
        if not of(Send, acts):
            acts = h.do(after=5000)
    assert 4 <= sends <= 30
