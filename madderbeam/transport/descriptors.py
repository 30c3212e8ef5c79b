"""Descriptors: who goes without when they run out."""

from __future__ import annotations

import errno
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket

NO_FILES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Sparing:
    """A network on which a call or a notice goes before a client's idle connection: where no descriptor is
    left for it, `make_room` closes one of those, and it is tried once more."""

    def __init__(self, network: Network, make_room: Callable[[], bool]) -> None:
        self.network, self.make_room = network, make_room
        self.on_readable, self.off_readable = network.on_readable, network.off_readable
        self.on_writable, self.off_writable = network.on_writable, network.off_writable
        self.listen, self.datagram = network.listen, network.datagram

    def stream(self, address: Address) -> Socket:
        """A socket that can connect; OSError if none can be had."""
        try:
            return self.network.stream(address)
        except OSError as error:
            if error.errno not in NO_FILES or not self.make_room():
                raise
        return self.network.stream(address)
