"""A simulated network: streams between simulated processes (socket calls) and the world (callbacks).

Each stream has a process at one end, which uses it through socket's methods, and a `Peer` of the world at the
other, which is called when something arrives. Bytes arrive in order, after the link's latency; writes may be
taken in parts and reads give parts; streams may be refused, never come up, fall silent, be reset or end.
"""

from __future__ import annotations

import errno
import os
import random
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from madderbeam.ports import Address
from madderbeam.simulation.loop import Killed, ProcessLoop

WINDOW = 1 << 16  # bytes under way in one direction
MSG_PEEK = int(socket.MSG_PEEK)


def fail(code: int) -> OSError:
    return OSError(code, os.strerror(code))


class Peer(Protocol):
    """The world's end of a stream."""

    def up(self) -> None:
        """It is connected."""

    def refused(self) -> None:
        """It will not be connected."""

    def data(self, data: bytes) -> None:
        """This arrived."""

    def ended(self, reset: bool) -> None:
        """The process has ended its sending, or the stream broke."""


class Tap(Protocol):
    """Sees what the process writes, at the moment at which it does."""

    def wrote(self, data: bytes) -> None: ...


class Link:
    """How one process is joined to the world; changed by the script while the run goes on."""

    def __init__(self) -> None:
        self.latency_us, self.jitter_us = 500, 500
        self.partial = 0.0  # share of writes that are taken in part
        self.split = 0.0  # share of reads and arrivals that come in parts
        self.window = WINDOW
        self.grid_us = 1  # arrivals are rounded up to this


