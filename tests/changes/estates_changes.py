"""An estate with changes enabled, for a courier in the test process or in its own process."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from loopback import Client, Endpoint, beside, call

from madderbeam.config.check import check
from madderbeam.config.render import render, write

ESTATE = """\
[changes]
{bounds}

[defaults]
slots = 16
max_held = 200

[classes.safe]
wanted_ms = 1000
deadline_ms = 6000
repeat = "safe"

[classes.unsafe]
wanted_ms = 1000
deadline_ms = 9000

[tenants.t]
share = 0.9

[[application]]
name = "n0"
listen = "{listen}"
control = "{control}"
state = "state"
finals = "finals.jsonl"
classes = ["safe", "unsafe"]
{more}
"""
BOUNDS = {"trial_ms": 1000, "look_ms": 50}


class Estate:
    """`partners`: addresses of endpoints by destination."""

    def __init__(
        self, folder, partners, more="", listen="127.0.0.1:7101", control="127.0.0.1:7102", **bounds
    ):
        self.folder, self.partners, self.more = folder, partners, more
        self.listen, self.control, self.bounds = listen, control, {**BOUNDS, **bounds}
        self.states = {}
        folder.mkdir(exist_ok=True)

    @property
    def rendered(self):
        return self.folder / "rendered" / "n0.json"

    def write(self):
        """Write and render the estate, which must have no errors."""
        bounds = "".join(f"{k} = {v}\n" for k, v in self.bounds.items())
        text = ESTATE.format(bounds=bounds, listen=self.listen, control=self.control, more=self.more)
        (self.folder / "estate.toml").write_text(text)
        rows = []
        for number, addresses in self.partners.items():
            ends = ", ".join(
                f'{{ address = "{a}", state = "{self.states.get(a, "in_service")}" }}' for a in addresses
            )
            rows.append(
                f'[[partner]]\nname = "p{number}"\nnumber = {number}\nper_s = 1000\nendpoints = [{ends}]\n'
            )
        (self.folder / "partners.toml").write_text("\n".join(rows))
        report = check(self.folder / "estate.toml")
        assert report.loaded is not None, [str(p) for p in report.problems]
        write(render(report.loaded), self.folder / "rendered")
        return self


class Courier:
    """The courier of an estate, in the test process."""

    def __init__(self, estate):
        self.estate = estate
        self.host, self.lock = beside(estate.rendered)
        self.host.config = replace(self.host.config, control=None)  # calls are made in this process

    async def __aenter__(self):
        self.client = await Client().open(self.host.start())
        return self

    async def __aexit__(self, *_):
        self.client.writer.close()
        self.host.close()
        self.lock.close()

    @property
    def room(self):
        return next(r for r in self.host.components if type(r).__name__ == "ChangesComponent")

    @property
    def machine(self):
        return self.room.machine

    def do(self, method, path, **body):
        """Make a call of the admin address without its socket; returns status and text."""
        answer = self.host.admin_service.handle(method, path, json.dumps(body).encode())
        return answer.status, answer.text

    def apply(self, **change):
        change = {"base": self.machine.current.version, **change}
        return self.do("POST", "/changes", do="apply", change=change)

    async def until(self, so, limit=15.0):
        """Poll until a condition holds, since the state machine sends no notifications."""

        async def inner():
            while not so():
                await asyncio.sleep(0.01)

        await asyncio.wait_for(inner(), limit)

    async def until_ended(self, ident, limit=15.0):
        """Wait for the outcome of a change and return it."""
        await self.until(lambda: self.machine.outcome(ident) is not None, limit)
        return self.machine.outcome(ident)


def uid(dest, endpoint):
    """Return the id that the renderer assigns to an endpoint."""
    return f"p{dest}/{address(endpoint)}"


def address(endpoint):
    return f"127.0.0.1:{endpoint.port}"


def added(name, dest, endpoint, **more):
    return {"uid": name, "dest": dest, "address": address(endpoint), "per_s": 1000, **more}


async def endpoints(count, *script):
    return [await Endpoint(*script).start() for _ in range(count)]


__all__ = ["Courier", "Estate", "added", "address", "call", "endpoints", "uid"]
