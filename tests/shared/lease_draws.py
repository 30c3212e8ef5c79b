"""Random runs: faults of all kinds, one after the other and at once, for a few members under load."""

import random

from lease_net import LEASE, Net, ids

from madderbeam.membership.values import State
from madderbeam.shared.lease_settings import LeaseSettings


class Draw:
    """One seed's run. Half of the seeds have clocks that run 200 ppm apart, the others 5 %."""

    def __init__(self, seed):
        self.chance = random.Random(f"draw {seed}")
        self.spare = self.chance.randrange(3)  # members that the table may gain
        self.everyone = ids(self.chance.randrange(2, 7) + self.spare)
        members = self.everyone[: len(self.everyone) - self.spare]
        drift = self.chance.choice((200, 50_000))
        settings = LeaseSettings(lease_us=LEASE, slots=1, drift_ppm=drift)
        delay = self.chance.choice((2_000, 20_000, 400_000))
        loss = self.chance.choice((0.0, 0.0, 0.1))
        self.net = Net(seed, members, settings=settings, loss=loss, delay=delay)
        self.net.detect_us = self.chance.choice((1, 3, 12)) * LEASE // 2
        self.net.unwritten = self.chance.choice((0.0, 0.2))
        faults = (
            self.kill,
            self.pause,
            self.cut,
            self.part,
            self.drain,
            self.need,
            self.wrong_views,
            self.table,
        )
        self.kinds = self.chance.sample((*faults, self.leave), 4)
        self.served = 0

    def member(self):
        return self.chance.choice(self.net.site)

    def span(self):
        some = self.chance.choice((1, LEASE // 40, LEASE // 4, LEASE, 3 * LEASE))
        return some + self.chance.randrange(LEASE // 8)

    def later(self, action, us=None):
        self.net.at(us or self.span(), "do", action)

    def kill(self):
        m = self.member()
        if self.net.members[m].machine is not None:
            self.net.kill(m)
            self.later(lambda: self.net.boot(m))

    def leave(self):
        m = self.member()
        if self.net.members[m].machine is not None and not self.net.members[m].paused:
            self.net.leave(m)
            again = LEASE // 8 + self.span()
            self.later(lambda: self.net.members[m].machine is None and self.net.boot(m), again)

    def pause(self):
        self.net.pause(self.member(), self.span(), self.chance.random() < 0.5)

    def cut(self):
        m, inbound = self.member(), self.chance.random() < 0.5
        others = [o for o in self.net.members if o != m and self.chance.random() < 0.8]
        cuts = {(o, m) if inbound else (m, o) for o in others}
        self._cut(cuts)

    def part(self):
        side = {m for m in self.net.members if self.chance.random() < 0.5}
        self._cut({(a, b) for a in self.net.members for b in self.net.members if (a in side) != (b in side)})

    def _cut(self, cuts):
        self.net.cuts |= cuts
        self.later(lambda: self.net.cuts.difference_update(cuts))

    def drain(self):
        m = self.member()
        self.net.drain(m)
        self.later(lambda: self.net.drain(m, False))

    def need(self):
        for m in self.net.site:
            self.net.need(m, "rate/1", self.chance.choice((0.0, 10.0, 100.0)))

    def wrong_views(self):
        for m in self.net.site:
            view = self.chance.choice(self.net.site)
            if view != m:
                self.net.view(m, view, self.chance.choice((State.ALIVE, State.DEAD)))

    def table(self):
        """Another table comes into force at some members at once and at the others later."""
        if self.net.earlier:
            return
        old = self.net.site
        new = tuple(m for m in self.everyone if self.chance.random() < 0.7) or old
        if not set(new) & set(old):
            return
        self.net.table(new, [m for m in old if self.chance.random() < 0.5])
        self.net.boot(*(m for m in new if m not in old and self.net.members[m].machine is None))
        self.later(lambda: self.put_in_force(old))

    def put_in_force(self, old):
        """Put the table in force at members that lack it.

        While one of them is cut off or gone, the older sets stay in use.
        """
        if any(self.net.members[m].machine is None or self.net.members[m].paused for m in old):
            self.later(lambda: self.put_in_force(old))
            return
        for m in old:
            self.net.hand_table(m)
        self.net.at(1, "do", self.net.table_known)

    def play(self, leases=12):
        self.net.boot(*(m for m in self.net.site if self.chance.random() < 0.9))
        self.need()
        for m in self.net.site:
            if self.net.members[m].machine is None:
                self.later(lambda m=m: self.net.boot(m))
        end = self.net.now + leases * LEASE
        while self.net.now < end:
            self.chance.choice(self.kinds)()
            self.net.run(self.chance.choice((LEASE // 20, LEASE // 3, LEASE)))
            self.served += len(self.net.grantors()) == 1
        return self
