"""The large fleet's hard cases over many seeds: what was delivered, and at the price of how many calls.

    python bench/large_fleet.py [SEEDS]

Ratios hold within one run: `served` and `calls` are against the same fleet with no fault.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from madderbeam.simulation.fleet import CASES, FLEET
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.runs import play

CALM = "no fault"


def one(case: str, seed: int) -> Report:
    return play(replace(FLEET, seed=seed, faults=CASES.get(case, ())), audited=False)


def main() -> int:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 8)
    broken = 0
    with ProcessPoolExecutor() as pool:
        runs = {case: [pool.submit(one, case, seed) for seed in seeds] for case in (CALM, *CASES)}
        base: tuple[int, int] = (1, 1)
        for case, futures in runs.items():
            reports = [f.result() for f in futures]
            delivered, calls = sum(r.delivered for r in reports), sum(r.calls for r in reports)
            base = (delivered, calls) if case == CALM else base
            broken += sum(r.violation is not None for r in reports)
            print(f"{case.ljust(58)} served {delivered / base[0]:.2f}  calls {calls / base[1]:.2f}  "
                  f"calls for each delivered {calls / max(1, delivered):.2f}  "
                  f"refused {sum(r.refused for r in reports) / sum(r.messages for r in reports):.2f}")
            for r in reports:
                if r.violation:
                    print("  ", r.line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
