"""A courier that works for long does not grow by its age: what is kept of each thing has an end.

45 minutes of virtual time with ever new ids, keys, clients and endpoints, through all kinds of trouble. What
is counted is each container of the courier, not the size of its process; test_garbage.py sees to it that
nothing outlasts these containers.
"""

from functools import cache

import pytest

from madderbeam.host.attempts import Attempts
from madderbeam.host.completions import Completions
from madderbeam.host.endpoint_registry import MAX_REMEMBERED_IDS, EndpointRegistry
from madderbeam.journal.expiring_set import ExpiringSet
from madderbeam.journal.journal import Journal
from madderbeam.policy.endpoint_list import EndpointList
from madderbeam.simulation import books
from madderbeam.simulation.runs import staged
from madderbeam.simulation.script import Fault, Script
from madderbeam.transport.calls import Calls
from madderbeam.transport.clients import ClientServer

MINUTES = 45
TROUBLES = (
    "down",
    "hung",
    "tables",
    "full",
    "resets",
    "errors",
    "spoilt",
    "mute",
    "half",
    "slow_handshakes",
    "bad_clients",
    "crowd",
    "programs",
    "torn_connections",
    "closing",
    "lowered",
    "repeated_lists",
    "whole_lists",
    "flood",
    "moved",
    "moves",
    "shut",
    "gaps",
    "notices_torn",
)
BOUNDED = {"host.registry.ever": MAX_REMEMBERED_IDS}  # grows up to that many
# Held against what is open at each look, which is stricter than by size: that is chance, as troubles are.
EXACT = ("host.journal.open_keys", "host.journal.segments_by_message[]")
SLACK = 6  # elements; and a fifth


def service(minutes, rate=4.0):
    """An endpoint is replaced each 12 s, and there is one trouble after the other."""
    faults = []
    for n, at in enumerate(range(5_000, minutes * 60_000 - 30_000, 12_000)):
        faults.append(Fault("drain", at, 2500, n, 0.5))
        faults.append(Fault(TROUBLES[n % len(TROUBLES)], at + 3000, 5000, n, 0.1 + 0.08 * (n * 7 % 10)))
    return Script(seed=5, couriers=2, dests=6, rate_per_s=rate, seconds=minutes * 60.0, faults=tuple(faults))


class SegmentsOfMessages:
    """Checks that a journal keeps only pending messages' segments, begun since the message came."""

    def __init__(self):
        self.oldest = {}  # by message number: the oldest segment that may have a record of it
        self.newest = 0  # segment at the last look

    def stale(self, journal):
        """Return the messages that are over, or have older segments."""
        kept = journal.segments_by_message
        self.oldest = {number: self.oldest.get(number, self.newest) for number in kept}
        self.newest = journal.files.newest
        owed = journal.pending.keys() | journal.unwritten_completions.keys()
        return [n for n, places in kept.items() if n not in owed or min(places) < self.oldest[n]]


def grown(script):
    """The containers that had more elements in the last quarter than in the second, with both figures."""
    world, looks, quarter = staged(script, audited=False), [{} for _ in range(4)], script.seconds / 4 * 1e6

    found, checks = {}, [SegmentsOfMessages() for _ in world.machines]

    def look():
        part = looks[min(3, int(world.now_us / quarter))]
        for machine, check in zip(world.machines, checks, strict=True):
            journal = machine.host.journal
            if stale := check.stale(journal):
                found["segments of messages"] = (0, len(stale))
            assert set(journal.open_keys) == {
                m.key for m in journal.pending.values() if m.key and not m.status
            }
            for path, size in books.kept(machine.host).items():
                part[path] = max(part.get(path, 0), size)
        world.after(10_000_000, look)

    world.after(10_000_000, look)
    report = world.play()
    assert report.violation is None, report.line
    for path, last in looks[3].items():
        second = looks[1].get(path, 0)
        if last > 1.2 * second + SLACK and last > BOUNDED.get(path, 0) and path not in EXACT:
            found[path] = (second, last)
    return found, report


@cache
def plain():
    return grown(service(MINUTES))


def test_nothing_grows_over_45_minutes():
    found, report = plain()
    assert found == {}
    assert report.messages > MINUTES * 60 * 4 and report.delivered > 0.8 * report.messages


def keep_a_message_in_the_first_segment(patch):
    track = Journal._track_segment

    def keep(self, number, segment):
        track(self, number, segment)
        self.segments_by_message[number].add(1)

    patch.setattr(Journal, "_track_segment", keep)


LEAKS = {
    "numbers of attempts": lambda p: p.setattr(Attempts, "forget", lambda self, number: None),
    "guards": lambda p: p.setattr(Completions, "cancel_deadline_timer", lambda self, number: None),
    "remembered ids and keys": lambda p: p.setattr(ExpiringSet, "expire", lambda self, now, most=0: None),
    "endpoints that have gone": lambda p: p.setattr(EndpointRegistry, "forget", lambda self, endpoint: None),
    "pools of endpoints that have gone": lambda p: p.setattr(Calls, "forget", lambda self, endpoint: None),
    "endpoints of the decision module": lambda p: p.setattr(
        EndpointList, "forget_if_gone", lambda self, endpoint: None
    ),
    "segments of messages": keep_a_message_in_the_first_segment,
    "clients that have left": lambda p: p.setattr(ClientServer, "left", lambda self, client: None),
}


@pytest.mark.parametrize("name", LEAKS)
def test_a_leak_is_seen(name, monkeypatch):
    LEAKS[name](monkeypatch)
    found, _ = grown(service(6))
    assert found
