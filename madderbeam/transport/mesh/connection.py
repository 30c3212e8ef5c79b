"""Frames over one connection, in order: reads them whole, keeps what can't be sent yet within a bound."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.dialing import Dialed
from madderbeam.transport.mesh.counts import Counts
from madderbeam.transport.mesh.frames import Splitter, Strange
from madderbeam.transport.reading import read

AT_ONCE = 1 << 18  # bytes handed to the system in one go


class Connection(Dialed):
    """`got` is called with each frame, `lost` once, with why, if the connection ends otherwise than by
    `close` or `finish`. Neither is called from within a method, always from the loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        counts: Counts,
        unsent_most: int,
        sock: Socket | None = None,
    ) -> None:
        """OSError if there is no socket to be had. `sock`: one that was accepted; it is read from now on."""
        super().__init__(loop, network, address, sock)
        self.counts, self.unsent_most = counts, unsent_most
        self.got: Callable[[bytes], None] = lambda frame: None
        self.lost: Callable[[str], None] = lambda why: None
        self.splitter = Splitter()
        self.unsent = bytearray()
        self.received = 0  # bytes
        self.failing = self.finishing = self._flushing = False
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connected = True
            network.on_readable(sock, self._readable)

    def dial(self) -> None:
        """Connect; what was sent before goes out once it is up, `lost` tells if it does not come up."""
        self.connect(self._dialled)

    def _dialled(self, error: OSError | None) -> None:
        if error is not None:
            self.lost(f"no connection: {os.strerror(error.errno or 0)}")
        else:
            self._flush()

    def send(self, data: bytes) -> bool:
        """Send what has its length before it. False where it did not fit: the connection is lost then."""
        if self.closed or self.failing or self.finishing:
            return False
        if len(self.unsent) + len(data) > self.unsent_most:
            self.failing = True
            self.loop.call_soon(self._lose, f"{len(self.unsent)} bytes are unsent, no more are kept")
            return False
        self.unsent += data
        if not self._flushing and self.connected:
            self._flushing = True
            self.loop.call_soon(self._flush)
        return True

    def finish(self) -> None:
        """Close once all is sent; nothing more is read."""
        self.finishing = True
        self.network.off_readable(self.sock)
        if not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        if self.closed:
            return
        try:
            while self.unsent:
                with memoryview(self.unsent) as view, view[:AT_ONCE] as part:  # an error may keep either
                    sent = self.sock.send(part)
                del self.unsent[:sent]
                self.counts.add("stream_bytes_out", sent)
        except (BlockingIOError, InterruptedError):
            self.network.on_writable(self.sock, self._flush)
            return
        except OSError as error:
            self._lose(error.strerror or str(error))
            return
        self._flushing = False
        self.network.off_writable(self.sock)
        if self.finishing:
            self.close()

    def _readable(self) -> None:
        try:
            data = read(self.sock)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._lose(error.strerror or str(error))
            return
        if not data:
            self._lose("the other side has ended it")
            return
        self.received += len(data)
        self.counts.add("stream_bytes_in", len(data))
        try:
            for frame in self.splitter.feed(data):
                self.got(frame)
                if self.closed or self.finishing:
                    return
        except Strange as error:
            self.strange(error)

    def strange(self, error: Strange) -> None:
        """What came is no frame of ours: nothing after it can be trusted to be one."""
        self.counts.odd(f"strange_{error.kind}", f"connection with {self.shown}: {error}")
        self._lose(str(error))

    @property
    def shown(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def _lose(self, why: str) -> None:
        if not self.closed:
            self.close()
            self.lost(why)

    def close(self) -> None:
        """It is over, and nobody is told."""
        if self.closed:
            return
        self.closed = True
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()
        self.unsent.clear()
