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
from madderbeam.policy.engine import DeliveryEngine
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
from madderbeam.transport.calls import Calls, Item
from madderbeam.transport.clients import ClientServer
from madderbeam.transport.control import ControlServer
from madderbeam.transport.discovery import Notices, Watch
from madderbeam.transport.local import Feed, ListFile
from madderbeam.transport.reply_handle import ReplyHandle

# Upper bound of consecutive cycles: an attempt that can't be sent takes one, and a message has few attempts.
MOST_TURNS = 50
# Seconds from SIGTERM in a planned restart: new clients are accepted until LISTEN_S, calls may last until
# CALLS_S. At EXIT_S the courier ends its side of all client connections; those that clients have not closed
# GRACE_S later are closed by force.
LISTEN_S, CALLS_S, EXIT_S = 0.5, 3.2, 3.4
GRACE_S = 0.15
# The endpoint list of discovery's agent applies from the first moment of a process. The agent replies at
# once, or not at all while discovery is down: after this time the courier starts with the list last known.
FIRST_S = 0.3
log = logging.getLogger(__name__)


class Host:
    """One courier on the given event loop and ports."""

    first: asyncio.TimerHandle | None = None  # latest start of work; None once work has started
    # The parts of the courier, created in host/composition.py.
    courier: DeliveryEngine
    bans: DisabledEndpoints
    figures: Metrics
    journal: Journal
    listing: EndpointRegistry
    routing: Routing
    notices: Notices | Feed
    watch: Watch | ListFile
    ends: Completions
    attempts: Attempts
    calls: Calls
    admission: Admission
    clients: ClientServer
    drain: Drain
    service: AdminService
    control: ControlServer

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, clock: Callable[[], int]) -> None:
        """`clock` returns the monotonic clock in microseconds."""
        self.loop, self.config, self.s, self.clock = loop, config, config.settings, clock
        self.events: list[Event] = []
        self.scheduled = False
        self.last_turn = -self.s.tick_us
        self.closing_at = 0.0
        self.handed = False  # another process has taken over
        self.alone = False  # the process that took over has died
        self.closed: asyncio.Future[None] = loop.create_future()
        self.fronts: list[ClientListener] = []
        self.rooms: list[Component] = []  # optional components, present where they are configured
        # Called for each restored message; True if a component is responsible for it.
        self.claims: list[Callable[[PendingMessage], bool]] = []
        self.on_list: list[Callable[[], None]] = []  # called after each change of the endpoint list

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay in seconds, unless another process has taken over by then.

        Without a delay it runs after the next poll of sockets, before any timer.
        """

        def act() -> None:
            if not self.handed:
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
        self.scheduled = waits  # holds back the first cycle
        self.begin({})
        if waits:
            self.first = self.loop.call_later(FIRST_S, self._first)
        else:
            self.turn()
        self.watch.open()
        for component in self.rooms:
            component.open()
        port = self.clients.listen(*self.config.listen)
        if self.first is not None:
            self.clients.hold()
        return port

    def _first(self) -> None:
        """Start work, once: run the first dispatch cycle and serve clients."""
        if self.first is not None:
            self.first.cancel()
            self.first = None
            self.clients.go()
            self.turn()

    def begin(self, waits: dict[tuple[int, str], int]) -> None:
        """Load the last known endpoint list, active Retry-After times and the journal's pending messages.

        `waits` maps a destination and an endpoint id ("" for all endpoints) to the end of the time, in
        microseconds of the monotonic clock.
        """
        is_complete = self.listed({**self.config.known, "all": True}, ListUpdateKind.CACHED)
        if not is_complete and isinstance(self.watch, Watch):
            self.watch.rev = 0  # an incremental update would leave out the entries that could not be parsed
        for dest, uid in waits:
            entries = self.listing.told_again(dest, uid, waits[dest, uid])
            self.list_told(ListUpdateKind.DELTA, entries)
        for message in list(self.journal.pending.values()):
            self.restore(message)

    def restore(self, message: PendingMessage) -> None:
        """Take up a message of the journal: send its notice if it is completed, else process it further."""
        if message.status:
            self.ends.notify(message)
            return
        if message.class_index >= len(self.s.classes):  # the settings no longer have its class
            log.error(
                "message %s: unknown class %d, completing it as undeliverable",
                message.id,
                message.class_index,
            )
            self.ends.end(message, "undeliverable", 0)
            return
        if not any(claims(message) for claims in self.claims):
            self.events.append(self.admission.arrival(message, restored=True))
        self.ends.guard(message)

    # Dispatch cycles

    def tell(self, event: Event) -> None:
        """Queue an event for the next dispatch cycle. Ignored once another process has taken over."""
        if self.handed:
            return
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Schedule a dispatch cycle, after the current input is read and at least one tick after the last."""
        if self.scheduled:
            return
        self.scheduled = True
        early = self.last_turn + self.s.tick_us - self.clock()
        if early <= 0:
            self.loop.call_soon(self.turn)
        else:
            self.loop.call_later(early / 1e6, self.turn)

    def rest(self) -> None:
        """Run until idle at this instant: records are written and all input is decided."""
        for _ in range(MOST_TURNS):
            self.journal.commit()
            if not self.events and not self.admission.arrived:
                return
            self.turn()  # attempts that end within it are events of the next cycle

    def turn(self) -> None:
        """Run one dispatch cycle: pass the queued events to the engine and perform its actions."""
        if self.handed:
            return
        self.scheduled = False
        self.last_turn = now = self.clock()
        events, self.events = self.events, []
        arrived = self.admission.turn()
        try:
            actions: Iterable[Action] = self.courier.handle(now, events)
        except Exception:  # a failed cycle must not end the process; deadline timers still complete messages
            log.exception("the delivery engine failed on %d events", len(events))
            actions = [Fail(number) for number in arrived]
        self.journal.begin()  # one write for all records of this cycle
        try:
            self._carry_out(list(actions), arrived)
        except Exception:
            log.exception("performing the engine's actions failed")
            for _, replies in arrived.values():
                for reply in replies:
                    reply.failed("internal error")
        finally:
            self.journal.commit()

    def _carry_out(
        self, actions: list[Action], arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]]
    ) -> None:
        self.admission.answer(arrived, actions)
        bundles: dict[int, list[Item]] = {}
        for action in actions:
            if isinstance(action, Send):
                self.attempts.send(action, bundles)
            elif isinstance(action, (Reject, Fail)):
                self.ends.final(action)
            elif isinstance(action, SetTimer):
                self.loop.call_later(action.delay_us / 1e6 + 5e-5, self.tell, TimerDue(action.token))
            elif isinstance(action, CloseIdleConnections):
                self.calls.close_idle(action.endpoint)
            elif isinstance(action, CancelAttempt):
                self.calls.cancel(action.message, action.attempt)
            elif isinstance(action, HealthCheck):
                self.calls.probe(action.endpoint)
            elif isinstance(action, Log):
                log.info("%s", action.text)
        self.attempts.flush(bundles)

    # Queries of operators

    def ready(self) -> bool:
        """Whether this process serves clients: it has started, and neither drains nor shuts down."""
        return self.clients.listening and self.first is None and not self.closing_at and not self.drain.on

    def all_figures(self) -> str:
        """Return all metrics as text, one name=value a line."""
        avoided = self.listing.out_by_hand.union(self.courier.ejected_endpoints())
        more = self.routing.figures()
        for component in self.rooms:
            more |= component.figures()
        ejected = sum(number in self.listing.entries for number in avoided)
        return self.figures.lines(
            self.journal.open_count, len(self.listing.entries), ejected, self.journal.damage_count, more
        )

    # The endpoint list

    def apply_operator_change(self, entries: Sequence[EndpointEntry]) -> None:
        """Apply entries that an operator has disabled or enabled."""
        for entry in entries:
            self.calls.close_idle(entry.endpoint)
        self._routed()
        self.list_told(ListUpdateKind.DELTA, entries)

    def told_load(self, endpoint: int, load: dict[str, float]) -> None:
        """Apply the load report of a response: a changed rate is posted as an endpoint list update."""
        if entries := self.listing.told_load(endpoint, load):
            self.list_told(ListUpdateKind.DELTA, entries)

    def listed(self, change: dict[str, Any], form: ListUpdateKind | None = None) -> bool:
        """Apply an endpoint list or a change of it; return False if the complete list should be resent."""
        form = form or (ListUpdateKind.SNAPSHOT if change.get("all") else ListUpdateKind.DELTA)
        self.routing.configure(change.get("routing"))
        parsed = self.listing.read(change)
        entries = [entry for entry, _ in parsed]
        placed = [(entry, address) for entry, address in parsed if address is not None]
        self.routing.placed(placed)
        for entry, address in placed:
            self.calls.place(
                entry.endpoint, address, self.listing.topics.get(entry.endpoint, ""), entry.destination
            )
        if form is not ListUpdateKind.DELTA:
            entries += self.listing.kept(change, entries)
            for number in self.listing.unnamed(entries):
                self.gone(number)
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.gone(entry.endpoint)
            elif entry.state is EndpointState.DRAINING:
                self.calls.close_idle(entry.endpoint)
        self.list_changed(entries, form)
        if form is not ListUpdateKind.CACHED:
            self._first()
        return not self.listing.puzzled

    def list_changed(
        self, entries: Iterable[EndpointEntry], form: ListUpdateKind = ListUpdateKind.DELTA
    ) -> None:
        """Pass changed entries of the registry on to routing, the engine and the listeners of the list."""
        self._routed()
        self.list_told(form, entries)
        for notify in self.on_list:
            notify()

    def list_told(self, form: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """Post an endpoint list update for the engine, with each entry as the engine is to see it."""
        self.tell(EndpointListUpdate(form, tuple(map(self.listing.shown, entries))))

    def told_wait(self, endpoint: int, wait_us: int) -> None:
        """Apply the Retry-After in the headers of a response.

        The engine learns of it whatever becomes of the response: otherwise attempts that it sends meanwhile
        would be stopped before they are written, and messages would lose these attempts.
        """
        if affected := self.listing.told_wait(endpoint, wait_us):
            self.list_told(ListUpdateKind.DELTA, affected)

    def _routed(self) -> None:
        """Have the engine use the routing pools as they are now."""
        self.routing.refresh()
        self.courier.state.endpoint_preference = self.routing.router

    def gone(self, endpoint: int) -> None:
        """Remove an endpoint that is no longer listed, with its connections."""
        self.listing.forget(endpoint)
        self.calls.forget(endpoint)

    def look(self) -> None:
        """Read the files again that belong to this courier; they may have changed."""
        self.watch.open()
        for component in self.rooms:
            component.look()

    def move(self, discovery: Address) -> None:
        """Use discovery at another address, for the endpoint list and for notices."""
        if isinstance(self.watch, Watch) and discovery != self.watch.address:
            log.info("discovery has moved to %s:%d", *discovery)
            self.watch.move(discovery)
            self.notices.move(discovery)

    # Shutdown

    def let_go(self) -> None:
        """Stop all work because another process has taken over; nothing is sent or written any more."""
        self.handed = self.service.over = True
        self.ends.close()
        self._release()

    def terminate(self) -> None:
        """Begin a planned shutdown.

        Clients that still connect are served; messages that are not completed stay in the journal.
        """
        if self.handed:
            self._exit()
        if self.closing_at or self.handed:
            return
        now = self.loop.time()
        self.closing_at = now + EXIT_S
        self.tell(ShutdownStarted(self.clock() + int(CALLS_S * 1e6)))
        for component in self.rooms:
            component.leave()
        self.loop.call_later(LISTEN_S, self._stop_clients)
        self.loop.call_later(EXIT_S, self._leave)

    def _leave(self) -> None:
        """Send the pending replies to clients, count the responses of endpoints, and end client connections.

        Runs at the shutdown deadline. Each request that was sent gets its reply, also where records are
        written slowly and more requests arrive meanwhile. SIGKILL may come during this.
        """
        for _ in range(MOST_TURNS):
            for listener in self.fronts:
                listener.let_go()
            has_input = any([self.calls.look(), *(listener.look() for listener in self.fronts)])
            self.rest()  # last in the loop: everything that was read has been replied to
            if not has_input:
                break
        for item in self.calls.give_up_unsent():
            self.journal.attempt_not_executed(item.number)
        self.journal.commit()
        for listener in self.fronts:
            listener.end()
        self._part(self.loop.time() + GRACE_S)

    def _part(self, until: float) -> None:
        """Wait until `until` for clients to read their replies and to close their side, then exit.

        Closing a socket with unread input would discard the replies that the system has not sent yet.
        """
        if self.loop.time() >= until or all(listener.over for listener in self.fronts):
            self._exit()
        else:
            self.loop.call_later(0.02, self._part, until)

    def _stop_clients(self) -> None:
        for listener in self.fronts:
            listener.last_call()
            listener.let_go()
        if not all(listener.over for listener in self.fronts):
            self.loop.call_later(0.02, self._stop_clients)
        self.maybe_exit()

    def accepted(self, numbers: list[int]) -> None:
        """Record that the notices of these messages were accepted."""
        self.ends.accepted(numbers)
        self.journal.complete_all(numbers)
        self.maybe_exit()

    def maybe_exit(self) -> None:
        """Exit before the shutdown deadline if no message, call or client is left."""
        # A message that still waits may be sent until the time at which the last call must have started.
        is_idle = (
            not self.calls.out and not self.journal.pending and not self.events and not self.admission.arrived
        )
        if self.closing_at and is_idle and all(listener.over for listener in self.fronts):
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def close(self) -> None:
        """Release all resources at once; pending messages are already in the journal."""
        self.control.close()
        self._release()

    def _release(self) -> None:
        if self.first is not None:
            self.first.cancel()
            self.first = None
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        for listener in self.fronts:
            listener.close()
        for component in self.rooms:
            component.close()
        self.journal.close()
