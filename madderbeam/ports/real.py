"""Ports of a real process: the system's clocks, sockets on the asyncio event loop, and files."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import resource
import socket
import stat
import time
from collections.abc import Callable
from typing import Any

from madderbeam.ports import Address, Ports


def max_open_descriptors(max_descriptors: int) -> int:
    """Return how many descriptors the process may open: `max_descriptors`, or the system's limit if lower."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max_descriptors if limit == resource.RLIM_INFINITY else min(max_descriptors, limit)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class RealClock:
    """The system's clocks."""

    wall = staticmethod(time.time)

    @staticmethod
    def monotonic_us() -> int:
        """See Clock."""
        return time.monotonic_ns() // 1000


class RealNetwork:
    """System sockets.

    The event loop is given descriptors: for a socket object that it does not know yet, it formats the object,
    which takes system calls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def on_readable(self, sock: socket.socket, callback: Callable[..., Any], *args: Any) -> None:
        """See Network."""
        self.loop.add_reader(sock.fileno(), callback, *args)

    def on_writable(self, sock: socket.socket, callback: Callable[..., Any], *args: Any) -> None:
        """See Network."""
        self.loop.add_writer(sock.fileno(), callback, *args)

    def off_readable(self, sock: socket.socket) -> None:
        """See Network."""
        self.loop.remove_reader(sock.fileno())

    def off_writable(self, sock: socket.socket) -> None:
        """See Network."""
        self.loop.remove_writer(sock.fileno())

    @staticmethod
    def listen(address: Address, backlog: int) -> socket.socket:
        """See Network."""
        if address[0].startswith("/"):
            return _listen_unix(address[0], backlog)
        sock = socket.create_server(address, backlog=backlog, family=_family(address))
        sock.setblocking(False)
        return sock

    @staticmethod
    def stream(address: Address) -> socket.socket:
        """See Network."""
        sock = socket.socket(_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        return sock

    @staticmethod
    def datagram(address: Address) -> socket.socket:
        """See Network."""
        sock = socket.socket(_family(address), socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        return sock


def _listen_unix(path: str, backlog: int) -> socket.socket:
    """Listen on a Unix socket; replace a stale socket of a dead process, but not one in use."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        try:
            sock.bind(path)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not _is_stale_socket(path):
                raise
            os.unlink(path)
            sock.bind(path)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def _is_stale_socket(path: str) -> bool:
    """Whether the path is a socket on which no process listens."""
    if not stat.S_ISSOCK(os.stat(path).st_mode):
        return False
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        return probe.connect_ex(path) == errno.ECONNREFUSED


class RealFile:
    """A file written without buffering in the process, so that written data survives SIGKILL without sync."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def append(self, data: bytes) -> int:
        """See File."""
        return os.write(self.descriptor, data)

    def truncate(self, size: int) -> None:
        """See File."""
        os.ftruncate(self.descriptor, size)

    def sync(self) -> None:
        """See File."""
        os.fdatasync(self.descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.descriptor)


class RealLock:
    """A flock on a file; the kernel releases it when the process ends."""

    def __init__(self, path: str) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.descriptor)
            raise

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.descriptor)


class RealDisk:
    """The file system."""

    @staticmethod
    def open(path: str, *, empty: bool = False) -> RealFile:
        """See Disk."""
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | (os.O_TRUNC if empty else 0)
        return RealFile(os.open(path, flags, 0o600))

    @staticmethod
    def read(path: str) -> bytes:
        """See Disk."""
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def read_part(path: str, position: int, size_bytes: int) -> bytes:
        """See Disk."""
        with open(path, "rb") as file:
            file.seek(position)
            return file.read(size_bytes)

    @staticmethod
    def stamp(path: str) -> tuple[int, ...]:
        """See Disk: modification time, size and inode."""
        status = os.stat(path)
        return status.st_mtime_ns, status.st_size, status.st_ino

    @staticmethod
    def rename(old: str, new: str) -> None:
        """See Disk."""
        os.rename(old, new)

    @staticmethod
    def unlink(path: str) -> None:
        """See Disk."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    @staticmethod
    def names(path: str) -> list[str]:
        """See Disk."""
        return os.listdir(path)

    @staticmethod
    def is_folder(path: str) -> bool:
        """See Disk."""
        return os.path.isdir(path)

    @staticmethod
    def make_folder(path: str) -> None:
        """See Disk."""
        os.makedirs(path, mode=0o700, exist_ok=True)

    @staticmethod
    def lock(path: str) -> RealLock:
        """See Disk."""
        return RealLock(path)


class InheritedNetwork(RealNetwork):
    """A real network in which one address is served by an inherited listening socket.

    The inherited descriptor stays open: each `listen` duplicates it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, descriptor: int) -> None:
        super().__init__(loop)
        self.address, self.descriptor = address, descriptor

    def listen(self, address: Address, backlog: int) -> socket.socket:  # type: ignore[override]
        """See Network; the inherited address uses the inherited socket."""
        if address != self.address:
            return RealNetwork.listen(address, backlog)
        sock = socket.socket(fileno=os.dup(self.descriptor))
        sock.listen(backlog)
        sock.setblocking(False)
        return sock


def real_ports(loop: asyncio.AbstractEventLoop, listen: Address = ("", 0), descriptor: int = -1) -> Ports:
    """Return the ports of a process; `descriptor`, unless negative, is a socket that listens on `listen`."""
    network = RealNetwork(loop) if descriptor < 0 else InheritedNetwork(loop, listen, descriptor)
    return Ports(RealClock(), network, RealDisk())
