"""`madderbeam journal`: inspect, verify and dump a folder; nothing is changed."""

from __future__ import annotations

import argparse
import json
import logging
import sys
from collections.abc import Callable

from madderbeam.journal import inspect
from madderbeam.ports.real import RealClock, RealDisk


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command."""
    top = commands.add_parser("journal", help="look at a courier's folder, also while it runs")
    parts = top.add_subparsers(dest="part", required=True)
    for name, text, action in (
        ("inspect", "messages, owed notices, keys, bytes live and dead, by segment", _inspect),
        ("verify", "what is damaged, a line each; exit 1 if anything is, 2 if it can't be read", _verify),
        ("dump", "each record as a line of JSON", _dump),
    ):
        part = parts.add_parser(name, help=text)
        part.add_argument("folder", metavar="FOLDER")
        if name == "inspect":
            part.add_argument("--json", action="store_true", help="all of it, with each message")
        part.set_defaults(action=_told(action))


def _told(action: Callable[[argparse.Namespace], int]) -> Callable[[argparse.Namespace], int]:
    def run(args: argparse.Namespace) -> int:
        logger = logging.getLogger("madderbeam.journal")
        before = logger.level
        logger.setLevel(logging.CRITICAL)  # it is told here, not logged
        try:
            return action(args)
        except OSError as error:
            print(
                f"madderbeam journal: {(error.strerror and f'{args.folder}: {error.strerror}') or error}",
                file=sys.stderr,
            )
            return 2
        finally:
            logger.setLevel(before)

    return run


def _inspect(args: argparse.Namespace) -> int:
    found = inspect.summary(RealDisk(), RealClock(), args.folder)
    if args.json:
        print(json.dumps(found.json(), indent=1))
        return 0
    print(f"format {found.format}, {found.bytes} bytes in {len(found.segments)} segments, {found.live} live")
    print(
        f"open messages {found.open}, of which {found.may_have_run} may have run; notices owed {found.owed}"
    )
    print(f"remembered: {found.ids} ids, {found.keys} keys")
    for s in found.segments:
        torn = f", {s.torn} bytes torn" if s.torn else ""
        print(f"  {s.name}: {s.bytes} bytes, {s.records} records, {s.live} live, {s.messages} messages{torn}")
    if found.damaged:
        print(f"DAMAGED in {found.damaged} places: madderbeam journal verify {args.folder}")
    return 0


def _verify(args: argparse.Namespace) -> int:
    findings = inspect.verify(RealDisk(), args.folder)
    for finding in findings:
        print(f"{finding.kind.meaning.value}: {finding}")
    damaged = any(finding.damage for finding in findings)
    if not damaged:
        print("whole")
    return 1 if damaged else 0


def _dump(args: argparse.Namespace) -> int:
    for row in inspect.dump(RealDisk(), args.folder):
        print(json.dumps(row))
    return 0
