"""An entry with key that moves to the next relay has no more time than is left of its key's window."""

from madderbeam.membership.values import (
    Incarnation,
    LinkDown,
    LinkUp,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    SendMessage,
    State,
)
from madderbeam.relay.messages import Ack, Entry
from madderbeam.relay.origin import OriginStreams
from madderbeam.relay.stream_sender import StreamSettings
from madderbeam.relay.values import DeliveryIdempotency, Publication, Published

S = 1_000_000
AT = 100 * S
ME, ONE, TWO = MemberId("macon", "a"), MemberId("savannah", "s"), MemberId("savannah", "t")


def seen(member, state):
    return MemberChanged(MemberView(member, Incarnation(1, 1), 0, state, ("127.0.0.1", 1), 0))


def sent(actions):
    return [a for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Entry)]


def moved(window_us, effect=DeliveryIdempotency.WITH_KEY, after_us=2 * S):
    """For each entry sent after the first relay has died: whether it goes to the other one, and its
    remaining time."""
    streams = OriginStreams(
        StreamSettings(keyed_window_us=window_us), ME, Incarnation(1, 1), lambda now: now // 1000, {}
    )
    actions = []
    for member in (ONE, TWO):
        streams.handle(AT, seen(member, State.ALIVE))
        streams.handle(AT, LinkUp(member))
    p = Publication("p", ME, "", 7, "c", effect, "t", "k", "", b"", AT + 20 * S, 1)
    (first,) = sent(streams.handle(AT, Published(p, ("savannah",))))
    streams.handle(AT + 1, MessageReceived(first.member, Ack(first.message.stream, 1, 9, 1 << 20)))
    for event in (LinkDown(first.member), seen(first.member, State.DEAD)):
        actions += streams.handle(AT + after_us, event)
    return [(a.member != first.member, a.message.remaining_us) for a in sent(actions)]


def test_remaining_time_is_cut_to_the_window_since_the_first_send():
    assert moved(3 * S) == [(True, S)]


def test_after_the_window_no_other_relay_gets_it():
    assert moved(S) == []


def test_an_idempotent_entry_or_an_unknown_window_keeps_the_remaining_time():
    assert moved(3 * S, DeliveryIdempotency.IDEMPOTENT) == [(True, 18 * S)] == moved(0)
