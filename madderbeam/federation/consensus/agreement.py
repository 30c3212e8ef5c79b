"""Agreement on the next table by Paxos Commit: routes each event to voter, speaker, driver and what is known.

The slot that is open is (number of the latest agreed table + 1, attempt). A driver (whoever offers, or a
member that heard nothing of a pending slot for a while) prepares, claims the slot for one table, has the
sites stage it, carries their words to the voters, and tells all what was decided: docs/design/federation.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from madderbeam.federation.consensus import messages as m
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.catch_up import CatchUp
from madderbeam.federation.consensus.coordinator import Aborted, Committed, Coordinator
from madderbeam.federation.consensus.failover import CoordinatorFailover
from madderbeam.federation.consensus.outbox import PREFIX, Outbox
from madderbeam.federation.consensus.participant import Participant
from madderbeam.federation.consensus.proposals import Proposals
from madderbeam.federation.consensus.rollback_detection import RollbackDetector
from madderbeam.federation.consensus.rounds import AgreementSettings, Slot, Vote
from madderbeam.federation.consensus.status import silence, status
from madderbeam.federation.errors import FolderOlder
from madderbeam.federation.table import everyone
from madderbeam.federation.values import FolderTrusted, ProposalOutcome, Table, TableChecked, TableProposed
from madderbeam.membership.values import (
    GossipReceived,
    Incarnation,
    IncarnationRaised,
    LinkUp,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    RollbackDetected,
    TimerDue,
    WriteFailed,
)


class Agreement:
    """`start(now_us)` once, then `handle(now_us, event)`: both give actions. `records`: the durable map;
    `table`: the one in force at the first start (as configured), of no account where records know a later."""

    def __init__(
        self,
        settings: AgreementSettings,
        me: MemberId,
        life: Incarnation,
        chance: Random,
        records: Mapping[tuple[str, str], Any],
        table: Table,
    ) -> None:
        self.settings, self.me = settings, me
        self.out = Outbox(me)
        self.known = AgreedTables(self.out, records, table)
        self.acceptor = Acceptor(life, records.get(("vote", "")))
        self.folder = RollbackDetector(self.out, life, records)
        self.offers = Proposals(self.out, records)
        self.speaker = Participant(self.out, settings.check_us, 4 * settings.resend_us, records, self.base)
        self.driving = CoordinatorFailover(settings, self.out, life, chance, self.offers, self.document)
        self.catch_up = CatchUp(self.out, chance, self.known, 4 * settings.resend_us)
        self.views: dict[MemberId, MemberView] = {}
        self.attempt = 0
        for slot in (self.acceptor.slot, self.speaker.slot):
            if slot is not None and slot.number == self.base.number + 1:
                self.attempt = max(self.attempt, slot.attempt)

    # What others ask

    @property
    def base(self) -> Table:
        """The latest agreed table: its voters decide on the next."""
        return self.known.latest

    @property
    def slot(self) -> Slot:
        return Slot(self.base.number + 1, self.attempt)

    @property
    def votes(self) -> bool:
        """Whether this member takes part in votes now."""
        return self.me in self.base.voters and self.folder.may_vote(self.base.voters)

    def known_since(self, number: int) -> list[Table]:
        """The agreed tables above `number`, of the last eight, in their order; all are on disk."""
        return self.known.since(number)

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation."""
        return status(self, now_us)

    # Events

    def start(self, now_us: int) -> list[Any]:
        """What is to be done at the start of the process."""
        self.out.now_us = now_us
        self.offers.agreed(self.base, self.known.get)
        self.known.tell(self.base)
        self.offers.opened(self.slot)
        if self.folder.distrusted is not None:
            self.folder.distrust(self.folder.distrusted)
        self._greet()
        if self.offers.newest is not None:
            self.driving.again()
        return self._done()

    def handle(self, now_us: int, event: Any) -> list[Any]:
        self.out.now_us = now_us
        match event:
            case MessageReceived(member, message):
                self._on_message(member, message)
            case TimerDue(token) if token.startswith(PREFIX):
                self._on_due(token.removeprefix(PREFIX))
            case TableProposed(table):
                self._on_proposed(table)
            case TableChecked():
                self.speaker.on_checked(event)
            case WriteFailed(kind, key):
                self._on_unwritten(kind, key)
            case GossipReceived(rumour) if rumour.key == "table":
                self.catch_up.on_rumour(rumour.owner, rumour.body)
            case MemberChanged(view):
                if view.id in everyone(self.base):
                    self.views[view.id] = view
            case LinkUp(member):
                self.out.send(member, self.catch_up.latest())
                if self._greets and member in self.base.voters:
                    self.folder.greet_one(member, self.acceptor.mark)
            case RollbackDetected(seen):
                self.folder.distrust(seen)
                self._heed_distrust()
            case IncarnationRaised(life):
                self.acceptor.life = self.folder.life = self.driving.life = life
            case FolderTrusted():
                self.folder.trust()
                self._greet()
        self._end_drive()
        return self._done()

    def _done(self) -> list[Any]:
        self.driving.watch(self.pending)
        self.offers.sweep()
        return self.out.taken()

    def _on_due(self, token: str) -> None:
        match token.partition("/")[0]:
            case "self":
                message = self.out.own(token)
                if message is not None:
                    self._on_message(self.me, message)
            case "known":
                table = self.known.on_written(token)
                if table is not None:
                    self.offers.agreed(table, self.known.get)
                    self.known.tell(table)
            case "staged":
                self.speaker.on_written(token)
            case "check":
                self.speaker.on_check_due(token)
            case "drive":
                self.driving.on_drive_due(self._silence)
            case "again" if self.driving.driver is None and self.offers.newest is not None:
                self._drive()
            case "watch":
                if self.driving.on_watch_due() and self.pending:
                    self._drive()
            case "greet" if not self.votes:
                self._greet()
            case "want":
                self.catch_up.on_want_due()
            case "ended":
                self.offers.on_forgotten(token)
            case "sweep":
                self.offers.sweep(again=True)
            case "rewrite":
                self.known.rewrite()
            case "distrust" if self.folder.distrusted is not None:
                self.folder.distrust(self.folder.distrusted)

    def _on_unwritten(self, kind: str, key: str) -> None:
        """What stood behind it is lost, timers too: they are all set again, and bring the words again."""
        self.out.lost()
        match kind:
            case "staged":
                self.speaker.on_unwritten()
            case "offer":
                if self.offers.on_unwritten(key):
                    self.driving.stop()
            case "distrusted" | "trusted":
                self.folder.on_unwritten(kind)
        self.known.rearm()
        self.offers.rearm()
        self.speaker.rearm()
        self.driving.rearm()
        self.catch_up.rearm()
        self._greet()

    def _on_proposed(self, table: Table) -> None:
        if self.folder.distrusted is not None:
            error = FolderOlder(f"{self.me} has an older folder: it offers no table {table.number}")
            self.out.give(ProposalOutcome(table.proposal, False, error))
        elif self.offers.add(table, self.base):
            self.driving.fresh()
            self._drive()

    def _on_message(self, member: MemberId, message: Any) -> None:
        match message:
            case m.Prepare() | m.Accept() | m.VoteRequest():
                if self._is_open(member, message.slot, message.base):
                    self._on_request(member, message)
            case m.Promise() | m.Accepted() | m.BallotRejected() | m.VoteReply():
                self._on_reply(member, message)
            case m.DocumentRequest(slot, digest):
                table = self.document(digest)
                if table is not None:
                    self.out.send(member, m.Document(slot, table.document()))
            case m.Document(slot):
                self.speaker.on_shown(message, self.base)
                driver = self.driving.at(slot)
                if driver is not None:
                    driver.on_shown(message)
            case m.SlotAborted(slot, digest, words, marks):
                self._over(slot, digest, words)
                self.folder.learn(marks, self.base.voters)
            case m.SlotAdvanced(slot):
                self._open_slot(slot)
            case m.Decided(_, digest, marks):
                self.folder.learn(marks, self.base.voters)
                self._adopt(self.catch_up.on_decided(member, message, self.document(digest)))
            case m.CatchUpRequest():
                self.catch_up.on_want(member, message)
            case m.AgreedTable():
                self._adopt(self.catch_up.on_known(message))
            case m.MarkAnnounced():
                self.folder.on_greet(member, message, self.base.voters)
            case m.MarkConfirmed():
                self.folder.on_greeted(member, message)
            case m.RollbackReported(mark):
                least = self.folder.on_older(member, mark, self.acceptor.mark)
                self.acceptor.votes = max(self.acceptor.votes, least)
                self._heed_distrust()

    # Requests of a driver, and replies to it

    def _is_open(self, member: MemberId, slot: Slot, base: str) -> bool:
        """Whether a request is for the slot that is open here; else the sender or this member catches up."""
        if slot.number < self.slot.number:
            self.out.send(member, self.catch_up.latest())
        elif slot.number > self.slot.number:
            self.catch_up.ask(member, slot.number - 1)
        elif base != self.base.digest:
            self.catch_up.tell_differ(member, self.base.number, base)
        elif slot.attempt < self.attempt:
            self.out.send(member, m.SlotAdvanced(self.slot))
        else:
            self._open_slot(slot)
            return True
        return False

    def _on_request(self, member: MemberId, message: m.Prepare | m.Accept | m.VoteRequest) -> None:
        if member != self.me:
            self.driving.heard(member)
        if isinstance(message, m.VoteRequest):
            self.driving.since(message.slot, message.digest)
            self.speaker.on_offer(member, message, self.base)
            return
        self.driving.see(message.ballot)
        if not self.votes:
            return
        if isinstance(message, m.Prepare):
            reply: m.Promise | m.Accepted | m.BallotRejected | None = self.acceptor.prepare(message)
        else:
            self.driving.since(message.slot, message.claim.digest)
            reply = self.acceptor.accept(message)
        if reply is not None:
            self.out.persist("vote", "", self.acceptor.record())
            self.out.send(member, reply)

    def _on_reply(
        self, member: MemberId, message: m.Promise | m.Accepted | m.BallotRejected | m.VoteReply
    ) -> None:
        driver = self.driving.at(message.slot)
        if isinstance(message, m.Promise | m.Accepted) and (
            member not in self.base.voters or not self.folder.note(member, message.mark)
        ):
            return
        if driver is None:
            return
        match message:
            case m.Promise():
                driver.on_promise(member, message)
            case m.Accepted():
                driver.on_accepted(member, message)
            case m.VoteReply():
                driver.on_answer(member, message)
            case m.BallotRejected(_, ballot, promised):
                self.driving.see(promised)
                if driver.ballot == ballot:
                    self.driving.give_way()

    # Driving

    def finish(self, now_us: int) -> list[Any]:
        """What is pending is to come to its end now: this member waits for it."""
        self.out.now_us = now_us
        if self.pending and self.driving.driver is None:
            self._drive()
        return self._done()

    def _drive(self) -> None:
        if self.folder.distrusted is None:
            self.driving.begin(self.base, self.slot)

    @property
    def pending(self) -> bool:
        """Whether something is to be brought to its end that this member knows of."""
        claimed = self.acceptor.slot == self.slot and self.acceptor.claim is not None
        return claimed or self.speaker.slot == self.slot or self.offers.newest is not None

    def _end_drive(self) -> None:
        """What the driver found out in this turn."""
        driver = self.driving.driver
        if driver is None or (driver.ending is None and not driver.idle):
            return
        self.driving.stop()
        if driver.ending is None or driver.claim is None:
            return
        digest, marks = driver.claim.digest, self.folder.marks(self.base.voters)
        others = [o for o in everyone(self.base, driver.table or self.base) if o != self.me]
        if isinstance(driver.ending, Aborted):
            told: m.SlotAborted | m.Decided = m.SlotAborted(driver.slot, digest, driver.ending.words, marks)
            self._over(driver.slot, digest, driver.ending.words)
        else:
            assert isinstance(driver.ending, Committed)
            told = m.Decided(driver.slot.number, digest, marks)
            self._adopt(driver.ending.table)
        for other in others:
            self.out.send(other, told)

    def document(self, digest: str) -> Table | None:
        """A table that is offered, if its document is here."""
        driver: Coordinator | None = self.driving.driver
        if driver is not None and driver.table is not None and driver.table.digest == digest:
            return driver.table
        return self.speaker.staged(digest) or self.offers.table(digest)

    def _silence(self, members: tuple[MemberId, ...]) -> str:
        return silence(members, self.views, self.out.now_us)

    # Endings

    def _over(self, slot: Slot, digest: str, words: tuple[Vote, ...]) -> None:
        if slot.number == self.slot.number and slot.attempt >= self.attempt:
            self.offers.over(slot, digest, words)
            self._open_slot(Slot(slot.number, slot.attempt + 1))

    def _open_slot(self, slot: Slot) -> None:
        """All attempts below it are known as turned down."""
        if slot.number != self.slot.number or slot.attempt <= self.attempt:
            return
        self.attempt = slot.attempt
        self.driving.stop()
        self.offers.opened(slot)
        self.speaker.clear()
        if self.offers.newest is not None:
            self.driving.fresh()
            self.driving.again()

    def _adopt(self, table: Table | None) -> None:
        """This table is agreed. It is told to the switch part, and to who offered it, once it is on disk."""
        if table is None or table.number <= self.base.number:
            return
        self.known.add(table)
        self.attempt = 0
        self.driving.stop()
        self.speaker.clear()
        members = set(everyone(table))
        self.views = {member: view for member, view in self.views.items() if member in members}
        self.folder.forget(table.voters)
        self._greet()

    # The folder

    def _greet(self) -> None:
        """Ask the voters what they know of this one's folder, until a majority has answered."""
        if not self._greets:
            return
        self.folder.greet(self.acceptor.mark, self.base.voters)
        if not self.votes:
            self.out.timer(self.settings.resend_us, "greet")

    @property
    def _greets(self) -> bool:
        return self.me in self.base.voters and self.folder.distrusted is None

    def _heed_distrust(self) -> None:
        if self.folder.distrusted is not None:
            self.driving.stop()
