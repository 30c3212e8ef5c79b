"""A courier that works, as plain data and open sockets, and a courier that goes on from them.

What is passed on: the decision module with all that it has learnt, the list, clients between two requests,
and calls of whose answer nothing has been read. Messages are in the journal. Times are the monotonic clock's,
which both processes share.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Sequence
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

SERIES = 1  # of what is passed on beside the decision module; another one is not understood
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
LISTING = ("uids", "names", "listed_ever", "ever", "entries", "told", "dests", "waits")  # its fields
log = logging.getLogger(__name__)


def form() -> str:
    """What both processes must have in common for the decision module to go on."""
    return f"{SERIES} {object_graph.form(CLASSES)}"


def ready(host: Host) -> bool:
    """Whether it can be passed on at this instant, between two turns."""
    if host.first is not None:  # it has not begun
        return False
    host.rest()
    return not host.events and not host.calls.unsettled and not any(c.pending for c in host.clients.clients)


def settle(host: Host) -> None:
    """What can't be passed on ends here: answers in their middle count as spoilt, what waits for a failing
    disk is closed. The turn that follows tells the decision module."""
    for call in host.calls.unsettled:
        call.drop()
    host.rest()
    for client in [c for c in host.clients.clients if c.pending]:
        client.close()


def snapshot(host: Host, wanted: str) -> tuple[dict[str, Any], list[Socket]]:
    """All of a host that rests, for a process whose form is `wanted`; nothing of the host changes."""
    message: dict[str, Any] = {
        "series": SERIES,
        "drained": host.drain.on,
        "numbers": host.admission.numbers,
        "waits": host.listing.waits_by_name(),
        "bans": list(host.bans.ids),
        "nodes": None,
        "calls": [],
        "clients": [],
    }
    socks: list[Socket] = []
    if host.clients.sock is not None:
        socks.append(host.clients.sock)
    message["listens"] = len(socks)
    if wanted == form():
        host.courier.state.actions = []
        whole = {
            "courier": host.courier,
            "numbers": host.attempts.numbers,
            "rev": host.watch.rev if isinstance(host.watch, Watch) else 0,
            "pools": {n: pool.address for n, pool in host.calls.pools.items()},
            **{name: getattr(host.listing, name) for name in LISTING},
        }
        state = host.courier.state
        router, state.endpoint_preference = state.endpoint_preference, None  # the next process makes its own
        try:
            message["nodes"] = object_graph.encode(whole, CLASSES)
        except object_graph.UnknownStateError as error:
            log.error("hand-over: messages go by the journal, as over a restart: %s", error)
        finally:
            state.endpoint_preference = router
    if message["nodes"] is not None:
        for call in host.calls.out:
            assert call.connection is not None
            message["calls"].append(host.calls.state(call))
            socks.append(call.connection.sock)
    for client in host.clients.clients:
        message["clients"].append(client.state())
        socks.append(client.sock)
    return message, socks


class TransferredState:
    """What came from the process before: read, and nothing begun with it yet. graph.Unknown if it can't be
    read, which the process before must be told, so that it goes on."""

    def __init__(
        self, message: dict[str, Any], socks: Sequence[Socket], settings: Settings, seed: int
    ) -> None:
        """`seed`: of the random numbers that the decision module goes on with."""
        self.message, self.socks = message, socks
        if message.get("series") != SERIES:
            raise object_graph.UnknownStateError(f"series {message.get('series')!r} of what is passed on")
        self.whole: dict[str, Any] | None = None
        if message["nodes"] is not None:
            self.whole = object_graph.decode(
                message["nodes"], CLASSES, random.Random(f"passed {seed} {message['numbers']}")
            )
            message["nodes"] = None
            if self.whole["courier"].state.settings != settings:
                log.warning("the settings have changed: messages come from the journal, as after a restart")
                self.whole = None
        calls = len(message["calls"])
        if len(socks) != message["listens"] + calls + len(message["clients"]):
            raise object_graph.UnknownStateError("sockets lack")
        self.listen = socks[0] if message["listens"] else None
        self.calls = socks[message["listens"] :][:calls]
        self.clients = socks[message["listens"] + calls :]

    def close(self) -> None:
        """Nothing of it is gone on with."""
        for sock in self.socks:
            sock.close()


def adopt(host: Host, passed: TransferredState) -> int:
    """Go on from there, with a host that has just been made. Returns the port."""
    whole, message = passed.whole, passed.message
    host.bans.ids.update(dict.fromkeys(message.get("bans", ())))  # also those that the disk did not take
    if whole is None:
        for sock in passed.calls:  # what they carry may have run
            sock.close()
        host.begin({(dest, uid): until for dest, uid, until in message["waits"]})
    else:
        _listing(host, whole)
        _decisions(host, whole)
        for sock, each in zip(passed.calls, message["calls"], strict=True):
            host.calls.adopt(sock, each)
        host.attempts.numbers = whole["numbers"]
    host.admission.numbers = max(host.journal.last, message["numbers"])
    if message["drained"]:
        host.drain.begin()
    host.rest()
    host.watch.open()
    for sock, each in zip(passed.clients, message["clients"], strict=True):
        host.clients.adopt(sock, each)
    if passed.listen is None or host.config.listen_fd >= 0:
        if passed.listen is not None:
            passed.listen.close()
        return host.clients.listen(*host.config.listen)
    return host.clients.take(passed.listen)


def _listing(host: Host, whole: dict[str, Any]) -> None:
    for name in LISTING:
        setattr(host.listing, name, whole[name])
    if isinstance(host.watch, Watch):
        host.watch.rev = whole["rev"]
    for number, address in whole["pools"].items():
        if entry := host.listing.entries.get(number):
            host.calls.place(number, address, dest=entry.destination)
    host.routing.configure(host.config.known.get("routing"))
    host.routing.placed(
        (entry, whole["pools"][number])
        for number, entry in host.listing.entries.items()
        if number in whole["pools"]
    )
    host.routing.refresh()


def _decisions(host: Host, whole: dict[str, Any]) -> None:
    """The decision module goes on with its messages, calls and timers. One that the journal does not know is
    over; one that only the journal knows is told as after a restart."""
    courier: DeliveryEngine = whole["courier"]
    host.courier, host.admission.come_back_us = courier, courier.admission.retry_after_us
    courier.state.endpoint_preference = host.routing.router
    for number in [n for n in courier.state.messages if n not in host.journal.held]:
        host.events.append(MessageWithdrawn(number))
    for m in host.journal.held.values():
        if m.status or m.number not in courier.state.messages:
            host.restore(m)
        else:
            host.ends.guard(m)
    for at in courier.state.timers:
        host.loop.call_later(max(0, at - host.clock()) / 1e6 + 5e-5, host.tell, TimerDue(0))
