"""Findings gossiped in a site: merged by kind, bounded, confirmed by two reporters; one member probes."""

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
from madderbeam.shared.findings import BODY_FORMAT, DURATION_MAX_US, SUBJECTS_PER_MEMBER_MAX, FindingsBoard
from madderbeam.shared.partner_outages import (
    COOL_DOWN_MAX_US,
    HOLD_OFF_MAX_US,
    PROBING_TURN_US,
    PartnerOutages,
)
from madderbeam.shared.values import (
    ApplyFinding,
    CallAnswered,
    CallFailed,
    Finding,
    FindingExpired,
    FindingKind,
    LocalFinding,
    SetProbing,
    SiteMembers,
)

S = 1_000_000
NAMES = [MemberId("macon", f"m{n}") for n in range(5)]


class GossipNetwork:
    """Members whose gossip entries reach each other after a random time, or never."""

    def __init__(self, make, count=3, seed=1, lost=0.0, slow=S // 2):
        self.chance, self.lost, self.now, self.slow = random.Random(seed), lost, 0, slow
        self.members = {m: make(m, Incarnation(1, n)) for n, m in enumerate(NAMES[:count])}
        self.actions = {m: [] for m in self.members}
        self.under_way, self.timers = [], {}
        self.newest = {}
        for m in self.members:
            self.tell(m, SiteMembers(tuple(self.members)))

    def tell(self, member, event):
        for action in self.members[member].handle(self.now, event):
            if isinstance(action, Disseminate):
                entry = GossipEntry(member, action.key, action.version, action.body, action.keep_us)
                self.newest[member, action.key] = entry
                for other in self.members:
                    if other != member and self.chance.random() >= self.lost:
                        at = self.now + self.chance.randrange(self.slow)
                        self.under_way.append((at, len(self.under_way), other, entry))
            elif isinstance(action, SetTimer):
                self.timers[member, action.token] = action.at_us
            else:
                self.actions[member].append((self.now, action))

    def run(self, until):
        """Entries arrive in any order; an older version than the newest is dropped, as in membership."""
        while True:
            due = [(at, n, m, r) for at, n, m, r in self.under_way if at <= until]
            timer = min(((at, m) for m, at in self.timers.items() if at <= until), default=None)
            if not due and timer is None:
                break
            if due and (timer is None or min(due)[0] <= timer[0]):
                one = min(due)
                self.under_way.remove(one)
                self.now, (_, _, member, entry) = max(self.now, one[0]), one
                if entry.version >= self.newest[entry.owner, entry.key].version or self.lost:
                    self.tell(member, GossipReceived(entry))
            else:
                self.now = max(self.now, timer[0])
                del self.timers[timer[1]]
                self.tell(timer[1][0], TimerDue(timer[1][1]))
        self.now = until

    def heeds(self, member, kind):
        return [
            (at, a.finding)
            for at, a in self.actions[member]
            if isinstance(a, ApplyFinding) and a.finding.kind is kind
        ]

    def lapses(self, member, kind):
        return [at for at, a in self.actions[member] if isinstance(a, FindingExpired) and a.kind is kind]


def wait(left_us, dest=7, uid=""):
    return LocalFinding(Finding(FindingKind.RETRY_AFTER, dest, uid, left_us))


def test_the_longest_of_two_waits_wins_in_any_order():
    for seed in range(50):
        net = GossipNetwork(FindingsBoard, seed=seed)
        net.tell(NAMES[0], wait(2 * S))
        net.tell(NAMES[1], wait(3 * S))
        net.run(4 * S)
        ends = {at + finding.left_us for at, finding in net.heeds(NAMES[2], FindingKind.RETRY_AFTER)}
        assert max(ends) >= 3 * S
        assert (
            net.lapses(NAMES[2], FindingKind.RETRY_AFTER)
            and net.lapses(NAMES[2], FindingKind.RETRY_AFTER)[-1] >= 3 * S
        )


def test_a_repeated_wait_with_an_earlier_end_changes_nothing():
    net = GossipNetwork(FindingsBoard)
    net.tell(NAMES[0], wait(3 * S))
    net.run(S)
    before = len(net.actions[NAMES[1]])
    net.tell(NAMES[0], wait(S))
    net.run(2 * S)
    assert len(net.actions[NAMES[1]]) == before


def test_a_delayed_finding_restricts_for_longer_never_shorter():
    net = GossipNetwork(FindingsBoard)
    net.tell(NAMES[0], wait(S))
    entry = net.newest[NAMES[0], "news/wait/7"]
    net.under_way.clear()
    net.now = 2 * S  # expired by now at its reporter
    net.tell(NAMES[1], GossipReceived(entry))
    assert net.heeds(NAMES[1], FindingKind.RETRY_AFTER)[0][1].left_us == S


def test_the_earliest_of_two_drains_wins_and_a_repeated_one_keeps_its_start():
    net = GossipNetwork(FindingsBoard)
    drain = LocalFinding(Finding(FindingKind.DRAIN, 7, "p/1", 2 * S))
    net.tell(NAMES[0], drain)
    net.run(S)
    before = net.newest[NAMES[0], next(k for o, k in net.newest if o == NAMES[0])].version
    net.tell(NAMES[0], drain)
    assert max(r.version for r in net.newest.values()) == before
    net.tell(NAMES[1], drain)
    net.run(2 * S)
    ends = [at + n.left_us for at, n in net.heeds(NAMES[2], FindingKind.DRAIN)]
    assert min(ends) == ends[-1] <= 2 * S + S // 2


def test_the_lowest_rate_limit_wins_until_it_expires():
    net = GossipNetwork(FindingsBoard)
    net.tell(NAMES[0], LocalFinding(Finding(FindingKind.RATE_LIMIT, 7, "", 2 * S, 30.0)))
    net.tell(NAMES[1], LocalFinding(Finding(FindingKind.RATE_LIMIT, 7, "", 5 * S, 50.0)))
    net.run(6 * S)
    values = [n.value for _, n in net.heeds(NAMES[2], FindingKind.RATE_LIMIT)]
    assert 30.0 in values and values[-1] == 50.0


def test_an_outage_takes_two_reporters_and_no_answer_since():
    net = GossipNetwork(PartnerOutages, count=4)
    outage = LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 3 * S))
    net.tell(NAMES[0], outage)
    net.run(S)
    assert not net.heeds(NAMES[2], FindingKind.OUTAGE)  # as far as is known, it refuses one address only
    net.now = net.now + 1
    net.tell(NAMES[1], outage)
    net.run(2 * S)
    assert net.heeds(NAMES[2], FindingKind.OUTAGE) and net.heeds(NAMES[3], FindingKind.OUTAGE)
    net.now += 1
    net.members[NAMES[3]].answered(net.now, 7)
    net.tell(NAMES[3], SiteMembers(tuple(net.members)))
    assert net.lapses(NAMES[3], FindingKind.OUTAGE)


