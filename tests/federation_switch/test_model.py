"""Every order of messages, agreed tables, crashes and time up to a depth: three sites, three voters, one
destination that goes from a to b and back or on, with leases and without."""

from __future__ import annotations

import io
import pickle
import sys
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest
from switch_world import ids, table

from madderbeam.federation import values as fv
from madderbeam.federation.leases.lease import LeaseGrantor
from madderbeam.federation.switchover import ownership_registry
from madderbeam.federation.switchover.ledger import Ledger, after
from madderbeam.federation.switchover.messages import (
    InForceQuery,
    InForceReply,
    LeaseEndRequest,
    LeaseReply,
    LeaseRequest,
)
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.switchover.switchover import Switchover
from madderbeam.membership import values as mv

SITES = {"a": "m1", "b": "m1", "c": "m1"}
MEMBERS = ids("a/m1", "b/m1", "c/m1")
LEASE_US, TICK_US, FAR_US = 1_000_000, 501_000, 10**15
CRASHES, TICKS, FLIGHT = 1, 4, 5
DEPTH = 3


def wall_ms(now_us: int) -> int:
    return now_us // 1_000


TABLES: dict[tuple[int, str], fv.Table] = {}  # shared by all states


def packed(model: Model) -> bytes:
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, 5)
    pickler.dispatch_table = {fv.Table: lambda t: (_known, (_remembered(t),))}
    pickler.dump(model)
    return buffer.getvalue()


def _known(key: tuple[int, str]) -> fv.Table:
    return TABLES[key]


def _remembered(told: fv.Table) -> tuple[int, str]:
    key = (told.number, told.owners[7])
    TABLES.setdefault(key, told)
    return key


class Overlap(AssertionError):
    """Two sites may call at once."""


