"""Table of the other members: incarnations, states and accusers (SWIM, section 4.2).

A reported death counts as an accusation by its reporter, unless the member is already suspected here and two
members have accused it. So a single member that receives nothing cannot remove others from any table but its
own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.membership.messages import MemberReport
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.suspicion import Suspicion, minimum_timeout_us, timeout_us
from madderbeam.membership.values import Address, Incarnation, MemberId, MemberView, SiteView, State

NEVER = -(1 << 62)


@dataclass(slots=True)
class Member:
    """Another member as this one knows it.

    `last_received_us`: when a datagram of its own that was not flagged silent arrived.
    """

    id: MemberId
    incarnation: Incarnation
    refutation: int
    state: State
    address: Address
    since_us: int
    draining: bool = False
    declared_dead_by: MemberId | None = None
    is_dead_only_locally: bool = False  # declared dead while this member received nothing: not disseminated
    last_received_us: int = NEVER
    suspicion: Suspicion | None = None  # set while it is SUSPECT
    # members that reached it recently, the latest first
    reached_by: list[MemberId] = field(default_factory=list)

    @property
    def is_live(self) -> bool:
        """Whether it is neither dead nor left."""
        return self.state <= State.SUSPECT

    def is_known(self, report: MemberReport) -> bool:
        """Whether a report on the same incarnation and refutation number tells nothing new."""
        if self.suspicion is None:
            return report.state is self.state and not self.is_dead_only_locally
        if report.state is State.SUSPECT:
            return report.accuser in self.suspicion.accusers
        return report.state is State.ALIVE

    def view(self) -> MemberView:
        """An immutable copy for users outside membership."""
        return MemberView(
            self.id, self.incarnation, self.refutation, self.state, self.address, self.since_us, self.draining
        )


class MemberTable:
    """The other members.

    `changed` lists members whose change the machine must report; the machine clears it. `is_full` is set when
    a live member was rejected because the table had no space.
    """

    def __init__(self, settings: MembershipSettings, local_id: MemberId) -> None:
        self.settings, self.local_id = settings, local_id
        self.members: dict[MemberId, Member] = {}
        self.suspects: dict[MemberId, Member] = {}
        # last incarnation and refutation number of dead members that were removed
        self.removed: dict[MemberId, tuple[Incarnation, int]] = {}
        self.changed: list[Member] = []
        self.newly_alive: list[MemberId] = []  # newly alive, for the failure detector
        self.live_count = 1  # live members, the local one included
        self.is_full = False

    # Incoming reports

    def merge(self, now_us: int, report: MemberReport) -> bool:
        """Apply a report on another member; True if it is news that should be disseminated."""
        member = self.members.get(report.id)
        if member is None:
            return self._add(now_us, report)
        current, reported = (member.incarnation, member.refutation), (report.incarnation, report.refutation)
        if reported < current:
            return False
        if reported > current or (member.is_dead_only_locally and report.state <= State.SUSPECT):
            return self._apply_newer(now_us, member, report)
        if report.state is State.SUSPECT:
            return member.is_live and self.accuse(now_us, member, report.accuser or self.local_id)
        if report.state is State.DEAD:
            if member.is_dead_only_locally:  # others confirm the death
                member.is_dead_only_locally, member.declared_dead_by = False, report.accuser
            return member.is_live and self._apply_death(now_us, member, report)
        if report.state is State.LEFT and member.state is not State.LEFT:
            self._enter_state(now_us, member, State.LEFT)
            return True
        return False

    def _add(self, now_us: int, report: MemberReport) -> bool:
        since_us = now_us - report.dead_for_ms * 1_000
        is_gone = report.state >= State.DEAD
        forgotten = self.removed.get(report.id)
        if forgotten is not None and (report.incarnation, report.refutation) <= forgotten:
            return False  # an outdated report; a live member raises its refutation number
        if (is_gone and now_us - since_us >= self.settings.dead_retention_us) or not self._has_space(is_gone):
            return False
        member = Member(
            report.id,
            report.incarnation,
            report.refutation,
            report.state,
            report.address,
            since_us,
            report.draining,
        )
        member.declared_dead_by = report.accuser
        self.members[report.id] = member
        self.removed.pop(report.id, None)
        self.changed.append(member)
        self.live_count += member.is_live
        self.newly_alive += [member.id] if member.is_live else []
        if report.state is State.SUSPECT:
            member.state = State.ALIVE
            self.accuse(now_us, member, report.accuser or self.local_id)
        return not is_gone

    def _apply_newer(self, now_us: int, member: Member, report: MemberReport) -> bool:
        """Apply a report that supersedes what is known.

        It is on a later incarnation or refutation number, or on a member declared dead only locally.
        """
        if report.incarnation != member.incarnation:
            member.last_received_us = NEVER
            member.reached_by.clear()
        old_state, draining_changed = member.state, member.draining != report.draining
        member.incarnation, member.refutation = report.incarnation, report.refutation
        member.address, member.draining, member.is_dead_only_locally = report.address, report.draining, False
        self._end_suspicion(member)
        if report.state is State.LEFT:
            self._enter_state(now_us, member, State.LEFT)
        elif report.state is State.DEAD and old_state >= State.DEAD:
            member.declared_dead_by = report.accuser
            self._enter_state(now_us, member, State.DEAD)
        elif report.state is State.ALIVE:
            if old_state is not State.ALIVE or draining_changed:
                self._enter_state(now_us, member, State.ALIVE)
        else:
            self._enter_state(now_us, member, State.ALIVE, report_change=False)
            self.accuse(now_us, member, report.accuser or self.local_id)
        return True

    def _apply_death(self, now_us: int, member: Member, report: MemberReport) -> bool:
        accuser = report.accuser or self.local_id
        suspicion = member.suspicion
        if suspicion is None:
            return self.accuse(now_us, member, accuser)
        is_news = self.accuse(now_us, member, accuser)
        if len(suspicion.accusers) < 2 or member.last_received_us > suspicion.began_us:
            return is_news
        self.declare_dead(now_us, member, accuser)
        return True

    # Local decisions

    def accuse(self, now_us: int, member: Member, accuser: MemberId) -> bool:
        """Add an accuser to a live member; False if that changes nothing."""
        suspicion = member.suspicion
        if suspicion is None:
            suspicion = member.suspicion = Suspicion(now_us)
            self.suspects[member.id] = member
            self._enter_state(now_us, member, State.SUSPECT)
        elif accuser in suspicion.accusers or len(suspicion.accusers) > self.settings.confirmations:
            return False
        suspicion.accusers.append(accuser)
        duration_us = timeout_us(self.settings, self.live_count, len(suspicion.accusers))
        suspicion.deadline_us = suspicion.began_us + duration_us
        return True

    def declare_dead(
        self, now_us: int, member: Member, accuser: MemberId, only_locally: bool = False
    ) -> None:
        """Declare the member dead. `only_locally`: not disseminated, since this member receives nothing."""
        member.declared_dead_by, member.is_dead_only_locally = accuser, only_locally
        self._enter_state(now_us, member, State.DEAD)

    def expired_suspicions(self, now_us: int) -> list[Member]:
        """Suspected members whose suspicion timeout has expired."""
        return [
            member
            for member in self.suspects.values()
            if member.suspicion and member.suspicion.deadline_us <= now_us
        ]

    def next_expiry_us(self) -> int | None:
        """When the next suspicion expires; None: there is no suspect."""
        return min(
            (member.suspicion.deadline_us for member in self.suspects.values() if member.suspicion),
            default=None,
        )

    def extend_suspicion(self, now_us: int, suspicion: Suspicion, restart: bool) -> None:
        """Extend the suspicion by one minimum suspicion time.

        `restart`: only datagrams of the member that arrive from now on count in its favour.
        """
        suspicion.deadline_us = now_us + minimum_timeout_us(self.settings, self.live_count)
        if restart:
            suspicion.began_us = now_us

    def clear_suspicions(self, now_us: int) -> None:
        """After a pause: clear all suspicions, since their timers did not run."""
        for member in list(self.suspects.values()):
            self._enter_state(now_us, member, State.ALIVE)

    def remove_old(self, now_us: int) -> list[MemberId]:
        """Remove members that have been dead or left for long, or the oldest if there are too many."""
        gone_members = sorted(
            (member for member in self.members.values() if not member.is_live),
            key=lambda member: member.since_us,
        )
        excess = len(gone_members) - self.settings.max_dead_members
        expired = [
            member.id
            for index, member in enumerate(gone_members)
            if index < excess or now_us - member.since_us >= self.settings.dead_retention_us
        ]
        for member_id in expired:
            self._remove(self.members[member_id])
        return expired

    def _remove(self, member: Member) -> None:
        del self.members[member.id]
        self.removed[member.id] = (member.incarnation, member.refutation)
        if len(self.removed) > self.settings.max_incarnations:
            del self.removed[next(iter(self.removed))]

    def _enter_state(self, now_us: int, member: Member, state: State, report_change: bool = True) -> None:
        is_live = state <= State.SUSPECT
        if is_live != member.is_live:
            self.live_count += 1 if is_live else -1
            if is_live:
                self.newly_alive.append(member.id)
        if state is not State.SUSPECT:
            self._end_suspicion(member)
        if state is not member.state:
            member.since_us = now_us
        member.state = state
        if report_change:
            self.changed.append(member)

    def _end_suspicion(self, member: Member) -> None:
        if member.suspicion is not None:
            member.suspicion = None
            del self.suspects[member.id]

    def _has_space(self, is_gone: bool) -> bool:
        if len(self.members) < self.settings.members_most:
            return True
        dead_members = [m for m in self.members.values() if not m.is_live]
        if is_gone or not dead_members:
            self.is_full = self.is_full or not is_gone
            return False
        self._remove(min(dead_members, key=lambda m: m.since_us))
        return True

    # Outgoing reports

    def report(self, now_us: int, member: Member) -> MemberReport:
        """The report on a member to send to others."""
        state, accuser, gone_for_ms = member.state, member.declared_dead_by, 0
        if member.is_dead_only_locally:
            state = State.ALIVE
        if state is State.SUSPECT and member.suspicion:
            accuser = member.suspicion.accusers[-1]
        if state >= State.DEAD:
            gone_for_ms = max(0, now_us - member.since_us) // 1_000
        if state in (State.ALIVE, State.LEFT):
            accuser = None
        return MemberReport(
            member.id,
            member.incarnation,
            member.refutation,
            state,
            member.address,
            member.draining,
            accuser,
            gone_for_ms,
        )

    def sites(self, local: MemberId | None) -> dict[str, SiteView]:
        """The sites by name; `local`: the local member, unless it has left."""
        members_by_site: dict[str, list[Member]] = {}
        for member in self.members.values():
            members_by_site.setdefault(member.id.site, []).append(member)
        views = {}
        for site in sorted({*members_by_site, self.local_id.site}):
            members = members_by_site.get(site, [])
            live_ids = sorted(
                [other.id for other in members if other.is_live]
                + ([local] if local and local.site == site else [])
            )
            empty_since_us = None if live_ids else max((other.since_us for other in members), default=0)
            views[site] = SiteView(site, tuple(live_ids), empty_since_us)
        return views
