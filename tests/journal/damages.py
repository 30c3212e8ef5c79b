"""A recorded folder of several segments, each kind of damage done to it, and what must be true then.

Shared by test_damage.py, which plays a drawn part, and bench/journal_damage.py, which plays all.
"""

import random
from collections import Counter
from collections.abc import Iterator

import msgpack

from madderbeam.journal.damage import Kind, Meaning
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.recovery import read
from madderbeam.journal.segments import name
from madderbeam.simulation.couriers import SimClock
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Scheduler

LIMIT, FOLDER = 60_000, "/state"
CUT_NEWEST = "cut newest"  # what a kill leaves: no reader can know of a record that was behind


def clock():
    return SimClock(Scheduler(1))


def disk_of(files):
    disk = SimDisk(random.Random(1), lambda what: False)
    disk.make_folder(FOLDER)
    for file, data in files.items():
        disk.files[f"{FOLDER}/{file}"] = bytearray(data)
    return disk


def recorded(messages=70):
    """The files of a folder with open, tried, ended and forgotten messages, of which segments have gone."""
    disk, chance = disk_of({}), random.Random(7)
    journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    for n in range(1, messages + 1):
        body = b"x" * chance.choice((10, 100, 700))
        key = f"key{n}" if n % 3 == 0 else ""
        journal.take(PendingMessage(n, f"m{n:04}", n % 3, 0, 7, key, journal.wall() + 600, False, body))
        if n % 2:
            journal.attempt([n], journal.wall())
        if n % 5 == 0:
            journal.missed(n)
        if n % 4 and n > 3:
            journal.done(n - 3) if n - 3 in journal.held else None
        while journal.step():
            pass
    journal.close()
    files = {path.removeprefix(f"{FOLDER}/"): bytes(data) for path, data in disk.files.items()}
    assert len(files) >= 4 and any(r[0] == "gone" for p in read(disk, FOLDER).parts for _, r in p.records)
    return files


def flips(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    for file, data in files.items():
        for at in range(0, len(data), step):
            for bits in (0x01, 0xFF):
                spoilt = bytearray(data)
                spoilt[at] ^= bits
                yield f"{file}: byte {at} xor {bits}", files | {file: bytes(spoilt)}


def cuts(files, step=1) -> Iterator[tuple[str, dict[str, bytes]]]:
    for file, data in files.items():
        for at in range(0, len(data), step):
            what = CUT_NEWEST if file == max(files) else "cut"
            yield f"{what} {file} at {at}", files | {file: data[:at]}


def wholes(files) -> Iterator[tuple[str, dict[str, bytes]]]:
    """Each file removed, doubled, renamed, swapped with another, lengthened, replaced by noise or zeros."""
    chance, last = random.Random(3), max(files)
    order = sorted(files)
    for n, file in enumerate(order):
        data, rest = files[file], {f: d for f, d in files.items() if f != file}
        yield f"{file} removed", rest
        yield f"{file} doubled", files | {name(90_000_000): data}
        yield f"{file} renamed", rest | {name(90_000_000): data}
        yield f"{file} renamed to what is none", rest | {"segment-x.journal": data}
        yield f"{file} noise", files | {file: chance.randbytes(len(data))}
        yield f"{file} zeros", files | {file: bytes(len(data))}
        yield f"{file} twice its content", files | {file: data + data}
        yield f"{file} and noise behind", files | {file: data + chance.randbytes(300)}
        yield f"{file} and zeros behind", files | {file: data + bytes(300)}
        other = order[n - 1]
        yield f"{file} swapped with {other}", files | {file: files[other], other: data}
        if file != last:
            yield f"{file} is the next one", files | {file: files[order[n + 1]]}


def held_in(found):
    return Counter(msgpack.packb(r) for p in found.parts for _, r in p.records)


def check(before, title, files):
    """What must be true of one outcome; the findings. `before`: the Folder as it was."""
    disk = disk_of(files)
    found = read(disk, FOLDER)
    was, is_ = held_in(before), held_in(found)
    lost, new = was - is_, is_ - was
    for finding in found.findings:
        assert finding.kind in Kind and finding.kind.meaning in Meaning, title
    if title.startswith(CUT_NEWEST):
        assert not found.damage, (title, [str(f) for f in found.findings])
    elif lost:
        assert found.damage, f"{title}: {sum(lost.values())} records lost, and it is called whole"
    assert not new, f"{title}: records that nobody wrote"
    restarted(disk, found, title)
    return found


def restarted(disk, found, title):
    """A start serves; what may have run counts so, and does at the next start as well; a message that came
    behind the damage is not doubted, though the damaged file is still there."""
    journal = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    assert journal.damage == len(found.damage), title
    if found.damage:
        assert all(m.may_have_run_at for m in journal.held.values() if not m.status), title
    first = set(journal.held)
    n = journal.last + 1
    journal.take(PendingMessage(n, "fresh", 0, 0, 7, "", journal.wall() + 60, False, b"fresh"))
    again = Journal(disk, clock(), FOLDER, LIMIT, 15.0)
    assert set(again.held) == first | {n}, title
    if found.damage:
        doubted = [m for k, m in again.held.items() if k in first and not m.status]
        assert all(m.may_have_run_at for m in doubted) and not again.held[n].may_have_run_at, title
