"""The supervisor's decisions, in virtual time."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.sidecar.supervisor import (
    FIRST_S,
    KILL_S,
    LONGEST_S,
    STEADY_S,
    Kill,
    Start,
    State,
    Stop,
    Supervisor,
)


@pytest.fixture
def s():
    return Supervisor(random.Random(1))


def test_what_is_wanted_is_started_once(s):
    assert s.want({"a": "1", "b": "1"}, 0) == [Start("a"), Start("b")]
    assert s.want({"a": "1", "b": "1"}, 1) == [] and s.due(2) == [] and s.next_at() is None


def test_a_changed_file_touches_its_courier_only(s):
    s.want({"a": "1", "b": "1"}, 0)
    assert s.want({"a": "2", "b": "1"}, 5) == [Stop("a")]
    assert s.ended("a", 6) == [Start("a")]  # at once: it was asked to end
    assert s.couriers["b"].starts == 1


def test_one_that_dies_is_started_again_with_growing_jittered_waits(s):
    s.want({"a": "1"}, 0)
    now, waits = 0.0, []
    for _ in range(12):
        assert s.ended("a", now) == []
        at = s.next_at()
        assert s.due(at - 0.001) == []
        waits.append(at - now)
        now = at
        assert s.due(now) == [Start("a")]
    assert waits[0] <= FIRST_S and all(w <= LONGEST_S for w in waits) and waits[-1] >= LONGEST_S / 2
    assert len({round(w / min(LONGEST_S, FIRST_S * 2**n), 6) for n, w in enumerate(waits)}) == 12  # by chance
    s.ended("a", now + STEADY_S)  # it ran for long: the waits begin anew
    assert s.next_at() - now - STEADY_S <= FIRST_S


def test_one_that_does_not_end_is_killed(s):
    s.want({"a": "1"}, 0)
    assert s.want({}, 1) == [Stop("a")]
    assert s.due(1 + KILL_S - 0.01) == [] and s.due(1 + KILL_S) == [Kill("a")]
    assert s.ended("a", 7) == [] and not s.couriers


def test_one_that_waits_for_its_start_and_is_not_wanted_any_more_is_gone(s):
    s.want({"a": "1"}, 0)
    s.ended("a", 1)
    assert s.want({}, 1.1) == [] and not s.couriers and s.next_at() is None


def test_a_file_mended_while_its_courier_waits_starts_it_at_once(s):
    s.want({"a": "1"}, 0)
    for now in range(8):
        s.ended("a", now)
        s.couriers["a"].at = now
        s.due(now)
    s.ended("a", 8)
    assert s.want({"a": "2"}, 8.01) == [Start("a")]


def test_the_end_stops_all_the_newest_first_and_starts_none(s):
    s.want({"a": "1", "b": "1", "c": "1"}, 0)
    s.ended("b", 1)
    assert s.end(1.1) == [Stop("c"), Stop("a")]
    assert s.ended("a", 2) == [] and s.ended("c", 2) == [] and s.due(99) == [] and not s.couriers
    assert s.want({"a": "1"}, 100) == []


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from("wedx"), st.integers(0, 3), st.integers(0, 2), st.floats(0, 40)),
        max_size=60,
    )
)
def test_never_two_processes_of_one_courier_and_all_that_is_wanted_runs_in_the_end(steps):
    s, now, live, wanted = Supervisor(random.Random(3)), 0.0, set(), {}

    def do(actions):
        for a in actions:
            if isinstance(a, Start):
                assert a.name not in live
                live.add(a.name)
            else:
                assert a.name in live

    for what, which, digest, after in steps:
        now += after
        name = "abcd"[which]
        if what == "w":
            wanted = {**wanted, name: str(digest)}
            do(s.want(wanted, now))
        elif what == "x":
            wanted.pop(name, None)
            do(s.want(wanted, now))
        elif what == "e" and name in live:
            live.discard(name)
            do(s.ended(name, now))
        else:
            do(s.due(now))
    for _ in range(100):
        now += LONGEST_S
        for c in [c for c in s.couriers.values() if c.state is State.STOPPING]:
            live.discard(c.name)
            do(s.ended(c.name, now))
        do(s.due(now))
    assert live == set(wanted)
    assert {n: c.digest for n, c in s.couriers.items()} == wanted
