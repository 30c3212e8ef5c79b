"""The stages of changes in the state machine alone, with its records and no I/O."""

import dataclasses
import random

import pure
import pytest
from pure import Bench, add, endpoint, first

from madderbeam.changes import document, fields
from madderbeam.changes.building import build, difference, inverse
from madderbeam.changes.events import (
    ApplyFailed,
    ChangeApproved,
    ChangeDropped,
    ChangeSubmitted,
    RollbackRequested,
    RuntimeStateReported,
)
from madderbeam.changes.immutable_map import ImmutableMap
from madderbeam.changes.values import RuntimeState, Settings
from madderbeam.config import model


def test_an_immutable_map_shares_unchanged_buckets_and_equals_a_dict():
    chance, like, shared = random.Random(3), {}, ImmutableMap()
    for _ in range(300):
        rows = {f"k{chance.randrange(400)}": chance.choice((None, 1, 2, 3)) for _ in range(3)}
        fresh = shared.with_rows(rows)
        like = {k: v for k, v in (like | rows).items() if v is not None}
        assert dict(fresh.items()) == like and len(fresh) == len(like)
        assert sum(a is not b for a, b in zip(shared.buckets, fresh.buckets, strict=True)) <= len(rows)
        assert set(fresh.differing_keys(shared)) <= set(rows)
        shared = fresh


def test_a_change_becomes_active_at_one_instant_and_is_kept():
    bench = Bench()
    bench.offer("one", add=[add("d", 3)], drain=["a"], limits={"max_held": 300})
    assert bench.version == 2 and bench.shown["a"] == "terminating" and bench.shown["d"] == "in_service"
    assert len(bench.applied) == 1 and bench.applied[0].after.get(("limit", "max_held")) == 300
    bench.passes(9.9)
    assert "one" not in bench.settled
    bench.passes(1)
    assert bench.settled["one"][0] == "kept" and not bench.machine.canaries


def test_a_staged_change_waits_for_approval_and_can_be_dropped():
    bench = Bench()
    assert bench.offer("one", go=False, drain=["a"]) is None and bench.version == 1
    bench.offer("two", go=False, drain=["b"])
    bench.tell(ChangeDropped("two"))
    assert bench.settled["two"][0] == "dropped"
    bench.tell(ChangeApproved("one", bench.facts))
    assert bench.shown == {"a": "terminating", "b": "in_service", "c": "in_service"}


def test_changes_of_the_same_rows_wait_and_others_run_their_canary_concurrently():
    bench = Bench()
    bench.offer("one", edit=[{"uid": "a", "per_s": 7}, {"uid": "b", "per_s": 7}])
    bench.offer("beside", drain=["c"], accept=["nothing-ready"])
    bench.offer("behind", edit=[{"uid": "a", "per_s": 8}, {"uid": "b", "per_s": 8}])
    assert [t.id for t in bench.machine.canaries] == ["one", "beside"]
    assert bench.machine.current.endpoints.get("a").per_s == 7
    bench.passes(10.1)
    assert bench.settled["one"][0] == bench.settled["beside"][0] == "kept"
    assert bench.machine.current.endpoints.get("a").per_s == 8


def test_a_drain_is_immediate_and_outlasts_the_canary_that_it_touches():
    bench = Bench()
    bench.offer("one", edit=[{"uid": "a", "per_s": 7}, {"uid": "b", "per_s": 7}])
    assert bench.offer("away", drain=["a"])[0] == "kept"
    assert bench.shown["a"] == "terminating"
    bench.tell(RollbackRequested("one", "a word"))
    row = bench.machine.current.endpoints.get("a")
    assert (row.per_s, row.state) == (100, "terminating")
    assert bench.again().shown["a"] == "terminating"


def test_a_change_is_stale_if_its_rows_changed_since_its_base_version():
    bench = Bench()
    bench.offer("one", edit=[{"uid": "a", "per_s": 7}, {"uid": "b", "per_s": 7}])
    what, why = bench.offer("late", base=1, drain=["a"])
    assert what == "refused" and "(stale: " in why and "endpoint a has changed since version 1" in why
    assert (
        bench.offer("other", base=1, edit=[{"uid": "c", "per_s": 9}]) is None
    )  # it touches none of those rows
    bench.tell(RollbackRequested("one", "a word"))
    assert "stale" in bench.offer("on-the-undone", base=2, drain=["b"])[1]
    assert "no version 99" in bench.offer("ahead", base=99, drain=["a"])[1]


