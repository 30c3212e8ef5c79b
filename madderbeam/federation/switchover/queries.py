"""Asks what is in force elsewhere and takes in the answers; answers others the same."""

from __future__ import annotations

from madderbeam.federation.errors import TablesDiffer
from madderbeam.federation.switchover import messages as q
from madderbeam.federation.switchover.activation import TableActivation
from madderbeam.federation.switchover.inquiry import ConsensusView, InForceInquiry
from madderbeam.federation.switchover.ledger import everyone
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_learning import ReleaseLearning
from madderbeam.federation.switchover.replies import answer, paid_there
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import FinishProposal
from madderbeam.membership import values as v

FACT_ASK = 0  # of a question that is asked for the facts alone


class InForceQueries:
    """Joins the inquiry with what its answers bring: tables, releases, words."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        book: OwnershipRegistry,
        out: ActionBuffer,
        adoption: TableActivation,
        learning: ReleaseLearning,
        inquiry: InForceInquiry,
        council: ConsensusView,
    ) -> None:
        self.settings, self.me, self.book, self.out = settings, book.me, book, out
        self.adoption, self.learning, self.inquiry, self.council = adoption, learning, inquiry, council
        self._caught_up_us = 0

    def shared(self) -> bool:
        """Another site could serve something."""
        return len(self.book.table.sites) > 1

    def behind(self) -> None:
        """A newer table is in force somewhere: if agreement does not bring it, it is asked for."""
        if not self.inquiry.asking:
            self.inquiry.begin(self.out.now_us, False)
            self.inquiry.next_us = self.out.now_us + self.settings.ask_us
            self.out.timer(self.inquiry.next_us, "turn")

    def advance(self) -> None:
        if not self.adoption.advance():
            self.behind()

    def answer(self, asked: q.InForceQuery) -> q.InForceReply:
        adoption = self.adoption
        return answer(self.out.now_us, asked, self.book, adoption.agreed, self.council, adoption.fresh)

    def told(self, member: v.MemberId, message: q.InForceReply) -> None:
        if member not in everyone(self.book.table) and member not in self.book.table.voters:
            return
        for gone, number in message.off:
            self.learning.off(gone, number, mine=False)
        self.adoption.told(message)
        for release in message.releases:
            self.learning.release(release, "told")
        for release in paid_there(message, self.book):
            self.learning.release(release, "told")
        self.advance()
        self.inquiry.answered(member, message, self.book.table)

    def ask(self, members: list[v.MemberId]) -> None:
        question = self.inquiry.question(self.book.ledger.number, self.adoption.fresh)
        for member in members:
            if member == self.me:
                if self.council.may_vote():
                    self.told(self.me, self.answer(question))
            else:
                self.out.do(v.SendMessage(member, question))

    def conclude(self) -> None:
        """The inquiry ends once a majority has told, and nothing is under way."""
        inquiry, table = self.inquiry, self.book.table
        if not inquiry.asking or self.adoption.candidate is not None or not inquiry.told(table):
            return
        differing = inquiry.differing(self.book)
        if differing:
            for member in differing:
                del inquiry.answers[member]
            what = f"{', '.join(map(str, differing))} have another table {table.number} than the one here"
            self.out.do(v.LogLine(what, TablesDiffer(what)))
            return
        if self.adoption.fresh:
            self.adoption.put(self.book.ledger, False)
            return
        pending, newer = inquiry.pending(), inquiry.newest > table.number
        if not newer:
            inquiry.held, inquiry.holding = inquiry.would_lose(pending, table), False
            if not inquiry.held:
                inquiry.done()
                return
        for p in pending:
            self.out.do(FinishProposal(p.proposal))
        inquiry.round(self.out.now_us)  # and asked again, until it is in force, agreed or over
        inquiry.next_us += self.settings.ask_us

    def catch_up(self) -> None:
        """What no rumour brought is asked of the voters and of those that owe it."""
        now_us = self.out.now_us
        if now_us - self._caught_up_us < self.settings.catch_up_us:
            return
        self._caught_up_us = now_us
        owing = {m for _, m, _ in self.book.all_missing()}
        for member in sorted(owing | set(self.book.table.voters)):
            if member != self.me:
                self.out.do(v.SendMessage(member, q.InForceQuery(FACT_ASK, self.book.ledger.number)))
