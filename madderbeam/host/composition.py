"""Builds a courier from its parts: the turn's rooms first, then what the configuration has beside them."""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable

from madderbeam.config.platform import Config, dialed_address, parse_address
from madderbeam.host.admin_service import AdminService, Drain
from madderbeam.host.admission import Admission
from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.disabled_endpoints import RESERVED, DisabledEndpoints
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.engine_trace import TracedEngine
from madderbeam.host.environment import surroundings
from madderbeam.host.host import Host
from madderbeam.host.metrics import Metrics
from madderbeam.host.routing import Routing
from madderbeam.journal.journal import Journal
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.ports import Ports
from madderbeam.transport.calls import Calls, Hooks
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import ControlServer
from madderbeam.transport.descriptors import Sparing

IDLE_SHARE = 0.2  # of the limit on open files is for idle connections; see also surroundings.CLIENT_SHARE
# What joins where the configuration has the field; each module's `join(host, ports)` is loaded only then.
ROOMS = {
    "quota": "madderbeam.host.quota",
    "kafka": "madderbeam.host.kafka",
    "federation": "madderbeam.host.federation.component",
    "changes": "madderbeam.host.changes.component",
    "standby": "madderbeam.host.standby.primary",
}
IN_FORCE = "madderbeam.host.changes.reading"  # where changes are on: what was last in force counts


def assemble(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    config: Config,
    control: ControlServer | None = None,
    trace: Callable[[str], None] | None = None,
) -> Host:
    """One courier, on whatever loop and ports it is given; not started.

    `control`: the second address, if the process listens there already. `trace` gets all decisions.
    """
    if config.changes is not None:
        config = importlib.import_module(IN_FORCE).in_force(config, ports)
    s = config.settings
    host = Host(loop, config, ports.clock.monotonic_us)
    host.courier = TracedEngine(s, config.seed, trace) if trace else DeliveryEngine(s, config.seed)
    _state(host, ports)
    network = Sparing(ports.network, lambda: host.clients.make_room() or host.calls.spare())
    around = surroundings(loop, ports.disk, network, config, host.accepted, host.listed)
    host.notices, host.watch = around.notices, around.watch
    host.ends = Completions(
        loop, host.journal, host.notices, host.tell, lambda n: host.attempts.forget(n), host.figures
    )
    host.attempts = Attempts(
        s, host.journal, host.listing, host.ends, host.tell, host.maybe_exit, host.figures
    )
    hooks = Hooks(
        host.listing.may_write,
        host.attempts.begin,
        host.attempts.ended,
        host.told_wait,
        host.attempts.probed,
        host.attempts.late,
        host.told_load,
        host.listing.waited,
        host.figures.forwarded,
        host.attempts.write_s,
    )
    host.calls = Calls(
        loop, network, hooks, s.connection_idle_us, s.connect_timeout_us, int(config.sockets * IDLE_SHARE)
    )
    host.attempts.calls = host.calls
    host.admission = Admission(
        s,
        host.journal,
        host.listing,
        host.ends,
        host.attempts,
        host.calls.cancel,
        host.tell,
        host.courier.admission.retry_after_us,
        host.figures,
        host.routing,
    )
    host.clients = ClientServer(loop, ports.network, host.admission.put, around.places)
    host.fronts.append(host.clients)
    _served(host, control or ControlServer(loop, ports.network))
    for field, module in ROOMS.items():
        if getattr(config, field) is not None:
            importlib.import_module(module).join(host, ports)
    host.fronts += [front for room in host.rooms for front in room.fronts]
    return host


def _state(host: Host, ports: Ports) -> None:
    """What is known and kept."""
    config, s = host.config, host.s
    room = config.disk_bytes - (RESERVED if config.control else 0)
    host.bans = DisabledEndpoints(ports.disk, config.state)
    host.figures = Metrics([c.name for c in s.classes])
    journal: Callable[..., Journal] = Journal
    if config.standby is not None:
        journal = importlib.import_module("madderbeam.host.standby.journal").ReplicatedJournal
    host.journal = journal(
        ports.disk,
        ports.clock,
        config.state,
        room,
        remembered_s(s),
        host.later,
        bool(config.sidecar and config.sidecar.sync),
    )
    # Beside one program an endpoint may stand there by its name.
    host.listing = EndpointRegistry(
        s, config.zones, host.clock, host.bans, parse_address if config.sidecar else dialed_address
    )
    host.routing = Routing(config, host.listing, ports.clock)


def _served(host: Host, control: ControlServer) -> None:
    """The second address, for those who run the courier."""
    host.drain = Drain(host.clients)
    host.service = AdminService(
        host.listing, host.bans, host.drain, host.ready, host.all_figures, host.relist
    )
    host.control = control
    control.act = host.service.act
    control.spare = lambda: host.clients.make_room() or host.calls.spare()


def remembered_s(settings: Settings) -> float:
    """Seconds for which an idempotency key that may have run is remembered: its window alone is too short,
    since a client may hand the key in again until the message's time is up, and would find it new."""
    keyed = [c for c in settings.classes if c.idempotency is Idempotency.WITH_KEY]
    return max((max(c.key_window_us, c.deadline_us) for c in keyed), default=0) / 1e6
