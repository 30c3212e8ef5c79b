"""Leases on limits: passes events to the lease groups, and has a member's limits, needs, timers and record.

A member that has never confirmed a lease term uses its fixed share of each limit. Afterwards it uses its
lease while that is valid by its own clock, else its floor. The clock must keep running while the machine is
suspended, or `PauseDetected` has to be handled before any other event.
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
from madderbeam.shared.candidacy import TICKS_PER_RENEWAL
from madderbeam.shared.lease_group import LeaseGroup
from madderbeam.shared.lease_holder import LeaseHolder
from madderbeam.shared.lease_messages import AMOUNT_MAX, NAME_MAX_CHARACTERS
from madderbeam.shared.lease_settings import LeaseSettings, longest_us
from madderbeam.shared.outgoing import OutgoingActions
from madderbeam.shared.site_membership import SiteMembership
from madderbeam.shared.values import Limit, Need, SetAllowance, SiteMembers

VIEWS_MAX = 4_096
LINGERS_MAX_US = 3_600_000_000


def no_use(resource: str) -> float:
    """The amount in use, for callers without lingering resources: always 0."""
    return 0.0


class Leases:
    """All leases of one member.

    `handle(now_us, event)` takes SiteMembers, Limit, Need, MemberChanged, MessageReceived, TimerDue,
    PauseDetected, SetDraining, Leave and WriteFailed, and returns SetAllowance, SendMessage, SetTimer,
    Persist and LogLine. `records` maps (kind, key) to the values of earlier Persist actions.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        own_id: MemberId,
        incarnation: Incarnation,
        rng: Random,
        records: Mapping[tuple[str, str], Any],
        usage_of: Callable[[str], float] = no_use,
    ) -> None:
        """`usage_of` returns how much of a lingering resource is in use now."""
        self.settings, self.own_id, self.rng = settings, own_id, rng
        self.out = OutgoingActions(own_id)
        self.holder = LeaseHolder(settings, usage_of)
        self.membership = SiteMembership(settings, own_id, bool(records.get(("lease", "joined"))))
        self.views: dict[MemberId, MemberView] = {}
        self._is_join_durable = own_id in self.membership.floor_only_from_us
        self._is_writing = False
        self._draining = False
        self._started = False
        self._unshared_since_us: int | None = (
            None  # since when leases are missing, or when that was last logged
        )
        first_number = incarnation.start << 24
        self.groups = [
            LeaseGroup(
                settings,
                number,
                self.membership,
                self.holder,
                self.out,
                self.views,
                first_number,
                rng,
                self._join,
            )
            for number in range(settings.slots)
        ]
        self._by_event: dict[type, Callable[[Any], None]] = {
            SiteMembers: self._site_changed,
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
        """The actions that the event leads to. Events of other types are ignored."""
        handler = self._by_event.get(type(event))
        if handler is None:
            return []
        self.out.now_us = now_us
        handler(event)
        while self.out.to_self:
            self._message(self.own_id, self.out.to_self.popleft())
        return self.out.take_all()

    def amount(self, resource: str, now_us: int) -> float:
        """How much may be used now, in the resource's unit; 0 for an unknown resource.

        Callers ask just before each use, so that an expired lease is never used.
        """
        return self.holder.amount(resource, now_us)

    def group_of(self, resource: str) -> LeaseGroup:
        """The lease group to which the resource is assigned by hash."""
        return self.groups[zlib.crc32(resource.encode()) % len(self.groups)]

    # Limits and needs

    def _limit(self, event: Limit) -> None:
        known = event.resource in self.holder.limits
        name_fits = 0 < len(event.resource) <= NAME_MAX_CHARACTERS
        amounts_fit = 0 < event.total <= AMOUNT_MAX and 0 <= event.fixed <= event.total
        amounts_fit = amounts_fit and 0 <= event.lingers_us <= LINGERS_MAX_US
        has_room = known or len(self.holder.limits) < self.settings.resources_most
        if not (name_fits and amounts_fit and has_room):
            problem = (
                f"limit {event.resource[:NAME_MAX_CHARACTERS]}: total {event.total}, fixed {event.fixed}; "
                f"allowed: total above 0, fixed from 0 to it, {self.settings.resources_most} limits"
            )
            self.out.log("limit ignored", LimitUnfit(problem))
            return
        lingers_us = longest_us(event.lingers_us, self.settings.drift_ppm)
        self.membership.max_lingers_us = max(self.membership.max_lingers_us, lingers_us)
        self.holder.limit(event, self.membership.unleased_amount(self.out.now_us, event))
        slot = self.group_of(event.resource)
        if not known:
            slot.resources.append(event.resource)
        slot.grantor.limit(event)
        lease = self.holder.leases[event.resource]
        self.out.add(SetAllowance(event.resource, lease.amount, lease.until_us, lease.fallback))

    def _need(self, event: Need) -> None:
        fits = all(
            math.isfinite(number) and 0 <= number <= AMOUNT_MAX for number in (event.amount, event.weight)
        )
        if event.resource in self.holder.limits and fits:
            self.holder.needs[event.resource] = (event.amount, event.weight)

    # Membership

    def _site_changed(self, event: SiteMembers) -> None:
        self.membership.update(self.out.now_us, event)
        self._floors()
        for slot in self.groups:
            slot.voter.start(self.out.now_us)
        if not self._started:
            self._started = True
            self._unshared_since_us = self.out.now_us
            self.out.timer(self.out.now_us + self.rng.randrange(self._tick_us()) + 1, "tick")

    def _floors(self) -> None:
        """Reports the amounts that are used without a lease, if they have changed."""
        for limit in self.holder.limits.values():
            lease, fallback = (
                self.holder.leases[limit.resource],
                self.membership.unleased_amount(self.out.now_us, limit),
            )
            if lease.fallback != fallback:
                self.holder.limit(limit, fallback)
                self.out.add(SetAllowance(limit.resource, lease.amount, lease.until_us, lease.fallback))

    def _changed(self, event: MemberChanged) -> None:
        view = event.view
        if view.id != self.own_id and (view.id in self.views or len(self.views) < VIEWS_MAX):
            self.views[view.id] = view

    def _from_link(self, event: MessageReceived) -> None:
        self._message(event.member, event.message)

    def _message(self, member: MemberId, message: Any) -> None:
        number = getattr(message, "slot", -1)
        if self._started and 0 <= number < len(self.groups):
            self.groups[number].handle(member, message)

    # Time

    def _tick_us(self) -> int:
        return max(1, self.settings.renewal_interval_us // TICKS_PER_RENEWAL)

    def _due(self, event: TimerDue) -> None:
        if event.token == "lease/tick" and self._started:
            self.out.timer(self.out.now_us + self._tick_us(), "tick")
            self._tick()
        elif event.token == "lease/joined":
            self._is_join_durable = True

    def _tick(self) -> None:
        self.membership.expire(self.out.now_us)
        self._floors()
        for slot in self.groups:
            slot.tick(not self._draining)
        self._report()

    def _report(self) -> None:
        """Logs, at intervals, that limits have no lease because no member grants any."""
        now_us, leases = self.out.now_us, self.holder.leases
        unshared = [resource for resource, lease in leases.items() if now_us >= lease.until_us]
        if not unshared or self._draining or self.own_id not in self.membership.current:
            self._unshared_since_us = now_us
        elif (
            self._unshared_since_us is not None
            and now_us - self._unshared_since_us >= self.settings.silent_report_us
        ):
            self._unshared_since_us = now_us
            problem = f"no lease on {len(unshared)} of {len(leases)} limits, {unshared[0]} among them"
            self.out.log("limits have no lease", LimitsUnshared(problem))

    def _resumed(self, event: PauseDetected) -> None:
        """Drops all leases and terms: others may have been granted the amounts during the pause."""
        for resource in self.holder.leases:
            lease = self.holder.leases[resource]
            if lease.until_us > self.out.now_us and (
                allot := self.holder.set_lease(resource, lease.fallback, 0)
            ):
                self.out.add(allot)
        for slot in self.groups:
            slot.abandon_term()
        if self._started:
            self.out.timer(self.out.now_us + self._tick_us(), "tick")

    # The record

    def _join(self) -> bool:
        """Makes it durable that this member confirms lease terms; True once that is on disk.

        From then on it falls back to its floors instead of its fixed shares, also after a restart. It replies
        to no term request before. What it uses until then counts as a lease, since others may still reserve
        it.
        """
        if self._is_join_durable:
            return True
        now_us = self.out.now_us
        if self.own_id not in self.membership.floor_only_from_us:
            self.membership.record_joined(now_us, self.own_id)
            for resource, limit in self.holder.limits.items():
                fixed = self.holder.leases[resource].fallback
                self.holder.limit(limit, self.membership.unleased_amount(self.out.now_us, limit))
                if allot := self.holder.set_lease(resource, fixed, now_us + self.settings.lease_us):
                    self.out.add(allot)
        if not self._is_writing:
            self._is_writing = True
            self.out.add_last(Persist("lease", "joined", True), SetTimer(now_us, "lease/joined"))
        return False

    def _unwritten(self, event: WriteFailed) -> None:
        """The record is written again with the next lease request.

        The failed write may be of another record: ours may have been queued behind it.
        """
        self._is_writing = False

    # Returning leases

    def _drain(self, event: SetDraining) -> None:
        if event.draining and not self._draining:
            self._return_leases()
        self._draining = self.holder.wants_nothing = event.draining

    def _leave(self, event: Leave) -> None:
        self._return_leases()

    def _return_leases(self) -> None:
        self._draining = self.holder.wants_nothing = True
        for slot in self.groups:
            slot.return_leases()
            if slot.grantor.term.is_active and slot.can_others_grant():
                slot.grantor.end()

    # Status

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation: who grants since when, what it has granted, and what this member holds."""
        self.out.now_us = now_us
        leases = {}
        for resource, lease in self.holder.leases.items():
            limit = self.holder.limits[resource]
            is_valid = now_us < lease.until_us
            leases[resource] = {
                "amount": lease.amount if is_valid else lease.fallback,
                "left_ms": (lease.until_us - now_us) // 1000 if is_valid else None,
                "after": lease.fallback,
                "total": limit.total,
                "fixed": limit.fixed,
                "slot": self.group_of(resource).number,
                **({"used": self.holder.usage_of(resource)} if limit.lingers_us else {}),
            }
        return {
            "joined": self.own_id in self.membership.floor_only_from_us,
            "known_joined": [str(m) for m in self.membership.members if self.membership.has_floor(now_us, m)],
            "slots": [slot.status() for slot in self.groups],
            "leases": leases,
            "figures": self.figures,
        }

    @property
    def figures(self) -> dict[str, int]:
        """Counts since the start: lease terms requested, begun and lapsed, and grants sent."""
        return dict(self.out.counters)