def test_findings_of_a_dead_member_expire_as_usual():
    net = GossipNetwork(FindingsBoard)
    net.tell(NAMES[0], wait(4 * S))
    net.run(S)
    view = MemberView(NAMES[0], Incarnation(1, 0), 0, State.DEAD, ("127.0.0.1", 1), S)
    net.tell(NAMES[1], MemberChanged(view))
    assert not net.lapses(NAMES[1], FindingKind.RETRY_AFTER)
    net.run(6 * S)
    assert 4 * S <= net.lapses(NAMES[1], FindingKind.RETRY_AFTER)[0] <= 5 * S


@pytest.mark.parametrize(
    ("key", "body"),
    [
        ("news/wait/x", BODY_FORMAT.pack(0, S, 0.0)),
        ("news/nonsense/7", BODY_FORMAT.pack(0, S, 0.0)),
        ("news/wait/7", b"short"),
        ("news/wait/7", BODY_FORMAT.pack(9, S, 0.0) + b"ab"),
        ("news/limit/7", BODY_FORMAT.pack(0, S, float("nan"))),
        ("news/limit/7", BODY_FORMAT.pack(0, S, -1.0)),
        ("news/limit/7", BODY_FORMAT.pack(0, S, 0.0)),
        ("news/wait", BODY_FORMAT.pack(0, S, 0.0)),
        ("news/drain/7/a", BODY_FORMAT.pack(2, S, 0.0) + b"\xff\xfe"),
    ],
)
def test_malformed_findings_are_logged_and_have_no_effect(key, body):
    net = GossipNetwork(FindingsBoard)
    net.tell(NAMES[1], GossipReceived(GossipEntry(NAMES[0], key, 1, body)))
    ((_, line),) = net.actions[NAMES[1]]
    assert line.error.code == "news-refused" and not net.members[NAMES[1]].applied


