"""Exchanges: a row handed over on a connection of its own, and the row that comes back, within a time."""

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
    """An exchange that was begun here; `over` is called when it has ended, before its event."""

    def __init__(
        self, here: Here, to: Address, channel: str, row: Row, over: Callable[[Asking], None]
    ) -> None:
        """OSError or Strange if it can't be begun."""
        self.here, self.to, self.channel, self.over = here, to, channel, over
        first = here.first(ASK, [channel, row])
        self.connection = here.connection(to)
        self.connection.got, self.connection.lost = self._answered, self._lost
        self.connection.send(first)
        limit = here.settings.exchange_s
        self.timer = here.loop.call_later(limit, self._lost, f"no answer within {limit:g} s")
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

    def _lost(self, why: str) -> None:
        self.here.counts.odd("exchanges_failed", f"with {self.to[0]}:{self.to[1]}: {why}")
        self._end(Unanswered(self.to, why))

    def _end(self, event: Answered | Unanswered) -> None:
        self.close()
        self.over(self)
        self.here.told(self.channel, event)

    def close(self) -> None:
        self.timer.cancel()
        self.connection.close()


class Exchanges:
    """Those that were begun here, and those of others that wait for our answer."""

    def __init__(self, here: Here) -> None:
        self.here = here
        self.asking: dict[Asking, None] = {}
        self.asked: dict[int, tuple[Connection, asyncio.TimerHandle]] = {}
        self._numbers = itertools.count(1)

    def ask(self, to: Address, channel: str, row: Row) -> None:
        """Answered or Unanswered follows on the channel."""
        why = ""
        if len(self.asking) >= self.here.settings.exchanges:
            why = f"{len(self.asking)} exchanges are under way"
        elif not usable(to):
            why = "no numeric address and port"
        else:
            try:
                self.asking[Asking(self.here, to, channel, row, self.asking.pop)] = None
            except (OSError, frames.Strange) as error:
                why = str(error)
        if why:
            self.here.counts.odd("exchanges_failed", f"with {to[0]!r:.64}:{to[1]}: {why}")
            self.here.loop.call_soon(self.here.told, channel, Unanswered(to, why))

    def take(self, connection: Connection, frame: frames.Frame) -> None:
        """Another's question; Strange if it is none of ours."""
        if len(frame.row) != 2 or not isinstance(frame.row[0], str) or not isinstance(frame.row[1], list):
            raise frames.Strange("broken", "row: must be a channel and a list")
        channel, row = frame.row
        if channel not in self.here.channels:
            raise frames.Strange("broken", f"row: channel {channel!r:.40} is not known")
        if len(self.asked) >= self.here.settings.exchanges:
            self._end(next(iter(self.asked)))
        number = next(self._numbers)
        connection.got = lambda data: self._end(number)
        connection.lost = lambda why: self._end(number)
        timer = self.here.loop.call_later(self.here.settings.exchange_s, self._end, number)
        self.asked[number] = (connection, timer)
        self.here.counts.add("exchanges_in")
        self.here.told(channel, Asked(frame.sender, frame.life, row, number))

    def reply(self, number: int, row: Row) -> None:
        """Nothing comes of it where who asked is gone."""
        if number not in self.asked:
            return
        connection, _ = self.asked[number]
        try:
            connection.send(self.here.first(ANSWER, row))
        except frames.Strange as error:
            self.here.counts.odd("unsendable", f"answer to an exchange: {error}")
            self._end(number)
            return
        connection.got = lambda data: None  # who asked ends it once it has the answer
        self.here.counts.add("exchanges_answered")

    def _end(self, number: int) -> None:
        found = self.asked.pop(number, None)
        if found is not None:
            connection, timer = found
            timer.cancel()
            connection.close()

    def close(self) -> None:
        for asking in list(self.asking):
            asking.close()
        self.asking.clear()
        for number in list(self.asked):
            self._end(number)
