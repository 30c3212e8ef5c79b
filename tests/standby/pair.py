"""A primary and its standby as real processes, faulty links between them, a partner that records calls."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import sys

from faulty_links import Links
from harness import CLASSES
from loopback import ROOT, Client, call
from member_processes import Member
from noting_partners import Partner

from madderbeam.config.check import check
from madderbeam.config.render import render, write

LIMIT = 30.0
DEST = 7
_pairs = itertools.count()


class Side(Member):
    """One courier of the pair."""

    async def start(self, until="is ready on port", largest=0):
        """Start and wait for the log line `until`, None: return at once. `largest`: the maximum size of a
        file in bytes, 0: unlimited."""

        def limit():
            if largest:
                resource.setrlimit(resource.RLIMIT_FSIZE, (largest, largest))

        self.life = len(self.lines)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            "run",
            "--config",
            str(self.rendered),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit,
        )
        self.reading = asyncio.create_task(self._read(self.process.stderr))
        if until is not None:
            await self.until(until, LIMIT)
        return self

    async def standing(self, largest=0):
        return await self.start("is a standby on port", largest)

    async def status(self):
        status, text = await self.call("GET", "/standby")
        assert status == 200, text
        return json.loads(text)

    async def until_status(self, condition, limit=LIMIT):
        """The reply to GET /standby once `condition` holds for it."""
        status = {}

        async def inner():
            nonlocal status
            while not condition(status := await self.status()):
                await asyncio.sleep(0.02)  # a change is not reported
            return status

        try:
            return await asyncio.wait_for(inner(), limit)
        except TimeoutError:
            raise TimeoutError(f"{self.name} tells {status}") from None

    async def promote(self):
        return await call(self.control, "PUT", "/standby/promote", host=self.host)

    async def client(self):
        return await Client().open(self.listen, self.host)


async def accepted(client, ident, **fields):
    """Hand a message in until it is accepted, each time behind the wait that a refusal tells.

    A standby that a busy machine holds up for `silent_ms` counts as silent, and the primary refuses then.
    """
    while (text := await client.put(ident, **fields)) != "+OK":
        word, wait_ms = text.split()
        assert word == "-BUSY", text
        await asyncio.sleep(int(wait_ms) / 1e3)


class Pair:
    """`a` is the primary, `b` the standby. `told`, `more`: settings of standby and application tables."""

    def __init__(self, folder, more=None, **told):
        self.folder, self.told, self.more = folder, told, more or {}
        number, pid = next(_pairs), os.getpid()
        net = f"127.{216 + pid // 250 % 30}.{pid % 250}"
        self.sides = {}
        for n, name in enumerate(("s/a", "s/b")):
            (folder / name).mkdir(parents=True)
            self.sides[name] = Side(name, f"{net}.{1 + (2 * number + n) % 250}", folder / name)
        self.a, self.b = self.sides.values()
        self.partner = Partner(DEST, self.sides)
        self.links = Links(list(self.sides))
        (folder / "keys").write_text("one " + "5a" * 32 + "\n")

    async def __aenter__(self):
        await self.links.__aenter__()
        await self.partner.start()
        for side in self.sides.values():
            self.links.lead(side.name, (side.host, side.mesh))
            self.render(side)
        return self

    async def __aexit__(self, *_):
        await asyncio.gather(*(side.close() for side in self.sides.values()))
        self.partner.stop()
        await self.links.__aexit__()

    def render(self, side, **more):
        """Write the files of a side; `more`: settings that differ in its table."""
        table = {"key_file": str(self.folder / "keys"), "silent_ms": 1000, **self.told, **more}
        if side is self.a:
            table["to"] = "{}:{}".format(*self.links.address("s/a", "s/b"))
        else:
            table["listen"] = f"{side.host}:{side.mesh}"
        app = {
            "name": side.short,
            "listen": f"{side.host}:{side.listen}",
            "state": "state",
            "control": f"{side.host}:{side.control}",
            "classes": ["safe", "keyed", "unsafe"],
            "finals": "finals.jsonl",
            "max_held": 2000,
            **self.more,
        }
        (side.folder / "estate.toml").write_text(
            f"{CLASSES}[[application]]\n{_table(app)}\n[application.standby]\n{_table(table)}"
        )
        (side.folder / "partners.toml").write_text(
            f'[[partner]]\nname = "p"\nnumber = {DEST}\nper_s = 1000\n'
            f'endpoints = ["{self.partner.address(side.name)}"]\n'
        )
        report = check(side.folder / "estate.toml")
        assert report.loaded is not None, [str(p) for p in report.problems]
        write(render(report.loaded), side.folder / "rendered")

    async def start(self):
        """Start both and wait until they are in sync; returns a client of the primary."""
        await self.b.standing()
        await self.a.start()
        await self.a.until_status(lambda told: told["state"] == "in step")
        return await self.a.client()

    async def moved(self):
        """Promote the standby and wait until it is ready as a courier."""
        status, text = await self.b.promote()
        assert status == 200, text
        await self.b.until("is ready on port", LIMIT)

    async def load(self, stop, kinds=("safe", "unsafe"), life=8000):
        """Submit messages one after the other, to whichever side accepts clients, until `stop` is set: the
        reply for each id, "" without one."""
        answers, client, n = {}, None, 0
        while not stop.is_set():
            for side in (self.b, self.a) if client is None else ():
                try:
                    client = await side.client()
                except OSError:
                    await asyncio.sleep(0.01)
            if client is None:
                continue
            ident = f"l{n}"
            answers[ident] = ""
            try:
                answers[ident] = await client.put(ident, kind=kinds[n % len(kinds)], life=life)
                n += 1
            except (OSError, asyncio.IncompleteReadError):
                client = None  # its outcome is unknown
                n += 1
        return answers

    async def all_end(self, answers, limit=LIMIT):
        """Wait until each accepted message is delivered or its outcome is reported."""
        taken = {ident for ident, text in answers.items() if text == "+OK"}

        async def inner():
            while not taken <= (
                {c.ident for c in self.partner.calls if c.effect == "ran"}
                | {i for s in self.sides.values() for i, _ in s.finals()}
            ):
                await asyncio.sleep(0.05)

        await asyncio.wait_for(inner(), limit)

    def delivered(self, ident):
        """The calls with this id, in order."""
        return [c for c in self.partner.calls if c.ident == ident]


def _table(values):
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


def pair(test, folder, **told):
    """Run a test with a pair."""

    async def inner():
        async with Pair(folder, **told) as made:
            await test(made)

    asyncio.run(inner())
