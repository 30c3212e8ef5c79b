"""Voters that never granted a lease confirm its end too; none does for a member that serves without
leases.
"""

import pytest
from switch_world import SECOND, World, ids, table

from madderbeam.federation.leases.lease import LeaseGrantor
from madderbeam.federation.switchover.settings import SwitchoverSettings

LEASE_US = 4 * SECOND
OLD = {"a": "m1", "b": "m1 -m2 -m3", "c": "m1 -m2"}


def begun(sites, lease_us=LEASE_US):
    """A world in which all members serve. a/m1 has leases of `lease_us`, the others of LEASE_US."""
    w = World(1, table(1, sites, {7: "a", 8: "b"}), SwitchoverSettings(lease_us=LEASE_US))
    w.wait_probability = 0
    w.start()
    a1 = w.nodes[ids("a/m1")[0]]
    if lease_us != LEASE_US:
        a1.kill()
        w.settings = SwitchoverSettings(lease_us=lease_us)
        a1.start()
        w.settings = SwitchoverSettings(lease_us=LEASE_US)
    assert w.run(20 * SECOND, w.served), "not all members serve"
    w.run(3 * SECOND)  # the members' standings, with their lease spans, spread
    return w, a1


def passed_to_b(w, sites, limit_us=6 * LEASE_US):
    """Cut off a/m1 and agree on a table with these voters that moves 7 to b. Whether a member of b begins
    to serve.
    """
    w.split("a/m1")
    new = table(2, sites, {7: "b", 8: "b"})
    w.agree(new, ids("b/m1", "c/m1"), delays=False)
    w.split("a/m1")  # from the new members too
    return w.run(limit_us, lambda: any(7 in n.serving for n in w.nodes.values() if n.member_id.site == "b"))


@pytest.mark.parametrize(
    "sites",
    [
        {"a": "-m1", "b": "-m1 m2 m3", "c": "-m1 m2"},  # non-voters become voters
        {"a": "-m1", "b": "-m1 -m2 -m3 m4 m5", "c": "-m1 -m2 m3"},  # the new voters are new members
    ],
)
def test_voters_of_the_next_table_confirm_the_end_of_a_lease_they_never_granted(sites):
    w, a1 = begun(OLD)
    at_us = w.now_us
    assert passed_to_b(w, sites)
    last_us = max(c.end_us for c in w.log if c.node is a1 and c.dest == 7)
    assert at_us < last_us < w.now_us < at_us + 3 * LEASE_US
    w.run(SECOND)


def test_no_voter_confirms_an_end_for_a_member_that_serves_without_leases(monkeypatch):
    w, _ = begun(OLD, lease_us=0)
    assert not passed_to_b(w, {"a": "-m1", "b": "-m1 m2 m3", "c": "-m1 m2"})
    # It still calls: a voter that takes a missing grant for an ended lease lets two sites call.
    monkeypatch.setattr(
        LeaseGrantor,
        "can_confirm_end",
        lambda self, now_us, member, votes: member not in self.last_renewed_us,
    )
    with pytest.raises(AssertionError, match="7"):
        w.run(6 * LEASE_US)
