"""Runs: a seed draws its script, and a script is played on a world with the faults that it names."""

from __future__ import annotations

import random
from dataclasses import replace

from madderbeam.simulation import faults
from madderbeam.simulation.faults import KINDS, Kind
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.script import Fault, Script
from madderbeam.simulation.world import World

LARGE = 16  # each how many-th seed has a fleet of more couriers than a courier has slots, at few destinations
FLEET, FLEET_DESTS = 14, 2
SMALL_MB = 0.09  # of a folder that is compacted all the time
STANDING = 4  # each how many-th seed has what the standing test adds, under another customer's settings
SERVED = 4  # each how many-th seed has calls at the second address and upgrades


def staged(script: Script, trace: bool = False, audited: bool = True) -> World:
    """A world in which the script is to be played. ScriptError for a kind of fault that there is not."""
    return World(faults.check(script), faults.begin, faults.served(script), trace, audited)


def play(script: Script, trace: bool = False, audited: bool = True) -> Report:
    """Play a script; the same script always gives the same report and trace."""
    return staged(script, trace, audited).play()


def _apart(kinds: list[Kind], chance: random.Random, base: Script) -> list[Fault]:
    """Faults from a chance of their own: the others of a seed stay as they are."""
    on = [kind for kind in kinds if chance.random() < 0.25 * kind.weight] or [chance.choice(kinds)]
    return [kind.draw(chance, base) for kind in on for _ in range(chance.choice((1, 2, 3)))]


def draw(seed: int) -> Script:
    """The script of a seed, swarm style: each kind of fault is on or off as a whole, then several at once."""
    chance = random.Random(f"script {seed}")
    base = Script(
        seed=seed,
        couriers=chance.choice((2, 2, 2, 3)),
        dests=chance.randint(3, 7),
        rate_per_s=chance.uniform(32, 40),
        seconds=8.0,
        grid_us=chance.choice((1, 1, 1000, 5000, 20_000)),
        aligned=chance.random() < 0.3,
        service_ms=chance.choice((15.0, 60.0, 150.0)),
        latency_us=chance.choice((50, 800, 3000)),
        jitter_us=chance.choice((0, 1500, 8000)),
        descriptors=chance.choice((96, 256, 256)),
        disk_mb=chance.choice((0.09, 0.15, 1.0, 3.0)),
        tight=chance.choice((1.1, 1.6, 3.0)),
        grace_ms=chance.choice((100, 2000)),
        sidecar=seed % 5 == 4,
        pools=seed % 10 == 9,
        kafka=seed % 20 == 4,
        quota=seed % 20 == 14,
    )
    if seed % LARGE == 7:
        base = replace(base, couriers=FLEET, dests=FLEET_DESTS)
    share = chance.choice((0.08, 0.15, 0.25))
    kinds = [kind for kind in KINDS.values() if kind.weight and not kind.service and not kind.standing]
    on = [kind for kind in kinds if chance.random() < share * kind.weight]
    if len(on) < 2:
        on += chance.sample(kinds, 2)
    found = []
    for kind in on:
        for _ in range(chance.choice((1, 1, 2))):
            found.append(kind.draw(chance, base))
    if any(f.kind == "pressure" for f in found):
        base = replace(base, disk_mb=SMALL_MB)
    if seed % SERVED == 2 and not base.sidecar:
        service = [kind for kind in KINDS.values() if kind.service and kind.weight]
        found += _apart(service, random.Random(f"service {seed}"), base)
    if seed % STANDING == 1:
        standing = [kind for kind in KINDS.values() if kind.standing]
        found += _apart(standing, random.Random(f"standing {seed}"), base)
        base = replace(base, customer=seed)
    return replace(base, faults=tuple(sorted(found, key=lambda f: (f.at_ms, f.kind))))
