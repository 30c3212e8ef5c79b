"""What seeds found and too few seeds find again, each caused directly: seen to fail without its mend."""

import math
import random
from dataclasses import replace

import pytest
from test_recovery import cold, drive

from madderbeam.host.attempts import Attempts
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.records import frame
from madderbeam.journal.recovery import FORMAT_1_FILE
from madderbeam.journal.steady_clock import BOOT_ID_PATH
from madderbeam.policy.events import AttemptResult
from madderbeam.simulation.checker import Handed, Life
from madderbeam.simulation.clients import command
from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.simulation.network import Link, SimNetwork
from madderbeam.simulation.runs import draw, play, staged
from madderbeam.simulation.script import Fault, Script
from madderbeam.transport.calls import Call
from madderbeam.transport.clients import ClientServer, Places

UNSAFE = 2


def test_an_attempt_from_before_the_machine_booted_may_have_run():
    # Its time lies before the monotonic clock's zero; a negative one would say that none may have run.
    world = staged(Script(seed=1, couriers=1, dests=1, rate_per_s=0, seconds=1.0))
    machine = world.machines[0]
    now = machine.clock.wall()
    tried = PendingMessage(
        1, "tried", UNSAFE, 0, 1, "", now + 5, False, b"body", attempts=1, latest_attempt_at=now - 60
    )
    machine.disk.files[f"/state/{FORMAT_1_FILE}"] = bytearray(
        frame(["clock", 5.0, "an earlier boot"]) + frame(tried.record())
    )
    assert machine.disk.files[BOOT_ID_PATH]
    world.checker.put(Handed("tried", UNSAFE, 1, "", "", None, 0, 5_000_000))
    report = world.play()
    assert report.violation is None, report.line
    assert report.calls == 0
    assert [n.status for n in world.checker.handed["tried"].notices] == ["undeliverable"]


class Line:
    """A client's end of one simulated connection."""

    def __init__(self, network, text):
        self.text, self.got = text, b""
        self.stream = network.dial(("10.0.0.1", 1), self)

    def up(self):
        self.stream.write(self.text)

    def data(self, data):
        self.got += data

    def ended(self, reset):
        self.stream.gone = True


def test_a_message_s_time_runs_while_its_connection_waits_to_be_taken_up():
    scheduler = Scheduler(1)
    network = SimNetwork(ProcessLoop(scheduler), {}, Link(), random.Random(1), lambda name: False, 64)
    puts = {}
    server = ClientServer(
        network.loop, network, lambda put, reply: puts.update({put.id: (put, reply)}), Places(2)
    )
    server.listen("10.0.0.1", 1)

    def come(ident):
        return Line(network, command(b"MSG.PUT", b"0", ident, b"c=safe,d=1000,dest=1", b"x"))

    first = come(b"a")
    scheduler.run(50_000)
    come(b"b")
    scheduler.run(100_000)
    come(b"c")
    scheduler.run(400_000)  # both places are taken: the third connection stands in the queue
    assert [put.life_ms for put, _ in puts.values()] == [1000, 1000]
    puts["a"][1].send(b"+OK\r\n")
    first.stream.finish()
    scheduler.run(600_000)
    assert 600 <= puts["c"][0].life_ms <= 710  # it came after 0.1 s and was taken up after 0.4 s


def test_a_spell_amid_a_slow_start_does_not_end_it():
    h = cold(1)
    drive(h, 2, AttemptResult.OK)
    endpoint = h.courier.state.endpoints[100]
    began = endpoint.circuit.slow_start_since_us
    assert began >= 0
    drive(h, 0.4, AttemptResult.TIMEOUT)
    assert endpoint.circuit.is_open
    drive(h, 2, AttemptResult.OK)
    assert not endpoint.circuit.is_open and endpoint.circuit.slow_start_since_us >= began


@pytest.mark.parametrize("mended", [True, False])
def test_a_key_s_window_passes_while_a_connection_is_made(monkeypatch, mended):
    # The first attempt hangs until shortly before the window's end; the second waits for a slow handshake.
    if not mended:
        monkeypatch.setattr(Attempts, "_key_window_left_s", lambda self, m, executed_at_s: math.inf)
    faults = [Fault("hung", 100, 1500), Fault("slow_handshakes", 600, 8000, 0, 0.999)]
    made = Script(seed=1, couriers=1, dests=1, rate_per_s=0, seconds=2.0, tight=50.0)
    rules = set()
    for at_ms in range(300, 900, 50):
        more = tuple(Fault("hand_in", at_ms + n, 40, 0, 1) for n in range(4))
        for seed in range(6):
            report = play(replace(made, seed=seed, faults=(*faults, *more)))
            rules.add(report.violation.rule if report.violation else "")
    assert rules == ({""} if mended else {"", "repeat"})


