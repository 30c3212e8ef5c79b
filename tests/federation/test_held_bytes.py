"""A link that delays its bytes: deadlines of the messages in transit keep running."""

import asyncio
import random

import pytest
from harness import Estate
from judge import judged
from noting_partners import now

from madderbeam.transport.mesh.clock_lead import ClockLeadBound

LIMIT = 60.0  # seconds
S, DRIFT = 1_000_000, 200


def heard_frames(chance, ahead_us, ppm):
    """Yield the messages of a link with delays from 0.1 ms to 4 s and clocks that drift by `ppm`.

    Each is (true sending time, the receiver's estimate, shortest round trip so far, time of arrival).
    """

    def here(us):
        return int(us * (1 + ppm / 1e6)) + ahead_us

    def way():
        return chance.choice((100, 5_000, 300_000, 4 * S)) + chance.randrange(100)

    sent, arrives, way_there = 0, way(), 0
    link, least = ClockLeadBound(DRIFT, here(arrives)), 1 << 60
    for _ in range(chance.randrange(2, 40)):
        answered = arrives + way()  # reply to the previous ping, at the sender
        least = min(least, answered - sent)
        sent = answered + chance.randrange(S)
        arrives = max(arrives, sent) + way()
        link.ping_received(here(arrives), answered)
        said = chance.randrange(sent, sent + S)  # a message after the ping
        way_there = max(arrives, said) + way()
        yield here(said), link.earliest_sent_us(here(way_there), said), least, way_there
        arrives = max(arrives, way_there)


@pytest.mark.parametrize("ppm", [-DRIFT, 0, DRIFT])
def test_a_message_is_never_dated_too_late_nor_much_too_early(ppm):
    for seed in range(300):
        chance = random.Random(seed)
        for true, told, least, at in heard_frames(chance, chance.randrange(-(10**12), 10**12), ppm):
            assert told <= true
            # early by at most a round trip and the drift
            assert told >= true - least - 2 * DRIFT * at / 1e6 - 10


def test_a_message_before_the_first_ping_cant_be_dated():
    link = ClockLeadBound(DRIFT, 5 * S)
    with pytest.raises(ValueError, match="before the first ping"):
        link.earliest_sent_us(6 * S, 1)
    link.ping_received(6 * S, 1000)
    assert link.earliest_sent_us(9 * S, 500_000) == pytest.approx(5_499_000, abs=1000)
    assert link.earliest_sent_us(5 * S, 500_000) == 5 * S  # never later than the arrival


def test_a_message_that_expires_on_a_stalled_link_is_not_called_and_has_an_outcome(tmp_path):
    async def inner():
        partners = {1: ("macon", ()), 2: ("savannah", ())}
        async with Estate(tmp_path, {"macon": 1, "savannah": 1}, partners) as estate:
            await estate.start()
            macon, link = estate["macon/m1"], estate.links["macon/m1", "savannah/m1"]
            client = await macon.client()
            for n in range(3):
                assert await estate.put(client, macon, f"before-{n}", 2, life=20_000) == "+OK"
            await estate.until_ended(LIMIT)
            link.hold()
            given = now()
            assert await estate.put(client, macon, "held", 2, life=1500) == "+OK"
            await estate.until_ended(LIMIT)
            assert ("macon/m1", "held", "undeliverable") in estate.finals()
            while now() < given + 1.6:
                await asyncio.sleep(0.02)
            link.heal()
            assert await estate.put(client, macon, "after", 2, life=20_000) == "+OK"
            await estate.until_ended(LIMIT)
            # It arrived after the expired one.
            assert [c.body for c in estate.partners[2].calls][3:] == [b"after for 2"]
            assert judged(estate, [estate.table(1)]) == []

    asyncio.run(asyncio.wait_for(inner(), 3 * LIMIT))
