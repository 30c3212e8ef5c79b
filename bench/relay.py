"""A notice for 200 subscribers at 5 sites over the links: grouped by site against one message each.

`python bench/relay.py`; frames and msgpack bytes of rows between members, no loss, acks and ends included.
The machines' own time is one process's CPU time, the best of three.
"""

import heapq
import random
import time
from collections import Counter

import msgpack

from madderbeam.membership.values import (
    GossipEntry,
    GossipReceived,
    Incarnation,
    LinkUp,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    SendMessage,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.relay.custody import Custodian
from madderbeam.relay.delivery_reporter import CustodySettings
from madderbeam.relay.grouping import Tables
from madderbeam.relay.messages import to_row
from madderbeam.relay.origin import OriginStreams
from madderbeam.relay.stream_sender import StreamSettings
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    DeliveryCompleted,
    DeliveryIdempotency,
    Expand,
    Publication,
    PublicationCompleted,
    Published,
    Result,
    SubscriptionsChanged,
)

ORIGIN = MemberId("macon", "a")
SITES = ("savannah", "athens", "augusta", "columbus", "albany")


class Play:
    """One origin and one relay a site, with links that carry each message at once and in order. A call takes
    up to `call_us`."""

    def __init__(self, subscribers, call_us=20_000):
        self.rng, self.call_us = random.Random(1), call_us
        self.frames, self.bytes, self.ended, self.now = Counter(), Counter(), 0, 0
        life, wall = Incarnation(1, 1), lambda now: now // 1000
        self.owners = {s * 10_000 + n: site for s, site in enumerate(SITES) for n in range(subscribers)}
        self.origin = OriginStreams(StreamSettings(), ORIGIN, life, wall, {})
        self.machines = {ORIGIN: self.origin}
        self.timers, self.todo, self.order = {}, [], 0
        for site in SITES:
            dests = [d for d, owner in self.owners.items() if owner == site]
            tables = Tables(site, lambda topic, dests=dests: dests)
            tables.put(1, self.owners)
            relay = MemberId(site, "r")
            self.machines[relay] = Custodian(CustodySettings(), relay, life, tables.expand, wall, {})
            self.hand(relay, LinkUp(ORIGIN))
            self.hand(relay, Credit(10**6, 10**9))
            self.hand(ORIGIN, MemberChanged(MemberView(relay, life, 0, State.ALIVE, ("", 0), 0)))
            self.hand(ORIGIN, LinkUp(relay))

    def hand(self, member, event):
        for action in self.machines[member].handle(self.now, event):
            if isinstance(action, SendMessage):
                self.frames[type(action.message).__name__] += 1
                self.bytes[type(action.message).__name__] += len(msgpack.packb(to_row(action.message)))
                self.later(self.now, action.member, MessageReceived(member, action.message))
            elif isinstance(action, SetTimer):
                self.timers[member] = (action.at_us, action.token)
            elif isinstance(action, Expand):
                name = action.publication.name
                self.later(self.now, member, CustodyAccepted(name, action.dests))
                for dest in action.dests:
                    at = self.now + self.rng.randrange(1, self.call_us)
                    self.later(at, member, DeliveryCompleted(name, dest, Result.DELIVERED))
            elif isinstance(action, PublicationCompleted):
                assert action.is_delivered
                self.ended += 1

    def later(self, at, member, event):
        self.order += 1
        heapq.heappush(self.todo, (at, self.order, member, event))

    def run(self, publications, every_us=0):
        for n, (topic, dest, body) in enumerate(publications):
            at = self.now + n * every_us
            publication = Publication(
                f"{n:016x}",
                ORIGIN,
                topic,
                dest,
                "notice",
                DeliveryIdempotency.IDEMPOTENT,
                "acme",
                "",
                "",
                body,
                at + 10_000_000,
                1,
            )
            self.later(at, ORIGIN, Published(publication, SITES if topic else (self.owners[dest],)))
        while self.ended < len(publications):
            member, timer = min(self.timers.items(), key=lambda item: item[1], default=(None, None))
            if self.todo and (timer is None or self.todo[0][0] <= timer[0]):
                at, _, member, event = heapq.heappop(self.todo)
                self.now = max(self.now, at)
                self.hand(member, event)
            else:
                del self.timers[member]
                self.now = max(self.now, timer[0])
                self.hand(member, TimerDue(timer[1]))


def notice(subscribers, size):
    """Frames and bytes of one notice, grouped and one message a subscriber."""
    body = bytes(size)
    grouped, single = Play(subscribers), Play(subscribers)
    grouped.run([("season", -1, body)])
    single.run([("", dest, body) for dest in single.owners])
    return [(sum(p.frames.values()), p.frames["Entry"], sum(p.bytes.values())) for p in (grouped, single)]


def pace(many):
    """Publications a second of CPU, origin and one relay together, entries of one at 1,000 a second."""
    best = None
    for _ in range(3):
        play = Play(1)
        start = time.process_time()
        play.run([("", 0, b"x" * 200)] * many, 1000)
        taken = time.process_time() - start
        best = taken if best is None else min(best, taken)
    return many / best


def flow(many):
    """Frames a notice where they follow each other, 100 a second."""
    play = Play(40)
    play.run([("season", -1, bytes(200))] * many, 10_000)
    return {kind: round(count / many, 2) for kind, count in play.frames.items()}


def filters():
    """What one member tells of 10,000 topics, and how often a filter says yes where it should not."""
    told = Subscriptions(MemberId("savannah", "r"), Incarnation(1, 1))
    rumours = told.handle(0, SubscriptionsChanged({f"season-{n}": (n,) for n in range(10_000)}, 1))
    heard = Subscriptions(ORIGIN, Incarnation(1, 1))
    for r in rumours:
        heard.handle(0, GossipReceived(GossipEntry(told.local_member, r.key, r.version, r.body)))
    false = sum(bool(heard.sites(f"other-{n}")) for n in range(100_000))
    return len(rumours), sum(len(r.body) for r in rumours), false / 100_000


def main():
    print(
        "subscribers  body  grouped: frames entries   bytes  one each: frames entries    bytes  "
        "frames  entries   bytes"
    )
    for subscribers, size in ((40, 200), (40, 2000), (40, 20_000), (2000, 2000)):
        (f1, e1, b1), (f2, e2, b2) = notice(subscribers, size)
        print(
            f"{5 * subscribers:11} {size:5}  {f1:15} {e1:7} {b1:7}  {f2:16} {e2:7} {b2:8}"
            f"  {f2 / f1:5.1f}x  {e2 / e1:6.1f}x {b2 / b1:6.1f}x"
        )
    print("100 notices a second, frames a notice:", flow(200))
    print(f"entries of one through both machines: {pace(2000):,.0f} a second of CPU")
    count, size, false = filters()
    print(f"10,000 topics of a site: {count} rumours, {size} bytes, {100 * false:.2f} % of false yes")


if __name__ == "__main__":
    main()
