"""What is concluded from a response that may be a copy of an earlier one, and what is taken back."""

import asyncio

import pytest
from loopback import answer, bounded
from test_answers import BIG, DELIVERED, arrived, held, pair

from madderbeam.policy.events import AttemptResult
from madderbeam.transport import calls as c
from madderbeam.transport.response_content import (
    CHECKSUMS_KEPT,
    CHECKSUMS_MIN,
    COMPARISONS_MIN,
    COPY_WINDOW_S,
    RESPONSES_KEPT,
    RESPONSES_KEPT_MAX,
    ConnectionContents,
    ContentComparisons,
    EndpointContents,
    Origin,
    ReceivedResponse,
    head_checksum,
)
from madderbeam.transport.response_ledger import (
    COPIES_MAX,
    ResponseLedger,
    Unconfirmed,
    UsualLatency,
)

RESPONSE = answer(200)
UNCONFIRMED = c.Outcome(AttemptResult.OK, over=True, is_unconfirmed=True)


class Reuse:
    """A connection on which a response has just come, and what is concluded from it later."""

    def __init__(self, h, first=RESPONSE):
        self.h, self.confirmed, self.revoked = h, [], []
        h.calls.hooks.confirmed = lambda item: self.confirmed.append(item.id)
        h.calls.hooks.revoked = lambda item: self.revoked.append(item.id)
        self.call, self.theirs = h.call("a")
        self.connection = self.call.connection
        h.told(self.call, self.theirs, first)
        assert len(h.outcomes) == 1 and not self.connection.closed
        usual = h.calls.pools[1].usual
        usual.on_new.clear()
        for _ in range(3):  # no prompt endpoint, but none whose response here would come too soon
            usual.add(0.02, False)

    def send(self, *ids, is_repeatable=True):
        """Sends messages, on this connection if it will do."""
        items = [
            c.Item(n, 0, ident, "", b"x", 5_000_000, is_repeatable=is_repeatable)
            for n, ident in enumerate(ids, 5)
        ]
        self.h.calls.send(1, items)
        call = next(reversed(self.h.calls.out))
        return call

    def respond(self, data):
        """The endpoint writes this, and it is read."""
        self.theirs.sendall(data)
        arrived(self.connection.sock)
        self.connection.look()


def reused_in_doubt(h):
    """A connection whose last 200 may be a copy, and that carries the next request."""
    r = Reuse(h)
    r.send("b")
    r.respond(answer(200))
    r.send("c")
    return r


@held
async def test_a_200_soon_behind_another_is_unconfirmed_and_revoked_by_what_follows(h):
    r = Reuse(h)
    r.send("b")
    r.respond(answer(200))
    assert h.outcomes == [UNCONFIRMED] and not r.confirmed
    r.respond(answer(503))  # the response to b: the 200 was a copy
    assert r.revoked == ["b"] and r.connection.closed
    r.theirs.close()


@held
async def test_a_retry_after_that_comes_unsolicited_is_heeded(h):
    r = Reuse(h)
    r.respond(answer(429, Retry_After="0.4"))
    assert h.o.waits == [400_000] and r.connection.closed
    r.theirs.close()


@held
async def test_an_unconfirmed_delivery_is_revoked_by_the_next_requests_refusal(h):
    r = reused_in_doubt(h)
    r.respond(answer(503))
    assert h.outcomes[1] == c.Outcome(AttemptResult.OVERLOADED, may_have_run=True)
    assert r.revoked == ["b"] and r.connection.closed
    r.theirs.close()


@held
async def test_further_200s_confirm_a_delivery(h):
    r = Reuse(h)
    h.calls.pools[1].contents.checksums.extend([1, 1])
    for ident in "bcdefghijk"[: COPIES_MAX + 1]:
        r.send(ident)
        r.respond(answer(200))
    assert r.confirmed == ["b"] and not r.revoked
    r.theirs.close()


@held
async def test_further_200s_that_may_be_more_copies_confirm_nothing(h):
    r = Reuse(h)
    for ident in "bcdefghijk"[: COPIES_MAX + 1]:
        r.send(ident)
        r.respond(answer(200))
    assert not r.confirmed and not r.revoked
    r.theirs.close()


@pytest.mark.parametrize("are_equal", [True, False])
def test_a_delivery_that_took_as_long_as_usual_is_confirmed_where_equal_responses_are_usual(are_equal):
    async def run(h):
        r = Reuse(h)
        h.calls.pools[1].contents.checksums.extend([1, 1] if are_equal else [])
        for _ in range(3):
            h.calls.pools[1].usual.add(0.0, False)
        r.send("b")
        r.respond(answer(200))
        await bounded(until(lambda: r.confirmed or r.revoked))
        assert (r.confirmed, r.revoked) == ((["b"], []) if are_equal else ([], ["b"]))
        assert r.connection.closed == (not are_equal)
        r.theirs.close()

    held(run)()


