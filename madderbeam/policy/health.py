"""What calls to endpoints showed: health, pace, windows and time-outs of endpoints and lanes."""

from __future__ import annotations

import math
import random

from madderbeam.policy.interface import Action, EndpointState, Log, Result, Settings
from madderbeam.policy.state import Call, Circuit, Endpoint, Lane

REFUSED_MEMORY = 0.5  # weight of the newest call in the share refused
# Pacing of a lane.
BURST_S, BURST_PRICED_S = 0.8, 0.4  # a bucket holds this much of its rate; less where refusals are priced
CUT = 0.75  # on overload the rate shrinks by this, once a round trip
GROW = 0.1  # and a success adds this share of the listed (or first learned) rate
NEAR, CALM_US = 0.9, 5_000_000  # near the last refused pace it grows slowly, until this long after
LEAST = 0.2  # calls a second that a courier of few makes at the least: it would never learn of more
FIRST = 0.6  # of its part, first pace in a large fleet: by chance alone, at the whole many calls are refused
FLOOR = 0.4  # but a listed rate is not left further than this behind; elsewhere its traffic times this is one
LEAST_US = 2_000_000  # traffic counts over so long at the least: the first messages say little of it
# Health of an endpoint.
MEMORY = 0.25  # weight of the newest outcome in the failing share
STRUCK = 0.5  # failing share at which an endpoint counts as in trouble: three failures in a row from none
TWICE = 0.4  # failing share after two failures in a row
DIRTY_FADE = 0.6  # and that share fades by itself in this part of the contract's cold time
GAP_US, GAP_CAP_US = 400_000, 2_500_000  # first and longest ceiling of the gap between half-open trials
LONG_WAIT_US = 2_500_000  # a told wait over this is a shut destination, not the end of a rate span
SHUT_US = 1_000_000  # one over this may be: with no success for more than a spell it counts as an outage
RAMP = 0.8  # share of the contract's fall multiple that recovery uses: the rest is for chance
SPARE = 2.0  # an unlisted capacity is taken for this multiple of the traffic that it was seen to take
REAP, REGROW = 0.5, 1.25  # idle connections are trusted for this part of the age at which one failed
FRESH_US = 1_000_000  # an endpoint that answered this lately is not down: a failed connect is a full table
SIBLING_US = 3_000_000  # a lane that answered this lately is not down for one failed connect
OUT = 2  # calls that failed with no success between them, over more than a spell: taken for an outage
SPELL_US = 1_000_000  # trouble that lasted no longer than this, with answers before and after, was no outage
REUSE_MEMORY = 1 / 16  # weight of the newest call in the share lost on kept connections
AT_ONCE = 0.6  # a refusal on a new connection within this part of the quickest answer came before its set-up
QUICK_FADE = 1.002  # and that is forgotten slowly, by each good answer
ROOMY = 10  # so many new connections in a row with none turned away: tables there have room
TABLE_US = 2_000_000  # after this one more connection than a full table took is tried
# Time-outs.
SETUP_US = 500_000  # the first call on a new connection takes so much longer, until it has been seen
# A call is given up once it is likely lost: with a share p of calls lost and a tail that shrinks by e for
# each TAIL_X deviations, the odds that it still comes are ALIVE after TAIL_X * ln(1 / (ALIVE * p)) of them.
TAIL_X, ALIVE = 1.35, 0.1
LEAST_TICKS = 3  # an answer may lie so long before the turn that sees it: a shorter time-out tells nothing
LOST_X = 4.0  # at 1/LOST_X lost, time-outs are no evidence
LOSS, LOSS_MEMORY = 0.002, 1 / 32  # least share of calls taken as lost, weight of the newest call


