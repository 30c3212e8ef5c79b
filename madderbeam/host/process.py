"""The courier's process: signals and wiring."""

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
from madderbeam.host.state_transfer import TransferredState, adopt
from madderbeam.ports import Clock, Ports
from madderbeam.ports.real import RealClock, RealDisk, open_at_most, real_ports
from madderbeam.transport.control import ControlServer

# The collector looks at what is new once there are so many objects more than were let go of, at what has
# outlasted one look after 3 of them, and at all after 500 of these.
COLLECT = (1_000, 3, 500)
TRACE = "MADDERBEAM_TRACE"  # set: all decisions are written to standard error
log = logging.getLogger(__name__)


class LineRateFilter(logging.Filter):
    """At most so many lines a second: a flood of them would stall the loop."""

    def __init__(self, clock: Clock, a_second: int) -> None:
        super().__init__()
        self.clock, self.a_second, self.second, self.count = clock, a_second, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = self.clock.monotonic_us() // 1_000_000
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        return self.count <= self.a_second


def start(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    env: Mapping[str, str],
    config: Config,
    control: ControlServer | None = None,
    passed: TransferredState | None = None,
) -> Host:
    """Start one courier on this loop; it is to be closed once its `closed` is done.

    `passed`: what another process has handed over, which this one goes on from.

    The same for a process of its own and for one of many in the simulation. OSError if it can't listen or
    its folder can't be used.
    """
    trace = (lambda text: print(text, file=sys.stderr, flush=True)) if env.get(TRACE) else None
    host = assemble(loop, ports, config, control, trace)
    begin(loop, ports, env, host, passed)
    return host


def begin(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    env: Mapping[str, str],
    host: Host,
    passed: TransferredState | None = None,
) -> None:
    """Let a courier that is assembled begin its work; OSError as of `start`."""
    config = host.config
    reloader = ConfigReloader(
        loop, env, ports.disk, host.move, random.Random(f"reload {config.seed}"), host.figures.reloaded
    )
    # Unhandled, SIGHUP would end the process. A sidecar looks at its partner list at once.
    loop.add_signal_handler(signal.SIGHUP, host.look if config.sidecar else reloader.hup)
    loop.add_signal_handler(signal.SIGTERM, host.terminate)
    loop.add_signal_handler(signal.SIGINT, host.terminate)
    host.closed.add_done_callback(lambda _: reloader.stop())
    port = adopt(host, passed) if passed else host.start()
    log.info("%s is ready on port %d with %d messages restored", config.name, port, len(host.journal.held))


@contextlib.contextmanager
def collector_rests() -> Iterator[None]:
    """The garbage collector rests while a courier restores what it holds, and leaves that alone afterwards.

    The ordinary path makes no cycles, so that a collection finds nothing: with 128,000 messages held it
    stalled the loop for 0.1 s, and a restart with as many ids took half as long again. What cycles there are
    (a connection that broke as it was written to) go with what is new.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.set_threshold(*COLLECT)
        gc.enable()


def within_limits(config: Config) -> Config:
    """The same with no more descriptors than the system lets this process have: of what it was told beyond
    that, clients would get a half, and leave none for discovery, notices and calls."""
    return replace(config, sockets=open_at_most(config.sockets))


async def serve(env: Mapping[str, str], config: Config) -> None:
    """Run one courier until it ends. Where another process has charge of the folder, that one hands over to
    this; and this one hands over to the next that asks."""
    loop = asyncio.get_running_loop()
    ports = real_ports(loop, config.listen, config.listen_fd)
    control = ControlServer(loop, ports.network)
    if config.control:  # it answers while the rest gets ready
        control.listen(config.control)
    again = True
    while again:
        takeover = await process_upgrade.take(config, ports.disk)
        with collector_rests():
            host = start(loop, ports, env, config, control, takeover.passed)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came meanwhile is heeded now
        takeover.done()
        if config.control:
            process_upgrade.StateTransferServer(host, takeover.lock)
        await host.closed
        again = host.alone
        if not again:
            host.close()
    control.close()


def log_to_stderr() -> None:
    """Plain lines, a bounded number of them a second."""
    handler = logging.StreamHandler()
    handler.addFilter(LineRateFilter(RealClock(), 50))
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )


def main() -> int:
    """One courier as the platform starts it; the exit code."""
    log_to_stderr()
    try:
        config = within_limits(load(os.environ, RealDisk()))
    except ConfigError as error:
        print(f"madderbeam: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(os.environ, config))
    except OSError as error:
        print(f"madderbeam: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
