"""What this member says and hears besides the question in hand: its own word, news, who is told first.

All parts of the machine share one `Speech`: what is known (table, lives, rumours, own word), and the actions
that this turn has come to, in the order in which they are to be carried out.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.federation.errors import FolderOlder, MembersFull, RumourRefused
from madderbeam.membership.digest import member_digest, together
from madderbeam.membership.gossip_entries import GossipEntries
from madderbeam.membership.gossip_queue import GossipQueue, times
from madderbeam.membership.incarnations import KIND, OWN, Incarnations
from madderbeam.membership.local_health import LocalHealth
from madderbeam.membership.local_member import LocalMember, Said
from madderbeam.membership.member_table import Member, MemberTable
from madderbeam.membership.messages import Ack, FullState, MemberReport, Ping, ReachableVia, report_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import (
    Address,
    GossipEntry,
    GossipReceived,
    Incarnation,
    IncarnationRaised,
    LogLine,
    MemberChanged,
    MemberId,
    Persist,
    RollbackDetected,
    SendDatagram,
    State,
)

HEAD = 60  # bytes of a datagram's own numbers and lists, at most
VOUCHERS = 3  # wanted for an accused member
NOWHERE = ("0.0.0.0", 1)  # where the address of a life is not known


class Dissemination:
    """Knowledge and voice of one member."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: LocalMember,
        via: Mapping[MemberId, Address],
        chance: random.Random,
        lives: Incarnations,
    ) -> None:
        self.settings, self.own, self.via, self.chance, self.lives = settings, own, via, chance, lives
        self.table = MemberTable(settings, own.id)
        self.gossip, self.health = GossipQueue(), LocalHealth(settings.health_most)
        self.rumours = GossipEntries(settings, self.table)
        self.heard_us = 0  # when anybody was heard
        self.alone_us = settings.alone_periods * settings.probe_period_us
        self.raised_us: int | None = None  # when the own start was last raised
        self.unwritten = False  # the own start is not on disk: nothing is said
        self.at_once_us: list[int] = []  # when rumours of the last probe period were told at once
        self.noted: set[type[Exception]] = set()
        self.quiet = False  # after a pause: what comes now may be old, and is not passed on
        self.back = False  # somebody was heard again, after a time alone
        self.first: list[Any] = []  # actions that wait for nothing, and come before
        self.before: list[Any] = []  # these
        self.sends: list[Any] = []
        self.row: MemberReport | None = None
        self.row_size = 0

    # saying

    def me(self) -> MemberReport:
        if self.row is None:
            self.row = self.own.report()
            self.row_size = packed_size(report_row(self.row))
        return self.row

    def address(self, member: MemberId, gossiped: Address) -> Address:
        return self.via.get(member, gossiped)

    def send(self, to: Address, message: Any) -> None:
        self.sends.append(SendDatagram(to, message))

    def items(
        self, to: MemberId, life: Incarnation | None = None, more: int = 0
    ) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        """What goes along in a datagram: first what is thought of the receiver itself (Lifeguard, "buddy
        system"), then news. `life`: the one it claims; `more`: bytes besides sender, receiver and numbers."""
        first = self.about(to, life)
        if first is not None:
            return (first,), ()  # news is not spent on one that may not be there
        if not self.gossip.pending:
            return (), ()
        self.me()
        settings = self.settings
        room = settings.datagram_bytes - settings.frame_bytes - self.row_size - HEAD - more
        room -= 4 * (len(to.site) + len(to.name))
        reports: list[MemberReport] = []
        rumours: list[GossipEntry] = []
        for item in self.gossip.take(room, times(self.settings.spread_factor, self.table.count)):
            if isinstance(item, GossipEntry):
                rumours.append(item)
            elif item.id != to:
                reports.append(item)
        return tuple(reports), tuple(rumours)

    def lately(self, now_us: int) -> list[Member]:
        """Live members that were heard within the last periods, or all where there are none."""
        since = now_us - self.settings.lately_periods * self.settings.probe_period_us
        live = [m for m in self.table.members.values() if m.live]
        return [m for m in live if m.heard_us >= since] or live

    def about(self, to: MemberId, life: Incarnation | None = None) -> MemberReport | None:
        """What a member should know of itself: that it is not thought alive, or of a higher life."""
        highest = self.lives.highest.get(to)
        if life is not None and highest is not None and life < highest:
            return MemberReport(to, highest, 0, State.DEAD, NOWHERE, by=self.own.id)
        member = self.table.members.get(to)
        over = self.table.over.get(to)
        if member is None and over is not None:
            return MemberReport(to, over[0], over[1], State.DEAD, NOWHERE, by=self.own.id)
        if member is None or member.state is State.ALIVE or member.alone:
            return None
        return self.table.report(0, member)

    def ping(self, member: Member, seq: int, silent: bool) -> None:
        to = self.address(member.id, member.address)
        self.send(to, Ping(seq, self.me(), member.id, silent, *self.items(member.id)))

    def at_once(self, now_us: int, rumour: GossipEntry) -> None:
        """Tell the own site's members that live, in a datagram that answers nothing."""
        settings = self.settings
        self.at_once_us = [at for at in self.at_once_us if now_us - at < settings.probe_period_us]
        if len(self.at_once_us) >= settings.at_once_each or self.quiet:
            return
        self.at_once_us.append(now_us)
        live = [m for m in self.table.members.values() if m.live and m.id.site == self.own.id.site]
        for member in self.chance.sample(live, min(len(live), settings.at_once_to)):
            self.send(self.address(member.id, member.address), Ack(0, self.me(), (), (rumour,)))

    def digest(self) -> int:
        """Of the live members, this one included, and of the rumours."""
        own = self.own
        live = [m for m in self.table.members.values() if m.live or m.alone]
        members = together(member_digest(m.id, m.life, m.word) for m in live)
        return self.rumours.digest ^ members ^ member_digest(own.id, own.life, own.word)

    def ask(self) -> FullState:
        return FullState(self.me(), self.digest(), True)

    def nothing(self, to: MemberReport) -> FullState:
        """An answer with no more than what the receiver should know of itself."""
        first = self.about(to.id, to.life)
        return FullState(self.me(), self.digest(), False, (first,) if first else ())

    def full(self, now_us: int, to: MemberReport) -> FullState:
        """The whole state."""
        first = self.about(to.id, to.life)
        reports = [first] if first else []
        reports += [self.table.report(now_us, m) for m in self.table.members.values()]
        return FullState(self.me(), self.digest(), False, tuple(reports), tuple(self.rumours.held.values()))

    def announce(self) -> None:
        """The own word has changed."""
        self.row = None
        self.gossip.report(self.me())

    # hearing

    def hear(self, now_us: int, sender: MemberReport, silent: bool = False) -> Member | None:
        """A datagram came from this member itself; None if its life is over or it is not to be known."""
        self.heard(now_us)
        if not self.learn(now_us, sender):
            return None
        member = self.table.members.get(sender.id)
        if member is not None and not silent:
            member.heard_us = now_us
        return member

    def heard(self, now_us: int) -> None:
        """Somebody is there."""
        if now_us - self.heard_us > self.alone_us:
            self.back = True
        self.heard_us = now_us

    def learn(self, now_us: int, report: MemberReport) -> bool:
        """One word on a member; False if it is of a life that is over."""
        member = self.table.members.get(report.id)
        if member is not None and report.life == member.life:
            if report.word < member.word or (report.word == member.word and member.knows(report)):
                return True  # the greater part of what comes
        elif report.id == self.own.id:
            self._on_me(now_us, report)
            return True
        elif not self.lives.see(report.id, report.life):
            return False
        suspected = member is not None and member.suspicion is not None
        if self.table.merge(now_us, report):
            member = self.table.members[report.id]
            if self.quiet:
                return True
            self.gossip.report(report)
            if not suspected and member.state is State.SUSPECT and report.by:
                self._vouch(now_us, member, report.by)
        if self.table.full:
            self.table.full = False
            self.trouble(MembersFull(f"no room for {report.id} beside {len(self.table.members)} members"))
        return True

    def learn_all(self, now_us: int, reports: Iterable[MemberReport], rumours: Iterable[GossipEntry]) -> None:
        for report in reports:
            self.learn(now_us, report)
        for rumour in rumours:
            self.hear_rumour(now_us, rumour)

    def hear_rumour(self, now_us: int, rumour: GossipEntry) -> None:
        if self.rumours.hear(now_us, rumour):
            if not self.quiet:
                self.gossip.rumour(rumour)
            self.before.append(GossipReceived(rumour))
        elif self.rumours.full is not None:
            self.rumours.full = None
            held = len(self.rumours.held)
            self.trouble(RumourRefused(f"no room for {rumour.key} of {rumour.owner} beside {held} rumours"))

    def _vouch(self, now_us: int, member: Member, accuser: MemberId) -> None:
        """A member is accused that was heard here lately: it is told, and the accuser gets a way to it. A few
        of those who could do so are enough (each hears about two members a period)."""
        lately = self.settings.lately_periods * self.settings.probe_period_us
        if accuser == self.own.id or now_us - member.heard_us > lately:
            return
        others = min(self.table.count - 2, 2 * self.settings.lately_periods)
        if self.chance.random() * others > VOUCHERS:
            return
        self.ping(member, 0, False)
        other = self.table.members.get(accuser)
        if other is not None:
            self.send(self.address(accuser, other.address), ReachableVia(self.me(), member.id))

    def _on_me(self, now_us: int, report: MemberReport) -> None:
        said = self.own.hear(report)
        if said is Said.REFUTED:
            if report.state is not State.ALIVE:
                self.health.worse()
            self.announce()
        elif said is Said.OLDER:
            self._older(now_us, report.life)

    def _older(self, now_us: int, seen: Incarnation) -> None:
        """Not more often than once an exchange period: two processes with one folder outbid each other."""
        if self.raised_us is not None and now_us - self.raised_us < self.settings.exchange_period_us:
            return
        mine, self.raised_us = self.own.life, now_us
        what = f"{self.own.id} has start {mine.start}, and another process of it had start {seen.start}"
        self.before += [LogLine("an older folder", FolderOlder(what)), RollbackDetected(seen, mine)]
        self.own.raise_life(seen)
        self.persist_own()
        self.announce()

    def persist_own(self) -> None:
        """What is said after this in the turn waits for the disk."""
        self.unwritten = False
        self.sends += [Persist(KIND, OWN, self.own.life.start), IncarnationRaised(self.own.life)]

    def trouble(self, error: RumourRefused | MembersFull) -> None:
        """Told once, until the next sweep."""
        if type(error) not in self.noted:
            self.noted.add(type(error))
            self.before.append(LogLine("a bound is reached", error))

    # the end of a turn

    def actions(self) -> list[Any]:
        """What this turn comes to; records that nothing waits for stand last."""
        out = self.first
        if self.table.changed:
            out += [MemberChanged(m.view()) for m in {m.id: m for m in self.table.changed}.values()]
            self.table.changed.clear()
        out += self.before
        if not self.unwritten:
            out += self.sends
        if self.lives.due:
            out += self.lives.records()
        self.first, self.before, self.sends = [], [], []
        return out
