"""The real process, killed dozens of times under load while its journal is compacted."""

import asyncio
import contextlib
import random

from loopback import bounded, courier

KILLS = 24


async def load(fleet, rng, answers, count):
    """Put messages from four clients until the process is killed; `answers` gets each reply, `count` the
    number."""
    client = await fleet.outside()

    async def put_messages():
        connection = await type(client)().open(fleet.port)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                count[0] += 1
                kind = rng.choice(("safe", "unsafe", "keyed"))
                ident = f"{kind}-{count[0]}"
                key = f"k{count[0]}" if kind == "keyed" else ""
                body = b"x" * rng.choice((20, 400, 1500))
                answers[ident] = "asked"
                answers[ident] = await connection.put(ident, kind=kind, key=key, body=body)
                if answers[ident].startswith("-BUSY"):
                    await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(put_messages()) for _ in range(4)]
    await asyncio.sleep(rng.uniform(0.05, 0.3))
    await fleet.kill()
    await asyncio.gather(*tasks)


@courier
async def test_sigkills_under_load_lose_nothing_and_send_nothing_unsafe_twice(fleet):
    fleet.limits["disk_mb"] = 0.2
    endpoint = await fleet.endpoint("a", rate=2000.0)
    fleet.raw["tenants"][0]["quotaPerS"] = 1e6
    rng, answers, count, segments = random.Random(8), {}, [0], set()
    for _ in range(KILLS):
        await load(fleet, rng, answers, count)
        files = list((fleet.folder / "state").iterdir())
        segments |= {f.name for f in files}
        assert sum(-(-f.stat().st_size // 512) * 512 for f in files) <= 200_000
    await fleet.outside()
    accepted = {ident for ident, answer in answers.items() if answer == "+OK"}
    calls, finals = [], set()

    async def completed():
        while not accepted <= {ident for ident in calls} | finals:
            while not endpoint.calls.empty():
                calls.append(endpoint.calls.get_nowait()[1]["x-request-id"])
            while not fleet.discovery.finals.empty():
                finals.add(fleet.discovery.finals.get_nowait()[1]["id"])
            await asyncio.sleep(0.02)

    await bounded(completed())
    unsafe = [ident for ident in calls if ident.startswith("unsafe")]
    assert len(unsafe) == len(set(unsafe)), "a non-idempotent message was sent twice"
    assert len(accepted) > KILLS * 10 and len(segments) > 30  # many segments were written and removed
