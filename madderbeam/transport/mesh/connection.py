"""Ordered frames over one connection: reads them whole and buffers unsent bytes within a bound."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.buffer_budget import BufferBudget
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
        self.budget: BufferBudget | None = None  # for what is received and held
        self.counted_bytes = 0  # of the budget
        self.partial_since_s = loop.time()  # when the frame that is not whole began
        self.held_frame: bytes | None = None  # see hold
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
        self._split(data)

    def _split(self, data: bytes | memoryview) -> None:
        """Report the frames that are whole now."""
        if not self.splitter.buffer:
            self.partial_since_s = self.loop.time()
        try:
            for frame in self.splitter.feed(data):
                self.partial_since_s = self.loop.time()
                self.on_frame(frame)
                if self.closed or self.is_finishing or self.held_frame is not None:
                    break
        except InvalidFrame as error:
            self.invalid_frame(error)
        self._count_buffered()

    def hold(self, frame: bytes) -> None:
        """Keep this frame, read no more and report no further frame, until `release`."""
        self.held_frame = frame
        self.network.off_readable(self.sock)

    def release(self, on_frame: Callable[[bytes], None]) -> None:
        """Give the frame that `hold` kept to `on_frame`, then go on with what was received behind it."""
        if self.held_frame is None:
            return
        on_frame(self.held_frame)
        self.held_frame = None
        if not self.closed and not self.is_finishing:
            self.network.on_readable(self.sock, self._readable)
            self._split(b"")

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that are held."""
        return len(self.splitter.buffer) + len(self.held_frame or b"")

    def use_budget(self, budget: BufferBudget) -> None:
        """Count what is received of frames that are not whole against this budget from now on."""
        if self.budget is not None:
            self.budget.count(self, 0)
        self.budget = budget
        self._count_buffered()

    def _count_buffered(self) -> None:
        if self.budget is not None:
            self.budget.count(self, self.buffered_bytes)

    @property
    def may_shed(self) -> bool:
        """Whether a frame has begun and was not given to anybody yet."""
        return not self.closed and self.buffered_bytes > 0

    def buffering_s(self, now_s: float) -> float:
        """Seconds since the frame that is not whole began."""
        return now_s - self.partial_since_s

    def shed(self) -> None:
        """Close the connection: what all of them hold has reached its bound."""
        self._lose(f"closed with {self.buffered_bytes} bytes received, for room")

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
        self.splitter.buffer, self.held_frame = bytearray(), None
        self._count_buffered()
