"""Kafka partners in the simulation: the endpoints' own service behind Produce, with metadata that may be old.

An endpoint is a node of its destination's cluster and leads the partitions that the cluster's metadata says,
which follows the list late where the script says so. What happens to a call, and what the checker is told, is
the same as over HTTP: only the framing differs.
"""

from __future__ import annotations

import json
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from madderbeam.policy.settings import Settings
from madderbeam.ports import Address
from madderbeam.simulation.checker import Call, Handed
from madderbeam.simulation.clients import ClientLine, Wish
from madderbeam.simulation.endpoints import Endpoint, Line
from madderbeam.simulation.http_tap import Request, RequestTap
from madderbeam.simulation.network import Stream
from madderbeam.transport.kafka import schemas
from madderbeam.transport.kafka.codec import Malformed, Reader, Writer, decode, encode
from madderbeam.transport.kafka.front import versions
from madderbeam.transport.kafka.records import BadBatch, Record, read_batches, write_batch

TOPIC = "orders"
PARTITIONS = 3
VERSION = 7  # of Produce, as programs speak it
OLD = 0.1  # share of metadata that names a leader of another time
CODES = {200: 0, 429: 89, 500: 7, 503: 89}


class KafkaTap(RequestTap):
    """Reads frames. A Produce is a request like one over HTTP; what goes before it has the path ''."""

    def _one(self, now: int) -> bool:
        if len(self.buffer) < 4:
            return False
        size = 4 + struct.unpack_from(">i", self.buffer)[0]
        if len(self.buffer) < size:
            return False
        frame, self.buffer = self.buffer[4:size], self.buffer[size:]
        try:
            path, headers, body = self._read(Reader(frame))
        except (Malformed, BadBatch, KeyError) as error:
            self.odd(f"a request that can't be read: {error!r}")
            return False
        request = Request("POST", path, headers, body, self.first_us, now, self.total - len(self.buffer))
        if path:
            request.note = self.written(request)
        self.under_way.append(request)
        return bool(self.buffer)

    def _read(self, reader: Reader) -> tuple[str, dict[str, str], bytes]:
        key, version, number = reader.fixed("int16"), reader.fixed("int16"), reader.fixed("int32")
        reader.take(max(0, reader.fixed("int16")))
        api = schemas.APIS[key]
        if api.is_flexible(version):
            reader.tags()
        values = decode(api.request, reader, version, api.is_flexible(version))
        headers = {"api": str(key), "version": str(version), "number": str(number)}
        if api is not schemas.PRODUCE:
            return "", headers, b""
        row = values["topics"][0]["partitions"][0]
        given = [dict(record.headers) for record in read_batches(row["records"])[0].records]
        rows = [{"id": (h["id"] or b"").decode(), "key": (h.get("key") or b"").decode()} for h in given]
        headers |= {
            "partition": str(row["index"]),
            "x-request-id": rows[0]["id"],
            "idempotency-key": rows[0]["key"],
        }
        return "/events/bundle" if len(rows) > 1 else "/events", headers, json.dumps(rows).encode()


