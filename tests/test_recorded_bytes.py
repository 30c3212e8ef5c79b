"""Bytes that the code wrote before its names changed: rows of the mesh and records of the journal.

Each is read and written again, and has to come out the same: members and folders of both versions go on with
one another.
"""

import json
from pathlib import Path

import msgpack
import pytest

from madderbeam.federation.consensus import messages as consensus
from madderbeam.federation.switchover import messages as switchover
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.records import frame, parse
from madderbeam.membership import messages as membership
from madderbeam.relay import messages as relay

RECORDED = json.loads((Path(__file__).parent / "recorded_bytes.json").read_text())
MODULES = {"membership": membership, "consensus": consensus, "switchover": switchover, "relay": relay}
ROWS = [(name, n) for name in MODULES for n in range(len(RECORDED[name]))]


@pytest.mark.parametrize(("name", "number"), ROWS)
def test_a_row_of_the_mesh_is_read_and_written_as_before(name, number):
    packed = bytes.fromhex(RECORDED[name][number])
    message = MODULES[name].from_row(msgpack.unpackb(packed))
    assert msgpack.packb(MODULES[name].to_row(message)) == packed


def test_a_record_of_an_accepted_message_is_read_and_written_as_before():
    written = bytes.fromhex(RECORDED["journal"][0])
    ((kind, *fields),), end = parse(written)
    assert kind == "take" and end == len(written)
    assert frame(PendingMessage(*fields).record()) == written


def test_records_of_attempts_and_outcomes_are_read_as_before():
    data = b"".join(map(bytes.fromhex, RECORDED["journal"][1:]))
    assert parse(data) == ([["try", [7], 1.4e9, ["key"]], ["final", 7, "deferred", 250]], len(data))
