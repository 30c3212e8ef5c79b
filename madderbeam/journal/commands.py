"""`madderbeam journal`: inspect, verify and dump a folder. Nothing in it is changed."""

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
    journal = commands.add_parser("journal", help="look at a courier's folder, also while it runs")
    subcommands = journal.add_subparsers(dest="part", required=True)
    for name, text, action in (
        ("inspect", "messages, outstanding notices, keys, live and total bytes, by segment", _inspect),
        (
            "verify",
            "list damage, a line each; exit 1 if there is any, 2 if the folder can't be read",
            _verify,
        ),
        ("dump", "print each record as a line of JSON", _dump),
    ):
        subcommand = subcommands.add_parser(name, help=text)
        subcommand.add_argument("folder", metavar="FOLDER")
        if name == "inspect":
            subcommand.add_argument("--json", action="store_true", help="print everything, with each message")
        subcommand.set_defaults(action=_reporting_errors(action))


def _reporting_errors(
    action: Callable[[argparse.Namespace], int],
) -> Callable[[argparse.Namespace], int]:
    def run(args: argparse.Namespace) -> int:
        logger = logging.getLogger("madderbeam.journal")
        level = logger.level
        logger.setLevel(logging.CRITICAL)  # the command prints the findings itself
        try:
            return action(args)
        except OSError as error:
            print(
                f"madderbeam journal: {(error.strerror and f'{args.folder}: {error.strerror}') or error}",
                file=sys.stderr,
            )
            return 2
        finally:
            logger.setLevel(level)

    return run


def _inspect(args: argparse.Namespace) -> int:
    summary = inspect.summary(RealDisk(), RealClock(), args.folder)
    if args.json:
        print(json.dumps(summary.json(), indent=1))
        return 0
    print(
        f"format {summary.format}, {summary.bytes} bytes in {len(summary.segments)} segments, "
        f"{summary.live} live"
    )
    print(
        f"open messages {summary.open}, of which {summary.may_have_run} may have run; "
        f"notices owed {summary.owed}"
    )
    print(f"remembered: {summary.ids} ids, {summary.keys} keys")
    for segment in summary.segments:
        torn = f", {segment.torn} bytes torn" if segment.torn else ""
        print(
            f"  {segment.name}: {segment.bytes} bytes, {segment.records} records, {segment.live} live, "
            f"{segment.messages} messages{torn}"
        )
    if summary.damaged:
        print(f"DAMAGED in {summary.damaged} places: madderbeam journal verify {args.folder}")
    return 0


def _verify(args: argparse.Namespace) -> int:
    findings = inspect.verify(RealDisk(), args.folder)
    for finding in findings:
        print(f"{finding.kind.meaning.value}: {finding}")
    is_damaged = any(finding.is_damage for finding in findings)
    if not is_damaged:
        print("whole")
    return 1 if is_damaged else 0


def _dump(args: argparse.Namespace) -> int:
    for row in inspect.dump(RealDisk(), args.folder):
        print(json.dumps(row))
    return 0
