"""Keys that a destination remembers for one second: no byte of a repeat that could make a second effect goes
out behind that, however slowly its connection, its record or its body was made."""

import asyncio
import json
import socket
import time

import pytest
from loopback import Client, Endpoint, Server, answer, bounded, courier, read_request, settings
from test_client_ends import Plain

WINDOW_S = 1.0
BODY = b"x" * 60_000


def keyed():
    """The usual settings, with a window of a second."""
    raw = settings()
    raw["classes"][1]["keyTtlUs"] = int(WINDOW_S * 1e6)
    return raw


def at_attempt(host, number, act):
    """Call `act` while the record of the attempt of that number is written: behind all that is looked at
    before it, and ahead of the first byte."""
    attempt, count = host.journal.attempt, 0

    def slowly(*args):
        nonlocal count
        count += 1
        if count == number:
            act()
        attempt(*args)

    host.journal.attempt = slowly


@courier
async def test_a_record_that_is_written_past_the_window_is_followed_by_no_repeat(fleet):
    fleet.raw = keyed()
    endpoint = await fleet.endpoint("e", answer(500))
    client = await fleet.inside()
    at_attempt(fleet.host, 2, lambda: time.sleep(WINDOW_S))  # a disk that takes its time
    assert await client.put("a", kind="keyed", key="k1") == "+OK"
    await endpoint.call()
    assert (await fleet.discovery.final())["id"] == "a"
    assert endpoint.calls.empty()


@courier
async def test_a_connection_that_is_up_past_the_window_carries_no_repeat(fleet):
    fleet.raw = keyed()
    endpoint = await fleet.endpoint("e", answer(500, Connection="close"))
    client = await fleet.inside()
    connected, loop = fleet.host.calls._connected, asyncio.get_running_loop()

    def late(*args):
        if endpoint.calls.empty() and not endpoint.accepted:
            connected(*args)
        else:
            loop.call_later(WINDOW_S, connected, *args)

    fleet.host.calls._connected = late
    assert await client.put("a", kind="keyed", key="k1") == "+OK"
    await endpoint.call()
    assert (await fleet.discovery.final())["id"] == "a"
    assert endpoint.calls.empty()


class Halting(Server):
    """Fails the first call; takes only the head of the second one until the window is over."""

    def __init__(self):
        super().__init__()
        self.second = asyncio.get_running_loop().create_future()

    async def start(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._accept, sock=listener, limit=2048)
        self.port = listener.getsockname()[1]
        return self

    async def serve(self, reader, writer):
        await read_request(reader)
        over = asyncio.get_running_loop().time() + WINDOW_S + 0.1
        writer.write(answer(500))
        await reader.readexactly(10)
        await asyncio.sleep(over - asyncio.get_running_loop().time())
        try:
            await reader.readexactly(len(BODY))
            self.second.set_result("whole")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.second.set_result("broken off")


