"""A fake partner endpoint on a real socket: runs calls, and can reject them for a while."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 1 << 15


class Partner:
    """An endpoint that follows PROTOCOL, 'Couriers to endpoints'; `runs` counts executions by message id."""

    def __init__(self, chance: random.Random, service_s: float = 0.05) -> None:
        self.chance, self.service_s = chance, service_s
        self.open_at = 0.0  # event loop time until which calls are rejected
        self.runs: Counter[str] = Counter()
        self.refused = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that it listens on, as HOST:PORT."""
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    def shut(self, seconds: float) -> None:
        """Reject all calls for so long, with a Retry-After."""
        self.open_at = asyncio.get_running_loop().time() + seconds

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:])
                }
                size = int(headers.get("content-length", "0"))
                if size > MAX_BODY_BYTES:
                    break
                body = await reader.readexactly(size)
                writer.write(await self._response(head[0].split(" ")[1], headers, body))
        self.writers.discard(writer)
        writer.close()

    async def _response(self, path: str, headers: dict[str, str], body: bytes) -> bytes:
        now = asyncio.get_running_loop().time()
        if now < self.open_at:
            self.refused += 1
            return _http(429, b"", f"Retry-After: {self.open_at - now:.3f}\r\n")
        await asyncio.sleep(self.chance.expovariate(1 / self.service_s))
        if path != "/events/bundle":
            self.runs[headers.get("x-request-id", "")] += 1
            return _http(200, b"")
        rows = json.loads(body)
        for row in rows:
            self.runs[row["id"]] += 1
        return _http(200, json.dumps([{"id": row["id"], "state": "done"} for row in rows]).encode())


def _http(status: int, body: bytes, extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
