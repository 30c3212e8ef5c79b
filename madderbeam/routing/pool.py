"""Orders a partner's servers by preference: weights, backups, ejections, limits, zones, and six methods.

Does no I/O: each call passes the time in. The engine uses the first server that its own checks admit
(`madderbeam.policy.endpoint_preference.EndpointPreference`); a pool never sends anything itself, and can't
override the engine's checks. Terms and their meaning are nginx's (ngx_http_upstream_module);
docs/design/routing.md lists the exceptions.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedDict

from madderbeam.policy.events import AttemptResult
from madderbeam.routing.failure_tracker import STEPS, FailureTracker
from madderbeam.routing.hashing import Ring, WeightedSlots, memcached_slots, uniform_hash
from madderbeam.routing.smooth_round_robin import SmoothRoundRobin

MAX_START_OFFSET = 4096  # bound of the random start offset that keeps couriers from choosing in lockstep
MAX_DRAWS = 20  # random draws, before the remaining servers follow in round-robin order
MAX_PEEKED_MESSAGES = 256  # bound of `passed_over`, which keeps rows until the message is sent


class Method(Enum):
    """How a server is chosen; the values are those of the setting `method`."""

    ROUND_ROBIN = "round_robin"  # smooth, by weight
    LEAST_CONN = "least_conn"  # fewest calls in flight per weight; round robin among equals
    HASH = "hash"  # compatible with Cache::Memcached
    CONSISTENT = "consistent_hash"  # Ketama
    RANDOM = "random"  # weighted
    RANDOM_TWO = "random_two"  # the less loaded of two random servers


HASHES = (Method.HASH, Method.CONSISTENT)
FAILS_ON = {
    "error": "a connection that fails or breaks",
    "timeout": "a call given up",
    "invalid_header": "an answer that can't be read",
    "http_500": "an answer 500",
    "overload": "an answer 429 or 503",
}


@dataclass(frozen=True, slots=True)
class Server:
    """One endpoint of a pool. `id` is its number in the courier, `name` its address."""

    id: int
    name: str
    weight: int = 1
    backup: bool = False
    down: bool = False
    max_conns: int = 0  # concurrent calls, 0: no limit
    max_fails: int = 0  # 0: failures are not counted
    fail_timeout_us: int = 10_000_000
    slow_start_us: int = 0
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Policy:
    """How a pool is used.

    `zone` is the courier's zone, '' for no preference. If less than the fraction `spill` of that zone's
    weight is usable, part of the messages goes to other zones. `fails_on` names the outcomes that
    max_fails counts.
    """

    method: Method = Method.ROUND_ROBIN
    zone: str = ""
    spill: float = 0.7
    fails_on: frozenset[str] = frozenset({"error", "timeout", "invalid_header"})


def failure_kind(result: AttemptResult, malformed: bool) -> str:
    """Return the key of FAILS_ON that an outcome belongs to, '' if none."""
    if malformed:
        return "invalid_header"
    return {
        AttemptResult.CONNECT_FAILED: "error",
        AttemptResult.RESET: "error",
        AttemptResult.TIMEOUT: "timeout",
        AttemptResult.ERROR: "http_500",
        AttemptResult.OVERLOADED: "overload",
    }.get(result, "")


class Tier:
    """Servers that are preferred to those of the next tier, ordered by one method."""

    def __init__(
        self, method: Method, members: Sequence[Server], seed: int, previous: Tier | None = None
    ) -> None:
        """Create a tier; servers that were in the tier `previous` keep their round-robin levels."""
        levels = previous.current_levels() if previous else {}
        self.method, self.seed = method, seed
        self.servers = {server.id: server for server in members}
        self.rank = {server.id: index for index, server in enumerate(members)}
        self.ids = [server.id for server in members]
        self.scale = STEPS if any(server.slow_start_us for server in members) else 1
        self.rotations: SortedDict = SortedDict()  # by calls per weight; one unless least_conn
        # Levels of the unusable servers; those of the others are in `rotations`.
        self.levels = {endpoint: level for endpoint, level in levels.items() if endpoint in self.servers}
        self.rotation_keys: dict[int, float] = {}  # key in `rotations` of each usable server
        self.usable_weight = 0
        self.weight = sum(server.weight for server in members)
        self.table = WeightedSlots([server.weight for server in members])
        self.ring: Ring | None = None
        if method is Method.CONSISTENT:
            self.ring = Ring(
                ((server.id, server.name, server.weight) for server in members),
                previous.ring if previous else None,
            )

    def set_usable(self, endpoint: int, conns: int, share: int = STEPS) -> None:
        """Make a server usable with `conns` calls in flight and `share` STEPS-ths of its weight."""
        weight = self.servers[endpoint].weight
        key = conns / weight if self.method is Method.LEAST_CONN else 0.0
        weight_now = max(1, weight * self.scale * share // STEPS)
        if (
            self.rotation_keys.get(endpoint) == key
            and self.rotations[key].weights[self.rank[endpoint]] == weight_now
        ):
            return
        self.set_unusable(endpoint)
        if key not in self.rotations:
            self.rotations[key] = SmoothRoundRobin()
        level = self.levels.pop(endpoint, 0)
        self.rotations[key].add(self.rank[endpoint], weight_now, level)
        self.rotation_keys[endpoint] = key
        self.usable_weight += weight

    def set_unusable(self, endpoint: int) -> None:
        """Make a server unusable."""
        key = self.rotation_keys.pop(endpoint, None)
        if key is None:
            return
        rotation = self.rotations[key]
        self.levels[endpoint] = rotation.remove(self.rank[endpoint])
        if not rotation:
            del self.rotations[key]
        self.usable_weight -= self.servers[endpoint].weight

    def current_levels(self) -> dict[int, int]:
        """Return the round-robin level of each server, for the tier that replaces this one."""
        return self.levels | {
            n: self.rotations[key].level(self.rank[n]) for n, key in self.rotation_keys.items()
        }

    def order(self, message: int, affinity: str, conns: dict[int, int]) -> Iterator[int]:
        """Yield the usable servers, best first, each once."""
        if self.method in (Method.ROUND_ROBIN, Method.LEAST_CONN):
            return self._round_robin()
        return self._deduplicated(self._candidates(message, affinity, conns))

    def _round_robin(self) -> Iterator[int]:
        for rotation in self.rotations.values():
            for rank in rotation.order():
                yield self.ids[rank]

    def _deduplicated(self, candidates: Iterator[int]) -> Iterator[int]:
        seen = set()
        for endpoint in candidates:
            if endpoint in self.rotation_keys and endpoint not in seen:
                seen.add(endpoint)
                yield endpoint
        for endpoint in self._round_robin():
            if endpoint not in seen:
                yield endpoint

    def _candidates(self, message: int, affinity: str, conns: dict[int, int]) -> Iterator[int]:
        """Yield the method's candidates, possibly unusable or repeated."""
        if not self.rotation_keys:
            return
        if self.method is Method.HASH:
            yield from (self.ids[slot] for slot in memcached_slots(self.table, affinity))
            return
        if self.ring is not None:
            yield from self.ring.order(affinity)
            return
        draws = (
            self.ids[self.table.slot(int(uniform_hash(self.seed, message, n) * self.table.total))]
            for n in range(MAX_DRAWS)
        )
        if self.method is Method.RANDOM_TWO:
            pair: list[int] = []
            for endpoint in draws:
                if endpoint not in pair and endpoint in self.rotation_keys:
                    pair.append(endpoint)
                if len(pair) == 2:
                    break
            yield from sorted(pair, key=lambda n: conns.get(n, 0) / self.servers[n].weight)
        yield from draws

    def choose(self, endpoint: int, passed_over_servers: Iterable[int]) -> None:
        """Record that a message is sent to one server, and that others were passed over."""
        if (key := self.rotation_keys.get(endpoint)) is not None:
            ranks = [self.rank[p] for p in passed_over_servers if self.rotation_keys.get(p) == key]
            self.rotations[key].choose(self.rank[endpoint], ranks)

    def advance(self, steps: int) -> None:
        """Advance the round robin by so many choices."""
        for _ in range(steps):
            endpoint = next(self._round_robin(), None)
            if endpoint is not None:
                self.choose(endpoint, ())


