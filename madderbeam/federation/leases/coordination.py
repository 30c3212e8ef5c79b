"""Joins the three sides of leases (holder, voter, who waits for an end) with messages, records and timers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from madderbeam.federation.leases.lease import RENEWALS, LeaseEnds, LeaseGrantor, LeaseHolder
from madderbeam.federation.switchover.inquiry import ConsensusView
from madderbeam.federation.switchover.messages import (
    LeaseEndConfirmation,
    LeaseEndRequest,
    LeaseReply,
    LeaseRequest,
)
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.table import MEMBERS_MOST
from madderbeam.federation.values import Release
from madderbeam.membership.values import Incarnation, MemberId, SendMessage


class LeaseCoordination:
    """With leases off it neither asks nor renews nor vouches."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        book: OwnershipRegistry,
        out: ActionBuffer,
        life: Incarnation,
        holder: LeaseHolder,
        council: ConsensusView,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings, self.book, self.out, self.holder, self.council = settings, book, out, holder, council
        self.voter, self.ends = LeaseGrantor(settings, records), LeaseEnds(settings)
        self.ask = life.start << 24
        self.waiting: dict[MemberId, set[MemberId]] = {}  # who asked for a vouch that is being written

    def start(self, records: Mapping[tuple[str, str], Any]) -> None:
        before_us = records.get(("lease", ""), 0)
        self.voter.start(self.out.now_us, before_us)
        if before_us != self.settings.lease_over_us:
            self.out.timer(self.voter.ready_us, "ready")
            if before_us < self.settings.lease_over_us:
                self.ready()
        for member in (*self.book.table.off, *self.book.words):
            self.called_off(member)

    def ready(self) -> None:
        """What was said by an earlier setting is over."""
        self.out.write("lease", "", self.settings.lease_over_us)

    def again(self) -> None:
        """Timers may be lost."""
        if self.settings.lease_us:
            self.out.timer(self.out.now_us + self.settings.lease_us // RENEWALS, "lease")

    # The lease of this member

    def renew(self) -> None:
        if not self.settings.lease_us:
            return
        now_us = self.out.now_us
        self.ask += 1
        self.holder.asked(now_us, self.ask)
        message = LeaseRequest(self.ask, self.book.ledger.number, self.settings.lease_us)
        for voter in self.book.table.voters:
            if voter == self.book.me:
                answer = self.voter.renew(now_us, voter, message, self.book, self.council.may_vote())
                self.renewed(voter, answer)
            else:
                self.out.do(SendMessage(voter, message))
        self.out.timer(now_us + self.settings.lease_us // RENEWALS, "lease")

    def renewed(self, member: MemberId, message: LeaseReply) -> None:
        until_us = self.holder.until_us
        self.holder.answered(member, message, self.book.table.voters)
        if self.holder.until_us > until_us:
            self.out.timer(self.holder.until_us, "until")

    # What it says as a voter

    def serves_by(self, member: MemberId, lease_us: int) -> None:
        """A member told by leases of which span it serves; 0: by none, and none can be vouched to be over."""
        room = member in self.voter.leased or len(self.voter.leased) < MEMBERS_MOST
        if self.settings.lease_us and room and self.voter.leased.get(member) != lease_us:
            self.voter.leased[member] = lease_us
            self.out.write("leased", str(member), [member.site, member.name, lease_us])

    def asked(self, member: MemberId, message: LeaseRequest) -> None:
        answer = self.voter.renew(self.out.now_us, member, message, self.book, self.council.may_vote())
        self.out.do(SendMessage(member, answer))
        if answer.granted:
            self.serves_by(member, message.lease_us)

    def vouch(self, asker: MemberId, message: LeaseEndRequest) -> None:
        ready = []
        for member, number in message.members:
            known = number <= self.book.ledger.number
            if not known or not self.voter.vouches(self.out.now_us, member, self.council.may_vote()):
                continue
            on_disk = not self.out.writes.busy("vouch", str(member))
            if on_disk and self.voter.refused.get(member, 0) >= number:
                ready.append((member, number))
            elif self.voter.refuse(member, number):
                if len(self.waiting.setdefault(member, set())) < MEMBERS_MOST:
                    self.waiting[member].add(asker)
                row = [member.site, member.name, self.voter.refused[member]]
                if self.out.writes.value("vouch", str(member)) != row:
                    self.out.write("vouch", str(member), row)
        if ready:
            self._say(asker, tuple(ready))

    def written(self, row: Any) -> None:
        """A vouch is on disk: now it may be said."""
        site, name, number = row
        member = MemberId(site, name)
        for asker in sorted(self.waiting.pop(member, ())):
            self._say(asker, ((member, number),))

    def _say(self, asker: MemberId, members: tuple[tuple[MemberId, int], ...]) -> None:
        if asker == self.book.me:
            self.vouched(asker, LeaseEndConfirmation(members))
        else:
            self.out.do(SendMessage(asker, LeaseEndConfirmation(members)))

    # Waiting for the end of another's lease

    def ask_for_ends(self) -> None:
        if not self.settings.lease_us:
            return
        for voter, message in self.ends.asks(self.book).items():
            if voter == self.book.me:
                self.vouch(voter, message)
            else:
                self.out.do(SendMessage(voter, message))

    def vouched(self, voter: MemberId, message: LeaseEndConfirmation) -> None:
        for member, number in message.members:
            self.ends.vouched(voter, member, number, self.book)

    def ended(self) -> Iterator[Release]:
        """What stands for the releases of those that can serve no longer."""
        if not self.settings.lease_us:
            return
        for dest, member, number in list(self.book.gains_missing()):
            if self.ends.ended(self.out.now_us, member, number, self.book):
                yield Release(dest, member, number)

    def called_off(self, member: MemberId) -> None:
        self.ends.called_off(self.out.now_us, member)

    def forget(self) -> None:
        for kind, member in self.voter.forget(self.out.now_us, self.book):
            self.out.forget(kind, str(member))
        self.waiting = {m: askers for m, askers in self.waiting.items() if m in self.voter.refused}
        self.ends.forget(self.book)
