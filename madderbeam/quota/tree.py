"""The tree of quotas: a message passes if each node on its path has room in each dimension, all or nothing.

What a message takes of a child's reserved part it may take of the parent's reserved part further up, and
only that: what is borrowed below can never use up what is reserved above. So each reserved part has to be
within the parent's own, which `Tree.add` holds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from madderbeam.quota.split import FILLING, HOUR, SECOND, UNIT, Part, Split

DIMENSIONS = (("messages", SECOND), ("bytes", SECOND), ("messages", HOUR), ("bytes", HOUR))
LONGEST_US = 4 * 3_600_000_000  # after which all that is lent or owed has come back
SPARE = 3  # times what a credit takes stays where it is taken
EXACT_US = 1_000  # a time to come back is that exact


@dataclass(frozen=True)
class Limit:
    """What passes in a second or an hour, in messages or bytes; a share is a part of the parent's limit."""

    amount: int
    burst: int = 0  # messages or bytes at once, of limits by the second; 0: one second's
    reserved: int = 0  # of a share: what no one borrows

    def __post_init__(self) -> None:
        if self.amount <= 0 or self.burst < 0 or not 0 <= self.reserved <= self.amount:
            raise ValueError("a limit is above 0, its burst 0 or more, its reserved part from 0 to all of it")

    @property
    def at_once(self) -> int:
        return self.burst or self.amount


# By limit: it, the part of the child below, and units of its reserved part, of its own and of the pool.
Plan = list[tuple[Split, "Part | None", int, int, int, int]]
Limits = tuple[Limit | None, Limit | None, Limit | None, Limit | None]  # in the order of DIMENSIONS
NONE: Limits = (None, None, None, None)


@dataclass(frozen=True)
class Passed:
    """It has been counted at each node of its path."""

    borrowed: bool = False  # some of it


_PASSED, _BORROWED = Passed(), Passed(True)


@dataclass(frozen=True)
class Refused:
    """There is no room now."""

    node: str
    dimension: str
    after_us: int  # it would pass then if nothing else came


@dataclass(frozen=True)
class Never:
    """It is larger than what may pass at once, however long it waits."""

    node: str
    dimension: str
    most: int  # messages or bytes


class Node:
    """One node: its limits, split among its children, and its parts in its parent's."""

    __slots__ = ("children", "name", "parent", "parts", "splits", "ways")

    def __init__(self, name: str, parent: Node | None) -> None:
        self.name, self.parent = name, parent
        self.splits: list[Split | None] = [None] * 4
        self.parts: list[Part | None] = [None] * 4
        self.children: dict[str, Node] = {}
        # Through which limits a message goes here: for each dimension that has any, from here to the root.
        self.ways: list[tuple[bool, list[tuple[Split, Part | None]]]] | None = None

    def limited(self) -> list[tuple[bool, list[tuple[Split, Part | None]]]]:
        """`ways`, made at the first message; limits and shares of a node do not change."""
        found = [(bool(at % 2), [(split, part) for _, split, part in levels(self, at)]) for at in range(4)]
        self.ways = [(by_bytes, rows) for by_bytes, rows in found if rows]
        return self.ways

    @property
    def path(self) -> str:
        above = self.parent.path if self.parent else ""
        return f"{above}/{self.name}" if above else self.name


@dataclass(frozen=True)
class Use:
    """What `quota show` tells of one node in one dimension, in messages or bytes, rounded down."""

    node: str
    dimension: str
    room: int  # that it may take now
    borrowed: int
    owed: int


def levels(node: Node, at: int) -> Iterator[tuple[Node, Split, Part | None]]:
    """The limits of one dimension from a node to the root: whose it is, and the part of the child below."""
    part: Part | None = None
    here: Node | None = node
    while here is not None:
        if (split := here.splits[at]) is not None:
            yield here, split, part
        part = here.parts[at]
        here = here.parent


