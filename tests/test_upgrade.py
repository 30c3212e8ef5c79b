"""Upgrades: a second process takes over beside the running one, and nobody outside can tell the two apart."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from dataclasses import replace

import loopback
import pytest
from loopback import ROOT, Client, Fleet, answer, bounded, courier, free_address, own_host, settings

from madderbeam.config.platform import load
from madderbeam.host import object_graph, process_upgrade, state_transfer
from madderbeam.host.process import start
from madderbeam.policy.events import EndpointEntry, EndpointState
from madderbeam.policy.settings import Idempotency
from madderbeam.ports.real import RealDisk, real_ports
from madderbeam.transport import passing

LONG_MS = 80_000
PATIENT = [{**c, "goalTimeUs": 60_000_000, "deadlineUs": 90_000_000} for c in settings()["classes"]]


async def call(control, method, path, body=b""):
    """One call at a second address."""
    host, port = control
    return await loopback.call(port, method, path, body, host)


async def figures(control):
    """All figures at a second address."""
    host, port = control
    return await loopback.figures(port, host)


class Processes:
    """Couriers as processes of their own, in one folder, with one listening socket that all inherit."""

    def __init__(self, fleet, held=True):
        self.fleet, self.all = fleet, []
        self.host = own_host()
        self.sock = socket.create_server((self.host, 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        self.held = held
        if not held:
            self.sock.close()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.all:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.sock.close()

    async def start(self, ready=True, **more):
        """Start one; with `ready` it has said that it is."""
        control = free_address(self.host)
        env = {
            **os.environ,
            **self.fleet.env(),
            "LB_LISTEN": f"{self.host}:{self.port}",
            "LB_CONTROL": "{}:{}".format(*control),
            **more,
        }
        fds = ()
        if self.held:
            fds = (self.sock.fileno(),)
            env["LB_FD"] = str(self.sock.fileno())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "madderbeam",
            env=env,
            cwd=ROOT,
            pass_fds=fds,
            stderr=asyncio.subprocess.DEVNULL,
        )
        process.control = control
        self.all.append(process)
        while ready and await self.asked(control) != 200:
            assert process.returncode is None
            await asyncio.sleep(0.02)
        return process

    @staticmethod
    async def asked(control):
        try:
            return (await call(control, "GET", "/ready"))[0]
        except ConnectionError:
            return 0

    async def client(self):
        return await Client().open(self.port, self.host)


def upgraded(test, held=True, **changed):
    """Runs a test with a fleet and processes."""

    def run(tmp_path):
        async def inner():
            raw = {**settings(), **changed}
            async with Fleet(tmp_path, raw) as fleet, Processes(fleet, held) as processes:
                await test(fleet, processes)

        asyncio.run(inner())

    return run


async def ended(process):
    process.send_signal(signal.SIGTERM)
    return await bounded(process.wait())


@contextlib.asynccontextmanager
async def replaced(fleet, processes, meanwhile):
    """The second process, which has asked nobody yet: it does as this ends, and then has charge. It takes as
    long to start as the machine does; until it has started, `meanwhile` goes on and on."""
    offer = fleet.folder / "state" / passing.NAME
    offer.rename(offer.with_name("later"))
    new = await processes.start(ready=False)
    while await processes.asked(new.control) != 503:
        await meanwhile()
    yield new
    offer.with_name("later").rename(offer)
    while await processes.asked(new.control) != 200:
        await asyncio.sleep(0.005)


async def kept_over_an_upgrade(fleet, processes):
    """Clients, calls out, messages that wait, and what is remembered go on; nobody is turned back. Unsafe
    messages go once, however long this process takes to answer."""
    e = await fleet.endpoint("a")
    late = await fleet.endpoint("b", "hold", dest=8)
    old = await processes.start()
    talks = await processes.client()

    async def once(ident, **more):
        return await talks.put(ident, kind="unsafe", life=LONG_MS, **more)

    async def ping():
        assert await talks.send(talks.command(b"PING")) == "+PONG"  # it is kept for as long as it is of use

    assert await once("m1") == "+OK"
    await e.call()
    assert await once("u1", dest=8) == "+OK"  # out, and not answered yet
    await late.call()
    async with replaced(fleet, processes, ping) as new:
        asks = await processes.client()
        half = asks.message("m2", "unsafe", life=LONG_MS, body=b"x" * 4000)
        asks.writer.write(half[:1000])  # a request in its middle
        await ping()
    assert await asks.send(half[1000:]) == "+OK"
    assert await processes.asked(old.control) == 503
    assert (await call(old.control, "PUT", "/drain"))[0] == 503
    assert (await e.call())[1]["x-request-id"] == "m2"
    assert await once("m1") == "+OK"  # known: not delivered again
    assert await once("m3") == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m3"
    late.release.set()  # the answer to the call that the old process made
    while (await figures(new.control))["app.outstanding"]:
        await asyncio.sleep(0.01)
    found = await figures(new.control)
    assert found["app.succeeded.unsafe"] == 3 and found["app.aborted.unsafe"] == 0  # u1, m2, m3
    assert await ended(old) == 0
    fresh = await processes.client()
    assert await fresh.put("m4", kind="unsafe", life=LONG_MS) == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m4"
    assert late.calls.empty() and e.calls.empty() and fleet.discovery.finals.empty()
    assert new.returncode is None


def test_clients_calls_and_messages_go_on_in_the_new_process(tmp_path):
    upgraded(kept_over_an_upgrade, classes=PATIENT)(tmp_path)


def test_the_listening_socket_is_passed_on_where_the_platform_holds_none(tmp_path):
    upgraded(kept_over_an_upgrade, held=False, classes=PATIENT)(tmp_path)


def test_many_clients_under_load_see_three_upgrades_in_a_row_as_one_courier(tmp_path):
    async def test(fleet, processes):
        e = await fleet.endpoint("a")
        old = await processes.start()
        stop, taken = asyncio.Event(), set()

        async def sends(n):
            client, count = await processes.client(), 0
            while not stop.is_set():
                ident = f"c{n}-{count}"
                # An unsafe one goes once; a safe one may go again after a time-out.
                reply = await client.put(ident, kind=("safe", "unsafe")[count % 2])
                assert reply.startswith(("+OK", "-BUSY")), reply
                if reply == "+OK":
                    taken.add(ident)
                count += 1
                await asyncio.sleep(0.03)

        clients = [asyncio.create_task(sends(n)) for n in range(20)]
        for _ in range(3):
            new = await processes.start()
            assert await ended(old) == 0
            old = new
        delivered, finals = [], set()

        def once():
            """The unsafe ones that have come to the endpoint by now."""
            delivered.extend(e.calls.get_nowait()[1]["x-request-id"] for _ in range(e.calls.qsize()))
            return [ident for ident in delivered if int(ident.partition("-")[2]) % 2]

        while len(once()) <= 50:  # however fast upgrades are, and however many time out beside them
            await asyncio.sleep(0.02)
        stop.set()
        await bounded(asyncio.gather(*clients))
        while (await figures(old.control))["app.outstanding"]:
            await asyncio.sleep(0.02)
        once()
        while not taken <= set(delivered) | finals:
            finals.add((await fleet.discovery.final())["id"])
        assert len(once()) == len(set(once())) > 50
        assert len(taken) > 100

    upgraded(test)(tmp_path)


def test_a_ban_a_told_wait_and_a_drain_go_on_in_the_new_process(tmp_path):
    async def test(fleet, processes):
        out = await fleet.endpoint("a")
        shut = await fleet.endpoint("b", answer(429, Retry_After="3"), dest=8)
        old = await processes.start()
        client = await processes.client()
        assert await client.put("w1", dest=8) == "+OK"
        at = (await shut.call())[3]
        assert (await fleet.discovery.final())["id"] == "w1"
        assert (await call(old.control, "PUT", "/endpoints/disable", b'{"member":"a"}'))[0] == 200
        assert (await call(old.control, "PUT", "/drain"))[0] == 200
        new = await processes.start(ready=False)
        while not (
            await processes.asked(new.control) == 503
            and await processes.asked(old.control) == 503
            and (await call(new.control, "GET", "/metrics"))[0] == 200
        ):
            await asyncio.sleep(0.02)
        fresh = await processes.client()
        assert (await fresh.send(fresh.command(b"PING"))).startswith("-")
        assert (await call(new.control, "PUT", "/undrain"))[0] == 200
        fresh = await processes.client()
        assert await fresh.send(fresh.command(b"PING")) == "+PONG"
        assert await fresh.put("m1", life=300) == "+OK"
        assert (await fleet.discovery.final())["id"] == "m1" and out.calls.empty()
        await fresh.put("w2", dest=8, life=6000)
        if not shut.calls.empty() or shut.script:
            assert (await shut.call())[3] >= at + 3
        assert shut.calls.empty() or (await shut.call())[3] >= at + 3

    upgraded(test)(tmp_path)


async def passed_on(fleet, take=False):
    """The connection to the process in charge, and what it passes on, or its word after that was taken. It is
    asked again where this process was too slow for its patience."""
    hello = {"say": "hello", "form": state_transfer.state_version()}
    while True:
        conn = passing.ask(str(fleet.folder / "state"))
        conn.settimeout(5)
        try:
            passing.send(conn, hello)
            message, socks = await asyncio.to_thread(passing.receive, conn)
            if take:
                passing.send(conn, {"say": "take"})
                message = (await asyncio.to_thread(passing.receive, conn))[0]
            return conn, message, socks
        except passing.Broken:
            conn.close()


def test_a_new_process_killed_before_it_takes_over_leaves_the_old_one_at_work(tmp_path):
    async def test(fleet, processes):
        e = await fleet.endpoint("a")
        old = await processes.start()
        client = await processes.client()
        conn, message, socks = await passed_on(fleet)
        assert len(message["clients"]) == 1
        for sock in socks:
            sock.close()
        conn.close()  # dies with all in hand
        assert await client.put("m1") == "+OK" and (await e.call())[1]["x-request-id"] == "m1"
        assert await processes.asked(old.control) == 200

    upgraded(test)(tmp_path)


def test_a_new_process_killed_after_it_got_charge_leaves_the_old_one_to_start_again(tmp_path):
    async def test(fleet, processes):
        e = await fleet.endpoint("a")
        late = await fleet.endpoint("b", "hold", dest=8)
        old = await processes.start()
        client = await processes.client()
        assert await client.put("u1", kind="unsafe", dest=8) == "+OK"
        await late.call()
        told = await client.put("m1", dest=9, life=9000)
        assert told in ("+OK", "-ERR dest: no such destination, must be one of the list")
        conn, message, socks = await passed_on(fleet, take=True)
        assert message == {"say": "yours"}
        for sock in socks:
            sock.close()
        conn.close()
        while await processes.asked(old.control) != 200:
            await asyncio.sleep(0.02)
        assert await fleet.discovery.final() == {"id": "u1", "status": "undeliverable"}  # may have run
        again = await processes.client()
        assert await again.put("m2") == "+OK" and (await e.call())[1]["x-request-id"] == "m2"
        assert await ended(old) == 0

    upgraded(test)(tmp_path)


def test_without_a_hand_over_a_process_waits_until_the_folder_is_free(tmp_path):
    async def test(fleet, processes):
        e = await fleet.endpoint("a")
        lock = RealDisk.lock(str(fleet.folder / "state" / process_upgrade.LOCK_FILE))
        new = await processes.start(ready=False)
        while await processes.asked(new.control) != 503:
            await asyncio.sleep(0.02)
        lock.close()
        while await processes.asked(new.control) != 200:
            await asyncio.sleep(0.02)
        client = await processes.client()
        assert await client.put("m1") == "+OK" and (await e.call())[1]["x-request-id"] == "m1"

    upgraded(test)(tmp_path)


# The state, with both sides in this process


async def two(fleet, change=lambda message: None, settings_=None, wanted=None):
    """The host of this fleet passes on to a second one, which is returned with its message."""
    host = fleet.host
    assert state_transfer.is_ready(host)
    message, socks = state_transfer.snapshot(host, wanted or state_transfer.state_version())
    left, right = socket.socketpair(socket.AF_UNIX)
    left.settimeout(5)
    right.settimeout(5)
    sending = asyncio.to_thread(passing.send, left, message, socks)
    _, (message, socks) = await asyncio.gather(sending, asyncio.to_thread(passing.receive, right))
    left.close()
    right.close()
    change(message)
    config = load(fleet.env(), RealDisk())
    passed = state_transfer.TransferredState(message, socks, settings_ or config.settings, config.zones, 1)
    host.stop_after_handover()
    loop = asyncio.get_running_loop()
    fleet.host = start(loop, real_ports(loop), fleet.env(), config, transferred=passed)
    return host


@courier
async def test_what_was_learnt_is_passed_on(fleet):
    await fleet.endpoint("a", answer(503, Retry_After="1.5"))
    client = await fleet.inside()
    assert await client.put("m1") == "+OK"
    await fleet.discovery.final()
    old = (await two(fleet)).courier
    new = fleet.host.courier
    assert new is not old and new.state is not old.state
    assert new.state is new.pacer.state is new.outliers.connections.state is new.dispatcher.selector.state
    before, after = (engine.state.destinations[7].scopes[0] for engine in (old, new))
    assert before.retry_after_until_us == after.retry_after_until_us > 0
    assert before.overloads_in_a_row == after.overloads_in_a_row > 0
    assert new.state.endpoints[1].scope is after and new.state.settings == old.state.settings
    assert new.timeouts.loss_rate == old.timeouts.loss_rate and new.state.arrivals == old.state.arrivals


@courier
async def test_with_other_settings_messages_come_from_the_journal(fleet):
    e = await fleet.endpoint("a", "hang")
    client = await fleet.inside()
    assert await client.put("u1", kind="unsafe") == "+OK"
    await e.call()
    other = replace(load(fleet.env(), RealDisk()).settings, max_in_flight=11)
    await two(fleet, settings_=other)
    assert await fleet.discovery.final() == {"id": "u1", "status": "undeliverable"}
    assert await client.put("m2") == "+OK" and (await e.call())[1]["x-request-id"] == "m2"


@pytest.mark.parametrize(
    ("zones", "is_passed_on"), [(("here",), True), (("elsewhere", "here"), False), ((), True)]
)
def test_numbers_of_zones_are_passed_on_only_where_they_mean_the_same(zones, is_passed_on, tmp_path):
    # Else a keyed message that may have run in one zone would go to another one.
    @courier
    async def run(fleet):
        await fleet.endpoint("a")
        await fleet.inside()
        host = fleet.host
        message, socks = state_transfer.snapshot(host, state_transfer.state_version())
        passed = state_transfer.TransferredState(message, socks, host.settings, zones, 1)
        assert (passed.state is not None) == is_passed_on
        if passed.state is not None:
            assert passed.state["zones"] == (["here"], host.registry.zones.numbers)

    run(tmp_path)


@courier
async def test_a_process_of_another_form_goes_on_by_the_journal(fleet):
    e = await fleet.endpoint("a", "hang")
    client = await fleet.inside()
    assert await client.put("u1", kind="unsafe") == "+OK"
    await e.call()
    old = (await two(fleet, wanted="1 of the classes before")).courier
    assert fleet.host.courier is not old and fleet.host.courier.state is not old.state
    assert await fleet.discovery.final() == {"id": "u1", "status": "undeliverable"}
    assert await client.put("m2") == "+OK" and (await e.call())[1]["x-request-id"] == "m2"


@courier
async def test_what_can_not_be_read_is_not_taken(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    for change in (
        {"series": 99},
        {"nodes": [["object", "Popen"]]},
        {"nodes": [["list", [7]]]},
        {"listens": 2},
    ):
        message, socks = state_transfer.snapshot(fleet.host, state_transfer.state_version())
        with pytest.raises(object_graph.UnknownStateError):
            state_transfer.TransferredState(
                {**message, **change}, socks, fleet.host.settings, fleet.host.config.zones, 1
            )


# The graph

CLASSES = (EndpointEntry, EndpointState)


def test_a_graph_keeps_what_is_shared_circles_and_types():
    entry = EndpointEntry(1, 7, EndpointState.READY, 0.5)
    root = {"a": [entry, entry], 3: (1, (2.5, None)), "s": {1, 2}, (4, 5): b"x", "inf": float("inf")}
    root["self"] = root
    found = object_graph.decode(object_graph.encode(root, CLASSES), CLASSES, random.Random(1))
    assert found["self"] is found and found["a"][0] is found["a"][1] and found["a"][0] == entry
    assert found[3] == (1, (2.5, None)) and found["s"] == {1, 2} and found[4, 5] == b"x"
    assert found["inf"] == float("inf")


def test_a_long_chain_needs_no_stack():
    root = []
    for _ in range(50_000):
        root = [root]
    assert len(object_graph.encode(root, ())) == 50_001
    object_graph.decode(object_graph.encode(root, ()), (), random.Random(1))


def test_a_graph_takes_known_classes_only():
    with pytest.raises(object_graph.UnknownStateError):
        object_graph.encode([object()], CLASSES)
    for nodes in (
        [],
        [["object", "Fleet"]],
        [["enum", "EndpointState", "NONE"]],
        [["list", [9]]],
        [["odd"]],
        [["tuple", [0]]],
    ):
        with pytest.raises(object_graph.UnknownStateError):
            object_graph.decode(nodes, CLASSES, random.Random(1))


def test_the_form_changes_with_the_fields():
    class Message:
        def __init__(self):
            self.one = 1

    before = object_graph.classes_digest([Message])
    Message.__init__ = lambda self: setattr(self, "two", 2)
    assert object_graph.classes_digest([Message]) != before and object_graph.classes_digest(
        [Message, Idempotency]
    ) != object_graph.classes_digest([Idempotency])
