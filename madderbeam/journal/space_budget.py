"""The journal's space decisions: segment size, whether there is space, which segment to rewrite. No I/O.

Write amplification: while half of the limit is free, a segment is rewritten only if at most a quarter of it
is live, so that each byte that compaction writes frees three. Beyond that, it is rewritten if at most half of
it is live: each byte frees one, and the bytes written in all are at most twice the bytes accepted. Where
space is short, any segment of which at most SCARCE_LIVE_SHARE is live is rewritten: up to 1 / (1 - share)
bytes are written for each byte freed, and admission rejects messages before that continues for long.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.journal.records import BLOCK_BYTES, rounded_to_blocks

MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES, SEGMENTS_PER_LIMIT = 4096, 8 << 20, 32
# The largest live share of a segment that is rewritten: while half of the limit is free, while less is free,
# and while space is scarce.
RELAXED_LIVE_SHARE, HALF_FULL_LIVE_SHARE, SCARCE_LIVE_SHARE = 0.25, 0.5, 0.93
# The most bytes of a message's later records, without its id and key: "try", "miss", "final" and "over".
TRY_BYTES, MISS_BYTES, FINAL_BYTES, OVER_BYTES = 36, 24, 44, 52
END_BYTES, GONE_BYTES = 24, 24  # an "end" record, which names the next segment, and a "gone" record
# Also kept free by admission for each message: half of all messages are attempted twice.
RETRY_RESERVE_BYTES = (TRY_BYTES + MISS_BYTES) // 2
STEP_BYTES = 1 << 15  # copied by one compaction step at most, give or take one record
STEP_RECORDS = 128


@dataclass(frozen=True)
class SegmentUsage:
    """The usage of one segment, as far as compaction needs it."""

    number: int
    size: int  # bytes of the file without what every segment has: its header and its "end" record
    live: int  # bytes that would have to be copied
    is_pinned: bool  # an older segment has records that this one supersedes: it can't be removed yet

    @property
    def live_share(self) -> float:
        """The share of its bytes that is live."""
        return self.live / max(1, self.size)


def segment_bytes(limit: int) -> int:
    """The size in bytes at which a segment is full."""
    return min(
        MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, limit // SEGMENTS_PER_LIMIT // BLOCK_BYTES * BLOCK_BYTES)
    )


def headroom(limit: int) -> int:
    """Bytes kept free so that a segment can be copied before it is removed.

    Includes the rounding of two files, the "end" record of one and the "gone" record of the other.
    """
    return segment_bytes(limit) + 4 * BLOCK_BYTES


def new_segment_bytes(header_bytes: int, size: int) -> int:
    """The most bytes that a record of this size takes if it starts a segment."""
    return rounded_to_blocks(END_BYTES) + rounded_to_blocks(header_bytes + size)


def max_copyable_bytes(limit: int, used: int, header_bytes: int) -> int:
    """The most live bytes of a segment whose copy may be started; 0 or less if none may be.

    Such a copy and the "gone" record start two files at most, and are sure to fit, because all other writes
    leave the headroom free except for what was already copied into it. A copy that was started and did not
    fit would take the space for good: not even the "gone" record of a dead segment would fit any more.
    """
    overhead = GONE_BYTES + 2 * (header_bytes + END_BYTES) + 3 * BLOCK_BYTES  # three files are rounded up
    return min(
        headroom(limit) - overhead, limit - used - overhead, segment_bytes(limit) - header_bytes - GONE_BYTES
    )


def reserved_bytes(open_count: int, unattempted: int, ended: int, names: int) -> int:
    """Bytes that all accepted messages may still need until they are completed.

    For each open message the result of its newest attempt, its "final" and its "over" record, for each
    unattempted one a "try" record as well, for each outstanding notice its "over" record. `names`: bytes of
    the ids and keys, which are remembered afterwards. Further attempts use what space is left.
    """
    return (
        open_count * (MISS_BYTES + FINAL_BYTES + OVER_BYTES)
        + unattempted * TRY_BYTES
        + ended * OVER_BYTES
        + names
    )


def admits(limit: int, used: int, needed: int, more: int) -> bool:
    """Whether, after `more` bytes, every accepted message can still be completed within the limit."""
    return used + rounded_to_blocks(more) + needed + headroom(limit) <= limit


def is_space_short(limit: int, used: int, needed: int) -> bool:
    """Whether space is short, so that segments are rewritten before they are mostly dead."""
    return used + needed + 3 * headroom(limit) > limit


def max_live_share(limit: int, used: int, needed: int) -> float:
    """The largest live share of a segment that is rewritten: the less space, the larger."""
    if is_space_short(limit, used, needed):
        return SCARCE_LIVE_SHARE
    return HALF_FULL_LIVE_SHARE if 2 * (used + needed) > limit else RELAXED_LIVE_SHARE


def choose_victim(
    usages: Iterable[SegmentUsage], max_share: float, max_bytes: float = math.inf
) -> SegmentUsage | None:
    """The full segment to rewrite next, None if no rewrite is worth its cost.

    It is the one with the smallest live share, if that is at most `max_share`. An old segment may pin many
    dead ones behind it: if the live share of all segments together is within the bound, the oldest is chosen.
    `max_bytes`: the most live bytes of a segment that may be copied now.
    """
    usages = list(usages)
    copyable = [usage for usage in usages if usage.live <= max(0, max_bytes)]
    best = min(
        (usage for usage in copyable if not usage.is_pinned),
        key=lambda usage: (usage.live_share, usage.number),
        default=None,
    )
    if best is None or best.live_share <= max_share:
        return best
    if sum(usage.live for usage in usages) <= max_share * sum(usage.size for usage in usages):
        return next(
            (usage for usage in copyable if usage.number == min(usage.number for usage in usages)), None
        )
    return None
