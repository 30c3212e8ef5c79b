"""Publications at their origin: accepted like any message, forwarded to sites, completed with one outcome.

A publication is journaled as one message, whose destination is TOPIC and whose body is an envelope. A message
for a destination of another site is journaled unchanged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgpack

from madderbeam.federation.errors import FederationError
from madderbeam.federation.values import Table
from madderbeam.host.federation.serving import Serving
from madderbeam.host.host import Host
from madderbeam.host.metrics import ABORTED, DECLINED, SUCCEEDED
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import MemberId
from madderbeam.policy.events import MessageWithdrawn
from madderbeam.policy.settings import Idempotency
from madderbeam.relay.delivery_ids import derived_id
from madderbeam.relay.grouping import expand
from madderbeam.relay.origin import OriginStreams
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import (
    DeliveryIdempotency,
    Publication,
    PublicationCompleted,
    PublicationWithdrawn,
    Published,
    Result,
    SiteCompleted,
)
from madderbeam.transport.put_request import Put
from madderbeam.transport.reply_handle import ReplyHandle

MIN_RETRY_AFTER_US = 100_000  # minimum Retry-After while a destination changes its owner
TOPIC_DEST = -2  # destination of a publication in the journal
log = logging.getLogger(__name__)


class Publications:
    """Intercepts messages for other sites at admission and follows them to their completion.

    `table` returns the table in force; `deliver_locally` delivers a publication to the subscribers of the own
    site; `post_event` posts events to `streams`.
    """

    def __init__(
        self,
        host: Host,
        member_id: MemberId,
        serving: Serving,
        streams: OriginStreams,
        subscriptions: Subscriptions,
        table: Callable[[], Table],
        post_event: Callable[[Any], None],
        deliver_locally: Callable[[Publication], None],
        max_retry_after_us: int,
        in_custody: Callable[[str], bool] = lambda ident: False,
        is_settling: Callable[[int], bool] = lambda number: False,
    ) -> None:
        """`in_custody`: whether the message with this id is a delivery of another courier's publication;
        `is_settling`: whether the message with this number is completed and its outcome not stored yet."""
        self.in_custody, self.is_settling = in_custody, is_settling
        self.host, self.member_id, self.serving, self.streams = host, member_id, serving, streams
        self.subscriptions, self.table, self.post_event, self.deliver_locally = (
            subscriptions,
            table,
            post_event,
            deliver_locally,
        )
        # maximum Retry-After while a destination changes its owner
        self.max_retry_after_us = max_retry_after_us
        # publication name -> message number in the journal
        self.numbers_by_name: dict[str, int] = {}
        self.names_by_number: dict[int, str] = {}  # message number -> publication name
        # names of publications that a client may submit again
        self.not_executed: set[str] = set()
        self.restored: list[PendingMessage] = []
        # name -> site of non-idempotent messages forwarded before this start
        self.recorded_sites = streams.sent.sites()
        self.accepted = self.rejected = 0

    # Admission

    def intercept(self, put: Put, m: PendingMessage, reply: ReplyHandle) -> bool:
        """A `MessageInterceptor`: take over messages for topics and for destinations of other sites."""
        if put.topic:
            self._intercept_publication(put, m, reply)
            return True
        table = self.table()
        owner = table.owners.get(put.dest)
        if owner == self.member_id.site:
            if self.serving.owns(put.dest):
                return False
            self._reject(m, reply, self._retry_after_us())
        elif owner is None:
            self.host.metrics.count_completion(ABORTED, m.class_index)
            reply.failed(f"dest: no site serves it by table {table.number}")
        elif self.serving.suspension.is_suspended and self.serving.suspension.destinations is None:
            self._reject(m, reply, self._retry_after_us())
        else:
            self._accept(m, self._as_publication(m), (owner,), reply)
        return True

    def _intercept_publication(self, put: Put, message: PendingMessage, reply: ReplyHandle) -> None:
        if self.serving.suspension.is_suspended and self.serving.suspension.destinations is None:
            self._reject(message, reply, self._retry_after_us())
            return
        table = self.table()
        publication = replace(
            self._as_publication(message), topic=put.topic, dest=-1, table_number=table.number
        )
        local_subscribers = expand(
            publication, self.member_id.site, table.owners, self.subscriptions.subscribers
        )
        sites = tuple(s for s in self.subscriptions.sites(put.topic) if s in table.sites)
        # Just after a start some subscriptions are unknown; sites without subscribers decline the entry.
        sites += self.subscriptions.unknown_sites(table.sites)
        if local_subscribers:
            sites = (self.member_id.site, *sites)
        if not sites:
            self.host.metrics.count_completion(ABORTED, message.class_index)
            reply.failed("topic: nobody has subscribed to it")
            return
        envelope = msgpack.packb([put.topic, table.number, list(sites), message.body])
        self._accept(replace(message, dest=TOPIC_DEST, body=envelope), publication, sites, reply)

    def _accept(
        self, message: PendingMessage, publication: Publication, sites: tuple[str, ...], reply: ReplyHandle
    ) -> None:
        try:
            retry_after_us = self.streams.retry_after_us(sites, len(publication.body))
        except FederationError as error:
            self.host.metrics.count_completion(ABORTED, message.class_index)
            reply.failed(error.line())
            return
        if retry_after_us is not None:
            self._reject(message, reply, retry_after_us)
            return
        self.host.admission.accept(message, [reply], lambda: self._publish(message, publication, sites))

    def _retry_after_us(self) -> int:
        """Return the Retry-After for a destination whose owner changes: the duration of the change so far.

        No client then waits more than twice as long as necessary.
        """
        elapsed_us = self.host.clock() - self.serving.changed_at_us
        return min(self.max_retry_after_us, max(MIN_RETRY_AFTER_US, elapsed_us))

    def _reject(self, message: PendingMessage, reply: ReplyHandle, retry_after_us: int) -> None:
        self.rejected += 1
        self.host.metrics.count_completion(DECLINED, message.class_index)
        reply.busy(retry_after_us)

    # Forwarding

    def _as_publication(self, message: PendingMessage) -> Publication:
        """Return the message as a publication for one destination.

        A message in custody here gets a derived id when it is forwarded: it may return to its origin, where
        its own id is that of the origin's message.
        """
        settings = self.host.settings
        message_class = settings.classes[message.class_index]
        tenant = settings.tenants[message.tenant].name if message.tenant < len(settings.tenants) else ""
        until_us = self.host.journal.wall.monotonic_us_at(message.deadline_s)
        ident = (
            derived_id(f"{self.member_id}:{message.id}", message.dest)
            if message.is_relayed or self.in_custody(message.id)
            else message.id
        )
        return Publication(
            ident,
            self.member_id,
            "",
            message.dest,
            message_class.name,
            DeliveryIdempotency(message_class.idempotency.value),
            tenant,
            message.key,
            str(message.order_key) if message.order_key else "",
            message.body,
            until_us,
            self.table().number,
        )

    def _publish(self, message: PendingMessage, publication: Publication, sites: tuple[str, ...]) -> None:
        self.accepted += 1
        self.numbers_by_name[publication.name], self.names_by_number[message.number] = (
            message.number,
            publication.name,
        )
        self.post_event(Published(publication, sites))
        if self.member_id.site in sites:
            self.deliver_locally(publication)

    def forward_message(self, message: PendingMessage) -> None:
        """Forward an accepted message whose destination another site now serves."""
        if message.number in self.names_by_number or self.is_settling(message.number):
            return
        owner = self.table().owners.get(message.dest)
        self.host.post_event(MessageWithdrawn(message.number))
        if owner is None or not self._may_forward(message):
            self.host.completions.complete(
                message, "undeliverable" if message.possibly_executed_at else "deferred", 0
            )
        elif owner != self.member_id.site:
            self._publish(message, self._as_publication(message), (owner,))

    def _may_forward(self, message: PendingMessage) -> bool:
        """Whether another site may attempt it: it was never executed, or a second execution is harmless."""
        message_class, executed_at = (
            self.host.settings.classes[message.class_index],
            message.possibly_executed_at,
        )
        if not executed_at or message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        # The other site does not know when the first attempt was, nor in which zone: the key window must
        # outlast the message, and hold for all endpoints.
        return (
            message_class.idempotency is Idempotency.WITH_KEY
            and message_class.key_scope == "all"
            and executed_at + message_class.key_window_us / 1e6 >= message.deadline_s
        )

    def take_back(self, message: PendingMessage) -> bool:
        """Withdraw a forwarded message that this site serves now, and pass it to the engine.

        Returns False if its destination is not served here at present.
        """
        if message.number not in self.names_by_number:
            return True
        if not self.serving.serves(message.dest):
            return False
        name = self.names_by_number[message.number]
        self._forget(name)
        self.post_event(PublicationWithdrawn(name))
        self.host.post_event(self.host.admission.arrival_event(message))
        return True

    # Restart

    def claim_restored(self, message: PendingMessage) -> bool:
        """A restore handler: whether a message is a publication or may be at another site already."""
        is_taken_back = self.in_custody(message.id) and not message.is_relayed
        is_forwarded = message.dest == TOPIC_DEST or (
            not message.possibly_executed_at
            and not is_taken_back
            and self._as_publication(message).name in self.recorded_sites
        )
        if is_forwarded:
            self.restored.append(message)
        return is_forwarded

    def resume_restored(self) -> None:
        """Publish the restored messages again; all state machines have started."""
        restored, self.restored = self.restored, []
        for message in restored:
            if message.dest != TOPIC_DEST:
                publication = self._as_publication(message)
                self._publish(message, publication, (self.recorded_sites[publication.name],))
                continue
            try:
                topic, table, sites, body = msgpack.unpackb(message.body)
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                log.error(
                    "federation: publication %s is undeliverable, its envelope is invalid: %s",
                    message.id,
                    error,
                )
                self.host.completions.complete(message, "undeliverable", 0)
                continue
            publication = replace(
                self._as_publication(replace(message, body=body)), topic=topic, dest=-1, table_number=table
            )
            self._publish(message, publication, tuple(sites))
        self.recorded_sites.clear()

    def forward_unserved(self) -> None:
        """Forward pending messages whose destinations other sites serve."""
        owners, own_site = self.table().owners, self.member_id.site
        pending = self.host.journal.pending.values()
        elsewhere = {
            message.dest
            for message in pending
            if not message.status and message.dest >= 0 and owners.get(message.dest) != own_site
        }
        for dest in elsewhere - self.serving.releasing.keys():
            self.serving.forward_pending(dest)

    # Outcomes

    def site_ended(self, action: SiteCompleted) -> None:
        """Note whether a site rejected its part without any attempt."""
        results = {end.result for end in action.failures}
        if not action.delivered and results == {Result.REFUSED} and not action.reason:
            self.not_executed.add(action.name)

    def publication_ended(self, action: PublicationCompleted) -> None:
        """Complete the message of a publication that ended at all sites."""
        not_executed = action.name in self.not_executed
        message = self._forget(action.name)
        if message is None or message.status:
            return
        if action.is_delivered:
            self.host.metrics.count_completion(SUCCEEDED, message.class_index)
            self.host.completions.complete_without_notice(message, delivered=True)
            return
        log.warning("federation: %s was not delivered to all subscribers: %s", action.name, action.failures)
        is_single = message.dest != TOPIC_DEST
        self.host.completions.complete(
            message, "deferred" if is_single and not_executed else "undeliverable", 0
        )

    def message_completed(self, number: int) -> None:
        """Withdraw the publication of a message that completed by its deadline or a second submission."""
        if (name := self.names_by_number.get(number)) is not None:
            self._forget(name)
            self.post_event(PublicationWithdrawn(name))

    def _forget(self, name: str) -> PendingMessage | None:
        self.not_executed.discard(name)
        number = self.numbers_by_name.pop(name, 0)
        self.names_by_number.pop(number, None)
        return self.host.journal.pending.get(number)
