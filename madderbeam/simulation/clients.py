"""Stand-ins for clients: usual ones with their habits, and bad ones."""

from __future__ import annotations

import functools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from madderbeam.ports import Address
from madderbeam.simulation.checker import Handed, Life
from madderbeam.simulation.couriers import Machine
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.loop import Event
from madderbeam.simulation.network import Peer, Stream

PATIENCE_US = 400_000  # a client waits so long for its answer, then closes
TRIES = 3  # further times that a message is handed in after a refusal
DEAD_US = 1_000_000  # a courier that refused a connection is left alone for so long
BAD_OWED_US = 3_000_000  # a bad client is owed an error or a close within this


def command(*args: bytes) -> bytes:
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args)


@dataclass(eq=False)
class Wish:
    """A message as a client means it, over all the ids under which it is handed in."""

    number: int
    cls: int
    dest: int
    tenant: str
    key: str
    order: str
    until_us: int
    size: int
    born_us: int = 0  # when its client first meant to hand it in
    tries: int = 0
    ended: bool = False


class Clients:
    """All usual clients: they keep connections, and open more when all are busy."""

    def __init__(self, kernel: Kernel, machines: list[Machine]) -> None:
        self.kernel, self.machines = kernel, machines
        self.chance = random.Random(f"clients {kernel.script.seed}")
        self.idle: dict[str, deque[ClientLine]] = {m.name: deque() for m in machines}
        self.makes: type[ClientLine] = ClientLine  # connections of those that speak otherwise
        self.otherwise: Callable[[Handed, Wish, bool], bytes] | None = None  # a message as they hand it in
        self.others: dict[str, deque[ClientLine]] = {m.name: deque() for m in machines}  # of theirs, idle
        self.habit = random.Random(f"habit {kernel.script.seed}")
        self.dead: dict[str, int] = {}
        self.drains: set[str] = set()  # couriers that are to drain, until they are back at work
        self.left_alone: set[str] = set()  # couriers that drain: the front sends nobody there
        self.holders: dict[str, Wish] = {}  # by id: who waits for its end
        uneven = kernel.script.uneven
        self.weights = {m.name: uneven if n % 10 == 0 else (10 - uneven) / 9 for n, m in enumerate(machines)}
        self.count = 0
        self.hasty = False  # they come again at once, whatever they were told
        self.slow = 0.0  # share of the requests that are written slowly

    def hand_in(self, wish: Wish, again: bool = False, marked: bool = False) -> None:
        """Hand a message in at one of the couriers that seem alive."""
        kernel, now = self.kernel, self.kernel.now_us
        if wish.ended or now >= wish.until_us - 20_000:
            return
        alive = [m for m in self.machines if self.dead.get(m.name, -1) <= now]
        alive = [m for m in alive if m.name not in self.left_alone] or alive
        if not alive:
            kernel.after(200_000, self.hand_in, wish, again, marked)
            return
        machine = self._one(alive)
        self.send(machine, *self._request(wish, machine, again, marked))

    def _one(self, alive: list[Machine]) -> Machine:
        """The courier that the front deals the next one to."""
        if self.kernel.script.uneven == 1:
            return alive[int(self.chance.random() * len(alive))]
        return self.chance.choices(alive, [self.weights[m.name] for m in alive])[0]

    def together(self, wishes: list[Wish], half: bool) -> None:
        """A program hands several in at once, on a connection of its own; half: it ends its sending then."""
        alive = [
            m
            for m in self.machines
            if self.dead.get(m.name, -1) <= self.kernel.now_us and m.name not in self.left_alone
        ]
        if not alive:
            for wish in wishes:
                self.hand_in(wish)
            return
        machine = self._one(alive)
        Program(self, machine, [self._request(wish, machine, False, False, True) for wish in wishes], half)

    def _request(
        self, wish: Wish, machine: Machine, again: bool, marked: bool, usual: bool = False
    ) -> tuple[Handed, bytes]:
        """The message under a new id, as it is handed in at this courier; `usual`: over RESP2."""
        kernel, now = self.kernel, self.kernel.now_us
        self.count += 1
        ident = f"{kernel.script.seed & 0xFFFF:04x}{wish.number:06x}{self.count:06x}"
        life = machine.life
        handed = Handed(ident, wish.cls, wish.dest, wish.key, wish.order, life, now, wish.until_us)
        kernel.checker.put(handed)
        self.holders[ident] = wish
        cls = kernel.settings.classes[wish.cls]
        fields = f"c={cls.name},t={wish.tenant},d={(wish.until_us - now) // 1000},dest={wish.dest}"
        fields += f",k={wish.key}" * bool(wish.key) + ",r=1" * marked + ",again=1" * again
        order = wish.order.encode() or b"0" * 16
        text = command(b"MSG.PUT", order, ident.encode(), fields.encode(), b"x" * wish.size)
        if self.otherwise is not None and not usual and self.habit.random() < 0.5:
            text = self.otherwise(handed, wish, marked)
        kernel.note(
            "client", "put", id=ident, to=machine.name, wish=wish.number, cls=cls.name, dest=wish.dest
        )
        return handed, text

    def send(self, machine: Machine, handed: Handed, text: bytes, fresh: bool = False) -> None:
        usual = text.startswith(b"*")
        kept = (self.idle if usual else self.others)[machine.name]
        while kept and not fresh:
            line = kept.pop()
            if line.usable:
                line.ask(handed, text)
                return
        line = ClientLine(self, machine) if usual else self.makes(self, machine)
        line.ask(handed, text)

    # What becomes of it

    def answered(self, handed: Handed, kind: str, wait_ms: int) -> None:
        wish = self.holders[handed.id]
        self.kernel.checker.heard(handed, kind)
        if kind == "busy":
            self._later(wish, wait_ms)
        elif kind == "error":
            wish.ended = True

    def refused(self, handed: Handed, machine: Machine) -> None:
        """No connection could be had: nothing was handed in."""
        self.dead[machine.name] = self.kernel.now_us + DEAD_US
        self.kernel.after(self.chance.randrange(1_000, 50_000), self.hand_in, self.holders[handed.id], True)

    def unanswered(self, handed: Handed) -> None:
        """It waited in vain: what went under this id counts for nothing."""
        wish = self.holders.pop(handed.id)
        if self.chance.random() < 0.8:
            delay = 0 if self.hasty or self.chance.random() < 0.3 else self.chance.randrange(1_000, 1_500_000)
            self.kernel.after(delay, self.hand_in, wish, True)

    def final(self, ident: str, status: str, again_ms: int) -> None:
        """The platform passes on how a message ended."""
        wish = self.holders.get(ident)
        if wish is not None and status == "deferred":
            self._later(wish, again_ms)

    def _later(self, wish: Wish, wait_ms: int) -> None:
        if wish.tries >= TRIES:
            return
        wish.tries += 1
        backoff = int(self.chance.uniform(400_000, 1_300_000) * 1.5**wish.tries)
        wait = max(wait_ms * 1000, backoff) if self.chance.random() < 0.7 else backoff
        self.kernel.after(1_000 if self.hasty else wait, self.hand_in, wish, False, True)

    # Faults

    def leave(self, machine: Machine, all_of_them: bool) -> None:
        """All that rest at a courier go at once; `all_of_them`: those that wait for an answer too."""
        for stream in list(machine.network.open):
            line = stream.peer
            if isinstance(line, ClientLine) and not line.over:
                if line.handed is None:
                    line.close()
                elif all_of_them:
                    line.give_up()

    def crowd_in(self, machine: Machine, wish: Callable[[], Wish]) -> None:
        """A message on each connection that rests at a courier, in one instant."""
        for line in list(self.idle[machine.name]):
            if line.usable:
                line.ask(*self._request(wish(), machine, False, False, True))
        self.idle[machine.name].clear()


