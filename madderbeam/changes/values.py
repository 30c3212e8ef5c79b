"""Snapshots, changes and what is done to one row. Nothing of them is ever changed in place.

A snapshot holds all that a message's treatment depends on, as rows by (section, name):

    endpoint  its uid               where it is and what it says of itself
    class, tenant, kind  its name   numbered: messages name them by number, so a number is never given twice
    pool      a destination         how its endpoints are chosen among (routing's own form)
    name      a partner's name      its destination
    limit     its name              one number
    whole     routes, quota         routes in their order; the tree of quotas
    fixed     its name              what only a restart changes, where rules need it
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.changes.sharing import Shared

Key = tuple[str, str]  # section, name
NUMBERED = ("class", "tenant", "kind")
SECTION_NAMES = ("endpoint", *NUMBERED, "pool", "name", "limit", "whole", "fixed")
READY, DRAINING = "in_service", "terminating"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint, as the partner list has it."""

    uid: str
    dest: int
    address: str
    per_s: float
    zone: str = "here"
    kind: str = "plain"
    state: str = READY
    topic: str = ""
    topics: tuple[str, ...] = ()

    def drained(self) -> Endpoint:
        """The same, draining."""
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
    """One version of the configuration. Versions grow by one; an undone one's number is not given again."""

    version: int
    sections: Mapping[str, Shared]

    def get(self, key: Key) -> Any:
        """The row, None if there is none; also that of a class that was taken away (see `present`)."""
        return self.sections[key[0]].get(key[1])

    def present(self, key: Key) -> Any:
        """The row of what is there for new messages."""
        row = self.get(key)
        return None if row is None or (key[0] in NUMBERED and row["retired"]) else row

    def names(self, section: str) -> list[str]:
        """Those that are there for new messages."""
        rows = self.sections[section].items()
        return sorted(n for n, row in rows if section not in NUMBERED or not row["retired"])

    @property
    def endpoints(self) -> Shared:
        return self.sections["endpoint"]

    def with_rows(self, rows: Mapping[Key, Any], version: int) -> Snapshot:
        """The same with these rows; None takes one away."""
        found: dict[str, dict[str, Any]] = {}
        for (section, name), row in rows.items():
            found.setdefault(section, {})[name] = row
        sections = {
            s: shared.with_rows(found[s]) if s in found else shared for s, shared in self.sections.items()
        }
        return Snapshot(version, sections)

    def same(self, other: Snapshot) -> bool:
        """All rows are equal, whatever the versions."""
        return all(self.sections[s] == other.sections[s] for s in self.sections)


def blank() -> Snapshot:
    """Version 0: nothing at all."""
    return Snapshot(0, {s: Shared() for s in SECTION_NAMES})


@dataclass(frozen=True, slots=True)
class Op:
    """What is done to one row. `what`: add (it must not be there), edit (fields of one that is), drain,
    remove, put (the whole row, in place of whatever is there)."""

    what: str
    row: Any = None


@dataclass(frozen=True)
class Change:
    """What is to become otherwise, by row. `base`: the version that it builds on. `accept`: codes of live
    mistakes that its author takes upon himself. `source`: operator, file or undo."""

    id: str
    base: int
    ops: Mapping[Key, Op]
    accept: frozenset[str] = frozenset()
    source: str = "operator"
    trial_ms: int | None = None
    undoes: int = 0  # the version that it undoes

    @property
    def keys(self) -> frozenset[Key]:
        return frozenset(self.ops)


@dataclass(frozen=True)
class Settings:
    """The bounds of `[changes]`."""

    trial_ms: int = 30_000  # a change is on trial for this long, unless it says how long itself
    look_ms: int = 500  # and looked at so often
    failing_share: float = 0.5  # of the calls at its new endpoints; over it the change is undone
    least_calls: int = 10  # that must have ended there before the share counts
    refused_per_s: float = 50.0  # refusals; over it, and over twice what was refused before
    held_growth: float = 0.25  # of max_held, by which what is held grows at six looks in a row
    left_share: float = 0.25  # of a destination's ready endpoints that must stay while calls are out there
    queue: int = 16  # changes that wait
    history: int = 64  # outcomes that are remembered
    drain_ms: int = 2_000  # a drain holds for this long, whatever becomes of its change


@dataclass(frozen=True)
class Facts:
    """What only the running courier knows. Counts are since its start."""

    ready: Mapping[int, int] = field(default_factory=dict)  # endpoints in service and not avoided
    out: Mapping[int, int] = field(default_factory=dict)  # calls under way, by destination
    held: Mapping[int, int] = field(default_factory=dict)  # messages, by destination
    calls: Mapping[str, tuple[int, int]] = field(default_factory=dict)  # ended and failed, by uid
    refused: int = 0
    refused_before: float = 0.0  # a second, before the change that is on trial
    max_held: int = 0

    @property
    def held_all(self) -> int:
        return sum(self.held.values())
