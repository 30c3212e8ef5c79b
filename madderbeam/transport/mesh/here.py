"""What all parts of one member's mesh share: who it is, bounds, counts, the lives that it has seen."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from madderbeam.membership.values import Incarnation, MemberId, Row
from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.connection import Connection
from madderbeam.transport.mesh.counts import Counts
from madderbeam.transport.mesh.events import MeshSettings, Told


class Lives:
    """The latest start that was seen of each member, of so many members at most."""

    def __init__(self, most: int, newer: Callable[[MemberId, Incarnation], None]) -> None:
        """newer: called when a member is seen in a later life than before."""
        self.most, self.newer = most, newer
        self.latest: dict[MemberId, Incarnation] = {}  # the one that changed longest ago first

    def older(self, member: MemberId, life: Incarnation) -> Incarnation | None:
        """The later life that was seen, if there is one. Of two with one start neither is the older."""
        latest = self.latest.get(member)
        return latest if latest is not None and life.start < latest.start else None

    def saw(self, member: MemberId, life: Incarnation) -> None:
        """It is there in this life, or was."""
        latest = self.latest.get(member)
        if latest is not None and life.start <= latest.start:
            return
        self.latest.pop(member, None)
        self.latest[member] = life
        if len(self.latest) > self.most:
            del self.latest[next(iter(self.latest))]
        if latest is not None:
            self.newer(member, life)


@dataclass
class Here:
    """One member, as its mesh sees it."""

    loop: asyncio.AbstractEventLoop
    network: Network
    federation: str
    me: MemberId
    life: Incarnation
    settings: MeshSettings
    chance: random.Random
    counts: Counts
    lives: Lives
    told: Told
    channels: frozenset[str]
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # of links, as they are made

    def now_us(self) -> int:
        """The loop's time."""
        return int(self.loop.time() * 1e6)

    def connection(self, address: Address, sock: Socket | None = None) -> Connection:
        """OSError if no socket is to be had."""
        return Connection(self.loop, self.network, address, self.counts, self.settings.unsent_bytes, sock)

    def first(self, channel: str, row: Row) -> bytes:
        """A connection's first frame, which tells who we are. Strange if it is too large."""
        frame = frames.Frame(self.me, self.life, channel, row)
        return frames.lengthy(frames.pack(self.federation, frame, frames.STREAM_MOST))

    def read_first(self, data: bytes) -> frames.Frame:
        """The other side's first frame; Strange."""
        return frames.unpack(self.federation, data, frames.STREAM_MOST)

    def older(self, what: str, frame: frames.Frame) -> None:
        """This came from a life of a member that is over."""
        self.counts.odd("older", f"{what} from {frame.sender}: its start {frame.life.start} is over")
