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
from madderbeam.host.federation.limit_leases import LimitLeases
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
from madderbeam.transport.calls import Item
from madderbeam.transport.response_outcomes import Outcome

CHECK_S = 0.25  # interval of the checks of the engine's state
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


class SiteSharing:
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
        self.host, self.member_id, self.serving = host, member_id, serving
        self.partners, self.leases, self.post_finding, self.post_lease_event = (
            partners,
            leases,
            post_finding,
            post_lease_event,
        )
        self.outages: set[int] = set()  # destinations with an outage found by this courier
        # destinations with a failed call and no later success
        self.failed_destinations: set[int] = set()
        self.last_success_at_us: dict[int, int] = {}  # by destination
        self.is_check_scheduled = False
        # destinations that get no calls from here: another member probes them, or two members suspect them
        self.held_off: set[int] = set()
        # endpoint -> when its full connection table was last reported
        self.table_full_at_us: dict[int, int] = {}
        # destinations that rejected a call as overloaded since the last check
        self.overloaded: set[int] = set()
        # when another member found a destination recovered
        self.recovered_at_us: dict[int, int] = {}
        self.reported_drains: set[str] = set()  # uids of endpoints whose drain was reported
        # destination -> rate last posted to the engine
        self.posted_rates: dict[int, float] = {}
        # destination -> end of the lease behind that rate
        self.leased_until_us: dict[int, int] = {}
        # destinations whose expired lease the engine still uses
        self.expired: set[int] = set()
        self.arrivals: dict[int, int] = {}
        self.meters: dict[int, RateMeter] = {}
        self.rate_limits: dict[str, Limit] = {}
        self.member_count = 1
        self.limit_leases = LimitLeases(host, leases, post_lease_event)
        self.closed = False
        self.is_waiting_for_findings = True
        host.registry.shared_rate, host.registry.add_shared_findings = self.listed_rate, self.add_findings
        serving.may_start_call = self.may_start_call
        previous_on_retry_after, previous_on_call_ended = host.calls.hooks.told_wait, host.calls.hooks.ended

        def on_retry_after(endpoint: int, wait_us: int) -> None:
            previous_on_retry_after(endpoint, wait_us)
            self._retry_after_received(endpoint, wait_us)

        def on_call_ended(item: Item, endpoint: int, outcome: Outcome, latency_us: int) -> None:
            previous_on_call_ended(item, endpoint, outcome, latency_us)
            if outcome.result is AttemptResult.OK:
                self._call_succeeded(endpoint)
            elif outcome.result in OUTAGE_RESULTS:
                self._call_failed(endpoint, latency_us)
            elif outcome.result is AttemptResult.OVERLOADED and (entry := self._entry(endpoint)) is not None:
                self.overloaded.add(entry.destination)

        host.calls.hooks.told_wait, host.calls.hooks.ended = on_retry_after, on_call_ended

    def open(self) -> None:
        """Start the checks; calls wait a moment for the findings of other members."""
        self.host.schedule(MAX_START_WAIT_S, self.stop_waiting)
        self._check_all()

    def stop_waiting(self) -> None:
        """Permit calls: findings of another member have arrived, or the wait is over."""
        if self.is_waiting_for_findings:
            self.is_waiting_for_findings = False
            self.serving.repost_list()

    def apply_table(self, table: Table, earlier: tuple[tuple[MemberId, ...], ...] = ()) -> None:
        """Apply the members of this site in the table in force; `earlier` are those of previous tables."""
        members = table.members(self.member_id.site)
        self.member_count = max(1, len(members))
        site = SiteMembers(members, earlier, is_first_table=table.number <= 1)
        self.post_finding(site)
        self._post_rate_limits()
        self.limit_leases.apply_table(self.member_count)
        self.post_lease_event(site)

    def close(self) -> None:
        """Stop the periodic checks."""
        self.closed = True

    # Before a call

    def may_start_call(self, dest: int) -> bool:
        """Whether a call may start: no other member probes the destination and its lease has not expired."""
        if self.is_waiting_for_findings or dest in self.held_off:
            return False
        if dest in self.leased_until_us and self.host.clock() >= self.leased_until_us[dest]:
            # Calls chosen under the expired lease are returned until the engine uses the unleased rate.
            self.expired.add(dest)
            self._set_rate(dest, self.leases.amount(f"rate/{dest}", self.host.clock()), 0)
            self.host.schedule(ENGINE_CYCLE_S, lambda: self._lease_end_handled(dest))
        return dest not in self.expired

    def _lease_end_handled(self, dest: int) -> None:
        """Permit calls again: the engine has handled the end of the lease."""
        self.expired.discard(dest)
        self._repost_entries(dest)

    # Local findings

    def _entry(self, endpoint: int) -> EndpointEntry | None:
        return self.host.registry.entries.get(endpoint)

    def _retry_after_received(self, endpoint: int, wait_us: int) -> None:
        if (entry := self._entry(endpoint)) is not None:
            per_endpoint = self.host.settings.kinds[
                min(entry.kind, len(self.host.settings.kinds) - 1)
            ].limits_per_endpoint
            uid = self.host.registry.names[endpoint] if per_endpoint else ""
            self.post_finding(LocalFinding(Finding(FindingKind.RETRY_AFTER, entry.destination, uid, wait_us)))

    def _call_succeeded(self, endpoint: int) -> None:
        """Record a successful call, and report the recovery if the destination had an outage."""
        if (entry := self._entry(endpoint)) is None:
            return
        dest, now = entry.destination, self.host.clock()
        self.last_success_at_us[dest] = now
        self.failed_destinations.discard(dest)
        if self.partners.answered(now, dest):
            self.post_finding(CallAnswered(dest))
        if dest in self.outages:
            self.outages.discard(dest)
            log.info("federation: destination %d has recovered", dest)
            was_probing = dest in self.partners.probing
            self.post_finding(
                LocalFinding(Finding(FindingKind.RECOVERY, dest, "", self.host.settings.warm_up_us))
            )
            self.post_finding(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
            if was_probing:
                self._repost_entries(dest, cold=True)

    def _call_failed(self, endpoint: int, latency_us: int) -> None:
        """Report a failed call, unless a call that started later has succeeded."""
        entry, now = self._entry(endpoint), self.host.clock()
        if entry is None or self.last_success_at_us.get(entry.destination, -1) >= now - latency_us:
            return
        self.failed_destinations.add(entry.destination)
        self.post_finding(CallFailed(entry.destination))
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.host.schedule(FAILURE_CHECK_S, self._check_failed)

    def on_list_changed(self) -> None:
        """Called when the endpoint list has changed: report endpoints that began to drain, update limits."""
        registry = self.host.registry
        draining = {
            registry.names[listed_entry.endpoint]: listed_entry.destination
            for listed_entry in registry.entries.values()
            if listed_entry.state is EndpointState.DRAINING
        }
        for uid in draining.keys() - self.reported_drains:
            self.post_finding(
                LocalFinding(
                    Finding(FindingKind.DRAIN, draining[uid], uid, self.host.settings.drain_grace_us)
                )
            )
        self.reported_drains = set(draining)
        self._post_rate_limits()
        self.limit_leases.on_list_changed()

    def _check_failed(self) -> None:
        self.is_check_scheduled = False
        for number in sorted(self.failed_destinations):
            if not self.closed and (dest := self.host.courier.state.destinations.get(number)) is not None:
                self._check_outage(number, dest)

    def _check_outage(self, number: int, dest: Destination) -> None:
        """Report the begin or end of an outage, judged by the engine's state."""
        endpoints = [endpoint for scope in dest.scopes for endpoint in scope.endpoints.values()]
        is_failing = all(
            scope.failures_in_a_row >= OUTAGE_FAILURES and scope.failing_since_us >= 0
            for scope in dest.scopes
        )
        # Rejections for overload open circuits too, and others may still be answered.
        has_failed = any(scope.failing_since_us >= 0 for scope in dest.scopes)
        is_out = (has_failed and all(endpoint.circuit.is_open for endpoint in endpoints)) or (
            number in self.failed_destinations and is_failing
        )
        # The engine's state may be from before the recovery.
        recovered_lately = self.host.clock() - self.recovered_at_us.get(number, 0) < CHECK_S * 1e6
        if endpoints and is_out and not recovered_lately and (dest.queue or dest.in_flight):
            self.outages.add(number)
            self.post_finding(LocalFinding(Finding(FindingKind.OUTAGE, number, "", OUTAGE_FINDING_US)))
        elif number in self.outages and not any(endpoint.circuit.is_open for endpoint in endpoints):
            self.outages.discard(number)
            self.post_finding(LocalFinding(Finding(FindingKind.OUTAGE, number, "", 0)))

    def _check_limits(self, number: int, dest: Destination) -> None:
        """Report full connection tables, and the rates found by rejections if none is listed."""
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
                    self.post_finding(
                        LocalFinding(Finding(FindingKind.TABLE_FULL, number, uid, max(0, left_us)))
                    )
            if scope.pace_per_s and not scope.listed_rate_per_s and number in self.overloaded:
                self.post_finding(
                    LocalFinding(
                        Finding(FindingKind.RATE_LIMIT, number, "", RATE_FINDING_US, scope.pace_per_s)
                    )
                )

    def _check_all(self) -> None:
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
            self.overloaded.discard(number)
            if f"rate/{number}" in self.rate_limits:
                arrived = dest.arrivals - self.arrivals.get(number, 0)
                self.arrivals[number] = dest.arrivals
                meter = self.meters.setdefault(number, RateMeter())
                meter.record_arrivals(arrived, CHECK_S)
                self.post_lease_event(Need(f"rate/{number}", meter.needed_rate(len(dest.queue))))
        self.limit_leases.update_needs(CHECK_S)
        self.host.schedule(CHECK_S, self._check_all)

    def _post_rate_limits(self) -> None:
        """Post the listed rates of partners, which all members share, to the lease machine."""
        if not self.host.settings.rates_listed:
            return
        for entry in self.host.registry.entries.values():
            name = f"rate/{entry.destination}"
            limit = Limit(name, entry.rate_per_s, entry.rate_per_s / self.member_count)
            if entry.rate_per_s > 0 and self.rate_limits.get(name) != limit:
                self.rate_limits[name] = limit
                self.post_lease_event(limit)

    # Findings of other members

    def apply_finding(self, action: ApplyFinding) -> None:
        """Apply a finding of another member, which restricts the calls of this courier."""
        finding, registry = action.finding, self.host.registry
        if finding.kind is FindingKind.RETRY_AFTER:
            uid = finding.uid if finding.uid in registry.uids else ""
            entries = registry.adopt_retry_after(finding.dest, uid, self.host.clock() + finding.left_us)
            self.host.post_list_update(ListUpdateKind.DELTA, entries)
        elif finding.kind is FindingKind.DRAIN and finding.uid in registry.uids:
            registry.relayed_drains[finding.uid] = None
            self._repost_entries(finding.dest)
        elif finding.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            if finding.kind is FindingKind.OUTAGE:
                log.info(
                    "federation: destination %d has an outage, reported by %s; %s probes it",
                    finding.dest,
                    action.source,
                    self.partners.prober(self.host.clock(), finding.dest),
                )
            if finding.dest not in self.held_off:
                self.held_off.add(finding.dest)
                self._repost_entries(finding.dest)
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
        self.failed_destinations.discard(dest)
        self.recovered_at_us[dest] = self.host.clock()
        if dest in self.outages:
            self.outages.discard(dest)
            self.post_finding(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
        self._repost_entries(dest, cold=True)

    def finding_expired(self, action: FindingExpired) -> None:
        """Stop applying a finding that expired."""
        if action.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            self.held_off.discard(action.dest)
            self._repost_entries(action.dest, cold=action.kind is FindingKind.OUTAGE)

    def set_probing(self, action: SetProbing) -> None:
        """Begin or end probing a destination on behalf of the site."""
        self._repost_entries(action.dest)
        log.info(
            "federation: destination %d: this courier %s it",
            action.dest,
            "probes" if action.enabled else "stops probing",
        )

    # Leases

    def apply_allowance(self, action: SetAllowance) -> None:
        """Apply a changed allowance of a rate, a connection limit or a quota."""
        kind, _, dest = action.resource.partition("/")
        if kind == "rate" and dest.isdecimal():
            is_leased = self.host.clock() < action.until_us
            self._set_rate(
                int(dest),
                action.amount if is_leased else action.fallback,
                action.until_us if is_leased else 0,
            )
        else:
            self.limit_leases.apply_allowance(action)

    def _set_rate(self, dest: int, amount: float, until_us: int) -> None:
        previous_rate = self.posted_rates.get(dest)
        if until_us:
            self.leased_until_us[dest] = until_us
        else:
            self.leased_until_us.pop(dest, None)
        if (
            previous_rate is None
            or amount < previous_rate
            or abs(amount - previous_rate) > MIN_RATE_INCREASE * previous_rate
        ):
            self.posted_rates[dest] = amount
            self._repost_entries(dest)

    def listed_rate(self, entry: EndpointEntry) -> float:
        """Return the rate to list for the entry, per second: the leased rate times the couriers."""
        amount = self.posted_rates.get(entry.destination)
        return entry.rate_per_s if amount is None else max(1e-3, amount) * self.host.settings.courier_count

    def add_findings(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry with the probe interval of the prober, and whether its rate is leased."""
        interval_us = MAX_PROBE_INTERVAL_US if entry.destination in self.partners.probing else 0
        return replace(
            entry, max_probe_interval_us=interval_us, rate_is_leased=entry.destination in self.posted_rates
        )

    def _entries(self, dest: int) -> list[EndpointEntry]:
        return [e for e in self.host.registry.entries.values() if e.destination == dest]

    def _repost_entries(self, dest: int, cold: bool = False) -> None:
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
            "held_back": sorted(self.held_off),
            "leases": self.leases.status(now_us),
            **self.limit_leases.status(),
        }
