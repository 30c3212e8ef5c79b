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
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from madderbeam.simulation import claims
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.mutants import ROOT, Mutant, mutants, plant, sources
from madderbeam.simulation.reach import Line, headers, reached
from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Script

RUNS = 14  # that reach a mutant's statement, at the most, until it counts as not found
DECIDED = 24  # as that, of decisions, which are judged by quality as well
SAME = 8  # runs in which a mutant changes nothing at all, after which it is played no more
REACH = 96  # plain seeds among which there is one that reaches it, beside the scripts that are given
RUN_S = 10.0  # seconds of the machine for one run: longer is a hang
MEMORY = 2 << 30  # bytes of a worker
PAIRS, SURE = 10, 4.0  # runs for a verdict on quality at least, and standard errors that a loss must be over
DECISIONS = "policy/"
FOUND = ("rule", "crash", "hang", "quality")
Measures = tuple[float, float, float]  # of a run: worth lost, attempts a message, refusals
VERDICTS = (*FOUND, "not found", "no difference", "not reached")


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
        return {
            "id": self.mutant.id,
            "path": self.mutant.path,
            "name": self.mutant.name,
            "line": self.mutant.line,
            "rule": self.mutant.rule,
            "before": self.mutant.before,
            "after": self.mutant.after,
            "verdict": self.verdict,
            "seed": self.seed,
            "detail": self.detail,
        }


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


@dataclass(frozen=True)
class Day:
    """A script to play, and what came of it with no mutant."""

    script: Script
    measures: Measures | None
    outcome: tuple[Any, ...]
    steps: int = 0  # what it costs: by time of the machine verdicts would depend on how busy that is


def outcome(report: Report) -> tuple[Any, ...]:
    """What two runs alike have in common: every step of one that differs moves these."""
    return (
        report.steps,
        report.messages,
        report.calls,
        report.delivered,
        report.refused,
        report.kills,
        report.quality,
    )


def judge(mutant: Mutant, days: Sequence[Day]) -> Verdict:
    """Plant the mutant, for good, and play days until one finds it. In a process of its own. Where no rule
    breaks, a loss beyond chance finds it too."""
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
    signal.signal(signal.SIGALRM, _alarm)
    try:
        plant(mutant)
    except (SyntaxError, ValueError) as error:  # no program: nobody could have written it
        return Verdict(mutant, "crash", -1, f"{type(error).__name__}: {error}")
    pairs, differs = [], False
    for number, day in enumerate(days):
        if number >= SAME and not differs:
            break
        signal.setitimer(signal.ITIMER_REAL, RUN_S)
        try:
            report = play(day.script)
            violation = report.violation
        except Hang:
            return Verdict(mutant, "hang", day.script.seed)
        except BaseException as error:
            return Verdict(mutant, "crash", day.script.seed, f"{type(error).__name__}: {error}"[:200])
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
        if violation is not None:
            kind = "crash" if violation.rule == "crash" else "hang" if violation.rule == "spin" else "rule"
            return Verdict(mutant, kind, day.script.seed, violation.rule)
        differs |= outcome(report) != day.outcome
        if day.measures is not None and report.quality:
            pairs.append((day.measures, measures(report)))
    if not differs:
        return Verdict(mutant, "no difference", -1, f"{min(len(days), SAME)} runs")
    if loss := worse(pairs):
        return Verdict(mutant, "quality", -1, loss)
    if mutant.path.startswith(DECISIONS) and (lines := claims.judged()):
        return Verdict(mutant, "rule", -1, lines[0])
    return Verdict(mutant, "not found")


def _task(task: tuple[Mutant, tuple[Day, ...]]) -> Verdict:
    mutant, days = task
    return judge(mutant, days) if days else Verdict(mutant, "not reached")


def _look(script: Script) -> tuple[Script, frozenset[Line], Day | None]:
    """What a script reaches, and the day it makes; none if it breaks a rule without a mutant."""
    found = reached(script)
    report = found.report
    if report.violation is not None:
        return script, found.lines, None
    return (
        script,
        found.lines,
        Day(script, measures(report) if report.quality else None, outcome(report), found.cost),
    )


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


def score(
    wanted: list[Mutant],
    jobs: int = 0,
    known: Callable[[str], bool] = lambda ident: False,
    scripts: Iterable[Script] = (),
    reach: int = REACH,
) -> Iterator[Verdict]:
    """Verdicts as they come, but for those that are known by id. Played are these scripts and so many plain
    seeds, as far as they reach a mutant's statement."""
    todo = [m for m in wanted if not known(m.id)]
    if not todo:
        return
    jobs = jobs or os.cpu_count() or 1
    context = multiprocessing.get_context("fork")
    plays = [*scripts, *map(draw, range(reach))]
    with context.Pool(jobs) as pool:
        rows = [(lines, day) for _, lines, day in pool.imap(_look, plays, 2) if day is not None]
    days_of = Chosen(rows)
    with context.Pool(jobs, maxtasksperchild=1) as pool:
        yield from pool.imap_unordered(_task, [(m, days_of(m)) for m in todo], 1)


class Chosen:
    """Which days a mutant is played on: those that reach its statement, the cheapest first."""

    def __init__(self, rows: Iterable[tuple[frozenset[Line], Day]]) -> None:
        self.by_line: dict[Line, list[Day]] = {}
        self.all: list[Day] = []
        self.heads: dict[str, dict[int, range]] = {}
        for lines, day in sorted(rows, key=lambda row: row[1].steps):
            self.all.append(day)
            for line in lines:
                self.by_line.setdefault(line, []).append(day)

    def __call__(self, m: Mutant) -> tuple[Day, ...]:
        most = DECIDED if m.path.startswith(DECISIONS) else RUNS
        if m.name.isupper():  # a constant: whoever uses it is not looked for
            return tuple(self.all[:most])
        if m.path not in self.heads:
            self.heads[m.path] = headers((ROOT / m.path).read_text())
        found: dict[int, Day] = {}
        for line in self.heads[m.path].get(m.line, range(m.line, m.line + 1)):
            found.update((id(day), day) for day in self.by_line.get((m.path, line), ()))
        return tuple(sorted(found.values(), key=lambda day: day.steps)[:most])


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
        lines.append(
            path.ljust(28)
            + str(every).rjust(13)
            + "".join(str(c[v]).rjust(13) for v in VERDICTS)
            + f"{found / every:.0%}".rjust(13)
        )
    return "\n".join(lines)
