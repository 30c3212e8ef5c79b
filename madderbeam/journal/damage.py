"""What a reader may find in a journal's folder, and what each finding means. Pure: no file is accessed here.

The start of a courier, `journal verify` and `inspect`, and the simulation share this table of findings.
docs/design/journal.md lists it; the operators' page says how to react.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from madderbeam.journal.records import RECORD_HEADER, InvalidRange, is_torn


class Meaning(Enum):
    """What a finding means for the accepted messages."""

    HARMLESS = "harmless"  # left by a kill; no complete record is lost
    DAMAGE = "damage"  # a record may be lost: messages that may have been executed are treated as executed
    FOREIGN = "not ours"  # ignored


class Kind(Enum):
    """The kinds of findings, each with its text and meaning."""

    TORN = "ends in a part of a record", Meaning.HARMLESS
    EMPTY_NEWEST = "is empty, and the newest", Meaning.HARMLESS
    REMOVAL_PENDING = "was about to be removed", Meaning.HARMLESS
    NO_HEADER = "has no header", Meaning.DAMAGE
    WRONG_CHECKSUM = "holds a record whose checksum is wrong", Meaning.DAMAGE
    WRONG_LENGTH = "holds a record whose length is wrong", Meaning.DAMAGE
    NOT_A_RECORD = "holds what is no record", Meaning.DAMAGE
    TRUNCATED = "is shorter than it was when it was closed", Meaning.DAMAGE
    EXTENDED = "is longer than it was when it was closed", Meaning.DAMAGE
    EMPTY = "is empty, and not the newest", Meaning.DAMAGE
    OUT_OF_ORDER = "tells of an earlier time than the one before", Meaning.DAMAGE
    RENAMED = "is another segment, by its header", Meaning.DAMAGE
    DUPLICATE = "is a segment that is there already", Meaning.DAMAGE
    MISSING = "is missing", Meaning.DAMAGE
    UNREADABLE = "can't be read", Meaning.DAMAGE
    FOREIGN = "is named like a segment and is none", Meaning.FOREIGN

    @property
    def text(self) -> str:
        """What is said of the file in logs and by `journal verify`."""
        return self.value[0]

    @property
    def meaning(self) -> Meaning:
        """Whether it is harmless, damage, or not the courier's file."""
        return self.value[1]


@dataclass(frozen=True)
class Finding:
    """One finding: a file of the folder, and its bytes from `offset` up to `end`, or -1 if no range
    applies."""

    kind: Kind
    file: str
    offset: int = -1
    end: int = -1
    detail: str = ""

    @property
    def is_damage(self) -> bool:
        """Whether a record may be lost."""
        return self.kind.meaning is Meaning.DAMAGE

    def __str__(self) -> str:
        where = f" from byte {self.offset} to {self.end}" if self.offset >= 0 else ""
        return f"{self.file}: {self.kind.text}{where}{self.detail and f' ({self.detail})'}"


@dataclass(frozen=True)
class SuspectMessages:
    """After damage: each message numbered up to `last_number` is possibly executed, since then (wall
    seconds).

    `checksums`: of the damaged files, by the numbers in their names. If a later start finds such a file
    unchanged, that is no new reason to suspect the messages accepted since.
    """

    last_number: int
    since: float
    checksums: dict[int, int]

    def row(self) -> list[Any]:
        """As a header stores it."""
        return [self.last_number, self.since, self.checksums]


