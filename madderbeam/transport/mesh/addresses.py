"""Which addresses the mesh uses: numeric ones only, since a name lookup would block the event loop."""

from __future__ import annotations

import ipaddress
from functools import lru_cache

from madderbeam.ports import Address


@lru_cache(maxsize=4096)
def is_usable(address: Address) -> bool:
    """Whether something can be sent to this address.

    Other members' addresses arrive by gossip and can hold anything.
    """
    host, port = address
    if not isinstance(port, int) or not 0 < port < 1 << 16:
        return False
    try:
        return not ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False
