"""JSON objects off a stream of bytes, however they are printed and cut into pieces."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

MOST = 1 << 24  # bytes of one object
OUTSIDE = re.compile(rb'[][{}"]')  # what matters of an object outside of its strings
INSIDE = re.compile(rb'["\\\n]')  # and inside: a line's end can't stand in a string
CLOSES = {b"]": b"[", b"}": b"{"}
BLANK = b" \t\r\n"


class Unreadable(ValueError):
    """What has come can't become an object, whatever follows: the stream is of no further use."""


class Values:
    """Finds where objects end by brackets and strings alone; each byte is looked at once."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.part = bytearray()  # of an object that is not whole
        self.looked = 0  # bytes of it that are understood
        self.open: list[bytes] = []  # its brackets
        self.quoted = False

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """The objects that have become whole, and None for an empty line between two. Unreadable ends it."""
        rest = data
        while rest:
            if not self.part:
                inner = rest.lstrip(BLANK)
                if b"\n" in rest[: len(rest) - len(inner)]:
                    yield None
                if not inner:
                    return
                if inner[:1] != b"{":
                    raise Unreadable(f"an object must begin with a brace, not {inner[:1]!r}")
                rest = inner
            self.part += rest
            end = self._end()
            if len(self.part) > self.most and not 0 <= end <= self.most:
                raise Unreadable(f"an object of over {self.most} bytes")
            if end < 0:
                return
            whole, rest = bytes(self.part[:end]), bytes(self.part[end:])
            self.part.clear()
            self.looked = 0
            yield _object(whole)

    def _end(self) -> int:
        """Where the object ends, -1 if it is not whole."""
        part, at = self.part, self.looked
        while found := (INSIDE if self.quoted else OUTSIDE).search(part, at):
            mark, at = found.group(), found.end()
            if mark == b'"':
                self.quoted = not self.quoted
            elif mark == b"\\":
                if at == len(part):  # what it goes with has not come
                    self.looked = at - 1
                    return -1
                at += 1
            elif mark == b"\n":
                raise Unreadable("a line ends amid a string")
            elif mark in CLOSES:
                if self.open.pop() != CLOSES[mark]:
                    raise Unreadable("brackets that do not match")
                if not self.open:
                    return at
            else:
                self.open.append(mark)
        self.looked = len(part)
        return -1


def _object(text: bytes) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Unreadable(str(error)) from None
    assert isinstance(value, dict)  # it begins with a brace
    return value
