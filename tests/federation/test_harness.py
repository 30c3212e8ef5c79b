"""The harness itself: member processes, partners' records, and the checks on these."""

import asyncio

import judge
import pytest
from harness import Estate
from judge import Publication
from noting_partners import MAY_HAVE_RUN, NEVER_RAN, RAN, Call

PARTNERS = {1: ("macon", ["season"]), 2: ("savannah", ["season"])}
LIMIT = 90.0


def on_estate(test):
    def run(tmp_path):
        async def inner():
            async with Estate(tmp_path, {"macon": 1, "savannah": 1}, PARTNERS) as estate:
                await test(estate)

        asyncio.run(inner())

    return run


@on_estate
async def test_processes_start_pause_die_and_restart_and_partners_record_their_callers(estate):
    await estate.start()
    macon = estate["macon/m1"]
    assert (await macon.call("GET", "/ready"))[0] == 200
    client, venue = await macon.client(), estate.partners[1]
    venue.script += ["reset", 200, ("wait", 0.05), "hold"]
    await estate.put_until_accepted(client, macon, "n1", 1, kind="safe")
    await venue.until(lambda calls: any(c.effect == RAN and c.ended < 1e9 for c in calls), LIMIT)
    assert [c.effect for c in venue.calls] == [MAY_HAVE_RUN, RAN]
    assert {(c.member, c.ident, c.body) for c in venue.calls} == {("macon/m1", "n1", b"n1 for 1")}
    await estate.put_until_accepted(client, macon, "n2", 1, kind="unsafe")
    await venue.until(lambda calls: len(calls) == 3 and calls[2].ended < 1e9, LIMIT)
    assert venue.calls[2].effect == NEVER_RAN and venue.calls[2].wait_s == 0.05
    await macon.until_ended("n2", LIMIT)
    await estate.put_until_accepted(client, macon, "n3", 1, kind="unsafe", life=60_000)
    await venue.until(lambda calls: len(calls) == 4, LIMIT)
    macon.pause()
    venue.release.set()  # the reply is written but not read
    await venue.until(lambda calls: calls[3].ended < 1e9, LIMIT)
    await macon.kill()
    before = len(macon.lines)
    await macon.start()
    assert "1 messages restored" in await macon.until("is ready", LIMIT, after=before)
    assert judge.judged(estate, [estate.table(1)]) == []
    before = len(macon.lines)
    estate.drain(1)
    await macon.until("partner list", LIMIT, after=before)
    await macon.end()
    assert macon.process.returncode == 0 and not estate["savannah/m1"].process.returncode


def test_a_member_starts_without_a_majority_and_from_a_copy_of_its_folders(tmp_path):
    async def inner():
        async with Estate(tmp_path, {"macon": 1, "savannah": 1, "athens": 1}, PARTNERS) as estate:
            macon = estate["macon/m1"]
            await estate.start("macon/m1", served=False)
            assert (await macon.federation())["switch"]["hold"]["on"]
            await estate.start("savannah/m1")
            await macon.until("served again", LIMIT)
            assert (await macon.federation())["start"] == 1
            macon.copy()
            for start in (2, 3):
                await macon.kill()
                await macon.start()
                assert (await macon.federation())["start"] == start
            await macon.kill()
            macon.restore()
            await macon.start(served=False)
            await macon.until("start 2 of macon/m1", LIMIT)
            await macon.until_told(lambda told: told["agreement"]["distrusted"], LIMIT)

    asyncio.run(inner())


def test_the_rendered_configuration_has_a_link_address_for_each_other_member(tmp_path):
    async def inner():
        sites = {"macon": 2, "savannah": 2, "athens": 3}
        async with Estate(tmp_path, sites, PARTNERS, votes={"macon/m1", "athens/m2"}) as estate:
            from madderbeam.config.platform import load_sidecar
            from madderbeam.ports.real import RealDisk

            tables = set()
            for member in estate.members.values():
                told = load_sidecar(str(member.rendered), RealDisk()).federation
                assert str(told.id) == member.name and told.listen == (member.host, member.mesh)
                assert {str(m): a for m, a in told.via.items()} == {
                    n: estate.links.address(member.name, n) for n in estate.members if n != member.name
                }
                tables.add(told.table.digest)
                assert told.table.document() == estate.table(1)
            assert len(tables) == 1
            moved = estate.table(2, {2: "athens"}, off=["macon/m2"])
            assert moved["owners"] == {"1": "macon", "2": "athens"} and moved["off"] == ["macon/m2"]

    asyncio.run(inner())


