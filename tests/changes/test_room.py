"""Changes of a courier by its file, and their persistence over restarts of its process."""

import asyncio
import json
import os
import signal
import sys

import pytest
from estates_changes import Courier, Estate, added, address, endpoints, uid
from loopback import ROOT, Client, call
from member_processes import free_port, free_ports

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.config.platform import load_sidecar
from madderbeam.config.render import render, write
from madderbeam.host.composition import assemble
from madderbeam.ports.real import RealDisk, real_ports


def run(test):
    """Run a test with an estate and two endpoints of one partner."""

    def inside(tmp_path):
        async def inner():
            ends = await endpoints(2)
            estate = Estate(tmp_path, {1: [address(ends[0])]}).write()
            try:
                await test(estate, *ends)
            finally:
                for end in ends:
                    await end.stop()

        asyncio.run(inner())

    return inside


@run
async def test_a_changed_file_goes_through_the_same_stages(estate, a, b):
    async with Courier(estate) as courier:
        courier.apply(name="by-hand", add=[added("by-hand", 2, b)])
        estate.partners = {1: [address(a)], 3: [address(b)]}
        estate.more = "max_held = 300"
        estate.write()
        courier.host.reload_files()
        await courier.until(
            lambda: len(courier.machine.outcomes) == 1
        )  # two endpoints would have the same address
        assert courier.machine.current.get(("limit", "max_held")) == 200
        courier.do("POST", "/changes/undo", name="by-hand")
        estate.partners = {1: [address(a)]}
        estate.write()
        courier.host.reload_files()
        await courier.until(lambda: courier.host.settings.max_pending == 300)
        assert any(t.change.source == "file" for t in courier.machine.canaries)
        await courier.until(lambda: not courier.machine.canaries)
    assert RealDisk().is_folder(str(estate.folder / "state-changes"))


@run
async def test_a_drain_by_the_list_waits_for_no_canary(estate, a, b):
    estate.partners = {1: [address(a), address(b)]}
    estate.write()
    async with Courier(estate) as courier:
        courier.apply(
            name="edit",
            trial_ms=60_000,
            edit=[{"uid": uid(1, a), "zone": "z"}, {"uid": uid(1, b), "zone": "z"}],
        )
        estate.states[address(a)] = "terminating"
        estate.write()
        courier.host.reload_files()
        name = uid(1, a)
        entry = courier.host.registry.entries[courier.host.registry.uids[name]]
        assert entry.state.value == "draining"
        assert [t.id for t in courier.machine.canaries] == ["edit"]
        courier.do("POST", "/changes/undo", name="edit")
        assert courier.machine.current.endpoints.get(name).state == "terminating"


@run
async def test_an_unchanged_file_undoes_no_command(estate, a, b):
    async with Courier(estate) as courier:
        courier.apply(name="more", add=[added("more", 1, b)])
        await courier.until_ended("more")
        estate.more = "max_held = 300"
        estate.write()
        courier.host.reload_files()
        await courier.until(lambda: courier.host.settings.max_pending == 300)
        assert "more" in courier.machine.current.endpoints
        await courier.until(lambda: not courier.machine.canaries)
    async with Courier(estate) as courier:
        assert "more" in courier.host.registry.uids and courier.host.settings.max_pending == 300


@run
async def test_a_set_of_files_that_is_being_written_is_read_again(estate, a, b):
    async with Courier(estate) as courier:
        manifest = estate.rendered.with_name("manifest.json")
        old = manifest.read_bytes()
        estate.partners = {1: [address(a), address(b)]}
        estate.write()
        new = manifest.read_bytes()
        manifest.write_bytes(old)
        courier.host.reload_files()
        assert len(courier.host.registry.entries) == 1
        manifest.write_bytes(new)
        await courier.until(lambda: len(courier.host.registry.entries) == 2)


@run
async def test_settings_change_while_messages_arrive(estate, a, b):
    estate.more = "couriers = 1"
    estate.write()
    async with Courier(estate) as courier:
        unknown = "-ERR c: no such class, must be one of safe, unsafe"
        assert await courier.client.put("m0", kind="new", dest=1) == unknown
        courier.apply(
            name="one",
            classes={"new": {"wanted_ms": 500, "deadline_ms": 5000, "repeat": "safe"}},
            kinds={"chain": {"bundle": 5}},
            limits={"max_held": 100, "attempts": 2, "window": 3},
            add=[added("b", 2, b, kind="chain", zone="far")],
            quota={
                "form": 1,
                "couriers": 1,
                "nodes": [{"name": "n", "tenants": ["t"], "limit": {"messages_per_s": 1}}],
            },
        )
        assert await courier.client.put("m1", kind="new", dest=2) == "+OK"
        assert (await courier.client.put("m2", kind="new", dest=1)).startswith("-BUSY")  # over its quota
        assert (
            courier.host.courier.state.destination_window == 3
            and courier.host.courier.state.attempts_per_message == 2
        )
        assert courier.host.metrics.classes == ("safe", "unsafe", "new")
        courier.do("POST", "/changes/undo", name="one")
        assert await courier.client.put("m3", kind="new", dest=1) == unknown
        assert await courier.client.put("m4", dest=1) == "+OK" and not courier.host.admission.checks
        assert await courier.client.put("m5", dest=1) == "+OK"
        assert courier.host.courier.state.destination_window == 12
        assert "app.succeeded.new=" in courier.host.metrics_text()


