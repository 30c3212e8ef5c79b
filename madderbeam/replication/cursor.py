"""The replication cursor: how many bytes of each segment have been sent to the standby.

Once caught up, appended data is sent as it is written, so that the copy always equals an earlier state of the
primary's folder, byte for byte. To catch up, missing data is read from the files, the lowest segment first,
and segments removed at the primary are removed last. The copy then is an earlier state as well, unless the
primary removed a segment meanwhile: such a copy is marked `midway` until it is complete.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from madderbeam.replication.values import MAX_CHUNK_BYTES


class Cursor:
    """What was sent of each segment; `sizes`: the primary's segments, shared with and updated by it."""

    def __init__(self, sizes: Mapping[int, int], sent: Mapping[int, int], digests: Mapping[int, int]) -> None:
        self.sizes, self.sent, self.digests = sizes, dict(sent), dict(digests)

    @property
    def is_prefix(self) -> bool:
        """Whether missing data can be sent in the order of writing: no segment that the copy has, or would
        have had, was removed.

        Never true of an empty copy of several segments that do not begin with the first.
        """
        newest = max(self.sent, default=0)
        if any(segment not in self.sizes for segment in self.sent):
            return False
        if any(self.sent.get(segment, 0) != size for segment, size in self.sizes.items() if segment < newest):
            return False
        return all(segment in self.sizes for segment in range(newest + 1, max(self.sizes, default=0) + 1))

    def next_missing(self) -> tuple[int, int, int] | None:
        """The next part that the copy lacks, as segment, offset and size; None if it lacks nothing."""
        for segment in sorted(self.sizes):
            offset = self.sent.get(segment, 0)
            if offset < self.sizes[segment]:
                return segment, offset, min(MAX_CHUNK_BYTES, self.sizes[segment] - offset)
        return None

    def missing_bytes(self) -> int:
        """How many bytes have not been sent."""
        return sum(max(0, size - self.sent.get(segment, 0)) for segment, size in self.sizes.items())

    def removed_segments(self) -> list[int]:
        """Segments of the copy that the primary has removed."""
        return sorted(segment for segment in self.sent if segment not in self.sizes)

    def record_sent(self, segment: int, data: bytes) -> int:
        """Record that these bytes are sent; returns the segment's digest up to their end."""
        self.sent[segment] = self.sent.get(segment, 0) + len(data)
        self.digests[segment] = digest = zlib.crc32(data, self.digests.get(segment, 0))
        return digest

    def record_removed(self, segment: int) -> None:
        """Record that the removal of a segment is sent."""
        self.sent.pop(segment, None)
        self.digests.pop(segment, None)


def describe_excess(sizes: Mapping[int, int], copy_sizes: Mapping[int, int]) -> str:
    """Describe data that the copy has and the primary lacks, "" if there is none."""
    newest = max(sizes, default=0)
    for segment, size in copy_sizes.items():
        if segment > newest:
            return f"it has segment {segment}, and the newest here is {newest}"
        if size > sizes.get(segment, size):
            return f"it has {size} bytes of segment {segment}, and here it has {sizes[segment]}"
    return ""
