"""Each planted bug is found by its noted seed or the first 300, under the name of a rule that it breaks.

`python tests/simulation/test_planted.py [NAME...]` prints those whose noted seed does not find them any more:
to look for another takes minutes of a run of all tests.
"""

import multiprocessing
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from planted import BUGS

from madderbeam.simulation.checker import Violation
from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Script

FIRST = 300


@dataclass(frozen=True)
class Found:
    """By which seed a bug was found, as what, and what that seed breaks without it."""

    seed: int
    violation: Violation | None
    without: Violation | None


def saved(name):
    return Script.parse((Path(__file__).parent / "scripts" / f"{name}.json").read_text())


def look_for(name):
    """Plant a bug in this process, play seeds until one finds it, and take it out again."""
    bug = BUGS[name]
    with pytest.MonkeyPatch.context() as patch:
        bug.plant(patch)
        for script in [saved(bug.script)] if bug.script else map(draw, [bug.seed, *range(FIRST)]):
            violation = play(script).violation
            if violation is not None and violation.rule in bug.rules:
                break
    return name, Found(script.seed, violation, play(script).violation)


@pytest.mark.parametrize("name", sorted(BUGS))
def test_a_planted_bug_is_found(name):
    _, f = look_for(name)
    assert f.violation, f"not found by the first {FIRST} seeds: the world or the checker lacks something"
    assert f.violation.rule in BUGS[name].rules, f"seed {f.seed}: rule {f.violation.rule}: {f.violation.text}"
    assert f.without is None


if __name__ == "__main__":
    with multiprocessing.get_context("fork").Pool(maxtasksperchild=1) as pool:
        for name, f in pool.imap_unordered(look_for, sys.argv[1:] or sorted(BUGS), 1):
            bug = BUGS[name]
            known = bug.script or f.seed == bug.seed
            if not known or f.violation is None or f.violation.rule not in bug.rules:
                print(f"{name}: {f}")