class Stream:
    """One connection."""

    def __init__(self, network: SimNetwork, address: Address) -> None:
        self.network, self.address = network, address
        self.scheduler, self.chance = network.scheduler, network.chance
        self.peer: Peer | None = None
        self.tap: Tap | None = None
        self.handshake_us = 0  # that it takes longer to come up
        self.silent = False  # cut off: nothing arrives at either side any more
        # The process's end.
        self.up = self.closed = False
        self.error = 0
        self.end = False  # the peer has ended its sending, and that has arrived
        self.received = bytearray()
        self.taken = 0  # bytes that the process has read so far
        self.marks: deque[tuple[int, Callable[[], None]]] = deque()  # to be called once so many were read
        self.under_way = 0
        self.paced = False  # the peer tells what it has taken, until then that fills the window
        self.closed_us = self.accepted_us = -1
        self.passed = False  # another process holds it as well: this one's close ends nothing
        # The peer's end.
        self.sent = 0  # bytes that the peer has written so far
        self.gone = False  # the peer has closed
        # What is under way arrives in its order, also where two arrivals fall on one instant.
        self._in: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._out: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._in_us = self._out_us = 0

    def _delay(self) -> int:
        link = self.network.link
        return link.latency_us + int(self.chance.random() * link.jitter_us)

    def _arrival(self, after: int) -> int:
        """When something sent now arrives, not before `after`."""
        at = max(after, self.scheduler.now_us + self._delay())
        grid = self.network.link.grid_us
        return -(-at // grid) * grid

    def _to_process(self, action: Callable[..., None], *args: Any) -> None:
        self._in_us = self._arrival(self._in_us)
        self._in.append((action, args))
        self.scheduler.at(self._in_us, self._next, self._in)

    def _to_peer(self, action: Callable[..., None], *args: Any) -> None:
        self._out_us = self._arrival(self._out_us)
        self._out.append((action, args))
        self.scheduler.at(self._out_us, self._next, self._out)

    @staticmethod
    def _next(line: deque[tuple[Callable[..., None], tuple[Any, ...]]]) -> None:
        action, args = line.popleft()
        action(*args)

    # The peer's side

    def write(self, data: bytes, whole: bool = False) -> None:
        """The peer writes; it arrives in order, in one piece if `whole`."""
        if self.gone or (self.closed and not self.peer):
            return
        self.sent += len(data)
        link = self.network.link
        if link.split and not whole and len(data) > 1 and self.chance.random() < link.split:
            cut = self.chance.randrange(1, len(data))
            self._to_process(self._arrived, data[:cut])
            data = data[cut:]
        self._to_process(self._arrived, data)

    def _arrived(self, data: bytes) -> None:
        if self.closed or self.silent or self.error:
            return
        self.received += data
        self.network.wake_reader(self)

    @property
    def arrival_us(self) -> int:
        """When the last of what the peer has written comes, or came, to the process."""
        return self._in_us

    def finish(self) -> None:
        """The peer ends its sending and closes."""
        if not self.gone:
            self.gone = True
            self._to_process(self._finished)

    def end_sending(self) -> None:
        """The peer ends its sending and goes on reading."""
        if not self.gone:
            self._to_process(self._finished)

    def _finished(self) -> None:
        if not self.closed and not self.silent:
            self.end = True
            self.network.wake_reader(self)
            self.network.wake_writer(self)

    def abort(self) -> None:
        """The peer resets the stream: what is under way is lost."""
        if not self.gone:
            self.gone = True
            self.scheduler.after(self._delay(), self._aborted)

    def _aborted(self) -> None:
        if not self.closed and not self.silent:
            self.error, self.received = errno.ECONNRESET, bytearray()
            self.network.wake_reader(self)
            self.network.wake_writer(self)

    def when_read(self, offset: int, action: Callable[[], None]) -> None:
        """Call once the process has read that many bytes."""
        if self.taken >= offset:
            action()
        else:
            self.marks.append((offset, action))

    # The process's side: socket's methods

    def _operation(self, name: str) -> None:
        if self.network.operation(name):
            raise Killed

    def connect_ex(self, address: Address) -> int:
        self._operation("connect")
        return self.network.connect(self)

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not flags:
            self._operation("recv")
        if self.error:
            raise fail(self.error)
        if not self.received:
            if self.end:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing to read")
        if flags & MSG_PEEK:
            return bytes(self.received[:size])
        link = self.network.link
        if link.split and self.chance.random() < link.split:
            size = self.chance.randrange(1, min(size, len(self.received)) + 1)
        data = bytes(self.received[:size])
        del self.received[:size]
        self.taken += len(data)
        while self.marks and self.marks[0][0] <= self.taken:
            self.marks.popleft()[1]()
        return data

    def recv_into(self, buffer: bytearray) -> int:
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def send(self, data: Any) -> int:
        self._operation("send")
        if self.error:
            raise fail(self.error)
        if not self.up or self.closed:
            raise fail(errno.ENOTCONN)
        if self.gone and self.end:  # the peer has closed: it answers with a reset
            self.error = errno.ECONNRESET
            self.network.wake_reader(self)
            return len(data)
        link = self.network.link
        room = link.window - self.under_way
        if room <= 0:
            raise BlockingIOError(errno.EAGAIN, "no room")
        size = min(len(data), room)
        if link.partial and size > 1 and self.chance.random() < link.partial:
            size = self.chance.randrange(1, size)
        part = bytes(data[:size])
        self.under_way += size
        if self.tap is not None:
            self.tap.wrote(part)
        self._to_peer(self._delivered, part)
        if self.network.operation("sent"):  # killed right behind a write
            raise Killed
        return size

    def _delivered(self, part: bytes) -> None:
        if not self.paced:
            self.under_way -= len(part)
        if self.silent:
            return
        if not self.paced:
            self.network.wake_writer(self)
        if not self.gone and self.peer is not None:
            self.peer.data(part)

    def peer_took(self, size: int) -> None:
        """So many bytes more have left the window, where the peer tells (`paced`)."""
        self.under_way -= size
        if not self.closed:
            self.network.wake_writer(self)

    def getsockopt(self, level: int, option: int) -> int:
        return self.error if option == socket.SO_ERROR else 0

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        return

    def getsockname(self) -> Address:
        return ("127.0.0.1", 1)

    def setblocking(self, on: bool) -> None:
        return

    def shutdown(self, how: int) -> None:
        """End the process's sending; the peer closes as it hears of that."""
        self._operation("shutdown")
        if self.error or (self.gone and self.end):
            raise fail(errno.ENOTCONN)
        self._to_peer(self._shut)

    def _shut(self) -> None:
        if not self.gone and not self.silent and self.peer is not None:
            self.gone = True
            self.peer.ended(False)
            self._to_process(self._finished)

    def close(self) -> None:
        if not self.network.dead:
            self._operation("close")
        if self.passed:
            self.passed = False
            return
        self.shut(reset=bool(self.received))

    def shut(self, reset: bool) -> None:
        """The process's end is gone: closed by it, or with it."""
        if self.closed:
            return
        self.closed, self.closed_us = True, self.scheduler.now_us
        self.network.closed(self)
        self._to_peer(self._ended, reset)

    def _ended(self, reset: bool) -> None:
        if not self.gone and self.peer is not None:
            self.gone = True
            self.peer.ended(reset)

    def cut(self) -> None:
        """The machine behind it vanishes: the stream stays open and silent."""
        self.silent = True

    @property
    def readable(self) -> bool:
        return bool(self.received or self.end or self.error)

    @property
    def writable(self) -> bool:
        return bool(self.error or (self.up and self.under_way < self.network.link.window))


class Listener:
    """A process's listening socket."""

    def __init__(self, network: SimNetwork, address: Address, backlog: int) -> None:
        self.network, self.address, self.backlog = network, address, backlog
        self.waiting: deque[Stream] = deque()
        self.closed = self.passed = False

    def accept(self) -> tuple[Stream, Address]:
        if self.network.operation("accept"):
            raise Killed
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "none waits")
        self.network.take_descriptor()
        stream = self.waiting.popleft()
        self.network.open[stream] = None
        stream.accepted_us = stream.scheduler.now_us
        return stream, ("127.0.0.1", 2)

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        if self.passed:
            self.passed = False
            return
        self.closed = True
        self.network.unlisten(self)
        for stream in self.waiting:
            stream.shut(reset=True)

    @property
    def readable(self) -> bool:
        return bool(self.waiting)

    writable = False


