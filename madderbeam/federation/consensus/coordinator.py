"""Brings one slot to its end by a ballot of its own: claim, words of the sites, decision.

Source: Gray and Lamport, "Consensus on Transaction Commit" (2006), section 4: one Paxos instance a site. Here
whoever drives the slot carries the sites' words to the voters (a message more than from each site to each
voter), so that any member of a site can speak for it and one promise covers all instances. One further
instance, the claim, decides which of several tables the slot is for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from madderbeam.federation.consensus.messages import (
    WHY_MOST,
    Accept,
    Accepted,
    Document,
    DocumentRequest,
    Prepare,
    Promise,
    VoteReply,
    VoteRequest,
)
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.rounds import AgreementSettings, Ballot, Claim, Slot, Vote
from madderbeam.federation.errors import NotAllStaged, Superseded, TableUnfit
from madderbeam.federation.table import everyone, instances, read, speakers
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId


@dataclass(frozen=True)
class Aborted:
    """The slot is over: some site's word, decided, is that it is turned down."""

    words: tuple[Vote, ...]


@dataclass(frozen=True)
class Committed:
    """All sites' words are decided, and all are staged."""

    table: Table


class Coordinator:
    """One ballot of one slot. `ending` is set once it is decided; `idle`: there was nothing to finish."""

    def __init__(
        self,
        out: Outbox,
        base: Table,
        slot: Slot,
        ballot: Ballot,
        offer: Table | None,
        document: Callable[[str], Table | None],
        claiming: Callable[[str, Slot], None],
        since: Callable[[Slot, str], int],
        settings: AgreementSettings,
    ) -> None:
        """`document`: the table of a digest if it is here; `claiming`: told before an offer is claimed;
        `since`: when this member first heard of a claim."""
        self.out, self.base, self.slot, self.ballot, self.offer = out, base, slot, ballot, offer
        self._document, self._claiming, self._since, self.settings = document, claiming, since, settings
        self.since_us = self._claimed_us = self._told_us = out.now_us
        self.claim: Claim | None = None
        self.table: Table | None = None  # of the claim
        self.words: list[Vote] = []
        self.decided = -1  # so many words are decided; -1: not even the claim
        self.ending: Aborted | Committed | None = None
        self.idle = False
        self._sent = 0
        self._shown = False
        self._promises: dict[MemberId, Promise] = {}
        self._steps: dict[MemberId, int] = {}
        self.answers: dict[MemberId, Vote] = {}

    # What comes in

    def begin(self) -> None:
        self._prepare()

    def on_promise(self, member: MemberId, message: Promise) -> None:
        if message.ballot != self.ballot or self.claim is not None or self.idle:
            return
        if member in self.base.voters:
            self._promises[member] = message
        if len(self._promises) >= self._quorum:
            self._settle()

    def on_accepted(self, member: MemberId, message: Accepted) -> None:
        if message.ballot != self.ballot or self.claim is None or member not in self.base.voters:
            return
        self._steps[member] = max(message.step, self._steps.get(member, -1))
        steps = sorted(self._steps.values(), reverse=True)
        if len(steps) < self._quorum or steps[self._quorum - 1] <= self.decided:
            return
        first, self.decided = self.decided < 0, steps[self._quorum - 1]
        if self._judge():
            return
        if first:
            self._ask_sites()
        self._pass_on()

    def on_answer(self, member: MemberId, message: VoteReply) -> None:
        if self.claim is None or message.digest != self.claim.digest or message.word.site != member.site:
            return
        if member in everyone(self.base, self.table or self.base):
            self.answers[member] = message.word
            self._gather()

    def on_shown(self, message: Document) -> None:
        """A document has come: perhaps the one that this claim is on."""
        if self.claim is None or self.table is not None or self.ending is not None:
            return
        try:
            table = read(message.document)
        except TableUnfit:
            return
        if table.digest == self.claim.digest:
            self._take(table)

    def tick(self, silence: Callable[[tuple[MemberId, ...]], str]) -> None:
        """Say again what was not answered, and close what takes too long. `silence`: what is known of
        members that do not answer."""
        if self.claim is None:
            self._prepare()
            return
        if self.table is None:
            self._take(self._document(self.claim.digest))
        if self.ending is not None:
            return
        if self.out.now_us - self.since_us >= self.settings.agree_within_us:
            self._close(NotAllStaged.code, lambda site: self._unstaged(site, silence))
        elif self.table is None and self.out.now_us - self._claimed_us >= 2 * self.settings.patience_us:
            lost = f"no member that can be reached has the document of table {self.slot.number}"
            self._close(NotAllStaged.code, lambda site: lost)
        self._gather()
        if self.decided >= 0 and len(self.words) < len(self.claim.sites):
            self._ask_sites()
        if self.decided < len(self.words):
            self._accept()
        if self.table is None:
            for member in everyone(self.base):
                self.out.send(member, DocumentRequest(self.slot, self.claim.digest))

    # What is known

    @property
    def missing(self) -> tuple[str, ...]:
        """Sites of the claim that have no word yet."""
        given = {w.site for w in self.words}
        return tuple(s for s in self.claim.sites if s not in given) if self.claim else ()

    def speakers(self, site: str) -> tuple[MemberId, ...]:
        return speakers(self.table or self.base, self.base, site)

    @property
    def _quorum(self) -> int:
        return len(self.base.voters) // 2 + 1

    @property
    def current(self) -> bool:
        """Whether a majority has taken all that it was told."""
        return self.decided >= self._sent

    @property
    def silent(self) -> tuple[MemberId, ...]:
        """Voters that have not answered what they were told last."""
        answered = self._promises if self.claim is None else self._steps
        return tuple(v for v in self.base.voters if v not in answered)

    # Steps

    def _take(self, table: Table | None) -> None:
        self.table = table
        if table is not None and not self._judge() and self.decided >= 0:
            self._ask_sites()

    def _prepare(self) -> None:
        for voter in self.base.voters:
            if voter not in self._promises:
                self.out.send(voter, Prepare(self.slot, self.base.digest, self.ballot))

    def _settle(self) -> None:
        """A majority has promised: carry over what may be decided, else claim one's own offer."""
        best: Claim | None = None
        highest: Ballot | None = None
        for promise in self._promises.values():
            if promise.claimed is not None and (highest is None or promise.claimed > highest):
                best, highest = promise.claim, promise.claimed
        if best is None and self.offer is None:
            self.idle = True
            return
        if best is None:
            assert self.offer is not None
            best = Claim(self.offer.digest, instances(self.offer, self.base))
        if self.offer is not None and self.offer.digest == best.digest:
            self.table = self.offer
            self._claiming(best.digest, self.slot)
        else:
            self.table = self._document(best.digest)
        self.claim, self._claimed_us = best, self.out.now_us
        self.since_us = self._since(self.slot, best.digest)
        self._carry(best)
        if self.offer is not None and self.offer.digest != best.digest:
            self._close(Superseded.code, lambda _: f"an operator offered table {self.offer_name} after it")
        self._accept()

    def _carry(self, claim: Claim) -> None:
        """Of each instance the word of the highest ballot that the majority knows."""
        carried: dict[str, tuple[Ballot, Vote]] = {}
        for promise in self._promises.values():
            if promise.claim is None or promise.claim.digest != claim.digest:
                continue
            for ballot, word in promise.voted:
                if word.site not in carried or ballot > carried[word.site][0]:
                    carried[word.site] = (ballot, word)
        self.words = [carried[site][1] for site in claim.sites if site in carried]

    @property
    def offer_name(self) -> str:
        return str(self.offer.proposal) if self.offer is not None else ""

    def _accept(self) -> None:
        assert self.claim is not None
        self._sent = len(self.words)
        message = Accept(self.slot, self.base.digest, self.ballot, self.claim, tuple(self.words))
        for voter in self.base.voters:
            if self._steps.get(voter, -1) < self._sent:
                self.out.send(voter, message)

    def _pass_on(self) -> None:
        """New words go to the voters once they may be the last: most often all in one message. Those that
        wait go with the next tick."""
        last = not self.missing or any(not w.staged for w in self.words)
        if last and len(self.words) > self._sent:
            self._accept()

    def _ask_sites(self) -> None:
        assert self.claim is not None
        if not self.missing:
            return
        off = self.table.off if self.table is not None else frozenset()
        again = self.out.now_us - self._told_us >= self.settings.patience_us // 3
        if again:  # those that have answered hear that the slot is still driven
            self._told_us = self.out.now_us
        document = None
        if self.table is not None and not self._shown:
            self._shown, document = True, self.table.document()
        offer = VoteRequest(self.slot, self.base.digest, self.claim.digest, document)
        for member in everyone(self.base, self.table or self.base):
            if member not in off and (again or member not in self.answers):
                self.out.send(member, offer)

    def _gather(self) -> None:
        """A site's word: turned down as soon as one of its members says so; staged once all of them have
        said so, or after a while if at least one has."""
        if self.claim is None or self.table is None or self.decided < 0 or self.ending is not None:
            return
        patient = self.out.now_us - self._claimed_us < self.settings.stand_in_us
        for site in self.missing:
            may = self.speakers(site)
            given = [self.answers[m] for m in may if m in self.answers]
            down = [w for w in given if not w.staged]
            if down:
                self.words.append(down[0])
            elif given and (len(given) == len(may) or not patient):
                self.words.append(given[0])
        if self.decided >= self._sent:
            self._pass_on()

    def _close(self, code: str, why: Callable[[str], str]) -> None:
        """Turn down what no word is known of."""
        self.words += [Vote(site, code, why(site)[:WHY_MOST]) for site in self.missing]

    def _judge(self) -> bool:
        """Whether the slot is at its end."""
        if self.claim is None or self.ending is not None:
            return self.ending is not None
        if any(not w.staged for w in self.words[: max(self.decided, 0)]):
            self.ending = Aborted(tuple(w for w in self.words if not w.staged))
        elif self.decided >= len(self.claim.sites) and self.table is not None:
            self.ending = Committed(self.table)
        return self.ending is not None

    def _unstaged(self, site: str, silence: Callable[[tuple[MemberId, ...]], str]) -> str:
        after_s = (self.out.now_us - self.since_us) // 1_000_000
        silent = tuple(m for m in self.speakers(site) if m not in self.answers)
        return f"{site} has not staged table {self.slot.number} for {after_s} s: {silence(silent)}"
