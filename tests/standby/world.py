"""An owner and its standby in drawn time: the real machines, journal, copy and records, simulated disks.

Each side has a clock that drifts, may be paused, killed at any operation of its disk, and lose its disk's
room; each direction between them may be cut. A small courier takes messages on, attempts them, tells ends.
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
from madderbeam.host.standby.copy import Copy, doubt
from madderbeam.host.standby.journal import ReplicatedJournal
from madderbeam.host.standby.shared import Watched
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError
from madderbeam.journal.steady_clock import BOOT_ID_PATH
from madderbeam.replication import cursor, owner
from madderbeam.replication.owner import Owner
from madderbeam.replication.standby import Standby
from madderbeam.replication.values import (
    Appended,
    Block,
    Check,
    Checked,
    Close,
    Deny,
    Down,
    Dropped,
    Ended,
    Go,
    Got,
    Hello,
    Promote,
    Read,
    Released,
    Remove,
    Removed,
    Say,
    Settings,
    Stop,
    TakeOver,
    Wait,
    Write,
    Wrote,
)
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Killed

LIMIT, WALL = 200_000, 1.7e9
SAFE, UNSAFE, KEYED = 0, 1, 2
WINDOW_S = 2.5  # for so long the partner remembers a key, from its first byte
LATENCY_US = (200, 3_000)
# Small parts, so that catching up takes many steps.
cursor.CHUNK, owner.CHUNK, owner.WINDOW = 512, 512, 4096


class Clock:
    """One machine's: it drifts and has a zero of its own."""

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
    """`mode`, `silent`, `takeover` as in the settings."""

    def __init__(self, seed, mode="before", silent="refuse", takeover="person", drift_ppm=1_000, then=None):
        self.chance, self.now = random.Random(f"standby {seed}"), 0
        self.settings = Settings(mode, silent, 1_000_000, 20_000, takeover, drift_ppm, LIMIT, "form")
        self.then = replace(self.settings, **then) if then else self.settings  # of the owner's later lives
        self.amid = 0  # the owner is paused for so long as it next says something
        self.queue, self.count = [], itertools.count()
        self.cut = {"a": False, "b": False}  # what this side sends does not arrive
        self.taken, self.refused, self.unsure = {}, set(), set()
        self.effects = defaultdict(list)  # by id: (side, time) of each first byte
        self.told = defaultdict(list)  # notices by id
        self.over_at = None  # when the standby took over
        self.late = []  # first bytes of the old owner's since then
        self.met = Counter()  # what the drawn schedule has brought about
        ppm = drift_ppm // 2
        self.a = Side(self, "a", -ppm if seed % 2 else ppm, 5_000_000)
        self.b = Side(self, "b", ppm if seed % 2 else -ppm, 900_000_000)
        self.link = None
        self.links = itertools.count(1)

    # Time

    def at(self, delay_us, action):
        heapq.heappush(self.queue, (self.now + int(delay_us), next(self.count), action))

    def run(self, until_us):
        while self.queue and self.queue[0][0] <= until_us:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until_us

    # The wire

    def dial(self, owner):
        """The owner makes a connection, if both ways are whole."""
        if owner.life is not None and self.link is None and owner.role == "owner":
            if not (self.cut["a"] or self.cut["b"]) and self.b.life is not None:
                self.link = Link(self, next(self.links))
                self.at(1000, self.link.hello)
            else:
                self.at(200_000, lambda life=owner.life: owner.life == life and self.dial(owner))


