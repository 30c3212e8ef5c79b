"""Many seeds, on several processes; and the shrinking of a script that breaks a rule."""

from __future__ import annotations

import multiprocessing
import os
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from madderbeam.simulation.kernel import Report
from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Script

CHUNK = 8  # seeds that a process takes at a time


def play_seed(seed: int) -> Report:
    return play(draw(seed))


def play_unaudited(seed: int) -> Report:
    return play(draw(seed), audited=False)


def play_federation(seed: int, trace: bool = False) -> Report:
    from madderbeam.simulation.federation import play as played

    return played(seed, trace=trace)


def play_sharing(seed: int, trace: bool = False) -> Report:
    from madderbeam.simulation.sharing import play as played

    return played(seed, trace)


def play_changes(seed: int, trace: bool = False) -> Report:
    from madderbeam.simulation.changes import play as played

    return played(seed, trace=trace)[0]


DAYS = {"federation": play_federation, "sharing": play_sharing, "changes": play_changes}


def campaign(seeds: Iterable[int], jobs: int = 0, audited: bool = True, days: str = "") -> Iterator[Report]:
    """The reports of these seeds, as they come; `jobs` processes, 0 for one a core. `days`: one of DAYS."""
    played: Callable[[int], Report] = DAYS[days] if days else play_seed if audited else play_unaudited
    jobs = jobs or os.cpu_count() or 1
    if jobs == 1:
        yield from map(played, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap_unordered(played, seeds, CHUNK)


@dataclass
class Totals:
    """What a campaign played."""

    seeds: int = 0
    virtual_s: float = 0.0
    messages: int = 0
    calls: int = 0
    delivered: int = 0
    refused: int = 0
    kills: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    rules: Counter[str] = field(default_factory=Counter)
    least_messages: int = 1 << 60

    def add(self, report: Report) -> None:
        self.seeds += 1
        self.virtual_s += report.virtual_s
        self.messages += report.messages
        self.calls += report.calls
        self.delivered += report.delivered
        self.refused += report.refused
        self.kills += report.kills
        self.faults.update(report.kinds)
        if report.violation:
            self.rules[report.violation.rule] += 1
        else:
            self.least_messages = min(self.least_messages, report.messages)

    def line(self, seconds: float) -> str:
        kinds = sum(self.faults.values()) / max(1, self.seeds)
        return (
            f"{self.seeds} seeds in {seconds:.1f} s ({self.seeds / seconds:.1f} a second), "
            f"{self.virtual_s / seconds:.0f} virtual seconds a second, {self.messages} messages "
            f"(at least {self.least_messages} a whole seed), {self.calls} calls, "
            f"{self.delivered} delivered, {self.kills} kills, {kinds:.1f} kinds of fault a "
            f"seed, {sum(self.rules.values())} broken"
        )


def shrink(
    script: Script, rule: str, told: Callable[[Script], None] = lambda s: None, runs: int = 400
) -> Script:
    """A smaller script that breaks the same rule, within so many runs.

    Faults go one at a time, last first, until none can go; then the traffic is cut short, thinned, spread
    over fewer couriers and destinations, and timers lose their grid, each as far as the rule stays broken.
    """
    left = [runs]

    def breaks(candidate: Script) -> bool:
        left[0] -= 1
        found = play(candidate).violation
        return found is not None and found.rule == rule

    def keep(candidate: Script) -> bool:
        nonlocal script
        if left[0] <= 0 or candidate == script or not breaks(candidate):
            return False
        script = candidate
        told(script)
        return True

    again = True
    while again and left[0] > 0:
        again = False
        for index in reversed(range(len(script.faults))):
            again |= keep(script.without(index))
        for seconds in (script.seconds / 2, script.seconds - 1):
            if seconds > 0.2:
                again |= keep(replace(script, seconds=round(seconds, 2)))
        again |= keep(replace(script, rate_per_s=round(script.rate_per_s * 0.6, 2)))
        if script.couriers > 1:
            again |= keep(replace(script, couriers=script.couriers - 1))
        if script.dests > 1:
            again |= keep(replace(script, dests=script.dests - 1))
    keep(replace(script, grid_us=1))
    keep(replace(script, jitter_us=0))
    return script
