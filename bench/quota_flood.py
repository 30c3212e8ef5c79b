"""One ensemble at twenty times its share: what the others notice, with quotas and without, on real sockets.

`python bench/quota_flood.py [--seconds 600]`: three runs, one after the other, of one courier with four
slots, two partners that take 50 ms, and four ensembles of two organisations at 5 messages a second each: no
flood; a flood with quotas; a flood without. Each fourth message is a deposit.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from loopback import Client, beside

from madderbeam.config.check import check
from madderbeam.config.render import render, write
from madderbeam.standins.partner import Partner

RATE, FLOOD, TENANTS, WANTED_S = 5.0, 20, ("choir", "band", "strings", "brass"), 1.0
ESTATE = """\
[classes.notice]
wanted_ms = 1000
deadline_ms = 4000
repeat = "safe"

[classes.deposit]
wanted_ms = 1000
deadline_ms = 4000
repeat = "unsafe"
worth = 4.0
TENANTS
QUOTA
[[application]]
name = "n"
listen = "127.0.0.1:6001"
state = "state"
finals = "finals.jsonl"
classes = ["notice", "deposit"]
slots = 4
max_held = 200
"""


def quota():
    text = ""
    for org, own in (("school", TENANTS[:2]), ("federation", TENANTS[2:])):
        text += f'[[quota]]\nname = "{org}"\nlimit = {{ messages_per_s = 24, burst_messages = 48 }}\n'
        for name in own:
            text += (
                f'[[quota]]\nname = "{name}"\nparent = "{org}"\ntenants = ["{name}"]\n'
                "share = { messages_per_s = 10, burst_messages = 20 }\nreserved = { messages_per_s = 8 }\n"
            )
    return text


async def tenant(port, name, rate, seconds, sent, chance):
    """Hands messages in at random times, on a connection of its own, and a refused one once more."""
    client, begin = await Client().open(port), time.monotonic()
    at, count = 0.0, 0
    while at < seconds:
        at += chance.expovariate(rate)
        await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
        ident, cls = f"{name}{count}", "deposit" if count % 4 == 3 else "notice"
        count += 1
        fields = f"c={cls},t={name},d=4000,dest={1 + count % 2}"
        answer = await client.send(
            Client.command(b"MSG.PUT", b"0", ident.encode(), fields.encode(), b"x" * 200)
        )
        sent[ident] = (name, cls, begin + at, answer)
    client.writer.close()


class Timed(Partner):
    """Notes when each message ran."""

    def __init__(self, chance, at):
        super().__init__(chance, 0.05)
        self.at = at

    async def _answer(self, path, headers, body):
        found = await super()._answer(path, headers, body)
        self.at[headers.get("x-request-id", "")] = time.monotonic()
        return found


async def run(seconds, flood, limited):
    chance, at, sent = random.Random(1), {}, {}
    partners = [Timed(chance, at) for _ in range(2)]
    for p in partners:
        await p.start()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        tenants = "".join(f"[tenants.{t}]\nshare = 0.25\n" for t in TENANTS)
        (folder / "estate.toml").write_text(
            ESTATE.replace("TENANTS", tenants).replace("QUOTA", quota() if limited else "")
        )
        (folder / "partners.toml").write_text(
            "".join(
                f'[[partner]]\nname = "p{n}"\nnumber = {n}\nper_s = 500\n'
                f"endpoints = [{json.dumps(p.address)}]\n"
                for n, p in enumerate(partners, 1)
            )
        )
        report = check(folder / "estate.toml")
        assert report.loaded, report.problems
        write(render(report.loaded), folder / "out")
        loop = asyncio.get_running_loop()
        host, lock = beside(folder / "out" / "n.json")
        port = host.start()
        await asyncio.gather(
            *(
                tenant(
                    port,
                    t,
                    RATE * (FLOOD if flood and t == TENANTS[0] else 1),
                    seconds,
                    sent,
                    random.Random(f"{t}"),
                )
                for t in TENANTS
            )
        )
        await asyncio.sleep(4.2)
        host.close()
        lock.close()
    loop.set_exception_handler(lambda *_: None)  # the partners' connections are cut off
    for p in partners:
        await p.stop()
    return sent, at


def figures(sent, at):
    """By group: share in time, median and 99th percentile in ms of what was delivered."""
    groups = defaultdict(list)
    for ident, (name, cls, when, _) in sent.items():
        took = at[ident] - when if ident in at else float("inf")
        if name == TENANTS[0]:
            groups["the flooding one"].append(took)
        else:
            groups["others, deposits" if cls == "deposit" else "others, notices"].append(took)
    found = {}
    for group, times in sorted(groups.items()):
        done = sorted(t for t in times if t < 1e9)
        found[group] = (
            sum(t <= WANTED_S for t in times) / len(times),
            done[len(done) // 2] * 1e3,
            done[int(len(done) * 0.99)] * 1e3,
            len(times),
        )
    return found


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--seconds", type=float, default=600.0)
    args.add_argument("--run", type=int, choices=(1, 2, 3), help="this one alone")
    given = args.parse_args()
    seconds = given.seconds
    runs = (("no flood, quotas", False, True), ("flood, quotas", True, True), ("flood, none", True, False))
    for title, flood, limited in runs if given.run is None else [runs[given.run - 1]]:
        print(title)
        for group, (share, median, late, count) in figures(
            *asyncio.run(run(seconds, flood, limited))
        ).items():
            print(
                f"  {group:18} {count:6} messages, {share:.3f} in time, median {median:.0f} ms, "
                f"99 % {late:.0f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
