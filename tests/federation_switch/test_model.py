"""Model check: every order of messages, agreed tables, crashes and time steps up to a depth.

Three sites with one voter each; one destination moves from a to b and back or on, with leases and without.
"""

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
from madderbeam.federation.switchover.ledger import Ledger, next_ledger
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
MAX_CRASHES, MAX_TICKS, MAX_CHOICES_IN_TRANSIT = 1, 4, 5
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


def _remembered(known: fv.Table) -> tuple[int, str]:
    key = (known.number, known.owners[7])
    TABLES.setdefault(key, known)
    return key


class Overlap(AssertionError):
    """Two sites may call at the same time."""


class Model:
    """One state. `in_transit`: messages that may arrive next, in any order, or never."""

    def __init__(self, owners: str, lease_us: int) -> None:
        self.settings = SwitchoverSettings(
            lease_us=lease_us,
            check_interval_us=TICK_US,
            query_retry_us=TICK_US,
            catch_up_interval_us=FAR_US,
            report_interval_us=FAR_US,
        )
        self.tables = [table(n + 1, SITES, {7: owner}) for n, owner in enumerate(owners)]
        self.now_us, self.crashes, self.ticks, self.chosen = 0, 0, 0, 1
        self.in_transit: list[tuple[mv.MemberId, Any]] = []
        self.disks: dict[mv.MemberId, dict[tuple[str, str], Any]] = {m: {} for m in MEMBERS}
        self.accepted: dict[mv.MemberId, set[int]] = {m: set() for m in MEMBERS}
        self.knows: dict[mv.MemberId, int] = dict.fromkeys(MEMBERS, 1)
        self.starts = dict.fromkeys(MEMBERS, 0)
        self.nodes: dict[mv.MemberId, Switchover] = {}
        self.timers: dict[mv.MemberId, dict[str, int]] = {m: {} for m in MEMBERS}
        self.in_flight_calls: dict[mv.MemberId, int] = {}  # at members that relinquish, with the table number
        for member in MEMBERS:
            self.start(member)
        while self.in_transit:
            self.arrive(0)

    # Possible steps

    def steps(self) -> Iterator[tuple[Any, ...]]:
        for i in range(min(len(self.in_transit), MAX_CHOICES_IN_TRANSIT)):
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
            if member in self.in_flight_calls:
                yield ("released", member)
            if self.crashes < MAX_CRASHES:
                yield ("crash", member)
        if self.ticks < MAX_TICKS:
            yield ("tick",)

    def step(self, what: str, *which: Any) -> None:
        getattr(self, what)(*which)
        self.check()

    def arrive(self, i: int) -> None:
        to, event = self.in_transit.pop(i)
        self.deliver(to, event)

    def choose(self, lacking: mv.MemberId) -> None:
        self.chosen += 1
        for member in MEMBERS:
            if member != lacking:
                self.accepted[member].add(self.chosen)

    def agreed(self, member: mv.MemberId) -> None:
        self.knows[member] += 1
        self.deliver(member, fv.TableAgreed(self.tables[self.knows[member] - 1]))

    def released(self, member: mv.MemberId) -> None:
        self.deliver(member, fv.DestinationReleased(fv.Release(7, member, self.in_flight_calls.pop(member))))

    def crash(self, member: mv.MemberId) -> None:
        self.crashes += 1
        del self.nodes[member]
        self.timers[member] = {}
        self.in_flight_calls.pop(member, None)
        self.in_transit = [(to, event) for to, event in self.in_transit if to != member]

    def start(self, member: mv.MemberId) -> None:
        self.starts[member] += 1
        incarnation = mv.Incarnation(self.starts[member], 0)
        records = dict(self.disks[member])
        switch = Switchover(
            self.settings, member, incarnation, records, self.tables[0], ModelConsensus(self, member), wall_ms
        )
        self.nodes[member] = switch
        self.perform(member, switch.start(self.now_us))

    def tick(self) -> None:
        self.ticks += 1
        self.now_us += TICK_US
        for member in list(self.nodes):
            due = [token for token, at_us in self.timers[member].items() if at_us <= self.now_us]
            for token in due:
                del self.timers[member][token]
                self.deliver(member, mv.TimerDue(token))

    # Model host

    def deliver(self, member: mv.MemberId, event: Any) -> None:
        if member in self.nodes:
            self.perform(member, self.nodes[member].handle(self.now_us, event))

    def perform(self, member: mv.MemberId, actions: list[Any]) -> None:
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
                case mv.Disseminate(key, version, body, keep_us):
                    for other in MEMBERS:
                        if other != member:
                            self.send(
                                other, mv.GossipReceived(mv.GossipEntry(member, key, version, body, keep_us))
                            )
                case fv.Relinquish(_, number):
                    self.in_flight_calls[member] = number
        for token in written:
            self.deliver(member, mv.TimerDue(token))

    def send(self, to: mv.MemberId, event: Any) -> None:
        if (to, event) not in self.in_transit:
            self.in_transit.append((to, event))

    # Checks

    def flush(self, cut: mv.MemberId | None = None) -> None:
        """Deliver everything in transit, except to and from the member that is cut off."""
        while self.in_transit:
            to, event = self.in_transit.pop(0)
            if cut not in (to, getattr(event, "member", None), getattr(event, "entry", event)):
                self.deliver(to, event)

    def check(self) -> None:
        calls = [member for member, switchover in self.nodes.items() if switchover.may_call(self.now_us, 7)]
        calls += [
            member for member in self.in_flight_calls if self.nodes[member].lease_holder.is_valid(self.now_us)
        ]
        if len({member.site for member in calls}) > 1:
            raise Overlap(f"{', '.join(map(str, calls))} may call at once")

    def key(self) -> bytes:
        """The state without the request counters, which only distinguish a reply from a late one."""
        request_ids = {m: (s.inquiry.request_id, s.leases.request_id) for m, s in self.nodes.items()}
        in_transit = []
        for to, event in self.in_transit:
            message = event.message if isinstance(event, mv.MessageReceived) else None
            if isinstance(message, (InForceQuery, LeaseRequest)):
                newest_id = request_ids.get(event.member, (0, 0))[isinstance(message, LeaseRequest)]
                event = replace(event, message=replace(message, request_id=newest_id - message.request_id))
            elif isinstance(message, (InForceReply, LeaseReply)):
                newest_id = request_ids.get(to, (0, 0))[isinstance(message, LeaseReply)]
                event = replace(event, message=replace(message, request_id=newest_id - message.request_id))
            if isinstance(message, InForceReply):
                numbers = [t.number for t in message.tables]
                event = (event.member, replace(event.message, tables=(), ledger=None), numbers)
            in_transit.append(repr((to, event)))
        nodes = [(m, _shown(s), sorted(self.timers[m].items())) for m, s in sorted(self.nodes.items())]
        rest = (
            self.now_us,
            self.crashes,
            self.ticks,
            self.chosen,
            self.knows,
            self.in_flight_calls,
            self.accepted,
        )
        disks = [
            sorted((k, (len(v[0]), v[1]) if k[0] == "force" else v) for k, v in self.disks[m].items())
            for m in MEMBERS
        ]
        return repr((sorted(in_transit), nodes, rest, disks)).encode()


