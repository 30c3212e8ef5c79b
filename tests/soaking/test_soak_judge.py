"""The soak's judgment of a run, on made-up notes."""

from soak_clients import Request
from soak_judge import Course, Judge
from soak_scenario import draw
from soak_world import Notes


def answered(at_s, answer, number=1):
    return Request(f"{number:016x}", "safe", "", "0" * 16, 1000, at_s, answer, at_s, is_written=True)


def service(requests, **course):
    found = Judge(draw(1), Notes(), requests, Course(ended_s=100.0, **course)).violations()
    return [violation for violation in found if violation.startswith("service")]


REFUSED = [answered(10 + n * 0.3, "-BUSY 500") for n in range(15)]


def test_a_courier_that_turns_back_all_for_four_seconds_is_found():
    assert service(REFUSED)


def test_one_message_taken_on_between_is_service():
    assert not service([*REFUSED[:8], answered(12.2, "+OK"), *REFUSED[8:]])


def test_what_is_turned_back_around_a_restart_is_not_counted():
    assert not service(REFUSED, restarts=[(11.0, 12.5)])
