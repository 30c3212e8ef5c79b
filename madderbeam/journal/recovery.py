"""What a folder holds: read whole before anything in it is changed."""

from __future__ import annotations

import contextlib
import logging
from dataclasses import dataclass, field
from typing import Any

from madderbeam.journal.records import FORMAT, Bad, parse, scan
from madderbeam.journal.segments import name, number
from madderbeam.ports import Disk

OLD, OLD_FRESH = "messages.journal", "messages.journal.new"  # of format 1
FIRST = "first.new"  # the first segment, while a folder of format 1 is taken over
log = logging.getLogger(__name__)


class NewerFormat(OSError):
    """The folder was written by a newer version; it is left as it is."""


@dataclass
class Part:
    """One segment as it was read."""

    number: int
    size: int
    records: list[tuple[int, list[Any]]]
    bad: list[Bad]
    end: int  # of its last record: what follows is torn

    @property
    def header(self) -> list[Any]:
        first = self.records[0][1] if self.records else []
        return first if first and first[0] == "segment" else []


@dataclass
class Folder:
    """A journal's folder as it was read."""

    parts: list[Part] = field(default_factory=list)
    old: list[list[Any]] = field(default_factory=list)  # the records of format 1
    has_old: bool = False

    @property
    def corrupt(self) -> list[tuple[int, Bad]]:
        """Bad parts, by segment: any but a torn end of the newest one."""
        found = [(p.number, b) for p in self.parts for b in p.bad]
        return found + [(p.number, Bad(p.end, p.size)) for p in self.parts[:-1] if p.end < p.size]


def read(disk: Disk, folder: str) -> Folder:
    """All that is there. NewerFormat, with one line, if a newer version wrote it; nothing is changed."""
    found = Folder()
    names = disk.names(folder)
    for part in sorted(n for n in map(number, names) if n):
        data = disk.read(f"{folder}/{name(part)}")
        records, bad, end = scan(data)
        made = Part(part, len(data), records, bad, end)
        if made.header and made.header[1] > FORMAT:
            raise NewerFormat(f"{folder}: was written in format {made.header[1]}; "
                              f"this version reads up to {FORMAT}")
        found.parts.append(made)
    if OLD in names:
        found.has_old = True
        found.old = parse(disk.read(f"{folder}/{OLD}"))[0]
    return found


def forget_old(disk: Disk, folder: str) -> None:
    """Its content stands in segments now."""
    for old in (OLD_FRESH, FIRST, OLD):
        with contextlib.suppress(OSError):
            disk.unlink(f"{folder}/{old}")
