"""What a standby costs and how long it takes to take over, on real processes and sockets of one machine.

    python bench/standby.py cost [--messages 4000]     # none, after, before in turn: +OK's latency, CPU
    python bench/standby.py takeover [--held 100000]   # catching up from nothing; from the kill to serving
    python bench/standby.py move                       # a planned move under load: refusals, the longest gap
    python bench/standby.py points [--kills 50]        # the owner is killed under load again and again
    python bench/standby.py seeds [--seeds 2500]       # drawn schedules, by a person's word and by lease

Clients and partner are stand-ins in this process. CPU is the processes' own, user and system.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
for each in ("tests/standby", "tests/federation", "tests", ""):
    sys.path.insert(0, str(HERE / each))
from loopback import Client  # noqa: E402
from pair import Pair  # noqa: E402

from madderbeam.journal.journal import Journal  # noqa: E402
from madderbeam.journal.pending_message import PendingMessage  # noqa: E402
from madderbeam.ports.real import RealClock, RealDisk  # noqa: E402

CLIENTS, TICKS = 8, os.sysconf("SC_CLK_TCK")
ROOM = {"max_held": 120_000, "disk_mb": 200, "slots": 64}


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Direct(Pair):
    """With no proxy between the two; `off`: the owner has no standby."""

    off = False

    def render(self, side, **more):
        super().render(side, **more)
        path = side.folder / "rendered" / f"{side.short}.json"
        if side is self.a:
            from madderbeam.config.rendered import seal

            found = json.loads(path.read_text())
            found["standby"]["to"] = f"{self.b.host}:{self.b.mesh}"
            if self.off:
                del found["standby"]
            path.write_text(json.dumps(seal(found)))


async def one(mode: str, messages: int) -> dict[str, float]:
    """Latencies of +OK in milliseconds, CPU in microseconds a message."""
    with tempfile.TemporaryDirectory() as folder:
        made = Direct(
            Path(folder), {"slots": 64, "max_held": 4000}, mode="after" if mode == "after" else "before"
        )
        made.off = mode == "none"
        async with made as p:
            if mode != "none":
                await p.b.standing()
            await p.a.start()
            clients = [await p.a.client() for _ in range(CLIENTS)]
            took: list[float] = []

            async def loop(client: Client, which: int, count: int) -> None:
                for n in range(count):
                    at = time.perf_counter()
                    told = await client.put(f"{which}x{n}x{at}", kind=("safe", "unsafe")[n % 2], life=20_000)
                    if told == "+OK":
                        took.append(time.perf_counter() - at)

            await asyncio.gather(*(loop(c, n, 100) for n, c in enumerate(clients)))  # the partner gets warm
            await asyncio.sleep(0.5)
            took.clear()
            before = [cpu_s(s.process.pid) if s.process else 0.0 for s in (p.a, p.b)]
            began, called = time.perf_counter(), len(p.partner.calls)
            await asyncio.gather(*(loop(c, n, messages // CLIENTS) for n, c in enumerate(clients)))
            took_s = time.perf_counter() - began
            after = [cpu_s(s.process.pid) if s.process else 0.0 for s in (p.a, p.b)]
            cost = [(y - x) / messages * 1e6 for x, y in zip(before, after, strict=True)]
            took.sort()
            return {
                "p50_ms": took[len(took) // 2] * 1e3,
                "p99_ms": took[len(took) * 99 // 100] * 1e3,
                "owner_us": cost[0],
                "standby_us": cost[1],
                "a_second": messages / took_s,
                "taken": len(took) / messages,
                "calls": (len(p.partner.calls) - called) / messages,
            }


async def cost(messages: int, runs: int) -> None:
    rows: dict[str, list[dict[str, float]]] = {"none": [], "after": [], "before": []}
    for _ in range(runs):
        for mode, found in rows.items():
            found.append(await one(mode, messages))
    for mode, found in rows.items():
        print(mode, {key: round(statistics.median(f[key] for f in found), 2) for key in found[0]}, flush=True)


async def takeover(held: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with Direct(Path(folder), ROOM) as p:
            state = p.a.folder / "state"
            state.mkdir()
            journal = Journal(RealDisk(), RealClock(), str(state), int(ROOM["disk_mb"] * 1e6) - 8192)
            until = journal.wall() + 19 * 9.9
            journal.begin()
            for n in range(1, held + 1):
                journal.accept(PendingMessage(n, f"h{n:07}", n % 2 * 2, 0, 7, "", until, False, b"x" * 200))
                if not n % 500:
                    journal.commit()
                    journal.begin()
            journal.commit()
            journal.close()
            size = sum(f.stat().st_size for f in state.iterdir())
            p.partner.script.extend(["hold"] * 64)
            await p.b.standing()
            began = time.perf_counter()
            await p.a.start()
            print(
                f"held {held}, {size / 1e6:.1f} MB: owner ready, its copy in step, after "
                f"{time.perf_counter() - began:.2f} s",
                flush=True,
            )
            await p.a.kill()
            began = time.perf_counter()
            await p.moved()
            line = next(x for x in p.b.lines if "is ready on port" in x)
            print(
                f"from the kill to serving {time.perf_counter() - began:.2f} s, at most 1.1 s of it the "
                f"lease: {line.partition('INFO ')[2]}",
                flush=True,
            )


async def move(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with Direct(Path(folder), {"max_held": 4000}) as p:
            await p.start()
            stop, gaps = asyncio.Event(), []
            loads = [asyncio.create_task(_load(p, stop, n, gaps)) for n in range(CLIENTS)]
            await asyncio.sleep(seconds)
            began = time.perf_counter()
            await p.moved()
            took = time.perf_counter() - began
            await asyncio.sleep(seconds)
            stop.set()
            answers = [told for each in await asyncio.gather(*loads) for told in each]
            refused = [told for told in answers if told and told != "+OK"]
            print(
                f"{len(answers)} messages, refused {len(refused)}, unanswered {answers.count('')}, "
                f"promotion to serving {took:.2f} s, longest gap of a client {max(gaps):.2f} s"
            )


async def _load(p: Pair, stop: asyncio.Event, which: int, gaps: list[float]) -> list[str]:
    answers, client, n, last = [], None, 0, time.perf_counter()
    while not stop.is_set():
        if client is None:
            for side in (p.a, p.b):
                try:
                    client = await side.client()
                    break
                except OSError:
                    await asyncio.sleep(0.005)
            continue
        n += 1
        try:
            told = await client.put(f"{which}y{n}", kind=("safe", "unsafe")[n % 2], life=20_000)
        except (OSError, asyncio.IncompleteReadError):
            told, client = "", None
        answers.append(told)
        gaps.append(time.perf_counter() - last)
        last = time.perf_counter()
        await asyncio.sleep(0.005)
    return answers


async def points(kills: int) -> None:
    """One pair after the other: the owner dies at some moment under load."""
    import random

    chance, taken, unsafe, lost = random.Random(7), 0, 0, 0
    for kill in range(kills):
        with tempfile.TemporaryDirectory() as folder:
            async with Direct(Path(folder), {"max_held": 4000}, silent_ms=400) as p:
                await p.start()
                stop = asyncio.Event()
                loading = [asyncio.create_task(p.load(stop, life=6000)) for _ in range(1)]
                await asyncio.sleep(0.2 + chance.random())
                await p.a.kill()
                await p.moved()
                await asyncio.sleep(0.3)
                stop.set()
                answers = (await asyncio.gather(*loading))[0]
                try:
                    await p.all_end(answers, 20.0)
                except TimeoutError:
                    lost += 1
                taken += sum(text == "+OK" for text in answers.values())
                twice = [i for i in answers if int(i[1:]) % 2 and len(p.delivered(i)) > 1]
                unsafe += len(twice)
        print(
            f"{kill + 1} kills: taken on {taken}, unsafe twice {unsafe}, runs with one lost {lost}",
            flush=True,
        )


def seeds(count: int) -> int:
    from world import judge, play

    logging.disable(logging.CRITICAL)
    bad = 0
    for takeover_by in ("person", "lease"):
        taken, over, began = 0, 0, time.process_time()
        for seed in range(count):
            world = play(seed, takeover=takeover_by)
            broken, _ = judge(world)
            bad += bool(broken)
            taken += len(world.taken)
            over += world.over_at is not None
            if broken:
                print(seed, broken[:3])
        print(
            f"{takeover_by}: {count} seeds, {taken} messages taken on, {over} take-overs, rules broken in "
            f"{bad}, {time.process_time() - began:.0f} s of CPU",
            flush=True,
        )
    lost, taken = 0, 0
    for seed in range(count // 10):
        world = play(seed, mode="after", silent="alone")
        broken, gone = judge(world)
        bad += bool(broken)
        lost, taken = lost + gone, taken + len(world.taken)
    print(
        f"after: {count // 10} seeds, of {taken} messages taken on {lost} lost, rules broken in {bad} of "
        "all runs"
    )
    return 1 if bad else 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["cost", "takeover", "move", "points", "seeds"])
    parser.add_argument("--messages", type=int, default=4000)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--held", type=int, default=100_000)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--seeds", type=int, default=2500)
    args = parser.parse_args()
    if args.what == "seeds":
        return seeds(args.seeds)
    asyncio.run(
        {
            "cost": lambda: cost(args.messages, args.runs),
            "takeover": lambda: takeover(args.held),
            "move": lambda: move(2.0),
            "points": lambda: points(args.kills),
        }[args.what]()
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
