"""Local health: how unreliable this member's own observations may be (Lifeguard, section IV A, "LHM")."""

from __future__ import annotations


class LocalHealth:
    """The local health multiplier: 0 is healthy.

    A sign that this member is slow or disconnected raises the score by one, a probe that was answered lowers
    it by one.
    """

    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    def worsen(self, amount: int = 1) -> None:
        """Raise the score, up to its limit."""
        self.score = min(self.max_score, self.score + amount)

    def improve(self) -> None:
        """Lower the score by one."""
        self.score = max(0, self.score - 1)

    def stretched_us(self, duration_us: int) -> int:
        """The duration multiplied by the score plus one."""
        return duration_us * (self.score + 1)
