"""Calls to endpoints: single, bundled and probes, over bounded keep-alive pools."""

from __future__ import annotations

import asyncio
import base64
import functools
import json
import logging
import math
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from madderbeam.policy.events import AttemptResult
from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.http import LOCAL_ERRORS, Connection, Exchange, do_nothing, headers_of
from madderbeam.transport.response_content import (
    ContentComparisons,
    EndpointContents,
    Origin,
    ReceivedResponse,
    head_checksum,
)
from madderbeam.transport.response_ledger import UNSOLICITED_LOGGED_BYTES, ResponseCounters
from madderbeam.transport.response_outcomes import (
    GONE,
    KNOWN_STATUSES,
    Outcome,
    bundle_outcomes,
    load_report,
    retry_after_us,
    single_outcome,
    without_proof,
)

IDLE_SHARE = 0.75  # idle connections are closed at this share of the time at which the endpoint would
IDLE_EACH = 8  # idle connections kept to one endpoint
TAIL_S = 0.5  # an answer that has begun must be whole within this: one that can't end would hold its slot
MAX_ANSWER = 64 * 1024  # bytes of its body, as the protocol has it
SLOW_S = 0.02  # from a call's choice to its first byte; a wait that was told binds 100 ms later
COPIES_REMEMBERED_S = 30.0  # behind the last copy seen at an endpoint
log = logging.getLogger(__name__)


@dataclass
class Item:
    """One message's part in a call."""

    number: int
    attempt: int
    id: str
    key: str
    body: bytes
    timeout_us: int
    fresh_timeout_us: int = 0  # on a new connection, 0: the same
    fresh: bool = False  # only a new connection will do; then: it is on one
    begun: bool = False  # its first byte may have been written
    is_repeatable: bool = True  # else it goes only where no copy of an earlier response is to be expected
    ended: bool = False


@dataclass
class Hooks:
    """What the calls ask of and tell the host."""

    may_write: Callable[[int], bool]  # the endpoint neither drains nor is there a wait
    # An attempt is about to be written: the callable is told when it may be, or that it must not.
    begin: Callable[[int, list[Item], Callable[[bool], None]], None]
    ended: Callable[[Item, int, Outcome, int], None]  # item, endpoint, outcome, latency in us
    told_wait: Callable[[int, int], None]  # endpoint, us: at once, before any outcome
    probed: Callable[[int, AttemptResult, int], None]
    # Its attempt had ended by its time-out; now it is known to be over.
    late: Callable[[Item, Outcome], None]
    told_load: Callable[[int, dict[str, float]], None] = lambda endpoint, load: None  # a report came
    waited: Callable[[int], bool] = lambda endpoint: False  # a told wait runs there
    forwarded: Callable[[int], None] = lambda messages: None  # so many were written whole
    # Seconds from now within which the last byte of these has to be written, 0 or less: they are too late.
    write_s: Callable[[list[Item]], float] = lambda items: math.inf


class Places(Protocol):
    """What stands over the connections to endpoints, where couriers share them."""

    longest_s: float  # no call there lasts longer

    def most(self, endpoint: int) -> int | None:
        """So many may be open there now, a probe's among them; None: it is not shared."""
        ...


@dataclass
class Pool:
    """The connections to an endpoint, as long as it stays where it is."""

    address: Address
    topic: str = ""  # of a Kafka partner
    dest: int = 0
    idle: list[Connection] = field(default_factory=list)  # the most recently used last
    timers: dict[Connection, asyncio.TimerHandle] = field(default_factory=dict)
    strange: bool = False  # an answer from there could not be read, which was told
    contents: EndpointContents = field(default_factory=EndpointContents)
    copy_seen_at_s: float = -math.inf  # on the event loop's clock

    def is_copy_seen(self, now_s: float) -> bool:
        """Whether a copy of a response was seen there lately."""
        return now_s - self.copy_seen_at_s < COPIES_REMEMBERED_S