@held
async def test_a_delivery_is_revoked_if_its_connection_ends_ahead_of_its_time(h):
    r = Reuse(h)
    h.calls.pools[1].contents.checksums.extend([1, 1])
    for _ in range(3):
        h.calls.pools[1].usual.add(0.0, False)
    r.send("b")
    r.respond(answer(200))
    r.theirs.recv(1 << 16)  # unread requests would reset it
    r.theirs.close()
    await bounded(until(lambda: r.confirmed or r.revoked))
    assert r.revoked == ["b"]


@held
async def test_behind_a_revoked_delivery_all_on_its_connection_are_revoked(h):
    r = Reuse(h)
    h.calls.pools[1].usual.on_reused.extend([0.1] * 3)
    h.calls.pools[1].usual.median_s = 0.1
    r.send("b")
    r.respond(answer(200))
    h.calls.pools[1].contents.checksums.extend([1, 1])
    h.calls.pools[1].usual.median_s = 0.0
    r.send("c")
    r.respond(answer(200))
    await bounded(until(lambda: r.revoked == ["b", "c"]))
    r.theirs.close()


@held
async def test_a_delivery_that_came_far_too_soon_is_revoked_when_nothing_follows(h):
    r = Reuse(h)
    h.calls.pools[1].usual.on_reused.extend([0.1] * 3)
    h.calls.pools[1].usual.median_s = 0.1
    r.send("b")
    r.respond(answer(200))
    await bounded(until(lambda: r.revoked == ["b"]))
    r.theirs.close()


@held
async def test_a_delivery_is_revoked_if_the_connection_ends_while_a_request_is_in_flight(h):
    r = reused_in_doubt(h)
    r.theirs.close()
    await bounded(until(lambda: r.revoked == ["b"]))


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (answer(503), c.Outcome(AttemptResult.OVERLOADED, may_have_run=True)),
        (
            answer(429, Retry_After="0.4"),
            c.Outcome(AttemptResult.OVERLOADED, wait_us=400_000, may_have_run=True),
        ),
        (answer(503, Slots_Taken="1"), c.Outcome(AttemptResult.NOT_SENT, may_have_run=True)),
        (answer(504), c.Outcome(AttemptResult.NOT_SENT, may_have_run=True)),
        (answer(410), c.Outcome(AttemptResult.ERROR, spoilt=True)),
        (answer(500), c.Outcome(AttemptResult.ERROR)),
    ],
)
def test_a_refusal_soon_behind_an_equal_one_proves_nothing_and_its_connection_is_closed(response, outcome):
    async def run(h):
        r = Reuse(h, response)
        r.send("b")
        r.respond(response)
        assert h.outcomes == [outcome] and r.connection.closed and not h.calls.idle
        r.theirs.close()

    held(run)()


@held
async def test_a_refusal_well_behind_the_last_response_is_final(h):
    r = Reuse(h, answer(503))
    rest(r.connection, COPY_WINDOW_S)
    r.send("b")
    r.respond(answer(503))
    assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED)] and not r.connection.closed
    r.theirs.close()


@held
async def test_a_message_that_may_not_run_twice_goes_where_no_copy_is_to_be_expected(h):
    r = Reuse(h)
    h.calls.pools[1].address = h.server.getsockname()
    r.connection.address = h.server.getsockname()
    call = r.send("b", is_repeatable=False)
    assert call.connection is not r.connection
    rest(r.connection, COPY_WINDOW_S)
    call = r.send("c", is_repeatable=False)
    assert call.connection is r.connection
    r.theirs.close()


@pytest.mark.parametrize("is_unsolicited", [False, True])
def test_where_a_copy_was_seen_all_messages_go_where_none_is_to_be_expected(is_unsolicited):
    async def run(h):
        r = Reuse(h)
        h.calls.pools[1].address = r.connection.address = h.server.getsockname()
        call, theirs = h.call("b")
        call.connection.address = h.server.getsockname()
        h.told(call, theirs, RESPONSE)
        if is_unsolicited:
            theirs.sendall(RESPONSE)
            arrived(call.connection.sock)
            call.connection.look()
        again = r.send("c")
        is_reused = again.connection in (r.connection, call.connection)
        assert is_reused != is_unsolicited
        theirs.close()
        r.theirs.close()

    held(run)()


@held
async def test_a_bundles_response_that_names_other_messages_ends_its_connection(h):
    r = Reuse(h)
    r.send("b", "c")
    r.respond(answer(200, b'[{"id":"a","state":"done"}]'))
    assert all(outcome.spoilt for outcome in h.outcomes) and r.connection.closed
    r.theirs.close()


