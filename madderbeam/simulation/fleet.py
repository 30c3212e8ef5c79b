"""Large fleets, of forty couriers and of two hundred, none of which knows of another: the hard cases."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from madderbeam.simulation.script import Fault, Script

COURIERS, DESTS, SECONDS = 40, 20, 5.0
FLEET = Script(
    seed=1,
    couriers=COURIERS,
    dests=DESTS,
    rate_per_s=200.0,
    seconds=SECONDS,
    disk_mb=0.3,
    tight=1.3,
    service_ms=60.0,
)
HALF = range(DESTS // 2)


def each(kind: str, targets: Iterable[int], at_ms: int, for_ms: int, value: float = 0.5) -> tuple[Fault, ...]:
    """The same fault at each target."""
    return tuple(Fault(kind, at_ms, for_ms, target, value) for target in targets)


CASES = {
    "all killed in the same instant": each("kill", range(COURIERS), 2000, 0),
    "back together, with discovery silent for 6 s": each("kill", range(COURIERS), 1500, 0)
    + each("silent_list", range(COURIERS), 1400, 6000),
    "all told the same wait, once and again at its end": each("full", range(DESTS), 1000, 2000, 0.9),
    "half of the destinations down, and back cold": each("down", HALF, 1000, 2500),
    "half of the destinations hang, and come back cold": each("hung", HALF, 1000, 2500),
    "half of the destinations shut": each("shut", HALF, 1000, 2500),
    "few connections at each endpoint": each("tables", range(DESTS), 0, 9000, 0.9),
    "endpoints drained and replaced while most are killed": (
        *each("kill", range(COURIERS * 3 // 4), 2000, 0),
        Fault("mass_drain", 1500, 3000, 0, 0.5),
    ),
    "limits halved and restored": each("lowered", range(DESTS), 1000, 2000),
    "last endpoints replaced amid an outage": each("down", HALF, 1000, 2000)
    + tuple(Fault("drain", 1200, 1500, n, 0.5) for n in range(2 * DESTS)),
}

# Two hundred couriers at about twenty endpoints: each sees two messages a second, a tenth of them several
# times that, and an endpoint's table has fewer places than there are couriers.
MANY, FEW_DESTS = 200, 10
FULL = replace(
    FLEET, couriers=MANY, dests=FEW_DESTS, rate_per_s=400.0, seconds=4.0, uneven=3.0, service_ms=100.0
)
ALL, EVERY = range(FEW_DESTS), range(MANY)
OLD_LIST = (
    *each("silent_list", EVERY, 900, 4000),
    Fault("mass_drain", 1000, 3000, 0, 0.1),
    *(Fault("kill", 1500 + 5 * n, 0, n) for n in EVERY),
)
A_TENTH = (
    Fault("mass_drain", 1000, 3000, 1, 0.2),
    *(Fault("moved", 1200 + 7 * n, 0, n) for n in EVERY),
    *(Fault("kill" if n % 2 else "term", 1000 + 300 * (n // 20), 0, n) for n in EVERY),
)
FULL_CASES = {
    "no fault": FULL,
    "all start in one second with an old list": replace(FULL, faults=OLD_LIST),
    "a tenth at a time is killed while endpoints are replaced and discovery moves": replace(
        FULL, faults=A_TENTH
    ),
    "all find one destination back cold": replace(FULL, faults=each("down", (0, 1), 500, 3200)),
    "endpoints that hold four connections": replace(FULL, faults=each("tables", ALL, 0, 20_000, 0.75)),
    "a courier that gets five times the mean": replace(FULL, uneven=5.0),
    "timers and answers in one instant": replace(FULL, grid_us=5000, aligned=True),
    "limits halved and restored": replace(FULL, faults=each("lowered", ALL, 1000, 2000)),
}
