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
from madderbeam.relay.action_queue import Action, ActionQueue
from madderbeam.relay.backlog import BacklogUsage, check_backlog
from madderbeam.relay.messages import MAX_BODY_BYTES, Ack, DeliveryReport, Nak, ReportBatch, ReportBatchAck
from madderbeam.relay.sent_records import SENT, SentRecords
from madderbeam.relay.site_backlog import DeliveryStage, SiteBacklog, SiteDelivery
from madderbeam.relay.stream_sender import StreamSender, StreamSettings
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
        return all(delivery.stage is DeliveryStage.COMPLETED for delivery in self.deliveries.values())


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
                "out": sum(
                    1 for delivery in site.deliveries.values() if delivery.stage is DeliveryStage.IN_FLIGHT
                ),
                "in_custody": sum(
                    1 for delivery in site.deliveries.values() if delivery.stage is DeliveryStage.IN_CUSTODY
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
        pending = self.pending.get(name)
        return pending.deliveries.get(site) if pending else None

    def _from_link(self, member: MemberId, message: Any) -> None:
        if isinstance(message, ReportBatch):
            self.actions.independent.append(SendMessage(member, ReportBatchAck(message.number)))
            for report in message.reports:
                self._on_report(member, report)
        elif isinstance(message, Ack | Nak):
            self.sender.acknowledged(member, message)

    def _on_timer(self) -> None:
        for token in self.actions.due():
            kind, _, name = token.partition(":")
            if kind == "until" and name in self.pending:
                self._expire(self.pending[name])
            elif kind == "rest":
                delivery = self._leg(name)
                if delivery is not None:
                    self.sender.retry(delivery)
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
        pending = self.pending[publication.name] = PendingPublication(publication, {})
        pinned_relays = dict(event.pinned_relays)
        recorded_outcomes = []
        for name in dict.fromkeys(event.sites):
            delivery = pending.deliveries[name] = SiteDelivery(publication, name, self.accepted_count)
            if name == self.local_member.site:
                delivery.stage = DeliveryStage.LOCAL
                continue
            recorded = self.sent.pin(delivery, pinned_relays.get(name))
            self.sender.add(delivery)
            if recorded is not None:
                recorded_outcomes.append((delivery, recorded))
            else:
                self.sender.queue(delivery)
        self.actions.timers.set(f"until:{publication.name}", max(self.actions.now, publication.deadline_us))
        for delivery, (delivered, is_complete, reason, rows) in recorded_outcomes:
            self._complete_site(
                delivery,
                delivered,
                tuple(DeliveryOutcome(dest, Result(result)) for dest, result in rows),
                reason,
                bool(is_complete),
            )
        self._complete_if_done(pending)

    def _withdrawn(self, name: str) -> None:
        pending = self.pending.get(name)
        if pending is None:
            return
        for delivery in pending.deliveries.values():
            if delivery.stage is not DeliveryStage.COMPLETED:
                self._close(delivery)
        self._remove(pending)

    def _on_local_site_completed(self, event: LocalSiteCompleted) -> None:
        pending = self.pending.get(event.name)
        delivery = pending.deliveries.get(self.local_member.site) if pending else None
        if delivery is not None and delivery.stage is DeliveryStage.LOCAL:
            self._complete_site(delivery, event.delivered, event.failures, "", not event.failures)

    def _complete_site(
        self,
        delivery: SiteDelivery,
        delivered: int,
        failures: tuple[DeliveryOutcome, ...],
        reason: str,
        is_complete: bool,
    ) -> None:
        """Completes the deliveries to one site and reports it, once."""
        pending = self.pending[delivery.publication.name]
        self.actions.independent.append(
            SiteCompleted(delivery.publication.name, delivery.site, delivered, failures, reason)
        )
        if not is_complete:
            pending.delivered = False
            missed = (
                ", ".join(f"{failure.dest} {failure.result.name.lower()}" for failure in failures)
                or "not known which"
            )
            pending.failures.append(
                f"{delivery.site}: {delivered} delivered; not: {missed}{reason and '; ' + reason}"
            )
        self._close(delivery)
        if (
            delivery.attempts
            and delivery.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT
            and not pending.is_completed
        ):
            self.sent.write(
                delivery,
                [
                    delivered,
                    int(is_complete),
                    reason,
                    [[failure.dest, int(failure.result)] for failure in failures],
                ],
            )
        self._complete_if_done(pending)

    def _close(self, delivery: SiteDelivery) -> None:
        if delivery.stage is DeliveryStage.LOCAL:
            delivery.stage = DeliveryStage.COMPLETED
        else:
            self.sender.close(delivery)

    def _complete_if_done(self, pending: PendingPublication) -> None:
        if self.pending.get(pending.publication.name) is not pending:
            return
        if pending.is_completed:
            failures = "; ".join(pending.failures)[:MAX_FAILURES_CHARACTERS]
            self.actions.independent.append(
                PublicationCompleted(pending.publication.name, pending.delivered, failures)
            )
            self._remove(pending)

    def _remove(self, pending: PendingPublication) -> None:
        self.pending.pop(pending.publication.name, None)
        self.actions.timers.cancel(f"until:{pending.publication.name}")
        for delivery in pending.deliveries.values():
            self.sent.schedule_removal(delivery)

    def _expire(self, pending: PendingPublication) -> None:
        for delivery in list(pending.deliveries.values()):
            if delivery.stage is not DeliveryStage.COMPLETED:
                missing = (
                    f"{delivery.report.pending} of {delivery.report.total} not over"
                    if delivery.report
                    else _missing(delivery)
                )
                self._complete_site(
                    delivery,
                    delivery.report.delivered if delivery.report else 0,
                    delivery.failures(),
                    f"time is up: {missing}",
                    False,
                )

    def _on_report(self, member: MemberId, report: DeliveryReport) -> None:
        pending = self.pending.get(report.name)
        delivery = pending.deliveries.get(member.site) if pending else None
        if delivery is None or delivery.stage in (DeliveryStage.COMPLETED, DeliveryStage.LOCAL):
            return
        is_complete = not report.pending and report.delivered == report.total
        if delivery.relay != member and not is_complete:
            return  # a later relay has the entry, and its reports count
        if not report.pending:
            self._complete_site(delivery, report.delivered, report.failures, report.reason, is_complete)
        elif delivery.report is None or report.pending <= delivery.report.pending:
            delivery.report = report


def _missing(delivery: SiteDelivery) -> str:
    if delivery.stage is DeliveryStage.IN_CUSTODY:
        return f"{delivery.relay} has it and tells no ends"
    return f"sent to {delivery.relay}, which does not answer" if delivery.attempts else "no relay took it"
