"""The connection between a primary and its standby: the primary opens it, each side proves its key.

    standby  nonce   [version, its nonce]
    primary  hello   [version, key's name, its nonce, row, proof]
    standby  welcome, fenced, refused or full: [key's name, row, proof], the first reply to the hello

All further frames are [channel, row] in the mesh's framing (transport/mesh/frames.py).
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

from madderbeam.membership.values import Row
from madderbeam.ports import Address, Network, Socket
from madderbeam.replication import keys
from madderbeam.replication.errors import KeyUnfit, NotProven
from madderbeam.replication.messages import VERSION
from madderbeam.transport.accepting import Accepting
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.counters import Counters
from madderbeam.transport.mesh.frames import (
    MAX_STREAM_FRAME_BYTES,
    InvalidFrame,
    pack_link_frame,
    unpack_link_frame,
)

MAX_UNSENT_BYTES = 4 << 20  # queued on one connection; any more closes it
MAX_HANDSHAKE_BYTES = 4096  # of a nonce, or of a hello, whose sender has proved nothing yet
HANDSHAKE_TIMEOUT_S = 2.0  # for each side's first message
# The delay before a new attempt to connect is BASE_BACKOFF_S * 2**attempts, at most MAX_BACKOFF_S.
BASE_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
MAX_UNAUTHENTICATED = 8  # connections; a further one closes the oldest of them
PRIMARY, STANDBY = "owner", "standby"
ReadKeys = Callable[[], keys.Keys]  # the key file's current content; KeyUnfit, OSError
log = logging.getLogger(__name__)


def _unpack(data: bytes) -> tuple[str, Row]:
    """Channel and row of a frame; the mesh's timestamp is not used here."""
    channel, row, _ = unpack_link_frame(data)
    return channel, row


def _require_fields(row: Row, count: int) -> Row:
    if len(row) != count:
        raise InvalidFrame("broken", f"{len(row)} fields, expected {count}")
    return row


def _require_version(version: object) -> None:
    if version != VERSION:
        raise InvalidFrame("version", f"version: must be {VERSION}, not {version!r:.40}")


