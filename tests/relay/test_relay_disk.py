"""A custodian whose record is not written, or expires before the outcomes of its deliveries are on disk."""

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
from madderbeam.relay.delivery_reporter import CustodySettings
from madderbeam.relay.messages import Ack, Entry
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


def test_a_rejection_after_a_failed_write_is_not_acked_with_later_credit():
    relay = custodian()
    assert any(isinstance(a, Expand) for a in relay.handle(0, entry()))
    told = relay.handle(S, CustodyRejected(MESSAGE.name, 0, "no room"))
    assert isinstance(told[0], Persist) and acks(told) == [1]  # after its record, whose write fails below
    relay.handle(S, WriteFailed("custody", MESSAGE.name))
    assert acks(relay.handle(2 * S, Credit(100, 1 << 24))) == []
    again = relay.handle(3 * S, MessageReceived(ORIGIN, Entry(2, 1, MESSAGE, 2 * S)))  # in the next stream
    assert acks(again) == [1] or any(isinstance(a, Expand) for a in again)


def test_an_expired_record_releases_its_completed_deliveries():
    relay = custodian()
    relay.handle(0, entry(idempotency=DeliveryIdempotency.IDEMPOTENT))
    relay.handle(0, CustodyAccepted(MESSAGE.name, (7,)))
    now, ended = 2 * S + CustodySettings().grace_us, DeliveryCompleted(MESSAGE.name, 7, Result.REFUSED)
    assert not any(isinstance(a, OutcomesPersisted) for a in relay.handle(now - 1, ended))
    told = relay.handle(now, TimerDue("custody"))
    assert OutcomesPersisted(MESSAGE.name, (7,)) in told and not relay.store.records
    assert [a for a in told if not isinstance(a, SetTimer)][0] == OutcomesPersisted(MESSAGE.name, (7,))
