"""Kafka clients of the host: the server, the feed file as a topic of outcomes, and the stored offsets."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.config.platform import Config, Kafka
from madderbeam.host import atomic_file
from madderbeam.host.components import ClientListener, Component
from madderbeam.host.host import Host
from madderbeam.ports import Clock, Disk, Network, Ports
from madderbeam.transport.buffer_budget import BufferBudget
from madderbeam.transport.clients import ClientServer, Places
from madderbeam.transport.kafka.connection import connections
from madderbeam.transport.kafka.feed_blocks import Block
from madderbeam.transport.kafka.front import Front, Setup
from madderbeam.transport.local import Feed
from madderbeam.transport.put_request import Put
from madderbeam.transport.reply_handle import ReplyHandle

IDLE_TIMEOUT_S = 60.0  # of a connection that has carried requests before
log = logging.getLogger(__name__)


class KafkaComponent(Component):
    """Serves Kafka clients if the configuration has `kafka`; their messages are submitted to admission."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        disk: Disk,
        clock: Clock,
        config: Config,
        kafka: Kafka,
        submit: Callable[[Put, ReplyHandle], None],
        validate: Callable[[Put], None],
        feed: Feed | None,
        client_buffers: BufferBudget,
    ) -> None:
        self.disk, self.kafka, self.feed = disk, kafka, feed
        setup = Setup(
            kafka.advertised[0],
            kafka.advertised[1],
            config.settings.classes,
            frozenset(tenant.name for tenant in config.settings.tenants),
            kafka.users,
            kafka.partitions,
            kafka.finals,
        )
        self.front = Front(setup, submit, loop.time, lambda: int(clock.wall() * 1e3), self._later, validate)
        self.loop = loop
        sidecar = config.sidecar
        limits = Places(sidecar.clients if sidecar else 64, 1.0, IDLE_TIMEOUT_S)
        self.server = ClientServer(loop, network, submit, limits, connections(self.front), client_buffers)
        self.path = f"{feed.path}.kafka.json" if feed else ""
        self.front.saved = self.save
        if feed is not None:
            self.front.finals.read_block = self._read_block
            self._load(feed)
            feed.wrote, feed.renames = self._feed_written, self._before_rotation

    def _later(self, seconds: float, action: Callable[[], None]) -> asyncio.TimerHandle:
        return self.loop.call_later(seconds, action)

    @property
    def listeners(self) -> tuple[ClientListener, ...]:
        """The server for Kafka clients."""
        return (self.server,)

    def open(self) -> None:
        """Begin to listen; OSError if that fails."""
        log.info("listening for Kafka clients on port %d", self.listen())

    def listen(self) -> int:
        """Listen and return the port; OSError if that fails."""
        port = self.server.listen(*self.kafka.listen)
        if not self.front.setup.port:
            self.front.setup = replace(self.front.setup, port=port)
        return port

    # The topic of outcomes

    def _load(self, feed: Feed) -> None:
        """Load the feed's lines and the stored offsets."""
        stored: dict[str, Any] = {}
        try:
            stored = json.loads(self.disk.read(self.path))
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            log.error("kafka: %s: stored offsets are unreadable and ignored: %s", self.path, error)
        base, groups = stored.get("base", 0), stored.get("groups", {})
        if isinstance(base, int) and isinstance(groups, dict):
            self.front.finals.base, self.front.groups.offsets = base, groups
        self.rotated_lines = self.current_lines = 0  # of the rotated feed file, and of the current one
        self.base_offset = self.front.finals.base  # of the first line of the rotated feed file
        for path in (feed.path + ".1", feed.path):
            try:
                data = self.disk.read(path)
            except OSError:
                data = b""
            count = self.front.told_finals(data, position=0)
            if path == feed.path:
                self.current_lines = count
            else:
                self.rotated_lines = count
                self.front.finals.in_files.rotate()

    def _feed_written(self, data: bytes) -> None:
        assert self.feed is not None
        self.current_lines += self.front.told_finals(data, self.feed.size - len(data))

    def _read_block(self, block: Block) -> bytes:
        assert self.feed is not None
        path = self.feed.path + ".1" if block.is_rotated else self.feed.path
        try:
            return self.disk.read_part(path, block.position, block.size_bytes)
        except OSError as error:
            log.error("kafka: %s: finals are unreadable: %s", path, error)
            return b""

    def _before_rotation(self) -> None:
        """Store the offsets before the feed file is rotated and the previous rotated file replaced.

        A kill between the two makes offsets too high, so that a consumer reads lines again. In the other
        order it would miss lines.
        """
        self.front.finals.in_files.rotate()
        self.base_offset += self.rotated_lines
        self.rotated_lines, self.current_lines = self.current_lines, 0
        self.save()

    def save(self) -> None:
        """Store the offsets atomically."""
        if not self.path:
            return
        data = json.dumps({"base": self.base_offset, "groups": self.front.groups.offsets}).encode()
        try:
            atomic_file.replace(self.disk, self.path, data)
        except OSError as error:
            log.error("kafka: offsets could not be stored: %s", error)


def join(host: Host, ports: Ports) -> None:
    """Add the Kafka component to a host: its clients submit messages to admission and consume the feed."""
    assert host.config.kafka is not None
    feed = host.notices if isinstance(host.notices, Feed) else None
    host.components.append(
        KafkaComponent(
            host.loop,
            ports.network,
            ports.disk,
            ports.clock,
            host.config,
            host.config.kafka,
            host.admission.submit,
            host.admission.validate,
            feed,
            host.client_buffers,
        )
    )