@pytest.mark.parametrize(
    ("kind", "most_us"),
    [
        (FindingKind.RETRY_AFTER, DURATION_MAX_US),
        (FindingKind.TABLE_FULL, 10 * S),
        (FindingKind.RATE_LIMIT, 60 * S),
        (FindingKind.RECOVERY, 600 * S),
    ],
)
def test_a_duration_of_a_year_is_cut_and_logged(kind, most_us):
    net = GossipNetwork(FindingsBoard)
    entry = GossipEntry(NAMES[0], f"news/{kind.value}/7", 1, BODY_FORMAT.pack(0, 365 * 86_400 * S, 2.0))
    net.tell(NAMES[1], GossipReceived(entry))
    assert net.heeds(NAMES[1], kind)[0][1].left_us == most_us
    assert any(getattr(a, "error", None) for _, a in net.actions[NAMES[1]])


def test_what_is_stored_is_bounded():
    board = FindingsBoard(NAMES[0], Incarnation(1, 1))
    board.handle(0, SiteMembers(tuple(NAMES)))
    for n in range(2 * SUBJECTS_PER_MEMBER_MAX):
        board.handle(n, wait(10 * S, dest=n))
        body = BODY_FORMAT.pack(0, 10 * S, 0.0)
        board.handle(n, GossipReceived(GossipEntry(NAMES[1], f"news/wait/{n}", 1, body)))
        board.handle(n, GossipReceived(GossipEntry(MemberId("savannah", "s1"), f"news/wait/{n}", 1, body)))
    assert [len(o.records) for o in board.owners.values()] == [
        SUBJECTS_PER_MEMBER_MAX,
        SUBJECTS_PER_MEMBER_MAX,
    ] and board.refused
    board.handle(60 * S, TimerDue("news"))
    assert not board.applied and not any(o.records for o in board.owners.values())


# A returning partner


def probers(net, dest=7):
    return [m for m, p in net.members.items() if dest in p.probing]


def report_outage(net, names, left_us=3 * S):
    for name in names:
        net.tell(name, LocalFinding(Finding(FindingKind.OUTAGE, 7, "", left_us)))


def test_one_member_probes_and_the_others_hold_off():
    for seed in range(30):
        net = GossipNetwork(PartnerOutages, count=5, seed=seed)
        report_outage(net, NAMES[:3])
        net.run(S)
        assert len(probers(net)) == 1 and probers(net)[0] in NAMES[:3]
        held = [m for m, p in net.members.items() if 7 in p.held_off]
        assert sorted(held + probers(net)) == NAMES


