"""One run of the soak: a courier of its own process, its surroundings, signals, and the judgment."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from loopback import ROOT, Client, Fleet, call, free_address, own_host
from soak_clients import Clients
from soak_copies import Copier
from soak_judge import Course, Judge
from soak_scenario import (
    ACTIVE_S,
    KILL_AFTER_S,
    MEMORY_MB,
    RESTART_AFTER_S,
    Event,
    Scenario,
    Step,
    draw,
)
from soak_world import MoodyEndpoint, Notes, NotingDiscovery

DESTS = {7: 3, 8: 2}  # endpoints of each destination
TAIL_S = 6.5  # behind the active time: until the last message's time and slack are over
NEW_CONNECTIONS_S = (0.2, 0.4)  # behind SIGTERM new connections go on coming so long
LAG_CHECK_S, LAG_MAX_S = 0.05, 0.5  # a run whose judge was later than this is void
LIMITS_CHECK_S = 0.2
PING_PAUSE_S = 0.02
READY = 200  # status of GET /ready
STEPS_IN_TURN = (Step.RESTART, Step.KILL, Step.UPGRADE)  # of the courier's process, one behind the other
START_MAX_S = 20.0
PLANTS = Path(__file__).with_name("soak_plants.py")


@dataclass(frozen=True)
class Outcome:
    """What a run has shown."""

    seed: int
    violations: tuple[str, ...]
    is_void: bool
    requests: int
    accepted: int
    calls: int
    notices: int
    starts: int
    lag_s: float

    def line(self) -> str:
        """For the report."""
        verdict = "void: the judge was late" if self.is_void else f"{len(self.violations)} violations"
        text = (
            f"seed {self.seed}: {verdict}; {self.requests} requests, {self.accepted} accepted, "
            f"{self.calls} calls, {self.notices} notices, {self.starts} starts, lag {self.lag_s * 1e3:.0f} ms"
        )
        return "\n".join([text, *(f"    {violation}" for violation in self.violations[:8])])


class Soak(Fleet):
    """The fleet of one run, with one courier."""

    def __init__(self, folder: Path, scenario: Scenario, plant: str = "") -> None:
        super().__init__(folder, scenario.settings(), sockets=scenario.sockets, memory_mb=MEMORY_MB)
        self.scenario, self.plant = scenario, plant
        self.notes, self.course = Notes(), Course()
        self.rng = random.Random(f"run {scenario.seed}")
        self.copier = Copier(scenario.copies, f"copies {scenario.seed}")
        self.discovery = NotingDiscovery(self.notes)
        self.discovery.copier = Copier(scenario.agent_copies, f"agent copies {scenario.seed}")
        self.address = free_address(own_host())
        self.is_ending = False
        self.connects_until_s = float("inf")
        self.crowd: list[socket.socket] = []
        self.clients = Clients(self.notes, self.rng, self.address, tuple(DESTS), scenario)
        self.clients.may_connect = lambda: time.monotonic() < self.connects_until_s

    async def add_endpoint(self, dest: int, name: str) -> str:
        """Start an endpoint and list it."""
        uid = f"{dest}-{name}"
        endpoint = MoodyEndpoint(uid, self.notes, self.scenario, self.rng, self.copier)
        self.endpoints[uid] = await endpoint.start()
        self.discovery.target(uid, endpoint.port, dest)
        return uid

    async def _add_late_endpoint(self, dest: int, name: str, seconds: float) -> None:
        """List an endpoint at once, and have it listen after a while."""
        uid = f"{dest}-{name}"
        address = free_address("127.0.0.1")
        self.notes.note(f"{uid} is listed and does not listen")
        self.discovery.target(uid, address[1], dest)
        self.discovery._push(self.discovery.whole())
        await asyncio.sleep(seconds)
        endpoint = MoodyEndpoint(uid, self.notes, self.scenario, self.rng, self.copier)
        with contextlib.suppress(OSError):  # an outgoing connection has its port: it never listens
            self.endpoints[uid] = await endpoint.start(address[1])
        self.notes.note(f"{uid} listens")

    # The courier's process

    async def _spawn(self) -> asyncio.subprocess.Process:
        """Begin a process of the courier, with a second address of its own."""
        self.control = free_address(self.address[0])
        env = {
            **os.environ,
            **self.env(),
            "LB_LISTEN": "{}:{}".format(*self.address),
            "LB_CONTROL": "{}:{}".format(*self.control),
        }
        program = [str(PLANTS), self.plant] if self.plant else ["-m", "madderbeam"]
        if self.plant:
            env["PYTHONPATH"] = str(ROOT)
        with (self.folder / "courier.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, *program, env=env, cwd=ROOT, stderr=log
            )

    async def start(self) -> None:
        """Start it, and wait until it answers PING."""
        self.notes.life += 1
        self.connects_until_s = float("inf")
        began = time.monotonic()
        self.process = await self._spawn()
        self.notes.note(f"life {self.notes.life} starts")
        while time.monotonic() < began + START_MAX_S:
            if self.process.returncode is not None:
                self.course.crashes.append(f"crash: it ends at its start with {self.process.returncode}")
                return
            if await self._answers_ping():
                break
            await asyncio.sleep(PING_PAUSE_S)
        self.course.ready_after_s.append(time.monotonic() - began)
        self.notes.note("it answers PING")
        self.is_ending = False

    async def _answers_ping(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            client = await Client().open(self.address[1], self.address[0])
            try:
                return await client.send(Client.command(b"PING")) == "+PONG"
            finally:
                client.writer.close()
        return False

    async def _is_ready(self) -> bool:
        """Whether its second address says that it has charge."""
        with contextlib.suppress(OSError, IndexError, TimeoutError):
            status, _ = await call(self.control[1], "GET", "/ready", host=self.control[0])
            return status == READY
        return False

    async def _upgrade(self) -> None:
        """Start a second process; once it has charge, end the first with SIGTERM."""
        began, first = time.monotonic(), self.process
        self.notes.note("an upgrade begins")
        second = await self._spawn()
        while not await self._is_ready():
            if second.returncode is not None or time.monotonic() > began + START_MAX_S:
                self.course.crashes.append(f"crash: an upgrade's process ends with {second.returncode}")
                return
            await asyncio.sleep(PING_PAUSE_S)
        self.process = second
        self.course.ready_after_s.append(time.monotonic() - began)
        self.notes.note("the second process has charge")
        first.send_signal(signal.SIGTERM)
        if (status := await asyncio.wait_for(first.wait(), START_MAX_S)) != 0:
            self.course.crashes.append(f"crash: the process before an upgrade ends with {status}")

    def send(self, number: int) -> None:
        """Send it a signal, if it lives."""
        if self.process.returncode is None:
            self.notes.note(f"{signal.Signals(number).name}")
            self.process.send_signal(number)

    async def _restart(self, event: Event) -> None:
        since = time.monotonic()
        self.is_ending = True
        for at_s in event.hangups:
            if at_s < 0:
                self.send(signal.SIGHUP)
                await asyncio.sleep(-at_s)
        self.send(signal.SIGTERM)
        term_s = time.monotonic()
        self.connects_until_s = term_s + self.rng.uniform(*NEW_CONNECTIONS_S)
        behind = [(at_s, signal.SIGHUP) for at_s in event.hangups if at_s >= 0]
        behind += [(event.again, signal.SIGTERM)] if event.again else []
        for at_s, number in sorted(behind):
            await asyncio.sleep(max(0.0, term_s + at_s - time.monotonic()))
            self.send(number)
        await asyncio.sleep(max(0.0, term_s + KILL_AFTER_S - time.monotonic()))
        await self._kill_and_start(since)

    async def _kill_and_start(self, since_s: float) -> None:
        self.is_ending = True
        if self.process.returncode is None:
            self.course.kills.append(time.monotonic())
            self.send(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        await self.start()
        self.course.restarts.append((since_s, time.monotonic()))

    # What happens

    async def _play(self, began: float) -> None:
        for event in self.scenario.events:
            if event.step in STEPS_IN_TURN:
                continue
            self.clients.spawn(self._step(event, began))
        for event in self.scenario.events:
            if event.step not in STEPS_IN_TURN:
                continue
            await asyncio.sleep(max(0.0, began + event.at_s - time.monotonic()))
            if event.step is Step.RESTART:
                await self._restart(event)
            elif event.step is Step.UPGRADE:
                await self._upgrade()
            else:
                await self._kill_and_start(time.monotonic())

    async def _step(self, event: Event, began: float) -> None:
        await asyncio.sleep(max(0.0, began + event.at_s - time.monotonic()))
        if event.step is Step.HANGUP and not self.is_ending:
            self.send(signal.SIGHUP)
        elif event.step is Step.SILENCE:
            self.notes.note("discovery is silent")
            self.discovery.be_silent(True)
            await asyncio.sleep(event.seconds)
            self.notes.note("discovery speaks")
            self.discovery.be_silent(False)
        elif event.step is Step.LATE_ENDPOINT:
            dest = self.rng.choice(list(DESTS))
            await self._add_late_endpoint(dest, f"late{len(self.endpoints)}", event.seconds)
        elif event.step in (Step.DRAIN, Step.REPLACE):
            uid = self.rng.choice(
                [u for u, t in self.discovery.targets.items() if t["state"] == "in_service"]
            )
            if event.step is Step.REPLACE:
                await self.add_endpoint(int(uid.partition("-")[0]), f"new{len(self.endpoints)}")
            if self._in_service(uid) > 1:
                self.notes.note(f"{uid} drains")
                self.discovery.change(uid, state="terminating")
            self.discovery._push(self.discovery.whole())

    def _in_service(self, uid: str) -> int:
        dest = self.discovery.targets[uid]["pod_group"]
        targets = self.discovery.targets.values()
        return sum(t["pod_group"] == dest and t["state"] == "in_service" for t in targets)

    def _open_crowd(self) -> None:
        """Idle clients, as many as its descriptors."""
        for _ in range(self.scenario.crowd):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.crowd.append(sock)

    async def _watch_lag(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = time.monotonic() - began - LAG_CHECK_S
            self.course.judge_lag_s = max(self.course.judge_lag_s, lag_s)

    async def _watch_limits(self) -> None:
        while True:
            await asyncio.sleep(LIMITS_CHECK_S)
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.course.descriptors_max = max(self.course.descriptors_max, count)
                status = Path(f"/proc/{self.process.pid}/status").read_text()
                peak_kb = int(status.partition("VmHWM:")[2].split()[0])
                self.course.memory_mb_max = max(self.course.memory_mb_max, peak_kb / 1024)
            if self.process.returncode is not None and not self.is_ending:
                self.course.crashes.append(f"crash: it ends with {self.process.returncode}")
                self.is_ending = True

    async def run(self) -> Outcome:
        """Play the scenario and judge it."""
        for dest, count in DESTS.items():
            for n in range(count):
                await self.add_endpoint(dest, str(n))
        watchers = [asyncio.create_task(self._watch_lag())]
        await self.start()
        watchers.append(asyncio.create_task(self._watch_limits()))
        self._open_crowd()
        began = time.monotonic()
        await asyncio.gather(self.clients.send_for(ACTIVE_S), self._play(began))
        await asyncio.sleep(TAIL_S)
        self.course.ended_s = time.monotonic()
        for watcher in watchers:
            watcher.cancel()
        await self.clients.stop()
        for sock in self.crowd:
            sock.close()
        return self._outcome()

    def _outcome(self) -> Outcome:
        requests, notes, course = self.clients.requests, self.notes, self.course
        violations = tuple(Judge(self.scenario, notes, requests, course).violations())
        (self.folder / "events.log").write_text("\n".join(notes.log))
        accepted = sum(request.answer.startswith("+") for request in requests)
        return Outcome(
            self.scenario.seed,
            violations,
            course.judge_lag_s > LAG_MAX_S,
            len(requests),
            accepted,
            len(notes.calls),
            len(notes.notices),
            notes.life,
            course.judge_lag_s,
        )


def play(seed: int, folder: Path, plant: str = "") -> Outcome:
    """Play the run of a seed; its log and the order of events are left in the folder."""
    return play_scenario(draw(seed), folder, plant)


def play_scenario(scenario: Scenario, folder: Path, plant: str = "") -> Outcome:
    """Play this run; its log and the order of events are left in the folder."""

    async def inner() -> Outcome:
        async with Soak(folder, scenario, plant) as soak:
            return await soak.run()

    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(inner())
