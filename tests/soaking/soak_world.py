"""The surroundings of a soaked courier: endpoints, discovery, and notes of all that they see."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import struct
import time
from dataclasses import dataclass, field

from loopback import Discovery, Endpoint, answer, read_request
from soak_copies import Copier
from soak_scenario import Mood, Scenario

ANSWER_LATE_S = (0.02, 0.4)
OVERLOADED_LATE_S = (0.03, 0.1)
TOLD_TO_WAIT_S = (0.1, 0.6)
TCP_ESTABLISHED = 1  # in the kernel's tcp_info


@dataclass
class Call:
    """A call whose last byte has come."""

    endpoint: str
    ident: str
    key: str
    body: bytes
    at_s: float
    mood: Mood
    life: int  # of the courier, that was running
    wait_s: float = 0.0  # told by the answer
    ended_s: float = 0.0  # when it was answered, or its connection ended
    is_answered: bool = False


@dataclass
class Notice:
    """A notice that was accepted."""

    ident: str
    status: str
    at_s: float
    life: int  # of the courier, that was running
    is_answer_lost: bool = False  # the courier closed the connection before it had read the 204


@dataclass
class Notes:
    """What was seen from outside."""

    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    draining_since_s: dict[str, float] = field(default_factory=dict)  # when discovery had written it
    withdrawn_s: dict[str, float] = field(default_factory=dict)  # when a message's client withdrew it
    log: list[str] = field(default_factory=list)
    started_s: float = field(default_factory=time.monotonic)
    life: int = 0

    def note(self, text: str) -> None:
        """Add a line to the order of events."""
        self.log.append(f"{time.monotonic() - self.started_s:8.3f} {text}")


class MoodyEndpoint(Endpoint):
    """Answers each call in a mood that is drawn."""

    def __init__(
        self, uid: str, notes: Notes, scenario: Scenario, rng: random.Random, copier: Copier
    ) -> None:
        super().__init__()
        self.uid, self.notes, self.rng, self.copier = uid, notes, rng, copier
        self.moods, self.weights = list(scenario.moods), list(scenario.moods.values())
        self.has_equal_responses = scenario.has_equal_responses

    async def serve(self, reader, writer):
        while True:
            _, _, headers, body = await read_request(reader)
            mood = self.rng.choices(self.moods, self.weights)[0]
            if self.notes.withdrawn_s.get(headers.get("x-request-id", ""), math.inf) <= time.monotonic():
                mood = Mood.GONE
            ident, key = headers.get("x-request-id", ""), headers.get("idempotency-key", "")
            call = Call(self.uid, ident, key, body, time.monotonic(), mood, self.notes.life)
            self.notes.calls.append(call)
            self.notes.note(f"{self.uid} is called with {ident} {key}: {mood.value}")
            try:
                if not await self._answer(call, reader, writer):
                    return
            finally:
                call.ended_s = time.monotonic()

    async def _answer(self, call, reader, writer) -> bool:
        """Whether the connection goes on."""
        match call.mood:
            case Mood.RESET:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return False
            case Mood.HANG:
                await reader.read()
                return False
            case Mood.BROKEN:
                call.is_answered = self.rng.random() < 0.5  # a whole first line with 200 is a delivery
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Le" if call.is_answered else b"HTTP/1.1 20")
                return False
            case Mood.LATE:
                if await self._is_given_up_within(reader, self.rng.uniform(*ANSWER_LATE_S)):
                    return False
                self._write(writer, answer(200) if self.has_equal_responses else self.success())
            case Mood.OVERLOADED_LATE:
                if await self._is_given_up_within(reader, self.rng.uniform(*OVERLOADED_LATE_S)):
                    return False
                self._write(writer, answer(503))
            case Mood.FULL:
                call.wait_s = round(self.rng.uniform(*TOLD_TO_WAIT_S), 3)
                self._write(writer, answer(429, Retry_After=f"{call.wait_s:.3f}"))
            case Mood.DONE:
                self._write(writer, answer(200) if self.has_equal_responses else self.success())
            case Mood.GONE:
                self._write(writer, answer(410))
            case mood:
                self._write(writer, answer(int(mood.value)))
        call.is_answered = call.mood in (Mood.DONE, Mood.LATE)
        await writer.drain()  # a courier that has gone raises here, and the answer counts: it was written
        return True

    def _write(self, writer, data: bytes) -> None:
        writer.write(data)
        self.copier.written(writer, data)

    @staticmethod
    async def _is_given_up_within(reader, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            if _has_ended(reader):
                return True
            await asyncio.sleep(min(left, 0.02))
        return _has_ended(reader)


def _has_ended(reader: asyncio.StreamReader) -> bool:
    """Whether the other side has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


def _is_closed_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Whether the other side has closed the connection, as the kernel has it: the reader may be behind."""
    state = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state != TCP_ESTABLISHED


class NotingDiscovery(Discovery):
    """The agent: it notes notices, and may be silent for a while."""

    def __init__(self, notes: Notes) -> None:
        super().__init__()
        self.notes, self.is_behind = notes, False
        self.copier = Copier(None, "")
        self.newest: dict[asyncio.StreamWriter, list[Notice]] = {}  # the last batch on a connection

    async def serve(self, reader, writer):
        try:
            await super().serve(reader, writer)
        except ConnectionError:  # a side that closes with bytes unread resets the connection
            for notice in self.newest.get(writer, ()):
                notice.is_answer_lost = True
            raise
        finally:
            self.newest.pop(writer, None)

    def _notices_read(self, writer, status, lines):
        is_closed = _is_closed_by_peer(writer)
        for line in lines:
            self.notes.note(f"notice {line} answered {status}{' on a closed connection' * is_closed}")
        now_s, life = time.monotonic(), self.notes.life
        batch = [
            Notice(line["id"], line["status"], now_s, life, is_closed) for line in lines if status == 204
        ]
        self.newest[writer] = batch
        self.notes.notices += batch

    def _write(self, writer, data):
        super()._write(writer, data)
        self.copier.written(writer, data)

    def _push(self, line):
        if self.silent:
            self.is_behind = True
            return
        super()._push(line)
        self._note_drains()

    def _note_drains(self) -> None:
        for uid, target in self.targets.items():
            if target["state"] != "in_service":
                self.notes.draining_since_s.setdefault(uid, time.monotonic())

    def be_silent(self, is_silent: bool) -> None:
        """Begin or end a silence; what was missed is told at its end."""
        self.silent = is_silent
        if not is_silent and self.is_behind:
            self.is_behind = False
            self._push(self.whole())
