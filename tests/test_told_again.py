"""A wait that another process was told never shortens one that was told here."""

import pytest

from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.policy.settings import MessageClass, Settings

S = 1_000_000


@pytest.mark.parametrize("own_s, others_s, ends_s", [(5, 2, 5), (2, 5, 5)])
def test_the_longer_wait_holds_whoever_was_told_it(own_s, others_s, ends_s):
    now = [10 * S]
    listing = EndpointRegistry(
        Settings(
            (MessageClass("safe", latency_objective_us=S, deadline_us=9 * S),), max_in_flight=4, max_pending=8
        ),
        (),
        lambda: now[0],
    )
    target = {"uid": "p-1", "endpoint": "127.0.0.1:80", "pod_group": 1, "state": "in_service"}
    for entry, _ in listing.apply({"targets": [target]}):
        listing.entries[entry.endpoint] = entry
    endpoint = listing.uids["p-1"]
    listing.apply_retry_after(endpoint, own_s * S)
    told = listing.adopt_retry_after(1, "", now[0] + others_s * S)
    assert [e.retry_after_until_us for e in told] == [(10 + ends_s) * S]
    now[0] = (10 + ends_s) * S - 1
    assert not listing.may_write(endpoint)
    now[0] += 1
    assert listing.may_write(endpoint)
