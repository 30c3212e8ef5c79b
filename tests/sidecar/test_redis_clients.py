"""Clients of Redis as they are, and the small client on redis-py."""

import asyncio
import itertools
import json
import threading

import hiredis
import pytest
import redis
import redis.asyncio
from loopback import Endpoint, answer, bounded, courier

from madderbeam.client import Courier, Final, Refused, Unknown
from madderbeam.config.platform import load_sidecar
from madderbeam.config.rendered import seal
from madderbeam.host.composition import assemble
from madderbeam.host.standalone import claim_resources
from madderbeam.ports.real import RealDisk, real_ports

FIELDS = "c=safe,t=t,d=5000,dest=7"


def in_thread(function, *args):
    return bounded(asyncio.get_running_loop().run_in_executor(None, function, *args))


@courier
async def test_redis_py_in_its_default_settings(fleet):
    e = await fleet.endpoint("a")
    await fleet.inside()
    port = fleet.port_of_host()

    def sync():
        client = redis.Redis(port=port)
        assert client.ping()
        assert client.execute_command("MSG.PUT", "0", "m1", FIELDS, b"\x00\xff") == b"OK"
        with pytest.raises(redis.ResponseError, match="no such class"):
            client.execute_command("MSG.PUT", "0", "m2", "c=nosuch,t=t,d=5000,dest=7", b"x")
        client.close()

    await in_thread(sync)
    assert (await e.call())[2] == b"\x00\xff"
    client = redis.asyncio.Redis(port=port)
    assert await client.ping()
    assert await client.execute_command("MSG.PUT", "0", "m3", FIELDS, b"x") == b"OK"
    pipe = client.pipeline(transaction=False)
    for n in range(20):
        pipe.execute_command("MSG.PUT", "0", f"p{n}", FIELDS, b"x")
    assert await pipe.execute() == [b"OK"] * 20
    await client.aclose()


@pytest.mark.parametrize(
    "options",
    [{"protocol": 2}, {"protocol": 3}, {"db": 0, "client_name": "program"}, {"decode_responses": True}],
)
def test_redis_py_in_other_settings(tmp_path, options):
    @courier
    async def test(fleet):
        await fleet.endpoint("a")
        await fleet.inside()
        assert await in_thread(lambda: redis.Redis(port=fleet.port_of_host(), **options).ping())

    test(tmp_path)


