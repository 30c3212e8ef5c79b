"""Frames between members: valid ones decode to what was encoded, other input raises `InvalidFrame`."""

import random
import struct

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderbeam.membership.values import Incarnation, MemberId
from madderbeam.transport.mesh.frames import (
    KINDS,
    LENGTH_PREFIX_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_ITEMS,
    MAX_STREAM_FRAME_BYTES,
    Frame,
    FrameSplitter,
    InvalidFrame,
    pack,
    pack_link_frame,
    unpack,
    unpack_link_frame,
    with_length,
)

FRAME = Frame(MemberId("macon", "m1"), Incarnation(3, 1 << 63), "m", ["p", 7, b"\x00\xff", None, ["x", 1.5]])
names = st.text(min_size=1, max_size=64)
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)
ODD = [[], 1, "x", {}, None, [2], [1], ["1"], [True, "choirs", "a", "b", 1, 1, "m", []]]


def fields(**changes):
    row = {
        "version": 2,
        "federation": "choirs",
        "site": "macon",
        "name": "m1",
        "start": 3,
        "nonce": 9,
        "channel": "m",
        "row": [1],
        **changes,
    }
    return msgpack.packb(list(row.values()))


@given(
    names,
    names,
    st.integers(0, (1 << 63) - 1),
    st.integers(0, (1 << 64) - 1),
    st.text(max_size=8),
    st.lists(values, max_size=4),
)
def test_a_frame_round_trips(site, name, start, nonce, channel, row):
    frame = Frame(MemberId(site, name), Incarnation(start, nonce), channel, row)
    assert unpack("choirs", pack("choirs", frame, MAX_STREAM_FRAME_BYTES), MAX_STREAM_FRAME_BYTES) == frame
    assert list(FrameSplitter().feed(pack_link_frame(channel, row, 7)))[0] == msgpack.packb([channel, row, 7])


@pytest.mark.parametrize(
    ("kind", "changes"),
    [
        ("version", {"version": 1}),
        ("version", {"version": True}),
        ("version", {"version": "1"}),
        ("federation", {"federation": "bands"}),
        ("broken", {"federation": ""}),
        ("broken", {"site": ""}),
        ("broken", {"site": "s" * 65}),
        ("broken", {"name": b"m1"}),
        ("broken", {"name": 1}),
        ("broken", {"start": -1}),
        ("broken", {"start": 1 << 63}),
        ("broken", {"start": True}),
        ("broken", {"nonce": 1.0}),
        ("broken", {"nonce": None}),
        ("broken", {"channel": "c" * 9}),
        ("broken", {"row": "x"}),
        ("broken", {"row": {}}),
        ("broken", {"more": 1}),
        ("broken", {"row": [msgpack.ExtType(1, b"x")]}),
        ("broken", {"row": [{1: 2}]}),
        ("large", {"row": [b"x" * MAX_DATAGRAM_BYTES]}),
    ],
)
def test_each_field_is_bounded_and_violations_have_the_right_kind(kind, changes):
    assert unpack("choirs", fields()).row == [1]
    with pytest.raises(InvalidFrame) as error:
        unpack("choirs", fields(**changes))
    assert error.value.kind == kind
    assert kind in KINDS


def test_oversized_frames_are_not_packed_and_long_lists_are_not_unpacked():
    with pytest.raises(InvalidFrame, match="1400"):
        pack("choirs", Frame(FRAME.sender, FRAME.incarnation, "m", [b"x" * MAX_DATAGRAM_BYTES]))
    with pytest.raises(InvalidFrame):
        pack_link_frame("m", [b"x" * MAX_STREAM_FRAME_BYTES])
    with pytest.raises(InvalidFrame):
        unpack_link_frame(msgpack.packb(["m", [0] * (MAX_ITEMS + 1), 0]))
    assert len(unpack_link_frame(msgpack.packb(["m", [0] * MAX_ITEMS, 0]))[1]) == MAX_ITEMS


@pytest.mark.parametrize("inner", [b"\x91", b"\x81\xa1x"])
def test_nested_lists_are_read_up_to_a_depth(inner):
    # below, at and above the depth at which msgpack itself fails
    for depth in (31, 32, 500, 1000, 1020, 1022, 1023, 1200):
        for data in (inner * depth + b"\x90", b"\x92\xa1r\x91" + inner * depth + b"\x90"):
            only_strange(data)
    deep = [1]
    for _ in range(30):
        deep = [deep]
    assert unpack_link_frame(msgpack.packb(["r", deep, 1])) == ("r", deep, 1)
    with pytest.raises(InvalidFrame, match="lists and maps are nested deeper than 32 levels"):
        unpack_link_frame(msgpack.packb(["r", [[deep]], 1]))


def only_strange(data):
    for read in (
        lambda: unpack("choirs", data),
        lambda: unpack("choirs", data, MAX_STREAM_FRAME_BYTES),
        lambda: unpack_link_frame(data),
    ):
        try:
            read()
        except InvalidFrame as error:
            assert error.kind in KINDS


@given(st.binary(max_size=200) | values.map(msgpack.packb) | st.sampled_from(ODD).map(msgpack.packb))
def test_any_bytes_are_a_valid_frame_or_raise_the_frame_error(data):
    only_strange(data)


def test_seeded_damage_to_valid_frames_raises_nothing_else():
    chance = random.Random(37)
    whole = pack("choirs", FRAME)
    for _ in range(20_000):
        data = bytearray(whole)
        for _ in range(chance.randrange(1, 6)):
            at = chance.randrange(len(data))
            how = chance.randrange(3)
            if how == 0:
                data[at] = chance.randrange(256)
            elif how == 1:
                del data[at : at + chance.randrange(1, 9)]
            else:
                data[at:at] = chance.randbytes(chance.randrange(1, 9))
            if not data:
                break
        only_strange(bytes(data))
    only_strange(b"\x91" * MAX_STREAM_FRAME_BYTES)
    only_strange(b"\xdd\xff\xff\xff\xff")
    only_strange(b"\xc1")


@given(st.lists(st.binary(max_size=50), max_size=8), st.integers(0, 1 << 32))
def test_frames_are_split_however_the_bytes_arrive(frames, seed):
    chance, splitter, got = random.Random(seed), FrameSplitter(64), []
    data = b"".join(with_length(f) for f in frames)
    while data:
        size = chance.randrange(1, len(data) + 1)
        got += splitter.feed(data[:size])
        data = data[size:]
    assert got == frames and not splitter.buffer


def test_an_oversized_announced_frame_ends_reading_and_is_not_buffered():
    splitter = FrameSplitter(64)
    got = []
    with pytest.raises(InvalidFrame, match="65 bytes"):
        got.extend(splitter.feed(with_length(b"first") + struct.pack(">I", 65) + b"x" * 10_000))
    assert got == [b"first"] and len(with_length(b"")) == LENGTH_PREFIX_BYTES
