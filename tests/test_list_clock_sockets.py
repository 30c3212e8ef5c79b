"""The list's clock on real sockets: see tests/simulation/test_list_clock.py for each way to fail."""

import asyncio
import json
import random
import signal
import socket

from loopback import Discovery, Server, bounded, courier, read_request
from test_reload import rewrite

from madderbeam.ports.real import real_ports
from madderbeam.transport.discovery import Watch

LAG_S = 0.2  # of a machine at rest; what a busy one takes beyond that is measured


def line(rev):
    text = json.dumps({"rev": rev, "all": True, "targets": []}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


class Scripted(Server):
    """Does with each connection what stands next in its script, then is well; keeps when each came."""

    def __init__(self, *script):
        super().__init__()
        self.script, self.asked, self.rev = list(script), asyncio.Queue(), 1

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        _, path, _, _ = await read_request(reader)
        self.asked.put_nowait((loop.time(), path))
        step = self.script.pop(0) if self.script else "well"
        if step == "turned away":
            writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        elif step == "half":
            writer.write(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + line(self.rev)[:30])
        elif step == "well":
            writer.write(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + line(self.rev))
        await reader.read()  # and nothing more


def watch_at(port, heard):
    loop = asyncio.get_running_loop()
    return Watch(
        loop,
        real_ports(loop).network,
        ("127.0.0.1", port),
        random.Random(6),
        1,
        lambda change: heard.put_nowait((loop.time(), change["rev"])),
    )


class Lag:
    """Seconds by which this process was held up."""

    def __init__(self):
        self.total = 0.0
        self.task = asyncio.get_running_loop().create_task(self.measure())

    async def measure(self):
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.02
            await asyncio.sleep(0.02)
            self.total += max(0.0, loop.time() - due - 0.005)


async def told_after(*script):
    """Seconds from the last word of a watch that falls silent to the next, with this in between."""
    discovery, heard = await Scripted("well", *script).start(), asyncio.Queue()
    watch = watch_at(discovery.port, heard)
    watch.open()
    last, _ = await bounded(heard.get())
    discovery.rev = 2
    at, rev = await bounded(heard.get())
    watch.stop()
    await discovery.stop()
    assert rev == 2 and discovery.asked.qsize() == len(script) + 2
    return at - last


def test_two_calls_that_fail_behind_a_silence_keep_the_clock():
    # 7.4 to 8.2 s before: 3.2 of silence, then each wait by itself.
    async def test():
        lag = Lag()
        took = await asyncio.gather(
            told_after("hangs", "hangs"), told_after("hangs", "half"), told_after("half", "turned away")
        )
        lag.task.cancel()
        return max(took), lag.total

    took, lag = asyncio.run(test())
    assert took <= 6.0 + LAG_S + lag


def test_a_connection_that_does_not_come_up_is_tried_anew_and_the_list_heard():
    # A listener whose queue is full lets connections hang. Once there is room, the next one is through.
    async def test():
        loop, heard = asyncio.get_running_loop(), asyncio.Queue()
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        port, fillers = listener.getsockname()[1], []
        for _ in range(3):
            fillers.append(socket.socket())
            fillers[-1].setblocking(False)
            fillers[-1].connect_ex(("127.0.0.1", port))
        watch = watch_at(port, heard)
        watch.open()
        first = watch.connection
        while watch.connection is first:  # it was given up, and a new one begun
            await asyncio.sleep(0.01)
        assert heard.empty() and not first.connected
        for filler in fillers:
            filler.close()
        listener.setblocking(False)
        room, accepted, lag = loop.time(), [], Lag()

        async def answers():
            while True:
                sock, _ = await loop.sock_accept(listener)
                accepted.append(sock)
                reader, writer = await asyncio.open_connection(sock=sock)
                accepted.append(writer)
                loop.create_task(answer(reader, writer))

        async def answer(reader, writer):
            if await reader.read(1):  # a filler has asked for nothing
                writer.write(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + line(2))

        server = loop.create_task(answers())
        at, rev = await bounded(heard.get())
        watch.stop()
        server.cancel()
        lag.task.cancel()
        listener.close()
        for one in accepted:
            one.close()
        return at - room, rev, lag.total

    took, rev, lag = asyncio.run(test())
    assert rev == 2 and took <= 2.0 + LAG_S + lag


@courier
async def test_sighup_leads_away_from_a_discovery_that_hangs(fleet):
    class Mute(Discovery):
        async def serve(self, reader, writer):
            self.watches.put_nowait((await read_request(reader))[1])
            await reader.read()

    e = await fleet.endpoint("a")
    mute, new = await Mute().start(), await Discovery().start()
    mute.targets = new.targets = dict(fleet.discovery.targets)
    fleet.discovery = mute
    client = await fleet.outside()
    await bounded(mute.watches.get())
    new.rev = 2
    new.target("b", e.port, 8)
    rewrite(fleet, new.port)
    fleet.process.send_signal(signal.SIGHUP)
    assert (await bounded(new.watches.get())).endswith("from=1")
    assert await client.put("m1", dest=8) == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m1"
    await new.stop()