class ClientLine(Peer):
    """One client's connection."""

    def __init__(self, clients: Clients, machine: Machine) -> None:
        self.clients, self.machine, self.kernel = clients, machine, clients.kernel
        self.life: Life = machine.life
        self.handed: Handed | None = None
        self.text = b""
        self.tap_buffer = self.buffer = b""
        self.count = 0
        self.alarm: Event | None = None
        self.connected = self.over = False
        self.stream: Stream = machine.network.dial(self.address, self)
        self.stream.tap = self

    @property
    def address(self) -> Address:
        return self.machine.address

    @property
    def kept(self) -> deque[ClientLine]:
        """Where it rests between two messages."""
        return self.clients.idle[self.machine.name]

    @staticmethod
    def take(buffer: bytes) -> tuple[bytes | None, bytes]:
        """The first answer in a buffer, as a line of RESP2, None while there is none; and the rest."""
        line, end, rest = buffer.partition(b"\r\n")
        return (line, rest) if end else (None, buffer)

    @property
    def usable(self) -> bool:
        return not self.over and self.life is self.machine.life and not self.stream.gone

    def ask(self, handed: Handed, text: bytes) -> None:
        self.handed, self.text = handed, text
        handed.life = self.life
        handed.first = not self.count
        self.count += 1
        self.alarm = self.kernel.after(PATIENCE_US, self.give_up)
        if self.connected:
            self._write()

    def _write(self) -> None:
        handed = self.handed
        assert handed is not None
        if self.clients.slow and self.clients.habit.random() < self.clients.slow:
            self._slowly(handed, self.text)
            return
        self.stream.write(self.text)
        self.stream.when_read(self.stream.sent, lambda: self.kernel.checker.read(handed))

    def _slowly(self, handed: Handed, text: bytes) -> None:
        """Part after part, over a good part of its patience."""
        if self.over or self.handed is not handed:
            return
        size = self.clients.habit.randrange(1, len(self.text))
        self.stream.write(text[:size])
        if text[size:]:
            self.kernel.after(self.clients.habit.randrange(100_000), self._slowly, handed, text[size:])
        else:
            handed.until_us += self.kernel.now_us - handed.sent_us  # its time counts from its last byte
            self.stream.when_read(self.stream.sent, lambda: self.kernel.checker.read(handed))

    # Peer

    def up(self) -> None:
        self.connected = True
        if self.handed is not None:
            self._write()

    def refused(self) -> None:
        self.over = True
        self._quiet()
        if self.handed is not None:
            handed, self.handed = self.handed, None
            self.clients.refused(handed, self.machine)

    def wrote(self, data: bytes) -> None:
        """The courier writes: what it says counts from now on."""
        self.tap_buffer += data
        while True:
            line, self.tap_buffer = self.take(self.tap_buffer)
            if line is None:
                return
            if self.handed is None and self.over:
                return  # it has given up and closed
            if self.handed is None or self.handed.said:
                self.kernel.checker.broken("form", f"an answer that nobody asked for: {line!r}")
                continue
            self.kernel.note(self.life.courier, "says", id=self.handed.id, line=line.decode("latin-1"))
            self.kernel.checker.said(self.handed, line)

    def data(self, data: bytes) -> None:
        self.buffer += data
        while True:
            line, self.buffer = self.take(self.buffer)
            if line is None:
                return
            if self.handed is None:
                continue
            self._quiet()
            handed, self.handed = self.handed, None
            wait = line.split()[1:] if line.startswith(b"-BUSY") else []
            self.clients.answered(handed, handed.said, int(wait[0]) if wait else 0)
            if self.count < 50:
                self.kept.append(self)
            else:
                self.close()

    def ended(self, reset: bool) -> None:
        self.over = True
        if self.handed is None:
            return
        self._quiet()
        handed, self.handed = self.handed, None
        alive = self.life.died_us < 0 and self.life is self.machine.life
        if handed.read_us < 0 and alive and self.count > 1:  # it crossed the closing: once more
            self.clients.send(self.machine, handed, self.text, fresh=True)
            return
        if self.count > 1 or handed.read_us >= 0:
            self.kernel.checker.cut_off(handed, self.life)
        self.clients.unanswered(handed)

    def give_up(self) -> None:
        """The answer did not come in time, or the client goes before."""
        if self.handed is None:
            return
        handed, self.handed = self.handed, None
        self.kernel.checker.given_up(handed, self.life.died_us < 0)
        self.kernel.note("client", "gives up", id=handed.id)
        self.close()
        self.clients.unanswered(handed)

    def _quiet(self) -> None:
        if self.alarm is not None:
            self.alarm.cancel()

    def close(self) -> None:
        self.over = True
        self.stream.finish()


