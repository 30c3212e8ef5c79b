"""Discovery's watch, and the notices of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from madderbeam.ports import Address, Network
from madderbeam.transport.http import Connection, Exchange
from madderbeam.transport.response_content import UNKNOWN_CHECKSUM, ReceivedResponse
from madderbeam.transport.values import Unreadable, Values

# The list's clock. A change counts as told 6 s after discovery had it and could be reached, whatever failed,
# was refused or given up in between. So all waits of a watch are cut to the end of one clock, which runs from
# its last word, and is as long as silence, a turn-away and a call that hangs in a row: 2.7 + 0.9 + 2.1 = 5.7.
CLOCK_S = 5.7  # the rest of the 6 s is for the last call's answer
SILENCE_S = 2.7  # an empty line comes every 2 s: after this the watch is taken for dead
CALL_S = 2.1  # an answer begins at once, or after discovery's queue, of 2 s at most
WORD_S = 2.5  # from there to the first word: a change at once, or an empty line within 2 s
STEP_S = CLOCK_S / 2  # once the clock is over: from one call to the next at most
MOVED_S = 3.7  # the clock of a watch whose discovery has moved: what the new one has counts 4 s later
CONNECT_S = 1.0
AGAIN_S = (0.1, 1.0)  # first and longest ceiling of the wait before the next try
# The same where discovery turned the watch away: all that ask again so keep it busy.
BUSY_S = (0.9, 2.7)
BUSY_FLOOR_S = 0.5
LATE_S = 0.5  # of a call's time that may lack, where what came before it was read late
TIMER_S = 0.01  # a timer may come so much early
NOTICE_AGAIN_S = 0.1  # the longest for notices, which are owed 300 ms after a message's time is up
# A notice is answered at once. Without an answer its connection has fallen silent, and it is sent again on a
# new one: first after this, so that it comes in time all the same, then after twice as long, up to that.
NOTICE_S = (0.08, 1.0)
BATCH = 200  # notices in one request
LINES_KEPT = 64  # of a watch, to know a copy of one
log = logging.getLogger(__name__)


class Backoff:
    """Full jitter below a doubling ceiling, with a floor so that it never spins."""

    def __init__(self, chance: random.Random, longest: float = AGAIN_S[1]) -> None:
        self.chance, self.longest = chance, longest
        self.ceiling = AGAIN_S[0]

    def next(self) -> float:
        wait = self.chance.uniform(self.ceiling / 4, self.ceiling)
        self.ceiling = max(self.ceiling, min(self.longest, self.ceiling * 2))
        return wait

    def busy(self) -> float:
        """The wait of one that was turned away."""
        self.ceiling = max(self.ceiling, BUSY_S[0])
        wait = self.chance.uniform(max(BUSY_FLOOR_S, self.ceiling / 2), self.ceiling)
        self.ceiling = BUSY_S[1]
        return wait

    def reset(self) -> None:
        self.ceiling = AGAIN_S[0]


class Link:
    """A connection to discovery that is opened anew when it is lost."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, address: Address, chance: random.Random
    ) -> None:
        self.loop, self.network, self.address = loop, network, address
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backoff = Backoff(chance)
        self.patience = CONNECT_S  # seconds for a connection to come up
        self.unsolicited = 0  # responses on a connection with no request in flight
        self.stopped = False

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """The one timer: the newest replaces the one before."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, action)

    def open(self) -> None:
        if self.stopped:
            return
        if self.connection is not None:
            self.connection.close()
        try:
            connection = self.connection = Connection(self.loop, self.network, self.address)
            connection.on_close = lambda: self._connection_closed(connection)
            connection.connect(self._connected)
        except OSError as error:
            log.warning("discovery: %s", error)
            self.after(self.backoff.next(), self.open)
            return
        self.after(self.patience, self.open)

    def _connected(self, error: OSError | None) -> None:
        if error is not None:
            self.retry()
        else:
            self.ready()

    def _connection_closed(self, connection: Connection) -> None:
        if connection.unsolicited:
            self.unsolicited += 1
            log.warning(
                "discovery: unsolicited response %r, its connection is closed", connection.unsolicited
            )

    def ready(self) -> None:
        raise NotImplementedError

    def retry(self) -> None:
        if self.connection is not None:
            self.connection.close()
        if not self.stopped:
            self.after(self.backoff.next(), self.open)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now; what was out at the old address is void."""
        self.address = address
        self.backoff.reset()
        if self.connection is not None:
            self.connection.close()

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.close()


