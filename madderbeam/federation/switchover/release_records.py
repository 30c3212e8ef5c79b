"""Release records: releases as a member stores them, and their encoding as rows and gossip bodies.

The spans of a release count from the moment at which it is sent, so a record that is passed on is shortened
by the time for which it was stored. Within a process the monotonic clock measures that time. Across a restart
it is the lesser of what the monotonic clock and the wall clock say, and zero if either went back. The
monotonic clock of a rebooted machine says too little, which is safe. So a wait is shortened too much only if
the state directory moved to a machine that has been up for longer and whose wall clock is ahead as well.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from madderbeam.federation.values import Release, RemainingSpan
from madderbeam.membership.values import MAX_ENTRY_BODY_BYTES, MAX_NAME_CHARS, MemberId, Row

MAX_SPANS = 1_000  # waits or draining endpoints of one release
MAX_UID_CHARACTERS = 64
MAX_SPAN_US = 24 * 3_600 * 1_000_000  # a longer wait or grace period is reduced to this
MAX_DESTINATION_NUMBER = 2**31 - 1
MAX_TABLE_NUMBER = 2**31 - 1
SOURCES = ("release", "lease", "off", "told")


@dataclass(frozen=True)
class ReleaseRecord:
    """A release as it was at `recorded_at_us`, with the wall clock at that time.

    `source`: "release" (the member's own), "lease" (its lease has ended), "off" (an operator declared it
    decommissioned) or "told" (the reply of another member to a query).
    """

    release: Release
    recorded_at_us: int
    wall_ms: int
    source: str = "release"

    def remaining(self, now_us: int) -> Release:
        """The release with the spans that remain now."""
        return shortened(self.release, now_us - self.recorded_at_us)

    def has_spans_left(self, now_us: int) -> bool:
        """Whether a wait or a draining endpoint's grace period has not ended."""
        release = self.remaining(now_us)
        return bool(release.retry_waits or release.draining)

    def row(self) -> Row:
        """The record as it is stored on disk."""
        return [self.source, release_row(self.release), self.recorded_at_us, self.wall_ms]


def record_from_row(row: Row) -> ReleaseRecord:
    """The record of a row that was written by the same process."""
    source, inner_row, recorded_at_us, wall_ms = row
    return ReleaseRecord(release_from_row(inner_row), recorded_at_us, wall_ms, source)


def restored(row: Row, now_us: int, wall_ms: int) -> ReleaseRecord:
    """The record of a row written before a restart, shortened by the time that has passed for certain.
    Raises ValueError.
    """
    source, inner_row, recorded_at_us, recorded_wall_ms = row
    elapsed_us = max(0, min(now_us - recorded_at_us, (wall_ms - recorded_wall_ms) * 1_000))
    return ReleaseRecord(shortened(release_from_row(inner_row), elapsed_us), now_us, wall_ms, source)


def shortened(release: Release, elapsed_us: int) -> Release:
    """The release with its spans shortened by the elapsed time; a negative time changes nothing."""
    elapsed_us = max(0, elapsed_us)
    return replace(
        release,
        retry_waits=_shorten_spans(release.retry_waits, elapsed_us),
        draining=_shorten_spans(release.draining, elapsed_us),
    )


def merged(release: Release, others: Iterable[Release]) -> Release:
    """The release with the constraints of others added: for each endpoint the longest span."""
    others = tuple(others)
    return replace(
        release,
        retry_waits=_longest(span for source in (release, *others) for span in source.retry_waits),
        draining=_longest(span for source in (release, *others) for span in source.draining),
        is_cold=release.is_cold or any(source.is_cold for source in others),
    )


def release_row(release: Release) -> Row:
    """The release as it is sent and stored."""
    return [
        release.dest,
        release.member.site,
        release.member.name,
        release.table_number,
        [[span.uid, span.remaining_us] for span in release.retry_waits],
        [[span.uid, span.remaining_us] for span in release.draining],
        release.is_cold,
    ]


def release_from_row(row: Any) -> Release:
    """The release of a row. Raises ValueError with the name of the field."""
    if not isinstance(row, (list, tuple)) or len(row) != 7:
        raise ValueError("release: allowed: a list of seven")
    dest, site, name, table_number, waits, draining, is_cold = row
    return Release(
        read_number(dest, "release.dest", MAX_DESTINATION_NUMBER),
        MemberId(read_text(site, "release.site"), read_text(name, "release.name")),
        read_number(table_number, "release.table", MAX_TABLE_NUMBER),
        _read_spans(waits, "release.waits"),
        _read_spans(draining, "release.draining"),
        read_flag(is_cold, "release.cold"),
    )


