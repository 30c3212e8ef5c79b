"""SIGKILL at each operation on disk or network in a row: between record, +OK, attempt, answer and notice."""

from collections import Counter

import pytest

from madderbeam.simulation.runs import play
from madderbeam.simulation.script import Fault, Script

OPERATIONS = 60
BESIDE = {
    "plain": (),
    "planned": (Fault("term", at_ms=700),),
    "lost calls": (Fault("errors", for_ms=4000), Fault("hung", at_ms=300, for_ms=1500)),
    "lost notices": (Fault("notices_torn", for_ms=4000, value=0.8), Fault("moved", at_ms=805)),
}


@pytest.mark.parametrize("beside", BESIDE)
def test_sigkill_at_any_operation_breaks_no_rule(beside):
    killed = Counter()
    for operation in range(1, OPERATIONS + 1):
        at = Fault("kill_at", at_ms=800, for_ms=operation)
        report = play(
            Script(
                seed=operation % 5,
                couriers=1,
                dests=2,
                rate_per_s=20,
                seconds=2,
                faults=(*BESIDE[beside], at),
            ),
            True,
        )
        assert report.violation is None, report.line
        killed.update(
            line.split("operation=")[1].split()[0] for line in report.trace if "is killed at" in line
        )
    assert {"append", "send", "recv"} <= set(killed) and killed.total() > OPERATIONS * 0.7, killed
