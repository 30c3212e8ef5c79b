"""Releases as they lie at a member: their spans shrink with time, and each fits into a rumour.

A span that is passed on counts from the moment at which it is passed on. Within a process the monotonic clock
tells how long a release has lain. Across a restart the lesser of what the monotonic and the wall clock tell
is taken off, and nothing where either went back: the monotonic clock of a machine that was started anew tells
less than the truth, so a wait is shortened too much only where a folder moved to a machine that has been up
for longer and whose wall clock is ahead as well.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from madderbeam.federation.values import Release, RemainingSpan
from madderbeam.membership.values import MAX_ENTRY_BODY_BYTES, MAX_NAME_CHARS, MemberId, Row

WAITS_MOST = 1_000  # of a release
UID_MOST = 64
SPAN_MOST_US = 24 * 3_600 * 1_000_000  # a wait or grace beyond it is taken as this
DEST_MOST = 2**31 - 1
NUMBER_MOST = 2**31 - 1
HOWS = ("release", "lease", "off", "told")


@dataclass(frozen=True)
class ReleaseRecord:
    """A release as it was at `at_us`. `how` it is known: by the release itself, by the end of a lease, by an
    operator's word, or as a voter told it."""

    release: Release
    at_us: int
    wall_ms: int
    how: str = "release"

    def left(self, now_us: int) -> Release:
        """What is left of it now."""
        return shrunk(self.release, now_us - self.at_us)

    def binds(self, now_us: int) -> bool:
        """Some wait or drain is not over."""
        left = self.left(now_us)
        return bool(left.retry_waits or left.draining)

    def row(self) -> Row:
        """As it is kept on disk."""
        return [self.how, release_row(self.release), self.at_us, self.wall_ms]


def of_row(row: Row) -> ReleaseRecord:
    """As it was kept, within the same process."""
    how, inner, at_us, wall_ms = row
    return ReleaseRecord(release_of(inner), at_us, wall_ms, how)


def revived(row: Row, now_us: int, wall_ms: int) -> ReleaseRecord:
    """What is left of a kept one after a restart. Raises ValueError."""
    how, inner, at_us, was_ms = row
    lain_us = max(0, min(now_us - at_us, (wall_ms - was_ms) * 1_000))
    return ReleaseRecord(shrunk(release_of(inner), lain_us), now_us, wall_ms, how)


def shrunk(release: Release, lain_us: int) -> Release:
    """Less the time that it has lain (never grown)."""
    lain_us = max(0, lain_us)
    return replace(
        release, retry_waits=_less(release.retry_waits, lain_us), draining=_less(release.draining, lain_us)
    )


def merged(release: Release, others: Iterable[Release]) -> Release:
    """With what others passed on as well: of each endpoint the longest span."""
    others = tuple(others)
    return replace(
        release,
        retry_waits=_longest(w for r in (release, *others) for w in r.retry_waits),
        draining=_longest(w for r in (release, *others) for w in r.draining),
        is_cold=release.is_cold or any(r.is_cold for r in others),
    )


def release_row(release: Release) -> Row:
    return [
        release.dest,
        release.member.site,
        release.member.name,
        release.table_number,
        [[w.uid, w.remaining_us] for w in release.retry_waits],
        [[w.uid, w.remaining_us] for w in release.draining],
        release.is_cold,
    ]


def release_of(row: Any) -> Release:
    """Raises ValueError that names the field."""
    if not isinstance(row, (list, tuple)) or len(row) != 7:
        raise ValueError("release: allowed: a list of seven")
    dest, site, name, table, waits, draining, cold = row
    return Release(
        number(dest, "release.dest", DEST_MOST),
        MemberId(text(site, "release.site"), text(name, "release.name")),
        number(table, "release.table", NUMBER_MOST),
        _spans(waits, "release.waits"),
        _spans(draining, "release.draining"),
        flag(cold, "release.cold"),
    )


def body(release: Release) -> bytes:
    """As a rumour's body. Where that has no room for each endpoint, the whole destination waits as long as
    the longest: later than needed, never sooner."""
    for form in (release, _gathered(release, False), _gathered(release, True)):
        packed = json.dumps(release_row(form), separators=(",", ":"), ensure_ascii=False).encode()
        if len(packed) <= MAX_ENTRY_BODY_BYTES:
            return packed
    raise ValueError(f"release: {len(packed)} bytes; allowed: {MAX_ENTRY_BODY_BYTES}")


def of_body(packed: bytes) -> Release:
    """Raises ValueError that names the field."""
    if len(packed) > MAX_ENTRY_BODY_BYTES:
        raise ValueError(f"release: {len(packed)} bytes; allowed: {MAX_ENTRY_BODY_BYTES}")
    try:
        return release_of(json.loads(packed))
    except RecursionError:
        raise ValueError("release: too deep") from None


def number(value: Any, field: str, most: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        raise ValueError(f"{field}: allowed: whole numbers from 0 to {most}")
    return value


def text(value: Any, field: str, most: int = MAX_NAME_CHARS) -> str:
    if not isinstance(value, str) or len(value) > most:
        raise ValueError(f"{field}: allowed: text of at most {most} characters")
    return value


def flag(value: Any, field: str) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{field}: allowed: true, false")
    return value


def listed(value: Any, field: str, most: int) -> Row:
    if not isinstance(value, (list, tuple)) or len(value) > most:
        raise ValueError(f"{field}: allowed: a list of at most {most}")
    return list(value)


def member_of(row: Any, field: str) -> MemberId:
    """Of [site, name]."""
    if not isinstance(row, (list, tuple)) or len(row) != 2:
        raise ValueError(f"{field}: allowed: [site, name]")
    return MemberId(text(row[0], f"{field}.site"), text(row[1], f"{field}.name"))


def _spans(value: Any, field: str) -> tuple[RemainingSpan, ...]:
    found = []
    for row in listed(value, field, WAITS_MOST):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError(f"{field}: allowed: [uid, microseconds]")
        uid, left_us = row
        found.append(
            RemainingSpan(text(uid, field, UID_MOST), min(number(left_us, field, 2**62), SPAN_MOST_US))
        )
    return tuple(found)


def _less(spans: tuple[RemainingSpan, ...], lain_us: int) -> tuple[RemainingSpan, ...]:
    return tuple(RemainingSpan(w.uid, w.remaining_us - lain_us) for w in spans if w.remaining_us > lain_us)


def _longest(spans: Iterable[RemainingSpan]) -> tuple[RemainingSpan, ...]:
    most: dict[str, int] = {}
    for w in spans:
        most[w.uid] = max(w.remaining_us, most.get(w.uid, 0))
    kept = sorted(most.items(), key=lambda item: -item[1])
    return tuple(RemainingSpan(uid, left) for uid, left in sorted(kept[:WAITS_MOST]))


def _gathered(release: Release, drains: bool) -> Release:
    """One wait for the whole destination in place of those of its endpoints (and of what drains)."""
    spans = release.retry_waits + (release.draining if drains else ())
    waits = (RemainingSpan("", max(w.remaining_us for w in spans)),) if spans else ()
    return replace(release, retry_waits=waits, draining=() if drains else release.draining)
