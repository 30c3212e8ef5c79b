"""Records on disk: frames with length and checksum, and what is made of bytes that are none.

A segment is a row of frames. The first one is its header: ["segment", FORMAT, number, last, base, boot]. The
kinds of record and what each makes true stand in `message.py`.
"""

from __future__ import annotations

import re
import struct
import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

FRAME = struct.Struct(">II")  # length, checksum
FORMAT = 2  # of segments; 1 was one file with no header
MOST = 1 << 24  # bytes of one record: a length over this is none
PACK = msgpack.Packer().pack  # one for all: a new one for each record costs as much again
BLOCK = 512  # files count in whole blocks


def frame(record: list[Any]) -> bytes:
    payload = PACK(record)
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def blocks(size: int) -> int:
    """What a file of this size takes of the limit."""
    return -(-size // BLOCK) * BLOCK


def _at(data: bytes, at: int) -> tuple[list[Any], int] | None:
    """The record that begins there and where it ends; None if none does."""
    if at + FRAME.size > len(data):
        return None
    size, checksum = FRAME.unpack_from(data, at)
    end = at + FRAME.size + size
    if not 0 < size <= MOST or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    if zlib.crc32(payload) != checksum:
        return None
    try:
        record = msgpack.unpackb(payload, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        return None
    return (record, end) if isinstance(record, list) and record and isinstance(record[0], str) else None


def parse(data: bytes) -> tuple[list[list[Any]], int]:
    """The whole records at the start of data, and where they end."""
    records, at = [], 0
    while (found := _at(data, at)) is not None:
        records.append(found[0])
        at = found[1]
    return records, at


@dataclass(frozen=True)
class InvalidRange:
    """Bytes that are no record: from `at` up to `end`, where a record begins again or the file ends."""

    at: int
    end: int
    start: bytes = b""  # the first of them
    whole: bool = False  # all but its length is there: the checksum is right for what stands up to `end`


# How a record begins behind its frame: an array, and the name of a kind that this version writes.
BEGINS = re.compile(
    rb"(?=(?:[\x91-\x9f]|\xdc..)(?:\xa7segment|\xa4take|\xa3try|\xa4miss|\xa5final|\xa4over|"
    rb"\xa5known|\xa3end|\xa4gone))",
    re.DOTALL,
)  # it takes up nothing: finds may overlap
HEAD = re.compile(rb"[\x91-\x9f]\xa7segment")
LONGEST_NAME = 11  # bytes of a match of BEGINS at most
SHOWN = 64  # bytes of what is no record that are kept


def fits(data: bytes, at: int, end: int) -> bool:
    """The checksum at `at` is that of what stands behind its frame up to `end`."""
    if end - at <= FRAME.size:
        return False
    return bool(zlib.crc32(memoryview(data)[at + FRAME.size : end]) == FRAME.unpack_from(data, at)[1])


def torn(rest: InvalidRange, head: bool = False) -> bool:
    """Whether these bytes at a file's end may be a part of a record that was being written: what SIGKILL
    leaves. A record that is whole and wrong, or noise, never is. `head`: the record would be a header."""
    size, start = rest.end - rest.at, rest.start
    if rest.whole or start[:1] != b"\0":  # a length of 16 MB or more
        return False
    if size < FRAME.size:
        return True
    length = FRAME.unpack_from(start)[0]
    begun = start[FRAME.size :]
    if not 0 < length <= MOST or size >= FRAME.size + length:
        return False
    if len(begun) < LONGEST_NAME:  # its kind may not be whole
        return begun[:1] in (b"", b"\xdc") or 0x91 <= begun[0] <= 0x9F
    return (HEAD if head else BEGINS).match(begun) is not None


def scan(data: bytes) -> tuple[list[tuple[int, list[Any]]], list[InvalidRange], int]:
    """All records with their offsets, the bad parts between them, and where the last record ends.

    What follows the last record is for `torn` to judge; what lies between two is damage. Behind it the next
    record is looked for where one of a known kind begins with its checksum right: each byte is looked at
    once, whatever stands there.
    """
    records: list[tuple[int, list[Any]]] = []
    bad: list[InvalidRange] = []
    at = end = 0
    while at < len(data):
        found = _at(data, at)
        if found is None:
            at = _next(data, end + 1)
            if at < 0:
                break
            continue
        if at > end:
            bad.append(made_bad(data, end, at))
        records.append((at, found[0]))
        at = end = found[1]
    return records, bad, end


def _next(data: bytes, start: int) -> int:
    """Where the next record begins at or behind `start`, -1 if none does."""
    for match in BEGINS.finditer(data, start + FRAME.size):
        if _at(data, match.start() - FRAME.size) is not None:
            return match.start() - FRAME.size
    return -1


def made_bad(data: bytes, at: int, end: int) -> InvalidRange:
    """These bytes, which are no record."""
    return InvalidRange(at, end, data[at : at + SHOWN], fits(data, at, end))
