"""Claims of the design that only a set of runs shows; each test breaks one and sees it told."""

import pytest

from madderbeam.policy import connection_reuse, rate_pacing, retries
from madderbeam.simulation import claims


def test_the_courier_keeps_them():
    assert claims.judged() == []


def base(state):
    return state.settings.backoff_base_us


@pytest.mark.parametrize(
    ("backoff", "told"),
    [
        (lambda state, attempt: 0, ["backoff: first waits are"]),
        (lambda state, attempt: int(state.random.uniform(0, base(state))), ["backoff: waits do not grow"]),
        (lambda state, attempt: base(state) // 2 * 2**attempt, ["jitter: first waits"]),
    ],
)
def test_a_backoff_that_is_none_does_not_grow_or_does_not_vary_is_told(monkeypatch, backoff, told):
    for module in (connection_reuse, rate_pacing, retries):
        monkeypatch.setattr(module, "backoff_us", backoff)
    lines = claims.judged()
    assert [line[: len(t)] for line, t in zip(lines, told, strict=True)] == told


def test_a_rule_that_a_calm_day_breaks_is_told(monkeypatch):
    from madderbeam.host.completions import Completions

    monkeypatch.setattr(Completions, "notify", lambda self, m: None)
    assert claims.judged()[0].startswith("rule books is broken on a calm day")
