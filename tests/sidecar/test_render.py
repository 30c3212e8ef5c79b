"""Rendering, diff, explain and schema."""

import json
import os
from pathlib import Path

import pytest
from estates import edit, estate

from madderbeam.cli import main
from madderbeam.config import reference, render, rendered
from madderbeam.config.check import check
from madderbeam.config.diff import differences, touched
from madderbeam.config.platform import load, load_sidecar
from madderbeam.ports.real import RealDisk
from madderbeam.sidecar.up import standing

ROOT = Path(__file__).parent.parent.parent


def files(path):
    return render.render(check(path).loaded)


def contents(path):
    return {f.name: json.loads(f.text) for f in files(path)}


def test_the_same_estate_gives_the_same_bytes(tmp_path):
    made = estate(tmp_path)
    first = files(made)
    text = made.read_text()
    made.write_text("# a remark\n" + text.replace("slots = 16", "  slots   =  0x10  "))
    assert files(made) == first
    assert [f.name for f in first][-1] == "manifest.json" and len(first) == 7


def test_a_rendered_file_is_what_a_courier_reads(tmp_path):
    render.write(files(estate(tmp_path)), tmp_path / "out")
    config = load_sidecar(str(tmp_path / "out" / "orders.json"), RealDisk())
    s = config.settings
    assert config.listen == ("127.0.0.1", 7102) and config.state == f"{tmp_path}/state/orders"
    assert (s.max_in_flight, s.destination_window, s.max_pending, s.courier_count, s.backoff_base_us) == (
        16,
        12,
        200,
        3,
        50_000,
    )
    assert [(c.name, c.deadline_us, c.key_window_us) for c in s.classes] == [
        ("room-order", 16_000_000, 15_000_000)
    ]
    assert [t["endpoint"] for t in config.known["targets"]] == [
        "127.0.0.1:9001",
        "127.0.0.1:9002",
        "127.0.0.1:9003",
    ]
    only = load_sidecar(str(tmp_path / "out" / "deposits.json"), RealDisk())
    assert {t["pod_group"] for t in only.known["targets"]} == {1} and only.listen[
        0
    ] == f"{tmp_path}/deposits.sock"
    assert sorted(k.name + str(k.max_batch) for k in only.settings.kinds) == ["chain5", "plain1"]


def test_only_what_differs_is_written(tmp_path):
    made, out = estate(tmp_path), tmp_path / "out"
    assert len(render.write(files(made), out)) == 7
    before = {p.name: p.stat().st_mtime_ns for p in out.iterdir()}
    edit(made, "retry_base_ms = 50", "retry_base_ms = 60")
    assert render.write(files(made), out) == ["orders.json", "manifest.json"]
    assert {n for n, t in before.items() if (out / n).stat().st_mtime_ns != t} == {
        "orders.json",
        "manifest.json",
    }


@pytest.mark.parametrize("after", range(6))
def test_killed_between_two_renames_the_folder_is_made_whole_by_the_next(tmp_path, monkeypatch, after):
    made, out = estate(tmp_path), tmp_path / "out"
    render.write(files(made), out)
    old = standing(out)
    edit(made, "slots = 16", "slots = 20")
    edit(tmp_path / "partners.toml", "number = 2", "number = 3")
    replace, count = os.replace, [0]

    def dies(*args):
        if count[0] == after:
            raise KeyboardInterrupt
        count[0] += 1
        replace(*args)

    monkeypatch.setattr(os, "replace", dies)
    with pytest.raises(KeyboardInterrupt):
        render.write(files(made), out)
    monkeypatch.undo()
    for path in out.glob("*.json"):  # each file is whole, old or new
        rendered.read(path)
    if after:  # and a set that is mixed of both is not brought into force
        with pytest.raises(rendered.Unfit, match="manifest"):
            standing(out)
    render.write(files(made), out)
    assert standing(out) != old and standing(out) == {
        f.name.removesuffix(".json"): json.loads(f.text)["digest"]
        for f in files(made)
        if f.name.count(".") == 1 and f.name != "manifest.json"
    }


