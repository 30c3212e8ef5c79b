"""Dissemination: sends and receives reports on members and gossip entries, piggybacked on datagrams.

All parts of the machine share one `Dissemination`. It holds the state (member table, incarnations, gossip
entries, local member) and the actions of the current call in the order in which they are performed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.federation.errors import FolderOlder, MembersFull, RumourRefused
from madderbeam.membership.digest import combine, member_digest
from madderbeam.membership.gossip_entries import GossipEntries
from madderbeam.membership.gossip_queue import GossipQueue, sends_per_item
from madderbeam.membership.incarnations import OWN_KEY, RECORD_KIND, Incarnations
from madderbeam.membership.local_health import LocalHealth
from madderbeam.membership.local_member import LocalMember, ReportOutcome
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

MAX_HEADER_BYTES = 60  # upper bound for a datagram's numbers and list headers
VOUCHERS = 3  # expected number of members that vouch for an accused one
UNKNOWN_ADDRESS = ("0.0.0.0", 1)  # placeholder if the address of an incarnation is unknown


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
        self.settings, self.local, self.via, self.rng, self.incarnations = (
            settings,
            local,
            via,
            rng,
            incarnations,
        )
        self.table = MemberTable(settings, local.id)
        self.queue, self.health = GossipQueue(), LocalHealth(settings.max_health_score)
        self.entries = GossipEntries(settings, self.table)
        self.last_received_us = 0  # when a datagram or state of another member last arrived
        self.isolation_us = settings.isolation_periods * settings.probe_period_us
        self.incarnation_raised_us: int | None = None  # when the own start count was last raised
        self.start_not_written = False  # the own start count is not on disk: nothing is sent
        self.direct_sends_us: list[int] = []  # when entries of the last probe period were sent directly
        self.logged_errors: set[type[Exception]] = set()
        self.is_outdated = False  # after a pause: what arrives now may be outdated and is not forwarded
        self.isolation_ended = False  # set until the machine has handled it
        self.first_actions: list[Any] = []  # actions that wait for no record and precede all others
        self.notifications: list[Any] = []  # actions that follow `changed` members and precede `sends`
        self.sends: list[Any] = []
        self.local_report_cache: MemberReport | None = None
        self.local_report_bytes = 0

    # Sending

    def local_report(self) -> MemberReport:
        """The report on the local member."""
        if self.local_report_cache is None:
            self.local_report_cache = self.local.report()
            self.local_report_bytes = packed_size(report_row(self.local_report_cache))
        return self.local_report_cache

    def address(self, member_id: MemberId, gossiped: Address) -> Address:
        """The address at which to reach a member: the configured one, or else the gossiped one."""
        return self.via.get(member_id, gossiped)

    def send(self, address: Address, message: Any) -> None:
        """Queue a datagram."""
        self.sends.append(SendDatagram(address, message))

    def piggyback(
        self, receiver: MemberId, incarnation: Incarnation | None = None, used_bytes: int = 0
    ) -> tuple[tuple[MemberReport, ...], tuple[GossipEntry, ...]]:
        """The reports and gossip entries to piggyback on a datagram.

        What is known about the receiver itself goes first (Lifeguard, "buddy system"), then the queue.
        `incarnation`: the one that the receiver claims; `used_bytes`: bytes in use besides sender, receiver
        and numbers.
        """
        self_report = self.report_on_receiver(receiver, incarnation)
        if self_report is not None:
            return (self_report,), ()  # queued items are not spent on a member that may be unreachable
        if not self.queue.has_items:
            return (), ()
        self.local_report()
        settings = self.settings
        space_bytes = (
            settings.datagram_bytes
            - settings.frame_overhead_bytes
            - self.local_report_bytes
            - MAX_HEADER_BYTES
            - used_bytes
        )
        space_bytes -= 4 * (len(receiver.site) + len(receiver.name))
        reports: list[MemberReport] = []
        entries: list[GossipEntry] = []
        for item in self.queue.next_batch(
            space_bytes, sends_per_item(self.settings.retransmit_factor, self.table.live_count)
        ):
            if isinstance(item, GossipEntry):
                entries.append(item)
            elif item.id != receiver:
                reports.append(item)
        return tuple(reports), tuple(entries)

    def recently_active(self, now_us: int) -> list[Member]:
        """Live members that sent something within `recent_periods`, or all live members if there are none."""
        recent_us = now_us - self.settings.recent_periods * self.settings.probe_period_us
        live_members = [member for member in self.table.members.values() if member.is_live]
        return [member for member in live_members if member.last_received_us >= recent_us] or live_members

    def report_on_receiver(
        self, receiver: MemberId, incarnation: Incarnation | None = None
    ) -> MemberReport | None:
        """What a member should learn about itself: that it is not considered alive or is outdated."""
        highest = self.incarnations.highest.get(receiver)
        if incarnation is not None and highest is not None and incarnation < highest:
            return MemberReport(receiver, highest, 0, State.DEAD, UNKNOWN_ADDRESS, accuser=self.local.id)
        member = self.table.members.get(receiver)
        forgotten = self.table.removed.get(receiver)
        if member is None and forgotten is not None:
            return MemberReport(
                receiver, forgotten[0], forgotten[1], State.DEAD, UNKNOWN_ADDRESS, accuser=self.local.id
            )
        if member is None or member.state is State.ALIVE or member.is_dead_only_locally:
            return None
        return self.table.report(0, member)

    def send_ping(self, member: Member, seq: int, hears_nobody: bool) -> None:
        """Queue a ping with piggybacked items; a sequence number of 0 belongs to no probe."""
        address = self.address(member.id, member.address)
        self.send(
            address, Ping(seq, self.local_report(), member.id, hears_nobody, *self.piggyback(member.id))
        )

    def send_directly(self, now_us: int, entry: GossipEntry) -> None:
        """Send the entry directly to live members of the own site, within the rate limit.

        It is piggybacked on an ack that replies to no ping.
        """
        settings = self.settings
        self.direct_sends_us = [
            sent_us for sent_us in self.direct_sends_us if now_us - sent_us < settings.probe_period_us
        ]
        if len(self.direct_sends_us) >= settings.direct_sends_per_period or self.is_outdated:
            return
        self.direct_sends_us.append(now_us)
        live_members = [
            other
            for other in self.table.members.values()
            if other.is_live and other.id.site == self.local.id.site
        ]
        for member in self.rng.sample(live_members, min(len(live_members), settings.max_direct_recipients)):
            self.send(self.address(member.id, member.address), Ack(0, self.local_report(), (), (entry,)))

    def digest(self) -> int:
        """Digest of the live members, the local one included, and of the gossip entries."""
        local = self.local
        members = [
            member for member in self.table.members.values() if member.is_live or member.is_dead_only_locally
        ]
        members_digest = combine(
            member_digest(member.id, member.incarnation, member.refutation) for member in members
        )
        return (
            self.entries.digest
            ^ members_digest
            ^ member_digest(local.id, local.incarnation, local.refutation)
        )

    def state_request(self) -> FullState:
        """The request of a state exchange: only the digest."""
        return FullState(self.local_report(), self.digest(), True)

    def minimal_state(self, receiver: MemberReport) -> FullState:
        """A reply that holds only what the receiver should learn about itself."""
        self_report = self.report_on_receiver(receiver.id, receiver.incarnation)
        return FullState(self.local_report(), self.digest(), False, (self_report,) if self_report else ())

    def full_state(self, now_us: int, receiver: MemberReport) -> FullState:
        """The whole state."""
        self_report = self.report_on_receiver(receiver.id, receiver.incarnation)
        reports = [self_report] if self_report else []
        reports += [self.table.report(now_us, member) for member in self.table.members.values()]
        return FullState(
            self.local_report(), self.digest(), False, tuple(reports), tuple(self.entries.entries.values())
        )

    def announce(self) -> None:
        """Queue the changed report on the local member."""
        self.local_report_cache = None
        self.queue.add_report(self.local_report())

    # Receiving

    def sender_received(self, now_us: int, sender: MemberReport, hears_nobody: bool = False) -> Member | None:
        """Handle a datagram's sender; None if its incarnation is outdated or the table is full."""
        self.note_contact(now_us)
        if not self.apply_report(now_us, sender):
            return None
        member = self.table.members.get(sender.id)
        if member is not None and not hears_nobody:
            member.last_received_us = now_us
        return member

    def note_contact(self, now_us: int) -> None:
        """Note that some member is reachable."""
        if now_us - self.last_received_us > self.isolation_us:
            self.isolation_ended = True
        self.last_received_us = now_us

    def apply_report(self, now_us: int, report: MemberReport) -> bool:
        """Apply one report on a member; False if its incarnation is outdated."""
        member = self.table.members.get(report.id)
        if member is not None and report.incarnation == member.incarnation:
            if report.refutation < member.refutation or (
                report.refutation == member.refutation and member.is_known(report)
            ):
                return True  # fast path: most reports are known already
        elif report.id == self.local.id:
            self._apply_local_report(now_us, report)
            return True
        elif not self.incarnations.record(report.id, report.incarnation):
            return False
        was_suspected = member is not None and member.suspicion is not None
        if self.table.merge(now_us, report):
            member = self.table.members[report.id]
            if self.is_outdated:
                return True
            self.queue.add_report(report)
            if not was_suspected and member.state is State.SUSPECT and report.accuser:
                self._vouch(now_us, member, report.accuser)
        if self.table.is_full:
            self.table.is_full = False
            self.log_once(MembersFull(f"no space for {report.id}: {len(self.table.members)} members"))
        return True

    def apply_all(self, now_us: int, reports: Iterable[MemberReport], entries: Iterable[GossipEntry]) -> None:
        """Apply reports and gossip entries."""
        for report in reports:
            self.apply_report(now_us, report)
        for entry in entries:
            self.add_entry(now_us, entry)

    def add_entry(self, now_us: int, entry: GossipEntry) -> None:
        """Store a gossip entry, and forward it if it is new."""
        if self.entries.add(now_us, entry):
            if not self.is_outdated:
                self.queue.add_entry(entry)
            self.notifications.append(GossipReceived(entry))
        elif self.entries.rejected_owner is not None:
            self.entries.rejected_owner = None
            stored = len(self.entries.entries)
            self.log_once(RumourRefused(f"no space for {entry.key} of {entry.owner}: {stored} entries"))

    def _vouch(self, now_us: int, member: Member, accuser: MemberId) -> None:
        """Help an accused member from which this one received a datagram recently.

        It is pinged with the accusation, and the accuser learns a way to reach it. A few of the members that
        could do so are enough (each hears about two members per period), so each takes part at random.
        """
        recent_us = self.settings.recent_periods * self.settings.probe_period_us
        if accuser == self.local.id or now_us - member.last_received_us > recent_us:
            return
        candidates = min(self.table.live_count - 2, 2 * self.settings.recent_periods)
        if self.rng.random() * candidates > VOUCHERS:
            return
        self.send_ping(member, 0, False)
        accuser_record = self.table.members.get(accuser)
        if accuser_record is not None:
            self.send(
                self.address(accuser, accuser_record.address), ReachableVia(self.local_report(), member.id)
            )

    def _apply_local_report(self, now_us: int, report: MemberReport) -> None:
        result = self.local.check_report(report)
        if result is ReportOutcome.REFUTED:
            if report.state is not State.ALIVE:
                self.health.worsen()
            self.announce()
        elif result is ReportOutcome.ROLLBACK:
            self._rollback_found(now_us, report.incarnation)

    def _rollback_found(self, now_us: int, seen: Incarnation) -> None:
        """Report a rollback and raise the own incarnation.

        At most once per exchange period: two processes that run on copies of one state directory would outbid
        each other without end.
        """
        if (
            self.incarnation_raised_us is not None
            and now_us - self.incarnation_raised_us < self.settings.exchange_period_us
        ):
            return
        own, self.incarnation_raised_us = self.local.incarnation, now_us
        description = f"{self.local.id} runs with start {own.start}, but was seen with start {seen.start}"
        self.notifications += [
            LogLine("state was rolled back", FolderOlder(description)),
            RollbackDetected(seen, own),
        ]
        self.local.raise_incarnation(seen)
        self.persist_start()
        self.announce()

    def persist_start(self) -> None:
        """Write the own start count; what this call sends after it waits for the disk."""
        self.start_not_written = False
        self.sends += [
            Persist(RECORD_KIND, OWN_KEY, self.local.incarnation.start),
            IncarnationRaised(self.local.incarnation),
        ]

    def log_once(self, error: RumourRefused | MembersFull) -> None:
        """Log this kind of error once until the next sweep."""
        if type(error) not in self.logged_errors:
            self.logged_errors.add(type(error))
            self.notifications.append(LogLine("a limit was reached", error))

    # End of a call

    def actions(self) -> list[Any]:
        """The actions of this call; records that nothing waits for come last."""
        actions = self.first_actions
        if self.table.changed:
            actions += [
                MemberChanged(member.view())
                for member in {member.id: member for member in self.table.changed}.values()
            ]
            self.table.changed.clear()
        actions += self.notifications
        if not self.start_not_written:
            actions += self.sends
        if self.incarnations.to_write:
            actions += self.incarnations.take_records()
        self.first_actions, self.notifications, self.sends = [], [], []
        return actions
