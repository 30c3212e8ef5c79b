"""A member's word on a table that is offered: checked here and by the host, kept on disk, then given."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.federation.consensus.messages import (
    WHY_MOST,
    Document,
    DocumentRequest,
    VoteReply,
    VoteRequest,
    slot_of,
    to_plain,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import Slot, Vote
from madderbeam.federation.errors import TableRefused, TableUnfit, WordUnwritten
from madderbeam.federation.table import check, read
from madderbeam.federation.values import CheckTable, Table, TableChecked
from madderbeam.membership.values import MemberId


class Participant:
    """At most one table at a time: that of the slot which was offered last."""

    def __init__(
        self, out: Outbox, check_us: int, ask_us: int, records: Mapping[tuple[str, str], Any], base: Table
    ) -> None:
        """`check_us`: how long the host may take; `ask_us`: between two requests for a document."""
        self.out, self.check_us, self.ask_us = out, check_us, ask_us
        self.slot: Slot | None = None
        self.digest = ""
        self.table: Table | None = None
        self.word: Vote | None = None  # once it may be given: what is staged is on disk then
        self.since_us = 0
        self._asked_us: int | None = None
        self._asker: MemberId | None = None
        self._writing = False
        record = records.get(("staged", ""))
        if record is not None and slot_of(record["slot"]).number == base.number + 1:
            self.slot, self.table = slot_of(record["slot"]), read(record["document"])
            self.digest, self.word = self.table.digest, Vote(out.me.site)

    def staged(self, digest: str) -> Table | None:
        """The table of this digest, if its document is here."""
        return self.table if self.table is not None and self.table.digest == digest else None

    def clear(self) -> None:
        """What was offered is over."""
        if self.slot is None:
            return
        self.slot, self.digest, self.table, self.word, self._asker = None, "", None, None, None
        self._writing = False
        self.out.persist("staged", "", None)

    def on_offer(self, member: MemberId, message: VoteRequest, base: Table) -> None:
        """Offered again, it gives its word again."""
        slot, digest = message.slot, message.digest
        if (slot, digest) != (self.slot, self.digest):
            if self.slot is not None and slot <= self.slot:
                return
            self.slot, self.digest, self.table, self.word = slot, digest, None, None
            self.since_us, self._asked_us, self._writing = self.out.now_us, None, False
        self._asker = member
        if self.word is not None:
            self.out.send(member, VoteReply(slot, digest, self.word))
        elif self.table is not None:
            return  # the host's check or the write is under way
        elif message.document is not None:
            self.on_shown(Document(slot, message.document), base)
        elif self._asked_us is None or self.out.now_us - self._asked_us >= self.ask_us:
            self._asked_us = self.out.now_us
            self.out.send(member, DocumentRequest(slot, digest))

    def on_shown(self, message: Document, base: Table) -> None:
        if message.slot != self.slot or self.table is not None or self.word is not None:
            return
        try:
            table = read(message.document)
        except TableUnfit as e:
            self._down(TableRefused.code, e.what)
            return
        if table.digest != self.digest:
            return
        self.table = table
        refused = check(table, base)
        if refused is not None:
            self._down(TableRefused.code, refused.what)
            return
        self.out.give(CheckTable(table))
        self.out.timer(self.check_us, f"check/{self.slot}")

    def on_checked(self, event: TableChecked) -> None:
        asked = self.table is not None and self.word is None and not self._writing
        if not asked or self.table is None or event.proposal != self.table.proposal:
            return
        if event.why:
            self._down(TableRefused.code, event.why)
        else:
            self._write()

    def on_check_due(self, token: str) -> None:
        """The host has not answered in its time."""
        if token == f"check/{self.slot}" and self.word is None and not self._writing:
            self._down(TableRefused.code, f"it was not checked within {self.check_us // 1_000_000} s")

    def _write(self) -> None:
        assert self.slot is not None
        assert self.table is not None
        self._writing = True
        record = {"slot": to_plain(self.slot), "document": self.table.document()}
        self.out.persist("staged", "", record)
        self.out.timer(0, f"staged/{self.slot}")

    def on_written(self, token: str) -> None:
        if token == f"staged/{self.slot}" and self._writing:
            self._writing = False
            self._say(Vote(self.out.me.site))

    def on_unwritten(self) -> None:
        if self._writing:
            self._writing = False
            self._down(WordUnwritten.code, "the disk did not take the table")

    def rearm(self) -> None:
        if self.table is not None and self.word is None:
            self.out.timer(self.check_us, f"check/{self.slot}")

    def _down(self, code: str, why: str) -> None:
        self._say(Vote(self.out.me.site, code, f"{self.out.me}: {why}"[:WHY_MOST]))

    def _say(self, word: Vote) -> None:
        self.word = word
        if self._asker is not None and self.slot is not None:
            self.out.send(self._asker, VoteReply(self.slot, self.digest, word))