def test_a_change_name_is_accepted_once():
    bench = Bench()
    bench.offer("one", drain=["a"])
    assert "(twice: " in bench.offer("one", drain=["b"])[1]
    bench.passes(11)
    bench.settled.clear()
    assert "kept, version 2" in bench.offer("one", drain=["b"])[1]
    assert "b" in bench.shown and bench.shown["b"] == "in_service"


def test_the_queue_of_staged_changes_is_bounded():
    bench = Bench(settings=Settings(queue=2))
    for n in range(2):
        assert bench.offer(f"w{n}", go=False, drain=["a"]) is None
    assert "(queue-full: " in bench.offer("w2", go=False, drain=["a"])[1]


def test_an_undo_restores_all_rows_of_a_kept_change_without_later_changes():
    bench = Bench()
    bench.offer(
        "one",
        add=[add("d", 3)],
        remove=["b"],
        classes={"new": {"wanted_ms": 5, "deadline_ms": 9}},
        limits={"attempts": 5},
    )
    bench.passes(11)
    bench.offer("two", edit=[{"uid": "d", "per_s": 7}])
    bench.passes(11)
    change, wrong = bench.machine.rollback_of(2, "back")
    assert [e.code for e in wrong] == ["built-upon"] and "two (version 3)" in wrong[0].line()
    change, wrong = bench.machine.rollback_of(3, "back-3")
    assert not wrong
    bench.tell(ChangeSubmitted(change, bench.facts))
    bench.passes(11)
    # The rollback touched d as well, so version 2 still has a later change; invert the rows directly.
    back = inverse(first(), bench.machine.current)
    restored = build(bench.machine.current, back.ops, 9).snapshot
    assert not difference(restored, first()) and restored.get(("class", "new"))["retired"]
    assert any("b was taken away" in text for text in back.not_restored)
    assert any("keep its terms" in text for text in back.not_restored)


@pytest.mark.parametrize("seed", range(5))
def test_an_inverse_restores_whatever_was_changed(seed):
    chance, snapshot = random.Random(seed), first()
    for _ in range(20):
        uids = list(snapshot.endpoints)
        rows = {
            ("endpoint", u): None
            if chance.random() < 0.5
            else dataclasses.replace(snapshot.endpoints.get(u), per_s=float(chance.randrange(1, 99)))
            for u in chance.sample(uids, min(2, len(uids)))
        }
        rows["endpoint", f"n{chance.randrange(99)}"] = endpoint("n", chance.randrange(4))
        after = snapshot.with_rows(rows, snapshot.version + 1)
        back = build(after, inverse(snapshot, after).ops, 0).snapshot
        assert back.has_same_rows(snapshot)
        snapshot = after


# Errors


BREAKS = [  # parts of a change, code, path, allowed values
    (
        {"add": [{"uid": "d", "dest": 1, "address": "10.0.0.1", "per_s": 1}]},
        "unreadable",
        "add[0].address",
        "HOST:PORT",
    ),
    (
        {"add": [{"uid": "d", "dest": -1, "address": "10.0.0.1:1", "per_s": 1}]},
        "unreadable",
        "add[0].dest",
        "from 0 to 4294967295",
    ),
    ({"add": [{"uid": "d", "dest": 1, "address": "10.0.0.1:1"}]}, "unreadable", "add[0].per_s", "above 0"),
    (
        {"add": [{"uid": "d", "dest": 1, "address": "h:1", "per_s": 1, "adress": 1}]},
        "unreadable",
        "add[0].adress",
        "address",
    ),
    ({"add": [add("a")]}, "exists", "endpoint a", "uid of its own"),
    ({"drain": ["nobody"]}, "unknown", "endpoint nobody", "a, b, c"),
    ({"drain": ["a"], "remove": ["a"]}, "unreadable", "remove[0]", "each once"),
    ({"add": [{**add("d"), "address": endpoint("a").address}]}, "broken-rule", "endpoint d.address", "one"),
    ({"add": [add("d", 1, kind="odd")]}, "unknown", "endpoint d.kind", "plain"),
    ({"kinds": {"odd": {}}, "add": [add("d", 1, kind="odd")]}, "broken-rule", "endpoint d.kind", "one kind"),
    ({"kinds": {"plain": {"routes_apart": True}}}, "needs-restart", "kind plain.routes_apart", "False"),
    ({"classes": {"x": {"wanted_ms": 5}}}, "unreadable", "class x.deadline_ms", "from 1 to 86400000"),
    ({"classes": {"safe": {"deadline_ms": 5}}}, "broken-rule", "class safe.deadline_ms", "at least"),
    ({"classes": {"safe": {"repeat": "keyed"}}}, "broken-rule", "class safe.key_window_ms", "whole number"),
    ({"without": {"classes": ["safe"]}}, "broken-rule", "classes", "at least one"),
    ({"without": {"clases": ["safe"]}}, "unreadable", "without.clases", "classes"),
    ({"tenants": {"u": {"share": 0.6}}}, "broken-rule", "tenants", "at most 100%"),
    ({"limits": {"window": 13}}, "broken-rule", "limits.window", "from 1 to 12"),
    ({"limits": {"retry_cap_ms": 5}}, "broken-rule", "limits.retry_cap_ms", "at least retry_base_ms"),
    ({"limits": {"max_held": 900_000}}, "broken-rule", "limits.max_held", "at most 14285"),
    (
        {"quota": {"form": 1, "nodes": [{"name": "n", "tenants": ["nobody"]}]}},
        "unknown",
        "quota.nodes[0].tenants",
        "t",
    ),
    ({"quota": {"form": 2, "nodes": []}}, "broken-rule", "quota", "adds up"),
    ({"pools": {"1": {"method": "odd"}}}, "broken-rule", "routing.pools.1.method", "see the page"),
    ({"names": {"p": 77}}, "broken-rule", "names.p", "1, 2"),
    ({"accept": ["anything"], "drain": ["a"]}, "unreadable", "accept[0]", "orphans"),
    ({"trial_ms": 1, "drain": ["a"]}, "unreadable", "trial_ms", "from 1000"),
    ({"ad": []}, "unreadable", "ad", "add"),
    ({}, "unreadable", "add", "at least one of"),
]


