"""The sender of one stream to each site's relay: queues, choice of relay, credit, resending, hand-over."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from madderbeam.membership.values import Incarnation, LinkUp, MemberId, MemberView, SendMessage
from madderbeam.relay.action_queue import ActionQueue
from madderbeam.relay.backlog import BacklogLimits
from madderbeam.relay.messages import Ack, Entry, Nak
from madderbeam.relay.selection import choose_relay, is_running
from madderbeam.relay.sent_records import SentRecords
from madderbeam.relay.site_backlog import DeliveryStage, SendStream, SiteBacklog, SiteDelivery
from madderbeam.relay.values import DeliveryIdempotency


@dataclass(frozen=True)
class StreamSettings:
    """Limits and times of the origin's end; times are in microseconds."""

    limits: BacklogLimits = field(default_factory=BacklogLimits)
    first_entries: int = 8  # in flight before the relay has advertised its credit
    first_bytes: int = 256 * 1024
    stall_us: int = 2_000_000  # a stream without an ack for this time restarts; doubles each time
    max_stall_us: int = 16_000_000
    link_wait_us: int = 2_000_000  # a relay without a link for this time is replaced
    handover_us: int = 2_000_000  # the next relay waits up to this time for acks of the previous one
    retry_us: int = 500_000  # nothing is sent for this time after a record was not written
    retention_us: int = (
        5_000_000  # records outlive their publication by this time, for the journal to complete it
    )
    keyed_window_us: int = 0  # after it no other relay gets an entry with key; 0: admission there decides


