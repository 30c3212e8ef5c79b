"""Scripted endpoints, discovery and clients on loopback sockets, for the tests of the real courier."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import resource
import signal
import socket
import struct
import sys
import weakref
from dataclasses import replace

from madderbeam.config.platform import load, load_sidecar
from madderbeam.host.composition import assemble
from madderbeam.host.standalone import claim_resources
from madderbeam.ports.real import RealDisk, real_ports

ROOT = pathlib.Path(__file__).parent.parent
LIMIT = 15.0  # no wait of a test lasts longer
FIRST_NET, NETS, NET_SIZE = 220, 30, 250  # of the loopback addresses of tests
_hosts = itertools.count()


def settings(**changes):
    """Settings as on the wire; a change is given as group__name=value."""
    raw = {
        "classes": [
            {
                "name": "safe",
                "goalTimeUs": 1_000_000,
                "deadlineUs": 6_000_000,
                "idempotency": "read_like",
                "worth": 2.0,
            },
            {
                "name": "keyed",
                "goalTimeUs": 2_000_000,
                "deadlineUs": 9_000_000,
                "idempotency": "idempotency_key",
                "keyScope": "all",
                "keyTtlUs": 8_000_000,
            },
            {
                "name": "unsafe",
                "goalTimeUs": 500_000,
                "deadlineUs": 9_000_000,
                "idempotency": "non_idempotent",
            },
        ],
        "clients": {"marksRetry": True},
        "groupSize": 2,
        "me": 0,
        "stepUs": 5000,
        "contract": {
            "coldShare": 0.15,
            "coldUs": 1_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
        },
        "familyInfo": {"maxCalls": 12, "kindApart": [False, False], "kindBatch": [1, 5]},
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_000_000,
            "maxOpen": 40,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probing": True,
        },
        "localities": ["here"],
        "shapes": ["plain", "bundles"],
        "weightSource": "nominal",
        "tenants": [{"name": "t", "fraction": 1.0, "quotaPerS": 1000.0}],
    }
    for name, value in changes.items():
        group, _, key = name.partition("__")
        raw[group][key] = value
    return raw


def own_host():
    """A loopback address that nobody else uses: no outgoing connection takes a port that is freed there."""
    pid = os.getpid()
    return f"127.{FIRST_NET + pid // NET_SIZE % NETS}.{pid % NET_SIZE}.{1 + next(_hosts) % NET_SIZE}"


def free_address(host):
    """An address there at which nobody listens."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return host, int(sock.getsockname()[1])


async def bounded(awaitable):
    return await asyncio.wait_for(awaitable, LIMIT)


class Server:
    """A TCP server on a free port; `serve` handles one connection."""

    def __init__(self):
        self.server, self.port, self.writers = None, 0, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port or self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def drop(self):
        """Close the connections that are open."""
        for writer in list(self.writers):
            writer.close()

    async def stop(self):
        self.server.close()
        self.drop()


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = head[0].split()
    return method, path, headers, body


def answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Endpoint(Server):
    """Answers calls by a script, then 200 with a body of its own. A step is bytes, a function of the body,
    'reset', 'hang' or 'hold', which is 200 once `release` is set."""

    def __init__(self, *script):
        super().__init__()
        self.script, self.calls, self.accepted = list(script), asyncio.Queue(), 0
        self.ended, self.release = asyncio.Queue(), asyncio.Event()
        self.successes = 0

    def success(self):
        """200 with a body that differs from all others."""
        self.successes += 1
        return answer(200, b"%08x" % self.successes)

    async def serve(self, reader, writer):
        self.accepted += 1
        try:
            while True:
                method, path, headers, body = await read_request(reader)
                self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
                step = self.script.pop(0) if self.script else self.success()
                if step == "reset":
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                if step == "hang":
                    await reader.read()
                    return
                if step == "hold":
                    await self.release.wait()
                    step = self.success()
                writer.write(step if isinstance(step, bytes) else step(body))
        finally:
            self.ended.put_nowait(None)

    async def call(self):
        return await bounded(self.calls.get())


