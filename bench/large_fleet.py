"""The large fleets' hard cases over many seeds: what was delivered, and at the price of how many calls.

    python bench/large_fleet.py [SEEDS] [--full]

Forty couriers, or two hundred with --full. Ratios hold within one run: `served` and `calls` are against the
same fleet with no fault; connections, lists and probes are summed over the fleet.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from madderbeam.simulation.fleet import CASES, FLEET, FULL_CASES
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.runs import play
from madderbeam.simulation.script import Script

CALM = "no fault"


SMALL_CASES = {CALM: FLEET, **{name: replace(FLEET, faults=faults) for name, faults in CASES.items()}}


def one(script: Script) -> Report:
    return play(script, audited=False)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int, nargs="?", default=8)
    parser.add_argument("--full", action="store_true")
    args = parser.parse_args()
    broken = 0
    cases = FULL_CASES if args.full else SMALL_CASES
    with ProcessPoolExecutor() as pool:
        runs = {
            case: [pool.submit(one, replace(script, seed=seed)) for seed in range(args.seeds)]
            for case, script in cases.items()
        }
        base: tuple[int, int] = (1, 1)
        for case, futures in runs.items():
            reports = [f.result() for f in futures]

            def total(name: str, reports: list[Report] = reports) -> int:
                return sum(getattr(r, name) for r in reports)

            delivered, calls = total("delivered"), total("calls")
            base = (delivered, calls) if case == CALM else base
            broken += sum(r.violation is not None for r in reports)
            worth = [r.quality.worth for r in reports if r.quality]
            dials, failed = total("dials") / delivered, total("failed_dials") / delivered
            print(
                f"{case.ljust(78)} served {delivered / base[0]:.2f}  "
                f"worth {sum(worth) / len(reports):.3f}  calls {calls / base[1]:.2f}  "
                f"for each delivered: {calls / delivered:.2f} calls, {dials:.2f} connections, "
                f"{failed:.2f} failed  lists {total('lists')}  probes {total('probes')}  "
                f"refused {total('refused') / total('messages'):.2f}",
                flush=True,
            )
            for r in reports:
                if r.violation:
                    print("  ", r.line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
