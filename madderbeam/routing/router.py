"""All of a courier's routing: from what a client names to a destination, and the pools of destinations.

The plain data that it is made from stands beside the partner list (`routing` in docs/operators/routing.md):
so a new list changes endpoints, weights and routes in one step. What can't be read is one line, and leaves
the old in force.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from madderbeam.policy.events import AttemptResult
from madderbeam.routing.hosts import ANY, HostError, Hosts
from madderbeam.routing.paths import normalized
from madderbeam.routing.pool import FAILS_ON, Method, Policy, Pool, Server
from madderbeam.routing.subset import part

FORM = 1


class On(Enum):
    """What of a message a route is held against."""

    PATH = "path"
    NAME = "name"
    CLASS = "class"


class RoutingError(ValueError):
    """Routing that can't be used; one line that names the field."""


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A destination's pool as it is written; see Policy. `subset`: servers that one courier uses, 0: all."""

    policy: Policy
    hash_on: str
    subset: int
    servers: Mapping[str, Mapping[str, Any]]  # by address, in their order: settings of Server


HASH_ON = ("tenant", "key", "order", "id")
NUMBERS = {
    "weight": (1, 1_000_000),
    "max_conns": (0, 1_000_000),
    "max_fails": (0, 1000),
    "fail_timeout_us": (1, 10**12),
    "slow_start_us": (0, 10**12),
}
FLAGS = ("backup", "down")


def read_pool(raw: Any, zone: str, at: str) -> PoolSpec:
    """RoutingError names what can't be used."""
    if not isinstance(raw, dict):
        raise RoutingError(f"{at}: must be a table")
    try:
        method = Method(raw.get("method", "round_robin"))
    except ValueError:
        raise RoutingError(f"{at}.method: must be one of {', '.join(m.value for m in Method)}") from None
    hash_on = raw.get("hash_on", "tenant")
    if hash_on not in HASH_ON:
        raise RoutingError(f"{at}.hash_on: must be one of {', '.join(HASH_ON)}")
    fails_on = raw.get("fails_on", ["error", "timeout", "invalid_header"])
    if not isinstance(fails_on, list) or not set(fails_on) <= set(FAILS_ON):
        raise RoutingError(f"{at}.fails_on: must be a list of {', '.join(FAILS_ON)}")
    spill, subset = raw.get("spill", 0.7), raw.get("subset", 0)
    if type(spill) not in (int, float) or not 0 < spill <= 1:
        raise RoutingError(f"{at}.spill: must be a number above 0, at most 1")
    if type(subset) is not int or subset < 0:
        raise RoutingError(f"{at}.subset: must be a whole number, 0 or more")
    rows = raw.get("servers", [])
    if not isinstance(rows, list):
        raise RoutingError(f"{at}.servers: must be a list")
    servers = {}
    for n, row in enumerate(rows):
        if not isinstance(row, dict) or not isinstance(row.get("address"), str):
            raise RoutingError(f"{at}.servers[{n}]: must be a table with address")
        servers[row["address"]] = {key: value for key, value in row.items() if key != "address"}
        _check_server(servers[row["address"]], f"{at}.servers[{n}]")
    return PoolSpec(
        Policy(method, zone if raw.get("zone_first") else "", float(spill), frozenset(fails_on)),
        hash_on,
        subset,
        servers,
    )


def _check_server(raw: dict[str, Any], at: str) -> None:
    for key, value in raw.items():
        if key in FLAGS:
            if type(value) is not bool:
                raise RoutingError(f"{at}.{key}: must be true or false")
        elif key in NUMBERS:
            least, most = NUMBERS[key]
            if type(value) is not int or not least <= value <= most:
                raise RoutingError(f"{at}.{key}: must be a whole number from {least} to {most}")
        else:
            raise RoutingError(f"{at}.{key}: no such setting; allowed: {', '.join((*FLAGS, *NUMBERS))}")


NOWHERE = -1  # where a route leads whose messages are turned down


