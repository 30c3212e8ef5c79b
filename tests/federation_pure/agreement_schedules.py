"""One seed, one schedule: sites, loss, cuts, kills, failing disks and offers are drawn; then all is mended.

What must hold is asserted: the network's judge at each step, then that all come to one end, that what was
told of each offer is so, and that one more table is agreed.
"""

from __future__ import annotations

import random
from dataclasses import replace

from agreement_net import QUICK, SECOND, Net, table

from madderbeam.federation.table import read
from madderbeam.federation.values import Table
from madderbeam.membership.values import LinkUp, MemberId


def play(seed: int) -> Net:
    chance = random.Random(seed)
    first = table(1, sites=chance.choice([1, 2, 3, 3, 4, 5]), members=chance.choice([1, 2, 2, 3]))
    hasty = replace(QUICK, patience_us=300_000, resend_us=100_000, stand_in_us=200_000)
    net = Net(first, seed, chance.choice([QUICK, hasty, hasty]))
    net.loss, net.double = chance.choice([0, 0.05, 0.3]), chance.choice([0, 0.1, 0.3])
    net.slowest_us = chance.choice([5_000, 50_000, 600_000])
    net.start(*net.all())
    _trouble(net, chance)
    members, count = net.all(), 0
    for _ in range(chance.randrange(4, 14)):
        net.run(chance.randrange(10_000, 2 * SECOND))
        what = chance.choice(["offer"] * 5 + ["kill"] * 3 + ["kill all"] + ["start"] * 4 + ["cut", "mend"])
        if what == "offer" and net.up:
            for member in chance.sample(sorted(net.up), min(len(net.up), chance.choice([1, 1, 2, 3]))):
                count += 1
                net.propose(member, follower(net, member, count, chance.randrange(4)))
        elif what == "kill":
            net.kill(chance.choice(members))
        elif what == "kill all":
            for member in members:
                net.kill(member)
        elif what == "start":
            net.start(*(m for m in members if m not in net.up and chance.random() < 0.7))
        elif what == "cut":
            _cut(net, chance, members)
        elif what == "mend":
            net.cut = lambda a, b: False
    _mend(net, members)
    _judge(net, members)
    return net


def follower(net: Net, member: MemberId, count: int, mark: int) -> Table:
    """A table that may follow the one that this member knows, and that no other offer is equal to."""
    base = net.up[member].base
    fresh = table(base.number + 1, len(base.sites), len(base.sites["s00"]), mark)
    owners = {**{str(d): "s00" for d in base.owners}, **fresh.document()["owners"], str(100 + count): "s00"}
    return read({**fresh.document(), "owners": owners})


def _trouble(net: Net, chance: random.Random) -> None:
    dies, unwritten = chance.choice([0, 0.003, 0.02]), chance.choice([0, 0, 0.01, 0.05])
    refuses = chance.choice([0, 0, 0.1])
    net.step = lambda member, action: net.chance.random() < dies
    net.fails = lambda member, record: net.chance.random() < unwritten
    net.says = lambda member, offered: (
        net.chance.choice(["", None, "no partner 7"]) if (net.chance.random() < refuses) else ""
    )


def _cut(net: Net, chance: random.Random, members: list[MemberId]) -> None:
    side, one_way = set(chance.sample(members, chance.randrange(len(members) + 1))), chance.random() < 0.3
    net.cut = lambda a, b: (a in side) != (b in side) and (not one_way or a in side)


def _mend(net: Net, members: list[MemberId]) -> None:
    net.cut, net.loss, net.double, net.slowest_us = (lambda a, b: False), 0, 0, 20_000
    net.step, net.fails, net.says = (lambda m, a: False), (lambda m, r: False), (lambda m, t: "")
    net.start(*(m for m in members if m not in net.up))
    for member in members:
        for other in members:
            if member != other:
                net.tell(member, LinkUp(other))


def _judge(net: Net, members: list[MemberId]) -> None:
    def settled() -> bool:
        numbers = {(m.base.number, m.known.written) for m in net.up.values()}
        return len(numbers) == 1 and not any(m.pending for m in net.up.values())

    assert net.run(60 * SECOND, settled), "no end: " + str([m.status(net.now) for m in net.up.values()])
    last = follower(net, members[0], 0, 1)
    net.propose(members[0], last)
    assert net.run(60 * SECOND, lambda: net.all_at(last.number)), "one more table is not agreed"
    net.run(2 * SECOND)
    net.check_outcomes()
