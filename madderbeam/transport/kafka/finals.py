"""The topic of finals: the feed's lines with offsets, the newest of them at hand. Pure and bounded.

An offset is the number of a line since the feed began; what has been dropped has no offset any more, and a
consumer that asks for it is told that it is out of range.
"""

from __future__ import annotations

import json
from collections import deque

from madderbeam.transport.kafka.records import Record, write_batch

MOST_BYTES = 4_000_000  # of lines at hand
BATCH = 500  # lines of one answer at most


class Finals:
    """Lines are whole JSON; `base` is the offset of the first one at hand."""

    def __init__(self) -> None:
        self.base = 0
        self.lines: deque[tuple[int, bytes]] = deque()  # when it came (ms since 1970), the line
        self.size = 0

    @property
    def end(self) -> int:
        """The offset of the line that comes next."""
        return self.base + len(self.lines)

    def add(self, data: bytes, at_ms: int) -> int:
        """Lines as they were written; how many of them there are."""
        count = 0
        for line in data.split(b"\n"):
            if is_line(line):
                self.lines.append((at_ms, line))
                self.size += len(line)
                count += 1
        while self.size > MOST_BYTES and len(self.lines) > 1:
            self.size -= len(self.lines.popleft()[1])
            self.base += 1
        return count

    def batch(self, offset: int, most: int) -> bytes:
        """A batch from this offset on, of `most` bytes or one line; b"" if there is nothing yet."""
        rows: list[Record] = []
        size = 0
        for n in range(offset - self.base, len(self.lines)):
            at_ms, line = self.lines[n]
            size += len(line) + 40
            if (rows and size > most) or len(rows) == BATCH:
                break
            rows.append(Record(json.loads(line)["id"].encode(), line, (), at_ms))
        return write_batch(rows, offset) if rows else b""

    def at(self, timestamp: int) -> tuple[int, int]:
        """For ListOffsets: the offset and time of the first line that came at this time or later; -1
        stands for the end, -2 for the begin; (-1, -1) where none did."""
        if timestamp == -1:
            return self.end, -1
        if timestamp == -2:
            return self.base, -1
        return next(
            ((self.base + n, at) for n, (at, _) in enumerate(self.lines) if at >= timestamp), (-1, -1)
        )


def is_line(line: bytes) -> bool:
    """Whether a line of the feed is one final: a kill may have torn it."""
    if not line:
        return False
    try:
        found = json.loads(line)
    except ValueError:
        return False
    return isinstance(found, dict) and isinstance(found.get("id"), str)
