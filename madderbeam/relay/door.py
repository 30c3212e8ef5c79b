"""Admission of publications by backlog: each site may use a share of the free capacity, and none can use it
up.

Dynamic thresholds (Choudhury and Hahne, 1998): a site's backlog may be as large as the capacity that is free
for all. So n sites that accept nothing leave 1/(n+1) of the capacity to the others, and a single slow one
may use half.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.federation.errors import FederationError, PublicationTooLarge, SiteAway, StreamFull
from madderbeam.relay.legs import Site
from madderbeam.relay.messages import BODY_MOST

AWAY_PART = 4  # divides the share of a site with no reachable member


@dataclass(frozen=True)
class Room:
    """Limits on the pending entries of all sites together, and the Retry-After times in microseconds."""

    entries: int = 4096
    bytes: int = 64 * 1024 * 1024
    again_us: int = 250_000
    away_again_us: int = 2_000_000


@dataclass(frozen=True)
class Use:
    """What the pending entries of all sites use now."""

    entries: int
    bytes: int


def why_not(room: Room, use: Use, sites: Iterable[Site], size: int) -> FederationError | None:
    """The error that rejects a publication with a body of `size` bytes for these sites, or None to accept
    it."""
    if size > BODY_MOST:
        return PublicationTooLarge(f"a body of {size} bytes, at most {BODY_MOST}")
    for site in sites:
        divisor = AWAY_PART if site.away_us >= 0 else 1
        allowed_entries = max(0, room.entries - use.entries) // divisor
        allowed_bytes = max(0, room.bytes - use.bytes) // divisor
        if len(site.legs) < allowed_entries and site.bytes + size <= allowed_bytes:
            continue
        backlog = f"{len(site.legs)} publications with {site.bytes} bytes wait for {site.name}"
        if site.away_us >= 0:
            return SiteAway(f"{backlog}, which has no member that can be reached", room.away_again_us)
        return StreamFull(f"{backlog}, at most {allowed_entries} with {allowed_bytes} now", room.again_us)
    return None
