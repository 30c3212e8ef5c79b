"""Members' leases on a simulated network: seeded delay, loss, one-way cuts, pauses, kills, clock drift."""

import heapq
import random

from madderbeam.membership.values import (
    Incarnation,
    Leave,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    PauseDetected,
    Persist,
    SendMessage,
    SetDraining,
    SetTimer,
    State,
    TimerDue,
    WriteFailed,
)
from madderbeam.shared.lease_messages import from_row, to_row
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.values import Limit, Need, SetAllowance, SiteMembers

S = 1_000_000
LEASE = 4 * S
SETTINGS = LeaseSettings(lease_us=LEASE, slots=1)


def ids(count, site="macon"):
    return tuple(MemberId(site, f"m{n:02}") for n in range(count))


class Member:
    """One courier's leases and its clock. Clocks start anywhere; any two differ by at most the drift."""

    def __init__(self, net, me):
        self.me, self.net = me, net
        self.start, self.machine, self.records = 0, None, {}
        apart = net.settings.drift_ppm * 48 // 100
        self.offset, self.rate = net.chance.randrange(10**9), 1 + net.chance.choice((-apart, 0, apart)) / 1e6
        self.paused, self.waiting, self.run, self.timers = False, [], 0, {}
        self.demand = {}

    def now(self):
        return int(self.offset + self.net.now * self.rate)


