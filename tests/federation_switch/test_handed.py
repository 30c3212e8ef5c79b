"""Release records, outstanding releases over several tables, and rows of the messages."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from madderbeam.federation.switchover import ledger, messages, release_records
from madderbeam.federation.switchover.messages import (
    InForceQuery,
    InForceReply,
    LeaseEndConfirmation,
    LeaseEndRequest,
    LeaseReply,
    LeaseRequest,
    PendingProposal,
)
from madderbeam.federation.values import MemberRow, ProposalId, Release, RemainingSpan, Table
from madderbeam.membership.values import MAX_ENTRY_BODY_BYTES, MemberId

A1, A2, B1, C1 = MemberId("a", "m1"), MemberId("a", "m2"), MemberId("b", "m1"), MemberId("c", "m1")
SECOND = 1_000_000


def table(number: int, owners: dict[int, str], off: frozenset[MemberId] = frozenset(), **sites: str) -> Table:
    named = sites or {"a": "m1 m2", "b": "m1", "c": "m1"}
    rows = {
        s: tuple(MemberRow(n, (f"10.0.0.{i}", 1), True) for n in names.split())
        for i, (s, names) in enumerate(sorted(named.items()))
    }
    return Table(number, rows, owners, off)


def release(*waits: RemainingSpan, drains: tuple[RemainingSpan, ...] = (), cold: bool = False) -> Release:
    return Release(7, A1, 2, waits, drains, cold)


def test_spans_shrink_by_the_time_since_the_record():
    record = release_records.ReleaseRecord(
        release(RemainingSpan("x", 5 * SECOND), RemainingSpan("y", SECOND)), 100, 0
    )
    assert record.remaining(100 + 2 * SECOND).retry_waits == (RemainingSpan("x", 3 * SECOND),)
    assert record.has_spans_left(100 + 4 * SECOND) and not record.has_spans_left(100 + 5 * SECOND)


@pytest.mark.parametrize(
    "mono_s, wall_s, left_s",
    [(2, 2, 3), (2, 3_600, 3), (-50, 2, 5), (2, -3_600, 5), (1, 2, 4), (9, 9, 0)],
    ids=["both", "wall stepped ahead", "machine started anew", "wall stepped back", "lesser", "over"],
)
def test_across_a_restart_the_lesser_elapsed_time_of_both_clocks_counts(mono_s, wall_s, left_s):
    row = release_records.ReleaseRecord(release(RemainingSpan("", 5 * SECOND)), 100 * SECOND, 7_000).row()
    now = release_records.restored(row, (100 + mono_s) * SECOND, 7_000 + wall_s * 1_000)
    assert now.release.retry_waits == ((RemainingSpan("", left_s * SECOND),) if left_s else ())


def test_spans_too_many_for_a_gossip_entry_become_one_wait_of_the_longest():
    waits = tuple(RemainingSpan(f"endpoint-{i}", i * SECOND) for i in range(1, 100))
    body = release_records.gossip_body(release(*waits, drains=(RemainingSpan("z", 300 * SECOND),)))
    assert len(body) <= MAX_ENTRY_BODY_BYTES
    assert release_records.release_from_gossip(body).retry_waits == (RemainingSpan("", 99 * SECOND),)
    assert release_records.release_from_gossip(body).draining == (RemainingSpan("z", 300 * SECOND),)
    few = release(RemainingSpan("x", 5), cold=True)
    assert release_records.release_from_gossip(release_records.gossip_body(few)) == few


def test_merging_keeps_the_longest_span_of_each_endpoint():
    both = release_records.merged(
        release(RemainingSpan("x", 5), RemainingSpan("y", 9)), [release(RemainingSpan("x", 7), cold=True)]
    )
    assert both.retry_waits == (RemainingSpan("x", 7), RemainingSpan("y", 9)) and both.is_cold


def unpaid(dest: int, member: MemberId, number: int) -> bool:
    return False


def test_outstanding_releases_over_a_chain_of_tables():
    current = ledger.initial_ledger(table(1, {7: "a", 8: "b"}))
    current = ledger.next_ledger(current, table(2, {7: "b", 8: "b"}), unpaid, 0)
    assert current.outstanding == {7: {A1: 2, A2: 2}}
    current = ledger.next_ledger(current, table(3, {7: "a", 8: "b"}), unpaid, 0)
    assert current.outstanding == {7: {A1: 2, A2: 2, B1: 3}}
    current = ledger.next_ledger(current, table(4, {7: "c", 8: "b"}), lambda d, m, n: m == B1, 0)
    assert current.outstanding == {7: {A1: 4, A2: 4}}
    current = ledger.next_ledger(
        current, table(5, {7: "c", 8: "b"}, frozenset({A1}), a="m2", b="m1", c="m1"), unpaid, 0
    )
    assert current.outstanding == {7: {A2: 4}}
    again = ledger.read_ledger(current.row())
    assert again == replace(current, history=again.history) and len(again.history) == 5


def test_an_omitted_member_must_release_all_destinations_of_its_site():
    current = ledger.initial_ledger(table(1, {7: "a"}))
    current = ledger.next_ledger(current, table(2, {7: "a"}, a="m2", b="m1"), unpaid, 0)
    assert current.outstanding == {7: {A1: 2}}


def test_a_destination_without_a_previous_owner_needs_no_release():
    current = ledger.next_ledger(ledger.initial_ledger(table(1, {})), table(2, {7: "a"}), unpaid, 0)
    assert current.outstanding == {}


def test_voter_sets_are_kept_as_long_as_a_member_may_hold_leases_of_them():
    current = ledger.initial_ledger(table(1, {}))
    current = ledger.next_ledger(current, table(2, {}, a="m1", b="m1"), unpaid, 1)
    assert [n for n, _ in current.voter_sets] == [1, 2]
    current = ledger.next_ledger(current, table(3, {}, a="m1", b="m1"), unpaid, 2)
    assert [n for n, _ in current.voter_sets] == [2]


T2 = table(2, {7: "b"})
MESSAGES = [
    InForceQuery(5, 2, True),
    InForceReply(
        5,
        2,
        T2.digest,
        2,
        False,
        (T2,),
        ledger.initial_ledger(T2),
        (
            PendingProposal(ProposalId(3, "ab"), None),
            PendingProposal(ProposalId(4, "cd"), frozenset({7}), frozenset({A1})),
        ),
        ((7, A1, 2),),
        False,
        ((A1, 2),),
        (release(RemainingSpan("x", 5)),),
    ),
    LeaseRequest(1, 2, 3),
    LeaseReply(1, False, 2, "older"),
    LeaseEndRequest(((A1, 2),)),
    LeaseEndConfirmation(((A1, 2), (B1, 3))),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_survives_encoding_and_decoding(message):
    assert messages.from_row(messages.to_row(message)) == message


def test_malformed_rows_raise_nothing_but_an_error_with_the_field():
    rng = random.Random(7)
    malformed = [None, -1, 2**70, "x" * 2_000, b"x", [], [[]], {}, True, 1.5, list(range(200))]
    rejected = 0
    for _ in range(4_000):
        row = messages.to_row(rng.choice(MESSAGES))
        spot = row
        while True:
            i = rng.randrange(len(spot))
            inner = spot[i]
            if isinstance(inner, list) and inner and rng.random() < 0.7:
                spot = inner
                continue
            spot[i] = rng.choice(malformed)
            break
        try:
            messages.from_row(row)
        except ValueError as error:
            rejected += 1
            assert "allowed" in str(error)
    assert rejected > 2_000
