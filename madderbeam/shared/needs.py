"""What a courier needs of a rate, from what comes: a mean over as many arrivals as tell it from chance.

A large member's need is known within a second, and follows as fast; a small one's is smoothed over some
seconds, since each change of it takes from another for a renewal. What waits is to be worked off as well.
"""

from __future__ import annotations

ARRIVALS = 15.0  # over so many the mean goes
SHORTEST_S, LONGEST_S = 0.5, 6.0  # and over this long at least, and at most
WORK_OFF_S = 10.0  # what waits is to be gone within this
ASKED = 0.9  # of what comes: what chance brings beyond it waits a moment, what it lacks would be lost to all


class Meter:
    """Units a second. Of messages, bytes or whatever is counted; `each`: what one arrival counts about."""

    __slots__ = ("each", "rate")

    def __init__(self, each: float = 1.0) -> None:
        self.rate, self.each = 0.0, each

    def came(self, units: float, span_s: float) -> None:
        """So much in the span since the last time."""
        if span_s <= 0:
            return
        mean_s = ARRIVALS * self.each / self.rate if self.rate > 0 else SHORTEST_S
        mean_s = min(LONGEST_S, max(SHORTEST_S, mean_s))
        self.rate += (units / span_s - self.rate) * min(1.0, span_s / mean_s)

    def need(self, waiting: float = 0.0) -> float:
        """What it could use now."""
        return self.rate * ASKED + waiting / WORK_OFF_S
