"""What the courier needs of the outside: a clock, a network and a disk, behind small typed ports.

Nothing outside the real ports (madderbeam/ports/real.py) reads the time, opens a socket or touches a file,
so the same host runs on real sockets and in the simulation. Timers are not here: they
go through asyncio's own interface (`call_later`, `call_soon`), which the simulation's loop has as well.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

Address = tuple[str, int]


class Socket(Protocol):
    """A non-blocking stream or listening socket: socket.socket's methods of the same names, which raise
    OSError as that does (BlockingIOError where nothing can be done now)."""

    def recv(self, size: int, flags: int = 0, /) -> bytes: ...
    def recv_into(self, buffer: bytearray, /) -> int: ...
    def send(self, data: Any, /) -> int: ...
    def connect_ex(self, address: Address, /) -> int: ...
    def getsockopt(self, level: int, option: int, /) -> int: ...
    def setsockopt(self, level: int, option: int, value: int, /) -> None: ...
    def getsockname(self) -> Any: ...
    def setblocking(self, on: bool, /) -> None: ...
    def accept(self) -> tuple[Any, Any]: ...
    def shutdown(self, how: int, /) -> None: ...
    def close(self) -> None: ...


class Datagrams(Protocol):
    """A non-blocking socket for datagrams, bound to an address: socket.socket's methods of the same names,
    which raise OSError as that does (BlockingIOError where nothing can be done now)."""

    def recvfrom(self, size: int, /) -> tuple[bytes, Any]: ...
    def sendto(self, data: bytes, address: Address, /) -> int: ...
    def getsockname(self) -> Any: ...
    def close(self) -> None: ...


class Clock(Protocol):
    """Monotonic time runs evenly; wall time outlasts the process and may step."""

    def monotonic_us(self) -> int:
        """Microseconds since any fixed moment, never less than before."""
        ...

    def wall(self) -> float:
        """Unix time in seconds."""
        ...


class Network(Protocol):
    """TCP and UDP sockets and when they are ready. A callback is called again and again while its socket is
    ready."""

    @property
    def on_readable(self) -> Callable[..., Any]:
        """(socket, callback, *args): replaces the callback before."""

    @property
    def on_writable(self) -> Callable[..., Any]: ...

    @property
    def off_readable(self) -> Callable[..., Any]:
        """(socket): none of its callbacks is called any more."""

    @property
    def off_writable(self) -> Callable[..., Any]: ...

    def listen(self, address: Address, backlog: int) -> Socket:
        """A listening socket; OSError if the address can't be had. A host that begins with / is the path of
        a Unix socket; its port means nothing."""
        ...

    def stream(self, address: Address) -> Socket:
        """A socket that can connect to this address; OSError if none is to be had."""
        ...

    def datagram(self, address: Address) -> Datagrams:
        """A socket that sends and takes datagrams at this address; OSError if it can't be had. What it sends
        may be lost, come twice, late or in another order."""
        ...


class File(Protocol):
    """A file open for appending."""

    def append(self, data: bytes) -> int:
        """Write at the end; how much was written, which may be less. OSError if nothing was."""
        ...

    def truncate(self, size: int) -> None:
        """Cut the file to so many bytes."""
        ...

    def sync(self) -> None:
        """What was written outlasts a loss of power."""
        ...

    def close(self) -> None: ...


class Lock(Protocol):
    """Held until it is closed or the process ends, in whatever way."""

    def close(self) -> None: ...


class Disk(Protocol):
    """Files by path. What was written outlasts the process. Each raises OSError."""

    def open(self, path: str, *, empty: bool = False) -> File:
        """Open for appending, made if it is not there; emptied on request."""
        ...

    def read(self, path: str) -> bytes: ...

    def stamp(self, path: str) -> tuple[int, ...]:
        """Something that changes whenever the file is replaced or written to."""
        ...

    def rename(self, old: str, new: str) -> None: ...

    def unlink(self, path: str) -> None:
        """Remove a file; none there is no error."""
        ...

    def names(self, path: str) -> list[str]:
        """What a folder holds."""
        ...

    def is_folder(self, path: str) -> bool: ...
    def make_folder(self, path: str) -> None: ...

    def lock(self, path: str) -> Lock:
        """Hold a file, made if it is not there, for as long as the process lives; BlockingIOError if another
        process holds it."""
        ...


@dataclass(frozen=True)
class Ports:
    """All that one courier has of the outside."""

    clock: Clock
    network: Network
    disk: Disk
