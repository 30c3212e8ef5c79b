"""Tells a response from copies of earlier ones by its content.

A copy is equal to the response that it repeats. So a response that differs from all recent ones on its
connection is none; and where an endpoint's successful responses all differed so far, one that is equal to an
earlier one is a copy. The content itself has no meaning here.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections import deque
from dataclasses import dataclass

CHECKSUMS_KEPT, CHECKSUMS_MIN = 16, 8  # successful responses of an endpoint
COMPARISONS_KEPT, COMPARISONS_MIN = 64, 8  # of one with the earlier ones of its endpoint, over all endpoints
RESPONSES_KEPT, RESPONSES_KEPT_MAX = 16, 128  # on a connection; the most of its newest ones
# Behind a response, in which a copy of it may be read. Copies come within half a second; the rest is for the
# network and a courier that is held up.
COPY_WINDOW_S = 0.65
UNKNOWN_CHECKSUM = 0  # of a response whose content is not looked at


class Origin(enum.Enum):
    """What a response is, as far as its content tells."""

    OWN = enum.auto()  # it belongs to its request
    COPY = enum.auto()  # it repeats an earlier response
    UNKNOWN = enum.auto()


def head_checksum(status: int, headers: dict[str, str]) -> int:
    """Return the checksum of a response's head, with which that of its body goes on.

    Responses of the same second have the same date, so it does not make one of them distinctive.
    """
    lines = [str(status), *(f"{name}:{value}" for name, value in headers.items() if name != "date")]
    return zlib.crc32("\n".join(lines).encode("latin-1", "replace"))


class ContentComparisons:
    """Whether the newest successful responses differed from the earlier ones of their endpoints."""

    def __init__(self) -> None:
        self.newest: deque[bool] = deque(maxlen=COMPARISONS_KEPT)

    @property
    def none_equal(self) -> bool:
        """Whether there was one, and not one was equal."""
        return bool(self.newest) and all(self.newest)

    @property
    def all_differ(self) -> bool:
        """Whether there were enough, and not one was equal."""
        return len(self.newest) >= COMPARISONS_MIN and all(self.newest)


class EndpointContents:
    """The checksums of an endpoint's newest successful responses to single messages."""

    def __init__(self, comparisons: ContentComparisons | None = None) -> None:
        """`comparisons`: of all endpoints. Where all differ, one earlier response of this one will do."""
        self.checksums: deque[int] = deque(maxlen=CHECKSUMS_KEPT)
        self.comparisons = comparisons or ContentComparisons()

    @property
    def has_equal(self) -> bool:
        """Whether some of them were equal, so that an equal one need not be a copy."""
        return len(set(self.checksums)) < len(self.checksums)

    @property
    def is_expected_to_differ(self) -> bool:
        """Whether the next one is expected to differ from the earlier ones, by those of all endpoints."""
        return not self.has_equal and self.comparisons.none_equal

    def add(self, checksum: int) -> bool:
        """Count one that is in no doubt; return whether a later one equal to it is sure to be its copy."""
        known = set(self.checksums)
        differs = checksum not in known
        is_enough = len(known) >= CHECKSUMS_MIN or (bool(known) and self.comparisons.all_differ)
        all_differ = len(known) == len(self.checksums)
        if known:
            self.comparisons.newest.append(differs)
        self.checksums.append(checksum)
        return is_enough and all_differ and differs


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A response that was received on a connection."""

    completed_at_s: float  # on the event loop's clock
    is_distinctive: bool  # one that is equal to it is sure to be its copy
    is_success: bool  # its status is 200
    is_gone: bool = False  # its status is 410: the message is over


class ConnectionContents:
    """The newest responses on a connection, by checksum."""

    def __init__(self) -> None:
        self.responses: dict[int, ReceivedResponse] = {}  # the oldest first
        self.forgotten_at_s = -math.inf  # completion of the newest response that is not kept any more
        self.indistinct_at_s = -math.inf  # completion of the newest response that is not distinctive
        self.indistinct_success_at_s = -math.inf  # and of the newest of these that is a success
        self.gone_at_s = -math.inf  # completion of the newest 410

    def add(self, checksum: int, response: ReceivedResponse) -> None:
        """Keep a response that is complete."""
        self.responses.pop(checksum, None)
        self.responses[checksum] = response
        if not response.is_distinctive:
            self.indistinct_at_s = response.completed_at_s
            if response.is_success:
                self.indistinct_success_at_s = response.completed_at_s
        if response.is_gone:
            self.gone_at_s = response.completed_at_s
        while len(self.responses) > RESPONSES_KEPT:
            oldest = next(iter(self.responses))
            completed_at_s = self.responses[oldest].completed_at_s
            is_recent = completed_at_s > response.completed_at_s - COPY_WINDOW_S
            if is_recent and len(self.responses) <= RESPONSES_KEPT_MAX:
                break
            del self.responses[oldest]
            self.forgotten_at_s = completed_at_s

    def origin(self, checksum: int, now_s: float) -> Origin:
        """Compare a response with the kept ones."""
        earlier = self.responses.get(checksum)
        if earlier is not None and earlier.is_distinctive:
            return Origin.COPY
        may_repeat_at_s = self.forgotten_at_s if earlier is None else earlier.completed_at_s
        return Origin.OWN if now_s - may_repeat_at_s >= COPY_WINDOW_S else Origin.UNKNOWN

    # From one process to the next

    def state(self) -> list[tuple[int, float, bool]]:
        """Return what another process needs to go on."""
        return [
            (checksum, response.completed_at_s, response.is_distinctive)
            for checksum, response in self.responses.items()
        ]

    def adopt(self, state: list[tuple[int, float, bool]]) -> None:
        """Take over what another process knew. Each may be a success, which it does not tell."""
        for checksum, completed_at_s, is_distinctive in state:
            self.add(checksum, ReceivedResponse(completed_at_s, is_distinctive, is_success=True))
        if len(state) >= RESPONSES_KEPT:
            self.forgotten_at_s = state[0][1]
