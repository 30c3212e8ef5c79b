"""The files of a journal: segments that only grow, in the order of their numbers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from madderbeam.journal import space_budget
from madderbeam.journal.records import FORMAT, blocks, frame
from madderbeam.ports import Disk, File

PREFIX, SUFFIX, FRESH = "segment-", ".journal", ".new"
log = logging.getLogger(__name__)


class JournalFullError(OSError):
    """The record would take more than the disk limit allows."""


class UnconfirmedError(OSError):
    """The record stands here; whether it does where it has to stand as well is not known."""


def name(number: int) -> str:
    return f"{PREFIX}{number:08d}{SUFFIX}"


def number(text: str) -> int:
    """The number of a segment's file, 0 if it is none."""
    middle = text.removeprefix(PREFIX).removesuffix(SUFFIX)
    return int(middle) if text == f"{PREFIX}{middle}{SUFFIX}" and middle.isdigit() else 0


class Segment:
    """One file and what of it lives."""

    def __init__(self, number_: int, file: str = "") -> None:
        self.number, self.file = number_, file or name(number_)
        self.size = 0
        self.fixed = 0  # bytes of them that any segment has: its header, and the word on the next one
        self.live = 0  # bytes
        self.messages: set[int] = set()  # whose newest whole record is here
        self.ids: set[str] = set()  # remembered, and told here
        self.keys: set[str] = set()
        self.voids: set[int] = set()  # older segments with records that ones here make void
        self.gone = False  # a record says that it is to be removed
        self.damaged = False  # kept to be looked at while there is room

    @property
    def dead(self) -> bool:
        return not self.messages and not self.ids and not self.keys


class SegmentFiles:
    """Appends to the newest segment and begins new ones; within the limit, and never behind a torn record."""

    def __init__(
        self, disk: Disk, folder: str, limit: int, full: int, header: Callable[[int], list[Any]]
    ) -> None:
        self.disk, self.folder, self.limit, self.full, self.header = disk, folder, limit, full, header
        self.all: dict[int, Segment] = {}
        self.used = 0  # bytes of all files, in whole blocks
        self.newest = 0
        self.file: File | None = None
        self.torn = False  # a part of a record stands at the end, and has to be cut off first
        self.stale = False  # the next record begins a new segment
        self.writes = self.written = 0

    def path(self, number_: int) -> str:
        return f"{self.folder}/{self.all[number_].file if number_ in self.all else name(number_)}"

    def listed(self, below: int) -> list[list[int]]:
        """What a header tells of the segments before it: how far back each is, and its size."""
        return [[below - s.number, s.size] for s in self.all.values() if s.number < below and not s.gone]

    @property
    def active(self) -> Segment:
        return self.all[self.newest]

    @property
    def head(self) -> int:
        """Bytes of the next segment's header."""
        return len(frame(self.header(self.newest + 1)))

    def found(self, number_: int, size: int, file: str = "", fixed: int = 0) -> Segment:
        """A segment that was there at the start; the newest one is gone on with."""
        segment = self.all[number_] = Segment(number_, file)
        segment.size, segment.fixed = size, fixed
        self.used += blocks(size)
        self.newest = max(self.newest, number_)
        return segment

    def append(self, data: bytes, spare: int = 0) -> None:
        """Write behind what is there, leaving so many bytes of the limit; OSError, and nothing of it stands
        there, if that can't be."""
        self.ready()
        if self.active.size and (self.stale or self.active.size + len(data) > self.full):
            if self.used + space_budget.begun(self.head, len(data)) > self.limit - spare:
                raise JournalFullError("the disk limit is reached")
            self._roll()
        segment = self.active
        head = b"" if segment.size else frame(self.header(segment.number))
        data = head + data
        more = blocks(segment.size + len(data)) - blocks(segment.size)
        if self.used + more > self.limit - spare:
            raise JournalFullError("the disk limit is reached")
        self._cut()
        assert self.file is not None
        self.torn = True
        self.writes += 1
        if self.file.append(data) != len(data):
            self._cut()
            raise JournalFullError("the disk is full")
        self.torn = False
        self.written += len(data)
        segment.size += len(data)
        segment.fixed += len(head)
        self.used += more

    def fresh(self, above: int = 0) -> None:
        """The next record begins a new segment. `above`: with a number above this at once, and the one before
        is not written to, since it is damaged."""
        if above:
            self.newest = above + 1
            self.all[self.newest] = Segment(self.newest)
        self.stale = not above and bool(self.all)

    def ready(self) -> None:
        """Hold the descriptor of the segment to write to: later there may be none left. OSError if not."""
        if self.file is None:
            self._begin()

    def _begin(self) -> None:
        """Open the segment to write to."""
        if self.newest not in self.all:
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

    def _roll(self) -> None:
        """Begin the next segment. One with a torn end is cut first, or it would look damaged; the last record
        of one says that there is a next: its loss is seen then."""
        self._cut()
        assert self.file is not None
        following = Segment(self.newest + 1)
        try:
            fresh: File | None = self.disk.open(f"{self.folder}/{following.file}")
        except OSError:  # perhaps there is no descriptor for it beside this one
            fresh = None
        if fresh is not None:
            self._mark(following.number)
        self.file.close()
        self.file, self.torn, self.stale = fresh, True, False
        self.newest = following.number
        self.all[self.newest] = following
        self.ready()

    def _mark(self, following: int) -> None:
        """Say at a segment's end which is the next one. It may lack: then a loss of the next is not seen."""
        data, segment = frame(["end", following]), self.active
        more = blocks(segment.size + len(data)) - blocks(segment.size)
        if self.used + more > self.limit:
            return
        assert self.file is not None
        self.torn, written = True, 0
        try:
            written = self.file.append(data)
            if written == len(data):
                segment.size += len(data)
                segment.fixed += len(data)
                self.used += more
                self.torn = False
            self._cut()
        except OSError as error:
            log.warning("journal: %s does not tell of the next one: %s", segment.file, error)
            # A part of it may stand there for good. Later headers must tell the size that the file has: what
            # stands behind it would be taken for another's, and all that is held for what may have run.
            before = blocks(segment.size)
            segment.size += written
            segment.fixed += written
            self.used += blocks(segment.size) - before

    def drop(self, number_: int) -> None:
        """Remove a segment's file; OSError if that can't be, and it stays. A record says so first: a file
        that is missing without one has been lost."""
        if not self.all[number_].gone:
            self.append(frame(["gone", number_]))
            self.all[number_].gone = True
        self.disk.unlink(self.path(number_))
        segment = self.all.pop(number_)
        self.used -= blocks(segment.size)

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None


def header(
    number_: int,
    last: int,
    base: float,
    boot: str,
    now: float,
    listed: list[list[int]],
    doubt: list[Any] | None,
) -> list[Any]:
    """The first record of a segment: from which state of the journal it starts, which others are there, and
    what was made of damage."""
    return ["segment", FORMAT, number_, last, base, boot, now, listed, doubt]
