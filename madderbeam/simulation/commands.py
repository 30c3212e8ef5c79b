"""`madderbeam simulate` and `madderbeam shrink`."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Iterable
from pathlib import Path

from madderbeam.ports import Clock
from madderbeam.ports.real import RealClock
from madderbeam.simulation.campaign import DAYS, Totals, campaign, shrink
from madderbeam.simulation.faults import KINDS
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.runs import draw, play
from madderbeam.simulation.script import Script, ScriptError

PROGRESS_S = 1.0


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command."""
    simulate = commands.add_parser("simulate", help="play the courier's code against scripted faults")
    what = simulate.add_mutually_exclusive_group(required=True)
    what.add_argument("--seed", type=int, metavar="N", help="the script that this seed draws")
    what.add_argument("--seeds", type=seed_range, metavar="A:B", help="the seeds from A to under B")
    what.add_argument("--script", type=Path, metavar="FILE", help="a script that was saved or written")
    what.add_argument("--faults", action="store_true", help="list the kinds of fault and end")
    simulate.add_argument(
        "--federation",
        action="store_true",
        help="with --seed or --seeds: several sites "
        "of couriers that switch tables and relay streams, in place of one courier's days",
    )
    simulate.add_argument(
        "--sharing",
        action="store_true",
        help="with --seed or --seeds: one site of 2 to "
        "50 couriers that share news of partners and leases on their rates",
    )
    simulate.add_argument(
        "--changes",
        action="store_true",
        help="with --seed or --seeds: couriers whose configuration changes all the time",
    )
    simulate.add_argument("--trace", type=Path, metavar="FILE", help="write what crossed the wires (-: here)")
    simulate.add_argument("--save", type=Path, metavar="FILE", help="write the script (-: here)")
    simulate.add_argument("--jobs", type=int, default=0, metavar="J", help="processes (default: one a core)")
    simulate.add_argument(
        "--compare",
        default="",
        metavar="REV",
        help="with --seeds: how well these days "
        "are served here and by the courier of that revision (needs the extra lab)",
    )
    simulate.set_defaults(action=_simulate)
    smaller = commands.add_parser("shrink", help="a smaller script that breaks the same rule")
    start = smaller.add_mutually_exclusive_group(required=True)
    start.add_argument("--seed", type=int, metavar="N")
    start.add_argument("--script", type=Path, metavar="FILE")
    smaller.add_argument("--out", type=Path, default=Path("-"), metavar="FILE", help="default: here")
    smaller.add_argument("--runs", type=int, default=400, metavar="R", help="at most so many runs (400)")
    smaller.set_defaults(action=_shrink)
    explore = commands.add_parser("explore", help="look for scripts that reach what seeds do not")
    explore.add_argument("--seconds", type=float, default=60.0, metavar="S", help="search for so long (60)")
    explore.add_argument(
        "--corpus",
        type=Path,
        metavar="DIR",
        help="begin with these scripts, and keep what was found there: few that reach all of it",
    )
    explore.add_argument("--broken", type=Path, metavar="DIR", help="write scripts that break a rule here")
    explore.add_argument("--plain", action="store_true", help="plain seeds alone, for comparison")
    explore.add_argument("--seed", type=int, default=0, metavar="N", help="of the search (0)")
    explore.add_argument("--jobs", type=int, default=0, metavar="J", help="processes (default: one a core)")
    explore.set_defaults(action=_explore)
    mutate = commands.add_parser("mutate", help="plant faults by rule, and tell which the seeds do not find")
    mutate.add_argument("files", nargs="*", metavar="FILE", help="as policy/engine.py (all)")
    mutate.add_argument("--since", default="", metavar="REV", help="only lines changed since that revision")
    mutate.add_argument("--sample", type=int, default=0, metavar="N", help="so many, by chance")
    mutate.add_argument("--jobs", type=int, default=0, metavar="J", help="processes (default: one a core)")
    mutate.add_argument("--report", type=Path, metavar="FILE", help="JSON lines; a run goes on from it")
    mutate.add_argument("--corpus", type=Path, metavar="DIR", help="play these scripts beside plain seeds")
    mutate.add_argument("--missed", action="store_true", help="print each mutant that was not found")
    mutate.set_defaults(action=_mutate)


