"""Membership on its virtual network: time from a death to all knowing it, false accusations, bytes.

python bench/membership.py [deaths] [false] [bytes] [--members 10 50 200] [--loss 0 0.1 0.3] [--trials 40]
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / "tests" / "membership")]

from swimnet import Link, Net, S  # noqa: E402

from madderbeam.membership.settings import MembershipSettings  # noqa: E402


def deaths(members: int, loss: float, trials: int = 40, seed: int = 1, health: int = 8) -> list[float]:
    """Probe periods from each of so many deaths, one after another, to the last live member knowing it."""
    settings = MembershipSettings(max_health_score=health)
    net = Net(seed, settings, Link(loss=loss))
    nodes = net.grow(members, settle_s=30)
    spans = []
    for trial in range(trials):
        victim = nodes[1 + trial * 7 % (members - 1)]
        net.until(net.now + net.chance.randrange(S))
        net.kill(victim)
        begin, others = net.now, members - 1
        known = net.dead.setdefault(victim.id, set())
        known.clear()
        if not net.until(begin + 400 * S, lambda known=known, others=others: len(known) == others):
            raise RuntimeError(f"{victim.id} was not known to be dead by all of {members} within 400 periods")
        spans.append((net.now - begin) / settings.probe_period_us)
        net.start(victim, seeds=[nodes[0].address])
        net.until(net.now + 15 * S)
    return spans


def false(members: int, loss: float, health: int, late: int = 0, minutes: int = 10) -> dict[str, float]:
    """Of live members only, per hour: accusations by own probes, and declarations of death. `late`: so many
    members get all that is sent to them 1.5 to 4 s late, as a process that is short of CPU does."""
    net = Net(2, MembershipSettings(max_health_score=health), Link(loss=loss))
    nodes = net.grow(members, settle_s=30)
    slow = nodes[1 : 1 + late]
    for one in slow:
        for other in nodes:
            net.links[other.id, one.id] = Link(loss=loss, delay_us=(1_500_000, 4_000_000))
    counts = {"by the slow": 0, "of the others": 0, "deaths": 0}
    for node in nodes:
        table, accuse = node.machine.dissemination.table, node.machine.dissemination.table.accuse

        def counted(now, member, by, node=node, accuse=accuse):
            news = accuse(now, member, by)
            if news and by == node.id:
                counts["by the slow"] += node in slow
                counts["of the others"] += member.id not in {s.id for s in slow}
            return news

        table.accuse = counted
    begin = net.now
    net.until(begin + minutes * 60 * S)
    gone = {s.id for s in slow}
    counts["deaths"] = sum(dead not in gone for _, _, dead in net.deaths(begin))
    return {name: count * 60 / minutes for name, count in counts.items()}


def sent(members: int, loss: float = 0.0, minutes: int = 2, seed: int = 3) -> float:
    """Bytes a second that a member sends in a quiet federation: datagrams and full states, in msgpack."""
    net = Net(seed, MembershipSettings(), Link(loss=loss))
    net.grow(members, settle_s=90)
    net.bytes, begin = 0, net.now
    net.until(begin + minutes * 60 * S)
    return net.bytes / members / ((net.now - begin) / S)


def main() -> None:
    args = argparse.ArgumentParser(description=__doc__)
    args.add_argument("what", nargs="*", default=["deaths", "false", "bytes"])
    args.add_argument("--members", nargs="*", type=int, default=[10, 50, 200])
    args.add_argument("--loss", nargs="*", type=float, default=[0, 0.1, 0.3])
    args.add_argument("--trials", type=int, default=40)
    args.add_argument("--minutes", type=int, default=10)
    chosen = args.parse_args()
    began = time.process_time()
    if "deaths" in chosen.what:
        print("members  loss  deaths  median  99th percentile   probe periods until all know a death")
        for members in chosen.members:
            for loss in chosen.loss:
                spans = sorted(deaths(members, loss, chosen.trials))
                middle, worst = statistics.median(spans), spans[int(len(spans) * 0.99)]
                print(f"{members:7} {loss:5.0%} {len(spans):7} {middle:7.1f} {worst:8.1f}", flush=True)
    if "false" in chosen.what:
        print("50 members, an hour: accusations of members that answer, by those that are late, false deaths")
        for loss, late in [(loss, 0) for loss in chosen.loss] + [(0.0, 3)]:
            for health in (0, 8):
                row = false(50, loss, health, late, chosen.minutes)
                told = ", ".join(f"{name} {count:.0f}" for name, count in row.items())
                print(f"loss {loss:4.0%}, {late} late, health to {health}: {told}", flush=True)
    if "bytes" in chosen.what:
        print("bytes a second that a member sends")
        for members in chosen.members:
            print(f"{members:7} {sent(members):7.0f}", flush=True)
    print(f"{time.process_time() - began:.0f} s of CPU")


if __name__ == "__main__":
    main()
