"""`madderbeam standby`: run a standby, show its status, promote it, set a former primary's folders aside."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from madderbeam.config.platform import Config

CALL_TIMEOUT_S = 10.0


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the `standby` subcommands to the `madderbeam` command; imports happen when they run."""
    standby_parser = commands.add_parser(
        "standby", help="replicate another courier's journal and take over from it"
    )
    subcommands = standby_parser.add_subparsers(dest="part", required=True)
    for name, text, action in (
        ("run", "run as a standby until promoted, then as the courier", _run),
        ("status", "show role, replication progress and fencing, on either side", _status),
        (
            "promote",
            "make the standby take over: the primary shuts down, or its lease is waited for",
            _promote,
        ),
        (
            "set-aside",
            "rename the folders of a stopped courier that was taken over, so that it can become a standby",
            _set_aside,
        ),
    ):
        subcommand = subcommands.add_parser(name, help=text)
        subcommand.add_argument("--config", metavar="FILE", required=True, help="the courier's rendered file")
        subcommand.set_defaults(action=action)


def _config(path: str) -> Config | None:
    """The courier's configuration; None, after printing the error, if it is invalid or has no standby."""
    from madderbeam.config.platform import ConfigError, load_sidecar
    from madderbeam.ports.real import RealDisk

    try:
        config = load_sidecar(path, RealDisk())
    except ConfigError as error:
        print(f"madderbeam standby: {error}", file=sys.stderr)
        return None
    if config.standby is None:
        print(
            f"madderbeam standby: {path}: standby: missing; add [application.standby] and render it",
            file=sys.stderr,
        )
        return None
    return config


def _run(args: argparse.Namespace) -> int:
    config = _config(args.config)
    if config is None:
        return 2
    if config.standby is None or config.standby.listen is None:
        print(
            f"madderbeam standby: {args.config}: standby.listen: missing: this courier is not a standby",
            file=sys.stderr,
        )
        return 2
    from madderbeam.host.standalone import main

    return main(args.config)


def _call_admin(args: argparse.Namespace, method: str, path: str) -> tuple[int, str]:
    """Status and text of a call at the admin address; (0, error line) without one or without a reply."""
    config = _config(args.config)
    if config is None:
        return 0, ""
    if config.control is None:
        return 0, f"{args.config}: control: missing: it has no admin address"
    import http.client

    host, port = config.control
    try:
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
        connection.request(method, path)
        reply = connection.getresponse()
        return reply.status, reply.read().decode("utf-8", "replace").strip()
    except OSError as error:
        return 0, f"{host}:{port}: no reply: {error}"


def _status(args: argparse.Namespace) -> int:
    status, text = _call_admin(args, "GET", "/standby")
    if status != 200:
        print(f"madderbeam standby: {text}", file=sys.stderr)
        return 2
    for name, value in json.loads(text).items():
        print(f"{name}: {value}")
    return 0


def _promote(args: argparse.Namespace) -> int:
    status, text = _call_admin(args, "PUT", "/standby/promote")
    print(
        text if status == 200 else f"madderbeam standby: {text}",
        file=sys.stdout if status == 200 else sys.stderr,
    )
    return 0 if status == 200 else 1 if status else 2


def _set_aside(args: argparse.Namespace) -> int:
    config = _config(args.config)
    if config is None:
        return 2
    from madderbeam.ports.real import RealDisk

    state = Path(config.state)
    if not state.is_dir():
        print(f"{state}: does not exist: nothing to set aside")
        return 0
    try:
        lock = RealDisk.lock(str(state / "lock"))
    except BlockingIOError:
        print(f"madderbeam standby: {state}: is locked by a running courier", file=sys.stderr)
        return 2
    suffix = 1
    while Path(f"{state}.aside-{suffix}").exists():
        suffix += 1
    for folder in (state, Path(f"{state}-standby")):
        if folder.is_dir():
            renamed_folder = Path(f"{state}.aside-{suffix}{folder.name.removeprefix(state.name)}")
            folder.rename(renamed_folder)
            print(f"renamed {folder} to {renamed_folder}")
    lock.close()
    return 0
