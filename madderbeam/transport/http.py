"""One HTTP/1.1 client connection on a non-blocking socket; httptools (llhttp) parses the responses.

A courier must know whether a request's last byte was written: before that, the call has provably never run.
asyncio's transports hide this (a failed write looks like a complete one), so the socket is used directly.
Nothing is retried here, and a connection that received anything unexpected is not used again.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Sequence

import httptools

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.descriptors import NO_FILES
from madderbeam.transport.dialing import Dialed
from madderbeam.transport.reading import NOTHING, read
from madderbeam.transport.response_ledger import UNSOLICITED_KEPT_BYTES, ResponseLedger

Headers = Sequence[tuple[str, str]]
LOCAL_ERRORS = NO_FILES | {errno.EADDRNOTAVAIL}
MAX_HEAD = 1 << 15  # bytes of a response until its headers are complete
MAX_INTERIM = 16  # 1xx responses ahead of one


class Exchange:
    """The events of one request and its response; the methods here ignore them all."""

    def held_back(self) -> bool:
        """The socket takes a further part of the request: whether it must not be written any more.

        The connection is closed then. A call can't begin before its last byte.
        """
        return False

    @property
    def wanted(self) -> bool:
        """Whether the whole request may still be written."""
        return True

    def written_whole(self) -> None:
        """The request's last byte has been handed to the kernel."""

    def begun(self) -> None:
        """A first part of the response has been received, but not all of it; 1xx responses do not count."""

    def first_line(self, status: int) -> None:
        """The status line has been received; 1xx responses do not count."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """The headers are complete."""

    def data(self, data: bytes) -> None:
        """A part of the body has been received."""

    def end(self, noise: bool) -> None:
        """The response is complete; `noise`: bytes followed it that are no response."""

    def lost(self, written: bool) -> None:
        """The connection broke or ended first; `written`: the request's last byte had been written."""

    def spoilt(self) -> None:
        """The response is malformed; the connection is closed."""
        self.lost(True)


class ResponseReader:
    """httptools' callbacks for one response; what follows it is only noted."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange, self.parser = exchange, httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.trailing_headers: dict[str, str] = {}  # of the responses that follow it
        self.interim_count = 0  # 1xx responses ahead of it
        self.status = 0
        self.head_bytes = 0
        self.has_started = False  # a part of it, or of a 1xx one ahead of it, has come
        self.is_start_reported = False
        self.has_headers = False
        self.is_complete = False
        self.may_keep_alive = False
        self.began_early = False  # before its request was written whole: it does not show that this has run
        self.has_trailing_data = False
        self.is_trailing_response = False  # what follows is a response, too
        self.trailing_status = 0  # of the newest response that follows

    def release(self) -> None:
        """Break the reference cycle with the parser; nothing more is read."""
        del self.parser

    @property
    def has_framing(self) -> bool:
        """Whether its own headers tell where it ends."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def on_message_begin(self) -> None:
        """Callback of httptools."""
        self.has_started, self.has_trailing_data = True, self.is_complete
        if not self.has_trailing_data:
            self.headers = {}

    def on_status(self, _: bytes) -> None:
        """Callback of httptools."""
        self.is_trailing_response = self.has_trailing_data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Callback of httptools. Trailers behind the body are ignored."""
        if self.has_headers and not self.has_trailing_data:
            return
        headers = self.trailing_headers if self.has_trailing_data else self.headers
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        headers[key] = f"{headers[key]}, {text}" if key in headers else text

    def on_headers_complete(self) -> None:
        """Callback of httptools."""
        if self.has_trailing_data:
            self.trailing_status = self.parser.get_status_code()
        if self.has_trailing_data or self.parser.get_status_code() < 200:
            return
        self.has_headers = True
        self.exchange.head(self.status, self.headers)

    def on_body(self, data: bytes) -> None:
        """Callback of httptools."""
        if self.has_headers and not self.has_trailing_data:
            self.exchange.data(data)

    def on_message_complete(self) -> None:
        """Callback of httptools."""
        if self.has_trailing_data:
            return
        if not self.has_headers:
            self.interim_count, self.has_started = self.interim_count + 1, False
            return
        self.is_complete, self.may_keep_alive = True, self.parser.should_keep_alive()

    def feed(self, data: memoryview) -> bool:
        """Parse what has come; return whether the response can still be read."""
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.has_trailing_data = self.has_trailing_data or self.is_complete
            return self.is_complete
        if not self.has_headers:
            self.head_bytes += len(data)
        self._report_start()
        return self.interim_count <= MAX_INTERIM and self.head_bytes <= MAX_HEAD

    def _report_start(self) -> None:
        """Report the first part of the response itself, unless it is complete; a 1xx one is not it."""
        is_interim = self.parser.get_status_code() // 100 == 1
        if self.has_started and not self.is_start_reported and not self.is_complete and not is_interim:
            self.is_start_reported = True
            self.exchange.begun()

    def _parse(self, data: memoryview) -> None:
        """Parse by lines up to the status line of the response itself, which is reported once it is whole."""
        text, at = b"" if self.status else bytes(data), 0
        while not self.status and at < len(text):
            end = text.find(b"\n", at) + 1
            self.parser.feed_data(text[at : end or len(text)])
            at = end or len(text)
            status = self.parser.get_status_code()
            if end and status >= 200:
                self.status = status
                if not self.began_early:
                    self.exchange.first_line(status)
        if at < len(data):
            self.parser.feed_data(data[at:])


class _Head(Exchange):
    """Keeps the headers of a response."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}

    def head(self, status: int, headers: dict[str, str]) -> None:
        """The headers are complete."""
        self.headers = headers