@pytest.mark.parametrize(
    "spoil, word",
    [
        (lambda t: t[: len(t) // 2], "not whole JSON"),
        (lambda t: t.replace('"maxCalls": 16', '"maxCalls": 17'), "digest"),
        (lambda t: t.replace('"form": 1', '"form": 2'), "form: must be 1"),
        (lambda t: "[]", "form"),
        (lambda t: "[" * 100_000, "not whole JSON"),
        (lambda t: "", "not whole JSON"),
    ],
)
def test_a_file_that_was_changed_by_hand_is_none(tmp_path, capsys, spoil, word):
    render.write(files(estate(tmp_path)), tmp_path / "out")
    path = tmp_path / "out" / "orders.json"
    path.write_text(spoil(path.read_text()))
    with pytest.raises(rendered.Unfit, match=word):
        rendered.read(path)
    assert main(["config", "check", str(path)]) == 1
    assert capsys.readouterr().out.startswith(f"{path}: ")


def test_what_changes_in_meaning_and_what_it_takes(tmp_path, capsys):
    made = estate(tmp_path / "one")
    other = estate(tmp_path / "two")
    text = other.read_text().replace(str(tmp_path / "two"), str(tmp_path / "one"))
    other.write_text(text)
    edit(other, "retry_base_ms = 50", "retry_base_ms = 60")
    edit(other.parent / "partners.toml", '"127.0.0.1:9003"', '"127.0.0.1:9004"')
    old, new = contents(made), contents(other)
    for content in (*old.values(), *new.values()):  # the folders differ, and are not what is looked at here
        if "sidecar" in content:
            content["sidecar"], content["listen"] = {}, ""
    changes = differences(old, new)
    assert touched(changes) == {"orders"}
    assert [(c.courier, c.path, c.old, c.new) for c in changes if c.needs == "restart"] == [
        ("orders", "settings.design.baseUs", 50_000, 60_000)
    ]
    assert {c.path for c in changes if c.needs == "live"} == {
        "quartet/127.0.0.1:9003",
        "quartet/127.0.0.1:9004",
    }
    assert {c.courier for c in changes} == {"notices", "orders"}  # deposits do not go there
    assert main(["config", "diff", str(made), str(made)]) == 0
    edit(made, "slots = 16", "slots = none")
    assert main(["config", "diff", str(made), str(other)]) == 2
    assert "is not TOML" in capsys.readouterr().out


def test_a_courier_more_or_less_is_a_change(tmp_path):
    old = contents(estate(tmp_path))
    new = {n: c for n, c in old.items() if not n.startswith("orders")}
    assert [str(c) for c in differences(old, new)] == ['orders: : "runs" -> none (restart)']


def test_explain(capsys):
    assert main(["config", "explain", "application.slots"]) == 0
    assert "a whole number from 1 to 10000" in capsys.readouterr().out
    assert main(["config", "explain", "partners.partner.per_s"]) == 0
    assert "has to be given" in capsys.readouterr().out
    assert main(["config", "explain", "classes.status-notice.repeat"]) == 0
    assert "safe, keyed, unsafe" in capsys.readouterr().out
    assert main(["config", "explain", "application.slotz"]) == 2
    assert "did you mean" in capsys.readouterr().err


def test_every_setting_has_help_and_the_page_is_current():
    found = reference.settings()
    assert len(found) > 50 and all(text for _, _, text in found.values())
    assert (ROOT / reference.PAGE).read_text() == reference.page()


def test_the_schema_names_units_and_bounds(capsys):
    assert main(["config", "schema", "estate"]) == 0
    schema = json.loads(capsys.readouterr().out)
    slots = schema["$defs"]["Application"]["properties"]["slots"]
    assert (slots["minimum"], slots["maximum"], slots["default"]) == (1, 10_000, 16)
    assert schema["additionalProperties"] is False


def test_the_platform_s_form_is_one_output(tmp_path, capsys):
    made = estate(tmp_path)
    edit(made, "unix:deposits.sock", "127.0.0.1:7103")
    out = tmp_path / "lb"
    assert main(["config", "render", str(made), "--out", str(out), "--discovery", "127.0.0.1:8500"]) == 0
    env = {"LB_CONFIG": str(out / "orders.json"), "LB_STATE": str(tmp_path)}
    config = load(env, RealDisk())
    assert (config.listen, config.discovery) == (("127.0.0.1", 7102), ("127.0.0.1", 8500))
    side = load_sidecar(str(_rendered(made, tmp_path) / "orders.json"), RealDisk())
    assert config.settings == side.settings and config.known["targets"] == side.known["targets"]
    assert main(["config", "render", str(made), "--out", str(out), "--discovery", "nowhere"]) == 2
    assert "must be HOST:PORT" in capsys.readouterr().err


def _rendered(made, folder):
    render.write(files(made), folder / "out")
    return folder / "out"