class Pool:
    """The servers of one destination.

    With `randomize_start` the round robin starts at a position drawn from `rng`, so that couriers don't
    choose in lockstep.
    """

    def __init__(
        self, policy: Policy, servers: Sequence[Server], rng: random.Random, randomize_start: bool = False
    ) -> None:
        self.policy, self.randomize_start = policy, randomize_start
        self.seed = rng.getrandbits(63)
        self.calls_in_flight: dict[int, int] = {}
        self.conn_limits: dict[int, int] = {}  # override max_conns where couriers share a limit
        self.failure_trackers: dict[int, FailureTracker] = {}
        self.scheduled_updates: list[
            tuple[int, int]
        ] = []  # heap: (when an ejection ends or a slow start advances, server)
        self.due: dict[int, int] = {}  # the newest of these times by server
        self.passed_over: dict[int, list[int]] = {}  # servers passed over, by message
        self.servers: dict[int, Server] = {}
        self.local_tier = self.remote_tier = self.backup_tier = Tier(policy.method, (), 0)
        self.replace(servers, 0, rng)

    def replace(self, servers: Sequence[Server], now_us: int, rng: random.Random) -> None:
        """Replace the servers; those that stay keep failures, calls in flight and round-robin levels."""
        is_new = not self.servers
        self.servers = {server.id: server for server in servers}
        self.calls_in_flight = {
            endpoint: count for endpoint, count in self.calls_in_flight.items() if endpoint in self.servers
        }
        self.conn_limits = {
            endpoint: limit for endpoint, limit in self.conn_limits.items() if endpoint in self.servers
        }
        is_only_server = sum(not server.down for server in servers) == 1
        previous_trackers, self.failure_trackers = self.failure_trackers, {}
        for server in servers:
            if not server.max_fails or is_only_server:
                continue
            tracker = previous_trackers.get(server.id) or FailureTracker(
                server.max_fails, server.fail_timeout_us, server.slow_start_us
            )
            tracker.max_fails, tracker.fail_timeout_us = server.max_fails, server.fail_timeout_us
            tracker.slow_start_us = server.slow_start_us
            self.failure_trackers[server.id] = tracker
        enabled = [server for server in servers if not server.down]
        primary, zone = [server for server in enabled if not server.backup], self.policy.zone
        local = [server for server in primary if zone and server.zone == zone]
        others = [server for server in primary if not zone or server.zone != zone]
        self.local_tier, self.remote_tier, self.backup_tier = (
            Tier(self.policy.method, members, self.seed, previous)
            for members, previous in zip(
                (local, others, [server for server in enabled if server.backup]), self._tiers(), strict=True
            )
        )
        self.scheduled_updates, self.due = [], {}
        for server in enabled:
            self._update(server.id, now_us)
        if self.randomize_start and is_new:
            for tier in self._tiers():
                tier.advance(rng.randrange(max(1, min(tier.weight * tier.scale, MAX_START_OFFSET))))

    def _tiers(self) -> tuple[Tier, Tier, Tier]:
        return self.local_tier, self.remote_tier, self.backup_tier

    def _update(self, endpoint: int, now_us: int) -> None:
        """Update whether a server is usable, and its weight, from its failures and its calls in flight."""
        server, conns, tracker = (
            self.servers[endpoint],
            self.calls_in_flight.get(endpoint, 0),
            self.failure_trackers.get(endpoint),
        )
        if server.down:
            return
        limit = self.conn_limits.get(endpoint) if self.conn_limits else None
        is_full = (
            conns >= limit if limit is not None else bool(server.max_conns) and conns >= server.max_conns
        )
        is_usable = (tracker is None or tracker.is_usable(now_us)) and not is_full
        share = tracker.weight_steps(now_us) if tracker else STEPS
        for tier in self._tiers():
            if endpoint in tier.servers:
                if is_usable:
                    tier.set_usable(endpoint, conns, share)
                else:
                    tier.set_unusable(endpoint)
        if (
            tracker
            and (
                due_us := tracker.ejected_until_us
                if now_us < tracker.ejected_until_us
                else tracker.next_step_us(now_us)
            )
            and self.due.get(endpoint) != due_us
        ):
            self.due[endpoint] = due_us
            heapq.heappush(self.scheduled_updates, (due_us, endpoint))

    def limit_calls(self, endpoint: int, max_calls: int | None, now_us: int) -> None:
        """Limit concurrent calls to a server, None: to max_conns. Calls in flight are not cancelled."""
        if max_calls is None:
            self.conn_limits.pop(endpoint, None)
        else:
            self.conn_limits[endpoint] = max_calls
        if endpoint in self.servers:
            self._update(endpoint, now_us)

    def _process_due_events(self, now_us: int) -> None:
        while self.scheduled_updates and self.scheduled_updates[0][0] <= now_us:
            _, endpoint = heapq.heappop(self.scheduled_updates)
            if endpoint in self.servers:
                self._update(endpoint, now_us)

    def tiers(
        self, message: int, affinity: str, attempted: Collection[int], now_us: int
    ) -> Iterator[tuple[bool, Iterator[int]]]:
        """See EndpointPreference.tiers: primaries (local zone first), backups, then attempted ones."""
        self._process_due_events(now_us)
        already_attempted = [s for s in attempted if s in self.servers]
        passed_over_servers = list(already_attempted)
        self.passed_over.pop(message, None)
        if len(self.passed_over) >= MAX_PEEKED_MESSAGES:
            self.passed_over.clear()
        self.passed_over[message] = passed_over_servers
        waits_for_first = self.policy.method in HASHES
        ordered = (
            [self.local_tier, self.remote_tier]
            if self._prefers_local_zone(message)
            else [self.remote_tier, self.local_tier]
        )
        ordered = [tier for tier in (*ordered, self.backup_tier) if tier.servers]
        for tier in ordered:
            unattempted = self._unattempted(tier, message, affinity, already_attempted, passed_over_servers)
            yield waits_for_first and not already_attempted, unattempted
        if already_attempted:
            for tier in ordered:
                yield (
                    False,
                    (
                        s
                        for s in tier.order(message, affinity, self.calls_in_flight)
                        if s in already_attempted
                    ),
                )

    def _unattempted(
        self,
        tier: Tier,
        message: int,
        affinity: str,
        attempted: Collection[int],
        passed_over_servers: list[int],
    ) -> Iterator[int]:
        for endpoint in tier.order(message, affinity, self.calls_in_flight):
            if endpoint not in attempted:
                yield endpoint
                # The caller asked for the next server, so this one was not used.
                passed_over_servers.append(endpoint)

    def _prefers_local_zone(self, message: int) -> bool:
        if not self.local_tier.weight:
            return False
        share = self.local_tier.usable_weight / self.local_tier.weight
        return share >= self.policy.spill or uniform_hash(self.seed, message) * self.policy.spill < share

    def call_started(self, message: int, endpoint: int, now_us: int) -> bool:
        """Record the start of a call; return whether it is the first since the server was ejected."""
        passed_over_servers = self.passed_over.pop(message, [])
        if endpoint not in self.servers:
            return False
        for tier in self._tiers():
            tier.choose(endpoint, passed_over_servers)
        self.calls_in_flight[endpoint] = self.calls_in_flight.get(endpoint, 0) + 1
        tracker = self.failure_trackers.get(endpoint)
        is_probe = tracker.call_started(now_us) if tracker else False
        self._update(endpoint, now_us)
        return is_probe

    def call_ended(self, endpoint: int, result: AttemptResult, malformed: bool, now_us: int) -> None:
        """Record the end of a call."""
        if endpoint not in self.servers:
            return
        self.calls_in_flight[endpoint] = max(0, self.calls_in_flight.get(endpoint, 0) - 1)
        if tracker := self.failure_trackers.get(endpoint):
            failed = failure_kind(result, malformed) in self.policy.fails_on
            tracker.call_ended(
                failed, result is AttemptResult.OK or (not failed and result is AttemptResult.ERROR), now_us
            )
        self._update(endpoint, now_us)

    def recovers_at_us(self, now_us: int) -> int:
        """Return when the first server may be used again if all are ejected, else 0."""
        self._process_due_events(now_us)
        if any(tier.rotation_keys for tier in self._tiers()) or not self.failure_trackers:
            return 0
        ejection_ends_us = [
            m.ejected_until_us
            for n, m in self.failure_trackers.items()
            if now_us < m.ejected_until_us and not self.servers[n].down
        ]
        return (
            min(ejection_ends_us)
            if len(ejection_ends_us) == sum(not s.down for s in self.servers.values())
            else 0
        )