def headers_of(data: bytes) -> dict[str, str]:
    """Return the headers of the response with which these bytes begin; {} if they are no whole head."""
    head = _Head()
    reader = ResponseReader(head)
    reader.feed(memoryview(data))
    reader.release()
    return head.headers


def do_nothing() -> None:
    """The default callback."""


class Connection(Dialed):
    """Carries one exchange at a time.

    A closed connection is part of no reference cycle, so that it and the request that it carried are freed at
    once and not by the garbage collector.
    """

    names_requests = False  # a response does not tell which request it answers

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, address: Address, sock: Socket | None = None
    ) -> None:
        """`sock`: a socket that is connected or connecting; by default a new one. OSError: LOCAL_ERRORS."""
        super().__init__(loop, network, address, sock)
        self.answer: ResponseReader | None = None
        self.on_close: Callable[[], None] = do_nothing
        self.ledger = ResponseLedger()
        self.unsolicited = b""  # the first bytes that came with no request in flight
        self.has_trailing_data = False  # more than one response came to the last request
        self.trailing_headers: dict[str, str] = {}  # of the further ones
        self.trailing_status = 0  # of the newest of these
        self.reading = False
        self._out, self._sent = b"", 0

    @property
    def exchange(self) -> Exchange | None:
        """The current exchange, if any."""
        return self.answer.exchange if self.answer else None

    @property
    def written(self) -> bool:
        """Whether nothing of a request is left to be written."""
        return self._sent == len(self._out)

    @property
    def midway(self) -> bool:
        """Whether a part of the response has been received, or it is connected without a request."""
        return self.connected and (self.answer is None or self.answer.has_started)

    @property
    def rest(self) -> bytes:
        """The part of the request that is not written yet."""
        return self._out[self._sent :]

    def resume(self, rest: bytes, exchange: Exchange) -> None:
        """Continue a request that another process began, and of whose response nothing has been read."""
        self.connected, self.answer = True, ResponseReader(exchange)
        self.network.on_readable(self.sock, self._readable)
        self._out, self._sent = rest, 0
        if rest:
            self._more()

    def request(self, method: str, target: str, headers: Headers, body: bytes, exchange: Exchange) -> None:
        """Send a request. Header values that come from clients were checked to be printable at acceptance."""
        self.answer = ResponseReader(exchange)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.address[0]}:{self.address[1]}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._out, self._sent = "\r\n".join([*lines, "", ""]).encode("latin-1") + body, 0
        self._write()

    def read_rejection(self, exchange: Exchange) -> None:
        """Read the response that came ahead of a request, which is not written: it is no answer to it."""
        self.answer = ResponseReader(exchange)
        self.answer.began_early = True

    def read_another(self, exchange: Exchange) -> None:
        """Read one more response to a request whose first one was not its own."""
        self.answer = ResponseReader(exchange)

    def _more(self) -> None:
        exchange = self.exchange
        if exchange is None or not exchange.held_back():
            self._write()

    def _write(self) -> None:
        try:
            self._sent += self.sock.send(memoryview(self._out)[self._sent :])
        except BlockingIOError:
            pass
        except OSError:
            self.look()  # a response may have come before the connection broke; its Retry-After counts
            self._lose()
            return
        if self.written:
            self._out, self._sent = b"", 0  # a kept connection does not hold a large request
            self.network.off_writable(self.sock)
            if self.answer is not None:
                self.answer.exchange.written_whole()
        else:
            self.network.on_writable(self.sock, self._more)

    def look(self) -> None:
        """Read what has been received by now, if anything has."""
        if self.connected and not self.closed and not self.reading:
            self._readable()

    def _readable(self) -> None:
        try:
            data = read(self.sock)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = NOTHING
        answer = self.answer
        if answer is None:  # the end of the connection, or unsolicited bytes
            self.unsolicited = bytes(data[:UNSOLICITED_KEPT_BYTES])
            self.abort() if data else self.close()
            return
        answer.began_early = answer.began_early or not self.written
        self.reading = True
        try:
            self._read(answer, data)
        finally:
            self.reading = False
            if self.answer is not answer:
                answer.release()

    def _read(self, answer: ResponseReader, data: memoryview) -> None:
        if not data:
            # Without Content-Length and chunks, the response ends with the connection.
            if answer.has_headers and not answer.has_framing:
                self._ended(answer)
            else:
                self._lose()
        elif not answer.feed(data):
            self._spoil()
        elif answer.is_complete and not self.closed:
            self._ended(answer)

    def _ended(self, answer: ResponseReader) -> None:
        if answer.began_early and answer.status < 400:
            self._spoil()
            return
        self.answer = None
        self.has_trailing_data, self.trailing_headers = answer.has_trailing_data, answer.trailing_headers
        self.trailing_status = answer.trailing_status
        if not self.written or answer.began_early or not answer.may_keep_alive or answer.has_trailing_data:
            self.close()
        answer.exchange.end(answer.has_trailing_data and not answer.is_trailing_response)

    def _spoil(self) -> None:
        exchange, written = self.exchange, self.written
        self.abort()
        if exchange is not None:
            exchange.spoilt() if written else exchange.lost(False)

    def _lose(self) -> None:
        exchange, written = self.exchange, self.written
        self.abort()
        if exchange is not None:
            exchange.lost(written)

    def close(self) -> None:
        """Close the connection; its exchange gets no further events."""
        if self.closed:
            return
        self.closed, answer, self.answer = True, self.answer, None
        if answer is not None and not self.reading:
            answer.release()
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()
        on_close, self.on_close = self.on_close, do_nothing
        on_close()
