"""Agreement where things go as they should, and where a site, a voter or a proposer does not."""

from __future__ import annotations

import pytest
from agreement_net import QUICK, SECOND, Net, one, table

from madderbeam.federation.errors import (
    FolderOlder,
    NoMajority,
    NotAllStaged,
    Superseded,
    TableRefused,
    TablesDiffer,
    WordUnwritten,
)
from madderbeam.federation.table import read
from madderbeam.federation.values import FolderTrusted
from madderbeam.membership.values import (
    Incarnation,
    MemberChanged,
    MemberId,
    MemberView,
    RollbackDetected,
    State,
)

NEXT = table(2, mark=1)


def started(first=None, seed=0, without=()) -> Net:
    net = Net(first or table(), seed)
    net.start(*(m for m in net.all() if m not in without))
    net.run(SECOND)
    return net


def error_at(net: Net, member: MemberId, offered) -> object:
    of = [o for m, o in net.outcomes if m == member and o.proposal == offered.proposal]
    assert len(of) == 1, of
    return of[0].error


def test_a_table_is_agreed_by_all_sites():
    net = started()
    net.propose(one(1), NEXT)
    assert net.run(SECOND, lambda: net.all_at(2))
    assert error_at(net, one(1), NEXT) is None
    net.propose(one(2), table(3))
    assert net.run(SECOND, lambda: net.all_at(3))
    assert [t.number for t in net.up[one(0)].known_since(1)] == [2, 3]


def test_a_table_offered_twice_is_agreed_once():
    net = started()
    for member in (one(0), one(0), one(2)):
        net.propose(member, NEXT)
    assert net.run(2 * SECOND, lambda: net.all_at(2) and len(net.outcomes) >= 2)
    net.propose(one(1), NEXT)  # and when it is in force already
    net.run(SECOND)
    assert [o.agreed for _, o in net.outcomes] == [True] * 3 and net.up[one(0)].base.number == 2


@pytest.mark.parametrize("seed", range(20))
def test_of_two_proposals_at_once_one_is_agreed(seed):
    net, other = started(seed=seed), table(2, mark=2)
    net.propose(one(0), NEXT)
    net.propose(one(1), other)
    assert net.run(10 * SECOND, lambda: net.all_at(2) and len(net.outcomes) == 2)
    errors = [o.error for _, o in net.outcomes if not o.agreed]
    assert len(errors) == 1 and isinstance(errors[0], Superseded)
    net.check_outcomes()


def test_one_site_in_forty_turns_a_table_down():
    net = started(table(sites=40))
    offered = table(2, sites=40, mark=1)
    net.says = lambda member, t: "no partner 7 here" if member == one(23) else ""
    net.propose(one(0), offered)
    assert net.run(3 * SECOND, lambda: net.outcome(offered) is not None)
    error = error_at(net, one(0), offered)
    assert isinstance(error, TableRefused) and error.place == "s23"
    assert "s23/m0: no partner 7 here" in str(error)
    net.run(5 * SECOND)
    assert all(m.base.number == 1 and not m.pending for m in net.up.values())
    net.says = lambda member, t: ""  # the number is free again, for the same table as well
    net.propose(one(0), offered)
    assert net.run(3 * SECOND, lambda: net.all_at(2))


def test_one_site_in_forty_is_dead():
    first, dead = table(sites=40, members=2), (one(23), one(23, 1))
    net = started(first, without=dead)
    for member in dead:
        view = MemberView(member, Incarnation(1, 1), 0, State.DEAD, ("h", 1), net.now)
        net.tell(one(0), MemberChanged(view))
    offered = table(2, sites=40, members=2, mark=1)
    begun = net.now
    net.propose(one(0), offered)
    net.run(5 * SECOND)
    driven = net.up[one(0)].status(net.now)["driven"]
    assert list(driven["not_staged"]) == ["s23"] and "s23/m1 (dead for 5 s)" in driven["not_staged"]["s23"]
    assert net.run(10 * SECOND, lambda: net.outcome(offered) is not None)
    error = error_at(net, one(0), offered)
    assert isinstance(error, NotAllStaged) and net.now - begun < QUICK.agree_within_us + 2 * SECOND
    assert "s23 has not staged table 2 for 10 s: no answer from s23/m0 (dead for 10 s), s23/m1" in str(error)
    assert all(m.base.number == 1 for m in net.up.values())
    document = offered.document()
    document["owners"] = {d: "s00" if s == "s23" else s for d, s in document["owners"].items()}
    del document["sites"]["s23"]
    without = read({**document, "off": [str(m) for m in dead]})
    net.propose(one(0), without)
    assert net.run(2 * SECOND, lambda: net.all_at(2))


