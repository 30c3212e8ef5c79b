"""Single failure scenarios, each on the virtual network of the relay's state machines."""

from dataclasses import replace

import pytest
from relaynet import MS, Net, Node, S, empty, judge
from test_relay_streams import EFFECTS, SITES, SUBSCRIBERS

from madderbeam.federation.errors import PublicationTooLarge, SiteAway, StreamFull
from madderbeam.relay.backlog import BacklogLimits
from madderbeam.relay.messages import Entry
from madderbeam.relay.stream_sender import StreamSettings
from madderbeam.relay.values import (
    Credit,
    CustodyAccepted,
    DeliveryIdempotency,
    DeliveryOutcome,
    LocalSiteCompleted,
    Publication,
    PublicationCompleted,
    Published,
    Result,
)

PAIR = {"macon": ("a",), "savannah": ("s", "t")}
THEIRS = {"macon": (), "savannah": (11, 12)}


def at_first_taken(net, action):
    """Runs `action` on the relay once, between its journal write and its ack."""
    true, done = Node.handle, []

    def handle(self, event):
        if isinstance(event, CustodyAccepted) and self.net is net and not done:
            done.append(self)
            action(self)
        true(self, event)

    Node.handle = handle
    return lambda: setattr(Node, "handle", true)


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize("back", (100 * MS, 3 * S, None), ids=("at once", "late", "never"))
@pytest.mark.parametrize("origin_too", (False, True), ids=("relay", "both"))
def test_relay_killed_after_the_journal_and_before_the_ack(effect, back, origin_too):
    net = Net(3, PAIR, THEIRS, compacts=True, well=True)
    killed = []

    def kill(relay):
        killed.append(relay.id)
        relay.kill(back)
        if origin_too:
            net.node("a").kill(200 * MS)

    restore = at_first_taken(net, kill)
    try:
        for n in range(4):
            net.at(S + n * 10 * MS, net.node("a").publish, f"p{n}", effect)
        net.run(40 * S)
    finally:
        restore()
    assert len(killed) == 1
    gone_for_good = back is None and effect is DeliveryIdempotency.NON_IDEMPOTENT
    assert judge(net, arrive=not gone_for_good) == []
    told = [end.is_delivered for ends in net.ends.values() for _, end in ends]
    doubles = sum(len(calls) > 1 for calls in net.calls.values())
    if effect is DeliveryIdempotency.NON_IDEMPOTENT:
        assert doubles == 0 and (not gone_for_good or not all(told))
    else:
        assert all(told) and len(told) >= 1


def test_a_killed_origin_reports_one_outcome_for_each_publication():
    net = Net(5, PAIR, THEIRS, well=True)
    for n in range(60):
        net.at(S + n * 5 * MS, net.node("a").publish, f"p{n}", EFFECTS[n % 3])
    for at in (1_050 * MS, 1_200 * MS, 1_290 * MS):
        net.at(at, net.node("a").kill, 30 * MS)
    net.run(40 * S)
    assert judge(net) == [] and len(net.pubs) > 40 and net.node("a").lives > 2
    assert all(ends[0][1].is_delivered for ends in net.ends.values())


def test_a_flapping_link_loses_nothing():
    net = Net(6, PAIR, THEIRS, well=True)
    for n in range(200):
        net.at(S + n * 10 * MS, net.node("a").publish, f"p{n}", EFFECTS[n % 3])
        net.at(S + n * 10 * MS, net.flap, net.node("a"), net.node("st"[n % 2]), 15 * MS)
    net.run(50 * S)
    assert judge(net) == []
    assert net.frames["Entry"] > 220  # some were sent again
    assert all(ends[0][1].is_delivered for ends in net.ends.values())


def test_a_stream_stops_without_credit_and_resumes_with_new_credit():
    net = Net(7, PAIR, THEIRS, well=True)
    for name in "st":
        net.node(name).credit = Credit(0, 0)
        net.node(name).handle(Credit(0, 0))
    for n in range(50):
        net.at(S + n * MS, net.node("a").publish, f"p{n}")
    net.run(5 * S)
    assert net.frames["Entry"] == 8  # sent before any credit is advertised
    for name in "st":
        net.node(name).handle(Credit(4, 10**6))
    net.run(6 * S)
    assert net.frames["Entry"] == 50 and net.frames["SiteCompleted"] == 50
    net.run(40 * S)
    assert judge(net) == []


ROOM = StreamSettings(limits=BacklogLimits(entries=120, bytes=10**6))


