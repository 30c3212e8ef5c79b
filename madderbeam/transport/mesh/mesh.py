"""The mesh: a member's datagrams, links and exchanges with the other members, at one address."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from madderbeam.membership.values import Incarnation, MemberId, Row
from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.accepting import Accepting
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.accepted_connections import AcceptedConnections
from madderbeam.transport.mesh.context import LatestIncarnations, MeshContext
from madderbeam.transport.mesh.counters import Counters
from madderbeam.transport.mesh.datagrams import Datagrams
from madderbeam.transport.mesh.events import DatagramArrived, EventHandler, MeshSettings
from madderbeam.transport.mesh.exchanges import Exchanges
from madderbeam.transport.mesh.links import OutgoingLink

PORT_ATTEMPTS = 16  # tried until one is free for both datagrams and connections
CHANNELS = ("m", "r", "t")  # membership, relay and ownership table


class Mesh:
    """Connects one member with the others.

    Events go to `handler(channel, event)`, always from the event loop, never from within a method:
    DatagramArrived, ExchangeRequested, ExchangeReplied, ExchangeAborted and MessageReceived on their channel,
    LinkUp, LinkDown and LaterIncarnationSeen on `events.ALL_CHANNELS`.
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
        handler: EventHandler,
        *,
        channels: Iterable[str] = CHANNELS,
        settings: MeshSettings | None = None,
        rng: random.Random | None = None,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        """address: where it listens for datagrams and connections.

        free_descriptor: closes something to free a descriptor.
        """
        settings, counters = settings or MeshSettings(), Counters(loop)
        self.address, self._handler, self._closed = address, handler, False
        self._free_other_descriptor = free_descriptor
        self.context = MeshContext(
            loop,
            network,
            federation,
            local_id,
            incarnation,
            settings,
            rng or random.Random(),
            counters,
            LatestIncarnations(settings.max_members, self._on_newer_incarnation),
            self._emit,
            frozenset(channels),
        )
        self.context.incarnations.record(local_id, incarnation)
        self.datagrams = Datagrams(network, federation, counters, self._on_datagram)
        self.exchanges = Exchanges(self.context)
        self.accepted = AcceptedConnections(self.context, self.exchanges, self._on_link)
        self.accepting = Accepting(loop, network, self._accept, self._free_descriptor, "member")
        self.may_be_seen = True  # others may learn this incarnation; until then connections are refused
        self.links: dict[MemberId, OutgoingLink] = {}

    def listen(self) -> int:
        """Listen for datagrams and connections on one port and return it; OSError if it is not available."""
        for attempts_left in reversed(range(PORT_ATTEMPTS if not self.address[1] else 1)):
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

    def send_datagram(self, address: Address, channel: str, row: Row) -> None:
        """Send one datagram; it may be lost."""
        self.datagrams.send(
            address, frames.Frame(self.context.local_id, self.context.incarnation, channel, row)
        )

    def open_link(self, member: MemberId, address: Address) -> None:
        """Open a link to this member at this address, and reopen it whenever it breaks."""
        link = self.links.get(member)
        if link is not None:
            link.set_address(address)
        elif not self._closed and member != self.context.local_id:
            self.links[member] = OutgoingLink(self.context, member, address)

    def close_link(self, member: MemberId) -> None:
        """Close the link to this member for good."""
        if (link := self.links.pop(member, None)) is not None:
            link.stop()

    def send(self, member: MemberId, channel: str, row: Row, sent_us: int | None = None) -> bool:
        """Send over the link to this member; False, and lost, if none is up.

        sent_us: the event loop time, in microseconds, from which durations in the row count; now unless
        given.
        """
        link = self.links.get(member)
        if link is not None and link.send(channel, row, sent_us):
            return True
        self.context.counters.add("link_frames_unsent")
        return False

    def exchange(self, address: Address, row: Row, channel: str = "m") -> None:
        """Send this row on a connection of its own; ExchangeReplied or ExchangeAborted follows."""
        if not self._closed:
            self.exchanges.start(address, channel, row)

    def reply(self, reply: int, row: Row) -> None:
        """Send the reply to an `ExchangeRequested`."""
        self.exchanges.reply(reply, row)

    def set_incarnation(self, incarnation: Incarnation) -> None:
        """Continue in a later incarnation: links are reopened with it."""
        if incarnation != self.context.incarnation:
            self.context.incarnation = incarnation
            self.context.incarnations.record(self.context.local_id, incarnation)
            for link in list(self.links.values()):
                self.context.loop.call_soon(link.reopen)

    # State

    def record_incarnation(self, member: MemberId, incarnation: Incarnation) -> None:
        """Record an incarnation in which other members have seen the member.

        Frames from earlier ones are ignored from now on.
        """
        self.context.incarnations.record(member, incarnation)

    def is_link_up(self, member: MemberId) -> bool:
        """Whether the link to this member is up."""
        link = self.links.get(member)
        return link is not None and link.is_up

    def rtt_us(self, member: MemberId) -> int:
        """The least round trip of the last pings on the link; 0 if none is up."""
        link = self.links.get(member)
        return link.rtt_us if link is not None and link.is_up else 0

    def count_invalid_row(self, description: str) -> None:
        """Count a row whose content was invalid on its channel."""
        self.context.counters.anomaly("strange_row", description)

    def metrics(self) -> dict[str, int]:
        """All counters by name, and current values."""
        links_up = [link for link in self.links.values() if link.is_up]
        unsent_bytes = sum(len(link.connection.unsent) for link in links_up if link.connection is not None)
        return {
            **dict(self.context.counters.values),
            "links_wanted": len(self.links),
            "links_up": len(links_up),
            "links_in": len(self.accepted.links),
            "unsent_bytes": unsent_bytes,
            "exchanges_open": len(self.exchanges.outgoing) + len(self.exchanges.incoming),
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
        self.accepted.close()

    # Receiving

    def _accept(self, sock: Socket) -> None:
        if self.may_be_seen:
            self.accepted.accept(sock)
        else:
            sock.close()

    def _emit(self, channel: str, event: Any) -> None:
        if not self._closed:
            self._handler(channel, event)

    def _on_datagram(self, frame: frames.Frame, source: Address) -> None:
        incarnations = self.context.incarnations
        if incarnations.later_incarnation(frame.sender, frame.incarnation) is not None:
            self.context.count_outdated("datagram", frame)
            return
        incarnations.record(frame.sender, frame.incarnation)
        if frame.channel not in self.context.channels:
            self.context.counters.add("unknown_channel")
            return
        self._emit(frame.channel, DatagramArrived(frame.sender, frame.incarnation, frame.row, source))

    def _on_newer_incarnation(self, member: MemberId, incarnation: Incarnation) -> None:
        """The member was restarted: links to and from its earlier incarnation end."""
        self.accepted.member_restarted(member, incarnation.start)
        if (link := self.links.get(member)) is not None:
            self.context.loop.call_soon(link.member_restarted, incarnation)

    def _on_link(self, member: MemberId) -> None:
        if (link := self.links.get(member)) is not None:
            link.connect_now()

    def _free_descriptor(self) -> bool:
        return self.accepted.free_descriptor() or self._free_other_descriptor()
