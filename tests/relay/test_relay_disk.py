"""A custodian whose disk takes a record not, or whose records end before their deliveries have settled."""

from dataclasses import replace

from madderbeam.membership.values import (
    Incarnation,
    LinkUp,
    MemberId,
    MessageReceived,
    Persist,
    SendMessage,
    SetTimer,
    TimerDue,
    WriteFailed,
)
from madderbeam.relay.custody import Custodian
from madderbeam.relay.messages import Ack, Entry
from madderbeam.relay.telling import CustodySettings
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    CustodyRejected,
    DeliveryCompleted,
    DeliveryIdempotency,
    Expand,
    OutcomesPersisted,
    Publication,
    Result,
)

S = 1_000_000
ORIGIN, RELAY = MemberId("macon", "m1"), MemberId("savannah", "m1")
MESSAGE = Publication(
    "p1", ORIGIN, "", 7, "unsafe", DeliveryIdempotency.NON_IDEMPOTENT, "t", "", "", b"body", 0, 1
)


def custodian(now=0):
    made = Custodian(CustodySettings(), RELAY, Incarnation(1, 1), lambda p: (7,), lambda us: us // 1000, {})
    made.handle(now, Credit(10, 1 << 20))
    made.handle(now, LinkUp(ORIGIN))
    return made


def entry(seq=1, **changes):
    return MessageReceived(ORIGIN, Entry(1, seq, replace(MESSAGE, **changes), 2 * S))


def acks(actions):
    return [a.message.seq for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Ack)]


def test_what_was_turned_away_behind_a_word_that_was_lost_is_acked_by_no_later_credit():
    relay = custodian()
    assert any(isinstance(a, Expand) for a in relay.handle(0, entry()))
    told = relay.handle(S, CustodyRejected(MESSAGE.name, 0, "no room"))
    assert isinstance(told[0], Persist) and acks(told) == [1]  # behind its record: the disk takes it not
    relay.handle(S, WriteFailed("custody", MESSAGE.name))
    assert acks(relay.handle(2 * S, Credit(100, 1 << 24))) == []
    again = relay.handle(3 * S, MessageReceived(ORIGIN, Entry(2, 1, MESSAGE, 2 * S)))  # in its next stream
    assert acks(again) == [1] or any(isinstance(a, Expand) for a in again)


def test_a_record_that_is_let_go_of_settles_what_has_ended_of_it():
    relay = custodian()
    relay.handle(0, entry(idempotency=DeliveryIdempotency.IDEMPOTENT))
    relay.handle(0, CustodyAccepted(MESSAGE.name, (7,)))
    now, ended = 2 * S + CustodySettings().grace_us, DeliveryCompleted(MESSAGE.name, 7, Result.REFUSED)
    assert not any(isinstance(a, OutcomesPersisted) for a in relay.handle(now - 1, ended))
    told = relay.handle(now, TimerDue("custody"))
    assert OutcomesPersisted(MESSAGE.name, (7,)) in told and not relay.store.records
    assert [a for a in told if not isinstance(a, SetTimer)][0] == OutcomesPersisted(MESSAGE.name, (7,))
