"""Model checking of the agreement to a depth that takes seconds; bench/agreement_model.py goes deeper."""

from __future__ import annotations

import pytest
import test_agreement_bugs as faults
from agreement_model import InvariantViolated, beginnings, explore_all

# crashes, duplicated frames, timer firings; depth; smallest number of states
RUNS = {
    "from nothing": ((1, 1, 2), 4, 2_000),
    "from each step": ((1, 1, 1), 2, 3_000),
    "from each step, its frames lost": ((0, 0, 1), 5, 3_000),
}


@pytest.mark.parametrize("name", RUNS)
def test_every_order_to_a_depth(name):
    budget, depth, min_states = RUNS[name]
    visited = explore_all(beginnings(*budget)[name], depth)
    print(f"{name}: {visited}")
    assert visited.depth == depth and visited.states >= min_states, visited
    assert visited.agreed or name == "from nothing", visited


@pytest.mark.parametrize(
    "seed_fault",
    [
        faults.accepted_votes_not_adopted,
        faults.claim_not_adopted,
        faults.half_is_a_majority,
        faults.rejected_before_it_is_decided,
        faults.agreed_before_it_is_decided,
    ],
)
def test_a_seeded_fault_is_found(seed_fault, monkeypatch):
    initial_states = beginnings(0, 0, 1)["from each step, its frames lost"]
    seed_fault(monkeypatch)
    with pytest.raises(InvariantViolated):
        explore_all(initial_states, 5)
