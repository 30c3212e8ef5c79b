"""`madderbeam up ESTATE`: checks all, then keeps an estate's couriers running in the foreground.

Its couriers end in order when it does, also if it is killed: they see the end of their standard input.

The files stand in a folder that one `up` holds by a lock. A second `up` of the same estate checks and writes
the files, tells the first by SIGHUP, and ends; the first touches only what has changed. If a check fails
nothing is written and nothing is touched.
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
from madderbeam.sidecar.supervisor import Action, Start, Stop, Supervisor

LOCK = "up.lock"
Tell = Callable[[str], None]


def say(text: str) -> None:
    print(f"madderbeam up: {text}", file=sys.stderr, flush=True)


def standing(out: Path) -> dict[str, str]:
    """The couriers in a folder of rendered files, by name, with their files' digests. Only a whole set
    counts: Unfit if the manifest names a file that is not as it was written."""
    names = read(out / MANIFEST)["files"]
    found = {}
    for name, written in names.items():
        content = read(out / name)
        if file_digest(out / name) != written:
            raise Unfit(f"{out / name}: is not the file that the manifest names; render the estate again")
        if not name.endswith(".partners.json"):
            found[content["name"]] = content["digest"]
    return found


class Up:
    """The processes of an estate."""

    def __init__(self, out: Path, tell: Tell = say) -> None:
        self.out, self.tell = out, tell
        self.loop = asyncio.get_running_loop()
        self.supervisor = Supervisor(random.Random())
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.changed = asyncio.Event()

    def reload(self) -> None:
        """Bring into force what stands in the folder; what can't be used leaves all as it is."""
        try:
            wanted = standing(self.out)
        except Unfit as error:
            self.tell(f"nothing is touched: {error}")
            return
        self._do(self.supervisor.want(wanted, self.loop.time()))

    def end(self) -> None:
        """SIGTERM: all couriers end, then this does."""
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
        """One life of a courier."""
        code: int | str = "it could not be started"
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
            self.tell(f"{name}: {error}")
        else:
            self.processes[name] = process
            self.tell(f"{name}: started, process {process.pid}")
            assert process.stderr is not None
            async for line in process.stderr:
                print(f"{name}: {line.decode('utf-8', 'replace').rstrip()}", file=sys.stderr, flush=True)
            code = await process.wait()
            del self.processes[name]
        self.tell(f"{name}: ended with {code}")
        self._do(self.supervisor.ended(name, self.loop.time()))

    async def wait(self) -> None:
        """Until all have ended after `end`."""
        while not self.supervisor.ending or self.supervisor.couriers:
            self.changed.clear()
            await self.changed.wait()


def prepared(estate: Path) -> list[File] | None:
    """The files of an estate that holds; None, with its mistakes told, of one that does not."""
    report = check(estate)
    for line in (*report.problems, *report.warnings):
        print(line)
    if report.loaded is None:
        return None
    if report.loaded.estate.federation is not None:
        print(first_line(report.loaded), flush=True)
    return render(report.loaded)


def hold(out: Path) -> RealLock | int:
    """The lock of an estate's folder, or the process that holds it."""
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


def taken(out: Path, files: list[File]) -> list[str]:
    """The couriers that would not get their address, since somebody else has it: told before any is touched.
    One that runs from this folder has its own."""
    had, found = set(), []
    for path in out.glob("*.json"):
        with contextlib.suppress(Unfit):
            had.add(read(path).get("listen"))
    for file in files:
        content = json.loads(file.text)
        listen = content.get("listen")
        if listen is None or listen in had:
            continue
        try:
            _try(listen)
        except OSError as error:
            found.append(
                f"{content['name']}: listen: {listen} can't be had: {error.strerror or error}; "
                "allowed: an address that nobody else has"
            )
    return found


def _try(listen: str) -> None:
    """OSError if nobody could listen there now."""
    if listen.startswith("unix:"):
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            if probe.connect_ex(listen[5:]) == 0:
                raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return
    RealNetwork.listen(parse_address(listen, "listen"), 1).close()


def _changes(out: Path, files: list[File]) -> list[str]:
    """What the files change against those that stand there."""
    old = {}
    for file in files:
        with contextlib.suppress(Unfit):
            old[file.name] = read(out / file.name)
    return [str(c) for c in differences(old, {f.name: json.loads(f.text) for f in files})]


async def _keep(out: Path) -> None:
    up = Up(out)
    up.loop.add_signal_handler(signal.SIGHUP, up.reload)
    for sig in (signal.SIGTERM, signal.SIGINT):
        up.loop.add_signal_handler(sig, up.end)
    up.reload()
    await up.wait()


def main(estate: Path, out: Path | None = None) -> int:
    """Run an estate until SIGTERM; or, where it runs already, bring its changes into force. 1: a check
    failed; 2: the files can't be written, or whoever runs it can't be told."""
    out = out or estate.parent / ".madderbeam" / estate.stem
    files = prepared(estate)
    if files is None:
        return 1
    try:
        held = hold(out)
        if lines := taken(out, files):
            print("\n".join(lines))
            return 1
        if isinstance(held, RealLock):
            write(files, out)
            asyncio.run(_keep(out))
            return 0
        for line in _changes(out, files) or ["nothing changes"]:
            print(line)
        write(files, out)
        os.kill(held, signal.SIGHUP) if held else say(
            "another up has just begun: it takes the files up itself"
        )
    except OSError as error:
        say(str(error))
        return 2
    return 0
