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
from madderbeam.relay.door import BacklogUsage, check_backlog
from madderbeam.relay.legs import DeliveryStage, SiteBacklog, SiteDelivery
from madderbeam.relay.messages import MAX_BODY_BYTES, Ack, DeliveryReport, Nak, ReportBatch, ReportBatchAck
from madderbeam.relay.outlet import Action, ActionQueue
from madderbeam.relay.sending import StreamSender, StreamSettings
from madderbeam.relay.sent import SENT, SentRecords
from madderbeam.relay.values import (
    DeliveryIdempotency,
    DeliveryOutcome,
    LocalSiteCompleted,
    Publication,
    PublicationCompleted,
    PublicationWithdrawn,
    Published,
    Result,
    SiteCompleted,
)

TIMER = "streams"
MAX_FAILURES_CHARACTERS = 2_000  # characters


@dataclass
class PendingPublication:
    """A publication that is not completed yet."""

    publication: Publication
    deliveries: dict[str, SiteDelivery]
    delivered: bool = True
    failures: list[str] = field(default_factory=list)

    @property
    def is_completed(self) -> bool:
        """Whether the deliveries to all sites are completed."""
        return all(leg.stage is DeliveryStage.COMPLETED for leg in self.deliveries.values())


class OriginStreams:
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
        self.settings, self.local_member = settings, own
        self.actions = ActionQueue(TIMER)
        self.sent = SentRecords(self.actions, wall_ms, settings.retention_us, records)
        self.sender = StreamSender(settings, own, life, self.actions, self.sent)
        self.pending: dict[str, PendingPublication] = {}
        self.accepted_count = 0  # publications since the start
        self.is_started = False

    # Admission

    def rejection(self, sites: Iterable[str], size: int) -> FederationError | None:
        """The error with which a publication of `size` bytes for these sites is rejected now, or None."""
        known, remote = self.sender.sites, [name for name in sites if name != self.local_member.site]
        candidates = [known.get(name) or SiteBacklog(name, unreachable_since_us=0) for name in remote]
        return check_backlog(
            self.settings.limits, BacklogUsage(self.sender.entries, self.sender.bytes), candidates, size
        )

    def retry_after_us(self, sites: Iterable[str], size: int) -> int | None:
        """None if the publication may be accepted, else the Retry-After in us. Raises PublicationTooLarge
        for a body that is never accepted."""
        error = self.rejection(sites, size)
        if isinstance(error, PublicationTooLarge):
            raise error
        return getattr(error, "after_us", None)

    @property
    def metrics(self) -> dict[str, dict[str, Any]]:
        """State for the operator, by site."""
        return {
            site.name: {
                "relay": str(site.relay) if site.relay else None,
                "away_since_us": site.unreachable_since_us if site.unreachable_since_us >= 0 else None,
                "open": len(site.deliveries),
                "bytes": site.bytes,
                "waiting": len(site.queue) + len(site.pinned),
                "out": sum(1 for leg in site.deliveries.values() if leg.stage is DeliveryStage.IN_FLIGHT),
                "in_custody": sum(
                    1 for leg in site.deliveries.values() if leg.stage is DeliveryStage.IN_CUSTODY
                ),
            }
            for site in self.sender.sites.values()
        }

    # Events

    def handle(self, now_us: int, event: Any) -> list[Action]:
        """Applies one event and returns the actions to perform, in order."""
        self.actions.begin(now_us)
        if not self.is_started:
            self.is_started = True
            self.sent.begin()
        if isinstance(event, Published):
            self._published(event)
        elif isinstance(event, PublicationWithdrawn):
            self._withdrawn(event.name)
        elif isinstance(event, LocalSiteCompleted):
            self._on_local_site_completed(event)
        elif isinstance(event, MessageReceived):
            self._from_link(event.member, event.message)
        elif isinstance(event, MemberChanged):
            self.sender.member(event.view)
        elif isinstance(event, LinkUp):
            self.sender.link_up(event)
        elif isinstance(event, LinkDown):
            self.sender.link_down(event.member)
        elif isinstance(event, TimerDue) and event.token == TIMER:
            self._on_timer()
        elif isinstance(event, WriteFailed) and event.kind == SENT:
            self.sender.unwritten(self._leg(event.key))
            self.sent.unwritten(self.settings.retry_us)
        return self.actions.take()

    def _leg(self, key: str) -> SiteDelivery | None:
        """The delivery with this record key, if its publication is pending."""
        name, _, site = key.rpartition("|")
        held = self.pending.get(name)
        return held.deliveries.get(site) if held else None

    def _from_link(self, member: MemberId, message: Any) -> None:
        if isinstance(message, ReportBatch):
            self.actions.independent.append(SendMessage(member, ReportBatchAck(message.number)))
            for row in message.reports:
                self._on_report(member, row)
        elif isinstance(message, Ack | Nak):
            self.sender.acknowledged(member, message)

    def _on_timer(self) -> None:
        for token in self.actions.due():
            kind, _, name = token.partition(":")
            if kind == "until" and name in self.pending:
                self._expire(self.pending[name])
            elif kind == "rest":
                leg = self._leg(name)
                if leg is not None:
                    self.sender.retry(leg)
            elif kind == "stall":
                self.sender.stalled(name)
            elif kind == "choose":
                self.sender.choose(name)
            elif kind == "unsent":
                self.sent.remove(name)

    # Publications

    def _published(self, event: Published) -> None:
        publication = event.publication
        if publication.name in self.pending:
            return
        if len(publication.body) > MAX_BODY_BYTES:
            raise PublicationTooLarge(f"a body of {len(publication.body)} bytes, at most {MAX_BODY_BYTES}")
        self.accepted_count += 1
        held = self.pending[publication.name] = PendingPublication(publication, {})
        pinned_relays = dict(event.pinned_relays)
        recorded_ends = []
        for name in dict.fromkeys(event.sites):
            leg = held.deliveries[name] = SiteDelivery(publication, name, self.accepted_count)
            if name == self.local_member.site:
                leg.stage = DeliveryStage.LOCAL
                continue
            recorded = self.sent.pin(leg, pinned_relays.get(name))
            self.sender.add(leg)
            if recorded is not None:
                recorded_ends.append((leg, recorded))
            else:
                self.sender.queue(leg)
        self.actions.timers.set(f"until:{publication.name}", max(self.actions.now, publication.deadline_us))
        for leg, (delivered, whole, why, rows) in recorded_ends:
            self._complete_site(
                leg, delivered, tuple(DeliveryOutcome(d, Result(r)) for d, r in rows), why, bool(whole)
            )
        self._complete_if_done(held)

    def _withdrawn(self, name: str) -> None:
        held = self.pending.get(name)
        if held is None:
            return
        for leg in held.deliveries.values():
            if leg.stage is not DeliveryStage.COMPLETED:
                self._close(leg)
        self._remove(held)

    def _on_local_site_completed(self, event: LocalSiteCompleted) -> None:
        held = self.pending.get(event.name)
        leg = held.deliveries.get(self.local_member.site) if held else None
        if leg is not None and leg.stage is DeliveryStage.LOCAL:
            self._complete_site(leg, event.delivered, event.failures, "", not event.failures)

    def _complete_site(
        self, leg: SiteDelivery, delivered: int, ends: tuple[DeliveryOutcome, ...], why: str, whole: bool
    ) -> None:
        """Completes the deliveries to one site and reports it, once."""
        held = self.pending[leg.publication.name]
        self.actions.independent.append(SiteCompleted(leg.publication.name, leg.site, delivered, ends, why))
        if not whole:
            held.delivered = False
            missed = ", ".join(f"{end.dest} {end.result.name.lower()}" for end in ends) or "not known which"
            held.failures.append(f"{leg.site}: {delivered} delivered; not: {missed}{why and '; ' + why}")
        self._close(leg)
        if (
            leg.attempts
            and leg.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT
            and not held.is_completed
        ):
            self.sent.write(leg, [delivered, int(whole), why, [[e.dest, int(e.result)] for e in ends]])
        self._complete_if_done(held)

    def _close(self, leg: SiteDelivery) -> None:
        if leg.stage is DeliveryStage.LOCAL:
            leg.stage = DeliveryStage.COMPLETED
        else:
            self.sender.close(leg)

    def _complete_if_done(self, held: PendingPublication) -> None:
        if self.pending.get(held.publication.name) is not held:
            return
        if held.is_completed:
            what = "; ".join(held.failures)[:MAX_FAILURES_CHARACTERS]
            self.actions.independent.append(PublicationCompleted(held.publication.name, held.delivered, what))
            self._remove(held)

    def _remove(self, held: PendingPublication) -> None:
        self.pending.pop(held.publication.name, None)
        self.actions.timers.cancel(f"until:{held.publication.name}")
        for leg in held.deliveries.values():
            self.sent.schedule_removal(leg)

    def _expire(self, held: PendingPublication) -> None:
        for leg in list(held.deliveries.values()):
            if leg.stage is not DeliveryStage.COMPLETED:
                missing = (
                    f"{leg.report.pending} of {leg.report.total} not over" if leg.report else _missing(leg)
                )
                self._complete_site(
                    leg,
                    leg.report.delivered if leg.report else 0,
                    leg.failures(),
                    f"time is up: {missing}",
                    False,
                )

    def _on_report(self, member: MemberId, row: DeliveryReport) -> None:
        held = self.pending.get(row.name)
        leg = held.deliveries.get(member.site) if held else None
        if leg is None or leg.stage in (DeliveryStage.COMPLETED, DeliveryStage.LOCAL):
            return
        whole = not row.pending and row.delivered == row.total
        if leg.relay != member and not whole:
            return  # a later relay has the entry, and its reports count
        if not row.pending:
            self._complete_site(leg, row.delivered, row.failures, row.reason, whole)
        elif leg.report is None or row.pending <= leg.report.pending:
            leg.report = row


def _missing(leg: SiteDelivery) -> str:
    if leg.stage is DeliveryStage.IN_CUSTODY:
        return f"{leg.relay} has it and tells no ends"
    return f"sent to {leg.relay}, which does not answer" if leg.attempts else "no relay took it"