def test_a_dead_site_delays_no_other_and_its_publications_are_rejected():
    net = Net(8, SITES, {**SUBSCRIBERS, "macon": ()}, streams=ROOM)
    a = net.node("a")
    for name in "xy":
        net.at(500 * MS, net.node(name).kill)
    for n in range(4000):
        dest = (11, 21)[n % 2]
        net.at(2 * S + n * MS, a.publish, f"p{n}", DeliveryIdempotency.IDEMPOTENT, 60 * S, dest)
    net.run(7 * S)
    assert any(a.publish(f"more{n}", DeliveryIdempotency.IDEMPOTENT, 50 * S, 21) is None for n in range(30))
    away = a.streams.rejection(["athens"], 100)
    assert isinstance(away, SiteAway) and not isinstance(away, StreamFull) and "athens" in away.line()
    assert (
        a.streams.retry_after_us(["athens"], 100)
        == a.streams.retry_after_us(["savannah", "athens"], 100)
        == 2_000_000
    )
    assert a.streams.retry_after_us(["savannah"], 100) is None
    assert a.streams.metrics["athens"]["open"] <= 24  # a fifth of the capacity
    reached = sum(1 for (_, dest) in net.calls if dest == 11)
    assert reached == 2000  # none for the other site was rejected or late
    assert a.streams.sender.entries == a.streams.metrics["athens"]["open"]
    with pytest.raises(PublicationTooLarge):
        a.streams.retry_after_us(["savannah"], 65_537)
    net.run(80 * S)
    assert judge(net, arrive=False) == []


def test_publications_for_a_slow_site_are_rejected_before_they_fill_the_origin():
    net = Net(9, SITES, {**SUBSCRIBERS, "macon": ()}, streams=ROOM)
    a = net.node("a")
    for name in "xy":
        net.node(name).speed = 30 * S
    for n in range(3000):
        net.at(S + n * MS, a.publish, f"p{n}", DeliveryIdempotency.IDEMPOTENT, 40 * S, (11, 21)[n % 2])
    net.run(4 * S)
    assert isinstance(a.streams.rejection(["athens"], 100), StreamFull)
    assert a.streams.metrics["athens"]["open"] <= 60
    assert sum(1 for (_, dest) in net.calls if dest == 11) > 1450
    net.run(60 * S)
    assert judge(net, arrive=False) == []


def test_a_flood_for_a_site_unreachable_for_an_hour_leaves_no_state():
    net = Net(10, PAIR, THEIRS, streams=ROOM)
    a = net.node("a")
    for name in "st":
        net.at(500 * MS, net.node(name).kill)
    largest = 0

    def publish(n):
        nonlocal largest
        a.publish(f"p{n}", EFFECTS[n % 3], 30 * S)
        alarms = len(a.streams.actions.timers.heap) - 200
        largest = max(largest, a.streams.sender.entries, len(a.records), alarms)

    for n in range(20_000):
        net.at(S + n * 180 * MS, publish, n)
    net.run(3_700 * S)
    assert len(net.pubs) > 2_000 and net.refused > 10_000 and largest <= 60
    assert judge(net, arrive=False) == []


@pytest.mark.parametrize("effect", EFFECTS)
def test_nothing_is_acknowledged_without_its_record_whichever_write_fails(effect):
    """Each write of each courier fails once; `check_ack` and `check_word` look at every frame."""
    runs = 0
    for name in ("a", "s", "t"):
        for first in range(1, 60):
            net = Net(11, PAIR, THEIRS, well=True, disk=True)
            net.node(name).unwritable = frozenset((first, first + 2))
            for n in range(4):
                net.at(S + n * 3 * MS, net.node("a").publish, f"p{n}", effect, 20 * S, -1, ("", "o")[n % 2])
            net.run(40 * S)
            assert judge(net) == [], (name, first)
            assert all(ends[0][1].is_delivered for ends in net.ends.values()), (name, first)
            runs += 1
            if net.node(name).writes < first:
                break
    assert runs > (8 if effect is DeliveryIdempotency.NON_IDEMPOTENT else 5)


def test_a_draining_relay_hands_over_in_order():
    net = Net(12, PAIR, THEIRS, well=True, speed=300 * MS)
    a = net.node("a")
    for n in range(100):
        net.at(S + n * 10 * MS, a.publish, f"p{n:03}", DeliveryIdempotency.IDEMPOTENT, 40 * S, -1, "o")
    net.run(1_500 * MS)
    first = a.streams.sender.sites["savannah"].relay
    net.nodes[first].drain()
    net.run(50 * S)
    assert judge(net) == []
    # one subscriber's calls with one order key: all at the second relay come after all at the first
    by = [(calls[0][0], calls[0][1], name) for (name, dest), calls in net.calls.items() if dest == 11]
    assert {member for _, member, _ in by} == set(net.nodes) - {a.id}
    last = max(at for at, member, _ in by if member == first)
    assert all(at > last for at, member, _ in by if member != first)
    assert max(n for _, m, n in by if m == first) < min(n for _, m, n in by if m != first)
    assert all(len(calls) == 1 for calls in net.calls.values())


