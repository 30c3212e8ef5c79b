"""Changes at the second address: handed in, looked at, undone."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from madderbeam.changes import document
from madderbeam.changes.errors import ChangeError
from madderbeam.changes.events import Dropped, Go, Offered, TrialStopped
from madderbeam.changes.machine import Changes
from madderbeam.changes.making import inverse, inverse_of, made
from madderbeam.changes.values import Change, Facts
from madderbeam.transport.control import Answer

CALL_MOST = 4 << 20  # bytes of a call: a change of some ten thousand endpoints
DO = ("check", "stage", "apply", "go")
FORM = '{"do": "check", "stage" or "apply", "change": {...}} or {"do": "go", "name": NAME}'


class Calls:
    """`tell` hands the machine an event, and has carried out what follows from it when it returns."""

    def __init__(
        self,
        machine: Changes,
        facts: Callable[[], Facts],
        tell: Callable[[Any], None],
        now: Callable[[], int],
        versions: Callable[[], dict[int, int]],
    ) -> None:
        self.machine, self.facts, self.tell, self.now = machine, facts, tell, now
        self.versions = versions

    def table(self) -> dict[str, tuple[str, Callable[[bytes], Answer]]]:
        """What is answered where."""
        return {
            "GET /changes": ("GET", self._show),
            "POST /changes": ("POST", self._hand_in),
            "/changes/undo": ("POST", self._undo),
        }

    # Handing in

    def _hand_in(self, body: bytes) -> Answer:
        value = _object(body)
        do = value.get("do") if value else None
        if value is None or do not in DO:
            return Answer(400, f"the body must be a JSON object like {FORM}\n")
        if do == "go":
            return self._go(value.get("name"))
        change, wrong = document.read(value.get("change"))
        if change is None:
            return _no(400, wrong)
        if do == "check":
            wrong = self.machine.check(change, self.facts())
            return (
                _no(409, wrong)
                if wrong
                else Answer(200, f"{change.id}: holds on version {self.machine.current.version}\n")
            )
        if do == "apply" and (staged := self.machine.waits(change.id)) and staged.change == change:
            return self._go(change.id)
        return self._offer(change, do == "apply")

    def _offer(self, change: Change, go: bool) -> Answer:
        if wrong := self.machine.check(change, self.facts() if go else None):
            return _no(409, wrong)
        self.tell(Offered(change, self.facts(), go))
        return self._became(change.id)

    def _go(self, ident: Any) -> Answer:
        if not isinstance(ident, str) or self.machine.waits(ident) is None:
            return Answer(404, f"name: no change {ident!r} waits\n")
        self.tell(Go(ident, self.facts()))
        return self._became(ident)

    def _became(self, ident: str) -> Answer:
        trial, staged, out = self.machine.trial(ident), self.machine.waits(ident), self.machine.outcome(ident)
        if trial is not None:
            return Answer(
                202,
                f"{ident}: in force as version {trial.version}, on trial for "
                f"{(trial.until_us - self.now()) // 1000} ms\n",
            )
        if staged is not None:
            return Answer(202, f"{ident}: staged; {'it waits for its turn' if staged.go else 'say apply'}\n")
        if out is not None:
            return Answer(200 if out.what == "kept" else 409, f"{ident}: {out.what}: {out.why}\n")
        return Answer(500, f"{ident}: nothing is known of it\n")

    # Undoing

    def _undo(self, body: bytes) -> Answer:
        value = _object(body)
        ident = value.get("name") if value else None
        if not isinstance(ident, str):
            return Answer(400, 'the body must be a JSON object like {"name": NAME}\n')
        machine = self.machine
        if machine.waits(ident) is not None:
            self.tell(Dropped(ident))
            return Answer(200, f"{ident}: dropped, it was not in force\n")
        if (trial := machine.trial(ident)) is not None:
            told = inverse_of(trial.before, trial.after)
            self.tell(TrialStopped(ident, "by an operator's word"))
            return Answer(200, _restores(ident, told.restores, told.leaves))
        out = machine.outcome(ident)
        if out is None or out.what != "kept":
            return Answer(404, f"name: no change {ident!r} waits, is on trial or kept\n")
        return self._undo_kept(ident, out.version)

    def _undo_kept(self, ident: str, version: int) -> Answer:
        machine = self.machine
        change, wrong = machine.undo_of(version, f"undo-{version}-{machine.current.version}")
        if change is None or wrong:
            return _no(409, wrong)
        answer = self._offer(change, True)
        if answer.status >= 300:
            return answer
        told = inverse(made(machine.current, change.ops, 0).snapshot, machine.current)
        return Answer(answer.status, answer.text + _restores(ident, told.restores, told.leaves))

    # Looking

    def _show(self, _: bytes) -> Answer:
        return Answer(200, json.dumps(self.state(), indent=1) + "\n")

    def state(self) -> dict[str, Any]:
        """All that is known; spans in milliseconds."""
        m, now, current = self.machine, self.now(), self.machine.current
        trials = [
            {
                "name": trial.id,
                "version": trial.version,
                "left_ms": max(0, trial.until_us - now) // 1000,
                "touches": sorted(f"{section} {name}" for section, name in trial.after)[:100],
            }
            for trial in m.trials
        ]
        return {
            "version": current.version,
            "on_trial": trials,
            "waiting": [{"name": s.change.id, "go": s.go, "base": s.change.base} for s in m.staged],
            "history": [
                {"name": o.id, "version": o.version, "what": o.what, "why": o.why, "at_ms": o.at_ms}
                for o in m.past.values()
            ],
            "drains": {
                uid: max(0, at + m.drains.hold_us - now) // 1000 for uid, at in sorted(m.drains.heard.items())
            },
            "rows": {s: len(current.sections[s]) for s in current.sections if s != "fixed"},
            "messages_by_version": {str(v): n for v, n in sorted(self.versions().items())},
        }


def _object(body: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def _no(status: int, wrong: Sequence[ChangeError]) -> Answer:
    lines = "".join(e.line() + "\n" for e in wrong)
    return Answer(status, f"{lines}{len(wrong)} mistake{'s' * (len(wrong) != 1)}; nothing is changed\n")


def _restores(ident: str, restores: Sequence[str], leaves: Sequence[str]) -> str:
    more = f" and {len(restores) - 20} more" if len(restores) > 20 else ""
    return f"{ident}: restored: {', '.join(restores[:20])}{more}\n" + "".join(
        f"{ident}: not restored: {text}\n" for text in leaves[:50]
    )
