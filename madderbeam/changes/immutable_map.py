"""An immutable map whose modified copies share all unchanged parts with the original."""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Mapping
from typing import Any

BUCKET_COUNT = 256  # of each map


class ImmutableMap:
    """Maps strings to values. A copy of a 5,000-row map with one changed value costs two kilobytes for the
    list of buckets and one bucket of about twenty rows. The iteration order is the same in every process."""

    __slots__ = ("buckets", "count")

    def __init__(self, rows: Mapping[str, Any] | None = None) -> None:
        empty: dict[str, Any] = {}
        self.buckets: tuple[dict[str, Any], ...] = (empty,) * BUCKET_COUNT
        self.count = 0
        if rows:
            copy = self.with_rows(rows)
            self.buckets, self.count = copy.buckets, copy.count

    def get(self, key: str) -> Any:
        """Return the value, None if the key is absent."""
        return self.buckets[_bucket_index(key)].get(key)

    def __contains__(self, key: str) -> bool:
        return key in self.buckets[_bucket_index(key)]

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[str]:
        for bucket in self.buckets:
            yield from bucket

    def items(self) -> Iterator[tuple[str, Any]]:
        """Yield all keys with their values."""
        for bucket in self.buckets:
            yield from bucket.items()

    def values(self) -> Iterator[Any]:
        """Yield all values."""
        for bucket in self.buckets:
            yield from bucket.values()

    def with_rows(self, rows: Mapping[str, Any]) -> ImmutableMap:
        """Return a copy with these rows replaced; a value of None removes the key."""
        new_buckets: dict[int, dict[str, Any]] = {}
        count = self.count
        for key, value in rows.items():
            index = _bucket_index(key)
            bucket = new_buckets.get(index)
            if bucket is None:
                bucket = new_buckets[index] = dict(self.buckets[index])
            count += (value is not None) - (key in bucket)
            if value is None:
                bucket.pop(key, None)
            else:
                bucket[key] = value
        copy = ImmutableMap()
        copy.buckets = (
            tuple(new_buckets.get(number, bucket) for number, bucket in enumerate(self.buckets))
            if new_buckets
            else self.buckets
        )
        copy.count = count
        return copy

    def differing_keys(self, other: ImmutableMap) -> Iterator[str]:
        """Yield the keys whose values differ."""
        return (key for key, _, _ in self.differences(other))

    def differences(self, other: ImmutableMap) -> Iterator[tuple[str, Any, Any]]:
        """Yield each key whose values differ, with both values; skips buckets that both maps share."""
        for own_bucket, other_bucket in zip(self.buckets, other.buckets, strict=True):
            if own_bucket is other_bucket:
                continue
            for key in (
                *own_bucket,
                *(other_key for other_key in other_bucket if other_key not in own_bucket),
            ):
                old, new = own_bucket.get(key), other_bucket.get(key)
                if old is not new and old != new:
                    yield key, old, new

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ImmutableMap) and next(self.differing_keys(other), None) is None

    __hash__ = None  # type: ignore[assignment]


def _bucket_index(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKET_COUNT
