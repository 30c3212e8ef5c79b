"""Runs a courier from a rendered configuration file, after it has claimed its port and folder.

If the file is invalid, or another running courier has the port or the folder, it exits at once with one line
and exit code 2, before it has touched anything of the other courier.
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
from madderbeam.host.log_output import log_to_stderr
from madderbeam.host.process import collector_paused, start, with_descriptor_limit
from madderbeam.ports import Address, Disk, Lock, Network, Ports, Socket
from madderbeam.ports.real import RealDisk, real_ports
from madderbeam.transport.clients import BACKLOG

LOCK_FILE, OWNER_FILE = "lock", "owner"
STDIN, FOLLOW = 0, "--follow"
log = logging.getLogger(__name__)


class ResourceHeldError(Exception):
    """Another courier has a resource that this one needs; the text is one line for the operator."""


@dataclass
class PreboundNetwork:
    """A network whose listening socket is already open."""

    network: Network
    address: Address
    sock: Socket

    def __post_init__(self) -> None:
        self.on_readable, self.off_readable = self.network.on_readable, self.network.off_readable
        self.on_writable, self.off_writable = self.network.on_writable, self.network.off_writable
        self.stream, self.datagram = self.network.stream, self.network.datagram

    def listen(self, address: Address, backlog: int) -> Socket:
        """Return the open socket for its own address; listen on any other one."""
        return self.sock if address == self.address else self.network.listen(address, backlog)


def claim_resources(config: Config, ports: Ports) -> tuple[Ports, Lock]:
    """Claim the port and the folder.

    ResourceHeldError if another courier has one of them; then neither is claimed.
    """
    where = config.listen[0] if config.listen[0].startswith("/") else "{}:{}".format(*config.listen)
    if not ports.disk.is_folder(config.state):
        sock = _listen(config, ports, where)  # first: no folder is created if another courier has the port
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


def lock_folder(config: Config, disk: Disk) -> Lock:
    """Lock the folder only, and create it if missing; ResourceHeldError if another courier has it."""
    if not disk.is_folder(config.state):
        disk.make_folder(config.state)
    return _lock(config, disk)


def _lock(config: Config, disk: Disk) -> Lock:
    try:
        lock = disk.lock(f"{config.state}/{LOCK_FILE}")
    except BlockingIOError:
        raise ResourceHeldError(
            f"{config.name}: state: {config.state} is in use by a running courier"
        ) from None
    except OSError as error:
        raise ResourceHeldError(
            f"{config.name}: state: {config.state} can't be used: {error.strerror}"
        ) from None
    try:
        owner = disk.read(f"{config.state}/{OWNER_FILE}").decode("utf-8", "replace").strip()
    except FileNotFoundError:
        owner = ""
    if owner and owner != config.name:
        lock.close()
        raise ResourceHeldError(f"{config.name}: state: {config.state} holds the journal of {owner}")
    if not owner:
        try:
            _write_owner(config, disk)
        except OSError as error:
            lock.close()
            raise ResourceHeldError(
                f"{config.name}: state: {config.state} can't be used: {error.strerror}"
            ) from None
    return lock


def _write_owner(config: Config, disk: Disk) -> None:
    """Write the owner's name atomically: a partial name could be that of another courier."""
    atomic_file.replace(disk, f"{config.state}/{OWNER_FILE}", config.name.encode() + b"\n")


async def _serve(config: Config, follow: bool) -> None:
    loop = asyncio.get_running_loop()
    ports, lock = claim_resources(config, real_ports(loop))
    with collector_paused():
        host = start(loop, ports, {}, config)
    if follow:
        loop.add_reader(STDIN, _stdin_readable, loop, host)
    await host.closed
    host.close()
    lock.close()


def _stdin_readable(loop: asyncio.AbstractEventLoop, host: Host) -> None:
    """Shut down at end of file on standard input: the parent process holds the other end and has exited."""
    if not os.read(STDIN, 1):
        loop.remove_reader(STDIN)
        log.warning("the parent process has exited; shutting down")
        host.terminate()


def main(path: str, follow: bool = False) -> int:
    """Run the courier of a rendered file until a signal ends it; return the exit code, 2 if it can't start.

    `follow`: also shut down, as after SIGTERM, at the end of standard input.
    """
    log_to_stderr()
    try:
        config = with_descriptor_limit(load_sidecar(path, RealDisk()))
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
