"""Difficult cases of changes in a courier on loopback sockets; test names start with the case number."""

import asyncio
import functools
import json

import pytest
from estates_changes import Courier, Estate, added, address, endpoints, uid
from loopback import answer

from madderbeam.policy.events import EndpointState


def estate(test=None, *, partners=(1,), **settings):
    """Run a test with a courier; `partners`: counts of endpoints of the partners 1, 2, ..."""
    if test is None:
        return functools.partial(estate, partners=partners, **settings)

    def run(tmp_path):
        async def inner():
            ends = {n: await endpoints(count) for n, count in enumerate(partners, 1)}
            made = Estate(
                tmp_path, {n: [address(e) for e in es] for n, es in ends.items()}, **settings
            ).write()
            try:
                async with Courier(made) as courier:
                    await test(courier, *ends.values())
            finally:
                for end in (e for es in ends.values() for e in es):
                    await end.stop()

        asyncio.run(inner())

    return run


def state(courier, name):
    """Return the state of an endpoint in the registry, None if it is absent."""
    listing = courier.host.registry
    entry = listing.entries.get(listing.uids.get(name, -1))
    return entry.state if entry else None


def queued_and_in_flight(courier, dest):
    """Return the counts of queued messages and of calls in flight of a destination."""
    found = courier.host.courier.state.destinations.get(dest)
    return (len(found.queue), found.in_flight) if found else (0, 0)


@estate(partners=(2,))
async def test_1_a_change_arrives_while_an_endpoint_drains(courier, ones):
    a, b = ones
    heard = courier.host.clock()
    courier.apply(name="drain", drain=[uid(1, a)])
    # The drain is undone at once: the snapshot has the endpoint in service, but it must drain its full time.
    courier.do("POST", "/changes/undo", name="drain")
    assert courier.machine.current.endpoints.get(uid(1, a)).state == "in_service"
    assert state(courier, uid(1, a)) is EndpointState.DRAINING
    for n in range(20):
        assert await courier.client.put(f"m{n}", dest=1) == "+OK"
    await courier.until(lambda: b.calls.qsize() == 20)
    assert a.calls.qsize() == 0
    await courier.until(lambda: state(courier, uid(1, a)) is EndpointState.READY)
    assert courier.host.clock() - heard >= 2_000_000
    # It returns with slow start.
    await courier.until(
        lambda: (
            courier.host.courier.state.endpoints[
                courier.host.registry.uids[uid(1, a)]
            ].circuit.slow_start_since_us
            >= 0
        )
    )


@estate(partners=(1,))
async def test_2_one_of_forty_endpoints_is_invalid(courier, ones):
    rows = [{"uid": f"e{n}", "dest": 1, "address": f"127.0.0.1:{9000 + n}", "per_s": 5} for n in range(40)]
    rows[17]["address"] = "127.0.0.1"
    status, text = courier.apply(name="forty", add=rows)
    assert status == 400 and "add[17].address" in text and "HOST:PORT" in text and "1 mistake" in text
    rows[17]["address"] = rows[3]["address"]
    status, text = courier.apply(name="forty", add=rows)
    assert status == 409 and "endpoint e17.address: e3 has the endpoint" in text
    assert len(courier.host.registry.entries) == 1 and courier.machine.current.version == 1


@estate(partners=(1, 1))
async def test_3_a_change_removes_every_endpoint_of_a_partner_with_pending_messages(courier, ones, twos):
    [a] = ones
    a.script[:] = ["hold", answer(503, retry_after="1.2")] + ["hold"] * 9
    for n in range(6):
        assert await courier.client.put(f"m{n}", dest=1, life=2500) == "+OK"
    await courier.until(lambda: a.calls.qsize() >= 1)
    assert courier.apply(name="gone", remove=[uid(1, a)])[0] == 409  # only with the code in `accept`
    status, _ = courier.apply(name="gone", remove=[uid(1, a)], accept=["orphans"])
    assert status == 202 and state(courier, uid(1, a)) is None
    late = await courier.client.put("late", dest=1)
    assert late == "-ERR dest: no such destination, must be one of the list"
    a.release.set()  # replies to the calls in flight arrive
    await courier.until(lambda: not courier.host.journal.pending)
    feed = (courier.estate.folder / "finals.jsonl").read_text().splitlines()
    told = [json.loads(line)["id"] for line in feed]
    delivered = 6 - len(told)
    assert len(set(told)) == len(told) and delivered >= 1


@estate(partners=(1,))
async def test_3_a_retry_after_applies_to_endpoints_that_return_under_new_ids(courier, ones):
    [a] = ones
    a.script[:] = [answer(503, retry_after="1.5")]
    assert await courier.client.put("m0", dest=1) == "+OK"
    await courier.until(lambda: courier.host.registry.waits)
    told = courier.host.clock()
    courier.apply(name="swap", remove=[uid(1, a)], add=[added("new", 1, a)], accept=["orphans"])
    assert await courier.client.put("m1", dest=1) == "+OK"
    await a.call()
    await a.call()
    assert courier.host.clock() - told > 1_400_000


