"""The standby at work: its machine, its copy, its port, and what those who run it ask."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.federation.runner import Runner
from madderbeam.host.standby.copy import Copy
from madderbeam.host.standby.shared import kept_folder, read_keys, settings, told
from madderbeam.ports import Ports
from madderbeam.replication.standby import Standby
from madderbeam.replication.values import (
    Close,
    Down,
    Got,
    Hello,
    Promote,
    Remove,
    Removed,
    Say,
    TakeOver,
    Write,
    Wrote,
)
from madderbeam.transport.control import Answer
from madderbeam.transport.replication import StandbyPort

log = logging.getLogger(__name__)


class Keeper:
    """Keeps the copy until it is promoted; from then on tells those that come that they are fenced."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ports: Ports, config: Config) -> None:
        """OSError if a folder can't be used."""
        self.loop, self.ports, self.config, self.clock = loop, ports, config, ports.clock.monotonic_us
        mine, sync = told(config), bool(config.sidecar and config.sidecar.sync)
        self.kept = DurableMap(ports.disk, kept_folder(config), sync)
        if self.kept.damaged:  # what was promised may be forgotten: the copy counts as never whole
            log.error("standby: what was kept is damaged: the copy has to be whole again first")
        self.copy = Copy(ports.disk, config.state, sync)
        self.machine = Standby(settings(config), self.copy.sizes, self.copy.digests, self.kept.map)
        self.runner = Runner(loop, self.clock, self.machine, self.kept, self._act, "standby")
        self.port = StandbyPort(
            loop,
            ports.network,
            max(1.0, mine.silent_ms / 1e3),
            lambda: read_keys(ports.disk, mine.key_file),
            self._hello,
            self._got,
            lambda link: self.runner.post_event(Down(link)),
        )
        self.taken: asyncio.Future[TakeOver] = loop.create_future()
        self.heard_at = 0
        self.closed = False

    def begin(self) -> int:
        """Listen; the port. OSError if the address can't be had."""
        listen = told(self.config).listen
        assert listen is not None
        port = self.port.listen(listen)
        self.runner.run(self.machine.start(self.clock()))
        return port

    def _hello(self, link: int, row: list[Any]) -> None:
        self.runner.post_event(Hello(link, row))

    def _got(self, link: int, channel: str, row: list[Any]) -> None:
        self.heard_at = self.clock()
        self.runner.post_event(Got(channel, row, link))

    def _act(self, action: Any) -> None:
        match action:
            case Say(channel=channel, row=row, link=link):
                self.port.send(link, channel, row)
            case Write():
                self._write(action)
            case Remove(segment=segment):
                try:
                    self.copy.remove(segment)
                except OSError as error:  # its file stands there in vain
                    log.error("standby: segment %d: %s", segment, error)
                self.runner.post_event(Removed(segment))
            case Close(link=link):
                self.port.drop(link, flush=True)
            case TakeOver():
                if not self.taken.done():
                    self.taken.set_result(action)

    def _write(self, a: Write) -> None:
        try:
            self.copy.write(a.segment, a.at, a.data)
            ok = True
        except OSError as error:
            log.error("standby: segment %d: %s", a.segment, error)
            ok = False
        self.runner.post_event(Wrote(a.segment, a.at, a.data, a.before, ok))

    # What those who run it ask

    def act(self, method: str, path: str, body: bytes) -> Answer:
        """Calls at the second address while it is a standby."""
        if path == "/standby" and method == "GET":
            return Answer(200, json.dumps(self.status()) + "\n")
        if path == "/standby/promote" and method == "PUT":
            return self.promote()
        if path == "/ready" and method == "GET":
            return Answer(503, "not ready: it is a standby\n")
        if path == "/metrics" and method == "GET":
            return Answer(200, "".join(f"app.{name}={value}\n" for name, value in self.figures().items()))
        return Answer(404, "no such call; there are /metrics, /ready, /standby, /standby/promote\n")

    def promote(self) -> Answer:
        """A person's word. A second one changes nothing."""
        if (error := self.machine.refusal()) is not None:
            return Answer(409, error.line() + "\n")
        if self.machine.over is not None:
            return Answer(200, f"it was promoted, with fence {self.machine.fence}\n")
        self.runner.post_event(Promote())
        if self.machine.over is not None:
            return Answer(200, f"promoted, with fence {self.machine.fence}\n")
        what = (
            "the owner is asked to end in order"
            if self.machine.yielded
            else ("the owner's lease is waited for")
        )
        return Answer(200, f"promoting: {what}\n")

    def figures(self) -> dict[str, int]:
        m = self.machine
        return {
            "standby_connected": int(bool(m.link)),
            "standby_whole": int(m.whole),
            "standby_sure": int(m.sure),
            "standby_bytes": sum(m.sizes.values()),
            "standby_fence": m.fence,
        }

    def status(self) -> dict[str, Any]:
        m, now = self.machine, self.clock()
        return {
            "role": "standby",
            "state": m.state,
            "fence": m.fence,
            "owner": m.name,
            "whole": m.whole,
            "midway": m.midway,
            "sure": m.sure,
            "strict": m.strict,
            "segments": len(m.sizes),
            "bytes": sum(m.sizes.values()),
            "records": m.position,
            "heard_s": round((now - self.heard_at) / 1e6, 3) if self.heard_at else None,
            "lease_s": round(max(0, m.lease_end() - now) / 1e6, 3),
            "trouble": m.trouble.line() if m.trouble else "",
        }

    def promoted(self) -> None:
        """The folder is a courier's now: only its port stays, to tell owners that come that they are
        fenced."""
        self.copy.close()
        if not self.closed:
            self.closed = True
            self.kept.close()

    def close(self) -> None:
        self.runner.close()
        self.port.close()
        self.promoted()
