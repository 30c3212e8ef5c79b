"""The objective signs by which a change on trial is undone."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from madderbeam.changes.values import DRAINING, READY, Change, Facts, Key, Settings, Snapshot

LOOKS = 2  # in a row at which a destination has nothing ready
GROWING = 6  # in a row at which what is held is more than before
SETTLES_US = 2_000_000  # refusals count from then on, as a share of so long at least


@dataclass
class Trial:
    """A change on trial. `before`, `after`: the rows that it makes otherwise; `first`: what was so before it
    came into force, or at the first look after a restart."""

    change: Change
    version: int
    before: dict[Key, Any]
    after: dict[Key, Any]
    since_us: int
    until_us: int
    at_ms: int  # wall time of its start
    first: Facts | None = None
    seen_us: int = field(init=False)  # its newest look
    nothing: dict[int, int] = field(default_factory=dict)  # looks in a row, by destination
    held: deque[int] = field(default_factory=lambda: deque(maxlen=GROWING))

    def __post_init__(self) -> None:
        self.seen_us = self.since_us

    @property
    def id(self) -> str:
        return self.change.id

    def again(self, now_us: int, until_us: int) -> None:
        """It begins anew, after a restart."""
        self.since_us = self.seen_us = now_us
        self.until_us = until_us

    def afresh(self, facts: Facts) -> None:
        """Another has just been undone: what was refused and held until now may be its doing."""
        if self.first is not None:
            self.first = replace(self.first, refused=facts.refused)
        self.held.clear()

    def drain(self, rows: Mapping[Key, Any]) -> bool:
        """These drain, whatever becomes of the trial; whether it touches one of them."""
        found = False
        for key in rows.keys() & self.after.keys():
            for side in (self.before, self.after):
                if side[key] is not None:
                    side[key] = replace(side[key], state=DRAINING)
            found = True
        return found

    @property
    def fresh(self) -> list[str]:
        """Ids of the endpoints that it brought or moved."""
        found = []
        for key, new in self.after.items():
            old = self.before[key]
            if (
                key[0] == "endpoint"
                and new is not None
                and new.state == READY
                and (old is None or (old.address, old.dest) != (new.address, new.dest))
            ):
                found.append(key[1])
        return found

    @property
    def dests(self) -> set[int]:
        """Destinations whose endpoints it touches."""
        return {
            row.dest
            for side in (self.before, self.after)
            for key, row in side.items()
            if key[0] == "endpoint" and row is not None
        }

    def look(self, now_us: int, facts: Facts, settings: Settings, current: Snapshot) -> str:
        """Why it is to be undone, '' if nothing speaks against it."""
        if now_us - self.seen_us < settings.look_ms * 500:
            return ""  # looks of one moment are one
        self.seen_us = now_us
        if self.first is None:
            self.first = facts
        return (
            self._failing(facts, settings)
            or self._nothing_ready(facts, current)
            or self._refused(now_us, facts, settings)
            or self._growing(facts, settings)
        )

    def _failing(self, facts: Facts, settings: Settings) -> str:
        assert self.first is not None
        ended = failed = 0
        for uid in self.fresh:
            now, then = facts.calls.get(uid, (0, 0)), self.first.calls.get(uid, (0, 0))
            ended, failed = ended + now[0] - then[0], failed + now[1] - then[1]
        if ended >= settings.least_calls and failed > settings.failing_share * ended:
            return (
                f"calls-fail: {failed} of {ended} calls at its new endpoints failed; the bound is "
                f"{settings.failing_share:.0%}"
            )
        return ""

    def _nothing_ready(self, facts: Facts, current: Snapshot) -> str:
        assert self.first is not None
        empty = [d for d in self.dests if self.first.ready.get(d) and not facts.ready.get(d)]
        served = {row.dest for row in current.endpoints.values() if row.state == READY} if empty else set()
        self.nothing = {d: self.nothing.get(d, 0) + 1 for d in empty if d in served}
        for dest, looks in self.nothing.items():
            if looks >= LOOKS:
                return f"nothing-ready: no endpoint of destination {dest} can be used, and before one could"
        return ""

    def _refused(self, now_us: int, facts: Facts, settings: Settings) -> str:
        assert self.first is not None
        passed = max(SETTLES_US, now_us - self.since_us) / 1e6
        rate = (facts.refused - self.first.refused) / passed
        if rate > settings.refused_per_s and rate > 2 * self.first.refused_before:
            return (
                f"refusals: {rate:.0f} a second, before it was {self.first.refused_before:.0f}; the "
                f"bound is {settings.refused_per_s:g}"
            )
        return ""

    def _growing(self, facts: Facts, settings: Settings) -> str:
        self.held.append(facts.held_all)
        rows = list(self.held)
        if len(rows) < GROWING or any(b <= a for a, b in itertools.pairwise(rows)):
            return ""
        if rows[-1] - rows[0] < settings.held_growth * max(1, facts.max_held):
            return ""
        return (
            f"holds-grow: {rows[0]} messages held became {rows[-1]} in {GROWING} looks; the bound is "
            f"{settings.held_growth:.0%} of {facts.max_held}"
        )
