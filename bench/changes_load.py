"""Random changes at a courier on real sockets, under steady load, a fifth of them wrong: each message has its
one end, and what the courier goes by is one version at each admission and each write.

python bench/changes_load.py [--changes 1000] [--per-s 60] [--seed 1]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent.parent
sys.path[:0] = [str(HERE), str(HERE / "tests"), str(HERE / "tests" / "changes")]
from estates_changes import Courier, Estate  # noqa: E402

from madderbeam.changes.values import DRAINING, READY  # noqa: E402
from madderbeam.simulation.changes import _wrong  # noqa: E402
from madderbeam.standins.partner import Partner  # noqa: E402

EVERY_S = 0.06  # between two changes
ACCEPT = ["nothing-ready", "orphans", "little-left"]


class Load:
    """Messages at a steady pace on one connection, and what became of each."""

    def __init__(self, courier: Courier, per_s: float) -> None:
        self.courier, self.per_s = courier, per_s
        self.said: Counter[str] = Counter()
        self.taken: list[str] = []

    async def run(self) -> None:
        count = 0
        while True:
            ident = f"m{count}"
            count += 1
            said = await self.courier.client.put(ident, dest=1 + count % 3, life=4000)
            self.said[said.split()[0]] += 1
            if said == "+OK":
                self.taken.append(ident)
            await asyncio.sleep(1 / self.per_s)


def drawn(chance: random.Random, machine: Any, partners: list[Partner], number: int) -> tuple[dict, bool]:
    """A change, and whether it is wrong on purpose."""
    rows = machine.current.endpoints
    up = sorted(u for u, row in rows.items() if row.state == READY)
    down = sorted(u for u, row in rows.items() if row.state == DRAINING)
    had = {row.address for row in rows.values()}
    free = [p for p in partners if p.address not in had]
    change: dict[str, Any] = {
        "name": f"c{number}",
        "base": machine.current.version,
        "accept": ACCEPT,
        "trial_ms": chance.choice((1000, 2000)),
    }
    bad = chance.random() < 0.2
    if bad:
        wrong = (
            {"drain": ["nobody"]},
            {"limits": {"window": 999}},
            {"limits": {"retry_cap_ms": 1}},
            {"tenants": {"u": {"share": 0.5}}},
            {"base": 10**9, "limits": {"max_held": 99}},
        )
        return {**change, **chance.choice(wrong)}, True
    what = chance.randrange(5)
    if what == 0 and free:
        change["add"] = [
            {
                "uid": f"e{number}",
                "dest": chance.randrange(1, 4),
                "per_s": 1000,
                "address": chance.choice(free).address,
            }
        ]
    elif what == 1 and len(up) > 4:
        change["drain"] = [chance.choice(up)]
    elif what == 2 and down:
        change["remove"] = [chance.choice(down)]
    elif what == 3 and up:
        change["edit"] = [{"uid": chance.choice(up), "dest": chance.randrange(1, 4)}]
    else:
        change["limits"] = {"max_held": chance.randrange(150, 200)}
    return change, False


async def run(args: argparse.Namespace, folder: Path) -> int:
    chance = random.Random(args.seed)
    partners = [Partner(random.Random(n), 0.01) for n in range(16)]
    for partner in partners:
        await partner.start()
    estate = Estate(
        folder, {n: [p.address for p in partners[3 * n - 3 : 3 * n]] for n in (1, 2, 3)}, refused_per_s=1000.0
    ).write()
    statuses: Counter[str] = Counter()
    wrong: Counter[str] = Counter()
    async with Courier(estate) as courier:
        may_write = courier.host.calls.hooks.may_write

        def seen(*_: Any) -> None:
            if text := _wrong(courier.host, courier.room):
                wrong[text] += 1

        def writes(endpoint: int) -> bool:
            seen()
            return may_write(endpoint)

        courier.host.calls.hooks.may_write = writes
        courier.host.admission.numbered_listeners.append(seen)
        load = Load(courier, args.per_s)
        loading = asyncio.ensure_future(load.run())
        began = time.monotonic()
        for number in range(args.changes):
            if chance.random() < 0.1 and courier.machine.canaries:
                name = chance.choice(courier.machine.canaries).id
                statuses[f"undo {courier.do('POST', '/changes/undo', name=name)[0]}"] += 1
            else:
                change, bad = drawn(chance, courier.machine, partners, number)
                status, _ = courier.do("POST", "/changes", do="apply", change=change)
                statuses[f"{'wrong' if bad else 'right'} {status}"] += 1
            await asyncio.sleep(EVERY_S)
        loading.cancel()
        await courier.until(lambda: not courier.host.journal.pending, 60)
        took = time.monotonic() - began
    for partner in partners:
        await partner.stop()
    await asyncio.sleep(0.2)  # their connections end
    feed = folder / "finals.jsonl"
    lines = feed.read_text().splitlines() if feed.exists() else []
    finals = Counter(json.loads(line)["id"] for line in lines)
    runs: Counter[str] = Counter()
    for partner in partners:
        runs += partner.runs
    lost = [m for m in load.taken if not runs[m] and not finals.get(m)]
    twice = [m for m, count in finals.items() if count > 1]
    print(f"{args.changes} changes in {took:.0f} s: {dict(sorted(statuses.items()))}")
    print(
        f"{len(load.taken)} messages taken on ({dict(load.said)}), {sum(runs[m] > 0 for m in load.taken)} "
        f"delivered, {len(finals)} ended by a notice; {len(lost)} with no end, {len(twice)} with two"
    )
    print(f"looks at what the courier goes by that were not of one version: {sum(wrong.values())}")
    return 1 if lost or twice or wrong else 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--per-s", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(args, Path(folder) / "estate"))


if __name__ == "__main__":
    sys.exit(main())
