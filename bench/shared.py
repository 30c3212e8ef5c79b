"""What members of a site gain by sharing, in pure virtual time.

    PYTHONPATH=. python bench/shared.py leases|calls|know|bytes
    PYTHONPATH=. python bench/shared.py returns [FIRST [SEEDS [LOAD [EACH]]]]     # 1,000 seeds are long

All but `leases` are in bench/shared_site.py. `leases`:
50 members with uneven drawn demand (a few have most of it, and who they are changes every minute) under one
limit of 70, 90 and 110 % of the whole load: leases, equal fixed parts, one central limit. Served: of what
came, within 5 s; a bucket holds one second of its rate.
"""

import heapq
import random
import sys
import time
from collections import deque

import msgpack
import shared_site

from madderbeam.membership.values import (
    Incarnation,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    SendMessage,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.shared.lease_messages import from_row, to_row
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.rate_meter import RateMeter
from madderbeam.shared.values import Limit, Need, SiteMembers

S = 1_000_000
MEMBERS, RATE = 50, "rate/1"
LOAD = 1_000.0  # messages a second, of all
STEP = S // 10


class Site50:
    """Members that speak over links that take 1 to 20 ms."""

    def __init__(self, total, settings, members=MEMBERS):
        self.chance, self.now, self.order, self.queue = random.Random(7), 0, 0, []
        self.ids = tuple(MemberId("macon", f"m{n:02}") for n in range(members))
        self.bytes = [0] * members
        self.timers = {}
        self.machines = [
            Leases(settings, m, Incarnation(1, n), random.Random(n), {}) for n, m in enumerate(self.ids)
        ]
        for n in range(members):
            self.hand(n, Limit(RATE, total, total / members))
            self.hand(n, SiteMembers(self.ids))
            for m in self.ids:
                self.hand(n, MemberChanged(MemberView(m, Incarnation(1, 0), 0, State.ALIVE, ("", 0), 0)))

    def hand(self, n, event):
        for action in self.machines[n].handle(self.now, event):
            if isinstance(action, SendMessage):
                packed = msgpack.packb(to_row(action.message))
                self.bytes[n] += len(packed)
                to = self.ids.index(action.member)
                self.later(self.now + self.chance.randrange(1_000, 20_000), to, (n, packed))
            elif isinstance(action, SetTimer):
                self.later(max(action.at_us, self.now + 1), n, action.token)

    def later(self, at, n, what):
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, n, what))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, n, what = heapq.heappop(self.queue)
            if isinstance(what, str):
                self.hand(n, TimerDue(what))
            else:
                self.hand(n, MessageReceived(self.ids[what[0]], from_row(msgpack.unpackb(what[1]))))
        self.now = until


class Demand:
    """What each wants a second: drawn by a power of a chance, so that a tenth of the members have half of it;
    every minute for each with one chance in four drawn anew."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.weights = [self.draw() for _ in range(MEMBERS)]

    def draw(self):
        return self.chance.paretovariate(1.2)

    def minute(self):
        self.weights = [self.draw() if self.chance.random() < 0.25 else w for w in self.weights]

    def rates(self):
        return [LOAD * w / sum(self.weights) for w in self.weights]


class Queue:
    """Sends what came in order, at a rate with one second's burst; what has waited 5 s is lost."""

    def __init__(self, rate):
        self.level, self.waits, self.count = rate, deque(), 0

    def take(self, rate, wanted):
        self.level = min(max(rate, 1.0), self.level + rate * STEP / S)
        self.waits.append(wanted)
        self.count += wanted
        if len(self.waits) > 50:
            self.count -= self.waits.popleft()
        taken = left = min(int(self.level), self.count)
        for n, waiting in enumerate(self.waits):  # a place a step, so that it tells the age
            if not left:
                break
            self.waits[n] -= min(left, waiting)
            left -= min(left, waiting)
        self.level -= taken
        self.count -= taken
        return taken


def arrivals(chance, rate):
    """Poisson in a step."""
    mean, count, left = rate * STEP / S, 0, chance.expovariate(1)
    while left < mean:
        count, left = count + 1, left + chance.expovariate(1)
    return count


def play(share, minutes=2, seed=3):
    """Served of what came, three ways, on the same arrivals."""
    total = LOAD * share
    site, demand, chance = Site50(total, LeaseSettings(slots=1)), Demand(seed), random.Random(seed + 8)
    leases = [Queue(total / MEMBERS) for _ in range(MEMBERS)]
    fixed = [Queue(total / MEMBERS) for _ in range(MEMBERS)]
    central, came, served = Queue(total), 0, [0, 0, 0]
    meters = [RateMeter() for _ in range(MEMBERS)]
    for meter in meters:
        meter.rate = LOAD / MEMBERS
    site.run(10 * S)
    sent = sum(site.bytes), max(site.bytes)
    start = site.now
    for step in range(minutes * 600):
        if step % 600 == 0:
            demand.minute()
        site.run(start + step * STEP)
        all_wanted = 0
        for n, rate in enumerate(demand.rates()):
            wanted = arrivals(chance, rate)
            came, all_wanted = came + wanted, all_wanted + wanted
            served[1] += fixed[n].take(total / MEMBERS, wanted)
            amount = site.machines[n].amount(RATE, site.now)
            served[0] += leases[n].take(amount, wanted)
            meters[n].record_arrivals(wanted, STEP / S)
            if step % 5 == 0:
                site.hand(n, Need(RATE, meters[n].needed_rate(leases[n].count)))
        served[2] += central.take(total, all_wanted)
    span = minutes * 60
    each = (sum(site.bytes) - sent[0]) / span / MEMBERS
    return [s / came for s in served], each, (max(site.bytes) - sent[1]) / span


def bytes_by_size():
    for members in (5, 20, 50, 100):
        site = Site50(LOAD, LeaseSettings(), members)
        for n in range(members):
            site.hand(n, Need(RATE, LOAD / members))
        site.run(20 * S)
        before = list(site.bytes)
        site.run(40 * S)
        sent = [(b - a) / 20 for a, b in zip(before, site.bytes, strict=True)]
        each = sum(sent) / members
        print(f"{members:4} members: {each:6.0f} bytes a second a member, {max(sent):7.0f} the busiest")


def amount_time():
    site = Site50(LOAD, LeaseSettings(slots=1))
    site.run(10 * S)
    amount, now, times = site.machines[0].amount, site.now, 200_000
    best = min(_timed(amount, now, times) for _ in range(5))
    print(f"amount(): {best / times * 1e9:.0f} ns")


def _timed(amount, now, times):
    begin = time.process_time()
    for _ in range(times):
        amount(RATE, now)
    return time.process_time() - begin


def leases():
    for share in (0.7, 0.9, 1.1):
        (with_leases, fixed, central), each, most = play(share)
        print(
            f"limit {share:.0%} of the load: leases {with_leases:.4f}, fixed parts {fixed:.4f}, "
            f"central {central:.4f}; leases/central {with_leases / central:.4f}, "
            f"fixed/central {fixed / central:.4f}; {each:.0f} bytes/s a member, {most:.0f} the granter"
        )
    bytes_by_size()
    amount_time()


if __name__ == "__main__":
    scenes = {
        "leases": leases,
        "calls": shared_site.calls,
        "know": shared_site.know,
        "bytes": shared_site.sent,
        "returns": shared_site.returns,
    }
    name, *rest = sys.argv[1:] or [""]
    if name not in scenes or (rest and name != "returns"):
        sys.exit(f"usage: python bench/shared.py {'|'.join(scenes)}")
    scenes[name](*(float(n) if "." in n else int(n) for n in rest))
