"""Upgrades: a second process takes over from the one that works, in the same folder. The lock on the folder
says who is in charge; docs/design/service.md has the steps."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time

from madderbeam.config.platform import Config
from madderbeam.host import object_graph, state_transfer
from madderbeam.host.host import Host
from madderbeam.ports import Disk, Lock
from madderbeam.transport import passing
from madderbeam.transport.passing import Broken

LOCK = "lock"
AGAIN_S, AGAIN_MOST_S = 0.05, 0.5  # the lock is held and nobody hands over: first and longest wait
SETTLE_S = 0.6  # answers that are half read are waited for, for so long
PATIENCE_S = 1.5  # in which the other side must take its next step
QUICK_S = 0.2  # and the one that asks, to say so
log = logging.getLogger(__name__)


class TransferRefusedError(Exception):
    """The process in charge goes on."""


class StateTransferServer:
    """The side in charge: offers a hand-over, and goes on until it is taken."""

    def __init__(self, host: Host, lock: Lock) -> None:
        self.host, self.lock, self.loop = host, lock, host.loop
        self.conn: socket.socket | None = None
        self.sock = passing.offer(host.config.state)
        self.loop.add_reader(self.sock, self._asked)
        host.closed.add_done_callback(lambda _: self.close())

    def _asked(self) -> None:
        try:
            conn, _ = self.sock.accept()
        except OSError:
            return
        if self.conn is not None or self.host.closing_at:
            conn.close()  # one at a time; and what ends by itself is not passed on
            return
        conn.settimeout(QUICK_S)
        try:
            hello, _ = passing.receive(conn)
            wanted = str(hello["form"])
        except (Broken, KeyError) as error:
            log.warning("hand-over: %s", error)
            conn.close()
            return
        log.info("hand-over: another process asks for it")
        self.conn = conn
        self._when_ready(wanted, self.loop.time() + SETTLE_S)

    def _when_ready(self, wanted: str, until: float) -> None:
        if self.host.closing_at:
            self._refuse()
        elif state_transfer.ready(self.host):
            self._pass(wanted)
        elif self.loop.time() < until:
            self.loop.call_later(0.005, self._when_ready, wanted, until)
        else:
            state_transfer.settle(self.host)
            self._pass(wanted)

    def _refuse(self) -> None:
        if self.conn is not None:
            self.conn.close()
            self.conn = None

    def _pass(self, wanted: str) -> None:
        """All in one go: nothing is read, sent or decided here between the state and the answer to it."""
        assert self.conn is not None
        self.conn.settimeout(PATIENCE_S)
        try:
            passing.send(self.conn, *state_transfer.snapshot(self.host, wanted))
            reply, _ = passing.receive(self.conn)
            if reply.get("say") != "take":
                raise TransferRefusedError(str(reply.get("why", "no reason told")))
        except (Broken, TransferRefusedError) as error:
            log.error("hand-over: it was not taken, this process goes on: %s", error)
            self._refuse()
            return
        except Exception:  # whatever it is, this process is in charge
            log.exception("hand-over: it failed, this process goes on")
            self._refuse()
            return
        self.host.let_go()
        self._stop_offering()
        self.lock.close()
        with contextlib.suppress(Broken):
            passing.send(self.conn, {"say": "yours"})
        self.conn.setblocking(False)
        self.loop.add_reader(self.conn, self._finished)

    def _finished(self) -> None:
        """The other process says that it works, or it has died."""
        assert self.conn is not None
        try:
            passing.receive(self.conn)
            log.info("hand-over: done; this process waits for its end")
        except Broken as error:
            log.error("hand-over: the other process is gone, this one starts again: %s", error)
            self.host.alone = True
        self.loop.remove_reader(self.conn)
        self._refuse()
        if self.host.alone and not self.host.closed.done():
            self.host.closed.set_result(None)

    def _stop_offering(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()

    def close(self) -> None:
        """Offer it no more."""
        self._stop_offering()
        if self.conn is not None and self.conn.fileno() >= 0:
            self.loop.remove_reader(self.conn)
        self._refuse()


class Takeover:
    """The side that asks: has the lock of its folder, and what another process passed on, if one did."""

    def __init__(
        self,
        lock: Lock,
        conn: socket.socket | None = None,
        passed: state_transfer.TransferredState | None = None,
    ) -> None:
        self.lock, self.conn, self.passed = lock, conn, passed

    def done(self) -> None:
        """This process works: the other one may end."""
        if self.conn is not None:
            with contextlib.suppress(Broken):
                passing.send(self.conn, {"say": "done"})
            self.conn.close()


async def take(config: Config, disk: Disk) -> Takeover:
    """Get charge of the folder: it is free, or the process that has it hands over, or it ends.

    Without a second address nobody could tell that a second process is ready: none is asked to hand over,
    and no Unix socket is made.
    """
    wait = AGAIN_S
    while True:
        conn = passing.ask(config.state) if config.control else None
        if conn is not None:
            try:
                return await _asked(conn, config, disk)
            except (Broken, TransferRefusedError) as error:
                conn.close()
                log.warning("hand-over: %s", error)
        with contextlib.suppress(BlockingIOError):
            return Takeover(disk.lock(f"{config.state}/{LOCK}"))
        if wait == AGAIN_S:
            log.info("the folder is held by another process, which does not hand over: waiting")
        await asyncio.sleep(wait)
        wait = min(AGAIN_MOST_S, wait * 1.5)


async def _asked(conn: socket.socket, config: Config, disk: Disk) -> Takeover:
    conn.settimeout(PATIENCE_S)
    passing.send(conn, {"say": "hello", "form": state_transfer.form()})
    await _readable(conn, SETTLE_S + PATIENCE_S)
    message, socks = passing.receive(conn)
    try:
        passed = state_transfer.TransferredState(message, socks, config.settings, config.seed)
    except object_graph.UnknownStateError as error:
        for sock in socks:
            sock.close()
        with contextlib.suppress(Broken):
            passing.send(conn, {"say": "no", "why": str(error)})
        raise TransferRefusedError(str(error)) from None
    try:
        passing.send(conn, {"say": "take"})
        passing.receive(conn)
        lock = _locked(disk, f"{config.state}/{LOCK}")
    except (Broken, TransferRefusedError):
        passed.close()
        raise
    return Takeover(lock, conn, passed)


def _locked(disk: Disk, path: str) -> Lock:
    """The lock that the other process has just let go of."""
    until = time.monotonic() + QUICK_S
    while True:
        try:
            return disk.lock(path)
        except BlockingIOError:
            if time.monotonic() > until:
                raise TransferRefusedError("the folder's lock is held by a third process") from None
            time.sleep(0.001)


async def _readable(conn: socket.socket, within_s: float) -> None:
    loop = asyncio.get_running_loop()
    came: asyncio.Future[None] = loop.create_future()
    loop.add_reader(conn, lambda: None if came.done() else came.set_result(None))
    try:
        await asyncio.wait_for(came, within_s)
    except TimeoutError:
        raise Broken("the other process says nothing") from None
    finally:
        loop.remove_reader(conn)
