"""Members as processes of their own: started, paused, killed and started again, and what they say."""

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

START_S = 90.0  # until a process says that it is ready, where dozens start at once on a busy machine


def free_ports(host, count):
    """Different ones at which nobody listens, for datagrams and streams both. Hosts are a member's own, so
    that they stay free until the member takes them. All are held until the last one is found: a port that
    was let go of may be drawn a second time."""
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
    """One such port."""
    return free_ports(host, 1)[0]


class Program(Client):
    """A client that knows topics as well."""

    @classmethod
    def publication(cls, ident, topic, kind="safe", life=6000, body=b"hello", key=""):
        fields = f"c={kind},t=t,d={life},topic={topic}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), body)

    async def publish(self, ident, topic, **more):
        return await self.send(self.publication(ident, topic, **more))


class Member:
    """One courier. `name` is SITE/NAME; `folder` holds its estate and what it keeps."""

    def __init__(self, name, host, folder):
        self.name, self.host, self.folder = name, host, folder
        self.site, self.short = name.split("/")
        self.listen, self.control, self.mesh = free_ports(host, 3)
        self.process, self.reading = None, None
        self.lines, self.said = [], asyncio.Event()
        self.life = 0  # lines before this one are an earlier life's

    @property
    def rendered(self):
        return self.folder / "rendered" / f"{self.short}.json"

    @property
    def kept(self):
        """What outlasts a process: the journal's folder, and the federation's beside it."""
        return "state", "state-federation"

    async def start(self, served=True):
        """The process is ready when this returns, and serves what the table in force gives to it, which takes
        a majority of the voters; not `served`: before it knows that."""
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
        """The first line of this life that the pattern is found in, or of those behind `after` (a count of
        lines); TimeoutError, or AssertionError if the process ends before."""
        found, at = re.compile(pattern), self.life if after is None else after

        async def inner():
            nonlocal at
            while True:
                self.said.clear()
                ended = self.reading.done()
                while at < len(self.lines):
                    at += 1
                    if found.search(self.lines[at - 1]):
                        return self.lines[at - 1]
                assert not ended, f"{self.name} ended: {self.lines[self.life :][-5:]}"
                await self.said.wait()

        return await asyncio.wait_for(inner(), limit)

    # What happens to it

    def pause(self):
        """SIGSTOP; it stands when this returns."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)

    async def kill(self):
        await self.end(signal.SIGKILL)

    async def end(self, sig=signal.SIGTERM, limit=START_S):
        """End it; what it said to the last is in `lines` when this returns."""
        self.process.send_signal(sig)
        await asyncio.wait_for(self.process.wait(), limit)
        await asyncio.wait_for(self.reading, limit)

    def hangup(self):
        """SIGHUP: it reads its partner list and offers its table's file."""
        self.process.send_signal(signal.SIGHUP)

    def copy(self, name="copy"):
        """Keep a copy of its folders as they are now."""
        for kept in self.kept:
            shutil.copytree(self.folder / kept, self.folder / name / kept)

    def restore(self, name="copy"):
        """Its folders are that copy from now on; it must not run."""
        for kept in self.kept:
            shutil.rmtree(self.folder / kept)
            shutil.copytree(self.folder / name / kept, self.folder / kept)

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()  # also one that is paused
            await self.process.wait()
        if self.reading is not None:
            await self.reading

    # What it can be asked

    async def call(self, method, path, body=b""):
        """Status and text of a call at its second address."""
        return await call(self.control, method, path, body, self.host)

    async def federation(self):
        """GET /federation, read."""
        status, text = await self.call("GET", "/federation")
        assert status == 200, text
        return json.loads(text)

    async def until_told(self, so, limit):
        """GET /federation once this holds of it; TimeoutError, with what it told last, if it does not in
        time."""
        told = {}

        async def inner():
            nonlocal told
            while not so(told := await self.federation()):
                await asyncio.sleep(0.05)  # nobody is told when it changes
            return told

        try:
            return await asyncio.wait_for(inner(), limit)
        except TimeoutError:
            raise TimeoutError(f"{self.name} tells {json.dumps(told)}") from None

    async def say(self, path, **fields):
        """POST of a JSON object at its second address: its status and text."""
        return await self.call("POST", path, json.dumps(fields).encode())

    async def offer(self, document):
        """POST /federation/table: its status and text."""
        return await self.call("POST", "/federation/table", json.dumps(document).encode())

    async def client(self):
        return await Program().open(self.listen, self.host)

    async def until_ended(self, ident, limit):
        """The status with which it told the end of this message; TimeoutError if it does not in time."""

        async def inner():
            while not (found := [status for i, status in self.finals() if i == ident]):
                await asyncio.sleep(0.02)  # a file tells nobody that it has grown
            return found[0]

        return await asyncio.wait_for(inner(), limit)

    def finals(self):
        """What it has told of ends, whole lines only: (id, status)."""
        path = self.folder / "finals.jsonl"
        rows = []
        for part in (path.with_name(path.name + ".1"), path):
            for line in part.read_text().splitlines() if part.exists() else ():
                try:
                    row = json.loads(line)
                except ValueError:  # torn by a kill; it comes again
                    continue
                rows.append((row["id"], row["status"]))
        return rows
