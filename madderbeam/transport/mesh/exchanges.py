"""Exchanges: a row sent on a connection of its own, and the row sent back, within a time limit."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from madderbeam.membership.values import Row
from madderbeam.ports import Address
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.addresses import usable
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.events import Answered, Asked, Unanswered
from madderbeam.transport.mesh.here import Here

ASK, ANSWER = "ask", "answer"


class Asking:
    """An exchange started here; `over` is called when it has ended, before its event is emitted."""

    def __init__(
        self, here: Here, address: Address, channel: str, row: Row, on_end: Callable[[Asking], None]
    ) -> None:
        """OSError or Strange if it cannot be started."""
        self.here, self.to, self.channel, self.over = here, address, channel, on_end
        first = here.first(ASK, [channel, row])
        self.connection = here.connection(address)
        self.connection.got, self.connection.lost = self._answered, self._lost
        self.connection.send(first)
        timeout_s = here.settings.exchange_s
        self.timer = here.loop.call_later(timeout_s, self._lost, f"no reply within {timeout_s:g} s")
        self.connection.dial()

    def _answered(self, data: bytes) -> None:
        try:
            frame = self.here.read_first(data)
            if frame.channel != ANSWER:
                raise frames.Strange("broken", f"channel: must be {ANSWER!r}, not {frame.channel!r}")
        except frames.Strange as error:
            self.connection.strange(error)
            return
        self.here.lives.saw(frame.sender, frame.life)
        self._end(Answered(self.to, frame.sender, frame.life, frame.row))

    def _lost(self, reason: str) -> None:
        self.here.counts.odd("exchanges_failed", f"with {self.to[0]}:{self.to[1]}: {reason}")
        self._end(Unanswered(self.to, reason))

    def _end(self, event: Answered | Unanswered) -> None:
        self.close()
        self.over(self)
        self.here.told(self.channel, event)

    def close(self) -> None:
        """End the exchange without an event."""
        self.timer.cancel()
        self.connection.close()


class Exchanges:
    """Exchanges started here, and those of others that wait for a reply."""

    def __init__(self, here: Here) -> None:
        self.here = here
        self.asking: dict[Asking, None] = {}
        self.asked: dict[int, tuple[Connection, asyncio.TimerHandle]] = {}
        self._numbers = itertools.count(1)

    def ask(self, address: Address, channel: str, row: Row) -> None:
        """Start an exchange; Answered or Unanswered follows on the channel."""
        reason = ""
        if len(self.asking) >= self.here.settings.exchanges:
            reason = f"{len(self.asking)} exchanges are in progress"
        elif not usable(address):
            reason = "not a numeric address and port"
        else:
            try:
                self.asking[Asking(self.here, address, channel, row, self.asking.pop)] = None
            except (OSError, frames.Strange) as error:
                reason = str(error)
        if reason:
            self.here.counts.odd("exchanges_failed", f"with {address[0]!r:.64}:{address[1]}: {reason}")
            self.here.loop.call_soon(self.here.told, channel, Unanswered(address, reason))

    def take(self, connection: Connection, frame: frames.Frame) -> None:
        """Accept another member's request; Strange if it is malformed or its channel unknown."""
        if len(frame.row) != 2 or not isinstance(frame.row[0], str) or not isinstance(frame.row[1], list):
            raise frames.Strange("broken", "row: must be a channel and a list")
        channel, row = frame.row
        if channel not in self.here.channels:
            raise frames.Strange("broken", f"row: unknown channel {channel!r:.40}")
        if len(self.asked) >= self.here.settings.exchanges:
            self._end(next(iter(self.asked)))
        reply_id = next(self._numbers)
        connection.got = lambda data: self._end(reply_id)
        connection.lost = lambda why: self._end(reply_id)
        timer = self.here.loop.call_later(self.here.settings.exchange_s, self._end, reply_id)
        self.asked[reply_id] = (connection, timer)
        self.here.counts.add("exchanges_in")
        self.here.told(channel, Asked(frame.sender, frame.life, row, reply_id))

    def reply(self, reply_id: int, row: Row) -> None:
        """Send the reply to a request; ignored if the connection has ended."""
        if reply_id not in self.asked:
            return
        connection, _ = self.asked[reply_id]
        try:
            connection.send(self.here.first(ANSWER, row))
        except frames.Strange as error:
            self.here.counts.odd("unsendable", f"reply to an exchange: {error}")
            self._end(reply_id)
            return
        connection.got = lambda data: None  # the requester closes the connection once it has the reply
        self.here.counts.add("exchanges_answered")

    def _end(self, reply_id: int) -> None:
        exchange = self.asked.pop(reply_id, None)
        if exchange is not None:
            connection, timer = exchange
            timer.cancel()
            connection.close()

    def close(self) -> None:
        """End all exchanges without events."""
        for exchange in list(self.asking):
            exchange.close()
        self.asking.clear()
        for reply_id in list(self.asked):
            self._end(reply_id)
