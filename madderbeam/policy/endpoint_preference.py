"""The interface of a router that prefers some endpoints of a destination over others."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from madderbeam.policy.events import AttemptResult


class EndpointPreference(Protocol):
    """Which endpoints a message may go to, best first.

    The engine takes the first one that its own checks admit, so that health, pace, Retry-After and drains
    stay its own matter.
    """

    def covers(self, destination: int) -> bool:
        """Whether it has a preference there; else the engine chooses among all endpoints."""

    def tiers(
        self, destination: int, message: int, affinity: str, attempted: Iterable[int], now_us: int
    ) -> Iterable[tuple[bool, Iterable[int]]]:
        """Return the tiers of endpoints; the next one opens only where none of this can be used.

        True: the first endpoint that can be used is waited for.
        """

    def attempt_started(self, destination: int, message: int, endpoint: int, now_us: int) -> bool:
        """Take note of a call; whether it is the first since the endpoint was ejected."""

    def attempt_ended(
        self, destination: int, endpoint: int, result: AttemptResult, malformed: bool, now_us: int
    ) -> None:
        """Take note of a call's outcome."""

    def recovers_at_us(self, destination: int, now_us: int) -> int:
        """When an endpoint may be used again, where all are ejected; else 0."""
