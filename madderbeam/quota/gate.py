"""Which node of the tree a message counts at, and what its front is told. Pure.

The tree is made from plain data (`quota` of a courier's rendered file): a list of nodes, parents first. A
message counts at the node of its tenant and class, else of its tenant, else of its class, else at the root.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from madderbeam.quota.credits import Credit, Credits
from madderbeam.quota.leased import Leased
from madderbeam.quota.split import FILLING, HOUR, NEVER, Part, Split
from madderbeam.quota.tree import DIMENSIONS, NONE, Limit, Limits, Never, Node, Passed, Refused, Tree, Use

FIELDS = ("messages_per_s", "bytes_per_s", "messages_per_h", "bytes_per_h")
BURSTS = {"messages_per_s": "burst_messages", "bytes_per_s": "burst_bytes"}
BORROWED_WEIGHT = 0.25  # a message on borrowed room counts for so much of its worth, against the others held
CROWDED = 0.5  # on borrowed room nothing is taken while more of the places is taken than this
CROWDED_US = 1_000_000  # and one that would have borrowed comes back after this at the soonest
LEASES_US = 2_000_000  # by leases one comes back after this at the latest: they may have moved
KNOWN_MOST = 100_000  # pairs of tenant and class whose credits are kept
SAVED_PART = 64  # state is saved before more than this part of an hour's bucket has gone since
JITTER = 0.25  # of a time to come back, beyond it
FORM = 1


class QuotaError(ValueError):
    """A tree that can't be; one line that names node and field."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of a message. `after_us` of one that is refused; `why` of one that can never pass."""

    passed: bool
    borrowed: bool = False
    after_us: int = 0
    why: str = ""

    @property
    def weight(self) -> float:
        """Of its worth, against the others held."""
        return BORROWED_WEIGHT if self.borrowed else 1.0


PASSED = Verdict(True)


