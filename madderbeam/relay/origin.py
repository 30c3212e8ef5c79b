"""The origin's end: accepts publications and reports one outcome for each by its deadline.

The relay of a non-idempotent entry is recorded on disk before the entry is sent, and no other relay gets the
entry unless that one rejects it. Idempotent entries, with or without a key, move to the next relay when
theirs dies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.federation.errors import FederationError, PublicationTooLarge
from madderbeam.membership.values import (
    Incarnation,
    LinkDown,
    LinkUp,
    MemberChanged,
    MemberId,
    MessageReceived,
    SendMessage,
    TimerDue,
    WriteFailed,
)
from madderbeam.relay.door import Use, why_not
from madderbeam.relay.legs import Leg, Site, Stage
from madderbeam.relay.messages import BODY_MOST, Ack, EndRow, Ends, EndsAck, Nak
from madderbeam.relay.outlet import Action, Outlet
from madderbeam.relay.sending import Sending, StreamSettings
from madderbeam.relay.sent import SENT, Sent
from madderbeam.relay.values import (
    DeliveryEnd,
    Effect,
    LocalEnded,
    Publication,
    PublicationEnded,
    Published,
    Result,
    SiteEnded,
    Withdrawn,
)

TIMER = "streams"
WHAT_MOST = 2_000  # characters


@dataclass
class Held:
    """A publication that is not completed yet."""

    publication: Publication
    legs: dict[str, Leg]
    delivered: bool = True
    what: list[str] = field(default_factory=list)

    @property
    def over(self) -> bool:
        """Whether the deliveries to all sites are completed."""
        return all(leg.stage is Stage.OVER for leg in self.legs.values())


class Streams:
    """State machine of the origin's end of all streams.

    `wall_ms` returns the wall clock time in ms of a monotonic time in us; `records` are the records found on
    disk at the start.
    """

    def __init__(
        self,
        settings: StreamSettings,
        own: MemberId,
        life: Incarnation,
        wall_ms: Callable[[int], int],
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings, self.own = settings, own
        self.out = Outlet(TIMER)
        self.sent = Sent(self.out, wall_ms, settings.kept_us, records)
        self.sending = Sending(settings, own, life, self.out, self.sent)
        self.held: dict[str, Held] = {}
        self.taken = 0  # publications since the start
        self.begun = False

    # Admission

    def why_not(self, sites: Iterable[str], size: int) -> FederationError | None:
        """The error with which a publication of `size` bytes for these sites is rejected now, or None."""
        known, remote = self.sending.sites, [name for name in sites if name != self.own.site]
        candidates = [known.get(name) or Site(name, away_us=0) for name in remote]
        return why_not(self.settings.room, Use(self.sending.entries, self.sending.bytes), candidates, size)

    def refusal(self, sites: Iterable[str], size: int) -> int | None:
        """None if the publication may be accepted, else the Retry-After in us. Raises PublicationTooLarge
        for a body that is never accepted."""
        error = self.why_not(sites, size)
        if isinstance(error, PublicationTooLarge):
            raise error
        return getattr(error, "after_us", None)

    @property
    def figures(self) -> dict[str, dict[str, Any]]:
        """State for the operator, by site."""
        return {
            site.name: {
                "relay": str(site.relay) if site.relay else None,
                "away_since_us": site.away_us if site.away_us >= 0 else None,
                "open": len(site.legs),
                "bytes": site.bytes,
                "waiting": len(site.queue) + len(site.pinned),
                "out": sum(1 for leg in site.legs.values() if leg.stage is Stage.OUT),
                "in_custody": sum(1 for leg in site.legs.values() if leg.stage is Stage.HELD),
            }
            for site in self.sending.sites.values()
        }

    # Events

    def handle(self, now_us: int, event: Any) -> list[Action]:
        """Applies one event and returns the actions to perform, in order."""
        self.out.begin(now_us)
        if not self.begun:
            self.begun = True
            self.sent.begin()
        if isinstance(event, Published):
            self._published(event)
        elif isinstance(event, Withdrawn):
            self._withdrawn(event.name)
        elif isinstance(event, LocalEnded):
            self._local(event)
        elif isinstance(event, MessageReceived):
            self._from_link(event.member, event.message)
        elif isinstance(event, MemberChanged):
            self.sending.member(event.view)
        elif isinstance(event, LinkUp):
            self.sending.up(event)
        elif isinstance(event, LinkDown):
            self.sending.link_down(event.member)
        elif isinstance(event, TimerDue) and event.token == TIMER:
            self._due()
        elif isinstance(event, WriteFailed) and event.kind == SENT:
            self.sending.unwritten(self._leg(event.key))
            self.sent.unwritten(self.settings.retry_us)
        return self.out.take()

    def _leg(self, key: str) -> Leg | None:
        """The delivery with this record key, if its publication is pending."""
        name, _, site = key.rpartition("|")
        held = self.held.get(name)
        return held.legs.get(site) if held else None

    def _from_link(self, member: MemberId, message: Any) -> None:
        if isinstance(message, Ends):
            self.out.free.append(SendMessage(member, EndsAck(message.number)))
            for row in message.rows:
                self._row(member, row)
        elif isinstance(message, Ack | Nak):
            self.sending.word(member, message)

    def _due(self) -> None:
        for token in self.out.due():
            kind, _, name = token.partition(":")
            if kind == "until" and name in self.held:
                self._time_up(self.held[name])
            elif kind == "rest":
                leg = self._leg(name)
                if leg is not None:
                    self.sending.rested(leg)
            elif kind == "stall":
                self.sending.stalled(name)
            elif kind == "choose":
                self.sending.choose(name)
            elif kind == "unsent":
                self.sent.forget(name)

    # Publications

    def _published(self, event: Published) -> None:
        publication = event.publication
        if publication.name in self.held:
            return
        if len(publication.body) > BODY_MOST:
            raise PublicationTooLarge(f"a body of {len(publication.body)} bytes, at most {BODY_MOST}")
        self.taken += 1
        held = self.held[publication.name] = Held(publication, {})
        pinned_relays = dict(event.relays)
        recorded_ends = []
        for name in dict.fromkeys(event.sites):
            leg = held.legs[name] = Leg(publication, name, self.taken)
            if name == self.own.site:
                leg.stage = Stage.LOCAL
                continue
            recorded = self.sent.pin(leg, pinned_relays.get(name))
            self.sending.add(leg)
            if recorded is not None:
                recorded_ends.append((leg, recorded))
            else:
                self.sending.queue(leg)
        self.out.alarms.set(f"until:{publication.name}", max(self.out.now, publication.until_us))
        for leg, (delivered, whole, why, rows) in recorded_ends:
            self._end(leg, delivered, tuple(DeliveryEnd(d, Result(r)) for d, r in rows), why, bool(whole))
        self._whole(held)

    def _withdrawn(self, name: str) -> None:
        held = self.held.get(name)
        if held is None:
            return
        for leg in held.legs.values():
            if leg.stage is not Stage.OVER:
                self._close(leg)
        self._drop(held)

    def _local(self, event: LocalEnded) -> None:
        held = self.held.get(event.name)
        leg = held.legs.get(self.own.site) if held else None
        if leg is not None and leg.stage is Stage.LOCAL:
            self._end(leg, event.delivered, event.ends, "", not event.ends)

    def _end(self, leg: Leg, delivered: int, ends: tuple[DeliveryEnd, ...], why: str, whole: bool) -> None:
        """Completes the deliveries to one site and reports it, once."""
        held = self.held[leg.publication.name]
        self.out.free.append(SiteEnded(leg.publication.name, leg.site, delivered, ends, why))
        if not whole:
            held.delivered = False
            missed = ", ".join(f"{end.dest} {end.result.name.lower()}" for end in ends) or "not known which"
            held.what.append(f"{leg.site}: {delivered} delivered; not: {missed}{why and '; ' + why}")
        self._close(leg)
        if leg.tries and leg.publication.effect is Effect.UNSAFE and not held.over:
            self.sent.write(leg, [delivered, int(whole), why, [[e.dest, int(e.result)] for e in ends]])
        self._whole(held)

    def _close(self, leg: Leg) -> None:
        if leg.stage is Stage.LOCAL:
            leg.stage = Stage.OVER
        else:
            self.sending.close(leg)

    def _whole(self, held: Held) -> None:
        if self.held.get(held.publication.name) is not held:
            return
        if held.over:
            what = "; ".join(held.what)[:WHAT_MOST]
            self.out.free.append(PublicationEnded(held.publication.name, held.delivered, what))
            self._drop(held)

    def _drop(self, held: Held) -> None:
        self.held.pop(held.publication.name, None)
        self.out.alarms.drop(f"until:{held.publication.name}")
        for leg in held.legs.values():
            self.sent.over(leg)

    def _time_up(self, held: Held) -> None:
        for leg in list(held.legs.values()):
            if leg.stage is not Stage.OVER:
                missing = f"{leg.row.left} of {leg.row.total} not over" if leg.row else _missing(leg)
                self._end(
                    leg, leg.row.delivered if leg.row else 0, leg.ends(), f"time is up: {missing}", False
                )

    def _row(self, member: MemberId, row: EndRow) -> None:
        held = self.held.get(row.name)
        leg = held.legs.get(member.site) if held else None
        if leg is None or leg.stage in (Stage.OVER, Stage.LOCAL):
            return
        whole = not row.left and row.delivered == row.total
        if leg.relay != member and not whole:
            return  # a later relay has the entry, and its reports count
        if not row.left:
            self._end(leg, row.delivered, row.ends, row.why, whole)
        elif leg.row is None or row.left <= leg.row.left:
            leg.row = row


def _missing(leg: Leg) -> str:
    if leg.stage is Stage.HELD:
        return f"{leg.relay} has it and tells no ends"
    return f"sent to {leg.relay}, which does not answer" if leg.tries else "no relay took it"
