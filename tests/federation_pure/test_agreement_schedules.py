"""Random schedules: two hundred seeds of agreement_schedules."""

from __future__ import annotations

import pytest
from agreement_schedules import play

PART_COUNT, SEEDS_EACH = 8, 25


@pytest.mark.parametrize("part", range(PART_COUNT))
def test_schedules_settle(part):
    agreed = sum(len(play(seed).agreed) - 1 for seed in range(part * SEEDS_EACH, (part + 1) * SEEDS_EACH))
    assert agreed >= SEEDS_EACH