class ModelConsensus:
    def __init__(self, model: Model, member: mv.MemberId) -> None:
        self.model, self.member = model, member

    def pending(self) -> list[Any]:
        numbers = [n for n in self.model.accepted[self.member] if n > self.model.knows[self.member]]
        return [(self.model.tables[n - 1].proposal_id, self.model.tables[n - 1]) for n in numbers]

    def may_vote(self) -> bool:
        return True

    def known_since(self, number: int) -> list[fv.Table]:
        return self.model.tables[number : self.model.knows[self.member]]


def _shown(switchover: Switchover) -> Any:
    holder = [
        (switchover.leases.request_id - request_id, v)
        for request_id, v in switchover.lease_holder._open_requests.items()
    ]
    inquiry = (
        switchover.inquiry.is_active,
        switchover.inquiry.suspends_all,
        switchover.inquiry.suspended_destinations,
        switchover.inquiry.newest_number,
        switchover.inquiry.next_query_us,
    )
    answers = sorted((str(m), a.number, a.pending) for m, a in switchover.inquiry.replies.items())
    ownership = (
        switchover.registry.ledger.number,
        switchover.registry.ledger.outstanding,
        sorted(switchover.registry.release_records.items()),
        switchover.registry.standings,
    )
    lease_state = (
        switchover.leases.grantor.last_renewed_us,
        switchover.leases.grantor.min_renewal_table,
        switchover.leases.grantor.confirms_from_us,
        switchover.leases.end_tracker.confirmations,
    )
    moves = (
        switchover.moves.served,
        switchover.moves.relinquishing,
        switchover.suspension.current.is_suspended,
        switchover.suspension.current.destinations,
    )
    activation = (sorted(switchover.activation.agreed), switchover.activation.has_no_record)
    return (
        ownership,
        moves,
        inquiry,
        answers,
        switchover.lease_holder.valid_until_us,
        holder,
        lease_state,
        activation,
    )


