"""Records of where non-idempotent entries were sent, written before sending.

After a restart such an entry goes to the recorded relay or to none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.membership.values import MemberId, Persist, Row
from madderbeam.relay.action_queue import ActionQueue
from madderbeam.relay.site_backlog import SiteDelivery
from madderbeam.relay.values import DeliveryIdempotency

SENT = (
    "sent"  # kind of the records; a value: site, member, its incarnation's start, deadline (wall ms), outcome
)
RECENT = 512  # removed records whose removal is repeated when a write fails


class SentRecords:
    """Records of sent entries. Each is removed `retention_us` after its publication's completion, which the
    journal has by then."""

    def __init__(
        self,
        out: ActionQueue,
        wall_ms: Callable[[int], int],
        kept_us: int,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.actions, self.wall_ms, self.retention_us = out, wall_ms, kept_us
        self.found: dict[str, Row] = {key: value for (kind, key), value in records.items() if kind == SENT}
        self.forgotten: deque[str] = deque(maxlen=RECENT)

    def sites(self) -> dict[str, str]:
        """Publication -> the last site that may have it, after a start. An entry for a single destination
        goes to no other site while it may be there, whatever table is in force by now."""
        return {name: site for name, _, site in (key.rpartition("|") for key in self.found)}

    def begin(self) -> None:
        """Schedules the removal of records that no restored publication claims by its deadline."""
        for key, value in self.found.items():
            remaining_us = max(0, value[3] - self.wall_ms(self.actions.now)) * 1000
            self.actions.timers.set(f"unsent:{key}", self.actions.now + remaining_us + self.retention_us)

    def pin(self, delivery: SiteDelivery, relay: MemberId | None) -> Row | None:
        """After a restart, pins a delivery to the relay that may have it; returns its outcome if one was
        recorded."""
        recorded = self.found.pop(delivery.key, None)
        if recorded is not None:
            delivery.relay, delivery.relay_start, delivery.is_pinned, delivery.attempts = (
                MemberId(recorded[0], recorded[1]),
                recorded[2],
                True,
                1,
            )
            self.actions.timers.cancel(f"unsent:{delivery.key}")
            end: Row | None = recorded[4]
            return end
        if relay is not None and delivery.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT:
            delivery.relay, delivery.is_pinned, delivery.attempts = relay, True, 1
        return None

    def write(self, delivery: SiteDelivery, end: Row | None = None) -> None:
        """Records the relay of a non-idempotent entry before it is sent, or its outcome while other sites
        are pending."""
        if delivery.relay is not None:
            until_ms = self.wall_ms(delivery.publication.deadline_us)
            value = [delivery.relay.site, delivery.relay.name, delivery.relay_start, until_ms, end]
            self.actions.ordered.append(Persist(SENT, delivery.key, value))

    def schedule_removal(self, delivery: SiteDelivery) -> None:
        """Schedules the removal of the record, as the publication is completed."""
        if delivery.attempts and delivery.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT:
            self.actions.timers.set(f"unsent:{delivery.key}", self.actions.now + self.retention_us)

    def remove(self, key: str) -> None:
        """Removes a record."""
        self.found.pop(key, None)
        self.forgotten.append(key)
        self.actions.ordered.append(Persist(SENT, key, None))

    def unwritten(self, retry_us: int) -> None:
        """Repeats recent removals after a failed write, as those records may still be on disk."""
        for key in self.forgotten:
            self.actions.timers.set(f"unsent:{key}", self.actions.now + retry_us)
