"""A fake partner endpoint on a real socket: runs calls, and can reject them for a while."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 1 << 15


class KeyMemory:
    """The idempotency keys that all endpoints of one destination have seen, each for `window_s` seconds."""

    def __init__(self, window_s: float = 15.0) -> None:
        self.window_s = window_s
        self.seen_at_s: dict[str, float] = {}  # by key, the first use that counts

    def is_repeat(self, key: str, now_s: float) -> bool:
        """Whether the key was seen within its window; notes it if not. No key is never a repeat."""
        if not key:
            return False
        if now_s - self.seen_at_s.get(key, -self.window_s) < self.window_s:
            return True
        self.seen_at_s[key] = now_s
        return False


class Partner:
    """An endpoint that follows PROTOCOL, 'Couriers to endpoints'; `runs` counts executions by message id.

    A repeat under a key within its window is answered with 200 and not executed.
    """

    def __init__(self, chance: random.Random, service_s: float = 0.05, keys: KeyMemory | None = None) -> None:
        """`keys`: shared by the endpoints of one destination."""
        self.chance, self.service_s = chance, service_s
        self.keys = keys or KeyMemory()
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
        is_bundle = path == "/events/bundle"
        rows = json.loads(body) if is_bundle else [_message(headers)]
        executed = [row for row in rows if not self.keys.is_repeat(row.get("key", ""), now)]
        await asyncio.sleep(self.chance.expovariate(1 / self.service_s))
        for row in executed:
            self.runs[row["id"]] += 1
        if not is_bundle:
            return _http(200, b"")
        return _http(200, json.dumps([{"id": row["id"], "state": "done"} for row in rows]).encode())


def _message(headers: dict[str, str]) -> dict[str, str]:
    return {"id": headers.get("x-request-id", ""), "key": headers.get("idempotency-key", "")}


def _http(status: int, body: bytes, extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
