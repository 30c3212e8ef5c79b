"""`madderbeam change`: submits changes to a running courier at its admin address, and shows their outcome."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

TIMEOUT_S = 10.0


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command."""
    change_parser = commands.add_parser("change", help="change a running courier's configuration")
    subcommands = change_parser.add_subparsers(dest="part", required=True)
    help_by_name = {
        "check": "report all errors, one line each; exit 1 if there are any",
        "stage": "check, and keep the change staged until `apply`",
        "apply": "check, and activate the change for its canary period",
    }
    for name, text in help_by_name.items():
        subcommand = subcommands.add_parser(name, help=text)
        subcommand.add_argument("file", type=Path, metavar="FILE", help="the change as TOML or JSON")
        subcommand.set_defaults(action=_submit, do=name)
    undo_parser = subcommands.add_parser(
        "undo", help="roll back a kept change or one in its canary period, or drop a staged one"
    )
    undo_parser.add_argument("name", metavar="NAME")
    undo_parser.set_defaults(action=_roll_back)
    for name, text in (
        ("status", "show active, canary and staged changes"),
        ("history", "show the outcomes of changes, oldest first"),
    ):
        subcommand = subcommands.add_parser(name, help=text)
        subcommand.add_argument(
            "--json", action="store_true", help="print the response of the courier as JSON"
        )
        subcommand.set_defaults(action=_status if name == "status" else _history)
    for subcommand in subcommands.choices.values():
        subcommand.add_argument("--at", metavar="HOST:PORT", help="the courier's admin address")
        subcommand.add_argument(
            "--courier",
            type=Path,
            metavar="FILE",
            help="the courier's rendered file, which contains that address",
        )


def _submit(args: argparse.Namespace) -> int:
    import tomllib

    try:
        text = args.file.read_bytes()
        change = json.loads(text) if args.file.suffix == ".json" else tomllib.loads(text.decode())
    except (OSError, ValueError) as error:
        print(f"madderbeam change: {args.file}: {error}", file=sys.stderr)
        return 2
    return _print_answer(args, "POST", "/changes", {"do": args.do, "change": change})


def _roll_back(args: argparse.Namespace) -> int:
    return _print_answer(args, "POST", "/changes/undo", {"name": args.name})


def _print_answer(args: argparse.Namespace, method: str, path: str, body: Any) -> int:
    status, text = _request(args, method, path, body)
    print(text, end="", file=sys.stdout if status else sys.stderr)
    return 2 if not status else 0 if status < 300 else 1


def _request(args: argparse.Namespace, method: str, path: str, body: Any = None) -> tuple[int, str]:
    """Return status and body of the response; status 0 and an error line if there is none."""
    import http.client

    try:
        host, _, port = (args.at or _admin_address(args.courier)).rpartition(":")
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            response = connection.getresponse()
            return response.status, response.read().decode("utf-8", "replace")
        finally:
            connection.close()
    except (OSError, ValueError, KeyError, TypeError, http.client.HTTPException) as error:
        return 0, f"madderbeam change: no courier answers: {error}; give --at HOST:PORT, its `control`\n"


def _admin_address(rendered: Path | None) -> str:
    if rendered is None:
        raise ValueError("no address")
    return str(json.loads(rendered.read_bytes())["control"])


def _state(args: argparse.Namespace) -> dict[str, Any] | None:
    status, text = _request(args, "GET", "/changes")
    if status != 200 or args.json:
        print(text, end="", file=sys.stdout if status == 200 else sys.stderr)
    return json.loads(text) if status == 200 else None


def _status(args: argparse.Namespace) -> int:
    state = _state(args)
    if state is None or args.json:
        return 2 if state is None else 0
    print(f"version {state['version']} is in force")
    for canary in state["on_trial"]:
        print(f"on trial: {canary['name']} (version {canary['version']}), {canary['left_ms']} ms left")
    for staged in state["waiting"]:
        print(f"waits: {staged['name']} ({'for its turn' if staged['go'] else 'for apply'})")
    for uid, left_ms in state["drains"].items():
        print(f"drains: {uid}" + (f", {left_ms} ms left" if left_ms else ""))
    return 0


def _history(args: argparse.Namespace) -> int:
    state = _state(args)
    if state is None or args.json:
        return 2 if state is None else 0
    for outcome in state["history"]:
        time_text = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(outcome["at_ms"] / 1e3))
        version = f" version {outcome['version']}" if outcome["version"] else ""
        print(f"{time_text} {outcome['name']}: {outcome['what']}{version}: {outcome['why']}")
    return 0