class Net:
    """Real time in microseconds; each step passes one event to one member, then the sum is checked."""

    def __init__(
        self, seed, members, total=100.0, resources=("rate/1",), settings=SETTINGS, loss=0.0, delay=20_000
    ):
        self.chance, self.settings = random.Random(seed), settings
        self.now, self.order, self.queue, self.steps = 0, 0, [], 0
        self.site, self.earlier, self.first = tuple(members), (), True
        self.total, self.resources = total, resources
        self.loss, self.delay, self.cuts, self.last = loss, delay, set(), {}
        self.detect_us, self.unwritten, self.bytes = 8 * S, 0.0, None
        self.members = {m: Member(self, m) for m in members}
        self.worst, self.grown = 0.0, False

    # Faults and changes

    def boot(self, *members):
        for m in members or tuple(self.members):
            it = self.members[m]
            it.start += 1
            it.run += 1
            it.timers, it.waiting, it.paused = {}, [], False
            life = Incarnation(it.start, self.chance.randrange(2**32))
            it.machine = Leases(self.settings, m, life, random.Random(self.chance.random()), dict(it.records))
            for r in self.resources:
                self.hand(m, Limit(r, self.total, self.total / len(self.site)))
                self.hand(m, Need(r, it.demand.get(r, self.total / len(self.site))))
            self.hand(m, SiteMembers(self.site, self.earlier, self.first))
            for other in self.members.values():
                if other.machine is not None:
                    self.view(m, other.me, State.ALIVE)
            self.tell(m, State.ALIVE, 200_000)

    def kill(self, *members):
        for m in members:
            it = self.members[m]
            it.machine, it.paused = None, False
            it.run += 1
            self.tell(m, State.DEAD, self.detect_us)

    def tell(self, m, state, within_us):
        for other in self.members:
            if other != m:
                self.at(self.chance.randrange(within_us) + 1, "view", other, m, state, self.members[m].run)

    def view(self, to, m, state, draining=False):
        it = self.members[m]
        view = MemberView(m, Incarnation(it.start, 0), 0, state, ("", 0), 0, draining)
        self.hand(to, MemberChanged(view))

    def pause(self, m, us, detected=True):
        it = self.members[m]
        if it.machine is not None and not it.paused:
            it.paused = True
            self.at(us, "resume", m, it.run, us, detected)

    def need(self, m, resource, amount):
        self.members[m].demand[resource] = amount
        self.hand(m, Need(resource, amount))

    def table(self, members, in_force_at):
        """Another table; `in_force_at`: the members that use it already."""
        for m in members:
            self.members.setdefault(m, Member(self, m))
        before = (self.site, *self.earlier)
        self.site, self.earlier, self.first = tuple(members), before, False
        for m in in_force_at:
            self.hand_table(m)

    def hand_table(self, m):
        old, new = self.earlier[0], self.site
        limits = [Limit(r, self.total, self.total / len(new)) for r in self.resources]
        if m not in old:
            return
        change = SiteMembers(new, self.earlier, False)
        for event in [change, *limits] if len(new) <= len(old) else [*limits, change]:
            self.hand(m, event)

    def table_known(self):
        """The table is in force at all members."""
        self.earlier = ()
        for m, it in self.members.items():
            if it.machine is not None:
                self.hand(m, SiteMembers(self.site, (), self.first))

    # The run

    def at(self, after_us, what, *args):
        self.order += 1
        heapq.heappush(self.queue, (self.now + after_us, self.order, what, args))

    def hand(self, m, event):
        it = self.members[m]
        if it.machine is None:
            return
        if it.paused:
            it.waiting.append(event)
            return
        for action in it.machine.handle(it.now(), event):
            if isinstance(action, SendMessage):
                self.send(m, action)
            elif isinstance(action, SetAllowance):
                self.grown = True
            elif isinstance(action, SetTimer):
                it.timers[action.token] = self.order + 1
                wait = max(0, round((action.at_us - it.now()) / it.rate)) + 1
                self.at(wait, "due", m, it.run, action.token, self.order + 1)
            elif isinstance(action, Persist):
                if self.chance.random() < self.unwritten:
                    self.at(1, "hand", m, it.run, WriteFailed(action.kind, action.key))
                    break
                it.records[action.kind, action.key] = action.value

    def send(self, m, action):
        row = to_row(action.message)
        if self.bytes is not None:
            self.bytes(m, action.member, row)
        if (m, action.member) in self.cuts or self.chance.random() < self.loss:
            return
        sent = self.last.get((m, action.member), 0)
        arrives = max(sent, self.now + self.chance.randrange(self.delay) + 1)
        self.last[m, action.member] = arrives
        self.at(arrives - self.now, "message", action.member, m, row)

    def step(self):
        self.now, _, what, args = heapq.heappop(self.queue)
        getattr(self, f"_{what}")(*args)
        self.steps += 1
        if self.grown:
            self.check_sums()

    def _message(self, m, source, row):
        if m in self.members:
            self.hand(m, MessageReceived(source, from_row(row)))

    def _due(self, m, run, token, order):
        it = self.members[m]
        if it.run == run and it.timers.get(token) == order:
            self.hand(m, TimerDue(token))

    def _hand(self, m, run, event):
        if self.members[m].run == run:
            self.hand(m, event)

    def _view(self, to, m, state, run):
        if self.members[m].run == run:
            self.view(to, m, state)

    def _resume(self, m, run, us, detected):
        it = self.members[m]
        if it.run == run and it.paused:
            it.paused, waiting, it.waiting = False, it.waiting, []
            for event in [PauseDetected(us)] * detected + waiting:
                self.hand(m, event)

    def _do(self, act):
        act()

    def run(self, us):
        end = self.now + us
        while self.queue and self.queue[0][0] <= end:
            self.step()
        self.now = end
        self.check_sums()

    # Checks

    def amounts(self, resource):
        return {m: it.machine.amount(resource, it.now()) for m, it in self.members.items() if it.machine}

    def used(self, resource="rate/1"):
        return sum(self.amounts(resource).values())

    def check_sums(self):
        """Check the sums. Amounts grow by actions alone; in between they only expire."""
        self.grown = False
        for resource in self.resources:
            used = self.used(resource)
            self.worst = max(self.worst, used / self.total)
            where = f"at {self.now / S:.3f} s, step {self.steps}: {self.amounts(resource)}"
            assert used <= self.total * (1 + 1e-9), f"{used:.3f} of {self.total} {where}"

    def grantors(self):
        here = (m for m, it in self.members.items() if it.machine)
        return [m for m in here if any(s["grants"] for s in self.status(m))]

    def status(self, m):
        it = self.members[m]
        return it.machine.status(it.now())["slots"]

    def leave(self, m):
        self.hand(m, Leave())
        self.at(500_000, "do", lambda: self.kill(m))
        for other in self.members:
            if other != m:
                self.view(other, m, State.LEFT)

    def drain(self, m, on=True):
        self.hand(m, SetDraining(on))
        for other in self.members:
            if other != m:
                self.view(other, m, State.ALIVE, on)
