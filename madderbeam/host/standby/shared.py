"""Settings, keys and folders shared by the primary's component and the standby's process."""

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


class ObservedRunner(Runner):
    """A runner that calls `after_run` whenever it has performed all waiting actions."""

    after_run: Callable[[], None] | None = None

    def run(self, actions: Iterable[Any]) -> None:
        """Perform actions, process the waiting events, then call `after_run`."""
        super().run(actions)
        if self.after_run is not None and not self.closed:
            self.after_run()


def records_folder(config: Config) -> str:
    """The folder of the durable records, not the journal's: that one holds only replicated files."""
    return f"{config.state}-standby"


def standby_config(config: Config) -> Standby:
    """The standby's table of a configuration that has one."""
    assert config.standby is not None
    return config.standby


def replication_settings(config: Config) -> Settings:
    """The settings of the state machines."""
    standby = standby_config(config)
    return Settings(
        standby.mode,
        standby.silent,
        standby.silent_ms * 1000,
        int(standby.lag_mb * 1e6),
        standby.takeover,
        standby.drift_ppm,
        config.disk_bytes,
        settings_digest(config.settings, config.known),
    )


def settings_digest(policy: Policy, known: dict[str, Any]) -> str:
    """Digest of what must be equal on both sides: records name classes, tenants and partners by number."""
    rows = [
        [
            [
                message_class.name,
                message_class.idempotency.name,
                message_class.key_window_us,
                message_class.deadline_us,
            ]
            for message_class in policy.classes
        ],
        [tenant.name for tenant in policy.tenants],
        sorted({tenant.get("pod_group", 0) for tenant in known.get("targets", ())}),
    ]
    return hashlib.sha256(json.dumps(rows).encode()).hexdigest()


def read_keys(disk: Disk, path: str) -> dict[str, bytes]:
    """Read the key file, anew for each connection so that keys can be rotated; KeyUnfit if invalid."""
    try:
        return keys.parse_keys(disk.read(path).decode("utf-8", "replace"), path)
    except OSError as error:
        raise KeyUnfit(f"{path}: cannot be read: {error.strerror}") from None
