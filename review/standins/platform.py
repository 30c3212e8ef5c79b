"""The platform's agent as PROTOCOL and DEPLOY describe it: the endpoint list, its watch, and the notices."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import secrets
from typing import Any

from standins.kit import Record

EMPTY_LINE_S = 2.0  # a watch with no change has an empty line so often


class Platform:
    """Discovery at one address; `finals` has the status of each message that a notice ended, in order."""

    def __init__(self, record: Record, targets: list[dict[str, Any]]) -> None:
        self.record, self.targets, self.rev = record, targets, 1
        self.finals: list[tuple[str, str]] = []
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> int:
        """Listen on a loopback port; return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def listing(self) -> dict[str, Any]:
        """Return the whole list as it is now."""
        return {"rev": self.rev, "all": True, "targets": self.targets}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._call(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:])}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if method == "POST" and target == "/v2/finals":
            for line in body.splitlines():
                row = json.loads(line)
                self.record(f"platform: notice {line.decode()}")
                self.finals.append((row["id"], row["status"]))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif "watch=1" in target:
            await self._watch(reader, writer)
        else:
            text = json.dumps(self.listing()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await writer.drain()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.listing()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                if not await asyncio.wait_for(reader.read(1), EMPTY_LINE_S):
                    raise ConnectionResetError
            line = b"\n"


def target(uid: str, port: int, dest: int, zone: str = "here", kind: str = "plain") -> dict[str, Any]:
    """Return an endpoint's entry of the list."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": zone,
        "model": kind,
        "pod_group": dest,
        "state": "in_service",
        "capacity_hint": 10.0,
        "boot_ms": 0,
    }


def courier_files(
    folder: pathlib.Path,
    name: str,
    listen: int,
    discovery: int,
    known: dict[str, Any],
    settings: dict[str, Any],
) -> dict[str, str]:
    """Write a courier's LB_CONFIG and make its folder; return the environment that DEPLOY describes.

    It is called for each start: the seed is new, the folder that lasts stays.
    """
    state = folder / f"{name}-state"
    state.mkdir(exist_ok=True)
    path = folder / f"{name}.json"
    config = {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": settings,
    }
    path.write_text(json.dumps(config))
    return {
        "LB_NAME": name,
        "LB_LISTEN": config["listen"],
        "LB_DISCOVERY": config["discovery"],
        "LB_STATE": str(state),
        "LB_CONFIG": str(path),
    }
