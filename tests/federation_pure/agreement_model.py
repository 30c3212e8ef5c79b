"""Every order of frames, losses, doubles, timers and crashes up to a depth, over agreement's real machines.

Three sites with one voter each, two tables offered for one number. A state holds the machines, their disks,
the frames on their way and what was ever accepted; equal states are visited once. A frame that is lost is one
that is never delivered. A member may die after each action of each step, and starts again from its disk. Left
out is what decides nothing (a table's document travels at once, a check is answered at once, a voter that
starts has been greeted, votes are not counted), so that the depth is spent on votes.
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
from agreement_net import one, table

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

MEMBERS = (one(0), one(1), one(2))
FIRST, OFFERS = table(1), (table(2, mark=1), table(2, mark=2))
TABLES = (FIRST, *OFFERS)
SETTINGS = AgreementSettings(resend_us=8, patience_us=1, agree_within_us=1, stand_in_us=0, check_us=1)
FREE = ("agree/drive", "agree/again", "agree/watch")  # may be due at any time
AT_ONCE = ("agree/self/", "agree/known/", "agree/staged/", "agree/ended/")
NO_LIFE = Mark(Incarnation(0, 0), 0)  # counts of votes are not modelled: they only ever take a vote away
Frame = tuple[int, int, bytes]


class Lowest:
    """Chance that always takes the lowest: what is drawn are times, and any timer may be due at any time."""

    def randrange(self, first: int, last: int | None = None) -> int:
        return 0 if last is None else first

    def choice(self, items: list[Any]) -> Any:
        return items[0]


PARTS = {
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
PLAIN = {int, str, bool, type(None), tuple, Slot, Claim, Vote, Ballot, Incarnation, MemberId, Table, Lowest}


@dataclass(frozen=True)
class State:
    """`keys` are what the machines are compared by; `machines` are never changed, but cloned."""

    keys: tuple[Any, ...]
    disks: tuple[frozenset[tuple[str, str, bytes]], ...]
    frames: frozenset[Frame]
    timers: tuple[frozenset[tuple[str, int]], ...]
    history: frozenset[Any]  # (slot, digest, site, ballot, value, member) on disk, now or once
    crashes: int
    doubles: int
    dues: int
    offers: tuple[int, ...]  # members that have yet to offer their table
    machines: tuple[Agreement, ...] = field(compare=False)
    step: int = field(default=0, compare=False)  # actions after which its member could have died


def clone(thing: Any, memo: dict[int, Any]) -> Any:
    """A machine's parts are copied, what they hold is shared: values are frozen, collections copied once."""
    known = memo.get(id(thing))
    if known is not None:
        return known
    if type(thing) in PARTS:
        memo[id(thing)] = new = object.__new__(type(thing))
        copied = new.__dict__
        for name, value in thing.__dict__.items():
            copied[name] = value if type(value) in PLAIN else clone(value, memo)
        return new
    if type(thing) in (dict, list, set):
        return thing.copy()
    if isinstance(thing, MethodType) and type(thing.__self__) in PARTS:
        return MethodType(thing.__func__, clone(thing.__self__, memo))
    return thing


def _started(who: int, start: int, disk: frozenset[tuple[str, str, bytes]]) -> tuple[Agreement, list[Any]]:
    records = {(kind, key): msgpack.unpackb(value) for kind, key, value in disk}
    life = Incarnation(start, 0)
    machine = Agreement(SETTINGS, MEMBERS[who], life, Lowest(), records, FIRST)  # type: ignore[arg-type]
    machine.folder.greeted = set(MEMBERS)
    return machine, machine.start(0)


