"""A connection that is made from here: until it is up, and whether an idle one still is."""

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
    """What connections of each protocol share. Once it is up `_readable` is called as bytes come."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, address: Address, sock: Socket | None = None
    ) -> None:
        """`sock`: one that is connected, or about to be, in place of a new one. OSError if there is none."""
        self.loop, self.network, self.address = loop, network, address
        self.closed = self.connected = False
        self.sock = sock or network.stream(address)

    def connect(self, done: Callable[[OSError | None], None]) -> None:
        """Call `done` once, from the loop, with what stood in the way."""
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            self.loop.call_soon(self._connected, done, code)
            return
        self.connecting(done)

    def connecting(self, done: Callable[[OSError | None], None]) -> None:
        """As connect, of a socket that is about it already."""
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
        """Whether the other side has ended this idle connection; what is unread counts as well."""
        return self.closed or self._peek() is not None

    def ended(self) -> bool:
        """Whether the other side has ended this connection, with nothing left to be read."""
        return self.closed or self._peek() == b""

    def _peek(self) -> bytes | None:
        """What is to be read next, b"" at the end, None while nothing has come."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _readable(self) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        """Close it, and let go of what the system still holds of a request: it would go on sending that for
        minutes, and a call that was given up would begin when the network is back."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        raise NotImplementedError
