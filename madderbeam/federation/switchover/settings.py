"""The settings of switch-over, leases and the inquiry, with the units in their names."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SwitchoverSettings:
    """Raises ValueError, naming the field and what it may be. `lease_us` 0: no leases; it must be the same at
    all members."""

    lease_us: int = 0
    drift_ppm: int = 200  # by how much two members' clocks run apart at most
    retry_us: int = 500_000  # until a record that the disk did not take is written again
    ask_us: int = 250_000  # until voters that have not answered are asked again; doubles up to ask_most_us
    ask_most_us: int = 5_000_000
    turn_us: int = 250_000  # how often what is missing is looked at while something is
    catch_up_us: int = 2_000_000  # how often it is asked for what no rumour brought
    report_us: int = 10_000_000  # how often the log tells of what is missing
    keep_us: int = 86_400_000_000  # of rumours once their owner is gone: as long as membership keeps them

    def __post_init__(self) -> None:
        for name in self.__dataclass_fields__:
            least = 0 if name in ("lease_us", "drift_ppm") else 1
            if getattr(self, name) < least:
                raise ValueError(f"{name} is {getattr(self, name)}; allowed: {least} or more")
        if 0 < self.lease_us < 100_000:
            raise ValueError(f"lease_us is {self.lease_us}; allowed: 0, or 100000 or more")

    @property
    def lease_over_us(self) -> int:
        """By a voter's clock: so long after its word a lease is over by the clock of whoever holds it."""
        return self.lease_us + -(-self.lease_us * self.drift_ppm // 1_000_000)
