"""A process whose courier has a standby, or that is one: from its start to its end."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
from collections.abc import Callable
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.host import process
from madderbeam.host.composition import assemble
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.standalone import STDIN, claim_resources, lock_folder
from madderbeam.host.standby.copy import doubt
from madderbeam.host.standby.keeper import Keeper
from madderbeam.host.standby.primary import PrimaryComponent
from madderbeam.host.standby.shared import kept_folder, told
from madderbeam.ports import Ports
from madderbeam.ports.real import real_ports
from madderbeam.replication.errors import Fenced
from madderbeam.transport.control import ControlServer

FENCED = 3  # the exit code of a courier that was taken over
log = logging.getLogger(__name__)


class Gone(Exception):
    """A signal came, or whoever started this process is gone."""


async def serve(config: Config, follow: bool) -> int:
    """Run it to its end; the exit code. OSError, or Held with one line, if it can't begin."""
    loop = asyncio.get_running_loop()
    ends: asyncio.Future[None] = loop.create_future()

    def end() -> None:
        if not ends.done():
            ends.set_result(None)

    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, end)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # there is nothing to read anew yet
    if follow:
        loop.add_reader(STDIN, _followed, loop, end)
    ports = real_ports(loop)
    try:
        if told(config).listen is None:
            ports, lock = claim_resources(config, ports)
            with contextlib.closing(lock):
                return await _courier(loop, ports, config, None, ends)
        with contextlib.closing(lock_folder(config, ports.disk)):
            return await _standby(loop, ports, config, ends)
    except Gone:
        return 0


def _followed(loop: asyncio.AbstractEventLoop, end: Callable[[], None]) -> None:
    if not os.read(STDIN, 1):
        loop.remove_reader(STDIN)
        log.warning("whoever started it is gone: a planned end")
        end()


async def _unless(ends: asyncio.Future[None], wanted: asyncio.Future[Any]) -> None:
    """Wait for this; Gone if the process is to end first."""
    await asyncio.wait({ends, wanted}, return_when=asyncio.FIRST_COMPLETED)
    if not wanted.done():
        raise Gone


async def _standby(
    loop: asyncio.AbstractEventLoop, ports: Ports, config: Config, ends: asyncio.Future[None]
) -> int:
    """Keep the copy; once promoted, be a courier on it."""
    keeper = Keeper(loop, ports, config)
    control = ControlServer(loop, ports.network, keeper.act)
    try:
        if config.control:
            control.listen(config.control)
        port = keeper.begin()
        log.info(
            "%s is a standby on port %d with %d bytes", config.name, port, sum(keeper.copy.sizes.values())
        )
        await _unless(ends, keeper.taken)
        taken = keeper.taken.result()
        keeper.copy.close()
        if taken.doubt:
            count = doubt(ports.disk, ports.clock, config.state, config.disk_bytes, taken.exact)
            log.warning("standby: each of %d open messages is taken for one that may have run", count)
            keeper.kept.write([("over", "", False)])
        keeper.promoted()
        return await _courier(loop, ports, config, control, ends)
    finally:
        keeper.close()
        control.close()


async def _courier(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    config: Config,
    control: ControlServer | None,
    ends: asyncio.Future[None],
) -> int:
    """A courier, which begins work once its own standby is in step, where it has one."""
    kept = DurableMap(ports.disk, kept_folder(config))
    fence = kept.map.get(("fenced", ""), 0)
    kept.close()
    if fence:
        return _fenced(fence)
    with process.collector_paused():
        host = assemble(loop, ports, config, control)
    room = next((r for r in host.components if isinstance(r, PrimaryComponent)), None)
    if room is not None:
        if config.control and host.control.sock is None:
            host.control.listen(config.control)
        room.begin()
        try:
            await _unless(ends, room.settled)
        except Gone:
            host.close()
            raise
        if not room.settled.result():
            host.close()
            return _fenced(room.machine.fenced)
    process.start_host(loop, ports, {}, host)
    ends.add_done_callback(lambda _: host.terminate())
    if ends.done():
        host.terminate()
    await host.closed
    host.close()
    if room is not None and room.fenced:
        return _fenced(room.machine.fenced)
    if room is not None and room.moving:
        await room.release()
        room.end()
        log.info("standby: handed over")
    return 0


def _fenced(number: int) -> int:
    log.error("%s", Fenced(f"the courier with fence {number} has its messages").line())
    return FENCED
