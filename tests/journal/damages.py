"""A recorded folder of several segments, each kind of damage to it, and the checks of what is read then.

Shared by test_damage.py, which runs a sample, and bench/journal_damage.py, which runs all cases.
"""

import random
from collections import Counter
from collections.abc import Iterator

import msgpack

from madderbeam.journal.damage import Kind, Meaning
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.recovery import read_folder
from madderbeam.journal.segments import segment_name
from madderbeam.simulation.couriers import SimClock
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Scheduler

LIMIT, FOLDER = 60_000, "/state"
CUT_NEWEST = "cut newest"  # as a kill leaves it: no reader can know of a record after the cut


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


def flips(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    for file, data in files.items():
        for at in range(0, len(data), step):
            for bits in (0x01, 0xFF):
                damaged = bytearray(data)
                damaged[at] ^= bits
                yield f"{file}: byte {at} xor {bits}", files | {file: bytes(damaged)}


def cuts(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    for file, data in files.items():
        for at in range(0, len(data), step):
            what = CUT_NEWEST if file == max(files) else "cut"
            yield f"{what} {file} at {at}", files | {file: data[:at]}


def whole_file_damages(files) -> Iterator[tuple[str, dict[str, bytes]]]:
    """Each file removed, duplicated, renamed, swapped with another, extended, replaced by noise or zeros."""
    rng, last = random.Random(3), max(files)
    order = sorted(files)
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


def record_counts(found):
    return Counter(msgpack.packb(r) for p in found.segments for _, r in p.records)


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
