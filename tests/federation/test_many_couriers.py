"""Couriers of one site under overload keep a shared rate through kills, restarts and cuts.

Some are killed, some restarted one after another, all started at once; the grantor loses one direction of its
links or dies; the site is partitioned while a partner recovers.
"""

import asyncio
import contextlib
import json

import judge
from harness import Estate
from noting_partners import RAN, now
from traffic import Traffic

LIMIT = 90.0
PER_S = 20.0  # the partner's rate, far below the submitted load
PARTNERS = {1: ("macon", [])}
TOLD = {"probe_period_ms": 200, "probe_timeout_ms": 100, "share": True}
COLD_S, COLD_SHARE, FALL, FALL_S = 12.0, 0.15, 2.5, 2.0  # the load that a cold partner bears, as rendered


def on_site(count):
    def decorate(test):
        def run(tmp_path):
            async def inner():
                estate = Estate(tmp_path, {"macon": count}, PARTNERS, told=TOLD)
                estate.per_s = PER_S
                async with estate, contextlib.AsyncExitStack() as feeds:
                    await estate.start()
                    await test(estate, Flood(estate, feeds))

            asyncio.run(inner())

        return run

    return decorate


class Flood:
    """Submits more to each running member than the partner takes."""

    def __init__(self, estate, feeds):
        self.estate, self.feeds, self.of = estate, feeds, {}
        self.begun = now()

    async def begin(self, *names):
        for name in names:
            feed = Traffic(self.estate, [name], [1], every_s=0.1, life=6000)
            self.of[name] = await self.feeds.enter_async_context(feed)

    async def end(self, *names):
        await asyncio.gather(*(self.of.pop(name).cancel() for name in names))

    def within_limit(self):
        """Assert that all calls so far were within the rate. Token buckets hold 0.8 s of their rate."""
        count, passed = len(self.estate.partners[1].calls), now() - self.begun
        assert count <= PER_S * (passed + 2.0), (count, passed)


def amount(told):
    return told["shared"]["leases"]["leases"]["rate/1"]["amount"]


async def until_rate_is_granted(estate, names):
    """Wait until these members have nine tenths of the limit or more.

    Amounts that are equal in two successive readings were held at one moment between them, so their sum must
    not exceed the limit.
    """
    told = []

    async def inner():
        nonlocal told
        while True:
            before, told = [await asyncio.gather(*(estate[n].federation() for n in names)) for _ in range(2)]
            first, second = [amount(t) for t in before], [amount(t) for t in told]
            if first == second:
                assert sum(first) <= PER_S * 1.0001, first
                if sum(first) >= 0.9 * PER_S:
                    return
            await asyncio.sleep(0.1)

    try:
        await asyncio.wait_for(inner(), LIMIT)
    except TimeoutError:
        raise TimeoutError(json.dumps([t["shared"]["leases"] for t in told])) from None


async def until_all_know_of_floors(estate, names):
    """Wait until each of these members knows that all of them use no fixed share.

    A fixed share is reserved for a member that is killed or cut off before: see test_leases.py,
    test_fixed_shares_are_reserved_for_members_killed_right_after_the_first_grants.
    """
    await estate.until_told(
        names, lambda told: all(t["shared"]["leases"]["known_joined"] == names for t in told), LIMIT
    )


def grantor(told):
    """Return the grantor of the partner's rate in this member's view."""
    leases = told["shared"]["leases"]
    return leases["slots"][leases["leases"]["rate/1"]["slot"]]["granter"]


async def until_granted(estate, names, than):
    """Wait until all these members have one grantor other than `than`; return it."""
    told = await estate.until_told(
        names,
        lambda told: (
            len({grantor(t) for t in told}) == 1
            and grantor(told[0]) not in (None, than)
            and all(t["shared"]["leases"]["leases"]["rate/1"]["left_ms"] for t in told)
        ),
        LIMIT,
    )
    return grantor(told[0])


def violations(estate):
    """Return the violations but F5: outcomes are missing while the courier of a message is down."""
    return [w for w in judge.judged(estate, [estate.table(1)]) if not w.startswith("F5")]


