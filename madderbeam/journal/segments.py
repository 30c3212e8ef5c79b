"""The files of a journal: append-only segments, ordered by their numbers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from madderbeam.journal import space_budget
from madderbeam.journal.newest_marker import NewestMarker
from madderbeam.journal.records import FORMAT, frame, rounded_to_blocks
from madderbeam.ports import Disk, File

PREFIX, SUFFIX, FRESH = "segment-", ".journal", ".new"
log = logging.getLogger(__name__)


class JournalFullError(OSError):
    """The record would exceed the disk limit, or the disk is full."""


class UnconfirmedError(OSError):
    """The record was written here, but it is unknown whether the standby has it."""


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{PREFIX}{number:08d}{SUFFIX}"


def segment_number(text: str) -> int:
    """The number in a segment's file name, 0 if it is not one."""
    middle = text.removeprefix(PREFIX).removesuffix(SUFFIX)
    return int(middle) if text == f"{PREFIX}{middle}{SUFFIX}" and middle.isdigit() else 0


class Segment:
    """One file and its live contents."""

    def __init__(self, number: int, file: str = "") -> None:
        self.number, self.file = number, file or segment_name(number)
        self.size = 0
        self.overhead_bytes = 0  # bytes that every segment has: its header and its "end" record
        self.live_bytes = 0  # bytes
        self.messages: set[int] = set()  # whose newest whole record is here
        # Remembered ids and keys that are recorded here. They are copied in this order, so a set will not do.
        self.ids: dict[str, None] = {}
        self.keys: dict[str, None] = {}
        self.supersedes: set[int] = set()  # older segments with records that records here supersede
        self.has_removal_record = False
        self.is_damaged = False  # kept for examination while there is space

    @property
    def is_dead(self) -> bool:
        """Whether nothing in it is live."""
        return not self.messages and not self.ids and not self.keys


