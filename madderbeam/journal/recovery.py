"""What a folder holds: read whole before anything in it is changed. What is found amiss is for `damage`."""

from __future__ import annotations

import contextlib
import zlib
from dataclasses import dataclass, field
from typing import Any

from madderbeam.journal.damage import Finding, Kind, SegmentFile, judge
from madderbeam.journal.records import FORMAT, blocks, made_bad, scan, torn
from madderbeam.journal.segments import PREFIX, name, number
from madderbeam.ports import Disk

OLD, OLD_FRESH = "messages.journal", "messages.journal.new"  # of format 1
AGAIN = 3  # times that a file which can't be read is tried: what was taken on hangs on it
FIRST = "first.new"  # the first segment, while a folder of format 1 is taken over


class NewerFormatError(OSError):
    """The folder was written by a newer version; it is left as it is."""


@dataclass
class FolderContents:
    """A journal's folder as it was read."""

    parts: list[SegmentFile] = field(default_factory=list)  # to go by, in their order
    findings: list[Finding] = field(default_factory=list)
    digests: dict[int, int] = field(default_factory=dict)  # of damaged files: name's number, checksum of all
    others: int = 0  # bytes, in whole blocks, of files that are named like segments and are not gone by
    highest: int = 0  # number that any file has, by its name or its header
    old: list[list[Any]] = field(default_factory=list)  # the records of format 1
    has_old: bool = False

    @property
    def damage(self) -> list[Finding]:
        """What may hide messages that were taken on."""
        return [f for f in self.findings if f.damage]


def read(disk: Disk, folder: str) -> FolderContents:
    """All that is there. NewerFormat, with one line, if a newer version wrote it; nothing is changed. OSError
    if the folder itself can't be read; a file that can't be is a finding."""
    found = FolderContents()
    names = disk.names(folder)
    read_, foreign = [], []
    for each in sorted(n for n in names if n.startswith(PREFIX)):
        if number(each) and each == name(number(each)):
            read_.append(_part(disk, folder, each))
        else:
            foreign.append(Finding(Kind.FOREIGN, each))
    for part in read_:
        if part.header and part.header[1] > FORMAT:
            raise NewerFormatError(
                f"{folder}: was written in format {part.header[1]}; this version reads up to {FORMAT}"
            )
    found.parts, found.findings = judge(read_)
    found.findings += foreign
    found.highest = max((max(p.number, p.told) for p in read_), default=0)
    used = {part.name for part in found.parts}
    left = [part.name for part in read_ if part.name not in used] + [f.file for f in foreign]
    found.others = sum(blocks(_size(disk, f"{folder}/{file}")) for file in left)
    damaged = {finding.file for finding in found.damage}
    found.digests = {p.number: _digest(disk, f"{folder}/{p.name}") for p in read_ if p.name in damaged}
    if OLD in names:
        found.has_old = True
        _old(disk, folder, found)
    return found


def _part(disk: Disk, folder: str, file: str) -> SegmentFile:
    for left in reversed(range(AGAIN)):
        try:
            data = disk.read(f"{folder}/{file}")
            break
        except FileNotFoundError:
            raise  # it was there a moment ago: a courier that works has removed it
        except OSError as error:
            if not left:
                return SegmentFile(number(file), file, 0, error=error.strerror or str(error))
    records, bad, end = scan(data)
    return SegmentFile(number(file), file, len(data), records, bad, end, made_bad(data, end, len(data)))


def _digest(disk: Disk, path: str) -> int:
    """The checksum of all that a damaged file holds, -1 if it can't be read."""
    try:
        return zlib.crc32(disk.read(path))
    except OSError:
        return -1


def _size(disk: Disk, path: str) -> int:
    try:
        return disk.stamp(path)[1]
    except OSError:
        return 0


def _old(disk: Disk, folder: str, found: FolderContents) -> None:
    """Format 1: one file, with no header."""
    data = disk.read(f"{folder}/{OLD}")
    records, bad, end = scan(data)
    found.old = [record for _, record in records]
    if found.parts:
        return  # it was taken over; only its removal is left
    rest = made_bad(data, end, len(data))
    if end < len(data) and not torn(rest):
        bad.append(rest)
    elif end < len(data):
        found.findings.append(Finding(Kind.TORN, OLD, end, len(data)))
    found.findings += [Finding(Kind.NOISE, OLD, b.at, b.end) for b in bad]


def forget_old(disk: Disk, folder: str) -> None:
    """Its content stands in segments now."""
    for old in (OLD_FRESH, FIRST, OLD):
        with contextlib.suppress(OSError):
            disk.unlink(f"{folder}/{old}")
