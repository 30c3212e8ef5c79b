"""One limit of one node, and how it is split among the node's children. Exact: all levels are integers.

What a limit yields is divided in three. The *reserved* part of each child fills a bucket that no other child
may take from. The rest of its *share* fills a bucket of its own, and flows into the node's *pool* while that
bucket is full. The pool also gets what no child has a share of. A child that uses more than its share borrows
from the pool; from then on what its share earns goes to the pool until the debt is paid, also while the child
is idle. The flows add up to the limit at every instant, and the buckets together hold the limit's burst, so
neither a child nor any set of children can exceed it.

Idle children cost nothing: each is in one of three states, and the instant at which it enters the next is
known in advance.
"""

from __future__ import annotations

import heapq

UNITS_EACH = 14_400_000_000  # level units per message or byte, so that rates per hour are integers
HOUR_US = 3_600_000_000
SECOND, HOUR = "second", "hour"
REPAY_US = {SECOND: 10_000_000, HOUR: 900_000_000}  # any debt is paid within this, by the limit's period
FULL, FILLING, IN_DEBT = range(3)
NEVER = 1 << 62


def rate_of(amount: int, period: str) -> int:
    """Level units per microsecond for a limit of `amount` per second or hour.

    An hourly limit fills at three quarters of its rate, and its bucket holds the other quarter: so no hour,
    whenever it begins, sees more than the limit.
    """
    return amount * 14_400 if period == SECOND else amount * 3


