"""Answers that can't be read, don't end or bring more than belongs to them. The call has run."""

import asyncio
import time
from dataclasses import replace

import pytest
from loopback import Endpoint, answer, bounded, courier
from test_calls import Outcomes

from madderbeam.policy.events import AttemptResult
from madderbeam.transport import calls as c
from madderbeam.transport.response_content import COPY_WINDOW_S

OK = c.Outcome(AttemptResult.OK, over=True)
MAY_HAVE_RUN = c.Outcome(AttemptResult.ERROR, spoilt=True)
ENDLESS = b"HTTP/1.1 %d x\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70000
SPOILT = {
    "503 with a head that can't be read": b"HTTP/1.1 503 x\r\nBad\x00Head: 1\r\n\r\n",
    "410 with two lengths": b"HTTP/1.1 410 x\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\n",
    "504 with a wrong length": b"HTTP/1.1 504 x\r\nContent-Length: -5\r\n\r\n",
    "503 with a head that does not end": b"HTTP/1.1 503 x\r\n" + b"A: b\r\n" * 10,
    "503 with a huge head": b"HTTP/1.1 503 x\r\n" + b"A: b\r\n" * 20000,
    "503 with a body that is too short": b"HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nno",
    "503 with a body that is too long": b"HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nno room here",
    "410 with 3 GB": ENDLESS % 410,
    "chunks that can't be read": b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "noise": bytes(range(256)) * 4,
    "1xx without end": b"HTTP/1.1 102 x\r\n\r\n" * 100,
    "an upgrade": b"HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n",
}
GOOD = {
    "1xx ahead": (
        b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nLink: y\r\n\r\n" + answer(503),
        c.Outcome(AttemptResult.OVERLOADED),
    ),
    "a second copy": (answer(503) * 2, c.Outcome(AttemptResult.OVERLOADED)),
    "a bad report": (
        answer(429, Retry_After="0.2", X_Server_Load="x0=,=,nan"),
        c.Outcome(AttemptResult.OVERLOADED, wait_us=200_000),
    ),
    "200, then a head that can't be read": (b"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", OK),
    "200, then 3 GB": (ENDLESS % 200, OK),
    "200, then nothing": (b"HTTP/1.1 200 OK\r\n", OK),
    "200 and noise": (answer(200) + b"\x00\x01noise", OK),
    "an end with no length": ("close", c.Outcome(AttemptResult.OVERLOADED)),
    "wait nan": (answer(429, Retry_After="nan"), c.Outcome(AttemptResult.OVERLOADED)),
    "wait inf": (answer(429, Retry_After="inf"), c.Outcome(AttemptResult.OVERLOADED)),
    "wait of years": (answer(429, Retry_After="1e9"), c.Outcome(AttemptResult.OVERLOADED)),
    "wait below nothing": (answer(429, Retry_After="-3"), c.Outcome(AttemptResult.OVERLOADED)),
}


class ClosingEndpoint(Endpoint):
    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 x\r\n\r\nfull")


@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_answer_proves_nothing(name):
    # The head alone of a 503, 410 or 504 had been believed: the message went again though it had run.
    async def run():
        endpoint = await Endpoint(SPOILT[name]).start()
        o = Outcomes()
        outcome = replace(MAY_HAVE_RUN, may_be_over=SPOILT[name].startswith(b"HTTP/1.1 410"))
        assert await o.send(endpoint.port, "a") == [("a", outcome)]
        await bounded(endpoint.ended.get())  # closed: it is of no further use
        assert not o.calls.out and not o.calls.pools[1].idle
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("name", GOOD)
def test_a_good_answer_with_more_or_less_than_belongs_to_it(name):
    async def run():
        step, outcome = GOOD[name]
        endpoint = await (ClosingEndpoint() if step == "close" else Endpoint(step)).start()
        o = Outcomes()
        assert await o.send(endpoint.port, "a") == [("a", outcome)]
        while o.calls.out:
            await asyncio.sleep(0.01)
        for connection in o.calls.pools[1].idle:  # long enough for no copy of the first answer to be expected
            connection.ledger.last_response_at_s -= COPY_WINDOW_S
        assert await o.send(endpoint.port, "b") == [("b", outcome if step == "close" else OK)]
        reusable = name.startswith(("1xx", "a bad report", "wait"))
        assert endpoint.server is not None and o.calls.opened == (1 if reusable else 2)
        await endpoint.stop()

    asyncio.run(run())


def test_the_body_of_a_single_answer_is_not_kept():
    async def run():
        endpoint = await Endpoint(answer(200, b"x" * 60000)).start()
        o = Outcomes()
        seen = []
        original = c.Call.end
        c.Call.end = lambda call, noise: (seen.append(len(call.body)), original(call, noise))
        try:
            assert await o.send(endpoint.port, "a") == [("a", OK)]
            while o.calls.out:
                await asyncio.sleep(0.01)
        finally:
            c.Call.end = original
        assert seen == [0]
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100000,
        b"[1]",
        b'{"id":1}',
        b'[{"id":"a","state":[]}]',
        b'[{"id":"a","state":"done"}',
        b'[{"id":"a","state":"done"},{"id":"a","state":"busy"}]',
        b"\xff\xfe",
        b"x" * 70000,
    ],
)
def test_a_spoilt_bundle_may_have_run(body):
    async def run():
        endpoint = await Endpoint(answer(200, body)).start()
        o = Outcomes()
        got = await o.send(endpoint.port, "a", "b")
        assert got == [("a", MAY_HAVE_RUN), ("b", MAY_HAVE_RUN)]
        await endpoint.stop()

    asyncio.run(run())


@courier
async def test_spoilt_answers_between_good_ones_hold_no_message_back(fleet):
    # They come from any endpoint alike. Taken for its errors, each held back what may not be repeated there
    # for seconds, and a few in a row put it on a cold start's pace.
    e = await fleet.endpoint("a", *([answer(200)] * 3 + [SPOILT["noise"]] * 2))
    client = await fleet.inside()
    for n in range(3):
        await client.put(f"m{n}")
        await e.call()
    for n in range(2):
        await client.put(f"s{n}", kind="unsafe")
        await e.call()
        assert (await fleet.discovery.final())["status"] == "undeliverable"
    began = time.monotonic()
    await client.put("u", kind="unsafe")
    assert (await e.call())[1]["x-request-id"] == "u" and time.monotonic() - began < 0.2
