"""Destinations' rates that come with answers, in load reports, where the list has none."""

from __future__ import annotations

from collections.abc import Hashable, Sequence

from madderbeam.wire import RATE

NEWS = 0.3  # a rate is new if it differs by over this share: reports are noisy, and a new one begins anew


def told(fields: Sequence[str], load: Sequence[float]) -> float:
    """The rate in a report, with its values in the order of `fields`; 0 if it tells of none."""
    at = fields.index(RATE) if RATE in fields else len(load)
    return load[at] if at < len(load) and load[at] > 0 else 0.0


class ReportedRates:
    """The rates in force, in calls a second, by whatever has a limit of its own."""

    def __init__(self) -> None:
        self.rates: dict[Hashable, float] = {}

    def __getitem__(self, key: Hashable) -> float:
        """0 if none was told."""
        return self.rates.get(key, 0.0)

    def forget(self, key: Hashable) -> None:
        self.rates.pop(key, None)

    def told(self, key: Hashable, rate: float) -> bool:
        """Whether this is news, which is in force from now on."""
        if rate <= 0 or abs(rate - self[key]) <= NEWS * self[key]:
            return False
        self.rates[key] = rate
        return True
