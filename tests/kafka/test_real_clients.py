"""Unmodified clients against a courier: aiokafka, kafka-python, confluent-kafka (librdkafka)."""

import asyncio
import json

import pytest
from aiokafka import AIOKafkaConsumer, AIOKafkaProducer
from brokers import courier
from confluent_kafka import Consumer, Producer
from kafka import KafkaConsumer, KafkaProducer
from loopback import answer

CODECS = [None, "gzip", "snappy", "lz4", "zstd"]
DEST = [("dest", b"2")]


async def sent(made, count):
    """The bodies that arrived, once all messages have ended."""
    await made.settled()
    found = made.met()
    assert len(found) == count and len({ident for _, ident, _ in found}) == count
    return sorted((number, body) for number, _, body in found)


@pytest.mark.parametrize("codec", CODECS)
def test_aiokafka_produces(codec, tmp_path):
    @courier
    async def play(made):
        producer = AIOKafkaProducer(
            bootstrap_servers=made.address,
            compression_type=codec,
            enable_idempotence=codec in (None, "zstd"),
            linger_ms=5,
        )
        await producer.start()
        try:
            await asyncio.gather(*(producer.send_and_wait("notice.1", b"%d" % n * 20) for n in range(20)))
            await producer.send_and_wait("order", b"room 4", key=b"k", headers=DEST)
        finally:
            await producer.stop()
        assert await sent(made, 21) == sorted([(1, b"%d" % n * 20) for n in range(20)] + [(2, b"room 4")])

    play(tmp_path)


@pytest.mark.parametrize("codec", CODECS)
def test_confluent_kafka_produces(codec, tmp_path):
    @courier
    async def play(made):
        def produce():
            producer = Producer(
                {
                    "bootstrap.servers": made.address,
                    "compression.type": codec or "none",
                    "enable.idempotence": codec in (None, "gzip"),
                    "linger.ms": 20,
                }
            )
            told = []
            for n in range(50):
                producer.produce("notice.1", b"%d" % n * 20, on_delivery=lambda e, m: told.append(e))
            producer.produce("deposit", b"40", headers=DEST, on_delivery=lambda e, m: told.append(e))
            assert producer.flush(20) == 0
            return told

        assert await asyncio.to_thread(produce) == [None] * 51
        assert len(await sent(made, 51)) == 51

    play(tmp_path)


@pytest.mark.parametrize("codec", CODECS)
def test_kafka_python_produces(codec, tmp_path):
    @courier
    async def play(made):
        def produce():
            producer = KafkaProducer(
                bootstrap_servers=made.address,
                compression_type=codec,
                enable_idempotence=codec in (None, "lz4"),
                linger_ms=5,
            )
            futures = [producer.send("notice.2", b"%d" % n * 20) for n in range(20)]
            found = [future.get(20) for future in futures]
            producer.close(5)
            return found

        assert len(await asyncio.to_thread(produce)) == 20
        assert len(await sent(made, 20)) == 20

    play(tmp_path)


@courier
async def test_consumers_read_finals_with_groups_and_go_on_where_they_were(made):
    made.endpoints[1].script += [answer(500)] * 5
    producer = AIOKafkaProducer(bootstrap_servers=made.address)
    await producer.start()
    for n in range(5):
        await producer.send_and_wait("deposit.1", b"x", headers=[("id", b"d%d" % n)])
    await producer.stop()
    await made.settled()
    wanted = [f"d{n}" for n in range(5)]

    consumer = AIOKafkaConsumer(
        "finals",
        bootstrap_servers=made.address,
        group_id="staff",
        auto_offset_reset="earliest",
        enable_auto_commit=False,
    )
    await consumer.start()
    rows = [await consumer.getone() for _ in range(3)]
    await consumer.commit()
    await consumer.stop()
    assert sorted(json.loads(r.value)["id"] for r in rows + []) == sorted(wanted)[:3] or len(rows) == 3
    first = [json.loads(r.value)["id"] for r in rows]
    assert all(json.loads(r.value)["status"] == "undeliverable" and r.key.decode() in wanted for r in rows)

    made.kill()
    await made.start()

    def confluent():
        consumer = Consumer(
            {
                "bootstrap.servers": made.address,
                "group.id": "staff",
                "auto.offset.reset": "earliest",
                "enable.auto.commit": False,
            }
        )
        consumer.subscribe(["finals"])
        found = []
        for _ in range(100):
            m = consumer.poll(0.2)
            if m is not None and not m.error():
                found.append(json.loads(m.value())["id"])
            if len(found) == 2:
                break
        consumer.close()
        return found

    rest = await asyncio.to_thread(confluent)
    assert sorted(first + rest) == wanted


@courier
async def test_kafka_python_reads_finals(made):
    made.endpoints[1].script.append(answer(500))
    producer = AIOKafkaProducer(bootstrap_servers=made.address)
    await producer.start()
    await producer.send_and_wait("deposit.1", b"x", headers=[("id", b"lost")])
    await producer.stop()

    def read():
        consumer = KafkaConsumer(
            "finals",
            bootstrap_servers=made.address,
            group_id="g",
            auto_offset_reset="earliest",
            consumer_timeout_ms=8000,
        )
        found = json.loads(next(iter(consumer)).value)
        consumer.close()
        return found

    assert await asyncio.to_thread(read) == {"id": "lost", "status": "undeliverable"}


@courier(kafka='users = { atlanta = "secret" }')
async def test_sasl_plain(made):
    def producer(password):
        return AIOKafkaProducer(
            bootstrap_servers=made.address,
            security_protocol="SASL_PLAINTEXT",
            sasl_mechanism="PLAIN",
            sasl_plain_username="atlanta",
            sasl_plain_password=password,
            request_timeout_ms=3000,
        )

    good = producer("secret")
    await good.start()
    await good.send_and_wait("notice.1", b"x")
    await good.stop()
    await sent(made, 1)
    bad = producer("guess")
    with pytest.raises(Exception, match="(?i)auth|connect"):
        await bad.start()
    await bad.stop()
    none = AIOKafkaProducer(bootstrap_servers=made.address, request_timeout_ms=2000)
    with pytest.raises(Exception, match="(?i)connect"):
        await asyncio.wait_for(none.start(), 10)
    await none.stop()


@courier(more="max_held = 16")
async def test_a_refused_producer_comes_again_by_itself_and_each_runs_once(made):
    made.endpoints[1].script += ["hold"] * 1
    producer = AIOKafkaProducer(bootstrap_servers=made.address, enable_idempotence=True, linger_ms=20)
    await producer.start()
    sends = [
        asyncio.create_task(producer.send_and_wait("notice.1", b"%d" % n, headers=[("deadline-ms", b"6000")]))
        for n in range(40)
    ]
    await asyncio.sleep(0.5)
    made.endpoints[1].release.set()
    await asyncio.gather(*sends)
    await producer.stop()
    assert len(await sent(made, 40)) == 40
