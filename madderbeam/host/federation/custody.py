"""Custody at a relay: submits the deliveries of stream entries and reports their outcomes to the custodian.

Each delivery is a normal message of this courier: it passes admission checks, journal and engine. Its id is
derived from the publication; its outcome goes to the custodian instead of a client. A message that is pending
here already is not submitted again: it is another copy, or a client's own message that was forwarded and came
back. In the second case a record says that a client waits as well, so that after a restart both get the
outcome.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import Incarnation, LinkUp, MemberId, MessageReceived
from madderbeam.relay.custody import Custodian
from madderbeam.relay.delivery_ids import delivery_id, delivery_key, recorded_delivery_id
from madderbeam.relay.messages import MAX_BODY_BYTES, Entry, Nak, ReportBatch, ReportBatchAck
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    CustodyRejected,
    DeliveryCompleted,
    DeliveryIdempotency,
    Expand,
    LocalSiteCompleted,
    OutcomesPersisted,
    Publication,
    RestoredDeliveries,
    Result,
)
from madderbeam.transport.put_request import BadRequest, Put

CREDIT_CHECK_S = 0.2  # interval of credit updates
IDLE_AFTER_CHECKS = 25  # consecutive checks with the same, sufficient credit until the interval is longer
IDLE_CREDIT_CHECK_S = 1.6  # interval after that; each entry that arrives also updates the credit
RESERVED_MESSAGES = 16  # pending messages withheld from the credit, for messages that are not relayed
HISTORY_LOST = "lost"  # kind of the record until when (wall ms) an entry may be known to a lost state only
CLIENT_WAITS = "home"  # kind of the record that a client of this courier also waits for a relayed message
TAKE_BACK_RETRY_US = 100_000  # retry delay of a returned message whose destination is not served yet
MIN_RESUBMIT_S = 0.05  # minimum delay before a rejected delivery is submitted again
log = logging.getLogger(__name__)


@dataclass
class Expansion:
    """A stream entry whose deliveries are being submitted."""

    publication: Publication
    unanswered: set[int]  # destinations without a reply
    accepted: set[int] = field(default_factory=set)
    # rejected for now: Retry-After in microseconds
    retry_after_us: dict[int, int] = field(default_factory=dict)


class DeliveryReply:
    """Receives the reply to one submitted delivery."""

    wanted = True

    def __init__(self, custody: Custody, expansion: Expansion, dest: int) -> None:
        self.custody, self.expansion, self.dest = custody, expansion, dest

    def taken(self) -> None:
        """The delivery is journaled."""
        self._record(lambda: self.expansion.accepted.add(self.dest))

    def busy(self, wait_us: int) -> None:
        """The delivery is rejected for now; `wait_us` is the Retry-After in microseconds."""
        self._record(lambda: self.expansion.retry_after_us.update({self.dest: wait_us}))

    def failed(self, why: str = "failed") -> None:
        """The delivery is not submitted again.

        It is reported as never executed only if the journal does not have it. Otherwise (a dispatch cycle
        failed behind its acceptance) it is in custody, and its outcome follows.
        """
        ident = delivery_id(self.expansion.publication, self.dest)
        if ident in self.custody.host.journal.numbers_by_id:
            self.taken()
            return
        self._record(lambda: self.custody.reject_delivery(self.expansion, self.dest, why))

    def _record(self, update: Callable[[], None]) -> None:
        if self.dest in self.expansion.unanswered:
            self.expansion.unanswered.discard(self.dest)
            update()
            self.custody.check_expansion(self.expansion)


class Custody:
    """Connects the custodian to admission and to outcomes.

    `post_event` posts to the custodian, `post_stream_event` to the stream machine of this courier.
    """

    def __init__(
        self,
        host: Host,
        member_id: MemberId,
        incarnation: Incarnation,
        custodian: Custodian,
        post_event: Callable[[Any], None],
        post_stream_event: Callable[[Any], None],
        take_back: Callable[[PendingMessage], bool],
        store: DurableMap,
    ) -> None:
        """`take_back` takes back a forwarded message; it returns False if that is not served here now."""
        self.store = store
        self.host, self.member_id, self.custodian, self.post_event, self.post_stream_event = (
            host,
            member_id,
            custodian,
            post_event,
            post_stream_event,
        )
        self.take_back = take_back
        # Message id -> (publication name, destination); one delivery may arrive by two paths, with two names.
        self.deliveries: dict[str, set[tuple[str, int]]] = {}
        # ids of deliveries that a client of this courier also waits for
        self.awaited_by_client: set[str] = set()
        # completed; the outcome is not stored yet
        self.unsettled: dict[tuple[str, int], PendingMessage] = {}
        self.settling: set[int] = set()  # message numbers of `unsettled`
        # stream of entries that this courier sends itself
        self.stream_number, self.last_sequence = incarnation.start << 32 | 1, 0
        self.own_publications: dict[int, Publication] = {}  # sequence number -> publication
        self.posted_credit, self.unchanged_checks = Credit(-1, -1), 0
        self.history_lost_until_ms = int(store.map.get((HISTORY_LOST, ""), 0))
        self.closed = False
        for name, dests, single in custodian.open_records:
            for dest in dests:
                self._add_delivery(recorded_delivery_id(name, dest, single), name, dest)
        marked = [ident for kind, ident in store.map if kind == CLIENT_WAITS]
        self.awaited_by_client.update(ident for ident in marked if ident in self.deliveries)
        self._remove_client_records([ident for ident in marked if ident not in self.deliveries])

    def open(self) -> None:
        """Report which deliveries in custody are still pending; the journal is restored."""
        self.post_event(LinkUp(self.member_id))
        for name, dests, single in self.custodian.open_records:
            pending = [
                candidate
                for candidate in dests
                if recorded_delivery_id(name, candidate, single) in self.host.journal.numbers_by_id
            ]
            for dest in set(dests) - set(pending):
                self._remove_delivery(recorded_delivery_id(name, dest, single), name, dest)
            self.post_event(RestoredDeliveries(name, tuple(pending)))
        self._check_credit()

    def history_lost(self) -> None:
        """This member's state was rolled back: it may have accepted entries that it does not know.

        For the longest deadline of a class, a non-idempotent entry without a record is completed as UNKNOWN:
        its origin may send it again to this member, which would take it for new.
        """
        if self._is_history_lost():
            return
        longest_us = max((cls.deadline_us for cls in self.host.settings.classes), default=0)
        until_ms = int(self.host.journal.wall() * 1000) + longest_us // 1000
        self.history_lost_until_ms = until_ms
        try:
            self.store.write([(HISTORY_LOST, "", self.history_lost_until_ms)])
        except OSError as error:
            log.error("federation: recording that the state was rolled back failed: %s", error)

    def _is_history_lost(self) -> bool:
        return int(self.host.journal.wall() * 1000) < self.history_lost_until_ms

    def _add_delivery(self, ident: str, name: str, dest: int) -> None:
        self.deliveries.setdefault(ident, set()).add((name, dest))

    def _remove_delivery(self, ident: str, name: str, dest: int) -> None:
        remaining = self.deliveries.get(ident, set())
        remaining.discard((name, dest))
        if not remaining:
            self.deliveries.pop(ident, None)
            if ident in self.awaited_by_client:
                self.awaited_by_client.discard(ident)
                self._remove_client_records([ident])

    def _record_client(self, ident: str) -> bool:
        """Record that a client of this courier waits for the message; False if the write fails."""
        try:
            self.store.write([(CLIENT_WAITS, ident, True)])
        except OSError as error:
            log.error("federation: recording that a client waits for %s failed: %s", ident, error)
            return False
        return True

    def _remove_client_records(self, idents: list[str]) -> None:
        """Remove the records; after a failed write the next start removes them."""
        if idents:
            with contextlib.suppress(OSError):
                self.store.write((CLIENT_WAITS, ident, None) for ident in idents)

    def _check_credit(self) -> None:
        """Update the credit periodically, less often while idle, since each check wakes the process."""
        if not self.closed:
            self._update_credit()
            self.host.schedule(
                CREDIT_CHECK_S if self.unchanged_checks < IDLE_AFTER_CHECKS else IDLE_CREDIT_CHECK_S,
                self._check_credit,
            )

    def _update_credit(self) -> None:
        """Post the free capacity, in messages and journal bytes, to the custodian if it changed.

        Also counts the consecutive checks without a change; after IDLE_AFTER_CHECKS of them the courier is
        idle and checks less often. While either capacity is low it is not idle, so that freed capacity is
        posted soon.
        """
        host, journal = self.host, self.host.journal
        free_messages = max(
            0,
            host.settings.max_pending - journal.open_count - len(host.admission.arrived) - RESERVED_MESSAGES,
        )
        # Offers half of the journal space that neither files nor the completion of pending messages need.
        free_bytes = max(0, (journal.limit_bytes - journal.files.used_bytes - journal.needed_bytes) // 2)
        credit = Credit(free_messages, free_bytes)
        # Low: no more messages than the reserve that is already subtracted, or less than the largest body.
        self.unchanged_checks = (
            self.unchanged_checks + 1
            if credit == self.posted_credit
            and free_messages > RESERVED_MESSAGES
            and free_bytes > MAX_BODY_BYTES
            else 0
        )
        if credit != self.posted_credit:
            self.posted_credit = credit
            self.post_event(credit)

    # Stream entries

    def expand(self, action: Expand) -> None:
        """Submit the deliveries of an entry; each gets its reply once it is journaled, or at once."""
        if self.unchanged_checks >= IDLE_AFTER_CHECKS:
            self._update_credit()
        work = Expansion(action.publication, set(action.dests))
        is_repeatable = action.publication.idempotency is not DeliveryIdempotency.NON_IDEMPOTENT
        if not is_repeatable and self._is_history_lost():
            self._complete_as_unknown(work)
            return
        for dest in action.dests:
            self._submit(work, dest)
        self.check_expansion(work)

    def _complete_as_unknown(self, expansion: Expansion) -> None:
        name = expansion.publication.name
        log.warning("federation: %s may have been delivered before this member's state was lost", name)
        for dest in sorted(expansion.unanswered):
            self.post_event(DeliveryCompleted(name, dest, Result.UNKNOWN))
        expansion.unanswered.clear()
        self.check_expansion(expansion)

    def _submit(self, expansion: Expansion, dest: int) -> None:
        publication, journal = expansion.publication, self.host.journal
        ident = delivery_id(publication, dest)
        if ident in journal.completed_ids and ident not in journal.numbers_by_id:
            # completed, and its outcome was reported
            expansion.unanswered.discard(dest)
            return
        pending = journal.pending.get(journal.numbers_by_id.get(ident, 0))
        if pending is not None and ident not in self.deliveries:
            self._join_pending(expansion, dest, pending)
            return
        left_ms = max(0, (publication.deadline_us - self.host.clock()) // 1000)
        self._add_delivery(ident, publication.name, dest)
        put = Put(
            ident,
            int(publication.order_key) if publication.order_key.isdigit() else 0,
            publication.message_class,
            publication.tenant or None,
            left_ms,
            dest,
            delivery_key(publication, dest),
            False,
            publication.body,
            relayed=True,
        )
        try:
            self.host.admission.submit(put, DeliveryReply(self, expansion, dest))
        except BadRequest as error:
            expansion.unanswered.discard(dest)
            self.reject_delivery(expansion, dest, str(error))

    def _join_pending(self, expansion: Expansion, dest: int, message: PendingMessage) -> None:
        """Join a delivery to a pending message with its id that a client submitted at this courier.

        The outcome goes to the client and to the sender. A second message would wait for the first one, which
        in turn waits for the second.
        """
        if message.status:
            expansion.unanswered.discard(dest)
            result = Result.FAILED if message.possibly_executed_at else Result.REFUSED
            self.post_event(DeliveryCompleted(expansion.publication.name, dest, result))
            return
        if not self._record_client(message.id) or not self.take_back(message):
            self._remove_client_records([message.id])
            expansion.unanswered.discard(dest)
            expansion.retry_after_us[dest] = TAKE_BACK_RETRY_US
            return
        if not message.is_relayed:
            # a relayed one is a delivery whose record was not written before a restart
            self.awaited_by_client.add(message.id)
        self._add_delivery(message.id, expansion.publication.name, dest)
        expansion.unanswered.discard(dest)
        expansion.accepted.add(dest)

    def reject_delivery(self, expansion: Expansion, dest: int, reason: str) -> None:
        """Report to the custodian that a delivery was never executed; it is not submitted again."""
        self._remove_delivery(delivery_id(expansion.publication, dest), expansion.publication.name, dest)
        log.warning(
            "federation: delivery of %s to destination %d rejected: %s",
            expansion.publication.name,
            dest,
            reason,
        )
        self.post_event(DeliveryCompleted(expansion.publication.name, dest, Result.REFUSED))

    def check_expansion(self, expansion: Expansion) -> None:
        """Once all deliveries have replies, accept custody, decline it or schedule a retry."""
        if expansion.unanswered:
            return
        name = expansion.publication.name
        if not expansion.retry_after_us:
            self.post_event(CustodyAccepted(name, tuple(sorted(expansion.accepted))))
            return
        after_us = max(expansion.retry_after_us.values())
        if not expansion.accepted:
            for dest in expansion.retry_after_us:
                self._remove_delivery(delivery_id(expansion.publication, dest), name, dest)
            self.post_event(CustodyRejected(name, after_us, f"{self.member_id} has no room for it now"))
            return
        # Some deliveries are journaled and may execute, so the others are retried until the deadline.
        rejected, expansion.retry_after_us = expansion.retry_after_us, {}
        if self.host.clock() + after_us >= expansion.publication.deadline_us:
            for dest in rejected:
                self.reject_delivery(expansion, dest, "its time is up")
            self.post_event(CustodyAccepted(name, tuple(sorted(expansion.accepted))))
            return
        expansion.unanswered = set(rejected)
        self.host.schedule(max(MIN_RESUBMIT_S, after_us / 1e6), lambda: self._resubmit(expansion))

    def _resubmit(self, expansion: Expansion) -> None:
        for dest in sorted(expansion.unanswered):
            self._submit(expansion, dest)
        self.check_expansion(expansion)

    # Outcomes

    def report_outcome(self, m: PendingMessage, status: str) -> bool:
        """A `CompletionListener`: report the outcome of a delivery; False if a client gets it too."""
        parts = self.deliveries.get(m.id)
        if parts is None:
            if m.is_relayed:  # without a custody record nobody waits for the outcome
                self.host.completions.outcomes_stored([m.number])
            return m.is_relayed
        if not status:
            result = Result.DELIVERED
        else:
            result = Result.REFUSED if status == "deferred" or not m.possibly_executed_at else Result.FAILED
        client_waits = m.id in self.awaited_by_client
        self.settling.add(m.number)
        for name, dest in sorted(parts):
            self.unsettled[name, dest] = m
            self.post_event(DeliveryCompleted(name, dest, result))
            if self.custodian.store.get(name) is None:
                # the custodian has no record: nothing to store
                self.outcomes_stored(OutcomesPersisted(name, (dest,)))
        return not client_waits

    def outcomes_stored(self, action: OutcomesPersisted) -> None:
        """Release deliveries whose outcomes are stored for all publications that they belong to."""
        numbers = []
        for dest in action.dests:
            if message := self.unsettled.pop((action.name, dest), None):
                client_waits = message.id in self.awaited_by_client
                self._remove_delivery(message.id, action.name, dest)
                if message.id not in self.deliveries:
                    self.settling.discard(message.number)
                if not client_waits and message.id not in self.deliveries:
                    numbers.append(message.number)
        if numbers:
            self.host.completions.outcomes_stored(numbers)

    # Entries of this courier for itself

    def deliver_locally(self, publication: Publication) -> None:
        """Deliver this courier's own publication to the subscribers of its site."""
        self.last_sequence += 1
        self.own_publications[self.last_sequence] = publication
        now_us = self.host.clock()
        left_us = max(0, publication.deadline_us - now_us)
        self.post_event(
            MessageReceived(
                self.member_id, Entry(self.stream_number, self.last_sequence, publication, left_us), now_us
            )
        )

    def receive_own_message(self, message: Any) -> None:
        """Handle a message of the custodian that is addressed to this courier."""
        if isinstance(message, Nak):
            publication = self.own_publications.pop(message.seq, None)
            if (
                publication is not None
                and self.host.clock() + message.retry_after_us < publication.deadline_us
            ):
                self.host.schedule(
                    max(MIN_RESUBMIT_S, message.retry_after_us / 1e6),
                    lambda: self.deliver_locally(publication),
                )
        elif isinstance(message, ReportBatch):
            for row in message.reports:
                if not row.pending:
                    self.post_stream_event(LocalSiteCompleted(row.name, row.delivered, row.failures))
            self.post_event(MessageReceived(self.member_id, ReportBatchAck(message.number)))
        elif (seq := getattr(message, "seq", None)) is not None:
            for acknowledged in [number for number in self.own_publications if number <= seq]:
                del self.own_publications[acknowledged]

    def close(self) -> None:
        """Stop the periodic checks."""
        self.closed = True
