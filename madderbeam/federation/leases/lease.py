"""Leases: a member serves while voters renew it; they vouch for its end (Gray and Cheriton, 1989).

The member counts a lease from before it asked, a voter from after it answered and for longer by the drift of
two clocks. What a voter vouches for is on disk first, so that it also holds after the voter's restart; and
since nobody knows what a voter renewed before its start, one that has started waits a whole lease before it
vouches.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.federation.switchover.ledger import named
from madderbeam.federation.switchover.messages import LeaseEndRequest, LeaseReply, LeaseRequest
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.table import MEMBERS_MOST
from madderbeam.membership.values import MemberId

ASKS_MOST = 4  # questions whose answers still count
RENEWALS = 4  # in the span of a lease


def majority(voters: tuple[MemberId, ...], of: Iterable[MemberId]) -> bool:
    """More than half of the voters are among them (never so without voters)."""
    return sum(v in voters for v in set(of)) > len(voters) // 2


class LeaseHolder:
    """The lease of this member: it runs until `until_us`."""

    def __init__(self, settings: SwitchoverSettings) -> None:
        self.settings = settings
        self.until_us = 0
        self._asks: dict[int, tuple[int, set[MemberId]]] = {}

    def runs(self, now_us: int) -> bool:
        return not self.settings.lease_us or now_us < self.until_us

    def asked(self, now_us: int, ask: int) -> None:
        """Counted from now, whenever the answers come."""
        self._asks[ask] = (now_us, set())
        while len(self._asks) > ASKS_MOST:
            del self._asks[next(iter(self._asks))]

    def answered(self, member: MemberId, message: LeaseReply, voters: tuple[MemberId, ...]) -> None:
        if not message.granted or message.ask not in self._asks:
            return
        asked_us, granted = self._asks[message.ask]
        granted.add(member)
        if majority(voters, granted):
            self.until_us = max(self.until_us, asked_us + self.settings.lease_us)

    def drop(self) -> None:
        """It was paused, or other voters count from now on."""
        self.until_us = 0
        self._asks.clear()


class LeaseGrantor:
    """What this member said to others as a voter. `refused`: the table below which a member is not renewed,
    because its lease was vouched to be over. `leased`: the span of the leases that a member serves by; both
    are on disk."""

    def __init__(self, settings: SwitchoverSettings, records: Mapping[tuple[str, str], Any]) -> None:
        self.settings = settings
        self.refused: dict[MemberId, int] = {}
        self.leased: dict[MemberId, int] = {}
        for (kind, _), value in records.items():
            if kind == "vouch":
                site, name, number = value
                self.refused[MemberId(site, name)] = number
            elif kind == "leased":
                site, name, lease_us = value
                self.leased[MemberId(site, name)] = lease_us
        self.renewed: dict[MemberId, int] = {}  # when last
        self.ready_us = 0

    def start(self, now_us: int, before_us: int) -> None:
        """`before_us`: a lease's longest span, as it was set until now: what was said then may still run."""
        self.ready_us = now_us + max(self.settings.lease_over_us, before_us)

    def renew(
        self, now_us: int, member: MemberId, message: LeaseRequest, book: OwnershipRegistry, votes: bool
    ) -> LeaseReply:
        why = ""
        if not votes:
            why = "this member takes no part in votes"
        elif message.lease_us > self.settings.lease_us:
            why = f"lease_us is {message.lease_us}; allowed: at most {self.settings.lease_us}"
        elif not named(book.table, member) or book.words.get(member, 0) >= book.table.number:
            why = f"table {book.table.number} does not name it"
        elif message.number < self.refused.get(member, 0):
            why = f"it was vouched for that its lease by a table below {self.refused[member]} is over"
        else:
            self.renewed[member] = now_us
        return LeaseReply(message.ask, not why, book.table.number, why)

    def vouches(self, now_us: int, member: MemberId, votes: bool) -> bool:
        """Nothing that this voter said lets the member serve still, and the member does serve by leases."""
        leased = 0 < self.leased.get(member, 0) <= self.settings.lease_us
        last_us = self.renewed.get(member)
        over = last_us is None or now_us >= last_us + self.settings.lease_over_us
        return votes and leased and over and now_us >= self.ready_us

    def refuse(self, member: MemberId, number: int) -> bool:
        """From now on; False if there is no room to remember it."""
        if member not in self.refused and len(self.refused) >= MEMBERS_MOST:
            return False
        self.refused[member] = max(number, self.refused.get(member, 0))
        return True

    def forget(self, now_us: int, book: OwnershipRegistry) -> list[tuple[str, MemberId]]:
        """What was vouched for binds until the member has that table in force, also if it is not named for
        a while; what was renewed counts until it is over."""
        owing = {m for owed in book.ledger.debts.values() for m in owed}
        stands = book.standings
        gone = [("vouch", m) for m, n in self.refused.items() if m in stands and stands[m].number >= n]
        gone += [("leased", m) for m in self.leased if not named(book.table, m) and m not in owing]
        for kind, member in gone:
            del (self.refused if kind == "vouch" else self.leased)[member]
        over_us = now_us - self.settings.lease_over_us
        self.renewed = {m: at for m, at in self.renewed.items() if at > over_us or named(book.table, m)}
        return gone


