"""Simulation of a primary and its standby: real state machines, journal, copy and records on simulated disks.

Each side's clock drifts; a side may be paused, be killed at any disk operation, and run out of disk space;
each direction of the network may be cut. A small courier accepts messages, attempts them, reports outcomes.
"""

from __future__ import annotations

import heapq
import itertools
import random
import zlib
from collections import Counter, defaultdict
from dataclasses import replace

from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.federation.runner import Runner
from madderbeam.host.standby.copy import JournalCopy, mark_possibly_executed
from madderbeam.host.standby.journal import ReplicatedJournal
from madderbeam.host.standby.shared import ObservedRunner
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError
from madderbeam.journal.steady_clock import BOOT_ID_PATH
from madderbeam.replication import cursor, primary
from madderbeam.replication.primary import Primary
from madderbeam.replication.standby import Standby
from madderbeam.replication.values import (
    Abort,
    Appended,
    AwaitAck,
    CloseConnection,
    ComputeDigest,
    ConnectionLost,
    DigestResult,
    HandoverCompleted,
    HelloReceived,
    MessageReceived,
    Proceed,
    Promote,
    ReadResult,
    ReadSegment,
    RemoveResult,
    RemoveSegment,
    SegmentRemoved,
    SendMessage,
    Settings,
    ShutdownCompleted,
    Stop,
    TakeOver,
    WriteResult,
    WriteSegment,
)
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Killed

LIMIT, WALL = 200_000, 1.7e9
SAFE, UNSAFE, KEYED = 0, 1, 2
WINDOW_S = 2.5  # how long the partner remembers a key, from its first byte
LATENCY_US = (200, 3_000)
# Small chunks, so that catching up takes many steps.
cursor.MAX_CHUNK_BYTES, primary.MAX_CHUNK_BYTES, primary.SEND_WINDOW_BYTES = 512, 512, 4096


class Clock:
    """A machine's clock: it drifts and has its own zero."""

    def __init__(self, world, ppm, zero):
        self.world, self.ppm, self.zero = world, ppm, zero

    def monotonic_us(self):
        return self.zero + self.world.now + self.world.now * self.ppm // 1_000_000

    def wall(self):
        return WALL + self.world.now / 1e6


class Timer:
    def __init__(self):
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class World:
    """The simulated time, network and both sides; `mode`, `silent`, `takeover` as in the settings."""

    def __init__(self, seed, mode="before", silent="refuse", takeover="person", drift_ppm=1_000, then=None):
        self.chance, self.now = random.Random(f"standby {seed}"), 0
        self.settings = Settings(mode, silent, 1_000_000, 20_000, takeover, drift_ppm, LIMIT, "form")
        self.then = replace(self.settings, **then) if then else self.settings  # of its later incarnations
        self.pause_on_send_us = 0  # pause of the primary when it next sends something
        self.queue, self.count = [], itertools.count()
        self.cut = {"a": False, "b": False}  # whether messages from this side are delayed
        self.taken, self.refused, self.unconfirmed = {}, set(), set()
        self.effects = defaultdict(list)  # by id: (side, time, class) of each first byte
        self.notices = defaultdict(list)  # notices by id
        self.over_at = None  # when the standby took over, for the first time
        self.late_effects = []  # effects of the former primary since then
        self.seen_events = Counter()  # what the random schedule has caused
        ppm = drift_ppm // 2
        self.a = Side(self, "a", -ppm if seed % 2 else ppm, 5_000_000)
        self.b = Side(self, "b", ppm if seed % 2 else -ppm, 900_000_000)
        self.link = None
        self.links = itertools.count(1)

    # Time

    def schedule(self, delay_us, action):
        heapq.heappush(self.queue, (self.now + int(delay_us), next(self.count), action))

    def run(self, until_us):
        while self.queue and self.queue[0][0] <= until_us:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until_us

    # Network

    def dial(self, side):
        """Open the primary's connection, if both directions work."""
        if side.incarnation is not None and self.link is None and side.role == "owner":
            if not (self.cut["a"] or self.cut["b"]) and self.b.incarnation is not None:
                self.link = Link(self, next(self.links))
                self.schedule(1000, self.link.hello)
            else:
                self.schedule(
                    200_000,
                    lambda incarnation=side.incarnation: side.incarnation == incarnation and self.dial(side),
                )


