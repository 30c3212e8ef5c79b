"""The checker's count of calls to a cold destination, as the operators' page has it."""

import math
from types import SimpleNamespace

import pytest

from madderbeam.simulation.checker import Call, Life
from madderbeam.simulation.runs import staged
from madderbeam.simulation.script import Script

FROM = 20_000_000


def bears(s, rate, at):
    """Calls that a destination bears in the stated time up to `at`, as the settings allow it."""
    since = max(FROM, at - s.overload_window_us, FROM if at - FROM < s.overload_window_us else 0)
    middle = (since + max(at, FROM + s.overload_window_us)) / 2 - FROM
    return (
        s.overload_multiple
        * rate
        * (s.cold_capacity_share + (1 - s.cold_capacity_share) * middle / s.warm_up_us)
        * s.overload_window_us
        / 1e6
    )


def fallen(told, untold, count=0):
    """The rule that is broken as so many calls come at once, or as many as stated beyond what it bears."""
    world = staged(Script(seed=1, couriers=2))
    found = []
    world.checker._broken = found.append
    dest = world.dests[0]
    dest.cold_from, world.scheduler.now_us = FROM, FROM + 1_000_000
    lives = [Life("n0", 1), Life("n1", 1)]
    dest.saw.add(("n0", 1))
    for n in range(told + untold):
        call = Call(lives[n >= told], dest.endpoints[0], SimpleNamespace(), "/events", 0, 0)
        world.checker.arrived(call)
    return [v.rule for v in found], dest.cold_from


def test_it_falls_above_what_it_bears_and_twice_the_root_and_two():
    world = staged(Script(seed=1, couriers=2))
    n = bears(world.settings, world.dests[0].rate, FROM + 1_000_000)
    most = math.floor(n + 2 * math.sqrt(n) + 2)
    assert most < n + 3 * math.sqrt(n) + 3  # less than was allowed for chance before
    assert fallen(most, 0) == ([], FROM)
    assert fallen(most + 1, 0) == (["pushed"], -1)


@pytest.mark.parametrize("part, rule", [(0.66, []), (0.68, ["pushed"])])
def test_the_first_fall_counts_and_over_two_thirds_must_come_from_couriers_that_were_told(part, rule):
    world = staged(Script(seed=1, couriers=2))
    n = bears(world.settings, world.dests[0].rate, FROM + 1_000_000)
    fall = math.floor(n + 2 * math.sqrt(n) + 2) + 1
    told = round(part * fall)
    assert fallen(told, fall - told)[0] == rule
    more = fallen(told, 3 * fall - told)  # it has fallen and stays down: later calls break nothing
    assert more == (rule, -1)
