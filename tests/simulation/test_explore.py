"""Seeds led by coverage: what is kept, how scripts are changed, and the corpus that was found."""

import multiprocessing
import os
import random
from itertools import islice
from pathlib import Path

import pytest

from madderbeam.cli import main
from madderbeam.simulation import explore, reach
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Script

CORPUS = Path(__file__).parent / "corpus"


def found(seed, features, steps=1):
    return reach.Reached(draw(seed), Report(seed, steps=steps), frozenset(), frozenset(features))


def test_the_corpus_is_sorted_small_and_breaks_no_rule():
    scripts = explore.read(CORPUS)
    names = sorted(path.name for path in CORPUS.glob("*.json"))
    assert names == [explore.name(script) for script in scripts] and 20 < len(names) < 100
    with multiprocessing.get_context("fork").Pool(os.cpu_count()) as pool:
        broken = [report.line for report in pool.imap(play, scripts) if report.violation]
    assert broken == []


def test_an_end_that_the_disk_did_not_take_keeps_its_order_over_an_upgrade():
    assert not play(Script.parse((CORPUS / "2aad94af4ebe.json").read_text())).violation


def test_only_what_reaches_something_new_is_kept():
    search = explore.Search()
    assert search.add(found(1, {("a",), ("b",)}))
    assert not search.add(found(2, {("a",)}))
    assert search.add(found(3, {("a",), ("c",)}))
    assert [r.script.seed for r in search.kept] == [1, 3] and search.runs == 3


def test_the_smallest_set_reaches_all_and_prefers_what_is_quick():
    rows = [
        found(1, {("a",)}),
        found(2, {("a",), ("b",)}),
        found(3, {("a",), ("b",), ("c",)}, steps=2),
        found(4, {("c",)}, steps=9),
    ]
    assert [r.script.seed for r in explore.smallest(rows)] == [2, 3]
    assert explore.smallest([]) == []


def test_changed_scripts_can_be_played_saved_and_drawn_again():
    chance, again = random.Random(3), random.Random(3)
    script = same = draw(2)
    for number in range(300):
        script = explore.changed(chance, script, draw(number % 40))
        same = explore.changed(again, same, draw(number % 40))
        assert Script.parse(script.text()) == script == same
        assert len(script.faults) <= explore.MOST_FAULTS
        assert list(script.faults) == sorted(script.faults, key=lambda f: (f.at_ms, f.kind))


def test_a_search_goes_on_from_what_it_kept():
    search = explore.Search()
    scripts = explore.led(search, [draw(7)], 1)
    first = list(islice(scripts, 1 + explore.FIRST))
    assert [s.seed for s in first] == [7, *range(explore.FIRST)]
    search.add(found(5, {("a",)}))
    later = list(islice(scripts, 40))
    assert sum(s.faults == draw(5).faults or set(s.faults) & set(draw(5).faults) != set() for s in later) > 20


def test_a_run_reaches_lines_branches_and_pairs_of_events():
    pytest.importorskip("coverage")
    one = reach.reached(draw(1), paired=True)
    assert one.report.violation is None and one.report.trace == []
    assert {path for path, _ in one.lines} > {"policy/engine.py", "host/host.py", "journal/journal.py"}
    assert ("pair", "m", "call", "answer200") in one.features


def test_what_followed_on_what_is_read_from_a_trace():
    trace = [
        "5 1 client put id=a to=n0",
        "6 2 n0 says id=a line=+OK",
        "7 3 n0 call uid=s-1 ids=['a']",
        "8 4 s-1 answer status=200 ids=['a']",
        "9 5 n0 dies",
        "9 6 log something",
        "10 7 n0 starts",
    ]
    assert reach.pairs(trace) == {
        ("pair", "m", "put", "says+OK"),
        ("pair", "m", "says+OK", "call"),
        ("pair", "m", "call", "answer200"),
        ("pair", "n", "dies", "starts"),
    }


def test_a_line_belongs_to_its_statement_and_a_head_not_to_its_body():
    heads = reach.headers("x = (1,\n     2)\nif (x and\n        x):\n    y = 3\n")
    assert heads[2] == range(1, 3) and heads[3] == heads[4] == range(3, 5) and heads[5] == range(5, 6)


def test_a_corpus_is_written_anew_and_read_in_its_order(tmp_path):
    (tmp_path / "old.json").write_text(draw(9).text())
    explore.write(tmp_path, [draw(1), draw(2), draw(1)])
    assert sorted(s.seed for s in explore.read(tmp_path)) == [1, 2]
    assert [explore.name(s) for s in explore.read(tmp_path)] == sorted(p.name for p in tmp_path.iterdir())


def test_the_command_searches_and_names_a_corpus_that_cannot_be_played(tmp_path, capsys):
    pytest.importorskip("coverage")
    assert main(["explore", "--seconds", "0.01", "--jobs", "2", "--corpus", str(tmp_path)]) == 0
    assert "reach all of it" in capsys.readouterr().out and len(explore.read(tmp_path)) > 1
    (tmp_path / "a.json").write_text("{}")
    assert main(["explore", "--seconds", "0.01", "--corpus", str(tmp_path)]) == 2
    assert "version: must be" in capsys.readouterr().err
