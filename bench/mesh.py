"""What the mesh costs: bytes of frames, time a message on a link, how long a silent link stands.

    python bench/mesh.py [--messages 20000] [--cuts 300] [--size 200]

Times are given as ratios within the run: a message on a link (both ends in this process, loopback) against
packing and unpacking it alone. Silent links are measured on the simulated network, in ping periods.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from statistics import median, quantiles

from madderbeam.membership.values import Incarnation, LinkDown, LinkUp, MemberId, MessageReceived
from madderbeam.ports.real import RealNetwork
from madderbeam.simulation.fabric import Fabric
from madderbeam.simulation.loop import Scheduler, process_loop
from madderbeam.simulation.network import Link, SimNetwork
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.events import MeshSettings
from madderbeam.transport.mesh.mesh import Mesh

HOUR_US = 3_600_000_000  # stamps of a link that is up for an hour
A, B = MemberId("macon", "m1"), MemberId("savannah", "m1")


def packing_s(count: int, size: int) -> float:
    """Pack and unpack so many messages of a link."""
    body = b"x" * size
    start = time.perf_counter()
    for n in range(count):
        frames.unpack_link_frame(frames.pack_link_frame("r", [n, body])[frames.LENGTH_PREFIX_BYTES :])
    return time.perf_counter() - start


async def link_s(count: int, size: int) -> tuple[float, float, int]:
    """Send so many messages over a link: seconds, bytes a message, and the round trip in microseconds."""
    loop = asyncio.get_running_loop()
    network, up, done, got = RealNetwork(loop), asyncio.Event(), asyncio.Event(), [0]

    def at_a(channel: str, event: object) -> None:
        if isinstance(event, LinkUp):
            up.set()

    def at_b(channel: str, event: object) -> None:
        got[0] += isinstance(event, MessageReceived)
        if got[0] == count:
            done.set()

    settings = MeshSettings(max_unsent_bytes=1 << 30, ping_s=60.0)
    a = Mesh(loop, network, A, Incarnation(1, 1), "bench", ("127.0.0.1", 0), at_a, settings=settings)
    b = Mesh(loop, network, B, Incarnation(1, 2), "bench", ("127.0.0.1", 0), at_b, settings=settings)
    a.listen()
    a.open_link(B, ("127.0.0.1", b.listen()))
    await up.wait()
    before, body = a.metrics()["stream_bytes_out"], b"x" * size
    start = time.perf_counter()
    for n in range(count):
        a.send(B, "r", [n, body])
    await done.wait()
    took, rtt = time.perf_counter() - start, a.rtt_us(B)
    sent = a.metrics()["stream_bytes_out"] - before
    a.close()
    b.close()
    return took, sent / count, rtt


def silent_periods(cuts: int) -> list[float]:
    """How long links that were cut at random moments stood, in ping periods."""
    chance, scheduler, found, up = random.Random(37), Scheduler(37), [], [0, 0]
    fabric = Fabric(scheduler, random.Random(37))

    def told(channel: str, event: object) -> None:
        up[0] += isinstance(event, LinkUp)
        up[1] += isinstance(event, LinkDown)

    meshes = []
    for me, host in ((A, "10.0.0.1"), (B, "10.0.0.2")):
        loop = process_loop(scheduler)
        network = SimNetwork(loop, {}, Link(), random.Random(host), lambda name: False, 100, host, fabric)
        meshes.append(Mesh(loop, network, me, Incarnation(1, 1), "bench", (host, 1), told, rng=chance))
        meshes[-1].listen()
    meshes[0].want(B, ("10.0.0.2", 1))
    for _ in range(cuts):
        while up[0] == up[1]:
            scheduler.run(scheduler.now_us + 10_000)
        scheduler.run(scheduler.now_us + chance.randrange(3_000_000))
        start, way = (
            scheduler.now_us,
            fabric.way(*chance.choice((("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")))),
        )
        way.break_off()
        while up[0] > up[1]:
            scheduler.run(scheduler.now_us + 10_000)
        found.append((scheduler.now_us - start) / 1e6 / MeshSettings().ping_s)
        way.heal()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--messages", type=int, default=20_000)
    parser.add_argument("--cuts", type=int, default=300)
    parser.add_argument("--size", type=int, default=200)
    args = parser.parse_args()
    empty = frames.pack("federation", frames.Frame(A, Incarnation(1, 1 << 63), "m", []))
    print(
        f"bytes beside the row: {len(empty) - 1} of a datagram (federation's name of 10), "
        f"{len(frames.pack_link_frame('r', [], HOUR_US)) - 1} on a link; a ping: "
        f"{len(frames.pack_link_frame('', [3600, HOUR_US], HOUR_US))}, its pong: "
        f"{len(frames.pack_link_frame('', [3600]))}"
    )
    alone = min(packing_s(args.messages, args.size) for _ in range(3))
    took, size, rtt = min(asyncio.run(link_s(args.messages, args.size)) for _ in range(3))
    print(
        f"{args.messages} messages of {args.size} bytes: {size:.1f} bytes each on a link, "
        f"{took / alone:.1f} times what packing and unpacking alone takes; round trip {rtt} us"
    )
    found = silent_periods(args.cuts)
    print(
        f"{args.cuts} links cut in one direction stood for {median(found):.2f} ping periods (median), "
        f"{quantiles(found, n=100)[98]:.2f} (99th percentile), {max(found):.2f} (most)"
    )


if __name__ == "__main__":
    main()
