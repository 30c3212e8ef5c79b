"""Brings agreed tables in force at this member and keeps two sites from serving one destination at once.

Combines the destinations served here (moves.py), the inquiry about the table in force elsewhere (inquiry.py)
and leases. Every record is on disk before an action that depends on it is taken (pending_writes.py).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.federation.errors import FederationError, NotInForce
from madderbeam.federation.leases.coordination import LeaseCoordination
from madderbeam.federation.leases.lease import LeaseHolder
from madderbeam.federation.switchover import messages
from madderbeam.federation.switchover.activation import TableActivation
from madderbeam.federation.switchover.inquiry import ConsensusView, InForceInquiry, NoConsensus
from madderbeam.federation.switchover.ledger import active_members, initial_ledger, read_ledger
from madderbeam.federation.switchover.moves import DestinationMoves
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import TOKEN_PREFIX, ActionBuffer
from madderbeam.federation.switchover.queries import InForceQueries
from madderbeam.federation.switchover.release_learning import ReleaseLearning
from madderbeam.federation.switchover.release_records import record_from_row
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
from madderbeam.membership import values

MAX_NON_VOTERS_QUERIED = 3  # members with a newer table that are queried besides the voters


class Switchover:
    """The state machine of the switchover. Call `start(now_us)` once, then `handle(now_us, event)`; both
    return actions.

    `records` are those on disk, by kind and key. `table` is the one from the configuration file; it is used
    only if `records` has none. `wall_ms(now_us)` returns Unix time in milliseconds.
    """

    def __init__(
        self,
        settings: SwitchoverSettings,
        local_member: values.MemberId,
        incarnation: values.Incarnation,
        records: Mapping[tuple[str, str], Any],
        table: Table,
        consensus: ConsensusView | None = None,
        wall_ms: Callable[[int], int] = lambda now_us: now_us // 1_000,
    ) -> None:
        self.settings, self.local_member, self.incarnation = settings, local_member, incarnation
        self.consensus = consensus or NoConsensus()
        self.records: Mapping[tuple[str, str], Any] | None = records
        force_row = records.get(("force", ""))
        self.registry = OwnershipRegistry(
            local_member, initial_ledger(table) if force_row is None else read_ledger(force_row)
        )
        self.actions = ActionBuffer(settings.retry_us)
        self.activation = TableActivation(
            settings, self.registry, self.actions, incarnation, force_row is None
        )
        self.moves = DestinationMoves(
            self.registry, self.actions, incarnation, wall_ms, settings.gossip_retention_us
        )
        self.release_learning = ReleaseLearning(
            self.registry, self.actions, incarnation, wall_ms, settings.gossip_retention_us
        )
        self.inquiry = InForceInquiry(settings, local_member, incarnation)
        self.lease_holder = LeaseHolder(settings)
        self.queries = InForceQueries(
            settings,
            self.registry,
            self.actions,
            self.activation,
            self.release_learning,
            self.inquiry,
            self.consensus,
        )
        self.leases = LeaseCoordination(
            settings, self.registry, self.actions, incarnation, self.lease_holder, self.consensus, records
        )
        self.suspension = ServingSuspension(
            settings, self.registry, self.actions, self.inquiry, self.lease_holder
        )

    # Queries by the host

    def may_call(self, now_us: int, dest: int, max_duration_us: int = 0) -> bool:
        """Whether a call to the destination may be written now if it ends within `max_duration_us`."""
        is_served = dest in self.moves.served and not self.suspension.covers(dest)
        return is_served and self.lease_holder.is_valid(now_us + max_duration_us)

    def status(self, now_us: int) -> dict[str, Any]:
        """The state of the switchover for GET /federation."""
        self.actions.now_us = now_us
        return status(self)

    def objection(self, table: Table) -> FederationError | None:
        """Why this table must not be staged here, or None; part of the host's reply to CheckTable."""
        return self.activation.objection(table)

    # Events

    def start(self, now_us: int) -> list[Any]:
        """Load the records on disk, start the inquiry and return the actions of the start."""
        assert self.records is not None
        records, self.records = self.records, None
        self.actions.now_us = self.registry.in_force_since_us = now_us
        self.release_learning.start(records)
        self.leases.start(records)
        for table in self.consensus.known_since(self.registry.ledger.number):
            self.activation.add(table)
        self.inquiry.begin(now_us, self.queries.has_other_sites())
        self.leases.renew()
        self._check_progress()
        self.queries.advance()
        self.queries.conclude()
        self.suspension.update()
        self.actions.add(TableInForce(self.registry.table, None))
        for dest in sorted(self.registry.own_releases):
            self.moves.announce(dest)
        self._reconcile_all()
        return self._take_actions()

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Process one event and return the actions that follow from it. Starts the machine if nothing has
        yet.
        """
        if self.records is not None:
            return self.start(now_us) + (
                [] if isinstance(event, ServingPaused) else self.handle(now_us, event)
            )
        self.actions.now_us = now_us
        match event:
            case values.TimerDue(token) if token.startswith(TOKEN_PREFIX):
                self._on_timer(event, token.removeprefix(TOKEN_PREFIX))
            case values.MessageReceived(member, message):
                self._on_message(member, message)
            case TableAgreed(table):
                self.activation.add(table)
                self.queries.advance()
            case values.GossipReceived(entry):
                if self.release_learning.on_gossip(entry) is not None:
                    self._on_standing(entry.owner)
            case DestinationReleased(release):
                self.moves.on_released(release)
            case MemberDecommissioned(member, number):
                self.release_learning.decommission(
                    member, min(number, self.registry.ledger.number), is_declared_here=True
                )
            case ServingPaused() | values.PauseDetected():
                self.lease_holder.invalidate()
                self.inquiry.begin(now_us, self.queries.has_other_sites())
                self.leases.renew()
                self._check_progress()
            case values.IncarnationRaised(incarnation):
                self._on_incarnation_raised(incarnation)
            case values.LinkUp(member):
                if self.inquiry.is_active and member in self.inquiry.silent_voters(self.registry.table):
                    self.queries.send_query([member])
            case values.WriteFailed(kind, _):
                self._on_write_failed(kind)
        self.queries.conclude()
        self.suspension.update()
        return self._take_actions()

    def _on_incarnation_raised(self, incarnation: values.Incarnation) -> None:
        """Announce everything again under the new incarnation.

        State restored from an older copy may not know what an earlier incarnation has announced.
        """
        if incarnation == self.incarnation:
            return
        self.incarnation = self.moves.incarnation = self.release_learning.incarnation = (
            self.activation.incarnation
        ) = incarnation
        self.activation.announce(again=True)
        for dest in self.registry.own_releases:
            self.moves.announce(dest)
        for member in self.release_learning.declared_here:
            self.release_learning.announce_decommissioned(member)

    def _on_timer(self, event: values.TimerDue, name: str) -> None:
        record = self.actions.on_timer(event)
        if record is not None:
            self._on_record_written(record)
        elif name == "turn":
            self._check_progress()
        elif name == "lease":
            self.leases.renew()
        elif name == "ready":
            self.leases.record_span()

    def _on_record_written(self, record: values.Persist) -> None:
        match record.kind:
            case "force":
                self._on_table_in_force()
            case "heard":
                release_record = record_from_row(record.value)
                self.registry.add_record(release_record)
                self._reconcile([release_record.release.dest])
            case "release":
                self.moves.on_release_written(record_from_row(record.value))
            case "off":
                self.leases.on_member_decommissioned(
                    self.release_learning.on_decommission_written(record.value)
                )
                self._reconcile_all()
            case "vouch":
                self.leases.on_confirmation_written(record.value)
                self._record_lease_ends()

    def _on_write_failed(self, kind: str) -> None:
        """Retry after a failed write. All actions behind it were dropped, and which these were is unknown."""
        self.actions.schedule_rewrites()
        self.actions.add(self.suspension.current)
        self.activation.announce(again=True)
        for dest in self.registry.own_releases:
            self.moves.announce(dest)
        for member in self.release_learning.declared_here:
            self.release_learning.announce_decommissioned(member)
        self.actions.set_timer(self.actions.now_us + self.settings.check_interval_us, "turn")
        self.leases.rearm()
        if kind == "force":
            text = f"failed to write the table after {self.registry.ledger.number}; retrying"
            self.actions.add(values.LogLine(text, NotInForce(text)))

    # Tables

    def _on_table_in_force(self) -> None:
        previous, skipped_tables = self.activation.on_written()
        ledger = self.registry.ledger
        if ledger.table.proposal_id != previous.proposal_id:
            self.actions.add(TableInForce(ledger.table, previous))
        if ledger.table.voters != previous.voters:
            self.lease_holder.invalidate()
        if skipped_tables:
            self.moves.relinquish(self.moves.served)
        for member in ledger.table.decommissioned:
            self.leases.on_member_decommissioned(member)
        self.release_learning.remove_expired()
        self.leases.forget()
        self._retract_known_releases()
        self._reconcile_all(previous)
        self.activation.announce()
        if self.inquiry.is_active and ledger.table.proposal_id != previous.proposal_id:
            self.inquiry.restart(self.actions.now_us)
        if not self.lease_holder.is_valid(self.actions.now_us):
            self.leases.renew()
        self._check_progress()
        self.queries.advance()

    def _reconcile_all(self, previous: Table | None = None) -> None:
        ledger = self.registry.ledger
        dests = set(ledger.table.owners) | set(ledger.outstanding) | self.moves.served
        self._reconcile(dests | set(previous.owners if previous else ()))

    def _reconcile(self, dests: Any) -> None:
        if not self.activation.has_no_record or not self.queries.has_other_sites():
            self.moves.reconcile(dests)

    def _on_standing(self, member: values.MemberId) -> None:
        """A member announced its table in force."""
        number = self.registry.standings[member].number
        self.leases.on_serving_span(member, self.registry.standings[member].lease_us)
        if number > self.registry.ledger.number and member in active_members(self.registry.table):
            self.inquiry.newest_number = max(number, self.inquiry.newest_number)
            self.queries.on_newer_table()
        self._retract_known_releases()

    def _retract_known_releases(self) -> None:
        for dest in (
            self.registry.releases_known_to_all(self.actions.now_us) if self.registry.own_releases else ()
        ):
            self.moves.retract(dest)

    # Messages

    def _on_message(self, member: values.MemberId, message: Any) -> None:
        self.inquiry.on_heard(member, self.actions.now_us, self.registry.table)
        match message:
            case messages.InForceQuery(number=number):
                if self.consensus.may_vote():
                    self.actions.add(values.SendMessage(member, self.queries.reply_to(message)))
                if number > self.registry.ledger.number:
                    self.queries.on_newer_table()
            case messages.InForceReply():
                self.queries.on_reply(member, message)
            case messages.LeaseReply(number=number):
                self.leases.on_renewal_reply(member, message)
                if number > self.registry.ledger.number:
                    self.queries.on_newer_table()
            case messages.LeaseRequest():
                self.leases.on_renewal_request(member, message)
            case messages.LeaseEndRequest():
                self.leases.on_end_request(member, message)
            case messages.LeaseEndConfirmation():
                self.leases.on_ends_confirmed(member, message)
                self._record_lease_ends()

    # Timers

    def _check_progress(self) -> None:
        """Repeat queries and reports for as long as releases or replies are missing."""
        now_us = self.actions.now_us
        if self.inquiry.is_active and now_us >= self.inquiry.next_query_us:
            self.inquiry.on_sent(now_us)
            self.queries.send_query(
                self.inquiry.silent_voters(self.registry.table)
                + self.registry.non_voters_ahead()[:MAX_NON_VOTERS_QUERIED]
            )
        has_missing = next(self.registry.all_missing_releases(), None) is not None
        if has_missing:
            self.leases.request_ends()
            self._record_lease_ends()
            self.queries.catch_up()
        else:
            self.activation.write_without_outstanding()
        self.activation.announce()
        self.suspension.report()
        if has_missing or self.inquiry.is_active or self.suspension.current.is_suspended:
            self.actions.set_timer(now_us + self.settings.check_interval_us, "turn")
        elif self.registry.own_releases or self.registry.release_records:
            self.actions.set_timer(now_us + self.settings.catch_up_interval_us, "turn")
        if not has_missing:
            self.release_learning.remove_expired()
            self._retract_known_releases()

    def _record_lease_ends(self) -> None:
        for release in self.leases.stand_in_releases():
            self.release_learning.add_release(release, "lease")

    def _take_actions(self) -> list[Any]:
        return self.actions.take()
