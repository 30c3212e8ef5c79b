"""A stand-in Kafka cluster on loopback: several nodes, one topic, scripted troubles. Written from the
protocol guide.

Its answers are made by the courier's own tables of fields, which the real clients check (test_real_clients).
"""

import asyncio
import contextlib
import struct
from collections import Counter

from madderbeam.transport.kafka import schemas
from madderbeam.transport.kafka.codec import Reader, Writer, decode, encode
from madderbeam.transport.kafka.front import versions
from madderbeam.transport.kafka.records import read_batches

SPOKEN = {
    api.key: api
    for api in (schemas.PRODUCE, schemas.METADATA, schemas.API_VERSIONS, schemas.INIT_PRODUCER_ID)
}


class Cluster:
    """`script`: what happens to each Produce in turn, then all is well. A step is a name:

    drop: written, and the connection ends; never: the connection ends before it is written; late: answered
    after a while; half: half an answer, then the end; wrong: another request's answer; spoilt: noise; silent:
    nothing; moved: the leader is another node from now on; or (code, throttle_ms), written if the code is 0.
    """

    def __init__(self, nodes=2, partitions=2, topic="orders"):
        self.count, self.partitions, self.topic, self.script = nodes, partitions, topic, []
        self.servers, self.ports, self.writers = [], [], set()
        self.effects, self.produced, self.metadata = Counter(), [], 0
        self.shift = 0  # of the leaders
        self.least = {}  # versions told, by call

    async def start(self):
        for n in range(self.count):
            server = await asyncio.start_server(lambda r, w, n=n: self._serve(n, r, w), "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])
        return self

    async def stop(self):
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.close()

    def leader(self, partition):
        return (partition + self.shift) % self.count

    async def _serve(self, node, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    size = struct.unpack(">i", await reader.readexactly(4))[0]
                    if not await self._call(node, Reader(await reader.readexactly(size)), writer):
                        return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _call(self, node, reader, writer):
        key, version, number = reader.fixed("int16"), reader.fixed("int16"), reader.fixed("int32")
        reader.take(max(0, reader.fixed("int16")))
        api = SPOKEN[key]
        flexible = api.is_flexible(version)
        if flexible:
            reader.tags()
        request = decode(api.request, reader, version, flexible)
        if api is schemas.API_VERSIONS:
            answer = versions(0)
        elif api is schemas.METADATA:
            answer = self._metadata()
        elif api is schemas.INIT_PRODUCER_ID:
            answer = {"error_code": 0, "producer_id": 7, "producer_epoch": 0}
        else:
            return await self._produce(node, request, version, number, writer)
        writer.write(self._frame(api, version, number, answer))
        return True

    def _frame(self, api, version, number, answer):
        head = Writer()
        head.fixed("int32", number)
        if api.is_flexible(version) and api is not schemas.API_VERSIONS:
            head.uvarint(0)
        body = head.bytes() + encode(api.response, answer, version, api.is_flexible(version))
        return struct.pack(">i", len(body)) + body

    def _metadata(self):
        self.metadata += 1
        parts = [
            {"error_code": 0, "index": n, "leader_id": self.leader(n), "replicas": [0], "isr": [0]}
            for n in range(self.partitions)
        ]
        return {
            "brokers": [{"node_id": n, "host": "127.0.0.1", "port": p} for n, p in enumerate(self.ports)],
            "cluster_id": "stand-in",
            "controller_id": 0,
            "topics": [{"error_code": 0, "name": self.topic, "partitions": parts}],
        }

    async def _produce(self, node, request, version, number, writer):
        step = self.script.pop(0) if self.script else (0, 0)
        if step == "never":
            return False
        row = request["topics"][0]["partitions"][0]
        records = read_batches(row["records"])[0].records
        self.produced.append(
            (
                node,
                row["index"],
                [dict(r.headers).get("id") for r in records],
                asyncio.get_running_loop().time(),
            )
        )
        if step == "moved":
            self.shift += 1
            step = (6, 0)
        code, throttle = step if isinstance(step, tuple) else (0, 0)
        if code == 0 and self.leader(row["index"]) != node:
            code = 6
        if code in (0, 7, 20, -1):  # what the log has
            self.effects.update(dict(r.headers)["id"].decode() for r in records)
        answer = self._frame(
            schemas.PRODUCE,
            version,
            number,
            {
                "topics": [
                    {
                        "name": self.topic,
                        "partitions": [{"index": row["index"], "error_code": code, "base_offset": 1}],
                    }
                ],
                "throttle_time_ms": throttle,
            },
        )
        if step == "drop":
            return False
        if step == "silent":
            await asyncio.sleep(60)
        if step == "late":
            await asyncio.sleep(0.3)
        if step == "half":
            writer.write(answer[: len(answer) // 2])
            return False
        if step == "wrong":
            answer = answer[:4] + struct.pack(">i", number + 5) + answer[8:]
        if step == "spoilt":
            answer = answer[:8] + b"\xff" * (len(answer) - 8)
        writer.write(answer)
        return True
