"""State shared by all parts of one member's mesh: identity, settings, counters, incarnations seen."""

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
    """The latest incarnation seen of each member, for a bounded number of members."""

    def __init__(self, max_members: int, on_newer: Callable[[MemberId, Incarnation], None]) -> None:
        """on_newer: called when a member is seen in a later incarnation than before."""
        self.most, self.newer = max_members, on_newer
        self.latest: dict[MemberId, Incarnation] = {}  # the one changed longest ago comes first

    def older(self, member: MemberId, incarnation: Incarnation) -> Incarnation | None:
        """The later incarnation that was seen, if there is one.

        Of two incarnations with the same start neither is older.
        """
        latest = self.latest.get(member)
        return latest if latest is not None and incarnation.start < latest.start else None

    def saw(self, member: MemberId, incarnation: Incarnation) -> None:
        """Note that the member runs, or ran, in this incarnation."""
        latest = self.latest.get(member)
        if latest is not None and incarnation.start <= latest.start:
            return
        self.latest.pop(member, None)
        self.latest[member] = incarnation
        if len(self.latest) > self.most:
            del self.latest[next(iter(self.latest))]
        if latest is not None:
            self.newer(member, incarnation)


@dataclass
class Here:
    """One member's identity and shared state within its mesh."""

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
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # sequence numbers of links

    def now_us(self) -> int:
        """The event loop's time in microseconds."""
        return int(self.loop.time() * 1e6)

    def connection(self, address: Address, sock: Socket | None = None) -> Connection:
        """A new connection. OSError if no socket is available."""
        return Connection(self.loop, self.network, address, self.counts, self.settings.unsent_bytes, sock)

    def first(self, channel: str, row: Row) -> bytes:
        """A connection's first frame, which identifies this member. Strange if it is too large."""
        frame = frames.Frame(self.me, self.life, channel, row)
        return frames.lengthy(frames.pack(self.federation, frame, frames.STREAM_MOST))

    def read_first(self, data: bytes) -> frames.Frame:
        """Decode the other side's first frame; Strange if it is not valid."""
        return frames.unpack(self.federation, data, frames.STREAM_MOST)

    def older(self, source: str, frame: frames.Frame) -> None:
        """Count a frame that came from an outdated incarnation of a member."""
        self.counts.odd("older", f"{source} from {frame.sender} with the outdated start {frame.life.start}")
