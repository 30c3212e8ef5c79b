"""Records on disk, and how bytes that are not a record are classified.

A record is a header with length and checksum, then the payload. A segment is a sequence of records. The first
one is the segment header: ["segment", FORMAT, number, last number, clock anchor, boot id,
...]. The record kinds and their meaning are described in `pending_message.py`.
"""

from __future__ import annotations

import re
import struct
import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

RECORD_HEADER = struct.Struct(">II")  # header of each record: length and checksum of the payload
FORMAT = 2  # of segments; format 1 was a single file without a header
MAX_RECORD_BYTES = 1 << 24  # bytes of one record: a larger length is invalid
PACK = msgpack.Packer().pack  # shared: a new packer for each record costs as much as packing it
BLOCK_BYTES = 512  # files count against the limit in whole blocks


def frame(record: list[Any]) -> bytes:
    """The record as it is stored: length, checksum and payload."""
    payload = PACK(record)
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def rounded_to_blocks(size: int) -> int:
    """The bytes that a file of this size takes of the limit: rounded up to whole blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def _record_at(data: bytes, offset: int) -> tuple[list[Any], int] | None:
    """The record at this offset and where it ends; None if there is no valid one."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    size, checksum = RECORD_HEADER.unpack_from(data, offset)
    end = offset + RECORD_HEADER.size + size
    if not 0 < size <= MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + RECORD_HEADER.size : end]
    if zlib.crc32(payload) != checksum:
        return None
    try:
        record = msgpack.unpackb(payload, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        return None
    return (record, end) if isinstance(record, list) and record and isinstance(record[0], str) else None


def parse(data: bytes) -> tuple[list[list[Any]], int]:
    """The valid records at the start of the data, and where they end."""
    records, offset = [], 0
    while (record_and_end := _record_at(data, offset)) is not None:
        records.append(record_and_end[0])
        offset = record_and_end[1]
    return records, offset


@dataclass(frozen=True)
class InvalidRange:
    """Bytes that are not a record: from `offset` up to `end`, where a valid record starts or the file
    ends."""

    offset: int
    end: int
    prefix: bytes = b""  # the first of these bytes
    checksum_matches: bool = False  # only the length is wrong: the checksum fits the payload up to `end`


# How a record's payload starts: a msgpack array, and the name of a kind that this version writes. The
# lookahead consumes nothing, so that matches may overlap.
RECORD_START = re.compile(
    rb"(?=(?:[\x91-\x9f]|\xdc..)(?:\xa7segment|\xa4take|\xa3try|\xa4miss|\xa5final|\xa4over|"
    rb"\xa5known|\xa3end|\xa4gone))",
    re.DOTALL,
)
SEGMENT_HEADER_START = re.compile(rb"[\x91-\x9f]\xa7segment")
MAX_RECORD_START_BYTES = 11  # of a match of RECORD_START
KEPT_PREFIX_BYTES = 64  # of an invalid range


def checksum_matches(data: bytes, offset: int, end: int) -> bool:
    """Whether the checksum at `offset` is that of the bytes after its header up to `end`."""
    if end - offset <= RECORD_HEADER.size:
        return False
    return bool(
        zlib.crc32(memoryview(data)[offset + RECORD_HEADER.size : end])
        == RECORD_HEADER.unpack_from(data, offset)[1]
    )


def is_torn(tail: InvalidRange, is_header: bool = False) -> bool:
    """Whether these bytes at the end of a file may be an incomplete write, as SIGKILL leaves one.

    A complete record with an error, or noise, is not torn. `is_header`: it would be a segment header.
    """
    size, prefix = tail.end - tail.offset, tail.prefix
    if tail.checksum_matches or prefix[:1] != b"\0":  # a first byte over 0 is a length of 16 MB or more
        return False
    if size < RECORD_HEADER.size:
        return True
    length = RECORD_HEADER.unpack_from(prefix)[0]
    payload = prefix[RECORD_HEADER.size :]
    if not 0 < length <= MAX_RECORD_BYTES or size >= RECORD_HEADER.size + length:
        return False
    if len(payload) < MAX_RECORD_START_BYTES:  # its kind may be incomplete
        return payload[:1] in (b"", b"\xdc") or 0x91 <= payload[0] <= 0x9F
    return (SEGMENT_HEADER_START if is_header else RECORD_START).match(payload) is not None


def scan(data: bytes) -> tuple[list[tuple[int, list[Any]]], list[InvalidRange], int]:
    """All records with their offsets, the invalid ranges between them, and where the last record ends.

    Whether the bytes after the last record are torn is decided by `is_torn`; an invalid range between two
    records is damage. After an invalid range the scan resumes at the next valid record that starts with the
    name of a known kind. The search for such a start passes over each byte once, whatever the content; the
    checksum is computed only at a possible start.
    """
    records: list[tuple[int, list[Any]]] = []
    invalid: list[InvalidRange] = []
    offset = last_end = 0
    while offset < len(data):
        record_and_end = _record_at(data, offset)
        if record_and_end is None:
            offset = _next_record(data, last_end + 1)
            if offset < 0:
                break
            continue
        if offset > last_end:
            invalid.append(invalid_range(data, last_end, offset))
        records.append((offset, record_and_end[0]))
        offset = last_end = record_and_end[1]
    return records, invalid, last_end


def _next_record(data: bytes, start: int) -> int:
    """The offset of the first valid record at or after `start`, -1 if there is none."""
    for match in RECORD_START.finditer(data, start + RECORD_HEADER.size):
        if _record_at(data, match.start() - RECORD_HEADER.size) is not None:
            return match.start() - RECORD_HEADER.size
    return -1


def invalid_range(data: bytes, offset: int, end: int) -> InvalidRange:
    """The description of these bytes, which are not a record."""
    return InvalidRange(
        offset, end, data[offset : offset + KEPT_PREFIX_BYTES], checksum_matches(data, offset, end)
    )
