"""The mutation score: each mutant of the courier is played against seeds until a rule breaks.

A process is forked for each mutant from one that has everything imported and has played nothing, so that a
verdict depends on the mutant and the seeds alone, in any order and on any number of workers.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import random
import re
import resource
import signal
import statistics
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from madderbeam.simulation import claims
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.mutants import ROOT, Mutant, mutants, plant, sources
from madderbeam.simulation.runs import draw, play

SEEDS = 40  # that reach a mutant's function, at the most, until it counts as not found
REACH = 60  # seeds by which it is looked which functions are reached
SEED_S = 10.0  # seconds of the machine for one seed: longer is a hang
MEMORY = 2 << 30  # bytes of a worker
PAIRS, SURE = 10, 4.0  # seeds for a verdict on quality at least, and standard errors that a loss must be over
FOUND = ("rule", "crash", "hang", "quality")
Measures = tuple[float, float, float]  # of a run: worth lost, attempts a message, refusals
VERDICTS = (*FOUND, "not found", "not reached")


class Hang(BaseException):
    """A seed takes too long: out of whatever the mutant catches."""


@dataclass(frozen=True)
class Verdict:
    """What became of a mutant."""

    mutant: Mutant
    verdict: str  # one of VERDICTS
    seed: int = -1  # that found it
    detail: str = ""  # the rule, or the exception

    def row(self) -> dict[str, Any]:
        return {"id": self.mutant.id, "path": self.mutant.path, "name": self.mutant.name,
                "line": self.mutant.line, "rule": self.mutant.rule, "before": self.mutant.before,
                "after": self.mutant.after, "verdict": self.verdict, "seed": self.seed, "detail": self.detail}


def _alarm(*_: Any) -> None:
    raise Hang


def measures(report: Report) -> Measures:
    """What a run costs those who are served; each is better the smaller it is."""
    q = report.quality
    return (1 - q.worth, q.attempts, q.refused)


def worse(pairs: Sequence[tuple[Measures, Measures]]) -> str:
    """Where the second of each pair costs more than the first, beyond chance; empty if nowhere."""
    if len(pairs) < PAIRS:
        return ""
    for at, name in enumerate(("worth lost", "attempts", "refused")):
        more = [b[at] - a[at] for a, b in pairs]
        mean, error = statistics.mean(more), statistics.stdev(more) / len(more) ** 0.5
        if mean > SURE * error and mean > 1e-4:
            return f"{name} {mean:+.4f}, standard error {error:.4f}, {len(pairs)} seeds"
    return ""


def judge(mutant: Mutant, seeds: Iterable[int], usual: dict[int, Measures] | None = None) -> Verdict:
    """Plant the mutant, for good, and play seeds until one finds it. In a process of its own.

    `usual`: what these seeds measure without it; where no rule breaks, a loss beyond chance finds it too.
    """
    pairs = []
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
    signal.signal(signal.SIGALRM, _alarm)
    try:
        plant(mutant)
    except (SyntaxError, ValueError) as error:  # no program: nobody could have written it
        return Verdict(mutant, "crash", -1, f"{type(error).__name__}: {error}")
    for seed in seeds:
        signal.setitimer(signal.ITIMER_REAL, SEED_S)
        try:
            report = play(draw(seed))
            violation = report.violation
        except Hang:
            return Verdict(mutant, "hang", seed)
        except BaseException as error:  # noqa: B036 - whatever the mutant brings about is its verdict
            return Verdict(mutant, "crash", seed, f"{type(error).__name__}: {error}"[:200])
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
        if violation is not None:
            kind = "crash" if violation.rule == "crash" else "hang" if violation.rule == "spin" else "rule"
            return Verdict(mutant, kind, seed, violation.rule)
        if usual and seed in usual:
            pairs.append((usual[seed], measures(report)))
    if loss := worse(pairs):
        return Verdict(mutant, "quality", -1, loss)
    if mutant.path.startswith("policy/") and (lines := claims.judged()):
        return Verdict(mutant, "rule", -1, lines[0])
    return Verdict(mutant, "not found")


def reached(seed: int) -> tuple[int, frozenset[str], Measures | None]:
    """The courier's functions that a seed runs, as path:name, and what it measures without a mutant."""
    found: set[Any] = set()

    def profile(frame: Any, event: str, _: Any) -> None:
        if event == "call":
            found.add(frame.f_code)

    sys.setprofile(profile)
    try:
        report = play(draw(seed))
    finally:
        sys.setprofile(None)
    names = set()
    for code in found:
        path = Path(code.co_filename)
        if path.is_relative_to(ROOT):
            name = code.co_qualname.split(".<locals>")[0]
            names.add(f"{path.relative_to(ROOT).as_posix()}:{name}")
    return seed, frozenset(names), measures(report) if report.quality else None