class Program(Peer):
    """A program that sends several requests at once and reads the answers in their order."""

    def __init__(
        self, clients: Clients, machine: Machine, requests: list[tuple[Handed, bytes]], half: bool
    ) -> None:
        self.clients, self.machine, self.kernel = clients, machine, clients.kernel
        self.life, self.half = machine.life, half
        self.requests = requests
        self.unsaid = [handed for handed, _ in requests]  # by the courier
        self.waiting = list(self.unsaid)  # whose answer has not come
        self.tap_buffer = self.buffer = b""
        self.alarm = self.kernel.after(PATIENCE_US, self._waited)
        self.stream: Stream = machine.network.dial(machine.address, self)
        self.stream.tap = self

    def up(self) -> None:
        self.unsaid[0].first = True
        for handed, text in self.requests:
            self.stream.write(text)
            self.stream.when_read(self.stream.sent, functools.partial(self.kernel.checker.read, handed))
        if self.half:
            self.stream.end_sending()

    def refused(self) -> None:
        self.alarm.cancel()
        waiting, self.waiting = self.waiting, []
        for handed in waiting:
            self.clients.refused(handed, self.machine)

    def wrote(self, data: bytes) -> None:
        self.tap_buffer += data
        while b"\r\n" in self.tap_buffer:
            line, _, self.tap_buffer = self.tap_buffer.partition(b"\r\n")
            if not self.unsaid:
                self.kernel.checker.broken("form", f"an answer that nobody asked for: {line!r}")
                return
            handed = self.unsaid.pop(0)
            self.kernel.note(self.life.courier, "says", id=handed.id, line=line.decode("latin-1"))
            self.kernel.checker.said(handed, line)

    def data(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n" in self.buffer and self.waiting:
            line, _, self.buffer = self.buffer.partition(b"\r\n")
            handed = self.waiting.pop(0)
            wait = line.split()[1:] if line.startswith(b"-BUSY") else []
            self.clients.answered(handed, handed.said, int(wait[0]) if wait else 0)
        if not self.waiting:
            self.alarm.cancel()
            self.stream.finish()

    def ended(self, reset: bool) -> None:
        self.alarm.cancel()
        waiting, self.waiting = self.waiting, []
        for handed in waiting:
            self.kernel.checker.cut_off(handed, self.life)
            self.clients.unanswered(handed)

    def _waited(self) -> None:
        waiting, self.waiting = self.waiting, []
        for handed in waiting:
            self.kernel.checker.given_up(handed, self.life.died_us < 0)
            self.clients.unanswered(handed)
        self.stream.finish()


class BadClient(Peer):
    """Sends what can't be read, or nothing at all, and is owed an error or a close."""

    def __init__(self, kernel: Kernel, machine: Machine, text: bytes, owed: bool = True) -> None:
        self.kernel, self.machine, self.text, self.life = kernel, machine, text, machine.life
        self.done = not owed
        self.stream = machine.network.dial(machine.address, self)
        kernel.after(BAD_OWED_US + 200_000, self._due)

    def up(self) -> None:
        if self.text:
            self.stream.write(self.text)

    def refused(self) -> None:
        self.done = True

    def data(self, data: bytes) -> None:
        if data.startswith(b"-"):
            self.done = True

    def ended(self, reset: bool) -> None:
        self.done = True

    def _due(self) -> None:
        taken = self.stream.accepted_us
        if taken >= 0 and self.kernel.now_us < taken + BAD_OWED_US:  # it stood in the queue for a while
            self.kernel.after(taken + BAD_OWED_US + 1 - self.kernel.now_us, self._due)
            return
        if not self.done and taken >= 0 and self.life.died_us < 0 and self.life.closing_us < 0:
            self.kernel.checker.broken("bad client", f"{self.text[:40]!r} got neither an error nor a close")
        self.stream.finish()


def garbage(chance: random.Random) -> bytes:
    """Something that is no request."""
    return chance.choice(
        (
            b"\x00\xff" * 30,
            b"GET / HTTP/1.1\r\n\r\n",
            b"*-3\r\n",
            b"*99999999\r\n",
            b"*2\r\n$-7\r\n",
            b"*1\r\n$700000000\r\n",
            b"*5\r\n$7\r\nMSG.P",
            b"$5\r\nhello\r\n",
            b"a" * 3000,
            command(b"MSG.PUT", b"0", b"id"),
            command(b"NOSUCH", b"x"),
            command(b"MSG.PUT", b"0", b"bad0", b"c=nosuch,t=t,d=5,dest=1", b"x"),
            command(b"MSG.PUT", b"0", b"bad1", b"c=status-notice,t=ensemble-0,d=soon,dest=1", b"x"),
            command(b"MSG.PUT", b"0", b"bad2", b"c=status-notice,t=ensemble-0,d=900,dest=999", b"x"),
            command(b"MSG.PUT", b"0", b"", b"c=status-notice,t=ensemble-0,d=900,dest=1", b"x"),
            command(b"NOSUCH") * 200,
        )
    )
