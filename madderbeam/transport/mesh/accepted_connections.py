"""Accepted connections: the first frame of each, within a time limit, opens a link or an exchange."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from madderbeam.membership.values import MemberId, Row
from madderbeam.ports import Socket
from madderbeam.transport.buffer_budget import BufferBudget
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.context import MeshContext
from madderbeam.transport.mesh.exchanges import REQUEST, Exchanges
from madderbeam.transport.mesh.links import FULL, HELLO, OTHER_MEMBER, OUTDATED, REFUSED, IncomingLink

PAUSE_FACTOR = 4  # behind a first frame: of the time that reading it took


class AcceptedConnections:
    """Accepted connections that have sent no first frame yet, and the incoming links."""

    def __init__(
        self, context: MeshContext, exchanges: Exchanges, on_link: Callable[[MemberId], None]
    ) -> None:
        """on_link: called when a member has opened a link to this one."""
        self.context, self.exchanges, self.on_link = context, exchanges, on_link
        self.unidentified: dict[Connection, asyncio.TimerHandle] = {}  # in order of arrival
        self.links: dict[MemberId, IncomingLink] = {}
        self.held: deque[Connection] = deque()  # those that hold a first frame
        self.next_frame: asyncio.Handle | None = None  # reads it
        settings, now_s = context.settings, context.loop.time
        self.unidentified_budget = BufferBudget(
            settings.max_unidentified_bytes, now_s, "connections without a first frame"
        )
        self.unidentified_budget.sources.append(lambda: list(self.unidentified))
        self.links_budget = BufferBudget(settings.max_partial_bytes, now_s, "links of members")
        self.links_budget.sources.append(lambda: [link.connection for link in self.links.values()])

    def accept(self, sock: Socket) -> None:
        """Handle a newly accepted connection."""
        if len(self.unidentified) >= self.context.settings.max_unidentified:
            self.context.counters.anomaly(
                "arrivals_dropped", f"{len(self.unidentified)} connections sent no first frame"
            )
            self._drop(self._to_drop())
        connection = self.context.connection(("(came)", 0), sock)
        connection.on_frame = lambda data: self._take_first_frame(connection, data)
        connection.on_lost = lambda reason: self._drop(connection)
        connection.use_budget(self.unidentified_budget)
        timeout_s = self.context.settings.connect_timeout_s
        self.unidentified[connection] = self.context.loop.call_later(timeout_s, self._drop, connection)

    def free_descriptor(self) -> bool:
        """Free a descriptor: close the oldest connection without a first frame; False if there is none."""
        if not self.unidentified:
            return False
        self._drop(self._to_drop())
        return True

    def _to_drop(self) -> Connection:
        """The oldest without a first frame; the oldest of all if each waits for its frame to be read."""
        waiting = (connection for connection in self.unidentified if connection.held_frame is None)
        return next(waiting, next(iter(self.unidentified)))

    def _drop(self, connection: Connection) -> None:
        timer = self.unidentified.pop(connection, None)
        if timer is not None:
            timer.cancel()
        connection.close()

    def _take_first_frame(self, connection: Connection, data: bytes) -> None:
        """Read a small one, such as a link's, at once, and large ones one by one: decoding takes time."""
        if len(data) <= frames.MAX_DATAGRAM_BYTES:
            self._on_first_frame(connection, data)
            return
        connection.hold(data)
        self.unidentified[connection].cancel()
        self.held.append(connection)
        if len(self.held) == 1:
            self.next_frame = self.context.loop.call_soon(self._next_first_frame)

    def _next_first_frame(self) -> None:
        """Read one, then leave the event loop to others for a multiple of the time that it took."""
        started_s = self.context.loop.time()
        connection = self.held[0]
        connection.release(lambda data: self._on_first_frame(connection, data))
        self.held.popleft()
        while self.held and self.held[0].closed:
            self.held.popleft()
        if self.held:
            pause_s = PAUSE_FACTOR * (self.context.loop.time() - started_s)
            self.next_frame = self.context.loop.call_later(pause_s, self._next_first_frame)

    def _on_first_frame(self, connection: Connection, data: bytes) -> None:
        try:
            frame = self.context.read_identifying_frame(data)
            if frame.channel not in (HELLO, REQUEST):
                raise frames.InvalidFrame(
                    "broken", f"channel: must be {HELLO} or {REQUEST}, not {frame.channel!r}"
                )
            self.unidentified.pop(connection).cancel()
            later = self.context.incarnations.later_incarnation(frame.sender, frame.incarnation)
            self.context.incarnations.record(frame.sender, frame.incarnation)
            if frame.channel == REQUEST:  # from an older incarnation as well: the reply informs it
                self.exchanges.accept_request(connection, frame)
                return
            site, name, number = _read_hello(frame.row)
            if MemberId(site, name) != self.context.local_id or frame.sender == self.context.local_id:
                self._refuse(connection, [OTHER_MEMBER])
            elif later is not None:
                self.context.count_outdated("link", frame)
                self._refuse(connection, [OUTDATED, later.start, later.nonce])
            else:
                self._open_link(connection, frame, number)
        except frames.InvalidFrame as error:
            connection.invalid_frame(error)

    def _open_link(self, connection: Connection, frame: frames.Frame, number: int) -> None:
        """Replace the member's earlier link, if any: frames still in flight on it are dropped."""
        previous = self.links.get(frame.sender)
        if previous is not None and previous.incarnation == frame.incarnation and number < previous.number:
            connection.close()  # a delayed connection that its sender has given up
            return
        if previous is not None:
            previous.close()
        elif len(self.links) >= self.context.settings.max_incoming_links:
            self.context.counters.anomaly(
                "links_dropped", f"the limit of {len(self.links)} incoming links is reached"
            )
            self._refuse(connection, [FULL])
            return
        connection.use_budget(self.links_budget)
        self.links[frame.sender] = IncomingLink(self.context, connection, frame, number, self._link_ended)
        self.on_link(frame.sender)

    def _refuse(self, connection: Connection, row: Row) -> None:
        connection.send(self.context.identifying_frame(REFUSED, row))
        connection.finish()

    def _link_ended(self, link: IncomingLink) -> None:
        if self.links.get(link.member) is link:
            del self.links[link.member]

    def member_restarted(self, member: MemberId, start: int) -> None:
        """The member has restarted: close the link of its earlier incarnation."""
        link = self.links.get(member)
        if link is not None and link.incarnation.start < start:
            link.close()
            del self.links[member]

    def close(self) -> None:
        """Close all connections and links."""
        for connection in list(self.unidentified):
            self._drop(connection)
        if self.next_frame is not None:
            self.next_frame.cancel()
        for connection in self.held:
            connection.close()
        for link in self.links.values():
            link.close()
        self.links.clear()


def _read_hello(row: Row) -> tuple[str, str, int]:
    """The site and name of the addressed member, and the number of the caller's connection."""
    if len(row) != 3 or not isinstance(row[0], str) or not isinstance(row[1], str) or type(row[2]) is not int:
        raise frames.InvalidFrame("broken", "row: must be site, name and number")
    return row[0], row[1], row[2]
