"""Fifty members for ten minutes with most faults at once: no member that answers is declared dead by all."""

from swimnet import Link, Net, S

from madderbeam.membership.values import MemberChanged, State


def test_loss_duplicates_reordering_and_slow_links_for_ten_minutes():
    net = Net(3, link=Link(loss=0.3, delay_us=(1_000, 60_000), double=0.05))
    nodes = net.grow(50)
    for a in nodes[:6]:
        for b in nodes[20:40]:
            net.links[a.id, b.id] = Link(loss=0.3, delay_us=(400_000, 600_000), double=0.05)
    begin = net.now
    net.most_dead = 0
    net.until(begin + 600 * S)
    assert net.most_dead < 25, "of 49"
    accused = sum(
        isinstance(a, MemberChanged) and a.view.state is State.SUSPECT
        for n in nodes for at, a in n.log if at >= begin
    )  # fmt: skip
    deaths = net.deaths(begin)
    print(f"{accused} times that a member suspected one, {len(deaths)} that it declared one dead")
    assert len(deaths) <= 10 and accused > 1_000  # only few suspicions end in a declared death
    net.link = Link()
    net.links.clear()
    assert net.until(net.now + 60 * S, net.agree)
