"""Pools in the simulation: what stands beside a sidecar's partner list, and what is held of a courier's
pools.

Weights, backups, marks and limits are drawn by an endpoint's id, so that they stay as lists change.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

# Written out, and routers told by what they have: `--compare` plays couriers that had none.
METHODS = ("round_robin", "least_conn", "hash", "consistent_hash", "random", "random_two")


def routing(targets: list[dict[str, Any]], seed: int) -> dict[str, Any]:
    """The pools of a list: of some destinations, with servers of all kinds."""
    pools: dict[str, dict[str, Any]] = {}
    for target in targets:
        dest = target["pod_group"]
        chance = random.Random(f"pool {seed} {dest}")
        if chance.random() < 0.25:
            continue
        method = chance.choice(METHODS)
        pool = pools.setdefault(
            str(dest),
            {
                "method": method,
                "hash_on": chance.choice(("tenant", "key", "id")),
                "subset": chance.choice((0, 0, 2)),
                "fails_on": chance.choice(
                    (["error", "timeout", "invalid_header"], ["error", "timeout", "http_500", "overload"])
                ),
                "servers": [],
            },
        )
        pool["servers"].append({"address": target["endpoint"], **_server(target["uid"], seed)})
    return {"form": 1, "pools": pools, "names": {}, "routes": []}


def _server(uid: str, seed: int) -> dict[str, Any]:
    chance = random.Random(f"server {seed} {uid}")
    found: dict[str, Any] = {"weight": chance.randint(1, 4), "backup": chance.random() < 0.25}
    if chance.random() < 0.5:
        found |= {
            "max_fails": chance.randint(1, 3),
            "fail_timeout_us": chance.choice((200_000, 2_000_000)),
            "slow_start_us": chance.choice((0, 1_000_000)),
        }
    if chance.random() < 0.2:
        found["max_conns"] = chance.randint(1, 3)
    return found


def wrong(courier: Any) -> Iterator[str]:
    """What a router keeps, held against the decision module's own calls; nothing where there is no router."""
    router = courier.state.endpoint_preference
    for number, pool in router.pools.items() if router is not None else ():
        yield from _pool(number, pool, courier)


def _pool(number: int, pool: Any, courier: Any) -> Iterator[str]:
    for ident in pool.servers:
        endpoint = courier.state.endpoints.get(ident)
        out = len(endpoint.calls) if endpoint else 0
        if pool.calls_in_flight.get(ident, 0) > out:  # fewer, where it came into the pool with calls out
            yield f"pool {number} counts {pool.calls_in_flight[ident]} calls to server {ident}, {out} are out"
        tracker = pool.failure_trackers.get(ident)
        if tracker and tracker.probe_in_flight and not out:
            yield f"pool {number} waits for a probe of server {ident} that nobody makes"
    if len(pool.scheduled_updates) > 4 * len(pool.servers) + 16:
        yield f"pool {number} keeps {len(pool.scheduled_updates)} instants for {len(pool.servers)} servers"
    if set(pool.calls_in_flight) - set(pool.servers):
        yield f"pool {number} counts calls of servers that have gone"
