"""A bundle whose messages have different times left, at an endpoint that goes by the first of them."""

import asyncio
import itertools
import json

import pytest
from loopback import Endpoint, answer, bounded, courier, read_request


class ByTheFirst(Endpoint):
    """Answers a bundle once released, unless its first message is over by then."""

    def __init__(self):
        super().__init__()
        self.over = set()

    async def serve(self, reader, writer):
        while True:
            _, path, _, body = await read_request(reader)
            ids = [row["id"] for row in json.loads(body)] if path.endswith("bundle") else []
            self.calls.put_nowait(ids)
            if ids:
                await self.release.wait()
            if not ids or ids[0] not in self.over:
                rows = json.dumps([{"id": i, "state": "done"} for i in ids]).encode()
                writer.write(answer(200, rows))


LIVES = {"short": 400, "middle": 8000, "long": 9000}  # ms


@pytest.mark.parametrize("order", list(itertools.permutations(LIVES)))
def test_the_one_with_the_most_time_leads_and_the_others_are_answered_with_it(tmp_path, order):
    # They stood as they were sent. Where the first one's time was over as the answer came, it was none to the
    # others either: lost, on days of few couriers.
    async def test(fleet):
        endpoint = fleet.endpoints["a"] = await ByTheFirst().start()
        fleet.discovery.target("a", endpoint.port, 9, "bundles", rate=100.0)
        fleet.raw["classes"][2]["goalTimeUs"] = 6_000_000  # the call lasts so long, and "short" does not
        client = await fleet.inside()
        await client.put("before", dest=9)  # teaches the courier that more than one may be out
        await endpoint.call()
        client.writer.write(b"".join(client.message(n, kind="unsafe", dest=9, life=LIVES[n]) for n in order))
        assert [await client.line() for _ in order] == ["+OK"] * 3
        assert await endpoint.call() == ["long", "middle", "short"]
        final = await fleet.discovery.final()
        assert final["id"] == "short"
        endpoint.over.add("short")
        endpoint.release.set()
        while not all(i in fleet.host.journal.completed_ids for i in ("middle", "long")):
            await bounded(asyncio.sleep(0.01))
        assert fleet.discovery.finals.empty()

    courier(test)(tmp_path)


@courier
async def test_a_call_does_not_outlast_a_message_that_keeps_an_order(fleet):
    # It went on for the others: the attempt was out still as the next one of its order went.
    endpoint = await fleet.endpoint("a", answer(200), "hang", dest=9, kind="bundles")
    fleet.raw["classes"][0]["sequential"] = True
    fleet.raw["classes"][2]["goalTimeUs"] = 6_000_000
    client = await fleet.inside()
    await client.put("before", dest=9)
    await endpoint.call()
    ordered = client.command(b"MSG.PUT", b"0" * 15 + b"1", b"ordered", b"c=safe,t=t,d=400,dest=9", b"x")
    client.writer.write(client.message("long", kind="unsafe", dest=9, life=9000) + ordered)
    assert [await client.line() for _ in range(2)] == ["+OK"] * 2
    path, _, body, began = await endpoint.call()
    assert path == "/events/bundle" and b'"ordered"' in body
    await bounded(endpoint.ended.get())  # its connection
    assert asyncio.get_running_loop().time() - began < 3.0
