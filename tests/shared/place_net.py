"""Members that open and close connections within their leases, on the simulated network.

`open` has, for each incarnation of a member, when each of its calls ends; the sum over all stays under the
limit.
"""

import random

from lease_net import LEASE, Net, S, ids

from madderbeam.membership.values import Incarnation, State
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.values import Limit, Need, SiteMembers

PLACES, LINGERS = "places/1/a", 3 * S


class Places(Net):
    """Each member needs some connections, opens what its lease allows, and keeps each for a random time."""

    def __init__(self, seed, members, total, **more):
        super().__init__(seed, members, total=float(total), resources=(PLACES,), **more)
        self.open = {}  # (member, run): ends, in real time
        self.most, self.opened = 0, 0
        self.spans = (S // 10, S, LINGERS * 9 // 10)

    def boot(self, *members):
        for m in members or tuple(self.members):
            it = self.members[m]
            it.start, it.run = it.start + 1, it.run + 1
            it.timers, it.waiting, it.paused = {}, [], False
            life, run = Incarnation(it.start, self.chance.randrange(2**32)), it.run
            it.machine = Leases(
                self.settings,
                m,
                life,
                random.Random(self.chance.random()),
                dict(it.records),
                lambda r, m=m, run=run: float(self.count(m, run)),
            )
            self.hand(m, Limit(PLACES, self.total, self.total / len(self.site), True, LINGERS))
            self.hand(m, Need(PLACES, it.demand.get(PLACES, 0.0)))
            self._start(m)

    def _start(self, m):
        self.hand(m, SiteMembers(self.site, self.earlier, self.first))
        for other in self.members.values():
            if other.machine is not None:
                self.view(m, other.me, State.ALIVE)
        self.tell(m, State.ALIVE, 200_000)
        self.at(1, "open", m, self.members[m].run)

    def kill(self, *members):
        """The system closes a dead process's connections."""
        for m in members:
            self.open.pop((m, self.members[m].run), None)
        super().kill(*members)

    def count(self, m, run):
        return sum(end > self.now for end in self.open.get((m, run), ()))

    def _open(self, m, run):
        """Several times a second: open what the lease allows now, up to what is needed."""
        it = self.members[m]
        if it.run != run or it.machine is None:
            return
        self.at(self.chance.randrange(100_000, 300_000), "open", m, run)
        if it.paused:
            return
        calls = self.open[m, run] = [end for end in self.open.get((m, run), ()) if end > self.now]
        most = min(it.machine.amount(PLACES, it.now()), it.demand.get(PLACES, 0.0))
        while len(calls) < most:
            calls.append(self.now + self.chance.choice(self.spans))
            self.opened += 1
        self.check_sums()

    def check_sums(self):
        self.grown = False
        open_ = sum(self.count(m, run) for m, run in self.open)
        self.most = max(self.most, open_)
        where = f"at {self.now / S:.3f} s: {self.amounts(PLACES)}"
        assert open_ <= self.total, f"{open_} of {self.total} open {where}"
        assert all(a == int(a) for a in self.amounts(PLACES).values()), where


class PlaceDraw:
    """One seed's run: kills, pauses shorter than a lease, cuts, drains, changing needs."""

    def __init__(self, seed):
        self.chance = random.Random(f"places {seed}")
        members = ids(self.chance.randrange(2, 7))
        total = len(members) * self.chance.choice((1, 2, 8)) + self.chance.randrange(3)
        settings = LeaseSettings(lease_us=LEASE, slots=1, drift_ppm=self.chance.choice((200, 50_000)))
        self.net = Places(
            seed,
            members,
            total,
            settings=settings,
            loss=self.chance.choice((0.0, 0.1)),
            delay=self.chance.choice((2_000, 400_000)),
        )
        self.net.detect_us = self.chance.choice((1, 3, 12)) * LEASE // 2
        self.kinds = self.chance.sample((self.kill, self.pause, self.cut, self.drain, self.need), 3)

    def member(self):
        return self.chance.choice(self.net.site)

    def span(self):
        return self.chance.choice((1, LEASE // 4, LEASE, 3 * LEASE)) + self.chance.randrange(LEASE // 8)

    def kill(self):
        m = self.member()
        if self.net.members[m].machine is not None:
            self.net.kill(m)
            self.net.at(self.span(), "do", lambda: self.net.boot(m))

    def pause(self):
        self.net.pause(self.member(), self.span(), self.chance.random() < 0.5)

    def cut(self):
        m, inbound = self.member(), self.chance.random() < 0.5
        cuts = {(o, m) if inbound else (m, o) for o in self.net.members if o != m}
        self.net.cuts |= cuts
        self.net.at(self.span(), "do", lambda: self.net.cuts.difference_update(cuts))

    def drain(self):
        m = self.member()
        self.net.drain(m)
        self.net.at(self.span(), "do", lambda: self.net.drain(m, False))

    def need(self):
        for m in self.net.site:
            self.net.need(m, PLACES, self.chance.choice((0.0, 2.0, self.net.total)))

    def play(self, leases=12):
        self.net.boot()
        self.need()
        end = self.net.now + leases * LEASE
        while self.net.now < end:
            self.chance.choice((*self.kinds, self.need))()
            self.net.run(self.chance.choice((LEASE // 20, LEASE // 3, LEASE)))
        return self
