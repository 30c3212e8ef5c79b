"""One limit of one node, and how it is split among the node's children. Exact: all levels are integers.

What a limit yields goes three ways. Each child's *reserved* part fills a bucket that nobody else may take
from. The rest of its *share* fills a bucket of its own, and flows into the node's *pool* while that is full.
The pool also gets what no child has a share of. A child that is over its share borrows from the pool; from
then on what its share earns goes to the pool until the debt is paid, also while it is quiet. The sum of what
flows is the limit at every instant, and the buckets together hold the limit's burst, so no child, and no sum
of them, can pass it.

Children that do nothing cost nothing: each is in one of three states, and the instant at which it enters the
next is known in advance.
"""

from __future__ import annotations

import heapq

UNIT = 14_400_000_000  # of a level, in one message or byte: rates by the hour stay whole numbers
HOUR_US = 3_600_000_000
SECOND, HOUR = "second", "hour"
REPAY_US = {SECOND: 10_000_000, HOUR: 900_000_000}  # within which any debt is paid, by the limit's time
FULL, FILLING, OWES = range(3)
NEVER = 1 << 62


def rate_of(amount: int, per: str) -> int:
    """Units a microsecond. An hour's limit fills at three quarters of its rate, and its bucket holds the
    fourth: so no hour, wherever it begins, sees more than the limit."""
    return amount * 14_400 if per == SECOND else amount * 3


