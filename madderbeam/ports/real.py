"""The real ports: the system's clocks, sockets on asyncio's loop, files."""

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

from madderbeam.ports import Address, Ports


def open_at_most(told: int) -> int:
    """Descriptors that this process may have open: as many as it was told, or fewer by the system's limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if limit == resource.RLIM_INFINITY else min(told, limit)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class RealClock:
    """The system's clocks."""

    wall = staticmethod(time.time)

    @staticmethod
    def monotonic_us() -> int:
        return time.monotonic_ns() // 1000


class RealNetwork:
    """Sockets of the system; the loop's own methods tell when they are ready, with nothing in between."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.on_readable, self.off_readable = loop.add_reader, loop.remove_reader
        self.on_writable, self.off_writable = loop.add_writer, loop.remove_writer

    @staticmethod
    def listen(address: Address, backlog: int) -> socket.socket:
        if address[0].startswith("/"):
            return _listen_unix(address[0], backlog)
        sock = socket.create_server(address, backlog=backlog, family=_family(address))
        sock.setblocking(False)
        return sock

    @staticmethod
    def stream(address: Address) -> socket.socket:
        sock = socket.socket(_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        return sock

    @staticmethod
    def datagram(address: Address) -> socket.socket:
        sock = socket.socket(_family(address), socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        return sock


def _listen_unix(path: str, backlog: int) -> socket.socket:
    """Listen at a path. A socket that a process which died has left there goes; one that answers stays."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        try:
            sock.bind(path)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not _deserted(path):
                raise
            os.unlink(path)
            sock.bind(path)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def _deserted(path: str) -> bool:
    """Whether a socket stands there at which nobody listens."""
    if not stat.S_ISSOCK(os.stat(path).st_mode):
        return False
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        return probe.connect_ex(path) == errno.ECONNREFUSED


class RealFile:
    """A descriptor; writes go straight to the system, so what was written outlasts SIGKILL with no sync."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def append(self, data: bytes) -> int:
        return os.write(self.descriptor, data)

    def truncate(self, size: int) -> None:
        os.ftruncate(self.descriptor, size)

    def sync(self) -> None:
        os.fdatasync(self.descriptor)

    def close(self) -> None:
        os.close(self.descriptor)


class RealLock:
    """A lock of the system's on a file; it goes with the process."""

    def __init__(self, path: str) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.descriptor)
            raise

    def close(self) -> None:
        os.close(self.descriptor)


class RealDisk:
    """The file system."""

    @staticmethod
    def open(path: str, *, empty: bool = False) -> RealFile:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | (os.O_TRUNC if empty else 0)
        return RealFile(os.open(path, flags, 0o600))

    @staticmethod
    def read(path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def stamp(path: str) -> tuple[int, ...]:
        found = os.stat(path)
        return found.st_mtime_ns, found.st_size, found.st_ino

    @staticmethod
    def rename(old: str, new: str) -> None:
        os.rename(old, new)

    @staticmethod
    def unlink(path: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    @staticmethod
    def names(path: str) -> list[str]:
        return os.listdir(path)

    @staticmethod
    def is_folder(path: str) -> bool:
        return os.path.isdir(path)

    @staticmethod
    def make_folder(path: str) -> None:
        os.makedirs(path, mode=0o700, exist_ok=True)

    @staticmethod
    def lock(path: str) -> RealLock:
        return RealLock(path)


class InheritedNetwork(RealNetwork):
    """As the real one, but one address is that of a listening socket which came as an open descriptor. It
    stays open: each listen has one of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, descriptor: int) -> None:
        super().__init__(loop)
        self.address, self.descriptor = address, descriptor

    def listen(self, address: Address, backlog: int) -> socket.socket:  # type: ignore[override]
        if address != self.address:
            return RealNetwork.listen(address, backlog)
        sock = socket.socket(fileno=os.dup(self.descriptor))
        sock.listen(backlog)
        sock.setblocking(False)
        return sock


def real_ports(loop: asyncio.AbstractEventLoop, listen: Address = ("", 0), descriptor: int = -1) -> Ports:
    """The ports of a process that runs this loop; `descriptor`: a socket that listens there already."""
    network = RealNetwork(loop) if descriptor < 0 else InheritedNetwork(loop, listen, descriptor)
    return Ports(RealClock(), network, RealDisk())