@on_site(5)
async def test_some_are_killed_under_overload_two_restarted_in_turn_and_all_killed_at_last(estate, flood):
    names = list(estate.members)
    dead, rest = names[:2], names[2:]
    await flood.begin(*names)
    await until_granted(estate, names, "")
    await until_all_know_of_floors(estate, names)
    await flood.end(*dead)
    await asyncio.gather(*(estate[name].kill() for name in dead))
    await until_rate_is_granted(estate, rest)
    await estate.start(*dead)
    await flood.begin(*dead)
    for name in rest[:2]:
        await flood.end(name)
        await estate[name].end()
        await estate.start(name)
        await flood.begin(name)
    await until_rate_is_granted(estate, names)
    await flood.end(*names)
    await asyncio.gather(*(estate[name].kill() for name in names))
    await estate.start()
    await flood.begin(*names)
    await until_rate_is_granted(estate, names)
    flood.within_limit()
    assert violations(estate) == []


@on_site(4)
async def test_the_grantor_loses_one_direction_and_the_next_one_dies(estate, flood):
    names = list(estate.members)
    await flood.begin(*names)
    first = await until_granted(estate, names, "")
    await until_all_know_of_floors(estate, names)
    rest = [name for name in names if name != first]
    for name in rest:
        estate.links[name, first].cut()  # it sends but receives nothing
    second = await until_granted(estate, rest, first)
    await until_rate_is_granted(estate, names)
    estate.links.heal()
    await flood.end(second)
    await estate[second].kill()
    living = [name for name in names if name != second]
    await until_granted(estate, living, second)
    await until_rate_is_granted(estate, living)
    flood.within_limit()
    assert violations(estate) == []


class Returning:
    """Counts a partner's calls from its recovery on.

    A stall of this test process makes calls seem to arrive together, so the longest stall widens the window.
    """

    def __init__(self, partner):
        self.partner, self.back, self.worst = partner, now(), 0.0
        self.task = asyncio.create_task(self._watch())

    async def _watch(self):
        while True:
            before = now()
            await asyncio.sleep(0.05)
            self.worst = max(self.worst, now() - before - 0.05)

    def overloads(self):
        """Return the windows with more calls than a cold partner bears: (begin, calls, limit)."""
        self.task.cancel()
        span, found = FALL_S + self.worst, []
        times = [c.begun - self.back for c in self.partner.calls if self.back <= c.begun < self.back + COLD_S]
        for at in times:
            count = sum(at <= t < at + span for t in times)
            middle = (at + span / 2) / COLD_S
            bears = FALL * PER_S * min(1.0, COLD_SHARE + (1 - COLD_SHARE) * middle) * span
            if count > bears + 3 * bears**0.5 + 3:
                found.append((at, count, bears))
        return found


@on_site(5)
async def test_a_site_partitioned_during_an_outage_heals_while_the_partner_recovers(estate, flood):
    names, partner = list(estate.members), estate.partners[1]
    small, large = names[:2], names[2:]
    await flood.begin(*names)
    await until_granted(estate, names, "")
    partner.script += ["reset"] * 100_000
    await estate.until_told(names, lambda told: sum(1 in t["shared"]["held_back"] for t in told) == 4, LIMIT)
    estate.links.part(small, large)
    await estate.until_told(
        names,
        lambda told: all(
            {m["member"] for m in t["members"] if m["state"] == "dead"}
            == set(large if t["member"] in small else small)
            for t in told
        ),
        LIMIT,
    )
    partner.script.clear()
    returning, at = Returning(partner), len(partner.calls)
    await partner.until(lambda calls: sum(c.effect == RAN for c in calls[at:]) >= 3, LIMIT)
    estate.links.heal()
    healed = len(partner.calls)
    await partner.until(
        lambda calls: {c.member for c in calls[healed:] if c.effect == RAN} == set(names), LIMIT
    )
    await until_rate_is_granted(estate, names)
    assert returning.overloads() == [] and violations(estate) == []
    flood.within_limit()
