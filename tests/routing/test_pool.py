"""Tests of pools against a reference model of nginx's documentation, and of single rules."""

import random
import time
from collections import Counter

import oracle
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from madderbeam.policy.events import AttemptResult
from madderbeam.routing.pool import Method, Policy, Pool, Server
from madderbeam.routing.router import Router, RoutingError
from madderbeam.routing.subset import select_subset

S = 1_000_000
METHODS = {"round_robin": Method.ROUND_ROBIN, "least_conn": Method.LEAST_CONN, "hash": Method.HASH}


def pool(*servers, method=Method.ROUND_ROBIN, randomize_start=False, seed=1, **policy):
    return Pool(Policy(method, **policy), servers, random.Random(seed), randomize_start)


def first(p, now=0, message=1, tried=(), key=""):
    """Return the server that the engine would use if its checks admit all."""
    for _, tier in p.tiers(message, key, tried, now):
        for ident in tier:
            return ident
    return None


def send(p, now=0, message=1, tried=(), key="", result=AttemptResult.OK):
    ident = first(p, now, message, tried, key)
    if ident is not None:
        p.call_started(message, ident, now)
        if result is not None:
            p.call_ended(ident, result, False, now)
    return ident


def a(ident, **more):
    return Server(ident, f"10.0.0.{ident}:80", **more)


def test_five_one_one_is_smooth():
    p = pool(a(1, weight=5), a(2), a(3))
    assert [send(p) for _ in range(14)] == [1, 1, 2, 1, 3, 1, 1] * 2


def test_all_primaries_are_ejected_then_one_recovers():
    p = pool(a(1, max_fails=1), a(2, max_fails=1), a(3, backup=True))
    assert [send(p, 0, result=AttemptResult.RESET), send(p, 1, result=AttemptResult.RESET)] == [1, 2]
    assert [send(p, 2), send(p, 3)] == [3, 3]  # backups only, while the primaries are ejected
    assert send(p, 10 * S + 1) in (1, 2) and send(p, 10 * S + 2) != 3


def test_a_pool_with_only_backups_serves_from_them():
    p = pool(a(1, backup=True), a(2, backup=True, weight=2))
    assert Counter(send(p) for _ in range(30)) == {1: 10, 2: 20}


def test_the_only_enabled_server_is_never_ejected():
    p = pool(a(1, max_fails=1), a(2, down=True))
    assert [send(p, n, result=AttemptResult.CONNECT_FAILED) for n in range(5)] == [1] * 5
    assert p.recovers_at_us(6) == 0


def test_max_fails_counts_failures_within_fail_timeout_only():
    p = pool(a(1, weight=3, max_fails=2, fail_timeout_us=S), a(2))
    p.call_ended(1, AttemptResult.TIMEOUT, False, 0)
    p.call_ended(1, AttemptResult.TIMEOUT, False, 2 * S)  # the first failure has expired
    assert first(p, 2 * S) == 1
    p.call_ended(1, AttemptResult.TIMEOUT, False, 2 * S + 10)
    assert [send(p, 2 * S + 20) for _ in range(4)] == [2] * 4
    assert first(p, 3 * S + 11) == 1


def test_an_ejected_server_is_probed_by_one_call_and_reported_as_recovering():
    p = pool(a(1, max_fails=1, fail_timeout_us=S, weight=100), a(2))
    assert send(p, 0, result=AttemptResult.RESET) == 1
    assert (
        first(p, S + 1) == 1 and p.call_started(7, 1, S + 1) is True
    )  # recovering: the engine begins a slow start
    assert first(p, S + 2) == 2  # no second call while the probe is in flight
    p.call_ended(1, AttemptResult.RESET, False, S + 3)
    assert first(p, S + 4) == 2 and first(p, 2 * S + 4) == 1  # ejected for the same time again
    assert p.call_started(8, 1, 2 * S + 4) is True
    p.call_ended(1, AttemptResult.OK, False, 2 * S + 5)
    assert p.call_started(9, 1, 2 * S + 6) is False