class Link:
    """One connection: what was sent arrives in order, unless it breaks; what is cut waits."""

    def __init__(self, world, number):
        self.world, self.number, self.open = world, number, True
        self.held = {"a": [], "b": []}
        self.free_at = {"a": 0, "b": 0}
        self.heard = {"a": world.now, "b": world.now}
        world.at(500_000, self.look)

    def hello(self):
        if self.open and self.world.a.life is not None:
            self.send("a", "hello", self.world.a.machine.hello())

    def send(self, source, channel, row):
        if not self.open:
            return
        if source == "a" and self.world.amid:
            self.world.a.paused_until, self.world.amid = self.world.now + self.world.amid, 0
        if self.world.cut[source] or self.held[source]:
            self.held[source].append((channel, row))
            return
        w = self.world
        at = max(self.free_at[source], w.now + w.chance.randint(*LATENCY_US))
        self.free_at[source] = at
        side = w.b if source == "a" else w.a
        w.at(at - w.now, lambda: self._arrive(side, channel, row))

    def release(self):
        for source in ("a", "b"):
            if not self.world.cut[source]:
                held, self.held[source] = self.held[source], []
                for channel, row in held:
                    self.send(source, channel, row)

    def _arrive(self, side, channel, row):
        """What has come before the connection broke is read, also when its reader was paused meanwhile."""
        if self.open and (life := side.life) is not None:
            self.heard[side.name] = self.world.now
            side.awake(lambda: side.life == life and side.heard(self.number, channel, row))

    def look(self):
        """Each side finds a silent connection broken."""
        if not self.open:
            return
        for side in (self.world.a, self.world.b):
            if self.world.now - self.heard[side.name] > 1_500_000 and side.paused_until <= self.world.now:
                self.close()
                return
        self.world.at(500_000, self.look)

    def close(self):
        if not self.open:
            return
        self.open, w = False, self.world
        if w.link is self:
            w.link = None
        for side, other in ((w.a, w.b), (w.b, w.a)):
            # That the other side has ended it does not come through a cut: it is found out by silence.
            late = 1_500_000 if w.cut[other.name] and side is w.a else 2_000
            w.at(late, lambda side=side: side.awake(lambda: side.life is not None and side.broke(self)))
        w.at(1_550_000 if w.cut["b"] else 50_000, lambda: w.a.awake(lambda: w.dial(w.a)))


