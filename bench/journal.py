"""The journal against another revision's, SQLite and LMDB, in one run: stalls, writes, bytes, CPU, restart.

    python bench/journal.py [--other FOLDER] [--mb 3 64 512] [--ids 200000]

FOLDER is a tree of another revision, since the readers' sitting; without it that row is left out, as is LMDB
where the package is not installed. Steady load on each by itself, on the real disk: messages of 300 B are
accepted, attempted and completed, as many pending as an eighth of the limit takes; GROUP messages make a
turn, and a turn is one write or transaction.

Each row: the longest turn, the longest step of compaction, and the most CPU that one turn and one step took:
what this code takes, apart from what else keeps the machine; the 99.9th percentile of both;
write calls a message and bytes written for each byte taken on, as the system counts them (/proc/self/io); CPU
a message; time to restart; the share of the limit that bodies alone take up as a message is refused.
--ids: time to restart with so many ids and keys remembered.
"""

from __future__ import annotations

import argparse
import importlib.util
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
GROUP = 4
DRIVER = '''
import collections, gc, json, sqlite3, sys, time
root, which, mb, messages, group, folder, ids = sys.argv[1:]
mb, messages, group, ids = float(mb), int(messages), int(group), int(ids)
sys.path.insert(0, root)
limit, body = int(mb * 1e6), b"x" * 300
if which in ("old", "new"):
    from madderbeam.journal.journal import Journal
    from madderbeam.journal.pending_message import PendingMessage
    from madderbeam.ports.real import RealClock, RealDisk

waiting = []

def do_nothing():
    pass

def raise_error(error):
    raise error

class Ours:
    def __init__(self):
        call_later = lambda s, action: waiting.append(action)
        self.journal = Journal(RealDisk(), RealClock(), folder, limit, 5.0, call_later)
    def message(self, k, life):
        return PendingMessage(k, f"{k:016x}", 0, 0, 7, "", self.journal.wall() + life, False, body)
    def turn(self, numbers, over):
        j = self.journal
        j.begin()
        for k in numbers:
            j.accept(self.message(k, -3.0), do_nothing, raise_error)
            j.attempt([k], j.wall())
        for k in over:
            j.complete(k)
        j.commit()
    def count(self):
        return len(self.journal.pending)
    def close(self):
        self.journal.close()
    def usable(self, n):
        while True:
            n += 1
            try:
                self.journal.accept(self.message(n, 60))
            except OSError:
                if not waiting:
                    break
            while waiting:  # compaction goes on as it would between turns
                waiting.pop(0)()
        return len(self.journal.pending) * 300 / limit

class Sqlite:
    def __init__(self):
        self.db = sqlite3.connect(folder + "/j.db", isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute("pragma synchronous=off")
        self.db.execute("create table if not exists m "
                        "(n integer primary key, id text, until real, tried real, body blob)")
    def turn(self, numbers, over):
        db = self.db
        db.execute("begin")
        db.executemany("insert into m values (?,?,?,0,?)", [(k, f"{k:016x}", 0.0, body) for k in numbers])
        db.executemany("update m set tried=? where n=?", [(1.0, k) for k in numbers])
        db.executemany("delete from m where n=?", [(k,) for k in over])
        db.execute("commit")
    def count(self):
        return len(self.db.execute("select * from m").fetchall())
    def close(self):
        self.db.close()
    def usable(self, n):
        return None

class Lmdb:
    def __init__(self):
        import lmdb
        self.env = lmdb.open(folder, map_size=limit * 4, sync=False)
    def turn(self, numbers, over):
        with self.env.begin(write=True) as txn:
            for k in numbers:
                txn.put(k.to_bytes(8, "big"), b"0" * 40 + body)
                txn.put(k.to_bytes(8, "big"), b"1" * 40 + body)
            for k in over:
                txn.delete(k.to_bytes(8, "big"))
    def count(self):
        with self.env.begin() as txn:
            return sum(1 for _ in txn.cursor())
    def close(self):
        self.env.close()
    def usable(self, n):
        return None

kind = {"old": Ours, "new": Ours, "sqlite": Sqlite, "lmdb": Lmdb}[which]

def make():
    """A store, with the garbage collector set as the courier's process sets it."""
    if kind is not Ours:
        return kind()
    from madderbeam.host.process import collector_paused
    with collector_paused():
        return kind()

if ids:
    store = make()
    j = store.journal
    for n in range(0, ids, 100):
        j.begin()
        for k in range(n, n + 100):
            m = PendingMessage(k + 1, f"{k:016x}", 0, 0, 7, f"{k:016x}", j.wall() + 600, False, b"")
            j.accept(m, do_nothing, raise_error)
            j.attempt([m.number], j.wall())
            j.complete(m.number)
        j.commit()
    store.close()
    began = time.perf_counter()
    store = make()
    print(json.dumps({"restart_s": time.perf_counter() - began, "ids": len(store.journal.completed_ids),
                      "keys": len(store.journal.keys)}))
    raise SystemExit
store, keep = make(), max(20, int(limit / 8 / 500))
turns, steps, cpus, n, live = [], [], ([], []), 0, collections.deque()

def call(into, f, *args):
    spent, began = time.thread_time(), time.perf_counter()
    f(*args)
    into.append(time.perf_counter() - began)
    cpus[into is steps].append(time.thread_time() - spent)

def io():
    rows = dict(line.split(": ") for line in open("/proc/self/io").read().splitlines())
    return int(rows["syscw"]), int(rows["wchar"])

gc.freeze()
before, cpu = io(), time.process_time()
while n < messages:
    numbers = list(range(n + 1, n + group + 1))
    n += group
    live.extend(numbers)
    over = [live.popleft() for _ in range(max(0, len(live) - keep))]
    call(turns, store.turn, numbers, over)
    todo, waiting[:] = waiting[:], []
    for action in todo:
        call(steps, action)
cpu, after = time.process_time() - cpu, io()
store.close()
began = time.perf_counter()
store = make()
assert store.count() >= min(keep, messages) - group, store.count()
restart = time.perf_counter() - began
every = sorted(turns + steps)
print(json.dumps({
    "turn_ms": max(turns) * 1e3, "step_ms": max(steps, default=0.0) * 1e3,
    "turn_cpu_ms": max(cpus[0]) * 1e3, "step_cpu_ms": max(cpus[1], default=0.0) * 1e3,
    "p999_ms": every[int(len(every) * 0.999)] * 1e3,
    "writes": (after[0] - before[0]) / messages, "bytes": (after[1] - before[1]) / (messages * 300),
    "cpu_us": cpu / messages * 1e6, "restart_s": restart, "usable": store.usable(n)}))
'''