def burst_of(amount: int, period: str, burst: int) -> int:
    """Level units that the limit's bucket holds. `burst`: messages or bytes, for limits per second."""
    return burst * UNITS_EACH if period == SECOND else amount * (UNITS_EACH // 4)


def _microseconds(units: int, rate: int) -> int:
    """Microseconds until that many units have flowed, rounded up."""
    return -(-units // rate)


class Bucket:
    """Fills at a rate up to its capacity."""

    __slots__ = ("capacity", "level", "rate", "since_us")

    def __init__(self, rate: int, capacity: int, now_us: int) -> None:
        self.rate, self.capacity, self.level, self.since_us = rate, capacity, capacity, now_us

    def level_at(self, now_us: int) -> int:
        """The level at `now_us`."""
        return min(self.capacity, self.level + self.rate * max(0, now_us - self.since_us))

    def take(self, units: int, now_us: int) -> None:
        """Remove units, which may be negative to put some back."""
        self.level, self.since_us = self.level_at(now_us) - units, max(now_us, self.since_us)


class Part:
    """One child's part of a split limit."""

    __slots__ = (
        "borrowed",
        "capacity",
        "debt",
        "debt_max",
        "has_share",
        "level",
        "next_check_us",
        "rate",
        "repaid",
        "reserved",
        "saved_level",
        "since_us",
        "state",
    )

    def __init__(self, reserved: Bucket, rate: int, capacity: int, repay_us: int, now_us: int) -> None:
        """`rate`, `capacity`: of the share without its reserved part."""
        self.reserved, self.rate, self.capacity = reserved, rate, capacity
        self.level, self.debt, self.since_us, self.state = capacity, 0, now_us, FULL
        self.next_check_us = NEVER  # when its state is checked next
        self.debt_max = rate * repay_us
        self.has_share = bool(rate or reserved.rate)  # usage beyond its share is borrowed
        self.borrowed = self.repaid = 0  # totals, in level units
        self.saved_level = (
            capacity + reserved.capacity
        )  # level at the last save, including the reserved bucket

    def bucket_level(self, now_us: int) -> int:
        """The level of its own bucket; due state changes must have been made."""
        return self.level + self.rate * (now_us - self.since_us) if self.state == FILLING else self.level

    def debt_at(self, now_us: int) -> int:
        """The debt that is left at `now_us`."""
        return self.debt - self.rate * (now_us - self.since_us) if self.state == IN_DEBT else 0

    def state_ends_us(self) -> int:
        """When it leaves its current state, unless that is FULL."""
        units = self.debt if self.state == IN_DEBT else self.capacity - self.level
        return self.since_us + _microseconds(units, self.rate) if self.rate else NEVER


class Split:
    """A limit and its parts."""

    __slots__ = (
        "capacity",
        "check_count",
        "checks",
        "parts",
        "period",
        "pool",
        "pool_capacity",
        "pool_inflow",
        "rate",
        "saved_level",
        "since_us",
        "unshared_rate",
    )

    def __init__(self, amount: int, per: str, burst: int, now_us: int) -> None:
        self.rate, self.capacity, self.period = rate_of(amount, per), burst_of(amount, per, burst), per
        self.unshared_rate = self.rate  # the part of the rate that no child has a share of
        self.pool = self.pool_capacity = self.capacity
        self.pool_inflow = 0  # flow into the pool from shares of children that are full or in debt
        self.since_us = now_us
        self.checks: list[tuple[int, int, Part]] = []  # scheduled state changes, by time
        self.parts: list[Part] = []
        self.check_count = 0
        self.saved_level = self.pool  # pool level at the last save

    def add_part(self, share: int, reserved: int, burst: int, now_us: int) -> Part:
        """Add a child's part.

        Its burst is a fraction of the limit's, as its share is. Of what is not reserved the pool holds a
        quarter, or nothing could be lent. Raises ValueError if the shares or bursts exceed the limit.
        """
        rates = rate_of(share, self.period), rate_of(reserved, self.period)
        burst_units = burst_of(share, self.period, burst)
        reserved_capacity = burst_units * reserved // share
        capacity = reserved_capacity + (burst_units - reserved_capacity) * 3 // 4
        if reserved > share or rates[0] > self.unshared_rate or capacity > self.pool_capacity:
            raise ValueError("the shares of a node's children, and their bursts, are within its limit")
        self.advance(now_us)
        self.unshared_rate -= rates[0]
        self.pool_capacity -= capacity
        self.pool = min(self.pool, self.pool_capacity)
        part = Part(
            Bucket(rates[1], reserved_capacity, now_us),
            rates[0] - rates[1],
            capacity - reserved_capacity,
            REPAY_US[self.period],
            now_us,
        )
        self.pool_inflow += part.rate
        self.parts.append(part)
        return part

    # Time

    def advance(self, now_us: int) -> int:
        """Make all state changes due until `now_us`. Returns the time that counts, which never goes back."""
        queue = self.checks
        while queue and queue[0][0] <= now_us:
            at_us, _, part = heapq.heappop(queue)
            if part.next_check_us != at_us:
                continue  # an earlier check was scheduled since
            part.next_check_us = NEVER
            if part.state == FULL:
                continue
            if (end := part.state_ends_us()) > at_us:  # it has used more since
                self._schedule(part, end)
            else:
                self._flow(at_us)
                self._change(part, at_us)
        self._flow(now_us)
        return self.since_us

    def _flow(self, now_us: int) -> None:
        if now_us > self.since_us:
            self.pool = min(
                self.pool_capacity,
                self.pool + (self.unshared_rate + self.pool_inflow) * (now_us - self.since_us),
            )
            self.since_us = now_us

    def _change(self, part: Part, at_us: int) -> None:
        """A part's debt is paid, or its bucket is full.

        Instants are whole microseconds; the surplus since the exact instant is passed on.
        """
        earned = part.rate * (at_us - part.since_us)
        part.since_us = at_us
        if part.state == IN_DEBT:
            part.repaid += part.debt
            surplus = earned - part.debt
            part.debt = 0
            part.level += surplus
            self.pool -= min(self.pool, surplus)
        else:
            part.level += earned
            surplus = max(0, part.level - part.capacity)
            part.level -= surplus
            self.pool = min(self.pool_capacity, self.pool + surplus)
        self._set_state(part)

    def _set_state(self, part: Part) -> None:
        """Set the state that a part is in by its levels, and schedule its end."""
        was_flowing = part.state != FILLING
        part.state = IN_DEBT if part.debt else FILLING if part.level < part.capacity and part.rate else FULL
        self.pool_inflow += part.rate * ((part.state != FILLING) - was_flowing)
        if part.state != FULL and (end := part.state_ends_us()) < part.next_check_us:
            self._schedule(part, end)

    def _schedule(self, part: Part, at_us: int) -> None:
        """Schedule a check of the part's state.

        There is one check per part in the queue: when the part uses more, the check comes too early and
        schedules the next.
        """
        part.next_check_us = at_us
        self.check_count += 1
        heapq.heappush(self.checks, (at_us, self.check_count, part))

    # Usage; `now_us` is the result of `advance`

    def lendable(self, part: Part, now_us: int) -> int:
        """Level units that the part may take from the pool."""
        return min(self.pool, part.debt_max - part.debt_at(now_us)) if part.has_share else self.pool

    def take(self, part: Part, reserved: int, own: int, pool: int, now_us: int) -> None:
        """Take units from the reserved bucket, the own bucket and the pool, which must have them."""
        if reserved:
            part.reserved.take(reserved, now_us)
        if not pool and part.state == FILLING:  # the usual case: its bucket keeps filling
            part.level, part.since_us = part.level + part.rate * (now_us - part.since_us) - own, now_us
            return
        if not own and not pool:
            return
        paid = part.debt - part.debt_at(now_us) if part.state == IN_DEBT else 0
        part.repaid += paid
        part.level, part.debt, part.since_us = part.bucket_level(now_us) - own, part.debt - paid, now_us
        self.pool -= pool
        if part.has_share and pool:
            part.debt += pool
            part.borrowed += pool
        self._set_state(part)

    # Credits: units taken for several messages at once. While a credit is outstanding, the buckets that it
    # came from hold that much less: level and credit together never exceed the bucket, so the limit holds in
    # any window.

    def lock(self, part: Part | None, reserved: int, own: int, pool: int, now_us: int) -> None:
        """Take these units, which must be available, for a credit."""
        if part is None:
            self.pool -= pool
        else:
            self.take(part, reserved, own, pool, now_us)
            part.reserved.capacity -= reserved
            if own:
                part.capacity -= own
                self._set_state(part)
        self.pool_capacity -= pool

    def unlock(
        self, part: Part | None, locked: tuple[int, int, int], returned: tuple[int, int, int], now_us: int
    ) -> None:
        """A credit has ended: give back the units of it that were not used.

        `now_us`: the result of `advance`.
        """
        if part is not None:
            if locked[0]:
                part.reserved.take(-returned[0], now_us)
                part.reserved.capacity += locked[0]
            if locked[1]:
                if part.state == FILLING:
                    part.level, part.since_us = part.bucket_level(now_us), now_us
                elif part.state == FULL:
                    part.since_us = now_us
                part.capacity += locked[1]
                part.level += returned[1]
                self._set_state(part)
        self.pool_capacity += locked[2]
        self.pool += returned[2]

    # Forecasts

    def _steady_inflow(self) -> int:
        """The flow into the pool that lasts at least while nothing else is used."""
        return self.unshared_rate + sum(part.rate for part in self.parts if part.state == FULL)

    def available_after(self, part: Part | None, now_us: int, after_us: int) -> int:
        """Level units that this part could take at least, `after_us` later, if nothing else is used."""
        pool = min(self.pool_capacity, self.pool + self._steady_inflow() * after_us)
        if part is None:
            return pool
        debt = part.debt_at(now_us)
        earned = part.rate * after_us
        lent = min(pool, part.debt_max - max(0, debt - earned)) if part.has_share else pool
        own = (
            min(part.capacity, part.bucket_level(now_us) + max(0, earned - debt))
            if part.state != FULL
            else part.level
        )
        return part.reserved.level_at(now_us + after_us) + own + max(0, lent)

    def ever_available(self, part: Part | None) -> int:
        """Level units that the part could ever take at once."""
        if part is None:
            return self.pool_capacity
        lent = min(self.pool_capacity, part.debt_max) if part.has_share else self.pool_capacity
        return part.reserved.capacity + part.capacity + lent
