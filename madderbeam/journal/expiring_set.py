"""Strings that are remembered until they expire, each with the segment that records it."""

from __future__ import annotations

from collections.abc import Callable

from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID

ENTRY_OVERHEAD_BYTES = 17  # that a remembered id or key takes in a record, besides its own characters

# Of one string: its time, its expiry, the segment that a restart would read it from, and its zone's id, 0 if
# it has none. A plain tuple of numbers, because the garbage collector does not traverse hundreds of thousands
# of those.
Entry = tuple[float, float, int, int]


class ExpiringSet:
    """Remembers the time of each string until it expires, in buckets of one second, so that nothing is
    searched.

    `on_moved` is called with each string whose segment changes: string, old segment, new segment. Segment 0
    means none, as for a string that is remembered before its record is written.
    """

    def __init__(self, on_moved: Callable[[str, int, int], None] = lambda text, old, new: None) -> None:
        self.entries: dict[str, Entry] = {}
        self.buckets: dict[int, list[str]] = {}
        self.due: list[str] = []  # of buckets that have passed; each is still to be checked
        self.size_bytes = 0
        self.on_moved = on_moved

    def __contains__(self, text: str) -> bool:
        return text in self.entries

    def __len__(self) -> int:
        return len(self.entries)

    def time_of(self, text: str) -> float:
        """The string's time, 0 if it is not known."""
        return self.entries[text][0] if text in self.entries else 0.0

    def expires_at(self, text: str) -> float:
        """When a known string expires; KeyError if it is not known."""
        return self.entries[text][1]

    def zone_of(self, text: str) -> int:
        """The id of the string's zone, UNKNOWN_ZONE_ID if it has none or is not known."""
        return self.entries[text][3] if text in self.entries else UNKNOWN_ZONE_ID

    def segment_of(self, text: str) -> int:
        """The segment that records the string, 0 if none does."""
        return self.entries[text][2] if text in self.entries else 0

    def add(
        self, text: str, time: float, expires_at: float, segment: int = 0, zone: int = UNKNOWN_ZONE_ID
    ) -> None:
        """Remember the string, or replace its time, expiry, segment and zone."""
        old = self.entries.get(text)
        self.entries[text] = (time, expires_at, segment, zone)
        if old is None:
            self.size_bytes += len(text) + ENTRY_OVERHEAD_BYTES
        if old is None or old[1] != expires_at:
            self.buckets.setdefault(int(expires_at) + 1, []).append(text)
        old_segment = old[2] if old else 0
        if old_segment != segment:
            self.on_moved(text, old_segment, segment)

    def move(self, text: str, segment: int) -> None:
        """Note that another segment records the string from now on, if it is known."""
        if (old := self.entries.get(text)) and old[2] != segment:
            self.entries[text] = (old[0], old[1], segment, old[3])
            self.on_moved(text, old[2], segment)

    def forget_zones(self) -> None:
        """Take the zones of all strings for unknown."""
        for text, (time, expires_at, segment, zone) in self.entries.items():
            if zone != UNKNOWN_ZONE_ID:
                self.entries[text] = (time, expires_at, segment, UNKNOWN_ZONE_ID)

    def drop(self, text: str) -> None:
        """Forget the string, if it is known."""
        if old := self.entries.pop(text, None):
            self.size_bytes -= len(text) + ENTRY_OVERHEAD_BYTES
            if old[2]:
                self.on_moved(text, old[2], 0)

    def collect_due(self, now: float) -> None:
        """Move the strings of all buckets that have passed to `due`."""
        for bucket in [b for b in self.buckets if b <= now]:
            self.due += self.buckets.pop(bucket)

    def expire(self, now: float, limit: int = 1 << 60) -> None:
        """Forget up to `limit` expired strings: a full bucket at once would stall a busy event loop."""
        self.collect_due(now)
        for _ in range(min(limit, len(self.due))):
            text = self.due.pop()
            if text in self.entries and self.entries[text][1] <= now:
                self.drop(text)
