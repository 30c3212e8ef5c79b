"""Says when this member holds what it serves, why, and which error the operator sees for it."""

from __future__ import annotations

from madderbeam.federation.errors import FederationError, LeaseLost, LeftOut, NoWord, ReleaseMissing
from madderbeam.federation.leases.lease import LeaseHolder
from madderbeam.federation.switchover.inquiry import InForceInquiry
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import SuspendServing
from madderbeam.membership.values import LogLine, MemberId

NAMED_MOST = 5  # members or destinations named in one line


class ServingSuspension:
    """`gate` is what was told last: nothing, some destinations, or all are held."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        book: OwnershipRegistry,
        out: ActionBuffer,
        inquiry: InForceInquiry,
        holder: LeaseHolder,
    ) -> None:
        self.settings, self.book, self.out = settings, book, out
        self.inquiry, self.holder = inquiry, holder
        self.gate = SuspendServing(True, "has not started")
        self.leased_us = 0  # since when there is no lease; 0: there is one
        self._reported_us: dict[str, int] = {}

    def look(self) -> None:
        """Tell the host where the gate is another one now."""
        gate = self._gate()
        if (gate.is_suspended, gate.destinations) != (
            self.gate.is_suspended,
            self.gate.destinations,
        ) or gate.reason != self.gate.reason:
            self.gate = gate
            self.out.do(gate)

    def closed(self, dest: int) -> bool:
        gate = self.gate
        return gate.is_suspended and (gate.destinations is None or dest in gate.destinations)

    def report(self) -> None:
        """To the log, every so often: what is missing and what can be done."""
        now_us = self.out.now_us
        for error in self.errors():
            last = self._reported_us.get(error.code)
            if last is None or now_us - last >= self.settings.report_us:
                self._reported_us[error.code] = now_us
                self.out.do(LogLine(error.what, error))

    def errors(self) -> list[FederationError]:
        """What stands against serving all that the table gives to this site, long enough to be told."""
        found: list[FederationError] = []
        number = self.book.table.number
        if self.book.left_out:
            found.append(LeftOut(f"table {number} does not name {self.book.me}, or it was called off"))
        if self.inquiry.asking and self._long(self.inquiry.since_us) and self.inquiry.holding:
            found.append(self._no_word())
        if not self.holder.is_valid(self.out.now_us) and self.leased_us and self._long(self.leased_us):
            found.append(self._lease_lost())
        return found + self._missing()

    def _gate(self) -> SuspendServing:
        now_us, table = self.out.now_us, self.book.table
        runs = self.holder.is_valid(now_us)
        self.leased_us = 0 if runs else self.leased_us or now_us
        if self.book.left_out:
            return SuspendServing(True, LeftOut(f"table {table.number} does not name {self.book.me}").line())
        if self.inquiry.holding:
            asks = f"asks the voters of table {table.number} what is in force"
            long = self._long(self.inquiry.since_us)
            return SuspendServing(True, self._no_word().line() if long else asks)
        if not runs:
            long = self._long(self.leased_us)
            return SuspendServing(
                True, self._lease_lost().line() if long else "waits for its lease to be renewed"
            )
        if self.inquiry.held:
            why = f"a table after {table.number} is pending that would move them"
            return SuspendServing(True, why, self.inquiry.held)
        return SuspendServing(False, "")

    def _long(self, since_us: int) -> bool:
        return self.out.now_us - since_us >= self.settings.report_us

    def _no_word(self) -> NoWord:
        silent = self.inquiry.silent(self.book.table)
        return NoWord(
            f"the voters of table {self.book.table.number} were asked {self._ago(self.inquiry.since_us)} ago "
            f"and no majority has told what is in force: {self._silent(silent)}"
        )

    def _lease_lost(self) -> LeaseLost:
        heard = self.inquiry.heard_us
        voters = [(v, heard.get(v, 0)) for v in self.book.table.voters if v != self.book.me]
        quiet = [(v, at) for v, at in voters if self.out.now_us - at > self.settings.lease_us]
        return LeaseLost(
            f"no majority of the voters of table {self.book.table.number} has renewed the lease for "
            f"{self._ago(self.leased_us)}: {self._silent(quiet)}"
        )

    def _missing(self) -> list[FederationError]:
        """By member, from a while after the table came in force on."""
        owing: dict[MemberId, list[int]] = {}
        for dest, member, _ in self.book.gains_missing():
            owing.setdefault(member, []).append(dest)
        since_us = self.book.since_us
        if not owing or not self._long(since_us):
            return []
        parts = []
        for member, dests in sorted(owing.items())[:NAMED_MOST]:
            some = ", ".join(map(str, sorted(dests)[:NAMED_MOST]))
            more = f" and {len(dests) - NAMED_MOST} more" if len(dests) > NAMED_MOST else ""
            parts.append(f"{member} has not released {some}{more}")
        more = f"; {len(owing) - NAMED_MOST} more members" if len(owing) > NAMED_MOST else ""
        what = f"since table {self.book.table.number} came in force {self._ago(since_us)} ago: "
        return [ReleaseMissing(what + "; ".join(parts) + more)]

    def _silent(self, voters: list[tuple[MemberId, int]]) -> str:
        if not voters:
            return "all were heard meanwhile"
        told = [f"{v} ({f'heard {self._ago(at)} ago' if at else 'never heard'})" for v, at in voters]
        more = f" and {len(told) - NAMED_MOST} more" if len(told) > NAMED_MOST else ""
        return f"silent are {', '.join(told[:NAMED_MOST])}{more}"

    def _ago(self, at_us: int) -> str:
        return f"{max(0, self.out.now_us - at_us) // 1_000_000} s"
