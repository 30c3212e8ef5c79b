"""The calls for changes at the admin address: submit, show, roll back."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from madderbeam.changes import document
from madderbeam.changes.building import build, inverse, inverse_of_rows
from madderbeam.changes.errors import ChangeError
from madderbeam.changes.events import ChangeApproved, ChangeDropped, ChangeSubmitted, RollbackRequested
from madderbeam.changes.machine import ChangeStateMachine
from madderbeam.changes.values import Change, RuntimeState
from madderbeam.transport.control import Answer

MAX_CALL_BYTES = 4 << 20  # enough for a change of about ten thousand endpoints
ACTIONS = ("check", "stage", "apply", "go")
BODY_FORM = '{"do": "check", "stage" or "apply", "change": {...}} or {"do": "go", "name": NAME}'


class AdminCalls:
    """`handle_event` passes an event to the state machine and returns after its actions were carried out."""

    def __init__(
        self,
        machine: ChangeStateMachine,
        runtime_state: Callable[[], RuntimeState],
        handle_event: Callable[[Any], None],
        clock: Callable[[], int],
        pending_by_version: Callable[[], dict[int, int]],
    ) -> None:
        self.machine, self.runtime_state, self.handle_event, self.clock = (
            machine,
            runtime_state,
            handle_event,
            clock,
        )
        self.pending_by_version = pending_by_version

    def handlers(self) -> dict[str, tuple[str, Callable[[bytes], Answer]]]:
        """Return the method and handler of each path."""
        return {
            "GET /changes": ("GET", self._show),
            "POST /changes": ("POST", self._submit),
            "/changes/undo": ("POST", self._roll_back),
        }

    # Submission

    def _submit(self, body: bytes) -> Answer:
        value = _parse_object(body)
        action = value.get("do") if value else None
        if value is None or action not in ACTIONS:
            return Answer(400, f"the body must be a JSON object like {BODY_FORM}\n")
        if action == "go":
            return self._approve(value.get("name"))
        change, errors = document.parse(value.get("change"))
        if change is None:
            return _rejection(400, errors)
        if action == "check":
            errors = self.machine.check(change, self.runtime_state())
            return (
                _rejection(409, errors)
                if errors
                else Answer(200, f"{change.id}: holds on version {self.machine.current.version}\n")
            )
        if (
            action == "apply"
            and (staged := self.machine.staged_change(change.id))
            and staged.change == change
        ):
            return self._approve(change.id)
        return self._submit_change(change, action == "apply")

    def _submit_change(self, change: Change, is_approved: bool) -> Answer:
        if errors := self.machine.check(change, self.runtime_state() if is_approved else None):
            return _rejection(409, errors)
        self.handle_event(ChangeSubmitted(change, self.runtime_state(), is_approved))
        return self._status_answer(change.id)

    def _approve(self, change_id: Any) -> Answer:
        if not isinstance(change_id, str) or self.machine.staged_change(change_id) is None:
            return Answer(404, f"name: no change {change_id!r} waits\n")
        self.handle_event(ChangeApproved(change_id, self.runtime_state()))
        return self._status_answer(change_id)

    def _status_answer(self, change_id: str) -> Answer:
        canary, staged, outcome = (
            self.machine.canary(change_id),
            self.machine.staged_change(change_id),
            self.machine.outcome(change_id),
        )
        if canary is not None:
            return Answer(
                202,
                f"{change_id}: in force as version {canary.version}, on trial for "
                f"{(canary.ends_at_us - self.clock()) // 1000} ms\n",
            )
        if staged is not None:
            return Answer(
                202,
                f"{change_id}: staged; {'it waits for its turn' if staged.is_approved else 'say apply'}\n",
            )
        if outcome is not None:
            return Answer(
                200 if outcome.result == "kept" else 409, f"{change_id}: {outcome.result}: {outcome.reason}\n"
            )
        return Answer(500, f"{change_id}: nothing is known of it\n")

    # Rollback

    def _roll_back(self, body: bytes) -> Answer:
        value = _parse_object(body)
        change_id = value.get("name") if value else None
        if not isinstance(change_id, str):
            return Answer(400, 'the body must be a JSON object like {"name": NAME}\n')
        machine = self.machine
        if machine.staged_change(change_id) is not None:
            self.handle_event(ChangeDropped(change_id))
            return Answer(200, f"{change_id}: dropped, it was not in force\n")
        if (canary := machine.canary(change_id)) is not None:
            rollback = inverse_of_rows(canary.before, canary.after)
            self.handle_event(RollbackRequested(change_id, "by an operator's word"))
            return Answer(200, _rollback_text(change_id, rollback.restores, rollback.not_restored))
        outcome = machine.outcome(change_id)
        if outcome is None or outcome.result != "kept":
            return Answer(404, f"name: no change {change_id!r} waits, is on trial or kept\n")
        return self._roll_back_kept(change_id, outcome.version)

    def _roll_back_kept(self, change_id: str, version: int) -> Answer:
        machine = self.machine
        change, errors = machine.rollback_of(version, f"undo-{version}-{machine.current.version}")
        if change is None or errors:
            return _rejection(409, errors)
        answer = self._submit_change(change, True)
        if answer.status >= 300:
            return answer
        rollback = inverse(build(machine.current, change.ops, 0).snapshot, machine.current)
        return Answer(
            answer.status, answer.text + _rollback_text(change_id, rollback.restores, rollback.not_restored)
        )

    # Status

    def _show(self, _: bytes) -> Answer:
        return Answer(200, json.dumps(self.state(), indent=1) + "\n")

    def state(self) -> dict[str, Any]:
        """Return the full state; durations in milliseconds."""
        machine, now_us, current = self.machine, self.clock(), self.machine.current
        canaries = [
            {
                "name": canary.id,
                "version": canary.version,
                "left_ms": max(0, canary.ends_at_us - now_us) // 1000,
                "touches": sorted(f"{section} {name}" for section, name in canary.after)[:100],
            }
            for canary in machine.canaries
        ]
        return {
            "version": current.version,
            "on_trial": canaries,
            "waiting": [
                {"name": staged.change.id, "go": staged.is_approved, "base": staged.change.base_version}
                for staged in machine.staged
            ],
            "history": [
                {
                    "name": outcome.id,
                    "version": outcome.version,
                    "what": outcome.result,
                    "why": outcome.reason,
                    "at_ms": outcome.recorded_at_ms,
                }
                for outcome in machine.outcomes.values()
            ],
            "drains": {
                uid: max(0, began_at_us + machine.drains.hold_us - now_us) // 1000
                for uid, began_at_us in sorted(machine.drains.began_at_us.items())
            },
            "rows": {
                staged: len(current.sections[staged]) for staged in current.sections if staged != "fixed"
            },
            "messages_by_version": {
                str(version): count for version, count in sorted(self.pending_by_version().items())
            },
        }


def _parse_object(body: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def _rejection(status: int, errors: Sequence[ChangeError]) -> Answer:
    lines = "".join(error.line() + "\n" for error in errors)
    return Answer(status, f"{lines}{len(errors)} mistake{'s' * (len(errors) != 1)}; nothing is changed\n")


def _rollback_text(change_id: str, restores: Sequence[str], not_restored: Sequence[str]) -> str:
    more = f" and {len(restores) - 20} more" if len(restores) > 20 else ""
    return f"{change_id}: restored: {', '.join(restores[:20])}{more}\n" + "".join(
        f"{change_id}: not restored: {text}\n" for text in not_restored[:50]
    )
