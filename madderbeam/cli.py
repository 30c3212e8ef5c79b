"""The `madderbeam` command: its subcommands are defined by the packages."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from madderbeam.config.commands import add_commands as add_config
from madderbeam.host.changes.commands import add_commands as add_change
from madderbeam.importers.commands import add_commands as add_import
from madderbeam.journal.commands import add_commands as add_journal
from madderbeam.quota.commands import add_commands as add_quota
from madderbeam.replication.commands import add_commands as add_standby
from madderbeam.sidecar.commands import add_commands as add_sidecar
from madderbeam.simulation.commands import add_commands as add_simulation


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command and all its subcommands."""
    top = argparse.ArgumentParser(prog="madderbeam", description="A message courier.")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser(
        "run", help="run a courier configured by LB_CONFIG and the environment, or by FILE"
    )
    run.add_argument("--config", metavar="FILE", help="a rendered file (madderbeam config render)")
    run.set_defaults(action=_run)
    add_sidecar(commands)
    add_config(commands)
    add_change(commands)
    add_import(commands)
    add_journal(commands)
    add_quota(commands)
    add_simulation(commands)
    add_standby(commands)
    return top


def _run(args: argparse.Namespace) -> int:
    if args.config:
        from madderbeam.host.standalone import main as run_standalone

        return run_standalone(args.config)
    from madderbeam.host.process import main as run_process

    return run_process()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command with `argv`, by default that of the process; return the exit status."""
    args = parser().parse_args(sys.argv[1:] if argv is None else argv)
    return args.action(args)
