"""Runs the state machine of changes alone, with a simulated clock, disk and set of active endpoints."""

from __future__ import annotations

from collections import deque

from madderbeam.changes import document
from madderbeam.changes.events import (
    Apply,
    ChangeCompleted,
    ChangeSubmitted,
    Readmit,
    RequestRuntimeState,
    RuntimeStateReported,
)
from madderbeam.changes.machine import ChangeStateMachine, active_snapshot
from madderbeam.changes.records import RestoredState, restore
from madderbeam.changes.values import DRAINING, Endpoint, RuntimeState, Settings, empty_snapshot
from madderbeam.membership.values import Persist, SetTimer, TimerDue, WriteFailed

LIMITS = {
    "max_held": 200,
    "attempts": 3,
    "retry_base_ms": 100,
    "retry_cap_ms": 3000,
    "max_wait_ms": 2000,
    "window": 8,
}
CLASS = {
    "wanted_ms": 1000,
    "deadline_ms": 6000,
    "repeat": "safe",
    "key_window_ms": 0,
    "key_scope": "all",
    "worth": 1.0,
    "late_share": 0.0,
    "ordered": False,
    "number": 0,
    "retired": False,
}


def endpoint(uid, dest=1, port=None, **more):
    return Endpoint(uid, dest, f"10.0.{dest}.1:{port or 1000 + sum(map(ord, uid))}", 100.0, **more)


def first(*rows, version=1):
    """Return a valid snapshot."""
    made = {("endpoint", r.uid): r for r in rows or (endpoint("a"), endpoint("b"), endpoint("c", 2))}
    made |= {("limit", k): v for k, v in LIMITS.items()}
    made["class", "safe"] = CLASS
    made["kind", "plain"] = {"bundle": 1, "routes_apart": False, "number": 0, "retired": False}
    made["tenant", "t"] = {"share": 0.5, "per_s": 100.0, "number": 0, "retired": False}
    made |= {("fixed", "slots"): 16, ("fixed", "disk_bytes"): 10_000_000}
    return empty_snapshot().with_rows(made, version)


class Killed(Exception):
    """The process is killed before this action."""


class Bench:
    """Carries out actions as the host's runner does. `shown`: the endpoint states a courier would act on, by
    uid. `kill_at`: is killed after this many steps; `full`: all writes to disk fail."""

    def __init__(self, snapshot=None, settings=None, kept=None, now_us=0):
        self.kept = {} if kept is None else kept
        self.now_us, self.kill_at, self.full = now_us, None, False
        restored = restore(self.kept) or RestoredState(snapshot or first(), 1)
        self.settings = settings or Settings(trial_ms=10_000)
        fixed = {k: first().get(k) for k in (("fixed", "slots"), ("fixed", "disk_bytes"))}
        self.machine = ChangeStateMachine(self.settings, restored, lambda now: now // 1000, fixed)
        self.shown = {
            uid: self._state(row.state, uid, restored)
            for uid, row in active_snapshot(restored).endpoints.items()
        }
        self.version, self.cold, self.settled = self.machine.version, [], {}
        self.timers, self.facts, self.applied = {}, RuntimeState(max_pending=200), []
        self.carry_out(self.machine.start(now_us))

    def _state(self, state, uid, restored):
        return DRAINING if uid in restored.drain_began_at_ms else state

    def tell(self, event):
        events = deque([event])
        while events:
            self.carry_out(self.machine.handle(self.now_us, events.popleft()), events)

    def carry_out(self, actions, events=None):
        events = deque() if events is None else events
        rows = []
        for action in [*actions, None]:
            if isinstance(action, Persist):
                rows.append(action)
                continue
            if rows and self.full:
                events.extendleft(WriteFailed(r.kind, r.key) for r in reversed(rows))
                break
            for row in rows:
                self._step()
                if row.value is None:
                    self.kept.pop((row.kind, row.key), None)
                else:
                    self.kept[row.kind, row.key] = row.value
            rows = []
            if action is not None:
                self._step()
                self._act(action, events)
        while events:
            self.carry_out(self.machine.handle(self.now_us, events.popleft()), events)

    def _step(self):
        if self.kill_at is not None:
            self.kill_at -= 1
            if self.kill_at < 0:
                raise Killed

    def _act(self, action, events):
        if isinstance(action, SetTimer):
            self.timers[action.token] = action.at_us
        elif isinstance(action, RequestRuntimeState):
            events.append(RuntimeStateReported(self.facts))
        elif isinstance(action, Apply):
            self._apply(action)
        elif isinstance(action, Readmit):
            self.cold += [(self.now_us, uid) for uid in action.uids]
            self.shown.update(dict.fromkeys(action.uids, "in_service"))
        elif isinstance(action, ChangeCompleted):
            self.settled[action.id] = (action.result, action.reason)

    def _apply(self, action):
        self.version = action.after.version
        self.applied.append(action)
        self.shown = {
            uid: DRAINING if uid in action.still_draining else row.state
            for uid, row in action.after.endpoints.items()
        }
        self.cold += [(self.now_us, uid) for uid in action.slow_starting]

    def passes(self, seconds):
        """Advance the clock and fire timers when they are due."""
        end = self.now_us + int(seconds * 1e6)
        while due := [(at, token) for token, at in self.timers.items() if at <= end]:
            at, token = min(due)
            del self.timers[token]
            self.now_us = max(self.now_us, at)
            self.tell(TimerDue(token))
        self.now_us = end

    def offer(self, ident, go=True, base=None, **parts):
        """Submit a change document of an operator; returns its outcome if it has one at once."""
        base = self.machine.current.version if base is None else base
        change, wrong = document.parse({"name": ident, "base": base, **parts})
        assert change is not None, [e.line() for e in wrong]
        self.tell(ChangeSubmitted(change, self.facts, go))
        return self.settled.get(ident)

    def again(self, now_us=None):
        """Return a new process started from the records on disk."""
        return Bench(
            settings=self.settings, kept=dict(self.kept), now_us=self.now_us if now_us is None else now_us
        )


def add(uid, dest=1, **more):
    row = endpoint(uid, dest)
    return {"uid": uid, "dest": dest, "address": row.address, "per_s": 100, **more}