@held
async def test_another_process_that_goes_on_with_a_call_knows_what_came_before(h):
    r = Reuse(h, answer(503))
    call = r.send("b")
    state = h.calls.state(call)
    h.calls.adopt(r.connection.sock.dup(), state)
    adopted = next(reversed(h.calls.out))
    r.theirs.sendall(answer(503))
    arrived(adopted.connection.sock)
    adopted.connection.look()
    assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED, may_have_run=True)]
    r.theirs.close()


@held
async def test_a_response_that_comes_ahead_of_the_requests_last_byte_delivers_nothing(h):
    ours, theirs = pair(h.server)
    call = h.adopt(ours, "b", rest=BIG)
    theirs.sendall(answer(200))
    arrived(ours)
    call.connection.look()
    assert h.outcomes[0].result is AttemptResult.CONNECT_FAILED and ours.fileno() < 0
    theirs.close()


def test_an_equal_response_is_doubtful_for_as_long_as_copies_are_to_be_expected():
    ledger = ResponseLedger()
    assert not ledger.doubts(10.0)
    ledger.response_completed(10.0)
    assert ledger.doubts(10.0 + COPY_WINDOW_S - 0.01) and not ledger.doubts(10.0 + COPY_WINDOW_S)


def test_the_first_latency_of_a_connection_counts_in_part_until_others_are_known():
    usual = UsualLatency()
    assert not usual.is_quicker(0.0)
    for _ in range(3):
        assert not usual.is_quicker(0.02)
        usual.add(0.4, is_first=True)
    assert not usual.is_quicker(0.05) and usual.is_quicker(0.02)
    for _ in range(3):
        usual.add(0.2, is_first=False)
    assert usual.is_quicker(0.05) and not usual.is_quicker(0.1)


@held
async def test_a_response_that_differs_from_the_one_before_is_no_copy(h):
    r = Reuse(h)
    r.send("b")
    r.respond(answer(503))
    assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED)] and not r.connection.closed
    r.send("c")
    r.respond(answer(200, b"c"))
    assert h.outcomes == [DELIVERED] and not r.connection.ledger.unconfirmed
    r.theirs.close()


@held
async def test_behind_a_200_in_doubt_no_content_clears_a_response(h):
    r = reused_in_doubt(h)
    r.respond(answer(200, b"b"))  # the response to b
    assert h.outcomes == [UNCONFIRMED, UNCONFIRMED] and not r.confirmed
    r.respond(answer(503))  # the response to c
    assert r.revoked == ["b", "c"] and r.connection.closed
    r.theirs.close()


@held
async def test_a_delivery_in_doubt_whose_settlement_is_late_puts_the_next_response_in_doubt(h):
    r = reused_in_doubt(h)
    r.connection.ledger.suspect_until_s = 0.0  # its time is over, and the loop has not come to its timer
    r.respond(answer(200, b"b"))  # the response to b
    assert h.outcomes == [UNCONFIRMED, UNCONFIRMED] and not r.confirmed
    r.theirs.close()


@pytest.mark.parametrize("is_copy_seen", [False, True])
def test_where_a_copy_was_seen_a_200_in_doubt_is_not_believed_because_nothing_follows(is_copy_seen):
    ledger, contents = ResponseLedger(), EndpointContents()
    contents.add(1)
    contents.add(1)
    entry = Unconfirmed("a", contents, 1, is_quick=False, settle_at_s=1.0)
    ledger.hold(entry)
    verdicts = ledger.settle(entry, is_copy_seen)
    assert (verdicts.revoked if is_copy_seen else verdicts.confirmed) == ["a"]


class DistinctContents(Reuse):
    """A connection to an endpoint whose 200s all differ."""

    def __init__(self, h):
        h.calls.pools[1].contents.checksums.extend(range(CHECKSUMS_MIN))
        super().__init__(h, answer(200, b"a"))
        h.calls.pools[1].address = h.server.getsockname()
        self.connection.address = h.server.getsockname()


@pytest.mark.parametrize("age_s", [0.0, 2 * COPY_WINDOW_S])
def test_a_200_that_repeats_one_of_an_endpoint_whose_200s_differ_is_ignored_at_any_age(age_s):
    async def run(h):
        r = DistinctContents(h)
        rest(r.connection, age_s)
        r.send("b", is_repeatable=False)
        for _ in range(2):
            r.respond(answer(200, b"a"))
            assert h.outcomes == []
        r.respond(answer(503))
        assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED)] and not r.connection.closed
        assert h.calls.counters.copies == 2
        r.theirs.close()

    held(run)()


@held
async def test_where_copies_are_told_by_content_what_may_not_run_twice_goes_on_at_once(h):
    r = DistinctContents(h)
    assert r.send("b", is_repeatable=False).connection is r.connection
    r.respond(answer(200, b"b"))
    assert h.outcomes == [DELIVERED]
    r.theirs.close()


