"""What a courier reads of the federation in its file: all of it, or one line that names the field."""

import json

import pytest
from federation_config.page import PAGE, edit, estates

from madderbeam.config import model, rendered
from madderbeam.config.check import check
from madderbeam.config.federation import Federation, FederationUnfit, Times, read
from madderbeam.config.platform import ConfigError, load_sidecar
from madderbeam.config.render import render, write
from madderbeam.config.sites import backlog
from madderbeam.federation.table import MAX_SITES
from madderbeam.membership.values import MemberId
from madderbeam.ports.real import RealDisk

SECTION = PAGE.read_text().partition("```json\n")[2].partition("```")[0]
SPOILT = {  # where, what stands there, a word of the line
    "no object": ((), [], "federation: must be a JSON object"),
    "unknown field": (("leases",), 5, "federation.leases: no such field"),
    "no name": (("name",), None, "federation.name: must be a name"),
    "long name": (("site",), "x" * 65, "federation.site: must be a name of 1 to 64"),
    "listen": (("listen",), "127.0.0.1:0", "federation.listen: must be HOST:PORT"),
    "listen of no text": (("listen",), 7201, "federation.listen: must be HOST:PORT"),
    "seeds of no pairs": (("seeds",), ["athens/a1"], "federation.seeds: must be pairs"),
    "seed of no member": (("seeds",), [["athens", "127.0.0.1:1"]], "federation.seeds is 'athens'; allowed"),
    "many seeds": (("seeds",), [["a/b", "127.0.0.1:1"]] * 20_001, "federation.seeds: must be at most"),
    "via": (("via", "athens/a1"), "here", "federation.via.athens/a1: must be HOST:PORT"),
    "no table": (("table",), None, "federation.table: the document is no mapping"),
    "table": (("table", "sites", "athens"), {}, "federation.table: sites.athens"),
    "not in the table": (("member",), "m7", "federation.member: macon/m7 is not in the table"),
    "lease": (("lease_ms",), True, "federation.lease_ms: must be a whole number from 1, not True"),
    "drift": (("lease_drift_ppm",), 0.1, "federation.lease_drift_ppm: must be a whole number from 0"),
    "backlog": (("backlog_bytes",), 0, "federation.backlog_bytes: must be a whole number"),
    "unknown time": (("times", "probe_ms"), 5, "federation.times.probe_ms: no such field"),
    "time": (("times", "probe_period_ms"), 1.5, "federation.times.probe_period_ms: must be a whole number"),
    "time-out": (("times", "probe_timeout_ms"), 1000, "federation.times.probe_timeout_ms: must be under"),
    "suspicion": (("times", "suspicion_beta"), 0, "federation.times.suspicion_beta: must be a number from 1"),
}


@pytest.mark.parametrize("name", sorted(SPOILT))
def test_what_can_not_be_is_told_in_one_line(tmp_path, name):
    path, value, word = SPOILT[name]
    made = estates(tmp_path)
    write(render(check(made).loaded), tmp_path / "out")
    file = json.loads((tmp_path / "out/m1.json").read_text())
    at, *rest = ("federation", *path)
    spot = file
    for part in rest:
        spot, at = spot[at], part
    spot[at] = value
    (tmp_path / "out/m1.json").write_text(json.dumps(rendered.seal(file)))
    with pytest.raises(ConfigError) as told:
        load_sidecar(str(tmp_path / "out/m1.json"), RealDisk())
    assert word in str(told.value) and "\n" not in str(told.value) and len(str(told.value)) < 400
    assert str(told.value).startswith(str(tmp_path / "out/m1.json"))


def test_all_that_is_set_is_read(tmp_path):
    made = estates(tmp_path)
    edit(
        made,
        'site = "macon"\n',
        """site = "macon"
probe_period_ms = 200
probe_timeout_ms = 90
indirect_probes = 0
suspicion_alpha = 3.0
suspicion_beta = 4.0
exchange_period_ms = 5000
agree_within_ms = 7000
table_file = "next.json"
lease_ms = 8000
lease_drift_ppm = 0
backlog_messages = 11
backlog_mb = 0.5
wait_told_ms = 600
share = true
""",
    )
    edit(made, 'name = "m1"\n', 'name = "desk"\nmember = "m1"\nmesh_listen = "0.0.0.0:7299"\n')
    edit(
        made,
        "[federation]",
        '[defaults.via]\n"macon/m1" = "127.0.0.1:9201"\n"athens/a1" = "[::1]:9401"\n[federation]',
    )
    write(render(check(made).loaded), tmp_path / "out")
    told = load_sidecar(str(tmp_path / "out/desk.json"), RealDisk()).federation
    athens, savannah = MemberId("athens", "a1"), MemberId("savannah", "s1")
    assert told == Federation(
        "georgia",
        "macon",
        "m1",
        ("0.0.0.0", 7299),
        ((athens, ("127.0.0.1", 7401)), (savannah, ("127.0.0.1", 7301))),
        {athens: ("::1", 9401)},
        told.table,
        str(made.parent / "next.json"),
        8000,
        0,
        7000,
        11,
        500_000,
        600,
        Times(200, 90, 0, 3.0, 4.0, 5000),
        True,
    )
    assert told.address(athens) == ("::1", 9401) and told.address(savannah) == ("127.0.0.1", 7301)
    assert told.address(told.id) is None


def test_defaults_are_those_of_the_model():
    section = json.loads(SECTION)
    short = {name: section[name] for name in ("name", "site", "member", "listen", "table")}
    told, modelled = read(short), model.Federation(name="georgia", site="macon")
    assert told.times == Times() and (told.seeds, told.via) == ((), {})
    for name in Times.__dataclass_fields__:
        assert getattr(told.times, name) == getattr(modelled, name)
    for name in ("lease_ms", "lease_drift_ppm", "agree_within_ms", "wait_told_ms", "share"):
        assert getattr(told, name) == getattr(modelled, name)
    app = model.Application(name="m1", listen="127.0.0.1:1", state="state", classes=["c"])
    assert (told.backlog_messages, told.backlog_bytes / 1e6) == backlog(modelled, app)
    schema = model.Estate.model_json_schema()
    assert schema["properties"]["site"]["maxItems"] == MAX_SITES


def test_a_section_alone_names_its_field():
    with pytest.raises(FederationUnfit, match="^federation.times: must be a JSON object"):
        read({**json.loads(SECTION), "times": 5})
