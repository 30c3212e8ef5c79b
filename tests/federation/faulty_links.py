"""Proxies for the datagrams and streams of each ordered pair of members, with faults by direction.

`Links.address(a, b)` is the address at which a reaches b. Traffic from a to b is subject to `links[a, b]`,
and the replies on the same connection to `links[b, a]`. A datagram reaches b from `address(b, a)`, so that b
can reply to its source.
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
    """One direction between two members. Shares apply to datagrams; delays are in seconds."""

    def __init__(self, links, source, to):
        self.links, self.source, self.to = links, source, to
        self.chance = random.Random(f"{links.seed} {source} {to}")
        self.loss = self.double = 0.0
        self.delay = self.jitter = 0.0  # of datagrams and of streams
        self.late, self.late_s = 0.0, 0.0  # share of datagrams with an extra delay, which reorders them
        self.whole = asyncio.Event()  # cleared: nothing passes; streams resume when set
        self.whole.set()
        self.flows = asyncio.Event()  # cleared: streams stall, datagrams pass
        self.flows.set()
        self.left = None  # stream bytes that still pass before connections are reset
        self.passed = 0  # datagrams
        self.under_way = 0  # copies of datagrams that are delayed
        self.streamed = 0  # bytes
        self.calls = 0  # connections opened by the source
        self.target = None  # address of the destination member
        self.address = None  # of the proxy
        self.pairs = set()  # writers of a connection, both sides
        self.tasks = set()

    @property
    def back(self):
        return self.links[self.to, self.source]

    def cut(self):
        """Drop all traffic in this direction."""
        self.whole.clear()

    def heal(self):
        """Remove all faults."""
        self.loss = self.double = self.delay = self.jitter = self.late = 0.0
        self.left = None
        self.whole.set()
        self.flows.set()

    def hold(self):
        """Hold stream bytes until `heal`."""
        self.flows.clear()

    def cut_after(self, count):
        """Reset connections after `count` more stream bytes, possibly in the middle of a frame."""
        self.left = count

    def sever(self):
        """Reset all connections of this proxy."""
        for writers in list(self.pairs):
            for writer in writers:
                reset(writer)

    def wait(self):
        return self.delay + self.chance.random() * self.jitter

    async def start(self):
        """Listen on one port for both datagrams and streams."""
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
        """Forward a datagram of the source, subject to the faults."""
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
        with contextlib.suppress(asyncio.CancelledError):  # the server's own callback doesn't handle it
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
        """Copy bytes in one direction; return whether the connection is to be reset."""
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
            await self.whole.wait()  # a cut link also hides the end of the stream
            return False
        except OSError:
            await self.whole.wait()
            return True

    def _last(self, frames, data):
        """Return how much of the data passes if it contains the source's last frame, else None."""
        at = -len(frames.buffer)
        with contextlib.suppress(InvalidFrame):  # some tests send invalid frames
            for frame in frames.feed(data):
                at += LENGTH_PREFIX_BYTES + len(frame)
                if self.links.passes(self.source, self.to, frame):
                    return max(0, at)
        return None


class Last:
    """The last frame that a member sends: number `count` of the frames for which `so(channel, row)` is true.

    After it all links of the member are cut in both directions, and `sent` is set.
    """

    def __init__(self, source, so, count):
        self.source, self.so, self.count, self.sent = source, so, count, asyncio.Event()


class Datagrams(asyncio.DatagramProtocol):
    """The proxy's datagram socket, to which only the source sends."""

    def __init__(self, link):
        self.link = link

    def datagram_received(self, data, address):
        self.link.datagram(data)


class Links:
    """The links of all ordered pairs of the members. `async with` starts and stops them."""

    def __init__(self, members, seed=0):
        self.seed = seed
        self.lasts = []
        self.notes = []  # callbacks for each stream frame: (source, to, channel, row)
        self.links = {(a, b): Link(self, a, b) for a in members for b in members if a != b}

    def __getitem__(self, pair):
        return self.links[pair]

    def address(self, source, to):
        """Return the address at which `source` reaches `to`."""
        return self.links[source, to].address

    def lead(self, member, address):
        """Set the address at which the member listens."""
        for (_, to), link in self.links.items():
            if to == member:
                link.target = address

    def part(self, one, other):
        """Cut all links between two groups of members, in both directions."""
        for (a, b), link in self.links.items():
            if (a in one and b in other) or (a in other and b in one):
                link.cut()

    def apart(self, member):
        """Cut all links of the member."""
        self.part({member}, {b for _, b in self.links} - {member})

    def sever(self, member):
        """Reset the member's connections; data in transit is lost."""
        for pair, link in self.links.items():
            if member in pair:
                link.sever()

    def last(self, source, so, count=1):
        """Cut the member off after this frame of its streams; return a `Last`."""
        self.lasts.append(Last(source, so, count))
        return self.lasts[-1]

    def passes(self, source, to, frame):
        """Handle a whole stream frame; return whether it is the source's last one."""
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
    """Close the connection with a reset and discard unsent data."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
