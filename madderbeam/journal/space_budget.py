"""What the journal decides: the size of segments, whether there is room, which segment goes next. No I/O.

Bounds. While half of the limit is free a segment is rewritten only if at most a quarter of it lives, so that
each byte written by compaction frees three; else if at most half of it does: then it frees one, and what is
written in all is at most twice what was taken on. Where room is short any segment of which at most CROWDED
lives is rewritten: there up to 1 / (1 - CROWDED) bytes are written for each one freed, and admission refuses
before that goes on for long.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.journal.records import BLOCK, blocks

SMALLEST, LARGEST, PARTS = 4096, 8 << 20, 32  # bytes of a segment; a limit has so many of them
# Shares of a segment that live, at most, for it to be rewritten: while half of the limit is free, at leisure,
# and where room is short.
FREE, HALF, CROWDED = 0.25, 0.5, 0.93
# Bytes that one message's later records take at most, its id and key aside: an attempt, the proof that it
# never ran, its final, its end.
TRY, MISS, FINAL, OVER = 36, 24, 44, 52
MARK, GONE = 24, 24  # a segment's word on the next one, and the word that one has gone
AGAIN = (TRY + MISS) // 2  # kept free by admission beside them: half of all messages are tried twice
STEP_BYTES = 1 << 15  # that one step of compaction copies at most, one record more or less
STEP_RECORDS = 128


@dataclass(frozen=True)
class SegmentUsage:
    """A segment as the plan sees it."""

    number: int
    size: int  # bytes of its file, without what any segment has: its header, and the word on the next one
    live: int  # bytes that would have to be copied
    held: bool  # an older segment still has records that this one makes void: it can't go yet

    @property
    def share(self) -> float:
        return self.live / max(1, self.size)


def segment_bytes(limit: int) -> int:
    """The size at which a segment is full."""
    return min(LARGEST, max(SMALLEST, limit // PARTS // BLOCK * BLOCK))


def headroom(limit: int) -> int:
    """What is kept free so that one segment can be copied beside itself, with the rounding of two files, the
    mark at one's end, and the word that the other has gone."""
    return segment_bytes(limit) + 4 * BLOCK


def begun(head: int, size: int) -> int:
    """Bytes that a record of this size takes at most where it begins a segment with a header of `head`."""
    return blocks(MARK) + blocks(head + size)


def copyable(limit: int, used: int, head: int) -> int:
    """Bytes that may live in a segment for its copy to be begun; 0 or less: nothing may. Such a copy, and the
    word that the segment goes, begin two files at most, and surely fit, since all others leave the headroom
    free but for what was copied of it. One that was begun and did not fit would hold the room for good: there
    would be none even for the word that a dead segment goes. `head`: bytes of a header."""
    beside = GONE + 2 * (head + MARK) + 3 * BLOCK  # three files are rounded
    return min(headroom(limit) - beside, limit - used - beside, segment_bytes(limit) - head - GONE)


def reserve(open_: int, untried: int, owed: int, names: int) -> int:
    """Bytes that all messages taken on may still need on the way to their ends: for each open one what its
    newest attempt came to, its final and its end, for each untried one an attempt as well, for each owed one
    the end of its notice; `names`: of their ids and keys, remembered after. Further attempts take what room
    there is."""
    return open_ * (MISS + FINAL + OVER) + untried * TRY + owed * OVER + names


def admits(limit: int, used: int, needed: int, more: int) -> bool:
    """Whether so many bytes more leave all that was taken on room to end on a disk that gives no more."""
    return used + blocks(more) + needed + headroom(limit) <= limit


def crowded(limit: int, used: int, needed: int) -> bool:
    """Whether room is short, so that segments are rewritten before they are mostly dead."""
    return used + needed + 3 * headroom(limit) > limit


def bound(limit: int, used: int, needed: int) -> float:
    """The share of a segment that may live for it to be rewritten: the less room, the more."""
    if crowded(limit, used, needed):
        return CROWDED
    return HALF if 2 * (used + needed) > limit else FREE


def victim(views: Iterable[SegmentUsage], bound: float, most: float = math.inf) -> SegmentUsage | None:
    """The full segment to rewrite next, None if that is not worth it: the one with the least that lives, if
    at most `bound` of it does. An old segment may hold many dead ones behind it: where that is true of all
    together, the oldest goes. `most`: bytes of it that may live."""
    views = list(views)
    small = [v for v in views if v.live <= max(0, most)]
    best = min((v for v in small if not v.held), key=lambda v: (v.share, v.number), default=None)
    if best is None or best.share <= bound:
        return best
    if sum(v.live for v in views) <= bound * sum(v.size for v in views):
        return next((v for v in small if v.number == min(v.number for v in views)), None)
    return None
