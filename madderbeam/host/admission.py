"""Admission: a request becomes a message that is taken on, or a refusal."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.components import AdmissionCheck, MessageInterceptor
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.metrics import ABORTED, DECLINED, Metrics
from madderbeam.host.routing import NOWHERE, Routing
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError
from madderbeam.policy.actions import Action, Fail, Reject
from madderbeam.policy.events import Event, MessageArrived, MessageWithdrawn
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.transport.clients import BadRequest, Put
from madderbeam.transport.reply_handle import ReplyHandle

LONGEST = 10  # a message that wants to live longer than so many deadlines of its class is none of ours
log = logging.getLogger(__name__)


class Admission:
    """Ids, keys, classes and tenants of what comes in; each request is answered in the turn that follows.

    `cancel` stops waiting for a message's attempt, `come_back_us` tells when to come again where there is no
    room, in microseconds.
    """

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        listing: EndpointRegistry,
        ends: Completions,
        attempts: Attempts,
        cancel: Callable[[int, int], None],
        tell: Callable[[Event], None],
        come_back_us: Callable[[], int],
        figures: Metrics,
        routing: Routing,
    ) -> None:
        self.s, self.journal, self.listing = settings, journal, listing
        self.ends, self.attempts = ends, attempts
        self.cancel, self.tell, self.come_back_us = cancel, tell, come_back_us
        self.figures, self.routing = figures, routing
        self.gates: list[AdmissionCheck] = []  # those that are on
        self.doors: list[MessageInterceptor] = []
        self.taken_up: list[
            Callable[[PendingMessage], None]
        ] = []  # told of each message that has got its number
        self.numbers = journal.last
        self.classes = {c.name: n for n, c in enumerate(settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self.arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]] = {}  # not answered yet
        self.arriving: dict[str, int] = {}  # their ids
        self.arriving_keys: dict[str, int] = {}

    def put(self, put: Put, reply: ReplyHandle) -> None:
        """A message is handed in; BadRequest if it can't be one of ours."""
        if put.dest == NOWHERE and not put.topic:
            put = replace(put, dest=self.routing.destination(put))
        cls, tenant = self._checked(put)
        if put.id in self.arriving:
            self.arrived[self.arriving[put.id]][1].append(reply)
            return
        if put.id in self.journal.ids or put.id in self.journal.over:
            # Handed in again on a new connection: it is, or was, taken care of.
            self.journal.known(put.id, reply.taken, reply.failed)
            return
        if self.journal.open + len(self.arrived) >= self.s.max_pending:
            self.figures.ended(DECLINED, cls)
            reply.busy(self.come_back_us())
            return
        weight = 1.0
        for gate in self.gates:
            verdict = gate.ask(tenant, cls, len(put.body))
            if verdict.why:
                self.figures.ended(ABORTED, cls)
                reply.failed(verdict.why)
                return
            if not verdict.passed:
                self.figures.ended(DECLINED, cls)
                reply.busy(verdict.after_us)
                return
            weight *= verdict.weight
        self.numbers += 1
        until = self.journal.wall() + put.life_ms / 1e3
        m = PendingMessage(
            self.numbers,
            put.id,
            cls,
            tenant,
            put.dest,
            put.key,
            until,
            put.resubmitted,
            put.body,
            put.order,
            ran_at=self.journal.key_ran_at(put.key),
            relayed=put.relayed,
        )
        self._replace(m)
        for told in self.taken_up:
            told(m)
        if any(door(put, m, reply) for door in self.doors):
            return
        self.arrived[m.number] = (m, [reply])
        self.arriving[m.id] = m.number
        if m.key:
            self.arriving_keys[m.key] = m.number
        self.tell(self.arrival(m, weight))

    def _checked(self, put: Put) -> tuple[int, int]:
        """The numbers of its class and tenant."""
        cls = self.classes.get(put.cls)
        if cls is None:
            raise BadRequest(f"c: no such class, must be one of {', '.join(sorted(self.classes))}")
        tenant = self.tenants.get(put.tenant or "", -1) if self.tenants else 0
        if tenant < 0:
            raise BadRequest("t: no such tenant, must be one of the settings")
        if self.s.classes[cls].idempotency is Idempotency.WITH_KEY and not put.key:
            raise BadRequest("k: lacks, must be given for a keyed class")
        most_ms = LONGEST * self.s.classes[cls].deadline_us // 1000
        if put.life_ms > most_ms:
            raise BadRequest(f"d: must be at most {most_ms}, by the deadline of the class")
        if put.topic and not self.doors:
            raise BadRequest("topic: this courier is in no federation")
        # Behind a door others may serve what this courier's list lacks: the door knows.
        if self.listing.dests and not self.doors and put.dest not in self.listing.dests:
            raise BadRequest("dest: no such destination, must be one of the list")
        return cls, tenant

    def arrival(self, m: PendingMessage, weight: float = 1.0, restored: bool = False) -> MessageArrived:
        """The event that tells the decision module of a message. `weight`: by quotas; `restored`: it was
        taken on before this process."""
        ran = m.may_have_run_at
        mono = self.journal.wall.monotonic
        # After a reboot an attempt may lie before the monotonic clock's zero: a negative time would say that
        # none may have run, and a deposit would go out again.
        ran_at = max(0, mono(ran)) if ran else -1
        return MessageArrived(
            m.number,
            m.cls,
            m.dest,
            mono(m.until),
            m.tenant,
            m.order,
            m.resubmitted,
            restored,
            m.tries,
            ran_at,
            weight,
            self.routing.affinity(m),
        )

    def _replace(self, m: PendingMessage) -> None:
        """A key that is still open here is handed in again only by a client that gave the older one up. Both
        may come in one turn: taken on side by side, neither would know of the other's attempt."""
        if arrived := self.arriving_keys.pop(m.key, 0):
            older, replies = self.arrived.pop(arrived)
            del self.arriving[older.id]
            self.tell(MessageWithdrawn(arrived))
            self.figures.ended(DECLINED, older.cls)
            for reply in replies:
                reply.busy(0)
        old = self.journal.held.get(self.journal.open_keys.get(m.key, 0))
        if old is None:
            return
        m.ran_at = m.ran_at or old.may_have_run_at
        self.tell(MessageWithdrawn(old.number))
        newest = self.attempts.newest(old.number)
        self.ends.end(old, "deferred", 0)
        self.cancel(old.number, newest)

    # The turn's answers

    def turn(self) -> dict[int, tuple[PendingMessage, list[ReplyHandle]]]:
        """What has come in since the turn before, to be answered in this one."""
        arrived, self.arrived = self.arrived, {}
        self.arriving.clear()
        self.arriving_keys.clear()
        return arrived

    def answer(
        self, arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]], actions: Iterable[Action]
    ) -> None:
        """Refuse what the decision module turned down, and take the rest on."""
        for a in actions:
            if isinstance(a, (Reject, Fail)) and a.message in arrived:
                m, replies = arrived.pop(a.message)
                self.figures.ended(DECLINED if isinstance(a, Reject) else ABORTED, m.cls)
                for reply in replies:
                    if isinstance(a, Reject):
                        reply.busy(a.retry_after_us)
                    else:
                        reply.failed()
        for m, replies in arrived.values():
            self.take(m, replies)

    def take(
        self, m: PendingMessage, replies: list[ReplyHandle], then: Callable[[], None] = lambda: None
    ) -> None:
        """Take a message on, and answer those who handed it in; `then` is called once it is recorded."""
        if not any(r.wanted for r in replies):
            self.tell(MessageWithdrawn(m.number))  # nobody heard that it was taken on
            return

        def taken() -> None:
            self.ends.guard(m)
            for reply in replies:
                reply.taken()
            then()

        def refused(error: OSError) -> None:
            log.error("not taken on: %s", error)
            self.attempts.forget(m.number)
            self.tell(MessageWithdrawn(m.number))
            if isinstance(
                error, UnconfirmedError
            ):  # its record stands: it has an end, and no promise is made
                self.ends.end(m, "undeliverable", 0)
                for reply in replies:
                    reply.failed(str(error))
                return
            self.figures.ended(DECLINED, m.cls)
            for reply in replies:
                reply.busy(self.come_back_us())

        try:
            self.journal.take(m, taken, refused)
        except OSError as error:
            refused(error)