def test_rejected_non_idempotent_entries_go_to_the_next_relay():
    net = Net(13, PAIR, THEIRS, well=True)
    a = net.node("a")
    net.run(S)
    relay = net.nodes[a.streams.sender.sites["savannah"].relay]
    relay.turns_away = 1.0
    a.publish("p1", DeliveryIdempotency.NON_IDEMPOTENT)
    net.run(1_100 * MS)
    relay.drain()
    net.run(30 * S)
    assert judge(net) == []
    assert [len(calls) for calls in net.calls.values()] == [1, 1]
    assert {calls[0][1] for calls in net.calls.values()} == set(net.nodes) - {a.id, relay.id}


def test_each_subscriber_is_reached_by_one_site_if_tables_change_before_expansion():
    """The owners of 12 and 21 change while entries are in transit; both sites know both subscribers."""
    every = (11, 12, 21, 22)
    for seed in range(8):
        net = Net(seed, SITES, {"macon": (), "savannah": every, "athens": every}, well=True)
        owned = {11: "savannah", 12: "savannah", 21: "athens", 22: "athens"}
        net.owners = {}

        def switch(number, owners, net=net):
            net.owners[number] = owners
            nodes = list(net.nodes.values())
            for node in nodes:  # members learn of it at different times
                net.at(net.rng.randrange(100 * MS), node.tables.put, number, owners)

        tables = (owned, {**owned, 12: "athens"}, {**owned, 12: "athens", 21: "savannah"}, owned)
        for number, owners in enumerate(tables, 1):
            net.at(number * 300 * MS, switch, number, owners)
        for n in range(150):
            net.at(
                S // 2 + n * 10 * MS,
                net.node("a").publish,
                f"p{n}",
                DeliveryIdempotency.NON_IDEMPOTENT,
                20 * S,
            )
        net.run(40 * S)
        by_site = {}
        for (name, dest), calls in net.calls.items():
            assert len(calls) == 1
            by_site.setdefault(name, {})[dest] = calls[0][1].site
        for name, publication in net.pubs.items():
            assert by_site[name] == net.owners[publication.table_number]
        assert net.wrong == [] and all(len(e) == 1 and e[0][1].is_delivered for e in net.ends.values())


def test_remaining_time_is_sent_in_place_of_the_deadline():
    net = Net(14, PAIR, THEIRS, delay=30 * MS)
    sent = []
    true = net.send
    net.send = lambda node, member, message: (sent.append((net.now, message)), true(node, member, message))
    net.run(S)
    net.node("a").publish("p1", DeliveryIdempotency.IDEMPOTENT, 5 * S)
    net.run(1_010 * MS)
    entries = [message for _, message in sent if isinstance(message, Entry)]
    assert [e.remaining_us for e in entries] == [5 * S]
    assert entries[0].publication.deadline_us == 0


