"""The agreement without faults, and with a site, a voter or a proposer that fails."""

from __future__ import annotations

import pytest
from agreement_net import QUICK, SECOND, Net, member_id, table

from madderbeam.federation.errors import (
    FolderOlder,
    NoMajority,
    NotAllStaged,
    Superseded,
    TableRefused,
    TablesDiffer,
    WordUnwritten,
)
from madderbeam.federation.table import read_table
from madderbeam.federation.values import RollbackAccepted
from madderbeam.membership.values import (
    Incarnation,
    MemberChanged,
    MemberId,
    MemberView,
    RollbackDetected,
    State,
)

NEXT_TABLE = table(2, variant=1)


def started_net(first=None, seed=0, excluded=()) -> Net:
    net = Net(first or table(), seed)
    net.start(*(m for m in net.all() if m not in excluded))
    net.run(SECOND)
    return net


def error_at(net: Net, member: MemberId, proposed) -> object:
    reports = [o for m, o in net.outcomes if m == member and o.proposal == proposed.proposal_id]
    assert len(reports) == 1, reports
    return reports[0].error


def test_a_table_is_agreed_by_all_sites():
    net = started_net()
    net.propose(member_id(1), NEXT_TABLE)
    assert net.run(SECOND, lambda: net.all_at(2))
    assert error_at(net, member_id(1), NEXT_TABLE) is None
    net.propose(member_id(2), table(3))
    assert net.run(SECOND, lambda: net.all_at(3))
    assert [t.number for t in net.up[member_id(0)].known_since(1)] == [2, 3]


def test_a_table_proposed_twice_is_agreed_once():
    net = started_net()
    for member in (member_id(0), member_id(0), member_id(2)):
        net.propose(member, NEXT_TABLE)
    assert net.run(2 * SECOND, lambda: net.all_at(2) and len(net.outcomes) >= 2)
    net.propose(member_id(1), NEXT_TABLE)  # and once it is in force already
    net.run(SECOND)
    assert [o.is_agreed for _, o in net.outcomes] == [True] * 3 and net.up[member_id(0)].base.number == 2


@pytest.mark.parametrize("seed", range(20))
def test_of_two_proposals_at_once_one_is_agreed(seed):
    net, other = started_net(seed=seed), table(2, variant=2)
    net.propose(member_id(0), NEXT_TABLE)
    net.propose(member_id(1), other)
    assert net.run(10 * SECOND, lambda: net.all_at(2) and len(net.outcomes) == 2)
    errors = [o.error for _, o in net.outcomes if not o.is_agreed]
    assert len(errors) == 1 and isinstance(errors[0], Superseded)
    net.check_outcomes()


def test_one_site_in_forty_rejects_a_table():
    net = started_net(table(sites=40))
    proposed = table(2, sites=40, variant=1)
    net.check_result = lambda member, t: "no partner 7 here" if member == member_id(23) else ""
    net.propose(member_id(0), proposed)
    assert net.run(3 * SECOND, lambda: net.outcome(proposed) is not None)
    error = error_at(net, member_id(0), proposed)
    assert isinstance(error, TableRefused) and error.place == "s23"
    assert "s23/m0: no partner 7 here" in str(error)
    net.run(5 * SECOND)
    assert all(m.base.number == 1 and not m.pending for m in net.up.values())
    net.check_result = lambda member, t: ""  # the number is free again, even for the same table
    net.propose(member_id(0), proposed)
    assert net.run(3 * SECOND, lambda: net.all_at(2))


def test_one_site_in_forty_is_dead():
    first, dead_members = table(sites=40, members=2), (member_id(23), member_id(23, 1))
    net = started_net(first, excluded=dead_members)
    for member in dead_members:
        view = MemberView(member, Incarnation(1, 1), 0, State.DEAD, ("h", 1), net.now_us)
        net.deliver(member_id(0), MemberChanged(view))
    proposed = table(2, sites=40, members=2, variant=1)
    started_us = net.now_us
    net.propose(member_id(0), proposed)
    net.run(5 * SECOND)
    coordination = net.up[member_id(0)].status(net.now_us)["driven"]
    assert (
        list(coordination["not_staged"]) == ["s23"]
        and "s23/m1 (dead for 5 s)" in coordination["not_staged"]["s23"]
    )
    assert net.run(10 * SECOND, lambda: net.outcome(proposed) is not None)
    error = error_at(net, member_id(0), proposed)
    assert isinstance(error, NotAllStaged) and net.now_us - started_us < QUICK.vote_timeout_us + 2 * SECOND
    assert "s23 has not staged table 2 for 10 s: no answer from s23/m0 (dead for 10 s), s23/m1" in str(error)
    assert all(m.base.number == 1 for m in net.up.values())
    document = proposed.document()
    document["owners"] = {d: "s00" if s == "s23" else s for d, s in document["owners"].items()}
    del document["sites"]["s23"]
    reduced = read_table({**document, "off": [str(m) for m in dead_members]})
    net.propose(member_id(0), reduced)
    assert net.run(2 * SECOND, lambda: net.all_at(2))


