"""Planted bugs: each is found by a scene, or by drawn schedules, that the right code keeps to."""

from __future__ import annotations

from dataclasses import replace

import pytest
import test_switch as scenes
from switch_schedules import play

from madderbeam.federation import values as fv
from madderbeam.federation.leases import coordination, lease
from madderbeam.federation.switchover import (
    activation,
    inquiry,
    ledger,
    moves,
    ownership_registry,
    release_learning,
    release_records,
    replies,
    switchover,
)
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.membership import values as mv

SEEDS = 10


def drawn():
    for seed in range(SEEDS):
        play(seed, lease_us=0)


def a_release_assumed(patch):
    patch.setattr(ownership_registry.OwnershipRegistry, "missing", lambda self, dest: {})


def lease_counted_from_the_answer(patch):
    def renewed(self, member, message):
        kept(self, member, message)
        if message.granted and self.holder.valid_until_us:
            self.holder.valid_until_us = self.actions.now_us + self.settings.lease_us

    kept = coordination.LeaseCoordination.on_renewal_reply
    patch.setattr(coordination.LeaseCoordination, "on_renewal_reply", renewed)


def a_voter_vouches_early(patch):
    def vouches(self, now_us, member, votes):
        return kept(self, now_us + scenes.LEASE_US // 2, member, votes)

    kept = lease.LeaseGrantor.can_confirm_end
    patch.setattr(lease.LeaseGrantor, "can_confirm_end", vouches)


def a_restarted_voter_vouches_at_once(patch):
    patch.setattr(lease.LeaseGrantor, "start", lambda self, now_us, before_us: None)


def a_vouch_does_not_bind(patch):
    def renew(self, *asked):
        self.min_renewal_table.clear()
        return kept(self, *asked)

    kept = lease.LeaseGrantor.renew
    patch.setattr(lease.LeaseGrantor, "renew", renew)


def a_wait_dropped(patch):
    kept = ownership_registry.OwnershipRegistry.passed_on
    patch.setattr(
        ownership_registry.OwnershipRegistry,
        "passed_on",
        lambda self, *a: tuple(replace(r, retry_waits=()) for r in kept(self, *a)),
    )


def a_wait_dropped_by_one_that_never_began(patch):
    patch.setattr(
        ownership_registry.OwnershipRegistry,
        "unbegun",
        lambda self, dest, number, now_us: fv.Release(dest, self.me, number),
    )


def the_chain_forgotten(patch):
    def after(book_, table, paid, oldest):
        return kept(replace(book_, debts={}), table, paid, oldest)

    kept = ledger.after
    patch.setattr(ownership_registry, "after", after)


def a_hold_lifted_by_a_minority(patch):
    patch.setattr(inquiry.InForceInquiry, "told", lambda self, table: bool(self.answers))


def no_hold_after_a_pause(patch):
    def handle(self, now_us, event):
        return [] if isinstance(event, mv.PauseDetected) else kept(self, now_us, event)

    kept = switchover.Switchover.handle
    patch.setattr(switchover.Switchover, "handle", handle)


def begun_while_letting_go(patch):
    def settle(self, dest):
        self.leaving.pop(dest, None)
        kept(self, dest)

    kept = moves.DestinationMoves._settle
    patch.setattr(moves.DestinationMoves, "_settle", settle)


def released_before_it_is_let_go(patch):
    def relinquish(self, dest):
        kept(self, dest)
        self._write(fv.Release(dest, self.book.me, self.leaving[dest]))

    kept = moves.DestinationMoves._relinquish
    patch.setattr(moves.DestinationMoves, "_relinquish", relinquish)


def an_older_table_put_in_force(patch):
    def add(self, table):
        self.put(replace(self.book.ledger, table=table), False)

    patch.setattr(activation.TableActivation, "add", add)


def a_wait_forgotten_by_a_restart(patch):
    def revived(row, now_us, wall_ms):
        lies = release_records.of_row(row)
        return replace(lies, release=replace(lies.release, retry_waits=()))

    patch.setattr(release_learning, "revived", revived)


def what_is_pending_is_not_heeded(patch):
    patch.setattr(inquiry, "pending_of", lambda council, table: ())
    patch.setattr(replies, "pending_of", lambda council, table: ())


def the_drift_of_clocks_not_counted(patch):
    patch.setattr(SwitchoverSettings, "lease_over_us", property(lambda self: self.lease_us))


def the_wall_clock_alone_believed(patch):
    def revived(row, now_us, wall_ms):
        lies = release_records.of_row(row)
        return release_records.ReleaseRecord(
            release_records.shrunk(lies.release, (wall_ms - lies.wall_ms) * 1_000), now_us, wall_ms
        )

    patch.setattr(release_learning, "revived", revived)


BUGS = {
    a_release_assumed: scenes.test_the_old_owner_dies_amid_its_calls_and_nothing_is_assumed,
    lease_counted_from_the_answer: scenes.test_a_lease_counts_from_before_it_was_asked_for,
    a_voter_vouches_early: scenes.test_the_new_owner_calls_after_the_end_of_the_lease_alone,
    a_restarted_voter_vouches_at_once: scenes.test_voters_that_have_started_wait_a_lease_before_they_vouch,
    a_vouch_does_not_bind: scenes.test_a_vouch_binds_the_voter_until_the_member_has_the_newer_table,
    a_wait_dropped: scenes.test_a_wait_a_drain_and_a_cold_return_bind_the_new_owner,
    a_wait_forgotten_by_a_restart: scenes.test_a_wait_holds_over_two_hops_and_a_restart_of_who_holds_it,
    a_wait_dropped_by_one_that_never_began: scenes.test_a_wait_is_handed_on_by_one_that_never_began,
    the_wall_clock_alone_believed: scenes.test_a_wall_clock_that_stepped_ahead_shortens_no_wait,
    the_chain_forgotten: drawn,
    a_hold_lifted_by_a_minority: scenes.test_a_minority_lifts_no_hold,
    no_hold_after_a_pause: scenes.test_a_paused_member_asks_before_it_serves,
    what_is_pending_is_not_heeded: scenes.test_what_is_pending_is_finished_before_it_is_served,
    begun_while_letting_go: scenes.test_there_and_back_while_a_call_is_out,
    released_before_it_is_let_go: scenes.test_back_with_its_folder_it_releases_what_it_was_letting_go,
    an_older_table_put_in_force: drawn,
    the_drift_of_clocks_not_counted: scenes.test_clocks_that_run_200_ppm_apart_are_no_reason_to_overlap,
}


@pytest.mark.parametrize("plant", BUGS, ids=lambda p: p.__name__)
def test_a_planted_bug_is_found(plant, monkeypatch):
    BUGS[plant]()
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        BUGS[plant]()
