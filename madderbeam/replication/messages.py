"""The messages between primary and standby, and their validation on receipt.

On the wire the primary is called owner, as in the table below.

hello    owner    [fence, settings digest, strict, silent_us, limit of the journal's bytes, name]
welcome  standby  [[[segment, size, digest], ...], whole]
fenced   standby  [fence]          the standby has been promoted
refused  standby  [code, why]
block    owner    [segment, offset, data, digest up to its end, position, bytes sent, stamp, fence]
drop     owner    [segment, position, bytes sent, stamp, fence]
midway   owner    []               until `whole` the copy is no earlier state of the journal
whole    owner    [position, bytes sent, stamp]
beat     owner    [stamp]
ack      standby  [position, bytes, stamp]
full     standby  []               its disk rejects the data
yield    standby  []               an operator moves the courier: shut down
released owner    []               it has shut down and writes nothing more
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import Row
from madderbeam.replication.values import MAX_BLOCK_BYTES

VERSION = 1
MAX_INTEGER = (1 << 63) - 1
_NUMBER, _BYTES, _TEXT, _FLAG, _LIST = "number", "bytes", "text", "flag", "list"
FIELD_KINDS: dict[str, tuple[str, ...]] = {
    "hello": (_NUMBER, _TEXT, _FLAG, _NUMBER, _NUMBER, _TEXT),
    "welcome": (_LIST, _FLAG),
    "fenced": (_NUMBER,),
    "refused": (_TEXT, _TEXT),
    "block": (_NUMBER, _NUMBER, _BYTES, _NUMBER, _NUMBER, _NUMBER, _NUMBER, _NUMBER),
    "drop": (_NUMBER, _NUMBER, _NUMBER, _NUMBER, _NUMBER),
    "midway": (),
    "whole": (_NUMBER, _NUMBER, _NUMBER),
    "beat": (_NUMBER,),
    "ack": (_NUMBER, _NUMBER, _NUMBER),
    "full": (),
    "yield": (),
    "released": (),
}
MAX_SEGMENTS = 1 << 16


class InvalidMessage(ValueError):
    """A message that does not conform to this protocol version; the text names the fault."""


def check(channel: str, row: Row) -> Row:
    """Return the row if it is valid for its channel, else raise InvalidMessage."""
    field_kinds = FIELD_KINDS.get(channel)
    if field_kinds is None:
        raise InvalidMessage(f"unknown channel {channel!r:.20}")
    if len(row) != len(field_kinds):
        raise InvalidMessage(f"{channel}: {len(row)} fields, expected {len(field_kinds)}")
    for index, (kind, value) in enumerate(zip(field_kinds, row, strict=True)):
        if not _is_valid_field(kind, value):
            raise InvalidMessage(f"{channel}: field {index} must be a {kind}, not {value!r:.40}")
    if channel == "welcome" and not all(_is_segment_entry(entry) for entry in row[0]):
        raise InvalidMessage("welcome: a segment entry must be [number, size, digest]")
    return row


def _is_valid_field(kind: str, value: Any) -> bool:
    if kind == _NUMBER:
        return type(value) is int and 0 <= value <= MAX_INTEGER
    if kind == _BYTES:
        return isinstance(value, bytes) and len(value) <= MAX_BLOCK_BYTES
    if kind == _TEXT:
        return isinstance(value, str) and len(value) <= 4096
    return (
        isinstance(value, bool) if kind == _FLAG else isinstance(value, list) and len(value) <= MAX_SEGMENTS
    )


def _is_segment_entry(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 3
        and all(_is_valid_field(_NUMBER, number) for number in value)
        and value[0] > 0
    )
