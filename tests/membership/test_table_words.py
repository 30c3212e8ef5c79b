"""The member table by itself: which report on which incarnation takes precedence."""

from dataclasses import replace

import pytest

from madderbeam.membership.local_health import LocalHealth
from madderbeam.membership.member_table import MemberTable
from madderbeam.membership.messages import MemberReport
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import Incarnation, MemberId, State

S = 1_000_000
ME, ONE, TWO = (MemberId("macon", f"m{n}") for n in (1, 2, 3))
NOW = MemberReport(ONE, Incarnation(2, 7), 3, State.ALIVE, ("127.0.0.1", 7946))


def table(**settings):
    made = MemberTable(MembershipSettings(**settings), ME)
    assert made.merge(0, NOW)
    return made


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize(
    "earlier",
    [{"refutation": 2}, {"incarnation": Incarnation(1, 9), "refutation": 8}],
    ids=["refutation", "incarnation"],
)
def test_a_report_on_an_earlier_incarnation_changes_nothing(state, earlier):
    known = table()
    assert not known.merge(S, replace(NOW, state=state, accuser=TWO, **earlier))
    member = known.members[ONE]
    assert (member.state, member.refutation, member.incarnation, member.suspicion) == (
        State.ALIVE,
        3,
        Incarnation(2, 7),
        None,
    )
    assert not known.suspects


def test_a_removed_member_returns_only_with_a_higher_refutation_number():
    known = table()
    known.declare_dead(S, known.members[ONE], TWO)
    assert known.remove_old(S + known.settings.dead_retention_us) == [ONE]
    later = 2 * S + known.settings.dead_retention_us
    # an outdated report from a member that has not learned of the death
    assert not known.merge(later, NOW) and ONE not in known.members
    assert known.merge(later, replace(NOW, refutation=4)) and known.members[ONE].is_live


def test_a_full_table_removes_the_member_dead_for_longest():
    known = table(members_most=3)
    others = [MemberId("rome", f"m{n}") for n in range(3)]
    for n, other in enumerate(others[:2]):
        assert known.merge(0, replace(NOW, id=other))
        known.declare_dead(S + n, known.members[other], TWO)
    assert known.merge(2 * S, replace(NOW, id=others[2]))
    assert known.members.keys() == {ONE, others[1], others[2]}


def test_a_death_declared_in_isolation_is_reported_as_alive():
    known = table()
    known.declare_dead(S, known.members[ONE], ME, only_locally=True)
    assert known.report(2 * S, known.members[ONE]).state is State.ALIVE
    known.merge(2 * S, replace(NOW, state=State.DEAD, accuser=TWO))  # another member confirms it
    assert known.report(2 * S, known.members[ONE]).state is State.DEAD


def test_local_health_changes_in_single_steps_within_its_bounds():
    health = LocalHealth(3)
    for _ in range(5):
        health.worsen()
    health.improve()
    assert health.score == 2 and health.stretched_us(S) == 3 * S
    for _ in range(5):
        health.improve()
    assert health.score == 0 and health.stretched_us(S) == S
