"""What is to be started and stopped so that an estate's couriers run. Pure: time comes in with each call.

A courier is WAITING for its start, RUNNING, or STOPPING. One that ends by itself is started again after a
jittered wait below a ceiling that doubles; a long enough run brings the ceiling back. A changed file stops
its courier, and the end of that starts it anew at once, from the file that is wanted then.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

FIRST_S, LONGEST_S = 0.5, 30.0  # ceilings of the wait before a start
STEADY_S = 10.0  # a run of this length brings the ceiling back to the first
KILL_S = 5.0  # SIGKILL comes this long after SIGTERM


class State(Enum):
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Start:
    """Start this courier."""

    name: str


@dataclass(frozen=True)
class Stop:
    """Ask this courier to end (SIGTERM)."""

    name: str


@dataclass(frozen=True)
class Kill:
    """End this courier at once (SIGKILL): it was asked KILL_S ago."""

    name: str


Action = Start | Stop | Kill


@dataclass
class Courier:
    """One courier as the supervisor has it."""

    name: str
    digest: str  # of the file that it runs from, or is to run from
    state: State = State.WAITING
    at: float = 0.0  # WAITING: when it is due; RUNNING: since when; STOPPING: when it is killed
    ceiling: float = FIRST_S
    wanted: bool = True
    starts: int = 0


class Supervisor:
    """Keeps couriers as they are wanted. Times are seconds of one clock."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.couriers: dict[str, Courier] = {}
        self.ending = False

    def want(self, files: dict[str, str], now: float) -> list[Action]:
        """These couriers are to run, by name, from files with these digests. Only what differs is touched."""
        if self.ending:
            return []
        actions: list[Action] = []
        for name, digest in files.items():
            c = self.couriers.get(name)
            if c is None:
                self.couriers[name] = Courier(name, digest, at=now)
                continue
            c.wanted = True
            if c.digest != digest:
                c.digest, c.ceiling = digest, FIRST_S
                if c.state is State.WAITING:
                    c.at = now
                actions += self._stop(c, now)
        for c in list(self.couriers.values()):
            if c.name not in files:
                c.wanted = False
                actions += self._stop(c, now)
                if c.state is State.WAITING:
                    del self.couriers[c.name]
        return actions + self.due(now)

    def _stop(self, c: Courier, now: float) -> list[Action]:
        if c.state is not State.RUNNING:
            return []
        c.state, c.at = State.STOPPING, now + KILL_S
        return [Stop(c.name)]

    def ended(self, name: str, now: float) -> list[Action]:
        """The courier's process has ended, in whatever way."""
        c = self.couriers[name]
        if self.ending or not c.wanted:
            del self.couriers[name]
            return []
        asked = c.state is State.STOPPING
        if c.state is State.RUNNING and now - c.at >= STEADY_S:
            c.ceiling = FIRST_S
        c.state = State.WAITING
        c.at = now if asked else now + self.chance.uniform(c.ceiling / 2, c.ceiling)
        if not asked:
            c.ceiling = min(LONGEST_S, c.ceiling * 2)
        return self.due(now)

    def due(self, now: float) -> list[Action]:
        """What the time has brought."""
        actions: list[Action] = []
        for c in self.couriers.values():
            if c.at > now:
                continue
            if c.state is State.WAITING and not self.ending:
                c.state, c.at, c.starts = State.RUNNING, now, c.starts + 1
                actions.append(Start(c.name))
            elif c.state is State.STOPPING:
                c.at = now + KILL_S
                actions.append(Kill(c.name))
        return actions

    def next_at(self) -> float | None:
        """When something is due; None if nothing is."""
        times = [c.at for c in self.couriers.values() if c.state is not State.RUNNING]
        return min(times, default=None)

    def end(self, now: float) -> list[Action]:
        """All are to end, the newest first; nothing is started any more."""
        self.ending = True
        actions: list[Action] = []
        for c in reversed(list(self.couriers.values())):
            actions += self._stop(c, now)
            if c.state is State.WAITING:
                del self.couriers[c.name]
        return actions
