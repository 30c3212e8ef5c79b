"""Random schedules over the real state machines, journal and copy; they must find each seeded fault."""

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
# The primary restarts with weaker settings while cut off; the standby is promoted; the network heals.
WEAKER = [(3, "kill a"), (3, "cut"), (3.2, "start a"), (5.5, "promote"), (9, "heal")]


def stricter(at):
    """The primary, alone before, restarts in strict mode and is killed while the copy catches up."""
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
    seen_events = set()
    for seed in range(40):
        world = play(seed, **MODES[mode])
        broken, _ = judge(world)
        assert not broken, (seed, broken[:3], dict(world.seen_events))
        seen_events |= set(world.seen_events)
    assert {"released", "fenced", "a died", "b died", "pause amid", "standby's disk"} <= seen_events
    if mode != "a lease":
        assert any(name.startswith("took over") for name in seen_events)


# The network fails for half a second again and again: acknowledgements are late.
LATE = [(t / 2 + 0.37, ("cut", "heal")[t % 2]) for t in range(3, 22)]
CUT_OFF = [(3, "cut"), (3.2, "promote"), (9, "heal")]  # the primary keeps running while it is taken over
FULL = [(3, "full"), (3.6, "kill a"), (3.7, "room"), (4, "promote")]
RUNS = {
    "missing_fence": [{"faults": CUT_OFF, "seeds": range(20)}],
    "overdue_outcome_proceeds": [{"faults": CUT_OFF, "seeds": range(60)}],
    "unwritten_data_acknowledged": [{"faults": FULL, "seeds": range(20)}],
    "key_window_ignored": [{"faults": LATE, "seeds": range(20)}],
    "takeover_ignores_missing_records": [{"silent": "alone", "seeds": range(60)}],
    "weaker_setting_applied_early": [{**MODES["made weaker"], "faults": WEAKER, "seeds": range(20)}],
    "all_records_assumed_early": [
        {**MODES["made stricter"], "faults": stricter(5.2 + k * 0.0005), "seeds": range(2)} for k in range(30)
    ],
    **{
        name: [{"takeover": "lease", "seeds": range(100)}]
        for name in (
            "standby_lease_too_short",
            "lease_counted_from_reply",
            "grant_not_recorded",
            "lease_never_expires",
        )
    },
}


@pytest.mark.parametrize("name", plants.ALL)
def test_each_seeded_fault_is_found(name):
    for run in RUNS.get(name, [{"seeds": range(120)}]):
        options = {key: value for key, value in run.items() if key != "seeds"}
        for seed in run["seeds"]:
            with plants.ALL[name]():
                broken, _ = judge(play(seed, **options))
            if broken:
                assert not judge(play(seed, **options))[0], "the rules are broken without the fault as well"
                return
    raise AssertionError("not found")
