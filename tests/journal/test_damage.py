"""Damage of every kind is found: a sample of the cases that bench/journal_damage.py runs in full."""

import itertools
import random

import damages
import pytest
from damages import FOLDER, check, disk_of
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.journal import damage, inspect, records
from madderbeam.journal.damage import Kind
from madderbeam.journal.newest_marker import marker_name
from madderbeam.journal.recovery import read_folder

FILES = damages.recorded()
SEGMENTS = damages.segments_of(FILES)
BEFORE = read_folder(disk_of(FILES), FOLDER)
NEWEST = max(FILES)


def test_the_recorded_folder_is_intact():
    assert not BEFORE.findings and len(BEFORE.segments) == len(SEGMENTS)


@pytest.mark.parametrize("part", range(4))
def test_every_flipped_byte_is_found(part):
    for title, files in itertools.islice(damages.flips(FILES, 61), part, None, 4):
        assert check(BEFORE, title, files).damage, title


@pytest.mark.parametrize("part", range(2))
def test_a_truncated_file_is_found_unless_a_kill_may_leave_it(part):
    for title, files in itertools.islice(damages.cuts(FILES, 67), part, None, 2):
        found = check(BEFORE, title, files)
        assert bool(found.damage) != title.startswith(damages.CUT_NEWEST), title


FILE_DAMAGES = dict(damages.whole_file_damages(FILES))


@pytest.mark.parametrize("title", FILE_DAMAGES)
def test_a_file_removed_duplicated_renamed_or_replaced_is_found(title):
    assert check(BEFORE, title, FILE_DAMAGES[title]).findings


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


def test_a_removed_newest_segment_after_an_emptied_one_is_found():
    # Each alone is found, or is what a kill leaves; together they look like a new segment with no record yet.
    previous, newest = sorted(FILES)[-2:]
    files = {**FILES, previous: b""}
    del files[newest]
    check(BEFORE, f"{previous} cut to 0 bytes, {newest} removed", files)


@pytest.mark.parametrize("part", range(4))
def test_two_damaged_segments_are_found(part):
    rng = random.Random(part)
    for title, files in rng.sample(list(damages.pairs(FILES)), 120):
        damages.check_pair(BEFORE, title, files)


@pytest.mark.parametrize("seed", range(4))
def test_damage_is_not_forgotten_by_a_killed_start_and_further_damage(seed):
    cases = list(damages.damaged_twice(FILES, random.Random(seed)))
    for case in random.Random(seed).sample(cases, 120):
        damages.check_second(*case)


@pytest.mark.parametrize(
    "files", [FILES, damages.without_marker(FILES)], ids=["marked", "of an earlier version"]
)
@pytest.mark.parametrize("at", [8, 100, len(FILES[NEWEST]) - 1])
def test_an_older_segment_that_is_removed_is_found_whatever_the_newest_has_suffered(files, at):
    # A torn newest segment, as each kill may leave it, hid that an older one was missing.
    for removed in sorted(SEGMENTS)[:-1]:
        damaged = damages.with_damage(files | {NEWEST: FILES[NEWEST][:at]}, removed, None)
        assert read_folder(disk_of(damaged), FOLDER).damage, f"{removed} removed, {NEWEST} cut to {at}"


def test_a_folder_of_an_earlier_version_passes_as_it_was():
    # It has no marker: its newest segment may be empty, or end within its header, as a kill left it.
    older = damages.without_marker(FILES)
    assert not read_folder(disk_of(older), FOLDER).findings
    for at in range(damages.header_end(FILES[NEWEST])):
        cut = older | {NEWEST: FILES[NEWEST][:at]}
        assert not read_folder(disk_of(cut), FOLDER).damage, at


def test_a_marker_that_is_behind_missing_or_filled_is_no_damage():
    marker = (FILES.keys() - SEGMENTS.keys()).pop()
    for other in ({}, {marker_name(4): b""}, {marker_name(8): b"", marker: b""}, {marker: b"noise"}):
        assert not read_folder(disk_of(SEGMENTS | other), FOLDER).findings, other


def test_a_folder_that_lost_all_segments_is_damaged():
    files = FILES.keys() - SEGMENTS.keys()
    found = read_folder(disk_of(dict.fromkeys(files, b"")), FOLDER)
    assert [(f.kind, f.file) for f in found.damage] == [(Kind.MISSING, "segment 9")]


def test_noise_as_the_only_segment_is_damage():
    # It passed as intact, and a start continued as if no message had been accepted.
    files = {"segment-00000001.journal": random.Random(1).randbytes(5000)}
    findings = inspect.verify(disk_of(files), FOLDER)
    assert [(f.kind, f.offset, f.end) for f in findings] == [(Kind.NO_HEADER, 0, 5000)]


def test_an_unreadable_file_is_found_and_the_rest_is_used():
    disk = disk_of(FILES)
    whole = disk.read

    def fails(path):
        if path.endswith(sorted(SEGMENTS)[1]):
            raise OSError(5, "Input/output error")
        return whole(path)

    disk.read = fails
    found = read_folder(disk, FOLDER)
    assert [f.kind for f in found.damage] == [Kind.UNREADABLE] and len(found.segments) == len(SEGMENTS) - 1


def stops_silently(data):
    records_, invalid, end = SCAN(data)
    if invalid:
        stop = invalid[0].offset
        return [r for r in records_ if r[0] < stop], [], stop
    return records_, invalid, end


def skips_silently(data):
    records_, invalid, end = SCAN(data)
    return records_, [], len(data)


SCAN = records.scan


@pytest.mark.parametrize("seeded_fault", [stops_silently, skips_silently])
def test_a_reader_that_hides_damage_fails_the_checks(seeded_fault, monkeypatch):
    from madderbeam.journal import recovery

    monkeypatch.setattr(recovery, "scan", seeded_fault)
    if seeded_fault is stops_silently:  # it takes the unread rest for torn
        monkeypatch.setattr(damage, "is_torn", lambda *args, **more: True)
    missed = 0
    for title, files in damages.flips(FILES, 301):
        try:
            missed += not check(BEFORE, title, files).damage
        except AssertionError:
            missed += 1
    assert missed


def test_a_torn_end_record_that_cannot_be_cut_off_is_no_damage():
    # Seed 5729: the "end" record was written in part, and the disk did not truncate it. Later headers listed
    # the size without it: the segment counted as extended, and all pending messages as possibly executed.
    from test_store import Machine, pending_message

    machine = Machine()
    journal = machine.start()
    files = journal.files
    journal.accept(pending_message(1, machine), lambda: None, lambda error: None)
    journal.commit()

    def fails(size):
        raise OSError(5, "Input/output error")

    whole = files.file.append
    files.file.append, files.file.truncate = lambda data: whole(data[:7]), fails
    files._roll()
    journal.accept(pending_message(2, machine), lambda: None, lambda error: None)
    journal.commit()
    assert not read_folder(machine.disk, "/state").damage
    again = machine.start()
    assert not again.damage_count and sorted(again.pending) == [1, 2]
