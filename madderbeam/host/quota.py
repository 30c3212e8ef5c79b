"""Quotas as the host has them: asked for each message, and their state kept beside the folder that lasts."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.host import atomic_file
from madderbeam.host.components import Component
from madderbeam.host.host import Host
from madderbeam.ports import Clock, Disk, Ports
from madderbeam.quota.gate import Gate, Verdict

EVERY_S = 5.0  # the state is saved so often while it changes, and sooner where much has gone
log = logging.getLogger(__name__)


class QuotaComponent(Component):
    """A gate, built where the configuration has `quota`; admission asks it before anything is journaled."""

    def __init__(
        self, config: Config, raw: Mapping[str, Any], disk: Disk, clock: Clock, held: Callable[[], int]
    ) -> None:
        self.config, self.disk, self.clock, self.held = config, disk, clock, held
        chance = random.Random(f"quota {config.seed}")
        leased = config.federation is not None and config.federation.share
        self.gate = Gate(raw, clock.monotonic_us(), chance, config.settings.max_pending, leased)
        self.path = quota_path(config.state)
        self.saved_at = clock.monotonic_us()
        self.refused = self.borrowed = 0
        self._load()
        self.save()

    def ask(self, tenant: int, cls: int, size: int) -> Verdict:
        """Whether a message of so many bytes passes; it is counted if it does. What has gone of an hour's
        limit is on the disk before a further part of it can go."""
        s, now = self.config.settings, self.clock.monotonic_us()
        name = s.tenants[tenant].name if tenant < len(s.tenants) else ""
        verdict = self.gate.admit(name, s.classes[cls].name, size, self.held(), now)
        self.refused += not verdict.passed
        self.borrowed += verdict.borrowed
        if verdict.passed and (self.gate.due or now - self.saved_at > EVERY_S * 1e6):
            self.save()
        return verdict

    def figures(self) -> dict[str, int]:
        return {
            "quota.refused": self.refused,
            "quota.borrowed": self.borrowed,
            "quota.nodes": self.gate.tree.size,
        }

    # State

    def save(self) -> None:
        now = self.clock.monotonic_us()
        self.saved_at = now
        text = json.dumps({"form": 1, "at": self.clock.wall(), "rows": self.gate.dump(now)}).encode()
        try:
            atomic_file.replace(self.disk, self.path, text)
        except OSError as error:
            log.error("quota: its state is not saved: %s", error)

    def _load(self) -> None:
        try:
            kept = json.loads(self.disk.read(self.path))
            # A clock that stepped back: nothing has flowed.
            elapsed = max(0.0, self.clock.wall() - float(kept["at"]))
            self.gate.restore(kept["rows"], int(elapsed * 1e6), self.clock.monotonic_us())
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
            log.error("quota: begins anew: %s: %r", self.path, error)


def quota_path(state: str) -> str:
    """Where the state of a courier's quotas is: beside its folder, whose limit is the journal's."""
    return state.rstrip("/") + "-quota.json"


def join(host: Host, ports: Ports) -> None:
    """Admission asks the quotas that the configuration has."""
    assert host.config.quota is not None
    quota = QuotaComponent(host.config, host.config.quota, ports.disk, ports.clock, lambda: host.journal.open)
    host.admission.gates.append(quota)
    host.rooms.append(quota)
