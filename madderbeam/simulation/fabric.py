"""What joins simulated processes with each other: streams and datagrams, over ways that fail by direction.

Each process is at a host; from each host to each other there is a `Way`, which loses, doubles, delays and
reorders datagrams, delays streams, and can be cut. What was sent on a stream over a way that is cut arrives
once it is whole again, as the sender's system repeats it; a datagram is lost.
"""

from __future__ import annotations

import errno
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from madderbeam.ports import Address
from madderbeam.simulation.loop import Killed, Scheduler
from madderbeam.simulation.network import Peer, SimNetwork, Stream, fail

QUEUE = 256  # datagrams that a socket keeps until they are read
DATAGRAM_MOST = 65_507  # bytes
COPY_BEHIND_US = (1_000, 120_000)  # what was written to a stream comes again so long behind
Action = Callable[..., None]


class Way:
    """From one host to another; changed by the script while the run goes on."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.latency_us, self.jitter_us = 300, 200
        self.loss = self.double = 0.0  # shares of datagrams
        self.late, self.late_us = 0.0, 0  # share of datagrams that take longer, so out of order
        self.copies = 0.0  # share of what is written to streams that comes twice
        self.cut = False
        self.held: deque[Callable[[], None]] = deque()  # of streams, while it is cut

    def delay(self) -> int:
        return self.latency_us + int(self.chance.random() * self.jitter_us)

    def break_off(self) -> None:
        """Nothing comes through any more."""
        self.cut = True

    def heal(self) -> None:
        """It is whole again; what streams had sent meanwhile goes on."""
        self.cut = False
        held, self.held = self.held, deque()
        for send in held:
            send()


class Splice:
    """The world's end of a stream that is joined to another process's: what arrives here goes on there."""

    def __init__(self, scheduler: Scheduler, way: Way, stream: Stream | None = None) -> None:
        self.scheduler, self.way = scheduler, way
        self.stream: Stream | None = stream
        self.other: Splice
        self.first: Callable[[], None] = lambda: None  # once the own stream is up
        self._line: deque[tuple[Action, tuple[Any, ...]]] = deque()
        self._last_us = 0

    def up(self) -> None:
        self.first()

    def refused(self) -> None:
        self._across(self.other._ended, True)

    def data(self, data: bytes) -> None:
        self._across(self.other._arrived, data)
        if self.way.copies and self.way.chance.random() < self.way.copies:
            self.scheduler.after(self.way.chance.randrange(*COPY_BEHIND_US), self._repeat, data)

    def _repeat(self, data: bytes) -> None:
        self._across(self.other._arrived_again, data)

    def ended(self, reset: bool) -> None:
        self._across(self.other._ended, reset)

    def _across(self, action: Action, *args: Any) -> None:
        """In order, also where two things arrive at one instant."""
        if self.way.cut:
            self.way.held.append(partial(self._across, action, *args))
            return
        self._last_us = max(self._last_us, self.scheduler.now_us + self.way.delay())
        self._line.append((action, args))
        self.scheduler.at(self._last_us, self._next)

    def _next(self) -> None:
        action, args = self._line.popleft()
        action(*args)

    def _arrived(self, data: bytes) -> None:
        stream, sender = self.stream, self.other.stream
        if stream is None:
            return  # nobody was there any more when the caller's end came up: it is told so
        assert sender is not None
        stream.write(data)
        stream.when_read(stream.sent, partial(sender.peer_took, len(data)))

    def _arrived_again(self, data: bytes) -> None:
        if self.stream is not None:
            self.stream.write(data)

    def _ended(self, reset: bool) -> None:
        if self.stream is None:
            return  # nobody was there any more when the caller's end came up
        if reset:
            self.stream.abort()
        else:
            self.stream.finish()


class SimDatagrams:
    """A process's socket for datagrams."""

    def __init__(self, fabric: Fabric, network: SimNetwork, address: Address) -> None:
        self.fabric, self.network, self.address = fabric, network, address
        self.queue: deque[tuple[bytes, Address]] = deque()
        self.overflown = 0  # datagrams that came while the queue was full

    def recvfrom(self, size: int) -> tuple[bytes, Address]:
        if self.network.operation("recvfrom"):
            raise Killed
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "nothing to read")
        data, source = self.queue.popleft()
        return data[:size], source

    def sendto(self, data: bytes, address: Address) -> int:
        if self.network.operation("sendto"):
            raise Killed
        if len(data) > DATAGRAM_MOST:
            raise fail(errno.EMSGSIZE)
        self.fabric.send(self, bytes(data), address)
        if self.network.operation("sent"):  # killed right behind it
            raise Killed
        return len(data)

    def arrived(self, data: bytes, source: Address) -> None:
        if len(self.queue) >= QUEUE:
            self.overflown += 1
            return
        self.queue.append((data, source))
        self.network.wake_reader(self)

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        self.fabric.unbind(self)
        self.network.off_readable(self)

    @property
    def readable(self) -> bool:
        return bool(self.queue)

    writable = True


