"""What a partner gets while it is out or tells to wait, with couriers that share news and without.

    python bench/shared_news.py [--couriers 6]     # real processes; about a minute

The same scene twice: couriers of one site, each with a message for the partner every 50 ms. The partner tells
one of them to wait 3 s; three seconds later it resets all calls for 8 s; then it is back. Counted at the
partner.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path[:0] = [str(HERE / "tests"), str(HERE / "tests" / "federation"), str(HERE)]
from harness import Estate  # noqa: E402
from noting_partners import RAN, now  # noqa: E402
from traffic import Traffic  # noqa: E402

WAIT_S, CALM_S, OUT_S, BACK_S = 3.0, 3.0, 8.0, 6.0


async def scene(folder: Path, couriers: int, share: bool) -> dict[str, float]:
    told = {"probe_period_ms": 200, "probe_timeout_ms": 100, "share": share}
    async with Estate(folder, {"macon": couriers, "savannah": 1}, {1: ("macon", [])}, told=told) as estate:
        await estate.start()
        await asyncio.sleep(3)  # all know each other
        partner, names = estate.partners[1], [m.name for m in estate.site("macon")]
        async with contextlib.AsyncExitStack() as feeds:
            for name in names:
                await feeds.enter_async_context(Traffic(estate, [name], [1], every_s=0.05, life=4000))
            await asyncio.sleep(2)
            partner.script.append(("wait", WAIT_S))
            at = len(partner.calls)
            await partner.until(lambda calls: any(c.wait_s and c.ended < 1e9 for c in calls[at:]), 10)
            told_at = next(c.ended for c in partner.calls[at:] if c.wait_s)
            await asyncio.sleep(WAIT_S)
            during = sum(told_at + 0.1 < c.begun < told_at + WAIT_S for c in partner.calls)
            await asyncio.sleep(CALM_S)  # what waited goes out, all at once
            partner.script += ["reset"] * 100_000
            out = now()
            await asyncio.sleep(OUT_S)
            partner.script.clear()
            back = now()
            tried = [c for c in partner.calls if out <= c.begun < back]
            await asyncio.sleep(BACK_S)
            ran = [c.begun for c in partner.calls if c.effect == RAN and c.begun >= back]
        first = min(ran) - back if ran else float("inf")
        second = max((sum(t <= u < t + 1 for u in ran) for t in ran if t < min(ran) + 1), default=0)
        return {
            "calls in the wait": during,
            "calls while out": len(tried),
            "after the first second": sum(c.begun > out + 1 for c in tried),
            "first answer after s": round(first, 2),
            "most calls in a second of its return": second,
        }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--couriers", type=int, default=6)
    couriers = parser.parse_args().couriers
    for share in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(scene(Path(folder), couriers, share))
        print(
            f"{couriers} couriers, share = {str(share).lower()}: "
            + ", ".join(f"{name} {value}" for name, value in found.items())
        )


if __name__ == "__main__":
    main()
