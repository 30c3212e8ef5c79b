"""Assembles a courier: the parts that each one has, then the optional components that are configured."""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable

from madderbeam.config.platform import Config, dialed_address, parse_address
from madderbeam.host.admin_service import AdminService, Drain
from madderbeam.host.admission import Admission
from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.disabled_endpoints import RESERVED_BYTES, DisabledEndpoints
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.engine_trace import TracedEngine
from madderbeam.host.environment import create_environment
from madderbeam.host.host import Host
from madderbeam.host.metrics import Metrics
from madderbeam.host.routing import Routing
from madderbeam.journal.journal import Journal
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.ports import Ports
from madderbeam.transport.buffer_budget import MEMORY_SHARE, BufferBudget
from madderbeam.transport.calls import Calls, Hooks
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import ControlServer
from madderbeam.transport.descriptors import Sparing

IDLE_SHARE = 0.2  # of the limit on open files, for idle connections to endpoints; see also CLIENT_SHARE
# Components by the field of the configuration that enables them; a module is imported, and its
# `join(host, ports)` called, only if the field is set.
COMPONENT_MODULES = {
    "quota": "madderbeam.host.quota",
    "kafka": "madderbeam.host.kafka",
    "federation": "madderbeam.host.federation.component",
    "changes": "madderbeam.host.changes.component",
    "standby": "madderbeam.host.standby.primary",
}
# Where changes are enabled, the configuration that was last active replaces the one from the file.
ACTIVE_CONFIG_MODULE = "madderbeam.host.changes.config_snapshot"


def assemble(
    loop: asyncio.AbstractEventLoop,
    ports: Ports,
    config: Config,
    control: ControlServer | None = None,
    trace: Callable[[str], None] | None = None,
) -> Host:
    """Assemble one courier on the given event loop and ports, without starting it.

    `control`: the server of the admin address, if the process listens there already. `trace` is called with
    the lines of a trace of all decisions.
    """
    if config.changes is not None:
        config = importlib.import_module(ACTIVE_CONFIG_MODULE).in_force(config, ports)
    settings = config.settings
    host = Host(loop, config, ports.clock.monotonic_us)
    host.courier = (
        TracedEngine(settings, config.seed, trace) if trace else DeliveryEngine(settings, config.seed)
    )
    _create_state(host, ports)
    network = Sparing(ports.network, lambda: host.clients.make_room() or host.calls.spare())
    environment = create_environment(
        loop, ports.disk, network, config, host.notices_accepted, host.apply_list
    )
    host.notices, host.watch = environment.notices, environment.watch
    host.completions = Completions(
        loop, host.journal, host.notices, host.post_event, lambda n: host.attempts.forget(n), host.metrics
    )
    host.attempts = Attempts(
        settings,
        host.journal,
        host.registry,
        host.completions,
        host.post_event,
        host.maybe_exit,
        host.metrics,
    )
    hooks = Hooks(
        host.registry.may_write,
        host.attempts.record_start,
        host.attempts.attempt_ended,
        host.apply_retry_after,
        host.attempts.probe_ended,
        host.attempts.late_outcome,
        host.apply_load_report,
        host.registry.is_under_retry_after,
        host.metrics.count_forwarded,
        host.attempts.write_window_s,
    )
    host.calls = Calls(
        loop,
        network,
        hooks,
        settings.connection_idle_us,
        settings.connect_timeout_us,
        int(config.sockets * IDLE_SHARE),
    )
    host.attempts.calls = host.calls
    host.admission = Admission(
        settings,
        host.journal,
        host.registry,
        host.completions,
        host.attempts,
        host.calls.cancel,
        host.post_event,
        host.courier.admission.retry_after_us,
        host.metrics,
        host.routing,
    )
    host.client_buffers = BufferBudget(int(config.memory_bytes * MEMORY_SHARE), loop.time)
    host.clients = ClientServer(
        loop, ports.network, host.admission.submit, environment.client_limits, budget=host.client_buffers
    )
    host.listeners.append(host.clients)
    _create_admin_service(host, control or ControlServer(loop, ports.network))
    for field, module in COMPONENT_MODULES.items():
        if getattr(config, field) is not None:
            importlib.import_module(module).join(host, ports)
    host.listeners += [listener for component in host.components for listener in component.listeners]
    return host


def _create_state(host: Host, ports: Ports) -> None:
    """Create the journal and the registries of the host."""
    config, settings = host.config, host.settings
    max_journal_bytes = config.disk_bytes - (RESERVED_BYTES if config.control else 0)
    host.disabled_endpoints = DisabledEndpoints(ports.disk, config.state)
    host.metrics = Metrics([cls.name for cls in settings.classes])
    journal: Callable[..., Journal] = Journal
    if config.standby is not None:
        journal = importlib.import_module("madderbeam.host.standby.journal").ReplicatedJournal
    host.journal = journal(
        ports.disk,
        ports.clock,
        config.state,
        max_journal_bytes,
        key_retention_s(settings),
        host.schedule,
        bool(config.sidecar and config.sidecar.sync),
    )
    # A sidecar's endpoints may have a hostname as address.
    host.registry = EndpointRegistry(
        settings,
        config.zones,
        host.clock,
        host.disabled_endpoints,
        parse_address if config.sidecar else dialed_address,
    )
    host.routing = Routing(config, host.registry, ports.clock)


def _create_admin_service(host: Host, control: ControlServer) -> None:
    """Create the service of the admin address, for operators."""
    host.drain = Drain(host.clients)
    host.admin_service = AdminService(
        host.registry,
        host.disabled_endpoints,
        host.drain,
        host.is_ready,
        host.metrics_text,
        host.apply_operator_change,
    )
    host.control = control
    control.act = host.admin_service.handle
    control.spare = lambda: host.clients.make_room() or host.calls.spare()


def key_retention_s(settings: Settings) -> float:
    """Return the seconds for which the key of a possibly executed attempt is remembered.

    The key's window alone is too short: a client may submit the key again until the message's deadline, and
    the key would then count as new.
    """
    keyed = [c for c in settings.classes if c.idempotency is Idempotency.WITH_KEY]
    return max((max(c.key_window_us, c.deadline_us) for c in keyed), default=0) / 1e6
