"""One site of couriers that share, on the virtual loop, judged from outside."""

from madderbeam.simulation.sharing import play


def test_a_site_without_faults_delivers_all_that_its_limits_allow():
    report = play(10, faults=False)
    assert not report.line and report.delivered == report.messages > 40


def test_a_seed_gives_the_same_trace_again():
    first, second = (play(59, trace=True).trace for _ in range(2))
    assert first == second and any("tells nonsense" in line for line in first)


def test_leases_that_members_return_as_they_are_told_to_end_are_given_out_in_time():
    # Rule S2 counted from the last start or death, and not from SIGTERM, at which a member returns its leases.
    for seed in (5, 17):
        assert not play(seed, members=4, kinds=("terminate",)).line
