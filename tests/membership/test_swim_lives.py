"""Incarnations: durable start counts, the highest incarnations seen, and detection of restored state."""

import random

from swimnet import Net, S

from madderbeam.federation.errors import FolderOlder
from madderbeam.membership.incarnations import next_incarnation
from madderbeam.membership.membership import Membership
from madderbeam.membership.messages import Ack, MemberReport, Ping
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import (
    DatagramReceived,
    Incarnation,
    LogLine,
    MemberId,
    PauseDetected,
    Persist,
    RollbackDetected,
    SendDatagram,
    SetTimer,
    State,
    TimerDue,
    WriteFailed,
)  # fmt: skip

ME, X, C = MemberId("a", "1"), MemberId("b", "2"), MemberId("c", "3")


def alive(member, word=0, start=1, nonce=7):
    return MemberReport(member, Incarnation(start, nonce), word, State.ALIVE, (member.site, 7000))


def lone(records=None, **settings):
    records = records or {}
    life = next_incarnation(records, 5)
    m = Membership(MembershipSettings(**settings), ME, life, ("a", 7000), (), {}, random.Random(1), records)
    return m, m.start(0)


def sent(actions):
    return [a.message for a in actions if isinstance(a, SendDatagram)]


def of(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


def test_each_start_is_counted_and_written_before_anything_is_sent():
    m, actions = lone({("life", "own"): 4})
    assert m.incarnation == Incarnation(5, 5)
    assert [type(a) for a in actions[:2]] == [SetTimer, Persist] and actions[1] == Persist("life", "own", 5)


def test_nothing_is_sent_while_the_own_start_is_not_on_disk():
    net = Net(1)
    seed = net.add(MemberId("b", "2"))
    node = net.add(ME, start=False)
    node.disk_fails, net.sent = True, []
    net.start(node, seeds=[seed.address])
    net.until(20 * S)
    assert seed.machine.views() == [] and not net.sent
    node.disk_fails = False
    assert net.until(60 * S, lambda: net.agree() and bool(seed.machine.alive()))
    assert node.records["life", "own"] == 1


def test_nothing_is_sent_between_a_failed_write_and_its_retry():
    m, _ = lone()
    m.handle(1, WriteFailed("life", "own"))
    assert not sent(m.handle(2, DatagramReceived(Ping(1, alive(X), ME), ("b", 1))))
    again = [a for n in range(1, 9) for a in m.handle(n * S // 4, TimerDue("membership"))]
    assert Persist("life", "own", 1) in again
    assert sent(m.handle(3 * S, DatagramReceived(Ping(1, alive(X), ME), ("b", 1))))


def test_after_a_pause_suspicions_are_cleared_and_outdated_reports_not_forwarded():
    m, _ = lone()
    suspect = MemberReport(X, Incarnation(1, 7), 0, State.SUSPECT, ("b", 7000), accuser=C)
    for ping in (Ping(1, alive(X), ME), Ping(1, alive(C), ME, reports=(suspect,))):
        m.handle(1, DatagramReceived(ping, ("b", 1)))
    assert m.view(X).state is State.SUSPECT
    assert of(m.handle(12 * S, TimerDue("membership")), PauseDetected) and m.view(X).state is State.ALIVE
    waited = Ping(2, alive(C), ME, reports=(suspect,))  # it waited in the socket during the pause
    answer = sent(m.handle(12 * S + 1, DatagramReceived(waited, ("c", 1))))[0]
    assert {r.id for r in answer.reports} <= {ME}


def test_an_accused_member_is_notified_first_and_refutes_in_its_ack():
    m, _ = lone()
    m.handle(1, DatagramReceived(Ping(1, alive(X), ME), ("b", 1)))
    suspect = MemberReport(X, Incarnation(1, 7), 0, State.SUSPECT, ("b", 7000), accuser=C)
    m.handle(2, DatagramReceived(Ping(1, alive(C), ME, reports=(suspect,)), ("c", 1)))
    told = [p for at in range(1, 20) for p in sent(m.handle(at * S // 4, TimerDue("membership")))
            if isinstance(p, Ping) and p.target == X]  # fmt: skip
    assert told and told[0].reports[0] == suspect
    accused = Membership(
        MembershipSettings(), X, Incarnation(1, 7), ("b", 7000), (), {}, random.Random(2), {}
    )
    accused.start(0)
    answer = sent(accused.handle(1, DatagramReceived(told[0], ("a", 1))))[0]
    assert isinstance(answer, Ack) and answer.sender.refutation == 1 and answer.sender.state is State.ALIVE
    m.handle(5 * S, DatagramReceived(answer, ("b", 1)))
    assert m.view(X).state is State.ALIVE and m.view(X).refutation == 1


def test_a_death_reported_by_one_member_is_an_accusation():
    m, _ = lone()
    for one in (X, C):
        m.handle(1, DatagramReceived(Ping(1, alive(one), ME), ("b", 1)))
    dead = MemberReport(X, Incarnation(1, 7), 0, State.DEAD, ("b", 7000), accuser=C)
    m.handle(2, DatagramReceived(Ping(2, alive(C), ME, reports=(dead, dead)), ("c", 1)))
    assert m.view(X).state is State.SUSPECT
    d = MemberId("d", "4")
    also = MemberReport(X, Incarnation(1, 7), 0, State.SUSPECT, ("b", 7000), accuser=d)
    m.handle(3, DatagramReceived(Ping(2, alive(d), ME, reports=(also,)), ("d", 1)))
    m.handle(4, DatagramReceived(Ping(3, alive(C), ME, reports=(dead,)), ("c", 1)))
    assert m.view(X).state is State.DEAD


def test_restored_state_is_detected_after_all_members_restarted():
    net = Net(2)
    nodes = net.grow(5)
    old = nodes[2]
    copy = dict(old.records)
    for _ in range(3):
        net.kill(old)
        net.until(net.now + 2 * S)
        net.start(old, seeds=[nodes[0].address])
        net.until(net.now + 10 * S)
    assert not [a for _, a in old.log if isinstance(a, RollbackDetected)]
    for node in nodes:
        net.kill(node)
    old.records = copy
    for node in nodes:
        net.start(node, seeds=[nodes[0].address])
    begin = net.now
    net.until(begin + 20 * S)
    found = [a for at, a in old.log if at >= begin and isinstance(a, RollbackDetected)]
    assert len(found) == 1 and found[0].seen.start == 4 and found[0].current.start == 2
    notes = [a.error for _, a in old.log if isinstance(a, LogLine)]
    assert isinstance(notes[0], FolderOlder) and "start 4" in notes[0].line()
    assert old.records["life", "own"] == 5 and net.agree()
    assert not [a for n in nodes if n is not old for _, a in n.log if isinstance(a, RollbackDetected)]


def test_two_processes_on_copied_state_detect_each_other_and_raise_starts_at_a_bounded_rate():
    m, _ = lone({("life", "own"): 4})
    actions = []
    for at in range(200):
        twin = alive(ME, start=m.incarnation.start, nonce=9)
        actions += m.handle(at * S // 4, DatagramReceived(Ping(1, twin, ME), ("z", 1)))
    assert len(of(actions, RollbackDetected)) == 2  # one per exchange period in 50 s
    order = [type(a) for a in actions if isinstance(a, (RollbackDetected, Persist))]
    assert order[0] is RollbackDetected and of(actions, Persist)[-1] == Persist(
        "life", "own", m.incarnation.start
    )


def test_a_member_with_an_outdated_incarnation_learns_the_higher_one():
    m, _ = lone({("life", "b/2"): [9, 1]})
    answer = sent(m.handle(1, DatagramReceived(Ping(1, alive(X, start=3), ME), ("b", 1))))[0]
    assert answer.reports[0].incarnation == Incarnation(9, 1) and m.view(X) is None


def test_highest_incarnations_are_rewritten_after_a_failed_write():
    m, _ = lone()
    row = Persist("life", "b/2", [1, 7])
    assert row in m.handle(1, DatagramReceived(Ping(1, alive(X), ME), ("b", 1)))
    assert not of(m.handle(2, WriteFailed("life", "b/2")), Persist)  # not at once: the disk may keep failing
    later = [a for n in range(1, 50) for a in m.handle(n * S // 4, TimerDue("membership"))]
    assert later.count(row) == 1
