"""What is concluded from a response that may be a copy of an earlier one, and where the next request goes."""

import asyncio
import socket

import pytest
from loopback import answer
from test_answers import BIG, DELIVERED, RESET, arrived, held, pair, reset, rest

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
from madderbeam.transport.response_ledger import NEVER_S, ResponseLedger

RESPONSE = answer(200)


class Reuse:
    """A connection on which a response has just come, and the requests that follow."""

    def __init__(self, h, first=RESPONSE):
        self.h = h
        self.call, self.theirs = h.call("a")
        self.connection = self.call.connection
        h.told(self.call, self.theirs, first)
        assert len(h.outcomes) == 1 and not self.connection.closed
        h.calls.pools[1].address = self.connection.address = h.server.getsockname()

    def send(self, *ids, is_repeatable=True):
        """Sends messages, on this connection if it will do."""
        items = [
            c.Item(n, 0, ident, "", b"x", 5_000_000, is_repeatable=is_repeatable)
            for n, ident in enumerate(ids, 5)
        ]
        self.h.calls.send(1, items)
        call = next(reversed(self.h.calls.out))
        return call

    def send_here(self, *ids):
        """Send messages on this connection, also behind a 410: a process of an earlier version may have."""
        self.connection.ledger.contents.gone_at_s = NEVER_S
        assert self.send(*ids).connection is self.connection

    def respond(self, data):
        """The endpoint writes this, and it is read."""
        self.theirs.sendall(data)
        arrived(self.connection.sock)
        self.connection.look()


@pytest.mark.parametrize("ids", ["b", "bc"])
@pytest.mark.parametrize("equal_successes", [(), (1, 1)])
def test_no_message_goes_where_a_copy_of_a_success_would_be_taken_for_its_own(equal_successes, ids):
    async def run(h):
        r = Reuse(h)
        h.calls.pools[1].contents.checksums.extend(equal_successes)
        sent = [r.send(*ids) for _ in range(3)]
        assert r.connection not in [call.connection for call in sent]
        r.respond(answer(200))  # a copy
        assert h.outcomes == [] and r.connection.closed
        assert all(call in h.calls.out for call in sent)
        r.theirs.close()

    held(run)()


def expecting_differences(h):
    """So far no two successes of an endpoint were equal."""
    h.calls.comparisons.newest.append(True)


@held
async def test_where_successes_are_expected_to_differ_the_whole_response_delivers(h):
    expecting_differences(h)
    r = Reuse(h, answer(200, b"a"))
    assert r.send("b").connection is r.connection
    r.respond(answer(200, b"b")[:-1])
    assert h.outcomes == []
    r.respond(b"b")
    assert h.outcomes == [DELIVERED] and not r.connection.closed
    r.theirs.close()


@pytest.mark.parametrize("ids", ["b", "bc"])
@pytest.mark.parametrize("differences", [0, 1])
def test_no_message_goes_where_a_copy_of_a_410_would_be_taken_for_its_own(ids, differences):
    async def run(h):
        h.calls.comparisons.newest.extend([True] * differences)
        r = Reuse(h, answer(410))
        sent = [r.send(*ids) for _ in range(3)]
        assert r.connection not in [call.connection for call in sent]
        r.respond(answer(410))  # a copy
        assert h.outcomes == [] and r.connection.closed
        assert all(call in h.calls.out for call in sent)
        r.theirs.close()

    held(run)()


@pytest.mark.parametrize("copied", [answer(500), answer(503), answer(504)])
def test_a_410_right_behind_a_copy_of_a_refusal_lets_no_message_go_again(copied):
    async def run(h):
        r = Reuse(h, copied)
        r.send("b")
        r.respond(copied + answer(410))
        (outcome,) = h.outcomes
        assert outcome.may_be_over and not outcome.over and r.connection.closed
        r.theirs.close()

    held(run)()


@held
async def test_a_410_right_behind_a_copy_that_is_told_by_content_lets_no_message_go_again(h):
    r = DistinctContents(h)
    r.send("b")
    r.respond(answer(200, b"a") + answer(410))
    (outcome,) = h.outcomes
    assert outcome.may_be_over and not outcome.over and r.connection.closed
    r.theirs.close()


@held
async def test_a_message_goes_where_a_copy_of_a_410_is_no_more_to_be_expected(h):
    r = Reuse(h, answer(410))
    rest(r.connection, COPY_WINDOW_S)
    assert r.send("b").connection is r.connection
    r.respond(answer(410))
    assert h.outcomes == [c.Outcome(AttemptResult.NOT_SENT, over=True)] and not r.connection.closed
    r.theirs.close()


@held
async def test_an_equal_success_that_was_expected_to_differ_proves_nothing_and_is_learnt(h):
    expecting_differences(h)
    r = Reuse(h)
    r.send("b")
    r.respond(answer(200))
    (outcome,) = h.outcomes
    assert outcome.result is AttemptResult.ERROR and not outcome.over and r.connection.closed
    assert not h.calls.pools[1].contents.is_expected_to_differ
    r.theirs.close()


