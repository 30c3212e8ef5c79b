"""Planted bugs: each is found by the random schedules, so that it means something when these find nothing."""

from __future__ import annotations

from contextlib import suppress

import pytest
from agreement_schedules import play

from madderbeam.federation.consensus import coordinator as driving
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.coordinator import Aborted, Committed, Coordinator
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.participant import Participant
from madderbeam.federation.consensus.proposals import Proposals
from madderbeam.federation.consensus.rounds import Ballot, Vote
from madderbeam.membership.values import Incarnation

SEEDS = 300


def unwritten(kind):
    def plant(patch):
        persist = Outbox.persist
        patch.setattr(
            Outbox, "persist", lambda self, k, key, value: k != kind and persist(self, k, key, value)
        )

    return plant


def ballot_taken_for_higher(patch):
    accept = Acceptor.accept

    def patched(self, asked):
        self.promised = None
        return accept(self, asked)

    patch.setattr(Acceptor, "accept", patched)


def promise_not_kept(patch):
    prepare = Acceptor.prepare

    def patched(self, asked):
        before = self.promised
        reply = prepare(self, asked)
        self.promised = before
        return reply

    patch.setattr(Acceptor, "prepare", patched)


def words_not_carried_over(patch):
    patch.setattr(Coordinator, "_carry", lambda self, claim: None)


def claim_not_carried_over(patch):
    settle = Coordinator._settle

    def patched(self):
        if self.offer is not None:
            self._promises = {
                m: type(p)(p.slot, p.ballot, None, None, (), p.mark) for m, p in self._promises.items()
            }
        settle(self)

    patch.setattr(Coordinator, "_settle", patched)


def majority_of_one(patch):
    patch.setattr(Coordinator, "_quorum", 1)


def half_is_a_majority(patch):
    patch.setattr(Coordinator, "_quorum", property(lambda self: max(1, len(self.base.voters) // 2)))


def instance_missing(patch):
    instances = driving.instances
    patch.setattr(driving, "instances", lambda t, base: instances(t, base)[:-1] or instances(t, base))


def silence_taken_for_staged(patch):
    gather = Coordinator._gather

    def patched(self):
        gather(self)
        late = self.out.now_us - self._claimed_us >= self.settings.stand_in_us
        if self.table is not None and self.decided >= 0 and self.ending is None and late and self.missing:
            self.words += [Vote(s) for s in self.missing]
            self._accept()

    patch.setattr(Coordinator, "_gather", patched)


def staged_without_record(patch):
    def patched(self):
        self._say(Vote(self.out.me.site))

    patch.setattr(Participant, "_write", patched)


def turned_down_before_it_is_decided(patch):
    judge = Coordinator._judge

    def patched(self):
        if self.ending is None and any(not w.staged for w in self.words):
            self.ending = Aborted(tuple(self.words))
        return judge(self)

    patch.setattr(Coordinator, "_judge", patched)
    close = Coordinator._close

    def closing(self, code, why):
        close(self, code, why)
        self._judge()

    patch.setattr(Coordinator, "_close", closing)


def agreed_before_it_is_decided(patch):
    judge = Coordinator._judge

    def patched(self):
        full = self.claim is not None and len(self.words) == len(self.claim.sites)
        if self.ending is None and full and self.table is not None and all(w.staged for w in self.words):
            self.ending = Committed(self.table)
        return judge(self)

    patch.setattr(Coordinator, "_judge", patched)
    accept = Coordinator._accept

    def accepting(self):
        accept(self)
        self._judge()

    patch.setattr(Coordinator, "_accept", accepting)


def ballots_not_unique(patch):
    patch.setattr(Ballot, "__init__", _same_ballot)


def _same_ballot(self, counter, member, life):
    for name, value in (
        ("counter", counter),
        ("member", type(member)("s", "m")),
        ("life", Incarnation(0, 0)),
    ):
        object.__setattr__(self, name, value)


def lowest_claim_wins(patch):
    settle = Coordinator._settle

    def patched(self):
        claims = [p for p in self._promises.values() if p.claimed is not None]
        if claims:
            low = min(claims, key=lambda p: p.claimed)
            self._promises = {
                m: type(p)(p.slot, p.ballot, low.claim, low.claimed, p.voted, p.mark)
                for m, p in self._promises.items()
            }
        settle(self)

    patch.setattr(Coordinator, "_settle", patched)


def told_before_it_is_on_disk(patch):
    add = AgreedTables.add

    def patched(self, agreed):
        self.tell(agreed)
        add(self, agreed)

    patch.setattr(AgreedTables, "add", patched)


def offer_not_forgotten(patch):
    end = Proposals._end

    def patched(self, digest, error):
        end(self, digest, error)
        self.out.give(self._ended.pop(digest))
        self._fresh.remove(digest)

    patch.setattr(Proposals, "_end", patched)


PLANTED = [
    unwritten("vote"), unwritten("staged"), unwritten("agreed"), ballot_taken_for_higher, promise_not_kept,
    words_not_carried_over, claim_not_carried_over, majority_of_one, half_is_a_majority, instance_missing,
    silence_taken_for_staged, staged_without_record, turned_down_before_it_is_decided,
    agreed_before_it_is_decided, ballots_not_unique, lowest_claim_wins, told_before_it_is_on_disk,
    offer_not_forgotten,
]  # fmt: skip
NAMES = ["vote_not_written", "staged_not_written", "agreed_not_written", *(p.__name__ for p in PLANTED[3:])]


@pytest.mark.parametrize("plant", PLANTED, ids=NAMES)
def test_a_planted_bug_is_found(plant, monkeypatch):
    plant(monkeypatch)
    for seed in range(SEEDS):
        with suppress(KeyError):
            try:
                play(seed)
            except AssertionError:
                return
    pytest.fail(f"{SEEDS} schedules found nothing")
