"""The RESP2 server that clients hand messages in at."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import hiredis

MAX_BODY = 64 * 1024
MAX_REQUEST = 4 * MAX_BODY  # bytes of one unfinished request; over this its framing is given up
WORD = re.compile(rb"[\x21-\x7e]{1,256}")
NOTHING = object()
log = logging.getLogger(__name__)


class BadRequest(ValueError):
    """What is wrong with a request, for its -ERR."""


@dataclass(frozen=True)
class Put:
    """A message as it is handed in."""

    id: str
    order: int  # what messages of an ordered class share, 0 if nothing
    cls: str
    tenant: str | None
    life_ms: int
    dest: int
    key: str
    resubmitted: bool
    body: bytes


def _number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise BadRequest(f"{name}: must be a whole number")
    return int(value)


def order_key(text: bytes) -> int:
    """Any text as a number that is the same after a restart; zeros stand for none."""
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def parse_put(args: list[bytes]) -> Put:
    """The arguments of MSG.PUT."""
    if len(args) != 4:
        raise BadRequest("wrong number of arguments for 'MSG.PUT'")
    order, ident, named, body = args
    if not WORD.fullmatch(ident):
        raise BadRequest("id: must be printable characters")
    if len(body) > MAX_BODY:
        raise BadRequest("body: over 65536 bytes")
    try:
        fields = dict(pair.split("=", 1) for pair in named.decode().split(",") if pair)
    except ValueError:
        raise BadRequest("fields: must be name=value, with commas between") from None
    key = fields.get("k", "")
    if key and not WORD.fullmatch(key.encode()):
        raise BadRequest("k: must be printable characters")
    if "c" not in fields:
        raise BadRequest("c: lacks")
    return Put(ident.decode(), order_key(order), fields["c"], fields.get("t"), _number(fields, "d"),
               _number(fields, "dest"), key, fields.get("r") == "1", body)


class Reply:
    """The place of one answer; answers leave in the order of their requests."""

    def __init__(self, client: Client) -> None:
        self.client, self.text = client, b""

    @property
    def wanted(self) -> bool:
        return not self.client.gone

    def send(self, text: bytes) -> None:
        if not self.text:
            self.text = text
            self.client.flush()


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.pending: deque[Reply] = deque()
        self.unread = 0
        self.gone = self.closing = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True
        self.server.left(self)

    def eof_received(self) -> bool:
        """A client that has ended its sending still gets the answers that it waits for."""
        self.closing = True
        return bool(self.pending)

    def pause_writing(self) -> None:
        self.transport.pause_reading()  # one that does not read its answers is not read from either

    def resume_writing(self) -> None:
        self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.server.touch(self)
        self.reader.feed(data)
        self.unread += len(data)
        try:
            while (request := self.reader.gets()) is not NOTHING:
                self.unread = 0
                self._handle(request)
            if self.unread > MAX_REQUEST:
                raise hiredis.ProtocolError("request too large")
        except hiredis.ProtocolError as error:  # where the next request begins can't be known any more
            self.closing = True
            self._reply().send(b"-ERR Protocol error: %s\r\n" % _line(str(error)))

    def _reply(self) -> Reply:
        self.pending.append(Reply(self))
        return self.pending[-1]

    def _handle(self, request: object) -> None:
        reply = self._reply()
        if not isinstance(request, list) or not request or not all(isinstance(a, bytes) for a in request):
            reply.send(b"-ERR expected an array of bulk strings\r\n")
            return
        name = request[0].upper()
        if name == b"PING" and len(request) <= 2:
            reply.send(b"$%d\r\n%s\r\n" % (len(request[1]), request[1]) if request[1:] else b"+PONG\r\n")
        elif name == b"MSG.PUT":
            try:
                self.server.put(parse_put(request[1:]), reply)
            except BadRequest as error:
                log.warning("a message was turned down: %s", error)
                reply.send(b"-ERR %s\r\n" % _line(str(error)))
        elif name == b"QUIT":
            self.closing = True
            reply.send(b"+OK\r\n")
        else:
            reply.send(b"-ERR unknown command\r\n")

    def flush(self) -> None:
        out = []
        while self.pending and self.pending[0].text:
            out.append(self.pending.popleft().text)
        if out and not self.gone:
            self.transport.write(b"".join(out))
        if self.closing and not self.pending:
            self.transport.close()

    @property
    def between_requests(self) -> bool:
        return not self.pending and not self.unread

    def finish(self) -> None:
        """Close once nothing is pending."""
        if self.between_requests:
            self.transport.close()


def _line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:200]


class ClientServer:
    """Accepts clients; `put` takes what they hand in."""

    def __init__(self, put: Callable[[Put, Reply], None], max_clients: int) -> None:
        self.put, self.max_clients = put, max_clients
        self.clients: dict[Client, None] = {}  # the longest unused first
        self.server: asyncio.Server | None = None
        self.ending = False

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Client(self), host, port, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    def joined(self, client: Client) -> None:
        self.clients[client] = None
        if len(self.clients) > self.max_clients:  # open files must stay under the limit
            spare = next((c for c in self.clients if c.between_requests), client)
            spare.transport.close()

    def left(self, client: Client) -> None:
        self.clients.pop(client, None)

    def touch(self, client: Client) -> None:
        if client in self.clients:
            self.clients[client] = self.clients.pop(client)

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close those between requests: one with a request unanswered would lose it."""
        for client in list(self.clients):
            client.finish()
