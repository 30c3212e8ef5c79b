"""Mutants by rule: what they change, how they are planted, and what becomes of them."""

import json
import multiprocessing

import pytest

from madderbeam.cli import main
from madderbeam.simulation import mutants, mutation
from madderbeam.simulation.runs import draw, play


def every(path):
    return mutants.mutants(path)


def days(seeds, known=True):
    """What these seeds are without a mutant; not known: only to look for broken rules."""
    found = []
    for seed in seeds:
        script = draw(seed)
        report = play(script) if known else None
        found.append(
            mutation.Day(
                script, report and mutation.measures(report), mutation.outcome(report) if report else ()
            )
        )
    return found


def apart(mutant, played):
    """The verdict, in a process of its own."""
    with multiprocessing.get_context("fork").Pool(1) as pool:
        return pool.apply(mutation.judge, (mutant, played))


def one(path, name, rule, before):
    found = [m for m in every(path) if (m.name, m.rule) == (name, rule) and before in m.before]
    assert found, [m for m in every(path) if m.name == name]
    return found[0]


def test_each_mutant_has_an_id_of_its_own_and_none_is_what_the_world_reads_with():
    found = [m for path in mutants.sources() for m in every(path)]
    assert len({m.id for m in found}) == len(found) > 4000
    assert not {(m.path, m.name) for m in found} & {("journal/records.py", "parse")}
    assert {m.rule for m in found} >= {
        "compare",
        "negate",
        "left out",
        "arguments",
        "constant",
        "return",
        "order",
        "unguarded",
        "arithmetic",
        "condition",
    }


def test_each_mutant_of_a_module_compiles_and_can_be_planted():
    for m in every("host/endpoint_registry.py"):
        with multiprocessing.get_context("fork").Pool(1) as pool:
            pool.apply(mutants.plant, (m,))


@pytest.mark.parametrize(
    ("path", "name", "rule", "before"),
    [
        ("host/completions.py", "Completions.notify", "left out", "self.notices.add"),  # no notice ever
        ("policy/dispatch.py", "Dispatcher.dispatch", "condition", "candidates"),
    ],
)
def test_a_mutant_is_found_by_what_it_breaks(path, name, rule, before):
    assert apart(one(path, name, rule, before), days(range(40), known=False)).verdict in mutation.FOUND


def test_a_mutant_that_nothing_can_tell_is_not_found():
    # Whether a wait ends at its last microsecond or behind it.
    same = one("host/endpoint_registry.py", "EndpointRegistry.is_under_retry_after", "compare", ">")
    assert apart(same, days(range(4))).verdict == "no difference"


def test_a_mutant_has_the_same_verdict_in_any_order_and_on_any_number_of_workers():
    wanted = [
        one("host/completions.py", "Completions.notify", "left out", "self.notices.add"),
        one("host/endpoint_registry.py", "EndpointRegistry.is_under_retry_after", "compare", ">"),
        one("host/completions.py", "Completions.cancel_deadline_timer", "left out", "timer.cancel"),
    ]
    alone = [(v.mutant.id, v.verdict, v.seed, v.detail) for v in mutation.score(wanted, 1, reach=4)]
    many = [(v.mutant.id, v.verdict, v.seed, v.detail) for v in mutation.score(wanted[::-1], 3, reach=4)]
    assert sorted(alone) == sorted(many) and len(alone) == 3


def test_a_mutant_is_played_on_days_that_reach_its_statement_the_cheapest_first():
    cheap, dear = (mutation.Day(draw(n), None, (), steps) for n, steps in ((1, 5), (2, 9)))
    m = one("host/endpoint_registry.py", "EndpointRegistry.is_under_retry_after", "compare", ">")
    chosen = mutation.Chosen(
        [
            (frozenset({(m.path, m.line)}), dear),
            (frozenset({(m.path, m.line)}), cheap),
            (frozenset({(m.path, 1)}), mutation.Day(draw(3), None, (), 1)),
        ]
    )
    assert chosen(m) == (cheap, dear)


def test_a_mutant_that_loops_for_ever_is_a_hang(monkeypatch):
    monkeypatch.setattr(mutation, "RUN_S", 1.0)
    monkeypatch.setattr(mutation, "play", lambda script: [None for _ in iter(int, 1)])
    assert apart(every("host/completions.py")[0], days([0], known=False)).verdict == "hang"


def test_a_mutant_that_eats_memory_or_ends_its_worker_is_a_crash(monkeypatch):
    monkeypatch.setattr(mutation, "play", lambda script: bytearray(8 << 30))
    played = days([0], known=False)
    assert apart(every("host/completions.py")[0], played).detail.startswith("MemoryError")
    monkeypatch.setattr(mutation, "play", lambda script: exit(3))
    assert apart(every("host/completions.py")[0], played).detail == "SystemExit: 3"


def test_a_mutant_that_is_stale_is_told():
    gone = mutants.Mutant(
        "host/completions.py", "Completions.complete", 1, "left out", "x", "pass", 10_000, "00000000"
    )
    with pytest.raises(LookupError):
        mutants.plant(gone)


def test_a_report_is_gone_on_with_and_its_torn_end_is_left_out(tmp_path):
    done = mutation.Verdict(every("host/completions.py")[0], "rule", 3, "lost").row()
    report = tmp_path / "report"
    report.write_text(json.dumps(done) + '\n{"id": "torn')
    rows = mutation.read(report)
    assert list(rows) == [done["id"]]
    assert list(mutation.score([every("host/completions.py")[0]], 1, rows.__contains__)) == []
    assert "100%" in mutation.table(rows.values())


def test_the_command_names_what_it_does_not_know(capsys):
    assert main(["mutate", "host/nothing.py"]) == 2
    assert "FILE: must be one of" in capsys.readouterr().err
    assert main(["mutate", "--since", "no-such-revision"]) == 2
    assert "since:" in capsys.readouterr().err


def test_a_loss_beyond_chance_finds_a_mutant_and_noise_or_a_gain_does_not():
    usual = [(0.1 + n / 100, 1.2, 0.3) for n in range(12)]
    noise = [(a + (0.01 if n % 2 else -0.01), b, c) for n, (a, b, c) in enumerate(usual)]
    loss = [(a + 0.05 + n / 1000, b, c) for n, (a, b, c) in enumerate(usual)]
    assert mutation.worse(list(zip(usual, noise, strict=True))) == ""
    assert mutation.worse(list(zip(usual, loss, strict=True))).startswith("worth lost +0.05")
    assert mutation.worse(list(zip(loss, usual, strict=True))) == ""
    assert mutation.worse(list(zip(usual, loss, strict=True))[:5]) == ""  # too few to tell


def test_a_mutant_that_breaks_no_rule_and_serves_worse_is_found_by_quality():
    # Each whole list takes out the endpoints that it names: messages are refused, and no rule forbids that.
    slow = one("policy/endpoint_list.py", "EndpointList.apply", "compare", "number not in listed")
    assert apart(slow, days(range(16))).verdict in mutation.FOUND
