"""One slot: confirms regimes, follows the granter that it confirmed, asks for its own in its turn."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from madderbeam.membership.values import MemberId, MemberView
from madderbeam.shared.candidacy import Candidacy
from madderbeam.shared.granting import Granting
from madderbeam.shared.holder import Holder
from madderbeam.shared.lease_messages import Ask, Back, End, Grant, Refused, Told, Took
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.outgoing import Outgoing
from madderbeam.shared.regime import Voter
from madderbeam.shared.site import Seating

SPAN_TOLD_MOST_US = 2 * 3_600 * 1_000_000


class Slot:
    """`join`: makes this member's first word to a regime durable; whether it is."""

    def __init__(
        self,
        settings: LeaseSettings,
        slot: int,
        seating: Seating,
        holder: Holder,
        out: Outgoing,
        views: Mapping[MemberId, MemberView],
        first: int,
        chance: Random,
        join: Callable[[], bool],
    ) -> None:
        self.settings, self.slot, self.seating, self.holder = settings, slot, seating, holder
        self.out, self.views, self.join = out, views, join
        self.resources: list[str] = []  # dealt to this slot
        self.voter = Voter(settings)
        self.granting = Granting(settings, seating, out, slot, first)
        self.candidacy = Candidacy(settings, seating, slot, chance)
        self.granter: MemberId | None = None  # as far as is known here
        self.since_us = 0  # since when it has granted to this member

    # Own regime

    def tick(self, wants: bool) -> None:
        """Several times in a turn. `wants`: this member is not draining."""
        self._tell_needs()
        now_us, granting = self.out.now_us, self.granting
        regime = granting.regime
        if not regime.on:
            if self.candidacy.due(now_us, self.voter, self.views, wants):
                self.out.count("asked for")
                granting.begin()
        elif regime.since_us is None and now_us >= regime.began_us + self.settings.turn_us:
            granting.end()
            self.candidacy.failed(now_us)
        elif regime.since_us is not None and not granting.runs():
            self.out.count("lapsed")
            granting.end()
            self.candidacy.failed(now_us)
        elif not wants and self.others():
            granting.end()
        elif regime.since_us is None or now_us >= granting.asked_us + self.settings.turn_us:
            granting.turn()
            granting.ask()
        else:
            granting.refresh()

    def _tell_needs(self) -> None:
        """What it needs is much more or less than its granter knows: not only with the next answer."""
        followed = self.holder.followed.get(self.slot)
        changed = self.holder.changed(self.out.now_us, self.resources) if followed is not None else ()
        if followed is not None and changed:
            self.out.send(followed.granter, Took(self.slot, followed.regime, followed.seq, changed))

    def others(self) -> bool:
        """Somebody else can grant."""
        return any(m != self.out.me and self.candidacy.fit(m, self.views) for m in self.seating.current)

    def stop(self) -> None:
        """It was paused: it can't tell what was granted since."""
        if self.granting.regime.on:
            self.granting.end()
            self.candidacy.failed(self.out.now_us)

    # Messages

    def take(self, member: MemberId, message: Any) -> None:
        """One of this slot."""
        if isinstance(message, Ask):
            self._asked(member, message)
        elif isinstance(message, Told):
            ran = self.granting.runs()
            self.granting.told(member, message)
            if self.granting.runs() and not ran:
                self.out.count("began")
                self.candidacy.ruled()
        elif isinstance(message, Refused):
            self._refused(message)
        elif isinstance(message, Grant):
            self._granted(member, message)
        elif isinstance(message, Took):
            self.granting.took(member, message)
        elif isinstance(message, Back):
            self.granting.back(member, message)
        elif isinstance(message, End):
            self._ended(member, message)

    def _asked(self, member: MemberId, message: Ask) -> None:
        now_us, voter = self.out.now_us, self.voter
        if member not in self.seating.members or not voter.answers(now_us):
            return
        if not voter.allows(now_us, member, message.regime) or message.lease_us > self.settings.lease_us:
            left_us = min(voter.left_us(now_us), SPAN_TOLD_MOST_US)
            self.out.send(member, Refused(self.slot, message.regime, message.ask, left_us))
            return
        if not self.join():
            return
        self.seating.learn(now_us, message.joined)
        self.candidacy.heard(member)
        votes = voter.bind(now_us, member, message.regime)
        followed = self.holder.answers(now_us, self.slot, member, message.regime, message.ask)
        earlier_us = min(max(0, voter.earlier_us - now_us), SPAN_TOLD_MOST_US)
        holdings = self.holder.holdings(now_us, self.resources)
        told = Told(
            self.slot,
            message.regime,
            message.ask,
            votes,
            earlier_us,
            followed.seq,
            self.seating.seats(now_us),
            holdings,
        )
        self.out.send(member, told)

    def _refused(self, message: Refused) -> None:
        regime = self.granting.regime
        if regime.on and message.regime == regime.number and regime.since_us is None:
            self.candidacy.not_before_us = max(
                self.candidacy.not_before_us,
                self.out.now_us + min(message.left_us, self.settings.over_us),
            )

    def _granted(self, member: MemberId, message: Grant) -> None:
        if self.out.me not in self.seating.current:
            return  # what it has ends by itself
        now_us = self.out.now_us
        had = {r: self.holder.amount(r, now_us) for r, _ in message.parts}
        allots = self.holder.take(now_us, member, message)
        for allot in allots:
            self.out.do(allot)
        if any(allot.amount < had[allot.resource] for allot in allots):
            holdings = self.holder.lingering(now_us, self.resources)
            self.out.send(member, Took(self.slot, message.regime, message.seq, holdings))
        if allots and self.granter != member:
            self.granter, self.since_us = member, self.out.now_us

    def _ended(self, member: MemberId, message: End) -> None:
        if self.voter.bound is not None and self.voter.bound[0] == member:
            self.voter.end(member, message.regime)
            if self.voter.bound is None:
                self.candidacy.ended(self.out.now_us, member)

    def give_up(self) -> None:
        """It uses no more than its floors, and says so to its granter."""
        allots, ask = self.holder.give_up(self.out.now_us, self.slot, self.resources)
        for allot in allots:
            self.out.do(allot)
        followed = self.holder.followed.get(self.slot)
        if followed is not None:
            self.out.send(followed.granter, Back(self.slot, followed.regime, ask))

    def status(self) -> dict[str, Any]:
        """For GET /federation."""
        now_us, regime = self.out.now_us, self.granting.regime
        given = {r: {str(m): a for m, a in p.figures(now_us).items()} for r, p in self.granting.pots.items()}
        runs = self.granting.runs()
        return {
            "slot": self.slot,
            "granter": None if self.granter is None else str(self.granter),
            "since_ms": None if self.granter is None else (now_us - self.since_us) // 1000,
            "grants": runs,
            "regime": regime.number if runs else None,
            "regime_ms": (now_us - (regime.since_us or now_us)) // 1000 if runs else None,
            "given": given if runs else {},
        }
