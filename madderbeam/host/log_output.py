"""Log lines of a courier's process: their number in a second, and their length, are bounded."""

from __future__ import annotations

import logging

from madderbeam.host import attempt_log
from madderbeam.ports import Clock
from madderbeam.ports.real import RealClock

MAX_LINES_PER_S, MAX_MESSAGE_LINES_PER_S = 50, 30
MAX_LINE_CHARS = 4_000  # readers of lines have bounds of their own: asyncio's streams 64 KiB


class LineRateFilter(logging.Filter):
    """Limits the log lines per second: a flood of them would stall the event loop.

    Lines on single messages have a limit of their own within it, so that they leave room for the others.
    """

    def __init__(self, clock: Clock, max_per_s: int, max_messages_per_s: int) -> None:
        super().__init__()
        self.clock, self.max_per_s, self.max_messages_per_s = clock, max_per_s, max_messages_per_s
        self.second = 0
        self.count = 0
        self.message_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is within the limits of the current second."""
        second = self.clock.monotonic_us() // 1_000_000
        if second != self.second:
            self.second, self.count, self.message_count = second, 0, 0
        if record.name == attempt_log.__name__:
            if self.message_count >= self.max_messages_per_s:
                return False
            self.message_count += 1
        self.count += 1
        return self.count <= self.max_per_s


class LineLengthFormatter(logging.Formatter):
    """Cuts long lines: they can hold what a partner has sent."""

    def format(self, record: logging.LogRecord) -> str:
        """The record's text, each of its lines within the bound."""
        return "\n".join(cut_line(line) for line in super().format(record).split("\n"))


def cut_line(line: str) -> str:
    """The line within MAX_LINE_CHARS; a longer one says how much it lacks."""
    if len(line) <= MAX_LINE_CHARS:
        return line
    return f"{line[:MAX_LINE_CHARS]}... ({len(line) - MAX_LINE_CHARS} characters cut)"


def log_to_stderr() -> None:
    """Log plain lines to standard error, at most 50 a second, 30 of them on single messages."""
    handler = logging.StreamHandler()
    handler.addFilter(LineRateFilter(RealClock(), MAX_LINES_PER_S, MAX_MESSAGE_LINES_PER_S))
    handler.setFormatter(LineLengthFormatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
