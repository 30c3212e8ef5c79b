"""A connection to a Kafka partner that behaves as one over HTTP does (transport.http.Connection).

So calls, their records, time-outs, waits and pools stay the same: a Produce is the request, and its answer is
told as the status of PROTOCOL that means the same (`outcomes`). One message, or one bundle, is in flight on a
connection. Only the Produce counts as written: what goes before it (versions, log-in, metadata, a connection
to the leader) proves nothing of the message.
"""

from __future__ import annotations

import base64
import errno
import json
import struct
from collections.abc import Callable
from typing import Any

from madderbeam.ports import Address, Network, Socket
from madderbeam.transport.dialing import Dialed
from madderbeam.transport.http import Exchange, Headers, do_nothing
from madderbeam.transport.kafka import schemas
from madderbeam.transport.kafka.codec import Malformed, Reader, Writer, decode, encode
from madderbeam.transport.kafka.connection import FrameReader
from madderbeam.transport.kafka.outcomes import Fate, fate
from madderbeam.transport.kafka.records import Record, write_batch
from madderbeam.transport.kafka.schemas import Api
from madderbeam.transport.reading import read
from madderbeam.transport.resp import FramingError
from madderbeam.transport.response_ledger import ResponseLedger

MOST_WAIT_MS = 120_000
MOST_PARTITIONS = 10_000


