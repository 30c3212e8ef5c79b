"""Transfer of a running courier to another process, as plain data and open sockets.

Transferred are the engine with all its state, the endpoint list, clients between two requests, and calls
whose response has not begun. Messages are in the journal. Times are those of the monotonic clock, which both
processes share.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable, Sequence
from typing import Any

from madderbeam.host import object_graph
from madderbeam.host.host import Host
from madderbeam.policy.admission import Admission, QuotaBucket
from madderbeam.policy.circuit_breaker import CircuitBreakers
from madderbeam.policy.completion import MessageCompleter
from madderbeam.policy.connection_reuse import ConnectionReuse
from madderbeam.policy.dispatch import Dispatcher
from madderbeam.policy.eligibility import Eligibility
from madderbeam.policy.endpoint_list import EndpointList
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import EndpointEntry, EndpointState, MessageWithdrawn, TimerDue
from madderbeam.policy.outlier_detection import OutlierDetector
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.retries import RetryPolicy
from madderbeam.policy.selection import Selector
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings, Tenant
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import (
    Call,
    CircuitBreaker,
    Destination,
    Endpoint,
    Message,
    RateLimitScope,
)
from madderbeam.policy.timeouts import TimeoutEstimator
from madderbeam.ports import Socket
from madderbeam.transport.discovery import Watch

FORMAT_VERSION = 1  # of what is transferred besides the engine; a process accepts no other version
CLASSES: tuple[type, ...] = (
    DeliveryEngine,
    EngineState,
    RatePacer,
    TimeoutEstimator,
    ConnectionReuse,
    SlowStart,
    CircuitBreakers,
    OutlierDetector,
    MessageCompleter,
    RetryPolicy,
    Admission,
    QuotaBucket,
    EndpointList,
    Eligibility,
    Selector,
    Dispatcher,
    Message,
    CircuitBreaker,
    Endpoint,
    RateLimitScope,
    Destination,
    Call,
    Settings,
    MessageClass,
    Tenant,
    DestinationKind,
    EndpointEntry,
    EndpointState,
    Idempotency,
)
# Fields of EndpointRegistry that are transferred under these names.
REGISTRY_FIELDS = ("uids", "names", "listed_ever", "ever", "entries", "told", "dests", "waits")
log = logging.getLogger(__name__)


def state_version() -> str:
    """Return the version of the engine's state; an engine is transferred only between equal versions."""
    return f"{FORMAT_VERSION} {object_graph.classes_digest(CLASSES)}"


def is_ready(host: Host) -> bool:
    """Whether the host can be transferred at this instant, between two dispatch cycles."""
    if host.start_timer is not None:  # it has not started work
        return False
    host.run_until_idle()
    return (
        not host.events
        and not host.calls.unsettled
        and not any(client.pending for client in host.clients.clients)
    )


def end_untransferable(host: Host) -> None:
    """End what can't be transferred.

    Calls whose response has begun count as invalid responses; clients whose request waits for a failing disk
    are closed. The dispatch cycle that follows reports this to the engine.
    """
    for call in host.calls.unsettled:
        call.drop()
    host.run_until_idle()
    for client in [client for client in host.clients.clients if client.pending]:
        client.close()


def snapshot(host: Host, wanted: str) -> tuple[dict[str, Any], list[Socket]]:
    """Return the state and the sockets of an idle host, for a process whose `state_version` is `wanted`.

    The engine, calls and endpoint list are included only if the versions are equal. The host does not change.
    """
    message: dict[str, Any] = {
        "series": FORMAT_VERSION,
        "drained": host.drain.is_active,
        "numbers": host.admission.last_number,
        "waits": host.registry.active_retry_after(),
        "bans": list(host.disabled_endpoints.ids),
        "starts": host.registry.address_owners.state(),
        "unrecorded": host.completions.unrecorded_outcomes(),
        "nodes": None,
        "calls": [],
        "clients": [],
    }
    sockets: list[Socket] = []
    if host.clients.sock is not None:
        sockets.append(host.clients.sock)
    message["listens"] = len(sockets)
    if wanted == state_version():
        host.courier.state.actions = []
        transferred = {
            "courier": host.courier,
            "numbers": host.attempts.next_numbers,
            "zones": (host.registry.zones.names, host.registry.zones.numbers),
            "rev": host.watch.rev if isinstance(host.watch, Watch) else 0,
            "pools": {number: pool.address for number, pool in host.calls.pools.items()},
            **{name: getattr(host.registry, name) for name in REGISTRY_FIELDS},
        }
        state = host.courier.state
        router, state.endpoint_preference = state.endpoint_preference, None  # not transferred
        try:
            message["nodes"] = object_graph.encode(transferred, CLASSES)
        except object_graph.UnknownStateError as error:
            log.error("upgrade: engine not transferable, messages are restored from the journal: %s", error)
        finally:
            state.endpoint_preference = router
    if message["nodes"] is not None:
        for call in host.calls.out:
            assert call.connection is not None
            message["calls"].append(host.calls.state(call))
            sockets.append(call.connection.sock)
    for client in host.clients.clients:
        message["clients"].append(client.state())
        sockets.append(client.sock)
    return message, sockets


