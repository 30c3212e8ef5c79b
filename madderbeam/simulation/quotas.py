"""Quotas in the simulation: a tree for a sidecar's tenants, and the seventh rule, that no limit of it is
passed.

The meter counts what clients were told is taken on, by node and courier, over restarts: in no window more
than the limit gives with what may come at once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from madderbeam.simulation.checker import Checker, Handed

WINDOWS_US = (200_000, 1_000_000, 4_000_000)
HOUR_US = 3_600_000_000


def tree(tenants: list[str], couriers: int, rate: float, seed: int) -> dict[str, Any]:
    """Two organisations; each ensemble has a share, of which the last class has a part reserved."""
    chance = random.Random(f"quota {seed}")
    nodes: list[dict[str, Any]] = []
    for n in range(2):
        own = tenants[n::2]
        amount = max(4, int(rate * chance.choice((0.3, 0.6, 1.2)))) * couriers
        hour = amount * chance.choice((8, 24, 100))
        limit = {"messages_per_s": amount, "burst_messages": amount * 2, "messages_per_h": hour}
        nodes.append({"name": f"org-{n}", "limit": limit})
        for tenant in own:
            part, each = max(1, amount // (len(own) + 1)), hour // (len(own) + 1)
            share = {"messages_per_s": part, "burst_messages": part, "messages_per_h": each}
            kept = {"messages_per_s": part // 2, "messages_per_h": each // 2}
            nodes.append(
                {"name": tenant, "parent": f"org-{n}", "share": share, "reserved": kept, "tenants": [tenant]}
            )
    return {"form": 1, "couriers": couriers, "nodes": nodes}


class Meter:
    """Counts by courier and organisation. `tenant` tells whose a message is."""

    def __init__(self, raw: dict[str, Any], checker: Checker, tenant: Callable[[Handed], str]) -> None:
        self.checker, self.tenant = checker, tenant
        parts = raw["couriers"]
        tops = {row["name"]: row["limit"] for row in raw["nodes"] if "limit" in row}
        self.limits = {
            name: (v["messages_per_s"] // parts, v["burst_messages"] // parts, v["messages_per_h"] // parts)
            for name, v in tops.items()
        }
        self.tops = {row["name"]: row["parent"] for row in raw["nodes"] if "parent" in row}
        self.times: dict[tuple[str, str], deque[int]] = {}

    def taken(self, m: Handed, now: int) -> None:
        """The courier has said that it has taken this one on."""
        top = self.tops.get(self.tenant(m))
        if top is None or m.life is None:
            return
        times = self.times.setdefault((m.life.courier, top), deque())
        times.append(now)
        for text in self._over(top, times, now):
            self.checker.broken("quota", f"{m.life.courier}: {top}: {text}")

    def _over(self, top: str, times: deque[int], now: int) -> Iterator[str]:
        a_second, burst, an_hour = self.limits[top]
        for window in WINDOWS_US:
            count = sum(at > now - window for at in times)
            most = burst + a_second * window / 1e6 + 1
            if count > most:
                yield f"{count} messages in {window} us, {most:.0f} at most"
        most = an_hour / 4 + an_hour * 0.75 * (now - times[0]) / HOUR_US + 1  # a bucket holds a fourth of it
        if len(times) > most:
            yield f"{len(times)} messages of {an_hour} an hour in {now - times[0]} us, {most:.0f} at most"
