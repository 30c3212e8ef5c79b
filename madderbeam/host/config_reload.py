"""SIGHUP: the configuration's file is read again while the courier works."""

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
    """Reads the file on each SIGHUP and again, with growing waits, while it can't be used: it may be half
    written. Until it can, the old configuration stays in force."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        env: Mapping[str, str],
        disk: Disk,
        moved: Callable[[Address], None],
        chance: random.Random,
        reloaded: Callable[[bool], None],
    ) -> None:
        self.loop, self.env, self.disk, self.moved = loop, env, disk, moved
        self.reloaded = reloaded  # told of each SIGHUP, whether its file could be used
        self.counted = False
        self.backoff = Backoff(chance)
        self.timer: asyncio.TimerHandle | None = None

    def hup(self) -> None:
        self.backoff.reset()
        self.counted = False
        self._read()

    def _read(self) -> None:
        self.stop()
        try:
            address = discovery(self.env, self.disk)
        except ConfigError as error:
            if not self.counted:
                self.counted = True
                self.reloaded(False)
            log.error("the configuration stays as it was: %s", error)
            self.timer = self.loop.call_later(self.backoff.next(), self._read)
            return
        if not self.counted:
            self.counted = True
            self.reloaded(True)
        self.moved(address)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
