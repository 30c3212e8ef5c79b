"""Every order of a few events keeps the sum under the limit, and the check finds seeded faults."""

import pytest
from lease_bugs import planted
from lease_model import SCENES, explore, granted

SEEN = {
    "earlier grants of unreachable members are ignored": "handover",
    "a term of a minority": "one is cut off",
    "a restarted member confirms at once": "one is cut off",
}


@pytest.mark.parametrize("scene", SCENES)
def test_all_orders(scene):
    figures = explore(granted(SCENES[scene]), 2_500)
    assert figures["all"] or figures["states"] >= 2_500


@pytest.mark.parametrize("name", SEEN)
def test_a_seeded_fault_is_found(name):
    world = granted(SCENES[SEEN[name]])
    with planted(name), pytest.raises(AssertionError, match="begin"):
        explore(world, 2_500)
