"""Datagrams: encodes and decodes frames; lost and invalid ones are counted and otherwise ignored."""

from __future__ import annotations

from collections.abc import Callable

from madderbeam.ports import Address, Network
from madderbeam.ports import Datagrams as Socket
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.addresses import is_usable
from madderbeam.transport.mesh.counters import Counters

MAX_READS_PER_CALLBACK = 64  # datagrams read per event loop callback


class Datagrams:
    """One UDP socket. `on_frame` receives each valid frame of the federation and its source address."""

    def __init__(
        self,
        network: Network,
        federation: str,
        counters: Counters,
        on_frame: Callable[[frames.Frame, Address], None],
    ) -> None:
        self.network, self.federation, self.counters, self.on_frame = network, federation, counters, on_frame
        self.sock: Socket | None = None

    def bind(self, address: Address) -> None:
        """OSError if the address is not available."""
        self.sock = self.network.datagram(address)
        self.network.on_readable(self.sock, self._readable)

    def send(self, address: Address, frame: frames.Frame) -> None:
        """Send a frame. It may be lost; failures on this host are counted."""
        if self.sock is None:
            return
        if not is_usable(address):
            self.counters.anomaly(
                "unusable_addresses", f"{address[0]!r:.64}:{address[1]} is not a numeric address and port"
            )
            return
        try:
            data = frames.pack(self.federation, frame)
        except frames.InvalidFrame as error:
            self.counters.anomaly("unsendable", f"datagram on channel {frame.channel}: {error}")
            return
        try:
            self.sock.sendto(data, address)
        except OSError as error:  # full buffer or no route
            self.counters.anomaly(
                "datagrams_unsent", f"to {address[0]}:{address[1]}: {error.strerror or error}"
            )
            return
        self.counters.add("datagrams_out")
        self.counters.add("datagram_bytes_out", len(data))

    def _readable(self) -> None:
        for _ in range(MAX_READS_PER_CALLBACK):
            if self.sock is None:  # closed by the handler of the last frame
                return
            try:
                data, source = self.sock.recvfrom(frames.MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.counters.anomaly("datagrams_unread", f"{error.strerror or error}")
                return
            self.counters.add("datagrams_in")
            self.counters.add("datagram_bytes_in", len(data))
            try:
                frame = frames.unpack(self.federation, data)
            except frames.InvalidFrame as error:
                self.counters.anomaly(
                    f"strange_{error.kind}", f"datagram from {source[0]}:{source[1]}: {error}"
                )
                continue
            self.on_frame(frame, (source[0], source[1]))

    def close(self) -> None:
        """Close the socket."""
        if self.sock is not None:
            self.network.off_readable(self.sock)
            self.sock.close()
            self.sock = None
