"""Many named deadlines of a state machine on top of a single timer."""

from __future__ import annotations

import heapq

SLACK = 64  # stale heap entries allowed beyond the number of live ones


class TimerQueue:
    """Token -> time in microseconds. Replaced and cancelled times are removed lazily, so the heap stays
    bounded."""

    def __init__(self) -> None:
        self.at: dict[str, int] = {}
        self.heap: list[tuple[int, str]] = []

    def set(self, token: str, at_us: int) -> None:
        """Sets the token's time, in place of an earlier setting."""
        if self.at.get(token) != at_us:
            self.at[token] = at_us
            heapq.heappush(self.heap, (at_us, token))
            self._sweep()

    def set_earlier(self, token: str, at_us: int) -> None:
        """As `set`, but only if that makes the token due earlier."""
        if at_us < self.at.get(token, at_us + 1):
            self.set(token, at_us)

    def cancel(self, token: str) -> None:
        """Cancels the token."""
        self.at.pop(token, None)
        self._sweep()

    def pop_due(self, now_us: int) -> list[str]:
        """Removes and returns the tokens that are due, by time."""
        tokens = []
        while self.heap and self.heap[0][0] <= now_us:
            at_us, token = heapq.heappop(self.heap)
            if self.at.get(token) == at_us:
                del self.at[token]
                tokens.append(token)
        return tokens

    def next(self) -> int | None:
        """The earliest time, or None."""
        while self.heap and self.at.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def _sweep(self) -> None:
        if len(self.heap) > 2 * len(self.at) + SLACK:
            self.heap = [(at_us, token) for token, at_us in self.at.items()]
            heapq.heapify(self.heap)
