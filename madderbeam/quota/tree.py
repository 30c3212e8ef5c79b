"""The tree of quotas: a message passes if each node on its path has room in each dimension, all or nothing.

Of a parent's reserved part a message may take only what it took of the child's reserved part: so what is
borrowed further down can never use up what is reserved further up. Hence each reserved part has to be within
the parent's own, which `Tree.add` checks.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from madderbeam.quota.split import FILLING, HOUR, SECOND, UNITS_EACH, Part, Split

DIMENSIONS = (("messages", SECOND), ("bytes", SECOND), ("messages", HOUR), ("bytes", HOUR))
REPAID_WITHIN_US = 4 * 3_600_000_000  # after this all that was lent has been repaid
CREDIT_SPARE_FACTOR = 3  # a credit leaves this many times its size where it is drawn
RETRY_AFTER_PRECISION_US = 1_000  # precision of Retry-After


@dataclass(frozen=True)
class Limit:
    """What passes per second or hour, in messages or bytes. A share is a fraction of the parent's limit."""

    amount: int
    burst: int = 0  # most messages or bytes at once; 0: as many as `amount`
    reserved: int = 0  # of a share: what is never lent

    def __post_init__(self) -> None:
        if self.amount <= 0 or self.burst < 0 or not 0 <= self.reserved <= self.amount:
            raise ValueError("a limit is above 0, its burst 0 or more, its reserved part from 0 to all of it")

    @property
    def at_once(self) -> int:
        """Most messages or bytes at once: the burst, or the amount of one period if none is configured."""
        return self.burst or self.amount


# For each limit: the split, the part of the child below, the units taken of its reserved bucket, of its own
# bucket and of the pool, and the time.
Plan = list[tuple[Split, "Part | None", int, int, int, int]]
Limits = tuple[Limit | None, Limit | None, Limit | None, Limit | None]  # in the order of DIMENSIONS
NO_LIMITS: Limits = (None, None, None, None)


@dataclass(frozen=True)
class Admitted:
    """The message was counted at each node of its path."""

    borrowed: bool = False  # some units were borrowed


_PASSED, _BORROWED = Admitted(), Admitted(True)


@dataclass(frozen=True)
class Rejected:
    """There is no room now."""

    node: str
    dimension: str
    after_us: int  # it would pass after this if nothing else came


@dataclass(frozen=True)
class NeverFits:
    """The message is larger than what may ever pass at once."""

    node: str
    dimension: str
    most: int  # messages or bytes


class Node:
    """One node: its limits, split among its children, and its parts of its parent's limits."""

    __slots__ = ("children", "limits_by_dimension", "name", "parent", "parts", "splits")

    def __init__(self, name: str, parent: Node | None) -> None:
        self.name, self.parent = name, parent
        self.splits: list[Split | None] = [None] * 4
        self.parts: list[Part | None] = [None] * 4
        self.children: dict[str, Node] = {}
        # The limits that apply to a message at this node: for each dimension that has any, from here to the
        # root.
        self.limits_by_dimension: list[tuple[bool, list[tuple[Split, Part | None]]]] | None = None

    def find_limits(self) -> list[tuple[bool, list[tuple[Split, Part | None]]]]:
        """Set `limits_by_dimension` at the first message; a node's limits and shares do not change."""
        found = [
            (bool(dimension % 2), [(split, part) for _, split, part in levels(self, dimension)])
            for dimension in range(4)
        ]
        self.limits_by_dimension = [(by_bytes, rows) for by_bytes, rows in found if rows]
        return self.limits_by_dimension

    @property
    def path(self) -> str:
        """The names from the root to this node, joined by slashes."""
        above = self.parent.path if self.parent else ""
        return f"{above}/{self.name}" if above else self.name


@dataclass(frozen=True)
class UsageRow:
    """A line of `quota show`: one node in one dimension, in messages or bytes, rounded down."""

    node: str
    dimension: str
    room: int  # what may pass now
    borrowed: int
    owed: int


def levels(node: Node, dimension: int) -> Iterator[tuple[Node, Split, Part | None]]:
    """The limits of one dimension from a node to the root: node, split, and the part of the child below."""
    part: Part | None = None
    level_node: Node | None = node
    while level_node is not None:
        if (split := level_node.splits[dimension]) is not None:
            yield level_node, split, part
        part = level_node.parts[dimension]
        level_node = level_node.parent


