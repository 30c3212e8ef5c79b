"""Meshes of several members in one process, over real sockets or a simulated network, for the same tests."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from faulty_links import HOST, Links

from madderbeam.membership.values import Incarnation, MemberId
from madderbeam.ports.real import RealNetwork
from madderbeam.simulation.fabric import Fabric
from madderbeam.simulation.loop import Scheduler, process_loop
from madderbeam.simulation.network import Link, SimNetwork
from madderbeam.transport.mesh.events import DatagramArrived, MeshSettings
from madderbeam.transport.mesh.mesh import Mesh

LIMIT_S = 40.0  # upper bound of every wait in a test
QUICK = MeshSettings(
    ping_s=0.15, connect_timeout_s=0.5, backoff_s=0.01, max_backoff_s=0.1, exchange_timeout_s=0.5
)
A, B, C = (MemberId("macon", "m1"), MemberId("savannah", "m1"), MemberId("savannah", "m2"))


class Node:
    """A member's mesh and the events that it emitted."""

    def __init__(self, me, start, loop, network, address, heard, settings, federation):
        self.me, self.told = me, []

        def told(channel, event):
            self.told.append((channel, event))
            heard(self, channel, event)

        self.mesh = Mesh(
            loop,
            network,
            me,
            Incarnation(start, 7 + start),
            federation,
            address,
            told,
            settings=settings,
            rng=random.Random(f"{me} {start}"),
        )
        self.network, self.port = network, self.mesh.listen()

    def of(self, kind, channel=None):
        """The emitted events of this kind."""
        return [e for c, e in self.told if isinstance(e, kind) and channel in (None, c)]

    def count(self, name):
        return self.mesh.metrics().get(name, 0)


class Rig:
    """Common to real and simulated networks: nodes, faults between them, and waiting for a condition."""

    settings = QUICK

    def __init__(self):
        self.nodes = {}

    def node(self, me, start=1, settings=None, federation="choirs"):
        if me in self.nodes:
            self.end(me)
        made = self.nodes[me] = self.make(me, start, settings or self.settings, federation)
        return made

    def heard(self, node, channel, event):
        """Replaced by a test that reacts to an event."""

    def want(self, a, b):
        self.nodes[a].mesh.open_link(b, self.address(a, b))


class RealRig(Rig):
    """Real sockets on the loopback interface, with proxies in between."""

    settings = replace(QUICK, ping_s=0.4)  # a pong may be slow on a busy machine

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.changed, self.errors = asyncio.Event(), []
        self.loop.set_exception_handler(lambda loop, context: self.errors.append(context))
        self.links = Links([A, B, C], seed=1)
        self.loop.run_until_complete(self.links.__aenter__())

    def make(self, me, start, settings, federation):
        async def inner():
            network = RealNetwork(asyncio.get_running_loop())
            return Node(me, start, self.loop, network, (HOST, 0), self._heard, settings, federation)

        node = self.loop.run_until_complete(inner())
        self.links.lead(me, (HOST, node.port))
        return node

    def _heard(self, node, channel, event):
        self.changed.set()
        self.heard(node, channel, event)

    def until(self, so):
        """Wait until the condition holds; raises TimeoutError after LIMIT_S."""

        async def inner():
            while not so():
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.02)
                except TimeoutError:
                    continue

        self.loop.run_until_complete(asyncio.wait_for(inner(), LIMIT_S))

    def address(self, a, b):
        return self.links.address(a, b)

    def cut(self, a, b):
        self.links[a, b].cut()

    def heal(self, a, b):
        self.links[a, b].heal()

    def fault(self, a, b, **shares):
        for name, value in shares.items():
            setattr(self.links[a, b], name, value)

    def passed(self, a, b):
        """Wait until no datagram is in flight from a to b; returns how many copies have been forwarded."""
        self.until(lambda: not self.links[a, b].under_way)
        return self.links[a, b].passed

    def end(self, me):
        self.nodes.pop(me).mesh.close()

    def close(self):
        async def inner():
            for node in self.nodes.values():
                node.mesh.close()
            await self.links.__aexit__()

        self.loop.run_until_complete(inner())
        self.loop.close()
        assert not self.errors, self.errors


class SimRig(Rig):
    """Simulated processes, one per host."""

    def __init__(self, seed=1):
        super().__init__()
        self.scheduler = Scheduler(seed)
        self.fabric = Fabric(self.scheduler, random.Random(f"ways {seed}"))
        self.hosts = {A: "10.9.0.1", B: "10.9.0.2", C: "10.9.0.3"}

    def make(self, me, start, settings, federation):
        loop = process_loop(self.scheduler)
        link = Link()
        link.partial = link.split = 0.3
        network = SimNetwork(
            loop, {}, link, random.Random(f"{me}"), lambda name: False, 200, self.hosts[me], self.fabric
        )
        return Node(me, start, loop, network, (self.hosts[me], 7946), self._heard, settings, federation)

    def _heard(self, node, channel, event):
        self.heard(node, channel, event)

    def until(self, so):
        end = self.scheduler.now_us + int(LIMIT_S * 1e6)
        while not so():
            assert self.scheduler.now_us < end, "not so in time"
            self.scheduler.run(self.scheduler.now_us + 10_000)

    def address(self, a, b):
        return (self.hosts[b], 7946)

    def way(self, a, b):
        return self.fabric.way(self.hosts[a], self.hosts[b])

    def cut(self, a, b):
        self.way(a, b).break_off()

    def heal(self, a, b):
        way = self.way(a, b)
        way.loss = way.double = way.late = 0.0
        way.heal()

    def fault(self, a, b, **shares):
        for name, value in shares.items():
            us = {"late_s": "late_us", "delay": "latency_us", "jitter": "jitter_us"}.get(name)
            setattr(self.way(a, b), us or name, int(value * 1e6) if us else value)

    def passed(self, a, b):
        """Let all datagrams in flight from a to b arrive; returns how many copies have arrived."""
        way = self.way(a, b)
        self.scheduler.run(self.scheduler.now_us + way.late_us + way.latency_us + way.jitter_us)
        return len(self.nodes[b].of(DatagramArrived))

    def end(self, me):
        node = self.nodes.pop(me)
        node.mesh.close()
        node.network.loop.dead = True
        node.network.die()

    def close(self):
        for node in self.nodes.values():
            node.mesh.close()
