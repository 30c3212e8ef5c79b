"""Records on disk: frames with length and checksum, and what is made of bytes that are none.

A segment is a row of frames. The first one is its header: ["segment", FORMAT, number, last, base, boot]. The
kinds of record and what each makes true stand in `message.py`.
"""

from __future__ import annotations

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
    payload = data[at + FRAME.size:end]
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
class Bad:
    """Bytes amid records that are none: from `at` up to `end`, where a record begins again."""

    at: int
    end: int


def scan(data: bytes) -> tuple[list[tuple[int, list[Any]]], list[Bad], int]:
    """All records with their offsets, the bad parts between them, and where the last record ends.

    What follows the last record is a torn tail; what lies between two is corruption. Behind a bad record the
    next one is looked for at every byte: its checksum and form make a chance find (about 1 in 2**32 for each)
    unlikely enough.
    """
    records: list[tuple[int, list[Any]]] = []
    bad: list[Bad] = []
    at = end = 0
    while at < len(data):
        found = _at(data, at)
        if found is None:
            at += 1
            continue
        if at > end:
            bad.append(Bad(end, at))
        records.append((at, found[0]))
        at = end = found[1]
    return records, bad, end
