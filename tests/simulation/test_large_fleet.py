"""Forty couriers, none of which knows of another: the hard cases by name, each under several seeds."""

from dataclasses import replace
from pathlib import Path

import pytest

from madderbeam.simulation.runs import play
from madderbeam.simulation.script import Fault, Script

COURIERS, DESTS, SECONDS = 40, 20, 5.0
FLEET = Script(seed=1, couriers=COURIERS, dests=DESTS, rate_per_s=200.0, seconds=SECONDS, disk_mb=0.3,
               tight=1.3, service_ms=60.0)
HALF = range(DESTS // 2)


def each(kind, targets, at_ms, for_ms, value=0.5):
    return tuple(Fault(kind, at_ms, for_ms, target, value) for target in targets)


CASES = {
    "all killed in the same instant": each("kill", range(COURIERS), 2000, 0),
    "back together, with discovery silent for 6 s":
        each("kill", range(COURIERS), 1500, 0) + each("silent_list", range(COURIERS), 1400, 6000),
    "all told the same wait, once and again at its end": each("full", range(DESTS), 1000, 2000, 0.9),
    "half of the destinations down, and back cold": each("down", HALF, 1000, 2500),
    "half of the destinations hang, and come back cold": each("hung", HALF, 1000, 2500),
    "half of the destinations shut": each("shut", HALF, 1000, 2500),
    "few connections at each endpoint": each("tables", range(DESTS), 0, 9000, 0.9),
    "endpoints drained and replaced while most are killed":
        each("kill", range(COURIERS * 3 // 4), 2000, 0) + (Fault("mass_drain", 1500, 3000, 0, 0.5),),
    "last endpoints replaced amid an outage":
        each("down", HALF, 1000, 2000) + tuple(Fault("drain", 1200, 1500, n, 0.5) for n in range(2 * DESTS)),
}


@pytest.mark.parametrize("name", CASES)
def test_no_rule_is_broken(name):
    for seed in range(2):
        report = play(replace(FLEET, seed=seed, faults=CASES[name]), audited=False)
        assert report.violation is None, report.line
        assert report.delivered > 200


def test_a_fleet_that_was_killed_serves_as_before_within_its_restart():
    calm = play(FLEET, audited=False)
    killed = play(replace(FLEET, faults=CASES["all killed in the same instant"]), audited=False)
    assert calm.violation is None and killed.violation is None
    assert killed.delivered > 0.7 * calm.delivered
    assert killed.calls < 1.3 * calm.calls  # nothing is called twice for it but what may have run


def test_a_cold_destination_bears_what_a_fleet_of_more_couriers_than_slots_sends():
    # Its slow start went by what came in and by time at once: together up to twice what it bears.
    text = (Path(__file__).parent / "scripts" / "large_fleet_at_a_cold_destination.json").read_text()
    report = play(Script.parse(text))
    assert report.violation is None, report.line
    assert report.delivered > 100
