"""The courier in this process, between scripted endpoints, discovery and clients."""

import asyncio
import time
from dataclasses import replace

import pytest
from loopback import Client, Discovery, Fleet, answer, bounded, courier, settings

from madderbeam.config.platform import ConfigError, load
from madderbeam.policy.engine import RETRY_AFTER_ROUNDING_US
from madderbeam.policy.events import EndpointState
from madderbeam.ports.real import RealDisk


@courier
async def test_a_message_goes_on_unchanged(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    body = bytes(range(256)) * 8 + b"\r\n*1\r\n$4\r\nPING\r\n"
    assert await client.send(client.command(b"PING")) == "+PONG"
    assert await client.put("m1", kind="keyed", key="k1", body=body) == "+OK"
    path, headers, got, _ = await e.call()
    assert (path, headers["x-request-id"], headers["idempotency-key"], got) == ("/events", "m1", "k1", body)
    assert fleet.discovery.finals.empty()


@courier
async def test_a_safe_message_is_tried_again_and_an_unsafe_one_is_not(fleet):
    e = await fleet.endpoint("a", answer(500), answer(200), answer(500))
    client = await fleet.inside()
    await client.put("s")
    assert [(await e.call())[1]["x-request-id"] for _ in range(2)] == ["s", "s"]
    await client.put("u", kind="unsafe")
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}
    assert (await e.call())[1]["x-request-id"] == "u" and e.calls.empty()


@courier
async def test_a_told_wait_is_heeded_and_passed_on(fleet):
    # A wait binds from when its answer was written, for every message to that destination.
    e = await fleet.endpoint("a", answer(429, Retry_After="0.7"))
    client = await fleet.inside()
    await client.put("m1")
    told = (await e.call())[3]
    final = await fleet.discovery.final()
    assert (final["id"], final["status"]) == ("m1", "deferred") and 600 <= final["again_ms"] <= 700
    await client.put("m2")
    assert (await e.call())[3] - told >= 0.7


