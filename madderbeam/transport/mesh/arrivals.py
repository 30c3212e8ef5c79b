"""Accepted connections: the first frame of each, within a time limit, opens a link or an exchange."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from madderbeam.membership.values import MemberId, Row
from madderbeam.ports import Socket
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.exchanges import ASK, Exchanges
from madderbeam.transport.mesh.here import Here
from madderbeam.transport.mesh.links import ANOTHER, FULL, HELLO, OLDER, REFUSED, Incoming


class Arrivals:
    """Accepted connections that have sent no first frame yet, and the incoming links."""

    def __init__(self, here: Here, exchanges: Exchanges, on_link: Callable[[MemberId], None]) -> None:
        """on_link: called when a member has opened a link to this one."""
        self.here, self.exchanges, self.linked = here, exchanges, on_link
        self.new: dict[Connection, asyncio.TimerHandle] = {}  # in order of arrival
        self.links: dict[MemberId, Incoming] = {}

    def took(self, sock: Socket) -> None:
        """Handle a newly accepted connection."""
        if len(self.new) >= self.here.settings.arrivals:
            self.here.counts.odd("arrivals_dropped", f"{len(self.new)} connections sent no first frame")
            self._drop(next(iter(self.new)))
        connection = self.here.connection(("(came)", 0), sock)
        connection.got = lambda data: self._first(connection, data)
        connection.lost = lambda why: self._drop(connection)
        timeout_s = self.here.settings.connect_s
        self.new[connection] = self.here.loop.call_later(timeout_s, self._drop, connection)

    def make_room(self) -> bool:
        """Free a descriptor: close the oldest connection without a first frame; False if there is none."""
        if not self.new:
            return False
        self._drop(next(iter(self.new)))
        return True

    def _drop(self, connection: Connection) -> None:
        timer = self.new.pop(connection, None)
        if timer is not None:
            timer.cancel()
        connection.close()

    def _first(self, connection: Connection, data: bytes) -> None:
        try:
            frame = self.here.read_first(data)
            if frame.channel not in (HELLO, ASK):
                raise frames.Strange("broken", f"channel: must be {HELLO} or {ASK}, not {frame.channel!r}")
            self.new.pop(connection).cancel()
            later = self.here.lives.older(frame.sender, frame.life)
            self.here.lives.saw(frame.sender, frame.life)
            if frame.channel == ASK:  # from an older incarnation as well: the reply informs it
                self.exchanges.take(connection, frame)
                return
            site, name, number = _hello(frame.row)
            if MemberId(site, name) != self.here.me or frame.sender == self.here.me:
                self._refuse(connection, [ANOTHER])
            elif later is not None:
                self.here.older("link", frame)
                self._refuse(connection, [OLDER, later.start, later.nonce])
            else:
                self._link(connection, frame, number)
        except frames.Strange as error:
            connection.strange(error)

    def _link(self, connection: Connection, frame: frames.Frame, number: int) -> None:
        """Replace the member's earlier link, if any: frames still in flight on it are dropped."""
        previous = self.links.get(frame.sender)
        if previous is not None and previous.life == frame.life and number < previous.number:
            connection.close()  # a delayed connection that its sender has given up
            return
        if previous is not None:
            previous.close()
        elif len(self.links) >= self.here.settings.incoming:
            self.here.counts.odd("links_dropped", f"the limit of {len(self.links)} incoming links is reached")
            self._refuse(connection, [FULL])
            return
        self.links[frame.sender] = Incoming(self.here, connection, frame, number, self._over)
        self.linked(frame.sender)

    def _refuse(self, connection: Connection, row: Row) -> None:
        connection.send(self.here.first(REFUSED, row))
        connection.finish()

    def _over(self, link: Incoming) -> None:
        if self.links.get(link.member) is link:
            del self.links[link.member]

    def outlived(self, member: MemberId, start: int) -> None:
        """The member has restarted: close the link of its earlier incarnation."""
        link = self.links.get(member)
        if link is not None and link.life.start < start:
            link.close()
            del self.links[member]

    def close(self) -> None:
        """Close all connections and links."""
        for connection in list(self.new):
            self._drop(connection)
        for link in self.links.values():
            link.close()
        self.links.clear()


def _hello(row: Row) -> tuple[str, str, int]:
    """The site and name of the addressed member, and the number of the caller's connection."""
    if len(row) != 3 or not isinstance(row[0], str) or not isinstance(row[1], str) or type(row[2]) is not int:
        raise frames.Strange("broken", "row: must be site, name and number")
    return row[0], row[1], row[2]
