"""`madderbeam demo`: stand-in partners, a courier from a rendered file and a client, amid a small outage."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from madderbeam.config.check import check
from madderbeam.config.render import render, write
from madderbeam.standins.partner import Partner

OUTAGE = (0.35, 0.3)  # when the larger partner shuts and for how long, as shares of the traffic's time
PER_S = 20.0
CLASSES = {"status-notice": "safe", "room-order": "keyed", "deposit-payment": "unsafe"}
LIFE_MS = 4_000
START_S = 10.0

ESTATE = """\
[classes.status-notice]
wanted_ms = 1000
deadline_ms = 4000
repeat = "safe"

[classes.room-order]
wanted_ms = 2000
deadline_ms = 4000
repeat = "keyed"
key_window_ms = 15000

[classes.deposit-payment]
wanted_ms = 2000
deadline_ms = 4000
repeat = "unsafe"

[[application]]
name = "demo"
listen = "unix:demo.sock"
state = "state"
finals = "finals.jsonl"
classes = ["status-notice", "room-order", "deposit-payment"]
"""


@dataclass
class Sent:
    """One message that the client handed in."""

    id: str
    cls: str
    answer: str = ""
    ends: int = 0  # finals in the feed
    status: str = ""


def partner_list(partners: dict[str, list[Partner]]) -> str:
    parts = []
    for number, (name, endpoints) in enumerate(partners.items(), 1):
        addresses = json.dumps([p.address for p in endpoints])
        parts.append(
            f'[[partner]]\nname = "{name}"\nnumber = {number}\nper_s = 60\nendpoints = {addresses}\n'
        )
    return "\n".join(parts)


async def hand_in(path: str, messages: list[Sent], seconds: float, chance: random.Random) -> None:
    """The client: one connection, a message after the other."""
    reader, writer = await asyncio.open_unix_connection(path)
    for m in messages:
        key = f",k={m.id}" if CLASSES[m.cls] == "keyed" else ""
        fields = f"c={m.cls},d={LIFE_MS},dest={chance.choice((1, 1, 2))}{key}".encode()
        args = (b"MSG.PUT", b"0", m.id.encode(), fields, b"room 4, Thursday, 19:00")
        writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args))
        m.answer = (await reader.readline()).decode().strip()
        await asyncio.sleep(seconds / len(messages))
    writer.close()


def read_feed(path: Path, sent: dict[str, Sent]) -> None:
    with contextlib.suppress(FileNotFoundError):
        for line in path.read_text().splitlines():
            final = json.loads(line)
            sent[final["id"]].ends += 1
            sent[final["id"]].status = final["status"]


def outcome(m: Sent, runs: int) -> str:
    """What became of a message, in one word or two."""
    if m.answer.startswith("-BUSY"):
        return "refused at once" if not runs and not m.ends else "WRONG"
    if runs and not m.ends:
        return "delivered" if runs == 1 or CLASSES[m.cls] == "safe" else "WRONG"
    if m.ends == 1:
        return "handed back" if m.status == "deferred" else "failed"
    return "WRONG"


async def play(folder: Path, seconds: float) -> int:
    chance = random.Random(7)
    partners = {"venue-chain": [Partner(chance), Partner(chance)], "small-ensemble": [Partner(chance)]}
    everyone = [p for ps in partners.values() for p in ps]
    for partner in everyone:
        await partner.start()
    (folder / "estate.toml").write_text(ESTATE)
    (folder / "partners.toml").write_text(partner_list(partners))
    report = check(folder / "estate.toml")
    assert report.loaded is not None, report.problems
    write(render(report.loaded), folder / "out")
    print(f"the estate, its files and the courier's folder: {folder}")
    log = asyncio.create_task(asyncio.sleep(0))
    courier = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "madderbeam.host.standalone",
        str(folder / "out" / "demo.json"),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await asyncio.wait_for(_ready(courier), START_S)
        log = asyncio.create_task(_drain(courier.stderr))
        sent = [Sent(secrets.token_hex(8), chance.choice(list(CLASSES))) for _ in range(int(seconds * PER_S))]
        loop = asyncio.get_running_loop()
        loop.call_later(OUTAGE[0] * seconds, _shut, partners["venue-chain"], OUTAGE[1] * seconds)
        await hand_in(str(folder / "demo.sock"), sent, seconds, chance)
        await asyncio.sleep(LIFE_MS / 1e3 + 0.5)  # every message's time is up: each has its end
    finally:
        with contextlib.suppress(ProcessLookupError):
            courier.terminate()
        await courier.wait()
        log.cancel()
        for partner in everyone:
            await partner.stop()
    read_feed(folder / "finals.jsonl", {m.id: m for m in sent})
    return tell(sent, everyone)


async def _ready(courier: asyncio.subprocess.Process) -> None:
    assert courier.stderr is not None
    while line := (await courier.stderr.readline()).decode():
        if "is ready" in line:
            return
        print(line, end="")
    raise RuntimeError("the courier did not start")


async def _drain(reader: asyncio.StreamReader | None) -> None:
    """Read the courier's log, which would stand in its way otherwise."""
    while reader is not None and await reader.readline():
        pass


def _shut(endpoints: list[Partner], seconds: float) -> None:
    print(f"venue-chain is shut for {seconds:.1f} s, and says so")
    for partner in endpoints:
        partner.shut(seconds)


def tell(sent: list[Sent], partners: list[Partner]) -> int:
    """Print what became of each message by class; 1 if one has no end, two ends, or one effect too many."""
    counts: dict[str, Counter[str]] = {cls: Counter() for cls in CLASSES}
    for m in sent:
        counts[m.cls][outcome(m, sum(p.runs[m.id] for p in partners))] += 1
    words = ("delivered", "handed back", "refused at once", "failed", "WRONG")
    print(f"{'':18}" + "".join(f"{w:>17}" for w in words))
    for cls, count in counts.items():
        print(f"{cls:18}" + "".join(f"{count[w]:>17}" for w in words))
    print(f"calls that a shut partner had to refuse: {sum(p.refused for p in partners)}")
    wrong = sum(c["WRONG"] for c in counts.values())
    print(
        "each message has one end, and no effect came twice" if not wrong else f"{wrong} messages are WRONG"
    )
    return 1 if wrong else 0


def main(seconds: float) -> int:
    """Play the demo; the exit code."""
    with tempfile.TemporaryDirectory(prefix="madderbeam-demo-") as folder:
        return asyncio.run(play(Path(folder), seconds))
