"""Tests of a courier with pools and routes on loopback: it chooses as the model, within its own rules."""

import asyncio
import json
import os

import oracle
import pytest
from loopback import Client, Endpoint, answer, beside, bounded

from madderbeam.config.check import check
from madderbeam.config.render import render, write

ESTATE = """\
[classes.safe]
wanted_ms = 2000
deadline_ms = 5000
repeat = "safe"

[classes.unsafe]
wanted_ms = 2000
deadline_ms = 5000
repeat = "unsafe"

[tenants.t]
share = 1.0

[[application]]
name = "n"
listen = "127.0.0.1:6001"
state = "state"
finals = "finals.jsonl"
classes = ["safe", "unsafe"]
retry_base_ms = 1
retry_cap_ms = 1
"""


class Pooled:
    """Endpoints of partners, and the courier that calls them."""

    def __init__(self, folder):
        self.folder, self.endpoints, self.calls = folder, {}, []
        self.host = None

    async def endpoint(self, name, *script):
        self.endpoints[name] = await Endpoint(*script).start()
        return self.endpoints[name]

    def address(self, name):
        return f"127.0.0.1:{self.endpoints[name].port}"

    def partner(self, number, name, rows, pool=""):
        """Return the TOML of a partner; `rows` are the endpoints' names and further settings."""
        tables = ", ".join(f'{{ address = "{self.address(n)}"{more and ", " + more} }}' for n, more in rows)
        pool = f"pool = {{ {pool} }}\n" if pool else ""
        return (
            f'[[partner]]\nname = "{name}"\nnumber = {number}\nper_s = 5000\nendpoints = [{tables}]\n{pool}'
        )

    def write(self, partners):
        (self.folder / "estate.toml").write_text(ESTATE)
        (self.folder / "partners.toml").write_text(partners)
        report = check(self.folder / "estate.toml")
        assert report.loaded, report.problems
        write(render(report.loaded), self.folder / "out")

    async def start(self, partners):
        self.write(partners)
        self.host, self.lock = beside(self.folder / "out" / "n.json")
        return await Client().open(self.host.start())

    async def close(self):
        if self.host:
            self.host.close()
            self.lock.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()

    def met(self):
        """Return the endpoints called since the last check, in call order."""
        found = []
        for name, endpoint in self.endpoints.items():
            while not endpoint.calls.empty():
                found.append((endpoint.calls.get_nowait()[3], name))
        return [name for _, name in sorted(found)]

    async def settled(self):
        while self.host.journal.pending:
            await asyncio.sleep(0.002)

    async def deliver(self, client, ident, **more):
        """Send one message and wait for its completion; return the endpoints that were called."""
        assert await client.put(ident, **{"dest": 1, **more}) == "+OK"
        await bounded(self.settled())
        return self.met()


def pooled(test):
    def run(tmp_path):
        async def inner():
            made = Pooled(tmp_path)
            try:
                await test(made)
            finally:
                await made.close()

        asyncio.run(inner())

    return run


def fails(*names):
    """Return the scripts of endpoints that reset each call."""
    return dict.fromkeys(names, "reset")


@pytest.mark.parametrize(
    "rows, method",
    [
        ([("a", "weight = 5"), ("b", ""), ("c", "")], "round_robin"),
        ([("a", "weight = 2"), ("b", "weight = 3"), ("c", "backup = true")], "round_robin"),
        ([("a", "down = true"), ("b", ""), ("c", "weight = 4")], "round_robin"),
        ([("a", "backup = true"), ("b", "backup = true, weight = 2")], "round_robin"),
        ([("a", ""), ("b", "weight = 2"), ("c", "")], "least_conn"),
        ([("a", "weight = 2"), ("b", ""), ("c", "weight = 3")], "hash"),
    ],
)
def test_choices_equal_those_of_the_model(tmp_path, rows, method):
    @pooled
    async def play(made):
        for name, _ in rows:
            await made.endpoint(name)
        client = await made.start(made.partner(1, "venue", rows, f'method = "{method}", hash_on = "id"'))
        peers = []
        for name, more in rows:
            fields = dict(pair.split(" = ") for pair in more.split(", ") if pair)
            peers.append(
                oracle.Peer(name, int(fields.get("weight", 1)), "backup" in fields, "down" in fields)
            )
        model = oracle.Upstream(peers, method)
        for n in range(24):
            wanted = oracle.request(model, n, (), key=f"m{n}")
            assert await made.deliver(client, f"m{n}") == wanted, n

    play(tmp_path)


