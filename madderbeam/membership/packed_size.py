"""Size of a row encoded with msgpack, computed without encoding it."""

from __future__ import annotations

from typing import Any


def packed_size(value: Any) -> int:
    """Bytes of None, bool, int (64 bits), str, bytes, and lists of them, as msgpack encodes them."""
    value_type = type(value)
    if value_type is str:
        count = len(value) if value.isascii() else len(value.encode())
        return count + (1 if count < 32 else 2 if count < 256 else 3 if count < 65_536 else 5)
    if value_type is int:
        if -32 <= value < 128:
            return 1
        size = value if value >= 0 else -value * 2 - 1
        return 2 if size < 1 << 8 else 3 if size < 1 << 16 else 5 if size < 1 << 32 else 9
    if value_type is bytes:
        count = len(value)
        return count + (2 if count < 256 else 3 if count < 65_536 else 5)
    if value is None or value_type is bool:
        return 1
    count = len(value)
    return (1 if count < 16 else 3 if count < 65_536 else 5) + sum(map(packed_size, value))