class Model:
    """One state. `flight`: what may arrive next, in any order or never."""

    def __init__(self, owners: str, lease_us: int) -> None:
        self.settings = SwitchoverSettings(
            lease_us=lease_us, turn_us=TICK_US, ask_us=TICK_US, catch_up_us=FAR_US, report_us=FAR_US
        )
        self.tables = [table(n + 1, SITES, {7: owner}) for n, owner in enumerate(owners)]
        self.now_us, self.crashes, self.ticks, self.chosen = 0, 0, 0, 1
        self.flight: list[tuple[mv.MemberId, Any]] = []
        self.disks: dict[mv.MemberId, dict[tuple[str, str], Any]] = {m: {} for m in MEMBERS}
        self.accepted: dict[mv.MemberId, set[int]] = {m: set() for m in MEMBERS}
        self.knows: dict[mv.MemberId, int] = dict.fromkeys(MEMBERS, 1)
        self.starts = dict.fromkeys(MEMBERS, 0)
        self.nodes: dict[mv.MemberId, Switchover] = {}
        self.timers: dict[mv.MemberId, dict[str, int]] = {m: {} for m in MEMBERS}
        self.out: dict[mv.MemberId, int] = {}  # calls that are out where it lets go, by table
        for member in MEMBERS:
            self.start(member)
        while self.flight:
            self.arrive(0)

    # What may happen next

    def steps(self) -> Iterator[tuple[Any, ...]]:
        for i in range(min(len(self.flight), FLIGHT)):
            yield ("arrive", i)
        if self.chosen < len(self.tables):
            for lacking in MEMBERS:
                if all(m in self.nodes for m in MEMBERS if m != lacking):
                    yield ("choose", lacking)
        for member in MEMBERS:
            if member not in self.nodes:
                yield ("start", member)
                continue
            if self.knows[member] < self.chosen:
                yield ("agreed", member)
            if member in self.out:
                yield ("released", member)
            if self.crashes < CRASHES:
                yield ("crash", member)
        if self.ticks < TICKS:
            yield ("tick",)

    def step(self, what: str, *which: Any) -> None:
        getattr(self, what)(*which)
        self.check()

    def arrive(self, i: int) -> None:
        to, event = self.flight.pop(i)
        self.give(to, event)

    def choose(self, lacking: mv.MemberId) -> None:
        self.chosen += 1
        for member in MEMBERS:
            if member != lacking:
                self.accepted[member].add(self.chosen)

    def agreed(self, member: mv.MemberId) -> None:
        self.knows[member] += 1
        self.give(member, fv.TableAgreed(self.tables[self.knows[member] - 1]))

    def released(self, member: mv.MemberId) -> None:
        self.give(member, fv.DestinationReleased(fv.Release(7, member, self.out.pop(member))))

    def crash(self, member: mv.MemberId) -> None:
        self.crashes += 1
        del self.nodes[member]
        self.timers[member] = {}
        self.out.pop(member, None)
        self.flight = [(to, event) for to, event in self.flight if to != member]

    def start(self, member: mv.MemberId) -> None:
        self.starts[member] += 1
        life = mv.Incarnation(self.starts[member], 0)
        records = dict(self.disks[member])
        switch = Switchover(
            self.settings, member, life, records, self.tables[0], Council(self, member), wall_ms
        )
        self.nodes[member] = switch
        self.carry(member, switch.start(self.now_us))

    def tick(self) -> None:
        self.ticks += 1
        self.now_us += TICK_US
        for member in list(self.nodes):
            due = [token for token, at_us in self.timers[member].items() if at_us <= self.now_us]
            for token in due:
                del self.timers[member][token]
                self.give(member, mv.TimerDue(token))

    # The model host

    def give(self, member: mv.MemberId, event: Any) -> None:
        if member in self.nodes:
            self.carry(member, self.nodes[member].handle(self.now_us, event))

    def carry(self, member: mv.MemberId, actions: list[Any]) -> None:
        written = []
        for action in actions:
            match action:
                case mv.Persist(kind, key, value):
                    self.disks[member][kind, key] = value
                    if value is None:
                        del self.disks[member][kind, key]
                case mv.SetTimer(at_us, token):
                    if "written" in token:
                        written.append(token)
                    else:
                        self.timers[member][token] = at_us
                case mv.SendMessage(to, message):
                    self.send(to, mv.MessageReceived(member, message))
                case mv.Disseminate(key, version, told, keep_us):
                    for other in MEMBERS:
                        if other != member:
                            self.send(
                                other, mv.GossipReceived(mv.GossipEntry(member, key, version, told, keep_us))
                            )
                case fv.Relinquish(_, number):
                    self.out[member] = number
        for token in written:
            self.give(member, mv.TimerDue(token))

    def send(self, to: mv.MemberId, event: Any) -> None:
        if (to, event) not in self.flight:
            self.flight.append((to, event))

    # Judged from outside

    def flush(self, cut: mv.MemberId | None = None) -> None:
        """All that is under way arrives, but for what comes from or goes to the one that is cut off."""
        while self.flight:
            to, event = self.flight.pop(0)
            if cut not in (to, getattr(event, "member", None), getattr(event, "entry", event)):
                self.give(to, event)

    def check(self) -> None:
        calls = [m for m, s in self.nodes.items() if s.may_call(self.now_us, 7)]
        calls += [m for m in self.out if self.nodes[m].holder.is_valid(self.now_us)]
        if len({m.site for m in calls}) > 1:
            raise Overlap(f"{', '.join(map(str, calls))} may call at once")

    def key(self) -> bytes:
        """Counters apart, which only tell an answer from a late one."""
        asks = {m: (s.inquiry.ask, s.leasing.request_id) for m, s in self.nodes.items()}
        flight = []
        for to, event in self.flight:
            message = event.message if isinstance(event, mv.MessageReceived) else None
            if isinstance(message, (InForceQuery, LeaseRequest)):
                asker = asks.get(event.member, (0, 0))[isinstance(message, LeaseRequest)]
                event = replace(event, message=replace(message, ask=asker - message.ask))
            elif isinstance(message, (InForceReply, LeaseReply)):
                asker = asks.get(to, (0, 0))[isinstance(message, LeaseReply)]
                event = replace(event, message=replace(message, ask=asker - message.ask))
            if isinstance(message, InForceReply):
                numbers = [t.number for t in message.tables]
                event = (event.member, replace(event.message, tables=(), whole=None), numbers)
            flight.append(repr((to, event)))
        nodes = [(m, _shown(s), sorted(self.timers[m].items())) for m, s in sorted(self.nodes.items())]
        rest = (self.now_us, self.crashes, self.ticks, self.chosen, self.knows, self.out, self.accepted)
        disks = [
            sorted((k, (len(v[0]), v[1]) if k[0] == "force" else v) for k, v in self.disks[m].items())
            for m in MEMBERS
        ]
        return repr((sorted(flight), nodes, rest, disks)).encode()


class Council:
    def __init__(self, model: Model, member: mv.MemberId) -> None:
        self.model, self.member = model, member

    def pending(self) -> list[Any]:
        numbers = [n for n in self.model.accepted[self.member] if n > self.model.knows[self.member]]
        return [(self.model.tables[n - 1].proposal_id, self.model.tables[n - 1]) for n in numbers]

    def may_vote(self) -> bool:
        return True

    def known_since(self, number: int) -> list[fv.Table]:
        return self.model.tables[number : self.model.knows[self.member]]