def _key(machine: Agreement) -> Any:
    acceptor, speaker, offers = machine.acceptor, machine.speaker, machine.offers
    driver = machine.driving.driver
    driven = driver and (
        driver.slot, driver.ballot, driver.offer and driver.offer.digest, driver.claim,
        driver.table and driver.table.digest, tuple(driver.words), driver.decided, driver._sent,
        frozenset(driver._promises.items()), frozenset(driver._steps.items()),
        frozenset(driver.answers.items()),
    )  # fmt: skip
    return (
        acceptor.slot, acceptor.promised, acceptor.claim, acceptor.claimed, frozenset(acceptor.words.items()),
        speaker.slot, speaker.digest, speaker.word, speaker._asker, speaker._writing,
        tuple((d, p.claimed) for d, p in offers.pending.items()), tuple(offers._ended), driven,
        machine.attempt, machine.base.digest, machine.known.written, machine.driving.counter,
        machine.driving._tries, acceptor.life,
    )  # fmt: skip


def _bare(message: Any) -> Any:
    if isinstance(message, m.VoteRequest):
        return replace(message, document=None)
    return replace(message, mark=NO_LIFE) if hasattr(message, "mark") else message


@lru_cache(10_000)
def _packed(message: Any) -> bytes:
    return msgpack.packb(m.to_row(message))


@lru_cache(10_000)
def _unpacked(row: bytes) -> Any:
    return m.from_row(msgpack.unpackb(row))


class Broken(AssertionError):
    """What must hold does not."""


class Step:
    """One event at one member, with all that follows at once; it may die after `dies_after` actions."""

    def __init__(self, state: State, who: int, dies_after: int | None = None) -> None:
        self.state, self.who, self.dies_after, self.count = state, who, dies_after, 0
        self.machines = {who: clone(state.machines[who], {})}
        self.disks, self.frames = list(state.disks), set(state.frames)
        self.timers, self.history = [set(t) for t in state.timers], set(state.history)
        self.died = False

    def tell(self, who: int, now_us: int, event: Any) -> None:
        if who not in self.machines:
            self.machines[who] = clone(self.state.machines[who], {})
        self.carry(who, self.machines[who].handle(now_us, event))

    def carry(self, who: int, actions: list[Any]) -> None:
        for action in actions:
            if self.died and who == self.who:
                return
            self._do(who, action)
            if who == self.who and isinstance(action, Persist | SendMessage):
                self.count += 1
                self.died = self.count == self.dies_after

    def _do(self, who: int, action: Any) -> None:
        if isinstance(action, Persist):
            self._write(who, action)
        elif isinstance(action, SetTimer) and action.token.startswith(AT_ONCE):
            self.tell(who, action.at_us, TimerDue(action.token))
        elif isinstance(action, SetTimer) and action.token in FREE:
            others = {t for t in self.timers[who] if t[0] != action.token}
            self.timers[who] = others | {(action.token, action.at_us)}
        elif isinstance(action, CheckTable):
            self.tell(who, 0, TableChecked(action.table.proposal, ""))
        elif isinstance(action, TableAgreed) and action.table.number > 1:
            self._judge_agreed(action.table)
        elif isinstance(action, SendMessage):
            self._send(who, MEMBERS.index(action.member), action.message)

    def _send(self, who: int, to: int, message: Any) -> None:
        if isinstance(message, m.DocumentRequest | m.Document | m.CatchUpRequest | m.AgreedTable):
            self.tell(to, 0, MessageReceived(MEMBERS[who], message))
            return
        if isinstance(message, m.SlotAborted) and not any(
            v is not None and v.code for v in self._chosen(message.slot, message.digest).values()
        ):
            raise Broken(f"{message.slot} is told as over and is not")
        self.frames.add((who, to, _packed(_bare(message))))

    def _write(self, who: int, record: Persist) -> None:
        kept = {r for r in self.disks[who] if r[:2] != (record.kind, record.key)}
        if record.value is not None:
            value = {**record.value, "votes": 0} if record.kind == "vote" else record.value
            kept.add((record.kind, record.key, msgpack.packb(value)))
        self.disks[who] = frozenset(kept)
        if record.kind == "vote" and record.value["claim"]:
            self._count(who, record.value)
        if record.kind == "staged" and record.value is not None:
            digest = next(o.digest for o in OFFERS if o.document() == record.value["document"])
            self.history.add(("staged", digest, who))

    def _count(self, who: int, value: Any) -> None:
        slot, claim = m.slot_of(value["slot"]), m.claim_of(value["claim"])
        self.history.add((slot, "", "", m.ballot_of(value["claimed"]), claim.digest, who))
        for ballot, word in m.voted_of(value["words"]):
            self.history.add((slot, claim.digest, word.site, ballot, word, who))
        taken: dict[Any, set[int]] = {}
        for row in self.history:
            if len(row) == 6 and row[0] == slot:
                taken.setdefault(row[:5], set()).add(row[5])
        chosen: dict[Any, Any] = {}
        for (of, digest, site, _, word), voters in taken.items():
            if len(voters) > 1 and chosen.setdefault((of, digest, site), word) != word:
                raise Broken(f"{of} {site or 'claim'} was {chosen[of, digest, site]} and became {word}")

    def _chosen(self, slot: Any, digest: str) -> dict[str, Any]:
        taken: dict[Any, set[int]] = {}
        for row in self.history:
            if len(row) == 6 and row[1] == digest and slot in (None, row[0]):
                taken.setdefault(row[:5], set()).add(row[5])
        return {row[2]: row[4] for row, voters in taken.items() if len(voters) > 1}

    def _judge_agreed(self, told: Table) -> None:
        chosen = self._chosen(None, told.digest)
        for who, member in enumerate(MEMBERS):
            if member.site not in chosen or chosen[member.site].code:
                raise Broken(f"table {told.proposal} is told as agreed, {member.site} is not decided")
            if ("staged", told.digest, who) not in self.history:
                raise Broken(f"table {told.proposal} is told as agreed, {member} never staged it")
        self.history.add(("agreed", told.digest, 0))
        if len([row for row in self.history if row[0] == "agreed"]) > 1:
            raise Broken("two tables with one number are agreed")

    def after(self, **changed: Any) -> State:
        if self.died:
            start = self.machines[self.who].acceptor.life.start + 1
            self.dies_after, self.died = None, False
            self.timers[self.who].clear()
            machine, actions = _started(self.who, start, self.disks[self.who])
            self.machines[self.who] = machine
            self.carry(self.who, actions)
        keys, machines = list(self.state.keys), list(self.state.machines)
        for who, machine in self.machines.items():
            keys[who], machines[who] = _key(machine), machine
        return replace(
            self.state, keys=tuple(keys), machines=tuple(machines), step=self.count, disks=tuple(self.disks),
            frames=frozenset(self.frames), timers=tuple(frozenset(t) for t in self.timers),
            history=frozenset(self.history), **changed,
        )  # fmt: skip


