"""The origin's state per site: the deliveries of publications to it, their stages, queue, order and
backlog."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from madderbeam.membership.values import MemberId
from madderbeam.relay.messages import EndRow
from madderbeam.relay.values import DeliveryEnd, Effect, Publication, Result


class Stage(IntEnum):
    """The stage of the delivery to one site; each from QUEUED on may return to QUEUED, and COMPLETED is
    final."""

    NEW = 0
    QUEUED = 1  # waits for credit, a link, a relay, or an earlier one with the same order key
    RESTING = 2  # rejected: queued again after the Retry-After
    OUT = 3  # in flight: sent, not acknowledged
    HELD = 4  # the relay has accepted custody
    LOCAL = 5  # to the local site
    OVER = 6


@dataclass(eq=False)
class Leg:
    """The delivery of a publication to one site. `relay` is where it was sent last. `pinned` means that no
    other relay may get it: it may have arrived there, and a second delivery would do harm."""

    publication: Publication
    site: str
    number: int  # in the order in which publications were accepted
    stage: Stage = Stage.NEW
    relay: MemberId | None = None
    start: int = 0  # the relay's incarnation when it was sent
    pinned: bool = False
    tries: int = 0
    first_us: int = 0  # time of the first send
    sent: tuple[int, int] = (0, 0)  # stream and sequence number of the current copy
    row: EndRow | None = None  # the last report of its relay
    delivered: bool = False  # to all destinations

    @property
    def size(self) -> int:
        """Body size in bytes."""
        return len(self.publication.body)

    @property
    def key(self) -> str:
        """Key of its durable record."""
        return f"{self.publication.name}|{self.site}"

    def ends(self) -> tuple[DeliveryEnd, ...]:
        """The known outcomes of its failed deliveries."""
        if self.row is not None:
            return self.row.ends
        if self.publication.dest < 0:
            return ()
        never_sent = not self.tries or (not self.pinned and self.publication.effect is Effect.UNSAFE)
        return (DeliveryEnd(self.publication.dest, Result.REFUSED if never_sent else Result.UNKNOWN),)


@dataclass
class Order:
    """How many deliveries with one order key a site has: in flight or rejected, and in custody of `relay`."""

    busy: int = 0
    held: int = 0
    relay: MemberId | None = None


@dataclass
class Site:
    """One downstream site. `before` is the relay before the last hand-over: its entries are acknowledged
    first."""

    name: str
    relay: MemberId | None = None
    before: MemberId | None = None
    before_until_us: int = 0
    kept_out: dict[MemberId, int] = field(default_factory=dict)  # member -> end of its exclusion
    queue: list[tuple[int, Leg]] = field(default_factory=list)
    pinned: list[tuple[int, Leg]] = field(default_factory=list)
    legs: dict[str, Leg] = field(default_factory=dict)  # all that are not completed, by publication
    orders: dict[str, Order] = field(default_factory=dict)
    bytes: int = 0
    away_us: int = -1  # since when no member is reachable; -1 while one is

    def add(self, leg: Leg) -> None:
        """Counts a new delivery."""
        self.legs[leg.publication.name] = leg
        self.bytes += leg.size

    def move(self, leg: Leg, stage: Stage) -> None:
        """Changes the stage of a delivery, and with it queue, order state and backlog; nothing else may."""
        self._leave(leg)
        leg.stage = stage
        order_key = leg.publication.order
        if stage is Stage.QUEUED:
            insort(self.pinned if leg.pinned else self.queue, (leg.number, leg), key=lambda item: item[0])
        elif order_key and stage in (Stage.RESTING, Stage.OUT):
            self.orders.setdefault(order_key, Order()).busy += 1
        elif order_key and stage is Stage.HELD:
            order_state = self.orders.setdefault(order_key, Order())
            order_state.held, order_state.relay = order_state.held + 1, leg.relay
        elif stage is Stage.OVER:
            del self.legs[leg.publication.name]
            self.bytes -= leg.size

    def _leave(self, leg: Leg) -> None:
        if leg.stage is Stage.QUEUED:
            for queue in (self.queue, self.pinned):
                index = bisect_left(queue, leg.number, key=lambda item: item[0])
                if index < len(queue) and queue[index][1] is leg:
                    del queue[index]
        order_state = self.orders.get(leg.publication.order)
        if order_state is not None and leg.stage in (Stage.RESTING, Stage.OUT, Stage.HELD):
            if leg.stage is Stage.HELD:
                order_state.held -= 1
            else:
                order_state.busy -= 1
            if not order_state.busy and not order_state.held:
                del self.orders[leg.publication.order]

    def fits(self, leg: Leg, relay: MemberId) -> bool:
        """Whether order permits sending it: no earlier one with its key can still be rejected or is at
        another relay."""
        order_state = self.orders.get(leg.publication.order)
        return order_state is None or (
            not order_state.busy and (not order_state.held or order_state.relay == relay)
        )

    def at(self, member: MemberId) -> Iterator[Leg]:
        """The pending deliveries that this member has or may have."""
        return (leg for leg in list(self.legs.values()) if leg.relay == member)


@dataclass
class Outbound:
    """The sending end of the stream to one relay, for the life of a link. `entries` and `bytes` are the
    credit that the relay's last ack advertised."""

    member: MemberId
    rtt_us: int
    number: int
    entries: int
    bytes: int
    stall_us: int
    moved_us: int
    sick_us: int = 0  # nothing is sent until then, after a failed write
    seq: int = 0
    out: dict[int, Leg] = field(default_factory=dict)
    size: int = 0

    def room(self, leg: Leg) -> bool:
        """Whether the credit covers this entry; with nothing in flight the bytes don't count."""
        return len(self.out) < self.entries and (not self.out or self.size + leg.size <= self.bytes)

    def push(self, leg: Leg) -> int:
        """Adds an entry in flight and returns its sequence number."""
        self.seq += 1
        self.out[self.seq] = leg
        self.size += leg.size
        leg.sent = (self.number, self.seq)
        return self.seq

    def pop(self, seq: int) -> Leg | None:
        """Removes an entry in flight; returns it unless a later copy was sent elsewhere."""
        leg = self.out.pop(seq, None)
        if leg is None:
            return None
        self.size -= leg.size
        return leg if leg.stage is Stage.OUT and leg.sent == (self.number, seq) else None

    def upto(self, seq: int) -> list[Leg]:
        """Removes the entries that a cumulative ack covers and returns them, without those sent elsewhere."""
        numbers = [number for number in self.out if number <= seq]
        return [leg for number in numbers if (leg := self.pop(number)) is not None]

    def restart(self, number: int, now_us: int) -> list[Leg]:
        """Starts a new stream on the same link and returns the entries in flight, to be sent again."""
        legs = self.upto(self.seq)
        self.number, self.seq, self.moved_us = number, 0, now_us
        return legs