class Link:
    """A connection: messages arrive in order unless it breaks; messages in a cut direction wait."""

    def __init__(self, world, number):
        self.world, self.number, self.open = world, number, True
        self.held = {"a": [], "b": []}
        self.free_at = {"a": 0, "b": 0}
        self.last_received_us = {"a": world.now, "b": world.now}
        world.schedule(500_000, self.check_silence)

    def hello(self):
        if self.open and self.world.a.incarnation is not None:
            self.send("a", "hello", self.world.a.machine.hello_row())

    def send(self, source, channel, row):
        if not self.open:
            return
        if source == "a" and self.world.pause_on_send_us:
            self.world.a.paused_until, self.world.pause_on_send_us = (
                self.world.now + self.world.pause_on_send_us,
                0,
            )
        if self.world.cut[source] or self.held[source]:
            self.held[source].append((channel, row))
            return
        world = self.world
        arrival_us = max(self.free_at[source], world.now + world.chance.randint(*LATENCY_US))
        self.free_at[source] = arrival_us
        side = world.b if source == "a" else world.a
        world.schedule(arrival_us - world.now, lambda: self._arrive(side, channel, row))

    def release(self):
        for source in ("a", "b"):
            if not self.world.cut[source]:
                held, self.held[source] = self.held[source], []
                for channel, row in held:
                    self.send(source, channel, row)

    def _arrive(self, side, channel, row):
        """Deliver a message unless the connection broke before it arrived; a paused reader gets it later."""
        if self.open and (incarnation := side.incarnation) is not None:
            self.last_received_us[side.name] = self.world.now
            side.run_when_awake(
                lambda: side.incarnation == incarnation and side.receive(self.number, channel, row)
            )

    def check_silence(self):
        """Close a connection that a side finds silent."""
        if not self.open:
            return
        for side in (self.world.a, self.world.b):
            if (
                self.world.now - self.last_received_us[side.name] > 1_500_000
                and side.paused_until <= self.world.now
            ):
                self.close()
                return
        self.world.schedule(500_000, self.check_silence)

    def close(self):
        if not self.open:
            return
        self.open, world = False, self.world
        if world.link is self:
            world.link = None
        for side, other in ((world.a, world.b), (world.b, world.a)):
            # The end of the connection does not pass a cut: the other side detects it by silence.
            late = 1_500_000 if world.cut[other.name] and side is world.a else 2_000
            world.schedule(
                late,
                lambda side=side: side.run_when_awake(
                    lambda: side.incarnation is not None and side.on_connection_lost(self)
                ),
            )
        world.schedule(
            1_550_000 if world.cut["b"] else 50_000,
            lambda: world.a.run_when_awake(lambda: world.dial(world.a)),
        )


