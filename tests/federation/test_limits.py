"""Connection limits and quotas that the couriers of one site share by need, as processes."""

import asyncio

import judge
from harness import Estate
from test_shared import LIMIT, MACON, PARTNERS, SITES, TOLD

EACH = 4  # max_conns; 12 for the three couriers together
QUOTA = """
[[quota]]
name = "school"
limit = { messages_per_s = 60, bytes_per_s = 600000 }
tenants = ["t"]
"""


class Limited(Estate):
    """An estate with connection limits at its partners and a quota."""

    def _partners(self, member):
        return super()._partners(member).replace(", state =", f", max_conns = {EACH}, state =")

    def _estate(self, member):
        return super()._estate(member) + QUOTA


def on_estate(test):
    def run(tmp_path):
        async def inner():
            async with Limited(tmp_path, SITES, PARTNERS, told=TOLD) as estate:
                await estate.start()
                await estate.until_told(
                    MACON,
                    lambda told: all(
                        len(t["members"]) == 3 and runs(t, "places/1") and runs(t, "quota/school")
                        for t in told
                    ),
                    LIMIT,
                )
                await test(estate)

        asyncio.run(inner())

    return run


def lease(told, resource):
    return told["shared"]["leases"]["leases"].get(resource, {})


def runs(told, resource):
    return bool(lease(told, resource).get("left_ms"))


def amounts(told, resource):
    return [lease(t, resource)["amount"] for t in told]


@on_estate
async def test_a_courier_uses_the_connections_that_others_leave_and_returns_them(estate):
    partner, first = estate.partners[1], MACON[0]
    partner.script += ["hold"] * 100
    client = await estate[first].client()
    for n in range(20):
        assert await estate.put(client, estate[first], f"n{n}", 1, life=20_000) == "+OK"
    await partner.until(lambda calls: len(calls) > 2 * EACH, LIMIT)  # more than its equal share
    told = await estate.until_told(MACON, lambda told: sum(amounts(told, "places/1")) <= 3 * EACH, LIMIT)
    assert sum(c.ended == float("inf") for c in partner.calls) <= 3 * EACH - 2, told
    assert min(amounts(told, "places/1")) >= 1
    partner.release.set()
    await partner.until(lambda calls: sum(c.ended < float("inf") for c in calls) >= 20, LIMIT)
    await estate.until_told(MACON, lambda told: max(amounts(told, "places/1")) < 3 * EACH - 2, LIMIT)
    assert judge.judged(estate, [estate.table(1)]) == []


@on_estate
async def test_a_quota_follows_the_messages_and_ends_with_its_lease(estate):
    first, rest = MACON[0], MACON[1:]
    client = await estate[first].client()
    count = 0

    async def flood():
        nonlocal count
        while True:
            await estate.put(client, estate[first], f"n{count}", 1, life=20_000)
            count += 1
            await asyncio.sleep(0.005)

    task = asyncio.create_task(flood())
    told = await estate.until_told(MACON, lambda told: amounts(told, "quota/school")[0] > 0.8, LIMIT)
    assert sum(amounts(told, "quota/school")) <= 1.0 + 1e-9
    await estate.until_told([first], lambda told: told[0]["shared"]["quota"]["school"] > 0.8, LIMIT)
    task.cancel()
    for name in rest:  # without a majority the lease ends, and only the floor is left
        await estate[name].kill()
    await estate.until_told(
        [first],
        lambda told: not runs(told[0], "quota/school") and told[0]["shared"]["quota"]["school"] < 0.04,
        LIMIT,
    )
