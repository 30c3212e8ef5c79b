"""Accepted connections: the first frame of each, within a time limit, opens a link or an exchange."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from madderbeam.membership.values import MemberId, Row
from madderbeam.ports import Socket
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.context import MeshContext
from madderbeam.transport.mesh.exchanges import REQUEST, Exchanges
from madderbeam.transport.mesh.links import FULL, HELLO, OTHER_MEMBER, OUTDATED, REFUSED, IncomingLink


class AcceptedConnections:
    """Accepted connections that have sent no first frame yet, and the incoming links."""

    def __init__(
        self, context: MeshContext, exchanges: Exchanges, on_link: Callable[[MemberId], None]
    ) -> None:
        """on_link: called when a member has opened a link to this one."""
        self.context, self.exchanges, self.on_link = context, exchanges, on_link
        self.unidentified: dict[Connection, asyncio.TimerHandle] = {}  # in order of arrival
        self.links: dict[MemberId, IncomingLink] = {}

    def accept(self, sock: Socket) -> None:
        """Handle a newly accepted connection."""
        if len(self.unidentified) >= self.context.settings.max_unidentified:
            self.context.counters.anomaly(
                "arrivals_dropped", f"{len(self.unidentified)} connections sent no first frame"
            )
            self._drop(next(iter(self.unidentified)))
        connection = self.context.connection(("(came)", 0), sock)
        connection.on_frame = lambda data: self._on_first_frame(connection, data)
        connection.on_lost = lambda reason: self._drop(connection)
        timeout_s = self.context.settings.connect_timeout_s
        self.unidentified[connection] = self.context.loop.call_later(timeout_s, self._drop, connection)

    def free_descriptor(self) -> bool:
        """Free a descriptor: close the oldest connection without a first frame; False if there is none."""
        if not self.unidentified:
            return False
        self._drop(next(iter(self.unidentified)))
        return True

    def _drop(self, connection: Connection) -> None:
        timer = self.unidentified.pop(connection, None)
        if timer is not None:
            timer.cancel()
        connection.close()

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
        for link in self.links.values():
            link.close()
        self.links.clear()


def _read_hello(row: Row) -> tuple[str, str, int]:
    """The site and name of the addressed member, and the number of the caller's connection."""
    if len(row) != 3 or not isinstance(row[0], str) or not isinstance(row[1], str) or type(row[2]) is not int:
        raise frames.InvalidFrame("broken", "row: must be site, name and number")
    return row[0], row[1], row[2]
