"""`madderbeam change`: hands changes to a running courier at its second address, and tells what became of
them."""

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
    top = commands.add_parser("change", help="change a running courier's configuration")
    parts = top.add_subparsers(dest="part", required=True)
    helps = {
        "check": "tell every mistake, a line each; exit 1 if there is one",
        "stage": "check, and keep it until `apply`",
        "apply": "check, and bring it into force on trial",
    }
    for name, text in helps.items():
        part = parts.add_parser(name, help=text)
        part.add_argument("file", type=Path, metavar="FILE", help="the change, TOML or JSON")
        part.set_defaults(action=_hand_in, do=name)
    undo = parts.add_parser("undo", help="undo a change that is on trial or kept, or drop one that waits")
    undo.add_argument("name", metavar="NAME")
    undo.set_defaults(action=_undo)
    for name, text in (
        ("status", "what is in force, on trial and waiting"),
        ("history", "what became of changes, the oldest first"),
    ):
        part = parts.add_parser(name, help=text)
        part.add_argument("--json", action="store_true", help="as the courier tells it")
        part.set_defaults(action=_status if name == "status" else _history)
    for part in parts.choices.values():
        part.add_argument("--at", metavar="HOST:PORT", help="the courier's second address")
        part.add_argument("--courier", type=Path, metavar="FILE", help="its rendered file, which has that")


def _hand_in(args: argparse.Namespace) -> int:
    import tomllib

    try:
        text = args.file.read_bytes()
        change = json.loads(text) if args.file.suffix == ".json" else tomllib.loads(text.decode())
    except (OSError, ValueError) as error:
        print(f"madderbeam change: {args.file}: {error}", file=sys.stderr)
        return 2
    return _told(args, "POST", "/changes", {"do": args.do, "change": change})


def _undo(args: argparse.Namespace) -> int:
    return _told(args, "POST", "/changes/undo", {"name": args.name})


def _told(args: argparse.Namespace, method: str, path: str, body: Any) -> int:
    status, text = _call(args, method, path, body)
    print(text, end="", file=sys.stdout if status else sys.stderr)
    return 2 if not status else 0 if status < 300 else 1


def _call(args: argparse.Namespace, method: str, path: str, body: Any = None) -> tuple[int, str]:
    """Status and text; status 0 and one line where nobody answers."""
    import http.client

    try:
        host, _, port = (args.at or _address(args.courier)).rpartition(":")
        link = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
        try:
            link.request(method, path, None if body is None else json.dumps(body))
            answer = link.getresponse()
            return answer.status, answer.read().decode("utf-8", "replace")
        finally:
            link.close()
    except (OSError, ValueError, KeyError, TypeError, http.client.HTTPException) as error:
        return 0, f"madderbeam change: no courier answers: {error}; give --at HOST:PORT, its `control`\n"


def _address(rendered: Path | None) -> str:
    if rendered is None:
        raise ValueError("no address")
    return str(json.loads(rendered.read_bytes())["control"])


def _state(args: argparse.Namespace) -> dict[str, Any] | None:
    status, text = _call(args, "GET", "/changes")
    if status != 200 or args.json:
        print(text, end="", file=sys.stdout if status == 200 else sys.stderr)
    return json.loads(text) if status == 200 else None


def _status(args: argparse.Namespace) -> int:
    state = _state(args)
    if state is None or args.json:
        return 2 if state is None else 0
    print(f"version {state['version']} is in force")
    for trial in state["on_trial"]:
        print(f"on trial: {trial['name']} (version {trial['version']}), {trial['left_ms']} ms left")
    for row in state["waiting"]:
        print(f"waits: {row['name']} ({'for its turn' if row['go'] else 'for apply'})")
    for uid, left in state["drains"].items():
        print(f"drains: {uid}" + (f", {left} ms left" if left else ""))
    return 0


def _history(args: argparse.Namespace) -> int:
    state = _state(args)
    if state is None or args.json:
        return 2 if state is None else 0
    for row in state["history"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row["at_ms"] / 1e3))
        version = f" version {row['version']}" if row["version"] else ""
        print(f"{at} {row['name']}: {row['what']}{version}: {row['why']}")
    return 0
