"""A test's own proxies between members: datagrams and streams of each ordered pair, with faults by direction.

`Links.address(a, b)` is where a reaches b. What goes from a to b by it is subject to `links[a, b]`, and what
comes back on the same connection to `links[b, a]`. A datagram comes to b from `address(b, a)`, so that b may
answer to where it came from.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct

import msgpack

from madderbeam.transport.mesh.frames import LENGTH_PREFIX_BYTES, FrameSplitter, InvalidFrame

AT_ONCE = 1 << 15
SHORT = 3  # fields of a frame on a link that is up
HOST = "127.0.0.1"


class Link:
    """One direction between two members. Shares are of datagrams; delays in seconds."""

    def __init__(self, links, source, to):
        self.links, self.source, self.to = links, source, to
        self.chance = random.Random(f"{links.seed} {source} {to}")
        self.loss = self.double = 0.0
        self.delay = self.jitter = 0.0  # of datagrams and of streams
        self.late, self.late_s = 0.0, 0.0  # share of datagrams that take longer: they come out of order
        self.whole = asyncio.Event()  # else nothing passes; streams go on once it is whole again
        self.whole.set()
        self.flows = asyncio.Event()  # else streams stand still, and datagrams pass
        self.flows.set()
        self.left = None  # bytes of streams that still pass before all connections break off
        self.passed = 0  # datagrams
        self.under_way = 0  # copies of datagrams that were not lost and have not passed yet
        self.streamed = 0  # bytes
        self.calls = 0  # connections that the source made
        self.target = None  # the address of the one it leads to
        self.address = None  # of the proxy
        self.pairs = set()  # writers of a connection, both sides
        self.tasks = set()

    @property
    def back(self):
        return self.links[self.to, self.source]

    def cut(self):
        """Nothing comes through in this direction."""
        self.whole.clear()

    def heal(self):
        """No fault any more."""
        self.loss = self.double = self.delay = self.jitter = self.late = 0.0
        self.left = None
        self.whole.set()
        self.flows.set()

    def hold(self):
        """Bytes of streams that come stay here until `heal`."""
        self.flows.clear()

    def cut_after(self, count):
        """So many bytes of streams pass, then connections break off: in the middle of a frame."""
        self.left = count

    def sever(self):
        """All connections by this proxy are reset now."""
        for writers in list(self.pairs):
            for writer in writers:
                reset(writer)

    def wait(self):
        return self.delay + self.chance.random() * self.jitter

    async def start(self):
        """One port for datagrams and streams."""
        while True:
            self.server = await asyncio.start_server(self._accept, HOST, 0)
            self.address = self.server.sockets[0].getsockname()
            try:
                self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: Datagrams(self), local_addr=self.address
                )
                return
            except OSError:
                self.server.close()

    def stop(self):
        self.server.close()
        self.transport.close()
        for writers in self.pairs:
            for writer in writers:
                writer.close()
        for task in self.tasks:
            task.cancel()

    # Datagrams

    def datagram(self, data):
        """One from the source."""
        if not self.whole.is_set() or self.target is None:
            return
        for _ in range(2 if self.chance.random() < self.double else 1):
            if self.chance.random() < self.loss:
                continue
            more = self.late_s if self.chance.random() < self.late else 0.0
            self.under_way += 1
            asyncio.get_running_loop().call_later(self.wait() + more, self._pass, data)

    def _pass(self, data):
        self.under_way -= 1
        if self.whole.is_set() and not self.back.transport.is_closing():
            self.passed += 1
            self.back.transport.sendto(data, self.target)

    # Streams

    async def _accept(self, reader, writer):
        self.tasks.add(task := asyncio.current_task())
        with contextlib.suppress(asyncio.CancelledError):  # the server's own callback takes none
            await self._joined(reader, writer)
        self.tasks.discard(task)

    async def _joined(self, reader, writer):
        self.calls += 1
        try:
            await self.whole.wait()
            await self.back.whole.wait()
            if self.target is None:
                raise ConnectionRefusedError
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        writers = (writer, far_writer)
        self.pairs.add(writers)
        ways = [
            asyncio.create_task(self._pump(reader, far_writer)),
            asyncio.create_task(self.back._pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self.pairs.discard(writers)
            broken = any(way.done() and not way.cancelled() and way.result() for way in ways)
            for one in writers:
                reset(one) if broken else one.close()

    async def _pump(self, reader, writer):
        """Bytes in one direction; True if the connection is to be reset."""
        frames = FrameSplitter()
        try:
            while data := await reader.read(AT_ONCE):
                if pause := self.wait():
                    await asyncio.sleep(pause)
                await self.whole.wait()
                await self.flows.wait()
                if (last := self._last(frames, data)) is not None:
                    writer.write(data[:last])
                    data = data[last:]
                    await self.whole.wait()
                if self.left is not None and len(data) > self.left:
                    writer.write(data[: self.left])
                    self.left = None
                    await writer.drain()
                    return True
                if self.left is not None:
                    self.left -= len(data)
                self.streamed += len(data)
                writer.write(data)
                await writer.drain()
            await self.whole.wait()  # its end is news as well
            return False
        except OSError:
            await self.whole.wait()
            return True

    def _last(self, frames, data):
        """How much of it passes where a frame in it is the last one that the source sends; else None."""
        at = -len(frames.buffer)
        with contextlib.suppress(InvalidFrame):  # tests send these as well
            for frame in frames.feed(data):
                at += LENGTH_PREFIX_BYTES + len(frame)
                if self.links.passes(self.source, self.to, frame):
                    return max(0, at)
        return None


class Last:
    """The last frame that a member sends: the one numbered `count` of those that `so(channel, row)` holds
    of. Behind it all its links are cut, both ways, and `sent` is set."""

    def __init__(self, source, so, count):
        self.source, self.so, self.count, self.sent = source, so, count, asyncio.Event()


class Datagrams(asyncio.DatagramProtocol):
    """The proxy's socket, which only the source sends to."""

    def __init__(self, link):
        self.link = link

    def datagram_received(self, data, address):
        self.link.datagram(data)


