"""The origin's state per site: the deliveries of publications to it, their stages, queue, order and
backlog."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from madderbeam.membership.values import MemberId
from madderbeam.relay.messages import DeliveryReport
from madderbeam.relay.values import DeliveryIdempotency, DeliveryOutcome, Publication, Result


class DeliveryStage(IntEnum):
    """The stage of the delivery to one site; each from QUEUED on may return to QUEUED, and COMPLETED is
    final."""

    NEW = 0
    QUEUED = 1  # waits for credit, a link, a relay, or an earlier one with the same order key
    REJECTED = 2  # rejected: queued again after the Retry-After
    IN_FLIGHT = 3  # in flight: sent, not acknowledged
    IN_CUSTODY = 4  # the relay has accepted custody
    LOCAL = 5  # to the local site
    COMPLETED = 6


@dataclass(eq=False)
class SiteDelivery:
    """The delivery of a publication to one site. `relay` is where it was sent last. `pinned` means that no
    other relay may get it: it may have arrived there, and a second delivery would do harm."""

    publication: Publication
    site: str
    number: int  # in the order in which publications were accepted
    stage: DeliveryStage = DeliveryStage.NEW
    relay: MemberId | None = None
    relay_start: int = 0  # the relay's incarnation when it was sent
    is_pinned: bool = False
    attempts: int = 0
    first_sent_us: int = 0  # time of the first send
    sent: tuple[int, int] = (0, 0)  # stream and sequence number of the current copy
    report: DeliveryReport | None = None  # the last report of its relay
    delivered: bool = False  # to all destinations

    @property
    def size(self) -> int:
        """Body size in bytes."""
        return len(self.publication.body)

    @property
    def key(self) -> str:
        """Key of its durable record."""
        return f"{self.publication.name}|{self.site}"

    def failures(self) -> tuple[DeliveryOutcome, ...]:
        """The known outcomes of its failed deliveries."""
        if self.report is not None:
            return self.report.failures
        if self.publication.dest < 0:
            return ()
        never_sent = not self.attempts or (
            not self.is_pinned and self.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT
        )
        return (DeliveryOutcome(self.publication.dest, Result.REFUSED if never_sent else Result.UNKNOWN),)


@dataclass
class OrderKeyState:
    """How many deliveries with one order key a site has: in flight or rejected, and in custody of `relay`."""

    unsettled: int = 0
    in_custody: int = 0
    relay: MemberId | None = None


@dataclass
class SiteBacklog:
    """One downstream site. `previous_relay` is the one before the last hand-over: its entries are
    acknowledged first."""

    name: str
    relay: MemberId | None = None
    previous_relay: MemberId | None = None
    handover_until_us: int = 0
    excluded: dict[MemberId, int] = field(default_factory=dict)  # member -> end of its exclusion
    queue: list[tuple[int, SiteDelivery]] = field(default_factory=list)
    pinned: list[tuple[int, SiteDelivery]] = field(default_factory=list)
    deliveries: dict[str, SiteDelivery] = field(default_factory=dict)  # not completed, by publication
    orders: dict[str, OrderKeyState] = field(default_factory=dict)
    bytes: int = 0
    unreachable_since_us: int = -1  # since when no member is reachable; -1 while one is

    def add(self, delivery: SiteDelivery) -> None:
        """Counts a new delivery."""
        self.deliveries[delivery.publication.name] = delivery
        self.bytes += delivery.size

    def move(self, delivery: SiteDelivery, stage: DeliveryStage) -> None:
        """Changes the stage of a delivery, and with it queue, order state and backlog; nothing else may."""
        self._leave(delivery)
        delivery.stage = stage
        order_key = delivery.publication.order_key
        if stage is DeliveryStage.QUEUED:
            insort(
                self.pinned if delivery.is_pinned else self.queue,
                (delivery.number, delivery),
                key=lambda item: item[0],
            )
        elif order_key and stage in (DeliveryStage.REJECTED, DeliveryStage.IN_FLIGHT):
            self.orders.setdefault(order_key, OrderKeyState()).unsettled += 1
        elif order_key and stage is DeliveryStage.IN_CUSTODY:
            order_state = self.orders.setdefault(order_key, OrderKeyState())
            order_state.in_custody, order_state.relay = order_state.in_custody + 1, delivery.relay
        elif stage is DeliveryStage.COMPLETED:
            del self.deliveries[delivery.publication.name]
            self.bytes -= delivery.size

    def _leave(self, delivery: SiteDelivery) -> None:
        if delivery.stage is DeliveryStage.QUEUED:
            for queue in (self.queue, self.pinned):
                index = bisect_left(queue, delivery.number, key=lambda item: item[0])
                if index < len(queue) and queue[index][1] is delivery:
                    del queue[index]
        order_state = self.orders.get(delivery.publication.order_key)
        if order_state is not None and delivery.stage in (
            DeliveryStage.REJECTED,
            DeliveryStage.IN_FLIGHT,
            DeliveryStage.IN_CUSTODY,
        ):
            if delivery.stage is DeliveryStage.IN_CUSTODY:
                order_state.in_custody -= 1
            else:
                order_state.unsettled -= 1
            if not order_state.unsettled and not order_state.in_custody:
                del self.orders[delivery.publication.order_key]

    def order_permits(self, delivery: SiteDelivery, relay: MemberId) -> bool:
        """Whether order permits sending it: no earlier one with its key can still be rejected or is at
        another relay."""
        order_state = self.orders.get(delivery.publication.order_key)
        return order_state is None or (
            not order_state.unsettled and (not order_state.in_custody or order_state.relay == relay)
        )

    def at(self, member: MemberId) -> Iterator[SiteDelivery]:
        """The pending deliveries that this member has or may have."""
        return (delivery for delivery in list(self.deliveries.values()) if delivery.relay == member)


@dataclass
class SendStream:
    """The sending end of the stream to one relay, for the life of a link. `credit_entries` and
    `credit_bytes` are the credit that the relay's last ack advertised."""

    member: MemberId
    rtt_us: int
    number: int
    credit_entries: int
    credit_bytes: int
    stall_us: int
    progress_us: int
    paused_until_us: int = 0  # nothing is sent until then, after a failed write
    seq: int = 0
    in_flight: dict[int, SiteDelivery] = field(default_factory=dict)
    bytes_in_flight: int = 0

    def has_credit(self, delivery: SiteDelivery) -> bool:
        """Whether the credit covers this entry; with nothing in flight the bytes don't count."""
        return len(self.in_flight) < self.credit_entries and (
            not self.in_flight or self.bytes_in_flight + delivery.size <= self.credit_bytes
        )

    def push(self, delivery: SiteDelivery) -> int:
        """Adds an entry in flight and returns its sequence number."""
        self.seq += 1
        self.in_flight[self.seq] = delivery
        self.bytes_in_flight += delivery.size
        delivery.sent = (self.number, self.seq)
        return self.seq

    def pop(self, seq: int) -> SiteDelivery | None:
        """Removes an entry in flight; returns it unless a later copy was sent elsewhere."""
        delivery = self.in_flight.pop(seq, None)
        if delivery is None:
            return None
        self.bytes_in_flight -= delivery.size
        return (
            delivery
            if delivery.stage is DeliveryStage.IN_FLIGHT and delivery.sent == (self.number, seq)
            else None
        )

    def acknowledge(self, seq: int) -> list[SiteDelivery]:
        """Removes the entries that a cumulative ack covers and returns them, without those sent elsewhere."""
        numbers = [number for number in self.in_flight if number <= seq]
        return [delivery for number in numbers if (delivery := self.pop(number)) is not None]

    def restart(self, number: int, now_us: int) -> list[SiteDelivery]:
        """Starts a new stream on the same link and returns the entries in flight, to be sent again."""
        legs = self.acknowledge(self.seq)
        self.number, self.seq, self.progress_us = number, 0, now_us
        return legs
