"""A map that never changes: a new one shares with the old all that did not."""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Mapping
from typing import Any

WIDTH = 256  # parts of a map


class Shared:
    """From text to values. A map of five thousand in which one value differs costs the two kilobytes of its
    parts' list and one part of some twenty rows. Its order is the same in every process."""

    __slots__ = ("count", "parts")

    def __init__(self, rows: Mapping[str, Any] | None = None) -> None:
        empty: dict[str, Any] = {}
        self.parts: tuple[dict[str, Any], ...] = (empty,) * WIDTH
        self.count = 0
        if rows:
            made = self.with_rows(rows)
            self.parts, self.count = made.parts, made.count

    def get(self, key: str) -> Any:
        """None if there is none."""
        return self.parts[_place(key)].get(key)

    def __contains__(self, key: str) -> bool:
        return key in self.parts[_place(key)]

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[str]:
        for part in self.parts:
            yield from part

    def items(self) -> Iterator[tuple[str, Any]]:
        for part in self.parts:
            yield from part.items()

    def values(self) -> Iterator[Any]:
        for part in self.parts:
            yield from part.values()

    def with_rows(self, rows: Mapping[str, Any]) -> Shared:
        """The same with these; a value of None takes its key out."""
        fresh: dict[int, dict[str, Any]] = {}
        count = self.count
        for key, value in rows.items():
            place = _place(key)
            part = fresh.get(place)
            if part is None:
                part = fresh[place] = dict(self.parts[place])
            count += (value is not None) - (key in part)
            if value is None:
                part.pop(key, None)
            else:
                part[key] = value
        made = Shared()
        made.parts = tuple(fresh.get(n, part) for n, part in enumerate(self.parts)) if fresh else self.parts
        made.count = count
        return made

    def differing(self, other: Shared) -> Iterator[str]:
        """The keys whose values differ."""
        return (key for key, _, _ in self.differences(other))

    def differences(self, other: Shared) -> Iterator[tuple[str, Any, Any]]:
        """Each key whose values differ, with both; parts that are shared are not looked at."""
        for mine, its in zip(self.parts, other.parts, strict=True):
            if mine is its:
                continue
            for key in (*mine, *(k for k in its if k not in mine)):
                old, new = mine.get(key), its.get(key)
                if old is not new and old != new:
                    yield key, old, new

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Shared) and next(self.differing(other), None) is None

    __hash__ = None  # type: ignore[assignment]


def _place(key: str) -> int:
    return zlib.crc32(key.encode()) % WIDTH