def test_a_newer_proposal_need_not_wait_for_a_stuck_one():
    net = started_net(excluded=[member_id(2)])
    net.propose(member_id(0), NEXT_TABLE)
    net.run(3 * SECOND)
    document = table(2, sites=2).document()
    reduced = read_table({**document, "off": [str(member_id(2))]})
    net.propose(member_id(1), reduced)
    assert net.run(2 * SECOND, lambda: net.all_at(2))
    net.run(SECOND)
    assert (
        isinstance(error_at(net, member_id(0), NEXT_TABLE), Superseded)
        and error_at(net, member_id(1), reduced) is None
    )


def test_another_member_votes_for_a_site_whose_first_is_dead():
    net = started_net(table(members=2), excluded=[member_id(1)])
    net.propose(member_id(0), table(2, members=2, variant=1))
    assert net.run(3 * SECOND, lambda: net.all_at(2))


def test_one_member_that_cannot_serve_by_it_rejects_it_for_its_site():
    net, proposed = started_net(table(members=2)), table(2, members=2, variant=1)
    net.check_result = lambda member, t: "no class spring" if member == member_id(1, 1) else ""
    net.propose(member_id(0), proposed)
    assert net.run(3 * SECOND, lambda: net.outcome(proposed) is not None)
    assert "s01/m1: no class spring" in str(error_at(net, member_id(0), proposed))


def test_a_check_without_a_reply_rejects_the_table():
    net = started_net()
    net.check_result = lambda member, t: None if member == member_id(1) else ""
    net.propose(member_id(0), NEXT_TABLE)
    assert net.run(4 * SECOND, lambda: net.outcome(NEXT_TABLE) is not None)
    assert "s01/m0: it was not checked within 2 s" in str(error_at(net, member_id(0), NEXT_TABLE))


def test_a_new_site_catches_up_and_stages_its_first_table():
    net = started_net()
    for number in (2, 3):
        net.propose(member_id(0), table(number, variant=number))
        assert net.run(2 * SECOND, lambda number=number: net.all_at(number))
    net.start(member_id(3))  # it knows only the first table, from its configuration
    net.propose(member_id(1), table(4, sites=4))
    assert net.run(3 * SECOND, lambda: net.all_at(4))


def test_the_smaller_side_of_a_partition_agrees_on_nothing():
    net = started_net(table(sites=5))
    minority = {member_id(0), member_id(1)}
    net.is_cut = lambda a, b: (a in minority) != (b in minority)
    first, second = table(2, sites=5, variant=1), table(2, sites=5, variant=2)
    net.propose(member_id(0), first)
    net.propose(member_id(4), second)
    net.run(2 * QUICK.vote_timeout_us)
    assert isinstance(error_at(net, member_id(0), first), NoMajority)
    assert isinstance(error_at(net, member_id(4), second), NotAllStaged)
    assert "found no majority of the 5 voters of table 1 in 10 s" in str(error_at(net, member_id(0), first))
    assert all(m.base.number == 1 for m in net.up.values())
    net.is_cut = lambda a, b: False
    net.propose(member_id(0), first)
    assert net.run(5 * SECOND, lambda: net.all_at(2))


def test_a_member_that_was_away_catches_up_on_the_last_eight():
    net = started_net(excluded=[member_id(2, 1)], first=table(members=2))
    for number in range(2, 14):
        net.propose(member_id(0), table(number, members=2, variant=number))
        assert net.run(4 * SECOND, lambda number=number: net.all_at(number))
    net.start(member_id(2, 1))
    assert net.run(3 * SECOND, lambda: net.all_at(13))
    restarted = net.up[member_id(2, 1)]
    assert [t.number for t in restarted.known_since(0)] == list(range(6, 14))
    assert [k for k in net.disks[member_id(0)] if k[0] == "agreed"] == [
        ("agreed", str(n)) for n in range(6, 14)
    ]