class TransferredState:
    """The state from another process, decoded but not in use yet.

    UnknownStateError if it can't be decoded; the other process must then be notified, so that it continues.
    """

    def __init__(
        self,
        message: dict[str, Any],
        sockets: Sequence[Socket],
        settings: Settings,
        zones: tuple[str, ...],
        seed: int,
    ) -> None:
        """`zones`: those of the settings. `seed` seeds the random numbers that the engine continues with."""
        self.message, self.sockets = message, sockets
        if message.get("series") != FORMAT_VERSION:
            raise object_graph.UnknownStateError(f"series {message.get('series')!r} of what is passed on")
        self.state: dict[str, Any] | None = None
        if message["nodes"] is not None:
            self.state = object_graph.decode(
                message["nodes"], CLASSES, random.Random(f"passed {seed} {message['numbers']}")
            )
            message["nodes"] = None
            zone_names, _ = self.state["zones"]
            has_same_zones = tuple(zone_names[: len(zones)]) == zones
            if self.state["courier"].state.settings != settings or not has_same_zones:
                log.warning("upgrade: the settings have changed; messages are restored from the journal")
                self.state = None
        calls = len(message["calls"])
        if len(sockets) != message["listens"] + calls + len(message["clients"]):
            raise object_graph.UnknownStateError("sockets lack")
        self.listen = sockets[0] if message["listens"] else None
        self.calls = sockets[message["listens"] :][:calls]
        self.clients = sockets[message["listens"] + calls :]

    def close(self) -> None:
        """Close the transferred sockets, because the state is not used."""
        for sock in self.sockets:
            sock.close()


def adopt(host: Host, transferred: TransferredState) -> int:
    """Continue from the transferred state with a newly created host; return the port."""
    state, message = transferred.state, transferred.message
    if "bans" in message:
        host.disabled_endpoints.adopt(message["bans"])
    if state is None:
        for sock in transferred.calls:  # their messages are possibly executed
            sock.close()
        host.load_state({(dest, uid): until for dest, uid, until in message["waits"]})
    else:
        _restore_registry(host, state)
        _restore_engine(host, state, message.get("unrecorded", ()))
        for sock, call in zip(transferred.calls, message["calls"], strict=True):
            host.calls.adopt(sock, call)
        host.attempts.next_numbers = state["numbers"]
        host.registry.address_owners.restore(message.get("starts", ()))
    host.admission.last_number = max(host.journal.last_number, message["numbers"])
    if message["drained"]:
        host.drain.begin()
    host.run_until_idle()
    host.watch.open()
    for sock, client in zip(transferred.clients, message["clients"], strict=True):
        host.clients.adopt(sock, client)
    if transferred.listen is None or host.config.listen_fd >= 0:
        if transferred.listen is not None:
            transferred.listen.close()
        return host.clients.listen(*host.config.listen)
    return host.clients.take(transferred.listen)


def _restore_registry(host: Host, state: dict[str, Any]) -> None:
    for name in REGISTRY_FIELDS:
        setattr(host.registry, name, state[name])
    host.registry.zones.names, host.registry.zones.numbers = state["zones"]
    if isinstance(host.watch, Watch):
        host.watch.rev = state["rev"]
    for number, address in state["pools"].items():
        if entry := host.registry.entries.get(number):
            host.calls.place(number, address, dest=entry.destination)
    host.routing.configure(host.config.known.get("routing"))
    host.routing.set_addresses(
        (entry, state["pools"][number])
        for number, entry in host.registry.entries.items()
        if number in state["pools"]
    )
    host.routing.refresh()


def _restore_engine(host: Host, state: dict[str, Any], unrecorded: Iterable[tuple[int, str, int]]) -> None:
    """Continue with the transferred engine, its messages, calls and timers.

    A message that the journal lacks is completed; one that only the journal has is restored as after a
    restart, unless its outcome is among the `unrecorded`.
    """
    outcomes = {number: (status, retry_after_ms) for number, status, retry_after_ms in unrecorded}
    courier: DeliveryEngine = state["courier"]
    host.courier, host.admission.retry_after_us = courier, courier.admission.retry_after_us
    courier.state.endpoint_preference = host.routing.router
    for number in [number for number in courier.state.messages if number not in host.journal.pending]:
        host.events.append(MessageWithdrawn(number))
    for message in list(host.journal.pending.values()):
        if not message.status and message.number in outcomes:
            host.completions.complete(message, *outcomes[message.number])
        elif message.status or message.number not in courier.state.messages:
            host.restore_message(message)
        else:
            host.completions.start_deadline_timer(message)
    for due_us in courier.state.timers:
        host.loop.call_later(max(0, due_us - host.clock()) / 1e6 + 5e-5, host.post_event, TimerDue(0))
