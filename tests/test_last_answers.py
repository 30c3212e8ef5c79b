"""A planned restart: what endpoints have answered by the end is read and recorded, not thrown away unread."""

import asyncio
import socket

from loopback import answer, bounded, courier

from madderbeam.ports.real import RealFile


class Plain:
    """An endpoint that answers when it is told to: the bytes have come before the courier does anything."""

    def __init__(self, fleet, uid, dest):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        fleet.discovery.target(uid, self.listener.getsockname()[1], dest)
        self.sock = None

    async def call(self):
        """One has come, whole: its bodies are short."""
        loop = asyncio.get_running_loop()
        self.sock, _ = await bounded(loop.sock_accept(self.listener))
        self.sock.setblocking(False)
        data = b""
        while not data.endswith(b"hello"):
            data += await bounded(loop.sock_recv(self.sock, 10_000))

    def answer(self, data):
        assert self.sock.send(data) == len(data)

    def close(self):
        for sock in (self.listener, self.sock):
            sock.close()


async def calls_out(fleet, count):
    """A courier with so many unsafe messages out, each at an endpoint of its own, at the end of a restart."""
    endpoints = [Plain(fleet, f"e{n}", 10 + n) for n in range(count)]
    client = await fleet.inside()
    for n, endpoint in enumerate(endpoints):
        assert await client.put(f"m{n}", kind="unsafe", dest=10 + n) == "+OK"
        await endpoint.call()
    fleet.host.terminate()
    fleet.host.clients.last_call()
    return endpoints


def states(fleet):
    return {m.id: m.state for m in fleet.host.journal.pending.values()}


@courier
async def test_answers_that_have_come_and_are_unread_at_the_end_are_recorded(fleet):
    # One line of 200 is a delivery whatever follows; one that was turned away has never run.
    # Without a wait, one that was turned away sooner than a good answer came would be taken for a full table.
    full = answer(429, Retry_After="0.2")
    texts = [answer(200), b"HTTP/1.1 200 OK\r\n", full, answer(500), answer(200)[:8]]
    endpoints = await calls_out(fleet, len(texts))
    for endpoint, text in zip(endpoints, texts, strict=True):
        endpoint.answer(text)
    fleet.host._end_clients()  # what SIGTERM's last timer calls
    fleet.host.close()
    assert states(fleet) == {"m2": "ended", "m3": "ended", "m4": "trying"}
    assert {m.id: m.status for m in fleet.host.journal.pending.values() if m.status} == {
        "m2": "deferred",
        "m3": "undeliverable",
    }
    for endpoint in endpoints:
        endpoint.close()


def test_an_answer_that_comes_while_the_last_records_are_written_is_recorded(tmp_path, monkeypatch):
    async def test(fleet):
        endpoints = await calls_out(fleet, 2)
        late = endpoints[1:]
        append = RealFile.append

        def written(file, data):
            """While the disk takes its time, the other answer comes."""
            while late:
                late.pop().answer(answer(200))
            return append(file, data)

        monkeypatch.setattr(RealFile, "append", written)
        endpoints[0].answer(answer(200))
        fleet.host._end_clients()
        fleet.host.close()
        assert not late and states(fleet) == {}
        for endpoint in endpoints:
            endpoint.close()

    courier(test)(tmp_path)


@courier
async def test_a_call_that_is_not_written_whole_at_the_end_has_never_run(fleet):
    # It was recorded as one that may have run: a restart ended an unsafe message with no call.
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    fleet.discovery.target("e", listener.getsockname()[1], 10)
    client = await fleet.inside()
    stream = fleet.host.calls.network.stream

    def small(address):
        sock = stream(address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    fleet.host.calls.network.stream = small
    assert await client.put("m", kind="unsafe", dest=10, body=b"x" * 60_000) == "+OK"
    loop = asyncio.get_running_loop()
    sock, _ = await bounded(loop.sock_accept(listener))
    first = await bounded(loop.sock_recv(sock, 10))
    assert first == b"POST /even" and states(fleet) == {"m": "trying"}
    (call,) = fleet.host.calls.out
    assert not call.sent
    fleet.host.terminate()
    fleet.host.clients.last_call()
    fleet.host._end_clients()
    while True:  # whatever the endpoint reads now: the rest must not come
        try:
            if not await bounded(loop.sock_recv(sock, 1 << 16)):
                break
        except ConnectionResetError:
            break
    assert not call.sent
    fleet.host.close()
    assert states(fleet) == {"m": "taken"}
    await fleet.inside()
    sock.close()
    sock, _ = await bounded(loop.sock_accept(listener))  # it is tried by the next process
    assert await bounded(loop.sock_recv(sock, 10)) == first
    sock.close()
    listener.close()
