"""How many bytes a row takes in msgpack, known without packing it."""

from __future__ import annotations

from typing import Any


def packed_size(value: Any) -> int:
    """Bytes of None, bool, int (64 bits), str, bytes, and lists of them, as msgpack writes them."""
    kind = type(value)
    if kind is str:
        n = len(value) if value.isascii() else len(value.encode())
        return n + (1 if n < 32 else 2 if n < 256 else 3 if n < 65_536 else 5)
    if kind is int:
        if -32 <= value < 128:
            return 1
        size = value if value >= 0 else -value * 2 - 1
        return 2 if size < 1 << 8 else 3 if size < 1 << 16 else 5 if size < 1 << 32 else 9
    if kind is bytes:
        n = len(value)
        return n + (2 if n < 256 else 3 if n < 65_536 else 5)
    if value is None or kind is bool:
        return 1
    n = len(value)
    return (1 if n < 16 else 3 if n < 65_536 else 5) + sum(map(packed_size, value))
