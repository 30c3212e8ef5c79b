"""Which requests may go on a connection, and what a response there proves.

An HTTP/1.1 response does not name its request: it belongs to the oldest one without a response. A second copy
of a response is therefore taken for the response to the next request, and each later response for that to the
request after its own. Content tells most copies apart (response_content.py). Where it does not, nothing that
comes later does either: an endpoint that hangs sends no more than one whose response was its own. So no
request is written while a copy of an earlier response is to be expected that could be taken for the end of
its message (a success, or a 410), unless the whole response will show that it is none:

    on the connection, in the last COPY_WINDOW_S        goes there
    nothing, or responses whose copies content tells    every message
    others, neither a success nor a 410                 messages that may be repeated
    others, a success and no 410 among them             messages that may be repeated, where successes are
                                                        expected to differ; else none
    a 410                                               none

A whole response that differs from all of these is its request's own. One that is equal to an earlier one
proves nothing, and ends its connection; a first line with 200 behind a success proves nothing by itself.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from madderbeam.transport.response_content import (
    COPY_WINDOW_S,
    ConnectionContents,
    Origin,
    ReceivedResponse,
)

UNSOLICITED_KEPT_BYTES, UNSOLICITED_LOGGED_BYTES = 1024, 64  # of bytes that no request asked for
IDS_LOGGED = 8
NEVER_S = -math.inf  # on the event loop's clock


def _stored(time_s: float) -> float | None:
    """Return a time as another process reads it."""
    return time_s if time_s > NEVER_S else None


def _restored(time_s: float | None) -> float:
    """Return the time that another process stored."""
    return NEVER_S if time_s is None else time_s


class ResponseLedger:
    """The requests and responses of a connection."""

    def __init__(self) -> None:
        self.requests = 0
        self.last_ids: tuple[str, ...] = ()  # of the messages in the newest request
        self.last_response_at_s = NEVER_S
        self.last_success_at_s = NEVER_S
        self.contents = ConnectionContents()

    def request_started(self, ids: tuple[str, ...]) -> None:
        """Record a request that is about to be written."""
        self.requests += 1
        self.last_ids = ids

    def response_completed(self, checksum: int, response: ReceivedResponse) -> None:
        """Record the end of a response."""
        self.last_response_at_s = response.completed_at_s
        if response.is_success:
            self.last_success_at_s = response.completed_at_s
        self.contents.add(checksum, response)

    # From one process to the next

    def state(self) -> dict[str, Any]:
        """Return what another process needs to go on with the connection; a time is None if it never was.

        The second one of `times` is for earlier versions: until when a response was in doubt.
        """
        return {
            "times": [_stored(self.last_response_at_s), None],
            "successes": [_stored(self.last_success_at_s), _stored(self.contents.indistinct_success_at_s)],
            "gone": _stored(self.contents.gone_at_s),
            "responses": self.contents.state(),
        }

    def adopt(self, state: dict[str, Any] | None) -> None:
        """Take over what another process knew; an older version passes less on, or nothing."""
        if state is None:
            return
        last_response_at_s, in_doubt_until_s = map(_restored, state["times"])
        self.contents.adopt(state["responses"])
        in_doubt_from_s = in_doubt_until_s - COPY_WINDOW_S
        self.contents.forgotten_at_s = max(self.contents.forgotten_at_s, in_doubt_from_s)
        self.last_response_at_s = max(last_response_at_s, in_doubt_from_s)
        if "successes" in state:
            successes = map(_restored, state["successes"])
            self.last_success_at_s, self.contents.indistinct_success_at_s = successes
        else:
            self.last_success_at_s = self.last_response_at_s
        # An earlier version does not tell which responses were 410s: each may have been one.
        self.contents.gone_at_s = _restored(state["gone"]) if "gone" in state else self.last_response_at_s

    # Doubt

    def has_rested(self, now_s: float) -> bool:
        """Whether no copy is to be expected that its content does not tell."""
        return now_s - self.contents.indistinct_at_s >= COPY_WINDOW_S

    def has_rested_from_completions(self, now_s: float) -> bool:
        """Whether no copy is to be expected that could be taken for the end of another message."""
        since_success_s = now_s - self.contents.indistinct_success_at_s
        return since_success_s >= COPY_WINDOW_S and self.has_rested_from_gone(now_s)

    def has_rested_from_gone(self, now_s: float) -> bool:
        """Whether no copy of a 410 is to be expected."""
        return now_s - self.contents.gone_at_s >= COPY_WINDOW_S

    def doubts_success(self, now_s: float) -> bool:
        """Whether a success that is received now may be a copy, as far as its first line tells."""
        return now_s - self.last_success_at_s < COPY_WINDOW_S

    def origin(self, checksum: int, now_s: float) -> Origin:
        """Judge a complete response by its content."""
        return self.contents.origin(checksum, now_s)

    # The log

    def describe(self, now_s: float) -> str:
        """Return the history of the connection in a few words, for the log."""
        if not self.requests:
            return "no request yet"
        ids = ",".join(self.last_ids[:IDS_LOGGED]) or "a probe"
        if self.last_response_at_s == NEVER_S:
            return f"request {self.requests} for {ids}, no response yet"
        age_ms = (now_s - self.last_response_at_s) * 1e3
        return f"request {self.requests} for {ids}, last response {age_ms:.1f} ms ago"


@dataclass
class ResponseCounters:
    """Counts responses that are out of place, from the start of the process."""

    unsolicited: int = 0  # bytes on a connection with no request in flight
    unreadable: int = 0
    mismatched: int = 0  # responses to a bundle that name other messages
    doubtful: int = 0  # may be a copy of an earlier response
    copies: int = 0  # told by their content, and ignored
    confirmed: int = 0  # successes in doubt by their first line, shown to be their request's own by the rest
    revoked: int = 0  # and those not shown to be
    gone: int = 0  # 410s that completed their message
    gone_doubtful: int = 0  # 410s that were not believed, since they may be copies or are malformed

    def metrics(self) -> dict[str, int]:
        """Return the counters by their metric names."""
        return {
            "responses.unsolicited": self.unsolicited,
            "responses.unreadable": self.unreadable,
            "responses.mismatched": self.mismatched,
            "responses.doubtful": self.doubtful,
            "responses.copies": self.copies,
            "responses.gone": self.gone,
            "responses.gone_doubtful": self.gone_doubtful,
            "deliveries.confirmed": self.confirmed,
            "deliveries.revoked": self.revoked,
        }