@pytest.mark.parametrize("parts, code, path, allowed", BREAKS)
def test_an_error_has_its_code_path_and_allowed_values(parts, code, path, allowed):
    bench = Bench()
    change, wrong = document.parse({"name": "x", "base": 1, **parts})
    if change is not None:
        wrong = bench.machine.check(change, bench.facts)
    found = [e for e in wrong if (e.code, e.path) == (code, path)]
    assert found and allowed in found[0].line() and found[0].advice in found[0].line()
    if change is not None:
        bench.tell(ChangeSubmitted(change, bench.facts))
        assert bench.settled["x"][0] == "refused" and bench.version == 1 and not bench.applied


def test_all_errors_are_reported_together():
    bench = Bench()
    what, why = bench.offer(
        "x", add=[add("a"), add("d", 9, kind="odd")], drain=["nobody"], limits={"window": 13}
    )
    assert what == "refused" and len(why.splitlines()) == 4


def test_bounds_are_those_of_the_estates_model():
    """A courier does not import the model, so the bounds exist twice and must be equal."""

    def bounds(field):
        found = {}
        for mark in field.metadata:
            found |= {n: getattr(mark, n) for n in ("ge", "gt", "le") if getattr(mark, n, None) is not None}
        return found.get("ge", found.get("gt")), found.get("le")

    for table, has in (
        (model.MessageClass, fields.CLASS),
        (model.Tenant, fields.TENANT),
        (model.Kind, fields.KIND),
    ):
        assert set(table.model_fields) == set(has)
        for name, field in has.items():
            told = table.model_fields[name]
            assert told.is_required() == (field.default is fields.REQUIRED), name
            if not told.is_required():
                assert told.default == field.default, name
            if field.kind in ("whole", "number", "above"):
                assert bounds(told) == (field.minimum, field.maximum), name
            if field.kind == "choice":
                assert told.annotation.__args__ == field.choices
    for name, field in fields.LIMITS.items():
        assert bounds(model.Settings.model_fields[name]) == (field.minimum, field.maximum), name
    changes = {n: f.default for n, f in model.Changes.model_fields.items()}
    assert changes == {n: v for n, v in dataclasses.asdict(Settings()).items() if n != "drain_ms"}


# Runtime state


def test_a_change_that_strands_pending_messages_needs_an_accepted_code():
    bench = Bench()
    bench.facts = RuntimeState(
        ready_endpoints={1: 2, 2: 1}, pending={2: 5}, in_flight={1: 9}, max_pending=200
    )
    assert "(orphans: " in bench.offer("gone", remove=["c"])[1]
    assert "(nothing-ready: " in bench.offer("drained", drain=["c"])[1]
    assert bench.offer("accepted", remove=["c"], accept=["orphans"]) is None
    many = Bench(first(*(endpoint(f"e{n}") for n in range(10))))
    many.facts = RuntimeState(ready_endpoints={1: 10}, pending={1: 9}, in_flight={1: 9})
    assert "(little-left: " in many.offer("most", drain=[f"e{n}" for n in range(9)])[1]
    assert many.offer("fewer", drain=[f"e{n}" for n in range(7)]) is None