def called(dest, member, begun, ended=None, body=b"b", effect=RAN, key="k", wait_s=0.0):
    return Call(dest, member, "x", key, body, begun, begun + 0.1 if ended is None else ended, effect, wait_s)


def tables(*owners):
    return [{"number": n, "owners": {"1": site}} for n, site in enumerate(owners, 1)]


A, B = "macon/m1", "savannah/m1"
AT_1, B_AT_2, AT_3 = called(1, A, 1.0), called(1, B, 2.0), called(1, A, 3.0)


@pytest.mark.parametrize(
    ("calls", "agreed", "offered", "wrong"),
    [
        ([AT_1, called(1, "macon/m2", 1.05), B_AT_2], (), None, ""),
        ([called(1, A, 1.0, 3.0), B_AT_2], (), None, "F1: savannah/m1 calls 1 at 2.000 while macon/m1"),
        ([AT_1, B_AT_2], tables("macon", "savannah"), None, ""),
        ([AT_1, B_AT_2], tables("macon"), None, "no table from 1 on gives it to savannah"),
        ([AT_1, B_AT_2, AT_3], tables("macon", "savannah"), None, "F1: macon/m1 calls 1 at 3.000: no table"),
        ([AT_1, B_AT_2, AT_3], tables("macon", "savannah", "macon"), None, ""),
        ([AT_1, B_AT_2], tables("macon", "savannah"), {2: 2.5}, "F2: savannah/m1"),
    ],
)
def test_the_judge_reports_a_second_owner_and_a_call_before_the_proposal(calls, agreed, offered, wrong):
    found = judge.one_owner(calls, agreed, offered)
    assert (len(found) == 1 and wrong in found[0]) if wrong else found == []


def given(kind, dests=(1,), taken=0.0):
    return [Publication("p", A, kind, frozenset(dests), b"b", taken, 5.0)]


@pytest.mark.parametrize(
    ("kind", "calls", "wrong"),
    [
        ("safe", [called(1, A, 1.0), called(1, B, 2.0)], ""),
        ("unsafe", [called(1, A, 1.0, effect=NEVER_RAN), called(1, B, 2.0)], ""),
        ("unsafe", [called(1, A, 1.0, effect=MAY_HAVE_RUN), called(1, B, 2.0)], "may have run 2 times"),
        ("keyed", [called(1, A, 1.0), called(1, B, 2.0)], ""),
        ("keyed", [called(1, A, 1.0), called(1, B, 2.0, key="l")], "under the keys"),
        ("keyed", [called(1, A, 1.0, key="")], "under the keys"),
        ("safe", [called(2, A, 1.0)], "no client submitted"),
        ("safe", [called(1, A, 1.0, body=b"c")], "no client submitted"),
    ],
)
def test_the_judge_reports_forbidden_calls(kind, calls, wrong):
    found = judge.effects(calls, given(kind))
    assert (len(found) == 1 and wrong in found[0]) if wrong else found == []


def test_the_judge_reports_an_ignored_retry_after_and_counts_repetitions():
    told = called(1, A, 1.0, 1.0, effect=NEVER_RAN, wait_s=2.0)
    kept = [called(1, A, 3.0), called(1, "macon/m2", 1.5), called(1, B, 3.1)]
    assert judge.waits([told, *kept]) == [] and judge.doubles(kept) == 2
    for call in (called(1, A, 2.9), called(1, B, 1.1)):
        assert "to wait 2.0 s" in judge.waits([told, call])[0]


@pytest.mark.parametrize(
    ("calls", "finals", "wrong"),
    [
        ([called(1, A, 1.0), called(2, A, 1.0)], [], ""),
        ([called(1, A, 1.0)], [(A, "p", "undeliverable")] * 2, ""),
        ([called(1, A, 1.0)], [], "[2] did not get it"),
        ([called(1, A, 1.0), called(2, A, 1.0, effect=MAY_HAVE_RUN)], [], "[2] did not get it"),
        ([], [(A, "p", "undeliverable"), (A, "p", "expired")], "F5: p of macon/m1 ended as"),
        ([], [(B, "p", "undeliverable")], "F5: p of macon/m1 ended as"),
        ([called(1, A, 1.0), called(2, A, 1.0)], [(A, "q", "undeliverable")], "no client submitted it"),
    ],
)
def test_the_judge_reports_a_missing_and_a_second_outcome(calls, finals, wrong):
    found = judge.ends(calls, given("safe", (1, 2)), finals, at=100.0)
    assert (len(found) == 1 and wrong in found[0]) if wrong else found == []
    assert judge.ends([], given("safe", (1, 2)), [], at=6.9) == []
