"""What this member thinks of each other one: incarnations, states, accusers (SWIM, section 4.2).

A death that is told counts as an accusation by the one who tells it, unless the member is suspected here
already and two have accused it. So one member that hears nobody clears nobody's table.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.membership.messages import MemberReport
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.suspicion import Suspicion, shortest_us, timeout_us
from madderbeam.membership.values import Address, Incarnation, MemberId, MemberView, SiteView, State

NEVER = -(1 << 62)


@dataclass(slots=True)
class Member:
    """Another member as it is seen here. `heard_us`: a datagram of its own came, and it was not silent."""

    id: MemberId
    life: Incarnation
    word: int
    state: State
    address: Address
    since_us: int
    draining: bool = False
    by: MemberId | None = None  # who says that it is dead
    alone: bool = False  # this member took it for lost while it heard nobody: told to no one
    heard_us: int = NEVER
    suspicion: Suspicion | None = None  # while it is SUSPECT
    ways: list[MemberId] = field(default_factory=list)  # who reached it lately, the latest first

    @property
    def live(self) -> bool:
        return self.state <= State.SUSPECT

    def knows(self, report: MemberReport) -> bool:
        """Nothing new in a word on the same incarnation."""
        if self.suspicion is None:
            return report.state is self.state and not self.alone
        if report.state is State.SUSPECT:
            return report.by in self.suspicion.accusers
        return report.state is State.ALIVE

    def view(self) -> MemberView:
        return MemberView(
            self.id, self.life, self.word, self.state, self.address, self.since_us, self.draining
        )


class MemberTable:
    """All others. `changed` holds what the machine has to tell and clears it; `full` is set once no room was
    left for a live member."""

    def __init__(self, settings: MembershipSettings, me: MemberId) -> None:
        self.settings, self.me = settings, me
        self.members: dict[MemberId, Member] = {}
        self.suspects: dict[MemberId, Member] = {}
        self.over: dict[
            MemberId, tuple[Incarnation, int]
        ] = {}  # incarnations of the dead that were let go of
        self.changed: list[Member] = []
        self.fresh: list[MemberId] = []  # newly alive, for the prober
        self.count = 1  # live members, this one included
        self.full = False

    # what is heard

    def merge(self, now_us: int, report: MemberReport) -> bool:
        """Take a word on another member; True if it is news that others should have as well."""
        member = self.members.get(report.id)
        if member is None:
            return self._first(now_us, report)
        mine, theirs = (member.life, member.word), (report.life, report.word)
        if theirs < mine:
            return False
        if theirs > mine or (member.alone and report.state <= State.SUSPECT):
            return self._newer(now_us, member, report)
        if report.state is State.SUSPECT:
            return member.live and self.accuse(now_us, member, report.by or self.me)
        if report.state is State.DEAD:
            if member.alone:  # others say so too
                member.alone, member.by = False, report.by
            return member.live and self._told_dead(now_us, member, report)
        if report.state is State.LEFT and member.state is not State.LEFT:
            self._enter(now_us, member, State.LEFT)
            return True
        return False

    def _first(self, now_us: int, report: MemberReport) -> bool:
        since = now_us - report.ago_ms * 1_000
        gone = report.state >= State.DEAD
        over = self.over.get(report.id)
        if over is not None and (report.life, report.word) <= over:
            return False  # some still think it alive; if it is, it raises its word
        if (gone and now_us - since >= self.settings.forget_us) or not self._room(gone):
            return False
        member = Member(
            report.id, report.life, report.word, report.state, report.address, since, report.draining
        )
        member.by = report.by
        self.members[report.id] = member
        self.over.pop(report.id, None)
        self.changed.append(member)
        self.count += member.live
        self.fresh += [member.id] if member.live else []
        if report.state is State.SUSPECT:
            member.state = State.ALIVE
            self.accuse(now_us, member, report.by or self.me)
        return not gone

    def _newer(self, now_us: int, member: Member, report: MemberReport) -> bool:
        """A word on an incarnation that was not known yet (or that was given up only for oneself)."""
        if report.life != member.life:
            member.heard_us = NEVER
            member.ways.clear()
        was, redrained = member.state, member.draining != report.draining
        member.life, member.word = report.life, report.word
        member.address, member.draining, member.alone = report.address, report.draining, False
        self._cleared(member)
        if report.state is State.LEFT:
            self._enter(now_us, member, State.LEFT)
        elif report.state is State.DEAD and was >= State.DEAD:
            member.by = report.by
            self._enter(now_us, member, State.DEAD)
        elif report.state is State.ALIVE:
            if was is not State.ALIVE or redrained:
                self._enter(now_us, member, State.ALIVE)
        else:
            self._enter(now_us, member, State.ALIVE, tell=False)
            self.accuse(now_us, member, report.by or self.me)
        return True

    def _told_dead(self, now_us: int, member: Member, report: MemberReport) -> bool:
        by = report.by or self.me
        suspicion = member.suspicion
        if suspicion is None:
            return self.accuse(now_us, member, by)
        news = self.accuse(now_us, member, by)
        if len(suspicion.accusers) < 2 or member.heard_us > suspicion.began_us:
            return news
        self.dead(now_us, member, by)
        return True

    # what is decided here

    def accuse(self, now_us: int, member: Member, by: MemberId) -> bool:
        """One more accuser of a live member; False if that changes nothing."""
        suspicion = member.suspicion
        if suspicion is None:
            suspicion = member.suspicion = Suspicion(now_us)
            self.suspects[member.id] = member
            self._enter(now_us, member, State.SUSPECT)
        elif by in suspicion.accusers or len(suspicion.accusers) > self.settings.confirmations:
            return False
        suspicion.accusers.append(by)
        span = timeout_us(self.settings, self.count, len(suspicion.accusers))
        suspicion.deadline_us = suspicion.began_us + span
        return True

    def dead(self, now_us: int, member: Member, by: MemberId, alone: bool = False) -> None:
        member.by, member.alone = by, alone
        self._enter(now_us, member, State.DEAD)

    def overdue(self, now_us: int) -> list[Member]:
        return [m for m in self.suspects.values() if m.suspicion and m.suspicion.deadline_us <= now_us]

    def next_us(self) -> int | None:
        return min((m.suspicion.deadline_us for m in self.suspects.values() if m.suspicion), default=None)

    def put_off(self, now_us: int, suspicion: Suspicion, heard: bool) -> None:
        """Suspect it for one more shortest time; `heard`: it has to be heard again within that."""
        suspicion.deadline_us = now_us + shortest_us(self.settings, self.count)
        if heard:
            suspicion.began_us = now_us

    def void(self, now_us: int) -> None:
        """After a pause: nobody is suspected on the strength of a timer that stood still."""
        for member in list(self.suspects.values()):
            self._enter(now_us, member, State.ALIVE)

    def forget(self, now_us: int) -> list[MemberId]:
        """Let go of those that have been dead or gone for long, and of the oldest where they are many."""
        gone = sorted((m for m in self.members.values() if not m.live), key=lambda m: m.since_us)
        many = len(gone) - self.settings.dead_most
        old = [m.id for n, m in enumerate(gone) if n < many or now_us - m.since_us >= self.settings.forget_us]
        for one in old:
            self._let_go(self.members[one])
        return old

    def _let_go(self, member: Member) -> None:
        del self.members[member.id]
        self.over[member.id] = (member.life, member.word)
        if len(self.over) > self.settings.lives_most:
            del self.over[next(iter(self.over))]

    def _enter(self, now_us: int, member: Member, state: State, tell: bool = True) -> None:
        live = state <= State.SUSPECT
        if live != member.live:
            self.count += 1 if live else -1
            if live:
                self.fresh.append(member.id)
        if state is not State.SUSPECT:
            self._cleared(member)
        if state is not member.state:
            member.since_us = now_us
        member.state = state
        if tell:
            self.changed.append(member)

    def _cleared(self, member: Member) -> None:
        if member.suspicion is not None:
            member.suspicion = None
            del self.suspects[member.id]

    def _room(self, gone: bool) -> bool:
        if len(self.members) < self.settings.members_most:
            return True
        dead = [m for m in self.members.values() if not m.live]
        if gone or not dead:
            self.full = self.full or not gone
            return False
        self._let_go(min(dead, key=lambda m: m.since_us))
        return True

    # what is told

    def report(self, now_us: int, member: Member) -> MemberReport:
        """As others are told of it."""
        state, by, ago = member.state, member.by, 0
        if member.alone:
            state = State.ALIVE
        if state is State.SUSPECT and member.suspicion:
            by = member.suspicion.accusers[-1]
        if state >= State.DEAD:
            ago = max(0, now_us - member.since_us) // 1_000
        if state in (State.ALIVE, State.LEFT):
            by = None
        return MemberReport(
            member.id, member.life, member.word, state, member.address, member.draining, by, ago
        )

    def sites(self, own: MemberId | None) -> dict[str, SiteView]:
        """By name; `own`: this member, where it has not left."""
        rows: dict[str, list[Member]] = {}
        for member in self.members.values():
            rows.setdefault(member.id.site, []).append(member)
        views = {}
        for site in sorted({*rows, self.me.site}):
            known = rows.get(site, [])
            live = sorted([m.id for m in known if m.live] + ([own] if own and own.site == site else []))
            since = None if live else max((m.since_us for m in known), default=0)
            views[site] = SiteView(site, tuple(live), since)
        return views