def first_state(crashes: int, doubles: int, dues: int, offers: tuple[int, ...] = (0, 1)) -> State:
    machines = [_started(who, 1, frozenset())[0] for who in range(3)]
    return State(
        tuple(map(_key, machines)), (frozenset(),) * 3, frozenset(), (frozenset(),) * 3, frozenset(),
        crashes, doubles, dues, offers, tuple(machines),
    )  # fmt: skip


def events(state: State) -> Iterator[tuple[int, int, Any, dict[str, Any]]]:
    """All that can happen next: member, time, event, what changes in the state by it."""
    for who in state.offers:
        left = tuple(w for w in state.offers if w != who)
        yield who, 0, TableProposed(OFFERS[who]), {"offers": left}
    for frame in state.frames:
        source, to, row = frame
        event = MessageReceived(MEMBERS[source], _unpacked(row))
        yield to, 0, event, {"frame": frame}
        if state.doubles:
            yield to, 0, event, {"doubles": state.doubles - 1}
    if state.dues:
        for who, timers in enumerate(state.timers):
            for token, at_us in timers:
                yield who, at_us, TimerDue(token), {"timer": (token, at_us), "dues": state.dues - 1}


def after(state: State, who: int, now_us: int, event: Any, change: dict[str, Any], dies: int | None) -> State:
    change = dict(change)
    frame, timer = change.pop("frame", None), change.pop("timer", None)
    if dies is not None:
        change["crashes"] = state.crashes - 1
    step = Step(state, who, dies)
    step.frames.discard(frame)  # type: ignore[arg-type]
    step.timers[who].discard(timer)  # type: ignore[arg-type]
    step.tell(who, now_us, event)
    return step.after(**change)


