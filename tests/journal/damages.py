"""A recorded folder of several segments, each kind of damage to it, and the checks of what is read then.

Shared by test_damage.py, which runs a sample, and bench/journal_damage.py, which runs all cases.
"""

import contextlib
import itertools
import random
from collections import Counter
from collections.abc import Iterator

import msgpack

from madderbeam.journal.damage import Kind, Meaning
from madderbeam.journal.journal import Journal
from madderbeam.journal.newest_marker import marked_number
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.records import scan
from madderbeam.journal.recovery import read_folder
from madderbeam.journal.segments import segment_name, segment_number
from madderbeam.simulation.couriers import SimClock
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Killed, Scheduler

LIMIT, FOLDER = 60_000, "/state"
KILL_POINTS = 8  # the disk operations of a start that accepts a message, and one at which it lives on
CUT_NEWEST = "cut newest"  # behind its header, as a kill leaves it: no reader can know of later records


def clock():
    return SimClock(Scheduler(1))


def disk_of(files):
    disk = SimDisk(random.Random(1), lambda what: False)
    disk.make_folder(FOLDER)
    for file, data in files.items():
        disk.files[f"{FOLDER}/{file}"] = bytearray(data)
    return disk


def recorded(messages=70):
    """The files of a folder with open, attempted, ended and completed messages and some removed segments."""
    disk, rng = disk_of({}), random.Random(7)
    journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    for n in range(1, messages + 1):
        body = b"x" * rng.choice((10, 100, 700))
        key = f"key{n}" if n % 3 == 0 else ""
        journal.accept(PendingMessage(n, f"m{n:04}", n % 3, 0, 7, key, journal.wall() + 600, False, body))
        if n % 2:
            journal.attempt([n], journal.wall())
        if n % 5 == 0:
            journal.attempt_not_executed(n)
        if n % 4 and n > 3:
            journal.complete(n - 3) if n - 3 in journal.pending else None
        while journal.step():
            pass
    journal.close()
    files = {path.removeprefix(f"{FOLDER}/"): bytes(data) for path, data in disk.files.items()}
    assert len(files) >= 4 and any(
        r[0] == "gone" for p in read_folder(disk, FOLDER).segments for _, r in p.records
    )
    return files


def segments_of(files):
    """The segments among the files of a folder, which also has a marker."""
    return {file: data for file, data in files.items() if segment_number(file)}


def without_marker(files):
    """The folder as an earlier version left it."""
    return segments_of(files)


def header_end(data):
    return scan(data)[0][1][0]