def seed_range(text: str) -> range:
    """A:B as the seeds from A to under B."""
    first, colon, end = text.partition(":")
    if not colon or not first.isdigit() or not end.isdigit() or int(first) >= int(end):
        raise argparse.ArgumentTypeError(f"must be A:B with A under B, not {text!r}")
    return range(int(first), int(end))


def _mutate(args: argparse.Namespace) -> int:
    from madderbeam.simulation import explore, mutation

    if unknown := sorted(set(args.files) - set(mutation.sources())):
        print(
            f"madderbeam: FILE: must be one of {', '.join(mutation.sources())}, not {unknown[0]!r}",
            file=sys.stderr,
        )
        return 2
    try:
        wanted = mutation.chosen(args.files, args.since, args.sample)
        scripts = explore.read(args.corpus) if args.corpus else []
    except ValueError as error:
        print(f"madderbeam: {error}", file=sys.stderr)
        return 2
    rows = mutation.read(args.report) if args.report else {}
    clock: Clock = RealClock()
    told = clock.monotonic_us()
    with open(args.report or os.devnull, "a") as report:
        for verdict in mutation.score(wanted, args.jobs, rows.__contains__, scripts):
            row = rows[verdict.mutant.id] = verdict.row()
            report.write(json.dumps(row) + "\n")
            report.flush()
            if sys.stderr.isatty() and clock.monotonic_us() - told > PROGRESS_S * 1e6:
                told = clock.monotonic_us()
                print(f"\r{len(rows)} of {len(wanted)}", end="", file=sys.stderr)
    here = [rows[m.id] for m in wanted]
    if args.missed:
        for row in here:
            if row["verdict"] not in mutation.FOUND:
                print(
                    f"{row['path']}:{row['line']} {row['name']} {row['rule']}: {row['before']} -> "
                    f"{row['after']} ({row['verdict']})"
                )
    print(mutation.table(here))
    return 0


def _explore(args: argparse.Namespace) -> int:
    from madderbeam.simulation import explore

    search = explore.Search()
    try:
        begin = explore.read(args.corpus) if args.corpus and args.corpus.is_dir() else []
    except ScriptError as error:
        print(f"madderbeam: {error}", file=sys.stderr)
        return 2
    scripts = explore.plain() if args.plain else explore.led(search, begin, args.seed)

    def told(search: explore.Search, found: explore.Reached) -> None:
        if found.report.violation is not None:
            print(found.report.line, flush=True)
            if args.broken:
                explore.write(args.broken, [r.script for r in search.broken])

    explore.explore(search, scripts, args.seconds, args.jobs, told)
    branches = sum(f[0] != "pair" for f in search.features)
    chosen = explore.smallest(search.kept)
    print(
        f"{search.runs} runs reached {branches} branches and {len(search.features) - branches} pairs of "
        f"events; {len(search.kept)} reached something new, {len(chosen)} reach all of it"
    )
    if args.corpus:
        explore.write(args.corpus, [r.script for r in chosen])
    return 1 if search.broken else 0


def _write(path: Path, text: str) -> None:
    if str(path) == "-":
        sys.stdout.write(text)
    else:
        path.write_text(text)


def _load(args: argparse.Namespace) -> Script:
    if args.script is None:
        return draw(args.seed)
    try:
        text = args.script.read_text()
    except OSError as error:
        raise ScriptError(f"{args.script}: cannot be read: {error.strerror}") from None
    return Script.parse(text)


