"""Which finals stand where in the feed's files: blocks of lines by offset, for consumers of old ones."""

from __future__ import annotations

import bisect
from dataclasses import dataclass

BLOCK_BYTES = 1 << 16  # a block is begun behind so many


@dataclass(slots=True)
class Block:
    """Lines that follow one another in one file; lines that are no finals may stand between them."""

    first_offset: int
    position: int  # of its first byte in the file
    size_bytes: int
    count: int  # of its finals
    at_ms: int  # when the first of them came
    is_rotated: bool = False  # the file was set aside


class FeedBlocks:
    """The blocks of the current file and of the one that was set aside, the oldest first."""

    def __init__(self) -> None:
        self.blocks: list[Block] = []

    def add(self, offset: int, position: int, size_bytes: int, at_ms: int) -> None:
        """A line of the current file."""
        last = self.blocks[-1] if self.blocks else None
        if last is None or last.is_rotated or last.size_bytes >= BLOCK_BYTES:
            self.blocks.append(Block(offset, position, size_bytes, 1, at_ms))
            return
        last.size_bytes = position + size_bytes - last.position
        last.count += 1

    def rotate(self) -> None:
        """The current file is set aside, in place of the one before."""
        self.blocks = [block for block in self.blocks if not block.is_rotated]
        for block in self.blocks:
            block.is_rotated = True

    def begin(self, default: int) -> int:
        """The offset of the first line, `default` if there is none."""
        return self.blocks[0].first_offset if self.blocks else default

    def find(self, offset: int) -> Block | None:
        """The block with this offset; None if there is none."""
        index = bisect.bisect_right(self.blocks, offset, key=lambda block: block.first_offset) - 1
        if index < 0 or offset >= self.blocks[index].first_offset + self.blocks[index].count:
            return None
        return self.blocks[index]

    def at(self, timestamp_ms: int) -> Block | None:
        """The last block that began before this time, None if none did: what came later may be in it."""
        index = bisect.bisect_left(self.blocks, timestamp_ms, key=lambda block: block.at_ms) - 1
        return self.blocks[index] if index >= 0 else None
