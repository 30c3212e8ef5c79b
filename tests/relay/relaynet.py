"""A virtual network of couriers that consist of the relay's state machines, a disk and a journal."""

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import replace

import msgpack

from madderbeam.membership.values import (
    Incarnation,
    LinkDown,
    LinkUp,
    MemberChanged,
    MemberId,
    MemberView,
    MessageReceived,
    Persist,
    SendMessage,
    SetDraining,
    SetTimer,
    State,
    TimerDue,
    WriteFailed,
)
from madderbeam.relay import custody, delivery_ids, origin
from madderbeam.relay.delivery_reporter import CustodySettings
from madderbeam.relay.grouping import Tables, group
from madderbeam.relay.messages import Ack, Entry, Nak, ReportBatch, from_row, to_row
from madderbeam.relay.stream_sender import StreamSettings
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    CustodyRejected,
    DeliveryCompleted,
    DeliveryIdempotency,
    Expand,
    OutcomesPersisted,
    Publication,
    PublicationCompleted,
    PublicationWithdrawn,
    Published,
    RestoredDeliveries,
    Result,
    SiteCompleted,
)

MS, S = 1_000, 1_000_000
EPOCH_MS = 10**9
DETECTED = 800 * MS  # from a process's end until all members know of it


class Killed(Exception):
    """The process was killed in the middle of an event."""


