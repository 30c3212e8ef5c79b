"""Finds out that a voter's folder is older than what it has said: by its life and its count of votes.

A voter that has started votes only once a majority has written its mark down and knows of none that is newer.
So a folder that was restored from a copy is found out by its start; one that came back within a life (a
machine's snapshot) by its count, as soon as it meets a member that saw the later one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.messages import (
    MarkAnnounced,
    MarkConfirmed,
    Marks,
    RollbackReported,
    life_of,
    marks_of,
    to_plain,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Mark
from madderbeam.federation.errors import FolderOlder
from madderbeam.membership.values import Incarnation, MemberId

REWRITE_US = 1_000_000


def behind(mark: Mark, seen: Mark) -> bool:
    """What a newer folder would not say: `mark` knows less than what was seen."""
    copied = mark.life.start == seen.life.start and mark.life != seen.life
    return mark.life.start < seen.life.start or copied or mark.votes < seen.votes


class RollbackDetector:
    """The marks seen of voters, what is known of one's own, and the greetings."""

    def __init__(self, out: Outbox, life: Incarnation, records: Mapping[tuple[str, str], Any]) -> None:
        self.out, self.life = out, life
        rows = [row for (kind, _), row in records.items() if kind == "seen"]
        self.seen: dict[MemberId, Mark] = dict(marks_of(rows))
        distrusted, over = records.get(("distrusted", "")), records.get(("trusted", ""))
        self.distrusted: Incarnation | None = life_of(distrusted) if distrusted else None
        self.over: Incarnation | None = (
            life_of(over) if over else None
        )  # an operator has taken on what it lost
        if self.over is not None and self.distrusted is not None and self.distrusted.start <= self.over.start:
            self.distrusted = None
        self.greeted: set[MemberId] = set()

    def may_vote(self, voters: tuple[MemberId, ...]) -> bool:
        known = sum(v in self.greeted or v == self.out.me for v in voters)
        return self.distrusted is None and known > len(voters) // 2

    def greet(self, mark: Mark, voters: tuple[MemberId, ...]) -> None:
        for voter in voters:
            if voter not in self.greeted:
                self.greet_one(voter, mark)

    def greet_one(self, voter: MemberId, mark: Mark) -> None:
        if voter != self.out.me:
            self.out.send(voter, MarkAnnounced(mark, self.over))

    def on_greet(self, member: MemberId, message: MarkAnnounced, voters: tuple[MemberId, ...]) -> None:
        if member not in voters:
            return
        seen = self.seen.get(member)
        taken_on = message.over is not None and seen is not None and seen.life.start <= message.over.start
        if seen is not None and behind(message.mark, seen) and not taken_on:
            self.out.send(member, RollbackReported(seen))
            return
        self.seen[member] = message.mark
        self._keep(member)
        self.out.send(member, MarkConfirmed(message.mark))

    def on_greeted(self, member: MemberId, message: MarkConfirmed) -> None:
        if message.mark.life == self.life:
            self.greeted.add(member)

    def note(self, member: MemberId, mark: Mark) -> bool:
        """Whether a voter's mark is not behind what was seen of it; if it is, it is told."""
        seen = self.seen.get(member)
        if seen is not None and behind(mark, seen):
            self.out.send(member, RollbackReported(seen))
            return False
        self.seen[member] = mark
        return True

    def learn(self, marks: Marks, voters: tuple[MemberId, ...]) -> None:
        """Marks that another member saw, kept on disk."""
        for member, mark in marks:
            seen = self.seen.get(member)
            if member in voters and member != self.out.me and (seen is None or not behind(mark, seen)):
                self.seen[member] = mark
                self._keep(member)

    def marks(self, voters: tuple[MemberId, ...]) -> Marks:
        return tuple((m, self.seen[m]) for m in voters if m in self.seen)

    def _keep(self, member: MemberId) -> None:
        """Written anew even where it is the same: an earlier write may have failed."""
        self.out.persist("seen", str(member), to_plain((member, self.seen[member])))

    def forget(self, voters: tuple[MemberId, ...]) -> None:
        """What was seen of members that vote no more."""
        for member in [m for m in self.seen if m not in voters]:
            del self.seen[member]
            self.out.persist("seen", str(member), None)
        self.greeted &= set(voters)

    def on_older(self, member: MemberId, seen: Mark, own: Mark) -> int:
        """Someone saw `seen` of this member. Returns how many votes to count at least."""
        if self.over is not None and seen.life.start <= self.over.start:
            votes = max(own.votes, seen.votes + 1)
            self.out.send(member, MarkAnnounced(Mark(own.life, votes), self.over))  # an operator's word
            return votes
        newer = seen.life.start > own.life.start
        copied = seen.life.start == own.life.start and seen.life != own.life
        if newer or copied or seen.votes > own.votes:
            self.distrust(seen.life, f"by {member} at start {seen.life.start} with {seen.votes} votes")
        return own.votes

    def distrust(self, seen: Incarnation, by: str = "") -> None:
        if self.over is not None and seen.start <= self.over.start:
            return
        first = self.distrusted is None
        if self.distrusted is None or seen.start > self.distrusted.start:
            self.distrusted = seen
        if first:
            by = by or f"by others at start {seen.start}"
            what = f"{self.out.me} is at start {self.life.start}, and was seen {by}"
            self.out.note("this member does not vote", FolderOlder(what))
        self.out.persist("distrusted", "", to_plain(self.distrusted))

    def trust(self) -> None:
        """An operator's word: what the folder has lost is taken on."""
        if self.distrusted is None:
            return
        self.over, self.distrusted = max(self.distrusted, self.life), None
        self.out.persist("trusted", "", to_plain(self.over))
        self.out.persist("distrusted", "", None)
        self.greeted.clear()
        self.out.note("this member votes again, by an operator's word")

    def on_unwritten(self, kind: str) -> None:
        """Trust that was not written does not count; distrust does, and is written again."""
        if kind == "trusted" and self.distrusted is None:
            self.distrusted, self.over = self.over, None
            self.out.note("this member does not vote: the operator's word could not be written down")
        if self.distrusted is not None:
            self.out.timer(REWRITE_US, "distrust")
