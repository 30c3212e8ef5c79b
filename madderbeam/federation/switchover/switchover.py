"""Puts agreed tables in force at this member, and sees to it that nothing is served that another may serve.

Joins moves (what is served), the inquiry (what is in force elsewhere) and leases; each record is on disk
before what depends on it is done (writes.py).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.federation.errors import FederationError, NotInForce
from madderbeam.federation.leases.coordination import LeaseCoordination
from madderbeam.federation.leases.lease import LeaseHolder
from madderbeam.federation.switchover import messages as q
from madderbeam.federation.switchover.activation import TableActivation
from madderbeam.federation.switchover.inquiry import ConsensusView, InForceInquiry, NoConsensus
from madderbeam.federation.switchover.ledger import everyone, first, read
from madderbeam.federation.switchover.moves import DestinationMoves
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import PREFIX, ActionBuffer
from madderbeam.federation.switchover.queries import InForceQueries
from madderbeam.federation.switchover.release_learning import ReleaseLearning
from madderbeam.federation.switchover.release_records import of_row
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.switchover.status import status
from madderbeam.federation.switchover.suspension import ServingSuspension
from madderbeam.federation.values import (
    DestinationReleased,
    MemberDecommissioned,
    ServingPaused,
    Table,
    TableAgreed,
    TableInForce,
)
from madderbeam.membership import values as v

AHEAD_MOST = 3  # members with a newer table that are asked besides the voters


class Switchover:
    """`start(now_us)` once, then `handle(now_us, event)`: both give actions. `table`: the one in the file, of
    no account where `records` have one. `wall_ms(now_us)`: Unix time in milliseconds."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        me: v.MemberId,
        life: v.Incarnation,
        records: Mapping[tuple[str, str], Any],
        table: Table,
        council: ConsensusView | None = None,
        wall_ms: Callable[[int], int] = lambda now_us: now_us // 1_000,
    ) -> None:
        self.settings, self.me, self.life = settings, me, life
        self.council = council or NoConsensus()
        self.records: Mapping[tuple[str, str], Any] | None = records
        kept = records.get(("force", ""))
        self.book = OwnershipRegistry(me, first(table) if kept is None else read(kept))
        self.out = ActionBuffer(settings.retry_us)
        self.adoption = TableActivation(settings, self.book, self.out, life, kept is None)
        self.moves = DestinationMoves(self.book, self.out, life, wall_ms, settings.keep_us)
        self.learning = ReleaseLearning(self.book, self.out, life, wall_ms, settings.keep_us)
        self.inquiry = InForceInquiry(settings, me, life)
        self.holder = LeaseHolder(settings)
        self.asking = InForceQueries(
            settings, self.book, self.out, self.adoption, self.learning, self.inquiry, self.council
        )
        self.leasing = LeaseCoordination(
            settings, self.book, self.out, life, self.holder, self.council, records
        )
        self.holds = ServingSuspension(settings, self.book, self.out, self.inquiry, self.holder)

    # What others ask

    def may_call(self, now_us: int, dest: int, lasting_us: int = 0) -> bool:
        """Just before a call is written: whether it may be, if it ends within `lasting_us` at the latest."""
        served = dest in self.moves.served and not self.holds.closed(dest)
        return served and self.holder.is_valid(now_us + lasting_us)

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation."""
        self.out.now_us = now_us
        return status(self)

    def objection(self, table: Table) -> FederationError | None:
        """What stands against staging this table here; part of the host's answer to `Check`."""
        return self.adoption.objection(table)

    # Events

    def start(self, now_us: int) -> list[Any]:
        """What is to be done at the start of the process."""
        assert self.records is not None
        records, self.records = self.records, None
        self.out.now_us = self.book.since_us = now_us
        self.learning.start(records)
        self.leasing.start(records)
        for table in self.council.known_since(self.book.ledger.number):
            self.adoption.add(table)
        self.inquiry.begin(now_us, self.asking.shared())
        self.leasing.renew()
        self._turn()
        self.asking.advance()
        self.asking.conclude()
        self.holds.look()
        self.out.do(TableInForce(self.book.table, None))
        for dest in sorted(self.book.own):
            self.moves.tell(dest)
        self._settle_all()
        return self._done()

    def handle(self, now_us: int, event: Any) -> list[Any]:
        if self.records is not None:
            return self.start(now_us) + (
                [] if isinstance(event, ServingPaused) else self.handle(now_us, event)
            )
        self.out.now_us = now_us
        match event:
            case v.TimerDue(token) if token.startswith(PREFIX):
                self._due(event, token.removeprefix(PREFIX))
            case v.MessageReceived(member, message):
                self._message(member, message)
            case TableAgreed(table):
                self.adoption.add(table)
                self.asking.advance()
            case v.GossipReceived(rumour):
                if self.learning.heard(rumour) is not None:
                    self._stood(rumour.owner)
            case DestinationReleased(release):
                self.moves.released(release)
            case MemberDecommissioned(member, number):
                self.learning.off(member, min(number, self.book.ledger.number), mine=True)
            case ServingPaused() | v.PauseDetected():
                self.holder.invalidate()
                self.inquiry.begin(now_us, self.asking.shared())
                self.leasing.renew()
                self._turn()
            case v.IncarnationRaised(life):
                self._raised(life)
            case v.LinkUp(member):
                if self.inquiry.asking and member in self.inquiry.unanswered(self.book.table):
                    self.asking.ask([member])
            case v.WriteFailed(kind, _):
                self._unwritten(kind)
        self.asking.conclude()
        self.holds.look()
        return self._done()

    def _raised(self, life: v.Incarnation) -> None:
        """What is said bears this life: an earlier one, which a folder does not know, may have said more."""
        if life == self.life:
            return
        self.life = self.moves.life = self.learning.life = self.adoption.life = life
        self.adoption.announce(again=True)
        for dest in self.book.own:
            self.moves.tell(dest)
        for member in self.learning.said:
            self.learning.tell_off(member)

    def _due(self, event: v.TimerDue, what: str) -> None:
        record = self.out.due(event)
        if record is not None:
            self._written(record)
        elif what == "turn":
            self._turn()
        elif what == "lease":
            self.leasing.renew()
        elif what == "ready":
            self.leasing.record_span()

    def _written(self, record: v.Persist) -> None:
        match record.kind:
            case "force":
                self._in_force()
            case "heard":
                fact = of_row(record.value)
                self.book.learn(fact)
                self._settle([fact.release.dest])
            case "release":
                self.moves.written(of_row(record.value))
            case "off":
                self.leasing.on_member_decommissioned(self.learning.off_written(record.value))
                self._settle_all()
            case "vouch":
                self.leasing.on_confirmation_written(record.value)
                self._ends()

    def _unwritten(self, kind: str) -> None:
        """All that stood behind it was not done, and it is not known what that was."""
        self.out.again()
        self.out.do(self.holds.gate)
        self.adoption.announce(again=True)
        for dest in self.book.own:
            self.moves.tell(dest)
        for member in self.learning.said:
            self.learning.tell_off(member)
        self.out.timer(self.out.now_us + self.settings.turn_us, "turn")
        self.leasing.rearm()
        if kind == "force":
            what = f"the disk did not take the table after {self.book.ledger.number}; it is tried again"
            self.out.do(v.LogLine(what, NotInForce(what)))

    # Tables

    def _in_force(self) -> None:
        before, skipped = self.adoption.written()
        ledger = self.book.ledger
        if ledger.table.proposal_id != before.proposal_id:
            self.out.do(TableInForce(ledger.table, before))
        if ledger.table.voters != before.voters:
            self.holder.invalidate()
        if skipped:
            self.moves.let_go(self.moves.served)
        for member in ledger.table.decommissioned:
            self.leasing.on_member_decommissioned(member)
        self.learning.forget()
        self.leasing.forget()
        self._forget_releases()
        self._settle_all(before)
        self.adoption.announce()
        if self.inquiry.asking and ledger.table.proposal_id != before.proposal_id:
            self.inquiry.round(self.out.now_us)
        if not self.holder.is_valid(self.out.now_us):
            self.leasing.renew()
        self._turn()
        self.asking.advance()

    def _settle_all(self, before: Table | None = None) -> None:
        ledger = self.book.ledger
        dests = set(ledger.table.owners) | set(ledger.debts) | self.moves.served
        self._settle(dests | set(before.owners if before else ()))

    def _settle(self, dests: Any) -> None:
        if not self.adoption.fresh or not self.asking.shared():
            self.moves.settle(dests)

    def _stood(self, member: v.MemberId) -> None:
        """A member told what it has in force."""
        number = self.book.standings[member].number
        self.leasing.on_serving_span(member, self.book.standings[member].lease_us)
        if number > self.book.ledger.number and member in everyone(self.book.table):
            self.inquiry.newest = max(number, self.inquiry.newest)
            self.asking.behind()
        self._forget_releases()

    def _forget_releases(self) -> None:
        for dest in self.book.released_for_good(self.out.now_us) if self.book.own else ():
            self.moves.forget(dest)

    # What is in force elsewhere

    def _message(self, member: v.MemberId, message: Any) -> None:
        self.inquiry.heard(member, self.out.now_us, self.book.table)
        match message:
            case q.InForceQuery(number=number):
                if self.council.may_vote():
                    self.out.do(v.SendMessage(member, self.asking.answer(message)))
                if number > self.book.ledger.number:
                    self.asking.behind()
            case q.InForceReply():
                self.asking.told(member, message)
            case q.LeaseReply(number=number):
                self.leasing.on_renewal_reply(member, message)
                if number > self.book.ledger.number:
                    self.asking.behind()
            case q.LeaseRequest():
                self.leasing.on_renewal_request(member, message)
            case q.LeaseEndRequest():
                self.leasing.on_end_request(member, message)
            case q.LeaseEndConfirmation():
                self.leasing.on_ends_confirmed(member, message)
                self._ends()

    # Time

    def _turn(self) -> None:
        """Ask, ask again and report for as long as something is missing."""
        now_us = self.out.now_us
        if self.inquiry.asking and now_us >= self.inquiry.next_us:
            self.inquiry.sent(now_us)
            self.asking.ask(self.inquiry.unanswered(self.book.table) + self.book.ahead()[:AHEAD_MOST])
        missing = next(self.book.all_missing(), None) is not None
        if missing:
            self.leasing.request_ends()
            self._ends()
            self.asking.catch_up()
        else:
            self.adoption.tidy()
        self.adoption.announce()
        self.holds.report()
        if missing or self.inquiry.asking or self.holds.gate.is_suspended:
            self.out.timer(now_us + self.settings.turn_us, "turn")
        elif self.book.own or self.book.facts:
            self.out.timer(now_us + self.settings.catch_up_us, "turn")
        if not missing:
            self.learning.forget()
            self._forget_releases()

    def _ends(self) -> None:
        for release in self.leasing.stand_in_releases():
            self.learning.release(release, "lease")

    def _done(self) -> list[Any]:
        return self.out.taken()
