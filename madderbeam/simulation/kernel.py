"""What every actor of a run shares: virtual time, the checker, services by address, the trace.

The layers: a script is plain data; the kernel stands on it; actors (agents, clients, endpoints, machines) act
on the kernel; the world composes them; faults act on the world; runs join script, faults and world. Imports
go down only.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from madderbeam import wire
from madderbeam.policy.settings import Settings
from madderbeam.ports import Address
from madderbeam.simulation.checker import Checker, Handed, Life, Violation
from madderbeam.simulation.loop import Event, Scheduler
from madderbeam.simulation.network import Service, SimNetwork
from madderbeam.simulation.script import Script
from madderbeam.simulation.settings import settings


@dataclass
class Report:
    """What came of a run."""

    seed: int
    violation: Violation | None = None
    steps: int = 0
    virtual_s: float = 0.0
    messages: int = 0
    calls: int = 0
    delivered: int = 0
    refused: int = 0
    kills: int = 0
    dials: int = 0  # connections to endpoints that were asked for
    failed_dials: int = 0  # of them those that were refused, or found a full table
    lists: int = 0  # watches that discovery was asked for
    probes: int = 0
    kinds: tuple[str, ...] = ()
    quality: Any = None  # quality.Quality of a run that broke no rule
    trace: list[str] = field(default_factory=list)

    @property
    def line(self) -> str:
        """How a broken rule is told; empty if none was."""
        v = self.violation
        return f"seed {self.seed} step {v.step} rule {v.rule}: {v.text} (at {v.at_us} us)" if v else ""


class Broken(Exception):
    """Ends a run at the first broken rule."""


class Kernel:
    """Time, rules and wires of one run. What an actor tells of a message's fate goes to `ran` and `ended`."""

    def __init__(self, script: Script, served: bool, trace: bool) -> None:
        self.script, self.served, self.traced = script, served, trace
        self.quota: dict[str, Any] | None = None  # the tree of quotas
        self.changes: dict[str, Any] | None = None  # sidecars: the bounds of changes
        self.report = Report(script.seed, kinds=tuple(sorted({f.kind for f in script.faults})))
        self.scheduler = Scheduler(script.seed, script.grid_us)
        self.raw_settings = settings(script)
        self.settings: Settings = wire.read_settings(json.dumps({**self.raw_settings, "me": 0}))
        self.checker = Checker(self.scheduler, self.settings, int(script.disk_mb * 1_000_000), self._broken)
        self.checker.note = self.note
        self.services: dict[Address, Service] = {}
        self.lives: dict[SimNetwork, Life] = {}
        self.entries: dict[str, dict[str, Any]] = {}  # every endpoint that ever was

    def ran(self, handed: Handed, uid: str) -> None:
        """An endpoint has run a message."""
        raise NotImplementedError

    def ended(self, ident: str, status: str, again_ms: int) -> None:
        """A notice has come to the platform."""
        raise NotImplementedError

    def life_of(self, network: SimNetwork) -> Life:
        return self.lives[network]

    # Time

    @property
    def now_us(self) -> int:
        return self.scheduler.now_us

    def after(self, delay_us: int, action: Callable[..., Any], *args: Any) -> Event:
        return self.scheduler.after(delay_us, action, *args)

    # The trace

    def note(self, who: str, what: str, **more: Any) -> None:
        """One line of the trace."""
        if self.traced:
            rest = " ".join(f"{k}={v}" for k, v in more.items())
            self.report.trace.append(f"{self.now_us} {self.scheduler.steps} {who} {what} {rest}".rstrip())

    def _broken(self, violation: Violation) -> None:
        if self.report.violation is None:
            self.report.violation = violation
            self.note("checker", f"rule {violation.rule} is broken: {violation.text}")
        raise Broken
