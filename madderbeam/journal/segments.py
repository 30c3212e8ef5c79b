"""The files of a journal: segments that only grow, in the order of their numbers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from madderbeam.journal.records import FORMAT, blocks, frame
from madderbeam.ports import Disk, File

PREFIX, SUFFIX, FRESH = "segment-", ".journal", ".new"
log = logging.getLogger(__name__)


class JournalFull(OSError):
    """The record would take more than the disk limit allows."""


def name(number: int) -> str:
    return f"{PREFIX}{number:08d}{SUFFIX}"


def number(text: str) -> int:
    """The number of a segment's file, 0 if it is none."""
    middle = text.removeprefix(PREFIX).removesuffix(SUFFIX)
    return int(middle) if text == f"{PREFIX}{middle}{SUFFIX}" and middle.isdigit() else 0


class Segment:
    """One file and what of it lives."""

    def __init__(self, number_: int) -> None:
        self.number = number_
        self.size = 0
        self.live = 0  # bytes
        self.messages: set[int] = set()  # whose newest whole record is here
        self.ids: set[str] = set()  # remembered, and told here
        self.keys: set[str] = set()
        self.voids: set[int] = set()  # older segments with records that ones here make void

    @property
    def dead(self) -> bool:
        return not self.messages and not self.ids and not self.keys


class Files:
    """Appends to the newest segment and begins new ones; within the limit, and never behind a torn record."""

    def __init__(self, disk: Disk, folder: str, limit: int, full: int,
                 header: Callable[[int], list[Any]]) -> None:
        self.disk, self.folder, self.limit, self.full, self.header = disk, folder, limit, full, header
        self.all: dict[int, Segment] = {}
        self.used = 0  # bytes of all files, in whole blocks
        self.newest = 0
        self.file: File | None = None
        self.torn = False  # a part of a record stands at the end, and has to be cut off first
        self.writes = self.written = 0

    def path(self, number_: int) -> str:
        return f"{self.folder}/{name(number_)}"

    @property
    def active(self) -> Segment:
        return self.all[self.newest]

    def found(self, number_: int, size: int) -> Segment:
        """A segment that was there at the start; the newest one is gone on with."""
        segment = self.all[number_] = Segment(number_)
        segment.size = size
        self.used += blocks(size)
        self.newest = max(self.newest, number_)
        return segment

    def append(self, data: bytes, spare: int = 0) -> None:
        """Write behind what is there, leaving so many bytes of the limit; OSError, and nothing of it stands
        there, if that can't be."""
        if self.file is not None and self.active.size and self.active.size + len(data) > self.full:
            self._close()
        self.ready()
        segment = self.active
        if not segment.size:
            data = frame(self.header(segment.number)) + data
        more = blocks(segment.size + len(data)) - blocks(segment.size)
        if self.used + more > self.limit - spare:
            raise JournalFull("the disk limit is reached")
        self._cut()
        assert self.file is not None
        self.torn = True
        self.writes += 1
        if self.file.append(data) != len(data):
            self._cut()
            raise JournalFull("the disk is full")
        self.torn = False
        self.written += len(data)
        segment.size += len(data)
        self.used += more

    def fresh(self) -> None:
        """The next record begins a new segment."""
        if self.all and self.active.size:
            self.newest += 1
            self.all[self.newest] = Segment(self.newest)

    def ready(self) -> None:
        """Hold the descriptor of the segment to write to: later there may be none left. OSError if not."""
        if self.file is None:
            self._begin()

    def _begin(self) -> None:
        """Open the segment to write to."""
        if self.newest not in self.all or self.active.size >= self.full:
            self.newest += 1
            self.all[self.newest] = Segment(self.newest)
        self.file = self.disk.open(self.path(self.newest))
        self.torn = True  # whatever a failed attempt to write has left there

    def _cut(self) -> None:
        """Cut off a part of a record, which would hide all that comes after it. OSError if it can't be."""
        if self.torn and self.file is not None:
            self.file.truncate(self.active.size)
            self.torn = False

    def sync(self) -> None:
        """What was written outlasts the machine's loss of power; OSError if that can't be had."""
        if self.file is not None:
            self.file.sync()

    def _close(self) -> None:
        """The newest segment is full. One with a torn end is cut first, or it would look corrupt."""
        self._cut()
        assert self.file is not None
        self.file.close()
        self.file = None
        if self.active.size < self.full:  # a large record comes next: this one counts as full
            self.newest += 1
            self.all[self.newest] = Segment(self.newest)

    def drop(self, number_: int) -> None:
        """Remove a segment's file; OSError if that can't be, and it stays."""
        self.disk.unlink(self.path(number_))
        segment = self.all.pop(number_)
        self.used -= blocks(segment.size)

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None


def header(number_: int, last: int, base: float, boot: str) -> list[Any]:
    """The first record of a segment: from which state of the journal it starts."""
    return ["segment", FORMAT, number_, last, base, boot]