class PrimaryLink:
    """The primary's connection, reopened whenever it is lost.

    `hello_row()` returns the row of the hello, `on_message(channel, row)` gets each message, `on_down()` is
    called when an authenticated connection has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        silent_s: float,
        read_keys: ReadKeys,
        hello_row: Callable[[], Row],
        on_message: Callable[[str, Row], None],
        on_down: Callable[[], None],
    ) -> None:
        """`silent_s`: without a byte received for this long the connection is closed."""
        self.loop, self.network, self.address, self.silent_s = loop, network, address, silent_s
        self.read_keys, self.hello_row, self.on_message, self.on_down = (
            read_keys,
            hello_row,
            on_message,
            on_down,
        )
        self.counters = Counters(loop)
        self.connection: Connection | None = None
        self.is_up = self.is_failure_logged = self.is_closed = False
        self.attempts = 0
        self.checked_bytes = -1
        self.timer: asyncio.TimerHandle | None = None
        self.nonce = self.challenge = b""

    def start(self) -> None:
        """Begin to connect."""
        self.timer = self.loop.call_soon(self._dial)  # type: ignore[assignment]

    def send(self, channel: str, row: Row) -> None:
        """Send a message in order; without an authenticated connection it is dropped."""
        if self.is_up and self.connection is not None:
            self.connection.send(pack_link_frame(channel, row))

    def drop(self, reason: str = "") -> None:
        """Close the connection and open a new one."""
        if self.connection is not None:
            self._on_lost(reason)

    def close(self, flush: bool = False) -> None:
        """Close the connection for good; with `flush`, after sending what is queued."""
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            (self.connection.finish if flush else self.connection.close)()
            self.connection = None

    def _dial(self) -> None:
        self.attempts += 1
        self.timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._on_lost, f"no reply within {HANDSHAKE_TIMEOUT_S:g} s"
        )
        try:
            self.connection = Connection(
                self.loop, self.network, self.address, self.counters, MAX_UNSENT_BYTES
            )
        except OSError as error:
            self._on_lost(f"cannot create a socket: {error.strerror}")
            return
        self.connection.on_frame, self.connection.on_lost = self._on_challenge, self._on_lost
        self.connection.splitter.max_bytes = MAX_HANDSHAKE_BYTES
        self.connection.dial()

    def _on_challenge(self, data: bytes) -> None:
        assert self.connection is not None
        try:
            channel, row = _unpack(data)
            version, challenge = _require_fields(row, 2)
            _require_version(version)
            if channel != "nonce" or not isinstance(challenge, bytes) or len(challenge) != keys.NONCE_BYTES:
                raise InvalidFrame("broken", "expected a nonce")
            name, key = next(iter(self.read_keys().items()))
        except (InvalidFrame, KeyUnfit, OSError) as error:
            self._on_lost(error.line() if isinstance(error, KeyUnfit) else str(error))
            return
        self.challenge, self.nonce = challenge, os.urandom(keys.NONCE_BYTES)
        hello_row = self.hello_row()
        proof = keys.compute_proof(key, PRIMARY, challenge, self.nonce, "hello", hello_row)
        self.connection.on_frame = self._on_reply
        self.connection.splitter.max_bytes = MAX_STREAM_FRAME_BYTES
        self.connection.send(pack_link_frame("hello", [VERSION, name, self.nonce, hello_row, proof]))

    def _on_reply(self, data: bytes) -> None:
        assert self.connection is not None
        try:
            channel, fields = _unpack(data)
            name, row, proof = _require_fields(fields, 3)
            if not isinstance(row, list):
                raise InvalidFrame("broken", "row: must be a list")
            keys.verify_proof(
                self.read_keys(), name, STANDBY, self.challenge, self.nonce, channel, row, proof
            )
        except (InvalidFrame, KeyUnfit, NotProven, OSError) as error:
            self._on_lost(error.line() if isinstance(error, (KeyUnfit, NotProven)) else str(error))
            return
        self.is_up, self.is_failure_logged = True, False
        if channel == "welcome":  # one that is refused dials ever more slowly
            self.attempts = 0
        self.connection.on_frame = self._on_frame
        self.checked_bytes = -1
        self._check_silence()
        if channel == "welcome":
            log.info("standby: connected to %s:%d", *self.address)
        self.on_message(channel, row)

    def _on_frame(self, data: bytes) -> None:
        try:
            channel, row = _unpack(data)
        except InvalidFrame as error:
            self._on_lost(str(error))
            return
        self.on_message(channel, row)

    def _check_silence(self) -> None:
        """Close the connection if no byte was received since the last check."""
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is None or self.is_closed:
            return
        if self.connection.received_bytes == self.checked_bytes:
            self._on_lost(f"no data received for {self.silent_s:g} s")
            return
        self.checked_bytes = self.connection.received_bytes
        self.timer = self.loop.call_later(self.silent_s, self._check_silence)

    def _on_lost(self, reason: str) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        if self.timer is not None:
            self.timer.cancel()
        if self.is_closed:
            return
        if reason and not self.is_failure_logged:
            log.warning("standby: no connection to %s:%d: %s; retrying", *self.address, reason)
            self.is_failure_logged = True
        backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(self.attempts, 10))
        self.timer = self.loop.call_later(backoff_s, self._dial)
        if self.is_up:
            self.is_up = False
            self.on_down()


class _AcceptedConnection:
    """One connection accepted by the standby."""

    def __init__(self, listener: ReplicationListener, sock: Socket, link: int) -> None:
        self.listener, self.link = listener, link
        self.connection = Connection(
            listener.loop, listener.network, ("(came)", 0), listener.counters, MAX_UNSENT_BYTES, sock
        )
        self.connection.on_frame, self.connection.on_lost = self._on_hello, self._on_lost
        self.connection.splitter.max_bytes = MAX_HANDSHAKE_BYTES
        self.challenge, self.nonce, self.key = os.urandom(keys.NONCE_BYTES), b"", ("", b"")
        self.is_authenticated = self.has_replied = False
        self.checked_bytes = -1
        self.connection.send(pack_link_frame("nonce", [VERSION, self.challenge]))
        self.timer = listener.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._on_lost, f"no hello within {HANDSHAKE_TIMEOUT_S:g} s"
        )

    def _on_hello(self, data: bytes) -> None:
        try:
            channel, fields = _unpack(data)
            version, name, nonce, row, proof = _require_fields(fields, 5)
            _require_version(version)
            if channel != "hello" or not isinstance(nonce, bytes) or len(nonce) != keys.NONCE_BYTES:
                raise InvalidFrame("broken", "expected a hello")
            if not isinstance(row, list):
                raise InvalidFrame("broken", "row: must be a list")
            known_keys = self.listener.read_keys()
            keys.verify_proof(known_keys, name, PRIMARY, self.challenge, nonce, channel, row, proof)
        except (InvalidFrame, KeyUnfit, NotProven, OSError) as error:
            self.listener.counters.anomaly(
                "refused", error.line() if isinstance(error, (KeyUnfit, NotProven)) else str(error)
            )
            self._on_lost("")
            return
        self.nonce, self.key, self.is_authenticated = nonce, (name, known_keys[name]), True
        self.connection.on_frame = self._on_frame
        self.connection.splitter.max_bytes = MAX_STREAM_FRAME_BYTES
        self._check_silence()
        self.listener.on_hello(self.link, row)

    def send(self, channel: str, row: Row) -> None:
        """Send a message; the first one carries the proof of the standby's key."""
        if self.has_replied:
            self.connection.send(pack_link_frame(channel, row))
            return
        self.has_replied = True
        name, key = self.key
        proof = keys.compute_proof(key, STANDBY, self.challenge, self.nonce, channel, row)
        self.connection.send(pack_link_frame(channel, [name, row, proof]))

    def _on_frame(self, data: bytes) -> None:
        try:
            channel, row = _unpack(data)
        except InvalidFrame as error:
            self._on_lost(str(error))
            return
        self.listener.on_message(self.link, channel, row)

    def _check_silence(self) -> None:
        self.timer.cancel()
        if self.connection.received_bytes == self.checked_bytes:
            self._on_lost(f"no data received for {self.listener.silent_s:g} s")
            return
        self.checked_bytes = self.connection.received_bytes
        self.timer = self.listener.loop.call_later(self.listener.silent_s, self._check_silence)

    def _on_lost(self, reason: str) -> None:
        if reason and self.is_authenticated:
            log.warning("standby: the primary's connection has ended: %s", reason)
        self.close()
        if self.is_authenticated:
            self.listener.on_down(self.link)

    def close(self, flush: bool = False) -> None:
        """Close the connection; with `flush`, after sending what is queued."""
        self.timer.cancel()
        (self.connection.finish if flush else self.connection.close)()
        self.listener.links.pop(self.link, None)


