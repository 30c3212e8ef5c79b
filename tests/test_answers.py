"""Answers that break off, come early, late or in the instant in which a call is given up, or never end.

Both ends of each connection are held here and the loop is stopped between their steps, so that every crossing
is forced: the courier's end reads only when it is told to look."""

import asyncio
import select
import socket
import struct
import time
from dataclasses import replace

import pytest
from loopback import Server, answer, bounded
from test_calls import Outcomes

from madderbeam.policy.events import AttemptResult
from madderbeam.transport import calls as c
from madderbeam.transport.response_content import COPY_WINDOW_S

DELIVERED = c.Outcome(AttemptResult.OK, over=True)
RESET = c.Outcome(AttemptResult.RESET)
NEVER = c.Outcome(AttemptResult.CONNECT_FAILED)
FULL = answer(429, Retry_After="0.4")
TOLD = c.Outcome(AttemptResult.OVERLOADED, wait_us=400_000)
BIG = b"x" * 8_000_000  # more than the system takes at once


def pair(server):
    """Both ends of a connection over TCP, the courier's first."""
    theirs = socket.create_connection(server.getsockname())
    ours, _ = server.accept()
    ours.setblocking(False)
    return ours, theirs


def arrived(sock):
    """What was sent to this end has come, an end as well."""
    assert select.select([sock], [], [], 5)[0]


async def read_on(sock):
    """What comes next, as the loop turns."""
    sock.setblocking(False)
    return await bounded(asyncio.get_running_loop().sock_recv(sock, 1 << 16))


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def rest(connection, seconds):
    """The responses on this connection came so much earlier."""
    ledger, contents = connection.ledger, connection.ledger.contents
    ledger.last_response_at_s -= seconds
    ledger.last_success_at_s -= seconds
    contents.indistinct_at_s -= seconds
    contents.indistinct_success_at_s -= seconds
    contents.gone_at_s -= seconds
    for checksum, response in contents.responses.items():
        contents.responses[checksum] = replace(response, completed_at_s=response.completed_at_s - seconds)


class Held:
    """Calls on connections whose other ends are held here."""

    def __init__(self, server, **changes):
        self.o, self.server = Outcomes(**changes), server
        self.calls = self.o.calls
        self.calls.place(1, ("127.0.0.1", 1))

    def call(self, *ids, rest=b"", timeout_us=10_000_000, write_by=None):
        """One that is out, with so much of its request still to be written: the call and the other end."""
        ours, theirs = pair(self.server)
        return self.adopt(ours, *ids, rest=rest, timeout_us=timeout_us, write_by=write_by), theirs

    def adopt(self, ours, *ids, rest=b"", timeout_us=10_000_000, write_by=None):
        """As call, on a connection that is there."""
        items = [[n, 0, i, "", b"", timeout_us, 0, False, True] for n, i in enumerate(ids or ("a",))]
        now = asyncio.get_running_loop().time()
        self.calls.adopt(
            ours,
            {
                "endpoint": 1,
                "items": items,
                "started": now,
                "deadline": now + 10,
                "address": ["127.0.0.1", 1],
                "bundle": len(items),
                "rest": rest,
                "connected": True,
                "write_by": write_by,
            },
        )
        return next(reversed(self.calls.out))

    def told(self, call, theirs, data):
        """The endpoint sends this, and it is read."""
        theirs.sendall(data)
        arrived(call.connection.sock)
        call.connection.look()

    @property
    def outcomes(self):
        ended = []
        while not self.o.ended.empty():
            ended.append(self.o.ended.get_nowait()[1])
        return ended


def held(test):
    """Runs a test with Held."""

    def run():
        async def inner():
            with socket.create_server(("127.0.0.1", 0)) as server:
                h = Held(server)
                try:
                    await test(h)
                finally:
                    h.calls.close()

        asyncio.run(inner())

    return run


CASES = [
    (answer(200, b"fine"), DELIVERED),
    (b"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", DELIVERED),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200), DELIVERED),
    (FULL, TOLD),
    (answer(503, Slots_Taken="1"), c.Outcome(AttemptResult.NOT_SENT)),
    (answer(410), c.Outcome(AttemptResult.NOT_SENT, over=True)),
    (answer(500, b"no"), c.Outcome(AttemptResult.ERROR)),
]


