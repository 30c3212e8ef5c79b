"""Switchover state machines on a simulated network with failing disks, drifting clocks and a fake agreement.

Each call that their model hosts make is recorded, and the invariants are checked from outside.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from madderbeam.federation import values as fv
from madderbeam.federation.switchover import messages
from madderbeam.federation.switchover.release_records import record_from_row
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.switchover.switchover import Switchover
from madderbeam.federation.values import MemberRow, ProposalId, Release, RemainingSpan, Table
from madderbeam.membership import values as mv
from madderbeam.membership.values import Incarnation, MemberId

MS, SECOND = 1_000, 1_000_000
CALL_US = 150 * MS  # maximum duration of a call


class InvariantViolated(AssertionError):
    """A property that must hold does not."""


def table(number: int, sites: dict[str, str], owners: dict[int, str], off: str = "") -> Table:
    """A table. `sites`: the names of the members by site, with a leading - for a non-voter; `off`:
    SITE/NAME ...
    """
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
    """A member with its disk, clock, process and model host."""

    def __init__(self, world: World, member_id: MemberId, ppm: int) -> None:
        self.world, self.member_id, self.ppm = world, member_id, ppm
        self.skew_us = world.rng.randrange(10**9, 10**10)
        self.disk: dict[tuple[str, str], Any] = {}
        self.starts = 0
        self.alive = self.paused = False
        self.epoch = 0  # of the process; actions for an earlier one are dropped
        self.deferred: list[Callable[[], None]] = []
        self.accepted: dict[ProposalId, Table] = {}  # proposals accepted as a voter; survives a restart
        self.agreed: dict[int, Table] = {}  # by number; survives a restart
        self.in_force: list[int] = []
        self.log_lines: list[mv.LogLine] = []

    # ConsensusView

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
        return self.world.now_us // 1_000 + self.world.wall_steps.get(self.member_id, 0)

    def start(self) -> None:
        self.epoch += 1
        self.starts += 1
        self.alive, self.paused, self.deferred = True, False, []
        self.serving: dict[int, tuple[Release, ...]] = {}
        self.relinquishing: dict[int, int] = {}
        self.unwritten_releases: dict[int, Release] = {}  # reported by the host, not on disk yet
        self.wait_until_us: dict[int, int] = {}  # by destination, in world time
        self.draining_until: tuple[RemainingSpan, ...] = ()  # ends in world time
        self.is_cold = False
        self.timers: dict[str, int] = {}
        self.gossip_entries: dict[tuple[MemberId, str], mv.GossipEntry] = {}
        self.suspension = fv.SuspendServing(True, "")
        self.in_force = []
        disk = msgpack.unpackb(msgpack.packb(list(self.disk.items())), use_list=True)
        records = {tuple(key): value for key, value in disk}
        incarnation = Incarnation(self.starts, self.world.rng.getrandbits(60))
        world = self.world
        self.switch = world.make(
            world.settings, self.member_id, incarnation, records, world.tables[0], self, self.wall_ms
        )
        self.perform(self.switch.start(self.now_us()))
        if self.agreed:
            self.deliver(fv.TableAgreed(self.agreed[max(self.agreed)]))
        world.after(world.rng.randrange(50 * MS), self.if_running(self.gossip))
        world.after(world.rng.randrange(50 * MS), self.if_running(self.make_calls))
        for other in world.nodes.values():
            if other is not self and other.alive and not world.is_cut(self, other):
                self.deliver(mv.LinkUp(other.member_id))
                world.after(MS, other.if_running(lambda o=other: o.deliver(mv.LinkUp(self.member_id))))

    def kill(self) -> None:
        self.alive = False
        self.epoch += 1
        for call in self.world.calls:
            if call.node is self:
                call.end_us = min(call.end_us, self.world.now_us)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        self.deliver(mv.PauseDetected(1 * SECOND))
        later, self.deferred = self.deferred, []
        for action in later:
            action()

    def if_running(self, action: Callable[[], None]) -> Callable[[], None]:
        """The action, performed only by the process that runs now; deferred while it is paused."""
        epoch = self.epoch

        def run() -> None:
            if self.epoch != epoch or not self.alive:
                return
            if self.paused:
                self.deferred.append(run)
            else:
                action()

        return run

    def deliver(self, event: Any) -> None:
        if self.alive and not self.paused:
            self.perform(self.switch.handle(self.now_us(), event))

    def perform(self, actions: list[Any]) -> None:
        world, rng = self.world, self.world.rng
        if not self.alive:
            return
        for action in actions:
            if world.crash_probability and rng.random() < world.crash_probability:
                world.crash(self)
                return
            match action:
                case mv.Persist(kind, key, value):
                    world.records += 1
                    if world.records == world.fail_at or (
                        world.write_failure_probability and rng.random() < world.write_failure_probability
                    ):
                        world.after(
                            MS, self.if_running(lambda k=kind, y=key: self.deliver(mv.WriteFailed(k, y)))
                        )
                        return
                    self._keep(kind, key, value)
                case mv.SetTimer(at_us, token):
                    self._timer(at_us, token)
                case mv.SendMessage(to, message):
                    world.send(self, to, message)
                case mv.Disseminate(key, version, body, keep_us):
                    if len(body) > mv.MAX_ENTRY_BODY_BYTES:
                        raise InvariantViolated("gossip entry too long")
                    self.gossip_entries[self.member_id, key] = mv.GossipEntry(
                        self.member_id, key, version, body, keep_us
                    )
                case mv.LogLine():
                    self.log_lines.append(action)
                case fv.SuspendServing():
                    self.suspension = action
                case fv.TableInForce(new, before):
                    self._in_force(new, before)
                case fv.BeginServing(dest, releases):
                    self._begin(dest, releases)
                case fv.Relinquish(dest, number):
                    self.serving.pop(dest, None)
                    self.relinquishing[dest] = number
                    self.release_idle()
                case fv.FinishProposal(proposal):
                    world.after(rng.randrange(300 * MS), lambda p=proposal: world.finish(self, p))
                case _:
                    raise InvariantViolated(f"unknown action: {action}")

    def _keep(self, kind: str, key: str, value: Any) -> None:
        if value is None:
            self.disk.pop((kind, key), None)
            return
        self.disk[kind, key] = msgpack.unpackb(msgpack.packb(value))
        if kind == "release":
            record = record_from_row(value)
            if self.unwritten_releases.pop(record.release.dest, None) is not None:
                for wait in record.remaining(self.now_us()).retry_waits:
                    self.world.bind_wait(record.release, wait)

    def _timer(self, at_us: int, token: str) -> None:
        self.timers[token] = at_us

        def due() -> None:
            if self.timers.get(token) == at_us:
                del self.timers[token]
                self.deliver(mv.TimerDue(token))

        self.world.after(max(1, at_us - self.now_us()), self.if_running(due))

    def _in_force(self, new: Table, before: Table | None) -> None:
        if new.number not in self.world.chosen:
            raise InvariantViolated(f"{self.member_id} has table {new.number} in force, which is not agreed")
        if self.in_force and (before is None or new.number <= self.in_force[-1]):
            raise InvariantViolated(f"{self.member_id} had {self.in_force} in force, now {new.number}")
        self.in_force.append(new.number)

    def _begin(self, dest: int, releases: tuple[Release, ...]) -> None:
        if dest in self.serving or dest in self.relinquishing:
            raise InvariantViolated(
                f"{self.member_id} begins to serve {dest} twice, or while it relinquishes it"
            )
        self.serving[dest] = releases
        left = max((w.remaining_us for r in releases for w in r.retry_waits), default=0)
        until_us = self.world.now_us + left + left // 1_000 + MS
        self.wait_until_us[dest] = max(self.wait_until_us.get(dest, 0), until_us if left else 0)

    # Model host

    def make_calls(self) -> None:
        world, rng = self.world, self.world.rng
        world.after(rng.randrange(5 * MS, 60 * MS), self.if_running(self.make_calls))
        if not self.serving:
            return
        dest = rng.choice(sorted(self.serving))
        has_call = any(c.node is self and c.dest == dest and c.end_us > world.now_us for c in world.calls)
        if has_call or not self.switch.may_call(self.now_us(), dest, CALL_US):
            return
        if self.suspension.is_suspended and (
            self.suspension.destinations is None or dest in self.suspension.destinations
        ):
            raise InvariantViolated(f"{self.member_id} may call {dest} although serving is suspended")
        if self.wait_until_us.get(dest, 0) > world.now_us:
            return
        call = Call(self, dest, world.now_us, world.now_us + rng.randrange(MS, CALL_US))
        world.record_call(call)
        world.after(call.end_us - world.now_us, self.if_running(lambda: self._on_reply(call)))

    def _on_reply(self, call: Call) -> None:
        rng = self.world.rng
        if rng.random() < self.world.wait_probability:
            self.wait_until_us[call.dest] = self.world.now_us + rng.randrange(100 * MS, 3 * SECOND)
        self.release_idle()

    def release_idle(self) -> None:
        now_us = self.world.now_us
        for dest, number in list(self.relinquishing.items()):
            if any(c.node is self and c.dest == dest and c.end_us > now_us for c in self.world.calls):
                continue
            del self.relinquishing[dest]
            remaining_us = self.wait_until_us.get(dest, 0) - now_us
            waits = (RemainingSpan("", remaining_us),) if remaining_us > 0 else ()
            draining = tuple(replace(d, remaining_us=d.remaining_us - now_us) for d in self.draining_until)
            release = self.unwritten_releases[dest] = Release(
                dest, self.member_id, number, waits, draining, self.is_cold
            )
            self.world.after(MS, self.if_running(lambda r=release: self.deliver(fv.DestinationReleased(r))))

    def gossip(self) -> None:
        world, rng = self.world, self.world.rng
        world.after(rng.randrange(50 * MS, 200 * MS), self.if_running(self.gossip))
        others = [n for n in world.nodes.values() if n is not self and n.alive and not world.is_cut(self, n)]
        if others and rng.random() >= world.loss:
            other, entries = rng.choice(others), list(self.gossip_entries.values())
            world.after(rng.randrange(MS, 50 * MS), other.if_running(lambda: other.receive_gossip(entries)))

    def receive_gossip(self, entries: list[mv.GossipEntry]) -> None:
        for entry in entries:
            known = self.gossip_entries.get((entry.owner, entry.key))
            if entry.owner != self.member_id and (known is None or known.version < entry.version):
                self.gossip_entries[entry.owner, entry.key] = entry
                self.deliver(mv.GossipReceived(entry))


@dataclass
class World:
    """The simulated world. `crash_probability` is per action, `write_failure_probability` per record."""

    seed: int
    first_table: Table
    settings: SwitchoverSettings = field(default_factory=SwitchoverSettings)
    crash_probability: float = 0.0
    write_failure_probability: float = 0.0
    loss: float = 0.0
    wait_probability: float = 0.1
    check_waits: bool = True
    make: Callable[..., Switchover] = Switchover

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now_us, self._count = 0, 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self.tables = [self.first_table]
        self.chosen = {self.first_table.number: self.first_table}
        self.calls: list[Call] = []
        self.log: list[Call] = []
        self.binding_waits: list[tuple[int, str, int]] = []  # destination, releasing site, end
        self.cut_links: set[frozenset[MemberId]] = set()
        self.wall_steps: dict[MemberId, int] = {}
        self.slow: dict[tuple[MemberId, MemberId], int] = {}  # extra latency by sender and receiver
        self.one_way: set[tuple[MemberId, MemberId]] = (
            set()
        )  # links cut in the direction from sender to receiver
        self.unaware: set[MemberId] = set()  # members that do not learn agreed tables
        self.fail_at = 0  # index from 1 of the record whose write fails; 0: none
        self.records = 0
        self.decommissioned_ids: set[MemberId] = set()
        self.nodes: dict[MemberId, Node] = {}
        self.frames = 0
        for site in sorted(self.first_table.sites):
            for member in self.first_table.members(site):
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
        """Advance the time. Returns True as soon as `until` holds, else the time ends at the end of the
        span.
        """
        end_us = self.now_us + span_us
        while self._heap and self._heap[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
            if until is not None and until():
                return True
        self.now_us = end_us
        return until is None

    # Network

    def is_cut(self, a: Node, b: Node) -> bool:
        return frozenset((a.member_id, b.member_id)) in self.cut_links

    def split(self, *names: str) -> None:
        """Cut the links between these members and all others."""
        side = set(ids(*names))
        self.cut_links = {frozenset((a, b)) for a in side for b in set(self.nodes) - side}

    def send(self, node: Node, to: MemberId, message: Any) -> None:
        row = msgpack.packb(messages.to_row(message))
        other = self.nodes.get(to)
        self.frames += 1
        if (node.member_id, to) in self.one_way:
            return
        if other is None or not other.alive or self.is_cut(node, other) or self.rng.random() < self.loss:
            return

        def arrive() -> None:
            if not self.is_cut(node, other):
                other.deliver(mv.MessageReceived(node.member_id, messages.from_row(msgpack.unpackb(row))))

        slow_us = self.slow.get((node.member_id, to), 0)
        self.after(slow_us + self.rng.randrange(MS, 40 * MS), other.if_running(arrive))

    def crash(self, node: Node) -> None:
        """Kill the process and restart it soon after."""
        node.kill()
        self.after(self.rng.randrange(10 * MS, 2 * SECOND), lambda: None if node.alive else node.start())

    # Agreement

    def agree(self, new: Table, voters: list[MemberId] | None = None, delays: bool = True) -> None:
        """Make the table agreed now: a majority of voters accepts it, and the members learn it at
        different times.
        """
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
        """Deliver the agreed table to the member if it is running and can reach one that knows it; others
        query later.
        """
        sources = [n for n in self.nodes.values() if (n.alive and new.proposal_id in n.accepted) or n is node]
        reached = new.proposal_id in node.accepted
        reached = reached or any(not self.is_cut(node, n) for n in sources if n is not node)
        if node.alive and not node.paused and reached and node.member_id not in self.unaware:
            node.agreed[new.number] = new
            node.deliver(fv.TableAgreed(new))

    def quorum(self) -> list[MemberId]:
        """A random majority of the voters that run and can reach each other; empty if there is none."""
        latest = self.tables[-1]
        up = [self.nodes[m] for m in latest.voters if self.nodes[m].alive and not self.nodes[m].paused]
        for node in self.rng.sample(up, len(up)):
            side = [n.member_id for n in up if not self.is_cut(node, n)]
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

    # Checks

    def record_call(self, call: Call) -> None:
        now_us = self.now_us
        self.calls = [c for c in self.calls if c.end_us > now_us]
        for other in self.calls:
            if other.dest == call.dest and other.node.member_id.site != call.node.member_id.site:
                raise InvariantViolated(
                    f"F1: {call.node.member_id} and {other.node.member_id} both call {call.dest}"
                )
        for dest, site, until_us in self.binding_waits if self.check_waits else ():
            if dest == call.dest and site != call.node.member_id.site and now_us < until_us:
                early_us = until_us - now_us
                raise InvariantViolated(
                    f"F3: {call.node.member_id} calls {dest} {early_us} us before its wait ends"
                )
        self.calls.append(call)
        self.log.append(call)

    def bind_wait(self, release: Release, wait: RemainingSpan) -> None:
        """A wait that was written into a release binds every other site."""
        self.binding_waits = [b for b in self.binding_waits if b[2] > self.now_us]
        self.binding_waits.append((release.dest, release.member.site, self.now_us + wait.remaining_us))

    def served(self) -> bool:
        """Whether all members have the latest table in force and serve exactly what it gives them."""
        latest = self.tables[-1]
        for node in self.nodes.values():
            if not node.alive:
                continue
            named = node.member_id in latest.members(node.member_id.site)
            mine = {d for d, s in latest.owners.items() if s == node.member_id.site and named}
            if node.switch.registry.ledger.number != latest.number or set(node.serving) != mine:
                return False
            if mine and node.switch.suspension.current.is_suspended:
                return False
        return True

    def settled(self) -> bool:
        """Whether, besides, no member keeps a record that is no longer needed."""
        books = [n.switch.registry for n in self.nodes.values() if n.alive]
        return self.served() and not any(
            b.own_releases or b.release_records or b.ledger.outstanding for b in books
        )

    def next_table(self, owners: dict[int, str], **changes: Any) -> Table:
        latest = self.tables[-1]
        return replace(latest, number=latest.number + 1, owners=owners, decommissioned=frozenset(), **changes)
