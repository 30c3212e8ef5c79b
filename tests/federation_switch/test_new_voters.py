"""The end of a lease is vouched for by voters that never granted it, too; by none for one that has none."""

import pytest
from switch_world import SECOND, World, ids, table

from madderbeam.federation.leases.lease import LeaseGrantor
from madderbeam.federation.switchover.settings import SwitchoverSettings

LEASE_US = 4 * SECOND
OLD = {"a": "m1", "b": "m1 -m2 -m3", "c": "m1 -m2"}


def begun(sites, lease_us=LEASE_US):
    """All serve; a/m1's leases are so long, the others' LEASE_US."""
    w = World(1, table(1, sites, {7: "a", 8: "b"}), SwitchoverSettings(lease_us=LEASE_US))
    w.wait_part = 0
    w.start()
    a1 = w.nodes[ids("a/m1")[0]]
    if lease_us != LEASE_US:
        a1.kill()
        w.settings = SwitchoverSettings(lease_us=lease_us)
        a1.start()
        w.settings = SwitchoverSettings(lease_us=LEASE_US)
    assert w.run(20 * SECOND, w.served), "did not begin"
    w.run(3 * SECOND)  # what each says of itself, also by which leases it serves, gets round
    return w, a1


def passed_to_b(w, sites, limit_us=6 * LEASE_US):
    """a/m1 is cut off; 7 goes to b by a table with these voters. Whether somebody of b begins there."""
    w.split("a/m1")
    new = table(2, sites, {7: "b", 8: "b"})
    w.agree(new, ids("b/m1", "c/m1"), delays=False)
    w.split("a/m1")  # from those that are new as well
    return w.run(limit_us, lambda: any(7 in n.began for n in w.nodes.values() if n.me.site == "b"))


@pytest.mark.parametrize(
    "sites",
    [
        {"a": "-m1", "b": "-m1 m2 m3", "c": "-m1 m2"},  # were members without a vote
        {"a": "-m1", "b": "-m1 -m2 -m3 m4 m5", "c": "-m1 -m2 m3"},  # are new themselves
    ],
)
def test_voters_of_the_next_table_that_never_granted_it_vouch_for_its_end(sites):
    w, a1 = begun(OLD)
    at_us = w.now_us
    assert passed_to_b(w, sites)
    last_us = max(c.end_us for c in w.log if c.node is a1 and c.dest == 7)
    assert at_us < last_us < w.now_us < at_us + 3 * LEASE_US
    w.run(SECOND)


def test_nobody_vouches_for_one_that_serves_without_leases(monkeypatch):
    w, _ = begun(OLD, lease_us=0)
    assert not passed_to_b(w, {"a": "-m1", "b": "-m1 m2 m3", "c": "-m1 m2"})
    # It does call on: voters that take the missing grant for the end of a lease would let two call.
    monkeypatch.setattr(
        LeaseGrantor,
        "can_confirm_end",
        lambda self, now_us, member, votes: member not in self.last_renewed_us,
    )
    with pytest.raises(AssertionError, match="7"):
        w.run(6 * LEASE_US)
