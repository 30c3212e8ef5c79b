"""Publications at their origin: taken on at the door like any message, told one end, passed on between.

A publication lies in the journal as one message, whose destination is TOPIC and whose body is an envelope. A
message for a destination of another site lies there as it came.
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
from madderbeam.relay.derive import derived_id
from madderbeam.relay.grouping import expand
from madderbeam.relay.origin import Streams
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import (
    Effect,
    Publication,
    PublicationEnded,
    Published,
    Result,
    SiteEnded,
    Withdrawn,
)
from madderbeam.transport.clients import Put
from madderbeam.transport.reply_handle import ReplyHandle

SOON_US = 100_000  # the least time to come again where a destination changes hands
TOPIC = -2  # the destination of a publication, as the journal has it
log = logging.getLogger(__name__)


class Publications:
    """Door of admission for what other sites serve. `table` gives the one in force, `local` takes the own
    site's part of a publication, `streams` is told through `tell`."""

    def __init__(
        self,
        host: Host,
        me: MemberId,
        serving: Serving,
        streams: Streams,
        subscriptions: Subscriptions,
        table: Callable[[], Table],
        tell: Callable[[Any], None],
        local: Callable[[Publication], None],
        wait_us: int,
        in_custody: Callable[[str], bool] = lambda ident: False,
        settling: Callable[[int], bool] = lambda number: False,
    ) -> None:
        """`in_custody`: whether the message of this id is a delivery of another courier's publication;
        `settling`: whether that of this number has ended and is held until its end is kept."""
        self.in_custody, self.settling = in_custody, settling
        self.host, self.me, self.serving, self.streams = host, me, serving, streams
        self.subscriptions, self.table, self.tell, self.local = subscriptions, table, tell, local
        self.wait_us = wait_us  # told where a destination changes hands
        self.numbers: dict[str, int] = {}  # by publication, of its message in the journal
        self.names: dict[int, str] = {}  # the other way round
        self.never_ran: set[str] = set()  # those that may be handed in again
        self.restored: list[PendingMessage] = []
        self.sent = streams.sent.sites()  # of unsafe ones, before this start
        self.taken = self.refused = 0

    # The door

    def door(self, put: Put, m: PendingMessage, reply: ReplyHandle) -> bool:
        """Whether the message is for others; then it is answered here."""
        if put.topic:
            self._topic(put, m, reply)
            return True
        table = self.table()
        owner = table.owners.get(put.dest)
        if owner == self.me.site:
            if self.serving.owns(put.dest):
                return False
            self._busy(m, reply, self._settling_us())
        elif owner is None:
            self.host.metrics.count_completion(ABORTED, m.class_index)
            reply.failed(f"dest: no site serves it by table {table.number}")
        elif self.serving.hold.is_suspended and self.serving.hold.destinations is None:
            self._busy(m, reply, self._settling_us())
        else:
            self._take(m, self._single(m), (owner,), reply)
        return True

    def _topic(self, put: Put, m: PendingMessage, reply: ReplyHandle) -> None:
        if self.serving.hold.is_suspended and self.serving.hold.destinations is None:
            self._busy(m, reply, self._settling_us())
            return
        table = self.table()
        publication = replace(self._single(m), topic=put.topic, dest=-1, table=table.number)
        own = expand(publication, self.me.site, table.owners, self.subscriptions.subscribers)
        sites = tuple(s for s in self.subscriptions.sites(put.topic) if s in table.sites)
        sites += self.subscriptions.unheard(table.sites)  # just after a start: whoever has none says so
        if own:
            sites = (self.me.site, *sites)
        if not sites:
            self.host.metrics.count_completion(ABORTED, m.class_index)
            reply.failed("topic: nobody has subscribed to it")
            return
        envelope = msgpack.packb([put.topic, table.number, list(sites), m.body])
        self._take(replace(m, dest=TOPIC, body=envelope), publication, sites, reply)

    def _take(
        self, m: PendingMessage, publication: Publication, sites: tuple[str, ...], reply: ReplyHandle
    ) -> None:
        try:
            after = self.streams.refusal(sites, len(publication.body))
        except FederationError as error:
            self.host.metrics.count_completion(ABORTED, m.class_index)
            reply.failed(error.line())
            return
        if after is not None:
            self._busy(m, reply, after)
            return
        self.host.admission.accept(m, [reply], lambda: self._publish(m, publication, sites))

    def _settling_us(self) -> int:
        """When to come again to what is not served yet: as long as the change of hands has taken so far, so
        that none waits more than twice what it had to."""
        taken_us = self.host.clock() - self.serving.changed_us
        return min(self.wait_us, max(SOON_US, taken_us))

    def _busy(self, m: PendingMessage, reply: ReplyHandle, after_us: int) -> None:
        self.refused += 1
        self.host.metrics.count_completion(DECLINED, m.class_index)
        reply.busy(after_us)

    # On its way

    def _single(self, m: PendingMessage) -> Publication:
        """The message as an entry of one. What is in custody here has an id of its own on its further way: it
        may go back to where it came from, which knows its id as that of its own message."""
        s = self.host.settings
        cls = s.classes[m.class_index]
        tenant = s.tenants[m.tenant].name if m.tenant < len(s.tenants) else ""
        until_us = self.host.journal.wall.monotonic_us_at(m.deadline_s)
        ident = derived_id(f"{self.me}:{m.id}", m.dest) if m.is_relayed or self.in_custody(m.id) else m.id
        return Publication(
            ident,
            self.me,
            "",
            m.dest,
            cls.name,
            Effect(cls.idempotency.value),
            tenant,
            m.key,
            str(m.order_key) if m.order_key else "",
            m.body,
            until_us,
            self.table().number,
        )

    def _publish(self, m: PendingMessage, publication: Publication, sites: tuple[str, ...]) -> None:
        self.taken += 1
        self.numbers[publication.name], self.names[m.number] = m.number, publication.name
        self.tell(Published(publication, sites))
        if self.me.site in sites:
            self.local(publication)

    def passed_on(self, m: PendingMessage) -> None:
        """A message that was taken on for a destination which another site serves from now on."""
        if m.number in self.names or self.settling(m.number):
            return
        owner = self.table().owners.get(m.dest)
        self.host.post_event(MessageWithdrawn(m.number))
        if owner is None or not self._may_go(m):
            self.host.completions.complete(m, "undeliverable" if m.possibly_executed_at else "deferred", 0)
        elif owner != self.me.site:
            self._publish(m, self._single(m), (owner,))

    def _may_go(self, m: PendingMessage) -> bool:
        """Another site may make attempts of it: it never ran, or does no harm twice."""
        cls, ran = self.host.settings.classes[m.class_index], m.possibly_executed_at
        if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        # The other site does not know when the first attempt was: the window has to outlast the message.
        return cls.idempotency is Idempotency.WITH_KEY and ran + cls.key_window_us / 1e6 >= m.deadline_s

    def come_home(self, m: PendingMessage) -> bool:
        """A message of this courier's own is to be served by this site: it goes to the decision module if it
        was on its way to another. False: it is not served here now."""
        if m.number not in self.names:
            return True
        if not self.serving.serves(m.dest):
            return False
        name = self.names[m.number]
        self._forget(name)
        self.tell(Withdrawn(name))
        self.host.post_event(self.host.admission.arrival_event(m))
        return True

    # Over a restart

    def claims(self, m: PendingMessage) -> bool:
        """Whether a message that is restored is a publication, or may be at another site already."""
        home = self.in_custody(m.id) and not m.is_relayed  # it has come back since
        claimed = m.dest == TOPIC or (
            not m.possibly_executed_at and not home and self._single(m).name in self.sent
        )
        if claimed:
            self.restored.append(m)
        return claimed

    def resume(self) -> None:
        """All machines have started: go on with what is open."""
        restored, self.restored = self.restored, []
        for m in restored:
            if m.dest != TOPIC:
                publication = self._single(m)
                self._publish(m, publication, (self.sent[publication.name],))
                continue
            try:
                topic, table, sites, body = msgpack.unpackb(m.body)
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                log.error("a publication that can't be read ends: %s: %s", m.id, error)
                self.host.completions.complete(m, "undeliverable", 0)
                continue
            publication = replace(self._single(replace(m, body=body)), topic=topic, dest=-1, table=table)
            self._publish(m, publication, tuple(sites))
        self.sent.clear()

    def sweep(self) -> None:
        """What was restored for destinations of other sites goes there."""
        owners, mine = self.table().owners, self.me.site
        held = self.host.journal.pending.values()
        elsewhere = {m.dest for m in held if not m.status and m.dest >= 0 and owners.get(m.dest) != mine}
        for dest in elsewhere - self.serving.leaving.keys():
            self.serving.hand_over(dest)

    # Ends

    def site_ended(self, action: SiteEnded) -> None:
        """A site's part is over."""
        results = {end.result for end in action.ends}
        if not action.delivered and results == {Result.REFUSED} and not action.why:
            self.never_ran.add(action.name)

    def ended(self, action: PublicationEnded) -> None:
        """One end, as of any message."""
        harmless = action.name in self.never_ran
        m = self._forget(action.name)
        if m is None or m.status:
            return
        if action.delivered:
            self.host.metrics.count_completion(SUCCEEDED, m.class_index)
            self.host.completions.complete_without_notice(m, delivered=True)
            return
        log.warning("federation: %s was not delivered to all: %s", action.name, action.what)
        single = m.dest != TOPIC
        self.host.completions.complete(m, "deferred" if single and harmless else "undeliverable", 0)

    def over(self, number: int) -> None:
        """A message has ended otherwise: its time was up, or it was handed in anew."""
        if (name := self.names.get(number)) is not None:
            self._forget(name)
            self.tell(Withdrawn(name))

    def _forget(self, name: str) -> PendingMessage | None:
        self.never_ran.discard(name)
        number = self.numbers.pop(name, 0)
        self.names.pop(number, None)
        return self.host.journal.pending.get(number)
