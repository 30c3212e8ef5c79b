"""A courier whose partner is a Kafka cluster: each row of the table of outcomes, and the hard cases by
name."""

import asyncio
from collections import Counter

import pytest
from aiokafka import AIOKafkaProducer
from brokers import Courier
from cluster import Cluster
from confluent_kafka import Producer
from loopback import Client

from madderbeam.transport.kafka.outcomes import FATES, Fate
from madderbeam.transport.kafka.partner import murmur2


class ToCluster(Courier):
    """Its partner 1 is a cluster."""

    def __init__(self, folder, **given):
        super().__init__(folder, **given)
        self.cluster = Cluster()

    async def __aenter__(self):
        await self.cluster.start()
        return await super().__aenter__()

    async def __aexit__(self, *given):
        await super().__aexit__(*given)
        await self.cluster.stop()

    def partners(self):
        nodes = ", ".join(f'"127.0.0.1:{port}"' for port in self.cluster.ports)
        bundle = "[kinds.plain]\n[kinds.bundles]\nbundle = 5\n"
        return (
            f'{bundle}[[partner]]\nname = "chain"\nnumber = 1\nper_s = 5000\ntopic = "orders"\n'
            f'kind = "{self.kind}"\nendpoints = [{nodes}]\n'
        )

    kind = "plain"

    async def client(self):
        return await Client().open(self.host.clients.sock.getsockname()[1])


def message(ident, cls="notice", life=4000, key=""):
    fields = f"c={cls},t=atlanta,d={life},dest=1" + (f",k={key}" if key else "")
    return Client.command(
        b"MSG.PUT", b"0" * 16, ident.encode(), fields.encode(), b"body of " + ident.encode()
    )


def played(test, **given):
    def run(tmp_path):
        async def inner():
            async with ToCluster(tmp_path, **given) as made:
                await asyncio.wait_for(test(made), 30)

        asyncio.run(inner())

    return run


async def one(made, client, ident, *script, **more):
    """Hand one message in and wait for its end; how often it took effect, and its final's status."""
    made.cluster.script += script
    assert await client.send(message(ident, **more)) == "+OK"
    await made.settled()
    await asyncio.sleep(0.02)
    final = next((f["status"] for f in made.finals() if f["id"] == ident), "")
    return made.cluster.effects[ident], final


@played
async def test_messages_are_produced_on_the_leader_of_their_partition(made):
    client = await made.client()
    for n in range(6):
        assert await one(made, client, f"m{n}") == (1, "")
    assert Counter(node == made.cluster.leader(part) for node, part, *_ in made.cluster.produced) == {True: 6}
    assert {part for _, part, *_ in made.cluster.produced} == {0, 1}


@pytest.mark.parametrize("code", sorted(FATES))
def test_each_row_of_the_table(code, tmp_path):
    @played
    async def play(made):
        client, fate = await made.client(), FATES[code][1]
        wait = 300 if fate is Fate.FULL else 0
        effects, final = await one(made, client, "d1", (code, wait), cls="deposit")
        if fate is Fate.DELIVERED:
            assert (effects, final) == (1, "")
        elif fate is Fate.MAY:  # an unsafe message is not sent again
            assert final == "undeliverable" and len(made.cluster.produced) == 1
        elif fate is Fate.FULL:
            assert (effects, final) == (0, "deferred") and len(made.cluster.produced) == 1
        else:  # it never ran: it goes again
            assert (effects, final) == (1, "") and len(made.cluster.produced) == 2
        assert made.cluster.effects["d1"] <= 1

    play(tmp_path)


@pytest.mark.parametrize("step", ["drop", "half", "wrong", "spoilt", "silent"])
def test_a_deposit_whose_acknowledgement_is_lost_is_not_sent_again(step, tmp_path):
    @played
    async def play(made):
        client = await made.client()
        assert await one(made, client, "d1", step, cls="deposit", life=1500) == (1, "undeliverable")
        assert len(made.cluster.produced) == 1
        assert (await one(made, client, "n1"))[0] == 1  # and the partner is gone on with

    play(tmp_path)


@played
async def test_a_connection_that_ends_before_the_produce_is_whole_may_be_told_as_unknown(made):
    client = await made.client()
    effects, final = await one(made, client, "d1", "never", cls="deposit")
    assert (effects, final) == (0, "undeliverable")  # written whole, no answer: it may have run
    assert await one(made, client, "n1", "never") == (1, "")  # a safe one goes again


