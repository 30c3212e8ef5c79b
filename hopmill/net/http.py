"""One HTTP/1.1 client connection on a non-blocking socket, h11 for the protocol.

A courier must know whether a request's last byte was written: before that, the call has provably never run.
asyncio's transports hide it (a failed write looks like a whole one), so the socket is driven here.
Nothing is ever sent again by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Sequence

import h11

from hopmill.net.config import Address

Headers = Sequence[tuple[str, str]]
LOCAL_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
READ_BYTES = 1 << 16


class Exchange:
    """What one request is told of its answer; the methods here ignore all."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """The status line and the headers have come."""

    def data(self, data: bytes) -> None:
        """A part of the body has come."""

    def end(self) -> None:
        """The answer is whole."""

    def lost(self, written: bool) -> None:
        """The connection broke or ended first; written: the request's last byte had been written."""


class Connection:
    """Carries one exchange at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop, self.address = loop, address
        self.http = h11.Connection(h11.CLIENT)
        self.exchange: Exchange | None = None
        self.on_close: Callable[[], None] = lambda: None
        self.closed = False
        self._out, self._sent = b"", 0
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)  # OSError: see LOCAL_ERRORS
        self.sock.setblocking(False)

    @property
    def written(self) -> bool:
        return self._sent == len(self._out)

    def connect(self, done: Callable[[OSError | None], None]) -> None:
        """Call `done` once, from the loop, with what stood in the way."""
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            self.loop.call_soon(self._connected, done, code)
            return
        self.loop.add_writer(self.sock, self._connected, done, None)

    def _connected(self, done: Callable[[OSError | None], None], code: int | None) -> None:
        if self.closed:
            return
        self.loop.remove_writer(self.sock)
        if code is None:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close()
            done(OSError(code, "connect"))
            return
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop.add_reader(self.sock, self._readable)
        done(None)

    def stale(self) -> bool:
        """Whether the other side has ended this idle connection; what is unread counts as well."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.closed
        except OSError:
            return True
        return True

    def request(self, method: str, target: str, headers: Headers, body: bytes, exchange: Exchange) -> None:
        self.exchange = exchange
        fields = [("Host", f"{self.address[0]}:{self.address[1]}"), *headers]
        if method == "POST":
            fields.append(("Content-Length", str(len(body))))
        parts = [self.http.send(h11.Request(method=method, target=target, headers=fields))]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self._out, self._sent = b"".join(p for p in parts if p), 0
        self._write()

    def _write(self) -> None:
        try:
            self._sent += self.sock.send(memoryview(self._out)[self._sent:])
        except BlockingIOError:
            pass
        except OSError:
            self._lose()
            return
        if self.written:
            self.loop.remove_writer(self.sock)
        else:
            self.loop.add_writer(self.sock, self._write)

    def _readable(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if self.exchange is None:  # an end, or bytes that nobody asked for
            self.close()
            return
        try:
            self.http.receive_data(data)
            self._events()
        except h11.RemoteProtocolError:
            self._lose()
            return
        if not data and not self.closed:
            self._lose()

    def _events(self) -> None:
        while (exchange := self.exchange) is not None:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                exchange.head(event.status_code, {k.decode("latin-1"): v.decode("latin-1")
                                                  for k, v in event.headers})
            elif isinstance(event, h11.Data):
                exchange.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._ended(exchange)
            elif isinstance(event, h11.ConnectionClosed):
                self._lose()

    def _ended(self, exchange: Exchange) -> None:
        self.exchange = None
        again = self.written and self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if again and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
        else:
            self.close()
        exchange.end()

    def _lose(self) -> None:
        exchange, written = self.exchange, self.written
        self.close()
        if exchange is not None:
            exchange.lost(written)

    def close(self) -> None:
        """End the connection; its exchange hears no more."""
        if self.closed:
            return
        self.closed, self.exchange = True, None
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.on_close()
