"""A stand-in for the platform's agent: the list of endpoints, its watch, and the notices."""

from __future__ import annotations

import json
import random
from typing import Any

from madderbeam.ports import Address
from madderbeam.simulation.checker import Notice
from madderbeam.simulation.http_tap import Request, RequestTap
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.network import Peer, Stream

BEAT_US = 2_000_000  # an empty line comes so often while nothing changes
MISSED_US = 6_000_000  # what a silent watch missed counts as told so long after it fell silent


class Agent:
    """What one courier's agent has been sent, at whatever address it stands."""

    def __init__(self, kernel: Kernel, courier: str, address: Address) -> None:
        self.kernel, self.courier, self.address = kernel, courier, address
        self.chance = random.Random(f"agent {kernel.script.seed} {courier}")
        self.rev = 1
        self.targets: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # uid: the version that changed it
        self.told: dict[str, dict[str, Any]] = {}  # what was written to the courier
        self.told_rev = 0
        self.silent = False
        self.late_us = 0
        self.whole = 0.0  # share of changes that come as the whole list
        self.spoilt = 0.0  # share of lines that can't be read
        self.indented = False  # a list stands on several lines
        self.repeats = 0.0  # share of lines that come twice
        self.back = 0.0  # share of lines whose version is older than the one before
        self.reset = 0.0  # share of notices' connections that break before the answer
        self.lines: dict[Stream, AgentLine] = {}
        self.missed = False
        self.next_us = 0  # changes come in their order
        kernel.after(BEAT_US, self._beat)

    def service(self) -> AgentService:
        return AgentService(self)

    def move(self, address: Address) -> None:
        """It stands elsewhere; the old address takes no new connection, what is open ends after 1.5 s."""
        old, self.address = list(self.lines), address
        self.kernel.after(1_500_000, self._close, old)

    def _close(self, streams: list[Stream]) -> None:
        for stream in streams:
            stream.finish()
            self.lines.pop(stream, None)

    # The list

    def later(self, entry: dict[str, Any]) -> None:
        """Discovery sends it a change, which comes late."""
        delay = self.late_us + self.chance.randrange(1_000, 300_000)
        self.next_us = max(self.next_us + 1, self.kernel.now_us + delay)
        self.kernel.after(self.next_us - self.kernel.now_us, self.learn, entry)

    def learn(self, entry: dict[str, Any]) -> None:
        """Discovery has sent it a change."""
        self.rev += 1
        if entry["state"] == "terminated":
            self.targets.pop(entry["uid"], None)
        else:
            self.targets[entry["uid"]] = entry
        self.changed[entry["uid"]] = self.rev
        whole = bool(self.whole) and self.chance.random() < self.whole
        entries = list(self.targets.values()) if whole else [entry]
        if self.silent:
            self.missed = True
            return
        for line in list(self.lines.values()):
            if line.watching:
                line.push(entries, whole)

    def quiet(self, on: bool) -> None:
        """Discovery is silent, or speaks again: then it tells all that it has."""
        self.silent = on
        if not on and self.missed:
            self.missed = False
            for line in list(self.lines.values()):
                if line.watching:
                    line.push(list(self.targets.values()), True)

    def hush(self) -> None:
        """The open watches fall silent; what they miss counts as told later, whether or not it came."""
        watches = [line for line in self.lines.values() if line.watching]
        for line in watches:
            line.stream.cut()
        if watches:
            self.kernel.after(MISSED_US, self._overdue)

    def _overdue(self) -> None:
        if not self.silent and not self.spoilt and not any(line.spoilt for line in self.lines.values()):
            self.wrote(list(self.targets.values()), True)

    def known(self) -> dict[str, Any]:
        """The list as the courier last had it."""
        return {"rev": self.told_rev, "all": True, "targets": list(self.told.values())}

    def wrote(self, entries: list[dict[str, Any]], whole: bool) -> None:
        named = {e["uid"] for e in entries}
        if whole:
            for uid in [u for u in self.told if u not in named]:
                self.told.pop(uid)
                self.kernel.checker.told_list(self.courier, uid, "terminated", "")
        for entry in entries:
            if entry["state"] == "terminated":
                self.told.pop(entry["uid"], None)
            else:
                self.told[entry["uid"]] = entry
            self.kernel.checker.told_list(self.courier, entry["uid"], entry["state"], entry["endpoint"])
        self.told_rev = self.rev

    def _beat(self) -> None:
        if not self.silent:
            for line in list(self.lines.values()):
                if line.watching:
                    line.chunk(b"\n")
        self.kernel.after(BEAT_US, self._beat)