def followers(state: State) -> Iterator[tuple[str, State]]:
    """All states that may come next, with what leads there. Raises Broken."""
    for who, now_us, event, change in events(state):
        told = f"{MEMBERS[who]}: {event}"
        try:
            alive = after(state, who, now_us, event, change, None)
            if "frame" not in change or alive.keys != state.keys or not alive.frames < state.frames:
                yield told, alive  # else it changed nothing: as if the frame were lost
            for dies in range(1, 1 + (alive.step if state.crashes else 0)):
                yield f"{told}, dies after action {dies}", after(state, who, now_us, event, change, dies)
        except Broken as e:
            raise Broken(f"{told}\n{e}") from None


def way(begin: State) -> list[State]:
    """An agreement on the first offer with nothing amiss, each state on the way."""
    states = [after(begin, 0, 0, TableProposed(OFFERS[0]), {"offers": begin.offers[1:]}, None)]
    while states[-1].frames:
        state = states[-1]
        who, now_us, event, change = min(
            (e for e in events(state) if "frame" in e[3]), key=lambda e: e[3]["frame"]
        )
        states.append(after(state, who, now_us, event, change, None))
    return states


@dataclass
class Visited:
    states: int = 0
    steps: int = 0
    depth: int = 0  # all states up to it were visited
    agreed: int = 0  # of them, those in which a table is agreed
    seconds: float = 0.0

    def __str__(self) -> str:
        return (
            f"{self.states} states, {self.steps} steps, whole to depth {self.depth}, "
            f"agreed in {self.agreed}, {self.seconds:.1f} s"
        )


def explore(begin: State, depth: int, seconds: float = 1e9) -> Visited:
    """Breadth first, to `depth` steps or until the time is up. Raises Broken with the way there."""
    visited, begun = Visited(states=1), time.perf_counter()
    seen = {hash(begin)}  # 64 bits a state
    queue: deque[tuple[State, int, Any]] = deque([(begin, 0, None)])
    while queue and time.perf_counter() - begun < seconds:
        state, at, trail = queue.popleft()
        visited.depth = at
        if at == depth:
            break
        try:
            for told, new in followers(state):
                visited.steps += 1
                if hash(new) not in seen:
                    seen.add(hash(new))
                    visited.states += 1
                    visited.agreed += any(row[0] == "agreed" for row in new.history)
                    queue.append((new, at + 1, (trail, told)))
        except Broken as e:
            raise Broken("\n".join((*_steps(trail), str(e)))) from None
    else:
        if not queue:
            visited.depth = depth  # there is no more
    visited.seconds = time.perf_counter() - begun
    return visited


def _steps(trail: Any) -> list[str]:
    steps: list[str] = []
    while trail is not None:
        trail, told = trail
        steps.insert(0, told)
    return steps


def beginnings(crashes: int, doubles: int, dues: int) -> dict[str, list[State]]:
    """From where to explore: nothing said yet; each step of an agreement on the first table, its frames on
    their way; and the same with all of them lost. The second table is yet to be offered by another member."""
    begin = first_state(0, 0, 0, (0,))
    steps = [s for s in way(begin) if not any(row[0] == "agreed" for row in s.history)]
    bare = {(s.keys, s.disks, s.history): replace(s, frames=frozenset()) for s in steps}
    budget = {"crashes": crashes, "doubles": doubles, "dues": dues}
    return {
        "from nothing": [replace(begin, offers=(0, 1), **budget)],
        "from each step": [replace(s, offers=(1,), **budget) for s in steps],
        "from each step, its frames lost": [replace(s, offers=(1,), **budget) for s in bare.values()],
    }


def explore_all(begins: list[State], depth: int) -> Visited:
    """The sum over them; a state that is met from two of them counts twice."""
    whole = Visited(depth=depth)
    for begin in begins:
        one_of = explore(begin, depth)
        whole.states += one_of.states
        whole.steps += one_of.steps
        whole.agreed += one_of.agreed
        whole.seconds += one_of.seconds
        whole.depth = min(whole.depth, one_of.depth)
    return whole
