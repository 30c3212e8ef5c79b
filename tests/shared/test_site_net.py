"""Twenty couriers of a site and one partner in virtual time: outage, refusal of one courier, nonsense."""

import pytest
from site_net import ModelPartner, S, SiteNetwork, settled

from madderbeam.membership.values import GossipEntry, GossipReceived, MemberId
from madderbeam.policy.events import AttemptResult
from madderbeam.shared.findings import BODY_FORMAT

MEMBERS, EACH = 20, 5.0  # messages a second


@pytest.fixture(scope="module")
def base():
    return settled(MEMBERS)


def scene(base, seed=1, share=True, capacity=200, calm_s=4):
    made = SiteNetwork(base, seed, share, [EACH] * MEMBERS, ModelPartner(capacity))
    made.run(calm_s * S)
    return made


def while_out(base, seed, share, mode="out"):
    one = scene(base, seed, share)
    one.partner.mode, at = mode, one.now
    one.run(6 * S)
    return [m for t, m in one.partner.calls if t >= at], one


@pytest.mark.parametrize("mode", ["out", "hang"])
def test_a_partner_that_is_out_gets_few_calls(base, mode):
    calls = [[len(while_out(base, seed, share, mode)[0]) for seed in (1, 2, 3)] for share in (False, True)]
    assert sum(calls[1]) * (6 if mode == "out" else 2) < sum(calls[0]), calls


def test_a_retry_after_for_one_courier_binds_the_others_soon(base):
    one = scene(base)
    one.partner.mode, one.partner.wait_us, at = "wait", one.now + 3 * S, one.now
    one.run(3 * S)
    late = [t for t, _ in one.partner.calls if at + S // 5 < t < one.partner.wait_us]
    assert not late


def test_the_prober_changes_after_a_turn(base):
    calls, one = while_out(base, 4, True)
    at = one.now
    one.run(14 * S)
    tried = [m for t, m in one.partner.calls if t >= at]
    assert len(set(tried)) >= 2 and len(tried) <= 60


def test_a_partner_that_refuses_one_courier_is_served_by_all_others(base):
    def served(refuses):
        one = scene(base, seed=3)
        alone, inner, count = MemberId("s0", "m0"), one.partner.call, {}

        def call(now, chance, member, a):
            if refuses and member == alone:
                return AttemptResult.RESET, 1000, 0
            count[member] = count.get(member, 0) + 1
            return inner(now, chance, member, a)

        one.partner.call = call
        one.run(20 * S)
        return sum(n for m, n in count.items() if m != alone), one

    with_all, _ = served(False)
    without, one = served(True)
    assert without > 0.95 * with_all
    assert not any(1 in c.shared.held_off for c in one.couriers.values())


def test_random_call_failures_cost_little(base):
    def served(share):
        one = scene(base, seed=5, share=share)
        inner = one.partner.call

        def call(now, chance, member, a):
            return (AttemptResult.RESET, 1000, 0) if chance.random() < 0.1 else inner(now, chance, member, a)

        one.partner.call, at = call, one.now
        one.run(30 * S)
        return sum(t >= at for t in one.partner.answers)

    assert served(True) > 0.93 * served(False)


@pytest.mark.parametrize("seed", range(4))
def test_a_partner_sized_for_its_traffic_returns_without_overload(base, seed):
    one = scene(base, seed, capacity=MEMBERS * EACH)
    one.partner.mode = "out"
    one.run(5 * S)
    one.partner.returns(one.now)
    back = one.now
    one.run(14 * S)
    assert one.partner.fell_us < 0
    assert min(t for t in one.partner.answers if t >= back) < back + 1.2 * S
    assert sum(t >= back + 10 * S for t in one.partner.answers) >= 4 * MEMBERS * EACH * 0.9


@pytest.mark.parametrize(
    ("kind", "value"),
    [("full", 0.0), ("limit", 1e-9), ("limit", 1e11), ("outage", 1e11), ("doubt", 0.5), ("back", 3.0)],
)
def test_nonsense_of_one_member_costs_little_and_expires(base, kind, value):
    def served(with_nonsense):
        one = scene(base, seed=6)
        source = MemberId("s0", "m0")
        uid = b"p-1" if kind == "full" else b""
        for n in range(60 if with_nonsense else 0):
            entry = GossipEntry(
                source,
                f"news/{kind}/1" + ("/x" if uid else ""),
                n + 1,
                BODY_FORMAT.pack(len(uid), 365 * 86_400 * S, value) + uid,
            )
            for member, courier in one.couriers.items():
                if member != source:
                    courier.tell_news(GossipReceived(entry))
            one.run(S // 2)
        if not with_nonsense:
            one.run(30 * S)
        return len(one.partner.answers)

    assert served(True) > 0.9 * served(False)