class AgentService:
    """The agent's address."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    def accept(self, stream: Stream) -> str | Peer:
        return AgentLine(self.agent, stream)


class AgentLine(Peer):
    """The agent's end of one connection."""

    def __init__(self, agent: Agent, stream: Stream) -> None:
        self.agent, self.stream, self.kernel = agent, stream, agent.kernel
        self.life = agent.kernel.life_of(stream.network)
        self.watching = self.spoilt = False
        self.tap = RequestTap(stream, self._written, self._came, self._odd)

    def up(self) -> None:
        self.agent.lines[self.stream] = self

    def refused(self) -> None:
        return

    def data(self, data: bytes) -> None:
        self.tap.arrived(len(data))

    def ended(self, reset: bool) -> None:
        self.agent.lines.pop(self.stream, None)

    def _odd(self, text: str) -> None:
        self.kernel.checker.broken("form", text)

    def _written(self, request: Request) -> list[tuple[Notice, str, int]] | None:
        if request.path != "/v2/finals":
            return None
        notices = []
        for text in request.body.splitlines():
            try:
                line = json.loads(text)
                ident, status = line["id"], line["status"]
            except (ValueError, KeyError, TypeError):
                self._odd(f"a notice that can't be read: {text!r}")
                continue
            self.kernel.note(self.life.courier, "notice", id=ident, status=status)
            notice = self.kernel.checker.notice(
                self.life, ident, status, request.first_us, int(line.get("again_ms", 0))
            )
            if notice is not None:
                notices.append((notice, ident, line.get("again_ms", 0)))
        return notices

    def _came(self, request: Request) -> None:
        agent = self.agent
        if request.path == "/v2/finals":
            for notice, ident, again in request.note:
                notice.arrived_us = self.kernel.now_us
                self.kernel.ended(ident, notice.status, again)
            if agent.reset and agent.chance.random() < agent.reset:
                self.stream.abort()
                self.agent.lines.pop(self.stream, None)
                return
            self.stream.write(b"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n")
            self.stream.when_read(self.stream.sent, lambda: self._told(request.note))
        elif request.path.startswith("/discovery/hosts?watch=1"):
            if not agent.silent:
                self._begin(int(request.path.partition("from=")[2] or 0))
            else:
                self.watching = False
                self.kernel.after(100_000, self._retry, request)
        else:
            self._odd(f"a request for {request.path}")

    def _retry(self, request: Request) -> None:
        """It was asked while it was silent."""
        if self.stream in self.agent.lines and not self.stream.closed:
            self._came(request)

    def _told(self, notices: list[Any]) -> None:
        if self.life.died_us < 0:
            for notice, _, _ in notices:
                notice.told_us = self.kernel.now_us

    def _begin(self, since: int) -> None:
        agent = self.agent
        self.watching = True
        self.kernel.report.lists += 1
        self.stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since and since <= agent.rev and agent.chance.random() < 0.7:
            gone = {"state": "terminated"}
            new = [uid for uid, rev in agent.changed.items() if rev > since]
            entries = [agent.targets.get(uid) or {**agent.kernel.entries[uid], **gone} for uid in new]
            self.push(entries, False)
        else:
            self.push(list(agent.targets.values()), True)

    def push(self, entries: list[dict[str, Any]], whole: bool) -> None:
        agent = self.agent
        if self.stream.closed or self.stream.gone or self.stream.silent:
            return
        rev = agent.rev
        if agent.back and agent.chance.random() < agent.back:
            rev = max(1, rev - agent.chance.randrange(1, 4))
        line = (
            json.dumps(
                {"rev": rev, "all": whole, "targets": entries}, indent=1 if agent.indented else None
            ).encode()
            + b"\n"
        )
        if agent.spoilt and agent.chance.random() < agent.spoilt:
            self.chunk(line[: len(line) // 2] + b"\n")
            self.spoilt = True
            return
        self.kernel.note(
            agent.courier,
            "list",
            rev=agent.rev,
            whole=whole,
            states=[[e["uid"], e["state"]] for e in entries],
        )
        self.chunk(line)
        if agent.repeats and agent.chance.random() < agent.repeats:
            self.chunk(line)
        if not self.spoilt:  # what stands behind a line that can't be read counts once it is told again
            agent.wrote(entries, whole)

    def chunk(self, text: bytes) -> None:
        self.stream.write(b"%x\r\n%s\r\n" % (len(text), text))
