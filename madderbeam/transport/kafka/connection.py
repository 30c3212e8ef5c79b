"""Connections that speak the Kafka protocol, on the sockets' side of `clients`: frames, headers, order of
answers."""

from __future__ import annotations

import struct
from typing import Any

from madderbeam.ports import Socket
from madderbeam.transport.clients import Client, ClientServer, Reply
from madderbeam.transport.kafka import schemas
from madderbeam.transport.kafka.codec import Malformed, Reader, Writer, decode, encode
from madderbeam.transport.kafka.front import Front, Session, versions
from madderbeam.transport.kafka.schemas import APIS, Code
from madderbeam.transport.resp import FramingError

MOST_FRAME = 1 << 20  # bytes of one request
MAX_ELEMENTS = 10_000  # of all arrays of one request
HELD = 50  # requests that are read ahead of one that is not answered yet


class FrameReader:
    """Takes bytes as they come and gives whole frames: four bytes of length, then so many."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def midway(self) -> bool:
        return bool(self.buffer)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are held."""
        return len(self.buffer)

    def feed(self, data: bytes | memoryview) -> None:
        self.buffer += data

    def next(self) -> bytes | None:
        """The next whole frame, None while there is none; FramingError for a length out of bounds."""
        if len(self.buffer) < 4:
            return None
        size = struct.unpack_from(">i", self.buffer)[0]
        if not 8 <= size <= MOST_FRAME:
            raise FramingError(f"a request of {size} bytes")
        if len(self.buffer) < 4 + size:
            return None
        frame = bytes(self.buffer[4 : 4 + size])
        del self.buffer[: 4 + size]
        return frame

    def state(self) -> list[Any]:
        return [bytes(self.buffer)]

    def restore(self, state: list[Any]) -> None:
        self.buffer = bytearray(state[0])


class KafkaClient(Client):
    """One connection. A Produce is answered before the next request is read, so that what a producer
    pipelines is taken in its order; all else is answered as it comes, and answers leave in the order of
    their requests."""

    reads = FrameReader
    front: Front  # set on the class that a server is made with

    def __init__(self, server: ClientServer, sock: Socket) -> None:
        self.session, self.producing = (
            Session(alive=lambda: not self.closed and not self.close_if_reset()),
            False,
        )
        super().__init__(server, sock)

    def _takes(self) -> bool:
        return not self.producing and len(self.pending) < HELD and super()._takes()

    def _handle(self, request: bytes) -> None:
        try:
            self._frame(request)
        except Malformed:
            self.close()  # nothing can be told: without its header a request has no answer

    def _refuse(self, why: str) -> None:
        """The same: only what was read before is answered."""
        self._take_no_more()
        self.flush()

    def _reject_unread(self) -> None:
        self._refuse("")

    def _frame(self, frame: bytes) -> None:
        reader = Reader(frame, max_elements=MAX_ELEMENTS)
        key, version, number = reader.fixed("int16"), reader.fixed("int16"), reader.fixed("int32")
        api = APIS.get(key)
        if api is None:
            raise Malformed(f"call {key}")
        size = reader.fixed("int16")  # the client's id; null is -1
        reader.take(max(0, size))
        reply = self._reply()
        if not api.least <= version <= api.most:
            if api is not schemas.API_VERSIONS:
                raise Malformed(f"{api.name} of version {version}")
            self._answer(reply, api, 0, number, versions(Code.UNSUPPORTED_VERSION))
            return
        flexible = api.is_flexible(version)
        if flexible:
            reader.tags()
        request = decode(api.request, reader, version, flexible)
        silent = api is schemas.PRODUCE and request["acks"] == 0
        self.producing = api is schemas.PRODUCE

        def done(values: dict[str, Any]) -> None:
            if api is schemas.PRODUCE:
                self.producing = False
            if silent:
                if reply in self.pending:
                    self.pending.remove(reply)
                self.flush()
            else:
                self._answer(reply, api, version, number, values)

        if not self.front.call(self.session, api, version, request, done):
            raise Malformed("it has not logged in")
        self.useful = True

    def _answer(
        self, reply: Reply, api: schemas.Api, version: int, number: int, values: dict[str, Any]
    ) -> None:
        head = Writer()
        head.fixed("int32", number)
        if api.is_flexible(version) and api is not schemas.API_VERSIONS:
            head.uvarint(0)
        body = head.bytes() + encode(api.response, values, version, api.is_flexible(version))
        reply.send(struct.pack(">i", len(body)) + body)

    def close(self) -> None:
        super().close()
        self.front.leave(self.session)
        self.session = Session()  # which knew this connection


def connections(front: Front) -> type[KafkaClient]:
    """The class of a server's connections."""
    return type("KafkaClient", (KafkaClient,), {"front": front})
