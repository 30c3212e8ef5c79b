"""The second address: HTTP/1.1, one call a connection, for those who run the courier.

Callers are bounded in number, bytes and time: one that sends nothing, or half a call, is closed and takes no
answer of another's.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.accepting import Accepting
from madderbeam.transport.reading import NOTHING, read

CALLERS = 32  # at once; one more ends the oldest
WHOLE_S = 2.0  # a call must be whole within this
MAX_CALL = 1 << 13  # bytes of one call
log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Answer:
    """What a call is answered: the status says yes (2xx) or no."""

    status: int
    text: str = ""

    def encode(self) -> bytes:
        """The response as it is sent."""
        body = self.text.encode()
        head = (
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


NOT_YET = Answer(503, "not ready\n")


@dataclass
class Request:
    """httptools' callbacks for one call."""

    target: bytes = b""
    body: bytes = b""
    whole: bool = False
    parser: httptools.HttpRequestParser | None = field(init=False)

    def __post_init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """A part of the target was received."""
        self.target += url

    def on_body(self, data: bytes) -> None:
        """A part of the body was received."""
        self.body += data

    def on_message_complete(self) -> None:
        """The call was received in full."""
        self.whole = True


class Caller:
    """One caller's connection."""

    def __init__(self, server: ControlServer, sock: Socket) -> None:
        self.server, self.sock, self.network = server, sock, server.network
        self.request = Request()
        self.bytes, self.unsent = 0, b""
        self.timer = server.loop.call_later(WHOLE_S, self.close)
        self.network.on_readable(sock, self._readable)

    def _readable(self) -> None:
        try:
            data = read(self.sock)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = NOTHING
        if not data:
            self.close()
            return
        self.bytes += len(data)
        try:
            if self.bytes > self.server.most:
                raise httptools.HttpParserError("call too large")
            if self.request.parser is not None:
                self.request.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.request.whole:
                self._answer(Answer(400, f"a call that can't be read: {error}\n"))
                return
        if self.request.whole:
            self._answer(self.server.answer(self.request))

    def _answer(self, answer: Answer) -> None:
        self.network.off_readable(self.sock)
        self.unsent = answer.encode()
        self._write()

    def _write(self) -> None:
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()
            return
        if self.unsent:
            self.network.on_writable(self.sock, self._write)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; the caller is forgotten."""
        self.timer.cancel()
        self.request.parser = None  # they hold each other: the collector would have to find them
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()
        self.server.callers.pop(self, None)


class ControlServer:
    """Takes calls; `act(method, path, body)` gives each its answer, at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        act: Callable[[str, str, bytes], Answer] = lambda method, path, body: NOT_YET,
    ) -> None:
        self.loop, self.network, self.act = loop, network, act
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.most = MAX_CALL
        self.spare: Callable[[], bool] = lambda: False  # frees a descriptor, if there is one
        self.accepting = Accepting(loop, network, self._took, self._make_room, "caller")

    def listen(self, address: Address) -> int:
        """The port; OSError if the address can't be had."""
        return self.accepting.listen(address)

    @property
    def sock(self) -> Socket | None:
        """The listening socket, None if there is none."""
        return self.accepting.sock

    def _took(self, sock: Socket) -> None:
        if len(self.callers) >= CALLERS:
            next(iter(self.callers)).close()
        self.callers[Caller(self, sock)] = None

    def _make_room(self) -> bool:
        """No descriptor is left: an older caller's is had, or one that the courier can spare."""
        if not self.callers:
            return self.spare()
        next(iter(self.callers)).close()
        return True

    def answer(self, request: Request) -> Answer:
        """What the call is answered; nothing that it asks ends the process."""
        try:
            assert request.parser is not None
            method = request.parser.get_method().decode("ascii", "replace")
            path = request.target.decode("ascii", "replace").partition("?")[0]
            return self.act(method, path, request.body)
        except Exception:
            log.exception("a call failed")
            return Answer(500, "internal error\n")

    def close(self) -> None:
        """Stop listening and close all callers' connections."""
        self.accepting.close()
        for caller in list(self.callers):
            caller.close()