def flips(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    for file, data in segments_of(files).items():
        for at in range(0, len(data), step):
            for bits in (0x01, 0xFF):
                damaged = bytearray(data)
                damaged[at] ^= bits
                yield f"{file}: byte {at} xor {bits}", files | {file: bytes(damaged)}


def cuts(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    newest = max(segments_of(files))
    for file, data in segments_of(files).items():
        for at in range(0, len(data), step):
            is_as_killed = file == newest and (at >= header_end(data) or not marked_number(files))
            what = CUT_NEWEST if is_as_killed else "cut"
            yield f"{what} {file} at {at}", files | {file: data[:at]}


def whole_file_damages(files) -> Iterator[tuple[str, dict[str, bytes]]]:
    """Each file removed, duplicated, renamed, swapped with another, extended, replaced by noise or zeros."""
    rng, order = random.Random(3), sorted(segments_of(files))
    last = order[-1]
    for n, file in enumerate(order):
        data, rest = files[file], {f: d for f, d in files.items() if f != file}
        yield f"{file} removed", rest
        yield f"{file} duplicated", files | {segment_name(90_000_000): data}
        yield f"{file} renamed", rest | {segment_name(90_000_000): data}
        yield f"{file} renamed to no segment", rest | {"segment-x.journal": data}
        yield f"{file} noise", files | {file: rng.randbytes(len(data))}
        yield f"{file} zeros", files | {file: bytes(len(data))}
        yield f"{file} with its content twice", files | {file: data + data}
        yield f"{file} with noise appended", files | {file: data + rng.randbytes(300)}
        yield f"{file} with zeros appended", files | {file: data + bytes(300)}
        other = order[n - 1]
        yield f"{file} swapped with {other}", files | {file: files[other], other: data}
        if file != last:
            yield f"{file} replaced by the next", files | {file: files[order[n + 1]]}


def segment_damages(file, data) -> Iterator[tuple[str, bytes | None]]:
    """Each kind of damage to one segment: what is said of it, and its content, None if it is removed."""
    offsets = [offset for offset, _ in scan(data)[0]]
    middle = len(offsets) // 2
    yield f"{file} removed", None
    yield f"{file} zeroed", bytes(len(data))
    yield f"{file} flipped at {len(data) // 2}", flipped(data, len(data) // 2)
    for at in (0, 8, offsets[1], offsets[middle], offsets[middle] + 9, offsets[-1], len(data) - 1):
        yield f"{file} cut to {at}", data[:at]


def flipped(data, at):
    return data[:at] + bytes([data[at] ^ 0xFF]) + data[at + 1 :]


def pairs(files) -> Iterator[tuple[str, dict[str, bytes]]]:
    """Each two damages to two segments of a folder."""
    for first, second in itertools.combinations(sorted(segments_of(files)), 2):
        for damage_1, damage_2 in itertools.product(
            segment_damages(first, files[first]), segment_damages(second, files[second])
        ):
            damaged = files | {first: damage_1[1], second: damage_2[1]}
            title = f"{damage_1[0]}, {damage_2[0]}"
            yield title, {file: data for file, data in damaged.items() if data is not None}


def with_damage(files, file, content):
    """The folder with other content of one file, None: without it."""
    return {name: data for name, data in (files | {file: content}).items() if data is not None}


def killed_start(files, operations):
    """The files that a start leaves which accepts a message and is killed at one of its disk operations.

    Also the numbers of the messages that were open at this start.
    """
    left = operations

    def is_killed(_operation):
        nonlocal left
        left -= 1
        return left < 0

    disk = disk_of(files)
    disk.operation = is_killed
    open_messages: set[int] = set()
    with contextlib.suppress(Killed):
        journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
        open_messages = {n for n, message in journal.pending.items() if not message.status}
        n = journal.last_number + 1
        journal.accept(PendingMessage(n, "between", 0, 0, 7, "", journal.wall() + 60, False, b"between"))
    return {path.removeprefix(f"{FOLDER}/"): bytes(data) for path, data in disk.files.items()}, open_messages


def damaged_twice(files, rng) -> Iterator[tuple[str, bool, set[int], dict[str, bytes], dict[str, bytes]]]:
    """Each damage, a start that is killed at each of its operations, and another damage, drawn.

    What is said of it, whether the first damage was found, the messages that were open at the start, the
    files ahead of the second damage and behind it.
    """
    for first, data in segments_of(files).items():
        for title_1, content_1 in segment_damages(first, data):
            damaged = with_damage(files, first, content_1)
            is_found = bool(read_folder(disk_of(damaged), FOLDER).damage)
            for operations in range(KILL_POINTS):
                between, open_messages = killed_start(damaged, operations)
                second = rng.choice([file for file, data in segments_of(between).items() if data])
                offsets = scan(between[second])[0]
                if len(offsets) < 2:
                    continue
                title_2, content_2 = rng.choice(list(segment_damages(second, between[second])))
                if content_2 == files.get(second):
                    continue  # it undoes the first damage
                title = f"{title_1}, killed at {operations}, {title_2}"
                yield title, is_found, open_messages, between, with_damage(between, second, content_2)


def record_counts(found):
    return Counter(msgpack.packb(r) for p in found.segments for _, r in p.records)


def check_pair(before, title, files):
    """Check what two damages leave: a loss is found, unless it is what a kill of an earlier moment leaves.

    Only records of the newest segment behind its header may be lost unnoticed, if that is what was cut.
    """
    found = read_folder(disk_of(files), FOLDER)
    lost = record_counts(before) - record_counts(found)
    newest = before.segments[-1]
    newest_records = Counter(msgpack.packb(record) for _, record in newest.records[1:])
    if f"{newest.name} cut to" in title and found.segments[-1].header and not lost - newest_records:
        check_restart(disk_of(files), found, title)
        return found
    return check(before, title, files)


def check_second(title, is_first_found, open_messages, between, files):
    """Check what a damage, a killed start and another damage leave: the first is not forgotten."""
    before = read_folder(disk_of(between), FOLDER)
    found = read_folder(disk_of(files), FOLDER)
    if is_first_found:
        journal = Journal(disk_of(files), clock(), FOLDER, LIMIT, 15.0)
        suspects = [journal.pending[n] for n in open_messages if n in journal.pending]
        assert all(m.possibly_executed_at for m in suspects if not m.status), title
    newest = before.segments[-1]
    lost = record_counts(before) - record_counts(found)
    newest_records = Counter(msgpack.packb(record) for _, record in newest.records)
    is_marker_behind = marked_number(between) < newest.number  # it was killed ahead of the marker
    if not found.damage and newest.name in title and (is_marker_behind or f"{newest.name} cut to" in title):
        assert not lost - newest_records, title
    elif lost:
        assert found.damage, f"{title}: {sum(lost.values())} records lost and no damage found"


def check(before, title, files):
    """Check what is read from damaged files; returns it. `before`: the contents before the damage."""
    disk = disk_of(files)
    found = read_folder(disk, FOLDER)
    records_before, records_after = record_counts(before), record_counts(found)
    lost, new = records_before - records_after, records_after - records_before
    for finding in found.findings:
        assert finding.kind in Kind and finding.kind.meaning in Meaning, title
    if title.startswith(CUT_NEWEST):
        assert not found.damage, (title, [str(f) for f in found.findings])
    elif lost:
        assert found.damage, f"{title}: {sum(lost.values())} records lost and no damage found"
    assert not new, f"{title}: records that were never written"
    check_restart(disk, found, title)
    return found


def check_restart(disk, found, title):
    """A start succeeds: open messages count as possibly executed, at the next start as well. A message
    accepted after the damage is not suspect, although the damaged file is still there."""
    journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    assert journal.damage_count == len(found.damage), title
    if found.damage:
        assert all(m.possibly_executed_at for m in journal.pending.values() if not m.status), title
    first = set(journal.pending)
    n = journal.last_number + 1
    journal.accept(PendingMessage(n, "fresh", 0, 0, 7, "", journal.wall() + 60, False, b"fresh"))
    restarted_journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    assert set(restarted_journal.pending) == first | {n}, title
    if found.damage:
        suspects = [m for k, m in restarted_journal.pending.items() if k in first and not m.status]
        assert (
            all(m.possibly_executed_at for m in suspects)
            and not restarted_journal.pending[n].possibly_executed_at
        ), title