class Fabric:
    """All hosts of a run and the ways between them."""

    def __init__(self, scheduler: Scheduler, chance: random.Random) -> None:
        self.scheduler, self.chance = scheduler, chance
        self.networks: dict[str, SimNetwork] = {}
        self.sockets: dict[Address, SimDatagrams] = {}
        self.ways: dict[tuple[str, str], Way] = {}
        self.copies = 0.0  # on each new way

    def way(self, source: str, to: str) -> Way:
        """How things go from one host to the other, in this direction alone."""
        if (source, to) not in self.ways:
            self.ways[source, to] = Way(self.chance)
            self.ways[source, to].copies = self.copies
        return self.ways[source, to]

    # For SimNetwork (network.Between)

    def join(self, host: str, network: SimNetwork) -> None:
        self.networks[host] = network

    def leave(self, network: SimNetwork) -> None:
        for sock in [s for s in self.sockets.values() if s.network is network]:
            self.unbind(sock)
        if self.networks.get(network.host) is network:
            del self.networks[network.host]

    def accept(self, stream: Stream) -> str | Peer:
        caller, called = stream.network.host, stream.address[0]
        there, back = self.way(caller, called), self.way(called, caller)
        if there.cut or back.cut:
            return "nothing"
        network = self.networks.get(called)
        if network is None or stream.address not in network.listeners:
            return "refused"
        near, far = Splice(self.scheduler, there, stream), Splice(self.scheduler, back)
        near.other, far.other = far, near
        stream.paced = True
        near.first = partial(self._dial, stream.address, far)
        return near

    def _dial(self, address: Address, far: Splice) -> None:
        """The caller's end is up: the other process finds it waiting."""
        network = self.networks.get(address[0])
        if network is None:
            far.refused()
            return
        far.stream = network.dial(address, far)
        far.stream.paced = True

    def datagram(self, network: SimNetwork, address: Address) -> SimDatagrams:
        if address in self.sockets:
            raise fail(errno.EADDRINUSE)
        self.sockets[address] = sock = SimDatagrams(self, network, address)
        return sock

    # Datagrams

    def unbind(self, sock: SimDatagrams) -> None:
        if self.sockets.get(sock.address) is sock:
            del self.sockets[sock.address]

    def send(self, sock: SimDatagrams, data: bytes, address: Address) -> None:
        """To whoever is bound there when it arrives; nobody is told of a loss."""
        way, chance = self.way(sock.address[0], address[0]), self.chance
        if way.cut:
            return
        for _ in range(2 if chance.random() < way.double else 1):
            if chance.random() < way.loss:
                continue
            more = way.late_us if chance.random() < way.late else 0
            self.scheduler.after(way.delay() + more, self._arrive, data, sock.address, address)

    def _arrive(self, data: bytes, source: Address, address: Address) -> None:
        sock = self.sockets.get(address)
        if sock is not None:
            sock.arrived(data, source)