@dataclass
class SegmentFile:
    """The content of one segment's file; `file_number` is the number in its name."""

    file_number: int
    name: str
    size: int
    records: list[tuple[int, list[Any]]] = field(default_factory=list)
    invalid: list[InvalidRange] = field(default_factory=list)
    end: int = 0  # of its last record
    tail: InvalidRange = field(default=InvalidRange(0, 0))  # the bytes after that
    error: str = ""  # why it can't be read

    @property
    def header(self) -> list[Any]:
        """Its header record, [] if it has no valid one."""
        first_record = self.records[0] if self.records else (1, [])
        header = first_record[1]
        is_header = (
            first_record[0] == 0
            and len(header) >= 7
            and header[0] == "segment"
            and isinstance(header[6], (int, float))
        )
        return header if is_header and all(isinstance(value, int) for value in header[1:4]) else []

    @property
    def number(self) -> int:
        """The segment's number: from its header if it has one, else from its name."""
        return self.header[2] if self.header else self.file_number

    @property
    def overhead_bytes(self) -> int:
        """Bytes of its header and its "end" record, which a rewritten segment has as well."""
        offsets = [offset for offset, _ in self.records] + [self.end]
        return sum(
            offsets[i + 1] - offset
            for i, (offset, record) in enumerate(self.records)
            if record[0] in ("segment", "end")
        )

    @property
    def suspects(self) -> SuspectMessages | None:
        """The messages that an earlier start has marked as suspect because of damage."""
        match self.header[8:9]:
            case [[int(last_number), float(since), dict(checksums)]]:
                return SuspectMessages(last_number, since, checksums)
        return None

    def sizes_before(self) -> dict[int, int] | None:
        """The segments that existed when this one was started, with their sizes; None if not recorded."""
        try:
            return {self.number - distance: int(size) for distance, size in self.header[7]}
        except (IndexError, TypeError, ValueError):
            return None


def examine(files: Sequence[SegmentFile], marked_number: int = 0) -> tuple[list[SegmentFile], list[Finding]]:
    """The segments to restore from, in order, and all findings; those about single files come first.

    Of two files with one number the one whose name agrees is used, else the first; the other is ignored.
    `marked_number`: the segment that the folder's marker names, whose header was therefore written in full.
    """
    findings: list[Finding] = []
    used: dict[int, SegmentFile] = {}
    for file in sorted(
        files, key=lambda file: (file.number != file.file_number, file.file_number, file.name)
    ):
        if file.error:
            findings.append(Finding(Kind.UNREADABLE, file.name, detail=file.error))
        elif file.number in used:
            findings.append(Finding(Kind.DUPLICATE, file.name, detail=f"segment {file.number}"))
        else:
            used[file.number] = file
            if file.number != file.file_number:
                findings.append(Finding(Kind.RENAMED, file.name, detail=f"segment {file.number}"))
    segments = [used[number] for number in sorted(used)]
    newest_unreadable = max((file.file_number for file in files if file.error), default=0)
    closed_sizes = _closed_sizes(segments)
    for index, file in enumerate(segments):
        is_newest = index == len(segments) - 1 and file.number > newest_unreadable
        may_lack_header = is_newest and file.number > marked_number
        closed_size = closed_sizes.get(file.number, -1)
        findings += _file_findings(file, may_lack_header, closed_size)
        if 0 <= closed_size < file.size:  # this courier did not write what follows the recorded end
            file.records = [record for record in file.records if record[0] < closed_size]
    findings += _order_findings(segments)
    unreadable = {file.file_number for file in files if file.error}
    missing = _missing_marked_segment(segments, unreadable, marked_number)
    # What a kill leaves hides nothing: a segment is removed only once the record of that is complete.
    if not any(finding.is_damage for finding in findings):
        missing |= _missing_segments(segments, unreadable)
    findings += [Finding(Kind.MISSING, f"segment {number}") for number in sorted(missing)]
    findings += _pending_removals(segments)
    return segments, findings


def _closed_sizes(segments: Sequence[SegmentFile]) -> dict[int, int]:
    """The size of each closed segment, from the newest header that lists it."""
    sizes: dict[int, int] = {}
    for segment in segments:
        sizes |= segment.sizes_before() or {}
    return sizes


