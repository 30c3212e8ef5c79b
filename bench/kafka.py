"""Messages by RESP2 and by Kafka in one run: CPU of the process for each; the decoder by itself.

`python bench/kafka.py`: one courier, its partners, which answer at once, and its clients in one process; then
`--fuzz N` inputs, drawn and mutated, through the decoder, with nothing but its own errors allowed.
"""

import argparse
import asyncio
import contextlib
import multiprocessing
import random
import struct
import sys
import tempfile
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / "tests"), str(Path(__file__).parents[1] / "tests" / "kafka")]

from brokers import Courier  # noqa: E402

from madderbeam.transport.kafka import schemas  # noqa: E402
from madderbeam.transport.kafka.codec import Malformed, Reader, Writer, decode, encode  # noqa: E402
from madderbeam.transport.kafka.records import BadBatch, Record, read_batches, write_batch  # noqa: E402
from madderbeam.transport.kafka.schemas import APIS  # noqa: E402

COUNT, BODY = 2000, b"x" * 300


def frame(records, number):
    head = Writer()
    for kind, value in (("int16", 0), ("int16", 7), ("int32", number), ("int16", -1)):
        head.fixed(kind, value)
    body = head.bytes() + encode(
        schemas.PRODUCE.request,
        {
            "acks": -1,
            "timeout_ms": 1000,
            "topics": [{"name": "notice.1", "partitions": [{"index": 0, "records": write_batch(records)}]}],
        },
        7,
        False,
    )
    return struct.pack(">i", len(body)) + body


def record(ident):
    return Record(None, BODY, (("id", ident.encode()),))


def resp(ident):
    args = (b"MSG.PUT", b"0", ident.encode(), b"c=notice,t=atlanta,d=6000,dest=1", BODY)
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args)


async def by_resp(made, mark, many):
    """`many` requests are written at once, then their answers are read."""
    reader, writer = await asyncio.open_connection("127.0.0.1", made.host.clients.sock.getsockname()[1])
    for begin in range(0, COUNT, many):
        writer.write(b"".join(resp(f"{mark}{n}") for n in range(begin, begin + many)))
        for _ in range(many):
            assert (await reader.readline()).startswith(b"+OK")
        await made.settled()
    writer.close()


async def by_kafka(made, mark, many):
    """`many` records in a batch."""
    host, _, port = made.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for begin in range(0, COUNT, many):
        writer.write(frame([record(f"{mark}{n}") for n in range(begin, begin + many)], begin))
        size = struct.unpack(">i", await reader.readexactly(4))[0]
        found = Reader(await reader.readexactly(size))
        found.fixed("int32")
        told = decode(schemas.PRODUCE.response, found, 7, False)
        assert told["topics"][0]["partitions"][0]["error_code"] == 0, told
        await made.settled()
    writer.close()


async def paths():
    with tempfile.TemporaryDirectory() as folder:
        async with Courier(Path(folder), more="max_held = 1000\nslots = 64") as made:
            await by_resp(made, "w", 20)
            print(f"{COUNT:,} messages of {len(BODY)} B each, CPU of courier, client and partner together")
            base = 0.0
            for many in (1, 100):
                for name, way in (("RESP2", by_resp), ("Kafka", by_kafka)):
                    start, cpu = time.perf_counter(), time.process_time()
                    await way(made, f"{name}{many}-", many)
                    cpu, took = time.process_time() - cpu, time.perf_counter() - start
                    base = base or cpu
                    print(
                        f"  {name}, {many:3} at once: {cpu / COUNT * 1e6:5.0f} us a message (ratio "
                        f"{cpu / base:.2f}), {COUNT / took:,.0f} a second"
                    )


def decoder():
    batch = write_batch([record(f"r{n}") for n in range(100)])
    for codec, name in enumerate(("plain", "gzip", "snappy", "lz4", "zstd")):
        data = write_batch([record(f"r{n}") for n in range(100)], codec=codec)
        start, rounds = time.process_time(), 100
        for _ in range(rounds):
            read_batches(data)
        took = time.process_time() - start
        print(
            f"  decoding, {name:6}: {took / rounds / 100 * 1e6:5.1f} us a record, "
            f"{len(batch) * rounds / took / 1e6:.1f} MB a second"
        )


def fuzz(given):
    """So many inputs: noise, and requests and batches with bytes changed, cut and doubled."""
    seed, count = given
    chance = random.Random(seed)
    good = [write_batch([record("a"), record("b")], codec=c) for c in range(5)]
    good += [frame([record("a")], 1)[4:]]
    for _ in range(count):
        noise = chance.random() < 0.2
        data = bytearray(chance.randbytes(chance.randrange(99)) if noise else chance.choice(good))
        for _ in range(chance.randrange(1, 5)):
            if not data:
                break
            at = chance.randrange(len(data))
            match chance.randrange(4):
                case 0:
                    data[at] ^= 1 << chance.randrange(8)
                case 1:
                    del data[at:]
                case 2:
                    data[at:at] = data[: chance.randrange(40)]
                case _:
                    data[at : at + 4] = struct.pack(">i", chance.choice((-1, -2, 2**31 - 1, 1 << 20)))
        if len(data) > 21 and chance.random() < 0.5:  # behind a right checksum
            import google_crc32c

            data[17:21] = struct.pack(">I", google_crc32c.value(bytes(data[21:])))
        with contextlib.suppress(BadBatch):
            read_batches(bytes(data))
        api = APIS[chance.choice(sorted(APIS))]
        version = chance.randint(api.least, api.most)
        with contextlib.suppress(Malformed):
            decode(api.request, bytes(data), version, api.is_flexible(version))
    return count


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--fuzz", type=int, default=0, metavar="N")
    count = args.parse_args().fuzz
    if count:
        with multiprocessing.Pool() as pool:
            done = sum(pool.imap_unordered(fuzz, [(n, 10_000) for n in range(-(-count // 10_000))]))
        print(f"{done:,} inputs: no error but the decoder's own")
        return
    asyncio.run(paths())
    decoder()


if __name__ == "__main__":
    main()
