"""Random schedules: a seed draws sites, loss, partitions, crashes, disk failures and proposals; then all
faults end.

After the network's checks at each step, the schedule asserts that all members reach the same state, that the
reported outcome of each proposal is right, and that one more table can be agreed.
"""

from __future__ import annotations

import random
from dataclasses import replace

from agreement_net import QUICK, SECOND, Net, table

from madderbeam.federation.table import read_table
from madderbeam.federation.values import Table
from madderbeam.membership.values import LinkUp, MemberId


def play(seed: int) -> Net:
    rng = random.Random(seed)
    first = table(1, sites=rng.choice([1, 2, 3, 3, 4, 5]), members=rng.choice([1, 2, 2, 3]))
    quick_failover = replace(
        QUICK, failover_timeout_us=300_000, resend_interval_us=100_000, silent_member_timeout_us=200_000
    )
    net = Net(first, seed, rng.choice([QUICK, quick_failover, quick_failover]))
    net.loss, net.duplication = rng.choice([0, 0.05, 0.3]), rng.choice([0, 0.1, 0.3])
    net.slowest_us = rng.choice([5_000, 50_000, 600_000])
    net.start(*net.all())
    _inject_faults(net, rng)
    members, count = net.all(), 0
    for _ in range(rng.randrange(4, 14)):
        net.run(rng.randrange(10_000, 2 * SECOND))
        action = rng.choice(["offer"] * 5 + ["kill"] * 3 + ["kill all"] + ["start"] * 4 + ["cut", "mend"])
        if action == "offer" and net.up:
            for member in rng.sample(sorted(net.up), min(len(net.up), rng.choice([1, 1, 2, 3]))):
                count += 1
                net.propose(member, successor(net, member, count, rng.randrange(4)))
        elif action == "kill":
            net.kill(rng.choice(members))
        elif action == "kill all":
            for member in members:
                net.kill(member)
        elif action == "start":
            net.start(*(m for m in members if m not in net.up and rng.random() < 0.7))
        elif action == "cut":
            _cut(net, rng, members)
        elif action == "mend":
            net.is_cut = lambda source, target: False
    _remove_faults(net, members)
    _check_end_state(net, members)
    return net


def successor(net: Net, member: MemberId, count: int, mark: int) -> Table:
    """A table that may follow the one that this member knows, and that differs from all other proposals."""
    base = net.up[member].base
    successor_table = table(base.number + 1, len(base.sites), len(base.sites["s00"]), mark)
    owners = {
        **{str(d): "s00" for d in base.owners},
        **successor_table.document()["owners"],
        str(100 + count): "s00",
    }
    return read_table({**successor_table.document(), "owners": owners})


def _inject_faults(net: Net, rng: random.Random) -> None:
    crash_rate, write_failure_rate = rng.choice([0, 0.003, 0.02]), rng.choice([0, 0, 0.01, 0.05])
    rejection_rate = rng.choice([0, 0, 0.1])
    net.crashes_after = lambda member, action: net.rng.random() < crash_rate
    net.write_fails = lambda member, record: net.rng.random() < write_failure_rate
    net.check_result = lambda member, proposed: (
        net.rng.choice(["", None, "no partner 7"]) if (net.rng.random() < rejection_rate) else ""
    )


def _cut(net: Net, rng: random.Random, members: list[MemberId]) -> None:
    side, one_way = set(rng.sample(members, rng.randrange(len(members) + 1))), rng.random() < 0.3
    net.is_cut = lambda source, target: (
        (source in side) != (target in side) and (not one_way or source in side)
    )


def _remove_faults(net: Net, members: list[MemberId]) -> None:
    net.is_cut, net.loss, net.duplication, net.slowest_us = (lambda source, target: False), 0, 0, 20_000
    net.crashes_after, net.write_fails, net.check_result = (
        (lambda member, action: False),
        (lambda member, record: False),
        (lambda member, proposed: ""),
    )
    net.start(*(m for m in members if m not in net.up))
    for member in members:
        for other in members:
            if member != other:
                net.deliver(member, LinkUp(other))


def _check_end_state(net: Net, members: list[MemberId]) -> None:
    def settled() -> bool:
        numbers = {(m.base.number, m.agreed_tables.written_number) for m in net.up.values()}
        return len(numbers) == 1 and not any(m.pending for m in net.up.values())

    assert net.run(60 * SECOND, settled), "the agreement did not settle: " + str(
        [m.status(net.now_us) for m in net.up.values()]
    )
    last = successor(net, members[0], 0, 1)
    net.propose(members[0], last)
    assert net.run(60 * SECOND, lambda: net.all_at(last.number)), "one more table is not agreed"
    net.run(2 * SECOND)
    net.check_outcomes()
