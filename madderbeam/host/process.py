"""The courier's process: startup and signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import signal
import sys
from collections.abc import Iterator, Mapping
from dataclasses import replace

from madderbeam.config.platform import Config, ConfigError, load
from madderbeam.host import process_upgrade
from madderbeam.host.composition import assemble
from madderbeam.host.config_reload import ConfigReloader
from madderbeam.host.host import Host
from madderbeam.host.log_output import log_to_stderr
from madderbeam.host.state_transfer import TransferredState, adopt
from madderbeam.ports import Ports
from madderbeam.ports.real import RealDisk, max_open_descriptors, real_ports
from madderbeam.transport.control import ControlServer

# Thresholds of the garbage collector's generations: allocations less deallocations for the youngest one, then
# collections of the generation below.
GC_THRESHOLDS = (1_000, 3, 500)
TRACE_VARIABLE = "MADDERBEAM_TRACE"  # if set, all decisions are written to standard error
log = logging.getLogger(__name__)


def start(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    env: Mapping[str, str],
    config: Config,
    control: ControlServer | None = None,
    transferred: TransferredState | None = None,
) -> Host:
    """Start one courier on this loop; the caller closes it once its `closed` is done.

    `transferred`: the state from another process that this one continues from.

    Used both for a process of its own and for one of many in the simulation. OSError if it can't listen or
    its folder can't be used.
    """
    trace = (lambda text: print(text, file=sys.stderr, flush=True)) if env.get(TRACE_VARIABLE) else None
    host = assemble(loop, ports, config, control, trace)
    start_host(loop, ports, env, host, transferred)
    return host


def start_host(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    env: Mapping[str, str],
    host: Host,
    transferred: TransferredState | None = None,
) -> None:
    """Install the signal handlers and start an assembled courier; OSError as of `start`."""
    config = host.config
    reloader = ConfigReloader(
        loop,
        env,
        ports.disk,
        host.move_discovery,
        random.Random(f"reload {config.seed}"),
        host.metrics.count_reload,
    )
    # Without a handler, SIGHUP would terminate the process. A sidecar reads its partner list again at once.
    loop.add_signal_handler(signal.SIGHUP, host.reload_files if config.sidecar else reloader.reload)
    loop.add_signal_handler(signal.SIGTERM, host.terminate)
    loop.add_signal_handler(signal.SIGINT, host.terminate)
    host.closed.add_done_callback(lambda _: reloader.stop())
    port = adopt(host, transferred) if transferred else host.start()
    log.info("%s is ready on port %d with %d messages restored", config.name, port, len(host.journal.pending))


@contextlib.contextmanager
def collector_paused() -> Iterator[None]:
    """Pause garbage collection while a courier restores its state, and exempt that state from it afterwards.

    Ordinary processing makes no reference cycles, so a collection finds nothing: with 128,000 pending
    messages it stalled the event loop for 0.1 s, and a restart with as many ids took half as long again. The
    few cycles, such as of a connection that broke during a write, are collected with the young objects.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        gc.enable()


def with_descriptor_limit(config: Config) -> Config:
    """Return the configuration with no more sockets than the system's limit on file descriptors.

    Half of a higher number would go to clients and leave no descriptors for discovery, notices and calls.
    """
    return replace(config, sockets=max_open_descriptors(config.sockets))


async def serve(env: Mapping[str, str], config: Config) -> None:
    """Run one courier until it exits.

    If another process is active in the folder, this one takes over from it; later it hands over to the next
    one.
    """
    loop = asyncio.get_running_loop()
    ports = real_ports(loop, config.listen, config.listen_fd)
    control = ControlServer(loop, ports.network)
    if config.control:  # the admin address replies while the rest starts
        control.listen(config.control)
    restarts = True
    while restarts:
        takeover = await process_upgrade.take_over(config, ports.disk)
        with collector_paused():
            host = start(loop, ports, env, config, control, takeover.transferred)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # delivers one that came meanwhile
        takeover.report_working()
        if config.control:
            process_upgrade.StateTransferServer(host, takeover.lock)
        await host.closed
        restarts = host.successor_died
        if not restarts:
            host.close()
    control.close()


def main() -> int:
    """Run one courier as the platform starts it; return the exit code."""
    log_to_stderr()
    try:
        config = with_descriptor_limit(load(os.environ, RealDisk()))
    except ConfigError as error:
        print(f"madderbeam: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(os.environ, config))
    except OSError as error:
        print(f"madderbeam: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