def test_differing_first_tables_are_detected():
    net = started_net(excluded=[member_id(2)])
    net.other_first_tables[member_id(2)] = table(variant=2)
    net.start(member_id(2))
    net.run(2 * SECOND)
    differing = {m: n.error for m, n in net.log_lines if isinstance(n.error, TablesDiffer)}
    assert (
        differing.keys() == {member_id(0), member_id(1), member_id(2)} and len(net.log_lines) == 4
    )  # one for each pair
    assert f"s02/m0 has table {table(variant=2).proposal_id}, s00/m0 has {table().proposal_id}" in str(
        differing[member_id(0)]
    )
    net.propose(member_id(0), NEXT_TABLE)
    net.run(QUICK.vote_timeout_us * 2)
    assert isinstance(error_at(net, member_id(0), NEXT_TABLE), NotAllStaged)


def test_a_failed_write_of_the_table_rejects_it():
    net = started_net()
    net.write_fails = lambda member, record: member == member_id(2) and record.kind == "staged"
    net.propose(member_id(0), NEXT_TABLE)
    assert net.run(2 * SECOND, lambda: net.outcome(NEXT_TABLE) is not None)
    error = error_at(net, member_id(0), NEXT_TABLE)
    assert isinstance(error, WordUnwritten) and "s02/m0: the disk did not take the table" in str(error)


# Rollback detection


def copy_disk(net: Net, member: MemberId) -> dict:
    return dict(net.disks[member])


def restart_from_copy(net: Net, member: MemberId, disk: dict, start: int) -> None:
    """Restart the member from a copy of its disk. `start`: the last start number that the copy has."""
    net.kill(member)
    net.disks[member], net.starts[member] = dict(disk), start
    del net.announced_number[member]  # it does go back; the rollback must be detected
    net.start(member)
    net.run(SECOND)


def test_a_rolled_back_voter_does_not_vote_until_it_is_trusted():
    net = started_net()
    disk_copy = copy_disk(net, member_id(1))
    for number in (2, 3):
        net.kill(member_id(1))
        net.start(member_id(1))
        net.propose(member_id(0), table(number, variant=number))
        assert net.run(5 * SECOND, lambda number=number: net.all_at(number))
    restart_from_copy(net, member_id(1), disk_copy, start=1)  # it is at start 2 and was at 3
    assert not net.up[member_id(1)].may_vote and net.up[member_id(0)].may_vote
    errors = [n.error for m, n in net.log_lines if m == member_id(1) and n.error is not None]
    assert len(errors) == 1 and isinstance(errors[0], FolderOlder) and "at start 3" in str(errors[0])
    net.kill(member_id(1))  # also after a restart, although its start number is the right one by now
    net.start(member_id(1))
    net.run(SECOND)
    assert not net.up[member_id(1)].may_vote
    votes = net.up[member_id(1)].acceptor.votes_recorded
    net.propose(
        member_id(0), table(4)
    )  # the two others are a majority; staging for its site needs no acceptor
    assert (
        net.run(5 * SECOND, lambda: net.all_at(4)) and net.up[member_id(1)].acceptor.votes_recorded == votes
    )
    net.propose(member_id(1), table(5))
    assert isinstance(error_at(net, member_id(1), table(5)), FolderOlder)
    net.deliver(member_id(1), RollbackAccepted())
    assert net.run(2 * SECOND, lambda: net.up[member_id(1)].may_vote)
    net.kill(member_id(0))
    net.kill(member_id(1))
    net.start(member_id(1), member_id(0))
    net.kill(member_id(2))  # now its acceptor is needed
    net.run(SECOND)
    net.propose(member_id(0), read_table({**table(5, sites=2).document(), "off": [str(member_id(2))]}))
    assert net.run(5 * SECOND, lambda: net.all_at(5))


def test_votes_lost_within_an_incarnation_are_detected():
    net = started_net()
    disk_copy, start = copy_disk(net, member_id(1)), net.starts[member_id(1)]
    net.propose(member_id(0), NEXT_TABLE)
    assert net.run(2 * SECOND, lambda: net.all_at(2))
    restart_from_copy(net, member_id(1), disk_copy, start)  # a later start, but fewer votes than seen
    assert not net.up[member_id(1)].may_vote
    assert any(isinstance(n.error, FolderOlder) for m, n in net.log_lines if m == member_id(1))


def test_membership_can_detect_the_rollback():
    net = started_net()
    net.deliver(member_id(1), RollbackDetected(Incarnation(9, 1)))
    assert not net.up[member_id(1)].may_vote
    net.deliver(member_id(1), RollbackAccepted())
    assert net.run(2 * SECOND, lambda: net.up[member_id(1)].may_vote)