def test_the_prober_stays_whoever_reports_the_outage_later():
    for seed in range(30):
        net = GossipNetwork(PartnerOutages, count=5, seed=seed)
        later = NAMES[seed % 5 :] + NAMES[: seed % 5]
        report_outage(net, later[:2])
        for turn in range(1, 9):
            net.run(turn * S)
            report_outage(net, later[: min(5, turn + 2)])  # one more each second
        (first,) = probers(net)
        tries = [(at, m, a.enabled) for m in NAMES for at, a in net.actions[m] if isinstance(a, SetProbing)]
        assert first in later[:2] and not [t for t in tries if t[0] >= S], tries


def test_the_next_member_probes_when_the_prober_stops_reporting():
    net = GossipNetwork(PartnerOutages, count=4)
    report_outage(net, NAMES[:3])
    net.run(S)
    (first,) = probers(net)
    rest = [m for m in NAMES[:3] if m != first]
    for turn in range(2, 6):
        report_outage(net, rest)  # the first no longer reports the outage
        net.run(turn * S)
    assert len(probers(net)) == 1 and probers(net)[0] in rest


def test_a_dead_member_is_not_the_prober():
    net = GossipNetwork(PartnerOutages, count=4)
    report_outage(net, NAMES[:3], 60 * S)
    net.run(S)
    (first,) = probers(net)
    for m in net.members:
        if m != first:
            net.tell(
                m, MemberChanged(MemberView(first, Incarnation(1, 0), 0, State.DEAD, ("127.0.0.1", 1), S))
            )
    others = [m for m in probers(net) if m != first]
    assert len(others) == 1


def test_all_resume_once_the_partner_answers():
    net = GossipNetwork(PartnerOutages, count=4)
    report_outage(net, NAMES[:3])
    net.run(S)
    (first,) = probers(net)
    net.members[first].answered(net.now, 7)
    for finding in (Finding(FindingKind.RECOVERY, 7, "", 12 * S), Finding(FindingKind.OUTAGE, 7, "", 0)):
        net.tell(first, LocalFinding(finding))
    for m in NAMES[:3]:
        net.tell(m, LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 0)))
    net.run(3 * S)
    assert not probers(net) and not any(p.held_off for p in net.members.values())
    assert all(net.heeds(m, FindingKind.RECOVERY) for m in NAMES[:4] if m != first)
    assert all(net.lapses(m, FindingKind.OUTAGE) for m in NAMES[:4] if m != first)
    assert any(isinstance(a, SetProbing) and not a.enabled for _, a in net.actions[first])


# Suspicions


def disseminated(member, events):
    """What one member disseminates at each of these events, a second apart."""
    return [[a for a in member.handle(n * S, e) if isinstance(a, Disseminate)] for n, e in enumerate(events)]


def suspect(net, names, dest=7):
    for name in names:
        net.tell(name, CallFailed(dest))


def held(net, dest=7):
    return [m for m, p in net.members.items() if dest in p.held_off]


