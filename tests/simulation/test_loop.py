"""The virtual loop: time jumps, order is drawn from the seed, what is dead does not run."""

import asyncio

import pytest

from madderbeam.simulation.loop import Killed, ProcessLoop, Scheduler, Spinning


def test_time_jumps_to_what_is_due_next():
    scheduler = Scheduler(1)
    loop, seen = ProcessLoop(scheduler), []
    loop.call_later(3600, lambda: seen.append(loop.time()))
    loop.call_later(0.5, lambda: seen.append(loop.time()))
    scheduler.run(4_000_000_000)
    assert seen == [0.5, 3600.0] and scheduler.now_us == 4_000_000_000


def test_timers_are_never_early_and_stand_on_the_grid():
    scheduler = Scheduler(1, grid_us=5000)
    loop, seen = ProcessLoop(scheduler), []
    for delay in (0.0001, 0.005, 0.0051):
        loop.call_later(delay, lambda: seen.append(scheduler.now_us))
    scheduler.run(100_000)
    assert seen == [5000, 5000, 10_000]


def test_the_order_at_one_instant_is_drawn_from_the_seed_and_all_orders_come():
    def order(seed):
        scheduler, seen = Scheduler(seed), []
        for name in "abc":
            scheduler.at(10, seen.append, name)
        scheduler.run(20)
        return "".join(seen)

    assert order(5) == order(5)
    assert {order(seed) for seed in range(60)} == {"abc", "acb", "bac", "bca", "cab", "cba"}


def test_what_is_called_soon_keeps_its_order_and_comes_before_timers_of_the_same_instant():
    for seed in range(20):
        scheduler = Scheduler(seed)
        loop, seen = ProcessLoop(scheduler), []
        loop.call_soon(seen.append, 1)
        loop.call_later(0, seen.append, 3)
        loop.call_soon(seen.append, 2)
        scheduler.run(10)
        assert seen == [1, 2, 3]


def test_cancelled_ones_do_not_run():
    scheduler = Scheduler(1)
    loop, seen = ProcessLoop(scheduler), []
    handle = loop.call_later(1, seen.append, 1)
    loop.call_later(0.5, handle.cancel)
    scheduler.run(2_000_000)
    assert not seen and handle.cancelled()


def test_one_cancelled_by_another_of_its_instant_does_not_run():
    seen = set()
    for seed in range(20):
        scheduler, ran = Scheduler(seed), []
        loop = ProcessLoop(scheduler)
        handles = []
        handles.append(loop.call_at(1, lambda r=ran, h=handles: (r.append("a"), h[1].cancel())))
        handles.append(loop.call_at(1, lambda r=ran, h=handles: (r.append("b"), h[0].cancel())))
        scheduler.run(2_000_000)
        seen.add("".join(ran))
    assert seen == {"a", "b"}


def test_nothing_of_a_dead_process_runs():
    scheduler = Scheduler(1)
    loop, seen = ProcessLoop(scheduler), []

    def die():
        loop.dead = True
        raise Killed

    loop.call_later(1, die)
    loop.call_later(2, seen.append, 1)
    scheduler.run(3_000_000)
    assert not seen


def test_an_exception_of_a_callback_is_told_and_the_loop_goes_on():
    scheduler, told, seen = Scheduler(1), [], []
    scheduler.failed = lambda loop, error: told.append(type(error))
    loop = ProcessLoop(scheduler)
    loop.call_soon(lambda: 1 / 0)
    loop.call_later(1, seen.append, 1)
    scheduler.run(2_000_000)
    assert told == [ZeroDivisionError] and seen == [1]


def test_events_without_end_at_one_instant_are_found():
    scheduler = Scheduler(1)
    loop = ProcessLoop(scheduler)

    def again():
        loop.call_soon(again)

    loop.call_soon(again)
    with pytest.raises(Spinning):
        scheduler.run(1_000)


def test_futures_and_tasks_run_on_it():
    scheduler, seen = Scheduler(1), []
    loop = ProcessLoop(scheduler)
    future = loop.create_future()

    async def wait():
        seen.append(await future)
        seen.append(loop.time())

    loop.create_task(wait())
    loop.call_later(7, future.set_result, "done")
    scheduler.run(10_000_000)
    assert seen == ["done", 7.0]
    assert isinstance(future, asyncio.Future)


def test_signals_reach_their_handler():
    scheduler, seen = Scheduler(1), []
    loop = ProcessLoop(scheduler)
    assert not loop.signal(1)
    loop.add_signal_handler(1, seen.append, "hup")
    assert loop.signal(1)
    scheduler.run(1)
    assert seen == ["hup"]