@courier
async def test_a_wait_holds_for_the_part_of_a_millisecond_that_it_leaves_out(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    host = fleet.host
    host.registry.clock = lambda: 0
    host.apply_retry_after(host.registry.uids["a"], 5_000)
    assert list(host.registry.waits.values()) == [5_000 + RETRY_AFTER_ROUNDING_US]


@courier
async def test_nothing_goes_to_a_draining_endpoint(fleet):
    a = await fleet.endpoint("a")
    b = await fleet.endpoint("b")
    client = await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    for n in range(4):
        await client.put(f"m{n}")
    fleet.discovery.change("a", state="terminating")
    while fleet.host.watch.rev != fleet.discovery.rev:
        await asyncio.sleep(0.01)
    before = a.calls.qsize()
    for n in range(4, 12):
        await client.put(f"m{n}")
    while a.calls.qsize() + b.calls.qsize() < 12:
        await asyncio.sleep(0.01)
    assert a.calls.qsize() == before
    assert not fleet.host.calls.pools[fleet.host.registry.uids["a"]].idle
    number = fleet.host.registry.uids["b"]
    fleet.discovery.change("b", state="terminated")
    while number in fleet.host.registry.entries:
        await asyncio.sleep(0.01)


@courier
async def test_a_bundle_with_mixed_ends(fleet):
    def mixed(body):
        rows = b'[{"id":"b1","state":"done"},{"id":"b2","state":"failed"},{"id":"b3","state":"busy"}]'
        return answer(200, rows, Retry_After="0.3")

    # The first call teaches the courier that more than one may be out; then three travel as one.
    e = await fleet.endpoint("a", answer(200), mixed, dest=9, kind="bundles")
    client = await fleet.inside()
    await client.put("b0", dest=9)
    await e.call()
    client.writer.write(b"".join(client.message(f"b{n}", kind="unsafe", dest=9) for n in (1, 2, 3)))
    assert [await client.line() for _ in range(3)] == ["+OK"] * 3
    assert (await e.call())[0] == "/events/bundle"
    finals = [await fleet.discovery.final() for _ in range(2)]
    assert {f["id"]: f["status"] for f in finals} == {"b2": "undeliverable", "b3": "deferred"}
    assert "b1" in fleet.host.journal.completed_ids


@courier
async def test_discovery_lost_and_back(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    await fleet.discovery.stop()
    await client.put("m1")  # goes on with the list that it has
    await fleet.endpoints["a"].call()
    b = await fleet.endpoint("b", dest=8)
    fleet.discovery.rev += 1
    await fleet.discovery.start()
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=1")
    assert await client.put("m2", dest=8) == "+OK"
    assert (await b.call())[1]["x-request-id"] == "m2"


def test_a_silent_watch_is_opened_again(tmp_path, monkeypatch):
    # A cut connection stays open and silent: only the missing empty lines tell.
    monkeypatch.setattr("madderbeam.transport.discovery.SILENCE_S", 0.2)

    class Mute(Discovery):
        def _push(self, line):
            pass

    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            await fleet.inside()
            for _ in range(3):
                await bounded(fleet.discovery.watches.get())

    asyncio.run(run())


@courier
async def test_a_notice_is_sent_until_it_is_accepted(fleet):
    await fleet.endpoint("a", answer(500))
    fleet.discovery.notice_status = [500, 503]
    client = await fleet.inside()
    await client.put("u", kind="unsafe")
    for status in (500, 503, 204):
        assert await fleet.discovery.final(status) == {"id": "u", "status": "undeliverable"}
    while fleet.host.journal.pending:
        await asyncio.sleep(0.01)


@courier
async def test_a_message_handed_in_twice_is_not_run_twice(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    client.writer.write(client.message("m", kind="unsafe") * 2)
    assert [await client.line() for _ in range(2)] == ["+OK"] * 2
    await e.call()
    while fleet.host.journal.pending:
        await asyncio.sleep(0.01)
    assert await client.put("m", kind="unsafe") == "+OK"
    await client.put("n")
    assert (await e.call())[1]["x-request-id"] == "n"


@courier
async def test_with_no_room_it_refuses_and_says_when_to_come_again(fleet):
    fleet.raw = settings(policyLimits__maxOpen=4)
    client = await fleet.inside()  # no endpoint: all that is taken on waits
    client.writer.write(b"".join(client.message(f"m{n}") for n in range(6)))
    answers = [await client.line() for n in range(6)]
    busy = [a for a in answers if a.startswith("-BUSY ")]
    assert answers[0] == "+OK" and busy and all(0 < int(a.split()[1]) <= 2000 for a in busy)


@courier
async def test_a_full_disk_refuses(fleet):
    # Old and new journal together must stay under the limit: more than that is a crash.
    fleet.limits["disk_mb"] = 0.1
    client = await fleet.inside()
    answers = [await client.put(f"m{n}", body=b"x" * 9000) for n in range(10)]
    assert "+OK" in answers and answers[-1].startswith("-BUSY ")
    files = (fleet.folder / "state").iterdir()
    assert sum(-(-f.stat().st_size // 512) * 512 for f in files) < 100_000
    assert len(fleet.host.journal.pending) == answers.count("+OK") < 10
    e = await fleet.endpoint("a")
    fleet.discovery.rev += 1
    fleet.discovery.drop()  # the watch is opened again and brings the endpoint: room comes free
    for _ in range(answers.count("+OK")):
        await e.call()
    assert await client.put("small") == "+OK"


@courier
async def test_a_failed_write_refuses(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()

    def fail(file, data):
        raise OSError(28, "No space left on device")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("madderbeam.ports.real.os.write", fail)
        assert (await client.put("m1")).startswith("-BUSY")
    assert await client.put("m2") == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m2"  # m1 was refused, so it did not run


@courier
async def test_an_unsent_message_ends_in_time(fleet):
    client = await fleet.inside()
    start = time.monotonic()
    assert await client.put("m", life=600) == "+OK"
    assert (await fleet.discovery.final())["status"] == "deferred"
    assert time.monotonic() - start < 0.6 + 0.3


@pytest.mark.parametrize(
    ("name", "value", "field"),
    [
        ("LB_CONFIG", "", "LB_CONFIG"),
        ("LB_CONFIG", "/nowhere", "LB_CONFIG"),
        ("LB_STATE", "/nowhere", "LB_STATE"),
        ("LB_LISTEN", "here", "LB_LISTEN"),
        ("LB_DISCOVERY", "127.0.0.1:x", "LB_DISCOVERY"),
    ],
)
def test_a_wrong_value_names_its_field(tmp_path, name, value, field):
    async def run():
        async with Fleet(tmp_path) as fleet:
            return fleet.env()

    env = asyncio.run(run())
    load(env, RealDisk())
    with pytest.raises(ConfigError, match=f"^{field}: [^\n]+$"):
        load({**env, name: value}, RealDisk())


def test_settings_that_cannot_be_are_named(tmp_path):
    async def run():
        async with Fleet(tmp_path, settings(familyInfo__maxCalls=0)) as fleet:
            return fleet.env()

    with pytest.raises(ConfigError, match="^settings: max_in_flight"):
        load(asyncio.run(run()), RealDisk())


def test_one_client_that_hangs_does_not_hold_the_others(tmp_path):
    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            client = await fleet.inside()
            client.writer.write(client.message("half")[:-5])
            other = await Client().open(client.writer.get_extra_info("peername")[1])
            assert await other.put("m") == "+OK"

    asyncio.run(run())


@courier
async def test_a_client_that_ends_its_sending_still_hears_its_answer(fleet):
    # Ending a connection with no answer loses the message.
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    client.writer.write(client.message("m"))
    client.writer.write_eof()
    assert await client.line() == "+OK"
    assert await bounded(client.reader.read()) == b""
    await e.call()


@courier
async def test_a_call_that_fails_inside_is_ended(fleet):
    # An error in the courier's own code must neither end the process nor hold a slot for good.
    await fleet.endpoint("a")
    client = await fleet.inside()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fleet.host.calls, "_start", lambda call: 1 / 0)
        assert await client.put("m1", kind="unsafe") == "+OK"
        assert (await fleet.discovery.final())["status"] == "deferred"
    assert fleet.host.courier.state.calls_in_flight == 0
    again = await Client().open(fleet.port_of_host())  # that took longer than an idle connection is kept
    await again.put("m2")
    assert (await fleet.endpoints["a"].call())[1]["x-request-id"] == "m2"


@courier
async def test_a_known_key_keeps_its_age(fleet):
    # Past the destination's memory of a key, another attempt could take effect twice.
    e = await fleet.endpoint("a", answer(500), answer(500), answer(500))
    client = await fleet.inside()
    await client.put("m1", kind="keyed", key="k")
    assert (await fleet.discovery.final())["id"] == "m1"
    for _ in range(3):
        await e.call()
    await client.put("m2", kind="keyed", key="k")
    assert (await e.call())[1]["idempotency-key"] == "k"  # inside the window
    fleet.host.journal.keys.add("k", time.time() - 8.5, time.time() + 9)
    assert (await client.put("m3", kind="keyed", key="k")).startswith("-BUSY")
    assert e.calls.empty()


@courier
async def test_a_key_that_is_still_open_is_taken_over_by_the_newer_message(fleet):
    # A client that heard no answer in time hands its message in anew: two copies must not be out at once.
    e = await fleet.endpoint("a", "hang")
    client = await fleet.inside()
    await client.put("m1", kind="keyed", key="k")
    await e.call()
    await client.put("m2", kind="keyed", key="k")
    assert (await fleet.discovery.final()) == {"id": "m1", "status": "deferred"}
    await bounded(e.ended.get())  # the older call was given up
    path, headers, *_ = await e.call()
    assert (headers["x-request-id"], headers["idempotency-key"]) == ("m2", "k")


@pytest.mark.parametrize("news", ["wait", "drain"])
def test_news_holds_for_calls_that_were_decided_before_it(tmp_path, news):
    # It can come while a connection is made for a call: the host looks once more before it writes.
    async def run():
        async with Fleet(tmp_path) as fleet:
            e = await fleet.endpoint("a")
            client = await fleet.inside()
            host = fleet.host
            number = host.registry.uids["a"]
            if news == "wait":
                host.registry.apply_retry_after(number, 60_000_000)
            else:
                entries = host.registry.entries
                entries[number] = replace(entries[number], state=EndpointState.DRAINING)
            # Attempts that are held back cost no try: its time ends it, ahead of the list's being told anew.
            assert await client.put("m", kind="unsafe", life=1500) == "+OK"
            assert (await fleet.discovery.final())["status"] == "deferred"  # it never ran
            assert e.calls.empty()

    asyncio.run(run())