class ReplicationListener:
    """The standby's listening socket and its connections, each known by a number, `link`.

    `on_hello(link, row)` reports an authenticated primary, `on_message(link, channel, row)` each of its
    messages, `on_down(link)` the end of its connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        silent_s: float,
        read_keys: ReadKeys,
        on_hello: Callable[[int, Row], None],
        on_message: Callable[[int, str, Row], None],
        on_down: Callable[[int], None],
    ) -> None:
        self.loop, self.network, self.silent_s = loop, network, silent_s
        self.read_keys, self.on_hello, self.on_message, self.on_down = (
            read_keys,
            on_hello,
            on_message,
            on_down,
        )
        self.counters = Counters(loop)
        self.links: dict[int, _AcceptedConnection] = {}
        self.last_link = 0
        self.accepting = Accepting(loop, network, self._on_accepted, lambda: False, "standby's owner")

    def listen(self, address: Address) -> int:
        """Start listening; returns the port. OSError if the address is not available."""
        return self.accepting.listen(address)

    def _on_accepted(self, sock: Socket) -> None:
        unauthenticated = [link for link in self.links.values() if not link.is_authenticated]
        if len(unauthenticated) >= MAX_UNAUTHENTICATED:
            unauthenticated[0].close()
        self.last_link += 1
        self.links[self.last_link] = _AcceptedConnection(self, sock, self.last_link)

    def send(self, link: int, channel: str, row: Row) -> None:
        """Send a message on a connection, if it still exists."""
        if (connection := self.links.get(link)) is not None:
            connection.send(channel, row)

    def drop(self, link: int, flush: bool = False) -> None:
        """Close a connection without reporting its end; with `flush`, after sending what is queued."""
        if (connection := self.links.get(link)) is not None:
            connection.close(flush)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.accepting.close()
        for link in list(self.links.values()):
            link.close()
