"""What the decision module keeps: messages, calls out, endpoints, lanes, destinations. No decisions."""

from __future__ import annotations

import math

from madderbeam.policy.interface import EndpointState, MessageArrived, MessageClass


class Message:
    def __init__(self, ident: int, cls: MessageClass, event: MessageArrived, seq: int, now: int) -> None:
        self.id, self.cls, self.seq = ident, cls, seq
        self.key = event.order_key if cls.ordered else 0
        self.until, self.born = event.valid_until_us, event.valid_until_us - cls.deadline_us
        self.dest: Destination
        self.tries, self.out = event.tries, 0
        self.unsent = 0  # attempts that were held back, and never written
        self.ran_at, self.ran_zone = event.ran_at_us, 0  # when and where the first that may have run was sent
        self.ready_at = now
        self.last: Endpoint | None = None
        self.affinity, self.restored = event.affinity, event.restored
        self.tried: tuple[int, ...] = ()  # endpoints, where a preference is told
        self.closed = self.streaming = self.quick = False
        self.weight = 1.0

    @property
    def spent(self) -> int:
        """Attempts that count: what was never written asked nothing of anybody."""
        return self.tries - self.unsent


class Circuit:
    """Whether calls may go, and how many: of an endpoint. In a large fleet of a lane: outages mostly take all
    endpoints, and so few calls go there that one endpoint's own would never gather the evidence."""

    def __init__(self) -> None:
        self.bad = 0.0  # failing share
        self.open = False  # trials only
        self.trial: Call | None = None
        self.trial_at = self.gap = self.opened_at = 0
        self.ramp_from = -1  # start of the slow start, -1 when warm
        self.ramped = -1  # as that, from before the circuit opened
        self.base = 0.0  # this courier's part of the warm rate
        self.tokens, self.stamp = 1.0, 0
        self.most = 1.0  # of the base, at which a slow start ends


class Endpoint:
    """One endpoint and what its calls showed."""

    def __init__(self, ident: int, lane: Lane, zone: int) -> None:
        self.id, self.lane, self.zone = ident, lane, zone
        self.state = EndpointState.READY
        self.out: dict[Call, None] = {}  # calls in flight, oldest first
        self.idle: list[int] = []  # when each idle connection came free
        self.bad, self.dirty, self.dirty_at, self.last_ok = 0.0, 0.0, 0, 0
        self.most, self.most_at = math.inf, 0  # connections that its table took, and when it was full
        self.turned, self.connect_at = 0, 0  # new ones turned away in a row; when the next may be tried
        self.quickest = math.inf  # good answer on a new connection
        self.c = lane.circuit or Circuit()


class Lane:
    """What shares one limit: a destination, or one route of it."""

    def __init__(self, dest: Destination, circuit: Circuit | None) -> None:
        self.dest, self.circuit = dest, circuit
        self.endpoints: dict[int, Endpoint] = {}
        self.listed, self.lent = 0.0, False  # this courier's part of the listed rate, 0 if none; by a lease
        self.rate = self.brink = 0.0  # calls a second that it is paced to, 0 = not; pace last refused
        self.tokens, self.stamp, self.wait_until, self.cut_at = 1.0, 0, 0, 0
        self.refused = 0.0  # share of calls refused as full
        self.window, self.out, self.fulls = 1.0, 0, 0
        self.mean = self.dev = 0.0  # latency
        self.hold = 1e5  # time that a call takes a slot, failed ones included
        self.seen, self.seen_at = 0.0, 0  # successes a second
        self.failing_from = -1  # when the first call that failed since the last success was sent
        self.failures = 0  # how many have since
        self.back_at = -1  # when it last came back from an outage
        self.trial_gap = 0  # longest ceiling of the gap between trials, 0: the usual one


class Destination:
    def __init__(self, number: int) -> None:
        self.number, self.kind = number, 0
        self.lanes: list[Lane] = []
        self.queue: list[Message] = []
        self.out = self.arrivals = 0


class Call:
    """One call in flight; a batched one carries several messages."""

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint, self.sent_at, self.left, self.judged = endpoint, now, 0, False
        self.idle_us = -1  # how long its connection had been idle, -1 for a new one
        self.alone = not endpoint.out  # no other call was out there when it was sent
        self.fresh = self.crowded = False  # asked for a new connection; turned away by a full table
        self.opened = self.at_once = False  # it opened one, as the host told; turned away before that was up
