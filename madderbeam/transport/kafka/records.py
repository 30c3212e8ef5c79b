"""Record batches of format 2 (magic 2), as in the protocol guide's "Record Batch" and "Record".

Compression is by libraries, each held to a bound: a batch that would grow over it is turned down, and a
library that is not installed is an unsupported compression.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from typing import Any

from madderbeam.transport.kafka.codec import Malformed, Reader, Writer

HEAD = struct.Struct(">qiibIhiqqqhii")  # base offset up to the number of records
CRC_FROM = 21  # the checksum holds from the attributes on
MOST_BYTES = 4_000_000  # of one batch, compressed or not
MOST_RECORDS = 10_000
MOST_HEADERS = 64
RECORDS_PER_SLICE = 200  # are read, or handed in, before others have their turn
HEADERS_PER_SLICE = 1_000  # of the records that are read before others have their turn
MAX_BATCH_HEADERS = 100_000  # of all records of one batch: each becomes an object
NONE, GZIP, SNAPPY, LZ4, ZSTD = range(5)
TRANSACTIONAL, CONTROL = 0x10, 0x20
XERIAL = b"\x82SNAPPY\0"


class BadBatch(ValueError):
    """A batch that can't be used; `kind` says how: corrupt, format, compression, large."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Record:
    """One record; `at_ms` since 1970."""

    key: bytes | None
    value: bytes | None
    headers: tuple[tuple[str, bytes | None], ...] = ()
    at_ms: int = -1


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch that was read. Without an idempotent producer its id, epoch and sequence are -1."""

    base_offset: int
    attributes: int
    producer_id: int
    epoch: int
    sequence: int
    records: tuple[Record, ...]

    @property
    def transactional(self) -> bool:
        return bool(self.attributes & (TRANSACTIONAL | CONTROL))


def crc32c(data: bytes | memoryview) -> int:
    import google_crc32c

    return int(google_crc32c.value(bytes(data)))


def read_batches(data: bytes) -> list[Batch]:
    """All batches of one partition. BadBatch tells what is wrong with the first that can't be used."""
    slices = read_in_slices(data)
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return list(end.value)


def read_in_slices(data: bytes) -> Generator[str | None, None, list[Batch]]:
    """As `read_batches`; yields after each RECORDS_PER_SLICE records or HEADERS_PER_SLICE headers."""
    found, at = [], 0
    while at < len(data):
        size = _size(data, at)
        found.append((yield from _batch(memoryview(data)[at : at + size])))
        at += size
    return found


def declared_records(data: bytes) -> int:
    """Return how many records the first batch says it has; nothing of it is checked."""
    return max(0, int(HEAD.unpack_from(data)[-1])) if len(data) >= HEAD.size else 0


def is_one_batch(data: bytes) -> bool:
    """Whether there is one batch and no more; BadBatch if its head can't be used."""
    return bool(data) and _size(data, 0) == len(data)


def _size(data: bytes, at: int) -> int:
    if len(data) - at < 17:
        raise BadBatch("corrupt", "ends within a batch's head")
    length = struct.unpack_from(">i", data, at + 8)[0]
    magic = data[at + 16]
    if magic != 2:
        raise BadBatch("format", f"format {magic}; 2 is read")
    if length < HEAD.size - 12 or length + 12 > len(data) - at:
        raise BadBatch("corrupt", f"a batch of {length} bytes in {len(data) - at}")
    if length > MOST_BYTES:
        raise BadBatch("large", f"a batch of {length} bytes")
    return int(length) + 12


def _batch(data: memoryview) -> Generator[None, None, Batch]:
    (base, _, _, _, crc, attributes, _, first_ms, _, producer, epoch, sequence, count) = HEAD.unpack_from(
        data
    )
    if crc32c(data[CRC_FROM:]) != crc:
        raise BadBatch("corrupt", "the checksum is wrong")
    if not 0 <= count <= MOST_RECORDS:
        raise BadBatch("large" if count > 0 else "corrupt", f"{count} records")
    reader = Reader(inflate(attributes & 7, bytes(data[HEAD.size :])))
    try:
        if count * 7 > reader.left:  # the least that a record takes
            raise Malformed(f"{count} records in {reader.left} bytes")
        records = yield from _records(reader, first_ms, count)
    except Malformed as error:
        raise BadBatch("corrupt", str(error)) from None
    if reader.left:
        raise BadBatch("corrupt", f"{reader.left} bytes behind the last record")
    return Batch(base, attributes, producer, epoch, sequence, records)


def _records(reader: Reader, first_ms: int, count: int) -> Generator[None, None, tuple[Record, ...]]:
    records: list[Record] = []
    header_count, slice_records, slice_headers = 0, 0, 0
    for _ in range(count):
        records.append(_record(reader, first_ms))
        header_count += len(records[-1].headers)
        if header_count > MAX_BATCH_HEADERS:
            raise BadBatch("large", f"over {MAX_BATCH_HEADERS} headers")
        if (
            len(records) - slice_records >= RECORDS_PER_SLICE
            or header_count - slice_headers >= HEADERS_PER_SLICE
        ):
            slice_records, slice_headers = len(records), header_count
            yield
    return tuple(records)