GONE_LINE = b"HTTP/1.1 410 x\r\n"  # whole, it may be true though the rest breaks off


def line_of_200(text):
    """Where the first line with 200 is whole, -1 if the answer has none."""
    at = text.find(b"HTTP/1.1 200")
    return text.index(b"\n", at) + 1 if at >= 0 else -1


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize(("text", "whole"), CASES)
def test_an_answer_that_breaks_off_at_any_byte_may_have_run_until_it_tells(text, whole, end):
    # Cut off in "HTTP/1.1 200 O" it counted as delivered: the message was over with no effect and no notice.
    async def run(h):
        line = line_of_200(text)
        for cut in range(len(text) + 1):
            call, theirs = h.call()
            if cut:
                h.told(call, theirs, text[:cut])
            end(theirs)
            if call in h.calls.out:
                arrived(call.connection.sock)
                call.connection.look()
            told = cut == len(text) or 0 <= line <= cut
            unproven = replace(RESET, may_be_over=text.startswith(GONE_LINE) and cut >= len(GONE_LINE))
            assert h.outcomes == [whole if told else unproven], (cut, text[:cut])
            assert call not in h.calls.out

    held(run)()


@pytest.mark.parametrize(("text", "whole"), CASES)
def test_an_answer_in_two_pieces_cut_at_any_byte_says_the_same(text, whole):
    async def run(h):
        for cut in range(1, len(text)):
            call, theirs = h.call()
            h.told(call, theirs, text[:cut])
            assert h.outcomes == ([whole] if 0 <= line_of_200(text) <= cut else [])
            h.told(call, theirs, text[cut:])
            assert h.outcomes == ([] if 0 <= line_of_200(text) <= cut else [whole])
            assert call not in h.calls.out
            theirs.close()

    held(run)()


def test_a_bundle_cut_off_at_any_byte_may_have_run():
    async def run(h):
        text = answer(200, b'[{"id":"a","state":"done"},{"id":"b","state":"busy"}]')
        for cut in range(len(text)):
            call, theirs = h.call("a", "b")
            if cut:
                h.told(call, theirs, text[:cut])
            theirs.close()
            arrived(call.connection.sock)
            call.connection.look()
            assert h.outcomes == [RESET, RESET]

    held(run)()


@held
async def test_what_trails_an_answer_changes_nothing_of_it(h):
    call, theirs = h.call()
    h.told(call, theirs, b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nRetry-After: 9\r\n\r\n")
    assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED)] and h.o.waits == []
    theirs.close()


