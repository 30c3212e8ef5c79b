"""The connection between an owner and its standby: the owner makes it, each side proves its key.

    standby  nonce   [version, its nonce]
    owner    hello   [version, key's name, its nonce, row, proof]
    standby  welcome, fenced, refused or full: [row, proof], the first message behind the hello

From there on frames are those of the mesh: [channel, row], behind their length (transport/mesh/frames.py).
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
from madderbeam.transport.mesh.frames import InvalidFrame, pack_link_frame, unpack_link_frame

UNSENT = 4 << 20  # bytes that wait to be sent on one connection; what does not fit ends it
FIRST_S = 2.0  # for each side's first word
BACKOFF_S, BACKOFF_MOST_S = 0.05, 1.0  # before the owner's second attempt; doubled before each further one
ARRIVALS = 8  # connections that have not proven a key yet
OWNER, STANDBY = "owner", "standby"
Read = Callable[[], keys.Keys]  # the keys as the file has them now; KeyUnfit, OSError
log = logging.getLogger(__name__)


def _short(data: bytes) -> tuple[str, Row]:
    """Channel and row; the mesh's stamp says nothing here."""
    channel, row, _ = unpack_link_frame(data)
    return channel, row


def _fields(row: Row, count: int) -> Row:
    if len(row) != count:
        raise InvalidFrame("broken", f"{len(row)} fields where {count} are due")
    return row


def _version(told: object) -> None:
    if told != VERSION:
        raise InvalidFrame("version", f"version: must be {VERSION}, not {told!r:.40}")