def test_slow_start_raises_the_share_to_the_full_weight():
    p = pool(a(1, max_fails=1, fail_timeout_us=S, slow_start_us=8 * S), a(2))
    send(p, 0, result=AttemptResult.RESET)
    p.call_started(1, 1, 2 * S)
    p.call_ended(1, AttemptResult.OK, False, 2 * S)
    shares = []
    for begin in range(2, 12, 2):
        picks = Counter(send(p, begin * S + n * 1000) for n in range(400))
        shares.append(picks[1] / 400)
    assert shares[0] < 0.15 and shares == sorted(shares) and 0.47 < shares[-1] < 0.53


def test_a_server_at_max_conns_is_skipped_until_a_call_ends():
    p = pool(a(1, weight=9, max_conns=1), a(2))
    assert [send(p, result=None), send(p, result=None), send(p, result=None)] == [1, 2, 2]
    p.call_ended(1, AttemptResult.OK, False, 1)
    assert first(p) == 1


def test_an_attempted_server_is_used_again_only_after_all_others():
    p = pool(a(1, weight=9), a(2), a(3, backup=True))
    assert first(p, tried=(1,)) == 2 and first(p, tried=(1, 2)) == 3
    assert first(p, tried=(1, 2, 3)) == 1  # then the first one again


def test_backups_are_a_tier_of_their_own():
    p = pool(a(1, max_fails=1), a(2, backup=True))
    tiers = [[*ids] for _, ids in p.tiers(1, "", (), 0)]
    assert tiers == [[1], [2]]  # the engine decides when to go to the next tier


def test_fails_on_selects_the_outcomes_that_count():
    for result, names, out in (
        (AttemptResult.ERROR, {"http_500"}, True),
        (AttemptResult.ERROR, {"error"}, False),
        (AttemptResult.OVERLOADED, {"overload"}, True),
        (AttemptResult.OVERLOADED, {"error"}, False),
        (AttemptResult.TIMEOUT, {"timeout"}, True),
        (AttemptResult.NOT_SENT, {"error"}, False),
    ):
        p = pool(a(1, max_fails=1, weight=9), a(2), fails_on=frozenset(names))
        send(p, result=result)
        assert (first(p, 1) == 2) is out, (result, names)


def test_recovery_time_if_all_servers_are_ejected():
    p = pool(a(1, max_fails=1, fail_timeout_us=5 * S), a(2, max_fails=1, fail_timeout_us=3 * S))
    send(p, 0, result=AttemptResult.RESET)
    assert p.recovers_at_us(1) == 0
    send(p, 10, result=AttemptResult.RESET)
    assert p.recovers_at_us(11) == 10 + 3 * S and first(p, 11) is None
    assert first(p, 10 + 3 * S) == 2 and p.recovers_at_us(10 + 3 * S) == 0


def test_a_changed_list_keeps_ejections_calls_and_rotation():
    p = pool(a(1, max_fails=1), a(2, max_conns=1), a(3))
    assert [send(p, result=AttemptResult.RESET), send(p, result=None), send(p)] == [1, 2, 3]
    p.replace([a(1, max_fails=1), a(2, max_conns=1), a(3), a(4)], 5, random.Random(1))
    assert {send(p, 6 + n) for n in range(8)} == {3, 4}
    p.replace([a(4)], 20, random.Random(1))
    p.call_ended(2, AttemptResult.OK, False, 21)  # of a removed server
    assert first(p, 22) == 4


ROWS = st.lists(
    st.fixed_dictionaries(
        {
            "weight": st.integers(1, 5),
            "backup": st.booleans(),
            "down": st.sampled_from([False, False, False, True]),
            "max_conns": st.sampled_from([0, 0, 0, 1, 2]),
            "max_fails": st.integers(0, 3),
            "fail_timeout": st.integers(1, 4),
        }
    ),
    min_size=1,
    max_size=6,
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ok", "fail", "hold", "end", "retry"]),
        st.integers(0, 1500),
        st.text("ab", max_size=2),
    ),
    max_size=40,
)


