"""A thousand random changes, a fifth of them invalid, under steady load on virtual time, with kills; and
seeded faults, which prove that the simulation checks its invariants."""

from collections import Counter

import pytest

from madderbeam.changes import machine, records
from madderbeam.changes.drains import Drains
from madderbeam.changes.machine import ChangeStateMachine
from madderbeam.host.changes.applier import SnapshotApplier
from madderbeam.simulation import changes

SEEDS = range(8)
FOUND_BY = 12  # seeds suffice for each seeded fault


def test_a_thousand_changes_under_load_complete_each_message():
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


SEEDED_FAULTS = {}


def seeded_fault(fault):
    SEEDED_FAULTS[fault.__name__] = fault
    return fault


@seeded_fault
def applies_endpoints_one_by_one(patch):
    """Each endpoint is applied by itself, with other work of the loop in between."""
    whole = SnapshotApplier._apply_endpoints

    def one_by_one(self, action, rows):
        for row in rows:
            self.host.schedule(0.002, lambda row=row: whole(self, action, [row]))

    patch.setattr(SnapshotApplier, "_apply_endpoints", one_by_one)


@seeded_fault
def forgets_a_drains_time_as_it_is_undone(patch):
    patch.setattr(Drains, "is_draining", lambda self, uid, now_us: False)


@seeded_fault
def restarts_a_drains_time_each_time(patch):
    """The start time of a drain is overwritten by any later change."""
    changed = Drains.snapshot_changed

    def anew(self, now_us, before, after, uids):
        uids = list(uids)
        for uid in uids:
            if uid in self.began_at_us:
                self.began_at_us[uid] = now_us - self.hold_us
        return changed(self, now_us, before, after, uids)

    patch.setattr(Drains, "snapshot_changed", anew)


@seeded_fault
def a_waiting_change_keeps_the_snapshot_of_its_submission(patch):
    offered, begin, kept = ChangeStateMachine._change_submitted, ChangeStateMachine._start_canary, {}

    def noted(self, now_us, event):
        kept[event.change.id] = self._build_and_check(event.change, None)[0]
        offered(self, now_us, event)

    def stale(self, now_us, facts, staged, after):
        old = kept.get(staged.change.id, after)
        begin(self, now_us, facts, staged, old.with_rows({}, after.version))

    patch.setattr(ChangeStateMachine, "_change_submitted", noted)
    patch.setattr(ChangeStateMachine, "_start_canary", stale)


@seeded_fault
def forgets_a_canary_over_a_restart(patch):
    patch.setattr(
        records,
        "_restore_others",
        lambda kept, r, over, rest=records._restore_others: (
            rest(kept, r, over),
            r.canaries.clear(),
            setattr(r, "version", r.snapshot.version),
        ),
    )


@seeded_fault
def forgets_drains_over_a_restart(patch):
    patch.setattr(
        records,
        "_restore_others",
        lambda kept, r, over, rest=records._restore_others: (
            rest(kept, r, over),
            r.drain_began_at_ms.clear(),
        ),
    )


@seeded_fault
def checks_nothing_of_a_snapshot(patch):
    patch.setattr(machine, "validate", lambda snapshot, touched=(): [])


@seeded_fault
def settings_are_applied_a_cycle_later(patch):
    settings = SnapshotApplier._apply_settings
    patch.setattr(
        SnapshotApplier,
        "_apply_settings",
        lambda self, snapshot: self.host.schedule(0.003, lambda: settings(self, snapshot)),
    )


@pytest.mark.parametrize("name", SEEDED_FAULTS)
def test_seeded_faults_are_found(monkeypatch, name):
    SEEDED_FAULTS[name](monkeypatch)
    for seed in range(FOUND_BY):
        report, _ = changes.play(seed, 8.0)
        if report.line:
            assert report.violation.rule in ("changes", "drain", "form", "crash"), report.line
            return
    pytest.fail(f"{FOUND_BY} seeds do not find it")
