"""The owner's room: its journal goes to a standby, and what must wait for that one's word waits."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import zlib
from collections.abc import Callable
from typing import Any

from madderbeam.host.components import Component
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.host import Host
from madderbeam.host.standby.journal import ReplicatedJournal
from madderbeam.host.standby.shared import Watched, kept_folder, read_keys, settings, told
from madderbeam.policy.settings import Idempotency
from madderbeam.ports import Ports
from madderbeam.quota.admission import QuotaVerdict
from madderbeam.replication.owner import Owner
from madderbeam.replication.values import (
    Appended,
    Block,
    Check,
    Checked,
    Close,
    Deny,
    Down,
    Dropped,
    Ended,
    Go,
    Got,
    Read,
    Released,
    Say,
    Sort,
    Stop,
    Wait,
)
from madderbeam.transport.control import Answer
from madderbeam.transport.replication import OwnerLink

BACK_US = 500_000  # when a client that is refused since the standby is silent comes again
LOOK_S = 0.02  # an end that hands over is looked for so often
PASSED = QuotaVerdict(True)
log = logging.getLogger(__name__)


class PrimaryComponent(Component):
    """Joins the machine to the journal, the link and the host."""

    def __init__(self, host: Host, ports: Ports) -> None:
        """OSError if the folder of what is kept can't be used."""
        assert isinstance(host.journal, ReplicatedJournal)
        self.host, self.ports, self.journal = host, ports, host.journal
        mine, self.loop, self.clock = told(host.config), host.loop, ports.clock.monotonic_us
        self.kept = DurableMap(ports.disk, kept_folder(host.config), host.journal.sync)
        sizes = {n: s.size for n, s in host.journal.files.segments.items()}
        self.machine = Owner(settings(host.config), host.config.name, sizes, self.kept.map)
        self.runner = Watched(self.loop, self.clock, self.machine, self.kept, self._act, "standby")
        assert mine.to is not None
        self.link = OwnerLink(
            self.loop,
            ports.network,
            mine.to,
            mine.silent_ms / 1e3,
            lambda: read_keys(ports.disk, mine.key_file),
            self.machine.hello,
            lambda channel, row: self.tell(Got(channel, row)),
            lambda: self.tell(Down()),
        )
        self.tokens = itertools.count(1)
        self.waiting: dict[int, tuple[Callable[[], None], Callable[[], None]]] = {}
        self.settled: asyncio.Future[bool] = self.loop.create_future()  # False: it was taken over
        self.released: asyncio.Future[None] = self.loop.create_future()
        self.file: tuple[int, bytes] = 0, b""  # the segment that is being read
        self.moving = self.fenced = False
        safe = frozenset(
            n for n, c in enumerate(host.settings.classes) if c.idempotency is Idempotency.IDEMPOTENT
        )
        windows = {
            n: (c.key_window_us - host.settings.tick_us) / 1e6
            for n, c in enumerate(host.settings.classes)
            if c.idempotency is Idempotency.WITH_KEY
        }
        self.runner.after = self._look
        host.journal.attach(self, safe, windows)

    def begin(self) -> None:
        """Connect; work begins once `settled` is done."""
        self.runner.run(self.machine.start(self.clock()))
        if not self.fenced:
            self.link.start()

    def tell(self, event: Any) -> None:
        self.runner.post_event(event)

    def _look(self) -> None:
        if self.machine.settled and not self.settled.done():
            self.settled.set_result(True)

    # What the journal tells and asks

    def appended(self, segment: int, at: int, data: bytes) -> None:
        self.tell(Appended(segment, at, data))

    def dropped(self, segment: int) -> None:
        self.tell(Dropped(segment))

    def may_attempt(self) -> bool:
        return not self.fenced and self.machine.open(self.clock())

    def ask(self, sort: Sort, go: Callable[[], None], deny: Callable[[], None], until: float) -> None:
        if not self.runner.is_running and self.machine.passes(sort):
            go()
            return
        token = next(self.tokens)
        self.waiting[token] = go, deny
        end = self.host.journal.wall.monotonic_us_at(until) if until else 0
        self.tell(Wait(token, sort, max(0, end)))

    # What the front asks

    def gate(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        """A message is not begun where it would wait in vain."""
        return PASSED if self.machine.open(self.clock()) else QuotaVerdict(False, retry_after_us=BACK_US)

    # What the machine wants done

    def _act(self, action: Any) -> None:
        match action:
            case Say(channel=channel, row=row):
                self.link.send(channel, row)
            case Go(token=token):
                self.waiting.pop(token)[0]()
            case Deny(token=token):
                self.waiting.pop(token)[1]()
            case Read() | Check():
                self.loop.call_soon(self._look_up, action)
            case Close():
                self.loop.call_soon(self.link.drop)
            case Stop(fenced=True):
                self._fence()
            case Stop():
                self.moving = True
                self.host.terminate()
                self._ends()
            case Released():
                if not self.released.done():
                    self.released.set_result(None)

    def _look_up(self, action: Read | Check) -> None:
        """Read from a segment's file, one part in a turn of the loop."""
        if self.runner.closed:
            return
        try:
            if isinstance(action, Check):
                digest = zlib.crc32(self._content(action.segment, action.size)[: action.size])
                self.tell(Checked(action.segment, action.size, digest))
            else:
                whole = self._content(action.segment, action.at + action.most)
                self.tell(Block(action.segment, action.at, whole[action.at : action.at + action.most]))
        except OSError as error:
            log.error("standby: segment %d: %s", action.segment, error)
            failed = (
                Checked(action.segment, action.size, -1)
                if isinstance(action, Check)
                else (Block(action.segment, action.at, None))
            )
            self.tell(failed)

    def _content(self, segment: int, least: int) -> bytes:
        """A segment's file; the one that was read last is kept, as long as it has all that is wanted."""
        if self.file[0] != segment or len(self.file[1]) < least:
            self.file = segment, self.ports.disk.read(self.journal.files.path(segment))
        return self.file[1]

    def _fence(self) -> None:
        """Another courier has taken over: nothing is begun, told or written here any more."""
        if self.fenced:
            return
        self.fenced = True
        self.journal.fence()
        if not self.settled.done():
            self.settled.set_result(False)
            return
        self.loop.call_soon(self._let_go)
        self.host.is_handed_over = True

    def _let_go(self) -> None:
        self.host.stop_after_handover()
        if not self.host.closed.done():
            self.host.closed.set_result(None)

    # The end

    def _ends(self) -> None:
        """Nothing is out any more: the standby need not wait until the longest time of an end is over."""
        if not self.host.closed.done():
            self.host.maybe_exit()
            self.loop.call_later(LOOK_S, self._ends)

    async def release(self) -> None:
        """The courier has ended in order and its journal is closed: hand over to the standby."""
        self.tell(Ended())
        await self.released

    def close(self) -> None:
        """The host has let go. One that hands over goes on until it is released."""
        if not self.moving:
            self.end()

    def end(self) -> None:
        self.runner.close()
        self.link.close(flush=True)
        self.kept.close()

    # What those who run it see

    def metrics(self) -> dict[str, int]:
        m = self.machine
        return {
            "standby_in_step": int(m.in_step),
            "standby_alone": int(m.alone),
            "standby_lag_bytes": m.lag_bytes,
            "standby_lag_ms": m.lag_us(self.clock()) // 1000,
            "standby_waiting": len(m.waiting.all),
        }

    def status(self) -> dict[str, Any]:
        m, now = self.machine, self.clock()
        return {
            "role": "owner",
            "state": "in step" if m.in_step else m.state,
            "fence": m.fence,
            "fenced": m.fenced,
            "mode": m.s.mode,
            "silent": m.s.silent,
            "strict": m.strict,
            "alone": m.alone,
            "leased": m.leased(now) if m.strict else None,
            "lag_records": m.position - m.confirmed,
            "lag_bytes": m.lag_bytes,
            "lag_s": round(m.lag_us(now) / 1e6, 3),
            "waiting": len(m.waiting.all),
            "trouble": m.trouble.line() if m.trouble else "",
        }


def join(host: Host, ports: Ports) -> None:
    """A courier with a standby; one that was a standby itself and has none has nothing to add."""
    if told(host.config).to is None:
        return
    room = PrimaryComponent(host, ports)
    host.components.append(room)
    host.admission.checks.append(_Gate(room))
    host.admin_service.calls["/standby"] = ("GET", lambda _: Answer(200, json.dumps(room.status()) + "\n"))


class _Gate:
    """The front's question, as a gate of admission."""

    def __init__(self, room: PrimaryComponent) -> None:
        self.room = room

    def check(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        return self.room.gate(tenant, cls, size)
