"""The framing of requests: RESP2 arrays of bulk strings.

Own code, since every length must be checked before anything is kept for it: the usual readers allocate an
array as soon as its length is told.
"""

from __future__ import annotations

from typing import Any

MAX_BODY = 64 * 1024
MAX_ITEMS = 16  # of one request; the longest command has five
MAX_REQUEST = MAX_BODY + 4096  # bytes of all its items together
MAX_LINE = 16  # bytes of a line with a length


class FramingError(ValueError):
    """Where the next request begins can't be known any more."""


class RequestReader:
    """Takes bytes as they come and gives whole requests."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at = 0  # what lies before is read
        self.items: list[bytes] = []
        self.missing = 0  # items that the request begun still lacks
        self.size = -1  # of the item whose length has been read
        self.total = 0

    def state(self) -> list[Any]:
        """All of it, as plain data."""
        return [bytes(self.buffer[self.at :]), self.items, self.missing, self.size, self.total]

    def restore(self, state: list[Any]) -> None:
        """Go on from what `state` gave."""
        buffer, self.items, self.missing, self.size, self.total = state
        self.buffer, self.at = bytearray(buffer), 0

    @property
    def midway(self) -> bool:
        """A request has begun and is not whole."""
        return self.missing > 0 or self.at < len(self.buffer)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are held: what has come, and the items of the request that has begun."""
        return len(self.buffer) + (self.total if self.missing else 0)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes; what was read already is dropped."""
        if self.at == len(self.buffer):
            self.buffer = bytearray(data)
        else:
            del self.buffer[: self.at]
            self.buffer += data
        self.at = 0

    def next(self) -> list[bytes] | None:
        """The next whole request, None while there is none."""
        if not self.missing:
            count = self._length(b"*", MAX_ITEMS)
            if count < 0:
                return None
            if count == 0:
                return []
            self.missing, self.items, self.total = count, [], 0
        while self.missing:
            if not self._item():
                return None
        items, self.items = self.items, []
        if self.at == len(self.buffer):  # what is read is not held until the next request comes
            self.buffer.clear()
            self.at = 0
        return items

    def _item(self) -> bool:
        if self.size < 0:
            self.size = self._length(b"$", MAX_BODY)
            if self.size < 0:
                return False
            self.total += self.size
            if self.total > MAX_REQUEST:
                raise FramingError("request too large")
        end = self.at + self.size
        if len(self.buffer) < end + 2:
            return False
        if self.buffer[end : end + 2] != b"\r\n":
            raise FramingError("an item is not as long as it says")
        self.items.append(bytes(self.buffer[self.at : end]))
        self.at, self.size, self.missing = end + 2, -1, self.missing - 1
        return True

    def _length(self, mark: bytes, most: int) -> int:
        """The number of a line like *5 or $12, -1 while the line is not whole."""
        buffer, at = self.buffer, self.at
        if at == len(buffer):
            return -1
        if buffer[at] != mark[0]:
            raise FramingError(f"expected '{mark.decode()}'")
        end = buffer.find(b"\r\n", at, at + MAX_LINE)
        if end < 0:
            if len(buffer) - at >= MAX_LINE:
                raise FramingError("a length without end")
            return -1
        digits = bytes(buffer[at + 1 : end])
        if not digits.isdigit():
            raise FramingError("invalid length")
        if int(digits) > most:
            raise FramingError(f"length over {most}")
        self.at = end + 2
        return int(digits)
