"""Explores all orders of a scene's events over the real machines of three members.

Events are: a member requests a term, ends it or restarts; a message arrives, or never does; time advances by
halves and eighths of a lease, the same for all. Which member requests when is left open, so that nothing
depends on how a candidate is chosen.
"""

import pickle
from collections import deque

from lease_net import ids

from madderbeam.membership.values import Incarnation, MessageReceived, Persist, SendMessage, SetTimer
from madderbeam.shared.lease_messages import TermRejected
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.values import Limit, Need, SiteMembers

LEASE, TOTAL, RATE = 400_000, 90.0, "rate/1"
SETTINGS = LeaseSettings(lease_us=LEASE, drift_ppm=0, slots=1, renewals=4)
MEMBERS = ids(3)
HALF, BIT = ("time", LEASE // 2), ("time", LEASE // 8)
SCENES = {  # how often each move is made; moves and messages come in any order
    "handover": {("end", 0): 1, ("begin", 2): 1, ("renew", 2): 1, HALF: 2},
    "silence": {("renew", 0): 1, ("begin", 2): 1, HALF: 3},
    "two requests": {("begin", 1): 1, ("begin", 2): 1, ("end", 0): 1, HALF: 1},
    "restart": {("end", 0): 1, ("restart", 1): 1, ("begin", 2): 1, ("renew", 0): 1, BIT: 1},
    "one is cut off": {("restart", 1): 1, ("begin", 2): 1, ("renew", 0): 1, BIT: 1},
    "return": {("back", 1): 1, ("renew", 0): 2, BIT: 1, HALF: 1},
}


class ZeroRandom:
    """In place of a Random: it has no state to be copied."""

    def randrange(self, *bounds):
        return 0


class World:
    """Three machines, the messages in transit, and the moves that are left."""

    def __init__(self, scene):
        self.now, self.starts = 10**9, [0, 0, 0]
        self.machines, self.links, self.left = [None] * 3, {}, dict(scene)
        for n in range(3):
            self.start(n, {})

    def start(self, n, records):
        self.starts[n] += 1
        self.machines[n] = Leases(SETTINGS, MEMBERS[n], Incarnation(self.starts[n], 0), ZeroRandom(), records)
        self.hand(n, SiteMembers(MEMBERS))
        self.hand(n, Limit(RATE, TOTAL, TOTAL / 3))
        self.hand(n, Need(RATE, (90.0, 10.0, 90.0)[n]))

    def hand(self, n, event):
        self._do(n, self.machines[n].handle(self.now, event))

    def _do(self, n, actions):
        for action in actions:
            if isinstance(action, SendMessage) and not isinstance(action.message, TermRejected):
                to = MEMBERS.index(action.member)
                self.links[n, to] = (*self.links.get((n, to), ()), action.message)
            elif isinstance(action, SetTimer) and action.token == "lease/joined":
                self.machines[n]._is_join_durable = True
            else:
                assert not isinstance(action, Persist) or action.key == "joined"

    def group(self, n):
        machine = self.machines[n]
        machine.out.now_us = self.now
        return machine.groups[0]

    def flush(self, n):
        """Deliver what a call into a group returned, including the messages of the member to itself."""
        machine = self.machines[n]
        while machine.out.to_self:
            machine._message(machine.own_id, machine.out.to_self.popleft())
        self._do(n, machine.out.take_all())

    # Moves

    def moves(self):
        found = [("deliver", link) for link, messages in self.links.items() if messages]
        return found + [move for move, count in self.left.items() if count and self.may(*move)]

    def may(self, move, n):
        if move not in ("begin", "renew", "end"):
            return True
        return self.machines[n].groups[0].grantor.term.is_active is (move != "begin")

    def play(self, *move):
        if move in self.left:
            self.left[move] -= 1
        getattr(self, f"_{move[0]}")(move[1])

    def _deliver(self, link):
        message, *rest = self.links[link]
        self.links[link] = tuple(rest)
        self.hand(link[1], MessageReceived(MEMBERS[link[0]], message))

    def _begin(self, n):
        self.group(n).grantor.begin()
        self.flush(n)

    def _renew(self, n):
        grantor = self.group(n).grantor
        grantor.divide_all()
        grantor.request()
        self.flush(n)

    def _end(self, n):
        self.group(n).grantor.end()
        self.flush(n)

    def _back(self, n):
        self.group(n).return_leases()
        self.flush(n)

    def _restart(self, n):
        self.links = {link: messages for link, messages in self.links.items() if n not in link}
        self.start(n, {("lease", "joined"): True} if self.machines[n]._is_join_durable else {})

    def _time(self, us):
        self.now += us

    # The invariant, and the state by which worlds are compared

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
        group, holder = machine.groups[0], machine.holder
        term, pools = group.grantor.term, group.grantor.pools
        shares = [sorted((str(m), repr(s)) for m, s in p.shares.items()) for p in pools.values()]
        outstanding = [sorted((str(m), repr(g)) for m, g in p.outstanding.items()) for p in pools.values()]
        voter = group.voter
        return (
            *(
                voter.votes_from_us,
                voter.confirmed,
                voter.confirmed_until_us,
                voter.earlier_grants_until_us,
                term.number,
                term.is_active,
            ),
            *(
                term.last_request,
                term.requested_since_us,
                term.until_us,
                term.earlier_grants_until_us,
                shares,
                outstanding,
            ),
            *(sorted(map(repr, term._requests.items())), sorted(group.grantor._replied.items())),
            *(holder.leases[RATE], holder.followed, sorted(holder._replied_at_us.items())),
            *(sorted(machine.membership.floor_only_from_us.items()), machine._is_join_durable),
        )


def granted(scene):
    """A world in which the first member has granted uneven amounts, in a term that is still valid."""
    world = World(scene)
    world.now += LEASE * 2
    world._begin(0)
    for _ in range(30):
        deliver_all(world)
        world.now += LEASE // 8
        world._renew(0)
    deliver_all(world)
    assert world.group(0).grantor.is_running() and max(world.amounts()) > TOTAL * 0.4
    # the third receives nothing more: its lease and its vote have expired
    if scene is SCENES["one is cut off"]:
        world.now += LEASE // 2
        world._renew(0)
        while messages := [link for link, sent in world.links.items() if sent and 2 not in link]:
            world._deliver(messages[0])
        world.links.clear()
        world.now += LEASE // 2
    return world


def deliver_all(world):
    while any(world.links.values()):
        for link in [link for link, messages in world.links.items() if messages]:
            world._deliver(link)


def explore(world, states=20_000):
    """Breadth-first search until there is no new state, or `states` are seen.

    Returns counts, or raises AssertionError with the shortest path that leads to a sum over the limit.
    """
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
