"""Two checkouts of the courier on the same days: how well each serves, paired by seed.

The other one's courier (decisions, host, transport, journal) runs in this checkout's world, so that both are
played the same scripts by the same stand-ins and judged alike. scipy is of the extra `lab`.
"""

from __future__ import annotations

import io
import json
import os
import shutil
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from madderbeam.simulation.campaign import campaign

PACKAGE = Path(__file__).parent.parent
WORLD = "simulation"
SURE = 0.95  # of the interval that is told


class CompareError(ValueError):
    """The other checkout can't be played; one line."""


@dataclass(frozen=True)
class Row:
    """One measure over all seeds that both played: means, and their difference with its interval."""

    name: str
    here: float
    there: float
    difference: float
    low: float
    high: float
    seeds: int

    @property
    def differs(self) -> bool:
        """The interval leaves no difference out."""
        return self.low > 0 or self.high < 0


def measures(quality: dict[str, Any]) -> dict[str, float]:
    """A run's quality as plain numbers by name; what it does not have is left out."""
    found = {k: v for k, v in quality.items() if isinstance(v, (int, float))}
    return found | {f"worth {name}": share for name, share in quality["by_class"].items()}


def rows_of(seeds: range, jobs: int) -> Iterator[dict[str, Any]]:
    """One row a seed: its quality, or the rule that it breaks."""
    for report in campaign(seeds, jobs, audited=False):
        yield {
            "seed": report.seed,
            "broken": report.line,
            "quality": asdict(report.quality) if report.quality else None,
        }


@contextmanager
def other(revision: str) -> Iterator[Path]:
    """A folder with the revision's courier in this checkout's world. CompareError if git does not know it."""
    root = PACKAGE.parent
    done = subprocess.run(["git", "archive", revision, PACKAGE.name], cwd=root, capture_output=True)
    if done.returncode:
        raise CompareError(f"compare: {done.stderr.decode().strip().splitlines()[0]}")
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
            archive.extractall(folder, filter="data")
        package = Path(folder) / PACKAGE.name
        shutil.rmtree(package / WORLD, ignore_errors=True)
        shutil.copytree(PACKAGE / WORLD, package / WORLD, ignore=shutil.ignore_patterns("__pycache__"))
        yield Path(folder)


def there(revision: str, seeds: range, jobs: int) -> dict[int, dict[str, Any]]:
    """The other checkout's rows, by seed."""
    with other(revision) as folder:
        command = [
            sys.executable,
            "-m",
            "madderbeam.simulation.compare",
            str(seeds.start),
            str(seeds.stop),
            str(jobs),
        ]
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, env={**os.environ, "PYTHONPATH": str(folder)}
        )
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["it said nothing"])[-1]
        raise CompareError(f"compare: {revision} can't be played in this world: {last}")
    return {row["seed"]: row for row in map(json.loads, done.stdout.splitlines())}


def compared(here: dict[int, dict[str, Any]], theirs: dict[int, dict[str, Any]]) -> list[Row]:
    """Differences (here less there) over the seeds at which neither breaks a rule: Student's t on pairs."""
    from scipy import stats

    pairs: dict[str, list[tuple[float, float]]] = {}
    for seed, row in sorted(here.items()):
        if row["quality"] and (match := theirs.get(seed)) and match["quality"]:
            mine, its = measures(row["quality"]), measures(match["quality"])
            for name in mine.keys() & its.keys():
                pairs.setdefault(name, []).append((mine[name], its[name]))
    rows = []
    for name, found in sorted(pairs.items()):
        a, b = [x for x, _ in found], [y for _, y in found]
        mean = (sum(a) / len(a), sum(b) / len(b))
        low = high = mean[0] - mean[1]
        if len(found) > 1 and any(x != y for x, y in found):
            low, high = stats.ttest_rel(a, b).confidence_interval(SURE)
        rows.append(Row(name, *mean, mean[0] - mean[1], float(low), float(high), len(found)))
    return rows


def table(rows: list[Row]) -> str:
    """A line a measure; a star where the interval leaves no difference out."""
    lines = [
        "measure".ljust(24)
        + "here".rjust(10)
        + "there".rjust(10)
        + "difference".rjust(12)
        + f"{SURE:.0%} interval".rjust(24)
        + "seeds".rjust(7)
    ]
    for r in rows:
        span = f"{r.low:+.4f} to {r.high:+.4f}"
        lines.append(
            r.name.ljust(24)
            + f"{r.here:.4f}".rjust(10)
            + f"{r.there:.4f}".rjust(10)
            + f"{r.difference:+.4f}".rjust(12)
            + span.rjust(24)
            + str(r.seeds).rjust(7)
            + (" *" if r.differs else "")
        )
    return "\n".join(lines)


def main(first: str, end: str, jobs: str) -> None:
    """Rows as JSON lines, for the checkout that asks."""
    for row in rows_of(range(int(first), int(end)), int(jobs)):
        print(json.dumps(row))


if __name__ == "__main__":
    main(*sys.argv[1:])