@courier
async def test_what_a_server_of_redis_answers(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()

    async def ask(*args):
        client.writer.write(client.command(*args))
        reader = hiredis.Reader(replyError=lambda text: {"error": text})
        while True:
            reader.feed(await bounded(client.reader.read(4096)))
            if (reply := reader.gets()) is not False:
                return reply

    two = await ask(b"HELLO", b"2")
    assert two[two.index(b"proto") + 1] == 2 and two == await ask(b"HELLO")
    three = await ask(b"HELLO", b"3")
    assert dict(three)[b"proto"] == 3 if isinstance(three, dict) else three[three.index(b"proto") + 1] == 3
    assert (await ask(b"HELLO", b"4"))["error"].startswith("NOPROTO")
    assert await ask(b"CLIENT", b"SETINFO", b"LIB-NAME", b"x") == b"OK"
    assert "error" in await ask(b"CLIENT", b"LIST")
    assert await ask(b"SELECT", b"0") == b"OK"
    assert (await ask(b"SELECT", b"1"))["error"] == "ERR DB index is out of range"
    for _ in range(10):  # asking is no strike
        assert "error" in await ask(b"CLIENT", b"TRACKING", b"ON")
    assert await ask(b"PING") == b"PONG"


class Beside:
    """A sidecar in this process, with one stand-in endpoint."""

    def __init__(self, folder, raw, **limits):
        self.folder, self.raw, self.limits = folder, raw, limits

    async def __aenter__(self):
        self.endpoint = await Endpoint().start()
        targets = [
            {
                "uid": "a",
                "endpoint": f"127.0.0.1:{self.endpoint.port}",
                "az": "here",
                "model": "plain",
                "pod_group": 7,
                "state": "in_service",
                "capacity_hint": 100.0,
                "boot_ms": 0,
            }
        ]
        listed = {"form": 1, "all": True, "targets": targets}
        file = {
            "form": 1,
            "name": "n",
            "listen": "127.0.0.1:0",
            "settings": self.raw,
            "limits": {
                "sockets": 1024,
                "disk_mb": 3,
                "clients": 300,
                "client_idle_ms": 60_000,
                **self.limits,
            },
            "sidecar": {
                "state": f"{self.folder}/state",
                "partners": "n.partners.json",
                "feed_mb": 1,
                "finals": f"{self.folder}/finals.jsonl",
            },
        }
        (self.folder / "n.partners.json").write_text(json.dumps(seal(listed)))
        (self.folder / "n.json").write_text(json.dumps(seal(file)))
        loop = asyncio.get_running_loop()
        config = load_sidecar(f"{self.folder}/n.json", RealDisk())
        ports, self.lock = claim_resources(config, real_ports(loop))
        self.host = assemble(loop, ports, config)
        self.port = self.host.start()
        return self

    async def __aexit__(self, *_):
        self.host.close()
        self.lock.close()
        await self.endpoint.stop()


def beside(test, folder, **limits):
    from loopback import settings

    async def inner():
        async with Beside(folder, settings(), **limits) as made:
            await test(made)

    asyncio.run(inner())


def test_256_connections_of_one_program_are_kept(tmp_path):
    async def test(made):
        def many():
            clients = [redis.Redis(port=made.port, single_connection_client=True) for _ in range(256)]
            assert all(c.ping() for c in clients)
            kept = [c.connection for c in clients]
            assert all(c.ping() for c in clients) and [c.connection for c in clients] == kept
            return clients

        clients = await in_thread(many)
        assert len(made.host.clients.clients) == len(clients) == 256

    beside(test, tmp_path)


def test_more_connections_than_the_setting_close_the_longest_idle(tmp_path):
    async def test(made):
        def many():
            clients = [redis.Redis(port=made.port, single_connection_client=True) for _ in range(20)]
            assert all(c.ping() for c in clients)

        await in_thread(many)
        assert len(made.host.clients.clients) <= 10

    beside(test, tmp_path, clients=10)


def test_the_small_client(tmp_path):
    async def test(made):
        made.endpoint.script = [answer(200), answer(500)]
        client = Courier(f"redis://127.0.0.1:{made.port}", tmp_path / "finals.jsonl")
        first = await in_thread(lambda: client.put("safe", 7, b"one", 5000, tenant="t"))
        assert (await made.endpoint.call())[1]["x-request-id"] == first
        lost = await in_thread(lambda: client.put("unsafe", 7, b"two", 5000, tenant="t"))
        found = await in_thread(lambda: next(client.finals()))
        assert found == Final(lost, "undeliverable")
        assert await in_thread(lambda: list(client.finals(wait=False))) == [found]
        with pytest.raises(ValueError, match="no such destination"):
            await in_thread(lambda: client.put("safe", 8, b"x", 5000, tenant="t"))
        made.host.admission.settings = made.host.settings.__class__(
            **{
                **{f: getattr(made.host.settings, f) for f in made.host.settings.__dataclass_fields__},
                "max_pending": 1,
            }
        )
        made.endpoint.script = ["hang"]
        await in_thread(lambda: client.put("safe", 7, b"x", 5000, tenant="t"))
        with pytest.raises(Refused) as refused:
            await in_thread(lambda: client.put("safe", 7, b"x", 5000, tenant="t"))
        assert 0 < refused.value.after_ms <= 2000
        client.close()

    beside(test, tmp_path)


def test_no_answer_is_told_apart_from_a_refusal(tmp_path):
    async def test(made):
        made.host.admission.submit = None
        made.host.clients.put = lambda put, reply: None
        client = Courier(f"redis://127.0.0.1:{made.port}")
        with pytest.raises(Unknown) as unknown:
            await in_thread(lambda: client.put("unsafe", 7, b"x", 5000, tenant="t", ident="mine"))
        assert unknown.value.id == "mine"
        client.close()

    beside(test, tmp_path)


def test_the_small_client_follows_a_feed_that_is_set_aside(tmp_path):
    feed = tmp_path / "f.jsonl"

    def row(n):
        return json.dumps({"id": f"m{n}", "status": "deferred", "again_ms": n}) + "\n"

    feed.write_text(row(1) + row(2) + row(3)[:9])
    client = Courier("redis://127.0.0.1:1", feed)
    got, finals = [], client.finals(poll_s=0.01)
    done = threading.Event()

    def read():
        for final in finals:
            got.append(final.id)
            if final.id == "m6":
                done.set()
                return

    thread = threading.Thread(target=read)
    thread.start()
    with feed.open("a") as file:
        file.write(row(3)[9:])
    feed.rename(tmp_path / "f.jsonl.1")
    with (tmp_path / "f.jsonl.1").open("a") as file:
        file.write(row(4))
    feed.write_text(row(5) + row(6))
    assert done.wait(10)
    thread.join()
    assert got == [f"m{n}" for n in range(1, 7)]


def test_the_small_client_reads_the_rest_of_a_feed_that_is_rotated_after_its_last_read(tmp_path, monkeypatch):
    # The courier writes a line and rotates the feed after the client's empty read, ahead of its check.
    feed, replaced, rotations = tmp_path / "f.jsonl", Courier._replaced, []

    def row(n):
        return json.dumps({"id": f"m{n}", "status": "deferred", "again_ms": n}) + "\n"

    def rotate_before_the_check(self, descriptor):
        if not rotations:
            rotations.append(1)
            with feed.open("a") as file:
                file.write(row(2))
            feed.rename(tmp_path / "f.jsonl.1")
            feed.write_text(row(3))
        return replaced(self, descriptor)

    monkeypatch.setattr(Courier, "_replaced", rotate_before_the_check)
    feed.write_text(row(1))
    finals = Courier("redis://127.0.0.1:1", feed).finals(poll_s=0.01)
    assert [next(finals).id for _ in range(2)] == ["m1", "m2"]


def ids_within(finals, count, seconds=3):
    """The ids of the next finals, fewer if they don't come in time."""
    got = []

    def read():
        for final in itertools.islice(finals, count):
            got.append(final.id)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    thread.join(seconds)
    return got


def final_line(n):
    return json.dumps({"id": f"m{n}", "status": "deferred", "again_ms": n}) + "\n"


def test_the_small_client_reads_a_feed_that_was_rotated_before_it_was_opened(tmp_path):
    # Two rotations between two reads: the feed in between was skipped.
    feed = tmp_path / "f.jsonl"
    feed.write_text(final_line(1))
    finals = Courier("redis://127.0.0.1:1", feed).finals(poll_s=0.01)
    assert ids_within(finals, 1) == ["m1"]
    for n in (2, 3):
        feed.rename(tmp_path / "f.jsonl.1")
        feed.write_text(final_line(n))
    assert ids_within(finals, 2) == ["m2", "m3"]


def test_a_torn_line_at_the_end_of_a_rotated_feed_spoils_no_line_of_the_next(tmp_path):
    # A line that a kill cut short was joined with the first line of the next feed, and both were skipped.
    feed = tmp_path / "f.jsonl"
    feed.write_text(final_line(1) + final_line(2)[:9])
    finals = Courier("redis://127.0.0.1:1", feed).finals(poll_s=0.01)
    assert ids_within(finals, 1) == ["m1"]
    feed.rename(tmp_path / "f.jsonl.1")
    feed.write_text(final_line(2))
    assert ids_within(finals, 1) == ["m2"]