class Side:
    """A machine and the process on it, if one runs; also serves as its event loop."""

    def __init__(self, world, name, ppm, zero):
        self.world, self.name = world, name
        self.clock = Clock(world, ppm, zero)
        self.kill_at, self.operations = 0, 0
        self.disk = SimDisk(random.Random(f"{name} {world.chance.random()}"), self._operation)
        self.disk.files[BOOT_ID_PATH] = bytearray(name.encode())
        self.paused_until = 0
        self.incarnation, self.incarnations = None, itertools.count(1)
        self.role = "owner" if name == "a" else "standby"

    def _operation(self, what):
        self.operations += 1
        return self.operations == self.kill_at

    # Event loop

    def call_later(self, seconds, action, *args):
        timer, incarnation = Timer(), self.incarnation

        def due():
            if not timer.cancelled and self.incarnation == incarnation:
                self.run_when_awake(
                    lambda: None if timer.cancelled or self.incarnation != incarnation else action(*args)
                )

        self.world.schedule(seconds * 1e6, due)
        return timer

    def call_soon(self, action, *args):
        return self.call_later(0, action, *args)

    def run_when_awake(self, action):
        """Run an action now, or when the pause is over; a kill ends the process."""
        world = self.world
        if self.paused_until > world.now:
            world.schedule(self.paused_until - world.now, lambda: self.run_when_awake(action))
            return
        try:
            action()
        except Killed:
            self.kill()

    def kill(self):
        if self.incarnation is None:
            return
        self.incarnation = None
        self.world.seen_events[f"{self.name} died"] += 1
        if self.world.link is not None:
            self.world.link.close()

    # The process

    def start(self):
        """Start the process as primary or standby; a promoted standby becomes a courier again."""
        if self.incarnation is not None:
            return
        self.incarnation = next(self.incarnations)
        self.run_when_awake(self._start)

    def _start(self):
        world = self.world
        self.kept = DurableMap(self.disk, "/state-standby")
        if self.kept.map.get(("fenced", ""), 0):
            self.role, self.incarnation = "fenced", None
            return
        if self.role == "owner":
            self._start_primary(world.settings if self.incarnation == 1 else world.then)
            return
        self.copy = JournalCopy(self.disk, "/state", False)
        self.machine = Standby(world.settings, self.copy.sizes, self.copy.digests, self.kept.map)
        self.runner = Runner(self, self.clock.monotonic_us, self.machine, self.kept, self._perform, "standby")
        self.runner.run(self.machine.start(self.clock.monotonic_us()))

    def _start_primary(self, settings):
        self.journal = ReplicatedJournal(self.disk, self.clock, "/state", LIMIT, WINDOW_S, self.call_later)
        sizes = {n: s.size for n, s in self.journal.files.segments.items()}
        self.machine = Primary(settings, self.name, sizes, self.kept.map)
        self.runner = ObservedRunner(
            self, self.clock.monotonic_us, self.machine, self.kept, self._perform, "standby"
        )
        self.runner.after_run = self._start_work_if_ready
        self.tokens, self.callbacks, self.is_working = itertools.count(1), {}, False
        self.journal.attach(self, frozenset({SAFE}), {KEYED: WINDOW_S - 0.05})
        self.runner.run(self.machine.start(self.clock.monotonic_us()))
        self.world.dial(self)

    def _start_work(self):
        """Begin a courier's work: attempt the pending messages, or complete possibly executed ones."""
        self.is_working = True
        for message in list(self.journal.pending.values()):
            if message.status:
                self.send_notice(message)
            else:
                self.call_soon(self.process, message.number)

    def _start_work_if_ready(self):
        if (
            self.incarnation is not None
            and self.role == "owner"
            and not self.is_working
            and self.machine.is_ready
        ):
            self._start_work()

    def post_event(self, event):
        self.runner.post_event(event)

    # ReplicationGate

    def on_appended(self, segment, at, data):
        self.post_event(Appended(segment, at, data))

    def on_removed(self, segment):
        self.post_event(SegmentRemoved(segment))

    def may_attempt(self):
        return self.role == "courier" or self.machine.may_start_work(self.clock.monotonic_us())

    def await_ack(self, kind, proceed, abort, deadline_s):
        if not self.runner.is_running and self.machine.needs_no_ack(kind):
            proceed()
            return
        token = next(self.tokens)
        self.callbacks[token] = proceed, abort
        self.post_event(
            AwaitAck(token, kind, self.journal.wall.monotonic_us_at(deadline_s) if deadline_s else 0)
        )

    # Actions

    def _perform(self, action):
        world = self.world
        match action:
            case SendMessage():
                if world.link is not None and (self.name == "a" or action.link == world.link.number):
                    world.link.send(self.name, action.channel, action.row)
            case CloseConnection():
                if world.link is not None and (self.name == "a" or action.link == world.link.number):
                    world.link.close()
            case Proceed():
                self.callbacks.pop(action.token)[0]()
            case Abort():
                self.callbacks.pop(action.token)[1]()
            case ReadSegment() | ComputeDigest():
                self.call_soon(self._read_segment, action)
            case Stop(is_fenced=True):
                world.seen_events["fenced"] += 1
                self.journal.fence()
                self.is_working, self.role = False, "fenced"
            case Stop():  # calls in flight end, then the journal is closed
                world.seen_events["yielded"] += 1
                self.is_working = False
                self.call_later(0.5, self._finish_shutdown)
            case HandoverCompleted():
                world.seen_events["released"] += 1
                self.incarnation, self.role = None, "fenced" if self.machine.fenced_by else "owner"
            case WriteSegment():
                try:
                    self.copy.write(action.segment, action.offset, action.data)
                    ok = True
                except OSError:
                    ok = False
                    world.seen_events["standby's disk"] += 1
                self.runner.post_event(
                    WriteResult(action.segment, action.offset, action.data, action.digest_before, ok)
                )
            case RemoveSegment():
                self.copy.remove(action.segment)
                self.runner.post_event(RemoveResult(action.segment))
            case TakeOver():
                self.call_soon(self._take_over, action)

    def _finish_shutdown(self):
        self.journal.close()
        self.post_event(ShutdownCompleted())

    def _read_segment(self, action):
        data = bytes(self.disk.files.get(self.journal.files.path(action.segment), b""))
        if isinstance(action, ComputeDigest):
            self.post_event(DigestResult(action.segment, action.size, zlib.crc32(data[: action.size])))
        else:
            self.post_event(
                ReadResult(
                    action.segment, action.offset, data[action.offset : action.offset + action.max_bytes]
                )
            )

    def _take_over(self, action):
        world = self.world
        if world.over_at is None:
            world.over_at = world.now
            world.seen_events["took over" + (", doubt" if action.may_lack_records else "")] += 1
        self.copy.close()
        if action.may_lack_records:
            mark_possibly_executed(self.disk, self.clock, "/state", LIMIT, action.is_prefix, False)
            self.kept.write([("over", "", False)])
        self.role = "courier"
        self.journal = ReplicatedJournal(self.disk, self.clock, "/state", LIMIT, WINDOW_S, self.call_later)
        self._start_work()

    def receive(self, number, channel, row):
        if self.name == "b":
            self.runner.post_event(
                HelloReceived(number, row) if channel == "hello" else MessageReceived(channel, row, number)
            )
        elif self.role == "owner":
            self.post_event(MessageReceived(channel, row))

    def on_connection_lost(self, link):
        if self.role in ("owner", "standby", "courier"):
            self.runner.post_event(ConnectionLost(link.number))

    # Courier

    def submit(self, ident, class_index, lifetime_s):
        """A client submits a message."""
        journal, world = self.journal, self.world
        if not self.is_working or (
            self.role == "owner" and not self.machine.may_start_work(self.clock.monotonic_us())
        ):
            return
        message = PendingMessage(
            journal.last_number + 1,
            ident,
            class_index,
            0,
            7,
            ident if class_index == KEYED else "",
            journal.wall() + lifetime_s,
            False,
            b"x" * world.chance.randint(20, 400),
        )

        def on_accepted():
            world.taken[ident] = world.now
            self.call_later(0.001 + world.chance.random() * 0.3, self.process, message.number)

        def failed(error):
            (world.unconfirmed if isinstance(error, UnconfirmedError) else world.refused).add(ident)
            if isinstance(error, UnconfirmedError) and message.number in journal.pending:
                self.complete(message, "undeliverable")

        try:
            journal.accept(message, on_accepted, failed)
        except OSError as error:
            failed(error)

    def process(self, number):
        """Make the next attempt of a message, or complete it."""
        journal, world = self.journal, self.world
        message = journal.pending.get(number)
        if message is None or message.status or not self.is_working:
            return
        if (
            journal.wall() > message.deadline_s
            or (message.class_index == UNSAFE and message.possibly_executed_at)
            or (
                message.class_index == KEYED
                and message.possibly_executed_at
                and journal.wall() >= message.possibly_executed_at + WINDOW_S - 0.05
            )
        ):
            self.complete(message, "undeliverable")
        elif world.chance.random() < 0.15 and not message.possibly_executed_at:
            self.complete(message, "deferred")  # rejected before any attempt
        else:
            journal.attempt(
                [number],
                journal.wall(),
                lambda: self.record_effect(message),
                lambda error: self.call_later(0.2, self.process, number),
            )

    def record_effect(self, message):
        world = self.world
        world.effects[message.id].append((self.name, world.now, message.class_index))
        if self.name == "a" and world.over_at is not None:
            world.late_effects.append((message.id, world.now - world.over_at))
        self.call_later(0.002 + world.chance.random() * 0.4, self.on_reply, message.number)

    def on_reply(self, number):
        if self.is_working and number in self.journal.pending:
            if self.world.chance.random() < 0.4 and self.journal.pending[number].class_index != UNSAFE:
                # The attempt failed and is retried.
                self.call_later(self.world.chance.choice((0.1, 1.0, 2.2)), self.process, number)
            else:
                self.journal.complete(number)

    def complete(self, message, status):
        journal = self.journal
        if not message.status:
            journal.set_outcome(message, status, 0)
            self.record_outcome(message, status)

    def record_outcome(self, message, status):
        if self.is_working and message.number in self.journal.pending:
            self.journal.record_outcome(
                message.number,
                status,
                0,
                lambda: self.send_notice(message),
                lambda error: self.on_outcome_failed(message, status),
            )

    def on_outcome_failed(self, message, status):
        """As the host does: past the deadline the outcome is reported as unknown."""
        if self.journal.wall() < message.deadline_s + 0.1:
            self.call_later(0.05, self.record_outcome, message, status)
        else:
            message.status = "undeliverable"
            self.send_notice(message)

    def send_notice(self, message):
        self.world.notices[message.id].append((self.name, message.status))
        self.call_later(0.01, self.journal.complete_all, [message.number])


