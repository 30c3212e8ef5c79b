"""The frames that members exchange: msgpack with bounds on every field.

A datagram, and the first frame of a connection, is a `Frame`: [version, federation, site, name, start, nonce,
channel, row]; `start` counts the starts of the sender. Later frames on a link are short, [channel, row,
stamp], since the first frame identifies the sender. On a connection each frame is preceded by its length,
four bytes, big-endian. Malformed input raises `InvalidFrame` and no other exception; the reader counts it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from madderbeam.membership.messages import MAX_STATE_ITEMS
from madderbeam.membership.values import MAX_NAME_CHARS, Incarnation, MemberId, Row

VERSION = 2
MAX_DATAGRAM_BYTES = 1400  # bytes: with its headers it fits into one Ethernet frame, even in a tunnel
MAX_STREAM_FRAME_BYTES = 2 << 20  # bytes of a frame on a connection, without its length prefix
LENGTH_PREFIX_BYTES = 4  # bytes of a length prefix
MAX_CHANNEL_CHARS = 8  # characters
MAX_ITEMS = 1 << 16  # items of one list or map
MAX_FRAME_ITEMS = 300_000  # items of all lists and maps of one frame together
# The largest first frame of a connection is a full state: reports of 12 fields and entries of 6.
MAX_FIRST_LIST_ITEMS = MAX_STATE_ITEMS  # items of one list or map
MAX_FIRST_FRAME_ITEMS = MAX_STATE_ITEMS * (13 + 7) + 64  # items of all lists and maps together
MAX_DEPTH = 32  # nesting of lists and maps, bounded because readers may recurse
MAX_START = (1 << 63) - 1
MAX_NONCE = (1 << 64) - 1
MAX_STAMP_US = (1 << 53) - 1  # microseconds


class InvalidFrame(ValueError):
    """Not a valid frame of this federation; the text names the fault."""

    def __init__(self, kind: str, description: str) -> None:
        """kind: the suffix of its counter, one of `KINDS`."""
        super().__init__(description)
        self.kind = kind


KINDS = ("broken", "version", "federation", "large")


@dataclass(frozen=True)
class Frame:
    """A row with its sender and the sender's incarnation."""

    sender: MemberId
    incarnation: Incarnation
    channel: str
    row: Row


