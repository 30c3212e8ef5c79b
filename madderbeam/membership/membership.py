"""Group membership by SWIM with suspicion and Lifeguard; events and the time go in, actions come out.

SWIM: Das, Gupta, Motivala 2002. Lifeguard: Dadgar, Phillips, Currey 2018.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.federation.errors import RumourRefused
from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.exchanges import StateExchanges
from madderbeam.membership.failure_detector import FailureDetector
from madderbeam.membership.incarnations import OWN_KEY, RECORD_KIND, Incarnations
from madderbeam.membership.local_member import LocalMember
from madderbeam.membership.messages import Ack, FullState, IndirectAck, Nack, Ping, PingRequest, ReachableVia
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import (
    Address,
    DatagramReceived,
    Disseminate,
    ExchangeFailed,
    GossipEntry,
    Incarnation,
    Leave,
    MemberId,
    MemberView,
    PauseDetected,
    SetDraining,
    SetTimer,
    SiteView,
    State,
    StateReceived,
    TimerDue,
    WriteFailed,
)

TOKEN = "membership"  # token of the only timer
PINGS_ON_LEAVE = 8  # members that are notified per period that this one leaves


class Membership:
    """One member's view of all members.

    `seeds`: addresses contacted at the start, and again while no live member has them. `via`: configured
    addresses, which take precedence over gossiped ones. `records`: the durable records, of which kind "life"
    belongs to membership (`incarnations.next_incarnation` gives the incarnation to start with).
    """

    def __init__(
        self,
        settings: MembershipSettings,
        local_id: MemberId,
        incarnation: Incarnation,
        address: Address,
        seeds: tuple[Address, ...],
        via: Mapping[MemberId, Address],
        rng: random.Random,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings = settings
        self.local = LocalMember(local_id, incarnation, address)
        self.dissemination = Dissemination(
            settings, self.local, via, rng, Incarnations(settings.max_incarnations, records)
        )
        self.failure_detector = FailureDetector(self.dissemination)
        self.exchanges = StateExchanges(self.dissemination, seeds)
        self.timer_us: int | None = None
        self.next_sweep_us = 0
        self.leave_periods_left = 0  # remaining periods in which the departure is announced
        self.next_leave_us: int | None = None
        self._event_handlers: dict[type, Callable[[int, Any], None]] = {
            DatagramReceived: self._on_datagram,
            StateReceived: self._on_state,
            Disseminate: self._on_disseminate,
            SetDraining: self._on_set_draining,
            Leave: self._on_leave,
            WriteFailed: self._on_write_failed,
            TimerDue: self._on_timer,
            ExchangeFailed: self._on_exchange_failed,
        }
        self._message_handlers: dict[type, Callable[[int, Any], None]] = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            PingRequest: self._on_ping_request,
            IndirectAck: self._on_indirect_ack,
            Nack: self._on_nack,
            ReachableVia: self._on_reachable_via,
        }

    # Queries

    def views(self) -> list[MemberView]:
        """All other known members, the dead and left ones included, by id."""
        return [m.view() for _, m in sorted(self.dissemination.table.members.items())]

    def view(self, member: MemberId) -> MemberView | None:
        """The view of one member; None: it is unknown."""
        known = self.dissemination.table.members.get(member)
        return known.view() if known else None

    def alive(self) -> frozenset[MemberId]:
        """Other members that are neither dead nor left; a suspect counts as alive until declared dead."""
        return frozenset(m.id for m in self.dissemination.table.members.values() if m.is_live)

    def sites(self) -> dict[str, SiteView]:
        """Each known site with its live members, the local one included, or since when it has none."""
        return self.dissemination.table.sites(self.local.id if self.local.state is State.ALIVE else None)

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 is healthy."""
        return self.dissemination.health.score

    @property
    def incarnation(self) -> Incarnation:
        """The local member's incarnation."""
        return self.local.incarnation

    def was_paused(self, now_us: int) -> bool:
        """Whether the timer is so late that this process was paused, with no event handled since."""
        return self.timer_us is not None and now_us - self.timer_us > self.settings.probe_timeout_us

    # Events

    def start(self, now_us: int) -> list[Any]:
        """Start the machine, once; the own start count is written before anything is sent."""
        self.dissemination.last_received_us = now_us
        self.dissemination.persist_start()
        self.dissemination.announce()
        self.failure_detector.start(now_us)
        self.exchanges.start(now_us)
        self.exchanges.tick(now_us)
        self._schedule_sweep(now_us)
        return self._actions(now_us)

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Handle an event and return the actions.

        Events: DatagramReceived, StateReceived, ExchangeFailed, Disseminate, SetDraining, Leave, WriteFailed,
        TimerDue. Actions: SetTimer, SendDatagram, StartStateExchange, StateReply, MemberChanged,
        GossipReceived, PauseDetected, RollbackDetected, Persist, IncarnationRaised, LogLine.
        """
        if self.was_paused(now_us):
            assert self.timer_us is not None
            self._resume_after_pause(now_us, now_us - self.timer_us)
        self._event_handlers[type(event)](now_us, event)
        if self.dissemination.isolation_ended:
            self._isolation_ended(now_us)
        return self._actions(now_us)

    def _on_timer(self, now_us: int, event: TimerDue) -> None:
        if event.token != TOKEN or self.timer_us is None or now_us < self.timer_us:
            return
        if self.dissemination.start_not_written:
            self.dissemination.persist_start()
        was_querying = self.exchanges.is_querying
        if not was_querying:
            self.failure_detector.tick(now_us)
        self.exchanges.tick(now_us)
        if was_querying and not self.exchanges.is_querying:
            self.failure_detector.start(now_us)
        self._decide_suspicions(now_us)
        if self.next_leave_us is not None and self.next_leave_us <= now_us:
            self._announce_leave(now_us)
        if self.next_sweep_us <= now_us:
            self._sweep(now_us)

    def _actions(self, now_us: int) -> list[Any]:
        due_times = [
            self.next_sweep_us,
            self.exchanges.next_us(),
            self.next_leave_us,
            self.dissemination.table.next_expiry_us(),
        ]
        if not self.exchanges.is_querying:
            due_times.append(self.failure_detector.next_us())
        due_us = max(now_us, min(due for due in due_times if due is not None))
        actions = self.dissemination.actions()
        if due_us != self.timer_us or self.timer_us <= now_us:
            self.timer_us = due_us
            actions.insert(0, SetTimer(due_us, TOKEN))
        return actions

    # Timers

    def _resume_after_pause(self, now_us: int, paused_us: int) -> None:
        """After a pause of this process: discard all timers and suspicions, and forward nothing outdated."""
        dissemination = self.dissemination
        dissemination.first_actions.append(PauseDetected(paused_us))
        dissemination.last_received_us = now_us
        dissemination.table.clear_suspicions(now_us)
        dissemination.queue.keep_local_only(self.local.id)
        self.failure_detector.discard_probes()
        self._schedule_sweep(now_us)
        if self.local.state is State.ALIVE:
            self.failure_detector.start(now_us)
            self.exchanges.start(now_us)
            self.exchanges.query_after_pause(now_us)

    def _isolation_ended(self, now_us: int) -> None:
        """The isolation of this member has ended: suspicions of that time are discarded."""
        self.dissemination.isolation_ended = False
        self.dissemination.table.clear_suspicions(now_us)
        if self.exchanges.next_periodic_us is not None:
            self.exchanges.next_periodic_us = now_us

    def _decide_suspicions(self, now_us: int) -> None:
        """Decide expired suspicions: a member is dead if two accuse it or it failed a probe from here."""
        dissemination, table = self.dissemination, self.dissemination.table
        for member in table.expired_suspicions(now_us):
            suspicion = member.suspicion
            assert suspicion is not None
            is_accuser = self.local.id in suspicion.accusers
            if self.local.state is State.LEFT or member.last_received_us > suspicion.began_us:
                table.extend_suspicion(now_us, suspicion, restart=True)
            elif self.failure_detector.is_isolated(now_us):
                table.declare_dead(now_us, member, self.local.id, only_locally=True)
            elif is_accuser or len(suspicion.accusers) > 1:
                table.declare_dead(now_us, member, self.local.id)
                dissemination.queue.add_report(table.report(now_us, member))
            else:
                table.extend_suspicion(now_us, suspicion, restart=False)
                self.failure_detector.priority_targets.append(member.id)

    def _schedule_sweep(self, now_us: int) -> None:
        self.next_sweep_us = now_us + 10 * self.settings.probe_period_us

    def _sweep(self, now_us: int) -> None:
        dissemination = self.dissemination
        for member in dissemination.table.remove_old(now_us):
            dissemination.queue.drop_reports(member)
        for entry in dissemination.entries.remove_expired(now_us):
            dissemination.queue.drop_entry(entry)
        dissemination.logged_errors.clear()
        dissemination.incarnations.retry_failed_writes()
        self._schedule_sweep(now_us)

    # Events of the local process

    def _on_disseminate(self, now_us: int, event: Disseminate) -> None:
        entry = GossipEntry(self.local.id, event.key, event.version, event.body, event.keep_us)
        violation = self.dissemination.entries.limit_violation(entry)
        if violation:
            self.dissemination.log_once(RumourRefused(f"{event.key[:40]}: {violation}"))
        elif self.dissemination.entries.add(now_us, entry):
            self.dissemination.queue.add_entry(entry)
            if event.at_once:
                self.dissemination.send_directly(now_us, entry)
        elif self.dissemination.entries.rejected_owner is not None:
            self.dissemination.entries.rejected_owner = None
            self.dissemination.log_once(RumourRefused(f"no space for {event.key} of this member"))

    def _on_set_draining(self, now_us: int, event: SetDraining) -> None:
        if event.draining != self.local.draining and self.local.state is State.ALIVE:
            self.local.draining = event.draining
            self.local.raise_refutation(self.local.refutation)
            self.dissemination.announce()

    def _on_leave(self, now_us: int, event: Leave) -> None:
        if self.local.state is State.LEFT:
            return
        self.local.state = State.LEFT
        self.dissemination.announce()
        self.failure_detector.stop()
        self.failure_detector.discard_probes()
        self.exchanges.stop()
        self.leave_periods_left = 5
        self._announce_leave(now_us)

    def _announce_leave(self, now_us: int) -> None:
        """Announce the departure to some members now.

        Others are notified in the next periods, while the process still runs.
        """
        rng, recent = self.dissemination.rng, self.dissemination.recently_active(now_us)
        others = [
            other
            for other in self.dissemination.table.members.values()
            if other.is_live and other not in recent
        ]
        rng.shuffle(recent)
        rng.shuffle(others)
        for member in (recent + others)[:PINGS_ON_LEAVE]:
            self.dissemination.send_ping(member, 0, False)
        self.leave_periods_left -= 1
        self.next_leave_us = now_us + self.settings.probe_period_us if self.leave_periods_left else None

    def _on_write_failed(self, now_us: int, event: WriteFailed) -> None:
        if event.kind != RECORD_KIND:
            return
        if event.key == OWN_KEY:
            self.dissemination.start_not_written = True
        else:
            self.dissemination.incarnations.write_failed(event.key)

    # Messages of other members

    def _on_datagram(self, now_us: int, event: DatagramReceived) -> None:
        message = event.message
        if message.sender.id == self.local.id:
            self.dissemination.apply_report(now_us, message.sender)
        elif type(message) in self._message_handlers:
            self._message_handlers[type(message)](now_us, message)

    def _on_ping(self, now_us: int, message: Ping) -> None:
        sender = self.dissemination.sender_received(now_us, message.sender, message.hears_nobody)
        self._apply_piggyback(now_us, message)
        self.failure_detector.ping_received(message)
        if sender is not None:
            self.exchanges.exchange_with_dead(now_us, sender)

    def _on_ack(self, now_us: int, message: Ack) -> None:
        sender = self.dissemination.sender_received(now_us, message.sender)
        self._apply_piggyback(now_us, message)
        if sender is not None:
            self.failure_detector.on_ack(now_us, message)
            self.exchanges.exchange_with_dead(now_us, sender)

    def _on_ping_request(self, now_us: int, message: PingRequest) -> None:
        if self.dissemination.sender_received(now_us, message.sender) is not None:
            self._apply_piggyback(now_us, message)
            self.failure_detector.ping_requested(now_us, message)

    def _on_indirect_ack(self, now_us: int, message: IndirectAck) -> None:
        if self.dissemination.sender_received(now_us, message.sender) is not None:
            for report in message.reports:
                self.dissemination.apply_report(now_us, report)
            self.failure_detector.ack_received(message.seq, message.sender.id, now_us)

    def _on_nack(self, now_us: int, message: Nack) -> None:
        if self.dissemination.sender_received(now_us, message.sender) is not None:
            self.failure_detector.nack_received(message.seq, message.sender.id)

    def _on_reachable_via(self, now_us: int, message: ReachableVia) -> None:
        if self.dissemination.sender_received(now_us, message.sender) is not None:
            member = self.dissemination.table.members.get(message.target)
            if member is not None:
                self.failure_detector.remember_helper(member, message.sender.id)

    def _apply_piggyback(self, now_us: int, message: Ping | Ack | PingRequest) -> None:
        if message.reports or message.entries:
            self.dissemination.apply_all(now_us, message.reports, message.entries)

    def _on_state(self, now_us: int, event: StateReceived) -> None:
        state: FullState = event.message
        self.dissemination.apply_report(now_us, state.sender)
        if state.sender.id != self.local.id:
            self.dissemination.note_contact(now_us)
        self.dissemination.apply_all(now_us, state.reports, state.entries)
        was_querying = self.exchanges.is_querying
        if event.reply_id:
            self.exchanges.request_received(now_us, state, event.reply_id)
        else:
            self.exchanges.reply_received(now_us, state)
        if was_querying and not self.exchanges.is_querying:
            self.failure_detector.start(now_us)

    def _on_exchange_failed(self, now_us: int, event: ExchangeFailed) -> None:
        self.exchanges.exchange_failed(now_us)
