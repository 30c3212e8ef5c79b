"""Report ebbf36: a second copy of an endpoint's response breaks no rule, on processes and real sockets."""

import pytest
from soak_copies import Copies
from soak_run import play_scenario
from soak_scenario import Mood, Scenario

MOODS = {Mood.LATE: 0.6, Mood.OVERLOADED_LATE: 0.3, Mood.ERROR: 0.1}
SHARE = 0.3
# Behind its response a copy comes after so many seconds.
SOON_S, LATER_S, MUCH_LATER_S = (0.001, 0.03), (0.03, 0.12), (0.12, 0.5)


def scenario(seed: int, copies: Copies, has_equal_responses: bool = False) -> Scenario:
    """Some hundred messages over a few kept connections, no signals."""
    return Scenario(
        seed,
        clients=4,
        rate_per_s=50.0,
        pipeline_max=1,
        in_pieces=False,
        crowd=0,
        sockets=512,
        moods=MOODS,
        events=(),
        has_equal_responses=has_equal_responses,
        copies=copies,
    )


@pytest.mark.parametrize("has_equal_responses", [False, True])
def test_without_copies_the_run_breaks_no_rule(tmp_path, has_equal_responses):
    outcome = play_scenario(scenario(1, Copies(0.0, SOON_S), has_equal_responses), tmp_path)
    assert not outcome.violations and not outcome.is_void, outcome.line()


@pytest.mark.parametrize("delay_s", [SOON_S, LATER_S, MUCH_LATER_S])
def test_a_second_copy_of_a_response_that_differs_from_others_is_not_taken_for_another(tmp_path, delay_s):
    outcome = play_scenario(scenario(1, Copies(SHARE, delay_s)), tmp_path)
    assert not outcome.violations and not outcome.is_void, outcome.line()


def test_a_second_copy_of_a_response_is_not_taken_for_the_next_requests_response(tmp_path):
    outcomes = [
        play_scenario(
            scenario(1, Copies(SHARE, delay_s), has_equal_responses=True), tmp_path / str(delay_s[0])
        )
        for delay_s in (SOON_S, LATER_S)
    ]
    assert not [outcome.line() for outcome in outcomes if outcome.violations or outcome.is_void]
