"""Quotas in the host: checks each message, and stores the quota usage beside the courier's state folder."""

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
from madderbeam.quota.admission import QuotaAdmission, QuotaVerdict

# Interval of saves while messages pass; sooner if much of an hourly limit was used since the last save.
SAVE_INTERVAL_S = 5.0
STORED_FORM = 1  # version of the file's format
READ_TRIES = 3  # of the file with a read error
UNREADABLE: list[Any] = []  # a malformed row: it stands for those of a file that can't be read
log = logging.getLogger(__name__)


class QuotaComponent(Component):
    """Checks messages against the quotas before they are journaled; present if `quota` is configured."""

    def __init__(
        self, config: Config, raw: Mapping[str, Any], disk: Disk, clock: Clock, pending: Callable[[], int]
    ) -> None:
        self.config, self.disk, self.clock, self.pending = config, disk, clock, pending
        rng = random.Random(f"quota {config.seed}")
        leased = config.federation is not None and config.federation.share
        self.quota_admission = QuotaAdmission(
            raw, clock.monotonic_us(), rng, config.settings.max_pending, leased
        )
        self.path = quota_path(config.state)
        self.saved_at_us = clock.monotonic_us()
        self.rejected = self.borrowed = 0
        self._load()
        self.save()

    def check(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        """Check a message of `size` bytes against the quotas; it is counted if it passes.

        The use of an hourly limit is stored before a further part of the limit can be used.
        """
        settings, now_us = self.config.settings, self.clock.monotonic_us()
        name = settings.tenants[tenant].name if tenant < len(settings.tenants) else ""
        verdict = self.quota_admission.admit(name, settings.classes[cls].name, size, self.pending(), now_us)
        self.rejected += not verdict.passed
        self.borrowed += verdict.borrowed
        if verdict.passed and (
            self.quota_admission.is_save_due or now_us - self.saved_at_us > SAVE_INTERVAL_S * 1e6
        ):
            self.save()
        return verdict

    def metrics(self) -> dict[str, int]:
        """Return the quota metrics by name."""
        return {
            "quota.refused": self.rejected,
            "quota.borrowed": self.borrowed,
            "quota.nodes": self.quota_admission.tree.size,
        }

    # State

    def save(self) -> None:
        """Store the quota usage; a failure is logged only."""
        now_us = self.clock.monotonic_us()
        self.saved_at_us = now_us
        # at: wall clock in seconds
        data = json.dumps(
            {"form": STORED_FORM, "at": self.clock.wall(), "rows": self.quota_admission.dump(now_us)}
        ).encode()
        try:
            atomic_file.replace(self.disk, self.path, data)
        except OSError as error:
            log.error("quota: usage could not be stored: %s", error)

    def _load(self) -> None:
        rows, elapsed_s = [UNREADABLE], 0.0
        try:
            stored = json.loads(atomic_file.read(self.disk, self.path, READ_TRIES))
            if stored["form"] != STORED_FORM:
                raise ValueError(f"form {stored['form']}, where this version reads {STORED_FORM}")
            # If the wall clock has stepped back, the elapsed time is treated as 0.
            elapsed_s = max(0.0, self.clock.wall() - float(stored["at"]))
            rows = list(stored["rows"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error(
                "quota: %s: stored usage can't be read, hourly limits start empty: %r", self.path, error
            )
        malformed = self.quota_admission.restore(rows, int(elapsed_s * 1e6), self.clock.monotonic_us())
        if malformed and rows != [UNREADABLE]:
            log.error("quota: %s: %d rows can't be read, their limits start empty", self.path, malformed)


def quota_path(state: str) -> str:
    """Return the path of the quota state: beside the state folder, whose size limit is the journal's."""
    return state.rstrip("/") + "-quota.json"


def join(host: Host, ports: Ports) -> None:
    """Add the quota component to a host, as a check of its admission."""
    assert host.config.quota is not None
    quota = QuotaComponent(
        host.config, host.config.quota, ports.disk, ports.clock, lambda: host.journal.open_count
    )
    host.admission.checks.append(quota)
    host.components.append(quota)
