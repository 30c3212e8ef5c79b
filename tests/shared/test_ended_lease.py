"""Calls that were chosen under a lease are not written after it expired, however many are waiting."""

from types import SimpleNamespace

from madderbeam.host.federation.site_sharing import SiteSharing


def test_calls_are_not_written_until_the_engine_knows_that_the_lease_expired():
    later = []
    shared = object.__new__(SiteSharing)
    shared.host = SimpleNamespace(clock=lambda: 1_000, schedule=lambda seconds, do: later.append(do))
    shared.leases = SimpleNamespace(amount=lambda resource, now: 0.5)
    shared.is_waiting_for_findings, shared.held_off, shared.leased_until_us, shared.expired = (
        False,
        set(),
        {1: 1_000, 2: 1_001},
        set(),
    )
    shared.posted_rates = {1: 5.0}
    shown = []
    shared._repost_entries = lambda dest, cold=False: shown.append(dest)
    assert [shared.may_start_call(1) for _ in range(3)] == [False] * 3
    assert shared.posted_rates == {1: 0.5} and shown == [1] and shared.may_start_call(2)
    [engine_notified] = later
    engine_notified()
    assert shared.may_start_call(1) and shown == [1, 1]
