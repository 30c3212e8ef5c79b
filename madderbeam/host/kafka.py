"""The Kafka front in the host: its server, the feed as the topic of finals, and the offsets that outlast
it."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.config.platform import Config, Kafka
from madderbeam.host import atomic_file
from madderbeam.host.components import ClientListener as Served
from madderbeam.host.components import Component
from madderbeam.host.host import Host
from madderbeam.ports import Clock, Disk, Network, Ports
from madderbeam.transport.clients import ClientServer, Places, Put
from madderbeam.transport.kafka.connection import connections
from madderbeam.transport.kafka.front import Front, Setup
from madderbeam.transport.local import Feed
from madderbeam.transport.reply_handle import ReplyHandle

KEPT_S = 60.0  # a connection that was of use is kept for so long with no request open
log = logging.getLogger(__name__)


class KafkaComponent(Component):
    """Built where the configuration has `kafka`. Gets what admission takes, and hands nothing else on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        disk: Disk,
        clock: Clock,
        config: Config,
        kafka: Kafka,
        hand_in: Callable[[Put, ReplyHandle], None],
        feed: Feed | None,
    ) -> None:
        self.disk, self.kafka, self.feed = disk, kafka, feed
        setup = Setup(
            kafka.advertised[0],
            kafka.advertised[1],
            config.settings.classes,
            frozenset(t.name for t in config.settings.tenants),
            kafka.users,
            kafka.partitions,
            kafka.finals,
        )
        self.front = Front(setup, hand_in, loop.time, lambda: int(clock.wall() * 1e3), self._later)
        self.loop = loop
        side = config.sidecar
        places = Places(side.clients if side else 64, 1.0, KEPT_S)
        self.server = ClientServer(loop, network, hand_in, places, connections(self.front))
        self.path = f"{feed.path}.kafka.json" if feed else ""
        self.front.saved = self.save
        if feed is not None:
            self._load(feed)
            feed.wrote, feed.renames = self._wrote, self._renames

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self.loop.call_later(seconds, action)

    @property
    def fronts(self) -> tuple[Served, ...]:
        return (self.server,)

    def open(self) -> None:
        log.info("Kafka clients may come at port %d", self.listen())

    def listen(self) -> int:
        """The port; OSError if it can't be had."""
        port = self.server.listen(*self.kafka.listen)
        if not self.front.setup.port:
            self.front.setup = replace(self.front.setup, port=port)
        return port

    # Finals

    def _load(self, feed: Feed) -> None:
        """What the feed holds, with the offsets that it had."""
        kept: dict[str, Any] = {}
        try:
            kept = json.loads(self.disk.read(self.path))
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            log.error("kafka: offsets begin anew: %s: %s", self.path, error)
        base, groups = kept.get("base", 0), kept.get("groups", {})
        if isinstance(base, int) and isinstance(groups, dict):
            self.front.finals.base, self.front.groups.offsets = base, groups
        self.aside = self.here = 0  # lines of the feed that was set aside, and of this one
        self.first = self.front.finals.base  # the offset of the first line that was set aside
        for path in (feed.path + ".1", feed.path):
            try:
                data = self.disk.read(path)
            except OSError:
                data = b""
            count = self.front.told_finals(data)
            if path == feed.path:
                self.here = count
            else:
                self.aside = count

    def _wrote(self, data: bytes) -> None:
        self.here += self.front.told_finals(data)

    def _renames(self) -> None:
        """The feed is about to be set aside, in place of the one before. Told first: a kill in between makes
        offsets too high, so that a consumer reads lines again; the other way round it would miss some."""
        self.first += self.aside
        self.aside, self.here = self.here, 0
        self.save()

    def save(self) -> None:
        """The offsets, whole or as they were."""
        if not self.path:
            return
        text = json.dumps({"base": self.first, "groups": self.front.groups.offsets}).encode()
        try:
            atomic_file.replace(self.disk, self.path, text)
        except OSError as error:
            log.error("kafka: offsets are not saved: %s", error)


def join(host: Host, ports: Ports) -> None:
    """Kafka clients hand in what admission takes, and read the feed."""
    assert host.config.kafka is not None
    feed = host.notices if isinstance(host.notices, Feed) else None
    host.rooms.append(
        KafkaComponent(
            host.loop,
            ports.network,
            ports.disk,
            ports.clock,
            host.config,
            host.config.kafka,
            host.admission.put,
            feed,
        )
    )