@held
async def test_what_may_not_run_twice_goes_elsewhere_though_successes_are_expected_to_differ(h):
    expecting_differences(h)
    r = Reuse(h, answer(200, b"a"))
    assert r.send("b", is_repeatable=False).connection is not r.connection
    r.theirs.close()


@held
async def test_a_message_goes_where_a_copy_of_a_success_is_no_more_to_be_expected(h):
    r = Reuse(h)
    rest(r.connection, COPY_WINDOW_S)
    assert r.send("b").connection is r.connection
    r.respond(answer(200))
    assert h.outcomes == [DELIVERED] and not r.connection.closed
    r.theirs.close()


@held
async def test_a_retry_after_that_comes_unsolicited_is_heeded(h):
    r = Reuse(h)
    r.respond(answer(429, Retry_After="0.4"))
    assert h.o.waits == [400_000] and r.connection.closed
    r.theirs.close()


@pytest.mark.parametrize("is_repeatable", [True, False])
@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_a_first_line_with_200_behind_a_success_delivers_nothing_if_no_more_comes(end, is_repeatable):
    async def run(h):
        r = DistinctContents(h)
        r.send("b", is_repeatable=is_repeatable)
        r.respond(answer(200, b"a")[:-1])
        assert h.outcomes == []
        r.theirs.recv(1 << 16)  # unread requests would reset it
        end(r.theirs)
        arrived(r.connection.sock)
        r.connection.look()
        assert h.outcomes == [RESET]
        assert h.calls.counters.revoked == 1 and not h.calls.counters.confirmed

    held(run)()


@held
async def test_a_first_line_with_200_behind_a_success_delivers_once_the_rest_shows_it_is_no_copy(h):
    r = DistinctContents(h)
    r.send("b")
    r.respond(answer(200, b"b")[:-1])
    assert h.outcomes == []
    r.respond(b"b")
    assert h.outcomes == [DELIVERED] and not r.connection.closed
    assert h.calls.counters.confirmed == 1 and not h.calls.counters.revoked
    r.theirs.close()


@held
async def test_a_first_line_with_200_behind_a_refusal_delivers_at_once(h):
    r = Reuse(h, answer(503))
    r.send("b")
    r.respond(answer(200)[:-4])
    assert h.outcomes == [DELIVERED]
    r.theirs.close()


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
        (answer(410), c.Outcome(AttemptResult.ERROR, spoilt=True, may_be_over=True)),
        (answer(500), c.Outcome(AttemptResult.ERROR)),
    ],
)
def test_a_refusal_soon_behind_an_equal_one_proves_nothing_and_its_connection_is_closed(response, outcome):
    async def run(h):
        r = Reuse(h, response)
        r.send_here("b")
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
    r = Reuse(h, answer(503))
    call = r.send("b", is_repeatable=False)
    assert call.connection is not r.connection
    rest(r.connection, COPY_WINDOW_S)
    call = r.send("c", is_repeatable=False)
    assert call.connection is r.connection
    r.theirs.close()


@pytest.mark.parametrize("is_unsolicited", [False, True])
def test_where_a_copy_was_seen_all_messages_go_where_none_is_to_be_expected(is_unsolicited):
    async def run(h):
        r = Reuse(h, answer(503))
        call, theirs = h.call("b")
        call.connection.address = h.server.getsockname()
        h.told(call, theirs, answer(503))
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
    r = Reuse(h, answer(503))
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


@pytest.mark.parametrize(("is_success", "is_gone"), [(True, False), (False, True), (False, False)])
def test_a_connection_rests_for_as_long_as_copies_are_to_be_expected(is_success, is_gone):
    ledger, late_s = ResponseLedger(), 10.0 + COPY_WINDOW_S - 0.01
    assert ledger.has_rested(10.0) and ledger.has_rested_from_completions(10.0)
    response = ReceivedResponse(10.0, is_distinctive=False, is_success=is_success, is_gone=is_gone)
    ledger.response_completed(1, response)
    assert not ledger.has_rested(late_s) and ledger.has_rested(10.0 + COPY_WINDOW_S)
    assert ledger.has_rested_from_completions(late_s) != (is_success or is_gone)
    assert ledger.has_rested_from_gone(late_s) != is_gone
    assert ledger.doubts_success(late_s) == is_success
    assert ledger.has_rested_from_completions(10.0 + COPY_WINDOW_S)


