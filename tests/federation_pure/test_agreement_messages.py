"""Messages come back from their rows as they were; a row that does not fit is refused by its field's name."""

from __future__ import annotations

import random

import msgpack
import pytest
from agreement_net import one, table

from madderbeam.federation.consensus import messages as m
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.federation.federation import Federation
from madderbeam.federation.table import read
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

SLOT, LIFE = Slot(3, 1), Incarnation(2, 2**63)
BALLOT, MARK = Ballot(5, one(1), LIFE), Mark(LIFE, 7)
DIGEST = table().digest
CLAIM, WORDS = Claim(DIGEST, ("s00", "s01")), (Vote("s00"), Vote("s01", "table-refused", "no partner 7"))
MARKS = ((one(0), MARK), (one(1), MARK))

ALL = [
    m.Prepare(SLOT, DIGEST, BALLOT),
    m.Promise(SLOT, BALLOT, CLAIM, BALLOT, tuple((BALLOT, w) for w in WORDS), MARK),
    m.Promise(SLOT, BALLOT, None, None, (), MARK),
    m.Accept(SLOT, DIGEST, BALLOT, CLAIM, WORDS),
    m.Accepted(SLOT, BALLOT, 2, MARK),
    m.BallotRejected(SLOT, BALLOT, BALLOT),
    m.VoteRequest(SLOT, DIGEST, DIGEST, None),
    m.VoteRequest(SLOT, DIGEST, DIGEST, table().document()),
    m.DocumentRequest(SLOT, DIGEST),
    m.Document(SLOT, table().document()),
    m.VoteReply(SLOT, DIGEST, WORDS[1]),
    m.SlotAborted(SLOT, DIGEST, WORDS, MARKS),
    m.SlotAdvanced(SLOT),
    m.Decided(3, DIGEST, MARKS),
    m.CatchUpRequest(2),
    m.AgreedTable(2, table().document()),
    m.MarkAnnounced(MARK, None),
    m.MarkAnnounced(MARK, LIFE),
    m.MarkConfirmed(MARK),
    m.RollbackReported(MARK),
]


def test_rows_come_back_as_messages():
    for message in ALL:
        assert m.from_row(msgpack.unpackb(msgpack.packb(m.to_row(message)))) == message
    assert {type(message) for message in ALL} == set(m.KINDS.values())


BAD = [
    (["rumba"], "kind is not known"),
    (["want"], "want has 0 fields"),
    (["want", -1], "want.number"),
    (["want", True], "want.number"),
    (["show", [3, 1], "xyz"], "show.digest"),
    (["show", [0, 1], DIGEST], "show.slot"),
    (["offer", [3], DIGEST, DIGEST, None], "offer.slot"),
    (["answer", [3, 1], DIGEST, ["s" * 65, "", ""]], "answer.word"),
    (["answer", [3, 1], DIGEST, ["s", "", "x" * 401]], "answer.word"),
    (["over", [3, 1], DIGEST, [["s", "", ""]] * 81, []], "over.words"),
    (["known", 1, {str(i): 1 for i in range(5)}], "known.document"),
    (["greet", [[1, 2**64 + 1], 0], None], "greet.mark"),
]


@pytest.mark.parametrize(("row", "told"), BAD, ids=[t + str(i) for i, (_, t) in enumerate(BAD)])
def test_rows_that_do_not_fit_are_refused_by_field(row, told):
    with pytest.raises(ValueError, match=told):
        m.from_row(row)


def test_spoilt_rows_raise_nothing_but_value_errors():
    chance = random.Random(5)
    for _ in range(20_000):
        row = m.to_row(chance.choice(ALL))
        at = chance.randrange(len(row))
        row[at] = chance.choice([None, -1, 2**70, "", "x", [], [[]], {}, b"", 0.5, [None] * 3, row[-1]])
        try:
            m.from_row(row)
        except ValueError as e:
            assert "\n" not in str(e)


def test_a_document_of_ten_thousand_destinations_passes_whole():
    owners = {str(d): "s00" for d in range(10_000)}
    row = msgpack.packb(m.to_row(m.AgreedTable(1, {**table().document(), "owners": owners})))
    assert len(row) < 1_000_000
    assert len(read(m.from_row(msgpack.unpackb(row)).document).owners) == 10_000


def test_a_voter_that_is_at_a_later_slot_votes_on_no_earlier_one():
    """Its table may be lost with a write that failed; its record of votes says how far it was."""
    acceptor = Acceptor(LIFE, None)
    assert acceptor.prepare(m.Prepare(Slot(4), DIGEST, BALLOT)) is not None
    again = Acceptor(LIFE, acceptor.record())
    assert again.prepare(m.Prepare(Slot(3, 5), DIGEST, BALLOT)) is None
    assert again.accept(m.Accept(Slot(3, 5), DIGEST, BALLOT, CLAIM, WORDS)) is None
    assert again.record() == acceptor.record()


class Part:
    """Notes what it is told, and answers with it."""

    def __init__(self, *actions) -> None:
        self.events, self.actions = [], list(actions)

    def start(self, now_us):
        return self.handle(now_us, "start")

    def handle(self, now_us, event):
        self.events.append(event)
        return list(self.actions)


def test_the_joined_machine_gives_each_event_to_its_part():
    agreement, switch = Part(), Part(LogLine("switched"))
    joined = Federation(agreement, switch)
    assert joined.start(0) == [LogLine("switched")]
    mine = [
        TableProposed(table()),
        TableChecked(table().proposal, ""),
        MessageReceived(one(1), ALL[0]),
        TimerDue("agree/drive"),
    ]
    theirs = [MessageReceived(one(1), "hello"), TimerDue("lease")]
    both = [WriteFailed("vote", ""), WriteFailed("release", "4"), LinkDown(one(1))]
    for event in mine + theirs + both:
        joined.handle(1, event)
    assert agreement.events[1:] == mine + both
    assert switch.events[1:] == theirs + both


def test_an_agreed_table_goes_to_the_switch_part_in_its_place():
    before, after = Persist("agreed", "1", {}), LogLine("after")
    switch = Part(LogLine("switched"))
    joined = Federation(Part(before, TableAgreed(table()), after), switch)
    assert joined.handle(1, TimerDue("agree/known/1")) == [before, LogLine("switched"), after]
    assert switch.events == [TableAgreed(table())]
