"""Clients that send what can't be used, can't be read or never becomes whole, beside the usual ones."""

import asyncio
import socket
import time

import pytest
from loopback import Client, bounded, courier

from madderbeam.transport import clients as server
from madderbeam.transport.resp import FramingError, RequestReader

c = Client.command
UNUSABLE = {
    "no such command": c(b"NOPE"),
    "no command": b"*0\r\n",
    "too few": c(b"MSG.PUT", b"1"),
    "class": c(b"MSG.PUT", b"0", b"id", b"c=nope,t=t,d=9,dest=7", b""),
    "deadline": c(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=x,dest=7", b""),
    "endless deadline": c(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=999999999999,dest=7", b""),
    "no key": c(b"MSG.PUT", b"0", b"id", b"c=keyed,t=t,d=900,dest=7", b""),
    "tenant": c(b"MSG.PUT", b"0", b"id", b"c=safe,t=nobody,d=900,dest=7", b""),
    "destination": c(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=900,dest=99", b""),
    "id": c(b"MSG.PUT", b"0", b"i d", b"c=safe,t=t,d=900,dest=7", b""),
    "no id": c(b"MSG.PUT", b"0", b"", b"c=safe,t=t,d=900,dest=7", b""),
    "fields": c(b"MSG.PUT", b"0", b"id", b"\xff\xfe", b""),
}
UNREADABLE = {
    "inline": b"PING\r\n",
    "number": b":5\r\n",
    "noise": b"\x00\xff\x17" * 30,
    "nested": b"*1\r\n*1\r\n$1\r\nx\r\n",
    "negative count": b"*-1\r\n",
    "huge count": b"*1000000000\r\n",
    "negative length": b"*1\r\n$-1\r\n",
    "huge length": b"*1\r\n$60000000\r\n",
    "no length": b"*1\r\n$x\r\n",
    "signed": b"*+1\r\n",
    "wrong length": b"*1\r\n$3\r\nPINGPONG\r\n",
    "line without end": b"*" + b"1" * 50,
    "big body": Client.message("big", body=b"x" * 65537),
    "sum": b"*16\r\n" + b"".join(b"$60000\r\n%s\r\n" % (b"x" * 60000) for _ in range(2)),
}


@courier
async def test_a_request_that_cant_be_used_gets_its_error_and_the_connection_goes_on(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    for name, request in UNUSABLE.items():
        client = await Client().open(fleet.port_of_host())
        assert (await client.send(request)).startswith("-ERR"), name
        assert await client.send(c(b"PING")) == "+PONG", name
    assert not fleet.host.journal.pending and not fleet.host.journal.completed_ids


@courier
async def test_what_cant_be_read_is_answered_with_an_error_and_a_close(fleet):
    # A huge length is turned down before anything is kept for it, without waiting for the rest.
    await fleet.endpoint("a")
    await fleet.inside()
    for name, request in UNREADABLE.items():
        client = await Client().open(fleet.port_of_host())
        assert (await client.send(request)).startswith("-ERR"), name
        assert await bounded(client.reader.read()) == b"", name  # no reset, with whatever unread


@courier
async def test_a_destination_whose_endpoints_are_gone_for_now_is_no_error(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    fleet.discovery.change("a", state="terminated")
    while fleet.host.registry.entries:
        await asyncio.sleep(0.01)
    assert await client.put("m1") == "+OK"
    assert (await client.put("m2", dest=8)).startswith("-ERR")


@courier
async def test_byte_by_byte_and_several_at_once_in_order(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    for byte in client.message("p1") + c(b"NOPE") + client.message("p2") + c(b"PING"):
        client.writer.write(bytes([byte]))
        await asyncio.sleep(0)
    got = [await client.line() for _ in range(4)]
    assert got[0] == got[2] == "+OK" and got[1].startswith("-ERR") and got[3] == "+PONG"


@courier
async def test_one_that_goes_on_with_what_was_turned_down_is_slowed_and_closed(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    began = time.monotonic()
    client.writer.write(c(b"NOPE") * server.STRIKES + c(b"PING"))
    got = (await bounded(client.reader.read())).split(b"\r\n")
    assert len(got) == server.STRIKES + 1 and all(line.startswith(b"-ERR") for line in got[:-1])
    assert time.monotonic() - began >= server.PAUSE_S


@courier
async def test_hundreds_of_requests_at_once_are_all_answered(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    client.writer.write(c(b"PING") * 500 + c(b"QUIT") + c(b"PING"))
    assert await bounded(client.reader.read()) == b"+PONG\r\n" * 500 + b"+OK\r\n"


@courier
async def test_a_client_that_does_not_become_whole_in_time_is_told_or_closed(fleet):
    await fleet.endpoint("a")
    silent = await fleet.inside()
    half = await Client().open(fleet.port_of_host())
    half.writer.write(c(b"PING")[:9])
    later = await Client().open(fleet.port_of_host())
    assert await later.put("m1") == "+OK"
    later.writer.write(later.message("m2")[:60])
    began = time.monotonic()
    assert (await half.line()).startswith("-ERR")
    assert (await later.line()).startswith("-ERR")
    for client in (silent, half, later):
        assert await bounded(client.reader.read()) == b""
    assert time.monotonic() - began < server.WHOLE_S + 1


@courier
async def test_silent_connections_by_hundreds_do_not_keep_the_usual_clients_out(fleet):
    # They had used up all descriptors: accepting took up the whole backlog before it closed any.
    fleet.limits["sockets"] = 64
    await fleet.endpoint("a")
    await fleet.outside(files=64)
    crowd = []
    for _ in range(300):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", fleet.port))
        crowd.append(sock)
    for n in range(5):
        fresh = await Client().open(fleet.port)
        assert await asyncio.wait_for(fresh.put(f"f{n}"), 0.4) == "+OK"
        assert await asyncio.wait_for(fresh.put(f"m{n}"), 0.4) == "+OK"
    for sock in crowd:
        sock.close()


@courier
async def test_accepting_outlives_the_end_of_descriptors(fleet):
    # The limit told is wrong: only EMFILE says so, and the connections that were of no use go.
    await fleet.endpoint("a")
    await fleet.outside(files=40)
    crowd = [await Client().open(fleet.port) for _ in range(60)]
    fresh = await Client().open(fleet.port)
    assert await fresh.send(c(b"PING")) == "+PONG"
    assert await fresh.put("m1") == "+OK"
    for one in crowd:
        one.writer.close()


@pytest.mark.parametrize("data", [b"*1000000000\r\n", b"*5\r\n$99999999999\r\n"])
def test_nothing_is_kept_for_a_length_that_was_only_told(data):
    reader = RequestReader()
    reader.feed(data)
    with pytest.raises(FramingError):
        reader.next()
    assert not reader.items


@courier
async def test_one_that_has_just_connected_is_not_closed_for_room(fleet):
    # Where each client asks once and keeps its connection, those that had just come were closed as never of
    # use before the idle ones, with their first request on its way.
    fleet.limits["sockets"] = 40
    await fleet.endpoint("a")
    await fleet.inside()
    most = fleet.host.clients.places.most
    stay = [await Client().open(fleet.port_of_host()) for _ in range(most - 1)]
    for n, client in enumerate(stay):
        assert await client.put(f"m{n}") == "+OK"
    fresh = [await Client().open(fleet.port_of_host()) for _ in range(most // 2)]
    await asyncio.sleep(0)
    for n, client in enumerate(fresh):
        assert await client.put(f"f{n}") == "+OK"


@courier
async def test_of_those_that_keep_their_connection_for_good_only_some_are_kept(fleet):
    # Each held its place for 3 s: at a hundred new ones a second there was none left for those that came.
    fleet.limits["sockets"] = 80
    await fleet.endpoint("a")
    await fleet.inside()
    places = fleet.host.clients.places.most
    stay = []
    for n in range(places):
        stay.append(await Client().open(fleet.port_of_host()))
        assert await stay[-1].put(f"m{n}") == "+OK"
    assert len(fleet.host.clients.clients) <= places * server.IDLE_SHARE + 1
    assert await stay[-1].put("again") == "+OK"  # the longest idle have gone
    assert await bounded(stay[0].reader.read()) == b""