def _task(task: tuple[Mutant, tuple[int, ...], dict[int, Measures]]) -> Verdict:
    mutant, seeds, usual = task
    return judge(mutant, seeds, usual) if seeds else Verdict(mutant, "not reached")


def chosen(paths: Iterable[str] = (), since: str = "", sample: int = 0, seed: int = 0) -> list[Mutant]:
    """Mutants of these modules (of all for none), of lines changed since a revision, or some by chance."""
    every = [m for path in paths or sources() for m in mutants(path)]
    if since:
        lines = {path: changed(path, since) for path in {m.path for m in every}}
        every = [m for m in every if m.line in lines[m.path]]
    if sample and sample < len(every):
        every = sorted(random.Random(seed).sample(every, sample), key=lambda m: (m.path, m.index))
    return every


def changed(path: str, since: str) -> frozenset[int]:
    """The lines of a module that were changed since a revision. ValueError if git does not know it."""
    done = subprocess.run(["git", "diff", "-U0", since, "--", path], cwd=ROOT, capture_output=True, text=True)
    if done.returncode:
        raise ValueError(f"since: {done.stderr.strip().splitlines()[0]}")
    found: set[int] = set()
    for start, count in re.findall(r"^@@ -\S+ \+(\d+)(?:,(\d+))? @@", done.stdout, re.MULTILINE):
        found |= set(range(int(start), int(start) + int(count or 1)))
    return frozenset(found)


def score(wanted: list[Mutant], jobs: int = 0, known: Callable[[str], bool] = lambda ident: False,
          seeds: int = SEEDS) -> Iterator[Verdict]:
    """Verdicts as they come, but for those that are known by id."""
    todo = [m for m in wanted if not known(m.id)]
    if not todo:
        return
    jobs = jobs or os.cpu_count() or 1
    context = multiprocessing.get_context("fork")
    with context.Pool(jobs) as pool:
        rows = list(pool.imap_unordered(reached, range(REACH), 4))
    reach = {seed: names for seed, names, _ in rows}
    usual = {seed: found for seed, _, found in rows if found is not None}
    by_name: dict[str, list[int]] = {}
    for seed in sorted(reach):
        for name in reach[seed]:
            by_name.setdefault(name, []).append(seed)

    def seeds_of(m: Mutant) -> tuple[int, ...]:
        if m.name.isupper():  # a constant: whoever uses it is not looked for
            return tuple(range(seeds))
        return tuple(by_name.get(f"{m.path}:{m.name}", ())[:seeds])

    with context.Pool(jobs, maxtasksperchild=1) as pool:
        yield from pool.imap_unordered(_task, [(m, seeds_of(m), usual) for m in todo], 1)


def read(path: Path) -> dict[str, dict[str, Any]]:
    """The verdicts of an earlier run, by id; a torn last line is left out."""
    found = {}
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            found[row["id"]] = row
    return found


def table(rows: Iterable[dict[str, Any]]) -> str:
    """A line a file: how many were found by what, and the share of those that are reached."""
    counts: dict[str, Counter[str]] = {}
    for row in rows:
        counts.setdefault(row["path"], Counter())[row["verdict"]] += 1
        counts.setdefault("all", Counter())[row["verdict"]] += 1
    lines = ["file".ljust(28) + "".join(v.rjust(13) for v in ("mutants", *VERDICTS, "score"))]
    for path in sorted(counts, key=lambda p: (p == "all", p)):
        c = counts[path]
        found, every = sum(c[v] for v in FOUND), sum(c.values())
        lines.append(path.ljust(28) + str(every).rjust(13) + "".join(str(c[v]).rjust(13) for v in VERDICTS)
                     + f"{found / every:.0%}".rjust(13))
    return "\n".join(lines)