def at_the_start(model: Model) -> None:
    """Table 1 is in force, and nothing is in transit."""


def relinquishing(model: Model) -> None:
    """a and b have table 2 in force, and a call is in flight at a."""
    model.choose(MEMBERS[2])
    model.agreed(MEMBERS[0])
    model.agreed(MEMBERS[1])
    model.flush()


def begun(model: Model) -> None:
    """b serves, table 3 is agreed, and it is in force at the member that it gives the destination to."""
    relinquishing(model)
    model.released(MEMBERS[0])
    model.flush()
    model.choose(MEMBERS[0])
    owner = next(m for m in MEMBERS if m.site == model.tables[2].owners[7])
    while model.knows[owner] < 3:
        model.agreed(owner)


def skipped(model: Model) -> None:
    """A call is in flight at a, b does not serve yet, and table 3 is in force at b and c."""
    relinquishing(model)
    model.choose(MEMBERS[0])
    for member in (MEMBERS[1], MEMBERS[2], MEMBERS[2]):
        model.agreed(member)


def lease_nearly_over(model: Model) -> None:
    """b and c have table 2 in force; a does not and is cut off.

    Its last lease request is still in transit, and b requests confirmations of the end of its lease.
    """
    model.choose(MEMBERS[0])
    model.agreed(MEMBERS[1])
    model.agreed(MEMBERS[2])
    model.flush(MEMBERS[0])
    model.tick()
    late_requests = [f for f in model.in_transit if isinstance(getattr(f[1], "message", None), LeaseRequest)]
    model.flush(MEMBERS[0])
    model.in_transit = []
    model.tick()
    end_requests = [
        f for f in model.in_transit if isinstance(getattr(f[1], "message", None), LeaseEndRequest)
    ]
    model.in_transit = [f for f in late_requests if f[1].member == MEMBERS[0]] + end_requests


def explore(owners: str, lease_us: int, prepare: Callable[[Model], None], depth: int) -> tuple[int, int]:
    """The number of states and of steps. Raises Overlap with the steps that lead to it."""
    first = Model(owners, lease_us)
    prepare(first)
    first.ticks = 0
    seen = {hash(first.key())}
    level = [(packed(first), ())]
    steps = 0
    for _ in range(depth):
        following = []
        for state, path in level:
            for step in pickle.loads(state).steps():
                model = pickle.loads(state)
                steps += 1
                try:
                    model.step(*step)
                except Overlap as error:
                    raise Overlap(f"{error} after {[*path, step]}") from None
                key = hash(model.key())
                if key not in seen:
                    seen.add(key)
                    following.append((packed(model), (*path, step)))
        level = following
    return len(seen), steps


def confirms_without_grant_history(self: LeaseGrantor, now_us: int, *_: Any) -> bool:
    return now_us >= self.confirms_from_us


def outstanding_forgotten(kept: Ledger, *rest: Any) -> Ledger:
    return next_ledger(replace(kept, outstanding={}), *rest)


SCENARIOS = [
    ("aba", 0, at_the_start),
    ("aba", 0, relinquishing),
    ("aba", 0, begun),
    ("abc", 0, skipped),
    ("abc", LEASE_US, begun),
    ("aba", LEASE_US, lease_nearly_over),
]


@pytest.mark.parametrize("owners, lease_us, prepare", SCENARIOS)
def test_no_overlap_in_any_order_of_steps_up_to_a_depth(owners, lease_us, prepare):
    states, _ = explore(owners, lease_us, prepare, DEPTH)
    assert states > 200


@pytest.mark.parametrize(
    "seed_fault, owners, lease_us, prepare",
    [
        (
            lambda p: p.setattr(OwnershipRegistry, "missing_releases", lambda self, dest: {}),
            "aba",
            0,
            at_the_start,
        ),
        (
            lambda p: p.setattr(LeaseGrantor, "can_confirm_end", confirms_without_grant_history),
            "aba",
            LEASE_US,
            lease_nearly_over,
        ),
        (lambda p: p.setattr(ownership_registry, "next_ledger", outstanding_forgotten), "abc", 0, skipped),
    ],
    ids=["release is assumed", "voter forgets its last grant", "earlier outstanding releases are dropped"],
)
def test_seeded_faults_are_found(monkeypatch, seed_fault, owners, lease_us, prepare):
    seed_fault(monkeypatch)
    with pytest.raises(Overlap):
        explore(owners, lease_us, prepare, DEPTH + 1)


if __name__ == "__main__":
    for scenario in SCENARIOS:
        print(
            scenario[0], scenario[1], scenario[2].__name__, *explore(*scenario, int(sys.argv[1])), flush=True
        )
