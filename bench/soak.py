"""Couriers of real processes under clients, faulty partners, signals and kills, by seed; judged from outside.

    python bench/soak.py --seeds 0:50 [--jobs 4] [--minutes 20] [--json FILE] [--keep FOLDER] [--plant NAME]

A line a seed; a seed with violations keeps its folder, with the courier's log and the order of events. A run
is void if the judge's own event loop was late. Exit status 1 if any seed has violations.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "soaking")]
from soak_plants import PLANTS  # noqa: E402
from soak_run import Outcome, play  # noqa: E402


def run(seed: int, folder: Path, plant: str) -> Outcome:
    """Play one seed; its folder stays if it has violations."""
    shutil.rmtree(folder, ignore_errors=True)
    outcome = play(seed, folder, plant)
    if not outcome.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return outcome


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="0:50", help="the seeds from A to under B (0:50)")
    parser.add_argument("--jobs", type=int, default=4, help="runs side by side (4)")
    parser.add_argument("--minutes", type=float, default=60, help="begin no further run after this (60)")
    parser.add_argument("--json", type=Path, help="write all outcomes here")
    parser.add_argument("--keep", type=Path, default=Path("found/soak"), help="folder of failing seeds")
    parser.add_argument("--plant", choices=sorted(PLANTS), default="", help="a fault in the courier")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    began, outcomes = time.monotonic(), []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        seeds = iter(range(first, last))
        running = set()

        def begin() -> None:
            if time.monotonic() - began < arguments.minutes * 60 and (seed := next(seeds, None)) is not None:
                running.add(
                    pool.submit(run, seed, arguments.keep / f"{arguments.plant}{seed}", arguments.plant)
                )

        for _ in range(arguments.jobs):
            begin()
        while running:
            done = next(as_completed(running))
            running.discard(done)
            outcomes.append(done.result())
            print(outcomes[-1].line(), flush=True)
            begin()
    failed = sorted(outcome.seed for outcome in outcomes if outcome.violations and not outcome.is_void)
    void = sorted(outcome.seed for outcome in outcomes if outcome.is_void)
    print(
        f"{len(outcomes)} seeds in {time.monotonic() - began:.0f} s; with violations: {failed}; void: {void}"
    )
    if arguments.json:
        arguments.json.write_text(json.dumps([asdict(outcome) for outcome in outcomes], indent=1))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
