"""Datagrams: frames into bytes and bytes into frames; what is lost or strange is counted and does nothing."""

from __future__ import annotations

from collections.abc import Callable

from madderbeam.ports import Address, Network
from madderbeam.ports import Datagrams as Socket
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.addresses import usable
from madderbeam.transport.mesh.counts import Counts

AT_ONCE = 64  # read in one turn


class Datagrams:
    """One socket. `came` gets each frame of the federation's, and where it came from."""

    def __init__(
        self, network: Network, federation: str, counts: Counts, came: Callable[[frames.Frame, Address], None]
    ) -> None:
        self.network, self.federation, self.counts, self.came = network, federation, counts, came
        self.sock: Socket | None = None

    def bind(self, address: Address) -> None:
        """OSError if the address can't be had."""
        self.sock = self.network.datagram(address)
        self.network.on_readable(self.sock, self._readable)

    def send(self, to: Address, frame: frames.Frame) -> None:
        """It may be lost, here already: then it is counted."""
        if self.sock is None:
            return
        if not usable(to):
            self.counts.odd("unusable_addresses", f"{to[0]!r:.64}:{to[1]} is no numeric address and port")
            return
        try:
            data = frames.pack(self.federation, frame)
        except frames.Strange as error:
            self.counts.odd("unsendable", f"datagram on channel {frame.channel}: {error}")
            return
        try:
            self.sock.sendto(data, to)
        except OSError as error:  # no room, no way there
            self.counts.odd("datagrams_unsent", f"to {to[0]}:{to[1]}: {error.strerror or error}")
            return
        self.counts.add("datagrams_out")
        self.counts.add("datagram_bytes_out", len(data))

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            if self.sock is None:  # closed by what came
                return
            try:
                data, source = self.sock.recvfrom(frames.DATAGRAM_MOST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.counts.odd("datagrams_unread", f"{error.strerror or error}")
                return
            self.counts.add("datagrams_in")
            self.counts.add("datagram_bytes_in", len(data))
            try:
                frame = frames.unpack(self.federation, data)
            except frames.Strange as error:
                self.counts.odd(f"strange_{error.kind}", f"datagram from {source[0]}:{source[1]}: {error}")
                continue
            self.came(frame, (source[0], source[1]))

    def close(self) -> None:
        if self.sock is not None:
            self.network.off_readable(self.sock)
            self.sock.close()
            self.sock = None
