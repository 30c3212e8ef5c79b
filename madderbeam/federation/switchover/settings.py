"""The settings of the switchover, of leases and of the inquiry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SwitchoverSettings:
    """The settings. Raises ValueError with the field and its allowed values.

    Leases are off if `lease_us` is 0. It must be the same at all members.
    """

    lease_us: int = 0
    drift_ppm: int = 200  # largest difference in rate between two members' clocks
    retry_us: int = 500_000  # until a record is written again after a failed write
    query_retry_us: int = 250_000  # until silent voters are queried again; doubles each time
    max_query_retry_us: int = 5_000_000
    check_interval_us: int = 250_000  # between checks while releases or replies are missing
    catch_up_interval_us: int = 2_000_000  # between queries for releases that gossip has not delivered
    report_interval_us: int = 10_000_000  # between log lines on what is missing
    gossip_retention_us: int = 86_400_000_000  # after an entry's owner has gone; the same in membership

    def __post_init__(self) -> None:
        for name in self.__dataclass_fields__:
            minimum = 0 if name in ("lease_us", "drift_ppm") else 1
            if getattr(self, name) < minimum:
                raise ValueError(f"{name} is {getattr(self, name)}; allowed: {minimum} or more")
        if 0 < self.lease_us < 100_000:
            raise ValueError(f"lease_us is {self.lease_us}; allowed: 0, or 100000 or more")

    @property
    def lease_expiry_us(self) -> int:
        """The time on a voter's clock after which a lease that it renewed has ended on the holder's clock."""
        return self.lease_us + -(-self.lease_us * self.drift_ppm // 1_000_000)
