"""How much of a rate a courier needs: an average over enough arrivals to tell a change from chance.

A large rate is known within a second and followed as fast. A small one is smoothed over some seconds, since
each change of it takes capacity from another member for a renewal. The backlog has to be worked off as well.
"""

from __future__ import annotations

AVERAGED_ARRIVALS = 15.0  # arrivals to average over
AVERAGING_MIN_S, AVERAGING_MAX_S = 0.5, 6.0  # bounds of the averaging time
BACKLOG_S = 10.0  # the backlog is to be worked off within this
# fraction of the rate: an excess by chance waits a moment, while capacity claimed but unused is lost to all
# members
NEED_FRACTION = 0.9


class RateMeter:
    """Average units per second, of messages, bytes or whatever is counted.

    `each`: units per arrival, roughly.
    """

    __slots__ = ("rate", "units_per_arrival")

    def __init__(self, each: float = 1.0) -> None:
        self.rate, self.units_per_arrival = 0.0, each

    def record_arrivals(self, units: float, span_s: float) -> None:
        """Count the units that arrived in the `span_s` since the last call."""
        if span_s <= 0:
            return
        mean_s = AVERAGED_ARRIVALS * self.units_per_arrival / self.rate if self.rate > 0 else AVERAGING_MIN_S
        mean_s = min(AVERAGING_MAX_S, max(AVERAGING_MIN_S, mean_s))
        self.rate += (units / span_s - self.rate) * min(1.0, span_s / mean_s)

    def needed_rate(self, waiting: float = 0.0) -> float:
        """The rate that this courier could use now, with `waiting` units in the backlog."""
        return self.rate * NEED_FRACTION + waiting / BACKLOG_S
