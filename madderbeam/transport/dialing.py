"""Outgoing connections of any protocol: establishing one, and checking whether an idle one is still open."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class Dialed:
    """The part of an outgoing connection that all protocols share.

    Once it is established, `_readable` is called whenever there are bytes to read.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, address: Address, sock: Socket | None = None
    ) -> None:
        """`sock`: a socket that is connected or connecting; by default a new one, or OSError."""
        self.loop, self.network, self.address = loop, network, address
        self.closed = self.connected = False
        self.sock = sock or network.stream(address)

    def connect(self, done: Callable[[OSError | None], None]) -> None:
        """Connect, and call `done` once from the event loop, with the error if there was one."""
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            self.loop.call_soon(self._connected, done, code)
            return
        self.connecting(done)

    def connecting(self, done: Callable[[OSError | None], None]) -> None:
        """As `connect`, for a socket that is connecting already."""
        self.network.on_writable(self.sock, self._connected, done, None)

    def _connected(self, done: Callable[[OSError | None], None], code: int | None) -> None:
        if self.closed:
            return
        self.network.off_writable(self.sock)
        if code is None:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close()
            done(OSError(code, "connect"))
            return
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected = True
        self.network.on_readable(self.sock, self._readable)
        done(None)

    def stale(self) -> bool:
        """Whether this idle connection can't be used: the peer has closed it, or sent unrequested bytes."""
        return self.closed or self._peek() is not None

    def ended(self) -> bool:
        """Whether the peer has closed this connection and nothing is left to be read."""
        return self.closed or self._peek() == b""

    def _peek(self) -> bytes | None:
        """The next byte, b"" at the end of the connection, None if there is nothing to read."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _readable(self) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection, so that the kernel discards what it has not sent yet.

        It would retransmit the rest of a request for minutes, and a call that was given up would begin when
        the network is back.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        raise NotImplementedError
