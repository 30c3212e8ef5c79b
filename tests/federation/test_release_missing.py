"""The old owner of a destination is killed during a non-idempotent call and never sends its release."""

import asyncio

import judge
from harness import Estate
from noting_partners import MAY_HAVE_RUN, now

SITES = {"macon": 1, "savannah": 1, "athens": 1}
PARTNERS = {1: ("macon", []), 2: ("savannah", [])}
LIMIT = 90.0
DEPOSIT_MS = 15_000  # the deposit is undeliverable then


def on_estate(told=None, settings=None):
    def made(test):
        def run(tmp_path):
            async def inner():
                async with Estate(tmp_path, SITES, PARTNERS, told, settings=settings) as estate:
                    await test(estate)

            asyncio.run(inner())

        return run

    return made


async def kill_during_deposit(estate):
    """Move partner 2 from savannah to athens and kill savannah's courier during its call with the deposit.

    The courier can't release the destination before that call ends. More messages are submitted afterwards.
    Returns the tables, and when the second was proposed.
    """
    macon, savannah, partner = estate["macon/m1"], estate["savannah/m1"], estate.partners[2]
    partner.script.append("hang")
    client = await macon.client()
    await estate.put_until_accepted(client, macon, "deposit", 2, kind="unsafe", life=DEPOSIT_MS)
    await partner.until(lambda calls: len(calls) == 1, LIMIT)
    table = estate.table(2, {2: "athens"})
    tables, offered = [estate.table(1), table], {2: now()}
    status, text = await macon.offer(table)
    assert status == 202, text
    await estate.until_in_force(2, LIMIT)
    await savannah.until("destination 2 is relinquished", LIMIT)
    assert partner.calls[0].ended == float("inf")
    await savannah.kill()
    for kind in ("safe", "keyed", "unsafe"):
        await estate.put_until_accepted(client, macon, kind, 2, kind=kind, life=60_000)
    return tables, offered


async def assert_all_but_the_deposit_delivered(estate, told):
    """Assert that the new owner delivers the other messages and the deposit was attempted once."""
    await estate.until_ended(LIMIT)
    assert judge.judged(estate, *told) == []
    calls = estate.partners[2].calls
    assert [c.effect for c in calls if c.ident == "deposit"] == [MAY_HAVE_RUN]
    assert {c.member for c in calls if c.ident != "deposit"} == {"athens/m1"}
    assert sorted(c.ident for c in calls) == ["deposit", "keyed", "safe", "unsafe"]
    assert estate.finals() == [("macon/m1", "deposit", "undeliverable")]


@on_estate()
async def test_the_new_owner_waits_for_the_operator_and_the_deposit_is_attempted_once(estate):
    await estate.start()
    told = await kill_during_deposit(estate)
    athens = estate["athens/m1"]

    def missed(told):  # reported as an error after 10 s; only an operator can resolve it
        return any(
            "release-missing" in line and "savannah/m1 has not released 2" in line
            for line in told["switch"]["errors"]
        )

    await athens.until_told(missed, LIMIT)
    assert len(estate.partners[2].calls) == 1
    off = now()
    status, text = await estate["macon/m1"].say("/federation/off", member="savannah/m1")
    assert status == 200, text
    await assert_all_but_the_deposit_delivered(estate, told)
    assert min(c.begun for c in estate.partners[2].calls[1:]) > off


@on_estate({"lease_ms": 3000})
async def test_with_leases_the_new_owner_waits_for_the_end_of_the_old_leases(estate):
    renewed, granted, both = {}, set(), asyncio.Event()

    def note(source, to, channel, row):
        if (source, channel, row[:1]) == ("savannah/m1", "s", ["lq"]):
            renewed[to] = now()
        if (to, channel, row[:1]) == ("savannah/m1", "s", ["la"]) and row[2]:
            granted.add(source)
            if len(granted) == 2:
                both.set()  # a voter that never granted a lease can't tell that it has ended

    estate.links.notes.append(note)
    await estate.start()
    await asyncio.wait_for(both.wait(), LIMIT)
    told = await kill_during_deposit(estate)
    # Its lease counts from before these requests; a majority without it is both other voters.
    ends = max(renewed.values()) + 3.0
    await assert_all_but_the_deposit_delivered(estate, told)
    assert min(c.begun for c in estate.partners[2].calls[1:]) >= ends
