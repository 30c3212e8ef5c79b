"""Upgrades without downtime: a second process takes over from the active one, in the same folder.

The process that holds the folder's lock is the active one; docs/design/service.md has the steps.
"""

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

LOCK_FILE = "lock"
# First and longest wait between attempts while another process holds the lock and offers no hand-over.
RETRY_S, MAX_RETRY_S = 0.05, 0.5
SETTLE_S = 0.6  # how long the active process waits for responses that are half read
PEER_TIMEOUT_S = 1.5  # in which the other process must take its next step
HELLO_TIMEOUT_S = 0.2  # in which a process that connects must send its request, and the lock must become free
log = logging.getLogger(__name__)


class TransferRefusedError(Exception):
    """The hand-over was refused; the active process continues."""


class StateTransferServer:
    """The side of the active process: offers a hand-over, and works until another process has taken over."""

    def __init__(self, host: Host, lock: Lock) -> None:
        self.host, self.lock, self.loop = host, lock, host.loop
        self.conn: socket.socket | None = None
        self.sock = passing.offer(host.config.state)
        self.loop.add_reader(self.sock, self._connected)
        host.closed.add_done_callback(lambda _: self.close())

    def _connected(self) -> None:
        try:
            conn, _ = self.sock.accept()
        except OSError:
            return
        if self.conn is not None or self.host.shutdown_deadline:
            conn.close()  # one hand-over at a time, and none during a shutdown
            return
        conn.settimeout(HELLO_TIMEOUT_S)
        try:
            hello, _ = passing.receive(conn)
            form = str(hello["form"])
        except (Broken, KeyError) as error:
            log.warning("upgrade: invalid request: %s", error)
            conn.close()
            return
        log.info("upgrade: another process requests a hand-over")
        self.conn = conn
        self._when_ready(form, self.loop.time() + SETTLE_S)

    def _when_ready(self, form: str, until: float) -> None:
        if self.host.shutdown_deadline:
            self._refuse()
        elif state_transfer.is_ready(self.host):
            self._transfer(form)
        elif self.loop.time() < until:
            self.loop.call_later(0.005, self._when_ready, form, until)
        else:
            state_transfer.end_untransferable(self.host)
            self._transfer(form)

    def _refuse(self) -> None:
        if self.conn is not None:
            self.conn.close()
            self.conn = None

    def _transfer(self, form: str) -> None:
        """Send the state and wait for the reply, blocking: this process does nothing in between."""
        assert self.conn is not None
        self.conn.settimeout(PEER_TIMEOUT_S)
        try:
            passing.send(self.conn, *state_transfer.snapshot(self.host, form))
            reply, _ = passing.receive(self.conn)
            if reply.get("say") != "take":
                raise TransferRefusedError(str(reply.get("why", "no reason given")))
        except (Broken, TransferRefusedError) as error:
            log.error("upgrade: hand-over refused, this process continues: %s", error)
            self._refuse()
            return
        except Exception:  # this process still holds the lock, so it must continue
            log.exception("upgrade: hand-over failed, this process continues")
            self._refuse()
            return
        self.host.stop_after_handover()
        self._stop_offering()
        self.lock.close()
        with contextlib.suppress(Broken):
            passing.send(self.conn, {"say": "yours"})
        self.conn.setblocking(False)
        self.loop.add_reader(self.conn, self._finished)

    def _finished(self) -> None:
        """The other process has reported that it works, or it has died."""
        assert self.conn is not None
        try:
            passing.receive(self.conn)
            log.info("upgrade: hand-over complete; this process waits for its termination")
        except Broken as error:
            log.error("upgrade: the other process has died, restarting this one: %s", error)
            self.host.successor_died = True
        self.loop.remove_reader(self.conn)
        self._refuse()
        if self.host.successor_died and not self.host.closed.done():
            self.host.closed.set_result(None)

    def _stop_offering(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()

    def close(self) -> None:
        """Stop offering a hand-over."""
        self._stop_offering()
        if self.conn is not None and self.conn.fileno() >= 0:
            self.loop.remove_reader(self.conn)
        self._refuse()


class Takeover:
    """The side of the new process: the folder's lock, and the state from another process if there was one."""

    def __init__(
        self,
        lock: Lock,
        conn: socket.socket | None = None,
        state: state_transfer.TransferredState | None = None,
    ) -> None:
        self.lock, self.conn, self.transferred = lock, conn, state

    def report_working(self) -> None:
        """Report that this process works, so that the other one may exit."""
        if self.conn is not None:
            with contextlib.suppress(Broken):
                passing.send(self.conn, {"say": "done"})
            self.conn.close()


async def take_over(config: Config, disk: Disk) -> Takeover:
    """Become the active process of the folder: at once, by a hand-over, or when the active process exits.

    Without an admin address nobody could see that a second process is ready: no hand-over is requested, and
    no Unix socket is created.
    """
    wait_s = RETRY_S
    while True:
        conn = passing.ask(config.state) if config.control else None
        if conn is not None:
            try:
                return await _request_handover(conn, config, disk)
            except (Broken, TransferRefusedError) as error:
                conn.close()
                log.warning("upgrade: hand-over failed: %s", error)
        with contextlib.suppress(BlockingIOError):
            return Takeover(disk.lock(f"{config.state}/{LOCK_FILE}"))
        if wait_s == RETRY_S:
            log.info("another process holds the folder's lock and offers no hand-over; waiting")
        await asyncio.sleep(wait_s)
        wait_s = min(MAX_RETRY_S, wait_s * 1.5)


async def _request_handover(conn: socket.socket, config: Config, disk: Disk) -> Takeover:
    conn.settimeout(PEER_TIMEOUT_S)
    passing.send(conn, {"say": "hello", "form": state_transfer.state_version()})
    await _wait_readable(conn, SETTLE_S + PEER_TIMEOUT_S)
    message, sockets = passing.receive(conn)
    try:
        state = state_transfer.TransferredState(message, sockets, config.settings, config.zones, config.seed)
    except object_graph.UnknownStateError as error:
        for sock in sockets:
            sock.close()
        with contextlib.suppress(Broken):
            passing.send(conn, {"say": "no", "why": str(error)})
        raise TransferRefusedError(str(error)) from None
    try:
        passing.send(conn, {"say": "take"})
        passing.receive(conn)
        lock = _wait_for_lock(disk, f"{config.state}/{LOCK_FILE}")
    except (Broken, TransferRefusedError):
        state.close()
        raise
    return Takeover(lock, conn, state)


def _wait_for_lock(disk: Disk, path: str) -> Lock:
    """Return the lock, which the other process has just released."""
    until = time.monotonic() + HELLO_TIMEOUT_S
    while True:
        try:
            return disk.lock(path)
        except BlockingIOError:
            if time.monotonic() > until:
                raise TransferRefusedError("a third process holds the folder's lock") from None
            time.sleep(0.001)


async def _wait_readable(conn: socket.socket, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    readable: asyncio.Future[None] = loop.create_future()
    loop.add_reader(conn, lambda: None if readable.done() else readable.set_result(None))
    try:
        await asyncio.wait_for(readable, timeout_s)
    except TimeoutError:
        raise Broken("the other process does not reply") from None
    finally:
        loop.remove_reader(conn)
