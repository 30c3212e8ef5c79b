"""A simulated network of agreement machines, with seeded loss, duplicates, delays, partitions, crashes and
disk failures.

It checks at each action: a value that a majority of the voters has on disk for an instance never changes; a
table is agreed only if the instances of all its sites are decided as staged and it was on disk at each site;
only one table is agreed for a number.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import msgpack

from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.messages import (
    Decided,
    SlotAborted,
    from_row,
    read_accepted_votes,
    read_ballot,
    read_claim,
    read_slot,
    to_row,
)
from madderbeam.federation.consensus.rounds import AgreementSettings, Slot
from madderbeam.federation.table import read_table, voting_sites
from madderbeam.federation.values import (
    CheckTable,
    ProposalOutcome,
    Table,
    TableAgreed,
    TableChecked,
    TableProposed,
)
from madderbeam.membership.values import (
    Disseminate,
    GossipEntry,
    GossipReceived,
    Incarnation,
    LinkUp,
    LogLine,
    MemberId,
    MessageReceived,
    Persist,
    SendMessage,
    SetTimer,
    TimerDue,
    WriteFailed,
)

SECOND = 1_000_000
QUICK = AgreementSettings(
    resend_interval_us=200_000, failover_timeout_us=SECOND, vote_timeout_us=10 * SECOND,
    silent_member_timeout_us=SECOND // 2, check_timeout_us=2 * SECOND,
)  # fmt: skip


def table(number: int = 1, sites: int = 3, members: int = 1, variant: int = 0, **changed: Any) -> Table:
    """A table with sites s00, s01, ... and members m0, m1, ...; the first of each site votes. `variant` makes
    tables differ.
    """
    named = {
        f"s{i:02}": {f"m{j}": {"address": f"10.{i}.{j}.1:7000", "votes": j == 0} for j in range(members)}
        for i in range(sites)
    }
    owners = {str(d): f"s{(d + variant) % sites:02}" for d in range(1, 5)}
    return read_table({"number": number, "sites": named, "owners": owners, **changed})


def member_id(site: int, name: int = 0) -> MemberId:
    return MemberId(f"s{site:02}", f"m{name}")


class Net:
    """`loss`, `duplication`: rates of frames; the delay of a frame is drawn evenly up to `slowest_us`."""

    def __init__(self, first: Table, seed: int = 0, settings: AgreementSettings = QUICK) -> None:
        self.first, self.settings = first, settings
        self.rng = random.Random(seed)
        self.now_us = 0
        self.loss = self.duplication = 0.0
        self.fastest_us, self.slowest_us = 1_000, 20_000
        self.disks: dict[MemberId, dict[tuple[str, str], Any]] = {}
        self.starts: dict[MemberId, int] = {}
        self.up: dict[MemberId, Agreement] = {}
        self.is_cut: Callable[[MemberId, MemberId], bool] = lambda a, b: False
        self.check_result: Callable[[MemberId, Table], str | None] = lambda member, t: ""
        self.write_fails: Callable[[MemberId, Persist], bool] = lambda member, record: False
        self.crashes_after: Callable[[MemberId, Any], bool] = lambda member, action: False  # whether to crash
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.agreed: dict[int, Table] = {first.number: first}
        self.staged: dict[str, set[str]] = {}  # by digest, the sites that have had the table on disk
        self.announced_number: dict[MemberId, int] = {}
        self.outcomes: list[tuple[MemberId, ProposalOutcome]] = []
        self.log_lines: list[tuple[MemberId, LogLine]] = []
        self.accepted: dict[tuple[Slot, str, str], dict[Any, set[MemberId]]] = {}
        # the chosen vote; under the slot and two empty strings, the chosen claim
        self.chosen: dict[tuple[Slot, str, str], Any] = {}  # by slot, digest, site
        self.other_first_tables: dict[MemberId, Table] = {}  # members with another first table: not checked
        self.frames = 0
        self._gossip_entries: dict[MemberId, GossipEntry] = {}
        self.at_time(SECOND, self._gossip)

    # Members

    def start(self, *members: MemberId) -> None:
        for member in members:
            self.starts[member] = self.starts.get(member, 0) + 1
            disk = self.disks.setdefault(member, {})
            incarnation = Incarnation(self.starts[member], self.rng.getrandbits(32))
            records = {key: msgpack.unpackb(value) for key, value in disk.items()}
            machine = Agreement(
                self.settings, member, incarnation, random.Random(self.rng.random()), records,
                self.other_first_tables.get(member, self.first),
            )  # fmt: skip
            self.up[member] = machine
            self._timers(machine)
            self.perform(member, machine.start(self.now_us))
            for other in list(self.up):
                if other != member and not self.is_cut(member, other):
                    self.deliver(member, LinkUp(other))
                    self.deliver(other, LinkUp(member))

    def all(self) -> list[MemberId]:
        return sorted({m for t in self.agreed.values() for s in t.sites for m in t.members(s)})

    def kill(self, member: MemberId) -> None:
        self.up.pop(member, None)

    def _timers(self, machine: Agreement) -> None:
        machine.timers, machine.versions_heard = {}, {}  # type: ignore[attr-defined]

    # Time

    def at_time(self, at_us: int, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (at_us, self._count, callback))

    def run(self, span_us: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Whether `until` became true within the span."""
        end = self.now_us + span_us
        while self._heap and self._heap[0][0] <= end:
            if until():
                return True
            self.now_us, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_us = max(self.now_us, end) if not until() else self.now_us
        return until()

    def deliver(self, member: MemberId, event: Any) -> None:
        machine = self.up.get(member)
        if machine is not None:
            self.perform(member, machine.handle(self.now_us, event))

    def propose(self, member: MemberId, proposed: Table) -> None:
        self.deliver(member, TableProposed(proposed))

    # Actions

    def perform(self, member: MemberId, actions: list[Any]) -> None:
        machine = self.up[member]
        for action in actions:
            if isinstance(action, Persist):
                if self.write_fails(member, action):
                    self._later(member, machine, self.now_us, WriteFailed(action.kind, action.key))
                    return
                self._write(member, action)
            elif isinstance(action, SendMessage):
                self._send(member, action)
            else:
                self._perform_one(member, machine, action)
            if isinstance(action, (Persist, SendMessage)) and self.crashes_after(member, action):
                self.kill(member)
                return

    def _later(self, member: MemberId, machine: Agreement, at_us: int, event: Any) -> None:
        self.at_time(at_us, lambda: self._deliver(member, machine, event))

    def _deliver(self, member: MemberId, machine: Agreement, event: Any) -> None:
        if self.up.get(member) is machine:
            self.deliver(member, event)

    def _write(self, member: MemberId, record: Persist) -> None:
        key = (record.kind, record.key)
        if record.value is None:
            self.disks[member].pop(key, None)
            return
        self.disks[member][key] = msgpack.packb(record.value)
        if record.kind == "vote":
            self._record_acceptance(member, record.value)
        if record.kind == "staged":
            self.staged.setdefault(read_table(record.value["document"]).digest, set()).add(member.site)

    def _send(self, member: MemberId, action: SendMessage) -> None:
        self._check_notification(action.message)
        self.frames += 1
        row = msgpack.packb(to_row(action.message))
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss and not self.is_cut(member, action.member):
                delay_us = self.rng.randrange(self.fastest_us, self.slowest_us)
                self.at_time(self.now_us + delay_us, lambda: self._arrive(member, action.member, row))

    def _arrive(self, source: MemberId, to: MemberId, row: bytes) -> None:
        if not self.is_cut(source, to):
            self.deliver(to, MessageReceived(source, from_row(msgpack.unpackb(row))))

    def _perform_one(self, member: MemberId, machine: Agreement, action: Any) -> None:
        if isinstance(action, SetTimer):
            machine.timers[action.token] = action  # type: ignore[attr-defined]
            self.at_time(max(action.at_us, self.now_us), lambda: self._fire(member, machine, action))
        elif isinstance(action, CheckTable):
            reason = self.check_result(member, action.table)
            if reason is not None:
                self._later(
                    member, machine, self.now_us + 2_000, TableChecked(action.table.proposal_id, reason)
                )
        elif isinstance(action, Disseminate):
            self._gossip_entries[member] = GossipEntry(member, action.key, action.version, action.body)
        elif isinstance(action, TableAgreed) and member not in self.other_first_tables:
            is_on_disk = ("agreed", str(action.table.number)) in self.disks[member]
            assert is_on_disk or action.table == self.first, (
                f"{member} announces a table that is not on its disk"
            )
            self._check_agreed_tables(machine)
            self._check_announced(member, action.table)
        elif isinstance(action, ProposalOutcome):
            self.outcomes.append((member, action))
        elif isinstance(action, LogLine):
            self.log_lines.append((member, action))

    def _fire(self, member: MemberId, machine: Agreement, timer: SetTimer) -> None:
        if machine.timers.get(timer.token) is timer:  # type: ignore[attr-defined]
            del machine.timers[timer.token]  # type: ignore[attr-defined]
            self._deliver(member, machine, TimerDue(timer.token))

    def _gossip(self) -> None:
        """Replaces membership: gossip entries reach all reachable members within a second."""
        self.at_time(self.now_us + SECOND, self._gossip)
        for owner, entry in list(self._gossip_entries.items()):
            for member, machine in list(self.up.items()):
                versions_heard = machine.versions_heard  # type: ignore[attr-defined]
                if (
                    versions_heard.get(owner, 0) < entry.version
                    and member != owner
                    and not self.is_cut(owner, member)
                ):
                    versions_heard[owner] = entry.version
                    self.deliver(member, GossipReceived(entry))

    # Checks

    def _check_announced(self, member: MemberId, announced: Table) -> None:
        assert announced.number >= self.announced_number.get(member, 0), (
            f"{member} went back to table {announced.number}"
        )
        self.announced_number[member] = announced.number
        previous = self.agreed.get(announced.number - 1)
        if previous is not None:
            missing = set(voting_sites(announced, previous)) - self.staged.get(announced.digest, set())
            assert not missing, f"table {announced.number} is agreed, {sorted(missing)} never staged it"
            votes = {
                k[2]: vote for k, vote in self.chosen.items() if k[1] == announced.digest and vote.is_staged
            }
            for site in voting_sites(announced, previous):
                assert site in votes and votes[site].is_staged, (
                    f"table {announced.number}: {site} is not decided"
                )

    def _check_agreed_tables(self, machine: Agreement) -> None:
        for agreed in machine.agreed_tables.tables.values():
            assert self.agreed.setdefault(agreed.number, agreed).digest == agreed.digest, "two tables"

    def _record_acceptance(self, member: MemberId, record: Any) -> None:
        slot, claim = read_slot(record["slot"]), read_claim(record["claim"]) if record["claim"] else None
        if claim is None:
            return
        values: list[tuple[tuple[Slot, str, str], Any, Any]] = [
            ((slot, "", ""), read_ballot(record["claimed"]), claim.digest)
        ]
        values += [
            ((slot, claim.digest, vote.site), ballot, vote)
            for ballot, vote in read_accepted_votes(record["words"])
        ]
        self._check_agreed_tables(self.up[member])
        for instance, ballot, value in values:
            voters = self.agreed[slot.number - 1].voters
            acceptors = self.accepted.setdefault(instance, {}).setdefault((ballot, value), set())
            if member in voters:
                acceptors.add(member)
            if len(acceptors) > len(voters) // 2:
                previous = self.chosen.setdefault(instance, value)
                assert previous == value, f"{instance} was {previous} and became {value}"

    def _check_notification(self, message: Any) -> None:
        """A table is announced as rejected or agreed only once it is."""
        if isinstance(message, SlotAborted):
            votes = [
                vote for (s, d, _), vote in self.chosen.items() if (s, d) == (message.slot, message.digest)
            ]
            assert any(not vote.is_staged for vote in votes), (
                f"{message.slot} is announced as aborted and is not"
            )
        if isinstance(message, Decided) and message.number > self.first.number:
            proposed = [d for (s, _, _), d in self.chosen.items() if s.number == message.number]
            assert message.digest in proposed, f"table {message.number} is announced as agreed and is not"

    def outcome(self, proposed: Table) -> ProposalOutcome | None:
        """The last outcome reported for this table."""
        reports = [o for _, o in self.outcomes if o.proposal == proposed.proposal_id]
        return reports[-1] if reports else None

    def all_at(self, number: int) -> bool:
        return all(
            m.base.number == number and m.agreed_tables.written_number == number for m in self.up.values()
        )

    def check_outcomes(self) -> None:
        """Tables reported as agreed are agreed, and those reported as rejected are not."""
        for _, outcome in self.outcomes:
            agreed = self.agreed.get(outcome.proposal.number)
            is_agreed = agreed is not None and agreed.proposal_id == outcome.proposal
            assert outcome.is_agreed == is_agreed, (
                f"{outcome} although it is {'' if is_agreed else 'not '}agreed"
            )
