"""A member's vote on a proposed table, which is validated here and by the host and stored before the vote."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.messages import (
    MAX_REASON_CHARACTERS,
    Document,
    DocumentRequest,
    VoteReply,
    VoteRequest,
    read_slot,
    to_plain,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Slot, Vote
from madderbeam.federation.errors import TableRefused, TableUnfit, WordUnwritten
from madderbeam.federation.table import check_successor, read_table
from madderbeam.federation.values import CheckTable, Table, TableChecked
from madderbeam.membership.values import MemberId


class Participant:
    """Votes on at most one table at a time: that of the latest slot for which a vote was requested."""

    def __init__(
        self,
        outbox: Outbox,
        check_timeout_us: int,
        request_interval_us: int,
        records: Mapping[tuple[str, str], Any],
        base: Table,
    ) -> None:
        """`check_timeout_us`: for the host's check; `request_interval_us`: between document requests."""
        self.outbox, self.check_timeout_us, self.request_interval_us = (
            outbox,
            check_timeout_us,
            request_interval_us,
        )
        self.slot: Slot | None = None
        self.digest = ""
        self.table: Table | None = None
        self.vote: Vote | None = None  # set once it may be sent: a staged table is on disk by then
        self.pending_since_us = 0
        self._requested_us: int | None = None
        self._requester: MemberId | None = None
        self._is_writing = False
        record = records.get(("staged", ""))
        if record is not None and read_slot(record["slot"]).number == base.number + 1:
            self.slot, self.table = read_slot(record["slot"]), read_table(record["document"])
            self.digest, self.vote = self.table.digest, Vote(outbox.local_member.site)

    def staged(self, digest: str) -> Table | None:
        """The table of this digest, if its document is here."""
        return self.table if self.table is not None and self.table.digest == digest else None

    def clear(self) -> None:
        """The slot is closed: remove the staged table."""
        if self.slot is None:
            return
        self.slot, self.digest, self.table, self.vote, self._requester = None, "", None, None, None
        self._is_writing = False
        self.outbox.persist("staged", "", None)

    def on_vote_request(self, member: MemberId, message: VoteRequest, base: Table) -> None:
        """Vote on the table; a repeated request gets the same vote again."""
        slot, digest = message.slot, message.digest
        if (slot, digest) != (self.slot, self.digest):
            if self.slot is not None and slot <= self.slot:
                return
            self.slot, self.digest, self.table, self.vote = slot, digest, None, None
            self.pending_since_us, self._requested_us, self._is_writing = self.outbox.now_us, None, False
        self._requester = member
        if self.vote is not None:
            self.outbox.send(member, VoteReply(slot, digest, self.vote))
        elif self.table is not None:
            return  # the host's check or the write is in progress
        elif message.document is not None:
            self.on_document(Document(slot, message.document), base)
        elif (
            self._requested_us is None or self.outbox.now_us - self._requested_us >= self.request_interval_us
        ):
            self._requested_us = self.outbox.now_us
            self.outbox.send(member, DocumentRequest(slot, digest))

    def on_document(self, message: Document, base: Table) -> None:
        """The document of the table to vote on: validate it, then have the host check it."""
        if message.slot != self.slot or self.table is not None or self.vote is not None:
            return
        try:
            table = read_table(message.document)
        except TableUnfit as error:
            self._reject(TableRefused.code, error.what)
            return
        if table.digest != self.digest:
            return
        self.table = table
        refused = check_successor(table, base)
        if refused is not None:
            self._reject(TableRefused.code, refused.what)
            return
        self.outbox.add(CheckTable(table))
        self.outbox.timer(self.check_timeout_us, f"check/{self.slot}")

    def on_checked(self, event: TableChecked) -> None:
        """The host's reply: reject, or stage the table."""
        is_awaited = self.table is not None and self.vote is None and not self._is_writing
        if not is_awaited or self.table is None or event.proposal != self.table.proposal_id:
            return
        if event.reason:
            self._reject(TableRefused.code, event.reason)
        else:
            self._stage()

    def on_check_due(self, token: str) -> None:
        """The host has not replied in time: reject."""
        if token == f"check/{self.slot}" and self.vote is None and not self._is_writing:
            self._reject(
                TableRefused.code, f"it was not checked within {self.check_timeout_us // 1_000_000} s"
            )

    def _stage(self) -> None:
        assert self.slot is not None
        assert self.table is not None
        self._is_writing = True
        record = {"slot": to_plain(self.slot), "document": self.table.document()}
        self.outbox.persist("staged", "", record)
        self.outbox.timer(0, f"staged/{self.slot}")

    def on_written(self, token: str) -> None:
        """The staged table is on disk: the vote may be sent."""
        if token == f"staged/{self.slot}" and self._is_writing:
            self._is_writing = False
            self._send_vote(Vote(self.outbox.local_member.site))

    def on_write_failed(self) -> None:
        """The staged table could not be written: reject."""
        if self._is_writing:
            self._is_writing = False
            self._reject(WordUnwritten.code, "the disk did not take the table")

    def rearm(self) -> None:
        """A failed write may have dropped the timer: set it again."""
        if self.table is not None and self.vote is None:
            self.outbox.timer(self.check_timeout_us, f"check/{self.slot}")

    def _reject(self, code: str, reason: str) -> None:
        self._send_vote(
            Vote(
                self.outbox.local_member.site,
                code,
                f"{self.outbox.local_member}: {reason}"[:MAX_REASON_CHARACTERS],
            )
        )

    def _send_vote(self, vote: Vote) -> None:
        self.vote = vote
        if self._requester is not None and self.slot is not None:
            self.outbox.send(self._requester, VoteReply(self.slot, self.digest, vote))
