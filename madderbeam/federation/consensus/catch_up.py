"""How a member that missed an agreed table learns of it, and how two first tables that differ are found."""

from __future__ import annotations

from random import Random

from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.messages import AgreedTable, CatchUpRequest, Decided, digest_of
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.errors import TablesDiffer, TableUnfit
from madderbeam.federation.table import NUMBER_MOST, everyone, read
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId

DIFFER_MOST = 64  # members that are told of


class CatchUp:
    """`wanted`: the highest number that is known to be agreed somewhere."""

    def __init__(self, out: Outbox, chance: Random, known: AgreedTables, ask_us: int) -> None:
        self.out, self.chance, self.known, self.ask_us = out, chance, known, ask_us
        self.wanted = 0
        self._asking = False
        self._differ: set[MemberId] = set()

    def latest(self) -> Decided:
        """What this member knows for good."""
        table = self.known.tables[self.known.written]
        return Decided(table.number, table.digest, ())

    def ask(self, member: MemberId, number: int) -> None:
        """`number` is agreed, `member` has heard of it; others are asked if it does not answer."""
        self.wanted = max(self.wanted, number)
        self.out.send(member, CatchUpRequest(self.known.latest.number))
        if not self._asking:
            self._asking = True
            self.out.timer(self.ask_us, "want")

    def on_want_due(self) -> None:
        self._asking = False
        if self.wanted <= self.known.latest.number:
            return
        others = [m for m in everyone(self.known.latest) if m != self.out.me]
        if others:
            self.ask(self.chance.choice(others), self.wanted)

    def rearm(self) -> None:
        if self._asking:
            self.out.timer(self.ask_us, "want")

    def on_want(self, member: MemberId, message: CatchUpRequest) -> None:
        after = message.number
        for table in self.known.since(message.number):
            self.out.send(member, AgreedTable(after, table.document()))
            after = table.number

    def on_decided(self, member: MemberId, message: Decided, staged: Table | None) -> Table | None:
        """The table to adopt, if it is here."""
        latest = self.known.latest
        if message.number > latest.number:
            if staged is not None and message.number == latest.number + 1:
                return staged
            self.ask(member, message.number)
            return None
        mine = self.known.get(message.number)
        if mine is not None and mine.digest != message.digest:
            self.tell_differ(member, message.number, message.digest)
        elif message.number < self.known.written:
            self.out.send(member, self.latest())
        return None

    def on_known(self, message: AgreedTable) -> Table | None:
        """The table to adopt, if it is news and none is left out that could be had."""
        if message.after > self.known.latest.number:
            return None
        try:
            table = read(message.document)
        except TableUnfit as e:
            self.out.note("an agreed table that was sent here cannot be read", e)
            return None
        return table if table.number > self.known.latest.number else None

    def on_rumour(self, owner: MemberId, body: bytes) -> None:
        number, _, digest = body.decode("ascii", "replace").partition(":")
        try:
            digest_of(digest)
            told = int(number)
        except ValueError:
            return
        mine = self.known.get(told)
        if self.known.latest.number < told <= NUMBER_MOST:
            self.ask(owner, told)
        elif mine is not None and mine.digest != digest:
            self.tell_differ(owner, told, digest)

    def tell_differ(self, member: MemberId, number: int, digest: str) -> None:
        """Once a member."""
        mine = self.known.get(number)
        if member in self._differ or len(self._differ) >= DIFFER_MOST:
            return
        self._differ.add(member)
        here = mine.proposal if mine is not None else "another"
        what = f"{member} has table {number}-{digest}, {self.out.me} has {here}"
        self.out.note(f"nothing is agreed on with {member}", TablesDiffer(what))
