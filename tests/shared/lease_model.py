"""All orders of a scene's events over the real machines of three members: who asks, ends, restarts, and when
each message comes, or never. Time goes on in halves and eighths of a lease, the same for all.

Who asks when is left open, so that nothing hangs on how a candidate is chosen.
"""

import pickle
from collections import deque

from lease_net import ids

from madderbeam.membership.values import Incarnation, MessageReceived, Persist, SendMessage, SetTimer
from madderbeam.shared.lease_messages import Refused
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.values import Limit, Need, Site

LEASE, TOTAL, RATE = 400_000, 90.0, "rate/1"
SETTINGS = LeaseSettings(lease_us=LEASE, drift_ppm=0, slots=1, renewals=4)
MEMBERS = ids(3)
HALF, BIT = ("time", LEASE // 2), ("time", LEASE // 8)
SCENES = {  # each move so many times, in any order, with all orders of the messages
    "hand over": {("end", 0): 1, ("begin", 2): 1, ("renew", 2): 1, HALF: 2},
    "silence": {("renew", 0): 1, ("begin", 2): 1, HALF: 3},
    "two ask": {("begin", 1): 1, ("begin", 2): 1, ("end", 0): 1, HALF: 1},
    "restart": {("end", 0): 1, ("restart", 1): 1, ("begin", 2): 1, ("renew", 0): 1, BIT: 1},
    "one is cut off": {("restart", 1): 1, ("begin", 2): 1, ("renew", 0): 1, BIT: 1},
    "hand back": {("back", 1): 1, ("renew", 0): 2, BIT: 1, HALF: 1},
}


class NoChance:
    """In place of a Random: its state need not be copied."""

    def randrange(self, *bounds):
        return 0


class World:
    """Three machines, the messages between them, and what may happen still."""

    def __init__(self, scene):
        self.now, self.starts = 10**9, [0, 0, 0]
        self.machines, self.links, self.left = [None] * 3, {}, dict(scene)
        for n in range(3):
            self.start(n, {})

    def start(self, n, records):
        self.starts[n] += 1
        self.machines[n] = Leases(SETTINGS, MEMBERS[n], Incarnation(self.starts[n], 0), NoChance(), records)
        self.hand(n, Site(MEMBERS))
        self.hand(n, Limit(RATE, TOTAL, TOTAL / 3))
        self.hand(n, Need(RATE, (90.0, 10.0, 90.0)[n]))

    def hand(self, n, event):
        self._do(n, self.machines[n].handle(self.now, event))

    def _do(self, n, actions):
        for action in actions:
            if isinstance(action, SendMessage) and not isinstance(action.message, Refused):
                to = MEMBERS.index(action.member)
                self.links[n, to] = (*self.links.get((n, to), ()), action.message)
            elif isinstance(action, SetTimer) and action.token == "lease/joined":
                self.machines[n]._written = True
            else:
                assert not isinstance(action, Persist) or action.key == "joined"

    def slot(self, n):
        machine = self.machines[n]
        machine.out.now_us = self.now
        return machine.slots[0]

    def flush(self, n):
        """What a call into a slot gave, with what it says to itself."""
        machine = self.machines[n]
        while machine.out.to_self:
            machine._message(machine.me, machine.out.to_self.popleft())
        self._do(n, machine.out.taken())

    # What may happen

    def moves(self):
        found = [("deliver", link) for link, messages in self.links.items() if messages]
        return found + [move for move, count in self.left.items() if count and self.may(*move)]

    def may(self, what, arg):
        if what not in ("begin", "renew", "end"):
            return True
        return self.machines[arg].slots[0].granting.regime.on is (what != "begin")

    def play(self, *move):
        if move in self.left:
            self.left[move] -= 1
        getattr(self, f"_{move[0]}")(move[1])

    def _deliver(self, link):
        message, *rest = self.links[link]
        self.links[link] = tuple(rest)
        self.hand(link[1], MessageReceived(MEMBERS[link[0]], message))

    def _begin(self, n):
        self.slot(n).granting.begin()
        self.flush(n)

    def _renew(self, n):
        granting = self.slot(n).granting
        granting.turn()
        granting.ask()
        self.flush(n)

    def _end(self, n):
        self.slot(n).granting.end()
        self.flush(n)

    def _back(self, n):
        self.slot(n).give_up()
        self.flush(n)

    def _restart(self, n):
        self.links = {link: messages for link, messages in self.links.items() if n not in link}
        self.start(n, {("lease", "joined"): True} if self.machines[n]._written else {})

    def _time(self, us):
        self.now += us

    # What must hold, and what two worlds have in common

    def amounts(self):
        return [m.amount(RATE, self.now) for m in self.machines]

    def key(self):
        return repr(
            (
                self.now,
                self.left,
                sorted((k, repr(v)) for k, v in self.links.items() if v),
                [self._member(m) for m in self.machines],
            )
        )

    def _member(self, machine):
        slot, holder = machine.slots[0], machine.holder
        regime, pots = slot.granting.regime, slot.granting.pots
        shares = [sorted((str(m), repr(s)) for m, s in p.shares.items()) for p in pots.values()]
        given = [sorted((str(m), repr(g)) for m, g in p.given.items()) for p in pots.values()]
        voter = slot.voter
        return (
            *(voter.ready_us, voter.bound, voter.until_us, voter.earlier_us, regime.number, regime.on),
            *(regime.ask, regime.began_us, regime.until_us, regime.wait_us, shares, given),
            *(sorted(map(repr, regime._asks.items())), sorted(slot.granting._answers.items())),
            *(holder.lots[RATE], holder.followed, sorted(holder._sent.items())),
            *(sorted(machine.seating.joined.items()), machine._written),
        )


def granted(scene):
    """The first member has granted, and all hold uneven parts. Its regime and the grants run still."""
    world = World(scene)
    world.now += LEASE * 2
    world._begin(0)
    for _ in range(30):
        quiet(world)
        world.now += LEASE // 8
        world._renew(0)
    quiet(world)
    assert world.slot(0).granting.runs() and max(world.amounts()) > TOTAL * 0.4
    if scene is SCENES["one is cut off"]:  # the third hears no more: its lease and its word are over
        world.now += LEASE // 2
        world._renew(0)
        while messages := [link for link, sent in world.links.items() if sent and 2 not in link]:
            world._deliver(messages[0])
        world.links.clear()
        world.now += LEASE // 2
    return world


def quiet(world):
    while any(world.links.values()):
        for link in [link for link, messages in world.links.items() if messages]:
            world._deliver(link)


def explore(world, states=20_000):
    """Breadth first, until there is no new state. Figures, or AssertionError with the shortest way that leads
    to a sum over the limit."""
    todo = deque([(pickle.dumps(world), ())])
    seen, steps, deepest = {world.key()}, 0, 0
    while todo and len(seen) < states:
        frozen, path = todo.popleft()
        deepest = max(deepest, len(path))
        for move in pickle.loads(frozen).moves():
            world = pickle.loads(frozen)
            world.play(*move)
            steps += 1
            assert sum(world.amounts()) <= TOTAL * (1 + 1e-9), (world.amounts(), (*path, move))
            key = world.key()
            if key not in seen:
                seen.add(key)
                todo.append((pickle.dumps(world), (*path, move)))
    return {"states": len(seen), "steps": steps, "depth": deepest, "all": not todo}
