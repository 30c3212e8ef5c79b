"""Dissemination: sends and receives reports on members and gossip entries, piggybacked on datagrams.

All parts of the machine share one `Dissemination`. It holds the state (member table, incarnations, gossip
entries, local member) and the actions of the current call in the order in which they are performed.
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

HEAD = 60  # upper bound for a datagram's numbers and list headers
VOUCHERS = 3  # expected number of members that vouch for an accused one
NOWHERE = ("0.0.0.0", 1)  # placeholder if the address of an incarnation is unknown


class Dissemination:
    """State and pending actions of one member."""

    def __init__(
        self,
        settings: MembershipSettings,
        local: LocalMember,
        via: Mapping[MemberId, Address],
        rng: random.Random,
        incarnations: Incarnations,
    ) -> None:
        self.settings, self.own, self.via, self.chance, self.lives = settings, local, via, rng, incarnations
        self.table = MemberTable(settings, local.id)
        self.gossip, self.health = GossipQueue(), LocalHealth(settings.health_most)
        self.rumours = GossipEntries(settings, self.table)
        self.heard_us = 0  # when a datagram or state of another member last arrived
        self.alone_us = settings.alone_periods * settings.probe_period_us
        self.raised_us: int | None = None  # when the own start count was last raised
        self.unwritten = False  # the own start count is not on disk: nothing is sent
        self.at_once_us: list[int] = []  # when entries of the last probe period were sent directly
        self.noted: set[type[Exception]] = set()
        self.quiet = False  # after a pause: what arrives now may be outdated and is not forwarded
        self.back = False  # the isolation of this member has ended
        self.first: list[Any] = []  # actions that wait for no record and precede all others
        self.before: list[Any] = []  # actions that follow `changed` members and precede `sends`
        self.sends: list[Any] = []
        self.row: MemberReport | None = None
        self.row_size = 0

    # Sending

    def me(self) -> MemberReport:
        """The report on the local member."""
        if self.row is None:
            self.row = self.own.report()
            self.row_size = packed_size(report_row(self.row))
        return self.row

    def address(self, member_id: MemberId, gossiped: Address) -> Address:
        """The address at which to reach a member: the configured one, or else the gossiped one."""
        return self.via.get(member_id, gossiped)

    def send(self, address: Address, message: Any) -> None:
        """Queue a datagram."""
        self.sends.append(SendDatagram(address, message))

    def items(
        self, receiver: MemberId, incarnation: Incarnation | None = None, used_bytes: int = 0
    ) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        """The reports and gossip entries to piggyback on a datagram.

        What is known about the receiver itself goes first (Lifeguard, "buddy system"), then the queue.
        `incarnation`: the one that the receiver claims; `used_bytes`: bytes in use besides sender, receiver
        and numbers.
        """
        self_report = self.about(receiver, incarnation)
        if self_report is not None:
            return (self_report,), ()  # queued items are not spent on a member that may be unreachable
        if not self.gossip.pending:
            return (), ()
        self.me()
        settings = self.settings
        space_bytes = settings.datagram_bytes - settings.frame_bytes - self.row_size - HEAD - used_bytes
        space_bytes -= 4 * (len(receiver.site) + len(receiver.name))
        reports: list[MemberReport] = []
        entries: list[GossipEntry] = []
        for item in self.gossip.take(space_bytes, times(self.settings.spread_factor, self.table.count)):
            if isinstance(item, GossipEntry):
                entries.append(item)
            elif item.id != receiver:
                reports.append(item)
        return tuple(reports), tuple(entries)

    def lately(self, now_us: int) -> list[Member]:
        """Live members that sent something within `recent_periods`, or all live members if there are none."""
        recent_us = now_us - self.settings.lately_periods * self.settings.probe_period_us
        live_members = [member for member in self.table.members.values() if member.live]
        return [member for member in live_members if member.heard_us >= recent_us] or live_members

    def about(self, receiver: MemberId, incarnation: Incarnation | None = None) -> MemberReport | None:
        """What a member should learn about itself: that it is not considered alive or is outdated."""
        highest = self.lives.highest.get(receiver)
        if incarnation is not None and highest is not None and incarnation < highest:
            return MemberReport(receiver, highest, 0, State.DEAD, NOWHERE, by=self.own.id)
        member = self.table.members.get(receiver)
        forgotten = self.table.over.get(receiver)
        if member is None and forgotten is not None:
            return MemberReport(receiver, forgotten[0], forgotten[1], State.DEAD, NOWHERE, by=self.own.id)
        if member is None or member.state is State.ALIVE or member.alone:
            return None
        return self.table.report(0, member)

    def ping(self, member: Member, seq: int, silent: bool) -> None:
        """Queue a ping with piggybacked items; a sequence number of 0 belongs to no probe."""
        address = self.address(member.id, member.address)
        self.send(address, Ping(seq, self.me(), member.id, silent, *self.items(member.id)))

    def at_once(self, now_us: int, entry: GossipEntry) -> None:
        """Send the entry directly to live members of the own site, within the rate limit.

        It is piggybacked on an ack that replies to no ping.
        """
        settings = self.settings
        self.at_once_us = [
            sent_us for sent_us in self.at_once_us if now_us - sent_us < settings.probe_period_us
        ]
        if len(self.at_once_us) >= settings.at_once_each or self.quiet:
            return
        self.at_once_us.append(now_us)
        live_members = [
            other for other in self.table.members.values() if other.live and other.id.site == self.own.id.site
        ]
        for member in self.chance.sample(live_members, min(len(live_members), settings.at_once_to)):
            self.send(self.address(member.id, member.address), Ack(0, self.me(), (), (entry,)))

    def digest(self) -> int:
        """Digest of the live members, the local one included, and of the gossip entries."""
        local = self.own
        members = [member for member in self.table.members.values() if member.live or member.alone]
        members_digest = together(member_digest(member.id, member.life, member.word) for member in members)
        return self.rumours.digest ^ members_digest ^ member_digest(local.id, local.life, local.word)

    def ask(self) -> FullState:
        """The request of a state exchange: only the digest."""
        return FullState(self.me(), self.digest(), True)

    def nothing(self, receiver: MemberReport) -> FullState:
        """A reply that holds only what the receiver should learn about itself."""
        self_report = self.about(receiver.id, receiver.life)
        return FullState(self.me(), self.digest(), False, (self_report,) if self_report else ())

    def full(self, now_us: int, receiver: MemberReport) -> FullState:
        """The whole state."""
        self_report = self.about(receiver.id, receiver.life)
        reports = [self_report] if self_report else []
        reports += [self.table.report(now_us, member) for member in self.table.members.values()]
        return FullState(self.me(), self.digest(), False, tuple(reports), tuple(self.rumours.held.values()))

    def announce(self) -> None:
        """Queue the changed report on the local member."""
        self.row = None
        self.gossip.report(self.me())

    # Receiving

    def hear(self, now_us: int, sender: MemberReport, silent: bool = False) -> Member | None:
        """Handle a datagram's sender; None if its incarnation is outdated or the table is full."""
        self.heard(now_us)
        if not self.learn(now_us, sender):
            return None
        member = self.table.members.get(sender.id)
        if member is not None and not silent:
            member.heard_us = now_us
        return member

    def heard(self, now_us: int) -> None:
        """Note that some member is reachable."""
        if now_us - self.heard_us > self.alone_us:
            self.back = True
        self.heard_us = now_us

    def learn(self, now_us: int, report: MemberReport) -> bool:
        """Apply one report on a member; False if its incarnation is outdated."""
        member = self.table.members.get(report.id)
        if member is not None and report.life == member.life:
            if report.word < member.word or (report.word == member.word and member.knows(report)):
                return True  # fast path: most reports are known already
        elif report.id == self.own.id:
            self._on_me(now_us, report)
            return True
        elif not self.lives.see(report.id, report.life):
            return False
        was_suspected = member is not None and member.suspicion is not None
        if self.table.merge(now_us, report):
            member = self.table.members[report.id]
            if self.quiet:
                return True
            self.gossip.report(report)
            if not was_suspected and member.state is State.SUSPECT and report.by:
                self._vouch(now_us, member, report.by)
        if self.table.full:
            self.table.full = False
            self.trouble(MembersFull(f"no space for {report.id}: {len(self.table.members)} members"))
        return True

    def learn_all(self, now_us: int, reports: Iterable[MemberReport], entries: Iterable[GossipEntry]) -> None:
        """Apply reports and gossip entries."""
        for report in reports:
            self.learn(now_us, report)
        for entry in entries:
            self.hear_rumour(now_us, entry)

    def hear_rumour(self, now_us: int, entry: GossipEntry) -> None:
        """Store a gossip entry, and forward it if it is new."""
        if self.rumours.hear(now_us, entry):
            if not self.quiet:
                self.gossip.rumour(entry)
            self.before.append(GossipReceived(entry))
        elif self.rumours.full is not None:
            self.rumours.full = None
            stored = len(self.rumours.held)
            self.trouble(RumourRefused(f"no space for {entry.key} of {entry.owner}: {stored} entries"))

    def _vouch(self, now_us: int, member: Member, accuser: MemberId) -> None:
        """Help an accused member from which this one received a datagram recently.

        It is pinged with the accusation, and the accuser learns a way to reach it. A few of the members that
        could do so are enough (each hears about two members per period), so each takes part at random.
        """
        recent_us = self.settings.lately_periods * self.settings.probe_period_us
        if accuser == self.own.id or now_us - member.heard_us > recent_us:
            return
        candidates = min(self.table.count - 2, 2 * self.settings.lately_periods)
        if self.chance.random() * candidates > VOUCHERS:
            return
        self.ping(member, 0, False)
        accuser_record = self.table.members.get(accuser)
        if accuser_record is not None:
            self.send(self.address(accuser, accuser_record.address), ReachableVia(self.me(), member.id))

    def _on_me(self, now_us: int, report: MemberReport) -> None:
        result = self.own.hear(report)
        if result is Said.REFUTED:
            if report.state is not State.ALIVE:
                self.health.worse()
            self.announce()
        elif result is Said.OLDER:
            self._older(now_us, report.life)

    def _older(self, now_us: int, seen: Incarnation) -> None:
        """Report a rollback and raise the own incarnation.

        At most once per exchange period: two processes that run on copies of one state directory would outbid
        each other without end.
        """
        if self.raised_us is not None and now_us - self.raised_us < self.settings.exchange_period_us:
            return
        own, self.raised_us = self.own.life, now_us
        description = f"{self.own.id} runs with start {own.start}, but was seen with start {seen.start}"
        self.before += [
            LogLine("state was rolled back", FolderOlder(description)),
            RollbackDetected(seen, own),
        ]
        self.own.raise_life(seen)
        self.persist_own()
        self.announce()

    def persist_own(self) -> None:
        """Write the own start count; what this call sends after it waits for the disk."""
        self.unwritten = False
        self.sends += [Persist(KIND, OWN, self.own.life.start), IncarnationRaised(self.own.life)]

    def trouble(self, error: RumourRefused | MembersFull) -> None:
        """Log this kind of error once until the next sweep."""
        if type(error) not in self.noted:
            self.noted.add(type(error))
            self.before.append(LogLine("a limit was reached", error))

    # End of a call

    def actions(self) -> list[Any]:
        """The actions of this call; records that nothing waits for come last."""
        actions = self.first
        if self.table.changed:
            actions += [
                MemberChanged(member.view())
                for member in {member.id: member for member in self.table.changed}.values()
            ]
            self.table.changed.clear()
        actions += self.before
        if not self.unwritten:
            actions += self.sends
        if self.lives.due:
            actions += self.lives.records()
        self.first, self.before, self.sends = [], [], []
        return actions
