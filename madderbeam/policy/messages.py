"""Every decision of a courier. Its types (settings, events, actions) are in madderbeam/policy/interface.py.

The ordinary path is the full-jitter retry of "Retries (Agents SDK design)": a failed call is tried again
after random(0, min(cap, base * 2**attempt)), a few times at most; an overload refusal ends the message.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Iterable

from madderbeam.policy.health import LEAST, SPELL_US, Health
from madderbeam.policy.interface import (
    Action,
    AttemptAnswering,
    AttemptEnded,
    CloseIdle,
    Closing,
    Effect,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    ListEntry,
    ListForm,
    Log,
    MessageArrived,
    MessageGone,
    Preference,
    Refuse,
    Result,
    Send,
    SetTimer,
    Settings,
    Subscribe,
)
from madderbeam.policy.state import Call, Circuit, Destination, Endpoint, Lane, Message

# The design's own figures.
DESERTED = 20  # after this many refusals with no client coming again, clients are taken not to do so
WINDOW_SHARE = 0.75  # a destination's calls stay under this share of the slots
PATIENCE = 0.5  # what would wait for its pace over this part of its life is refused at the door
KEPT = 1.3  # what was taken on counts for so much of its worth there: handed back untried it costs 0.3
ROOM = 2  # places kept free for new messages
QUICK_US = 200_000  # a failure that came this soon may be tried again at once, outage or not
TORN = 0.08  # share of calls on kept connections that are reset, over which unsafe messages get a new one
MORE = 3.0  # times its cold share a destination is tried at the most, where less comes than it takes
DIRTY = 0.15  # share of may-have-run failures over which unsafe messages wait
# Time-outs.
LASTS = 2.0  # what is put off for want of slots waits this many times the queue: new messages come first
TRIAL_X = 0.6  # a half-open trial gets this share of the time-out
TICKS = 3  # ticks kept free before a deadline


class Courier:
    """Decides for one courier: handle() takes the events of a turn and returns its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.random = settings, random.Random(seed)
        self.now, self.closing = 0, math.inf  # closing: no call may last past it
        self.dests: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}
        self.out = self.seq = 0
        self.freed: dict[int, Endpoint] = {}  # a connection there came free in this turn
        self.expiries: list[tuple[int, int]] = []
        self.timers: list[int] = []
        self.keys: dict[int, list[Message]] = {}
        self.rests: dict[int, int] = {}
        self.quota = [[t.quota_per_s / settings.couriers, 1.0, 0] for t in settings.tenants]
        self.tries = min(settings.tries, settings.max_attempts)
        most = max(1, int(WINDOW_SHARE * settings.slots))
        self.cap = min(settings.window, most) if settings.window else most
        self.health = Health(settings, self.random, self.cap)
        self.thin = self.health.thin
        self.crowded = False
        self.margin = TICKS * settings.tick_us
        self.routing: Preference | None = None  # set by the host where endpoints are not all alike
        self.unreturned = 0  # refusals since one came again
        self.actions: list[Action] = []

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        self.now = self.health.now = now_us
        self.actions = self.health.actions = []
        if self.health.start < 0:
            self.health.start = now_us
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
        while self.rests and self.rests[over := next(iter(self.rests))] <= now_us:
            del self.rests[over]
        self._expire()
        self._pump()
        for ep in self.freed.values():  # what waits may use a connection that came free; else it goes
            if ep.idle and not self.health.keep_us(ep.lane):
                ep.idle.clear()
                self.actions.append(CloseIdle(ep.id))
        self.freed.clear()
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
                ep.lane.wait_until = max(ep.lane.wait_until, entry.closed_until_us)
                ep.connect_at = max(ep.connect_at, entry.full_until_us)
                ep.lane.trial_gap, ep.lane.lent = entry.trial_gap_us, entry.lent
                if entry.paced_per_s and not ep.lane.rate:  # it goes on as it goes, and grows with care
                    ep.lane.rate = ep.lane.brink = max(ep.lane.seen, entry.paced_per_s)
                    ep.lane.cut_at = self.now
                if entry.cold:
                    self.health.chill(ep, self.now, entry.part)
                if self.s.rates_listed and entry.rate_per_s > 0:
                    part = entry.rate_per_s / self.s.couriers
                    if abs(part - ep.lane.listed) > 1e-6 * part:
                        ep.lane.listed = part
                        paced = part if entry.lent else 0.0 if self.thin else max(part, LEAST)
                        ep.lane.rate = ep.lane.brink = paced
        for ident, ep in list(self.endpoints.items()):
            if e.form is not ListForm.DELTA and ident not in named:
                ep.state = EndpointState.GONE
            if ep.state is EndpointState.GONE and not ep.out:
                self._forget(ep)

    def _forget(self, ep: Endpoint) -> None:
        """It has gone and no call is out there any more: replacements would pile up."""
        if self.endpoints.get(ep.id) is ep:
            del self.endpoints[ep.id]
        ep.lane.endpoints.pop(ep.id, None)
        if not ep.lane.endpoints and len(ep.lane.dest.lanes) > 1 and ep.lane in ep.lane.dest.lanes:
            ep.lane.dest.lanes.remove(ep.lane)

    def _add(self, entry: ListEntry) -> Endpoint:
        dest = self.dests.setdefault(entry.destination, Destination(entry.destination))
        dest.kind = min(entry.kind, len(self.s.kinds) - 1)
        if not dest.lanes or self.s.kinds[dest.kind].routes_apart:
            dest.lanes.append(Lane(dest, Circuit() if self.health.crowded(entry.rate_per_s) else None))
        ep = Endpoint(entry.endpoint, dest.lanes[-1], entry.zone)
        ep.lane.endpoints[ep.id] = self.endpoints[ep.id] = ep
        if ep.lane.back_at >= 0 and self.now < ep.lane.back_at + self.s.cold_us:  # as cold as its siblings
            self.health.chill(ep, ep.lane.back_at)
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
        # A destination in trouble is tried by a share of what comes anew: summed over a fleet it follows the
        # total, whoever does it, or what it takes where less comes: those that ask seldom found out late.
        # None is saved up: all that were told to wait come back in the same moment.
        for lane in dest.lanes:
            if (c := lane.circuit) and c.open and self.now >= lane.wait_until:  # a slow start goes by time
                more = max(1.0, min(MORE, lane.listed / self.health.own(lane)))
                c.tokens = min(1.0, c.tokens + more * self.health.warm(c) / len(dest.lanes))
        m.weight = m.cls.worth * e.weight * (1.0 if m.restored else self._share(e.tenant))
        self.messages[m.id], dest.restored = m, dest.restored or m.restored
        full = len(self.messages) >= self.s.max_held - 1
        if full != self.crowded and (full or len(self.messages) < self.s.max_held * 0.8):
            self.crowded = full
            self.actions.append(Log(f"held: {'full' if full else 'room'}; {self.out}/{self.s.slots} slots"))
        dest.queue.append(m)
        if m.key:
            self.keys.setdefault(m.key, []).append(m)
        heapq.heappush(self.expiries, (m.until - self.margin, m.id))
        if self._spent(m):
            self._finish(m, self.come_back_us())
        elif self.thin:
            self._shed(dest)

    def _spent(self, m: Message) -> bool:
        """Restored with no attempt left: its final answer is due at once."""
        end = m.ran_at + (m.cls.key_window_us if m.cls.effect is Effect.KEYED else 0) - self.margin
        return m.spent >= self.tries or m.ran_at >= 0 and m.cls.effect is not Effect.SAFE and self.now >= end

    def come_back_us(self) -> int:
        """When to come again, for a message that the courier has no room for: spread by chance."""
        return int(self.s.max_retry_after_us * self.random.uniform(0.5, 1))

    def _shed(self, dest: Destination) -> None:
        """Refuse at the door what would wait for its pace over a part of its life; the worthiest stay. What
        was taken on is worth more, and goes back where all its time is too short, unless it was restored."""
        pace = sum(lane.rate for lane in dest.lanes)
        if not pace or not all(lane.rate for lane in dest.lanes):
            return
        ahead = 1 - sum(self.health.fill(lane) for lane in dest.lanes)
        new = {m: m.ready_at == self.now and not m.spent and not m.restored for m in dest.queue}
        for m in sorted(dest.queue, key=lambda m: (-m.weight * (1 if new[m] else KEPT), m.seq)):
            late = ahead / pace * 1e6 > (PATIENCE if new[m] else 1) * (m.until - self.now)
            if late and (m.spent or not m.restored):  # what a restart found untried is tried
                self._finish(m, self.come_back_us())
            else:
                ahead += 1

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
        if self.routing is not None and not call.judged:
            self.routing.ended(call.endpoint.lane.dest.number, e.endpoint, e.result, e.spoilt, self.now)
        ep, call.left, call.opened = call.endpoint, call.left - 1, e.fresh is True
        if e.fresh is not None and e.fresh != (call.idle_us < 0):
            call.idle_us = -1 if e.fresh else 0
            if e.fresh:  # none was kept, against what was thought
                ep.idle.clear()
        if call.left == 0:
            self.out -= 1
            ep.lane.out -= 1
            ep.lane.dest.out -= 1
            ep.out.pop(call, None)
            if e.result in (Result.OK, Result.ERROR, Result.FULL):
                ep.idle.append(self.now)
                self.freed[ep.id] = ep
        m.out -= 1
        if e.retry_after_us:
            # Heeded for each message: those of one batched call were told different waits. A told wait comes
            # in cut milliseconds, so one more keeps a send from falling just inside its end.
            ep.lane.wait_until = max(ep.lane.wait_until, self.now + e.retry_after_us + 1_000)
        if not call.judged:
            call.judged = True
            if e.result not in (Result.FULL, Result.MOOT):
                ep.lane.hold += (e.latency_us - ep.lane.hold) / 8
                self.health.hold += (e.latency_us - self.health.hold) / 32
            if not e.spoilt or self.now - ep.last_ok > SPELL_US:  # a spoilt answer is no trouble by itself
                self.health.judge(ep, e.result, call, e.latency_us, e.retry_after_us)
            if call.crowded and self.thin and self.freed.pop(ep.id, False):
                # Taken for a free one it sent what waits there straight to the full table again.
                ep.idle.clear()
                self.actions.append(CloseIdle(ep.id))
            if call.at_once:  # it got nowhere near the limit
                ep.lane.tokens += 1.0
                ep.c.tokens = min(1.0, ep.c.tokens + 1.0)
        if call.left == 0 and ep.c.trial is call:
            ep.c.trial = None
        if ep.state is EndpointState.GONE and not ep.out:
            self._forget(ep)
        lost = e.spoilt or e.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # it may run on
        if lost and m.key and self.s.key_rest_us:
            self.rests.pop(m.key, None)  # behind all others: they end in the order of the dict
            self.rests[m.key] = self.now + self.s.key_rest_us
        if m.closed or e.closed or m.streaming:
            self._close(m)
            return
        if e.result not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT) and m.ran_at < 0:
            m.ran_at, m.ran_zone = call.sent_at, ep.zone
        if m.out:
            return
        # One that was never written loses no try, and goes again at once, then with growing pauses; one that
        # was turned away for want of a slot has pushed its destination all the same.
        unsent = e.result is Result.MOOT and e.fresh is None
        m.unsent += unsent
        wait = 0 if unsent and m.unsent == 1 else self.health.backoff(m.tries - 1)
        again = m.ran_at < 0 or m.cls.effect is not Effect.UNSAFE
        # Overload ends the message, passing on the told wait. But where clients mark what they hand in again
        # and many were refused with nothing coming back, a refusal is a loss: the message waits here instead.
        stays = self.s.clients_mark_retries and self.unreturned >= DESERTED and m.spent < self.tries
        if e.result is Result.FULL and not stays and not call.crowded:
            self._finish(m, e.retry_after_us)
        elif m.spent >= self.tries or not again or self.now + wait >= m.until - self.margin:
            self._finish(m, 0)
        else:
            m.ready_at = self.now + wait
            m.quick = m.spent == 1 and e.latency_us < QUICK_US
            m.dest.queue.append(m)

    def avoided(self) -> list[int]:
        """The endpoints that get nothing but trials now."""
        return [ep.id for ep in self.endpoints.values() if ep.c.open]

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
            queues = ([m for m in d.queue if m.spent or not m.restored] for d in self.dests.values())
            if len(spare := max(queues, key=len)) < 2:
                return
            self._finish(min(spare, key=lambda m: (m.ran_at >= 0, self._value(m, self.now), -m.seq)), 0)

    # The gate and the choice

    def _free(self, ep: Endpoint, quick: bool = False) -> bool:
        """The gate, lane side: drain, wait, slots, windows, pace, circuit, recovery budget."""
        lane, now = ep.lane, self.now
        busy = self.out >= self.s.slots or lane.dest.out >= self.cap or lane.out >= int(lane.window)
        if busy or ep.state is not EndpointState.READY or len(ep.out) >= ep.most:
            return False
        if now < lane.wait_until:
            self._wake(lane.wait_until)
            return False
        if now < ep.connect_at and not any(t > self._oldest(ep) for t in ep.idle):
            self._wake(ep.connect_at)
            return False
        if ep.c.open:
            if ep.c.trial is not None or lane.circuit and ep.c.tokens < 1.0 and not quick:
                return False
            if not lane.circuit and now < ep.c.trial_at:
                self._wake(ep.c.trial_at)
                return False
        elif ep.c.ramp_from >= 0:
            rate = self.health.pace(ep)
            ep.c.tokens, ep.c.stamp = min(1.0, ep.c.tokens + rate * (now - ep.c.stamp) / 1e6), now
            if ep.c.tokens < 1.0:
                self._wake(now + int((1 - ep.c.tokens) / rate * 1e6) + 1)
                return False
        if self.health.fill(lane) < 1.0:
            self._wake(max(now, lane.stamp) + int((1 - lane.tokens) / lane.rate * 1e6) + 1)
            return False
        return True

    def _may(self, m: Message, ep: Endpoint) -> bool:
        """The gate, message side: attempts, effect class, key order, deadline."""
        now = self.now
        left = min(m.until, self.closing) - now - self.margin
        if self.closing < math.inf and left < self.health.timeout(ep.lane):  # it might be cut off at the end
            return False
        untried = ep.lane.circuit and ep.c.open and ep.c.tokens < 1.0 and not m.quick
        if m.closed or m.out or m.spent >= self.tries or left <= 0 or untried:
            return False
        if now < m.ready_at:
            self._wake(m.ready_at)
            return False
        if m.ran_at >= 0:
            if m.cls.effect is Effect.UNSAFE:
                return False
            if m.cls.effect is Effect.KEYED:
                if now >= m.ran_at + m.cls.key_window_us - self.margin:
                    return False
                if m.cls.key_scope == "zone" and ep.zone != m.ran_zone:
                    return False
        if m.key and (self.keys[m.key][0] is not m or m.tries == 0 and now < self.rests.get(m.key, 0)):
            if m.tries == 0 and self.rests.get(m.key, 0) > now:
                self._wake(self.rests[m.key])
            return False
        # An unsafe message lost to an error is lost for good: it waits while calls there fail that way.
        if m.cls.effect is Effect.UNSAFE and self.health.dirt(ep) > DIRTY and left > 4 * ep.lane.mean:
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
        quick = any(m.quick and m.ready_at <= self.now for m in dest.queue)
        routing = self.routing if self.routing is not None and self.routing.knows(dest.number) else None
        ready = (ep for lane in dest.lanes for ep in lane.endpoints.values() if self._free(ep, quick))
        free = list(itertools.islice(ready, 1 if routing else None))  # one is enough: it tells which to ask
        if not free:
            return None
        rate = sum(lane.rate or lane.seen or 1.0 for lane in dest.lanes)
        soon = self.now + max(lane.mean for lane in dest.lanes)
        # Where slots are short, what waits for them waits for all calls queued, and one that holds its slot
        # long costs others theirs: hung and slow lanes get what is left (they had eaten all slots).
        hold = max(lane.hold for lane in dest.lanes)
        short = self.health.hold * max(0, len(self.messages) - self.out) / self.s.slots
        late = soon + max(len(dest.queue) / rate * 1e6, LASTS * short)
        best = None
        for m in dest.queue:
            key = ((self._value(m, late) - self._value(m, soon)) / hold, m.seq)
            if best is not None and key >= best[:2]:
                continue
            if routing is not None:
                if ep := self._preferred(m, routing, quick):
                    best = (*key, m, ep)
            elif fit := [ep for ep in free if self._may(m, ep)]:
                best = (*key, m, min(fit, key=functools.partial(self._rank, m)))
        return best

    def _preferred(self, m: Message, routing: Preference, quick: bool) -> Endpoint | None:
        """The first endpoint of its pool that the gate lets through. A tier behind (backups) opens only where
        nothing ahead can be used at all, not where it is busy or paced."""
        for waited, tier in routing.tiers(m.dest.number, m.id, m.affinity, m.tried, self.now):
            usable = False
            for ident in tier:
                ep = self.endpoints.get(ident)
                if ep is None or ep.state is not EndpointState.READY or self.now < ep.lane.wait_until:
                    continue
                if self._free(ep, quick) and self._may(m, ep):
                    return ep
                usable = usable or not ep.c.open
                if waited and usable:
                    return None
            if usable:
                return None
        return None

    def _hopeless(self, dest: Destination, routing: Preference) -> None:
        """Hand back at once what would outlive its time before any endpoint of its pool may be used."""
        if at := routing.reopens_us(dest.number, self.now):
            for m in [m for m in dest.queue if at >= m.until - self.margin]:
                self._finish(m, at - self.now)
            self._wake(at)

    def _oldest(self, ep: Endpoint) -> int:
        """Connections that came free before this are not used."""
        return self.now - max(1, self.health.keep_us(ep.lane))

    def _rank(self, m: Message, ep: Endpoint) -> tuple:
        """Healthy first, then not the one that just failed, one with an idle connection, the cheap one."""
        fee = self.s.zone_fees[ep.zone] if ep.zone < len(self.s.zone_fees) else 0.0
        warm = any(t > self._oldest(ep) for t in ep.idle)
        if self.thin:  # couriers that rank alike pile onto one endpoint or route: by chance, as the rates are
            fee = self.random.expovariate((ep.lane.listed or 1.0) * (1.05 - ep.lane.refused))
        return (ep.c.open, ep is m.last, int(ep.bad * 4), not warm, fee, len(ep.out), ep.id)

    def _pump(self) -> None:
        """Send what the gate lets through, the most urgent first, while slots are free."""
        if self.routing is not None:
            for d in self.dests.values():
                if d.queue:
                    self._hopeless(d, self.routing)
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
        ep.out[call] = None
        oldest = self._oldest(ep)
        call.fresh = m.cls.effect is Effect.UNSAFE and self.health.torn > TORN
        if ep.idle and not call.fresh:
            if ep.idle[-1] > oldest:
                call.idle_us = now - ep.idle[-1]
            elif ep.idle[-1] > now - self.s.connection_idle_us:
                self.actions.append(CloseIdle(ep.id))
        ep.idle = [t for t in ep.idle if t > oldest]
        if not call.fresh:
            ep.idle = ep.idle[:-1]
        if self.routing is not None and self.routing.begun(lane.dest.number, m.id, ep.id, now):
            self.health.chill(ep, now)  # it was out for its failures: a returning server is cold
        if lane.rate:
            lane.tokens -= 1.0
        if ep.c.open:
            ep.c.trial = call
        if ep.c.ramp_from >= 0 or ep.c.open and lane.circuit:
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
        lane = ep.lane
        guess = self.health.timeout(lane) if lane.mean else max(self.s.connect_timeout_us, m.cls.aim_us)
        # The first call on a new connection waits for it to be set up. With no time for that, each one timed
        # out, was closed, and the next opened one more.
        setup = self.health.setup_us() if lane.mean else 0

        def patience(guess: int) -> int:
            timeout = left
            if m.cls.effect is Effect.UNSAFE:  # one long try, but a lost call must not hold a slot to its end
                return min(left, max(guess, m.cls.aim_us))
            if guess + lane.mean * 2 < left:
                timeout = guess
            # A trial of what may hang: hold the slot briefly.
            return min(timeout, int(TRIAL_X * guess)) if ep.c.open else timeout

        timeout, fresh = max(1, patience(guess)), max(1, patience(guess + setup))
        m.dest.queue.remove(m)
        self.calls[(m.id, m.tries)] = (call, m)
        call.left += 1
        m.tries, m.out, m.last = m.tries + 1, m.out + 1, ep
        if self.routing is not None:
            m.tried = (*m.tried, ep.id)
        self.actions.append(Send(m.id, ep.id, fresh if call.idle_us < 0 else timeout, fresh, call.fresh))

    def _wake(self, at: int) -> None:
        at = max(at, self.now + self.s.tick_us)
        if not self.timers or at < self.timers[0]:
            heapq.heappush(self.timers, at)
            self.actions.append(SetTimer(at - self.now, 0))
