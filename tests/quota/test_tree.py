"""Nested quotas: shares, borrowing, debts, and an accurate Retry-After."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.quota import split as s
from madderbeam.quota.tree import DIMENSIONS, Admitted, Limit, NeverFits, Rejected, Tree

S = 1_000_000


def by_second(amount, burst=0, reserved=0, at=0):
    """Limits of one dimension only."""
    limits = [None] * 4
    limits[at] = Limit(amount, burst, reserved)
    return tuple(limits)


def two(reserved=0, limit=20, share=10):
    """A federation of two schools, with ten messages a second each of twenty."""
    tree = Tree(by_second(limit))
    return tree, *(tree.add(tree.root, name, by_second(share, reserved=reserved)) for name in "ab")


def passes(tree, node, now, most=1000, size=0):
    """How many messages pass at one instant."""
    for count in range(most):
        if not isinstance(tree.admit(node, size, now), Admitted):
            return count
    return most


def flood(tree, node, begin, seconds, every=1000):
    """How many pass while one asks every millisecond."""
    return sum(
        isinstance(tree.admit(node, 0, at), Admitted) for at in range(begin, begin + seconds * S, every)
    )


def test_a_node_borrows_what_its_sibling_leaves_and_repays_while_idle():
    tree, a, b = two()
    assert passes(tree, a, 0) == 12  # its own bucket and the pool
    assert flood(tree, a, 0, 5) == pytest.approx(5 * 20, abs=2)  # its share and b's
    part = a.parts[0]
    assert part.borrowed >= 45 * s.UNITS_EACH and part.debt_at(tree.root.splits[0].advance(5 * S)) > 0
    tree.root.splits[0].advance(5 * S + s.REPAY_US[s.SECOND])
    assert part.debt == 0 and part.repaid == part.borrowed


def test_a_returning_lender_gets_its_share_at_once():
    tree, a, b = two()
    flood(tree, a, 0, 5)
    assert passes(tree, b, 5 * S) >= 7
    both = [
        isinstance(tree.admit(node, 0, at), Admitted) for at in range(5 * S, 10 * S, 1000) for node in (a, b)
    ]
    assert sum(both[1::2]) >= 49  # b has its whole share
    assert sum(both) <= 5 * 20 + 20


def test_what_is_reserved_is_never_lent():
    tree, a, b = two(reserved=10)
    assert flood(tree, a, 0, 5) == pytest.approx(60, abs=1)  # its share and its burst, nothing of b's
    assert tree.root.splits[0].pool_capacity == 0
    assert passes(tree, b, 5 * S) == 10


def test_borrowing_below_does_not_use_up_what_is_reserved_above():
    tree = Tree(by_second(20))
    school = tree.add(tree.root, "school", by_second(10, reserved=4), by_second(10))
    flooding = tree.add(school, "flooding", by_second(2))
    deposits = tree.add(school, "deposits", by_second(4, reserved=4))
    other = tree.add(tree.root, "other", by_second(10, reserved=10))
    flood(tree, flooding, 0, 20, every=5000)
    assert passes(tree, deposits, 20 * S) == 4
    assert passes(tree, other, 20 * S) == 10


def test_a_message_that_one_node_rejects_is_counted_at_none():
    tree = Tree(by_second(10))
    child = tree.add(tree.root, "child", by_second(5), by_second(3, at=0))
    assert passes(tree, child, 0) == 3  # its own limit
    assert tree.root.splits[0].pool + child.parts[0].bucket_level(0) == 7 * s.UNITS_EACH


def test_a_message_larger_than_the_burst_can_never_pass():
    tree = Tree(by_second(10 * 1024, at=1))
    assert tree.admit(tree.root, 64 * 1024, 0) == NeverFits("all", "bytes a second", 10 * 1024)
    roomy = Tree(by_second(10 * 1024, burst=64 * 1024, at=1))
    assert tree.admit(tree.root, 1024, 0) == Admitted()
    assert roomy.admit(roomy.root, 64 * 1024, 0) == Admitted()
    refused = roomy.admit(roomy.root, 64 * 1024, 0)
    assert isinstance(refused, Rejected) and refused.after_us == pytest.approx(6.4 * S, abs=2000)


def test_no_hour_exceeds_its_limit():
    tree = Tree(by_second(100, at=2))
    times = [at for at in range(0, 3 * 3600 * S, S) if isinstance(tree.admit(tree.root, 0, at), Admitted)]
    for first in times:
        assert sum(first <= at < first + 3600 * S for at in times) <= 100
    assert len(times) == pytest.approx(100 / 4 + 3 * 75, abs=1)


def test_a_clock_that_steps_back_refills_nothing():
    tree = Tree(by_second(10))
    assert passes(tree, tree.root, 10 * S) == 10
    assert passes(tree, tree.root, 0) == 0
    assert passes(tree, tree.root, 10 * S) == 0
    assert passes(tree, tree.root, 11 * S) == 10


def test_shares_and_reserved_parts_have_to_fit():
    tree = Tree(by_second(10))
    school = tree.add(tree.root, "school", by_second(6, reserved=2), by_second(6))
    with pytest.raises(ValueError, match="all/more: messages a second: the shares"):
        tree.add(tree.root, "more", by_second(5))
    with pytest.raises(ValueError, match="school/deposits: messages a second: what children have reserved"):
        tree.add(school, "deposits", by_second(3, reserved=3))
    with pytest.raises(ValueError, match="bytes a second: a share needs a limit of all"):
        tree.add(tree.root, "bytes", by_second(1, at=1))
    with pytest.raises(ValueError, match="is there already"):
        tree.add(tree.root, "school")
    with pytest.raises(ValueError, match="a limit is above 0"):
        Limit(0)


def test_a_node_without_a_share_takes_from_the_pool_and_owes_nothing():
    tree = Tree(by_second(10))
    free = tree.add(tree.root, "free")
    tree.add(tree.root, "held", by_second(4))
    assert passes(tree, free, 0) == 7  # of ten, three are in the bucket of the one with a share
    assert [u.owed for u in tree.usage(0)] == [0]


def test_retry_after_is_accurate_for_a_borrower():
    tree, a, _ = two()
    flood(tree, a, 0, 3)
    refused = tree.admit(a, 0, 3 * S)
    while isinstance(refused, Admitted):
        refused = tree.admit(a, 0, 3 * S)
    assert refused.after_us > 0
    assert isinstance(tree.admit(a, 0, 3 * S + refused.after_us), Admitted)


EVENTS = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 400_000), st.integers(0, 60)), max_size=120)


@settings(max_examples=60, deadline=None)
@given(EVENTS)
def test_no_limit_is_exceeded_and_no_debt_is_made_or_lost(events):
    limits = (Limit(20), Limit(400, 800), Limit(300), None)
    tree = Tree(limits)
    school = tree.add(
        tree.root,
        "school",
        (Limit(12, reserved=3), Limit(240, 400, 40), Limit(200), None),
        (Limit(15), Limit(300, 600), Limit(200), None),
    )
    nodes = [
        tree.root,
        tree.add(tree.root, "other", (Limit(8, reserved=8), Limit(100), None, None)),
        tree.add(school, "a", (Limit(4), Limit(100), Limit(50), None)),
        tree.add(school, "b", (Limit(5, reserved=3), Limit(100, 200, 40), None, None)),
    ]
    now, admitted = 0, []
    for which, wait, size in events:
        now += wait
        if isinstance(tree.admit(nodes[which], size, now), Admitted):
            admitted.append((now, which, size))
    for inside, (count, weight) in (((0, 1, 2, 3), ((20, 20), (400, 800))), ((2, 3), ((15, 15), (300, 600)))):
        inside_rows = [(at, size) for at, which, size in admitted if which in inside]
        for first in range(len(inside_rows)):
            sent = 0
            for number, (at, size) in enumerate(inside_rows[first:], 1):
                sent += size
                past = (at - inside_rows[first][0]) / S
                assert number <= count[0] * past + count[1] + 1e-6
                assert sent <= weight[0] * past + weight[1] + 1e-6
    for node in tree.nodes():
        for at, part in enumerate(node.parts):
            if part is None:
                continue
            split = node.parent.splits[at]
            time_ = split.advance(now)
            paid = part.debt - part.debt_at(time_)
            assert part.borrowed == part.repaid + paid + part.debt_at(time_)
            assert 0 <= part.bucket_level(time_) <= part.capacity and 0 <= split.pool <= split.pool_capacity
            assert part.debt_at(time_) <= part.debt_max
            assert split.pool_inflow == sum(p.rate for p in split.parts if p.state != s.FILLING)
            split.advance(now + s.REPAY_US[split.period])
            assert part.debt == 0 and part.repaid == part.borrowed


@settings(max_examples=60, deadline=None)
@given(EVENTS, st.integers(0, 60))
def test_retry_after_is_accurate(events, size):
    tree = Tree((Limit(20), Limit(400, 800), Limit(60), None))
    a = tree.add(tree.root, "a", (Limit(4), Limit(100), Limit(20), None))
    b = tree.add(tree.root, "b", (Limit(8, reserved=4), Limit(200, 300, 100), None, None))
    now = 0
    for which, wait, each in events:
        now += wait
        tree.admit((tree.root, a, b, a)[which], each, now)
    found = tree.admit(a, size, now)
    if isinstance(found, Rejected):
        assert isinstance(tree.admit(a, size, now + found.after_us), Admitted)


def test_nothing_is_borrowed_without_a_flood():
    for share in (10, 5):
        tree, a, b = two(share=share)
        calm = [
            isinstance(tree.admit(node, 0, at), Admitted)
            for at in range(0, 10 * S, 200_000)
            for node in (a, b)
        ]
        assert all(calm) and a.parts[0].borrowed == b.parts[0].borrowed == 0


def test_ten_levels_and_ten_thousand_nodes_stay_cheap():
    tree = Tree(tuple(Limit(1_000_000_000) for _ in DIMENSIONS))
    leaves = [tree.add(tree.root, str(n)) for n in range(10_000)]
    node = tree.root
    for level in range(10):
        node = tree.add(node, f"level {level}", limits=by_second(1_000_000))
    best = 1.0
    for _ in range(5):
        began = time.process_time()
        for at in range(300):
            tree.admit(node if at % 2 else leaves[at], 100, at)
        best = min(best, (time.process_time() - began) / 300)
    assert best < 200e-6
