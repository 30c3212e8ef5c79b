"""A tree whose limits are divided by leases: each node's limits are scaled by this courier's fraction.

A fraction scales a limit's rate, its buckets and the shares of the node's children alike, in whole units
rounded down: so over all couriers no limit's rate is exceeded. Levels are not transferred: what a bucket
holds beyond its capacity as the fraction falls is lost, and one whose fraction grows fills by its rate. A
bucket holds at least one message (and `CAPACITY_MIN_BYTES`) while its fraction is above 0, or nothing could
pass if many couriers need little. Debts stay, and are paid from what the share earns now.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from madderbeam.quota.split import FILLING, NEVER, UNITS_EACH, Part, Split
from madderbeam.quota.tree import DIMENSIONS, NeverFits, Node, Tree, levels

WHOLE_LIMIT = 1 << 20  # the fraction of a whole limit
LEASED_NODES_MAX = 64  # the first by depth; the others are divided equally
CAPACITY_MIN_BYTES = 16_384


@dataclass
class UnscaledLimit:
    """A limit for all couriers together.

    `parts`: those of its children, with their unscaled rates and capacities.
    """

    split: Split
    capacity_min: int  # least capacity of its bucket, in level units
    rate: int
    capacity: int
    parts: list[tuple[Part, int, int, int, int, int]]

    @classmethod
    def of(cls, split: Split, dimension: int) -> UnscaledLimit:
        """The unscaled limit; `dimension` is the index in DIMENSIONS."""
        parts = [
            (part, part.reserved.rate, part.reserved.capacity, part.rate, part.capacity, part.debt_max)
            for part in split.parts
        ]
        capacity_min = UNITS_EACH if dimension % 2 == 0 else CAPACITY_MIN_BYTES * UNITS_EACH
        return cls(split, min(split.capacity, capacity_min), split.rate, split.capacity, parts)

    def scale(self, fraction: int, now_us: int) -> None:
        """Set this courier's fraction, in WHOLE_LIMIT."""
        split = self.split
        time_us = split.advance(now_us)
        split.checks.clear()
        split.pool_inflow = 0
        split.unshared_rate = split.rate = self.rate * fraction // WHOLE_LIMIT
        split.capacity = max(self.capacity * fraction // WHOLE_LIMIT, self.capacity_min if fraction else 0)
        split.pool_capacity = split.capacity
        for part, reserved, reserved_capacity, rate, capacity, debt_max in self.parts:
            paid = part.debt - part.debt_at(time_us)
            part.repaid += paid
            part.debt -= paid
            part.level, part.since_us = part.bucket_level(time_us), time_us
            bucket = part.reserved
            bucket.level, bucket.since_us = bucket.level_at(time_us), time_us
            bucket.rate, bucket.capacity = (
                reserved * fraction // WHOLE_LIMIT,
                reserved_capacity * fraction // WHOLE_LIMIT,
            )
            part.rate, part.capacity = rate * fraction // WHOLE_LIMIT, capacity * fraction // WHOLE_LIMIT
            part.debt_max = max(
                debt_max * fraction // WHOLE_LIMIT, min(debt_max, self.capacity_min) if fraction else 0
            )
            bucket.level, part.level = min(bucket.level, bucket.capacity), min(part.level, part.capacity)
            split.unshared_rate -= bucket.rate + part.rate
            split.pool_capacity -= bucket.capacity + part.capacity
            part.state, part.next_check_us = FILLING, NEVER
            split._set_state(part)
        split.pool = min(split.pool, split.pool_capacity)
        split.saved_level = min(split.saved_level, split.pool)

    def ever_available(self, part: Part | None) -> int:
        """Level units that could ever be taken at once with the whole limit."""
        if part is None:
            return self.capacity - sum(
                reserved_capacity + capacity for _, _, reserved_capacity, _, capacity, _ in self.parts
            )
        _, _, reserved_capacity, _, capacity, debt_max = next(row for row in self.parts if row[0] is part)
        lent = self.capacity - sum(row[2] + row[4] for row in self.parts)
        return reserved_capacity + capacity + (min(lent, debt_max) if part.has_share else lent)


@dataclass
class LeasedNode:
    """This courier's fraction of a node's limits, in WHOLE_LIMIT, until `until_us`; then it is `fallback`."""

    node: Node
    bases: list[UnscaledLimit]
    fraction: int = 0
    until_us: int = NEVER
    fallback: int = 0


class LeasedLimits:
    """All limits of a tree, divided by leases. Nothing passes before the first lease."""

    def __init__(self, tree: Tree, couriers: int, now_us: int) -> None:
        """`couriers`: how many share the nodes that have no lease."""
        self.tree = tree
        self.nodes: dict[str, LeasedNode] = {}  # by node name
        self.bases: dict[Split, UnscaledLimit] = {}
        self.next_expiry_us = NEVER  # when the first lease expires
        self.unleased_count = 0  # nodes that are divided equally
        for node in _by_depth(tree.root):
            bases = [
                UnscaledLimit.of(split, dimension)
                for dimension, split in enumerate(node.splits)
                if split is not None
            ]
            if not bases:
                continue
            self.bases.update((base.split, base) for base in bases)
            is_leased = len(self.nodes) < LEASED_NODES_MAX
            for base in bases:
                base.scale(0 if is_leased else WHOLE_LIMIT // couriers, now_us)
            if is_leased:
                self.nodes[node.name] = LeasedNode(node, bases)
            else:
                self.unleased_count += 1

    def set_lease(self, name: str, amount: float, until_us: int, fallback: float, now_us: int) -> None:
        """Set the fraction of a node's limits until `until_us`; from then on it is `fallback`."""
        lease = self.nodes.get(name)
        if lease is None:
            return
        lease.until_us, lease.fallback = until_us, int(fallback * WHOLE_LIMIT)
        self._set(lease, int(amount * WHOLE_LIMIT) if now_us < until_us else lease.fallback, now_us)
        self._next(now_us)

    def debt_max_of(self, split: Split, part: Part) -> int:
        """The most that a part may owe with the whole limit."""
        return next(row[5] for row in self.bases[split].parts if row[0] is part)

    def expire(self, now_us: int) -> None:
        """Scale the limits whose leases have expired."""
        for lease in self.nodes.values():
            if now_us >= lease.until_us:
                self._set(lease, lease.fallback, now_us)
        self._next(now_us)

    def _set(self, lease: LeasedNode, fraction: int, now_us: int) -> None:
        if fraction != lease.fraction:
            lease.fraction = fraction
            for base in lease.bases:
                base.scale(fraction, now_us)

    def _next(self, now_us: int) -> None:
        self.next_expiry_us = min(
            (lease.until_us for lease in self.nodes.values() if lease.until_us > now_us), default=NEVER
        )

    def never_fits(self, node: Node, size: int) -> NeverFits | None:
        """The limit that the message would exceed even if all limits were whole, if any."""
        for dimension in range(4):
            need = UNITS_EACH if dimension % 2 == 0 else size * UNITS_EACH
            for limited_node, split, part in levels(node, dimension):
                if (most := self.bases[split].ever_available(part)) < need:
                    return NeverFits(limited_node.path, " a ".join(DIMENSIONS[dimension]), most // UNITS_EACH)
        return None

    # Needs

    def needed_fraction(self, lease: LeasedNode, messages: float, size: float, largest: int) -> float:
        """The fraction of a node's limits that this many messages and bytes per second take.

        The largest of all dimensions counts (the dominant resource of Dominant Resource Fairness), and so
        does one message of `largest` bytes.
        """
        fraction = 0.0
        for dimension, split in enumerate(lease.node.splits):
            if split is None:
                continue
            base = self.bases[split]
            units_per_us = (messages, size)[dimension % 2] * UNITS_EACH / 1e6
            fraction = max(fraction, units_per_us / base.rate)
            if largest:
                fraction = max(fraction, (1 if dimension % 2 == 0 else largest) * UNITS_EACH / base.capacity)
        return min(1.0, fraction)


def _by_depth(root: Node) -> Iterator[Node]:
    level = [root]
    while level:
        yield from level
        level = [child for node in level for child in node.children.values()]
