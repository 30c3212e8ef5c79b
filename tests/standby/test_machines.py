"""The pure machines by themselves: gaps, copies out of order, keys; ids handed in again; settings."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pair import Pair

from madderbeam.config.check import check
from madderbeam.host.standby.copy import Copy, doubt
from madderbeam.host.standby.journal import ReplicatedJournal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.replication import keys, messages
from madderbeam.replication.cursor import Cursor, ahead
from madderbeam.replication.errors import KeyUnfit, NotProven
from madderbeam.replication.standby import Standby
from madderbeam.replication.values import (
    Close,
    Down,
    Got,
    Hello,
    Promote,
    Say,
    Settings,
    Sort,
    TakeOver,
    Write,
    Wrote,
)
from madderbeam.simulation.couriers import SimClock
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Scheduler

ONE = {"one": b"1" * 16, "two": b"2" * 16}
SETTINGS = Settings(form="f", limit=100)


def followed(strict=True):
    """A standby with an owner on link 1, whole at segment 1 with 3 bytes."""
    made = Standby(SETTINGS, {}, {}, {})
    made.handle(0, Hello(1, [1, "f", strict, 1_000_000, 50, "a"]))
    [write] = made.handle(1, Got("block", [1, 0, b"abc", 891568578, 1, 3, 1, 1], 1))
    made.handle(2, Wrote(1, 0, b"abc", write.before, True))
    made.handle(3, Got("whole", [1, 3, 3], 1))
    assert made.whole and made.sure is strict
    return made


@pytest.mark.parametrize(
    "row",
    [
        [1, 4, b"d", 1, 2, 4, 5, 1],  # a byte lacks
        [1, 2, b"cd", 1, 2, 5, 5, 1],  # one comes twice
        [1, 3, b"d", 1, 2, 4, 5, 1],  # another digest
        [1, 3, b"d", 3984772369, 2, 4, 5, 2],  # of another fence
    ],
)
def test_a_gap_is_never_guessed_over(row):
    made = followed()
    actions = made.handle(9, Got("block", row, 1))
    assert not any(isinstance(a, (Write, Say)) for a in actions) and Close(1) in actions
    assert made.trouble.code == "gap" and made.sizes == {1: 3}


def test_what_is_not_on_the_disk_is_not_confirmed():
    made = followed()
    [write] = made.handle(9, Got("block", [1, 3, b"d", 3984772369, 2, 4, 5, 1], 1))
    assert not made.handle(10, Got("beat", [9], 1))
    actions = made.handle(11, Wrote(1, 3, b"d", write.before, False))
    assert [a.channel for a in actions if isinstance(a, Say)] == ["full"] and made.sizes == {1: 3}


def test_a_copy_out_of_order_is_doubted_until_it_is_whole():
    made = followed()
    made.handle(9, Got("midway", [], 1))
    made.handle(10, Down(1))
    made.handle(11, Promote())
    [taken] = [a for a in made.handle(9_000_000, Down(0)) if isinstance(a, TakeOver)]
    assert taken.doubt and not taken.exact and taken.fence == 2
    [say] = [a for a in made.handle(9_000_001, Hello(2, [1, "f", True, 1, 50, "a"])) if isinstance(a, Say)]
    assert (say.channel, say.row) == ("fenced", [2])


def test_taking_over_waits_for_the_lease_and_the_drift():
    made = followed()
    made.handle(100, Got("beat", [50], 1))  # confirmed at 100
    made.handle(101, Down(1))
    made.handle(102, Promote())
    end = 100 + 1_000_000 + 2_000 + 100_000
    assert not made.handle(end - 1, Down(0)) and made.over is None
    assert any(isinstance(a, TakeOver) for a in made.handle(end, Down(0)))


@given(st.integers(0, 2**32))
def test_what_is_sent_in_order_of_writing_is_an_earlier_state(seed):
    """While `exact` holds, what the copy gets next is the first byte that it lacks of what was written."""
    chance = random.Random(seed)
    sizes, log, sent = {1: 0}, [], {}
    for _ in range(chance.randint(1, 30)):
        if chance.random() < 0.3:
            sizes[max(sizes) + 1] = 0
        n = max(sizes)
        log.append((n, sizes[n]))
        sizes[n] += 1
    upto = chance.randint(0, len(log))
    for n, _ in log[:upto]:
        sent[n] = sent.get(n, 0) + 1
    cursor = Cursor(sizes, sent, {})
    assert cursor.exact and not ahead(sizes, sent)
    part = cursor.lacking()
    assert part is None if upto == len(log) else part[:2] == log[upto]
    if sent and len(sizes) > 1:
        del sizes[min(sent)]  # it goes here while the copy has it
        assert not cursor.exact
    assert ahead({1: 5}, {1: 6}) and ahead({1: 5}, {2: 1}) and not ahead({2: 5}, {1: 9})


def test_a_proof_is_of_use_once_and_for_its_row():
    row = [1, "f"]
    told = keys.proof(ONE["two"], "owner", b"c", b"n", "hello", row)
    keys.proven(ONE, "two", "owner", b"c", b"n", "hello", row, told)
    for wrong in (
        ("one", "owner", b"c", b"n", "hello", row),
        ("two", "standby", b"c", b"n", "hello", row),
        ("two", "owner", b"d", b"n", "hello", row),
        ("two", "owner", b"c", b"n", "hello", [2, "f"]),
        ("three", "owner", b"c", b"n", "hello", row),
        (None, "owner", b"c", b"n", "hello", row),
    ):
        with pytest.raises(NotProven):
            keys.proven(ONE, *wrong, told)
    for text in ("", "one 12", "one " + "5a" * 16 + "\none " + "6a" * 16, "one " + "g" * 32):
        with pytest.raises(KeyUnfit):
            keys.read(text, "keys")


@given(
    st.sampled_from(sorted(messages.FORMS)),
    st.lists(
        st.one_of(st.none(), st.integers(), st.text(), st.binary(), st.booleans(), st.lists(st.integers()))
    ),
)
def test_what_comes_is_in_form_or_odd(channel, row):
    try:
        messages.check(channel, row)
    except messages.Odd:
        return
    assert len(row) == len(messages.FORMS[channel])


class Room:
    """Decides when it is told to."""

    def __init__(self):
        self.asked = []

    def ask(self, sort, go, deny, until):
        self.asked.append((sort, go, deny))

    def may_attempt(self):
        return True

    def appended(self, *_):
        return

    dropped = appended


def waiting(disk=None, scheduler=None):
    scheduler = scheduler or Scheduler(1)
    disk = disk or SimDisk(random.Random(1), lambda what: False)
    journal = ReplicatedJournal(disk, SimClock(scheduler), "/state", 100_000)
    return journal, disk, SimClock(scheduler)


def message(number, journal, cls=0):
    return PendingMessage(number, f"m{number}", cls, 0, 7, "", journal.wall() + 9, False, b"x")


def test_handed_in_again_it_waits_with_the_first():
    journal, _, _ = waiting()
    journal.attach(room := Room(), frozenset({0}), {})
    told = []
    journal.accept(message(1, journal), lambda: told.append("first"))
    journal.call_when_written("m1", lambda: told.append("again"), lambda: told.append("lost"))
    assert not told
    room.asked[0][1]()
    assert told == ["first", "again"]
    journal.accept(message(2, journal), failed=lambda error: told.append(type(error).__name__))
    journal.call_when_written("m2", lambda: told.append("again"), lambda: told.append("lost"))
    room.asked[1][2]()
    assert told[2:] == ["UnconfirmedError", "lost"]


def test_an_attempt_ahead_of_its_ok_waits_for_the_word_whatever_its_class():
    journal, _, _ = waiting()
    journal.attach(room := Room(), frozenset({0}), {})
    journal.accept(message(1, journal))
    journal.attempt([1], 5.0)
    room.asked[0][1]()
    journal.attempt([1], 6.0)
    journal.accept(message(2, journal, cls=1))
    room.asked[3][1]()
    journal.attempt([2], 7.0)
    assert [sort for sort, _, _ in room.asked] == [
        Sort.TAKE,
        Sort.ATTEMPT,
        Sort.LIGHT,
        Sort.TAKE,
        Sort.ATTEMPT,
    ]


def test_an_attempt_that_is_denied_never_ran_after_a_restart_either():
    journal, disk, _ = waiting()
    journal.attach(room := Room(), frozenset(), {})
    journal.accept(message(1, journal))
    room.asked[0][1]()
    failed = []
    journal.attempt([1], journal.wall(), failed=failed.append)
    assert journal.pending[1].possibly_executed_at
    room.asked[1][2]()
    assert failed and not journal.pending[1].possibly_executed_at
    assert not waiting(disk)[0].pending[1].possibly_executed_at


def test_the_window_of_a_key_passes_while_the_word_is_waited_for():
    scheduler = Scheduler(1)
    journal, _, _ = waiting(scheduler=scheduler)
    journal.attach(room := Room(), frozenset(), {1: 5.0})
    journal.accept(message(1, journal, cls=1))
    room.asked[0][1]()
    went, failed = [], []
    for n in (1, 2):
        journal.attempt([1], journal.wall(), lambda: went.append(1), failed.append)
        scheduler.run(scheduler.now_us + 3_000_000)
        room.asked[n][1]()
    assert went == [1] and "window" in str(failed[0])


def test_doubt_is_in_the_folder_before_a_courier_starts():
    journal, disk, clock = waiting()
    journal.accept(message(1, journal))
    journal.attempt([1], journal.wall())
    journal.accept(message(2, journal))
    copy = Copy(disk, "/state", False)
    copy.close()
    assert doubt(disk, clock, "/state", 100_000, True) == 2
    for _ in range(2):  # and over further starts
        again = waiting(disk)[0]
        assert (
            again.pending[1].possibly_executed_at
            and again.pending[2].possibly_executed_at
            and not again.damage_count
        )


@pytest.mark.parametrize(
    "change,told",
    [
        ('listen = "127.0.0.1:1"\n', ""),
        ('mode = "after"\ntakeover = "lease"\n', "takeover"),
        ('to = "nowhere"\n', "to"),
        ('key_file = "none"\n', "key_file"),
    ],
)
def test_mistakes_are_told_by_field(tmp_path, change, told):
    made = Pair(tmp_path)
    made.partner.ports = {"s/a": 9, "s/b": 9}
    made.links["s/a", "s/b"].address = ("127.0.0.1", 7301)
    made.render(made.a)
    path = made.a.folder / "estate.toml"
    field = change.partition(" ")[0]
    rows = [row for row in path.read_text().splitlines() if not row.startswith(f"{field} =")]
    text = "\n".join(rows) + "\n" + change if told else path.read_text() + change
    path.write_text(text)
    problems = [str(p) for p in check(path).problems]
    assert any(f"standby.{told}" in p for p in problems) if told else not problems, problems
