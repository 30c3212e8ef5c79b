"""Looks at a journal's folder: what it holds and whether it is whole. Only reads, also while a courier runs.

A courier that writes meanwhile may remove a segment between two reads; then the folder is read once more.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

from madderbeam.journal.damage import Finding
from madderbeam.journal.journal import Journal
from madderbeam.journal.records import blocks
from madderbeam.journal.recovery import FolderContents, read
from madderbeam.ports import Clock, Disk

AGAIN = 5  # times that a folder which changes is read


class ReadOnlyDisk:
    """A disk on which nothing can be changed: whatever tries to is a fault of this module."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.read, self.names, self.is_folder = disk.read, disk.names, disk.is_folder
        self.stamp = disk.stamp

    def _refuse(self, *args: Any, **more: Any) -> Any:
        raise PermissionError("the journal is only looked at")

    open = rename = unlink = make_folder = lock = _refuse


class InspectedJournal(Journal):
    """A journal restored from what was read, with nothing written."""

    def __init__(self, disk: Disk, clock: Clock, folder: str, found: FolderContents) -> None:
        self.found = found
        super().__init__(ReadOnlyDisk(disk), clock, folder, 1 << 62)

    def _restore(self, found: FolderContents) -> None:
        if self.found.has_old and not self.found.parts:
            for record in self.found.old:
                if record[0] != "clock":
                    self._effect(record, 0)
            return
        self.found.has_old = False
        super()._restore(self.found)


def look(disk: Disk, folder: str) -> FolderContents:
    """The folder as it is; OSError if it can't be read."""
    for left in reversed(range(AGAIN)):
        try:
            return read(disk, folder)
        except FileNotFoundError:
            if not left:
                raise
    raise AssertionError


@dataclass(frozen=True)
class SegmentSummary:
    """One segment's figures."""

    name: str
    bytes: int
    records: int
    live: int
    messages: int
    torn: int


@dataclass(frozen=True)
class Summary:
    """What a journal holds."""

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
    messages: tuple[dict[str, Any], ...]  # open and owed, without their bodies

    def json(self) -> dict[str, Any]:
        return asdict(self)


def summary(disk: Disk, clock: Clock, folder: str) -> Summary:
    """The figures of a folder; OSError if it can't be read or is of a newer format."""
    found = look(disk, folder)
    journal = InspectedJournal(disk, clock, folder, found)
    segments = tuple(
        SegmentSummary(p.name, p.size, len(p.records), s.live, len(s.messages), p.size - p.end)
        for p in found.parts
        if (s := journal.files.all.get(p.told)) is not None
    )
    messages = tuple(
        {
            "number": m.number,
            "id": m.id,
            "state": m.state,
            "class": m.cls,
            "tenant": m.tenant,
            "dest": m.dest,
            "key": m.key,
            "tries": m.tries,
            "until": m.until,
            "bytes": len(m.body),
            "status": m.status,
        }
        for m in journal.held.values()
    )
    ran = sum(m.state == "trying" for m in journal.held.values())
    size = sum(blocks(p.size) for p in found.parts)
    return Summary(
        2 if found.parts else 1,
        journal.open,
        ran,
        len(journal.held) - journal.open,
        len(journal.over),
        len(journal.keys),
        size,
        sum(s.live for s in segments),
        len(found.damage),
        segments,
        messages,
    )


def verify(disk: Disk, folder: str) -> list[Finding]:
    """All that was found in a folder, harmless or not; OSError if it can't be read or is too new."""
    return look(disk, folder).findings


def dump(disk: Disk, folder: str) -> Iterator[dict[str, Any]]:
    """Each record with its segment and offset; bodies are told by their size."""
    found = look(disk, folder)
    for record in found.old if not found.parts else ():
        yield {"segment": 0, "offset": 0, "record": _shown(record)}
    for part in found.parts:
        for at, record in part.records:
            yield {"segment": part.told, "offset": at, "record": _shown(record)}


def _shown(record: list[Any]) -> list[Any]:
    return [f"{len(x)} bytes" if isinstance(x, bytes) else x for x in record]
