"""The journal in the folder that lasts: what the courier has taken on, and how far each message has come.

Append-only records, each with length and checksum, written with os.write before the thing that they make
true. What was written outlasts SIGKILL with no sync. A torn tail is cut off and the rest is used.
"""

from __future__ import annotations

import logging
import os
import struct
import time
import zlib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import msgpack

FRAME = struct.Struct(">II")  # length, checksum
NAME, FRESH = "messages.journal", "messages.journal.new"
BLOCK = 512  # files count in whole blocks
EACH = 160  # bytes kept free for each message's later records
SPARE_BYTES = 8192  # kept free for all else
OVER_S = 30.0  # how long the id of a message that is over is known
KEYS_S = 60.0  # and an idempotency key past its window
SMALL = 1 << 17  # a file under this is not worth compacting
log = logging.getLogger(__name__)


class JournalFull(OSError):
    """The record would take more than the disk limit allows."""


@dataclass
class Held:
    """A message that the courier owes something: its end, or a notice of it. Times are wall seconds."""

    number: int
    id: str
    cls: int
    tenant: int
    dest: int
    key: str
    until: float
    resubmitted: bool
    body: bytes
    order: int = 0
    tries: int = 0
    trying_at: float = 0.0  # start of the newest attempt, 0 once it has proved that it never ran
    ran_at: float = 0.0  # start of the first attempt that may have run
    status: str = ""  # of its final notice, which is owed
    again_ms: int = 0

    @property
    def may_have_run_at(self) -> float:
        return self.ran_at or self.trying_at

    def record(self) -> list[Any]:
        return ["take", *(getattr(self, f.name) for f in fields(self))]

    @property
    def bytes(self) -> int:
        return len(self.body) + len(self.id) + len(self.key) + EACH


