"""The federation on real processes: agreement, switch-over under traffic, cost of a local message.

    python bench/federation.py            # all three; about three minutes on an idle machine
    python bench/federation.py proposal switch cost

proposal  three sites of two couriers: time from an offer to the table in force at all members, and the same
          at all others where the member that it was offered to is killed within 60 ms (ten of each).
switch    three sites of one courier: publications and messages at a steady rate for a destination that
          changes hands twice, against the same without a change: share in time, and the longest gap.
cost      CPU time a message of one courier with the federation off, and on for local messages, and what
          a member takes that does nothing.

Frames and bytes of a grouped notice are in bench/relay.py, detection and bytes a second in
bench/membership.py, links in bench/mesh.py.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path[:0] = [str(HERE / "tests"), str(HERE / "tests" / "federation"), str(HERE)]
from harness import Estate  # noqa: E402
from noting_partners import now  # noqa: E402

LIMIT = 30.0
SITES = ("macon", "savannah", "athens")


async def until(so, limit=LIMIT):
    """When this held; TimeoutError."""

    async def inner():
        while not await so():
            await asyncio.sleep(0.01)
        return now()

    return await asyncio.wait_for(inner(), limit)


async def in_force(members, number):
    shown = await asyncio.gather(*(m.federation() for m in members), return_exceptions=True)
    return all(isinstance(s, dict) and s["table"]["number"] == number for s in shown)


async def serve(estate):
    await estate.start()
    await asyncio.gather(*(m.until("served again", LIMIT) for m in estate.members.values()))


async def proposal(folder: Path, rounds: int = 10) -> None:
    """Spans in milliseconds."""
    partners = {1: ("macon", []), 2: ("savannah", []), 3: ("athens", [])}
    async with Estate(folder, dict.fromkeys(SITES, 2), partners) as estate:
        await serve(estate)
        number, plain, killed, unheard, chance = 1, [], [], 0, random.Random(1)
        for turn in range(2 * rounds):
            number += 1
            kill = turn % 2 == 1
            site = SITES[number % 3]
            offered = estate[f"{SITES[turn % 3]}/m{1 + turn % 2}"]
            others = [m for m in estate.members.values() if m is not offered]
            began = now()
            await offered.offer(estate.table(number, {2: site}))
            if not kill:
                ended = await until(lambda n=number: in_force(estate.members.values(), n))
                plain.append((ended - began) * 1e3)
                continue
            await asyncio.sleep(chance.uniform(0.0, 0.06))
            await offered.kill()
            try:
                ended = await until(lambda n=number, o=others: in_force(o, n), 12.0)
                killed.append((ended - began) * 1e3)
            except TimeoutError:
                unheard += 1  # it died before it had said a word: its next start brings the offer again
            await estate.start(offered.name)
            await until(lambda n=number: in_force(estate.members.values(), n))
    for name, spans in (("plain", plain), ("offered to one that is killed", killed)):
        if spans:
            print(
                f"proposal, {name}: median {statistics.median(spans):.0f} ms, worst {max(spans):.0f} ms, "
                f"{len(spans)} tables"
            )
    print(f"proposal: {unheard} tables were known to nobody as the member died, and came with its next start")


async def switch(folder: Path, seconds: float = 12.0, rate: float = 40.0) -> None:
    partners = {1: ("macon", ["season"]), 2: ("savannah", ["season"]), 3: ("athens", ["season"])}
    for name, changes in (("no change", ()), ("two switch-overs", ((2, "athens"), (3, "savannah")))):
        path = folder / name.replace(" ", "-")
        path.mkdir()
        async with Estate(path, dict.fromkeys(SITES, 1), partners) as estate:
            await serve(estate)
            members = list(estate.members.values())
            clients = [await m.client() for m in members]
            sent, began, number = {}, now(), 0
            change = list(changes)

            async def one(n, estate=estate, members=members, clients=clients, sent=sent):
                member, client = members[n % 3], clients[n % 3]
                kind = ("safe", "keyed", "unsafe")[n % 7 % 3]
                ident, tried = f"{n:016x}", 0
                while True:
                    at = now()
                    put = (
                        estate.publish(client, member, ident, "season", kind=kind, life=2000)
                        if n % 4 == 0
                        else estate.put(client, member, ident, 2, kind=kind, life=2000)
                    )
                    told = await put
                    if told == "+OK" or now() - sent.setdefault(ident, at) > 2:
                        return tried
                    tried += 1
                    await asyncio.sleep(max(0.01, int(told.split()[1]) / 1e3 if " " in told else 0.05))

            n = 0
            while now() - began < seconds:
                if change and now() - began > seconds * (len(changes) - len(change) + 1) / (len(changes) + 1):
                    table, owner = change.pop(0)
                    await members[0].offer(estate.table(table, {2: owner}))
                    number = table
                await asyncio.gather(*(one(n + k) for k in range(3)))
                n += 3
                await asyncio.sleep(max(0.0, n / rate - (now() - began)))
            await asyncio.sleep(2.5)
            ran = {
                (c.dest, c.body): c.ended
                for c in sorted(estate.calls(), key=lambda c: -c.ended)
                if c.effect == "ran"
            }
            wanted = [(p, d) for p in estate.publications for d in p.dests]
            good = sum(1 for p, d in wanted if ran.get((d, p.body), 1e18) <= sent.get(p.ident, p.taken) + 2.0)
            times = sorted(c.begun for c in estate.calls() if c.dest == 2)
            gap = max(b - a for a, b in zip(times, times[1:], strict=False))
            print(
                f"switch, {name}: {len(wanted)} deliveries, {good / len(wanted):.4f} in time, longest gap "
                f"in calls at the destination {gap * 1e3:.0f} ms, table {number or 1}"
            )


def cpu(pid: int) -> float:
    """Seconds of processor time of a process, all its threads."""
    return (
        sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir())
        / 1e9
    )


async def cost(folder: Path, messages: int = 3000, rounds: int = 8) -> None:
    """Microseconds of CPU a local message, by turns in one run; the median of the pairs' ratios."""
    partners = {1: ("macon", []), 2: ("savannah", [])}
    on, off = folder / "on", folder / "off"
    on.mkdir(), off.mkdir()
    async with Estate(on, {"macon": 1, "savannah": 1}, partners) as estate:
        await serve(estate)
        member = estate["macon/m1"]
        text = (member.folder / "estate.toml").read_text()
        from loopback import Client
        from member_processes import free_port

        (off / "estate.toml").write_text(plain(text, free_port))
        (off / "partners.toml").write_text(
            (member.folder / "partners.toml")
            .read_text()
            .replace('site = "macon"\n', "")
            .replace('site = "savannah"\n', "")
        )
        alone = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            "run",
            "--config",
            str(rendered(off)),
            cwd=HERE,
            stderr=asyncio.subprocess.PIPE,
        )
        port = 0
        while not port:
            line = (await alone.stderr.readline()).decode()
            if "is ready on port" in line:
                port = int(line.split("is ready on port ")[1].split()[0])
        reading = asyncio.create_task(alone.stderr.read())
        try:
            await asyncio.sleep(5)  # before any load: for seconds after one its journal is written anew
            idle = {"on": -cpu(member.process.pid), "off": -cpu(alone.pid)}
            await asyncio.sleep(20)
            for which, pid in (("on", member.process.pid), ("off", alone.pid)):
                idle[which] = (idle[which] + cpu(pid)) / 20 * 1e3
            print(f"cost: a second of doing nothing takes {idle['on']:.1f} ms CPU on, {idle['off']:.1f} off")
            spans = {"on": [], "off": []}
            for turn in range(2 * rounds + 2):
                which = "on" if turn % 2 else "off"
                client = await (member.client() if which == "on" else Client().open(port))
                pid = member.process.pid if which == "on" else alone.pid
                before, began = cpu(pid), time.monotonic()
                todo = [client.message(f"{turn:04x}{n:012x}", dest=1) for n in range(messages)]
                taken = 0
                for n in range(0, len(todo), 4):  # as a program that hands a batch in
                    client.writer.write(b"".join(todo[n : n + 4]))
                    for _ in todo[n : n + 4]:
                        told = await client.line()
                        taken += told == "+OK"
                        if told.startswith("-BUSY"):
                            await asyncio.sleep(0.02)
                took = time.monotonic() - began
                if turn > 1:
                    spans[which].append((cpu(pid) - before) / taken * 1e6)
                    print(
                        f"cost, {which}: {spans[which][-1]:.0f} us CPU a message, {taken} in {took:.1f} s",
                        flush=True,
                    )
        finally:
            alone.kill()
            await alone.wait()
            await reading
    pairs = sorted(a / b for a, b in zip(spans["on"], spans["off"], strict=True))
    print(
        f"cost: a local message with the federation on costs {statistics.median(pairs):.3f} times one "
        f"without (pairs from {pairs[0]:.3f} to {pairs[-1]:.3f})"
    )


def plain(text: str, free_port) -> str:
    """The same application with no federation."""
    head, _, rest = text.partition("[federation]")
    app = rest[rest.index("[[application]]") :]
    lines = [
        f'listen = "127.0.0.1:{free_port("127.0.0.1")}"'
        if line.startswith("listen")
        else f'control = "127.0.0.1:{free_port("127.0.0.1")}"'
        if line.startswith("control")
        else line
        for line in app.splitlines()
        if not line.startswith(("via", "member"))
    ]
    return head + "\n".join(lines) + "\n"


def rendered(folder: Path) -> Path:
    from madderbeam.config.check import check
    from madderbeam.config.render import render, write

    report = check(folder / "estate.toml")
    assert report.loaded is not None, [str(p) for p in report.problems]
    write(render(report.loaded), folder / "rendered")
    return next(
        p
        for p in (folder / "rendered").glob("*.json")
        if "partners" not in p.name and p.name != "manifest.json"
    )


def main() -> None:
    parts = {"proposal": proposal, "switch": switch, "cost": cost}
    for name in sys.argv[1:] or list(parts):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(parts[name](Path(folder)))


if __name__ == "__main__":
    main()
