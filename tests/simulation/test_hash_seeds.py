"""A run is the same whatever PYTHONHASHSEED is: a seed that can't be repeated can't be traced."""

import hashlib
import os
import subprocess
import sys

import pytest
from loopback import ROOT

HASH_SEEDS = ("0", "1", "2")
RUNS = [("", 61406), ("--changes", 7), ("--federation", 3), ("--federation", 72533), ("--sharing", 59)]


def digest(mode, seed, hash_seed, path):
    command = [sys.executable, "-m", "madderbeam", "simulate", "--seed", str(seed), "--trace", str(path)]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    subprocess.run([*command, *([mode] if mode else [])], env=environment, cwd=ROOT, check=False, timeout=120)
    return hashlib.sha256(path.read_bytes()).hexdigest()


@pytest.mark.parametrize("mode, seed", RUNS)
def test_a_run_does_not_depend_on_the_hash_seed(tmp_path, mode, seed):
    digests = {digest(mode, seed, value, tmp_path / value) for value in HASH_SEEDS}
    assert len(digests) == 1
