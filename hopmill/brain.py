"""Every decision of a courier. Its types (settings, events, actions) are in hopmill/interface.py.

The ordinary path is the full-jitter retry of "Retries (Agents SDK design)": a failed call is tried again
after random(0, min(cap, base * 2**attempt)), a few times at most; an overload refusal ends the message.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable

from hopmill.interface import (
    Action, AttemptAnswering, AttemptEnded, CloseIdle, Closing, Effect, EndpointsListed, EndpointState, Event,
    Fail, ListEntry, ListForm, Log, MessageArrived, MessageClass, MessageGone, Refuse, Result, Send, SetTimer,
    Settings, Subscribe)

# The design's own figures.
BASE_US = 100_000  # first ceiling of the jittered wait (the note's default)
CAP_US = 3_000_000  # highest ceiling (the note's default)
TRIES = 3  # attempts of one message, first included (the note's default)
DESERTED = 20  # after this many refusals with no client coming again, clients are taken not to do so
WINDOW_SHARE = 0.75  # a destination's calls stay under this share of the slots
PATIENCE = 0.5  # what would wait for its pace over this part of its life is handed back
ROOM = 2  # places kept free for new messages
SHED = 0.9  # at most this share of new messages is refused unsent
REFUSED_MEMORY, KIND_MEMORY = 0.5, 1 / 16  # weight of the newest call in the share refused: lane, kind
# Pacing of a lane.
BURST_S, BURST_PRICED_S = 0.8, 0.4  # a bucket holds this much of its rate; less where refusals are priced
CUT = 0.75  # on overload the rate shrinks by this, once a round trip
GROW = 0.1  # and a success adds this share of the listed (or first learned) rate
NEAR, CALM_US = 0.9, 5_000_000  # near the last refused pace it grows slowly, until this long after
FLOOR = 0.4  # but a listed rate is not left further than this behind
# Health of an endpoint.
MEMORY = 0.25  # weight of the newest outcome in the failing share
STRUCK = 0.5  # failing share at which an endpoint counts as in trouble: three failures in a row from none
TWICE = 0.4  # failing share after two failures in a row
QUICK_US = 200_000  # a failure that came this soon may be tried again at once, outage or not
DIRTY = 0.15  # share of may-have-run failures over which unsafe messages wait
DIRTY_FADE = 0.6  # and that share fades by itself in this part of the contract's cold time
GAP_US, GAP_CAP_US = 400_000, 2_500_000  # first and longest ceiling of the gap between half-open trials
LONG_WAIT_US = 2_500_000  # a told wait over this is a shut destination, not the end of a rate span
RAMP = 0.8  # share of the contract's fall multiple that recovery uses: the rest is for chance
SPARE = 2.0  # an unlisted capacity is taken for this multiple of the traffic that it was seen to take
REAP, REGROW = 0.5, 1.25  # idle connections are trusted for this part of the age at which one failed
FRESH_US = 1_000_000  # an endpoint that answered this lately is not down: a failed connect is a full table
# Time-outs.
# A call is given up once it is likely lost: with a share p of calls lost and a tail that shrinks by e for
# each TAIL_X deviations, the odds that it still comes are ALIVE after TAIL_X * ln(1 / (ALIVE * p)) of them.
TAIL_X, ALIVE = 1.35, 0.1
LOST_X = 4.0  # at 1/LOST_X lost, time-outs are no evidence
LOSS, LOSS_MEMORY = 0.002, 1 / 32  # least share of calls taken as lost, weight of the newest call
LASTS = 2.0  # what is put off for want of slots waits this many times the queue: new messages come first
TRIAL_X = 0.6  # a half-open trial gets this share of the time-out
TICKS = 3  # ticks kept free before a deadline


class Circuit:
    """Whether calls may go, and how many: of an endpoint. In a large fleet of a lane: outages mostly take all
    endpoints, and so few calls go there that one endpoint's own would never gather the evidence."""

    def __init__(self) -> None:
        self.bad = 0.0  # failing share
        self.open = False  # trials only
        self.trial: Call | None = None
        self.trial_at = self.gap = 0
        self.ramp_from = -1  # start of the slow start, -1 when warm
        self.base = 0.0  # this courier's part of the warm rate
        self.tokens, self.stamp = 1.0, 0


class Endpoint:
    """One endpoint and what its calls showed."""

    def __init__(self, ident: int, lane: Lane, zone: int) -> None:
        self.id, self.lane, self.zone = ident, lane, zone
        self.state = EndpointState.READY
        self.out: dict[int, Call] = {}  # calls in flight, oldest first
        self.idle: list[int] = []  # when each idle connection came free
        self.bad, self.dirty, self.dirty_at, self.last_ok = 0.0, 0.0, 0, 0
        self.c = lane.circuit or Circuit()