class Side:
    """One machine and the process on it, if one runs; it is its own loop."""

    def __init__(self, world, name, ppm, zero):
        self.world, self.name = world, name
        self.clock = Clock(world, ppm, zero)
        self.kill_at, self.operations = 0, 0
        self.disk = SimDisk(random.Random(f"{name} {world.chance.random()}"), self._operation)
        self.disk.files[BOOT_ID_PATH] = bytearray(name.encode())
        self.paused_until = 0
        self.life, self.lives = None, itertools.count(1)
        self.role = "owner" if name == "a" else "standby"

    def _operation(self, what):
        self.operations += 1
        return self.operations == self.kill_at

    # As a loop

    def call_later(self, seconds, action, *args):
        timer, life = Timer(), self.life

        def due():
            if not timer.cancelled and self.life == life:
                self.awake(lambda: None if timer.cancelled or self.life != life else action(*args))

        self.world.at(seconds * 1e6, due)
        return timer

    def call_soon(self, action, *args):
        return self.call_later(0, action, *args)

    def awake(self, action):
        """Now, or when its pause is over; a kill ends the process."""
        w = self.world
        if self.paused_until > w.now:
            w.at(self.paused_until - w.now, lambda: self.awake(action))
            return
        try:
            action()
        except Killed:
            self.die()

    def die(self):
        if self.life is None:
            return
        self.life = None
        self.world.met[f"{self.name} died"] += 1
        if self.world.link is not None:
            self.world.link.close()

    # The process

    def start(self):
        """As an owner, or a standby; as a courier again once it has taken over."""
        if self.life is not None:
            return
        self.life = next(self.lives)
        self.awake(self._start)

    def _start(self):
        w = self.world
        self.kept = DurableMap(self.disk, "/state-standby")
        if self.kept.map.get(("fenced", ""), 0):
            self.role, self.life = "fenced", None
            return
        if self.role == "owner":
            self._own(w.settings if self.life == 1 else w.then)
            return
        self.copy = Copy(self.disk, "/state", False)
        self.machine = Standby(w.settings, self.copy.sizes, self.copy.digests, self.kept.map)
        self.runner = Runner(self, self.clock.monotonic_us, self.machine, self.kept, self._act, "standby")
        self.runner.run(self.machine.start(self.clock.monotonic_us()))

    def _own(self, settings):
        self.journal = ReplicatedJournal(self.disk, self.clock, "/state", LIMIT, WINDOW_S, self.call_later)
        sizes = {n: s.size for n, s in self.journal.files.segments.items()}
        self.machine = Owner(settings, self.name, sizes, self.kept.map)
        self.runner = Watched(self, self.clock.monotonic_us, self.machine, self.kept, self._act, "standby")
        self.runner.after = self._settled
        self.tokens, self.waiting, self.working = itertools.count(1), {}, False
        self.journal.attach(self, frozenset({SAFE}), {KEYED: WINDOW_S - 0.05})
        self.runner.run(self.machine.start(self.clock.monotonic_us()))
        self.world.dial(self)

    def _work(self):
        """A courier on the folder: what was held is attempted, or ended where it may have run."""
        self.working = True
        for m in list(self.journal.pending.values()):
            if m.status:
                self.notice(m)
            else:
                self.call_soon(self.go_on, m.number)

    def _settled(self):
        if self.life is not None and self.role == "owner" and not self.working and self.machine.settled:
            self._work()

    def tell(self, event):
        self.runner.post_event(event)

    # The room of the owner's journal

    def appended(self, segment, at, data):
        self.tell(Appended(segment, at, data))

    def dropped(self, segment):
        self.tell(Dropped(segment))

    def may_attempt(self):
        return self.role == "courier" or self.machine.open(self.clock.monotonic_us())

    def ask(self, sort, go, deny, until):
        if not self.runner.is_running and self.machine.passes(sort):
            go()
            return
        token = next(self.tokens)
        self.waiting[token] = go, deny
        self.tell(Wait(token, sort, self.journal.wall.monotonic_us_at(until) if until else 0))

    # What the machines want done

    def _act(self, a):
        w = self.world
        match a:
            case Say():
                if w.link is not None and (self.name == "a" or a.link == w.link.number):
                    w.link.send(self.name, a.channel, a.row)
            case Close():
                if w.link is not None and (self.name == "a" or a.link == w.link.number):
                    w.link.close()
            case Go():
                self.waiting.pop(a.token)[0]()
            case Deny():
                self.waiting.pop(a.token)[1]()
            case Read() | Check():
                self.call_soon(self._look_up, a)
            case Stop(fenced=True):
                w.met["fenced"] += 1
                self.journal.fence()
                self.working, self.role = False, "fenced"
            case Stop():  # what is out ends, then the journal is closed
                w.met["yielded"] += 1
                self.working = False
                self.call_later(0.5, self._ended)
            case Released():
                w.met["released"] += 1
                self.life, self.role = None, "fenced" if self.machine.fenced else "owner"
            case Write():
                try:
                    self.copy.write(a.segment, a.at, a.data)
                    ok = True
                except OSError:
                    ok = False
                    w.met["standby's disk"] += 1
                self.runner.post_event(Wrote(a.segment, a.at, a.data, a.before, ok))
            case Remove():
                self.copy.remove(a.segment)
                self.runner.post_event(Removed(a.segment))
            case TakeOver():
                self.call_soon(self._take_over, a)

    def _ended(self):
        self.journal.close()
        self.tell(Ended())

    def _look_up(self, a):
        data = bytes(self.disk.files.get(self.journal.files.path(a.segment), b""))
        if isinstance(a, Check):
            self.tell(Checked(a.segment, a.size, zlib.crc32(data[: a.size])))
        else:
            self.tell(Block(a.segment, a.at, data[a.at : a.at + a.most]))

    def _take_over(self, a):
        w = self.world
        if w.over_at is None:
            w.over_at = w.now
            w.met["took over" + (", doubt" if a.doubt else "")] += 1
        self.copy.close()
        if a.doubt:
            doubt(self.disk, self.clock, "/state", LIMIT, a.exact)
            self.kept.write([("over", "", False)])
        self.role = "courier"
        self.journal = ReplicatedJournal(self.disk, self.clock, "/state", LIMIT, WINDOW_S, self.call_later)
        self._work()

    def heard(self, number, channel, row):
        if self.name == "b":
            self.runner.post_event(Hello(number, row) if channel == "hello" else Got(channel, row, number))
        elif self.role == "owner":
            self.tell(Got(channel, row))

    def broke(self, link):
        if self.role in ("owner", "standby", "courier"):
            self.runner.post_event(Down(link.number))

    # The courier

    def put(self, ident, cls, life_s):
        """A client hands a message in."""
        j, w = self.journal, self.world
        if not self.working or (self.role == "owner" and not self.machine.open(self.clock.monotonic_us())):
            return
        m = PendingMessage(
            j.last_number + 1,
            ident,
            cls,
            0,
            7,
            ident if cls == KEYED else "",
            j.wall() + life_s,
            False,
            b"x" * w.chance.randint(20, 400),
        )

        def taken():
            w.taken[ident] = w.now
            self.call_later(0.001 + w.chance.random() * 0.3, self.go_on, m.number)

        def failed(error):
            (w.unsure if isinstance(error, UnconfirmedError) else w.refused).add(ident)
            if isinstance(error, UnconfirmedError) and m.number in j.pending:
                self.end(m, "undeliverable")

        try:
            j.accept(m, taken, failed)
        except OSError as error:
            failed(error)

    def go_on(self, number):
        """The next attempt of a message, or its end."""
        j, w = self.journal, self.world
        m = j.pending.get(number)
        if m is None or m.status or not self.working:
            return
        if (
            j.wall() > m.deadline_s
            or (m.class_index == UNSAFE and m.possibly_executed_at)
            or (
                m.class_index == KEYED
                and m.possibly_executed_at
                and j.wall() >= m.possibly_executed_at + WINDOW_S - 0.05
            )
        ):
            self.end(m, "undeliverable")
        elif w.chance.random() < 0.15 and not m.possibly_executed_at:
            self.end(m, "deferred")  # it was turned away before it was ever tried
        else:
            j.attempt(
                [number],
                j.wall(),
                lambda: self.first_byte(m),
                lambda error: self.call_later(0.2, self.go_on, number),
            )

    def first_byte(self, m):
        w = self.world
        w.effects[m.id].append((self.name, w.now, m.class_index))
        if self.name == "a" and w.over_at is not None:
            w.late.append((m.id, w.now - w.over_at))
        self.call_later(0.002 + w.chance.random() * 0.4, self.answered, m.number)

    def answered(self, number):
        if self.working and number in self.journal.pending:
            if self.world.chance.random() < 0.4 and self.journal.pending[number].class_index != UNSAFE:
                # It failed, and goes again.
                self.call_later(self.world.chance.choice((0.1, 1.0, 2.2)), self.go_on, number)
            else:
                self.journal.complete(number)

    def end(self, m, status):
        j = self.journal
        if not m.status:
            j.set_outcome(m, status, 0)
            self.end_again(m, status)

    def end_again(self, m, status):
        if self.working and m.number in self.journal.pending:
            self.journal.record_outcome(
                m.number, status, 0, lambda: self.notice(m), lambda error: self.unsettled(m, status)
            )

    def unsettled(self, m, status):
        """As the host's ends do: once its time is over nothing is promised."""
        if self.journal.wall() < m.deadline_s + 0.1:
            self.call_later(0.05, self.end_again, m, status)
        else:
            m.status = "undeliverable"
            self.notice(m)

    def notice(self, m):
        self.world.told[m.id].append((self.name, m.status))
        self.call_later(0.01, self.journal.complete_all, [m.number])


