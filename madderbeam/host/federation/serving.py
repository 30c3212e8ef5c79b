"""Which destinations this courier serves: what it begins at, lets go of and holds, as the decision module
sees it.

Gets Begin, Relinquish and Hold from the federation's machine. What is not served stands in the list as
draining: the decision module sends nothing there, and keeps what it has learnt. A destination is released
once no call is out there and the messages for it have gone to where it is served.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from madderbeam.federation.values import (
    BeginServing,
    DestinationReleased,
    Release,
    Relinquish,
    RemainingSpan,
    SuspendServing,
    Table,
)
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import MemberId
from madderbeam.policy.events import EndpointEntry, EndpointState, ListUpdateKind

LOOK_S = 0.02  # calls out at what is let go of are looked at so often
QUIET = 2  # looks in a row that find none: the turn that hears their ends lies between
DRAIN_US = 3_600_000_000  # a drain is passed on for so long: by then the new owner's own list tells of it
log = logging.getLogger(__name__)


class Serving:
    """`told` takes what the federation's machine is told; `passed_on` gets a message that another site
    serves from now on; `may_call` is asked just before each call. `leased`: a hold ends calls that are out,
    since the right to make them ends by itself; else they last until they are released."""

    def __init__(
        self,
        host: Host,
        me: MemberId,
        may_call: Callable[[int], bool],
        told: Callable[[DestinationReleased], None],
        passed_on: Callable[[PendingMessage], None],
        leased: bool,
    ) -> None:
        self.host, self.me, self.may_call, self.told, self.passed_on = host, me, may_call, told, passed_on
        self.leased = leased
        self.hold = SuspendServing(True, "has not started")
        self.begun: set[int] = set()
        self.leaving: dict[int, tuple[int, int]] = {}  # the table, and looks that found no call out
        self.looking = False
        self.before_call: Callable[[int], bool] | None = None  # what couriers of a site share may hold back
        self.changed_us = host.clock()  # when a table came in force, or a hold began or ended
        host.registry.is_served = self.serves

    # What others ask

    def serves(self, dest: int) -> bool:
        """A call may be begun there now."""
        return self.owns(dest) and (self.before_call is None or self.before_call(dest))

    def owns(self, dest: int) -> bool:
        """Messages for it are this courier's to deliver."""
        return dest in self.begun and not (self.hold.is_suspended and self.held(dest)) and self.may_call(dest)

    def held(self, dest: int) -> bool:
        """It may be served here, but it is not known yet."""
        return self.hold.is_suspended and (self.hold.destinations is None or dest in self.hold.destinations)

    def why_not(self, table: Table, site: str) -> str:
        """What stands against serving by this table: "" or the first thing, with its place."""
        for dest, owner in sorted(table.owners.items()):
            if owner == site and dest not in self.host.registry.dests:
                return f"owners.{dest}: this site's partner list has no endpoint of it"
        return ""

    # What the machine has decided

    def begin(self, action: BeginServing) -> None:
        """Served from now on, with what its old owners passed on."""
        dest, listing = action.dest, self.host.registry
        self.leaving.pop(dest, None)
        if dest in self.begun:
            return
        self.begun.add(dest)
        now = self.host.clock()
        closed: dict[int, EndpointEntry] = {}
        for release in action.releases:
            for wait in release.retry_waits:
                uid = wait.uid if wait.uid in listing.uids else ""
                for entry in listing.adopt_retry_after(dest, uid, now + wait.remaining_us):
                    before = closed.get(entry.endpoint, entry)
                    until = max(before.retry_after_until_us, entry.retry_after_until_us)
                    closed[entry.endpoint] = replace(entry, retry_after_until_us=until)
            listing.relayed_drains.update(dict.fromkeys(w.uid for w in release.draining))
        cold = any(release.is_cold for release in action.releases)
        entries = [closed.get(e.endpoint, e) for e in self._entries(dest)]
        self._show([replace(e, recovering=cold or e.recovering) for e in entries])
        if action.releases:
            log.info(
                "federation: destination %d is served here from now on: %d waits, %s",
                dest,
                sum(len(r.retry_waits) for r in action.releases),
                "cold" if cold else "warm",
            )

    def relinquish(self, action: Relinquish) -> None:
        """Begin no call there, and say when none is out."""
        self.begun.discard(action.dest)
        self.leaving[action.dest] = (action.table_number, 0)
        log.info("federation: destination %d is let go of, by table %d", action.dest, action.table_number)
        self._hide([action.dest])
        self._look_again()

    def keep(self, hold: SuspendServing) -> None:
        """Another hold takes the place of the one before."""
        before, self.hold = self.hold, hold
        if before.is_suspended is not hold.is_suspended:
            self.changed_us = self.host.clock()
        if hold.is_suspended and hold.reason != before.reason:
            log.warning("federation: held: %s", hold.reason)
        elif before.is_suspended and not hold.is_suspended:
            log.info("federation: served again")
        if hold.is_suspended:
            shut = self.begun if hold.destinations is None else self.begun & hold.destinations
            self._hide(sorted(shut))
            for call in [c for c in self.host.calls.out if self.leased and self._dest(c.endpoint) in shut]:
                call.drop()  # it must not outlast the right to make it
        self._show([e for dest in sorted(self.begun) for e in self._entries(dest)])

    def refresh(self) -> None:
        """A lease has ended or begun: the list as it is now."""
        self._show(self.host.registry.entries.values())

    # Letting go

    def _hide(self, dests: list[int]) -> None:
        entries = [e for dest in dests for e in self._entries(dest)]
        for entry in entries:
            self.host.calls.close_idle(entry.endpoint)
        self._show(entries)

    def _look_again(self) -> None:
        if not self.looking:
            self.looking = True
            self.host.schedule(LOOK_S, self._look)

    def _look(self) -> None:
        self.looking = False
        out = {self._dest(call.endpoint) for call in self.host.calls.out}
        out |= {
            m.dest
            for c in self.host.calls.out
            for item in c.items
            if (m := self.host.journal.pending.get(item.number))
        }
        for dest, (table, quiet) in list(self.leaving.items()):
            if dest in out:
                self.leaving[dest] = (table, 0)
            elif quiet + 1 < QUIET:
                self.leaving[dest] = (table, quiet + 1)
            else:
                del self.leaving[dest]
                self.told(DestinationReleased(self._release(dest, table)))
                self.hand_over(dest)
        if self.leaving:
            self._look_again()

    def _release(self, dest: int, table: int) -> Release:
        listing, now = self.host.registry, self.host.clock()
        waits = tuple(
            RemainingSpan(uid, until - now) for d, uid, until in listing.active_retry_after() if d == dest
        )
        drains = tuple(
            RemainingSpan(listing.names[e.endpoint], DRAIN_US)
            for e in self._entries(dest)
            if e.state is EndpointState.DRAINING
        )
        return Release(dest, self.me, table, waits, drains, self._cold(dest))

    def _cold(self, dest: int) -> bool:
        """Some endpoint is out, or came back lately."""
        found = self.host.courier.state.destinations.get(dest)
        endpoints = [ep for lane in found.scopes for ep in lane.endpoints.values()] if found else []
        return any(ep.circuit.is_open or ep.circuit.slow_start_since_us >= 0 for ep in endpoints)

    def hand_over(self, dest: int) -> None:
        """All messages for a destination that another site serves go there."""
        for m in [m for m in self.host.journal.pending.values() if m.dest == dest and not m.status]:
            self.passed_on(m)

    # The list

    def _entries(self, dest: int) -> list[EndpointEntry]:
        return [e for e in self.host.registry.entries.values() if e.destination == dest]

    def _dest(self, endpoint: int) -> int:
        entry = self.host.registry.entries.get(endpoint)
        return entry.destination if entry else -1

    def _show(self, entries: Iterable[EndpointEntry]) -> None:
        if shown := list(entries):
            self.host.post_list_update(ListUpdateKind.DELTA, shown)
