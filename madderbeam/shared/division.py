"""Divides an amount by need and weight: no share can grow except at the cost of one with less per weight.

Water-filling, that is weighted max-min fairness (Bertsekas and Gallager, Data Networks, 1987, section 6.5.2):
each gets what it needs, or the common level times its weight. What nobody needs is distributed by weight, for
needs that come up.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

K = TypeVar("K")
ROUNDING_ERROR = 1e-9  # rounding error of a sum of shares


@dataclass(frozen=True)
class Claim:
    """A claim: `floor` is granted in any case; `need` and the weight of a unit are reported by the member."""

    floor: float
    need: float
    weight: float = 1.0


def divide(total: float, claims: Mapping[K, Claim]) -> dict[K, float]:
    """The share of each claim. They add up to `total`, or to the floors if those exceed it."""
    spare = total - sum(claim.floor for claim in claims.values())
    needs_above_floor = {key: max(0.0, claim.need - claim.floor) for key, claim in claims.items()}
    if not claims or spare <= 0:
        return {key: claim.floor for key, claim in claims.items()}
    level = _level(total, claims)
    parts = {
        key: claim.floor + min(needs_above_floor[key], max(0.0, level * claim.weight - claim.floor))
        for key, claim in claims.items()
    }
    unneeded, weights = max(0.0, total - sum(parts.values())), sum(claim.weight for claim in claims.values())
    if not weights:
        return {key: part + unneeded / len(parts) for key, part in parts.items()}
    return {key: part + unneeded * claims[key].weight / weights for key, part in parts.items()}


def rounded(parts: Mapping[K, float]) -> dict[K, float]:
    """The shares as whole numbers with the same sum.

    They are rounded down, and the remaining units go to those that lost most.
    """
    whole_parts = {key: float(math.floor(part + ROUNDING_ERROR)) for key, part in parts.items()}
    remaining = math.floor(sum(parts.values()) - sum(whole_parts.values()) + ROUNDING_ERROR)
    for key in sorted(parts, key=lambda key: whole_parts[key] - parts[key])[:remaining]:
        whole_parts[key] += 1.0
    return whole_parts


def _level(total: float, claims: Mapping[K, Claim]) -> float:
    """The highest level at which no more than the total is distributed; infinite if all needs are met.

    The sum grows linearly between the levels at which a share starts or stops to grow.
    """
    steps: list[tuple[float, float]] = []
    distributed = 0.0
    for claim in claims.values():
        distributed += claim.floor
        if claim.need > claim.floor and claim.weight > 0:
            steps += [(claim.floor / claim.weight, claim.weight), (claim.need / claim.weight, -claim.weight)]
    level, slope = 0.0, 0.0
    for step_level, change in sorted(steps):
        if slope > 0 and distributed + slope * (step_level - level) >= total:
            return level + (total - distributed) / slope
        distributed += slope * (step_level - level)
        level, slope = step_level, max(0.0, slope + change)
    return float("inf") if steps else 0.0


def damped(now: float, wanted: float, part_most: float, min_change: float) -> float:
    """The next share on the way to the wanted one.

    It does not move for a small change, rises at once (what is not free yet is not granted anyway) and falls
    in steps, so that a need which comes and goes does not disturb all others.
    """
    change = wanted - now
    if abs(change) <= min_change * max(now, wanted):
        return now
    return wanted if change > 0 else now + part_most * change
