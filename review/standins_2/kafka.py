"""An idempotent Kafka producer, as small as the cases need it, from the public protocol guide and KIP-98."""

from __future__ import annotations

import pathlib
import socket
import struct
import sys
import time
from dataclasses import dataclass
from typing import Any

from madderbeam.transport.kafka.codec import Reader, Writer, decode, encode
from madderbeam.transport.kafka.records import Record as KafkaRecord
from madderbeam.transport.kafka.records import read_batches, write_batch
from madderbeam.transport.kafka.schemas import (
    FETCH,
    INIT_PRODUCER_ID,
    LIST_OFFSETS,
    OFFSET_COMMIT,
    OFFSET_FETCH,
    PRODUCE,
    Api,
)
from review.standins_2.kit import CouldNotRunError, Record

sys.path.append(str(pathlib.Path(__file__).parent / "fallback"))  # google_crc32c, where it is not installed
NONE, OUT_OF_RANGE, NOT_ENOUGH_REPLICAS, OUT_OF_ORDER, DUPLICATE = 0, 1, 19, 45, 46
VERSION = {
    PRODUCE.key: 7,
    FETCH.key: 4,
    LIST_OFFSETS.key: 1,
    OFFSET_COMMIT.key: 2,
    OFFSET_FETCH.key: 1,
    INIT_PRODUCER_ID.key: 1,
}


@dataclass
class Batch:
    """One batch of a partition; it keeps its sequence however often it is sent."""

    sequence: int
    records: list[tuple[bytes, dict[str, str]]]  # value and headers