def pack(federation: str, frame: Frame, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
    """Encode a whole frame. InvalidFrame("large") if it takes more than `max_bytes` bytes."""
    sender, incarnation = frame.sender, frame.incarnation
    return _pack(
        [
            VERSION,
            federation,
            sender.site,
            sender.name,
            incarnation.start,
            incarnation.nonce,
            frame.channel,
            frame.row,
        ],
        max_bytes,
    )


def unpack(
    federation: str, data: bytes | bytearray | memoryview, max_bytes: int = MAX_DATAGRAM_BYTES
) -> Frame:
    """Decode a frame. InvalidFrame for anything that `pack` does not write for this federation."""
    value = _decode_msgpack(data, max_bytes, MAX_FIRST_LIST_ITEMS, MAX_FIRST_FRAME_ITEMS)
    if not isinstance(value, list) or not value:
        raise InvalidFrame("broken", "not a list with a version")
    if type(value[0]) is not int or value[0] != VERSION:
        raise InvalidFrame("version", f"version: must be {VERSION}, not {value[0]!r:.40}")
    if len(value) != 8:
        raise InvalidFrame("broken", f"{len(value)} fields instead of 8")
    _, name, site, member, start, nonce, channel, row = value
    if _text(name, "federation", MAX_NAME_CHARS) != federation:
        raise InvalidFrame("federation", f"federation: {name!r} is not {federation!r}")
    sender = MemberId(_text(site, "site", MAX_NAME_CHARS), _text(member, "name", MAX_NAME_CHARS))
    incarnation = Incarnation(_number(start, "start", MAX_START), _number(nonce, "nonce", MAX_NONCE))
    return Frame(sender, incarnation, _text(channel, "channel", MAX_CHANNEL_CHARS, min_chars=0), _row(row))


def pack_link_frame(channel: str, row: Row, stamp_us: int = 0) -> bytes:
    """Encode a frame of an established link, with its length.

    InvalidFrame("large") if it is too large for a connection. stamp_us: when it was sent, by the sender's
    clock, from the moment at which it started to connect.
    """
    return with_length(_pack([channel, row, stamp_us], MAX_STREAM_FRAME_BYTES))


def unpack_link_frame(data: bytes | bytearray | memoryview) -> tuple[str, Row, int]:
    """Decode a frame of an established link: channel, row and stamp. InvalidFrame if it is not one."""
    value = _decode_msgpack(data, MAX_STREAM_FRAME_BYTES)
    if not isinstance(value, list) or len(value) != 3:
        raise InvalidFrame("broken", "not a list of channel, row and stamp")
    return (
        _text(value[0], "channel", MAX_CHANNEL_CHARS, min_chars=0),
        _row(value[1]),
        _number(value[2], "stamp", MAX_STAMP_US),
    )


def with_length(data: bytes) -> bytes:
    """The frame as it is written to a connection, with its length in front."""
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


class FrameSplitter:
    """Splits a byte stream into frames; buffers at most one incomplete frame of `max_bytes` bytes."""

    def __init__(self, max_bytes: int = MAX_STREAM_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[bytes]:
        """The frames that are complete now.

        InvalidFrame("large") if a frame of more than `max_bytes` is announced: nothing behind it can be read.
        `max_bytes` may be changed between two frames.
        """
        self.buffer += data
        position = 0
        try:
            while len(self.buffer) - position >= LENGTH_PREFIX_BYTES:
                size = int.from_bytes(self.buffer[position : position + LENGTH_PREFIX_BYTES], "big")
                if size > self.max_bytes:
                    raise InvalidFrame(
                        "large", f"frame of {size} bytes exceeds the limit of {self.max_bytes}"
                    )
                end = position + LENGTH_PREFIX_BYTES + size
                if len(self.buffer) < end:
                    return
                frame = bytes(self.buffer[position + LENGTH_PREFIX_BYTES : end])
                position = end
                yield frame
        finally:
            del self.buffer[:position]


def _pack(value: Row, max_bytes: int) -> bytes:
    data: bytes = msgpack.packb(value, use_bin_type=True)
    if len(data) > max_bytes:
        raise InvalidFrame("large", f"frame of {len(data)} bytes exceeds the limit of {max_bytes}")
    return data


class _ItemCount:
    """Counts the items of a frame while it is decoded; ValueError once there are too many."""

    def __init__(self, max_count: int) -> None:
        self.count, self.max_count = 0, max_count

    def add(self, items: Any) -> Any:
        """Count a list or map that is whole, and return it."""
        self.count += len(items)
        if self.count > self.max_count:
            raise ValueError(f"over {self.max_count} items")
        return items


def _decode_msgpack(
    data: bytes | bytearray | memoryview,
    max_bytes: int,
    max_list_items: int = MAX_ITEMS,
    max_items: int = MAX_FRAME_ITEMS,
) -> Any:
    if len(data) > max_bytes:
        raise InvalidFrame("large", f"frame of {len(data)} bytes exceeds the limit of {max_bytes}")
    # Each item takes a byte at least, so only a large frame can hold too many.
    hook = _ItemCount(max_items).add if len(data) > max_items else None
    # The decoder allocates a list as soon as it has read its length.
    max_list_items = min(max_list_items, len(data))
    try:
        value = msgpack.unpackb(
            data,
            raw=False,
            strict_map_key=True,
            use_list=True,
            max_str_len=max_bytes,
            max_bin_len=max_bytes,
            max_array_len=max_list_items,
            max_map_len=max_list_items,
            list_hook=hook,
            object_hook=hook,
            max_ext_len=0,
        )
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        raise InvalidFrame("broken", f"not msgpack within bounds: {error!r:.80}") from None
    if _is_too_deep(value):
        raise InvalidFrame("broken", f"lists and maps are nested deeper than {MAX_DEPTH} levels")
    return value


def _is_too_deep(value: Any) -> bool:
    nodes = [value]
    for _ in range(MAX_DEPTH + 1):
        nodes = [
            inner
            for outer in nodes
            if isinstance(outer, (list, dict))
            for inner in (outer.values() if isinstance(outer, dict) else outer)
        ]
        if not nodes:
            return False
    return True


def _text(value: Any, field: str, max_chars: int, min_chars: int = 1) -> str:
    if not isinstance(value, str) or not min_chars <= len(value) <= max_chars:
        raise InvalidFrame("broken", f"{field}: must be a string of {min_chars} to {max_chars} characters")
    return value


def _number(value: Any, field: str, maximum: int) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise InvalidFrame("broken", f"{field}: must be a whole number from 0 to {maximum}")
    return value


def _row(value: Any) -> Row:
    if not isinstance(value, list):
        raise InvalidFrame("broken", "row: must be a list")
    return value
