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
from madderbeam.membership.incarnations import KIND, OWN, Incarnations
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
FAREWELLS = 8  # members that are notified per period that this one leaves


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
        self.own = LocalMember(local_id, incarnation, address)
        self.speech = Dissemination(settings, self.own, via, rng, Incarnations(settings.lives_most, records))
        self.prober = FailureDetector(self.speech)
        self.exchanges = StateExchanges(self.speech, seeds)
        self.armed_us: int | None = None
        self.sweep_us = 0
        self.farewells = 0  # remaining periods in which the departure is announced
        self.farewell_us: int | None = None
        self._events: dict[type, Callable[[int, Any], None]] = {
            DatagramReceived: self._arrived,
            StateReceived: self._state_came,
            Disseminate: self._spread,
            SetDraining: self._drain,
            Leave: self._leave,
            WriteFailed: self._unwritten,
            TimerDue: self._due,
            ExchangeFailed: self._failed,
        }
        self._messages: dict[type, Callable[[int, Any], None]] = {
            Ping: self._ping,
            Ack: self._ack,
            PingRequest: self._ping_req,
            IndirectAck: self._indirect_ack,
            Nack: self._nack,
            ReachableVia: self._way,
        }

    # Queries

    def views(self) -> list[MemberView]:
        """All other known members, the dead and left ones included, by id."""
        return [m.view() for _, m in sorted(self.speech.table.members.items())]

    def view(self, member: MemberId) -> MemberView | None:
        """The view of one member; None: it is unknown."""
        known = self.speech.table.members.get(member)
        return known.view() if known else None

    def alive(self) -> frozenset[MemberId]:
        """Other members that are neither dead nor left; a suspect counts as alive until declared dead."""
        return frozenset(m.id for m in self.speech.table.members.values() if m.live)

    def sites(self) -> dict[str, SiteView]:
        """Each known site with its live members, the local one included, or since when it has none."""
        return self.speech.table.sites(self.own.id if self.own.state is State.ALIVE else None)

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 is healthy."""
        return self.speech.health.score

    @property
    def life(self) -> Incarnation:
        """The local member's incarnation."""
        return self.own.life

    def overdue(self, now_us: int) -> bool:
        """Whether the timer is so late that this process was paused, with no event handled since."""
        return self.armed_us is not None and now_us - self.armed_us > self.settings.probe_timeout_us

    # Events

    def start(self, now_us: int) -> list[Any]:
        """Start the machine, once; the own start count is written before anything is sent."""
        self.speech.heard_us = now_us
        self.speech.persist_own()
        self.speech.announce()
        self.prober.start(now_us)
        self.exchanges.start(now_us)
        self.exchanges.tick(now_us)
        self._plan_sweep(now_us)
        return self._actions(now_us)

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Handle an event and return the actions.

        Events: DatagramReceived, StateReceived, ExchangeFailed, Disseminate, SetDraining, Leave, WriteFailed,
        TimerDue. Actions: SetTimer, SendDatagram, StartStateExchange, StateReply, MemberChanged,
        GossipReceived, PauseDetected, RollbackDetected, Persist, IncarnationRaised, LogLine.
        """
        if self.overdue(now_us):
            assert self.armed_us is not None
            self._resumed(now_us, now_us - self.armed_us)
        self._events[type(event)](now_us, event)
        if self.speech.back:
            self._back(now_us)
        return self._actions(now_us)

    def _due(self, now_us: int, event: TimerDue) -> None:
        if event.token != TOKEN or self.armed_us is None or now_us < self.armed_us:
            return
        if self.speech.unwritten:
            self.speech.persist_own()
        was_querying = self.exchanges.asking
        if not was_querying:
            self.prober.tick(now_us)
        self.exchanges.tick(now_us)
        if was_querying and not self.exchanges.asking:
            self.prober.start(now_us)
        self._judge(now_us)
        if self.farewell_us is not None and self.farewell_us <= now_us:
            self._farewell(now_us)
        if self.sweep_us <= now_us:
            self._sweep(now_us)

    def _actions(self, now_us: int) -> list[Any]:
        due_times = [self.sweep_us, self.exchanges.next_us(), self.farewell_us, self.speech.table.next_us()]
        if not self.exchanges.asking:
            due_times.append(self.prober.next_us())
        due_us = max(now_us, min(due for due in due_times if due is not None))
        actions = self.speech.actions()
        if due_us != self.armed_us or self.armed_us <= now_us:
            self.armed_us = due_us
            actions.insert(0, SetTimer(due_us, TOKEN))
        return actions

    # Timers

    def _resumed(self, now_us: int, paused_us: int) -> None:
        """After a pause of this process: discard all timers and suspicions, and forward nothing outdated."""
        dissemination = self.speech
        dissemination.first.append(PauseDetected(paused_us))
        dissemination.heard_us = now_us
        dissemination.table.void(now_us)
        dissemination.gossip.forget_old(self.own.id)
        self.prober.void()
        self._plan_sweep(now_us)
        if self.own.state is State.ALIVE:
            self.prober.start(now_us)
            self.exchanges.start(now_us)
            self.exchanges.resume(now_us)

    def _back(self, now_us: int) -> None:
        """The isolation of this member has ended: suspicions of that time are discarded."""
        self.speech.back = False
        self.speech.table.void(now_us)
        if self.exchanges.turn_us is not None:
            self.exchanges.turn_us = now_us

    def _judge(self, now_us: int) -> None:
        """Decide expired suspicions: a member is dead if two accuse it or it failed a probe from here."""
        dissemination, table = self.speech, self.speech.table
        for member in table.overdue(now_us):
            suspicion = member.suspicion
            assert suspicion is not None
            is_accuser = self.own.id in suspicion.accusers
            if self.own.state is State.LEFT or member.heard_us > suspicion.began_us:
                table.put_off(now_us, suspicion, heard=True)
            elif self.prober.alone(now_us):
                table.dead(now_us, member, self.own.id, alone=True)
            elif is_accuser or len(suspicion.accusers) > 1:
                table.dead(now_us, member, self.own.id)
                dissemination.gossip.report(table.report(now_us, member))
            else:
                table.put_off(now_us, suspicion, heard=False)
                self.prober.urgent.append(member.id)

    def _plan_sweep(self, now_us: int) -> None:
        self.sweep_us = now_us + 10 * self.settings.probe_period_us

    def _sweep(self, now_us: int) -> None:
        dissemination = self.speech
        for member in dissemination.table.forget(now_us):
            dissemination.gossip.drop(member)
        for entry in dissemination.rumours.sweep(now_us):
            dissemination.gossip.drop_rumour(entry)
        dissemination.noted.clear()
        dissemination.lives.again()
        self._plan_sweep(now_us)

    # Events of the local process

    def _spread(self, now_us: int, event: Disseminate) -> None:
        entry = GossipEntry(self.own.id, event.key, event.version, event.body, event.keep_us)
        violation = self.speech.rumours.why_not(entry)
        if violation:
            self.speech.trouble(RumourRefused(f"{event.key[:40]}: {violation}"))
        elif self.speech.rumours.hear(now_us, entry):
            self.speech.gossip.rumour(entry)
            if event.at_once:
                self.speech.at_once(now_us, entry)
        elif self.speech.rumours.full is not None:
            self.speech.rumours.full = None
            self.speech.trouble(RumourRefused(f"no space for {event.key} of this member"))

    def _drain(self, now_us: int, event: SetDraining) -> None:
        if event.on != self.own.draining and self.own.state is State.ALIVE:
            self.own.draining = event.on
            self.own.raise_word(self.own.word)
            self.speech.announce()

    def _leave(self, now_us: int, event: Leave) -> None:
        if self.own.state is State.LEFT:
            return
        self.own.state = State.LEFT
        self.speech.announce()
        self.prober.stop()
        self.prober.void()
        self.exchanges.stop()
        self.farewells = 5
        self._farewell(now_us)

    def _farewell(self, now_us: int) -> None:
        """Announce the departure to some members now.

        Others are notified in the next periods, while the process still runs.
        """
        rng, recent = self.speech.chance, self.speech.lately(now_us)
        others = [other for other in self.speech.table.members.values() if other.live and other not in recent]
        rng.shuffle(recent)
        rng.shuffle(others)
        for member in (recent + others)[:FAREWELLS]:
            self.speech.ping(member, 0, False)
        self.farewells -= 1
        self.farewell_us = now_us + self.settings.probe_period_us if self.farewells else None

    def _unwritten(self, now_us: int, event: WriteFailed) -> None:
        if event.kind != KIND:
            return
        if event.key == OWN:
            self.speech.unwritten = True
        else:
            self.speech.lives.unwritten(event.key)

    # Messages of other members

    def _arrived(self, now_us: int, event: DatagramReceived) -> None:
        message = event.message
        if message.sender.id == self.own.id:
            self.speech.learn(now_us, message.sender)
        elif type(message) in self._messages:
            self._messages[type(message)](now_us, message)

    def _ping(self, now_us: int, message: Ping) -> None:
        sender = self.speech.hear(now_us, message.sender, message.silent)
        self._items(now_us, message)
        self.prober.pinged(message)
        if sender is not None:
            self.exchanges.mend(now_us, sender)

    def _ack(self, now_us: int, message: Ack) -> None:
        sender = self.speech.hear(now_us, message.sender)
        self._items(now_us, message)
        if sender is not None:
            self.prober.answered(now_us, message)
            self.exchanges.mend(now_us, sender)

    def _ping_req(self, now_us: int, message: PingRequest) -> None:
        if self.speech.hear(now_us, message.sender) is not None:
            self._items(now_us, message)
            self.prober.asked(now_us, message)

    def _indirect_ack(self, now_us: int, message: IndirectAck) -> None:
        if self.speech.hear(now_us, message.sender) is not None:
            for report in message.reports:
                self.speech.learn(now_us, report)
            self.prober.succeeded(message.seq, message.sender.id, now_us)

    def _nack(self, now_us: int, message: Nack) -> None:
        if self.speech.hear(now_us, message.sender) is not None:
            self.prober.nacked(message.seq, message.sender.id)

    def _way(self, now_us: int, message: ReachableVia) -> None:
        if self.speech.hear(now_us, message.sender) is not None:
            member = self.speech.table.members.get(message.target)
            if member is not None:
                self.prober.way(member, message.sender.id)

    def _items(self, now_us: int, message: Ping | Ack | PingRequest) -> None:
        if message.reports or message.rumours:
            self.speech.learn_all(now_us, message.reports, message.rumours)

    def _state_came(self, now_us: int, event: StateReceived) -> None:
        state: FullState = event.message
        self.speech.learn(now_us, state.sender)
        if state.sender.id != self.own.id:
            self.speech.heard(now_us)
        self.speech.learn_all(now_us, state.reports, state.rumours)
        was_querying = self.exchanges.asking
        if event.reply:
            self.exchanges.asked(now_us, state, event.reply)
        else:
            self.exchanges.answered(now_us, state)
        if was_querying and not self.exchanges.asking:
            self.prober.start(now_us)

    def _failed(self, now_us: int, event: ExchangeFailed) -> None:
        self.exchanges.failed(now_us)
