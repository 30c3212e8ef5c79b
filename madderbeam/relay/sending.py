"""The sender of one stream to each site's relay: queues, choice of relay, credit, resending, hand-over."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from madderbeam.membership.values import Incarnation, LinkUp, MemberId, MemberView, SendMessage
from madderbeam.relay.choice import choose, lives
from madderbeam.relay.door import Room
from madderbeam.relay.legs import Leg, Outbound, Site, Stage
from madderbeam.relay.messages import Ack, Entry, Nak
from madderbeam.relay.outlet import Outlet
from madderbeam.relay.sent import Sent
from madderbeam.relay.values import Effect


@dataclass(frozen=True)
class StreamSettings:
    """Limits and times of the origin's end; times are in microseconds."""

    room: Room = field(default_factory=Room)
    first_entries: int = 8  # in flight before the relay has advertised its credit
    first_bytes: int = 256 * 1024
    stall_us: int = 2_000_000  # a stream without an ack for this time restarts; doubles each time
    stall_most_us: int = 16_000_000
    link_wait_us: int = 2_000_000  # a relay without a link for this time is replaced
    handover_us: int = 2_000_000  # the next relay waits up to this time for acks of the previous one
    retry_us: int = 500_000  # nothing is sent for this time after a record was not written
    kept_us: int = 5_000_000  # records outlive their publication by this time, for the journal to complete it
    keyed_window_us: int = 0  # after it no other relay gets an entry with key; 0: admission there decides


