"""Reads from sockets, through one buffer for all of them.

socket.recv takes the whole size that it is asked for from the C heap and gives most of it back: between what
lives longer each read left a gap that no other one fitted into, and the heap grew with the courier's age.
"""

from __future__ import annotations

from madderbeam.ports import Socket

READ_BYTES = 1 << 16
_BUFFER = bytearray(READ_BYTES)
_VIEW = memoryview(_BUFFER)
NOTHING = memoryview(b"")


def read(sock: Socket) -> memoryview:
    """What has come, READ_BYTES at most, empty at the end of the other side's sending; OSError as of recv.

    The view holds until the next read of any socket: what is to be kept has to be copied.
    """
    return _VIEW[: sock.recv_into(_BUFFER)]