@dataclass(frozen=True, slots=True)
class Table:
    """Routes by what they are held against; those on paths in groups by host."""

    hosts: Hosts
    groups: tuple[Callable[[str], Any], ...]  # from a text to its route

    def find(self, host: str, text: str) -> int:
        """A destination's number, NOWHERE if no route leads to one."""
        group = self.hosts.find(host)
        route = self.groups[group](text) if group >= 0 else None
        return int(route.pool) if route else NOWHERE


class Router:
    """Implements policy.endpoint_preference for the pools, and resolves names to destinations.

    `me` of `couriers` says which subset is this courier's; `zone` is where it stands.
    """

    def __init__(self, seed: int, me: int = 0, couriers: int = 1, zone: str = "") -> None:
        self.random = random.Random(f"routing {seed}")
        self.me, self.couriers, self.zone = me, couriers, zone
        self.raw: Any = None
        self.specs: dict[int, PoolSpec] = {}
        self.pools: dict[int, Pool] = {}
        self.members: dict[int, tuple[Server, ...]] = {}
        self.numbers: dict[str, int] = {}  # destinations by name
        self.tables: dict[On, Table] = {}

    def configure(self, raw: dict[str, Any]) -> None:
        """Take a new form of all but the endpoints; RoutingError, and the old stays, if it can't be used."""
        if raw == self.raw:
            return
        if raw.get("form") != FORM:
            raise RoutingError(f"routing.form: must be {FORM}")
        specs = {
            int(number): read_pool(pool, self.zone, f"routing.pools.{number}")
            for number, pool in raw.get("pools", {}).items()
        }
        numbers = {str(name): int(number) for name, number in raw.get("names", {}).items()}
        tables = _tables(raw.get("routes", []), set(numbers.values()))
        changed = [n for n in {*specs, *self.specs} if specs.get(n) != self.specs.get(n)]
        self.raw, self.specs, self.numbers, self.tables = raw, specs, numbers, tables
        for number in changed:
            self.members.pop(number, None)
            if number in self.pools and number in specs:
                self.pools[number].policy = specs[number].policy
            else:
                self.pools.pop(number, None)

    def listed(self, endpoints: Iterable[tuple[int, int, str, str]], now_us: int) -> None:
        """The endpoints that want something new: number, destination, address, zone."""
        rows: dict[int, list[tuple[int, str, str]]] = {number: [] for number in self.specs}
        for ident, destination, address, zone in endpoints:
            if destination in rows:
                rows[destination].append((ident, address, zone))
        for number, spec in self.specs.items():
            servers = self._servers(spec, rows[number])
            if self.members.get(number) == servers:
                continue
            self.members[number] = servers
            if number in self.pools:
                self.pools[number].replace(servers, now_us, self.random)
            else:
                self.pools[number] = Pool(spec.policy, servers, self.random, self.couriers > 1)

    def _servers(self, spec: PoolSpec, rows: list[tuple[int, str, str]]) -> tuple[Server, ...]:
        """In the order in which they are written, those that are not written last; the courier's part
        alone."""
        place = {name: n for n, name in enumerate(spec.servers)}
        rows = sorted(rows, key=lambda row: (place.get(row[1], len(place)), row[1]))
        servers = [
            Server(ident, address, zone=zone, **spec.servers.get(address, {}))
            for ident, address, zone in rows
        ]
        if not spec.subset:
            return tuple(servers)
        used: set[str] = set()
        for group in (
            lambda s: s.backup,
            lambda s: not s.backup and s.zone == spec.policy.zone,
            lambda s: not s.backup and s.zone != spec.policy.zone,
        ):
            names = [s.name for s in servers if group(s) and not s.down]
            used.update(part(names, self.me, self.couriers, spec.subset))
        return tuple(s for s in servers if s.name in used)

    # From what a client names to a destination

    def destination(self, name: str, path: str, cls: str) -> int | None:
        """By path if there is one (`name` is its host then), else by name, else by class; None if there is no
        route. PathError for a path that can't be read."""
        if path:
            return self._found(On.PATH, name, normalized(path))
        if name:
            found = self._found(On.NAME, "", name)
            return self.numbers.get(name) if found is None else found
        return self._found(On.CLASS, "", cls)

    def _found(self, on: On, host: str, text: str) -> int | None:
        found = self.tables[on].find(host, text) if on in self.tables else NOWHERE
        return None if found == NOWHERE else found

    def affinity(self, destination: int, tenant: str, key: str, order: int, ident: str) -> str:
        """What the messages share that are to go to one server; '' where no pool asks."""
        spec = self.specs.get(destination)
        if spec is None or spec.policy.method not in (Method.HASH, Method.CONSISTENT):
            return ""
        return {"tenant": tenant, "key": key, "order": str(order or ""), "id": ident}[spec.hash_on] or ident

    # Places that couriers share

    def places(self) -> Iterator[tuple[int, int, int]]:
        """Servers whose calls out are limited: destination, server, max_conns."""
        for number, pool in self.pools.items():
            for server in pool.servers.values():
                if server.max_conns:
                    yield number, server.id, server.max_conns

    def allow(self, destination: int, endpoint: int, most: int | None, now_us: int) -> None:
        """So many calls at once there in place of its max_conns."""
        if pool := self.pools.get(destination):
            pool.allow(endpoint, most, now_us)

    # As the decision module asks (policy.endpoint_preference.EndpointPreference)

    def covers(self, destination: int) -> bool:
        return destination in self.pools

    def tiers(
        self, destination: int, message: int, affinity: str, tried: Iterable[int], now_us: int
    ) -> Iterator[tuple[bool, Iterator[int]]]:
        found: Collection[int] = tuple(tried)
        return self.pools[destination].tiers(message, affinity, found, now_us)

    def attempt_started(self, destination: int, message: int, endpoint: int, now_us: int) -> bool:
        pool = self.pools.get(destination)
        return pool.begun(message, endpoint, now_us) if pool else False

    def attempt_ended(
        self, destination: int, endpoint: int, result: AttemptResult, spoilt: bool, now_us: int
    ) -> None:
        if pool := self.pools.get(destination):
            pool.ended(endpoint, result, spoilt, now_us)

    def recovers_at_us(self, destination: int, now_us: int) -> int:
        pool = self.pools.get(destination)
        return pool.reopens_us(now_us) if pool else 0

    def figures(self) -> dict[str, int]:
        """Counts for the second address."""
        marked = sum(m.probing for pool in self.pools.values() for m in pool.marks.values())
        return {
            "route.pools": len(self.pools),
            "route.marked": marked,
            "route.servers": sum(len(pool.servers) for pool in self.pools.values()),
        }