class OwnerLink:
    """Kept up for good. `hello` gives the row to say; `got(channel, row)` takes what comes, `down()` is
    called once the connection is over."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        silent_s: float,
        read: Read,
        hello: Callable[[], Row],
        got: Callable[[str, Row], None],
        down: Callable[[], None],
    ) -> None:
        """silent_s: without a byte for so long the connection is given up."""
        self.loop, self.network, self.address, self.silent_s = loop, network, address, silent_s
        self.read, self.hello, self.got, self.down = read, hello, got, down
        self.counts = Counters(loop)
        self.connection: Connection | None = None
        self.up = self.told = self.closed = False
        self.tries = 0
        self.heard = -1
        self.timer: asyncio.TimerHandle | None = None
        self.nonce = self.challenge = b""

    def start(self) -> None:
        self.timer = self.loop.call_soon(self._dial)  # type: ignore[assignment]

    def send(self, channel: str, row: Row) -> None:
        """In order; nothing is sent where no connection is up."""
        if self.up and self.connection is not None:
            self.connection.send(pack_link_frame(channel, row))

    def drop(self, why: str = "") -> None:
        """End the connection and make a new one."""
        if self.connection is not None:
            self._lost(why)

    def close(self, flush: bool = False) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            (self.connection.finish if flush else self.connection.close)()
            self.connection = None

    def _dial(self) -> None:
        self.tries += 1
        self.timer = self.loop.call_later(FIRST_S, self._lost, f"no answer within {FIRST_S:g} s")
        try:
            self.connection = Connection(self.loop, self.network, self.address, self.counts, UNSENT)
        except OSError as error:
            self._lost(f"no socket: {error.strerror}")
            return
        self.connection.on_frame, self.connection.on_lost = self._challenged, self._lost
        self.connection.dial()

    def _challenged(self, data: bytes) -> None:
        assert self.connection is not None
        try:
            channel, row = _short(data)
            version, challenge = _fields(row, 2)
            _version(version)
            if channel != "nonce" or not isinstance(challenge, bytes) or len(challenge) != keys.NONCE:
                raise InvalidFrame("broken", "no nonce")
            name, key = next(iter(self.read().items()))
        except (InvalidFrame, KeyUnfit, OSError) as error:
            self._lost(error.line() if isinstance(error, KeyUnfit) else str(error))
            return
        self.challenge, self.nonce = challenge, os.urandom(keys.NONCE)
        said = self.hello()
        told = keys.proof(key, OWNER, challenge, self.nonce, "hello", said)
        self.connection.on_frame = self._answered
        self.connection.send(pack_link_frame("hello", [VERSION, name, self.nonce, said, told]))

    def _answered(self, data: bytes) -> None:
        assert self.connection is not None
        try:
            channel, both = _short(data)
            name, row, told = _fields(both, 3)
            if not isinstance(row, list):
                raise InvalidFrame("broken", "row: must be a list")
            keys.proven(self.read(), name, STANDBY, self.challenge, self.nonce, channel, row, told)
        except (InvalidFrame, KeyUnfit, NotProven, OSError) as error:
            self._lost(error.line() if isinstance(error, (KeyUnfit, NotProven)) else str(error))
            return
        self.up, self.told, self.tries = True, False, 0
        self.connection.on_frame = self._came
        self.heard = -1
        self._watch()
        if channel == "welcome":
            log.info("standby: connected to %s:%d", *self.address)
        self.got(channel, row)

    def _came(self, data: bytes) -> None:
        try:
            channel, row = _short(data)
        except InvalidFrame as error:
            self._lost(str(error))
            return
        self.got(channel, row)

    def _watch(self) -> None:
        """Nothing came in a whole turn: the other side is gone without a word."""
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is None or self.closed:
            return
        if self.connection.received_bytes == self.heard:
            self._lost(f"nothing came for {self.silent_s:g} s")
            return
        self.heard = self.connection.received_bytes
        self.timer = self.loop.call_later(self.silent_s, self._watch)

    def _lost(self, why: str) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        if self.timer is not None:
            self.timer.cancel()
        if self.closed:
            return
        if why and not self.told:
            log.warning("standby: no connection to %s:%d: %s; tried again", *self.address, why)
            self.told = True
        pause = min(BACKOFF_MOST_S, BACKOFF_S * 2 ** min(self.tries, 10))
        self.timer = self.loop.call_later(pause, self._dial)
        if self.up:
            self.up = False
            self.down()


class _Arrival:
    """One connection to the standby."""

    def __init__(self, port: StandbyPort, sock: Socket, number: int) -> None:
        self.port, self.number = port, number
        self.connection = Connection(port.loop, port.network, ("(came)", 0), port.counts, UNSENT, sock)
        self.connection.on_frame, self.connection.on_lost = self._first, self._lost
        self.challenge, self.nonce, self.key = os.urandom(keys.NONCE), b"", ("", b"")
        self.proven = self.answered = False
        self.heard = -1
        self.connection.send(pack_link_frame("nonce", [VERSION, self.challenge]))
        self.timer = port.loop.call_later(FIRST_S, self._lost, f"no hello within {FIRST_S:g} s")

    def _first(self, data: bytes) -> None:
        try:
            channel, fields = _short(data)
            version, name, nonce, row, told = _fields(fields, 5)
            _version(version)
            if channel != "hello" or not isinstance(nonce, bytes) or len(nonce) != keys.NONCE:
                raise InvalidFrame("broken", "no hello")
            if not isinstance(row, list):
                raise InvalidFrame("broken", "row: must be a list")
            known = self.port.read()
            keys.proven(known, name, OWNER, self.challenge, nonce, channel, row, told)
        except (InvalidFrame, KeyUnfit, NotProven, OSError) as error:
            self.port.counts.anomaly(
                "refused", error.line() if isinstance(error, (KeyUnfit, NotProven)) else str(error)
            )
            self._lost("")
            return
        self.nonce, self.key, self.proven = nonce, (name, known[name]), True
        self.connection.on_frame = self._came
        self._watch()
        self.port.hello(self.number, row)

    def send(self, channel: str, row: Row) -> None:
        if self.answered:
            self.connection.send(pack_link_frame(channel, row))
            return
        self.answered = True
        name, key = self.key
        told = keys.proof(key, STANDBY, self.challenge, self.nonce, channel, row)
        self.connection.send(pack_link_frame(channel, [name, row, told]))

    def _came(self, data: bytes) -> None:
        try:
            channel, row = _short(data)
        except InvalidFrame as error:
            self._lost(str(error))
            return
        self.port.got(self.number, channel, row)

    def _watch(self) -> None:
        self.timer.cancel()
        if self.connection.received_bytes == self.heard:
            self._lost(f"nothing came for {self.port.silent_s:g} s")
            return
        self.heard = self.connection.received_bytes
        self.timer = self.port.loop.call_later(self.port.silent_s, self._watch)

    def _lost(self, why: str) -> None:
        if why and self.proven:
            log.warning("standby: the owner's connection is over: %s", why)
        self.close()
        if self.proven:
            self.port.down(self.number)

    def close(self, flush: bool = False) -> None:
        self.timer.cancel()
        (self.connection.finish if flush else self.connection.close)()
        self.port.links.pop(self.number, None)


class StandbyPort:
    """Listens. `hello(link, row)` tells of an owner that has proven a key, `got(link, channel, row)` what it
    says, `down(link)` that its connection is over."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        silent_s: float,
        read: Read,
        hello: Callable[[int, Row], None],
        got: Callable[[int, str, Row], None],
        down: Callable[[int], None],
    ) -> None:
        self.loop, self.network, self.silent_s = loop, network, silent_s
        self.read, self.hello, self.got, self.down = read, hello, got, down
        self.counts = Counters(loop)
        self.links: dict[int, _Arrival] = {}
        self.number = 0
        self.accepting = Accepting(loop, network, self._took, lambda: False, "standby's owner")

    def listen(self, address: Address) -> int:
        """The port; OSError if the address can't be had."""
        return self.accepting.listen(address)

    def _took(self, sock: Socket) -> None:
        waiting = [link for link in self.links.values() if not link.proven]
        if len(waiting) >= ARRIVALS:
            waiting[0].close()
        self.number += 1
        self.links[self.number] = _Arrival(self, sock, self.number)

    def send(self, link: int, channel: str, row: Row) -> None:
        if (found := self.links.get(link)) is not None:
            found.send(channel, row)

    def drop(self, link: int, flush: bool = False) -> None:
        if (found := self.links.get(link)) is not None:
            found.close(flush)

    def close(self) -> None:
        self.accepting.close()
        for link in list(self.links.values()):
            link.close()
