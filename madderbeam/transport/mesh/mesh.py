"""The mesh: a member's datagrams, links and exchanges with the other members, at one address."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from madderbeam.membership.values import Incarnation, MemberId, Row
from madderbeam.ports import Address, Network
from madderbeam.transport.accepting import Accepting
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.arrivals import Arrivals
from madderbeam.transport.mesh.counts import Counts
from madderbeam.transport.mesh.datagrams import Datagrams
from madderbeam.transport.mesh.events import Came, MeshSettings, Told
from madderbeam.transport.mesh.exchanges import Exchanges
from madderbeam.transport.mesh.here import Here, Lives
from madderbeam.transport.mesh.links import Outgoing

PORTS = 16  # tried until one is free for both datagrams and connections
CHANNELS = ("m", "r", "t")  # membership, relay and ownership table


class Mesh:
    """Connects one member with the others.

    Events go to `told(channel, event)`, always from the event loop, never from within a method: Came, Asked,
    Answered, Unanswered and MessageReceived on their channel, LinkUp, LinkDown and Outlived on `events.ALL`.
    Between LinkUp and LinkDown messages to a member arrive complete and in order, each at most once; the last
    ones before a LinkDown may or may not have arrived. After LinkUp none arrives that was sent before it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        local_id: MemberId,
        incarnation: Incarnation,
        federation: str,
        address: Address,
        handler: Told,
        *,
        channels: Iterable[str] = CHANNELS,
        settings: MeshSettings | None = None,
        chance: random.Random | None = None,
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """address: where it listens for datagrams and connections.

        make_room: closes something to free a descriptor.
        """
        settings, counts = settings or MeshSettings(), Counts(loop)
        self.address, self._told, self._closed = address, handler, False
        self._make_room = make_room
        self.here = Here(
            loop,
            network,
            federation,
            local_id,
            incarnation,
            settings,
            chance or random.Random(),
            counts,
            Lives(settings.members, self._newer),
            self._tell,
            frozenset(channels),
        )
        self.here.lives.saw(local_id, incarnation)
        self.datagrams = Datagrams(network, federation, counts, self._came)
        self.exchanges = Exchanges(self.here)
        self.arrivals = Arrivals(self.here, self.exchanges, self._linked)
        self.accepting = Accepting(loop, network, self.arrivals.took, self._room, "member")
        self.links: dict[MemberId, Outgoing] = {}

    def listen(self) -> int:
        """Listen for datagrams and connections on one port and return it; OSError if it is not available."""
        for attempts_left in reversed(range(PORTS if not self.address[1] else 1)):
            port = self.accepting.listen(self.address)
            try:
                self.datagrams.bind((self.address[0], port))
                return port
            except OSError:
                self.accepting.close()
                if not attempts_left:
                    raise
        raise AssertionError

    # Sending

    def datagram(self, address: Address, channel: str, row: Row) -> None:
        """Send one datagram; it may be lost."""
        self.datagrams.send(address, frames.Frame(self.here.me, self.here.life, channel, row))

    def want(self, member: MemberId, address: Address) -> None:
        """Open a link to this member at this address, and reopen it whenever it breaks."""
        link = self.links.get(member)
        if link is not None:
            link.move(address)
        elif not self._closed and member != self.here.me:
            self.links[member] = Outgoing(self.here, member, address)

    def unwant(self, member: MemberId) -> None:
        """Close the link to this member for good."""
        if (link := self.links.pop(member, None)) is not None:
            link.stop()

    def send(self, member: MemberId, channel: str, row: Row, said_us: int | None = None) -> bool:
        """Send over the link to this member; False, and lost, if none is up.

        said_us: the event loop time, in microseconds, from which durations in the row count; now unless
        given.
        """
        link = self.links.get(member)
        if link is not None and link.send(channel, row, said_us):
            return True
        self.here.counts.add("link_frames_unsent")
        return False

    def exchange(self, address: Address, row: Row, channel: str = "m") -> None:
        """Send this row on a connection of its own; Answered or Unanswered follows."""
        if not self._closed:
            self.exchanges.ask(address, channel, row)

    def reply(self, reply: int, row: Row) -> None:
        """Send the reply to an `Asked`."""
        self.exchanges.reply(reply, row)

    def live(self, incarnation: Incarnation) -> None:
        """Continue in a later incarnation: links are reopened with it."""
        if incarnation != self.here.life:
            self.here.life = incarnation
            self.here.lives.saw(self.here.me, incarnation)
            for link in list(self.links.values()):
                self.here.loop.call_soon(link.again)

    # State

    def saw(self, member: MemberId, incarnation: Incarnation) -> None:
        """Record an incarnation in which other members have seen the member.

        Frames from earlier ones are ignored from now on.
        """
        self.here.lives.saw(member, incarnation)

    def up(self, member: MemberId) -> bool:
        """Whether the link to this member is up."""
        link = self.links.get(member)
        return link is not None and link.up

    def rtt_us(self, member: MemberId) -> int:
        """The least round trip of the last pings on the link; 0 if none is up."""
        link = self.links.get(member)
        return link.rtt_us if link is not None and link.up else 0

    def strange(self, description: str) -> None:
        """Count a row whose content was invalid on its channel."""
        self.here.counts.odd("strange_row", description)

    def figures(self) -> dict[str, int]:
        """All counters by name, and current values."""
        links_up = [link for link in self.links.values() if link.up]
        unsent_bytes = sum(len(link.connection.unsent) for link in links_up if link.connection is not None)
        return {
            **dict(self.here.counts.values),
            "links_wanted": len(self.links),
            "links_up": len(links_up),
            "links_in": len(self.arrivals.links),
            "unsent_bytes": unsent_bytes,
            "exchanges_open": len(self.exchanges.asking) + len(self.exchanges.asked),
        }

    def close(self) -> None:
        """Close everything; no further event is emitted."""
        self._closed = True
        self.accepting.close()
        self.datagrams.close()
        for link in self.links.values():
            link.stop()
        self.links.clear()
        self.exchanges.close()
        self.arrivals.close()

    # Receiving

    def _tell(self, channel: str, event: Any) -> None:
        if not self._closed:
            self._told(channel, event)

    def _came(self, frame: frames.Frame, source: Address) -> None:
        lives = self.here.lives
        if lives.older(frame.sender, frame.life) is not None:
            self.here.older("datagram", frame)
            return
        lives.saw(frame.sender, frame.life)
        if frame.channel not in self.here.channels:
            self.here.counts.add("unknown_channel")
            return
        self._tell(frame.channel, Came(frame.sender, frame.life, frame.row, source))

    def _newer(self, member: MemberId, incarnation: Incarnation) -> None:
        """The member was restarted: links to and from its earlier incarnation end."""
        self.arrivals.outlived(member, incarnation.start)
        if (link := self.links.get(member)) is not None:
            self.here.loop.call_soon(link.outlived, incarnation)

    def _linked(self, member: MemberId) -> None:
        if (link := self.links.get(member)) is not None:
            link.hurry()

    def _room(self) -> bool:
        return self.arrivals.make_room() or self._make_room()