class Link(Dialed):
    """One TCP connection to one node: requests in their order, answers by their numbers."""

    def __init__(self, loop: Any, network: Network, address: Address, lost: Callable[[], None]) -> None:
        """OSError if there is no socket. `lost`: it broke, ended, or what came can't be read."""
        super().__init__(loop, network, address)
        self.lost = lost
        self.reader, self.out, self.number = FrameReader(), b"", 0
        self.waiting: tuple[int, Api, int, Callable[[dict[str, Any]], None]] | None = None
        self.written: Callable[[], None] = do_nothing

    def ask(
        self,
        api: Api,
        version: int,
        values: dict[str, Any],
        told: Callable[[dict[str, Any]], None],
        written: Callable[[], None] = do_nothing,
    ) -> None:
        """Send one request; `told` gets its answer."""
        self.number += 1
        head = Writer()
        for kind, value in (("int16", api.key), ("int16", version), ("int32", self.number)):
            head.fixed(kind, value)
        head.fixed("int16", len(b"madderbeam"))
        head.put(b"madderbeam")
        if api.is_flexible(version):
            head.uvarint(0)
        body = head.bytes() + encode(api.request, values, version, api.is_flexible(version))
        self.waiting, self.written = (self.number, api, version, told), written
        self.out += struct.pack(">i", len(body)) + body
        self._write()

    def _write(self) -> None:
        try:
            self.out = self.out[self.sock.send(self.out) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._lose()
            return
        if self.out:
            self.network.on_writable(self.sock, self._write)
        else:
            self.network.off_writable(self.sock)
            written, self.written = self.written, do_nothing
            written()

    def _readable(self) -> None:
        if self.closed or not self.connected:
            return
        try:
            data = read(self.sock)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._lose()
            return
        if not data:
            self._lose()
            return
        self.reader.feed(data)
        try:
            while not self.closed and (frame := self.reader.next()) is not None:
                self._answer(frame)
        except (Malformed, FramingError):
            self._lose()

    def look(self) -> None:
        """Read what has come by now, if anything has."""
        self._readable()

    def _answer(self, frame: bytes) -> None:
        if self.waiting is None:
            raise Malformed("an answer that nobody asked for")
        number, api, version, told = self.waiting
        reader = Reader(frame)
        if reader.fixed("int32") != number:
            raise Malformed("another request's answer")
        if api.is_flexible(version) and api is not schemas.API_VERSIONS:
            reader.tags()
        values = decode(api.response, reader, version, api.is_flexible(version))
        self.waiting = None
        told(values)

    def _lose(self) -> None:
        if not self.closed:
            self.close()
            self.lost()

    def close(self) -> None:
        if self.closed:
            return
        self.closed, self.waiting, self.written = True, None, do_nothing
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        self.sock.close()


class KafkaConnection:
    """Carries one exchange at a time, to whichever node leads the message's partition."""

    def __init__(
        self, loop: Any, network: Network, address: Address, topic: str, may_write: Callable[[Address], bool]
    ) -> None:
        """`may_write`: whether a node may be sent to now; the list's word counts, not the metadata's."""
        self.loop, self.network, self.address, self.topic = loop, network, address, topic
        self.may_write = may_write
        self.exchange: Exchange | None = None
        self.on_close: Callable[[], None] = do_nothing
        self.ledger = ResponseLedger()
        self.closed = self.connected = self.written = False
        self.versions = {schemas.PRODUCE.key: schemas.PRODUCE.least, schemas.METADATA.key: 1}
        self.leaders: list[Address] = []  # by partition
        self.main = self.carrier = Link(loop, network, address, lambda: self._gone(self.main))
        self.links: dict[Address, Link] = {address: self.main}
        self.next = 0  # partition of the next message without a key

    names_requests = True
    has_trailing_data = False
    trailing_status = 0
    unsolicited = b""  # a response names its request; one that nobody asked for breaks the connection
    midway = True  # a call that is out is not passed on to another process
    rest = b""

    @property
    def sock(self) -> Socket:
        return self.main.sock

    # Before the first message: versions and metadata

    def connect(self, done: Callable[[OSError | None], None]) -> None:
        """Call `done` once, from the loop, with what stood in the way."""

        def connected(error: OSError | None) -> None:
            if error is not None:
                self.close()
                done(error)
                return
            self.main.ask(schemas.API_VERSIONS, 0, {}, versions)

        def versions(values: dict[str, Any]) -> None:
            spoken = {row["key"]: (row["least"], row["most"]) for row in values["api_keys"]}
            for api in (schemas.PRODUCE, schemas.METADATA):
                least, most = spoken.get(api.key, (0, -1))
                self.versions[api.key] = min(most, api.most)
                if self.versions[api.key] < max(least, api.least):
                    self._refuse(done, f"{api.name}: no version in common")
                    return
            self.main.ask(
                schemas.METADATA,
                self.versions[schemas.METADATA.key],
                {"topics": [{"name": self.topic}], "allow_auto_topic_creation": False},
                metadata,
            )

        def metadata(values: dict[str, Any]) -> None:
            nodes = {row["node_id"]: (row["host"], row["port"]) for row in values["brokers"]}
            rows = {
                p["index"]: p["leader_id"]
                for t in values["topics"]
                if t["name"] == self.topic
                for p in t["partitions"]
            }
            if not rows or len(rows) > MOST_PARTITIONS or sorted(rows) != list(range(len(rows))):
                self._refuse(done, f"topic {self.topic}: no partitions")
                return
            self.leaders = [nodes.get(rows[n], ("", 0)) for n in range(len(rows))]
            self.connected = True
            done(None)

        self.main.connect(connected)
        self._failed: Callable[[], None] | None = lambda: done(OSError(errno.ECONNRESET, "connect"))

    def _refuse(self, done: Callable[[OSError | None], None], why: str) -> None:
        self.close()
        done(OSError(errno.ECONNREFUSED, why))

    # One message, or one bundle

    def request(self, method: str, target: str, headers: Headers, body: bytes, exchange: Exchange) -> None:
        """Produce what a call of PROTOCOL holds, on the node that leads its partition."""
        self.exchange, self.written = exchange, False
        given = {name.lower(): value for name, value in headers}
        rows = (
            json.loads(body)
            if target == "/events/bundle"
            else [
                {"id": given.get("x-request-id", ""), "key": given.get("idempotency-key", ""), "body": None}
            ]
        )
        records = [_record(row, body) for row in rows]
        partition = self._partition(records[0].key)
        leader = self.leaders[partition]
        link = self.links.get(leader)
        timeout = min(MOST_WAIT_MS, int(given.get("x-timeout-ms", "1000")))
        batch = write_batch(records)

        def produce(error: OSError | None = None) -> None:
            if error is not None:
                self._lose()
                return
            assert link is not None
            if not self.may_write(leader):  # it drains, has gone, or was never listed
                self._unsent()
                return
            if not exchange.wanted:  # while the leader was dialled: the others go again, on this connection
                self.exchange = None
                self._skip(exchange)
                return
            self.carrier = link
            link.ask(
                schemas.PRODUCE,
                self.versions[schemas.PRODUCE.key],
                {
                    "transactional_id": None,
                    "acks": -1,
                    "timeout_ms": timeout,
                    "topics": [{"name": self.topic, "partitions": [{"index": partition, "records": batch}]}],
                },
                lambda values: self._produced(values, rows),
                self._whole,
            )

        if link is not None and link.connected and not link.closed:
            produce()
            return
        if not leader[0] or not self.may_write(leader):
            self._unsent()
            return
        try:
            made = link = self.carrier = self.links[leader] = Link(
                self.loop, self.network, leader, lambda: self._gone(made)
            )
            link.connect(produce)
        except OSError:
            self._lose()

    def _unsent(self) -> None:
        """Nobody may be sent this message now: the metadata is older than the list, or the other way
        round."""
        exchange = self.exchange
        self.close()
        self._skip(exchange)

    def _skip(self, exchange: Exchange | None) -> None:
        """Nothing of it was written."""
        if exchange is not None:
            exchange.head(Fate.NEVER.status, {})
            exchange.end(False)

    def _partition(self, key: bytes | None) -> int:
        if key is None:
            self.next += 1
            return self.next % len(self.leaders)
        return (murmur2(key) & 0x7FFFFFFF) % len(self.leaders)

    def _whole(self) -> None:
        self.written = True
        if self.exchange is not None:
            self.exchange.written_whole()

    def _produced(self, values: dict[str, Any], rows: list[dict[str, Any]]) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        parts = [p for t in values["topics"] for p in t["partitions"]]
        if len(parts) != 1:
            self.close()
            exchange.spoilt()
            return
        found = fate(parts[0]["error_code"])
        wait = values["throttle_time_ms"] or 0
        told = {"retry-after": f"{min(wait, MOST_WAIT_MS) / 1e3:.3f}"} if wait > 0 else {}
        if found is Fate.MOVED:
            self.close()  # the next one asks who leads
        exchange.head(found.status, told)
        if found is Fate.DELIVERED and len(rows) > 1:
            exchange.data(json.dumps([{"id": row["id"], "state": "done"} for row in rows]).encode())
        exchange.end(False)

    # As transport.http.Connection

    def stale(self) -> bool:
        return self.closed or any(link.closed or link.stale() for link in self.links.values())

    ended = stale  # nothing comes there unasked

    def look(self) -> None:
        """Read what has come by now, if anything has."""
        for link in list(self.links.values()):
            link.look()

    def _gone(self, link: Link) -> None:
        """One of its links has ended. The message goes on if another one carries it."""
        if self.exchange is None or link is self.carrier:
            self._lose()

    def _lose(self) -> None:
        exchange, written, failed = self.exchange, self.written, self._failed
        self.close()
        if exchange is not None:
            exchange.lost(written)
        elif failed is not None and not self.connected:
            failed()

    def abort(self) -> None:
        for link in self.links.values():
            link.abort()
        self.close()

    def close(self) -> None:
        if self.closed:
            return
        self.closed, self.exchange, self._failed = True, None, None
        for link in self.links.values():
            link.close()
            link.lost = do_nothing
        on_close, self.on_close = self.on_close, do_nothing
        on_close()


def _record(row: dict[str, Any], body: bytes) -> Record:
    """`body`: of a single message; a bundle has each one's in Base64."""
    key = row.get("key", "")
    value = base64.b64decode(row["body"]) if row["body"] is not None else body
    headers = (("id", row["id"].encode()), *((("key", key.encode()),) if key else ()))
    return Record(key.encode() if key else None, value, headers)  # the broker has the time


def murmur2(data: bytes) -> int:
    """The hash by which Java's clients choose a key's partition (seed 0x9747b28c)."""
    mask, m = 0xFFFFFFFF, 0x5BD1E995
    h = 0x9747B28C ^ len(data)
    whole = len(data) & ~3
    for at in range(0, whole, 4):
        k = int.from_bytes(data[at : at + 4], "little") * m & mask
        k = (k ^ k >> 24) * m & mask
        h = h * m & mask ^ k
    tail = data[whole:]
    if tail:
        h = (h ^ int.from_bytes(tail, "little")) * m & mask
    h = (h ^ h >> 13) * m & mask
    return h ^ h >> 15