def test_an_entry_with_key_moves_only_within_its_window():
    for window, moves in ((10 * S, True), (S // 2, False)):
        net = Net(15, PAIR, THEIRS, speed=30 * S, streams=StreamSettings(keyed_window_us=window))
        a = net.node("a")
        net.run(S)
        a.publish("p1", DeliveryIdempotency.WITH_KEY, 20 * S, key="k")
        net.run(1_300 * MS)
        first = a.streams.sender.sites["savannah"].relay
        net.nodes[first].kill()
        net.run(4 * S)
        second = next(n for n in net.nodes.values() if n.id.site == "savannah" and n.id != first)
        assert ("macon/a:p1" in second.custodian.store.records) is moves


def test_a_relay_restored_from_an_older_copy_gets_no_non_idempotent_entry_again():
    net = Net(16, {"macon": ("a",), "savannah": ("s",)}, THEIRS)
    a, relay = net.node("a"), net.node("s")
    relay.lives = 4
    relay.start()
    net.run(S)
    a.publish("p1", DeliveryIdempotency.NON_IDEMPOTENT)
    net.run(1_002 * MS)
    relay.kill()  # the entry is lost in transit
    assert a.records["sent", "macon/a:p1|savannah"][:3] == ["savannah", "s", 5]
    for lives, calls in ((3, 0), (5, 2)):
        net.run(net.now + 3 * S)
        relay.lives = lives
        relay.start()
        net.run(net.now + 3 * S)
        assert len(net.calls) == calls
        relay.kill()


def test_a_restart_of_the_whole_site_reports_lost_deliveries():
    net = Net(17, PAIR, THEIRS, speed=2 * S, well=True)
    a = net.node("a")
    net.run(S)
    a.publish("p1", DeliveryIdempotency.IDEMPOTENT)
    net.run(1_100 * MS)
    relay = net.nodes[a.streams.sender.sites["savannah"].relay]
    for name in "st":
        net.node(name).kill(S)
    lost = next(ident for ident, entry in relay.journal.items() if entry["dest"] == 12)
    del relay.journal[lost]  # the journal's folder lost a message
    net.run(10 * S)
    end = net.ends["macon/a:p1"][0][1]
    assert (
        not end.is_delivered
        and "12 unknown" in end.failures
        and "lost with a process of savannah" in end.failures
    )


@pytest.mark.parametrize("name", ("sent", "custody"))
def test_expired_records_are_removed_after_a_restart(name):
    net = Net(18, PAIR, THEIRS)
    net.run(S)
    node = net.node("s")
    past = 10**9 - 1_000
    node.records = {
        ("sent", "savannah/s:x|macon"): ["macon", "a", 1, past, None],
        ("custody", "macon/a:y"): {
            "origin": ["macon", "a"],
            "single": 0,
            "effect": "unsafe",
            "until": past,
            "total": 1,
            "pending": [1],
            "delivered": 0,
            "ends": [],
            "why": "",
        },
    }
    node.kill(100 * MS)
    net.run(20 * S)
    assert node.lives == 2 and not [key for key in node.records if key[0] == name]


def test_the_local_site_counts_as_one_site_and_withdrawn_publications_leave_no_state():
    net = Net(19, PAIR, THEIRS, speed=300 * MS, well=True)
    a = net.node("a")
    net.run(S)
    a.own_part = True
    name = a.publish("p1")
    net.run(2 * S)
    assert net.ends == {} and len(net.calls) == 2
    ends = (DeliveryOutcome(1, Result.REFUSED),)
    a.handle(LocalSiteCompleted(name, 4, ends))
    a.handle(LocalSiteCompleted(name, 5))
    assert [end for _, end in net.ends.pop(name)] == [
        PublicationCompleted(name, False, "macon: 4 delivered; not: 1 refused")
    ]
    a.own_part = False
    for n, effect in enumerate(EFFECTS):
        name = a.publish(f"w{n}", effect, 20 * S, 11, "o")
        net.run(net.now + 3 * MS)
        a.withdraw(name)
    net.run(40 * S)
    assert net.ends == {} and net.wrong == []
    empty(net, a)
    assert net.wrong == []


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_paused_relay_does_not_execute_what_the_next_one_accepted(effect):
    net = Net(20, PAIR, THEIRS, well=True, pauses=True)
    a = net.node("a")
    net.run(S)
    relay = net.nodes[a.streams.sender.sites["savannah"].relay]
    for n in range(20):
        net.at(n * 10 * MS, a.publish, f"p{n}", effect, 8 * S)
    net.at(95 * MS, relay.pause, 10 * S)
    net.at(3 * S, a.publish, "later", effect, 8 * S)
    net.run(40 * S)
    assert judge(net, arrive=effect is not DeliveryIdempotency.NON_IDEMPOTENT) == []
    late = [c for calls in net.calls.values() for c in calls if c[1] == relay.id and c[0] > 12 * S]
    assert not late  # entries left in its socket buffer had expired, and it rejected them
    by_next = [c for calls in net.calls.values() for c in calls if c[1] != relay.id]
    assert by_next  # the site's other member took over


def test_the_host_may_name_the_relay_that_has_a_non_idempotent_entry():
    net = Net(21, PAIR, THEIRS, well=True)
    a = net.node("a")
    net.run(S)
    chosen = a.streams.sender.sites["savannah"].relay
    other = next(m for m in net.nodes if m.site == "savannah" and m != chosen)
    for n, effect in enumerate(EFFECTS):
        publication = Publication(
            f"p{n}", a.id, "season", -1, "notice", effect, "acme", "", "", b"", net.now + 20 * S, 1
        )
        net.pubs[publication.name] = publication
        here = replace(publication, deadline_us=a.clock() + 20 * S)
        a.handle(Published(here, ("savannah",), (("savannah", other),)))
    net.run(10 * S)
    went = {name: {call[1] for call in calls} for (name, _), calls in net.calls.items()}
    assert went == {"macon/a:p0": {chosen}, "macon/a:p1": {chosen}, "macon/a:p2": {other}}
    assert len(net.ends) == 3 and net.wrong == []