@estate(partners=(1,))
async def test_3_a_retry_after_of_one_endpoint_applies_to_its_new_id(courier, ones):
    [a] = ones
    chain = {"kinds": {"apart": {"routes_apart": True}}, "add": [added("old", 5, a, kind="apart")]}
    assert courier.apply(name="chain", remove=[uid(1, a)], **chain)[0] == 202
    a.script[:] = [answer(503, retry_after="1.5")]
    assert await courier.client.put("m0", dest=5) == "+OK"
    await courier.until(lambda: courier.host.registry.waits)
    told = courier.host.clock()
    row = added("new", 5, a, kind="apart")
    assert courier.apply(name="swap", remove=["old"], add=[row], accept=["orphans"])[0] == 202
    assert await courier.client.put("m1", dest=5) == "+OK"
    await a.call()
    await a.call()
    assert courier.host.clock() - told > 1_400_000


@estate(partners=(2,))
async def test_4_two_concurrent_changes_are_valid_alone_and_invalid_together(courier, ones):
    classes = {"x": {"wanted_ms": 100, "deadline_ms": 1000}}
    tenants = [{"v": {"share": 0.08}}, {"w": {"share": 0.08}}]
    assert courier.apply(name="one", base=1, classes=classes, tenants=tenants[0])[0] == 202
    status, text = courier.apply(name="two", base=1, tenants=tenants[1])
    assert status == 409 and "tenants: shares add up to 106.0%" in text
    # The same if both were staged before either became active.
    courier.do("POST", "/changes/undo", name="one")
    for n, name in enumerate(("three", "four")):
        change = {
            "name": name,
            "base": courier.machine.current.version,
            "tenants": [{"y": {"share": 0.08}}, {"z": {"share": 0.08}}][n],
        }
        assert courier.do("POST", "/changes", do="stage", change=change)[0] == 202
    assert courier.do("POST", "/changes", do="go", name="three")[0] == 202
    status, text = courier.do("POST", "/changes", do="go", name="four")
    assert status == 409 and "as its turn came" in text
    assert courier.machine.current.get_active(("tenant", "z")) is None


@estate(partners=(12,))
async def test_5_a_change_replaces_58_percent_of_the_endpoints_under_load(courier, ones):
    fresh = await endpoints(7)
    taken = 0

    async def load():
        nonlocal taken
        while True:
            taken += await courier.client.put(f"m{taken}", dest=1, life=6000) == "+OK"
            await asyncio.sleep(0.002)

    loading = asyncio.ensure_future(load())
    await courier.until(lambda: taken > 100)
    olds = [uid(1, e) for e in ones[:7]]
    fresh_rows = [added(f"n{n}", 1, e) for n, e in enumerate(fresh)]
    assert courier.apply(name="swap", trial_ms=60_000, drain=olds, add=fresh_rows)[0] == 202
    heard, at = asyncio.get_running_loop().time(), taken
    await courier.until(lambda: taken > at + 200, 60)
    courier.do("POST", "/changes/undo", name="swap")
    numbers = courier.host.registry.uids
    await courier.until(
        lambda: all(  # in service again, with slow start
            state(courier, name) is EndpointState.READY
            and courier.host.courier.state.endpoints[numbers[name]].circuit.slow_start_since_us >= 0
            for name in olds
        )
    )
    await courier.until(lambda: taken > at + 400, 60)
    loading.cancel()
    await courier.until(lambda: not courier.host.journal.pending)
    for end in ones[:7]:
        begun = [end.calls.get_nowait()[3] for _ in range(end.calls.qsize())]
        assert not [t for t in begun if heard + 1.0 < t < heard + 1.9]  # calls in flight have long ended
    feed = courier.estate.folder / "finals.jsonl"
    assert not feed.exists() or not feed.read_text()  # each message was delivered
    for end in fresh:
        await end.stop()


@estate(partners=(1, 1))
async def test_6_the_canary_fails_as_the_next_change_is_applied(courier, ones, twos):
    [a], [bad] = ones, await endpoints(1, *[answer(500)] * 99)
    courier.apply(name="bad", trial_ms=60_000, remove=[uid(1, a)], add=[added("bad", 1, bad)])
    version = courier.machine.current.version
    # It touches rows of a canary: it waits for that, and is rejected when the canary is rolled back.
    assert courier.apply(name="next", base=version, edit=[{"uid": "bad", "per_s": 7}])[0] == 202
    n = 0
    while courier.machine.outcome("bad") is None:
        await courier.client.put(f"m{n}", dest=1)
        n += 1
        await asyncio.sleep(0.01)
    assert courier.machine.outcome("bad").result == "undone"
    assert "calls-fail" in courier.machine.outcome("bad").reason
    out = await courier.until_ended("next")
    assert out.result == "refused" and "(unknown: " in out.reason
    assert state(courier, uid(1, a)) is EndpointState.READY and state(courier, "bad") is None
    await bad.stop()