class Watch(Link, Exchange):
    """Follows the list of endpoints from the last version on.

    It always waits for one thing alone, never beyond `by`: the end of the clock that runs from its last word,
    and once that is over the time at which the next call has to begin.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        chance: random.Random,
        rev: int,
        told: Callable[[dict[str, Any]], object],
    ) -> None:
        """`told` is called with each change; False: a part of it can't be used, all should be told anew."""
        super().__init__(loop, network, address, chance)
        self.rev, self.told = rev, told
        self.values, self.status = Values(), 0
        self.newest_rev = -1  # of this call's lines
        self.recent_lines: deque[int] = deque(maxlen=LINES_KEPT)  # digests of this call's lines
        self.began = self.by = 0.0  # the newest call, on the loop's clock
        self.clock_end = 0.0
        self.complaint = ""  # the newest, until a list can be read

    def after(self, delay: float, action: Callable[[], None]) -> None:
        super().after(max(0.0, min(delay, self.by - self.loop.time())), action)

    def open(self) -> None:
        self.began = self.loop.time()
        over = self.began > self.clock_end - TIMER_S
        self.by = self.began + STEP_S if over else self.clock_end
        super().open()

    def _clock(self, seconds: float) -> None:
        """What discovery has from now on is to be known by then."""
        self.by = self.clock_end = self.loop.time() + seconds

    def move(self, address: Address) -> None:
        """Follow the list at the new address at once, from the last version on."""
        super().move(address)
        self._clock(MOVED_S)
        self.open()

    def ready(self) -> None:
        assert self.connection is not None
        self.values, self.status = Values(), 0
        self.newest_rev = -1
        self.recent_lines.clear()
        self.after(self.began + CALL_S - self.loop.time(), self.open)
        self.connection.request("GET", f"/discovery/hosts?watch=1&from={self.rev}", [], b"", self)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        if status == 200:
            self.after(WORD_S, self.open)
            return
        log.warning("discovery: watch answered %d", status)
        assert self.connection is not None
        self.connection.close()
        wait, left = self.backoff.busy(), self.clock_end - self.loop.time()
        # A call that the clock's end would cut amid discovery's queue is work for nothing: it begins there.
        self.after(left if wait < left < wait + CALL_S - LATE_S else wait, self.open)

    def data(self, data: bytes) -> None:
        if self.connection is None or self.connection.closed:
            return  # given up amid what was read at once
        try:
            word = not data.strip()  # blanks tell nothing of a value that is coming
            for change in self.values.feed(data):
                if change is not None and not self._change(change):
                    return
                # An empty line or a whole list is a sign of life; a part of one may be the last that comes.
                word = True
                if self.loop.time() > self.began + AGAIN_S[1]:  # one that ends behind each list is not well
                    self.backoff.reset()
                self._clock(CLOCK_S)
                self.after(SILENCE_S, self.open)
            if not word:
                self._part()
        except Unreadable as error:  # those behind it do not count: the version that they lead to is not ours
            self._anew(f"a list that can't be read: {error}")

    def _part(self) -> None:
        """Of a value that may take seconds to come: it has time while more comes, up to the clock's end."""
        if self.by > self.clock_end:  # that is over: one of its own, from this call's begin
            self.by = max(self.by, self.began + CLOCK_S)
        self.after(CALL_S, self.open)

    def _change(self, change: dict[str, Any]) -> bool:
        """Whether it is ours from now on."""
        try:
            rev, targets = int(change["rev"]), change["targets"]
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            raise Unreadable(repr(error)) from None
        if not isinstance(targets, list):
            raise Unreadable("targets is no list")
        if self._is_outdated_copy(rev, change):
            log.info("discovery: version %d came again behind %d, and is ignored", rev, self.newest_rev)
            return True
        if self.told(change) is False:
            self._anew("")
            return False
        self.rev, self.complaint = rev, ""
        self.newest_rev = max(self.newest_rev, rev)
        return True

    def _is_outdated_copy(self, rev: int, change: dict[str, Any]) -> bool:
        """Whether an older line of this call comes again. Versions alone do not tell: they may go back."""
        digest = zlib.crc32(json.dumps(change, sort_keys=True).encode())
        is_copy = digest in self.recent_lines and rev < self.newest_rev
        self.recent_lines.append(digest)
        return is_copy

    def _anew(self, complaint: str) -> None:
        """What it said is lost: ask for all. The log hears of the same once."""
        if complaint and complaint != self.complaint:
            log.error("discovery: %s", complaint)
            self.complaint = complaint
        self.rev = 0
        self.retry()

    def end(self, noise: bool) -> None:
        self.retry()

    def lost(self, written: bool) -> None:
        self.retry()


