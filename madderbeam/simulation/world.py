"""One run: couriers, destinations, discovery and clients on one virtual loop, and the checker beside them."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Callable, Iterator
from typing import Any

from madderbeam.policy.settings import Idempotency
from madderbeam.ports import Address
from madderbeam.simulation import books
from madderbeam.simulation.checker import MS, Handed
from madderbeam.simulation.clients import Clients, Wish
from madderbeam.simulation.couriers import Machine
from madderbeam.simulation.endpoints import Destination, Endpoint, Nowhere
from madderbeam.simulation.kafka import Node, Producer, produced
from madderbeam.simulation.kernel import Broken, Kernel, Report
from madderbeam.simulation.loop import ProcessLoop, Spinning
from madderbeam.simulation.quality import measured
from madderbeam.simulation.quotas import Meter, tree
from madderbeam.simulation.script import Fault, Script
from madderbeam.simulation.settings import CLASSES, ENSEMBLES

End = Callable[[], Any] | None  # what ends a fault
TAIL_S = 9.0  # from the last message handed in until the end: all times are up, and all notices due
WEIGHTS = (0.5, 0.2, 0.2, 0.1)


class World(Kernel):
    """Everything outside the couriers, and the machines on which they run."""

    def __init__(
        self,
        script: Script,
        begin: Callable[[World, Fault], End] | None = None,
        served: bool = False,
        trace: bool = False,
        audited: bool = True,
    ) -> None:
        """`begin` begins a fault and gives what ends it; served: the couriers have a second address;
        audited: their books are looked at, which only those of this checkout are sure to keep."""
        super().__init__(script, served, trace)
        self.begin, self.audited = begin, audited
        self.chance_of_books = random.Random(f"books {script.seed}")
        self.scheduler.failed = self._failed
        self.chance = random.Random(f"world {script.seed}")
        self.endpoints: list[Endpoint] = []
        self.dests = self._destinations()
        self.machines = [Machine(self, n) for n in range(script.couriers)]
        self.clients = Clients(self, self.machines)
        if self.script.quota:
            self.quota = tree(
                [t["name"] for t in self.raw_settings["tenants"]],
                self.script.couriers,
                self.script.rate_per_s / self.script.couriers / 2,
                self.script.seed,
            )
            self.checker.meter = Meter(
                self.quota, self.checker, lambda m: self.clients.holders[m.id].tenant
            ).taken
        if self.script.kafka:
            self.clients.makes, self.clients.otherwise = Producer, produced(self.settings)
        self.wishes = self.moves = 0
        self.wished: list[Wish] = []
        self.outages: list[tuple[int, int]] = []  # destination, when its outage ended
        self.effects: dict[str, list[int]] = {}  # by key or id of what must not run twice: when it ran

    # What is there

    def _destinations(self) -> list[Destination]:
        made = []
        weights = [1 / (n + 1) ** 0.8 for n in range(self.script.dests)]
        self.popularity = [w / sum(weights) for w in weights]
        for number, share in enumerate(self.popularity):
            kind = "venue-chains" if number % 3 == 1 else "small-ensembles"
            rate = max(3.0, self.script.rate_per_s * share * self.script.tight)
            dest = Destination(number + 1, kind, round(rate, 2))
            made.append(dest)
            for _ in range(self.chance.choice((1, 2, 2, 3))):
                self._endpoint(dest)
        return made

    def _endpoint(self, dest: Destination, address: Address | None = None) -> Endpoint:
        number = len(self.endpoints) + 1
        make = Node if self.script.kafka and dest.number % 2 else Endpoint
        ep = make(
            self,
            f"s-{number:04x}",
            dest,
            address or (f"10.1.{number >> 8}.{number & 255}", 6379),
            5 if dest.kind == "venue-chains" else 1,
        )
        self.endpoints.append(ep)
        dest.endpoints.append(ep)
        self.services[ep.address] = ep
        self.entries[ep.uid] = ep.entry()
        return ep

    def live(self) -> list[Endpoint]:
        """Endpoints that neither drain nor are gone."""
        found = [ep for ep in self.endpoints if ep.state == "in_service"]
        return found or self.endpoints[-1:]

    # Changes of the list

    def publish(self, ep: Endpoint) -> None:
        """Tell every agent of the endpoint's state, each late in its own way."""
        entry = self.entries[ep.uid] = ep.entry()
        for machine in self.machines:
            machine.agent.later(entry)

    def drain(self, ep: Endpoint, lasts_us: int, replaced: bool, same: bool) -> None:
        """An endpoint drains, then goes; another may come in its place."""
        if ep.state != "in_service":
            return
        ep.state = "terminating"
        self.publish(ep)
        self.after(lasts_us, self._gone, ep, replaced, same)

    def _gone(self, ep: Endpoint, replaced: bool, same: bool) -> None:
        ep.vanish()
        self.publish(ep)
        ep.dest.endpoints.remove(ep)
        if self.services.get(ep.address) is ep:
            self.services[ep.address] = Nowhere(self)
        if replaced or not ep.dest.endpoints:
            new = self._endpoint(ep.dest, ep.address if same else None)
            new.mood.outage = ep.mood.outage
            new.mood.open_us = ep.mood.open_us
            self.publish(new)

    def move(self, ep: Endpoint) -> None:
        """An endpoint goes to another address under its id. It still answers at the old one, so that who goes
        on calling it there can be seen."""
        self.moves += 1
        ep.address = (f"10.3.0.{self.moves}", 6379)
        self.services[ep.address] = ep
        self.publish(ep)

    def swap(self, one: Endpoint, other: Endpoint) -> None:
        """Two endpoints of one destination change places."""
        one.address, other.address = other.address, one.address
        for ep in (one, other):
            self.services[ep.address] = ep
            self.publish(ep)

    # Messages

    def wish(
        self, dest: int | None = None, tenant: int | None = None, cls: int | None = None, size: int = -1
    ) -> None:
        """A client means to hand a message in."""
        self.clients.hand_in(self.meant(dest, tenant, cls, size))

    def meant(
        self, dest: int | None = None, tenant: int | None = None, cls: int | None = None, size: int = -1
    ) -> Wish:
        """A message that somebody means to hand in; what is not given is drawn."""
        chance = self.chance
        self.wishes += 1
        if cls is None:
            cls = chance.choices(range(len(CLASSES)), WEIGHTS)[0]
        if dest is None:
            dest = chance.choices(range(len(self.dests)), self.popularity)[0]
        number = self.dests[dest].number
        usual = self.settings.classes[cls]
        key = (
            f"key-{self.script.seed & 0xFFFF:x}-{self.wishes:x}"
            if usual.idempotency is Idempotency.WITH_KEY
            else ""
        )
        order = f"group-{number}-{chance.randrange(2)}" if usual.ordered else ""
        if tenant is None:
            tenant = chance.randrange(ENSEMBLES)
        if size < 0:
            size = chance.choice((20, 60, 200)) if chance.random() < 0.98 else chance.randrange(20_000)
        made = Wish(
            self.wishes,
            cls,
            number,
            f"ensemble-{tenant}",
            key,
            order,
            self.now_us + usual.deadline_us,
            size,
            self.now_us,
        )
        self.wished.append(made)
        return made

    def _traffic(self) -> None:
        if self.now_us < self.script.seconds * 1e6 and self.script.rate_per_s:
            self.wish()
            self.after(int(self.chance.expovariate(self.script.rate_per_s) * 1e6), self._traffic)

    def ran(self, handed: Handed, uid: str) -> None:
        """An endpoint has run a message."""
        cls = self.settings.classes[handed.cls]
        if cls.idempotency is Idempotency.IDEMPOTENT:
            return
        key = handed.key if cls.idempotency is Idempotency.WITH_KEY else handed.id
        times = self.effects.setdefault(key, [])
        now = self.now_us
        if times and cls.idempotency is Idempotency.NON_IDEMPOTENT:
            self.checker.broken("repeat", f"{handed.id} took effect at {times[0]} us and again at {uid}")
        times.append(now)

    def ended(self, ident: str, status: str, again_ms: int) -> None:
        """A notice has come to the platform."""
        self.clients.final(ident, status, int(again_ms))

    # The run

    def _failed(self, loop: ProcessLoop, error: BaseException) -> None:
        if isinstance(error, Broken):
            raise error
        name = next((m.name for m in self.machines if m.loop is loop), "?")
        self.checker.broken("crash", f"{name}: {type(error).__name__}: {error}")

    def _begin(self, fault: Fault) -> None:
        self.note("script", fault.kind, target=fault.target, value=fault.value, for_ms=fault.for_ms)
        end = self.begin(self, fault) if self.begin else None
        if end is not None:
            self.after(fault.for_ms * MS, self._end, fault, end)

    def _end(self, fault: Fault, end: Callable[[], Any]) -> None:
        self.note("script", f"{fault.kind} ends")
        end()

    def play(self) -> Report:
        """Run the script to its end or to the first broken rule."""
        with self._logs(), contextlib.suppress(Broken):
            for machine in self.machines:
                for ep in self.endpoints:
                    machine.agent.targets[ep.uid] = self.entries[ep.uid]
                    machine.agent.changed[ep.uid] = 1
                machine.agent.wrote(list(machine.agent.targets.values()), True)
                machine.start()
            self.after(100_000, self._traffic)
            self.after(books.EVERY_US, self._audit)
            for fault in self.script.faults:
                self.after(fault.at_ms * MS, self._begin, fault)
            end_us = int((self.script.seconds + TAIL_S) * 1e6)
            try:
                self.scheduler.run(end_us)
            except Spinning as error:
                self.checker.broken("spin", str(error))
            for machine in self.machines:
                self.checker.disk(machine.name, machine.disk.most)
                self._books(machine, end=True)
        return self._finish()

    def _audit(self) -> None:
        """Look at every courier's books, now and then."""
        for machine in self.machines:
            self._books(machine)
        self.after(books.EVERY_US, self._audit)

    def _books(self, machine: Machine, end: bool = False) -> None:
        host = machine.host
        if not self.audited or host is None or not machine.works or host.is_handed_over:
            return
        found = books.wrong(host, machine.clock.monotonic_us()) or (end and books.left(host))
        found = found or next(books.sockets(host, machine.network.open), "")
        if not found and (end or self.chance_of_books.random() < books.RESTARTS):
            found = next(books.restarted(host, machine.restarted()), "")
        if not found and self.now_us - machine.steady_since() > books.TOLD_US:
            found = books.listed(host, machine.agent.told)
        if found:
            self.checker.broken("books", f"{machine.name}: {found}")

    def _finish(self) -> Report:
        r, checker = self.report, self.checker
        r.steps, r.virtual_s = self.scheduler.steps, self.now_us / 1e6
        r.messages, r.calls = len(checker.handed), checker.calls
        r.delivered, r.refused = checker.delivered, checker.refused
        r.kills = sum(m.kills for m in self.machines)
        if r.violation is None:
            r.quality = measured(
                self.settings.classes,
                self.wished,
                checker.handed.values(),
                self.clients.holders,
                self.outages,
            )
        return r

    @contextlib.contextmanager
    def _logs(self) -> Iterator[None]:
        """The couriers' log goes to the trace; an exception in it breaks the run."""
        logger = logging.getLogger("madderbeam")
        old = logger.level, logger.propagate, logger.handlers[:]
        logger.setLevel(logging.INFO if self.traced else logging.ERROR)
        logger.propagate, logger.handlers = False, [_Log(self)]
        try:
            yield
        finally:
            logger.level, logger.propagate, logger.handlers = old[0], old[1], old[2]
            logger.setLevel(old[0])


class _Log(logging.Handler):
    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    def handle(self, record: logging.LogRecord) -> bool:
        if record.exc_info and isinstance(record.exc_info[1], Broken):
            raise record.exc_info[1]
        self.world.note("log", record.getMessage())
        if record.exc_info:
            error = record.exc_info[1]
            self.world.checker.broken("crash", f"{record.getMessage()}: {type(error).__name__}: {error}")
        return True
