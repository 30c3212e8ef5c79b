"""What an admission by the quotas' tree costs, and by credits: CPU and memory, by depth and by how many nodes
there are.

python bench/quota.py [--nodes 10000] [--depth 4] [--messages 40000]
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
import tracemalloc
from typing import Any

from madderbeam.quota.admission import QuotaAdmission
from madderbeam.quota.tree import NO_LIMITS, Admitted, Limit, Limits, Node, Tree


def limits(amount: int, dims: int, reserved: int = 0) -> Limits:
    rows = [
        Limit(amount, 0, reserved),
        Limit(amount * 1000, amount * 64_000),
        Limit(amount * 1800),
        Limit(amount * 500_000),
    ]
    return tuple(row if at < dims else None for at, row in enumerate(rows))  # type: ignore[return-value]


def grown(nodes: int, depth: int, dims: int) -> tuple[Tree, list[Node]]:
    """A tree of this depth with so many leaves, each with a share in all dimensions."""
    fan = max(2, round(nodes ** (1 / (depth - 1))))
    tree = Tree(limits(fan ** (depth - 1) * 8, dims))
    level = [tree.root]
    for height in range(depth - 2, -1, -1):
        amount = fan**height * 8
        own = limits(amount, dims)
        level = [
            tree.add(parent, str(n), own, own if height else NO_LIMITS)
            for parent in level
            for n in range(fan)
        ]
    return tree, level


FIELDS = (
    ("messages_per_s", 1, ""),
    ("bytes_per_s", 1_000, "burst_bytes"),
    ("messages_per_h", 1_800, ""),
    ("bytes_per_h", 500_000, ""),
)


def written(amount: int, dims: int) -> dict[str, int]:
    """Limits as the courier's file has them."""
    found = {}
    for name, factor, burst in FIELDS[:dims]:
        found[name] = amount * factor
        if burst:
            found[burst] = amount * 64_000
    return found


def gate(
    nodes: int, depth: int, dims: int, leased: bool, leaf: int = 800
) -> tuple[QuotaAdmission, list[str]]:
    """A gate over such a tree; a tenant at each leaf."""
    fan = max(2, round(nodes ** (1 / (depth - 1))))
    top = written(fan ** (depth - 1) * leaf, dims)
    rows: list[dict[str, Any]] = [{"name": "top", "limit": top}]
    level = ["top"]
    for height in range(depth - 2, -1, -1):
        own = written(fan**height * leaf, dims)
        made = [(f"{parent}.{n}", parent) for parent in level for n in range(fan)]
        level = [name for name, _ in made]
        for name, parent in made:
            more = {"limit": own} if height else {"tenants": [name]}
            rows.append({"name": name, "parent": parent, "share": own, **more})
    found = QuotaAdmission({"form": 1, "couriers": 1, "nodes": rows}, 0, random.Random(1), 10**9, leased)
    if found.leased is not None:
        for name in found.leased.nodes:
            found.set_lease(name, 1.0, 1 << 60, 0.0, 0)
    return found, level


def cost(made: QuotaAdmission, asked: list[tuple[str, str, int, int, int]]) -> tuple[float, float]:
    """Median us a message over tenths of them, and the share that passed."""
    costs, passed = [], 0
    for first in range(0, len(asked), len(asked) // 10):
        part = asked[first : first + len(asked) // 10]
        began = time.process_time()
        passed += sum(made.admit(*row).passed for row in part)
        costs.append((time.process_time() - began) / len(part) * 1e6)
    return statistics.median(costs), passed / len(asked)


def credits(nodes: int, depth: int, messages: int) -> None:
    """The gate with credits against the gate without, on the same messages."""
    for dims in (1, 2, 4):
        for busy in (100, 1_000, nodes):
            rows = []
            for leased in (False, True):
                for off in (True, False):
                    made, leaves = gate(nodes, depth, dims, leased)
                    if off:
                        made.credits.draw = lambda *_: False  # type: ignore[method-assign]
                    chance = random.Random(2)
                    some = chance.sample(leaves, min(busy, len(leaves)))
                    start = 3_600_000_000  # buckets that a lease begins with are full by then
                    asked = [
                        (chance.choice(some), "notice", chance.randrange(20, 2000), 0, start + n * 20)
                        for n in range(messages)
                    ]
                    rows.append(cost(made, asked))
            (tree, a), (bulk, b), (_, c), (lease, d) = rows
            print(
                f"{dims} dimensions, {busy} leaves busy: tree {tree:.1f} us, credits {bulk:.1f} us "
                f"({tree / bulk:.1f} times), by a lease {lease:.1f} us ({tree / lease:.1f} times); "
                f"passed {a:.3f}, {b:.3f}, {c:.3f}, {d:.3f}"
            )


def split(
    couriers: int, load: float, uneven: float, seconds: int = 600, limit: int = 40
) -> tuple[float, float]:
    """Share of messages that are refused: by one central limit, and by equal parts of it at couriers that
    can't talk. `load`: what comes, as a share of the limit; `uneven`: the part that one courier gets."""
    chance, at = random.Random(1), 0.0
    whole = [Tree((Limit(limit, 2 * limit), None, None, None))]
    parts = [
        Tree((Limit(limit // couriers, 2 * limit // couriers), None, None, None)) for _ in range(couriers)
    ]
    refused, count = [0, 0], 0
    while at < seconds:
        at += chance.expovariate(limit * load)
        one = 0 if chance.random() < uneven else chance.randrange(1, couriers)
        for n, tree in enumerate((whole[0], parts[one])):
            refused[n] += not isinstance(tree.admit(tree.root, 0, int(at * 1e6)), Admitted)
        count += 1
    return refused[0] / count, refused[1] / count


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=10_000)
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--messages", type=int, default=40_000)
    args = parser.parse_args()
    for dims in (1, 2, 4):
        tracemalloc.start()
        tree, leaves = grown(args.nodes, args.depth, dims)
        size = tracemalloc.get_traced_memory()[0] / tree.size
        tracemalloc.stop()
        chance = random.Random(1)
        asked = [(chance.choice(leaves), chance.randrange(20, 2000), at * 20) for at in range(args.messages)]
        costs = []
        passed = 0
        for first in range(0, args.messages, args.messages // 10):
            part = asked[first : first + args.messages // 10]
            began = time.process_time()
            passed += sum(isinstance(tree.admit(*row), Admitted) for row in part)
            costs.append((time.process_time() - began) / len(part) * 1e6)
        print(
            f"{tree.size} nodes, depth {args.depth}, {dims} dimensions: {statistics.median(costs):.1f} us "
            f"a message (best {min(costs):.1f}), {size:.0f} bytes a node, "
            f"{passed / args.messages:.0%} passed"
        )

    credits(args.nodes, args.depth, args.messages)

    for load in (0.5, 0.9):
        for uneven in (0.25, 0.4):
            central, equal = split(4, load, uneven)
            print(
                f"four couriers, {load:.0%} of the limit, {uneven:.0%} at one: {central:.3f} refused by "
                f"a central limit, {equal:.3f} by equal parts"
            )


if __name__ == "__main__":
    main()