def _tables(rows: Any, known: set[int]) -> dict[On, Table]:
    """The routes, compiled by what they are held against. RE2 is loaded only where there is a route."""
    if not rows:
        return {}
    from madderbeam.routing.routes import Match, Route, RouteError, Routes

    if not isinstance(rows, list):
        raise RoutingError("routing.routes: must be a list")
    found: dict[On, dict[tuple[str, ...], list[Route]]] = {}
    for n, row in enumerate(rows):
        at = f"routing.routes[{n}]"
        try:
            on, to = On(row["on"]), int(row["to"])
            route = Route(Match(row["match"]), str(row["text"]), str(to))
            hosts = tuple(str(host) for host in row.get("host", ())) or (ANY,)
        except (KeyError, TypeError, ValueError) as error:
            raise RoutingError(f"{at}: can't be used: {error}") from None
        if to != NOWHERE and to not in known:
            raise RoutingError(f"{at}.to: must be the number of a partner, or {NOWHERE}, not {to}")
        found.setdefault(on, {}).setdefault(hosts, []).append(route)
    try:
        return {
            on: Table(Hosts(list(groups)), tuple(Routes(routes).find for routes in groups.values()))
            for on, groups in found.items()
        }
    except (RouteError, HostError) as error:
        raise RoutingError(f"routing.routes: {error}") from None
