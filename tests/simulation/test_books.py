"""The audit of a courier's books: what drifts is seen at once, and what is in order is not."""

import multiprocessing

import pytest

from madderbeam.policy.state import CircuitBreaker
from madderbeam.simulation import books
from madderbeam.simulation.mutation import outcome
from madderbeam.simulation.runs import draw, play, staged
from madderbeam.simulation.script import Script

BUSY = Script(seed=4, couriers=1, dests=3, rate_per_s=60.0, seconds=4.0, service_ms=150.0, tight=3.0)


def amid():
    """A courier in the middle of its work: calls are out, messages are held."""
    world = staged(BUSY)
    world.checker.disk = lambda *_: None
    machine = world.machines[0]

    def stop():
        raise Stopped(machine)

    world.after(2_000_000, stop)
    try:
        world.play()
    except Stopped as stopped:
        return stopped.args[0]
    raise AssertionError("it was not stopped")


class Stopped(Exception):
    """With the machine as it stands."""


@pytest.fixture
def machine():
    return amid()


def seen(machine):
    return books.wrong(machine.host, machine.clock.monotonic_us())


def _slot(host):
    host.courier.state.calls_in_flight += 1


def _queue(host):
    message = next(m for m in host.courier.state.messages.values() if m.in_flight)
    message.destination.queue.append(message)


def _lane(host):
    next(iter(host.courier.state.endpoints.values())).scope.in_flight += 1


def _window(host):
    next(iter(host.courier.state.endpoints.values())).scope.window = 99.0


def _timer(host):
    host.courier.state.timers.clear()


def _circuit(host):
    circuit = next(iter(host.courier.state.endpoints.values())).circuit
    assert isinstance(circuit, CircuitBreaker)
    circuit.is_open, circuit.slow_start_since_us = True, 5


def _open(host):
    host.journal.open_count -= 1


def _live(host):
    next(iter(host.journal.files.segments.values())).live_bytes += 8


def _used(host):
    host.journal.files.used_bytes += 512


def _guard(host):
    host.completions.deadline_timers.popitem()


def _number(host):
    host.attempts.next_numbers[1 << 40] = 1


def _name(host):
    host.registry.uids["s-none"] = 77


def _idle(host):
    host.calls.idle += 1


def _pool(host):
    host.calls.pools.popitem()


@pytest.mark.parametrize(
    ("spoil", "told"),
    [
        (_slot, "calls in flight"),
        (_queue, "messages that wait"),
        (_lane, "calls of a rate-limit scope"),
        (_window, "a window of"),
        (_timer, "nothing wakes"),
        (_circuit, "a circuit is open"),
        (_open, "open messages"),
        (_live, "bytes that live"),
        (_used, "bytes used"),
        (_guard, "guards and open"),
        (_number, "numbers of attempts"),
        (_name, "names of endpoints"),
        (_idle, "idle connections"),
        (_pool, "pools"),
    ],
)
def test_what_drifts_is_seen(machine, spoil, told):
    assert seen(machine) == ""
    spoil(machine.host)
    assert told in seen(machine)


def test_a_list_that_is_not_what_was_told_is_seen(machine):
    told = {uid: dict(entry) for uid, entry in machine.agent.told.items()}
    assert books.listed(machine.host, told) == ""
    uid = next(iter(told))
    told[uid]["state"] = "terminating"
    assert uid in books.listed(machine.host, told)
    del told[uid]
    assert uid in books.listed(machine.host, told)


def test_a_message_that_a_restart_would_forget_is_seen(machine):
    host = machine.host
    host.journal.commit()
    assert next(books.restarted(host, machine.restarted()), "") == ""
    number = next(n for n, m in host.journal.pending.items() if not m.status)
    host.journal.pending[number].attempts += 1
    assert "after a restart" in next(books.restarted(host, machine.restarted()))


def test_a_socket_that_is_nobody_s_is_seen(machine):
    assert next(books.sockets(machine.host, machine.network.open), "") == ""
    machine.network.stream(("10.1.0.1", 6379))
    assert "nobody's" in next(books.sockets(machine.host, machine.network.open))


def test_what_is_left_at_the_end_is_told(machine):
    host = machine.host
    for message in host.courier.state.messages.values():
        message.deadline_us = 0
    assert "are left at the end" in books.left(host)


def test_what_came_so_late_that_its_turn_is_still_to_come_is_not_left_but_what_is_over_is(machine):
    host = machine.host
    for message in host.courier.state.messages.values():
        message.deadline_us = 0
    late = next(iter(host.journal.pending.values()))
    host.admission.arrived[1 << 20] = (late, [])
    late.deadline_s = host.journal.wall() + 6
    assert books.left(host) == ""
    late.deadline_s = host.journal.wall() - 6
    assert "are left at the end" in books.left(host)


def test_a_run_does_not_depend_on_what_its_process_played_before():
    # The random numbers of a courier that takes over were drawn from the machine.
    script = next(s for s in map(draw, range(2, 200, 4)) if any(f.kind == "upgrade" for f in s.faults))
    with multiprocessing.get_context("fork").Pool(1) as pool:
        alone = pool.apply(play, (script,))
    play(draw(0))
    assert outcome(play(script)) == outcome(alone)
