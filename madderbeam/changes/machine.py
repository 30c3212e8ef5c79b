"""The stages of changes: checked, staged, on trial, kept or undone. `handle(now_us, event) -> actions`.

Changes that touch nothing in common are on trial together, as parts of one: each has its own time, is
watched by itself and undone alone. One that touches what is on trial waits for that trial's end. Each is
checked as it is handed in and again as its turn comes, against the snapshot that it makes of the one in force
then: what was right as it was handed in may be wrong by then.

What comes into force does so in a list of actions that begins with its record, so that a disk that takes
nothing leaves all as it was. What only takes back, an undo or a drain, is done all the same then, and
recorded once the disk takes it. One change comes into force by one event; the machine asks for a look where
more is to be done.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.check import bound, live, whole
from madderbeam.changes.drains import Drains
from madderbeam.changes.events import (
    Apply,
    Dropped,
    Failed,
    FileSeen,
    Go,
    Look,
    Offered,
    Readmit,
    Seen,
    Settled,
    TrialStopped,
)
from madderbeam.changes.making import inverse_of, made, undoing
from madderbeam.changes.records import (
    Back,
    Outcome,
    Restored,
    Staged,
    base_rows,
    change_row,
    ops_row,
    raw_difference,
    rows_row,
    trial_row,
)
from madderbeam.changes.trial import Trial
from madderbeam.changes.values import DRAINING, NUMBERED, Change, Facts, Key, Settings, Snapshot
from madderbeam.membership.values import LogLine, Persist, SetTimer, TimerDue, WriteFailed

BACK_MOST = 16  # versions that can be undone
CHAIN_MOST = 32  # records above a base: then it is written anew
AGAIN_US = 1_000_000  # what the disk did not take is tried again after this
LOOK, DRAIN, AGAIN = "look", "drain", "again"


def in_force(r: Restored) -> Snapshot:
    """What a courier that starts from these records has in force."""
    return composed(r.snapshot, r.trials, r.version)


def composed(kept: Snapshot, trials: Iterable[Trial], version: int) -> Snapshot:
    """What is kept with what is on trial."""
    rows: dict[Key, Any] = {}
    for trial in trials:
        rows |= trial.after
    return kept.with_rows(rows, version)


class Changes:
    """All of one courier's changes. `wall_ms` gives the wall time of the machine's."""

    def __init__(
        self,
        settings: Settings,
        restored: Restored,
        wall_ms: Callable[[int], int],
        fixed: Mapping[Key, Any] | None = None,
    ) -> None:
        """`fixed`: rows that are the file's alone, whatever was kept."""
        self.s, self.wall_ms, self.fixed = settings, wall_ms, fixed or {}
        self.kept = self._with_fixed(restored.snapshot)
        self.trials = list(restored.trials)  # in the order in which they began; they touch nothing in common
        self.version = restored.version  # the newest that was ever in force
        self.current = composed(self.kept, self.trials, self.version)
        self.gen, self.parts = restored.gen, restored.parts
        self.base, self.chain = restored.base, restored.chain  # chain: records so far
        self.staged = list(restored.staged)
        self.past = dict(sorted(restored.past.items()))
        self.back = dict(sorted(restored.back.items()))
        self.file = restored.file and (restored.file[0], self._with_fixed(restored.file[1]))
        self.drains = Drains(settings.drain_ms * 1000)
        self.unwritten = False  # the disk lacks something of what is kept
        self.actions: list[Any] = []
        self._back: tuple[str, list[Any]] | None = None  # the record of what takes back, and what that does
        self._beginning: tuple[Trial, Snapshot, dict[str, int], dict[str, None]] | None = None
        self._drained = restored.drains

    def _with_fixed(self, snapshot: Snapshot) -> Snapshot:
        return snapshot.with_rows(self.fixed, snapshot.version) if self.fixed else snapshot

    # Start

    def start(self, now_us: int) -> list[Any]:
        """Go on from what was kept; a trial begins anew, since nobody has looked at it meanwhile. What it has
        in force is to be brought into force before, with those whose drains were kept as draining."""
        self.actions = []
        for uid, at_ms in self._drained.items():
            self.drains.heard[uid] = now_us - max(0, self.wall_ms(now_us) - at_ms) * 1000
        for uid, row in self.current.endpoints.items():
            if row.state == DRAINING:
                self.drains.heard.setdefault(uid, now_us)
        if not self.gen:
            self._write_base()
        for trial in self.trials:
            trial.again(now_us, now_us + self._trial_us(trial.change))
            self._note(f"{trial.id} (version {trial.version}) is on trial again after a restart")
        if self.trials or any(s.go for s in self.staged):
            self._timer(LOOK, now_us + self.s.look_ms * 1000)
        if self.drains.heard:
            self._timer(DRAIN, now_us)  # some may have ended meanwhile: they come in as returning ones
        return self.actions

    # Questions

    def check(self, change: Change, facts: Facts | None) -> list[errors.ChangeError]:
        """All that is wrong with a change, if it came now; nothing changes by it. Without facts: but for what
        only the running courier can tell."""
        return self._place(change) + self._checked(change, facts)[1]

    def undo_of(self, version: int, ident: str) -> tuple[Change | None, list[errors.ChangeError]]:
        """The change that undoes a kept version, which later ones may have built upon."""
        back = self.back.get(version)
        if back is None or back.dead:
            known = ", ".join(str(v) for v, b in self.back.items() if not b.dead) or "none"
            return None, [errors.Unknown(f"version {version}", "can't be undone from here", known)]
        wrong: list[errors.ChangeError] = []
        later = [(v, b.id, b.ops.keys()) for v, b in self.back.items() if v > version and not b.dead]
        later += [(t.version, t.id, t.after.keys()) for t in self.trials if t.version > version]
        for number, other, keys in later:
            if common := back.ops.keys() & keys:
                wrong.append(
                    errors.BuiltUpon(
                        f"version {version}",
                        f"{other} (version {number}) touched {_some(common)} as well",
                        "a version that no later one touches",
                    )
                )
        return undoing(ident, version, self.current.version, back.ops), wrong

    def outcome(self, ident: str) -> Outcome | None:
        """What became of it last."""
        return next((o for o in reversed(self.past.values()) if o.id == ident), None)

    def waits(self, ident: str) -> Staged | None:
        return next((s for s in self.staged if s.change.id == ident), None)

    def trial(self, ident: str) -> Trial | None:
        return next((t for t in self.trials if t.id == ident), None)

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        self.actions = []
        if isinstance(event, WriteFailed):
            self._not_written(now_us, event)
            return self.actions
        self._beginning = self._back = None
        if isinstance(event, Offered):
            self._offered(now_us, event)
        elif isinstance(event, Go):
            self._go(event)
        elif isinstance(event, Dropped):
            self._drop(now_us, event.id)
        elif isinstance(event, TrialStopped):
            if (trial := self.trial(event.id)) is not None:
                self._undo(now_us, trial, event.why)
        elif isinstance(event, Seen):
            self._seen(now_us, event.facts)
        elif isinstance(event, FileSeen):
            self._file(event.digest, event.snapshot)
        elif isinstance(event, Failed):
            self._failed(now_us, event)
        elif isinstance(event, TimerDue):
            self._due(now_us, event.token)
        return self.actions

    def _due(self, now_us: int, token: str) -> None:
        if token == DRAIN:
            back, gone = self.drains.due(now_us, self.current)
            if back:
                self.actions.append(Readmit(tuple(back)))
            self._drain_timer(now_us)
            self.actions += [Persist("drain", uid, None) for uid in (*back, *gone)]
        elif token == AGAIN:
            if self.unwritten:
                self._write_base()
            self.actions.append(Look())
        elif token == LOOK and (self.trials or any(s.go for s in self.staged)):
            self.actions.append(Look())

    # Handing in

    def _offered(self, now_us: int, event: Offered) -> None:
        change = event.change
        facts = event.facts if event.go else None
        after, wrong = self._checked(change, facts)
        if wrong := [*self._place(change), *wrong]:
            self._settle(now_us, change.id, 0, "refused", "\n".join(e.line() for e in wrong))
            return
        if (
            event.go
            and self._only_drains(change, after)
            and (change.source == "file" or any(change.keys & t.after.keys() for t in self.trials))
        ):
            self._drain_now(now_us, change, after)
            return
        order = 1 + max((s.order for s in self.staged), default=0)
        staged = Staged(change, event.go, order)
        self.staged.append(staged)
        self.actions.append(Persist("staged", change.id, [change_row(change), event.go, order]))
        self._note(f"{change.id} is staged on version {self.current.version}")
        if event.go:
            self.actions.append(Look())

    def _go(self, event: Go) -> None:
        if (staged := self.waits(event.id)) is None or staged.go:
            return
        ready = replace(staged, go=True)
        self.staged[self.staged.index(staged)] = ready
        self.actions.append(Persist("staged", event.id, [change_row(ready.change), True, ready.order]))
        self.actions.append(Look())

    def _drop(self, now_us: int, ident: str) -> None:
        if (staged := self.waits(ident)) is not None:
            self._leave(staged)
            self._settle(now_us, ident, 0, "dropped", "by an operator's word")

    def _place(self, change: Change) -> list[errors.ChangeError]:
        """What is wrong with its place among others."""
        at = f"change {change.id}"
        wrong: list[errors.ChangeError] = []
        out = self.outcome(change.id)
        waiting = self.waits(change.id) or self.trial(change.id)
        if waiting or (out is not None and out.what in ("kept", "undone")):
            told = f"{out.what}, version {out.version}" if out and not waiting else "it waits or is on trial"
            wrong.append(errors.Twice(at, f"{change.id!r} is known already: {told}", "a name of its own"))
        if len(self.staged) >= self.s.queue:
            wrong.append(errors.Full(at, f"{len(self.staged)} wait", f"at most {self.s.queue}"))
        return wrong + self._stale(change)

    def _stale(self, change: Change) -> list[errors.ChangeError]:
        """It builds on a version since which what it touches has changed."""
        at = f"change {change.id}.base"
        if change.base > self.current.version:
            return [errors.Unknown(at, f"there is no version {change.base}", f"{self.current.version}")]
        oldest = min(self.back) - 1 if self.back else self.kept.version
        if change.base < min(oldest, self.kept.version):
            return [
                errors.Stale(
                    at,
                    f"version {change.base} is too old to be compared",
                    f"{oldest} to {self.current.version}",
                )
            ]
        since = [b.ops.keys() for v, b in self.back.items() if v > change.base]
        since += [t.after.keys() for t in self.trials if t.version > change.base]
        if common := {key for keys in since for key in change.keys & keys}:
            return [
                errors.Stale(
                    at, f"{_some(common)} has changed since version {change.base}", f"{self.current.version}"
                )
            ]
        return []

    def _checked(self, change: Change, facts: Facts | None) -> tuple[Snapshot, list[errors.ChangeError]]:
        """The snapshot that it makes of what is in force, and all that is wrong with that; with facts, also
        as the courier is now. A file's word on what partners do stands against what is so now."""
        on = self.current
        result = made(on, change.ops, self.version + 1)
        wrong = [*result.wrong, *bound(on, change), *whole(result.snapshot, change.keys)]
        if not wrong and facts is not None and change.source != "file":
            wrong += live(on, result.snapshot, change, facts, self.s)
        return result.snapshot, wrong

    # Drains

    def _only_drains(self, change: Change, after: Snapshot) -> bool:
        """Nothing but endpoints that are there and drain from now on."""
        for key in change.ops:
            old = self.current.get(key)
            if key[0] != "endpoint" or old is None or after.get(key) != replace(old, state=DRAINING):
                return False
        return True

    def _drain_now(self, now_us: int, change: Change, after: Snapshot) -> None:
        """A drain waits for nothing and is not on trial: the endpoint is going, whatever one might wish. It
        holds also where a trial that touches the endpoint is undone."""
        rows = {key: after.get(key) for key in change.ops}
        self.version = after.version
        kept = {key: replace(row, state=DRAINING) for key in rows if (row := self.kept.get(key)) is not None}
        self.kept = self.kept.with_rows(kept, self.kept.version)
        for trial in self.trials:
            if trial.drain(rows):
                self.actions.append(Persist("trial", str(trial.version), trial_row(trial)))
        self._chain((), kept)
        self._apply(now_us, self.current, after)
        self._remember(after.version, Back(change.id, change.ops, dead=True))
        self._settle(now_us, change.id, after.version, "kept", "drains wait for nothing")
        self._takes_back()

    def _takes_back(self) -> None:
        """What has been decided is to be done also if its record is not written."""
        self._back = str(self.chain), [a for a in self.actions if not isinstance(a, Persist)]

    # Coming into force

    def _next(self, now_us: int, facts: Facts) -> None:
        """Bring the first that may into force, of those that wait for their turn."""
        ahead: set[Key] = {key for t in self.trials for key in t.after}
        for staged in sorted((s for s in self.staged if s.go), key=lambda s: s.order):
            change = staged.change
            if change.source == "file":
                self._make_way(now_us, change)
                ahead = {key for t in self.trials for key in t.after}
            if change.keys & ahead or len(self.trials) >= self.s.queue:
                ahead |= change.keys  # it waits, and what touches it waits behind it
                continue
            after, wrong = self._checked(change, facts)
            if wrong := [*self._stale(change), *wrong]:
                self._leave(staged)
                self._settle(
                    now_us, change.id, 0, "refused", "as its turn came: " + "\n".join(e.line() for e in wrong)
                )
                continue
            self._begin(now_us, facts, staged, after)
            self.actions.append(Look())
            return

    def _make_way(self, now_us: int, change: Change) -> None:
        """A newer file ends the trials of older ones that it touches: they are kept, if they hold alone."""
        for trial in [t for t in self.trials if t.change.source == "file" and change.keys & t.after.keys()]:
            if not whole(composed(self.kept, [trial], self.version)):
                self._keep(now_us, trial, "a newer file has other rows before its time was over")

    def _begin(self, now_us: int, facts: Facts, staged: Staged, after: Snapshot) -> None:
        change, before = staged.change, self.current
        self.version = after.version
        rows = raw_difference(before, after)
        trial = Trial(
            change,
            after.version,
            {key: before.get(key) for key in rows},
            rows,
            now_us,
            now_us + self._trial_us(change),
            self.wall_ms(now_us),
            facts,
        )
        self._beginning = trial, before, dict(self.drains.heard), dict(self.drains.left)
        self.trials.append(trial)
        self.staged.remove(staged)
        behind, self.actions = self.actions, []
        self.actions.append(Persist("trial", str(trial.version), trial_row(trial)))
        self._apply(now_us, before, after, trial=True)
        self.actions.append(Persist("staged", change.id, None))
        self._note(
            f"{change.id} is in force as version {after.version}, on trial for "
            f"{self._trial_us(change) // 1000} ms"
        )
        self._timer(LOOK, now_us + self.s.look_ms * 1000)
        self.actions += behind

    def _trial_us(self, change: Change) -> int:
        return (change.trial_ms or self.s.trial_ms) * 1000

    def _apply(self, now_us: int, before: Snapshot, after: Snapshot, trial: bool = False) -> None:
        """With what is kept of drains that begin by it ahead."""
        uids = list(before.endpoints.differing(after.endpoints))
        had = dict(self.drains.heard)
        held, cold = self.drains.changed(now_us, before, after, uids)
        self.current = after
        heard = self.drains.heard
        begun = [Persist("drain", u, self.wall_ms(heard[u])) for u in heard if u not in had]
        over = [Persist("drain", u, None) for u in had if u not in heard]
        self.actions += [*begun, Apply(before, after, held, cold, trial), *over]
        self._drain_timer(now_us)

    # The trial

    def _seen(self, now_us: int, facts: Facts) -> None:
        for trial in reversed(self.trials):  # what came last is undone first; the others may be well then
            if why := trial.look(now_us, facts, self.s, self.current):
                self._undo(now_us, trial, why)
                for other in self.trials:
                    other.afresh(facts)
                break
        else:  # nothing speaks against any: a look comes before the word to keep
            while self.trials and now_us >= self.trials[0].until_us:
                trial = self.trials[0]
                passed = (now_us - trial.since_us) // 1000
                self._keep(now_us, trial, f"nothing spoke against it for {passed} ms")
            self._next(now_us, facts)
        if self.trials or any(s.go for s in self.staged):
            until = min((t.until_us for t in self.trials if t.until_us > now_us), default=now_us + (1 << 40))
            self._timer(LOOK, min(until, now_us + self.s.look_ms * 1000))

    def _keep(self, now_us: int, trial: Trial, why: str) -> None:
        self.trials.remove(trial)
        self.kept = self.kept.with_rows(trial.after, max(self.kept.version, trial.version))
        self._remember(trial.version, Back(trial.id, inverse_of(trial.before, trial.after).ops))
        self._chain((trial.version,), trial.after)
        self.actions.append(Persist("trial", str(trial.version), None))
        self._settle(now_us, trial.id, trial.version, "kept", why)
        if self.chain - self.base > CHAIN_MOST:
            self._write_base()

    def _undo(self, now_us: int, trial: Trial, why: str) -> None:
        """The inverse is brought into force, also if its record is not written: then a restart resumes the
        trial, which comes to the same end. What began later and does not hold without it goes as well."""
        undone = [(trial, why)]
        rest = [t for t in self.trials if t is not trial]
        retired = _retired(trial)
        while True:
            kept = self.kept.with_rows(retired, self.kept.version)
            after = composed(kept, rest, self.version + 1)
            later = [t for t in rest if t.version > trial.version]
            if not later or not whole(after):
                break
            rest.remove(later[-1])
            undone.append((later[-1], f"it does not hold without {trial.id}, which is undone"))
            retired |= _retired(later[-1])
        before, self.version, self.trials, self.kept = self.current, after.version, rest, kept
        self._chain([t.version for t, _ in undone], retired)
        self._apply(now_us, before, after)
        keys: dict[Key, Any] = {}
        for one, _ in undone:
            keys |= inverse_of(one.before, one.after).ops
        self._remember(after.version, Back(f"undo of {trial.id}", keys, dead=True))
        for one, reason in undone:
            self.actions.append(Persist("trial", str(one.version), None))
            self._settle(now_us, one.id, one.version, "undone", reason)
            for text in inverse_of(one.before, one.after).leaves[:20]:
                self._note(f"{one.id}: not restored: {text}")
        self.actions.append(Look())
        self._takes_back()

    def _failed(self, now_us: int, event: Failed) -> None:
        for trial in self.trials:
            if trial.version == event.version:
                self._undo(now_us, trial, f"could not be brought into force: {event.why}")
                return

    # Records

    def _not_written(self, now_us: int, event: WriteFailed) -> None:
        """The disk did not take a record, and nothing behind it was carried out."""
        if event.kind == "staged" and (staged := self.waits(event.key)) is not None:
            self.staged.remove(staged)
            self._refuse_unkept(now_us, event.key)
        elif event.kind == "trial" and self._beginning and event.key == str(self._beginning[0].version):
            trial, self.current, self.drains.heard, self.drains.left = self._beginning
            self._beginning = None
            self.trials.remove(trial)
            self.unwritten = True  # nor was what stood behind it
            self._refuse_unkept(now_us, trial.id)
        elif event.kind in ("change", "base", "file", "trial", "back"):
            self.unwritten = True  # what is kept is in force: the whole is written once the disk takes it
            if event.kind == "change" and self._back is not None and event.key == self._back[0]:
                self.actions, self._back = self._back[1], None
        self._timer(AGAIN, now_us + AGAIN_US)

    def _refuse_unkept(self, now_us: int, ident: str) -> None:
        error = errors.NotKept(f"change {ident}", "its record was not written", "a disk with room")
        self._settle(now_us, ident, 0, "refused", error.line())

    def _chain(self, over: Iterable[int], rows: Mapping[Key, Any]) -> None:
        """One more record above the base: trials that are over by it, and rows that are kept from now on."""
        self.chain += 1
        self.actions.append(Persist("change", str(self.chain), [list(over), self.version, rows_row(rows)]))

    def _write_base(self) -> None:
        """All that is kept anew; what it stands for before then goes."""
        old, parts, before = self.base, self.parts, self.gen
        self.gen, self.base, self.unwritten = before + 1, self.chain, False
        rows = list(
            base_rows(self.kept, self.gen, self.chain, self.version, [t.version for t in self.trials])
        )
        self.parts = len(rows) - 1
        self.actions += [Persist("trial", str(t.version), trial_row(t)) for t in self.trials]
        self.actions += [Persist(*row) for row in rows]
        self.actions += [Persist("base", f"{before}/{n}", None) for n in range(parts)]
        self.actions += [Persist("change", str(n), None) for n in range(old + 1, self.base + 1)]
        if self.file is not None:
            self._file(*self.file)

    def _file(self, digest: str, snapshot: Snapshot) -> None:
        self.file = (digest, snapshot)
        rows = rows_row(raw_difference(self.kept, snapshot))
        self.actions.append(Persist("file", "", [digest, self.chain, rows]))

    def _remember(self, version: int, back: Back) -> None:
        self.back[version] = back
        self.actions.append(Persist("back", str(version), [back.id, ops_row(back.ops), back.dead]))
        while len(self.back) > BACK_MOST:
            oldest = min(self.back)
            del self.back[oldest]
            self.actions.append(Persist("back", str(oldest), None))

    def _leave(self, staged: Staged) -> None:
        self.staged.remove(staged)
        self.actions.append(Persist("staged", staged.change.id, None))

    def _settle(self, now_us: int, ident: str, version: int, what: str, why: str) -> None:
        number = 1 + max(self.past, default=0)
        self.past[number] = out = Outcome(ident, version, what, why[:4000], self.wall_ms(now_us))
        while len(self.past) > self.s.history:
            oldest = min(self.past)
            del self.past[oldest]
            self.actions.append(Persist("past", str(oldest), None))
        self.actions.append(Settled(ident, what, why))
        self.actions.append(Persist("past", str(number), [out.id, out.version, out.what, out.why, out.at_ms]))
        self._note(f"{ident} is {what}: {why}")

    # Help

    def _note(self, text: str) -> None:
        self.actions.append(LogLine(text))

    def _timer(self, token: str, at_us: int) -> None:
        self.actions.append(SetTimer(at_us, token))

    def _drain_timer(self, now_us: int) -> None:
        if (at := self.drains.next_us(now_us)) is not None:
            self._timer(DRAIN, at)


def _retired(trial: Trial) -> dict[Key, Any]:
    """The numbers that a trial has given stay given: messages may name them."""
    return {
        key: {**row, "retired": True}
        for key, row in trial.after.items()
        if key[0] in NUMBERED and trial.before[key] is None and row is not None
    }


def _some(keys: Iterable[Key], most: int = 3) -> str:
    found = sorted(f"{section} {name}" for section, name in keys)
    return ", ".join(found[:most]) + (f" and {len(found) - most} more" if len(found) > most else "")
