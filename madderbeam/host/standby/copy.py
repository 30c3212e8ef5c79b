"""The standby's copy of the journal: the primary's segments, byte for byte."""

from __future__ import annotations

import contextlib
import errno
import os
import zlib

from madderbeam.journal.damage import SuspectMessages
from madderbeam.journal.journal import Journal
from madderbeam.journal.newest_marker import remove_marker
from madderbeam.journal.records import frame
from madderbeam.journal.recovery import read_folder
from madderbeam.journal.segments import segment_name, segment_number
from madderbeam.ports import Clock, Disk, File


class JournalCopy:
    """The segment files of the copy; data is only appended, never with a gap."""

    def __init__(self, disk: Disk, folder: str, sync: bool) -> None:
        """Read the existing segments; OSError if that fails.

        A marker is of the time when this courier was a primary: the copied segments have other numbers.
        """
        self.disk, self.folder, self.sync = disk, folder, sync
        self.sizes: dict[int, int] = {}
        self.digests: dict[int, int] = {}
        remove_marker(disk, folder)
        for file in disk.names(folder):
            if number := segment_number(file):
                data = disk.read(f"{folder}/{file}")
                self.sizes[number], self.digests[number] = len(data), zlib.crc32(data)
        self.active = 0
        self.file: File | None = None

    def write(self, segment: int, offset: int, data: bytes) -> None:
        """Append to a segment. OSError if the disk rejects the data; none of it is in the file then."""
        if offset != self.sizes.get(segment, 0):
            raise OSError(
                errno.EINVAL, f"byte {offset} of segment {segment}, which has {self.sizes.get(segment, 0)}"
            )
        if self.file is None or self.active != segment:
            self.close()
            self.active, self.file = segment, self.disk.open(f"{self.folder}/{segment_name(segment)}")
            self.file.truncate(offset)  # removes what a failed write has left
        try:
            if self.file.append(data) != len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if self.sync:
                self.file.sync()
        except OSError:
            with contextlib.suppress(OSError):
                self.file.truncate(offset)
            self.close()
            raise
        self.sizes[segment] = offset + len(data)

    def remove(self, segment: int) -> None:
        """Remove a segment's file; OSError if that fails."""
        if segment == self.active:
            self.close()
        self.disk.unlink(f"{self.folder}/{segment_name(segment)}")
        self.sizes.pop(segment, None)

    def close(self) -> None:
        """Close the open segment's file."""
        if self.file is not None:
            self.file.close()
            self.file, self.active = None, 0


def mark_possibly_executed(
    disk: Disk, clock: Clock, folder: str, limit_bytes: int, is_prefix: bool, sync: bool
) -> int:
    """Record in the copy that each open message is possibly executed; returns how many there are.

    `sync`: the record is synced to the disk, as the courier's own records are.
    A copy that `is_prefix` lacks only records written after its newest recorded time: missing attempts began
    at that time or later. Otherwise they began at the oldest recorded time or later.
    """
    times_s = [
        time_s
        for part in read_folder(disk, folder).segments
        for _, record in part.records
        if (time_s := _record_time(record))
    ]
    journal = Journal(disk, clock, folder, limit_bytes, sync=sync)
    since_s = (max(times_s) if is_prefix else min(times_s)) if times_s else journal.wall()
    journal.suspects = SuspectMessages(journal.last_number, since_s, {})
    journal.files.start_new_segment()
    journal.files.append(frame(["known", journal.last_number, {}, {}]))
    if journal.sync:
        journal.files.sync()
    journal.close()
    return journal.open_count


def _record_time(record: list[object]) -> float:
    written_at = (
        record[6]
        if record[0] == "segment" and len(record) > 6
        else (record[2] if record[0] in ("try", "over") and len(record) > 2 else 0.0)
    )
    return float(written_at) if isinstance(written_at, (int, float)) else 0.0