@run
async def test_changes_that_need_a_restart_take_effect_at_one(estate, a, b):
    """Kafka clients know the classes, so neither a command nor the file may change them before a restart."""
    kafka = '[application.kafka]\nlisten = "127.0.0.1:0"\nadvertised = "127.0.0.1:9092"\n'
    estate.more = kafka.replace(":0", f":{free_port('127.0.0.1')}")
    estate.write()
    async with Courier(estate) as courier:
        new = {"new": {"wanted_ms": 5, "deadline_ms": 9, "repeat": "safe"}}
        status, text = courier.apply(name="one", classes=new)
        assert status == 409 and "class new: " in text and "(needs-restart: " in text
    path = estate.folder / "estate.toml"
    text = path.read_text().replace('classes = ["safe", "unsafe"]', 'classes = ["unsafe"]')
    path.write_text(text)
    report = check(path)
    write(render(report.loaded), estate.folder / "rendered")
    async with Courier(estate) as courier:
        assert courier.host.admission.class_indices == {"unsafe": 0}
        assert [c.name for c in courier.host.settings.classes] == ["unsafe"]


@run
async def test_without_the_setting_nothing_is_loaded(estate, a, b):
    raw = load_sidecar(str(estate.rendered), RealDisk())
    loop = asyncio.get_running_loop()
    from dataclasses import replace

    plain = replace(
        raw, changes=None, listen=("127.0.0.1", 0), control=None, state=str(estate.folder / "other")
    )
    os.mkdir(plain.state)
    host = assemble(loop, real_ports(loop), plain)
    assert (
        not host.components
        and not host.admission.numbered_listeners
        and "/changes" not in str(host.admin_service.calls)
    )
    assert host.watch.told == host.apply_list
    host.close()
    code = "import sys, madderbeam.host.process; print([m for m in sys.modules if '.changes' in m])"
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await child.communicate()
    assert out.decode().strip() == "[]"


# Couriers in their own processes


class Process:
    """A courier started with `madderbeam run --config`."""

    def __init__(self, estate, port, control):
        self.estate, self.port, self.control = estate, port, control

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            "run",
            "--config",
            str(self.estate.rendered),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )

        async def ready():
            while True:
                line = (await self.child.stderr.readline()).decode()
                assert line, "the courier ended"
                if "is ready on port" in line:
                    return

        await asyncio.wait_for(ready(), 60)
        self.reading = asyncio.ensure_future(self.child.stderr.read())
        return self

    async def end(self, sig=signal.SIGKILL):
        if self.child.returncode is None:
            self.child.send_signal(sig)
        await asyncio.wait_for(self.child.wait(), 30)
        await self.reading

    async def state(self):
        status, text = await call(self.control, "GET", "/changes")
        assert status == 200
        return json.loads(text)

    async def until(self, so):
        async def inner():
            while not so(state := await self.state()):
                await asyncio.sleep(0.05)
            return state

        return await asyncio.wait_for(inner(), 30)

    async def post(self, **body):
        return await call(self.control, "POST", "/changes", json.dumps(body).encode())


def processes(test=None, *, count=1, **bounds):
    """Run a test with `count` couriers that share the endpoints of one partner."""
    if test is None:
        return lambda test: processes(test, count=count, **bounds)

    def inside(tmp_path):
        async def inner():
            ends, started = await endpoints(3), []
            for n in range(count):
                port, control = free_ports("127.0.0.1", 2)
                estate = Estate(
                    tmp_path / f"c{n}",
                    {1: [address(ends[0]), address(ends[1])]},
                    listen=f"127.0.0.1:{port}",
                    control=f"127.0.0.1:{control}",
                    **bounds,
                ).write()
                started.append(Process(estate, port, control))
            try:
                await asyncio.gather(*(p.start() for p in started))
                await test(started, ends)
            finally:
                for process in started:
                    if hasattr(process, "child"):
                        await process.end()
                for end in ends:
                    await end.stop()

        asyncio.run(inner())

    return inside


