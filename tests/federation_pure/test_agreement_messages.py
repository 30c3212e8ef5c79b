"""Messages survive their conversion to rows; a malformed row is rejected with the name of the field."""

from __future__ import annotations

import random

import msgpack
import pytest
from agreement_net import member_id, table

from madderbeam.federation.consensus import messages as m
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.federation.federation import Federation
from madderbeam.federation.table import read_table
from madderbeam.federation.values import TableAgreed, TableChecked, TableProposed
from madderbeam.membership.values import (
    Incarnation,
    LinkDown,
    LogLine,
    MessageReceived,
    Persist,
    TimerDue,
    WriteFailed,
)

SLOT, INCARNATION = Slot(3, 1), Incarnation(2, 2**63)
BALLOT, MARK = Ballot(5, member_id(1), INCARNATION), Mark(INCARNATION, 7)
DIGEST = table().digest
CLAIM, VOTES = Claim(DIGEST, ("s00", "s01")), (Vote("s00"), Vote("s01", "table-refused", "no partner 7"))
MARKS = ((member_id(0), MARK), (member_id(1), MARK))

MESSAGES = [
    m.Prepare(SLOT, DIGEST, BALLOT),
    m.Promise(SLOT, BALLOT, CLAIM, BALLOT, tuple((BALLOT, vote) for vote in VOTES), MARK),
    m.Promise(SLOT, BALLOT, None, None, (), MARK),
    m.Accept(SLOT, DIGEST, BALLOT, CLAIM, VOTES),
    m.Accepted(SLOT, BALLOT, 2, MARK),
    m.BallotRejected(SLOT, BALLOT, BALLOT),
    m.VoteRequest(SLOT, DIGEST, DIGEST, None),
    m.VoteRequest(SLOT, DIGEST, DIGEST, table().document()),
    m.DocumentRequest(SLOT, DIGEST),
    m.Document(SLOT, table().document()),
    m.VoteReply(SLOT, DIGEST, VOTES[1]),
    m.SlotAborted(SLOT, DIGEST, VOTES, MARKS),
    m.SlotAdvanced(SLOT),
    m.Decided(3, DIGEST, MARKS),
    m.CatchUpRequest(2),
    m.AgreedTable(2, table().document()),
    m.MarkAnnounced(MARK, None),
    m.MarkAnnounced(MARK, INCARNATION),
    m.MarkConfirmed(MARK),
    m.RollbackReported(MARK),
]


def test_rows_are_read_back_as_messages():
    for message in MESSAGES:
        assert m.from_row(msgpack.unpackb(msgpack.packb(m.to_row(message)))) == message
    assert {type(message) for message in MESSAGES} == set(m.CLASS_BY_TAG.values())


MALFORMED_ROWS = [
    (["rumba"], "kind is not known"),
    (["want"], "want has 0 fields"),
    (["want", -1], "want.number"),
    (["want", True], "want.number"),
    (["show", [3, 1], "xyz"], "show.digest"),
    (["show", [0, 1], DIGEST], "show.slot"),
    (["offer", [3], DIGEST, DIGEST, None], "offer.slot"),
    (["answer", [3, 1], DIGEST, ["s" * 65, "", ""]], "answer.vote"),
    (["answer", [3, 1], DIGEST, ["s", "", "x" * 401]], "answer.vote"),
    (["over", [3, 1], DIGEST, [["s", "", ""]] * 81, []], "over.votes"),
    (["known", 1, {str(i): 1 for i in range(5)}], "known.document"),
    (["greet", [[1, 2**64 + 1], 0], None], "greet.mark"),
]


@pytest.mark.parametrize(
    ("row", "description"), MALFORMED_ROWS, ids=[t + str(i) for i, (_, t) in enumerate(MALFORMED_ROWS)]
)
def test_malformed_rows_are_rejected_by_field(row, description):
    with pytest.raises(ValueError, match=description):
        m.from_row(row)


def test_corrupted_rows_raise_only_value_errors():
    rng = random.Random(5)
    for _ in range(20_000):
        row = m.to_row(rng.choice(MESSAGES))
        index = rng.randrange(len(row))
        row[index] = rng.choice([None, -1, 2**70, "", "x", [], [[]], {}, b"", 0.5, [None] * 3, row[-1]])
        try:
            m.from_row(row)
        except ValueError as e:
            assert "\n" not in str(e)


def test_a_document_of_ten_thousand_destinations_passes_whole():
    owners = {str(d): "s00" for d in range(10_000)}
    row = msgpack.packb(m.to_row(m.AgreedTable(1, {**table().document(), "owners": owners})))
    assert len(row) < 1_000_000
    assert len(read_table(m.from_row(msgpack.unpackb(row)).document).owners) == 10_000


def test_a_voter_at_a_later_slot_votes_on_no_earlier_one():
    """The write of the agreed table may have failed; the record of votes still tells the slot."""
    acceptor = Acceptor(INCARNATION, None)
    assert acceptor.prepare(m.Prepare(Slot(4), DIGEST, BALLOT)) is not None
    again = Acceptor(INCARNATION, acceptor.record())
    assert again.prepare(m.Prepare(Slot(3, 5), DIGEST, BALLOT)) is None
    assert again.accept(m.Accept(Slot(3, 5), DIGEST, BALLOT, CLAIM, VOTES)) is None
    assert again.record() == acceptor.record()


class RecordingMachine:
    """Records its events, and returns fixed actions."""

    def __init__(self, *actions) -> None:
        self.events, self.actions = [], list(actions)

    def start(self, now_us):
        return self.handle(now_us, "start")

    def handle(self, now_us, event):
        self.events.append(event)
        return list(self.actions)


def test_the_federation_routes_each_event_to_its_part():
    agreement, switchover = RecordingMachine(), RecordingMachine(LogLine("switched"))
    federation = Federation(agreement, switchover)
    assert federation.start(0) == [LogLine("switched")]
    agreement_events = [
        TableProposed(table()),
        TableChecked(table().proposal_id, ""),
        MessageReceived(member_id(1), MESSAGES[0]),
        TimerDue("agree/drive"),
    ]
    switchover_events = [MessageReceived(member_id(1), "hello"), TimerDue("lease")]
    shared_events = [WriteFailed("vote", ""), WriteFailed("release", "4"), LinkDown(member_id(1))]
    for event in agreement_events + switchover_events + shared_events:
        federation.handle(1, event)
    assert agreement.events[1:] == agreement_events + shared_events
    assert switchover.events[1:] == switchover_events + shared_events


def test_an_agreed_table_goes_to_switchover_in_its_place():
    before, after = Persist("agreed", "1", {}), LogLine("after")
    switchover = RecordingMachine(LogLine("switched"))
    federation = Federation(RecordingMachine(before, TableAgreed(table()), after), switchover)
    assert federation.handle(1, TimerDue("agree/known/1")) == [before, LogLine("switched"), after]
    assert switchover.events == [TableAgreed(table())]