# Schedules and the judge


FAULTS = {  # of schedules that are written
    "kill a": lambda w: w.a.die(),
    "start a": lambda w: w.a.start(),
    "cut": lambda w: w.cut.update(a=True, b=True),
    "heal": lambda w: _heal(w),
    "promote": lambda w: _promote(w),
    "break": lambda w: w.link and w.link.close(),
    "kill b": lambda w: w.b.die(),
    "start b": lambda w: w.b.start(),
    "full": lambda w: setattr(w.b.disk.faults, "full", True),
    "room": lambda w: setattr(w.b.disk.faults, "full", False),
}


def traffic(w):
    c = w.chance
    for n in range(c.randint(40, 200)):
        cls, life = c.choice((SAFE, UNSAFE, KEYED)), c.choice((3.0, 8.0, 30.0))
        w.at(c.randint(1_000_000, 12_000_000), lambda n=n, cls=cls, life=life: _put(w, f"m{n}", cls, life))


def drawn(w):
    """Faults of a run, from its chance."""
    c = w.chance
    kinds = c.sample(
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
        c.randint(2, 6),
    )
    for kind in kinds:
        w.at(c.randint(1_500_000, 11_000_000), lambda kind=kind: _fault(w, kind))


def _put(w, ident, cls, life):
    for side in (w.a, w.b):
        if side.life is not None and side.role in ("owner", "courier") and getattr(side, "working", False):
            side.awake(lambda side=side: side.put(ident, cls, life))
            return