# Schedules and rules


FAULTS = {  # of fixed schedules
    "kill a": lambda world: world.a.kill(),
    "start a": lambda world: world.a.start(),
    "cut": lambda world: world.cut.update(a=True, b=True),
    "heal": lambda world: _heal(world),
    "promote": lambda world: _promote(world),
    "break": lambda world: world.link and world.link.close(),
    "kill b": lambda world: world.b.kill(),
    "start b": lambda world: world.b.start(),
    "full": lambda world: setattr(world.b.disk.faults, "full", True),
    "room": lambda world: setattr(world.b.disk.faults, "full", False),
}


def schedule_messages(world):
    chance = world.chance
    for n in range(chance.randint(40, 200)):
        class_index, lifetime_s = chance.choice((SAFE, UNSAFE, KEYED)), chance.choice((3.0, 8.0, 30.0))
        world.schedule(
            chance.randint(1_000_000, 12_000_000),
            lambda n=n, class_index=class_index, lifetime_s=lifetime_s: _submit(
                world, f"m{n}", class_index, lifetime_s
            ),
        )


def schedule_faults(world):
    """Schedule random faults of a run."""
    chance = world.chance
    kinds = chance.sample(
        [
            "kill a",
            "kill b",
            "kill at",
            "cut a",
            "cut b",
            "cut both",
            "sever",
            "flap",
            "pause a",
            "pause amid",
            "pause b",
            "full",
            "promote",
            "promote",
            "twice",
        ],
        chance.randint(2, 6),
    )
    for kind in kinds:
        world.schedule(chance.randint(1_500_000, 11_000_000), lambda kind=kind: _inject_fault(world, kind))


