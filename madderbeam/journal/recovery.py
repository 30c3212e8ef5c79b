"""Reads a journal's whole folder, before anything in it is changed. `damage` classifies what is wrong."""

from __future__ import annotations

import contextlib
import zlib
from dataclasses import dataclass, field
from typing import Any

from madderbeam.journal.damage import Finding, Kind, SegmentFile, examine, named_segments
from madderbeam.journal.newest_marker import marked_number
from madderbeam.journal.records import FORMAT, invalid_range, is_torn, rounded_to_blocks, scan
from madderbeam.journal.segments import PREFIX, segment_name, segment_number
from madderbeam.ports import Disk

FORMAT_1_FILE, OLD_TEMPORARY = "messages.journal", "messages.journal.new"  # of format 1
READ_TRIES = 3  # of a file with a read error: accepted messages depend on it
MIGRATED_SEGMENT = "first.new"  # the first segment, while a folder of format 1 is migrated


class NewerFormatError(OSError):
    """The folder was written by a newer version; it is left unchanged."""


@dataclass
class FolderContents:
    """The contents of a journal's folder."""

    segments: list[SegmentFile] = field(default_factory=list)  # the segments to restore from, in order
    findings: list[Finding] = field(default_factory=list)
    checksums: dict[int, int] = field(default_factory=dict)  # of damaged files, by the number in the name
    ignored_bytes: int = 0  # in whole blocks, of files with a segment's prefix that are not restored from
    highest_number: int = 0  # of any segment that exists or is known to be missing
    format_1_records: list[list[Any]] = field(default_factory=list)
    has_format_1: bool = False

    @property
    def damage(self) -> list[Finding]:
        """The findings that may hide records of accepted messages."""
        return [finding for finding in self.findings if finding.is_damage]


def read_folder(disk: Disk, folder: str) -> FolderContents:
    """Read the whole folder; nothing is changed.

    NewerFormatError if a newer version wrote it. OSError if the folder itself can't be read; a file that
    can't be read is a finding.
    """
    contents = FolderContents()
    marked = marked_number(disk.names(folder))
    names = disk.names(folder)  # listed after the marker: a running courier may be starting a segment
    files, foreign = [], []
    for file in sorted(file for file in names if file.startswith(PREFIX)):
        if segment_number(file) and file == segment_name(segment_number(file)):
            files.append(_read_segment(disk, folder, file))
        else:
            foreign.append(Finding(Kind.FOREIGN, file))
    for part in files:
        if part.header and part.header[1] > FORMAT:
            raise NewerFormatError(
                f"{folder}: was written in format {part.header[1]}; this version reads up to {FORMAT}"
            )
    contents.segments, contents.findings = examine(files, marked)
    contents.findings += foreign
    numbers = {part.file_number for part in files} | {part.number for part in files}
    # A new segment must not take the place of a missing one, which the next start would then not miss.
    numbers |= {marked} | named_segments(contents.segments, "end")
    contents.highest_number = max(numbers)
    used = {part.name for part in contents.segments}
    ignored = [part.name for part in files if part.name not in used] + [finding.file for finding in foreign]
    contents.ignored_bytes = sum(rounded_to_blocks(_file_size(disk, f"{folder}/{file}")) for file in ignored)
    damaged = {finding.file for finding in contents.damage}
    contents.checksums = {
        part.file_number: _file_checksum(disk, f"{folder}/{part.name}")
        for part in files
        if part.name in damaged
    }
    if FORMAT_1_FILE in names:
        contents.has_format_1 = True
        _read_format_1(disk, folder, contents)
    return contents


def _read_segment(disk: Disk, folder: str, file: str) -> SegmentFile:
    for tries_left in reversed(range(READ_TRIES)):
        try:
            data = disk.read(f"{folder}/{file}")
            break
        except FileNotFoundError:
            raise  # it was listed a moment ago: a running courier has removed it
        except OSError as error:
            if not tries_left:
                return SegmentFile(segment_number(file), file, 0, error=error.strerror or str(error))
    records, invalid, end = scan(data)
    return SegmentFile(
        segment_number(file), file, len(data), records, invalid, end, invalid_range(data, end, len(data))
    )


def _file_checksum(disk: Disk, path: str) -> int:
    """The checksum of a damaged file, -1 if it can't be read."""
    try:
        return zlib.crc32(disk.read(path))
    except OSError:
        return -1


def _file_size(disk: Disk, path: str) -> int:
    try:
        return disk.stamp(path)[1]
    except OSError:
        return 0


def _read_format_1(disk: Disk, folder: str, contents: FolderContents) -> None:
    """Read the single file of format 1, which has no header."""
    data = disk.read(f"{folder}/{FORMAT_1_FILE}")
    records, invalid, end = scan(data)
    contents.format_1_records = [record for _, record in records]
    if contents.segments:
        return  # it was migrated; only its removal is missing
    tail = invalid_range(data, end, len(data))
    if end < len(data) and not is_torn(tail):
        invalid.append(tail)
    elif end < len(data):
        contents.findings.append(Finding(Kind.TORN, FORMAT_1_FILE, end, len(data)))
    contents.findings += [Finding(Kind.NOT_A_RECORD, FORMAT_1_FILE, gap.offset, gap.end) for gap in invalid]


def remove_format_1(disk: Disk, folder: str) -> None:
    """Remove the files of format 1 after their content was migrated to segments; errors are ignored."""
    for file in (OLD_TEMPORARY, MIGRATED_SEGMENT, FORMAT_1_FILE):
        with contextlib.suppress(OSError):
            disk.unlink(f"{folder}/{file}")
