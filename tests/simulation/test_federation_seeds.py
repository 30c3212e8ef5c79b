"""Federations on the virtual loop: seeds of sites, members, partners and tables, judged from outside."""

import pytest

from madderbeam.simulation.federation import Federation, play


def test_members_of_several_sites_relay_deliver_and_switch_tables():
    for seed in (1, 2):
        report = play(seed, faults=False)
        assert not report.line and report.messages > 100 and report.delivered == report.messages


def test_a_seed_gives_the_same_trace_again():
    first, second = (play(3, trace=True).trace for _ in range(2))
    assert first == second and any("has table 2 in force" in line for line in first)


def test_a_message_that_goes_back_to_where_it_came_from_has_its_end():
    report = play(2)  # athens, macon, athens own its destination in turn
    assert "propose" in report.kinds and not report.line


def test_what_came_while_a_process_stood_still_does_not_end_its_question():
    report = play(118)  # paused amid its first question, whose answers wait in its sockets
    assert {"pause", "wipe"} <= set(report.kinds) and not report.line


def test_a_restart_reports_a_message_whose_time_is_over_as_the_process_before_may_have_done():
    # On a full disk a message was reported undeliverable, without a record, and by the next process deferred.
    assert not play(72174).line


@pytest.mark.parametrize("seed", [72533, 72968])
def test_a_member_whose_vote_was_not_written_is_not_taken_for_rolled_back_after_a_restart(seed):
    # On a full disk it announced a count of votes that was not on its disk.
    report = play(seed)
    assert "disk_full" in report.kinds and not report.line


def test_an_unsafe_message_is_not_relayed_again_once_its_relay_has_lost_its_folder():
    # The relay had called with it, came back without its records, and turned it away as never seen.
    report = play(72173)
    assert "wipe" in report.kinds and not report.line


def test_a_start_that_finds_no_room_for_its_lock_is_made_again():
    # Killed before its lock file was on disk: on a full one it says so, ends, and is started again.
    report = play(82545)
    assert "disk_full" in report.kinds and not report.line


def test_a_member_whose_start_was_not_written_is_not_taken_for_rolled_back_after_the_next():
    # On a full disk it told others of a start count that was not on its disk, and began with the same again.
    report = play(82884)
    assert "disk_full" in report.kinds and not report.line


@pytest.mark.parametrize("seed", [3004, 3055])
def test_what_comes_twice_on_links_between_members_breaks_no_rule(seed):
    world = Federation(seed)
    world.fabric.copies = 0.2
    for way in world.fabric.ways.values():
        way.copies = 0.2
    report = world.play()
    assert not report.line and report.delivered
