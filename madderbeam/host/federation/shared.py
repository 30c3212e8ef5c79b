"""What the couriers of one site share, connected to the host: findings about partners, leases on their rates.

Collects what this courier learns from calls and its endpoint list, and what other couriers report. The engine
gets it as endpoint list entries: with a Retry-After, draining, in slow start, at a connection limit or with
another rate. Such entries never loosen a restriction that the engine knows itself.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.federation.values import Table
from madderbeam.host.federation.limits import LimitLeases
from madderbeam.host.federation.serving import Serving
from madderbeam.host.host import Host
from madderbeam.membership.values import Incarnation, MemberId
from madderbeam.policy.events import AttemptResult, EndpointEntry, EndpointState, ListUpdateKind
from madderbeam.policy.state import Destination
from madderbeam.shared.leases import Leases
from madderbeam.shared.partner_outages import PartnerOutages
from madderbeam.shared.rate_meter import RateMeter
from madderbeam.shared.values import (
    ApplyFinding,
    CallAnswered,
    CallFailed,
    Finding,
    FindingExpired,
    FindingKind,
    Limit,
    LocalFinding,
    Need,
    SetAllowance,
    SetProbing,
    SiteMembers,
)
from madderbeam.transport.calls import Item, Outcome

LOOK_S = 0.25  # interval of the checks of the engine's state
FAILURE_CHECK_S = 0.005  # delay of the check after a failed call
OUTAGE_FINDING_US = 3_000_000  # lifetime of an outage finding; renewed while messages for it are pending
OUTAGE_FAILURES = 3  # consecutive failed calls to a destination that count as an outage
TABLE_FULL_FINDING_US = 2_000_000  # lifetime of the finding that a connection table is full
RATE_FINDING_US = 5_000_000  # lifetime of a rate limit found from rejections
MAX_PROBE_INTERVAL_US = 1_000_000  # maximum probe interval of the courier that probes for the site
# Results that an outage causes.
OUTAGE_RESULTS = (
    AttemptResult.RESET,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.TIMEOUT,
)
MAX_START_WAIT_S = 1.0  # after a start, calls wait at most this long for findings of other members
ENGINE_CYCLE_S = 0.02  # the engine has run a cycle within this time
MIN_RATE_INCREASE = 0.1  # smaller relative increases of a leased rate are not posted to the engine
log = logging.getLogger(__name__)


class Shared:
    """Exchanges findings and leases between the host and the two state machines.

    `post_finding` posts events to the findings machine, `post_lease_event` to the lease machine.
    """

    def __init__(
        self,
        host: Host,
        member_id: MemberId,
        incarnation: Incarnation,
        serving: Serving,
        partners: PartnerOutages,
        leases: Leases,
        post_finding: Callable[[Any], None],
        post_lease_event: Callable[[Any], None],
    ) -> None:
        self.host, self.me, self.serving = host, member_id, serving
        self.partners, self.leases, self.news, self.lease = partners, leases, post_finding, post_lease_event
        self.out: set[int] = set()  # destinations with an outage found by this courier
        # destinations with a failed call and no later reply
        self.failed: set[int] = set()
        self.answered_us: dict[int, int] = {}
        self.is_check_scheduled = False
        # destinations that another member probes, or that two members suspect
        self.held: set[int] = set()
        # endpoint -> when its full connection table was last reported
        self.table_full_at_us: dict[int, int] = {}
        # destinations that rejected a call as overloaded since the last check
        self.refused: set[int] = set()
        # when another member found a destination recovered
        self.back_us: dict[int, int] = {}
        self.drains: set[str] = set()  # uids of endpoints whose drain was reported
        # destination -> rate last posted to the engine
        self.rates: dict[int, float] = {}
        # destination -> end of the lease behind that rate
        self.until: dict[int, int] = {}
        # destinations whose expired lease the engine still uses
        self.stale: set[int] = set()
        self.arrivals: dict[int, int] = {}
        self.meters: dict[int, RateMeter] = {}
        self.limits: dict[str, Limit] = {}
        self.members = 1
        self.more = LimitLeases(host, leases, post_lease_event)
        self.closed = False
        self.warming = True
        host.registry.shared_rate, host.registry.add_shared_findings = self.rate, self.learnt
        serving.before_call = self.before_call
        previous_told_wait, previous_ended = host.calls.hooks.told_wait, host.calls.hooks.ended

        def told_wait(endpoint: int, wait_us: int) -> None:
            previous_told_wait(endpoint, wait_us)
            self._waits(endpoint, wait_us)

        def on_call_ended(item: Item, endpoint: int, outcome: Outcome, latency_us: int) -> None:
            previous_ended(item, endpoint, outcome, latency_us)
            if outcome.result is AttemptResult.OK:
                self.answered(endpoint)
            elif outcome.result in OUTAGE_RESULTS:
                self._call_failed(endpoint, latency_us)
            elif outcome.result is AttemptResult.OVERLOADED and (entry := self._entry(endpoint)) is not None:
                self.refused.add(entry.destination)

        host.calls.hooks.told_wait, host.calls.hooks.ended = told_wait, on_call_ended

    def open(self) -> None:
        """Start the checks; calls wait a moment for the findings of other members."""
        self.host.schedule(MAX_START_WAIT_S, self.warm)
        self._look()

    def warm(self) -> None:
        """Permit calls: findings of another member have arrived, or the wait is over."""
        if self.warming:
            self.warming = False
            self.serving.refresh()

    def table(self, table: Table, earlier: tuple[tuple[MemberId, ...], ...] = ()) -> None:
        """Apply the members of this site in the table in force; `earlier` are those of previous tables."""
        members = table.members(self.me.site)
        self.members = max(1, len(members))
        site = SiteMembers(members, earlier, is_first_table=table.number <= 1)
        self.news(site)
        self._post_rate_limits()
        self.more.table(self.members)
        self.lease(site)

    def close(self) -> None:
        """Stop the periodic checks."""
        self.closed = True

    # Before a call

    def before_call(self, dest: int) -> bool:
        """Whether a call may start: no other member probes the destination and its lease has not expired."""
        if self.warming or dest in self.held:
            return False
        if dest in self.until and self.host.clock() >= self.until[dest]:
            # Calls chosen under the expired lease are returned until the engine uses the unleased rate.
            self.stale.add(dest)
            self._rate(dest, self.leases.amount(f"rate/{dest}", self.host.clock()), 0)
            self.host.schedule(ENGINE_CYCLE_S, lambda: self._told(dest))
        return dest not in self.stale

    def _told(self, dest: int) -> None:
        """Permit calls again: the engine has handled the end of the lease."""
        self.stale.discard(dest)
        self._show(dest)

    # Local findings

    def _entry(self, endpoint: int) -> EndpointEntry | None:
        return self.host.registry.entries.get(endpoint)

    def _waits(self, endpoint: int, wait_us: int) -> None:
        if (entry := self._entry(endpoint)) is not None:
            per_endpoint = self.host.settings.kinds[
                min(entry.kind, len(self.host.settings.kinds) - 1)
            ].limits_per_endpoint
            uid = self.host.registry.names[endpoint] if per_endpoint else ""
            self.news(LocalFinding(Finding(FindingKind.RETRY_AFTER, entry.destination, uid, wait_us)))

    def answered(self, endpoint: int) -> None:
        """Note a reply of the endpoint, and report the recovery of a destination that was out."""
        if (entry := self._entry(endpoint)) is None:
            return
        dest, now = entry.destination, self.host.clock()
        self.answered_us[dest] = now
        self.failed.discard(dest)
        if self.partners.answered(now, dest):
            self.news(CallAnswered(dest))
        if dest in self.out:
            self.out.discard(dest)
            log.info("federation: destination %d has recovered", dest)
            was_probing = dest in self.partners.probing
            self.news(LocalFinding(Finding(FindingKind.RECOVERY, dest, "", self.host.settings.warm_up_us)))
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
            if was_probing:
                self._show(dest, cold=True)

    def _call_failed(self, endpoint: int, latency_us: int) -> None:
        """Report a failed call, unless a call that started later has succeeded."""
        entry, now = self._entry(endpoint), self.host.clock()
        if entry is None or self.answered_us.get(entry.destination, -1) >= now - latency_us:
            return
        self.failed.add(entry.destination)
        self.news(CallFailed(entry.destination))
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.host.schedule(FAILURE_CHECK_S, self._check_failed)

    def listed(self) -> None:
        """Report new drains of the endpoint list and update the limits."""
        registry = self.host.registry
        draining = {
            registry.names[listed_entry.endpoint]: listed_entry.destination
            for listed_entry in registry.entries.values()
            if listed_entry.state is EndpointState.DRAINING
        }
        for uid in draining.keys() - self.drains:
            self.news(
                LocalFinding(
                    Finding(FindingKind.DRAIN, draining[uid], uid, self.host.settings.drain_grace_us)
                )
            )
        self.drains = set(draining)
        self._post_rate_limits()
        self.more.listed()

    def _check_failed(self) -> None:
        self.is_check_scheduled = False
        for number in sorted(self.failed):
            if not self.closed and (dest := self.host.courier.state.destinations.get(number)) is not None:
                self._check_outage(number, dest)

    def _check_outage(self, number: int, dest: Destination) -> None:
        """Report the begin or end of an outage, judged by the engine's state."""
        endpoints = [endpoint for scope in dest.scopes for endpoint in scope.endpoints.values()]
        is_failing = all(
            scope.failures_in_a_row >= OUTAGE_FAILURES and scope.failing_since_us >= 0
            for scope in dest.scopes
        )
        is_out = all(endpoint.circuit.is_open for endpoint in endpoints) or (
            number in self.failed and is_failing
        )
        # The engine's state may be from before the recovery.
        recovered_lately = self.host.clock() - self.back_us.get(number, 0) < LOOK_S * 1e6
        if endpoints and is_out and not recovered_lately and (dest.queue or dest.in_flight):
            self.out.add(number)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, number, "", OUTAGE_FINDING_US)))
        elif number in self.out and not any(endpoint.circuit.is_open for endpoint in endpoints):
            self.out.discard(number)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, number, "", 0)))

    def _check_limits(self, number: int, dest: Destination) -> None:
        """Report full connection tables, and paces that rejections led to where no rate is listed."""
        for scope in dest.scopes:
            for endpoint in scope.endpoints.values():
                uid = self.host.registry.names.get(endpoint.id)
                if (
                    endpoint.connection_limit_at_us > self.table_full_at_us.get(endpoint.id, 0)
                    and endpoint.connection_limit < math.inf
                    and uid is not None
                ):
                    self.table_full_at_us[endpoint.id] = endpoint.connection_limit_at_us
                    left_us = endpoint.connection_limit_at_us + TABLE_FULL_FINDING_US - self.host.clock()
                    self.news(LocalFinding(Finding(FindingKind.TABLE_FULL, number, uid, max(0, left_us))))
            if scope.pace_per_s and not scope.listed_rate_per_s and number in self.refused:
                self.news(
                    LocalFinding(
                        Finding(FindingKind.RATE_LIMIT, number, "", RATE_FINDING_US, scope.pace_per_s)
                    )
                )

    def _look(self) -> None:
        """Check the engine's state for outages, limits and demand, periodically."""
        if self.closed:
            return
        self.table_full_at_us = {
            endpoint: at_us
            for endpoint, at_us in self.table_full_at_us.items()
            if endpoint in self.host.courier.state.endpoints
        }
        for number, dest in list(self.host.courier.state.destinations.items()):
            self._check_outage(number, dest)
            self._check_limits(number, dest)
            self.refused.discard(number)
            if f"rate/{number}" in self.limits:
                arrived = dest.arrivals - self.arrivals.get(number, 0)
                self.arrivals[number] = dest.arrivals
                meter = self.meters.setdefault(number, RateMeter())
                meter.record_arrivals(arrived, LOOK_S)
                self.lease(Need(f"rate/{number}", meter.needed_rate(len(dest.queue))))
        self.more.look(LOOK_S)
        self.host.schedule(LOOK_S, self._look)

    def _post_rate_limits(self) -> None:
        """Post the listed rates of partners, which all members share, to the lease machine."""
        if not self.host.settings.rates_listed:
            return
        for entry in self.host.registry.entries.values():
            name = f"rate/{entry.destination}"
            limit = Limit(name, entry.rate_per_s, entry.rate_per_s / self.members)
            if entry.rate_per_s > 0 and self.limits.get(name) != limit:
                self.limits[name] = limit
                self.lease(limit)

    # Findings of other members

    def heed(self, action: ApplyFinding) -> None:
        """Apply a finding of another member, which restricts the calls of this courier."""
        finding, registry = action.finding, self.host.registry
        if finding.kind is FindingKind.RETRY_AFTER:
            uid = finding.uid if finding.uid in registry.uids else ""
            entries = registry.adopt_retry_after(finding.dest, uid, self.host.clock() + finding.left_us)
            self.host.post_list_update(ListUpdateKind.DELTA, entries)
        elif finding.kind is FindingKind.DRAIN and finding.uid in registry.uids:
            registry.relayed_drains[finding.uid] = None
            self._show(finding.dest)
        elif finding.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            if finding.kind is FindingKind.OUTAGE:
                log.info(
                    "federation: destination %d has an outage, reported by %s; %s probes it",
                    finding.dest,
                    action.source,
                    self.partners.prober(self.host.clock(), finding.dest),
                )
            if finding.dest not in self.held:
                self.held.add(finding.dest)
                self._show(finding.dest)
        elif finding.kind is FindingKind.RECOVERY:
            self._recovered_elsewhere(finding.dest)
        elif finding.kind is FindingKind.TABLE_FULL and finding.uid in registry.uids:
            until_us = self.host.clock() + min(finding.left_us, TABLE_FULL_FINDING_US)
            self._post_changed(
                finding.dest,
                lambda listed_entry: replace(listed_entry, connect_not_before_us=until_us),
                finding.uid,
            )
        elif finding.kind is FindingKind.RATE_LIMIT and not any(
            listed_entry.rate_per_s for listed_entry in self._entries(finding.dest)
        ):
            self._post_changed(
                finding.dest, lambda listed_entry: replace(listed_entry, paced_per_s=finding.value)
            )

    def _recovered_elsewhere(self, dest: int) -> None:
        """Drop earlier findings about a destination that another member found recovered; use slow start."""
        self.failed.discard(dest)
        self.back_us[dest] = self.host.clock()
        if dest in self.out:
            self.out.discard(dest)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
        self._show(dest, cold=True)

    def lapsed(self, action: FindingExpired) -> None:
        """Stop applying a finding that expired."""
        if action.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            self.held.discard(action.dest)
            self._show(action.dest, cold=action.kind is FindingKind.OUTAGE)

    def try_for(self, action: SetProbing) -> None:
        """Begin or end probing a destination on behalf of the site."""
        self._show(action.dest)
        log.info(
            "federation: destination %d: this courier %s it",
            action.dest,
            "probes" if action.enabled else "stops probing",
        )

    # Leases

    def allot(self, action: SetAllowance) -> None:
        """Apply a changed allowance of a rate, a connection limit or a quota."""
        kind, _, dest = action.resource.partition("/")
        if kind == "rate" and dest.isdecimal():
            is_leased = self.host.clock() < action.until_us
            self._rate(
                int(dest),
                action.amount if is_leased else action.fallback,
                action.until_us if is_leased else 0,
            )
        else:
            self.more.allot(action)

    def _rate(self, dest: int, amount: float, until_us: int) -> None:
        before = self.rates.get(dest)
        if until_us:
            self.until[dest] = until_us
        else:
            self.until.pop(dest, None)
        if before is None or amount < before or abs(amount - before) > MIN_RATE_INCREASE * before:
            self.rates[dest] = amount
            self._show(dest)

    def rate(self, entry: EndpointEntry) -> float:
        """Return the rate to list for the entry, per second: the leased rate times the couriers."""
        amount = self.rates.get(entry.destination)
        return entry.rate_per_s if amount is None else max(1e-3, amount) * self.host.settings.courier_count

    def learnt(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry with the probe interval of the prober, and whether its rate is leased."""
        interval_us = MAX_PROBE_INTERVAL_US if entry.destination in self.partners.probing else 0
        return replace(
            entry, max_probe_interval_us=interval_us, rate_is_leased=entry.destination in self.rates
        )

    def _entries(self, dest: int) -> list[EndpointEntry]:
        return [e for e in self.host.registry.entries.values() if e.destination == dest]

    def _show(self, dest: int, cold: bool = False) -> None:
        slow_start_share = 1 / max(1, self.partners.board.live_member_count) if cold else 1.0
        self._post_changed(
            dest, lambda e: replace(e, recovering=cold or e.recovering, slow_start_share=slow_start_share)
        )

    def _post_changed(
        self, dest: int, change: Callable[[EndpointEntry], EndpointEntry], uid: str = ""
    ) -> None:
        """Post the changed entries of the destination, or of one endpoint, to the engine."""
        names = self.host.registry.names
        entries = [e for e in self._entries(dest) if uid in ("", names[e.endpoint])]
        self.host.post_list_update(ListUpdateKind.DELTA, list(map(change, entries)))

    # Admin address

    def status(self, now_us: int) -> dict[str, Any]:
        """Return the section of GET /federation on findings and leases."""
        return {
            **self.partners.status(now_us),
            "held_back": sorted(self.held),
            "leases": self.leases.status(now_us),
            **self.more.status(),
        }