def _simulate(args: argparse.Namespace) -> int:
    if args.faults:
        for name, kind in sorted(KINDS.items()):
            print(f"{name:18} {kind.begin.__doc__}")
        return 0
    if args.compare and args.seeds is None:
        print("madderbeam simulate: --compare goes with --seeds", file=sys.stderr)
        return 2
    if other := next((days for days in DAYS if getattr(args, days)), ""):
        return _played(args, other)
    if args.seeds is not None:
        return _compare(args) if args.compare else _campaign(args.seeds, args.jobs)
    try:
        script = _load(args)
    except ScriptError as error:
        print(f"madderbeam simulate: {error}", file=sys.stderr)
        return 2
    if args.save:
        _write(args.save, script.text())
    report = play(script, trace=args.trace is not None)
    if args.trace:
        _write(args.trace, "".join(line + "\n" for line in report.trace))
    print(report.line or _well(report))
    return 1 if report.violation else 0


def _played(args: argparse.Namespace, days: str) -> int:
    """Other days than one courier's."""
    if args.seeds is not None and not args.compare:
        return _campaign(args.seeds, args.jobs, days=days)
    if args.seed is None or args.save:
        print(f"madderbeam simulate: --{days} goes with --seed or --seeds alone", file=sys.stderr)
        return 2
    report = DAYS[days](args.seed, trace=args.trace is not None)
    if args.trace:
        _write(args.trace, "".join(line + "\n" for line in report.trace))
    print(report.line or _well(report))
    return 1 if report.violation else 0


def _well(r: Report) -> str:
    return (
        f"seed {r.seed}: no rule broken in {r.virtual_s:.1f} virtual seconds, {r.steps} steps; "
        f"{r.messages} messages, {r.calls} calls, {r.delivered} delivered, {r.kills} kills; "
        f"faults: {', '.join(r.kinds) or 'none'}"
    )


def _campaign(seeds: Iterable[int], jobs: int, clock: Clock | None = None, days: str = "") -> int:
    clock = clock or RealClock()
    began = told = clock.monotonic_us()
    totals = Totals()
    for report in campaign(seeds, jobs, days=days):
        totals.add(report)
        if report.violation:
            print(report.line, flush=True)
        now = clock.monotonic_us()
        if sys.stderr.isatty() and now - told > PROGRESS_S * 1e6:
            told = now
            print(f"\r{totals.seeds} seeds, {sum(totals.rules.values())} broken", end="", file=sys.stderr)
    if sys.stderr.isatty():
        print("\r", end="", file=sys.stderr)
    print(totals.line((clock.monotonic_us() - began) / 1e6))
    return 1 if totals.rules else 0


def _compare(args: argparse.Namespace) -> int:
    from madderbeam.simulation import compare

    try:
        theirs = compare.there(args.compare, args.seeds, args.jobs)
    except compare.CompareError as error:
        print(f"madderbeam simulate: {error}", file=sys.stderr)
        return 2
    here = {row["seed"]: row for row in compare.rows_of(args.seeds, args.jobs)}
    for name, rows in (("here", here), (args.compare, theirs)):
        for row in rows.values():
            if row["broken"]:
                print(f"{name}: {row['broken']}")
    print(compare.table(compare.compared(here, theirs)))
    return 0


def _shrink(args: argparse.Namespace) -> int:
    try:
        script = _load(args)
    except ScriptError as error:
        print(f"madderbeam shrink: {error}", file=sys.stderr)
        return 2
    found = play(script).violation
    if found is None:
        print("madderbeam shrink: the script breaks no rule", file=sys.stderr)
        return 2

    def told(smaller: Script) -> None:
        print(
            f"{len(smaller.faults)} faults, {smaller.seconds:.2f} s, {smaller.rate_per_s:.1f} messages a "
            f"second, {smaller.couriers} couriers",
            file=sys.stderr,
        )

    script = shrink(script, found.rule, told, args.runs)
    _write(args.out, script.text())
    print(play(script).line, file=sys.stderr)
    return 0