class Tree:
    """All nodes, from the root on. Times are a monotonic clock's microseconds."""

    def __init__(self, limits: Limits = NONE, now: int = 0, name: str = "all") -> None:
        self.root = self._node(name, None, limits, now)
        self.size = 1

    @staticmethod
    def _node(name: str, parent: Node | None, limits: Limits, now: int) -> Node:
        node = Node(name, parent)
        for at, (limit, (_, per)) in enumerate(zip(limits, DIMENSIONS, strict=True)):
            if limit is not None:
                node.splits[at] = Split(limit.amount, per, limit.at_once, now)
        return node

    def add(
        self, parent: Node, name: str, shares: Limits = NONE, limits: Limits = NONE, now: int = 0
    ) -> Node:
        """A child with its shares of the parent's limits and limits of its own. ValueError, in one line that
        names node and dimension, if the shares of all children are more than the limit, or what they have
        reserved is more than the parent has."""
        if name in parent.children:
            raise ValueError(f"{parent.path}/{name}: is there already")
        node = self._node(name, parent, limits, now)
        for at, share in enumerate(shares):
            if share is None:
                continue
            split, what = parent.splits[at], f"{node.path}: {' a '.join(DIMENSIONS[at])}"
            if split is None:
                raise ValueError(f"{what}: a share needs a limit of {parent.path}")
            self._reserves(parent, at, share, what)
            try:
                node.parts[at] = split.part(share.amount, share.reserved, share.at_once, now)
            except ValueError as error:
                raise ValueError(f"{what}: {error}") from None
        parent.children[name] = node
        self.size += 1
        return node

    @staticmethod
    def _reserves(parent: Node, at: int, share: Limit, what: str) -> None:
        above = parent.parts[at]
        split = parent.splits[at]
        assert split is not None
        if above is None or not share.reserved:
            return
        kept = sum(part.reserved.rate for part in split.parts)
        if kept + share.reserved * (14_400 if split.per == SECOND else 3) > above.reserved.rate:
            raise ValueError(f"{what}: what children have reserved is within what {parent.path} has")

    # Admission

    def admit(self, node: Node, size: int, now: int, lend: bool = True) -> Passed | Refused | Never:
        """A message of so many bytes at this node: taken at each node of its path, or at none. `lend`: it may
        borrow."""
        plan = self._plan(node, UNIT, size * UNIT, now, lend)
        if plan is None:
            return self._refused(node, size, now)
        borrowed = False
        for split, part, reserved, own, lent, time in plan:
            if part is None:
                split.pool -= lent
            else:
                split.take(part, reserved, own, lent, time)
                borrowed |= bool(lent) and part.shared
        return _BORROWED if borrowed else _PASSED

    def _plan(
        self, node: Node, messages: int, size: int, now: int, lend: bool, spare: int = 0
    ) -> Plan | None:
        """What is taken where, in units; None if there is no room. `spare`: so many times as much has to
        stay."""
        plan: Plan = []
        for by_bytes, ways in node.ways if node.ways is not None else node.limited():
            need = size if by_bytes else messages
            lower = -1  # what it takes of the reserved part below, -1 at the leaf
            for split, part in ways:
                time = split.since
                if now > time:
                    due = split.due
                    if due and due[0][0] <= now:
                        split.settle(now)
                    else:
                        pool = split.pool + (split.free + split.flowing) * (now - time)
                        split.pool = pool if pool < split.pool_holds else split.pool_holds
                        split.since = now
                    time = now
                if part is None:
                    if split.pool < need + spare * need:
                        return None
                    plan.append((split, None, 0, 0, need, time))
                    continue
                reserved = 0
                if lower and part.reserved.holds:
                    reserved = min(need if lower < 0 else lower, part.reserved.at(time))
                lower = reserved
                rest = need - reserved
                own = part.level + part.rate * (time - part.since) if part.state == FILLING else part.level
                if own >= rest + spare * need:
                    plan.append((split, part, reserved, rest, 0, time))
                elif spare and part.shared:
                    return None
                elif (lend or not part.shared) and rest - own <= split.lends(part, time) - spare * need:
                    plan.append((split, part, reserved, own, rest - own, time))
                else:
                    return None
        return plan

    # Credits

    def draw(self, node: Node, messages: int, size: int, now: int) -> Plan | None:
        """Room for so many messages of so many bytes in all, taken at once, of what is there in plenty and
        without borrowing; None if there is no such."""
        plan = self._plan(node, messages * UNIT, size * UNIT, now, False, SPARE)
        for split, part, reserved, own, lent, time in plan or ():
            split.lock(part, reserved, own, lent, time)
        return plan

    @staticmethod
    def settle(node: Node, plan: Plan, messages: int, size: int, now: int) -> None:
        """A credit is over: so many messages and bytes of it were not used. They go back whence they were
        taken last: to the pool, the own bucket, the reserved part."""
        left = iter(plan)
        for by_bytes, ways in node.ways or ():
            for _ in ways:
                split, part, reserved, own, lent, _ = next(left)
                units = (size if by_bytes else messages) * UNIT
                to_pool = min(units, lent)
                to_own = min(units - to_pool, own)
                back = (min(units - to_pool - to_own, reserved), to_own, to_pool)
                split.unlock(part, (reserved, own, lent), back, split.settle(now))

    # Refusals

    def _refused(self, node: Node, size: int, now: int) -> Refused | Never:
        """Why, and when it would pass: the latest of all that stand in its way."""
        worst: Refused | None = None
        for at, dimension in enumerate(DIMENSIONS):
            need = UNIT if at % 2 == 0 else size * UNIT
            for here, split, part in levels(node, at):
                what = " a ".join(dimension)
                if split.most(part) < need:
                    return Never(here.path, what, split.most(part) // UNIT)
                after = self._after(split, part, need, split.settle(now))
                if worst is None or after > worst.after_us:
                    worst = Refused(here.path, what, after)
        assert worst is not None
        return worst

    @staticmethod
    def _after(split: Split, part: Part | None, need: int, now: int) -> int:
        """Microseconds until there is room, if nothing else comes."""
        if split.later(part, now, 0) >= need:
            return 0
        low, high = 0, LONGEST_US
        while high - low > EXACT_US:
            middle = (low + high) // 2
            if split.later(part, now, middle) >= need:
                high = middle
            else:
                low = middle
        return high

    # Reading

    def nodes(self, node: Node | None = None) -> Iterator[Node]:
        """All, parents first."""
        node = node or self.root
        yield node
        for child in node.children.values():
            yield from self.nodes(child)

    def use(self, now: int) -> Iterator[Use]:
        """A line for each share of each node."""
        for node in self.nodes():
            for at, part in enumerate(node.parts):
                if part is not None and node.parent is not None:
                    split = node.parent.splits[at]
                    assert split is not None
                    time = split.settle(now)
                    room = max(0, part.reserved.at(time) + part.own(time) + split.lends(part, time))
                    yield Use(
                        node.path,
                        " a ".join(DIMENSIONS[at]),
                        room // UNIT,
                        part.borrowed // UNIT,
                        part.owes(time) // UNIT,
                    )