def _record(reader: Reader, first_ms: int) -> Record:
    inner = Reader(reader.take(reader.varint()))
    inner.fixed("int8")
    at_ms = first_ms + inner.varint()
    inner.varint()
    key, value = _blob(inner), _blob(inner)
    count = inner.varint()
    if not 0 <= count <= MOST_HEADERS:
        raise Malformed(f"{count} headers")
    headers = []
    for _ in range(count):
        name = inner.take(inner.varint())
        try:
            headers.append((name.decode(), _blob(inner)))
        except UnicodeDecodeError:
            raise Malformed("a header's name that is not UTF-8") from None
    if inner.left:
        raise Malformed(f"{inner.left} bytes behind a record's headers")
    return Record(key, value, tuple(headers), at_ms)


def _blob(reader: Reader) -> bytes | None:
    size = reader.varint()
    return None if size == -1 else reader.take(size)


def write_batch(
    records: Sequence[Record],
    base_offset: int = 0,
    codec: int = NONE,
    producer_id: int = -1,
    epoch: int = -1,
    sequence: int = -1,
    last_delta: int = -1,
) -> bytes:
    """A batch of records, whose offsets follow one another."""
    first_ms = records[0].at_ms if records else -1
    writer = Writer()
    for n, record in enumerate(records):
        inner = Writer()
        inner.fixed("int8", 0)
        inner.varint(record.at_ms - first_ms)
        inner.varint(n)
        for blob in (record.key, record.value):
            _put(inner, blob)
        inner.varint(len(record.headers))
        for name, value in record.headers:
            _put(inner, name.encode())
            _put(inner, value)
        data = inner.bytes()
        writer.varint(len(data))
        writer.put(data)
    body = deflate(codec, writer.bytes())
    last = len(records) - 1 if last_delta < 0 else last_delta
    newest = max((r.at_ms for r in records), default=-1)
    tail = struct.pack(">hiqqqhii", codec, last, first_ms, newest, producer_id, epoch, sequence, len(records))
    return (
        struct.pack(">qiibI", base_offset, 9 + len(tail) + len(body), 0, 2, crc32c(tail + body)) + tail + body
    )


def _put(writer: Writer, blob: bytes | None) -> None:
    writer.varint(-1 if blob is None else len(blob))
    writer.put(blob or b"")


# Compression


def inflate(codec: int, data: bytes) -> bytes:
    """What was compressed, held to MOST_BYTES."""
    if codec == NONE:
        return data
    way = INFLATE.get(codec)
    if way is None:
        raise BadBatch("compression", f"compression {codec}")
    try:
        found = way(data)
    except ImportError as error:
        raise BadBatch("compression", f"compression {codec}: {error.name} is not installed") from None
    except BadBatch:
        raise
    except Exception as error:  # each library has its own
        raise BadBatch("corrupt", f"compression {codec}: {type(error).__name__}") from None
    return found


def _bounded(data: bytes) -> bytes:
    if len(data) > MOST_BYTES:
        raise BadBatch("large", f"over {MOST_BYTES} bytes once it is decompressed")
    return data


def _gzip(data: bytes) -> bytes:
    made = zlib.decompressobj(31)
    found = _bounded(made.decompress(data, MOST_BYTES + 1))
    if not made.eof:
        raise BadBatch("corrupt", "gzip that does not end")
    return found


def _snappy(data: bytes) -> bytes:
    import cramjam

    if not data.startswith(XERIAL):
        return _raw_snappy(cramjam, data)
    at, found = 16, []
    while at < len(data):
        size = struct.unpack_from(">i", data, at)[0]
        if not 0 <= size <= len(data) - at - 4:
            raise BadBatch("corrupt", "a block of snappy that does not fit")
        found.append(_raw_snappy(cramjam, data[at + 4 : at + 4 + size]))
        _bounded(b"".join(found))
        at += 4 + size
    return b"".join(found)


def _raw_snappy(cramjam: Any, data: bytes) -> bytes:
    if Reader(data).uvarint() > MOST_BYTES:  # the length stands first
        raise BadBatch("large", f"over {MOST_BYTES} bytes once it is decompressed")
    return bytes(cramjam.snappy.decompress_raw(data))


def _lz4(data: bytes) -> bytes:
    import lz4.frame

    made = lz4.frame.LZ4FrameDecompressor()
    found = _bounded(made.decompress(data, MOST_BYTES + 1))
    if not made.eof:
        raise BadBatch("corrupt", "lz4 that does not end")
    return bytes(found)


def _zstd(data: bytes) -> bytes:
    import io

    import zstandard

    with zstandard.ZstdDecompressor(max_window_size=1 << 23).stream_reader(io.BytesIO(data)) as stream:
        return _bounded(stream.read(MOST_BYTES + 1))


INFLATE: dict[int, Callable[[bytes], bytes]] = {GZIP: _gzip, SNAPPY: _snappy, LZ4: _lz4, ZSTD: _zstd}


def deflate(codec: int, data: bytes) -> bytes:
    """Compressed; BadBatch where that can't be had."""
    if codec == NONE:
        return data
    if codec == GZIP:
        made = zlib.compressobj(wbits=31)
        return made.compress(data) + made.flush()
    try:
        if codec == SNAPPY:
            import cramjam

            return bytes(cramjam.snappy.compress_raw(data))
        if codec == LZ4:
            import lz4.frame

            return bytes(lz4.frame.compress(data))
        if codec == ZSTD:
            import zstandard

            return bytes(zstandard.ZstdCompressor().compress(data))
    except ImportError as error:
        raise BadBatch("compression", f"compression {codec}: {error.name} is not installed") from None
    raise BadBatch("compression", f"compression {codec}")
