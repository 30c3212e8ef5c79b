"""Applies the federation's decisions on which destinations this courier serves.

Performs BeginServing, Relinquish and SuspendServing. A destination that is not served is listed as draining:
the engine sends nothing there and keeps its statistics. A destination is released once no call to it is in
flight; its pending messages are then forwarded to the site that serves it.
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

CALL_CHECK_S = 0.02  # interval of the checks for calls in flight to relinquished destinations
CHECKS_WITHOUT_CALLS = (
    2  # consecutive checks without a call: the cycle that handles their outcomes lies between
)
DRAIN_SPAN_US = 3_600_000_000  # the new owner's own endpoint list shows the drain within this time
log = logging.getLogger(__name__)


class Serving:
    """Keeps the set of served destinations and shows it to the engine in the endpoint list.

    `may_call` is evaluated just before each call; `on_released` reports releases to the federation's machine;
    `forward_message` sends a message to the site that serves its destination. With `has_lease`, a suspension
    aborts calls in flight, because the right to make them ends with the lease; without it they run to their
    end.
    """

    def __init__(
        self,
        host: Host,
        member_id: MemberId,
        may_call: Callable[[int], bool],
        on_released: Callable[[DestinationReleased], None],
        forward_message: Callable[[PendingMessage], None],
        has_lease: bool,
    ) -> None:
        self.host, self.member_id, self.may_call, self.on_released, self.forward_message = (
            host,
            member_id,
            may_call,
            on_released,
            forward_message,
        )
        self.has_lease = has_lease
        self.suspension = SuspendServing(True, "has not started")
        self.served: set[int] = set()
        # table number, consecutive checks without a call
        self.releasing: dict[int, tuple[int, int]] = {}
        self.is_check_scheduled = False
        self.may_start_call: Callable[[int], bool] | None = (
            None  # set if couriers of a site share findings and limits
        )
        # last change of the table in force or of the suspension
        self.changed_at_us = host.clock()
        host.registry.is_served = self.serves

    # Queries

    def serves(self, dest: int) -> bool:
        """Whether a call to the destination may start now."""
        return self.owns(dest) and (self.may_start_call is None or self.may_start_call(dest))

    def owns(self, dest: int) -> bool:
        """Whether this courier delivers the messages for the destination."""
        return (
            dest in self.served
            and not (self.suspension.is_suspended and self.is_dest_suspended(dest))
            and self.may_call(dest)
        )

    def is_dest_suspended(self, dest: int) -> bool:
        """Whether serving of the destination is suspended until the table in force is known."""
        return self.suspension.is_suspended and (
            self.suspension.destinations is None or dest in self.suspension.destinations
        )

    def objection(self, table: Table, site: str) -> str:
        """Return why this site can't serve the table, with the path of the first fault; "" if it can."""
        for dest, owner in sorted(table.owners.items()):
            if owner == site and dest not in self.host.registry.dests:
                return f"owners.{dest}: this site's partner list has no endpoint of it"
        return ""

    # Decisions of the federation

    def begin_serving(self, action: BeginServing) -> None:
        """Start to serve a destination, with the waits, drains and slow start in its releases."""
        dest, registry = action.dest, self.host.registry
        self.releasing.pop(dest, None)
        if dest in self.served:
            return
        self.served.add(dest)
        now = self.host.clock()
        waiting: dict[int, EndpointEntry] = {}
        for release in action.releases:
            for wait in release.retry_waits:
                uid = wait.uid if wait.uid in registry.uids else ""
                for entry in registry.adopt_retry_after(dest, uid, now + wait.remaining_us):
                    waiting_entry = waiting.get(entry.endpoint, entry)
                    until = max(waiting_entry.retry_after_until_us, entry.retry_after_until_us)
                    waiting[entry.endpoint] = replace(entry, retry_after_until_us=until)
            registry.relayed_drains.update(dict.fromkeys(w.uid for w in release.draining))
        cold = any(release.is_cold for release in action.releases)
        entries = [waiting.get(e.endpoint, e) for e in self._entries(dest)]
        self._post_entries([replace(e, recovering=cold or e.recovering) for e in entries])
        if action.releases:
            log.info(
                "federation: destination %d is served here: %d waits, %s",
                dest,
                sum(len(r.retry_waits) for r in action.releases),
                "cold" if cold else "warm",
            )

    def relinquish(self, action: Relinquish) -> None:
        """Start no more calls to the destination, and report its release when none is in flight."""
        self.served.discard(action.dest)
        self.releasing[action.dest] = (action.table_number, 0)
        log.info("federation: destination %d is relinquished by table %d", action.dest, action.table_number)
        self._unlist([action.dest])
        self._schedule_check()

    def set_suspension(self, suspension: SuspendServing) -> None:
        """Replace the current suspension."""
        before, self.suspension = self.suspension, suspension
        if before.is_suspended is not suspension.is_suspended:
            self.changed_at_us = self.host.clock()
        if suspension.is_suspended and suspension.reason != before.reason:
            log.warning("federation: serving suspended: %s", suspension.reason)
        elif before.is_suspended and not suspension.is_suspended:
            log.info("federation: served again")
        if suspension.is_suspended:
            suspended = (
                self.served if suspension.destinations is None else self.served & suspension.destinations
            )
            self._unlist(sorted(suspended))
            for call in [
                c
                for c in self.host.calls.out
                if self.has_lease and self._destination_of(c.endpoint) in suspended
            ]:
                call.drop()  # a call must not outlast the lease
        self._post_entries([e for dest in sorted(self.served) for e in self._entries(dest)])

    def repost_list(self) -> None:
        """Post the whole list to the engine: a lease ended or began."""
        self._post_entries(self.host.registry.entries.values())

    # Release

    def _unlist(self, dests: list[int]) -> None:
        entries = [e for dest in dests for e in self._entries(dest)]
        for entry in entries:
            self.host.calls.close_idle(entry.endpoint)
        self._post_entries(entries)

    def _schedule_check(self) -> None:
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.host.schedule(CALL_CHECK_S, self._check_calls)

    def _check_calls(self) -> None:
        self.is_check_scheduled = False
        destinations_in_flight = {self._destination_of(call.endpoint) for call in self.host.calls.out}
        destinations_in_flight |= {
            message.dest
            for open_call in self.host.calls.out
            for item in open_call.items
            if (message := self.host.journal.pending.get(item.number))
        }
        for dest, (table, checks) in list(self.releasing.items()):
            if dest in destinations_in_flight:
                self.releasing[dest] = (table, 0)
            elif checks + 1 < CHECKS_WITHOUT_CALLS:
                self.releasing[dest] = (table, checks + 1)
            else:
                del self.releasing[dest]
                self.on_released(DestinationReleased(self._release(dest, table)))
                self.forward_pending(dest)
        if self.releasing:
            self._schedule_check()

    def _release(self, dest: int, table: int) -> Release:
        registry, now = self.host.registry, self.host.clock()
        waits = tuple(
            RemainingSpan(uid, until - now)
            for waiting_dest, uid, until in registry.active_retry_after()
            if waiting_dest == dest
        )
        drains = tuple(
            RemainingSpan(registry.names[e.endpoint], DRAIN_SPAN_US)
            for e in self._entries(dest)
            if e.state is EndpointState.DRAINING
        )
        return Release(dest, self.member_id, table, waits, drains, self._is_cold(dest))

    def _is_cold(self, dest: int) -> bool:
        """Whether an endpoint has an open circuit or is in slow start."""
        found = self.host.courier.state.destinations.get(dest)
        endpoints = [ep for lane in found.scopes for ep in lane.endpoints.values()] if found else []
        return any(ep.circuit.is_open or ep.circuit.slow_start_since_us >= 0 for ep in endpoints)

    def forward_pending(self, dest: int) -> None:
        """Forward all pending messages of the destination to the site that serves it."""
        for message in [
            message
            for message in self.host.journal.pending.values()
            if message.dest == dest and not message.status
        ]:
            self.forward_message(message)

    # Endpoint list

    def _entries(self, dest: int) -> list[EndpointEntry]:
        return [e for e in self.host.registry.entries.values() if e.destination == dest]

    def _destination_of(self, endpoint: int) -> int:
        entry = self.host.registry.entries.get(endpoint)
        return entry.destination if entry else -1

    def _post_entries(self, entries: Iterable[EndpointEntry]) -> None:
        if posted := list(entries):
            self.host.post_list_update(ListUpdateKind.DELTA, posted)
