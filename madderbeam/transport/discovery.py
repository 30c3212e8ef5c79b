"""Discovery's watch, and the notices of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from madderbeam.ports import Address, Network
from madderbeam.transport.http import Connection, Exchange
from madderbeam.transport.values import Unreadable, Values

# What a watch misses that has fallen silent counts as told 6 s later, whether or not it arrived: whatever
# becomes of it, discovery is asked again within SILENCE_S, and twice within those 6 s (then WORD_S).
SILENCE_S = 3.2  # an empty line comes every 2 s: after this the watch is taken for dead
WORD_S = 2.5  # and a new one after this: it is answered at once, or with an empty line within 2 s
CONNECT_S = 1.0
AGAIN_S = (0.1, 1.0)  # first and longest ceiling of the wait before the next try
BUSY_S = (2.0, 3.0)  # the same where discovery turned the watch away: all that ask again so keep it busy
NOTICE_AGAIN_S = 0.1  # the longest for notices, which are owed 300 ms after a message's time is up
# A notice is answered at once. Without an answer its connection has fallen silent, and it is sent again on a
# new one: first after this, so that it comes in time all the same, then after twice as long, up to that.
NOTICE_S = (0.1, 1.0)
BATCH = 200  # notices in one request
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
        wait = self.chance.uniform(self.ceiling / 4, self.ceiling)
        self.ceiling = min(BUSY_S[1], self.ceiling * 2)
        return wait

    def reset(self) -> None:
        self.ceiling = AGAIN_S[0]


class Link:
    """A connection to discovery that is opened anew when it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, network: Network, address: Address,
                 chance: random.Random) -> None:
        self.loop, self.network, self.address = loop, network, address
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backoff = Backoff(chance)
        self.patience = CONNECT_S  # seconds for a connection to come up
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
            self.connection = Connection(self.loop, self.network, self.address)
            self.connection.connect(self._connected)
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
    """Follows the list of endpoints from the last version on."""

    def __init__(self, loop: asyncio.AbstractEventLoop, network: Network, address: Address,
                 chance: random.Random, rev: int, told: Callable[[dict[str, Any]], None]) -> None:
        super().__init__(loop, network, address, chance)
        self.rev, self.told = rev, told
        self.values, self.status = Values(), 0

    def move(self, address: Address) -> None:
        """Follow the list at the new address at once, from the last version on."""
        super().move(address)
        self.open()

    def ready(self) -> None:
        assert self.connection is not None
        self.values, self.status = Values(), 0
        self.after(WORD_S, self.open)
        self.connection.request("GET", f"/discovery/hosts?watch=1&from={self.rev}", [], b"", self)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        if status != 200:
            log.warning("discovery: watch answered %d", status)
            assert self.connection is not None
            self.connection.close()
            self.after(self.backoff.busy(), self.open)

    def data(self, data: bytes) -> None:
        if self.connection is None or self.connection.closed:
            return  # given up amid what was read at once
        try:
            for change in self.values.feed(data):
                # An empty line or a whole list is a sign of life; a part of one may be the last that comes.
                self.after(SILENCE_S, self.open)
                if change is not None:
                    self._change(change)
        except Unreadable as error:  # those behind it do not count: the version that they lead to is not ours
            log.error("discovery: a list that can't be read: %s", error)
            self.rev = 0  # what it said is lost: ask for all anew
            self.retry()

    def _change(self, change: dict[str, Any]) -> None:
        try:
            rev, targets = int(change["rev"]), change["targets"]
        except (ValueError, KeyError, TypeError) as error:
            raise Unreadable(repr(error)) from None
        if not isinstance(targets, list):
            raise Unreadable("targets is no list")
        self.backoff.reset()
        self.rev = rev
        self.told(change)

    def end(self, noise: bool) -> None:
        self.retry()

    def lost(self, written: bool) -> None:
        self.retry()


class Notices(Link, Exchange):
    """Sends finals in batches, again and again until each batch is answered 204."""

    def __init__(self, loop: asyncio.AbstractEventLoop, network: Network, address: Address,
                 chance: random.Random, accepted: Callable[[list[int]], None]) -> None:
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
        else:
            self.ready()

    def ready(self) -> None:
        assert self.connection is not None
        self.sent = list(self.waiting)[:self.most]
        body = b"".join(self.waiting[n] for n in self.sent)
        self.status = 0
        self.after(self.patience, self.open)
        self.connection.request("POST", "/v2/finals", [("Content-Type", "application/x-ndjson")], body, self)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def end(self, noise: bool) -> None:
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