class Health:
    """Judges outcomes: what an endpoint and its lane may be sent, and for how long a call is waited for."""

    def __init__(self, settings: Settings, chance: random.Random, cap: int) -> None:
        self.s, self.random, self.cap = settings, chance, cap
        self.now, self.start = 0, -1
        self.burst = BURST_PRICED_S if settings.refused_price else BURST_S
        # Many small couriers: each meets a destination so rarely that its equal part of anything says little.
        self.thin = settings.couriers > settings.slots
        self.share = min(1.0, 2 / settings.couriers)  # of what one alone may try: chance has room for two
        self.keep = settings.connection_idle_us  # idle connections are used up to this age
        self.roomy = [0 if self.thin else ROOMY] * len(settings.kinds)  # new connections taken, by kind
        self.quickest = math.inf  # answer on a new connection that was good
        self.reaped = 0  # calls lost on idle connections
        self.hold = 1e5  # as the lanes', over all calls
        self.loss = LOSS  # share of calls that are never answered though others are
        self.setup = self.setup_dev = 0.0  # what the first call on a new connection takes longer
        self.torn = 0.0  # share of calls on kept connections that are reset
        self.actions: list[Action] = []

    def keep_us(self, lane: Lane) -> int:
        """The age up to which idle connections there are used. Those of many couriers fill a destination's
        table, and few would serve again in time: a large fleet keeps none where tables were found full."""
        return self.keep if self.roomy[lane.dest.kind] >= ROOMY else 0

    def backoff(self, attempt: int) -> int:
        ceiling = min(self.s.backoff_cap_us, self.s.backoff_base_us * 2 ** min(attempt, 30))
        return int(self.random.uniform(0, ceiling))

    def judge(self, ep: Endpoint, result: Result, call: Call, latency: int, told: int) -> None:
        lane, now = ep.lane, self.now
        if call.idle_us >= 0 and result in (Result.OK, Result.ERROR, Result.RESET):
            self.torn += ((result is Result.RESET) - self.torn) * REUSE_MEMORY
        if result in (Result.TIMEOUT, Result.RESET) and call.idle_us >= 0:
            # A connection dropped unseen while it was idle: older ones are closed before a call.
            self.reaped += 1
            if self.reaped > 1:
                self.keep = min(self.keep, int(REAP * max(call.idle_us, 2 * lane.mean)))
        if result is Result.OK:
            if call.idle_us < 0:
                self.quickest = min(latency, self.quickest * QUICK_FADE)
                ep.quickest = min(latency, ep.quickest * QUICK_FADE)
                self.roomy[lane.dest.kind] += 1
            if call.idle_us > REAP * REAP * self.keep:
                self.reaped, self.keep = 0, min(self.s.connection_idle_us, int(self.keep * REGROW))
            self.succeeded(ep, call, self.settled(ep.lane, call, latency))
            return
        if result in (Result.CANCELLED, Result.MOOT):
            return
        call.crowded = self.table_full(ep, result, call, latency, told)
        if call.crowded:
            ep.most, ep.most_at = max(1, sum(c.idle_us >= 0 for c in ep.out) + len(ep.idle)), now
            if self.thin:
                self.roomy[lane.dest.kind] = 0
                ep.connect_at, ep.turned = now + self.backoff(ep.turned), ep.turned + 1
            return
        if result is Result.RESET and call.idle_us >= 0 and now - ep.last_ok < SPELL_US:
            return  # that connection had died; the endpoint answers on others
        if result is Result.FULL:
            lane.refused += (1 - lane.refused) * REFUSED_MEMORY
            self.overloaded(lane, told)
            if told > SHUT_US:
                self.failed(lane, call, OUT)
            if told > LONG_WAIT_US:
                ep.bad = ep.c.bad = 1.0
                self.trip(ep, "shut")
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
            if lane.circuit and self.alone_in_trouble(ep):  # an old list: no outage of the destination
                ep.connect_at, ep.turned = now + SIBLING_US // 2 + self.backoff(ep.turned), ep.turned + 1
                return
        if result in (Result.ERROR, Result.TIMEOUT, Result.RESET):
            ep.dirty, ep.dirty_at = self.dirt(ep) + MEMORY * (1 - self.dirt(ep)), now
        if result is not Result.FULL:
            self.failed(lane, call, 1)
        # Where many calls are lost anyway, one without an answer says little of its endpoint.
        lost = min(1.0, LOST_X * self.loss) if result is Result.TIMEOUT else 0.0
        ep.bad += MEMORY * (1 - ep.bad) * (1 - lost)
        ep.c.bad += MEMORY * (1 - ep.c.bad) * (1 - lost)
        if ep.c.ramp_from >= 0 and ep.c.bad >= STRUCK / 2:
            ep.c.ramp_from = now
        # Where two calls of each are too much, one failure opens it, or two lost calls; an answer closes it.
        one = lane.circuit and (ep.c.bad >= TWICE if result is Result.TIMEOUT else result is not Result.FULL)
        if ep.c.bad >= STRUCK or ep.c.open and call is ep.c.trial or one:
            if result is not Result.ERROR or lane.circuit:
                self.trip(ep, result.value)
                return
            # It answers, but with errors: some calls still get through, so it goes on at a cold start's pace,
            # which it can take when they stop. Trials alone lost what half-failing ones still deliver.
            if ep.c.ramp_from < 0:
                self.actions.append(Log(f"endpoint {ep.id} answers with errors: cold pace"))
            self.base(ep)
            ep.c.tokens = min(ep.c.tokens, self.share)
            ep.c.open, ep.c.gap, ep.c.ramp_from = False, 0, now

    def table_full(self, ep: Endpoint, result: Result, call: Call, latency: int, told: int) -> bool:
        """Turned away on a new connection while kept ones are answered: it takes no more of them. That is a
        failed connection, and says nothing of the limit."""
        if result is not Result.FULL or told or call.idle_us >= 0:
            return False
        # Before it was set up. A host that can't tell new ones reports a full table as a failed connect.
        call.at_once = call.opened and latency < AT_ONCE * min(ep.quickest, self.quickest) < math.inf
        return call.at_once or not self.thin and self.now - ep.last_ok < SPELL_US and not call.alone

    def alone_in_trouble(self, ep: Endpoint) -> bool:
        """Another endpoint of the lane has answered lately, after this one did and since trouble began."""
        others = [x.last_ok for x in ep.lane.endpoints.values() if x is not ep]
        return max(others, default=0) > max(ep.last_ok, self.now - SIBLING_US, ep.lane.failing_from)

    def settled(self, lane: Lane, call: Call, latency: int) -> int:
        """A call's latency without what the setting up of its connection took."""
        if call.idle_us >= 0:
            return latency
        if lane.mean:
            extra = max(0.0, latency - lane.mean)
            if not self.setup:
                self.setup, self.setup_dev = extra, extra / 2
            self.setup_dev += (abs(extra - self.setup) - self.setup_dev) / 8
            self.setup += (extra - self.setup) / 8
        return max(1, int(latency - self.setup))

    def setup_us(self) -> int:
        """What is allowed for the setting up of a connection."""
        return int(self.setup + max(self.setup / 2, 3 * self.setup_dev)) if self.setup else SETUP_US

    def succeeded(self, ep: Endpoint, call: Call, latency: int) -> None:
        lane, now = ep.lane, self.now
        spell = now - ep.last_ok < SPELL_US
        if now - ep.most_at > TABLE_US:
            ep.most, ep.most_at = ep.most + 1, now
        ep.last_ok = now
        if call.idle_us < 0:
            ep.turned = max(0, ep.turned - 1)
        ep.bad, ep.c.bad = ep.bad * (1 - MEMORY), ep.c.bad * (1 - MEMORY)
        ep.dirty, ep.dirty_at = self.dirt(ep) * (1 - MEMORY), now
        if latency:
            self.loss = max(LOSS, self.loss * (1 - LOSS_MEMORY))
            if not lane.mean:
                # One quick answer is no ground for a short time-out: start from the mean of all calls.
                lane.mean = lane.dev = max(float(latency), self.hold)
            lane.dev += (abs(latency - lane.mean) - lane.dev) / 8
            lane.mean += (latency - lane.mean) / 8
        first = not lane.seen_at
        lane.seen, lane.seen_at = lane.seen * max(0.0, 1 - (now - lane.seen_at) / 4e6) + 0.25, now
        lane.fulls, lane.refused = 0, lane.refused * (1 - REFUSED_MEMORY)
        if 0 <= lane.failing_from <= call.sent_at:
            # Trouble that was there as this courier began, or first came there, may be older than it knows.
            # A process before this one may have seen the rest of it, where the first call fails as well.
            long = first or lane.failing_from < max(now - SPELL_US, self.start + SPELL_US)
            if long and lane.failures + (first and lane.dest.restored) >= OUT and not lane.circuit:
                self.returned(lane)
            lane.failing_from, lane.failures = -1, 0
        lane.window = min(self.cap, lane.window + 1)
        if lane.rate:
            top = lane.listed * (1 if lane.lent else self.s.couriers) or math.inf
            # Fast up to where it was last refused, then slowly, the faster the longer ago that was.
            calm = min(1.0, max(0.1, (now - lane.cut_at) / CALM_US))
            step = GROW * (calm if lane.rate >= NEAR * lane.brink else 1.0)
            unlisted = max(lane.rate, max(FLOOR, calm) * self.own(lane))
            lane.rate = min(top, lane.rate + step * (lane.listed or unlisted))
            if self.thin and not lane.lent and not lane.dest.queue and now - lane.cut_at > CALM_US:
                lane.rate = 0.0
        if ep.c.open and (call.sent_at >= ep.c.opened_at or lane.circuit):  # else sent before it was shut
            ep.c.open = False
            if spell and not lane.circuit:
                ep.c.ramp_from, ep.c.stamp = ep.c.ramped, now
                self.actions.append(Log(f"endpoint {ep.id} answers again: it was a spell"))
            elif not lane.circuit or ep.c.bad >= TWICE * (1 - MEMORY):  # one failure was no outage
                self.chill(ep, now)  # trials spread are half of the slow start; told waits are not
                ep.c.ramp_from = now if ep.c.opened_at else max(0, now - self.apart(ep) // 2)
                self.actions.append(Log(f"endpoint {ep.id} answers again: slow start"))
            ep.c.gap, ep.c.bad = 0, min(ep.c.bad, STRUCK * 0.8)
        elif 0 <= ep.c.ramp_from <= now - self.s.cold_us or (
            lane.circuit and self.warm(ep.c) >= 1 and not lane.dest.queue
        ):
            ep.c.ramp_from = -1

    def failed(self, lane: Lane, call: Call, weight: int) -> None:
        """A call failed in a way that an outage would show."""
        if lane.failing_from < 0 or weight >= OUT:  # told: no answer to an older call is its end
            lane.failing_from = call.sent_at
        lane.failures += weight

    def returned(self, lane: Lane) -> None:
        """Out for over a spell. Mostly that takes all endpoints: those that no call met are cold too, and
        slow starts from before, or of an error that came late, went on over the outage: they begin anew."""
        lane.back_at = self.now
        self.actions.append(Log(f"destination {lane.dest.number} answers again: slow start"))
        for ep in lane.endpoints.values():
            if not ep.c.open and ep.c.ramp_from < max(0, self.now - SPELL_US):
                self.chill(ep, self.now)
                ep.c.tokens = 0.0  # each endpoint's first call adds up

    def chill(self, ep: Endpoint, since: int, part: float = 1.0) -> None:
        """Slow start, as of an endpoint that has come back then. `part`: others start with it."""
        self.base(ep)
        ep.c.most = SPARE if part < 1 or ep.lane.circuit else 1.0
        if part < 1:  # one of them was answered: no trial is needed
            ep.c.open, ep.c.gap = False, 0
        if ep.c.open:  # from its first answer on
            ep.c.ramped = since
            return
        ep.c.ramp_from, ep.c.stamp, ep.c.tokens = since, self.now, min(part, self.share)

    def overloaded(self, lane: Lane, told: int) -> None:
        """A refusal as full: pace down, close the window, and wait as told (or a jittered wait)."""
        now, part = self.now, lane.listed or self.own(lane)
        floor = FLOOR * (lane.listed or FLOOR * part)  # what is asked for may be a multiple of what is taken
        if now >= lane.cut_at:
            lane.cut_at = now + max(int(lane.mean), 2 * self.s.tick_us)
            lane.window = max(1.0, lane.window / 2)
            lane.brink = lane.rate or lane.seen * SPARE
            # In a large fleet chance tells who needs its part: paced from a refusal on, until nothing waits.
            if lane.rate:
                lane.rate = max(lane.rate * CUT, floor, 0.0 if self.thin else LEAST)
            elif self.thin:
                lane.rate = lane.brink = FIRST * part
                lane.tokens, lane.stamp = self.random.random(), now
            else:
                lane.rate = max(0.5, lane.seen * CUT, floor)
            lane.fulls += 1
        lane.wait_until = max(lane.wait_until, now + (told or self.backoff(lane.fulls)))
        self.fill(lane)
        lane.tokens, lane.stamp = min(lane.tokens, 1.0), max(now, lane.wait_until)

    def dirt(self, ep: Endpoint) -> float:
        return ep.dirty * max(0.0, 1 - (self.now - ep.dirty_at) / max(1.0, DIRTY_FADE * self.s.cold_us))

    def base(self, ep: Endpoint) -> None:
        """Its part of the rate. Unlisted: its own traffic, whose sum is all, or its part of one's alone."""
        own = self.own(ep.lane)
        ep.c.base = ep.lane.listed or max(ep.c.base, own, max(ep.lane.seen * SPARE, 0.5) * self.share)

    def own(self, lane: Lane) -> float:
        """Its part of the messages a second that came for its destination."""
        seconds = max(self.now - self.start, LEAST_US) / 1e6
        return lane.dest.arrivals / len(lane.dest.lanes) / seconds

    def crowded(self, rate: float) -> bool:
        """Whether two calls of each courier, if over four, push over one of that rate as it returns."""
        n = self.s.fall_multiple * self.s.cold_share * rate * self.s.rates_listed * self.s.fall_us / 1e6
        return self.thin or 2 * self.s.couriers > max(8.0, n + 2 * math.sqrt(n) + 2)

    def trip(self, ep: Endpoint, sign: str) -> None:
        """Open the circuit: only trials, with growing jittered gaps."""
        if not ep.c.open:
            ep.c.opened_at = self.now if sign == "shut" else 0
            ep.c.ramped = ep.c.ramp_from  # a spell amid a slow start does not end it
            self.base(ep)
            if ep.lane.circuit and ep.c.ramp_from < 0:
                ep.c.tokens = self.random.random()  # chance sets who may try first
            self.actions.append(Log(f"endpoint {ep.id} in trouble ({sign}): trials only"))
        ep.c.open, ep.c.ramp_from = True, -1
        apart = self.apart(ep)
        ep.c.gap = min(ep.lane.trial_gap or max(GAP_CAP_US, 2 * apart), max(GAP_US, apart // 2, 2 * ep.c.gap))
        ep.c.trial_at = self.now + int(self.random.uniform(0.5 * self.share, 1) * ep.c.gap)

    def apart(self, ep: Endpoint) -> int:
        """Time between a courier's trials at which those of the fleet are what an endpoint bears, in us."""
        return int((1 - self.share**2) / self.pace(ep) * 1e6)

    def pace(self, ep: Endpoint) -> float:
        """Calls a second that an endpoint may get from this courier as it returns: its part of all."""
        ready = sum(x.state is EndpointState.READY for x in ep.lane.endpoints.values()) or 1
        return max(self.warm(ep.c) * ep.c.base / (1 if ep.lane.circuit else ready), 0.05 * self.share)

    def timeout(self, lane: Lane) -> int:
        tail = lane.dev * TAIL_X * math.log(1 / (ALIVE * self.loss))
        return max(LEAST_TICKS * self.s.tick_us, int(lane.mean + max(lane.mean, tail)))

    def fill(self, lane: Lane) -> float:
        if not lane.rate:
            return 1.0
        if self.now > lane.stamp:
            tokens = lane.tokens + lane.rate * (self.now - lane.stamp) / 1e6
            lane.tokens, lane.stamp = min(tokens, max(1.0, lane.rate * self.burst)), self.now
        return lane.tokens

    def warm(self, circuit: Circuit) -> float:
        """Share of its usual calls that a returning endpoint may get."""
        c = self.s.cold_share
        since = self.now if circuit.open else circuit.ramp_from
        warm = c + (1 - c) * (self.now - since) / max(1, self.s.cold_us)
        return min(circuit.most, RAMP * self.s.fall_multiple * warm)