@pooled
async def test_failures_are_passed_to_the_next_server_as_in_the_model(made):
    rows = [
        ("a", "weight = 3, max_fails = 2, fail_timeout_ms = 60000"),
        ("b", "max_fails = 1"),
        ("c", "backup = true"),
    ]
    for name, _ in rows:
        await made.endpoint(name)
    client = await made.start(made.partner(1, "venue", rows))
    model = oracle.Upstream(
        [oracle.Peer("a", 3, max_fails=2, fail_timeout=60), oracle.Peer("b"), oracle.Peer("c", backup=True)]
    )
    for n, bad in enumerate([(), ("a",), (), ("a",), (), ("b",), (), (), ()]):
        for name in bad:
            made.endpoints[name].script.append("reset")
        before = {name: len(e.script) for name, e in made.endpoints.items()}
        wanted = oracle.request(model, n / 100, bad)
        assert await made.deliver(client, f"m{n}") == wanted, (n, before)
    assert model.peers[0].suspect and model.peers[1].suspect  # only the backup is left


@pooled
async def test_an_ejected_server_recovers_by_one_call_and_starts_cold(made):
    for name in "ab":
        await made.endpoint(name)
    client = await made.start(
        made.partner(1, "venue", [("a", "max_fails = 1, fail_timeout_ms = 1500, weight = 9"), ("b", "")])
    )
    made.endpoints["a"].script.append("reset")
    assert await made.deliver(client, "m1") == ["a", "b"]
    assert [await made.deliver(client, f"n{n}") for n in range(3)] == [["b"]] * 3
    await asyncio.sleep(1.6)
    assert await made.deliver(client, "m2") == ["a"]
    a = next(e for e in made.host.courier.state.endpoints.values() if e.circuit.slow_start_since_us >= 0)
    assert made.host.calls.pools[a.id].address[1] == made.endpoints["a"].port  # its slow start has begun


@pooled
async def test_the_retry_after_of_a_primary_also_applies_to_backups(made):
    busy_reply = answer(429, Retry_After="0.6")
    for name in "ab":
        await made.endpoint(name)
    made.endpoints["a"].script.append(busy_reply)
    client = await made.start(
        made.partner(1, "venue", [("a", "max_fails = 1"), ("b", "backup = true")], 'fails_on = ["overload"]')
    )
    begin = asyncio.get_running_loop().time()
    assert await client.put("m1", dest=1) == "+OK"
    assert (await made.endpoints["a"].call())[0] == "/events"
    assert await client.put("m2", dest=1) == "+OK"
    await bounded(made.settled())
    called = made.met()
    assert (
        called == ["b"] and asyncio.get_running_loop().time() - begin >= 0.6
    )  # a is ejected, b is called after the Retry-After


@pooled
async def test_a_busy_primary_does_not_activate_a_backup(made):
    for name in "ab":
        await made.endpoint(name)
    made.endpoints["a"].script += ["hold"]
    client = await made.start(made.partner(1, "venue", [("a", ""), ("b", "backup = true")]))
    assert await client.put("m1", dest=1) == "+OK"
    await made.endpoints["a"].call()
    assert await client.put("m2", dest=1) == "+OK"  # a new destination has a window of one call
    await asyncio.sleep(0.1)
    assert made.met() == []
    made.endpoints["a"].release.set()
    await bounded(made.settled())
    assert made.met() == ["a"]


@pooled
async def test_a_non_idempotent_message_is_not_passed_on_if_possibly_executed(made):
    for name in "ab":
        await made.endpoint(name)
    made.endpoints["a"].script.append("reset")
    client = await made.start(made.partner(1, "venue", [("a", "max_fails = 1"), ("b", "backup = true")]))
    assert await made.deliver(client, "m1", kind="unsafe") == ["a"]
    while not (made.folder / "finals.jsonl").exists():
        await asyncio.sleep(0.01)
    assert json.loads((made.folder / "finals.jsonl").read_text())["status"] == "undeliverable"


