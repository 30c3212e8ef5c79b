"""One message submitted twice: at the site that serves it, and at another that forwards it there."""

import asyncio

from harness import Estate

LIMIT = 60.0  # seconds
LIFE_MS = 20_000  # outlasts a slow restart and the link behind it


def test_both_report_the_outcome_after_the_serving_courier_was_killed(tmp_path):
    async def inner():
        partners = {1: ("macon", ()), 2: ("savannah", ())}
        async with Estate(tmp_path, {"macon": 1, "savannah": 1}, partners) as estate:
            await estate.start()
            macon, savannah, partner = estate["macon/m1"], estate["savannah/m1"], estate.partners[2]
            partner.script += ["hang"] * 200
            here, there = await savannah.client(), await macon.client()
            assert await estate.put(here, savannah, "twice", 2, life=LIFE_MS) == "+OK"
            assert await estate.put(there, macon, "twice", 2, life=LIFE_MS) == "+OK"
            kept = savannah.folder / "state-federation" / "kept"
            while b"home" not in kept.read_bytes():  # until macon's copy has arrived too
                await asyncio.sleep(0.02)
            await savannah.kill()
            await estate.start("savannah/m1")
            wanted = {("macon/m1", "twice"), ("savannah/m1", "twice")}
            while {told[:2] for told in estate.finals()} != wanted:
                await asyncio.sleep(0.05)
            assert len({status for _, _, status in estate.finals()}) == 1

    asyncio.run(asyncio.wait_for(inner(), 2 * LIMIT))