class Tree:
    """All nodes. Times are microseconds of a monotonic clock."""

    def __init__(self, limits: Limits = NO_LIMITS, now_us: int = 0, name: str = "all") -> None:
        self.root = self._node(name, None, limits, now_us)
        self.size = 1

    @staticmethod
    def _node(name: str, parent: Node | None, limits: Limits, now_us: int) -> Node:
        node = Node(name, parent)
        for dimension, (limit, (_, period)) in enumerate(zip(limits, DIMENSIONS, strict=True)):
            if limit is not None:
                node.splits[dimension] = Split(limit.amount, period, limit.at_once, now_us)
        return node

    def add(
        self, parent: Node, name: str, shares: Limits = NO_LIMITS, limits: Limits = NO_LIMITS, now_us: int = 0
    ) -> Node:
        """Add a child with its shares of the parent's limits and with limits of its own.

        Raises ValueError, in one line that names node and dimension, if the shares of all children exceed the
        limit, or their reserved parts exceed what the parent has reserved.
        """
        if name in parent.children:
            raise ValueError(f"{parent.path}/{name}: is there already")
        node = self._node(name, parent, limits, now_us)
        for dimension, share in enumerate(shares):
            if share is None:
                continue
            split, label = parent.splits[dimension], f"{node.path}: {' a '.join(DIMENSIONS[dimension])}"
            if split is None:
                raise ValueError(f"{label}: a share needs a limit of {parent.path}")
            self._reserves(parent, dimension, share, label)
            try:
                node.parts[dimension] = split.add_part(share.amount, share.reserved, share.at_once, now_us)
            except ValueError as error:
                raise ValueError(f"{label}: {error}") from None
        parent.children[name] = node
        self.size += 1
        return node

    @staticmethod
    def _reserves(parent: Node, dimension: int, share: Limit, label: str) -> None:
        """Check that the children's reserved parts are within the parent's own."""
        above = parent.parts[dimension]
        split = parent.splits[dimension]
        assert split is not None
        if above is None or not share.reserved:
            return
        reserved_rate = sum(part.reserved.rate for part in split.parts)
        if reserved_rate + share.reserved * (14_400 if split.period == SECOND else 3) > above.reserved.rate:
            raise ValueError(f"{label}: what children have reserved is within what {parent.path} has")

    # Admission

    def admit(self, node: Node, size: int, now_us: int, lend: bool = True) -> Admitted | Rejected | NeverFits:
        """Count a message of `size` bytes at each node of its path, or at none if one has no room.

        `lend`: whether it may borrow.
        """
        plan = self._plan(node, UNITS_EACH, size * UNITS_EACH, now_us, lend)
        if plan is None:
            return self._rejection(node, size, now_us)
        borrowed = False
        for split, part, reserved, own, lent, time_us in plan:
            if part is None:
                split.pool -= lent
            else:
                split.take(part, reserved, own, lent, time_us)
                borrowed |= bool(lent) and part.has_share
        return _BORROWED if borrowed else _PASSED

    def _plan(
        self, node: Node, messages: int, size: int, now_us: int, lend: bool, spare: int = 0
    ) -> Plan | None:
        """The units to take at each limit; None if there is no room.

        `spare`: how many times as much has to stay.
        """
        plan: Plan = []
        for by_bytes, ways in (
            node.limits_by_dimension if node.limits_by_dimension is not None else node.find_limits()
        ):
            need = size if by_bytes else messages
            lower = -1  # units taken of the reserved part below; -1 at the leaf
            for split, part in ways:
                time_us = split.since_us
                if now_us > time_us:
                    due = split.checks
                    if due and due[0][0] <= now_us:
                        split.advance(now_us)
                    else:
                        pool = split.pool + (split.unshared_rate + split.pool_inflow) * (now_us - time_us)
                        split.pool = pool if pool < split.pool_capacity else split.pool_capacity
                        split.since_us = now_us
                    time_us = now_us
                if part is None:
                    if split.pool < need + spare * need:
                        return None
                    plan.append((split, None, 0, 0, need, time_us))
                    continue
                reserved = 0
                if lower and part.reserved.capacity:
                    reserved = min(need if lower < 0 else lower, part.reserved.level_at(time_us))
                lower = reserved
                rest = need - reserved
                own = (
                    part.level + part.rate * (time_us - part.since_us)
                    if part.state == FILLING
                    else part.level
                )
                if own >= rest + spare * need:
                    plan.append((split, part, reserved, rest, 0, time_us))
                elif spare and part.has_share:
                    return None
                elif (lend or not part.has_share) and rest - own <= split.lendable(
                    part, time_us
                ) - spare * need:
                    plan.append((split, part, reserved, own, rest - own, time_us))
                else:
                    return None
        return plan

    # Credits

    def draw_credit(self, node: Node, messages: int, size: int, now_us: int) -> Plan | None:
        """Take room for several messages of `size` bytes in total, from plenty and without borrowing.

        None if there is not enough.
        """
        plan = self._plan(node, messages * UNITS_EACH, size * UNITS_EACH, now_us, False, CREDIT_SPARE_FACTOR)
        for split, part, reserved, own, lent, time_us in plan or ():
            split.lock(part, reserved, own, lent, time_us)
        return plan

    @staticmethod
    def return_credit(node: Node, plan: Plan, messages: int, size: int, now_us: int) -> None:
        """A credit has ended: give back the messages and bytes of it that were not used.

        They go back in reverse order of taking: to the pool, the own bucket, the reserved bucket.
        """
        remaining = iter(plan)
        for by_bytes, ways in node.limits_by_dimension or ():
            for _ in ways:
                split, part, reserved, own, lent, _ = next(remaining)
                units = (size if by_bytes else messages) * UNITS_EACH
                to_pool = min(units, lent)
                to_own = min(units - to_pool, own)
                back = (min(units - to_pool - to_own, reserved), to_own, to_pool)
                split.unlock(part, (reserved, own, lent), back, split.advance(now_us))

    # Rejections

    def _rejection(self, node: Node, size: int, now_us: int) -> Rejected | NeverFits:
        """Which limit rejects the message, and when it would pass: the latest of all limits in its way."""
        worst: Rejected | None = None
        for dimension, names in enumerate(DIMENSIONS):
            need = UNITS_EACH if dimension % 2 == 0 else size * UNITS_EACH
            for limited_node, split, part in levels(node, dimension):
                label = " a ".join(names)
                if split.ever_available(part) < need:
                    return NeverFits(limited_node.path, label, split.ever_available(part) // UNITS_EACH)
                after_us = self._retry_after_us(split, part, need, split.advance(now_us))
                if worst is None or after_us > worst.after_us:
                    worst = Rejected(limited_node.path, label, after_us)
        assert worst is not None
        return worst

    @staticmethod
    def _retry_after_us(split: Split, part: Part | None, need: int, now_us: int) -> int:
        """Microseconds until there is room, if nothing else comes."""
        if split.available_after(part, now_us, 0) >= need:
            return 0
        low_us, high_us = 0, REPAID_WITHIN_US
        while high_us - low_us > RETRY_AFTER_PRECISION_US:
            middle_us = (low_us + high_us) // 2
            if split.available_after(part, now_us, middle_us) >= need:
                high_us = middle_us
            else:
                low_us = middle_us
        return high_us

    # Reading

    def nodes(self, node: Node | None = None) -> Iterator[Node]:
        """All nodes, parents first."""
        node = node or self.root
        yield node
        for child in node.children.values():
            yield from self.nodes(child)

    def usage(self, now_us: int) -> Iterator[UsageRow]:
        """One line for each share of each node."""
        for node in self.nodes():
            for dimension, part in enumerate(node.parts):
                if part is not None and node.parent is not None:
                    split = node.parent.splits[dimension]
                    assert split is not None
                    time_us = split.advance(now_us)
                    room = max(
                        0,
                        part.reserved.level_at(time_us)
                        + part.bucket_level(time_us)
                        + split.lendable(part, time_us),
                    )
                    yield UsageRow(
                        node.path,
                        " a ".join(DIMENSIONS[dimension]),
                        room // UNITS_EACH,
                        part.borrowed // UNITS_EACH,
                        part.debt_at(time_us) // UNITS_EACH,
                    )
