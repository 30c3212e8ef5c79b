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
from madderbeam.transport.mesh.counters import Counters
from madderbeam.transport.mesh.events import EventHandler, MeshSettings


class LatestIncarnations:
    """The latest incarnation seen of each member, for a bounded number of members."""

    def __init__(self, max_members: int, on_newer: Callable[[MemberId, Incarnation], None]) -> None:
        """on_newer: called when a member is seen in a later incarnation than before."""
        self.max_members, self.on_newer = max_members, on_newer
        self.latest: dict[MemberId, Incarnation] = {}  # the one changed longest ago comes first

    def later_incarnation(self, member: MemberId, incarnation: Incarnation) -> Incarnation | None:
        """The later incarnation that was seen, if there is one.

        Of two incarnations with the same start neither is older.
        """
        latest = self.latest.get(member)
        return latest if latest is not None and incarnation.start < latest.start else None

    def record(self, member: MemberId, incarnation: Incarnation) -> None:
        """Note that the member runs, or ran, in this incarnation."""
        latest = self.latest.get(member)
        if latest is not None and incarnation.start <= latest.start:
            return
        self.latest.pop(member, None)
        self.latest[member] = incarnation
        if len(self.latest) > self.max_members:
            del self.latest[next(iter(self.latest))]
        if latest is not None:
            self.on_newer(member, incarnation)


@dataclass
class MeshContext:
    """One member's identity and shared state within its mesh."""

    loop: asyncio.AbstractEventLoop
    network: Network
    federation: str
    local_id: MemberId
    incarnation: Incarnation
    settings: MeshSettings
    rng: random.Random
    counters: Counters
    incarnations: LatestIncarnations
    emit: EventHandler
    channels: frozenset[str]
    link_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def now_us(self) -> int:
        """The event loop's time in microseconds."""
        return int(self.loop.time() * 1e6)

    def connection(self, address: Address, sock: Socket | None = None) -> Connection:
        """A new connection. OSError if no socket is available."""
        return Connection(
            self.loop, self.network, address, self.counters, self.settings.max_unsent_bytes, sock
        )

    def identifying_frame(self, channel: str, row: Row) -> bytes:
        """A connection's first frame, which identifies this member. InvalidFrame if it is too large."""
        frame = frames.Frame(self.local_id, self.incarnation, channel, row)
        return frames.with_length(frames.pack(self.federation, frame, frames.MAX_STREAM_FRAME_BYTES))

    def read_identifying_frame(self, data: bytes) -> frames.Frame:
        """Decode the other side's first frame; InvalidFrame if it is not valid."""
        return frames.unpack(self.federation, data, frames.MAX_STREAM_FRAME_BYTES)

    def count_outdated(self, source: str, frame: frames.Frame) -> None:
        """Count a frame that came from an outdated incarnation of a member."""
        self.counters.anomaly(
            "older", f"{source} from {frame.sender} with the outdated start {frame.incarnation.start}"
        )
