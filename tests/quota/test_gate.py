"""Admission by quotas: which node counts, what the client is told, what survives the process.

Also a courier with quotas on loopback.
"""

import asyncio
import json
import random
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loopback import Client, beside, bounded
from test_pooled_courier import ESTATE, Pooled

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.host.quota import QuotaComponent
from madderbeam.ports.real import RealClock, RealDisk
from madderbeam.quota.admission import BORROWED_WEIGHT, QuotaAdmission, QuotaError
from madderbeam.quota.split import HOUR_US, UNITS_EACH

S = 1_000_000


def node(name, parent="", tenants=(), classes=(), **rates):
    row = {"name": name, "parent": parent, "tenants": list(tenants), "classes": list(classes)}
    return row | rates


def gate(*nodes, couriers=1, now=0, places=100):
    return QuotaAdmission(
        {"form": 1, "couriers": couriers, "nodes": list(nodes)}, now, random.Random(1), places
    )


def school(reserved=5, hour=None):
    """A school of two ensembles, with ten messages a second each of twenty, some of each share reserved."""
    hourly_limit = {"messages_per_h": hour} if hour else {}
    hourly_share = {"messages_per_h": hour // 2} if hour else {}
    hourly_reserved = {"messages_per_h": hour // 4} if hour else {}
    return [
        node("school", limit={"messages_per_s": 20, **hourly_limit}),
        node(
            "choir",
            "school",
            ["choir"],
            share={"messages_per_s": 10, **hourly_share},
            reserved={"messages_per_s": reserved, **hourly_reserved},
        ),
        node(
            "band",
            "school",
            ["band"],
            share={"messages_per_s": 10, **hourly_share},
            reserved={"messages_per_s": reserved, **hourly_reserved},
        ),
    ]


def test_a_burst_below_the_number_of_couriers_is_no_default():
    # It divided to 0, which stands for one second's amount: 100 at once at each of four couriers.
    limited = node("school", tenants=["choir"], limit={"messages_per_s": 400, "burst_messages": 3})
    assert passes(gate(limited, couriers=4), "choir", 0) == 1


@pytest.mark.parametrize("row", [["school/choir", 2], ["school/choir", 2, "part", "x", 0, 0, 0], None, 7])
def test_a_malformed_row_leaves_the_other_limits_and_its_own_starts_empty(row):
    # It ended the restore midway: the limits behind it started full, as if nothing had been used.
    nodes = school(reserved=0, hour=400)
    used = gate(*nodes)
    assert passes(used, "band", 0, most=20) > 10
    now = 3 * S
    rows = used.dump(now)
    first = next(i for i, saved in enumerate(rows) if saved[0].endswith("choir") and saved[2] == "part")
    rows[first] = row
    whole, again = gate(*nodes, now=now), gate(*nodes, now=now)
    whole.restore(used.dump(now), 0, now)
    assert again.restore(rows, 0, now) == 1
    levels = {tuple(kept[:3]): kept[3:] for kept in again.dump(now)}
    expected = {tuple(kept[:3]): kept[3:] for kept in whole.dump(now)}
    spoilt = next(key for key in expected if key[0].endswith("choir") and key[2] == "part")
    assert levels[spoilt][0] == 0 < expected[spoilt][0]
    assert {k: v for k, v in levels.items() if k != spoilt} == {
        k: v for k, v in expected.items() if k != spoilt
    }


@pytest.mark.parametrize("text", ["{", '{"form": 2, "at": 0, "rows": []}', '{"form": 1, "at": 0}'])
def test_hourly_limits_start_empty_if_their_file_can_not_be_read(tmp_path, text):
    # They started full, whatever had been used.
    config = SimpleNamespace(
        settings=SimpleNamespace(max_pending=10), seed=1, federation=None, state=str(tmp_path / "state")
    )
    raw = {"form": 1, "couriers": 1, "nodes": school(reserved=0, hour=400)}

    def levels():
        quota = QuotaComponent(config, raw, RealDisk(), RealClock(), lambda: 0)
        return [row[3] for row in quota.quota_admission.dump(quota.clock.monotonic_us())]

    assert all(level > 10 * UNITS_EACH for level in levels() if level)
    (tmp_path / "state-quota.json").write_text(text)
    assert all(level < UNITS_EACH for level in levels())  # the time since then has yielded a little


def passes(g, tenant, now, most=1000, size=0, cls="notice", held=0):
    passed = 0
    while passed < most and g.admit(tenant, cls, size, held, now).passed:
        passed += 1
    return passed


def test_a_message_counts_at_its_most_specific_node():
    g = gate(
        node("federation", limit={"messages_per_s": 100}),
        node("choir", "federation", ["choir"], share={"messages_per_s": 50}),
        node("choir-deposits", "choir", ["choir"], ["deposit"]),
        node("deposits", "federation", [], ["deposit"], share={"messages_per_s": 10}),
    )
    keys = (("choir", "notice"), ("choir", "deposit"), ("band", "deposit"), ("band", "notice"))
    assert [g.node(*key).name for key in keys] == ["choir", "choir-deposits", "deposits", g.tree.root.name]


def test_a_flood_borrows_within_its_organization_only():
    g = gate(*school(), node("other", limit={"messages_per_s": 8}, tenants=["other"]))
    assert passes(g, "choir", 0) <= 20 - 5  # never what the band has reserved
    assert passes(g, "band", 0) >= 5 and passes(g, "other", 0) == 8
    later = [g.admit("choir", "notice", 0, 0, n * 1000).passed for n in range(1, 3000)]
    assert sum(later) <= 3 * 20


def test_borrowing_messages_weigh_less_and_are_rejected_among_many_pending():
    g = gate(*school())
    verdicts = [g.admit("choir", "notice", 0, 0, 0) for _ in range(12)]
    own = [v for v in verdicts if v.passed and not v.borrowed]
    lent = [v for v in verdicts if v.passed and v.borrowed]
    assert own and lent and {v.weight for v in own} == {1.0} and {v.weight for v in lent} == {BORROWED_WEIGHT}
    g = gate(*school())
    found = [g.admit("choir", "notice", 0, 60, 0) for _ in range(12)]
    assert [v.passed for v in found].count(True) == len(own) and found[-1].retry_after_us > 0
    assert not any(u.owed for u in g.usage(0))  # rejected messages borrow nothing
    assert g.admit("band", "notice", 0, 99, 0).passed  # within its own share only the engine decides


def test_retry_after_is_accurate_and_jittered():
    g = gate(*school())
    passes(g, "choir", 0)
    retry_after_us = [g.admit("choir", "notice", 0, 0, 0).retry_after_us for _ in range(50)]
    assert min(retry_after_us) > 0 and len(set(retry_after_us)) > 20
    assert g.admit("choir", "notice", 0, 0, min(retry_after_us)).passed


def test_64_kib_against_10_kib_a_second_can_never_pass():
    g = gate(node("choir", tenants=["choir"], limit={"bytes_per_s": 10_240}))
    found = g.admit("choir", "notice", 65_536, 0, 0)
    assert (
        not found.passed
        and "can never pass" in found.reason
        and "10240" in found.reason
        and not found.retry_after_us
    )
    assert g.admit("choir", "notice", 10_240, 0, 0).passed


def test_an_idle_borrower_repays_and_a_returning_lender_has_its_reserved_part():
    g = gate(*school(reserved=5))
    passes(g, "choir", 0)
    owed = {u.node: u.owed for u in g.usage(1)}
    assert owed["all/school/choir"] > 0
    assert passes(g, "band", 2) >= 5
    assert not {u.owed for u in g.usage(11 * S)} - {0}  # repaid within ten seconds while idle


def restarted(g, nodes, kept, after_us, now=50 * S):
    fresh = gate(*nodes, now=now)
    fresh.restore(json.loads(json.dumps(kept)), after_us, now)
    return fresh


def test_debts_and_hourly_usage_survive_the_process():
    nodes = school(hour=4000)
    g = gate(*nodes)
    for n in range(600):
        g.admit("choir", "notice", 0, 0, n * 100_000)
    now = 60 * S
    before = {(u.node, u.dimension): u for u in g.usage(now)}
    again = restarted(g, nodes, g.dump(now), 0)
    after = {(u.node, u.dimension): u for u in again.usage(50 * S)}
    for key in (("all/school/choir", "messages a hour"), ("all/school/band", "messages a hour")):
        assert after[key].owed == before[key].owed
        assert before[key].room * 0.9 <= after[key].room <= before[key].room
    assert passes(again, "choir", 50 * S) == 0  # buckets per second start empty


def test_limits_that_shrink_below_usage_keep_the_debt():
    nodes = school(hour=4000)
    g = gate(*nodes)
    for n in range(600):
        g.admit("choir", "notice", 0, 0, n * 100_000)
    owed = next(u.owed for u in g.usage(60 * S) if u.node == "all/school/choir" and "hour" in u.dimension)
    smaller = restarted(g, school(hour=400), g.dump(60 * S), 0)
    use = {(u.node, u.dimension): u for u in smaller.usage(50 * S)}
    assert use["all/school/choir", "messages a hour"].owed <= owed
    assert all(u.room >= 0 for u in use.values())


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(
        st.tuples(st.sampled_from(["choir", "band"]), st.integers(0, 3 * 60 * S), st.booleans()),
        min_size=1,
        max_size=60,
    ),
    st.integers(0, 10),
)
def test_no_hour_exceeds_the_limit_over_kills_and_clock_steps(steps, back_s):
    nodes, limit = school(hour=80), 80
    g, now, kept, took = gate(*nodes), 0, None, []
    kept, saved = g.dump(now), now
    for tenant, later, killed in steps:
        now += later
        if killed:
            elapsed = max(0, now - saved - back_s * S)  # the wall clock may have stepped back meanwhile
            g = gate(*nodes, now=now)
            g.restore(kept, elapsed, now)
            kept, saved = g.dump(now), now
        for _ in range(30):
            verdict = g.admit(tenant, "notice", 0, 0, now)
            if not verdict.passed:
                break
            took.append(now)
            if g.is_save_due:
                kept, saved = g.dump(now), now
    for end in took:
        assert sum(end - HOUR_US < at <= end for at in took) <= limit


def test_a_thousand_ensembles_that_send_once_an_hour_and_ten_levels():
    rows = [node("root", limit={"messages_per_h": 1_000_000, "messages_per_s": 100_000})]
    rows += [node(f"e{n}", "root", [f"t{n}"], share={"messages_per_h": 900}) for n in range(1000)]
    g = gate(*rows)
    for hour in range(3):
        for n in range(1000):
            assert g.admit(f"t{n}", "notice", 100, 0, hour * HOUR_US + n).passed
    g.usage(5 * HOUR_US)
    assert all(
        not split.checks for top in g.tree.nodes() for split in top.splits if split
    )  # nothing is scheduled for them
    deep = [node("l0", limit={"messages_per_s": 1000})]
    deep += [node(f"l{n}", f"l{n - 1}", limit={"messages_per_s": 1000}) for n in range(1, 9)]
    deep.append(node("leaf", "l8", ["choir"]))
    assert passes(gate(*deep), "choir", 0, most=2000) == 1000


@pytest.mark.parametrize(
    "nodes, expected",
    [
        (
            [node("a", limit={"messages_per_s": 1}), node("b", "a", share={"messages_per_s": 2})],
            "within its limit",
        ),
        ([node("a"), node("b", "a", share={"messages_per_s": 2})], "needs a limit"),
        ([node("b", "nowhere")], "nowhere"),
        ([{"parent": ""}], "name"),
    ],
)
def test_an_inconsistent_tree_is_rejected(nodes, expected):
    with pytest.raises(QuotaError) as error:
        gate(*nodes)
    assert expected in str(error.value) and "\n" not in str(error.value)


# In an estate and on loopback

TREE = """
[[quota]]
name = "school"
limit = { messages_per_s = 40, burst_messages = 60, messages_per_h = 100000 }

[[quota]]
name = "choir"
parent = "school"
tenants = ["t"]
share = { messages_per_s = 10, burst_messages = 10, messages_per_h = 50000 }

[[quota]]
name = "band"
parent = "school"
tenants = ["u"]
share = { messages_per_s = 20, burst_messages = 30, messages_per_h = 40000 }
reserved = { messages_per_s = 20, messages_per_h = 40000 }
"""
TWO = ESTATE.replace("[tenants.t]\nshare = 1.0", "[tenants.t]\nshare = 0.5\n[tenants.u]\nshare = 0.5")


class Limited(Pooled):
    """A courier with quotas."""

    def write(self, partners):
        estate = TWO.replace("[[application]]", TREE + "\n[[application]]")
        (self.folder / "estate.toml").write_text(estate)
        (self.folder / "partners.toml").write_text(partners)
        report = check(self.folder / "estate.toml")
        assert report.loaded, report.problems
        from madderbeam.config.render import render, write

        write(render(report.loaded), self.folder / "out")


def limited(test):
    def run(tmp_path, capsys):
        async def inner():
            made = Limited(tmp_path)
            made.capsys = capsys
            try:
                await made.endpoint("a")
                client = await made.start(made.partner(1, "venue", [("a", "")]))
                await test(made, client)
            finally:
                await made.close()

        asyncio.run(inner())

    return run


def message(ident, tenant="t", size=5):
    fields = f"c=safe,t={tenant},d=4000,dest=1"
    return Client.command(b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), b"x" * size)


