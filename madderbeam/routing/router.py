"""The router of a courier: resolves what a client names to a destination, and owns the destinations' pools.

Its configuration is part of the partner list (`routing` in docs/operators/routing.md), so a new list changes
endpoints, weights and routes in one step. An invalid one raises a one-line error, and the previous one stays
active.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from madderbeam.policy.events import AttemptResult
from madderbeam.routing.host_matcher import ANY, HostError, HostMatcher
from madderbeam.routing.paths import normalized
from madderbeam.routing.pool import FAILS_ON, Method, Policy, Pool, Server
from madderbeam.routing.subset import select_subset

FORM = 1


class MatchedProperty(Enum):
    """Which property of a message a route is matched against."""

    PATH = "path"
    NAME = "name"
    CLASS = "class"


class RoutingError(ValueError):
    """Invalid routing configuration; the message is one line that names the field."""


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """The configuration of a destination's pool; `subset` is how many servers one courier uses, 0: all."""

    policy: Policy
    hash_on: str
    subset: int
    servers: Mapping[str, Mapping[str, Any]]  # arguments of Server by address, in the order written


HASH_ON = ("tenant", "key", "order", "id")
NUMBER_RANGES = {
    "weight": (1, 1_000_000),
    "max_conns": (0, 1_000_000),
    "max_fails": (0, 1000),
    "fail_timeout_us": (1, 10**12),
    "slow_start_us": (0, 10**12),
}
FLAGS = ("backup", "down")


def read_pool(raw: Any, zone: str, field_path: str) -> PoolSpec:
    """Return the checked configuration of a pool; RoutingError names the invalid field."""
    if not isinstance(raw, dict):
        raise RoutingError(f"{field_path}: must be a table")
    try:
        method = Method(raw.get("method", "round_robin"))
    except ValueError:
        raise RoutingError(
            f"{field_path}.method: must be one of {', '.join(method.value for method in Method)}"
        ) from None
    hash_on = raw.get("hash_on", "tenant")
    if hash_on not in HASH_ON:
        raise RoutingError(f"{field_path}.hash_on: must be one of {', '.join(HASH_ON)}")
    fails_on = raw.get("fails_on", ["error", "timeout", "invalid_header"])
    if not isinstance(fails_on, list) or not set(fails_on) <= set(FAILS_ON):
        raise RoutingError(f"{field_path}.fails_on: must be a list of {', '.join(FAILS_ON)}")
    spill, subset = raw.get("spill", 0.7), raw.get("subset", 0)
    if type(spill) not in (int, float) or not 0 < spill <= 1:
        raise RoutingError(f"{field_path}.spill: must be a number above 0, at most 1")
    if type(subset) is not int or subset < 0:
        raise RoutingError(f"{field_path}.subset: must be a whole number, 0 or more")
    rows = raw.get("servers", [])
    if not isinstance(rows, list):
        raise RoutingError(f"{field_path}.servers: must be a list")
    servers = {}
    for index, row in enumerate(rows):
        if not isinstance(row, dict) or not isinstance(row.get("address"), str):
            raise RoutingError(f"{field_path}.servers[{index}]: must be a table with address")
        servers[row["address"]] = {key: value for key, value in row.items() if key != "address"}
        _check_server(servers[row["address"]], f"{field_path}.servers[{index}]")
    return PoolSpec(
        Policy(method, zone if raw.get("zone_first") else "", float(spill), frozenset(fails_on)),
        hash_on,
        subset,
        servers,
    )


def _check_server(raw: dict[str, Any], field_path: str) -> None:
    for key, value in raw.items():
        if key in FLAGS:
            if type(value) is not bool:
                raise RoutingError(f"{field_path}.{key}: must be true or false")
        elif key in NUMBER_RANGES:
            least, most = NUMBER_RANGES[key]
            if type(value) is not int or not least <= value <= most:
                raise RoutingError(f"{field_path}.{key}: must be a whole number from {least} to {most}")
        else:
            raise RoutingError(
                f"{field_path}.{key}: no such setting; allowed: {', '.join((*FLAGS, *NUMBER_RANGES))}"
            )


NOWHERE = -1  # destination of a route whose messages are rejected


