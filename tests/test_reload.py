"""SIGHUP: the courier reads its configuration again and follows discovery to where the file says it is."""

import asyncio
import json
import random
import signal

import pytest
from loopback import Discovery, answer, bounded, courier

from madderbeam.host.config_reload import ConfigReloader
from madderbeam.ports.real import RealDisk


def rewrite(fleet, port):
    path = fleet.folder / "config.json"
    raw = json.loads(path.read_text())
    raw["discovery"] = f"127.0.0.1:{port}"
    path.write_text(json.dumps(raw))


@courier
async def test_sighup_moves_the_watch_and_the_notices(fleet):
    # Unhandled, SIGHUP ends the process.
    e = await fleet.endpoint("a", answer(200), answer(500))
    client = await fleet.outside()
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=1")
    new = await Discovery().start()
    new.rev, new.targets = 2, dict(fleet.discovery.targets)
    new.target("b", e.port, 8)
    (fleet.folder / "config.json").rename(fleet.folder / "old.json")
    fleet.process.send_signal(signal.SIGHUP)  # the file lacks, then is half written: the old one stays
    (fleet.folder / "half.json").write_text((fleet.folder / "old.json").read_text()[:50])
    (fleet.folder / "half.json").rename(fleet.folder / "config.json")
    fleet.process.send_signal(signal.SIGHUP)
    assert await client.put("m1") == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m1" and new.watches.empty()
    (fleet.folder / "old.json").rename(fleet.folder / "config.json")
    rewrite(fleet, new.port)  # found by the courier itself: no further signal comes
    assert (await bounded(new.watches.get())).endswith("from=1")
    assert await client.put("u1", kind="unsafe") == "+OK"
    assert await new.final() == {"id": "u1", "status": "undeliverable"}
    assert fleet.discovery.finals.empty() and fleet.process.returncode is None
    await new.stop()


@pytest.mark.parametrize(
    "strange",
    [
        "[" * 100_000,
        "",
        "[]",
        "null",
        '{"discovery": null}',
        '{"discovery": 8500}',
        *(
            json.dumps({"discovery": text})
            for text in (
                "127.0.0.1",
                "127.0.0.1:0",
                "127.0.0.1:\u00b2",
                "127.0.0.1:" + "9" * 5000,
                "nowhere.invalid:80",
                "http://127.0.0.1:80",
                "\u00e4..b:80",
            )
        ),
    ],
)
def test_a_strange_file_leaves_all_as_it_was_and_a_good_one_is_found(strange, tmp_path):
    # Some ended the reading, so that a good file that came later was not seen; some led the watch nowhere.
    async def test(fleet):
        e = await fleet.endpoint("a")
        client = await fleet.inside()
        await bounded(fleet.discovery.watches.get())
        failures, path = [], tmp_path / "config.json"
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: failures.append(context))
        good, told = path.read_text(), asyncio.Queue()
        path.write_text(strange)
        reloader = ConfigReloader(
            loop,
            {"LB_CONFIG": str(path)},
            RealDisk(),
            fleet.host.move_discovery,
            random.Random(1),
            told.put_nowait,
        )
        loop.call_soon(reloader.reload)
        used = await bounded(told.get())
        assert await client.put("m1") == "+OK"
        assert (await e.call())[1]["x-request-id"] == "m1"
        new = await Discovery().start()
        new.targets = dict(fleet.discovery.targets)
        path.write_text(good)
        rewrite(fleet, new.port)
        assert (await bounded(new.watches.get())).endswith("from=1")
        reloader.stop()
        assert not used and told.empty() and not failures and fleet.discovery.watches.empty()
        await new.stop()

    courier(test)(tmp_path)


@courier
async def test_a_process_that_starts_again_goes_where_sighup_had_moved_discovery(fleet):
    # Its environment is as it was: the watch went back to the old address, whose list may be old for ever.
    e = await fleet.endpoint("a")
    env = fleet.env()
    new = await Discovery().start()
    new.target("b", e.port, 8)
    new.target("z", 9, 99, state="terminating")
    rewrite(fleet, new.port)
    fleet.env = lambda: env
    client = await fleet.outside()
    await bounded(new.watches.get())
    assert await client.put("m1", dest=8) == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m1"
    assert await client.put("late", life=300, dest=99) == "+OK"
    assert (await new.final())["id"] == "late"
    assert fleet.discovery.watches.empty() and fleet.discovery.finals.empty()
    await new.stop()


@pytest.mark.parametrize("value", [None, 5, "nowhere", "127.0.0.1:0"])
def test_a_file_with_no_address_that_can_be_used_leaves_the_environment_s(value, tmp_path):
    async def test(fleet):
        await fleet.endpoint("a")
        env = fleet.env()
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": value}))
        fleet.env = lambda: env
        await fleet.inside()
        await bounded(fleet.discovery.watches.get())

    courier(test)(tmp_path)


@courier
async def test_notices_unanswered_at_the_old_address_are_sent_to_the_new_one(fleet):
    class Mute(Discovery):
        async def serve(self, reader, writer):
            await reader.read()

    await fleet.endpoint("a", answer(500))
    fleet.discovery = await Mute().start()
    fleet.discovery.target("a", fleet.endpoints["a"].port, 7)
    client = await fleet.inside()
    assert await client.put("u1", kind="unsafe") == "+OK"
    while not fleet.host.notices.sent:
        await asyncio.sleep(0.01)
    new = await Discovery().start()
    new.targets = fleet.discovery.targets
    fleet.host.move_discovery(("127.0.0.1", new.port))
    assert await new.final() == {"id": "u1", "status": "undeliverable"}
    await bounded(new.watches.get())
    await new.stop()