@pytest.mark.parametrize(
    "waits",
    [("0.1", "0.4"), ("0.4", "0.1"), ("0.4", "Fri, 31 Dec 1999 23:59:59 GMT"), ("0.1, 0.4",), ("nan", "0.4")],
)
def test_of_several_told_waits_the_longest_binds(waits):
    # The last one counted, and a destination that had told to wait longer was called.
    async def run(h):
        call, theirs = h.call()
        lines = "".join(f"Retry-After: {wait}\r\n" for wait in waits).encode()
        h.told(call, theirs, b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n" + lines + b"\r\n")
        assert h.outcomes == [TOLD] and h.o.waits == [400_000]
        theirs.close()

    held(run)()


@pytest.mark.parametrize("first", [answer(200), answer(503), answer(200) + answer(503)])
def test_a_wait_of_a_response_behind_the_first_binds(first):
    async def run(h):
        call, theirs = h.call()
        h.told(call, theirs, first + FULL)
        assert h.o.waits == [400_000] and call.connection.closed
        theirs.close()

    held(run)()


@pytest.mark.parametrize("cut", [0, 12, 20])
def test_an_interim_answer_does_not_begin_the_time_of_the_answer(monkeypatch, cut):
    # A destination that says 102 and works on was given up half a second later, and its call may have run.
    async def run(h):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        call, theirs = h.call()
        for part in filter(None, (interim[:cut], interim[cut:])):
            h.told(call, theirs, part)
            for _ in range(5):
                await asyncio.sleep(0)
        assert h.outcomes == [] and call in h.calls.out
        assert call not in h.calls.unsettled  # nothing of its own answer is read: another process may go on
        h.told(call, theirs, b"HTTP/1.1 500 x\r\n")
        assert (await bounded(h.o.ended.get()))[1] == c.Outcome(AttemptResult.ERROR, spoilt=True)
        theirs.close()

    monkeypatch.setattr(c, "TAIL_S", 0.0)
    held(run)()


# Answers to what is not written whole


@held
async def test_a_200_ahead_of_the_last_byte_is_none(h):
    # A call begins when its last byte has come: this one can't have.
    call, theirs = h.call(rest=BIG)
    assert call.connection.rest  # not written whole
    h.told(call, theirs, answer(200))
    assert h.outcomes == [NEVER] and call.connection.closed
    theirs.close()


@held
async def test_a_wait_told_ahead_of_the_last_byte_binds(h):
    call, theirs = h.call(rest=BIG)
    h.told(call, theirs, FULL)
    assert h.outcomes == [TOLD] and h.o.waits == [400_000] and call.connection.closed
    theirs.close()


@held
async def test_a_wait_that_came_ahead_of_a_break_is_read_before_it(h):
    # The write finds the connection broken; the answer lay unread, and its wait was passed by.
    call, theirs = h.call(rest=BIG)
    theirs.sendall(FULL)
    arrived(call.connection.sock)
    call.connection.sock.shutdown(socket.SHUT_WR)  # from here on writing fails, and reading does not
    call.connection._write()
    assert h.outcomes == [TOLD] and h.o.waits == [400_000]
    theirs.close()


@held
async def test_what_is_written_in_part_as_a_wait_is_told_goes_no_further(h):
    # The rest went out as the endpoint read on: the call began amid the wait that another one had told.
    call, theirs = h.call("a", rest=BIG)
    other, others = h.call("b")
    left = len(call.connection.rest)
    assert 0 < left < len(BIG)  # written in part
    others.sendall(FULL)
    arrived(other.connection.sock)
    h.calls.hooks.told_wait = lambda endpoint, wait_us: setattr(h.o, "waited", True)
    other.connection.look()
    assert h.outcomes == [TOLD]
    came = 0
    with pytest.raises(ConnectionResetError):
        while part := await read_on(theirs):
            came += len(part)
    assert h.outcomes == [c.Outcome(AttemptResult.NOT_SENT)] and came <= len(BIG) - left
    theirs.close()
    others.close()


@held
async def test_what_is_written_in_part_as_a_drain_is_told_goes_on(h):
    # For drains a send counts from its first byte, and an endpoint finishes what it has.
    call, theirs = h.call("a", rest=BIG)
    assert 0 < len(call.connection.rest) < len(BIG)
    h.o.allowed = False
    came = 0
    while came < len(BIG):
        came += len(await read_on(theirs))
    assert call.sent and not h.outcomes
    theirs.close()


@held
async def test_a_wait_that_stands_unread_as_there_is_room_for_the_next_part_holds(h):
    call, theirs = h.call("a", rest=BIG)
    other, others = h.call("b")
    await asyncio.sleep(2 * c.SLOW_S)  # the calls have been out for longer
    others.sendall(FULL)
    arrived(other.connection.sock)
    h.calls.hooks.told_wait = lambda endpoint, wait_us: setattr(h.o, "waited", True)
    call.connection._more()
    assert h.outcomes == [TOLD, c.Outcome(AttemptResult.NOT_SENT)]
    theirs.close()
    others.close()


@pytest.mark.parametrize("rest", [b"", BIG])
def test_a_reset_may_have_run_once_the_last_byte_was_written_and_only_then(rest):
    async def run(h):
        call, theirs = h.call(rest=rest)
        reset(theirs)
        outcome = (await bounded(h.o.ended.get()))[1]
        assert outcome == (NEVER if rest else RESET)

    held(run)()


# The instant of reuse


@pytest.mark.parametrize("step", [b"", b"HTTP/1.1 200 O", answer(200), answer(408)])
def test_a_kept_connection_that_ends_while_the_record_is_written_carries_nothing(step):
    # It was looked at before the record of the attempt and not behind it, however long that took.
    async def run(h):
        call, theirs = h.call()
        h.told(call, theirs, answer(200))
        assert h.outcomes == [DELIVERED] and h.calls.idle == 1
        rest(call.connection, COPY_WINDOW_S)

        def slow(endpoint, items, go):
            theirs.sendall(step)
            if not step:
                theirs.close()
            arrived(call.connection.sock)
            go(True)

        h.calls.hooks.begin = slow
        item = c.Item(5, 0, "b", "", b"x", 5_000_000)
        h.calls.send(1, [item])
        assert h.outcomes == [c.Outcome(AttemptResult.NOT_SENT)] and not item.begun
        assert call.connection.closed and not h.calls.out and not h.calls.idle
        if step:
            arrived(theirs)
            with pytest.raises(ConnectionResetError):  # closed over what was unread; no byte of a call came
                theirs.recv(1)
            theirs.close()

    held(run)()


@held
async def test_a_drain_learnt_while_the_record_is_written_holds_the_call_back(h):
    call, theirs = h.call()
    h.told(call, theirs, answer(200))
    rest(call.connection, COPY_WINDOW_S)

    def slow(endpoint, items, go):
        h.o.allowed = False
        go(True)

    h.calls.hooks.begin = slow
    item = c.Item(5, 0, "b", "", b"x", 5_000_000)
    h.calls.send(1, [item])
    assert h.outcomes == [DELIVERED, c.Outcome(AttemptResult.NOT_SENT)] and not item.begun
    assert h.calls.idle == 1  # the connection is as good as before
    theirs.setblocking(False)
    with pytest.raises(BlockingIOError):
        theirs.recv(1)
    theirs.close()


@held
async def test_a_408_that_crossed_a_call_is_not_followed_by_the_answer_of_that_call_on_the_next_one(h):
    # An endpoint sends it unasked, for want of a request, and the request that crossed it is served all the
    # same. Its 200 was taken for the next message's, which was over with no effect and no notice.
    call, theirs = h.call()
    connection = call.connection
    h.told(call, theirs, answer(408))
    assert h.outcomes == [c.Outcome(AttemptResult.ERROR)]
    assert connection.closed and not h.calls.idle
    with pytest.raises(ConnectionResetError):
        theirs.recv(1)
    theirs.close()


@pytest.mark.parametrize(("step", "outcome"), [(b"", NEVER), (FULL, TOLD)])
def test_a_new_connection_that_ends_while_the_record_is_written_carries_nothing(step, outcome):
    # An unsafe message was taken for one that may have run. One that is turned away at once says so first.
    async def run(h):
        h.server.setblocking(False)
        h.calls.place(1, h.server.getsockname())
        reached, ended = [], h.o.ended

        def slow(endpoint, items, go):
            theirs, _ = h.server.accept()
            theirs.sendall(step)
            theirs.close()
            (call,) = h.calls.out
            arrived(call.connection.sock)
            go(True)
            reached.append(items[0].begun)

        h.calls.hooks.begin = slow
        h.calls.send(1, [c.Item(5, 0, "b", "", b"x", 5_000_000)])
        assert (await bounded(ended.get()))[1] == outcome
        assert reached == [step != b""] and not h.calls.out

    held(run)()


def send_behind(h, early):
    """Send a message on a new connection on which this comes ahead of the request; return the other ends."""
    h.server.setblocking(False)
    h.calls.place(1, h.server.getsockname())
    others = []

    def slow(endpoint, items, go):
        theirs, _ = h.server.accept()
        others.append(theirs)
        theirs.sendall(early)
        (call,) = h.calls.out
        arrived(call.connection.sock)
        go(True)

    h.calls.hooks.begin = slow
    h.calls.send(1, [c.Item(5, 0, "b", "", b"x", 5_000_000)])
    return others


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (answer(200), c.Outcome(AttemptResult.ERROR, spoilt=True)),
        (answer(503), c.Outcome(AttemptResult.OVERLOADED)),
        (FULL, TOLD),
    ],
)
def test_a_200_that_came_on_a_new_connection_ahead_of_the_request_is_none(step, outcome):
    # The message was over with no effect and no notice. One that is turned away at once may say so first.
    async def run(h):
        others = send_behind(h, step)
        assert (await bounded(h.o.ended.get()))[1] == outcome
        assert not h.calls.out
        others[0].close()

    held(run)()


