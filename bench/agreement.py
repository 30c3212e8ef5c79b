"""Agreement's cost in one-way delays and frames, and the time to its end when its driver dies at a step."""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import median, quantiles

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "federation_pure"))

from agreement_net import SECOND, Net, member_id, table

from madderbeam.federation.consensus.rounds import AgreementSettings

WAY_US = 100_000


def started(sites: int, members: int, way_us: int = 0) -> Net:
    net = Net(table(sites=sites, members=members), 1, AgreementSettings())
    if way_us:
        net.fastest_us, net.slowest_us = way_us, way_us + 1
    net.start(*net.all())
    net.run(5 * SECOND)
    return net


def cost(sites: int, members: int) -> None:
    net = started(sites, members, WAY_US)
    begun, frames = net.now_us, net.frames
    net.propose(member_id(0), table(2, sites=sites, members=members, variant=1))
    net.run(20 * SECOND, lambda: net.up[member_id(0)].agreed_tables.written_number == 2)
    first = (net.now_us - begun) / WAY_US
    net.run(20 * SECOND, lambda: net.all_at(2))
    told = (net.now_us - begun) / WAY_US
    print(
        f"{sites} sites of {members}, {sites} voters: agreed after {first:.1f} one-way delays, "
        f"known to all after {told:.1f}, {net.frames - frames} frames"
    )


def deaths() -> None:
    """The proposer dies after each record and frame in turn; its site has another member."""
    spans, agreed = [], 0
    for count in range(1, 61):
        net, steps = started(3, 2), [0]

        def step(member, action, count=count, steps=steps) -> bool:
            steps[0] += member == member_id(0)
            return member == member_id(0) and steps[0] == count

        net.crashes_after = step
        begun = net.now_us
        net.propose(member_id(0), table(2, members=2, variant=1))

        def ended(net=net) -> bool:
            return (
                member_id(0) not in net.up
                and not any(m.pending for m in net.up.values())
                and (len({m.agreed_tables.written_number for m in net.up.values()}) == 1)
            )

        if net.run(120 * SECOND, ended):
            spans.append((net.now_us - begun) / SECOND)
            agreed += net.agreed.get(2) is not None
    most = quantiles(spans, n=100)[-1]
    print(
        f"{len(spans)} deaths of the proposer, each after another step: {agreed} agreed all the same; "
        f"to the end {median(spans):.1f} s (median), {most:.1f} s (99th percentile)"
    )


if __name__ == "__main__":
    cost(3, 2)
    cost(5, 2)
    cost(40, 2)
    deaths()
