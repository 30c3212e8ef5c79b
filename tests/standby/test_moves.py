"""Real processes: planned moves, a silent standby, a standby with a full disk, repeated promotion."""

import asyncio

from pair import LIMIT, accepted, pair


def unsafe_once(p):
    for ident in {c.ident for c in p.partner.calls}:
        calls = p.delivered(ident)
        if int(ident[1:]) % 2:  # unsafe class
            assert len(calls) == 1, (ident, calls)


def test_the_primary_is_killed_under_load(tmp_path):
    async def inner(p):
        await p.start()
        stop = asyncio.Event()
        loading = asyncio.create_task(p.load(stop))
        await p.partner.until(lambda calls: len(calls) >= 60, LIMIT)
        await p.a.kill()
        await p.moved()
        await p.partner.until(lambda calls: sum(c.member == "s/b" for c in calls) >= 20, LIMIT)
        stop.set()
        answers = await loading
        await p.all_end(answers)
        unsafe_once(p)
        assert sum(text == "+OK" for text in answers.values()) >= 60

    pair(inner, tmp_path)


def test_a_planned_move_under_load_rejects_nothing(tmp_path):
    async def inner(p):
        await p.start()
        stop = asyncio.Event()
        loading = asyncio.create_task(p.load(stop))
        await p.partner.until(lambda calls: len(calls) >= 40, LIMIT)
        await p.moved()
        assert await asyncio.wait_for(p.a.process.wait(), LIMIT) == 0
        await p.a.until("handed over", LIMIT)
        await p.partner.until(lambda calls: sum(c.member == "s/b" for c in calls) >= 20, LIMIT)
        stop.set()
        answers = await loading
        assert {text for text in answers.values() if text} == {"+OK"}
        assert sum(not text for text in answers.values()) <= 1
        await p.all_end(answers)
        unsafe_once(p)
        assert not any(status == "undeliverable" for _, status in p.a.finals() + p.b.finals())
        assert "over" not in (await p.b.call("GET", "/ready"))[1]
        await p.a.start(None)  # its messages belong to the standby
        assert await asyncio.wait_for(p.a.process.wait(), LIMIT) == 3

    pair(inner, tmp_path)


def test_with_refuse_nothing_is_accepted_while_the_standby_is_silent(tmp_path):
    async def inner(p):
        client = await p.start()
        assert await client.put("m0") == "+OK"
        p.links["s/b", "s/a"].cut()  # one direction only
        waiting = await client.put("m1", kind="unsafe")  # cut off while waiting
        assert waiting.startswith(("-ERR", "-BUSY")), waiting
        assert (await client.put("m2")).startswith("-BUSY")
        told = await p.a.status()
        assert told["strict"] and not told["leased"] and "silent" in told["trouble"]
        p.links.heal()
        await p.a.until_status(lambda told: told["state"] == "in step" and not told["trouble"])
        assert await client.put("m4", kind="unsafe") == "+OK"
        await p.partner.until(lambda calls: p.delivered("m4"), LIMIT)
        assert not p.delivered("m1") and not p.delivered("m2")

    pair(inner, tmp_path)


def test_with_alone_work_continues_and_is_reported(tmp_path):
    async def inner(p):
        client = await p.start()
        await p.b.kill()
        assert await client.put("m0", kind="unsafe") == "+OK"
        await p.partner.until(lambda calls: p.delivered("m0"), LIMIT)
        assert (await p.a.status())["alone"]
        await p.b.standing()
        await p.a.until_status(lambda told: told["state"] == "in step" and not told["alone"])
        assert not (await p.b.status())["sure"]  # work without the standby counts as possibly executed
        assert await client.put("m2", kind="unsafe") == "+OK"

    pair(inner, tmp_path, silent="alone")


def test_a_standby_whose_disk_is_full(tmp_path):
    """The setting `silent` applies, and with free space the standby is in sync again."""

    async def inner(p):
        await p.b.standing(largest=30_000)
        await p.a.start()
        await p.a.until_status(lambda told: told["state"] == "in step")  # until then replies are -BUSY
        client, answers = await p.a.client(), ["+OK"]
        await asyncio.wait_for(accepted(client, "m0", body=b"x" * 1000), LIMIT)
        for n in range(1, 200):
            answers.append(await client.put(f"m{2 * n}", body=b"x" * 1000))
            if answers[-1].startswith("-BUSY"):
                break
        assert "+OK" in answers and answers[-1].startswith("-BUSY")
        told = await p.a.status()
        assert "standby-disk" in told["trouble"] or "silent" in told["trouble"]
        await p.b.kill()
        await p.b.standing()
        await p.a.until_status(lambda told: told["state"] == "in step" and not told["trouble"])
        assert await client.put("m9001", kind="unsafe") == "+OK"

    pair(inner, tmp_path)


def test_promoted_twice_it_takes_over_once(tmp_path):
    async def inner(p):
        client = await p.start()
        assert await client.put("m1", kind="unsafe") == "+OK"
        await p.a.kill()
        told = await asyncio.gather(p.b.promote(), p.b.promote())
        assert [status for status, _ in told] == [200, 200]
        await p.b.until("is ready on port", LIMIT)
        assert sum("takes over with fence" in line for line in p.b.lines) == 1
        await p.b.kill()
        await p.b.start()  # it stays promoted
        assert sum("takes over with fence" in line for line in p.b.lines) == 1
        assert len(p.delivered("m1")) <= 1

    pair(inner, tmp_path)


def test_an_expired_lease_is_enough(tmp_path):
    async def inner(p):
        client = await p.start()
        assert await client.put("m1", kind="unsafe") == "+OK"
        await p.a.kill()
        await p.b.until("is ready on port", LIMIT)
        client = await p.b.client()
        assert await client.put("m3", kind="unsafe") == "+OK"
        await p.partner.until(lambda calls: p.delivered("m3"), LIMIT)

    pair(inner, tmp_path, takeover="lease")


def test_a_copy_that_was_never_complete_is_not_promoted(tmp_path):
    async def inner(p):
        await p.b.standing()
        status, text = await p.b.promote()
        assert status == 409 and "never-whole" in text

    pair(inner, tmp_path)


def test_an_unknown_key_is_rejected_and_keys_rotate(tmp_path):
    async def inner(p):
        keys = p.folder / "keys.a"
        keys.write_text("two " + "7b" * 32 + "\n")
        p.render(p.a, key_file=str(keys))
        await p.b.standing()
        await p.a.start(None)
        await p.b.until("not-proven", LIMIT)
        (p.folder / "keys").write_text("one " + "5a" * 32 + "\ntwo " + "7b" * 32 + "\n")
        await p.a.until("is ready on port", LIMIT)

    pair(inner, tmp_path)
