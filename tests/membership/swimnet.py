"""A simulated network of membership machines with seeded faults.

Datagrams are lost, delayed, duplicated and reordered; directions are cut; processes are paused.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Any

import msgpack

from madderbeam.membership.incarnations import next_incarnation
from madderbeam.membership.membership import Membership
from madderbeam.membership.messages import to_row
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import (
    DatagramReceived,
    ExchangeFailed,
    MemberChanged,
    MemberId,
    Persist,
    SendDatagram,
    SetTimer,
    StartStateExchange,
    State,
    StateReceived,
    StateReply,
    TimerDue,
    WriteFailed,
)  # fmt: skip

S = 1_000_000


@dataclass
class Link:
    """One direction between two members; a delay drawn for each datagram reorders them."""

    loss: float = 0.0
    delay_us: tuple[int, int] = (1_000, 5_000)
    double: float = 0.0


@dataclass
class Node:
    """One simulated member and its durable records."""

    id: MemberId
    address: tuple[str, int]
    records: dict[tuple[str, str], Any] = field(default_factory=dict)
    machine: Membership | None = None  # None: the process is down
    timers: dict[str, int] = field(default_factory=dict)
    paused_until: int = 0
    log: list[tuple[int, Any]] = field(default_factory=list)  # all actions but sent messages
    disk_fails: bool = False
    run: int = 0  # identifies the process: events of an earlier one are dropped


class Net:
    """Time is `now`; `links` by (from, to) where they differ from `link`; `cut`: cut directions."""

    def __init__(
        self, seed: int, settings: MembershipSettings | None = None, link: Link | None = None
    ) -> None:
        self.chance = random.Random(seed)
        self.settings, self.link = settings or MembershipSettings(), link or Link()
        self.links: dict[tuple[MemberId, MemberId], Link] = {}
        self.cut: set[tuple[MemberId, MemberId]] = set()
        self.nodes: dict[MemberId, Node] = {}
        self.at: dict[tuple[str, int], Node] = {}
        self.now, self.heap, self.number = 0, [], itertools.count()
        self.sent: list[tuple[MemberId, Any]] | None = None  # set to a list to record datagrams
        self.bytes: int | None = None  # set to 0 to count the bytes of encoded messages
        self.dead: dict[MemberId, set[MemberId]] = {}  # the members that consider this one dead
        self.most_dead = 0  # the most members that considered one member dead at the same time
        self.replies: dict[int, tuple[Node, int, Node]] = {}

    # Members

    def add(self, member: MemberId, seeds=(), via=None, start=True) -> Node:
        node = Node(member, (f"{member.site}-{member.name}", 7000))
        self.nodes[member] = self.at[node.address] = node
        if start:
            self.start(node, seeds, via)
        return node

    def grow(self, count: int, sites: int = 3, settle_s: float = 20) -> list[Node]:
        """Start members of several sites that join through one seed, and let them settle."""
        ids = [MemberId(f"s{n % sites}", f"m{n}") for n in range(count)]
        seed = (f"{ids[0].site}-{ids[0].name}", 7000)
        nodes = [self.add(one, seeds=(seed,)) for one in ids]
        self.until(self.now + int(settle_s * S))
        return nodes

    def start(self, node: Node, seeds=(), via=None) -> None:
        life = next_incarnation(node.records, self.chance.getrandbits(64))
        node.run, node.timers = node.run + 1, {}
        node.machine = Membership(
            self.settings, node.id, life, node.address, tuple(seeds), via or {},
            random.Random(self.chance.getrandbits(32)), dict(node.records),
        )  # fmt: skip
        self._do(node, node.machine.start(self.now))

    def kill(self, node: Node) -> None:
        node.machine = None

    def pause(self, node: Node, span_us: int) -> None:
        node.paused_until = self.now + span_us

    def give(self, node: Node, event: Any) -> None:
        """Deliver an event of the node's own process, now."""
        assert node.machine is not None
        self._do(node, node.machine.handle(self.now, event))

    def part(self, left, right) -> None:
        """Cut both directions between the two groups."""
        self.cut |= {(a.id, b.id) for a in left for b in right} | {(b.id, a.id) for a in left for b in right}

    # Time

    def until(self, at: int, done=None) -> bool:
        """Run until this time, or until `done()` holds; `done` is evaluated after every event."""
        while self.heap and self.heap[0][0] <= at:
            self.now, _, node, run, event = heapq.heappop(self.heap)
            if node.machine is None or node.run != run:
                continue
            if node.paused_until > self.now:
                self._push(node.paused_until, node, event)
                continue
            if isinstance(event, TimerDue):
                if node.timers.get(event.token, -1) > self.now:
                    continue
                del node.timers[event.token]
            self._do(node, node.machine.handle(self.now, event))
            if done is not None and done():
                return True
        self.now = max(self.now, at)
        return done is not None and done()

    def _push(self, at: int, node: Node, event: Any) -> None:
        heapq.heappush(self.heap, (at, next(self.number), node, node.run, event))

    # Actions

    def _do(self, node: Node, actions: list[Any]) -> None:
        for action in actions:
            kind = type(action)
            if kind is SendDatagram:
                self._datagram(node, action)
            elif kind is SetTimer:
                known = node.timers.get(action.token)
                node.timers[action.token] = action.at_us
                if known != action.at_us:
                    self._push(action.at_us, node, TimerDue(action.token))
            elif kind is Persist:
                if node.disk_fails:
                    self._push(self.now, node, WriteFailed(action.kind, action.key))
                    return
                node.records[action.kind, action.key] = action.value
                if action.value is None:
                    del node.records[action.kind, action.key]
            elif kind is StartStateExchange:
                self._exchange(node, action)
            elif kind is StateReply:
                back, run, _ = self.replies.pop(action.reply_id)
                if self.bytes is not None:
                    self.bytes += len(msgpack.packb(to_row(action.message)))
                if back.run == run:
                    self._push(self.now + self._delay(node, back), back, StateReceived(action.message))
            else:
                node.log.append((self.now, action))
                if kind is MemberChanged:
                    self._changed(node, action.view)

    def _changed(self, node: Node, view) -> None:
        gone = self.dead.setdefault(view.id, set())
        (gone.add if view.state is State.DEAD else gone.discard)(node.id)
        self.most_dead = max(self.most_dead, len(gone))

    def _datagram(self, node: Node, send: SendDatagram) -> None:
        if self.sent is not None:
            self.sent.append((node.id, send.message))
        if self.bytes is not None:
            self.bytes += len(msgpack.packb(to_row(send.message)))
        other = self.at.get(send.address)
        if other is None or (node.id, other.id) in self.cut:
            return
        link = self.links.get((node.id, other.id), self.link)
        for _ in range(1 + (link.double > 0 and self.chance.random() < link.double)):
            if link.loss == 0 or self.chance.random() >= link.loss:
                self._push(
                    self.now + self._delay(node, other), other, DatagramReceived(send.message, node.address)
                )

    def _delay(self, node: Node, other: Node) -> int:
        low, high = self.links.get((node.id, other.id), self.link).delay_us
        return low + int(self.chance.random() * (high - low))

    def _exchange(self, node: Node, action: StartStateExchange) -> None:
        if self.bytes is not None:
            self.bytes += len(msgpack.packb(to_row(action.message)))
        other = self.at.get(action.address)
        if (
            other is None or other.machine is None or other.paused_until > self.now
            or (node.id, other.id) in self.cut or (other.id, node.id) in self.cut
        ):  # fmt: skip
            self._push(self.now + S, node, ExchangeFailed(action.address))
            return
        reply = next(self.number) + 1
        self.replies[reply] = (node, node.run, other)
        self._push(self.now + self._delay(node, other), other, StateReceived(action.message, reply))

    # Checks

    def up(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.machine is not None]

    def agree(self) -> bool:
        """Whether each running member considers exactly the running members alive."""
        ids = {n.id for n in self.up()}
        return all(n.machine.alive() == ids - {n.id} for n in self.up())

    def deaths(self, since: int = 0) -> list[tuple[int, MemberId, MemberId]]:
        """(when, by whom, of whom) for each time a member was declared dead."""
        return [
            (at, node.id, a.view.id) for node in self.nodes.values() for at, a in node.log
            if at >= since and isinstance(a, MemberChanged) and a.view.state is State.DEAD
        ]  # fmt: skip

    def thought(self, member: MemberId, *states: State) -> list[MemberId]:
        """The running members in whose view the member has one of these states."""
        return [
            n.id for n in self.up()
            if n.id != member and (v := n.machine.view(member)) is not None and v.state in states
        ]  # fmt: skip
