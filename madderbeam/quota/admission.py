"""Admission by quotas: the node at which a message counts, and the verdict for its client. No I/O.

The tree is built from plain data (`quota` of a courier's rendered file): a list of nodes, parents first. A
message counts at the node of its tenant and class, else of its tenant, else of its class, else at the root.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from madderbeam.quota.credits import Credit, Credits
from madderbeam.quota.leased_limits import LeasedLimits
from madderbeam.quota.split import FILLING, HOUR, NEVER, Part, Split
from madderbeam.quota.tree import (
    DIMENSIONS,
    NO_LIMITS,
    Admitted,
    Limit,
    Limits,
    NeverFits,
    Node,
    Rejected,
    Tree,
    UsageRow,
)

FIELDS = ("messages_per_s", "bytes_per_s", "messages_per_h", "bytes_per_h")
LEVELS_IN_ROW = {"pool": 1, "part": 4}  # of a saved row, by its kind
BURSTS = {"messages_per_s": "burst_messages", "bytes_per_s": "burst_bytes"}
# factor on the priority weight of a message that borrows, relative to the other pending ones
BORROWED_WEIGHT = 0.25
BORROWING_PENDING_FRACTION_MAX = (
    0.5  # no borrowing while more than this fraction of the pending capacity is in use
)
BORROWING_RETRY_AFTER_MIN_US = 1_000_000  # least Retry-After of a message that would have borrowed
LEASED_RETRY_AFTER_MAX_US = 2_000_000  # most Retry-After with leases, since they may have changed by then
CREDITS_MAX = 100_000  # pairs of tenant and class whose credits are remembered
SAVE_DIVISOR = 64  # the state is saved before more than the bucket of an hourly limit divided by this is used
RETRY_AFTER_JITTER = 0.25  # greatest fraction that is added to Retry-After
FORMAT_VERSION = 1


class QuotaError(ValueError):
    """The tree is invalid; one line that names node and field."""


@dataclass(frozen=True, slots=True)
class QuotaVerdict:
    """Whether a message passes.

    `borrowed`: it passed with units of other nodes' shares. For a rejected message, `retry_after_us` is its
    Retry-After; `reason` is set only if it can never pass.
    """

    passed: bool
    borrowed: bool = False
    retry_after_us: int = 0
    reason: str = ""

    @property
    def weight(self) -> float:
        """Factor on its priority weight, relative to the other pending messages."""
        return BORROWED_WEIGHT if self.borrowed else 1.0


PASSED = QuotaVerdict(True)


def parse_limits(raw: Mapping[str, Any], reserved: Mapping[str, Any], divisor: int) -> Limits:
    """Parse the limits and reserved amounts in a configuration, each divided by `divisor`.

    `divisor`: the number of couriers if they divide the limits equally, 1 if leases divide them.
    """
    parsed: list[Limit | None] = []
    for name in FIELDS:
        if name not in raw:
            parsed.append(None)
            continue
        amount = max(1, int(raw[name]) // divisor)
        reserved_amount = min(amount, int(reserved.get(name, 0)) // divisor)
        # Only limits per second have a configured burst; for hourly limits it is 0: the amount of an hour.
        burst = int(raw.get(BURSTS.get(name, ""), 0))
        parsed.append(Limit(amount, max(1, burst // divisor) if burst else 0, reserved_amount))
    return (parsed[0], parsed[1], parsed[2], parsed[3])


class QuotaAdmission:
    """Counts the messages that clients send. Times are microseconds of a monotonic clock."""

    def __init__(
        self, raw: Mapping[str, Any], now_us: int, rng: random.Random, max_pending: int, leased: bool = False
    ) -> None:
        """Raises QuotaError for an invalid tree.

        `max_pending`: most messages that may be pending. `leased`: the limits are divided by leases instead
        of equally.
        """
        self.rng, self.max_pending = rng, max_pending
        self.node_by_sender: dict[tuple[str, str], Node] = {}
        couriers = int(raw.get("couriers", 1))
        divisor = 1 if leased else couriers
        nodes: dict[str, Node] = {}
        self.tree = Tree(NO_LIMITS, now_us)
        if raw.get("form") != FORMAT_VERSION:
            raise QuotaError(f"quota.form: must be {FORMAT_VERSION}")
        for index, row in enumerate(raw.get("nodes", ())):
            try:
                nodes[row["name"]] = self._node(row, nodes, divisor, now_us)
            except (KeyError, TypeError) as error:
                raise QuotaError(f"quota.nodes[{index}]: {error!r} lacks or can't be used") from None
            except ValueError as error:
                raise QuotaError(f"quota: {error}") from None
        self.credits = Credits(self.tree)
        self.credit_by_sender: dict[tuple[str, str], Credit] = {}
        self.leased = LeasedLimits(self.tree, couriers, now_us) if leased else None
        self.is_save_due = False  # so much of an hourly limit is used that the state must be saved again

    def _node(self, row: Mapping[str, Any], nodes: Mapping[str, Node], divisor: int, now_us: int) -> Node:
        own = parse_limits(row.get("limit", {}), {}, divisor)
        if not row.get("parent"):
            node = self.tree.add(self.tree.root, row["name"], NO_LIMITS, own, now_us)
        else:
            share = parse_limits(row.get("share", {}), row.get("reserved", {}), divisor)
            node = self.tree.add(nodes[row["parent"]], row["name"], share, own, now_us)
        tenants, classes = row.get("tenants") or [""], row.get("classes") or [""]
        if tenants != [""] or classes != [""]:
            for tenant in tenants:
                for class_name in classes:
                    self.node_by_sender[tenant, class_name] = node
        return node

    def node(self, tenant: str, class_name: str) -> Node:
        """The node at which a message counts."""
        for key in ((tenant, class_name), (tenant, ""), ("", class_name)):
            if (found := self.node_by_sender.get(key)) is not None:
                return found
        return self.tree.root

    def admit(self, tenant: str, class_name: str, size: int, pending_count: int, now_us: int) -> QuotaVerdict:
        """Decide on a message of `size` bytes; `pending_count`: how many messages are pending.

        A message that passes is counted at once, and only once: attempts do not count, and one that is sent
        again after a rejection counts when it passes.
        """
        credit = self.credit_by_sender.get((tenant, class_name)) or self._credit(tenant, class_name)
        credit.demand_messages += 1
        credit.demand_bytes += size
        if credit.messages_left and size <= credit.bytes_left and now_us < credit.until_us:
            credit.messages_left -= 1
            credit.bytes_left -= size
            return PASSED
        self.expire_leases(now_us)
        until_us = NEVER if self.leased is None else self.leased.next_expiry_us
        if self.credits.draw(credit, size, now_us, until_us):
            self._check_saved(credit.node)
            return PASSED
        return self._admit_by_tree(credit, size, pending_count, now_us)

    def _credit(self, tenant: str, class_name: str) -> Credit:
        if len(self.credit_by_sender) >= CREDITS_MAX:
            self.credit_by_sender = {
                key: credit for key, credit in self.credit_by_sender.items() if credit.plan is not None
            }
        credit = self.credit_by_sender[tenant, class_name] = Credit(self.node(tenant, class_name))
        return credit

    def _admit_by_tree(self, credit: Credit, size: int, pending_count: int, now_us: int) -> QuotaVerdict:
        """Decide by the tree, for this message alone. Nothing is rejected before all credits are returned."""
        may_borrow = pending_count <= BORROWING_PENDING_FRACTION_MAX * self.max_pending
        result = self.tree.admit(credit.node, size, now_us, may_borrow)
        if not isinstance(result, Admitted) and self.credits.return_all(now_us):
            result = self.tree.admit(credit.node, size, now_us, may_borrow)
        if isinstance(result, Admitted):
            self._check_saved(credit.node)
            return QuotaVerdict(True, result.borrowed)
        least_after_us = 0 if may_borrow else BORROWING_RETRY_AFTER_MIN_US
        if self.leased is not None:
            credit.largest = max(credit.largest, size)
            never = self.leased.never_fits(credit.node, size) if isinstance(result, NeverFits) else None
            after_us = (
                LEASED_RETRY_AFTER_MAX_US
                if isinstance(result, NeverFits)
                else min(result.after_us, LEASED_RETRY_AFTER_MAX_US)
            )
            result = never or Rejected("", "", after_us)
        if isinstance(result, NeverFits):
            return QuotaVerdict(
                False,
                reason=f"{size} bytes can never pass {result.node}: at most {result.most} {result.dimension}",
            )
        return QuotaVerdict(False, retry_after_us=self._with_jitter(max(result.after_us, least_after_us)))

    def _with_jitter(self, after_us: int) -> int:
        """When the message would pass if nothing else came, with jitter to spread the clients of a flood."""
        return after_us + int(self.rng.uniform(0, RETRY_AFTER_JITTER) * (after_us + 200_000))

    # Durable state

    def _check_saved(self, node: Node) -> None:
        """Check whether a message used so much of an hourly limit that the state has to be saved."""
        for _, ways in node.limits_by_dimension or ():
            for split, part in ways:
                if split.period != HOUR:
                    continue
                is_due = split.saved_level - split.pool > split.capacity // SAVE_DIVISOR
                if part is not None:
                    capacity = part.capacity + part.reserved.capacity
                    is_due = (
                        is_due
                        or part.saved_level - part.level - part.reserved.level > capacity // SAVE_DIVISOR
                    )
                self.is_save_due = self.is_save_due or is_due

    # Leases

    def set_lease(self, name: str, amount: float, until_us: int, fallback: float, now_us: int) -> None:
        """Set this courier's fraction of a node's limits until `until_us`; from then on it is `fallback`."""
        if self.leased is not None:
            self.credits.return_all(now_us)
            self.leased.set_lease(name, amount, until_us, fallback, now_us)

    def expire_leases(self, now_us: int) -> None:
        """Drop leases that have expired, and the credits drawn under them."""
        if self.leased is not None and now_us >= self.leased.next_expiry_us:
            self.credits.return_all(now_us)
            self.leased.expire(now_us)

    def take_demand(self) -> dict[str, tuple[int, int, int]]:
        """The messages sent at each leased node since the last call, rejected or not.

        By node: messages, bytes, and the bytes of the largest message that was rejected.
        """
        found: dict[str, tuple[int, int, int]] = {}
        for credit in self.credit_by_sender.values():
            node: Node | None = credit.node if credit.demand_messages else None
            while node is not None and self.leased is not None:
                if node.name in self.leased.nodes:
                    messages, size, largest = found.get(node.name, (0, 0, 0))
                    found[node.name] = (
                        messages + credit.demand_messages,
                        size + credit.demand_bytes,
                        max(largest, credit.largest),
                    )
                node = node.parent
            credit.demand_messages = credit.demand_bytes = credit.largest = 0
        return found

    def dump(self, now_us: int) -> list[list[Any]]:
        """Levels and debts of the hourly limits, by node and dimension, as rows that `restore` reads."""
        rows: list[list[Any]] = []
        for node in self.tree.nodes():
            for dimension, (split, part) in enumerate(zip(node.splits, node.parts, strict=True)):
                if DIMENSIONS[dimension][1] != HOUR:
                    continue
                if split is not None:
                    split.advance(now_us)
                    rows.append([node.path, dimension, "pool", split.pool])
                if part is not None and node.parent is not None:
                    above = node.parent.splits[dimension]
                    assert above is not None
                    time_us = above.advance(now_us)
                    levels = (
                        part.bucket_level(time_us),
                        part.debt_at(time_us),
                        part.reserved.level_at(time_us),
                    )
                    rows.append([node.path, dimension, "part", *levels, part.borrowed])
        self.mark_saved()
        return rows

    def mark_saved(self) -> None:
        """Remember the current levels as saved."""
        self.is_save_due = False
        for node in self.tree.nodes():
            for split in node.splits:
                if split is not None and split.period == HOUR:
                    split.saved_level = split.pool
                    for part in split.parts:
                        part.saved_level = part.level + part.reserved.level

    def restore(self, rows: Iterable[Sequence[Any]], elapsed_us: int, now_us: int) -> int:
        """Continue from rows that were saved `elapsed_us` ago; returns how many rows are malformed.

        It errs on the safe side: what may have been used since the save counts as used. Levels above the
        current limits are cut, debts stay. If a row is malformed, hourly limits without a row start empty.
        """
        for node in self.tree.nodes():  # usage of the last seconds is never saved: those buckets start empty
            for dimension, split in enumerate(node.splits):
                if split is not None and DIMENSIONS[dimension][1] != HOUR:
                    time_us = split.advance(now_us)
                    split.pool = 0
                    for part in split.parts:
                        _set_part(split, part, 0, 0, 0, time_us)
        known = {(node.path, dimension): node for node in self.tree.nodes() for dimension in range(4)}
        restored: set[tuple[str, int, str]] = set()
        malformed = 0
        for row in rows:
            try:
                place = (str(row[0]), int(row[1]), str(row[2]))
                levels = [int(level) for level in row[3:]]
                if len(levels) < LEVELS_IN_ROW[place[2]]:
                    raise ValueError("too few levels")
            except (ValueError, KeyError, TypeError, IndexError):
                malformed += 1
                continue
            if (named := known.get(place[:2])) is not None:
                self._restore_row(named, place, levels, elapsed_us, now_us)
                restored.add(place)
        if malformed:
            self._empty_hourly_limits(restored, now_us)
        self.mark_saved()
        return malformed

    def _empty_hourly_limits(self, restored: set[tuple[str, int, str]], now_us: int) -> None:
        """Let the hourly limits without a restored row start empty."""
        hourly = [n for n, (_, period) in enumerate(DIMENSIONS) if period == HOUR]
        for node, dimension, kind in itertools.product(self.tree.nodes(), hourly, LEVELS_IN_ROW):
            place = (node.path, dimension, kind)
            if place not in restored:
                self._restore_row(node, place, [0] * LEVELS_IN_ROW[kind], 0, now_us)

    def _restore_row(
        self, node: Node, place: tuple[str, int, str], levels: list[int], elapsed_us: int, now_us: int
    ) -> None:
        _, dimension, kind = place
        split, part = node.splits[dimension], node.parts[dimension]
        if kind == "pool" and split is not None:
            split.advance(now_us)
            maybe_used = split.capacity // SAVE_DIVISOR
            level = levels[0] - maybe_used + split.unshared_rate * elapsed_us
            split.pool = max(0, min(split.pool_capacity, level))
        elif kind == "part" and part is not None and node.parent is not None:
            above = node.parent.splits[dimension]
            assert above is not None
            debt_max = part.debt_max if self.leased is None else self.leased.debt_max_of(above, part)
            _restore_part(above, part, levels, elapsed_us, now_us, debt_max)

    def usage(self, now_us: int) -> list[UsageRow]:
        """Usage by node, with all credits returned."""
        self.credits.return_all(now_us)
        return list(self.tree.usage(now_us))


def _set_part(split: Split, part: Part, level: int, debt: int, reserved: int, time_us: int) -> None:
    """Set the levels and the debt of a part as of `time_us`."""
    if part.state != FILLING:
        split.pool_inflow -= part.rate
    part.level, part.debt, part.since_us = level, debt, time_us
    part.reserved.level, part.reserved.since_us = reserved, time_us
    part.state, part.next_check_us = FILLING, NEVER
    split._set_state(part)


def _restore_part(
    split: Split, part: Part, levels: Sequence[int], elapsed_us: int, now_us: int, debt_max: int
) -> None:
    saved_level, saved_debt, saved_reserved, borrowed = levels[:4]
    time_us = split.advance(now_us)
    maybe_used = (part.capacity + part.reserved.capacity) // SAVE_DIVISOR
    earned = part.rate * elapsed_us
    level = max(0, min(part.capacity, saved_level + max(0, earned - saved_debt) - maybe_used))
    reserved = max(
        0, min(part.reserved.capacity, saved_reserved + part.reserved.rate * elapsed_us - maybe_used)
    )
    debt = max(0, min(debt_max, saved_debt) - earned)
    _set_part(split, part, level, debt, reserved, time_us)
    part.borrowed, part.repaid = borrowed, borrowed - debt