@pooled
async def test_a_message_whose_deadline_precedes_the_recovery_is_rejected_at_once(made):
    for name in "ab":
        await made.endpoint(name)
        made.endpoints[name].script += ["reset"] * 3
    client = await made.start(
        made.partner(
            1,
            "venue",
            [
                ("a", "max_fails = 1, fail_timeout_ms = 60000"),
                ("b", "max_fails = 1, fail_timeout_ms = 60000"),
            ],
        )
    )
    begin = asyncio.get_running_loop().time()
    assert await made.deliver(client, "m1") == ["a", "b"]
    assert (await client.put("m2", dest=1)).startswith("-BUSY ")
    assert asyncio.get_running_loop().time() - begin < 2.0 and made.met() == []


ROUTES = """
[[route]]
on = "path"
match = "^~"
text = "/rooms/"
partner = "venue"

[[route]]
on = "path"
match = "~*"
text = "[.]ics$"
partner = "choir"

[[route]]
on = "class"
text = "unsafe"
partner = "choir"
"""


def named(ident, fields):
    return Client.command(b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), b"x")


@pooled
async def test_routes_by_path_name_and_class(made):
    for name in "ab":
        await made.endpoint(name)
    text = made.partner(1, "venue", [("a", "")]) + made.partner(2, "choir", [("b", "")]) + ROUTES
    client = await made.start(text)
    for n, (fields, wanted) in enumerate(
        [
            ("path=/rooms/1.ics", "a"),
            ("path=/x/1.ICS?a", "b"),
            ("to=choir", "b"),
            ("to=venue", "a"),
            ("", "b"),
            ("dest=1", "a"),
        ]
    ):
        cls = "unsafe" if not fields else "safe"
        assert await client.send(named(f"m{n}", f"c={cls},t=t,d=3000,{fields}")) == "+OK"
        await bounded(made.settled())
        assert made.met() == [wanted], fields
    assert await client.send(named("z1", "c=safe,t=t,d=3000,path=/none")) == "-ERR path: no route"
    client = await Client().open(made.host.clients.sock.getsockname()[1])
    assert await client.send(named("z2", "c=safe,t=t,d=3000,to=nobody")) == "-ERR to: no route"
    client = await Client().open(made.host.clients.sock.getsockname()[1])
    assert await client.send(named("z3", "c=safe,t=t,d=3000")) == "-ERR dest: must be a whole number"


@pooled
async def test_weights_change_at_run_time_and_an_invalid_list_is_ignored(made):
    for name in "ab":
        await made.endpoint(name)
    client = await made.start(made.partner(1, "venue", [("a", "weight = 9"), ("b", "")]))
    assert await made.deliver(client, "m1") == ["a"]
    path = made.folder / "out" / "n.partners.json"
    broken = json.loads(path.read_text())
    broken["routing"]["pools"]["1"]["method"] = "magic"
    from madderbeam.config.rendered import seal

    path.write_text(json.dumps(seal(broken)))
    made.host.watch.look()
    assert await made.deliver(client, "m2") == ["a"]
    made.write(made.partner(1, "venue", [("a", "down = true"), ("b", "")]))
    os.utime(path)
    made.host.watch.look()
    assert [await made.deliver(client, f"n{n}") for n in range(3)] == [["b"]] * 3


@pooled
async def test_without_routing_settings_there_is_no_router(made):
    await made.endpoint("a")
    client = await made.start(
        f'[[partner]]\nname = "venue"\nnumber = 1\nper_s = 50\nendpoints = ["{made.address("a")}"]\n'
    )
    assert (
        made.host.courier.state.endpoint_preference is None and "route.pools" not in made.host.metrics_text()
    )
    assert await made.deliver(client, "m1") == ["a"]


@pooled
async def test_the_client_library_sends_path_and_name(made):
    from madderbeam.client import Courier

    for name in "ab":
        await made.endpoint(name)
    await made.start(made.partner(1, "venue", [("a", "")]) + made.partner(2, "choir", [("b", "")]) + ROUTES)
    port = made.host.clients.sock.getsockname()[1]

    def send_messages():
        courier = Courier(f"redis://127.0.0.1:{port}")
        courier.put("safe", None, b"x", 3000, tenant="t", path="/rooms/%2C")
        courier.put("safe", None, b"x", 3000, tenant="t", to="choir")
        with pytest.raises(ValueError, match="no comma"):
            courier.put("safe", None, b"x", 3000, tenant="t", path="/rooms/,")
        with pytest.raises(ValueError, match="no route"):
            courier.put("safe", None, b"x", 3000, tenant="t", path="/none")
        courier.close()

    await asyncio.to_thread(send_messages)
    await bounded(made.settled())
    assert sorted(made.met()) == ["a", "b"]
