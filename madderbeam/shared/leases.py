"""Leases on limits: joins slots, settings of limits and needs, timers and the record of a member.

Before it ever confirmed a regime a member uses its fixed parts; afterwards its lease while that runs by its
own clock, else its floors. The clock must go on while the machine sleeps, or `Resumed` be handed in first.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from madderbeam.federation.errors import LimitsUnshared, LimitUnfit
from madderbeam.membership.values import (
    Incarnation,
    Leave,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    PauseDetected,
    Persist,
    SetDraining,
    SetTimer,
    TimerDue,
    WriteFailed,
)
from madderbeam.shared.candidacy import TICKS
from madderbeam.shared.holder import Holder
from madderbeam.shared.lease_messages import AMOUNT_MOST, NAME_MOST
from madderbeam.shared.lease_settings import LeaseSettings, longer
from madderbeam.shared.outgoing import Outgoing
from madderbeam.shared.site import Seating
from madderbeam.shared.slot import Slot
from madderbeam.shared.values import Allot, Limit, Need, Site

VIEWS_MOST = 4_096
LINGERS_MOST_US = 3_600_000_000


def nothing(resource: str) -> float:
    """In use, where no resource lingers."""
    return 0.0


class Leases:
    """`handle(now_us, event)`: Site, Limit, Need, MemberChanged, FromLink, Due, Resumed, Draining, Leaving,
    Unwritten in; Allot, ToLink, SetTimer, Persist and Note out. `records`: kinds and keys as persisted."""

    def __init__(
        self,
        settings: LeaseSettings,
        me: MemberId,
        life: Incarnation,
        chance: Random,
        records: Mapping[tuple[str, str], Any],
        uses: Callable[[str], float] = nothing,
    ) -> None:
        """`uses`: what is in use now of a resource that lingers."""
        self.settings, self.me, self.chance = settings, me, chance
        self.out = Outgoing(me)
        self.holder = Holder(settings, uses)
        self.seating = Seating(settings, me, bool(records.get(("lease", "joined"))))
        self.views: dict[MemberId, MemberView] = {}
        self._written = me in self.seating.joined
        self._writing = False
        self._draining = False
        self._started = False
        self._told_us: int | None = None  # since when there are no leases, or when the log last told so
        first = life.start << 24
        self.slots = [
            Slot(settings, n, self.seating, self.holder, self.out, self.views, first, chance, self._join)
            for n in range(settings.slots)
        ]
        self._by_event: dict[type, Callable[[Any], None]] = {
            Site: self._site,
            Limit: self._limit,
            Need: self._need,
            MemberChanged: self._changed,
            MessageReceived: self._from_link,
            TimerDue: self._due,
            PauseDetected: self._resumed,
            SetDraining: self._drain,
            Leave: self._leave,
            WriteFailed: self._unwritten,
        }

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Other events are none of its own."""
        take = self._by_event.get(type(event))
        if take is None:
            return []
        self.out.now_us = now_us
        take(event)
        while self.out.to_self:
            self._message(self.me, self.out.to_self.popleft())
        return self.out.taken()

    def amount(self, resource: str, now_us: int) -> float:
        """What may be used now, in the resource's unit; 0 of one that is not known. To be asked just before
        each use: a lease that has ended is not used."""
        return self.holder.amount(resource, now_us)

    def slot(self, resource: str) -> Slot:
        """The slot to which a resource is dealt."""
        return self.slots[zlib.crc32(resource.encode()) % len(self.slots)]

    # Limits and needs

    def _limit(self, event: Limit) -> None:
        known = event.resource in self.holder.limits
        name_fits = 0 < len(event.resource) <= NAME_MOST
        amounts_fit = 0 < event.total <= AMOUNT_MOST and 0 <= event.fixed <= event.total
        amounts_fit = amounts_fit and 0 <= event.lingers_us <= LINGERS_MOST_US
        has_room = known or len(self.holder.limits) < self.settings.resources_most
        if not (name_fits and amounts_fit and has_room):
            what = (f"limit {event.resource[:NAME_MOST]}: total {event.total}, fixed {event.fixed}; allowed: "
                    f"total above 0, fixed from 0 to it, {self.settings.resources_most} limits")  # fmt: skip
            self.out.note("a limit is not taken", LimitUnfit(what))
            return
        lingers_us = longer(event.lingers_us, self.settings.drift_ppm)
        self.seating.lingers_us = max(self.seating.lingers_us, lingers_us)
        self.holder.limit(event, self.seating.own(self.out.now_us, event))
        slot = self.slot(event.resource)
        if not known:
            slot.resources.append(event.resource)
        slot.granting.limit(event)
        lot = self.holder.lots[event.resource]
        self.out.do(Allot(event.resource, lot.amount, lot.until_us, lot.after))

    def _need(self, event: Need) -> None:
        fits = all(math.isfinite(x) and 0 <= x <= AMOUNT_MOST for x in (event.amount, event.worth))
        if event.resource in self.holder.limits and fits:
            self.holder.needs[event.resource] = (event.amount, event.worth)

    # Who is there

    def _site(self, event: Site) -> None:
        self.seating.change(self.out.now_us, event)
        self._floors()
        for slot in self.slots:
            slot.voter.start(self.out.now_us)
        if not self._started:
            self._started = True
            self._told_us = self.out.now_us
            self.out.timer(self.out.now_us + self.chance.randrange(self._tick_us()) + 1, "tick")

    def _floors(self) -> None:
        """What is used without a lease may have changed."""
        for limit in self.holder.limits.values():
            lot, after = self.holder.lots[limit.resource], self.seating.own(self.out.now_us, limit)
            if lot.after != after:
                self.holder.limit(limit, after)
                self.out.do(Allot(limit.resource, lot.amount, lot.until_us, lot.after))

    def _changed(self, event: MemberChanged) -> None:
        view = event.view
        if view.id != self.me and (view.id in self.views or len(self.views) < VIEWS_MOST):
            self.views[view.id] = view

    def _from_link(self, event: MessageReceived) -> None:
        self._message(event.member, event.message)

    def _message(self, member: MemberId, message: Any) -> None:
        number = getattr(message, "slot", -1)
        if self._started and 0 <= number < len(self.slots):
            self.slots[number].take(member, message)

    # Time

    def _tick_us(self) -> int:
        return max(1, self.settings.turn_us // TICKS)

    def _due(self, event: TimerDue) -> None:
        if event.token == "lease/tick" and self._started:
            self.out.timer(self.out.now_us + self._tick_us(), "tick")
            self._tick()
        elif event.token == "lease/joined":
            self._written = True

    def _tick(self) -> None:
        self.seating.due(self.out.now_us)
        self._floors()
        for slot in self.slots:
            slot.tick(not self._draining)
        self._report()

    def _report(self) -> None:
        """Tells of limits that nobody grants, and of the end of that."""
        now_us, lots = self.out.now_us, self.holder.lots
        unshared = [r for r, lot in lots.items() if now_us >= lot.until_us]
        if not unshared or self._draining or self.me not in self.seating.current:
            self._told_us = now_us
        elif self._told_us is not None and now_us - self._told_us >= self.settings.silent_report_us:
            self._told_us = now_us
            what = f"no lease on {len(unshared)} of {len(lots)} limits, {unshared[0]} among them"
            self.out.note("limits are not shared", LimitsUnshared(what))

    def _resumed(self, event: PauseDetected) -> None:
        """What was known may be over: no lease is used that was given before."""
        for resource in self.holder.lots:
            lot = self.holder.lots[resource]
            if lot.until_us > self.out.now_us and (allot := self.holder.set(resource, lot.after, 0)):
                self.out.do(allot)
        for slot in self.slots:
            slot.stop()
        if self._started:
            self.out.timer(self.out.now_us + self._tick_us(), "tick")

    # The record

    def _join(self) -> bool:
        """This member's word to a regime: from now on it falls back to floors, over restarts as well. Given
        only once that is on disk. What it used until then counts as a lease."""
        if self._written:
            return True
        now_us = self.out.now_us
        if self.me not in self.seating.joined:
            self.seating.joins(now_us, self.me)
            for resource, limit in self.holder.limits.items():
                fixed = self.holder.lots[resource].after
                self.holder.limit(limit, self.seating.own(self.out.now_us, limit))
                if allot := self.holder.set(resource, fixed, now_us + self.settings.lease_us):
                    self.out.do(allot)
        if not self._writing:
            self._writing = True
            self.out.last(Persist("lease", "joined", True), SetTimer(now_us, "lease/joined"))
        return False

    def _unwritten(self, event: WriteFailed) -> None:
        """It is written with the next question. Of another record: this one may have stood behind it."""
        self._writing = False

    # Handing back

    def _drain(self, event: SetDraining) -> None:
        if event.on and not self._draining:
            self._hand_back()
        self._draining = self.holder.idle = event.on

    def _leave(self, event: Leave) -> None:
        self._hand_back()

    def _hand_back(self) -> None:
        self._draining = self.holder.idle = True
        for slot in self.slots:
            slot.give_up()
            if slot.granting.regime.on and slot.others():
                slot.granting.end()

    # What is shown

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation: who grants, since when, what is given and taken."""
        self.out.now_us = now_us
        leases = {}
        for resource, lot in self.holder.lots.items():
            limit = self.holder.limits[resource]
            runs = now_us < lot.until_us
            leases[resource] = {
                "amount": lot.amount if runs else lot.after,
                "left_ms": (lot.until_us - now_us) // 1000 if runs else None,
                "after": lot.after,
                "total": limit.total,
                "fixed": limit.fixed,
                "slot": self.slot(resource).slot,
                **({"used": self.holder.uses(resource)} if limit.lingers_us else {}),
            }
        return {
            "joined": self.me in self.seating.joined,
            "slots": [slot.status() for slot in self.slots],
            "leases": leases,
            "figures": self.figures,
        }

    @property
    def figures(self) -> dict[str, int]:
        """Counts since the start: regimes asked for, begun and lapsed, grants given."""
        return dict(self.out.figures)