class Service(Protocol):
    """What stands behind an address of the world."""

    def accept(self, stream: Stream) -> str | Peer:
        """A peer for the stream, 'refused', or 'nothing': it never comes up."""
        ...


class Between(Protocol):
    """What joins processes with each other (fabric.Fabric)."""

    def join(self, host: str, network: SimNetwork) -> None:
        """This process is at that host from now on."""

    def leave(self, network: SimNetwork) -> None:
        """The process is gone."""

    def accept(self, stream: Stream) -> str | Peer:
        """As of a Service."""
        ...

    def datagram(self, network: SimNetwork, address: Address) -> Any:
        """A socket for datagrams."""


class SimNetwork:
    """The network as one process sees it: the port, and the world's way in. `host`: its own, as others
    reach it by `between`."""

    def __init__(
        self,
        loop: ProcessLoop,
        world: dict[Address, Service],
        link: Link,
        chance: random.Random,
        operation: Callable[[str], bool],
        descriptors: int,
        host: str = "",
        between: Between | None = None,
    ) -> None:
        self.host, self.between = host, between
        if between is not None:
            between.join(host, self)
        self.loop, self.scheduler, self.world = loop, loop.scheduler, world
        self.link, self.chance, self.operation, self.descriptors = link, chance, operation, descriptors
        self.listeners: dict[Address, Listener] = {}
        self.open: dict[Stream, None] = {}
        self.most = 0  # descriptors open, the most ever
        self.dead = False
        self.successor: SimNetwork | None = None  # of the process that took over
        self._readers: dict[Any, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._writers: dict[Any, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._woken: set[tuple[Any, bool]] = set()  # looked up only, never iterated

    # The port

    def listen(self, address: Address, backlog: int) -> Any:  # a Listener: what it lacks is not used
        if address in self.listeners:
            raise fail(errno.EADDRINUSE)
        self.listeners[address] = listener = Listener(self, address, backlog)
        return listener

    def stream(self, address: Address) -> Any:  # a Stream
        self.take_descriptor()
        stream = Stream(self, address)
        self.open[stream] = None
        return stream

    def datagram(self, address: Address) -> Any:  # a fabric.SimDatagrams
        if self.between is None:
            raise fail(errno.EADDRNOTAVAIL)
        return self.between.datagram(self, address)

    def on_readable(self, sock: Any, callback: Callable[..., Any], *args: Any) -> None:
        self._readers[sock] = (callback, args)
        if sock.readable:
            self.wake_reader(sock)

    def off_readable(self, sock: Any) -> bool:
        return self._readers.pop(sock, None) is not None

    def on_writable(self, sock: Any, callback: Callable[..., Any], *args: Any) -> None:
        self._writers[sock] = (callback, args)
        if sock.writable:
            self.wake_writer(sock)

    def off_writable(self, sock: Any) -> bool:
        return self._writers.pop(sock, None) is not None

    # Readiness: level-triggered, as select has it

    def wake_reader(self, sock: Any) -> None:
        self._wake(sock, False)

    def wake_writer(self, sock: Any) -> None:
        self._wake(sock, True)

    def _wake(self, sock: Any, write: bool) -> None:
        key = (sock, write)
        if key not in self._woken and sock in (self._writers if write else self._readers):
            self._woken.add(key)
            self.scheduler.at(self.scheduler.now_us, self._ready, sock, write, loop=self.loop)

    def _ready(self, sock: Any, write: bool) -> None:
        self._woken.discard((sock, write))
        table = self._writers if write else self._readers
        found = table.get(sock)
        if found is None or not (sock.writable if write else sock.readable):
            return
        callback, args = found
        callback(*args)
        if sock in table and (sock.writable if write else sock.readable):
            self._wake(sock, write)

    # Descriptors

    def take_descriptor(self) -> None:
        if len(self.open) >= self.descriptors:
            raise fail(errno.EMFILE)
        self.most = max(self.most, len(self.open) + 1)

    def closed(self, stream: Stream) -> None:
        self.open.pop(stream, None)
        self._readers.pop(stream, None)
        self._writers.pop(stream, None)

    def unlisten(self, listener: Listener) -> None:
        if self.listeners.get(listener.address) is listener:
            del self.listeners[listener.address]
        self._readers.pop(listener, None)

    # Connecting

    def connect(self, stream: Stream) -> int:
        """The process connects to the world, or to another process."""
        service = self.world.get(stream.address) or self.between
        found = service.accept(stream) if service is not None else "refused"
        if found == "nothing":
            return errno.EINPROGRESS
        trip = 2 * stream._delay()
        if found == "refused":
            self.scheduler.after(trip, self._refused, stream)
        else:
            assert not isinstance(found, str)
            stream.peer = found
            self.scheduler.after(trip + stream.handshake_us, self._up, stream)
        return errno.EINPROGRESS

    def _refused(self, stream: Stream) -> None:
        if not stream.closed:
            stream.error = errno.ECONNREFUSED
            stream.network.wake_writer(stream)

    def _up(self, stream: Stream) -> None:
        if not stream.closed and not stream.silent:
            stream.up = True
            assert stream.peer is not None
            stream.peer.up()
            stream.network.wake_writer(stream)

    def dial(self, address: Address, peer: Peer) -> Stream:
        """The world connects to the process."""
        stream = Stream(self, address)
        stream.peer = peer
        self.scheduler.after(stream._delay(), self._dialled, stream)
        return stream

    def _dialled(self, stream: Stream) -> None:
        network = self
        while network.successor is not None:  # on its way while another process took over
            network = network.successor
        stream.network = network
        listener = network.listeners.get(stream.address)
        if network.dead or listener is None:
            assert stream.peer is not None
            self.scheduler.after(stream._delay(), stream.peer.refused)
            stream.gone = True
            return
        if len(listener.waiting) >= listener.backlog:
            return  # dropped: it never comes up
        stream.up = True
        listener.waiting.append(stream)
        network.wake_reader(listener)
        self.scheduler.after(stream._delay(), self._answered, stream)

    @staticmethod
    def _answered(stream: Stream) -> None:
        if not stream.gone and stream.peer is not None:
            stream.peer.up()

    # From one process to the next

    def pass_on(self, sock: Any, to: SimNetwork) -> None:
        """Another process of the machine holds it as well, and uses it from now on."""
        sock.passed, sock.network = True, to
        if isinstance(sock, Listener):
            self.successor = to
            del self.listeners[sock.address]
            to.listeners[sock.address] = sock
            for waiting in sock.waiting:
                waiting.network = to
        else:
            self.open.pop(sock, None)
            to.open[sock] = None

    def die(self) -> None:
        """The process is gone: its connections are reset."""
        self.dead = True
        for listener in list(self.listeners.values()):
            listener.close()
        for stream in list(self.open):
            stream.shut(reset=True)
        if self.between is not None:
            self.between.leave(self)
        self._readers.clear()
        self._writers.clear()
