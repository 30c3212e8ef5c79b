"""A courier with the Kafka front on loopback, and its partners."""

import asyncio
import json

from loopback import Endpoint, beside

from madderbeam.config.check import check
from madderbeam.config.render import render, write

ESTATE = """\
[classes.notice]
wanted_ms = 2000
deadline_ms = 6000
repeat = "safe"

[classes.order]
wanted_ms = 2000
deadline_ms = 9000
repeat = "keyed"
key_window_ms = 8000

[classes.deposit]
wanted_ms = 2000
deadline_ms = 9000
repeat = "unsafe"

[tenants.atlanta]
share = 1.0

[[application]]
name = "n"
listen = "127.0.0.1:6001"
state = "state"
finals = "finals.jsonl"
classes = ["notice", "order", "deposit"]
MORE

[application.kafka]
listen = "127.0.0.1:6002"
KAFKA
"""


class Courier:
    """One courier, started and started again in one folder."""

    def __init__(self, folder, kafka="", more=""):
        self.folder, self.host = folder, None
        self.text = ESTATE.replace("MORE", more).replace("KAFKA", kafka)
        self.endpoints = {}

    async def __aenter__(self):
        for number in (1, 2):
            self.endpoints[number] = await Endpoint().start()
        (self.folder / "estate.toml").write_text(self.text)
        (self.folder / "partners.toml").write_text(self.partners())
        report = check(self.folder / "estate.toml")
        assert report.loaded, report.problems
        write(render(report.loaded), self.folder / "out")
        await self.start()
        return self

    def partners(self):
        return "".join(
            f'[[partner]]\nname = "p{n}"\nnumber = {n}\nper_s = 5000\nendpoints = ["127.0.0.1:{e.port}"]\n'
            for n, e in self.endpoints.items()
        )

    async def start(self):
        self.host, self.lock = beside(self.folder / "out" / "n.json")
        self.host.start()
        self.address = f"127.0.0.2:{self.host.components[-1].front.setup.port}"

    def kill(self):
        """As SIGKILL leaves it: nothing is told to anybody."""
        self.host.close()
        self.lock.close()
        self.host = None

    async def __aexit__(self, *_):
        if self.host:
            self.kill()
        for endpoint in self.endpoints.values():
            await endpoint.stop()

    def met(self):
        """Bodies and ids of all calls since the last look, by destination."""
        found = []
        for number, endpoint in self.endpoints.items():
            while not endpoint.calls.empty():
                _, headers, body, _ = endpoint.calls.get_nowait()
                found.append((number, headers["x-request-id"], body))
        return found

    async def settled(self):
        while self.host.journal.pending:
            await asyncio.sleep(0.005)

    def finals(self):
        path = self.folder / "finals.jsonl"
        return [json.loads(x) for x in path.read_text().splitlines()] if path.exists() else []


def courier(test=None, **given):
    def wrap(play):
        def run(tmp_path):
            async def inner():
                async with Courier(tmp_path, **given) as made:
                    await asyncio.wait_for(play(made), 40)

            asyncio.run(inner())

        return run

    return wrap(test) if test else wrap
