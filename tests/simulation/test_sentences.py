"""The design note's table of PROTOCOL's sentences names faults and rules that exist, and every fault."""

import re
from pathlib import Path

from madderbeam.simulation import checker
from madderbeam.simulation.faults import KINDS

NOTE = Path(__file__).parents[2] / "docs" / "design" / "simulation.md"


def test_each_sentence_is_played_by_a_fault_and_judged_by_a_rule_that_exist():
    text = NOTE.read_text().partition("## What PROTOCOL lets others do")[2].partition("Not played:")[0]
    rows = [line.split(" | ")[-2:] for line in text.splitlines() if line.startswith("| ")][2:]
    rules = set(re.findall(r"^    (\w+(?: \w+)?)  ", checker.__doc__, re.MULTILINE))
    assert len(rows) > 25 and {"lost", "bad client", "design"} <= rules
    played = set()
    for faults, judged in rows:
        names, by = set(re.findall(r"`([\w ]+)`", faults)), set(re.findall(r"`([\w ]+)`", judged))
        assert names and by and names <= set(KINDS) and by <= rules, (names - set(KINDS), by - rules)
        played |= names
    left = {k.name for k in KINDS.values() if k.weight} - played
    assert left == {"descriptors", "slow"}  # of the machine itself, and of speed alone