class Net:
    """Virtual time, links and partners; `wrong` collects violations of the invariants."""

    def __init__(self, seed, sites, subscribers, delay=5 * MS, **more):
        self.now, self.order, self.queue = 0, 0, []
        self.rng = random.Random(seed)
        self.delay, self.more = delay, more
        self.wrong, self.calls, self.frames = [], defaultdict(list), Counter()
        self.pubs = {}  # name -> publication, its deadline by virtual time
        self.ends = defaultdict(list)  # name -> [(time, end)]
        self.refused = 0
        self.owners = {1: {d: site for site, dests in subscribers.items() for d in dests}}
        self.subscribers = subscribers  # site -> destinations, all of one topic
        self.links = {}  # (a, b) -> epoch
        self.cut = set()
        self.nodes = {
            m: Node(self, m)
            for site, names in sites.items()
            for m in (MemberId(site, name) for name in names)
        }
        for node in self.nodes.values():
            node.start()

    def at(self, after, action, *args):
        self.order += 1
        heapq.heappush(self.queue, (self.now + max(0, after), self.order, action, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.queue)
            owner = getattr(action, "__self__", None)
            lasting = action.__name__ in ("kill", "start", "pause")
            if isinstance(owner, Node) and owner.paused_us > self.now and not lasting:
                self.at(owner.paused_us - self.now, action, *args)  # handled when the process resumes
            else:
                action(*args)
        self.now = until

    def node(self, name):
        return next(n for n in self.nodes.values() if n.id.name == name)

    def fail(self, text):
        self.wrong.append(f"{self.now / S:.3f} s: {text}")

    # Links

    def join(self, a, b):
        """Connects two members if both are up and not partitioned."""
        pair = frozenset((a.id, b.id))
        if not (a.up and b.up) or pair in self.cut or pair in self.links:
            return
        self.links[pair] = self.order
        for one, other in ((a, b), (b, a)):
            one.handle(MemberChanged(other.view()))
            one.handle(LinkUp(other.id, 2 * self.delay))

    def part(self, a, b):
        if self.links.pop(frozenset((a.id, b.id)), None) is not None:
            for one, other in ((a, b), (b, a)):
                if one.up:
                    one.handle(LinkDown(other.id))

    def flap(self, a, b, down):
        pair = frozenset((a.id, b.id))
        self.cut.add(pair)
        self.part(a, b)
        self.at(down, self.heal, a, b)

    def heal(self, a, b):
        self.cut.discard(frozenset((a.id, b.id)))
        self.join(a, b)

    def send(self, sender, member, message):
        pair = frozenset((sender.id, member))
        if pair not in self.links:
            return
        self.frames[type(message).__name__] += 1
        row = msgpack.packb(to_row(message))
        # The mesh bounds it so: the reply to a ping was in transit for as long as any frame.
        said = self.now - self.delay
        self.at(self.delay, self.arrive, self.links[pair], sender.id, member, row, said)

    def arrive(self, epoch, source, member, row, said):
        if self.links.get(frozenset((source, member))) == epoch:
            self.at(0, self.nodes[member].received, source, from_row(msgpack.unpackb(row)), epoch, said)

    def tell(self, node, state, false=False):
        """Membership reports the member's state to all others; `false`: although it is wrong."""
        for other in self.nodes.values():
            if other is not node and other.up and (false or node.up == (state is not State.DEAD)):
                other.handle(MemberChanged(replace(node.view(), state=state)))


class Node:
    """A courier: `records`, `journal` and `pubs` are on its disk, all else is lost with the process."""

    def __init__(self, net, ident):
        self.net, self.id, self.up, self.lives = net, ident, False, 0
        self.records, self.journal, self.index, self.pubs = {}, {}, {}, {}
        self.draining, self.fuse, self.bad_disk, self.writes = False, None, 0, 0
        self.paused_us = 0  # the process is stopped until then
        self.own_part = False  # its publications go to the local site as well
        self.unwritable = frozenset()  # numbers of the writes that fail
        self.credit = Credit(1000, 10**8)
        self.turns_away = 0.0
        self.speed = net.more.get("speed", 40 * MS)  # the longest duration of a call
        self.fares = 1 if net.more.get("well") else 0.9  # fraction of the calls that succeed

    def view(self):
        return MemberView(self.id, Incarnation(self.lives, 0), 0, State.ALIVE, ("", 0), 0, self.draining)

    def clock(self):
        return self.net.now + self.offset

    def start(self):
        net = self.net
        self.paused_us = 0
        self.up, self.lives, self.fuse, self.draining = True, self.lives + 1, None, False
        self.offset = net.rng.randrange(10**9)
        self.timers = {}
        self.inbox = {}  # (origin, stream, seq) -> name
        life, offset = Incarnation(self.lives, 0), self.offset

        def wall_ms(now_us):
            return EPOCH_MS + (now_us - offset) // 1000

        self.tables = Tables(self.id.site, lambda topic: net.subscribers[self.id.site])
        for number in sorted(net.owners):
            self.tables.put(number, net.owners[number])
        kept = {key: value for key, value in self.records.items()}
        self.custodian = custody.Custodian(
            net.more.get("custody", CustodySettings()), self.id, life, self.tables.expand, wall_ms, kept
        )
        self.streams = origin.OriginStreams(
            net.more.get("streams", StreamSettings()), self.id, life, wall_ms, kept
        )
        for name, dests, single in self.custodian.open_records:
            ids = {d: delivery_ids.recorded_delivery_id(name, d, single) for d in dests}
            self.handle(
                RestoredDeliveries(name, tuple(d for d in dests if self.journal.get(ids[d], {}).get("held")))
            )
        self.handle(self.credit)
        for ident, entry in list(self.journal.items()):
            if entry["held"]:
                self.again(ident, entry)
        for publication, sites in list(self.pubs.values()):
            here = replace(publication, deadline_us=publication.deadline_us + self.offset)
            self.handle(Published(here, sites))
        for other in net.nodes.values():
            if other is not self:
                net.at(20 * MS, net.join, self, other)

    def kill(self, back=None):
        """Kills the process; with `back` it restarts after that time with its disk."""
        if not self.up:
            return
        self.up = False
        for other in self.net.nodes.values():
            self.net.part(self, other)
        self.net.at(DETECTED, self.net.tell, self, State.DEAD)
        if back is not None:
            self.net.at(back, self.start)

    def handle(self, event):
        """Passes an event to both machines and performs their actions, in order."""
        if not self.up:
            return
        if self.paused_us > self.net.now:
            self.net.at(self.paused_us - self.net.now, self.handle, event)
            return
        life = self.lives
        for machine in (self.streams, self.custodian):
            if self.up and self.lives == life:
                self.carry(machine, machine.handle(self.clock(), event))

    def carry(self, machine, actions):
        life = self.lives
        for action in actions:
            if self.fuse is not None:
                self.fuse -= 1
                if self.fuse <= 0:
                    self.kill(self.net.rng.choice((100 * MS, 500 * MS, 2 * S, 5 * S)))
            if not self.up or self.lives != life:
                return
            if isinstance(action, Persist) and not self.write(action):
                self.carry(machine, machine.handle(self.clock(), WriteFailed(action.kind, action.key)))
                return
            self.do(machine, action)

    def write(self, action):
        self.writes += 1
        if self.writes in self.unwritable or self.net.rng.random() < self.bad_disk:
            return False
        if action.value is None:
            self.records.pop((action.kind, action.key), None)
        else:
            self.records[action.kind, action.key] = msgpack.unpackb(msgpack.packb(action.value))
        return True

    def do(self, machine, action):
        net = self.net
        if isinstance(action, SetTimer):
            self.timers[action.token] = action.at_us  # a later time replaces it
            net.at(action.at_us - self.clock(), self.due, machine, self.lives, action.token, action.at_us)
        elif isinstance(action, SendMessage):
            self.check_ack(action)
            self.check_word(action.member, action.message)
            net.send(self, action.member, action.message)
        elif isinstance(action, Expand):
            net.at(net.rng.randrange(1, 4 * MS), self.expand, self.lives, action)
        elif isinstance(action, OutcomesPersisted):
            for dest in action.dests:
                ident = self.index.get((action.name, dest), "")
                if ident in self.journal:
                    self.journal[ident]["held"] = False
                    if net.more.get("compacts"):
                        del self.journal[ident]
        elif isinstance(action, PublicationCompleted):
            net.ends[action.name].append((net.now, action))
            self.pubs.pop(action.name, None)
        elif isinstance(action, SiteCompleted):
            net.frames["SiteCompleted"] += 1

    def due(self, machine, life, token, at_us):
        if self.up and self.lives == life and self.timers.get(token) == at_us:
            del self.timers[token]
            self.carry(machine, machine.handle(self.clock(), TimerDue(token)))

    def received(self, source, message, epoch, said):
        if self.net.links.get(frozenset((source, self.id))) != epoch:
            return
        if isinstance(message, Entry):
            self.inbox[source, message.stream, message.seq] = message.publication.name
        elif isinstance(message, Ack | Nak) and message.stream != getattr(
            self.streams.sender.links.get(source), "number", 0
        ):
            self.net.frames["stale"] += 1
        self.handle(MessageReceived(source, message, said + self.offset))

    def check_ack(self, action):
        """Fails the run if an ack covers what is not on disk."""
        message = action.message
        if isinstance(message, Nak):
            self.inbox.pop((action.member, message.stream, message.seq), None)
        if not isinstance(message, Ack):
            return
        for seq in range(1, message.seq + 1):
            name = self.inbox.pop((action.member, message.stream, seq), None)
            if name is None:
                continue
            if ("custody", name) not in self.records:
                self.net.fail(f"{self.id} acked {name} with no record")
                continue
            pending = self.records["custody", name]["pending"]
            if not all(self.index.get((name, dest)) in self.journal for dest in pending):
                self.net.fail(f"{self.id} acked {name}, which is not in its journal")

    def check_word(self, member, message):
        """Fails the run if a non-idempotent entry or reported outcomes are sent before their record is on
        disk."""
        if (
            isinstance(message, Entry)
            and message.publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT
        ):
            kept = self.records.get(("sent", f"{message.publication.name}|{member.site}"))
            if kept is None or tuple(kept[:2]) != (member.site, member.name):
                self.net.fail(f"{self.id} sent unsafe {message.publication.name} with no record")
        for row in message.reports if isinstance(message, ReportBatch) else ():
            kept = self.records.get(("custody", row.name))
            if kept is None or len(kept["pending"]) > row.pending:
                self.net.fail(f"{self.id} told ends of {row.name} that are not on disk")

    # The relay's journal and calls

    def expand(self, life, action):
        if not self.up or self.lives != life:
            return
        publication, net = action.publication, self.net
        true = net.pubs[publication.name]
        if publication.deadline_us - self.offset > true.deadline_us:
            net.fail(f"{publication.name} has more time at {self.id} than at its origin")
        if net.rng.random() < self.turns_away:
            self.handle(CustodyRejected(publication.name, 100 * MS, "full"))
            return
        over = []
        for dest in action.dests:
            ident = delivery_ids.delivery_id(publication, dest)
            key = delivery_ids.delivery_key(publication, dest)
            entry = self.journal.get(ident)
            if entry is None:
                self.index[publication.name, dest] = ident
                self.journal[ident] = {
                    "name": publication.name,
                    "dest": dest,
                    "key": key,
                    "held": True,
                    "tried": False,
                    "effect": publication.idempotency,
                    "result": None,
                }
                net.at(net.rng.randrange(1, self.speed), self.call, self.lives, ident)
            elif not entry["held"]:
                over.append((dest, entry["result"]))
        if self.fuse is not None:
            self.fuse -= 1
            if self.fuse <= 0:
                self.kill(net.rng.choice((100 * MS, 500 * MS, 2 * S)))
        for dest, result in over:
            self.handle(DeliveryCompleted(publication.name, dest, result))
        self.handle(CustodyAccepted(publication.name, action.dests))

    def again(self, ident, entry):
        """After a start: a non-idempotent delivery that was attempted was possibly executed."""
        if entry["result"] is not None or (
            entry["tried"] and entry["effect"] is DeliveryIdempotency.NON_IDEMPOTENT
        ):
            entry["result"] = entry["result"] if entry["result"] is not None else Result.FAILED
            self.handle(DeliveryCompleted(entry["name"], entry["dest"], entry["result"]))
        else:
            self.net.at(self.net.rng.randrange(1, self.speed), self.call, self.lives, ident)

    def call(self, life, ident):
        entry = self.journal.get(ident)
        if not self.up or self.lives != life or not entry or not entry["held"] or entry["result"] is not None:
            return
        entry["tried"] = True
        result = Result.DELIVERED if self.net.rng.random() < self.fares else Result.FAILED
        call = (self.net.now, self.id, ident, entry["key"], result)
        self.net.calls[entry["name"], entry["dest"]].append(call)
        self.net.at(self.net.rng.randrange(1, 3 * MS), self.ended, life, ident, result)

    def ended(self, life, ident, result):
        entry = self.journal.get(ident)
        if self.up and self.lives == life and entry is not None:
            entry["result"] = result
            self.handle(DeliveryCompleted(entry["name"], entry["dest"], result))

    # The origin

    def publish(
        self,
        ident,
        effect=DeliveryIdempotency.IDEMPOTENT,
        lasts=20 * S,
        dest=-1,
        order="",
        body=b"x" * 100,
        key="",
    ):
        """Publishes; returns the publication's name, or None if it is rejected."""
        if not self.up:
            return None
        net, table = self.net, max(self.net.owners)
        topic = "" if dest >= 0 else "season"
        publication = Publication(
            ident, self.id, topic, dest, "notice", effect, "acme", key, order, body, net.now + lasts, table
        )
        sites = [site for site, dests in net.subscribers.items() if dests]
        found = group(
            publication, self.id.site, net.owners[table], lambda t: net.subscribers[self.id.site], sites
        )
        after = self.streams.retry_after_us(found.sites, len(body))
        if after is not None:
            net.refused += 1
            return None
        net.pubs[publication.name] = publication
        parts = (*found.sites, *([self.id.site] if self.own_part else []))
        self.pubs[publication.name] = (publication, parts)
        self.handle(Published(replace(publication, deadline_us=self.clock() + lasts), parts))
        return publication.name

    def withdraw(self, name):
        self.pubs.pop(name, None)
        self.handle(PublicationWithdrawn(name))

    def pause(self, span):
        """As SIGSTOP and SIGCONT: the others declare it dead, its links stay."""
        if self.paused_us > self.net.now:
            return
        self.paused_us = self.net.now + span
        if span > DETECTED:
            self.net.at(DETECTED, self.net.tell, self, State.DEAD, True)
        self.net.at(span + 20 * MS, self.net.tell, self, State.ALIVE)

    def drain(self):
        self.draining = True
        self.handle(SetDraining(True))
        self.net.at(50 * MS, self.net.tell, self, State.ALIVE)


def judge(net, arrive=True):
    """Checks the invariants at the end and returns the list of violations."""
    for name, publication in net.pubs.items():
        remote = [d for s, dests in net.subscribers.items() if s != publication.origin.site for d in dests]
        dests = [publication.dest] if publication.dest >= 0 else remote
        ends = net.ends[name]
        if len(ends) != 1:
            net.fail(f"{name} has {len(ends)} ends")
        elif ends[0][0] > publication.deadline_us + 6 * S or (
            ends[0][0] > publication.deadline_us + 50 * MS
            and net.nodes[publication.origin].lives == 1
            and not net.more.get("pauses")
        ):
            net.fail(f"{name} ended {(ends[0][0] - publication.deadline_us) / S} s late")
        for dest in dests:
            calls = net.calls[name, dest]
            if len({call[2] for call in calls}) > 1 or len({call[3] for call in calls}) > 1:
                net.fail(f"{name} to {dest} went under several ids or keys")
            if publication.idempotency is DeliveryIdempotency.NON_IDEMPOTENT and len(calls) > 1:
                net.fail(f"unsafe {name} to {dest} was called {len(calls)} times")
            if publication.idempotency is not DeliveryIdempotency.NON_IDEMPOTENT and not calls and arrive:
                net.fail(f"{name} to {dest} never came")
            known = net.more.get("well") and publication.idempotency is DeliveryIdempotency.IDEMPOTENT
            if known and ends and not ends[0][1].is_delivered:
                net.fail(f"{name} was not told as delivered, but {ends[0][1].failures}")
            if ends and ends[0][1].is_delivered and not any(c[4] is Result.DELIVERED for c in calls):
                net.fail(f"{name} is told as delivered, {dest} did not get it")
    for node in net.nodes.values():
        if node.up:
            empty(net, node)
    return net.wrong


def empty(net, node):
    """Fails the run if state of completed publications is left."""
    sending = node.streams.sender
    left = {
        "publications": len(node.streams.pending),
        "entries": sending.entries,
        "bytes": sending.bytes,
        "legs": sum(
            len(s.deliveries) + len(s.queue) + len(s.pinned) + len(s.orders) for s in sending.sites.values()
        ),
        "custody": len(node.custodian.store.records),
        "batches": len(node.custodian.reporter.batches),
        "alarms": len(node.streams.actions.timers.at) + len(node.custodian.actions.timers.at),
        "records": len(node.records) if not node.net.more.get("disk") else 0,
    }
    if any(left.values()):
        net.fail(f"{node.id} still has { ({k: v for k, v in left.items() if v}) }")