@held
async def test_a_probe_that_gets_a_copy_of_a_delivery_tells_nothing_of_the_endpoint(h):
    r = DistinctContents(h)
    results = []
    h.calls.hooks.probed = lambda endpoint, result, latency_us: results.append(result)
    h.calls.probe(1)
    r.respond(answer(200, b"a"))
    assert results == []
    r.respond(answer(503))
    assert results == [AttemptResult.OVERLOADED]
    r.theirs.close()


@held
async def test_a_first_line_with_200_and_no_more_stands_where_no_copy_is_to_be_expected(h):
    r = DistinctContents(h)
    rest(r.connection, COPY_WINDOW_S)
    r.send("b")
    r.respond(answer(200)[:-4])
    assert h.outcomes == [DELIVERED]
    r.theirs.close()


@held
async def test_a_copy_in_two_parts_or_with_the_response_behind_it_delivers_nothing(h):
    r = DistinctContents(h)
    r.send("b", is_repeatable=False)
    r.respond(answer(200, b"a")[:-4])
    r.respond(answer(200, b"a")[-4:])
    assert h.outcomes == []
    r.respond(answer(200, b"a") + answer(503))
    assert h.outcomes == [c.Outcome(AttemptResult.RESET)] and r.connection.closed
    r.theirs.close()


@held
async def test_responses_to_bundles_say_nothing_of_those_to_single_messages(h):
    r = Reuse(h, answer(200, b"a"))
    contents = h.calls.pools[1].contents
    known = list(contents.checksums)
    r.send("b", "c")
    r.respond(answer(200, b'[{"id":"b","state":"done"},{"id":"c","state":"done"}]'))
    assert h.outcomes == [DELIVERED, DELIVERED] and list(contents.checksums) == known
    r.theirs.close()


def test_the_date_makes_no_response_distinctive():
    heads = [{"date": f"Fri, 04 Dec 2026 07:00:{n:02} GMT", "server": "x"} for n in range(2)]
    assert len({head_checksum(200, head) for head in heads}) == 1


@pytest.mark.parametrize("has_equal", [False, True])
def test_the_second_200_of_an_endpoint_tells_copies_where_those_of_all_others_differ(has_equal):
    comparisons = ContentComparisons()
    other, endpoint = EndpointContents(comparisons), EndpointContents(comparisons)
    if has_equal:
        comparisons.newest.append(False)
    for n in range(COMPARISONS_MIN + 1):
        other.add(n)
    assert not endpoint.add(99)
    assert endpoint.add(100) == (not has_equal)


@held
async def test_an_ignored_200_with_no_other_behind_it_counts_as_the_requests_own_from_then_on(h):
    r = DistinctContents(h)
    call = r.send("b")
    r.respond(answer(200, b"a"))
    call.timed_out()
    assert h.outcomes == [c.Outcome(AttemptResult.TIMEOUT)]
    assert h.calls.pools[1].contents.has_equal
    r.theirs.close()


def test_equal_200s_of_an_endpoint_are_no_proof_of_a_copy():
    contents = EndpointContents()
    assert [contents.add(1) for _ in range(4)] == [False] * 4
    assert not contents.add(2)  # it differs, but others did not
    assert [contents.add(n) for n in range(3, 3 + CHECKSUMS_KEPT)][-1]


def test_content_tells_nothing_once_a_recent_response_is_forgotten():
    contents = ConnectionContents()
    for n in range(RESPONSES_KEPT_MAX + 1):
        contents.add(n, ReceivedResponse(n / 1e3, is_distinctive=False))
    assert contents.origin(RESPONSES_KEPT_MAX, 0.2) is Origin.UNKNOWN
    assert contents.origin(999, 0.2) is Origin.UNKNOWN
    assert contents.origin(999, COPY_WINDOW_S) is Origin.OWN


def test_of_older_responses_only_some_are_kept():
    contents = ConnectionContents()
    for n in range(3 * RESPONSES_KEPT):
        contents.add(n, ReceivedResponse(n * COPY_WINDOW_S, is_distinctive=True))
    assert len(contents.responses) == RESPONSES_KEPT
    assert contents.origin(3 * RESPONSES_KEPT - 1, 99.0) is Origin.COPY


def rest(connection, seconds):
    """The last response on this connection came so much earlier."""
    connection.ledger.last_response_at_s -= seconds
    connection.ledger.contents.indistinct_at_s -= seconds


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


@held
async def test_equal_refusals_of_an_overloaded_endpoint_are_no_copies_that_were_seen(h):
    r = Reuse(h, answer(503))
    r.send("b")
    r.respond(answer(503))
    assert not h.calls.pools[1].is_copy_seen(asyncio.get_running_loop().time())
    r.theirs.close()
