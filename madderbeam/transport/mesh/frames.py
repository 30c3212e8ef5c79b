"""The form of what members send each other: msgpack with bounds on every field.

A datagram, and the first frame of a connection, is a `Frame`: [version, federation, site, name, start, nonce,
channel, row]. What follows on a link is short, [channel, row, stamp], since the first frame has told the
rest. On a connection each frame stands behind its length, four bytes, the most significant first. Nothing
that comes is an error of this process: what isn't in this form raises `Strange`, and whoever reads counts it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from madderbeam.membership.values import NAME_MOST, Incarnation, MemberId, Row

VERSION = 2
DATAGRAM_MOST = 1400  # bytes: with its headers it fits into one Ethernet frame, also in a tunnel
STREAM_MOST = 2 << 20  # bytes of a frame on a connection, without its length
HEAD = 4  # bytes of a length
CHANNEL_MOST = 8  # characters
ITEMS_MOST = 1 << 16  # of one list
DEPTH_MOST = 32  # of lists in lists: whoever reads or shows a row may go down by calls
START_MOST = (1 << 63) - 1
NONCE_MOST = (1 << 64) - 1
STAMP_MOST = (1 << 53) - 1  # microseconds


class Strange(ValueError):
    """Not a frame of this federation's; the text names what is wrong with it."""

    def __init__(self, kind: str, what: str) -> None:
        """kind: what it is counted as, one of `KINDS`."""
        super().__init__(what)
        self.kind = kind


KINDS = ("broken", "version", "federation", "large")


@dataclass(frozen=True)
class Frame:
    """A row, and who sent it in which life."""

    sender: MemberId
    life: Incarnation
    channel: str
    row: Row


def pack(federation: str, frame: Frame, most: int = DATAGRAM_MOST) -> bytes:
    """The bytes of a whole frame. Strange("large") where they are more than `most`."""
    sender, life = frame.sender, frame.life
    return _pack(
        [VERSION, federation, sender.site, sender.name, life.start, life.nonce, frame.channel, frame.row],
        most,
    )


def unpack(federation: str, data: bytes | bytearray | memoryview, most: int = DATAGRAM_MOST) -> Frame:
    """The frame in these bytes. Strange for all that `pack` does not write for this federation."""
    value = _unpack(data, most)
    if not isinstance(value, list) or not value:
        raise Strange("broken", "not a list with a version")
    if type(value[0]) is not int or value[0] != VERSION:
        raise Strange("version", f"version: must be {VERSION}, not {value[0]!r:.40}")
    if len(value) != 8:
        raise Strange("broken", f"{len(value)} fields where 8 are due")
    _, name, site, member, start, nonce, channel, row = value
    if _text(name, "federation", NAME_MOST) != federation:
        raise Strange("federation", f"federation: {name!r} is not {federation!r}")
    sender = MemberId(_text(site, "site", NAME_MOST), _text(member, "name", NAME_MOST))
    life = Incarnation(_number(start, "start", START_MOST), _number(nonce, "nonce", NONCE_MOST))
    return Frame(sender, life, _text(channel, "channel", CHANNEL_MOST, least=0), _row(row))


def pack_short(channel: str, row: Row, stamp_us: int = 0) -> bytes:
    """A frame of a link that is up, with its length. Strange("large") if no connection takes it. stamp_us:
    when it was said, by the sender's clock since it began to make the link."""
    return lengthy(_pack([channel, row, stamp_us], STREAM_MOST))


def unpack_short(data: bytes | bytearray | memoryview) -> tuple[str, Row, int]:
    """Channel, row and stamp of a frame of a link that is up."""
    value = _unpack(data, STREAM_MOST)
    if not isinstance(value, list) or len(value) != 3:
        raise Strange("broken", "not a list of channel, row and stamp")
    return (
        _text(value[0], "channel", CHANNEL_MOST, least=0),
        _row(value[1]),
        _number(value[2], "stamp", STAMP_MOST),
    )


def lengthy(data: bytes) -> bytes:
    """A frame as it goes on a connection."""
    return len(data).to_bytes(HEAD, "big") + data


class Splitter:
    """Cuts what comes on a connection into frames; keeps what is not whole, never more than `most` of it."""

    def __init__(self, most: int = STREAM_MOST) -> None:
        self.most = most
        self.kept = bytearray()

    def feed(self, data: bytes | memoryview) -> Iterator[bytes]:
        """The frames that are whole now. Strange("large") if one is announced with more than `most` bytes:
        nothing that comes after can be read. `most` may be changed between two frames."""
        self.kept += data
        at = 0
        try:
            while len(self.kept) - at >= HEAD:
                size = int.from_bytes(self.kept[at : at + HEAD], "big")
                if size > self.most:
                    raise Strange("large", f"a frame of {size} bytes, {self.most} at most are allowed")
                end = at + HEAD + size
                if len(self.kept) < end:
                    return
                frame = bytes(self.kept[at + HEAD : end])
                at = end
                yield frame
        finally:
            del self.kept[:at]


def _pack(value: Row, most: int) -> bytes:
    data: bytes = msgpack.packb(value, use_bin_type=True)
    if len(data) > most:
        raise Strange("large", f"a frame of {len(data)} bytes, {most} at most are allowed")
    return data


def _unpack(data: bytes | bytearray | memoryview, most: int) -> Any:
    if len(data) > most:
        raise Strange("large", f"a frame of {len(data)} bytes, {most} at most are allowed")
    try:
        value = msgpack.unpackb(
            data,
            raw=False,
            strict_map_key=True,
            use_list=True,
            max_str_len=most,
            max_bin_len=most,
            max_array_len=ITEMS_MOST,
            max_map_len=ITEMS_MOST,
            max_ext_len=0,
        )
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        raise Strange("broken", f"not msgpack within bounds: {error!r:.80}") from None
    if _deep(value):
        raise Strange("broken", f"lists in lists, {DEPTH_MOST} at most are allowed")
    return value


def _deep(value: Any) -> bool:
    level = [value]
    for _ in range(DEPTH_MOST + 1):
        level = [
            inner
            for outer in level
            if isinstance(outer, (list, dict))
            for inner in (outer.values() if isinstance(outer, dict) else outer)
        ]
        if not level:
            return False
    return True


def _text(value: Any, field: str, most: int, least: int = 1) -> str:
    if not isinstance(value, str) or not least <= len(value) <= most:
        raise Strange("broken", f"{field}: must be a text of {least} to {most} characters")
    return value


def _number(value: Any, field: str, most: int) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise Strange("broken", f"{field}: must be a whole number from 0 to {most}")
    return value


def _row(value: Any) -> Row:
    if not isinstance(value, list):
        raise Strange("broken", "row: must be a list")
    return value