def _file_findings(file: SegmentFile, may_lack_header: bool, closed_size: int) -> Iterable[Finding]:
    """What is wrong with one file.

    `may_lack_header`: the process that created it may have died before its header was written in full.
    `closed_size`: its size when it was closed, -1 if not recorded.
    """
    if not file.size:
        if may_lack_header:
            yield Finding(Kind.EMPTY_NEWEST, file.name)
        elif closed_size > 0:
            yield Finding(Kind.TRUNCATED, file.name, 0, closed_size)
        else:
            yield Finding(Kind.EMPTY, file.name)
        return
    if not file.header:
        first_record_offset = (
            file.invalid[0].end if file.invalid and not file.invalid[0].offset else file.size
        )
        if may_lack_header and not file.records and is_torn(file.tail, is_header=True):
            yield Finding(Kind.TORN, file.name, 0, file.size)
        else:
            yield Finding(Kind.NO_HEADER, file.name, 0, first_record_offset if file.records else file.size)
        return
    for invalid in file.invalid:
        yield _invalid_finding(file, invalid)
    if second := next((offset for offset, record in file.records if offset and record[0] == "segment"), 0):
        yield Finding(Kind.DUPLICATE, file.name, second, file.size, "another begins in it")
        file.records = [record for record in file.records if record[0] < second]
        return
    if file.size < closed_size:
        yield Finding(Kind.TRUNCATED, file.name, file.end, closed_size)
    elif 0 <= closed_size < file.size:
        yield Finding(Kind.EXTENDED, file.name, closed_size, file.size)
    elif file.end < file.size and is_torn(file.tail):  # also if it was torn when the next was started
        yield Finding(Kind.TORN, file.name, file.end, file.size)
    elif file.end < file.size:
        yield _invalid_finding(file, file.tail)


def _invalid_finding(file: SegmentFile, invalid: InvalidRange) -> Finding:
    """The finding for bytes where a record should be."""
    header = invalid.prefix[: RECORD_HEADER.size]
    size = RECORD_HEADER.unpack(header)[0] if len(header) == RECORD_HEADER.size else -1
    if invalid.checksum_matches:
        return Finding(Kind.WRONG_LENGTH, file.name, invalid.offset, invalid.end)
    if size == invalid.end - invalid.offset - RECORD_HEADER.size:
        return Finding(Kind.WRONG_CHECKSUM, file.name, invalid.offset, invalid.end)
    return Finding(Kind.NOT_A_RECORD, file.name, invalid.offset, invalid.end)


def _order_findings(segments: Sequence[SegmentFile]) -> Iterable[Finding]:
    """Segments in which message numbers or time go back from the one before."""
    last_number, last_time = -1, 0.0
    for segment in segments:
        if header := segment.header:
            if header[3] < last_number or header[6] < last_time:
                yield Finding(Kind.OUT_OF_ORDER, segment.name)
            last_number, last_time = max(last_number, header[3]), max(last_time, header[6])


def _missing_marked_segment(
    segments: Sequence[SegmentFile], unreadable: set[int], marked_number: int
) -> set[int]:
    """The segment that the marker names, if it should exist and doesn't; else empty.

    A segment is removed only after a newer one has a header.
    """
    newest_header = max((segment.number for segment in segments if segment.header), default=0)
    present = {segment.number for segment in segments} | unreadable
    return {marked_number} - present if marked_number > newest_header else set()


def _missing_segments(segments: Sequence[SegmentFile], unreadable: set[int]) -> set[int]:
    """The segments that should exist, by the records of the others, and don't.

    Only for a folder that has no other damage: a damaged segment may have held the record of a removal.
    """
    listing = next((segment for segment in reversed(segments) if segment.sizes_before() is not None), None)
    expected = set(listing.sizes_before() or ()) if listing else set()
    # An older "end" record does not count: the segment that it names may have been removed since, and the
    # record of that as well.
    expected |= {
        number for number in named_segments(segments, "end") if listing is None or number > listing.number
    }
    present = {segment.number for segment in segments} | unreadable
    return expected - named_segments(segments, "gone") - present


def _pending_removals(segments: Sequence[SegmentFile]) -> Iterable[Finding]:
    """The segments whose removal was recorded and not done."""
    removed = named_segments(segments, "gone")
    for segment in segments[:-1]:
        if segment.number in removed:
            yield Finding(Kind.REMOVAL_PENDING, segment.name)


def named_segments(segments: Sequence[SegmentFile], kind: str) -> set[int]:
    """The segments that records of this kind name."""
    found = (record for s in segments for _, record in s.records if record[0] == kind and len(record) > 1)
    return {record[1] for record in found if isinstance(record[1], int)}
