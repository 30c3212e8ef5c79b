"""Two hundred couriers at about twenty endpoints: the hard cases by name, counted over the whole fleet.

What each does is harmless alone; what is asserted here is the sum. More seeds: bench/large_fleet.py --full.
"""

from dataclasses import replace
from functools import cache

import pytest

from madderbeam.simulation.fleet import FULL, FULL_CASES, MANY
from madderbeam.simulation.runs import play

RESTARTED = {
    "all start in one second with an old list": 1,
    "a tenth at a time is killed while endpoints are replaced and discovery moves": 2,
}


@cache
def played(name):
    return play(replace(FULL_CASES[name], seed=1), audited=False)


@pytest.mark.parametrize("name", FULL_CASES)
def test_no_rule_is_broken_and_the_fleet_asks_little(name):
    r = played(name)
    assert r.violation is None, r.line
    assert r.delivered > 0.5 * played("no fault").delivered
    assert r.lists <= MANY * (1 + RESTARTED.get(name, 0)) + MANY // 10
    assert r.probes <= 0.05 * r.delivered
    assert r.dials <= 2.3 * r.delivered


def test_a_busy_courier_is_served_as_the_others_are():
    assert played("a courier that gets five times the mean").delivered > 0.95 * played("no fault").delivered


def test_full_tables_cost_a_fleet_less_than_one_failed_connect_a_message():
    r = played("endpoints that hold four connections")
    assert r.failed_dials < 0.9 * r.delivered and r.quality.worth > 0.85


def test_a_returning_destination_is_not_pushed_over_and_is_served_again():
    r = played("all find one destination back cold")
    assert r.violation is None and r.quality.recovery_ms is not None and r.quality.recovery_ms < 1500


def test_two_hundred_may_be_uneven():
    assert FULL.couriers == 200 and FULL.uneven == 3.0
