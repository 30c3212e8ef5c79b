"""What a restart finds taken on and untried is tried: it does not stand at the door a second time."""

from test_fleet import fleet
from test_messages import Host, S, of

from madderbeam.policy.actions import Reject, Send
from madderbeam.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    MessageArrived,
)
from madderbeam.policy.settings import Tenant


def restored(h, count, life=8 * S, dest=1, tries=0):
    """So many were taken on by the process before; the actions of the turn, and the messages."""
    first = h.next + 1
    h.next += count
    numbers = list(range(first, h.next + 1))
    return h.do(
        *(MessageArrived(n, 0, dest, h.now + life, restored=True, attempts=tries) for n in numbers),
        after=5000,
    ), numbers


def test_what_a_restart_found_is_not_refused_where_refusals_set_the_pace_of_an_unlisted_destination():
    h = fleet()  # no rate is listed
    for _ in range(6):
        for a in of(Send, h.arrive(after=3 * S)):
            h.end(a.message, AttemptResult.OVERLOADED)
    assert 0 < h.courier.state.endpoints[100].scope.pace_per_s < 1 / 3
    acts, _ = restored(h, 20)
    assert not of(Reject, acts)
    assert of(Reject, h.arrive(life=4 * S))  # as one that comes is


def test_what_waits_for_its_pace_is_not_refused_at_the_door_if_a_restart_found_it():
    h = fleet(rate=5.0)  # a part of 0.05 a second: the next call in up to 20 s
    h.arrive()
    h.end(h.next, AttemptResult.OVERLOADED)
    acts, numbers = restored(h, 5, life=4 * S)
    assert not of(Reject, acts)
    acts = h.arrive(life=4 * S, after=50_000)  # as one that comes is
    assert [a.message for a in of(Reject, acts)] == [h.next]
    assert not {a.message for a in of(Reject, h.idle(3.5))} & set(numbers)
    ends = {a.message for a in of(Reject, h.idle(1))}  # its time is up: its end is owed all the same
    assert ends == set(numbers)


def test_room_is_not_made_by_handing_back_what_a_restart_found_untried():
    h = Host(max_pending=10)
    h.do(EndpointListUpdate(ListUpdateKind.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    acts, numbers = restored(h, 10)
    assert not of(Reject, acts)
    tried, _ = restored(h, 3, tries=1)  # these had their chance
    assert {a.message for a in of(Reject, tried)} <= set(range(h.next - 2, h.next + 1))
    assert set(numbers) <= set(h.courier.state.messages)


def test_what_a_restart_found_does_not_use_up_its_tenant_s_share_a_second_time():
    # All of it comes in one turn: counted again, most would be over the share, worth little, and wait behind
    # whatever comes in after the restart.
    h = Host(tenants=(Tenant("t", 1.0, 2.0),), over_quota_weight=0.05)
    _, numbers = restored(h, 20)
    assert {h.courier.state.messages[n].priority_weight for n in numbers} == {
        h.courier.state.settings.classes[0].priority_weight
    }
    first, second, third = (h.next + n for n in (1, 2, 3))
    for _ in range(3):
        h.arrive()
    weights = [h.courier.state.messages[n].priority_weight for n in (first, second, third)]
    assert weights[0] == weights[1] > 10 * weights[2]  # the share of two a second is whole for what comes
