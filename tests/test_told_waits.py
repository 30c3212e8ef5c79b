"""A told wait holds for all that goes to its destination, from the moment in which its headers are read."""

import asyncio

from loopback import Endpoint, answer, bounded, courier, read_request

WAIT_S = 0.4
TAUGHT = 4  # calls that teach a courier that more than one may be out


class Full(Endpoint):
    """Answers message "a" with a wait, which it tells as `tell` is set, and its body as `release` is; all
    others with 200."""

    def __init__(self):
        super().__init__()
        self.tell, self.told_at = asyncio.Event(), 0.0

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_request(reader)
            self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
            if headers["x-request-id"] != "a" or self.told_at:
                writer.write(answer(200))
                continue
            text = answer(429, b"full", Retry_After=str(WAIT_S))
            await self.tell.wait()
            self.told_at = asyncio.get_running_loop().time()
            writer.write(text[:-4])
            await self.release.wait()
            writer.write(text[-4:])


async def taught(fleet):
    """A full endpoint that has message "a" now, and a client."""
    endpoint = fleet.endpoints["e"] = await Full().start()
    fleet.discovery.target("e", endpoint.port, 7)
    client = await fleet.inside()
    for n in range(TAUGHT):
        assert await client.put(f"before{n}") == "+OK"
        await endpoint.call()
    assert await client.put("a") == "+OK"
    await endpoint.call()
    return endpoint, client


async def until(true):
    while not true():
        await bounded(asyncio.sleep(0.001))


@courier
async def test_what_comes_while_the_body_of_a_wait_is_still_out_waits_and_keeps_its_tries(fleet):
    # The last look before writing knew of the wait and the decisions did not: each message was chosen and
    # held back in turn after turn until no try was left, and was handed back with no call.
    endpoint, client = await taught(fleet)
    endpoint.tell.set()
    await until(lambda: fleet.host.registry.waits)
    assert await client.put("b") == "+OK"
    _, headers, _, at = await endpoint.call()
    assert headers["x-request-id"] == "b" and at - endpoint.told_at >= WAIT_S
    assert fleet.discovery.finals.empty()
    endpoint.release.set()


@courier
async def test_a_wait_told_by_an_endpoint_that_has_gone_holds_for_a_call_that_is_connecting(fleet):
    # It was known only to the decisions: a call that was chosen before it went out amid it.
    gone, client = await taught(fleet)
    sibling = await fleet.endpoint("f")
    fleet.discovery.change("f")
    fleet.discovery.change("e", state="terminated")
    host, pending, ended = fleet.host, [], []
    await until(lambda: [host.registry.names[n] for n in host.registry.entries] == ["f"])
    connected, over = host.calls._connected, host.calls.hooks.ended
    host.calls._connected = lambda *args: pending.append(args)

    def seen(item, *args):
        ended.append(item.id)
        over(item, *args)

    host.calls.hooks.ended = seen
    assert await client.put("b") == "+OK"
    await until(lambda: pending)
    gone.release.set()
    gone.tell.set()
    await until(lambda: "a" in ended)
    host.calls._connected = connected
    connected(*pending[0])
    _, headers, _, at = await sibling.call()
    assert headers["x-request-id"] == "b" and at - gone.told_at >= WAIT_S