@processes(count=2, trial_ms=3000)
async def test_8_a_killed_process_resumes_from_the_last_complete_version(couriers, ends):
    """Two couriers get the same changes; one is killed at three points between stage and kept. Both must
    reach the same rows, and each message must be completed once."""
    a, b, c = ends
    killed, other = couriers
    clients = {p: await Client().open(p.port) for p in couriers}
    taken = {p: [] for p in couriers}

    async def load(count):
        for p in couriers:
            for _ in range(count):
                ident = f"m{len(taken[p])}"
                if await clients[p].put(ident, dest=1, life=8000) == "+OK":
                    taken[p].append(ident)

    async def restart():
        await killed.end()
        await killed.start()
        clients[killed] = await Client().open(killed.port)

    staged = {"name": "staged", "base": 1, "drain": [uid(1, b)]}
    on_trial = {"name": "trial", "base": 1, "add": [added("c", 1, c)]}
    for p in couriers:
        assert (await p.post(do="stage", change=staged))[0] == 202
    await load(5)
    await restart()  # staged
    assert [w["name"] for w in (await killed.state())["waiting"]] == ["staged"]
    for p in couriers:
        assert (await p.post(do="apply", change=on_trial))[0] == 202
        assert (await p.post(do="go", name="staged"))[0] == 202
    await load(5)
    await restart()  # applied, on trial
    state = await killed.state()
    assert [t["name"] for t in state["on_trial"]] == ["trial", "staged"] and state["rows"]["endpoint"] == 3
    assert uid(1, b) in state["drains"]
    for p in couriers:
        state = await p.until(lambda s: not s["on_trial"])
        assert [(h["name"], h["what"]) for h in state["history"]] == [("trial", "kept"), ("staged", "kept")]
    before = b.calls.qsize()
    await restart()  # kept
    state = await killed.state()
    assert state["rows"] == (await other.state())["rows"] and state["version"] == 3
    await load(10)
    await asyncio.sleep(0)
    assert b.calls.qsize() == before  # both couriers drain it

    async def ended():
        bodies = 0
        while bodies < sum(map(len, taken.values())):
            bodies = sum(e.calls.qsize() for e in ends)
            await asyncio.sleep(0.02)

    await asyncio.wait_for(ended(), 20)
    for client in clients.values():
        client.writer.close()


@processes(trial_ms=60_000)
async def test_two_operators_at_once_on_one_courier(couriers, ends):
    [courier], (a, b, c) = couriers, ends
    answers = await asyncio.gather(
        courier.post(
            do="apply",
            change={
                "name": "one",
                "base": 1,
                "edit": [{"uid": uid(1, a), "zone": "x"}, {"uid": uid(1, b), "zone": "x"}],
            },
        ),
        courier.post(
            do="apply", change={"name": "two", "base": 1, "edit": [{"uid": uid(1, a), "zone": "y"}]}
        ),
        courier.post(do="apply", change={"name": "three", "base": 1, "add": [added("c", 1, c)]}),
    )
    state = await courier.state()
    assert sorted(status for status, _ in answers) == [202, 202, 409]
    assert "three" in [t["name"] for t in state["on_trial"]] and len(state["on_trial"]) == 2
    assert [text for status, text in answers if status == 409 and "(stale: " in text]


@processes(trial_ms=60_000)
async def test_the_command_submits_changes_and_shows_their_outcomes(couriers, ends):
    [courier], (a, *_) = couriers, ends
    at = ["--at", f"127.0.0.1:{courier.control}"]
    file = courier.estate.folder / "change.toml"

    async def command(*words):
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            "change",
            *words,
            *at,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(child.communicate(), 30)
        return child.returncode, out.decode() + err.decode()

    file.write_text(f'name = "x"\nbase = 1\ndrain = ["{uid(1, a)}", "nobody"]\n')
    code, text = await command("check", str(file))
    assert code == 1 and "endpoint nobody: is not there" in text
    file.write_text(f'name = "x"\nbase = 1\ndrain = ["{uid(1, a)}"]\n')
    assert await command("check", str(file)) == (0, "x: holds on version 1\n")
    assert (await command("stage", str(file)))[0] == 0
    code, text = await command("apply", str(file))
    assert code == 0 and "in force as version 2" in text
    code, text = await command("status")
    assert code == 0 and "on trial: x (version 2)" in text and f"drains: {uid(1, a)}" in text
    code, text = await command("undo", "x")
    assert code == 0 and "not restored: endpoint" in text and "was told to drain" in text
    code, text = await command("history")
    assert code == 0 and "x: undone version 2: by an operator's word" in text
    code, text = await command("undo", "nothing")
    assert code == 1 and "no change 'nothing'" in text


def test_a_command_reports_an_unreachable_courier(tmp_path, capsys):
    assert main(["change", "status", "--at", "127.0.0.1:1"]) == 2
    assert "no courier answers" in capsys.readouterr().err
    assert main(["change", "check", str(tmp_path / "none.toml"), "--at", "127.0.0.1:1"]) == 2


def test_an_estate_with_changes_renders_its_bounds(tmp_path):
    estate = Estate(tmp_path, {1: ["127.0.0.1:9001"]}, failing_share=0.25).write()
    config = load_sidecar(str(estate.rendered), RealDisk())
    assert config.changes["failing_share"] == 0.25 and config.changes["trial_ms"] == 1000
    with pytest.raises(AssertionError):
        Estate(tmp_path, {1: ["127.0.0.1:9001"]}, trial_ms=5).write()
