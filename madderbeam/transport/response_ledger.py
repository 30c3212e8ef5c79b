"""The newest request and response of a connection, for the log, and counts of responses out of place."""

from __future__ import annotations

import math
from dataclasses import dataclass

UNSOLICITED_KEPT_BYTES, UNSOLICITED_LOGGED_BYTES = 1024, 64  # of bytes that no request asked for
IDS_LOGGED = 8


class ResponseLedger:
    """The newest request and response of a connection."""

    def __init__(self) -> None:
        self.requests = 0
        self.last_ids: tuple[str, ...] = ()  # of the messages in the newest request
        self.last_response_at_s = -math.inf  # on the event loop's clock

    def request_started(self, ids: tuple[str, ...]) -> None:
        """Record a request that is about to be written."""
        self.requests += 1
        self.last_ids = ids

    def response_completed(self, now_s: float) -> None:
        """Record the end of a response."""
        self.last_response_at_s = now_s

    def describe(self, now_s: float) -> str:
        """Return the history of the connection in a few words, for the log."""
        if not self.requests:
            return "no request yet"
        ids = ",".join(self.last_ids[:IDS_LOGGED]) or "a probe"
        if self.last_response_at_s == -math.inf:
            return f"request {self.requests} for {ids}, no response yet"
        age_ms = (now_s - self.last_response_at_s) * 1e3
        return f"request {self.requests} for {ids}, last response {age_ms:.1f} ms ago"


@dataclass
class ResponseCounters:
    """Counts responses that are out of place, from the start of the process."""

    unsolicited: int = 0  # bytes on a connection with no request in flight
    unreadable: int = 0
    mismatched: int = 0  # responses to a bundle that name other messages

    def metrics(self) -> dict[str, int]:
        """Return the counters by their metric names."""
        return {
            "responses.unsolicited": self.unsolicited,
            "responses.unreadable": self.unreadable,
            "responses.mismatched": self.mismatched,
        }
