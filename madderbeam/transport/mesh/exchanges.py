"""Exchanges: a request row on a connection of its own and a reply row, within a time limit."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from madderbeam.membership.values import Row
from madderbeam.ports import Address
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.addresses import is_usable
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.context import MeshContext
from madderbeam.transport.mesh.events import ExchangeAborted, ExchangeReplied, ExchangeRequested

REQUEST, REPLY = "ask", "answer"


class OutgoingExchange:
    """An exchange started here; `on_end` is called when it has ended, before its event is emitted."""

    def __init__(
        self,
        context: MeshContext,
        address: Address,
        channel: str,
        row: Row,
        on_end: Callable[[OutgoingExchange], None],
    ) -> None:
        """OSError or InvalidFrame if it cannot be started."""
        self.context, self.address, self.channel, self.on_end = context, address, channel, on_end
        request_frame = context.identifying_frame(REQUEST, [channel, row])
        self.connection = context.connection(address)
        self.connection.on_frame, self.connection.on_lost = self._on_reply, self._on_lost
        self.connection.send(request_frame)
        timeout_s = context.settings.exchange_timeout_s
        self.timer = context.loop.call_later(timeout_s, self._on_lost, f"no reply within {timeout_s:g} s")
        self.connection.dial()

    def _on_reply(self, data: bytes) -> None:
        try:
            frame = self.context.read_identifying_frame(data)
            if frame.channel != REPLY:
                raise frames.InvalidFrame("broken", f"channel: must be {REPLY!r}, not {frame.channel!r}")
        except frames.InvalidFrame as error:
            self.connection.invalid_frame(error)
            return
        self.context.incarnations.record(frame.sender, frame.incarnation)
        self._end(ExchangeReplied(self.address, frame.sender, frame.incarnation, frame.row))

    def _on_lost(self, reason: str) -> None:
        self.context.counters.anomaly(
            "exchanges_failed", f"with {self.address[0]}:{self.address[1]}: {reason}"
        )
        self._end(ExchangeAborted(self.address, reason))

    def _end(self, event: ExchangeReplied | ExchangeAborted) -> None:
        self.close()
        self.on_end(self)
        self.context.emit(self.channel, event)

    def close(self) -> None:
        """End the exchange without an event."""
        self.timer.cancel()
        self.connection.close()


class Exchanges:
    """Exchanges started here, and those of others that wait for a reply."""

    def __init__(self, context: MeshContext) -> None:
        self.context = context
        self.outgoing: dict[OutgoingExchange, None] = {}
        self.incoming: dict[int, tuple[Connection, asyncio.TimerHandle]] = {}
        self._reply_ids = itertools.count(1)

    def start(self, address: Address, channel: str, row: Row) -> None:
        """Start an exchange; ExchangeReplied or ExchangeAborted follows on the channel."""
        reason = ""
        if len(self.outgoing) >= self.context.settings.max_exchanges:
            reason = f"{len(self.outgoing)} exchanges are in progress"
        elif not is_usable(address):
            reason = "not a numeric address and port"
        else:
            try:
                self.outgoing[OutgoingExchange(self.context, address, channel, row, self.outgoing.pop)] = None
            except (OSError, frames.InvalidFrame) as error:
                reason = str(error)
        if reason:
            self.context.counters.anomaly(
                "exchanges_failed", f"with {address[0]!r:.64}:{address[1]}: {reason}"
            )
            self.context.loop.call_soon(self.context.emit, channel, ExchangeAborted(address, reason))

    def accept_request(self, connection: Connection, frame: frames.Frame) -> None:
        """Accept another member's request; InvalidFrame if it is malformed or its channel unknown."""
        if len(frame.row) != 2 or not isinstance(frame.row[0], str) or not isinstance(frame.row[1], list):
            raise frames.InvalidFrame("broken", "row: must be a channel and a list")
        channel, row = frame.row
        if channel not in self.context.channels:
            raise frames.InvalidFrame("broken", f"row: unknown channel {channel!r:.40}")
        if len(self.incoming) >= self.context.settings.max_exchanges:
            self._end(next(iter(self.incoming)))
        reply_id = next(self._reply_ids)
        connection.on_frame = lambda data: self._end(reply_id)
        connection.on_lost = lambda reason: self._end(reply_id)
        timer = self.context.loop.call_later(self.context.settings.exchange_timeout_s, self._end, reply_id)
        self.incoming[reply_id] = (connection, timer)
        self.context.counters.add("exchanges_in")
        self.context.emit(channel, ExchangeRequested(frame.sender, frame.incarnation, row, reply_id))

    def reply(self, reply_id: int, row: Row) -> None:
        """Send the reply to a request; ignored if the connection has ended."""
        if reply_id not in self.incoming:
            return
        connection, _ = self.incoming[reply_id]
        try:
            connection.send(self.context.identifying_frame(REPLY, row))
        except frames.InvalidFrame as error:
            self.context.counters.anomaly("unsendable", f"reply to an exchange: {error}")
            self._end(reply_id)
            return
        connection.on_frame = lambda data: None  # the requester closes the connection once it has the reply
        self.context.counters.add("exchanges_answered")

    def _end(self, reply_id: int) -> None:
        exchange = self.incoming.pop(reply_id, None)
        if exchange is not None:
            connection, timer = exchange
            timer.cancel()
            connection.close()

    def close(self) -> None:
        """End all exchanges without events."""
        for exchange in list(self.outgoing):
            exchange.close()
        self.outgoing.clear()
        for reply_id in list(self.incoming):
            self._end(reply_id)
