"""What every case needs: its record, free ports, endpoints, the program as the deploy file starts it."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
DEST = 1  # the number of the one destination that most cases have
MOST_S = 115.0  # of a case, less than the 120 s that it may take


class CouldNotRunError(Exception):
    """The case did not come to the point at which the rule is judged."""


def is_trouble() -> bool:
    """Whether the disruption is wanted (the default; TROUBLE=0 leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.since = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.since:8.3f} {text}\n")
        self.file.flush()


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that nobody listens on now."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def run_line() -> str:
    """Return the line `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


def sealed(value: dict[str, Any]) -> bytes:
    """Return a rendered file's bytes: its content with the digest that a courier checks."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return json.dumps({**value, "digest": "sha256:" + hashlib.sha256(text.encode()).hexdigest()}).encode()


class Program:
    """One process of the project, started by the deploy file's line through /bin/sh from the root."""

    def __init__(self, name: str, record: Record, log: pathlib.Path, arguments: str = "", **env: str) -> None:
        self.name, self.record, self.log, self.arguments, self.env = name, record, log, arguments, env
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it; its output goes to the log file."""
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{run_line()} {self.arguments}".strip(),
                cwd=ROOT,
                env={**os.environ, **self.env},
                stdout=out,
                stderr=out,
            )
        self.record(f"{self.name} is started")

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record(f"{self.name} is sent {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill it, if it runs, and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


class Endpoint:
    """A partner's endpoint as PROTOCOL describes it; `runs` has each call that ran.

    `answer(ident)` is awaited before the answer 200 is written: it takes the time of the work.
    """

    def __init__(self, name: str, record: Record, answer: Callable[[str], Awaitable[None]]) -> None:
        self.name, self.record, self.answer = name, record, answer
        self.runs: list[tuple[float, str, bytes]] = []  # when it began, id, body
        self.out: dict[int, str] = {}  # ids of the calls that are out on an open connection
        self.overlaps: list[str] = []  # ids of which a second call began while one was out
        self.count = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        """Listen on a loopback port; return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in head[1:])
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._call(headers.get("x-request-id", ""), headers, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _call(
        self,
        ident: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Do one call's work. It is out until its answer is written or its connection ends."""
        self.count += 1
        number = self.count
        sender = writer.get_extra_info("peername")[1]
        twice = ident in self.out.values()
        self.out[number] = ident
        if twice:
            self.overlaps.append(ident)
        self.record(
            f"{self.name}: call {number} for {ident} ({body[:40]!r}, X-Timeout-Ms "
            f"{headers.get('x-timeout-ms')}, from port {sender}) begins"
            + ("; ANOTHER CALL FOR IT IS OUT" if twice else "")
        )
        self.runs.append((time.monotonic(), ident, body))
        work = asyncio.ensure_future(self.answer(ident))
        gone = asyncio.ensure_future(reader.read(1))  # the courier sends nothing before its answer
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record(f"{self.name}: call {number} for {ident}: its connection ended, it runs on")
                raise ConnectionResetError
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.record(f"{self.name}: call {number} for {ident} is answered 200")
        finally:
            self.out.pop(number, None)
            work.cancel()
            if not gone.done():
                gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone


async def web(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
    """Make one HTTP call at a second address; return status and text."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        data = await asyncio.wait_for(reader.read(), 3.0)
    finally:
        writer.close()
    head, _, text = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), text.decode()


async def until(what: str, condition: Callable[[], Awaitable[bool]], seconds: float = 20.0) -> None:
    """Wait until the condition holds; CouldNotRunError if it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            if await condition():
                return
        await asyncio.sleep(0.05)
    raise CouldNotRunError(f"{what}: not within {seconds:g} s")


async def put(port: int, ident: str, fields: str, body: bytes) -> str:
    """Hand one message in over RESP2 on a connection of its own; return the answer's line."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        parts = [b"MSG.PUT", b"0", ident.encode(), fields.encode(), body]
        text = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        writer.write(text)
        return (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
    finally:
        writer.close()


async def ping(port: int) -> str:
    """Return the answer to PING on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        return (await asyncio.wait_for(reader.readline(), 1.0)).decode().strip()
    finally:
        writer.close()


def main(file: str, case: Callable[[Record, pathlib.Path], Awaitable[int]]) -> None:
    """Run a case in a temporary folder, bounded in time; exit with its code."""
    record = Record(pathlib.Path(file).parent / "record.txt")
    record(f"TROUBLE={int(is_trouble())}")

    async def bounded() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            return await asyncio.wait_for(case(record, pathlib.Path(folder)), MOST_S)

    try:
        code = asyncio.run(bounded())
    except (CouldNotRunError, OSError, TimeoutError, EOFError) as error:
        record(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "no verdict"}[code])
    sys.exit(code)
