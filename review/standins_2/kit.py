"""What the cases share: the record, a partner, discovery, RESP clients and the courier's process."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
LONGEST_S = 116  # a case runs for 120 s at most


class CouldNotRunError(Exception):
    """The case could not be played as meant; it says nothing of the rule."""


class Record:
    """Writes record.txt, a line an event, and remembers the events."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.lock, self.started = threading.Lock(), time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


def free_port() -> int:
    """Return a loopback port at which nobody listens."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def wait_for(what: Callable[[], Any], seconds: float, name: str) -> Any:
    """Return the first true value; CouldNotRunError if there is none in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if found := what():
            return found
        time.sleep(0.01)
    raise CouldNotRunError(f"{name}: not within {seconds} s")


class HttpServer:
    """A small HTTP/1.1 server, a thread a connection; `handle` answers or returns None to stay silent."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.sock.listen(64)
        self.port = int(self.sock.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        data = b""
        with conn, contextlib.suppress(OSError):
            while True:
                while b"\r\n\r\n" not in data:
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
                size = int(headers.get("content-length", 0))
                while len(data) < size:
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                body, data = data[:size], data[size:]
                method, path, _ = lines[0].split(" ")
                self.handle(conn, method, path, headers, body)

    def handle(
        self, conn: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


def reply(conn: socket.socket, status: int, body: bytes = b"", **headers: Any) -> None:
    """Write one whole answer."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    conn.sendall("\r\n".join([*lines, "", ""]).encode() + body)


