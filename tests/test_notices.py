"""Notices are owed 300 ms after a message's time, whatever becomes of the connection that they go on."""

import asyncio
import json

import pytest
from loopback import Client, Discovery, bounded, courier, read_request

from madderbeam.transport import discovery
from madderbeam.transport.response_content import COPY_WINDOW_S

SLACK_S = 0.3


class Fickle(Discovery):
    """Deals with each request of notices by a script, then answers it. A step is 'silent' (the connection
    stays open and nothing comes through it any more), or bytes, after which it is reset."""

    def __init__(self):
        super().__init__()
        self.script, self.posts, self.connections = [], asyncio.Queue(), 0

    async def serve(self, reader, writer):
        first = await read_request(reader)
        if first[1].startswith("/discovery"):
            self.watches.put_nowait(first[1])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, json.dumps(self.whole()).encode())
            await reader.read()
            return
        self.connections += 1
        request = first
        while True:
            step = self.script.pop(0) if self.script else None
            ids = [json.loads(line)["id"] for line in request[3].splitlines()]
            self.posts.put_nowait((asyncio.get_running_loop().time(), ids, step))
            if step == "silent":
                await reader.read()
                return
            if step is not None:
                writer.write(step)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n")
            request = await read_request(reader)

    async def post(self):
        return await bounded(self.posts.get())


async def fickle(fleet):
    """A courier with that discovery, one notice accepted on a connection that is kept and reusable."""
    await fleet.discovery.stop()
    fleet.discovery = await Fickle().start()
    client = await fleet.inside()
    assert await client.put("first", life=60, dest=99) == "+OK"
    assert (await fleet.discovery.post())[1:] == (["first"], None)
    await asyncio.sleep(COPY_WINDOW_S)  # earlier the next one would go on a new connection
    return client


@pytest.mark.parametrize(
    "script",
    [
        ["silent"],
        ["silent", "silent"],
        [b""],
        [b"HTTP/1.1 2"],
        [b"HTTP/1.1 204 x\r\nContent-Le"],
        [b"HTTP/1.1 204 x\r\n", "silent"],
    ],
)
def test_a_notice_comes_in_time_though_its_connection_falls_silent_or_is_cut_off(tmp_path, script):
    async def test(fleet):
        client = await fickle(fleet)
        fleet.discovery.script = list(script)
        assert await client.put("late", life=60, dest=99) == "+OK"
        began, ids, step = await fleet.discovery.post()
        assert ids == ["late"] and step == script[0]
        while step is not None:
            at, ids, step = await fleet.discovery.post()
            assert ids == ["late"]
        assert at - began < SLACK_S + 0.05
        assert fleet.discovery.connections == 1 + len(script)

    courier(test)(tmp_path)


@courier
async def test_notices_that_stay_without_an_answer_are_sent_again_ever_more_slowly(fleet):
    client = await fickle(fleet)
    fleet.discovery.script = ["silent"] * 6
    await client.put("late", life=60, dest=99)
    times = [(await fleet.discovery.post())[0] for _ in range(7)]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert all(gap >= least for gap, least in zip(gaps, (0.07, 0.15, 0.31, 0.63, 0.99, 0.99), strict=True))
    assert max(gaps) < 2 * discovery.NOTICE_S[1]
    fleet.discovery.script = ["silent"]
    client = await Client().open(fleet.port_of_host())
    assert await client.put("next", life=60, dest=99) == "+OK"
    first, ids, _ = await fleet.discovery.post()
    assert ids == ["next"] and (await fleet.discovery.post())[0] - first < SLACK_S  # once answered, as before
