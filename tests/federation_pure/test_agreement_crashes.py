"""A member crashes, or its disk fails, at each step of an agreement in turn; or all are killed at once."""

from __future__ import annotations

from itertools import permutations

import pytest
from agreement_net import QUICK, SECOND, Net, member_id, table

from madderbeam.federation.table import read_table
from madderbeam.membership.values import Persist

NEXT_TABLE = table(2, members=2, variant=1)


def started_net(seed: int = 0) -> Net:
    net = Net(table(members=2), seed)
    net.start(*net.all())
    net.run(SECOND)
    return net


def is_settled(net: Net) -> bool:
    numbers = {(m.base.number, m.agreed_tables.written_number) for m in net.up.values()}
    return len(numbers) == 1 and not any(m.pending for m in net.up.values())


def crash_at(net: Net, victim, count: int) -> list[int]:
    """The member crashes after its `count`th record or frame from now on; returns the steps so far."""
    steps = [0]

    def step(member, action) -> bool:
        steps[0] += member == victim
        return member == victim and steps[0] == count

    net.crashes_after = step
    return steps


MAX_STEPS = 60


@pytest.mark.parametrize("part", range(4))
@pytest.mark.parametrize(
    "victim", [member_id(0), member_id(1), member_id(2, 1)], ids=["proposer", "voter", "member"]
)
def test_a_member_crashes_at_each_step(victim, part):
    """The others agree on the table or reject it; the crashed member has the same result once restarted."""
    agreed = crashes = 0
    for count in range(1 + part, MAX_STEPS, 4):
        net = started_net(count)
        crash_at(net, victim, count)
        net.propose(member_id(0), NEXT_TABLE)
        assert net.run(QUICK.vote_timeout_us + 5 * SECOND, lambda net=net: is_settled(net)), count
        number, has_crashed = next(iter(net.up.values())).base.number, victim not in net.up
        agreed, crashes = agreed + (number == 2), crashes + has_crashed
        if has_crashed:
            net.start(victim)
            assert net.run(QUICK.vote_timeout_us + 5 * SECOND, lambda net=net: is_settled(net)), count
            assert net.up[victim].base.number >= number
            net.run(2 * SECOND)
            net.check_outcomes()
    assert agreed and crashes, (agreed, crashes)


def test_the_proposer_pursues_its_proposal_after_a_restart():
    for count in range(1, 20):
        net = started_net(count)
        crash_at(net, member_id(0), count)
        net.propose(member_id(0), NEXT_TABLE)
        assert net.run(SECOND, lambda net=net: member_id(0) not in net.up)
        net.crashes_after = lambda member, action: False
        net.start(member_id(0))
        assert net.run(5 * SECOND, lambda net=net: net.all_at(2))
        net.run(SECOND)
        assert net.outcome(NEXT_TABLE).is_agreed


def test_each_record_in_turn_fails_to_be_written():
    """No vote is sent that was not written (the network checks this), and the agreement still settles."""
    for victim in (member_id(0), member_id(1), member_id(2, 1)):
        for count in range(1, 15):
            net, written = started_net(count), [0]

            def write_fails(member, record: Persist, victim=victim, count=count, written=written) -> bool:
                written[0] += member == victim
                return member == victim and written[0] == count

            net.write_fails = write_fails
            net.propose(member_id(0), NEXT_TABLE)
            assert net.run(QUICK.vote_timeout_us + 5 * SECOND, lambda net=net: is_settled(net)), (
                victim,
                count,
            )
            assert net.run(3 * SECOND, lambda net=net: len(net.outcomes) == 1), (victim, count)
            net.check_outcomes()


def test_a_voter_whose_disk_is_full_delays_nobody():
    net = started_net()
    net.write_fails = lambda member, record: member == member_id(1) and record.kind in ("vote", "agreed")
    net.propose(member_id(0), NEXT_TABLE)
    assert net.run(QUICK.vote_timeout_us, lambda: net.up[member_id(0)].agreed_tables.written_number == 2)
    assert net.run(9 * SECOND, lambda: not net.up[member_id(1, 1)].pending)
    assert net.up[member_id(1)].agreed_tables.written_number == 1  # its table is the one that it has on disk
    net.write_fails = lambda member, record: False
    assert net.run(3 * SECOND, lambda: net.all_at(2))


@pytest.mark.parametrize("part", range(3))
def test_all_are_killed_at_once_and_started_in_any_order(part):
    first_members = [member_id(0), member_id(1), member_id(2)]
    for seed, order in enumerate(permutations(first_members)):
        if seed % 3 != part:
            continue
        for after_us in range(5_000, 200_000, 15_000):
            net = started_net(seed)
            net.propose(member_id(0), NEXT_TABLE)
            net.run(after_us)
            for member in net.all():
                net.kill(member)
            for member in order:
                net.start(member, member_id(int(member.site[1:]), 1))
                net.run(3 * SECOND)
            assert net.run(QUICK.vote_timeout_us + 5 * SECOND, lambda net=net: is_settled(net)), (
                order,
                after_us,
            )
            net.run(2 * SECOND)
            net.check_outcomes()


def table_with_owner_of_nine(number: int, owner: str):
    document = table(number, members=2).document()
    return read_table({**document, "owners": {**document["owners"], "9": owner}})


def test_state_is_bounded():
    """State is bounded: it has not grown after a hundred tables and failed proposals."""
    net, sizes = started_net(), []
    net.check_result = lambda member, t: "no" if t.owners[9] == "s02" and member == member_id(1) else ""
    for number in range(2, 102):
        if number % 2:
            net.propose(member_id(2), table_with_owner_of_nine(number, "s02"))
            net.run(2 * SECOND)
        net.propose(member_id(number % 3), table_with_owner_of_nine(number, "s01"))
        assert net.run(5 * SECOND, lambda number=number: net.all_at(number))
        net.run(2 * SECOND)
        if number in (20, 101):
            sizes.append([len(disk) for disk in net.disks.values()])
            machine = net.up[member_id(0)]
            sizes[-1] += [
                len(net.up[member_id(0)].proposals.pending),
                len(machine.outbox._messages_to_self),
                len(machine.timers),
            ]
            sizes[-1] += [
                len(machine.rollback_detector.seen_marks),
                len(machine.agreed_tables.tables),
                len(machine.member_views),
            ]
    assert sizes[0] == sizes[1] and max(sizes[1]) <= 16, sizes
