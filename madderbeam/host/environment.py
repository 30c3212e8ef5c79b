"""The environment of a courier: where its endpoint list comes from, where notices go, its client limits.

On the platform discovery is both; for a sidecar they are a file that is watched and a feed file. The host
does not depend on which of them it has.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.ports import Disk, Network
from madderbeam.transport.clients import Places
from madderbeam.transport.discovery import Notices, Watch
from madderbeam.transport.local import Feed, ListFile

CLIENT_SHARE = 0.5  # of the limit on open files, for clients
SIDECAR_PIPELINE = 1024  # pipelined requests per connection if all clients are one application's


@dataclass(frozen=True)
class Environment:
    """The parts that differ from one kind of installation to another."""

    notices: Notices | Feed
    watch: Watch | ListFile
    client_limits: Places


def create_environment(
    loop: asyncio.AbstractEventLoop,
    disk: Disk,
    network: Network,
    config: Config,
    accepted: Callable[[list[int]], None],
    listed: Callable[[dict[str, Any]], bool],
) -> Environment:
    """Create the environment that the configuration has.

    `accepted` is called with the numbers of messages whose notices were accepted, `listed` with each endpoint
    list or change of it; it returns False to request the complete list.
    """
    rng, sidecar = random.Random(f"links {config.seed}"), config.sidecar
    max_clients = max(8, int(config.sockets * CLIENT_SHARE))
    if sidecar is None:
        return Environment(
            Notices(loop, network, config.discovery, rng, accepted),
            Watch(loop, network, config.discovery, rng, config.known["rev"], listed),
            Places(max_clients),
        )
    notices = (
        Feed(loop, disk, sidecar.feed, sidecar.feed_bytes, rng, accepted)
        if sidecar.feed
        else Notices(loop, network, config.discovery, rng, accepted)
    )
    return Environment(
        notices,
        ListFile(loop, disk, sidecar.partners, listed),
        Places(min(sidecar.clients, max_clients), 1.0, sidecar.client_idle_s, SIDECAR_PIPELINE),
    )
