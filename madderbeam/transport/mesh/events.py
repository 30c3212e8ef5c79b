"""The events of the mesh, and its settings.

Besides these it emits `LinkUp`, `LinkDown` and `MessageReceived` (membership/values.py), the last with the
row as its message and the earliest event loop time, in microseconds, at which it can have been sent. Rows are
within the bounds of a frame; whoever reads them checks their content.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.membership.values import Address, Incarnation, MemberId, Row

ALL_CHANNELS = ""  # the channel of events that concern all: LinkUp, LinkDown, LaterIncarnationSeen


@dataclass(frozen=True)
class DatagramArrived:
    """A datagram arrived."""

    sender: MemberId
    incarnation: Incarnation
    row: Row
    source: Address


@dataclass(frozen=True)
class ExchangeRequested:
    """A member sent its row on a connection of its own and waits for `Mesh.reply(reply, row)`."""

    sender: MemberId
    incarnation: Incarnation
    row: Row
    reply_id: int


@dataclass(frozen=True)
class ExchangeReplied:
    """The reply to `Mesh.exchange` with this address."""

    address: Address
    sender: MemberId
    incarnation: Incarnation
    row: Row


@dataclass(frozen=True)
class ExchangeAborted:
    """The exchange failed: no complete reply came in time, or no connection."""

    address: Address
    reason: str


@dataclass(frozen=True)
class LaterIncarnationSeen:
    """Another member has seen a later incarnation of this member than the running one.

    The state directory was restored from an older copy, or a second process uses a copy of it.
    """

    member: MemberId
    seen: Incarnation


EventHandler = Callable[[str, Any], None]  # called with channel and event


@dataclass(frozen=True)
class MeshSettings:
    """Times in seconds; sizes in bytes."""

    ping_s: float = 1.0  # between two pings on a link
    max_missed_pongs: int = 3  # unanswered in a row before the link counts as broken
    connect_timeout_s: float = 2.0  # time limit from the start of connecting until the link is up
    backoff_s: float = 0.05  # before the second attempt, doubled before each later one
    max_backoff_s: float = 2.0
    exchange_timeout_s: float = 5.0  # time limit of a whole exchange
    max_unsent_bytes: int = 8 << 20  # buffered per link; the link breaks if more would be needed
    max_unidentified: int = 32  # accepted connections that have sent no first frame
    max_unidentified_bytes: int = 8 << 20  # of first frames that are not whole, together
    max_incoming_links: int = 1024  # incoming links
    max_partial_bytes: int = 16 << 20  # of frames on incoming links that are not whole, together
    max_exchanges: int = 16  # concurrent exchanges in each direction
    max_members: int = 4096  # members whose latest incarnation is remembered
    drift_ppm: int = 200  # bound on the drift between members' clocks

    @property
    def silence_limit_s(self) -> float:
        """The time within which a link that receives nothing is detected as broken."""
        return self.ping_s * (self.max_missed_pongs + 1)