class Lane:
    """What shares one limit: a destination, or one route of it."""

    def __init__(self, dest: Destination, circuit: Circuit | None) -> None:
        self.dest, self.circuit = dest, circuit
        self.endpoints: dict[int, Endpoint] = {}
        self.listed = 0.0  # this courier's part of the listed rate, 0 if none
        self.rate = self.brink = 0.0  # calls a second that it is paced to, 0 = not; pace last refused
        self.tokens, self.stamp, self.wait_until, self.cut_at = 1.0, 0, 0, 0
        self.refused = 0.0  # share of calls refused as full
        self.window, self.out, self.fulls = 1.0, 0, 0
        self.mean = self.dev = 0.0  # latency
        self.hold = 1e5  # time that a call takes a slot, failed ones included
        self.seen, self.seen_at = 0.0, 0  # successes a second


class Destination:
    def __init__(self, number: int) -> None:
        self.number, self.kind = number, 0
        self.lanes: list[Lane] = []
        self.queue: list[Message] = []
        self.out = self.arrivals = 0


class Message:
    def __init__(self, ident: int, cls: MessageClass, event: MessageArrived, seq: int, now: int) -> None:
        self.id, self.cls, self.seq = ident, cls, seq
        self.key = event.order_key if cls.ordered else 0
        self.until, self.born = event.valid_until_us, event.valid_until_us - cls.deadline_us
        self.dest: Destination
        self.tries, self.out = event.tries, 0
        self.ran_at, self.ran_zone = event.ran_at_us, 0  # when and where the first that may have run was sent
        self.ready_at = now
        self.last: Endpoint | None = None
        self.closed = self.streaming = self.quick = False
        self.weight = 1.0


class Call:
    """One call in flight; a batched one carries several messages."""

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint, self.sent_at, self.left, self.judged = endpoint, now, 0, False
        self.idle_us = -1  # how long its connection had been idle, -1 for a new one


