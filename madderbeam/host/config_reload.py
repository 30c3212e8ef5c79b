"""Reload of the configuration file on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping

from madderbeam.config.platform import ConfigError, discovery
from madderbeam.ports import Address, Disk
from madderbeam.transport.discovery import Backoff

log = logging.getLogger(__name__)


class ConfigReloader:
    """Reads the file on each SIGHUP, and retries with backoff while it is invalid: it may be half written.

    Until it is valid the old configuration stays in force.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        env: Mapping[str, str],
        disk: Disk,
        move_discovery: Callable[[Address], None],
        rng: random.Random,
        count_reload: Callable[[bool], None],
    ) -> None:
        """`count_reload` is called once for each SIGHUP, with whether the first read found a valid file."""
        self.loop, self.env, self.disk, self.move_discovery = loop, env, disk, move_discovery
        self.count_reload = count_reload
        self.is_counted = False
        self.backoff = Backoff(rng)
        self.timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Handle a SIGHUP: read the file at once."""
        self.backoff.reset()
        self.is_counted = False
        self._read()

    def _read(self) -> None:
        self.stop()
        try:
            address = discovery(self.env, self.disk)
        except ConfigError as error:
            if not self.is_counted:
                self.is_counted = True
                self.count_reload(False)
            log.error("invalid configuration file, keeping the old configuration: %s", error)
            self.timer = self.loop.call_later(self.backoff.next(), self._read)
            return
        if not self.is_counted:
            self.is_counted = True
            self.count_reload(True)
        self.move_discovery(address)

    def stop(self) -> None:
        """Cancel a scheduled retry."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