@played
async def test_full_with_a_wait_keeps_every_connection_and_partition_still(made):
    client = await made.client()
    await one(made, client, "a")
    begin = asyncio.get_running_loop().time()
    made.cluster.script.append((89, 700))
    assert await client.send(message("b")) == "+OK"
    while len(made.cluster.produced) < 2:
        await asyncio.sleep(0.005)
    told = made.cluster.produced[-1][3]
    for n in range(8):
        await client.send(message(f"c{n}"))
    await made.settled()
    later = [at for *_, at in made.cluster.produced[2:]]
    assert later and min(later) >= told + 0.7 - 0.01 and begin


@played
async def test_a_throttle_beside_a_success_is_a_wait_too(made):
    client = await made.client()
    assert await one(made, client, "a", (0, 500)) == (1, "")
    told = made.cluster.produced[-1][3]
    assert await one(made, client, "b") == (1, "")
    assert made.cluster.produced[-1][3] >= told + 0.5 - 0.01


@played
async def test_a_leader_that_moves_is_asked_for_and_found(made):
    client = await made.client()
    assert await one(made, client, "a") == (1, "")
    asked = made.cluster.metadata
    assert await one(made, client, "d", "moved", cls="deposit") == (1, "")
    assert made.cluster.metadata > asked
    calls = [(node, part) for node, part, ids, _ in made.cluster.produced if ids == [b"d"]]
    assert len(calls) == 2 and calls[1][0] == made.cluster.leader(calls[1][1])


@played
async def test_keys_go_to_the_partition_of_java_s_clients(made):
    client = await made.client()
    for n in range(6):
        await one(made, client, f"o{n}", cls="order", key=f"key-{n}")
    wanted = [(murmur2(f"key-{n}".encode()) & 0x7FFFFFFF) % 2 for n in range(6)]
    assert [part for _, part, *_ in made.cluster.produced] == wanted


def test_murmur2_of_known_keys():
    # The values in the tests of Java's client (UtilsTest.testMurmur2).
    assert [
        murmur2(x) - (1 << 32 if murmur2(x) >> 31 else 0)
        for x in (b"21", b"foobar", b"a-little-bit-long-string")
    ] == [-973932308, -790332482, -985981536]


@played
async def test_killed_with_a_produce_out_a_deposit_ends_as_unknown(made):
    client = await made.client()
    made.cluster.script.append("silent")
    assert await client.send(message("d1", cls="deposit", life=8000)) == "+OK"
    while not made.cluster.produced:
        await asyncio.sleep(0.005)
    made.kill()
    await made.start()
    await made.settled()
    await asyncio.sleep(0.05)
    assert [f for f in made.finals() if f["id"] == "d1"] == [{"id": "d1", "status": "undeliverable"}]
    assert made.cluster.effects["d1"] == 1 and len(made.cluster.produced) == 1


class Bundles(ToCluster):
    kind = "bundles"


def test_a_bundle_is_one_batch(tmp_path):
    async def inner():
        async with Bundles(tmp_path) as made:
            client = await made.client()
            await one(made, client, "first")
            await one(made, client, "second")
            client.writer.write(b"".join(message(f"m{n}") for n in range(5)))
            assert [await client.line() for _ in range(5)] == ["+OK"] * 5
            await made.settled()
            assert all(made.cluster.effects[f"m{n}"] == 1 for n in range(5))
            assert max(len(ids) for _, _, ids, _ in made.cluster.produced) > 1

    asyncio.run(inner())


def test_the_stand_in_cluster_serves_real_clients(tmp_path):
    async def inner():
        cluster = await Cluster().start()
        address = f"127.0.0.1:{cluster.ports[0]}"
        producer = AIOKafkaProducer(bootstrap_servers=address)
        await producer.start()
        for n in range(6):
            await producer.send_and_wait("orders", b"x", headers=[("id", b"a%d" % n)])
        await producer.stop()

        def confluent():
            made = Producer({"bootstrap.servers": address})
            for n in range(6):
                made.produce("orders", b"x", headers=[("id", b"c%d" % n)])
            return made.flush(10)

        assert await asyncio.to_thread(confluent) == 0
        assert sum(cluster.effects.values()) == 12 and set(cluster.effects.values()) == {1}
        await cluster.stop()

    asyncio.run(asyncio.wait_for(inner(), 30))