@courier
async def test_a_body_that_is_written_in_parts_is_given_up_at_the_end_of_the_window(fleet):
    fleet.raw = keyed()
    endpoint = fleet.endpoints["e"] = await Halting().start()
    fleet.discovery.target("e", endpoint.port, 7)
    client = await fleet.inside()
    network = fleet.host.calls.network
    stream = network.stream

    def small(address):
        sock = stream(address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    network.stream = small
    assert await client.put("a", kind="keyed", key="k1", body=BODY) == "+OK"
    assert await bounded(endpoint.second) == "broken off"
    assert (await fleet.discovery.final())["id"] == "a"


@pytest.mark.parametrize("waits", [False, True])
def test_over_a_restart_the_window_runs_from_the_first_attempt_that_may_have_run(tmp_path, waits):
    @courier
    async def run(fleet):
        fleet.raw = keyed()
        endpoint = await fleet.endpoint("e", "hang")
        client = await fleet.inside()
        assert await client.put("a", kind="keyed", key="k1") == "+OK"
        await endpoint.call()
        fleet.host.close()  # as SIGKILL: nothing more is recorded
        if waits:
            await asyncio.sleep(WINDOW_S)
        at_first = asyncio.get_running_loop().time()
        await fleet.inside()
        if waits:
            assert (await fleet.discovery.final())["id"] == "a"
            assert endpoint.calls.empty()
        else:
            assert (await endpoint.call())[3] - at_first < WINDOW_S
            await bounded(until(lambda: not fleet.host.journal.pending))

    run(tmp_path)


async def until(true):
    while not true():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("kind", ["keyed", "unsafe"])
def test_an_attempt_held_back_behind_its_record_has_never_run(tmp_path, kind):
    # Its record stands; without another one that takes it back, a restart ends an unsafe message unsent.
    @courier
    async def run(fleet):
        fleet.raw = keyed()
        endpoint = await fleet.endpoint("e")
        client = await fleet.inside()
        host, hooks, states = fleet.host, fleet.host.calls.hooks, []
        may_write, missed = hooks.may_write, host.journal.attempt_not_executed

        def drains():
            hooks.may_write = lambda endpoint: False

        def seen(number):
            missed(number)
            states.append(host.journal.pending[number].state)
            hooks.may_write = may_write

        host.journal.attempt_not_executed = seen
        at_attempt(host, 1, drains)
        assert await client.put("a", kind=kind, key="k1") == "+OK"
        await endpoint.call()
        assert states == ["taken"]
        await bounded(until(lambda: not host.journal.pending))
        assert endpoint.calls.empty() and fleet.discovery.finals.empty()

    run(tmp_path)


@courier
async def test_a_key_that_comes_twice_in_one_turn_is_taken_on_once(fleet):
    # Its client gave the first one up, unread so far: both were taken on, and the second one went out behind
    # the window of the first one's attempt, which nothing told it of.
    fleet.raw = keyed()
    endpoint = await fleet.endpoint("e")
    await fleet.inside()
    first, second = (Plain(fleet.port_of_host()) for _ in range(2))
    first.send(Client.message("m1", kind="keyed", key="k1"))  # all has come before the courier reads any
    second.send(Client.message("m2", kind="keyed", key="k1") + Client.message("m3", kind="keyed", key="k2"))
    assert await second.answers(2) == b"+OK\r\n" * 2
    assert await first.answers(1) == b"-BUSY\r\n"
    assert {(await endpoint.call())[1]["x-request-id"] for _ in range(2)} == {"m2", "m3"}
    await bounded(until(lambda: not fleet.host.journal.pending and not fleet.host.courier.state.messages))
    assert endpoint.calls.empty() and "m1" not in fleet.host.journal.completed_ids
    assert fleet.host.metrics.completed == {
        "succeeded": [0, 2, 0],
        "declined": [0, 1, 0],
        "aborted": [0, 0, 0],
    }


class Bundles(Endpoint):
    """Tells that each message of a bundle is done, but "a", which never ran: that once released."""

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_request(reader)
            bundle = path.endswith("bundle")
            ids = [row["id"] for row in json.loads(body)] if bundle else [headers["x-request-id"]]
            self.calls.put_nowait(ids)
            if "a" in ids:
                await self.release.wait()
            rows = [{"id": ident, "state": "busy" if ident == "a" else "done"} for ident in ids]
            writer.write(answer(200, json.dumps(rows).encode()))


@courier
async def test_the_window_of_one_that_ran_outlasts_the_proof_that_the_one_before_did_not(fleet):
    # The proof came late, as the client had given the message up and another one with its key had run: the
    # key was forgotten, and a third one went out when the second one's window was over.
    fleet.raw = keyed()
    endpoint = fleet.endpoints["e"] = await Bundles().start()
    fleet.discovery.target("e", endpoint.port, 9, "bundles")
    client, journal = await fleet.inside(), fleet.host.journal
    assert await client.put("before", dest=9) == "+OK"  # teaches the courier that more than one may be out
    await endpoint.call()
    client.writer.write(
        client.message("other", kind="unsafe", dest=9, life=9000)
        + client.message("a", kind="keyed", key="k1", dest=9)
    )
    assert [await client.line() for _ in range(2)] == ["+OK"] * 2
    assert "a" in await endpoint.call()
    fleet.discovery.notice_status = [503] * 1000
    assert await client.put("b", kind="keyed", key="k1", dest=9) == "+OK"
    assert await endpoint.call() == ["b"]
    while "b" not in journal.completed_ids:
        await asyncio.sleep(0.01)
    ran = journal.wall()
    endpoint.release.set()
    while "other" not in journal.completed_ids:
        await asyncio.sleep(0.01)
    assert "a" in journal.numbers_by_id  # its notice is owed
    assert 0 < journal.key_possibly_executed_at("k1") <= ran
    await asyncio.sleep(max(0.0, ran + WINDOW_S - journal.wall()))
    assert (await client.put("c", kind="keyed", key="k1", dest=9)).startswith("-BUSY")
    fleet.discovery.notice_status.clear()
    assert (await fleet.discovery.final())["id"] == "a"
    assert endpoint.calls.empty()
