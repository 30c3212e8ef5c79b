"""SIGHUP: the configuration's file is read again while the courier works."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from hopmill.net.config import Address, ConfigError, discovery
from hopmill.net.discovery import Backoff

log = logging.getLogger(__name__)


class Reloader:
    """Reads the file on each SIGHUP and again, with growing waits, while it can't be used: it may be half
    written. Until it can, the old configuration stays in force."""

    def __init__(self, loop: asyncio.AbstractEventLoop, env: Mapping[str, str],
                 moved: Callable[[Address], None]) -> None:
        self.loop, self.env, self.moved = loop, env, moved
        self.backoff = Backoff()
        self.timer: asyncio.TimerHandle | None = None

    def hup(self) -> None:
        self.backoff.reset()
        self._read()

    def _read(self) -> None:
        self.stop()
        try:
            address = discovery(self.env)
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", error)
            self.timer = self.loop.call_later(self.backoff.next(), self._read)
            return
        self.moved(address)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
