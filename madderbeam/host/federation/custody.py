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

from madderbeam.host.federation.kept import Kept
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import Incarnation, LinkUp, MemberId, MessageReceived
from madderbeam.relay.custody import Custodian
from madderbeam.relay.derive import delivery_id, delivery_key, held_id
from madderbeam.relay.messages import BODY_MOST, Ends, EndsAck, Entry, Nak
from madderbeam.relay.values import (
    Credit,
    Ended,
    Expand,
    LocalEnded,
    NotTaken,
    Publication,
    Resting,
    Result,
    Settled,
    Taken,
)
from madderbeam.transport.clients import BadRequest, Put

CREDIT_CHECK_S = 0.2  # interval of credit updates
IDLE_AFTER_CHECKS = 25  # consecutive checks with the same, ample credit before the longer interval applies
IDLE_CREDIT_CHECK_S = 1.6  # interval after that; each entry that arrives also updates the credit
RESERVED_MESSAGES = 16  # capacity withheld from the credit for messages that are not relayed
CLIENT_WAITS = "home"  # kind of the record that a client of this courier also waits for a relayed message
TAKE_BACK_RETRY_US = 100_000  # retry delay of a returned message whose destination is not served yet
MIN_RESUBMIT_S = 0.05  # minimum delay before a rejected delivery is submitted again
log = logging.getLogger(__name__)


@dataclass
class Expansion:
    """A stream entry whose deliveries are being submitted."""

    publication: Publication
    open: set[int]  # destinations without a reply
    taken: set[int] = field(default_factory=set)
    # rejected for now: Retry-After in microseconds
    busy: dict[int, int] = field(default_factory=dict)