def _submit(world, ident, class_index, lifetime_s):
    for side in (world.a, world.b):
        if (
            side.incarnation is not None
            and side.role in ("owner", "courier")
            and getattr(side, "is_working", False)
        ):
            side.run_when_awake(lambda side=side: side.submit(ident, class_index, lifetime_s))
            return


def _inject_fault(world, kind):
    chance = world.chance
    world.seen_events[kind] += 1
    if kind in ("kill a", "kill b"):
        side = world.a if kind[-1] == "a" else world.b
        side.kill()
        if chance.random() < 0.6:
            world.schedule(chance.randint(100_000, 6_000_000), side.start)
    elif kind == "kill at":  # during one of the next disk operations
        side = chance.choice((world.a, world.b))
        side.kill_at = side.operations + chance.randint(1, 12)
        world.schedule(chance.randint(1_000_000, 6_000_000), side.start)
    elif kind.startswith("cut") or kind == "sever":
        which = ("a", "b") if kind in ("cut both", "sever") else (kind[-1],)
        for one in which:
            world.cut[one] = True
        if kind == "sever" and world.link is not None:
            world.link.close()
        world.schedule(chance.randint(200_000, 5_000_000), lambda: _heal(world))
    elif kind == "flap":
        for n in range(5):
            world.schedule(n * 1_000_000, lambda: world.link and world.link.close())
    elif kind == "pause amid":
        world.pause_on_send_us = chance.randint(1_000_000, 10_000_000)
    elif kind.startswith("pause"):
        side = world.a if kind[-1] == "a" else world.b
        side.paused_until = max(side.paused_until, world.now + chance.randint(300_000, 10_000_000))
    elif kind == "full":
        world.b.disk.faults.full = True
        world.schedule(
            chance.randint(300_000, 4_000_000), lambda: setattr(world.b.disk.faults, "full", False)
        )
    elif kind in ("promote", "twice"):
        for n in range(2 if kind == "twice" else 1):
            world.schedule(n * chance.randint(0, 1_500_000), lambda: _promote(world))