@limited
async def test_a_flood_is_rejected_with_retry_after_and_the_others_continue(made, client):
    begun = asyncio.get_running_loop().time()
    answers = [await client.send(message(f"t{n}")) for n in range(80)]
    room = 40 + 40 * (asyncio.get_running_loop().time() - begun)  # the burst, and what flowed in since
    assert 5 < answers.count("+OK") <= room and all(a == "+OK" or a.startswith("-BUSY ") for a in answers)
    assert [await client.send(message(f"u{n}", "u")) for n in range(20)] == ["+OK"] * 20
    again = [n for n, reply in enumerate(answers) if reply == "+OK"][
        :5
    ]  # already accepted: not counted again
    assert [await client.send(message(f"t{n}")) for n in again] == ["+OK"] * 5
    figures = dict(line.split("=") for line in made.host.metrics_text().splitlines())
    assert int(figures["app.quota.refused"]) == sum(a != "+OK" for a in answers)
    await bounded(made.settled())
    rendered = str(made.folder / "out" / "n.json")
    assert main(["quota", "show", rendered]) == 0 and "all/school/choir" in made.capsys.readouterr().out
    assert main(["quota", "show", rendered, "--json"]) == 0
    assert main(["quota", "show", str(made.folder / "none.json")]) == 2


@limited
async def test_a_restart_does_not_refill_the_buckets(made, client):
    for n in range(80):
        await client.send(message(f"t{n}"))
    await bounded(made.settled())
    made.host.close()
    made.lock.close()
    made.host = None
    made.host, made.lock = beside(made.folder / "out" / "n.json")
    client = await Client().open(made.host.start())
    answers = [await client.send(message(f"v{n}")) for n in range(30)]
    assert answers.count("+OK") <= 6


@pytest.mark.parametrize(
    "expected, change",
    [
        ("stands twice", ('name = "band"', 'name = "choir"')),
        ("no node", ('parent = "school"\ntenants = ["t"]', 'parent = "scool"\ntenants = ["t"]')),
        ("no tenant", ('tenants = ["t"]', 'tenants = ["x"]')),
        ("within its limit", ("messages_per_s = 10,", "messages_per_s = 100,")),
        ("counts the same messages", ('tenants = ["u"]', 'tenants = ["t"]')),
        ("no parent", ('parent = "school"\ntenants = ["t"]', 'tenants = ["t"]')),
    ],
)
def test_a_mistake_in_the_tree_is_reported_with_its_line(expected, change, tmp_path):
    assert change[0] in TREE
    estate = TWO.replace("[[application]]", TREE.replace(*change, 1) + "\n[[application]]")
    (tmp_path / "estate.toml").write_text(estate)
    (tmp_path / "partners.toml").write_text(
        '[[partner]]\nname = "v"\nnumber = 1\nper_s = 5\nendpoints = ["127.0.0.1:1"]\n'
    )
    problems = check(tmp_path / "estate.toml").problems
    assert any(expected in str(p) for p in problems), problems
