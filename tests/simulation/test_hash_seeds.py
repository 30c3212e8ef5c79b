"""A run is the same whatever PYTHONHASHSEED is: a seed that can't be repeated can't be traced."""

import hashlib
import os
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import ROOT

HASH_SEEDS = ("0", "1", "2")
RUNS = [("", 61406), ("--changes", 7), ("--federation", 3), ("--federation", 72533), ("--sharing", 59)]
LOOK_FOR = "import sys; from test_planted import look_for; print(look_for(sys.argv[1]))"


def digest(mode, seed, hash_seed, path):
    command = [sys.executable, "-m", "madderbeam", "simulate", "--seed", str(seed), "--trace", str(path)]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    subprocess.run([*command, *([mode] if mode else [])], env=environment, cwd=ROOT, check=False, timeout=120)
    return hashlib.sha256(path.read_bytes()).hexdigest()


@pytest.mark.parametrize("mode, seed", RUNS)
def test_a_run_does_not_depend_on_the_hash_seed(tmp_path, mode, seed):
    digests = {digest(mode, seed, value, tmp_path / value) for value in HASH_SEEDS}
    assert len(digests) == 1


def found(bug, hash_seed):
    path = os.pathsep.join([str(ROOT), *(str(Path(__file__).parents[n]) for n in (0, 1))])
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
    command = [sys.executable, "-c", LOOK_FOR, bug]
    return subprocess.run(command, env=environment, check=True, timeout=120, capture_output=True).stdout


def test_a_compaction_of_remembered_ids_does_not_depend_on_the_hash_seed():
    assert len({found("goes_on_behind_a_record_that_failed", value) for value in HASH_SEEDS}) == 1