def _fault(w, kind):
    c = w.chance
    w.met[kind] += 1
    if kind in ("kill a", "kill b"):
        side = w.a if kind[-1] == "a" else w.b
        side.die()
        if c.random() < 0.6:
            w.at(c.randint(100_000, 6_000_000), side.start)
    elif kind == "kill at":  # amid the next operations of either disk
        side = c.choice((w.a, w.b))
        side.kill_at = side.operations + c.randint(1, 12)
        w.at(c.randint(1_000_000, 6_000_000), side.start)
    elif kind.startswith("cut") or kind == "sever":
        which = ("a", "b") if kind in ("cut both", "sever") else (kind[-1],)
        for one in which:
            w.cut[one] = True
        if kind == "sever" and w.link is not None:
            w.link.close()
        w.at(c.randint(200_000, 5_000_000), lambda: _heal(w))
    elif kind == "flap":
        for n in range(5):
            w.at(n * 1_000_000, lambda: w.link and w.link.close())
    elif kind == "pause amid":
        w.amid = c.randint(1_000_000, 10_000_000)
    elif kind.startswith("pause"):
        side = w.a if kind[-1] == "a" else w.b
        side.paused_until = max(side.paused_until, w.now + c.randint(300_000, 10_000_000))
    elif kind == "full":
        w.b.disk.faults.full = True
        w.at(c.randint(300_000, 4_000_000), lambda: setattr(w.b.disk.faults, "full", False))
    elif kind in ("promote", "twice"):
        for n in range(2 if kind == "twice" else 1):
            w.at(n * c.randint(0, 1_500_000), lambda: _promote(w))


def _promote(w):
    if w.b.life is not None and w.b.role == "standby":
        w.b.awake(lambda: w.b.life is not None and w.b.role == "standby" and w.b.runner.post_event(Promote()))


def _heal(w):
    w.cut.update(a=False, b=False)
    if w.link is not None:
        w.link.release()


def _heal_all(w):
    """All that is still wrong is mended, but a machine that is gone stays gone where it may be replaced."""
    _heal(w)
    w.b.disk.faults.full = False
    w.a.kill_at = w.b.kill_at = 0
    w.b.start()
    if w.a.life is None and w.a.role == "owner" and w.chance.random() < 0.5:
        w.a.start()


def play(seed, faults=None, **told):
    """One run to its end; the world, for `judge`. `faults`: (seconds, kind) in place of drawn ones."""
    w = World(seed, **told)
    w.b.start()
    w.a.start()
    traffic(w)
    if faults is None:
        drawn(w)
    for at, kind in faults or ():
        w.at(at * 1e6, lambda kind=kind: FAULTS[kind](w))
    w.run(13_000_000)
    _heal_all(w)
    w.run(26_000_000)
    if w.a.life is None or w.a.role != "owner":
        _promote(w)  # there is no owner: somebody says so
    w.run(80_000_000)
    return w


def judge(w):
    """Rules that were broken, a line each; and how many taken messages were lost."""
    broken, lost = [], 0
    strict = w.settings.strict and w.then.strict
    for ident, calls in w.effects.items():
        if calls[0][2] == UNSAFE and len(calls) > 1:
            broken.append(f"{ident}: unsafe, ran twice: {calls}")
        if calls[0][2] == KEYED and calls[-1][1] - calls[0][1] >= WINDOW_S * 1e6 and strict:
            broken.append(f"{ident}: keyed, ran again past its window: {calls}")
        if calls[0][2] == UNSAFE and any(status == "deferred" for _, status in w.told[ident]):
            broken.append(f"{ident}: unsafe, ran and was handed back: {calls} {w.told[ident]}")
        if ident in w.refused:
            broken.append(f"{ident}: ran, and was refused as never taken")
    for ident in w.taken:
        if ident not in w.effects and not w.told[ident]:
            lost += 1
            if strict and w.b.life is not None:
                broken.append(f"{ident}: was taken on, and is lost")
    if strict and w.late:
        broken.append(f"first bytes of the old owner's since it was taken over: {w.late[:3]}")
    return broken, lost
