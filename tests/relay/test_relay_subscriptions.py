"""Topics of each site: bounded gossip entries, changes, members that leave."""

from madderbeam.membership.values import (
    Disseminate,
    GossipEntry,
    GossipReceived,
    Incarnation,
    IncarnationRaised,
    LogLine,
    MemberChanged,
    MemberId,
    MemberView,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.relay.subscriptions import TIMER, Subscriptions
from madderbeam.relay.values import SubscriptionsChanged

A, S, T = MemberId("macon", "a"), MemberId("savannah", "s"), MemberId("savannah", "t")


def spread(source, actions, *others, skip=()):
    rumours = [a for a in actions if isinstance(a, Disseminate)]
    for n, rumour in enumerate(rumours):
        for other in others if n not in skip else ():
            other.handle(
                0, GossipReceived(GossipEntry(source.local_member, rumour.key, rumour.version, rumour.body))
            )
    return rumours


def view(member, state):
    return MemberChanged(MemberView(member, Incarnation(1, 1), 0, state, ("", 1), 0))


def test_ten_thousand_topics_are_bounded_and_none_is_dropped():
    here, there = Subscriptions(A, Incarnation(1, 1)), Subscriptions(S, Incarnation(1, 1))
    topics = {f"season-{n}": (n,) for n in range(10_000)}
    rumours = spread(there, there.handle(0, SubscriptionsChanged(topics, 1)), here)
    assert len(rumours) == 32 and max(len(r.body) for r in rumours) <= 512
    assert all(here.sites(topic) == ("savannah",) for topic in topics)
    assert sum(bool(here.sites(f"other-{n}")) for n in range(10_000)) < 100
    assert there.subscribers("season-7") == (7,) and there.sites("season-7") == ()
    # another subscriber sends nothing, another topic one gossip entry
    assert spread(there, there.handle(0, SubscriptionsChanged({**topics, "season-7": (7, 8)}, 2))) == []
    assert len(spread(there, there.handle(0, SubscriptionsChanged({**topics, "new": (7,)}, 3)), here)) == 1
    assert here.sites("new") == ("savannah",)
    # too many for the filters: that is logged, more is sent than needed, and nothing is dropped
    many = {f"many-{n}": (n,) for n in range(30_000)}
    actions = there.handle(0, SubscriptionsChanged(many, 4))
    assert any("30000 topics" in a.text for a in actions if isinstance(a, LogLine))
    assert len(spread(there, actions, here)) == 64
    assert all(here.sites(topic) for topic in many)
    # back to one topic: entries of the other shards no longer count
    spread(there, there.handle(0, SubscriptionsChanged({"one": (1,)}, 5)), here)
    assert here.sites("one") and sum(bool(here.sites(t)) for t in topics) < 40
    assert len(here.topics_by_member[S].shards) <= 64


def test_a_shard_not_received_yet_may_contain_any_topic():
    here, there = Subscriptions(A, Incarnation(1, 1)), Subscriptions(S, Incarnation(1, 1))
    topics = {f"season-{n}": (n,) for n in range(1_000)}
    spread(there, there.handle(0, SubscriptionsChanged(topics, 1)), here, skip=(2,))
    assert all(here.sites(topic) for topic in topics)


def test_older_and_malformed_entries_are_ignored():
    here, there = Subscriptions(A, Incarnation(1, 1)), Subscriptions(S, Incarnation(1, 1))
    old = spread(there, there.handle(0, SubscriptionsChanged({"x": (1,)}, 1)), here)
    assert there.handle(0, SubscriptionsChanged({}, 1)) == []
    spread(there, there.handle(0, SubscriptionsChanged({}, 2)), here)
    assert here.sites("x") == ()
    here.handle(0, GossipReceived(GossipEntry(S, old[0].key, old[0].version, old[0].body)))
    assert here.sites("x") == ()
    again = Subscriptions(S, Incarnation(2, 1))  # a restart: versions keep growing
    spread(again, again.handle(0, SubscriptionsChanged({"x": (1,)}, 1)), here)
    assert here.sites("x") == ("savannah",)
    strange = [b"", b"\2\0\1a", b"\1\7\1a", b"\1\0\0a", b"\1\0\1" + b"a" * 600]
    for key, body in [("topics/x", b"\1\0\1"), ("topics/9", b"\1\0\1a"), *(("topics/0", b) for b in strange)]:
        assert [type(a) for a in here.handle(0, GossipReceived(GossipEntry(T, key, 9, body)))] == [LogLine]
    assert T not in here.topics_by_member


def test_topics_of_an_unreachable_site_expire_after_an_hour():
    here = Subscriptions(A, Incarnation(1, 1))
    for member in (S, T):
        there = Subscriptions(member, Incarnation(1, 1))
        spread(there, there.handle(0, SubscriptionsChanged({member.name: (1,)}, 1)), here)
    assert here.handle(5, view(S, State.DEAD)) == [SetTimer(3_600_000_005, TIMER)]
    here.handle(6, view(T, State.LEFT))
    here.handle(7, view(S, State.DEAD))
    assert here.sites("s") == here.sites("t") == ("savannah",)
    assert here.handle(3_600_000_005, TimerDue(TIMER)) == [SetTimer(3_600_000_006, TIMER)]
    assert here.sites("s") == () and here.sites("t") == ("savannah",)
    assert here.handle(3_600_000_006, TimerDue(TIMER)) == [
        LogLine("topics of savannah are removed: it had no member for 3600 s")
    ]
    assert here.topics_by_member == {}


def test_a_site_whose_topics_are_unknown_may_have_any():
    here, there = Subscriptions(A, Incarnation(1, 1)), Subscriptions(S, Incarnation(1, 1))
    sites = (A.site, S.site, "elsewhere")
    assert here.unknown_sites(sites) == tuple(sorted((S.site, "elsewhere")))
    told = there.handle(0, SubscriptionsChanged({}, 1))  # no topics is an announcement too
    assert len(told) == 1
    here.handle(0, GossipReceived(GossipEntry(S, told[0].key, told[0].version, told[0].body)))
    assert here.unknown_sites(sites) == ("elsewhere",) and here.sites("season") == ()


def test_a_later_incarnation_disseminates_again_with_higher_versions():
    there = Subscriptions(S, Incarnation(2, 1))
    first = there.handle(0, SubscriptionsChanged({"season": {1}}, 1))[0]
    again = there.handle(0, IncarnationRaised(Incarnation(7, 1)))
    assert [(a.key, a.body) for a in again] == [(first.key, first.body)]
    before = Subscriptions(S, Incarnation(6, 1)).handle(0, SubscriptionsChanged({"season": {1}}, 1))[0]
    assert again[0].version > before.version
