"""What an owner's room and a standby's process share."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.config.standby import Standby
from madderbeam.host.federation.runner import Runner
from madderbeam.policy.settings import Settings as Policy
from madderbeam.ports import Disk
from madderbeam.replication import keys
from madderbeam.replication.errors import KeyUnfit
from madderbeam.replication.values import Settings


class Watched(Runner):
    """A runner that calls `after` once all that waited is carried out, whatever began it."""

    after: Callable[[], None] | None = None

    def run(self, actions: Iterable[Any]) -> None:
        super().run(actions)
        if self.after is not None and not self.closed:
            self.after()


def kept_folder(config: Config) -> str:
    """Beside the journal's, since that one holds nothing but what is streamed."""
    return f"{config.state}-standby"


def told(config: Config) -> Standby:
    assert config.standby is not None
    return config.standby


def settings(config: Config) -> Settings:
    """As the pure machines take them."""
    t = told(config)
    return Settings(
        t.mode,
        t.silent,
        t.silent_ms * 1000,
        int(t.lag_mb * 1e6),
        t.takeover,
        t.drift_ppm,
        config.disk_bytes,
        form(config.settings, config.known),
    )


def form(s: Policy, known: dict[str, Any]) -> str:
    """What both couriers must have in common: records name classes, tenants and partners by number."""
    rows = [
        [[c.name, c.idempotency.name, c.key_window_us, c.deadline_us] for c in s.classes],
        [t.name for t in s.tenants],
        sorted({t.get("pod_group", 0) for t in known.get("targets", ())}),
    ]
    return hashlib.sha256(json.dumps(rows).encode()).hexdigest()


def read_keys(disk: Disk, path: str) -> dict[str, bytes]:
    """The keys as the file has them now: it is read anew for each connection. KeyUnfit."""
    try:
        return keys.read(disk.read(path).decode("utf-8", "replace"), path)
    except OSError as error:
        raise KeyUnfit(f"{path}: cannot be read: {error.strerror}") from None