def burst_of(amount: int, per: str, burst: int) -> int:
    """Units that its bucket holds; `burst`: messages or bytes, of limits by the second."""
    return burst * UNIT if per == SECOND else amount * (UNIT // 4)


def _over(units: int, rate: int) -> int:
    """Microseconds until so many units have come, rounded up."""
    return -(-units // rate)


class Bucket:
    """Fills at a rate up to what it holds."""

    __slots__ = ("holds", "level", "rate", "since")

    def __init__(self, rate: int, holds: int, now: int) -> None:
        self.rate, self.holds, self.level, self.since = rate, holds, holds, now

    def at(self, now: int) -> int:
        """Its level then."""
        return min(self.holds, self.level + self.rate * max(0, now - self.since))

    def take(self, units: int, now: int) -> None:
        self.level, self.since = self.at(now) - units, max(now, self.since)


class Part:
    """One child's part in a split."""

    __slots__ = (
        "borrowed",
        "debt",
        "holds",
        "level",
        "mark",
        "most_debt",
        "pending",
        "rate",
        "repaid",
        "reserved",
        "shared",
        "since",
        "state",
    )

    def __init__(self, reserved: Bucket, rate: int, holds: int, repay_us: int, now: int) -> None:
        """`rate`, `holds`: of the share beside its reserved part."""
        self.reserved, self.rate, self.holds = reserved, rate, holds
        self.level, self.debt, self.since, self.state = holds, 0, now, FULL
        self.pending = NEVER  # when it is looked at next
        self.most_debt = rate * repay_us
        self.shared = bool(rate or reserved.rate)  # what it takes beyond its share is borrowed
        self.borrowed = self.repaid = 0  # in all, in units
        self.mark = holds + reserved.holds  # level as it was saved last, with that of its reserved part

    def own(self, now: int) -> int:
        """The level of its own bucket; changes of state until then are done."""
        return self.level + self.rate * (now - self.since) if self.state == FILLING else self.level

    def owes(self, now: int) -> int:
        return self.debt - self.rate * (now - self.since) if self.state == OWES else 0

    def ends(self) -> int:
        """When it leaves the state that it is in, if that is not FULL."""
        units = self.debt if self.state == OWES else self.holds - self.level
        return self.since + _over(units, self.rate) if self.rate else NEVER


class Split:
    """A limit and its parts."""

    __slots__ = (
        "count",
        "due",
        "flowing",
        "free",
        "holds",
        "mark",
        "parts",
        "per",
        "pool",
        "pool_holds",
        "rate",
        "since",
    )

    def __init__(self, amount: int, per: str, burst: int, now: int) -> None:
        self.rate, self.holds, self.per = rate_of(amount, per), burst_of(amount, per, burst), per
        self.free = self.rate  # of the rate, what no child has a share of
        self.pool = self.pool_holds = self.holds
        self.flowing = 0  # into the pool, of the shares of children that are full or owe
        self.since = now
        self.due: list[tuple[int, int, Part]] = []  # changes of state, by time
        self.parts: list[Part] = []
        self.count = 0
        self.mark = self.pool  # as it was saved last

    def part(self, share: int, reserved: int, burst: int, now: int) -> Part:
        """A child's part. Its burst is a part of the limit's, as its share is; of what is not reserved the
        pool holds a fourth, or nothing could be lent. ValueError if there is no room for it."""
        rates = rate_of(share, self.per), rate_of(reserved, self.per)
        whole = burst_of(share, self.per, burst)
        kept = whole * reserved // share
        holds = kept + (whole - kept) * 3 // 4
        if reserved > share or rates[0] > self.free or holds > self.pool_holds:
            raise ValueError("the shares of a node's children, and their bursts, are within its limit")
        self.settle(now)
        self.free -= rates[0]
        self.pool_holds -= holds
        self.pool = min(self.pool, self.pool_holds)
        made = Part(Bucket(rates[1], kept, now), rates[0] - rates[1], holds - kept, REPAY_US[self.per], now)
        self.flowing += made.rate
        self.parts.append(made)
        return made

    # Time

    def settle(self, now: int) -> int:
        """Do what is due until then; the time, which never goes back."""
        due = self.due
        while due and due[0][0] <= now:
            at, _, part = heapq.heappop(due)
            if part.pending != at:
                continue  # an earlier one was foreseen since
            part.pending = NEVER
            if part.state == FULL:
                continue
            if (end := part.ends()) > at:  # it has taken more since
                self._foresee(part, end)
            else:
                self._flow(at)
                self._change(part, at)
        self._flow(now)
        return self.since

    def _flow(self, now: int) -> None:
        if now > self.since:
            self.pool = min(self.pool_holds, self.pool + (self.free + self.flowing) * (now - self.since))
            self.since = now

    def _change(self, part: Part, at: int) -> None:
        """What a part owed is paid, or its bucket is full. Instants are whole: what came too much goes on."""
        came = part.rate * (at - part.since)
        part.since = at
        if part.state == OWES:
            part.repaid += part.debt
            over = came - part.debt
            part.debt = 0
            part.level += over
            self.pool -= min(self.pool, over)
        else:
            part.level += came
            over = max(0, part.level - part.holds)
            part.level -= over
            self.pool = min(self.pool_holds, self.pool + over)
        self._enter(part)

    def _enter(self, part: Part) -> None:
        """The state that a part is in as it stands, and when it leaves it."""
        flowed = part.state != FILLING
        part.state = OWES if part.debt else FILLING if part.level < part.holds and part.rate else FULL
        self.flowing += part.rate * ((part.state != FILLING) - flowed)
        if part.state != FULL and (end := part.ends()) < part.pending:
            self._foresee(part, end)

    def _foresee(self, part: Part, at: int) -> None:
        """One instant for each part stands in the queue: as a part takes more it comes too early, and then
        the next is foreseen."""
        part.pending = at
        self.count += 1
        heapq.heappush(self.due, (at, self.count, part))

    # Taking; `now` is what settle gave

    def lends(self, part: Part, now: int) -> int:
        """Units that a part may take from the pool."""
        return min(self.pool, part.most_debt - part.owes(now)) if part.shared else self.pool

    def take(self, part: Part, reserved: int, own: int, pool: int, now: int) -> None:
        """Units of each kind, which must be there."""
        if reserved:
            part.reserved.take(reserved, now)
        if not pool and part.state == FILLING:  # the usual case: it goes on filling
            part.level, part.since = part.level + part.rate * (now - part.since) - own, now
            return
        if not own and not pool:
            return
        paid = part.debt - part.owes(now) if part.state == OWES else 0
        part.repaid += paid
        part.level, part.debt, part.since = part.own(now) - own, part.debt - paid, now
        self.pool -= pool
        if part.shared and pool:
            part.debt += pool
            part.borrowed += pool
        self._enter(part)

    # Credits: what was taken for several messages at once. While one is out the buckets that it came from
    # hold so much less: level and credit together are never more than the bucket, so that the limit holds in
    # any window.

    def lock(self, part: Part | None, reserved: int, own: int, pool: int, now: int) -> None:
        """Take these units, which must be there, for messages that come."""
        if part is None:
            self.pool -= pool
        else:
            self.take(part, reserved, own, pool, now)
            part.reserved.holds -= reserved
            if own:
                part.holds -= own
                self._enter(part)
        self.pool_holds -= pool

    def unlock(
        self, part: Part | None, locked: tuple[int, int, int], back: tuple[int, int, int], now: int
    ) -> None:
        """What was locked is over; `back` of it was not used. `now`: what settle gave."""
        if part is not None:
            if locked[0]:
                part.reserved.take(-back[0], now)
                part.reserved.holds += locked[0]
            if locked[1]:
                if part.state == FILLING:
                    part.level, part.since = part.own(now), now
                elif part.state == FULL:
                    part.since = now
                part.holds += locked[1]
                part.level += back[1]
                self._enter(part)
        self.pool_holds += locked[2]
        self.pool += back[2]

    # What would be

    def _steady(self) -> int:
        """What flows into the pool for as long as nothing else comes, at least."""
        return self.free + sum(part.rate for part in self.parts if part.state == FULL)

    def later(self, part: Part | None, now: int, after: int) -> int:
        """Units that this part could take after so many microseconds if nothing else came, at least."""
        pool = min(self.pool_holds, self.pool + self._steady() * after)
        if part is None:
            return pool
        owes = part.owes(now)
        came = part.rate * after
        lent = min(pool, part.most_debt - max(0, owes - came)) if part.shared else pool
        own = min(part.holds, part.own(now) + max(0, came - owes)) if part.state != FULL else part.level
        return part.reserved.at(now + after) + own + max(0, lent)

    def most(self, part: Part | None) -> int:
        """Units that a part could ever take at once."""
        if part is None:
            return self.pool_holds
        lent = min(self.pool_holds, part.most_debt) if part.shared else self.pool_holds
        return part.reserved.holds + part.holds + lent