@settings(max_examples=400, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(ROWS, STEPS, st.sampled_from(sorted(METHODS)))
def test_choices_are_those_of_the_documented_model(rows, steps, method):
    if method == "hash":
        rows = [row | {"backup": False} for row in rows]
    servers = [
        Server(
            n,
            f"s{n}",
            r["weight"],
            r["backup"],
            r["down"],
            r["max_conns"],
            r["max_fails"],
            r["fail_timeout"] * S,
        )
        for n, r in enumerate(rows)
    ]
    model = oracle.Upstream(
        [oracle.Peer(f"s{n}", **r | {"fail_timeout": r["fail_timeout"] * S}) for n, r in enumerate(rows)],
        method,
    )
    mine = pool(*servers, method=METHODS[method])
    now, held = 0, []
    for n, (what, later, key) in enumerate(steps):
        now += later * 1000 + 1
        if what == "end":
            if held:
                peer = held.pop(0)
                model.end(peer, False, now)
                mine.call_ended(int(peer.name[1:]), AttemptResult.OK, False, now)
            continue
        tried = ()
        for _ in range(3 if what == "retry" else 1):
            peer = model.choose(now, [f"s{t}" for t in tried], key)
            got = next((ident for _, ids in _untried(mine, n, key, tried, now) for ident in ids), None)
            if peer is oracle.ANY:  # the documentation does not say which server
                return
            assert got == (int(peer.name[1:]) if peer else None), (what, now, tried)
            if peer is None:
                break
            model.begin(peer, now)
            mine.call_started(n, got, now)
            if what == "hold":
                held.append(peer)
                break
            bad = what in ("fail", "retry")
            model.end(peer, bad, now)
            mine.call_ended(got, AttemptResult.RESET if bad else AttemptResult.OK, False, now)
            tried += (got,)


def _untried(mine, message, key, tried, now):
    """Return the tiers of servers not attempted yet: nginx stops there, the courier retries the others."""
    whole = list(mine.tiers(message, key, tried, now))
    return whole[: len(whole) // 2] if tried else whole


# Hashes


@pytest.mark.parametrize("method", [Method.HASH, Method.CONSISTENT])
def test_one_key_stays_at_one_server_by_weight(method):
    p = pool(*(a(n, weight=1 + (n == 1) * 3) for n in range(1, 7)), method=method)
    picks = {key: send(p, key=f"k{key}") for key in range(3000)}
    assert all(send(p, key=f"k{key}", message=9) == picks[key] for key in range(0, 3000, 100))
    counts = Counter(picks.values())
    assert 0.36 < counts[1] / 3000 < 0.52 and min(counts.values()) > 150


def test_consistent_hash_while_58_percent_of_the_servers_are_replaced():
    old = [Server(n, f"10.0.0.{n}:80") for n in range(50)]
    new = old[:21] + [Server(n, f"10.0.1.{n}:80") for n in range(100, 129)]
    before, after = pool(*old, method=Method.CONSISTENT), pool(*new, method=Method.CONSISTENT)
    keys = [f"ensemble-{n}" for n in range(4000)]
    moved = sum(first(before, key=k) != first(after, key=k) for k in keys) / len(keys)
    assert 0.58 <= moved < 0.58 + 0.2  # the minimum is the keys of the removed servers
    plain = [pool(*servers, method=Method.HASH) for servers in (old, new[1:])]
    assert sum(first(plain[0], key=k) != first(plain[1], key=k) for k in keys) / len(keys) > 0.9


def test_hash_methods_wait_for_a_busy_server():
    p = pool(a(1), a(2), method=Method.CONSISTENT)
    assert [waited for waited, _ in p.tiers(1, "k", (), 0)][0] is True
    assert [waited for waited, _ in p.tiers(1, "k", (1,), 0)][0] is False


# Random, zones, subsets


def test_random_methods_follow_weights_and_random_two_prefers_the_less_loaded():
    p = pool(a(1, weight=3), a(2), method=Method.RANDOM)
    counts = Counter(send(p, message=n) for n in range(4000))
    assert 0.71 < counts[1] / 4000 < 0.79
    p = pool(*(a(n) for n in range(1, 11)), method=Method.RANDOM_TWO)
    for n in range(200):
        send(p, message=n, result=None)  # all calls stay in flight
    assert (
        max(p.calls_in_flight.values()) - min(p.calls_in_flight.values()) <= 6
    )  # 200 calls on 10 servers; a single draw gives a spread above 15


def test_couriers_together_follow_the_weights_and_do_not_choose_in_lockstep():
    servers = [a(1, weight=5), a(2, weight=3), a(3, weight=2)]
    pools = [pool(*servers, randomize_start=True, seed=n) for n in range(40)]
    rounds = [Counter(send(p) for p in pools) for _ in range(50)]
    whole = sum(rounds, Counter())
    assert abs(whole[1] - 1000) <= 40 and abs(whole[2] - 600) <= 40 and abs(whole[3] - 400) <= 40
    assert max(row[1] for row in rounds) < 32  # in lockstep all 40 would choose the heaviest at once


def test_local_zone_is_preferred_and_spills_over():
    servers = [a(n, zone="here", max_fails=1) for n in (1, 2, 3, 4)]
    servers += [a(n, zone="there") for n in (5, 6, 7, 8)]
    p = pool(*servers, zone="here", spill=0.8)
    assert {send(p, message=n) for n in range(40)} == {1, 2, 3, 4}
    for ident in (1, 2):
        p.call_ended(ident, AttemptResult.RESET, False, 100)
    picks = Counter(send(p, 200, message=n) for n in range(1000))
    near = (picks[3] + picks[4]) / 1000
    assert abs(near - 0.5 / 0.8) < 0.05 and not picks[1]  # the others go to the other zone
    for ident in (3, 4):
        p.call_ended(ident, AttemptResult.RESET, False, 300)
    assert {send(p, 400, message=n) for n in range(40)} == {5, 6, 7, 8}


def test_subsets_are_even_and_bounded_and_change_little():
    names = [f"10.1.{n // 250}.{n % 250}:80" for n in range(1000)]
    parts = [select_subset(names, me, 100, 30) for me in range(100)]
    counts = Counter(name for each in parts for name in each)
    assert all(len(each) == 30 for each in parts)
    assert set(counts) == set(names) and set(counts.values()) == {3}
    fewer = [select_subset(names[1:], me, 100, 30) for me in range(100)]
    assert max(len(set(x) - set(y)) for x, y in zip(fewer, parts, strict=True)) <= 2
    assert select_subset(names, 3, 100, 30) == select_subset(list(reversed(names)), 3, 100, 30)
    assert select_subset(names[:5], 3, 100, 30) == select_subset(names[:5], 9, 100, 0)


def test_cost_of_a_choice_does_not_grow_with_the_pool():
    def cpu_seconds(count, method):
        p = pool(
            *(Server(n, f"10.{n // 250}.1.{n % 250}:80", 1 + n % 3, max_fails=1) for n in range(count)),
            method=method,
        )
        best = 1e9
        for _ in range(3):
            start = time.process_time()
            for n in range(300):
                send(p, n, message=n, key=f"k{n}")
            best = min(best, time.process_time() - start)
        return best

    for method in Method:
        assert cpu_seconds(5000, method) < 6 * cpu_seconds(50, method), method


# The router


def raw(**more):
    whole = {"form": 1, "names": {"venue": 1, "choir": 2}, "pools": {"1": {"servers": []}}, "routes": []}
    return whole | more


def test_names_paths_and_classes_resolve_to_destinations():
    r = Router(1)
    r.configure(
        raw(
            routes=[
                {"on": "path", "match": "", "text": "/rooms/", "to": 1},
                {"on": "path", "match": "~", "text": "^/c", "to": 2},
                {"on": "class", "match": "=", "text": "deposit", "to": 1},
                {"on": "name", "match": "^~", "text": "v-", "to": 1},
            ]
        )
    )
    assert r.destination("", "/rooms//x/../%6c?q=1", "any") == 1
    assert r.destination("", "/choir", "any") == 2 and r.destination("", "/other", "any") is None
    assert r.destination("choir", "", "any") == 2 and r.destination("v-7", "", "any") == 1
    assert r.destination("nobody", "", "any") is None
    assert r.destination("", "", "deposit") == 1 and r.destination("", "", "notice") is None
    for path in ("rooms", "/%zz", "/../x", "/%ff", "/%00", "/" + "x" * 5000):
        with pytest.raises(ValueError) as error:
            r.destination("", path, "any")
        assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    "change, field",
    [
        ({"form": 2}, "routing.form"),
        ({"pools": {"1": {"method": "magic"}}}, "method"),
        ({"pools": {"1": {"hash_on": "moon"}}}, "hash_on"),
        ({"pools": {"1": {"fails_on": ["rain"]}}}, "fails_on"),
        ({"pools": {"1": {"spill": 0}}}, "spill"),
        ({"pools": {"1": {"subset": -1}}}, "subset"),
        ({"pools": {"1": {"servers": [{"address": "a:1", "weight": 0}]}}}, "weight"),
        ({"pools": {"1": {"servers": [{"address": "a:1", "wait": 1}]}}}, "no such setting"),
        ({"pools": {"1": {"servers": [{"address": "a:1", "down": 1}]}}}, "down"),
        ({"routes": [{"on": "path", "match": "=", "text": "/", "to": 9}]}, "routing.routes[0].to"),
        ({"routes": [{"on": "moon", "match": "=", "text": "/", "to": 1}]}, "routing.routes[0]"),
        ({"routes": [{"on": "path", "match": "~", "text": "(", "to": 1}]}, "text"),
    ],
)
def test_invalid_routing_keeps_the_previous_configuration(change, field):
    r = Router(1)
    r.configure(raw())
    r.set_endpoints([(1, 1, "10.0.0.1:80", "")], 0)
    with pytest.raises(RoutingError) as error:
        r.configure(raw(**change))
    assert field in str(error.value) and "\n" not in str(error.value)
    assert r.covers(1) and r.destination("venue", "", "") == 1


def test_servers_keep_the_configured_order_and_removed_pools_are_dropped():
    r = Router(1)
    servers = [{"address": "10.0.0.9:80"}, {"address": "10.0.0.1:80", "weight": 2}]
    r.configure(raw(pools={"1": {"servers": servers}}))
    r.set_endpoints([(1, 1, "10.0.0.1:80", ""), (2, 1, "10.0.0.9:80", ""), (3, 2, "10.0.0.3:80", "")], 0)
    assert [s.id for s in r.pools[1].servers.values()] == [2, 1] and not r.covers(2)
    r.configure(raw(pools={}))
    r.set_endpoints([(1, 1, "10.0.0.1:80", "")], 1)
    assert not r.covers(1) and not r.pools and not r.listed_servers


def test_a_changed_policy_keeps_the_ejections_of_the_pool():
    r = Router(1)
    servers = [{"address": "a:1", "max_fails": 1}, {"address": "b:1", "max_fails": 1}]
    r.configure(raw(pools={"1": {"servers": servers}}))
    rows = [(1, 1, "a:1", ""), (2, 1, "b:1", "")]
    r.set_endpoints(rows, 0)
    r.attempt_ended(1, 1, AttemptResult.RESET, False, 1)
    r.configure(raw(pools={"1": {"servers": servers, "method": "least_conn"}}))
    r.set_endpoints(rows, 2)
    assert first(r.pools[1], 3) == 2 and r.metrics()["route.marked"] == 1