def test_a_newer_offer_need_not_wait_for_the_end_of_a_stuck_one():
    net = started(without=[one(2)])
    net.propose(one(0), NEXT)
    net.run(3 * SECOND)
    document = table(2, sites=2).document()
    without = read({**document, "off": [str(one(2))]})
    net.propose(one(1), without)
    assert net.run(2 * SECOND, lambda: net.all_at(2))
    net.run(SECOND)
    assert isinstance(error_at(net, one(0), NEXT), Superseded) and error_at(net, one(1), without) is None


def test_another_member_speaks_for_a_site_whose_first_is_dead():
    net = started(table(members=2), without=[one(1)])
    net.propose(one(0), table(2, members=2, mark=1))
    assert net.run(3 * SECOND, lambda: net.all_at(2))


def test_one_member_that_cannot_serve_by_it_turns_it_down_for_its_site():
    net, offered = started(table(members=2)), table(2, members=2, mark=1)
    net.says = lambda member, t: "no class spring" if member == one(1, 1) else ""
    net.propose(one(0), offered)
    assert net.run(3 * SECOND, lambda: net.outcome(offered) is not None)
    assert "s01/m1: no class spring" in str(error_at(net, one(0), offered))


def test_a_check_that_is_not_answered_turns_the_table_down():
    net = started()
    net.says = lambda member, t: None if member == one(1) else ""
    net.propose(one(0), NEXT)
    assert net.run(4 * SECOND, lambda: net.outcome(NEXT) is not None)
    assert "s01/m0: it was not checked within 2 s" in str(error_at(net, one(0), NEXT))


def test_a_new_site_learns_what_is_in_force_and_stages_its_first_table():
    net = started()
    for number in (2, 3):
        net.propose(one(0), table(number, mark=number))
        assert net.run(2 * SECOND, lambda number=number: net.all_at(number))
    net.start(one(3))  # it knows the first table from its configuration, no more
    net.propose(one(1), table(4, sites=4))
    assert net.run(3 * SECOND, lambda: net.all_at(4))


def test_the_smaller_side_of_a_cut_agrees_on_nothing():
    net = started(table(sites=5))
    small = {one(0), one(1)}
    net.cut = lambda a, b: (a in small) != (b in small)
    first, second = table(2, sites=5, mark=1), table(2, sites=5, mark=2)
    net.propose(one(0), first)
    net.propose(one(4), second)
    net.run(2 * QUICK.agree_within_us)
    assert isinstance(error_at(net, one(0), first), NoMajority)
    assert isinstance(error_at(net, one(4), second), NotAllStaged)
    assert "found no majority of the 5 voters of table 1 in 10 s" in str(error_at(net, one(0), first))
    assert all(m.base.number == 1 for m in net.up.values())
    net.cut = lambda a, b: False
    net.propose(one(0), first)
    assert net.run(5 * SECOND, lambda: net.all_at(2))


def test_a_member_that_was_away_takes_the_last_eight():
    net = started(without=[one(2, 1)], first=table(members=2))
    for number in range(2, 14):
        net.propose(one(0), table(number, members=2, mark=number))
        assert net.run(4 * SECOND, lambda number=number: net.all_at(number))
    net.start(one(2, 1))
    assert net.run(3 * SECOND, lambda: net.all_at(13))
    late = net.up[one(2, 1)]
    assert [t.number for t in late.known_since(0)] == list(range(6, 14))
    assert [k for k in net.disks[one(0)] if k[0] == "agreed"] == [("agreed", str(n)) for n in range(6, 14)]


