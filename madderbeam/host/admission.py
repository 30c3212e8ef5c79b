"""Admission: turns a request into an accepted message, or rejects it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.components import AdmissionCheck, MessageInterceptor
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.metrics import ABORTED, DECLINED, Metrics
from madderbeam.host.routing import UNROUTED, Routing
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError
from madderbeam.policy.actions import Action, Fail, Reject
from madderbeam.policy.events import Event, MessageArrived, MessageWithdrawn
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.transport.put_request import BadRequest, Put
from madderbeam.transport.reply_handle import ReplyHandle

MAX_DEADLINE_MULTIPLE = 10  # a requested time to live may be at most this many deadlines of the class
log = logging.getLogger(__name__)


class Admission:
    """Validates incoming messages and replies to each request in the dispatch cycle that follows.

    `cancel` cancels an attempt, by the message's number and the attempt's. `retry_after_us` returns the
    Retry-After of a rejection for lack of capacity, in microseconds.
    """

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        registry: EndpointRegistry,
        completions: Completions,
        attempts: Attempts,
        cancel: Callable[[int, int], None],
        post_event: Callable[[Event], None],
        retry_after_us: Callable[[], int],
        metrics: Metrics,
        routing: Routing,
    ) -> None:
        self.settings, self.journal, self.registry = settings, journal, registry
        self.completions, self.attempts = completions, attempts
        self.cancel, self.post_event, self.retry_after_us = cancel, post_event, retry_after_us
        self.metrics, self.routing = metrics, routing
        self.checks: list[AdmissionCheck] = []  # the checks that are configured
        self.interceptors: list[MessageInterceptor] = []  # only a federation adds one
        self.numbered_listeners: list[
            Callable[[PendingMessage], None]
        ] = []  # called with each message once it has its number
        self.last_number = journal.last_number
        # Indices in the settings by name.
        self.class_indices = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.tenant_indices = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        # Messages by number, with the requests that wait for a reply.
        self.arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]] = {}
        self.arriving_ids: dict[str, int] = {}  # numbers of these messages by id
        self.arriving_keys: dict[str, int] = {}  # and by idempotency key

    def submit(self, put: Put, reply: ReplyHandle) -> None:
        """Submit a message. BadRequest if it is invalid for this courier."""
        put = self._routed(put)
        cls, tenant = self._indices(put)
        if put.id in self.arriving_ids:
            self.arrived[self.arriving_ids[put.id]][1].append(reply)
            return
        if put.id in self.journal.numbers_by_id or put.id in self.journal.completed_ids:
            # Submitted again over a new connection: the message is accepted, or was.
            self.journal.call_when_written(put.id, reply.taken, reply.failed)
            return
        if self.journal.open_count + len(self.arrived) >= self.settings.max_pending:
            self.metrics.count_completion(DECLINED, cls)
            reply.busy(self.retry_after_us())
            return
        weight = 1.0
        for check in self.checks:
            verdict = check.check(tenant, cls, len(put.body))
            if verdict.reason:
                self.metrics.count_completion(ABORTED, cls)
                reply.failed(verdict.reason)
                return
            if not verdict.passed:
                self.metrics.count_completion(DECLINED, cls)
                reply.busy(verdict.retry_after_us)
                return
            weight *= verdict.weight
        self.last_number += 1
        expires_at_s = self.journal.wall() + put.life_ms / 1e3
        message = PendingMessage(
            self.last_number,
            put.id,
            cls,
            tenant,
            put.dest,
            put.key,
            expires_at_s,
            put.resubmitted,
            put.body,
            put.order,
            prior_execution_at=self.journal.key_possibly_executed_at(put.key),
            is_relayed=put.relayed,
        )
        self._withdraw_same_key(message)
        for notify in self.numbered_listeners:
            notify(message)
        if any(intercept(put, message, reply) for intercept in self.interceptors):
            return
        self.arrived[message.number] = (message, [reply])
        self.arriving_ids[message.id] = message.number
        if message.key:
            self.arriving_keys[message.key] = message.number
        self.post_event(self.arrival_event(message, weight))

    def validate(self, put: Put) -> None:
        """Raise BadRequest if the message is invalid for this courier; nothing is submitted."""
        self._indices(self._routed(put))

    def _routed(self, put: Put) -> Put:
        """Resolve a route to its destination. BadRequest if no route matches."""
        if put.dest != UNROUTED or put.topic:
            return put
        return replace(put, dest=self.routing.destination(put))

    def _indices(self, put: Put) -> tuple[int, int]:
        """Validate a message; return the indices of its class and its tenant. BadRequest if it is invalid."""
        cls = self.class_indices.get(put.cls)
        if cls is None:
            raise BadRequest(f"c: no such class, must be one of {', '.join(sorted(self.class_indices))}")
        # -1: unknown tenant; 0: the settings have no tenants
        tenant = self.tenant_indices.get(put.tenant or "", -1) if self.tenant_indices else 0
        if tenant < 0:
            raise BadRequest("t: no such tenant, must be one of the settings")
        if self.settings.classes[cls].idempotency is Idempotency.WITH_KEY and not put.key:
            raise BadRequest("k: lacks, must be given for a keyed class")
        max_life_ms = MAX_DEADLINE_MULTIPLE * self.settings.classes[cls].deadline_us // 1000
        if put.life_ms > max_life_ms:
            raise BadRequest(f"d: must be at most {max_life_ms}, by the deadline of the class")
        # A courier without interceptors is in no federation.
        if put.topic and not self.interceptors:
            raise BadRequest("topic: this courier is in no federation")
        # In a federation another site may serve a destination that this courier's list lacks; the interceptor
        # decides that.
        if self.registry.dests and not self.interceptors and put.dest not in self.registry.dests:
            raise BadRequest("dest: no such destination, must be one of the list")
        return cls, tenant

    def arrival_event(
        self, message: PendingMessage, weight: float = 1.0, restored: bool = False
    ) -> MessageArrived:
        """Return the event that announces a message to the engine.

        `weight` comes from quotas; `restored` if the message was accepted by an earlier process.
        """
        executed_at_s = message.possibly_executed_at
        to_monotonic_us = self.journal.wall.monotonic_us_at
        # After a reboot an attempt may lie before the monotonic clock's zero. A negative time would mean that
        # no attempt was executed, and a non-idempotent message, such as a deposit, would be sent again.
        executed_at_us = max(0, to_monotonic_us(executed_at_s)) if executed_at_s else -1
        executed_zone = self.registry.zones.number_by_id(self.journal.key_zone(message.key))
        return MessageArrived(
            message.number,
            message.class_index,
            message.dest,
            to_monotonic_us(message.deadline_s),
            message.tenant,
            message.order_key,
            message.resubmitted,
            restored,
            message.attempts,
            executed_at_us,
            executed_zone,
            weight,
            self.routing.affinity(message),
        )

    def _withdraw_same_key(self, message: PendingMessage) -> None:
        """Withdraw an older pending message with the same idempotency key.

        A client submits a key again only after it has given the older message up. Both may arrive in the same
        dispatch cycle: if both were accepted, neither would know of the other's attempts.
        """
        if arrived := self.arriving_keys.pop(message.key, 0):
            older, replies = self.arrived.pop(arrived)
            del self.arriving_ids[older.id]
            self.post_event(MessageWithdrawn(arrived))
            self.metrics.count_completion(DECLINED, older.class_index)
            for reply in replies:
                reply.busy(0)
        pending = self.journal.pending.get(self.journal.open_keys.get(message.key, 0))
        if pending is None:
            return
        message.prior_execution_at = message.prior_execution_at or pending.possibly_executed_at
        self.post_event(MessageWithdrawn(pending.number))
        newest_attempt = self.attempts.newest_attempt(pending.number)
        self.completions.complete(pending, "deferred", 0)
        self.cancel(pending.number, newest_attempt)

    # Replies of a dispatch cycle

    def take_arrived(self) -> dict[int, tuple[PendingMessage, list[ReplyHandle]]]:
        """Return and reset the messages that arrived since the last dispatch cycle, to reply in this one."""
        arrived, self.arrived = self.arrived, {}
        self.arriving_ids.clear()
        self.arriving_keys.clear()
        return arrived

    def apply_decisions(
        self, arrived: dict[int, tuple[PendingMessage, list[ReplyHandle]]], actions: Iterable[Action]
    ) -> None:
        """Reject the messages that the engine rejects or fails, and accept the others."""
        for action in actions:
            if isinstance(action, (Reject, Fail)) and action.message in arrived:
                message, replies = arrived.pop(action.message)
                self.metrics.count_completion(
                    DECLINED if isinstance(action, Reject) else ABORTED, message.class_index
                )
                for reply in replies:
                    if isinstance(action, Reject):
                        reply.busy(action.retry_after_us)
                    else:
                        reply.failed()
        for message, replies in arrived.values():
            self.accept(message, replies)

    def accept(
        self, message: PendingMessage, replies: list[ReplyHandle], then: Callable[[], None] = lambda: None
    ) -> None:
        """Accept a message: record it, then send the replies and call `then`."""
        if not any(reply.wanted for reply in replies):
            self.post_event(MessageWithdrawn(message.number))  # no client waits for the reply any more
            return

        def accepted() -> None:
            self.completions.start_deadline_timer(message)
            for reply in replies:
                reply.taken()
            then()

        def rejected(error: OSError) -> None:
            log.error("journal write failed; message not accepted: %s", error)
            self.attempts.forget(message.number)
            self.post_event(MessageWithdrawn(message.number))
            if isinstance(
                error, UnconfirmedError
            ):  # recorded, but not confirmed: it gets an outcome, and clients no acceptance
                self.completions.complete(message, "undeliverable", 0)
                for reply in replies:
                    reply.failed(str(error))
                return
            self.metrics.count_completion(DECLINED, message.class_index)
            for reply in replies:
                reply.busy(self.retry_after_us())

        try:
            self.journal.accept(message, accepted, rejected)
        except OSError as error:
            rejected(error)