def frame(record: list[Any]) -> bytes:
    payload = msgpack.packb(record)
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def parse(data: bytes) -> tuple[list[list[Any]], int]:
    """The whole records at the start of data, and where they end."""
    records, at = [], 0
    while at + FRAME.size <= len(data):
        size, checksum = FRAME.unpack_from(data, at)
        payload = data[at + FRAME.size:at + FRAME.size + size]
        if len(payload) != size or zlib.crc32(payload) != checksum or not size:
            break
        records.append(msgpack.unpackb(payload))
        at += FRAME.size + size
    return records, at


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Journal:
    """Open messages, owed notices and what is remembered of those that are over."""

    def __init__(self, folder: Path, limit_bytes: int, key_window_s: float = 0.0) -> None:
        self.path, self.fresh = folder / NAME, folder / FRESH
        self.limit, self.key_s = limit_bytes, key_window_s + KEYS_S
        self.held: dict[int, Held] = {}
        self.ids: dict[str, int] = {}
        self.over: dict[str, float] = {}  # id: when it was over
        self.keys: dict[str, float] = {}  # key: when the first attempt with it that may have run was sent
        self.live = self.last = 0
        self.fresh.unlink(missing_ok=True)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.size = self._restore()

    def _restore(self) -> int:
        data = self.path.read_bytes()
        records, end = parse(data)
        if end < len(data):
            log.warning("journal: cut off a torn tail of %d bytes", len(data) - end)
            os.ftruncate(self.file, end)
        for record in records:
            self._apply(record)
        return end

    def close(self) -> None:
        os.close(self.file)

    # Records: written first, then applied; restoring applies the same ones.

    def take(self, m: Held) -> None:
        """The message is taken on."""
        if not self._room(m.bytes):
            self.compact()  # it may be ids and keys that nobody needs any more
            if not self._room(m.bytes):
                raise JournalFull(f"no room for {m.bytes} bytes")
        self._write(m.record())

    def attempt(self, numbers: list[int], at: float) -> None:
        """An attempt of these is about to be written."""
        self._write(["try", numbers, at])

    def missed(self, number: int) -> None:
        """The newest attempt has proved that it never ran."""
        self._write(["miss", number])

    def done(self, number: int) -> None:
        """Delivered, withdrawn, or refused before it was taken on: nothing more is owed."""
        self._write(["over", [number], time.time()])

    def final(self, number: int, status: str, again_ms: int) -> None:
        """A notice is owed."""
        self._write(["final", number, status, again_ms])

    def told(self, numbers: list[int]) -> None:
        """Notices were accepted."""
        self._write(["over", numbers, time.time()])

    def _write(self, record: list[Any]) -> None:
        data = frame(record)
        if self.size + len(data) > max(SMALL, 4 * self.live) or not self._fits(len(data)):
            self.compact()
        if blocks(self.size + len(data)) > self.limit:
            raise JournalFull("the disk limit is reached")
        try:
            written = os.write(self.file, data)
        except OSError:
            os.ftruncate(self.file, self.size)
            raise
        if written != len(data):  # a part of a record would hide all that comes after it
            os.ftruncate(self.file, self.size)
            raise JournalFull("the disk is full")
        self.size += written
        self._apply(record)

    def _room(self, more: int) -> bool:
        """Whether two copies of all that is open, and of this, would stay under the limit."""
        return blocks(2 * (self.live + more) + SPARE_BYTES) <= self.limit

    def _fits(self, more: int) -> bool:
        """Whether a compacted copy could still stand beside the file."""
        return blocks(self.size + more) + blocks(self.live + SPARE_BYTES) <= self.limit

    def _apply(self, record: list[Any]) -> None:
        kind = record[0]
        if kind == "take":
            m = Held(*record[1:])
            self.held[m.number], self.ids[m.id] = m, m.number
            self.last = max(self.last, m.number)
            self.live += m.bytes
        elif kind == "try":
            for number in record[1]:
                if m := self.held.get(number):
                    m.ran_at = m.may_have_run_at
                    m.tries, m.trying_at = m.tries + 1, record[2]
                    if m.key:
                        self._remember_key(m.key, m.may_have_run_at)
        elif kind == "miss":
            if m := self.held.get(record[1]):
                m.trying_at = 0.0
                if m.key and not m.ran_at:
                    self.live -= EACH * (self.keys.pop(m.key, None) is not None)
        elif kind == "final":
            if m := self.held.get(record[1]):
                self.live -= len(m.body)
                m.status, m.again_ms, m.body = record[2], record[3], b""
        elif kind == "over":
            for number in record[1]:
                if m := self.held.pop(number, None):
                    self.ids.pop(m.id, None)
                    self.live -= m.bytes
                    self._remember_over(m.id, record[2])
        elif kind == "known":
            self.last = record[1]
            for ident, at in record[2].items():
                self._remember_over(ident, at)
            for key, at in record[3].items():
                self._remember_key(key, at)

    def key_ran_at(self, key: str) -> float:
        """When the first attempt with this key that may have run was sent, 0 if none is known."""
        at = self.keys.get(key, 0.0) if key else 0.0
        return at if time.time() - at < self.key_s else 0.0

    def _remember_over(self, ident: str, at: float) -> None:
        if ident not in self.over:
            self.live += EACH
        self.over[ident] = at

    def _remember_key(self, key: str, at: float) -> None:
        if key not in self.keys:
            self.live += EACH
            self.keys[key] = at

    def compact(self) -> None:
        """Write what is still needed into a new file and put it in the old one's place."""
        now = time.time()
        self.over = {i: at for i, at in self.over.items() if now - at < OVER_S}
        self.keys = {k: at for k, at in self.keys.items() if now - at < self.key_s}
        self.live = sum(m.bytes for m in self.held.values()) + EACH * (len(self.over) + len(self.keys))
        parts = [frame(["known", self.last, self.over, self.keys])]
        for m in self.held.values():
            parts.append(frame(m.record()))
        data = b"".join(parts)
        if blocks(self.size) + blocks(len(data)) > self.limit:
            return
        file = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            if os.write(file, data) != len(data):
                raise JournalFull("the disk is full")
            os.rename(self.fresh, self.path)
        except OSError as error:  # the old file is whole: go on with it
            log.error("journal: not compacted: %s", error)
            os.close(file)
            self.fresh.unlink(missing_ok=True)
            return
        os.close(self.file)
        self.file, self.size = file, len(data)