@pytest.mark.parametrize(
    "version", ["with times alone", "without times of successes", "without times of 410s", "this one"]
)
def test_another_process_expects_copies_as_long_as_this_one_does(version):
    ledger, other = ResponseLedger(), ResponseLedger()
    gone = ReceivedResponse(9.0, is_distinctive=False, is_success=False, is_gone=True)
    ledger.response_completed(2, gone)
    ledger.response_completed(1, ReceivedResponse(10.0, is_distinctive=False, is_success=True))
    state = ledger.state()
    if version != "this one":
        del state["gone"]
    if version in ("with times alone", "without times of successes"):
        del state["successes"]
    if version == "with times alone":
        state["responses"] = []
        state["times"] = [None, 10.0 + COPY_WINDOW_S]  # a response was in doubt until then
    other.adopt(state)
    late_s = 10.0 + COPY_WINDOW_S - 0.01
    assert other.doubts_success(late_s) and not other.doubts_success(10.0 + COPY_WINDOW_S)
    assert other.has_rested_from_gone(late_s) == (version == "this one")
    assert other.origin(1, late_s) is Origin.UNKNOWN
    assert other.origin(1, 10.0 + COPY_WINDOW_S) is Origin.OWN


@held
async def test_a_response_that_differs_from_the_one_before_is_no_copy(h):
    r = Reuse(h, answer(504))
    r.send("b")
    r.respond(answer(503))
    assert h.outcomes == [c.Outcome(AttemptResult.OVERLOADED)] and not r.connection.closed
    r.send("c")
    r.respond(answer(200, b"c"))
    assert h.outcomes == [DELIVERED]
    r.theirs.close()


class DistinctContents(Reuse):
    """A connection to an endpoint whose 200s all differ."""

    def __init__(self, h):
        h.calls.pools[1].contents.checksums.extend(range(CHECKSUMS_MIN))
        super().__init__(h, answer(200, b"a"))


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
    r = Reuse(h, answer(503))
    contents = h.calls.pools[1].contents
    known = list(contents.checksums)
    r.send("b", "c")
    r.respond(answer(200, b'[{"id":"b","state":"done"},{"id":"c","state":"done"}]'))
    assert h.outcomes == [DELIVERED, DELIVERED] and list(contents.checksums) == known
    assert r.send("d").connection is r.connection  # its copy would name b and c
    r.theirs.close()


@held
async def test_a_copy_of_a_bundles_response_is_none_to_a_single_message(h):
    response = answer(200, b'[{"id":"b","state":"done"},{"id":"c","state":"done"}]')
    r = Reuse(h, answer(503))
    r.send("b", "c")
    r.respond(response)
    assert h.outcomes == [DELIVERED, DELIVERED]
    call = r.send("d")
    r.respond(response)
    assert h.outcomes == [] and call in h.calls.out
    r.theirs.close()


@held
async def test_a_bundles_doubtful_response_ends_the_messages_that_it_names_void(h):
    r = Reuse(h, answer(503))
    r.send("b", "c")
    r.connection.ledger.contents.forgotten_at_s = h.calls.loop.time()
    r.respond(answer(200, b'[{"id":"b","state":"void"},{"id":"c","state":"busy"}]'))
    assert h.outcomes == [
        c.Outcome(AttemptResult.NOT_SENT, over=True),
        c.Outcome(AttemptResult.OVERLOADED, may_have_run=True),
    ]
    r.theirs.close()


@held
async def test_a_bundle_that_was_not_all_done_may_get_an_equal_response_again(h):
    response = answer(200, b'[{"id":"b","state":"done"},{"id":"c","state":"busy"}]')
    r = Reuse(h, answer(503))
    r.send("b", "c")
    r.respond(response)
    assert [outcome.result for outcome in h.outcomes] == [AttemptResult.OK, AttemptResult.OVERLOADED]
    rest(r.connection, COPY_WINDOW_S)
    r.send("b", "c")
    r.respond(response)
    assert [outcome.may_have_run for outcome in h.outcomes] == [False, False]
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
        contents.add(n, ReceivedResponse(n / 1e3, is_distinctive=False, is_success=True))
    assert contents.origin(RESPONSES_KEPT_MAX, 0.2) is Origin.UNKNOWN
    assert contents.origin(999, 0.2) is Origin.UNKNOWN
    assert contents.origin(999, COPY_WINDOW_S) is Origin.OWN


def test_of_older_responses_only_some_are_kept():
    contents = ConnectionContents()
    for n in range(3 * RESPONSES_KEPT):
        contents.add(n, ReceivedResponse(n * COPY_WINDOW_S, is_distinctive=True, is_success=True))
    assert len(contents.responses) == RESPONSES_KEPT
    assert contents.origin(3 * RESPONSES_KEPT - 1, 99.0) is Origin.COPY


@held
async def test_equal_refusals_of_an_overloaded_endpoint_are_no_copies_that_were_seen(h):
    r = Reuse(h, answer(503))
    r.send("b")
    r.respond(answer(503))
    assert not h.calls.pools[1].is_copy_seen(asyncio.get_running_loop().time())
    r.theirs.close()