class Notices(Link, Exchange):
    """Sends finals in batches, again and again until each batch is answered 204."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        address: Address,
        chance: random.Random,
        accepted: Callable[[list[int]], None],
    ) -> None:
        super().__init__(loop, network, address, chance)
        self.backoff = Backoff(chance, NOTICE_AGAIN_S)
        self.patience = NOTICE_S[0]
        self.accepted = accepted
        self.waiting: dict[int, bytes] = {}
        self.sent: list[int] = []
        self.busy = False
        self.most = BATCH
        self.status = 0

    def add(self, number: int, ident: str, status: str, again_ms: int) -> None:
        line: dict[str, Any] = {"id": ident, "status": status}
        if again_ms:
            line["again_ms"] = again_ms
        self.waiting[number] = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if not self.busy:
            self.busy = True
            self.loop.call_soon(self._next)

    def move(self, address: Address) -> None:
        """What is unanswered goes to the new address at once: twice told does no harm."""
        super().move(address)
        self.patience = NOTICE_S[0]
        if self.busy:
            self.open()

    def open(self) -> None:
        super().open()
        self.patience = min(NOTICE_S[1], self.patience * 2)  # until a word comes, if a bad one

    def retry(self) -> None:
        self.patience = NOTICE_S[0]
        super().retry()

    def _next(self) -> None:
        self.patience = NOTICE_S[0]
        if not self.waiting:
            self.busy = False
            if self.timer:
                self.timer.cancel()
            return
        connection = self.connection
        if connection is None or connection.closed or connection.stale():
            self.open()
        elif not connection.ledger.has_rested(self.loop.time()):
            self.open()  # a copy of the last answer would be taken for the next one's
        else:
            self.ready()

    def ready(self) -> None:
        assert self.connection is not None
        self.sent = list(self.waiting)[: self.most]
        body = b"".join(self.waiting[n] for n in self.sent)
        self.status = 0
        self.after(self.patience, self.open)
        self.connection.request("POST", "/v2/finals", [("Content-Type", "application/x-ndjson")], body, self)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def end(self, noise: bool) -> None:
        assert self.connection is not None
        response = ReceivedResponse(self.loop.time(), is_distinctive=False, is_success=self.status == 204)
        self.connection.ledger.response_completed(UNKNOWN_CHECKSUM, response)
        if self.status == 204:
            self.backoff.reset()
            self._forget()
            self.most = BATCH
        elif self.status == 400 and len(self.sent) > 1:  # find the line that can't be read
            self.most = len(self.sent) // 2
        elif self.status == 400:
            log.error("a notice was turned down: %r", self.waiting[self.sent[0]])
            self._forget()
        else:
            log.warning("notices answered %d", self.status)
            self.retry()
            return
        self._next()

    def _forget(self) -> None:
        for number in self.sent:
            self.waiting.pop(number, None)
        self.accepted(self.sent)

    def lost(self, written: bool) -> None:
        self.retry()
