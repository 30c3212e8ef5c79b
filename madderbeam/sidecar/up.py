"""`madderbeam up ESTATE`: checks an estate, then runs its couriers in the foreground.

The couriers shut down gracefully when this process exits, even if it is killed: they read end of file on
their standard input.

The rendered files are in a folder that one `up` process locks. A second `up` of the same estate checks and
writes the files, sends SIGHUP to the first, and exits; the first restarts only couriers whose files have
changed. If a check fails, nothing is written and no courier is restarted.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

from madderbeam.config.check import check
from madderbeam.config.diff import differences
from madderbeam.config.platform import parse_address
from madderbeam.config.render import MANIFEST, File, file_digest, render, write
from madderbeam.config.rendered import Unfit, read
from madderbeam.config.sites import first_line
from madderbeam.host.standalone import FOLLOW
from madderbeam.ports.real import RealDisk, RealLock, RealNetwork
from madderbeam.sidecar.log_lines import log_lines
from madderbeam.sidecar.supervisor import Action, Start, Stop, Supervisor

LOCK = "up.lock"
LogLine = Callable[[str], None]


def log_to_stderr(text: str) -> None:
    """Write one log line to standard error; nothing if nobody reads it."""
    with contextlib.suppress(OSError, ValueError):
        print(f"madderbeam up: {text}", file=sys.stderr, flush=True)


def standing(out: Path) -> dict[str, str]:
    """Return the digests of the courier files in a folder of rendered files, by courier name.

    Raises Unfit unless the set is complete: each file must match its digest in the manifest.
    """
    file_digests = read(out / MANIFEST)["files"]
    couriers = {}
    for name, expected_digest in file_digests.items():
        content = read(out / name)
        if file_digest(out / name) != expected_digest:
            raise Unfit(f"{out / name}: is not the file that the manifest names; render the estate again")
        if not name.endswith(".partners.json"):
            couriers[content["name"]] = content["digest"]
    return couriers


class Up:
    """Runs the courier processes of an estate as its supervisor decides."""

    def __init__(self, out: Path, log: LogLine = log_to_stderr) -> None:
        self.out, self.log = out, log
        self.loop = asyncio.get_running_loop()
        self.supervisor = Supervisor(random.Random())
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.changed = asyncio.Event()

    def reload(self) -> None:
        """Apply the files in the folder; if they are unusable, all couriers run on unchanged."""
        try:
            wanted = standing(self.out)
        except Unfit as error:
            self.log(f"reload rejected, running couriers left unchanged: {error}")
            return
        self._do(self.supervisor.want(wanted, self.loop.time()))

    def end(self) -> None:
        """Stop all couriers, after which `wait` returns."""
        self._do(self.supervisor.end(self.loop.time()))

    def _due(self) -> None:
        self._do(self.supervisor.due(self.loop.time()))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            process = self.processes.get(action.name)
            if isinstance(action, Start):
                task = self.loop.create_task(self._run(action.name))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            elif process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM if isinstance(action, Stop) else signal.SIGKILL)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (at := self.supervisor.next_at()) is not None:
            self.timer = self.loop.call_at(at, self._due)
        self.changed.set()

    async def _run(self, name: str) -> None:
        """Run one courier process until it exits, and copy its log lines to standard error."""
        code: int | str = "a failure to start"
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "madderbeam.host.standalone",
                str(self.out / f"{name}.json"),
                FOLLOW,
                stderr=asyncio.subprocess.PIPE,
                stdin=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
        except OSError as error:
            self.log(f"{name}: {error}")
        else:
            self.processes[name] = process
            self.log(f"{name}: started, process {process.pid}")
            assert process.stderr is not None
            await self._copy_log(name, process.stderr)
            code = await process.wait()
            del self.processes[name]
        self.log(f"{name}: exited with {code}")
        self._do(self.supervisor.ended(name, self.loop.time()))

    @staticmethod
    async def _copy_log(name: str, stream: asyncio.StreamReader) -> None:
        """Copy its lines until the process ends; one that can't be printed is dropped."""
        async for line in log_lines(stream):
            with contextlib.suppress(OSError, ValueError):
                print(f"{name}: {line}", file=sys.stderr, flush=True)

    async def wait(self) -> None:
        """Wait until all couriers have exited after a call of `end`."""
        while not self.supervisor.is_shutting_down or self.supervisor.couriers:
            self.changed.clear()
            await self.changed.wait()


