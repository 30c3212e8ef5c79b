"""The partner list from a file and the feed of finals, on a simulated disk and loop."""

import json
import random

import pytest

from madderbeam.config.rendered import seal
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.transport.local import Feed, ListFile

FEED, LIST = "/feed.jsonl", "/list.json"


@pytest.fixture
def disk():
    return SimDisk(random.Random(1), lambda name: False)


@pytest.fixture
def scheduler():
    return Scheduler(1)


def feed(disk, scheduler, accepted, limit=1 << 20):
    return Feed(ProcessLoop(scheduler), disk, FEED, limit, random.Random(2), accepted.extend)


def rows(disk, path=FEED):
    return [json.loads(line) for line in bytes(disk.files[path]).decode().splitlines()]


def test_finals_of_one_turn_go_in_one_write_and_are_accepted_behind_it(disk, scheduler):
    accepted, writes = [], []
    disk.wrote = lambda path, data: writes.append(data)
    made = feed(disk, scheduler, accepted)
    made.add(1, "a", "deferred", 250)
    made.add(2, "b", "undeliverable", 0)
    assert accepted == []
    scheduler.run(1)
    assert accepted == [1, 2] and len(writes) == 1
    assert rows(disk) == [
        {"id": "a", "status": "deferred", "again_ms": 250},
        {"id": "b", "status": "undeliverable"},
    ]


@pytest.mark.parametrize("fault", ["full", "eio"])
def test_a_disk_that_fails_delays_finals_and_loses_none(disk, scheduler, fault):
    accepted = []
    made = feed(disk, scheduler, accepted)
    made.add(1, "first", "deferred", 0)
    scheduler.run(1_000)
    setattr(disk.faults, fault, True if fault == "full" else 1.0)
    for n in range(2, 50):
        made.add(n, f"m{n}", "deferred", 0)
    scheduler.run(5_000_000)
    assert accepted == [1]
    setattr(disk.faults, fault, False if fault == "full" else 0.0)
    scheduler.run(6_000_000)
    assert accepted == list(range(1, 50)) and [r["id"] for r in rows(disk)] == ["first"] + [
        f"m{n}" for n in range(2, 50)
    ]


def test_behind_a_line_that_a_kill_tore_a_new_one_begins(disk, scheduler):
    made = feed(disk, scheduler, [])
    made.add(1, "a", "deferred", 0)
    scheduler.run(1)
    disk.files[FEED] += b'{"id":"b","sta'
    followed = bytes(disk.files[FEED])
    accepted = []
    again = feed(disk, scheduler, accepted)
    again.add(2, "b", "deferred", 0)
    scheduler.run(2)
    assert accepted == [2] and bytes(disk.files[FEED]).startswith(
        followed
    )  # a reader that followed loses nothing
    lines = bytes(disk.files[FEED]).splitlines()
    assert lines[1] == b'{"id":"b","sta' and json.loads(lines[2]) == {"id": "b", "status": "deferred"}


def test_the_feed_only_grows_also_where_writes_fall_short(disk, scheduler):
    accepted, last = [], b""
    made = feed(disk, scheduler, accepted)
    disk.faults.short = 0.8
    for n in range(60):
        made.add(n, f"m{n}", "deferred", 0)
        scheduler.run(scheduler.now_us + 30_000)
        now = bytes(disk.files[FEED])
        assert now.startswith(last)
        last = now
    scheduler.run(scheduler.now_us + 5_000_000)
    assert accepted == list(range(60)) and [r["id"] for r in rows(disk)] == [f"m{n}" for n in range(60)]


def test_a_feed_at_its_limit_is_set_aside(disk, scheduler):
    made = feed(disk, scheduler, [], limit=400)
    for n in range(40):
        made.add(n, f"m{n:03}", "deferred", 0)
        scheduler.run(n + 1)
    assert set(disk.files) == {FEED, FEED + ".1"}
    assert all(len(data) <= 400 for data in disk.files.values())
    ids = [r["id"] for r in rows(disk, FEED + ".1") + rows(disk)]
    assert ids == [f"m{n:03}" for n in range(40 - len(ids), 40)]


def partners(*addresses):
    targets = [{"uid": a, "endpoint": a, "pod_group": 1, "state": "in_service"} for a in addresses]
    return bytearray(json.dumps(seal({"form": 1, "all": True, "targets": targets})).encode())


def test_a_list_is_taken_up_when_it_is_replaced_and_whole(disk, scheduler):
    told = []
    disk.files[LIST] = partners("a:1")
    watch = ListFile(ProcessLoop(scheduler), disk, LIST, lambda change: told.append(change))
    watch.open()
    assert [t["uid"] for t in told[-1]["targets"]] == ["a:1"] and told[-1]["all"]
    new = partners("a:1", "b:1")
    for part in (b"", new[:40], new.replace(b"b:1", b"c:1")):  # empty, half written, changed by hand
        disk.files[LIST] = bytearray(part)
        scheduler.run(scheduler.now_us + 2_000_000)
        assert len(told) == 1
    del disk.files[LIST]
    scheduler.run(scheduler.now_us + 2_000_000)
    disk.files[LIST] = new
    scheduler.run(scheduler.now_us + 600_000)
    assert len(told) == 2 and [t["uid"] for t in told[-1]["targets"]] == ["a:1", "b:1"]
    scheduler.run(scheduler.now_us + 5_000_000)
    assert len(told) == 2  # it has not changed since
    watch.stop()
    disk.files[LIST] = partners()
    scheduler.run(scheduler.now_us + 5_000_000)
    assert len(told) == 2
