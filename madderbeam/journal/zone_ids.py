"""Zones as the journal records them: by a number that depends on the zone's name alone.

A place in the settings' list would come to mean another zone where that list changes between two processes.
"""

from __future__ import annotations

import hashlib

UNKNOWN_ZONE_ID = 0
ZONE_ID_BYTES = 4


def zone_id(name: str) -> int:
    """Return the number of the zone with this name; UNKNOWN_ZONE_ID for no name."""
    if not name:
        return UNKNOWN_ZONE_ID
    digest = hashlib.blake2b(name.encode(), digest_size=ZONE_ID_BYTES).digest()
    return int.from_bytes(digest, "big") or 1
