"""The mesh: a member's datagrams, links and exchanges with the others, at one address."""

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

PORTS = 16  # that are tried until one is free for datagrams and connections both
CHANNELS = ("m", "r", "t")  # membership, relay, table


class Mesh:
    """What is heard goes to `told(channel, event)`, from the loop alone, never from within a method: Came,
    Asked, Answered, Unanswered and FromLink on their channel, LinkUp, LinkDown and Outlived on `events.ALL`.

    Between LinkUp and LinkDown messages to a member arrive whole and in order, each at most once; those that
    were sent last before a LinkDown may or may not have. After LinkUp none arrives that was sent before.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        me: MemberId,
        life: Incarnation,
        federation: str,
        address: Address,
        told: Told,
        *,
        channels: Iterable[str] = CHANNELS,
        settings: MeshSettings | None = None,
        chance: random.Random | None = None,
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """address: where it listens, for datagrams and connections. make_room: gives a descriptor up."""
        settings, counts = settings or MeshSettings(), Counts(loop)
        self.address, self._told, self._closed = address, told, False
        self._make_room = make_room
        self.here = Here(
            loop,
            network,
            federation,
            me,
            life,
            settings,
            chance or random.Random(),
            counts,
            Lives(settings.members, self._newer),
            self._tell,
            frozenset(channels),
        )
        self.here.lives.saw(me, life)
        self.datagrams = Datagrams(network, federation, counts, self._came)
        self.exchanges = Exchanges(self.here)
        self.arrivals = Arrivals(self.here, self.exchanges, self._linked)
        self.accepting = Accepting(loop, network, self.arrivals.took, self._room, "member")
        self.links: dict[MemberId, Outgoing] = {}

    def listen(self) -> int:
        """The port, for datagrams and connections both; OSError if it can't be had."""
        for left in reversed(range(PORTS if not self.address[1] else 1)):
            port = self.accepting.listen(self.address)
            try:
                self.datagrams.bind((self.address[0], port))
                return port
            except OSError:
                self.accepting.close()
                if not left:
                    raise
        raise AssertionError

    # What others can be sent

    def datagram(self, to: Address, channel: str, row: Row) -> None:
        """One datagram; it may be lost."""
        self.datagrams.send(to, frames.Frame(self.here.me, self.here.life, channel, row))

    def want(self, member: MemberId, address: Address) -> None:
        """Have a link to this member there, and make it again when it breaks."""
        link = self.links.get(member)
        if link is not None:
            link.move(address)
        elif not self._closed and member != self.here.me:
            self.links[member] = Outgoing(self.here, member, address)

    def unwant(self, member: MemberId) -> None:
        """No link to this member any more."""
        if (link := self.links.pop(member, None)) is not None:
            link.stop()

    def send(self, member: MemberId, channel: str, row: Row, said_us: int | None = None) -> bool:
        """By the link to this member; False, and lost, where none is up. said_us: the loop's time at which it
        was said, in microseconds; now unless given. Time that it tells of counts from there."""
        link = self.links.get(member)
        if link is not None and link.send(channel, row, said_us):
            return True
        self.here.counts.add("link_frames_unsent")
        return False

    def exchange(self, to: Address, row: Row, channel: str = "m") -> None:
        """Hand this over on a connection of its own; Answered or Unanswered follows."""
        if not self._closed:
            self.exchanges.ask(to, channel, row)

    def reply(self, reply: int, row: Row) -> None:
        """The answer to what was Asked."""
        self.exchanges.reply(reply, row)

    def live(self, life: Incarnation) -> None:
        """This member goes on in a later life: links are made again, as that one's."""
        if life != self.here.life:
            self.here.life = life
            self.here.lives.saw(self.here.me, life)
            for link in list(self.links.values()):
                self.here.loop.call_soon(link.again)

    # What is known

    def saw(self, member: MemberId, life: Incarnation) -> None:
        """Others have seen the member in this life: what comes from an earlier one counts no more."""
        self.here.lives.saw(member, life)

    def up(self, member: MemberId) -> bool:
        """Whether the link to this member is up."""
        link = self.links.get(member)
        return link is not None and link.up

    def rtt_us(self, member: MemberId) -> int:
        """The least round trip of the last pings on the link; 0 where none is up."""
        link = self.links.get(member)
        return link.rtt_us if link is not None and link.up else 0

    def strange(self, what: str) -> None:
        """A row came that its channel can't read: count it as a strange frame."""
        self.here.counts.odd("strange_row", what)

    def figures(self) -> dict[str, int]:
        """All counts by name, and what stands now."""
        up = [link for link in self.links.values() if link.up]
        unsent = sum(len(link.connection.unsent) for link in up if link.connection is not None)
        return {
            **dict(self.here.counts.values),
            "links_wanted": len(self.links),
            "links_up": len(up),
            "links_in": len(self.arrivals.links),
            "unsent_bytes": unsent,
            "exchanges_open": len(self.exchanges.asking) + len(self.exchanges.asked),
        }

    def close(self) -> None:
        """Nothing is told any more."""
        self._closed = True
        self.accepting.close()
        self.datagrams.close()
        for link in self.links.values():
            link.stop()
        self.links.clear()
        self.exchanges.close()
        self.arrivals.close()

    # What comes

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

    def _newer(self, member: MemberId, life: Incarnation) -> None:
        """The member was started again: links to and from the life before are over."""
        self.arrivals.outlived(member, life.start)
        if (link := self.links.get(member)) is not None:
            self.here.loop.call_soon(link.outlived, life)

    def _linked(self, member: MemberId) -> None:
        if (link := self.links.get(member)) is not None:
            link.hurry()

    def _room(self) -> bool:
        return self.arrivals.make_room() or self._make_room()
