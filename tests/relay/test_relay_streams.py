"""Streams and custody over a virtual network with kills, link flaps, drains and failing disks, for many
seeds."""

import pytest
from relaynet import MS, Net, S, judge

from madderbeam.membership.values import State
from madderbeam.relay.values import DeliveryIdempotency

SITES = {"macon": ("a", "b"), "savannah": ("s", "t", "u"), "athens": ("x", "y")}
SUBSCRIBERS = {"macon": (1,), "savannah": (11, 12, 13), "athens": (21, 22)}
EFFECTS = (DeliveryIdempotency.IDEMPOTENT, DeliveryIdempotency.WITH_KEY, DeliveryIdempotency.NON_IDEMPOTENT)


def drawn(seed, **more):
    """Fifteen publications from two couriers with up to eight faults among them, drawn from the seed."""
    speed = (40 * MS, 2 * S)[seed % 2]
    net = Net(seed, SITES, SUBSCRIBERS, speed=speed, compacts=seed % 3, well=seed % 5, **more)
    rng = net.rng
    for n in range(15):
        dest = rng.choice((-1, -1, 11, 21))
        order = rng.choice(("", "", "o"))
        effect = rng.choice(EFFECTS)
        node = net.node(rng.choice("aab"))
        net.at(rng.randrange(4 * S), node.publish, f"p{n}", effect, 20 * S, dest, order)
    nodes = list(net.nodes.values())
    for _ in range(rng.choice((1, 4, 8))):
        net.at(rng.randrange(5 * S), fault, net, rng.choice(nodes), rng.choice(nodes))
    net.run(40 * S)
    return net


def fault(net, node, other):
    rng = net.rng
    what = rng.choice(("kill", "fuse", "fuse", "flap", "drain", "turn away", "accused", "disk", "pause"))
    if what == "kill":
        node.kill(rng.choice((50 * MS, 500 * MS, 3 * S)))
    elif what == "fuse":
        node.fuse = rng.randrange(1, 30)
    elif what == "flap" and node is not other:
        net.flap(node, other, rng.choice((10 * MS, S, 4 * S)))
    elif what == "drain":
        if node.up:
            node.drain()
        net.at(2 * S, node.kill, S)
    elif what == "turn away":
        node.turns_away = 0.5
        net.at(3 * S, setattr, node, "turns_away", 0.0)
    elif what == "pause":
        node.pause(rng.choice((200 * MS, 2 * S, 10 * S)))
    elif what == "accused":
        net.tell(node, State.DEAD, True)
        net.at(2 * S, net.tell, node, State.ALIVE)
    elif what == "disk" and net.more.get("disk"):
        node.bad_disk = 0.5
        net.at(2 * S, setattr, node, "bad_disk", 0)


@pytest.mark.parametrize("part", range(8))
def test_non_idempotent_at_most_once_and_one_outcome_in_time(part):
    for seed in range(part * 50, part * 50 + 50):
        assert judge(drawn(seed)) == [], seed
