"""What the mesh tells, and by which times and bounds it goes.

Beside these it tells `LinkUp`, `LinkDown` and `FromLink` (membership/values.py), the latter with the row as
its message and the loop's time, in microseconds, at which it can have been said. Rows are within the frame's
bounds; what they mean is checked by whoever reads them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.membership.values import Address, Incarnation, MemberId, Row

ALL = ""  # the channel of what concerns each: LinkUp, LinkDown, Outlived


@dataclass(frozen=True)
class Came:
    """A datagram."""

    sender: MemberId
    life: Incarnation
    row: Row
    source: Address


@dataclass(frozen=True)
class Asked:
    """A member hands its row over on a connection of its own, and waits for `Mesh.reply(reply, row)`."""

    sender: MemberId
    life: Incarnation
    row: Row
    reply: int


@dataclass(frozen=True)
class Answered:
    """The answer to `Mesh.exchange` with this address."""

    to: Address
    sender: MemberId
    life: Incarnation
    row: Row


@dataclass(frozen=True)
class Unanswered:
    """No whole answer came from there in time, or no connection."""

    to: Address
    why: str


@dataclass(frozen=True)
class Outlived:
    """Another member has seen a later life of this one than the one that now runs: its folder is older."""

    member: MemberId
    seen: Incarnation


Told = Callable[[str, Any], None]  # channel and event


@dataclass(frozen=True)
class MeshSettings:
    """Times in seconds; sizes in bytes."""

    ping_s: float = 1.0  # between two pings on a link
    silent_pings: int = 3  # unanswered in a row, then the link is broken
    connect_s: float = 2.0  # from the start of connecting until the link is up
    backoff_s: float = 0.05  # before the second attempt, twice as long before each that follows
    backoff_most_s: float = 2.0
    exchange_s: float = 5.0  # for an exchange, from its start to its end
    unsent_bytes: int = 8 << 20  # that a link keeps; what does not fit breaks it
    arrivals: int = 32  # connections that have not yet said what they are
    incoming: int = 1024  # links of others to here
    exchanges: int = 16  # at once, in each direction
    members: int = 4096  # whose lives are known
    drift_ppm: int = 200  # members' clocks run apart by so much at most

    @property
    def silent_s(self) -> float:
        """A link on which nothing comes is found broken within this time."""
        return self.ping_s * (self.silent_pings + 1)
