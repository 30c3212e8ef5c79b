"""Releases as they lie, debts over several tables, rows of the messages."""

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


def test_a_span_is_less_by_the_time_it_has_lain():
    lies = release_records.ReleaseRecord(
        release(RemainingSpan("x", 5 * SECOND), RemainingSpan("y", SECOND)), 100, 0
    )
    assert lies.left(100 + 2 * SECOND).retry_waits == (RemainingSpan("x", 3 * SECOND),)
    assert lies.binds(100 + 4 * SECOND) and not lies.binds(100 + 5 * SECOND)


@pytest.mark.parametrize(
    "mono_s, wall_s, left_s",
    [(2, 2, 3), (2, 3_600, 3), (-50, 2, 5), (2, -3_600, 5), (1, 2, 4), (9, 9, 0)],
    ids=["both", "wall stepped ahead", "machine started anew", "wall stepped back", "lesser", "over"],
)
def test_across_a_restart_no_clock_alone_shortens_a_wait(mono_s, wall_s, left_s):
    row = release_records.ReleaseRecord(release(RemainingSpan("", 5 * SECOND)), 100 * SECOND, 7_000).row()
    now = release_records.revived(row, (100 + mono_s) * SECOND, 7_000 + wall_s * 1_000)
    assert now.release.retry_waits == ((RemainingSpan("", left_s * SECOND),) if left_s else ())


def test_what_does_not_fit_a_rumour_waits_as_a_whole_as_long_as_the_longest():
    waits = tuple(RemainingSpan(f"endpoint-{i}", i * SECOND) for i in range(1, 100))
    packed = release_records.body(release(*waits, drains=(RemainingSpan("z", 300 * SECOND),)))
    assert len(packed) <= MAX_ENTRY_BODY_BYTES
    assert release_records.of_body(packed).retry_waits == (RemainingSpan("", 99 * SECOND),)
    assert release_records.of_body(packed).draining == (RemainingSpan("z", 300 * SECOND),)
    few = release(RemainingSpan("x", 5), cold=True)
    assert release_records.of_body(release_records.body(few)) == few


def test_merging_keeps_the_longest_span_of_each_endpoint():
    both = release_records.merged(
        release(RemainingSpan("x", 5), RemainingSpan("y", 9)), [release(RemainingSpan("x", 7), cold=True)]
    )
    assert both.retry_waits == (RemainingSpan("x", 7), RemainingSpan("y", 9)) and both.is_cold


def unpaid(dest: int, member: MemberId, number: int) -> bool:
    return False


def test_debts_over_a_chain_of_tables():
    book = ledger.first(table(1, {7: "a", 8: "b"}))
    book = ledger.after(book, table(2, {7: "b", 8: "b"}), unpaid, 0)
    assert book.debts == {7: {A1: 2, A2: 2}}
    book = ledger.after(book, table(3, {7: "a", 8: "b"}), unpaid, 0)
    assert book.debts == {7: {A1: 2, A2: 2, B1: 3}}
    book = ledger.after(book, table(4, {7: "c", 8: "b"}), lambda d, m, n: m == B1, 0)
    assert book.debts == {7: {A1: 4, A2: 4}}
    book = ledger.after(book, table(5, {7: "c", 8: "b"}, frozenset({A1}), a="m2", b="m1", c="m1"), unpaid, 0)
    assert book.debts == {7: {A2: 4}}
    again = ledger.read(book.row())
    assert again == replace(book, history=again.history) and len(again.history) == 5


def test_a_member_that_is_left_out_owes_all_of_its_sites_destinations():
    book = ledger.first(table(1, {7: "a"}))
    book = ledger.after(book, table(2, {7: "a"}, a="m2", b="m1"), unpaid, 0)
    assert book.debts == {7: {A1: 2}}


def test_a_destination_without_an_owner_before_is_owed_by_nobody():
    book = ledger.after(ledger.first(table(1, {})), table(2, {7: "a"}), unpaid, 0)
    assert book.debts == {}


def test_councils_are_kept_as_long_as_a_member_may_lease_by_them():
    book = ledger.first(table(1, {}))
    book = ledger.after(book, table(2, {}, a="m1", b="m1"), unpaid, 1)
    assert [n for n, _ in book.councils] == [1, 2]
    book = ledger.after(book, table(3, {}, a="m1", b="m1"), unpaid, 2)
    assert [n for n, _ in book.councils] == [2]


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
        ledger.first(T2),
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
def test_a_message_comes_back_from_its_row(message):
    assert messages.from_row(messages.to_row(message)) == message


def test_spoilt_rows_are_told_by_their_field_and_nothing_else():
    rng = random.Random(7)
    strange = [None, -1, 2**70, "x" * 2_000, b"x", [], [[]], {}, True, 1.5, list(range(200))]
    told = 0
    for _ in range(4_000):
        row = messages.to_row(rng.choice(MESSAGES))
        spot = row
        while True:
            i = rng.randrange(len(spot))
            inner = spot[i]
            if isinstance(inner, list) and inner and rng.random() < 0.7:
                spot = inner
                continue
            spot[i] = rng.choice(strange)
            break
        try:
            messages.from_row(row)
        except ValueError as error:
            told += 1
            assert "allowed" in str(error)
    assert told > 2_000
