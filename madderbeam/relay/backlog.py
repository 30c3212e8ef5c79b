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
from madderbeam.relay.messages import MAX_BODY_BYTES
from madderbeam.relay.site_backlog import SiteBacklog

UNREACHABLE_DIVISOR = 4  # divides the share of a site with no reachable member


@dataclass(frozen=True)
class BacklogLimits:
    """Limits on the pending entries of all sites together, and the Retry-After times in microseconds."""

    entries: int = 4096
    bytes: int = 64 * 1024 * 1024
    retry_after_us: int = 250_000
    unreachable_retry_after_us: int = 2_000_000


@dataclass(frozen=True)
class BacklogUsage:
    """What the pending entries of all sites use now."""

    entries: int
    bytes: int


def check_backlog(
    limits: BacklogLimits, usage: BacklogUsage, sites: Iterable[SiteBacklog], size: int
) -> FederationError | None:
    """The error that rejects a publication with a body of `size` bytes for these sites, or None to accept
    it."""
    if size > MAX_BODY_BYTES:
        return PublicationTooLarge(f"a body of {size} bytes, at most {MAX_BODY_BYTES}")
    for site in sites:
        divisor = UNREACHABLE_DIVISOR if site.unreachable_since_us >= 0 else 1
        allowed_entries = max(0, limits.entries - usage.entries) // divisor
        allowed_bytes = max(0, limits.bytes - usage.bytes) // divisor
        if len(site.deliveries) < allowed_entries and site.bytes + size <= allowed_bytes:
            continue
        backlog = f"{len(site.deliveries)} publications with {site.bytes} bytes wait for {site.name}"
        if site.unreachable_since_us >= 0:
            return SiteAway(
                f"{backlog}, which has no member that can be reached", limits.unreachable_retry_after_us
            )
        return StreamFull(
            f"{backlog}, at most {allowed_entries} with {allowed_bytes} now", limits.retry_after_us
        )
    return None