def gossip_body(release: Release) -> bytes:
    """The release as the body of a gossip entry.

    If the spans of all endpoints do not fit, the whole destination gets the longest of them, so that a call
    may come later than needed but never too early.
    """
    for candidate in (release, _with_single_wait(release, False), _with_single_wait(release, True)):
        encoded = json.dumps(release_row(candidate), separators=(",", ":"), ensure_ascii=False).encode()
        if len(encoded) <= MAX_ENTRY_BODY_BYTES:
            return encoded
    raise ValueError(f"release: {len(encoded)} bytes; allowed: {MAX_ENTRY_BODY_BYTES}")


def release_from_gossip(body: bytes) -> Release:
    """The release of a gossip entry's body. Raises ValueError with the name of the field."""
    if len(body) > MAX_ENTRY_BODY_BYTES:
        raise ValueError(f"release: {len(body)} bytes; allowed: {MAX_ENTRY_BODY_BYTES}")
    try:
        return release_from_row(json.loads(body))
    except RecursionError:
        raise ValueError("release: too deep") from None


def read_number(value: Any, field: str, maximum: int) -> int:
    """The value if it is an integer from 0 to `maximum`. Raises ValueError with the name of the field."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        raise ValueError(f"{field}: allowed: whole numbers from 0 to {maximum}")
    return value


def read_text(value: Any, field: str, max_characters: int = MAX_NAME_CHARS) -> str:
    """The value if it is a string of at most `max_characters`. Raises ValueError with the name of the
    field.
    """
    if not isinstance(value, str) or len(value) > max_characters:
        raise ValueError(f"{field}: allowed: text of at most {max_characters} characters")
    return value


def read_flag(value: Any, field: str) -> bool:
    """The value if it is a boolean. Raises ValueError with the name of the field."""
    if not isinstance(value, bool):
        raise ValueError(f"{field}: allowed: true, false")
    return value


def read_list(value: Any, field: str, max_items: int) -> Row:
    """The value as a list of at most `max_items`. Raises ValueError with the name of the field."""
    if not isinstance(value, (list, tuple)) or len(value) > max_items:
        raise ValueError(f"{field}: allowed: a list of at most {max_items}")
    return list(value)


def read_member(row: Any, field: str) -> MemberId:
    """The member of a row [site, name]. Raises ValueError with the name of the field."""
    if not isinstance(row, (list, tuple)) or len(row) != 2:
        raise ValueError(f"{field}: allowed: [site, name]")
    return MemberId(read_text(row[0], f"{field}.site"), read_text(row[1], f"{field}.name"))


def _read_spans(value: Any, field: str) -> tuple[RemainingSpan, ...]:
    spans = []
    for row in read_list(value, field, MAX_SPANS):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError(f"{field}: allowed: [uid, microseconds]")
        uid, remaining_us = row
        spans.append(
            RemainingSpan(
                read_text(uid, field, MAX_UID_CHARACTERS),
                min(read_number(remaining_us, field, 2**62), MAX_SPAN_US),
            )
        )
    return tuple(spans)


def _shorten_spans(spans: tuple[RemainingSpan, ...], elapsed_us: int) -> tuple[RemainingSpan, ...]:
    return tuple(
        RemainingSpan(span.uid, span.remaining_us - elapsed_us)
        for span in spans
        if span.remaining_us > elapsed_us
    )


def _longest(spans: Iterable[RemainingSpan]) -> tuple[RemainingSpan, ...]:
    longest: dict[str, int] = {}
    for span in spans:
        longest[span.uid] = max(span.remaining_us, longest.get(span.uid, 0))
    by_length = sorted(longest.items(), key=lambda item: -item[1])
    return tuple(RemainingSpan(uid, remaining_us) for uid, remaining_us in sorted(by_length[:MAX_SPANS]))


def _with_single_wait(release: Release, include_draining: bool) -> Release:
    """The release with one wait for the whole destination instead of one for each endpoint."""
    spans = release.retry_waits + (release.draining if include_draining else ())
    waits = (RemainingSpan("", max(span.remaining_us for span in spans)),) if spans else ()
    return replace(release, retry_waits=waits, draining=() if include_draining else release.draining)
