"""Switch machines on a virtual network with failing disks, drifting clocks and a fake agreement; each call
that their model hosts make is noted, and judged from outside."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from madderbeam.federation import values as fv
from madderbeam.federation.switchover import messages
from madderbeam.federation.switchover.release_records import of_row
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.switchover.switchover import Switchover
from madderbeam.federation.values import MemberRow, ProposalId, Release, RemainingSpan, Table
from madderbeam.membership import values as mv
from madderbeam.membership.values import Incarnation, MemberId

MS, SECOND = 1_000, 1_000_000
CALL_US = 150 * MS  # a call's longest time


class Broken(AssertionError):
    """Something that must hold does not."""


def table(number: int, sites: dict[str, str], owners: dict[int, str], off: str = "") -> Table:
    """`sites`: names of members by site, one that begins with - does not vote; `off`: SITE/NAME ..."""
    rows = {
        s: tuple(MemberRow(n.lstrip("-"), (f"{s}.{n}", 1), not n.startswith("-")) for n in names.split())
        for s, names in sites.items()
    }
    return Table(number, rows, owners, frozenset(MemberId(*m.split("/")) for m in off.split()))


def ids(*names: str) -> list[MemberId]:
    return [MemberId(*n.split("/")) for n in names]


@dataclass
class Call:
    node: Node
    dest: int
    start_us: int
    end_us: int


class Node:
    """A member: its folder, clock, process and model host."""

    def __init__(self, world: World, me: MemberId, ppm: int) -> None:
        self.world, self.me, self.ppm = world, me, ppm
        self.skew_us = world.rng.randrange(10**9, 10**10)
        self.disk: dict[tuple[str, str], Any] = {}
        self.starts = 0
        self.alive = self.paused = False
        self.epoch = 0  # of the process: what is meant for an earlier one is dropped
        self.later: list[Callable[[], None]] = []
        self.accepted: dict[ProposalId, Table] = {}  # durable, the agreement's
        self.agreed: dict[int, Table] = {}  # likewise
        self.in_force: list[int] = []
        self.notes: list[mv.LogLine] = []

    # Council

    def pending(self) -> list[tuple[ProposalId, Table | None]]:
        return [(p, t) for p, t in self.accepted.items() if p.number not in self.agreed]

    def may_vote(self) -> bool:
        return True

    def known_since(self, number: int) -> list[Table]:
        return [t for n, t in sorted(self.agreed.items()) if n > number]

    # Process

    def now_us(self) -> int:
        return self.skew_us + self.world.now_us + self.world.now_us * self.ppm // 1_000_000

    def wall_ms(self, now_us: int) -> int:
        return self.world.now_us // 1_000 + self.world.wall_steps.get(self.me, 0)

    def start(self) -> None:
        self.epoch += 1
        self.starts += 1
        self.alive, self.paused, self.later = True, False, []
        self.began: dict[int, tuple[Release, ...]] = {}
        self.letting: dict[int, int] = {}
        self.told: dict[int, Release] = {}  # by the host, and not on disk yet
        self.waits: dict[int, int] = {}  # until, by true time
        self.drains: tuple[RemainingSpan, ...] = ()  # likewise
        self.cold = False
        self.timers: dict[str, int] = {}
        self.rumours: dict[tuple[MemberId, str], mv.GossipEntry] = {}
        self.gate = fv.SuspendServing(True, "")
        self.in_force = []
        disk = msgpack.unpackb(msgpack.packb(list(self.disk.items())), use_list=True)
        records = {tuple(key): value for key, value in disk}
        life = Incarnation(self.starts, self.world.rng.getrandbits(60))
        w = self.world
        self.switch = w.make(w.settings, self.me, life, records, w.tables[0], self, self.wall_ms)
        self.carry(self.switch.start(self.now_us()))
        if self.agreed:
            self.give(fv.TableAgreed(self.agreed[max(self.agreed)]))
        w.after(w.rng.randrange(50 * MS), self.mine(self.gossip))
        w.after(w.rng.randrange(50 * MS), self.mine(self.work))
        for other in w.nodes.values():
            if other is not self and other.alive and not w.cut(self, other):
                self.give(mv.LinkUp(other.me))
                w.after(MS, other.mine(lambda o=other: o.give(mv.LinkUp(self.me))))

    def kill(self) -> None:
        self.alive = False
        self.epoch += 1
        for call in self.world.calls:
            if call.node is self:
                call.end_us = min(call.end_us, self.world.now_us)

    def pause(self) -> None:
        self.paused = True

    def go_on(self) -> None:
        self.paused = False
        self.give(mv.PauseDetected(1 * SECOND))
        later, self.later = self.later, []
        for action in later:
            action()

    def mine(self, action: Callable[[], None]) -> Callable[[], None]:
        """Only for the process that runs now, and not while it is paused."""
        epoch = self.epoch

        def run() -> None:
            if self.epoch != epoch or not self.alive:
                return
            if self.paused:
                self.later.append(run)
            else:
                action()

        return run

    def give(self, event: Any) -> None:
        if self.alive and not self.paused:
            self.carry(self.switch.handle(self.now_us(), event))

    def carry(self, actions: list[Any]) -> None:
        w, rng = self.world, self.world.rng
        if not self.alive:
            return
        for action in actions:
            if w.crash_part and rng.random() < w.crash_part:
                w.crash(self)
                return
            match action:
                case mv.Persist(kind, key, value):
                    w.records += 1
                    if w.records == w.fail_at or (w.fail_part and rng.random() < w.fail_part):
                        w.after(MS, self.mine(lambda k=kind, y=key: self.give(mv.WriteFailed(k, y))))
                        return
                    self._keep(kind, key, value)
                case mv.SetTimer(at_us, token):
                    self._timer(at_us, token)
                case mv.SendMessage(to, message):
                    w.send(self, to, message)
                case mv.Disseminate(key, version, body, keep_us):
                    if len(body) > mv.MAX_ENTRY_BODY_BYTES:
                        raise Broken("a rumour that is too long")
                    self.rumours[self.me, key] = mv.GossipEntry(self.me, key, version, body, keep_us)
                case mv.LogLine():
                    self.notes.append(action)
                case fv.SuspendServing():
                    self.gate = action
                case fv.TableInForce(new, before):
                    self._in_force(new, before)
                case fv.BeginServing(dest, releases):
                    self._begin(dest, releases)
                case fv.Relinquish(dest, number):
                    self.began.pop(dest, None)
                    self.letting[dest] = number
                    self.let_go()
                case fv.FinishProposal(proposal):
                    w.after(rng.randrange(300 * MS), lambda p=proposal: w.finish(self, p))
                case _:
                    raise Broken(f"an action that no host knows: {action}")

    def _keep(self, kind: str, key: str, value: Any) -> None:
        if value is None:
            self.disk.pop((kind, key), None)
            return
        self.disk[kind, key] = msgpack.unpackb(msgpack.packb(value))
        if kind == "release":
            lies = of_row(value)
            if self.told.pop(lies.release.dest, None) is not None:
                for wait in lies.left(self.now_us()).retry_waits:
                    self.world.bind(lies.release, wait)

    def _timer(self, at_us: int, token: str) -> None:
        self.timers[token] = at_us

        def due() -> None:
            if self.timers.get(token) == at_us:
                del self.timers[token]
                self.give(mv.TimerDue(token))

        self.world.after(max(1, at_us - self.now_us()), self.mine(due))

    def _in_force(self, new: Table, before: Table | None) -> None:
        if new.number not in self.world.chosen:
            raise Broken(f"{self.me} has table {new.number} in force, which is not agreed")
        if self.in_force and (before is None or new.number <= self.in_force[-1]):
            raise Broken(f"{self.me} had {self.in_force} in force, now {new.number}")
        self.in_force.append(new.number)

    def _begin(self, dest: int, releases: tuple[Release, ...]) -> None:
        if dest in self.began or dest in self.letting:
            raise Broken(f"{self.me} begins at {dest} twice, or while it lets go")
        self.began[dest] = releases
        left = max((w.remaining_us for r in releases for w in r.retry_waits), default=0)
        until_us = self.world.now_us + left + left // 1_000 + MS
        self.waits[dest] = max(self.waits.get(dest, 0), until_us if left else 0)

    # Model host

    def work(self) -> None:
        w, rng = self.world, self.world.rng
        w.after(rng.randrange(5 * MS, 60 * MS), self.mine(self.work))
        if not self.began:
            return
        dest = rng.choice(sorted(self.began))
        out = any(c.node is self and c.dest == dest and c.end_us > w.now_us for c in w.calls)
        if out or not self.switch.may_call(self.now_us(), dest, CALL_US):
            return
        if self.gate.is_suspended and (self.gate.destinations is None or dest in self.gate.destinations):
            raise Broken(f"{self.me} may call at {dest} and was told to hold")
        if self.waits.get(dest, 0) > w.now_us:
            return
        call = Call(self, dest, w.now_us, w.now_us + rng.randrange(MS, CALL_US))
        w.called(call)
        w.after(call.end_us - w.now_us, self.mine(lambda: self._answered(call)))

    def _answered(self, call: Call) -> None:
        rng = self.world.rng
        if rng.random() < self.world.wait_part:
            self.waits[call.dest] = self.world.now_us + rng.randrange(100 * MS, 3 * SECOND)
        self.let_go()

    def let_go(self) -> None:
        now_us = self.world.now_us
        for dest, number in list(self.letting.items()):
            if any(c.node is self and c.dest == dest and c.end_us > now_us for c in self.world.calls):
                continue
            del self.letting[dest]
            left = self.waits.get(dest, 0) - now_us
            waits = (RemainingSpan("", left),) if left > 0 else ()
            drains = tuple(replace(d, remaining_us=d.remaining_us - now_us) for d in self.drains)
            release = self.told[dest] = Release(dest, self.me, number, waits, drains, self.cold)
            self.world.after(MS, self.mine(lambda r=release: self.give(fv.DestinationReleased(r))))

    def gossip(self) -> None:
        w, rng = self.world, self.world.rng
        w.after(rng.randrange(50 * MS, 200 * MS), self.mine(self.gossip))
        others = [n for n in w.nodes.values() if n is not self and n.alive and not w.cut(self, n)]
        if others and rng.random() >= w.loss:
            other, rumours = rng.choice(others), list(self.rumours.values())
            w.after(rng.randrange(MS, 50 * MS), other.mine(lambda: other.hear(rumours)))

    def hear(self, rumours: list[mv.GossipEntry]) -> None:
        for rumour in rumours:
            known = self.rumours.get((rumour.owner, rumour.key))
            if rumour.owner != self.me and (known is None or known.version < rumour.version):
                self.rumours[rumour.owner, rumour.key] = rumour
                self.give(mv.GossipReceived(rumour))


@dataclass
class World:
    """All of it. `crash_part`, `fail_part`: of actions, and of records, that fail."""

    seed: int
    first: Table
    settings: SwitchoverSettings = field(default_factory=SwitchoverSettings)
    crash_part: float = 0.0
    fail_part: float = 0.0
    loss: float = 0.0
    wait_part: float = 0.1
    heed_waits: bool = True
    make: Callable[..., Switchover] = Switchover

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now_us, self._count = 0, 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self.tables = [self.first]
        self.chosen = {self.first.number: self.first}
        self.calls: list[Call] = []
        self.log: list[Call] = []
        self.bound: list[tuple[int, str, int]] = []  # destination, whose wait, until
        self.cuts: set[frozenset[MemberId]] = set()
        self.wall_steps: dict[MemberId, int] = {}
        self.slow: dict[tuple[MemberId, MemberId], int] = {}  # added to the way from one to another
        self.one_way: set[tuple[MemberId, MemberId]] = set()  # cut from one to another alone
        self.unaware: set[MemberId] = set()  # agreement does not reach them
        self.fail_at = 0  # the record that fails, counted from 1
        self.records = 0
        self.called_off: set[MemberId] = set()
        self.nodes: dict[MemberId, Node] = {}
        self.frames = 0
        for site in sorted(self.first.sites):
            for member in self.first.members(site):
                self.add(member)

    def add(self, member: MemberId) -> Node:
        self.nodes[member] = Node(self, member, self.rng.choice((0, 100, 200)))
        return self.nodes[member]

    def __getitem__(self, name: str) -> Node:
        return self.nodes[MemberId(*name.split("/"))]

    def start(self) -> World:
        for node in self.nodes.values():
            node.start()
        return self

    def after(self, span_us: int, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now_us + max(1, span_us), self._count, action))

    def run(self, span_us: int, until: Callable[[], bool] | None = None) -> bool:
        """True as soon as `until` holds; time stands at the end of the span else."""
        end_us = self.now_us + span_us
        while self._heap and self._heap[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
            if until is not None and until():
                return True
        self.now_us = end_us
        return until is None

    # Network

    def cut(self, a: Node, b: Node) -> bool:
        return frozenset((a.me, b.me)) in self.cuts

    def split(self, *names: str) -> None:
        """These on one side, all others on the other."""
        side = set(ids(*names))
        self.cuts = {frozenset((a, b)) for a in side for b in set(self.nodes) - side}

    def send(self, node: Node, to: MemberId, message: Any) -> None:
        row = msgpack.packb(messages.to_row(message))
        other = self.nodes.get(to)
        self.frames += 1
        if (node.me, to) in self.one_way:
            return
        if other is None or not other.alive or self.cut(node, other) or self.rng.random() < self.loss:
            return

        def arrive() -> None:
            if not self.cut(node, other):
                other.give(mv.MessageReceived(node.me, messages.from_row(msgpack.unpackb(row))))

        slow_us = self.slow.get((node.me, to), 0)
        self.after(slow_us + self.rng.randrange(MS, 40 * MS), other.mine(arrive))

    def crash(self, node: Node) -> None:
        """And back soon after."""
        node.kill()
        self.after(self.rng.randrange(10 * MS, 2 * SECOND), lambda: None if node.alive else node.start())

    # Agreement

    def agree(self, new: Table, voters: list[MemberId] | None = None, delays: bool = True) -> None:
        """Chosen now: a majority of voters has accepted; the others hear of it at different times."""
        voters = self.quorum() if voters is None else voters
        self.chosen[new.number] = new
        self.tables.append(new)
        for member in voters:
            self.nodes[member].accepted[new.proposal_id] = new
        for site in new.sites:
            for member in new.members(site):
                if member not in self.nodes:
                    self.add(member).start()
        for node in self.nodes.values():
            span_us = self.rng.randrange(MS, 3 * SECOND) if delays else MS
            self.after(span_us, lambda n=node: self.learn(n, new))

    def learn(self, node: Node, new: Table) -> None:
        """It reaches those that are there and not cut off from all that know it; others ask later."""
        sources = [n for n in self.nodes.values() if (n.alive and new.proposal_id in n.accepted) or n is node]
        reached = new.proposal_id in node.accepted
        reached = reached or any(not self.cut(node, n) for n in sources if n is not node)
        if node.alive and not node.paused and reached and node.me not in self.unaware:
            node.agreed[new.number] = new
            node.give(fv.TableAgreed(new))

    def quorum(self) -> list[MemberId]:
        """Some majority of the voters that is up and together; none if there is none."""
        latest = self.tables[-1]
        up = [self.nodes[m] for m in latest.voters if self.nodes[m].alive and not self.nodes[m].paused]
        for node in self.rng.sample(up, len(up)):
            side = [n.me for n in up if not self.cut(node, n)]
            if len(side) > len(latest.voters) // 2:
                return self.rng.sample(side, len(latest.voters) // 2 + 1)
        return []

    def finish(self, node: Node, proposal: ProposalId) -> None:
        new = self.chosen.get(proposal.number)
        if new is not None and new.proposal_id == proposal:
            if node.alive and not node.paused:
                self.learn(node, new)
            return
        known = [n.accepted[proposal] for n in self.nodes.values() if proposal in n.accepted]
        voters = self.quorum()
        if known and voters and proposal.number == self.tables[-1].number + 1 and self.rng.random() < 0.5:
            self.agree(known[0], voters)
        elif voters:
            for other in self.nodes.values():
                other.accepted.pop(proposal, None)

    # Judged from outside

    def called(self, call: Call) -> None:
        now_us = self.now_us
        self.calls = [c for c in self.calls if c.end_us > now_us]
        for other in self.calls:
            if other.dest == call.dest and other.node.me.site != call.node.me.site:
                raise Broken(f"F1: {call.node.me} and {other.node.me} both call at {call.dest}")
        for dest, site, until_us in self.bound if self.heed_waits else ():
            if dest == call.dest and site != call.node.me.site and now_us < until_us:
                early_us = until_us - now_us
                raise Broken(f"F3: {call.node.me} calls at {dest} {early_us} us before its wait ends")
        self.calls.append(call)
        self.log.append(call)

    def bind(self, release: Release, wait: RemainingSpan) -> None:
        """A wait that was written into a release binds every other site."""
        self.bound = [b for b in self.bound if b[2] > self.now_us]
        self.bound.append((release.dest, release.member.site, self.now_us + wait.remaining_us))

    def served(self) -> bool:
        """All members have the latest table, and serve what it gives them and nothing else."""
        latest = self.tables[-1]
        for node in self.nodes.values():
            if not node.alive:
                continue
            named = node.me in latest.members(node.me.site)
            mine = {d for d, s in latest.owners.items() if s == node.me.site and named}
            if node.switch.book.ledger.number != latest.number or set(node.began) != mine:
                return False
            if mine and node.switch.holds.gate.is_suspended:
                return False
        return True

    def settled(self) -> bool:
        """And nobody keeps what nobody needs."""
        books = [n.switch.book for n in self.nodes.values() if n.alive]
        return self.served() and not any(b.own or b.facts or b.ledger.debts for b in books)

    def next_table(self, owners: dict[int, str], **changes: Any) -> Table:
        latest = self.tables[-1]
        return replace(latest, number=latest.number + 1, owners=owners, decommissioned=frozenset(), **changes)