def _shown(s: Switchover) -> Any:
    holder = [(s.leasing.request_id - ask, v) for ask, v in s.holder._open_requests.items()]
    inquiry = (s.inquiry.asking, s.inquiry.holding, s.inquiry.held, s.inquiry.newest, s.inquiry.next_us)
    answers = sorted((str(m), a.number, a.pending) for m, a in s.inquiry.answers.items())
    ownership_registry = (
        s.book.ledger.number,
        s.book.ledger.debts,
        sorted(s.book.facts.items()),
        s.book.standings,
    )
    voter = (
        s.leasing.grantor.last_renewed_us,
        s.leasing.grantor.min_renewal_table,
        s.leasing.grantor.confirms_from_us,
        s.leasing.end_tracker.confirmations,
    )
    moves = (s.moves.served, s.moves.leaving, s.holds.gate.is_suspended, s.holds.gate.destinations)
    adoption = (sorted(s.adoption.agreed), s.adoption.fresh)
    return ownership_registry, moves, inquiry, answers, s.holder.valid_until_us, holder, voter, adoption


def at_the_start(model: Model) -> None:
    """Table 1 is in force, and nothing is under way."""


def letting_go(model: Model) -> None:
    """a and b have table 2 in force, a call is out at a."""
    model.choose(MEMBERS[2])
    model.agreed(MEMBERS[0])
    model.agreed(MEMBERS[1])
    model.flush()


def begun(model: Model) -> None:
    """b has begun, table 3 is chosen, and in force where it gives the destination to."""
    letting_go(model)
    model.released(MEMBERS[0])
    model.flush()
    model.choose(MEMBERS[0])
    owner = next(m for m in MEMBERS if m.site == model.tables[2].owners[7])
    while model.knows[owner] < 3:
        model.agreed(owner)


def skipped(model: Model) -> None:
    """A call is out at a, b has not begun, and table 3 is in force at b and c."""
    letting_go(model)
    model.choose(MEMBERS[0])
    for member in (MEMBERS[1], MEMBERS[2], MEMBERS[2]):
        model.agreed(member)


def lease_nearly_over(model: Model) -> None:
    """b and c have table 2 in force, a has not and is not heard; what it asked for last is on its way, and
    b asks for the end of its lease."""
    model.choose(MEMBERS[0])
    model.agreed(MEMBERS[1])
    model.agreed(MEMBERS[2])
    model.flush(MEMBERS[0])
    model.tick()
    late = [f for f in model.flight if isinstance(getattr(f[1], "message", None), LeaseRequest)]
    model.flush(MEMBERS[0])
    model.flight = []
    model.tick()
    asked = [f for f in model.flight if isinstance(getattr(f[1], "message", None), LeaseEndRequest)]
    model.flight = [f for f in late if f[1].member == MEMBERS[0]] + asked


def explore(owners: str, lease_us: int, prefix: Callable[[Model], None], depth: int) -> tuple[int, int]:
    """States and steps. Raises Overlap with the way there."""
    first = Model(owners, lease_us)
    prefix(first)
    first.ticks = 0
    seen = {hash(first.key())}
    level = [(packed(first), ())]
    steps = 0
    for _ in range(depth):
        following = []
        for state, way in level:
            for step in pickle.loads(state).steps():
                model = pickle.loads(state)
                steps += 1
                try:
                    model.step(*step)
                except Overlap as error:
                    raise Overlap(f"{error} after {[*way, step]}") from None
                key = hash(model.key())
                if key not in seen:
                    seen.add(key)
                    following.append((packed(model), (*way, step)))
        level = following
    return len(seen), steps


def ready_alone(self: LeaseGrantor, now_us: int, *_: Any) -> bool:
    return now_us >= self.confirms_from_us


def chain_forgotten(kept: Ledger, *rest: Any) -> Ledger:
    return after(replace(kept, debts={}), *rest)


SCENES = [
    ("aba", 0, at_the_start),
    ("aba", 0, letting_go),
    ("aba", 0, begun),
    ("abc", 0, skipped),
    ("abc", LEASE_US, begun),
    ("aba", LEASE_US, lease_nearly_over),
]


@pytest.mark.parametrize("owners, lease_us, prefix", SCENES)
def test_every_order_up_to_a_depth(owners, lease_us, prefix):
    states, _ = explore(owners, lease_us, prefix, DEPTH)
    assert states > 200


@pytest.mark.parametrize(
    "plant, owners, lease_us, prefix",
    [
        (lambda p: p.setattr(OwnershipRegistry, "missing", lambda self, dest: {}), "aba", 0, at_the_start),
        (
            lambda p: p.setattr(LeaseGrantor, "can_confirm_end", ready_alone),
            "aba",
            LEASE_US,
            lease_nearly_over,
        ),
        (lambda p: p.setattr(ownership_registry, "after", chain_forgotten), "abc", 0, skipped),
    ],
    ids=["a release assumed", "a voter forgets its last word", "the chain forgotten"],
)
def test_planted_bugs_are_found(monkeypatch, plant, owners, lease_us, prefix):
    plant(monkeypatch)
    with pytest.raises(Overlap):
        explore(owners, lease_us, prefix, DEPTH + 1)


if __name__ == "__main__":
    for scene in SCENES:
        print(scene[0], scene[1], scene[2].__name__, *explore(*scene, int(sys.argv[1])), flush=True)
