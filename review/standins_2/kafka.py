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
from madderbeam.transport.kafka.records import write_batch
from madderbeam.transport.kafka.schemas import INIT_PRODUCER_ID, PRODUCE, Api
from review.standins_2.kit import CouldNotRunError, Record

sys.path.append(str(pathlib.Path(__file__).parent / "fallback"))  # google_crc32c, where it is not installed
NONE, NOT_ENOUGH_REPLICAS, OUT_OF_ORDER, DUPLICATE = 0, 19, 45, 46
VERSION = {PRODUCE.key: 7, INIT_PRODUCER_ID.key: 1}


@dataclass
class Batch:
    """One batch of a partition; it keeps its sequence however often it is sent."""

    sequence: int
    records: list[tuple[bytes, dict[str, str]]]  # value and headers


class Producer:
    """One connection and one producer id, with up to five batches in flight, as Kafka's clients have it."""

    def __init__(self, record: Record, port: int, topic: str) -> None:
        self.record, self.topic = record, topic
        self.sock = socket.create_connection(("127.0.0.1", port), 2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(5)
        self.number = 0
        self.data = b""
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
