"""Counts what a whole fleet did, from the logs of couriers that ran with MADDERBEAM_TRACE=1.

    python bench/fleet.py LOGS [--by second|dest|both] [--every SECONDS] [--dest N]

One row for each span of time, destination, or both: messages arrived (and how many of them again), calls,
attempts by outcome, told waits, refusals by whether an attempt was made before, and time from arrival to the
first attempt.
"""

from __future__ import annotations

import argparse
import re
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median

LINE = re.compile(r"^(?:\d+\.\d+ )?trace (\d+) (\S+) (.*)$")
OUTCOMES = ("ok", "full", "connect_failed", "timeout", "reset", "error", "moot", "cancelled")
AT_ONCE_S = 0.002  # a refusal so soon after the arrival waited for nothing
QUICK = 0.6  # refusals on new connections within this part of the quickest good answer: a full table
COLUMNS = (
    "arrived",
    "again",
    "send",
    "new",
    *OUTCOMES,
    "table",
    "told",
    "refused at once",
    "refused unsent",
    "refused tried",
    "fail",
)


def read(path: Path) -> list[tuple[float, int, str, list[str]]]:
    """(seconds, process, word, rest) of each traced line; a process is one start in this log."""
    found = []
    process = 0
    for line in path.read_text(errors="replace").splitlines():
        if "settings Settings(" in line:
            process += 1
        elif m := LINE.match(line):
            found.append((int(m[1]) / 1e6, process, m[2], m[3].split()))
    return found


def count(paths: list[Path], start: float | None = None) -> tuple[dict, dict, dict]:
    """Counters by (second, destination), waits before the first attempt, and listed rates."""
    table: dict[tuple[int, int], Counter[str]] = defaultdict(Counter)
    waits: dict[tuple[int, int], list[float]] = defaultdict(list)
    rates: dict[int, float] = {}
    logs = [read(p) for p in paths]
    start = min(rows[0][0] for rows in logs if rows) if start is None else start
    for rows in logs:
        dest_of: dict[tuple[int, str], int] = {}
        born: dict[tuple[int, str], float] = {}
        tried: set[tuple[int, str]] = set()
        quickest = 1 << 60
        for at, process, word, rest in rows:
            second = int(at - start)
            if word == "listed":
                for entry in rest[1:]:
                    _, dest, _, rate, _ = entry.split(":")
                    rates[int(dest)] = float(rate)
                continue
            name = (process, rest[1])
            dest = int(rest[0]) if rest[0] != "-" else dest_of.get(name, -1)
            cell = table[second, dest]
            if word == "arrived":
                dest_of[name], born[name] = dest, at
                cell["arrived"] += 1
                cell["again"] += rest[3] == "1"
            elif word == "send":
                cell["send"] += 1
                if name not in tried:
                    waits[second, dest].append(at - born.get(name, at))
                tried.add(name)
            elif word == "refuse":
                at_once = at - born.get(name, at) < AT_ONCE_S
                unsent = "refused at once" if at_once else "refused unsent"
                cell["refused tried" if name in tried else unsent] += 1
            elif word == "fail":
                cell["fail"] += 1
            elif word in OUTCOMES:
                cell[word] += 1
                cell["told"] += rest[4] != "0"
                cell["new"] += rest[5] == "True"
                if word == "ok" and rest[5] == "True":
                    quickest = min(quickest, int(rest[3]))
                if word == "full" and rest[5] == "True" and int(rest[3]) < QUICK * quickest:
                    cell["table"] += 1
    return table, waits, rates


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--by", choices=("second", "dest", "both"), default="second")
    parser.add_argument("--every", type=int, default=1)
    parser.add_argument("--dest", type=int)
    args = parser.parse_args()
    table, waits, rates = count(sorted(args.logs.glob("*.log")))
    rows: dict[tuple, Counter[str]] = defaultdict(Counter)
    waited: dict[tuple, list[float]] = defaultdict(list)
    for (second, dest), cell in table.items():
        if args.dest is not None and dest != args.dest:
            continue
        span = second // args.every * args.every
        key = {"second": (span,), "dest": (dest,), "both": (dest, span)}[args.by]
        rows[key] += cell
        waited[key] += waits.get((second, dest), [])
    short = [c.replace("connect_failed", "noconn").replace("refused ", "r.")[:8] for c in COLUMNS]
    print("key".ljust(12), *(c.rjust(8) for c in [*short, "wait,ms"]))
    for key in sorted(rows):
        late = f"{median(waited[key]) * 1e3:8.0f}" if waited[key] else " " * 8
        listed = f"{rates.get(key[0], 0):g}/s" if args.by != "second" else ""
        print(f"{'.'.join(map(str, key))} {listed}".ljust(12), *(f"{rows[key][c]:8d}" for c in COLUMNS), late)


if __name__ == "__main__":
    main()