def test_two_first_tables_that_differ_are_found_out():
    net = started(without=[one(2)])
    net.strange[one(2)] = table(mark=2)
    net.start(one(2))
    net.run(2 * SECOND)
    differ = {m: n.error for m, n in net.notes if isinstance(n.error, TablesDiffer)}
    assert differ.keys() == {one(0), one(1), one(2)} and len(net.notes) == 4  # once a pair
    assert f"s02/m0 has table {table(mark=2).proposal}, s00/m0 has {table().proposal}" in str(differ[one(0)])
    net.propose(one(0), NEXT)
    net.run(QUICK.agree_within_us * 2)
    assert isinstance(error_at(net, one(0), NEXT), NotAllStaged)


def test_a_disk_that_does_not_take_the_table_turns_it_down():
    net = started()
    net.fails = lambda member, record: member == one(2) and record.kind == "staged"
    net.propose(one(0), NEXT)
    assert net.run(2 * SECOND, lambda: net.outcome(NEXT) is not None)
    error = error_at(net, one(0), NEXT)
    assert isinstance(error, WordUnwritten) and "s02/m0: the disk did not take the table" in str(error)


# Folders


def copied(net: Net, member: MemberId) -> dict:
    return dict(net.disks[member])


def restored(net: Net, member: MemberId, disk: dict, start: int) -> None:
    """`start`: the last start that the copy knows of."""
    net.kill(member)
    net.disks[member], net.starts[member] = dict(disk), start
    del net.at[member]  # it does go back, and is to be found out
    net.start(member)
    net.run(SECOND)


def test_an_older_folder_takes_no_part_in_votes_until_it_is_trusted():
    net = started()
    copy = copied(net, one(1))
    for number in (2, 3):
        net.kill(one(1))
        net.start(one(1))
        net.propose(one(0), table(number, mark=number))
        assert net.run(5 * SECOND, lambda number=number: net.all_at(number))
    restored(net, one(1), copy, start=1)  # it is at start 2, and was at 3
    assert not net.up[one(1)].votes and net.up[one(0)].votes
    told = [n.error for m, n in net.notes if m == one(1) and n.error is not None]
    assert len(told) == 1 and isinstance(told[0], FolderOlder) and "at start 3" in str(told[0])
    net.kill(one(1))  # over a restart too, and though the start is the right one by now
    net.start(one(1))
    net.run(SECOND)
    assert not net.up[one(1)].votes
    votes = net.up[one(1)].acceptor.votes
    net.propose(one(0), table(4))  # the two others are a majority; its site's word does not need a vote
    assert net.run(5 * SECOND, lambda: net.all_at(4)) and net.up[one(1)].acceptor.votes == votes
    net.propose(one(1), table(5))
    assert isinstance(error_at(net, one(1), table(5)), FolderOlder)
    net.tell(one(1), FolderTrusted())
    assert net.run(2 * SECOND, lambda: net.up[one(1)].votes)
    net.kill(one(0))
    net.kill(one(1))
    net.start(one(1), one(0))
    net.kill(one(2))  # now its vote is needed
    net.run(SECOND)
    net.propose(one(0), read({**table(5, sites=2).document(), "off": [str(one(2))]}))
    assert net.run(5 * SECOND, lambda: net.all_at(5))


def test_a_folder_that_lost_votes_within_a_life_is_found_out():
    net = started()
    copy, start = copied(net, one(1)), net.starts[one(1)]
    net.propose(one(0), NEXT)
    assert net.run(2 * SECOND, lambda: net.all_at(2))
    restored(net, one(1), copy, start)  # a start further than the copy, and fewer votes than were seen
    assert not net.up[one(1)].votes
    assert any(isinstance(n.error, FolderOlder) for m, n in net.notes if m == one(1))


def test_membership_too_can_find_the_folder_older():
    net = started()
    net.tell(one(1), RollbackDetected(Incarnation(9, 1)))
    assert not net.up[one(1)].votes
    net.tell(one(1), FolderTrusted())
    assert net.run(2 * SECOND, lambda: net.up[one(1)].votes)
