"""Keys that several messages came with: each keeps the earliest attempt that may have run, of any of them."""

import random

import pytest
from test_store import KEY_S, Machine, held

from madderbeam.journal.segments import name

KEY = "the-key"


def handed_in(machine, number):
    """A message with the key is taken on; one that is open with it is given up, as its client did."""
    journal = machine.journal
    m = held(number, machine, KEY, ran_at=journal.key_ran_at(KEY))
    if old := journal.held.get(journal.open_keys.get(KEY, 0)):
        m.ran_at = m.ran_at or old.may_have_run_at
        journal.end(old, "deferred", 0)
        journal.final(old.number, "deferred", 0)
    journal.take(m)


def tried(machine, number):
    """An attempt begins, a second after what was before."""
    machine.after(1)
    at = machine.journal.wall()
    machine.journal.attempt([number], at)
    return at


def churned(machine):
    """A message comes and goes, and compaction does what there is to be done."""
    journal = machine.journal
    number = journal.last + 1
    machine.after(0.002)
    journal.take(held(number, machine, size=1500, life=0.1))
    journal.done(number)
    journal.commit()
    while journal.step():
        pass


def compacted(machine):
    """All segments that there are go, by copies."""
    last = machine.journal.files.newest
    while min(machine.journal.files.all) <= last:
        churned(machine)


def keeps(machine, at):
    """The key's earliest attempt that may have run: now, after a restart, and after a compaction."""
    assert machine.journal.key_ran_at(KEY) == at
    assert machine.start().key_ran_at(KEY) == at
    compacted(machine)
    assert machine.journal.key_ran_at(KEY) == machine.start().key_ran_at(KEY) == at


def begun():
    machine = Machine()
    machine.start(later=lambda seconds, action: None)
    return machine


@pytest.mark.parametrize("over", [False, True], ids=["open", "over"])
@pytest.mark.parametrize("copied", [False, True], ids=["", "copied"])
def test_a_late_proof_that_the_older_one_never_ran_leaves_the_newer_ones_attempt(over, copied):
    # It took the key away: a third message counted as new and went out when the second one's window was over.
    machine = begun()
    handed_in(machine, 1)
    tried(machine, 1)
    handed_in(machine, 2)
    ran = tried(machine, 2)
    if over:
        machine.journal.done(2)
    if copied:
        compacted(machine)
    machine.journal.missed(1)
    machine.journal.commit()
    keeps(machine, ran)
    assert name(1) not in machine.segments()


def test_a_proof_in_the_turn_of_the_newer_ones_attempt():
    machine = begun()
    handed_in(machine, 1)
    tried(machine, 1)
    handed_in(machine, 2)
    machine.journal.begin()
    ran = tried(machine, 2)
    machine.journal.missed(1)
    machine.journal.commit()
    keeps(machine, ran)


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_a_key_whose_attempts_all_proved_that_they_never_ran_does_not_count(order):
    machine = begun()
    handed_in(machine, 1)
    first = tried(machine, 1)
    handed_in(machine, 2)
    tried(machine, 2)
    machine.journal.missed(order[0])
    machine.journal.commit()
    assert machine.journal.key_ran_at(KEY) >= first
    machine.journal.missed(order[1])
    machine.journal.commit()
    assert not machine.journal.held[2].may_have_run_at
    keeps(machine, 0)
    assert not machine.journal.held[2].may_have_run_at


def test_one_that_came_meanwhile_and_was_not_tried_does_not_count_either():
    machine = begun()
    handed_in(machine, 1)
    tried(machine, 1)
    handed_in(machine, 2)
    machine.journal.missed(1)
    machine.journal.commit()
    assert not machine.journal.held[2].may_have_run_at
    keeps(machine, 0)
    assert not machine.journal.held[2].may_have_run_at
    ran = tried(machine, 2)
    machine.journal.commit()
    keeps(machine, ran)


def test_the_older_ones_attempt_that_may_have_run_goes_on_counting():
    machine = begun()
    handed_in(machine, 1)
    ran = tried(machine, 1)
    handed_in(machine, 2)
    tried(machine, 2)
    machine.journal.missed(2)
    machine.journal.commit()
    keeps(machine, ran)
    assert machine.journal.held[2].may_have_run_at == ran


def test_a_second_attempt_that_never_ran_leaves_the_first():
    machine = begun()
    handed_in(machine, 1)
    ran = tried(machine, 1)
    tried(machine, 1)
    machine.journal.missed(1)
    machine.journal.commit()
    keeps(machine, ran)


@pytest.mark.parametrize("seed", range(40))
def test_any_course_of_attempts_and_proofs(seed):
    # Exact while the process lives; a restart may take a more careful view, that is an earlier attempt.
    chance, machine = random.Random(f"keys {seed}"), begun()
    may, out = {}, {}  # times by message; the newest of each whose proof may come
    for _ in range(60):
        journal = machine.journal
        machine.after(0.01)
        mine = [n for n, m in journal.held.items() if m.key]
        open_ = journal.open_keys.get(KEY)
        what = chance.choice(("come", "try", "try", "miss", "miss", "over", "copy", "start"))
        if what == "come":
            handed_in(machine, journal.last + 1)
        elif what == "try" and open_:
            at = journal.wall()
            journal.attempt([open_], at)
            may.setdefault(open_, []).append(at)
            out[open_] = at
        elif what == "miss" and (n := chance.choice([n for n in out if n in journal.held] or [0])):
            journal.missed(n)
            may[n].remove(out.pop(n))
        elif what == "over" and mine:
            n = chance.choice(mine)
            journal.done(n)
            out.pop(n, None)
        elif what == "copy":
            journal.commit()
            for _ in range(40):
                churned(machine)
        journal.commit()
        first = min((at for times in may.values() for at in times), default=0)
        assert journal.wall() - first < KEY_S or not first, "the course is too long for the window"
        assert journal.key_ran_at(KEY) == first
        machine.start(later=lambda seconds, action: None)
        found = machine.journal.key_ran_at(KEY)
        assert found == first or (found > 0 and (not first or found < first))
        if what == "start":
            out.clear()
            may = {0: [found]} if found else {}
        else:
            machine.journal = journal
