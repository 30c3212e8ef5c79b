"""Responses that no request asked for are counted and logged with what their connection carried before."""

import contextlib

import pytest
from loopback import answer, bounded
from test_answers import Held, arrived, held, read_on, send_behind

from madderbeam.transport import calls as c


async def delivered(h: Held):
    """A connection that has carried one message and is idle: its other end."""
    call, theirs = h.call()
    call.connection.ledger.request_started(("a",))
    h.told(call, theirs, answer(200))
    return call.connection, theirs


@pytest.mark.parametrize("copy", [answer(200), answer(200)[:9], answer(503), answer(200) * 2])
def test_a_response_on_an_idle_connection_is_counted_and_logged(copy, caplog):
    async def run(h):
        connection, theirs = await delivered(h)
        theirs.sendall(copy)
        arrived(connection.sock)
        connection.look()
        assert connection.closed and not h.calls.idle
        assert h.calls.counters.unsolicited == 1
        theirs.close()

    with caplog.at_level("WARNING"):
        held(run)()
    (record,) = [r.message for r in caplog.records if "unsolicited response" in r.message]
    assert "request 1 for a, last response" in record


def test_a_response_found_at_the_reuse_of_a_connection_is_counted(caplog):
    async def run(h):
        connection, theirs = await delivered(h)
        theirs.sendall(answer(200))
        arrived(connection.sock)
        h.calls.send(1, [c.Item(5, 0, "b", "", b"x", 5_000_000)])
        assert connection.closed and h.calls.counters.unsolicited == 1
        theirs.close()

    held(run)()


def test_an_endpoint_that_closes_an_idle_connection_is_not_counted():
    async def run(h):
        connection, theirs = await delivered(h)
        theirs.close()
        arrived(connection.sock)
        connection.look()
        assert connection.closed and h.calls.counters.unsolicited == 0

    held(run)()


def test_each_response_that_names_other_messages_is_logged_with_the_ids(caplog):
    async def run(h):
        for _ in range(2):
            call, theirs = h.call("a", "b")
            h.told(call, theirs, answer(200, b'[{"id":"x","state":"done"}]'))
            theirs.close()
        assert h.calls.counters.metrics() == {
            "responses.unsolicited": 0,
            "responses.unreadable": 2,
            "responses.mismatched": 2,
            "responses.doubtful": 0,
            "responses.copies": 0,
            "responses.gone": 0,
            "responses.gone_doubtful": 0,
            "deliveries.confirmed": 0,
            "deliveries.revoked": 0,
        }

    with caplog.at_level("INFO"):
        held(run)()
    lines = [r.message for r in caplog.records if "response to a,b (status 200) names x" in r.message]
    assert len(lines) == 2


@pytest.mark.parametrize("early", [answer(503), answer(429, Retry_After="0.4"), answer(200)])
def test_a_request_is_not_written_behind_a_response_that_came_ahead_of_it(early):
    async def run(h):
        others = send_behind(h, early)
        await bounded(h.o.ended.get())
        (theirs,) = others
        with contextlib.suppress(ConnectionResetError):
            assert await read_on(theirs) == b""  # closed, with no byte of a request
        assert not h.calls.out and not h.calls.idle
        theirs.close()

    held(run)()
