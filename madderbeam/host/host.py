"""The host of the delivery engine: collects events, runs dispatch cycles, performs the actions in order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.host.admin_service import AdminService, Drain
from madderbeam.host.admission import Admission
from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.components import ClientListener, Component
from madderbeam.host.disabled_endpoints import DisabledEndpoints
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.metrics import Metrics
from madderbeam.host.routing import Routing
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SetTimer,
)
from madderbeam.policy.engine import RETRY_AFTER_ROUNDING_US, DeliveryEngine
from madderbeam.policy.events import (
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    ListUpdateKind,
    ShutdownStarted,
    TimerDue,
)
from madderbeam.ports import Address
from madderbeam.transport.buffer_budget import BufferBudget
from madderbeam.transport.calls import Calls, Item
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import ControlServer
from madderbeam.transport.discovery import Notices, Watch
from madderbeam.transport.local import Feed, ListFile
from madderbeam.transport.reply_handle import ReplyHandle

# Upper bound of consecutive cycles: an attempt that can't be sent takes one, and a message has few attempts.
MAX_CYCLES = 50
# Seconds from SIGTERM in a planned restart: new clients are accepted until LISTEN_S, calls may last until
# CALLS_S. At EXIT_S the courier ends its side of all client connections; those that clients have not closed
# GRACE_S later are closed by force.
ACCEPT_UNTIL_S, CALLS_UNTIL_S, CLIENTS_UNTIL_S = 0.5, 3.2, 3.4
CLIENT_GRACE_S = 0.15
# The endpoint list of discovery's agent applies from the first moment of a process. The agent replies at
# once, or not at all while discovery is down: after this time the courier starts with the list last known.
MAX_LIST_WAIT_S = 0.3
log = logging.getLogger(__name__)


class Host:
    """One courier on the given event loop and ports."""

    start_timer: asyncio.TimerHandle | None = None  # latest start of work; None once work has started
    # The parts of the courier, created in host/composition.py.
    courier: DeliveryEngine
    disabled_endpoints: DisabledEndpoints
    metrics: Metrics
    journal: Journal
    registry: EndpointRegistry
    routing: Routing
    notices: Notices | Feed
    watch: Watch | ListFile
    completions: Completions
    attempts: Attempts
    calls: Calls
    admission: Admission
    clients: ClientServer
    client_buffers: BufferBudget
    drain: Drain
    admin_service: AdminService
    control: ControlServer

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, clock: Callable[[], int]) -> None:
        """`clock` returns the monotonic clock in microseconds."""
        self.loop, self.config, self.settings, self.clock = loop, config, config.settings, clock
        self.events: list[Event] = []
        self.is_cycle_scheduled = False
        self.last_cycle_at_us = -self.settings.tick_us
        self.shutdown_deadline = 0.0
        self.is_handed_over = False  # another process has taken over
        self.successor_died = False  # the process that took over has died
        self.closed: asyncio.Future[None] = loop.create_future()
        self.listeners: list[ClientListener] = []
        self.components: list[Component] = []  # optional components, present if they are configured
        # Called for each restored message; True if a component is responsible for it.
        self.restore_handlers: list[Callable[[PendingMessage], bool]] = []
        self.list_listeners: list[Callable[[], None]] = []  # called after each change of the endpoint list

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay in seconds, unless another process has taken over by then.

        Without a delay it runs after the next poll of sockets, before any timer.
        """

        def act() -> None:
            if not self.is_handed_over:
                action()

        if seconds:
            self.loop.call_later(seconds, act)
        else:
            self.loop.call_soon(act)

    def start(self) -> int:
        """Restore the state and listen for clients; return the port.

        The first dispatch cycle, in which restored messages may be sent, waits for the current endpoint list.
        So do clients: a PING is answered only from then on.
        """
        if self.config.control and self.control.sock is None:
            self.control.listen(self.config.control)
        waits = isinstance(self.watch, Watch)
        self.is_cycle_scheduled = waits  # holds back the first cycle
        self.load_state({})
        if waits:
            self.start_timer = self.loop.call_later(MAX_LIST_WAIT_S, self._start_work)
        else:
            self.run_cycle()
        self.watch.open()
        for component in self.components:
            component.open()
        port = self.clients.listen(*self.config.listen)
        if self.start_timer is not None:
            self.clients.hold()
        return port

    def _start_work(self) -> None:
        """Start work, once: run the first dispatch cycle and serve clients."""
        if self.start_timer is not None:
            self.start_timer.cancel()
            self.start_timer = None
            self.clients.go()
            self.run_cycle()

    def load_state(self, retry_after: dict[tuple[int, str], int]) -> None:
        """Load the last known endpoint list, active Retry-After times and the journal's pending messages.

        `retry_after` maps a destination and an endpoint id ("" for all endpoints) to the end of the time, in
        microseconds of the monotonic clock.
        """
        is_complete = self.apply_list({**self.config.known, "all": True}, ListUpdateKind.CACHED)
        if not is_complete and isinstance(self.watch, Watch):
            self.watch.rev = 0  # an incremental update would leave out the entries that could not be parsed
        for dest, uid in retry_after:
            entries = self.registry.adopt_retry_after(dest, uid, retry_after[dest, uid])
            self.post_list_update(ListUpdateKind.DELTA, entries)
        for message in list(self.journal.pending.values()):
            self.restore_message(message)

    def restore_message(self, message: PendingMessage) -> None:
        """Take up a message of the journal: send its notice if it is completed, else process it further."""
        if message.status:
            self.completions.notify(message)
            return
        if message.class_index >= len(self.settings.classes):  # the settings no longer have its class
            log.error(
                "message %s: unknown class %d, completing it as undeliverable",
                message.id,
                message.class_index,
            )
            self.completions.complete(message, "undeliverable", 0)
            return
        if self.journal.wall() >= message.deadline_s:
            # The process before may have reported this already: without a record, if the disk was full.
            self.completions.complete(message, "undeliverable", 0)
            return
        if not any(claims(message) for claims in self.restore_handlers):
            self.events.append(self.admission.arrival_event(message, restored=True))
        self.completions.start_deadline_timer(message)

    # Dispatch cycles

    def post_event(self, event: Event) -> None:
        """Queue an event for the next dispatch cycle. Ignored once another process has taken over."""
        if self.is_handed_over:
            return
        self.events.append(event)
        self.schedule_cycle()

    def schedule_cycle(self) -> None:
        """Schedule a dispatch cycle, after the current input is read and at least one tick after the last."""
        if self.is_cycle_scheduled:
            return
        self.is_cycle_scheduled = True
        early = self.last_cycle_at_us + self.settings.tick_us - self.clock()
        if early <= 0:
            self.loop.call_soon(self.run_cycle)
        else:
            self.loop.call_later(early / 1e6, self.run_cycle)

    def run_until_idle(self) -> None:
        """Run until idle at this instant: records are written and all input is decided."""
        for _ in range(MAX_CYCLES):
            self.journal.commit()
            if not self.events and not self.admission.arrived:
                return
            self.run_cycle()  # attempts that end within it are events of the next cycle

    def run_cycle(self) -> None:
        """Run one dispatch cycle: pass the queued events to the engine and perform its actions."""
        if self.is_handed_over:
            return
        self.is_cycle_scheduled = False
        self.last_cycle_at_us = now = self.clock()
        events, self.events = self.events, []
        arrived = self.admission.take_arrived()
        try:
            actions: Iterable[Action] = self.courier.handle(now, events)
        except Exception:  # a failed cycle must not end the process; deadline timers still complete messages
            log.exception("the delivery engine failed on %d events", len(events))
            actions = [Fail(number) for number in arrived]
        self.journal.begin()  # one write for all records of this cycle
        try:
            self._perform(list(actions), arrived)
        except Exception:
            log.exception("performing the engine's actions failed")
            for _, replies in arrived.values():
                for reply in replies:
                    reply.failed("internal error")
        finally:
            self.journal.commit()

    def _perform(
        self, actions: list[Action], arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]]
    ) -> None:
        self.admission.apply_decisions(arrived, actions)
        bundles: dict[int, list[Item]] = {}
        for action in actions:
            if isinstance(action, Send):
                self.attempts.send(action, bundles)
            elif isinstance(action, (Reject, Fail)):
                self.completions.complete_by_decision(action)
            elif isinstance(action, SetTimer):
                self.loop.call_later(action.delay_us / 1e6 + 5e-5, self.post_event, TimerDue(action.token))
            elif isinstance(action, CloseIdleConnections):
                self.calls.close_idle(action.endpoint)
            elif isinstance(action, CancelAttempt):
                self.calls.cancel(action.message, action.attempt)
            elif isinstance(action, HealthCheck):
                self.calls.probe(action.endpoint)
            elif isinstance(action, Log):
                log.info("%s", action.text)
        self.attempts.send_bundles(bundles)

    # Queries of operators

    def is_ready(self) -> bool:
        """Whether this process serves clients: it has started, and neither drains nor shuts down."""
        return (
            self.clients.listening
            and self.start_timer is None
            and not self.shutdown_deadline
            and not self.drain.is_active
        )

    def metrics_text(self) -> str:
        """Return all metrics as text, one name=value a line."""
        avoided = self.registry.disabled_numbers.union(self.courier.ejected_endpoints())
        more = self.routing.metrics() | self.calls.counters.metrics() | self.client_buffers.metrics()
        if isinstance(self.notices, Notices):
            more["responses.discovery_unsolicited"] = self.notices.unsolicited
        for component in self.components:
            more |= component.metrics()
        ejected = sum(number in self.registry.entries for number in avoided)
        return self.metrics.render(
            self.journal.open_count, len(self.registry.entries), ejected, self.journal.damage_count, more
        )

    # The endpoint list

    def apply_operator_change(self, entries: Sequence[EndpointEntry]) -> None:
        """Apply entries that an operator has disabled or enabled."""
        for entry in entries:
            self.calls.close_idle(entry.endpoint)
        self._refresh_routing()
        self.post_list_update(ListUpdateKind.DELTA, entries)

    def apply_load_report(self, endpoint: int, load: dict[str, float]) -> None:
        """Apply the load report of a response: a changed rate is posted as an endpoint list update."""
        if entries := self.registry.apply_load_report(endpoint, load):
            self.post_list_update(ListUpdateKind.DELTA, entries)

    def apply_list(self, change: dict[str, Any], form: ListUpdateKind | None = None) -> bool:
        """Apply an endpoint list or a change of it; return False if the complete list should be resent."""
        form = form or (ListUpdateKind.SNAPSHOT if change.get("all") else ListUpdateKind.DELTA)
        self.routing.configure(change.get("routing"))
        parsed = self.registry.apply(change)
        entries = [entry for entry, _ in parsed]
        placed = [(entry, address) for entry, address in parsed if address is not None]
        self.routing.set_addresses(placed)
        for entry, address in placed:
            self.calls.place(
                entry.endpoint, address, self.registry.topics.get(entry.endpoint, ""), entry.destination
            )
        for number in self.registry.replaced:
            self.calls.close_idle(number)  # those connections were the earlier process's
        if form is not ListUpdateKind.DELTA:
            entries += self.registry.unchanged_entries(change, entries)
            for number in self.registry.unlisted(entries):
                self.remove_endpoint(number)
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.remove_endpoint(entry.endpoint)
            elif entry.state is EndpointState.DRAINING:
                self.calls.close_idle(entry.endpoint)
        self.entries_changed(entries, form)
        if form is not ListUpdateKind.CACHED:
            self._start_work()
        return not self.registry.has_new_malformed

    def entries_changed(
        self, entries: Iterable[EndpointEntry], form: ListUpdateKind = ListUpdateKind.DELTA
    ) -> None:
        """Pass changed entries of the registry on to routing, the engine and the listeners of the list."""
        self._refresh_routing()
        self.post_list_update(form, entries)
        for notify in self.list_listeners:
            notify()

    def post_list_update(self, form: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """Post an endpoint list update for the engine, with each entry as the engine is to see it."""
        self.post_event(EndpointListUpdate(form, tuple(map(self.registry.as_shown_to_engine, entries))))

    def apply_retry_after(self, endpoint: int, wait_us: int) -> None:
        """Apply the Retry-After in the headers of a response.

        The engine learns of it whatever becomes of the response: otherwise attempts that it sends meanwhile
        would be stopped before they are written, and messages would lose these attempts.
        """
        if affected := self.registry.apply_retry_after(endpoint, wait_us + RETRY_AFTER_ROUNDING_US):
            self.post_list_update(ListUpdateKind.DELTA, affected)

    def _refresh_routing(self) -> None:
        """Have the engine use the routing pools as they are now."""
        self.routing.refresh()
        self.courier.state.endpoint_preference = self.routing.router

    def remove_endpoint(self, endpoint: int) -> None:
        """Remove an endpoint that is no longer listed, with its connections."""
        self.registry.forget(endpoint)
        self.calls.forget(endpoint)

    def reload_files(self) -> None:
        """Read the files again that belong to this courier; they may have changed."""
        self.watch.open()
        for component in self.components:
            component.reload_files()

    def move_discovery(self, discovery: Address) -> None:
        """Use discovery at another address, for the endpoint list and for notices."""
        if isinstance(self.watch, Watch) and discovery != self.watch.address:
            log.info("discovery has moved to %s:%d", *discovery)
            self.watch.move(discovery)
            self.notices.move(discovery)

    # Shutdown

    def stop_after_handover(self) -> None:
        """Stop all work because another process has taken over; nothing is sent or written any more."""
        self.is_handed_over = self.admin_service.is_handed_over = True
        self.completions.close()
        self._release()

    def terminate(self) -> None:
        """Begin a planned shutdown.

        Clients that still connect are served; messages that are not completed stay in the journal.
        """
        if self.is_handed_over:
            self._exit()
        if self.shutdown_deadline or self.is_handed_over:
            return
        now = self.loop.time()
        self.shutdown_deadline = now + CLIENTS_UNTIL_S
        self.post_event(ShutdownStarted(self.clock() + int(CALLS_UNTIL_S * 1e6)))
        for component in self.components:
            component.begin_shutdown()
        self.loop.call_later(ACCEPT_UNTIL_S, self._stop_clients)
        self.loop.call_later(CLIENTS_UNTIL_S, self._end_clients)

    def _end_clients(self) -> None:
        """Send the pending replies to clients, count the responses of endpoints, and end client connections.

        Runs at the shutdown deadline. Each request that was sent gets its reply, also where records are
        written slowly and more requests arrive meanwhile. SIGKILL may come during this.
        """
        for _ in range(MAX_CYCLES):
            for listener in self.listeners:
                listener.let_go()
            has_input = any([self.calls.look(), *(listener.look() for listener in self.listeners)])
            self.run_until_idle()  # last in the loop: everything that was read has been replied to
            if not has_input:
                break
        for item in self.calls.give_up_unsent():
            self.journal.attempt_not_executed(item.number)
        self.journal.commit()
        for listener in self.listeners:
            listener.end()
        self._wait_for_clients(self.loop.time() + CLIENT_GRACE_S)

    def _wait_for_clients(self, until: float) -> None:
        """Wait until `until` for clients to read their replies and to close their side, then exit.

        Closing a socket with unread input would discard the replies that the system has not sent yet.
        """
        if self.loop.time() >= until or all(listener.over for listener in self.listeners):
            self._exit()
        else:
            self.loop.call_later(0.02, self._wait_for_clients, until)

    def _stop_clients(self) -> None:
        for listener in self.listeners:
            listener.last_call()
            listener.let_go()
        if not all(listener.over for listener in self.listeners):
            self.loop.call_later(0.02, self._stop_clients)
        self.maybe_exit()

    def notices_accepted(self, numbers: list[int]) -> None:
        """Record that the notices of these messages were accepted."""
        self.completions.notices_accepted(numbers)
        self.journal.complete_all(numbers)
        self.maybe_exit()

    def maybe_exit(self) -> None:
        """Exit before the shutdown deadline if no message, call or client is left."""
        # A message that still waits may be sent until the time at which the last call must have started.
        is_idle = (
            not self.calls.out and not self.journal.pending and not self.events and not self.admission.arrived
        )
        if self.shutdown_deadline and is_idle and all(listener.over for listener in self.listeners):
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def close(self) -> None:
        """Release all resources at once; pending messages are already in the journal."""
        self.control.close()
        self._release()

    def _release(self) -> None:
        if self.start_timer is not None:
            self.start_timer.cancel()
            self.start_timer = None
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        for listener in self.listeners:
            listener.close()
        for component in self.components:
            component.close()
        self.journal.close()
