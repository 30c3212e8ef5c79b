"""Primitive types and messages by schema: one encoder and one decoder for all of them.

From the public protocol guide (kafka.apache.org/protocol, "Protocol Primitive Types") and KIP-482 for the
compact and tagged forms. Every length is held against what is left of the buffer before anything is taken
from it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

MOST_TAGS = 64
ALWAYS, NEVER = 0, 1 << 15
FIXED = {"int8": ">b", "int16": ">h", "int32": ">i", "int64": ">q", "uint32": ">I", "bool": ">?"}


class Malformed(ValueError):
    """Bytes that are no message of the protocol."""


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a schema. `kind`: a primitive's name, a schema (an array of structures), or a
    one-element list of a primitive's name (an array of these). It is there from version `since` to
    `until`; `null` says from which version on it may be null. `default` stands where a version lacks it
    and nothing is given."""

    name: str
    kind: Any
    since: int = ALWAYS
    until: int = NEVER
    null: int = NEVER
    default: Any = None

    def there(self, version: int) -> bool:
        return self.since <= version <= self.until


Schema = Sequence[Field]


class Reader:
    """Takes values off a buffer. Malformed where it ends too soon.

    `max_elements`: of all arrays together, each of which becomes an object; by default what fits in.
    """

    def __init__(self, data: bytes | memoryview, at: int = 0, max_elements: int | None = None) -> None:
        self.data, self.at = memoryview(data), at
        self.elements_left = len(self.data) if max_elements is None else max_elements

    @property
    def left(self) -> int:
        return len(self.data) - self.at

    def take(self, size: int) -> bytes:
        if not 0 <= size <= self.left:
            raise Malformed(f"{size} bytes wanted, {self.left} left")
        self.at += size
        return bytes(self.data[self.at - size : self.at])

    def fixed(self, kind: str) -> Any:
        form = FIXED[kind]
        size = struct.calcsize(form)
        if size > self.left:
            raise Malformed(f"ends within an {kind}")
        self.at += size
        return struct.unpack_from(form, self.data, self.at - size)[0]

    def uvarint(self) -> int:
        value = 0
        for shift in range(0, 70, 7):
            if self.at >= len(self.data):
                raise Malformed("ends within a varint")
            byte = self.data[self.at]
            self.at += 1
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value
        raise Malformed("a varint of over ten bytes")

    def varint(self) -> int:
        """Zigzag, as records use it."""
        value = self.uvarint()
        return (value >> 1) ^ -(value & 1)

    def size(self, compact: bool, form: str) -> int:
        """A length, -1 for null."""
        return self.uvarint() - 1 if compact else self.fixed(form)

    def tags(self) -> None:
        """Tagged fields, passed over."""
        count = self.uvarint()
        if count > MOST_TAGS:
            raise Malformed(f"{count} tagged fields")
        for _ in range(count):
            self.uvarint()
            self.take(self.uvarint())


class Writer:
    """Collects values."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def fixed(self, kind: str, value: Any) -> None:
        self.parts.append(struct.pack(FIXED[kind], value))

    def uvarint(self, value: int) -> None:
        data = bytearray()
        while value > 0x7F:
            data.append(value & 0x7F | 0x80)
            value >>= 7
        data.append(value)
        self.parts.append(bytes(data))

    def varint(self, value: int) -> None:
        self.uvarint((value << 1) ^ (value >> 63))

    def size(self, value: int, compact: bool, form: str) -> None:
        if compact:
            self.uvarint(value + 1)
        else:
            self.fixed(form, value)

    def put(self, data: bytes) -> None:
        self.parts.append(data)

    def bytes(self) -> bytes:
        return b"".join(self.parts)


LENGTHS = {"string": "int16", "bytes": "int32"}


def decode(schema: Schema, data: bytes | Reader, version: int, flexible: bool) -> dict[str, Any]:
    """A structure of this schema. Malformed for what can't be one; what follows it is left in a Reader."""
    reader = data if isinstance(data, Reader) else Reader(data)
    found = {}
    for field in schema:
        if field.there(version):
            found[field.name] = _read(field.kind, reader, version, flexible, version >= field.null)
        else:
            found[field.name] = field.default
    if flexible:
        reader.tags()
    return found


def _read(kind: Any, reader: Reader, version: int, flexible: bool, nullable: bool) -> Any:
    if isinstance(kind, str) and kind in FIXED:
        return reader.fixed(kind)
    if isinstance(kind, str):
        size = reader.size(flexible, LENGTHS[kind])
        if size < 0:
            if size != -1 or not nullable:
                raise Malformed(f"a {kind} of length {size}")
            return None
        data = reader.take(size)
        if kind == "bytes":
            return data
        try:
            return data.decode()
        except UnicodeDecodeError:
            raise Malformed("a string that is not UTF-8") from None
    count = reader.size(flexible, "int32")
    if count < 0:
        if count != -1 or not nullable:
            raise Malformed(f"an array of length {count}")
        return None
    if count > reader.left:  # each element takes a byte at least
        raise Malformed(f"an array of {count} in {reader.left} bytes")
    reader.elements_left -= count
    if reader.elements_left < 0:
        raise Malformed("arrays of too many elements")
    if isinstance(kind, list):
        return [_read(kind[0], reader, version, flexible, False) for _ in range(count)]
    return [decode(kind, reader, version, flexible) for _ in range(count)]


def encode(schema: Schema, values: Mapping[str, Any], version: int, flexible: bool) -> bytes:
    """The bytes of a structure; values that its version lacks are left out, those not given are defaults."""
    writer = Writer()
    _encode(schema, values, version, flexible, writer)
    return writer.bytes()


def _encode(schema: Schema, values: Mapping[str, Any], version: int, flexible: bool, writer: Writer) -> None:
    for field in schema:
        if field.there(version):
            value = values.get(field.name, field.default)
            _write(field.kind, value, version, flexible, writer)
    if flexible:
        writer.uvarint(0)


def _write(kind: Any, value: Any, version: int, flexible: bool, writer: Writer) -> None:
    if isinstance(kind, str) and kind in FIXED:
        writer.fixed(kind, value if value is not None else 0)
        return
    if isinstance(kind, str):
        if value is None:
            writer.size(-1, flexible, LENGTHS[kind])
            return
        data = value if isinstance(value, bytes) else value.encode()
        writer.size(len(data), flexible, LENGTHS[kind])
        writer.put(data)
        return
    if value is None:
        writer.size(-1, flexible, "int32")
        return
    rows: Iterable[Any] = list(value)
    writer.size(len(value), flexible, "int32")
    for row in rows:
        if isinstance(kind, list):
            _write(kind[0], row, version, flexible, writer)
        else:
            _encode(kind, row, version, flexible, writer)
