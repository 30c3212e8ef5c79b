"""Immutable values: configuration snapshots, changes and the operations on one row.

A snapshot holds everything that the handling of a message depends on, as rows by (section, name):

    endpoint             its uid        address, destination and announced properties
    class, tenant, kind  its name       numbered: messages refer to them by number, so no number is reused
    pool                 a destination  how an endpoint is chosen there, in the format of the routing package
    name                 partner name   its destination
    limit                its name       one number
    whole                routes, quota  the routes in their order; the quota tree
    fixed                its name       settings that only a restart changes, where validation needs them
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.changes.immutable_map import ImmutableMap

Key = tuple[str, str]  # section, name
NUMBERED_SECTIONS = ("class", "tenant", "kind")
SECTION_NAMES = ("endpoint", *NUMBERED_SECTIONS, "pool", "name", "limit", "whole", "fixed")
READY, DRAINING = "in_service", "terminating"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of the partner list."""

    uid: str
    dest: int
    address: str
    per_s: float
    zone: str = "here"
    kind: str = "plain"
    state: str = READY
    topic: str = ""
    topics: tuple[str, ...] = ()

    def as_draining(self) -> Endpoint:
        """Return a copy in the draining state."""
        return Endpoint(
            self.uid,
            self.dest,
            self.address,
            self.per_s,
            self.zone,
            self.kind,
            DRAINING,
            self.topic,
            self.topics,
        )


@dataclass(frozen=True)
class Snapshot:
    """One version of the configuration. Versions grow by one; that of a rolled back change is not reused."""

    version: int
    sections: Mapping[str, ImmutableMap]

    def get(self, key: Key) -> Any:
        """Return the row or None. Includes rows of retired classes, tenants and kinds (see `get_active`)."""
        return self.sections[key[0]].get(key[1])

    def get_active(self, key: Key) -> Any:
        """Return the row if new messages may use it, else None."""
        row = self.get(key)
        return None if row is None or (key[0] in NUMBERED_SECTIONS and row["retired"]) else row

    def active_names(self, section: str) -> list[str]:
        """Return the sorted names in a section that new messages may use."""
        rows = self.sections[section].items()
        return sorted(n for n, row in rows if section not in NUMBERED_SECTIONS or not row["retired"])

    @property
    def endpoints(self) -> ImmutableMap:
        """The endpoints by uid."""
        return self.sections["endpoint"]

    def with_rows(self, rows: Mapping[Key, Any], version: int) -> Snapshot:
        """Return a snapshot with these rows replaced; a value of None removes the row."""
        rows_by_section: dict[str, dict[str, Any]] = {}
        for (section, name), row in rows.items():
            rows_by_section.setdefault(section, {})[name] = row
        sections = {
            section_name: shared.with_rows(rows_by_section[section_name])
            if section_name in rows_by_section
            else shared
            for section_name, shared in self.sections.items()
        }
        return Snapshot(version, sections)

    def has_same_rows(self, other: Snapshot) -> bool:
        """Whether all rows are equal, regardless of the versions."""
        return all(self.sections[s] == other.sections[s] for s in self.sections)


def empty_snapshot() -> Snapshot:
    """Return version 0, which has no rows."""
    return Snapshot(0, {s: ImmutableMap() for s in SECTION_NAMES})


@dataclass(frozen=True, slots=True)
class Op:
    """An operation on one row. `kind`: add (the row must not exist), edit (sets fields of an existing row),
    drain, remove, put (replaces the whole row, whether or not it exists)."""

    kind: str
    row: Any = None


@dataclass(frozen=True)
class Change:
    """Operations by row. `base_version`: the version that the author saw. `accepted_codes`: codes of runtime
    errors that the author overrides. `source`: operator, file or undo."""

    id: str
    base_version: int
    ops: Mapping[Key, Op]
    accepted_codes: frozenset[str] = frozenset()
    source: str = "operator"
    trial_ms: int | None = None
    rolls_back_version: int = 0  # the version that this change rolls back, 0 for none

    @property
    def keys(self) -> frozenset[Key]:
        """The rows that the change touches."""
        return frozenset(self.ops)


@dataclass(frozen=True)
class Settings:
    """The settings of the `[changes]` section."""

    trial_ms: int = 30_000  # canary period, unless the change sets its own
    look_ms: int = 500  # between two observations of a canary
    failing_share: float = 0.5  # of the calls to its new endpoints; a higher share rolls the change back
    least_calls: int = 10  # completed calls there before the share is evaluated
    refused_per_s: float = (
        50.0  # rejections; rolls back above this and above twice the rate before the change
    )
    held_growth: float = 0.25  # of max_held; growth of pending messages over six observations in a row
    left_share: float = 0.25  # of a destination's ready endpoints that must remain while calls are in flight
    queue: int = 16  # staged changes at most
    history: int = 64  # recorded outcomes at most
    drain_ms: int = 2_000  # minimum duration of a drain, also if its change is rolled back


@dataclass(frozen=True)
class RuntimeState:
    """State of the running courier that no snapshot has. Counts are since its start."""

    ready_endpoints: Mapping[int, int] = field(default_factory=dict)  # by destination, without ejected ones
    in_flight: Mapping[int, int] = field(default_factory=dict)  # calls, by destination
    pending: Mapping[int, int] = field(default_factory=dict)  # messages, by destination
    call_counts: Mapping[str, tuple[int, int]] = field(
        default_factory=dict
    )  # ended and failed, by endpoint uid
    rejected: int = 0
    rejected_per_s_before: float = 0.0  # before the change in its canary period
    max_pending: int = 0

    @property
    def total_pending(self) -> int:
        """Pending messages over all destinations."""
        return sum(self.pending.values())
