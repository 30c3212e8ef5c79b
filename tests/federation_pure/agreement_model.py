"""Model checking of the agreement with its real machines: every order of frames, losses, duplicates, timers
and crashes up to a depth.

Three sites with one voter each; two tables are proposed for one number. A state holds the machines, their
disks, the frames in flight and everything that was ever accepted; equal states are visited once. A lost frame
is one that is never delivered. A member may crash after each action of each step, and restarts from its disk.
Details that decide nothing are left out so that the depth goes to the votes: a document arrives at once, a
check is answered at once, a starting voter's mark is confirmed, recorded votes are not counted.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache
from types import MethodType
from typing import Any

import msgpack
from agreement_net import member_id, table

from madderbeam.federation.consensus import messages as m
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.catch_up import CatchUp
from madderbeam.federation.consensus.coordinator import Coordinator
from madderbeam.federation.consensus.failover import CoordinatorFailover
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.participant import Participant
from madderbeam.federation.consensus.proposals import Proposals
from madderbeam.federation.consensus.rollback_detection import RollbackDetector
from madderbeam.federation.consensus.rounds import AgreementSettings, Ballot, Claim, Mark, Slot, Vote
from madderbeam.federation.values import CheckTable, Table, TableAgreed, TableChecked, TableProposed
from madderbeam.membership.values import (
    Incarnation,
    MemberId,
    MessageReceived,
    Persist,
    SendMessage,
    SetTimer,
    TimerDue,
)

MEMBERS = (member_id(0), member_id(1), member_id(2))
FIRST, PROPOSED_TABLES = table(1), (table(2, variant=1), table(2, variant=2))
TABLES = (FIRST, *PROPOSED_TABLES)
SETTINGS = AgreementSettings(
    resend_interval_us=8,
    failover_timeout_us=1,
    vote_timeout_us=1,
    silent_member_timeout_us=0,
    check_timeout_us=1,
)
FREE_TIMERS = ("agree/drive", "agree/again", "agree/watch")  # may fire at any time
IMMEDIATE_TIMERS = ("agree/self/", "agree/known/", "agree/staged/", "agree/ended/")
NO_MARK = Mark(Incarnation(0, 0), 0)  # counts of votes are not modelled: they only ever prevent a vote
Frame = tuple[int, int, bytes]


class LowestRandom:
    """Always returns the lowest value: only times are drawn, and any timer may fire at any time."""

    def randrange(self, first: int, last: int | None = None) -> int:
        return 0 if last is None else first

    def choice(self, items: list[Any]) -> Any:
        return items[0]


MACHINE_CLASSES = {
    Acceptor,
    AgreedTables,
    Agreement,
    CatchUp,
    Coordinator,
    CoordinatorFailover,
    RollbackDetector,
    Proposals,
    Outbox,
    Participant,
}
SHARED_CLASSES = {
    int,
    str,
    bool,
    type(None),
    tuple,
    Slot,
    Claim,
    Vote,
    Ballot,
    Incarnation,
    MemberId,
    Table,
    LowestRandom,
}


@dataclass(frozen=True)
class State:
    """`keys` identify the states of the machines; `machines` are never changed, only cloned."""

    keys: tuple[Any, ...]
    disks: tuple[frozenset[tuple[str, str, bytes]], ...]
    frames: frozenset[Frame]
    timers: tuple[frozenset[tuple[str, int]], ...]
    history: frozenset[Any]  # (slot, digest, site, ballot, value, member) that was ever on disk
    crashes: int
    duplicates: int
    timer_firings: int
    proposers: tuple[int, ...]  # members that have not proposed their table yet
    machines: tuple[Agreement, ...] = field(compare=False)
    step: int = field(default=0, compare=False)  # actions after which its member could have crashed


def clone(thing: Any, memo: dict[int, Any]) -> Any:
    """A copy of a machine: its parts are copied; values are frozen and shared; collections are copied."""
    known = memo.get(id(thing))
    if known is not None:
        return known
    if type(thing) in MACHINE_CLASSES:
        memo[id(thing)] = new = object.__new__(type(thing))
        copied = new.__dict__
        for name, value in thing.__dict__.items():
            copied[name] = value if type(value) in SHARED_CLASSES else clone(value, memo)
        return new
    if type(thing) in (dict, list, set):
        return thing.copy()
    if isinstance(thing, MethodType) and type(thing.__self__) in MACHINE_CLASSES:
        return MethodType(thing.__func__, clone(thing.__self__, memo))
    return thing


def _started(
    member_index: int, start: int, disk: frozenset[tuple[str, str, bytes]]
) -> tuple[Agreement, list[Any]]:
    records = {(kind, key): msgpack.unpackb(value) for kind, key, value in disk}
    incarnation = Incarnation(start, 0)
    machine = Agreement(
        SETTINGS,
        MEMBERS[member_index],
        incarnation,
        LowestRandom(),  # type: ignore[arg-type]
        records,
        FIRST,
    )
    machine.rollback_detector.confirmed_by = set(MEMBERS)
    return machine, machine.start(0)


def _key(machine: Agreement) -> Any:
    acceptor, participant, proposals = machine.acceptor, machine.participant, machine.proposals
    coordinator = machine.failover.coordinator
    coordination = coordinator and (
        coordinator.slot, coordinator.ballot, coordinator.proposal and coordinator.proposal.digest,
        coordinator.claim, coordinator.table and coordinator.table.digest, tuple(coordinator.votes),
        coordinator.decided_count, coordinator._sent_count,
        frozenset(coordinator._promises.items()), frozenset(coordinator._accepted_counts.items()),
        frozenset(coordinator.member_votes.items()),
    )  # fmt: skip
    return (
        acceptor.slot, acceptor.promised, acceptor.claim, acceptor.claim_ballot,
        frozenset(acceptor.accepted_votes.items()), participant.slot, participant.digest, participant.vote,
        participant._requester, participant._is_writing,
        tuple((d, p.claimed_slot) for d, p in proposals.pending.items()), tuple(proposals._completed),
        coordination,
        machine.attempt, machine.base.digest, machine.agreed_tables.written_number,
        machine.failover.highest_counter, machine.failover._retries, acceptor.incarnation,
    )  # fmt: skip


def _without_details(message: Any) -> Any:
    if isinstance(message, m.VoteRequest):
        return replace(message, document=None)
    return replace(message, mark=NO_MARK) if hasattr(message, "mark") else message


@lru_cache(10_000)
def _pack(message: Any) -> bytes:
    return msgpack.packb(m.to_row(message))


@lru_cache(10_000)
def _unpack(row: bytes) -> Any:
    return m.from_row(msgpack.unpackb(row))


class InvariantViolated(AssertionError):
    """A property that must always hold does not."""


class Step:
    """One event at one member, with its immediate effects; it may crash after `crash_after` actions."""

    def __init__(self, state: State, member_index: int, crash_after: int | None = None) -> None:
        self.state, self.member_index, self.crash_after, self.count = state, member_index, crash_after, 0
        self.machines = {member_index: clone(state.machines[member_index], {})}
        self.disks, self.frames = list(state.disks), set(state.frames)
        self.timers, self.history = [set(t) for t in state.timers], set(state.history)
        self.has_crashed = False

    def deliver(self, member_index: int, now_us: int, event: Any) -> None:
        if member_index not in self.machines:
            self.machines[member_index] = clone(self.state.machines[member_index], {})
        self.perform(member_index, self.machines[member_index].handle(now_us, event))

    def perform(self, member_index: int, actions: list[Any]) -> None:
        for action in actions:
            if self.has_crashed and member_index == self.member_index:
                return
            self._perform_one(member_index, action)
            if member_index == self.member_index and isinstance(action, Persist | SendMessage):
                self.count += 1
                self.has_crashed = self.count == self.crash_after

    def _perform_one(self, member_index: int, action: Any) -> None:
        if isinstance(action, Persist):
            self._write(member_index, action)
        elif isinstance(action, SetTimer) and action.token.startswith(IMMEDIATE_TIMERS):
            self.deliver(member_index, action.at_us, TimerDue(action.token))
        elif isinstance(action, SetTimer) and action.token in FREE_TIMERS:
            others = {t for t in self.timers[member_index] if t[0] != action.token}
            self.timers[member_index] = others | {(action.token, action.at_us)}
        elif isinstance(action, CheckTable):
            self.deliver(member_index, 0, TableChecked(action.table.proposal_id, ""))
        elif isinstance(action, TableAgreed) and action.table.number > 1:
            self._check_agreed(action.table)
        elif isinstance(action, SendMessage):
            self._send(member_index, MEMBERS.index(action.member), action.message)

    def _send(self, member_index: int, to: int, message: Any) -> None:
        if isinstance(message, m.DocumentRequest | m.Document | m.CatchUpRequest | m.AgreedTable):
            self.deliver(to, 0, MessageReceived(MEMBERS[member_index], message))
            return
        if isinstance(message, m.SlotAborted) and not any(
            v is not None and v.code for v in self._chosen(message.slot, message.digest).values()
        ):
            raise InvariantViolated(f"{message.slot} is announced as aborted and is not")
        self.frames.add((member_index, to, _pack(_without_details(message))))

    def _write(self, member_index: int, record: Persist) -> None:
        records = {r for r in self.disks[member_index] if r[:2] != (record.kind, record.key)}
        if record.value is not None:
            value = {**record.value, "votes": 0} if record.kind == "vote" else record.value
            records.add((record.kind, record.key, msgpack.packb(value)))
        self.disks[member_index] = frozenset(records)
        if record.kind == "vote" and record.value["claim"]:
            self._count(member_index, record.value)
        if record.kind == "staged" and record.value is not None:
            digest = next(o.digest for o in PROPOSED_TABLES if o.document() == record.value["document"])
            self.history.add(("staged", digest, member_index))

    def _count(self, member_index: int, value: Any) -> None:
        slot, claim = m.read_slot(value["slot"]), m.read_claim(value["claim"])
        self.history.add((slot, "", "", m.read_ballot(value["claimed"]), claim.digest, member_index))
        for ballot, vote in m.read_accepted_votes(value["words"]):
            self.history.add((slot, claim.digest, vote.site, ballot, vote, member_index))
        acceptances: dict[Any, set[int]] = {}
        for row in self.history:
            if len(row) == 6 and row[0] == slot:
                acceptances.setdefault(row[:5], set()).add(row[5])
        chosen: dict[Any, Any] = {}
        for (of, digest, site, _, vote), voters in acceptances.items():
            if len(voters) > 1 and chosen.setdefault((of, digest, site), vote) != vote:
                raise InvariantViolated(
                    f"{of} {site or 'claim'} was {chosen[of, digest, site]} and became {vote}"
                )

    def _chosen(self, slot: Any, digest: str) -> dict[str, Any]:
        acceptances: dict[Any, set[int]] = {}
        for row in self.history:
            if len(row) == 6 and row[1] == digest and slot in (None, row[0]):
                acceptances.setdefault(row[:5], set()).add(row[5])
        return {row[2]: row[4] for row, voters in acceptances.items() if len(voters) > 1}

    def _check_agreed(self, agreed: Table) -> None:
        chosen = self._chosen(None, agreed.digest)
        for member_index, member in enumerate(MEMBERS):
            if member.site not in chosen or chosen[member.site].code:
                raise InvariantViolated(
                    f"table {agreed.proposal_id} is announced as agreed, {member.site} is not decided"
                )
            if ("staged", agreed.digest, member_index) not in self.history:
                raise InvariantViolated(
                    f"table {agreed.proposal_id} is announced as agreed, {member} never staged it"
                )
        self.history.add(("agreed", agreed.digest, 0))
        if len([row for row in self.history if row[0] == "agreed"]) > 1:
            raise InvariantViolated("two tables with one number are agreed")

    def after(self, **changed: Any) -> State:
        if self.has_crashed:
            start = self.machines[self.member_index].acceptor.incarnation.start + 1
            self.crash_after, self.has_crashed = None, False
            self.timers[self.member_index].clear()
            machine, actions = _started(self.member_index, start, self.disks[self.member_index])
            self.machines[self.member_index] = machine
            self.perform(self.member_index, actions)
        keys, machines = list(self.state.keys), list(self.state.machines)
        for member_index, machine in self.machines.items():
            keys[member_index], machines[member_index] = _key(machine), machine
        return replace(
            self.state, keys=tuple(keys), machines=tuple(machines), step=self.count, disks=tuple(self.disks),
            frames=frozenset(self.frames), timers=tuple(frozenset(t) for t in self.timers),
            history=frozenset(self.history), **changed,
        )  # fmt: skip


def first_state(
    crashes: int, duplicates: int, timer_firings: int, proposers: tuple[int, ...] = (0, 1)
) -> State:
    machines = [_started(member_index, 1, frozenset())[0] for member_index in range(3)]
    return State(
        tuple(map(_key, machines)), (frozenset(),) * 3, frozenset(), (frozenset(),) * 3, frozenset(),
        crashes, duplicates, timer_firings, proposers, tuple(machines),
    )  # fmt: skip


def events(state: State) -> Iterator[tuple[int, int, Any, dict[str, Any]]]:
    """All events that may come next: member, time, event, and what it changes in the state."""
    for member_index in state.proposers:
        left = tuple(index for index in state.proposers if index != member_index)
        yield member_index, 0, TableProposed(PROPOSED_TABLES[member_index]), {"proposers": left}
    for frame in state.frames:
        source, to, row = frame
        event = MessageReceived(MEMBERS[source], _unpack(row))
        yield to, 0, event, {"frame": frame}
        if state.duplicates:
            yield to, 0, event, {"duplicates": state.duplicates - 1}
    if state.timer_firings:
        for member_index, timers in enumerate(state.timers):
            for token, at_us in timers:
                yield (
                    member_index,
                    at_us,
                    TimerDue(token),
                    {"timer": (token, at_us), "timer_firings": state.timer_firings - 1},
                )


def after(
    state: State, member_index: int, now_us: int, event: Any, change: dict[str, Any], crash_after: int | None
) -> State:
    change = dict(change)
    frame, timer = change.pop("frame", None), change.pop("timer", None)
    if crash_after is not None:
        change["crashes"] = state.crashes - 1
    step = Step(state, member_index, crash_after)
    step.frames.discard(frame)  # type: ignore[arg-type]
    step.timers[member_index].discard(timer)  # type: ignore[arg-type]
    step.deliver(member_index, now_us, event)
    return step.after(**change)


def successors(state: State) -> Iterator[tuple[str, State]]:
    """All states that may come next, each with a description of the step. Raises InvariantViolated."""
    for member_index, now_us, event, change in events(state):
        description = f"{MEMBERS[member_index]}: {event}"
        try:
            alive = after(state, member_index, now_us, event, change, None)
            if "frame" not in change or alive.keys != state.keys or not alive.frames < state.frames:
                yield description, alive  # else nothing changed: the same as losing the frame
            for crash_after in range(1, 1 + (alive.step if state.crashes else 0)):
                yield (
                    f"{description}, crashes after action {crash_after}",
                    after(state, member_index, now_us, event, change, crash_after),
                )
        except InvariantViolated as error:
            raise InvariantViolated(f"{description}\n{error}") from None


def undisturbed_run(initial: State) -> list[State]:
    """The states of an agreement on the first proposal without any fault."""
    states = [
        after(initial, 0, 0, TableProposed(PROPOSED_TABLES[0]), {"proposers": initial.proposers[1:]}, None)
    ]
    while states[-1].frames:
        state = states[-1]
        member_index, now_us, event, change = min(
            (e for e in events(state) if "frame" in e[3]), key=lambda e: e[3]["frame"]
        )
        states.append(after(state, member_index, now_us, event, change, None))
    return states


@dataclass
class Visited:
    states: int = 0
    steps: int = 0
    depth: int = 0  # all states up to this depth were visited
    agreed: int = 0  # states in which a table is agreed
    seconds: float = 0.0

    def __str__(self) -> str:
        return (
            f"{self.states} states, {self.steps} steps, whole to depth {self.depth}, "
            f"agreed in {self.agreed}, {self.seconds:.1f} s"
        )


def explore(initial: State, depth: int, seconds: float = 1e9) -> Visited:
    """Breadth first, to `depth` steps or until the time is up. Raises InvariantViolated with its steps."""
    visited, started_s = Visited(states=1), time.perf_counter()
    seen = {hash(initial)}  # 64 bits for each state
    queue: deque[tuple[State, int, Any]] = deque([(initial, 0, None)])
    while queue and time.perf_counter() - started_s < seconds:
        state, state_depth, trail = queue.popleft()
        visited.depth = state_depth
        if state_depth == depth:
            break
        try:
            for description, new in successors(state):
                visited.steps += 1
                if hash(new) not in seen:
                    seen.add(hash(new))
                    visited.states += 1
                    visited.agreed += any(row[0] == "agreed" for row in new.history)
                    queue.append((new, state_depth + 1, (trail, description)))
        except InvariantViolated as error:
            raise InvariantViolated("\n".join((*_steps(trail), str(error)))) from None
    else:
        if not queue:
            visited.depth = depth  # all states were visited
    visited.seconds = time.perf_counter() - started_s
    return visited


def _steps(trail: Any) -> list[str]:
    steps: list[str] = []
    while trail is not None:
        trail, description = trail
        steps.insert(0, description)
    return steps


def beginnings(crashes: int, duplicates: int, timer_firings: int) -> dict[str, list[State]]:
    """The sets of initial states: no message sent yet; each step of an agreement on the first table with its
    frames in flight; the same with all frames lost. The second table is still to be proposed by another
    member.
    """
    initial = first_state(0, 0, 0, (0,))
    steps = [s for s in undisturbed_run(initial) if not any(row[0] == "agreed" for row in s.history)]
    bare = {(s.keys, s.disks, s.history): replace(s, frames=frozenset()) for s in steps}
    budget = {"crashes": crashes, "duplicates": duplicates, "timer_firings": timer_firings}
    return {
        "from nothing": [replace(initial, proposers=(0, 1), **budget)],
        "from each step": [replace(s, proposers=(1,), **budget) for s in steps],
        "from each step, its frames lost": [replace(s, proposers=(1,), **budget) for s in bare.values()],
    }


def explore_all(initial_states: list[State], depth: int) -> Visited:
    """The sum over the initial states; a state that is reached from two of them counts twice."""
    total = Visited(depth=depth)
    for initial in initial_states:
        visited_from = explore(initial, depth)
        total.states += visited_from.states
        total.steps += visited_from.steps
        total.agreed += visited_from.agreed
        total.seconds += visited_from.seconds
        total.depth = min(total.depth, visited_from.depth)
    return total
