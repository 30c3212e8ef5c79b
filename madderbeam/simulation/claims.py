"""The design's claims that no single step shows: judged over a set of runs, only from what crossed the wires.

Claims of DESIGN ("Seen from outside"): the pause between an outcome and the next try of a message grows from
try to try, and waits vary by chance. On calm days with a share of errors nothing but the wait stands between
two tries, so that the pauses are the waits.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from madderbeam.simulation.runs import staged
from madderbeam.simulation.script import Fault, Script

RUNS = 6
GROWS = 1.4  # the second wait is this much longer on average at least; full jitter doubles it
VARIES = 0.3  # deviation of the first waits over their mean, at least; full jitter has 0.58
LONGEST = 2.0  # ceilings over which a pause is no wait alone


def scripts() -> list[Script]:
    """Calm days on which a third of the calls fails."""
    return [
        Script(
            seed=n,
            couriers=1,
            dests=4,
            rate_per_s=25.0,
            seconds=10.0,
            service_ms=10.0,
            tight=20.0,
            faults=(Fault("errors", 0, 12_000, 0, 0.52),),
        )
        for n in range(RUNS)
    ]


def broken(found: Iterable[tuple[int, int]], base_us: int) -> list[str]:
    """The claims that these pauses break, a line each. A pause: of a further attempt its number, from 1 on,
    and microseconds since the outcome before it; `base_us`: the design's first ceiling."""
    first: list[int] = []
    second: list[int] = []
    for number, pause in found:
        if number < 3 and pause <= LONGEST * base_us * 2 ** (number - 1):
            (first if number == 1 else second).append(pause)
    if len(first) < 50 or len(second) < 10:
        return [f"backoff: {len(first)} first and {len(second)} second waits are too few to judge"]
    lines = []
    if statistics.mean(second) < GROWS * statistics.mean(first):
        lines.append(
            f"backoff: waits do not grow, {statistics.mean(first):.0f} us on average, then "
            f"{statistics.mean(second):.0f}"
        )
    if statistics.pstdev(first) < VARIES * statistics.mean(first):
        lines.append(
            f"jitter: first waits of {statistics.mean(first):.0f} us vary by "
            f"{statistics.pstdev(first):.0f} us"
        )
    if statistics.mean(first) < base_us / 5:
        lines.append(f"backoff: first waits are {statistics.mean(first):.0f} us on average")
    return lines


def judged() -> list[str]:
    """The claims that the courier as it runs breaks; empty if it keeps them."""
    found: list[tuple[int, int]] = []
    base_us = 0
    for script in scripts():
        world = staged(script)
        if violation := world.play().violation:
            return [f"rule {violation.rule} is broken on a calm day: {violation.text}"]
        found += world.checker.pauses
        base_us = world.settings.backoff_base_us
    return broken(found, base_us)
