"""Lines of a courier's log as `up` reads them from its standard error."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

MAX_LINE_BYTES = 1 << 16  # what a longer line has beyond is dropped
READ_BYTES = 1 << 16


async def log_lines(stream: asyncio.StreamReader) -> AsyncIterator[str]:
    """The lines of a stream up to its end, long ones cut: unlike the stream's own, it raises for none."""
    line, dropped = b"", 0
    while data := await stream.read(READ_BYTES):
        *ended, rest = data.split(b"\n")
        for part in ended:
            line, dropped = _extend(line, part, dropped)
            yield _text(line, dropped)
            line, dropped = b"", 0
        line, dropped = _extend(line, rest, dropped)
    if line:
        yield _text(line, dropped)


def _extend(line: bytes, part: bytes, dropped: int) -> tuple[bytes, int]:
    room = MAX_LINE_BYTES - len(line)
    return line + part[:room], dropped + max(0, len(part) - room)


def _text(line: bytes, dropped: int) -> str:
    text = line.decode("utf-8", "replace").rstrip()
    return f"{text}... ({dropped} bytes cut)" if dropped else text
