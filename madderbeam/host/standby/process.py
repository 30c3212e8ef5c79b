"""The process of a courier that has a standby or is one, from start to exit."""

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
from madderbeam.host.standby.copy import mark_possibly_executed
from madderbeam.host.standby.primary import PrimaryComponent
from madderbeam.host.standby.service import StandbyService
from madderbeam.host.standby.shared import records_folder, standby_config
from madderbeam.ports import Ports
from madderbeam.ports.real import real_ports
from madderbeam.replication.errors import Fenced
from madderbeam.transport.control import ControlServer

EXIT_FENCED = 3  # exit code of a courier that was taken over
log = logging.getLogger(__name__)


class ShutdownRequested(Exception):
    """A signal or the end of standard input requests a shutdown before the courier has started."""


async def serve(config: Config, follow: bool) -> int:
    """Run the process until it ends and return the exit code; OSError or ResourceHeldError at the start."""
    loop = asyncio.get_running_loop()
    shutdown: asyncio.Future[None] = loop.create_future()

    def request_shutdown() -> None:
        if not shutdown.done():
            shutdown.set_result(None)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_shutdown)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # nothing to reload yet
    if follow:
        loop.add_reader(STDIN, _on_stdin, loop, request_shutdown)
    ports = real_ports(loop)
    try:
        if standby_config(config).listen is None:
            ports, lock = claim_resources(config, ports)
            with contextlib.closing(lock):
                return await _run_courier(loop, ports, config, None, shutdown)
        with contextlib.closing(lock_folder(config, ports.disk)):
            return await _run_standby(loop, ports, config, shutdown)
    except ShutdownRequested:
        return 0


def _on_stdin(loop: asyncio.AbstractEventLoop, request_shutdown: Callable[[], None]) -> None:
    if not os.read(STDIN, 1):
        loop.remove_reader(STDIN)
        log.warning("the parent process has closed standard input: shutting down")
        request_shutdown()


async def _wait_or_shutdown(shutdown: asyncio.Future[None], future: asyncio.Future[Any]) -> None:
    """Wait for a future; ShutdownRequested if the process is to shut down first."""
    await asyncio.wait({shutdown, future}, return_when=asyncio.FIRST_COMPLETED)
    if not future.done():
        raise ShutdownRequested


async def _run_standby(
    loop: asyncio.AbstractEventLoop, ports: Ports, config: Config, shutdown: asyncio.Future[None]
) -> int:
    """Maintain the copy; once promoted, run a courier on it."""
    service = StandbyService(loop, ports, config)
    control = ControlServer(loop, ports.network, service.handle_call)
    try:
        if config.control:
            control.listen(config.control)
        port = service.start()
        log.info(
            "%s is a standby on port %d with %d bytes", config.name, port, sum(service.copy.sizes.values())
        )
        await _wait_or_shutdown(shutdown, service.takeover)
        takeover = service.takeover.result()
        service.copy.close()
        if takeover.may_lack_records:
            count = mark_possibly_executed(
                ports.disk,
                ports.clock,
                config.state,
                config.disk_bytes,
                takeover.is_prefix,
                bool(config.sidecar and config.sidecar.sync),
            )
            log.warning("standby: each of %d open messages is treated as possibly executed", count)
            service.records.write([("over", "", False)])
        service.release_folder()
        return await _run_courier(loop, ports, config, control, shutdown)
    finally:
        service.close()
        control.close()


async def _run_courier(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    config: Config,
    control: ControlServer | None,
    shutdown: asyncio.Future[None],
) -> int:
    """Run a courier; if it has a standby, work begins once that one is in sync or is not waited for."""
    records = DurableMap(ports.disk, records_folder(config))
    fence = records.map.get(("fenced", ""), 0)
    records.close()
    if fence:
        return _log_fenced(fence)
    with process.collector_paused():
        host = assemble(loop, ports, config, control)
    primary = next(
        (component for component in host.components if isinstance(component, PrimaryComponent)), None
    )
    if primary is not None:
        if config.control and host.control.sock is None:
            host.control.listen(config.control)
        primary.start()
        try:
            await _wait_or_shutdown(shutdown, primary.ready)
        except ShutdownRequested:
            host.close()
            raise
        if not primary.ready.result():
            host.close()
            return _log_fenced(primary.machine.fenced_by)
    process.start_host(loop, ports, {}, host)
    shutdown.add_done_callback(lambda _: host.terminate())
    if shutdown.done():
        host.terminate()
    await host.closed
    host.close()
    if primary is not None and primary.is_fenced:
        return _log_fenced(primary.machine.fenced_by)
    if primary is not None and primary.is_handing_over:
        await primary.hand_over()
        primary.release_resources()
        log.info("standby: handed over")
    return 0


def _log_fenced(fence: int) -> int:
    log.error("%s", Fenced(f"the courier with fence {fence} has its messages").line())
    return EXIT_FENCED
