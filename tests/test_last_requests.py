"""A planned restart: whoever has sent a request whole hears what became of it, however late it came."""

import asyncio
import socket

import pytest
from loopback import Client, bounded, courier

from madderbeam.host.host import MAX_CYCLES
from madderbeam.ports.real import RealFile


class Plain:
    """A client's socket, written to at once: what was sent has come before the courier does anything more."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data):
        assert self.sock.send(data) == len(data)

    async def line(self):
        """An answer; b'' if the connection ended without one."""
        try:
            return await bounded(asyncio.get_running_loop().sock_recv(self.sock, 1000))
        except ConnectionError:
            return b""

    async def put(self, ident):
        self.send(Client.message(ident))
        return await self.line()


@courier
async def test_a_request_that_comes_as_its_connection_is_let_go_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    client = Plain(fleet.port_of_host())
    assert await client.put("m1") == b"+OK\r\n"
    fleet.host.terminate()
    client.send(Client.message("m2"))
    fleet.host.clients.let_go()  # unread, it would be reset
    assert await client.line() == b"+OK\r\n"
    fleet.host.clients.let_go()
    assert await client.line() == b""


@courier
async def test_a_request_that_comes_as_its_idle_connection_is_closed_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    client = Plain(fleet.port_of_host())
    assert await client.put("m1") == b"+OK\r\n"
    (held,) = fleet.host.clients.clients
    held.due = 0.0
    client.send(Client.message("m2"))
    held.overdue(1.0)  # unread, it would be reset
    assert await client.line() == b"+OK\r\n"
    held.due = 0.0
    held.overdue(1.0)
    assert await client.line() == b""


@courier
async def test_who_has_connected_as_the_courier_stops_listening_is_served(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    fleet.host.terminate()
    late = [Plain(fleet.port_of_host()) for _ in range(40)]
    for n, client in enumerate(late[:20]):
        client.send(Client.message(f"m{n}"))
    fleet.host.clients.last_call()
    assert not fleet.host.clients.listening
    for client in late[:20]:
        assert await client.line() == b"+OK\r\n"
    fleet.host.clients.let_go()  # it has only just connected: its first request is about to come
    for n, client in enumerate(late[20:]):
        assert await client.put(f"n{n}") == b"+OK\r\n"


@pytest.mark.parametrize("slow", [False, True])
def test_as_the_process_ends_what_has_come_is_answered_also_on_a_slow_disk(tmp_path, monkeypatch, slow):
    async def test(fleet):
        await fleet.endpoint("a")
        await fleet.inside()
        host = fleet.host
        first, second = (Plain(fleet.port_of_host()) for _ in range(2))
        texts = [Client.message(ident, body=b"x" * 3000) for ident in ("m1", "m2")]
        for client, text in zip((first, second), texts, strict=True):
            client.send(text[:1000])  # a request in its middle keeps its connection open
        rest = {second: texts[1][1000:]}
        append = RealFile.append

        def written(file, data):
            """While the disk takes its time, the other request comes."""
            for client in list(rest):
                client.send(rest.pop(client))
            return append(file, data)

        host.terminate()
        host.clients.last_call()
        first.send(texts[0][1000:])
        if slow:
            monkeypatch.setattr(RealFile, "append", written)
        else:
            second.send(rest.pop(second))
        host._end_clients()  # what SIGTERM's last timer calls
        assert not host.clients.clients
        assert not rest and {"m1", "m2"} <= set(host.journal.numbers_by_id) | set(
            host.journal.completed_ids.entries
        )
        assert await first.line() == await second.line() == b"+OK\r\n"
        assert await first.line() == await second.line() == b""
        await bounded(host.closed)

    courier(test)(tmp_path)


@courier
async def test_what_is_read_in_the_last_look_of_all_is_answered(fleet):
    # A request comes before each time that sockets are looked at: the last one was read, and closed with no
    # answer.
    await fleet.endpoint("a")
    await fleet.inside()
    host, client, sent = fleet.host, Plain(fleet.port_of_host()), []
    assert await client.put("m") == b"+OK\r\n"

    def crossed(do):
        def look():
            sent.append(f"m{len(sent)}")
            client.send(Client.message(sent[-1]))
            return do()

        return look

    host.terminate()
    host.clients.last_call()
    host.clients.let_go, host.clients.look = crossed(host.clients.let_go), crossed(host.clients.look)
    host._end_clients()
    assert not host.clients.clients and len(sent) == 2 * MAX_CYCLES
    got = b""
    while part := await client.line():
        got += part
    assert got.count(b"\r\n") == len(sent)
    await bounded(host.closed)
