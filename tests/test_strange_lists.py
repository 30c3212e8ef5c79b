"""A strange list: the log is told once, what was known stays, all is asked for again, and service goes on."""

import asyncio
import json
import logging

import pytest
from loopback import Fleet, bounded, courier

GOOD = {
    "az": "here",
    "model": "plain",
    "pod_group": 7,
    "state": "in_service",
    "capacity_hint": 100.0,
    "boot_ms": 0,
}
STRANGE = {
    "no id": {"uid": None},
    "an id that is a list": {"uid": ["a"]},
    "no address": {"endpoint": None},
    "an address with no port": {"endpoint": "127.0.0.1"},
    "a port that is none": {"endpoint": "127.0.0.1:99999"},
    "no port": {"endpoint": "127.0.0.1:0"},
    "a port that is no digit": {"endpoint": "127.0.0.1:\u00b2"},
    "a port of another script": {"endpoint": "127.0.0.1:\u0667\u0667"},
    "a name": {"endpoint": "nowhere.invalid:80"},
    "a name that can't be": {"endpoint": "\u00e4..b:80"},
    "a state of its own": {"state": "resting"},
    "a state that is a list": {"state": []},
    "no destination": {"pod_group": "many"},
    "an endless destination": {"pod_group": float("inf")},
    "an endless rate": {"capacity_hint": float("inf")},
    "a rate that is no number": {"capacity_hint": float("nan")},
    "a huge rate": {"capacity_hint": 10**400},
    "a rate below nothing": {"capacity_hint": -1},
    "a kind that is a list": {"model": []},
    "topics that are a number": {"topics": 7},
}


def odd_lines(caplog):
    return [r for r in caplog.records if r.levelno >= logging.ERROR]


def entries(fleet):
    """Ids by state, as the list has them and as the decision module has them."""
    listing = fleet.host.registry
    known = {listing.names[n]: e.state.name for n, e in listing.entries.items()}
    decided = {
        listing.names[n]: e.state.name
        for n, e in fleet.host.courier.state.endpoints.items()
        if n in listing.names
    }
    return known, decided


async def settled(fleet):
    """The watch stands at the newest version, and a turn has heard of it."""
    while fleet.host.watch.rev != fleet.discovery.rev or fleet.host.is_cycle_scheduled:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("name", STRANGE)
def test_an_entry_that_can_not_be_read_leaves_its_endpoint_as_it_was(name, whole, tmp_path, caplog):
    # In a whole list it counted as gone; an endless number made all that stood behind it be lost for good.
    async def test():
        async with Fleet(tmp_path) as fleet:
            a, b, c = [await fleet.endpoint(uid, dest=dest) for uid, dest in (("a", 7), ("b", 8), ("c", 9))]
            client, discovery = await fleet.inside(), fleet.discovery
            await bounded(discovery.watches.get())
            await bounded(settled(fleet))
            plain = dict(discovery.targets["a"])
            discovery.targets["a"].update(STRANGE[name])
            discovery.rev += 1
            discovery.targets["b"]["state"] = "terminating"  # stands behind it
            rows = [discovery.targets["a"], discovery.targets["b"]]
            discovery._push(
                discovery.whole() if whole else {"rev": discovery.rev, "all": False, "targets": rows}
            )
            assert (await bounded(discovery.watches.get())).endswith("from=0")
            await bounded(settled(fleet))
            for known in entries(fleet):
                assert known == {"a": "READY", "b": "DRAINING", "c": "READY"}
            assert len(odd_lines(caplog)) == 1 and discovery.watches.empty()
            for dest, endpoint in ((7, a), (9, c)):
                assert await client.put(f"m{dest}", dest=dest) == "+OK"
                assert (await endpoint.call())[1]["x-request-id"] == f"m{dest}"
            discovery.targets["a"] = plain
            discovery.change("a", state="terminating")  # it can be read again, on the same watch
            await bounded(settled(fleet))
            assert entries(fleet)[0]["a"] == "DRAINING" and discovery.watches.empty()
            assert b.calls.empty() and len(odd_lines(caplog)) == 1

    asyncio.run(bounded(test()))


