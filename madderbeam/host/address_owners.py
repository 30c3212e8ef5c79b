"""Which endpoint has an address: of several that are listed there, the process that started last."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from madderbeam.ports import Address


@dataclass(frozen=True)
class Start:
    """A start of an endpoint's process, as discovery reports it."""

    uid: str
    boot_ms: int  # milliseconds since 1970, 0: long ago


def read_boot_ms(value: Any) -> int:
    """The `boot_ms` of a listed endpoint; anything unusual means long ago."""
    return value if type(value) is int and value > 0 else 0


class AddressOwners:
    """The latest start at each address where an endpoint is listed.

    Endpoints whose start is not known to differ may share an address: one server may serve several
    destinations.
    """

    def __init__(self) -> None:
        self.latest: dict[Address, Start] = {}
        self.listed: dict[str, tuple[Address, int]] = {}  # address and start of the endpoints by id
        self.uids_at: dict[Address, set[str]] = {}  # ids of the endpoints by address

    def record(self, uid: str, address: Address, boot_ms: int) -> bool:
        """Record what discovery reports; whether the endpoint's process has been replaced at its address."""
        previous = self.listed.get(uid)
        self._list(uid, address, boot_ms)
        latest = self.latest.get(address)
        if latest is None or boot_ms >= latest.boot_ms:
            self.latest[address] = Start(uid, boot_ms)
        return previous is not None and previous[0] == address and previous[1] < boot_ms

    def is_superseded(self, uid: str) -> bool:
        """Whether a process of another endpoint has started later at this one's address."""
        if uid not in self.listed:
            return False
        address, boot_ms = self.listed[uid]
        latest = self.latest.get(address)
        return latest is not None and latest.uid != uid and latest.boot_ms > boot_ms

    def superseded_at(self, address: Address) -> list[str]:
        """The endpoints listed there that are superseded."""
        return [uid for uid in sorted(self.uids_at.get(address, ())) if self.is_superseded(uid)]

    def forget(self, uid: str) -> None:
        """The endpoint is no longer listed."""
        if uid in self.listed:
            address, _ = self.listed.pop(uid)
            self.uids_at[address].discard(uid)
            if not self.uids_at[address]:
                del self.uids_at[address]
                self.latest.pop(address, None)

    def _list(self, uid: str, address: Address, boot_ms: int) -> None:
        self.forget(uid)
        self.listed[uid] = (address, boot_ms)
        self.uids_at.setdefault(address, set()).add(uid)

    def state(self) -> list[list[Any]]:
        """All of it as plain data, for another process."""
        listed = [[uid, *address, boot_ms, True] for uid, (address, boot_ms) in self.listed.items()]
        latest = [[start.uid, *address, start.boot_ms, False] for address, start in self.latest.items()]
        return listed + latest

    def restore(self, rows: Iterable[list[Any]]) -> None:
        """Go on from what `state` gave."""
        for uid, host, port, boot_ms, is_listed in rows:
            if is_listed:
                self._list(uid, (host, port), boot_ms)
            else:
                self.latest[host, port] = Start(uid, boot_ms)
