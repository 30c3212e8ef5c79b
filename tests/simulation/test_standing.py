"""What the standing test adds to a seed's faults: each finds a bug, or shows in the trace of a plain day."""

import re
import signal
from dataclasses import replace

import pytest
from planted import BUGS

from madderbeam.host.host import Host
from madderbeam.simulation.faults import KINDS
from madderbeam.simulation.runs import draw, play, staged
from madderbeam.simulation.script import Fault, Script
from madderbeam.transport import clients, discovery

DAY = Script(
    seed=1,
    couriers=2,
    dests=4,
    rate_per_s=35.0,
    seconds=6.0,
    aligned=True,
    grid_us=5_000,
    latency_us=5_000,
    jitter_us=8_000,
)
SEEDS = range(8)


def found(patch, plant, *faults):
    """The rules that a bug breaks under these faults; without it no rule is broken."""
    rules = set()
    for mended in (True, False):
        if not mended:
            plant(patch)
        for seed in SEEDS:
            report = play(replace(DAY, seed=seed, faults=faults))
            if report.violation:
                assert not mended, report.line
                rules.add(report.violation.rule)
    return rules


def deaf_watch(patch):
    """A watch that has fallen silent is waited for."""
    patch.setattr(discovery, "SILENCE_S", 60.0)
    patch.setattr(discovery, "CLOCK_S", 60.0)


def one_line_a_list(patch):
    """A list ends with its line."""
    feed = discovery.Values.feed

    def strict(self, data):
        if b"\n" in data.strip():
            raise discovery.Unreadable("a line")
        return feed(self, data)

    patch.setattr(discovery.Values, "feed", strict)


def deaf_to_sighup(patch):
    """A process that has been told to end handles no further signal."""
    terminate = Host.terminate

    def end(self):
        self.loop.remove_signal_handler(signal.SIGHUP)
        terminate(self)

    patch.setattr(Host, "terminate", end)


def drops_what_crosses_its_shutdown(patch):
    """What has come in the instant of the shutdown is read behind it and dropped."""

    def finish(self):
        if self.between_requests and self.phase is clients.Phase.OPEN:
            self._shut(self._drop)

    patch.setattr(clients.Client, "finish", finish)


DRAINS = [Fault("drain", at, 2500, n, 0.5) for n, at in enumerate(range(1500, 5000, 500))]


@pytest.mark.parametrize(
    ("plant", "rules", "faults"),
    [
        (
            BUGS["takes_a_reset_for_a_call_that_never_ran"].plant,
            {"repeat", "refusal", "order"},
            [Fault("idle_closed", 0, 6000, 0, 0.8)],
        ),
        (
            BUGS["takes_a_reset_for_a_call_that_never_ran"].plant,
            {"repeat", "refusal", "order"},
            [Fault("lost_answers", 0, 6000, 0, 0.5)],
        ),
        (
            BUGS["takes_a_spoilt_answer_for_a_refusal"].plant,
            {"repeat", "refusal"},
            [Fault("stray_lines", 0, 6000, 0, 0.9)],
        ),
        (
            BUGS["records_after_it_has_answered"].plant,
            {"lost", "order"},
            [Fault("kill_behind_ok", at, 0, at // 1000 % 2) for at in range(1000, 6000, 1000)],
        ),
        (deaf_watch, {"drain", "books"}, [Fault("silent_watches", 1000), *DRAINS]),
        (
            one_line_a_list,
            {"drain", "books"},
            [*(Fault("indented_lists", 0, 8000, n) for n in (0, 1)), *DRAINS],
        ),
        (deaf_to_sighup, {"restart"}, [Fault("reload_and_term", 2000, 0, 0, 0.91)]),
        (
            drops_what_crosses_its_shutdown,
            {"answer"},
            [Fault("term_under_load", at, 0, at // 1500 % 2, 0.2) for at in (1500, 3000)],
        ),
    ],
    ids=lambda given: given.__name__ if callable(given) else None,
)
def test_it_finds_a_bug(monkeypatch, plant, rules, faults):
    broken = found(monkeypatch, plant, *faults)
    assert broken and broken <= rules


def traced(*faults):
    """The traces of plain days without these faults, and with them, each as one list of lines."""
    given = [[], []]
    for with_faults, lines in enumerate(given):
        for seed in SEEDS:
            report = play(replace(DAY, seed=seed, faults=faults if with_faults else ()), trace=True)
            assert report.violation is None, report.line
            lines += report.trace
    return given


def answered_late(trace):
    """How many requests were taken on over 50 ms after they were handed in."""
    put, late = {}, 0
    for line in trace:
        at, _, who, what, *rest = line.split()
        if (who, what) == ("client", "put"):
            put[rest[0]] = int(at)
        elif what == "says" and line.endswith("+OK"):
            late += int(at) - put[rest[0]] > 50_000
    return late


def test_clients_that_write_slowly_are_taken_on_all_the_same():
    plain, slow = traced(Fault("slow_clients", 0, 8000, 0, 0.9))
    assert answered_late(slow) > 100 > 20 > answered_late(plain)


def test_the_time_of_a_request_that_is_written_slowly_counts_from_its_last_byte():
    world = staged(replace(DAY, faults=(Fault("slow_clients", 0, 8000, 0, 0.5),)))
    assert world.play().violation is None
    later = [
        m.until_us - wish.until_us
        for m in world.checker.handed.values()
        if (wish := world.clients.holders.get(m.id))
    ]
    assert 0 in later and 50_000 < max(later) < 400_000 and min(later) == 0


def test_clients_that_leave_have_given_up():
    plain, left = traced(*(Fault("clients_leave", at, 0, at // 100, 0.2) for at in range(1000, 6000, 100)))
    assert sum("client gives up" in line for line in left) > sum("client gives up" in line for line in plain)


def test_hasty_clients_do_not_wait():
    full = [Fault("full", 500, 4000, n) for n in range(4)]

    def came_again(trace):
        return sum(" client put " in line for line in trace)

    assert came_again(traced(*full, Fault("hasty_clients", 0, 8000))[1]) > 1.2 * came_again(traced(*full)[1])


def test_a_connection_that_comes_up_late_or_is_closed_early_is_made_anew():
    late, closed = Fault("late_connections", 0, 8000, 0, 0.9), Fault("idle_closed", 0, 8000)
    for fault, more in ((late, 1.0), (closed, 1.5)):
        dials = [
            sum(play(replace(DAY, seed=seed, faults=faults)).dials for seed in SEEDS)
            for faults in ((), (fault,))
        ]
        assert dials[1] > more * dials[0]


def test_no_list_comes_while_discovery_is_down_and_couriers_are_killed_amid_it():
    _, trace = traced(Fault("dark", 1000, 4000, 0, 0.5), *DRAINS)
    told = [int(line.split()[0]) for line in trace if re.search(r"^\d+ \d+ n\d list ", line)]
    assert any(at > 5_000_000 for at in told) and not any(1_100_000 < at < 5_000_000 for at in told)
    assert sum(line.endswith(" dies") for line in trace) == 2 * len(SEEDS)


def test_each_fourth_seed_is_of_another_customer_and_has_these_faults():
    standing = {k.name for k in KINDS.values() if k.standing}
    for seed in range(10_000, 10_040):
        script = draw(seed)
        assert bool(script.customer) is (seed % 4 == 1) is any(f.kind in standing for f in script.faults)
