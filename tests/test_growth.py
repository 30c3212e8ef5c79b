"""Whatever is kept for a message, a connection or an endpoint has an end: replacements and new ids."""

import asyncio

from loopback import bounded, courier

from madderbeam.transport import clients as server


def kept(host):
    """The sizes of all that is kept for something that comes and goes."""
    brain, journal, calls = host.courier, host.journal, host.calls
    listing, admission = host.registry, host.admission
    return {
        "uids": len(listing.uids),
        "names": len(listing.names),
        "entries": len(listing.entries),
        "waits": len(listing.waits),
        "arrived": len(admission.arrived),
        "arriving": len(admission.arriving_ids),
        "guards": len(host.completions.deadline_timers),
        "attempts": len(host.attempts.next_numbers),
        "clients": len(host.clients.clients),
        "held": len(journal.pending),
        "ids": len(journal.numbers_by_id),
        "open": journal.open_count,
        "open keys": len(journal.open_keys),
        "pools": len(calls.pools),
        "out": len(calls.out),
        "idle": calls.idle - sum(len(p.idle) for p in calls.pools.values()),
        "endpoints": len(brain.state.endpoints),
        "messages": len(brain.state.messages),
        "calls": len(brain.state.calls),
        "lanes": sum(len(lane.endpoints) for d in brain.state.destinations.values() for lane in d.scopes),
        "keys": len(brain.state.order_queues),
        "rests": len(brain.state.order_cooldowns),
        "notices": len(host.notices.waiting),
        "queued": sum(len(d.queue) for d in brain.state.destinations.values()),
    }


@courier
async def test_endpoints_replaced_over_and_over_leave_nothing_behind(fleet):
    # New ids at the address of one that has gone, while its calls are out: each is an endpoint of its own.
    e = await fleet.endpoint("e0")
    client = await fleet.inside()
    host = fleet.host
    await bounded(fleet.discovery.watches.get())
    sizes = []
    for n in range(1, 60):
        assert await client.put(f"m{n}", kind="keyed", key=f"k{n}") == "+OK"
        await e.call()
        fleet.discovery.target(f"e{n}", e.port, 7)
        fleet.discovery.change(f"e{n}", state="in_service")
        fleet.discovery.change(f"e{n - 1}", state="terminated")
        del fleet.discovery.targets[f"e{n - 1}"]
        while host.watch.rev != fleet.discovery.rev or host.journal.pending or host.calls.out:
            await asyncio.sleep(0.002)
        if n in (10, 59):
            await asyncio.sleep(0.05)
            sizes.append(kept(host))
    assert sizes[0] == sizes[1] and sizes[0]["uids"] == sizes[0]["endpoints"] == 1 == sizes[0]["pools"]


@courier
async def test_an_endpoint_that_goes_with_its_call_out_is_forgotten_when_the_call_ends(fleet):
    e = await fleet.endpoint("a", "hang")
    client = await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    assert await client.put("u", kind="unsafe", life=900) == "+OK"
    await e.call()
    fleet.discovery.change("a", state="terminated")
    assert (await fleet.discovery.final())["id"] == "u"
    await asyncio.sleep(0.05)
    assert kept(fleet.host)["endpoints"] == kept(fleet.host)["lanes"] == 0


@courier
async def test_a_client_that_asks_once_and_keeps_its_connection_is_let_go(fleet):
    await fleet.endpoint("a")
    client = await fleet.inside()
    assert await client.put("m1") == "+OK"
    assert await asyncio.wait_for(client.reader.read(), server.IDLE_S + 1) == b""
    assert not fleet.host.clients.clients
