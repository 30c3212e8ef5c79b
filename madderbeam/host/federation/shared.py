"""What the couriers of one site share, joined with the turn: news of partners, and leases on their rates.

Gets what this courier learns from calls and its list, and what others tell; the decision module hears of it
as entries of the list: closed for a wait, draining, cold, full, with another rate. It never loosens what it
knows.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.federation.values import Table
from madderbeam.host.federation.limits import Limits
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

LOOK_S = 0.25  # what the decision module has found is looked at so often
SOON_S = 0.005  # and so soon after a call there has failed
OUT_US = 3_000_000  # an outage is told for so long, and again while there is something to try with
IN_A_ROW = 3  # calls to any endpoints that failed with none answered since: it is out
FULL_US = 2_000_000  # a full connection table is told for so long
LIMIT_US = 5_000_000  # and the pace that a refusal led to
TRIAL_GAP_US = 1_000_000  # longest ceiling of the gap between the trials of the one that tries for all
FAILING = (
    AttemptResult.RESET,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.TIMEOUT,
)  # as an outage would show
WARM_S = 1.0  # after a start others are waited for so long at most, before the first call
TOLD_S = 0.02  # the decision module has taken a turn by then
CHANGED = 0.1  # of a rate: a lease that changes by less is not told to the decision module
log = logging.getLogger(__name__)


class Shared:
    """`news` and `leases` take events for the two machines."""

    def __init__(
        self,
        host: Host,
        me: MemberId,
        life: Incarnation,
        serving: Serving,
        partners: PartnerOutages,
        leases: Leases,
        news: Callable[[Any], None],
        lease: Callable[[Any], None],
    ) -> None:
        self.host, self.me, self.serving = host, me, serving
        self.partners, self.leases, self.news, self.lease = partners, leases, news, lease
        self.out: set[int] = set()  # destinations that are out, as this courier finds
        self.failed: set[int] = set()  # destinations where a call failed, with none answered since
        self.answered_us: dict[int, int] = {}
        self.looking = False
        self.held: set[int] = set()  # destinations that another tries for all, or that two doubt
        self.full_us: dict[int, int] = {}  # when an endpoint's full table was told last
        self.refused: set[int] = set()  # destinations that refused as full since these were last looked at
        self.back_us: dict[int, int] = {}  # when another was answered by a destination that was out
        self.drains: set[str] = set()  # endpoints whose drain was told
        self.rates: dict[int, float] = {}  # what the decision module was told, by destination
        self.until: dict[int, int] = {}  # how long that holds
        self.stale: set[int] = set()  # whose lease has ended, which the decision module has not heard yet
        self.arrivals: dict[int, int] = {}
        self.meters: dict[int, RateMeter] = {}
        self.limits: dict[str, Limit] = {}
        self.members = 1
        self.more = Limits(host, leases, lease)
        self.closed = False
        self.warming = True
        host.registry.shared_rate, host.registry.add_shared_findings = self.rate, self.learnt
        serving.before_call = self.before_call
        told, ended = host.calls.hooks.told_wait, host.calls.hooks.ended

        def told_wait(endpoint: int, wait_us: int) -> None:
            told(endpoint, wait_us)
            self._waits(endpoint, wait_us)

        def over(item: Item, endpoint: int, outcome: Outcome, latency_us: int) -> None:
            ended(item, endpoint, outcome, latency_us)
            if outcome.result is AttemptResult.OK:
                self.answered(endpoint)
            elif outcome.result in FAILING:
                self._fails(endpoint, latency_us)
            elif outcome.result is AttemptResult.OVERLOADED and (entry := self._entry(endpoint)) is not None:
                self.refused.add(entry.destination)

        host.calls.hooks.told_wait, host.calls.hooks.ended = told_wait, over

    def open(self) -> None:
        """All has started. What others know is waited for, for a moment, before the first call."""
        self.host.schedule(WARM_S, self.warm)
        self._look()

    def warm(self) -> None:
        """Others have told what they know, or nobody is there."""
        if self.warming:
            self.warming = False
            self.serving.refresh()

    def table(self, table: Table, earlier: tuple[tuple[MemberId, ...], ...] = ()) -> None:
        """Another table is in force."""
        members = table.members(self.me.site)
        self.members = max(1, len(members))
        site = SiteMembers(members, earlier, is_first_table=table.number <= 1)
        self.news(site)
        self._limits()
        self.more.table(self.members)
        self.lease(site)

    def close(self) -> None:
        self.closed = True

    # Before a call

    def before_call(self, dest: int) -> bool:
        """Just before it is written: nobody else tries for all, and the lease has not ended."""
        if self.warming or dest in self.held:
            return False
        if dest in self.until and self.host.clock() >= self.until[dest]:
            # All that was chosen by it goes back, until the decision module goes by what there is without.
            self.stale.add(dest)
            self._rate(dest, self.leases.amount(f"rate/{dest}", self.host.clock()), 0)
            self.host.schedule(TOLD_S, lambda: self._told(dest))
        return dest not in self.stale

    def _told(self, dest: int) -> None:
        """The decision module has heard that a lease has ended."""
        self.stale.discard(dest)
        self._show(dest)

    # What this courier learns

    def _entry(self, endpoint: int) -> EndpointEntry | None:
        return self.host.registry.entries.get(endpoint)

    def _waits(self, endpoint: int, wait_us: int) -> None:
        if (entry := self._entry(endpoint)) is not None:
            apart = self.host.settings.kinds[
                min(entry.kind, len(self.host.settings.kinds) - 1)
            ].limits_per_endpoint
            uid = self.host.registry.names[endpoint] if apart else ""
            self.news(LocalFinding(Finding(FindingKind.RETRY_AFTER, entry.destination, uid, wait_us)))

    def answered(self, endpoint: int) -> None:
        """It answered: what was out is back, for all."""
        if (entry := self._entry(endpoint)) is None:
            return
        dest, now = entry.destination, self.host.clock()
        self.answered_us[dest] = now
        self.failed.discard(dest)
        if self.partners.answered(now, dest):
            self.news(CallAnswered(dest))
        if dest in self.out:
            self.out.discard(dest)
            log.info("federation: destination %d answers again", dest)
            tried = dest in self.partners.probing
            self.news(LocalFinding(Finding(FindingKind.RECOVERY, dest, "", self.host.settings.warm_up_us)))
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
            if tried:
                self._show(dest, cold=True)

    def _fails(self, endpoint: int, latency_us: int) -> None:
        """A call failed: where none that was sent later has been answered, others should know at once."""
        entry, now = self._entry(endpoint), self.host.clock()
        if entry is None or self.answered_us.get(entry.destination, -1) >= now - latency_us:
            return
        self.failed.add(entry.destination)
        self.news(CallFailed(entry.destination))
        if not self.looking:
            self.looking = True
            self.host.schedule(SOON_S, self._look_soon)

    def listed(self) -> None:
        """The list has changed: drains that are new here."""
        listing = self.host.registry
        now = {
            listing.names[e.endpoint]: e.destination
            for e in listing.entries.values()
            if e.state is EndpointState.DRAINING
        }
        for uid in now.keys() - self.drains:
            self.news(
                LocalFinding(Finding(FindingKind.DRAIN, now[uid], uid, self.host.settings.drain_grace_us))
            )
        self.drains = set(now)
        self._limits()
        self.more.listed()

    def _look_soon(self) -> None:
        self.looking = False
        for number in sorted(self.failed):
            if not self.closed and (dest := self.host.courier.state.destinations.get(number)) is not None:
                self._find(number, dest)

    def _find(self, number: int, dest: Destination) -> None:
        """Whether it is out, as the decision module has found."""
        endpoints = [ep for lane in dest.scopes for ep in lane.endpoints.values()]
        failing = all(
            lane.failures_in_a_row >= IN_A_ROW and lane.failing_since_us >= 0 for lane in dest.scopes
        )
        trouble = all(ep.circuit.is_open for ep in endpoints) or (number in self.failed and failing)
        known = self.host.clock() - self.back_us.get(number, 0) < LOOK_S * 1e6  # not found since
        if endpoints and trouble and not known and (dest.queue or dest.in_flight):
            self.out.add(number)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, number, "", OUT_US)))
        elif number in self.out and not any(ep.circuit.is_open for ep in endpoints):
            self.out.discard(number)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, number, "", 0)))

    def _find_bounds(self, number: int, dest: Destination) -> None:
        """Connection tables that were full, and the pace that refusals led to, where no rate is listed."""
        for lane in dest.scopes:
            for ep in lane.endpoints.values():
                uid = self.host.registry.names.get(ep.id)
                if (
                    ep.connection_limit_at_us > self.full_us.get(ep.id, 0)
                    and ep.connection_limit < math.inf
                    and uid is not None
                ):
                    self.full_us[ep.id] = ep.connection_limit_at_us
                    left_us = ep.connection_limit_at_us + FULL_US - self.host.clock()
                    self.news(LocalFinding(Finding(FindingKind.TABLE_FULL, number, uid, max(0, left_us))))
            if lane.pace_per_s and not lane.listed_rate_per_s and number in self.refused:
                self.news(
                    LocalFinding(Finding(FindingKind.RATE_LIMIT, number, "", LIMIT_US, lane.pace_per_s))
                )

    def _look(self) -> None:
        """What the decision module has found since."""
        if self.closed:
            return
        self.full_us = {n: at for n, at in self.full_us.items() if n in self.host.courier.state.endpoints}
        for number, dest in list(self.host.courier.state.destinations.items()):
            self._find(number, dest)
            self._find_bounds(number, dest)
            self.refused.discard(number)
            if f"rate/{number}" in self.limits:
                came = dest.arrivals - self.arrivals.get(number, 0)
                self.arrivals[number] = dest.arrivals
                meter = self.meters.setdefault(number, RateMeter())
                meter.record_arrivals(came, LOOK_S)
                self.lease(Need(f"rate/{number}", meter.needed_rate(len(dest.queue))))
        self.more.look(LOOK_S)
        self.host.schedule(LOOK_S, self._look)

    def _limits(self) -> None:
        """Partners' rates, of all members together."""
        if not self.host.settings.rates_listed:
            return
        for entry in self.host.registry.entries.values():
            name = f"rate/{entry.destination}"
            limit = Limit(name, entry.rate_per_s, entry.rate_per_s / self.members)
            if entry.rate_per_s > 0 and self.limits.get(name) != limit:
                self.limits[name] = limit
                self.lease(limit)

    # What others tell

    def heed(self, action: ApplyFinding) -> None:
        """Hold back by it."""
        news, listing = action.finding, self.host.registry
        if news.kind is FindingKind.RETRY_AFTER:
            uid = news.uid if news.uid in listing.uids else ""
            entries = listing.adopt_retry_after(news.dest, uid, self.host.clock() + news.left_us)
            self.host.post_list_update(ListUpdateKind.DELTA, entries)
        elif news.kind is FindingKind.DRAIN and news.uid in listing.uids:
            listing.relayed_drains[news.uid] = None
            self._show(news.dest)
        elif news.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            if news.kind is FindingKind.OUTAGE:
                log.info(
                    "federation: destination %d is out, says %s: %s tries for all",
                    news.dest,
                    action.source,
                    self.partners.prober(self.host.clock(), news.dest),
                )
            if news.dest not in self.held:
                self.held.add(news.dest)
                self._show(news.dest)
        elif news.kind is FindingKind.RECOVERY:
            self._is_back(news.dest)
        elif news.kind is FindingKind.TABLE_FULL and news.uid in listing.uids:
            until_us = self.host.clock() + min(news.left_us, FULL_US)
            self._tell(news.dest, lambda e: replace(e, connect_not_before_us=until_us), news.uid)
        elif news.kind is FindingKind.RATE_LIMIT and not any(e.rate_per_s for e in self._entries(news.dest)):
            self._tell(news.dest, lambda e: replace(e, paced_per_s=news.value))

    def _is_back(self, dest: int) -> None:
        """Another was answered there: what was found here before is void, and all begin cold."""
        self.failed.discard(dest)
        self.back_us[dest] = self.host.clock()
        if dest in self.out:
            self.out.discard(dest)
            self.news(LocalFinding(Finding(FindingKind.OUTAGE, dest, "", 0)))
        self._show(dest, cold=True)

    def lapsed(self, action: FindingExpired) -> None:
        """It holds no more."""
        if action.kind in (FindingKind.OUTAGE, FindingKind.SUSPICION):
            self.held.discard(action.dest)
            self._show(action.dest, cold=action.kind is FindingKind.OUTAGE)

    def try_for(self, action: SetProbing) -> None:
        """This courier tries for all, or does no longer."""
        self._show(action.dest)
        log.info(
            "federation: destination %d: this courier %s for all",
            action.dest,
            "tries" if action.enabled else "tries no longer",
        )

    # Leases

    def allot(self, action: SetAllowance) -> None:
        """What this courier may use of a limit."""
        kind, _, dest = action.resource.partition("/")
        if kind == "rate" and dest.isdecimal():
            runs = self.host.clock() < action.until_us
            self._rate(int(dest), action.amount if runs else action.fallback, action.until_us if runs else 0)
        else:
            self.more.allot(action)

    def _rate(self, dest: int, amount: float, until_us: int) -> None:
        before = self.rates.get(dest)
        if until_us:
            self.until[dest] = until_us
        else:
            self.until.pop(dest, None)
        if before is None or amount < before or abs(amount - before) > CHANGED * before:
            self.rates[dest] = amount
            self._show(dest)

    def rate(self, entry: EndpointEntry) -> float:
        """What the list says of it, by the lease: a rate of all couriers of these settings together."""
        amount = self.rates.get(entry.destination)
        return entry.rate_per_s if amount is None else max(1e-3, amount) * self.host.settings.courier_count

    def learnt(self, entry: EndpointEntry) -> EndpointEntry:
        """What the list says of it, by who tries, and whether its rate is this courier's own."""
        gap_us = TRIAL_GAP_US if entry.destination in self.partners.probing else 0
        return replace(entry, max_probe_interval_us=gap_us, rate_is_leased=entry.destination in self.rates)

    def _entries(self, dest: int) -> list[EndpointEntry]:
        return [e for e in self.host.registry.entries.values() if e.destination == dest]

    def _show(self, dest: int, cold: bool = False) -> None:
        part = 1 / max(1, self.partners.board.live_member_count) if cold else 1.0
        self._tell(dest, lambda e: replace(e, recovering=cold or e.recovering, slow_start_share=part))

    def _tell(self, dest: int, change: Callable[[EndpointEntry], EndpointEntry], uid: str = "") -> None:
        """The decision module hears of the destination's entries, or of one."""
        names = self.host.registry.names
        found = [e for e in self._entries(dest) if uid in ("", names[e.endpoint])]
        self.host.post_list_update(ListUpdateKind.DELTA, list(map(change, found)))

    # The second address

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation."""
        return {
            **self.partners.status(now_us),
            "held_back": sorted(self.held),
            "leases": self.leases.status(now_us),
            **self.more.status(),
        }