def prepared(estate: Path) -> list[File] | None:
    """Return the rendered files of a valid estate; None, after printing the problems, of an invalid one."""
    report = check(estate)
    for line in (*report.problems, *report.warnings):
        print(line)
    if report.loaded is None:
        return None
    if report.loaded.estate.federation is not None:
        print(first_line(report.loaded), flush=True)
    return render(report.loaded)


def lock_folder(out: Path) -> RealLock | int:
    """Lock an estate's folder; return the lock, or the id of the process that holds it (0 if unknown)."""
    out.mkdir(parents=True, exist_ok=True)
    path = out / LOCK
    try:
        lock = RealDisk.lock(str(path))
    except BlockingIOError:
        with contextlib.suppress(OSError, ValueError):
            return int(path.read_text())
        return 0
    os.ftruncate(lock.descriptor, 0)
    os.pwrite(lock.descriptor, b"%d\n" % os.getpid(), 0)
    return lock


def unavailable_addresses(out: Path, files: list[File]) -> list[str]:
    """Return a problem line for each courier whose listen address another process uses.

    It is checked before any courier is restarted. An address that a file in this folder already names is
    skipped, since the courier that runs from that file uses it.
    """
    current_addresses, problems = set(), []
    for path in out.glob("*.json"):
        with contextlib.suppress(Unfit):
            current_addresses.add(read(path).get("listen"))
    for file in files:
        content = json.loads(file.text)
        listen = content.get("listen")
        if listen is None or listen in current_addresses:
            continue
        try:
            _check_available(listen)
        except OSError as error:
            problems.append(
                f"{content['name']}: listen: {listen} can't be had: {error.strerror or error}; "
                "allowed: an address that nobody else has"
            )
    return problems


def _check_available(listen: str) -> None:
    """Raise OSError if the address can't be listened on now."""
    if listen.startswith("unix:"):
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            if probe.connect_ex(listen[5:]) == 0:
                raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return
    RealNetwork.listen(parse_address(listen, "listen"), 1).close()


def _changes(out: Path, files: list[File]) -> list[str]:
    """Return a line for each difference between the files and those in the folder."""
    current = {}
    for file in files:
        with contextlib.suppress(Unfit):
            current[file.name] = read(out / file.name)
    return [
        str(difference) for difference in differences(current, {f.name: json.loads(f.text) for f in files})
    ]


async def _run_estate(out: Path) -> None:
    up = Up(out)
    up.loop.add_signal_handler(signal.SIGHUP, up.reload)
    for sig in (signal.SIGTERM, signal.SIGINT):
        up.loop.add_signal_handler(sig, up.end)
    up.reload()
    await up.wait()


def main(estate: Path, out: Path | None = None) -> int:
    """Run an estate until SIGTERM; if another `up` runs it already, have that one apply the changes.

    Returns the exit code. 1: a check failed; 2: the files can't be written, or the running `up` can't be
    signalled.
    """
    out = out or estate.parent / ".madderbeam" / estate.stem
    files = prepared(estate)
    if files is None:
        return 1
    try:
        lock_or_pid = lock_folder(out)
        if lines := unavailable_addresses(out, files):
            print("\n".join(lines))
            return 1
        if isinstance(lock_or_pid, RealLock):
            write(files, out)
            asyncio.run(_run_estate(out))
            return 0
        for line in _changes(out, files) or ["nothing changes"]:
            print(line)
        write(files, out)
        os.kill(lock_or_pid, signal.SIGHUP) if lock_or_pid else log_to_stderr(
            "another up process has just started: it will read the files itself"
        )
    except OSError as error:
        log_to_stderr(str(error))
        return 2
    return 0