class Call(Exchange):
    """One call in flight, until each of its items has ended."""

    def __init__(self, calls: Calls, endpoint: int, items: list[Item], path: str = "") -> None:
        self.calls, self.endpoint, self.items = calls, endpoint, items
        self.pool = calls.pools.get(endpoint)  # where the endpoint was as it was chosen
        self.path = path  # of a probe
        self.started = calls.loop.time()
        self.status, self.body, self.received = 0, bytearray(), 0
        self.headers: dict[str, str] = {}
        self.connection: Connection | None = None
        self.timers: list[asyncio.TimerHandle] = []
        self.deadline = self.started
        self.bundled = len(items) > 1
        self.write_by = math.inf  # the loop's time at which its last byte has to be written
        self.sent = False  # its last byte was written: only then may it have run
        self.is_rejected_unwritten = False  # a response came ahead of it: no byte of it was written
        self.is_doubtful = False  # its response may be a copy of an earlier one
        self.is_partial = False  # a first part of its response came alone
        self.is_success = False  # the first line said so, of a single message
        self.is_success_in_doubt = False  # that may be a copy's first line: the whole response tells
        self.is_delivered = False
        self.checksum = 0  # of its response
        self.is_distinctive = False  # a later response that is equal is a copy of this one
        self.is_complete = False  # its response
        self.ignored_checksum = 0  # of a response that was taken for a copy

    @property
    def latency_us(self) -> int:
        return int((self.calls.loop.time() - self.started) * 1e6)

    @property
    def is_repeatable(self) -> bool:
        """Whether it does no harm if its response turns out to be another request's."""
        return bool(self.items) and all(item.is_repeatable for item in self.items)

    @property
    def open(self) -> bool:
        return any(not i.ended for i in self.items)

    def timer(self, delay: float, action: Callable[[], None]) -> None:
        self.timers.append(self.calls.loop.call_later(max(0.0, delay), action))

    @property
    def wanted(self) -> bool:
        """A message that has ended, or been given up in this call, must not go out with the others."""
        return all(not item.ended for item in self.items) and self.calls.hooks.write_s(self.items) > 0

    @property
    def bundle(self) -> bool:
        return self.bundled

    def held_back(self) -> bool:
        self.calls.catch_up(self)
        if not self.calls.hooks.waited(self.endpoint):  # a drain counts from its first byte: it goes on
            return False
        if self.path:
            self.calls.probe_ended(self, AttemptResult.NOT_SENT)
        self.abandon()
        self.finish_all(Outcome(AttemptResult.NOT_SENT))
        return True

    def written_whole(self) -> None:
        self.sent = True
        self.calls.hooks.forwarded(len(self.items))

    def begun(self) -> None:
        self.is_partial = True
        self.timer(TAIL_S, self.drop)
        self._deliver_early()

    def first_line(self, status: int) -> None:
        self.status = status
        self.is_success = status == 200 and not self.path and not self.bundle
        if self.is_partial:
            self._deliver_early()

    def _deliver_early(self) -> None:
        """Deliver a single message: 200 in the first line is true whatever follows, if it is no copy's."""
        if not self.is_success or self.is_delivered:
            return
        self.is_success_in_doubt = self.calls.doubts_success(self)
        if not self.is_success_in_doubt:
            self._deliver()

    def _deliver(self) -> None:
        self.is_delivered = True
        self.finish_all(Outcome(AttemptResult.OK, over=True))

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers
        self.checksum = head_checksum(status, headers)
        self._heed_wait(headers)
        if load := load_report(headers):
            self.calls.hooks.told_load(self.endpoint, load)

    def _heed_wait(self, headers: dict[str, str]) -> None:
        """A wait binds whichever request it was told to."""
        if wait := retry_after_us(headers):
            self.calls.hooks.told_wait(self.endpoint, wait)

    def data(self, data: bytes) -> None:
        self.received += len(data)
        self.checksum = zlib.crc32(data, self.checksum)
        if self.bundle and self.received <= MAX_ANSWER:
            self.body += data
        elif self.received > MAX_ANSWER and self.connection is not None:
            self.calls.loop.call_soon(self.drop)  # it may say 3 GB and keep coming
            self.connection.abort()

    def end(self, noise: bool) -> None:
        """Whole and well formed: only now does an answer prove that the call never ran, or that it is over.
        Behind a length that is too short the rest of the answer looks like noise, so with that it is none."""
        self.is_complete = True
        if self.connection is not None and self.connection.has_trailing_data:
            self._heed_wait(self.connection.trailing_headers)
        origin = self.calls.origin(self)
        if origin is Origin.COPY:
            self._ignore_copy()
            return
        self.is_doubtful = origin is Origin.UNKNOWN
        if self.is_success and self.pool is not None:
            self.is_distinctive = self.pool.contents.add(self.checksum)
        if self.is_doubtful:
            self.calls.distrust(self)
        elif self.is_success and not self.is_delivered:
            self._deliver()
        if self.status not in KNOWN_STATUSES and self.connection is not None:
            self.connection.abort()  # perhaps an unasked 408: the next call would get the answer of this one
        if self.path:
            self.calls.probe_ended(self, self._probe_result())
        elif self.status == 200 and self.bundle:
            self._end_bundle()
        elif noise:
            self.calls.strange(self.endpoint, self, "is followed by bytes that are no response")
            self.finish_all(Outcome(AttemptResult.ERROR, wait_us=retry_after_us(self.headers), spoilt=True))
        elif self.open:
            self.finish_all(self._outcome())
        self.calls.release(self)

    def _outcome(self) -> Outcome:
        outcome = single_outcome(self.status, self.headers)
        if not self.sent and outcome.over:  # a call begins with its last byte: no endpoint knows its message
            return Outcome(AttemptResult.NOT_SENT, wait_us=outcome.wait_us)
        return without_proof(outcome) if self.is_doubtful else outcome

    def _may_be_over(self, outcome: Outcome) -> bool:
        """Whether the response calls the message over, and does not prove it.

        One that may be a copy may have come ahead of the request's own.
        """
        if outcome.over or self.is_rejected_unwritten:
            return False
        is_followed_by_gone = self.connection is not None and self.connection.trailing_status == GONE
        return self.status == GONE or (self.is_doubtful and is_followed_by_gone)

    def _probe_result(self) -> AttemptResult:
        if self.status != 200:
            return AttemptResult.OVERLOADED
        return AttemptResult.RESET if self.is_doubtful else AttemptResult.OK

    def _ignore_copy(self) -> None:
        """Wait on for the request's own response, if more than this one can be read."""
        self.calls.counters.copies += 1
        self.ignored_checksum = self.checksum
        if self.pool is not None:
            self.pool.copy_seen_at_s = self.calls.loop.time()
        self.calls.report_copy(self, "is a copy of an earlier one")
        connection = self.connection
        if connection is not None and not connection.closed and not self.is_delivered:
            self.status, self.headers, self.received = 0, {}, 0
            self.body.clear()
            self.is_partial = self.is_success = self.is_complete = False
            connection.read_another(self)
            return
        self.is_doubtful = True
        self.calls.abort(self)
        if self.path:
            self.calls.probe_ended(self, AttemptResult.RESET)
        self.finish_all(Outcome(AttemptResult.RESET))
        self.calls.release(self)

    def _end_bundle(self) -> None:
        """The response names each message, and one that it leaves out may have run."""
        wait = retry_after_us(self.headers)
        ends = bundle_outcomes(bytes(self.body), wait)
        if any(item.id not in ends for item in self.items):
            self.calls.counters.mismatched += bool(ends)
            self.calls.strange(self.endpoint, self, f"names {','.join(ends) or 'no message'}")
            self.calls.abort(self)
        missing = Outcome(AttemptResult.ERROR, wait_us=wait, spoilt=True)
        outcomes = [ends.get(item.id, missing) for item in self.items]
        all_done = all(outcome.result is AttemptResult.OK for outcome in outcomes)
        self.is_distinctive = all_done  # no later request names these messages
        for item, outcome in zip(self.items, outcomes, strict=True):
            # One that names the message done or void is no copy: the message would have ended with the first.
            is_proven = outcome.over or not self.is_doubtful
            self.finish(item, outcome if is_proven else without_proof(outcome))

    def spoilt(self) -> None:
        """A failed attempt that may have run."""
        self._deliver_early()
        self.calls.strange(self.endpoint, self, "is malformed or incomplete")
        if self.path:
            self.calls.probe_ended(self, AttemptResult.ERROR)
        self.finish_all(Outcome(AttemptResult.ERROR, wait_us=retry_after_us(self.headers), spoilt=True))
        self.calls.release(self)

    def drop(self) -> None:
        """Give up what has begun to answer: its answer can't be read."""
        self.look()
        if self in self.calls.out:
            if self.connection is not None:
                self.connection.abort()
            if self.sent:
                self.spoilt()
            else:
                self.lost(False)

    def lost(self, written: bool) -> None:
        if self.path:
            self.calls.probe_ended(self, AttemptResult.RESET)
        self.finish_all(Outcome(AttemptResult.RESET if written else AttemptResult.CONNECT_FAILED))
        self.calls.release(self)

    def timed_out(self) -> None:
        """The courier stops waiting: the connection goes too, or a late answer would meet the next call."""
        if self.path:
            self.calls.probe_ended(self, AttemptResult.TIMEOUT)
        if self.ignored_checksum and self.pool is not None:
            self.pool.contents.add(self.ignored_checksum)  # no other came: it may have been its own
        outcome = Outcome(AttemptResult.TIMEOUT if self.sent else AttemptResult.CONNECT_FAILED)
        self.abandon()
        self.finish_all(outcome)

    def look(self) -> None:
        """An answer may come in the very instant in which it is given up; a wait that it tells binds."""
        if self.connection is not None:
            self.connection.look()

    def overdue(self) -> None:
        """Its last byte may not be written any more."""
        if not self.sent:
            self.timed_out()

    def abandon(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self.calls.release(self)

    def finish_all(self, outcome: Outcome) -> None:
        for item in self.items:
            self.finish(item, outcome)

    def finish(self, item: Item, outcome: Outcome) -> None:
        if outcome.result is not AttemptResult.OK:
            outcome = replace(outcome, status=self.status, may_be_over=self._may_be_over(outcome))
        if not item.ended:
            item.ended = True
            self._count_gone(outcome)
            self.calls.hooks.ended(item, self.endpoint, outcome, self.latency_us)
        elif outcome.over:  # of a bundle, whose others were still waited for
            self.calls.hooks.late(item, outcome)

    def _count_gone(self, outcome: Outcome) -> None:
        if outcome.over and outcome.result is AttemptResult.NOT_SENT:
            self.calls.counters.gone += 1
        elif self.status == GONE:
            self.calls.counters.gone_doubtful += 1


class Calls:
    """The calls out and the connections to all endpoints."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        hooks: Hooks,
        idle_us: int,
        connect_us: int,
        max_idle: int,
    ) -> None:
        self.loop, self.network, self.hooks = loop, network, hooks
        self.idle_s, self.connect_s, self.max_idle = idle_us * IDLE_SHARE / 1e6, connect_us / 1e6, max_idle
        self.pools: dict[int, Pool] = {}
        self.out: dict[Call, None] = {}  # in the order in which they began
        self.idle = 0  # connections, of all pools
        self.caught_up = 0.0  # the loop's time at which all unread answers were last read
        self.opened = self.reused = 0
        self.places: Places | None = None
        self.busy: Counter[int] = Counter()  # calls out by endpoint, where places are shared
        self.counters = ResponseCounters()
        self.comparisons = ContentComparisons()

    def place(self, endpoint: int, address: Address, topic: str = "", dest: int = 0) -> None:
        """Where the endpoint is; one that moved gets new connections, and nothing that was meant for it where
        it was. `topic`: it is a Kafka partner's node."""
        pool = self.pools.get(endpoint)
        if pool is None or (pool.address, pool.topic, pool.dest) != (address, topic, dest):
            self.close_idle(endpoint)
            contents = EndpointContents(self.comparisons)
            self.pools[endpoint] = Pool(address, topic, dest, contents=contents)

    def forget(self, endpoint: int) -> None:
        self.close_idle(endpoint)
        self.pools.pop(endpoint, None)

    def strange(self, endpoint: int, call: Call, what: str) -> None:
        """An answer from there could not be read: warned of once, however many follow; each one is logged."""
        self.counters.unreadable += 1
        ids = ",".join(item.id for item in call.items) or "a probe"
        history = call.connection.ledger.describe(self.loop.time()) if call.connection else "no connection"
        log.info(
            "endpoint %d: the response to %s (status %d) %s; %s", endpoint, ids, call.status, what, history
        )
        pool = self.pools.get(endpoint)
        if pool is not None and not pool.strange:
            pool.strange = True
            log.warning("endpoint %d: an answer that can't be read; told once", endpoint)

    def close_idle(self, endpoint: int) -> None:
        if pool := self.pools.get(endpoint):
            for connection in list(pool.idle):
                self._close_free(endpoint, self._taken(pool, connection))

    def _close_free(self, endpoint: int, connection: Connection) -> None:
        """Close a connection that is in no pool."""
        connection.close()
        self._closed_idle(endpoint, connection)

    # Places that couriers share

    def connections(self, endpoint: int) -> int:
        """Open there now, or about to be."""
        pool = self.pools.get(endpoint)
        return self.busy[endpoint] + (len(pool.idle) if pool else 0)

    def trim(self, endpoint: int, more: int = 0) -> bool:
        """Closes idle connections over what may be open; whether no more than that are, with so many more.
        A call that is out goes on in any case."""
        most = self.places.most(endpoint) if self.places is not None else None
        if most is None:
            return True
        pool = self.pools.get(endpoint)
        for connection in list(pool.idle) if pool else ():
            if self.connections(endpoint) + more <= most:
                break
            connection.close()
        return self.connections(endpoint) + more <= most

    def close(self) -> None:
        for endpoint in list(self.pools):
            self.close_idle(endpoint)
        for call in list(self.out):
            if call.connection is not None:
                call.connection.close()  # not reset: the process that goes on with it may hold it too
            self.release(call)

    def look(self) -> bool:
        """Read what has come by now of answers, before connections are closed; whether a call is over."""
        out = len(self.out)
        for call in list(self.out):
            if call.connection is not None:
                call.connection.look()
        return len(self.out) < out

    def give_up_unsent(self) -> list[Item]:
        """Let go of the calls whose last byte is not written, which have never run: what had begun of them.
        Nobody is told, since nothing more is decided."""
        unsent = [call for call in self.out if not call.sent]
        for call in unsent:
            call.abandon()
        return [item for call in unsent for item in call.items if item.begun and not item.ended]

    def spare(self) -> bool:
        """Close an idle connection, of the fullest pool; whether there was one."""
        pools = [pool for pool in self.pools.values() if pool.idle]
        if pools:
            max(pools, key=lambda pool: len(pool.idle)).idle[0].close()
        return bool(pools)

    # Starting

    def send(self, endpoint: int, items: list[Item]) -> None:
        """One call with these messages; each item's end is told once."""
        self._start(Call(self, endpoint, items))

    def _wait(self, call: Call, fresh: bool) -> None:
        """Start the time-outs, which go by the connection that the call is on."""
        for item in call.items:
            item.fresh = fresh
            patience = ((fresh and item.fresh_timeout_us) or item.timeout_us) / 1e6
            if self.places is not None and self.places.most(call.endpoint) is not None:
                patience = min(patience, self.places.longest_s)
            call.deadline = max(call.deadline, call.started + patience)
            # Items of a bundle share its fate: one that ended sooner could be tried again while its first
            # copy is still out. The host cuts each time-out to its message's deadline.
            call.timer(call.started + patience - self.loop.time(), functools.partial(self._late, call, item))

    def probe(self, endpoint: int, path: str = "/alive") -> None:
        call = Call(self, endpoint, [], path)
        call.timer(self.connect_s, functools.partial(self._late, call))
        self._start(call)

    def cancel(self, number: int, attempt: int) -> None:
        """Stop waiting for a single call; one in a bundle goes on with it."""
        for call in list(self.out):
            item = call.items[0] if len(call.items) == 1 else None
            if item and item.number == number and item.attempt == attempt and not item.ended:
                call.look()
                if not item.ended:
                    outcome = Outcome(AttemptResult.CANCELLED if call.sent else AttemptResult.NOT_SENT)
                    call.abandon()
                    call.finish(item, outcome)

    def _late(self, call: Call, item: Item | None = None) -> None:
        """The time of this message, or of the probe, is up."""
        if item is None or not item.ended:
            call.look()
        if call not in self.out or (item is not None and item.ended):
            return
        if item is None or sum(not i.ended for i in call.items) == 1:
            call.timed_out()
        else:
            call.finish(item, Outcome(AttemptResult.TIMEOUT if item.begun else AttemptResult.CONNECT_FAILED))

    def _start(self, call: Call) -> None:
        pool = call.pool
        if pool is None:
            self._unsent(call, AttemptResult.NOT_SENT)
            return
        self._goes_out(call)
        kept = self._take_idle(pool, call)
        if self.places is not None and not self.trim(call.endpoint):
            self._unsent(call, AttemptResult.NOT_SENT)
            if kept is not None:
                self._keep(call.endpoint, kept)
            return
        if kept is not None:
            self.reused += 1
            self._wait(call, fresh=False)
            self._write(call, kept)
            return
        self._wait(call, fresh=True)
        try:
            connection = self._connection(pool)
        except OSError as error:
            log.error("no socket for a call: %s", error)
            self._unsent(call, AttemptResult.NOT_SENT)
            return
        self.opened += 1
        self._set_up(call, connection)
        try:
            connection.connect(lambda error: self._connected(call, connection, error))
        except OSError as error:
            connection.close()
            self._unsent(
                call, AttemptResult.NOT_SENT if error.errno in LOCAL_ERRORS else AttemptResult.CONNECT_FAILED
            )

    def _take_idle(self, pool: Pool, call: Call) -> Connection | None:
        """Take the idle connection that will do for this call.

        It is the newest one on which no copy is to be expected that could be taken for the end of its
        message, and, for messages that may not be repeated, probes, and all while copies are seen there, for
        a refusal either. Where successes are expected to differ, a message that may be repeated goes also
        where only the whole response will tell.
        """
        if any(item.fresh for item in call.items):
            return None
        now, fallback = self.loop.time(), None
        may_meet_refusals = call.is_repeatable and not pool.is_copy_seen(now)
        may_meet_successes = may_meet_refusals and pool.contents.is_expected_to_differ
        for connection in reversed(list(pool.idle)):
            connection.look()  # it closes, and leaves the pool, if anything has come
            if connection.closed:
                continue
            ledger = connection.ledger
            rested = ledger.has_rested_from_completions if may_meet_refusals else ledger.has_rested
            if connection.names_requests or rested(now):
                return self._taken(pool, connection)
            if fallback is None and may_meet_successes and ledger.has_rested_from_gone(now):
                fallback = connection
        return self._taken(pool, fallback) if fallback is not None else None

    def _taken(self, pool: Pool, connection: Connection) -> Connection:
        pool.idle.remove(connection)
        pool.timers.pop(connection).cancel()
        self.idle -= 1
        connection.on_close = do_nothing
        return connection

    def _connection(self, pool: Pool) -> Connection:
        """A new one; OSError if there is no socket for it."""
        if not pool.topic:
            return Connection(self.loop, self.network, pool.address)
        from madderbeam.transport.kafka.partner import KafkaConnection  # loaded only where one is met

        made: Any = KafkaConnection(
            self.loop,
            self.network,
            pool.address,
            pool.topic,
            lambda address: self._is_node(pool.topic, address),
        )
        return made

    def _is_node(self, topic: str, address: Address) -> bool:
        """Whether a cluster's node that its metadata names is listed, and neither drains nor is out."""
        known = [n for n, p in self.pools.items() if (p.address, p.topic) == (address, topic)]
        return bool(known) and all(map(self.hooks.may_write, known))

    def _set_up(self, call: Call, connection: Connection) -> None:
        call.connection = connection
        call.timer(
            call.started + self.connect_s - self.loop.time(),
            lambda: call.timed_out() if connection.exchange is None and not call.status else None,
        )

    # From one process to the next

    @property
    def unsettled(self) -> list[Call]:
        """Calls that can't be passed on as they are: in the middle of a response or of a record."""
        return [
            call for call in self.out if not call.open or call.connection is None or call.connection.midway
        ]

    def state(self, call: Call) -> dict[str, Any]:
        """All that another process needs to go on with it."""
        assert call.connection is not None
        items = [
            [
                n.number,
                n.attempt,
                n.id,
                n.key,
                n.body if not n.begun else b"",
                n.timeout_us,
                n.fresh_timeout_us,
                n.fresh,
                n.begun,
                n.is_repeatable,
            ]
            for n in call.items
            if not n.ended
        ]
        return {
            "endpoint": call.endpoint,
            "items": items,
            "started": call.started,
            "deadline": call.deadline,
            "address": list(call.connection.address),
            "placed": self.pools.get(call.endpoint) is call.pool,
            "bundle": len(call.items),
            "rest": call.connection.rest,
            "connected": call.connection.connected,
            "write_by": call.write_by if call.write_by < math.inf else None,
            "ledger": call.connection.ledger.state(),
        }

    def adopt(self, sock: Socket, state: dict[str, Any]) -> None:
        """Go on with a call of another process."""
        items = [Item(*fields) for fields in state["items"]]
        call = Call(self, state["endpoint"], items)
        call.started, call.deadline = state["started"], state["deadline"]
        call.bundled = state["bundle"] > 1
        if not state.get("placed", True):
            call.pool = None  # the endpoint is elsewhere by now
        call.write_by = state.get("write_by") or math.inf
        connection = Connection(self.loop, self.network, (state["address"][0], state["address"][1]), sock)
        connection.ledger.adopt(state.get("ledger"))
        self._goes_out(call)
        self._wait(call, fresh=items[0].fresh)
        if state["connected"]:
            call.connection = connection
            call.sent = not state["rest"]
            connection.resume(state["rest"], call)
            self._bound(call)
        else:
            self._set_up(call, connection)
            connection.connecting(lambda error: self._connected(call, connection, error))

    def _connected(self, call: Call, connection: Connection, error: OSError | None) -> None:
        if error is None:
            self._write(call, connection)
            return
        self._unsent(
            call, AttemptResult.NOT_SENT if error.errno in LOCAL_ERRORS else AttemptResult.CONNECT_FAILED
        )

    def _write(self, call: Call, connection: Connection) -> None:
        call.connection = connection
        items = [i for i in call.items if not i.ended]
        call.items, call.bundled = items, len(items) > 1
        if (not items and not call.path) or not self._may_write(call):
            self._unsent(call, AttemptResult.NOT_SENT)
            self._keep(call.endpoint, connection)
            return
        if items:
            self.hooks.begin(call.endpoint, items, lambda may: self._recorded(call, connection, may))
        else:
            self._begun(call, connection, True)

    def _may_write(self, call: Call) -> bool:
        """By what was learnt since it was chosen: the endpoint may have moved, or serve others now."""
        return self.pools.get(call.endpoint) is call.pool and self.hooks.may_write(call.endpoint)

    def _recorded(self, call: Call, connection: Connection, may: bool) -> None:
        """Its record is written."""
        self.catch_up(call)
        self._begun(call, connection, may)

    def catch_up(self, call: Call) -> None:
        """Where its connection, its record or its body took time, answers that stand unread by now are read
        first: a wait that one of them tells holds for this call too. Once in SLOW_S, however many come up."""
        if self.loop.time() - max(call.started, self.caught_up) > SLOW_S:
            self.caught_up = self.loop.time()
            for other in list(self.out):
                if other is not call:
                    other.look()

    def _begun(self, call: Call, connection: Connection, may: bool) -> None:
        if call not in self.out:  # given up while its record was written, and its connection with it
            return
        items = call.items
        # The record may have been written slowly: what held before it is looked at again.
        call.write_by = self.loop.time() + (self.hooks.write_s(items) if may and items else math.inf)
        if not may or call.write_by <= self.loop.time() or not self._may_write(call):
            self._unsent(call, AttemptResult.NOT_SENT)
            self._keep(call.endpoint, connection)
            return
        fresh = all(item.fresh for item in items)  # such a one may be turned away before it is asked
        if not fresh:
            connection.look()  # it closes if the endpoint has closed it or sent anything
        is_rejected_early = connection.stale()
        if is_rejected_early and (not fresh or connection.ended()):  # what is not written has never run
            connection.close()
            self._closed_idle(call.endpoint, connection)
            self._unsent(call, AttemptResult.CONNECT_FAILED if fresh else AttemptResult.NOT_SENT)
            return
        for item in items:
            item.begun = True
        connection.ledger.request_started(tuple(item.id for item in items))
        if is_rejected_early:
            call.is_rejected_unwritten = True
            connection.read_rejection(call)
        elif call.path:
            connection.request("GET", call.path, [], b"", call)
        elif len(items) == 1:
            connection.request("POST", "/events", self._headers(call, items[0]), items[0].body, call)
        else:
            body = json.dumps([self._row(i) for i in items], separators=(",", ":")).encode()
            headers = [self._patience(call), ("Content-Type", "application/json")]
            connection.request("POST", "/events/bundle", headers, body, call)
        self._bound(call)

    def _bound(self, call: Call) -> None:
        """Give up a call whose last byte is still not written when it has to be."""
        if call.write_by < math.inf and call in self.out and not call.sent:
            call.timer(call.write_by - self.loop.time(), call.overdue)

    def _patience(self, call: Call) -> tuple[str, str]:
        left = max(1, int((call.deadline - self.loop.time()) * 1e3))
        return "X-Timeout-Ms", str(left)

    def _headers(self, call: Call, item: Item) -> list[tuple[str, str]]:
        headers = [("X-Request-ID", item.id), self._patience(call)]
        if item.key:
            headers.append(("Idempotency-Key", item.key))
        return headers

    @staticmethod
    def _row(item: Item) -> dict[str, Any]:
        row = {"id": item.id, "body": base64.b64encode(item.body).decode()}
        if item.key:
            row["key"] = item.key
        return row

    # Ending

    def _unsent(self, call: Call, result: AttemptResult) -> None:
        self._drop(call)
        if call.path:
            self.probe_ended(call, result)
        call.finish_all(Outcome(result))

    def probe_ended(self, call: Call, result: AttemptResult) -> None:
        if call.path:
            call.path, latency = "", call.latency_us
            self.hooks.probed(call.endpoint, result, latency)

    def _goes_out(self, call: Call) -> None:
        self.out[call] = None
        if self.places is not None:
            self.busy[call.endpoint] += 1

    def _drop(self, call: Call) -> None:
        if call in self.out:
            del self.out[call]
            if self.places is not None:
                self.busy[call.endpoint] -= 1
        for timer in call.timers:
            timer.cancel()

    def release(self, call: Call) -> None:
        """The call is over; its connection, if still good, becomes idle."""
        if call not in self.out:
            return
        self._drop(call)
        connection = call.connection
        if connection is None:
            return
        self._count_response(call)
        response = ReceivedResponse(
            self.loop.time(), call.is_distinctive, is_success=call.status == 200, is_gone=call.status == GONE
        )
        connection.ledger.response_completed(call.checksum, response)
        if not connection.closed:
            self._keep(call.endpoint, connection)
        elif call.is_complete and not call.is_doubtful and not connection.has_trailing_data:
            self._closed_idle(call.endpoint, connection)

    def _count_response(self, call: Call) -> None:
        self.counters.doubtful += call.is_doubtful
        if call.is_success_in_doubt:
            self.counters.confirmed += call.is_delivered
            self.counters.revoked += not call.is_delivered

    def _keep(self, endpoint: int, connection: Connection) -> None:
        pool = self.pools.get(endpoint)
        if connection.closed:
            return
        if pool is None or not self._has_room(endpoint, pool, connection):
            self._close_free(endpoint, connection)
            return
        pool.idle.append(connection)
        self.idle += 1
        pool.timers[connection] = self.loop.call_later(self.idle_s, connection.close)
        connection.on_close = lambda: self._closed(endpoint, pool, connection)

    def _has_room(self, endpoint: int, pool: Pool, connection: Connection) -> bool:
        """Whether the connection may stay idle there."""
        if pool.address != connection.address or self.idle_s <= 0:
            return False
        if len(pool.idle) >= IDLE_EACH or self.idle >= self.max_idle:
            return False
        return self.places is None or self.trim(endpoint, 1)

    # Responses that may be copies of earlier ones

    def doubts_success(self, call: Call) -> bool:
        """Whether a first line with 200 that is received now may be that of a copy."""
        connection = call.connection
        if connection is None or connection.names_requests:
            return False
        return connection.ledger.doubts_success(self.loop.time())

    def origin(self, call: Call) -> Origin:
        """Judge a complete response by its content."""
        connection = call.connection
        if connection is None or connection.names_requests:
            return Origin.OWN
        return connection.ledger.origin(call.checksum, self.loop.time())

    def distrust(self, call: Call) -> None:
        """A response may be a copy: nothing more is believed on its connection."""
        self.report_copy(call, "may be a copy of an earlier one, no more is sent there")
        self.abort(call)

    def report_copy(self, call: Call, what: str) -> None:
        """Log a response that is a copy, or may be one."""
        ids = ",".join(item.id for item in call.items) or "a probe"
        history = call.connection.ledger.describe(self.loop.time()) if call.connection else "no connection"
        log.info("endpoint %d: response %d to %s %s; %s", call.endpoint, call.status, ids, what, history)

    def abort(self, call: Call) -> None:
        """Reset the connection of a call, so that no later response on it is taken for another request's."""
        if call.connection is not None:
            call.connection.abort()

    def _closed_idle(self, endpoint: int, connection: Connection) -> None:
        if connection.unsolicited:
            self._report_unsolicited(connection)
            if pool := self.pools.get(endpoint):
                pool.copy_seen_at_s = self.loop.time()
            if wait := retry_after_us(headers_of(connection.unsolicited)):
                self.hooks.told_wait(endpoint, wait)

    def _closed(self, endpoint: int, pool: Pool, connection: Connection) -> None:
        if connection in pool.timers:
            self.idle -= 1
            pool.timers.pop(connection).cancel()
            pool.idle.remove(connection)
        self._closed_idle(endpoint, connection)

    def _report_unsolicited(self, connection: Connection) -> None:
        self.counters.unsolicited += 1
        log.warning(
            "endpoint at %s:%d: unsolicited response %r, its connection is closed; %s",
            *connection.address,
            connection.unsolicited[:UNSOLICITED_LOGGED_BYTES],
            connection.ledger.describe(self.loop.time()),
        )