@dataclass(frozen=True, slots=True)
class RouteTable:
    """The routes that match one property of a message, in groups by host."""

    hosts: HostMatcher
    groups: tuple[Callable[[str], Any], ...]  # each returns the route that a text matches

    def find(self, host: str, text: str) -> int:
        """Return the destination's number, NOWHERE if no route leads to one."""
        group = self.hosts.find(host)
        route = self.groups[group](text) if group >= 0 else None
        return int(route.pool) if route else NOWHERE


class Router:
    """Implements EndpointPreference with the pools, and resolves names to destinations.

    `courier_index` of `couriers` selects this courier's subset; `zone` is the courier's zone.
    """

    def __init__(self, seed: int, courier_index: int = 0, couriers: int = 1, zone: str = "") -> None:
        self.random = random.Random(f"routing {seed}")
        self.courier_index, self.couriers, self.zone = courier_index, couriers, zone
        self.configuration: Any = None
        self.specs: dict[int, PoolSpec] = {}
        self.pools: dict[int, Pool] = {}
        self.listed_servers: dict[int, tuple[Server, ...]] = {}
        self.numbers: dict[str, int] = {}  # of destinations, by name
        self.tables: dict[MatchedProperty, RouteTable] = {}

    def configure(self, raw: dict[str, Any]) -> None:
        """Replace all but the endpoints; RoutingError if invalid, and the previous configuration stays."""
        if raw == self.configuration:
            return
        if raw.get("form") != FORM:
            raise RoutingError(f"routing.form: must be {FORM}")
        specs = {
            int(number): read_pool(pool, self.zone, f"routing.pools.{number}")
            for number, pool in raw.get("pools", {}).items()
        }
        numbers = {str(name): int(number) for name, number in raw.get("names", {}).items()}
        tables = _tables(raw.get("routes", []), set(numbers.values()))
        changed = [number for number in {*specs, *self.specs} if specs.get(number) != self.specs.get(number)]
        self.configuration, self.specs, self.numbers, self.tables = raw, specs, numbers, tables
        for number in changed:
            self.listed_servers.pop(number, None)
            if number in self.pools and number in specs:
                self.pools[number].policy = specs[number].policy
            else:
                self.pools.pop(number, None)

    def set_endpoints(self, endpoints: Iterable[tuple[int, int, str, str]], now_us: int) -> None:
        """Apply a new list of usable endpoints: number, destination, address, zone."""
        rows: dict[int, list[tuple[int, str, str]]] = {number: [] for number in self.specs}
        for endpoint, destination, address, zone in endpoints:
            if destination in rows:
                rows[destination].append((endpoint, address, zone))
        for number, spec in self.specs.items():
            servers = self._servers(spec, rows[number])
            if self.listed_servers.get(number) == servers:
                continue
            self.listed_servers[number] = servers
            if number in self.pools:
                self.pools[number].replace(servers, now_us, self.random)
            else:
                self.pools[number] = Pool(spec.policy, servers, self.random, self.couriers > 1)

    def _servers(self, spec: PoolSpec, rows: list[tuple[int, str, str]]) -> tuple[Server, ...]:
        """Return this courier's subset, in the configured order, with unconfigured servers last."""
        configured_order = {name: index for index, name in enumerate(spec.servers)}
        rows = sorted(rows, key=lambda row: (configured_order.get(row[1], len(configured_order)), row[1]))
        servers = [
            Server(endpoint, address, zone=zone, **spec.servers.get(address, {}))
            for endpoint, address, zone in rows
        ]
        if not spec.subset:
            return tuple(servers)
        subset_names: set[str] = set()
        for is_in_group in (
            lambda server: server.backup,
            lambda server: not server.backup and server.zone == spec.policy.zone,
            lambda server: not server.backup and server.zone != spec.policy.zone,
        ):
            names = [server.name for server in servers if is_in_group(server) and not server.down]
            subset_names.update(select_subset(names, self.courier_index, self.couriers, spec.subset))
        return tuple(server for server in servers if server.name in subset_names)

    # Resolving a message to a destination

    def destination(self, name: str, path: str, class_name: str) -> int | None:
        """Return the destination by path if given (`name` is then the host), else by name, else by class.

        Returns None if no route matches; raises PathError for an invalid path.
        """
        if path:
            return self._resolve(MatchedProperty.PATH, name, normalized(path))
        if name:
            found = self._resolve(MatchedProperty.NAME, "", name)
            return self.numbers.get(name) if found is None else found
        return self._resolve(MatchedProperty.CLASS, "", class_name)

    def _resolve(self, on: MatchedProperty, host: str, text: str) -> int | None:
        found = self.tables[on].find(host, text) if on in self.tables else NOWHERE
        return None if found == NOWHERE else found

    def affinity(self, destination: int, tenant: str, key: str, order: int, message_id: str) -> str:
        """Return the key that selects the server of a hash method, '' for other methods."""
        spec = self.specs.get(destination)
        if spec is None or spec.policy.method not in (Method.HASH, Method.CONSISTENT):
            return ""
        return {"tenant": tenant, "key": key, "order": str(order or ""), "id": message_id}[
            spec.hash_on
        ] or message_id

    # Concurrency limits that couriers share

    def limited_servers(self) -> Iterator[tuple[int, int, int]]:
        """Yield the servers with a limit on concurrent calls: destination, server, max_conns."""
        for number, pool in self.pools.items():
            for server in pool.servers.values():
                if server.max_conns:
                    yield number, server.id, server.max_conns

    def limit_calls(self, destination: int, endpoint: int, max_calls: int | None, now_us: int) -> None:
        """Limit concurrent calls to an endpoint; None restores its max_conns."""
        if pool := self.pools.get(destination):
            pool.limit_calls(endpoint, max_calls, now_us)

    # EndpointPreference

    def covers(self, destination: int) -> bool:
        """See EndpointPreference: whether the destination has a pool."""
        return destination in self.pools

    def tiers(
        self, destination: int, message: int, affinity: str, attempted: Iterable[int], now_us: int
    ) -> Iterator[tuple[bool, Iterator[int]]]:
        """See EndpointPreference: yield the pool's tiers, best first."""
        attempted_endpoints: Collection[int] = tuple(attempted)
        return self.pools[destination].tiers(message, affinity, attempted_endpoints, now_us)

    def attempt_started(self, destination: int, message: int, endpoint: int, now_us: int) -> bool:
        """See EndpointPreference: whether the call is the first since the endpoint was ejected."""
        pool = self.pools.get(destination)
        return pool.call_started(message, endpoint, now_us) if pool else False

    def attempt_ended(
        self, destination: int, endpoint: int, result: AttemptResult, malformed: bool, now_us: int
    ) -> None:
        """See EndpointPreference: count the outcome."""
        if pool := self.pools.get(destination):
            pool.call_ended(endpoint, result, malformed, now_us)

    def recovers_at_us(self, destination: int, now_us: int) -> int:
        """See EndpointPreference: when an endpoint may be used again if all are ejected, else 0."""
        pool = self.pools.get(destination)
        return pool.recovers_at_us(now_us) if pool else 0

    def metrics(self) -> dict[str, int]:
        """Return the routing metrics by name, for the admin address."""
        ejected = sum(m.needs_probe for pool in self.pools.values() for m in pool.failure_trackers.values())
        return {
            "route.pools": len(self.pools),
            "route.marked": ejected,
            "route.servers": sum(len(pool.servers) for pool in self.pools.values()),
        }