class Hand:
    """Receives the reply to one submitted delivery."""

    wanted = True

    def __init__(self, custody: Custody, expansion: Expansion, dest: int) -> None:
        self.custody, self.work, self.dest = custody, expansion, dest

    def taken(self) -> None:
        """The delivery is journaled."""
        self._answered(lambda: self.work.taken.add(self.dest))

    def busy(self, wait_us: int) -> None:
        """The delivery is rejected for now; `wait_us` is the Retry-After in microseconds."""
        self._answered(lambda: self.work.busy.update({self.dest: wait_us}))

    def failed(self, why: str = "failed") -> None:
        """The delivery is rejected for good."""
        self._answered(lambda: self.custody.reject_delivery(self.work, self.dest, why))

    def _answered(self, update: Callable[[], None]) -> None:
        if self.dest in self.work.open:
            self.work.open.discard(self.dest)
            update()
            self.custody.look(self.work)


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
        store: Kept,
    ) -> None:
        """`take_back` takes back a forwarded message; it returns False if that is not served here now."""
        self.kept = store
        self.host, self.me, self.custodian, self.tell, self.streams = (
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
        self.clients: set[str] = set()
        # completed; the outcome is not stored yet
        self.unsettled: dict[tuple[str, int], PendingMessage] = {}
        self.settling: set[int] = set()  # message numbers of `unsettled`
        # stream of entries that this courier sends itself
        self.stream, self.seq = incarnation.start << 32 | 1, 0
        self.own: dict[int, Publication] = {}  # sequence number -> publication
        self.told, self.same = Credit(-1, -1), 0
        self.closed = False
        for name, dests, single in custodian.open_records:
            for dest in dests:
                self._add_delivery(held_id(name, dest, single), name, dest)
        marked = [ident for kind, ident in store.map if kind == CLIENT_WAITS]
        self.clients.update(ident for ident in marked if ident in self.deliveries)
        self._remove_client_records([ident for ident in marked if ident not in self.deliveries])

    def open(self) -> None:
        """Report which deliveries in custody are still pending; the journal is restored."""
        self.tell(LinkUp(self.me))
        for name, dests, single in self.custodian.open_records:
            pending = [
                candidate
                for candidate in dests
                if held_id(name, candidate, single) in self.host.journal.numbers_by_id
            ]
            for dest in set(dests) - set(pending):
                self._remove_delivery(held_id(name, dest, single), name, dest)
            self.tell(Resting(name, tuple(pending)))
        self._credit()

    def _add_delivery(self, ident: str, name: str, dest: int) -> None:
        self.deliveries.setdefault(ident, set()).add((name, dest))

    def _remove_delivery(self, ident: str, name: str, dest: int) -> None:
        remaining = self.deliveries.get(ident, set())
        remaining.discard((name, dest))
        if not remaining:
            self.deliveries.pop(ident, None)
            if ident in self.clients:
                self.clients.discard(ident)
                self._remove_client_records([ident])

    def _record_client(self, ident: str) -> bool:
        """Record that a client of this courier waits for the message; False if the write fails."""
        try:
            self.kept.write([(CLIENT_WAITS, ident, True)])
        except OSError as error:
            log.error("federation: recording that a client waits for %s failed: %s", ident, error)
            return False
        return True

    def _remove_client_records(self, idents: list[str]) -> None:
        """Remove the records; after a failed write the next start removes them."""
        if idents:
            with contextlib.suppress(OSError):
                self.kept.write((CLIENT_WAITS, ident, None) for ident in idents)

    def _credit(self) -> None:
        """Update the credit periodically, less often while idle, since each check wakes the process."""
        if not self.closed:
            self._update_credit()
            self.host.schedule(
                CREDIT_CHECK_S if self.same < IDLE_AFTER_CHECKS else IDLE_CREDIT_CHECK_S, self._credit
            )

    def _update_credit(self) -> None:
        """Post the free capacity to the custodian if it changed."""
        host, journal = self.host, self.host.journal
        free_messages = max(
            0,
            host.settings.max_pending - journal.open_count - len(host.admission.arrived) - RESERVED_MESSAGES,
        )
        free_bytes = max(0, (journal.limit_bytes - journal.files.used_bytes - journal.needed_bytes) // 2)
        credit = Credit(free_messages, free_bytes)
        self.same = (
            self.same + 1
            if credit == self.told and free_messages > RESERVED_MESSAGES and free_bytes > BODY_MOST
            else 0
        )
        if credit != self.told:
            self.told = credit
            self.tell(credit)

    # Stream entries

    def expand(self, action: Expand) -> None:
        """Submit the deliveries of an entry; each gets its reply once it is journaled, or at once."""
        if self.same >= IDLE_AFTER_CHECKS:
            self._update_credit()
        work = Expansion(action.publication, set(action.dests))
        for dest in action.dests:
            self._submit(work, dest)
        self.look(work)

    def _submit(self, expansion: Expansion, dest: int) -> None:
        publication, journal = expansion.publication, self.host.journal
        ident = delivery_id(publication, dest)
        if ident in journal.completed_ids and ident not in journal.numbers_by_id:
            # completed, and its outcome was reported
            expansion.open.discard(dest)
            return
        pending = journal.pending.get(journal.numbers_by_id.get(ident, 0))
        if pending is not None and ident not in self.deliveries:
            self._join_pending(expansion, dest, pending)
            return
        left_ms = max(0, (publication.until_us - self.host.clock()) // 1000)
        self._add_delivery(ident, publication.name, dest)
        put = Put(
            ident,
            int(publication.order) if publication.order.isdigit() else 0,
            publication.cls,
            publication.tenant or None,
            left_ms,
            dest,
            delivery_key(publication, dest),
            False,
            publication.body,
            relayed=True,
        )
        try:
            self.host.admission.submit(put, Hand(self, expansion, dest))
        except BadRequest as error:
            expansion.open.discard(dest)
            self.reject_delivery(expansion, dest, str(error))

    def _join_pending(self, expansion: Expansion, dest: int, message: PendingMessage) -> None:
        """Join a delivery to a pending message with its id that a client submitted at this courier.

        The outcome goes to the client and to the sender. A second message would wait for the first one, which
        in turn waits for the second.
        """
        if message.status:
            expansion.open.discard(dest)
            result = Result.FAILED if message.possibly_executed_at else Result.REFUSED
            self.tell(Ended(expansion.publication.name, dest, result))
            return
        if not self._record_client(message.id) or not self.take_back(message):
            self._remove_client_records([message.id])
            expansion.open.discard(dest)
            expansion.busy[dest] = TAKE_BACK_RETRY_US
            return
        if not message.is_relayed:
            # a relayed one is a delivery whose record was not written before a restart
            self.clients.add(message.id)
        self._add_delivery(message.id, expansion.publication.name, dest)
        expansion.open.discard(dest)
        expansion.taken.add(dest)

    def reject_delivery(self, expansion: Expansion, dest: int, reason: str) -> None:
        """Reject a delivery for good and report that to the custodian."""
        self._remove_delivery(delivery_id(expansion.publication, dest), expansion.publication.name, dest)
        log.warning(
            "federation: delivery of %s to destination %d rejected: %s",
            expansion.publication.name,
            dest,
            reason,
        )
        self.tell(Ended(expansion.publication.name, dest, Result.REFUSED))

    def look(self, expansion: Expansion) -> None:
        """Once all deliveries have replies, accept custody, decline it or schedule a retry."""
        if expansion.open:
            return
        name = expansion.publication.name
        if not expansion.busy:
            self.tell(Taken(name, tuple(sorted(expansion.taken))))
            return
        after_us = max(expansion.busy.values())
        if not expansion.taken:
            for dest in expansion.busy:
                self._remove_delivery(delivery_id(expansion.publication, dest), name, dest)
            self.tell(NotTaken(name, after_us, f"{self.me} has no room for it now"))
            return
        # Some deliveries are journaled and may execute, so the others are retried until the deadline.
        rejected, expansion.busy = expansion.busy, {}
        if self.host.clock() + after_us >= expansion.publication.until_us:
            for dest in rejected:
                self.reject_delivery(expansion, dest, "its time is up")
            self.tell(Taken(name, tuple(sorted(expansion.taken))))
            return
        expansion.open = set(rejected)
        self.host.schedule(max(MIN_RESUBMIT_S, after_us / 1e6), lambda: self._resubmit(expansion))

    def _resubmit(self, expansion: Expansion) -> None:
        for dest in sorted(expansion.open):
            self._submit(expansion, dest)
        self.look(expansion)

    # Outcomes

    def ended(self, m: PendingMessage, status: str) -> bool:
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
        client_waits = m.id in self.clients
        self.settling.add(m.number)
        for name, dest in sorted(parts):
            self.unsettled[name, dest] = m
            self.tell(Ended(name, dest, result))
            if self.custodian.kept.get(name) is None:
                # the custodian has no record: nothing to store
                self.settled(Settled(name, (dest,)))
        return not client_waits

    def settled(self, action: Settled) -> None:
        """Release deliveries whose outcomes are stored for all publications that they belong to."""
        numbers = []
        for dest in action.dests:
            if message := self.unsettled.pop((action.name, dest), None):
                client_waits = message.id in self.clients
                self._remove_delivery(message.id, action.name, dest)
                if message.id not in self.deliveries:
                    self.settling.discard(message.number)
                if not client_waits and message.id not in self.deliveries:
                    numbers.append(message.number)
        if numbers:
            self.host.completions.outcomes_stored(numbers)

    # Entries of this courier for itself

    def local(self, publication: Publication) -> None:
        """Deliver this courier's own publication to the subscribers of its site."""
        self.seq += 1
        self.own[self.seq] = publication
        now_us = self.host.clock()
        left_us = max(0, publication.until_us - now_us)
        self.tell(MessageReceived(self.me, Entry(self.stream, self.seq, publication, left_us), now_us))

    def to_self(self, message: Any) -> None:
        """Handle a message of the custodian that is addressed to this courier."""
        if isinstance(message, Nak):
            publication = self.own.pop(message.seq, None)
            if publication is not None and self.host.clock() + message.after_us < publication.until_us:
                self.host.schedule(
                    max(MIN_RESUBMIT_S, message.after_us / 1e6), lambda: self.local(publication)
                )
        elif isinstance(message, Ends):
            for row in message.rows:
                if not row.left:
                    self.streams(LocalEnded(row.name, row.delivered, row.ends))
            self.tell(MessageReceived(self.me, EndsAck(message.number)))
        elif (seq := getattr(message, "seq", None)) is not None:
            for acknowledged in [number for number in self.own if number <= seq]:
                del self.own[acknowledged]

    def close(self) -> None:
        """Stop the periodic checks."""
        self.closed = True
