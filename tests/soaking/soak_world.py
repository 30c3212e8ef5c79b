"""The surroundings of a soaked courier: endpoints, discovery, and notes of all that they see."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass, field

from loopback import Discovery, Endpoint, answer, read_request
from soak_scenario import Mood

ANSWER_LATE_S = (0.02, 0.4)
TOLD_TO_WAIT_S = (0.1, 0.6)


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


@dataclass
class Notes:
    """What was seen from outside."""

    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    draining_since_s: dict[str, float] = field(default_factory=dict)  # when discovery had written it
    log: list[str] = field(default_factory=list)
    started_s: float = field(default_factory=time.monotonic)
    life: int = 0

    def note(self, text: str) -> None:
        """Add a line to the order of events."""
        self.log.append(f"{time.monotonic() - self.started_s:8.3f} {text}")


class MoodyEndpoint(Endpoint):
    """Answers each call in a mood that is drawn."""

    def __init__(self, uid: str, notes: Notes, moods: dict[Mood, float], rng: random.Random) -> None:
        super().__init__()
        self.uid, self.notes, self.rng = uid, notes, rng
        self.moods, self.weights = list(moods), list(moods.values())

    async def serve(self, reader, writer):
        while True:
            _, _, headers, body = await read_request(reader)
            mood = self.rng.choices(self.moods, self.weights)[0]
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
                is_given_up = await self._is_given_up_within(reader, self.rng.uniform(*ANSWER_LATE_S))
                if is_given_up:
                    return False
                writer.write(answer(200))
            case Mood.FULL:
                call.wait_s = round(self.rng.uniform(*TOLD_TO_WAIT_S), 3)
                writer.write(answer(429, Retry_After=f"{call.wait_s:.3f}"))
            case mood:
                writer.write(answer(int(mood.value)))
        call.is_answered = call.mood in (Mood.DONE, Mood.LATE)
        await writer.drain()  # a courier that has gone raises here, and the answer counts: it was written
        return True

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


class NotingDiscovery(Discovery):
    """The agent: it notes notices, and may be silent for a while."""

    def __init__(self, notes: Notes) -> None:
        super().__init__()
        self.notes, self.is_behind = notes, False

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

    async def note_finals(self) -> None:
        """Note each notice as it comes; ends by being cancelled."""
        while True:
            status, line = await self.finals.get()
            self.notes.note(f"notice {line} answered {status}")
            if status == 204:
                self.notes.notices.append(
                    Notice(line["id"], line["status"], time.monotonic(), self.notes.life)
                )
