"""Rates of destinations from the load reports of responses, used instead of those of the endpoint list."""

from __future__ import annotations

from collections.abc import Hashable, Sequence

from madderbeam.wire import RATE

# A reported rate replaces the current one only if it differs by more than this share of it: reports are
# noisy, and a new rate resets the pacing.
MIN_RELATIVE_CHANGE = 0.3


def reported_rate(fields: Sequence[str], load: Sequence[float]) -> float:
    """Return the rate in a report, whose values are in the order of `fields`; 0 if it has none."""
    index = fields.index(RATE) if RATE in fields else len(load)
    return load[index] if index < len(load) and load[index] > 0 else 0.0


class ReportedRates:
    """The current rates in calls a second, by the key of the scope that shares a rate limit."""

    def __init__(self) -> None:
        self.rates: dict[Hashable, float] = {}

    def __getitem__(self, key: Hashable) -> float:
        """Return the rate of a key, 0 if none was reported."""
        return self.rates.get(key, 0.0)

    def forget(self, key: Hashable) -> None:
        """Remove the rate of a key."""
        self.rates.pop(key, None)

    def update(self, key: Hashable, rate: float) -> bool:
        """Set a reported rate if it differs enough from the current one; return whether it does."""
        if rate <= 0 or abs(rate - self[key]) <= MIN_RELATIVE_CHANGE * self[key]:
            return False
        self.rates[key] = rate
        return True
