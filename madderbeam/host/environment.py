"""What a courier stands in: where its list comes from, where ends are told, whose connections it takes.

On the platform that is discovery for both; beside one program a file that is followed and a feed of finals.
The turn knows neither by name.
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

CLIENT_SHARE = 0.5  # of the limit on open files is for clients
SIDECAR_PIPELINE = 1024  # requests of one connection that may wait, where it is the program's own courier


@dataclass(frozen=True)
class Environment:
    """The parts that differ from one kind of installation to another."""

    notices: Notices | Feed
    watch: Watch | ListFile
    places: Places


def surroundings(
    loop: asyncio.AbstractEventLoop,
    disk: Disk,
    network: Network,
    config: Config,
    accepted: Callable[[list[int]], None],
    listed: Callable[[dict[str, Any]], bool],
) -> Environment:
    """`accepted` is told of notices that were, `listed` of news of the list."""
    chance, side = random.Random(f"links {config.seed}"), config.sidecar
    most = max(8, int(config.sockets * CLIENT_SHARE))
    if side is None:
        return Environment(
            Notices(loop, network, config.discovery, chance, accepted),
            Watch(loop, network, config.discovery, chance, config.known["rev"], listed),
            Places(most),
        )
    notices = (
        Feed(loop, disk, side.feed, side.feed_bytes, chance, accepted)
        if side.feed
        else Notices(loop, network, config.discovery, chance, accepted)
    )
    return Environment(
        notices,
        ListFile(loop, disk, side.partners, listed),
        Places(min(side.clients, most), 1.0, side.client_idle_s, SIDECAR_PIPELINE),
    )
