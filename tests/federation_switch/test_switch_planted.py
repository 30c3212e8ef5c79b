"""Seeded faults: each is found by a scenario, or by random schedules, that the correct code passes."""

from __future__ import annotations

from dataclasses import replace

import pytest
import test_switch as scenarios
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


def random_schedules():
    for seed in range(SEEDS):
        play(seed, lease_us=0)


def release_is_assumed(patch):
    patch.setattr(ownership_registry.OwnershipRegistry, "missing_releases", lambda self, dest: {})


def lease_runs_from_the_reply(patch):
    def renewed(self, member, message):
        original(self, member, message)
        if message.granted and self.holder.valid_until_us:
            self.holder.valid_until_us = self.actions.now_us + self.settings.lease_us

    original = coordination.LeaseCoordination.on_renewal_reply
    patch.setattr(coordination.LeaseCoordination, "on_renewal_reply", renewed)


def voter_confirms_an_end_early(patch):
    def vouches(self, now_us, member, votes):
        return original(self, now_us + scenarios.LEASE_US // 2, member, votes)

    original = lease.LeaseGrantor.can_confirm_end
    patch.setattr(lease.LeaseGrantor, "can_confirm_end", vouches)


def restarted_voter_confirms_an_end_at_once(patch):
    patch.setattr(lease.LeaseGrantor, "start", lambda self, now_us, before_us: None)


def confirmation_does_not_bind_the_voter(patch):
    def renew(self, *arguments):
        self.min_renewal_table.clear()
        return original(self, *arguments)

    original = lease.LeaseGrantor.renew
    patch.setattr(lease.LeaseGrantor, "renew", renew)


def wait_is_not_passed_on(patch):
    original = ownership_registry.OwnershipRegistry.inherited_releases
    patch.setattr(
        ownership_registry.OwnershipRegistry,
        "inherited_releases",
        lambda self, *a: tuple(replace(r, retry_waits=()) for r in original(self, *a)),
    )


def wait_is_lost_by_an_owner_without_calls(patch):
    patch.setattr(
        ownership_registry.OwnershipRegistry,
        "release_of_unserved",
        lambda self, dest, number, now_us: fv.Release(dest, self.local_member, number),
    )


def outstanding_releases_of_earlier_tables_are_dropped(patch):
    def after(book_, table, paid, oldest):
        return original(replace(book_, outstanding={}), table, paid, oldest)

    original = ledger.next_ledger
    patch.setattr(ownership_registry, "next_ledger", after)


def serving_resumes_after_one_reply(patch):
    patch.setattr(inquiry.InForceInquiry, "has_majority", lambda self, table: bool(self.replies))


def serving_continues_after_a_pause(patch):
    def handle(self, now_us, event):
        return [] if isinstance(event, mv.PauseDetected) else original(self, now_us, event)

    original = switchover.Switchover.handle
    patch.setattr(switchover.Switchover, "handle", handle)


def serving_begins_while_relinquishing(patch):
    def settle(self, dest):
        self.relinquishing.pop(dest, None)
        original(self, dest)

    original = moves.DestinationMoves._reconcile
    patch.setattr(moves.DestinationMoves, "_reconcile", settle)


def released_while_relinquishing(patch):
    def relinquish(self, dest):
        original(self, dest)
        self._write(fv.Release(dest, self.registry.local_member, self.relinquishing[dest]))

    original = moves.DestinationMoves._relinquish
    patch.setattr(moves.DestinationMoves, "_relinquish", relinquish)


def any_agreed_table_comes_in_force(patch):
    def add(self, table):
        self.write(replace(self.registry.ledger, table=table), False)

    patch.setattr(activation.TableActivation, "add", add)


def wait_is_lost_by_a_restart(patch):
    def restored(row, now_us, wall_ms):
        record = release_records.record_from_row(row)
        return replace(record, release=replace(record.release, retry_waits=()))

    patch.setattr(release_learning, "restored", restored)


def pending_proposals_are_ignored(patch):
    patch.setattr(inquiry, "pending_proposals", lambda consensus, table: ())
    patch.setattr(replies, "pending_proposals", lambda consensus, table: ())


def clock_drift_is_ignored(patch):
    patch.setattr(SwitchoverSettings, "lease_expiry_us", property(lambda self: self.lease_us))


def only_the_wall_clock_is_used(patch):
    def restored(row, now_us, wall_ms):
        record = release_records.record_from_row(row)
        return release_records.ReleaseRecord(
            release_records.shortened(record.release, (wall_ms - record.wall_ms) * 1_000), now_us, wall_ms
        )

    patch.setattr(release_learning, "restored", restored)


FAULTS = {
    release_is_assumed: scenarios.test_after_the_old_owner_dies_the_new_one_waits_for_its_decommissioning,
    lease_runs_from_the_reply: scenarios.test_a_lease_runs_from_the_time_of_its_request,
    voter_confirms_an_end_early: scenarios.test_the_new_owner_waits_for_the_end_of_the_lease,
    restarted_voter_confirms_an_end_at_once: scenarios.test_restarted_voters_wait_before_they_confirm_an_end,
    confirmation_does_not_bind_the_voter: scenarios.test_a_confirmed_end_binds_the_voter,
    wait_is_not_passed_on: scenarios.test_the_new_owner_observes_waits_draining_and_cold_endpoints,
    wait_is_lost_by_a_restart: scenarios.test_a_wait_survives_two_moves_and_a_restart_between_them,
    wait_is_lost_by_an_owner_without_calls: scenarios.test_a_wait_is_passed_on_by_an_owner_that_never_served,
    only_the_wall_clock_is_used: scenarios.test_a_wall_clock_step_forward_shortens_no_wait,
    outstanding_releases_of_earlier_tables_are_dropped: random_schedules,
    serving_resumes_after_one_reply: scenarios.test_replies_of_a_minority_do_not_resume_serving,
    serving_continues_after_a_pause: scenarios.test_a_paused_member_queries_before_it_serves_again,
    pending_proposals_are_ignored: scenarios.test_a_pending_proposal_is_finished_before_serving,
    serving_begins_while_relinquishing: scenarios.test_a_destination_returns_while_a_call_is_in_flight,
    released_while_relinquishing: scenarios.test_a_restarted_member_releases_what_it_was_relinquishing,
    any_agreed_table_comes_in_force: random_schedules,
    clock_drift_is_ignored: scenarios.test_clock_drift_of_200_ppm_causes_no_overlap,
}


@pytest.mark.parametrize("seed_fault", FAULTS, ids=lambda p: p.__name__)
def test_a_seeded_fault_is_found(seed_fault, monkeypatch):
    FAULTS[seed_fault]()
    seed_fault(monkeypatch)
    with pytest.raises(AssertionError):
        FAULTS[seed_fault]()
