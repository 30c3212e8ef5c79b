"""The need by arrivals: a large one follows within a second or two, a small one is not shaken by chance."""

import random

from madderbeam.shared.rate_meter import NEED_FRACTION, RateMeter

STEP_S = 0.1


def seen(rate, seconds, meter, chance):
    """The needs reported while messages arrive at random at this rate."""
    needs = []
    for _ in range(round(seconds / STEP_S)):
        arrivals, gap = 0, chance.expovariate(1)
        while gap < rate * STEP_S:
            arrivals, gap = arrivals + 1, gap + chance.expovariate(1)
        meter.record_arrivals(arrivals, STEP_S)
        needs.append(meter.needed_rate())
    return needs


def test_a_large_need_follows_within_two_seconds():
    for seed in range(20):
        chance, meter = random.Random(seed), RateMeter()
        seen(20, 20, meter, chance)
        assert seen(200, 2, meter, chance)[-1] > 100
        assert seen(5, 4, meter, chance)[-1] < 30


def test_a_small_need_is_smoothed():
    chance, meter = random.Random(1), RateMeter()
    seen(2, 20, meter, chance)
    needs = seen(2, 200, meter, chance)
    mean = sum(needs) / len(needs)
    deviation = (sum((n - mean) ** 2 for n in needs) / len(needs)) ** 0.5
    assert (
        abs(mean / NEED_FRACTION - 2) < 0.3 and deviation < 0.75
    )  # the standard deviation of single steps is 4.5


def test_the_backlog_counts_and_an_empty_span_changes_nothing():
    meter = RateMeter()
    assert meter.needed_rate() == 0 and meter.needed_rate(100) > 0
    meter.record_arrivals(0, 0.0)
    assert meter.rate == 0