def test_an_end_that_the_disk_refuses_holds_back_a_call_whose_connection_is_being_made():
    # The end was recorded in the turn that began the call, which found it refused only behind that.
    assert play(draw(6861)).line == ""


@pytest.mark.parametrize("seed", [2028, 4452])
def test_a_key_s_window_outlasts_a_compaction_and_a_restart(seed):
    report = play(draw(seed))
    assert report.violation is None, report.line


@pytest.mark.parametrize("mended", [True, False])
def test_a_message_ends_while_its_bundle_s_leader_is_dialled(monkeypatch, mended):
    # A Kafka partner is connected and its leader comes up slowly: older messages of the bundle are given
    # up meanwhile, and must not go out with the newer ones.
    if not mended:
        monkeypatch.setattr(Call, "wanted", True)
    faults = [Fault("down", 100, 2400, 4), Fault("slow_handshakes", 2400, 8000, 4, 0.399)]
    made = Script(
        seed=1, couriers=1, dests=5, rate_per_s=0, seconds=2.0, tight=50.0, sidecar=True, kafka=True
    )
    rules = set()
    for at_ms in range(200, 1000, 200):
        older = [Fault("hand_in", at_ms, 40, 4, 0)] * 2
        newer = [Fault("hand_in", 2300, 40, 4, 0)] * 3
        for seed in (1, 2, 5, 6):
            report = play(replace(made, seed=seed, faults=(*faults, *older, *newer)))
            rules.add(report.violation.rule if report.violation else "")
    assert rules == ({""} if mended else {"", "ends"})


def test_an_endpoint_that_an_operator_enables_behind_another_ones_disable_call_may_be_called():
    # The checker went by the first enable call, which nobody had answered, and not by the one that was.
    first = Fault("by_hand", at_ms=1_000, for_ms=500, value=0.9)
    second = Fault("by_hand", at_ms=1_700, for_ms=60_000, value=0.9)
    world = staged(Script(seed=1, couriers=1, dests=1, rate_per_s=20, seconds=6.0, faults=(first, second)))
    closed: dict = {}

    def close():  # the first enable call, at 1.5 s, is refused, and made again at 1.8 s
        closed.update(world.machines[0].network.listeners)
        world.machines[0].network.listeners.clear()

    world.after(1_490_000, close)
    world.after(1_650_000, lambda: world.machines[0].network.listeners.update(closed))
    world.after(4_000_000, lambda: out.append(dict(world.checker.by_hand)))
    out: list[dict] = []
    report = world.play()
    assert report.violation is None, report.line
    assert out == [{}]


@pytest.mark.parametrize("other_key, is_broken", [("key", False), ("another", True)])
def test_a_bare_refusal_is_right_for_a_message_whose_key_was_handed_in_again(other_key, is_broken):
    # Two messages of one key came within one dispatch cycle; the one read first is given up (seed 72170).
    world = staged(Script(seed=1, couriers=1, dests=1, rate_per_s=0, seconds=1.0))
    life = Life("n0", 1)
    older = Handed("older", 1, 1, "key", "", life, 0, 9_000_000, read_us=10)
    newer = Handed("newer", 1, 1, other_key, "", life, 0, 9_000_000, read_us=11)
    for message in (older, newer):
        world.checker.put(message)
    found = []
    world.checker._broken = found.append
    world.checker.said(older, b"-BUSY")
    assert bool(found) is is_broken


def test_an_endpoint_enabled_while_the_disk_is_full_stays_enabled_by_an_upgrade():
    script = Script(seed=1, couriers=1, dests=1, rate_per_s=20, seconds=6.0)
    by_hand = Fault("by_hand", at_ms=1_000, for_ms=1_000, value=0.9)
    full, upgrade = Fault("disk_full", at_ms=1_900, for_ms=900), Fault("upgrade", at_ms=2_950, for_ms=400)
    report = play(replace(script, faults=(by_hand, full, upgrade)))
    assert report.violation is None, report.line


def test_a_call_that_reaches_an_endpoint_that_was_disabled_by_its_unknown_move_breaks_no_rule():
    # The courier's list is late: it calls an endpoint where its list has it, and reaches another one.
    report = play(draw(92378))
    assert report.violation is None, report.line
