"""Seeded faults: the random schedules find each of them, which shows that the schedules can detect faults."""

from __future__ import annotations

from contextlib import suppress

import pytest
from agreement_schedules import play

from madderbeam.federation.consensus import coordinator as coordinator_module
from madderbeam.federation.consensus.acceptor import Acceptor
from madderbeam.federation.consensus.agreed_tables import AgreedTables
from madderbeam.federation.consensus.coordinator import Aborted, Committed, Coordinator
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.participant import Participant
from madderbeam.federation.consensus.proposals import Proposals
from madderbeam.federation.consensus.rounds import Ballot, Vote
from madderbeam.membership.values import Incarnation

SEED_COUNT = 300


def records_not_written(kind):
    def seed_fault(monkeypatch):
        persist = Outbox.persist
        monkeypatch.setattr(
            Outbox, "persist", lambda self, k, key, value: k != kind and persist(self, k, key, value)
        )

    return seed_fault


def lower_ballot_accepted(monkeypatch):
    accept = Acceptor.accept

    def patched(self, request):
        self.promised = None
        return accept(self, request)

    monkeypatch.setattr(Acceptor, "accept", patched)


def promise_not_kept(monkeypatch):
    prepare = Acceptor.prepare

    def patched(self, request):
        before = self.promised
        reply = prepare(self, request)
        self.promised = before
        return reply

    monkeypatch.setattr(Acceptor, "prepare", patched)


def accepted_votes_not_adopted(monkeypatch):
    monkeypatch.setattr(Coordinator, "_adopt_accepted_votes", lambda self, claim: None)


def claim_not_adopted(monkeypatch):
    choose_claim = Coordinator._choose_claim

    def patched(self):
        if self.proposal is not None:
            self._promises = {
                member: type(promise)(promise.slot, promise.ballot, None, None, (), promise.mark)
                for member, promise in self._promises.items()
            }
        choose_claim(self)

    monkeypatch.setattr(Coordinator, "_choose_claim", patched)


def majority_of_one(monkeypatch):
    monkeypatch.setattr(Coordinator, "_quorum", 1)


def half_is_a_majority(monkeypatch):
    monkeypatch.setattr(Coordinator, "_quorum", property(lambda self: max(1, len(self.base.voters) // 2)))


def instance_missing(monkeypatch):
    instances = coordinator_module.voting_sites
    monkeypatch.setattr(
        coordinator_module,
        "voting_sites",
        lambda table, base: instances(table, base)[:-1] or instances(table, base),
    )


def missing_vote_taken_for_staged(monkeypatch):
    collect_votes = Coordinator._collect_votes

    def patched(self):
        collect_votes(self)
        is_late = self.outbox.now_us - self._claimed_us >= self.settings.silent_member_timeout_us
        if (
            self.table is not None
            and self.decided_count >= 0
            and self.decision is None
            and is_late
            and self.missing_sites
        ):
            self.votes += [Vote(site) for site in self.missing_sites]
            self._send_accept()

    monkeypatch.setattr(Coordinator, "_collect_votes", patched)


def staged_without_record(monkeypatch):
    def patched(self):
        self._send_vote(Vote(self.outbox.local_member.site))

    monkeypatch.setattr(Participant, "_stage", patched)


def rejected_before_it_is_decided(monkeypatch):
    check_decided = Coordinator._check_decided

    def patched(self):
        if self.decision is None and any(not vote.is_staged for vote in self.votes):
            self.decision = Aborted(tuple(self.votes))
        return check_decided(self)

    monkeypatch.setattr(Coordinator, "_check_decided", patched)
    reject_missing = Coordinator._reject_missing

    def patched_reject_missing(self, code, reason):
        reject_missing(self, code, reason)
        self._check_decided()

    monkeypatch.setattr(Coordinator, "_reject_missing", patched_reject_missing)


def agreed_before_it_is_decided(monkeypatch):
    check_decided = Coordinator._check_decided

    def patched(self):
        has_all_votes = self.claim is not None and len(self.votes) == len(self.claim.sites)
        if (
            self.decision is None
            and has_all_votes
            and self.table is not None
            and all(vote.is_staged for vote in self.votes)
        ):
            self.decision = Committed(self.table)
        return check_decided(self)

    monkeypatch.setattr(Coordinator, "_check_decided", patched)
    accept = Coordinator._send_accept

    def patched_send_accept(self):
        accept(self)
        self._check_decided()

    monkeypatch.setattr(Coordinator, "_send_accept", patched_send_accept)


def ballots_not_unique(monkeypatch):
    monkeypatch.setattr(Ballot, "__init__", _same_ballot)


def _same_ballot(self, counter, member, incarnation):
    for name, value in (
        ("counter", counter),
        ("member", type(member)("s", "m")),
        ("incarnation", Incarnation(0, 0)),
    ):
        object.__setattr__(self, name, value)


def lowest_claim_wins(monkeypatch):
    choose_claim = Coordinator._choose_claim

    def patched(self):
        claims = [promise for promise in self._promises.values() if promise.claim_ballot is not None]
        if claims:
            lowest = min(claims, key=lambda promise: promise.claim_ballot)
            self._promises = {
                member: type(promise)(
                    promise.slot,
                    promise.ballot,
                    lowest.claim,
                    lowest.claim_ballot,
                    promise.accepted_votes,
                    promise.mark,
                )
                for member, promise in self._promises.items()
            }
        choose_claim(self)

    monkeypatch.setattr(Coordinator, "_choose_claim", patched)


def announced_before_it_is_on_disk(monkeypatch):
    add = AgreedTables.add

    def patched(self, agreed):
        self.announce(agreed)
        add(self, agreed)

    monkeypatch.setattr(AgreedTables, "add", patched)


def outcome_reported_before_the_record_is_removed(monkeypatch):
    complete = Proposals._complete

    def patched(self, digest, error):
        complete(self, digest, error)
        self.outbox.add(self._completed.pop(digest))
        self._newly_completed.remove(digest)

    monkeypatch.setattr(Proposals, "_complete", patched)


FAULTS = [
    records_not_written("vote"), records_not_written("staged"), records_not_written("agreed"),
    lower_ballot_accepted, promise_not_kept,
    accepted_votes_not_adopted, claim_not_adopted, majority_of_one, half_is_a_majority, instance_missing,
    missing_vote_taken_for_staged, staged_without_record, rejected_before_it_is_decided,
    agreed_before_it_is_decided, ballots_not_unique, lowest_claim_wins, announced_before_it_is_on_disk,
    outcome_reported_before_the_record_is_removed,
]  # fmt: skip
NAMES = [
    "vote_not_written",
    "staged_not_written",
    "agreed_not_written",
    *(fault.__name__ for fault in FAULTS[3:]),
]


@pytest.mark.parametrize("seed_fault", FAULTS, ids=NAMES)
def test_a_seeded_fault_is_found(seed_fault, monkeypatch):
    seed_fault(monkeypatch)
    for seed in range(SEED_COUNT):
        with suppress(KeyError):
            try:
                play(seed)
            except AssertionError:
                return
    pytest.fail(f"{SEED_COUNT} schedules found nothing")
