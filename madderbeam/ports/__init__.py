"""Interfaces to the outside world: a clock, a network and a disk.

Only the real implementation (madderbeam/ports/real.py) reads the time, opens a socket or accesses a file, so
the same host runs on real sockets and in the simulation. Timers are not part of this: they use asyncio's own
interface (`call_later`, `call_soon`), which the simulation's event loop implements too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

Address = tuple[str, int]


class Socket(Protocol):
    """A non-blocking stream or listening socket, a subset of socket.socket.

    The methods raise OSError as socket.socket's do (BlockingIOError if the operation would block).
    """

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive up to `size` bytes; b'' at the end of the stream."""
        ...

    def recv_into(self, buffer: bytearray, /) -> int:
        """Receive into a buffer; return the number of bytes."""
        ...

    def send(self, data: Any, /) -> int:
        """Send data; return the number of bytes sent, possibly fewer."""
        ...

    def connect_ex(self, address: Address, /) -> int:
        """Start to connect; return the errno, 0 on success."""
        ...

    def getsockopt(self, level: int, option: int, /) -> int:
        """Return a socket option."""
        ...

    def setsockopt(self, level: int, option: int, value: int | bytes, /) -> None:
        """Set a socket option."""
        ...

    def getsockname(self) -> Any:
        """Return the local address."""
        ...

    def setblocking(self, on: bool, /) -> None:
        """Set blocking or non-blocking mode."""
        ...

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection; return its socket and the peer's address."""
        ...

    def shutdown(self, how: int, /) -> None:
        """Shut down one or both directions."""
        ...

    def close(self) -> None:
        """Release the descriptor."""
        ...


class Datagrams(Protocol):
    """A non-blocking datagram socket that is bound to an address, a subset of socket.socket.

    The methods raise OSError as socket.socket's do (BlockingIOError if the operation would block).
    """

    def recvfrom(self, size: int, /) -> tuple[bytes, Any]:
        """Receive a datagram; return it and the sender's address."""
        ...

    def sendto(self, data: bytes, address: Address, /) -> int:
        """Send a datagram; return the number of bytes sent."""
        ...

    def getsockname(self) -> Any:
        """Return the local address."""
        ...

    def close(self) -> None:
        """Release the descriptor."""
        ...


class Clock(Protocol):
    """Monotonic time never goes back; wall time is comparable across processes and may jump."""

    def monotonic_us(self) -> int:
        """Return microseconds since an arbitrary fixed moment; never decreases."""
        ...

    def wall(self) -> float:
        """Return Unix time in seconds."""
        ...


class Network(Protocol):
    """Creates TCP and UDP sockets and reports when they are ready.

    Readiness is level-triggered: a callback is called repeatedly while its socket is ready.
    """

    @property
    def on_readable(self) -> Callable[..., Any]:
        """Register a read callback, as (socket, callback, *args); it replaces an earlier one."""

    @property
    def on_writable(self) -> Callable[..., Any]:
        """Register a write callback, as (socket, callback, *args); it replaces an earlier one."""
        ...

    @property
    def off_readable(self) -> Callable[..., Any]:
        """Remove the read callback of a socket."""

    @property
    def off_writable(self) -> Callable[..., Any]:
        """Remove the write callback of a socket."""
        ...

    def listen(self, address: Address, backlog: int) -> Socket:
        """Return a listening socket; OSError if the address is unavailable.

        A host that starts with / is the path of a Unix socket; its port is ignored.
        """
        ...

    def stream(self, address: Address) -> Socket:
        """Return a socket that can connect to this address; OSError if none can be created."""
        ...

    def datagram(self, address: Address) -> Datagrams:
        """Return a datagram socket bound to this address; OSError if it is unavailable.

        Datagrams may be lost, duplicated, delayed or reordered.
        """
        ...


class File(Protocol):
    """A file open for appending."""

    def append(self, data: bytes) -> int:
        """Append data; return the number of bytes written, possibly fewer. OSError if none were."""
        ...

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""
        ...

    def sync(self) -> None:
        """Flush written data to stable storage, so that it survives a power failure."""
        ...

    def close(self) -> None:
        """Release the descriptor."""
        ...


class Lock(Protocol):
    """A file lock, held until it is closed or the process ends for any reason."""

    def close(self) -> None:
        """Release the descriptor."""
        ...


class Disk(Protocol):
    """The file system. Written data survives the process; every method raises OSError."""

    def open(self, path: str, *, empty: bool = False) -> File:
        """Open for appending, creating the file if needed; `empty` truncates it."""
        ...

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        ...

    def read_part(self, path: str, position: int, size_bytes: int) -> bytes:
        """Return this part of a file, less if the file ends before."""
        ...

    def stamp(self, path: str) -> tuple[int, ...]:
        """Return a value that changes whenever the file is replaced or written to."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        ...

    def unlink(self, path: str) -> None:
        """Remove a file; a missing file is no error."""
        ...

    def names(self, path: str) -> list[str]:
        """Return the names in a directory."""
        ...

    def is_folder(self, path: str) -> bool:
        """Whether the path is an existing directory."""
        ...

    def make_folder(self, path: str) -> None:
        """Create a directory and its parents; an existing one is no error."""
        ...

    def lock(self, path: str) -> Lock:
        """Lock a file, creating it if needed; BlockingIOError if another process holds the lock."""
        ...


@dataclass(frozen=True)
class Ports:
    """The clock, network and disk of one courier."""

    clock: Clock
    network: Network
    disk: Disk
