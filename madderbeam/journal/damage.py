"""What a reader may meet in a journal's folder, and what each thing means. Pure: no file is touched here.

One table for the start of a courier, `journal verify` and `inspect`, and the simulation:
docs/design/journal.md shows it, the operators' page says what to do.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from madderbeam.journal.records import FRAME, InvalidRange, torn


class Meaning(Enum):
    """What a finding says of the messages that the courier has taken on."""

    HARMLESS = "harmless"  # what a kill leaves; nothing that was whole is lost
    HIDES = "damage"  # a record may be lost: what may have run counts as having run
    FOREIGN = "not ours"  # left alone


class Kind(Enum):
    """The rows of the table: what was found and its meaning."""

    TORN = "ends in a part of a record", Meaning.HARMLESS
    BEGUN = "is empty, and the newest", Meaning.HARMLESS
    LEFT = "was about to be removed", Meaning.HARMLESS
    HEAD = "has no header", Meaning.HIDES
    CHECKSUM = "holds a record whose checksum is wrong", Meaning.HIDES
    LENGTH = "holds a record whose length is wrong", Meaning.HIDES
    NOISE = "holds what is no record", Meaning.HIDES
    CUT = "is shorter than it was when it was closed", Meaning.HIDES
    LONGER = "is longer than it was when it was closed", Meaning.HIDES
    EMPTY = "is empty, and not the newest", Meaning.HIDES
    ORDER = "tells of an earlier time than the one before", Meaning.HIDES
    RENAMED = "is another segment, by its header", Meaning.HIDES
    DOUBLE = "is a segment that is there already", Meaning.HIDES
    LACKS = "is missing", Meaning.HIDES
    UNREADABLE = "can't be read", Meaning.HIDES
    FOREIGN = "is named like a segment and is none", Meaning.FOREIGN

    @property
    def text(self) -> str:
        return self.value[0]

    @property
    def meaning(self) -> Meaning:
        return self.value[1]


@dataclass(frozen=True)
class Finding:
    """One place: a file of the folder, bytes from `at` up to `end` where that says anything (else -1)."""

    kind: Kind
    file: str
    at: int = -1
    end: int = -1
    detail: str = ""

    @property
    def damage(self) -> bool:
        return self.kind.meaning is Meaning.HIDES

    def __str__(self) -> str:
        where = f" from byte {self.at} to {self.end}" if self.at >= 0 else ""
        return f"{self.file}: {self.kind.text}{where}{self.detail and f' ({self.detail})'}"


@dataclass(frozen=True)
class SuspectMessages:
    """Damage was found: each message numbered up to `last` may have run, since then (wall seconds).

    `known`: of the damaged files, by the numbers in their names, the checksum of what was read. What a later
    start finds in a file that has not changed since is not a new reason to doubt the messages of that time.
    """

    last: int
    since: float
    known: dict[int, int]

    def row(self) -> list[Any]:
        """As a header tells it."""
        return [self.last, self.since, self.known]


@dataclass
class SegmentFile:
    """One segment's file as it was read; `number` is that of its name, `data` None if it can't be read."""

    number: int
    name: str
    size: int
    records: list[tuple[int, list[Any]]] = field(default_factory=list)
    bad: list[InvalidRange] = field(default_factory=list)
    end: int = 0  # of its last record
    rest: InvalidRange = field(default=InvalidRange(0, 0))  # what follows that
    error: str = ""  # why it can't be read

    @property
    def header(self) -> list[Any]:
        first = self.records[0] if self.records else (1, [])
        head = first[1]
        form = first[0] == 0 and len(head) >= 7 and head[0] == "segment" and isinstance(head[6], (int, float))
        return head if form and all(isinstance(x, int) for x in head[1:4]) else []

    @property
    def told(self) -> int:
        """The segment's number: by its header if it has one."""
        return self.header[2] if self.header else self.number

    @property
    def fixed(self) -> int:
        """Bytes of its header and of the word on the next segment: a rewritten one has them as well."""
        starts = [at for at, _ in self.records] + [self.end]
        return sum(
            starts[i + 1] - at
            for i, (at, record) in enumerate(self.records)
            if record[0] in ("segment", "end")
        )

    @property
    def doubt(self) -> SuspectMessages | None:
        """What an earlier start has made of damage that it found."""
        match self.header[8:9]:
            case [[int(last), float(since), dict(known)]]:
                return SuspectMessages(last, since, known)
        return None

    def listed(self) -> dict[int, int] | None:
        """The segments that were there as this one was begun, with their sizes; None if it does not tell."""
        try:
            return {self.told - back: int(size) for back, size in self.header[7]}
        except (IndexError, TypeError, ValueError):
            return None


