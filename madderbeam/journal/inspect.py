"""Inspects a journal's folder: what it holds and whether it is intact. Only reads, also while a courier runs.

A running courier may remove a segment between two reads; the folder is then read again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

from madderbeam.journal.damage import Finding
from madderbeam.journal.journal import Journal
from madderbeam.journal.records import rounded_to_blocks
from madderbeam.journal.recovery import FolderContents, read_folder
from madderbeam.ports import Clock, Disk

READ_TRIES = 5  # of a folder that changes while it is read


class ReadOnlyDisk:
    """A disk whose writing methods raise PermissionError: a call of one is a fault of this module."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.read, self.names, self.is_folder = disk.read, disk.names, disk.is_folder
        self.stamp, self.read_part = disk.stamp, disk.read_part

    def _refuse(self, *args: Any, **more: Any) -> Any:
        raise PermissionError("the journal is opened read-only")

    open = rename = unlink = make_folder = lock = _refuse


class InspectedJournal(Journal):
    """A journal restored from folder contents, with nothing written."""

    def __init__(self, disk: Disk, clock: Clock, folder: str, contents: FolderContents) -> None:
        self.contents = contents
        super().__init__(ReadOnlyDisk(disk), clock, folder, 1 << 62)

    def _restore(self, contents: FolderContents) -> None:
        if self.contents.has_format_1 and not self.contents.segments:
            for record in self.contents.format_1_records:
                if record[0] != "clock":
                    self._apply(record, 0)
            return
        self.contents.has_format_1 = False
        super()._restore(self.contents)


def read_consistently(disk: Disk, folder: str) -> FolderContents:
    """The folder's contents, read again while files vanish; OSError if it can't be read."""
    for tries_left in reversed(range(READ_TRIES)):
        try:
            return read_folder(disk, folder)
        except FileNotFoundError:
            if not tries_left:
                raise
    raise AssertionError


@dataclass(frozen=True)
class SegmentSummary:
    """The counts and sizes of one segment."""

    name: str
    bytes: int
    records: int
    live: int
    messages: int
    torn: int


@dataclass(frozen=True)
class Summary:
    """The contents of a journal in numbers."""

    format: int
    open: int
    may_have_run: int
    owed: int
    ids: int
    keys: int
    bytes: int  # of all files, in whole blocks
    live: int
    damaged: int  # places
    segments: tuple[SegmentSummary, ...]
    messages: tuple[dict[str, Any], ...]  # open and ended, without their bodies

    def json(self) -> dict[str, Any]:
        """As `journal inspect --json` prints it."""
        return asdict(self)


def summary(disk: Disk, clock: Clock, folder: str) -> Summary:
    """The summary of a folder; OSError if it can't be read or has a newer format."""
    contents = read_consistently(disk, folder)
    journal = InspectedJournal(disk, clock, folder, contents)
    segments = tuple(
        SegmentSummary(
            part.name,
            part.size,
            len(part.records),
            segment.live_bytes,
            len(segment.messages),
            part.size - part.end,
        )
        for part in contents.segments
        if (segment := journal.files.segments.get(part.number)) is not None
    )
    messages = tuple(
        {
            "number": message.number,
            "id": message.id,
            "state": message.state,
            "class": message.class_index,
            "tenant": message.tenant,
            "dest": message.dest,
            "key": message.key,
            "tries": message.attempts,
            "until": message.deadline_s,
            "bytes": len(message.body),
            "status": message.status,
        }
        for message in journal.pending.values()
    )
    possibly_executed = sum(message.state == "trying" for message in journal.pending.values())
    size = sum(rounded_to_blocks(part.size) for part in contents.segments)
    return Summary(
        2 if contents.segments else 1,
        journal.open_count,
        possibly_executed,
        len(journal.pending) - journal.open_count,
        len(journal.completed_ids),
        len(journal.keys),
        size,
        sum(segment.live for segment in segments),
        len(contents.damage),
        segments,
        messages,
    )


def verify(disk: Disk, folder: str) -> list[Finding]:
    """All findings of a folder, harmless or not; OSError if it can't be read or has a newer format."""
    return read_consistently(disk, folder).findings


def dump(disk: Disk, folder: str) -> Iterator[dict[str, Any]]:
    """Each record with its segment and offset; a body is replaced by its size."""
    contents = read_consistently(disk, folder)
    for record in contents.format_1_records if not contents.segments else ():
        yield {"segment": 0, "offset": 0, "record": _printable(record)}
    for part in contents.segments:
        for offset, record in part.records:
            yield {"segment": part.number, "offset": offset, "record": _printable(record)}


def _printable(record: list[Any]) -> list[Any]:
    return [f"{len(value)} bytes" if isinstance(value, bytes) else value for value in record]
