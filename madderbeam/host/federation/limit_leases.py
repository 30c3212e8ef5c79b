"""Leases on connection limits and quotas, connected to calls, endpoint pools and quota admission.

Posts the connection limits of the endpoint list (`max_conns`) and the nodes of the quota tree to the lease
machine, with what is needed and in use. A connection is opened only within the current lease on its
destination. When a lease shrinks, surplus idle connections are closed; calls in flight continue. Quota limits
are scaled by the leases on their nodes.
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

MAX_SHARED_DESTINATIONS = 512  # destinations whose connection limits are shared
WHOLE_LIMIT = 1 << 20  # the whole limit in the units of the quota tree's fractions
LARGEST_MESSAGE_S = 10.0  # a message rejected for its size counts as demand for this long
DEMAND_FACTOR = 1.1  # ratio of requested to measured demand of a quota node
log = logging.getLogger(__name__)


class LimitLeases:
    """Applies leases on connection limits and quotas.

    Implements `Places`, the connection limits that the calls evaluate (`most`). The lease resource
    `places/DEST` is the connections to a destination, `quota/NODE` the fraction of a quota node's limits.
    `post_lease_event` posts events to the lease machine.
    """

    def __init__(self, host: Host, leases: Leases, post_lease_event: Callable[[Any], None]) -> None:
        self.host, self.leases, self.post_lease_event = host, leases, post_lease_event
        self.member_count = 1
        self.longest_s = max(c.deadline_us for c in host.settings.classes) / 1e6
        # destination -> endpoint -> max_conns
        self.connection_limits: dict[int, dict[int, int]] = {}
        self.destinations: dict[int, int] = {}  # endpoint -> destination
        self.divided_leases: dict[
            int, tuple[int, dict[int, int]]
        ] = {}  # destination -> lease, connections per endpoint
        self.applied_limits: dict[int, int] = {}  # endpoint -> limit last applied to its pool
        self.posted_limits: dict[str, Limit] = {}
        self.is_excess_logged = False  # that some limits are not shared was logged
        self.quota_admission: Any = None
        if host.config.quota is not None:
            # already imported if quotas are configured
            from madderbeam.host.quota import QuotaComponent

            self.quota_admission = next(
                check.quota_admission for check in host.admission.checks if isinstance(check, QuotaComponent)
            )
            if self.quota_admission.leased.unleased_count:
                self._log_excess(f"{self.quota_admission.leased.unleased_count} quotas have equal parts")
        # quota node -> messages, bytes
        self.meters: dict[str, tuple[RateMeter, RateMeter]] = {}
        self.largest_messages: dict[str, tuple[int, float]] = {}  # bytes, remaining seconds
        host.calls.places = self

    def _log_excess(self, what: str) -> None:
        if not self.is_excess_logged:
            self.is_excess_logged = True
            log.warning("federation: %s", LimitsMany(what).line())

    # Limits

    def apply_table(self, member_count: int) -> None:
        """Adjust all limits to the number of members of this site."""
        self.member_count = member_count
        self.on_list_changed()
        if self.quota_admission is not None:
            couriers = max(member_count, int((self.host.config.quota or {}).get("couriers", 1)))
            for name in self.quota_admission.leased.nodes:
                self._post_limit(Limit(f"quota/{name}", member_count / couriers, 1 / couriers))

    def on_list_changed(self) -> None:
        """Called when the endpoint list or the routing may have changed: read and apply the limits again."""
        router = self.host.routing.router
        self.connection_limits, self.destinations = {}, {}
        for dest, endpoint, max_connections in router.limited_servers() if router is not None else ():
            if dest not in self.connection_limits and len(self.connection_limits) >= MAX_SHARED_DESTINATIONS:
                self._log_excess(f"only {MAX_SHARED_DESTINATIONS} destinations' connection limits are shared")
                continue
            self.connection_limits.setdefault(dest, {})[endpoint] = max_connections
            self.destinations[endpoint] = dest
        for dest, limits in self.connection_limits.items():
            per_member = float(sum(limits.values()))
            lasts_us = int(self.longest_s * 1e6)
            self._post_limit(
                Limit(f"places/{dest}", per_member * self.member_count, per_member, True, lasts_us)
            )
        self.applied_limits.clear()  # the pools may be new objects
        self.divided_leases.clear()
        for endpoint in self.destinations:
            self.most(endpoint)  # applies the limit

    def _post_limit(self, limit: Limit) -> None:
        if self.posted_limits.get(limit.resource) != limit:
            self.posted_limits[limit.resource] = limit
            self.post_lease_event(limit)

    # Connection limits

    def most(self, endpoint: int) -> int | None:
        """Apply and return the limit of open connections to the endpoint; None without a shared limit.

        Evaluated before each call, so that an expired lease is not used. If the limit has changed, it is set
        in the endpoint's pool; an event about a higher limit is posted to the engine. Connections that other
        endpoints have beyond their share, after the lease shrank, reduce the result.
        """
        dest = self.destinations.get(endpoint)
        if dest is None:
            return None
        now_us, calls = self.host.clock(), self.host.calls
        lease = int(self.leases.amount(f"places/{dest}", now_us))
        if dest not in self.divided_leases or self.divided_leases[dest][0] != lease:
            self.divided_leases[dest] = lease, self._divide(dest, lease)
        at_other_endpoints = sum(calls.connections(n) for n in self.connection_limits[dest] if n != endpoint)
        max_connections = min(self.divided_leases[dest][1][endpoint], max(0, lease - at_other_endpoints))
        self._apply_limit(dest, endpoint, max_connections, now_us)
        return max_connections

    def _divide(self, dest: int, lease: int) -> dict[int, int]:
        """Divide the lease among the endpoints in proportion to max_conns.

        The remainder of the rounding goes to a different endpoint at each courier.
        """
        limits = self.connection_limits[dest]
        order = sorted(limits)
        offset = self.host.settings.courier_index % len(order)
        total = sum(limits.values())
        parts = rounded(
            {endpoint: lease * limits[endpoint] / total for endpoint in order[offset:] + order[:offset]}
        )
        return {endpoint: int(part) for endpoint, part in parts.items()}

    def _apply_limit(self, dest: int, endpoint: int, max_connections: int, now_us: int) -> None:
        """Set a changed limit in the endpoint's pool; post a list update to the engine if it has risen.

        Without a previous limit it counts as risen: the previous limits are forgotten when the list or the
        routing changes, so an update is then posted for each endpoint.
        """
        previous_limit = self.applied_limits.get(endpoint)
        if max_connections == previous_limit:
            return
        self.applied_limits[endpoint] = max_connections
        if (router := self.host.routing.router) is not None:
            router.limit_calls(dest, endpoint, max_connections, now_us)
        entry = self.host.registry.entries.get(endpoint)
        if entry is not None and (previous_limit is None or max_connections > previous_limit):
            # The engine may dispatch queued messages now.
            self.host.post_list_update(ListUpdateKind.DELTA, [entry])

    def in_use(self, resource: str) -> float:
        """Return the connections that are open or opening under this resource."""
        kind, _, dest = resource.partition("/")
        limits = self.connection_limits.get(int(dest), {}) if kind == "places" else {}
        return float(sum(map(self.host.calls.connections, limits)))

    # Leases

    def apply_allowance(self, action: SetAllowance) -> None:
        """Apply a changed allowance to quota admission or to the connections of a destination."""
        kind, _, name = action.resource.partition("/")
        if kind == "quota" and self.quota_admission is not None:
            self.quota_admission.set_lease(
                name, action.amount, action.until_us, action.fallback, self.host.clock()
            )
        elif kind == "places":
            for endpoint in self.connection_limits.get(int(name), ()):
                self.host.calls.trim(endpoint)

    def update_needs(self, span_s: float) -> None:
        """Post what is needed, and close idle connections beyond the leases; `span_s` since the last call."""
        calls = self.host.calls
        for dest, limits in self.connection_limits.items():
            for endpoint in limits:
                calls.trim(endpoint)
            destination = self.host.courier.state.destinations.get(dest)
            queued = len(destination.queue) if destination is not None else 0
            self.post_lease_event(
                Need(
                    f"places/{dest}",
                    sum(calls.busy[limited_endpoint] for limited_endpoint in limits) + queued,
                )
            )
        if self.quota_admission is not None:
            self._update_quota_needs(span_s)

    def _update_quota_needs(self, span_s: float) -> None:
        self.quota_admission.expire_leases(self.host.clock())
        demand = self.quota_admission.take_demand()
        for name, node in self.quota_admission.leased.nodes.items():
            if name not in demand and name not in self.meters:
                continue
            messages, total_bytes, largest = demand.get(name, (0, 0, 0))
            message_meter, byte_meter = self.meters.setdefault(name, (RateMeter(), RateMeter()))
            byte_meter.units_per_arrival = (
                max(1.0, total_bytes / messages) if messages else byte_meter.units_per_arrival
            )
            message_meter.record_arrivals(messages, span_s)
            byte_meter.record_arrivals(total_bytes, span_s)
            largest_known, left_s = self.largest_messages.get(name, (0, 0.0))
            if largest >= largest_known or left_s <= 0:
                largest_known, left_s = largest, LARGEST_MESSAGE_S
            self.largest_messages[name] = (largest_known, left_s - span_s)
            fraction = self.quota_admission.leased.needed_fraction(
                node,
                message_meter.needed_rate() * DEMAND_FACTOR,
                byte_meter.needed_rate() * DEMAND_FACTOR,
                largest_known,
            )
            self.post_lease_event(Need(f"quota/{name}", fraction))

    # Admin address

    def status(self) -> dict[str, Any]:
        """Return for GET /federation the open and permitted connections and the leased quota fractions."""
        calls, names = self.host.calls, self.host.registry.names
        status: dict[str, Any] = {}
        if self.connection_limits:
            status["places"] = {
                dest: {
                    names.get(endpoint, ""): [
                        calls.connections(endpoint),
                        self.applied_limits.get(endpoint, 0),
                    ]
                    for endpoint in limits
                }
                for dest, limits in self.connection_limits.items()
            }
        if self.quota_admission is not None:
            nodes = self.quota_admission.leased.nodes.items()
            status["quota"] = {name: round(node.fraction / WHOLE_LIMIT, 6) for name, node in nodes}
        return status