# Conditions for a rollback


def _undone(bench, **facts):
    for step in range(1, 9):
        bench.facts = RuntimeState(
            **{k: v(step) if callable(v) else v for k, v in facts.items()}, max_pending=200
        )
        bench.passes(0.5)
        if found := bench.settled.get("one"):
            return found
    return None


def test_failing_calls_at_new_endpoints_undo_a_change():
    for failed, so in ((9, True), (4, False)):
        bench = Bench()
        bench.offer("one", add=[add("d")])
        found = _undone(bench, call_counts={"d": (12, failed), "a": (100, 100)})
        assert (found is not None and found[0] == "undone" and "calls-fail: 9 of 12" in found[1]) is so
        assert ("d" in bench.shown) is not so


def test_a_destination_without_ready_endpoints_undoes_the_change_that_touched_it():
    bench = Bench()
    bench.facts = RuntimeState(ready_endpoints={1: 2, 2: 1}, max_pending=200)
    bench.offer("other", edit=[{"uid": "c", "per_s": 9}])
    bench.offer("one", remove=["a", "b"], add=[add("d")])
    found = _undone(bench, ready_endpoints={1: 0, 2: 1})
    assert found[0] == "undone" and found[1].startswith("nothing-ready: ")
    assert set(bench.shown) == {"a", "b", "c"} and [t.id for t in bench.machine.canaries] == ["other"]


def test_observations_of_one_moment_count_once():
    bench = Bench()
    bench.facts = RuntimeState(ready_endpoints={1: 2, 2: 1})
    bench.offer("one", remove=["a", "b"], add=[add("d")])
    bench.facts = RuntimeState(ready_endpoints={2: 1})
    bench.passes(0.5)
    bench.tell(RuntimeStateReported(bench.facts))
    assert "one" not in bench.settled
    bench.passes(0.5)
    assert bench.settled["one"][0] == "undone"


def test_rejections_over_the_bound_and_twice_the_rate_before_undo_a_change():
    for before, so in ((0.0, True), (150.0, False)):
        bench = Bench()
        bench.facts = RuntimeState(rejected_per_s_before=before)
        bench.offer("one", limits={"max_held": 20})
        found = _undone(bench, rejected=lambda step: 100 * step, rejected_per_s_before=before)
        assert (found is not None and found[1].startswith("refusals: ")) is so


def test_growing_pending_messages_undo_a_change():
    for each, so in ((20, True), (1, False)):
        bench = Bench()
        bench.offer("one", edit=[{"uid": "a", "per_s": 7}, {"uid": "b", "per_s": 7}])
        found = _undone(bench, pending=lambda step, each=each: {1: 10 + each * step})
        assert (found is not None and found[1].startswith("holds-grow: ")) is so


def test_a_change_that_depends_on_an_undone_one_is_undone_too():
    bench = Bench()
    bench.offer("one", kinds={"odd": {"bundle": 2}})
    bench.offer("two", add=[add("d", 3, kind="odd")])
    bench.tell(RollbackRequested("one", "a word"))
    assert bench.settled["two"] == ("undone", "it does not hold without one, which is undone")
    assert "d" not in bench.shown and bench.machine.current.get(("kind", "odd"))["retired"]


def test_a_change_that_fails_to_apply_is_undone():
    bench = Bench()
    bench.offer("one", add=[add("d")])
    bench.tell(ApplyFailed(2, "OSError()"))
    assert bench.settled["one"][0] == "undone" and "d" not in bench.shown


# Drains


def test_a_drain_lasts_its_full_time_whatever_the_outcome_of_its_change():
    for how in ("undone", "twice", "replaced", "restart"):
        bench = Bench()
        bench.offer("one", drain=["a"])
        bench.passes(0.5)
        if how == "twice":
            bench.offer("again", base=bench.machine.version, drain=["a"])
        if how == "replaced":
            bench.tell(RollbackRequested("one", "a word"))
            bench.offer("more", edit=[{"uid": "a", "per_s": 9}, {"uid": "b", "per_s": 9}])
        else:
            bench.tell(RollbackRequested("one", "a word"))
        if how == "twice":  # the second drain is a change of its own, which is kept
            assert bench.shown["a"] == "terminating"
            continue
        if how == "restart":
            bench = bench.again()
        bench.passes(1.45)
        assert bench.shown["a"] == "terminating", how
        bench.passes(0.1)
        assert bench.shown["a"] == "in_service" and bench.cold == [(2_000_000, "a")], how


