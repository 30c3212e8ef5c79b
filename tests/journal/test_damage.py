"""Damage of every kind is told: a drawn part of what bench/journal_damage.py plays in full."""

import itertools

import damages
import pytest
from damages import FOLDER, check, disk_of
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.journal import damage, inspect, records
from madderbeam.journal.damage import Kind
from madderbeam.journal.recovery import read

FILES = damages.recorded()
BEFORE = read(disk_of(FILES), FOLDER)
NEWEST = max(FILES)


def test_the_recorded_folder_is_whole():
    assert not BEFORE.findings and len(BEFORE.parts) == len(FILES)


@pytest.mark.parametrize("part", range(4))
def test_every_flipped_byte_is_told(part):
    for title, files in itertools.islice(damages.flips(FILES, 61), part, None, 4):
        assert check(BEFORE, title, files).damage, title


@pytest.mark.parametrize("part", range(2))
def test_a_shorter_file_is_told_unless_a_kill_leaves_it(part):
    for title, files in itertools.islice(damages.cuts(FILES, 67), part, None, 2):
        found = check(BEFORE, title, files)
        assert bool(found.damage) != title.startswith(damages.CUT_NEWEST), title


WHOLES = dict(damages.wholes(FILES))


@pytest.mark.parametrize("title", WHOLES)
def test_a_file_removed_doubled_renamed_or_replaced_is_told(title):
    assert check(BEFORE, title, WHOLES[title]).findings


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_two_kinds_of_damage_at_once(data):
    files, titles = dict(FILES), []
    for _ in range(2):
        file = data.draw(st.sampled_from(sorted(files)))
        at = data.draw(st.integers(0, max(0, len(files[file]) - 1)))
        match data.draw(st.sampled_from(["flip", "cut", "remove", "noise"])):
            case "flip" if files[file]:
                spoilt = bytearray(files[file])
                spoilt[at] ^= data.draw(st.integers(1, 255))
                files[file] = bytes(spoilt)
                titles.append(f"{file} flipped at {at}")
            case "cut" if file != NEWEST:
                files[file] = files[file][:at]
                titles.append(f"{file} cut at {at}")
            case "remove" if len(files) > 1:
                del files[file]
                titles.append(f"{file} removed")
            case "noise":
                files[file] = data.draw(st.binary(max_size=200))
                titles.append(f"{file} noise")
    check(BEFORE, ", ".join(titles), files)


def test_noise_as_the_only_segment_is_no_whole_folder():
    # It was called whole, and a start went on as if nothing had been held.
    import random

    files = {"segment-00000001.journal": random.Random(1).randbytes(5000)}
    findings = inspect.verify(disk_of(files), FOLDER)
    assert [(f.kind, f.at, f.end) for f in findings] == [(Kind.HEAD, 0, 5000)]


def test_an_unreadable_file_is_told_and_the_rest_is_used():
    disk = disk_of(FILES)
    whole = disk.read

    def fails(path):
        if path.endswith(sorted(FILES)[1]):
            raise OSError(5, "Input/output error")
        return whole(path)

    disk.read = fails
    found = read(disk, FOLDER)
    assert [f.kind for f in found.damage] == [Kind.UNREADABLE] and len(found.parts) == len(FILES) - 1


def silent_stop(data):
    rows, bad, end = SCAN(data)
    if bad:
        stop = bad[0].at
        return [r for r in rows if r[0] < stop], [], stop
    return rows, bad, end


def silent_skip(data):
    rows, bad, end = SCAN(data)
    return rows, [], len(data)


SCAN = records.scan


@pytest.mark.parametrize("planted", [silent_stop, silent_skip])
def test_a_reader_that_keeps_silent_is_found(planted, monkeypatch):
    from madderbeam.journal import recovery

    monkeypatch.setattr(recovery, "scan", planted)
    if planted is silent_stop:  # what it leaves unread at the end looks torn to it
        monkeypatch.setattr(damage, "torn", lambda *args, **more: True)
    missed = 0
    for title, files in damages.flips(FILES, 301):
        try:
            missed += not check(BEFORE, title, files).damage
        except AssertionError:
            missed += 1
    assert missed


def test_a_part_of_the_last_word_that_the_disk_keeps_is_no_damage():
    # Seed 5729: the word on the next segment fell short, and the disk would not cut it off. Later headers
    # told the size without it: the segment was "longer", and all that was held counted as having run.
    from test_store import Machine, held

    machine = Machine()
    journal = machine.start()
    files = journal.files
    journal.take(held(1, machine), lambda: None, lambda error: None)
    journal.commit()

    def fails(size):
        raise OSError(5, "Input/output error")

    whole = files.file.append
    files.file.append, files.file.truncate = lambda data: whole(data[:7]), fails
    files._roll()
    journal.take(held(2, machine), lambda: None, lambda error: None)
    journal.commit()
    assert not read(machine.disk, "/state").damage
    again = machine.start()
    assert not again.damage and sorted(again.held) == [1, 2]
