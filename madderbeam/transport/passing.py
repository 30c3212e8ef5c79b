"""Messages and open sockets between two processes of one courier, over a Unix socket in its folder.

A message is a msgpack map behind its length; its sockets follow (SCM_RIGHTS, unix(7)). Both sides block here,
for the short time that a hand-over takes, and never longer than the connection's time-out.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Iterator, Sequence
from typing import Any

import msgpack

NAME = "handover"
LENGTH = struct.Struct("!IH")  # bytes of the map, sockets
MOST_BYTES = 64 << 20
EACH = 64  # sockets in one piece; the system takes 253
Passed = tuple[dict[str, Any], list[socket.socket]]


class Broken(OSError):
    """The other side ended, was silent for too long, or sent what is no message."""


@contextlib.contextmanager
def _path(folder: str) -> Iterator[str]:
    """The socket's path, short whatever the folder's is: a Unix socket's may have 107 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{NAME}"
    finally:
        os.close(descriptor)


def offer(folder: str) -> socket.socket:
    """Listen in the folder, in place of whoever did before; only for the one who holds the folder's lock."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _path(folder) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
        sock.listen(1)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def ask(folder: str) -> socket.socket | None:
    """A connection to the process that offers a hand-over there, None if none does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    with _path(folder) as path:
        if sock.connect_ex(path) == 0:
            return sock
    sock.close()
    return None


def send(sock: socket.socket, message: dict[str, Any], socks: Sequence[Any] = ()) -> None:
    """Send all of it; Broken if the other side does not take it in time."""
    data = msgpack.packb(message)
    try:
        sock.sendall(LENGTH.pack(len(data), len(socks)) + data)
        for at in range(0, len(socks), EACH):
            socket.send_fds(sock, [b"+"], [s.fileno() for s in socks[at : at + EACH]])
    except OSError as error:
        raise Broken(f"the other side does not take it: {error}") from None


def receive(sock: socket.socket) -> Passed:
    """The next message and its sockets; Broken if it does not come whole in time."""
    socks: list[socket.socket] = []
    try:
        size, count = LENGTH.unpack(_exactly(sock, LENGTH.size))
        if size > MOST_BYTES:
            raise Broken(f"a message of {size} bytes")
        message = msgpack.unpackb(_exactly(sock, size), strict_map_key=False)
        if not isinstance(message, dict):
            raise Broken("a message that is no map")
        while len(socks) < count:
            mark, descriptors, _, _ = socket.recv_fds(sock, 1, EACH)
            if not mark or not descriptors:
                raise Broken("the other side ended")
            socks += [socket.socket(fileno=d) for d in descriptors]
    except (OSError, ValueError, msgpack.UnpackException) as error:
        for each in socks:
            each.close()
        raise error if isinstance(error, Broken) else Broken(str(error)) from None
    for each in socks:
        each.setblocking(False)
    return message, socks


def _exactly(sock: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = sock.recv(min(1 << 20, size - len(data)))
        if not part:
            raise Broken("the other side ended")
        data += part
    return bytes(data)
