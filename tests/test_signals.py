"""Signals that come close together, or before the courier has begun its work."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tomllib

import pytest
from loopback import ROOT, Client, Discovery, bounded, courier


class Silent(Discovery):
    """An agent with nothing to tell while discovery is down; it takes notices all the same."""

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n")
        if b"/discovery" in head:
            await reader.read()
            return
        replay = asyncio.StreamReader()
        replay.feed_data(head)

        async def copy():
            while data := await reader.read(10_000):
                replay.feed_data(data)
            replay.feed_eof()

        task = asyncio.create_task(copy())
        try:
            await super().serve(replay, writer)
        finally:
            task.cancel()


async def restored(fleet):
    """An endpoint, and a courier that has one message taken on, untried, whose process is to start."""
    endpoint = await fleet.endpoint("a", dest=5)
    fleet.discovery.targets["a"]["state"] = "terminating"
    client = await fleet.inside()
    assert await client.put("held", dest=5) == "+OK"
    fleet.host.close()
    fleet.discovery.targets["a"]["state"] = "in_service"
    targets = fleet.discovery.targets
    await fleet.discovery.stop()
    fleet.discovery = await Silent().start()
    fleet.discovery.targets = targets
    return endpoint


@courier
async def test_sigterm_before_work_has_begun_serves_who_waits_and_what_was_restored(fleet):
    endpoint = await restored(fleet)
    client = await fleet.inside()
    host = fleet.host
    assert host.start_timer is not None  # it waits for the list
    host.terminate()
    host.terminate()
    assert await client.put("came", dest=5) == "+OK"
    assert {(await endpoint.call())[1]["x-request-id"] for _ in range(2)} == {"held", "came"}
    await bounded(host.closed)  # nothing is left, its clients are let go: no need to wait for the last timer
    assert not host.journal.pending and await bounded(client.reader.read()) == b""


@courier
async def test_sigterm_again_and_again_ends_the_process_once_and_in_order(fleet):
    endpoint = await fleet.endpoint("a", "hold")
    client = await fleet.outside()
    assert await client.put("m1") == "+OK"
    await endpoint.call()
    for _ in range(5):
        fleet.process.send_signal(signal.SIGTERM)
        late = await Client().open(fleet.port)
        assert await late.send(Client.command(b"PING")) == "+PONG"
    endpoint.release.set()
    assert await bounded(fleet.process.wait()) == 0
    await fleet.outside()
    assert await (await Client().open(fleet.port)).put("m1") == "+OK"  # it was delivered: not sent again
    assert endpoint.calls.empty()


@pytest.mark.parametrize("order", [(signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)])
def test_a_move_of_discovery_right_at_sigterm_takes_the_notices_along(tmp_path, order):
    async def test(fleet):
        client = await fleet.outside()
        assert await client.put("first", life=300, dest=99) == "+OK"
        assert (await fleet.discovery.final())["id"] == "first"  # a connection to the old address is kept
        moved = await Discovery().start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": f"127.0.0.1:{moved.port}"}))
        assert await client.put("late", life=300, dest=99) == "+OK"
        for number in order:
            fleet.process.send_signal(number)
        told = []
        while "late" not in told:  # the first one as well, if its answer had not come before the move
            told.append((await moved.final())["id"])
        assert await bounded(fleet.process.wait()) == 0
        assert set(told) <= {"first", "late"}
        # What was answered is not told again: that would come on the connection that had the answer.
        assert all(ids in ([], ["first"]) for ids in fleet.discovery.heard)
        await moved.stop()

    courier(test)(tmp_path)


@courier
async def test_sigterm_right_behind_an_answer_keeps_what_was_taken_on(fleet):
    fleet.discovery.target("z", 9, 5, state="terminating")
    client = await fleet.outside()
    client.writer.write(Client.message("m1", dest=5))
    assert await client.line() == "+OK"
    fleet.process.send_signal(signal.SIGTERM)
    assert await bounded(client.reader.read()) == b""
    await bounded(fleet.process.wait())
    endpoint = await fleet.endpoint("a", dest=5)
    await fleet.outside()
    assert (await endpoint.call())[1]["x-request-id"] == "m1"


@courier
async def test_sighup_before_the_courier_has_a_handler_is_heeded_once_it_has(fleet):
    # Its file lies in a pipe: the process waits there, amid its start, for as long as the test wants.
    moved = await Discovery().start()
    env = {**os.environ, **fleet.env()}
    path = pathlib.Path(env["LB_CONFIG"])
    config = json.loads(path.read_text())
    path.unlink()
    os.mkfifo(path)
    process = fleet.process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "madderbeam", env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    loop = asyncio.get_running_loop()
    pipe = await bounded(loop.run_in_executor(None, open, path, "w"))  # it has opened its end
    path.unlink()
    path.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{moved.port}"}))
    process.send_signal(signal.SIGHUP)
    with pipe:
        pipe.write(json.dumps(config))
    assert b"is ready on port" in await bounded(process.stderr.readline())
    assert "watch=1" in await bounded(moved.watches.get())
    process.send_signal(signal.SIGTERM)
    assert await bounded(process.wait()) == 0
    await moved.stop()


@courier
async def test_a_sighup_before_the_interpreter_is_up_does_not_end_the_process_and_its_move_is_followed(fleet):
    # Python has no handler in its first 80 ms: the default ended the process, which counts as a crash.
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    run = run.replace(".venv/bin/python", sys.executable)
    moved = await Discovery().start()
    env = {**os.environ, **fleet.env(), "PYTHONPATH": str(ROOT)}
    config = pathlib.Path(env["LB_CONFIG"])
    raw = json.loads(config.read_text())
    process = fleet.process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", run, env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    words = pathlib.Path(f"/proc/{process.pid}/cmdline")
    while b"-m\0madderbeam" not in words.read_bytes():  # by exec, so that it has the shell's number
        await asyncio.sleep(0)
    config.write_text(json.dumps({**raw, "discovery": f"127.0.0.1:{moved.port}"}))
    process.send_signal(signal.SIGHUP)  # it is the interpreter, which has run nothing of ours yet
    lines = []
    while not lines or b"is ready on port" not in lines[-1]:
        lines.append(await bounded(process.stderr.readline()))
        assert lines[-1], lines
    await bounded(moved.watches.get())
    await moved.stop()
