"""Counters of the mesh, and rate-limited warnings: one line per kind and interval."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

LOG_INTERVAL_S = 10.0  # between two log lines of a kind
log = logging.getLogger(__name__)


class Counters:
    """Counters by name. The names are fixed by the mesh, so their number is bounded."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.values: Counter[str] = Counter()
        # time of the last log line by kind, and the counter at that time
        self._last_logged: dict[str, tuple[float, int]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self.values[name] += count

    def anomaly(self, name: str, description: str) -> None:
        """Count an anomaly and log it, unless one of its kind was logged within the interval."""
        self.values[name] += 1
        now_s, count = self.loop.time(), self.values[name]
        last_s, count_before = self._last_logged.get(name, (-LOG_INTERVAL_S, 0))
        if now_s - last_s >= LOG_INTERVAL_S:
            self._last_logged[name] = (now_s, count)
            suffix = (
                f" ({count - count_before} occurrences since the last such line)"
                if count - count_before > 1
                else ""
            )
            log.warning("mesh: %s: %s%s", name.replace("_", " "), description, suffix)
