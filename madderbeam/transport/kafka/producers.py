"""Idempotent producers: which sequence is next, which batch was taken already. Pure and bounded.

Protocol guide and KIP-98: within one producer id and epoch each batch's sequence follows the one before on
its partition; a repeated one of the last five is answered as it was, a gap is an error. What a courier
forgets (by a restart, or for room) it takes as new: its records' ids are known from the journal, so that
nothing runs twice.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from madderbeam.transport.kafka.records import Batch
from madderbeam.transport.kafka.schemas import Code

MOST = 1000  # producers on partitions that are remembered, the longest unused go
LAST = 5  # batches of each that may come again
WRAP = 1 << 31  # sequences begin anew after 2147483647


@dataclass
class Line:
    """One producer on one partition."""

    epoch: int
    following: int  # the sequence that comes next
    last: deque[tuple[int, int, int]] = field(default_factory=lambda: deque(maxlen=LAST))


class Producers:
    """By producer id, topic and partition."""

    def __init__(self) -> None:
        self.lines: OrderedDict[tuple[int, str, int], Line] = OrderedDict()
        self.given = 0

    def new_id(self, wall_ms: int) -> int:
        """An id that no producer of this courier has had, also before a restart."""
        self.given = max(self.given + 1, wall_ms << 12)
        return self.given & (1 << 62) - 1

    def check(self, name: str, partition: int, batch: Batch) -> tuple[int, int]:
        """An error code, and for a batch that was taken before its offset (else -1). (NONE, -1): it is
        new."""
        if batch.producer_id < 0:
            return Code.NONE, -1
        line = self.lines.get((batch.producer_id, name, partition))
        if line is None or batch.epoch > line.epoch:
            return Code.NONE, -1
        if batch.epoch < line.epoch:
            return Code.INVALID_PRODUCER_EPOCH, -1
        for sequence, count, offset in line.last:
            if sequence == batch.sequence and count == len(batch.records):
                return Code.NONE, offset
        if batch.sequence == line.following:
            return Code.NONE, -1
        ahead = (batch.sequence - line.following) % WRAP
        return (
            Code.OUT_OF_ORDER_SEQUENCE_NUMBER if ahead < WRAP // 2 else Code.DUPLICATE_SEQUENCE_NUMBER
        ), -1

    def taken(self, name: str, partition: int, batch: Batch, offset: int) -> None:
        """All of the batch was taken on."""
        if batch.producer_id < 0:
            return
        key = (batch.producer_id, name, partition)
        line = self.lines.get(key)
        if line is None or line.epoch != batch.epoch:
            line = self.lines[key] = Line(batch.epoch, batch.sequence)
        line.following = (batch.sequence + len(batch.records)) % WRAP
        line.last.append((batch.sequence, len(batch.records), offset))
        self.lines.move_to_end(key)
        if len(self.lines) > MOST:
            self.lines.popitem(last=False)