def test_a_410_that_came_ahead_of_the_request_ends_no_message():
    # It can't be about this message: it was over with no effect and no notice.
    async def run(h):
        others = send_behind(h, answer(410))
        outcome = (await bounded(h.o.ended.get()))[1]
        assert outcome == c.Outcome(AttemptResult.NOT_SENT)
        assert not h.calls.out
        others[0].close()

    held(run)()


@held
async def test_a_410_that_came_ahead_of_the_last_byte_of_the_request_proves_nothing(h):
    call, theirs = h.call("a", rest=BIG)
    h.told(call, theirs, answer(410))
    assert h.outcomes == [c.Outcome(AttemptResult.NOT_SENT, may_be_over=True)]
    theirs.close()


# Given up in the instant of the answer


@pytest.mark.parametrize(("text", "whole"), [CASES[0], CASES[3]])
def test_an_answer_that_came_with_a_cancel_is_heard(text, whole):
    async def run(h):
        call, theirs = h.call()
        theirs.sendall(text)
        arrived(call.connection.sock)
        h.calls.cancel(0, 0)
        assert h.outcomes == [whole] and len(h.o.waits) == (whole is TOLD)
        theirs.close()

    held(run)()


def test_an_answer_that_came_with_the_time_out_of_a_probe_is_heard():
    async def run(h):
        ours, theirs = pair(h.server)
        connection = c.Connection(h.calls.loop, h.calls.network, ("127.0.0.1", 1), ours)
        connection.connected = True
        h.calls.network.on_readable(ours, connection._readable)
        h.calls._keep(1, connection)
        h.calls.connect_s = 0.05
        h.calls.probe(1)
        theirs.sendall(FULL)
        arrived(ours)
        time.sleep(0.06)  # the loop does not turn: both are due when it does
        h.calls._late(next(iter(h.calls.out)))
        assert h.o.probes.get_nowait() is AttemptResult.OVERLOADED and h.o.waits == [400_000]
        theirs.close()

    held(run)()