class Peer:
    """One connection that speaks the protocol, an answer for each request in order."""

    def __init__(self, record: Record, port: int, topic: str) -> None:
        self.record, self.topic = record, topic
        self.sock = socket.create_connection(("127.0.0.1", port), 2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(5)
        self.number = 0
        self.data = b""

    def ask(self, api: Api, values: dict[str, Any]) -> int:
        """Send one request; return its number."""
        self.number += 1
        head = Writer()
        for kind, value in (("int16", api.key), ("int16", VERSION[api.key]), ("int32", self.number)):
            head.fixed(kind, value)
        head.fixed("int16", 6)
        head.put(b"review")
        body = head.bytes() + encode(api.request, values, VERSION[api.key], False)
        self.sock.sendall(struct.pack(">i", len(body)) + body)
        return self.number

    def answer(self, api: Api, number: int) -> dict[str, Any]:
        """Read the answer to a request."""
        try:
            while len(self.data) < 4 or len(self.data) < 4 + struct.unpack(">i", self.data[:4])[0]:
                more = self.sock.recv(65536)
                if not more:
                    raise CouldNotRunError("the courier closed the producer's connection")
                self.data += more
        except OSError as error:
            raise CouldNotRunError(f"no answer to the producer: {error!r}") from None
        size = struct.unpack(">i", self.data[:4])[0]
        frame, self.data = self.data[4 : 4 + size], self.data[4 + size :]
        reader = Reader(frame)
        if reader.fixed("int32") != number:
            raise CouldNotRunError("answers out of order")
        return decode(api.response, reader, VERSION[api.key], False)


class Producer(Peer):
    """One producer id, with up to five batches in flight, as Kafka's clients have it."""

    def __init__(self, record: Record, port: int, topic: str) -> None:
        super().__init__(record, port, topic)
        self.following = 0
        self.throttle_ms = 0  # of the newest answer
        asked = {"transactional_id": None, "transaction_timeout_ms": 60000}
        found = self.answer(INIT_PRODUCER_ID, self.ask(INIT_PRODUCER_ID, asked))
        if found["error_code"]:
            raise CouldNotRunError(f"InitProducerId: {found}")
        self.producer_id, self.epoch = found["producer_id"], found["producer_epoch"]

    def batch(self, *records: tuple[bytes, dict[str, str]]) -> Batch:
        """Make the next batch."""
        made = Batch(self.following, list(records))
        self.following += len(records)
        return made

    def send(self, batch: Batch) -> int:
        """Send a batch without waiting for its answer; return the request's number."""
        rows = [
            KafkaRecord(
                None,
                value,
                tuple((name, text.encode()) for name, text in headers.items()),
                int(time.time() * 1000),
            )
            for value, headers in batch.records
        ]
        data = write_batch(rows, producer_id=self.producer_id, epoch=self.epoch, sequence=batch.sequence)
        values = {
            "transactional_id": None,
            "acks": -1,
            "timeout_ms": 5000,
            "topics": [{"name": self.topic, "partitions": [{"index": 0, "records": data}]}],
        }
        return self.ask(PRODUCE, values)

    def told(self, batch: Batch, number: int) -> int:
        """Return the error code of a batch that was sent."""
        found = self.answer(PRODUCE, number)
        self.throttle_ms = found["throttle_time_ms"]
        code = found["topics"][0]["partitions"][0]["error_code"]
        values = [value.decode() for value, _ in batch.records]
        self.record(f"producer: batch {batch.sequence} {values} -> error code {code}")
        return int(code)


class Consumer(Peer):
    """A consumer with a committed offset, which begins at the earliest one where its own is out of range."""

    def __init__(self, record: Record, port: int, topic: str, group: str) -> None:
        super().__init__(record, port, topic)
        self.group = group

    def committed(self) -> int:
        """Return the group's offset, -1 if it has none."""
        asked = {"group_id": self.group, "topics": [{"name": self.topic, "partitions": [0]}]}
        found = self.answer(OFFSET_FETCH, self.ask(OFFSET_FETCH, asked))
        return int(found["topics"][0]["partitions"][0]["offset"])

    def commit(self, offset: int) -> None:
        """Commit an offset."""
        part = {"index": 0, "offset": offset, "metadata": ""}
        asked = {
            "group_id": self.group,
            "generation_id": -1,
            "member_id": "",
            "retention_time_ms": -1,
            "topics": [{"name": self.topic, "partitions": [part]}],
        }
        found = self.answer(OFFSET_COMMIT, self.ask(OFFSET_COMMIT, asked))
        if code := found["topics"][0]["partitions"][0]["error_code"]:
            raise CouldNotRunError(f"the offset was not committed: {code}")

    def earliest(self) -> int:
        """Return the offset of the oldest record that there is."""
        part = {"index": 0, "timestamp": -2}
        asked = {"replica_id": -1, "topics": [{"name": self.topic, "partitions": [part]}]}
        found = self.answer(LIST_OFFSETS, self.ask(LIST_OFFSETS, asked))
        return int(found["topics"][0]["partitions"][0]["offset"])

    def read(self, offset: int) -> tuple[list[bytes], int]:
        """Return all records from an offset on, and the offset behind them."""
        values: list[bytes] = []
        while True:
            part = {"index": 0, "fetch_offset": offset, "max_bytes": 1 << 20}
            asked = {
                "replica_id": -1,
                "max_wait_ms": 100,
                "min_bytes": 1,
                "max_bytes": 1 << 20,
                "isolation_level": 0,
                "topics": [{"name": self.topic, "partitions": [part]}],
            }
            found = self.answer(FETCH, self.ask(FETCH, asked))["topics"][0]["partitions"][0]
            if found["error_code"] == OUT_OF_RANGE:
                earliest = self.earliest()
                self.record(f"consumer: offset {offset} is out of range, the earliest is {earliest}")
                offset = earliest
                continue
            if found["error_code"]:
                raise CouldNotRunError(f"fetch: {found['error_code']}")
            batches = read_batches(found["records"] or b"")
            if not batches:
                return values, offset
            for batch in batches:
                values += [one.value or b"" for one in batch.records]
                offset = batch.base_offset + len(batch.records)
