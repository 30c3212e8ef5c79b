"""The settings of membership, with the units in their names and the papers' values as defaults."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Raises ValueError, naming the field and what it may be. Lifeguard's names: alpha, beta, K, S."""

    probe_period_us: int = 1_000_000
    probe_timeout_us: int = 500_000  # until an answer to a direct ping; then others are asked
    indirect: int = 3  # members that are asked to ping for one
    health_most: int = 8  # S: own period and time-out grow up to this + 1 times
    suspicion_alpha: float = 5.0  # shortest suspicion: alpha * log10(members) periods
    suspicion_beta: float = 6.0  # longest: beta times the shortest
    confirmations: int = 3  # K: independent accusers, after the first, that bring it down to the shortest
    spread_factor: int = 4  # lambda: an item is sent lambda * log10(members) times
    datagram_bytes: int = 1_200  # aimed at, encoded
    frame_bytes: int = 120  # of them left for the frame around the message
    exchange_period_us: int = 30_000_000  # full state, where the digests differ; longer after more than
    exchange_bytes: int = 16_384  # handed over in one
    reprobe_periods: int = 10  # one of the dead is pinged every so many periods
    silent_periods: int = 3  # having heard nobody for so long, it tells others that it does not hear
    alone_periods: int = 10  # having heard nobody for so long, it takes the others for lost, for itself
    lately_periods: int = 5  # heard within these: may reach a member that another has lost
    resume_tries: int = 5  # members that are asked for their state after a pause, before it probes again
    at_once_each: int = 8  # rumours in a probe period that the own site is told at once
    at_once_to: int = 64  # members, drawn by chance where there are more
    forget_us: int = 259_200_000_000  # the dead and those that left: three days
    members_most: int = 1_024
    dead_most: int = 256  # dead or left, remembered
    lives_most: int = 2_048  # highest lives kept on disk
    rumours_most: int = 8_192
    rumours_each: int = 4_096  # of one owner
    rumour_bytes_most: int = 2_097_152
    rumour_keep_most_us: int = 3_600_000_000  # after the owner's end, whatever keep_us says

    def __post_init__(self) -> None:
        for name in self.__dataclass_fields__:
            if getattr(self, name) < (0 if name in ("indirect", "health_most", "confirmations") else 1):
                raise ValueError(f"{name} is {getattr(self, name)}: allowed are numbers above 0")
        if self.probe_timeout_us >= self.probe_period_us:
            raise ValueError(f"probe_timeout_us is {self.probe_timeout_us}: allowed is below probe_period_us")
        if not 1_000 <= self.datagram_bytes - self.frame_bytes <= 60_000:
            raise ValueError(f"datagram_bytes is {self.datagram_bytes}: allowed is 1000 + frame_bytes up")
