"""The operators' page: what it says to type gives three sites; its tables are those of the code."""

import json
import os
import subprocess
import sys
from pathlib import Path

from federation_config.page import PAGE, SITES, blocks, edit, estates, shell

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.config.platform import load_sidecar
from madderbeam.config.reference import errors, fill
from madderbeam.config.sites import first_table
from madderbeam.federation import table as tables
from madderbeam.federation.values import MemberRow, Table
from madderbeam.membership.values import MemberId
from madderbeam.ports.real import RealDisk
from madderbeam.sidecar.up import prepared

ADDRESSES = {"macon": "127.0.0.1:7201", "savannah": "127.0.0.1:7301", "athens": "127.0.0.1:7401"}


def test_what_the_page_says_to_type_gives_three_sites_with_one_table(tmp_path):
    for name, text in blocks().items():
        (tmp_path / name).write_text(text)
    command = tmp_path / "bin" / "madderbeam"  # also where the package is not installed
    command.parent.mkdir()
    command.write_text(f'#!/bin/sh\nexec "{sys.executable}" -m madderbeam "$@"\n')
    command.chmod(0o755)
    path = f"{command.parent}{os.pathsep}{os.environ['PATH']}"
    here = {"PATH": path, "PYTHONPATH": str(Path(__file__).parents[2])}
    done = subprocess.run(
        ["sh", "-e", "-c", "\n".join(shell())],
        cwd=tmp_path,
        capture_output=True,
        env={**os.environ, **here},
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = [line for line in done.stdout.splitlines() if line.startswith("federation ")]
    assert len(told) == 3 and len(set(told)) == 1 and "(3 sites, 3 members, 3 voters, 3 partners)" in told[0]
    members = {"macon": "m1", "savannah": "s1", "athens": "a1"}
    for site in SITES:
        config = load_sidecar(str(tmp_path / site / f"rendered/{members[site]}.json"), RealDisk())
        told = config.federation
        assert told.id == MemberId(site, members[site]) and told.name == "georgia"
        assert told.listen == ("127.0.0.1", int(ADDRESSES[site][-4:]))
        assert dict(told.seeds) == {
            MemberId(s, members[s]): ("127.0.0.1", int(ADDRESSES[s][-4:])) for s in SITES if s != site
        }
        assert told.table == Table(
            1,
            {s: (MemberRow(members[s], ("127.0.0.1", int(ADDRESSES[s][-4:]))),) for s in sorted(SITES)},
            {1: "macon", 2: "savannah", 3: "athens"},
        )
        assert {t["pod_group"]: t["topics"] for t in config.known["targets"]} == {
            1: ["season"],
            2: ["halls", "season"],
            3: ["season"],
        }


def test_estates_checked_together_have_to_say_the_same(tmp_path, capsys):
    macon = estates(tmp_path)
    files = [str(tmp_path / site / "estate.toml") for site in SITES]
    assert main(["config", "check", *files]) == 0
    edit(tmp_path / "athens/partners.toml", 'site = "savannah"', 'site = "athens"')
    edit(tmp_path / "savannah/estate.toml", "127.0.0.1:7401", "127.0.0.1:7409")
    edit(tmp_path / "savannah/estate.toml", 'repeat = "safe"', 'repeat = "unsafe"')
    capsys.readouterr()
    assert main(["config", "check", *files]) == 1
    out = capsys.readouterr().out.splitlines()
    same = f"by {macon}; allowed: the same at all sites"
    assert out == [
        f'{files[1]}:1: classes.season-notice.repeat: is "unsafe", and "safe" {same}',
        f'{files[1]}:1: site.athens.a1.address: is "127.0.0.1:7409", and "127.0.0.1:7401" {same}',
        f'{files[2]}:1: partner.site.harbor-brass: is "athens", and "savannah" {same}',
    ]
    assert main(["config", "check", files[0], files[0]]) == 1
    assert "macon/m1 is in" in capsys.readouterr().out


def test_up_tells_warnings_and_the_first_table(tmp_path, capsys):
    made = estates(tmp_path)
    edit(made, 'control = "127.0.0.1:7203"\n', "")
    assert prepared(made) is not None
    out = capsys.readouterr().out.splitlines()
    assert "warning: m1 has no second address" in out[0]
    assert out[1].startswith(f"federation georgia: first table {digest(made)} ")


def digest(estate):
    loaded = check(estate).loaded
    return first_table(loaded.estate, loaded.partners).digest


def test_the_first_table_does_not_go_by_the_order_in_which_it_is_written(tmp_path):
    made = estates(tmp_path)
    before = digest(made)
    text = made.read_text()
    at = text.index('[[site]]\nname = "athens"')
    made.write_text(text[:at].replace("[[site]]", text[at:] + "\n[[site]]", 1))
    assert made.read_text() != text and digest(made) == before


def test_a_federation_is_not_for_the_platform(tmp_path, capsys):
    made = estates(tmp_path)
    out = ["--out", str(tmp_path / "out"), "--discovery", "127.0.0.1:1"]
    assert main(["config", "render", str(made), *out]) == 2
    assert "no federation" in capsys.readouterr().err and not (tmp_path / "out").exists()


def test_the_section_on_the_page_is_what_is_rendered(tmp_path):
    shown = json.loads(PAGE.read_text().partition("```json\n")[2].partition("```")[0])
    made = estates(tmp_path)
    edit(made, 'name = "m1"\n', 'name = "m1"\nvia = { "savannah/s1" = "127.0.0.1:9301" }\n')
    assert main(["config", "render", str(made), "--out", str(tmp_path / "out")]) == 0
    rendered = json.loads((tmp_path / "out/m1.json").read_text())["federation"]
    assert shown == rendered


def test_the_table_on_the_page_may_follow_the_first_one(tmp_path):
    shown = tables.parse_table(PAGE.read_text().partition("```json table\n")[2].partition("```")[0])
    loaded = check(estates(tmp_path)).loaded
    assert tables.check_successor(shown, first_table(loaded.estate, loaded.partners)) is None


def test_the_tables_of_settings_and_errors_are_those_of_the_code():
    text = PAGE.read_text()
    assert fill(text) == text, "madderbeam config page --fill docs/operators/federation.md"
    rows = errors()
    assert len({code for code, _, _, _ in rows}) == len(rows) >= 8
    for code, name, meaning, advice in rows:
        assert meaning and advice, f"{name} ({code}): its docstring says what happened, advice what to do"
    assert fill(text.replace("| `table-unfit` |", "| `gone` |")) == text  # what is not the code's is replaced
