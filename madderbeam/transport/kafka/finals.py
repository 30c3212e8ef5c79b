"""The topic of finals: the feed's lines with offsets, the newest of them at hand. Pure and bounded.

An offset is the number of a line since the feed began. Older lines are read from the feed's files; what is in
none of them has no offset any more, and a consumer that asks for it is told that it is out of range.
"""

from __future__ import annotations

import itertools
import json
from collections import deque
from collections.abc import Callable, Iterator

from madderbeam.transport.kafka.feed_blocks import Block, FeedBlocks
from madderbeam.transport.kafka.records import Record, write_batch

MOST_BYTES = 4_000_000  # of lines at hand
BATCH = 500  # lines of one answer at most


class Finals:
    """Lines are whole JSON; `base` is the offset of the first one at hand.

    `read_block` gives a block's bytes from its file, b"" if it can't be read.
    """

    def __init__(self, read_block: Callable[[Block], bytes] = lambda block: b"") -> None:
        self.read_block, self.in_files = read_block, FeedBlocks()
        self.base = 0
        self.lines: deque[tuple[int, bytes]] = deque()  # when it came (ms since 1970), the line
        self.size = 0

    @property
    def end(self) -> int:
        """The offset of the line that comes next."""
        return self.base + len(self.lines)

    @property
    def begin(self) -> int:
        """The offset of the first line that can be read."""
        return min(self.base, self.in_files.begin(self.base))

    def add(self, data: bytes, at_ms: int, position: int | None = None) -> int:
        """Lines as they were written; how many of them there are.

        `position`: of the first byte in the feed's current file, None if it is in no file.
        """
        count = 0
        for line in data.split(b"\n"):
            if is_line(line):
                if position is not None:
                    self.in_files.add(self.end, position, len(line), at_ms)
                self.lines.append((at_ms, line))
                self.size += len(line)
                count += 1
            if position is not None:
                position += len(line) + 1
        while self.size > MOST_BYTES and len(self.lines) > 1:
            self.size -= len(self.lines.popleft()[1])
            self.base += 1
        return count

    def batch(self, offset: int, most: int) -> bytes:
        """A batch from this offset on, of `most` bytes or one line; b"" if there is nothing yet."""
        rows: list[Record] = []
        size = 0
        for at_ms, line in self._lines_from(offset):
            size += len(line) + 40
            if (rows and size > most) or len(rows) == BATCH:
                break
            rows.append(Record(json.loads(line)["id"].encode(), line, (), at_ms))
        return write_batch(rows, offset) if rows else b""

    def _lines_from(self, offset: int) -> Iterator[tuple[int, bytes]]:
        """The lines from this offset on, with their times: those at hand, or the rest of one block."""
        if offset >= self.base:
            return itertools.islice(self.lines, offset - self.base, None)
        block = self.in_files.find(offset)
        if block is None:
            return iter(())
        lines = [line for line in self.read_block(block).split(b"\n") if is_line(line)]
        if len(lines) != block.count:  # the file is not the one that was written
            return iter(())
        return ((block.at_ms, line) for line in lines[offset - block.first_offset :])

    def at(self, timestamp: int) -> tuple[int, int]:
        """For ListOffsets: the offset and time of the first line that came at this time or later; -1
        stands for the end, -2 for the begin; (-1, -1) where none did. Of lines that are not at hand the times
        are known by block: some earlier ones may come first."""
        if timestamp == -1:
            return self.end, -1
        if timestamp == -2:
            return self.begin, -1
        if self.begin < self.base:
            block = self.in_files.at(timestamp) or self.in_files.blocks[0]
            if block.first_offset < self.base:
                return block.first_offset, block.at_ms
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
