"""The check: every break is told with its line and path, all in one run, and never by a traceback."""

import random
import tomllib

import pytest
from breaks import BREAKS
from estates import ESTATE, PARTNERS, edit, estate
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.cli import main
from madderbeam.config import source
from madderbeam.config.check import check
from madderbeam.config.platform import load_sidecar
from madderbeam.config.render import render, write
from madderbeam.config.source import MAX_BYTES, lines
from madderbeam.host import process
from madderbeam.host.standalone import claim_resources
from madderbeam.ports import Ports
from madderbeam.simulation.couriers import SimClock
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.simulation.network import Link, SimNetwork


def subst(text):
    for n in (1, 2):
        text = text.replace(f"PORT{n}", str(7100 + n))
    for n in (1, 2, 3):
        text = text.replace(f"ADDRESS{n}", f"127.0.0.1:{9000 + n}")
    return text


def test_a_whole_estate_has_no_mistake(tmp_path):
    report = check(estate(tmp_path))
    assert report.problems == [] and [a.name for a in report.loaded.applications] == [
        "notices",
        "orders",
        "deposits",
    ]
    assert [a.retry_base_ms for a in report.loaded.applications] == [100, 50, 100]  # defaults, then its own
    assert all(a.slots == 16 for a in report.loaded.applications)


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_a_break_is_told_with_its_place(tmp_path, name):
    file, old, new, path, word = BREAKS[name]
    made = estate(tmp_path)
    edit(tmp_path / file, subst(old), subst(new))
    report = check(made)
    assert report.loaded is None
    told = [p for p in report.problems if p.path == path and word in p.text]
    assert told, report.problems
    assert all("; allowed: " in p.text and "\n" not in str(p) for p in report.problems)
    text = (
        (tmp_path / told[0].file.rpartition("/")[2]).read_text().splitlines()
        if (tmp_path / told[0].file.rpartition("/")[2]).exists()
        else [""]
    )
    assert 1 <= told[0].line <= len(text)
    leaf = path.rpartition(".")[2].partition("[")[0]
    if leaf and "lacks" not in told[0].text:
        assert leaf in text[told[0].line - 1], "the line is not that of its key"


def test_all_mistakes_are_told_in_one_run(tmp_path, capsys):
    made = estate(tmp_path)
    for name in ("number as text", "deadline under aim", "unknown class", "same port", "one folder for two"):
        file, old, new, _, _ = BREAKS[name]
        edit(tmp_path / file, subst(old), subst(new))
    edit(tmp_path / "partners.toml", "number = 2", "number = 1")
    assert main(["config", "check", str(made)]) == 1
    out, err = capsys.readouterr()
    assert len(out.splitlines()) == 6 and err == "6 mistakes\n"
    for path in (
        "defaults.slots",
        "classes.status-notice.deadline_ms",
        "application[1].classes[0]",
        "application[1].listen",
        "application[1].state",
        "partner[1].number",
    ):
        assert f": {path}: " in out


def test_a_wrong_application_does_not_shift_the_places_of_the_others(tmp_path):
    made = estate(tmp_path)
    edit(made, 'name = "notices"', "name = 5")
    edit(made, '["venue"]', '["venu"]')
    assert [p.path for p in check(made).problems] == ["application[0].name", "application[2].partners[0]"]


def test_a_partner_list_alone(tmp_path, capsys):
    estate(tmp_path)
    path = tmp_path / "partners.toml"
    assert main(["config", "check", str(path)]) == 0
    edit(path, "number = 2", "number = 1")
    assert main(["config", "check", str(path)]) == 1
    assert "partner[1].number: venue has number 1" in capsys.readouterr().out


def test_files_that_are_none(tmp_path):
    made = estate(tmp_path)
    text = made.read_bytes()
    made.write_bytes(text.replace(b"atlanta", b"atl\xe4nta", 1))
    assert "is not UTF-8" in str(check(made).problems[0]) and check(made).problems[0].line == 21
    made.write_bytes(b"#" * (MAX_BYTES + 1))
    assert "too large" in str(check(made).problems[0])
    made.unlink()
    made.symlink_to(made)
    assert "cannot be read: Too many levels of symbolic links" in str(check(made).problems[0])
    made.unlink()
    assert "No such file" in str(check(made).problems[0])
    made.write_text("a = [" * 5000)
    assert "is not TOML" in str(check(made).problems[0])
    made.write_text("")
    assert {p.path for p in check(made).problems} == {"classes", "application"}


def test_a_folder_that_holds_another_s_journal(tmp_path):
    made = estate(tmp_path)
    (tmp_path / "state" / "orders").mkdir(parents=True)
    (tmp_path / "state" / "orders" / "owner").write_text("notices\n")
    assert [str(p).partition(": ")[2] for p in check(made).problems] == [
        "application[1].state: holds the journal of notices; allowed: a folder of its own"
    ]


