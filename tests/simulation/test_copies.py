"""Second copies of answers in drawn days: no rule is broken, and a courier that trusts them is found."""

from dataclasses import replace

import pytest

from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Fault, Script
from madderbeam.transport.response_content import Origin
from madderbeam.transport.response_ledger import ResponseLedger

ONCE_BROKEN = (92087, 92150, 92209, 92945, 92962, 92999)  # as copies that nothing tells apart were believed
SEEDS = (*range(91000, 91024), *ONCE_BROKEN)
LASTS_MS, VALUE = 15_000, 0.8  # of all endpoints, half of the answers


def with_copies(seed: int, kind: str = "equal_copies") -> Script:
    """The day of this seed, with copies throughout."""
    script = draw(seed)
    return replace(script, faults=(*script.faults, Fault(kind, 0, LASTS_MS, 0, VALUE)))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_day_with_copies_of_answers_that_differ_breaks_no_rule(seed):
    report = play(with_copies(seed, "copies"))
    assert report.violation is None, report.line


@pytest.mark.parametrize("seed", SEEDS)
def test_a_day_with_copies_of_answers_breaks_no_rule(seed):
    report = play(with_copies(seed))
    assert report.violation is None, report.line


def test_a_courier_that_trusts_each_response_is_found(monkeypatch):
    monkeypatch.setattr(ResponseLedger, "doubts_success", lambda *_: False)
    monkeypatch.setattr(ResponseLedger, "has_rested", lambda *_: True)
    monkeypatch.setattr(ResponseLedger, "has_rested_from_completions", lambda *_: True)
    monkeypatch.setattr(ResponseLedger, "origin", lambda *_: Origin.OWN)
    found = {report.violation.rule for report in map(play, map(with_copies, SEEDS)) if report.violation}
    assert found & {"lost", "refusal", "repeat", "overlap"}
