"""The standby's copy: the owner's segments byte for byte, in the folder that a courier is started from."""

from __future__ import annotations

import contextlib
import errno
import os
import zlib

from madderbeam.journal.damage import SuspectMessages
from madderbeam.journal.journal import Journal
from madderbeam.journal.records import frame
from madderbeam.journal.recovery import read_folder
from madderbeam.journal.segments import segment_name, segment_number
from madderbeam.ports import Clock, Disk, File


class Copy:
    """Appends as it is told, never with a gap."""

    def __init__(self, disk: Disk, folder: str, sync: bool) -> None:
        """Reads what is there; OSError if it can't be."""
        self.disk, self.folder, self.sync = disk, folder, sync
        self.sizes: dict[int, int] = {}
        self.digests: dict[int, int] = {}
        for file in disk.names(folder):
            if n := segment_number(file):
                data = disk.read(f"{folder}/{file}")
                self.sizes[n], self.digests[n] = len(data), zlib.crc32(data)
        self.active = 0
        self.file: File | None = None

    def write(self, segment: int, at: int, data: bytes) -> None:
        """OSError, and nothing of it stands there, if the disk does not take it."""
        if at != self.sizes.get(segment, 0):
            raise OSError(
                errno.EINVAL, f"byte {at} of segment {segment}, which has {self.sizes.get(segment, 0)}"
            )
        if self.file is None or self.active != segment:
            self.close()
            self.active, self.file = segment, self.disk.open(f"{self.folder}/{segment_name(segment)}")
            self.file.truncate(at)  # whatever a failed write has left there
        try:
            if self.file.append(data) != len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if self.sync:
                self.file.sync()
        except OSError:
            with contextlib.suppress(OSError):
                self.file.truncate(at)
            self.close()
            raise
        self.sizes[segment] = at + len(data)

    def remove(self, segment: int) -> None:
        if segment == self.active:
            self.close()
        self.disk.unlink(f"{self.folder}/{segment_name(segment)}")
        self.sizes.pop(segment, None)

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file, self.active = None, 0


def doubt(disk: Disk, clock: Clock, folder: str, limit: int, exact: bool) -> int:
    """Write into the copy that each open message may have run, since records may lack; how many there are.

    An `exact` copy lacks only what was written after its newest time: what may have run did so from then on.
    Otherwise from the oldest time that it tells.
    """
    times = [
        t for part in read_folder(disk, folder).segments for _, record in part.records if (t := _time(record))
    ]
    journal = Journal(disk, clock, folder, limit)
    since = (max(times) if exact else min(times)) if times else journal.wall()
    journal.suspects = SuspectMessages(journal.last_number, since, {})
    journal.files.start_new_segment()
    journal.files.append(frame(["known", journal.last_number, {}, {}]))
    if journal.sync:
        journal.files.sync()
    journal.close()
    return journal.open_count


def _time(record: list[object]) -> float:
    at = (
        record[6]
        if record[0] == "segment" and len(record) > 6
        else (record[2] if record[0] in ("try", "over") and len(record) > 2 else 0.0)
    )
    return float(at) if isinstance(at, (int, float)) else 0.0
