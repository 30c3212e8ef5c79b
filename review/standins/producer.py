"""An idempotent Kafka producer, as small as the protocol guide allows: one batch at a time."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass

PRODUCE, PRODUCER_ID = 0, 22  # api keys
PRODUCE_VERSION, PRODUCER_ID_VERSION = 3, 0
POLYNOMIAL = 0x82F63B78  # CRC-32C


def _table() -> list[int]:
    table = list(range(256))
    for _ in range(8):
        table = [crc >> 1 ^ (POLYNOMIAL if crc & 1 else 0) for crc in table]
    return table


TABLE = _table()


def crc32c(data: bytes) -> int:
    """Return the Castagnoli checksum of RFC 3720."""
    crc = 0xFFFFFFFF
    for byte in data:
        crc = crc >> 8 ^ TABLE[(crc ^ byte) & 0xFF]
    return crc ^ 0xFFFFFFFF


def _varint(value: int) -> bytes:
    value = value << 1 ^ value >> 63
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    return bytes([*out, value])


def _text(value: str | None) -> bytes:
    if value is None:
        return struct.pack(">h", -1)
    data = value.encode()
    return struct.pack(">h", len(data)) + data


@dataclass(frozen=True)
class Row:
    """One record: its value and its headers."""

    value: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, delta: int) -> bytes:
        """Return the record at this offset within its batch."""
        out = b"\0" + _varint(0) + _varint(delta) + _varint(-1) + _varint(len(self.value)) + self.value
        out += _varint(len(self.headers))
        for name, text in self.headers:
            out += _varint(len(name.encode())) + name.encode() + _varint(len(text.encode())) + text.encode()
        return _varint(len(out)) + out


def batch(rows: list[Row], producer_id: int, epoch: int, sequence: int, now_ms: int) -> bytes:
    """Return a record batch of format 2."""
    body = b"".join(row.encode(delta) for delta, row in enumerate(rows))
    tail = struct.pack(">hiqqqhii", 0, len(rows) - 1, now_ms, now_ms, producer_id, epoch, sequence, len(rows))
    return struct.pack(">qiibI", 0, 9 + len(tail) + len(body), 0, 2, crc32c(tail + body)) + tail + body


@dataclass(frozen=True)
class Told:
    """The answer to a Produce with one partition."""

    error_code: int
    throttle_ms: int


class Producer:
    """Speaks with one broker."""

    def __init__(self, port: int) -> None:
        self.port, self.number = port, 0
        self.producer_id, self.epoch = -1, -1
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect, and get a producer id at the first time."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        if self.producer_id < 0:
            answer = await self._ask(PRODUCER_ID, PRODUCER_ID_VERSION, _text(None) + struct.pack(">i", 60000))
            _, error, self.producer_id, self.epoch = struct.unpack_from(">ihqh", answer)
            if error:
                raise OSError(f"InitProducerId: error {error}")

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def _ask(self, key: int, version: int, body: bytes) -> bytes:
        assert self.reader is not None
        assert self.writer is not None
        self.number += 1
        frame = struct.pack(">hhi", key, version, self.number) + _text("scheduling") + body
        self.writer.write(struct.pack(">i", len(frame)) + frame)
        size = struct.unpack(">i", await self.reader.readexactly(4))[0]
        answer = await self.reader.readexactly(size)
        if struct.unpack_from(">i", answer)[0] != self.number:
            raise OSError("another request's answer")
        return answer[4:]

    async def produce(self, topic: str, records: bytes, timeout_s: float = 30.0) -> Told:
        """Send one batch with acks=all; TimeoutError without an answer in time."""
        body = _text(None) + struct.pack(">hi", -1, 30000) + struct.pack(">i", 1) + _text(topic)
        body += struct.pack(">iii", 1, 0, len(records)) + records
        answer = await asyncio.wait_for(self._ask(PRODUCE, PRODUCE_VERSION, body), timeout_s)
        at = 4 + 2 + len(topic.encode()) + 4 + 4  # topics, name, partitions, index
        error = struct.unpack_from(">h", answer, at)[0]
        throttle = struct.unpack_from(">i", answer, len(answer) - 4)[0]
        return Told(error, throttle)
