"""The settings of membership, with units in their names and the papers' values as defaults."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Raises ValueError that names the field and its allowed values.

    `alpha`, `beta`, K and S are the names that the Lifeguard paper uses.
    """

    probe_period_us: int = 1_000_000
    probe_timeout_us: int = 500_000  # wait for the ack of a direct ping before indirect probes
    indirect_probes: int = 3  # members asked to probe a target indirectly
    max_health_score: int = 8  # S: probe period and timeout grow up to this + 1 times
    suspicion_alpha: float = 5.0  # shortest suspicion: alpha * log10(members) periods
    suspicion_beta: float = 6.0  # longest: beta times the shortest
    # K: independent accusers after the first that shorten the suspicion to its minimum
    confirmations: int = 3
    retransmit_factor: int = 4  # lambda: an item is sent lambda * log10(members) times
    datagram_bytes: int = 1_200  # target size of an encoded datagram
    frame_overhead_bytes: int = 120  # of these, reserved for the frame around the message
    # full state, if the digests differ; longer after sending more than `exchange_bytes`
    exchange_period_us: int = 30_000_000
    exchange_bytes: int = 16_384  # sent in one exchange without a longer period
    reprobe_periods: int = 10  # a random dead member is pinged once in this many periods
    silence_periods: int = 3  # after this long without receiving anything its pings carry `hears_nobody`
    isolation_periods: int = 10  # after this long in silence others are declared dead, only locally
    recent_periods: int = 5  # members active within these may reach one that another member lost
    pause_query_attempts: int = 5  # members asked for their state after a pause before probing resumes
    direct_sends_per_period: int = 8  # gossip entries per probe period that go to the own site directly
    max_direct_recipients: int = 64  # recipients, drawn at random if there are more
    dead_retention_us: int = 259_200_000_000  # how long dead and left members are remembered: three days
    members_most: int = 1_024
    max_dead_members: int = 256  # dead or left members that are remembered
    max_incarnations: int = 2_048  # highest incarnations stored on disk
    max_entries: int = 8_192
    max_entries_per_owner: int = 4_096
    max_entries_bytes: int = 2_097_152
    max_entry_retention_us: int = 3_600_000_000  # after the owner's death, limits the entry's keep_us

    def __post_init__(self) -> None:
        for name in self.__dataclass_fields__:
            if getattr(self, name) < (
                0 if name in ("indirect_probes", "max_health_score", "confirmations") else 1
            ):
                raise ValueError(f"{name} is {getattr(self, name)}: allowed are numbers above 0")
        if self.probe_timeout_us >= self.probe_period_us:
            raise ValueError(f"probe_timeout_us is {self.probe_timeout_us}: allowed is below probe_period_us")
        if not 1_000 <= self.datagram_bytes - self.frame_overhead_bytes <= 60_000:
            raise ValueError(
                f"datagram_bytes is {self.datagram_bytes}: allowed is 1000 + frame_overhead_bytes up"
            )
