"""Clients of a soaked courier: they use open connections until these end, and note what they hear."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from loopback import Client
from soak_scenario import Scenario
from soak_world import Notes

CONNECTIONS_MAX = 3  # of each client
PIECE_PAUSE_S = 0.004
WITHDRAWN_AFTER_S = (0.0, 0.6)  # behind its answer
CONNECT_PAUSE_S = 0.05


@dataclass
class Request:
    """A message as it is handed in; again, on a new connection, if the first one ended without an answer."""

    ident: str
    kind: str
    key: str
    order: str
    life_ms: int
    sent_s: float = 0.0
    answer: str = ""  # the line that came back
    answered_s: float = 0.0
    unanswered_ends: list[float] = field(default_factory=list)  # when a connection ended without an answer
    is_written: bool = False
    withdrawn_s: float = math.inf  # when its client withdrew it

    @property
    def due_s(self) -> float:
        """When its time is up."""
        return self.sent_s + self.life_ms / 1000

    def command(self, dest: int) -> bytes:
        """Its bytes."""
        fields = f"c={self.kind},t=t,d={self.life_ms},dest={dest}" + (f",k={self.key}" if self.key else "")
        return Client.command(
            b"MSG.PUT", self.order.encode(), self.ident.encode(), fields.encode(), self.ident.encode()
        )


class Connection:
    """One connection and its requests that have no answer yet."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.waiting: deque[Request] = deque()
        self.is_open = True
        self.lock = asyncio.Lock()  # of writers: a request may be written in pieces


class Clients:
    """All clients of one run."""

    def __init__(
        self,
        notes: Notes,
        rng: random.Random,
        address: tuple[str, int],
        dests: tuple[int, ...],
        scenario: Scenario,
    ) -> None:
        self.notes, self.rng, self.address, self.dests, self.scenario = notes, rng, address, dests, scenario
        self.requests: list[Request] = []
        self.connections: list[list[Connection]] = []
        self.may_connect: Callable[[], bool] = lambda: True
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.withdrawals = random.Random(f"withdrawals {scenario.seed}")

    def spawn(self, coroutine) -> None:
        """Run a task until `stop`."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_for(self, seconds: float) -> None:
        """Send messages from all clients together, at the scenario's rate."""
        scenario = self.scenario
        self.connections = [[] for _ in range(scenario.clients)]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            count = self.rng.randint(1, scenario.pipeline_max)
            await asyncio.sleep(self.rng.expovariate(scenario.rate_per_s / count))
            mine = self.rng.choice(self.connections)
            self.spawn(self._send(mine, [self._request() for _ in range(count)]))

    def _request(self) -> Request:
        self.count += 1
        kind = self.rng.choice(self.scenario.classes)
        ident = f"{self.count:016x}"
        key = f"key{self.count:013x}" if kind == "keyed" else ""
        order = f"{self.rng.randint(1, 4):016x}" if kind == "ordered" else "0" * 16
        return Request(ident, kind, key, order, self.rng.randint(*self.scenario.life_ms))

    async def _send(self, mine: list[Connection], requests: list[Request]) -> None:
        connection = await self._connection(mine)
        if connection is None:
            return
        await self._write(connection, requests)

    async def _connection(self, mine: list[Connection]) -> Connection | None:
        """An open connection of this client, a new one if there is none; None if that is refused."""
        mine[:] = [connection for connection in mine if connection.is_open]
        if mine and (len(mine) >= CONNECTIONS_MAX or self.rng.random() < 0.9):
            return self.rng.choice(mine)
        connection = await self._connect()
        if connection is not None:
            mine.append(connection)
        return connection

    async def _connect(self) -> Connection | None:
        if not self.may_connect():
            return None
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
            return None
        connection = Connection(reader, writer)
        self.spawn(self._read(connection))
        return connection

    async def _write(self, connection: Connection, requests: list[Request]) -> None:
        async with connection.lock:
            await self._write_alone(connection, requests)

    async def _write_alone(self, connection: Connection, requests: list[Request]) -> None:
        if not connection.is_open:
            return
        now = time.monotonic()
        data = b""
        for request in requests:
            request.sent_s = now
            connection.waiting.append(request)
            if not request.unanswered_ends:
                self.requests.append(request)
            data += request.command(self.dests[int(request.ident, 16) % len(self.dests)])
        with contextlib.suppress(ConnectionError):
            if self.scenario.in_pieces:
                cut = self.rng.randrange(1, len(data))
                connection.writer.write(data[:cut])
                await asyncio.sleep(PIECE_PAUSE_S)
                data = data[cut:]
            connection.writer.write(data)
            for request in requests:
                request.is_written = True
            await connection.writer.drain()

    async def _read(self, connection: Connection) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                line = (await connection.reader.readuntil(b"\r\n")).decode().strip()
                if not connection.waiting:
                    self.notes.note(f"an answer to nothing: {line}")
                    continue
                request = connection.waiting.popleft()
                request.answer, request.answered_s = line, time.monotonic()
                self.notes.note(f"{request.ident} {request.kind} is answered {line}")
                self._draw_withdrawal(request)
        connection.is_open = False
        connection.writer.close()
        now = time.monotonic()
        again = []
        for request in connection.waiting:
            self.notes.note(f"{request.ident} {request.kind} gets no answer: its connection has ended")
            request.unanswered_ends.append(now)
            if len(request.unanswered_ends) == 1 and request.is_written:
                again.append(request)
        if again and (new := await self._connect()) is not None:
            await self._write(new, again)

    def _draw_withdrawal(self, request: Request) -> None:
        """Some clients withdraw an accepted message after a while; its endpoints are told at once."""
        if not request.answer.startswith("+") or self.withdrawals.random() >= self.scenario.withdrawn_share:
            return
        request.withdrawn_s = time.monotonic() + self.withdrawals.uniform(*WITHDRAWN_AFTER_S)
        self.notes.withdrawn_s[request.ident] = request.withdrawn_s

    async def stop(self) -> None:
        """End all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in [connection for mine in self.connections for connection in mine]:
            connection.writer.close()
