"""Credits and leases: what is drawn in bulk, or scaled by a fraction, exceeds no limit in any window."""

import random
from unittest import mock

import pytest

from madderbeam.quota.admission import QuotaAdmission
from madderbeam.quota.credits import Credits
from madderbeam.quota.leased_limits import LEASED_NODES_MAX, UnscaledLimit
from madderbeam.quota.split import Split
from madderbeam.quota.tree import CREDIT_SPARE_FACTOR, Tree

S = 1_000_000
RATE, BURST, SIZES = 400, 200, 100_000


def node(name, parent="", tenants=(), **rates):
    return {"name": name, "parent": parent, "tenants": list(tenants), "classes": [], **rates}


def rows(messages=RATE, burst=BURST):
    """One organization of two ensembles, limited in messages and bytes, a quarter of each share reserved."""
    share = {"messages_per_s": messages // 2, "bytes_per_s": SIZES // 2}
    reserved = {"messages_per_s": messages // 8}
    both = {"burst_messages": burst, "burst_bytes": SIZES}
    parts = {"burst_messages": burst // 2, "burst_bytes": SIZES // 2}
    return [
        node("school", limit={"messages_per_s": messages, "bytes_per_s": SIZES, **both}),
        *(
            node(name, "school", [name], share={**share, **parts}, reserved=reserved)
            for name in ("choir", "band")
        ),
    ]


def gate(leased=False, now=0, couriers=1, nodes=None):
    raw = {"form": 1, "couriers": couriers, "nodes": nodes or rows()}
    return QuotaAdmission(raw, now, random.Random(1), 1000, leased)


class Bucket:
    """What may pass in any window: a level that must never fall below 0."""

    def __init__(self, rate, holds):
        self.rate, self.holds, self.level, self.at = rate, holds, holds, 0

    def passed(self, units, now):
        self.level = min(self.holds, self.level + self.rate * (now - self.at) / S) - units
        self.at = now
        assert self.level >= -1e-6, f"over the limit by {-self.level:.3f} at {now}"


class Site:
    """The gates of several couriers, and what they let pass. Moving fractions add up to at most one."""

    def __init__(self, seed, couriers=1, leased=False):
        self.chance, self.now = random.Random(seed), 0
        self.gates = [gate(leased, couriers=couriers) for _ in range(couriers)]
        slack = couriers if leased else 0  # one message and its bytes at each courier, beyond the burst
        self.messages = Bucket(RATE, BURST + slack)
        self.bytes = Bucket(SIZES, SIZES + slack * 16_384)
        self.passed, self.asked = 0, 0
        self.parts = [0.0] * couriers

    def move(self):
        """Move the fractions. Couriers whose fraction falls get theirs first."""
        weights = [self.chance.random() ** 3 for _ in self.gates]
        parts = [w / sum(weights) for w in weights]
        order = sorted(range(len(parts)), key=lambda n: parts[n] - self.parts[n])
        for n in order:
            self.gates[n].set_lease("school", parts[n], self.now + 4 * S, 0.0, self.now)
        self.parts = parts

    def play(self, seconds=20):
        while self.now < seconds * S:
            if self.chance.random() < 0.01 and self.gates[0].leased:
                self.move()
            gap = self.chance.choice((100, 1_000, 3_000)) if self.chance.random() < 0.995 else S
            self.now += self.chance.randrange(gap) + 1
            size = self.chance.choice((0, 50, 200, 1_000))
            tenant = self.chance.choice(("choir", "choir", "choir", "band"))
            verdict = self.chance.choice(self.gates).admit(tenant, "notice", size, 0, self.now)
            self.asked += 1
            if verdict.passed:
                self.passed += 1
                self.messages.passed(1, self.now)
                self.bytes.passed(size, self.now)
            if self.chance.random() < 0.002:
                self.check_sums()
        self.check_sums()
        return self

    def check_sums(self):
        """Exact sums: debts are what was borrowed and not repaid; no bucket exceeds its capacity."""
        for made in self.gates:
            made.credits.return_all(self.now)
            for n in made.tree.nodes():
                for split in n.splits:
                    if split is None:
                        continue
                    time = split.advance(self.now)
                    holds = split.pool_capacity + sum(p.capacity + p.reserved.capacity for p in split.parts)
                    levels = split.pool + sum(
                        p.bucket_level(time) + p.reserved.level_at(time) for p in split.parts
                    )
                    assert holds == split.capacity and levels <= holds
                    for p in split.parts:
                        repaid = p.repaid + p.debt - p.debt_at(time)
                        assert p.borrowed - repaid == p.debt_at(time) >= 0


def test_credits_exceed_no_limit_in_any_window():
    sites = [Site(seed).play() for seed in range(6)]
    assert sum(s.passed for s in sites) > 10_000


def test_moving_fractions_exceed_no_limit_together():
    sites = [Site(seed, 4, leased=True).play() for seed in range(6)]
    assert sum(s.passed for s in sites) > 5_000


def _lock_without_capacity(self, part, reserved, own, pool, now):
    if part is None:
        self.pool -= pool
    else:
        self.take(part, reserved, own, pool, now)


def _never_recalled(self, now):
    return False


_settle, _scale = Tree.return_credit, UnscaledLimit.scale


def _more_returned(node_, plan, messages, size, now):
    """More is returned than was left."""
    _settle(node_, plan, messages + 1, size, now)


def _keeps_level(self, k, now):
    """Levels grow with the fraction."""
    pool = self.split.pool
    _scale(self, k, now)
    self.split.pool = max(pool, self.split.pool_capacity)


BUGS = {
    "buckets keep their capacity while a credit is outstanding": (Split, "lock", _lock_without_capacity),
    "more is returned than was left": (Tree, "return_credit", staticmethod(_more_returned)),
    "a growing fraction gets a full bucket": (UnscaledLimit, "scale", _keeps_level),
}


@pytest.mark.parametrize("name", BUGS)
def test_a_seeded_fault_is_found(name):
    with mock.patch.object(*BUGS[name]), pytest.raises(AssertionError):
        for seed in range(20):
            Site(seed, 4, leased=True).play()
            Site(seed).play()


def test_the_ordinary_message_checks_no_limit():
    made, asked = gate(), []
    plan = Tree._plan
    with mock.patch.object(Tree, "_plan", lambda *args: asked.append(1) or plan(*args)):
        for n in range(400):
            assert made.admit("choir", "notice", 20, 0, n * 10_000).passed
    assert len(asked) < 60


def test_nothing_is_rejected_while_a_credit_is_outstanding():
    made = gate()
    for n in range(40):
        assert made.admit("choir", "notice", 0, 0, n).passed
    assert made.credits.outstanding
    passed = sum(made.admit("band", "notice", 0, 0, 100).passed for _ in range(400))
    exact = gate()
    with mock.patch.object(Credits, "draw", lambda *args: False):
        for n in range(40):
            assert exact.admit("choir", "notice", 0, 0, n).passed
        assert sum(exact.admit("band", "notice", 0, 0, 100).passed for _ in range(400)) == passed


def test_a_credit_is_drawn_from_plenty_only_and_borrows_nothing():
    made = gate()
    while made.admit("choir", "notice", 0, 0, 0).passed:
        for credit in made.credits.outstanding:
            assert credit.size * (CREDIT_SPARE_FACTOR + 1) <= BURST // 2
    assert made.usage(0)[0].owed > 0  # the rest was borrowed, a message at a time


def test_what_a_credit_has_left_is_returned_within_a_second():
    made = gate()
    for n in range(10):
        made.admit("choir", "notice", 0, 0, n)
    assert made.admit("choir", "notice", 0, 0, 5 * S).passed
    whole = made.tree.root.children["school"].splits[0]
    assert (
        not made.credits.outstanding
    )  # the one drawn five seconds ago was returned with the first message after it
    now = whole.advance(6 * S)
    assert whole.capacity == whole.pool + sum(
        p.bucket_level(now) + p.reserved.level_at(now) for p in whole.parts
    )


# Leases


def test_nothing_passes_before_the_first_lease_nor_under_an_expired_one():
    made = gate(leased=True, couriers=4)
    found = made.admit("choir", "notice", 10, 0, 0)
    assert not found.passed and not found.reason and 0 < found.retry_after_us < 3 * S
    made.set_lease("school", 1.0, 4 * S, 0.0, 0)
    while made.admit("choir", "notice", 10, 0, 4 * S - 1).passed and not made.credits.outstanding:
        pass
    assert made.credits.outstanding  # a credit is outstanding whose second is not over
    assert not made.admit("choir", "notice", 10, 0, 4 * S).passed
    assert made.leased.nodes["school"].fraction == 0


def test_a_message_gets_retry_after_if_the_whole_limit_could_pass_it():
    made = gate(leased=True)
    made.set_lease("school", 0.01, 4 * S, 0.0, 0)
    assert made.admit("choir", "notice", 60_000, 0, 0).retry_after_us > 0
    assert "can never pass" in made.admit("choir", "notice", 2 * SIZES, 0, 0).reason
    school = made.leased.nodes["school"]
    ((_, _, largest),) = made.take_demand().values()
    assert made.leased.needed_fraction(school, 0.0, 0.0, largest) >= 0.6


def test_the_need_is_that_of_the_dominant_dimension():
    made = gate(leased=True)
    school = made.leased.nodes["school"]
    assert made.leased.needed_fraction(school, RATE / 4, SIZES / 2, 0) == pytest.approx(0.5)
    assert made.leased.needed_fraction(school, RATE / 4, SIZES / 8, 0) == pytest.approx(0.25)
    assert made.leased.needed_fraction(school, 9 * RATE, 0.0, 0) == 1.0


def test_debts_stay_as_a_fraction_falls_and_are_paid_by_its_earnings():
    made = gate(leased=True)
    made.set_lease("school", 1.0, 4 * S, 0.0, 0)
    now = 3 * S
    while made.admit("choir", "notice", 0, 0, now).passed:
        pass
    owed = made.usage(now)[0].owed
    made.set_lease("school", 0.5, 100 * S, 0.0, now)
    assert made.usage(now)[0].owed == owed > 0
    half = next(n for n in range(1, 2_000) if not made.usage(now + n * S // 100)[0].owed)
    assert half == pytest.approx(owed / (RATE / 2 - RATE / 8) * 2 * 100, abs=3)
    kept = made.dump(now)
    assert not kept  # these limits are per second


def test_an_hourly_debt_survives_a_restart_before_the_first_lease():
    hourly = [
        node("school", limit={"messages_per_h": 4_000}),
        *(node(n, "school", [n], share={"messages_per_h": 2_000}) for n in ("choir", "band")),
    ]
    made = gate(leased=True, nodes=hourly)
    made.set_lease("school", 1.0, 4_000 * S, 0.0, 0)
    while made.admit("choir", "notice", 0, 0, 3_600 * S).passed:
        pass
    owed = made.usage(3_600 * S)[0].owed
    again = gate(leased=True, nodes=hourly)
    again.restore(made.dump(3_600 * S), 0, 0)
    assert again.usage(0)[0].owed == owed > 0
    assert not again.admit("choir", "notice", 0, 0, 0).passed


def test_quotas_beyond_those_leased_are_divided_equally():
    many = [
        node(f"n{n}", tenants=[f"t{n}"], limit={"messages_per_s": 40}) for n in range(LEASED_NODES_MAX + 1)
    ]
    made = gate(leased=True, couriers=4, nodes=many)
    assert made.leased.unleased_count == 1
    last = f"t{LEASED_NODES_MAX}"
    assert sum(made.admit(last, "notice", 0, 0, 0).passed for _ in range(30)) == 10
    assert not made.admit("t0", "notice", 0, 0, 0).passed