class Sending:
    """Sends the deliveries to other sites. One enters with `add` and leaves with `close`; in between it is
    queued, in flight, in custody, or waits after a rejection."""

    def __init__(
        self, settings: StreamSettings, own: MemberId, life: Incarnation, out: Outlet, sent: Sent
    ) -> None:
        self.settings, self.own, self.out, self.sent = settings, own, out, sent
        self.members: dict[MemberId, MemberView] = {}
        self.links: dict[MemberId, Outbound] = {}
        self.down: dict[MemberId, int] = {}  # members without a link -> time of its loss
        self.sites: dict[str, Site] = {}
        self.number = life.start << 32  # of the last stream
        self.entries = self.bytes = 0  # pending at all sites

    def add(self, leg: Leg) -> None:
        """Counts a new delivery against the site's backlog; `queue` makes it eligible for sending."""
        self._site(leg.site).add(leg)
        self.entries += 1
        self.bytes += leg.size

    def queue(self, leg: Leg) -> None:
        """Queues a delivery and sends what may be sent."""
        site = self.sites[leg.site]
        site.move(leg, Stage.QUEUED)
        self._pump(site)

    def close(self, leg: Leg) -> None:
        """Removes a completed delivery."""
        site = self.sites[leg.site]
        site.move(leg, Stage.OVER)
        self.entries -= 1
        self.bytes -= leg.size
        self.out.alarms.drop(f"rest:{leg.key}")
        if leg.publication.order:
            self._pump(site)
        self._leave(site)

    # Sending

    def _pump(self, site: Site) -> None:
        """Sends what credit, order and hand-over permit now."""
        for _, leg in list(site.pinned):
            stream = self.links.get(leg.relay) if leg.relay else None
            view = self.members.get(leg.relay) if leg.relay else None
            if stream and self._open(stream, leg) and (view is None or view.incarnation.start >= leg.start):
                self._send(site, leg, stream)
        stream = self.links.get(site.relay) if site.relay else None
        if stream is None or self._handing_over(site):
            return
        index = 0
        while index < len(site.queue) and self._open(stream, site.queue[index][1]):
            leg = site.queue[index][1]
            if not site.fits(leg, stream.member) or not self._send(site, leg, stream):
                index += 1

    def _open(self, stream: Outbound, leg: Leg) -> bool:
        return stream.sick_us <= self.out.now and stream.room(leg)

    def _handing_over(self, site: Site) -> bool:
        """Entries in flight to the previous relay are acknowledged first, to keep the order."""
        previous = self.links.get(site.before) if site.before else None
        if (
            site.before == site.relay
            or previous is None
            or not previous.out
            or self.out.now >= site.before_until_us
        ):
            site.before = None
        return site.before is not None

    def _send(self, site: Site, leg: Leg, stream: Outbound) -> bool:
        """Sends one entry. False if its deadline would pass before the outcome could be back."""
        publication = leg.publication
        left_us = publication.until_us - self.out.now
        window = self.settings.keyed_window_us
        if publication.effect is Effect.KEYED and window and leg.first_us:
            # Another relay may have attempted it since `first_us`, when the window of its key began.
            left_us = min(left_us, leg.first_us + window - self.out.now)
        if left_us <= stream.rtt_us:
            return False
        view = self.members.get(stream.member)
        leg.relay, leg.start = stream.member, view.incarnation.start if view else leg.start
        leg.tries += 1
        leg.first_us = leg.first_us or self.out.now
        if publication.effect is Effect.UNSAFE:
            leg.pinned = True
            self.sent.write(leg)
        if not stream.out:
            stream.moved_us = self.out.now
        site.move(leg, Stage.OUT)
        entry = Entry(stream.number, stream.push(leg), replace(publication, until_us=0), left_us)
        self.out.bound.append(SendMessage(stream.member, entry))
        self.out.alarms.sooner(f"stall:{stream.member}", stream.moved_us + stream.stall_us + stream.rtt_us)
        return True

    def _requeue(self, leg: Leg) -> None:
        if leg.stage in (Stage.QUEUED, Stage.OUT, Stage.HELD):
            self.sites[leg.site].move(leg, Stage.QUEUED)

    def _may_move(self, leg: Leg) -> bool:
        """Whether another relay may get it: a second delivery would do no harm."""
        window = self.settings.keyed_window_us
        if leg.publication.effect is Effect.KEYED and window:
            return self.out.now - leg.first_us <= window
        return leg.publication.effect is not Effect.UNSAFE

    # Acknowledgements

    def word(self, member: MemberId, message: Ack | Nak) -> None:
        """Handles an ack or a rejection; those of an older stream are ignored."""
        stream = self.links.get(member)
        if stream is None or message.stream != stream.number:
            return
        stream.moved_us, stream.stall_us = self.out.now, self.settings.stall_us
        if isinstance(message, Ack):
            for leg in stream.upto(message.seq):
                self.sites[leg.site].move(leg, Stage.HELD)
            stream.entries, stream.bytes = message.entries, message.bytes
        else:
            self._turned_away(stream, message)
        self._watch(stream)
        if member.site in self.sites:
            self._pump(self.sites[member.site])

    def _watch(self, stream: Outbound) -> None:
        if stream.out:
            self.out.alarms.set(f"stall:{stream.member}", self.out.now + stream.stall_us + stream.rtt_us)
        else:
            self.out.alarms.drop(f"stall:{stream.member}")

    def _turned_away(self, stream: Outbound, nak: Nak) -> None:
        leg = stream.pop(nak.seq)
        if leg is None:
            return
        site = self.sites[leg.site]
        leg.pinned = False
        if nak.keep_out:
            site.kept_out[stream.member] = self.out.now + nak.after_us
            self.out.alarms.sooner(f"choose:{site.name}", self.out.now + nak.after_us)
            site.move(leg, Stage.QUEUED)
            self._choose(site)
        else:
            site.move(leg, Stage.RESTING)
            self.out.alarms.set(f"rest:{leg.key}", self.out.now + nak.after_us)

    # Members and links

    def _site(self, name: str) -> Site:
        if name not in self.sites:
            self.sites[name] = Site(name, away_us=self.out.now)
        return self.sites[name]

    def _leave(self, site: Site) -> None:
        """Removes a site that has no member and no pending delivery."""
        if not site.legs and site.away_us >= 0:
            self.sites.pop(site.name, None)
            self.out.alarms.drop(f"choose:{site.name}")

    def member(self, view: MemberView) -> None:
        """A member's state changed: deliveries at a dead member move where that does no harm."""
        if view.id.site == self.own.site:
            return
        site = self._site(view.id.site)
        if lives(view):
            self.members[view.id] = view
            if view.id not in self.links:
                self.down.setdefault(view.id, self.out.now)
        else:
            self.members.pop(view.id, None)
            self.down.pop(view.id, None)
            site.kept_out.pop(view.id, None)
            for leg in site.at(view.id):
                if self._may_move(leg):
                    leg.pinned, leg.relay, leg.row = False, None, None
                    self._requeue(leg)
        self._choose(site)
        self._leave(site)

    def _choose(self, site: Site) -> None:
        """Chooses the relay of a site, and starts a hand-over if it changes while entries are in flight."""
        views = [view for view in self.members.values() if view.id.site == site.name]
        site.away_us = -1 if views else self.out.now if site.away_us < 0 else site.away_us
        site.kept_out = {
            member: until_us for member, until_us in site.kept_out.items() if until_us > self.out.now
        }
        with_link = [
            view
            for view in views
            if view.id in self.links or (view.id == site.relay and self._waits(view.id))
        ]
        previous = site.relay
        site.relay = choose(self.own, with_link or views, previous, site.kept_out)
        if (
            previous is not None
            and site.relay != previous
            and previous in self.links
            and self.links[previous].out
        ):
            site.before, site.before_until_us = previous, self.out.now + self.settings.handover_us
            self.out.alarms.sooner(f"choose:{site.name}", site.before_until_us)
        self._pump(site)

    def _waits(self, member: MemberId) -> bool:
        """Whether its link was lost recently and may come back."""
        return self.out.now < self.down.get(member, 0) + self.settings.link_wait_us

    def up(self, event: LinkUp) -> None:
        """A link is up: a new stream starts on it."""
        if event.member.site == self.own.site:
            return
        self.link_down(event.member)
        self.down.pop(event.member, None)
        self.number += 1
        settings = self.settings
        self.links[event.member] = Outbound(
            event.member,
            event.rtt_us,
            self.number,
            settings.first_entries,
            settings.first_bytes,
            settings.stall_us,
            self.out.now,
        )
        if event.member.site in self.sites:
            self._choose(self.sites[event.member.site])

    def link_down(self, member: MemberId) -> None:
        """The link is lost: entries in flight are queued again."""
        stream = self.links.pop(member, None)
        if stream is None:
            return
        self.out.alarms.drop(f"stall:{member}")
        for leg in stream.restart(0, self.out.now):
            self._requeue_out(leg)
        if member in self.members:
            self.down[member] = self.out.now
            self.out.alarms.sooner(f"choose:{member.site}", self.out.now + self.settings.link_wait_us)

    def _requeue_out(self, leg: Leg) -> None:
        if not self._may_move(leg):
            leg.pinned = leg.tries > 0
        self._requeue(leg)

    # Timers

    def choose(self, name: str) -> None:
        """Chooses the relay of this site again after a timer."""
        if name in self.sites:
            self._choose(self.sites[name])

    def rested(self, leg: Leg) -> None:
        """The Retry-After of a rejected delivery has passed."""
        if leg.stage is Stage.RESTING:
            self.queue(leg)

    def stalled(self, name: str) -> None:
        """No ack within the stall timeout: the stream restarts, and all entries in flight are sent again."""
        stream = self.links.get(MemberId(*name.split("/", 1)))
        if stream is None:
            return
        if stream.out:
            self.number += 1
            stream.stall_us = min(2 * stream.stall_us, self.settings.stall_most_us)
            for leg in stream.restart(self.number, self.out.now):
                self._requeue_out(leg)
        if stream.member.site in self.sites:
            self._pump(self.sites[stream.member.site])

    def unwritten(self, leg: Leg | None) -> None:
        """A record was not written, and the actions after it are lost, whatever stream they were for: all
        streams restart after `retry_us`. `leg` is the delivery of that record."""
        if leg is not None and leg.stage is Stage.OUT:
            leg.tries -= 1
        for stream in self.links.values():
            stream.sick_us = self.out.now + self.settings.retry_us
            self.out.alarms.set(f"stall:{stream.member}", stream.sick_us)