def judge(parts: Sequence[SegmentFile]) -> tuple[list[SegmentFile], list[Finding]]:
    """The segments to go by, in their order, and all that was found; each file's own matter first.

    Of two files of one number the one whose name says so counts, else the first; the other is left alone.
    """
    findings: list[Finding] = []
    used: dict[int, SegmentFile] = {}
    for part in sorted(parts, key=lambda p: (p.told != p.number, p.number, p.name)):
        if part.error:
            findings.append(Finding(Kind.UNREADABLE, part.name, detail=part.error))
        elif part.told in used:
            findings.append(Finding(Kind.DOUBLE, part.name, detail=f"segment {part.told}"))
        else:
            used[part.told] = part
            if part.told != part.number:
                findings.append(Finding(Kind.RENAMED, part.name, detail=f"segment {part.told}"))
    row = [used[n] for n in sorted(used)]
    newest = max((p.number for p in parts if p.error), default=0)
    sizes = _sizes(row)
    for n, part in enumerate(row):
        last, closed = n == len(row) - 1 and part.told > newest, sizes.get(part.told, -1)
        findings += _own(part, last, closed)
        if 0 <= closed < part.size:  # what came behind its end is not of this courier
            part.records = [found for found in part.records if found[0] < closed]
    findings += _order(row)
    findings += _missing(row, {p.number for p in parts if p.error}, bool(findings))
    return row, findings


def _sizes(row: Sequence[SegmentFile]) -> dict[int, int]:
    """What the newest word on each closed segment's size is."""
    found: dict[int, int] = {}
    for part in row:
        found |= part.listed() or {}
    return found


def _own(part: SegmentFile, newest: bool, closed: int) -> Iterable[Finding]:
    """What is the matter with one file; `closed`: its size as it was closed, -1 if nothing tells."""
    if not part.size:
        if newest:
            yield Finding(Kind.BEGUN, part.name)
        elif closed > 0:
            yield Finding(Kind.CUT, part.name, 0, closed)
        else:
            yield Finding(Kind.EMPTY, part.name)
        return
    if not part.header:
        first = part.bad[0].end if part.bad and not part.bad[0].at else part.size
        if newest and not part.records and torn(part.rest, head=True):
            yield Finding(Kind.TORN, part.name, 0, part.size)
        else:
            yield Finding(Kind.HEAD, part.name, 0, first if part.records else part.size)
        return
    for bad in part.bad:
        yield _bad(part, bad)
    if second := next((at for at, record in part.records if at and record[0] == "segment"), 0):
        yield Finding(Kind.DOUBLE, part.name, second, part.size, "another begins in it")
        part.records = [found for found in part.records if found[0] < second]
        return
    if part.size < closed:
        yield Finding(Kind.CUT, part.name, part.end, closed)
    elif 0 <= closed < part.size:
        yield Finding(Kind.LONGER, part.name, closed, part.size)
    elif part.end < part.size and torn(part.rest):  # also one that stood so as the next was begun
        yield Finding(Kind.TORN, part.name, part.end, part.size)
    elif part.end < part.size:
        yield _bad(part, part.rest)


def _bad(part: SegmentFile, bad: InvalidRange) -> Finding:
    """What stands where a record should."""
    head = bad.start[: FRAME.size]
    size = FRAME.unpack(head)[0] if len(head) == FRAME.size else -1
    if bad.whole:
        return Finding(Kind.LENGTH, part.name, bad.at, bad.end)
    if size == bad.end - bad.at - FRAME.size:
        return Finding(Kind.CHECKSUM, part.name, bad.at, bad.end)
    return Finding(Kind.NOISE, part.name, bad.at, bad.end)


def _order(row: Sequence[SegmentFile]) -> Iterable[Finding]:
    """Neither messages' numbers nor time go back from one segment to the next."""
    last, time = -1, 0.0
    for part in row:
        if head := part.header:
            if head[3] < last or head[6] < time:
                yield Finding(Kind.ORDER, part.name)
            last, time = max(last, head[3]), max(time, head[6])


def _missing(row: Sequence[SegmentFile], unreadable: set[int], damaged: bool) -> Iterable[Finding]:
    """The segments that should be there. Where anything else is damaged, the record that one was removed may
    be what is lost: nothing is called missing then."""
    there = {part.told for part in row} | unreadable
    gone = _named(row, "gone")
    if not damaged:
        tells = next((part for part in reversed(row) if part.listed() is not None), None)
        wanted = set(tells.listed() or ()) if tells else set()
        # An older word on a next segment does not count: that one may be gone, and the record of it too.
        wanted |= {number for number in _named(row, "end") if tells is None or number > tells.told}
        for number in sorted(wanted - gone - there):
            yield Finding(Kind.LACKS, f"segment {number}")
    for part in row[:-1]:
        if part.told in gone:
            yield Finding(Kind.LEFT, part.name)


def _named(row: Sequence[SegmentFile], kind: str) -> set[int]:
    """The segments that records of this kind name."""
    found = (record for part in row for _, record in part.records if record[0] == kind and len(record) > 1)
    return {record[1] for record in found if isinstance(record[1], int)}