class LeaseEnds:
    """Voters' words on the ends of leases of members that have not released what this member waits for."""

    def __init__(self, settings: SwitchoverSettings) -> None:
        self.settings = settings
        self.words: dict[MemberId, dict[MemberId, int]] = {}
        self.off_us: dict[MemberId, int] = {}  # since when a voter is known to be off

    def asks(self, book: OwnershipRegistry) -> dict[MemberId, LeaseEndRequest]:
        """By voter, what it is to be asked."""
        owed: dict[MemberId, int] = {}
        for _, member, number in book.gains_missing():
            owed[member] = max(number, owed.get(member, 0))
        asks: dict[MemberId, list[tuple[MemberId, int]]] = {}
        for member, number in sorted(owed.items())[:MEMBERS_MOST]:
            for voter in {v for council in self._councils(member, book) for v in council}:
                if self.words.get(member, {}).get(voter, 0) < number:
                    asks.setdefault(voter, []).append((member, number))
        return {voter: LeaseEndRequest(tuple(members)) for voter, members in sorted(asks.items())}

    def vouched(self, voter: MemberId, member: MemberId, number: int, book: OwnershipRegistry) -> None:
        if any(member in owed for owed in book.ledger.debts.values()):
            words = self.words.setdefault(member, {})
            words[voter] = max(number, words.get(voter, 0))

    def ended(self, now_us: int, member: MemberId, number: int, book: OwnershipRegistry) -> bool:
        """By no table that it may have in force can the member still hold a lease to serve by one below
        `number`."""
        words = self.words.get(member, {})
        sure = {v for v, n in words.items() if n >= number}
        sure |= {v for v, at in self.off_us.items() if now_us >= at + self.settings.lease_over_us}
        return all(majority(council, sure) for council in self._councils(member, book))

    def called_off(self, now_us: int, member: MemberId) -> None:
        """A voter that is off renews nothing any more."""
        self.off_us.setdefault(member, now_us)

    def forget(self, book: OwnershipRegistry) -> None:
        owing = {m for owed in book.ledger.debts.values() for m in owed}
        self.words = {m: words for m, words in self.words.items() if m in owing}
        voting = {v for _, council in book.ledger.councils for v in council}
        self.off_us = {m: at for m, at in self.off_us.items() if m in voting}

    def _councils(self, member: MemberId, book: OwnershipRegistry) -> list[tuple[MemberId, ...]]:
        """The sets of voters of all tables that the member may have in force."""
        standing = book.standings.get(member)
        low = standing.number if standing is not None else 0
        councils = book.ledger.councils
        firsts = [first for first, _ in councils[1:]]
        return [v for (_, v), end in zip(councils, [*firsts, 2**62], strict=True) if end > low]
