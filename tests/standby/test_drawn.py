"""Drawn schedules over the real machines, journal and copy; and planted bugs, each of which they find."""

import logging

import plants
import pytest
from world import judge, play

MODES = {
    "a person": {},
    "a lease": {"takeover": "lease"},
    "alone": {"silent": "alone"},
    "after": {"mode": "after", "silent": "alone"},
    "made stricter": {"silent": "alone", "then": {"silent": "refuse"}},
    "made weaker": {"then": {"silent": "alone"}},
}
# The owner comes back with weaker settings, cut off; the standby is promoted; both lose each other no more.
WEAKER = [(3, "kill a"), (3, "cut"), (3.2, "start a"), (5.5, "promote"), (9, "heal")]


def stricter(at):
    """The owner was alone, comes back strict, and is gone again as the copy is brought up."""
    return [
        (2.5, "cut"),
        (2.5, "break"),
        (5, "kill a"),
        (5.2, "heal"),
        (5.2, "start a"),
        (at, "kill a"),
        (5.5, "promote"),
    ]


@pytest.fixture(autouse=True)
def quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("mode", MODES)
def test_no_rule_is_broken(mode):
    met = set()
    for seed in range(40):
        w = play(seed, **MODES[mode])
        broken, _ = judge(w)
        assert not broken, (seed, broken[:3], dict(w.met))
        met |= set(w.met)
    assert {"released", "fenced", "a died", "b died", "pause amid", "standby's disk"} <= met
    if mode != "a lease":
        assert any(name.startswith("took over") for name in met)


# Both lose each other for half a second, again and again: words are late.
LATE = [(t / 2 + 0.37, ("cut", "heal")[t % 2]) for t in range(3, 22)]
CUT_OFF = [(3, "cut"), (3.2, "promote"), (9, "heal")]  # the owner lives, and is taken over
FULL = [(3, "full"), (3.6, "kill a"), (3.7, "room"), (4, "promote")]
RUNS = {
    "no_fence": [{"faults": CUT_OFF, "seeds": range(20)}],
    "final_goes_when_due": [{"faults": CUT_OFF, "seeds": range(60)}],
    "confirmed_unwritten": [{"faults": FULL, "seeds": range(20)}],
    "window_forgotten": [{"faults": LATE, "seeds": range(20)}],
    "doubt_forgotten": [{"silent": "alone", "seeds": range(60)}],
    "weaker_at_once": [{**MODES["made weaker"], "faults": WEAKER, "seeds": range(20)}],
    "sure_too_soon": [
        {**MODES["made stricter"], "faults": stricter(5.2 + k * 0.0005), "seeds": range(2)} for k in range(30)
    ],
    **{
        name: [{"takeover": "lease", "seeds": range(100)}]
        for name in ("early_lease", "lease_by_answer", "grant_forgotten", "lease_forgotten")
    },
}


@pytest.mark.parametrize("name", plants.ALL)
def test_a_planted_bug_is_found(name):
    for run in RUNS.get(name, [{"seeds": range(120)}]):
        told = {key: value for key, value in run.items() if key != "seeds"}
        for seed in run["seeds"]:
            with plants.ALL[name]():
                broken, _ = judge(play(seed, **told))
            if broken:
                assert not judge(play(seed, **told))[0], "it is found without the bug as well"
                return
    raise AssertionError("not found")
