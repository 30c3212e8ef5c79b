"""A large fleet: forty couriers, none of which knows of another, and its hard cases by name."""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.simulation.script import Fault, Script

COURIERS, DESTS, SECONDS = 40, 20, 5.0
FLEET = Script(seed=1, couriers=COURIERS, dests=DESTS, rate_per_s=200.0, seconds=SECONDS, disk_mb=0.3,
               tight=1.3, service_ms=60.0)
HALF = range(DESTS // 2)


def each(kind: str, targets: Iterable[int], at_ms: int, for_ms: int, value: float = 0.5) -> tuple[Fault, ...]:
    """The same fault at each target."""
    return tuple(Fault(kind, at_ms, for_ms, target, value) for target in targets)


CASES = {
    "all killed in the same instant": each("kill", range(COURIERS), 2000, 0),
    "back together, with discovery silent for 6 s":
        each("kill", range(COURIERS), 1500, 0) + each("silent_list", range(COURIERS), 1400, 6000),
    "all told the same wait, once and again at its end": each("full", range(DESTS), 1000, 2000, 0.9),
    "half of the destinations down, and back cold": each("down", HALF, 1000, 2500),
    "half of the destinations hang, and come back cold": each("hung", HALF, 1000, 2500),
    "half of the destinations shut": each("shut", HALF, 1000, 2500),
    "few connections at each endpoint": each("tables", range(DESTS), 0, 9000, 0.9),
    "endpoints drained and replaced while most are killed":
        each("kill", range(COURIERS * 3 // 4), 2000, 0) + (Fault("mass_drain", 1500, 3000, 0, 0.5),),
    "limits halved and restored": each("lowered", range(DESTS), 1000, 2000),
    "last endpoints replaced amid an outage":
        each("down", HALF, 1000, 2000) + tuple(Fault("drain", 1200, 1500, n, 0.5) for n in range(2 * DESTS)),
}