# What a mutated estate does: it is told, or its couriers can start.

VALUES = st.sampled_from(
    [
        "0",
        "-1",
        "1",
        '""',
        '"x"',
        "nan",
        "1e400",
        "true",
        "[]",
        "{}",
        "[1]",
        "99999999999",
        '"127.0.0.1:1"',
        "1979-05-27",
        '"\\u0000"',
        '"' + "n" * 300 + '"',
        "0.5",
        '["venue"]',
    ]
)


def mutations(text):
    """One or two lines dropped, doubled, swapped, or given another value."""
    count = len(text.splitlines())
    return st.lists(
        st.tuples(
            st.sampled_from(("drop", "double", "value", "swap", "cut")), st.integers(0, count - 1), VALUES
        ),
        min_size=1,
        max_size=2,
    )


def mutate(text, steps):
    rows = text.splitlines()
    for step, at, value in steps:
        at = min(at, len(rows) - 1)
        if step == "drop" and len(rows) > 1:
            del rows[at]
        elif step == "double":
            rows.insert(at, rows[at])
        elif step == "value" and "=" in rows[at]:
            rows[at] = rows[at].partition("=")[0] + "= " + value
        elif step == "swap" and at:
            rows[at - 1], rows[at] = rows[at], rows[at - 1]
        elif step == "cut":
            rows[at] = rows[at][: len(rows[at]) // 2]
    return "\n".join(rows) + "\n"


@settings(max_examples=300, deadline=None, derandomize=True)
@given(mutations(ESTATE), mutations(PARTNERS), st.integers(0, 2))
def test_a_mutated_estate_is_told_or_can_be_started(tmp_path_factory, first, second, which):
    folder = tmp_path_factory.mktemp("estate")
    made = estate(folder)
    if which != 1:
        made.write_text(mutate(made.read_text(), first))
    if which != 0:
        (folder / "partners.toml").write_text(mutate((folder / "partners.toml").read_text(), second))
    report = check(made)
    assert (report.loaded is None) == bool(report.problems)
    for problem in report.problems:
        assert problem.text and "\n" not in str(problem)
    if report.loaded is not None:
        write(render(report.loaded), folder / "out")
        disk = SimDisk(random.Random(1), lambda name: False)
        disk.files = {str(p): bytearray(p.read_bytes()) for p in (folder / "out").iterdir()}
        for app in report.loaded.applications:
            starts(disk, str(folder / "out" / f"{app.name}.json"), app.name)


def starts(disk, path, name):
    """The courier of a rendered file starts, on simulated ports, and answers."""
    scheduler = Scheduler(1)
    loop = ProcessLoop(scheduler)
    network = SimNetwork(loop, {}, Link(), random.Random(1), lambda what: False, 256)
    config = load_sidecar(path, disk)
    ports, _ = claim_resources(config, Ports(SimClock(scheduler), network, disk))
    host = process.start(loop, ports, {}, config)
    scheduler.run(2_000_000)
    assert config.name == name and host.clients.listening and not host.closed.done()
    host.close()


# The lines of keys

KEYS = st.sampled_from(["a", "b", '"c d"', "'e'", "x-1"])
SCALARS = st.sampled_from(
    [
        "1",
        '"#]"',
        "'''\nl\n'''",
        '"""a\\"""\n"""',
        "[1, # c\n 2,\n]",
        "{a = 1, b = [2]}",
        "1979-05-27T07:32:00Z",
        '"\\\\"',
        "''''a'''",
        "[[1], ['x']]",
        "{}",
    ]
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["pair", "table", "array", "dotted", "comment"]), KEYS, KEYS, SCALARS),
        max_size=12,
    )
)
def test_every_value_of_a_valid_file_has_the_line_of_its_key(rows):
    text = ""
    for kind, one, two, value in rows:
        text += {
            "pair": f"{one} = {value}\n",
            "table": f"[{one}.{two}]\n",
            "array": f"[[ {one} ]] # x\n",
            "dotted": f"{one}.{two} = {value}\r\n",
            "comment": "# [x]\n\n",
        }[kind]
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return
    found = lines(text)
    rows = text.split("\n")

    def walk(value, path):
        if path:
            assert path in found, (text, path)
            name = next((p for p in reversed(path) if isinstance(p, str)), "")
            if not isinstance(path[-1], int):
                assert name in rows[found[path] - 1], (text, path)
        if isinstance(value, dict):
            for key, inner in value.items():
                walk(inner, (*path, key))
        elif isinstance(value, list):
            for n, inner in enumerate(value):
                walk(inner, (*path, n))

    walk(raw, ())


def test_a_file_larger_than_the_bound_is_not_read_whole(tmp_path, monkeypatch):
    monkeypatch.setattr(source, "MAX_BYTES", 100)
    (tmp_path / "big.toml").write_text("#" * 101)
    assert "at most 100 bytes" in source.read(tmp_path / "big.toml").text