@held
async def test_the_rest_of_an_answer_that_came_with_its_time_is_heard(h):
    call, theirs = h.call()
    h.told(call, theirs, FULL[:-2])
    theirs.sendall(FULL[-2:])
    arrived(call.connection.sock)
    call.drop()
    assert h.outcomes == [TOLD]
    theirs.close()


def test_a_cancelled_call_has_never_run_if_its_last_byte_was_not_written():
    async def run(h):
        call, theirs = h.call(rest=BIG)
        h.calls.cancel(0, 0)
        assert h.outcomes == [c.Outcome(AttemptResult.NOT_SENT)] and call.connection.closed
        theirs.close()

    held(run)()


@held
async def test_what_is_given_up_is_reset_and_not_sent_on(h):
    # A plain close leaves the system sending what it holds: the call would begin long after, out of its
    # window. Here that is everything beyond what the other end had room for.
    call, theirs = h.call(rest=BIG)
    h.calls.cancel(0, 0)
    came = 0
    with pytest.raises(ConnectionResetError):
        while part := theirs.recv(1 << 16):
            came += len(part)
    assert came < len(BIG)
    theirs.close()


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (b"nonsense\r\n\r\n", c.Outcome(AttemptResult.ERROR, spoilt=True)),  # can't be read
        (b"HTTP/1.1 500 x\r\n\r\n" + b"x" * 70_000, c.Outcome(AttemptResult.ERROR, spoilt=True)),
        (b"", RESET),  # its sending ended, and it reads on
    ],
)
def test_what_is_over_with_no_answer_is_reset_and_not_sent_on(step, outcome):
    # All of it had been handed to the system, which held most of it back and sent it on behind a plain close:
    # the call began as the endpoint read on, beside its next attempt.
    async def run(h):
        theirs = socket.socket()
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        theirs.connect(h.server.getsockname())
        ours, _ = h.server.accept()
        ours.setblocking(False)
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 400_000)
        body = b"x" * 100_000
        call = h.adopt(ours, "a", rest=body)
        assert call.sent
        if step:
            theirs.sendall(step)
        else:
            theirs.shutdown(socket.SHUT_WR)
        while call in h.calls.out:
            arrived(ours)
            call.connection.look()
            await asyncio.sleep(0)
        assert h.outcomes == [outcome]
        came = 0
        with pytest.raises(ConnectionResetError):
            while part := await read_on(theirs):
                came += len(part)
        assert came < len(body)
        theirs.close()

    held(run)()