class StreamSender:
    """Sends the deliveries to other sites. One enters with `add` and leaves with `close`; in between it is
    queued, in flight, in custody, or waits after a rejection."""

    def __init__(
        self, settings: StreamSettings, own: MemberId, life: Incarnation, out: ActionQueue, sent: SentRecords
    ) -> None:
        self.settings, self.local_member, self.actions, self.sent = settings, own, out, sent
        self.members: dict[MemberId, MemberView] = {}
        self.links: dict[MemberId, SendStream] = {}
        self.link_lost_us: dict[MemberId, int] = {}  # members without a link -> time of its loss
        self.sites: dict[str, SiteBacklog] = {}
        self.number = life.start << 32  # of the last stream
        self.entries = self.bytes = 0  # pending at all sites

    def add(self, delivery: SiteDelivery) -> None:
        """Counts a new delivery against the site's backlog; `queue` makes it eligible for sending."""
        self._site(delivery.site).add(delivery)
        self.entries += 1
        self.bytes += delivery.size

    def queue(self, delivery: SiteDelivery) -> None:
        """Queues a delivery and sends what may be sent."""
        site = self.sites[delivery.site]
        site.move(delivery, DeliveryStage.QUEUED)
        self._pump(site)

    def close(self, delivery: SiteDelivery) -> None:
        """Removes a completed delivery."""
        site = self.sites[delivery.site]
        site.move(delivery, DeliveryStage.COMPLETED)
        self.entries -= 1
        self.bytes -= delivery.size
        self.actions.timers.cancel(f"rest:{delivery.key}")
        if delivery.publication.order_key:
            self._pump(site)
        self._remove_if_unused(site)

    # Sending

    def _pump(self, site: SiteBacklog) -> None:
        """Sends what credit, order and hand-over permit now."""
        for _, delivery in list(site.pinned):
            stream = self.links.get(delivery.relay) if delivery.relay else None
            view = self.members.get(delivery.relay) if delivery.relay else None
            if (
                stream
                and self._may_send(stream, delivery)
                and (view is None or view.incarnation.start >= delivery.relay_start)
            ):
                self._send(site, delivery, stream)
        stream = self.links.get(site.relay) if site.relay else None
        if stream is None or self._handing_over(site):
            return
        index = 0
        while index < len(site.queue) and self._may_send(stream, site.queue[index][1]):
            delivery = site.queue[index][1]
            if not site.order_permits(delivery, stream.member) or not self._send(site, delivery, stream):
                index += 1

    def _may_send(self, stream: SendStream, delivery: SiteDelivery) -> bool:
        return stream.paused_until_us <= self.actions.now and stream.has_credit(delivery)

    def _handing_over(self, site: SiteBacklog) -> bool:
        """Entries in flight to the previous relay are acknowledged first, to keep the order."""
        previous = self.links.get(site.previous_relay) if site.previous_relay else None
        if (
            site.previous_relay == site.relay
            or previous is None
            or not previous.in_flight
            or self.actions.now >= site.handover_until_us
        ):
            site.previous_relay = None
        return site.previous_relay is not None

    def _send(self, site: SiteBacklog, delivery: SiteDelivery, stream: SendStream) -> bool:
        """Sends one entry. False if its deadline would pass before the outcome could be back."""
        publication = delivery.publication
        remaining_us = publication.deadline_us - self.actions.now
        window = self.settings.keyed_window_us
        if publication.idempotency is DeliveryIdempotency.WITH_KEY and window and delivery.first_sent_us:
            # Another relay may have attempted it since `first_sent_us`, when the window of its key began.
            remaining_us = min(remaining_us, delivery.first_sent_us + window - self.actions.now)
        if remaining_us <= stream.rtt_us:
            return False
        view = self.members.get(stream.member)
        delivery.relay, delivery.relay_start = (
            stream.member,
            view.incarnation.start if view else delivery.relay_start,
        )
        delivery.attempts += 1
        delivery.first_sent_us = delivery.first_sent_us or self.actions.now
        if publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT:
            delivery.is_pinned = True
            self.sent.write(delivery)
        if not stream.in_flight:
            stream.progress_us = self.actions.now
        site.move(delivery, DeliveryStage.IN_FLIGHT)
        entry = Entry(stream.number, stream.push(delivery), replace(publication, deadline_us=0), remaining_us)
        self.actions.ordered.append(SendMessage(stream.member, entry))
        self.actions.timers.set_earlier(
            f"stall:{stream.member}", stream.progress_us + stream.stall_us + stream.rtt_us
        )
        return True

    def _requeue(self, delivery: SiteDelivery) -> None:
        if delivery.stage in (DeliveryStage.QUEUED, DeliveryStage.IN_FLIGHT, DeliveryStage.IN_CUSTODY):
            self.sites[delivery.site].move(delivery, DeliveryStage.QUEUED)

    def _may_move(self, delivery: SiteDelivery) -> bool:
        """Whether another relay may get it: a second delivery would do no harm."""
        window = self.settings.keyed_window_us
        if delivery.publication.idempotency is DeliveryIdempotency.WITH_KEY and window:
            return self.actions.now - delivery.first_sent_us <= window
        return delivery.publication.idempotency is not DeliveryIdempotency.NON_IDEMPOTENT

    # Acknowledgements

    def acknowledged(self, member: MemberId, message: Ack | Nak) -> None:
        """Handles an ack or a rejection; those of an older stream are ignored."""
        stream = self.links.get(member)
        if stream is None or message.stream != stream.number:
            return
        stream.progress_us, stream.stall_us = self.actions.now, self.settings.stall_us
        if isinstance(message, Ack):
            for delivery in stream.acknowledge(message.seq):
                self.sites[delivery.site].move(delivery, DeliveryStage.IN_CUSTODY)
            stream.credit_entries, stream.credit_bytes = message.credit_entries, message.credit_bytes
        else:
            self._rejected(stream, message)
        self._watch(stream)
        if member.site in self.sites:
            self._pump(self.sites[member.site])

    def _watch(self, stream: SendStream) -> None:
        if stream.in_flight:
            self.actions.timers.set(
                f"stall:{stream.member}", self.actions.now + stream.stall_us + stream.rtt_us
            )
        else:
            self.actions.timers.cancel(f"stall:{stream.member}")

    def _rejected(self, stream: SendStream, nak: Nak) -> None:
        delivery = stream.pop(nak.seq)
        if delivery is None:
            return
        site = self.sites[delivery.site]
        delivery.is_pinned = False
        if nak.try_another_relay:
            site.excluded[stream.member] = self.actions.now + nak.retry_after_us
            self.actions.timers.set_earlier(f"choose:{site.name}", self.actions.now + nak.retry_after_us)
            site.move(delivery, DeliveryStage.QUEUED)
            self._choose(site)
        else:
            site.move(delivery, DeliveryStage.REJECTED)
            self.actions.timers.set(f"rest:{delivery.key}", self.actions.now + nak.retry_after_us)

    # Members and links

    def _site(self, name: str) -> SiteBacklog:
        if name not in self.sites:
            self.sites[name] = SiteBacklog(name, unreachable_since_us=self.actions.now)
        return self.sites[name]

    def _remove_if_unused(self, site: SiteBacklog) -> None:
        """Removes a site that has no member and no pending delivery."""
        if not site.deliveries and site.unreachable_since_us >= 0:
            self.sites.pop(site.name, None)
            self.actions.timers.cancel(f"choose:{site.name}")

    def member(self, view: MemberView) -> None:
        """A member's state changed: deliveries at a dead member move where that does no harm."""
        if view.id.site == self.local_member.site:
            return
        site = self._site(view.id.site)
        if is_running(view):
            self.members[view.id] = view
            if view.id not in self.links:
                self.link_lost_us.setdefault(view.id, self.actions.now)
        else:
            self.members.pop(view.id, None)
            self.link_lost_us.pop(view.id, None)
            site.excluded.pop(view.id, None)
            for delivery in site.at(view.id):
                if self._may_move(delivery):
                    delivery.is_pinned, delivery.relay, delivery.report = False, None, None
                    self._requeue(delivery)
        self._choose(site)
        self._remove_if_unused(site)

    def _choose(self, site: SiteBacklog) -> None:
        """Chooses the relay of a site, and starts a hand-over if it changes while entries are in flight."""
        views = [view for view in self.members.values() if view.id.site == site.name]
        site.unreachable_since_us = (
            -1 if views else self.actions.now if site.unreachable_since_us < 0 else site.unreachable_since_us
        )
        site.excluded = {
            member: until_us for member, until_us in site.excluded.items() if until_us > self.actions.now
        }
        with_link = [
            view
            for view in views
            if view.id in self.links or (view.id == site.relay and self._awaits_link(view.id))
        ]
        previous = site.relay
        site.relay = choose_relay(self.local_member, with_link or views, previous, site.excluded)
        if (
            previous is not None
            and site.relay != previous
            and previous in self.links
            and self.links[previous].in_flight
        ):
            site.previous_relay, site.handover_until_us = (
                previous,
                self.actions.now + self.settings.handover_us,
            )
            self.actions.timers.set_earlier(f"choose:{site.name}", site.handover_until_us)
        self._pump(site)

    def _awaits_link(self, member: MemberId) -> bool:
        """Whether its link was lost recently and may come back."""
        return self.actions.now < self.link_lost_us.get(member, 0) + self.settings.link_wait_us

    def link_up(self, event: LinkUp) -> None:
        """A link is up: a new stream starts on it."""
        if event.member.site == self.local_member.site:
            return
        self.link_down(event.member)
        self.link_lost_us.pop(event.member, None)
        self.number += 1
        settings = self.settings
        self.links[event.member] = SendStream(
            event.member,
            event.rtt_us,
            self.number,
            settings.first_entries,
            settings.first_bytes,
            settings.stall_us,
            self.actions.now,
        )
        if event.member.site in self.sites:
            self._choose(self.sites[event.member.site])

    def link_down(self, member: MemberId) -> None:
        """The link is lost: entries in flight are queued again."""
        stream = self.links.pop(member, None)
        if stream is None:
            return
        self.actions.timers.cancel(f"stall:{member}")
        for delivery in stream.restart(0, self.actions.now):
            self._requeue_out(delivery)
        if member in self.members:
            self.link_lost_us[member] = self.actions.now
            self.actions.timers.set_earlier(
                f"choose:{member.site}", self.actions.now + self.settings.link_wait_us
            )

    def _requeue_out(self, delivery: SiteDelivery) -> None:
        if not self._may_move(delivery):
            delivery.is_pinned = delivery.attempts > 0
        self._requeue(delivery)

    # Timers

    def choose(self, name: str) -> None:
        """Chooses the relay of this site again after a timer."""
        if name in self.sites:
            self._choose(self.sites[name])

    def retry(self, delivery: SiteDelivery) -> None:
        """The Retry-After of a rejected delivery has passed."""
        if delivery.stage is DeliveryStage.REJECTED:
            self.queue(delivery)

    def stalled(self, name: str) -> None:
        """No ack within the stall timeout: the stream restarts, and all entries in flight are sent again."""
        stream = self.links.get(MemberId(*name.split("/", 1)))
        if stream is None:
            return
        if stream.in_flight:
            self.number += 1
            stream.stall_us = min(2 * stream.stall_us, self.settings.max_stall_us)
            for delivery in stream.restart(self.number, self.actions.now):
                self._requeue_out(delivery)
        if stream.member.site in self.sites:
            self._pump(self.sites[stream.member.site])

    def unwritten(self, delivery: SiteDelivery | None) -> None:
        """A record was not written, and the actions after it are lost, whatever stream they were for: all
        streams restart after `retry_us`. `delivery` is the delivery of that record."""
        if delivery is not None and delivery.stage is DeliveryStage.IN_FLIGHT:
            delivery.attempts -= 1
        for stream in self.links.values():
            stream.paused_until_us = self.actions.now + self.settings.retry_us
            self.actions.timers.set(f"stall:{stream.member}", stream.paused_until_us)