@estate(partners=(1,))
async def test_6_a_change_with_later_changes_of_its_rows_is_not_undone(courier, ones):
    [b] = await endpoints(1)
    courier.apply(name="one", add=[added("b", 1, b)])
    assert (await courier.until_ended("one")).result == "kept"
    courier.apply(name="two", edit=[{"uid": "b", "zone": "b"}])
    assert (await courier.until_ended("two")).result == "kept"
    status, text = courier.do("POST", "/changes/undo", name="one")
    assert status == 409 and "(built-upon: " in text and "two (version 3)" in text
    assert courier.do("POST", "/changes/undo", name="two")[0] == 202
    await b.stop()


@estate(partners=(1, 1))
async def test_7_ids_are_swapped_between_two_destinations(courier, ones, twos):
    """A call waiting for its connection during the swap must not be written to the other partner."""
    [a], [b] = ones, twos
    network, waiting = courier.host.calls.network, []
    real = network.on_writable
    network.on_writable = lambda *call: waiting.append(call)  # connections that are not established yet
    for n in range(4):
        assert await courier.client.put(f"one{n}", dest=1, body=b"one") == "+OK"
        assert await courier.client.put(f"two{n}", dest=2, body=b"two") == "+OK"
    await courier.until(lambda: len(waiting) >= 2)
    network.on_writable = real
    swap = [{"uid": uid(1, a), "dest": 2}, {"uid": uid(2, b), "dest": 1}]
    status, text = courier.apply(name="swap", edit=swap)
    assert status == 202, text
    for call in waiting:
        real(*call)
    await courier.until(lambda: not courier.host.journal.pending)
    for end, body in ((a, b"two"), (b, b"one")):
        assert {end.calls.get_nowait()[2] for _ in range(end.calls.qsize())} == {body}


@estate(partners=(2, 1))
async def test_7_an_address_is_taken_over_by_another_id_in_the_same_change(courier, ones, twos):
    (a, b), [c] = ones, twos
    status, text = courier.apply(name="over", remove=[uid(1, a)], add=[added("taker", 2, a)])
    assert status == 202, text
    for n in range(8):
        assert await courier.client.put(f"one{n}", dest=1, body=b"one") == "+OK"
        assert await courier.client.put(f"two{n}", dest=2, body=b"two") == "+OK"
    await courier.until(lambda: not courier.host.journal.pending)
    assert a.calls.qsize() + c.calls.qsize() == 8 and b.calls.qsize() == 8
    while not a.calls.empty():
        assert a.calls.get_nowait()[2] == b"two"
    # While its first endpoint is in service, no other may use the address.
    assert courier.apply(name="both", add=[added("third", 2, b)])[0] == 409


@pytest.mark.parametrize("how", ("removed", "shortened"))
def test_9_a_class_is_removed_or_its_deadline_shortened_while_messages_of_it_are_pending(tmp_path, how):
    """Accepted messages keep their terms, also over a restart, and the class number is not reused."""

    async def inner():
        [a] = await endpoints(1, "hold", *["hold"] * 9)
        made = Estate(tmp_path, {1: [address(a)]}).write()
        async with Courier(made) as courier:
            assert await courier.client.put("m0", dest=1, life=5000) == "+OK"
            await a.call()
            if how == "removed":
                change = {
                    "without": {"classes": ["safe"]},
                    "classes": {"other": {"wanted_ms": 10, "deadline_ms": 20}},
                }
            else:
                change = {"classes": {"safe": {"wanted_ms": 1, "deadline_ms": 2}}}
            assert courier.apply(name="less", trial_ms=60_000, **change)[0] == 202
            told = await courier.client.put("m1", dest=1, life=3000)
            assert told == (
                "-ERR c: no such class, must be one of other, unsafe"
                if how == "removed"
                else "-ERR d: must be at most 20, by the deadline of the class"
            )
            assert courier.host.journal.pending and courier.room.calls.state()["messages_by_version"] == {
                "1": 1
            }
        a.release.set()
        async with Courier(made) as courier:
            assert courier.machine.canaries[0].id == "less"
            if how == "removed":
                assert courier.host.admission.class_indices == {"unsafe": 1, "other": 2}
                assert courier.host.settings.classes[0].name == "safe"
            await courier.until(
                lambda: not courier.host.journal.pending
            )  # delivered with the terms at acceptance
            feed = made.folder / "finals.jsonl"
            assert not feed.exists() or not feed.read_text()
        await a.stop()

    asyncio.run(inner())
