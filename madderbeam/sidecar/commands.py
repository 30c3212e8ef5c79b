"""`madderbeam up` and `madderbeam demo`."""

from __future__ import annotations

import argparse
from pathlib import Path


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to `madderbeam`; each imports its module only when it runs."""
    up = commands.add_parser("up", help="check an estate, then keep its couriers running")
    up.add_argument("estate", type=Path, metavar="ESTATE")
    up.add_argument(
        "--out", type=Path, metavar="DIR", help="of rendered files (default: .madderbeam/NAME beside)"
    )
    up.set_defaults(action=_up)
    demo = commands.add_parser(
        "demo", help="stand-in partners, one courier and a client, through a small outage"
    )
    demo.add_argument("--seconds", type=float, default=6.0, metavar="S", help="of traffic (6)")
    demo.set_defaults(action=_demo)


def _up(args: argparse.Namespace) -> int:
    from madderbeam.sidecar.up import main

    return main(args.estate, args.out)


def _demo(args: argparse.Namespace) -> int:
    from madderbeam.sidecar.demo import main

    return main(args.seconds)