# Answers without an end


class Endless(Server):
    """Answers each call with a head and then with parts, for as long as the connection lasts."""

    def __init__(self, head, part):
        super().__init__()
        self.head, self.part, self.over = head, part, asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)
        try:
            while True:
                writer.write(self.part)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.over.set()


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"", b"\r\n"),
        (b"HTTP/1.1 500 x\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 500 x\r\nA: ", b"b" * 100),
        (b"HTTP/1.1 500 x\r\n\r\n", b"b" * 1000),
        (b"HTTP/1.1 500 x\r\nContent-Length: 3000000000\r\n\r\n", b"b" * 1000),
        (b"HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nb\r\n"),
        (b"HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n"),
    ],
)
def test_an_answer_that_never_ends_is_given_up(head, part):
    async def run():
        endpoint = await Endless(head, part).start()
        o = Outcomes()
        began = asyncio.get_running_loop().time()
        ((_, outcome),) = await o.send(endpoint.port, "a", timeout_us=60_000_000)
        assert outcome.result is AttemptResult.ERROR and outcome.spoilt
        assert asyncio.get_running_loop().time() - began < 10 * c.TAIL_S
        await bounded(endpoint.over.wait())  # its connection is closed
        assert not o.calls.out and not o.calls.idle
        await endpoint.stop()

    asyncio.run(run())


@held
async def test_calls_hold_nothing_back(h):
    # Small writes wait for nothing: a request has to be whole at the endpoint before its time.
    loop = asyncio.get_running_loop()
    h.server.setblocking(False)
    h.calls.place(1, h.server.getsockname())
    h.calls.send(1, [c.Item(5, 0, "b", "", b"x", 5_000_000)])
    theirs, _ = await bounded(loop.sock_accept(h.server))
    await bounded(loop.sock_recv(theirs, 1))
    (call,) = h.calls.out
    assert call.connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    theirs.close()


@pytest.mark.parametrize("text", [b"nonsense\r\n\r\n", answer(503) + b"\x00noise\r\n"])
def test_a_strange_answer_is_told_once_and_the_next_call_is_served(text, caplog):
    async def run(h):
        for _ in range(3):
            call, theirs = h.call()
            h.told(call, theirs, text)
            (outcome,) = h.outcomes
            assert outcome.result is AttemptResult.ERROR and outcome.spoilt
            theirs.close()
        call, theirs = h.call()
        h.told(call, theirs, answer(200))
        assert h.outcomes == [DELIVERED]
        theirs.close()

    with caplog.at_level("WARNING"):
        held(run)()
    assert len([r for r in caplog.records if "can't be read" in r.message]) == 1


def test_a_strange_answer_to_a_bundle_is_told_once(caplog):
    async def run(h):
        for body in (b"[]", b"{", b'[{"id":"a","state":"done"}]'):
            call, theirs = h.call("a", "b")
            h.told(call, theirs, answer(200, body))
            assert len(h.outcomes) == 2
            theirs.close()

    with caplog.at_level("WARNING"):
        held(run)()
    assert len([r for r in caplog.records if "can't be read" in r.message]) == 1
