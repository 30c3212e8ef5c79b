"""Membership: who is there, by SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar,
Phillips, Currey 2018); events and time in, actions out."""

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

TOKEN = "membership"  # its one timer
FAREWELLS = 8  # members that are told at once that this one leaves


class Membership:
    """One member's view of all. `seeds`: addresses that are asked at the start, and again while no live
    member has them; `via`: addresses of this member's own file, which go before gossiped ones; `records`: the
    durable map as it was read, of which kind "life" is ours (`lives.next_life` gives the life to begin)."""

    def __init__(
        self,
        settings: MembershipSettings,
        me: MemberId,
        life: Incarnation,
        address: Address,
        seeds: tuple[Address, ...],
        via: Mapping[MemberId, Address],
        chance: random.Random,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings = settings
        self.own = LocalMember(me, life, address)
        self.speech = Dissemination(
            settings, self.own, via, chance, Incarnations(settings.lives_most, records)
        )
        self.prober = FailureDetector(self.speech)
        self.exchanges = StateExchanges(self.speech, seeds)
        self.armed_us: int | None = None
        self.sweep_us = 0
        self.farewells = 0  # periods in which it still says that it leaves
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

    # what others ask

    def views(self) -> list[MemberView]:
        """All other members that are known, the dead and those that left included, by id."""
        return [m.view() for _, m in sorted(self.speech.table.members.items())]

    def view(self, member: MemberId) -> MemberView | None:
        known = self.speech.table.members.get(member)
        return known.view() if known else None

    def alive(self) -> frozenset[MemberId]:
        """Other members that are neither dead nor left; a suspect is alive until it is dead."""
        return frozenset(m.id for m in self.speech.table.members.values() if m.live)

    def sites(self) -> dict[str, SiteView]:
        """Each site that is known with its live members, this one included, or since when it has none."""
        return self.speech.table.sites(self.own.id if self.own.state is State.ALIVE else None)

    @property
    def health(self) -> int:
        """Lifeguard's local health multiplier: 0 is well."""
        return self.speech.health.score

    @property
    def life(self) -> Incarnation:
        return self.own.life

    def overdue(self, now_us: int) -> bool:
        """Its timer is so late that this process was paused, and it has not been handed an event since."""
        return self.armed_us is not None and now_us - self.armed_us > self.settings.probe_timeout_us

    # events

    def start(self, now_us: int) -> list[Any]:
        """To be called once; the own start count is written before anything is said."""
        self.speech.heard_us = now_us
        self.speech.persist_own()
        self.speech.announce()
        self.prober.start(now_us)
        self.exchanges.start(now_us)
        self.exchanges.tick(now_us)
        self._plan_sweep(now_us)
        return self._actions(now_us)

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Arrived, StateCame, ExchangeFailed, Spread, Draining, Leaving, Unwritten and Due in;
        SetTimer, SendDatagram, Exchange, StateReply, MemberChanged, Heard, Resumed, FolderIsOlder, Persist,
        LifeRaised and Note out."""
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
        asking = self.exchanges.asking
        if not asking:
            self.prober.tick(now_us)
        self.exchanges.tick(now_us)
        if asking and not self.exchanges.asking:
            self.prober.start(now_us)
        self._judge(now_us)
        if self.farewell_us is not None and self.farewell_us <= now_us:
            self._farewell(now_us)
        if self.sweep_us <= now_us:
            self._sweep(now_us)

    def _actions(self, now_us: int) -> list[Any]:
        times = [self.sweep_us, self.exchanges.next_us(), self.farewell_us, self.speech.table.next_us()]
        if not self.exchanges.asking:
            times.append(self.prober.next_us())
        at = max(now_us, min(t for t in times if t is not None))
        actions = self.speech.actions()
        if at != self.armed_us or self.armed_us <= now_us:
            self.armed_us = at
            actions.insert(0, SetTimer(at, TOKEN))
        return actions

    # time

    def _resumed(self, now_us: int, paused_us: int) -> None:
        """This process stood still: its timers are void, it accuses nobody and passes nothing old on."""
        speech = self.speech
        speech.first.append(PauseDetected(paused_us))
        speech.heard_us = now_us
        speech.table.void(now_us)
        speech.gossip.forget_old(self.own.id)
        self.prober.void()
        self._plan_sweep(now_us)
        if self.own.state is State.ALIVE:
            self.prober.start(now_us)
            self.exchanges.start(now_us)
            self.exchanges.resume(now_us)

    def _back(self, now_us: int) -> None:
        """Somebody is heard again after a time alone: what was thought of others then is void."""
        self.speech.back = False
        self.speech.table.void(now_us)
        if self.exchanges.turn_us is not None:
            self.exchanges.turn_us = now_us

    def _judge(self, now_us: int) -> None:
        """Suspicions whose time is up: a member is dead if two accuse it or it did not answer this one."""
        speech, table = self.speech, self.speech.table
        for member in table.overdue(now_us):
            suspicion = member.suspicion
            assert suspicion is not None
            mine = self.own.id in suspicion.accusers
            if self.own.state is State.LEFT or member.heard_us > suspicion.began_us:
                table.put_off(now_us, suspicion, heard=True)
            elif self.prober.alone(now_us):
                table.dead(now_us, member, self.own.id, alone=True)
            elif mine or len(suspicion.accusers) > 1:
                table.dead(now_us, member, self.own.id)
                speech.gossip.report(table.report(now_us, member))
            else:
                table.put_off(now_us, suspicion, heard=False)
                self.prober.urgent.append(member.id)

    def _plan_sweep(self, now_us: int) -> None:
        self.sweep_us = now_us + 10 * self.settings.probe_period_us

    def _sweep(self, now_us: int) -> None:
        speech = self.speech
        for member in speech.table.forget(now_us):
            speech.gossip.drop(member)
        for rumour in speech.rumours.sweep(now_us):
            speech.gossip.drop_rumour(rumour)
        speech.noted.clear()
        speech.lives.again()
        self._plan_sweep(now_us)

    # what comes from the own side

    def _spread(self, now_us: int, event: Disseminate) -> None:
        rumour = GossipEntry(self.own.id, event.key, event.version, event.body, event.keep_us)
        why = self.speech.rumours.why_not(rumour)
        if why:
            self.speech.trouble(RumourRefused(f"{event.key[:40]}: {why}"))
        elif self.speech.rumours.hear(now_us, rumour):
            self.speech.gossip.rumour(rumour)
            if event.at_once:
                self.speech.at_once(now_us, rumour)
        elif self.speech.rumours.full is not None:
            self.speech.rumours.full = None
            self.speech.trouble(RumourRefused(f"no room for {event.key} of this member"))

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
        """Told to some at once and to others in the periods after, as long as the process lives."""
        chance, lately = self.speech.chance, self.speech.lately(now_us)
        rest = [m for m in self.speech.table.members.values() if m.live and m not in lately]
        chance.shuffle(lately)
        chance.shuffle(rest)
        for member in (lately + rest)[:FAREWELLS]:
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

    # what comes from others

    def _arrived(self, now_us: int, event: DatagramReceived) -> None:
        message = event.message
        if message.sender.id == self.own.id:
            self.speech.learn(now_us, message.sender)
        elif type(message) in self._messages:
            self._messages[type(message)](now_us, message)

    def _ping(self, now_us: int, m: Ping) -> None:
        sender = self.speech.hear(now_us, m.sender, m.silent)
        self._items(now_us, m)
        self.prober.pinged(m)
        if sender is not None:
            self.exchanges.mend(now_us, sender)

    def _ack(self, now_us: int, m: Ack) -> None:
        sender = self.speech.hear(now_us, m.sender)
        self._items(now_us, m)
        if sender is not None:
            self.prober.answered(now_us, m)
            self.exchanges.mend(now_us, sender)

    def _ping_req(self, now_us: int, m: PingRequest) -> None:
        if self.speech.hear(now_us, m.sender) is not None:
            self._items(now_us, m)
            self.prober.asked(now_us, m)

    def _indirect_ack(self, now_us: int, m: IndirectAck) -> None:
        if self.speech.hear(now_us, m.sender) is not None:
            for report in m.reports:
                self.speech.learn(now_us, report)
            self.prober.succeeded(m.seq, m.sender.id, now_us)

    def _nack(self, now_us: int, m: Nack) -> None:
        if self.speech.hear(now_us, m.sender) is not None:
            self.prober.nacked(m.seq, m.sender.id)

    def _way(self, now_us: int, m: ReachableVia) -> None:
        if self.speech.hear(now_us, m.sender) is not None:
            member = self.speech.table.members.get(m.target)
            if member is not None:
                self.prober.way(member, m.sender.id)

    def _items(self, now_us: int, m: Ping | Ack | PingRequest) -> None:
        if m.reports or m.rumours:
            self.speech.learn_all(now_us, m.reports, m.rumours)

    def _state_came(self, now_us: int, event: StateReceived) -> None:
        m: FullState = event.message
        self.speech.learn(now_us, m.sender)
        if m.sender.id != self.own.id:
            self.speech.heard(now_us)
        self.speech.learn_all(now_us, m.reports, m.rumours)
        asking = self.exchanges.asking
        if event.reply:
            self.exchanges.asked(now_us, m, event.reply)
        else:
            self.exchanges.answered(now_us, m)
        if asking and not self.exchanges.asking:
            self.prober.start(now_us)

    def _failed(self, now_us: int, event: ExchangeFailed) -> None:
        self.exchanges.failed(now_us)
