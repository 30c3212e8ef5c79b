"""Judges a federation from outside: what partners see, what members write, say and have in force."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from madderbeam.federation import table as tables
from madderbeam.federation.consensus import messages as words
from madderbeam.federation.consensus.messages import read_ballot, read_slot
from madderbeam.federation.leases.lease import is_majority
from madderbeam.federation.switchover import messages
from madderbeam.federation.values import Table
from madderbeam.journal.records import parse
from madderbeam.membership.values import MemberId, State
from madderbeam.relay import messages as streams
from madderbeam.relay.delivery_ids import recorded_delivery_id
from madderbeam.relay.values import DeliveryIdempotency
from madderbeam.simulation.checker import Violation
from madderbeam.simulation.kernel import Broken
from madderbeam.simulation.network import Stream

Federation: TypeAlias = Any  # of federation.py, which stands above
Member: TypeAlias = Any
S = 1_000_000
LATE_US = 150_000  # a call may begin so long after its time, an attempt that was late to connect
END_US = 1_000_000  # an end is told so long after the message's time, or after its member is back
HOLD_US = 500_000  # a member that was paused asks within this
PAUSED_US = 1_500_000  # from so long a pause on
LOOK_US = 250_000
DEAD_US = 4 * S  # a member that answers someone is not dead for all for so long


@dataclass(eq=False)
class Call:
    """One call, as the partner sees it, from its last byte on."""

    dest: int
    member: Member
    life: int
    key: str
    body: bytes
    begun_us: int
    stream: Stream
    status: int = 0
    done: bool = False

    @property
    def out(self) -> bool:
        return not (self.done or self.stream.closed or self.stream.gone)

    @property
    def never_ran(self) -> bool:
        return self.status in (429, 503)


@dataclass(eq=False)
class Msg:
    """A message or publication, as its client means it; bodies are unlike."""

    ident: str
    member: Member
    life: int
    cls: str
    topic: str
    dests: frozenset[int]
    key: str
    body: bytes
    given_us: int
    until_us: int
    answer: str = ""
    ends: list[tuple[int, str]] = field(default_factory=list)  # the life that told it, and what
    ran: set[int] = field(default_factory=set)
    calls: dict[int, list[Call]] = field(default_factory=lambda: defaultdict(list))


@dataclass(frozen=True)
class Told:
    """A wait, as a member read it."""

    member: Member
    life: int
    at_us: int
    until_us: int


class Judge:
    """`broken` ends the run."""

    def __init__(self, world: Federation) -> None:
        self.world = world
        self.by_body: dict[bytes, Msg] = {}
        self.by_id: dict[str, Msg] = {}
        self.calls: dict[int, list[Call]] = defaultdict(list)  # by destination, those that may be out
        self.waits: dict[int, list[Told]] = defaultdict(list)
        self.tables: dict[int, Table] = {1: world.table}
        self.tenure: dict[int, int] = {}  # of a destination's owner: the table with which it began
        self.seen: dict[Member, Table] = {}
        self.never: set[str] = set()  # digests of tables that nobody may have in force
        self.staged: set[tuple[str, str]] = set()  # site, digest
        self.kept: dict[Member, dict[tuple[str, str], Any]] = defaultdict(dict)
        self.takes: dict[Member, set[str]] = defaultdict(set)
        self.released: dict[tuple[Member, int], int] = {}  # when that was last written
        self.entries: dict[tuple[Member, Member, int], dict[int, Any]] = defaultdict(dict)  # not acked
        self.out: dict[tuple[str, str], Member] = {}  # unsafe entries that may have come: name, site
        self.told: dict[Member, set[MemberId]] = defaultdict(set)  # voters that answered its question
        self.held: dict[Member, bool] = {}
        self.dead_for: dict[Member, int] = {}
        self.must: list[Msg] = []
        self.last: dict[str, Any] = {}
        self.feeds: dict[Member, bytes] = defaultdict(bytes)

    def broken(self, rule: str, text: str) -> None:
        self.spun(text, rule)
        raise Broken

    def spun(self, text: str, rule: str = "spin") -> None:
        report, scheduler = self.world.report, self.world.scheduler
        if report.violation is None:
            report.violation = Violation(rule, scheduler.steps, scheduler.now_us, text)
            self.world.note("judge", f"rule {rule} is broken: {text}")

    # Calls (F1, F2, F3)

    def given(self, msg: Msg) -> None:
        self.by_body[msg.body] = self.by_id[msg.ident] = msg

    def call(self, call: Call) -> None:
        """The last byte of a call is written."""
        world, member, dest, now = self.world, call.member, call.dest, self.world.now_us
        world.report.calls += 1
        world.note(member.name, f"calls {dest} with {call.body!r}")
        if not self.held.get(member, True):
            self.broken("F6", f"{member.name} was paused and calls {dest} before it has asked")
        self._owner(call)
        msg = self.by_body.get(call.body)
        if msg is None or dest not in msg.dests:
            return self.broken("F3", f"{member.name} calls {dest} with {call.body!r}, which is not for it")
        before = msg.calls[dest]
        if msg.cls == "unsafe" and not all(c.never_ran for c in before):
            last = before[-1]
            self.broken(
                "F3",
                f"{member.name} calls {dest} with the unsafe {msg.ident}, as "
                f"{last.member.name} did at {last.begun_us}",
            )
        if msg.cls == "keyed":
            if not call.key or any(c.key != call.key for c in before):
                self.broken("F4", f"{member.name} calls {dest} with {msg.ident} under another key")
            ran = [c.begun_us for c in before if not c.never_ran]
            if ran and now > min(ran) + world.key_us + LATE_US:
                self.broken("F3", f"{member.name} calls {dest} with {msg.ident} after its key's window")
        if now > max(msg.until_us, member.resumed_us) + LATE_US:
            self.broken("F3", f"{member.name} calls {dest} with {msg.ident} after its time")
        before.append(call)
        self._waits(call)

    def _owner(self, call: Call) -> None:
        member, dest, table = call.member, call.dest, call.member.room.table
        if table.owners.get(dest) != member.site:
            self.broken("F1", f"{member.name} calls {dest}, which is {table.owners.get(dest)}'s by its table")
        since = max(
            (
                n
                for n in self.tables
                if n <= table.number
                and (
                    n - 1 not in self.tables
                    or self.tables[n - 1].owners.get(dest) != self.tables[n].owners.get(dest)
                )
            ),
            default=0,
        )
        if since < self.tenure.get(dest, 0):
            self.broken(
                "F1",
                f"{member.name} calls {dest} by table {table.number}; since table "
                f"{self.tenure[dest]} others do",
            )
        self.tenure[dest] = since
        self.calls[dest] = [c for c in self.calls[dest] if c.out]
        for other in self.calls[dest]:
            if other.member.site != member.site and other.member.loop.behind is None:
                self.broken(
                    "F1", f"{member.name} calls {dest} while {other.member.name} does since {other.begun_us}"
                )
        self.calls[dest].append(call)

    def _waits(self, call: Call) -> None:
        now = self.world.now_us
        self.waits[call.dest] = [t for t in self.waits[call.dest] if t.until_us > now]
        for told in self.waits[call.dest]:
            same = told.member is call.member and told.life == call.life
            passed = (
                told.member.site != call.member.site
                and self.released.get((told.member, call.dest), -1) > told.at_us
            )
            if (same or passed) and told.at_us < now < told.until_us - 1_000:
                self.broken(
                    "F3",
                    f"{call.member.name} calls {call.dest}; {told.member.name} was told at "
                    f"{told.at_us} to wait until {told.until_us}",
                )

    def runs(self, call: Call, whole: bool) -> None:
        if whole:
            self.by_body[call.body].ran.add(call.dest)

    def heard(self, call: Call, wait_us: int) -> None:
        """The member has read the answer."""
        if wait_us and call.member.up and call.life == call.member.life:
            now = self.world.now_us
            self.waits[call.dest].append(Told(call.member, call.life, now, now + wait_us))

    # What is written (F2, F4, F5)

    def wrote(self, member: Member, path: str, data: bytes) -> None:
        if path.startswith("/files/"):
            self.feeds[member] += data
            return self._finals(member)
        for record in parse(data)[0]:
            if record[0] == "take":
                self.takes[member].add(record[2])
            elif record[0] == "keep":
                self._kept(member, record[1], record[2], record[3])

    def _kept(self, member: Member, kind: str, key: str, value: Any) -> None:
        kept = self.kept[member]
        old = kept.get((kind, key))
        if kind == "vote" and value is not None and old is not None and _vote(value) < _vote(old):
            self.broken("F2", f"{member.name} votes by a lower ballot than it promised")
        if kind == "staged" and value is not None:
            self.staged.add((member.site, tables.read_table(value["document"]).digest))
        if kind == "release" and value is not None and old != value:
            self.released[member, int(key)] = self.world.now_us
        if value is None:
            kept.pop((kind, key), None)
        else:
            kept[kind, key] = value

    def wiped(self, member: Member) -> None:
        """Its folder is lost."""
        for table in (self.kept, self.takes, self.feeds, self.seen):
            table.pop(member, None)

    def _finals(self, member: Member) -> None:
        import json

        *lines, self.feeds[member] = self.feeds[member].split(b"\n")
        for line in lines:
            try:
                row = json.loads(line)
            except ValueError:
                continue  # torn by a kill: it comes again
            self._end(member, row["id"], row["status"])

    def _end(self, member: Member, ident: str, status: str) -> None:
        msg, now = self.by_id.get(ident), self.world.now_us
        self.world.note(member.name, f"tells {ident} {status}")
        if msg is None or msg.member is not member:
            return self.broken("F5", f"{member.name} tells an end of {ident}, which is not its own")
        if any(life == member.life or told != status for life, told in msg.ends):
            self.broken("F5", f"{member.name} tells {ident} {status} after {msg.ends}")
        if now > max(msg.until_us, member.ready_us, member.resumed_us, member.sick_us) + END_US:
            self.broken("F5", f"{member.name} tells {ident} {status} {now - msg.until_us} us after its time")
        msg.ends.append((member.life, status))

    # What members say to each other (F2, F4): nothing that was not written

    def sent(self, member: Member, to: MemberId, channel: str, row: list[Any]) -> None:
        other: Member = next(m for m in self.world.members if m.id == to)
        if channel == "r":
            self._stream(member, other, streams.from_row(row))
        elif channel == "t":
            self._word(member, words.from_row(row))
        elif channel == "s" and isinstance(messages.from_row(row), messages.InForceReply):
            self.told[other].add(member.id)

    def _word(self, member: Member, message: Any) -> None:
        kept = self.kept[member]
        if isinstance(message, words.Promise | words.Accepted):
            vote = kept.get(("vote", ""))
            if vote is None or _vote(vote) < (message.slot, message.ballot):
                self.broken("F2", f"{member.name} gives a {type(message).__name__} that it has not written")
        elif (
            isinstance(message, words.VoteReply)
            and message.vote.is_staged
            and ((member.site, message.digest) not in self.staged or ("staged", "") not in kept)
        ):
            self.broken("F2", f"{member.name} says that it staged {message.digest}, which it has not written")

    def _stream(self, member: Member, to: Member, message: Any) -> None:
        if isinstance(message, streams.Entry):
            self._entry(member, to, message)
        elif isinstance(message, streams.Ack):
            entries = self.entries[to, member, message.stream]
            for seq in [n for n in entries if n <= message.seq]:
                self._acked(member, entries.pop(seq))
        elif isinstance(message, streams.Nak):
            found: Any = self.entries[to, member, message.stream].pop(message.seq, None)
            key = (found.name, member.site) if found else ("", "")
            if self.out.get(key) is member:
                del self.out[key]
        elif isinstance(message, streams.ReportBatch):
            for end in message.reports:
                record: Any = self.kept[member].get(("custody", end.name))
                if record is None or len(record["pending"]) > end.pending:
                    self.broken("F4", f"{member.name} tells ends of {end.name} that it has not written")

    def _entry(self, member: Member, to: Member, entry: streams.Entry) -> None:
        publication = entry.publication
        self.entries[member, to, entry.stream][entry.seq] = publication
        if publication.idempotency is not DeliveryIdempotency.NON_IDEMPOTENT:
            return
        key = (publication.name, to.site)
        row = self.kept[member].get(("sent", "|".join(key)))
        what = f"{member.name} sends the unsafe {publication.name} to {to.name}"
        if row is None or row[:2] != [to.id.site, to.id.name]:
            self.broken("F4", f"{what}, which it has not written")
        if self.out.setdefault(key, to) is not to:
            self.broken("F4", f"{what} after {self.out[key].name}")

    def _acked(self, member: Member, publication: Any) -> None:
        record = self.kept[member].get(("custody", publication.name))
        missing = (
            []
            if record is None
            else [
                d
                for d in record["pending"]
                if recorded_delivery_id(publication.name, d, bool(record["single"])) not in self.takes[member]
            ]
        )
        if record is None or missing:
            self.broken("F4", f"{member.name} acks {publication.name}, not written: {missing or 'custody'}")

    # After every step (F2, F6)

    def starts(self, member: Member, disk: dict[str, bytearray]) -> None:
        """What a kill amid a write left whole is on disk, though nobody saw it written."""
        kept = self.kept[member] = {}
        for record in (r for data in disk.values() for r in parse(bytes(data))[0]):
            if record[0] == "take":
                self.takes[member].add(record[2])
            elif record[0] == "keep" and record[3] is None:
                kept.pop((record[1], record[2]), None)
            elif record[0] == "keep":
                kept[record[1], record[2]] = record[3]
                if record[1] == "staged":
                    self.staged.add((member.site, tables.read_table(record[3]["document"]).digest))

    def started(self, member: Member) -> None:
        self.told[member] = set()
        self.held[member] = True

    def terminated(self, member: Member) -> None: ...

    def died(self, member: Member) -> None: ...

    def resumed(self, member: Member, paused_us: int) -> None:
        """A paused one goes on: what it was told before does not count."""
        if paused_us >= PAUSED_US and member.ready_us >= 0:
            member.asked_us = self.world.now_us
            self.told[member] = set()
            self.held[member] = False
            self.world.after(HOLD_US, self._asks, member, member.life)

    def _asks(self, member: Member, life: int) -> None:
        if member.up and member.life == life and member.loop.behind is None and not self.held[member]:
            self.broken("F6", f"{member.name} was paused and does not ask what is in force")

    def step(self, member: Member) -> None:
        if not member.up or member.ready_us < 0:
            return
        room = member.room
        if room.table is not self.seen.get(member):
            self._in_force(member, room.table)
        hold = room.serving.suspension
        if hold.is_suspended and hold.destinations is None:
            self.held[member] = True
        elif self.held[member] and member.asked_us >= 0:
            member.asked_us = -1
            heard = self.told[member] | ({member.id} if member.id in room.table.voters else set())
            if not is_majority(room.table.voters, heard):
                self.broken("F6", f"{member.name} serves again, told by {sorted(map(str, heard))} alone")

    def _in_force(self, member: Member, table: Table) -> None:
        old = self.seen.get(member)
        self.seen[member] = table
        self.world.note(member.name, f"has table {table.number} in force")
        if old is not None and table.number < old.number:
            self.broken("F2", f"{member.name} goes back from table {old.number} to {table.number}")
        known = self.tables.setdefault(table.number, table)
        if known.digest != table.digest:
            self.broken("F2", f"{member.name} has another table {table.number} in force")
        if table.digest in self.never:
            self.broken("F2", f"{member.name} has table {table.number} in force, which is wrong")
        if table.number > 1 and known is table:
            before = self.tables[table.number - 1]
            for site in tables.voting_sites(table, before):
                if (site, table.digest) not in self.staged:
                    self.broken("F2", f"{member.name} has table {table.number}, never staged by {site}")

    # Now and then (F6), at the end (F5, F7)

    def look(self) -> None:
        self.world.after(LOOK_US, self.look)
        now = self.world.now_us
        up = [m for m in self.world.members if m.works and m.ready_us >= 0]
        steady = [m for m in up if now - max(m.ready_us, m.resumed_us) > DEAD_US]
        for member in up:
            others = [m for m in steady if m is not member]
            answers = [m for m in others if self._hear(m, member)]
            dead = all(self._state(m, member) in (None, State.DEAD, State.LEFT) for m in others)
            if member not in steady or not answers or not dead:
                self.dead_for[member] = now
            elif now - self.dead_for.get(member, now) > DEAD_US:
                self.broken("F6", f"{member.name} answers {answers[0].name} and is dead for all")
        for msg in self.by_id.values():
            self._due(msg, now)

    def _hear(self, a: Member, b: Member) -> bool:
        way, x, y = self.world.fabric.way, a.host_name, b.host_name
        return all(not w.cut and w.loss < 0.3 and w.late < 0.3 for w in (way(x, y), way(y, x)))

    def _state(self, viewer: Member, member: Member) -> State | None:
        view = viewer.room.membership.view(member.id)
        return view.state if view else None

    def _due(self, msg: Msg, now: int) -> None:
        """One end in time: told, or all have got it."""
        member = msg.member
        over = now > max(msg.until_us, member.ready_us, member.resumed_us, member.sick_us) + END_US
        owed = msg.answer.startswith("+OK") and not msg.ends and member.lost < msg.life
        if owed and over and member.works and member.ready_us >= 0 and (missed := msg.dests - msg.ran):
            self.broken("F5", f"{msg.ident} of {member.name} has no end, and {sorted(missed)} did not get it")

    def all_agree(self) -> None:
        """All is whole for long: each sees the others, one table is in force, nothing is held."""
        members = [m for m in self.world.members if not m.gone]
        numbers = {m.name: m.room.table.number for m in members}
        if len(set(numbers.values())) > 1:
            self.broken("F2", f"tables in force differ though all is whole: {numbers}")
        if self.last and numbers[members[0].name] < self.last["number"]:
            self.broken(
                "F2",
                f"table {self.last['number']} is not in force though all is whole: {numbers}, "
                f"{members[0].room.admin_calls.outcomes}",
            )
        for member in members:
            if member.room.serving.suspension.is_suspended:
                why = member.room.serving.suspension.reason
                self.broken("F6", f"{member.name} is held though all is whole: {why}")
            for other in members:
                state = self._state(member, other)
                if other is not member and state is not State.ALIVE:
                    self.broken("F6", f"{member.name} takes {other.name} for {state!r} though all is whole")

    def end(self) -> None:
        """All messages' time is over."""
        self.world.report.delivered = sum(m.dests <= m.ran for m in self.by_id.values())
        for msg in self.must:
            if msg.dests - msg.ran:
                self.broken(
                    "F5",
                    f"{msg.ident} of {msg.member.name} to {sorted(msg.dests)} did not arrive "
                    f"though all is whole: {msg.answer!r}, {msg.ends}",
                )
        for member in self.world.members:
            if member.up:
                self._bounds(member)

    def _bounds(self, member: Member) -> None:
        room = member.room
        left: dict[str, Any] = {
            "publications held": room.streams.pending,
            "streams open": room.streams.sent.found,
            "records of custody": room.custodian.store.records,
            "deliveries": room.custody.deliveries,
            "unsettled": room.custody.unsettled,
            "numbers": room.publications.numbers_by_name,
            "journal": room.host.journal.pending,
            "leaving": room.serving.releasing,
            "on disk": [k for k in self.kept[member] if k[0] in ("custody", "sent")],
        }
        for what, found in left.items():
            if found:
                self.broken("F7", f"{member.name} keeps {what} after all is over: {list(found)[:3]}")


def _vote(record: Any) -> tuple[Any, Any]:
    return read_slot(record["slot"]), read_ballot(record["promised"])
