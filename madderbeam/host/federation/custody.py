"""Custody at a relay: entries become deliveries by way of admission, whose ends go back to the origin.

Each delivery is a message of this courier's like any other: gates, decision module, journal. Its id says
which publication it is of; its end is told to the custodian in place of a client's feed. What is held here
already is not handed in again: another copy of it, or a client's own message that has come home. That a
client waits for it as well is written down first, so that after a restart its end is told to both.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.host.federation.kept import Kept
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import Incarnation, LinkUp, MemberId, MessageReceived
from madderbeam.relay.custody import Custodian
from madderbeam.relay.derive import delivery_id, delivery_key, held_id
from madderbeam.relay.messages import BODY_MOST, Ends, EndsAck, Entry, Nak
from madderbeam.relay.values import (
    Credit,
    Ended,
    Expand,
    LocalEnded,
    NotTaken,
    Publication,
    Resting,
    Result,
    Settled,
    Taken,
)
from madderbeam.transport.clients import BadRequest, Put

CREDIT_S = 0.2  # how often the room that is left is looked at, and told if it is another
QUIET = 25  # looks in a row that find it the same, and ample, until they are
REST_S = 1.6  # apart; each entry that comes has it looked at
SPARE = 16  # messages for which room is kept beside relayed ones
HOME = "home"  # the kind of record of a message that a client of this courier waits for as well
HOME_US = 100_000  # until a message that has come home is looked at again, where it is not served yet
AGAIN_S = 0.05  # a delivery that admission has no room for is handed in again after this at the earliest
log = logging.getLogger(__name__)


@dataclass
class Expansion:
    """An entry whose deliveries are being handed in."""

    publication: Publication
    open: set[int]  # not answered yet
    taken: set[int] = field(default_factory=set)
    busy: dict[int, int] = field(default_factory=dict)  # refused for now: when to come again, us


class Hand:
    """The answer to one delivery that is handed in."""

    wanted = True

    def __init__(self, custody: Custody, work: Expansion, dest: int) -> None:
        self.custody, self.work, self.dest = custody, work, dest

    def taken(self) -> None:
        self._answered(lambda: self.work.taken.add(self.dest))

    def busy(self, wait_us: int) -> None:
        self._answered(lambda: self.work.busy.update({self.dest: wait_us}))

    def failed(self, why: str = "failed") -> None:
        self._answered(lambda: self.custody.turned_down(self.work, self.dest, why))

    def _answered(self, note: Callable[[], None]) -> None:
        if self.dest in self.work.open:
            self.work.open.discard(self.dest)
            note()
            self.custody.look(self.work)


class Custody:
    """`tell` hands events to the custodian, `streams` to the origin's machine of this same courier."""

    def __init__(
        self,
        host: Host,
        me: MemberId,
        life: Incarnation,
        custodian: Custodian,
        tell: Callable[[Any], None],
        streams: Callable[[Any], None],
        come_home: Callable[[PendingMessage], bool],
        kept: Kept,
    ) -> None:
        """`come_home`: a message of this courier's own is to be served here; False if it can't be now."""
        self.kept = kept
        self.host, self.me, self.custodian, self.tell, self.streams = host, me, custodian, tell, streams
        self.come_home = come_home
        # By id: publications and subscriber. The same delivery may come by two ways, under two names.
        self.deliveries: dict[str, set[tuple[str, int]]] = {}
        self.clients: set[str] = set()  # ids of those that a client of this courier waits for as well
        self.unsettled: dict[tuple[str, int], PendingMessage] = {}  # ended, and that is not kept yet
        self.settling: set[int] = set()  # their numbers
        self.stream, self.seq = life.start << 32 | 1, 0  # of what this courier hands to itself
        self.own: dict[int, Publication] = {}  # by sequence number
        self.told, self.same = Credit(-1, -1), 0
        self.closed = False
        for name, dests, single in custodian.open_records:
            for dest in dests:
                self._owed(held_id(name, dest, single), name, dest)
        marked = [ident for kind, ident in kept.map if kind == HOME]
        self.clients.update(ident for ident in marked if ident in self.deliveries)
        self._unmark([ident for ident in marked if ident not in self.deliveries])

    def open(self) -> None:
        """The journal is restored: say what it still holds of what was in custody."""
        self.tell(LinkUp(self.me))
        for name, dests, single in self.custodian.open_records:
            held = [d for d in dests if held_id(name, d, single) in self.host.journal.numbers_by_id]
            for dest in set(dests) - set(held):
                self._not_owed(held_id(name, dest, single), name, dest)
            self.tell(Resting(name, tuple(held)))
        self._credit()

    def _owed(self, ident: str, name: str, dest: int) -> None:
        self.deliveries.setdefault(ident, set()).add((name, dest))

    def _not_owed(self, ident: str, name: str, dest: int) -> None:
        owed = self.deliveries.get(ident, set())
        owed.discard((name, dest))
        if not owed:
            self.deliveries.pop(ident, None)
            if ident in self.clients:
                self.clients.discard(ident)
                self._unmark([ident])

    def _mark(self, ident: str) -> bool:
        """A client of this courier waits for it as well; False if that can't be written down."""
        try:
            self.kept.write([(HOME, ident, True)])
        except OSError as error:
            log.error("federation: that a client waits for %s is not kept: %s", ident, error)
            return False
        return True

    def _unmark(self, idents: list[str]) -> None:
        """What stays on a disk that takes no more goes with the next start."""
        if idents:
            with contextlib.suppress(OSError):
                self.kept.write((HOME, ident, None) for ident in idents)

    def _credit(self) -> None:
        """A look now and then: each wakes the process, so that there are few where nothing happens."""
        if not self.closed:
            self._look_at_room()
            self.host.schedule(CREDIT_S if self.same < QUIET else REST_S, self._credit)

    def _look_at_room(self) -> None:
        """How much more can be taken on."""
        host, journal = self.host, self.host.journal
        room = max(0, host.settings.max_pending - journal.open_count - len(host.admission.arrived) - SPARE)
        left = max(0, (journal.limit_bytes - journal.files.used_bytes - journal.needed_bytes) // 2)
        now = Credit(room, left)
        self.same = self.same + 1 if now == self.told and room > SPARE and left > BODY_MOST else 0
        if now != self.told:
            self.told = now
            self.tell(now)

    # Entries

    def expand(self, action: Expand) -> None:
        """Hand the deliveries in; each is answered once the journal has it, or at once."""
        if self.same >= QUIET:
            self._look_at_room()
        work = Expansion(action.publication, set(action.dests))
        for dest in action.dests:
            self._hand_in(work, dest)
        self.look(work)

    def _hand_in(self, work: Expansion, dest: int) -> None:
        p, journal = work.publication, self.host.journal
        ident = delivery_id(p, dest)
        if (
            ident in journal.completed_ids and ident not in journal.numbers_by_id
        ):  # it has ended, and that was told
            work.open.discard(dest)
            return
        held = journal.pending.get(journal.numbers_by_id.get(ident, 0))
        if held is not None and ident not in self.deliveries:
            self._held_already(work, dest, held)
            return
        life_ms = max(0, (p.until_us - self.host.clock()) // 1000)
        self._owed(ident, p.name, dest)
        put = Put(
            ident,
            int(p.order) if p.order.isdigit() else 0,
            p.cls,
            p.tenant or None,
            life_ms,
            dest,
            delivery_key(p, dest),
            False,
            p.body,
            relayed=True,
        )
        try:
            self.host.admission.submit(put, Hand(self, work, dest))
        except BadRequest as error:
            work.open.discard(dest)
            self.turned_down(work, dest, str(error))

    def _held_already(self, work: Expansion, dest: int, m: PendingMessage) -> None:
        """A client handed it in at this courier: its end is the client's, and is told to who sent it, too.
        A second message would wait for the first, and that for the second."""
        if m.status:
            work.open.discard(dest)
            ran = Result.FAILED if m.possibly_executed_at else Result.REFUSED
            self.tell(Ended(work.publication.name, dest, ran))
            return
        if not self._mark(m.id) or not self.come_home(m):
            self._unmark([m.id])
            work.open.discard(dest)
            work.busy[dest] = HOME_US
            return
        if not m.is_relayed:  # else it is a delivery whose record the disk did not take before a restart
            self.clients.add(m.id)
        self._owed(m.id, work.publication.name, dest)
        work.open.discard(dest)
        work.taken.add(dest)

    def turned_down(self, work: Expansion, dest: int, why: str) -> None:
        """It will never be taken here."""
        self._not_owed(delivery_id(work.publication, dest), work.publication.name, dest)
        log.warning("federation: %s to %d is turned down: %s", work.publication.name, dest, why)
        self.tell(Ended(work.publication.name, dest, Result.REFUSED))

    def look(self, work: Expansion) -> None:
        """Once all are answered: custody is here, or nothing was taken."""
        if work.open:
            return
        name = work.publication.name
        if not work.busy:
            self.tell(Taken(name, tuple(sorted(work.taken))))
            return
        after_us = max(work.busy.values())
        if not work.taken:
            for dest in work.busy:
                self._not_owed(delivery_id(work.publication, dest), name, dest)
            self.tell(NotTaken(name, after_us, f"{self.me} has no room for it now"))
            return
        # Some are in the journal, and may run: the rest follows them, for as long as there is time.
        busy, work.busy = work.busy, {}
        if self.host.clock() + after_us >= work.publication.until_us:
            for dest in busy:
                self.turned_down(work, dest, "its time is up")
            self.tell(Taken(name, tuple(sorted(work.taken))))
            return
        work.open = set(busy)
        self.host.schedule(max(AGAIN_S, after_us / 1e6), lambda: self._again(work))

    def _again(self, work: Expansion) -> None:
        for dest in sorted(work.open):
            self._hand_in(work, dest)
        self.look(work)

    # Ends

    def ended(self, m: PendingMessage, status: str) -> bool:
        """Teller of ends: whether it is a delivery in custody here."""
        found = self.deliveries.get(m.id)
        if found is None:
            if m.is_relayed:  # its record is gone, or was never written: nobody can be told
                self.host.completions.outcomes_stored([m.number])
            return m.is_relayed
        if not status:
            result = Result.DELIVERED
        else:
            result = Result.REFUSED if status == "deferred" or not m.possibly_executed_at else Result.FAILED
        told_here = m.id in self.clients
        self.settling.add(m.number)
        for name, dest in sorted(found):
            self.unsettled[name, dest] = m
            self.tell(Ended(name, dest, result))
            if self.custodian.kept.get(name) is None:  # nobody waits for it any more
                self.settled(Settled(name, (dest,)))
        return not told_here

    def settled(self, action: Settled) -> None:
        """Their ends are kept: nothing more is owed here once that holds by all ways."""
        over = []
        for dest in action.dests:
            if m := self.unsettled.pop((action.name, dest), None):
                told_here = m.id in self.clients
                self._not_owed(m.id, action.name, dest)
                if m.id not in self.deliveries:
                    self.settling.discard(m.number)
                if not told_here and m.id not in self.deliveries:
                    over.append(m.number)
        if over:
            self.host.completions.outcomes_stored(over)

    # What this courier hands to itself

    def local(self, publication: Publication) -> None:
        """The own site's part of a publication of this courier's."""
        self.seq += 1
        self.own[self.seq] = publication
        now_us = self.host.clock()
        left_us = max(0, publication.until_us - now_us)
        self.tell(MessageReceived(self.me, Entry(self.stream, self.seq, publication, left_us), now_us))

    def to_self(self, message: Any) -> None:
        """A word of the custodian's for its own courier."""
        if isinstance(message, Nak):
            publication = self.own.pop(message.seq, None)
            if publication is not None and self.host.clock() + message.after_us < publication.until_us:
                self.host.schedule(max(AGAIN_S, message.after_us / 1e6), lambda: self.local(publication))
        elif isinstance(message, Ends):
            for row in message.rows:
                if not row.left:
                    self.streams(LocalEnded(row.name, row.delivered, row.ends))
            self.tell(MessageReceived(self.me, EndsAck(message.number)))
        elif (seq := getattr(message, "seq", None)) is not None:
            for done in [n for n in self.own if n <= seq]:
                del self.own[done]

    def close(self) -> None:
        self.closed = True
