"""One HTTP/1.1 client connection on a non-blocking socket, httptools (llhttp) for reading answers.

A courier must know whether a request's last byte was written: before that, the call has provably never run.
asyncio's transports hide it (a failed write looks like a whole one), so the socket is driven here.
Nothing is ever sent again by itself, and a connection on which anything odd came is never used again.
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

Headers = Sequence[tuple[str, str]]
LOCAL_ERRORS = NO_FILES | {errno.EADDRNOTAVAIL}
MAX_HEAD = 1 << 15  # bytes of an answer before its head is whole
MAX_INTERIM = 16  # 1xx answers ahead of one


class Exchange:
    """What one request is told of its answer; the methods here ignore all."""

    def held_back(self) -> bool:
        """There is room for a further part of the request: whether none may be written any more, and the
        connection is closed. Before its last byte a call can't begin."""
        return False

    @property
    def wanted(self) -> bool:
        """Whether all that it carries may still be written."""
        return True

    def written_whole(self) -> None:
        """The request's last byte has been handed to the system."""

    def begun(self) -> None:
        """A first part of the answer has come, not all of it, and not of a 1xx one ahead of it."""

    def first_line(self, status: int) -> None:
        """The status line has come whole, of the answer itself and not of a 1xx one ahead of it."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """The headers are whole."""

    def data(self, data: bytes) -> None:
        """A part of the body has come."""

    def end(self, noise: bool) -> None:
        """The answer is whole; noise: what came right behind it is no answer."""

    def lost(self, written: bool) -> None:
        """The connection broke or ended first; written: the request's last byte had been written."""

    def spoilt(self) -> None:
        """The answer can't be read; the connection is closed."""
        self.lost(True)


class Answer:
    """httptools' callbacks for one answer; what follows it is only noted."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange, self.parser = exchange, httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.interim = self.status = 0
        self.part = self.begun = self.headed = self.whole = self.again = False
        self.early = False  # it began before its request was written whole: it tells of no run
        self.more = self.copied = False  # something follows; and it is an answer too
        self.head_bytes = 0

    def let_go(self) -> None:
        """Nothing more is read of it: it and its parser hold each other."""
        del self.parser

    @property
    def framed(self) -> bool:
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def on_message_begin(self) -> None:
        self.part, self.more = True, self.whole
        if not self.more:
            self.headers = {}

    def on_status(self, _: bytes) -> None:
        self.copied = self.more

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.more and not self.headed:  # what trails the body says nothing of the outcome
            key, text = name.decode("latin-1").lower(), value.decode("latin-1")
            self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        if self.more or self.parser.get_status_code() < 200:
            return
        self.headed = True
        self.exchange.head(self.status, self.headers)

    def on_body(self, data: bytes) -> None:
        if self.headed and not self.more:
            self.exchange.data(data)

    def on_message_complete(self) -> None:
        if self.more:
            return
        if not self.headed:
            self.interim, self.part = self.interim + 1, False
            return
        self.whole, self.again = True, self.parser.should_keep_alive()

    def feed(self, data: memoryview) -> bool:
        """Whether it can still be read."""
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.more = self.more or self.whole
            return self.whole
        if not self.headed:
            self.head_bytes += len(data)
        # A 1xx one tells that the answer is still to come.
        if self.part and not self.begun and not self.whole and self.parser.get_status_code() // 100 != 1:
            self.begun = True
            self.exchange.begun()
        return self.interim <= MAX_INTERIM and self.head_bytes <= MAX_HEAD

    def _parse(self, data: memoryview) -> None:
        """By lines up to the first one of the answer itself, which tells nothing until it is whole."""
        text, at = b"" if self.status else bytes(data), 0
        while not self.status and at < len(text):
            end = text.find(b"\n", at) + 1
            self.parser.feed_data(text[at : end or len(text)])
            at = end or len(text)
            status = self.parser.get_status_code()
            if end and status >= 200:
                self.status = status
                if not self.early:
                    self.exchange.first_line(status)
        if at < len(data):
            self.parser.feed_data(data[at:])


def nothing() -> None:
    """Nobody wants to hear of it."""


class Connection(Dialed):
    """Carries one exchange at a time. One that is closed refers to nothing that refers to it: a courier that
    runs for days must not wait for the collector, and the request that it carried is let go with it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, address: Address, sock: Socket | None = None
    ) -> None:
        """`sock`: one that is connected, or about to be, in place of a new one."""
        super().__init__(loop, network, address, sock)  # OSError: see LOCAL_ERRORS
        self.answer: Answer | None = None
        self.on_close: Callable[[], None] = nothing
        self.reading = False
        self.unasked = False  # bytes came ahead of the request: what they tell is no answer to it
        self._out, self._sent = b"", 0

    @property
    def exchange(self) -> Exchange | None:
        return self.answer.exchange if self.answer else None

    @property
    def written(self) -> bool:
        return self._sent == len(self._out)

    @property
    def midway(self) -> bool:
        """A part of the answer has come, or nothing is asked yet though it is connected."""
        return self.connected and (self.answer is None or self.answer.part)

    @property
    def rest(self) -> bytes:
        """What is still to be written of the request."""
        return self._out[self._sent :]

    def resume(self, rest: bytes, exchange: Exchange) -> None:
        """Go on with a request that another process began; nothing of its answer had been read."""
        self.connected, self.answer = True, Answer(exchange)
        self.network.on_readable(self.sock, self._readable)
        self._out, self._sent = rest, 0
        if rest:
            self._more()

    def request(self, method: str, target: str, headers: Headers, body: bytes, exchange: Exchange) -> None:
        """Send one; what comes from clients into its headers was checked to be printable when it came."""
        self.answer = Answer(exchange)
        self.answer.early = self.unasked
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.address[0]}:{self.address[1]}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._out, self._sent = "\r\n".join([*lines, "", ""]).encode("latin-1") + body, 0
        self._write()

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
            self.look()  # an answer may have come ahead of the end; a wait that it tells binds
            self._lose()
            return
        if self.written:
            self._out, self._sent = b"", 0  # it may have tens of kilobytes, and the connection is kept
            self.network.off_writable(self.sock)
            if self.answer is not None:
                self.answer.exchange.written_whole()
        else:
            self.network.on_writable(self.sock, self._more)

    def look(self) -> None:
        """Read what has come by now, if anything has."""
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
        if answer is None:  # an end, or bytes that nobody asked for
            self.close()
            return
        answer.early = answer.early or not self.written
        self.reading = True
        try:
            self._read(answer, data)
        finally:
            self.reading = False
            if self.answer is not answer:
                answer.let_go()

    def _read(self, answer: Answer, data: memoryview) -> None:
        if not data:
            # With no length and no chunks, the connection's end is the answer's.
            if answer.headed and not answer.framed:
                self._ended(answer)
            else:
                self._lose()
        elif not answer.feed(data):
            self._spoil()
        elif answer.whole and not self.closed:
            self._ended(answer)

    def _ended(self, answer: Answer) -> None:
        if answer.early and answer.status < 400:
            self._spoil()
            return
        self.answer = None
        if not self.written or not answer.again or answer.more:
            self.close()
        answer.exchange.end(answer.more and not answer.copied)

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
        """End the connection; its exchange hears no more."""
        if self.closed:
            return
        self.closed, answer, self.answer = True, self.answer, None
        if answer is not None and not self.reading:
            answer.let_go()
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()
        on_close, self.on_close = self.on_close, nothing
        on_close()
