"""Federation members as processes: start, pause, kill and restart them, read their log and status."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys

from loopback import ROOT, Client, call

START_S = 90.0  # limit for the readiness of a process, where dozens start at once on a busy machine


def free_ports(host, count):
    """Return distinct ports that are free for both UDP and TCP.

    Each member has its own host address, so the ports stay free until it binds them. All sockets stay open
    until the last port is found, because a released port may be chosen a second time.
    """
    ports = []
    with contextlib.ExitStack() as sockets:
        while len(ports) < count:
            tcp = sockets.enter_context(socket.socket())
            udp = sockets.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            tcp.bind((host, 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            ports.append(tcp.getsockname()[1])
    return ports


def free_port(host):
    """Return one port that is free for both UDP and TCP."""
    return free_ports(host, 1)[0]


class Program(Client):
    """A client that can also publish to topics."""

    @classmethod
    def publication(cls, ident, topic, kind="safe", life=6000, body=b"hello", key=""):
        fields = f"c={kind},t=t,d={life},topic={topic}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), body)

    async def publish(self, ident, topic, **more):
        return await self.send(self.publication(ident, topic, **more))


class Member:
    """One courier process. `name` is SITE/NAME; `folder` holds its configuration and state."""

    def __init__(self, name, host, folder):
        self.name, self.host, self.folder = name, host, folder
        self.site, self.short = name.split("/")
        self.listen, self.control, self.mesh = free_ports(host, 3)
        self.process, self.reading = None, None
        self.lines, self.said = [], asyncio.Event()
        self.life = 0  # index of the first log line of the present process

    @property
    def rendered(self):
        return self.folder / "rendered" / f"{self.short}.json"

    @property
    def kept(self):
        """The state folders that outlast a process: the journal's and the federation's."""
        return "state", "state-federation"

    async def start(self, served=True):
        """Start the process and wait until it is ready.

        With `served`, also wait until it serves the destinations that the table in force gives it, which
        takes a majority of the voters.
        """
        self.life = len(self.lines)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            "run",
            "--config",
            str(self.rendered),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.create_task(self._read(self.process.stderr))
        await self.until("is ready on port", START_S)
        if served:
            await self.until("served again", START_S)
        return self

    async def _read(self, stream):
        with (self.folder / "log").open("ab") as log:
            async for line in stream:
                log.write(line)
                log.flush()
                self.lines.append(line.decode("utf-8", "replace").rstrip())
                self.said.set()
        self.said.set()

    async def until(self, pattern, limit, after=None):
        """Return the first log line that matches, of the present process or from line `after` on.

        TimeoutError after `limit` seconds; AssertionError if the process exits before.
        """
        expression, position = re.compile(pattern), self.life if after is None else after

        async def inner():
            nonlocal position
            while True:
                self.said.clear()
                ended = self.reading.done()
                while position < len(self.lines):
                    position += 1
                    if expression.search(self.lines[position - 1]):
                        return self.lines[position - 1]
                assert not ended, f"{self.name} ended: {self.lines[self.life :][-5:]}"
                await self.said.wait()

        return await asyncio.wait_for(inner(), limit)

    # Process control

    def pause(self):
        """Send SIGSTOP and wait until the process is stopped."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)

    async def kill(self):
        await self.end(signal.SIGKILL)

    async def end(self, sig=signal.SIGTERM, limit=START_S):
        """Signal the process and wait for its exit; `lines` then has its whole log."""
        self.process.send_signal(sig)
        await asyncio.wait_for(self.process.wait(), limit)
        await asyncio.wait_for(self.reading, limit)

    def hangup(self):
        """Send SIGHUP: the process reads its partner list and proposes its table file."""
        self.process.send_signal(signal.SIGHUP)

    def copy(self, name="copy"):
        """Copy the present state folders."""
        for kept in self.kept:
            shutil.copytree(self.folder / kept, self.folder / name / kept)

    def restore(self, name="copy"):
        """Replace the state folders by that copy; the process must not run."""
        for kept in self.kept:
            shutil.rmtree(self.folder / kept)
            shutil.copytree(self.folder / name / kept, self.folder / kept)

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()  # also one that is paused
            await self.process.wait()
        if self.reading is not None:
            await self.reading

    # Queries

    async def call(self, method, path, body=b""):
        """Return status and text of a call to the admin address."""
        return await call(self.control, method, path, body, self.host)

    async def federation(self):
        """Return the document of GET /federation."""
        status, text = await self.call("GET", "/federation")
        assert status == 200, text
        return json.loads(text)

    async def until_told(self, predicate, limit):
        """Return GET /federation once `predicate(document)` is true; TimeoutError with the last one."""
        document = {}

        async def inner():
            nonlocal document
            while not predicate(document := await self.federation()):
                await asyncio.sleep(0.05)  # changes are not notified
            return document

        try:
            return await asyncio.wait_for(inner(), limit)
        except TimeoutError:
            raise TimeoutError(f"{self.name} tells {json.dumps(document)}") from None

    async def say(self, path, **fields):
        """POST a JSON object to the admin address; return status and text."""
        return await self.call("POST", path, json.dumps(fields).encode())

    async def offer(self, document):
        """POST /federation/table; return status and text."""
        return await self.call("POST", "/federation/table", json.dumps(document).encode())

    async def client(self):
        return await Program().open(self.listen, self.host)

    async def until_ended(self, ident, limit):
        """Return the status in the notice of the message; TimeoutError after `limit` seconds."""

        async def inner():
            while not (found := [status for i, status in self.finals() if i == ident]):
                await asyncio.sleep(0.02)  # file growth is not notified
            return found[0]

        return await asyncio.wait_for(inner(), limit)

    def finals(self):
        """Return the notices, as (id, status), without torn lines."""
        path = self.folder / "finals.jsonl"
        rows = []
        for part in (path.with_name(path.name + ".1"), path):
            for line in part.read_text().splitlines() if part.exists() else ():
                try:
                    row = json.loads(line)
                except ValueError:  # torn by a kill; the notice is written again
                    continue
                rows.append((row["id"], row["status"]))
        return rows
