"""Quality of a run, and two checkouts compared on the same days."""

import subprocess
from dataclasses import replace

import pytest

from madderbeam.cli import main
from madderbeam.policy.settings import MessageClass
from madderbeam.simulation import compare
from madderbeam.simulation.quality import worth
from madderbeam.simulation.runs import play
from madderbeam.simulation.script import Fault, Script

CALM = Script(seed=3, couriers=1, dests=3, rate_per_s=20.0, seconds=4.0, service_ms=10.0, tight=8.0)


def test_worth_falls_from_the_wanted_time_to_the_deadline():
    cls = MessageClass("x", latency_objective_us=1_000, deadline_us=3_000, late_value_share=0.4)
    assert [worth(cls, age) for age in (0, 1_000, 2_000, 2_999, 3_000)] == pytest.approx(
        [1, 1, 0.7, 0.4, 0], abs=1e-3
    )


def test_a_calm_day_is_served_and_an_outage_costs_and_takes_time_to_recover_from():
    calm = play(CALM).quality
    assert calm.worth > 0.99 and calm.delivered == 1 and calm.attempts == 1 and calm.recovery_ms is None
    struck = play(replace(CALM, faults=(Fault("down", 500, 3300, 0),))).quality
    assert struck.worth < 0.9 and struck.attempts > 1 and struck.recovery_ms > 0
    assert set(struck.by_class) == {"status-notice", "room-order", "deposit-payment", "seat-plan"}


def rows(**shares):
    return {
        seed: {"seed": seed, "broken": "", "quality": {"worth": share, "by_class": {}}}
        for seed, share in enumerate(shares["worth"])
    }


def test_a_difference_is_told_with_its_interval_and_only_where_both_kept_the_rules():
    pytest.importorskip("scipy")
    here, theirs = rows(worth=[0.9, 0.8, 0.95, 0.85]), rows(worth=[0.8, 0.71, 0.84, 0.76])
    theirs[9] = {"seed": 9, "broken": "rule lost", "quality": None}
    row = compare.compared(here, theirs)[0]
    assert row.seeds == 4 and row.difference == pytest.approx(0.0975) and row.low > 0.07 and row.differs
    same = compare.compared(here, here)[0]
    assert same.difference == same.low == same.high == 0 and not same.differs
    assert "*" in compare.table([row]) and "*" not in compare.table([same])


def test_the_other_checkouts_courier_is_played_in_this_world(tmp_path):
    pytest.importorskip("scipy")
    root = compare.PACKAGE.parent
    if subprocess.run(["git", "rev-parse", "HEAD"], cwd=root, capture_output=True).returncode:
        pytest.skip("no checkout of git")
    with compare.other("HEAD") as folder:
        assert (folder / "madderbeam" / "simulation" / "compare.py").read_text() == (
            compare.PACKAGE / "simulation" / "compare.py"
        ).read_text()
    found = compare.there("HEAD", range(3), 1)
    assert sorted(found) == [0, 1, 2] and all(0 < r["quality"]["worth"] <= 1 for r in found.values())


def test_what_git_does_not_know_and_what_does_not_go_together_are_told(capsys):
    assert main(["simulate", "--seeds", "0:2", "--compare", "no-such-revision"]) == 2
    assert "compare:" in capsys.readouterr().err
    assert main(["simulate", "--seed", "1", "--compare", "HEAD"]) == 2
    assert "--compare goes with --seeds" in capsys.readouterr().err