@pytest.mark.parametrize(
    ("state", "whole"), [("terminating", True), ("terminating", False), ("terminated", False)]
)
@pytest.mark.parametrize("name", [name for name, odd in STRANGE.items() if not odd.keys() & {"uid", "state"}])
def test_a_drain_holds_whatever_else_of_its_entry_can_not_be_read(name, state, whole, tmp_path):
    # Its endpoint stayed in service: what is new went on going there.
    async def test():
        async with Fleet(tmp_path) as fleet:
            a, b = await fleet.endpoint("a"), await fleet.endpoint("b")
            client, discovery = await fleet.inside(), fleet.discovery
            await bounded(discovery.watches.get())
            await bounded(settled(fleet))
            discovery.targets["a"].update(STRANGE[name], state=state)
            discovery.rev += 1
            discovery._push(
                discovery.whole()
                if whole
                else {"rev": discovery.rev, "all": False, "targets": [discovery.targets["a"]]}
            )
            assert (await bounded(discovery.watches.get())).endswith("from=0")
            await bounded(settled(fleet))
            for known in entries(fleet):
                assert known == {"b": "READY", **({"a": "DRAINING"} if state == "terminating" else {})}
            for n in range(3):
                assert await client.put(f"m{n}") == "+OK"
                assert (await b.call())[1]["x-request-id"] == f"m{n}"
            assert a.calls.empty()

    asyncio.run(bounded(test()))


@pytest.mark.parametrize(
    "line",
    [
        b'{"rev":2,"all":true}',
        b'{"rev":2,"all":true,"targets":{}}',
        b'{"all":true,"targets":[]}',
        b'{"rev":Infinity,"all":true,"targets":[]}',
        b'{"rev":[],"all":true,"targets":[]}',
        b"[1]",
        b'{"rev":2,]',
        b'{"rev":2,"all":true,"targets":"',
        b"\xff\xfe",
    ],
)
def test_a_list_that_can_not_be_read_changes_nothing_and_is_asked_for_whole(line, tmp_path, caplog):
    async def test():
        async with Fleet(tmp_path) as fleet:
            a = await fleet.endpoint("a")
            client, discovery = await fleet.inside(), fleet.discovery
            await bounded(discovery.watches.get())
            await bounded(settled(fleet))
            plain, shown = discovery.whole, [b"{}"] * 3
            discovery.whole = lambda: json.loads(shown.pop()) if shown else plain()  # nor the next three
            discovery._chunk(discovery.watchers[0], line + b"\n")
            for _ in range(4):
                assert (await bounded(discovery.watches.get())).endswith("from=0")
            assert await client.put("m1") == "+OK"
            assert (await a.call())[1]["x-request-id"] == "m1"
            await bounded(settled(fleet))
            assert entries(fleet)[0] == {"a": "READY"}
            assert len({r.getMessage() for r in odd_lines(caplog)}) == len(odd_lines(caplog)) <= 2

    asyncio.run(bounded(test()))


@pytest.mark.parametrize(
    "routing",
    [
        5,
        [],
        {"form": 1, "pools": []},
        {"form": 1, "pools": {"x": {}}},
        {"form": 1, "names": {"a": None}},
        {"form": 1, "routes": 3},
    ],
)
def test_strange_routing_beside_a_list_does_not_keep_the_list_away(routing, tmp_path):
    async def test():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            await fleet.inside()
            await bounded(fleet.discovery.watches.get())
            fleet.discovery.rev += 1
            fleet.discovery.targets["a"]["state"] = "terminating"
            fleet.discovery._push({**fleet.discovery.whole(), "routing": routing})
            await bounded(settled(fleet))
            assert entries(fleet)[0] == {"a": "DRAINING"} and fleet.discovery.watches.empty()

    asyncio.run(bounded(test()))


@courier
async def test_ids_of_entries_that_can_not_be_read_are_not_kept(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    await bounded(settled(fleet))
    listed = fleet.host.registry
    for n in range(50):
        listed.apply({"targets": [{"uid": f"s{n}", "state": "?"}]})
    assert set(listed.uids) == {"a"} and set(listed.ever) == {"a"} and listed.listed_ever == 1


@pytest.mark.parametrize(
    "known",
    [
        None,
        5,
        [],
        {"rev": "x"},
        {"rev": None, "targets": []},
        {"rev": 3, "targets": {}},
        {"rev": 1.5, "targets": [5]},
        {"rev": 9, "targets": [{"uid": "a"}]},
    ],
)
def test_a_strange_list_in_the_configuration_is_asked_for_anew(known, tmp_path):
    # The process refused to start, or asked for what came after it: the rest of the list was never told.
    async def test():
        async with Fleet(tmp_path) as fleet:
            a = await fleet.endpoint("a")
            fleet.discovery.whole, whole = lambda: known, fleet.discovery.whole
            env = fleet.env()
            fleet.discovery.whole = whole
            fleet.env = lambda: env
            client = await fleet.inside()
            assert (await bounded(fleet.discovery.watches.get())).endswith("from=0")
            assert await client.put("m1") == "+OK"
            assert (await a.call())[1]["x-request-id"] == "m1"

    asyncio.run(bounded(test()))
