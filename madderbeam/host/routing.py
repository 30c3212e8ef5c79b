"""Routing as the host has it: the list's endpoints and the router, joined; nothing of it exists unless it is
set."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from madderbeam.config.platform import Config
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.events import EndpointEntry, EndpointState
from madderbeam.ports import Address, Clock
from madderbeam.transport.clients import BadRequest, Put

if TYPE_CHECKING:
    from madderbeam.routing.router import Router

NOWHERE = -1  # the destination of a message that names none by its number
log = logging.getLogger(__name__)


class Routing:
    """Gets the list's news from the turn, and hands candidates to the decision module as its Preference."""

    def __init__(self, config: Config, listing: EndpointRegistry, clock: Clock) -> None:
        self.config, self.listing, self.clock = config, listing, clock
        self.router: Router | None = None
        self.addresses: dict[int, str] = {}

    def configure(self, raw: dict[str, Any] | None) -> None:
        """What stands beside the list; one that can't be used is told and leaves the old in force."""
        if raw is None:
            return
        from madderbeam.routing.router import Router

        s = self.config.settings
        router = self.router or Router(self.config.seed, s.courier_index, s.courier_count, self.config.zone)
        try:
            router.configure(raw)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.error("routing stays as it was: %s", error)
            return
        self.router = router

    def placed(self, rows: Iterable[tuple[EndpointEntry, Address]]) -> None:
        """Where the entries of a list are."""
        for entry, (host, port) in rows:
            self.addresses[entry.endpoint] = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def refresh(self) -> None:
        """The list or the routing has changed."""
        entries = self.listing.entries
        self.addresses = {n: a for n, a in self.addresses.items() if n in entries}
        if self.router is not None:
            ready = [
                (n, e.destination, self.addresses[n], self.listing.zone(e.zone))
                for n, e in entries.items()
                if e.state is EndpointState.READY and n in self.addresses
            ]
            self.router.listed(ready, self.clock.monotonic_us())

    def destination(self, put: Put) -> int:
        """The destination of a message that names none by its number; BadRequest if it has no route."""
        field = "path" if put.path else "to" if put.to else "dest"
        if self.router is None:
            raise BadRequest("dest: must be a whole number")
        try:
            found = self.router.destination(put.to, put.path, put.cls)
        except ValueError as error:
            raise BadRequest(f"path: {error}") from None
        if found is None:
            raise BadRequest(f"{field}: no route" if field != "dest" else "dest: must be a whole number")
        return found

    def affinity(self, m: PendingMessage) -> str:
        """What the message shares with those that are to go to the same endpoint."""
        if self.router is None:
            return ""
        tenants = self.config.settings.tenants
        tenant = tenants[m.tenant].name if m.tenant < len(tenants) else ""
        return self.router.affinity(m.dest, tenant, m.key, m.order, m.id)

    def figures(self) -> dict[str, int]:
        return self.router.figures() if self.router is not None else {}
