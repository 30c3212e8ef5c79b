"""Leases on connection places and on quotas' nodes, joined with calls, pools and the gate.

Gets what the list limits (`max_conns`) and the quotas' tree; tells the leases what is needed and in use.
A connection is opened only within the lease on its destination, looked at then; what is over it when it falls
is closed while idle, and a call that is out goes on. Quotas' limits are scaled by the leases on their nodes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from madderbeam.federation.errors import LimitsMany
from madderbeam.host.host import Host
from madderbeam.policy.events import ListUpdateKind
from madderbeam.shared.division import rounded
from madderbeam.shared.leases import Leases
from madderbeam.shared.rate_meter import RateMeter
from madderbeam.shared.values import Limit, Need, SetAllowance

PLACES_MOST = 512  # destinations whose places are shared
ONE = 1 << 20  # a whole limit, as the tree counts its parts
LARGEST_S = 10.0  # so long one message that was refused for its size counts as a need
SPARE = 1.1  # of what comes to a quota's node is asked for
log = logging.getLogger(__name__)


class Limits:
    """`lease` takes events for the machine of leases. Is `Places` for the calls."""

    def __init__(self, host: Host, leases: Leases, lease: Callable[[Any], None]) -> None:
        self.host, self.leases, self.lease = host, leases, lease
        self.members = 1
        self.longest_s = max(c.deadline_us for c in host.settings.classes) / 1e6
        self.places: dict[int, dict[int, int]] = {}  # max_conns, by destination and endpoint
        self.dests: dict[int, int] = {}  # by endpoint
        self.parts: dict[int, tuple[int, dict[int, int]]] = {}  # by destination: its lease, dealt out
        self.told: dict[int, int] = {}  # endpoint: what its pool was told
        self.limits: dict[str, Limit] = {}
        self.full = False  # that more are limited than are shared was told
        self.gate: Any = None
        if host.config.quota is not None:
            from madderbeam.host.quota import QuotaComponent  # loaded already where there are quotas

            self.gate = next(g.gate for g in host.admission.checks if isinstance(g, QuotaComponent))
            if self.gate.leased.unleased_count:
                self._many(f"{self.gate.leased.unleased_count} quotas have equal parts")
        self.meters: dict[str, tuple[RateMeter, RateMeter]] = {}  # by quota's node: messages, bytes
        self.largest: dict[str, tuple[int, float]] = {}  # bytes, and for how many seconds they count still
        host.calls.places = self

    def _many(self, what: str) -> None:
        if not self.full:
            self.full = True
            log.warning("federation: %s", LimitsMany(what).line())

    # What is limited

    def table(self, members: int) -> None:
        """Another table is in force."""
        self.members = members
        self.listed()
        if self.gate is not None:
            couriers = max(members, int((self.host.config.quota or {}).get("couriers", 1)))
            for name in self.gate.leased.nodes:
                self._limit(Limit(f"quota/{name}", members / couriers, 1 / couriers))

    def listed(self) -> None:
        """The list, or what stands beside it, may have changed."""
        router = self.host.routing.router
        self.places, self.dests = {}, {}
        for dest, endpoint, most in router.places() if router is not None else ():
            if dest not in self.places and len(self.places) >= PLACES_MOST:
                self._many(f"only {PLACES_MOST} partners' places are shared")
                continue
            self.places.setdefault(dest, {})[endpoint] = most
            self.dests[endpoint] = dest
        for dest, limited in self.places.items():
            each = float(sum(limited.values()))
            lasts_us = int(self.longest_s * 1e6)
            self._limit(Limit(f"places/{dest}", each * self.members, each, True, lasts_us))
        self.told.clear()  # pools may be new
        self.parts.clear()
        for endpoint in self.dests:
            self.most(endpoint)

    def _limit(self, limit: Limit) -> None:
        if self.limits.get(limit.resource) != limit:
            self.limits[limit.resource] = limit
            self.lease(limit)

    # Places

    def most(self, endpoint: int) -> int | None:
        """So many connections may be open there now. Looked at before each call: a lease that has ended is
        not used. What another endpoint has beyond its part, since the lease fell, none opens."""
        dest = self.dests.get(endpoint)
        if dest is None:
            return None
        now, calls = self.host.clock(), self.host.calls
        lease = int(self.leases.amount(f"places/{dest}", now))
        if dest not in self.parts or self.parts[dest][0] != lease:
            self.parts[dest] = lease, self._dealt(dest, lease)
        beside = sum(calls.connections(n) for n in self.places[dest] if n != endpoint)
        most = min(self.parts[dest][1][endpoint], max(0, lease - beside))
        self._tell(dest, endpoint, most, now)
        return most

    def _dealt(self, dest: int, lease: int) -> dict[int, int]:
        """The lease among the endpoints, as their max_conns are; where one is left it goes to another at each
        courier."""
        limited = self.places[dest]
        order = sorted(limited)
        first = self.host.settings.courier_index % len(order)
        whole = sum(limited.values())
        parts = rounded({n: lease * limited[n] / whole for n in order[first:] + order[:first]})
        return {n: int(part) for n, part in parts.items()}

    def _tell(self, dest: int, endpoint: int, most: int, now: int) -> None:
        before = self.told.get(endpoint)
        if most == before:
            return
        self.told[endpoint] = most
        if (router := self.host.routing.router) is not None:
            router.allow(dest, endpoint, most, now)
        entry = self.host.registry.entries.get(endpoint)
        if entry is not None and (before is None or most > before):
            self.host.post_list_update(ListUpdateKind.DELTA, [entry])  # what waits may go now

    def in_use(self, resource: str) -> float:
        """Connections open by this resource, or about to be."""
        kind, _, dest = resource.partition("/")
        limited = self.places.get(int(dest), {}) if kind == "places" else {}
        return float(sum(map(self.host.calls.connections, limited)))

    # Leases

    def allot(self, action: SetAllowance) -> None:
        """What this courier may use of a limit."""
        kind, _, name = action.resource.partition("/")
        if kind == "quota" and self.gate is not None:
            self.gate.set_lease(name, action.amount, action.until_us, action.fallback, self.host.clock())
        elif kind == "places":
            for endpoint in self.places.get(int(name), ()):
                self.host.calls.trim(endpoint)

    def look(self, span_s: float) -> None:
        """What is needed; and idle connections over a lease that has ended are closed."""
        calls = self.host.calls
        for dest, limited in self.places.items():
            for endpoint in limited:
                calls.trim(endpoint)
            found = self.host.courier.state.destinations.get(dest)
            waiting = len(found.queue) if found is not None else 0
            self.lease(Need(f"places/{dest}", sum(calls.busy[n] for n in limited) + waiting))
        if self.gate is not None:
            self._quotas(span_s)

    def _quotas(self, span_s: float) -> None:
        self.gate.expire_leases(self.host.clock())
        asked = self.gate.take_demand()
        for name, lot in self.gate.leased.nodes.items():
            if name not in asked and name not in self.meters:
                continue
            messages, size, largest = asked.get(name, (0, 0, 0))
            counts, sizes = self.meters.setdefault(name, (RateMeter(), RateMeter()))
            sizes.units_per_arrival = max(1.0, size / messages) if messages else sizes.units_per_arrival
            counts.record_arrivals(messages, span_s)
            sizes.record_arrivals(size, span_s)
            known, left_s = self.largest.get(name, (0, 0.0))
            if largest >= known or left_s <= 0:
                known, left_s = largest, LARGEST_S
            self.largest[name] = (known, left_s - span_s)
            part = self.gate.leased.needed_fraction(
                lot, counts.needed_rate() * SPARE, sizes.needed_rate() * SPARE, known
            )
            self.lease(Need(f"quota/{name}", part))

    # The second address

    def status(self) -> dict[str, Any]:
        """For GET /federation: of places how many connections are open and how many may be, of quotas this
        courier's parts."""
        calls, names = self.host.calls, self.host.registry.names
        found: dict[str, Any] = {}
        if self.places:
            found["places"] = {
                dest: {names.get(n, ""): [calls.connections(n), self.told.get(n, 0)] for n in limited}
                for dest, limited in self.places.items()
            }
        if self.gate is not None:
            lots = self.gate.leased.nodes.items()
            found["quota"] = {name: round(lot.fraction / ONE, 6) for name, lot in lots}
        return found
