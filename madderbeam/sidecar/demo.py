"""`madderbeam demo`: runs stand-in partners, a courier and a client through a short outage."""

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
from madderbeam.standins.partner import KeyMemory, Partner

OUTAGE_START_AND_LENGTH = (0.35, 0.3)  # of the larger partner, as shares of the duration of the traffic
MESSAGES_PER_S = 20.0
CLASSES = {"status-notice": "safe", "room-order": "keyed", "deposit-payment": "unsafe"}
DEADLINE_MS = 4_000
KEY_WINDOW_MS = 15_000  # the partners drop repeats of an order for so long
START_TIMEOUT_S = 10.0

ESTATE = f"""\
[classes.status-notice]
wanted_ms = 1000
deadline_ms = 4000
repeat = "safe"

[classes.room-order]
wanted_ms = 2000
deadline_ms = 4000
repeat = "keyed"
key_window_ms = {KEY_WINDOW_MS}

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
class SentMessage:
    """One message that the client has sent, and what it learnt of it."""

    id: str
    cls: str
    reply: str = ""
    completions: int = 0  # lines about it in the file of completions
    status: str = ""


def partner_list(partners: dict[str, list[Partner]]) -> str:
    """Return partners.toml for these partners, numbered from 1 in their order."""
    parts = []
    for number, (name, endpoints) in enumerate(partners.items(), 1):
        addresses = json.dumps([p.address for p in endpoints])
        parts.append(
            f'[[partner]]\nname = "{name}"\nnumber = {number}\nper_s = 60\nendpoints = {addresses}\n'
        )
    return "\n".join(parts)


async def send_messages(path: str, messages: list[SentMessage], seconds: float, rng: random.Random) -> None:
    """Send the messages over one connection, one at a time, spread over `seconds`."""
    reader, writer = await asyncio.open_unix_connection(path)
    for message in messages:
        key = f",k={message.id}" if CLASSES[message.cls] == "keyed" else ""
        fields = f"c={message.cls},d={DEADLINE_MS},dest={rng.choice((1, 1, 2))}{key}".encode()
        args = (b"MSG.PUT", b"0", message.id.encode(), fields, b"room 4, Thursday, 19:00")
        writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args))
        message.reply = (await reader.readline()).decode().strip()
        await asyncio.sleep(seconds / len(messages))
    writer.close()


def read_completions(path: Path, sent: dict[str, SentMessage]) -> None:
    """Enter the completions in this file into the messages, by id; none if there is no file."""
    with contextlib.suppress(FileNotFoundError):
        for line in path.read_text().splitlines():
            completion = json.loads(line)
            sent[completion["id"]].completions += 1
            sent[completion["id"]].status = completion["status"]


def outcome(message: SentMessage, runs: int) -> str:
    """Return the outcome of a message that its partner executed `runs` times; WRONG breaks a guarantee."""
    if message.reply.startswith("-BUSY"):
        return "rejected" if not runs and not message.completions else "WRONG"
    if runs and not message.completions:
        return "delivered" if runs == 1 or CLASSES[message.cls] == "safe" else "WRONG"
    if message.completions == 1:
        return "deferred" if message.status == "deferred" else "failed"
    return "WRONG"


async def run_demo(folder: Path, seconds: float) -> int:
    """Run the demo in this folder, with traffic for `seconds`; return the exit code."""
    rng = random.Random(7)
    venue_keys = KeyMemory(KEY_WINDOW_MS / 1e3)
    partners = {
        "venue-chain": [Partner(rng, keys=venue_keys), Partner(rng, keys=venue_keys)],
        "small-ensemble": [Partner(rng, keys=KeyMemory(KEY_WINDOW_MS / 1e3))],
    }
    endpoints = [p for ps in partners.values() for p in ps]
    for partner in endpoints:
        await partner.start()
    (folder / "estate.toml").write_text(ESTATE)
    (folder / "partners.toml").write_text(partner_list(partners))
    report = check(folder / "estate.toml")
    assert report.loaded is not None, report.problems
    write(render(report.loaded), folder / "out")
    print(f"estate, rendered files and state of the courier: {folder}")
    log_reader = asyncio.create_task(asyncio.sleep(0))
    courier = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "madderbeam.host.standalone",
        str(folder / "out" / "demo.json"),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await asyncio.wait_for(_ready(courier), START_TIMEOUT_S)
        log_reader = asyncio.create_task(_discard(courier.stderr))
        sent = [
            SentMessage(secrets.token_hex(8), rng.choice(list(CLASSES)))
            for _ in range(int(seconds * MESSAGES_PER_S))
        ]
        loop = asyncio.get_running_loop()
        loop.call_later(
            OUTAGE_START_AND_LENGTH[0] * seconds,
            _start_outage,
            partners["venue-chain"],
            OUTAGE_START_AND_LENGTH[1] * seconds,
        )
        await send_messages(str(folder / "demo.sock"), sent, seconds, rng)
        await asyncio.sleep(DEADLINE_MS / 1e3 + 0.5)  # after all deadlines, so each message has completed
    finally:
        with contextlib.suppress(ProcessLookupError):
            courier.terminate()
        await courier.wait()
        log_reader.cancel()
        for partner in endpoints:
            await partner.stop()
    read_completions(folder / "finals.jsonl", {m.id: m for m in sent})
    return print_outcomes(sent, endpoints)


async def _ready(courier: asyncio.subprocess.Process) -> None:
    assert courier.stderr is not None
    while line := (await courier.stderr.readline()).decode():
        if "is ready" in line:
            return
        print(line, end="")
    raise RuntimeError("the courier did not start")


async def _discard(reader: asyncio.StreamReader | None) -> None:
    """Read and drop the courier's log lines; it would block on a full pipe otherwise."""
    while reader is not None and await reader.readline():
        pass


def _start_outage(endpoints: list[Partner], seconds: float) -> None:
    print(f"venue-chain rejects all calls for {seconds:.1f} s, with a Retry-After")
    for partner in endpoints:
        partner.shut(seconds)


def print_outcomes(sent: list[SentMessage], partners: list[Partner]) -> int:
    """Print the outcomes by class; return 1 if a message has no completion, two, or a repeated effect."""
    counts: dict[str, Counter[str]] = {cls: Counter() for cls in CLASSES}
    for m in sent:
        counts[m.cls][outcome(m, sum(p.runs[m.id] for p in partners))] += 1
    outcomes = ("delivered", "deferred", "rejected", "failed", "WRONG")
    print(f"{'':18}" + "".join(f"{name:>17}" for name in outcomes))
    for cls, count in counts.items():
        print(f"{cls:18}" + "".join(f"{count[name]:>17}" for name in outcomes))
    print(f"calls rejected by a partner in its outage: {sum(p.refused for p in partners)}")
    wrong = sum(c["WRONG"] for c in counts.values())
    print(
        "each message completed once, and no effect was repeated"
        if not wrong
        else f"{wrong} messages are WRONG"
    )
    return 1 if wrong else 0


def main(seconds: float) -> int:
    """Run the demo in a temporary folder; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="madderbeam-demo-") as folder:
        return asyncio.run(run_demo(Path(folder), seconds))
