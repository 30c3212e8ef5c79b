"""A courier from a rendered file: the guard before its launch, then the same process as on the platform.

A file that does not hold, a port or a folder that another live courier has: it ends at once with one line and
exit code 2, before it has touched anything of the other's.
"""

from __future__ import annotations

import asyncio
import importlib
import logging
import os
import sys
from dataclasses import dataclass

from madderbeam.config.platform import Config, ConfigError, load_sidecar
from madderbeam.host import atomic_file
from madderbeam.host.host import Host
from madderbeam.host.process import collector_rests, log_to_stderr, start, within_limits
from madderbeam.ports import Address, Disk, Lock, Network, Ports, Socket
from madderbeam.ports.real import RealDisk, real_ports
from madderbeam.transport.clients import BACKLOG

LOCK, OWNER = "lock", "owner"
STDIN, FOLLOW = 0, "--follow"
log = logging.getLogger(__name__)


class ResourceHeldError(Exception):
    """Something that the courier needs is another's; one line."""


@dataclass
class PreboundNetwork:
    """A network whose listening socket was had before anything else was done."""

    network: Network
    address: Address
    sock: Socket

    def __post_init__(self) -> None:
        self.on_readable, self.off_readable = self.network.on_readable, self.network.off_readable
        self.on_writable, self.off_writable = self.network.on_writable, self.network.off_writable
        self.stream, self.datagram = self.network.stream, self.network.datagram

    def listen(self, address: Address, backlog: int) -> Socket:
        """The socket that is there already, for its address."""
        return self.sock if address == self.address else self.network.listen(address, backlog)


def guard(config: Config, ports: Ports) -> tuple[Ports, Lock]:
    """Take the port and the folder. Held if another courier has one of them; then neither is taken."""
    where = config.listen[0] if config.listen[0].startswith("/") else "{}:{}".format(*config.listen)
    if not ports.disk.is_folder(config.state):
        sock = _listen(config, ports, where)  # a port that is another's: then no folder is made either
        ports.disk.make_folder(config.state)
        lock = _lock(config, ports.disk)
    else:
        lock = _lock(config, ports.disk)
        try:
            sock = _listen(config, ports, where)
        except ResourceHeldError:
            lock.close()
            raise
    return Ports(ports.clock, PreboundNetwork(ports.network, config.listen, sock), ports.disk), lock


def _listen(config: Config, ports: Ports, where: str) -> Socket:
    try:
        return ports.network.listen(config.listen, BACKLOG)
    except OSError as error:
        raise ResourceHeldError(
            f"{config.name}: listen: {where} can't be had: {error.strerror or error}"
        ) from None


def hold(config: Config, disk: Disk) -> Lock:
    """Take the folder alone, made if it is not there; Held if another courier has it."""
    if not disk.is_folder(config.state):
        disk.make_folder(config.state)
    return _lock(config, disk)


def _lock(config: Config, disk: Disk) -> Lock:
    try:
        lock = disk.lock(f"{config.state}/{LOCK}")
    except BlockingIOError:
        raise ResourceHeldError(
            f"{config.name}: state: {config.state} is held by a courier that runs"
        ) from None
    except OSError as error:
        raise ResourceHeldError(
            f"{config.name}: state: {config.state} can't be used: {error.strerror}"
        ) from None
    try:
        owner = disk.read(f"{config.state}/{OWNER}").decode("utf-8", "replace").strip()
    except FileNotFoundError:
        owner = ""
    if owner and owner != config.name:
        lock.close()
        raise ResourceHeldError(f"{config.name}: state: {config.state} holds the journal of {owner}")
    if not owner:
        try:
            _own(config, disk)
        except OSError as error:
            lock.close()
            raise ResourceHeldError(
                f"{config.name}: state: {config.state} can't be used: {error.strerror}"
            ) from None
    return lock


def _own(config: Config, disk: Disk) -> None:
    """Write the owner's name, whole or not at all: a part of it would be another's name."""
    atomic_file.replace(disk, f"{config.state}/{OWNER}", config.name.encode() + b"\n")


async def _serve(config: Config, follow: bool) -> None:
    loop = asyncio.get_running_loop()
    ports, lock = guard(config, real_ports(loop))
    with collector_rests():
        host = start(loop, ports, {}, config)
    if follow:
        loop.add_reader(STDIN, _followed, loop, host)
    await host.closed
    host.close()
    lock.close()


def _followed(loop: asyncio.AbstractEventLoop, host: Host) -> None:
    """Whoever started it holds the other end of its standard input, and says nothing: it has ended."""
    if not os.read(STDIN, 1):
        loop.remove_reader(STDIN)
        log.warning("whoever started it is gone: a planned end")
        host.terminate()


def main(path: str, follow: bool = False) -> int:
    """Run the courier of a rendered file until a signal ends it; the exit code, 2 if it must not start.

    follow: it also ends, as after SIGTERM, when its standard input does.
    """
    log_to_stderr()
    try:
        config = within_limits(load_sidecar(path, RealDisk()))
        if config.standby is not None:
            serve = importlib.import_module("madderbeam.host.standby.process").serve
            return int(asyncio.run(serve(config, follow)))
        asyncio.run(_serve(config, follow))
    except (ConfigError, ResourceHeldError) as error:
        print(f"madderbeam: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"madderbeam: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], follow=FOLLOW in sys.argv[2:]))
