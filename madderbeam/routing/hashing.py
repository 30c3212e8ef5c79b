"""Hash methods: which server a key belongs to, and which ones after it.

Plain: the way of the Perl library Cache::Memcached, with which nginx's `hash KEY` is documented to be
compatible: (CRC-32 >> 16) & 0x7fff modulo the weights' sum; where that one can't be used the sum of this and
the hash of the try's number before the key, twenty times at most. Consistent: Ketama with 160 points for each
unit of weight, as of Cache::Memcached::Fast with ketama_points at 160 (ngx_http_upstream_module, `hash`).
"""

from __future__ import annotations

import struct
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence
from itertools import accumulate
from zlib import crc32

TRIES = 20
POINTS = 160
SLOT = 32  # bits below a point that hold its server's number
NUMBER = (1 << SLOT) - 1


def spread(*parts: int) -> float:
    """A number from 0 up to 1 that looks drawn, and is the same for the same parts."""
    mixed = 0x9E3779B97F4A7C15
    for part in parts:
        mixed = (mixed ^ part) * 0xBF58476D1CE4E5B9 % 2**64
        mixed = (mixed ^ mixed >> 31) * 0x94D049BB133111EB % 2**64
        mixed ^= mixed >> 29
    return mixed / 2**64


class Weighted:
    """Places 0, 1, ... by weight: a number below the sum stands for one of them."""

    def __init__(self, weights: Sequence[int]) -> None:
        self.ends = list(accumulate(weights))
        self.total = self.ends[-1] if self.ends else 0

    def place(self, number: int) -> int:
        return bisect_right(self.ends, number)


def plain(table: Weighted, key: str) -> Iterator[int]:
    """The places of a key, best first; some may come more than once."""
    found = _perl(key)
    for attempt in range(1, TRIES + 1):
        yield table.place(found % table.total)
        found += _perl(f"{attempt}{key}")


def _perl(text: str) -> int:
    return crc32(text.encode()) >> 16 & 0x7FFF


class Ring:
    """Consistent hash: servers' points on a circle of 32 bits. A server that comes or goes costs its own 160
    points for each unit of weight and one pass over the others; a look-up the logarithm of their number."""

    def __init__(self, servers: Iterable[tuple[int, str, int]], old: Ring | None = None) -> None:
        """`servers`: number, name and weight. `old`: a ring of which most are taken over."""
        self.servers = {(number, name, weight) for number, name, weight in servers}
        had = old.servers if old else set()
        gone = {number for number, _, _ in had - self.servers}
        kept = old.points if old else array("Q")
        points = [point for point in kept if point & NUMBER not in gone] if gone else list(kept)
        points += [
            point << SLOT | number
            for number, name, weight in self.servers - had
            for point in _points(name, weight)
        ]
        points.sort()  # two runs of which the first is sorted
        self.points: array[int] = array("Q", points)

    def order(self, key: str) -> Iterator[int]:
        """The servers' numbers from the key's point on, once around; the same one may come again."""
        start = bisect_left(self.points, crc32(key.encode()) << SLOT)
        for at in range(len(self.points)):
            yield self.points[(start + at) % len(self.points)] & NUMBER


def _points(name: str, weight: int) -> Iterator[int]:
    host, _, port = name.rpartition(":")
    base = crc32(f"{host or name}\0{port if host else ''}".encode())
    point = 0
    for _ in range(POINTS * weight):
        point = crc32(struct.pack("<I", point), base)
        yield point
