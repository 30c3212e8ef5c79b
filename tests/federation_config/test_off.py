"""Where no federation is set nothing is different: the same bytes, and none of its code is loaded."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

from madderbeam.config import render
from madderbeam.config.check import check

ROOT = Path(__file__).parent.parent.parent
BEFORE = "e4ff4194867e7aba61cab94e1634a5df"  # taken before there was a federation
NEW = (
    "madderbeam.membership",
    "madderbeam.relay",
    "madderbeam.federation",
    "madderbeam.transport.mesh",
    "madderbeam.host.federation",
    "madderbeam.config.federation",
)
ESTATE = """\
[defaults]
slots = 24
zone = "a"

[classes.status-notice]
wanted_ms = 1000
deadline_ms = 6000
repeat = "safe"

[classes.deposit-payment]
wanted_ms = 2000
deadline_ms = 20000

[tenants.atlanta]
share = 0.6

[[quota]]
name = "atlanta"
tenants = ["atlanta"]
limit = { messages_per_s = 40 }

[[application]]
name = "notices"
listen = "127.0.0.1:7101"
control = "127.0.0.1:7102"
state = "state/notices"
classes = ["status-notice"]
kafka = { listen = "127.0.0.1:7103", users = { atlanta = "a word" } }

[[application]]
name = "deposits"
listen = "unix:deposits.sock"
state = "state/deposits"
classes = ["deposit-payment", "status-notice"]
partners = ["venue"]
"""
PARTNERS = """\
[kinds.chain]
bundle = 5

[[partner]]
name = "venue"
number = 1
kind = "chain"
per_s = 100
endpoints = ["127.0.0.1:9001", {address = "127.0.0.1:9002", zone = "b", weight = 3}]

[[partner]]
name = "quartet"
number = 2
kind = "chain"
per_s = 30
endpoints = ["127.0.0.1:9003"]
topic = "notices"

[[route]]
on = "class"
text = "status-notice"
partner = "quartet"
"""


def rendered(folder):
    (folder / "estate.toml").write_text(ESTATE)
    (folder / "partners.toml").write_text(PARTNERS)
    report = check(folder / "estate.toml")
    assert report.problems == []
    return report.loaded


def test_rendered_files_are_as_they_were_byte_for_byte(tmp_path):
    loaded = rendered(tmp_path)
    seen = hashlib.sha256()
    for file in [*render.render(loaded), *render.platform(loaded, "127.0.0.1:1")]:
        value = json.loads(file.text)
        if file.name == render.MANIFEST:
            value["files"] = sorted(value["files"])  # the folder's name is in what they hold
        value.pop("digest", None)
        assert file.text == json.dumps(json.loads(file.text), indent=1, sort_keys=True) + "\n"
        text = json.dumps(value, indent=1, sort_keys=True).replace(os.path.realpath(tmp_path), "FOLDER")
        seen.update(f"{file.name}\n{text}\n".encode())
    assert seen.hexdigest()[:32] == BEFORE


def test_a_list_that_is_shared_with_a_federation_renders_as_without(tmp_path):
    rendered(tmp_path)
    before = [f.text for f in render.render(check(tmp_path / "estate.toml").loaded)]
    listed = tmp_path / "partners.toml"
    listed.write_text(PARTNERS.replace("per_s = 30", 'per_s = 30\nsite = "macon"\ntopics = ["season"]'))
    assert [f.text for f in render.render(check(tmp_path / "estate.toml").loaded)] == before


def loaded_by(command, env):
    """The modules that a courier in a process of its own has loaded once it has said that it is ready."""
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "madderbeam", *command],
        cwd=ROOT,
        env={**os.environ, **env},
        stderr=subprocess.PIPE,
        text=True,
    )
    limit = threading.Timer(30, process.kill)
    limit.start()
    lines = []
    for line in process.stderr:
        lines.append(line)
        if " is ready on port" in line:
            process.send_signal(signal.SIGTERM)
    process.wait()
    limit.cancel()
    assert process.returncode == 0, "".join(lines[-5:])
    return {line.rpartition("|")[2].strip() for line in lines if line.startswith("import time:")}


def test_a_courier_without_a_federation_loads_none_of_it(tmp_path):
    loaded = rendered(tmp_path)
    render.write(render.render(loaded), tmp_path / "out")
    render.write(render.platform(loaded, "127.0.0.1:1"), tmp_path / "platform")
    (tmp_path / "state/deposits").mkdir(parents=True)
    (tmp_path / "state/run").mkdir()
    env = {
        "LB_CONFIG": str(tmp_path / "platform/notices.json"),
        "LB_STATE": str(tmp_path / "state/run"),
        "LB_LISTEN": "127.0.0.1:0",
    }
    beside = loaded_by(["run", "--config", str(tmp_path / "out/deposits.json")], {})
    platform = loaded_by(["run"], env)
    for modules in (beside, platform):
        assert "madderbeam.host.host" in modules and not [m for m in modules if m.startswith(NEW)]