def test_a_drain_that_expired_while_the_process_was_down_ends_in_slow_start():
    bench = Bench()
    bench.offer("one", drain=["a"])
    bench.tell(RollbackRequested("one", "a word"))
    after = bench.again(now_us=5_000_000)
    assert after.shown["a"] == "terminating"
    after.passes(0)
    assert after.shown["a"] == "in_service" and after.cold == [(5_000_000, "a")]


def test_a_removed_endpoint_returns_with_slow_start():
    bench = Bench()
    bench.offer("one", remove=["a"])
    bench.passes(11)
    bench.offer("two", add=[add("a")])
    assert bench.cold == [(bench.now_us, "a")] and bench.shown["a"] == "in_service"


# The disk


def test_a_failing_disk_rejects_changes_without_effect():
    bench = Bench()
    bench.full = True
    assert "(not-kept: " in bench.offer("one", drain=["a"])[1]
    assert bench.version == 1 and bench.shown["a"] == "in_service"
    bench.full = False
    bench.offer("two", go=False, drain=["a"])
    bench.full = True
    bench.tell(ChangeApproved("two", bench.facts))
    assert bench.shown["a"] == "in_service" and not bench.machine.canaries


def test_an_undo_needs_no_disk_and_is_recorded_once_there_is_room():
    bench = Bench()
    bench.offer("one", add=[add("d", 3)])
    bench.full = True
    bench.tell(RollbackRequested("one", "a word"))
    assert "d" not in bench.shown
    assert "d" in bench.again().shown  # a restart resumes the canary, which is rolled back again
    bench.full = False
    bench.passes(1.1)
    assert "d" not in bench.again().shown


def _story(bench):
    """Submit changes of all kinds one after the other."""
    bench.offer("staged", go=False, drain=["c"], accept=["nothing-ready"])
    bench.offer("one", add=[add("d", 3)], classes={"new": {"wanted_ms": 5, "deadline_ms": 9}})
    bench.offer("beside", limits={"attempts": 5}, drain=["a"])
    bench.passes(5)
    bench.tell(RollbackRequested("one", "a word"))
    bench.passes(6)
    bench.tell(ChangeApproved("staged", bench.facts))
    bench.passes(11)


def _whole(bench, seen):
    """Whether the active snapshot equals one of the versions that were built."""
    rows = {uid: row for uid, row in bench.machine.current.endpoints.items()}
    rows["attempts"] = bench.machine.current.get(("limit", "attempts"))
    rows["classes"] = tuple(bench.machine.current.active_names("class"))
    return rows in seen


def test_8_a_kill_at_any_step_between_stage_and_kept_leaves_a_whole_version():
    seen, steps = [], 0
    bench = Bench()
    apply = bench._apply

    def noted(action):
        apply(action)
        rows = dict(action.after.endpoints.items())
        rows["attempts"] = action.after.get(("limit", "attempts"))
        rows["classes"] = tuple(action.after.active_names("class"))
        seen.append(rows)

    bench._apply = noted
    seen.append({**dict(first().endpoints.items()), "attempts": 3, "classes": ("safe",)})
    _story(bench)
    ended = 0
    for step in range(1000):
        killed = Bench()
        killed.kill_at = step
        try:
            _story(killed)
        except pure.Killed:
            after = killed.again()
            assert _whole(after, seen), step
            assert after.version >= killed.version, step
            on_trial = {t.id for t in after.machine.canaries}
            over = {o.id for o in after.machine.outcomes.values()}
            assert not {s.change.id for s in after.machine.staged} & (on_trial | over), step
            after.passes(30)
            assert not after.machine.canaries, step
            names = [
                number for number in (r["number"] for r in after.machine.current.sections["class"].values())
            ]
            assert len(names) == len(set(names)), step
            steps += 1
        else:
            ended += 1
            break
    assert ended and steps > 40


def test_the_number_of_records_is_bounded():
    bench = Bench(settings=Settings(trial_ms=1000))
    for n in range(120):
        bench.offer(f"c{n}", add=[add(f"n{n}", 3)], **({"remove": [f"n{n - 1}"]} if n else {}))
        bench.passes(1.5)
    assert bench.settled["c119"][0] == "kept"
    kinds = [kind for kind, _ in bench.kept]
    assert kinds.count("change") <= 33 and kinds.count("back") <= 16 and kinds.count("past") <= 64
    assert kinds.count("base") == 2 and not kinds.count("trial") and not kinds.count("staged")
    again = bench.again()
    for name in ("version", "outcomes", "rollbacks"):
        assert getattr(again.machine, name) == getattr(bench.machine, name)
    assert again.machine.current.has_same_rows(bench.machine.current)
