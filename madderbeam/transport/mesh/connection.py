"""Ordered frames over one connection: reads them whole and buffers unsent bytes within a bound."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.dialing import Dialed
from madderbeam.transport.mesh.counters import Counters
from madderbeam.transport.mesh.frames import FrameSplitter, InvalidFrame
from madderbeam.transport.reading import read

SEND_CHUNK_BYTES = 1 << 18  # bytes per system call


class Connection(Dialed):
    """One stream connection that carries frames.

    `on_frame` is called with each frame; `on_lost` is called once, with the reason, if the connection ends
    otherwise than by `close` or `finish`. Both are called from the event loop, never from within a method.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        counters: Counters,
        max_unsent_bytes: int,
        sock: Socket | None = None,
    ) -> None:
        """OSError if no socket is available. `sock`: an accepted socket, which is read from now on."""
        super().__init__(loop, network, address, sock)
        self.counters, self.max_unsent_bytes = counters, max_unsent_bytes
        self.on_frame: Callable[[bytes], None] = lambda frame: None
        self.on_lost: Callable[[str], None] = lambda reason: None
        self.splitter = FrameSplitter()
        self.unsent = bytearray()
        self.received_bytes = 0  # bytes
        self.is_failing = self.is_finishing = self._is_flushing = False
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connected = True
            network.on_readable(sock, self._readable)

    def dial(self) -> None:
        """Connect; frames sent before go out once it is up. `on_lost` is called if the connection fails."""
        self.connect(self._on_connected)

    def _on_connected(self, error: OSError | None) -> None:
        if error is not None:
            self.on_lost(f"connection failed: {os.strerror(error.errno or 0)}")
        else:
            self._flush()

    def send(self, data: bytes) -> bool:
        """Send bytes that start with their length.

        False if the buffer is full; the connection is lost then.
        """
        if self.closed or self.is_failing or self.is_finishing:
            return False
        if len(self.unsent) + len(data) > self.max_unsent_bytes:
            self.is_failing = True
            self.loop.call_soon(self._lose, f"send buffer is full with {len(self.unsent)} bytes")
            return False
        self.unsent += data
        if not self._is_flushing and self.connected:
            self._is_flushing = True
            self.loop.call_soon(self._flush)
        return True

    def finish(self) -> None:
        """Close once everything is sent; nothing more is read."""
        self.is_finishing = True
        self.network.off_readable(self.sock)
        if not self._is_flushing:
            self._is_flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        if self.closed:
            return
        try:
            while self.unsent:
                # a traceback may keep either alive, and a bytearray with views cannot shrink
                with memoryview(self.unsent) as view, view[:SEND_CHUNK_BYTES] as chunk:
                    sent = self.sock.send(chunk)
                del self.unsent[:sent]
                self.counters.add("stream_bytes_out", sent)
        except (BlockingIOError, InterruptedError):
            self.network.on_writable(self.sock, self._flush)
            return
        except OSError as error:
            self._lose(error.strerror or str(error))
            return
        self._is_flushing = False
        self.network.off_writable(self.sock)
        if self.is_finishing:
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
            self._lose("closed by the other side")
            return
        self.received_bytes += len(data)
        self.counters.add("stream_bytes_in", len(data))
        try:
            for frame in self.splitter.feed(data):
                self.on_frame(frame)
                if self.closed or self.is_finishing:
                    return
        except InvalidFrame as error:
            self.invalid_frame(error)

    def invalid_frame(self, error: InvalidFrame) -> None:
        """Drop the connection after an invalid frame: nothing behind it can be parsed reliably."""
        self.counters.anomaly(f"strange_{error.kind}", f"connection with {self.address_text}: {error}")
        self._lose(str(error))

    @property
    def address_text(self) -> str:
        """The remote address for log lines."""
        return f"{self.address[0]}:{self.address[1]}"

    def _lose(self, reason: str) -> None:
        if not self.closed:
            self.close()
            self.on_lost(reason)

    def close(self) -> None:
        """Close the connection without calling `on_lost`."""
        if self.closed:
            return
        self.closed = True
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()
        self.unsent.clear()
