"""Decides when serving is suspended at this member, why, and which error an operator sees for it."""

from __future__ import annotations

from madderbeam.federation.errors import FederationError, LeaseLost, LeftOut, NoWord, ReleaseMissing
from madderbeam.federation.leases.lease import LeaseHolder
from madderbeam.federation.switchover.inquiry import InForceInquiry
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import SuspendServing
from madderbeam.membership.values import LogLine, MemberId

MAX_NAMES_PER_LINE = 5  # members or destinations in one error text


class ServingSuspension:
    """Keeps the host's suspension up to date. `current` is the last one sent: of nothing, some
    destinations or all.
    """

    def __init__(
        self,
        settings: SwitchoverSettings,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        inquiry: InForceInquiry,
        lease_holder: LeaseHolder,
    ) -> None:
        self.settings, self.registry, self.actions = settings, registry, actions
        self.inquiry, self.lease_holder = inquiry, lease_holder
        self.current = SuspendServing(True, "has not started")
        self.no_lease_since_us = 0  # 0: there is a lease
        self._reported_us: dict[str, int] = {}

    def update(self) -> None:
        """Notify the host if the suspension has changed."""
        desired = self._desired_state()
        if (desired.is_suspended, desired.destinations) != (
            self.current.is_suspended,
            self.current.destinations,
        ) or desired.reason != self.current.reason:
            self.current = desired
            self.actions.add(desired)

    def covers(self, dest: int) -> bool:
        """Whether serving of the destination is suspended."""
        current = self.current
        return current.is_suspended and (current.destinations is None or dest in current.destinations)

    def report(self) -> None:
        """Log each error, repeated at the report interval."""
        now_us = self.actions.now_us
        for error in self.errors():
            last_us = self._reported_us.get(error.code)
            if last_us is None or now_us - last_us >= self.settings.report_interval_us:
                self._reported_us[error.code] = now_us
                self.actions.add(LogLine(error.what, error))

    def errors(self) -> list[FederationError]:
        """The errors that have kept this member from serving its site's destinations for the report
        interval.
        """
        errors: list[FederationError] = []
        number = self.registry.table.number
        if self.registry.is_left_out:
            errors.append(
                LeftOut(f"table {number} does not name {self.registry.local_member}, or it was called off")
            )
        if (
            self.inquiry.is_active
            and self._is_reportable(self.inquiry.since_us)
            and self.inquiry.suspends_all
        ):
            errors.append(self._in_force_unknown_error())
        if (
            not self.lease_holder.is_valid(self.actions.now_us)
            and self.no_lease_since_us
            and self._is_reportable(self.no_lease_since_us)
        ):
            errors.append(self._lease_lost_error())
        return errors + self._missing_releases()

    def _desired_state(self) -> SuspendServing:
        now_us, table = self.actions.now_us, self.registry.table
        has_lease = self.lease_holder.is_valid(now_us)
        self.no_lease_since_us = 0 if has_lease else self.no_lease_since_us or now_us
        if self.registry.is_left_out:
            return SuspendServing(
                True, LeftOut(f"table {table.number} does not name {self.registry.local_member}").line()
            )
        if self.inquiry.suspends_all:
            text = f"asks the voters of table {table.number} what is in force"
            is_reportable = self._is_reportable(self.inquiry.since_us)
            return SuspendServing(True, self._in_force_unknown_error().line() if is_reportable else text)
        if not has_lease:
            is_reportable = self._is_reportable(self.no_lease_since_us)
            return SuspendServing(
                True,
                self._lease_lost_error().line() if is_reportable else "waits for its lease to be renewed",
            )
        if self.inquiry.suspended_destinations:
            reason = f"a table after {table.number} is pending that would move them"
            return SuspendServing(True, reason, self.inquiry.suspended_destinations)
        return SuspendServing(False, "")

    def _is_reportable(self, since_us: int) -> bool:
        return self.actions.now_us - since_us >= self.settings.report_interval_us

    def _in_force_unknown_error(self) -> NoWord:
        silent = self.inquiry.silent_since(self.registry.table)
        return NoWord(
            f"the voters of table {self.registry.table.number} were asked "
            f"{self._age_text(self.inquiry.since_us)} ago "
            f"and no majority has told what is in force: {self._silent_text(silent)}"
        )

    def _lease_lost_error(self) -> LeaseLost:
        last_heard_us = self.inquiry.last_heard_us
        voters = [
            (voter, last_heard_us.get(voter, 0))
            for voter in self.registry.table.voters
            if voter != self.registry.local_member
        ]
        silent = [
            (voter, heard_us)
            for voter, heard_us in voters
            if self.actions.now_us - heard_us > self.settings.lease_us
        ]
        return LeaseLost(
            f"no majority of the voters of table {self.registry.table.number} has renewed the lease for "
            f"{self._age_text(self.no_lease_since_us)}: {self._silent_text(silent)}"
        )

    def _missing_releases(self) -> list[FederationError]:
        """The missing releases by member, once the table has been in force for the report interval."""
        owing: dict[MemberId, list[int]] = {}
        for dest, member, _ in self.registry.missing_for_own_destinations():
            owing.setdefault(member, []).append(dest)
        since_us = self.registry.in_force_since_us
        if not owing or not self._is_reportable(since_us):
            return []
        parts = []
        for member, dests in sorted(owing.items())[:MAX_NAMES_PER_LINE]:
            named_dests = ", ".join(map(str, sorted(dests)[:MAX_NAMES_PER_LINE]))
            rest = f" and {len(dests) - MAX_NAMES_PER_LINE} more" if len(dests) > MAX_NAMES_PER_LINE else ""
            parts.append(f"{member} has not released {named_dests}{rest}")
        rest = f"; {len(owing) - MAX_NAMES_PER_LINE} more members" if len(owing) > MAX_NAMES_PER_LINE else ""
        prefix = f"since table {self.registry.table.number} came in force {self._age_text(since_us)} ago: "
        return [ReleaseMissing(prefix + "; ".join(parts) + rest)]

    def _silent_text(self, voters: list[tuple[MemberId, int]]) -> str:
        if not voters:
            return "all were heard meanwhile"
        parts = [
            f"{voter} ({f'heard {self._age_text(heard_us)} ago' if heard_us else 'never heard'})"
            for voter, heard_us in voters
        ]
        rest = f" and {len(parts) - MAX_NAMES_PER_LINE} more" if len(parts) > MAX_NAMES_PER_LINE else ""
        return f"silent are {', '.join(parts[:MAX_NAMES_PER_LINE])}{rest}"

    def _age_text(self, since_us: int) -> str:
        return f"{max(0, self.actions.now_us - since_us) // 1_000_000} s"