def _tables(rows: Any, known: set[int]) -> dict[MatchedProperty, RouteTable]:
    """Compile the routes by the property they match. RE2 is imported only if there is a route."""
    if not rows:
        return {}
    from madderbeam.routing.routes import Match, Route, RouteError, RouteMatcher

    if not isinstance(rows, list):
        raise RoutingError("routing.routes: must be a list")
    routes_by_property: dict[MatchedProperty, dict[tuple[str, ...], list[Route]]] = {}
    for index, row in enumerate(rows):
        field_path = f"routing.routes[{index}]"
        try:
            on, to = MatchedProperty(row["on"]), int(row["to"])
            route = Route(Match(row["match"]), str(row["text"]), str(to))
            hosts = tuple(str(host) for host in row.get("host", ())) or (ANY,)
        except (KeyError, TypeError, ValueError) as error:
            raise RoutingError(f"{field_path}: can't be used: {error}") from None
        if to != NOWHERE and to not in known:
            raise RoutingError(f"{field_path}.to: must be the number of a partner, or {NOWHERE}, not {to}")
        routes_by_property.setdefault(on, {}).setdefault(hosts, []).append(route)
    try:
        return {
            on: RouteTable(
                HostMatcher(list(groups)), tuple(RouteMatcher(routes).find for routes in groups.values())
            )
            for on, groups in routes_by_property.items()
        }
    except (RouteError, HostError) as error:
        raise RoutingError(f"routing.routes: {error}") from None