class Courier:
    """Decides for one courier: handle() takes the events of a turn and returns its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.random = settings, random.Random(seed)
        self.now, self.start, self.closing = 0, -1, math.inf  # closing: no call may last past it
        self.dests: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}
        self.out = self.seq = 0
        self.expiries: list[tuple[int, int]] = []
        self.timers: list[int] = []
        self.keys: dict[int, list[Message]] = {}
        self.rests: dict[int, int] = {}
        self.quota = [[t.quota_per_s / settings.couriers, 1.0, 0] for t in settings.tenants]
        self.tries = min(TRIES, settings.max_attempts)
        self.cap = max(1, int(WINDOW_SHARE * settings.slots))
        self.burst = BURST_PRICED_S if settings.refused_price else BURST_S
        self.crowded = False
        self.margin = TICKS * settings.tick_us
        # Many small couriers: each meets a destination so rarely that its equal part of anything says little.
        self.thin = settings.couriers > settings.slots
        # Idle connections are used up to this age. Those of hundreds of couriers fill a destination's table,
        # and few would serve again in time: a large fleet keeps none.
        self.keep = 0 if self.thin else settings.connection_idle_us
        self.refused = [0.0] * len(settings.kinds)  # as the lanes', over all calls to a kind
        self.reaped = self.unreturned = 0  # calls lost on idle connections; refusals since one came again
        self.hold = 1e5  # as the lanes', over all calls
        self.loss = LOSS  # share of calls that are never answered though others are
        self.actions: list[Action] = []

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        self.now, self.actions = now_us, []
        if self.start < 0:
            self.start = now_us
            if self.s.list_on_request:
                self.actions.append(Subscribe())
        for e in events:
            if isinstance(e, MessageArrived):
                self._arrived(e)
            elif isinstance(e, AttemptEnded):
                self._ended(e)
            elif isinstance(e, EndpointsListed):
                self._listed(e)
            elif isinstance(e, MessageGone) and (m := self.messages.get(e.message)):
                self._close(m)
            elif isinstance(e, Closing):
                self.closing = e.until_us
            elif isinstance(e, AttemptAnswering) and (m := self.messages.get(e.message)):
                m.streaming = True
        while self.timers and self.timers[0] <= now_us:
            heapq.heappop(self.timers)
        self._expire()
        self._pump()
        self._make_room()
        if self.expiries:
            self._wake(self.expiries[0][0])
        return self.actions

    def _listed(self, e: EndpointsListed) -> None:
        if e.form is ListForm.FAILED:
            self.actions.append(Subscribe())
            return
        named = {}
        for entry in e.entries:
            named[entry.endpoint] = True
            ep = self.endpoints.get(entry.endpoint)
            if ep and ep.lane.dest.number != entry.destination:  # it moved: what was known of it is void
                ep.state, ep = EndpointState.GONE, ep.lane.endpoints.pop(ep.id) and None
            if ep is None and entry.state is not EndpointState.GONE:
                ep = self._add(entry)
            if ep is not None:
                ep.state = entry.state
                if self.s.rates_listed and entry.rate_per_s > 0:
                    part = entry.rate_per_s / self.s.couriers
                    if abs(part - ep.lane.listed) > 1e-6 * part:
                        ep.lane.listed = part
                        ep.lane.rate = ep.lane.brink = 0.0 if self.thin else part
        for ident, ep in list(self.endpoints.items()):
            if e.form is not ListForm.DELTA and ident not in named:
                ep.state = EndpointState.GONE
            if ep.state is EndpointState.GONE and not ep.out:  # forgotten, or replacements would pile up
                del self.endpoints[ident], ep.lane.endpoints[ident]
                if not ep.lane.endpoints and len(ep.lane.dest.lanes) > 1:
                    ep.lane.dest.lanes.remove(ep.lane)

    def _add(self, entry: ListEntry) -> Endpoint:
        dest = self.dests.setdefault(entry.destination, Destination(entry.destination))
        dest.kind = min(entry.kind, len(self.s.kinds) - 1)
        if not dest.lanes or self.s.kinds[dest.kind].routes_apart:
            dest.lanes.append(Lane(dest, Circuit() if self.thin else None))
        ep = Endpoint(entry.endpoint, dest.lanes[-1], entry.zone)
        ep.lane.endpoints[ep.id] = self.endpoints[ep.id] = ep
        return ep

    def _arrived(self, e: MessageArrived) -> None:
        if e.message in self.messages:
            return
        self.seq += 1
        if e.resubmitted:
            self.unreturned = 0
        m = Message(e.message, self.s.classes[e.message_class], e, self.seq, self.now)
        m.dest = dest = self.dests.setdefault(e.destination, Destination(e.destination))
        dest.arrivals += 1
        # A returning destination gets a share of what comes in anew: summed over a large fleet it follows the
        # total, whoever gets it. None is saved up: all that were told to wait come back in the same moment.
        for lane in dest.lanes:
            if (c := lane.circuit) and (c.open or c.ramp_from >= 0) and self.now >= lane.wait_until:
                c.tokens = min(1.0, c.tokens + self._warm(c) / len(dest.lanes))
        m.weight = m.cls.worth * self._share(e.tenant)
        self.messages[m.id] = m
        full = len(self.messages) >= self.s.max_held - 1
        if full != self.crowded and (full or len(self.messages) < self.s.max_held * 0.8):
            self.crowded = full
            self.actions.append(Log(f"held: {'full' if full else 'room'}; {self.out}/{self.s.slots} slots"))
        dest.queue.append(m)
        if m.key:
            self.keys.setdefault(m.key, []).append(m)
        if self.thin and self.random.random() < self._refusal(dest, m.until - self.now) or self._spent(m):
            self._finish(m, self.s.max_retry_after_us)
            return
        heapq.heappush(self.expiries, (m.until - self.margin, m.id))

    def _spent(self, m: Message) -> bool:
        """Restored with no attempt left: its final answer is due at once."""
        end = m.ran_at + (m.cls.key_window_us if m.cls.effect is Effect.KEYED else 0) - self.margin
        return m.tries >= self.tries or m.ran_at >= 0 and m.cls.effect is not Effect.SAFE and self.now >= end

    def come_back_us(self) -> int:
        """When to come again, for a message that the courier has no room for: spread by chance."""
        return int(self.s.max_retry_after_us * self.random.uniform(0.5, 1))

    def _refusal(self, dest: Destination, life: int) -> float:
        """Share of a destination's new messages that are refused unsent: as many as of its calls are.

        Where refused calls use up the limit too, a destination of many couriers refuses nearly all once the
        calls pass its limit, and what clients hand in again keeps it there. One courier sees too few refusals
        there to pace itself, but a share by chance adds up.
        """
        if dest.lanes and all(lane.rate for lane in dest.lanes):
            pace = sum(lane.rate for lane in dest.lanes)
            ahead = len(dest.queue) - sum(self._fill(lane) for lane in dest.lanes)
            return float(ahead / pace * 1e6 > PATIENCE * life)
        lent = self.refused[dest.kind] ** 2  # to lanes without calls, if most of the kind are refused
        shares = [x.refused if x.refused or x.seen_at else lent for x in dest.lanes if not x.rate]
        return min(SHED, sum(shares) / max(1, len(dest.lanes)))

    def _share(self, tenant: int) -> float:
        """What a message counts for: traffic over its tenant's share is worth little."""
        if tenant >= len(self.quota):
            return 1.0
        q = self.quota[tenant]
        q[1], q[2] = min(max(1.0, q[0]), q[1] + q[0] * (self.now - q[2]) / 1e6), self.now
        if q[1] < 1.0:
            return self.s.over_share_worth
        q[1] -= 1.0
        return 1.0

    def _ended(self, e: AttemptEnded) -> None:
        found = self.calls.pop((e.message, e.attempt), None)
        if found is None:
            return
        call, m = found
        ep, call.left = call.endpoint, call.left - 1
        if call.left == 0:
            self.out -= 1
            ep.lane.out -= 1
            ep.lane.dest.out -= 1
            ep.out.pop(id(call), None)
            if e.result in (Result.OK, Result.ERROR, Result.FULL):
                if self.keep or ep.lane.dest.queue:
                    ep.idle.append(self.now)
                else:
                    self.actions.append(CloseIdle(ep.id))
        m.out -= 1
        if e.retry_after_us:
            # Heeded for each message: those of one batched call were told different waits. A told wait comes
            # in cut milliseconds, so one more keeps a send from falling just inside its end.
            ep.lane.wait_until = max(ep.lane.wait_until, self.now + e.retry_after_us + 1_000)
        if not call.judged:
            call.judged = True
            if e.result not in (Result.FULL, Result.MOOT):
                ep.lane.hold += (e.latency_us - ep.lane.hold) / 8
                self.hold += (e.latency_us - self.hold) / 32
            self._judge(ep, e.result, call, e.latency_us, e.retry_after_us)
        if call.left == 0 and ep.c.trial is call:
            ep.c.trial = None
        if e.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) and m.key and self.s.key_rest_us:
            self.rests[m.key] = self.now + self.s.key_rest_us
        if m.closed or e.closed or m.streaming:
            self._close(m)
            return
        if e.result not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT) and m.ran_at < 0:
            m.ran_at, m.ran_zone = call.sent_at, ep.zone
        if m.out:
            return
        wait = 0 if e.result is Result.MOOT else self._backoff(m.tries - 1)
        again = m.ran_at < 0 or m.cls.effect is not Effect.UNSAFE
        # Overload ends the message, passing on the told wait. But where clients mark what they hand in again
        # and many were refused with nothing coming back, a refusal is a loss: the message waits here instead.
        stays = self.s.clients_mark_retries and self.unreturned >= DESERTED and m.tries < self.tries
        if e.result is Result.FULL and not stays:
            self._finish(m, e.retry_after_us)
        elif m.tries >= self.tries or not again or self.now + wait >= m.until - self.margin:
            self._finish(m, 0)
        else:
            m.ready_at = self.now + wait
            m.quick = m.tries == 1 and e.latency_us < QUICK_US
            m.dest.queue.append(m)

    def _backoff(self, attempt: int) -> int:
        return int(self.random.uniform(0, min(CAP_US, BASE_US * 2 ** min(attempt, 30))))

    # Health

    def _judge(self, ep: Endpoint, result: Result, call: Call, latency: int, told: int) -> None:
        lane, now = ep.lane, self.now
        if result in (Result.TIMEOUT, Result.RESET) and call.idle_us >= 0:
            # A connection dropped unseen while it was idle: older ones are closed before a call.
            self.reaped += 1
            if self.reaped > 1:
                self.keep = min(self.keep, int(REAP * max(call.idle_us, 2 * lane.mean)))
        if result is Result.OK:
            if call.idle_us > REAP * REAP * self.keep:
                self.reaped, self.keep = 0, min(self.s.connection_idle_us, int(self.keep * REGROW))
            self._succeeded(ep, latency)
            return
        if result in (Result.CANCELLED, Result.MOOT):
            return
        if result is Result.FULL:
            lane.refused += (1 - lane.refused) * REFUSED_MEMORY
            self.refused[lane.dest.kind] += (1 - self.refused[lane.dest.kind]) * KIND_MEMORY
            self._overloaded(lane, told)
            if told > LONG_WAIT_US:
                ep.bad = ep.c.bad = 1.0
                self._trip(ep, "shut")
                return
            if now - ep.last_ok < FRESH_US:
                return
        elif result is Result.TIMEOUT:
            if ep.last_ok > call.sent_at:
                # Calls sent with it or later were answered: a lost call, not an outage: a spell of
                # losses must not put whole lanes into recovery.
                lane.window = max(1.0, lane.window - 1)
                self.loss += LOSS_MEMORY * (1 - self.loss)
                return
            lane.window = max(1.0, lane.window / 2)
        elif result is Result.CONNECT_FAILED:
            ep.idle.clear()
            if now - ep.last_ok < FRESH_US and ep.out:  # a full connection table, not a dead endpoint
                return
        if result in (Result.ERROR, Result.TIMEOUT, Result.RESET):
            ep.dirty, ep.dirty_at = self._dirt(ep) + MEMORY * (1 - self._dirt(ep)), now
        # Where many calls are lost anyway, one without an answer says little of its endpoint.
        lost = min(1.0, LOST_X * self.loss) if result is Result.TIMEOUT else 0.0
        ep.bad += MEMORY * (1 - ep.bad) * (1 - lost)
        ep.c.bad += MEMORY * (1 - ep.c.bad) * (1 - lost)
        if ep.c.ramp_from >= 0 and ep.c.bad >= STRUCK / 2:
            ep.c.ramp_from = now
        # In a large fleet one failure opens it, or two lost calls: three each of hundreds of couriers are
        # more than a cold destination bears. One may be chance: the next answer closes it.
        first = self.thin and result is not Result.FULL
        first = first and (result is not Result.TIMEOUT or ep.c.bad >= TWICE)
        if ep.c.bad >= STRUCK or ep.c.open and call is ep.c.trial or first:
            if result is not Result.ERROR or self.thin:
                self._trip(ep, result.value)
                return
            # It answers, but with errors: some calls still get through, so it goes on at a cold start's pace,
            # which it can take when they stop. Trials alone lost what half-failing ones still deliver.
            if ep.c.ramp_from < 0:
                self.actions.append(Log(f"endpoint {ep.id} answers with errors: cold pace"))
            self._base(ep)
            ep.c.open, ep.c.gap, ep.c.ramp_from = False, 0, now

    def _succeeded(self, ep: Endpoint, latency: int) -> None:
        lane, now = ep.lane, self.now
        ep.last_ok = now
        ep.bad, ep.c.bad = ep.bad * (1 - MEMORY), ep.c.bad * (1 - MEMORY)
        ep.dirty, ep.dirty_at = self._dirt(ep) * (1 - MEMORY), now
        if latency:
            self.loss = max(LOSS, self.loss * (1 - LOSS_MEMORY))
            if not lane.mean:
                # One quick answer is no ground for a short time-out: start from the mean of all calls.
                lane.mean = lane.dev = max(float(latency), self.hold)
            lane.dev += (abs(latency - lane.mean) - lane.dev) / 8
            lane.mean += (latency - lane.mean) / 8
        lane.seen, lane.seen_at = lane.seen * max(0.0, 1 - (now - lane.seen_at) / 4e6) + 0.25, now
        lane.fulls, lane.refused = 0, lane.refused * (1 - REFUSED_MEMORY)
        self.refused[lane.dest.kind] *= 1 - KIND_MEMORY
        lane.window = min(self.cap, lane.window + 1)
        if lane.rate:
            top = lane.listed * self.s.couriers or math.inf
            # Fast up to where it was last refused, then slowly, the faster the longer ago that was: growth at
            # one pace met a refusal in ten calls.
            near = lane.rate >= NEAR * lane.brink
            step = GROW * min(1.0, max(0.1, (now - lane.cut_at) / CALM_US)) if near else GROW
            lane.rate = min(top, lane.rate + step * (lane.listed or lane.rate))
            if self.thin and not lane.dest.queue and now - lane.cut_at > CALM_US:
                lane.rate = 0.0
        if ep.c.open:
            ep.c.open = False
            if not self.thin or ep.c.bad >= TWICE * (1 - MEMORY):  # one failure was no outage
                ep.c.ramp_from = ep.c.stamp = now
                if not self.thin:
                    ep.c.tokens = 1.0
                self.actions.append(Log(f"endpoint {ep.id} answers again: slow start"))
            ep.c.gap, ep.c.bad = 0, min(ep.c.bad, STRUCK * 0.8)
        elif 0 <= ep.c.ramp_from <= now - self.s.cold_us or self.thin and self._warm(ep.c) >= 1:
            ep.c.ramp_from = -1

    def _overloaded(self, lane: Lane, told: int) -> None:
        """A refusal as full: pace down, close the window, and wait as told (or a jittered wait)."""
        now = self.now
        if now >= lane.cut_at:
            lane.cut_at = now + max(int(lane.mean), 2 * self.s.tick_us)
            lane.window = max(1.0, lane.window / 2)
            lane.brink = lane.rate or lane.seen * SPARE
            # In a large fleet an equal part of a rate is a call in many seconds, and who needs it is chance:
            # paced only from a refusal on, until no more come and nothing waits.
            if lane.rate:
                lane.rate = max(lane.rate * CUT, lane.listed * FLOOR, 0.0 if self.thin else 0.2)
            elif self.thin:
                lane.rate = lane.brink = lane.listed
                lane.tokens, lane.stamp = self.random.random(), now
            else:
                lane.rate = max(0.5, lane.seen * CUT)
            lane.fulls += 1
        lane.wait_until = max(lane.wait_until, now + (told or self._backoff(lane.fulls)))
        self._fill(lane)
        lane.tokens, lane.stamp = min(lane.tokens, 1.0), max(now, lane.wait_until)

    def _dirt(self, ep: Endpoint) -> float:
        return ep.dirty * max(0.0, 1 - (self.now - ep.dirty_at) / max(1.0, DIRTY_FADE * self.s.cold_us))

    def _base(self, ep: Endpoint) -> None:
        # A lane that fails over and over shows few successes: its warm rate is the best one seen. But the
        # floors of hundreds of couriers add up: there it is the own traffic, whose sum follows the total.
        own = ep.lane.dest.arrivals / max(self.now - self.start, self.s.cold_us, 1) * 1e6
        floor = max(ep.c.base, ep.lane.listed or ep.lane.seen * SPARE, 0.5)
        ep.c.base = (ep.lane.listed or own) if self.thin else floor

    def _trip(self, ep: Endpoint, sign: str) -> None:
        """Open the circuit: only trials, with growing jittered gaps."""
        if not ep.c.open:
            self._base(ep)
            if self.thin and ep.c.ramp_from < 0:
                ep.c.tokens = self.random.random()  # chance sets who may try first
            self.actions.append(Log(f"endpoint {ep.id} in trouble ({sign}): trials only"))
        ep.c.open, ep.c.ramp_from = True, -1
        ep.c.gap = min(GAP_CAP_US, ep.c.gap * 2 or GAP_US)
        ep.c.trial_at = self.now + int(self.random.uniform(0.5, 1) * ep.c.gap)

    def _timeout(self, lane: Lane) -> int:
        return int(lane.mean + max(lane.mean, lane.dev * TAIL_X * math.log(1 / (ALIVE * self.loss))))

    # Answers

    def _finish(self, m: Message, wait: int) -> None:
        """The one place that ends a message: refuse if earlier attempts prove that a new try is harmless."""
        e = m.cls.effect
        harmless = m.ran_at < 0 and not m.out or e is Effect.KEYED and m.cls.key_scope == "all"
        if e is Effect.SAFE or harmless:
            if m.until - self.now > max(self.s.max_retry_after_us, m.cls.aim_us):
                self.unreturned += 1
            # None was told: half the longest wait that clients heed, where that leaves the message some time.
            if not wait and m.until - self.now > self.s.max_retry_after_us:
                wait = self.s.max_retry_after_us // 2
            self.actions.append(Refuse(m.id, min(wait, self.s.max_retry_after_us)))
        else:
            self.actions.append(Fail(m.id))
        self._close(m)

    def _close(self, m: Message) -> None:
        if not m.closed:
            m.closed = True
            if m in m.dest.queue:
                m.dest.queue.remove(m)
        if not m.out:
            self.messages.pop(m.id, None)
            if m.key and m in self.keys.get(m.key, ()):
                self.keys[m.key].remove(m)
                if not self.keys[m.key]:
                    del self.keys[m.key]

    def _expire(self) -> None:
        while self.expiries and self.expiries[0][0] <= self.now:
            m = self.messages.get(heapq.heappop(self.expiries)[1])
            if m and not m.closed and not m.streaming:
                if m.out and self.now < m.until:  # its attempt's time-out is due in a moment and answers
                    heapq.heappush(self.expiries, (m.until, m.id))
                else:
                    self._finish(m, 0)

    def _make_room(self) -> None:
        """Hand back what waits for one in trouble before it keeps out what could be sent at once."""
        while len(self.messages) > max(1, self.s.max_held - ROOM):
            dest = max(self.dests.values(), key=lambda d: len(d.queue))
            if len(dest.queue) < 2:
                return
            self._finish(min(dest.queue, key=lambda m: (m.ran_at >= 0, self._value(m, self.now), -m.seq)), 0)

    # The gate and the choice

    def _fill(self, lane: Lane) -> float:
        if not lane.rate:
            return 1.0
        if self.now > lane.stamp:
            tokens = lane.tokens + lane.rate * (self.now - lane.stamp) / 1e6
            lane.tokens, lane.stamp = min(tokens, max(1.0, lane.rate * self.burst)), self.now
        return lane.tokens

    def _warm(self, circuit: Circuit) -> float:
        """Share of its usual calls that a returning endpoint may get."""
        c = self.s.cold_share
        since = self.now if circuit.open else circuit.ramp_from
        warm = c + (1 - c) * (self.now - since) / max(1, self.s.cold_us)
        return min(1.0, RAMP * self.s.fall_multiple * warm)

    def _free(self, ep: Endpoint, quick: bool = False) -> bool:
        """The gate, lane side: drain, wait, slots, windows, pace, circuit, recovery budget."""
        lane, now = ep.lane, self.now
        busy = self.out >= self.s.slots or lane.dest.out >= self.cap or lane.out >= int(lane.window)
        if busy or ep.state is not EndpointState.READY:
            return False
        if now < lane.wait_until:
            self._wake(lane.wait_until)
            return False
        if ep.c.open:
            if ep.c.trial is not None or self.thin and ep.c.tokens < 1.0 and not quick:
                return False
            if not self.thin and now < ep.c.trial_at:
                self._wake(ep.c.trial_at)
                return False
        elif ep.c.ramp_from >= 0:
            ready = sum(1 for x in lane.endpoints.values() if x.state is EndpointState.READY)
            rate = self._warm(ep.c) * ep.c.base / (1 if self.thin else ready)
            rate = max(rate, 0.001 if self.thin else 0.05)
            ep.c.tokens, ep.c.stamp = min(1.0, ep.c.tokens + rate * (now - ep.c.stamp) / 1e6), now
            if ep.c.tokens < 1.0:
                self._wake(now + int((1 - ep.c.tokens) / rate * 1e6) + 1)
                return False
        if self._fill(lane) < 1.0:
            self._wake(max(now, lane.stamp) + int((1 - lane.tokens) / lane.rate * 1e6) + 1)
            return False
        return True

    def _may(self, m: Message, ep: Endpoint) -> bool:
        """The gate, message side: attempts, effect class, key order, deadline."""
        now = self.now
        left = min(m.until, self.closing) - now - self.margin
        if self.closing < math.inf and left < self._timeout(ep.lane):  # it might be cut off at the end
            return False
        if m.closed or m.out or m.tries >= self.tries or left <= 0:
            return False
        if now < m.ready_at:
            self._wake(m.ready_at)
            return False
        if self.thin and ep.c.open and ep.c.tokens < 1.0 and not m.quick:
            return False
        if m.ran_at >= 0:
            if m.cls.effect is Effect.UNSAFE:
                return False
            if m.cls.effect is Effect.KEYED:
                if now >= m.ran_at + m.cls.key_window_us - self.margin:
                    return False
                if m.cls.key_scope == "zone" and ep.zone != m.ran_zone:
                    return False
        if m.key and (self.keys[m.key][0] is not m
                      or m.tries == 0 and now < self.rests.get(m.key, 0)):
            if m.tries == 0 and self.rests.get(m.key, 0) > now:
                self._wake(self.rests[m.key])
            return False
        # An unsafe message lost to an error is lost for good: it waits while calls there fail that way.
        if m.cls.effect is Effect.UNSAFE and self._dirt(ep) > DIRTY and left > 4 * ep.lane.mean:
            self._wake(now + 250_000)
            return False
        return True

    def _value(self, m: Message, at: float) -> float:
        """Worth of delivering m at that time."""
        c = m.cls
        age = at - m.born
        if age <= c.aim_us:
            return m.weight
        if at >= m.until:
            return 0.0
        if self.s.late_halves:
            return m.weight * max(c.late_share, 0.5 ** ((age - c.aim_us) / c.aim_us))
        return m.weight * (1 - (1 - c.late_share) * (age - c.aim_us) / max(1, c.deadline_us - c.aim_us))

    def _pick(self, dest: Destination) -> tuple[float, int, Message, Endpoint] | None:
        """The message of a destination that loses most by waiting, and the endpoint for it."""
        quick = self.thin and any(m.quick and m.ready_at <= self.now for m in dest.queue)
        free = [ep for lane in dest.lanes for ep in lane.endpoints.values() if self._free(ep, quick)]
        if not free:
            return None
        rate = sum(lane.rate or lane.seen or 1.0 for lane in dest.lanes)
        mean = max(lane.mean for lane in dest.lanes)
        soon = self.now + mean
        # Where slots are short, what waits for them waits for all calls queued, and one that holds its slot
        # long costs others theirs: hung and slow lanes get what is left (they had eaten all slots).
        hold = max(lane.hold for lane in dest.lanes)
        short = self.hold * max(0, len(self.messages) - self.out) / self.s.slots
        late = soon + max(len(dest.queue) / rate * 1e6, LASTS * short)
        best = None
        for m in dest.queue:
            key = ((self._value(m, late) - self._value(m, soon)) / hold, m.seq)
            if (best is None or key < best[:2]) and (fit := [ep for ep in free if self._may(m, ep)]):
                best = (*key, m, min(fit, key=lambda ep, m=m: self._rank(ep, m)))
        return best

    def _rank(self, ep: Endpoint, m: Message) -> tuple:
        """Healthy first, then not the one that just failed, one with an idle connection, the cheap one."""
        fee = self.s.zone_fees[ep.zone] if ep.zone < len(self.s.zone_fees) else 0.0
        warm = any(t > self.now - self.keep for t in ep.idle)
        if self.thin:  # couriers that rank alike pile onto one endpoint or route: by chance, as the rates are
            fee = self.random.expovariate((ep.lane.listed or 1.0) * (1.05 - ep.lane.refused))
        return (ep.c.open, ep is m.last, int(ep.bad * 4), not warm, fee, len(ep.out), ep.id)

    def _pump(self) -> None:
        """Send what the gate lets through, the most urgent first, while slots are free."""
        picks = {d.number: p for d in self.dests.values() if d.queue and (p := self._pick(d))}
        while picks and self.out < self.s.slots:
            number = min(picks, key=lambda n: picks[n][:2])
            _, _, m, ep = picks.pop(number)
            self._send(m, ep)
            dest = self.dests[number]
            if dest.queue and self.s.kinds[dest.kind].batch == 1 and (p := self._pick(dest)):
                picks[number] = p

    def _send(self, m: Message, ep: Endpoint) -> None:
        now, lane, call = self.now, ep.lane, Call(ep, self.now)
        self.out += 1
        lane.out += 1
        lane.dest.out += 1
        ep.out[id(call)] = call
        oldest = now - self.keep
        if ep.idle:
            if ep.idle[-1] > oldest:
                call.idle_us = now - ep.idle[-1]
            elif ep.idle[-1] > now - self.s.connection_idle_us:
                self.actions.append(CloseIdle(ep.id))
        ep.idle = [t for t in ep.idle if t > oldest][:-1]
        if lane.rate:
            lane.tokens -= 1.0
        if ep.c.open:
            ep.c.trial = call
        if ep.c.ramp_from >= 0 or ep.c.open and self.thin:
            ep.c.tokens -= 1.0
        self._attempt(m, call)
        for _ in range(self.s.kinds[lane.dest.kind].batch - 1):
            more = [x for x in lane.dest.queue if self._may(x, ep)]
            if not more or ep.c.open:
                break
            self._attempt(min(more, key=lambda x: x.seq), call)

    def _attempt(self, m: Message, call: Call) -> None:
        ep, now = call.endpoint, self.now
        left = int(min(m.until, self.closing)) - now - self.margin
        timeout, lane = left, ep.lane
        guess = self._timeout(lane) if lane.mean else max(self.s.connect_timeout_us, m.cls.aim_us)
        if m.cls.effect is Effect.UNSAFE:  # one long try: but a lost call must not hold a slot till its end
            timeout = min(left, max(guess, m.cls.aim_us))
        elif guess + lane.mean * 2 < left:
            timeout = guess
        if ep.c.open and m.cls.effect is not Effect.UNSAFE:  # a trial of what may hang: hold the slot briefly
            timeout = min(timeout, int(TRIAL_X * guess))
        m.dest.queue.remove(m)
        self.calls[(m.id, m.tries)] = (call, m)
        call.left += 1
        m.tries, m.out, m.last = m.tries + 1, m.out + 1, ep
        self.actions.append(Send(m.id, ep.id, max(1, timeout)))

    def _wake(self, at: int) -> None:
        at = max(at, self.now + self.s.tick_us)
        if not self.timers or at < self.timers[0]:
            heapq.heappush(self.timers, at)
            self.actions.append(SetTimer(at - self.now, 0))
