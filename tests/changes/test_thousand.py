"""A thousand random changes, a fifth of them wrong, under steady load on virtual time, with kills; and the
bugs that are planted to prove that what holds there is looked at."""

from collections import Counter

import pytest

from madderbeam.changes import machine, records
from madderbeam.changes.drains import Drains
from madderbeam.changes.machine import Changes
from madderbeam.host.changes.applying import Applying
from madderbeam.simulation import changes

SEEDS = range(8)
FOUND_BY = 12  # seeds are enough for each bug


def test_a_thousand_changes_under_load_and_each_message_has_its_end():
    drawn, kills, messages = Counter(), 0, 0
    for seed in SEEDS:
        report, counts = changes.play(seed)
        assert not report.line, report.line
        drawn, kills, messages = drawn + counts, kills + report.kills, messages + report.messages
    assert drawn["good"] + drawn["bad"] + drawn["undo"] >= 1000
    assert drawn["bad"] > 0.15 * (drawn["good"] + drawn["bad"]) and drawn["applied"] > 300
    assert kills > 8 and messages > 2000


def test_a_seed_gives_the_same_run_again():
    assert changes.play(3, 4.0, trace=True)[0].trace == changes.play(3, 4.0, trace=True)[0].trace


BUGS = {}


def bug(plant):
    BUGS[plant.__name__] = plant
    return plant


@bug
def applies_entry_by_entry(patch):
    """Each endpoint by itself, with the loop's other work in between."""
    whole = Applying._list

    def one_by_one(self, action, rows):
        for row in rows:
            self.host.schedule(0.002, lambda row=row: whole(self, action, [row]))

    patch.setattr(Applying, "_list", one_by_one)


@bug
def forgets_a_drains_time_as_it_is_undone(patch):
    patch.setattr(Drains, "holds", lambda self, uid, now_us: False)


@bug
def begins_a_drains_time_anew_each_time(patch):
    """The clock is set by whatever comes: what it said before is gone."""
    changed = Drains.changed

    def anew(self, now_us, before, after, uids):
        uids = list(uids)
        for uid in uids:
            if uid in self.heard:
                self.heard[uid] = now_us - self.hold_us
        return changed(self, now_us, before, after, uids)

    patch.setattr(Drains, "changed", anew)


@bug
def a_change_that_waits_keeps_the_snapshot_of_its_offer(patch):
    offered, begin, kept = Changes._offered, Changes._begin, {}

    def noted(self, now_us, event):
        kept[event.change.id] = self._checked(event.change, None)[0]
        offered(self, now_us, event)

    def stale(self, now_us, facts, staged, after):
        old = kept.get(staged.change.id, after)
        begin(self, now_us, facts, staged, old.with_rows({}, after.version))

    patch.setattr(Changes, "_offered", noted)
    patch.setattr(Changes, "_begin", stale)


@bug
def forgets_a_trial_over_a_restart(patch):
    patch.setattr(
        records,
        "_rest",
        lambda kept, r, over, rest=records._rest: (
            rest(kept, r, over),
            r.trials.clear(),
            setattr(r, "version", r.snapshot.version),
        ),
    )


@bug
def forgets_drains_over_a_restart(patch):
    patch.setattr(
        records, "_rest", lambda kept, r, over, rest=records._rest: (rest(kept, r, over), r.drains.clear())
    )


@bug
def checks_nothing_of_a_snapshot(patch):
    patch.setattr(machine, "whole", lambda snapshot, touched=(): [])


@bug
def settings_come_a_turn_later(patch):
    settings = Applying._settings
    patch.setattr(
        Applying,
        "_settings",
        lambda self, snapshot: self.host.schedule(0.003, lambda: settings(self, snapshot)),
    )


@pytest.mark.parametrize("name", BUGS)
def test_planted_bugs_are_found(monkeypatch, name):
    BUGS[name](monkeypatch)
    for seed in range(FOUND_BY):
        report, _ = changes.play(seed, 8.0)
        if report.line:
            assert report.violation.rule in ("changes", "drain", "form", "crash"), report.line
            return
    pytest.fail(f"{FOUND_BY} seeds do not find it")
