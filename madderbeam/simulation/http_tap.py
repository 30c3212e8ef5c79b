"""Reads the HTTP requests that a process writes, at the moment at which it writes them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.simulation.network import Stream


@dataclass(eq=False)
class Request:
    """One request, whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    first_us: int  # when its first byte was written
    last_us: int
    end: int  # bytes of the stream up to its last one
    note: Any = None  # what the writer's observer made of it


class RequestTap:
    """A stream's tap: `written` is called for each request when its last byte is written, `arrived` when that
    byte has come to the other end. What can't be read as a request is handed to `odd`."""

    def __init__(
        self,
        stream: Stream,
        written: Callable[[Request], Any],
        arrived: Callable[[Request], None],
        odd: Callable[[str], None],
    ) -> None:
        self.stream, self.written, self.came, self.odd = stream, written, arrived, odd
        self.buffer, self.total, self.here, self.first_us = b"", 0, 0, -1
        self.head: tuple[str, str, dict[str, str]] | None = None
        self.need = 0
        self.done = 0  # bytes of the stream up to the last request that has come whole
        self.under_way: deque[Request] = deque()
        stream.tap = self

    def wrote(self, data: bytes) -> None:
        now = self.stream.scheduler.now_us
        if not self.buffer:
            self.first_us = now
        self.buffer += data
        self.total += len(data)
        while self._one(now):
            self.first_us = now

    def _one(self, now: int) -> bool:
        if self.head is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return False
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            try:
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                self.need = end + 4 + int(headers.get("content-length", "0"))
            except ValueError:
                self.odd(f"a request that can't be read: {lines[0]!r}")
                self.buffer = b""
                return False
            self.head = method, path, headers
        if len(self.buffer) < self.need:
            return False
        method, path, headers = self.head
        head = self.buffer.find(b"\r\n\r\n") + 4
        body, self.buffer = self.buffer[head : self.need], self.buffer[self.need :]
        request = Request(method, path, headers, body, self.first_us, now, self.total - len(self.buffer))
        self.head = None
        request.note = self.written(request)
        self.under_way.append(request)
        return bool(self.buffer)

    def arrived(self, size: int) -> None:
        """So many more bytes have come to the other end."""
        self.here += size
        while self.under_way and self.under_way[0].end <= self.here:
            request = self.under_way.popleft()
            self.done = request.end
            self.came(request)

    @property
    def midway(self) -> bool:
        """A part of a request has come, and not its last byte."""
        return self.here > self.done