def run(root: Path, which: str, mb: float, messages: int, ids: int = 0) -> dict[str, float | None]:
    """One row, in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        command = [
            sys.executable,
            "-c",
            DRIVER,
            str(root),
            which,
            str(mb),
            str(messages),
            str(GROUP),
            folder,
            str(ids),
        ]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=300, env={**os.environ, "PYTHONPATH": str(root)}
        )
    if done.returncode:
        raise RuntimeError(done.stderr[-400:])
    return json.loads(done.stdout.splitlines()[-1])


def _cell(value: float | None, form: str, width: int) -> str:
    return ("-" if value is None else format(value, form)).rjust(width)


COLUMNS = (
    ("turn ms", "turn_ms", ".2f"),
    ("step ms", "step_ms", ".2f"),
    ("CPU ms", "turn_cpu_ms", ".2f"),
    ("CPU ms", "step_cpu_ms", ".2f"),
    ("p99.9 ms", "p999_ms", ".3f"),
    ("writes", "writes", ".2f"),
    ("bytes", "bytes", ".2f"),
    ("CPU us", "cpu_us", ".1f"),
    ("restart s", "restart_s", ".3f"),
    ("usable", "usable", ".0%"),
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--other", type=Path, metavar="FOLDER")
    parser.add_argument("--mb", type=float, nargs="+", default=[3, 64, 512])
    parser.add_argument("--ids", type=int, default=0)
    parser.add_argument("--runs", type=int, default=1, help="of each row")
    args = parser.parse_args()
    rows = [("new", HERE), ("sqlite", HERE)]
    if args.other:
        rows.insert(0, ("old", args.other))
    if importlib.util.find_spec("lmdb"):
        rows.append(("lmdb", HERE))
    began = time.perf_counter()
    print("MB   journal" + "".join(title.rjust(11) for title, _, _ in COLUMNS))
    for mb, _, (which, root) in itertools.product(args.mb, range(args.runs), rows):
        messages = max(20_000, int(mb * 1e6 / 8 / 500) * 2 // GROUP * GROUP)
        r = run(root, which, mb, messages)
        cells = "".join(_cell(r[name], form, 11) for _, name, form in COLUMNS)
        print(f"{mb:<5g}{which:7}{cells}", flush=True)
    if args.ids:
        r = run(HERE, "new", max(64, args.ids / 2000), 0, args.ids)
        print(f"restart with {r['ids']} ids and {r['keys']} keys: {r['restart_s']:.2f} s")
    print(f"{time.perf_counter() - began:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
