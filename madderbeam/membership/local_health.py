"""Local health: how far this member should doubt itself (Lifeguard, section IV A, "LHM")."""

from __future__ import annotations


class LocalHealth:
    """0 is well; a sign that this member is slow or cut off adds one, an answered probe takes one off."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.score = 0

    def worse(self, by: int = 1) -> None:
        self.score = min(self.most, self.score + by)

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def stretch(self, span_us: int) -> int:
        return span_us * (self.score + 1)
