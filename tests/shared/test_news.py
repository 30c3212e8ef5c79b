"""News among the members of a site: folded by kind, bounded, witnessed; one that tries for all."""

import random

import pytest

from madderbeam.membership.values import (
    Disseminate,
    GossipEntry,
    GossipReceived,
    Incarnation,
    MemberChanged,
    MemberId,
    MemberView,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.shared.news import EACH_MOST, FORM, LONGEST_US, NewsBoard
from madderbeam.shared.returning import MOMENT_US, REST_MOST_US, TURN_US, Partners
from madderbeam.shared.values import Answered, Failed, Heed, Kind, Lapsed, Learnt, News, Site, TryFor

S = 1_000_000
NAMES = [MemberId("macon", f"m{n}") for n in range(5)]


class Town:
    """Members whose rumours reach each other after a drawn time, or never; at its own pace each."""

    def __init__(self, make, count=3, seed=1, lost=0.0, slow=S // 2):
        self.chance, self.lost, self.now, self.slow = random.Random(seed), lost, 0, slow
        self.members = {m: make(m, Incarnation(1, n)) for n, m in enumerate(NAMES[:count])}
        self.told = {m: [] for m in self.members}
        self.under_way, self.timers = [], {}
        self.newest = {}
        for m in self.members:
            self.tell(m, Site(tuple(self.members)))

    def tell(self, member, event):
        for action in self.members[member].handle(self.now, event):
            if isinstance(action, Disseminate):
                rumour = GossipEntry(member, action.key, action.version, action.body, action.keep_us)
                self.newest[member, action.key] = rumour
                for other in self.members:
                    if other != member and self.chance.random() >= self.lost:
                        at = self.now + self.chance.randrange(self.slow)
                        self.under_way.append((at, len(self.under_way), other, rumour))
            elif isinstance(action, SetTimer):
                self.timers[member, action.token] = action.at_us
            else:
                self.told[member].append((self.now, action))

    def run(self, until):
        """Rumours arrive in any order; a lower version than the one heard is dropped, as membership does."""
        while True:
            due = [(at, n, m, r) for at, n, m, r in self.under_way if at <= until]
            timer = min(((at, m) for m, at in self.timers.items() if at <= until), default=None)
            if not due and timer is None:
                break
            if due and (timer is None or min(due)[0] <= timer[0]):
                one = min(due)
                self.under_way.remove(one)
                self.now, (_, _, member, rumour) = max(self.now, one[0]), one
                if rumour.version >= self.newest[rumour.owner, rumour.key].version or self.lost:
                    self.tell(member, GossipReceived(rumour))
            else:
                self.now = max(self.now, timer[0])
                del self.timers[timer[1]]
                self.tell(timer[1][0], TimerDue(timer[1][1]))
        self.now = until

    def heeds(self, member, kind):
        return [(at, a.news) for at, a in self.told[member] if isinstance(a, Heed) and a.news.kind is kind]

    def lapses(self, member, kind):
        return [at for at, a in self.told[member] if isinstance(a, Lapsed) and a.kind is kind]


def wait(left_us, dest=7, uid=""):
    return Learnt(News(Kind.WAIT, dest, uid, left_us))


def test_the_longest_of_two_told_waits_holds_whatever_comes_first():
    for seed in range(50):
        town = Town(NewsBoard, seed=seed)
        town.tell(NAMES[0], wait(2 * S))
        town.tell(NAMES[1], wait(3 * S))
        town.run(4 * S)
        ends = {at + news.left_us for at, news in town.heeds(NAMES[2], Kind.WAIT)}
        assert max(ends) >= 3 * S
        assert town.lapses(NAMES[2], Kind.WAIT) and town.lapses(NAMES[2], Kind.WAIT)[-1] >= 3 * S


def test_a_wait_told_again_with_an_earlier_end_changes_nothing():
    town = Town(NewsBoard)
    town.tell(NAMES[0], wait(3 * S))
    town.run(S)
    before = len(town.told[NAMES[1]])
    town.tell(NAMES[0], wait(S))
    town.run(2 * S)
    assert len(town.told[NAMES[1]]) == before


def test_news_that_come_late_hold_back_longer_never_less():
    town = Town(NewsBoard)
    town.tell(NAMES[0], wait(S))
    rumour = town.newest[NAMES[0], "news/wait/7"]
    town.under_way.clear()
    town.now = 2 * S  # over by now where it was told
    town.tell(NAMES[1], GossipReceived(rumour))
    assert town.heeds(NAMES[1], Kind.WAIT)[0][1].left_us == S


def test_the_earliest_of_two_drains_holds_and_one_heard_again_runs_from_the_first():
    town = Town(NewsBoard)
    drain = Learnt(News(Kind.DRAIN, 7, "p/1", 2 * S))
    town.tell(NAMES[0], drain)
    town.run(S)
    before = town.newest[NAMES[0], next(k for o, k in town.newest if o == NAMES[0])].version
    town.tell(NAMES[0], drain)
    assert max(r.version for r in town.newest.values()) == before
    town.tell(NAMES[1], drain)
    town.run(2 * S)
    ends = [at + n.left_us for at, n in town.heeds(NAMES[2], Kind.DRAIN)]
    assert min(ends) == ends[-1] <= 2 * S + S // 2


def test_the_least_of_the_limits_holds_until_it_ends():
    town = Town(NewsBoard)
    town.tell(NAMES[0], Learnt(News(Kind.LIMIT, 7, "", 2 * S, 30.0)))
    town.tell(NAMES[1], Learnt(News(Kind.LIMIT, 7, "", 5 * S, 50.0)))
    town.run(6 * S)
    values = [n.value for _, n in town.heeds(NAMES[2], Kind.LIMIT)]
    assert 30.0 in values and values[-1] == 50.0


def test_an_outage_takes_two_witnesses_and_none_that_was_answered_since():
    town = Town(Partners, count=4)
    outage = Learnt(News(Kind.OUTAGE, 7, "", 3 * S))
    town.tell(NAMES[0], outage)
    town.run(S)
    assert not town.heeds(NAMES[2], Kind.OUTAGE)  # it refuses one address alone, for all that is known
    town.now = town.now + 1
    town.tell(NAMES[1], outage)
    town.run(2 * S)
    assert town.heeds(NAMES[2], Kind.OUTAGE) and town.heeds(NAMES[3], Kind.OUTAGE)
    town.now += 1
    town.members[NAMES[3]].answered(town.now, 7)
    town.tell(NAMES[3], Site(tuple(town.members)))
    assert town.lapses(NAMES[3], Kind.OUTAGE)


def test_news_of_a_member_that_died_age_as_if_it_lived():
    town = Town(NewsBoard)
    town.tell(NAMES[0], wait(4 * S))
    town.run(S)
    view = MemberView(NAMES[0], Incarnation(1, 0), 0, State.DEAD, ("127.0.0.1", 1), S)
    town.tell(NAMES[1], MemberChanged(view))
    assert not town.lapses(NAMES[1], Kind.WAIT)
    town.run(6 * S)
    assert 4 * S <= town.lapses(NAMES[1], Kind.WAIT)[0] <= 5 * S


@pytest.mark.parametrize(
    ("key", "body"),
    [
        ("news/wait/x", FORM.pack(0, S, 0.0)),
        ("news/nonsense/7", FORM.pack(0, S, 0.0)),
        ("news/wait/7", b"short"),
        ("news/wait/7", FORM.pack(9, S, 0.0) + b"ab"),
        ("news/limit/7", FORM.pack(0, S, float("nan"))),
        ("news/limit/7", FORM.pack(0, S, -1.0)),
        ("news/limit/7", FORM.pack(0, S, 0.0)),
        ("news/wait", FORM.pack(0, S, 0.0)),
        ("news/drain/7/a", FORM.pack(2, S, 0.0) + b"\xff\xfe"),
    ],
)
def test_nonsense_is_told_and_does_nothing(key, body):
    town = Town(NewsBoard)
    town.tell(NAMES[1], GossipReceived(GossipEntry(NAMES[0], key, 1, body)))
    ((_, note),) = town.told[NAMES[1]]
    assert note.error.code == "news-refused" and not town.members[NAMES[1]].heeded


@pytest.mark.parametrize(
    ("kind", "most_us"),
    [(Kind.WAIT, LONGEST_US), (Kind.FULL, 10 * S), (Kind.LIMIT, 60 * S), (Kind.BACK, 600 * S)],
)
def test_a_span_of_a_year_is_cut_to_what_such_news_may_last_and_told(kind, most_us):
    town = Town(NewsBoard)
    rumour = GossipEntry(NAMES[0], f"news/{kind.value}/7", 1, FORM.pack(0, 365 * 86_400 * S, 2.0))
    town.tell(NAMES[1], GossipReceived(rumour))
    assert town.heeds(NAMES[1], kind)[0][1].left_us == most_us
    assert any(getattr(a, "error", None) for _, a in town.told[NAMES[1]])


def test_what_is_kept_has_an_end():
    board = NewsBoard(NAMES[0], Incarnation(1, 1))
    board.handle(0, Site(tuple(NAMES)))
    for n in range(2 * EACH_MOST):
        board.handle(n, wait(10 * S, dest=n))
        body = FORM.pack(0, 10 * S, 0.0)
        board.handle(n, GossipReceived(GossipEntry(NAMES[1], f"news/wait/{n}", 1, body)))
        board.handle(n, GossipReceived(GossipEntry(MemberId("savannah", "s1"), f"news/wait/{n}", 1, body)))
    assert [len(o.told) for o in board.owners.values()] == [EACH_MOST, EACH_MOST] and board.refused
    board.handle(60 * S, TimerDue("news"))
    assert not board.heeded and not any(o.told for o in board.owners.values())


# A returning partner


def triers(town, dest=7):
    return [m for m, p in town.members.items() if dest in p.trying]


def out(town, names, left_us=3 * S):
    for name in names:
        town.tell(name, Learnt(News(Kind.OUTAGE, 7, "", left_us)))


def test_one_member_tries_and_the_others_hold_back():
    for seed in range(30):
        town = Town(Partners, count=5, seed=seed)
        out(town, NAMES[:3])
        town.run(S)
        assert len(triers(town)) == 1 and triers(town)[0] in NAMES[:3]
        held = [m for m, p in town.members.items() if 7 in p.held]
        assert sorted(held + triers(town)) == NAMES


def test_the_one_that_tries_stays_whoever_finds_it_out_later():
    for seed in range(30):
        town = Town(Partners, count=5, seed=seed)
        later = NAMES[seed % 5 :] + NAMES[: seed % 5]
        out(town, later[:2])
        for turn in range(1, 9):
            town.run(turn * S)
            out(town, later[: min(5, turn + 2)])  # one more each second
        (first,) = triers(town)
        tries = [(at, m, a.on) for m in NAMES for at, a in town.told[m] if isinstance(a, TryFor)]
        assert first in later[:2] and not [t for t in tries if t[0] >= S], tries


def test_where_the_one_that_tries_is_silent_the_next_one_does():
    town = Town(Partners, count=4)
    out(town, NAMES[:3])
    town.run(S)
    (first,) = triers(town)
    rest = [m for m in NAMES[:3] if m != first]
    for turn in range(2, 6):
        out(town, rest)  # the first says nothing any more
        town.run(turn * S)
    assert len(triers(town)) == 1 and triers(town)[0] in rest


def test_a_dead_member_tries_for_nobody():
    town = Town(Partners, count=4)
    out(town, NAMES[:3], 60 * S)
    town.run(S)
    (first,) = triers(town)
    for m in town.members:
        if m != first:
            town.tell(
                m, MemberChanged(MemberView(first, Incarnation(1, 0), 0, State.DEAD, ("127.0.0.1", 1), S))
            )
    others = [m for m in triers(town) if m != first]
    assert len(others) == 1


def test_once_it_answers_all_begin_again():
    town = Town(Partners, count=4)
    out(town, NAMES[:3])
    town.run(S)
    (first,) = triers(town)
    town.members[first].answered(town.now, 7)
    for news in (News(Kind.BACK, 7, "", 12 * S), News(Kind.OUTAGE, 7, "", 0)):
        town.tell(first, Learnt(news))
    for m in NAMES[:3]:
        town.tell(m, Learnt(News(Kind.OUTAGE, 7, "", 0)))
    town.run(3 * S)
    assert not triers(town) and not any(p.held for p in town.members.values())
    assert all(town.heeds(m, Kind.BACK) for m in NAMES[:4] if m != first)
    assert all(town.lapses(m, Kind.OUTAGE) for m in NAMES[:4] if m != first)
    assert any(isinstance(a, TryFor) and not a.on for _, a in town.told[first])


# Doubts


def tells(member, events):
    """What one member spreads at each of these events, a second apart."""
    return [[a for a in member.handle(n * S, e) if isinstance(a, Disseminate)] for n, e in enumerate(events)]


def doubt(town, names, dest=7):
    for name in names:
        town.tell(name, Failed(dest))


def held(town, dest=7):
    return [m for m, p in town.members.items() if dest in p.held]


def test_two_that_doubt_hold_the_others_back_and_go_on_themselves():
    for seed in range(30):
        town = Town(Partners, count=5, seed=seed)
        doubt(town, NAMES[:1])
        town.run(S // 4)
        assert not held(town)  # it may refuse one address alone
        town = Town(Partners, count=5, seed=seed, slow=S // 20)
        town.members[NAMES[4]].answered(0, 7)
        town.now = 1
        for step in range(1, 10):
            doubt(town, [m for m in NAMES[:3] if m not in held(town)])  # whose calls go on to fail
            town.run(step * S // 20)
        seen = {m for m in town.members if town.heeds(m, Kind.DOUBT)}
        assert len(set(NAMES[:3]) - seen) >= 2 and NAMES[4] in seen


def test_doubts_that_come_to_nothing_hold_back_for_a_small_part_of_the_time():
    town = Town(Partners, count=4)
    spans, since = 0, None
    for step in range(1, 1200):
        doubt(town, NAMES[:2])
        town.run(step * S // 10)
        if (NAMES[3] in held(town)) is (since is None):
            spans, since = (spans, town.now) if since is None else (spans + town.now - since, None)
    assert MOMENT_US <= spans <= 0.08 * 120 * S
    moment = town.members[NAMES[3]].moments[7]
    assert moment.rest_us <= REST_MOST_US
    town.run(400 * S)
    town.tell(NAMES[3], Site(tuple(town.members)))
    assert not town.members[NAMES[3]].moments


def test_an_answer_takes_a_doubt_back():
    town = Town(Partners, count=4)
    doubt(town, NAMES[:2])
    town.run(S // 2 - 1)
    assert town.heeds(NAMES[3], Kind.DOUBT)
    for name in NAMES[:2]:
        assert town.members[name].answered(town.now, 7)
        town.tell(name, Answered(7))
        assert not town.members[name].answered(town.now, 7)
    town.run(2 * S)
    assert not held(town) and town.lapses(NAMES[3], Kind.DOUBT)


def test_the_first_two_tell_a_doubt_and_an_outage_at_once_and_the_third_with_the_probes():
    me, others = Partners(NAMES[0], Incarnation(1, 0)), NAMES[1:3]
    me.handle(0, Site(tuple(NAMES)))
    outage = Learnt(News(Kind.OUTAGE, 7, "", 3 * S))
    first, again = tells(me, [outage, Learnt(News(Kind.OUTAGE, 7, "", 5 * S))])
    assert first[0].at_once and again[0].at_once
    for n, other in enumerate(others):
        rumour = GossipEntry(other, "news/outage/8", 1, FORM.pack(0, 9 * S, 0.0))
        me.handle(S, GossipReceived(rumour))
        (told,) = tells(me, [Learnt(News(Kind.OUTAGE, 8, "", 3 * S))])
        assert told[0].at_once is (n == 0)
        me.handle(S, Learnt(News(Kind.OUTAGE, 8, "", 0)))


def test_after_a_turn_without_an_answer_the_next_one_tries():
    town, had = Town(Partners, count=4), []
    for step in range(1, 4 * 22):
        for name in NAMES[:2]:
            town.tell(name, Learnt(News(Kind.OUTAGE, 7, "", 3 * S)))
        town.run(step * S // 4)
        had += [m for m in triers(town) if [m] != had[-1:]]
    assert town.now > 2 * TURN_US and set(had[:2]) == set(NAMES[:2]) and len(had) <= 4


def test_a_return_from_what_was_none_here_changes_nothing():
    town = Town(Partners, count=4)
    town.now = 60 * S
    town.members[NAMES[3]].answered(town.now, 7)
    town.tell(NAMES[0], Learnt(News(Kind.BACK, 7, "", 12 * S)))
    town.run(60 * S + S // 2)
    assert not town.heeds(NAMES[3], Kind.BACK) and town.heeds(NAMES[2], Kind.BACK)


def test_a_return_voids_what_others_still_say_of_the_outage():
    town = Town(Partners, count=5)
    out(town, NAMES[:4], 50 * S)
    town.run(S)
    assert held(town)
    town.tell(triers(town)[0], Learnt(News(Kind.BACK, 7, "", 12 * S)))
    town.run(2 * S)
    rest = [m for m in NAMES if town.heeds(m, Kind.BACK)]
    assert len(rest) == 4 and not set(held(town)) & set(rest)


def test_an_outage_that_nobody_else_sees_is_told_once_with_what_to_do():
    town = Town(Partners, count=3)
    for step in range(40):
        town.tell(NAMES[0], Learnt(News(Kind.OUTAGE, 7, "", 3 * S)))
        town.run(step * S)
    codes = [a.error.code for _, a in town.told[NAMES[0]] if getattr(a, "error", None)]
    assert codes == ["out-alone"] and not held(town)
