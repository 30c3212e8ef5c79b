"""Agreement on the next table by Paxos Commit: routes each event to acceptor, participant, coordinator or
catch-up.

The open slot is (number of the latest agreed table + 1, attempt). A coordinator is the member that proposes a
table, or one that has received nothing about a pending slot for a while. It prepares, claims the slot for one
table, has the sites stage it, relays their votes to the voters, and notifies all of the decision:
docs/design/federation.md.
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
from madderbeam.federation.consensus.status import describe_silent, status
from madderbeam.federation.errors import FolderOlder
from madderbeam.federation.table import all_members
from madderbeam.federation.values import ProposalOutcome, RollbackAccepted, Table, TableChecked, TableProposed
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
    """The agreement's state machine. Call `start(now_us)` once, then `handle(now_us, event)`; both return
    actions.

    `records`: the records on disk; `table`: the one in force at the first start (as configured), ignored if
    the records have a later one.
    """

    def __init__(
        self,
        settings: AgreementSettings,
        local_member: MemberId,
        incarnation: Incarnation,
        rng: Random,
        records: Mapping[tuple[str, str], Any],
        table: Table,
    ) -> None:
        self.settings, self.local_member = settings, local_member
        self.outbox = Outbox(local_member)
        self.agreed_tables = AgreedTables(self.outbox, records, table)
        self.acceptor = Acceptor(incarnation, records.get(("vote", "")))
        self._are_votes_uncertain = False  # the acceptor's state may not be on disk: a write has failed
        self.rollback_detector = RollbackDetector(self.outbox, incarnation, records)
        self.proposals = Proposals(self.outbox, records)
        self.participant = Participant(
            self.outbox, settings.check_timeout_us, 4 * settings.resend_interval_us, records, self.base
        )
        self.failover = CoordinatorFailover(
            settings, self.outbox, incarnation, rng, self.proposals, self.document
        )
        self.catch_up = CatchUp(self.outbox, rng, self.agreed_tables, 4 * settings.resend_interval_us)
        self.member_views: dict[MemberId, MemberView] = {}
        self.attempt = 0
        for slot in (self.acceptor.slot, self.participant.slot):
            if slot is not None and slot.number == self.base.number + 1:
                self.attempt = max(self.attempt, slot.attempt)

    # State

    @property
    def base(self) -> Table:
        """The latest agreed table: its voters decide on the next."""
        return self.agreed_tables.latest

    @property
    def slot(self) -> Slot:
        """The open slot, as far as this member knows."""
        return Slot(self.base.number + 1, self.attempt)

    @property
    def may_vote(self) -> bool:
        """Whether this member votes now: it is a voter, and its state is confirmed to be the latest."""
        return self.local_member in self.base.voters and self.rollback_detector.may_vote(self.base.voters)

    def known_since(self, number: int) -> list[Table]:
        """The agreed tables above `number`, of the latest eight, in ascending order; all are on disk."""
        return self.agreed_tables.since(number)

    def status(self, now_us: int) -> dict[str, Any]:
        """The status for GET /federation."""
        return status(self, now_us)

    # Events

    def start(self, now_us: int) -> list[Any]:
        """The actions at the start of the process."""
        self.outbox.now_us = now_us
        self.proposals.on_agreed(self.base, self.agreed_tables.get)
        self.agreed_tables.announce(self.base)
        self.proposals.on_slot_opened(self.slot)
        if self.rollback_detector.distrusted is not None:
            self.rollback_detector.distrust(self.rollback_detector.distrusted)
        self._announce_mark()
        if self.proposals.newest is not None:
            self.failover.schedule_retry()
        return self._finish_event()

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """The actions that follow from this event."""
        self.outbox.now_us = now_us
        match event:
            case MessageReceived(member, message):
                self._on_message(member, message)
            case TimerDue(token) if token.startswith(PREFIX):
                self._on_timer(token.removeprefix(PREFIX))
            case TableProposed(table):
                self._on_proposed(table)
            case TableChecked():
                self.participant.on_checked(event)
            case WriteFailed(kind, key):
                self._on_write_failed(kind, key)
            case GossipReceived(entry) if entry.key == "table":
                self.catch_up.on_gossip(entry.owner, entry.body)
            case MemberChanged(view):
                if view.id in all_members(self.base):
                    self.member_views[view.id] = view
            case LinkUp(member):
                self.outbox.send(member, self.catch_up.latest_decided())
                if self._announces_mark and member in self.base.voters:
                    self._persist_uncertain_votes()
                    self.rollback_detector.announce_to(member, self.acceptor.mark)
            case RollbackDetected(seen):
                self.rollback_detector.distrust(seen)
                self._stop_if_distrusted()
            case IncarnationRaised(incarnation):
                self.acceptor.incarnation = self.rollback_detector.incarnation = self.failover.incarnation = (
                    incarnation
                )
            case RollbackAccepted():
                self.rollback_detector.trust()
                self._announce_mark()
        self._finish_coordination()
        return self._finish_event()

    def _finish_event(self) -> list[Any]:
        self.failover.watch(self.pending)
        self.proposals.remove_completed()
        return self.outbox.take_actions()

    def _on_timer(self, token: str) -> None:
        """Handle a timer by the kind that its token begins with.

        Set without a delay, so that they fire once the records written before them are on disk:
            self      a message of this member to itself can be processed
            known     the record of an agreed table is on disk
            staged    the record of the staged table is on disk
            ended     the record of a completed proposal is removed

        Set with a delay:
            check     the host has not checked a table in time
            drive     the coordinator sends unanswered requests again
            again     retry of a proposal, after a random time
            watch     take the slot over if its coordinator has stalled
            greet     announce this member's mark again
            want      request missing tables again
            sweep     after a failed write: remove the records of completed proposals again
            rewrite   after a failed write: write the agreed tables again
            distrust  after a failed write: write again that this member's state is rolled back
        """
        match token.partition("/")[0]:
            case "self":
                message = self.outbox.take_message_to_self(token)
                if message is not None:
                    self._on_message(self.local_member, message)
            case "known":
                table = self.agreed_tables.on_written(token)
                if table is not None:
                    self.proposals.on_agreed(table, self.agreed_tables.get)
                    self.agreed_tables.announce(table)
            case "staged":
                self.participant.on_written(token)
            case "check":
                self.participant.on_check_due(token)
            case "drive":
                self.failover.on_resend_due(self._describe_silent)
            case "again" if self.failover.coordinator is None and self.proposals.newest is not None:
                self._coordinate()
            case "watch":
                if self.failover.on_watch_due() and self.pending:
                    self._coordinate()
            case "greet" if not self.may_vote:
                self._announce_mark()
            case "want":
                self.catch_up.on_retry_due()
            case "ended":
                self.proposals.on_record_removed(token)
            case "sweep":
                self.proposals.remove_completed(again=True)
            case "rewrite":
                self.agreed_tables.rewrite()
            case "distrust" if self.rollback_detector.distrusted is not None:
                self.rollback_detector.distrust(self.rollback_detector.distrusted)

    def _on_write_failed(self, kind: str, key: str) -> None:
        """All later actions were dropped, timers included: set the timers again; they repeat the rest."""
        self.outbox.drop_messages_to_self()
        match kind:
            case "staged":
                self.participant.on_write_failed()
            case "offer":
                if self.proposals.on_write_failed(key):
                    self.failover.stop()
            case "distrusted" | "trusted":
                self.rollback_detector.on_write_failed(kind)
        self.agreed_tables.rearm()
        self.proposals.rearm()
        self.participant.rearm()
        self.failover.rearm()
        self.catch_up.rearm()
        self._are_votes_uncertain = True
        self.outbox.timer(self.settings.resend_interval_us, "greet")  # at once it would fail again

    def _on_proposed(self, table: Table) -> None:
        if self.rollback_detector.distrusted is not None:
            error = FolderOlder(f"{self.local_member} has an older folder: it offers no table {table.number}")
            self.outbox.add(ProposalOutcome(table.proposal_id, False, error))
        elif self.proposals.add(table, self.base):
            self.failover.reset_retries()
            self._coordinate()

    def _on_message(self, member: MemberId, message: Any) -> None:
        match message:
            case m.Prepare() | m.Accept() | m.VoteRequest():
                if self._is_open(member, message.slot, message.base_digest):
                    self._on_request(member, message)
            case m.Promise() | m.Accepted() | m.BallotRejected() | m.VoteReply():
                self._on_reply(member, message)
            case m.DocumentRequest(slot, digest):
                table = self.document(digest)
                if table is not None:
                    self.outbox.send(member, m.Document(slot, table.document()))
            case m.Document(slot):
                self.participant.on_document(message, self.base)
                coordinator = self.failover.coordinator_of(slot)
                if coordinator is not None:
                    coordinator.on_document(message)
            case m.SlotAborted(slot, digest, votes, marks):
                self._on_slot_aborted(slot, digest, votes)
                self.rollback_detector.learn(marks, self.base.voters)
            case m.SlotAdvanced(slot):
                self._open_slot(slot)
            case m.Decided(_, digest, marks):
                self.rollback_detector.learn(marks, self.base.voters)
                self._adopt_table(self.catch_up.on_decided(member, message, self.document(digest)))
            case m.CatchUpRequest():
                self.catch_up.on_catch_up_request(member, message)
            case m.AgreedTable():
                self._adopt_table(self.catch_up.on_agreed_table(message))
            case m.MarkAnnounced():
                self.rollback_detector.on_mark_announced(member, message, self.base.voters)
            case m.MarkConfirmed():
                self.rollback_detector.on_mark_confirmed(member, message)
                if message.mark == self.acceptor.mark:
                    self._are_votes_uncertain = False
            case m.RollbackReported(mark):
                votes_recorded = self.rollback_detector.on_rollback_reported(member, mark, self.acceptor.mark)
                self.acceptor.votes_recorded = max(self.acceptor.votes_recorded, votes_recorded)
                self._stop_if_distrusted()

    # Requests of a coordinator, and replies to it

    def _is_open(self, member: MemberId, slot: Slot, base_digest: str) -> bool:
        """Whether a request is for the slot that is open here; if not, sender or receiver catches up."""
        if slot.number < self.slot.number:
            self.outbox.send(member, self.catch_up.latest_decided())
        elif slot.number > self.slot.number:
            self.catch_up.request(member, slot.number - 1)
        elif base_digest != self.base.digest:
            self.catch_up.report_difference(member, self.base.number, base_digest)
        elif slot.attempt < self.attempt:
            self.outbox.send(member, m.SlotAdvanced(self.slot))
        else:
            self._open_slot(slot)
            return True
        return False

    def _on_request(self, member: MemberId, message: m.Prepare | m.Accept | m.VoteRequest) -> None:
        if member != self.local_member:
            self.failover.on_other_coordinator(member)
        if isinstance(message, m.VoteRequest):
            self.failover.claim_known_since_us(message.slot, message.digest)
            self.participant.on_vote_request(member, message, self.base)
            return
        self.failover.observe_ballot(message.ballot)
        if not self.may_vote:
            return
        if isinstance(message, m.Prepare):
            reply: m.Promise | m.Accepted | m.BallotRejected | None = self.acceptor.prepare(message)
        else:
            self.failover.claim_known_since_us(message.slot, message.claim.digest)
            reply = self.acceptor.accept(message)
        if reply is not None:
            self.outbox.persist("vote", "", self.acceptor.record())
            self.outbox.send(member, reply)

    def _on_reply(
        self, member: MemberId, message: m.Promise | m.Accepted | m.BallotRejected | m.VoteReply
    ) -> None:
        coordinator = self.failover.coordinator_of(message.slot)
        if isinstance(message, m.Promise | m.Accepted) and (
            member not in self.base.voters or not self.rollback_detector.observe(member, message.mark)
        ):
            return
        if coordinator is None:
            return
        match message:
            case m.Promise():
                coordinator.on_promise(member, message)
            case m.Accepted():
                coordinator.on_accepted(member, message)
            case m.VoteReply():
                coordinator.on_vote(member, message)
            case m.BallotRejected(_, ballot, promised):
                self.failover.observe_ballot(promised)
                if coordinator.ballot == ballot:
                    self.failover.yield_to_higher_ballot()

    # Coordination

    def finish(self, now_us: int) -> list[Any]:
        """Bring what is pending to its outcome now: this member waits for it."""
        self.outbox.now_us = now_us
        if self.pending and self.failover.coordinator is None:
            self._coordinate()
        return self._finish_event()

    def _coordinate(self) -> None:
        if self.rollback_detector.distrusted is None:
            self.failover.start_coordinator(self.base, self.slot)

    @property
    def pending(self) -> bool:
        """Whether this member knows of a claim, a staged table or a proposal without an outcome."""
        is_claimed = self.acceptor.slot == self.slot and self.acceptor.claim is not None
        return is_claimed or self.participant.slot == self.slot or self.proposals.newest is not None

    def _finish_coordination(self) -> None:
        """Act on what the coordinator found out during this event."""
        coordinator = self.failover.coordinator
        if coordinator is None or (coordinator.decision is None and not coordinator.is_idle):
            return
        self.failover.stop()
        if coordinator.decision is None or coordinator.claim is None:
            return
        digest, marks = coordinator.claim.digest, self.rollback_detector.marks(self.base.voters)
        others = [
            member
            for member in all_members(self.base, coordinator.table or self.base)
            if member != self.local_member
        ]
        if isinstance(coordinator.decision, Aborted):
            notification: m.SlotAborted | m.Decided = m.SlotAborted(
                coordinator.slot, digest, coordinator.decision.votes, marks
            )
            self._on_slot_aborted(coordinator.slot, digest, coordinator.decision.votes)
        else:
            assert isinstance(coordinator.decision, Committed)
            notification = m.Decided(coordinator.slot.number, digest, marks)
            self._adopt_table(coordinator.decision.table)
        for other in others:
            self.outbox.send(other, notification)

    def document(self, digest: str) -> Table | None:
        """The proposed table of this digest, if its document is here."""
        coordinator: Coordinator | None = self.failover.coordinator
        if coordinator is not None and coordinator.table is not None and coordinator.table.digest == digest:
            return coordinator.table
        return self.participant.staged(digest) or self.proposals.table(digest)

    def _describe_silent(self, members: tuple[MemberId, ...]) -> str:
        return describe_silent(members, self.member_views, self.outbox.now_us)

    # Outcomes

    def _on_slot_aborted(self, slot: Slot, digest: str, votes: tuple[Vote, ...]) -> None:
        if slot.number == self.slot.number and slot.attempt >= self.attempt:
            self.proposals.on_slot_aborted(slot, digest, votes)
            self._open_slot(Slot(slot.number, slot.attempt + 1))

    def _open_slot(self, slot: Slot) -> None:
        """Open a later attempt for the same table number: all earlier ones are known to be rejected."""
        if slot.number != self.slot.number or slot.attempt <= self.attempt:
            return
        self.attempt = slot.attempt
        self.failover.stop()
        self.proposals.on_slot_opened(slot)
        self.participant.clear()
        if self.proposals.newest is not None:
            self.failover.reset_retries()
            self.failover.schedule_retry()

    def _adopt_table(self, table: Table | None) -> None:
        """Make an agreed table the base, and reset the state of the previous slot; None is ignored.

        Switchover and the table's proposer are notified once its record is on disk (timer "known"). The new
        table may have other voters, so this member's mark is announced to them.
        """
        if table is None or table.number <= self.base.number:
            return
        self.agreed_tables.add(table)
        self.attempt = 0
        self.failover.stop()
        self.participant.clear()
        members = set(all_members(table))
        self.member_views = {member: view for member, view in self.member_views.items() if member in members}
        self.rollback_detector.forget(table.voters)
        self._announce_mark()

    # Rollback detection

    def _announce_mark(self) -> None:
        """Announce this member's mark to the voters until a majority has confirmed that it is the latest.

        A mark is a voter's incarnation and its count of recorded votes; see `rollback_detection`.
        """
        if not self._announces_mark:
            return
        self._persist_uncertain_votes()
        self.rollback_detector.announce(self.acceptor.mark, self.base.voters)
        if not self.may_vote:
            self.outbox.timer(self.settings.resend_interval_us, "greet")

    def _persist_uncertain_votes(self) -> None:
        """Write the votes again, ahead of an announcement, if an earlier write may have failed.

        A mark that was announced and is not on disk would make the next incarnation seem rolled back.
        """
        if self._are_votes_uncertain and self.acceptor.votes_recorded:
            self.outbox.persist("vote", "", self.acceptor.record())

    @property
    def _announces_mark(self) -> bool:
        return self.local_member in self.base.voters and self.rollback_detector.distrusted is None

    def _stop_if_distrusted(self) -> None:
        if self.rollback_detector.distrusted is not None:
            self.failover.stop()
