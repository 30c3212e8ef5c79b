"""F1 and F3 over random schedules; `python test_schedules.py FROM TO` plays more seeds."""

from __future__ import annotations

import sys

import pytest
from switch_schedules import InvariantViolated, play

SEEDS, BLOCK = 64, 8


@pytest.mark.parametrize("first", range(0, SEEDS, BLOCK))
def test_random_schedules(first):
    for seed in range(first, first + BLOCK):
        try:
            assert play(seed).log, "no call was made"
        except InvariantViolated as error:
            pytest.fail(f"seed {seed}: {str(error)[:400]}")


if __name__ == "__main__":
    for drawn in range(int(sys.argv[1]), int(sys.argv[2])):
        try:
            play(drawn)
        except InvariantViolated as error:
            print(drawn, str(error)[:400], flush=True)
        if drawn % 100 == 99:
            print(f"up to {drawn}", flush=True)
