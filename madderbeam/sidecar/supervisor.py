"""Decides which courier processes of an estate to start and stop.

This module does no I/O; the current time is an argument of each call. A courier is WAITING for its start,
RUNNING, or STOPPING. One that exits by itself is restarted after a jittered backoff whose ceiling doubles; a
run of STEADY_S or longer resets the ceiling. A changed file stops its courier, which is restarted without
delay once it has exited, from the file that is current then.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

FIRST_S, LONGEST_S = 0.5, 30.0  # first and largest ceiling of the restart backoff
STEADY_S = 10.0  # a run of at least this length resets the restart backoff
KILL_S = 5.0  # SIGKILL follows SIGTERM after this time, and is repeated at this interval


class State(Enum):
    """The state of one courier process."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Start:
    """Start this courier."""

    name: str


@dataclass(frozen=True)
class Stop:
    """Send SIGTERM to this courier."""

    name: str


@dataclass(frozen=True)
class Kill:
    """Send SIGKILL to this courier, which has not exited within KILL_S of SIGTERM."""

    name: str


Action = Start | Stop | Kill


@dataclass
class Courier:
    """The supervised state of one courier."""

    name: str
    digest: str  # of the configuration file that it is to run from
    state: State = State.WAITING
    at: float = 0.0  # WAITING: time of its start; RUNNING: since when; STOPPING: time of the next SIGKILL
    backoff_ceiling_s: float = FIRST_S
    wanted: bool = True
    starts: int = 0


class Supervisor:
    """Keeps the wanted couriers running. Times are in seconds of one monotonic clock."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.couriers: dict[str, Courier] = {}
        self.is_shutting_down = False

    def want(self, files: dict[str, str], now: float) -> list[Action]:
        """Set the couriers to run, as digests of their files by name; unchanged couriers are left running."""
        if self.is_shutting_down:
            return []
        actions: list[Action] = []
        for name, digest in files.items():
            courier = self.couriers.get(name)
            if courier is None:
                self.couriers[name] = Courier(name, digest, at=now)
                continue
            courier.wanted = True
            if courier.digest != digest:
                courier.digest, courier.backoff_ceiling_s = digest, FIRST_S
                if courier.state is State.WAITING:
                    courier.at = now
                actions += self._stop(courier, now)
        for courier in list(self.couriers.values()):
            if courier.name not in files:
                courier.wanted = False
                actions += self._stop(courier, now)
                if courier.state is State.WAITING:
                    del self.couriers[courier.name]
        return actions + self.due(now)

    def _stop(self, courier: Courier, now: float) -> list[Action]:
        if courier.state is not State.RUNNING:
            return []
        courier.state, courier.at = State.STOPPING, now + KILL_S
        return [Stop(courier.name)]

    def ended(self, name: str, now: float) -> list[Action]:
        """Handle the exit of a courier's process, or its failure to start."""
        courier = self.couriers[name]
        if self.is_shutting_down or not courier.wanted:
            del self.couriers[name]
            return []
        stop_requested = courier.state is State.STOPPING
        if courier.state is State.RUNNING and now - courier.at >= STEADY_S:
            courier.backoff_ceiling_s = FIRST_S
        courier.state = State.WAITING
        courier.at = (
            now
            if stop_requested
            else now + self.rng.uniform(courier.backoff_ceiling_s / 2, courier.backoff_ceiling_s)
        )
        if not stop_requested:
            courier.backoff_ceiling_s = min(LONGEST_S, courier.backoff_ceiling_s * 2)
        return self.due(now)

    def due(self, now: float) -> list[Action]:
        """Return the starts and kills whose time has come."""
        actions: list[Action] = []
        for courier in self.couriers.values():
            if courier.at > now:
                continue
            if courier.state is State.WAITING and not self.is_shutting_down:
                courier.state, courier.at, courier.starts = State.RUNNING, now, courier.starts + 1
                actions.append(Start(courier.name))
            elif courier.state is State.STOPPING:
                courier.at = now + KILL_S
                actions.append(Kill(courier.name))
        return actions

    def next_at(self) -> float | None:
        """Return the time of the next start or kill; None if there is none."""
        times = [courier.at for courier in self.couriers.values() if courier.state is not State.RUNNING]
        return min(times, default=None)

    def end(self, now: float) -> list[Action]:
        """Stop all couriers, the most recently added first; nothing is started afterwards."""
        self.is_shutting_down = True
        actions: list[Action] = []
        for courier in reversed(list(self.couriers.values())):
            actions += self._stop(courier, now)
            if courier.state is State.WAITING:
                del self.couriers[courier.name]
        return actions