def _promote(world):
    if world.b.incarnation is not None and world.b.role == "standby":
        world.b.run_when_awake(
            lambda: (
                world.b.incarnation is not None
                and world.b.role == "standby"
                and world.b.runner.post_event(Promote())
            )
        )


def _heal(world):
    world.cut.update(a=False, b=False)
    if world.link is not None:
        world.link.release()


def _heal_all(world):
    """Repair all faults; a dead primary restarts with probability 1/2, else the standby replaces it."""
    _heal(world)
    world.b.disk.faults.full = False
    world.a.kill_at = world.b.kill_at = 0
    world.b.start()
    if world.a.incarnation is None and world.a.role == "owner" and world.chance.random() < 0.5:
        world.a.start()


def play(seed, faults=None, **options):
    """Play one run; returns the world, for `judge`. `faults`: (seconds, kind) instead of random ones."""
    world = World(seed, **options)
    world.b.start()
    world.a.start()
    schedule_messages(world)
    if faults is None:
        schedule_faults(world)
    for at_s, kind in faults or ():
        world.schedule(at_s * 1e6, lambda kind=kind: FAULTS[kind](world))
    world.run(13_000_000)
    _heal_all(world)
    world.run(26_000_000)
    if world.a.incarnation is None or world.a.role != "owner":
        _promote(world)  # there is no primary: an operator promotes the standby
    world.run(80_000_000)
    return world


def judge(world):
    """The violated rules, a line each, and the number of accepted messages that were lost."""
    broken, lost = [], 0
    strict = world.settings.is_strict and world.then.is_strict
    for ident, calls in world.effects.items():
        if calls[0][2] == UNSAFE and len(calls) > 1:
            broken.append(f"{ident}: unsafe, ran twice: {calls}")
        if calls[0][2] == KEYED and calls[-1][1] - calls[0][1] >= WINDOW_S * 1e6 and strict:
            broken.append(f"{ident}: keyed, ran again past its window: {calls}")
        if calls[0][2] == UNSAFE and any(status == "deferred" for _, status in world.notices[ident]):
            broken.append(f"{ident}: unsafe, ran and was reported as not run: {calls} {world.notices[ident]}")
        if ident in world.refused:
            broken.append(f"{ident}: ran, and was rejected as not accepted")
    for ident in world.taken:
        if ident not in world.effects and not world.notices[ident]:
            lost += 1
            if strict and world.b.incarnation is not None:
                broken.append(f"{ident}: was accepted, and is lost")
    if strict and world.late_effects:
        broken.append(f"effects of the former primary since it was taken over: {world.late_effects[:3]}")
    return broken, lost
