"""Simulated partners that record their calls and reply according to a script."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass

from faulty_links import HOST, reset
from loopback import answer, read_request

RAN, MAY_HAVE_RUN, NEVER_RAN = "ran", "may have run", "never ran"


@dataclass
class Call:
    """One call as the partner received it. Times are the test's monotonic seconds."""

    dest: int
    member: str  # SITE/NAME of the courier, known by the address that it calls
    ident: str
    key: str
    body: bytes
    begun: float  # its last byte arrived
    ended: float = float("inf")  # its reply was written, or its connection ended
    effect: str = MAY_HAVE_RUN
    wait_s: float = 0.0  # the Retry-After of the reply

    @property
    def site(self):
        return self.member.partition("/")[0]


class Partner:
    """One destination.

    The steps of `script` answer the calls in order, later calls get 200. A step is a status,
    ("wait", seconds), "hang" (until the caller closes the connection), "reset", or "hold" (200 once `release`
    is set).
    """

    def __init__(self, number, members):
        self.number, self.members = number, list(members)
        self.script, self.calls, self.release = deque(), [], asyncio.Event()
        self.changed = asyncio.Event()  # a call began or ended
        self.ports, self.servers, self.writers = {}, [], set()
        self.state = "in_service"  # in the partner list; see Estate.drain
        # `door_states` gives, by member, the state of an endpoint whose one address all members share; it
        # replaces their own addresses. Its callers are unknown, so its calls are recorded separately.
        self.door_states, self.door_calls, self.door = {}, [], ""

    async def start(self):
        for member in self.members:
            server = await asyncio.start_server(lambda r, w, m=member: self._serve(m, r, w), HOST, 0)
            self.servers.append(server)
            self.ports[member] = server.sockets[0].getsockname()[1]
        server = await asyncio.start_server(lambda r, w: self._serve("", r, w), HOST, 0)
        self.servers.append(server)
        self.door = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        return self

    def address(self, member):
        return f"{HOST}:{self.ports[member]}"

    async def _serve(self, member, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    _, _, headers, body = await read_request(reader)
                    call = Call(
                        self.number,
                        member,
                        headers.get("x-request-id", ""),
                        headers.get("idempotency-key", ""),
                        body,
                        now(),
                    )
                    (self.calls if member else self.door_calls).append(call)
                    self._tell()
                    try:
                        if not await self._answer(call, reader, writer):
                            return
                    finally:
                        call.ended = now()
                        self._tell()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, call, reader, writer):
        """Reply to a call; return whether the connection stays open."""
        step = self.script.popleft() if self.script else 200
        if step == "reset":
            reset(writer)
            return False
        if step == "hang":
            await reader.read()
            return False
        if step == "hold":
            await self.release.wait()
            step = 200
        if isinstance(step, tuple):
            call.wait_s, call.effect = step[1], NEVER_RAN
            writer.write(answer(429, Retry_After=step[1]))
            return True
        call.effect = {200: RAN, 500: MAY_HAVE_RUN}.get(step, NEVER_RAN)
        writer.write(answer(step))
        return True

    def _tell(self):
        self.changed.set()

    async def until(self, predicate, limit):
        """Wait until `predicate(calls)` is true; TimeoutError after `limit` seconds."""

        async def inner():
            while not predicate(self.calls):
                self.changed.clear()
                await self.changed.wait()

        await asyncio.wait_for(inner(), limit)

    def stop(self):
        self.release.set()
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.close()


def now():
    """Return the test's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
