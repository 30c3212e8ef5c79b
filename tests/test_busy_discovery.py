"""A discovery that is overbooked recovers, since those that it turns away ask less and less."""

import random

import pytest

from madderbeam.transport.discovery import Backoff

PATIENCE_S, QUEUE, COURIERS = 2.0, 6, 28


def list_served(serve_s, wait_of):
    """Couriers that got a list within a minute, from a discovery that needs `serve_s` for each and gives an
    answer up that took over 2 s. `wait_of(backoff)` is the wait of one that was turned away."""
    rests = [(0.0, k) for k in range(COURIERS)]
    backoffs = [Backoff(random.Random(k)) for k in range(COURIERS)]
    queue, free, served = [], 0.0, 0
    while rests:
        rests.sort()
        now, k = rests.pop(0)
        if now > 60:
            break
        queue = [end for end in queue if end > now]
        begun = max(free, now)
        if len(queue) >= QUEUE:
            rests.append((now + wait_of(backoffs[k]), k))
        elif begun + serve_s - now > PATIENCE_S:  # its work is done for nothing
            free = begun + serve_s
            queue.append(free)
            rests.append((now + PATIENCE_S + wait_of(backoffs[k]), k))
        else:
            free = begun + serve_s
            queue.append(free)
            served += 1
    return served


@pytest.mark.parametrize("serve_s", [0.35, 0.45])
def test_all_couriers_get_in_one_after_the_other(serve_s):
    assert list_served(serve_s, Backoff.busy) == COURIERS


def test_at_the_pace_of_lost_connections_it_would_stay_overbooked():
    assert list_served(0.45, Backoff.next) < COURIERS / 2


def test_a_list_that_came_makes_the_waits_short_again():
    backoff = Backoff(random.Random(1))
    for _ in range(8):
        assert backoff.busy() >= 0.5
    assert backoff.ceiling == 16
    assert backoff.next() >= 4  # nor does a lost connection make them shorter
    backoff.reset()
    assert backoff.next() <= 0.1