class Links:
    """All ordered pairs of these members. `async with` starts and ends them."""

    def __init__(self, members, seed=0):
        self.seed = seed
        self.lasts = []
        self.notes = []  # called with source, to, channel and row of each frame of a stream that passes
        self.links = {(a, b): Link(self, a, b) for a in members for b in members if a != b}

    def __getitem__(self, pair):
        return self.links[pair]

    def address(self, source, to):
        """Where the one reaches the other."""
        return self.links[source, to].address

    def lead(self, member, address):
        """This member listens there."""
        for (_, to), link in self.links.items():
            if to == member:
                link.target = address

    def part(self, one, other):
        """Cut all between two groups of members, both ways."""
        for (a, b), link in self.links.items():
            if (a in one and b in other) or (a in other and b in one):
                link.cut()

    def apart(self, member):
        """Cut all from and to this one."""
        self.part({member}, {b for _, b in self.links} - {member})

    def sever(self, member):
        """All that this one has sent and that is on its way is lost; its connections are reset."""
        for pair, link in self.links.items():
            if member in pair:
                link.sever()

    def last(self, source, so, count=1):
        """Cut the member off behind this frame of its streams: a `Last`."""
        self.lasts.append(Last(source, so, count))
        return self.lasts[-1]

    def passes(self, source, to, frame):
        """A whole frame of a stream; whether it is the last."""
        lasts = [last for last in self.lasts if last.source == source]
        if not lasts and not self.notes:
            return False
        value = msgpack.unpackb(frame)
        channel, row = value[:2] if len(value) == SHORT else value[-2:]  # the first frame of a link is long
        for note in self.notes:
            note(source, to, channel, row)
        for last in lasts:
            if row and last.so(channel, row):
                last.count -= 1
                if not last.count:
                    self.lasts.remove(last)
                    self.apart(source)
                    last.sent.set()
                    return True
        return False

    def heal(self):
        for link in self.links.values():
            link.heal()

    async def __aenter__(self):
        for link in self.links.values():
            await link.start()
        return self

    async def __aexit__(self, *_):
        for link in self.links.values():
            link.stop()
        tasks = [task for link in self.links.values() for task in link.tasks]
        await asyncio.gather(*tasks, return_exceptions=True)


def reset(writer):
    """Close with a reset, whatever is unsent."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
