"""The settings of leases on limits, with units in their names."""

from __future__ import annotations

from dataclasses import dataclass

SLOTS_MAX = 64


@dataclass(frozen=True)
class LeaseSettings:
    """Raises ValueError that names the field and the allowed range.

    All members of a site must have the same `lease_us`, `drift_ppm`, `slots` and `floor`.
    """

    lease_us: int = 4_000_000  # how long a term lasts without renewal; no grant outlasts its term
    drift_ppm: int = 200  # greatest difference in rate between two members' clocks
    slots: int = 4  # number of lease groups, to which resources are assigned by hash
    renewals: int = 4  # renewals per lease duration
    # fraction of the fixed share that an unreachable member may use, and that is reserved for it
    floor: float = 0.1
    part_most: float = 0.9  # greatest decrease in one renewal, as a fraction of the way to the wanted share
    decay: float = 0.5  # what is left after a renewal of a past need, for resources in whole units
    told_change: float = 0.2  # a change by more than this fraction of a need is reported at once
    small: float = 0.01  # a share is not changed by less than this fraction
    resources_most: int = 1_024  # most limits known at once
    silent_report_us: int = 10_000_000  # after so long without a grantor a line is logged

    def __post_init__(self) -> None:
        ranges = {"drift_ppm": (0, 100_000), "slots": (1, SLOTS_MAX), "renewals": (2, 100)}
        ranges |= {"lease_us": (100_000, 3_600_000_000), "resources_most": (1, 4_096)}
        ranges |= {"silent_report_us": (1, 3_600_000_000)}
        for name, (least, most) in ranges.items():
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"{name} is {getattr(self, name)}; allowed: {least} to {most}")
        for name in ("floor", "part_most", "decay", "small", "told_change"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} is {getattr(self, name)}; allowed: 0 to 1")

    @property
    def expiry_bound_us(self) -> int:
        """This long after a member confirmed it, by its own clock, a lease has expired by every clock."""
        return longest_us(self.lease_us, self.drift_ppm)

    @property
    def table_settled_us(self) -> int:
        """This long after all members put a table in force, no grant under an earlier one is valid."""
        return self.expiry_bound_us + longest_us(self.renewal_interval_us, self.drift_ppm)

    @property
    def renewal_interval_us(self) -> int:
        """The renewal interval."""
        return self.lease_us // self.renewals


def longest_us(span_us: int, drift_ppm: int) -> int:
    """The longest that a duration measured by another member's clock can be by one's own."""
    return span_us + -(-span_us * drift_ppm // 1_000_000)


def shortest_us(span_us: int, drift_ppm: int) -> int:
    """A duration that, measured by another member's clock, ends within `span_us` by one's own."""
    return span_us * 1_000_000 // (1_000_000 + drift_ppm)
