"""The second address: what staff ask of a courier in service, and what it must not cost."""

import asyncio
import json

import pytest
from loopback import Client, Fleet, answer, bounded, call, courier, figures, settings

from madderbeam.host.disabled_endpoints import DisabledEndpoints
from madderbeam.host.host import Host
from madderbeam.ports.real import RealDisk
from madderbeam.transport import control


async def served(fleet, *script, **more):
    """A courier with a second address and one endpoint; the endpoint, a client, and the port."""
    fleet.controlled = True
    endpoint = await fleet.endpoint("a", *script, **more)
    client = await fleet.inside()
    return endpoint, client, fleet.control()


def member(uid):
    return json.dumps({"member": uid}).encode()


async def until(true):
    while not true():
        await asyncio.sleep(0.005)


@courier
async def test_without_a_setting_there_is_no_second_address(fleet):
    await fleet.inside()
    assert fleet.host.control.sock is None


@courier
async def test_calls_that_there_are_not_get_a_no(fleet):
    _, _, port = await served(fleet)
    assert (await call(port, "GET", "/ready"))[0] == 200
    assert (await call(port, "GET", "/nothing"))[0] == 404
    assert (await call(port, "GET", "/drain"))[0] == 405
    for body in (b"", b"[1]", b'{"member":7}', b"[" * 5000, b"\xff"):
        assert (await call(port, "PUT", "/endpoints/disable", body))[0] == 400
    assert (await call(port, "PUT", "/endpoints/disable", member("never")))[0] == 404
    assert (await call(port, "PUT", "/endpoints/enable", member("never")))[0] == 404


@courier
async def test_callers_that_say_nothing_or_half_a_call_keep_nobody_waiting(fleet):
    _, _, port = await served(fleet)
    silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * control.CALLERS)]
    for _, writer in silent[::2]:
        writer.write(b"GET /ready HTTP/1.1\r\nHo")
    assert (await call(port, "GET", "/ready"))[0] == 200
    assert len(fleet.host.control.callers) <= control.CALLERS
    for reader, writer in silent:  # each is closed, the last of them once its time is up
        assert await bounded(reader.read()) == b""
        writer.close()
    assert not fleet.host.control.callers


@courier
async def test_a_call_that_can_not_be_read_or_has_no_end_is_turned_down(fleet):
    _, _, port = await served(fleet)
    for noise in (b"\x00\x01\r\n\r\n", b"GET /ready HTTP/1.1\r\nA: " + b"x" * (2 * control.MAX_CALL)):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(noise)
        assert (await bounded(reader.readline())).startswith(b"HTTP/1.1 400")
        writer.close()


@courier
async def test_figures_tell_what_became_of_each_message(fleet):
    endpoint, client, port = await served(fleet, answer(200), answer(500), answer(503))
    assert await client.put("m1") == "+OK"
    await until(lambda: fleet.host.journal.open_count == 0)
    assert await client.put("u1", kind="unsafe") == "+OK"
    assert (await fleet.discovery.final())["status"] == "undeliverable"
    assert await client.put("m2") == "+OK"
    assert (await fleet.discovery.final())["status"] == "deferred"
    endpoint.script.append("hang")
    await asyncio.sleep(0)
    found = await figures(port)
    assert found["app.succeeded.safe"] == 1 and found["app.aborted.unsafe"] == 1
    assert found["app.declined.safe"] == 1 and found["app.succeeded.unsafe"] == 0
    assert found["app.forwards"] == 3 and found["app.outstanding"] == 0
    assert found["app.discovered"] == 1 and found["app.ejected"] == 0


def test_what_is_refused_at_the_door_counts_as_declined(tmp_path):
    async def inner():
        async with Fleet(tmp_path, settings(policyLimits__maxOpen=2)) as fleet:
            _, client, port = await served(fleet, "hang", "hang", "hang")
            answers = [await client.put(f"m{n}") for n in range(4)]
            refused = sum(a.startswith("-BUSY") for a in answers)
            found = await figures(port)
            assert refused >= 2 and found["app.declined.safe"] == refused
            assert found["app.outstanding"] == 4 - refused

    asyncio.run(inner())


@courier
async def test_a_drain_says_no_lets_clients_go_and_ends(fleet):
    endpoint, client, port = await served(fleet)
    assert await client.send(client.command(b"PING")) == "+PONG"
    assert (await call(port, "PUT", "/drain"))[0] == 200
    assert (await call(port, "GET", "/ready"))[0] == 503
    assert (await client.send(client.command(b"PING"))).startswith("-")
    assert (await client.send(client.command(b"PING", b"x"))).startswith("-")
    assert await client.put("m1") == "+OK"  # a connection that is still open goes on being served
    late = await Client().open(fleet.port_of_host())
    assert await late.put("m2") == "+OK"  # and so is one that was on its way
    assert {(await endpoint.call())[1]["x-request-id"] for _ in "12"} == {"m1", "m2"}
    assert await bounded(client.reader.read()) == b"" and await bounded(late.reader.read()) == b""
    assert (await call(port, "PUT", "/undrain"))[0] == 200
    again = await Client().open(fleet.port_of_host())
    assert await again.send(again.command(b"PING")) == "+PONG"
    assert (await call(port, "GET", "/ready"))[0] == 200