class Partner(HttpServer):
    """An endpoint as PROTOCOL describes it: it runs each call, then answers as `answer` says.

    `answer(id, count)` returns (seconds until the answer, status, headers); a status of 0 never answers.
    """

    def __init__(
        self, record: Record, name: str, answer: Callable[[str, int], tuple[float, int, dict[str, Any]]]
    ):
        self.record, self.name, self.answer = record, name, answer
        self.calls: list[tuple[float, str, bytes, int]] = []  # time, id, body and what was answered
        super().__init__()

    def handle(
        self, conn: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Run one call."""
        if method == "GET":
            reply(conn, 404)
            return
        ident = headers.get("x-request-id", "")
        after_s, status, more = self.answer(ident, len(self.calls))
        self.calls.append((time.time(), ident, body, status))
        ran = status in (0, 200, 500)
        self.record(f"{self.name}: call {ident} body {body[:20]!r} {'has run' if ran else 'was turned away'}")
        time.sleep(after_s)
        if not status:
            time.sleep(100)  # it hangs: no answer on this connection
            return
        with contextlib.suppress(OSError):
            reply(conn, status, **more)
            self.record(f"{self.name}: answered {status} {more or ''} to {ident}")

    def runs_of(self, body: bytes) -> int:
        """How often a message with this body has run here."""
        return sum(1 for _, _, found, status in self.calls if found == body and status in (0, 200, 500))


class Discovery(HttpServer):
    """The agent of PROTOCOL: the list, a watch and the finals."""

    def __init__(self, record: Record, targets: list[dict[str, Any]]) -> None:
        self.record, self.targets = record, targets
        self.finals: list[tuple[float, dict[str, Any]]] = []
        super().__init__()

    @property
    def list(self) -> dict[str, Any]:
        """The whole list."""
        return {"rev": 41, "all": True, "targets": self.targets}

    def handle(
        self, conn: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Answer one call."""
        if method == "POST":
            for line in body.splitlines():
                self.finals.append((time.time(), json.loads(line)))
                self.record(f"discovery: notice {line.decode()}")
            reply(conn, 204)
        elif "watch=1" in path:
            conn.sendall(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.list).encode() + b"\n"
            while True:
                conn.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                time.sleep(2)
                line = b"\n"
        else:
            reply(conn, 200, json.dumps(self.list).encode())


def target(number: int, dest: int, port: int, kind: str = "plain") -> dict[str, Any]:
    """Return an entry of the list."""
    return {
        "uid": f"s-{number}",
        "endpoint": f"{HOST}:{port}",
        "az": "here",
        "model": kind,
        "pod_group": dest,
        "state": "in_service",
        "capacity_hint": 50.0,
        "boot_ms": 0,
    }


def message_class(name: str, effect: str, wanted_s: float, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Return a class as the settings have it."""
    row = {
        "name": name,
        "goalTimeUs": int(wanted_s * 1e6),
        "deadlineUs": int(deadline_s * 1e6),
        "idempotency": effect,
        "keyScope": "all",
        "keyTtlUs": 15_000_000,
        "worth": 1.0,
        "lateShare": 0.4,
    }
    return row | more


def settings(
    classes: list[dict[str, Any]], tenants: list[str], max_held: int = 60, **more: Any
) -> dict[str, Any]:
    """Return settings as those of a small deployment, with the figures of the site file."""
    return {
        "classes": classes,
        "clients": {"marksRetry": True},
        "groupSize": 1,
        "me": 0,
        "stepUs": 5000,
        "contract": {
            "coldShare": 0.15,
            "coldUs": 12_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
            "keyRestUs": 2_000_000,
        },
        "familyInfo": {"maxCalls": 18, "kindApart": [False], "kindBatch": [1]},
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_500_000,
            "maxOpen": max_held,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probing": False,
        },
        "localities": ["here"],
        "shapes": ["plain"],
        "weightSource": "nominal",
        "tenants": [{"name": name, "fraction": 1 / len(tenants), "quotaPerS": 1000.0} for name in tenants],
    } | more


class Courier:
    """The project's program as a process of its own, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: pathlib.Path, name: str = "n1") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.process: subprocess.Popen[bytes] | None = None
        self.port = free_port()
        self.state = folder / f"{name}-state"
        self.log = (folder / f"{name}.log").open("ab")
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self.run = str(tomllib.load(file)["run"])

    def start(self, arguments: str = "", environment: dict[str, str] | None = None) -> None:
        """Start it and wait until it answers PING."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env["PYTHONPATH"] = str(ROOT / "review/standins_2/fallback")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"{self.run} {arguments}".strip()],
            cwd=ROOT,
            env=env | (environment or {}),
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.record(f"courier {self.name}: started, process {self.process.pid}")
        wait_for(self._answers, 15, f"courier {self.name} is not ready")
        self.record(f"courier {self.name}: answers PING")

    def _answers(self) -> bool:
        assert self.process is not None
        if self.process.poll() is not None:
            raise CouldNotRunError(f"courier {self.name} ended with {self.process.returncode}")
        with contextlib.suppress(OSError), socket.create_connection((HOST, self.port), 0.5) as sock:
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return sock.recv(100).startswith(b"+PONG")
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.record(f"courier {self.name}: {number.name}")
        self.process.send_signal(number)

    def stop(self, gently: bool = True) -> None:
        """End it: SIGTERM, and SIGKILL 3.7 s later; without `gently` SIGKILL alone."""
        assert self.process is not None
        if gently:
            self.signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(3.7)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait(10)
        self.record(f"courier {self.name}: has ended with {self.process.returncode}")

    def end(self) -> None:
        """End it if it still runs, at the end of the case."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


def request(ident: str, fields: str, body: bytes, order: str = "0000000000000000") -> bytes:
    """Return a MSG.PUT as it goes over the wire."""
    args = [b"MSG.PUT", order.encode(), ident.encode(), fields.encode(), body]
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args)


class Client:
    """A client on RESP2, with one connection."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.sock = socket.create_connection((HOST, port), 2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(2)

    def put(self, ident: str, fields: str, body: bytes, order: str = "0000000000000000") -> str:
        """Hand a message in; return the first line of the answer, "" if there is none in 2 s."""
        data = request(ident, fields, body, order)
        found = b""
        with contextlib.suppress(OSError):
            self.sock.sendall(data)
            while not found.endswith(b"\r\n"):
                more = self.sock.recv(1000)
                if not more:
                    break
                found += more
        text = found.decode("latin-1").strip()
        self.record(f"client: {ident} {fields} {body[:20]!r} -> {text or 'no answer'}")
        return text


def play(folder: pathlib.Path, case: Callable[[Record, pathlib.Path, list[Any]], bool]) -> int:
    """Play one case in a temporary folder and return the exit code; `case` returns whether the rule held.

    What it appends to its list is ended behind it.
    """
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    started: list[Any] = []

    def too_long() -> None:
        record(f"the case could not run: it took over {LONGEST_S} s")
        for one in started:
            one.end()
        os._exit(COULD_NOT_RUN)

    limit = threading.Timer(LONGEST_S, too_long)
    limit.daemon = True
    limit.start()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = case(record, pathlib.Path(temporary), started)
            code = HELD if held else BROKEN
            record("the rule held" if held else "THE RULE WAS BROKEN")
        except CouldNotRunError as error:
            record(f"the case could not run: {error}")
            code = COULD_NOT_RUN
        except Exception as error:
            record(f"the case could not run: {error!r}")
            code = COULD_NOT_RUN
        finally:
            for one in started:
                one.end()
            limit.cancel()
            for log in sorted(pathlib.Path(temporary).glob("*.log")):
                for line in log.read_text("utf-8", "replace").splitlines()[-60:]:
                    record.file.write(f"log {log.stem}: {line}\n")
            record.file.close()
    print((folder / "record.txt").read_text().rstrip().rpartition("\nlog")[0][-300:] or code, file=sys.stderr)
    return code
