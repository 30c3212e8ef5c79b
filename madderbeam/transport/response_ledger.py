"""Which conclusions from the responses on one connection may rest on a copy of an earlier response.

An HTTP/1.1 response does not name its request: it belongs to the oldest one without a response. A second copy
of a response is therefore taken for the response to the next request, and each later response for that to the
request after its own. Content tells most copies apart (response_content.py). For what it does not tell:

    response comes                      it is          a 200 is              any other
    on a connection's first request     trusted        final                 final
    with content that no response of    trusted        final                 final
      the last COPY_WINDOW_S had
    equal to one of these, or while     doubtful       unconfirmed           may have run; connection closed
      a delivery is unconfirmed
    else                                trusted        final                 final

An unconfirmed 200 is confirmed by COPIES_MAX further ones on the connection that are no copies of it, or at
the end of its request's time if nothing else came, it was not quicker than usual, and equal responses are
usual or others followed. It is revoked by a doubtful response other than 200, by the end of the connection
while a request is in flight, by any further response, and else at the end of its time.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from madderbeam.transport.response_content import (
    COPY_WINDOW_S,
    ConnectionContents,
    EndpointContents,
    Origin,
    ReceivedResponse,
)

COPIES_MAX = 5  # copies of one response that are reckoned with
LATER_SUCCESSES_MIN = 3
# So many of the longest known latencies behind a request, and a bit, no more is expected in response.
SETTLE_LATENCIES, SETTLE_MIN_S, SETTLE_MAX_S = 2, 0.17, 2.0
QUICKER_THAN_USUAL = 0.35  # share of the usual latency
LATENCY_JITTER_S = 0.01
LATENCIES_KEPT, LATENCIES_MIN = 9, 3
NEW_CONNECTION_SHARE = 0.25  # of the latency of the first request on a connection, which sets it up
UNSOLICITED_KEPT_BYTES, UNSOLICITED_LOGGED_BYTES = 1024, 64  # of bytes that no request asked for
IDS_LOGGED = 8

Delivery = TypeVar("Delivery")


class UsualLatency:
    """The median latency of the newest 200 responses of an endpoint.

    The first request on a connection takes longer: only a part of that counts, until others have been seen.
    """

    def __init__(self) -> None:
        self.on_new: deque[float] = deque(maxlen=LATENCIES_KEPT)
        self.on_reused: deque[float] = deque(maxlen=LATENCIES_KEPT)
        self.median_s = math.inf

    def add(self, latency_s: float, is_first: bool) -> None:
        """Count a response; `is_first`: to the first request on its connection."""
        (self.on_new if is_first else self.on_reused).append(latency_s)
        if len(self.on_reused) >= LATENCIES_MIN or not self.on_new:
            self.median_s = statistics.median(self.on_reused)
        else:
            self.median_s = NEW_CONNECTION_SHARE * statistics.median(self.on_new)

    @property
    def settle_s(self) -> float:
        """The time behind a request after which no further response to it is to be expected."""
        known = self.on_reused if len(self.on_reused) >= LATENCIES_MIN else [*self.on_reused, *self.on_new]
        return min(SETTLE_MAX_S, SETTLE_MIN_S + SETTLE_LATENCIES * max(known, default=math.inf))

    def is_quicker(self, latency_s: float) -> bool:
        """Whether a response with this latency is quicker than usual, as far as enough others are known."""
        if max(len(self.on_reused), len(self.on_new)) < LATENCIES_MIN:
            return False
        return latency_s < QUICKER_THAN_USUAL * self.median_s - LATENCY_JITTER_S


@dataclass(eq=False)
class Unconfirmed(Generic[Delivery]):
    """A delivery whose 200 may be a copy of an earlier response."""

    delivery: Delivery
    contents: EndpointContents
    checksum: int  # of the 200; 0 if it did not come whole
    is_quick: bool  # it came quicker than usual
    settle_at_s: float  # on the event loop's clock
    later_successes: int = 0  # 200 responses to later requests on the connection
    later_responses: int = 0  # those of them that are no copies of this one

    @property
    def is_plausible(self) -> bool:
        """Whether the delivery is believed if nothing more comes.

        An endpoint answers one request after another. So a later response shows that it answered this one,
        and where equal responses are usual, this one is as good as any.
        """
        others_equal = self.later_successes >= LATER_SUCCESSES_MIN and not self.later_responses
        is_usual = self.contents.has_equal or others_equal
        return is_usual and not self.is_quick


@dataclass
class Verdicts(Generic[Delivery]):
    """What became of unconfirmed deliveries."""

    confirmed: list[Delivery] = field(default_factory=list)
    revoked: list[Delivery] = field(default_factory=list)

    def add(self, entry: Unconfirmed[Delivery], is_confirmed: bool) -> None:
        """Add the verdict on one delivery."""
        (self.confirmed if is_confirmed else self.revoked).append(entry.delivery)


class ResponseLedger(Generic[Delivery]):
    """The requests and responses of a connection, with the deliveries that are not confirmed yet."""

    def __init__(self) -> None:
        self.requests = 0
        self.last_ids: tuple[str, ...] = ()  # of the messages in the newest request
        self.last_response_at_s = -math.inf  # on the event loop's clock
        self.suspect_until_s = -math.inf  # one more response than requests may come until then
        self.unconfirmed: list[Unconfirmed[Delivery]] = []  # the oldest first
        self.contents = ConnectionContents()

    def request_started(self, ids: tuple[str, ...]) -> None:
        """Record a request that is about to be written."""
        self.requests += 1
        self.last_ids = ids

    def response_completed(self, now_s: float, checksum: int = 0, is_distinctive: bool = False) -> None:
        """Record the end of a response; `is_distinctive`: one with the same checksum is its copy."""
        self.last_response_at_s = now_s
        self.contents.add(checksum, ReceivedResponse(now_s, is_distinctive))

    # From one process to the next

    def state(self) -> dict[str, Any]:
        """Return what another process needs to go on with the connection; a time is None if it never was."""
        times = (self.last_response_at_s, self.suspect_until_s)
        return {
            "times": [time if time > -math.inf else None for time in times],
            "responses": self.contents.state(),
        }

    def adopt(self, state: dict[str, Any] | None) -> None:
        """Take over what another process knew; an older version passes nothing on."""
        if state is None:
            return
        times = [time if time is not None else -math.inf for time in state["times"]]
        self.last_response_at_s, self.suspect_until_s = times
        self.contents.adopt(state["responses"])

    # Doubt

    def is_suspect(self, now_s: float) -> bool:
        """Whether a response that was concluded from may still be shown to be a copy."""
        return bool(self.unconfirmed) or now_s < self.suspect_until_s

    def has_rested(self, now_s: float) -> bool:
        """Whether no copy is to be expected that its content does not tell."""
        return now_s - self.contents.indistinct_at_s >= COPY_WINDOW_S and not self.is_suspect(now_s)

    def doubts(self, now_s: float) -> bool:
        """Whether a response that is received now may be a copy, if it is equal to an earlier one."""
        return now_s - self.last_response_at_s < COPY_WINDOW_S or self.is_suspect(now_s)

    def origin(self, checksum: int, was_suspect: bool, now_s: float) -> Origin:
        """Judge a complete response by its content; `was_suspect`: the connection, as its first line came."""
        origin = self.contents.origin(checksum, now_s)
        # Behind a copy that was taken for a response, each one belongs to the request before its own.
        return Origin.UNKNOWN if was_suspect and origin is Origin.OWN else origin

    # Unconfirmed deliveries

    def hold(self, entry: Unconfirmed[Delivery]) -> None:
        """Keep a delivery open that rests on a doubtful 200."""
        self.unconfirmed.append(entry)
        self.suspect_until_s = max(self.suspect_until_s, entry.settle_at_s)

    def clear(self, entry: Unconfirmed[Delivery]) -> Verdicts[Delivery]:
        """Confirm the only unconfirmed delivery, whose response is no copy by its content."""
        verdicts: Verdicts[Delivery] = Verdicts()
        if entry in self.unconfirmed:
            self._settle(entry, True, verdicts)
            self.suspect_until_s = -math.inf
        return verdicts

    def success(self, newest: Unconfirmed[Delivery] | None, is_evidence: bool) -> Verdicts[Delivery]:
        """Record a 200, which is held as `newest` if it is doubtful.

        It `is_evidence` for the deliveries before it unless it may be one more copy of theirs.
        """
        verdicts: Verdicts[Delivery] = Verdicts()
        for entry in list(self.unconfirmed):
            entry.later_successes += entry is not newest
            entry.later_responses += is_evidence and entry is not newest
            if entry.later_responses >= COPIES_MAX:
                self._settle(entry, True, verdicts)
        return verdicts

    def settle(self, entry: Unconfirmed[Delivery], is_copy_seen: bool = False) -> Verdicts[Delivery]:
        """Decide at the end of the request's time, with nothing received that speaks against the delivery.

        Where a copy was seen lately, it is believed only if a later request was answered.
        """
        verdicts: Verdicts[Delivery] = Verdicts()
        if entry in self.unconfirmed:
            is_likely = entry.later_responses > 0 or not is_copy_seen
            self._settle(entry, is_likely and entry.is_plausible, verdicts)
        if verdicts.revoked:  # the responses behind a copy belong to earlier requests
            verdicts.revoked += self.revoke_all().revoked
        return verdicts

    def revoke_all(self) -> Verdicts[Delivery]:
        """Revoke all: an earlier response may be a copy, and none that would tell can come any more."""
        verdicts: Verdicts[Delivery] = Verdicts()
        for entry in list(self.unconfirmed):
            self._settle(entry, False, verdicts)
        return verdicts

    def settle_all(self, now_s: float) -> Verdicts[Delivery]:
        """Decide when the connection is closed with no request in flight, and nothing speaks against them.

        Ahead of its time a delivery is believed only if later requests were answered.
        """
        verdicts: Verdicts[Delivery] = Verdicts()
        for entry in list(self.unconfirmed):
            is_due = now_s >= entry.settle_at_s or entry.later_successes >= LATER_SUCCESSES_MIN
            self._settle(entry, is_due and entry.is_plausible and not verdicts.revoked, verdicts)
        return verdicts

    def _settle(self, entry: Unconfirmed[Delivery], is_confirmed: bool, verdicts: Verdicts[Delivery]) -> None:
        self.unconfirmed.remove(entry)
        verdicts.add(entry, is_confirmed)
        if is_confirmed and entry.checksum:
            entry.contents.add(entry.checksum)

    # The log

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
    doubtful: int = 0  # may be a copy of an earlier response
    copies: int = 0  # told by their content, and ignored
    confirmed: int = 0  # deliveries that rested on a doubtful 200
    revoked: int = 0

    def metrics(self) -> dict[str, int]:
        """Return the counters by their metric names."""
        return {
            "responses.unsolicited": self.unsolicited,
            "responses.unreadable": self.unreadable,
            "responses.mismatched": self.mismatched,
            "responses.doubtful": self.doubtful,
            "responses.copies": self.copies,
            "deliveries.confirmed": self.confirmed,
            "deliveries.revoked": self.revoked,
        }
