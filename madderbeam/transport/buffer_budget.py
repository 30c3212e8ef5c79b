"""One bound, in bytes, on what all connections of clients hold together: unfinished requests, and replies.

Each connection has bounds of its own, but many that stop amid a large request hold more than the process may
have. Where the total is exceeded, the connections that hold the most are closed first, of equals the oldest:
one that holds less than an equal part of the bound stays, however slow it is.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

MEMORY_SHARE = 0.25  # of the memory limit, for what clients' connections hold
RELEASED_SHARE = 0.1  # of the bound is made free at once, so that not each further byte looks for more
LOG_INTERVAL_S = 5.0
log = logging.getLogger(__name__)


class BufferingConnection(Protocol):
    """A connection as far as the budget is concerned."""

    counted_bytes: int

    @property
    def may_shed(self) -> bool:
        """Whether it can be closed without breaking a promise: no request of it waits for its reply."""
        ...

    def buffering_s(self, now_s: float) -> float:
        """Seconds since its request, or the reply that it does not read, began."""
        ...

    def shed(self) -> None:
        """Reject the request that is not whole, free what is held, and close."""
        ...


class BufferBudget:
    """The total over the connections of all servers that share it."""

    def __init__(self, max_bytes: int, now_s: Callable[[], float], holders: str = "clients") -> None:
        """`holders`: whose connections they are, for the log."""
        self.max_bytes, self.now_s, self.holders = max_bytes, now_s, holders
        self.used_bytes = 0
        self.shed_count = 0  # connections that were closed for it
        self.sources: list[Callable[[], Iterable[BufferingConnection]]] = []  # the servers' connections
        self.is_shedding = False
        self.logged_at_s = -LOG_INTERVAL_S

    def count(self, connection: BufferingConnection, held_bytes: int) -> None:
        """Note what a connection holds by now; others, or itself, are closed where the total is exceeded."""
        self.used_bytes += held_bytes - connection.counted_bytes
        connection.counted_bytes = held_bytes
        if self.used_bytes > self.max_bytes and not self.is_shedding:
            self.is_shedding = True
            self._shed()
            self.is_shedding = False

    def _shed(self) -> None:
        now_s = self.now_s()
        shed_before, target_bytes = self.shed_count, self.max_bytes * (1 - RELEASED_SHARE)
        connections = [each for source in self.sources for each in source() if each.may_shed]
        connections.sort(key=lambda each: (each.counted_bytes, each.buffering_s(now_s)), reverse=True)
        for connection in connections:
            if self.used_bytes <= target_bytes:
                break
            if connection.counted_bytes:
                connection.shed()
                self.shed_count += 1
        if now_s - self.logged_at_s >= LOG_INTERVAL_S:
            self.logged_at_s = now_s
            closed = self.shed_count - shed_before
            log.warning(
                "%s held over %d bytes of requests and replies: %d connections were closed, %d so far",
                self.holders,
                self.max_bytes,
                closed,
                self.shed_count,
            )

    def metrics(self) -> dict[str, int]:
        """The metrics by name."""
        return {"clients.buffered_bytes": self.used_bytes, "clients.shed": self.shed_count}