@courier
async def test_an_endpoint_out_by_hand_gets_nothing_whatever_the_list_says(fleet):
    out, client, port = await served(fleet)
    other = await fleet.endpoint("b")
    assert (await call(port, "PUT", "/endpoints/disable", member("a")))[0] == 200
    fleet.discovery.change("b", state="in_service")
    fleet.discovery.change("a", state="in_service")
    await until(lambda: (fleet.host.watch.rev, len(fleet.host.registry.entries)) == (3, 2))
    for n in range(6):
        assert await client.put(f"m{n}") == "+OK"
        await other.call()
    assert out.calls.empty()
    assert (await call(port, "PUT", "/endpoints/disable", member("a")))[0] == 200  # may be repeated
    found = await figures(port)
    assert found["app.discovered"] == 2 and found["app.ejected"] == 1
    assert (await call(port, "PUT", "/endpoints/enable", member("a")))[0] == 200
    fleet.discovery.change("b", state="terminating")
    await until(lambda: fleet.host.watch.rev == 4)
    assert await client.put("last", life=2000) == "+OK"
    assert (await out.call())[1]["x-request-id"] == "last"
    assert (await figures(port))["app.ejected"] == 0


@courier
async def test_a_ban_is_heeded_by_a_call_that_waits_for_its_connection(fleet):
    out, client, port = await served(fleet)
    host = fleet.host
    started, begin = asyncio.Event(), host.calls._connected

    def connected(call_, connection, error):  # the ban comes between the decision and the first byte
        host.admin_service.handle("PUT", "/endpoints/disable", member("a"))
        started.set()
        begin(call_, connection, error)

    host.calls._connected = connected
    assert await client.put("m1") == "+OK"
    await bounded(started.wait())
    host.calls._connected = begin
    host.admin_service.handle("PUT", "/endpoints/enable", member("a"))
    assert (await out.call())[1]["x-request-id"] == "m1" and out.accepted >= 1
    assert out.calls.empty()


def test_a_ban_outlasts_the_process_and_an_id_that_left_the_list(tmp_path):
    async def inner():
        async with Fleet(tmp_path) as fleet:
            out, client, port = await served(fleet)
            assert (await call(port, "PUT", "/endpoints/disable", member("a")))[0] == 200
            fleet.discovery.change("a", state="terminated")
            await until(lambda: fleet.host.registry.entries == {})
            assert (await figures(port))["app.ejected"] == 0
            fleet.host.close()
            fleet.discovery.targets["a"]["state"] = "in_service"
            client = await fleet.inside()
            assert await client.put("m1", life=400) == "+OK"
            assert (await fleet.discovery.final())["id"] == "m1" and out.calls.empty()
            assert (await call(fleet.control(), "PUT", "/endpoints/enable", member("a")))[0] == 200
            assert await client.put("m2") == "+OK"
            assert (await out.call())[1]["x-request-id"] == "m2"

    asyncio.run(inner())


class Refusing(RealDisk):
    """A disk that takes no file of bans."""

    @staticmethod
    def rename(old, new):
        raise OSError(28, "No space left on device")


def test_a_ban_that_the_disk_does_not_take_holds_in_this_process(tmp_path):
    bans = DisabledEndpoints(Refusing(), str(tmp_path))
    with pytest.raises(OSError):
        bans.add("a")
    assert "a" in bans and "a" not in DisabledEndpoints(RealDisk(), str(tmp_path))


def test_a_ban_lifted_on_a_disk_that_does_not_take_it_does_not_come_back_by_an_upgrade(tmp_path):
    DisabledEndpoints(RealDisk(), str(tmp_path)).add("a")
    old = DisabledEndpoints(Refusing(), str(tmp_path))
    with pytest.raises(OSError):
        old.remove("a")
    new = DisabledEndpoints(RealDisk(), str(tmp_path))
    new.adopt(old.ids)
    assert "a" not in new and "a" not in DisabledEndpoints(RealDisk(), str(tmp_path))


class FailingOnce(RealDisk):
    """A disk with one read error."""

    failed = False

    def read(self, path):
        if not self.failed:
            self.failed = True
            raise OSError(5, "Input/output error")
        return super().read(path)


def test_a_single_read_error_enables_no_endpoint(tmp_path):
    # It was taken for a file without endpoints, and the next change would have overwritten it.
    DisabledEndpoints(RealDisk(), str(tmp_path)).add("a")
    assert "a" in DisabledEndpoints(FailingOnce(), str(tmp_path))


def test_a_file_of_bans_that_can_not_be_read_puts_nobody_out(tmp_path):
    (tmp_path / "bans").write_text('["a", 7]')
    assert "a" not in DisabledEndpoints(RealDisk(), str(tmp_path))


def test_what_is_put_back_starts_slowly(tmp_path):
    async def inner():
        async with Fleet(tmp_path) as fleet:
            _, _, port = await served(fleet)
            host: Host = fleet.host
            await call(port, "PUT", "/endpoints/disable", member("a"))
            await call(port, "PUT", "/endpoints/enable", member("a"))
            await until(lambda: host.courier.state.endpoints[1].circuit.slow_start_since_us >= 0)
            fleet.discovery.change("a", capacity_hint=90.0)  # a later word does not chill it again
            await until(lambda: host.watch.rev == 2)
            assert host.registry.entries[1].recovering is False

    asyncio.run(inner())


def test_out_of_descriptors_a_caller_is_answered_and_nothing_spins(tmp_path):
    async def inner():
        async with Fleet(tmp_path) as fleet:
            _, client, port = await served(fleet)
            assert await client.put("m1") == "+OK"  # of use, and idle from now on
            listening = fleet.host.control.sock
            accepts, left = [], [2]

            class Short:
                """A listening socket for which no descriptor is left, twice."""

                def accept(self):
                    accepts.append(1)
                    if left[0]:
                        left[0] -= 1
                        raise OSError(24, "Too many open files")
                    return listening.accept()

                def __getattr__(self, name):
                    return getattr(listening, name)

            fleet.host.control.accepting.sock = Short()
            assert (await call(port, "GET", "/ready"))[0] == 200
            assert await bounded(client.reader.read()) == b""  # the idle client's descriptor was had
            assert len(accepts) < 8

    asyncio.run(inner())
