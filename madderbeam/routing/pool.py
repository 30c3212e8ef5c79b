"""A partner's servers in their order of preference: weights, backups, marks, limits, zones, and six methods.

Pure: the time comes in with each call. The decision module takes the first server that its own checks admit
(`madderbeam.policy.endpoint_preference.EndpointPreference`); a pool never sends anything by itself, and never
opens what the module holds back. Terms and their meaning are nginx's (ngx_http_upstream_module);
docs/design/routing.md says where not.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedDict

from madderbeam.policy.events import AttemptResult
from madderbeam.routing.hashing import Ring, Weighted, plain, spread
from madderbeam.routing.marks import STEPS, Mark
from madderbeam.routing.wheel import Wheel

MOST_STEPS = 4096  # by which a pool's first choice is moved, so that couriers are not in step
DRAWS = 20  # of the random methods, before the rest in turn
PEEKS = 256  # messages whose passed-over servers are remembered until they are sent


class Method(Enum):
    """How a server is chosen; the values are those of the setting `method`."""

    ROUND_ROBIN = "round_robin"  # smooth, by weight
    LEAST_CONN = "least_conn"  # fewest calls out by weight; among equals in turn by weight
    HASH = "hash"  # as Cache::Memcached
    CONSISTENT = "consistent_hash"  # Ketama
    RANDOM = "random"  # by weight
    RANDOM_TWO = "random_two"  # the less busy one of two drawn


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
    """One endpoint of a pool. `id`: its number at the courier; `name`: its address."""

    id: int
    name: str
    weight: int = 1
    backup: bool = False
    down: bool = False
    max_conns: int = 0  # calls out at once, 0: no limit
    max_fails: int = 0  # 0: failures are not counted
    fail_timeout_us: int = 10_000_000
    slow_start_us: int = 0
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Policy:
    """How a pool is used. `zone`: of the courier, '' for no preference; below `spill` of the zone's weight
    that can be used, the rest of the messages goes to other zones. `fails_on`: what counts for max_fails."""

    method: Method = Method.ROUND_ROBIN
    zone: str = ""
    spill: float = 0.7
    fails_on: frozenset[str] = frozenset({"error", "timeout", "invalid_header"})


def failure(result: AttemptResult, spoilt: bool) -> str:
    """Which of FAILS_ON an outcome is, '' if none."""
    if spoilt:
        return "invalid_header"
    return {
        AttemptResult.CONNECT_FAILED: "error",
        AttemptResult.RESET: "error",
        AttemptResult.TIMEOUT: "timeout",
        AttemptResult.ERROR: "http_500",
        AttemptResult.OVERLOADED: "overload",
    }.get(result, "")


class Tier:
    """Servers that are tried before those of the next tier, in the order of one method."""

    def __init__(self, method: Method, members: Sequence[Server], seed: int, old: Tier | None = None) -> None:
        """`old`: the tier whose place it takes; who was there keeps its place in the turns."""
        levels = old.kept() if old else {}
        self.method, self.seed = method, seed
        self.servers = {s.id: s for s in members}
        self.rank = {s.id: n for n, s in enumerate(members)}
        self.ids = [s.id for s in members]
        self.scale = STEPS if any(s.slow_start_us for s in members) else 1
        self.wheels: SortedDict = SortedDict()  # by calls out for each weight; one wheel but for least_conn
        self.levels = {n: level for n, level in levels.items() if n in self.servers}  # of those that are out
        self.at: dict[int, float] = {}  # whose wheel each is in
        self.usable_weight = 0
        self.weight = sum(s.weight for s in members)
        self.table = Weighted([s.weight for s in members])
        self.ring: Ring | None = None
        if method is Method.CONSISTENT:
            self.ring = Ring(((s.id, s.name, s.weight) for s in members), old.ring if old else None)

    def enter(self, ident: int, conns: int, share: int = STEPS) -> None:
        """A server can be used, with so many calls out; `share` of its weight in STEPS-ths."""
        weight = self.servers[ident].weight
        key = conns / weight if self.method is Method.LEAST_CONN else 0.0
        turns = max(1, weight * self.scale * share // STEPS)
        if self.at.get(ident) == key and self.wheels[key].weights[self.rank[ident]] == turns:
            return
        self.leave(ident)
        if key not in self.wheels:
            self.wheels[key] = Wheel()
        level = self.levels.pop(ident, 0)
        self.wheels[key].add(self.rank[ident], turns, level)
        self.at[ident] = key
        self.usable_weight += weight

    def leave(self, ident: int) -> None:
        """It can't be used."""
        key = self.at.pop(ident, None)
        if key is None:
            return
        wheel = self.wheels[key]
        self.levels[ident] = wheel.remove(self.rank[ident])
        if not wheel:
            del self.wheels[key]
        self.usable_weight -= self.servers[ident].weight

    def kept(self) -> dict[int, int]:
        """The level of each server in the turns, for a tier that takes this one's place."""
        return self.levels | {n: self.wheels[key].level(self.rank[n]) for n, key in self.at.items()}

    def order(self, message: int, affinity: str, conns: dict[int, int]) -> Iterator[int]:
        """The servers that can be used, best first, each once."""
        if self.method in (Method.ROUND_ROBIN, Method.LEAST_CONN):
            return self._turns()
        return self._once(self._drawn(message, affinity, conns))

    def _turns(self) -> Iterator[int]:
        for wheel in self.wheels.values():
            for rank in wheel.order():
                yield self.ids[rank]

    def _once(self, drawn: Iterator[int]) -> Iterator[int]:
        seen = set()
        for ident in drawn:
            if ident in self.at and ident not in seen:
                seen.add(ident)
                yield ident
        for ident in self._turns():
            if ident not in seen:
                yield ident

    def _drawn(self, message: int, affinity: str, conns: dict[int, int]) -> Iterator[int]:
        """Servers, also such as can't be used, and more than once."""
        if not self.at:
            return
        if self.method is Method.HASH:
            yield from (self.ids[place] for place in plain(self.table, affinity))
            return
        if self.ring is not None:
            yield from self.ring.order(affinity)
            return
        draws = (
            self.ids[self.table.place(int(spread(self.seed, message, n) * self.table.total))]
            for n in range(DRAWS)
        )
        if self.method is Method.RANDOM_TWO:
            pair: list[int] = []
            for ident in draws:
                if ident not in pair and ident in self.at:
                    pair.append(ident)
                if len(pair) == 2:
                    break
            yield from sorted(pair, key=lambda n: conns.get(n, 0) / self.servers[n].weight)
        yield from draws

    def choose(self, ident: int, passed: Iterable[int]) -> None:
        """This one is sent a message; those were passed over."""
        if (key := self.at.get(ident)) is not None:
            ranks = [self.rank[p] for p in passed if self.at.get(p) == key]
            self.wheels[key].choose(self.rank[ident], ranks)

    def turn_on(self, steps: int) -> None:
        """Begin elsewhere than at the first server."""
        for _ in range(steps):
            ident = next(self._turns(), None)
            if ident is not None:
                self.choose(ident, ())


