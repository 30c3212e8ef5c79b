"""The state machine of changes: `handle(now_us, event) -> actions`.

A change is checked, staged, active for a canary period, and then kept or rolled back.

Changes that touch disjoint rows run their canary periods concurrently; each has its own period, is observed
and rolled back by itself. A change that touches rows of a running canary waits until that has ended. Each
change is checked when it is submitted and again just before it is activated, each time on top of the snapshot
that is active then, since a valid change may have become invalid in between.

The actions that activate a change begin with its record, so if the disk rejects the write nothing changes. A
rollback or a drain is carried out even then, and recorded once the disk accepts writes again. One event
activates at most one change; the machine requests the runtime state again if more is left to do.

The kinds of records ("trial" is a canary, "back" a rollback record) are described in `records.py`, the
results ("kept", "undone") at `Outcome`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.building import build, inverse_of_rows, rollback_change
from madderbeam.changes.canary import Canary
from madderbeam.changes.drains import Drains
from madderbeam.changes.events import (
    Apply,
    ApplyFailed,
    ChangeApproved,
    ChangeCompleted,
    ChangeDropped,
    ChangeSubmitted,
    FileProcessed,
    Readmit,
    RequestRuntimeState,
    RollbackRequested,
    RuntimeStateReported,
)
from madderbeam.changes.records import (
    Outcome,
    RestoredState,
    RollbackRecord,
    StagedChange,
    base_records,
    changed_rows,
    encode_canary,
    encode_change,
    encode_ops,
    encode_rows,
)
from madderbeam.changes.validation import restart_errors, runtime_errors, validate
from madderbeam.changes.values import (
    DRAINING,
    NUMBERED_SECTIONS,
    Change,
    Key,
    RuntimeState,
    Settings,
    Snapshot,
)
from madderbeam.membership.values import LogLine, Persist, SetTimer, TimerDue, WriteFailed

MAX_ROLLBACK_RECORDS = 16
MAX_RECORDS_ABOVE_BASE = 32  # beyond this the base is rewritten
WRITE_RETRY_US = 1_000_000  # after a rejected write
OBSERVE_TIMER, DRAIN_TIMER, WRITE_RETRY_TIMER = "look", "drain", "again"


def active_snapshot(restored: RestoredState) -> Snapshot:
    """Return the snapshot that is active on a courier that starts from these records."""
    return compose(restored.snapshot, restored.canaries, restored.version)


def compose(committed: Snapshot, canaries: Iterable[Canary], version: int) -> Snapshot:
    """Return the committed snapshot with the rows of the canaries applied."""
    rows: dict[Key, Any] = {}
    for canary in canaries:
        rows |= canary.after
    return committed.with_rows(rows, version)


class ChangeStateMachine:
    """All changes of one courier. `to_wall_ms` converts the clock of the state machine to wall time in ms."""

    def __init__(
        self,
        settings: Settings,
        restored: RestoredState,
        to_wall_ms: Callable[[int], int],
        file_only_rows: Mapping[Key, Any] | None = None,
    ) -> None:
        """`file_only_rows`: rows that always come from the file, whatever was committed."""
        self.settings, self.to_wall_ms, self.file_only_rows = settings, to_wall_ms, file_only_rows or {}
        self.committed = self._with_file_only_rows(restored.snapshot)
        self.canaries = list(restored.canaries)  # in the order of their start; they touch disjoint rows
        self.version = restored.version  # the newest ever active
        self.current = compose(self.committed, self.canaries, self.version)
        self.generation, self.part_count = restored.generation, restored.part_count
        self.base_record, self.last_record = restored.base_record, restored.last_record
        self.staged = list(restored.staged)
        self.outcomes = dict(sorted(restored.outcomes.items()))
        self.rollbacks = dict(sorted(restored.rollbacks.items()))
        self.processed_file = restored.processed_file and (
            restored.processed_file[0],
            self._with_file_only_rows(restored.processed_file[1]),
        )
        self.drains = Drains(settings.drain_ms * 1000)
        self.has_unwritten = False  # the disk lacks some of the committed state
        self.actions: list[Any] = []
        # The key of the record, and the actions to carry out even if that can't be written.
        self._unconditional_actions: tuple[str, list[Any]] | None = None
        # Saved to undo the start of a canary whose record can't be written: the canary; and from before it
        # the snapshot, the times at which drains began, and the removed endpoints.
        self._undo_start: tuple[Canary, Snapshot, dict[str, int], dict[str, None]] | None = None
        self._restored_drains = restored.drain_began_at_ms

    def _with_file_only_rows(self, snapshot: Snapshot) -> Snapshot:
        return snapshot.with_rows(self.file_only_rows, snapshot.version) if self.file_only_rows else snapshot

    # Start

    def start(self, now_us: int) -> list[Any]:
        """Resume from the restored state; canary periods restart, since none was observed meanwhile. The
        caller must have activated the current snapshot, with the endpoints of recorded drains draining."""
        self.actions = []
        for uid, began_at_ms in self._restored_drains.items():
            self.drains.began_at_us[uid] = now_us - max(0, self.to_wall_ms(now_us) - began_at_ms) * 1000
        for uid, row in self.current.endpoints.items():
            if row.state == DRAINING:
                self.drains.began_at_us.setdefault(uid, now_us)
        if not self.generation:
            self._write_base()
        for canary in self.canaries:
            canary.restart(now_us, now_us + self._canary_duration_us(canary.change))
            self._log(f"{canary.id} (version {canary.version}) restarts its canary period after a restart")
        if self.canaries or any(staged.is_approved for staged in self.staged):
            self._set_timer(OBSERVE_TIMER, now_us + self.settings.look_ms * 1000)
        if self.drains.began_at_us:
            self._set_timer(DRAIN_TIMER, now_us)  # some may have expired during the restart
        return self.actions

    # Queries

    def check(self, change: Change, runtime_state: RuntimeState | None) -> list[errors.ChangeError]:
        """Return all errors that the change would have if submitted now, without side effects. Without a
        runtime state the checks against it are skipped."""
        return self._admission_errors(change) + self._build_and_check(change, runtime_state)[1]

    def rollback_of(self, version: int, change_id: str) -> tuple[Change | None, list[errors.ChangeError]]:
        """Return the change that rolls back a kept version, and an error per conflicting later change."""
        rollback = self.rollbacks.get(version)
        if rollback is None or rollback.is_irreversible:
            reversible_versions = (
                ", ".join(
                    str(other_version)
                    for other_version, record in self.rollbacks.items()
                    if not record.is_irreversible
                )
                or "none"
            )
            return None, [
                errors.Unknown(f"version {version}", "can't be undone from here", reversible_versions)
            ]
        found_errors: list[errors.ChangeError] = []
        later = [
            (other_version, record.id, record.ops.keys())
            for other_version, record in self.rollbacks.items()
            if other_version > version and not record.is_irreversible
        ]
        later += [
            (canary.version, canary.id, canary.after.keys())
            for canary in self.canaries
            if canary.version > version
        ]
        for later_version, later_id, keys in later:
            if common := rollback.ops.keys() & keys:
                found_errors.append(
                    errors.BuiltUpon(
                        f"version {version}",
                        f"{later_id} (version {later_version}) touched {_list_keys(common)} as well",
                        "a version that no later one touches",
                    )
                )
        return rollback_change(change_id, version, self.current.version, rollback.ops), found_errors

    def outcome(self, change_id: str) -> Outcome | None:
        """Return the newest outcome of a change, None if there is none."""
        return next(
            (outcome for outcome in reversed(self.outcomes.values()) if outcome.id == change_id), None
        )

    def staged_change(self, change_id: str) -> StagedChange | None:
        """Return the staged change with this id, None if there is none."""
        return next((staged for staged in self.staged if staged.change.id == change_id), None)

    def canary(self, change_id: str) -> Canary | None:
        """Return the running canary of this change, None if there is none."""
        return next((canary for canary in self.canaries if canary.id == change_id), None)

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Process one event and return the actions to carry out in their order.

        Events of other types are ignored.
        """
        self.actions = []
        if isinstance(event, WriteFailed):  # refers to the previous event, so what that has saved is needed
            self._write_failed(now_us, event)
            return self.actions
        self._undo_start = self._unconditional_actions = None
        if isinstance(event, ChangeSubmitted):
            self._change_submitted(now_us, event)
        elif isinstance(event, ChangeApproved):
            self._change_approved(event)
        elif isinstance(event, ChangeDropped):
            self._drop_staged(now_us, event.id)
        elif isinstance(event, RollbackRequested):
            if (canary := self.canary(event.id)) is not None:
                self._roll_back(now_us, canary, event.reason)
        elif isinstance(event, RuntimeStateReported):
            self._evaluate_canaries(now_us, event.runtime_state)
        elif isinstance(event, FileProcessed):
            self._record_file(event.digest, event.snapshot)
        elif isinstance(event, ApplyFailed):
            self._apply_failed(now_us, event)
        elif isinstance(event, TimerDue):
            self._timer_fired(now_us, event.token)
        return self.actions

    def _timer_fired(self, now_us: int, token: str) -> None:
        if token == DRAIN_TIMER:
            returned, removed = self.drains.expired(now_us, self.current)
            if returned:
                self.actions.append(Readmit(tuple(returned)))
            self._set_drain_timer(now_us)
            self.actions += [Persist("drain", uid, None) for uid in (*returned, *removed)]
        elif token == WRITE_RETRY_TIMER:
            if self.has_unwritten:
                self._write_base()
            self.actions.append(RequestRuntimeState())
        elif token == OBSERVE_TIMER and (self.canaries or any(staged.is_approved for staged in self.staged)):
            self.actions.append(RequestRuntimeState())

    # Submission

    def _change_submitted(self, now_us: int, event: ChangeSubmitted) -> None:
        change = event.change
        runtime_state = event.runtime_state if event.is_approved else None
        after, found_errors = self._build_and_check(change, runtime_state)
        if found_errors := [*self._admission_errors(change), *found_errors]:
            self._record_outcome(
                now_us, change.id, 0, "refused", "\n".join(error.line() for error in found_errors)
            )
            return
        if (
            event.is_approved
            and self._only_drains(change, after)
            and (
                change.source == "file" or any(change.keys & canary.after.keys() for canary in self.canaries)
            )
        ):
            self._drain_now(now_us, change, after)
            return
        sequence = 1 + max((other.sequence for other in self.staged), default=0)
        staged = StagedChange(change, event.is_approved, sequence)
        self.staged.append(staged)
        self.actions.append(
            Persist("staged", change.id, [encode_change(change), event.is_approved, sequence])
        )
        self._log(f"{change.id} is staged on version {self.current.version}")
        if event.is_approved:
            self.actions.append(RequestRuntimeState())

    def _change_approved(self, event: ChangeApproved) -> None:
        if (staged := self.staged_change(event.id)) is None or staged.is_approved:
            return
        approved = replace(staged, is_approved=True)
        self.staged[self.staged.index(staged)] = approved
        self.actions.append(
            Persist("staged", event.id, [encode_change(approved.change), True, approved.sequence])
        )
        self.actions.append(RequestRuntimeState())

    def _drop_staged(self, now_us: int, change_id: str) -> None:
        if (staged := self.staged_change(change_id)) is not None:
            self._unstage(staged)
            self._record_outcome(now_us, change_id, 0, "dropped", "by an operator's word")

    def _admission_errors(self, change: Change) -> list[errors.ChangeError]:
        """Return conflicts with other changes: a known id, a full queue, a stale base version."""
        path = f"change {change.id}"
        found_errors: list[errors.ChangeError] = []
        outcome = self.outcome(change.id)
        waiting = self.staged_change(change.id) or self.canary(change.id)
        if waiting or (outcome is not None and outcome.result in ("kept", "undone")):
            state = (
                f"{outcome.result}, version {outcome.version}"
                if outcome and not waiting
                else "it waits or is on trial"
            )
            found_errors.append(
                errors.Twice(path, f"{change.id!r} is known already: {state}", "a name of its own")
            )
        if len(self.staged) >= self.settings.queue:
            found_errors.append(
                errors.Full(path, f"{len(self.staged)} wait", f"at most {self.settings.queue}")
            )
        return found_errors + self._stale_errors(change)

    def _stale_errors(self, change: Change) -> list[errors.ChangeError]:
        """Return an error if rows that the change touches have changed since its base version."""
        path = f"change {change.id}.base"
        if change.base_version > self.current.version:
            return [
                errors.Unknown(path, f"there is no version {change.base_version}", f"{self.current.version}")
            ]
        oldest_version = min(self.rollbacks) - 1 if self.rollbacks else self.committed.version
        if change.base_version < min(oldest_version, self.committed.version):
            return [
                errors.Stale(
                    path,
                    f"version {change.base_version} is too old to be compared",
                    f"{oldest_version} to {self.current.version}",
                )
            ]
        changed_since = [
            record.ops.keys() for version, record in self.rollbacks.items() if version > change.base_version
        ]
        changed_since += [
            canary.after.keys() for canary in self.canaries if canary.version > change.base_version
        ]
        if common := {key for keys in changed_since for key in change.keys & keys}:
            return [
                errors.Stale(
                    path,
                    f"{_list_keys(common)} has changed since version {change.base_version}",
                    f"{self.current.version}",
                )
            ]
        return []

    def _build_and_check(
        self, change: Change, runtime_state: RuntimeState | None
    ) -> tuple[Snapshot, list[errors.ChangeError]]:
        """Return the snapshot that results from the active one, and all its errors. Checks also against the
        runtime state if given, unless the change comes from the file, which takes precedence there."""
        current = self.current
        result = build(current, change.ops, self.version + 1)
        found_errors = [
            *result.found_errors,
            *restart_errors(current, change),
            *validate(result.snapshot, change.keys),
        ]
        if not found_errors and runtime_state is not None and change.source != "file":
            found_errors += runtime_errors(current, result.snapshot, change, runtime_state, self.settings)
        return result.snapshot, found_errors

    # Drains

    def _only_drains(self, change: Change, after: Snapshot) -> bool:
        """Whether the change only starts drains of existing endpoints."""
        for key in change.ops:
            old = self.current.get(key)
            if key[0] != "endpoint" or old is None or after.get(key) != replace(old, state=DRAINING):
                return False
        return True

    def _drain_now(self, now_us: int, change: Change, after: Snapshot) -> None:
        """Apply drains at once and without a canary period, since the endpoint shuts down in any case. They
        persist if a canary that touches the endpoint is rolled back."""
        rows = {key: after.get(key) for key in change.ops}
        self.version = after.version
        committed_rows = {
            key: replace(row, state=DRAINING) for key in rows if (row := self.committed.get(key)) is not None
        }
        self.committed = self.committed.with_rows(committed_rows, self.committed.version)
        for canary in self.canaries:
            if canary.mark_draining(rows):
                self.actions.append(Persist("trial", str(canary.version), encode_canary(canary)))
        self._append_record((), committed_rows)
        self._apply(now_us, self.current, after)
        self._record_rollback(after.version, RollbackRecord(change.id, change.ops, is_irreversible=True))
        self._record_outcome(now_us, change.id, after.version, "kept", "drains wait for nothing")
        self._remember_actions()

    def _remember_actions(self) -> None:
        """Remember the actions, which are carried out even if the record can't be written."""
        self._unconditional_actions = (
            str(self.last_record),
            [action for action in self.actions if not isinstance(action, Persist)],
        )

    # Activation

    def _start_next(self, now_us: int, runtime_state: RuntimeState) -> None:
        """Activate the first approved change that conflicts with no running canary."""
        blocked_keys: set[Key] = {key for canary in self.canaries for key in canary.after}
        for staged in sorted(
            (queued for queued in self.staged if queued.is_approved), key=lambda queued: queued.sequence
        ):
            change = staged.change
            if change.source == "file":
                self._end_older_file_canaries(now_us, change)
                blocked_keys = {key for canary in self.canaries for key in canary.after}
            if change.keys & blocked_keys or len(self.canaries) >= self.settings.queue:
                blocked_keys |= change.keys  # later changes that touch these rows wait as well
                continue
            after, found_errors = self._build_and_check(change, runtime_state)
            if found_errors := [*self._stale_errors(change), *found_errors]:
                self._unstage(staged)
                self._record_outcome(
                    now_us,
                    change.id,
                    0,
                    "refused",
                    "as its turn came: " + "\n".join(error.line() for error in found_errors),
                )
                continue
            self._start_canary(now_us, runtime_state, staged, after)
            self.actions.append(RequestRuntimeState())
            return

    def _end_older_file_canaries(self, now_us: int, change: Change) -> None:
        """Keep the canaries of older files that a newer file touches, if they are valid by themselves."""
        for canary in [
            other
            for other in self.canaries
            if other.change.source == "file" and change.keys & other.after.keys()
        ]:
            if not validate(compose(self.committed, [canary], self.version)):
                self._keep(now_us, canary, "a newer file has other rows before its time was over")

    def _start_canary(
        self, now_us: int, runtime_state: RuntimeState, staged: StagedChange, after: Snapshot
    ) -> None:
        change, before = staged.change, self.current
        self.version = after.version
        rows = changed_rows(before, after)
        canary = Canary(
            change,
            after.version,
            {key: before.get(key) for key in rows},
            rows,
            now_us,
            now_us + self._canary_duration_us(change),
            self.to_wall_ms(now_us),
            runtime_state,
        )
        self._undo_start = canary, before, dict(self.drains.began_at_us), dict(self.drains.removed)
        self.canaries.append(canary)
        self.staged.remove(staged)
        later_actions, self.actions = self.actions, []
        self.actions.append(Persist("trial", str(canary.version), encode_canary(canary)))
        self._apply(now_us, before, after, starts_canary=True)
        self.actions.append(Persist("staged", change.id, None))
        self._log(
            f"{change.id} is active as version {after.version}, canary period "
            f"{self._canary_duration_us(change) // 1000} ms"
        )
        self._set_timer(OBSERVE_TIMER, now_us + self.settings.look_ms * 1000)
        self.actions += later_actions

    def _canary_duration_us(self, change: Change) -> int:
        return (change.trial_ms or self.settings.trial_ms) * 1000

    def _apply(self, now_us: int, before: Snapshot, after: Snapshot, starts_canary: bool = False) -> None:
        """Activate a snapshot; the records of drains that it starts come first."""
        uids = list(before.endpoints.differing_keys(after.endpoints))
        drains_before = dict(self.drains.began_at_us)
        still_draining, slow_starting = self.drains.snapshot_changed(now_us, before, after, uids)
        self.current = after
        began_at_us = self.drains.began_at_us
        begun = [
            Persist("drain", uid, self.to_wall_ms(began_at_us[uid]))
            for uid in began_at_us
            if uid not in drains_before
        ]
        ended = [Persist("drain", uid, None) for uid in drains_before if uid not in began_at_us]
        self.actions += [*begun, Apply(before, after, still_draining, slow_starting, starts_canary), *ended]
        self._set_drain_timer(now_us)

    # Canary period

    def _evaluate_canaries(self, now_us: int, runtime_state: RuntimeState) -> None:
        """Roll back the newest canary that is at fault; if none is, keep those whose period has ended and
        start the next change."""
        for canary in reversed(
            self.canaries
        ):  # the newest is rolled back first: the others may recover by that
            if reason := canary.observe(now_us, runtime_state, self.settings, self.current):
                self._roll_back(now_us, canary, reason)
                for other in self.canaries:
                    other.reset_baseline(runtime_state)
                break
        else:  # each canary was observed before any is kept
            while self.canaries and now_us >= self.canaries[0].ends_at_us:
                canary = self.canaries[0]
                elapsed_ms = (now_us - canary.started_at_us) // 1000
                self._keep(now_us, canary, f"nothing spoke against it for {elapsed_ms} ms")
            self._start_next(now_us, runtime_state)
        if self.canaries or any(staged.is_approved for staged in self.staged):
            next_end_us = min(
                (running.ends_at_us for running in self.canaries if running.ends_at_us > now_us),
                default=now_us + (1 << 40),
            )
            self._set_timer(OBSERVE_TIMER, min(next_end_us, now_us + self.settings.look_ms * 1000))

    def _keep(self, now_us: int, canary: Canary, reason: str) -> None:
        self.canaries.remove(canary)
        self.committed = self.committed.with_rows(canary.after, max(self.committed.version, canary.version))
        self._record_rollback(
            canary.version, RollbackRecord(canary.id, inverse_of_rows(canary.before, canary.after).ops)
        )
        self._append_record((canary.version,), canary.after)
        self.actions.append(Persist("trial", str(canary.version), None))
        self._record_outcome(now_us, canary.id, canary.version, "kept", reason)
        if self.last_record - self.base_record > MAX_RECORDS_ABOVE_BASE:
            self._write_base()

    def _roll_back(self, now_us: int, canary: Canary, reason: str) -> None:
        """Activate the inverse, even if its record can't be written: a restart then resumes the canary, which
        is rolled back again. Later canaries that are invalid without this one are rolled back as well."""
        rolled_back = [(canary, reason)]
        remaining = [other for other in self.canaries if other is not canary]
        retired = _retired_rows(canary)
        while True:
            committed = self.committed.with_rows(retired, self.committed.version)
            after = compose(committed, remaining, self.version + 1)
            later = [other for other in remaining if other.version > canary.version]
            if not later or not validate(after):
                break
            remaining.remove(later[-1])
            rolled_back.append((later[-1], f"it does not hold without {canary.id}, which is undone"))
            retired |= _retired_rows(later[-1])
        before, self.version, self.canaries, self.committed = (
            self.current,
            after.version,
            remaining,
            committed,
        )
        self._append_record([other.version for other, _ in rolled_back], retired)
        self._apply(now_us, before, after)
        inverse_ops: dict[Key, Any] = {}
        for one, _ in rolled_back:
            inverse_ops |= inverse_of_rows(one.before, one.after).ops
        self._record_rollback(
            after.version, RollbackRecord(f"undo of {canary.id}", inverse_ops, is_irreversible=True)
        )
        for one, one_reason in rolled_back:
            self.actions.append(Persist("trial", str(one.version), None))
            self._record_outcome(now_us, one.id, one.version, "undone", one_reason)
            for text in inverse_of_rows(one.before, one.after).not_restored[:20]:
                self._log(f"{one.id}: not restored: {text}")
        self.actions.append(RequestRuntimeState())
        self._remember_actions()

    def _apply_failed(self, now_us: int, event: ApplyFailed) -> None:
        for canary in self.canaries:
            if canary.version == event.version:
                self._roll_back(now_us, canary, f"could not be brought into force: {event.reason}")
                return

    # Records

    def _write_failed(self, now_us: int, event: WriteFailed) -> None:
        """A record could not be written, and the actions after it were not carried out."""
        if event.kind == "staged" and (staged := self.staged_change(event.key)) is not None:
            self.staged.remove(staged)
            self._reject_unwritten(now_us, event.key)
        elif event.kind == "trial" and self._undo_start and event.key == str(self._undo_start[0].version):
            canary, self.current, self.drains.began_at_us, self.drains.removed = self._undo_start
            self._undo_start = None
            self.canaries.remove(canary)
            self.has_unwritten = True  # the records after it were not written either
            self._reject_unwritten(now_us, canary.id)
        elif event.kind in ("change", "base", "file", "trial", "back"):
            self.has_unwritten = True  # all of it is written again later
            if (
                event.kind == "change"
                and self._unconditional_actions is not None
                and event.key == self._unconditional_actions[0]
            ):
                self.actions, self._unconditional_actions = self._unconditional_actions[1], None
        self._set_timer(WRITE_RETRY_TIMER, now_us + WRITE_RETRY_US)

    def _reject_unwritten(self, now_us: int, change_id: str) -> None:
        error = errors.NotKept(f"change {change_id}", "its record was not written", "a disk with room")
        self._record_outcome(now_us, change_id, 0, "refused", error.line())

    def _append_record(self, ended_versions: Iterable[int], rows: Mapping[Key, Any]) -> None:
        """Append a `change` record: the canaries that it ends, and the rows that it commits."""
        self.last_record += 1
        self.actions.append(
            Persist("change", str(self.last_record), [list(ended_versions), self.version, encode_rows(rows)])
        )

    def _write_base(self) -> None:
        """Write the committed state as a new base, then delete the records that it replaces."""
        old_base_record, old_part_count, old_generation = self.base_record, self.part_count, self.generation
        self.generation, self.base_record, self.has_unwritten = old_generation + 1, self.last_record, False
        rows = list(
            base_records(
                self.committed,
                self.generation,
                self.last_record,
                self.version,
                [canary.version for canary in self.canaries],
            )
        )
        self.part_count = len(rows) - 1
        self.actions += [
            Persist("trial", str(canary.version), encode_canary(canary)) for canary in self.canaries
        ]
        self.actions += [Persist(*row) for row in rows]
        self.actions += [
            Persist("base", f"{old_generation}/{number}", None) for number in range(old_part_count)
        ]
        self.actions += [
            Persist("change", str(number), None)
            for number in range(old_base_record + 1, self.base_record + 1)
        ]
        if self.processed_file is not None:
            self._record_file(*self.processed_file)

    def _record_file(self, digest: str, snapshot: Snapshot) -> None:
        self.processed_file = (digest, snapshot)
        rows = encode_rows(changed_rows(self.committed, snapshot))
        self.actions.append(Persist("file", "", [digest, self.last_record, rows]))

    def _record_rollback(self, version: int, record: RollbackRecord) -> None:
        self.rollbacks[version] = record
        self.actions.append(
            Persist("back", str(version), [record.id, encode_ops(record.ops), record.is_irreversible])
        )
        while len(self.rollbacks) > MAX_ROLLBACK_RECORDS:
            oldest = min(self.rollbacks)
            del self.rollbacks[oldest]
            self.actions.append(Persist("back", str(oldest), None))

    def _unstage(self, staged: StagedChange) -> None:
        self.staged.remove(staged)
        self.actions.append(Persist("staged", staged.change.id, None))

    def _record_outcome(self, now_us: int, change_id: str, version: int, result: str, reason: str) -> None:
        number = 1 + max(self.outcomes, default=0)
        self.outcomes[number] = outcome = Outcome(
            change_id, version, result, reason[:4000], self.to_wall_ms(now_us)
        )
        while len(self.outcomes) > self.settings.history:
            oldest = min(self.outcomes)
            del self.outcomes[oldest]
            self.actions.append(Persist("past", str(oldest), None))
        self.actions.append(ChangeCompleted(change_id, result, reason))
        self.actions.append(
            Persist(
                "past",
                str(number),
                [outcome.id, outcome.version, outcome.result, outcome.reason, outcome.recorded_at_ms],
            )
        )
        self._log(f"{change_id} is {result}: {reason}")

    # Helpers

    def _log(self, text: str) -> None:
        self.actions.append(LogLine(text))

    def _set_timer(self, token: str, at_us: int) -> None:
        self.actions.append(SetTimer(at_us, token))

    def _set_drain_timer(self, now_us: int) -> None:
        if (at := self.drains.next_expiry_us(now_us)) is not None:
            self._set_timer(DRAIN_TIMER, at)


def _retired_rows(canary: Canary) -> dict[Key, Any]:
    """Return the numbered rows that a canary added, as retired: messages may refer to their numbers."""
    return {
        key: {**row, "retired": True}
        for key, row in canary.after.items()
        if key[0] in NUMBERED_SECTIONS and canary.before[key] is None and row is not None
    }


def _list_keys(keys: Iterable[Key], max_keys: int = 3) -> str:
    names = sorted(f"{section} {name}" for section, name in keys)
    return ", ".join(names[:max_keys]) + (
        f" and {len(names) - max_keys} more" if len(names) > max_keys else ""
    )
