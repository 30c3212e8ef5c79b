"""The canary period of a change: the conditions under which it is rolled back."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from madderbeam.changes.values import DRAINING, READY, Change, Key, RuntimeState, Settings, Snapshot

MAX_EMPTY_OBSERVATIONS = 2  # in a row without a ready endpoint at a destination
GROWTH_OBSERVATIONS = 6  # in a row, each with more pending messages than the last
MIN_REJECTION_SPAN_US = 2_000_000  # shortest span over which the rejection rate is computed


@dataclass
class Canary:
    """A change in its canary period. `before`, `after`: the rows that it changes; `baseline`: the runtime
    state before it became active, or at the first observation after a restart."""

    change: Change
    version: int
    before: dict[Key, Any]
    after: dict[Key, Any]
    started_at_us: int
    ends_at_us: int
    started_at_ms: int  # wall time
    baseline: RuntimeState | None = None
    observed_at_us: int = field(init=False)  # time of the newest observation
    empty_observations: dict[int, int] = field(default_factory=dict)  # in a row, by destination
    pending_counts: deque[int] = field(default_factory=lambda: deque(maxlen=GROWTH_OBSERVATIONS))

    def __post_init__(self) -> None:
        self.observed_at_us = self.started_at_us

    @property
    def id(self) -> str:
        """The id of the change."""
        return self.change.id

    def restart(self, now_us: int, ends_at_us: int) -> None:
        """Begin the canary period again after a restart."""
        self.started_at_us = self.observed_at_us = now_us
        self.ends_at_us = ends_at_us

    def reset_baseline(self, runtime_state: RuntimeState) -> None:
        """Restart the counts after another change was rolled back, which may have caused them so far."""
        if self.baseline is not None:
            self.baseline = replace(self.baseline, rejected=runtime_state.rejected)
        self.pending_counts.clear()

    def mark_draining(self, rows: Mapping[Key, Any]) -> bool:
        """Make these endpoints drain, also after a rollback. Returns whether the change touches any."""
        is_touched = False
        for key in rows.keys() & self.after.keys():
            for side in (self.before, self.after):
                if side[key] is not None:
                    side[key] = replace(side[key], state=DRAINING)
            is_touched = True
        return is_touched

    @property
    def new_endpoint_ids(self) -> list[str]:
        """Ids of the endpoints that the change added or moved."""
        uids = []
        for key, new in self.after.items():
            old = self.before[key]
            if (
                key[0] == "endpoint"
                and new is not None
                and new.state == READY
                and (old is None or (old.address, old.dest) != (new.address, new.dest))
            ):
                uids.append(key[1])
        return uids

    @property
    def destinations(self) -> set[int]:
        """The destinations whose endpoints the change touches."""
        return {
            row.dest
            for side in (self.before, self.after)
            for key, row in side.items()
            if key[0] == "endpoint" and row is not None
        }

    def observe(self, now_us: int, runtime_state: RuntimeState, settings: Settings, current: Snapshot) -> str:
        """Evaluate the canary; return why to roll it back, or ''."""
        if now_us - self.observed_at_us < settings.look_ms * 500:
            return ""  # observations within half a period count as one
        self.observed_at_us = now_us
        if self.baseline is None:
            self.baseline = runtime_state
        return (
            self._check_failing_calls(runtime_state, settings)
            or self._check_ready_endpoints(runtime_state, current)
            or self._check_rejections(now_us, runtime_state, settings)
            or self._check_pending_growth(runtime_state, settings)
        )

    def _check_failing_calls(self, runtime_state: RuntimeState, settings: Settings) -> str:
        assert self.baseline is not None
        ended = failed = 0
        for uid in self.new_endpoint_ids:
            counts, baseline_counts = (
                runtime_state.call_counts.get(uid, (0, 0)),
                self.baseline.call_counts.get(uid, (0, 0)),
            )
            ended, failed = ended + counts[0] - baseline_counts[0], failed + counts[1] - baseline_counts[1]
        if ended >= settings.least_calls and failed > settings.failing_share * ended:
            return (
                f"calls-fail: {failed} of {ended} calls at its new endpoints failed; the bound is "
                f"{settings.failing_share:.0%}"
            )
        return ""

    def _check_ready_endpoints(self, runtime_state: RuntimeState, current: Snapshot) -> str:
        assert self.baseline is not None
        empty = [
            dest
            for dest in self.destinations
            if self.baseline.ready_endpoints.get(dest) and not runtime_state.ready_endpoints.get(dest)
        ]
        configured = (
            {row.dest for row in current.endpoints.values() if row.state == READY} if empty else set()
        )
        self.empty_observations = {
            dest: self.empty_observations.get(dest, 0) + 1 for dest in empty if dest in configured
        }
        for empty_dest, observations in self.empty_observations.items():
            if observations >= MAX_EMPTY_OBSERVATIONS:
                return (
                    f"nothing-ready: no endpoint of destination {empty_dest} can be used, "
                    "and before one could"
                )
        return ""

    def _check_rejections(self, now_us: int, runtime_state: RuntimeState, settings: Settings) -> str:
        assert self.baseline is not None
        elapsed_s = max(MIN_REJECTION_SPAN_US, now_us - self.started_at_us) / 1e6
        rate_per_s = (runtime_state.rejected - self.baseline.rejected) / elapsed_s
        if rate_per_s > settings.refused_per_s and rate_per_s > 2 * self.baseline.rejected_per_s_before:
            return (
                f"refusals: {rate_per_s:.0f} a second, before it was "
                f"{self.baseline.rejected_per_s_before:.0f}; the bound is {settings.refused_per_s:g}"
            )
        return ""

    def _check_pending_growth(self, runtime_state: RuntimeState, settings: Settings) -> str:
        self.pending_counts.append(runtime_state.total_pending)
        counts = list(self.pending_counts)
        if len(counts) < GROWTH_OBSERVATIONS or any(
            later <= earlier for earlier, later in itertools.pairwise(counts)
        ):
            return ""
        if counts[-1] - counts[0] < settings.held_growth * max(1, runtime_state.max_pending):
            return ""
        return (
            f"holds-grow: {counts[0]} messages held became {counts[-1]} in {GROWTH_OBSERVATIONS} looks; "
            f"the bound is {settings.held_growth:.0%} of {runtime_state.max_pending}"
        )
