"""Detects that a voter's state on disk was rolled back, from its incarnation and its count of recorded votes.

A voter that has started votes only once a majority has written its mark to disk and has seen none that is
newer. So state that was restored from a copy is detected by its start number, and state that was rolled back
within an incarnation (a machine's snapshot) by its count, as soon as the voter meets a member that has seen
the later one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.messages import (
    MarkAnnounced,
    MarkConfirmed,
    Marks,
    RollbackReported,
    read_incarnation,
    read_marks,
    to_plain,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Mark
from madderbeam.federation.errors import FolderOlder
from madderbeam.membership.values import Incarnation, MemberId

REWRITE_DELAY_US = 1_000_000


def is_behind(mark: Mark, seen: Mark) -> bool:
    """Whether `mark` is older than what was seen, or comes from a copy of the state."""
    is_copy = mark.incarnation.start == seen.incarnation.start and mark.incarnation != seen.incarnation
    return (
        mark.incarnation.start < seen.incarnation.start
        or is_copy
        or mark.votes_recorded < seen.votes_recorded
    )


class RollbackDetector:
    """The marks seen of other voters, and whether this member's own state is the latest.

    `distrusted`: the newer incarnation of this member that was seen, if its state was rolled back.
    """

    def __init__(
        self, outbox: Outbox, incarnation: Incarnation, records: Mapping[tuple[str, str], Any]
    ) -> None:
        self.outbox, self.incarnation = outbox, incarnation
        rows = [row for (kind, _), row in records.items() if kind == "seen"]
        self.seen_marks: dict[MemberId, Mark] = dict(read_marks(rows))
        distrusted, accepted_loss = records.get(("distrusted", "")), records.get(("trusted", ""))
        self.distrusted: Incarnation | None = read_incarnation(distrusted) if distrusted else None
        self.accepted_loss: Incarnation | None = (
            read_incarnation(accepted_loss) if accepted_loss else None
        )  # an operator accepted that the state up to this incarnation is lost
        if (
            self.accepted_loss is not None
            and self.distrusted is not None
            and self.distrusted.start <= self.accepted_loss.start
        ):
            self.distrusted = None
        self.confirmed_by: set[MemberId] = set()

    def may_vote(self, voters: tuple[MemberId, ...]) -> bool:
        """Whether a majority of the voters, including this member, has confirmed this member's mark."""
        confirmations = sum(v in self.confirmed_by or v == self.outbox.local_member for v in voters)
        return self.distrusted is None and confirmations > len(voters) // 2

    def announce(self, mark: Mark, voters: tuple[MemberId, ...]) -> None:
        """Announce the own mark to the voters that have not confirmed it."""
        for voter in voters:
            if voter not in self.confirmed_by:
                self.announce_to(voter, mark)

    def announce_to(self, voter: MemberId, mark: Mark) -> None:
        """Announce the own mark to one voter."""
        if voter != self.outbox.local_member:
            self.outbox.send(voter, MarkAnnounced(mark, self.accepted_loss))

    def on_mark_announced(
        self, member: MemberId, message: MarkAnnounced, voters: tuple[MemberId, ...]
    ) -> None:
        """Confirm a voter's mark, or report the rollback unless an operator accepted the loss."""
        if member not in voters:
            return
        seen = self.seen_marks.get(member)
        is_loss_accepted = (
            message.accepted_loss is not None
            and seen is not None
            and seen.incarnation.start <= message.accepted_loss.start
        )
        if seen is not None and is_behind(message.mark, seen) and not is_loss_accepted:
            self.outbox.send(member, RollbackReported(seen))
            return
        self.seen_marks[member] = message.mark
        self._persist(member)
        self.outbox.send(member, MarkConfirmed(message.mark))

    def on_mark_confirmed(self, member: MemberId, message: MarkConfirmed) -> None:
        """A voter has confirmed the mark of this incarnation."""
        if message.mark.incarnation == self.incarnation:
            self.confirmed_by.add(member)

    def observe(self, member: MemberId, mark: Mark) -> bool:
        """Whether a voter's mark is not behind what was seen of it; else the rollback is reported to it."""
        seen = self.seen_marks.get(member)
        if seen is not None and is_behind(mark, seen):
            self.outbox.send(member, RollbackReported(seen))
            return False
        self.seen_marks[member] = mark
        return True

    def learn(self, marks: Marks, voters: tuple[MemberId, ...]) -> None:
        """Store marks that another member has seen, and write them to disk."""
        for member, mark in marks:
            seen = self.seen_marks.get(member)
            if (
                member in voters
                and member != self.outbox.local_member
                and (seen is None or not is_behind(mark, seen))
            ):
                self.seen_marks[member] = mark
                self._persist(member)

    def marks(self, voters: tuple[MemberId, ...]) -> Marks:
        """The marks seen of these voters."""
        return tuple((m, self.seen_marks[m]) for m in voters if m in self.seen_marks)

    def _persist(self, member: MemberId) -> None:
        """Write the mark even if it has not changed: an earlier write may have failed."""
        self.outbox.persist("seen", str(member), to_plain((member, self.seen_marks[member])))

    def forget(self, voters: tuple[MemberId, ...]) -> None:
        """Remove what is stored about members that are no longer voters."""
        for member in [m for m in self.seen_marks if m not in voters]:
            del self.seen_marks[member]
            self.outbox.persist("seen", str(member), None)
        self.confirmed_by &= set(voters)

    def on_rollback_reported(self, member: MemberId, seen: Mark, own: Mark) -> int:
        """Another member saw `seen` of this one. Returns the least number of votes to count as recorded."""
        if self.accepted_loss is not None and seen.incarnation.start <= self.accepted_loss.start:
            votes_recorded = max(own.votes_recorded, seen.votes_recorded + 1)
            # an operator accepted the loss
            self.outbox.send(member, MarkAnnounced(Mark(own.incarnation, votes_recorded), self.accepted_loss))
            return votes_recorded
        is_newer = seen.incarnation.start > own.incarnation.start
        is_copy = seen.incarnation.start == own.incarnation.start and seen.incarnation != own.incarnation
        if is_newer or is_copy or seen.votes_recorded > own.votes_recorded:
            self.distrust(
                seen.incarnation,
                f"by {member} at start {seen.incarnation.start} with {seen.votes_recorded} votes",
            )
        return own.votes_recorded

    def distrust(self, seen: Incarnation, observed: str = "") -> None:
        """Stop voting: this newer incarnation of the member was seen. `observed`: the details for the log."""
        if self.accepted_loss is not None and seen.start <= self.accepted_loss.start:
            return
        is_first = self.distrusted is None
        if self.distrusted is None or seen.start > self.distrusted.start:
            self.distrusted = seen
        if is_first:
            observed = observed or f"by others at start {seen.start}"
            description = (
                f"{self.outbox.local_member} is at start {self.incarnation.start}, and was seen {observed}"
            )
            self.outbox.log("rollback detected; this member stops voting", FolderOlder(description))
        self.outbox.persist("distrusted", "", to_plain(self.distrusted))

    def trust(self) -> None:
        """An operator accepts the loss of what the state on disk lacks."""
        if self.distrusted is None:
            return
        self.accepted_loss, self.distrusted = max(self.distrusted, self.incarnation), None
        self.outbox.persist("trusted", "", to_plain(self.accepted_loss))
        self.outbox.persist("distrusted", "", None)
        self.confirmed_by.clear()
        self.outbox.log("this member votes again: an operator trusted its state")

    def on_write_failed(self, kind: str) -> None:
        """Trust that could not be written is revoked; distrust stays, and is written again."""
        if kind == "trusted" and self.distrusted is None:
            self.distrusted, self.accepted_loss = self.accepted_loss, None
            self.outbox.log("this member stops voting: the operator's trust could not be written to disk")
        if self.distrusted is not None:
            self.outbox.timer(REWRITE_DELAY_US, "distrust")
