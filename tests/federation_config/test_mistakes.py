"""Every mistake of a federation is told in one run, each with its file, line, path and what is allowed."""

import random

import pytest
from federation_config.broken import BREAKS, SECOND
from federation_config.page import edit, estates

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.config.platform import load_sidecar
from madderbeam.config.render import render, write
from madderbeam.ports.real import RealDisk


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_a_break_is_told_with_its_place(tmp_path, name):
    file, old, new, path, word = BREAKS[name]
    made = estates(tmp_path)
    edit(made.parent / file, old, new)
    report = check(made)
    assert report.loaded is None
    told = [p for p in report.problems if p.path == path and word in p.text]
    assert len(told) == 1, report.problems
    assert all("; allowed: " in p.text and "\n" not in str(p) for p in report.problems)
    assert told[0].file.endswith(file)
    text = (made.parent / file).read_text().splitlines()
    leaf = path.rpartition(".")[2].partition("[")[0]
    assert leaf in text[told[0].line - 1] or "lacks" in told[0].text


def test_no_voter_is_a_mistake_and_few_are_told(tmp_path):
    made = estates(tmp_path)
    assert check(made).warnings == []
    for n, name in enumerate(("m1", "s1", "a1")):
        edit(made, f'name = "{name}", address', f'name = "{name}", votes = false, address')
        report = check(made)
        assert [p.text[:15] for p in report.problems] == (["no member votes"] if n == 2 else [])
        assert len(report.warnings) == (n < 2) and (n == 2 or f"{2 - n} member" in report.warnings[0].text)


def test_without_a_second_address_there_is_a_warning_and_no_mistake(tmp_path, capsys):
    made = estates(tmp_path)
    edit(made, 'control = "127.0.0.1:7203"\n', "")
    assert main(["config", "check", str(made)]) == 0
    out, err = capsys.readouterr()
    assert f"{made}:5: application[0]: warning: m1 has no second address" in out and err == ""


def test_all_mistakes_are_told_in_one_run(tmp_path):
    made = estates(tmp_path)
    several = ("one address for two", "via unknown", "time-out over period", "partner's site", "topic twice")
    for name in several:
        file, old, new, _, _ = BREAKS[name]
        edit(made.parent / file, old, new)
    assert {p.path for p in check(made).problems} == {BREAKS[name][3] for name in several}


def test_a_table_file_that_is_there_is_read(tmp_path):
    made = estates(tmp_path)
    edit(made, 'site = "macon"', 'site = "macon"\ntable_file = "next.json"')
    assert check(made).problems == []  # it may come later
    (made.parent / "next.json").write_text('{"number": 2, "sites": {"macon": {}}, "owners": {}}')
    assert [p.path for p in check(made).problems] == ["federation.table_file"]
    assert "sites.macon" in check(made).problems[0].text


def test_a_value_that_can_not_be_leaves_the_rest_to_be_checked(tmp_path):
    """Also that of a table that stands before it in the list."""
    made = estates(tmp_path)
    edit(made, "[[application]]", SECOND + "[[application]]")
    edit(made, 'name = "m1b"\n', 'name = "m1b"\nslots = "16"\n')
    edit(made, 'name = "m1"\n', 'name = "m1"\nretry_cap_ms = 1\n')
    edit(made, '[{ name = "a1"', '[{ name = "?", address = "127.0.0.1:7409" }, { name = "a1"')
    edit(made, "127.0.0.1:7401", "127.0.0.1:7301")
    paths = [p.path for p in check(made).problems]
    assert "application[0].slots" in paths and "application[1].retry_cap_ms" in paths
    assert "site[2].member[0].name" in paths and "site[2].member[1].address" in paths


WORDS = (
    '"macon"',
    '"savannah"',
    '"m1"',
    "7201",
    "7301",
    '"a1"',
    '"season"',
    "1",
    "2",
    "safe",
    "member",
    "address",
)
VALUES = (
    '""',
    "[]",
    "{}",
    "-1",
    '"x"',
    "nan",
    '"m1"',
    '"0.0.0.0:1"',
    "true",
    "[{}]",
    '{ name = "q" }',
    "7202",
)


def spoilt(chance, text):
    for _ in range(chance.randint(1, 3)):
        lines, kind = text.split("\n"), chance.randrange(3)
        if kind == 0:
            del lines[chance.randrange(len(lines))]
        elif kind == 1:
            lines.insert(chance.randrange(len(lines)), chance.choice(lines))
        text = "\n".join(lines)
        if kind == 2:
            text = text.replace(chance.choice(WORDS), chance.choice(VALUES), 1)
    return text


def test_whatever_stands_there_is_told_in_lines_or_is_what_a_courier_reads(tmp_path):
    chance, made, read = random.Random(7), estates(tmp_path), 0
    listed = made.with_name("partners.toml")
    texts = made.read_text(), listed.read_text()
    for _ in range(120):
        made.write_text(spoilt(chance, texts[0]))
        listed.write_text(spoilt(chance, texts[1]) if chance.random() < 0.5 else texts[1])
        report = check(made)
        assert (report.loaded is None) is bool(report.problems)
        assert all("; allowed: " in p.text and "\n" not in str(p) for p in report.problems)
        if report.loaded is not None:
            write(render(report.loaded), tmp_path / "out")
            for app in report.loaded.applications:
                load_sidecar(str(tmp_path / f"out/{app.name}.json"), RealDisk())
                read += 1
    assert read > 5