class Discovery(Server):
    """The agent: a list that changes, a watch, and the notices."""

    def __init__(self):
        super().__init__()
        self.rev, self.targets, self.finals, self.watches = 1, {}, asyncio.Queue(), asyncio.Queue()
        self.watchers, self.notice_status, self.silent = [], [], False
        self.heard = []  # ids of notices, by connection: one with a late answer is told again, on a new one

    def target(self, uid, port, dest, kind="plain", state="in_service", rate=100.0):
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": "here",
            "model": kind,
            "pod_group": dest,
            "state": state,
            "capacity_hint": rate,
            "boot_ms": 0,
        }
        return self.targets[uid]

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, uid, **values):
        self.rev += 1
        self.targets[uid].update(values)
        self._push({"rev": self.rev, "all": False, "targets": [self.targets[uid]]})

    def _push(self, line):
        for writer in self.watchers:
            self._chunk(writer, json.dumps(line).encode())

    def _write(self, writer, data):
        writer.write(data)

    def _chunk(self, writer, text):
        self._write(writer, b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    async def serve(self, reader, writer):
        self.heard.append(heard := [])
        while True:
            method, path, headers, body = await read_request(reader)
            if path.startswith("/discovery"):
                self.watches.put_nowait(path)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._chunk(writer, json.dumps(self.whole()).encode())
                self.watchers.append(writer)
                await reader.read()
                self.watchers.remove(writer)
                return
            status = self.notice_status.pop(0) if self.notice_status else 204
            lines = [json.loads(line) for line in body.splitlines()]
            self._notices_read(writer, status, lines)
            heard += [line["id"] for line in lines]
            self._write(writer, b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status)

    def _notices_read(self, writer, status, lines):
        """A batch of notices has come, and is about to be answered."""
        for line in lines:
            self.finals.put_nowait((status, line))

    async def final(self, status=204):
        while True:
            got, line = await bounded(self.finals.get())
            if got == status:
                return line

    async def ended(self, count):
        """The ids of so many messages whose notices come, however often each does."""
        ids = set()
        while len(ids) < count:
            ids.add((await self.final())["id"])
        return ids


class Client:
    """Hands messages in."""

    def __init__(self):
        self.reader = self.writer = None
        self.count = 0

    async def open(self, port, host="127.0.0.1"):
        self.reader, self.writer = await bounded(asyncio.open_connection(host, port))
        return self

    async def open_sending(self, port, data, host="127.0.0.1"):
        """Connect and send in one go: other tasks of a busy event loop do not come in between."""
        sock = socket.create_connection((host, port))
        sock.setblocking(False)
        sent = sock.send(data)
        self.reader, self.writer = await bounded(asyncio.open_connection(sock=sock))
        self.writer.write(data[sent:])
        return self

    @staticmethod
    def command(*args):
        return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args)

    @classmethod
    def message(cls, ident, kind="safe", dest=7, life=6000, body=b"hello", key=""):
        fields = f"c={kind},t=t,d={life},dest={dest}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), body)

    async def line(self):
        return (await bounded(self.reader.readuntil(b"\r\n"))).decode().strip()

    async def send(self, data):
        self.writer.write(data)
        return await self.line()

    async def put(self, ident, **more):
        return await self.send(self.message(ident, **more))


async def call(port, method, path, body=b"", host="127.0.0.1"):
    """One call at the second address: its status and text."""
    reader, writer = await bounded(asyncio.open_connection(host, port))
    writer.write(
        b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        % (method.encode(), path.encode(), len(body), body)
    )
    text = (await bounded(reader.read())).decode()
    writer.close()
    return int(text.split()[1]), text.partition("\r\n\r\n")[2]


async def figures(port, host="127.0.0.1"):
    """All figures, by name."""
    _, text = await call(port, "GET", "/metrics", host=host)
    return {name: int(value) for name, value in (line.split("=") for line in text.splitlines())}


def beside(path, **changes):
    """A courier from a rendered file, in this process, on free ports: the host, not started, and its lock."""
    loop = asyncio.get_running_loop()
    config = replace(load_sidecar(str(path), RealDisk()), listen=("127.0.0.1", 0))
    if config.kafka is not None:  # an address of its own, since the guard holds the first by its name
        own = ("127.0.0.2", 0)
        config = replace(config, kafka=replace(config.kafka, listen=own, advertised=own))
    ports, lock = claim_resources(config, real_ports(loop))
    return assemble(loop, ports, config), lock


class Fleet:
    """Endpoints and discovery, with the courier either in this process or in one of its own."""

    def __init__(self, folder, raw=None, **limits):
        self.folder, self.raw = folder, raw or settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3, **limits}
        self.discovery, self.endpoints, self.host, self.process = Discovery(), {}, None, None
        self.controlled = False
        self.opened = weakref.WeakSet()  # clients: a writer that outlives its loop raises as it is collected

    async def __aenter__(self):
        (self.folder / "state").mkdir(exist_ok=True)
        await self.discovery.start()
        return self

    async def __aexit__(self, *_):
        for client in self.opened:
            client.writer.close()
        if self.host:
            self.host.close()
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for server in (self.discovery, *self.endpoints.values()):
            await server.stop()

    async def endpoint(self, uid, *script, dest=7, kind="plain", rate=100.0):
        endpoint = self.endpoints[uid] = await Endpoint(*script).start()
        self.discovery.target(uid, endpoint.port, dest, kind, rate=rate)
        return endpoint

    def env(self):
        config = {
            "name": "n0",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.discovery.whole(),
            "settings": self.raw,
        }
        if self.controlled:
            config["control"] = "127.0.0.1:0"
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return {
            "LB_NAME": "n0",
            "LB_LISTEN": "127.0.0.1:0",
            "LB_CONFIG": str(path),
            "LB_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "LB_STATE": str(self.folder / "state"),
        }

    async def inside(self):
        """Start the courier in this process; returns a client of it."""
        loop = asyncio.get_running_loop()
        self.host = assemble(loop, real_ports(loop), load(self.env(), RealDisk()))
        return await self._open(self.host.start())

    async def _open(self, port):
        self.opened.add(client := await Client().open(port))
        return client

    def control(self):
        """The port of the second address, asked for with `controlled`."""
        return self.host.control.sock.getsockname()[1]

    def port_of_host(self):
        return self.host.clients.sock.getsockname()[1]

    async def outside(self, files=0):
        """Start the courier in a process of its own; returns a client of it."""

        def limit():
            if files:
                resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            env={**os.environ, **self.env()},
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit,
        )
        while True:
            line = (await bounded(self.process.stderr.readline())).decode()
            assert line, "the courier ended"
            if "is ready on port" in line:
                self.port = int(line.split("is ready on port ")[1].split()[0])
                return await self._open(self.port)

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await bounded(self.process.wait())


def courier(test):
    """Runs a test with a fleet."""

    def run(tmp_path):
        async def inner():
            async with Fleet(tmp_path) as fleet:
                await test(fleet)

        asyncio.run(inner())

    return run