def test_two_suspicions_make_the_others_hold_off():
    for seed in range(30):
        net = GossipNetwork(PartnerOutages, count=5, seed=seed)
        suspect(net, NAMES[:1])
        net.run(S // 4)
        assert not held(net)  # it may refuse one address only
        net = GossipNetwork(PartnerOutages, count=5, seed=seed, slow=S // 20)
        net.members[NAMES[4]].answered(0, 7)
        net.now = 1
        for step in range(1, 10):
            suspect(net, [m for m in NAMES[:3] if m not in held(net)])  # whose calls keep failing
            net.run(step * S // 20)
        seen = {m for m in net.members if net.heeds(m, FindingKind.SUSPICION)}
        assert len(set(NAMES[:3]) - seen) >= 2 and NAMES[4] in seen


def test_unconfirmed_suspicions_hold_off_for_a_small_part_of_the_time():
    net = GossipNetwork(PartnerOutages, count=4)
    spans, since = 0, None
    for step in range(1, 1200):
        suspect(net, NAMES[:2])
        net.run(step * S // 10)
        if (NAMES[3] in held(net)) is (since is None):
            spans, since = (spans, net.now) if since is None else (spans + net.now - since, None)
    assert HOLD_OFF_MAX_US <= spans <= 0.08 * 120 * S
    moment = net.members[NAMES[3]].hold_offs[7]
    assert moment.cool_down_us <= COOL_DOWN_MAX_US
    net.run(400 * S)
    net.tell(NAMES[3], SiteMembers(tuple(net.members)))
    assert not net.members[NAMES[3]].hold_offs


def test_an_answer_withdraws_a_suspicion():
    net = GossipNetwork(PartnerOutages, count=4)
    suspect(net, NAMES[:2])
    net.run(S // 2 - 1)
    assert net.heeds(NAMES[3], FindingKind.SUSPICION)
    for name in NAMES[:2]:
        assert net.members[name].answered(net.now, 7)
        net.tell(name, CallAnswered(7))
        assert not net.members[name].answered(net.now, 7)
    net.run(2 * S)
    assert not held(net) and net.lapses(NAMES[3], FindingKind.SUSPICION)


def test_two_reporters_disseminate_at_once_and_the_third_with_the_probes():
    me, others = PartnerOutages(NAMES[0], Incarnation(1, 0)), NAMES[1:3]
    me.handle(0, SiteMembers(tuple(NAMES)))
    outage = LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 3 * S))
    first, again = disseminated(me, [outage, LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 5 * S))])
    assert first[0].at_once and again[0].at_once
    for n, other in enumerate(others):
        entry = GossipEntry(other, "news/outage/8", 1, BODY_FORMAT.pack(0, 9 * S, 0.0))
        me.handle(S, GossipReceived(entry))
        (sent,) = disseminated(me, [LocalFinding(Finding(FindingKind.OUTAGE, 8, "", 3 * S))])
        assert sent[0].at_once is (n == 0)
        me.handle(S, LocalFinding(Finding(FindingKind.OUTAGE, 8, "", 0)))


def test_after_a_turn_without_an_answer_the_next_member_probes():
    net, had = GossipNetwork(PartnerOutages, count=4), []
    for step in range(1, 4 * 22):
        for name in NAMES[:2]:
            net.tell(name, LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 3 * S)))
        net.run(step * S // 4)
        had += [m for m in probers(net) if [m] != had[-1:]]
    assert net.now > 2 * PROBING_TURN_US and set(had[:2]) == set(NAMES[:2]) and len(had) <= 4


def test_a_recovery_from_an_outage_unseen_here_changes_nothing():
    net = GossipNetwork(PartnerOutages, count=4)
    net.now = 60 * S
    net.members[NAMES[3]].answered(net.now, 7)
    net.tell(NAMES[0], LocalFinding(Finding(FindingKind.RECOVERY, 7, "", 12 * S)))
    net.run(60 * S + S // 2)
    assert not net.heeds(NAMES[3], FindingKind.RECOVERY) and net.heeds(NAMES[2], FindingKind.RECOVERY)


def test_a_recovery_voids_remaining_outage_reports():
    net = GossipNetwork(PartnerOutages, count=5)
    report_outage(net, NAMES[:4], 50 * S)
    net.run(S)
    assert held(net)
    net.tell(probers(net)[0], LocalFinding(Finding(FindingKind.RECOVERY, 7, "", 12 * S)))
    net.run(2 * S)
    rest = [m for m in NAMES if net.heeds(m, FindingKind.RECOVERY)]
    assert len(rest) == 4 and not set(held(net)) & set(rest)


def test_an_outage_that_no_other_member_sees_is_logged_once():
    net = GossipNetwork(PartnerOutages, count=3)
    for step in range(40):
        net.tell(NAMES[0], LocalFinding(Finding(FindingKind.OUTAGE, 7, "", 3 * S)))
        net.run(step * S)
    codes = [a.error.code for _, a in net.actions[NAMES[0]] if getattr(a, "error", None)]
    assert codes == ["out-alone"] and not held(net)
