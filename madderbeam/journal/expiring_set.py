"""Texts that are remembered until their time is up, each in the segment that tells of it."""

from __future__ import annotations

from collections.abc import Callable

MEMO = 12  # bytes that a remembered id or key takes in a record, beside itself

# One text: its time, when it expires, and the segment that it would be read from. A plain tuple of numbers:
# the garbage collector does not go through hundreds of thousands of them.
Entry = tuple[float, float, int]


class ExpiringSet:
    """Remembers a text's time until it expires, by buckets of a second: nothing is ever searched for.

    `moved` is called with each text whose home changes: text, old home, new home; 0 is none, as of a text
    that is remembered before its record is written.
    """

    def __init__(self, moved: Callable[[str, int, int], None] = lambda text, old, new: None) -> None:
        self.known: dict[str, Entry] = {}
        self.buckets: dict[int, list[str]] = {}
        self.due: list[str] = []  # whose time is up, and which are still to be looked at
        self.bytes = 0
        self.moved = moved

    def __contains__(self, text: str) -> bool:
        return text in self.known

    def __len__(self) -> int:
        return len(self.known)

    def at(self, text: str) -> float:
        """The text's time, 0 if it is not known."""
        return self.known[text][0] if text in self.known else 0.0

    def expires(self, text: str) -> float:
        """When the time of a known text is up."""
        return self.known[text][1]

    def home(self, text: str) -> int:
        """The segment that tells a text, 0 if none does."""
        return self.known[text][2] if text in self.known else 0

    def add(self, text: str, at: float, expires: float, home: int = 0) -> None:
        old = self.known.get(text)
        self.known[text] = (at, expires, home)
        if old is None:
            self.bytes += len(text) + MEMO
        if old is None or old[1] != expires:
            self.buckets.setdefault(int(expires) + 1, []).append(text)
        before = old[2] if old else 0
        if before != home:
            self.moved(text, before, home)

    def move(self, text: str, home: int) -> None:
        """It is told by another segment from now on, if it is known."""
        if (old := self.known.get(text)) and old[2] != home:
            self.known[text] = (old[0], old[1], home)
            self.moved(text, old[2], home)

    def drop(self, text: str) -> None:
        if old := self.known.pop(text, None):
            self.bytes -= len(text) + MEMO
            if old[2]:
                self.moved(text, old[2], 0)

    def ripen(self, now: float) -> None:
        """Look which buckets' time is up."""
        for bucket in [b for b in self.buckets if b <= now]:
            self.due += self.buckets.pop(bucket)

    def expire(self, now: float, most: int = 1 << 60) -> None:
        """Forget so many of those whose time is up: a second's worth at once would stall a busy loop."""
        self.ripen(now)
        for _ in range(min(most, len(self.due))):
            text = self.due.pop()
            if text in self.known and self.known[text][1] <= now:
                self.drop(text)
