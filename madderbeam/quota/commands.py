"""`madderbeam quota show FILE`: room, borrowed and owed by node, from a courier's saved state."""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from pathlib import Path
from typing import Any


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command."""
    top = commands.add_parser("quota", help="quotas of a courier")
    parts = top.add_subparsers(dest="part", required=True)
    show = parts.add_parser("show", help="room, borrowed and owed by node, as the courier last saved it")
    show.add_argument("file", type=Path, metavar="FILE", help="the courier's rendered file")
    show.add_argument("--json", action="store_true", help="a line of JSON for each node and dimension")
    show.set_defaults(action=_show)


def _show(args: argparse.Namespace) -> int:
    from madderbeam.config.rendered import Unfit, read
    from madderbeam.host.quota import quota_path
    from madderbeam.quota.admission import QuotaAdmission, QuotaError

    try:
        raw = read(args.file)
        if not raw.get("quota"):
            print(f"{args.file}: no quota is configured", file=sys.stderr)
            return 2
        gate = QuotaAdmission(raw["quota"], 0, random.Random(0), 1)
        path = Path(quota_path(raw["sidecar"]["state"]))
        saved: dict[str, Any] = (
            json.loads(path.read_text()) if path.exists() else {"at": time.time(), "rows": []}
        )
        gate.restore(saved["rows"], int(max(0.0, time.time() - saved["at"]) * 1e6), 0)
    except (Unfit, QuotaError, OSError, ValueError, KeyError) as error:
        print(f"madderbeam quota show: {error}", file=sys.stderr)
        return 2
    rows = [usage for usage in gate.usage(0) if "hour" in usage.dimension]
    if args.json:
        for usage in rows:
            print(
                json.dumps(
                    {
                        "node": usage.node,
                        "dimension": usage.dimension,
                        "room": usage.room,
                        "borrowed": usage.borrowed,
                        "owed": usage.owed,
                    }
                )
            )
        return 0
    print(f"{'node':40} {'dimension':18} {'room':>12} {'borrowed':>12} {'owed':>12}")
    for usage in rows:
        print(f"{usage.node:40} {usage.dimension:18} {usage.room:12} {usage.borrowed:12} {usage.owed:12}")
    return 0
