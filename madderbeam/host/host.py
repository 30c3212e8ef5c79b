"""The turn: gathers events, lets the decision module act on them, carries its actions out in order."""

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

MOST_TURNS = 50  # in one go; an attempt that can't be made is one, and a message has few
# A planned restart, in seconds from SIGTERM: new clients come until LISTEN_S, calls may last until CALLS_S.
# At EXIT_S all connections of clients are shut; those that they have not ended GRACE_S later are closed.
LISTEN_S, CALLS_S, EXIT_S = 0.5, 3.2, 3.4
GRACE_S = 0.15
# What discovery's agent has counts as told from a process's first moment. It answers at once, or is silent
# while discovery is down: then the list as it was last known has to do.
FIRST_S = 0.3
log = logging.getLogger(__name__)


class Host:
    """One courier, on whatever loop and ports it is given."""

    first: asyncio.TimerHandle | None = None  # at the latest then work begins
    # Its rooms, which the assembly makes (host/composition.py).
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
        """`clock`: the monotonic clock, in microseconds."""
        self.loop, self.config, self.s, self.clock = loop, config, config.settings, clock
        self.events: list[Event] = []
        self.scheduled = False
        self.last_turn = -self.s.tick_us
        self.closing_at = 0.0
        self.handed = False  # another process has charge of everything
        self.alone = False  # and that one has died
        self.closed: asyncio.Future[None] = loop.create_future()
        self.fronts: list[ClientListener] = []
        self.rooms: list[Component] = []  # what the configuration has beside
        # Asked for each message that is restored: whether a room takes charge of it.
        self.claims: list[Callable[[PendingMessage], bool]] = []
        self.on_list: list[Callable[[], None]] = []  # called when the list has changed

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """What has no time is done with the next look at sockets, before any timer."""

        def act() -> None:
            if not self.handed:
                action()

        if seconds:
            self.loop.call_later(seconds, act)
        else:
            self.loop.call_soon(act)

    def start(self) -> int:
        """Restore and listen; returns the port. The first turn, in which what was restored may be sent, waits
        for the list as it is now, and so do clients: a PING is answered from there on."""
        if self.config.control and self.control.sock is None:
            self.control.listen(self.config.control)
        waits = isinstance(self.watch, Watch)
        self.scheduled = waits  # no turn before that
        self.begin({})
        if waits:
            self.first = self.loop.call_later(FIRST_S, self._first)
        else:
            self.turn()
        self.watch.open()
        for room in self.rooms:
            room.open()
        port = self.clients.listen(*self.config.listen)
        if self.first is not None:
            self.clients.hold()
        return port

    def _first(self) -> None:
        """Begin work."""
        if self.first is not None:
            self.first.cancel()
            self.first = None
            self.clients.go()
            self.turn()

    def begin(self, waits: dict[tuple[int, str], int]) -> None:
        """The list as it was last known, with told waits that still run, and what the journal holds."""
        whole = self.listed({**self.config.known, "all": True}, ListUpdateKind.CACHED)
        if not whole and isinstance(self.watch, Watch):
            self.watch.rev = 0  # what came since would leave out what can't be read of it
        for dest, uid in waits:
            entries = self.listing.told_again(dest, uid, waits[dest, uid])
            self.list_told(ListUpdateKind.DELTA, entries)
        for m in list(self.journal.held.values()):
            self.restore(m)

    def restore(self, m: PendingMessage) -> None:
        if m.status:
            self.ends.notify(m)
            return
        if m.cls >= len(self.s.classes):  # of a class that the settings have no more: nothing tells its rules
            log.error("message %s was taken on in class %d, which there is not", m.id, m.cls)
            self.ends.end(m, "undeliverable", 0)
            return
        if not any(claims(m) for claims in self.claims):
            self.events.append(self.admission.arrival(m, restored=True))
        self.ends.guard(m)

    # The turn

    def tell(self, event: Event) -> None:
        if self.handed:
            return
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Take a turn as soon as what has come in with this event is read, a tick after the last at least."""
        if self.scheduled:
            return
        self.scheduled = True
        early = self.last_turn + self.s.tick_us - self.clock()
        if early <= 0:
            self.loop.call_soon(self.turn)
        else:
            self.loop.call_later(early / 1e6, self.turn)

    def rest(self) -> None:
        """Have nothing left to do at this instant: records are written, what has come in is decided."""
        for _ in range(MOST_TURNS):
            self.journal.commit()
            if not self.events and not self.admission.arrived:
                return
            self.turn()  # which may end attempts at once: that is told in the next one

    def turn(self) -> None:
        if self.handed:
            return
        self.scheduled = False
        self.last_turn = now = self.clock()
        events, self.events = self.events, []
        arrived = self.admission.turn()
        try:
            actions: Iterable[Action] = self.courier.handle(now, events)
        except Exception:  # one bad turn must not end the process; each message still has its guard
            log.exception("the decision module failed on %d events", len(events))
            actions = [Fail(n) for n in arrived]
        self.journal.begin()  # the records of this turn go in one write
        try:
            self._carry_out(list(actions), arrived)
        except Exception:
            log.exception("actions failed")
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
        for a in actions:
            if isinstance(a, Send):
                self.attempts.send(a, bundles)
            elif isinstance(a, (Reject, Fail)):
                self.ends.final(a)
            elif isinstance(a, SetTimer):
                self.loop.call_later(a.delay_us / 1e6 + 5e-5, self.tell, TimerDue(a.token))
            elif isinstance(a, CloseIdleConnections):
                self.calls.close_idle(a.endpoint)
            elif isinstance(a, CancelAttempt):
                self.calls.cancel(a.message, a.attempt)
            elif isinstance(a, HealthCheck):
                self.calls.probe(a.endpoint)
            elif isinstance(a, Log):
                log.info("%s", a.text)
        self.attempts.flush(bundles)

    # What those who run it ask

    def ready(self) -> bool:
        return self.clients.listening and self.first is None and not self.closing_at and not self.drain.on

    def all_figures(self) -> str:
        avoided = self.listing.out_by_hand.union(self.courier.ejected_endpoints())
        more = self.routing.figures()
        for room in self.rooms:
            more |= room.figures()
        ejected = sum(number in self.listing.entries for number in avoided)
        return self.figures.lines(
            self.journal.open, len(self.listing.entries), ejected, self.journal.damage, more
        )

    # The list

    def relist(self, entries: Sequence[EndpointEntry]) -> None:
        """Entries changed by hand."""
        for entry in entries:
            self.calls.close_idle(entry.endpoint)
        self._routed()
        self.list_told(ListUpdateKind.DELTA, entries)

    def told_load(self, endpoint: int, load: dict[str, float]) -> None:
        """An answer carried a report: what it tells of a rate is news of the list."""
        if entries := self.listing.told_load(endpoint, load):
            self.list_told(ListUpdateKind.DELTA, entries)

    def listed(self, change: dict[str, Any], form: ListUpdateKind | None = None) -> bool:
        """Discovery tells a whole list or a change of it; False if all should be told again."""
        form = form or (ListUpdateKind.SNAPSHOT if change.get("all") else ListUpdateKind.DELTA)
        self.routing.configure(change.get("routing"))
        read = self.listing.read(change)
        entries = [entry for entry, _ in read]
        placed = [(entry, address) for entry, address in read if address is not None]
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
        """These are part of the list from now on."""
        self._routed()
        self.list_told(form, entries)
        for heard in self.on_list:
            heard()

    def list_told(self, form: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """The decision module hears of entries, as they are to be shown."""
        self.tell(EndpointListUpdate(form, tuple(map(self.listing.shown, entries))))

    def told_wait(self, endpoint: int, wait_us: int) -> None:
        """The headers of an answer told to wait. The decision module hears of it with no regard to what
        becomes of the answer: what it sent before that would be held back, and lose its tries."""
        if under := self.listing.told_wait(endpoint, wait_us):
            self.list_told(ListUpdateKind.DELTA, under)

    def _routed(self) -> None:
        """The decision module goes by the pools as they are now."""
        self.routing.refresh()
        self.courier.state.endpoint_preference = self.routing.router

    def gone(self, endpoint: int) -> None:
        self.listing.forget(endpoint)
        self.calls.forget(endpoint)

    def look(self) -> None:
        """Files beside this courier may have changed."""
        self.watch.open()
        for room in self.rooms:
            room.look()

    def move(self, discovery: Address) -> None:
        """Discovery is at another address: the watch and the notices both go there."""
        if isinstance(self.watch, Watch) and discovery != self.watch.address:
            log.info("discovery moves to %s:%d", *discovery)
            self.watch.move(discovery)
            self.notices.move(discovery)

    # The end

    def let_go(self) -> None:
        """Another process has charge of everything: nothing is begun, told or written here any more."""
        self.handed = self.service.over = True
        self.ends.close()
        self._release()

    def terminate(self) -> None:
        """A planned restart: clients that still come are served, what is not done stays in the journal."""
        if self.handed:
            self._exit()
        if self.closing_at or self.handed:
            return
        now = self.loop.time()
        self.closing_at = now + EXIT_S
        self.tell(ShutdownStarted(self.clock() + int(CALLS_S * 1e6)))
        for room in self.rooms:
            room.leave()
        self.loop.call_later(LISTEN_S, self._stop_clients)
        self.loop.call_later(EXIT_S, self._leave)

    def _leave(self) -> None:
        """The time is up: whoever has sent a request hears what became of it, also where records are written
        slowly and more come meanwhile, and what endpoints have answered counts. SIGKILL may come amid it."""
        for _ in range(MOST_TURNS):
            for front in self.fronts:
                front.let_go()
            came = any([self.calls.look(), *(front.look() for front in self.fronts)])
            self.rest()  # the last thing done: nothing is left read and not answered
            if not came:
                break
        for item in self.calls.give_up_unsent():
            self.journal.missed(item.number)
        self.journal.commit()
        for front in self.fronts:
            front.end()
        self._part(self.loop.time() + GRACE_S)

    def _part(self, until: float) -> None:
        """Clients are shut. A close over bytes that are unread would cut off what the system still holds of
        their answers: they have until then to read it, and to end their side."""
        if self.loop.time() >= until or all(front.over for front in self.fronts):
            self._exit()
        else:
            self.loop.call_later(0.02, self._part, until)

    def _stop_clients(self) -> None:
        for front in self.fronts:
            front.last_call()
            front.let_go()
        if not all(front.over for front in self.fronts):
            self.loop.call_later(0.02, self._stop_clients)
        self.maybe_exit()

    def accepted(self, numbers: list[int]) -> None:
        """Notices were accepted."""
        self.ends.accepted(numbers)
        self.journal.told(numbers)
        self.maybe_exit()

    def maybe_exit(self) -> None:
        # What still waits for its turn may be sent until the last call must have begun.
        done = not self.calls.out and not self.journal.held and not self.events and not self.admission.arrived
        if self.closing_at and done and all(front.over for front in self.fronts):
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def close(self) -> None:
        """Let go of everything at once; the journal already holds what is open."""
        self.control.close()
        self._release()

    def _release(self) -> None:
        if self.first is not None:
            self.first.cancel()
            self.first = None
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        for front in self.fronts:
            front.close()
        for room in self.rooms:
            room.close()
        self.journal.close()