class SegmentFiles:
    """Appends to the newest segment and starts new ones, within the limit and never after a torn record."""

    def __init__(
        self,
        disk: Disk,
        folder: str,
        limit: int,
        segment_bytes: int,
        make_header: Callable[[int], list[Any]],
        is_synced: bool = False,
    ) -> None:
        self.disk, self.folder, self.limit_bytes, self.segment_bytes, self.make_header = (
            disk,
            folder,
            limit,
            segment_bytes,
            make_header,
        )
        self.is_synced = is_synced  # the marker waits for `sync`, so that it never survives a header's loss
        self.marker = NewestMarker(disk, folder)
        self.is_marker_due = True
        self.segments: dict[int, Segment] = {}
        self.used_bytes = 0  # bytes of all files, in whole blocks
        self.newest = 0
        self.file: File | None = None
        self.may_be_torn = False  # the file may end in a part of a record, which has to be cut off first
        self.must_roll = False  # the next record starts a new segment
        self.write_count = self.written_bytes = 0

    def path(self, number: int) -> str:
        """The path of a segment's file, whether it exists or not."""
        return (
            f"{self.folder}/{self.segments[number].file if number in self.segments else segment_name(number)}"
        )

    def sizes_before(self, below: int) -> list[list[int]]:
        """The older segments as a header lists them: the distance of each number, and its size."""
        return [
            [below - s.number, s.size]
            for s in self.segments.values()
            if s.number < below and not s.has_removal_record
        ]

    @property
    def active(self) -> Segment:
        """The segment that records are appended to."""
        return self.segments[self.newest]

    @property
    def header_bytes(self) -> int:
        """Bytes of the next segment's header."""
        return len(frame(self.make_header(self.newest + 1)))

    def add_existing(self, number: int, size: int, file: str = "", fixed: int = 0) -> Segment:
        """Register a segment that exists at the start; appends continue in the newest one."""
        segment = self.segments[number] = Segment(number, file)
        segment.size, segment.overhead_bytes = size, fixed
        self.used_bytes += rounded_to_blocks(size)
        self.newest = max(self.newest, number)
        return segment

    def append(self, data: bytes, spare: int = 0) -> None:
        """Append to the active segment, leaving `spare` bytes of the limit; OSError, with nothing written, if
        not possible."""
        self.ensure_open()
        if self.active.size and (self.must_roll or self.active.size + len(data) > self.segment_bytes):
            if (
                self.used_bytes + space_budget.new_segment_bytes(self.header_bytes, len(data))
                > self.limit_bytes - spare
            ):
                raise JournalFullError("the disk limit is reached")
            self._roll()
        segment = self.active
        header = b"" if segment.size else frame(self.make_header(segment.number))
        data = header + data
        more = rounded_to_blocks(segment.size + len(data)) - rounded_to_blocks(segment.size)
        if self.used_bytes + more > self.limit_bytes - spare:
            raise JournalFullError("the disk limit is reached")
        self._cut_torn_tail()
        assert self.file is not None
        self.may_be_torn = True
        self.write_count += 1
        if self.file.append(data) != len(data):
            self._cut_torn_tail()
            raise JournalFullError("the disk is full")
        self.may_be_torn = False
        self.written_bytes += len(data)
        segment.size += len(data)
        segment.overhead_bytes += len(header)
        self.used_bytes += more
        if self.is_marker_due and not self.is_synced:
            self._mark_newest()

    def start_new_segment(self, above: int = 0) -> None:
        """Start a new segment with the next record. With `above`, its number is `above` + 1 at once, and the
        segment before it, which is damaged, is not written to."""
        if above:
            self.newest = above + 1
            self.segments[self.newest] = Segment(self.newest)
        self.must_roll = not above and bool(self.segments)

    def ensure_open(self) -> None:
        """Open the active segment, since later no descriptor may be left; OSError if that fails."""
        if self.file is None:
            self._open_active()

    def _open_active(self) -> None:
        if self.newest not in self.segments:
            self.newest += 1
            self.segments[self.newest] = Segment(self.newest)
        self.file = self.disk.open(self.path(self.newest))
        self.may_be_torn = True  # an earlier failed write may have left a part of a record

    def _cut_torn_tail(self) -> None:
        """Cut off a part of a record, which would hide all records after it; OSError if that fails."""
        if self.may_be_torn and self.file is not None:
            self.file.truncate(self.active.size)
            self.may_be_torn = False

    def sync(self) -> None:
        """Sync the written records to the disk, so that they survive a power loss; OSError if that fails."""
        if self.file is not None:
            self.file.sync()
            if self.is_marker_due and self.active.size:
                self._mark_newest()

    def _mark_newest(self) -> None:
        self.is_marker_due = False
        self.marker.advance(self.newest)

    def _roll(self) -> None:
        """Start the next segment. A torn end of the old one is cut off first, or it would look damaged. The
        last record of the old one names the new one, so that a loss of the new one is detected."""
        self._cut_torn_tail()
        assert self.file is not None
        following = Segment(self.newest + 1)
        try:
            new_file: File | None = self.disk.open(f"{self.folder}/{following.file}")
        except OSError:  # perhaps no second descriptor is available
            new_file = None
        if new_file is not None:
            self._write_end_record(following.number)
        self.file.close()
        self.file, self.may_be_torn, self.must_roll = new_file, True, False
        self.is_marker_due = True
        self.newest = following.number
        self.segments[self.newest] = following
        self.ensure_open()

    def _write_end_record(self, following: int) -> None:
        """Name the next segment at the end of this one, if possible: without it a loss of the next segment is
        not detected."""
        data, segment = frame(["end", following]), self.active
        more = rounded_to_blocks(segment.size + len(data)) - rounded_to_blocks(segment.size)
        if self.used_bytes + more > self.limit_bytes:
            return
        assert self.file is not None
        self.may_be_torn, written = True, 0
        try:
            written = self.file.append(data)
            if written == len(data):
                segment.size += len(data)
                segment.overhead_bytes += len(data)
                self.used_bytes += more
                self.may_be_torn = False
            self._cut_torn_tail()
        except OSError as error:
            log.warning("journal: %s does not name the next segment: %s", segment.file, error)
            # A part of the record may stay in the file for good. Later headers must list the file's real
            # size: otherwise the rest is taken for foreign bytes, and all pending messages for possibly
            # executed.
            used_before_bytes = rounded_to_blocks(segment.size)
            segment.size += written
            segment.overhead_bytes += written
            self.used_bytes += rounded_to_blocks(segment.size) - used_before_bytes

    def remove(self, number: int) -> None:
        """Remove a segment's file; OSError if that fails, and the segment stays.

        A "gone" record is written first: a file that is missing without one counts as lost.
        """
        if not self.segments[number].has_removal_record:
            self.append(frame(["gone", number]))
            self.segments[number].has_removal_record = True
        self.disk.unlink(self.path(number))
        segment = self.segments.pop(number)
        self.used_bytes -= rounded_to_blocks(segment.size)

    def close(self) -> None:
        """Close the active segment's file."""
        if self.file is not None:
            self.file.close()
            self.file = None


def header_record(
    number: int,
    last_number: int,
    clock_offset_s: float,
    boot_id: str,
    now: float,
    sizes_before: list[list[int]],
    suspects: list[Any] | None,
) -> list[Any]:
    """The first record of a segment: the journal's state when it was started, the segments that existed, and
    the messages that damage has made suspect."""
    return ["segment", FORMAT, number, last_number, clock_offset_s, boot_id, now, sizes_before, suspects]
