"""Deterministic subsetting: selects the servers of a large pool that one courier uses.

Subsets are bounded, the same after each restart, and spread evenly over the servers. Servers are ordered on a
circle by a digest of their names, which doesn't change as other servers come and go. Courier j of c begins at
position j * n / c and uses the next `max_size` servers: any two servers are in equally many subsets, give or
take one, and removing a server shifts each subset by at most one position. (Reshuffling for each group of
couriers, as in the SRE book's chapter on load balancing, is as even only if the sizes divide, and removing a
server changes all subsets: docs/design/routing.md has the measurements.)
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def select_subset(names: Iterable[str], courier_index: int, couriers: int, max_size: int) -> list[str]:
    """Return at most `max_size` names (0: all) for the courier `courier_index`, from 0, of `couriers`."""
    circle = sorted(set(names), key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    count = len(circle)
    if not max_size or max_size >= count:
        return circle
    start = courier_index % max(1, couriers) * count // max(1, couriers)
    return [circle[(start + offset) % count] for offset in range(max_size)]