class KafkaLine(Line):
    """A node's end of one connection."""

    partial = False  # a Produce says one thing of the whole batch

    def __init__(self, endpoint: Endpoint, stream: Stream) -> None:
        super().__init__(endpoint, stream)
        self.tap = KafkaTap(stream, self._written, self._came, self._odd)
        self.asked: deque[Request] = deque()  # produces that are not answered

    def _turn_away(self) -> None:
        """The connection ends ahead of the request's last byte: the call is never begun."""
        self.stream.finish()
        self.endpoint.streams.pop(self.stream, None)

    def _came(self, request: Request) -> None:
        if request.path:
            self.asked.append(request)
            self.kernel.checker.arrived(request.note)
            self._begin(request)
            return
        if self.endpoint.mood.outage in ("cut", "never", "hang"):
            return
        api = schemas.APIS[int(request.headers["api"])]
        values = versions(0) if api is schemas.API_VERSIONS else self._metadata()
        self.stream.write(self._frame(request, values))

    def _metadata(self) -> dict[str, Any]:
        dest, chance = self.endpoint.dest, self.endpoint.chance
        nodes = (
            dest.endpoints
            if chance.random() < OLD
            else [e for e in dest.endpoints if e.state == "in_service"] or dest.endpoints
        )
        brokers = [{"node_id": n, "host": e.address[0], "port": e.address[1]} for n, e in enumerate(nodes)]
        return {
            "brokers": brokers,
            "cluster_id": "c",
            "controller_id": 0,
            "topics": [
                {
                    "error_code": 0,
                    "name": TOPIC,
                    "partitions": [
                        {
                            "error_code": 0,
                            "index": n,
                            "leader_id": n % len(nodes),
                            "replicas": [0],
                            "isr": [0],
                        }
                        for n in range(PARTITIONS)
                    ],
                }
            ],
        }

    def _frame(self, request: Request, values: dict[str, Any]) -> bytes:
        api, version = schemas.APIS[int(request.headers["api"])], int(request.headers["version"])
        head = Writer()
        head.fixed("int32", int(request.headers["number"]))
        flexible = api.is_flexible(version)
        if flexible and api is not schemas.API_VERSIONS:
            head.uvarint(0)
        body = head.bytes() + encode(api.response, values, version, flexible)
        return struct.pack(">i", len(body)) + body

    def _answer(self, call: Call, status: int, outcome: str, wait_us: int = 0, slots_taken: str = "") -> None:
        stream, chance, mood = self.stream, self.endpoint.chance, self.endpoint.mood
        if stream.gone or stream.closed or stream.silent or not self.asked:
            return
        request = self.asked.popleft()
        code = 19 if slots_taken else CODES[status]
        moved = status == 503 and not slots_taken and self.endpoint.state != "in_service"
        wait_ms = wait_us // 1000
        text = self._frame(
            request,
            {
                "throttle_time_ms": wait_ms,
                "topics": [
                    {
                        "name": TOPIC,
                        "partitions": [
                            {
                                "index": int(request.headers["partition"]),
                                "error_code": 6 if moved else code,
                                "base_offset": 0,
                            }
                        ],
                    }
                ],
            },
        )
        self.kernel.note(
            self.endpoint.uid, "answer", status=status, wait=wait_us, ids=[a.handed.id for a in call.items]
        )
        if mood.mute and chance.random() < mood.mute:
            return
        if mood.spoilt and chance.random() < mood.spoilt:
            stream.write(text[:4] + bytes(chance.randrange(128, 256) for _ in text[4:]))
            self.kernel.checker.answered(call, {})
            return
        if mood.half and chance.random() < mood.half:
            stream.write(text[: chance.randrange(1, len(text))])
            self.kernel.checker.answered(call, {})
            stream.finish()
            return
        stream.write(text)
        self.kernel.checker.answered(call, {a.handed.id: outcome for a in call.items}, stream.sent)
        if wait_ms:
            until = self.kernel.now_us + wait_ms * 1000
            self.kernel.checker.told_wait(call, stream.arrival_us, until)


# Programs that produce


def produced(settings: Settings) -> Callable[[Handed, Wish, bool], bytes]:
    """How a program hands a message in: one record on its class's topic, with an id of its own."""

    def text(handed: Handed, wish: Wish, marked: bool) -> bytes:
        cls = settings.classes[wish.cls]
        life = (wish.until_us - handed.sent_us) // 1000
        given = {"id": handed.id, "tenant": wish.tenant, "deadline-ms": str(life)}
        given |= {"key": wish.key} if wish.key else {}
        given |= {"again": "1"} if marked else {}
        headers = tuple((name, value.encode()) for name, value in given.items())
        record = Record(wish.order.encode() or None, b"x" * wish.size, headers)
        head = Writer()
        for kind, value in (("int16", 0), ("int16", VERSION), ("int32", 1), ("int16", -1)):
            head.fixed(kind, value)
        body = head.bytes() + encode(
            schemas.PRODUCE.request,
            {
                "acks": -1,
                "timeout_ms": 400,
                "topics": [
                    {
                        "name": f"{cls.name}.{wish.dest}",
                        "partitions": [{"index": 0, "records": write_batch([record])}],
                    }
                ],
            },
            VERSION,
            False,
        )
        return struct.pack(">i", len(body)) + body

    return text


class Producer(ClientLine):
    """One program's connection to the Kafka front."""

    @property
    def address(self) -> Address:
        return self.machine.kafka

    @property
    def kept(self) -> deque[ClientLine]:
        return self.clients.others[self.machine.name]

    @staticmethod
    def take(buffer: bytes) -> tuple[bytes | None, bytes]:
        if len(buffer) < 4 or len(buffer) < (size := 4 + struct.unpack_from(">i", buffer)[0]):
            return None, buffer
        reader = Reader(buffer[4:size])
        reader.fixed("int32")
        values = decode(schemas.PRODUCE.response, reader, VERSION, False)
        row = values["topics"][0]["partitions"][0]
        if row["error_code"] == 0:
            return b"+OK", buffer[size:]
        if row["error_code"] == schemas.Code.NOT_ENOUGH_REPLICAS:
            wait = values["throttle_time_ms"]
            return b"-BUSY %d" % wait if wait else b"-BUSY", buffer[size:]
        return b"-ERR %d" % row["error_code"], buffer[size:]


class Node(Endpoint):
    """An endpoint that is a node of a Kafka cluster."""

    def line(self, endpoint: Endpoint, stream: Stream) -> Line:
        return KafkaLine(endpoint, stream)

    def entry(self) -> dict[str, Any]:
        return {**super().entry(), "topic": TOPIC}
