"""A listening socket: takes connections up as they come, and rests where no descriptor is left for them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.descriptors import NO_FILES

BACKLOG = 128
ACCEPTS = 16  # taken up in one turn
REST_S = 0.05  # accepting rests for so long when no descriptor can be freed
log = logging.getLogger(__name__)


class Accepting:
    """Hands each accepted socket to `took`. `make_room` gives a descriptor up, if it can."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        took: Callable[[Socket], None],
        make_room: Callable[[], bool],
        what: str,
    ) -> None:
        """what: who is accepted, for the log."""
        self.loop, self.network, self.took, self.make_room = loop, network, took, make_room
        self.what = what
        self.sock: Socket | None = None
        self.resting: asyncio.TimerHandle | None = None

    def listen(self, address: Address) -> int:
        """The port; OSError if the address can't be had."""
        self.sock = self.network.listen(address, BACKLOG)
        self._accepting()
        return self.sock.getsockname()[1]

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("accepting a %s: %s", self.what, error)
                if error.errno not in NO_FILES or not self.make_room():
                    self._rest()
                    return
                continue
            sock.setblocking(False)
            self.took(sock)

    def _rest(self) -> None:
        """Those that wait are taken up later: a socket that stays readable would keep the loop busy."""
        if self.sock is not None:
            self.network.off_readable(self.sock)
            self.resting = self.loop.call_later(REST_S, self._accepting)

    def _accepting(self) -> None:
        if self.sock is not None:
            self.network.on_readable(self.sock, self._accept)

    def close(self) -> None:
        """Stop accepting and release the listening socket."""
        if self.resting is not None:
            self.resting.cancel()
        if self.sock is not None:
            self.network.off_readable(self.sock)
            self.sock.close()
            self.sock = None
