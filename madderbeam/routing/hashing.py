"""Hash methods: map a key to a server, and to the fallbacks after it.

The plain method is that of the Perl library Cache::Memcached, with which nginx's `hash KEY` is documented to
be compatible: (CRC-32 >> 16) & 0x7fff modulo the sum of the weights. If that server is unusable, the hash of
the attempt number followed by the key is added, up to twenty times. The consistent method is Ketama with 160
points per unit of weight, as Cache::Memcached::Fast with ketama_points=160
(ngx_http_upstream_module, `hash`).
"""

from __future__ import annotations

import struct
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence
from itertools import accumulate
from zlib import crc32

MAX_HASH_ATTEMPTS = 20
POINTS_PER_WEIGHT = 160
SERVER_BITS = 32  # the low bits of a ring entry hold the server's number, the high bits its point
SERVER_MASK = (1 << SERVER_BITS) - 1


def uniform_hash(*parts: int) -> float:
    """Return a pseudorandom number in [0, 1) that depends only on `parts`."""
    mixed = 0x9E3779B97F4A7C15
    for part in parts:
        mixed = (mixed ^ part) * 0xBF58476D1CE4E5B9 % 2**64
        mixed = (mixed ^ mixed >> 31) * 0x94D049BB133111EB % 2**64
        mixed ^= mixed >> 29
    return mixed / 2**64


class WeightedSlots:
    """Maps each whole number below the sum of the weights to the index of a weight, in proportion to it."""

    def __init__(self, weights: Sequence[int]) -> None:
        self.cumulative_weights = list(accumulate(weights))
        self.total = self.cumulative_weights[-1] if self.cumulative_weights else 0

    def slot(self, number: int) -> int:
        """Return the index that `number`, from 0 to `total` - 1, belongs to."""
        return bisect_right(self.cumulative_weights, number)


def memcached_slots(table: WeightedSlots, key: str) -> Iterator[int]:
    """Yield the server indexes of a key, best first; an index may be repeated."""
    key_hash = _memcached_hash(key)
    for attempt in range(1, MAX_HASH_ATTEMPTS + 1):
        yield table.slot(key_hash % table.total)
        key_hash += _memcached_hash(f"{attempt}{key}")


def _memcached_hash(text: str) -> int:
    return crc32(text.encode()) >> 16 & 0x7FFF


class Ring:
    """Consistent hash ring with 32-bit points.

    Adding or removing a server costs its own 160 points per unit of weight and one pass over the others; a
    lookup costs the logarithm of the number of points.
    """

    def __init__(self, servers: Iterable[tuple[int, str, int]], previous_ring: Ring | None = None) -> None:
        """Build a ring of `servers` (number, name, weight), reusing the points of `previous_ring`."""
        self.servers = {(number, name, weight) for number, name, weight in servers}
        previous = previous_ring.servers if previous_ring else set()
        removed = {number for number, _, _ in previous - self.servers}
        kept = previous_ring.points if previous_ring else array("Q")
        points = [point for point in kept if point & SERVER_MASK not in removed] if removed else list(kept)
        points += [
            point << SERVER_BITS | number
            for number, name, weight in self.servers - previous
            for point in _ketama_points(name, weight)
        ]
        points.sort()  # the kept points are sorted already, which makes this cheap
        self.points: array[int] = array("Q", points)

    def order(self, key: str) -> Iterator[int]:
        """Yield the servers' numbers clockwise from the key's point, once around; numbers may be repeated."""
        start = bisect_left(self.points, crc32(key.encode()) << SERVER_BITS)
        for offset in range(len(self.points)):
            yield self.points[(start + offset) % len(self.points)] & SERVER_MASK


def _ketama_points(name: str, weight: int) -> Iterator[int]:
    host, _, port = name.rpartition(":")
    base = crc32(f"{host or name}\0{port if host else ''}".encode())
    point = 0
    for _ in range(POINTS_PER_WEIGHT * weight):
        point = crc32(struct.pack("<I", point), base)
        yield point
