"""Routing in the host: connects the endpoint list with the router, which exists only if configured."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from madderbeam.config.platform import Config
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.events import EndpointEntry, EndpointState
from madderbeam.ports import Address, Clock
from madderbeam.transport.put_request import BadRequest, Put

if TYPE_CHECKING:
    from madderbeam.routing.router import Router

UNROUTED = -1  # destination of a message that is to be routed by name or path
log = logging.getLogger(__name__)


class Routing:
    """Keeps the router up to date with the endpoint list; the engine uses the router to prefer endpoints."""

    def __init__(self, config: Config, registry: EndpointRegistry, clock: Clock) -> None:
        self.config, self.registry, self.clock = config, registry, clock
        self.router: Router | None = None
        self.addresses: dict[int, str] = {}

    def configure(self, raw: dict[str, Any] | None) -> None:
        """Apply the routing of an endpoint list; an invalid one is logged and the old one kept."""
        if raw is None:
            return
        from madderbeam.routing.router import Router

        settings = self.config.settings
        router = self.router or Router(
            self.config.seed, settings.courier_index, settings.courier_count, self.config.zone
        )
        try:
            router.configure(raw)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.error("invalid routing, keeping the old one: %s", error)
            return
        self.router = router

    def set_addresses(self, rows: Iterable[tuple[EndpointEntry, Address]]) -> None:
        """Set the addresses of endpoints that a list has."""
        for entry, (host, port) in rows:
            self.addresses[entry.endpoint] = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def refresh(self) -> None:
        """Update the router after a change of the endpoint list or of the routing."""
        entries = self.registry.entries
        self.addresses = {number: address for number, address in self.addresses.items() if number in entries}
        if self.router is not None:
            ready = [
                (number, entry.destination, self.addresses[number], self.registry.zones.name(entry.zone))
                for number, entry in entries.items()
                if entry.state is EndpointState.READY and number in self.addresses
            ]
            self.router.set_endpoints(ready, self.clock.monotonic_us())

    def destination(self, put: Put) -> int:
        """Return the destination of a message routed by name or path; BadRequest if no route matches."""
        field = "path" if put.path else "to" if put.to else "dest"
        if self.router is None:
            raise BadRequest("dest: must be a whole number")
        try:
            destination = self.router.destination(put.to, put.path, put.cls)
        except ValueError as error:
            raise BadRequest(f"path: {error}") from None
        if destination is None:
            raise BadRequest(f"{field}: no route" if field != "dest" else "dest: must be a whole number")
        return destination

    def affinity(self, m: PendingMessage) -> str:
        """Return the affinity key of a message: messages with the same key prefer the same endpoint."""
        if self.router is None:
            return ""
        tenants = self.config.settings.tenants
        tenant = tenants[m.tenant].name if m.tenant < len(tenants) else ""
        return self.router.affinity(m.dest, tenant, m.key, m.order_key, m.id)

    def metrics(self) -> dict[str, int]:
        """Return the routing metrics by name."""
        return self.router.metrics() if self.router is not None else {}