def limits(raw: Mapping[str, Any], reserved: Mapping[str, Any], parts: int) -> Limits:
    """Limits as they are written, for one of so many couriers."""
    found: list[Limit | None] = []
    for name in FIELDS:
        if name not in raw:
            found.append(None)
            continue
        amount = max(1, int(raw[name]) // parts)
        kept = min(amount, int(reserved.get(name, 0)) // parts)
        burst = int(raw.get(BURSTS.get(name, ""), 0)) // parts
        found.append(Limit(amount, burst, kept))
    return (found[0], found[1], found[2], found[3])


class Gate:
    """Counts what is handed in. Times are a monotonic clock's microseconds."""

    def __init__(
        self, raw: Mapping[str, Any], now: int, chance: random.Random, places: int, leased: bool = False
    ) -> None:
        """QuotaError for a tree that can't be. `places`: messages that may be held. `leased`: limits are by
        leases, in place of equal parts."""
        self.random, self.places = chance, places
        self.by: dict[tuple[str, str], Node] = {}
        couriers = int(raw.get("couriers", 1))
        parts = 1 if leased else couriers
        nodes: dict[str, Node] = {}
        self.tree = Tree(NONE, now)
        if raw.get("form") != FORM:
            raise QuotaError(f"quota.form: must be {FORM}")
        for n, row in enumerate(raw.get("nodes", ())):
            try:
                nodes[row["name"]] = self._node(row, nodes, parts, now)
            except (KeyError, TypeError) as error:
                raise QuotaError(f"quota.nodes[{n}]: {error!r} lacks or can't be used") from None
            except ValueError as error:
                raise QuotaError(f"quota: {error}") from None
        self.credits = Credits(self.tree)
        self.known: dict[tuple[str, str], Credit] = {}
        self.leased = Leased(self.tree, couriers, now) if leased else None
        self.due = False  # so much of an hour's limit has gone that the state must be saved again

    def _node(self, row: Mapping[str, Any], nodes: Mapping[str, Node], parts: int, now: int) -> Node:
        own = limits(row.get("limit", {}), {}, parts)
        if not row.get("parent"):
            node = self.tree.add(self.tree.root, row["name"], NONE, own, now)
        else:
            share = limits(row.get("share", {}), row.get("reserved", {}), parts)
            node = self.tree.add(nodes[row["parent"]], row["name"], share, own, now)
        tenants, classes = row.get("tenants") or [""], row.get("classes") or [""]
        if tenants != [""] or classes != [""]:
            for tenant in tenants:
                for cls in classes:
                    self.by[tenant, cls] = node
        return node

    def node(self, tenant: str, cls: str) -> Node:
        """Where a message counts."""
        for key in ((tenant, cls), (tenant, ""), ("", cls)):
            if (found := self.by.get(key)) is not None:
                return found
        return self.tree.root

    def admit(self, tenant: str, cls: str, size: int, held: int, now: int) -> Verdict:
        """A message of so many bytes; `held`: how many places are taken. What passes is counted at once,
        and once: attempts do not count, one that is handed in again after a refusal counts as it passes."""
        credit = self.known.get((tenant, cls)) or self._credit(tenant, cls)
        credit.asked += 1
        credit.asked_bytes += size
        if credit.left and size <= credit.bytes and now < credit.until:
            credit.left -= 1
            credit.bytes -= size
            return PASSED
        self.due_leases(now)
        until = NEVER if self.leased is None else self.leased.until
        if self.credits.draw(credit, size, now, until):
            self._count(credit.node)
            return PASSED
        return self._ask(credit, size, held, now)

    def _credit(self, tenant: str, cls: str) -> Credit:
        if len(self.known) >= KNOWN_MOST:
            self.known = {key: credit for key, credit in self.known.items() if credit.plan is not None}
        credit = self.known[tenant, cls] = Credit(self.node(tenant, cls))
        return credit

    def _ask(self, credit: Credit, size: int, held: int, now: int) -> Verdict:
        """The tree, for this message alone. Nothing is refused before all credits have come back."""
        lend = held <= CROWDED * self.places
        found = self.tree.admit(credit.node, size, now, lend)
        if not isinstance(found, Passed) and self.credits.recall(now):
            found = self.tree.admit(credit.node, size, now, lend)
        if isinstance(found, Passed):
            self._count(credit.node)
            return Verdict(True, found.borrowed)
        least = 0 if lend else CROWDED_US
        if self.leased is not None:
            credit.largest = max(credit.largest, size)
            never = self.leased.never(credit.node, size) if isinstance(found, Never) else None
            after_us = LEASES_US if isinstance(found, Never) else min(found.after_us, LEASES_US)
            found = never or Refused("", "", after_us)
        if isinstance(found, Never):
            return Verdict(
                False, why=f"{size} bytes can never pass {found.node}: at most {found.most} {found.dimension}"
            )
        return Verdict(False, after_us=self._spread(max(found.after_us, least)))

    def _spread(self, after_us: int) -> int:
        """At that time it would pass if nothing else came; a flood's clients come one after the other."""
        return after_us + int(self.random.uniform(0, JITTER) * (after_us + 200_000))

    # State that outlasts the process

    def _count(self, node: Node) -> None:
        """Look at the hours' limits on the way of a message that passed."""
        for _, ways in node.ways or ():
            for split, part in ways:
                if split.per != HOUR:
                    continue
                gone = split.mark - split.pool > split.holds // SAVED_PART
                if part is not None:
                    whole = part.holds + part.reserved.holds
                    gone = gone or part.mark - part.level - part.reserved.level > whole // SAVED_PART
                self.due = self.due or gone

    # Leases

    def allot(self, name: str, amount: float, until: int, after: float, now: int) -> None:
        """This courier's part of a node's limits until then, `after` from then on."""
        if self.leased is not None:
            self.credits.recall(now)
            self.leased.allot(name, amount, until, after, now)

    def due_leases(self, now: int) -> None:
        """Leases that have ended are not used, nor what was drawn under them."""
        if self.leased is not None and now >= self.leased.until:
            self.credits.recall(now)
            self.leased.due(now)

    def asked(self) -> dict[str, tuple[int, int, int]]:
        """What was handed in at each leased node since it was asked last, refused or not: messages, bytes,
        and bytes of the largest that was refused."""
        found: dict[str, tuple[int, int, int]] = {}
        for credit in self.known.values():
            node: Node | None = credit.node if credit.asked else None
            while node is not None and self.leased is not None:
                if node.name in self.leased.lots:
                    messages, size, largest = found.get(node.name, (0, 0, 0))
                    found[node.name] = (
                        messages + credit.asked,
                        size + credit.asked_bytes,
                        max(largest, credit.largest),
                    )
                node = node.parent
            credit.asked = credit.asked_bytes = credit.largest = 0
        return found

    def dump(self, now: int) -> list[list[Any]]:
        """Levels and debts of the hours' limits, by node and dimension."""
        rows: list[list[Any]] = []
        for node in self.tree.nodes():
            for at, (split, part) in enumerate(zip(node.splits, node.parts, strict=True)):
                if DIMENSIONS[at][1] != HOUR:
                    continue
                if split is not None:
                    split.settle(now)
                    rows.append([node.path, at, "pool", split.pool])
                if part is not None and node.parent is not None:
                    above = node.parent.splits[at]
                    assert above is not None
                    time = above.settle(now)
                    levels = part.own(time), part.owes(time), part.reserved.at(time)
                    rows.append([node.path, at, "part", *levels, part.borrowed])
        self.mark()
        return rows

    def mark(self) -> None:
        """What stands now is saved."""
        self.due = False
        for node in self.tree.nodes():
            for split in node.splits:
                if split is not None and split.per == HOUR:
                    split.mark = split.pool
                    for part in split.parts:
                        part.mark = part.level + part.reserved.level

    def restore(self, rows: Iterable[Sequence[Any]], elapsed_us: int, now: int) -> None:
        """Go on from what was saved so long ago. In the careful direction: what may have gone since
        without being saved counts as gone. What does not fit (limits have changed) is cut to what there is
        now; debts stay."""
        for node in self.tree.nodes():  # what went in the last seconds was never saved: they begin empty
            for at, split in enumerate(node.splits):
                if split is not None and DIMENSIONS[at][1] != HOUR:
                    time = split.settle(now)
                    split.pool = 0
                    for part in split.parts:
                        _set_part(split, part, 0, 0, 0, time)
        known = {(node.path, at): node for node in self.tree.nodes() for at in range(4)}
        for row in rows:
            named = known.get((row[0], row[1]))
            if named is None:
                continue
            split, part = named.splits[row[1]], named.parts[row[1]]
            if row[2] == "pool" and split is not None:
                split.settle(now)
                gone = split.holds // SAVED_PART
                split.pool = max(0, min(split.pool_holds, int(row[3]) - gone + split.free * elapsed_us))
            elif row[2] == "part" and part is not None and named.parent is not None:
                above = named.parent.splits[row[1]]
                assert above is not None
                most = part.most_debt if self.leased is None else self.leased.most_debt(above, part)
                _restore_part(above, part, row, elapsed_us, now, most)
        self.mark()

    def use(self, now: int) -> list[Use]:
        self.credits.recall(now)
        return list(self.tree.use(now))


def _set_part(split: Split, part: Part, level: int, debt: int, reserved: int, time: int) -> None:
    """A part as it stands from then on."""
    if part.state != FILLING:
        split.flowing -= part.rate
    part.level, part.debt, part.since = level, debt, time
    part.reserved.level, part.reserved.since = reserved, time
    part.state, part.pending = FILLING, NEVER
    split._enter(part)


def _restore_part(
    split: Split, part: Part, row: Sequence[Any], elapsed_us: int, now: int, most_debt: int
) -> None:
    time = split.settle(now)
    gone = (part.holds + part.reserved.holds) // SAVED_PART
    earned, owed = part.rate * elapsed_us, int(row[4])
    level = max(0, min(part.holds, int(row[3]) + max(0, earned - owed) - gone))
    reserved = max(0, min(part.reserved.holds, int(row[5]) + part.reserved.rate * elapsed_us - gone))
    debt = max(0, min(most_debt, owed) - earned)
    _set_part(split, part, level, debt, reserved, time)
    part.borrowed, part.repaid = int(row[6]), int(row[6]) - debt