class Pool:
    """The servers of one destination. `chance` says where the turns begin, if `apart` from other
    couriers'."""

    def __init__(
        self, policy: Policy, servers: Sequence[Server], chance: random.Random, apart: bool = False
    ) -> None:
        self.policy, self.apart = policy, apart
        self.seed = chance.getrandbits(63)
        self.conns: dict[int, int] = {}
        self.most: dict[int, int] = {}  # in place of max_conns, where couriers share a server's places
        self.marks: dict[int, Mark] = {}
        self.events: list[tuple[int, int]] = []  # when a server's mark ends or its share rises
        self.due: dict[int, int] = {}  # the newest of these by server
        self.peeked: dict[int, list[int]] = {}  # by message: servers that were passed over
        self.servers: dict[int, Server] = {}
        self.near = self.far = self.backup = Tier(policy.method, (), 0)
        self.replace(servers, 0, chance)

    def replace(self, servers: Sequence[Server], now: int, chance: random.Random) -> None:
        """The list has changed. Who stays keeps its marks, its calls and its place in the turns."""
        begun = not self.servers
        self.servers = {s.id: s for s in servers}
        self.conns = {n: c for n, c in self.conns.items() if n in self.servers}
        self.most = {n: most for n, most in self.most.items() if n in self.servers}
        alone = sum(not s.down for s in servers) == 1
        marks, self.marks = self.marks, {}
        for s in servers:
            if not s.max_fails or alone:
                continue
            mark = marks.get(s.id) or Mark(s.max_fails, s.fail_timeout_us, s.slow_start_us)
            mark.max_fails, mark.fail_timeout_us = s.max_fails, s.fail_timeout_us
            mark.slow_start_us = s.slow_start_us
            self.marks[s.id] = mark
        up = [s for s in servers if not s.down]
        primary, zone = [s for s in up if not s.backup], self.policy.zone
        local = [s for s in primary if zone and s.zone == zone]
        others = [s for s in primary if not zone or s.zone != zone]
        self.near, self.far, self.backup = (
            Tier(self.policy.method, members, self.seed, old)
            for members, old in zip((local, others, [s for s in up if s.backup]), self._tiers(), strict=True)
        )
        self.events, self.due = [], {}
        for s in up:
            self._settle(s.id, now)
        if self.apart and begun:
            for tier in self._tiers():
                tier.turn_on(chance.randrange(max(1, min(tier.weight * tier.scale, MOST_STEPS))))

    def _tiers(self) -> tuple[Tier, Tier, Tier]:
        return self.near, self.far, self.backup

    def _settle(self, ident: int, now: int) -> None:
        """Bring a server into the wheels that it belongs to, by its mark and its calls."""
        server, conns, mark = self.servers[ident], self.conns.get(ident, 0), self.marks.get(ident)
        if server.down:
            return
        most = self.most.get(ident) if self.most else None
        full = conns >= most if most is not None else bool(server.max_conns) and conns >= server.max_conns
        usable = (mark is None or mark.usable(now)) and not full
        share = mark.share(now) if mark else STEPS
        for tier in self._tiers():
            if ident in tier.servers:
                if usable:
                    tier.enter(ident, conns, share)
                else:
                    tier.leave(ident)
        if (
            mark
            and (at := mark.until if now < mark.until else mark.next_step_us(now))
            and self.due.get(ident) != at
        ):
            self.due[ident] = at
            heapq.heappush(self.events, (at, ident))

    def allow(self, ident: int, most: int | None, now: int) -> None:
        """So many calls at once from now on, None: max_conns. Those that are out go on."""
        if most is None:
            self.most.pop(ident, None)
        else:
            self.most[ident] = most
        if ident in self.servers:
            self._settle(ident, now)

    def _pass_time(self, now: int) -> None:
        while self.events and self.events[0][0] <= now:
            _, ident = heapq.heappop(self.events)
            if ident in self.servers:
                self._settle(ident, now)

    def tiers(
        self, message: int, affinity: str, tried: Collection[int], now: int
    ) -> Iterator[tuple[bool, Iterator[int]]]:
        """As Preference.tiers: primaries (the own zone's first), then backups; the tried ones last."""
        self._pass_time(now)
        again = [s for s in tried if s in self.servers]
        passed = list(again)
        self.peeked.pop(message, None)
        if len(self.peeked) >= PEEKS:
            self.peeked.clear()
        self.peeked[message] = passed
        waited = self.policy.method in HASHES
        wanted = [self.near, self.far] if self._stays_near(message) else [self.far, self.near]
        wanted = [tier for tier in (*wanted, self.backup) if tier.servers]
        for tier in wanted:
            fresh = self._fresh(tier, message, affinity, again, passed)
            yield waited and not again, fresh
        if again:
            for tier in wanted:
                yield False, (s for s in tier.order(message, affinity, self.conns) if s in again)

    def _fresh(
        self, tier: Tier, message: int, affinity: str, tried: Collection[int], passed: list[int]
    ) -> Iterator[int]:
        for ident in tier.order(message, affinity, self.conns):
            if ident not in tried:
                yield ident
                passed.append(ident)  # asked for the next: this one was not taken

    def _stays_near(self, message: int) -> bool:
        if not self.near.weight:
            return False
        share = self.near.usable_weight / self.near.weight
        return share >= self.policy.spill or spread(self.seed, message) * self.policy.spill < share

    def begun(self, message: int, ident: int, now: int) -> bool:
        """A call goes to this server; whether it is the first since it was out for its failures."""
        passed = self.peeked.pop(message, [])
        if ident not in self.servers:
            return False
        for tier in self._tiers():
            tier.choose(ident, passed)
        self.conns[ident] = self.conns.get(ident, 0) + 1
        mark = self.marks.get(ident)
        probe = mark.begun(now) if mark else False
        self._settle(ident, now)
        return probe

    def ended(self, ident: int, result: AttemptResult, spoilt: bool, now: int) -> None:
        """A call there has ended."""
        if ident not in self.servers:
            return
        self.conns[ident] = max(0, self.conns.get(ident, 0) - 1)
        if mark := self.marks.get(ident):
            failed = failure(result, spoilt) in self.policy.fails_on
            mark.ended(
                failed, result is AttemptResult.OK or (not failed and result is AttemptResult.ERROR), now
            )
        self._settle(ident, now)

    def reopens_us(self, now: int) -> int:
        """When the first server may be used again, if all are out for their failures; else 0."""
        self._pass_time(now)
        if any(tier.at for tier in self._tiers()) or not self.marks:
            return 0
        ends = [m.until for n, m in self.marks.items() if now < m.until and not self.servers[n].down]
        return min(ends) if len(ends) == sum(not s.down for s in self.servers.values()) else 0
