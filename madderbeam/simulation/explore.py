"""Seeds led by coverage: scripts that reach what none before reached are kept and changed by their parts.

A script is better to change than its seed is: one fault more, one at the instant of another, one setting of
another day. What is kept at the end is the smallest set, by greedy cover, that reaches all that was reached.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import os
import random
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

from madderbeam.simulation.faults import KINDS
from madderbeam.simulation.reach import Feature, Reached, reached
from madderbeam.simulation.runs import draw
from madderbeam.simulation.script import Fault, Script

FIRST = 32  # plain seeds that a search begins with
MOST_FAULTS = 24
SETTINGS = (
    "grid_us",
    "aligned",
    "service_ms",
    "latency_us",
    "jitter_us",
    "descriptors",
    "disk_mb",
    "tight",
    "grace_ms",
    "sidecar",
    "rate_per_s",
    "dests",
)


@dataclass
class Search:
    """What a search has reached, and by which scripts."""

    features: set[Feature] = field(default_factory=set)
    kept: list[Reached] = field(default_factory=list)
    broken: list[Reached] = field(default_factory=list)
    runs: int = 0

    def add(self, found: Reached) -> bool:
        """Whether it reached something new, or broke a rule."""
        self.runs += 1
        if found.report.violation is not None:
            self.broken.append(found)
            return True
        new = found.features - self.features
        if new:
            self.features |= new
            self.kept.append(found)
        return bool(new)


def _coincide(chance: random.Random, script: Script, other: Script) -> Script:
    """Two faults begin at one instant."""
    if len(script.faults) < 2:
        return _more(chance, script, other)
    one, two = chance.sample(range(len(script.faults)), 2)
    faults = list(script.faults)
    faults[one] = replace(faults[one], at_ms=faults[two].at_ms + chance.choice((0, 0, 5, 50, 400)))
    return replace(script, faults=tuple(faults))


def _more(chance: random.Random, script: Script, other: Script) -> Script:
    """One fault more, drawn anew."""
    kinds = [kind for kind in KINDS.values() if kind.weight and not (kind.service and script.sidecar)]
    return replace(script, faults=(*script.faults, chance.choice(kinds).draw(chance, script)))


def _less(chance: random.Random, script: Script, other: Script) -> Script:
    """One fault less."""
    return script.without(chance.randrange(len(script.faults))) if script.faults else script


def _spliced(chance: random.Random, script: Script, other: Script) -> Script:
    """Some of another script's faults."""
    usable = [f for f in other.faults if not (KINDS[f.kind].service and script.sidecar)]
    return replace(script, faults=(*script.faults, *chance.sample(usable, min(3, len(usable)))))


def _changed(chance: random.Random, script: Script, other: Script) -> Script:
    """One fault's target, value, time or length is another."""
    if not script.faults:
        return _more(chance, script, other)
    at = chance.randrange(len(script.faults))
    old = script.faults[at]
    new = KINDS[old.kind].draw(chance, script)
    part = chance.choice(("at_ms", "for_ms", "target", "value"))
    made: Fault = replace(old, **{part: getattr(new, part)})
    return replace(script, faults=(*script.faults[:at], made, *script.faults[at + 1 :]))


def _setting(chance: random.Random, script: Script, other: Script) -> Script:
    """One setting is the other script's."""
    name = chance.choice(SETTINGS)
    made: Script = replace(script, **{name: getattr(other, name)})
    if made.sidecar:
        made = replace(made, faults=tuple(f for f in made.faults if not KINDS[f.kind].service))
    return made


def _reseeded(chance: random.Random, script: Script, other: Script) -> Script:
    """The same faults on another day."""
    return replace(script, seed=chance.randrange(1 << 16))


STEPS: tuple[Callable[[random.Random, Script, Script], Script], ...] = (
    _coincide,
    _more,
    _less,
    _spliced,
    _changed,
    _setting,
    _reseeded,
)


def changed(chance: random.Random, script: Script, other: Script) -> Script:
    """A script with one to three of its parts changed."""
    for _ in range(chance.choice((1, 1, 2, 3))):
        script = chance.choice(STEPS)(chance, script, other)
    faults = sorted(script.faults[-MOST_FAULTS:], key=lambda f: (f.at_ms, f.kind))
    return replace(script, faults=tuple(faults))


def _reach(script: Script) -> Reached:
    return reached(script, paired=True)


def plain() -> Iterator[Script]:
    """What plain seeds draw, for comparison."""
    seed = 0
    while True:
        yield draw(seed)
        seed += 1


def led(search: Search, begin: Iterable[Script], seed: int) -> Iterator[Script]:
    """First these and some plain seeds, then changes of what was kept so far, the newest more often."""
    chance = random.Random(f"explore {seed}")
    yield from begin
    for number in range(FIRST):
        yield draw(number)
    while True:
        kept = search.kept
        if not kept or chance.random() < 0.1:
            yield draw(chance.randrange(1 << 16))
            continue
        parent = kept[max(chance.randrange(len(kept)), chance.randrange(len(kept)))]
        yield changed(chance, parent.script, chance.choice(kept).script)


def explore(
    search: Search,
    scripts: Iterator[Script],
    seconds: float,
    jobs: int = 0,
    told: Callable[[Search, Reached], None] = lambda search, found: None,
) -> None:
    """Play these scripts for so long, on several processes; `told` is called with each that is kept."""
    jobs = jobs or os.cpu_count() or 1
    until = time.monotonic() + seconds
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        while True:
            batch = [next(scripts) for _ in range(jobs * 4)]
            for found in pool.imap_unordered(_reach, batch):
                if search.add(found):
                    told(search, found)
            if time.monotonic() >= until:
                return


def smallest(kept: Iterable[Reached]) -> list[Reached]:
    """Few of them that reach all that they reach together: each time the one with the most new for its
    steps."""
    rows, chosen = list(kept), []
    left: set[Feature] = set().union(*(r.features for r in rows)) if rows else set()
    while left:
        best = max(rows, key=lambda r: (len(r.features & left) / r.cost, -r.script.seed))
        chosen.append(best)
        left -= best.features
    return chosen


def name(script: Script) -> str:
    """Of its file: by its text, so that the order of a corpus does not depend on who made it."""
    return hashlib.blake2b(script.text().encode(), digest_size=6).hexdigest() + ".json"


def read(folder: Path) -> list[Script]:
    """The scripts of a corpus, in the order of their names. ScriptError if one can't be played."""
    return [Script.parse(path.read_text()) for path in sorted(folder.glob("*.json"))]


def write(folder: Path, scripts: Iterable[Script]) -> None:
    """Make these the corpus."""
    folder.mkdir(parents=True, exist_ok=True)
    wanted = {name(s): s.text() for s in scripts}
    for path in folder.glob("*.json"):
        if path.name not in wanted:
            path.unlink()
    for file, text in wanted.items():
        (folder / file).write_text(text)
